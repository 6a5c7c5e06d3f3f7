"""Refuses callers' connections beyond the number that this node can serve."""

import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.requests.closing import close_gracefully
from balsamspindle.timeline import EventLog, submit_logged

__all__ = ["ConnectionRefuser"]

TASKS_MAX = 4
WAITING_MAX = 64


class ConnectionRefuser:
    """Answers refused connections with the reason for the refusal, and closes them.

    While `WAITING_MAX` connections wait for their answers, further connections are
    closed without an answer.

    Parameters
    ----------
    write_answer : callable
        Writes the answer to a connection; may raise OSError.
    """

    def __init__(
        self, write_answer: Callable[[socket.socket], None], events: EventLog
    ) -> None:
        self._write_answer = write_answer
        self._events = events
        self._executor = ThreadPoolExecutor(TASKS_MAX, "turn-away")
        self._capacity = threading.Semaphore(WAITING_MAX)

    def refuse(self, connection: socket.socket) -> None:
        """Answer and close a connection in the background.

        Closes the connection at once, without an answer, if `WAITING_MAX` connections
        already wait for their answers.
        """
        if self._capacity.acquire(blocking=False):
            submit_logged(
                self._executor, self._events, self._answer_and_close, connection
            )
        else:
            connection.close()

    def shutdown(self) -> None:
        """End the threads when no connection waits for an answer; return at once."""
        self._executor.shutdown(wait=False)

    def _answer_and_close(self, connection: socket.socket) -> None:
        try:
            self._write_answer(connection)
        except OSError:
            # The caller closed the connection before it was answered.
            pass
        finally:
            close_gracefully(connection)
            self._capacity.release()
