"""Placement of a large fleet's requests within and across zones, simulated."""

import heapq
import itertools
import random

from testtools import TestCase

from balsamspindle.membership.directory import Placement
from balsamspindle.services.picker import choose_freest
from balsamspindle.services.subset import OTHER_ZONES_MIN, SUBSET_MAX, choose_subset
from balsamspindle.services.view import make_view
from balsamspindle.wire import BackendServerRecord, NodeRecord

ZONES, SERVERS, SLOTS = 5, 90, 7
# Fraction of the backend servers that is unhealthy; they get no requests.
UNHEALTHY_FRACTION = 0.3
WORK_S, LOAD, END_S = 1.5, 0.65, 20.0
SERVICE = "crew/contracts"


def placement(number: int) -> Placement:
    node = NodeRecord(
        f"node-{number}", 1, 0, "south", f"zone-{number % ZONES}", "", "", "alive"
    )
    server = BackendServerRecord(f"server-{number}", SERVICE, "1", SLOTS, "ready")
    return Placement(node, server)


PLACES = tuple(placement(number) for number in range(SERVERS))


class Simulation:
    """Simulates requests that prefer free slots in the own zone."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        sick = self._random.sample(range(SERVERS), round(UNHEALTHY_FRACTION * SERVERS))
        self._sick = {f"server-{number}" for number in sick}
        self._busy: dict[str, int] = dict.fromkeys(
            (place.backend_server.backend_server_id for place in PLACES), 0
        )
        self._views = [
            make_view(PLACES, place.node, floor_fraction=0.6) for place in PLACES
        ]
        self.requests = self.far = self.refused = 0

    def run(self) -> None:
        rate = LOAD * (1 - UNHEALTHY_FRACTION) * SERVERS * SLOTS / WORK_S
        now_s, ends, ids = 0.0, [], itertools.count()
        while now_s < END_S:
            now_s += self._random.expovariate(rate)
            while ends and ends[0][0] <= now_s:
                self._busy[heapq.heappop(ends)[2]] -= 1
            server_id = self._place(self._random.randrange(SERVERS))
            if server_id is not None:
                self._busy[server_id] += 1
                end_s = now_s + self._random.expovariate(1 / WORK_S)
                heapq.heappush(ends, (end_s, next(ids), server_id))

    def _place(self, ingress: int) -> str | None:
        self.requests += 1
        tiers = self._views[ingress].tiers
        near = (*tiers[0], *tiers[1])
        for places, is_far in ((near, False), (tiers[-1], True)):
            place = choose_freest(places, self._sick, self._free, self._random)
            if place is not None and self._free(place) > 0:
                self.far += is_far
                return place.backend_server.backend_server_id
        self.refused += 1
        return None

    def _free(self, place: Placement) -> int:
        return SLOTS - self._busy[place.backend_server.backend_server_id]


class PlacingAtSizeTests(TestCase):
    def test_a_large_fleet_serves_its_callers_in_their_own_zone(self):
        # 90 backend servers are in five zones, a third of them is unhealthy, and the
        # load is two thirds of the capacity. Guards against subsets that are too small.
        # If a node's subset held only three backend servers of its own zone, two of
        # them healthy, a third of all answers would come from other zones and cost
        # traffic, although 16 other backend servers of the own zone have free slots.
        for seed in range(3):
            simulation = Simulation(seed)
            simulation.run()
            self.assertLess(simulation.far, 0.05 * simulation.requests)
            self.assertLess(simulation.refused, 0.001 * simulation.requests)

    def test_a_subset_includes_placements_in_other_zones(self):
        for place in PLACES:
            chosen = choose_subset(PLACES, place.node)
            own_zone = place.node.availability_zone
            far = [one for one in chosen if one.node.availability_zone != own_zone]
            self.assertEqual(SUBSET_MAX, len(chosen))
            self.assertGreaterEqual(len(far), OTHER_ZONES_MIN)

    def test_a_small_zone_fills_its_subset_from_others(self):
        own = placement(0).node
        places = [
            placement(0),
            *(one for one in PLACES if one.node.node_id[-1] in "1346"),
        ]
        places = [place for place in places if place.node != own][:30] + [placement(0)]
        chosen = choose_subset(places, own)
        self.assertEqual(SUBSET_MAX, len(chosen))
        self.assertIn("node-0", [place.node.node_id for place in chosen])
