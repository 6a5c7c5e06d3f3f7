"""Terms shared by all layers: outcomes, reasons, names of headers, customers' keys.

This package depends on no other package of the product.
"""

from balsamspindle.protocol.outcomes import (
    PROBLEMS,
    CancelCause,
    Execution,
    Outcome,
    Problem,
    Reason,
)

__all__ = ["PROBLEMS", "CancelCause", "Execution", "Outcome", "Problem", "Reason"]
