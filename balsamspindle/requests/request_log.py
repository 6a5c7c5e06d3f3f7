"""What the log tells of callers' requests."""

import time

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog

__all__ = ["RequestLog", "since_ms"]

LOGGED_PATH_MAX = 256


class RequestLog:
    """Tells when requests come, how they end, and what was not delivered.

    Attributes
    ----------
    leaving_s : float or None
        When this node began to leave.
    """

    def __init__(self, events: EventLog, configuration: CurrentConfiguration) -> None:
        self._events = events
        self._configuration = configuration
        self.leaving_s: float | None = None

    def received(self, request_id: str, request: CallerRequest, content: int) -> None:
        """Tell of a request; its content is known once its body was read."""
        self._events.emit(
            "request_received",
            request=request_id,
            method=request.method,
            path=request.path[:LOGGED_PATH_MAX],
            content=f"{content:016x}" if request.is_whole else None,
        )

    def ended(
        self,
        request_id: str,
        outcome: Outcome,
        reason: Reason | None,
        status: int | None = None,
        **decided,
    ) -> None:
        """Tell how a request ended, with what was decided for it."""
        self._events.emit(
            "request_ended",
            request=request_id,
            outcome=outcome,
            cause=reason,
            status=status or None,
            settings_revision=self._configuration.revision,
            leaving_ms=since_ms(self.leaving_s),
            **decided,
        )

    def not_delivered(self, request_id: str, error: OSError) -> None:
        """Tell that a caller did not get its answer: what was done stays done."""
        self._events.emit("answer_not_delivered", request=request_id, cause=error)


def since_ms(began_s: float | None) -> int | None:
    """Return the time since a moment; None where there was none."""
    return None if began_s is None else round((time.monotonic() - began_s) * 1000)
