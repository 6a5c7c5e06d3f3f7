"""Shares crashes and quarantines with all nodes within a second.

A node forwards each update that is new to it once, to a few peers. So updates reach
nearly all nodes within a few hops of milliseconds, also while the platform is
unavailable. Each message between members carries a digest of what its sender knows.
When the digests of two nodes differ and no update is under way, they send each other
all that they know. So a node that missed updates, was cut off or has just started
catches up within about a second of its first message.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import CrashUpdate
from balsamspindle.membership.directory import Directory
from balsamspindle.membership.fanout import Fanout
from balsamspindle.wire import NodeRecord

__all__ = ["CrashGossip"]

# A peer's differing digest is ignored for this long after a change here, as the update
# that makes them equal may be under way.
SETTLE_TIME_S = 0.4
REPAIR_INTERVAL_S = 0.8
REPAIRED_PEERS_MAX = 1000
# The first repair of a peer sends crashes up to this age, which it is likely to have
# missed; further repairs send all.
RECENT_S = 15.0
# With six runs each, this many crashes take about 5 KB.
CRASHES_PER_MESSAGE = 40
QUARANTINES_PER_MESSAGE = 100


class CrashGossip:
    """Sends and receives updates on crashes and quarantines; thread-safe.

    Parameters
    ----------
    send : callable
        Takes a member address and a message; must be thread-safe.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        history: CrashHistory,
        send: Callable[[str, CrashUpdate], None],
        clock: Callable[[], float],
    ) -> None:
        self._fanout = Fanout(own, directory, "crashes")
        self._history = history
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._changed_s = float("-inf")
        # Times of the last repairs, by address of the peers whose digests differ.
        self._repaired_s: OrderedDict[str, float] = OrderedDict()

    def share(self, update: CrashUpdate, now_s: float) -> None:
        """Send what is new here to a few peers."""
        if not update.crashes and not update.quarantines:
            return
        with self._lock:
            self._changed_s = now_s
            addresses = self._fanout.choose()
        for address in addresses:
            self._send_in_parts(address, update)

    def receive(self, update: CrashUpdate) -> None:
        """Merge a peer's update and forward the part of it that is new here."""
        now_s = self._clock()
        self.share(self._history.merge(update, now_s), now_s)

    def compare_digest(self, address: str, digest: int, now_s: float) -> None:
        """Send a peer what is known here if its digest differs from this node's."""
        is_same = digest == self._history.digest()
        with self._lock:
            if is_same:
                self._repaired_s.pop(address, None)
                return
            if now_s - self._changed_s < SETTLE_TIME_S:
                return
            repaired_s = self._repaired_s.get(address)
            if repaired_s is not None and now_s - repaired_s < REPAIR_INTERVAL_S:
                return
            self._repaired_s[address] = now_s
            self._repaired_s.move_to_end(address)
            if len(self._repaired_s) > REPAIRED_PEERS_MAX:
                self._repaired_s.popitem(last=False)
        if repaired_s is None:
            self._send_in_parts(address, self._history.export(now_s, RECENT_S))
        else:
            self._send_in_parts(address, self._history.export(now_s))

    def _send_in_parts(self, address: str, update: CrashUpdate) -> None:
        """Send an update in messages small enough for a node's byte limit.

        At least one message is sent, even if empty: its digest shows the peer that
        this node knows less.
        """
        crashes, quarantines = update.crashes, update.quarantines
        is_first = True
        while is_first or crashes or quarantines:
            is_first = False
            message = CrashUpdate(
                crashes[:CRASHES_PER_MESSAGE], quarantines[:QUARANTINES_PER_MESSAGE]
            )
            self._send(address, message)
            crashes = crashes[CRASHES_PER_MESSAGE:]
            quarantines = quarantines[QUARANTINES_PER_MESSAGE:]
