"""A fleet in which a test lets backend servers name limits or announce a leaving."""

from testtools import TestCase

from tests.announcing_server import (
    LIMIT_HEADER,
    AnnouncingServer,
    Callers,
    most_in_window,
)
from tests.utils import start_fleet

__all__ = ["DRAIN_S", "SERVICE", "STABILITY_S", "WINDOW_S", "LimitedFleet", "allowed"]

SERVICE = "crew/contracts"
SETTINGS = {
    f"crew/services/{SERVICE.split('/')[1]}": {},
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "target_ms": 2000,
        "timeout_ms": 5000,
    },
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
        "path_prefix": "/sign",
        "target_ms": 2000,
        "timeout_ms": 5000,
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


class LimitedFleet(TestCase):
    """Three nodes, backend servers beside the first two, and callers at all."""

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.start_node(f"node-{number}", f"zone-{number % 2}")
            for number in range(3)
        ]
        self.limited, self.other = (
            self.start_server(f"contracts-{number}", node)
            for number, node in enumerate(self.nodes[:2])
        )
        self.fleet.wait_ready(self.nodes, ["contracts-0", "contracts-1"])
        self.callers = Callers(self.nodes, REQUESTS_PER_S, "/contracts/7")
        self.addCleanup(self.callers.stop)

    def start_node(self, node_id, zone):
        """Start a node; subclasses may change its settings."""
        return self.fleet.start_node(node_id, zone)

    def start_server(self, name, node):
        """Start a backend server beside a node."""
        server = AnnouncingServer(name, SERVICE, node)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return server

    def check_limit(self, named_s: float, limit_per_s: float) -> None:
        """Check that the limited backend server got requests, but not too many."""
        begin_s = named_s + STABILITY_S
        arrivals_s = [at for at in self.limited.arrivals_s if at >= begin_s]
        self.assertGreater(len(arrivals_s), 0)
        self.assertLessEqual(
            most_in_window(arrivals_s, WINDOW_S, begin_s), allowed(limit_per_s)
        )

    def knows_limit(self, node) -> bool:
        """Return whether a caller of a node got an answer with a limit."""
        return any(
            LIMIT_HEADER.lower() in answer.headers
            for _, answer, _ in self.callers.answers_of(node)
        )
