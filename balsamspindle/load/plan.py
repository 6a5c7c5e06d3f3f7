"""Plan of a load experiment: a JSON file with arrivals, addresses and faults."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.settings.process import Address

__all__ = [
    "DURATION_MAX_S",
    "Arrival",
    "FaultPeriod",
    "LoadPlan",
    "PlanError",
    "load_plan",
]

REQUESTS_MAX = 1_000_000
DURATION_MAX_S = 3_600.0
WORKERS_MAX = 1_000

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class PlanError(msgspec.Struct, frozen=True):
    """Why a plan can't be read or is invalid; `message` names the file and entry."""

    message: str


class Arrival(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind, with random (Poisson) arrival times.

    Attributes
    ----------
    kind : str
        Name of the kind in the report.
    target : str
        Path; the caller appends a query with the run key as a nonce.
    rate_per_s : float
        Mean rate over all nodes.
    weight : float
        Weight of each request in the report's `answered_weighted`.
    body_bytes : int
        Length of the request body; with 0, no body is sent.
    """

    kind: str
    target: Annotated[str, msgspec.Meta(pattern="^/[^?]*$")]
    rate_per_s: Positive
    execution: Execution = Execution.IDEMPOTENT
    method: str = "GET"
    host: str | None = None
    weight: Positive = 1.0
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=8_000_000)] = 0
    timeout_ms: Positive = 5_000.0


class FaultPeriod(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of a stand-in, set for a period with ``POST /faults``.

    Attributes
    ----------
    target : str
        Name of a backend server, or ``platform``.
    switch : dict
        Body of the request, such as ``{"mode": "hang", "delay_s": 30}``.
    flap_period_s : float, optional
        The fault is on for the first half of each such period and off for the second
        half. If None, the fault is on from `start_s` to `end_s`.
    """

    target: str
    switch: dict[str, Any]
    start_s: NotNegative
    end_s: Positive
    flap_period_s: Positive | None = None


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plan of one experiment.

    Attributes
    ----------
    nodes : dict of str to str
        Node to its caller address; each request goes to a random node.
    node_admins : dict of str to str
        Node to its admin address, which is polled for ejections.
    backend_servers : dict of str to str
        Stand-in to its address. Run counts are read from this address.
    requests_max : int
        The experiment ends after this many requests, even if `duration_s` is not over.
    workers : int
        Number of requests that can be in progress at the same time.
    quiet_s : float
        A faulty backend server that received no request for this long counts as
        detected.
    """

    nodes: Annotated[dict[str, Address], msgspec.Meta(min_length=1)]
    arrivals: Annotated[list[Arrival], msgspec.Meta(min_length=1)]
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=DURATION_MAX_S)]
    seed: int = 1
    node_admins: dict[str, Address] = {}
    backend_servers: dict[str, Address] = {}
    platform: Address | None = None
    faults: list[FaultPeriod] = []
    requests_max: Annotated[int, msgspec.Meta(ge=1, le=REQUESTS_MAX)] = 100_000
    workers: Annotated[int, msgspec.Meta(ge=1, le=WORKERS_MAX)] = 64
    quiet_s: Positive = 2.0

    def fault_address(self, target: str) -> str | None:
        """Return the address at which a target's faults are set, None if unknown."""
        if target == "platform":
            return self.platform
        return self.backend_servers.get(target)


def load_plan(path: Path) -> Result[LoadPlan, PlanError]:
    """Read and validate a plan."""
    try:
        plan = decode_json(path.read_bytes(), LoadPlan)
    except OSError as error:
        return Error(PlanError(f"{path}: {error.strerror}"))
    except InputError as error:
        return Error(PlanError(f"{path}: {error}"))
    for number, fault in enumerate(plan.faults):
        where = f"{path}: faults[{number}]"
        if plan.fault_address(fault.target) is None:
            return Error(PlanError(f"{where}: no address for {fault.target!r}"))
        if fault.end_s <= fault.start_s:
            return Error(PlanError(f"{where}: ends before it starts"))
    return Ok(plan)
