"""Row versions that keep rising when the store is restored from an older copy.

The store numbers its writes. After a restore, it assigns the numbers again that it had
assigned after the copy was made. Each restore starts a new era with a higher number.
The store reports its current era with each answer. A row version combines the era of
the answer with the number of the write. So versions of a later era are larger, and two
writes never have the same version.
"""

import threading
import time
from collections.abc import Callable

__all__ = ["StoreEras", "era_of", "number_of", "pack_version"]

# More writes than a store makes within an era: 4,000 a second for nearly nine years.
NUMBERS_PER_ERA = 1 << 40
# Peers drop messages with a higher era.
ERA_MAX = 1 << 53
ERA_DIGITS_MAX = 20


def pack_version(era: int, number: int) -> int:
    """Combine an era and the number that the store gave a write into a row version."""
    return era * NUMBERS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era that a row version contains."""
    return version // NUMBERS_PER_ERA


def number_of(version: int) -> int:
    """Return the number of the write that a row version contains."""
    return version % NUMBERS_PER_ERA


class StoreEras:
    """Tracks the newest store era that this process knows of; thread-safe.

    Parameters
    ----------
    on_new : callable
        Called with each era that is higher than `newest`, except the first known era.
    on_invalid : callable
        Called with a message when the era of an answer is missing, malformed or older
        than `newest`.
    clock : callable, default=time.monotonic
        Returns the present time in seconds, on a monotonic clock.

    Attributes
    ----------
    newest : int
        Newest known era; 0 if none is known or the store reports none.
    answered_s : float
        Time on `clock` at which the store last sent an answer whose era was not older
        than `newest`; minus infinity before the first. An era that a peer reports does
        not change this time.
    """

    def __init__(
        self,
        on_new: Callable[[int], None] = lambda era: None,
        on_invalid: Callable[[str], None] = lambda cause: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_new = on_new
        self._on_invalid = on_invalid
        self._lock = threading.Lock()
        self._clock = clock
        self.newest = 0
        self.answered_s = float("-inf")

    def record_answer(self, reported: str | None) -> int | None:
        """Record the era of a store answer and return it.

        Returns `newest` if the answer has no era. Returns None if the caller must
        discard the answer, because its era is malformed or older than `newest`.

        Parameters
        ----------
        reported : str or None
            Era in the store's answer; None if the answer has none.
        """
        if reported is None:
            if self.newest:
                self._on_invalid("the store's answer has no era")
            return self.newest
        # `int` raises an exception for thousands of digits.
        is_number = reported.isdecimal() and len(reported) <= ERA_DIGITS_MAX
        if not is_number or int(reported) > ERA_MAX:
            self._on_invalid(
                f"the store's era is no number up to {ERA_MAX}: {reported[:40]!r}"
            )
            return None
        era = int(reported)
        before = self.record_era(era)
        if era < before:
            # The store sent the answer before it was restored, so the data in the
            # answer may no longer exist. `before` is the highest era recorded so far.
            self._on_invalid(f"the store's answer is of era {era}, after {before}")
            return None
        self.answered_s = self._clock()
        return era

    def record_era(self, era: int) -> int:
        """Record an era from a peer or the store; return the previous `newest`."""
        with self._lock:
            before, self.newest = self.newest, max(self.newest, era)
        if before and era > before:
            self._on_new(era)
        return before
