"""Reports which suspected backend servers the floor keeps in use."""

from collections.abc import Iterable

from balsamspindle.services.floor import FloorDecision, Suspect
from balsamspindle.timeline import EventLog

__all__ = ["FloorEvents"]


class FloorEvents:
    """Emits an event for each decision of the floor."""

    def __init__(self, events: EventLog) -> None:
        self._events = events

    def report(self, service: str, decision: FloorDecision) -> None:
        """Emit which suspected backend servers are left out, and which stay in use.

        A backend server that is left out gets a request only as a trial, or if a claim
        names its gate. A suspected backend server that stays in use gets requests as if
        it were not suspected.
        """
        self._events.emit(
            "floor_decided",
            service=service,
            cause=decision.cause,
            left_out=_ids(decision.left_out),
            kept=_ids(decision.kept),
            in_use_slots=decision.in_use_slots,
            floor_slots=decision.floor_slots,
        )


def _ids(suspects: Iterable[Suspect]) -> str | None:
    return ",".join(suspect.backend_server_id for suspect in suspects) or None
