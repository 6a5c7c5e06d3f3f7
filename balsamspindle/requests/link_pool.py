"""Lends links to the gates of other nodes, and bounds their number.

A task acquires a link, uses it exclusively and releases it. The pool's lock is the
memory barrier that ZeroMQ requires when a socket moves between threads.
"""

import threading
import time
from collections import OrderedDict

import zmq

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.links import Link
from balsamspindle.requests.peer_timeout import PeerTimeout
from balsamspindle.timeline import EventLog
from balsamspindle.wire.security import FleetKeys

__all__ = ["CONTEXT_SOCKETS_MAX", "LINKS_MAX", "LinkPool", "LinksExhausted"]

CONNECT_TIMEOUT_S = 0.25
# A link has four descriptors. This number leaves half of the descriptors of a VM that
# allows 4,100 for callers' connections, backend servers and files.
LINKS_MAX = 450
IDLE_LINKS_MAX = 150
IDLE_LINKS_PER_PEER_MAX = 8
# An idle link to a node that is gone is closed after this time; no other event ends it.
IDLE_LINK_MAX_S = 60.0
# A link has three sockets. The rest is for the other sockets of the node, one for each
# thread of the gate among them, and for closed links that still send a cancellation.
CONTEXT_SOCKETS_MAX = 2 * 3 * LINKS_MAX
# How long the pool counts as exhausted after a task got no link.
EXHAUSTED_S = 2.0
EXHAUSTED_EVENT_INTERVAL_S = 1.0


class LinksExhausted(Exception):
    """No link can be opened, because too many are in use."""


class LinkPool:
    """Idle links by peer address, at most `IDLE_LINKS_MAX`; thread-safe.

    Parameters
    ----------
    links_max : int, default=LINKS_MAX
        Maximum number of open links, idle or in use. At this number, the link that has
        been idle for the longest time is closed for a new one.
    """

    def __init__(
        self,
        context: zmq.Context,
        events: EventLog,
        keys: FleetKeys | None = None,
        links_max: int = LINKS_MAX,
    ) -> None:
        self._context = context
        self._keys = keys
        self._events = events
        self._links_max = links_max
        self._lock = threading.Lock()
        self._idle: dict[str, list[Link]] = {}
        # When each idle link was released, the earliest first (monotonic).
        self._released_s: OrderedDict[Link, float] = OrderedDict()
        self._open_count = 0
        self._exhausted_s = self._exhausted_event_s = float("-inf")

    def acquire(
        self,
        address: str,
        deadline_s: float,
        execution: Execution = Execution.NON_IDEMPOTENT,
    ) -> Link | None:
        """Return a working link for exclusive use; None if the peer is unreachable.

        Raises
        ------
        LinksExhausted
        """
        timeout = PeerTimeout(CONNECT_TIMEOUT_S, deadline_s)
        while True:
            link = self._take_idle(address)
            is_new = link is None
            link = link or self._open(address, time.monotonic())
            if link.check_ready(time.monotonic(), timeout, execution):
                return link
            # If a new link fails, or a connected link gets no greeting, the peer
            # is unreachable. Its idle links don't work either and are closed.
            is_unresponsive = link.connected()
            link.close()
            if is_new or is_unresponsive:
                self._close_idle(address)
                return None

    def release(self, link: Link) -> None:
        """Return a link to the pool; close one if too many are idle."""
        with self._lock:
            idle = self._idle.setdefault(link.address, [])
            surplus = link
            if len(idle) < IDLE_LINKS_PER_PEER_MAX:
                idle.append(link)
                self._released_s[link] = time.monotonic()
                surplus = None
                if len(self._released_s) > IDLE_LINKS_MAX:
                    surplus = self._pop_longest_idle()
        if surplus is not None:
            surplus.close()

    def close_unused(self, now_s: float) -> None:
        """Close the links that have been idle for longer than `IDLE_LINK_MAX_S`."""
        unused = []
        with self._lock:
            while self._released_s:
                if now_s - next(iter(self._released_s.values())) <= IDLE_LINK_MAX_S:
                    break
                unused.append(self._pop_longest_idle())
        for link in unused:
            link.close()

    def is_exhausted(self, now_s: float) -> bool:
        """Return whether a task has got no link within the last `EXHAUSTED_S`."""
        return now_s - self._exhausted_s < EXHAUSTED_S

    def open_count(self) -> int:
        """Return the number of open links, idle or in use."""
        return self._open_count

    def close(self) -> None:
        """Close all idle links."""
        for address in list(self._idle):
            self._close_idle(address)

    def _take_idle(self, address: str) -> Link | None:
        with self._lock:
            idle = self._idle.get(address)
            if not idle:
                return None
            link = idle[-1]
            self._remove_idle(link)
            return link

    def _open(self, address: str, now_s: float) -> Link:
        """Open a link; close the longest idle one first if too many are open."""
        replaced = None
        with self._lock:
            if self._open_count >= self._links_max:
                replaced = self._pop_longest_idle()
                if replaced is None:
                    raise self._record_exhaustion("all links are in use", now_s)
            self._open_count += 1
        if replaced is not None:
            replaced.close()
        try:
            return Link(
                self._context,
                address,
                self._keys,
                self._events.metrics,
                self._record_close,
            )
        except zmq.ZMQError as error:
            self._record_close()
            raise self._record_exhaustion(str(error), now_s) from error

    def _record_close(self) -> None:
        with self._lock:
            self._open_count -= 1

    def _record_exhaustion(self, cause: str, now_s: float) -> LinksExhausted:
        self._exhausted_s = now_s
        if now_s - self._exhausted_event_s >= EXHAUSTED_EVENT_INTERVAL_S:
            self._exhausted_event_s = now_s
            self._events.emit("links_exhausted", cause=cause, open=self._open_count)
        return LinksExhausted(cause)

    def _pop_longest_idle(self) -> Link | None:
        link = next(iter(self._released_s), None)
        if link is not None:
            self._remove_idle(link)
        return link

    def _remove_idle(self, link: Link) -> None:
        del self._released_s[link]
        idle = self._idle[link.address]
        idle.remove(link)
        if not idle:
            del self._idle[link.address]

    def _close_idle(self, address: str) -> None:
        with self._lock:
            links = self._idle.pop(address, [])
            for link in links:
                del self._released_s[link]
        for link in links:
            link.close()
