"""A short seeded soak of customers' limits; the long one is `tests.soak_limits`."""

from testtools import TestCase

from tests import soak_limits

SEEDS = (*range(6), 13)


class LimitSoakTests(TestCase):
    def test_no_series_of_faults_lets_a_customer_exceed_its_limit(self):
        # Guards against requests over a customer's limit while faults overlap. Nodes
        # are restarted and isolated, failures are detected late, and some customers
        # send at a high rate.
        for seed in SEEDS:
            result = soak_limits.run_seed(seed)
            self.assertLessEqual(result.largest_window_fraction, 1.0, seed)
