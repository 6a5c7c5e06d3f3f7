"""The latest events of one process, for whoever asks it."""

import heapq
import threading
from collections import deque
from typing import NamedTuple

import msgspec

__all__ = ["EventPage", "RecentEvents"]

# About 250 bytes each: 5 MB when both are full.
CONTROL_EVENTS_MAX = 4_096
REQUEST_EVENTS_MAX = 16_384


class EventPage(msgspec.Struct, frozen=True):
    """Some events of one process.

    Attributes
    ----------
    lines : list of str
        Oldest first.
    last_sequence : int
        Ask for events after it next time.
    lost : int
        Events in between that the process no longer keeps.
    more : bool
        Whether the next page has events already.
    """

    node_id: str
    incarnation: int
    lines: list[str]
    last_sequence: int
    lost: int
    more: bool


class _Kept(NamedTuple):
    sequence: int
    line: str


class RecentEvents:
    """A bounded ring of events; safe to use from all threads.

    Events of requests have a ring of their own: at some hundred requests a
    second they would otherwise push out, within seconds, the one line that
    says why a backend server was left out.
    """

    def __init__(
        self,
        control_max: int = CONTROL_EVENTS_MAX,
        request_max: int = REQUEST_EVENTS_MAX,
    ) -> None:
        self._lock = threading.Lock()
        self._sequence = 0
        self._control: deque[_Kept] = deque(maxlen=control_max)
        self._requests: deque[_Kept] = deque(maxlen=request_max)

    def add(self, line: str, of_request: bool) -> None:
        """Keep a line; the oldest of its kind goes when the ring is full."""
        ring = self._requests if of_request else self._control
        with self._lock:
            self._sequence += 1
            ring.append(_Kept(self._sequence, line))

    def page(self, node_id: str, incarnation: int, after: int, limit: int) -> EventPage:
        """Return up to `limit` events with a sequence above `after`."""
        with self._lock:
            last = self._sequence
            rings = [
                [kept for kept in ring if kept.sequence > after]
                for ring in (self._control, self._requests)
            ]
        found = list(heapq.merge(*rings))
        shown = found[:limit]
        more = len(found) > limit
        end = shown[-1].sequence if more else last
        return EventPage(
            node_id,
            incarnation,
            [kept.line for kept in shown],
            end,
            max(0, end - after - len(shown)),
            more,
        )
