"""Tests that only requests that cause crashes are quarantined, and how soon."""

import random

from balsamspindle.crashes.history import CRASH_EXPIRY_S, CrashHistory
from balsamspindle.crashes.live_servers import count_live_servers
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate, start_id
from balsamspindle.crashes.verdicts import (
    SIMILAR_TIMES_PROBABILITY_MIN,
    AttributedCrash,
    CauseEvidence,
    coincidence_probability,
    is_cause,
)
from balsamspindle.membership.directory import Placement
from balsamspindle.wire import BackendServerRecord, NodeRecord

SERVICE = "crew/vacancies"
SERVERS = 6
CAUSE = 1
SHORT_S, LONG_S = 0.09, 1.5
# Crashes within four seconds: the time of each in seconds, and the run time in seconds
# of each request that ran there. Requests 10 and 11 crash their backend servers.
# Request 2 takes a second.
CRASHES_WITH_THREE_CAUSES = [
    (0.00, {3: 0.099, 10: 0.110}),
    (0.12, {4: 0.042, 11: 0.084, 10: 0.110}),
    (0.21, {12: 0.018, 11: 0.088, 5: 0.143}),
    (0.23, {5: 0.005, 6: 0.024, 10: 0.111, 7: 0.306}),
    (0.31, {6: 0.057, 7: 0.058, 11: 0.085, 12: 0.085}),
    (1.52, {2: 0.125}),
    (1.98, {10: 0.110, 2: 0.463}),
    (2.76, {11: 0.085}),
    (2.85, {2: 0.607, 6: 1.136}),
    (3.26, {}),
    (3.35, {2: 0.006, 8: 0.141, 4: 0.230}),
]


class CrashScenario:
    """A `CrashHistory` that receives crashes one by one, on a simulated clock."""

    def __init__(self, servers: int = SERVERS) -> None:
        self.quarantined: list[int] = []
        self.history = CrashHistory(lambda service: servers, self._quarantine)
        self.now_s = 1_000.0
        self._starts = 0

    def _quarantine(self, quarantine, ended, evidence) -> None:
        self.quarantined.append(quarantine.content_hash)

    def crash(self, runs: dict[int, float], after_s: float = 0.5) -> None:
        self.now_s += after_s
        self._starts += 1
        crashed = tuple(CrashedRun(one, round(ran * 1000)) for one, ran in runs.items())
        crash = Crash(f"server-{self._starts}", 1, SERVICE, 0, crashed)
        self.history.merge(CrashUpdate([crash]), self.now_s)

    def answer(self, content_hash: int) -> None:
        self.history.record_answer(content_hash, self.now_s)

    def is_blocked(self, content_hash: int) -> bool:
        return self.history.status_of(content_hash, self.now_s).blocked_ms > 0


def test_the_third_crash_quarantines_a_request_that_ran_alone():
    scenario = CrashScenario()
    for _ in range(2):
        scenario.crash({CAUSE: SHORT_S})
    assert not scenario.is_blocked(CAUSE)
    scenario.crash({CAUSE: SHORT_S})
    assert scenario.is_blocked(CAUSE)


def test_requests_that_ran_beside_the_cause_are_not_quarantined():
    """Guards against the refusal of a lookup that causes no crash.

    The lookup and its retries run beside the request that crashes backend servers. So
    the lookup is lost in several crashes too, but the cause is lost in more.
    """
    scenario = CrashScenario()
    scenario.crash({CAUSE: SHORT_S})
    for _ in range(4):
        scenario.crash({CAUSE: SHORT_S, 2: 0.4, 3: 0.7})
    assert scenario.quarantined == [CAUSE]
    assert not scenario.is_blocked(2)


def test_two_requests_that_share_all_their_crashes_are_not_quarantined():
    """Either of them may be the cause until one of them runs without the other."""
    scenario = CrashScenario()
    for _ in range(4):
        scenario.crash({CAUSE: SHORT_S, 2: SHORT_S})
    assert scenario.quarantined == []
    scenario.answer(2)
    scenario.crash({CAUSE: SHORT_S})
    assert scenario.quarantined == [CAUSE]


