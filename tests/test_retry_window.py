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
        # Each node counts its own retries only; the sum over any ten seconds must stay
        # within the limit from the settings.
        part = RetryBudget(fraction=FRACTION, fleet_per_s_min=FLEET_PER_S / NODES)
        rng = random.Random(1)
        windows = [RetryWindow() for _ in range(NODES)]
        requests, retries = [], []
        for tick in range(4000):
            now_s = tick * 0.01
            window = rng.choice(windows)
            busy = 5.0 < now_s % 20 < 9.0
            for _ in range(3 if busy else 1):
                window.record_request(part, now_s)
                requests.append(now_s)
                if rng.random() < 0.5 and window.try_spend(part, now_s):
                    retries.append(now_s)
        self.assertGreater(len(retries), 0.15 * len(requests))
        for start in range(0, 30):
            end = start + WINDOW_S
            made = sum(start <= at_s < end for at_s in retries)
            seen = sum(start <= at_s < end for at_s in requests)
            # Retries may have been granted on the requests of an earlier window.
            seen = max(seen, sum(start - 5 <= at_s < end - 5 for at_s in requests))
            self.assertLessEqual(made, FRACTION * seen + FLEET_PER_S * WINDOW_S)

    def test_a_refunded_retry_can_be_made_later(self):
        part = RetryBudget(fraction=0.0, fleet_per_s_min=0.1)
        window = RetryWindow()
        self.assertTrue(window.try_spend(part, 1.0))
        self.assertFalse(window.try_spend(part, 1.1))
        window.refund()
        self.assertTrue(window.try_spend(part, 1.2))
        self.assertFalse(window.try_spend(part, 1.2 + WINDOW_S / 2))
        self.assertTrue(window.try_spend(part, 2.5 + WINDOW_S))
