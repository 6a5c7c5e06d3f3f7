"""Membership under faults: real members on a simulated network and clock."""

import random

import msgspec
from testtools import TestCase

from balsamspindle.membership.budget import BURST_S
from balsamspindle.membership.news_queue import NewsQueue, Priority
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
        leaving.member.state.announce_leaving(self.network.now_s)
        self.network.run(1.0)
        self.assertEqual("leaving", other.directory.view(leaving.node_id).record.state)
        self.network.kill(leaving)
        self.assert_all_alive(10, [other])

    def test_a_link_broken_in_one_direction_causes_no_deaths(self):
        # A's messages to B are lost, all other links work. A's probes of B, and
        # B's probes of A, are not answered directly, but indirect probes by
        # other nodes are. If B were declared dead on the direct probes alone,
        # the fleet would lose B's capacity.
        a, b, *_ = self.start(8)
        self.network.delivers = lambda source, target: (source, target) != (a, b)
        self.network.run(180)
        self.assertEqual(0, count_events(self.nodes, "node_dead"))
        self.assertEqual(0, count_events(self.nodes, "node_suspected"))
        self.assert_all_alive(1)

    def test_repeated_suspicions_by_a_single_node_cause_no_death(self):
        # A's probes of B fail repeatedly, and so do the indirect probes, while
        # all other nodes reach B. A single suspecter is not enough to declare
        # B dead: the suspicion reaches B, which refutes it.
        a, b, *_ = self.start(8)
        for _ in range(20):
            a.member.state.record_failed_probe(
                a.directory.view(b.node_id).record, self.network.now_s
            )
            self.network.run(5)
        self.assertEqual(0, count_events(self.nodes, "node_dead"))
        self.assertIn(b.node_id, a.alive())

    def test_a_node_that_receives_nothing_declares_no_node_dead(self):
        # B can send but receives nothing. B must not declare the others dead. Each of
        # the others declares B dead exactly once.
        b, *others = self.start(8)
        self.network.delivers = lambda source, target: target is not b
        self.network.run(120)
        self.assertEqual(0, b.events.counts["node_dead"])
        self.assertLessEqual(b.events.counts["node_suspected"], 1)
        self.assertTrue(b.member.isolated)
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.network.delivers = lambda source, target: True
        self.assert_all_alive(30)
        self.assertFalse(b.member.isolated)

    def test_a_node_that_no_peer_can_connect_to_does_not_flap(self):
        # No node can open a connection to B, so no request reaches B's gate. B's own
        # connections work both ways, so B learns that it was declared dead. If B
        # refuted its death, the other nodes would see it alternate between dead and
        # alive.
        b, *others = self.start(8)
        self.network.allows_connection = lambda source, target: target is not b
        self.network.run(180)
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.assertFalse(any(b.node_id in node.alive() for node in others))
        self.network.allows_connection = lambda source, target: True
        self.assert_all_alive(30)

    def test_a_node_whose_messages_are_lost_returns_when_the_link_heals(self):
        # B receives, but all that it sends is lost. B learns that it is suspected and
        # cannot refute the suspicion. The others declare B dead only once.
        b, *others = self.start(8)
        self.network.delivers = lambda source, target: source is not b
        self.network.run(120)
        self.assertEqual(0, b.events.counts["node_dead"])
        self.assertEqual(len(others), count_events(others, "node_dead"))
        self.network.delivers = lambda source, target: True
        self.assert_all_alive(3)

    def test_two_halves_that_declared_each_other_dead_reunite(self):
        # No node has seed addresses, and dead nodes are not probed regularly. The
        # halves find each other only because each node occasionally pings dead nodes.
        self.network = MemberNetwork()
        self.nodes = [self.network.add(number) for number in range(8)]
        self.network.introduce(self.nodes)
        half = self.nodes[:4]
        self.network.delivers = lambda source, target: (
            (source in half) == (target in half)
        )
        self.assert_all_alive(120, half)
        self.assert_all_alive(120, self.nodes[4:])
        self.network.run(30)
        self.network.delivers = lambda source, target: True
        self.assert_all_alive(30)

    def test_the_smaller_side_of_a_partition_declares_at_most_half_dead(self):
        # Three of nine nodes are cut off. If they declared all of the other six dead,
        # they would lose most of the backend servers.
        nodes = self.start(9)
        minority = nodes[:3]
        self.network.delivers = lambda source, target: (
            (source in minority) == (target in minority)
        )
        self.network.run(120)
        # A node may declare at most half of the nodes of its region dead, so each of
        # the three still considers at least five of the nine alive.
        for node in minority:
            self.assertGreaterEqual(len(node.alive()), 5)
        self.network.delivers = lambda source, target: True
        self.assert_all_alive(90)

    def test_a_resumed_node_declares_no_node_dead_and_rejoins(self):
        # A process is suspended for longer than all time-outs while it has unanswered
        # probes and a suspicion. When it resumes, all its timers have expired, and the
        # others have declared it dead. Meanwhile another node has removed one backend
        # server.
        suspended, changed, *others = self.start(8)
        changed.set_servers(2)
        self.network.run(10)
        victim = others[0]
        suspended.member.state.record_failed_probe(
            suspended.directory.view(victim.node_id).record, self.network.now_s
        )
        suspended.member.state.handle_news(
            [VerdictNews(victim.node_id, 1000, 0, Verdict.SUSPECT, others[1].node_id)],
            self.network.now_s,
            spread=True,
        )
        self.network.pause(suspended)
        self.network.run(60)
        self.assertNotIn(suspended.node_id, others[0].alive())
        changed.servers = changed.servers[:1]
        self.network.run(10)
        self.network.resume(suspended)
        self.assert_all_alive(15)
        self.network.run(10)
        self.assertEqual(0, suspended.events.counts["node_dead"])
        records = {r.node_id: r for r in suspended.directory.records()}
        self.assertEqual(1, len(records[changed.node_id].backend_servers))

    def test_a_failed_probe_does_not_count_against_a_later_epoch(self):
        # A probe is sent while B is down and times out after B is back. If the time-out
        # counted against B's new epoch, each node that returns would be suspected.
        a, b, *_ = self.start(4)
        past_record = a.directory.view(b.node_id).record
        b.member.state.announce_alive(self.network.now_s)
        self.network.run(5)
        a.member.state.record_failed_probe(past_record, self.network.now_s)
        self.assertEqual(0, a.events.counts["node_suspected"])

    def test_a_replaced_node_raises_its_incarnation_above_the_previous_one(self):
        # The wall clock of a replaced VM is behind, so its process starts with a lower
        # incarnation than the previous process had. Unless the new process raises its
        # incarnation, peers ignore its records and route requests to servers that no
        # longer exist.
        old, *others = self.start(5)
        old.set_servers(3, boot_id="old")
        self.network.run(10)
        self.network.kill(old)
        new = self.network.add(0, "zone-0", seeds=others[:2], incarnation=7)
        new.set_servers(1, boot_id="new")
        self.assertTrue(
            self.network.run(
                3, lambda: all(node.knows_servers("new", new) for node in others)
            )
        )
        for node in others:
            record = node.directory.view(new.node_id).full_record()
            self.assertEqual(1, len(record.backend_servers))

    def test_disconnected_regions_do_not_declare_each_other_dead(self):
        # Two regions are disconnected for an hour, so probes between them fail. If
        # nodes declared the other region's nodes dead, they would lose half of the
        # fleet. One node crashes meanwhile. Only the nodes of its own region may
        # declare it dead.
        self.network = MemberNetwork()
        east = [self.network.add(n, "e", "east") for n in range(1)]
        seeds = east[:1]
        east += [self.network.add(n, "e", "east", seeds) for n in range(1, 5)]
        west = [self.network.add(n, "w", "west", seeds) for n in range(10, 15)]
        self.nodes = east + west
        self.assert_all_alive()
        self.network.delivers = lambda source, target: (
            (source in east) == (target in east)
        )
        self.network.run(600)
        victim = west.pop()
        self.network.kill(victim)
        self.network.run(3000)
        dead = [
            fields["peer"]
            for node in self.nodes
            for event, fields in node.events.emitted
            if event == "node_dead"
        ]
        self.assertEqual({victim.node_id}, set(dead))
        self.network.delivers = lambda source, target: True
        self.assert_all_alive(60, east + west)

    def test_a_zone_that_returns_at_once_stays_within_the_byte_cap(self):
        # A third of the nodes come back at the same moment with all their backend
        # servers. No node may exceed its byte cap. Answers to probes must still be
        # sent, so that no live node is declared dead or has to refute a suspicion. In
        # the end every node knows every server.
        cap_bytes_per_s = 1500.0
        nodes = self.start(24, member_bytes_per_s=cap_bytes_per_s)
        zone = nodes[16:]
        for node in zone:
            self.network.kill(node)
        self.assert_all_alive(90, nodes[:16])
        returned = [
            self.network.add(
                node.number,
                "zone-2",
                seeds=nodes[:2],
                incarnation=2000,
                member_bytes_per_s=cap_bytes_per_s,
            )
            for node in zone
        ]
        for node in returned:
            node.set_servers(60, boot_id="2")
        all_nodes = nodes[:16] + returned
        deaths = count_events(all_nodes, "node_dead")
        refuted = count_events(all_nodes, "claim_refuted")
        for _ in range(12):
            spent = [node.member.budget.spent_bytes for node in all_nodes]
            self.network.run(10)
            for node, before in zip(all_nodes, spent, strict=True):
                sent_bytes = node.member.budget.spent_bytes - before
                self.assertLessEqual(sent_bytes, cap_bytes_per_s * (10 + BURST_S))
        self.assertTrue(
            all(node.knows_servers("2", one) for node in all_nodes for one in returned)
        )
        self.assertEqual(deaths, count_events(all_nodes, "node_dead"))
        self.assertEqual(refuted, count_events(all_nodes, "claim_refuted"))

    def test_a_changed_server_is_sent_without_the_whole_record(self):
        self.network = MemberNetwork()
        node = self.network.add(0)
        node.set_servers(25)
        self.network.run(1)
        queue = node.member.state.queue
        while queue.next_batch(100_000):
            pass
        first, *others = node.servers
        node.servers = (first._replace(boot_id="2"), *others)
        self.network.run(1)
        delta = len(msgspec.msgpack.encode(queue.next_batch(100_000)))
        whole = len(msgspec.msgpack.encode(node.member.state.own.full_news()))
        self.assertLess(delta * 10, whole)

    def test_malformed_frames_are_dropped(self):
        # Random, truncated and unknown frames reach the member socket. If one of them
        # raised an exception, the member task would end, and with it the node.
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
            node.member.channel.receive_frame(None, frame, self.network.now_s)
        dropped = sum(
            count
            for why, count in node.member.channel.counts.items()
            if why.startswith("dropped")
        )
        self.assertEqual(len(frames), dropped)
        self.assertEqual(before, node.directory.records())
        self.assertEqual(1, node.member.channel.counts["dropped_unknown_kind"])

    def test_unknown_trailing_fields_of_a_later_version_are_ignored(self):
        node, other = self.start(2)
        frame = encode_member("ping", other.member._sender(), [5, "", [], "new", 1])
        received = node.member.channel.counts["received"]
        route = Route(routing_id=other.address.encode())
        node.member.channel.receive_frame(route, frame, self.network.now_s)
        self.assertEqual(received + 1, node.member.channel.counts["received"])


