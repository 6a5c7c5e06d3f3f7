"""One run: a service's work in virtual time, under one fault and detector.

Each request goes to a backend server that the floor keeps in use, drawn at
random; its ending comes from the server's own trace. Nothing sleeps.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.membership.directory import Placement
from balsamspindle.services.floor import ON_TRIAL, SUSPECTED, decide_floor
from balsamspindle.services.view import TRIAL_SHARE
from balsamspindle.wire import BackendServerRecord, NodeRecord
from bench.detection_detectors import Detector
from bench.detection_traces import FAULT_START_S, Fault, ServerWork, Service

__all__ = ["RunResult", "run_service"]

TICK_S = 0.05
FLOOR_FRACTION = 0.6
SICK_SERVER = 0
# A zone cut keeps these out of each other's reach: callers in other zones
# can't reach the gates of zone 0.
CUT_ZONE = 0


class RunResult(NamedTuple):
    """What one run measured.

    Attributes
    ----------
    first_request_s : float or None
        From the fault's start to the first request at the sick one: no
        detector that goes by work is faster.
    detection_s : float or None
        From the fault's start to the first ejection of the sick one.
    false_ejections : int
        Ejections of backend servers that were not sick.
    healthy_server_s : float
    capacity_lost_s : float
        Server-seconds that healthy backend servers were suspected.
    answered, asked : float
        Requests, weighted by kind, from the fault's start on.
    failed_at_sick : int
        Requests that failed at the sick one, from the fault's start on.
    """

    first_request_s: float | None
    detection_s: float | None
    false_ejections: int
    healthy_server_s: float
    capacity_lost_s: float
    answered: float
    asked: float
    failed_at_sick: int


class _Run:
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
        self._order = itertools.count()
        self._suspicion = [0.0] * service.servers
        self._suspected_s = [0.0] * service.servers
        self._usable: list[int] = []
        self._trials: list[int] = []
        self._decide()
        self.first_request_s: float | None = None
        self.detection_s: float | None = None
        self.false_ejections = 0
        self.capacity_lost_s = 0.0
        self.answered = self.asked = 0.0
        self.failed_at_sick = 0

    def run(self) -> RunResult:
        rate = self._service.rate_per_server * self._service.servers
        arrival_s = self._random.expovariate(rate)
        while arrival_s < self._duration_s:
            self._run_until(arrival_s)
            self._arrive(arrival_s)
            arrival_s += self._random.expovariate(rate)
        self._run_until(self._duration_s)
        for server in range(self._service.servers):
            self._set(server, 0.0, self._duration_s)
        sick = self._fault in _ONE_SICK
        healthy = self._service.servers - sick
        return RunResult(
            self.first_request_s,
            self.detection_s,
            self.false_ejections,
            healthy * self._duration_s,
            self.capacity_lost_s,
            self.answered,
            self.asked,
            self.failed_at_sick,
        )

    def _fault_of(self, server: int) -> Fault:
        if self._fault in _ONE_SICK and server != SICK_SERVER:
            return Fault.NONE
        return self._fault

    def _run_until(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            now_s, _, kind, server, attempt, result = heapq.heappop(self._events)
            if kind == "tick":
                self._detector.tick(server, now_s)
            else:
                self._end(server, attempt, result, now_s)
            self._look(server, now_s)

    def _push(self, at_s, kind, server, attempt=0, result=None) -> None:
        event = (at_s, next(self._order), kind, server, attempt, result)
        heapq.heappush(self._events, event)

    def _arrive(self, now_s: float) -> None:
        self._refresh(now_s)
        idempotent = self._random.random() < self._service.idempotent_share
        server = self._choose(idempotent)
        if now_s >= FAULT_START_S:
            self.asked += self._service.weight
        if self._is_cut(server, now_s):
            # The ingress tries another one: a failed link proves not-run.
            self._detector.link_failed(server, now_s)
            self._look(server, now_s)
            near = [other for other in self._usable if not self._in_cut_zone(other)]
            if not near:
                return
            server = self._random.choice(near)
        self._dispatch(server, now_s)

    def _dispatch(self, server: int, now_s: float) -> None:
        attempt = next(self._order)
        if self.first_request_s is None and self._is_sick(server, now_s):
            self.first_request_s = now_s - FAULT_START_S
        ending = self._work[server].end(now_s)
        self._detector.started(server, attempt, now_s)
        ends_s = now_s + ending.latency_ms / 1000
        self._push(ends_s, "end", server, attempt, ending.result)
        if self._detector.uses_ages:
            self._push_ticks(server, now_s, ends_s)
        self._look(server, now_s)

    def _push_ticks(self, server, now_s, ends_s) -> None:
        tick_s = now_s + TICK_S
        while tick_s < ends_s:
            self._push(tick_s, "tick", server)
            tick_s += TICK_S

    def _end(self, server, attempt, result, now_s) -> None:
        self._detector.ended(server, attempt, result, now_s)
        if now_s < FAULT_START_S:
            return
        if result is WorkResult.ANSWERED:
            self.answered += self._service.weight
        elif self._fault in _ONE_SICK and server == SICK_SERVER:
            self.failed_at_sick += 1

    def _choose(self, idempotent: bool) -> int:
        chance = TRIAL_SHARE * len(self._trials) / self._service.servers
        if self._trials and idempotent and self._random.random() < chance:
            return self._random.choice(self._trials)
        return self._random.choice(self._usable)

    def _is_cut(self, server: int, now_s: float) -> bool:
        """Tell whether this request's ingress can't reach the gate."""
        if self._fault is not Fault.ZONE_CUT or now_s < FAULT_START_S:
            return False
        if not self._in_cut_zone(server):
            return False
        return self._random.random() < 1 - 1 / self._zones

    def _in_cut_zone(self, server: int) -> bool:
        return server % self._zones == CUT_ZONE

    def _refresh(self, now_s: float) -> None:
        """Look at those whose suspicion may change with time alone."""
        for server, suspicion in enumerate(self._suspicion):
            if suspicion:
                self._detector.tick(server, now_s)
                self._look(server, now_s)

    def _look(self, server: int, now_s: float) -> None:
        self._set(server, self._detector.suspicion(server, now_s), now_s)

    def _set(self, server: int, suspicion: float, now_s: float) -> None:
        before = self._suspicion[server]
        if suspicion == before:
            return
        sick = self._is_sick(server, now_s)
        if suspicion >= SUSPECTED and before < ON_TRIAL:
            self._suspected_s[server] = now_s
            if not sick:
                self.false_ejections += 1
            elif self.detection_s is None:
                self.detection_s = now_s - FAULT_START_S
        if suspicion < ON_TRIAL and not sick:
            self.capacity_lost_s += now_s - self._suspected_s[server]
        self._suspicion[server] = suspicion
        self._decide()

    def _is_sick(self, server: int, now_s: float) -> bool:
        if self._fault not in _ONE_SICK or server != SICK_SERVER:
            return False
        return now_s >= FAULT_START_S

    def _decide(self) -> None:
        placements = [
            _placement(server, self._service.slots, suspicion)
            for server, suspicion in enumerate(self._suspicion)
        ]
        decision = decide_floor(placements, FLOOR_FRACTION)
        left_out = {int(suspect.node_id) for suspect in decision.left_out}
        servers = range(self._service.servers)
        self._usable = [server for server in servers if server not in left_out]
        self._trials = [
            server for server in left_out if self._suspicion[server] < SUSPECTED
        ]


def run_service(
    service: Service,
    zones: int,
    fault: Fault,
    detector: Detector,
    seed: str,
    duration_s: float,
) -> RunResult:
    """Run one service under one fault with one detector."""
    return _Run(service, zones, fault, detector, seed, duration_s).run()


_ONE_SICK = {Fault.GRAY, Fault.HALF, Fault.SLOW, Fault.FLAPPING}


def _placement(server: int, slots: int, suspicion: float) -> Placement:
    record = BackendServerRecord(
        f"server-{server}", "s", "1", slots, "ready", suspicion
    )
    node = NodeRecord(f"{server}", 1, 1, "r", "z", "", "", "alive", (record,))
    return Placement(node, record)
