"""Membership under faults: several real members, a fake network and clock."""

import random

import msgspec
from testtools import TestCase

from balsamspindle.membership.budget import BURST_S
from balsamspindle.membership.news import NewsQueue, Priority
from balsamspindle.membership.node_view import Epoch
from balsamspindle.membership.suspicion import (
    TIMEOUT_MAX_S,
    TIMEOUT_MIN_S,
    Suspicions,
)
from balsamspindle.membership.transport import Route
from balsamspindle.wire import (
    BackendServerRecord,
    NodeNews,
    ServerEntry,
    Verdict,
    VerdictNews,
    encode_member,
)
from tests.member_network import MemberNetwork, count_events


class MembershipTests(TestCase):
    def start(self, count, **options):
        self.network = MemberNetwork()
        self.nodes = self.network.add_many(count, **options)
        self.assert_all_alive()
        self.network.run(20)
        return self.nodes

    def assert_all_alive(self, timeout_s=60, nodes=None):
        nodes = nodes or self.nodes
        expected = {node.node_id for node in nodes}
        self.assertTrue(
            self.network.run(
                timeout_s, lambda: all(node.alive() == expected for node in nodes)
            ),
            [sorted(expected ^ node.alive()) for node in nodes],
        )

    def test_a_crashed_node_is_removed_everywhere_and_a_new_one_joins(self):
        first, *rest = self.start(12)
        self.network.kill(first)
        self.assert_all_alive(30, rest)
        joined = self.network.add(50, "zone-1", seeds=rest[:1])
        self.assert_all_alive(30, [*rest, joined])

    def test_a_leaving_node_is_removed_without_suspicion(self):
        leaving, other = self.start(2)
        leaving.member.knowledge.leave(self.network.now_s)
        self.network.run(1.0)
        self.assertEqual("leaving", other.directory.view(leaving.node_id).record.state)
        self.network.kill(leaving)
        self.assert_all_alive(10, [other])

    def test_a_link_broken_in_one_direction_kills_nobody(self):
        # A's messages to B are lost, all other links work. A caller would see
        # B's capacity missing everywhere. A's probes of B stay unanswered, as
        # do its acknowledgements to B; a helper's probe of B is answered.
        a, b, *_ = self.start(8)
        self.network.passes = lambda source, target: (source, target) != (a, b)
        self.network.run(180)
        self.assertEqual(0, count_events(self.nodes, "node_dead"))
        self.assertEqual(0, count_events(self.nodes, "node_suspected"))
        self.assert_all_alive(1)

    def test_two_nodes_that_only_miss_each_other_kill_nobody(self):
        # A and B can't talk at all, and A is the only one to find B silent
        # through a helper that is overloaded. One suspecter is no proof: the
        # suspicion reaches B, which refutes it.
        a, b, *_ = self.start(8)
        for _ in range(20):
            a.member.knowledge.failed_probe(
                a.directory.view(b.node_id).record, self.network.now_s
            )
            self.network.run(5)
        self.assertEqual(0, count_events(self.nodes, "node_dead"))
        self.assertIn(b.node_id, a.alive())

    def test_a_node_that_hears_nobody_suspects_itself(self):
        # B sends, but receives nothing. It must not spread that all others
        # are dead; the others take B out once and do not flap.
        b, *others = self.start(8)
        self.network.passes = lambda source, target: target is not b
        self.network.run(120)
        self.assertEqual(0, b.events.counts["node_dead"])
        self.assertLessEqual(b.events.counts["node_suspected"], 1)
        self.assertTrue(b.member.isolated)
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.network.passes = lambda source, target: True
        self.assert_all_alive(30)
        self.assertFalse(b.member.isolated)

    def test_a_node_that_nobody_can_call_does_not_flap(self):
        # Nobody can open a connection to B, so no request reaches its gate.
        # B's own connections work both ways: it reads that it is held dead.
        # If it refuted that, it would be dead and alive in turns everywhere.
        b, *others = self.start(8)
        self.network.opens = lambda source, target: target is not b
        self.network.run(180)
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.assertFalse(any(b.node_id in node.alive() for node in others))
        self.network.opens = lambda source, target: True
        self.assert_all_alive(30)

    def test_a_node_that_nobody_hears_comes_back_when_the_link_heals(self):
        # B receives, but what it sends is lost: it reads that it is suspected
        # and can't refute. Others hold it dead once, not again and again.
        b, *others = self.start(8)
        self.network.passes = lambda source, target: source is not b
        self.network.run(120)
        self.assertEqual(0, b.events.counts["node_dead"])
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.network.passes = lambda source, target: True
        self.assert_all_alive(3)

    def test_two_halves_that_hold_each_other_dead_reunite(self):
        # Neither half probes nodes that it holds dead, and no seed names them.
        self.network = MemberNetwork()
        self.nodes = [self.network.add(number) for number in range(8)]
        self.network.introduce(self.nodes)
        half = self.nodes[:4]
        self.network.passes = lambda source, target: (
            (source in half) == (target in half)
        )
        self.assert_all_alive(120, half)
        self.assert_all_alive(120, self.nodes[4:])
        self.network.run(30)
        self.network.passes = lambda source, target: True
        self.assert_all_alive(30)

    def test_the_smaller_side_of_a_partition_declares_nobody_dead(self):
        # Three of nine are cut off. Together they could confirm each other's
        # suspicions of the six, and would find no backend server any more.
        nodes = self.start(9)
        few = nodes[:3]
        self.network.passes = lambda source, target: (source in few) == (target in few)
        self.network.run(120)
        # Deaths of half their region at the most, as they saw it at first.
        for node in few:
            self.assertGreaterEqual(len(node.alive()), 5)
        self.network.passes = lambda source, target: True
        self.assert_all_alive(90)

    def test_a_woken_node_declares_nobody_dead_and_is_back_at_once(self):
        # A process is stopped for longer than all time-outs, with probes and
        # suspicions under way. When it runs again all its timers have run
        # out. The fleet holds it dead meanwhile and one server has left.
        sleeper, changed, *others = self.start(8)
        changed.serve(2)
        self.network.run(10)
        victim = others[0]
        sleeper.member.knowledge.failed_probe(
            sleeper.directory.view(victim.node_id).record, self.network.now_s
        )
        sleeper.member.knowledge.take(
            [VerdictNews(victim.node_id, 1000, 0, Verdict.SUSPECT, others[1].node_id)],
            self.network.now_s,
            spread=True,
        )
        self.network.pause(sleeper)
        self.network.run(60)
        self.assertNotIn(sleeper.node_id, others[0].alive())
        changed.servers = changed.servers[:1]
        self.network.run(10)
        self.network.resume(sleeper)
        self.assert_all_alive(15)
        self.network.run(10)
        self.assertEqual(0, sleeper.events.counts["node_dead"])
        records = {r.node_id: r for r in sleeper.directory.records()}
        self.assertEqual(1, len(records[changed.node_id].backend_servers))

    def test_a_failed_probe_of_the_past_says_nothing_of_the_present(self):
        # A probe goes out while B is down and fails after B is back. Counted
        # against the new B, it makes a suspicion of each node that returns.
        a, b, *_ = self.start(4)
        past = a.directory.view(b.node_id).record
        b.member.knowledge.assert_alive(self.network.now_s)
        self.network.run(5)
        a.member.knowledge.failed_probe(past, self.network.now_s)
        self.assertEqual(0, a.events.counts["node_suspected"])

    def test_a_replaced_node_outbids_its_own_past(self):
        # The VM is replaced and its wall clock is behind: the new process
        # takes a lower incarnation than its past one. Peers would pass over
        # all that it says, and callers would be sent to servers long gone.
        old, *others = self.start(5)
        old.serve(3, boot_id="old")
        self.network.run(10)
        self.network.kill(old)
        new = self.network.add(0, "zone-0", seeds=others[:2], incarnation=7)
        new.serve(1, boot_id="new")
        self.assertTrue(
            self.network.run(3, lambda: all(node.knows("new", new) for node in others))
        )
        for node in others:
            record = node.directory.view(new.node_id).full_record()
            self.assertEqual(1, len(record.backend_servers))

    def test_regions_apart_for_an_hour_declare_nobody_dead(self):
        # Two regions lose each other for an hour. Their nodes all fail to
        # answer at once; to declare them dead would empty the directory of
        # half the fleet. One node really dies meanwhile: its region says so.
        self.network = MemberNetwork()
        east = [self.network.add(n, "e", "east") for n in range(1)]
        seeds = east[:1]
        east += [self.network.add(n, "e", "east", seeds) for n in range(1, 5)]
        west = [self.network.add(n, "w", "west", seeds) for n in range(10, 15)]
        self.nodes = east + west
        self.assert_all_alive()
        self.network.passes = lambda source, target: (
            (source in east) == (target in east)
        )
        self.network.run(600)
        victim = west.pop()
        self.network.kill(victim)
        self.network.run(3000)
        dead = [
            fields["peer"]
            for node in self.nodes
            for event, fields in node.events.seen
            if event == "node_dead"
        ]
        self.assertEqual({victim.node_id}, set(dead))
        self.network.passes = lambda source, target: True
        self.assert_all_alive(60, east + west)

    def test_a_zone_back_at_once_stays_within_the_byte_cap(self):
        # A third of the nodes and all their backend servers come back at the
        # same moment. Nobody sends more than its cap. Acknowledgements are
        # not crowded out, so no living node is suspected for long or taken
        # for dead; in the end everybody knows every server.
        cap = 1500.0
        nodes = self.start(24, member_bytes_per_s=cap)
        zone = nodes[16:]
        for node in zone:
            self.network.kill(node)
        self.assert_all_alive(90, nodes[:16])
        back = [
            self.network.add(
                node.number,
                "zone-2",
                seeds=nodes[:2],
                incarnation=2000,
                member_bytes_per_s=cap,
            )
            for node in zone
        ]
        for node in back:
            node.serve(60, boot_id="2")
        everybody = nodes[:16] + back
        deaths = count_events(everybody, "node_dead")
        refuted = count_events(everybody, "claim_refuted")
        for _ in range(12):
            spent = [node.member.budget.spent_bytes for node in everybody]
            self.network.run(10)
            for node, before in zip(everybody, spent, strict=True):
                sent_bytes = node.member.budget.spent_bytes - before
                self.assertLessEqual(sent_bytes, cap * (10 + BURST_S))
        self.assertTrue(all(node.knows("2", one) for node in everybody for one in back))
        self.assertEqual(deaths, count_events(everybody, "node_dead"))
        self.assertEqual(refuted, count_events(everybody, "claim_refuted"))

    def test_one_changed_server_does_not_cost_the_whole_record(self):
        self.network = MemberNetwork()
        node = self.network.add(0)
        node.serve(25)
        self.network.run(1)
        queue = node.member.knowledge.queue
        while queue.take(100_000):
            pass
        first, *others = node.servers
        node.servers = (first._replace(boot_id="2"), *others)
        self.network.run(1)
        delta = len(msgspec.msgpack.encode(queue.take(100_000)))
        whole = len(msgspec.msgpack.encode(node.member.knowledge.own.whole()))
        self.assertLess(delta * 10, whole)

    def test_strange_frames_change_nothing_and_end_nothing(self):
        # Garbage, cut-off and foreign frames reach the member socket. One
        # that raised would end the member task, and with it the node.
        node, other = self.start(2)
        rng = random.Random(7)
        good = encode_member("ping", other.member._sender(), [0, "", []])
        frames = [rng.randbytes(rng.randrange(200)) for _ in range(200)]
        frames += [b"\x81" + rng.randbytes(50) for _ in range(50)]
        frames += [good[:length] for length in range(len(good))]
        frames += [b"\x02" + good[1:], b"\x01" + b"\x91" * 100_000]
        frames.append(encode_member("from_the_future", other.member._sender(), [1]))
        frames.append(b"\x01" + b"\x00" * (5 * 1024 * 1024))
        before = node.directory.records()
        for frame in frames:
            node.member.channel.take(None, frame, self.network.now_s)
        dropped = sum(
            count
            for why, count in node.member.channel.counts.items()
            if why.startswith("dropped")
        )
        self.assertEqual(len(frames), dropped)
        self.assertEqual(before, node.directory.records())
        self.assertEqual(1, node.member.channel.counts["dropped_unknown_kind"])

    def test_unknown_trailing_fields_of_a_later_version_are_passed_over(self):
        node, other = self.start(2)
        frame = encode_member("ping", other.member._sender(), [5, "", [], "new", 1])
        received = node.member.channel.counts["received"]
        route = Route(routing_id=other.address.encode())
        node.member.channel.take(route, frame, self.network.now_s)
        self.assertEqual(received + 1, node.member.channel.counts["received"])


