"""Tests how fast all nodes learn of a quarantine, and how much traffic this takes."""

import random

from balsamspindle.crashes.gossip import CrashGossip
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate
from balsamspindle.membership.budget import Importance
from tests.member_network import MemberNetwork

SERVICE, CAUSE = "crew/vacancies", 1
# Longest time allowed from the third crash until all nodes refuse the request.
KNOWN_WITHIN_S = 3.0
SETTLE_S = 5.0


class Fleet:
    """Members that share crashes, on a simulated clock."""

    def __init__(self, nodes: int, zones: int = 3) -> None:
        self.network = MemberNetwork()
        self.histories: dict[str, CrashHistory] = {}
        self.gossips: dict[str, CrashGossip] = {}
        self.nodes = self.network.add_many(nodes, zones)
        self.network.introduce(self.nodes)
        for node in self.nodes:
            self.join(node)
        self.network.run(SETTLE_S)

    def join(self, node) -> None:
        history = self.histories[node.address] = CrashHistory(lambda service: 6)
        gossip = self.gossips[node.address] = CrashGossip(
            node.settings.own_record(1),
            node.directory,
            history,
            lambda address, update: node.member.channel.send(
                address, update, self.network.now_s, Importance.URGENT
            ),
            lambda: self.network.now_s,
        )
        node.member.register({CrashUpdate: gossip.receive})
        node.member.share_crash_digest(history.digest, gossip.compare_digest)

    def crash(self, node, number: int, content_hash: int = CAUSE) -> None:
        runs = tuple(CrashedRun(one, 90) for one in (content_hash, *range(100, 105)))
        crash = Crash(f"server-{number}", 1, SERVICE, 0, runs)
        now_s = self.network.now_s
        update = self.histories[node.address].merge(CrashUpdate([crash]), now_s)
        self.gossips[node.address].share(update, now_s)
        for other in range(100, 105):
            cleared = self.histories[node.address].record_answer(other, now_s)
            self.gossips[node.address].share(cleared, now_s)

    def quarantine(self, reporters) -> None:
        for number, node in enumerate(reporters):
            self.crash(node, number)
            self.network.run(0.5)

    def knows(self, node) -> bool:
        status = self.histories[node.address].status_of(CAUSE, self.network.now_s)
        return status.blocked_ms > 0

    def all_know(self) -> bool:
        return all(map(self.knows, self.network.nodes.values()))


def test_all_nodes_know_the_cause_of_three_crashes_within_the_limit():
    """Guards against a quarantine that not all nodes know.

    Each of the three crashes is detected by another gate, so no gate alone can find the
    cause. A caller may repeat the request at any node.
    """
    fleet = Fleet(21)
    fleet.quarantine(random.Random(1).sample(fleet.nodes, 3))
    assert fleet.network.run(KNOWN_WITHIN_S, fleet.all_know)


def test_all_of_233_nodes_know_the_cause_soon_and_with_bounded_traffic():
    """Guards against nodes that send each update to all nodes, not to five peers."""
    fleet = Fleet(233, 5)
    before = sum(node.member.budget.spent_bytes for node in fleet.nodes)
    idle_from_s = fleet.network.now_s
    fleet.network.run(3.0)
    idle_bytes_per_s = sum(n.member.budget.spent_bytes for n in fleet.nodes) - before
    idle_bytes_per_s /= fleet.network.now_s - idle_from_s
    before = sum(node.member.budget.spent_bytes for node in fleet.nodes)
    began_s = fleet.network.now_s
    fleet.quarantine(random.Random(2).sample(fleet.nodes, 3))
    assert fleet.network.run(KNOWN_WITHIN_S - 0.5, fleet.all_know)
    spent = sum(node.member.budget.spent_bytes for node in fleet.nodes) - before
    spent -= idle_bytes_per_s * (fleet.network.now_s - began_s)
    per_node_and_crash = spent / 233 / 3
    # Each crash can cause six updates: one for the crash, and one for each answer to
    # the five requests that ran beside the cause. Each update has about 300 bytes with
    # the envelope and is sent to five peers. A node's limit is 9,000 bytes in a second.
    assert per_node_and_crash < 9_000, per_node_and_crash


