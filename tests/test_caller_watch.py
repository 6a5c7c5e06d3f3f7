"""Detection of a caller that closed its connection."""

import socket

from testtools import TestCase

from balsamspindle.requests.http import HttpConnection, HttpLimits


class CallerLeftTests(TestCase):
    def setUp(self):
        super().setUp()
        self.caller, served = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(served.close)
        served.settimeout(0.2)
        self.connection = HttpConnection(served, HttpLimits())

    def test_a_caller_that_waits_without_sending_has_not_left(self):
        """Guards against a check that blocks while the caller waits for its answer.

        On a socket with a timeout, recv waits for data even with MSG_DONTWAIT.
        `CallerWatch` would wait in recv with its lock held, which delays the answer.
        After the timeout it would report that the caller has left.
        """
        self.assertFalse(self.connection.caller_left())

    def test_a_caller_that_sends_its_next_request_has_not_left(self):
        self.caller.sendall(b"GET / HTTP/1.1\r\n")
        self.assertFalse(self.connection.caller_left())

    def test_a_caller_that_closed_its_connection_has_left(self):
        self.caller.close()
        self.assertTrue(self.connection.caller_left())
