"""Why a node sends a service's requests where it sends them, in words."""

from collections.abc import Mapping, Sequence

import msgspec

from balsamspindle.backend_servers.health import HealthReport
from balsamspindle.backend_servers.servers import BackendServerState
from balsamspindle.membership.directory import NodeState, Placement
from balsamspindle.services.floor import (
    SUSPECTED,
    FloorCause,
    FloorDecision,
    Suspect,
    capacity_slots,
)

__all__ = ["BackendServerExplanation", "ServiceExplanation", "explain_service"]

_CAUSE_WORDS = {
    FloorCause.NOBODY_SUSPECTED: "nobody is suspected",
    FloorCause.SUSPECTS_LEFT_OUT: "all suspects are left out",
    FloorCause.FLOOR_BINDS: "the floor keeps some suspects in use",
    FloorCause.SHARED_CAUSE_SUSPECTED: (
        "nearly all look sick: the network or the load is suspected, and nobody "
        "is left out"
    ),
}


class BackendServerExplanation(msgspec.Struct, frozen=True):
    """How one node sees one backend server.

    Attributes
    ----------
    capacity_slots : float
        Slots usable now, a cold start counted.
    takes_work : bool
        Whether this node sends requests to it.
    evidence : list of str
        Why not, or what speaks against it; empty when nothing does.
    """

    backend_server_id: str
    node_id: str
    availability_zone: str
    state: str
    slots: int
    capacity_slots: float
    suspicion: float
    takes_work: bool
    evidence: list[str]


class ServiceExplanation(msgspec.Struct, frozen=True):
    """How one node sees one service.

    Attributes
    ----------
    node_id : str
        The node whose view this is.
    settings_revision : int
        Revision in force there.
    is_defined : bool
        Whether the settings in force define the service.
    cause : str
        Why the decision on its suspects came out as it did.
    known_slots, floor_slots, in_use_slots : float
        Slots of all known backend servers, those below which ejection never
        goes, and those that take this node's work.
    """

    service: str
    node_id: str
    settings_revision: int
    is_defined: bool
    cause: str
    floor_fraction: float
    known_slots: float
    floor_slots: float
    in_use_slots: float
    backend_servers: list[BackendServerExplanation]


def explain_service(
    service: str,
    node_id: str,
    settings_revision: int,
    is_defined: bool,
    placements: Sequence[Placement],
    decision: FloorDecision,
    reports: Mapping[str, HealthReport],
) -> ServiceExplanation:
    """Return a node's view of a service.

    Parameters
    ----------
    decision : FloorDecision
        What the node does with the service's suspects.
    reports : mapping of str to HealthReport
        For the backend servers beside this node, whose work its gate sees.
    """
    left_out = {(out.node_id, out.backend_server_id): out for out in decision.left_out}
    rows = []
    for placement in sorted(placements, key=_server_id):
        key = (placement.node.node_id, _server_id(placement))
        report = reports.get(key[1]) if key[0] == node_id else None
        rows.append(_explain(placement, left_out.get(key), report))
    return ServiceExplanation(
        service,
        node_id,
        settings_revision,
        is_defined,
        _CAUSE_WORDS[decision.cause],
        decision.floor_fraction,
        decision.known_slots,
        decision.floor_slots,
        decision.in_use_slots,
        rows,
    )


def _server_id(placement: Placement) -> str:
    return placement.backend_server.backend_server_id


def _explain(
    placement: Placement, left_out: Suspect | None, report: HealthReport | None
) -> BackendServerExplanation:
    node, server = placement
    obstacles = _obstacles(placement, left_out)
    doubts = _doubts(placement, left_out)
    seen = [] if report is None else _seen_by_gate(report)
    return BackendServerExplanation(
        server.backend_server_id,
        node.node_id,
        node.availability_zone,
        server.state,
        server.slots,
        capacity_slots(placement),
        server.suspicion,
        not obstacles,
        obstacles + doubts + seen,
    )


def _obstacles(placement: Placement, left_out: Suspect | None) -> list[str]:
    node, server = placement
    obstacles = []
    if server.state != BackendServerState.READY:
        obstacles.append(f"it is {server.state}")
    if node.state != NodeState.ALIVE:
        obstacles.append(f"its node is {node.state}")
    if left_out is not None and left_out.suspicion >= SUSPECTED:
        obstacles.append(
            f"left out: its gate saw work fail, suspicion {left_out.suspicion:.2f} "
            f"of {SUSPECTED:g}"
        )
    return obstacles


def _doubts(placement: Placement, left_out: Suspect | None) -> list[str]:
    server = placement.backend_server
    doubts = []
    if left_out is not None and left_out.suspicion < SUSPECTED:
        doubts.append("on trial: gets a few idempotent requests only")
    elif left_out is None and server.suspicion >= SUSPECTED:
        doubts.append(f"suspicion {server.suspicion:.2f}, kept all the same")
    elif left_out is None and server.suspicion > 0:
        doubts.append(f"suspicion {server.suspicion:.2f} of {SUSPECTED:g}")
    if server.capacity < 1:
        doubts.append(f"cold start: {server.capacity:.0%} of its slots")
    return doubts


def _seen_by_gate(report: HealthReport) -> list[str]:
    """Return what the gate beside the backend server saw of its work."""
    if not report.evidence:
        return []
    results = ", ".join(
        f"{count} {result}" for result, count in sorted(report.evidence.items())
    )
    return [
        f"its gate: {report.phase}, score {report.score:.1f} of "
        f"{report.threshold:.1f} from {results}"
    ]
