"""The project's detector and two baseline detectors, with one interface.

The baselines judge a request only after it has ended, by success or failure and not by
latency. As in common outlier detection, an ejection lasts `BASE_HOLD_OUT_S` times the
number of the backend server's ejections, this ejection included.
"""

import itertools
from typing import Protocol

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.health import ServerHealth
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId, Reply

__all__ = ["ConsecutiveFailures", "Detector", "IntervalSuccessRate", "Sequential"]

BASE_HOLD_OUT_S = 30.0
INGRESSES = 4
FAILURES = frozenset(
    {
        WorkResult.ERROR,
        WorkResult.SILENCE,
        WorkResult.BROKEN,
        WorkResult.UNREACHABLE,
    }
)
NOT_JUDGED = frozenset({WorkResult.SHED, WorkResult.CANCELLED})


class Detector(Protocol):
    """Judges the backend servers of one service, numbered from 0.

    Attributes
    ----------
    needs_ticks : bool
        Whether `tick` must be called at intervals while a request runs, because the
        detector also judges requests that have not ended.
    """

    needs_ticks: bool

    def record_start(self, server: int, attempt: int, now_s: float) -> None:
        """Record that a request was dispatched to a backend server."""

    def record_end(self, server: int, attempt: int, result: WorkResult, now_s: float):
        """Record the result of a request that has ended."""

    def record_link_failure(self, server: int, now_s: float) -> None:
        """Record that an ingress could not reach the backend server's gate."""

    def tick(self, server: int, now_s: float) -> None:
        """Update the suspicion of a backend server as time passes without results.

        To be called while the backend server has requests in flight or is suspected.
        """

    def suspicion(self, server: int, now_s: float) -> float:
        """Return the suspicion: 0 if healthy, 1 if the floor may eject the server."""


class Sequential:
    """The project's detector: a `ServerHealth` for each backend server.

    Each `ServerHealth` also gets the evidence that an ingress has about the other
    backend servers.
    """

    needs_ticks = True

    def __init__(self, detection: Detection, servers: int) -> None:
        self._health = [ServerHealth(detection, 0.0) for _ in range(servers)]
        # The requests arrive through several ingresses in turn. Each ingress has
        # evidence from its own requests only.
        self._trackers = [PeerEvidenceTracker() for _ in range(INGRESSES)]
        self._next_ingress = itertools.count()
        self._attempts: dict[int, tuple[PeerEvidenceTracker, float]] = {}

    def record_start(self, server, attempt, now_s):
        """See `Detector`."""
        tracker = self._trackers[next(self._next_ingress) % INGRESSES]
        health = self._health[server]
        health.record_peer_evidence(tracker.summarize("s", str(server), now_s), now_s)
        health.record_start(AttemptId("", 0, attempt), now_s)
        tracker.record_start("s", str(server), now_s)
        self._attempts[attempt] = tracker, now_s

    def record_end(self, server, attempt, result, now_s):
        """See `Detector`."""
        health = self._health[server]
        verdict = health.record_end(AttemptId("", 0, attempt), result, now_s)
        tracker, started_s = self._attempts.pop(attempt)
        bad = None if verdict is Verdict.NOTHING else verdict is Verdict.BAD
        reply = Reply(
            AttemptId("", 0, attempt),
            Outcome.ANSWERED,
            bad=bad,
            p99_ms=health.own_p99_ms,
        )
        tracker.record_end("s", str(server), started_s, reply, now_s)

    def record_link_failure(self, server, now_s):
        """Do nothing: a failed link is no evidence against the backend server.

        The ingress itself avoids a link that has failed.
        """

    def tick(self, server, now_s):
        """See `Detector`."""
        self._health[server].tick(now_s)

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._health[server].suspicion()


class _HoldOuts:
    """Ejections by a baseline detector.

    Each ejection of a backend server lasts longer than its previous one.
    """

    def __init__(self, servers: int) -> None:
        self._held_out_until_s = [0.0] * servers
        self._ejections = [0] * servers

    def eject(self, server: int, now_s: float) -> None:
        if now_s < self._held_out_until_s[server]:
            return
        self._ejections[server] += 1
        self._held_out_until_s[server] = (
            now_s + BASE_HOLD_OUT_S * self._ejections[server]
        )

    def suspicion(self, server: int, now_s: float) -> float:
        return 1.0 if now_s < self._held_out_until_s[server] else 0.0


class ConsecutiveFailures:
    """Ejects a backend server after `limit` consecutive failures."""

    needs_ticks = False

    def __init__(self, limit: int, servers: int) -> None:
        self._limit = limit
        self._failures = [0] * servers
        self._hold_outs = _HoldOuts(servers)

    def record_start(self, server, attempt, now_s):
        """See `Detector`."""

    def record_end(self, server, attempt, result, now_s):
        """See `Detector`."""
        if result in NOT_JUDGED:
            return
        self._record(server, result in FAILURES, now_s)

    def record_link_failure(self, server, now_s):
        """See `Detector`."""
        self._record(server, True, now_s)

    def tick(self, server, now_s):
        """See `Detector`."""

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._hold_outs.suspicion(server, now_s)

    def _record(self, server, failed, now_s):
        self._failures[server] = self._failures[server] + 1 if failed else 0
        if self._failures[server] >= self._limit:
            self._failures[server] = 0
            self._hold_outs.eject(server, now_s)


class IntervalSuccessRate:
    """Ejects a backend server whose success rate in an interval is too low.

    Parameters
    ----------
    interval_s : float
        Length of the intervals, which are the same for all backend servers.
    success_min : float
        A backend server with a lower fraction of successful requests is ejected.
    requests_min : int
        A backend server with fewer requests in an interval is not judged.
    """

    needs_ticks = False

    def __init__(
        self, interval_s: float, success_min: float, requests_min: int, servers: int
    ) -> None:
        self._interval_s = interval_s
        self._success_min = success_min
        self._requests_min = requests_min
        self._interval_end_s = interval_s
        self._requests = [0] * servers
        self._failures = [0] * servers
        self._hold_outs = _HoldOuts(servers)

    def record_start(self, server, attempt, now_s):
        """See `Detector`."""
        self._judge_intervals(now_s)

    def record_end(self, server, attempt, result, now_s):
        """See `Detector`."""
        self._judge_intervals(now_s)
        if result not in NOT_JUDGED:
            self._requests[server] += 1
            self._failures[server] += result in FAILURES

    def record_link_failure(self, server, now_s):
        """See `Detector`."""
        self._judge_intervals(now_s)
        self._requests[server] += 1
        self._failures[server] += 1

    def tick(self, server, now_s):
        """See `Detector`."""
        self._judge_intervals(now_s)

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._hold_outs.suspicion(server, now_s)

    def _judge_intervals(self, now_s):
        """Judge all backend servers by each interval that has ended."""
        while now_s >= self._interval_end_s:
            for server, requests in enumerate(self._requests):
                if requests >= self._requests_min:
                    success = 1 - self._failures[server] / requests
                    if success < self._success_min:
                        self._hold_outs.eject(server, self._interval_end_s)
            self._requests = [0] * len(self._requests)
            self._failures = [0] * len(self._failures)
            self._interval_end_s += self._interval_s
