"""Who is refused at once when a service has more demand than room.

The loads are drawn with seeds; there is no network.
"""

import random
from collections import Counter

from testtools import TestCase

from balsamspindle.requests.admission_levels import RankedRequest, draw_of
from balsamspindle.requests.room_news import NEWS_VALID_S, CustomerUse, RoomNews
from balsamspindle.wire import GateLoad

SERVICE = "crew/contracts"
GATES = 10
FULL = GateLoad(0, 8, 4000.0, weight_min=1.0)
FREE = GateLoad(2, 0, 0.0)
LIGHT, HEAVY = 1.0, 2.0
WAIT_MAX_MS = 500.0
# Requests of a seeded load, sent within one second.
REQUESTS = 2000


def tell(news, full, now_s):
    """Tell the loads of all gates, of which `full` have no room."""
    for number in range(GATES):
        load = FULL if number < full else FREE
        news.record(SERVICE, f"server-{number}", load, False, now_s)


def decide(news, name, now_s=0.0, weight=LIGHT, customer="", wait_max_ms=WAIT_MAX_MS):
    request = RankedRequest(weight, wait_max_ms, draw_of(name))
    return news.decide(SERVICE, customer, request, now_s)


class AdmissionLevelTests(TestCase):
    def setUp(self):
        super().setUp()
        self.news = RoomNews()

    def test_nearly_all_are_refused_where_no_gate_has_room_but_some_probe(self):
        # Guards against requests that knock at gate after gate, and against a level
        # that stays up because nobody learns that room has returned.
        tell(self.news, GATES, 0.0)
        refused = sum(
            decide(self.news, f"r{number}").is_refused for number in range(REQUESTS)
        )
        self.assertGreater(refused, 0.8 * REQUESTS)
        self.assertLess(refused, 0.95 * REQUESTS)

    def test_nothing_is_refused_where_the_search_finds_room(self):
        tell(self.news, GATES // 2, 0.0)
        refused = [decide(self.news, f"r{number}").is_refused for number in range(200)]
        self.assertNotIn(True, refused)

    def test_the_level_grows_as_fewer_gates_have_room(self):
        levels = []
        for full in range(GATES + 1):
            tell(self.news, full, float(full * 2))
            levels.append(decide(self.news, "r", float(full * 2)).level)
        self.assertEqual(sorted(levels), levels)
        self.assertEqual(0.0, levels[0])

    def test_the_level_ends_within_a_second_of_room(self):
        # Guards against room that stays unused after an overload.
        tell(self.news, GATES, 0.0)
        self.assertTrue(decide(self.news, "r1", 0.0).level)
        tell(self.news, 0, 0.5)
        self.assertEqual(0.0, decide(self.news, "r1", 0.5).level)

    def test_without_news_nothing_is_refused(self):
        # Guards against a node that was cut off and refuses by what it heard before.
        self.assertFalse(decide(self.news, "r1").is_refused)
        tell(self.news, GATES, 0.0)
        later_s = NEWS_VALID_S + 0.1
        refused = [
            decide(self.news, f"r{number}", later_s).is_refused for number in range(200)
        ]
        self.assertNotIn(True, refused)

    def test_sick_backend_servers_are_no_room(self):
        # Guards against requests that are sent since sick backend servers, which fail
        # all requests at once, have free slots.
        tell(self.news, GATES, 0.0)
        for number in range(GATES // 2):
            self.news.record(SERVICE, f"server-{number}", FREE, True, 0.0)
        self.assertGreater(decide(self.news, "r").level, 0.5)

    def test_all_nodes_refuse_the_same_requests(self):
        # Guards against callers that get in by asking another node.
        others = [RoomNews() for _ in range(3)]
        for news in (self.news, *others):
            tell(news, GATES - 1, 0.0)
        for number in range(200):
            verdicts = {
                decide(news, f"r{number}").is_refused for news in (self.news, *others)
            }
            self.assertEqual(1, len(verdicts))

    def test_the_more_urgent_kind_is_refused_less_and_none_starves(self):
        # The load: nine gates of ten serve only the urgent kind; both kinds press.
        for seed in range(5):
            rng, news, admitted = random.Random(seed), RoomNews(), Counter()
            sent = Counter()
            for number in range(REQUESTS):
                now_s = number / REQUESTS
                tell(news, GATES - 1, now_s)
                weight = rng.choice((LIGHT, HEAVY))
                sent[weight] += 1
                name = f"{seed}/{number}"
                admitted[weight] += not decide(news, name, now_s, weight).is_refused
            shares = {weight: admitted[weight] / sent[weight] for weight in sent}
            mean = sum(admitted.values()) / REQUESTS
            self.assertGreaterEqual(shares[HEAVY], shares[LIGHT])
            self.assertGreater(shares[LIGHT], 0.2 * mean)

    def test_an_urgent_kind_with_little_time_is_not_refused_more_often(self):
        # Guards against a short urgent call that finds no room in its time, while long
        # light requests can wait and are all sent.
        tell(self.news, GATES, 0.0)
        light = decide(self.news, "a", weight=LIGHT, wait_max_ms=10_000.0)
        heavy = decide(self.news, "a", weight=HEAVY, wait_max_ms=10.0)
        self.assertLessEqual(heavy.level, light.level)

    def test_a_customer_with_seven_times_its_usual_pays_first(self):
        # The load: twenty customers; after a minute one sends seven times its usual,
        # and the service has room for half of the requests.
        rng, now_s = random.Random(1), 0.0
        sent, refused = Counter(), Counter()
        names = [f"c{number}" for number in range(20)]
        while now_s < 90.0:
            is_hot = now_s > 60.0
            now_s += rng.expovariate(26.0 if is_hot else 20.0)
            weights = [7.0 if is_hot and name == "c0" else 1.0 for name in names]
            (customer,) = rng.choices(names, weights)
            tell(self.news, GATES - 2 if is_hot else 0, now_s)
            name = str(rng.random())
            decision = decide(self.news, name, now_s, customer=customer)
            if is_hot:
                sent[customer] += 1
                refused[customer] += decision.is_refused
        others = sum(refused.values()) - refused["c0"]
        others_share = others / (sum(sent.values()) - sent["c0"])
        self.assertGreater(refused["c0"] / sent["c0"], others_share + 0.2)

    def test_a_new_node_takes_no_customer_for_hot(self):
        use = CustomerUse()
        excesses = [use.record("c", number * 0.1) for number in range(100)]
        self.assertEqual({0.0}, set(excesses))

    def test_a_refusal_states_when_there_will_be_room(self):
        tell(self.news, GATES, 0.0)
        waits_ms = [
            decision.retry_after_ms
            for number in range(200)
            if (decision := decide(self.news, f"r{number}")).is_refused
        ]
        self.assertGreaterEqual(min(waits_ms), FULL.wait_ms)
        self.assertLessEqual(max(waits_ms), 2 * FULL.wait_ms)
