"""Detects crashes of a gate's backend servers, and the requests lost in each crash."""

import errno
import math
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
# that crash. A run can be lost before the crash is detected for two reasons. The run's
# caller may disconnect. Or the thread that handles the run may notice the end of the
# run's connection before another thread detects the crash.
LOST_TOGETHER_S = 1.0
# A run that begins within this time after the detection of a crash may use an idle
# connection that the crash ended. The loss of such a run is no further crash. A longer
# time would miss crashes of replacements that start within a second.
STALE_CONNECTION_S = 0.5
# The longest time from the crash of a backend server until its replacement announces
# itself at the same address.
REPLACED_WITHIN_S = 5.0
CONNECT_TIMEOUT_S = 0.25
# An announcement that is received within this time after the detection of a crash may
# have been sent before the crash.
LATE_ANNOUNCEMENT_S = 1.0
PROCESSES_MAX = 64
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
    started_s: float
    lost_s: float
    is_broken: bool

    @property
    def ran_s(self) -> float:
        return self.lost_s - self.started_s


@dataclass
class _ServerProcess:
    """One process of a backend server: its runs, and when its end was detected.

    Until a replacement at the same address announces itself, requests for this process
    run at the replacement. So a further crash may be detected after the first one.

    Attributes
    ----------
    ended_s : float
        When the last crash was detected; minus infinity if there was none, or if it
        was retracted.
    crash_count : int
        Number of crashes that were detected, including retracted ones.
    """

    running: dict[AttemptId, _Run] = field(default_factory=dict)
    lost: deque[_LostRun] = field(
        default_factory=lambda: deque(maxlen=REPORTED_RUNS_MAX)
    )
    checked_s: float = -math.inf
    check_lock: threading.Lock = field(default_factory=threading.Lock)
    ended_s: float = -math.inf
    crash_count: int = 0

    def record_crash(self, now_s: float) -> int:
        """Record that a crash was detected; return its number, from 0."""
        self.ended_s = now_s
        self.crash_count += 1
        return self.crash_count - 1

    @property
    def has_ended(self) -> bool:
        """Whether the end of this process was detected."""
        return self.ended_s > -math.inf

    def began_after_end(self, run: _Run | None) -> bool:
        """Return whether a run began `STALE_CONNECTION_S` after the last crash."""
        earliest_s = self.ended_s + STALE_CONNECTION_S
        return self.has_ended and run is not None and run.started_s > earliest_s

    def is_refuted_by_answer(self, server: LocalBackendServer) -> bool:
        """Return whether an answer received now shows that this process has not ended.

        The answer alone does not: a replacement at the same address also answers, and
        its first announcement may arrive later. So this process must also have
        announced itself more than `LATE_ANNOUNCEMENT_S` after its recorded end, and
        must not have been replaced.
        """
        if not self.has_ended or server.has_restarted or server.is_replaced:
            return False
        return server.announced_s > self.ended_s + LATE_ANNOUNCEMENT_S


