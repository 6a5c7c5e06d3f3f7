"""Why a node sends a service's requests where it sends them, in words."""

from collections.abc import Sequence

import msgspec

from balsamspindle.backend_servers.servers import BackendServerState
from balsamspindle.membership.directory import NodeState, Placement
from balsamspindle.settings.documents import ServiceDocument

__all__ = ["BackendServerExplanation", "ServiceExplanation", "explain_service"]


class BackendServerExplanation(msgspec.Struct, frozen=True):
    """How one node sees one backend server.

    Attributes
    ----------
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
    capacity: float
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
    floor_fraction : float or None
        None when the settings in force define no such service.
    slots_known, slots_floor, slots_taking_work : float
        Slots of all known backend servers, those below which ejection never
        goes, and those of the backend servers that take work.
    """

    service: str
    node_id: str
    settings_revision: int
    floor_fraction: float | None
    slots_known: float
    slots_floor: float
    slots_taking_work: float
    backend_servers: list[BackendServerExplanation]


def explain_service(
    service: str,
    node_id: str,
    settings_revision: int,
    document: ServiceDocument | None,
    placements: Sequence[Placement],
    left_out: Sequence[Placement] = (),
) -> ServiceExplanation:
    """Return a node's view of a service.

    Parameters
    ----------
    left_out : sequence of Placement, default=()
        Those that the node's own decision leaves out as sick.
    """
    sick = {placement.backend_server.backend_server_id for placement in left_out}
    rows = [
        _explain(placement, placement.backend_server.backend_server_id in sick)
        for placement in sorted(placements, key=_server_id)
    ]
    slots_known = sum(row.slots * row.capacity for row in rows)
    floor_fraction = None if document is None else document.floor_fraction
    return ServiceExplanation(
        service,
        node_id,
        settings_revision,
        floor_fraction,
        slots_known,
        slots_known * (floor_fraction or 0.0),
        sum(row.slots * row.capacity for row in rows if row.takes_work),
        rows,
    )


def _server_id(placement: Placement) -> str:
    return placement.backend_server.backend_server_id


def _explain(placement: Placement, is_sick: bool) -> BackendServerExplanation:
    node, server = placement
    obstacles = _obstacles(placement, is_sick)
    return BackendServerExplanation(
        server.backend_server_id,
        node.node_id,
        node.availability_zone,
        server.state,
        server.slots,
        server.capacity,
        server.suspicion,
        not obstacles,
        obstacles + _doubts(placement, is_sick),
    )


def _obstacles(placement: Placement, is_sick: bool) -> list[str]:
    node, server = placement
    obstacles = []
    if server.state != BackendServerState.READY:
        obstacles.append(f"it is {server.state}")
    if node.state != NodeState.ALIVE:
        obstacles.append(f"its node is {node.state}")
    if is_sick:
        obstacles.append(
            f"its gate saw work fail: suspicion {server.suspicion:.2f}, "
            "the threshold is 1"
        )
    return obstacles


def _doubts(placement: Placement, is_sick: bool) -> list[str]:
    server = placement.backend_server
    doubts = []
    if server.suspicion >= 1 and not is_sick:
        doubts.append(
            f"suspicion {server.suspicion:.2f} is over the threshold, but the "
            "floor keeps it"
        )
    elif server.suspicion > 0 and not is_sick:
        doubts.append(f"suspicion {server.suspicion:.2f}, the threshold is 1")
    if server.capacity < 1:
        doubts.append(f"cold start: {server.capacity:.0%} of its slots")
    return doubts
