"""How a change that adds many routes at once spreads through a fleet."""

import random

from testtools import TestCase

from tests.spreading_fleet import READERS_PER_ZONE, SpreadingFleet
from tests.utils import encode as json_bytes

NODES, ZONES = 120, 5
# Half of the time that callers are promised. The other half allows for the store's
# answer and for processors that are busy with requests.
IN_FORCE_MAX_S = 1.5


def documents(count: int) -> dict[str, bytes]:
    """Return a service and routes to it, with random names that compress badly."""
    rng = random.Random(7)
    routes = {
        f"operator/routes/{rng.randbytes(6).hex()}": json_bytes(
            {
                "service": "operator/crew",
                "execution": "idempotent",
                "host": f"{rng.randbytes(4).hex()}.example",
                "path_prefix": f"/{rng.randbytes(5).hex()}/",
                "methods": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
                "timeout_ms": 10_000,
                "attempts_max": 3,
            }
        )
        for _ in range(count)
    }
    return {"operator/services/crew": b"{}", **routes}


class GrowingSettingsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = SpreadingFleet(NODES, ZONES)
        self.assertEqual(ZONES * READERS_PER_ZONE, len(self.fleet.readers))
        self.routes = documents(3_000)
        self.few_routes = dict(list(self.routes.items())[:1_001])
        self.fleet.offer(4, self.few_routes)
        self.fleet.run_for(1.0)

    def test_a_large_change_is_in_force_everywhere_in_time(self):
        # An operator adds 2,000 routes. A node that doesn't read the store answers 404
        # to callers of the new routes until a peer has sent it the change. If readers
        # sent their whole settings page by page, they would reach their byte caps, and
        # the other nodes would have to wait until the caps allow more bytes.
        for node in self.fleet.readers:
            node.configuration.offer(10, self.routes)
        self.fleet.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.fleet.nodes_behind(10))
        for node in self.fleet.nodes:
            self.assertEqual(self.routes, node.configuration.get().documents)

    def test_readers_that_skipped_a_revision_serve_nodes_at_that_revision(self):
        # Changes are made faster than readers read them. Some readers read revisions 10
        # and 14, others go from 4 to 14 directly. A node at revision 10 must get the
        # missing changes from readers of both kinds, although some of them never had
        # revision 10 in force.
        middle = dict(list(self.routes.items())[:2_001])
        for number, node in enumerate(self.fleet.readers):
            if number % 2:
                node.configuration.offer(10, middle)
        self.fleet.run_for(0.2)
        for node in self.fleet.readers:
            node.configuration.offer(14, self.routes)
        self.fleet.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.fleet.nodes_behind(14))
        for node in self.fleet.nodes:
            self.assertEqual(self.routes, node.configuration.get().documents)

    def test_nodes_pull_a_change_within_their_own_zone(self):
        # Traffic between availability zones costs the most. If some nodes of a zone
        # have the new settings, the zone's other nodes must pull the change from them.
        crossed_bytes = 0
        post = self.fleet.network.post

        def count(source, target, frame):
            nonlocal crossed_bytes
            sender, receiver = (
                self.fleet.network.nodes[source],
                self.fleet.network.nodes[target],
            )
            zones = {
                sender.settings.availability_zone,
                receiver.settings.availability_zone,
            }
            crossed_bytes += len(frame) * (len(zones) > 1)
            post(source, target, frame)

        self.fleet.network.post = count
        for node in self.fleet.readers:
            node.configuration.offer(10, self.routes)
        self.fleet.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.fleet.nodes_behind(10))
        # The limit allows for notices of the revision and membership messages, which
        # cross zones as well.
        self.assertLess(crossed_bytes, 400_000)
