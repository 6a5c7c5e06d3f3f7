"""A driver that simulates requests and records them in a `ServerHealth`."""

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.health import ServerHealth
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId, PeerEvidence

__all__ = ["ANSWERED", "ERROR", "HEALTHY_PEERS", "HealthDriver"]

ANSWERED, ERROR = WorkResult.ANSWERED, WorkResult.ERROR
HEALTHY_PEERS = PeerEvidence(judged_count=5, bad_count=0, median_p99_ms=40.0)
INTERVAL_S = 0.5


class HealthDriver:
    """Records simulated requests in one `ServerHealth`, `INTERVAL_S` apart."""

    def __init__(self, detection=None, peers=HEALTHY_PEERS) -> None:
        self.health = ServerHealth(detection or Detection(threshold=7.0), 0.0)
        self.peers = peers
        self.now_s = 0.0
        self.count = 0

    def start_request(self) -> AttemptId:
        self.count += 1
        attempt_id = AttemptId("node", 1, self.count)
        self.health.record_peer_evidence(self.peers, self.now_s)
        self.health.record_start(attempt_id, self.now_s)
        return attempt_id

    def run_requests(self, result=ANSWERED, latency_ms=20.0, times=1) -> Verdict:
        """Simulate `times` requests, one after the other; return the last verdict."""
        for _ in range(times):
            attempt_id = self.start_request()
            self.now_s += latency_ms / 1000
            self.health.tick(self.now_s)
            verdict = self.health.record_end(attempt_id, result, self.now_s)
            self.now_s += INTERVAL_S
        return verdict

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.05)):
            self.now_s += 0.05
            self.health.tick(self.now_s)

    def requests_until(self, phase, limit=100, **work) -> int:
        for number in range(limit):
            if self.health.phase is phase:
                return number
            self.run_requests(**work)
        raise AssertionError(f"the phase is not {phase} after {limit} requests")
