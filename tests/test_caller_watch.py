"""Detection of a caller that closed its connection."""

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

    def test_a_caller_that_waits_without_sending_is_not_gone(self):
        """Guards against a check that blocks while the caller waits for its answer.

        On a socket with a timeout, recv waits for data even with MSG_DONTWAIT.
        `CallerWatch` would block in it with its lock held, which delays the answer,
        and after the timeout it would take the caller for one that has left.
        """
        self.assertFalse(self.connection.caller_left())

    def test_a_caller_with_a_next_request_is_not_gone(self):
        self.caller.sendall(b"GET / HTTP/1.1\r\n")
        self.assertFalse(self.connection.caller_left())

    def test_a_caller_that_closed_is_gone(self):
        self.caller.close()
        self.assertTrue(self.connection.caller_left())