def test_a_node_that_was_cut_off_catches_up():
    """Guards against a node that never learns of the crashes during a partition.

    The updates sent during the partition are not sent again. The node catches up
    because its digest differs from those of its peers.
    """
    fleet = Fleet(9)
    cut = fleet.nodes[4]
    fleet.network.delivers = lambda source, target: cut not in (source, target)
    fleet.quarantine([fleet.nodes[0], fleet.nodes[1], fleet.nodes[2]])
    fleet.network.run(1.0)
    assert not fleet.knows(cut)
    fleet.network.delivers = lambda source, target: True
    assert fleet.network.run(KNOWN_WITHIN_S, lambda: fleet.knows(cut))


def test_a_restarted_node_catches_up():
    """Guards against a restarted node that runs a quarantined request.

    After the restart, the node has no crashes in memory, and callers may send it the
    same request again.
    """
    fleet = Fleet(9)
    fleet.quarantine([fleet.nodes[0], fleet.nodes[1], fleet.nodes[2]])
    fleet.network.run(1.0)
    old = fleet.nodes[4]
    fleet.network.kill(old)
    fleet.network.run(1.0)
    new = fleet.network.add(
        4, old.settings.availability_zone, seeds=fleet.nodes[:3], incarnation=2_000
    )
    fleet.join(new)
    assert fleet.network.run(KNOWN_WITHIN_S, lambda: fleet.knows(new))


def test_an_answer_at_one_node_lifts_the_quarantine_at_all():
    """Guards against nodes that refuse a request after another node answered it."""
    fleet = Fleet(9)
    fleet.quarantine([fleet.nodes[0], fleet.nodes[1]])
    now_s = fleet.network.now_s
    node = fleet.nodes[3]
    cleared = fleet.histories[node.address].record_answer(CAUSE, now_s)
    fleet.gossips[node.address].share(cleared, now_s)
    fleet.crash(fleet.nodes[5], 9)
    # The node of the third crash quarantines the request before it learns of the
    # answer.
    assert fleet.knows(fleet.nodes[5])
    fleet.network.run(KNOWN_WITHIN_S)
    assert not any(map(fleet.knows, fleet.nodes))
    assert len({history.digest() for history in fleet.histories.values()}) == 1


def test_answers_to_requests_lost_once_are_not_shared():
    """Guards against nodes that share answers to requests that were lost only once.

    A crash ends six runs. The requests of these runs are sent again and answered. If
    each of the six answers were shared, a crash would cause seven updates instead of
    one, and the traffic would be seven times as high.
    """
    fleet = Fleet(21)
    before = fleet.network.frames
    fleet.network.run(2.0)
    idle_frames = fleet.network.frames - before
    before = fleet.network.frames
    fleet.crash(fleet.nodes[0], 1)
    fleet.network.run(2.0)
    assert fleet.network.frames - before - idle_frames <= 21 * 5
    assert len({history.digest() for history in fleet.histories.values()}) == 1


def test_an_answer_that_was_not_shared_prevents_a_later_quarantine():
    """Guards against the quarantine of a lookup that was answered between its losses.

    The lookup is lost once and then answered at one node, which does not share the
    answer. Then the lookup is lost twice more at other nodes.
    """
    fleet = Fleet(9)
    for number, node in enumerate(fleet.nodes[:3]):
        fleet.crash(node, number)
        fleet.network.run(1.0)
        if number == 0:
            history = fleet.histories[fleet.nodes[5].address]
            assert not history.record_answer(CAUSE, fleet.network.now_s).crashes
    fleet.network.run(1.0)
    assert not any(map(fleet.knows, fleet.nodes))
    assert len({history.digest() for history in fleet.histories.values()}) == 1
