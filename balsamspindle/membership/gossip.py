"""Gossip: attaches news to probes and acknowledgements, and sends it to neighbours."""

import random

from balsamspindle.membership.budget import Importance
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.membership.membership_state import MembershipState
from balsamspindle.membership.peer_selection import peers_in_zone
from balsamspindle.wire import Gossip, News, NodeRecord

__all__ = ["Gossiper"]

# Numbers of neighbours that a node selects. The neighbours of its own zone are selected
# first and are included in the number of neighbours of its own region.
NEIGHBOURS_OWN_ZONE = 4
NEIGHBOURS_OWN_REGION = 6
NEIGHBOURS_OTHER_REGIONS = 2
# Interval at which one random neighbour is replaced.
NEIGHBOUR_CHANGE_INTERVAL_S = 30.0
# Largest number of neighbours that receive news in one tick.
FANOUT = 2
PIGGYBACK_MAX_BYTES = 500
GOSSIP_MAX_BYTES = 4000
# Estimated ratio of a message's compressed size to the size of its items.
DEFLATED_FRACTION = 0.5


class Gossiper:
    """Sends queued news to peers; used by the member task alone.

    The neighbours are a small random sample of the fleet. The sample changes
    slowly, so that connections to neighbours stay open: a new connection for
    each message would cost more bytes than the news itself.
    """

    def __init__(
        self, channel: Channel, state: MembershipState, rng: random.Random
    ) -> None:
        self._channel = channel
        self._state = state
        self._random = rng
        self._neighbours: list[NodeRecord] = []
        self._next_index = 0
        self._last_change_s = float("-inf")
        channel.register("gossip", Gossip, self._handle_gossip)

    def piggyback(self, now_s: float) -> list[News]:
        """Return queued news to attach to a probe or acknowledgement.

        Returns only urgent news if the bytes for routine messages are spent, and no
        news if the bytes for urgent messages are spent, too.
        """
        queue = self._state.queue
        if (
            self._channel.available_bytes(Importance.ROUTINE, now_s)
            > PIGGYBACK_MAX_BYTES
        ):
            return queue.next_batch(PIGGYBACK_MAX_BYTES)
        if (
            self._channel.available_bytes(Importance.URGENT, now_s)
            > PIGGYBACK_MAX_BYTES
        ):
            return queue.next_batch(PIGGYBACK_MAX_BYTES, urgent_only=True)
        return []

    def tick(self, now_s: float) -> None:
        """Send queued news to a few neighbours."""
        self._refresh_neighbours(now_s)
        queue = self._state.queue
        for _ in range(min(FANOUT, len(self._neighbours))):
            if not len(queue):
                return
            self._send_to_next(queue.has_urgent(), now_s)

    def _send_to_next(self, urgent: bool, now_s: float) -> None:
        self._next_index = (self._next_index + 1) % len(self._neighbours)
        address = self._neighbours[self._next_index].member_address
        importance = Importance.ROUTINE
        available_bytes = self._channel.available_bytes(importance, now_s)
        urgent_only = urgent and available_bytes < PIGGYBACK_MAX_BYTES
        if urgent_only:
            importance = Importance.URGENT
            available_bytes = self._channel.available_bytes(importance, now_s)
        if available_bytes < PIGGYBACK_MAX_BYTES:
            return
        size_bytes = int(min(available_bytes / DEFLATED_FRACTION, GOSSIP_MAX_BYTES))
        news = self._state.queue.next_batch(size_bytes, urgent_only)
        self._channel.send(address, Gossip(news), now_s, importance)

    def _handle_gossip(self, peer: Peer, gossip: Gossip, now_s: float) -> None:
        self._state.handle_news(gossip.news, now_s, spread=True)

    def _refresh_neighbours(self, now_s: float) -> None:
        known_nodes = self._state.directory
        self._neighbours = [
            view.record
            for view in map(
                known_nodes.view, [neighbour.node_id for neighbour in self._neighbours]
            )
            if view is not None and not view.is_dead
        ]
        if (
            now_s - self._last_change_s >= NEIGHBOUR_CHANGE_INTERVAL_S
            and self._neighbours
        ):
            self._last_change_s = now_s
            self._neighbours.pop(self._random.randrange(len(self._neighbours)))
        own_region = self._state.own.region
        wanted = NEIGHBOURS_OWN_REGION + NEIGHBOURS_OTHER_REGIONS
        if len(self._neighbours) >= wanted:
            return
        peers = self._state.peers()
        if len(peers) <= len(self._neighbours):
            return
        own_zone = peers_in_zone(peers, self._state.own.header)
        self._add_neighbours(own_zone, NEIGHBOURS_OWN_ZONE)
        own_region_peers = [node for node in peers if node.region == own_region]
        other_region_peers = [node for node in peers if node.region != own_region]
        self._add_neighbours(own_region_peers, NEIGHBOURS_OWN_REGION)
        self._add_neighbours(other_region_peers, NEIGHBOURS_OTHER_REGIONS)

    def _add_neighbours(self, nodes: list[NodeRecord], wanted: int) -> None:
        """Add random nodes from `nodes` until `wanted` of them are neighbours.

        Nodes in `nodes` that are neighbours already count towards `wanted`. A random
        draw may return a neighbour. After `2 * wanted` draws, the method returns even
        if fewer than `wanted` nodes are neighbours.
        """
        node_ids = {node.node_id for node in nodes}
        present = node_ids & {node.node_id for node in self._neighbours}
        for _ in range(2 * wanted):
            if len(present) >= min(wanted, len(nodes)):
                return
            node = self._random.choice(nodes)
            if node.node_id not in present:
                present.add(node.node_id)
                self._neighbours.append(node)
