"""Slowness of all backend servers at once, in a fleet of real processes."""

import time

from tests.ejection_utils import SERVERS, FleetUnderLoad
from tests.utils import wait_until

# Requests of all callers before the slowness, enough for each gate to estimate the
# latencies of its backend server.
CALLS = 200 * SERVERS
SLOW_S = 4.0


class SharedSlownessTests(FleetUnderLoad):
    hold_out_s = 5.0

    def test_no_backend_server_stays_suspected_when_all_become_slow(self):
        """All backend servers answer 0.4 s late from one moment on.

        The first late answers cause suspicions. Each request to a gate contains a
        summary of how the service's other backend servers answered the ingress. When
        these summaries show that the other backend servers are late, too, the gates
        withdraw the suspicions. Guards against repeated hold-outs, which would move the
        load of the first suspects to the other backend servers.
        """
        wait_until(lambda: self.calls >= CALLS, "the callers made enough requests", 40)
        for server in self.servers:
            server.set_fault(mode="slow", delay_s=0.4)
        time.sleep(SLOW_S)
        for node in self.nodes:
            wait_until(
                lambda node=node: not self.suspicions(node),
                "no backend server is suspected",
            )
            self.assertEqual(set(), self.excluded_servers(node))
