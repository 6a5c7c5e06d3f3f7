"""A simulation, in steps of time, of a service with crashing backend servers."""

import heapq
import random
from collections import Counter

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate
from balsamspindle.crashes.retry_waits import retry_wait_s

__all__ = ["CrashWorld"]

SERVERS, INNOCENTS = 6, 8
WORKS_S = (0.05, 0.3, 1.0, 2.0)
STEP_S, DURATION_S = 0.01, 12.0
DOWN_S = 0.8
RESEND_MIN_S, RESEND_MAX_S = 0.1, 0.6
ATTEMPTS = 3
BEGINS_S = 1_000.0
CALLER_WAITS_S = 10.0


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
    wrong : set of int
        Content hashes of quarantined requests that crash no backend server.
    right : set of int
        Content hashes of quarantined requests that crash backend servers.
    """

    def __init__(self, seed: int, causes: int) -> None:
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._history = CrashHistory(lambda service: SERVERS, self._record_quarantine)
        self._causes = {1 + n: self._rng.uniform(0.02, 0.4) for n in range(causes)}
        self._works = {100 + n: self._rng.choice(WORKS_S) for n in range(INNOCENTS)}
        self._up_s = [0.0] * SERVERS
        self._starts = 0
        self._running: list[dict[int, tuple[float, float]]] = [
            {} for _ in range(SERVERS)
        ]
        self._lost: Counter[int] = Counter()
        self._due = [
            (self._rng.uniform(0, 0.5), content_hash)
            for content_hash in [*self._works, *self._causes]
        ]
        heapq.heapify(self._due)
        self._strikes = sorted(self._draw_strikes())
        self.crashes: Counter[int] = Counter()
        self.wrong: set[int] = set()
        self.right: set[int] = set()

    def run(self) -> None:
        """Simulate `DURATION_S` seconds."""
        while self._now_s < DURATION_S:
            while self._strikes and self._strikes[0][0] <= self._now_s:
                self._crash(self._strikes.pop(0)[1])
            while self._due and self._due[0][0] <= self._now_s:
                self._send(heapq.heappop(self._due)[1])
            for server in range(SERVERS):
                self._end_runs(server)
            self._now_s += STEP_S

    def _record_quarantine(self, quarantine, ended, evidence) -> None:
        known = self.wrong if quarantine.content_hash in self._works else self.right
        known.add(quarantine.content_hash)

    def _draw_strikes(self) -> list[tuple[float, int]]:
        """Draw times and backend servers of the crashes that no request causes.

        These are three single crashes, two waves, and a crash of three at once.
        """
        rng = self._rng
        strikes = [
            (rng.uniform(0, DURATION_S), rng.randrange(SERVERS)) for _ in range(3)
        ]
        for _ in range(2):
            began_s, lasts_s = rng.uniform(0, DURATION_S), rng.uniform(0.3, 2.0)
            for number, server in enumerate(rng.sample(range(SERVERS), 4)):
                strikes.append((began_s + number * lasts_s / 4, server))
        at_s = rng.uniform(0, DURATION_S)
        return strikes + [(at_s, one) for one in rng.sample(range(SERVERS), 3)]

    def _send(self, content_hash: int) -> None:
        status = self._history.status_of(content_hash, BEGINS_S + self._now_s)
        if status.blocked_ms:
            self._send_later(content_hash)
            return
        up = [one for one in range(SERVERS) if self._up_s[one] <= self._now_s]
        if status.is_suspect:
            up = [one for one in up if not self._has_other_suspect(one, content_hash)]
        if not up:
            heapq.heappush(self._due, (self._now_s + RESEND_MIN_S, content_hash))
            return
        server = min(up, key=lambda one: (len(self._running[one]), self._rng.random()))
        runs_s = self._works.get(content_hash)
        if runs_s is None:
            runs_s = self._causes[content_hash] * self._rng.uniform(0.95, 1.05)
        self._running[server][content_hash] = self._now_s, self._now_s + runs_s

    def _has_other_suspect(self, server: int, content_hash: int) -> bool:
        now_s = BEGINS_S + self._now_s
        return any(
            other != content_hash and self._history.status_of(other, now_s).is_suspect
            for other in self._running[server]
        )

    def _send_later(self, content_hash: int) -> None:
        wait_s = self._rng.uniform(RESEND_MIN_S, RESEND_MAX_S)
        heapq.heappush(self._due, (self._now_s + wait_s, content_hash))

    def _end_runs(self, server: int) -> None:
        running = self._running[server]
        for content_hash, (_, ends_s) in list(running.items()):
            if ends_s > self._now_s or content_hash not in running:
                continue
            if content_hash in self._causes:
                self.crashes[content_hash] += 1
                self._crash(server)
                return
            del running[content_hash]
            self._lost[content_hash] = 0
            self._history.record_answer(content_hash, BEGINS_S + self._now_s)
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
        self._history.merge(CrashUpdate([crash]), BEGINS_S + self._now_s)
        for run in runs:
            self._retry(run.content_hash)

    def _retry(self, content_hash: int) -> None:
        self._lost[content_hash] = (self._lost[content_hash] + 1) % ATTEMPTS
        if not self._lost[content_hash]:
            self._send_later(content_hash)
            return
        status = self._history.status_of(content_hash, BEGINS_S + self._now_s)
        wait_s = retry_wait_s(status, CALLER_WAITS_S, self._rng)
        heapq.heappush(self._due, (self._now_s + max(STEP_S, wait_s), content_hash))
