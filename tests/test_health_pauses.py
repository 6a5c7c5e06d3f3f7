"""What is slow in one pause of a backend server counts once."""

import pytest

from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.wire import PeerEvidence
from tests.health_driver import ANSWERED, Driver


@pytest.mark.parametrize("requests", [2, 10, 40])
def test_a_pause_of_a_busy_healthy_one_counts_once(requests):
    """All work of a pause of 0.4 s is slow, at one moment, then all is well."""
    driver = Driver()
    driver.work(times=150)
    hanging = [driver.start() for _ in range(requests)]
    driver.wait(0.4)
    # This one came late in the pause, and is not slow.
    hanging.insert(0, driver.start())
    driver.now_s += 0.01
    for attempt_id in hanging:
        driver.health.ended(attempt_id, ANSWERED, driver.now_s)
    assert driver.health.phase is HealthPhase.SERVING
    driver.work(times=50)
    assert driver.health.report(driver.now_s).score == 0


def _slow_pair(second_begins_ms: float, good_ends_ms: float) -> Driver:
    """Play slow work of 80 ms, good work, and slow work that ends 60 ms later."""
    driver = Driver(peers=PeerEvidence(heard=5, bad=0, limit_ms=13.0))
    driver.work(latency_ms=2.0, times=2_000)
    starts_ms = (0.0, second_begins_ms, good_ends_ms - 2.0)
    steps = [(at_ms, number, True) for number, at_ms in enumerate(starts_ms)]
    steps += [(80.0, 0, False), (140.0, 1, False), (good_ends_ms, 2, False)]
    began_s, started = driver.now_s, {}
    for at_ms, number, is_start in sorted(steps):
        driver.now_s = began_s + at_ms / 1000
        if is_start:
            started[number] = driver.start()
        else:
            driver.health.ended(started[number], ANSWERED, driver.now_s)
    return driver


@pytest.mark.parametrize(
    ("second_begins_ms", "good_ends_ms"),
    [
        # Begun together, and newer work overtook both.
        (2.0, 35.0),
        # Begun after good work that ended with the first one.
        (83.0, 82.0),
    ],
)
def test_one_pause_that_ends_for_one_thread_after_the_other_counts_once(
    second_begins_ms, good_ends_ms
):
    # Guards against a suspicion of a sound one whose threads wait for a processor.
    driver = _slow_pair(second_begins_ms, good_ends_ms)
    assert driver.health.phase is HealthPhase.SERVING
    driver.work(latency_ms=2.0, times=50)
    assert driver.health.report(driver.now_s).score == 0


def test_slow_work_that_newer_work_overtook_counts_by_itself():
    driver = _slow_pair(second_begins_ms=82.0, good_ends_ms=10.0)
    once = driver.health.report(driver.now_s).score
    apart = _slow_pair(second_begins_ms=60.0, good_ends_ms=78.0)
    assert apart.health.report(apart.now_s).score > once
