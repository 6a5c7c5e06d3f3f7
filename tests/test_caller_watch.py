"""Whether the caller of a request is still there."""

import socket

from testtools import TestCase

from balsamspindle.requests.http import HttpConnection, HttpLimits


class CallerGoneTests(TestCase):
    def setUp(self):
        super().setUp()
        self.caller, served = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(served.close)
        served.settimeout(0.2)
        self.connection = HttpConnection(served, HttpLimits())

    def test_a_caller_that_waits_in_silence_is_not_gone(self):
        """A caller waits for its answer and its request runs at the own gate.

        The watch asks whether it is gone. On a socket with a timeout a read
        waits for data, even one that asks not to wait: the watch stood still
        with its lock held, the answer was not passed on, and after the
        timeout the caller was taken for gone.
        """
        self.assertFalse(self.connection.caller_gone())

    def test_a_caller_with_a_next_request_is_not_gone(self):
        self.caller.sendall(b"GET / HTTP/1.1\r\n")
        self.assertFalse(self.connection.caller_gone())

    def test_a_caller_that_closed_is_gone(self):
        self.caller.close()
        self.assertTrue(self.connection.caller_gone())
