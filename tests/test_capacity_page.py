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

    def test_each_part_has_its_figures(self):
        self.assertEqual(set(PARTS), set(PARTS) & set(self.measured))

    def test_a_row_over_its_target_says_that_it_misses(self):
        row = Row("node", "memory", "MB", 256.0, 512.0, "", "", "")
        self.assertFalse(row.met)
        self.assertEqual("**missed** 2x", row.margin)

    def test_a_member_sends_no_more_than_the_baseline_says(self):
        # Guards against more bytes for each change. A small fleet does not show
        # them, but in a large one they use up the byte budget of members and delay
        # all news. On the simulated clock each run sends the same number of bytes.
        _, bytes_per_s = ordinary_costs(NODE_COUNTS[0], RECORD_CHANGES_PER_S)
        baseline = self.measured["members"]["sent_bytes_per_s_smallest"]
        self.assertLess(bytes_per_s, SENT_BYTES_BOUND * baseline)

    def test_a_line_extrapolates_beyond_the_measured_sizes(self):
        line = fit_line([(10, 25.0), (20, 45.0)])
        self.assertEqual((5.0, 2.0, 20), line[:3])
        self.assertEqual(2005.0, line.at(1000))
