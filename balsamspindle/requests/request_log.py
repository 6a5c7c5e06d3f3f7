"""Event-log entries for callers' requests."""

import time

from balsamspindle.customers import KeyCheck, Refused
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.timeline import EventLog

__all__ = ["RequestLog", "elapsed_ms"]

LOGGED_PATH_MAX = 256


class RequestLog:
    """Logs received requests, their outcomes, and answers that were not delivered.

    Attributes
    ----------
    leaving_s : float or None
        Monotonic time at which this node began to leave; None before that.
    """

    def __init__(self, events: EventLog, configuration: CurrentConfiguration) -> None:
        self._events = events
        self._configuration = configuration
        self.leaving_s: float | None = None

    def received(
        self, request_id: str, request: CallerRequest, content_hash: int
    ) -> None:
        """Log a received request; include its content hash if its body was read."""
        self._events.emit(
            "request_received",
            request=request_id,
            method=request.method,
            path=request.path[:LOGGED_PATH_MAX],
            content=f"{content_hash:016x}" if request.is_complete else None,
        )

    def key_accepted(self, request_id: str, check: KeyCheck) -> None:
        """Log by which settings, and by which proof, a request's key is accepted."""
        proof = check.proof
        self._events.emit(
            "key_accepted",
            request=request_id,
            revision=check.revision,
            proof_revision=proof and proof.revision,
            proof_age_ms=proof and round(check.proof_age_s * 1000),
            proof_source=proof and (proof.source or "store"),
        )

    def ended(
        self,
        request_id: str,
        outcome: Outcome,
        reason: Reason | None,
        status: int | None = None,
        routed_revision: int = -1,
        **decisions,
    ) -> None:
        """Log the outcome of a request.

        Parameters
        ----------
        routed_revision : int
            Revision of the settings by which the request was routed or refused; -1 if
            it was refused without settings. The settings in force at its end may be
            newer.
        decisions : dict
            Additional event fields.
        """
        self._events.emit(
            "request_ended",
            request=request_id,
            outcome=outcome,
            cause=reason,
            status=status or None,
            routed_revision=None if routed_revision < 0 else routed_revision,
            settings_revision=self._configuration.revision,
            leaving_ms=elapsed_ms(self.leaving_s),
            **decisions,
        )

    def refused(self, request_id: str, refused: Refused) -> None:
        """Log that a request was refused before it was sent anywhere."""
        self.ended(
            request_id,
            Outcome.NOT_RUN,
            refused.reason,
            routed_revision=refused.revision,
            customer=refused.customer or None,
        )

    def not_delivered(self, request_id: str, error: OSError) -> None:
        """Log that a caller did not get its answer; the request may still have run."""
        self._events.emit("answer_not_delivered", request=request_id, cause=error)


def elapsed_ms(began_s: float | None) -> int | None:
    """Return the milliseconds since `began_s`; None if `began_s` is None."""
    return None if began_s is None else round((time.monotonic() - began_s) * 1000)
