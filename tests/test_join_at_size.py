"""A replaced node learns the records of a large fleet within its byte cap."""

from testtools import TestCase

from bench.capacity.joining import JoinSimulation
from bench.capacity.sizes import LONG_RUN

NODES = 1_400
JOIN_MAX_S = 100.0


class JoinAtSizeTests(TestCase):
    def test_comparisons_leave_a_joining_node_enough_bytes_to_pull_records(self):
        # Guards against a joining node that spends its byte budget on comparisons with
        # several peers. It then has no bytes left to pull records, and compares again.
        # For ten minutes it refuses requests with `not_run`, because it does not know
        # their services yet.
        join = JoinSimulation(LONG_RUN.scaled(NODES))
        self.assertLess(join.run(), JOIN_MAX_S)
        counts = join.joiner.channel.counts
        self.assertLess(counts["over_cap"], counts["sent"])
