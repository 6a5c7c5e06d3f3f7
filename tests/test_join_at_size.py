"""A replaced node learns the records of a large fleet within its byte cap."""

from testtools import TestCase

from bench.capacity.joining import JoinSimulation
from bench.capacity.sizes import LONG_RUN

NODES = 1_400
JOIN_MAX_S = 100.0


class JoinAtSizeTests(TestCase):
    def test_comparisons_do_not_starve_the_pulls_of_a_joiner(self):
        # Guards against a joining node whose comparisons with several peers use up
        # its byte budget: it pulls no records, compares again, and for ten minutes
        # refuses requests for services that it does not know yet with not_run.
        join = JoinSimulation(LONG_RUN.scaled(NODES))
        self.assertLess(join.run(), JOIN_MAX_S)
        counts = join.joiner.channel.counts
        self.assertLess(counts["over_cap"], counts["sent"])
