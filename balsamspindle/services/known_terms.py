"""Records the terms of backend servers that gates reported to this ingress.

The records last longer than a gate: after a restart of a gate's node, this ingress
still sends nothing to a backend server that leaves, and tells the new gate a limit.
"""

import threading
from collections.abc import Iterable

from balsamspindle.membership.directory import Placement
from balsamspindle.wire import BackendServerRecord, ServerTerms

__all__ = ["KnownTerms"]

SERVERS_MAX = 10_000


class KnownTerms:
    """The latest reported terms of each backend server; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._terms: dict[str, ServerTerms] = {}

    def record(self, server_id: str, reported: ServerTerms | None) -> None:
        """Record the terms in a gate's reply; None changes nothing.

        A gate reports None until it knows any terms itself, for example after a
        restart. Within one lifetime, a leaving is never taken back.
        """
        if reported is None:
            return
        with self._lock:
            known = self._terms.pop(server_id, None)
            if known is not None and known.boot_id == reported.boot_id:
                is_leaving = known.is_leaving or reported.is_leaving
                reported = reported._replace(is_leaving=is_leaving)
            self._terms[server_id] = reported
            if len(self._terms) > SERVERS_MAX:
                del self._terms[next(iter(self._terms))]

    def get(self, server: BackendServerRecord) -> ServerTerms | None:
        """Return the known terms of a backend server's present lifetime."""
        terms = self._terms.get(server.backend_server_id)
        return terms if terms is not None and terms.boot_id == server.boot_id else None

    def leaving(self, placements: Iterable[Placement]) -> set[str]:
        """Return the ids of those backend servers that said that they leave."""
        if not self._terms:
            return set()
        servers = (placement.backend_server for placement in placements)
        known = ((server.backend_server_id, self.get(server)) for server in servers)
        return {server_id for server_id, terms in known if terms and terms.is_leaving}
