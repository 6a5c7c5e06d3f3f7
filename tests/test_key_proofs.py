"""Proofs of how new a node's settings are, and the peers that are asked for them."""

import random
import sys
from io import StringIO

from testtools import TestCase

from balsamspindle.customers.freshness import Freshness, Proof
from balsamspindle.customers.proofs import (
    OPEN_QUESTIONS_MAX,
    QUERY_AT_AGE_S,
    ProofAnswer,
    ProofQuestion,
    ProofRefresher,
)
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord

AGE_MAX_S = 5.0
SCHEDULES = 100


class FreshnessTests(TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = CurrentConfiguration()
        self.configuration.offer(7, {})
        self.freshness = Freshness(AGE_MAX_S, self.configuration)

    def _is_fresh(self, now_s: float) -> bool:
        return self.freshness.is_fresh(self.freshness.proven(), now_s)

    def test_settings_are_not_fresh_before_the_first_proof(self):
        self.assertFalse(self._is_fresh(0.0))

    def test_a_proof_counts_from_the_start_of_its_read(self):
        # Guards against a slow read that prolongs the use of a revoked key.
        self.freshness.record(Proof(10.0, 7))
        self.assertTrue(self._is_fresh(14.9))
        self.assertFalse(self._is_fresh(15.0))

    def test_a_proof_of_a_newer_revision_counts_once_it_is_in_force(self):
        # Guards against the use of a key that revision 8 revokes. This node still has
        # revision 7 in force, so a proof of revision 8 must not prolong the use of 7.
        self.freshness.record(Proof(10.0, 7))
        self.freshness.record(Proof(14.0, 8))
        self.assertFalse(self._is_fresh(15.0))
        self.configuration.offer(8, {})
        self.assertTrue(self._is_fresh(18.9))

    def test_an_older_proof_that_arrives_late_changes_nothing(self):
        self.freshness.record(Proof(10.0, 7))
        self.freshness.record(Proof(8.0, 7))
        self.assertEqual(10.0, self.freshness.proven().proof.began_s)

    def test_without_a_maximum_age_no_proof_is_needed(self):
        freshness = Freshness(None, CurrentConfiguration())
        self.assertTrue(freshness.is_fresh(freshness.proven(), 0.0))


class Fleet:
    """Nodes that request proofs from each other over a simulated network."""

    def __init__(self, count: int, zones: int = 3) -> None:
        self.now_s = 100.0
        self.revision = 1
        self.store_answers = lambda node: True
        self.delivers = lambda sender, receiver: True
        self.random = random.Random(5)
        self.delays_s = (0.001, 0.003)
        self.read_time_max_s = 0.02
        self.reads = self.messages = 0
        self.in_flight: list[tuple[float, str, str, object]] = []
        self.records = [
            NodeRecord(
                f"node-{number}",
                1,
                0,
                "r",
                f"zone-{number % zones}",
                f"10.0.{number // 250}.{number % 250}:1",
                f"10.0.{number // 250}.{number % 250}:2",
                "alive",
            )
            for number in range(count)
        ]
        self.nodes = {
            record.member_address: Node(self, record) for record in self.records
        }

    def alive(self) -> list[NodeRecord]:
        return self.records

    def run(self, seconds: float, step_s: float = 0.1) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s
            due = [one for one in self.in_flight if one[0] <= self.now_s]
            self.in_flight = [one for one in self.in_flight if one[0] > self.now_s]
            for _, _, receiver, message in sorted(due, key=lambda one: one[0]):
                self.nodes[receiver].receive(message)
            for node in self.nodes.values():
                node.step()

    def send(self, sender: str, receiver: str, message: object) -> None:
        self.messages += 1
        if self.delivers(sender, receiver):
            at_s = self.now_s + self.random.uniform(*self.delays_s)
            self.in_flight.append((at_s, sender, receiver, message))


class Node:
    def __init__(self, fleet: Fleet, record: NodeRecord) -> None:
        self.fleet, self.record = fleet, record
        self.address = record.member_address
        self.is_paused = False
        # The running read: its end, its start and the revision that it returns.
        self.running_read: tuple[float, float, int] | None = None
        self.inbox: list[object] = []
        self.configuration = CurrentConfiguration()
        self.configuration.offer(fleet.revision, {})
        self.freshness = Freshness(AGE_MAX_S, self.configuration)
        self.refresher = ProofRefresher(
            record,
            fleet,
            self.freshness,
            EventLog(record.node_id, 1, HybridClock(), StringIO()),
            self.read,
            lambda address, message: fleet.send(self.address, address, message),
            lambda: fleet.now_s,
        )

    def read(self) -> None:
        self.fleet.reads += 1
        if self.fleet.store_answers(self) and self.running_read is None:
            now_s = self.fleet.now_s
            duration_s = self.fleet.random.uniform(0, self.fleet.read_time_max_s)
            self.running_read = (now_s + duration_s, now_s, self.fleet.revision)

    def end_read(self) -> None:
        ends_s, began_s, revision = self.running_read
        if ends_s <= self.fleet.now_s:
            self.running_read = None
            self.configuration.offer(revision, {})
            self.refresher.record_read(began_s, revision)

    def step(self) -> None:
        if self.is_paused:
            return
        if self.running_read is not None:
            self.end_read()
        while self.inbox:
            self.handle(self.inbox.pop(0))
        if self.refresher.check_read_due(self.fleet.now_s):
            self.read()
        address = self.refresher.choose_peer(self.fleet.now_s)
        if address is not None:
            self.refresher.send_question(address, self.fleet.now_s)

    def receive(self, message: object) -> None:
        self.inbox.append(message)

    def handle(self, message: object) -> None:
        match message:
            case ProofQuestion():
                self.refresher.answer_question(message)
            case ProofAnswer():
                self.refresher.receive_answer(message)

    def is_fresh(self) -> bool:
        return self.freshness.is_fresh(self.freshness.proven(), self.fleet.now_s)


class ProofsOverAFleetTests(TestCase):
    def test_without_faults_all_nodes_stay_fresh_with_few_reads(self):
        fleet = Fleet(93)
        fleet.run(4)
        fleet.reads = 0
        for _ in range(40):
            fleet.run(0.5)
            ages = [
                fleet.now_s - node.freshness.proven().proof.began_s
                for node in fleet.nodes.values()
            ]
            # Almost half of the maximum age remains for faults.
            self.assertLess(max(ages), 0.6 * AGE_MAX_S)
        self.assertLess(fleet.reads / 20, 6)

    def test_nodes_that_the_store_refuses_stay_fresh_through_their_peers(self):
        # Guards against refusals of all keys by a third of the fleet, for seconds.
        fleet = Fleet(93)
        fleet.run(4)
        refused = {node.address for node in list(fleet.nodes.values())[::3]}
        fleet.store_answers = lambda node: node.address not in refused
        stale = 0
        for _ in range(90):
            fleet.run(0.1)
            stale += sum(not node.is_fresh() for node in fleet.nodes.values())
        self.assertEqual(0, stale)

    def test_no_node_uses_keys_while_the_store_is_unavailable(self):
        # Guards against nodes that confirm each other's old settings as current.
        fleet = Fleet(30)
        fleet.run(4)
        fleet.store_answers = lambda node: False
        unavailable_s = fleet.now_s
        fleet.run(AGE_MAX_S + 0.2)
        self.assertEqual([], [n for n in fleet.nodes.values() if n.is_fresh()])
        fleet.run(4)
        self.assertEqual([], [n for n in fleet.nodes.values() if n.is_fresh()])
        self.assertGreater(fleet.now_s, unavailable_s)
        fleet.store_answers = lambda node: True
        fleet.run(4)
        self.assertEqual([], [n for n in fleet.nodes.values() if not n.is_fresh()])

    def test_nodes_read_an_unavailable_store_rarely(self):
        fleet = Fleet(93)
        fleet.run(4)
        fleet.reads = 0
        fleet.store_answers = lambda node: False
        fleet.run(9)
        self.assertLess(fleet.reads, 4 * 93)

    def test_a_node_without_peers_reads_the_store_itself(self):
        fleet = Fleet(12)
        isolated = list(fleet.nodes.values())[-1]
        fleet.run(4)
        fleet.delivers = lambda sender, receiver: (
            isolated.address not in (sender, receiver)
        )
        stale = 0
        for _ in range(100):
            fleet.run(0.1)
            stale += not isolated.is_fresh()
        self.assertEqual(0, stale)


def latest_use_s(seed: int) -> float:
    """Return for how many seconds a revoked key was still used, with random faults."""
    fleet = Fleet(6, zones=2)
    rng = fleet.random = random.Random(seed)
    fleet.delays_s = (0.001, rng.choice((0.01, 0.5, 3.0)))
    fleet.read_time_max_s = rng.choice((0.01, 0.5, 2.0))
    fleet.run(rng.uniform(1, 4), 0.2)
    nodes = list(fleet.nodes.values())
    refused = {node.address for node in rng.sample(nodes, rng.randint(0, 4))}
    cut = {node.address for node in rng.sample(nodes, rng.randint(0, 3))}
    fleet.store_answers = lambda node: node.address not in refused
    fleet.delivers = lambda sender, receiver: not {sender, receiver} & cut
    fleet.revision, revoked_s = 2, fleet.now_s
    latest_s = 0.0
    for _ in range(40):
        for node in nodes:
            if rng.random() < 0.05:
                node.is_paused = not node.is_paused
        fleet.run(0.2, 0.2)
        for node in nodes:
            is_old = node.configuration.revision < 2
            if is_old and not node.is_paused and node.is_fresh():
                latest_s = max(latest_s, fleet.now_s - revoked_s)
    return latest_s


class RevocationTests(TestCase):
    """After its revocation a key is used no longer than a proof's maximum age."""

    def test_the_delay_of_an_answer_counts_as_age(self):
        # Guards against an age that omits the time in which the asking node was paused.
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        reader.refresher.record_read(fleet.now_s, 1)
        other.refresher.send_question(reader.address, fleet.now_s)
        question = fleet.in_flight.pop()[3]
        reader.handle(question)
        answer = fleet.in_flight.pop()[3]
        fleet.now_s += 4.5
        other.handle(answer)
        self.assertTrue(other.is_fresh())
        fleet.now_s += 0.6
        self.assertFalse(other.is_fresh())

    def test_the_delay_of_a_question_counts_as_age(self):
        # Guards against an age that omits the time in which the peer was paused.
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        other.refresher.send_question(reader.address, fleet.now_s)
        question = fleet.in_flight.pop()[3]
        fleet.now_s += 4.5
        reader.refresher.record_read(fleet.now_s, 1)
        reader.handle(question)
        other.handle(fleet.in_flight.pop()[3])
        fleet.now_s += 0.6
        self.assertFalse(other.is_fresh())
        self.assertTrue(reader.is_fresh())

    def test_an_answer_to_an_earlier_process_at_the_same_address_is_ignored(self):
        # Guards against an age that counts from a question which was sent after the
        # answer: the answer waited in the peer's socket while the node was restarted.
        fleet = Fleet(2, zones=1)
        reader, before = fleet.nodes.values()
        reader.refresher.record_read(fleet.now_s, 1)
        before.refresher.send_question(reader.address, fleet.now_s)
        reader.handle(fleet.in_flight.pop()[3])
        answer = fleet.in_flight.pop()[3]
        fleet.now_s += AGE_MAX_S + 1
        after = Node(fleet, before.record)
        for _ in range(OPEN_QUESTIONS_MAX):
            after.refresher.send_question(reader.address, fleet.now_s)
        after.handle(answer)
        self.assertFalse(after.is_fresh())

    def test_an_answer_that_arrives_twice_counts_once(self):
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        reader.refresher.record_read(fleet.now_s, 1)
        other.refresher.send_question(reader.address, fleet.now_s)
        reader.handle(fleet.in_flight.pop()[3])
        answer = fleet.in_flight.pop()[3]
        other.handle(answer)
        began_s = other.freshness.proven().proof.began_s
        fleet.now_s += 3
        other.handle(answer)
        self.assertEqual(began_s, other.freshness.proven().proof.began_s)

    def test_in_many_schedules_no_revoked_key_is_used_after_the_maximum_age(self):
        # Delays, pauses and lost connections together must not prolong a key's use.
        latest_s = max(map(latest_use_s, range(SCHEDULES)))
        self.assertLessEqual(latest_s, AGE_MAX_S)


class QuestionTests(TestCase):
    def test_no_peer_is_queried_while_the_proof_is_new(self):
        fleet = Fleet(4, zones=1)
        node = list(fleet.nodes.values())[0]
        node.refresher.record_read(fleet.now_s, 1)
        self.assertIsNone(
            node.refresher.choose_peer(fleet.now_s + QUERY_AT_AGE_S - 0.1)
        )
        self.assertIsNotNone(node.refresher.choose_peer(fleet.now_s + QUERY_AT_AGE_S))


if __name__ == "__main__":
    count = int(sys.argv[1])
    print(
        f"latest use {max(map(latest_use_s, range(count))):.2f} s of {count} schedules"
    )
