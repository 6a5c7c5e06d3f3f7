"""Deployments, faults, and seeded random results and latencies of requests."""

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

# Faults begin after this time, in which detectors learn the usual latencies.
FAULT_START_S = 300.0
FLAP_INTERVAL_S = 20.0
SLOW_FACTOR = 8.0
OVERLOAD_FACTOR = 10.0
OVERLOAD_SHED_FRACTION = 0.2
HALF_FAILING_FRACTION = 0.5
# Healthy backend servers have a few errors and log-normal latencies. They stall at
# random times, as during a pause of the runtime or while a lock is held. A request that
# starts during a stall takes longer by the remaining time of the stall.
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
        Requests per second to each backend server.
    weight : float
        Value of one answered request.
    idempotent_fraction : float
        Fraction of the requests that are idempotent. For example, look-ups are
        idempotent and signatures are not.
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
        The number of runs and the hours without a fault are multiplied by this for
        the deployment.
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
    # Each backend server has the request rate of the full-size fleet: 1.8 million
    # requests/s divided by 140,000 backend servers. Only 6 backend servers are
    # simulated, to keep the bench short.
    Deployment(
        "long-run", 3, (Service("typical", 6, 7, 13.0, 20.0, 2000.0, 1.0, 1.0),), 0.4
    ),
)


class Fault(StrEnum):
    """Fault of one backend server, of all, or of a zone; begins at `FAULT_START_S`."""

    NONE = "none"
    # One backend server answers no request.
    GRAY = "gray"
    # One backend server answers half of its requests with an error.
    HALF = "half_failing"
    # The latency of one backend server is multiplied by `SLOW_FACTOR`.
    SLOW = "slow"
    # One backend server alternates between gray and healthy.
    FLAPPING = "flapping"
    # All backend servers are slow and shed a fraction of their requests.
    OVERLOAD = "overload_of_all"
    # Ingresses in other zones can't reach the gates in one zone.
    ZONE_CUT = "zone_cut"


class Ending(NamedTuple):
    """Result and latency of a request at a backend server."""

    result: WorkResult
    latency_ms: float


class ServerWork:
    """Draws the results and latencies of the requests at one backend server."""

    def __init__(self, service: Service, fault: Fault, seed: str) -> None:
        self._service = service
        self._fault = fault
        self._random = random.Random(seed)
        self._stall_start_s = 0.0
        self._stall_end_s = 0.0
        self._draw_stall(0.0)

    def is_faulty(self, now_s: float) -> bool:
        """Return whether a fault of only this backend server is active now."""
        if now_s < FAULT_START_S:
            return False
        if self._fault is Fault.FLAPPING:
            return int((now_s - FAULT_START_S) / FLAP_INTERVAL_S) % 2 == 0
        return self._fault in _CONSTANT_FAULTS

    def draw_ending(self, now_s: float) -> Ending:
        """Draw the result and latency of a request that starts now.

        A request that would last longer than the timeout ends at the timeout, as
        `WorkResult.SILENCE`.
        """
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
            case Fault.HALF if self._random.random() < HALF_FAILING_FRACTION:
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
