"""After a page that left out records, a node asks the same peer for the rest."""

import testtools

from balsamspindle.membership.channel import Peer
from balsamspindle.membership.transport import Route
from balsamspindle.wire import Page
from tests.member_network import MemberNetwork

ZONE_NODES = 8


class IncompletePageTests(testtools.TestCase):
    def test_the_next_comparison_is_with_the_peer_that_left_out_records(self):
        # Guards against a zone that lacks records, and whose nodes compare with each
        # other instead of with the node of another zone that has them.
        network = MemberNetwork()
        source = network.add(0, "zone-0")
        zone = [network.add(number, "zone-1") for number in range(1, ZONE_NODES + 1)]
        network.introduce([source, *zone])
        peer = Peer(source.node_id, 1_000, source.address, -1, Route(routing_id=b"0"))
        for node in zone:
            asked: list[str] = []
            sync = node.member.anti_entropy
            node.member.channel.send = lambda address, *_, asked=asked: (
                asked.append(address) or True
            )
            sync.tick(network.now_s)
            sync._handle_page(peer, Page([], remaining_count=3), network.now_s)
            asked.clear()
            sync.tick(network.now_s + 0.5)
            self.assertIn(source.address, asked)
