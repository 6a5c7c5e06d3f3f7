"""What the gate sees of real work, and who is told."""

from enum import StrEnum
from typing import Protocol

from balsamspindle.wire import AttemptId

__all__ = ["HealthObserver", "NoObserver", "WorkResult"]


class WorkResult(StrEnum):
    """How a dispatched attempt ended at the backend server.

    ``SHED`` is a 503 or 429: evidence of load, not of sickness. ``CANCELLED``
    is our own doing and evidence of nothing.
    """

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    SILENCE = "silence"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class HealthObserver(Protocol):
    """Takes the evidence of real work, as the gate sees it.

    Called from the threads that run attempts; `now_s` is monotonic.
    """

    def started(
        self, backend_server_id: str, attempt_id: AttemptId, now_s: float
    ) -> None:
        """An attempt was dispatched; it is in flight from now."""

    def ended(
        self,
        backend_server_id: str,
        attempt_id: AttemptId,
        result: WorkResult,
        now_s: float,
    ) -> None:
        """An attempt ended."""


class NoObserver:
    """Takes evidence and keeps none."""

    def started(self, backend_server_id, attempt_id, now_s) -> None:
        """See `HealthObserver.started`."""

    def ended(self, backend_server_id, attempt_id, result, now_s) -> None:
        """See `HealthObserver.ended`."""
