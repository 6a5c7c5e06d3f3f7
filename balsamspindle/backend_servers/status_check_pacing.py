"""Decides whether a limit leaves room for a status check."""

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.rate_limits import ZERO_LIMIT_INTERVAL_S
from balsamspindle.backend_servers.servers import LocalBackendServer

__all__ = ["StatusCheckPacing"]

# Status checks get at most this fraction of what a limit allows. Without a bound, a
# check each second would use up a limit of one request per second.
CHECKS_FRACTION = 0.25


class StatusCheckPacing:
    """Paces the status checks of backend servers that name a limit.

    Only the thread that sends status checks of a backend server may use it for that
    backend server.
    """

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._sent_s: dict[str, float] = {}

    def may_send(self, server: LocalBackendServer, now_s: float) -> bool:
        """Return whether a status check may be sent; if so, count it."""
        server_id = server.backend_server_id
        limit_per_s = self._admission.terms.limit_per_s(
            server_id, server.announcement.boot_id
        )
        if limit_per_s is None:
            self._sent_s.pop(server_id, None)
            return True
        per_s = CHECKS_FRACTION * (limit_per_s or 1 / ZERO_LIMIT_INTERVAL_S)
        sent_s = self._sent_s.get(server_id)
        if sent_s is not None and now_s - sent_s < 1 / per_s:
            return False
        if not self._admission.try_spend_allowance(server, now_s):
            return False
        self._sent_s[server_id] = now_s
        return True
