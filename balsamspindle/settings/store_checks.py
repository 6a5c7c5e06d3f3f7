"""Decides when a reader checks the store, and when its long poll has missed a change.

A long poll without an answer does not show that nothing changed: its answer may have
been lost on a connection that stays open. A change wakes the polls of all readers at
the same moment, so a fault of half a second can take all of them. Therefore readers
also make calls that are answered at once, each at a time of its own. A change that all
polls missed is found by the next of these checks, and gossip tells the other nodes.
"""

import threading
from typing import NamedTuple

from balsamspindle.settings.reader_selection import ReaderPosition

__all__ = ["CheckSchedule", "PollWatch"]

# Checks of all readers together. A change has to be in force two seconds after it was
# confirmed, and gossip needs up to one of them.
FLEET_CHECKS_PER_S = 2.0
# Time after a poll's change became known from elsewhere within which the store answers
# the poll, even if the store is slow.
POLL_ANSWER_MAX_S = 2.0


class CheckSchedule:
    """The times of one reader's checks; used by one task alone.

    The checks of all readers are spread evenly over a period, by the readers' positions
    and the time of day. If clocks differ, the times are spread at random instead. The
    period is that of the most readers known so far, because nodes that are cut off from
    each other soon know few others, and would all check often.
    """

    def __init__(self) -> None:
        self._count_max = 1

    def next_wait_s(self, position: ReaderPosition, wall_s: float) -> float:
        """Return the time until this reader's next check.

        Parameters
        ----------
        wall_s : float
            Present time of day.
        """
        self._count_max = max(self._count_max, position.count)
        period_s = self._count_max / FLEET_CHECKS_PER_S
        due_s = period_s * position.index / position.count
        return (due_s - wall_s) % period_s


class _OpenPoll(NamedTuple):
    revision: int
    overdue_s: float | None


class PollWatch:
    """Finds out that an open poll should have returned a change by now; thread-safe.

    A revision that came in force since the poll began, from a peer or by another call,
    is a change that the poll should return. If the store lacks it, since the store was
    restored from a copy, the next poll begins with that revision in force.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._poll: _OpenPoll | None = None

    def record_began(self, revision: int) -> None:
        """Record that a poll begins while `revision` is in force."""
        with self._lock:
            self._poll = _OpenPoll(revision, None)

    def record_ended(self) -> None:
        """Record that the poll ended."""
        with self._lock:
            self._poll = None

    def is_overdue(self, revision: int, now_s: float) -> bool:
        """Return whether the open poll has missed a change.

        Parameters
        ----------
        revision : int
            Revision that is in force now.
        """
        with self._lock:
            poll = self._poll
            if poll is None or revision <= poll.revision:
                return False
            if poll.overdue_s is None:
                self._poll = poll._replace(overdue_s=now_s + POLL_ANSWER_MAX_S)
                return False
            return now_s >= poll.overdue_s
