"""Handling of a caller's request: ingress, attempts and outcome.

Start with `balsamspindle.protocol.outcomes`, which defines the possible outcomes, then
read `ingress.py`, `forwarding.py` and `attempts.py`, which a request passes in this
order.
"""
