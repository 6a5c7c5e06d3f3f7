"""Event-log entries for a node's calls of the store that get settings.

They show how old the newest proof was that a node's settings are the store's: a call
that was answered proves it for the time at which the call began.
"""

from expression import Result

from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.tables import Changes
from balsamspindle.timeline import EventLog

__all__ = ["StoreLog"]


class StoreLog:
    """Logs how the calls of one node ended; times are on the monotonic clock."""

    def __init__(self, events: EventLog, configuration: CurrentConfiguration) -> None:
        self._events = events
        self._configuration = configuration
        # Kinds of calls of which the last one failed.
        self._failing_calls: set[str] = set()

    def call_ended(
        self, call: str, result: Result, began_s: float, now_s: float
    ) -> None:
        """Log a call that the store answers at once; of failures in a row the first."""
        is_repeated = result.is_error() and call in self._failing_calls
        match result:
            case Result(tag="ok"):
                self._failing_calls.discard(call)
                ending, cause = "answered", None
            case Result(error=error):
                self._failing_calls.add(call)
                ending, cause = "failed", error.message
        if not is_repeated:
            self._events.emit(
                "settings_read",
                call=call,
                ending=ending,
                lasted_ms=_ms(now_s - began_s),
                cause=cause,
            )

    def poll_ended(
        self,
        result: Result,
        began_s: float,
        now_s: float,
        proven_s: float | None,
        is_overdue: bool,
    ) -> None:
        """Log when a poll began, how it ended, and how old the newest proof was.

        Parameters
        ----------
        proven_s : float or None
            Start of the newest call that the store answered before this poll ended.
        is_overdue : bool
            Whether this node ended the poll because the poll had missed a change.
        """
        match result:
            case Result(tag="error") if is_overdue:
                ending, cause = "overdue", "it has missed a change"
            case Result(tag="ok", ok=Changes(rows, _)):
                ending, cause = ("changed" if rows else "unchanged"), None
            case Result(error=error):
                ending, cause = "failed", error.message
        self._events.emit(
            "settings_poll_ended",
            ending=ending,
            lasted_ms=_ms(now_s - began_s),
            revision=self._configuration.revision,
            proof_age_ms=None if proven_s is None else _ms(now_s - proven_s),
            cause=cause,
        )


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
