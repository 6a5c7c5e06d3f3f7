"""A fake gate that can send replies late, twice, damaged, or with a wrong id."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable

import zmq

from balsamspindle.protocol.outcomes import Reason
from balsamspindle.wire import (
    AdmissionAnswer,
    AdmissionQuery,
    Cancel,
    Dispatch,
    GreetingReply,
    GreetingRequest,
    ReservationRequest,
    decode_link,
    encode,
)

__all__ = ["SILENT", "FakeGate"]

POLL_MS = 20
SILENT = "silent"


class FakeGate:
    """A ROUTER socket that answers dispatches and admission queries as a test says.

    Parameters
    ----------
    answer : callable
        Takes a dispatch; returns (delay_s, frame) pairs. Each frame is sent `delay_s`
        after the dispatch was received.

    Attributes
    ----------
    declines : Reason, None or SILENT
        The reason with which admission queries are declined. None admits them, and
        `SILENT` leaves them unanswered.
    reservations : list of ReservationRequest
        The reservations that were received.
    on_reservation : callable
        Takes a reservation; returns (delay_s, frame) pairs as `answer` does. By default
        reservations wait for ever.
    """

    def __init__(
        self,
        address: str,
        answer: Callable[[Dispatch], list[tuple[float, bytes]]],
    ) -> None:
        self.dispatches: list[Dispatch] = []
        self.cancels: list[Cancel] = []
        self.queries: list[AdmissionQuery] = []
        self.declines: Reason | None | str = None
        self.reservations: list[ReservationRequest] = []
        self.on_reservation = lambda request: []
        self._answer = answer
        self._scheduled: list[tuple[float, int, list[bytes]]] = []
        self._order = itertools.count()
        self._stopped = threading.Event()
        self._context = zmq.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.bind(f"tcp://{address}")
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the gate; its connections are reset, and new connections are refused."""
        self._stopped.set()
        self._thread.join()
        # If `answer` raised an exception, the thread ended without closing its socket.
        # `destroy` closes the socket; `term` would wait for it forever, and the test
        # would hang and not show the exception.
        self._context.destroy(linger=0)

    def _run(self) -> None:
        while not self._stopped.is_set():
            if self._router.poll(self._wait_ms()):
                self._handle_message(self._router.recv_multipart())
            while self._scheduled and self._scheduled[0][0] <= time.monotonic():
                self._router.send_multipart(heapq.heappop(self._scheduled)[2])
        self._router.close()

    def _wait_ms(self) -> int:
        if not self._scheduled:
            return POLL_MS
        return max(
            0, min(POLL_MS, int((self._scheduled[0][0] - time.monotonic()) * 1000))
        )

    def _handle_message(self, frames: list[bytes]) -> None:
        peer, message = frames[0], decode_link(frames[-1])
        match message:
            case GreetingRequest():
                greeting = GreetingReply("gate", 1, time.monotonic())
                self._router.send_multipart([peer, encode(greeting)])
            case AdmissionQuery():
                self.queries.append(message)
                if self.declines != SILENT:
                    answer = AdmissionAnswer(message.number, self.declines, 800.0)
                    self._router.send_multipart([peer, encode(answer)])
            case Cancel():
                self.cancels.append(message)
            case Dispatch():
                self.dispatches.append(message)
                self._schedule(peer, self._answer(message))
            case ReservationRequest():
                self.reservations.append(message)
                self._schedule(peer, self.on_reservation(message))

    def _schedule(self, peer: bytes, answers: list[tuple[float, bytes]]) -> None:
        for delay_s, frame in answers:
            due_s = time.monotonic() + delay_s
            heapq.heappush(self._scheduled, (due_s, next(self._order), [peer, frame]))
