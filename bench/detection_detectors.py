"""The detector of the project and two baselines, behind one interface.

Baselines judge an ended request by success or failure only, and eject for
`BASE_HOLD_OUT_S` times the number of ejections so far, as outlier detection
commonly does.
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
SAYS_NOTHING = frozenset({WorkResult.SHED, WorkResult.CANCELLED})


class Detector(Protocol):
    """Judges the backend servers of one service, numbered from 0."""

    uses_ages: bool

    def started(self, server: int, attempt: int, now_s: float) -> None:
        """A request was dispatched."""

    def ended(self, server: int, attempt: int, result: WorkResult, now_s: float):
        """A request ended."""

    def link_failed(self, server: int, now_s: float) -> None:
        """An ingress could not reach the backend server's gate."""

    def tick(self, server: int, now_s: float) -> None:
        """Time passed with work in flight, or in an ejection."""

    def suspicion(self, server: int, now_s: float) -> float:
        """Return what the pickers go by."""


class Sequential:
    """The project's detector: `ServerHealth` with evidence of peers.

    Parameters
    ----------
    detection : Detection
    servers : int
    """

    uses_ages = True

    def __init__(self, detection: Detection, servers: int) -> None:
        self._health = [ServerHealth(detection, 0.0) for _ in range(servers)]
        # Callers come in through several ingresses; each sees a part.
        self._trackers = [PeerEvidenceTracker() for _ in range(INGRESSES)]
        self._round = itertools.count()
        self._attempts: dict[int, tuple[PeerEvidenceTracker, float]] = {}

    def started(self, server, attempt, now_s):
        """See `Detector`."""
        tracker = self._trackers[next(self._round) % INGRESSES]
        health = self._health[server]
        health.record_peer_evidence(tracker.summarize("s", str(server), now_s), now_s)
        health.record_start(AttemptId("", 0, attempt), now_s)
        tracker.record_start("s", str(server), now_s)
        self._attempts[attempt] = tracker, now_s

    def ended(self, server, attempt, result, now_s):
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

    def link_failed(self, server, now_s):
        """Stay with the ingress: it routes around its own link."""

    def tick(self, server, now_s):
        """See `Detector`."""
        self._health[server].tick(now_s)

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._health[server].suspicion()


class _HoldOuts:
    """Ejections of the baselines: for a time, longer with each."""

    def __init__(self, servers: int) -> None:
        self._until_s = [0.0] * servers
        self._count = [0] * servers

    def eject(self, server: int, now_s: float) -> None:
        if now_s < self._until_s[server]:
            return
        self._count[server] += 1
        self._until_s[server] = now_s + BASE_HOLD_OUT_S * self._count[server]

    def suspicion(self, server: int, now_s: float) -> float:
        return 1.0 if now_s < self._until_s[server] else 0.0


class ConsecutiveFailures:
    """Ejects after so many failures in a row."""

    uses_ages = False

    def __init__(self, limit: int, servers: int) -> None:
        self._limit = limit
        self._failures = [0] * servers
        self._hold_outs = _HoldOuts(servers)

    def started(self, server, attempt, now_s):
        """See `Detector`."""

    def ended(self, server, attempt, result, now_s):
        """See `Detector`."""
        if result in SAYS_NOTHING:
            return
        self._note(server, result in FAILURES, now_s)

    def link_failed(self, server, now_s):
        """See `Detector`."""
        self._note(server, True, now_s)

    def tick(self, server, now_s):
        """See `Detector`."""

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._hold_outs.suspicion(server, now_s)

    def _note(self, server, failed, now_s):
        self._failures[server] = self._failures[server] + 1 if failed else 0
        if self._failures[server] >= self._limit:
            self._failures[server] = 0
            self._hold_outs.eject(server, now_s)


class IntervalSuccessRate:
    """Ejects after an interval with too small a share of successes."""

    uses_ages = False

    def __init__(
        self, interval_s: float, success_min: float, requests_min: int, servers: int
    ) -> None:
        self._interval_s = interval_s
        self._success_min = success_min
        self._requests_min = requests_min
        self._ends_s = interval_s
        self._requests = [0] * servers
        self._failures = [0] * servers
        self._hold_outs = _HoldOuts(servers)

    def started(self, server, attempt, now_s):
        """See `Detector`."""
        self._close(now_s)

    def ended(self, server, attempt, result, now_s):
        """See `Detector`."""
        self._close(now_s)
        if result not in SAYS_NOTHING:
            self._requests[server] += 1
            self._failures[server] += result in FAILURES

    def link_failed(self, server, now_s):
        """See `Detector`."""
        self._close(now_s)
        self._requests[server] += 1
        self._failures[server] += 1

    def tick(self, server, now_s):
        """See `Detector`."""
        self._close(now_s)

    def suspicion(self, server, now_s):
        """See `Detector`."""
        return self._hold_outs.suspicion(server, now_s)

    def _close(self, now_s):
        """Judge all intervals that are over."""
        while now_s >= self._ends_s:
            for server, requests in enumerate(self._requests):
                if requests >= self._requests_min:
                    success = 1 - self._failures[server] / requests
                    if success < self._success_min:
                        self._hold_outs.eject(server, self._ends_s)
            self._requests = [0] * len(self._requests)
            self._failures = [0] * len(self._failures)
            self._ends_s += self._interval_s
