"""Versions of a store that may come back from an older copy of itself.

A store that comes back so gives the versions out again that it had given out since
the copy. It tells a new era then. A version of ours is one number over both, so that
those of a later era are the larger ones, and none is ever the same as an earlier one.
"""

import threading
import time
from collections.abc import Callable

__all__ = ["StoreEras", "era_of", "number_of", "packed_version"]

# More than a store counts up to: 4,000 writes a second for nine years.
NUMBERS_PER_ERA = 1 << 40


def packed_version(era: int, number: int) -> int:
    """Return the version for an era and the store's own number."""
    return era * NUMBERS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // NUMBERS_PER_ERA


def number_of(version: int) -> int:
    """Return the store's own number of a version."""
    return version % NUMBERS_PER_ERA


class StoreEras:
    """The newest era that this process heard of; safe from all threads.

    Parameters
    ----------
    on_new : callable
        Told each new era but the first.
    on_odd : callable
        Told why an answer's era can't be believed.
    clock : callable, default=time.monotonic
        Tells the present time.

    Attributes
    ----------
    newest : int
        0 before the first, and for a store that has none.
    answered_s : float
        When the store last answered in that era, on the monotonic clock; a peer's
        word does not count.
    """

    def __init__(
        self,
        on_new: Callable[[int], None] = lambda era: None,
        on_odd: Callable[[str], None] = lambda cause: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_new = on_new
        self._on_odd = on_odd
        self._lock = threading.Lock()
        self._clock = clock
        self.newest = 0
        self.answered_s = float("-inf")

    def note(self, told: str | None) -> int | None:
        """Take what an answer says; return its era, None when it is to be dropped.

        Parameters
        ----------
        told : str or None
            None where the answer does not tell one.
        """
        if told is None:
            if self.newest:
                self._on_odd("the store's answer tells no era")
            return self.newest
        if not told.isdecimal():
            self._on_odd(f"the store's era is no number: {told[:40]!r}")
            return None
        era = int(told)
        before = self.hear(era)
        if era < before:
            # It was sent before the store came back: what it tells is gone.
            self._on_odd(f"the store's answer is of era {era}, after {before}")
            return None
        self.answered_s = self._clock()
        return era

    def hear(self, era: int) -> int:
        """Take an era from a peer or the store; return the newest known before."""
        with self._lock:
            before, self.newest = self.newest, max(self.newest, era)
        if before and era > before:
            self._on_new(era)
        return before
