"""Gauges of a node's current state at its metrics address."""

from testtools import TestCase

from balsamspindle.membership.recent_max import RecentMax
from tests.utils import call, start_fleet, wait_until

SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/read": {
        "service": "crew/contracts",
        "execution": "idempotent",
        "path_prefix": "/contracts",
    },
}


class GaugesTests(TestCase):
    def test_a_node_reports_its_state_at_the_metrics_address(self):
        fleet = start_fleet(self, SETTINGS)
        node = fleet.start_node("node-1", "zone-1")
        fleet.start_backend("contracts-1", "crew/contracts", node)
        fleet.wait_ready([node], ["contracts-1"])
        call(node.settings["caller_address"], "/contracts/1")
        address = node.settings["admin_address"]

        def read_metrics():
            return call(address, "/metrics").body.decode()

        wait_until(
            lambda: "balsamspindle_retries_left{" in read_metrics(),
            "the metrics include the service's retry budget",
        )
        for line in (
            "balsamspindle_settings_revision 2.0",
            "balsamspindle_nodes_known 1.0",
            "balsamspindle_attempts_waiting 0.0",
            'balsamspindle_backend_server_slots{backend_server="contracts-1"',
            'backend_server_held_out_seconds{backend_server="contracts-1"} 0',
            'balsamspindle_store_calls{result="ok",verb="read"}',
            "balsamspindle_member_lag_seconds",
        ):
            self.assertIn(line, read_metrics())

    def test_the_longest_recent_delay_is_reported(self):
        lag = RecentMax(10.0)
        lag.record(0.5, 1.0)
        lag.record(0.1, 9.0)
        self.assertEqual(0.5, lag.value(12.0))
        self.assertEqual(0.0, lag.value(100.0))
