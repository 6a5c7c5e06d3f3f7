"""How new a node's settings are proven to be, and who is asked for a proof."""

import random
import sys
import time
from io import StringIO

from expression import Ok
from testtools import TestCase

from balsamspindle.customers.freshness import Freshness, Proof
from balsamspindle.customers.proofs import (
    ASK_AT_AGE_S,
    ProofAnswer,
    ProofKeeper,
    ProofQuestion,
)
from balsamspindle.settings.feed import OperatorRow, SettingsFeed, WholeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.tables import Changes, Row, TableService
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord

AGE_MAX_S = 5.0
SCHEDULES = 100


class FreshnessTests(TestCase):
    def setUp(self):
        super().setUp()
        self.freshness = Freshness(AGE_MAX_S)

    def test_nothing_is_fresh_before_the_first_proof(self):
        self.assertFalse(self.freshness.is_fresh(7, 0.0))

    def test_a_proof_counts_from_the_start_of_its_read(self):
        # Guards against keys that are served longer by the time a slow read takes.
        self.freshness.record(Proof(10.0, 7), 7)
        self.assertTrue(self.freshness.is_fresh(7, 14.9))
        self.assertFalse(self.freshness.is_fresh(7, 15.0))

    def test_a_proof_of_a_newer_revision_counts_once_it_is_in_force(self):
        # Guards against a key that a revision took away which is not here yet.
        self.freshness.record(Proof(10.0, 7), 7)
        self.freshness.record(Proof(14.0, 8), 7)
        self.assertFalse(self.freshness.is_fresh(7, 15.0))
        self.assertTrue(self.freshness.is_fresh(8, 18.9))

    def test_an_older_proof_that_comes_late_changes_nothing(self):
        self.freshness.record(Proof(10.0, 7), 7)
        self.freshness.record(Proof(8.0, 7), 7)
        self.assertEqual(10.0, self.freshness.usable_proof(7).began_s)

    def test_no_proof_is_needed_where_none_is_asked_for(self):
        self.assertTrue(Freshness(None).is_fresh(-1, 0.0))


class Fleet:
    """Nodes that ask each other over a network with a clock of its own."""

    def __init__(self, count: int, zones: int = 3) -> None:
        self.now_s = 100.0
        self.revision = 1
        self.store_serves = lambda node: True
        self.carries = lambda sender, receiver: True
        self.random = random.Random(5)
        self.delays_s = (0.001, 0.003)
        self.read_takes_s = 0.02
        self.calls = self.messages = 0
        self.under_way: list[tuple[float, str, str, object]] = []
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
            due = [one for one in self.under_way if one[0] <= self.now_s]
            self.under_way = [one for one in self.under_way if one[0] > self.now_s]
            for _, _, receiver, message in sorted(due, key=lambda one: one[0]):
                self.nodes[receiver].take(message)
            for node in self.nodes.values():
                node.step()

    def send(self, sender: str, receiver: str, message: object) -> None:
        self.messages += 1
        if self.carries(sender, receiver):
            at_s = self.now_s + self.random.uniform(*self.delays_s)
            self.under_way.append((at_s, sender, receiver, message))


class Node:
    def __init__(self, fleet: Fleet, record: NodeRecord) -> None:
        self.fleet, self.record = fleet, record
        self.address = record.member_address
        self.is_stopped = False
        # A read under way: its end, its start, and what it showed.
        self.reading: tuple[float, float, int] | None = None
        self.inbox: list[object] = []
        self.configuration = CurrentConfiguration()
        self.configuration.offer(fleet.revision, {})
        self.freshness = Freshness(AGE_MAX_S)
        self.keeper = ProofKeeper(
            record,
            fleet,
            self.freshness,
            self.configuration,
            EventLog(record.node_id, 1, HybridClock(), StringIO()),
            self.read,
            lambda address, message: fleet.send(self.address, address, message),
            lambda: fleet.now_s,
        )

    def read(self) -> None:
        self.fleet.calls += 1
        if self.fleet.store_serves(self) and self.reading is None:
            now_s = self.fleet.now_s
            takes_s = self.fleet.random.uniform(0, self.fleet.read_takes_s)
            self.reading = (now_s + takes_s, now_s, self.fleet.revision)

    def end_read(self) -> None:
        ends_s, began_s, revision = self.reading
        if ends_s <= self.fleet.now_s:
            self.reading = None
            self.configuration.offer(revision, {})
            self.keeper.note_read(began_s, revision)

    def step(self) -> None:
        if self.is_stopped:
            return
        if self.reading is not None:
            self.end_read()
        while self.inbox:
            self.handle(self.inbox.pop(0))
        if self.keeper.check_read_due(self.fleet.now_s):
            self.read()
        address = self.keeper.choose_peer(self.fleet.now_s)
        if address is not None:
            self.keeper.send_question(address, self.fleet.now_s)

    def take(self, message: object) -> None:
        self.inbox.append(message)

    def handle(self, message: object) -> None:
        match message:
            case ProofQuestion():
                self.keeper.take_question(message)
            case ProofAnswer():
                self.keeper.take_answer(message)

    def is_fresh(self) -> bool:
        return self.freshness.is_fresh(self.configuration.revision, self.fleet.now_s)


