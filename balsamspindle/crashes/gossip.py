"""Shares crashes and quarantines with all nodes within a second.

When a node learns of a crash or quarantine that is new to it, it sends an update to a
few peers. So an update reaches nearly all nodes within a few hops, each of which takes
milliseconds, even while the platform is unavailable.

Each membership message carries a digest of the crashes and quarantines that its sender
knows. When the digests of two nodes differ for longer than an update takes to arrive,
each node sends the other a repair: the crashes and quarantines that it knows. So a node
that missed updates, was disconnected or has just started catches up within about a
second of its first message.
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

# For this long after its own digest changed, a node sends no repair. The update that
# changed it may still be on its way to the peer, and makes the peer's digest equal.
SETTLE_TIME_S = 0.4
REPAIR_INTERVAL_S = 0.8
REPAIRED_PEERS_MAX = 1000
# The first repair that is sent to a peer contains only crashes up to this age, which
# the peer is most likely to have missed. If the digests still differ after the first
# repair, further repairs contain all crashes.
RECENT_S = 15.0
# Maximum number of crashes in a message. They take about 5 KB if six requests were
# running at each.
CRASHES_PER_MESSAGE = 40
QUARANTINES_PER_MESSAGE = 100


class CrashGossip:
    """Exchanges crashes and quarantines with other nodes; thread-safe.

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
        # By peer address: the time of the last repair sent to the peer. An entry is
        # removed when the peer's digest equals that of this node.
        self._repaired_s: OrderedDict[str, float] = OrderedDict()

    def share(self, update: CrashUpdate, now_s: float) -> None:
        """Send crashes and quarantines that are new to this node to a few peers."""
        if not update.crashes and not update.quarantines:
            return
        with self._lock:
            self._changed_s = now_s
            addresses = self._fanout.choose()
        for address in addresses:
            self._send_in_parts(address, update)

    def receive(self, update: CrashUpdate) -> None:
        """Merge a peer's update and forward the part that is new to this node."""
        now_s = self._clock()
        self.share(self._history.merge(update, now_s), now_s)

    def compare_digest(self, address: str, digest: int, now_s: float) -> None:
        """Send a repair to a peer whose digest differs from that of this node.

        No repair is sent within `SETTLE_TIME_S` of a change of this node's digest, or
        within `REPAIR_INTERVAL_S` of the last repair to the peer.
        """
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

        An empty update is sent too: its message contains this node's digest. The peer
        finds that the digest differs from its own, and sends this node a repair.
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
