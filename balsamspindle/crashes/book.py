"""What one node knows of crashes, and of the requests that cause them."""

import threading
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from balsamspindle.crashes.blame import Blame, KnownCrash
from balsamspindle.crashes.recent_answers import ANSWER_HOLDS_S, RecentAnswers
from balsamspindle.crashes.records import (
    CALM,
    Crash,
    CrashedRun,
    CrashNews,
    Quarantine,
    Standing,
)
from balsamspindle.crashes.verdicts import CRASHES_MIN, NO_CASE, Case, is_cause

__all__ = ["CrashBook"]

CRASHES_KEPT = 256
CRASH_KEPT_S = 600.0
RUNS_KEPT = 32
# Backend servers that ended under a request before it is watched more closely.
SUSPECT_CRASHES = 2
# How long a quarantined request is sent to no backend server, the first time. When
# that is over it is tried: the backend server's fault may be mended. One crash
# quarantines it again, for twice as long.
BLOCKED_S = 600.0
BLOCKED_MAX_S = 86_400.0
QUARANTINES_KEPT = 1000
QUARANTINE_KEPT_S = 2 * BLOCKED_MAX_S
# A crash is taken for as much later than it was: news of it travels.
NEWS_LATE_S = 1.0
EXPIRE_INTERVAL_S = 1.0


@dataclass
class _Quarantined:
    """A quarantine; the higher term holds, and in a term that it was lifted."""

    term: int
    until_s: float
    is_lifted: bool
    noted_s: float


