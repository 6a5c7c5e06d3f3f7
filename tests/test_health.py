"""The health of one backend server, with simulated requests and time."""

import math

import pytest

from balsamspindle.backend_servers.evidence import ProbeResult, WorkResult
from balsamspindle.backend_servers.health_readmission import HealthPhase
from balsamspindle.backend_servers.health_score import (
    Rates,
    adjust_for_peers,
    bad_request_score,
    good_request_score,
)
from balsamspindle.backend_servers.health_verdicts import Verdict
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.settings.documents import Detection, RetryBudget
from balsamspindle.wire import AttemptId, PeerEvidence
from tests.health_driver import ANSWERED, ERROR, HEALTHY_PEERS, HealthDriver


@pytest.mark.parametrize(
    ("work", "requests_max"),
    [
        ({"result": ERROR}, 3),
        ({"result": WorkResult.BROKEN}, 3),
        ({"result": WorkResult.UNREACHABLE}, 3),
        ({"latency_ms": 150.0}, 3),
    ],
)
def test_a_failing_or_slow_backend_server_is_ejected_after_a_few_requests(
    work, requests_max
):
    driver = HealthDriver()
    driver.run_requests(times=150)
    assert driver.health.suspicion() == 0
    assert driver.requests_until(HealthPhase.HELD_OUT, **work) <= requests_max
    assert driver.health.suspicion() >= 1


def test_two_requests_that_still_hang_eject_but_one_does_not():
    """A hang must be detected although no attempt ends.

    A single hanging request may be an outlier. Two are evidence of sickness.
    """
    driver = HealthDriver()
    driver.run_requests(times=150)
    driver.start_request()
    driver.advance(30)
    assert driver.health.phase is HealthPhase.SERVING
    driver.start_request()
    driver.advance(1)
    assert driver.health.phase is HealthPhase.HELD_OUT


@pytest.mark.parametrize("known", [15, 40, 99])
def test_hangs_are_detected_while_few_latencies_are_known(known):
    """Callers time out after 0.8 s; requests take 20 ms, and some hang.

    Guards against hangs that are missed while few latencies are known: with a fixed
    slow limit of 2 s for the first 100 requests, a silence of 0.8 s is not evidence.
    """
    driver = HealthDriver(peers=PeerEvidence())
    driver.run_requests(times=known)
    hangs = {"result": WorkResult.SILENCE, "latency_ms": 800.0}
    assert driver.requests_until(HealthPhase.HELD_OUT, **hangs) <= 3


@pytest.mark.parametrize("known", [15, 40])
def test_attempts_at_the_own_node_last_until_they_count_as_slow(known):
    """An ingress must wait for its own node's backend server until that is slow.

    Guards against a gate that reports no percentile for its first 100 requests: the
    ingress then ends the attempt after 40 ms, too soon for it to count as slow.
    """
    driver = HealthDriver(peers=PeerEvidence())
    policy = RetryPolicy(lambda service: RetryBudget())
    for _ in range(known):
        driver.run_requests()
        policy.record_answer("service", 0.02, driver.health.own_p99_ms)
    patience_ms = 1000 * policy.hedge_delay_s("service", True, 2.0, driver.now_s)
    assert patience_ms < 2000
    hangs = {"result": WorkResult.SILENCE, "latency_ms": patience_ms}
    assert driver.requests_until(HealthPhase.HELD_OUT, **hangs) <= 3


@pytest.mark.parametrize(("known", "latency_ms"), [(1, 1900), (5, 700), (50, 75)])
def test_the_slow_limit_is_wider_while_few_latencies_are_known(known, latency_ms):
    driver = HealthDriver(peers=PeerEvidence())
    driver.run_requests(times=known)
    assert driver.run_requests(latency_ms=latency_ms) is Verdict.GOOD


def test_a_standstill_ejects_even_with_a_high_threshold():
    """Two requests hang, and no request succeeds for longer than a pause may last."""
    high_threshold = HealthDriver(Detection(threshold=14.0))
    high_threshold.run_requests(times=150)
    high_threshold.start_request()
    high_threshold.start_request()
    high_threshold.advance(0.4)
    assert high_threshold.health.phase is HealthPhase.SERVING
    high_threshold.advance(0.2)
    assert high_threshold.health.phase is HealthPhase.HELD_OUT
    working = HealthDriver(Detection(threshold=14.0))
    working.run_requests(times=150)
    working.start_request()
    working.start_request()
    working.run_requests(times=3)
    assert working.health.phase is HealthPhase.SERVING


