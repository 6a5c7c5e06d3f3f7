"""Rate limits and a circuit breaker for a node's calls to the platform.

After a few consecutive failures, the circuit opens for a time. While it is open, calls
fail at once without reaching the platform. The time doubles with each further failure,
up to `OPEN_MAX_S`. It has jitter, so that the nodes of a fleet don't all retry a failed
or overloaded platform at the same time.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from expression import Error, Result

from balsamspindle.tables.protocol import (
    Conflict,
    HistoryLost,
    ObjectStore,
    TableService,
    Unreachable,
)

__all__ = [
    "CircuitBreaker",
    "CircuitState",
    "GuardedObjectStore",
    "GuardedTableService",
    "PlatformGuard",
    "TokenBucket",
]

FAILURES_TO_OPEN = 3
OPEN_FIRST_S = 0.5
# Longest time for which the circuit stays open. A change accepted right after an outage
# has to be in force within three seconds, so nodes have to call again soon. Only the
# few nodes that poll the platform call again, so their calls add little load to a
# platform that is down.
OPEN_MAX_S = 2.0
READS_PER_S = 10.0
READS_BURST = 30.0
WRITES_PER_S = 2.0
WRITES_BURST = 10.0


class CircuitState(StrEnum):
    """Whether calls reach the platform; in TRIAL, only a single call does."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class CircuitBreaker:
    """Rejects calls for a time after several failures, then allows one trial call."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._failures = 0
        self._open_until_s = 0.0
        self.state = CircuitState.CLOSED

    def try_enter(self, now_s: float) -> bool:
        """Return whether a call may be made.

        If it may, the caller must pass the outcome of the call to `record`.
        """
        match self.state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.OPEN if now_s >= self._open_until_s:
                self.state = CircuitState.TRIAL
                return True
        return False

    def record(self, success: bool, now_s: float) -> None:
        """Record the outcome of a call."""
        if success:
            self._failures = 0
            self.state = CircuitState.CLOSED
            return
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        limit_s = OPEN_FIRST_S * 2 ** min(self._failures - FAILURES_TO_OPEN, 10)
        open_s = min(OPEN_MAX_S, limit_s) * self._random.uniform(0.5, 1.0)
        self._open_until_s = now_s + open_s
        self.state = CircuitState.OPEN


class TokenBucket:
    """Limits calls to a rate, with bursts of up to `burst` calls after idle time."""

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._last_s: float | None = None

    def try_spend(self, now_s: float) -> bool:
        """Spend one token; return False when none is available."""
        if self._last_s is not None:
            refilled = self._tokens + (now_s - self._last_s) * self._per_s
            self._tokens = min(self._burst, refilled)
        self._last_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformGuard:
    """One node's circuit breaker and rate limits, shared by all its platform calls.

    Attributes
    ----------
    calls : Counter
        Number of calls by verb and result: ``ok``, ``conflict``, ``unknown``, ...
        and ``held_back`` for calls that the guard rejected.
    """

    def __init__(self, seed: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._circuit = CircuitBreaker(seed)
        self._reads = TokenBucket(READS_PER_S, READS_BURST)
        self._writes = TokenBucket(WRITES_PER_S, WRITES_BURST)
        self.calls: Counter[tuple[str, str]] = Counter()

    @property
    def state(self) -> CircuitState:
        """State of the circuit breaker, for the node's status."""
        return self._circuit.state

    def read(self, call: Callable[[], Result], verb: str = "read") -> Result:
        """Make a read call, unless a rate limit or the open circuit rejects it.

        Returns `Unreachable` as the error of a rejected call.
        """
        return self._call(self._reads, call, verb)

    def read_paced(self, call: Callable[[], Result], verb: str) -> Result:
        """Make a read call whose caller limits the rate, even if the circuit is open.

        An answer closes the circuit. A failure neither opens it nor keeps it open.
        """
        result = call()
        with self._lock:
            if _is_answered(result):
                self._circuit.record(True, self._clock())
            self.calls[verb, _result_name(result)] += 1
        return result

    def write(self, call: Callable[[], Result], verb: str = "write") -> Result:
        """Make a write call, unless a rate limit or the open circuit rejects it.

        Returns `Unreachable` as the error of a rejected call.
        """
        return self._call(self._writes, call, verb)

    def _call(
        self, bucket: TokenBucket, call: Callable[[], Result], verb: str
    ) -> Result:
        with self._lock:
            rejection = self._reject(bucket, self._clock())
            if rejection is not None:
                self.calls[verb, "held_back"] += 1
                return Error(rejection)
        result = call()
        with self._lock:
            self._circuit.record(_is_answered(result), self._clock())
            self.calls[verb, _result_name(result)] += 1
        return result

    def _reject(self, bucket: TokenBucket, now_s: float) -> Unreachable | None:
        """Return why a call must not be made now, or None if it may be made."""
        if not bucket.try_spend(now_s):
            return Unreachable("this node's rate limit on platform calls is exceeded")
        if not self._circuit.try_enter(now_s):
            return Unreachable("recent platform calls failed; new calls are paused")
        return None


def _is_answered(result: Result) -> bool:
    return result.is_ok() or isinstance(result.error, (Conflict, HistoryLost))


def _result_name(result: Result) -> str:
    return "ok" if result.is_ok() else type(result.error).__name__.lower()


class GuardedTableService(TableService):
    """A table service whose calls pass through a `PlatformGuard`."""

    def __init__(self, tables: TableService, guard: PlatformGuard) -> None:
        self._tables = tables
        self._guard = guard

    @property
    def era(self):
        """See `TableService`."""
        return self._tables.era

    @property
    def answered_s(self):
        """See `TableService`."""
        return self._tables.answered_s

    def read(self, table, keys):
        """See `TableService.read`."""
        return self._guard.read(lambda: self._tables.read(table, keys), "read")

    def scan(self, table):
        """See `TableService.scan`."""
        return self._guard.read(lambda: self._tables.scan(table), "scan")

    def transact(self, transaction):
        """See `TableService.transact`."""
        return self._guard.write(lambda: self._tables.transact(transaction), "transact")

    def snapshot(self, table):
        """See `TableService.snapshot`."""
        return self._guard.read(lambda: self._tables.snapshot(table), "snapshot")

    def wait_for_changes(self, table, after_version, wait_s):
        """See `TableService.wait_for_changes`."""
        return self._guard.read(
            lambda: self._tables.wait_for_changes(table, after_version, wait_s),
            "wait_for_changes",
        )

    def changes_after(self, table, version):
        """See `TableService.changes_after`."""
        return self._guard.read_paced(
            lambda: self._tables.changes_after(table, version), "changes_after"
        )

    def interrupt_wait(self):
        """See `TableService.interrupt_wait`."""
        self._tables.interrupt_wait()

    def end_waits(self):
        """See `TableService.end_waits`."""
        self._tables.end_waits()


class GuardedObjectStore(ObjectStore):
    """An object store whose calls pass through a `PlatformGuard`."""

    def __init__(self, objects: ObjectStore, guard: PlatformGuard) -> None:
        self._objects = objects
        self._guard = guard

    def get(self, name):
        """See `ObjectStore.get`."""
        return self._guard.read(lambda: self._objects.get(name))

    def put(self, name, body):
        """See `ObjectStore.put`."""
        return self._guard.write(lambda: self._objects.put(name, body))
