"""A simulation, in steps of time, of a service with crashing backend servers."""

import heapq
import random
from collections import Counter

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate
from balsamspindle.crashes.retry_waits import retry_wait_s

__all__ = ["CrashWorld"]

SERVERS, HARMLESS_COUNT = 6, 8
WORK_TIMES_S = (0.05, 0.3, 1.0, 2.0)
STEP_S, DURATION_S = 0.01, 12.0
DOWN_S = 0.8
RESEND_MIN_S, RESEND_MAX_S = 0.1, 0.6
ATTEMPTS = 3
START_S = 1_000.0
CALLER_TIMEOUT_S = 10.0


class CrashWorld:
    """Sends requests, some of which crash backend servers, and records quarantines.

    Callers send each request repeatedly. An attempt that is lost in a crash is retried.
    Backend servers crash for other reasons, too, some of them in waves. No two requests
    under suspicion run at the same backend server.

    Parameters
    ----------
    seed : int
    causes : int
        Number of requests that crash backend servers.

    Attributes
    ----------
    crashes : Counter of int
        Number of crashes that each request caused, by content hash.
    wrongly_quarantined : set of int
        Content hashes of quarantined requests that crash no backend server.
    rightly_quarantined : set of int
        Content hashes of quarantined requests that crash backend servers.
    """

    def __init__(self, seed: int, causes: int) -> None:
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._history = CrashHistory(lambda service: SERVERS, self._record_quarantine)
        self._cause_work_s = {
            1 + n: self._rng.uniform(0.02, 0.4) for n in range(causes)
        }
        self._harmless_work_s = {
            100 + n: self._rng.choice(WORK_TIMES_S) for n in range(HARMLESS_COUNT)
        }
        self._up_s = [0.0] * SERVERS
        self._starts = 0
        self._running: list[dict[int, tuple[float, float]]] = [
            {} for _ in range(SERVERS)
        ]
        self._lost: Counter[int] = Counter()
        self._scheduled = [
            (self._rng.uniform(0, 0.5), content_hash)
            for content_hash in [*self._harmless_work_s, *self._cause_work_s]
        ]
        heapq.heapify(self._scheduled)
        self._other_crashes = sorted(self._draw_other_crashes())
        self.crashes: Counter[int] = Counter()
        self.wrongly_quarantined: set[int] = set()
        self.rightly_quarantined: set[int] = set()

    def run(self) -> None:
        """Simulate `DURATION_S` seconds."""
        while self._now_s < DURATION_S:
            while self._other_crashes and self._other_crashes[0][0] <= self._now_s:
                self._crash(self._other_crashes.pop(0)[1])
            while self._scheduled and self._scheduled[0][0] <= self._now_s:
                self._send(heapq.heappop(self._scheduled)[1])
            for server in range(SERVERS):
                self._end_runs(server)
            self._now_s += STEP_S

    def _record_quarantine(self, quarantine, ended, evidence) -> None:
        quarantined = (
            self.wrongly_quarantined
            if quarantine.content_hash in self._harmless_work_s
            else self.rightly_quarantined
        )
        quarantined.add(quarantine.content_hash)

    def _draw_other_crashes(self) -> list[tuple[float, int]]:
        """Draw times and backend servers of the crashes that no request causes.

        These are three single crashes, two waves, and a crash of three at once.
        """
        rng = self._rng
        crashes = [
            (rng.uniform(0, DURATION_S), rng.randrange(SERVERS)) for _ in range(3)
        ]
        for _ in range(2):
            began_s, duration_s = rng.uniform(0, DURATION_S), rng.uniform(0.3, 2.0)
            for number, server in enumerate(rng.sample(range(SERVERS), 4)):
                crashes.append((began_s + number * duration_s / 4, server))
        at_s = rng.uniform(0, DURATION_S)
        return crashes + [(at_s, one) for one in rng.sample(range(SERVERS), 3)]

    def _send(self, content_hash: int) -> None:
        status = self._history.status_of(content_hash, START_S + self._now_s)
        if status.blocked_ms:
            self._send_later(content_hash)
            return
        up = [one for one in range(SERVERS) if self._up_s[one] <= self._now_s]
        if status.is_suspect:
            up = [one for one in up if not self._has_other_suspect(one, content_hash)]
        if not up:
            heapq.heappush(self._scheduled, (self._now_s + RESEND_MIN_S, content_hash))
            return
        server = min(up, key=lambda one: (len(self._running[one]), self._rng.random()))
        runs_s = self._harmless_work_s.get(content_hash)
        if runs_s is None:
            runs_s = self._cause_work_s[content_hash] * self._rng.uniform(0.95, 1.05)
        self._running[server][content_hash] = self._now_s, self._now_s + runs_s

    def _has_other_suspect(self, server: int, content_hash: int) -> bool:
        now_s = START_S + self._now_s
        return any(
            other != content_hash and self._history.status_of(other, now_s).is_suspect
            for other in self._running[server]
        )

    def _send_later(self, content_hash: int) -> None:
        wait_s = self._rng.uniform(RESEND_MIN_S, RESEND_MAX_S)
        heapq.heappush(self._scheduled, (self._now_s + wait_s, content_hash))

    def _end_runs(self, server: int) -> None:
        running = self._running[server]
        for content_hash, (_, ends_s) in list(running.items()):
            if ends_s > self._now_s or content_hash not in running:
                continue
            if content_hash in self._cause_work_s:
                self.crashes[content_hash] += 1
                self._crash(server)
                return
            del running[content_hash]
            self._lost[content_hash] = 0
            self._history.record_answer(content_hash, START_S + self._now_s)
            self._send_later(content_hash)

    def _crash(self, server: int) -> None:
        if self._up_s[server] > self._now_s:
            return
        runs = [
            CrashedRun(content_hash, round((self._now_s - began_s) * 1000))
            for content_hash, (began_s, _) in self._running[server].items()
        ]
        self._running[server] = {}
        self._up_s[server] = self._now_s + DOWN_S
        self._starts += 1
        crash = Crash(f"server-{server}", self._starts, "crew", 0, tuple(runs))
        self._history.merge(CrashUpdate([crash]), START_S + self._now_s)
        for run in runs:
            self._retry(run.content_hash)

    def _retry(self, content_hash: int) -> None:
        self._lost[content_hash] = (self._lost[content_hash] + 1) % ATTEMPTS
        if not self._lost[content_hash]:
            self._send_later(content_hash)
            return
        status = self._history.status_of(content_hash, START_S + self._now_s)
        wait_s = retry_wait_s(status, CALLER_TIMEOUT_S, self._rng)
        heapq.heappush(
            self._scheduled, (self._now_s + max(STEP_S, wait_s), content_hash)
        )