class NewsQueueTests(TestCase):
    def entry(self, number, state="ready"):
        record = BackendServerRecord(f"server-{number}", "team/a", "1", 6, state)
        return NodeNews("node-1", 1, servers=[ServerEntry(number + 1, record)])

    def test_urgent_news_is_sent_before_a_backlog(self):
        # A burst of restarts fills the queue. If news of a draining server waited
        # behind the burst, the server would receive new work until the burst is sent.
        queue = NewsQueue()
        for number in range(1000):
            queue.add(self.entry(number), Priority.NORMAL, 100)
        queue.add(self.entry(5, "draining"), Priority.URGENT, 100)
        first = queue.next_batch(200)[0]
        self.assertEqual("draining", first.servers[0].record.state)

    def test_newer_news_replaces_older_and_is_sent_a_bounded_number_of_times(self):
        queue = NewsQueue()
        for _ in range(100):
            queue.add(self.entry(1), Priority.NORMAL, 1000)
        sent = 0
        while queue.next_batch(1000):
            sent += 1
        self.assertLessEqual(sent, 8)


class SuspicionsTests(TestCase):
    def test_a_death_needs_several_suspecters_and_more_shorten_the_timeout(self):
        # A node with a broken link or a slow task receives no answer from any other
        # node and suspects all of them. Its suspicions alone must not cause deaths.
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
    def test_an_incarnation_too_high_to_be_exceeded_is_rejected(self):
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert(["n", "node-1", 2**60], NodeNews)
        msgspec.convert(["n", "node-1", 2**50], NodeNews)
