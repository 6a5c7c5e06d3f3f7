"""Health of a node's backend servers: collects evidence, publishes suspicion."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import (
    Judgement,
    ProbeResult,
    WorkResult,
)
from balsamspindle.backend_servers.health import HealthReport, ServerHealth
from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.backend_servers.servers import (
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.crashes.records import start_id
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.documents import Detection
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NOT_HELD_OUT, AttemptId, HoldOut, PeerEvidence

__all__ = ["TICK_S", "HealthMonitor"]

TICK_S = 0.05
# How long a backend server's health is stored after its announcements have stopped. If
# the announcements resume within this time, the length of the next hold-out is not
# reset.
ABSENT_EXPIRY_S = 900.0


class _MonitoredServer:
    """A backend server's health, and the state that was last published.

    Attributes
    ----------
    phase : HealthPhase
        Phase that the latest event reported.
    last_present_s : float
        When the backend server was last in the list of announced backend servers.
    previous_start_id : int or None
        Id of the backend server's previous process; see `start_id`. None when there
        was none, or when the crash of that process has been attributed to a request.
    """

    def __init__(self, health: ServerHealth, server: LocalBackendServer) -> None:
        self.health = health
        self.service = server.announcement.service
        self.boot_id = server.announcement.boot_id
        self.phase = health.phase
        self.last_present_s = 0.0

        self.previous_start_id: int | None = None

    def needs_peer_evidence_from(self, other: "_MonitoredServer") -> bool:
        """Return whether peer summaries sent for `other` also apply to this server.

        True if this server is held out and belongs to the service of `other`.
        """
        held_out = self.health.phase is HealthPhase.HELD_OUT
        return held_out and self.service == other.service


class _PhaseChange(NamedTuple):
    """A change of phase that is to be written to the event log."""

    backend_server_id: str
    service: str
    report: HealthReport


class HealthMonitor:
    """Collects evidence from attempts and probes, and publishes suspicion.

    `HealthObserver` describes the methods that a gate calls.

    Parameters
    ----------
    detection : callable
        Returns the detection settings of a service.
    is_crash_explained : callable
        Called with a backend server's id and the `start_id` of one of its processes;
        returns whether that process ended in a crash that a request caused.
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        detection: Callable[[str], Detection],
        events: EventLog,
        is_crash_explained: Callable[[str, int], bool] = lambda *_: False,
    ) -> None:
        self._is_crash_explained = is_crash_explained
        self._servers = servers
        self._detection = detection
        self._events = events
        self._lock = threading.Lock()
        self._monitored: dict[str, _MonitoredServer] = {}
        self._stopped = threading.Event()

    def run(self) -> None:
        """Call `tick` at each interval until `stop` is called."""
        while not self._stopped.wait(TICK_S):
            self.tick(time.monotonic())

    def stop(self) -> None:
        """Make `run` return, after the present tick if one is in progress."""
        self._stopped.set()

    def record_start(
        self, backend_server_id: str, attempt_id: AttemptId, now_s: float
    ) -> None:
        """See `HealthObserver.record_start`."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            if monitored is not None:
                monitored.health.record_start(attempt_id, now_s)

    def record_end(
        self,
        backend_server_id: str,
        attempt_id: AttemptId,
        result: WorkResult,
        now_s: float,
    ) -> Judgement:
        """See `HealthObserver.record_end`."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            if monitored is None:
                return Judgement()
            verdict = monitored.health.record_end(attempt_id, result, now_s)
            return Judgement(_IS_BAD[verdict], monitored.health.own_p99_ms)

    def admits(
        self,
        backend_server_id: str,
        execution: Execution,
        weight: float,
        now_s: float,
        is_last_try: bool = False,
    ) -> bool:
        """See `HealthObserver.admits`."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            return monitored is None or monitored.health.admits(
                execution, weight, now_s, is_last_try
            )

    def held_out(self, backend_server_id: str, now_s: float) -> HoldOut:
        """See `HealthObserver.held_out`."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            return (
                NOT_HELD_OUT if monitored is None else monitored.health.held_out(now_s)
            )

    def record_peer_evidence(
        self, backend_server_id: str, evidence: PeerEvidence, now_s: float
    ) -> None:
        """See `HealthObserver.record_peer_evidence`."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            if monitored is None:
                return
            monitored.health.record_peer_evidence(evidence, now_s)
            # A backend server that is held out gets no dispatch, and therefore no
            # summary of its peers. Without a summary, the server would stay held out in
            # an overload that affects all peers. Therefore this summary is also
            # recorded for each held-out server of the same service on this node. The
            # summary counts that server as a bad peer, so one bad peer is subtracted.
            # Otherwise the server's own failures would look like failures of its peers.
            others = evidence._replace(
                judged_count=max(0, evidence.judged_count - 1),
                bad_count=max(0, evidence.bad_count - 1),
            )
            for other in self._monitored.values():
                if other is not monitored and other.needs_peer_evidence_from(monitored):
                    other.health.record_peer_evidence(others, now_s)

    def record_probe_result(
        self, backend_server_id: str, result: ProbeResult, now_s: float
    ) -> None:
        """Record a probe's result."""
        with self._lock:
            monitored = self._monitored.get(backend_server_id)
            if monitored is not None:
                monitored.health.record_probe_result(result, now_s)

    def servers_to_probe(self, now_s: float) -> list[str]:
        """Return the ids of the backend servers that are to be probed."""
        with self._lock:
            return [
                backend_server_id
                for backend_server_id, monitored in self._monitored.items()
                if monitored.health.needs_probe(now_s)
            ]

    def reports(self, now_s: float) -> dict[str, HealthReport]:
        """Return the health reports of all backend servers of this node, by id."""
        with self._lock:
            return {
                backend_server_id: monitored.health.report(now_s)
                for backend_server_id, monitored in self._monitored.items()
            }

    def tick(self, now_s: float) -> None:
        """Update the health of all backend servers, and publish the changes."""
        servers = self._servers.all()
        with self._lock:
            changes = [
                change for server in servers for change in self._tick_one(server, now_s)
            ]
            self._discard_absent(now_s)
        for change in changes:
            self._emit_phase_change(change)
        for server in servers:
            self._publish(server)

    def _tick_one(self, server: LocalBackendServer, now_s: float) -> list[_PhaseChange]:
        service = server.announcement.service
        monitored = self._monitored.get(server.backend_server_id)
        if monitored is None:
            health = ServerHealth(self._detection(service), now_s)
            monitored = self._monitored[server.backend_server_id] = _MonitoredServer(
                health, server
            )
        monitored.last_present_s = now_s
        if monitored.boot_id != server.announcement.boot_id:
            monitored.previous_start_id = start_id(monitored.boot_id)
            monitored.boot_id = server.announcement.boot_id
            monitored.health.record_restart(now_s)
        self._undo_explained_ejection(monitored, server.backend_server_id, now_s)
        monitored.health.configure(self._detection(service))
        if monitored.health.needs_tick:
            monitored.health.tick(now_s)
        if monitored.health.phase is monitored.phase:
            return []
        monitored.phase = monitored.health.phase
        report = monitored.health.report(now_s)
        return [_PhaseChange(server.backend_server_id, service, report)]

    def _undo_explained_ejection(
        self, monitored: _MonitoredServer, server_id: str, now_s: float
    ) -> None:
        """Undo the ejection of a backend server that a request has crashed.

        Called at each tick, because the crash may be attributed to the request before
        or after the backend server has restarted. If the ejection were not undone, no
        caller could use the healthy backend server for some time after each such crash.
        Each hold-out would be longer than the one before.
        """
        if monitored.previous_start_id is None:
            return
        if self._is_crash_explained(server_id, monitored.previous_start_id):
            monitored.previous_start_id = None
            monitored.health.undo_crash_ejection(now_s)

    def _discard_absent(self, now_s: float) -> None:
        expired_ids = [
            backend_server_id
            for backend_server_id, monitored in self._monitored.items()
            if now_s - monitored.last_present_s > ABSENT_EXPIRY_S
        ]
        for backend_server_id in expired_ids:
            del self._monitored[backend_server_id]

    def _publish(self, server: LocalBackendServer) -> None:
        """Publish a backend server's suspicion to all nodes.

        Nothing is published for a service with `independent_errors`. The backend
        servers of such a service become sick and recover every few seconds. Published
        changes would arrive too late and use more bytes than all other messages.
        Instead, the gate refuses attempts: a refusal costs one round trip and is never
        out of date.
        """
        if self._detection(server.announcement.service).independent_errors:
            return
        with self._lock:
            suspicion = self._monitored[server.backend_server_id].health.suspicion()
        if server.suspicion != suspicion:
            self._servers.set_suspicion(server.backend_server_id, suspicion)

    def _emit_phase_change(self, change: _PhaseChange) -> None:
        report = change.report
        evidence = ",".join(
            f"{name}:{count}" for name, count in sorted(report.evidence.items())
        )
        self._events.emit(
            _EVENTS[report.phase],
            backend_server=change.backend_server_id,
            service=change.service,
            cause=evidence or None,
            score=f"{report.score:.2f}",
            threshold=report.threshold,
            slow_ms=f"{report.slow_ms:.0f}",
            peers_bad_share=f"{report.peers_bad_share:.2f}",
            hold_out_s=f"{report.hold_out_remaining_s:.1f}",
        )


_IS_BAD = {Verdict.GOOD: False, Verdict.BAD: True, Verdict.NOTHING: None}

_EVENTS = {
    HealthPhase.HELD_OUT: "backend_server_suspected",
    HealthPhase.ON_TRIAL: "backend_server_on_trial",
    HealthPhase.SERVING: "backend_server_readmitted",
}
