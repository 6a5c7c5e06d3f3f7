"""Nodes with fleet keys ignore messages from hosts without the key."""

import time

import zmq
from testtools import TestCase

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    Gossip,
    NodeHeader,
    NodeNews,
    Sender,
    checksum,
    encode,
    encode_member,
)
from tests.utils import call, start_fleet, wait_until

REJECTION_WAIT_S = 3.0
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
    },
}


def new_keys() -> dict:
    public_key, secret_key = (key.decode() for key in zmq.curve_keypair())
    return {"public_key": public_key, "secret_key": secret_key}


class NodeTrustTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.keys = new_keys()
        self.nodes = [
            self.fleet.start_node(f"node-{number}", "zone", fleet_keys=self.keys)
            for number in range(2)
        ]
        self.server = self.fleet.start_backend(
            "contract-0", "crew/contracts", self.nodes[0]
        )
        self.fleet.wait_ready(self.nodes, ["contract-0"])

    def foreign_sockets(self):
        """Return one socket without keys and one with a key that is not allowed."""
        context = zmq.Context()
        # Set on the context, so that it also applies to sockets that are
        # garbage-collected before the context is destroyed.
        context.linger = 0
        self.addCleanup(context.destroy, 0)
        plain = context.socket(zmq.DEALER)
        other = context.socket(zmq.DEALER)
        foreign = new_keys()
        other.curve_publickey = foreign["public_key"].encode()
        other.curve_secretkey = foreign["secret_key"].encode()
        other.curve_serverkey = self.keys["public_key"].encode()
        return plain, other

    def forged_news(self):
        header = NodeHeader("test", "zone", "127.0.0.1:9", "127.0.0.1:9", "alive")
        sender = Sender("stranger", 1, "127.0.0.1:9", 99)
        news = NodeNews("stranger", 1, 1, header)
        return encode_member("gossip", sender, Gossip([news]))

    def forged_dispatch(self):
        return encode(
            Dispatch(
                attempt_id=AttemptId("stranger", 1, 1),
                request_id="forged",
                service="crew/contracts",
                backend_server_id="contract-0",
                execution=Execution.NON_IDEMPOTENT,
                remaining_ms=60_000,
                weight=1.0,
                method="POST",
                target="/contracts/1",
                headers=[("X-Run-Key", "forged")],
                body=b"",
                body_checksum=checksum(b""),
            )
        )

    def test_nodes_with_the_key_serve_each_other_and_stop_cleanly(self):
        answer = call(self.nodes[1].caller_address, "/contracts/1", "POST", b"x")
        self.assertEqual("answered", answer.outcome)
        self.assertEqual(0, self.nodes[1].stop())

    def test_a_foreign_hosts_messages_are_ignored(self):
        # A foreign host that reaches the nodes' addresses announces a node of its own
        # and sends a dispatch directly to a gate. If the nodes accepted these messages,
        # the foreign host would receive callers' requests and run work at backend
        # servers.
        settings = self.nodes[0].settings
        for socket in self.foreign_sockets():
            for address, frame in (
                (settings["member_address"], self.forged_news()),
                (settings["link_address"], self.forged_dispatch()),
            ):
                socket.connect(f"tcp://{address}")
                socket.send(frame)
                time.sleep(REJECTION_WAIT_S / 2)
                socket.disconnect(f"tcp://{address}")
        time.sleep(REJECTION_WAIT_S / 2)
        self.assertEqual({}, self.server.runs())
        for node in self.nodes:
            seen = {one["node_id"] for one in node.status()["nodes"]}
            self.assertEqual({"node-0", "node-1"}, seen)

    def test_a_node_without_the_key_cannot_join(self):
        foreign_node = self.fleet.start_node("node-9", "zone", platform_address=None)
        wait_until(foreign_node.status, "node-9, which has no key, runs")
        time.sleep(REJECTION_WAIT_S)
        self.assertEqual(1, len(foreign_node.status()["nodes"]))
        self.assertEqual(2, len(self.nodes[0].status()["nodes"]))
