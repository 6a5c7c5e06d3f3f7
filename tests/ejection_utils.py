"""A fleet of real processes under load, without its platform, for ejection tests."""

import threading

from testtools import TestCase

from tests.relay import Relay
from tests.utils import Fleet, call, free_address, try_call


def make_settings(hold_out_s: float) -> dict:
    return {
        "crew/services/contracts": {
            "floor_fraction": 0.6,
            "detection": {"threshold": 7.0, "hold_out_s": hold_out_s},
        },
        "crew/routes/read": {
            "service": "crew/contracts",
            "execution": "idempotent",
            "path_prefix": "/contracts",
            "timeout_ms": 1500.0,
        },
    }


SERVERS = 5
FLOOR_SLOTS = 0.6 * SERVERS * 6
CALLERS = 3
REQUEST_INTERVAL_S = 0.02


class FleetUnderLoad(TestCase):
    hold_out_s = 60.0

    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        platform = self.fleet.start_platform()
        self.fleet.put_settings(make_settings(self.hold_out_s))
        link_address = free_address()
        self.relay = Relay(link_address)
        self.addCleanup(self.relay.close)
        addresses = {
            "link_address": link_address,
            "link_advertised_address": self.relay.address,
        }
        self.nodes = [
            self.fleet.start_node(
                f"node-{number}", f"zone-{number}", **({} if number else addresses)
            )
            for number in range(3)
        ]
        self.servers = [
            self.fleet.start_backend(
                f"contract-{number}", "crew/contracts", self.nodes[number % 2]
            )
            for number in range(SERVERS)
        ]
        names = [server.name for server in self.servers]
        self.fleet.wait_ready(self.nodes, names)
        platform.kill()
        self.calls = 0
        self._done = threading.Event()
        self.addCleanup(self._done.set)
        for _ in range(CALLERS):
            threading.Thread(target=self._call, daemon=True).start()

    def _call(self):
        """Send requests to the node without backend servers until the test ends."""
        while not self._done.wait(REQUEST_INTERVAL_S):
            try_call(self.nodes[2].caller_address, "/contracts/7", timeout_s=5)
            self.calls += 1

    def explain(self, node) -> dict:
        return call(node.admin_address, "/services/crew/contracts/explain").json()

    def excluded_servers(self, node) -> set[str]:
        explanation = self.explain(node)
        self.assertGreaterEqual(explanation["in_use_slots"], FLOOR_SLOTS)
        return {
            server["backend_server_id"]
            for server in explanation["backend_servers"]
            if not server["takes_work"]
        }

    def suspicions(self, node) -> dict[str, float]:
        return {
            server["backend_server_id"]: server["suspicion"]
            for server in self.explain(node)["backend_servers"]
            if server["suspicion"] > 0
        }
