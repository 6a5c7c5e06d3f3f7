"""A short, seeded soak of customers' limits; the long one is started by hand."""

from testtools import TestCase

from tests import soak_limits

SEEDS = (*range(6), 13)


class LimitSoakTests(TestCase):
    def test_no_series_of_faults_lets_a_customer_run_more_than_is_allowed(self):
        # Guards against faults that overlap: kills, cuts, late news, hot customers.
        for seed in SEEDS:
            result = soak_limits.run(seed)
            self.assertLessEqual(result.largest_window_fraction, 1.0, seed)
