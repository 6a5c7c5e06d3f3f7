"""Requests that are slow in one pause of a backend server count once."""

import pytest

from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.wire import PeerEvidence
from tests.health_driver import ANSWERED, HealthDriver


@pytest.mark.parametrize("requests", [2, 10, 40])
def test_a_pause_of_a_busy_healthy_backend_server_counts_once(requests):
    """All requests of a pause of 0.4 s are slow and end together."""
    driver = HealthDriver()
    driver.run_requests(times=150)
    hanging = [driver.start_request() for _ in range(requests)]
    driver.advance(0.4)
    # This request starts late in the pause and is not slow.
    hanging.insert(0, driver.start_request())
    driver.now_s += 0.01
    for attempt_id in hanging:
        driver.health.record_end(attempt_id, ANSWERED, driver.now_s)
    assert driver.health.phase is HealthPhase.SERVING
    driver.run_requests(times=50)
    assert driver.health.report(driver.now_s).score == 0


def _run_slow_pair(second_begins_ms: float, good_ends_ms: float) -> HealthDriver:
    """Run two slow requests, which end at 80 and 140 ms, and a good one of 2 ms."""
    driver = HealthDriver(
        peers=PeerEvidence(judged_count=5, bad_count=0, median_p99_ms=13.0)
    )
    driver.run_requests(latency_ms=2.0, times=2_000)
    starts_ms = (0.0, second_begins_ms, good_ends_ms - 2.0)
    steps = [(at_ms, number, True) for number, at_ms in enumerate(starts_ms)]
    steps += [(80.0, 0, False), (140.0, 1, False), (good_ends_ms, 2, False)]
    began_s, started = driver.now_s, {}
    for at_ms, number, is_start in sorted(steps):
        driver.now_s = began_s + at_ms / 1000
        if is_start:
            started[number] = driver.start_request()
        else:
            driver.health.record_end(started[number], ANSWERED, driver.now_s)
    return driver


@pytest.mark.parametrize(
    ("second_begins_ms", "good_ends_ms"),
    [
        # Both slow requests begin almost together. The good request begins after both,
        # and ends at 35 ms, before both.
        (2.0, 35.0),
        # The first slow request ends at 80 ms, the good one at 82 ms. Then the second
        # slow request begins.
        (83.0, 82.0),
    ],
)
def test_a_pause_that_ends_at_different_times_per_thread_counts_once(
    second_begins_ms, good_ends_ms
):
    # Guards against suspecting a healthy backend server whose threads wait for a
    # processor.
    driver = _run_slow_pair(second_begins_ms, good_ends_ms)
    assert driver.health.phase is HealthPhase.SERVING
    driver.run_requests(latency_ms=2.0, times=50)
    assert driver.health.report(driver.now_s).score == 0


def test_slow_requests_that_a_newer_good_request_overtook_count_separately():
    driver = _run_slow_pair(second_begins_ms=82.0, good_ends_ms=10.0)
    once = driver.health.report(driver.now_s).score
    apart = _run_slow_pair(second_begins_ms=60.0, good_ends_ms=78.0)
    assert apart.health.report(apart.now_s).score > once
