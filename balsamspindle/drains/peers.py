"""Keeps the drains of other nodes, and sends them to a node that has restarted."""

import threading
from collections import OrderedDict
from collections.abc import Callable

from balsamspindle.drains.own_drains import OwnDrains
from balsamspindle.drains.records import DrainsKept, NodeDrains
from balsamspindle.membership.directory import Directory
from balsamspindle.membership.fanout import Fanout
from balsamspindle.wire import NodeRecord

__all__ = ["DrainPeers"]

KEPT_NODES_MAX = 1_000


class _Kept:
    """Drains of another node, and the incarnations of it that they were sent to.

    Attributes
    ----------
    sent_incarnation, delivered_incarnation : int
        The latest incarnation that they were sent to, and that has acknowledged them.
    """

    def __init__(self, drains: NodeDrains) -> None:
        self.drains = drains
        self.sent_incarnation = self.delivered_incarnation = drains.incarnation

    def is_unknown_to(self, later: NodeDrains) -> bool:
        """Return whether the node's later process lacks any of the drains."""
        is_delivered = self.delivered_incarnation >= later.incarnation
        return not is_delivered and not set(self.drains.drained) <= set(later.drained)


class DrainPeers:
    """Exchanges confirmed drains with peers; thread-safe.

    Parameters
    ----------
    send : callable
        Takes a member address and a message; must be thread-safe.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        drains: OwnDrains,
        send: Callable[[str, NodeDrains | DrainsKept], None],
    ) -> None:
        self._node_id = own.node_id
        self._directory = directory
        self._drains = drains
        self._send = send
        self._lock = threading.Lock()
        self._fanout = Fanout(own, directory, "drains")
        self._kept: OrderedDict[str, _Kept] = OrderedDict()

    def share(self, drains: NodeDrains) -> None:
        """Send this node's drains to a few peers, which keep and acknowledge them."""
        with self._lock:
            addresses = self._fanout.choose()
        for address in addresses:
            self._send(address, drains)

    def deliver(self) -> None:
        """Send kept drains to those nodes that have restarted since."""
        with self._lock:
            kept = dict(self._kept)
        if not kept:
            return
        for node in self._directory.alive():
            one = kept.get(node.node_id)
            if one is not None and one.delivered_incarnation < node.incarnation:
                one.sent_incarnation = node.incarnation
                self._send(node.member_address, one.drains)

    def receive(self, peer_address: str, drains: NodeDrains) -> None:
        """Keep a peer's drains, or restore those of this node; acknowledge them.

        This node sends what it keeps instead, if that is of a process with a higher
        incarnation, because the wall clock of the peer's VM was set back, or if the
        peer's present process does not know it yet.
        """
        if drains.node_id == self._node_id:
            self._drains.restore(drains)
        else:
            known = self._keep(drains)
            if known.incarnation != drains.incarnation:
                self._send(peer_address, known)
                return
        kept = DrainsKept(drains.node_id, drains.incarnation, drains.number)
        self._send(peer_address, kept)

    def record_kept(self, kept: DrainsKept) -> None:
        """Process the acknowledgement of drains that this node has sent."""
        if kept.node_id == self._node_id:
            self._drains.record_kept(kept.version)
            return
        with self._lock:
            one = self._kept.get(kept.node_id)
            if one is not None and one.drains.version == kept.version:
                one.delivered_incarnation = one.sent_incarnation

    def _keep(self, drains: NodeDrains) -> NodeDrains:
        """Keep a node's drains, unless others are known that must be kept; return them.

        These are newer ones, and those that the node's present process does not know.
        """
        with self._lock:
            known = self._kept.get(drains.node_id)
            if known is not None and known.drains.version >= drains.version:
                return known.drains
            if known is not None and known.is_unknown_to(drains):
                known.sent_incarnation = drains.incarnation
                return known.drains
            self._kept[drains.node_id] = _Kept(drains)
            self._kept.move_to_end(drains.node_id)
            if len(self._kept) > KEPT_NODES_MAX:
                self._kept.popitem(last=False)
            return drains
