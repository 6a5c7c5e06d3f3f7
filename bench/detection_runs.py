"""Simulates the requests of one service under one fault and one detector.

Each request goes to a random backend server that is not ejected, or sometimes to one
that is on trial. The floor limits the ejections. The `ServerWork` of the backend server
draws the request's result and latency. Time is virtual.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.membership.directory import Placement
from balsamspindle.services.floor import ON_TRIAL, SUSPECTED, decide_floor
from balsamspindle.services.view import TRIAL_FRACTION
from balsamspindle.wire import BackendServerRecord, NodeRecord
from bench.detection_detectors import Detector
from bench.detection_traces import FAULT_START_S, Fault, ServerWork, Service

__all__ = ["RunResult", "run_service"]

TICK_S = 0.05
FLOOR_FRACTION = 0.6
FAULTY_SERVER = 0
# During `Fault.ZONE_CUT`, ingresses in other zones can't reach the gates in this zone.
CUT_ZONE = 0


class RunResult(NamedTuple):
    """Figures of one run.

    Attributes
    ----------
    first_request_s : float or None
        Time from the fault's start to the first request at the faulty backend server.
        No detector that judges requests can be faster. None without such a request.
    detection_s : float or None
        Time from the fault's start to the first ejection of the faulty backend server;
        None if it was not ejected.
    false_ejections : int
        Number of ejections of healthy backend servers.
    healthy_server_s : float
        Duration of the run, times the number of its healthy backend servers.
    capacity_lost_s : float
        Sum of the times in which healthy backend servers were suspected or on trial.
    answered, sent : float
        Total weight of the answered requests and of all requests, from the fault's
        start on.
    failed_at_faulty : int
        Number of requests that failed at the faulty backend server from the fault's
        start on.
    """

    first_request_s: float | None
    detection_s: float | None
    false_ejections: int
    healthy_server_s: float
    capacity_lost_s: float
    answered: float
    sent: float
    failed_at_faulty: int


class _Simulation:
    def __init__(self, service, zones, fault, detector, seed, duration_s):
        self._service: Service = service
        self._zones = zones
        self._fault = fault
        self._detector: Detector = detector
        self._duration_s = duration_s
        self._random = random.Random(f"routing {seed}")
        self._work = [
            ServerWork(service, self._fault_of(server), f"{seed} {server}")
            for server in range(service.servers)
        ]
        self._events: list = []
        self._sequence = itertools.count()
        self._suspicion = [0.0] * service.servers
        self._suspected_s = [0.0] * service.servers
        self._usable: list[int] = []
        self._on_trial: list[int] = []
        self._update_usable()
        self.first_request_s: float | None = None
        self.detection_s: float | None = None
        self.false_ejections = 0
        self.capacity_lost_s = 0.0
        self.answered = self.sent = 0.0
        self.failed_at_faulty = 0

    def run(self) -> RunResult:
        rate = self._service.rate_per_server * self._service.servers
        arrival_s = self._random.expovariate(rate)
        while arrival_s < self._duration_s:
            self._process_events(arrival_s)
            self._route_request(arrival_s)
            arrival_s += self._random.expovariate(rate)
        self._process_events(self._duration_s)
        for server in range(self._service.servers):
            self._set_suspicion(server, 0.0, self._duration_s)
        faulty = self._fault in _SINGLE_SERVER_FAULTS
        healthy = self._service.servers - faulty
        return RunResult(
            self.first_request_s,
            self.detection_s,
            self.false_ejections,
            healthy * self._duration_s,
            self.capacity_lost_s,
            self.answered,
            self.sent,
            self.failed_at_faulty,
        )

    def _fault_of(self, server: int) -> Fault:
        if self._fault in _SINGLE_SERVER_FAULTS and server != FAULTY_SERVER:
            return Fault.NONE
        return self._fault

    def _process_events(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            now_s, _, kind, server, attempt, result = heapq.heappop(self._events)
            if kind == "tick":
                self._detector.tick(server, now_s)
            else:
                self._record_end(server, attempt, result, now_s)
            self._update_suspicion(server, now_s)

    def _schedule(self, at_s, kind, server, attempt=0, result=None) -> None:
        event = (at_s, next(self._sequence), kind, server, attempt, result)
        heapq.heappush(self._events, event)

    def _route_request(self, now_s: float) -> None:
        self._update_suspected(now_s)
        idempotent = self._random.random() < self._service.idempotent_fraction
        server = self._choose_server(idempotent)
        if now_s >= FAULT_START_S:
            self.sent += self._service.weight
        if self._is_cut(server, now_s):
            # A request can't have run if its ingress has no link to the gate. So the
            # ingress retries the request at another backend server.
            self._detector.record_link_failure(server, now_s)
            self._update_suspicion(server, now_s)
            reachable = [
                other for other in self._usable if not self._in_cut_zone(other)
            ]
            if not reachable:
                return
            server = self._random.choice(reachable)
        self._dispatch(server, now_s)

    def _dispatch(self, server: int, now_s: float) -> None:
        attempt = next(self._sequence)
        if self.first_request_s is None and self._is_faulty(server, now_s):
            self.first_request_s = now_s - FAULT_START_S
        ending = self._work[server].draw_ending(now_s)
        self._detector.record_start(server, attempt, now_s)
        ends_s = now_s + ending.latency_ms / 1000
        self._schedule(ends_s, "end", server, attempt, ending.result)
        if self._detector.needs_ticks:
            self._schedule_ticks(server, now_s, ends_s)
        self._update_suspicion(server, now_s)

    def _schedule_ticks(self, server, now_s, ends_s) -> None:
        tick_s = now_s + TICK_S
        while tick_s < ends_s:
            self._schedule(tick_s, "tick", server)
            tick_s += TICK_S

    def _record_end(self, server, attempt, result, now_s) -> None:
        self._detector.record_end(server, attempt, result, now_s)
        if now_s < FAULT_START_S:
            return
        if result is WorkResult.ANSWERED:
            self.answered += self._service.weight
        elif self._fault in _SINGLE_SERVER_FAULTS and server == FAULTY_SERVER:
            self.failed_at_faulty += 1

    def _choose_server(self, idempotent: bool) -> int:
        trial_probability = TRIAL_FRACTION * len(self._on_trial) / self._service.servers
        if self._on_trial and idempotent and self._random.random() < trial_probability:
            return self._random.choice(self._on_trial)
        return self._random.choice(self._usable)

    def _is_cut(self, server: int, now_s: float) -> bool:
        """Return whether the link from the ingress to the gate fails.

        The zone of the ingress is drawn at random.
        """
        if self._fault is not Fault.ZONE_CUT or now_s < FAULT_START_S:
            return False
        if not self._in_cut_zone(server):
            return False
        return self._random.random() < 1 - 1 / self._zones

    def _in_cut_zone(self, server: int) -> bool:
        return server % self._zones == CUT_ZONE

    def _update_suspected(self, now_s: float) -> None:
        """Call `tick` for the suspected backend servers and update their suspicion.

        The suspicion can change without further requests, as when a hold-out ends.
        """
        for server, suspicion in enumerate(self._suspicion):
            if suspicion:
                self._detector.tick(server, now_s)
                self._update_suspicion(server, now_s)

    def _update_suspicion(self, server: int, now_s: float) -> None:
        self._set_suspicion(server, self._detector.suspicion(server, now_s), now_s)

    def _set_suspicion(self, server: int, suspicion: float, now_s: float) -> None:
        previous = self._suspicion[server]
        if suspicion == previous:
            return
        faulty = self._is_faulty(server, now_s)
        if suspicion >= SUSPECTED and previous < ON_TRIAL:
            self._suspected_s[server] = now_s
            if not faulty:
                self.false_ejections += 1
            elif self.detection_s is None:
                self.detection_s = now_s - FAULT_START_S
        if suspicion < ON_TRIAL and not faulty:
            self.capacity_lost_s += now_s - self._suspected_s[server]
        self._suspicion[server] = suspicion
        self._update_usable()

    def _is_faulty(self, server: int, now_s: float) -> bool:
        if self._fault not in _SINGLE_SERVER_FAULTS or server != FAULTY_SERVER:
            return False
        return now_s >= FAULT_START_S

    def _update_usable(self) -> None:
        placements = [
            _placement(server, self._service.slots, suspicion)
            for server, suspicion in enumerate(self._suspicion)
        ]
        decision = decide_floor(placements, FLOOR_FRACTION)
        excluded = {int(suspect.node_id) for suspect in decision.left_out}
        servers = range(self._service.servers)
        self._usable = [server for server in servers if server not in excluded]
        self._on_trial = [
            server for server in excluded if self._suspicion[server] < SUSPECTED
        ]


def run_service(
    service: Service,
    zones: int,
    fault: Fault,
    detector: Detector,
    seed: str,
    duration_s: float,
) -> RunResult:
    """Simulate one service for `duration_s`; the fault begins at `FAULT_START_S`."""
    return _Simulation(service, zones, fault, detector, seed, duration_s).run()


_SINGLE_SERVER_FAULTS = {Fault.GRAY, Fault.HALF, Fault.SLOW, Fault.FLAPPING}


def _placement(server: int, slots: int, suspicion: float) -> Placement:
    record = BackendServerRecord(
        f"server-{server}", "s", "1", slots, "ready", suspicion
    )
    node = NodeRecord(f"{server}", 1, 1, "r", "z", "", "", "alive", (record,))
    return Placement(node, record)
