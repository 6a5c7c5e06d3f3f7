"""The retries of a fleet stay within their limit over any ten seconds."""

import random

from testtools import TestCase

from balsamspindle.backend_servers.retry_window import WINDOW_S, RetryWindow
from balsamspindle.settings.documents import RetryBudget

NODES = 20
FLEET_PER_S = 6.0
FRACTION = 0.2


class RetryWindowTests(TestCase):
    def test_all_nodes_together_stay_within_the_limit_over_any_window(self):
        # Half of a service fails, so every node wants a retry for every other request.
        # Each node counts only its own retries. The sum over all nodes must stay within
        # the limit of the settings over any ten seconds.
        budget = RetryBudget(fraction=FRACTION, fleet_per_s_min=FLEET_PER_S / NODES)
        rng = random.Random(1)
        windows = [RetryWindow() for _ in range(NODES)]
        requests, retries = [], []
        for tick in range(4000):
            now_s = tick * 0.01
            window = rng.choice(windows)
            busy = 5.0 < now_s % 20 < 9.0
            for _ in range(3 if busy else 1):
                window.record_request(budget, now_s)
                requests.append(now_s)
                if rng.random() < 0.5 and window.try_spend(budget, now_s):
                    retries.append(now_s)
        self.assertGreater(len(retries), 0.15 * len(requests))
        for start in range(0, 30):
            end = start + WINDOW_S
            retry_count = sum(start <= at_s < end for at_s in retries)
            request_count = sum(start <= at_s < end for at_s in requests)
            # Retries of this window may have been granted for requests of a window that
            # began 5 s earlier.
            request_count = max(
                request_count, sum(start - 5 <= at_s < end - 5 for at_s in requests)
            )
            self.assertLessEqual(
                retry_count, FRACTION * request_count + FLEET_PER_S * WINDOW_S
            )

    def test_a_refunded_retry_can_be_made_later(self):
        budget = RetryBudget(fraction=0.0, fleet_per_s_min=0.1)
        window = RetryWindow()
        self.assertTrue(window.try_spend(budget, 1.0))
        self.assertFalse(window.try_spend(budget, 1.1))
        window.refund()
        self.assertTrue(window.try_spend(budget, 1.2))
        self.assertFalse(window.try_spend(budget, 1.2 + WINDOW_S / 2))
        self.assertTrue(window.try_spend(budget, 2.5 + WINDOW_S))
