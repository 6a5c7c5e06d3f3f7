"""Seeded traces of how requests end, with and without faults, and deployments."""

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

# Healthy time before a fault, in which detectors learn the usual latencies.
FAULT_START_S = 300.0
FLAP_INTERVAL_S = 20.0
SLOW_FACTOR = 8.0
OVERLOAD_FACTOR = 10.0
OVERLOAD_SHED_FRACTION = 0.2
HALF = 0.5
# Healthy backend servers: a few errors, log-normal latencies, and a stall (a pause
# of the runtime, a lock) at random times.
ERROR_FRACTION = 0.003
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
        Value of one answered request.
    idempotent_fraction : float
        Fraction of the requests that may run twice: look-ups, not signatures.
    """

    name: str
    servers: int
    slots: int
    rate_per_server: float
    median_ms: float
    timeout_ms: float
    weight: float
    idempotent_fraction: float


class Deployment(NamedTuple):
    """Services, and the availability zones that their VMs are spread over.

    Attributes
    ----------
    run_fraction : float
        Fraction of the bench's seeds and hours that this deployment runs.
    """

    name: str
    zones: int
    services: tuple[Service, ...]
    run_fraction: float = 1.0


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
    # The rate of a backend server in the full-size fleet: 1.8 million requests/s
    # over 140,000 backend servers. Only 6 are simulated, to keep the bench short.
    Deployment(
        "long-run", 3, (Service("typical", 6, 7, 13.0, 20.0, 2000.0, 1.0, 1.0),), 0.4
    ),
)


class Fault(StrEnum):
    """Fault that begins at `FAULT_START_S`."""

    NONE = "none"
    GRAY = "gray"
    HALF = "half_failing"
    SLOW = "slow"
    FLAPPING = "flapping"
    OVERLOAD = "overload_of_all"
    ZONE_CUT = "zone_cut"


class Ending(NamedTuple):
    """Result and latency of a request at a backend server."""

    result: WorkResult
    latency_ms: float


class ServerWork:
    """Draws how requests end at one backend server."""

    def __init__(self, service: Service, fault: Fault, seed: str) -> None:
        self._service = service
        self._fault = fault
        self._random = random.Random(seed)
        self._stall_start_s = 0.0
        self._stall_end_s = 0.0
        self._draw_stall(0.0)

    def is_faulty(self, now_s: float) -> bool:
        """Return whether a fault of this backend server alone is active now."""
        if now_s < FAULT_START_S:
            return False
        if self._fault is Fault.FLAPPING:
            return int((now_s - FAULT_START_S) / FLAP_INTERVAL_S) % 2 == 0
        return self._fault in _CONSTANT_FAULTS

    def draw_ending(self, now_s: float) -> Ending:
        """Draw the ending of a request that starts now; the timeout cuts it off."""
        ending = self._draw_healthy(now_s)
        if now_s >= FAULT_START_S:
            ending = self._apply_fault(ending, now_s)
        if ending.latency_ms >= self._service.timeout_ms:
            return Ending(WorkResult.SILENCE, self._service.timeout_ms)
        return ending

    def _apply_fault(self, ending: Ending, now_s: float) -> Ending:
        match self._fault:
            case Fault.GRAY:
                return Ending(WorkResult.SILENCE, math.inf)
            case Fault.FLAPPING if self.is_faulty(now_s):
                return Ending(WorkResult.SILENCE, math.inf)
            case Fault.HALF if self._random.random() < HALF:
                return Ending(WorkResult.ERROR, ERROR_MS)
            case Fault.SLOW:
                return ending._replace(latency_ms=ending.latency_ms * SLOW_FACTOR)
            case Fault.OVERLOAD:
                if self._random.random() < OVERLOAD_SHED_FRACTION:
                    return Ending(WorkResult.SHED, ERROR_MS)
                slowed_ms = ending.latency_ms * OVERLOAD_FACTOR
                return ending._replace(latency_ms=slowed_ms)
        return ending

    def _draw_healthy(self, now_s: float) -> Ending:
        if self._random.random() < ERROR_FRACTION:
            return Ending(WorkResult.ERROR, ERROR_MS)
        latency_factor = math.exp(self._random.gauss(0, LATENCY_SIGMA))
        latency_ms = self._service.median_ms * latency_factor
        while now_s >= self._stall_end_s:
            self._draw_stall(self._stall_end_s)
        if now_s >= self._stall_start_s:
            latency_ms += (self._stall_end_s - now_s) * 1000
        return Ending(WorkResult.ANSWERED, latency_ms)

    def _draw_stall(self, after_s: float) -> None:
        self._stall_start_s = after_s + self._random.expovariate(1 / STALL_INTERVAL_S)
        length_s = self._random.uniform(STALL_MIN_S, STALL_MAX_S)
        self._stall_end_s = self._stall_start_s + length_s


_CONSTANT_FAULTS = {Fault.GRAY, Fault.HALF, Fault.SLOW}