class CrashBook:
    """Crashes and quarantines of the whole fleet; safe from all threads.

    What two nodes know is joined without an order: crashes are added, runs are
    taken off them when their content was answered, and of two quarantines the later
    one holds. So all nodes come to the same, by whatever way they hear.

    Most requests that are lost in a crash are answered at their next try and never
    lost again. That is told to nobody: it would be six news for each crash. It is
    told when such a request is lost once more.

    Parameters
    ----------
    servers : callable
        Returns the number of a service's backend servers.
    on_quarantine : callable
        Told a quarantine, or that it was lifted, the backend servers that ended, and
        the case where it was judged here, when it is new here. Called with the
        book's lock held: it must return at once.
    """

    def __init__(
        self,
        servers: Callable[[str], int],
        on_quarantine: Callable[[Quarantine, list[str], Case], None] = lambda *_: None,
    ) -> None:
        self._servers = servers
        self._on_quarantine = on_quarantine
        self._lock = threading.RLock()
        self._crashes: OrderedDict[tuple[str, int], KnownCrash] = OrderedDict()
        self._counts: Counter[int] = Counter()
        # Crashes off which a content was taken, for as long as they are kept.
        self._cleared: dict[int, set[tuple[str, int]]] = {}
        self._quarantined: OrderedDict[int, _Quarantined] = OrderedDict()
        self._answers = RecentAnswers()
        self._digest: int | None = 0
        self._expired_s = float("-inf")

    def standing(self, content: int, now_s: float) -> Standing:
        """Return how a request's content stands."""
        # Read without the lock: this is asked before each attempt of each request.
        if content not in self._counts and content not in self._quarantined:
            return CALM
        with self._lock:
            self._expire(now_s)
            quarantined = self._quarantined.get(content)
            is_suspect = self._counts[content] >= SUSPECT_CRASHES
            if quarantined is None or quarantined.is_lifted:
                return Standing(is_suspect)
            blocked_ms = max(0.0, (quarantined.until_s - now_s) * 1000)
            return Standing(True, blocked_ms)

    def has_ended(self, backend_server_id: str, start: int) -> bool:
        """Tell whether a start of a backend server is known to have ended."""
        return (backend_server_id, start) in self._crashes

    def is_explained(self, backend_server_id: str, start: int) -> bool:
        """Tell whether a quarantined request is blamed for a backend server's end."""
        with self._lock:
            known = self._crashes.get((backend_server_id, start))
            return known is not None and any(map(self._is_quarantined, known.runs))

    def take(self, news: CrashNews, now_s: float) -> CrashNews:
        """Take what somebody knows; return what of it is new here."""
        with self._lock:
            self._expire(now_s)
            crashes = [
                self._told(self._crashes[one.key], now_s)
                for one in news.crashes
                if self._take_crash(one, now_s)
            ]
            crashes += self._cleared_before(crashes, now_s)
            quarantines = [
                self._told_quarantine(one.content, now_s)
                for one in news.quarantines
                if self._take_quarantine(one, now_s)
            ]
            if crashes:
                self._judge(crashes, now_s)
            if crashes or quarantines:
                self._digest = None
            return CrashNews(crashes, quarantines)

    def answered(self, content: int, now_s: float) -> CrashNews:
        """Take that a backend server answered a request; return what changed."""
        # Also where no crash is known: news of one that was before may yet come.
        self._answers.note(content, now_s)
        if content not in self._counts and content not in self._quarantined:
            return CrashNews()
        with self._lock:
            self._expire(now_s)
            is_watched = self._counts[content] >= SUSPECT_CRASHES
            cleared = []
            for known in self._crashes.values():
                if content in known.runs:
                    self._drop_run(known, content)
                    cleared.append(self._told(known, now_s))
            quarantines = []
            quarantined = self._quarantined.get(content)
            if quarantined is not None and not quarantined.is_lifted:
                quarantined.is_lifted = True
                quarantines.append(self._told_quarantine(content, now_s))
                self._on_quarantine(quarantines[0], [], NO_CASE)
            self._judge(cleared, now_s)
            self._digest = None
            return CrashNews(cleared if is_watched else [], quarantines)

    def retract(self, key: tuple[str, int], now_s: float) -> CrashNews:
        """Take that a backend server did not end; return what changed."""
        with self._lock:
            known = self._crashes.get(key)
            if known is None or not known.runs:
                return CrashNews()
            for content in list(known.runs):
                self._drop_run(known, content)
            self._digest = None
            return CrashNews([self._told(known, now_s)])

    def all(self, now_s: float, age_max_s: float = CRASH_KEPT_S) -> CrashNews:
        """Return all that is known here, of crashes up to an age."""
        with self._lock:
            self._expire(now_s)
            crashes = [
                self._told(known, now_s)
                for known in self._crashes.values()
                if now_s - known.at_s <= age_max_s
            ]
            quarantines = [
                self._told_quarantine(one, now_s) for one in self._quarantined
            ]
            return CrashNews(crashes, quarantines)

    def digest(self) -> int:
        """Return a number that two nodes share when they know the same; 0: nothing."""
        digest = self._digest
        if digest is None:
            with self._lock:
                digest = self._digest = self._compute_digest()
        return digest

    def blocked(self, now_s: float) -> int:
        """Return how many contents are sent to no backend server."""
        with self._lock:
            return sum(
                not one.is_lifted and one.until_s > now_s
                for one in self._quarantined.values()
            )

    def _take_crash(self, crash: Crash, now_s: float) -> bool:
        at_s = now_s - crash.age_ms / 1000
        if now_s - at_s >= CRASH_KEPT_S:
            return False
        told = {run.content: run.ran_ms / 1000 for run in crash.runs[:RUNS_KEPT]}
        known = self._crashes.get(crash.key)
        if known is not None:
            answered = [content for content in known.runs if content not in told]
            for content in answered:
                self._drop_run(known, content)
            return bool(answered)
        known = self._crashes[crash.key] = KnownCrash(crash, at_s, told)
        self._counts.update(told.keys())
        for content in list(told):
            if self._answers.answered_s(content) > at_s - NEWS_LATE_S:
                self._drop_run(known, content)
        if len(self._crashes) > CRASHES_KEPT:
            self._forget(next(iter(self._crashes)))
        return True

    def _take_quarantine(self, told: Quarantine, now_s: float) -> bool:
        known = self._quarantined.get(told.content)
        if known is not None and (known.term, known.is_lifted) >= (
            told.term,
            told.is_lifted,
        ):
            return False
        left_s = min(told.left_ms / 1000, BLOCKED_MAX_S)
        is_lifted = told.is_lifted or self._was_answered(told.content, now_s)
        self._quarantine(told.content, told.term, now_s + left_s, is_lifted, now_s)
        return True

    def _was_answered(self, content: int, now_s: float) -> bool:
        """Tell whether an answer is so new that others may not know of it."""
        return now_s - self._answers.answered_s(content) < ANSWER_HOLDS_S

    def _judge(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Quarantine the causes of crashes that are new, or have fewer runs now."""
        blame = self._blame()
        for content in {run.content for crash in crashes for run in crash.runs}:
            quarantined = self._quarantined.get(content)
            if quarantined is not None and not quarantined.is_lifted:
                if self._has_crashed_again(content, quarantined, blame):
                    self._quarantine_again(content, quarantined.term + 1, now_s)
                    blame = self._blame()
                continue
            if self._counts[content] < CRASHES_MIN:
                continue
            case = blame.case(content)
            if is_cause(case):
                term = 1 if quarantined is None else quarantined.term + 1
                self._quarantine_again(content, term, now_s, case)
                blame = self._blame()

    def _blame(self) -> Blame:
        return Blame(self._crashes.values(), self._is_quarantined, self._servers)

    def _is_quarantined(self, content: int) -> bool:
        """Tell whether a content is quarantined, also while it may be tried."""
        quarantined = self._quarantined.get(content)
        return quarantined is not None and not quarantined.is_lifted

    def _has_crashed_again(
        self, content: int, quarantined: _Quarantined, blame: Blame
    ) -> bool:
        """Tell whether it was tried after its time, and crashed a backend server."""
        return any(
            known.at_s > quarantined.until_s and blame.leader(known) == content
            for known in self._crashes.values()
            if content in known.runs
        )

    def _quarantine_again(
        self, content: int, term: int, now_s: float, case: Case = NO_CASE
    ) -> None:
        blocked_s = min(BLOCKED_S * 2 ** (term - 1), BLOCKED_MAX_S)
        self._quarantine(content, term, now_s + blocked_s, False, now_s, case)

    def _quarantine(
        self,
        content: int,
        term: int,
        until_s: float,
        is_lifted: bool,
        now_s: float,
        case: Case = NO_CASE,
    ) -> None:
        self._quarantined.pop(content, None)
        self._quarantined[content] = _Quarantined(term, until_s, is_lifted, now_s)
        if len(self._quarantined) > QUARANTINES_KEPT:
            self._quarantined.popitem(last=False)
        ended = [
            known.crash.backend_server_id
            for known in self._crashes.values()
            if content in known.runs
        ]
        self._on_quarantine(self._told_quarantine(content, now_s), ended, case)

    def _told_quarantine(self, content: int, now_s: float) -> Quarantine:
        one = self._quarantined[content]
        left_ms = max(0, round((one.until_s - now_s) * 1000))
        return Quarantine(content, one.term, left_ms, one.is_lifted)

    def _told(self, known: KnownCrash, now_s: float) -> Crash:
        runs = tuple(
            CrashedRun(content, round(ran_s * 1000))
            for content, ran_s in known.runs.items()
        )
        age_ms = max(0, round((now_s - known.at_s) * 1000))
        return known.crash._replace(age_ms=age_ms, runs=runs)

    def _cleared_before(self, crashes: list[Crash], now_s: float) -> list[Crash]:
        """Return the earlier crashes of which new ones' requests were cleared."""
        contents = {run.content for crash in crashes for run in crash.runs}
        keys = set().union(*(self._cleared.get(one, ()) for one in contents))
        keys -= {crash.key for crash in crashes}
        return [self._told(self._crashes[key], now_s) for key in sorted(keys)]

    def _drop_run(self, known: KnownCrash, content: int) -> None:
        self._cleared.setdefault(content, set()).add(known.crash.key)
        self._uncount(known, content)

    def _uncount(self, known: KnownCrash, content: int) -> None:
        del known.runs[content]
        self._counts[content] -= 1
        if not self._counts[content]:
            del self._counts[content]

    def _forget(self, key: tuple[str, int]) -> None:
        known = self._crashes[key]
        for content in list(known.runs):
            self._uncount(known, content)
        for content in [one for one, keys in self._cleared.items() if key in keys]:
            self._cleared[content].discard(key)
            if not self._cleared[content]:
                del self._cleared[content]
        del self._crashes[key]
        self._digest = None

    def _expire(self, now_s: float) -> None:
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        old = [
            key
            for key, known in self._crashes.items()
            if now_s - known.at_s >= CRASH_KEPT_S
        ]
        for key in old:
            self._forget(key)
        old_quarantines = [
            content
            for content, one in self._quarantined.items()
            if now_s - one.noted_s >= QUARANTINE_KEPT_S
        ]
        for content in old_quarantines:
            del self._quarantined[content]
            self._digest = None

    def _compute_digest(self) -> int:
        # A content that was lost once says nothing yet, answered or not.
        known = [
            (key, sorted(run for run in one.runs if self._counts[run] > 1))
            for key, one in sorted(self._crashes.items())
        ]
        quarantined = [
            (content, one.term, one.is_lifted)
            for content, one in sorted(self._quarantined.items())
        ]
        if not known and not quarantined:
            return 0
        encoded = msgspec.msgpack.encode((known, quarantined))
        return xxhash.xxh32_intdigest(encoded) or 1
