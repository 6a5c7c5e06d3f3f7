"""How a change that adds many routes at once spreads through a fleet."""

import random

from testtools import TestCase

from balsamspindle.settings.gossip import SettingsGossip
from balsamspindle.settings.reader import is_reader
from balsamspindle.wire.settings_messages import SETTINGS_MESSAGES, SettingsNotice
from tests.member_network import FakeNode, MemberNetwork
from tests.utils import encode as json_bytes

NODES, ZONES = 120, 5
# The readers read the store; the other nodes receive changes from them.
READERS_PER_ZONE = 8
STEP_S = 0.02
# Half of the time that callers are promised. The other half allows for the store's
# answer and for processors that are busy with requests.
IN_FORCE_MAX_S = 1.5


def documents(count: int) -> dict[str, bytes]:
    """Return a service and routes to it, with random names that compress badly."""
    rng = random.Random(7)
    routes = {
        f"operator/routes/{rng.randbytes(6).hex()}": json_bytes(
            {
                "service": "operator/crew",
                "execution": "idempotent",
                "host": f"{rng.randbytes(4).hex()}.example",
                "path_prefix": f"/{rng.randbytes(5).hex()}/",
                "methods": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
                "timeout_ms": 10_000,
                "attempts_max": 3,
            }
        )
        for _ in range(count)
    }
    return {"operator/services/crew": b"{}", **routes}


class SpreadingNode:
    """The member and the settings gossip task of one node of a `MemberNetwork`."""

    def __init__(self, network: MemberNetwork, node: FakeNode) -> None:
        self._network = network
        self.node = node
        self.record = node.settings.own_record(1_000)
        self.configuration = node.configuration
        self.gossip = SettingsGossip(
            self.record,
            node.directory.alive,
            node.member.send_settings,
            node.configuration,
            node.events,
        )
        node.member.register(
            dict.fromkeys(SETTINGS_MESSAGES, self._handle), self._receive_revision
        )

    def is_reader(self) -> bool:
        return is_reader(self.record, self.node.directory.alive(), READERS_PER_ZONE)

    def step(self) -> None:
        self.gossip.tick(self._network.now_s)
        self.node.member.channel.receive(0.0, lambda: self._network.now_s)

    def _handle(self, message) -> None:
        self.gossip.handle(message, self._network.now_s)

    def _receive_revision(self, address: str, revision: int) -> None:
        if revision > self.configuration.revision:
            self._handle(SettingsNotice(address, revision))


class GrowingSettingsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.network = MemberNetwork()
        fake_nodes = [
            self.network.add(number, f"zone-{number % ZONES}")
            for number in range(NODES)
        ]
        self.network.introduce(fake_nodes)
        self.nodes = [SpreadingNode(self.network, fake) for fake in fake_nodes]
        self.readers = [node for node in self.nodes if node.is_reader()]
        self.assertEqual(ZONES * READERS_PER_ZONE, len(self.readers))
        self.routes = documents(3_000)
        self.few_routes = dict(list(self.routes.items())[:1_001])
        for node in self.nodes:
            node.configuration.offer(4, self.few_routes)
        self.run_for(1.0)

    def run_for(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.network.run(STEP_S)
            for node in self.nodes:
                node.step()

    def nodes_behind(self, revision: int) -> list[str]:
        return [
            node.node.node_id
            for node in self.nodes
            if node.configuration.revision < revision
        ]

    def test_a_large_change_is_in_force_everywhere_in_time(self):
        # An operator adds 2,000 routes. A node that doesn't read the store answers 404
        # to callers of the new routes until a peer has sent it the change. If readers
        # sent their whole settings page by page, they would reach their byte caps, and
        # the other nodes would have to wait until the caps allow more bytes.
        for node in self.readers:
            node.configuration.offer(10, self.routes)
        self.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.nodes_behind(10))
        for node in self.nodes:
            self.assertEqual(self.routes, node.configuration.get().documents)

    def test_readers_that_skipped_a_revision_serve_nodes_at_that_revision(self):
        # Changes are made faster than readers read them. Some readers read revisions 10
        # and 14, others go from 4 to 14 directly. A node at revision 10 must get the
        # missing changes from readers of both kinds, although some of them never had
        # revision 10 in force.
        middle = dict(list(self.routes.items())[:2_001])
        for number, node in enumerate(self.readers):
            if number % 2:
                node.configuration.offer(10, middle)
        self.run_for(0.2)
        for node in self.readers:
            node.configuration.offer(14, self.routes)
        self.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.nodes_behind(14))
        for node in self.nodes:
            self.assertEqual(self.routes, node.configuration.get().documents)

    def test_nodes_pull_a_change_within_their_own_zone(self):
        # Traffic between availability zones costs the most. If some nodes of a zone
        # have the new settings, the zone's other nodes must pull the change from them.
        crossed_bytes = 0
        post = self.network.post

        def count(source, target, frame):
            nonlocal crossed_bytes
            sender, receiver = self.network.nodes[source], self.network.nodes[target]
            zones = {
                sender.settings.availability_zone,
                receiver.settings.availability_zone,
            }
            crossed_bytes += len(frame) * (len(zones) > 1)
            post(source, target, frame)

        self.network.post = count
        for node in self.readers:
            node.configuration.offer(10, self.routes)
        self.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], self.nodes_behind(10))
        # The limit allows for notices of the revision and membership messages, which
        # cross zones as well.
        self.assertLess(crossed_bytes, 400_000)
