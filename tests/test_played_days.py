"""Comparison of two versions on the simulated days and seeds that both ran."""

from testtools import TestCase

from bench.played_days import compare, confidence_interval, day_results, report

PRICES = [["processor seconds", 40.0, 0.01], ["store calls", 300.0, 0.006]]


def entry(*worths, broken=None):
    """Return a journal entry with a day for each value of `worths`.

    All days have the same broken rules: `broken`, or none.
    """
    return {
        "days": [
            {
                "name": f"day-{number} --seed 7",
                "seed": 7,
                "G": worth,
                "served": worth + 0.3,
                "refused": 0.0,
                "failed": 0.1,
                "parts": [["whole day", 0.35, 0.8]],
                "prices": PRICES,
                "by_class": [0.5, None],
                "rules": broken or {},
            }
            for number, worth in enumerate(worths)
        ]
    }


class PlayedDaysTests(TestCase):
    def test_a_version_does_not_differ_from_itself(self):
        same = [day_results(name, entry(0.4, 0.5, 0.3)) for name in ("a", "b")]
        for found in compare(sum(same, []), "a", "b"):
            self.assertEqual((0.0, 0.0, 0.0), (found.difference, found.low, found.high))

    def test_a_gain_on_all_days_has_an_interval_above_zero(self):
        before = day_results("a", entry(0.40, 0.50, 0.30, 0.45))
        after = day_results("b", entry(0.45, 0.53, 0.36, 0.49))
        worth = compare(before + after, "a", "b")[0]
        self.assertAlmostEqual(0.045, worth.difference)
        self.assertGreater(worth.low, 0.0)
        self.assertLess(worth.low, worth.difference)

    def test_gains_and_losses_have_an_interval_around_zero(self):
        low, high = confidence_interval([0.05, -0.04, 0.03, -0.02])
        self.assertTrue(low < 0 < high)

    def test_the_price_of_processor_time_is_added_back(self):
        [result] = day_results("a", entry(0.40))
        self.assertAlmostEqual(0.41, result.worth)
        self.assertEqual({"store calls": 0.006}, result.prices)

    def test_days_that_only_one_version_ran_are_ignored(self):
        before = day_results("a", entry(0.4, 0.9))
        after = day_results("b", entry(0.4))
        self.assertEqual(0.0, compare(before + after, "a", "b")[0].difference)

    def test_a_broken_rule_is_reported(self):
        both = day_results("a", entry(0.4)) + day_results(
            "b", entry(0.4, broken={"LOST": 1})
        )
        self.assertIn("BROKEN b day-0 7 {'LOST': 1}", report(both, "a", "b"))
