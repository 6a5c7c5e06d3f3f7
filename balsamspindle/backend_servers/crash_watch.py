"""Detects at a gate that a backend server crashed, and which requests ran there."""

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

# A run that was lost at most this long before a crash was detected counts as lost in
# that crash: before the crash is detected, the caller may disconnect, or the thread of
# the run may notice the end of its connection.
LOST_TOGETHER_S = 1.0
# The longest time from the crash of a backend server until another one announces
# itself at the same address.
REPLACED_WITHIN_S = 5.0
CONNECT_TIMEOUT_S = 0.25
# On a busy VM, an answer sent before a crash may be read up to this long after it.
LATE_READ_S = 1.0
STARTS_MAX = 64
REPORTED_RUNS_MAX = 32


class _Run(NamedTuple):
    """A running request.

    Attributes
    ----------
    content_hash : int
        Equal for all copies of a request; 0 when unknown.
    """

    content_hash: int
    started_s: float


class _LostRun(NamedTuple):
    content_hash: int
    ran_s: float
    lost_s: float
    is_broken: bool


@dataclass
class _Start:
    """One start of a backend server: its runs, and when its end was detected."""

    running: dict[AttemptId, _Run] = field(default_factory=dict)
    lost: deque[_LostRun] = field(
        default_factory=lambda: deque(maxlen=REPORTED_RUNS_MAX)
    )
    probed_s: float = float("-inf")
    probe_lock: threading.Lock = field(default_factory=threading.Lock)
    ended_s: float | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the end of this start was detected."""
        return self.ended_s is not None

    def is_refuted_by_answer(self, run: _Run | None, now_s: float) -> bool:
        """Return whether an answer received now shows that this start did not end.

        The answer shows it if the run that it belongs to began after the supposed end,
        or if it arrives too late to have been sent before the supposed end.
        """
        if self.ended_s is None or run is None:
            return False
        return run.started_s > self.ended_s or now_s > self.ended_s + LATE_READ_S


class CrashWatch:
    """Watches the runs at the backend servers of one gate; thread-safe.

    A connection that ends without an answer may mean that the backend server crashed,
    or that it is still running and broke off the answer. The backend server has
    crashed if it refuses connections afterwards, or has been restarted or replaced.

    Parameters
    ----------
    history : CrashHistory
        Records crashes and answers.
    on_update : callable
        Called with each update of the history and the present time.
    is_down : callable, default=refuses_connections
        Returns whether no process listens at an address.
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

    def record_start(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        content_hash: int,
        now_s: float,
    ) -> None:
        """Record that a request starts to run."""
        with self._lock:
            start = self._start_of(_key(server))
            start.running[attempt_id] = _Run(content_hash, now_s)

    def record_end(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        end: RunEnd,
        now_s: float,
    ) -> bool:
        """Record a run's end; return whether the backend server crashed during it."""
        key = _key(server)
        with self._lock:
            start = self._start_of(key)
            run = start.running.pop(attempt_id, None)
            if run is not None and end.is_lost:
                ran_s = now_s - run.started_s
                start.lost.append(
                    _LostRun(run.content_hash, ran_s, now_s, end.is_broken)
                )
            was_refuted = end.is_answer and start.is_refuted_by_answer(run, now_s)
            start.ended_s = None if was_refuted else start.ended_s
        if was_refuted:
            # The backend server refused a connection only because it had no room for
            # it. It still answers, so no request has crashed it.
            self._on_update(self._history.retract(key, now_s), now_s)
            self._events.emit("backend_server_crash_retracted", backend_server=key[0])
        if end.is_success and run is not None:
            self._on_update(self._history.record_answer(run.content_hash, now_s), now_s)
        return end.is_broken and self._detect_crash(server, start, now_s)

    def record_replacement(self, server: LocalBackendServer, now_s: float) -> None:
        """Record the crash of a backend server whose address another one has now.

        Call it only if the backend server was not draining. If the new backend server
        starts soon after the crash, the gate's check of the address reaches the new one
        and does not detect the crash. Runs that broke off shortly before were lost in
        the crash.
        """
        with self._lock:
            start = self._start_of(_key(server))
            broken_s = [lost.lost_s for lost in start.lost if lost.is_broken]
        with start.probe_lock:
            if start.has_ended:
                return
            start.ended_s = now_s
        # If no run broke off recently, the backend server crashed while idle, and no
        # request is the cause. The crash is recorded nevertheless, because such crashes
        # show how often backend servers crash by themselves.
        is_recent = broken_s and now_s - broken_s[-1] <= REPLACED_WITHIN_S
        self._record_crash(server, start, broken_s[-1] if is_recent else now_s)

    def _detect_crash(
        self, server: LocalBackendServer, start: _Start, now_s: float
    ) -> bool:
        """Return whether this start has ended; record its crash when first detected."""
        with start.probe_lock:
            if start.has_ended:
                return True
            if not (server.has_restarted or server.is_replaced):
                if server.state is BackendServerState.DRAINING:
                    # The backend server had announced its end, so this is no crash.
                    return False
                if now_s <= start.probed_s:
                    # A probe made after the end of this run found the server running.
                    return False
                start.probed_s = now_s
                if not self._is_down(_address(server)):
                    return False
            start.ended_s = now_s
        self._record_crash(server, start, now_s)
        return True

    def _record_crash(
        self, server: LocalBackendServer, start: _Start, now_s: float
    ) -> None:
        with self._lock:
            runs = _runs_at(start, now_s)
        crash = Crash(*_key(server), server.announcement.service, 0, tuple(runs))
        self._events.emit(
            "backend_server_crashed",
            backend_server=crash.backend_server_id,
            service=crash.service,
            runs=",".join(f"{run.content_hash:016x}:{run.ran_ms}" for run in runs),
        )
        self._on_update(self._history.merge(CrashUpdate([crash]), now_s), now_s)

    def _start_of(self, key: tuple[str, int]) -> _Start:
        start = self._starts.get(key)
        if start is None:
            start = self._starts[key] = _Start()
            if len(self._starts) > STARTS_MAX:
                self._starts.popitem(last=False)
        return start


def _runs_at(start: _Start, now_s: float) -> list[CrashedRun]:
    """Return the requests lost in a crash, each once, the shortest run first."""
    run_times_s = {
        run.content_hash: max(0.0, now_s - run.started_s)
        for run in start.running.values()
    }
    for lost in start.lost:
        if now_s - lost.lost_s <= LOST_TOGETHER_S:
            run_times_s[lost.content_hash] = min(
                lost.ran_s, run_times_s.get(lost.content_hash, lost.ran_s)
            )
    run_times_s.pop(0, None)
    shortest = sorted(run_times_s.items(), key=lambda item: item[1])[:REPORTED_RUNS_MAX]
    return [
        CrashedRun(content_hash, round(ran_s * 1000))
        for content_hash, ran_s in shortest
    ]


def refuses_connections(address: str) -> bool:
    """Return whether no process listens at an address.

    A timeout does not count as a refusal: a running backend server ignores attempts to
    connect while its queue of new connections is full.
    """
    host, _, port = address.partition(":")
    with socket.socket() as probe:
        probe.settimeout(CONNECT_TIMEOUT_S)
        return probe.connect_ex((host, int(port))) == errno.ECONNREFUSED


def _key(server: LocalBackendServer) -> tuple[str, int]:
    return server.backend_server_id, start_id(server.announcement.boot_id)


def _address(server: LocalBackendServer) -> str:
    return server.announcement.address
