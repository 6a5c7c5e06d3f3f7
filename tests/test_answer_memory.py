"""Reservations of memory for large answers, without a network."""

import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from balsamspindle.backend_servers.answer_memory import (
    UNRESERVED_BYTES,
    AnswerMemory,
    Reservation,
)
from balsamspindle.backend_servers.answers import AnswerReader
from tests.utils import wait_until

MAX_BYTES = 1000
BODY_MAX_BYTES = 8 * UNRESERVED_BYTES


def _never() -> bool:
    return False


class AnswerMemoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.waits = []
        self.memory = AnswerMemory(MAX_BYTES, self.waits.append)

    def _reserve(self, size_bytes, wait_s=10.0, is_cancelled=_never) -> bool:
        deadline_s = time.monotonic() + wait_s
        return self.memory.reserve(size_bytes, deadline_s, is_cancelled)

    def test_a_call_waits_until_another_one_gives_memory_back(self):
        # Guards against a node that holds more than it may, and against an answer
        # that is lost because others are large.
        self.assertTrue(self._reserve(700))
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self._reserve, 400)
            wait_until(lambda: self.waits, "the second call waits")
            self.assertEqual([700], self.waits)
            self.assertFalse(waiting.done())
            self.memory.release(700)
            self.assertTrue(waiting.result())
        self.assertEqual(400, self.memory.reserved_bytes())

    def test_a_call_gives_up_at_its_deadline_or_cancellation(self):
        self.assertTrue(self._reserve(MAX_BYTES))
        self.assertFalse(self._reserve(1, wait_s=0.05))
        self.assertFalse(self._reserve(1, is_cancelled=lambda: True))
        self.assertEqual(MAX_BYTES, self.memory.reserved_bytes())

    def test_a_body_over_the_bound_is_reserved_alone(self):
        # Guards against an answer that no node could ever receive.
        self.assertTrue(self._reserve(2 * MAX_BYTES))
        self.assertFalse(self._reserve(1, wait_s=0.0))

    def test_a_reservation_is_given_back_once(self):
        deadline_s = time.monotonic() + 10
        reservation = Reservation(self.memory, deadline_s, _never)
        self.assertTrue(reservation.make(600))
        denied = Reservation(self.memory, time.monotonic(), _never)
        self.assertFalse(denied.make(600))
        self.assertEqual((False, True), (reservation.is_denied, denied.is_denied))
        for one in (denied, reservation, reservation):
            one.release()
        self.assertEqual(0, self.memory.reserved_bytes())


class BodyReservationTests(TestCase):
    """What the body of an answer reserves, and when."""

    def _read(self, head: bytes, *chunks: int) -> list[int]:
        """Read a head and chunks of given sizes; return the sizes that were reserved.

        The first line of the head is left out.
        """
        reserved = []
        reader = AnswerReader(
            BODY_MAX_BYTES, reserve=lambda size: reserved.append(size) or True
        )
        reader.on_header(b"HTTP/1.1 200 OK\r\n")
        for line in (head + b"\r\n").splitlines(keepends=True):
            reader.on_header(line)
        for size in chunks:
            reader.on_body(b"x" * size)
        return reserved

    def test_a_small_body_reserves_nothing(self):
        self.assertEqual([], self._read(b"", 10, UNRESERVED_BYTES - 10))
        length = b"Content-Length: %d\r\n" % UNRESERVED_BYTES
        self.assertEqual([], self._read(length, UNRESERVED_BYTES))

    def test_a_large_body_reserves_its_declared_length_at_its_first_byte(self):
        length = b"Content-Length: %d\r\n" % (UNRESERVED_BYTES + 1)
        self.assertEqual([UNRESERVED_BYTES + 1], self._read(length, 1, 10))

    def test_a_body_without_a_length_reserves_all_that_it_may_have_once(self):
        for head in (b"", b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"):
            reserved = self._read(head, UNRESERVED_BYTES, 1, UNRESERVED_BYTES)
            self.assertEqual([BODY_MAX_BYTES], reserved, head)
