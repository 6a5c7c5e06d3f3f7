"""Sharing of hold-outs in other zones among the nodes of one zone."""

import time

from testtools import TestCase

from balsamspindle.membership.directory import Directory
from balsamspindle.requests.zone_hints import PEERS_MAX, ZoneHints
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.wire import HoldOut, NodeRecord, SuspectHint


def node(name: str, zone: str) -> NodeRecord:
    return NodeRecord(name, 1, 0, "r", zone, "", f"at-{name}", "alive")


class ZoneHintsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.own = node("own", "here")
        for record in (self.own, node("mate", "here"), node("other", "there")):
            self.directory.update(record, 0.0)
        self.sent = []
        self.held_out_servers = HeldOutServers()
        self.hints = ZoneHints(
            self.own,
            self.directory,
            lambda address, hint: self.sent.append((address, hint)),
            lambda: self.held_out_servers,
        )

    def share(self, held_out_ms, now_s, zone="there"):
        self.hints.share(node("gate", zone), "server", HoldOut(held_out_ms, 1), now_s)

    def test_a_hold_out_in_another_zone_is_shared_once(self):
        self.share(500.0, 10.0)
        self.assertEqual(
            [("at-mate", SuspectHint("server", HoldOut(500.0, 1)))], self.sent
        )
        self.share(450.0, 10.05)
        self.assertEqual(1, len(self.sent))
        self.share(2000.0, 10.1)
        self.assertEqual(2, len(self.sent))

    def test_hold_outs_in_the_own_zone_and_replies_without_one_are_not_shared(self):
        self.share(500.0, 10.0, zone="here")
        self.share(0.0, 10.0)
        self.assertEqual([], self.sent)

    def test_a_received_hint_is_recorded_and_not_forwarded(self):
        self.hints.receive(SuspectHint("server", HoldOut(60_000.0, 1)))
        self.assertEqual({"server"}, self.held_out_servers.held_out(time.monotonic()))
        self.assertEqual([], self.sent)

    def test_hints_are_sent_to_a_limited_number_of_nodes(self):
        for number in range(100):
            self.directory.update(node(f"mate-{number}", "here"), 0.0)
        self.share(500.0, 10.0)
        self.assertEqual(PEERS_MAX, len(self.sent))
