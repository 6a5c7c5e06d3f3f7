"""What an ingress sees of a service's backend servers, to compare them by.

A gate sees only the work of its own backend servers. Whether the others of
the service fail or are slow, too, it learns from the ingresses: each dispatch
carries a summary of the others (`PeerEvidence`).
"""

import statistics
import threading

from balsamspindle.wire import PeerEvidence, Reply

__all__ = ["PeerEvidenceTracker"]

# What a backend server's latest answer said is believed for this time.
BELIEVED_S = 10.0
# Its limit changes little and is kept longer.
FORGET_S = 600.0
# In limits, for an attempt in flight.
HANGING_FACTOR = 2.0


class _Seen:
    """The latest of one backend server."""

    __slots__ = ("bad", "heard_s", "in_flight", "limit_ms")

    def __init__(self) -> None:
        self.bad = False
        self.heard_s = float("-inf")
        self.limit_ms = 0.0
        self.in_flight: list[float] = []

    def is_believed(self, now_s: float) -> bool:
        return now_s - self.heard_s <= BELIEVED_S

    def hangs(self, now_s: float) -> bool:
        """Tell whether an attempt is in flight for longer than is normal."""
        if not self.in_flight or not self.limit_ms:
            return False
        return (now_s - self.in_flight[0]) * 1000 > HANGING_FACTOR * self.limit_ms


class PeerEvidenceTracker:
    """The latest of each backend server that this ingress uses."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._services: dict[str, dict[str, _Seen]] = {}

    def started(self, service: str, backend_server_id: str, now_s: float) -> None:
        """Note that an attempt was sent."""
        with self._lock:
            self._seen(service, backend_server_id).in_flight.append(now_s)

    def ended(
        self,
        service: str,
        backend_server_id: str,
        started_s: float,
        reply: Reply | None,
        now_s: float,
    ) -> None:
        """Note an attempt's end.

        Parameters
        ----------
        reply : Reply or None
            Tells what the gate judged. Without a judgement (the link failed,
            the work was shed) the end says nothing of the backend server.
        """
        with self._lock:
            seen = self._seen(service, backend_server_id)
            if started_s in seen.in_flight:
                seen.in_flight.remove(started_s)
            if reply is None:
                return
            if reply.limit_ms > 0:
                seen.limit_ms = reply.limit_ms
            if reply.bad is not None:
                seen.bad = reply.bad
                seen.heard_s = now_s

    def about(self, service: str, backend_server_id: str, now_s: float) -> PeerEvidence:
        """Summarize the service's other backend servers."""
        heard = bad = 0
        limits_ms = []
        with self._lock:
            servers = self._services.get(service, {})
            for server_id, seen in list(servers.items()):
                if now_s - seen.heard_s > FORGET_S and not seen.in_flight:
                    del servers[server_id]
                    continue
                if server_id == backend_server_id:
                    continue
                if seen.limit_ms:
                    limits_ms.append(seen.limit_ms)
                hangs = seen.hangs(now_s)
                if hangs or seen.is_believed(now_s):
                    heard += 1
                    bad += hangs or seen.bad
        # One limit may be that of the one sick backend server.
        limit_ms = statistics.median(limits_ms) if len(limits_ms) > 1 else 0.0
        return PeerEvidence(heard, bad, limit_ms)

    def _seen(self, service: str, backend_server_id: str) -> _Seen:
        servers = self._services.setdefault(service, {})
        return servers.setdefault(backend_server_id, _Seen())
