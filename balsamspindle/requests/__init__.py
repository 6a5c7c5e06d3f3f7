"""A caller's request: its way in, its attempts and its outcome."""

from balsamspindle.requests.outcomes import (
    PROBLEMS,
    Execution,
    Outcome,
    Problem,
    Reason,
)

__all__ = ["PROBLEMS", "Execution", "Outcome", "Problem", "Reason"]
