"""How fast all nodes know of crashes, and what it costs, in networks of members."""

import random

from balsamspindle.crashes.book import CrashBook
from balsamspindle.crashes.records import Crash, CrashedRun, CrashNews
from balsamspindle.crashes.spread import CrashSpread
from balsamspindle.membership.budget import Importance
from tests.member_network import MemberNetwork

SERVICE, CAUSE = "crew/vacancies", 1
# The users' bound from the third crash to the last node that may send it.
KNOWN_WITHIN_S = 3.0
CALM_S = 5.0


class Fleet:
    """Members with their books, on a clock that the test moves."""

    def __init__(self, nodes: int, zones: int = 3) -> None:
        self.network = MemberNetwork()
        self.books: dict[str, CrashBook] = {}
        self.spreads: dict[str, CrashSpread] = {}
        self.nodes = self.network.add_many(nodes, zones)
        self.network.introduce(self.nodes)
        for node in self.nodes:
            self.join(node)
        self.network.run(CALM_S)

    def join(self, node) -> None:
        book = self.books[node.address] = CrashBook(lambda service: 6)
        spread = self.spreads[node.address] = CrashSpread(
            node.settings.own_record(1),
            node.directory,
            book,
            lambda address, news: node.member.channel.send(
                address, news, self.network.now_s, Importance.URGENT
            ),
            lambda: self.network.now_s,
        )
        node.member.register({CrashNews: spread.take})
        node.member.share_crash_digest(book.digest, spread.compare)

    def crash(self, node, number: int, content: int = CAUSE) -> None:
        runs = tuple(CrashedRun(one, 90) for one in (content, *range(100, 105)))
        crash = Crash(f"server-{number}", 1, SERVICE, 0, runs)
        now_s = self.network.now_s
        news = self.books[node.address].take(CrashNews([crash]), now_s)
        self.spreads[node.address].tell(news, now_s)
        for other in range(100, 105):
            cleared = self.books[node.address].answered(other, now_s)
            self.spreads[node.address].tell(cleared, now_s)

    def quarantine(self, reporters) -> None:
        for number, node in enumerate(reporters):
            self.crash(node, number)
            self.network.run(0.5)

    def knows(self, node) -> bool:
        standing = self.books[node.address].standing(CAUSE, self.network.now_s)
        return standing.blocked_ms > 0

    def all_know(self) -> bool:
        return all(map(self.knows, self.network.nodes.values()))


def test_all_nodes_know_who_crashed_three_backend_servers_within_the_bound():
    """A caller's repeat at any node runs into the same backend servers.

    Three gates saw one crash each; none of them alone can tell.
    """
    fleet = Fleet(21)
    fleet.quarantine(random.Random(1).sample(fleet.nodes, 3))
    assert fleet.network.run(KNOWN_WITHIN_S, fleet.all_know)


def test_a_fleet_of_233_knows_as_fast_and_pays_a_bounded_price():
    """At size each node sends what one crash costs to five peers, and not to all."""
    fleet = Fleet(233, 5)
    before = sum(node.member.budget.spent_bytes for node in fleet.nodes)
    calm_s = fleet.network.now_s
    fleet.network.run(3.0)
    per_s = sum(n.member.budget.spent_bytes for n in fleet.nodes) - before
    per_s /= fleet.network.now_s - calm_s
    before = sum(node.member.budget.spent_bytes for node in fleet.nodes)
    began_s = fleet.network.now_s
    fleet.quarantine(random.Random(2).sample(fleet.nodes, 3))
    assert fleet.network.run(KNOWN_WITHIN_S - 0.5, fleet.all_know)
    spent = sum(node.member.budget.spent_bytes for node in fleet.nodes) - before
    spent -= per_s * (fleet.network.now_s - began_s)
    per_node_and_crash = spent / 233 / 3
    # A crash, and the answers to those who ran beside it: six news of some 300
    # bytes with the envelope, to five peers each. A second's cap is 9,000.
    assert per_node_and_crash < 9_000, per_node_and_crash


def test_a_node_that_was_cut_off_knows_soon_after():
    """News that came while it was cut off are not repeated for it."""
    fleet = Fleet(9)
    cut = fleet.nodes[4]
    fleet.network.delivers = lambda source, target: cut not in (source, target)
    fleet.quarantine([fleet.nodes[0], fleet.nodes[1], fleet.nodes[2]])
    fleet.network.run(1.0)
    assert not fleet.knows(cut)
    fleet.network.delivers = lambda source, target: True
    assert fleet.network.run(KNOWN_WITHIN_S, lambda: fleet.knows(cut))


def test_a_restarted_node_knows_soon():
    """Its memory is gone, and its first callers bring the same request again."""
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


def test_what_one_gate_takes_back_is_taken_back_by_all():
    """A request that was answered is refused by none, were its news first or last."""
    fleet = Fleet(9)
    fleet.quarantine([fleet.nodes[0], fleet.nodes[1]])
    now_s = fleet.network.now_s
    node = fleet.nodes[3]
    cleared = fleet.books[node.address].answered(CAUSE, now_s)
    fleet.spreads[node.address].tell(cleared, now_s)
    fleet.crash(fleet.nodes[5], 9)
    # The gate of the third crash quarantines it before it hears of the answer.
    assert fleet.knows(fleet.nodes[5])
    fleet.network.run(KNOWN_WITHIN_S)
    assert not any(map(fleet.knows, fleet.nodes))
    assert len({book.digest() for book in fleet.books.values()}) == 1


def test_those_who_are_answered_at_their_next_try_cost_no_news():
    """A crash ends six runs; told of each answer, it would cost seven times as much."""
    fleet = Fleet(21)
    before = fleet.network.frames
    fleet.network.run(2.0)
    calm = fleet.network.frames - before
    before = fleet.network.frames
    fleet.crash(fleet.nodes[0], 1)
    fleet.network.run(2.0)
    assert fleet.network.frames - before - calm <= 21 * 5
    assert len({book.digest() for book in fleet.books.values()}) == 1


def test_an_answer_that_was_told_to_nobody_counts_when_it_matters():
    """A lookup is lost, answered at one gate, and lost twice more at others."""
    fleet = Fleet(9)
    for number, node in enumerate(fleet.nodes[:3]):
        fleet.crash(node, number)
        fleet.network.run(1.0)
        if number == 0:
            book = fleet.books[fleet.nodes[5].address]
            assert not book.answered(CAUSE, fleet.network.now_s).crashes
    fleet.network.run(1.0)
    assert not any(map(fleet.knows, fleet.nodes))
    assert len({book.digest() for book in fleet.books.values()}) == 1
