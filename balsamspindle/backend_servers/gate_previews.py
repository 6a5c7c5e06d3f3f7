"""Answers queries whether a gate would admit an attempt, without a change of state."""

import time

import msgspec

from balsamspindle.backend_servers.admission import Admission, Refused
from balsamspindle.backend_servers.evidence import HealthObserver
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.wire import AdmissionAnswer, AdmissionQuery, Dispatch

__all__ = ["GatePreviews", "health_admits"]


class GatePreviews:
    """Predicts the gate's decisions from its present state."""

    def __init__(
        self,
        observer: HealthObserver,
        admission: Admission,
        crash_history: CrashHistory,
    ) -> None:
        self._observer = observer
        self._admission = admission
        self._crash_history = crash_history

    def preview(self, query: AdmissionQuery, received_s: float) -> AdmissionAnswer:
        """Return whether an attempt would be refused now, and why; reserves no slot."""
        held_out = self._observer.held_out(query.backend_server_id, received_s)
        answer = AdmissionAnswer(
            query.number,
            held_out=held_out,
            gate_time_s=received_s,
            load=self._admission.loads.load(
                query.service, query.backend_server_id, received_s
            ),
        )
        status = self._crash_history.status_of(query.content_hash, received_s)
        if status.blocked_ms:
            return msgspec.structs.replace(
                answer, reason=Reason.CRASHES_SERVERS, wait_ms=status.blocked_ms
            )
        if not health_admits(self._observer, query, time.monotonic()):
            return msgspec.structs.replace(answer, reason=Reason.SUSPECTED)
        deadline_s = received_s + query.remaining_ms / 1000
        match self._admission.preview(query, deadline_s):
            case Refused(reason, wait_ms):
                return msgspec.structs.replace(answer, reason=reason, wait_ms=wait_ms)
        return answer


def health_admits(
    observer: HealthObserver, attempt: Dispatch | AdmissionQuery, now_s: float
) -> bool:
    """Return whether the backend server's health permits an attempt.

    The health never forbids a last-resort attempt.
    """
    return attempt.is_last_resort or observer.admits(
        attempt.backend_server_id,
        attempt.execution,
        attempt.weight,
        now_s,
        attempt.is_last_try,
    )