def test_an_answer_before_the_report_of_a_crash_clears_the_request():
    # Guards against the suspicion of a request answered between a crash and its report.
    scenario = CrashScenario()
    for number in range(4):
        scenario.answer(2)
        scenario.now_s += 0.3
        update = CrashUpdate(
            [Crash(f"s-{number}", 1, SERVICE, 500, (CrashedRun(2, 90),))]
        )
        shared = scenario.history.merge(update, scenario.now_s)
        assert [one.runs for one in shared.crashes] == [()]
        scenario.now_s += 2.0
    assert not scenario.is_blocked(2)
    assert not scenario.history.status_of(2, scenario.now_s).is_suspect


def test_an_answer_long_before_a_crash_does_not_clear_the_request():
    # Guards against a cause that is not quarantined because it was answered earlier.
    scenario = CrashScenario()
    scenario.answer(CAUSE)
    scenario.now_s += 2.0
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S})
    assert scenario.is_blocked(CAUSE)


def test_an_answer_clears_a_request():
    scenario = CrashScenario()
    for _ in range(2):
        scenario.crash({2: LONG_S})
    scenario.answer(2)
    for _ in range(2):
        scenario.crash({2: LONG_S})
    assert not scenario.is_blocked(2)


def test_a_wave_of_crashes_quarantines_no_long_request():
    """Guards against the refusal of long lookups while backend servers flap.

    The backend servers crash for other reasons. A request that takes seconds is lost in
    four crashes, alone on its backend server. Before each of these, five other backend
    servers crash.
    """
    scenario = CrashScenario()
    for number in range(4):
        for other in range(5):
            scenario.crash({100 + 10 * number + other: LONG_S}, after_s=0.4)
        scenario.crash({2: LONG_S}, after_s=0.4)
    assert scenario.quarantined == []


def test_the_cause_is_quarantined_in_a_wave_of_crashes():
    """A cause is quarantined after at most five runs, whatever else crashes."""
    scenario, rng, runs = CrashScenario(), random.Random(7), 0
    while not scenario.is_blocked(CAUSE):
        for _ in range(rng.randrange(3)):
            scenario.crash({rng.randrange(10**6): LONG_S}, after_s=0.3)
        scenario.crash({CAUSE: SHORT_S, rng.randrange(10**6): 0.5}, after_s=0.3)
        runs += 1
    assert runs <= 5
    assert scenario.quarantined == [CAUSE]


def test_two_causes_at_once_are_both_quarantined():
    scenario = CrashScenario()
    for number in range(5):
        scenario.crash({CAUSE: SHORT_S, 10 + number: 0.4})
        scenario.crash({2: SHORT_S, 20 + number: 0.4})
    assert sorted(scenario.quarantined) == [CAUSE, 2]


def test_requests_in_waves_of_crashes_are_hardly_ever_refused():
    """Guards against the refusal of requests while backend servers crash at random.

    Requests take about a second on six backend servers, one of which crashes each
    second. A lost request is retried up to twice, and so is each repeat by its caller.
    One request in ten thousand may be refused wrongly. A rule that only counts three
    crashes would refuse dozens.
    """
    rng, scenario, tried, lost_three_times = random.Random(26), CrashScenario(), 0, 0
    for content_hash in range(1, 3_000):
        losses = 0
        while rng.random() < 0.17 and losses < 4:
            others = {10**6 + rng.randrange(10**6): rng.random() for _ in range(3)}
            scenario.crash(
                {content_hash: rng.uniform(0.05, 2.0), **others}, after_s=1.0
            )
            losses += 1
        scenario.crash({10**7 + rng.randrange(10**6): rng.random()}, after_s=1.0)
        tried += 1
        lost_three_times += losses >= 3
    assert lost_three_times > 5
    assert len(scenario.quarantined) <= tried / 10_000


