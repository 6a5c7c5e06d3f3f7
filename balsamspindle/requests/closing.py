"""Closes listeners and callers' connections without interrupting a request."""

import ctypes
import socket
import struct
import time
from collections.abc import Callable

__all__ = ["HANDSHAKES_TIMEOUT_S", "close_listener", "close_gracefully"]

HANDSHAKES_TIMEOUT_S = 0.25
ACCEPT_TIMEOUT_S = 0.02
# How long the backlog is emptied once its size can't grow any more.
BACKLOG_TIMEOUT_S = 2.0
LINGER_S = 1.0
DISCARD_READ_BYTES = 64 * 1024
DISCARD_MAX_BYTES = 8 * 1024 * 1024

SO_ATTACH_FILTER = 26
# Classic BPF program that reads the TCP header. It drops segments that have SYN but not
# ACK set, because these segments open connections, and keeps all others.
_FLAGS_OFFSET = 13
_SYN, _SYN_ACK = 0x02, 0x12
_DROP_HANDSHAKES_FILTER = (
    (0x30, 0, 0, _FLAGS_OFFSET),  # load the flags byte
    (0x54, 0, 0, _SYN_ACK),  # clear all flags but SYN and ACK
    (0x15, 0, 1, _SYN),  # is SYN set, and ACK not set?
    (0x06, 0, 0, 0),  # yes: drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # no: keep the segment
)


def close_listener(
    listener: socket.socket, serve: Callable[[socket.socket], None]
) -> None:
    """Close a listener after all connections in its backlog have been accepted.

    After its handshake, a connection waits in the kernel's backlog for `accept`. If the
    listener were closed while a connection waits, the kernel would reset the
    connection, possibly after its caller has sent a request. Therefore this function
    first installs a filter with which the kernel drops new handshakes. Callers repeat a
    dropped handshake a little later. The listener is closed by then, so these callers
    are refused before they send a request. Handshakes that began before the filter was
    installed have `HANDSHAKES_TIMEOUT_S` to complete before the listener is closed.

    With the filter the backlog gets no more connections, and a slow process has
    `BACKLOG_TIMEOUT_S` to accept all of them. Without the filter, callers may connect
    faster than this function accepts connections, and accepting ends after twice
    `HANDSHAKES_TIMEOUT_S`. Both times are bounded, as a system may take the filter and
    not apply it.

    Parameters
    ----------
    serve : callable
        Called with each accepted connection, to serve it.
    """
    timeout_s = 2 * HANDSHAKES_TIMEOUT_S
    if _drop_new_handshakes(listener):
        timeout_s = BACKLOG_TIMEOUT_S
    listener.settimeout(ACCEPT_TIMEOUT_S)
    started_s = time.monotonic()
    end_s = started_s + HANDSHAKES_TIMEOUT_S
    has_pending = True
    while has_pending or time.monotonic() < end_s:
        try:
            connection, _ = listener.accept()
        except TimeoutError:
            has_pending = False
            continue
        serve(connection)
        has_pending = time.monotonic() < started_s + timeout_s
    listener.close()


def _drop_new_handshakes(listener: socket.socket) -> bool:
    """Install a filter that drops new handshakes; return whether it is installed."""
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in _DROP_HANDSHAKES_FILTER
    )
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("HL", len(_DROP_HANDSHAKES_FILTER), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        # The filter can't be installed, so the listener is closed without it. Then a
        # connection is reset if it arrives in the microseconds between the last
        # `accept` and the close.
        return False
    return True


def close_gracefully(connection: socket.socket) -> None:
    """Close a connection so that the caller can still read the last answer.

    If a connection is closed before this node has read all bytes from the caller, the
    kernel sends a reset, and the caller may lose the last answer. Unread bytes can be a
    request that the caller sent before it read the last answer, or the body of a
    refused request. Therefore only the sending side is closed first. Then the caller's
    bytes are read and discarded until the caller closes the connection, or until
    `LINGER_S` or `DISCARD_MAX_BYTES` is reached.
    """
    end_s, discarded = time.monotonic() + LINGER_S, 0
    try:
        connection.shutdown(socket.SHUT_WR)
        while (remaining_s := end_s - time.monotonic()) > 0:
            connection.settimeout(remaining_s)
            data = connection.recv(DISCARD_READ_BYTES)
            discarded += len(data)
            if not data or discarded > DISCARD_MAX_BYTES:
                break
    except OSError:
        # The caller has disconnected, or LINGER_S passed before it closed the
        # connection.
        pass
    connection.close()
