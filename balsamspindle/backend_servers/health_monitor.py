"""The health of all backend servers of a node: takes evidence, publishes."""

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
from balsamspindle.wire import SERVES, AttemptId, HeldOut, PeerEvidence

__all__ = ["TICK_S", "HealthMonitor"]

TICK_S = 0.05
# A backend server that went away and came back within this time is the same
# one: its doublings of the hold-out stay.
FORGET_S = 900.0


class _Known:
    """A backend server's health, and what of it was published."""

    def __init__(self, health: ServerHealth, server: LocalBackendServer) -> None:
        self.health = health
        self.service = server.announcement.service
        self.boot_id = server.announcement.boot_id
        self.phase = health.phase
        self.seen_s = 0.0
        # The start before this one; None when a request is blamed for its end.
        self.ended_start: int | None = None

    def shares_news_with(self, other: "_Known") -> bool:
        """Tell whether news of the other's peers concerns this one."""
        held_out = self.health.phase is HealthPhase.HELD_OUT
        return held_out and self.service == other.service


class _News(NamedTuple):
    """A change of phase that is to be told."""

    backend_server_id: str
    service: str
    report: HealthReport


class HealthMonitor:
    """Takes the evidence of real work; see `HealthObserver`.

    Parameters
    ----------
    detection : callable
        Returns the detection settings of a service.
    crash_is_explained : callable
        Tells whether a request is blamed for the end of one start of a backend
        server.
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        detection: Callable[[str], Detection],
        events: EventLog,
        crash_is_explained: Callable[[str, int], bool] = lambda *_: False,
    ) -> None:
        self._crash_is_explained = crash_is_explained
        self._servers = servers
        self._detection = detection
        self._events = events
        self._lock = threading.Lock()
        self._known: dict[str, _Known] = {}
        self._stopped = threading.Event()

    def run(self) -> None:
        """Look at work in flight and hold-outs until `stop` is called."""
        while not self._stopped.wait(TICK_S):
            self.tick(time.monotonic())

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def started(
        self, backend_server_id: str, attempt_id: AttemptId, now_s: float
    ) -> None:
        """See `HealthObserver.started`."""
        with self._lock:
            known = self._known.get(backend_server_id)
            if known is not None:
                known.health.started(attempt_id, now_s)

    def ended(
        self,
        backend_server_id: str,
        attempt_id: AttemptId,
        result: WorkResult,
        now_s: float,
    ) -> Judgement:
        """See `HealthObserver.ended`."""
        with self._lock:
            known = self._known.get(backend_server_id)
            if known is None:
                return Judgement()
            verdict = known.health.ended(attempt_id, result, now_s)
            return Judgement(_BAD[verdict], known.health.own_limit_ms)

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
            known = self._known.get(backend_server_id)
            return known is None or known.health.admits(
                execution, weight, now_s, is_last_try
            )

    def held_out(self, backend_server_id: str, now_s: float) -> HeldOut:
        """See `HealthObserver.held_out`."""
        with self._lock:
            known = self._known.get(backend_server_id)
            return SERVES if known is None else known.health.held_out(now_s)

    def note_peers(
        self, backend_server_id: str, evidence: PeerEvidence, now_s: float
    ) -> None:
        """See `HealthObserver.note_peers`."""
        with self._lock:
            known = self._known.get(backend_server_id)
            if known is None:
                return
            known.health.note_peers(evidence, now_s)
            # One that is held out gets no dispatch, and so no summary of its
            # own. Without this it would stay out for an overload that has
            # long been seen at all the others.
            # The summary counts that one itself, as bad: its own failures
            # would excuse it.
            of_others = evidence._replace(
                heard=max(0, evidence.heard - 1), bad=max(0, evidence.bad - 1)
            )
            for other in self._known.values():
                if other is not known and other.shares_news_with(known):
                    other.health.note_peers(of_others, now_s)

    def probed(self, backend_server_id: str, result: ProbeResult, now_s: float) -> None:
        """Take a probe's result."""
        with self._lock:
            known = self._known.get(backend_server_id)
            if known is not None:
                known.health.probed(result, now_s)

    def probes_wanted(self, now_s: float) -> list[str]:
        """Return the backend servers that a probe would tell something of."""
        with self._lock:
            return [
                backend_server_id
                for backend_server_id, known in self._known.items()
                if known.health.wants_probe(now_s)
            ]

    def reports(self, now_s: float) -> dict[str, HealthReport]:
        """Explain all backend servers of this node, by id."""
        with self._lock:
            return {
                backend_server_id: known.health.report(now_s)
                for backend_server_id, known in self._known.items()
            }

    def tick(self, now_s: float) -> None:
        """Bring all up to date and publish what changed."""
        servers = self._servers.all()
        with self._lock:
            news = [
                item for server in servers for item in self._tick_one(server, now_s)
            ]
            self._forget(now_s)
        for item in news:
            self._emit(item)
        for server in servers:
            self._publish(server)

    def _tick_one(self, server: LocalBackendServer, now_s: float) -> list[_News]:
        service = server.announcement.service
        known = self._known.get(server.backend_server_id)
        if known is None:
            health = ServerHealth(self._detection(service), now_s)
            known = self._known[server.backend_server_id] = _Known(health, server)
        known.seen_s = now_s
        if known.boot_id != server.announcement.boot_id:
            known.ended_start = start_id(known.boot_id)
            known.boot_id = server.announcement.boot_id
            known.health.restarted(now_s)
        self._excuse_crash(known, server.backend_server_id, now_s)
        known.health.configure(self._detection(service))
        if known.health.needs_tick:
            known.health.tick(now_s)
        if known.health.phase is known.phase:
            return []
        known.phase = known.health.phase
        report = known.health.report(now_s)
        return [_News(server.backend_server_id, service, report)]

    def _excuse_crash(self, known: _Known, server_id: str, now_s: float) -> None:
        """Give a backend server its work back that a request had crashed.

        The request may be quarantined before the backend server is back, or after.
        Held out for what that request did, healthy servers would be missing to all
        others, for longer with each crash.
        """
        if known.ended_start is None:
            return
        if self._crash_is_explained(server_id, known.ended_start):
            known.ended_start = None
            known.health.excuse(now_s)

    def _forget(self, now_s: float) -> None:
        gone = [
            backend_server_id
            for backend_server_id, known in self._known.items()
            if now_s - known.seen_s > FORGET_S
        ]
        for backend_server_id in gone:
            del self._known[backend_server_id]

    def _publish(self, server: LocalBackendServer) -> None:
        """Tell the fleet, unless the gate's own refusals tell it.

        Where backend servers fall sick and recover every few seconds, news of
        each would come too late and cost more bytes than all else; a refusal
        costs one round trip and is never old.
        """
        if self._detection(server.announcement.service).independent_errors:
            return
        with self._lock:
            suspicion = self._known[server.backend_server_id].health.suspicion()
        if server.suspicion != suspicion:
            self._servers.set_suspicion(server.backend_server_id, suspicion)

    def _emit(self, news: _News) -> None:
        report = news.report
        evidence = ",".join(
            f"{name}:{count}" for name, count in sorted(report.evidence.items())
        )
        self._events.emit(
            _EVENTS[report.phase],
            backend_server=news.backend_server_id,
            service=news.service,
            cause=evidence or None,
            score=f"{report.score:.2f}",
            threshold=report.threshold,
            slow_ms=f"{report.slow_ms:.0f}",
            peers_bad_share=f"{report.peers_bad_share:.2f}",
            hold_out_s=f"{report.hold_out_left_s:.1f}",
        )


_BAD = {Verdict.GOOD: False, Verdict.BAD: True, Verdict.NOTHING: None}

_EVENTS = {
    HealthPhase.HELD_OUT: "backend_server_suspected",
    HealthPhase.ON_TRIAL: "backend_server_on_trial",
    HealthPhase.SERVING: "backend_server_readmitted",
}
