"""Authenticates customers and enforces their limits.

Start with `admission.py`, which admits or refuses each request. The customers
themselves are documents of the settings (`balsamspindle.settings.customers`).
`limits.py` enforces their limits over all nodes: `granters.py` selects the nodes that
grant a customer's requests and calculates the fraction of the limit that each node
grants, and `buckets.py` holds a node's token buckets. Where a revoked key must stop
working within a fixed time, `freshness.py` stores the proofs that this node's settings
are new enough, and `proofs.py` gets these proofs from the store and from other nodes.
"""

from balsamspindle.customers.admission import (
    Admitted,
    CustomerAdmission,
    KeyCheck,
    Refused,
)

__all__ = ["Admitted", "CustomerAdmission", "KeyCheck", "Refused"]