def test_old_crashes_expire():
    scenario = CrashScenario()
    for _ in range(5):
        scenario.crash({CAUSE: SHORT_S}, after_s=CRASH_EXPIRY_S / 2 + 1)
    assert not scenario.is_blocked(CAUSE)
    assert len(scenario.history.export(scenario.now_s).crashes) == 2


def test_updates_in_any_order_give_the_same_state():
    scenario = CrashScenario()
    for number in range(6):
        scenario.crash({CAUSE: SHORT_S, 10 + number: 0.3}, after_s=0.1)
    scenario.answer(12)
    update = scenario.history.export(scenario.now_s)
    rng = random.Random(1)
    for _ in range(5):
        other = CrashHistory(lambda service: SERVERS)
        for part in rng.sample(update.crashes, len(update.crashes)):
            other.merge(CrashUpdate([part]), scenario.now_s)
            other.merge(CrashUpdate([part]), scenario.now_s)
        other.merge(CrashUpdate([], update.quarantines), scenario.now_s)
        assert other.digest() == scenario.history.digest()
        assert other.status_of(CAUSE, scenario.now_s).blocked_ms


def test_a_retracted_crash_clears_the_requests_that_ran_there():
    scenario = CrashScenario()
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S})
        scenario.history.retract((f"server-{scenario._starts}", 1), scenario.now_s)
    assert not scenario.is_blocked(CAUSE)


def test_the_loss_of_backend_servers_at_one_moment_quarantines_no_request():
    """Guards against the quarantine of a lookup after the loss of a rack.

    Its caller had repeated the lookup, so copies that began at different times ran at
    all lost backend servers. All of these servers ended for one reason, so their ends
    count as one crash.
    """
    scenario = CrashScenario()
    for ran_s in (0.2, 0.9, 2.4):
        scenario.crash({2: ran_s}, after_s=0.002)
    for ran_s in (0.3, 1.1):
        scenario.crash({2: ran_s}, after_s=0.002)
    assert scenario.quarantined == []


def test_copies_of_the_cause_that_crash_at_one_moment_quarantine_it():
    """The copies were started together and crash together, after the same run time."""
    scenario = CrashScenario()
    for ran_s in (0.088, 0.091, 0.09):
        scenario.crash({CAUSE: ran_s}, after_s=0.002)
    assert scenario.quarantined == [CAUSE]


def test_the_cause_is_quarantined_when_the_request_beside_it_is_answered():
    """Guards against a fourth crash when a popular lookup always runs beside the cause.

    After the third crash both are equally likely causes. The next answer to the lookup
    shows that the other request is the cause.
    """
    scenario = CrashScenario()
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S, 2: 0.3})
    assert scenario.quarantined == []
    scenario.answer(2)
    assert scenario.quarantined == [CAUSE]


def test_the_cause_is_quarantined_when_another_node_shares_that_answer():
    scenario, other = CrashScenario(), CrashScenario()
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S, 2: 0.3})
    other.history.merge(scenario.history.export(scenario.now_s), scenario.now_s)
    shared = scenario.history.record_answer(2, scenario.now_s)
    other.history.merge(CrashUpdate(shared.crashes), scenario.now_s)
    assert other.quarantined == [CAUSE]


def test_a_popular_request_is_not_quarantined_in_a_wave_of_crashes():
    """Guards against the quarantine of a popular lookup in a wave of crashes.

    Many callers send the lookup, so it runs at nearly all backend servers. Seven of
    them crash for another reason within two seconds. Each run takes two seconds, so
    none ends before its crash, and no crash without the lookup shows the wave.
    """
    scenario = CrashScenario()
    ran_s = (0.3, 1.4, 0.8, 1.9, 0.6, 1.1, 1.6)
    for number, one in enumerate(ran_s):
        scenario.crash({2: one, 100 + number: 0.5}, after_s=0.28)
    assert scenario.quarantined == []


