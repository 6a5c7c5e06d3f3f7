"""Stores the crashes and quarantines that one node knows."""

import math
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balsamspindle.crashes.attribution import CrashAttribution, KnownCrash
from balsamspindle.crashes.block_times import BLOCKED_MAX_S, block_time_s
from balsamspindle.crashes.digest import compute_digest
from balsamspindle.crashes.recent_answers import ANSWER_VALID_S, RecentAnswers
from balsamspindle.crashes.records import (
    TERM_MAX,
    UNSUSPECTED,
    Crash,
    CrashedRun,
    CrashUpdate,
    Quarantine,
    QuarantineStatus,
)
from balsamspindle.crashes.verdicts import (
    CRASHES_MIN,
    NO_EVIDENCE,
    CauseEvidence,
    is_cause,
)

__all__ = ["CrashHistory"]

CRASHES_MAX = 256
CRASH_EXPIRY_S = 600.0
RUNS_MAX = 32
# A request is suspected when at least this many backend servers crashed running it.
SUSPECT_CRASHES = 2
QUARANTINES_MAX = 1000
QUARANTINE_EXPIRY_S = 2 * BLOCKED_MAX_S
# The estimated time of a crash is late by the delay of the report, by at most this. An
# answer within this time before the estimate may follow the crash, and counts as later.
REPORT_DELAY_MAX_S = 1.0
EXPIRE_INTERVAL_S = 1.0


@dataclass
class _Quarantined:
    """A request's latest quarantine; the term counts its quarantines so far."""

    term: int
    until_s: float
    is_lifted: bool
    recorded_s: float


