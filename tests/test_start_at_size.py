"""A large fleet whose nodes start together, as after a loss of power."""

from testtools import TestCase

from tests.member_network import MemberNetwork

NODES, ZONES = 233, 5
# The platform's table of first peers lists this many nodes, four of each zone.
FIRST_PEERS = 20
BYTES_PER_S = 9_000.0
START_MAX_S = 7.0
# Each of 233 nodes has to receive 100 bytes about each other node, most of them from
# peers of its own zone.
CROSS_ZONE_MAX_BYTES = 5_000_000


class StartAtSizeTests(TestCase):
    def test_nodes_that_start_together_soon_know_each_other(self):
        # A node refuses callers until it knows the backend servers of their services,
        # so nodes that lost power together have to learn of each other quickly.
        #
        # A node pulls missing records from its peers by bucket. A bucket is the set of
        # nodes whose ids hash to the same number. There are 256 buckets for 233 nodes,
        # so a bucket has less than one node on average. Guards against pulls that each
        # request a single bucket. Most bytes of such pulls would be overhead, which
        # would use up the byte caps. Some nodes would then know only half of the fleet
        # after 12 s, and four of five bytes would go to other zones.
        network = MemberNetwork()
        nodes = [
            network.add(
                number, f"zone-{number % ZONES}", member_bytes_per_s=BYTES_PER_S
            )
            for number in range(NODES)
        ]
        frame_sizes = self._record_cross_zone_bytes(network)
        first_peers = tuple(node.address for node in nodes[:FIRST_PEERS])
        for node in nodes:
            node.set_servers(1, services=3)
            node.member.set_contacts(first_peers)
            node.member.channel.receive(0.0, lambda: network.now_s)
        network.run(START_MAX_S)
        known_counts = sorted(len(node.alive()) for node in nodes)
        self.assertGreater(sum(known_counts) / NODES, 0.99 * NODES)
        self.assertGreater(known_counts[NODES // 20], 0.95 * NODES)
        self.assertLess(sum(frame_sizes), CROSS_ZONE_MAX_BYTES)

    def _record_cross_zone_bytes(self, network) -> list[int]:
        """Return a list to which the size of each frame between zones is added."""
        frame_sizes: list[int] = []
        post = network.post

        def post_recorded(source, target, frame):
            sender, receiver = network.nodes[source], network.nodes.get(target)
            own_zone = sender.settings.availability_zone
            if receiver is not None and receiver.settings.availability_zone != own_zone:
                frame_sizes.append(len(frame))
            post(source, target, frame)

        network.post = post_recorded
        return frame_sizes
