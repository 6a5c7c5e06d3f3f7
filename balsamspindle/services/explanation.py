"""Explains to operators which backend servers a node uses for a service, and why."""

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

_CAUSE_TEXTS = {
    FloorCause.NOBODY_SUSPECTED: "no backend server is suspected",
    FloorCause.SUSPECTS_LEFT_OUT: "all suspected backend servers are left out",
    FloorCause.FLOOR_BINDS: "the floor keeps some suspected backend servers in use",
    FloorCause.SHARED_CAUSE_SUSPECTED: (
        "most backend servers are suspected: the network or the load is the likely "
        "cause, so none is left out"
    ),
}


class BackendServerExplanation(msgspec.Struct, frozen=True):
    """One backend server in the view of one node.

    Attributes
    ----------
    capacity_slots : float
        Slots usable now; fewer than `slots` during a cold start.
    takes_work : bool
        Whether this node sends requests to the backend server.
    evidence : list of str
        Why the node sends no requests to the backend server, and signs that it may be
        unhealthy.
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
    """One service in the view of one node.

    Attributes
    ----------
    node_id : str
        The node whose view this is.
    settings_revision : int
        Revision of the settings in force at the node.
    is_defined : bool
        Whether the settings in force define the service.
    cause : str
        Why suspected backend servers are left out or kept in use; see `FloorDecision`.
    known_slots, floor_slots, in_use_slots : float
        Number of slots of all known backend servers; number of slots that ejection must
        leave in use (the floor); and number of slots that this node uses.
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
    """Explain which backend servers of a service a node uses, and why.

    Parameters
    ----------
    decision : FloorDecision
        Which suspected backend servers the node leaves out and which it keeps in use.
    reports : mapping of str to HealthReport
        Health reports by backend server id, for the backend servers of this
        node's own gate.
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
        _CAUSE_TEXTS[decision.cause],
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
    exclusions = _exclusion_reasons(placement, left_out)
    warnings = _warnings(placement, left_out)
    gate_evidence = [] if report is None else _gate_evidence(report)
    return BackendServerExplanation(
        server.backend_server_id,
        node.node_id,
        node.availability_zone,
        server.state,
        server.slots,
        capacity_slots(placement),
        server.suspicion,
        not exclusions,
        exclusions + warnings + gate_evidence,
    )


def _exclusion_reasons(placement: Placement, left_out: Suspect | None) -> list[str]:
    """Return why the node sends no requests to a backend server."""
    node, server = placement
    reasons = []
    if server.state != BackendServerState.READY:
        reasons.append(f"it is {server.state}")
    if node.state != NodeState.ALIVE:
        reasons.append(f"its node is {node.state}")
    if left_out is not None and left_out.suspicion >= SUSPECTED:
        reasons.append(
            f"left out: its gate reports suspicion {left_out.suspicion:.2f}, "
            f"threshold {SUSPECTED:g}"
        )
    return reasons


def _warnings(placement: Placement, left_out: Suspect | None) -> list[str]:
    """Return the signs that a backend server may be unhealthy or lack usable slots.

    None of these signs stops all requests of the node to the backend server. They are:
    it is on trial; it is suspected but still used; only a fraction of its slots is
    usable because of a cold start.
    """
    server = placement.backend_server
    warnings = []
    if left_out is not None and left_out.suspicion < SUSPECTED:
        warnings.append("on trial: receives only a few idempotent requests")
    elif left_out is None and server.suspicion >= SUSPECTED:
        warnings.append(f"suspicion {server.suspicion:.2f}, but kept in use")
    elif left_out is None and server.suspicion > 0:
        warnings.append(f"suspicion {server.suspicion:.2f}, threshold {SUSPECTED:g}")
    if server.capacity < 1:
        usable = f"{server.capacity:.0%} of its slots are usable"
        warnings.append(f"cold start, or a limit that it names: {usable}")
    return warnings


def _gate_evidence(report: HealthReport) -> list[str]:
    """Return the results that a gate counted and their score; empty without results."""
    if not report.evidence:
        return []
    results = ", ".join(
        f"{count} {result}" for result, count in sorted(report.evidence.items())
    )
    return [
        f"its gate: {report.phase}, score {report.score:.1f}, threshold "
        f"{report.threshold:.1f}, from {results}"
    ]
