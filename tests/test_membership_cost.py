"""Bounds on the bytes and the delay of membership news, in simulated time."""

from testtools import TestCase

from bench.membership import churn, measure_news_delay, measure_rate, start_fleet

NODES = 30
# Each bound is 10 % above the expected rate: 305 B/s when idle, 1,020 B/s with changes.
IDLE_MAX_BYTES_PER_S = 336
CHURN_MAX_BYTES_PER_S = 1122
NEWS_MAX_S = 2.0


class MembershipCostTests(TestCase):
    def test_bytes_and_time_of_news_stay_within_their_bounds(self):
        network, nodes = start_fleet(NODES)
        idle = measure_rate(network, nodes, 30)
        busy = measure_rate(network, nodes, 30, churn(nodes))
        self.assertLessEqual(idle["sent_bytes_per_s"], IDLE_MAX_BYTES_PER_S)
        self.assertLessEqual(busy["sent_bytes_per_s"], CHURN_MAX_BYTES_PER_S)
        self.assertLessEqual(measure_news_delay(network, nodes), NEWS_MAX_S)
