"""How a change that adds many routes at once spreads through real processes."""

import random
import time

from testtools import TestCase

from tests.platform_fleet import PlatformFleet
from tests.utils import wait_until

# Eight nodes of a zone read the store. The other four nodes get changes only from those
# eight.
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
        # An operator adds 2,000 routes to 600. Nodes that don't read the store get the
        # change from peers. If they needed all pages of all settings, the peers' byte
        # caps would delay the pages, and until then the nodes would answer 404 to
        # callers of the new routes.
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
        # Each node began to wait for changes at the store before it knew the other
        # nodes. A change in the store ends all of these waits, and then only the
        # readers wait again.
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
        # The nodes know the new route, which has no backend server, so they answer 503.
        self.assertEqual({503}, {node.status_of(HOST, last) for node in nodes})
