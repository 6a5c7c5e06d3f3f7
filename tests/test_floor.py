"""The floor: properties of the decision over random mixes of states and views."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspindle.membership.directory import Placement
from balsamspindle.services.floor import ON_TRIAL, FloorCause, decide_floor
from balsamspindle.wire import BackendServerRecord, NodeRecord

TOLERANCE = 1e-9
SICK, WELL = 2.0, 0.0


def placement(
    number: int, suspicion=WELL, slots=6, state="ready", ramp=1.0, node="alive"
) -> Placement:
    server = BackendServerRecord(
        f"server-{number}", "crew/contracts", "1", slots, state, suspicion, ramp
    )
    record = NodeRecord(
        f"node-{number}", 1, 1, "r", f"zone-{number % 3}", "a", "b", node, (server,)
    )
    return Placement(record, server)


suspicions = st.sampled_from([0.0, 0.5, 1.0, 1.5, 2.0, 8.0, math.nan, math.inf])
ramps = st.sampled_from([1.0, 1.0, 1.0, 0.5, 0.1, 0.0, math.nan, -1.0, 3.0])
views = st.lists(
    st.tuples(
        suspicions,
        st.integers(0, 12),
        st.sampled_from(["ready", "ready", "ready", "draining"]),
        ramps,
        st.sampled_from(["alive", "alive", "alive", "leaving"]),
    ),
    max_size=14,
).map(lambda rows: [placement(number, *row) for number, row in enumerate(rows)])
fractions = st.floats(0, 1)
exhaustive = settings(derandomize=True, max_examples=400, deadline=None)


def usable_slots(placements) -> float:
    """Compute the ready capacity independently of the code under test."""
    total = 0.0
    for node, server in placements:
        if node.state == "alive" and server.state == "ready":
            ramp = 0.0 if math.isnan(server.capacity) else server.capacity
            total += server.slots * min(1.0, max(0.0, ramp))
    return total


def without(placements, decision):
    left_out = {suspect.backend_server_id for suspect in decision.left_out}
    return [
        known
        for known in placements
        if known.backend_server.backend_server_id not in left_out
    ]


@exhaustive
@given(views, fractions)
def test_ejection_never_takes_capacity_in_use_below_the_floor(view, fraction):
    """Holds for any mix of unhealthy, draining, cold and leaving backend servers."""
    decision = decide_floor(view, fraction)
    floor = fraction * sum(known.backend_server.slots for known in view)
    in_use = usable_slots(without(view, decision))
    assert in_use >= min(floor, usable_slots(view)) - TOLERANCE
    assert abs(in_use - decision.in_use_slots) < TOLERANCE


@exhaustive
@given(views, fractions, st.sets(st.integers(0, 13)))
def test_each_of_two_split_views_keeps_its_own_floor(view, fraction, half):
    """In a partition, two pickers see different parts of a service and decide alone."""
    for part in (
        [known for number, known in enumerate(view) if number in half],
        [known for number, known in enumerate(view) if number not in half],
    ):
        decision = decide_floor(part, fraction)
        floor = fraction * sum(known.backend_server.slots for known in part)
        in_use = usable_slots(without(part, decision))
        assert in_use >= min(floor, usable_slots(part)) - TOLERANCE


@exhaustive
@given(views, fractions)
def test_only_suspects_are_left_out_and_each_suspect_is_explained(view, fraction):
    decision = decide_floor(view, fraction)
    suspected = {
        server.backend_server_id
        for node, server in view
        if server.suspicion >= ON_TRIAL
        and (server.state, node.state) == ("ready", "alive")
    }
    left_out = [suspect.backend_server_id for suspect in decision.left_out]
    kept = [suspect.backend_server_id for suspect in decision.kept]
    assert set(left_out) | set(kept) == suspected
    assert len(left_out) + len(kept) == len(suspected)
    assert decision == decide_floor(list(reversed(view)), fraction)._replace(
        ready_slots=decision.ready_slots, in_use_slots=decision.in_use_slots
    )


def test_the_most_suspected_are_ejected_first_until_the_floor_binds():
    view = [placement(number) for number in range(4)]
    view += [placement(number, suspicion=float(number)) for number in range(4, 9)]
    decision = decide_floor(view, 0.6)
    assert [suspect.backend_server_id for suspect in decision.left_out] == [
        "server-8",
        "server-7",
        "server-6",
    ]
    assert decision.cause is FloorCause.FLOOR_BINDS


def test_draining_and_cold_backend_servers_reduce_the_allowed_ejections():
    """Three of ten servers drain and one is cold, so the floor allows no ejection."""
    view = [placement(0, SICK), *(placement(number) for number in range(1, 6))]
    view += [placement(number, state="draining") for number in range(6, 9)]
    view += [placement(9, ramp=0.1)]
    decision = decide_floor(view, 0.6)
    assert decision.left_out == ()
    assert decision.cause is FloorCause.FLOOR_BINDS


def test_a_backend_server_on_trial_is_used_in_full_when_the_floor_needs_it():
    """Four of ten servers are ejected. Ejecting a fifth one would break the floor."""
    view = [placement(number, SICK) for number in range(4)]
    view += [placement(4, ON_TRIAL), *(placement(number) for number in range(5, 10))]
    decision = decide_floor(view, 0.6)
    assert [suspect.suspicion for suspect in decision.kept] == [ON_TRIAL]
    assert decide_floor(view[2:], 0.6).kept == ()


def test_no_backend_server_is_ejected_when_nearly_all_are_suspected():
    view = [placement(number, SICK) for number in range(9)] + [placement(9)]
    decision = decide_floor(view, 0.1)
    assert decision.left_out == ()
    assert decision.cause is FloorCause.SHARED_CAUSE_SUSPECTED
