"""CPU of the sockets between members with and without keys, for `bench.membership`."""

import time

import zmq

from balsamspindle.membership.transport import ZmqTransport
from balsamspindle.wire.security import FleetKeys, start_authenticator
from tests.utils import free_address

ZMQ_MESSAGES = 2_000
ZMQ_CONNECTS = 200


def measure_zmq(keys: FleetKeys | None = None) -> dict:
    """Return the microseconds of CPU of a round trip, on an open and a new connection.

    The figures include both ends, the I/O thread of ZeroMQ and, with keys, the
    authenticator, because all of them run in this process.
    """
    context = zmq.Context()
    authenticator = start_authenticator(context, keys)
    address = free_address()
    near = ZmqTransport(context, free_address(), keys)
    far = ZmqTransport(context, address, keys)
    _echo(near, far, address)
    started_s = time.process_time()
    for _ in range(ZMQ_MESSAGES):
        _echo(near, far, address)
    message_us = 1e6 * (time.process_time() - started_s) / ZMQ_MESSAGES
    started_s = time.process_time()
    for _ in range(ZMQ_CONNECTS):
        near.disconnect(address)
        _echo(near, far, address)
    connect_us = 1e6 * (time.process_time() - started_s) / ZMQ_CONNECTS
    near.close()
    far.close()
    if authenticator is not None:
        authenticator.stop()
    context.term()
    return {
        "ping_and_ack_us_both_ends": message_us,
        "connect_ping_and_ack_us_both_ends": connect_us,
    }


def new_keys() -> FleetKeys:
    """Return a new CURVE key pair."""
    return FleetKeys(*(key.decode() for key in zmq.curve_keypair()))


def _echo(near: ZmqTransport, far: ZmqTransport, address: str) -> None:
    near.send(address, b"x" * 120)
    for received in far.receive(5.0):
        far.answer(received.route, received.frame)
    near.receive(5.0)
