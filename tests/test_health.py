"""Health of one backend server from its work: evidence fed, time given."""

import math

import pytest

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.backend_servers.health_score import (
    Rates,
    against_peers,
    bad_weight,
    good_weight,
)
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.settings.documents import Detection, RetryBudget
from balsamspindle.wire import AttemptId, PeerEvidence
from tests.health_driver import ANSWERED, ERROR, PEERS_WELL, Driver


@pytest.mark.parametrize(
    ("work", "most"),
    [
        ({"result": ERROR}, 3),
        ({"result": WorkResult.BROKEN}, 3),
        ({"result": WorkResult.UNREACHABLE}, 3),
        ({"latency_ms": 150.0}, 3),
    ],
)
def test_failing_or_slow_work_ejects_in_a_few_requests(work, most):
    driver = Driver()
    driver.work(times=150)
    assert driver.health.suspicion() == 0
    assert driver.requests_until(HealthPhase.HELD_OUT, **work) <= most
    assert driver.health.suspicion() >= 1


def test_a_hang_is_seen_while_it_hangs_but_never_from_one_request():
    """The caller waits; nothing ends, so nothing that ends can tell.

    One hanging request may be an odd one. A second makes a sick server.
    """
    driver = Driver()
    driver.work(times=150)
    driver.start()
    driver.wait(30)
    assert driver.health.phase is HealthPhase.SERVING
    driver.start()
    driver.wait(1)
    assert driver.health.phase is HealthPhase.HELD_OUT


@pytest.mark.parametrize("known", [15, 40, 99])
def test_a_hang_is_seen_before_the_latencies_are_well_known(known):
    """Callers wait 0.8 s for work of 20 ms, and some of it hangs.

    A backend server that started lately had few requests, and none of its
    peers more. With one limit of 2 s until it had 100, each caller's silence
    was too short to say anything, and it kept half failing.
    """
    driver = Driver(peers=PeerEvidence())
    driver.work(times=known)
    hangs = {"result": WorkResult.SILENCE, "latency_ms": 800.0}
    assert driver.requests_until(HealthPhase.HELD_OUT, **hangs) <= 3


@pytest.mark.parametrize("known", [15, 40])
def test_an_own_attempt_outlasts_a_limit_that_is_not_well_known(known):
    """Callers of the node beside the sick one give it up after 40 ms.

    Its gate told no limit before it had seen 100 requests, so that the
    attempt ended with the patience of a hedge, too soon to count as slow.
    """
    driver = Driver(peers=PeerEvidence())
    policy = RetryPolicy(lambda service: RetryBudget())
    for _ in range(known):
        driver.work()
        policy.record_answer("service", 0.02, driver.health.own_limit_ms)
    patience_ms = 1000 * policy.hedge_delay_s("service", True, 2.0, driver.now_s)
    assert patience_ms < 2000
    hangs = {"result": WorkResult.SILENCE, "latency_ms": patience_ms}
    assert driver.requests_until(HealthPhase.HELD_OUT, **hangs) <= 3


@pytest.mark.parametrize(("known", "latency_ms"), [(1, 1900), (5, 700), (50, 75)])
def test_the_less_is_known_the_slower_work_may_be(known, latency_ms):
    driver = Driver(peers=PeerEvidence())
    driver.work(times=known)
    assert driver.work(latency_ms=latency_ms) is Verdict.GOOD


def test_a_standstill_ejects_even_under_a_careful_setting():
    """Two requests hang and nothing comes back for longer than a pause."""
    careful = Driver(Detection(threshold=14.0))
    careful.work(times=150)
    careful.start()
    careful.start()
    careful.wait(0.4)
    assert careful.health.phase is HealthPhase.SERVING
    careful.wait(0.2)
    assert careful.health.phase is HealthPhase.HELD_OUT
    working = Driver(Detection(threshold=14.0))
    working.work(times=150)
    working.start()
    working.start()
    working.work(times=3)
    assert working.health.phase is HealthPhase.SERVING


