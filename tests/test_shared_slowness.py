"""Slowness of all backend servers, through real processes."""

import time

from tests.ejection_utils import SERVERS, FleetUnderWork
from tests.utils import wait_until

# Enough for each gate to learn what is slow.
CALLS = 200 * SERVERS
SLOW_S = 4.0


class SharedSlownessTests(FleetUnderWork):
    hold_out_s = 5.0

    def test_when_all_turn_slow_nobody_stays_suspected(self):
        """All answer 0.4 s late from one moment on, as in an overload.

        The first late answers make suspects; then the gates hear that the
        others are late, too, and take it back. Held out again and again, the
        first ones would leave their load to the rest.
        """
        wait_until(lambda: self.calls >= CALLS, "slow limits are learned", 40)
        for server in self.servers:
            server.set_fault(mode="slow", delay_s=0.4)
        time.sleep(SLOW_S)
        for node in self.nodes:
            wait_until(
                lambda node=node: not self.suspicions(node), "nobody is suspected"
            )
            self.assertEqual(set(), self.left_out(node))
