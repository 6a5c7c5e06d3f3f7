"""A large fleet whose nodes start together, as after a loss of power."""

from testtools import TestCase

from tests.member_network import MemberNetwork

NODES, ZONES = 233, 5
# Those that the platform's table of first peers names, four of each zone.
FIRST = 20
BYTES_PER_S = 9_000.0
KNOWN_WITHIN_S = 7.0
# Of what 233 nodes have to learn of each other: 100 bytes a node and peer, most of
# it from peers of the own zone.
CROSSED_MAX_BYTES = 5_000_000


class StartAtSizeTests(TestCase):
    def test_nodes_that_start_together_soon_know_each_other(self):
        # All lost power. A node serves with the backend servers that it knows, so
        # callers are refused for as long as it learns. Each pulled what it lacked
        # bucket by bucket, a message for less than one node, until the byte caps
        # were spent: some knew half of the fleet after 12 s; and four of five
        # bytes went to other zones.
        network = MemberNetwork()
        nodes = [
            network.add(
                number, f"zone-{number % ZONES}", member_bytes_per_s=BYTES_PER_S
            )
            for number in range(NODES)
        ]
        crossed = self._count_crossed_bytes(network)
        first = tuple(node.address for node in nodes[:FIRST])
        for node in nodes:
            node.set_servers(1, services=3)
            node.member.set_contacts(first)
            node.member.channel.receive(0.0, lambda: network.now_s)
        network.run(KNOWN_WITHIN_S)
        known = sorted(len(node.alive()) for node in nodes)
        self.assertGreater(sum(known) / NODES, 0.99 * NODES)
        self.assertGreater(known[NODES // 20], 0.95 * NODES)
        self.assertLess(sum(crossed), CROSSED_MAX_BYTES)

    def _count_crossed_bytes(self, network) -> list[int]:
        """Return a list that gets the sizes of frames between zones."""
        crossed: list[int] = []
        post = network.post

        def count(source, target, frame):
            near, far = network.nodes[source], network.nodes.get(target)
            own_zone = near.settings.availability_zone
            if far is not None and far.settings.availability_zone != own_zone:
                crossed.append(len(frame))
            post(source, target, frame)

        network.post = count
        return crossed