@pytest.mark.parametrize("result", [WorkResult.SHED, WorkResult.CANCELLED])
def test_shed_and_cancelled_work_is_no_sickness(result):
    driver = Driver()
    assert driver.work(result, times=50) is Verdict.NOTHING
    assert driver.health.phase is HealthPhase.SERVING


def test_callers_with_tiny_timeouts_eject_nobody():
    """Each gives up after 5 ms, and the gate sees silence every time."""
    driver = Driver()
    driver.work(times=150)
    assert driver.work(WorkResult.SILENCE, latency_ms=5, times=50) is Verdict.NOTHING
    assert driver.health.phase is HealthPhase.SERVING
    driver.work(WorkResult.SILENCE, latency_ms=500, times=3)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_what_all_peers_suffer_too_is_no_sickness():
    """Overload: each backend server is slow; ejecting one loads the others."""
    overloaded = Driver(peers=PeerEvidence(heard=5, bad=4, limit_ms=40.0))
    overloaded.work(latency_ms=150.0, times=100)
    assert overloaded.health.phase is HealthPhase.SERVING
    one_peer_bad = Driver(peers=PeerEvidence(heard=5, bad=1, limit_ms=40.0))
    assert one_peer_bad.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0) <= 10


def test_an_overload_that_hit_it_first_is_taken_back_when_the_peers_show_it():
    """The first slow requests come before the peers' slowness is known."""
    driver = Driver()
    driver.work(times=150)
    driver.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0)
    driver.peers = PeerEvidence(heard=5, bad=5, limit_ms=40.0)
    driver.work(latency_ms=150.0, times=8)
    assert driver.health.phase is HealthPhase.SERVING
    driver.peers = PEERS_WELL
    driver.work(times=5)
    assert driver.health.phase is HealthPhase.SERVING


def test_peers_that_pause_do_not_end_the_hold_out_of_one_that_fails():
    """One of five fails; a moment later a fifth of its peers looks slow.

    Its score was lowered with the peers' slowness as if it were the cause of
    its errors, and a hold-out of a minute was over within a second: the
    failing one was back among those that take work.
    """
    driver = Driver(Detection(threshold=7.0, hold_out_s=60.0))
    driver.work(times=30)
    driver.requests_until(HealthPhase.HELD_OUT, result=ERROR)
    a_pause = PeerEvidence(heard=5, bad=2, limit_ms=40.0)
    for _ in range(30):
        driver.health.note_peers(a_pause, driver.now_s)
        driver.wait(0.05)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_a_hold_out_is_no_refusal_where_the_fleet_is_told():
    """A backend server is held out, restarts, and serves well again.

    Ingresses had been told by replies that work is kept away for the whole
    hold-out. They kept to that for its full length, although the news of the
    restart was there, and callers' requests all went elsewhere.
    """
    driver = Driver(Detection(threshold=7.0, hold_out_s=60.0))
    driver.requests_until(HealthPhase.HELD_OUT, result=ERROR)
    assert driver.health.held_out_ms(driver.now_s) == 0


def test_one_that_was_always_slow_is_seen_against_its_peers():
    driver = Driver(peers=PeerEvidence(heard=5, bad=0, limit_ms=10.0))
    assert driver.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0) <= 4


def test_without_peers_its_own_latencies_are_the_measure():
    driver = Driver(peers=PeerEvidence())
    driver.work(times=150)
    assert driver.requests_until(HealthPhase.HELD_OUT, latency_ms=300.0) <= 4
    # Kept at work by the floor, it must not teach that slow is normal.
    driver.work(latency_ms=300.0, times=200)
    assert driver.health.slow_ms() < 150


def test_trials_take_back_one_that_recovered_and_only_such():
    driver = Driver()
    driver.work(ERROR, times=4)
    driver.wait(5.1)
    assert driver.health.suspicion() == 0.5
    driver.work(ERROR)
    assert driver.health.phase is HealthPhase.HELD_OUT
    driver.wait(5.1)
    assert driver.health.phase is HealthPhase.HELD_OUT, "the hold-out has doubled"
    driver.wait(5.0)
    assert driver.requests_until(HealthPhase.SERVING) == 5


