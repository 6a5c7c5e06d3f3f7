"""The choice of a backend server: tiers, spill-over, subsets, expired reports."""

import random
from collections import Counter
from types import SimpleNamespace

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.services.floor import ON_TRIAL
from balsamspindle.services.free_slots import FREE_SLOTS_TTL_S, FreeSlotEstimates
from balsamspindle.services.picker import Picker
from balsamspindle.services.subset import SUBSET_MAX, choose_subset
from balsamspindle.settings.documents import ServiceDocument
from tests.test_floor import SICK, placement

SERVICE = "crew/contracts"
IDEMPOTENT, NON_IDEMPOTENT = Execution.IDEMPOTENT, Execution.NON_IDEMPOTENT
REQUESTS = 3000


class FakeDirectory:
    """Returns the same placements for each service; a test may replace them."""

    def __init__(self, placements) -> None:
        self.view = tuple(placements)

    def placements(self, service):
        return self.view


def make_picker(placements, own=None, floor_fraction=0.6) -> Picker:
    services = {SERVICE: ServiceDocument(floor_fraction=floor_fraction)}
    configuration = SimpleNamespace(get=lambda: SimpleNamespace(services=services))
    own = own or placement(99).node
    return Picker(own, FakeDirectory(placements), configuration)


def pick_many(picker, free_slots, execution=IDEMPOTENT, excluded=frozenset()):
    rng = random.Random(7)
    counts = Counter()
    for _ in range(REQUESTS):
        chosen = picker.pick(SERVICE, execution, excluded, free_slots, rng)
        counts[chosen and chosen.backend_server.backend_server_id] += 1
    return counts


def all_free(known) -> float:
    return known.backend_server.slots


def test_the_own_vm_comes_first_then_the_own_zone_then_the_rest():
    view = [placement(number) for number in range(6)]
    picker = make_picker(view, own=view[0].node)
    assert set(pick_many(picker, all_free)) == {"server-0"}
    own_busy = pick_many(picker, lambda known: known.node is not view[0].node)
    assert set(own_busy) == {"server-3"}
    busy = {"server-0", "server-3"}
    zone_busy = pick_many(
        picker, lambda known: known.backend_server.backend_server_id not in busy
    )
    assert set(zone_busy) == {"server-1", "server-2", "server-4", "server-5"}


def test_a_small_zone_spills_over_instead_of_overloading():
    """Callers in a zone with one of ten backend servers do not queue at that one.

    Each request holds its slot while 40 more are sent. With a preference for the own
    zone but no spill-over, nearly all would queue at the near backend server.
    """
    view = [placement(0), *(placement(number + 1) for number in range(0, 27, 3))]
    picker = make_picker(view, own=placement(99).node)
    in_flight, running, queued = Counter(), [], 0
    rng = random.Random(3)
    for _ in range(REQUESTS):
        chosen = picker.pick(
            SERVICE, IDEMPOTENT, set(), lambda known: 6 - in_flight[known], rng
        )
        queued += in_flight[chosen] >= 6
        in_flight[chosen] += 1
        running.append(chosen)
        if len(running) > 40:
            in_flight[running.pop(0)] -= 1
    assert queued == 0


def test_a_backend_server_that_is_held_out_or_excluded_gets_no_request():
    view = [placement(0, SICK), *(placement(number) for number in range(1, 6))]
    assert "server-0" not in pick_many(make_picker(view), all_free)
    excluded = {f"server-{number}" for number in range(2, 6)}
    assert set(pick_many(make_picker(view), all_free, excluded=excluded)) == {
        "server-1"
    }


def test_a_backend_server_on_trial_gets_few_requests_and_only_idempotent_ones():
    view = [placement(0, ON_TRIAL), *(placement(number) for number in range(1, 6))]
    counts = pick_many(make_picker(view), lambda known: known.node.node_id[-1] != "3")
    assert 0 < counts["server-0"] < REQUESTS / len(view) / 2
    assert "server-0" not in pick_many(make_picker(view), all_free, NON_IDEMPOTENT)


def test_a_backend_server_on_trial_that_the_floor_needs_gets_all_requests():
    alone = make_picker([placement(0, ON_TRIAL)])
    assert set(pick_many(alone, all_free, NON_IDEMPOTENT)) == {"server-0"}


def test_a_view_is_rebuilt_only_when_the_service_changed():
    picker = make_picker([placement(number) for number in range(9)])
    first = picker.view(SERVICE)
    assert picker.view(SERVICE) is first
    picker._directory.view = tuple(list(picker._directory.view))
    assert picker.view(SERVICE).tiers is first.tiers
    picker._directory.view = picker._directory.view[1:]
    assert len(picker.view(SERVICE).placements) == 8


def test_a_report_of_no_free_slots_expires():
    """Guards against a busy backend server that never gets a request again.

    Without requests, no reply would replace its report of no free slots, so reports
    expire.
    """
    busy = placement(0)
    estimates = FreeSlotEstimates()
    estimates.record("server-0", 0, now_s=10.0)
    assert estimates.free_slots(busy, now_s=10.5) == 0
    assert estimates.free_slots(busy, now_s=10.1 + FREE_SLOTS_TTL_S) == 6
    estimates.record("server-1", 3, now_s=20.0)
    assert list(estimates._reports) == ["server-1"]


def test_subsets_have_a_fixed_size_are_even_and_change_little():
    """All backend servers are in about equally many subsets.

    Removing one backend server changes at most one entry of each node's subset.
    """
    view = [placement(number) for number in range(200)]
    nodes = [placement(number).node for number in range(1000, 1600)]
    subsets = [choose_subset(view, own) for own in nodes]
    assert {len(chosen) for chosen in subsets} == {SUBSET_MAX}
    held = Counter(
        known.backend_server.backend_server_id for chosen in subsets for known in chosen
    )
    mean = len(nodes) * SUBSET_MAX / len(view)
    assert len(held) == 200
    assert max(held.values()) < 1.6 * mean
    assert min(held.values()) > 0.4 * mean
    for own, chosen in zip(nodes[:50], subsets, strict=False):
        moved = set(chosen) - set(choose_subset(view[1:], own))
        assert len(moved) <= 1
