"""The ZeroMQ transport of member messages, beside a connection that died."""

import zmq
from testtools import TestCase

from balsamspindle.membership.transport import SEND_QUEUE_MAX, ZmqTransport
from tests.relay import Flow, Relay
from tests.utils import free_address, wait_until

FRAME_BYTES = 1024 * 1024


class DeadConnectionTests(TestCase):
    def transport(self, address: str) -> ZmqTransport:
        context = zmq.Context()
        transport = ZmqTransport(context, address)
        self.addCleanup(context.term)
        self.addCleanup(transport.close)
        return transport

    def test_a_connection_that_acknowledges_nothing_is_replaced(self):
        receiver_address = free_address()
        receiver = self.transport(receiver_address)
        sender = self.transport(free_address())
        relay = Relay(receiver_address)
        self.addCleanup(relay.close)
        sender.send(relay.address, b"first")
        wait_until(lambda: receiver.receive(0.1), "the first frame arrives")
        # The relay reads no more. Once its buffers are full, no data is acknowledged.
        relay.forward = Flow.HOLD
        for _ in range(SEND_QUEUE_MAX):
            sender.send(relay.address, bytes(FRAME_BYTES))
        known = list(relay._sockets)
        wait_until(
            lambda: any(one not in known for one in relay._sockets),
            "a new connection",
            10.0,
        )
