"""A node's bounds on its use of the platform.

Each node has a rate of calls that it never goes over, and a circuit: after a
few failures in a row, calls fail at once for a time that doubles, with jitter,
so that a fleet does not call a platform that is down or overloaded in step.
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
    "Circuit",
    "CircuitState",
    "GuardedObjectStore",
    "GuardedTableService",
    "PlatformGuard",
    "TokenBucket",
]

FAILURES_TO_OPEN = 3
OPEN_FIRST_S = 0.5
# Short enough that a change accepted right after an outage is in force within
# its three seconds; the callers of the whole fleet are few (the nodes that
# poll), so their tries cost a platform that is down little.
OPEN_MAX_S = 2.0
READS_PER_S = 10.0
READS_BURST = 30.0
WRITES_PER_S = 2.0
WRITES_BURST = 10.0


class CircuitState(StrEnum):
    """Whether calls pass."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class Circuit:
    """Stops calls for a while after failures; lets one trial call through."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._failures = 0
        self._open_until_s = 0.0
        self.state = CircuitState.CLOSED

    def allows(self, now_s: float) -> bool:
        """Tell whether a call may be made; it must be followed by `note`."""
        match self.state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.OPEN if now_s >= self._open_until_s:
                self.state = CircuitState.TRIAL
                return True
        return False

    def note(self, success: bool, now_s: float) -> None:
        """Take the outcome of a call."""
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
    """A rate of calls with a burst."""

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._last_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take one token; False when there is none."""
        if self._last_s is not None:
            grown = self._tokens + (now_s - self._last_s) * self._per_s
            self._tokens = min(self._burst, grown)
        self._last_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformGuard:
    """One node's circuit and rates, shared by all its platform calls.

    Attributes
    ----------
    calls : Counter
        Calls by verb and result: ``ok``, ``conflict``, ``unknown``, ... and
        ``held_back`` for those that were not made.
    """

    def __init__(self, seed: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._circuit = Circuit(seed)
        self._reads = TokenBucket(READS_PER_S, READS_BURST)
        self._writes = TokenBucket(WRITES_PER_S, WRITES_BURST)
        self.calls: Counter[tuple[str, str]] = Counter()

    @property
    def state(self) -> CircuitState:
        """State of the circuit, for the node's status."""
        return self._circuit.state

    def read(self, call: Callable[[], Result], verb: str = "read") -> Result:
        """Make a read within the bounds."""
        return self._call(self._reads, call, verb)

    def write(self, call: Callable[[], Result], verb: str = "write") -> Result:
        """Make a write within the bounds."""
        return self._call(self._writes, call, verb)

    def _call(
        self, bucket: TokenBucket, call: Callable[[], Result], verb: str
    ) -> Result:
        with self._lock:
            held_back = self._held_back(bucket, self._clock())
            if held_back is not None:
                self.calls[verb, "held_back"] += 1
                return Error(held_back)
        result = call()
        answered = result.is_ok() or isinstance(result.error, (Conflict, HistoryLost))
        with self._lock:
            self._circuit.note(answered, self._clock())
            self.calls[verb, _result_name(result)] += 1
        return result

    def _held_back(self, bucket: TokenBucket, now_s: float) -> Unreachable | None:
        """Return why a call must not be made now."""
        if not bucket.take(now_s):
            return Unreachable("over this node's rate of platform calls")
        if not self._circuit.allows(now_s):
            return Unreachable("the platform failed; waiting to try again")
        return None


def _result_name(result: Result) -> str:
    return "ok" if result.is_ok() else type(result.error).__name__.lower()


class GuardedTableService(TableService):
    """Tables within a node's bounds."""

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

    def end_waits(self):
        """See `TableService.end_waits`."""
        self._tables.end_waits()


class GuardedObjectStore(ObjectStore):
    """Objects within a node's bounds."""

    def __init__(self, objects: ObjectStore, guard: PlatformGuard) -> None:
        self._objects = objects
        self._guard = guard

    def get(self, name):
        """See `ObjectStore.get`."""
        return self._guard.read(lambda: self._objects.get(name))

    def put(self, name, body):
        """See `ObjectStore.put`."""
        return self._guard.write(lambda: self._objects.put(name, body))
