"""Records the terms of backend servers that gates reported to this ingress.

The records last longer than a gate: after a restart of a gate's node, this ingress
still sends nothing to a backend server that leaves, and tells the new gate a limit.
"""

import threading
from collections.abc import Iterable
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.wire import BackendServerRecord, ServerTerms

__all__ = ["KnownTerms"]

SERVERS_MAX = 10_000
# A stated wait is not used for longer than this. The limit may have risen or ended.
WAIT_VALID_MAX_S = 1.0


class _Wait(NamedTuple):
    """When a limit allows a request of a weight, as a gate's refusal stated it."""

    allowed_s: float
    expires_s: float


class KnownTerms:
    """The latest reported terms of each backend server; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._terms: dict[str, ServerTerms] = {}
        self._limited: set[str] = set()
        # By backend server and by the weight of the refused request.
        self._waits: dict[str, dict[float, _Wait]] = {}

    def record(self, server_id: str, reported: ServerTerms | None) -> None:
        """Record the terms in a gate's reply; None changes nothing.

        A gate reports None until it knows any terms itself, for example after a
        restart. Within one lifetime, a leaving is never taken back.
        """
        if reported is None:
            return
        with self._lock:
            # The entry is replaced in place: readers take no lock, and must not miss a
            # leaving meanwhile.
            known = self._terms.get(server_id)
            if known is not None and known.boot_id == reported.boot_id:
                is_leaving = known.is_leaving or reported.is_leaving
                reported = reported._replace(is_leaving=is_leaving)
            self._terms[server_id] = reported
            if reported.limit_per_s is None:
                self._limited.discard(server_id)
            else:
                self._limited.add(server_id)
            if len(self._terms) > SERVERS_MAX:
                oldest_id = next(iter(self._terms))
                del self._terms[oldest_id]
                self._limited.discard(oldest_id)

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

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the limit that a backend server names; None if it names none."""
        terms = self._terms.get(server_id)
        return None if terms is None else terms.limit_per_s

    def has_limits(self) -> bool:
        """Return whether any backend server names a limit."""
        return bool(self._limited)

    def record_wait(
        self, server_id: str, weight: float, wait_ms: float, now_s: float
    ) -> None:
        """Record after which time a limit allows a request of this weight."""
        allowed_s = now_s + wait_ms / 1000
        wait = _Wait(allowed_s, min(allowed_s, now_s + WAIT_VALID_MAX_S))
        with self._lock:
            waits = self._waits.pop(server_id, {})
            self._waits[server_id] = {**_valid(waits, now_s), weight: wait}
            # The server that was recorded longest ago comes first.
            while self._waits:
                oldest_id = next(iter(self._waits))
                if _valid(self._waits[oldest_id], now_s):
                    break
                del self._waits[oldest_id]

    def waits_ms(self, weight: float, now_s: float) -> dict[str, float]:
        """Return the waits, by backend server, of those whose limit is used up.

        A wait that was stated to a heavier request holds for a lighter one, too.
        """
        if not self._waits:
            return {}
        with self._lock:
            stated = list(self._waits.items())
        waits_ms = {}
        for server_id, waits in stated:
            valid = _valid(waits, now_s)
            allowed_s = [wait.allowed_s for key, wait in valid.items() if key >= weight]
            if allowed_s:
                waits_ms[server_id] = (max(allowed_s) - now_s) * 1000
        return waits_ms


def _valid(waits: dict[float, _Wait], now_s: float) -> dict[float, _Wait]:
    return {weight: wait for weight, wait in waits.items() if wait.expires_s > now_s}
