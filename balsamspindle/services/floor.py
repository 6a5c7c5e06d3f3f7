"""Decides which suspected backend servers of a service to eject.

Ejection must not bring a service's capacity in use below its floor, which is a fraction
of its known capacity. The picker of each node decides from its own view of the service,
without coordination, so the floor holds while the platform is down and when the views
of nodes differ.

*Known capacity* is the sum of the full slots of all backend servers in the view, with
those that are draining, leaving or in a cold start. *Capacity in use* is the sum of the
slots that are usable now at the backend servers that are ready and not left out; during
a cold start, only a growing fraction of the slots is usable. A backend server that is
left out counts as lost capacity however unhealthy it looks, because the suspicion may
be wrong. So drains and cold starts reduce the number of ejections that the floor
allows, and never increase it.
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

# Suspicion from which a backend server counts as unhealthy and may be ejected.
SUSPECTED = 1.0
# Suspicion of a backend server that is being readmitted and gets trial requests only.
ON_TRIAL = 0.5
# When backend servers with at least this fraction of the ready capacity are suspected,
# no backend server is ejected. A shared cause, such as the network or the load, is then
# likelier than many separate failures, and ejection would only move the load to the
# remaining backend servers.
SHARED_CAUSE_FRACTION = 0.8


class FloorCause(StrEnum):
    """The reason for a `FloorDecision`."""

    NOBODY_SUSPECTED = "nobody_suspected"
    SUSPECTS_LEFT_OUT = "suspects_left_out"
    FLOOR_BINDS = "floor_binds"
    SHARED_CAUSE_SUSPECTED = "shared_cause_suspected"


class Suspect(NamedTuple):
    """A backend server that is suspected of being unhealthy, or on trial.

    Attributes
    ----------
    suspicion : float
        As reported by the backend server's gate; 1 is the service's detection
        threshold, see `SUSPECTED` and `ON_TRIAL`.
    capacity_slots : float
        Slots usable now, which are lost if the backend server is left out.
    """

    backend_server_id: str
    node_id: str
    suspicion: float
    capacity_slots: float


class FloorDecision(NamedTuple):
    """Which suspected backend servers of a service a picker leaves out, and why.

    Attributes
    ----------
    known_slots : float
        Number of slots of all known backend servers, whether usable now or not; the
        floor is a fraction of this number.
    floor_slots : float
        Ejections must not reduce the capacity in use below this number of slots.
    ready_slots : float
        Slots usable now at the backend servers that take new work, with the suspected
        backend servers.
    in_use_slots : float
        `ready_slots` without the capacity of the backend servers left out.
    left_out, kept : tuple of Suspect
        The suspected backend servers that get no usual requests and those that still
        do, the most suspected first.
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
    """Tell whether a backend server takes new work, whether suspected or not."""
    return (
        placement.backend_server.state == BackendServerState.READY
        and placement.node.state == NodeState.ALIVE
    )


def capacity_slots(placement: Placement) -> float:
    """Return the slots usable now: during a cold start, a part of all slots."""
    fraction = placement.backend_server.capacity
    # The usable fraction of the slots comes from another node, which may report NaN by
    # a fault. NaN counts as 0. Otherwise each sum of capacities would be NaN, and each
    # comparison of such a sum with the floor false.
    fraction = min(1.0, fraction) if fraction > 0 else 0.0
    return _slots(placement) * fraction


def decide_floor(
    placements: Sequence[Placement], floor_fraction: float
) -> FloorDecision:
    """Decide which suspected backend servers of a service are left out.

    Parameters
    ----------
    placements : sequence of Placement
        All known backend servers of one service, whatever their state.
    floor_fraction : float
        Fraction of the known capacity that must stay in use, from 0 to 1.

    Returns
    -------
    FloorDecision
        Its `in_use_slots` is at least `floor_slots`, or equals `ready_slots` if that is
        less: ejection never brings the capacity in use below the floor.
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
    """Return the suspects, the most suspected first; equal ones are sorted by id."""
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
    """Tell whether so many backend servers are suspected that they share a cause."""
    suspected = [suspect for suspect in suspects if suspect.suspicion >= SUSPECTED]
    suspected_slots = sum(suspect.capacity_slots for suspect in suspected)
    return bool(suspected) and suspected_slots >= SHARED_CAUSE_FRACTION * ready_slots


def _split(
    suspects: list[Suspect], ready_slots: float, floor_slots: float
) -> tuple[list[Suspect], list[Suspect]]:
    """Split suspects into those left out and those kept because of the floor.

    A suspect is kept if the service would otherwise have less than its floor.
    """
    left_out: list[Suspect] = []
    kept: list[Suspect] = []
    in_use_slots = ready_slots
    for suspect in suspects:
        if in_use_slots - suspect.capacity_slots < floor_slots:
            # A suspect with less capacity, later in the list, may still be left out.
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
