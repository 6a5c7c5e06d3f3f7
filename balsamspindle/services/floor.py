"""Decides which suspected backend servers of a service to eject.

Ejection must not reduce a service's capacity in use below its floor, which is a
fraction of its known capacity. The picker of each node decides from its own view of the
service and doesn't coordinate with other nodes. So the floor is enforced even while the
platform is down or when the views of nodes differ.

*Known capacity* is the number of all slots of all backend servers in the view,
including those that are draining, leaving or in a cold start. *Capacity in use* is the
number of slots that are usable now at the backend servers that are ready and not left
out. During a cold start, only a growing fraction of the slots is usable. So drains and
cold starts reduce the capacity in use but not the known capacity, and the floor then
allows fewer ejections, never more.

A backend server that is left out counts as lost capacity, however high its suspicion,
because the suspicion may be wrong.
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

# A backend server with at least this suspicion counts as unhealthy and may be ejected.
SUSPECTED = 1.0
# Suspicion of a backend server that is being readmitted and gets trial requests only.
ON_TRIAL = 0.5
# When backend servers with at least this fraction of the ready capacity are suspected,
# no backend server is ejected. A shared cause, such as the network or the load, is then
# likelier than many separate failures. Ejection would then only move the load to the
# remaining backend servers.
SHARED_CAUSE_FRACTION = 0.8


class FloorCause(StrEnum):
    """Why a `FloorDecision` leaves out or keeps the suspected backend servers."""

    NOBODY_SUSPECTED = "nobody_suspected"
    SUSPECTS_LEFT_OUT = "suspects_left_out"
    FLOOR_BINDS = "floor_binds"
    SHARED_CAUSE_SUSPECTED = "shared_cause_suspected"


class Suspect(NamedTuple):
    """A backend server that is suspected of being unhealthy, or on trial.

    Attributes
    ----------
    suspicion : float
        Reported by the backend server's gate. It is 1 at the service's detection
        threshold; see `SUSPECTED` and `ON_TRIAL`.
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
        Slots usable now at the backend servers that take new work, including those that
        are suspected.
    in_use_slots : float
        `ready_slots` minus the usable slots of the backend servers in `left_out`.
    left_out, kept : tuple of Suspect
        `left_out` are the suspects that the picker leaves out: they get a request only
        as a trial, or if a claim names their gate. `kept` are the suspects that get
        requests as if they were not suspected. Both begin with the highest suspicion.
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
    """Return whether a backend server takes new work, whether suspected or not."""
    return (
        placement.backend_server.state == BackendServerState.READY
        and placement.node.state == NodeState.ALIVE
    )


def capacity_slots(placement: Placement) -> float:
    """Return the slots usable now: during a cold start, a fraction of all slots."""
    fraction = placement.backend_server.capacity
    # The usable fraction of the slots comes from another node, which may report NaN
    # because of a fault. NaN counts as 0. Otherwise every sum of capacities would be
    # NaN and never less than the floor, so all suspects would be ejected.
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
        If `ready_slots` is at least `floor_slots`, `in_use_slots` is at least
        `floor_slots` too. If `ready_slots` is less than `floor_slots`, no backend
        server is left out, and `in_use_slots` equals `ready_slots`.
    """
    ready = [placement for placement in placements if is_ready(placement)]
    suspects = _suspects(ready)
    known_slots = float(sum(map(_slots, placements)))
    floor_slots = floor_fraction * known_slots
    ready_slots = sum(map(capacity_slots, ready))
    left_out: list[Suspect] = []
    kept: list[Suspect] = suspects
    shared_cause = _has_shared_cause(suspects, ready_slots)
    if not shared_cause:
        left_out, kept = _apply_floor(suspects, ready_slots, floor_slots)
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
    """Return the suspects, the highest suspicion first, at equal suspicion by id."""
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


def _has_shared_cause(suspects: list[Suspect], ready_slots: float) -> bool:
    """Return whether so many suspects exist that a shared cause is likely."""
    suspected = [suspect for suspect in suspects if suspect.suspicion >= SUSPECTED]
    suspected_slots = sum(suspect.capacity_slots for suspect in suspected)
    return bool(suspected) and suspected_slots >= SHARED_CAUSE_FRACTION * ready_slots


def _apply_floor(
    suspects: list[Suspect], ready_slots: float, floor_slots: float
) -> tuple[list[Suspect], list[Suspect]]:
    """Split suspects into those left out and those kept because of the floor.

    A suspect is kept if the capacity in use would be less than the floor without it.
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
