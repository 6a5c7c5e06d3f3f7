"""Ending callers' listeners and connections without cutting a request."""

import ctypes
import socket
import struct
import time
from collections.abc import Callable

__all__ = ["LAST_CONNECTIONS_S", "close_listener", "close_politely"]

LAST_CONNECTIONS_S = 0.25
ACCEPT_PAUSE_S = 0.02
LINGER_S = 1.0
DISCARD_BYTES = 64 * 1024
DISCARD_MAX_BYTES = 8 * 1024 * 1024

SO_ATTACH_FILTER = 26
# A classic packet filter over the TCP header: drop a segment that has SYN
# and not ACK, keep all others.
_FLAGS_OFFSET = 13
_SYN, _SYN_ACK = 0x02, 0x12
_NO_NEW_CONNECTIONS = (
    (0x30, 0, 0, _FLAGS_OFFSET),  # load the byte with the flags
    (0x54, 0, 0, _SYN_ACK),  # keep SYN and ACK of it
    (0x15, 0, 1, _SYN),  # SYN alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # keep
)


def close_listener(
    listener: socket.socket, take: Callable[[socket.socket], None]
) -> None:
    """Close a listener after all connections that it completed were taken.

    Connections wait in the kernel between their handshake and `accept`. A
    plain close resets them, and the callers see it after they have sent their
    requests. So first the kernel takes no new handshakes (their callers try
    again a little later and are refused, with nothing sent), then what is
    under way gets the time to arrive, and only then the listener closes.

    Parameters
    ----------
    take : callable
        Serves one connection.
    """
    _take_no_new(listener)
    listener.settimeout(ACCEPT_PAUSE_S)
    end_s = time.monotonic() + LAST_CONNECTIONS_S
    waiting = True
    while waiting or time.monotonic() < end_s:
        try:
            connection, _ = listener.accept()
        except TimeoutError:
            waiting = False
            continue
        take(connection)
        waiting = time.monotonic() < end_s + LAST_CONNECTIONS_S
    listener.close()


def _take_no_new(listener: socket.socket) -> None:
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in _NO_NEW_CONNECTIONS
    )
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("HL", len(_NO_NEW_CONNECTIONS), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        # Without filters a connection can still come between the last accept
        # and the close: a window of microseconds in place of none.
        pass


def close_politely(connection: socket.socket) -> None:
    """Close a connection whose last answer was written.

    A close with unread bytes of the caller (a request that crossed our last
    answer, the rest of a refused body) makes the kernel send a reset, which
    throws away the answer before the caller has read it. So only the sending
    side ends first, and the caller's bytes are read for a while, up to a bound.
    """
    end_s, discarded = time.monotonic() + LINGER_S, 0
    try:
        connection.shutdown(socket.SHUT_WR)
        while (left_s := end_s - time.monotonic()) > 0:
            connection.settimeout(left_s)
            data = connection.recv(DISCARD_BYTES)
            discarded += len(data)
            if not data or discarded > DISCARD_MAX_BYTES:
                break
    except OSError:
        # The caller is gone, or sends nothing and does not close.
        pass
    connection.close()
