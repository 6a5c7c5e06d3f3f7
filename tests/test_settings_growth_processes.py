"""How a change that adds many routes at once spreads through real processes."""

import random
import time

from testtools import TestCase

from tests.platform_fleet import PlatformFleet
from tests.utils import wait_until

# Eight nodes of a zone read the store; the other four get the change only from them.
NODES = 12
ROUTES_BEFORE, ROUTES_ADDED = 600, 2_000
# Time that the users' platform allows from the store's answer until the change is in
# force at the last node.
IN_FORCE_MAX_S = 3.0
HOST = "crew.example"


def configuration(version: int, routes: int) -> dict:
    """Return a configuration whose routes have random names that compress badly."""
    rng = random.Random(3)
    return {
        "version": f"{version:08x}",
        "services": [{"name": "crew", "health_path": "/health"}],
        "routes": [
            {
                "name": rng.randbytes(10).hex(),
                "hostname": HOST,
                "prefix": f"/{rng.randbytes(10).hex()}/",
                "kind": "safe",
                "timeout": "10s",
                "target_latency": "4s",
                "retry_attempts": 3,
                "priority": 2,
                "service": "crew",
            }
            for _ in range(routes)
        ],
    }


class GrowingSettingsProcessTests(TestCase):
    def test_callers_of_new_routes_are_served_by_all_nodes_in_time(self):
        # An operator adds 2,000 routes to 600. Nodes that don't read the store would
        # answer 404 to callers of the new routes until they have all pages of all
        # settings, which their peers' byte caps delay.
        fleet = PlatformFleet()
        self.addCleanup(fleet.__exit__)
        fleet.put_configuration(configuration(4, ROUTES_BEFORE))
        nodes = fleet.start_nodes(NODES)
        for node in nodes:
            wait_until(
                lambda node=node: node.known_node_count() == NODES,
                "the node knows all nodes",
                40,
            )
            wait_until(
                lambda node=node: node.revision() == 4,
                "the node has the first settings",
            )
        # All nodes wait at the store since before they knew each other. A change there
        # ends the waits, and the nodes that are not readers don't wait again.
        fleet.put_configuration({}, name="other")
        time.sleep(3.0)
        after = configuration(9, ROUTES_BEFORE + ROUTES_ADDED)
        fleet.put_configuration(after)
        acknowledged_s = time.monotonic()
        for node in nodes:
            wait_until(
                lambda node=node: node.revision() == 9, "the node has the change"
            )
        took_s = time.monotonic() - acknowledged_s
        self.assertLess(took_s, IN_FORCE_MAX_S)
        last = after["routes"][-1]["prefix"]
        # The route is known, but has no backend server.
        self.assertEqual({503}, {node.status_of(HOST, last) for node in nodes})