@pytest.mark.parametrize("result", [WorkResult.SHED, WorkResult.CANCELLED])
def test_shed_and_cancelled_work_never_ejects(result):
    driver = HealthDriver()
    assert driver.run_requests(result, times=50) is Verdict.NOTHING
    assert driver.health.phase is HealthPhase.SERVING


def test_callers_with_tiny_timeouts_eject_no_backend_server():
    """Callers time out after 5 ms. A silence of 5 ms is not evidence of sickness."""
    driver = HealthDriver()
    driver.run_requests(times=150)
    assert (
        driver.run_requests(WorkResult.SILENCE, latency_ms=5, times=50)
        is Verdict.NOTHING
    )
    assert driver.health.phase is HealthPhase.SERVING
    driver.run_requests(WorkResult.SILENCE, latency_ms=500, times=3)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_slowness_shared_with_most_peers_never_ejects():
    """In an overload all servers are slow. Each ejection adds load to the others."""
    overloaded = HealthDriver(
        peers=PeerEvidence(judged_count=5, bad_count=4, median_p99_ms=40.0)
    )
    overloaded.run_requests(latency_ms=150.0, times=100)
    assert overloaded.health.phase is HealthPhase.SERVING
    one_peer_bad = HealthDriver(
        peers=PeerEvidence(judged_count=5, bad_count=1, median_p99_ms=40.0)
    )
    assert one_peer_bad.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0) <= 10


def test_an_ejection_by_an_overload_is_undone_when_the_peers_turn_slow():
    """An overload ejects a backend server before its peers are known to be slow."""
    driver = HealthDriver()
    driver.run_requests(times=150)
    driver.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0)
    driver.peers = PeerEvidence(judged_count=5, bad_count=5, median_p99_ms=40.0)
    driver.run_requests(latency_ms=150.0, times=8)
    assert driver.health.phase is HealthPhase.SERVING
    driver.peers = HEALTHY_PEERS
    driver.run_requests(times=5)
    assert driver.health.phase is HealthPhase.SERVING


def test_slow_peers_do_not_end_the_hold_out_of_a_failing_backend_server():
    """One of five backend servers fails; then some of its peers are slow for a moment.

    Guards against a hold-out that ends within a second because the peers' slowness
    lowers the score, although the failing server's errors have another cause.
    """
    driver = HealthDriver(Detection(threshold=7.0, hold_out_s=60.0))
    driver.run_requests(times=30)
    driver.requests_until(HealthPhase.HELD_OUT, result=ERROR)
    a_pause = PeerEvidence(judged_count=5, bad_count=2, median_p99_ms=40.0)
    for _ in range(30):
        driver.health.record_peer_evidence(a_pause, driver.now_s)
        driver.advance(0.05)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_no_hold_out_time_is_reported_where_suspicions_are_published():
    """A gate that publishes suspicions reports no length of a hold-out.

    Guards against ingresses that avoid a backend server for the whole reported time,
    although it has restarted and serves well again.
    """
    driver = HealthDriver(Detection(threshold=7.0, hold_out_s=60.0))
    driver.requests_until(HealthPhase.HELD_OUT, result=ERROR)
    assert driver.health.held_out_ms(driver.now_s) == 0


def test_a_backend_server_that_was_always_slow_is_compared_with_its_peers():
    driver = HealthDriver(
        peers=PeerEvidence(judged_count=5, bad_count=0, median_p99_ms=10.0)
    )
    assert driver.requests_until(HealthPhase.HELD_OUT, latency_ms=150.0) <= 4


def test_without_peers_slowness_is_judged_by_own_latencies():
    driver = HealthDriver(peers=PeerEvidence())
    driver.run_requests(times=150)
    assert driver.requests_until(HealthPhase.HELD_OUT, latency_ms=300.0) <= 4
    # The floor may keep a slow backend server in use. Guards against a slow limit that
    # rises with the latencies of the slow backend server.
    driver.run_requests(latency_ms=300.0, times=200)
    assert driver.health.slow_ms() < 150


def test_trials_readmit_only_a_backend_server_that_recovered():
    driver = HealthDriver()
    driver.run_requests(ERROR, times=4)
    driver.advance(5.1)
    assert driver.health.suspicion() == 0.5
    driver.run_requests(ERROR)
    assert driver.health.phase is HealthPhase.HELD_OUT
    driver.advance(5.1)
    assert driver.health.phase is HealthPhase.HELD_OUT, "the hold-out has doubled"
    driver.advance(5.0)
    assert driver.requests_until(HealthPhase.SERVING) == 5


