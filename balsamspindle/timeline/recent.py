"""In-memory buffer of a process's latest events, read over its admin address."""

import heapq
import threading
from collections import deque
from typing import NamedTuple

import msgspec

__all__ = ["EventPage", "RecentEvents"]

# Capacities of the two buffers, in events. With about 250 bytes per event, both buffers
# together take 5 MB.
CONTROL_EVENTS_MAX = 4_096
REQUEST_EVENTS_MAX = 16_384


class EventPage(msgspec.Struct, frozen=True):
    """A page of one process's events.

    Attributes
    ----------
    lines : list of str
        Oldest first.
    last_sequence : int
        The value of `after` for the request of the next page.
    lost : int
        Number of events in the range of this page that were evicted from the buffers.
    more : bool
        Whether there are already events for the next page.
    """

    node_id: str
    incarnation: int
    lines: list[str]
    last_sequence: int
    lost: int
    more: bool


class _BufferedEvent(NamedTuple):
    sequence: int
    line: str


class RecentEvents:
    """Two ring buffers of event lines; thread-safe.

    Events of requests are stored in one buffer, all other events in the second buffer.
    In a single buffer, a few hundred requests per second would within seconds evict the
    line that says why a backend server was ejected.
    """

    def __init__(
        self,
        control_max: int = CONTROL_EVENTS_MAX,
        request_max: int = REQUEST_EVENTS_MAX,
    ) -> None:
        self._lock = threading.Lock()
        self._sequence = 0
        self._control: deque[_BufferedEvent] = deque(maxlen=control_max)
        self._requests: deque[_BufferedEvent] = deque(maxlen=request_max)

    def add(self, line: str, is_request_event: bool) -> None:
        """Append a line to its buffer; if that is full, evict its oldest line."""
        buffer = self._requests if is_request_event else self._control
        with self._lock:
            self._sequence += 1
            buffer.append(_BufferedEvent(self._sequence, line))

    def page(self, node_id: str, incarnation: int, after: int, limit: int) -> EventPage:
        """Return up to `limit` events with sequence numbers above `after`."""
        with self._lock:
            last = self._sequence
            newer = [
                [buffered for buffered in buffer if buffered.sequence > after]
                for buffer in (self._control, self._requests)
            ]
        found = list(heapq.merge(*newer))
        page_events = found[:limit]
        more = len(found) > limit
        page_end = page_events[-1].sequence if more else last
        return EventPage(
            node_id,
            incarnation,
            [buffered.line for buffered in page_events],
            page_end,
            max(0, page_end - after - len(page_events)),
            more,
        )