class NewsQueueTests(TestCase):
    def entry(self, number, state="ready"):
        record = BackendServerRecord(f"server-{number}", "team/a", "1", 6, state)
        return NodeNews("node-1", 1, servers=[ServerEntry(number + 1, record)])

    def test_urgent_news_goes_before_a_backlog(self):
        # A burst of restarts fills the queue. A server that drains must not
        # get new work for as long as it takes to tell of all restarts.
        queue = NewsQueue()
        for number in range(1000):
            queue.add(self.entry(number), Priority.NORMAL, 100)
        queue.add(self.entry(5, "draining"), Priority.URGENT, 100)
        first = queue.take(200)[0]
        self.assertEqual("draining", first.servers[0].record.state)

    def test_newer_news_replaces_older_and_each_is_sent_a_bounded_time(self):
        queue = NewsQueue()
        for _ in range(100):
            queue.add(self.entry(1), Priority.NORMAL, 1000)
        sent = 0
        while queue.take(1000):
            sent += 1
        self.assertLessEqual(sent, 8)


class SuspicionsTests(TestCase):
    def test_one_suspecter_never_makes_a_death_and_more_are_quicker(self):
        # A node whose own link or task is at fault finds all others silent.
        suspicions = Suspicions()
        epoch = Epoch(1, 0)
        suspicions.add("lonely", epoch, "node-1", 0.0)
        suspicions.add("agreed", epoch, "node-1", 0.0)
        for by in ("node-2", "node-3", "node-4"):
            suspicions.add("agreed", epoch, by, 0.5)
        early = suspicions.expire(3, TIMEOUT_MIN_S)
        self.assertEqual([("agreed", epoch, True)], early)
        late = suspicions.expire(3, TIMEOUT_MAX_S)
        self.assertEqual([("lonely", epoch, False)], late)


class IncarnationTests(TestCase):
    def test_an_incarnation_that_cannot_be_outbid_is_refused(self):
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert(["n", "node-1", 2**60], NodeNews)
        msgspec.convert(["n", "node-1", 2**50], NodeNews)