class ProofsOverAFleetTests(TestCase):
    def test_in_calm_all_stay_fresh_by_few_calls(self):
        fleet = Fleet(93)
        fleet.run(4)
        fleet.calls = 0
        for _ in range(40):
            fleet.run(0.5)
            ages = [
                fleet.now_s - node.freshness.usable_proof(1).began_s
                for node in fleet.nodes.values()
            ]
            # Half of the bound is left for what goes wrong.
            self.assertLess(max(ages), 0.6 * AGE_MAX_S)
        self.assertLess(fleet.calls / 20, 6)

    def test_nodes_that_the_store_refuses_stay_fresh_by_their_peers(self):
        # Guards against a third of the fleet without service for seconds.
        fleet = Fleet(93)
        fleet.run(4)
        refused = {node.address for node in list(fleet.nodes.values())[::3]}
        fleet.store_serves = lambda node: node.address not in refused
        lost = 0
        for _ in range(90):
            fleet.run(0.1)
            lost += sum(not node.is_fresh() for node in fleet.nodes.values())
        self.assertEqual(0, lost)

    def test_nobody_serves_keys_when_the_store_is_away(self):
        # Guards against nodes that confirm each other's old proofs for ever.
        fleet = Fleet(30)
        fleet.run(4)
        fleet.store_serves = lambda node: False
        away_s = fleet.now_s
        fleet.run(AGE_MAX_S + 0.2)
        self.assertEqual([], [n for n in fleet.nodes.values() if n.is_fresh()])
        fleet.run(4)
        self.assertEqual([], [n for n in fleet.nodes.values() if n.is_fresh()])
        self.assertGreater(fleet.now_s, away_s)
        fleet.store_serves = lambda node: True
        fleet.run(4)
        self.assertEqual([], [n for n in fleet.nodes.values() if not n.is_fresh()])

    def test_the_store_is_spared_while_it_is_away(self):
        fleet = Fleet(93)
        fleet.run(4)
        fleet.calls = 0
        fleet.store_serves = lambda node: False
        fleet.run(9)
        self.assertLess(fleet.calls, 4 * 93)

    def test_a_node_without_peers_reads_the_store_itself(self):
        fleet = Fleet(12)
        alone = list(fleet.nodes.values())[-1]
        fleet.run(4)
        fleet.carries = lambda sender, receiver: alone.address not in (sender, receiver)
        lost = 0
        for _ in range(100):
            fleet.run(0.1)
            lost += not alone.is_fresh()
        self.assertEqual(0, lost)


def latest_run_s(seed: int) -> float:
    """Return how long after a revocation one of six nodes still served the key."""
    fleet = Fleet(6, zones=2)
    rng = fleet.random = random.Random(seed)
    fleet.delays_s = (0.001, rng.choice((0.01, 0.5, 3.0)))
    fleet.read_takes_s = rng.choice((0.01, 0.5, 2.0))
    fleet.run(rng.uniform(1, 4), 0.2)
    nodes = list(fleet.nodes.values())
    refused = {node.address for node in rng.sample(nodes, rng.randint(0, 4))}
    cut = {node.address for node in rng.sample(nodes, rng.randint(0, 3))}
    fleet.store_serves = lambda node: node.address not in refused
    fleet.carries = lambda sender, receiver: not {sender, receiver} & cut
    fleet.revision, revoked_s = 2, fleet.now_s
    latest_s = 0.0
    for _ in range(40):
        for node in nodes:
            if rng.random() < 0.05:
                node.is_stopped = not node.is_stopped
        fleet.run(0.2, 0.2)
        for node in nodes:
            is_old = node.configuration.revision < 2
            if is_old and not node.is_stopped and node.is_fresh():
                latest_s = max(latest_s, fleet.now_s - revoked_s)
    return latest_s


