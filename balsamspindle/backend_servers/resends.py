"""Decides whether an attempt's request is sent to its backend server once more.

A further send of a request may run it once more, so it needs all that its first send
needed, and a repeat of the service's retry budget.
"""

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.answers import ResendCause
from balsamspindle.backend_servers.evidence import HealthObserver
from balsamspindle.backend_servers.gate_previews import health_admits
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.servers import (
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch

__all__ = ["Resends"]


class Resends:
    """Permits further sends of attempts; the parameters are those of `Gate`."""

    def __init__(
        self,
        servers: LocalBackendServers,
        events: EventLog,
        observer: HealthObserver,
        admission: Admission,
        grants: RetryGrants,
        crash_history: CrashHistory,
    ) -> None:
        self._servers = servers
        self._events = events
        self._observer = observer
        self._admission = admission
        self._grants = grants
        self._crash_history = crash_history

    def try_permit(
        self,
        dispatch: Dispatch,
        server: LocalBackendServer,
        cause: ResendCause,
        deadline_s: float,
        now_s: float,
    ) -> bool:
        """Permit a further send and count it, or return False."""
        refusal = self._refusal(dispatch, server, deadline_s, now_s)
        fields = {
            "request": dispatch.request_id,
            "backend_server": dispatch.backend_server_id,
            "cause": cause,
            "left_ms": round((deadline_s - now_s) * 1000),
        }
        if refusal is None:
            self._events.emit("attempt_resent", **fields)
        else:
            self._events.emit("attempt_not_resent", refusal=refusal, **fields)
        return refusal is None

    def _refusal(
        self,
        dispatch: Dispatch,
        server: LocalBackendServer,
        deadline_s: float,
        now_s: float,
    ) -> str | None:
        """Return why a further send is not permitted; None if it is, and is counted."""
        if now_s >= deadline_s:
            return "deadline"
        status = self._crash_history.status_of(dispatch.content_hash, now_s)
        if status.blocked_ms or status.is_suspect:
            return "crashes_servers"
        if not health_admits(self._observer, dispatch, now_s):
            return "suspected"
        if not self._servers.accepts_work(server):
            return "draining"
        if not self._grants.try_grant_resend(dispatch.service, now_s):
            return "retry_budget"
        if not self._admission.try_spend_allowance(server, now_s):
            self._grants.return_grant(dispatch.service)
            return "limit"
        return None
