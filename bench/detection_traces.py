"""Seeded traces of work: the two deployments, healthy and with faults."""

import math
import random
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.evidence import WorkResult

__all__ = [
    "DEPLOYMENTS",
    "FAULT_START_S",
    "Deployment",
    "Ending",
    "Fault",
    "ServerWork",
    "Service",
]

# Healthy time before a fault, in which slow limits are learned.
FAULT_START_S = 300.0
FLAP_S = 20.0
SLOW_FACTOR = 8.0
OVERLOAD_FACTOR = 10.0
OVERLOAD_SHED = 0.2
HALF = 0.5
# Healthy backend servers: some errors, a spread of latencies, and a stall
# (a pause of the runtime, a lock) now and then.
ERROR_SHARE = 0.003
LATENCY_SIGMA = 0.5
STALL_INTERVAL_S = 300.0
STALL_MIN_S, STALL_MAX_S = 0.15, 0.4
ERROR_MS = 5.0


class Service(NamedTuple):
    """One service of a deployment.

    Attributes
    ----------
    rate_per_server : float
        Requests a second.
    weight : float
        Worth of one answered request.
    idempotent_share : float
        Part of the requests that may run twice: look-ups, not signatures.
    """

    name: str
    servers: int
    slots: int
    rate_per_server: float
    median_ms: float
    timeout_ms: float
    weight: float
    idempotent_share: float


class Deployment(NamedTuple):
    """Services, and the availability zones that their VMs are spread over.

    Attributes
    ----------
    bench_share : float
        Of the seeds and hours that the bench runs.
    """

    name: str
    zones: int
    services: tuple[Service, ...]
    bench_share: float = 1.0


DEPLOYMENTS = (
    Deployment(
        "association",
        3,
        (
            Service("vacancy-board", 6, 6, 2.0, 15.0, 2000.0, 1.0, 1.0),
            Service("medical-fitness", 6, 6, 1.0, 40.0, 2000.0, 3.0, 1.0),
            Service("contracts", 10, 6, 0.5, 120.0, 2000.0, 10.0, 0.7),
        ),
    ),
    Deployment(
        "kelvale",
        4,
        (
            Service("support-load", 8, 7, 2.0, 20.0, 2000.0, 1.0, 1.0),
            Service("sign-off", 8, 7, 0.5, 150.0, 2000.0, 10.0, 0.7),
            Service("nozzle-check", 10, 7, 1.0, 60.0, 2000.0, 3.0, 1.0),
        ),
    ),
    # The rate of one backend server at the size of the long run: 1.8 million
    # requests a second over 140,000. Few of them, for the bench's time.
    Deployment(
        "long-run", 3, (Service("typical", 6, 7, 13.0, 20.0, 2000.0, 1.0, 1.0),), 0.4
    ),
)


class Fault(StrEnum):
    """What goes wrong at `FAULT_START_S`."""

    NONE = "none"
    GRAY = "gray"
    HALF = "half_failing"
    SLOW = "slow"
    FLAPPING = "flapping"
    OVERLOAD = "overload_of_all"
    ZONE_CUT = "zone_cut"


class Ending(NamedTuple):
    """How a request ends when nothing is done about it."""

    result: WorkResult
    latency_ms: float


class ServerWork:
    """Endings of the requests at one backend server."""

    def __init__(self, service: Service, fault: Fault, seed: str) -> None:
        self._service = service
        self._fault = fault
        self._random = random.Random(seed)
        self._stall_start_s = 0.0
        self._stall_end_s = 0.0
        self._draw_stall(0.0)

    def is_sick(self, now_s: float) -> bool:
        """Tell whether this backend server is the one with the fault now."""
        if now_s < FAULT_START_S:
            return False
        if self._fault is Fault.FLAPPING:
            return int((now_s - FAULT_START_S) / FLAP_S) % 2 == 0
        return self._fault in _SICKNESSES

    def end(self, now_s: float) -> Ending:
        """Draw the ending of a request that starts now."""
        ending = self._healthy(now_s)
        if now_s >= FAULT_START_S:
            ending = self._faulty(ending, now_s)
        if ending.latency_ms >= self._service.timeout_ms:
            return Ending(WorkResult.SILENCE, self._service.timeout_ms)
        return ending

    def _faulty(self, ending: Ending, now_s: float) -> Ending:
        match self._fault:
            case Fault.GRAY:
                return Ending(WorkResult.SILENCE, math.inf)
            case Fault.FLAPPING if self.is_sick(now_s):
                return Ending(WorkResult.SILENCE, math.inf)
            case Fault.HALF if self._random.random() < HALF:
                return Ending(WorkResult.ERROR, ERROR_MS)
            case Fault.SLOW:
                return ending._replace(latency_ms=ending.latency_ms * SLOW_FACTOR)
            case Fault.OVERLOAD:
                if self._random.random() < OVERLOAD_SHED:
                    return Ending(WorkResult.SHED, ERROR_MS)
                slowed_ms = ending.latency_ms * OVERLOAD_FACTOR
                return ending._replace(latency_ms=slowed_ms)
        return ending

    def _healthy(self, now_s: float) -> Ending:
        if self._random.random() < ERROR_SHARE:
            return Ending(WorkResult.ERROR, ERROR_MS)
        spread = math.exp(self._random.gauss(0, LATENCY_SIGMA))
        latency_ms = self._service.median_ms * spread
        while now_s >= self._stall_end_s:
            self._draw_stall(self._stall_end_s)
        if now_s >= self._stall_start_s:
            latency_ms += (self._stall_end_s - now_s) * 1000
        return Ending(WorkResult.ANSWERED, latency_ms)

    def _draw_stall(self, after_s: float) -> None:
        self._stall_start_s = after_s + self._random.expovariate(1 / STALL_INTERVAL_S)
        length_s = self._random.uniform(STALL_MIN_S, STALL_MAX_S)
        self._stall_end_s = self._stall_start_s + length_s


_SICKNESSES = {Fault.GRAY, Fault.HALF, Fault.SLOW}
