"""Sees at a gate that a backend server ended, and which requests ran there."""

import errno
import socket
import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from balsamspindle.backend_servers.servers import (
    BackendServerState,
    LocalBackendServer,
)
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import (
    Crash,
    CrashedRun,
    CrashUpdate,
    RunEnd,
    start_id,
)
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId

__all__ = ["CrashWatch", "refuses_connections"]

# Runs that were lost so shortly before the others count as lost with them: their
# callers may have left, or their threads may have been told first.
LOST_TOGETHER_S = 1.0
# One that is replaced announces its replacement within this time.
REPLACED_WITHIN_S = 5.0
CONNECT_TIMEOUT_S = 0.25
# An answer that came before the crash is read so long after it, on a busy VM.
READ_LATE_S = 1.0
STARTS_KEPT = 64
RUNS_TOLD = 32


class _Run(NamedTuple):
    content: int
    started_s: float


class _Lost(NamedTuple):
    content: int
    ran_s: float
    at_s: float
    is_broken: bool


@dataclass
class _Start:
    """One start of a backend server."""

    running: dict[AttemptId, _Run] = field(default_factory=dict)
    lost: deque[_Lost] = field(default_factory=lambda: deque(maxlen=RUNS_TOLD))
    looked_s: float = float("-inf")
    looking: threading.Lock = field(default_factory=threading.Lock)
    ended_s: float | None = None

    @property
    def has_ended(self) -> bool:
        """Whether its end was seen."""
        return self.ended_s is not None

    def answers_after_its_end(self, run: _Run | None, now_s: float) -> bool:
        """Tell whether an answer that came now shows that it did not end."""
        if self.ended_s is None or run is None:
            return False
        return run.started_s > self.ended_s or now_s > self.ended_s + READ_LATE_S


class CrashWatch:
    """Watches the runs at the backend servers of one gate; safe from all threads.

    A run whose connection ends without an answer may be a crash, or an answer that
    was broken off by a backend server that lives. One that ended refuses
    connections, or has started anew.

    Parameters
    ----------
    history : CrashHistory
        Where crashes and answers are noted.
    on_update : callable
        Told what changed in the history, and the present time.
    is_down : callable, default=refuses_connections
        Tells whether nobody listens at an address.
    """

    def __init__(
        self,
        events: EventLog,
        history: CrashHistory,
        on_update: Callable[[CrashUpdate, float], None] = lambda update, now_s: None,
        is_down: Callable[[str], bool] | None = None,
    ) -> None:
        self._events = events
        self._history = history
        self._on_update = on_update
        self._is_down = is_down or refuses_connections
        self._lock = threading.Lock()
        self._starts: OrderedDict[tuple[str, int], _Start] = OrderedDict()

    def started(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        content: int,
        now_s: float,
    ) -> None:
        """Take that a request begins to run."""
        with self._lock:
            start = self._of(_key(server))
            start.running[attempt_id] = _Run(content, now_s)

    def ended(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        end: RunEnd,
        now_s: float,
    ) -> bool:
        """Take a run's end; tell whether its backend server ended under it."""
        key = _key(server)
        with self._lock:
            start = self._of(key)
            run = start.running.pop(attempt_id, None)
            if run is not None and end.is_lost:
                ran_s = now_s - run.started_s
                start.lost.append(_Lost(run.content, ran_s, now_s, end.is_broken))
            was_wrong = end.is_answer and start.answers_after_its_end(run, now_s)
            start.ended_s = None if was_wrong else start.ended_s
        if was_wrong:
            # It refused a connection for want of room: requests that it answers
            # ended nothing.
            self._on_update(self._history.retract(key, now_s), now_s)
            self._events.emit("backend_server_crash_retracted", backend_server=key[0])
        if end.is_success and run is not None:
            self._on_update(self._history.record_answer(run.content, now_s), now_s)
        return end.is_broken and self._has_ended(server, start, now_s)

    def replaced(self, server: LocalBackendServer, now_s: float) -> None:
        """Take that another backend server has an address that this one never left.

        One that is started anew at once listens again before a gate looks. Runs that
        broke off shortly before were lost with the earlier start.
        """
        with self._lock:
            start = self._of(_key(server))
            broken_s = [lost.at_s for lost in start.lost if lost.is_broken]
        with start.looking:
            if start.has_ended:
                return
            start.ended_s = now_s
        # Without a run that was lost it ended while it was idle: no request is the
        # cause, and it tells how often backend servers crash by themselves.
        is_recent = broken_s and now_s - broken_s[-1] <= REPLACED_WITHIN_S
        self._note_crash(server, start, broken_s[-1] if is_recent else now_s)

    def _has_ended(
        self, server: LocalBackendServer, start: _Start, now_s: float
    ) -> bool:
        """Tell whether a backend server ended; note it when it is new."""
        with start.looking:
            if start.has_ended:
                return True
            if not (server.has_ended or server.is_replaced):
                if server.state is BackendServerState.DRAINING:
                    # It said that it would end.
                    return False
                if now_s <= start.looked_s:
                    # It was there after this run had ended.
                    return False
                start.looked_s = now_s
                if not self._is_down(_address(server)):
                    return False
            start.ended_s = now_s
        self._note_crash(server, start, now_s)
        return True

    def _note_crash(
        self, server: LocalBackendServer, start: _Start, now_s: float
    ) -> None:
        with self._lock:
            runs = _runs_at(start, now_s)
        crash = Crash(*_key(server), server.announcement.service, 0, tuple(runs))
        self._events.emit(
            "backend_server_crashed",
            backend_server=crash.backend_server_id,
            service=crash.service,
            runs=",".join(f"{run.content:016x}:{run.ran_ms}" for run in runs),
        )
        self._on_update(self._history.merge(CrashUpdate([crash]), now_s), now_s)

    def _of(self, key: tuple[str, int]) -> _Start:
        start = self._starts.get(key)
        if start is None:
            start = self._starts[key] = _Start()
            if len(self._starts) > STARTS_KEPT:
                self._starts.popitem(last=False)
        return start


def _runs_at(start: _Start, now_s: float) -> list[CrashedRun]:
    """Return the requests that a crash ended, each once, the shortest run first."""
    ran = {
        run.content: max(0.0, now_s - run.started_s) for run in start.running.values()
    }
    for lost in start.lost:
        if now_s - lost.at_s <= LOST_TOGETHER_S:
            ran[lost.content] = min(lost.ran_s, ran.get(lost.content, lost.ran_s))
    ran.pop(0, None)
    shortest = sorted(ran.items(), key=lambda item: item[1])[:RUNS_TOLD]
    return [CrashedRun(content, round(ran_s * 1000)) for content, ran_s in shortest]


def refuses_connections(address: str) -> bool:
    """Tell whether nobody listens at an address.

    No answer in time is none: a backend server whose queue of connections is full
    drops them and lives.
    """
    host, _, port = address.partition(":")
    with socket.socket() as probe:
        probe.settimeout(CONNECT_TIMEOUT_S)
        return probe.connect_ex((host, int(port))) == errno.ECONNREFUSED


def _key(server: LocalBackendServer) -> tuple[str, int]:
    return server.backend_server_id, start_id(server.announcement.boot_id)


def _address(server: LocalBackendServer) -> str:
    return server.announcement.address
