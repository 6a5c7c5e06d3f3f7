"""Tracks how a service's backend servers answer one ingress, for comparison.

A gate sees only the requests at its own backend servers. Each request that an ingress
sends to a gate therefore contains a summary (`PeerEvidence`) of how the service's other
backend servers answered this ingress. The summary shows the gate whether the other
backend servers also fail or are slow.
"""

import statistics
import threading

from balsamspindle.wire import PeerEvidence, Reply

__all__ = ["PeerEvidenceTracker"]

# How long a gate's judgement of a backend server's latest answer, good or bad, is used.
JUDGEMENT_VALID_S = 10.0
# The evidence on a backend server is discarded when its gate has judged no answer for
# this long and no attempt is in flight. Until then, the 99th percentile of its latency
# is used. The percentile changes little, so it stays valid for longer than a judgement.
P99_EXPIRY_S = 600.0
# An attempt counts as hanging when it is in flight for longer than this many times the
# 99th percentile of its backend server's latency.
HANGING_FACTOR = 2.0


class _ServerEvidence:
    """How one backend server answers the requests of this ingress."""

    __slots__ = ("bad", "in_flight", "judged_s", "p99_ms")

    def __init__(self) -> None:
        self.bad = False
        self.judged_s = float("-inf")
        self.p99_ms = 0.0
        # Start times of the attempts in flight, the oldest first.
        self.in_flight: list[float] = []

    def is_recent(self, now_s: float) -> bool:
        return now_s - self.judged_s <= JUDGEMENT_VALID_S

    def hangs(self, now_s: float) -> bool:
        """Return whether the oldest attempt in flight takes unusually long."""
        if not self.in_flight or not self.p99_ms:
            return False
        return (now_s - self.in_flight[0]) * 1000 > HANGING_FACTOR * self.p99_ms


class PeerEvidenceTracker:
    """Records how each backend server answers this ingress; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._services: dict[str, dict[str, _ServerEvidence]] = {}

    def record_start(self, service: str, backend_server_id: str, now_s: float) -> None:
        """Record that an attempt was sent to a backend server."""
        with self._lock:
            self._evidence(service, backend_server_id).in_flight.append(now_s)

    def record_end(
        self,
        service: str,
        backend_server_id: str,
        started_s: float,
        reply: Reply | None,
        now_s: float,
    ) -> None:
        """Record the end of an attempt.

        Parameters
        ----------
        reply : Reply or None
            Contains the gate's judgement of the answer, good or bad. When the link
            failed or the request was refused, there is no judgement, and the end of the
            attempt says nothing about the backend server.
        """
        with self._lock:
            evidence = self._evidence(service, backend_server_id)
            if started_s in evidence.in_flight:
                evidence.in_flight.remove(started_s)
            if reply is None:
                return
            if reply.p99_ms > 0:
                evidence.p99_ms = reply.p99_ms
            if reply.bad is not None:
                evidence.bad = reply.bad
                evidence.judged_s = now_s

    def summarize(
        self, service: str, backend_server_id: str, now_s: float
    ) -> PeerEvidence:
        """Return a summary of the service's backend servers except the given one."""
        judged_count = bad_count = 0
        p99s_ms = []
        with self._lock:
            servers = self._services.get(service, {})
            for server_id, evidence in list(servers.items()):
                if now_s - evidence.judged_s > P99_EXPIRY_S and not evidence.in_flight:
                    del servers[server_id]
                    continue
                if server_id == backend_server_id:
                    continue
                if evidence.p99_ms:
                    p99s_ms.append(evidence.p99_ms)
                hangs = evidence.hangs(now_s)
                if hangs or evidence.is_recent(now_s):
                    judged_count += 1
                    bad_count += hangs or evidence.bad
        # If the 99th percentile of only one backend server is known, it is not used:
        # that backend server may be unhealthy.
        median_p99_ms = statistics.median(p99s_ms) if len(p99s_ms) > 1 else 0.0
        return PeerEvidence(judged_count, bad_count, median_p99_ms)

    def _evidence(self, service: str, backend_server_id: str) -> _ServerEvidence:
        servers = self._services.setdefault(service, {})
        return servers.setdefault(backend_server_id, _ServerEvidence())
