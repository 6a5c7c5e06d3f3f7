"""Backend servers whose limit ends, in a fleet that has room elsewhere."""

import time

from testtools import TestCase

from balsamspindle.backend_servers.limited_capacity import UNATTEMPTED_S
from tests.announcing_server import (
    AnnouncingServer,
    Callers,
    most_in_window,
)
from tests.utils import start_fleet, wait_until

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
# After this time all nodes know the capacity that the limit leaves, and prefer others.
GOSSIP_S = 2.0


class LimitThatEndsCase(TestCase):
    """A fleet with a backend server beside each node, and callers at all nodes."""

    zones = 2

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number % self.zones}")
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
        self._call(self.nodes)

    def _call(self, nodes) -> None:
        self.callers = Callers(nodes, REQUESTS_PER_S, "/contracts/7")
        self.addCleanup(self.callers.stop)

    def _check_served_again(self, server, ended_s) -> None:
        later = [at for at in server.arrivals_s if at > ended_s + SERVED_AGAIN_S]
        even_part = REQUESTS_PER_S * WINDOW_S / NODES
        self.assertGreaterEqual(len(later), even_part / 2)


class EndedLimitTests(LimitThatEndsCase):
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
        checked = [at for at in while_limited if at > named_s + GOSSIP_S]
        self.assertGreaterEqual(len(checked), 1)
        self._check_served_again(limited, ended_s)


class UnknownLimitTests(LimitThatEndsCase):
    # Requests go to other zones only if their own has no room.
    zones = 1

    def test_the_end_is_noticed_where_no_node_with_callers_knows_of_the_limit(self):
        # Guards against a limit that only nodes without callers were told of.
        limited = self.servers[0]
        self.callers.stop()
        told, others = self.nodes[:2], self.nodes[2:]
        self._call(told)
        wait_until(lambda: limited.arrivals_s, "the backend server gets a request")
        limited.set_terms(str(LIMIT_PER_S))
        time.sleep(GOSSIP_S)
        self.callers.stop()
        self._call(others)
        time.sleep(UNATTEMPTED_S + 2)
        ended_s = limited.set_terms()
        time.sleep(SERVED_AGAIN_S + WINDOW_S)
        self.callers.stop()
        self._check_served_again(limited, ended_s)