class CrashHistory:
    """Stores crashes and quarantines of the whole fleet; thread-safe.

    The histories of all nodes become equal, in whatever order and however often they
    receive updates. A merge only adds crashes, removes runs of answered requests, and
    replaces a quarantine by one with a higher term or a lifted one with the same term.

    Most requests that are lost in a crash are answered at their next attempt and never
    lost again. To share each answer would cost six updates for a crash with six runs.
    So an answer after one loss is shared only when its request is lost a second time.

    Parameters
    ----------
    count_servers : callable
        Returns the number of a service's backend servers.
    on_quarantine : callable
        Called when a quarantine is new to this node or was just lifted. Must not block,
        as the lock is held. Arguments: the quarantine; ids of backend servers that
        crashed while the request ran; the new evidence, or `NO_EVIDENCE`.
    judges_from_s : float, default=always
        Until this time, this node only merges quarantines that others decided on. A
        node that has just started may know only the crashes in which one request was
        lost. The request would seem to be running at each crash of its service.
    """

    def __init__(
        self,
        count_servers: Callable[[str], int],
        on_quarantine: Callable[
            [Quarantine, list[str], CauseEvidence], None
        ] = lambda *_: None,
        judges_from_s: float = -math.inf,
    ) -> None:
        self._judges_from_s = judges_from_s
        self._count_servers = count_servers
        self._on_quarantine = on_quarantine
        self._lock = threading.RLock()
        self._crashes: OrderedDict[tuple[str, int], KnownCrash] = OrderedDict()
        # By content hash: the number of crashes that still list a run of the request.
        self._counts: Counter[int] = Counter()
        # By content hash: the keys of the crashes from which its run was removed.
        self._removed: dict[int, set[tuple[str, int]]] = {}
        self._quarantined: OrderedDict[int, _Quarantined] = OrderedDict()
        self._answers = RecentAnswers()
        self._digest: int | None = 0
        self._expired_s = float("-inf")

    def status_of(self, content_hash: int, now_s: float) -> QuarantineStatus:
        """Return whether the request with a content hash is suspected or blocked."""
        # Read without the lock: this is called before each attempt of each request.
        if content_hash not in self._counts and content_hash not in self._quarantined:
            return UNSUSPECTED
        with self._lock:
            self._expire(now_s)
            quarantined = self._quarantined.get(content_hash)
            is_suspect = self._counts[content_hash] >= SUSPECT_CRASHES
            if quarantined is None or quarantined.is_lifted:
                return QuarantineStatus(is_suspect)
            blocked_ms = max(0.0, (quarantined.until_s - now_s) * 1000)
            return QuarantineStatus(True, blocked_ms)

    def has_ended(self, backend_server_id: str, start: int) -> bool:
        """Return whether the process with a start id is known to have crashed."""
        return (backend_server_id, start) in self._crashes

    def ran_quarantined_request(self, backend_server_id: str, start: int) -> bool:
        """Return whether a quarantined request was running when a process crashed."""
        with self._lock:
            known = self._crashes.get((backend_server_id, start))
            return known is not None and any(map(self._is_quarantined, known.runs))

    def merge(self, update: CrashUpdate, now_s: float) -> CrashUpdate:
        """Merge an update; return the resulting changes, to be sent to peers."""
        with self._lock:
            self._expire(now_s)
            crashes = [
                self._export_crash(self._crashes[crash.key], now_s)
                for crash in update.crashes
                if self._merge_crash(crash, now_s)
            ]
            crashes += self._related_crashes(crashes, now_s)
            quarantines = [
                self._export_quarantine(quarantine.content_hash, now_s)
                for quarantine in update.quarantines
                if self._merge_quarantine(quarantine, now_s)
            ]
            if crashes:
                self._quarantine_causes(crashes, now_s)
            if crashes or quarantines:
                self._digest = None
            return CrashUpdate(crashes, quarantines)

    def record_answer(self, content_hash: int, now_s: float) -> CrashUpdate:
        """Record that a request was answered; return the changes to send to peers."""
        # Needed even if no crash is known: an earlier crash may still be reported.
        self._answers.record(content_hash, now_s)
        if content_hash not in self._counts and content_hash not in self._quarantined:
            return CrashUpdate()
        with self._lock:
            self._expire(now_s)
            is_watched = self._counts[content_hash] >= SUSPECT_CRASHES
            cleared = []
            for known in self._crashes.values():
                if content_hash in known.runs:
                    self._remove_run(known, content_hash)
                    cleared.append(self._export_crash(known, now_s))
            quarantines = []
            quarantined = self._quarantined.get(content_hash)
            if quarantined is not None and not quarantined.is_lifted:
                quarantined.is_lifted = True
                quarantines.append(self._export_quarantine(content_hash, now_s))
                self._on_quarantine(quarantines[0], [], NO_EVIDENCE)
            self._quarantine_causes(cleared, now_s)
            self._digest = None
            return CrashUpdate(cleared if is_watched else [], quarantines)

    def retract(self, key: tuple[str, int], now_s: float) -> CrashUpdate:
        """Remove all runs of a falsely reported crash; return the changes for peers."""
        with self._lock:
            known = self._crashes.get(key)
            if known is None or not known.runs:
                return CrashUpdate()
            for content_hash in list(known.runs):
                self._remove_run(known, content_hash)
            self._digest = None
            return CrashUpdate([self._export_crash(known, now_s)])

    def export(self, now_s: float, age_max_s: float = CRASH_EXPIRY_S) -> CrashUpdate:
        """Return all known quarantines, and the known crashes up to a maximum age."""
        with self._lock:
            self._expire(now_s)
            crashes = [
                self._export_crash(known, now_s)
                for known in self._crashes.values()
                if now_s - known.at_s <= age_max_s
            ]
            quarantines = [
                self._export_quarantine(content_hash, now_s)
                for content_hash in self._quarantined
            ]
            return CrashUpdate(crashes, quarantines)

    def digest(self) -> int:
        """Return a hash of the known crashes and quarantines; 0 if there are none."""
        digest = self._digest
        if digest is None:
            with self._lock:
                digest = self._digest = compute_digest(
                    self._crashes, self._counts, self._quarantined
                )
        return digest

    def blocked_count(self, now_s: float) -> int:
        """Return the number of requests that are blocked now."""
        with self._lock:
            return sum(
                not quarantined.is_lifted and quarantined.until_s > now_s
                for quarantined in self._quarantined.values()
            )

    def _merge_crash(self, crash: Crash, now_s: float) -> bool:
        """Merge a received crash; return whether this changed the history."""
        at_s = now_s - crash.age_ms / 1000
        if now_s - at_s >= CRASH_EXPIRY_S:
            return False
        run_times_s = {
            run.content_hash: run.ran_ms / 1000 for run in crash.runs[:RUNS_MAX]
        }
        known = self._crashes.get(crash.key)
        if known is not None:
            answered = [one for one in known.runs if one not in run_times_s]
            for content_hash in answered:
                self._remove_run(known, content_hash)
            return bool(answered)
        known = self._crashes[crash.key] = KnownCrash(crash, at_s, run_times_s)
        self._counts.update(run_times_s.keys())
        for content_hash in list(run_times_s):
            if self._answers.answered_s(content_hash) > at_s - REPORT_DELAY_MAX_S:
                self._remove_run(known, content_hash)
        if len(self._crashes) > CRASHES_MAX:
            self._remove_crash(next(iter(self._crashes)))
        return True

    def _merge_quarantine(self, new: Quarantine, now_s: float) -> bool:
        """Merge a received quarantine; return whether this changed the history."""
        old = self._quarantined.get(new.content_hash)
        if old is not None and (old.term, old.is_lifted) >= (new.term, new.is_lifted):
            return False
        remaining_s = min(new.left_ms / 1000, BLOCKED_MAX_S)
        is_lifted = new.is_lifted or self._was_answered(new.content_hash, now_s)
        self._quarantine(
            new.content_hash, new.term, now_s + remaining_s, is_lifted, now_s
        )
        return True

    def _was_answered(self, content_hash: int, now_s: float) -> bool:
        """Return whether the last answer is so recent that peers may not know of it."""
        return now_s - self._answers.answered_s(content_hash) < ANSWER_VALID_S

    def _quarantine_causes(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Quarantine each request in `crashes` that now counts as a cause."""
        if now_s < self._judges_from_s:
            return
        attribution = self._attribution()
        for content_hash in {run.content_hash for one in crashes for run in one.runs}:
            quarantined = self._quarantined.get(content_hash)
            if quarantined is not None and not quarantined.is_lifted:
                if self._has_crashed_again(content_hash, quarantined, attribution):
                    term = min(quarantined.term + 1, TERM_MAX)
                    self._quarantine_again(content_hash, term, now_s)
                    attribution = self._attribution()
                continue
            if self._counts[content_hash] < CRASHES_MIN:
                continue
            evidence = attribution.evidence(content_hash)
            if is_cause(evidence):
                known_term = 0 if quarantined is None else quarantined.term
                term = min(known_term + 1, TERM_MAX)
                self._quarantine_again(content_hash, term, now_s, evidence)
                attribution = self._attribution()

    def _attribution(self) -> CrashAttribution:
        return CrashAttribution(
            self._crashes.values(), self._is_quarantined, self._count_servers
        )

    def _is_quarantined(self, content_hash: int) -> bool:
        """Return whether a request has an unlifted quarantine, even an expired one."""
        quarantined = self._quarantined.get(content_hash)
        return quarantined is not None and not quarantined.is_lifted

    def _has_crashed_again(
        self,
        content_hash: int,
        quarantined: _Quarantined,
        attribution: CrashAttribution,
    ) -> bool:
        """Return whether a request caused a crash after its block ended."""
        return any(
            known.at_s > quarantined.until_s
            and attribution.cause_of(known) == content_hash
            for known in self._crashes.values()
            if content_hash in known.runs
        )

    def _quarantine_again(
        self,
        content_hash: int,
        term: int,
        now_s: float,
        evidence: CauseEvidence = NO_EVIDENCE,
    ) -> None:
        until_s = now_s + block_time_s(term)
        self._quarantine(content_hash, term, until_s, False, now_s, evidence)

    def _quarantine(
        self,
        content_hash: int,
        term: int,
        until_s: float,
        is_lifted: bool,
        now_s: float,
        evidence: CauseEvidence = NO_EVIDENCE,
    ) -> None:
        self._quarantined.pop(content_hash, None)
        self._quarantined[content_hash] = _Quarantined(term, until_s, is_lifted, now_s)
        if len(self._quarantined) > QUARANTINES_MAX:
            self._quarantined.popitem(last=False)
        ids = [
            known.crash.backend_server_id
            for known in self._crashes.values()
            if content_hash in known.runs
        ]
        self._on_quarantine(self._export_quarantine(content_hash, now_s), ids, evidence)

    def _export_quarantine(self, content_hash: int, now_s: float) -> Quarantine:
        known = self._quarantined[content_hash]
        remaining_ms = max(0, round((known.until_s - now_s) * 1000))
        return Quarantine(content_hash, known.term, remaining_ms, known.is_lifted)

    def _export_crash(self, known: KnownCrash, now_s: float) -> Crash:
        runs = tuple(
            CrashedRun(content_hash, round(ran_s * 1000))
            for content_hash, ran_s in known.runs.items()
        )
        age_ms = max(0, round((now_s - known.at_s) * 1000))
        return known.crash._replace(age_ms=age_ms, runs=runs)

    def _related_crashes(self, crashes: list[Crash], now_s: float) -> list[Crash]:
        """Return other crashes from which runs of requests in `crashes` were removed.

        Peers may still list these runs, because a request's answer after its first loss
        is not shared until the request is lost again (see `CrashHistory`).
        """
        content_hashes = {run.content_hash for crash in crashes for run in crash.runs}
        keys = set().union(*(self._removed.get(one, ()) for one in content_hashes))
        keys -= {crash.key for crash in crashes}
        return [self._export_crash(self._crashes[key], now_s) for key in sorted(keys)]

    def _remove_run(self, known: KnownCrash, content_hash: int) -> None:
        self._removed.setdefault(content_hash, set()).add(known.crash.key)
        self._delete_run(known, content_hash)

    def _delete_run(self, known: KnownCrash, content_hash: int) -> None:
        del known.runs[content_hash]
        self._counts[content_hash] -= 1
        if not self._counts[content_hash]:
            del self._counts[content_hash]

    def _remove_crash(self, key: tuple[str, int]) -> None:
        known = self._crashes[key]
        for content_hash in list(known.runs):
            self._delete_run(known, content_hash)
        for content_hash in [one for one, keys in self._removed.items() if key in keys]:
            self._removed[content_hash].discard(key)
            if not self._removed[content_hash]:
                del self._removed[content_hash]
        del self._crashes[key]
        self._digest = None

    def _expire(self, now_s: float) -> None:
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        old = [
            key
            for key, known in self._crashes.items()
            if now_s - known.at_s >= CRASH_EXPIRY_S
        ]
        for key in old:
            self._remove_crash(key)
        old_quarantines = [
            content_hash
            for content_hash, quarantined in self._quarantined.items()
            if now_s - quarantined.recorded_s >= QUARANTINE_EXPIRY_S
        ]
        for content_hash in old_quarantines:
            del self._quarantined[content_hash]
            self._digest = None
