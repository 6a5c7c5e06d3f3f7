"""Which request is quarantined: the cause of crashes, and nobody beside it."""

import random

from balsamspindle.crashes.book import BLOCKED_S, CRASH_KEPT_S, CrashBook
from balsamspindle.crashes.live_servers import count_live_servers
from balsamspindle.crashes.records import Crash, CrashedRun, CrashNews, start_id
from balsamspindle.crashes.verdicts import (
    SAME_TIME_CHANCE_MIN,
    Case,
    Hit,
    chance,
    is_cause,
)
from balsamspindle.membership.directory import Placement
from balsamspindle.wire import BackendServerRecord, NodeRecord

SERVICE = "crew/vacancies"
SERVERS = 6
CAUSE = 1
SHORT_S, LONG_S = 0.09, 1.5
# Crashes within four seconds: when, and for how long each request had run. Requests 10
# and 11 crash what runs them; 2 works for a second.
SEEN_BESIDE_THREE_CAUSES = [
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


class Played:
    """A book, and crashes that it hears of one after the other."""

    def __init__(self, servers: int = SERVERS) -> None:
        self.quarantined: list[int] = []
        self.book = CrashBook(lambda service: servers, self._quarantine)
        self.now_s = 1_000.0
        self._starts = 0

    def _quarantine(self, quarantine, ended, case) -> None:
        self.quarantined.append(quarantine.content)

    def crash(self, runs: dict[int, float], after_s: float = 0.5) -> None:
        self.now_s += after_s
        self._starts += 1
        told = tuple(CrashedRun(one, round(ran * 1000)) for one, ran in runs.items())
        crash = Crash(f"server-{self._starts}", 1, SERVICE, 0, told)
        self.book.take(CrashNews([crash]), self.now_s)

    def answer(self, content: int) -> None:
        self.book.answered(content, self.now_s)

    def is_blocked(self, content: int) -> bool:
        return self.book.standing(content, self.now_s).blocked_ms > 0


def test_the_third_crash_quarantines_a_request_that_ran_alone():
    played = Played()
    for _ in range(2):
        played.crash({CAUSE: SHORT_S})
    assert not played.is_blocked(CAUSE)
    played.crash({CAUSE: SHORT_S})
    assert played.is_blocked(CAUSE)


def test_those_who_ran_beside_the_cause_are_not_quarantined():
    """A caller of a whole lookup is refused for another one's fault.

    It runs beside the request that crashes backend servers and is retried beside it
    again; it is in three crashes as well, and the cause has more.
    """
    played = Played()
    played.crash({CAUSE: SHORT_S})
    for _ in range(4):
        played.crash({CAUSE: SHORT_S, 2: 0.4, 3: 0.7})
    assert played.quarantined == [CAUSE]
    assert not played.is_blocked(2)


def test_two_that_share_all_their_crashes_are_both_let_through():
    """Which of them it is can't be told before one runs without the other."""
    played = Played()
    for _ in range(4):
        played.crash({CAUSE: SHORT_S, 2: SHORT_S})
    assert played.quarantined == []
    played.answer(2)
    played.crash({CAUSE: SHORT_S})
    assert played.quarantined == [CAUSE]


def test_an_answer_that_came_before_the_news_of_a_crash_clears_it():
    # Guards against crashes that nobody takes back from who was answered since.
    played = Played()
    for number in range(4):
        played.answer(2)
        played.now_s += 0.3
        news = CrashNews([Crash(f"s-{number}", 1, SERVICE, 500, (CrashedRun(2, 90),))])
        told = played.book.take(news, played.now_s)
        assert [one.runs for one in told.crashes] == [()]
        played.now_s += 2.0
    assert not played.is_blocked(2)
    assert not played.book.standing(2, played.now_s).is_suspect


def test_an_answer_long_before_a_crash_takes_nothing_back():
    # Guards against a cause that is sent on, for its path was once answered.
    played = Played()
    played.answer(CAUSE)
    played.now_s += 2.0
    for _ in range(3):
        played.crash({CAUSE: SHORT_S})
    assert played.is_blocked(CAUSE)


def test_an_answer_clears_a_request():
    played = Played()
    for _ in range(2):
        played.crash({2: LONG_S})
    played.answer(2)
    for _ in range(2):
        played.crash({2: LONG_S})
    assert not played.is_blocked(2)


def test_a_wave_of_crashes_quarantines_no_long_request():
    """Callers of long lookups are refused while a service's backend servers flap.

    Each of them crashes again and again for a reason of its own. A request of seconds
    meets one crash after the other, alone on its backend server; as many others crash
    meanwhile, which it has nothing to do with.
    """
    played = Played()
    for number in range(4):
        for other in range(5):
            played.crash({100 + 10 * number + other: LONG_S}, after_s=0.4)
        played.crash({2: LONG_S}, after_s=0.4)
    assert played.quarantined == []


def test_the_cause_is_found_in_a_wave_of_crashes():
    """The bound on its runs holds whatever else crashes meanwhile."""
    played, rng, runs = Played(), random.Random(7), 0
    while not played.is_blocked(CAUSE):
        for _ in range(rng.randrange(3)):
            played.crash({rng.randrange(10**6): LONG_S}, after_s=0.3)
        played.crash({CAUSE: SHORT_S, rng.randrange(10**6): 0.5}, after_s=0.3)
        runs += 1
    assert runs <= 5
    assert played.quarantined == [CAUSE]


def test_two_causes_at_once_are_both_quarantined():
    played = Played()
    for number in range(5):
        played.crash({CAUSE: SHORT_S, 10 + number: 0.4})
        played.crash({2: SHORT_S, 20 + number: 0.4})
    assert sorted(played.quarantined) == [CAUSE, 2]


def test_callers_in_waves_of_crashes_are_hardly_ever_refused():
    """Requests of a second on six backend servers, each of which crashes at random.

    Every second there is a crash, of whatever reason, for ten minutes; who is lost is
    retried up to twice, as are its caller's repeats. One in ten thousand may be refused
    wrongly; a count of three crashes alone would refuse dozens.
    """
    rng, played, tried, struck_three_times = random.Random(26), Played(), 0, 0
    for content in range(1, 3_000):
        hits = 0
        while rng.random() < 0.17 and hits < 4:
            company = {10**6 + rng.randrange(10**6): rng.random() for _ in range(3)}
            played.crash({content: rng.uniform(0.05, 2.0), **company}, after_s=1.0)
            hits += 1
        played.crash({10**7 + rng.randrange(10**6): rng.random()}, after_s=1.0)
        tried += 1
        struck_three_times += hits >= 3
    assert struck_three_times > 5
    assert len(played.quarantined) <= tried / 10_000


def test_it_is_tried_when_its_time_is_over_and_one_crash_quarantines_it_again():
    played = Played()
    for _ in range(3):
        played.crash({CAUSE: SHORT_S})
    played.now_s += BLOCKED_S - 1
    assert played.is_blocked(CAUSE)
    played.now_s += 2
    assert not played.is_blocked(CAUSE)
    played.crash({CAUSE: SHORT_S})
    played.now_s += BLOCKED_S + 1
    assert played.is_blocked(CAUSE)


def test_one_whose_fault_was_mended_is_served_again():
    played = Played()
    for _ in range(3):
        played.crash({CAUSE: SHORT_S})
    played.now_s += BLOCKED_S + 1
    played.answer(CAUSE)
    for _ in range(2):
        played.crash({CAUSE: SHORT_S}, after_s=BLOCKED_S / 10)
    assert not played.is_blocked(CAUSE)


def test_old_crashes_are_forgotten():
    played = Played()
    for _ in range(5):
        played.crash({CAUSE: SHORT_S}, after_s=CRASH_KEPT_S / 2 + 1)
    assert not played.is_blocked(CAUSE)
    assert len(played.book.all(played.now_s).crashes) == 2


def test_books_that_hear_the_same_in_any_order_agree():
    played = Played()
    for number in range(6):
        played.crash({CAUSE: SHORT_S, 10 + number: 0.3}, after_s=0.1)
    played.answer(12)
    news = played.book.all(played.now_s)
    rng = random.Random(1)
    for _ in range(5):
        other = CrashBook(lambda service: SERVERS)
        for part in rng.sample(news.crashes, len(news.crashes)):
            other.take(CrashNews([part]), played.now_s)
            other.take(CrashNews([part]), played.now_s)
        other.take(CrashNews([], news.quarantines), played.now_s)
        assert other.digest() == played.book.digest()
        assert other.standing(CAUSE, played.now_s).blocked_ms


def test_a_crash_that_was_none_clears_who_ran_there():
    played = Played()
    for _ in range(3):
        played.crash({CAUSE: SHORT_S})
        played.book.retract((f"server-{played._starts}", 1), played.now_s)
    assert not played.is_blocked(CAUSE)


def test_backend_servers_that_are_lost_together_quarantine_nobody():
    """A rack is lost, and with it three backend servers at one moment.

    A caller that repeats itself at once had copies of one lookup on all of them, begun
    at different times. One cause ended all three: it counts as one crash.
    """
    played = Played()
    for ran_s in (0.2, 0.9, 2.4):
        played.crash({2: ran_s}, after_s=0.002)
    for ran_s in (0.3, 1.1):
        played.crash({2: ran_s}, after_s=0.002)
    assert played.quarantined == []


def test_copies_of_the_cause_that_crash_at_one_moment_quarantine_it():
    """Begun together, they crash together: each ran for the same time."""
    played = Played()
    for ran_s in (0.088, 0.091, 0.09):
        played.crash({CAUSE: ran_s}, after_s=0.002)
    assert played.quarantined == [CAUSE]


def test_the_cause_is_quarantined_when_who_ran_beside_it_is_answered():
    """A lookup that everybody asks for runs wherever the cause does.

    After the third crash the two are tied. The lookup's next answer shows which of them
    it is: the cause must not have to crash a fourth backend server for that.
    """
    played = Played()
    for _ in range(3):
        played.crash({CAUSE: SHORT_S, 2: 0.3})
    assert played.quarantined == []
    played.answer(2)
    assert played.quarantined == [CAUSE]


def test_another_nodes_word_of_that_answer_quarantines_it_as_well():
    played, other = Played(), Played()
    for _ in range(3):
        played.crash({CAUSE: SHORT_S, 2: 0.3})
    other.book.take(played.book.all(played.now_s), played.now_s)
    told = played.book.answered(2, played.now_s)
    other.book.take(CrashNews(told.crashes), played.now_s)
    assert other.quarantined == [CAUSE]


def test_what_many_ask_for_is_not_taken_for_the_cause_of_a_wave():
    """A lookup that everybody asks for runs at nearly all backend servers.

    In two seconds seven of them crash, for another reason, before any of its runs of
    two seconds has ended. It was there each time, so that no crash is left by which the
    wave would show.
    """
    played = Played()
    ran_s = (0.3, 1.4, 0.8, 1.9, 0.6, 1.1, 1.6)
    for number, one in enumerate(ran_s):
        played.crash({2: one, 100 + number: 0.5}, after_s=0.28)
    assert played.quarantined == []


def test_whatever_else_crashes_the_cause_crashes_no_more_than_six():
    """Three crashes and three more are what the fleet may take.

    The backend servers of the service crash every second each, for other reasons, and
    new ones take longer until the request crashes them.
    """
    rng = random.Random(3)
    for crashes_after_s in (0.02, 0.1, 0.4, 1.5):
        played, crashes = Played(), 0
        while not played.is_blocked(CAUSE):
            for _ in range(SERVERS):
                played.crash({rng.randrange(10**9): LONG_S}, after_s=0.17)
            played.crash({CAUSE: crashes_after_s * rng.uniform(1.0, 2.0)}, after_s=0.02)
            crashes += 1
        assert crashes <= 6, crashes_after_s


def test_a_long_request_in_the_worst_of_waves_is_not_taken_for_the_cause():
    """Each backend server crashes every two seconds; work of two is hardly ever done.

    Callers see failures, and must not see a refusal for minutes after the wave.
    """
    played = Played()
    for number, ran_s in enumerate((0.2, 1.7, 0.9, 0.4, 1.9, 1.2, 0.1, 1.5)):
        for other in range(6):
            played.crash({100 + 10 * number + other: 0.7}, after_s=0.33)
        played.crash({2: ran_s}, after_s=0.02)
    assert played.quarantined == []


def test_a_lookup_that_follows_a_regular_wave_is_not_taken_for_the_cause():
    # Guards against a refusal of who is retried where a wave of crashes strikes next.
    played = Played()
    for _ in range(4):
        played.crash({2: 0.24}, after_s=0.25)
    assert played.quarantined == []


def test_a_lookup_lost_four_times_in_two_seconds_is_not_taken_for_the_cause():
    # Guards against a rate of crashes that counts a short wave as a calm time.
    played, last_s = Played(2 * SERVERS), 0.0
    for at_s, runs in SEEN_BESIDE_THREE_CAUSES:
        played.crash(runs, after_s=at_s - last_s)
        last_s = at_s
    assert 2 not in played.quarantined


def test_a_cause_that_was_also_there_at_another_crash_is_found():
    # Guards against a cause that goes on, for it was lost once with another one.
    played = Played()
    for number, ran_s in enumerate((0.199, 0.346, 0.347, 0.347)):
        for other in range(2):
            played.crash({100 + 10 * number + other: 0.7}, after_s=0.5)
        played.crash({CAUSE: ran_s}, after_s=0.5)
    assert played.quarantined == [CAUSE]


def test_fewer_crashes_than_expected_speak_against_nobody():
    # Guards against a long request refused for being lost less often than others.
    hits = [Hit(at_s, 10.0) for at_s in (0.0, 1.0, 2.0)]
    case = Case(hits, crashes=60, servers=SERVERS)
    assert chance(case) >= SAME_TIME_CHANCE_MIN
    assert not is_cause(case)


def test_starts_that_have_ended_are_no_backend_servers():
    # Guards against a rate of crashes that falls as more backend servers crash.
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
