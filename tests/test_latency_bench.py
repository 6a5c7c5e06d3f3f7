"""The latency bench judges its figures against the recorded baseline."""

import json

from testtools import TestCase

from bench.latency import BASELINE_PATH, regressions


class RegressionTests(TestCase):
    def test_the_baseline_itself_passes(self):
        baseline = json.loads(BASELINE_PATH.read_text())
        self.assertEqual([], regressions(baseline["ratios"], baseline))
        self.assertEqual(set(baseline["ratios"]), set(baseline["bounds"]))

    def test_a_ratio_over_its_bound_is_reported(self):
        baseline = {
            "ratios": {"p50": 2.0, "cpu": 1.0},
            "bounds": {"p50": 1.5, "cpu": 2},
        }
        found = regressions({"p50": 3.1, "cpu": 1.9}, baseline)
        self.assertEqual(["p50: 3.10 is over 3.00, 1.5 times the baseline"], found)