class CrashWatch:
    """Watches the runs at the backend servers of one gate; thread-safe.

    If a connection ends without an answer, the backend server may have crashed, or may
    still be running and have closed only this connection. It has crashed if it refuses
    connections afterwards, or has been restarted or replaced.

    Parameters
    ----------
    history : CrashHistory
        Records crashes and answers.
    on_update : callable
        Called after each change of `history`, with the change and the present time.
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
        self._processes: OrderedDict[tuple[str, int], _ServerProcess] = OrderedDict()

    def record_start(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        content_hash: int,
        now_s: float,
    ) -> None:
        """Record that a request starts to run."""
        with self._lock:
            process = self._process_of(_key(server))
            process.running[attempt_id] = _Run(content_hash, now_s)

    def record_end(
        self,
        server: LocalBackendServer,
        attempt_id: AttemptId,
        end: RunEnd,
        now_s: float,
    ) -> bool:
        """Record a run's end; return whether a crash of the backend server caused it.

        If `end.is_broken` is False, the run did not end in a crash. An answer may show
        that a crash was recorded by mistake, see `_ServerProcess.is_refuted_by_answer`;
        the crash is then retracted.
        """
        key = _key(server)
        with self._lock:
            process = self._process_of(key)
            run = process.running.pop(attempt_id, None)
            if run is not None and end.is_lost:
                process.lost.append(_LostRun(*run, now_s, end.is_broken))
            was_refuted = end.is_answer and process.is_refuted_by_answer(server)
            if was_refuted:
                process.ended_s = -math.inf
        if was_refuted:
            # A backend server may refuse connections although it runs, because it may
            # stop listening while its own queue is long.
            for number in range(process.crash_count):
                crash_key = _crash_key(server, number)
                self._on_update(self._history.retract(crash_key, now_s), now_s)
            self._events.emit("backend_server_crash_retracted", backend_server=key[0])
        if end.is_success and run is not None:
            self._on_update(self._history.record_answer(run.content_hash, now_s), now_s)
        return end.is_broken and self._detect_crash(server, process, run, now_s)

    def record_replacement(self, server: LocalBackendServer, now_s: float) -> None:
        """Record the crash of a backend server whose address another one now has.

        If the new backend server starts soon after the crash, `is_down` connects to the
        new backend server, so that `record_end` does not detect the crash. A crash that
        was already detected is not recorded again.

        If a run's connection ended without an answer at most `REPLACED_WITHIN_S` ago,
        the run was lost in the crash. The crash is then recorded as of the end of the
        run. If no run ended like this, the crash is recorded as of `now_s`.

        Must not be called for a draining backend server: its end is not a crash.
        """
        with self._lock:
            process = self._process_of(_key(server))
            broken_s = [lost.lost_s for lost in process.lost if lost.is_broken]
        with process.check_lock:
            if process.has_ended:
                return
            number = process.record_crash(now_s)
        # If no run's connection ended recently, the backend server crashed while idle,
        # and no request caused the crash. Record this crash, too: such crashes show how
        # often backend servers crash for reasons other than requests.
        is_recent = broken_s and now_s - broken_s[-1] <= REPLACED_WITHIN_S
        crashed_s = broken_s[-1] if is_recent else now_s
        runs = self._lost_runs(process, crashed_s)
        self._report_crash(server, number, runs, crashed_s)

    def _detect_crash(
        self,
        server: LocalBackendServer,
        process: _ServerProcess,
        run: _Run | None,
        now_s: float,
    ) -> bool:
        """Return whether a process has crashed, and record a newly detected crash.

        Parameters
        ----------
        run : _Run or None
            The run whose connection ended without an answer; None if unknown.
        now_s : float
            When the connection ended.
        """
        with process.check_lock:
            if process.has_ended and not process.began_after_end(run):
                return True
            if not self._is_new_crash(server, process, now_s):
                return process.has_ended
            previous_s = process.ended_s
            number = process.record_crash(now_s)
        self._report_crash(
            server, number, self._lost_runs(process, now_s, previous_s), now_s
        )
        return True

    def _is_new_crash(
        self, server: LocalBackendServer, process: _ServerProcess, now_s: float
    ) -> bool:
        """Return whether the process at a backend server's address has just ended."""
        if server.has_restarted or server.is_replaced:
            # A crash of the process that runs there now is detected by its own runs.
            return not process.has_ended
        if server.state is BackendServerState.DRAINING:
            # The backend server had announced that it would stop, so its end is not a
            # crash.
            return False
        if now_s <= process.checked_s:
            # Another thread checked the address after this run had ended, and the
            # backend server was running.
            return False
        process.checked_s = now_s
        return self._is_down(_address(server))

    def _lost_runs(
        self, process: _ServerProcess, now_s: float, previous_s: float = -math.inf
    ) -> list[CrashedRun]:
        """Return the requests lost in a crash, each once, the shortest run first.

        Requests without a content hash are omitted. If there are more than
        `REPORTED_RUNS_MAX` requests, those with the longest runs are omitted.

        Parameters
        ----------
        previous_s : float
            When an earlier crash was detected. Runs that began before were lost in that
            crash, and are omitted.
        """
        with self._lock:
            running, lost = [*process.running.values()], [*process.lost]
        run_times_s = {
            run.content_hash: max(0.0, now_s - run.started_s)
            for run in running
            if run.started_s > previous_s
        }
        for one in lost:
            if now_s - one.lost_s <= LOST_TOGETHER_S and one.started_s > previous_s:
                run_times_s[one.content_hash] = min(
                    one.ran_s, run_times_s.get(one.content_hash, one.ran_s)
                )
        run_times_s.pop(0, None)
        shortest = sorted(run_times_s.items(), key=lambda item: item[1])[
            :REPORTED_RUNS_MAX
        ]
        return [
            CrashedRun(content_hash, round(ran_s * 1000))
            for content_hash, ran_s in shortest
        ]

    def _report_crash(
        self,
        server: LocalBackendServer,
        number: int,
        runs: list[CrashedRun],
        now_s: float,
    ) -> None:
        service = server.announcement.service
        crash = Crash(*_crash_key(server, number), service, 0, tuple(runs))
        self._events.emit(
            "backend_server_crashed",
            backend_server=crash.backend_server_id,
            service=crash.service,
            runs=",".join(f"{run.content_hash:016x}:{run.ran_ms}" for run in runs),
        )
        self._on_update(self._history.merge(CrashUpdate([crash]), now_s), now_s)

    def _process_of(self, key: tuple[str, int]) -> _ServerProcess:
        process = self._processes.get(key)
        if process is None:
            process = self._processes[key] = _ServerProcess()
            if len(self._processes) > PROCESSES_MAX:
                self._processes.popitem(last=False)
        return process


def refuses_connections(address: str) -> bool:
    """Return whether no process listens at an address.

    A timeout does not count as a refusal. While a running backend server's queue of new
    connections is full, the kernel does not answer connection requests.
    """
    host, _, port = address.partition(":")
    with socket.socket() as connection:
        connection.settimeout(CONNECT_TIMEOUT_S)
        return connection.connect_ex((host, int(port))) == errno.ECONNREFUSED


def _key(server: LocalBackendServer) -> tuple[str, int]:
    return server.backend_server_id, start_id(server.announcement.boot_id)


def _crash_key(server: LocalBackendServer, number: int) -> tuple[str, int]:
    """Return the key of a crash; a repeated key would merge it with an earlier one."""
    boot_id = server.announcement.boot_id
    start = start_id(f"{boot_id}#{number}" if number else boot_id)
    return server.backend_server_id, start


def _address(server: LocalBackendServer) -> str:
    return server.announcement.address
