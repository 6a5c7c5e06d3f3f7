"""The slots of one backend server: how many there are, and which are taken."""

import math
from enum import StrEnum

__all__ = ["SlotAccount", "WorkEnd", "ramped_slots"]

# Of the newest sample in the mean service time.
SAMPLE_SHARE = 0.1
HOLD_MIN_S = 0.1
HOLD_MAX_S = 5.0


class WorkEnd(StrEnum):
    """What is known of the backend server's work when an attempt ends."""

    # Answered: done, and it shows how long a request takes.
    ANSWERED = "answered"
    # Done or never begun: refused, an error, a closed connection.
    DONE = "done"
    # It may still run.
    IN_DOUBT = "in_doubt"


class SlotAccount:
    """Counts the work that a backend server has, as far as its gate can know.

    An attempt that ended without an answer (timed out, cancelled, broken)
    may still run at the backend server. Its slot stays taken for as long
    again as the attempt had run: without that, a backend server that hangs
    gets a new request for each one that timed out, far above its slots; for
    ever, and a backend server that lost one answer would never be full again.
    A backend server that honours cancellation or its deadline within that
    time never has more work than slots.

    Attributes
    ----------
    service_time_s : float
        Mean time of an answered request; 0 before the first.
    """

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self._running = 0
        self._held_until_s: list[float] = []

    def free(self, slots: int, now_s: float) -> int:
        """Return the free ones of `slots`; below 0 when they became fewer."""
        self._held_until_s = [end for end in self._held_until_s if end > now_s]
        return slots - self._running - len(self._held_until_s)

    def take(self) -> None:
        """Take one slot for an attempt."""
        self._running += 1

    def give_back(self, end: WorkEnd, ran_s: float, now_s: float) -> None:
        """End an attempt that ran for `ran_s`."""
        self._running -= 1
        match end:
            case WorkEnd.IN_DOUBT:
                hold_s = min(max(ran_s, HOLD_MIN_S), HOLD_MAX_S)
                self._held_until_s.append(now_s + hold_s)
            case WorkEnd.ANSWERED:
                if not self.service_time_s:
                    self.service_time_s = ran_s
                self.service_time_s += SAMPLE_SHARE * (ran_s - self.service_time_s)

    def next_change_s(self) -> float:
        """Return when the next held slot becomes free; infinity for none."""
        return min(self._held_until_s, default=math.inf)


def ramped_slots(slots: int, age_s: float, cold_start_s: float) -> int:
    """Return the slots that a backend server of this age is given.

    A cold backend server that gets its full share at once times out on most
    of it. It starts with one request and has all its slots after
    `cold_start_s`.
    """
    if age_s >= cold_start_s:
        return slots
    return max(1, int(slots * age_s / cold_start_s))