def test_attempts_that_hang_since_before_a_trial_do_not_fail_it():
    driver = HealthDriver()
    hanging = [driver.start_request() for _ in range(3)]
    driver.advance(6.5)
    assert driver.health.phase is HealthPhase.ON_TRIAL
    for attempt_id in hanging:
        driver.health.record_end(attempt_id, WorkResult.SILENCE, driver.now_s)
    assert driver.health.phase is HealthPhase.ON_TRIAL


def hold_out_by_standstill(driver: HealthDriver) -> list[AttemptId]:
    """Let two requests hang until the backend server is held out; return their ids."""
    hanging = [driver.start_request() for _ in range(2)]
    driver.advance(0.6)
    assert driver.health.phase is HealthPhase.HELD_OUT
    assert "standstill" in driver.health.report(driver.now_s).evidence
    return hanging


def test_an_ejection_by_a_standstill_is_undone_when_peers_are_as_slow():
    # Guards against a backend server that stays suspected although all of its peers
    # have become as slow.
    driver = HealthDriver()
    for attempt_id in hold_out_by_standstill(driver):
        driver.health.record_end(attempt_id, ANSWERED, driver.now_s)
    driver.advance(5.5)
    assert driver.health.phase is HealthPhase.ON_TRIAL
    driver.peers = PeerEvidence(judged_count=5, bad_count=0, median_p99_ms=600.0)
    driver.run_requests(latency_ms=600.0)
    assert driver.health.phase is HealthPhase.SERVING


def test_a_backend_server_that_still_hangs_stays_ejected_when_peers_are_slow():
    # The peers of a backend server that hangs have become slow. Guards against
    # readmitting the backend server for this reason although its requests still hang.
    driver = HealthDriver()
    hold_out_by_standstill(driver)
    driver.advance(5.5)
    driver.peers = PeerEvidence(judged_count=5, bad_count=0, median_p99_ms=600.0)
    driver.run_requests(latency_ms=600.0)
    assert driver.health.phase is not HealthPhase.SERVING


def test_a_flapping_backend_server_costs_few_failures_an_hour():
    """The backend server answers in trials and fails as soon as it serves again.

    Every trial succeeds, so only longer hold-outs bound the number of failures.
    """
    failures = 0
    driver = HealthDriver()
    while driver.now_s < 3600:
        match driver.health.phase:
            case HealthPhase.SERVING:
                driver.run_requests(ERROR)
                failures += 1
            case HealthPhase.ON_TRIAL:
                driver.run_requests()
            case HealthPhase.HELD_OUT:
                driver.advance(1)
    assert failures <= 60
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_probes_shorten_a_hold_out_but_do_not_offset_failing_work():
    driver = HealthDriver()
    for _ in range(20):
        driver.run_requests(ERROR)
        driver.health.record_probe_result(ProbeResult.PASSED, driver.now_s)
    assert driver.health.phase is HealthPhase.HELD_OUT
    driver.advance(3.0)
    for _ in range(3):
        driver.health.record_probe_result(ProbeResult.PASSED, driver.now_s)
    assert driver.health.phase is HealthPhase.ON_TRIAL


def test_a_failing_health_endpoint_alone_never_ejects():
    """The probe path in the settings is wrong, but all requests are answered.

    Requests are some seconds apart, and the probes between them all fail.
    """
    driver = HealthDriver()
    for _ in range(50):
        driver.run_requests()
        for _ in range(5):
            driver.advance(1.0)
            driver.health.record_probe_result(ProbeResult.FAILED, driver.now_s)
        assert driver.health.phase is HealthPhase.SERVING
    driver.run_requests(ERROR)
    assert driver.health.phase is HealthPhase.HELD_OUT


def test_an_idle_backend_server_that_refuses_connections_is_ejected_by_probes():
    silent = HealthDriver()
    for _ in range(3):
        silent.advance(2.1)
        silent.health.record_probe_result(ProbeResult.UNREACHABLE, silent.now_s)
    assert silent.health.phase is HealthPhase.HELD_OUT


def test_request_scores_are_log_likelihood_ratios_for_any_settings():
    rates = Rates(0.02, 0.3)
    assert bad_request_score(rates) == pytest.approx(math.log(15))
    for healthy in (0.0, 0.5, 1.0):
        for sick in (0.0, 0.3, 1.0):
            tested = adjust_for_peers(Rates(healthy + 0.01, sick), 0.9)
            assert good_request_score(tested) <= 0 <= bad_request_score(tested)
