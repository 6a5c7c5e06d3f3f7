"""Estimates a wait for a slot from what occupies the slots now.

The mean service time of a backend server says little about one wait if its routes
differ. A call of 0.1 s that waits behind three uploads of 0.6 s, which started at
different times, gets a slot after about 0.2 s.
"""

import heapq
from collections.abc import Sequence

__all__ = ["expected_remaining_s", "expected_wait_s"]

# A run that has lasted for almost its route's mean time, or longer, is expected to go
# on for this fraction of the mean, because service times vary.
REMAINING_FRACTION_MIN = 0.25


def expected_remaining_s(mean_s: float, elapsed_s: float) -> float:
    """Return the expected remaining time of a run whose route takes `mean_s`."""
    return max(mean_s - elapsed_s, REMAINING_FRACTION_MIN * mean_s)


def expected_wait_s(
    slot_ends_s: Sequence[float],
    ahead_s: Sequence[float],
    free_slots: int,
    slots: int,
    effective_slots: float,
) -> float:
    """Return the expected time until a slot is free for an attempt.

    Parameters
    ----------
    slot_ends_s : sequence of float
        Times until the occupied slots become free.
    ahead_s : sequence of float
        Service times of the waiting attempts that start before this one, in any order.
    free_slots : int
        Free slots that the attempt may use. Fewer than there are if some are reserved
        for heavier attempts; negative if there are fewer than occupied.
    slots : int
        All slots that may be used.
    effective_slots : float
        Average number of slots that heavier attempts leave free. The wait is longer by
        as much as these attempts delay lighter ones.
    """
    if len(ahead_s) < free_slots:
        return 0.0
    ends_s = [*slot_ends_s, *[0.0] * max(0, free_slots)]
    if not ends_s:
        return 0.0
    heapq.heapify(ends_s)
    # A slot that is reserved, or that must not be occupied again, passes by unused.
    for _ in range(min(-free_slots, len(ends_s) - 1)):
        heapq.heappop(ends_s)
    for run_s in ahead_s:
        heapq.heapreplace(ends_s, ends_s[0] + run_s)
    return ends_s[0] * (slots / effective_slots)