def test_a_cause_crashes_no_more_than_six_backend_servers_in_any_wave():
    """Guards against a cause that is not quarantined in a wave of other crashes.

    A cause may crash three backend servers, and three more during a wave. Here each
    backend server crashes every second for other reasons. A backend server that
    has just started takes longer than others until it crashes from the cause.
    """
    rng = random.Random(3)
    for crashes_after_s in (0.02, 0.1, 0.4, 1.5):
        scenario, crashes = CrashScenario(), 0
        while not scenario.is_blocked(CAUSE):
            for _ in range(SERVERS):
                scenario.crash({rng.randrange(10**9): LONG_S}, after_s=0.17)
            scenario.crash(
                {CAUSE: crashes_after_s * rng.uniform(1.0, 2.0)}, after_s=0.02
            )
            crashes += 1
        assert crashes <= 6, crashes_after_s


def test_a_long_request_is_not_quarantined_when_all_backend_servers_crash():
    """Guards against the refusal of a long request for minutes after a wave of crashes.

    Each backend server crashes every two seconds; requests of two seconds rarely end.
    """
    scenario = CrashScenario()
    for number, ran_s in enumerate((0.2, 1.7, 0.9, 0.4, 1.9, 1.2, 0.1, 1.5)):
        for other in range(6):
            scenario.crash({100 + 10 * number + other: 0.7}, after_s=0.33)
        scenario.crash({2: ran_s}, after_s=0.02)
    assert scenario.quarantined == []


def test_a_lookup_that_follows_a_regular_wave_is_not_quarantined():
    # Guards against the quarantine of a request whose retries follow a wave of crashes
    # from one backend server to the next.
    scenario = CrashScenario()
    for _ in range(4):
        scenario.crash({2: 0.24}, after_s=0.25)
    assert scenario.quarantined == []


def test_a_lookup_lost_four_times_in_two_seconds_is_not_quarantined():
    # Guards against the quarantine of request 2, which is lost four times in two
    # seconds. It would be quarantined if a short wave of crashes did not raise the
    # crash rate enough.
    scenario, last_s = CrashScenario(2 * SERVERS), 0.0
    for at_s, runs in CRASHES_WITH_THREE_CAUSES:
        scenario.crash(runs, after_s=at_s - last_s)
        last_s = at_s
    assert 2 not in scenario.quarantined


def test_a_cause_that_was_also_lost_in_another_crash_is_quarantined():
    # Guards against a cause that is not quarantined because it was also lost in a crash
    # with another cause.
    scenario = CrashScenario()
    for number, ran_s in enumerate((0.199, 0.346, 0.347, 0.347)):
        for other in range(2):
            scenario.crash({100 + 10 * number + other: 0.7}, after_s=0.5)
        scenario.crash({CAUSE: ran_s}, after_s=0.5)
    assert scenario.quarantined == [CAUSE]


def test_fewer_crashes_than_expected_are_no_evidence():
    # Guards against the quarantine of a long request that is lost less often than
    # expected from the crash rate of its service.
    crashes = [AttributedCrash(at_s, 10.0) for at_s in (0.0, 1.0, 2.0)]
    evidence = CauseEvidence(crashes, service_crash_count=60, server_count=SERVERS)
    assert coincidence_probability(evidence) >= SIMILAR_TIMES_PROBABILITY_MIN
    assert not is_cause(evidence)


def test_backend_servers_that_have_ended_are_not_counted():
    # Guards against a crash rate per backend server that falls as more backend servers
    # crash, because those that have ended are still counted.
    nodes = [NodeRecord(f"n{one}", 1, 1, "r", "z", "-", "-", "alive") for one in "ab"]
    ended = {("a-1", start_id("1")), ("a-2", start_id("2")), ("b-1", start_id("1"))}
    placements = [
        Placement(node, BackendServerRecord(server_id, SERVICE, boot_id, 4, "ready"))
        for node, server_id, boot_id in (
            (nodes[0], "a-1", "1"),
            (nodes[0], "a-2", "2"),
            (nodes[0], "a-3", "3"),
            (nodes[1], "b-1", "1"),
        )
    ]
    assert count_live_servers(placements, lambda *key: key in ended) == 2
