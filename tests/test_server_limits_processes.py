"""Backend servers that name a limit, or announce that they leave, in a fleet."""

import time

from testtools import TestCase

from tests.announcing_server import AnnouncingServer, Callers, most_in_window
from tests.utils import start_fleet

SERVICE = "crew/contracts"
SETTINGS = {
    f"crew/services/{SERVICE.split('/')[1]}": {},
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "target_ms": 2000,
    },
}
# A backend server's limit binds from this long after its first answer with the limit.
STABILITY_S = 3.0
WINDOW_S = 4.0
# A backend server may get requests for this long after an answer said that it leaves.
DRAIN_S = 2.0
REQUESTS_PER_S = 30.0


def allowed(limit_per_s: float) -> float:
    """Return how many requests a limit allows in `WINDOW_S`."""
    return 1.5 * limit_per_s * WINDOW_S + 5


class ServerLimitTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number % 2}")
            for number in range(3)
        ]
        self.limited, self.other = (
            self._start_server(f"contracts-{number}", node)
            for number, node in enumerate(self.nodes[:2])
        )
        self.fleet.wait_ready(self.nodes, ["contracts-0", "contracts-1"])
        self.callers = Callers(self.nodes, REQUESTS_PER_S, "/contracts/7")
        self.addCleanup(self.callers.stop)

    def _start_server(self, name, node):
        server = AnnouncingServer(name, SERVICE, node)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return server

    def test_a_backend_server_gets_no_more_requests_than_the_limit_it_names(self):
        # Guards against a limit that no gate enforces over the requests of all nodes.
        time.sleep(1.0)
        named_s = self.limited.set_terms("2.0")
        time.sleep(STABILITY_S + WINDOW_S + 1)
        self.callers.stop()
        count = most_in_window(self.limited.arrivals_s, WINDOW_S, named_s + STABILITY_S)
        self.assertLessEqual(count, allowed(2.0))

    def test_a_backend_server_that_leaves_gets_no_more_requests(self):
        # Guards against a leaving that is announced in answers only.
        time.sleep(1.0)
        named_s = self.limited.set_terms(is_leaving=True)
        time.sleep(DRAIN_S + 2)
        self.callers.stop()
        late = [at for at in self.limited.arrivals_s if at > named_s + DRAIN_S]
        self.assertEqual(0, len(late))
