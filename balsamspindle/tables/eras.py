"""Row versions that keep rising when the store is restored from an older copy.

A restored store assigns again the numbers that it had assigned after the copy was
made, and reports a new era with each answer. A version here combines the era and the
store's number, so versions of a later era are larger and no version occurs twice.
"""

import threading
import time
from collections.abc import Callable

__all__ = ["StoreEras", "era_of", "number_of", "pack_version"]

# 4,000 writes a second for nearly nine years: no store reaches this number.
NUMBERS_PER_ERA = 1 << 40


def pack_version(era: int, number: int) -> int:
    """Combine an era and a number assigned by the store into a version."""
    return era * NUMBERS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era that a version was made from."""
    return version // NUMBERS_PER_ERA


def number_of(version: int) -> int:
    """Return the number within a version that the store assigned."""
    return version % NUMBERS_PER_ERA


class StoreEras:
    """Tracks the newest store era that this process knows of; thread-safe.

    Parameters
    ----------
    on_new : callable
        Called with each new era except the first.
    on_invalid : callable
        Called with the reason when an answer's era is missing, malformed or outdated.
    clock : callable, default=time.monotonic
        Returns the present time in seconds.

    Attributes
    ----------
    newest : int
        0 before the first era is known, and for a store that reports none.
    answered_s : float
        When the store itself last answered in that era, on the monotonic clock. An
        era reported by a peer does not change it.
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

        Returns None when the caller must discard the answer.

        Parameters
        ----------
        reported : str or None
            Era as the store sent it; None where the answer has none.
        """
        if reported is None:
            if self.newest:
                self._on_invalid("the store's answer has no era")
            return self.newest
        if not reported.isdecimal():
            self._on_invalid(f"the store's era is not a number: {reported[:40]!r}")
            return None
        era = int(reported)
        before = self.record_era(era)
        if era < before:
            # Sent before the store was restored: its data may no longer exist.
            self._on_invalid(f"the store's answer is of era {era}, after {before}")
            return None
        self.answered_s = self._clock()
        return era

    def record_era(self, era: int) -> int:
        """Record an era from a peer or the store; return the newest known before."""
        with self._lock:
            before, self.newest = self.newest, max(self.newest, era)
        if before and era > before:
            self._on_new(era)
        return before
