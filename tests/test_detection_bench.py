"""Regression bounds of the detection bench, in simulated time with fixed seeds.

They cover a few runs of the deployment `association`; `make bench` draws the curves.
"""

import statistics
from functools import cache

from bench.detection import Figures, Setting, measure
from bench.detection_traces import Fault

SEED_COUNT, HEALTHY_H = 2, 1.0


@cache
def figures(detector: str, value: float) -> Figures:
    return measure("association", Setting(detector, (value,)), SEED_COUNT, HEALTHY_H)


def sequential_figures() -> Figures:
    return figures("sequential", 9.0)


def median_s(point: Figures, fault: Fault) -> float:
    return statistics.median(point.detection_s[fault])


def test_gray_and_flapping_are_detected_sooner_than_by_counting_failures():
    """The median times are 3.5 s for gray failures and 2.5 s for flapping.

    A detector that counts three consecutive failures takes 6.5 s and 5.5 s.
    """
    baseline = figures("consecutive", 3)
    for fault in (Fault.GRAY, Fault.FLAPPING):
        assert 1.6 * median_s(sequential_figures(), fault) < median_s(baseline, fault)
    assert 2 * median_s(sequential_figures(), Fault.HALF) < median_s(
        baseline, Fault.HALF
    )
    assert median_s(sequential_figures(), Fault.GRAY) < 4.0


def test_slowness_without_errors_is_detected():
    assert max(sequential_figures().detection_s[Fault.SLOW]) < 20
    assert median_s(figures("consecutive", 3), Fault.SLOW) == float("inf")


def test_healthy_backend_servers_are_rarely_ejected():
    """There are 4 false ejections in 22 server-hours with pauses of up to 0.4 s."""
    assert sequential_figures().false_ejections <= 5


def test_overload_and_a_cut_off_zone_cost_little_capacity():
    """An overload of all servers costs 1.2% of capacity; a cut-off zone costs none."""
    assert sequential_figures().capacity_lost[Fault.OVERLOAD] < 0.015
    assert sequential_figures().capacity_lost[Fault.ZONE_CUT] == 0
    assert figures("consecutive", 3).capacity_lost[Fault.ZONE_CUT] > 0.05


def test_a_flapping_backend_server_fails_a_bounded_number_of_requests():
    """28 requests fail per hour; 81 do if three consecutive failures are counted."""
    assert sequential_figures().failed_at_flapping_per_h <= 32


def test_more_requests_are_answered_than_by_counting_failures():
    for fault in (Fault.GRAY, Fault.HALF):
        baseline = figures("consecutive", 3).answered[fault]
        assert sequential_figures().answered[fault] > baseline + 0.01
