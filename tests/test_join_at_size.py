"""A replaced node learns a large fleet within its byte cap."""

from testtools import TestCase

from bench.capacity.joining import Join
from bench.capacity.sizes import LONG_RUN

NODES = 1_400
KNOWN_WITHIN_S = 100.0


class JoinAtSizeTests(TestCase):
    def test_comparisons_do_not_starve_the_pulls_of_a_joiner(self):
        # A node is replaced. It compares digests with several peers at once,
        # each answers with what it lacks; but the comparisons used up its
        # bytes, so it pulls nothing and compares again. Its callers are told
        # not_run for ten minutes for services that it has not heard of yet.
        join = Join(LONG_RUN.scaled(NODES))
        self.assertLess(join.run(), KNOWN_WITHIN_S)
        counts = join.joiner.channel.counts
        self.assertLess(counts["over_cap"], counts["sent"])
