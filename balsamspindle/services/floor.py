"""Which suspected backend servers of a service are left out: the floor.

Each picker decides on its own view, without agreement, so that the floor
holds with the platform down and when views differ.

The base is the *known capacity*: the full slots of every backend server in the
view, draining, leaving and cold ones included. *Capacity in use* is slots times
ramp of those that are ready and not left out. A backend server that is left out
counts as lost however sick it looks, for suspicion may be wrong. So a drain or
a cold start uses up the allowance for ejections and never adds to it.
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

# Suspicions of a backend server over its detection threshold, and of one that
# is being readmitted and should get no more than trial requests.
SUSPECTED = 1.0
ON_TRIAL = 0.5
# When this part of the ready capacity is suspected, the likelier cause is one
# that they share (the network, the load), and ejection would only move the
# load onto the rest.
SHARED_CAUSE_FRACTION = 0.8


class FloorCause(StrEnum):
    """Why a decision came out as it did."""

    NOBODY_SUSPECTED = "nobody_suspected"
    SUSPECTS_LEFT_OUT = "suspects_left_out"
    FLOOR_BINDS = "floor_binds"
    SHARED_CAUSE_SUSPECTED = "shared_cause_suspected"


class Suspect(NamedTuple):
    """One backend server that is over its detection threshold or on trial.

    Attributes
    ----------
    suspicion : float
        As its gate tells it; 1 is the service's detection threshold.
    capacity_slots : float
        What leaving it out takes away.
    """

    backend_server_id: str
    node_id: str
    suspicion: float
    capacity_slots: float


class FloorDecision(NamedTuple):
    """What one picker does with one service's suspects, and why.

    Attributes
    ----------
    known_slots : float
        The base: full slots of all known backend servers.
    floor_slots : float
        Capacity that ejection never goes below.
    ready_slots : float
        Slots times ramp of those that take new work, suspects included.
    in_use_slots : float
        What is left of `ready_slots` without those left out.
    left_out, kept : tuple of Suspect
        Suspects, the most suspected first.
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
    """Tell whether a backend server takes new work, sick or not."""
    return (
        placement.backend_server.state == BackendServerState.READY
        and placement.node.state == NodeState.ALIVE
    )


def capacity_slots(placement: Placement) -> float:
    """Return the slots usable now, the ramp of a cold start counted."""
    ramp = placement.backend_server.capacity
    # A record comes off the wire; a NaN would make every sum of capacities a
    # NaN, and each comparison with the floor false.
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
        Of the known capacity, from 0 to 1.

    Returns
    -------
    FloorDecision
        Its `in_use_slots` is at least the lesser of `floor_slots` and
        `ready_slots`: ejection itself never goes below the floor.
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
    """Return the suspected ones, the most suspected first, ties by id."""
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
    """Tell whether nearly everything looks sick."""
    suspected = [suspect for suspect in suspects if suspect.suspicion >= SUSPECTED]
    suspected_slots = sum(suspect.capacity_slots for suspect in suspected)
    return bool(suspected) and suspected_slots >= SHARED_CAUSE_FRACTION * ready_slots


def _split(
    suspects: list[Suspect], ready_slots: float, floor_slots: float
) -> tuple[list[Suspect], list[Suspect]]:
    """Split suspects into those left out and those that the floor keeps."""
    left_out: list[Suspect] = []
    kept: list[Suspect] = []
    in_use_slots = ready_slots
    for suspect in suspects:
        if in_use_slots - suspect.capacity_slots < floor_slots:
            # Kept; a smaller one further on may still fit.
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
