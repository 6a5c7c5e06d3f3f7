"""Membership of real node processes: one-way partitions and suspended processes."""

import signal
import time

import msgspec
import zmq
from testtools import TestCase

from balsamspindle.membership.transport import OPEN_CONNECTIONS_MAX, ZmqTransport
from balsamspindle.wire import Sender
from tests.relay import Flow, Relay
from tests.utils import Fleet, free_address, wait_until


class MemberProcessTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)

    def start_nodes(self, count, relayed=()):
        """Start nodes without a platform, each one in `relayed` behind a relay."""
        self.relays = {}
        nodes = []
        for number in range(count):
            changes = {"platform_address": None}
            if number in relayed:
                address = free_address()
                relay = Relay(address)
                self.addCleanup(relay.close)
                self.relays[number] = relay
                changes["member_address"] = address
                changes["member_advertised_address"] = relay.address
            changes["seed_addresses"] = [
                node.settings.get("member_advertised_address")
                or node.settings["member_address"]
                for node in nodes
            ]
            nodes.append(self.fleet.start_node(f"node-{number}", "zone", **changes))
        self.nodes = nodes
        for node in nodes:
            self.wait_until_lists(node, nodes)
        return nodes

    def listed_ids(self, node):
        status = node.status()
        return None if status is None else {one["node_id"] for one in status["nodes"]}

    def wait_until_lists(self, node, nodes):
        expected = {one.settings["node_id"] for one in nodes}
        wait_until(
            lambda: self.listed_ids(node) == expected,
            f"{node.settings['node_id']} lists {sorted(expected)}",
            30,
        )

    def events(self, node, event):
        lines = node.log_path.read_text().splitlines()
        return [line for line in lines if f" event={event} " in line + " "]

    def test_an_invalid_address_is_rejected(self):
        # Guards against an impossible address in a member's record, to which nodes
        # would try to connect again and again.
        for address in ("999.1.1.1:80", "1.2.3.4:99999", "nonsense", "1.2.3.4:80\n"):
            with self.assertRaises(msgspec.ValidationError):
                msgspec.convert(["node", 1, address], Sender)
        msgspec.convert(["node", 1, "255.1.0.1:65535"], Sender)

    def test_only_a_bounded_number_of_connections_stays_open(self):
        context = zmq.Context()
        self.addCleanup(context.term)
        transport = ZmqTransport(context, free_address())
        self.addCleanup(transport.close)
        for number in range(OPEN_CONNECTIONS_MAX * 2):
            transport.send(f"127.0.0.1:{20_000 + number}", b"x")
        self.assertEqual(OPEN_CONNECTIONS_MAX, transport.open_connections())

    def test_a_killed_node_is_declared_dead_by_the_others(self):
        nodes = self.start_nodes(4)
        nodes[3].kill()
        for node in nodes[:3]:
            self.wait_until_lists(node, nodes[:3])

    def test_a_node_that_no_peer_can_connect_to_does_not_flap(self):
        # All frames that others send to node-0's address are lost, while their
        # connections stay open. Connections that node-0 opens work in both directions.
        # Each of the others declares node-0 dead once. node-0 must not declare any of
        # them dead, and must not refute its own death while no peer reaches its
        # address.
        nodes = self.start_nodes(4, relayed={0})
        self.relays[0].forward = Flow.DROP
        time.sleep(20)
        dead = [line for node in nodes for line in self.events(node, "node_dead")]
        away = [line for line in dead if "peer=node-0" not in line]
        self.assertEqual([], away)
        self.assertLessEqual(len(dead), 3)
        self.relays[0].forward = Flow.PASS
        self.relays[0].reset_connections()
        for node in nodes:
            self.wait_until_lists(node, nodes)

    def test_a_resumed_process_declares_no_node_dead(self):
        # node-0 is suspended by SIGSTOP for longer than all time-outs, and the others
        # declare it dead. After SIGCONT all timers of node-0 have expired. node-0 must
        # discard them, refute its own death and declare no other node dead.
        nodes = self.start_nodes(4)
        nodes[0].signal(signal.SIGSTOP)
        for node in nodes[1:]:
            self.wait_until_lists(node, nodes[1:])
        nodes[0].signal(signal.SIGCONT)
        for node in nodes:
            self.wait_until_lists(node, nodes)
        # Events are written to the log with a short delay.
        wait_until(
            lambda: (
                self.events(nodes[0], "claim_refuted")
                or self.events(nodes[0], "node_woke_up")
            ),
            "node-0 logs that it woke up or refuted its death",
        )
        time.sleep(3)
        self.assertEqual(1, len(self.events(nodes[0], "node_woke_up")))
        self.assertEqual([], self.events(nodes[0], "node_dead"))
