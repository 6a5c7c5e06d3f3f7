"""Acknowledgements that answer no probe of the present process."""

import testtools

from balsamspindle.membership.channel import Peer
from balsamspindle.membership.probing import _Probe
from balsamspindle.membership.transport import Route
from balsamspindle.wire import Ack
from tests.member_network import MemberNetwork


class LateAckTests(testtools.TestCase):
    def test_an_ack_of_another_node_does_not_answer_a_direct_probe(self):
        """Guards against a late answer to an earlier process, which used its number."""
        network = MemberNetwork()
        node, probed, other = (network.add(number, "zone-0") for number in range(3))
        network.introduce([node, probed, other])
        prober = node.member._prober
        record = node.directory.view(probed.node_id).record
        prober._probes[1] = _Probe(record, network.now_s)
        peer = Peer(other.node_id, 1_000, other.address, -1, Route(routing_id=b"0"))
        prober._handle_ack(peer, Ack(1), network.now_s)
        self.assertIn(1, prober._probes)