def test_work_that_hung_since_before_the_trial_does_not_fail_it():
    driver = Driver()
    hanging = [driver.start() for _ in range(3)]
    driver.wait(6.5)
    assert driver.health.phase is HealthPhase.ON_TRIAL
    for attempt_id in hanging:
        driver.health.ended(attempt_id, WorkResult.SILENCE, driver.now_s)
    assert driver.health.phase is HealthPhase.ON_TRIAL


def stand_still(driver: Driver) -> list[AttemptId]:
    """Let two requests hang past a pause, and a hold-out pass."""
    hanging = [driver.start() for _ in range(2)]
    driver.wait(0.6)
    assert driver.health.phase is HealthPhase.HELD_OUT
    assert "standstill" in driver.health.report(driver.now_s).evidence
    return hanging


def test_a_standstill_that_is_usual_among_the_peers_by_now_is_taken_back():
    # Guards against a suspicion that stays when all have turned slow.
    driver = Driver()
    for attempt_id in stand_still(driver):
        driver.health.ended(attempt_id, ANSWERED, driver.now_s)
    driver.wait(5.5)
    assert driver.health.phase is HealthPhase.ON_TRIAL
    driver.peers = PeerEvidence(heard=5, bad=0, limit_ms=600.0)
    driver.work(latency_ms=600.0)
    assert driver.health.phase is HealthPhase.SERVING


def test_a_standstill_that_goes_on_is_not_usual_among_slow_peers():
    # Guards against work for a backend server that hangs while others are slow.
    driver = Driver()
    stand_still(driver)
    driver.wait(5.5)
    driver.peers = PeerEvidence(heard=5, bad=0, limit_ms=600.0)
    driver.work(latency_ms=600.0)
    assert driver.health.phase is not HealthPhase.SERVING


def test_a_flapping_backend_server_costs_few_failures_an_hour():
    """Well whenever it is on trial, sick as soon as it serves again.

    Every trial succeeds, so only the growing hold-out bounds the cost.
    """
    failures = 0
    driver = Driver()
    while driver.now_s < 3600:
        match driver.health.phase:
            case HealthPhase.SERVING:
                driver.work(ERROR)
                failures += 1
            case HealthPhase.ON_TRIAL:
                driver.work()
            case HealthPhase.HELD_OUT:
                driver.wait(1)
    assert failures <= 60
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_probes_shorten_a_hold_out_but_never_outvote_failing_work():
    driver = Driver()
    for _ in range(20):
        driver.work(ERROR)
        driver.health.probed(ProbeResult.PASSED, driver.now_s)
    assert driver.health.phase is HealthPhase.HELD_OUT
    driver.wait(3.0)
    for _ in range(3):
        driver.health.probed(ProbeResult.PASSED, driver.now_s)
    assert driver.health.phase is HealthPhase.ON_TRIAL


def test_a_health_endpoint_that_fails_ejects_nobody_by_itself():
    """Its path is wrong in the settings, and all requests are answered.

    At a request in some seconds, probes fill the time between and all fail.
    """
    driver = Driver()
    for _ in range(50):
        driver.work()
        for _ in range(5):
            driver.wait(1.0)
            driver.health.probed(ProbeResult.FAILED, driver.now_s)
        assert driver.health.phase is HealthPhase.SERVING
    driver.work(ERROR)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_a_silent_one_that_refuses_connections_is_ejected_by_probes():
    silent = Driver()
    for _ in range(3):
        silent.wait(2.1)
        silent.health.probed(ProbeResult.UNREACHABLE, silent.now_s)
    assert silent.health.phase is HealthPhase.HELD_OUT


def test_the_weights_are_log_likelihood_ratios_for_any_settings():
    rates = Rates(0.02, 0.3)
    assert bad_weight(rates) == pytest.approx(math.log(15))
    for healthy in (0.0, 0.5, 1.0):
        for sick in (0.0, 0.3, 1.0):
            tested = against_peers(Rates(healthy + 0.01, sick), 0.9)
            assert good_weight(tested) <= 0 <= bad_weight(tested)