class RevocationTests(TestCase):
    """No key is served later than the bound after it was taken away."""

    def test_the_wait_of_an_answer_counts_as_age(self):
        # Guards against a proof that looks new because its bearer stood still.
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        reader.keeper.note_read(fleet.now_s, 1)
        other.keeper.send_question(reader.address, fleet.now_s)
        question = fleet.under_way.pop()[3]
        reader.handle(question)
        answer = fleet.under_way.pop()[3]
        fleet.now_s += 4.5
        other.handle(answer)
        self.assertTrue(other.is_fresh())
        fleet.now_s += 0.6
        self.assertFalse(other.is_fresh())

    def test_the_wait_of_a_question_counts_as_age(self):
        # Guards against the same at the peer that is asked.
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        other.keeper.send_question(reader.address, fleet.now_s)
        question = fleet.under_way.pop()[3]
        fleet.now_s += 4.5
        reader.keeper.note_read(fleet.now_s, 1)
        reader.handle(question)
        other.handle(fleet.under_way.pop()[3])
        fleet.now_s += 0.6
        self.assertFalse(other.is_fresh())
        self.assertTrue(reader.is_fresh())

    def test_an_answer_that_comes_twice_counts_once(self):
        fleet = Fleet(2, zones=1)
        reader, other = fleet.nodes.values()
        reader.keeper.note_read(fleet.now_s, 1)
        other.keeper.send_question(reader.address, fleet.now_s)
        reader.handle(fleet.under_way.pop()[3])
        answer = fleet.under_way.pop()[3]
        other.handle(answer)
        began_s = other.freshness.usable_proof(1).began_s
        fleet.now_s += 3
        other.handle(answer)
        self.assertEqual(began_s, other.freshness.usable_proof(1).began_s)

    def test_in_many_schedules_no_key_is_served_after_the_bound(self):
        # Guards against runs with a key later than it may be served.
        latest_s = max(map(latest_run_s, range(SCHEDULES)))
        self.assertLessEqual(latest_s, AGE_MAX_S)


class SlowTables(TableService):
    """A store whose reads take time, on which the operator's row is changed."""

    def __init__(self) -> None:
        self.row = Row("config", 1, 1)
        self.takes_s = 0.2
        self.meanwhile = lambda: None

    def read(self, table, keys):
        row = self.row
        time.sleep(self.takes_s)
        self.meanwhile()
        return Ok([row])


class FeedProofTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tables = SlowTables()
        self.configuration = CurrentConfiguration()
        self.proofs: list[Proof] = []
        self.feed = SettingsFeed(
            self.tables,
            OperatorRow("op", "config", self._decode),
            self.configuration,
            EventLog("node", 1, HybridClock(), StringIO()),
            lambda: True,
            on_read=lambda *read: self.proofs.append(Proof(*read)),
        )

    @staticmethod
    def _decode(value):
        if value == "garbage":
            raise ValueError("not readable")
        return WholeSettings(value, {})

    def test_a_proof_begins_with_the_question(self):
        # Guards against a revision that was accepted while the read was under way.
        began_s = time.monotonic()
        self.feed.prove()
        (proof,) = self.proofs
        self.assertLess(proof.began_s - began_s, self.tables.takes_s / 2)
        self.assertEqual(1, proof.revision)
        self.assertEqual(1, self.configuration.revision)

    def test_an_older_revision_than_the_nodes_proves_nothing(self):
        # Guards against a store that lost the revision which took a key away.
        self.configuration.offer(5, {})
        self.feed.prove()
        self.assertEqual([], self.proofs)

    def test_a_revision_that_a_peer_brings_meanwhile_leaves_the_proof(self):
        self.tables.meanwhile = lambda: self.configuration.offer(5, {})
        self.feed.prove()
        self.assertEqual([1], [proof.revision for proof in self.proofs])

    def test_a_row_that_cant_be_read_proves_nothing(self):
        # Guards against keys that it takes away, unseen.
        self.feed.prove()
        self.tables.row = Row("config", 2, "garbage")
        self.feed.prove()
        self.assertEqual(1, len(self.proofs))

    def test_a_silent_wait_proves_nothing(self):
        # Guards against a connection that died without a word.
        self.tables.wait_for_changes = lambda *_: Ok(Changes([], 1))
        self.feed.wait(1)
        self.assertEqual([], self.proofs)


class AskingTests(TestCase):
    def test_a_young_proof_costs_no_question(self):
        fleet = Fleet(4, zones=1)
        node = list(fleet.nodes.values())[0]
        node.keeper.note_read(fleet.now_s, 1)
        self.assertIsNone(node.keeper.choose_peer(fleet.now_s + ASK_AT_AGE_S - 0.1))
        self.assertIsNotNone(node.keeper.choose_peer(fleet.now_s + ASK_AT_AGE_S))


if __name__ == "__main__":
    count = int(sys.argv[1])
    print(
        f"latest run {max(map(latest_run_s, range(count))):.2f} s of {count} schedules"
    )
