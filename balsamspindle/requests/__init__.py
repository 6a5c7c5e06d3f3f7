"""A caller's request: its way in, its attempts and its outcome.

Start with `outcomes.py`, all that can be said of a request, then
`ingress.py`, `forwarding.py` and `attempts.py`, in the order of its way.
"""

from balsamspindle.requests.outcomes import (
    PROBLEMS,
    CancelCause,
    Execution,
    Outcome,
    Problem,
    Reason,
)

__all__ = ["PROBLEMS", "CancelCause", "Execution", "Outcome", "Problem", "Reason"]
