"""Handling of a caller's request: ingress, attempts and outcome.

Start with `balsamspindle.protocol.outcomes`, which defines the possible outcomes, then
read `ingress.py`, `forwarding.py` and `attempts.py`: a request is handled by these
modules in this order.
"""
