"""From which peer a node pulls settings that it lacks, and when."""

import random

from testtools import TestCase

from balsamspindle.settings.pulls import (
    OFFERS_MAX,
    PULL_TIMEOUT_S,
    ZONE_PEER_WAIT_S,
    PullSchedule,
)
from balsamspindle.wire.settings_messages import SettingsNotice


class PullScheduleTests(TestCase):
    def setUp(self):
        super().setUp()
        self.others = []
        self.schedule = PullSchedule(random.Random(1), lambda: self.others)

    def offer(self, address, revision=8, now_s=0.0, is_own_zone=True, own=4):
        notice = SettingsNotice(address, revision)
        self.schedule.record_offer(notice, is_own_zone, own, now_s)

    def pull(self, now_s, own=4) -> str | None:
        self.schedule.pop_unanswered(now_s)
        notice = self.schedule.next_pull(own, now_s)
        return notice and notice.address

    def test_one_pull_is_open_until_one_is_not_answered(self):
        for address in ("a", "b", "c", "d"):
            self.offer(address)
        self.assertEqual("d", self.pull(0.0))
        self.assertIsNone(self.pull(PULL_TIMEOUT_S / 2))
        pulls = [self.pull(PULL_TIMEOUT_S) for _ in range(3)]
        self.assertEqual(["c", "b", None], pulls)

    def test_a_peer_of_another_zone_is_asked_only_after_a_wait(self):
        self.offer("far", revision=9, is_own_zone=False)
        self.assertIsNone(self.pull(0.0))
        self.assertEqual("far", self.pull(ZONE_PEER_WAIT_S))

    def test_a_peer_of_the_own_zone_goes_first(self):
        self.offer("far", revision=9, is_own_zone=False)
        self.offer("near", revision=8)
        self.assertEqual("near", self.pull(ZONE_PEER_WAIT_S))

    def test_a_repeated_announcement_does_not_prolong_the_wait(self):
        for tick in range(5):
            self.offer("far", now_s=tick / 10, is_own_zone=False)
        self.assertEqual("far", self.pull(ZONE_PEER_WAIT_S))

    def test_a_peer_that_did_not_answer_is_asked_again_after_all_others(self):
        self.offer("a")
        self.others = ["c"]
        asked = [self.pull(step * PULL_TIMEOUT_S) for step in range(3)]
        self.assertEqual(["a", "c", "a"], asked)

    def test_a_silent_peer_that_is_heard_again_is_asked_at_once(self):
        # Guards against a node that waits for its next round when a cut has ended.
        self.offer("a")
        for tick in range(200):
            self.pull(tick / 10)
        self.offer("a", now_s=20.0)
        self.assertEqual("a", self.pull(20.0))

    def test_peers_that_are_heard_but_do_not_answer_are_not_asked_in_a_loop(self):
        pulls = 0
        for tick in range(600):
            self.offer(f"peer-{tick % 9}", now_s=tick / 10)
            pulls += self.pull(tick / 10) is not None
        self.assertLess(pulls, 150)

    def test_peers_that_answer_without_the_change_are_not_asked_in_a_loop(self):
        self.offer("a")
        pulls = 0
        for step in range(100):
            address = self.pull(step / 100)
            if address is not None:
                pulls += 1
                self.schedule.record_answer(address)
        self.assertLessEqual(pulls, 3)

    def test_a_revision_that_no_peer_can_deliver_is_pulled_ever_less_often(self):
        # All peers answer, but with changes of another history.
        for number in range(3):
            self.offer(f"a{number}")
        self.others = [f"b{number}" for number in range(1_000)]
        pulls = []
        for step in range(6_000):
            address = self.pull(step / 100)
            if address is not None:
                pulls.append(step / 100)
                self.schedule.record_answer(address)
        self.assertLess(len(pulls), 100)
        self.assertGreater(pulls[-1], 50.0)

    def test_a_node_that_has_the_change_pulls_nothing(self):
        self.offer("a")
        self.pull(0.0)
        self.assertIsNone(self.pull(1.0, own=8))
        self.assertIsNone(self.schedule.behind_since_s(8))
        self.offer("b", revision=9, now_s=2.0, own=8)
        self.assertEqual(2.0, self.schedule.behind_since_s(8))
        self.assertEqual("b", self.pull(2.0, own=8))

    def test_pages_that_arrive_keep_the_pull_open(self):
        self.offer("a")
        self.offer("b")
        self.pull(0.0)
        self.schedule.record_page("b", PULL_TIMEOUT_S * 0.9)
        self.assertIsNone(self.pull(PULL_TIMEOUT_S * 1.5))
        self.assertEqual("a", self.pull(PULL_TIMEOUT_S * 2))

    def test_the_number_of_stored_offers_is_limited(self):
        for number in range(OFFERS_MAX + 5):
            self.offer(f"a{number}")
        asked = {self.pull(step * PULL_TIMEOUT_S) for step in range(OFFERS_MAX)}
        self.assertEqual({f"a{n}" for n in range(5, OFFERS_MAX + 5)}, asked)
