"""Decides which suspected backend servers of a service to eject.

Ejection must not bring the capacity in use below the service's floor, a fraction of
its known capacity. Each picker decides from its own view, without coordination, so
that the floor holds while the platform is down and when views differ.

*Known capacity* is the full slots of every backend server in the view, including
those that are draining, leaving or in a cold start. *Capacity in use* is the slots,
scaled by the cold-start ramp, of the backend servers that are ready and not left out.
A backend server that is left out counts as lost capacity however unhealthy it looks,
because a suspicion may be wrong. So drains and cold starts reduce the number of
ejections that the floor allows, and never increase it.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.servers import BackendServerState
from balsamspindle.membership.directory import NodeState, Placement

__all__ = [
    "ON_TRIAL",
    "SHARED_CAUSE_FRACTION",
    "SUSPECTED",
    "FloorCause",
    "FloorDecision",
    "Suspect",
    "capacity_slots",
    "decide_floor",
    "is_ready",
]

# Suspicion from which a backend server is over its detection threshold.
SUSPECTED = 1.0
# Suspicion of a backend server that is being readmitted and gets trial requests only.
ON_TRIAL = 0.5
# When this fraction of the ready capacity is suspected, a shared cause (the network,
# the load) is likelier than many failures, and ejection would only move the load to
# the remaining backend servers.
SHARED_CAUSE_FRACTION = 0.8


class FloorCause(StrEnum):
    """The reason for a `FloorDecision`."""

    NOBODY_SUSPECTED = "nobody_suspected"
    SUSPECTS_LEFT_OUT = "suspects_left_out"
    FLOOR_BINDS = "floor_binds"
    SHARED_CAUSE_SUSPECTED = "shared_cause_suspected"


class Suspect(NamedTuple):
    """A backend server that is over its detection threshold or on trial.

    Attributes
    ----------
    suspicion : float
        As reported by its gate; 1 is the service's detection threshold.
    capacity_slots : float
        Capacity that is lost if the backend server is left out.
    """

    backend_server_id: str
    node_id: str
    suspicion: float
    capacity_slots: float


class FloorDecision(NamedTuple):
    """Which of a service's suspects a picker leaves out and keeps, and why.

    Attributes
    ----------
    known_slots : float
        Full slots of all known backend servers; the floor is a fraction of them.
    floor_slots : float
        Capacity below which ejection must not bring the capacity in use.
    ready_slots : float
        Slots times ramp of the backend servers that take new work, suspects included.
    in_use_slots : float
        `ready_slots` without the capacity of the backend servers left out.
    left_out, kept : tuple of Suspect
        The most suspected first.
    """

    cause: FloorCause
    floor_fraction: float
    known_slots: float
    floor_slots: float
    ready_slots: float
    in_use_slots: float
    left_out: tuple[Suspect, ...]
    kept: tuple[Suspect, ...]


def is_ready(placement: Placement) -> bool:
    """Tell whether a backend server takes new work, whatever its suspicion."""
    return (
        placement.backend_server.state == BackendServerState.READY
        and placement.node.state == NodeState.ALIVE
    )


def capacity_slots(placement: Placement) -> float:
    """Return the slots usable now, scaled by the ramp of a cold start."""
    ramp = placement.backend_server.capacity
    # The ramp comes from another node and may be NaN. Then each sum of capacities
    # would be NaN, and each comparison with the floor false.
    ramp = min(1.0, ramp) if ramp > 0 else 0.0
    return _slots(placement) * ramp


def decide_floor(
    placements: Sequence[Placement], floor_fraction: float
) -> FloorDecision:
    """Decide which suspects are left out.

    Parameters
    ----------
    placements : sequence of Placement
        All known backend servers of one service, whatever their state.
    floor_fraction : float
        Fraction of the known capacity that must stay in use, from 0 to 1.

    Returns
    -------
    FloorDecision
        Its `in_use_slots` is at least the lesser of `floor_slots` and
        `ready_slots`: ejection itself never breaks the floor.
    """
    ready = [placement for placement in placements if is_ready(placement)]
    suspects = _suspects(ready)
    known_slots = float(sum(map(_slots, placements)))
    floor_slots = floor_fraction * known_slots
    ready_slots = sum(map(capacity_slots, ready))
    left_out: list[Suspect] = []
    kept: list[Suspect] = suspects
    shared_cause = _is_shared(suspects, ready_slots)
    if not shared_cause:
        left_out, kept = _split(suspects, ready_slots, floor_slots)
    return FloorDecision(
        _cause(shared_cause, left_out, kept),
        floor_fraction,
        known_slots,
        floor_slots,
        ready_slots,
        ready_slots - sum(suspect.capacity_slots for suspect in left_out),
        tuple(left_out),
        tuple(kept),
    )


def _slots(placement: Placement) -> int:
    return max(0, placement.backend_server.slots)


def _suspects(ready: Iterable[Placement]) -> list[Suspect]:
    """Return the suspects, the most suspected first, equal ones sorted by id."""
    suspects = [
        Suspect(
            placement.backend_server.backend_server_id,
            placement.node.node_id,
            placement.backend_server.suspicion,
            capacity_slots(placement),
        )
        for placement in ready
        if placement.backend_server.suspicion >= ON_TRIAL
    ]
    return sorted(
        suspects,
        key=lambda suspect: (
            -suspect.suspicion,
            suspect.backend_server_id,
            suspect.node_id,
        ),
    )


def _is_shared(suspects: list[Suspect], ready_slots: float) -> bool:
    """Tell whether so much capacity is suspected that a shared cause is likely."""
    suspected = [suspect for suspect in suspects if suspect.suspicion >= SUSPECTED]
    suspected_slots = sum(suspect.capacity_slots for suspect in suspected)
    return bool(suspected) and suspected_slots >= SHARED_CAUSE_FRACTION * ready_slots


def _split(
    suspects: list[Suspect], ready_slots: float, floor_slots: float
) -> tuple[list[Suspect], list[Suspect]]:
    """Split suspects into those left out and those kept because of the floor."""
    left_out: list[Suspect] = []
    kept: list[Suspect] = []
    in_use_slots = ready_slots
    for suspect in suspects:
        if in_use_slots - suspect.capacity_slots < floor_slots:
            # A later suspect with less capacity may still be left out.
            kept.append(suspect)
            continue
        in_use_slots -= suspect.capacity_slots
        left_out.append(suspect)
    return left_out, kept


def _cause(shared_cause, left_out, kept) -> FloorCause:
    return _CAUSES[shared_cause, bool(kept), bool(left_out)]


_CAUSES = {
    (True, True, False): FloorCause.SHARED_CAUSE_SUSPECTED,
    (False, False, False): FloorCause.NOBODY_SUSPECTED,
    (False, False, True): FloorCause.SUSPECTS_LEFT_OUT,
    (False, True, False): FloorCause.FLOOR_BINDS,
    (False, True, True): FloorCause.FLOOR_BINDS,
}
