"""Closing of listeners and connections, on plain sockets."""

import contextlib
import socket
import threading
import time
from unittest import mock

from testtools import TestCase

from balsamspindle.requests import closing
from balsamspindle.requests.closing import (
    HANDSHAKES_TIMEOUT_S,
    close_gracefully,
    close_listener,
)

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
CALLERS = 8


def serve(connection: socket.socket) -> None:
    """Answer one request and close."""
    connection.recv(len(REQUEST))
    connection.sendall(ANSWER)
    close_gracefully(connection)


class ClosingTests(TestCase):
    def test_connections_in_the_backlog_are_served(self):
        # Guards against resets of connections in the listener's backlog. The caller has
        # connected and sent a request, but the listener closes before it accepts the
        # connection.
        listener = socket.create_server(("127.0.0.1", 0), backlog=CALLERS)
        callers = [
            socket.create_connection(listener.getsockname(), 5) for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.sendall(REQUEST)
            self.addCleanup(caller.close)
        close_listener(
            listener,
            lambda accepted: threading.Thread(target=serve, args=[accepted]).start(),
        )
        self.assertEqual([ANSWER] * CALLERS, [caller.recv(100) for caller in callers])

    def test_connections_in_the_backlog_are_served_by_a_slow_process(self):
        # Guards against resets of connections in the listener's backlog, when the
        # process that closes the listener gets too little processor time to accept
        # them within the time in which handshakes complete.
        listener = socket.create_server(("127.0.0.1", 0), backlog=CALLERS)
        callers = [
            socket.create_connection(listener.getsockname(), 5) for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.sendall(REQUEST)
            self.addCleanup(caller.close)

        def serve_after_a_stall(connection):
            time.sleep(4 * HANDSHAKES_TIMEOUT_S / CALLERS)
            threading.Thread(target=serve, args=[connection]).start()

        close_listener(listener, serve_after_a_stall)
        self.assertEqual([ANSWER] * CALLERS, [caller.recv(100) for caller in callers])

    def test_the_close_ends_where_the_filter_has_no_effect(self):
        # Guards against a node that never stops, on a system that takes the filter and
        # still completes handshakes, while callers keep connecting.
        address, done = ("127.0.0.1", 0), threading.Event()
        listener = socket.create_server(address, backlog=CALLERS)
        address = listener.getsockname()

        def connect():
            while not done.is_set():
                with contextlib.suppress(OSError):
                    socket.create_connection(address, 1).close()

        callers = threading.Thread(target=connect)
        with mock.patch.object(closing, "_drop_new_handshakes", return_value=True):
            callers.start()
            try:
                close_listener(listener, socket.socket.close)
            finally:
                done.set()
                callers.join()
        self.assertEqual(-1, listener.fileno())

    def test_callers_that_connect_during_the_close_are_served_or_refused(self):
        # Guards against resets, after which a caller does not know whether its request
        # was run. While the listener closes, callers connect one after the other, as
        # fast as possible. Each caller must be either answered or refused when it
        # connects.
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        address = listener.getsockname()
        faults, answered = [], []

        def call_until_refused():
            while True:
                try:
                    caller = socket.create_connection(address, 10)
                except ConnectionRefusedError:
                    return
                try:
                    with caller:
                        caller.sendall(REQUEST)
                        answered.append(caller.recv(100) == ANSWER)
                except OSError as error:
                    faults.append(error)

        callers = [threading.Thread(target=call_until_refused) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        for _ in range(100):
            serve(listener.accept()[0])
        close_listener(listener, serve)
        for caller in callers:
            caller.join()
        self.assertEqual([], faults)
        self.assertTrue(all(answered))
        self.assertGreaterEqual(len(answered), 100)

    def test_an_answer_is_delivered_despite_unread_bytes(self):
        # Guards against a lost answer. The caller sends a request before it has read
        # the last answer. If the connection were closed while bytes are unread, it
        # would be reset and the answer discarded.
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname(), 5)
        self.addCleanup(caller.close)
        connection, _ = listener.accept()
        caller.sendall(REQUEST)
        connection.sendall(ANSWER)
        closing = threading.Thread(target=close_gracefully, args=[connection])
        closing.start()
        self.assertEqual(ANSWER, caller.recv(100))
        caller.sendall(REQUEST)
        self.assertEqual(b"", caller.recv(100))
        caller.close()
        closing.join()
