"""Bounds the memory of all answers that a node receives at the same time.

A small part of each body needs no reservation. Before a body grows beyond that part,
its call reserves the size that the body may have, and waits if too much is reserved. A
call that waits reads no more bytes, so the backend server has to wait as well. No call
reserves twice, so no two calls wait for each other.
"""

import threading
import time
from collections.abc import Callable

__all__ = ["UNRESERVED_BYTES", "AnswerMemory", "Reservation"]

UNRESERVED_BYTES = 128 * 1024
# A complete body is copied for its reply, so a node may hold three times as much.
ANSWER_MEMORY_BYTES = 48 * 1024 * 1024
# How often a waiting call checks whether it was cancelled.
CHECK_INTERVAL_S = 0.1


class AnswerMemory:
    """Reservations of memory for large bodies; thread-safe.

    Parameters
    ----------
    max_bytes : int, default=ANSWER_MEMORY_BYTES
        Sum of all reservations. A body that is larger is reserved alone.
    on_full : callable
        Called when a call has to wait, with the number of reserved bytes.
    """

    def __init__(
        self,
        max_bytes: int = ANSWER_MEMORY_BYTES,
        on_full: Callable[[int], None] = lambda reserved_bytes: None,
    ) -> None:
        self._max_bytes = max_bytes
        self._on_full = on_full
        self._changed = threading.Condition()
        self._reserved_bytes = 0

    def reserve(
        self, size_bytes: int, deadline_s: float, is_cancelled: Callable[[], bool]
    ) -> bool:
        """Reserve memory, and wait for it; return False if there is none in time.

        Parameters
        ----------
        deadline_s : float
            Until when to wait (monotonic).
        is_cancelled : callable
            Returns whether to stop waiting.
        """
        if not self._fits(size_bytes):
            self._on_full(self._reserved_bytes)
        with self._changed:
            while not self._fits(size_bytes):
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or is_cancelled():
                    return False
                self._changed.wait(min(remaining_s, CHECK_INTERVAL_S))
            self._reserved_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Give reserved memory back."""
        with self._changed:
            self._reserved_bytes -= size_bytes
            self._changed.notify_all()

    def reserved_bytes(self) -> int:
        """Return the sum of all reservations."""
        return self._reserved_bytes

    def _fits(self, size_bytes: int) -> bool:
        reserved_bytes = self._reserved_bytes
        return not reserved_bytes or reserved_bytes + size_bytes <= self._max_bytes


class Reservation:
    """The reservation of one call; parameters as of `AnswerMemory.reserve`.

    Attributes
    ----------
    is_denied : bool
        Whether there was no memory in time.
    """

    def __init__(
        self,
        memory: AnswerMemory,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> None:
        self.is_denied = False
        self._memory = memory
        self._deadline_s = deadline_s
        self._is_cancelled = is_cancelled
        self._size_bytes = 0

    def make(self, size_bytes: int) -> bool:
        """Reserve memory; return whether that succeeded."""
        if self._memory.reserve(size_bytes, self._deadline_s, self._is_cancelled):
            self._size_bytes = size_bytes
            return True
        self.is_denied = True
        return False

    def release(self) -> None:
        """Give the memory back, if any was reserved."""
        if self._size_bytes:
            self._memory.release(self._size_bytes)
            self._size_bytes = 0
