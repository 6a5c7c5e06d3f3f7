"""Closes callers' listeners and connections without breaking off a request."""

import ctypes
import socket
import struct
import time
from collections.abc import Callable

__all__ = ["HANDSHAKES_TIMEOUT_S", "close_listener", "close_gracefully"]

HANDSHAKES_TIMEOUT_S = 0.25
ACCEPT_TIMEOUT_S = 0.02
LINGER_S = 1.0
DISCARD_READ_BYTES = 64 * 1024
DISCARD_MAX_BYTES = 8 * 1024 * 1024

SO_ATTACH_FILTER = 26
# A classic BPF program over the TCP header: drops segments with SYN and without ACK,
# which open connections, and keeps all others.
_FLAGS_OFFSET = 13
_SYN, _SYN_ACK = 0x02, 0x12
_DROP_HANDSHAKES_FILTER = (
    (0x30, 0, 0, _FLAGS_OFFSET),  # load the byte with the flags
    (0x54, 0, 0, _SYN_ACK),  # keep SYN and ACK of it
    (0x15, 0, 1, _SYN),  # SYN alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # keep
)


def close_listener(
    listener: socket.socket, serve: Callable[[socket.socket], None]
) -> None:
    """Close a listener after all connections in its backlog have been accepted.

    After their handshake, connections wait in the kernel for `accept`. A plain close
    resets them, possibly after their callers have sent requests. Therefore the kernel
    first drops new handshakes: their callers retry the handshake a little later and
    are refused before they send anything. Handshakes in progress then get time to
    complete, and only after that is the listener closed.

    Parameters
    ----------
    serve : callable
        Called with each accepted connection, to serve it.
    """
    _drop_new_handshakes(listener)
    listener.settimeout(ACCEPT_TIMEOUT_S)
    end_s = time.monotonic() + HANDSHAKES_TIMEOUT_S
    has_pending = True
    while has_pending or time.monotonic() < end_s:
        try:
            connection, _ = listener.accept()
        except TimeoutError:
            has_pending = False
            continue
        serve(connection)
        has_pending = time.monotonic() < end_s + HANDSHAKES_TIMEOUT_S
    listener.close()


def _drop_new_handshakes(listener: socket.socket) -> None:
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in _DROP_HANDSHAKES_FILTER
    )
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("HL", len(_DROP_HANDSHAKES_FILTER), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        # Without the filter, a connection that arrives in the microseconds between
        # the last accept and the close is reset.
        pass


def close_gracefully(connection: socket.socket) -> None:
    """Close a connection after its last answer so that the caller can still read it.

    If bytes from the caller are unread at the close (a request sent before the caller
    saw the last answer, or the rest of a refused body), the kernel sends a reset, and
    the caller loses the answer. Therefore only the sending side is closed first, and
    the caller's bytes are read and discarded, up to a limit in time and in bytes.
    """
    end_s, discarded = time.monotonic() + LINGER_S, 0
    try:
        connection.shutdown(socket.SHUT_WR)
        while (left_s := end_s - time.monotonic()) > 0:
            connection.settimeout(left_s)
            data = connection.recv(DISCARD_READ_BYTES)
            discarded += len(data)
            if not data or discarded > DISCARD_MAX_BYTES:
                break
    except OSError:
        # The caller has left, or neither sends nor closes within LINGER_S.
        pass
    connection.close()
