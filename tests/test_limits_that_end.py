"""Backend servers whose limit ends, in a fleet that has room elsewhere."""

import time

from testtools import TestCase

from tests.announcing_server import AnnouncingServer, Callers, most_in_window
from tests.utils import start_fleet

SERVICE = "crew/contracts"
SETTINGS = {
    # The gates send no status checks, so that only requests can show a limit's end.
    "crew/services/contracts": {"detection": {"independent_errors": True}},
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "target_ms": 2000,
        "timeout_ms": 5000,
    },
}
NODES, SLOTS, WORK_S = 6, 4, 0.08
# The servers without a limit have room for five times as much.
REQUESTS_PER_S = 45.0
LIMIT_PER_S, LIMITED_S = 1.0, 5.0
STABILITY_S, WINDOW_S = 3.0, 4.0
SERVED_AGAIN_S = 5.0


class EndedLimitTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number % 2}")
            for number in range(NODES)
        ]
        self.servers = [
            AnnouncingServer(f"contracts-{number}", SERVICE, node, WORK_S, SLOTS)
            for number, node in enumerate(self.nodes)
        ]
        for server in self.servers:
            self.addCleanup(server.server_close)
            self.addCleanup(server.shutdown)
        self.fleet.wait_ready(self.nodes, [server.name for server in self.servers])
        self.callers = Callers(self.nodes, REQUESTS_PER_S, "/contracts/7")
        self.addCleanup(self.callers.stop)

    def test_a_backend_server_whose_limit_ended_is_served_again(self):
        # Guards against a limit whose end nobody notices, because other backend servers
        # have room and the limited one gets no request.
        limited = self.servers[0]
        time.sleep(2.0)
        named_s = limited.set_terms(str(LIMIT_PER_S))
        time.sleep(LIMITED_S)
        ended_s = limited.set_terms()
        time.sleep(SERVED_AGAIN_S + WINDOW_S)
        self.callers.stop()
        while_limited = [at for at in limited.arrivals_s if at < ended_s]
        self.assertLessEqual(
            most_in_window(while_limited, WINDOW_S, named_s + STABILITY_S),
            1.5 * LIMIT_PER_S * WINDOW_S + 5,
        )
        later = [at for at in limited.arrivals_s if at > ended_s + SERVED_AGAIN_S]
        even_part = REQUESTS_PER_S * WINDOW_S / NODES
        self.assertGreaterEqual(len(later), even_part / 2)
