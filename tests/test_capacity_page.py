"""The figures on the capacity page are those of the recorded baseline."""

import json

from testtools import TestCase

from bench.capacity.__main__ import BASELINE, PARTS
from bench.capacity.members import NODE_COUNTS, ordinary_costs
from bench.capacity.page import PAGE, render_tables
from bench.capacity.rows import RECORD_CHANGES_PER_S, Row
from bench.capacity.slopes import fit_line

SENT_BYTES_BOUND = 1.1


class CapacityPageTests(TestCase):
    def setUp(self):
        super().setUp()
        self.measured = json.loads(BASELINE.read_text())["measured"]

    def test_the_tables_of_the_page_are_those_of_the_baseline(self):
        # Guards against a page that differs from the baseline, because the baseline
        # was recorded again without the page or a figure was edited by hand.
        self.assertIn(render_tables(self.measured), PAGE.read_text())

    def test_the_baseline_has_figures_for_each_part(self):
        self.assertEqual(set(PARTS), set(PARTS) & set(self.measured))

    def test_a_row_over_its_target_is_marked_as_missed(self):
        row = Row("node", "memory", "MB", 256.0, 512.0, "", "", "")
        self.assertFalse(row.met)
        self.assertEqual("**missed** 2x", row.margin)

    def test_the_bytes_that_a_member_sends_stay_within_their_bound(self):
        # Guards against members that send more bytes for each change of a record. In a
        # small fleet this is not noticed, but in a large one the additional bytes use
        # up the byte budget of members and delay all news. On the simulated clock, each
        # run sends the same number of bytes.
        _, bytes_per_s = ordinary_costs(NODE_COUNTS[0], RECORD_CHANGES_PER_S)
        baseline = self.measured["members"]["sent_bytes_per_s_smallest"]
        self.assertLess(bytes_per_s, SENT_BYTES_BOUND * baseline)

    def test_a_line_extrapolates_beyond_the_measured_sizes(self):
        line = fit_line([(10, 25.0), (20, 45.0)])
        self.assertEqual((5.0, 2.0, 20), line[:3])
        self.assertEqual(2005.0, line.at(1000))
