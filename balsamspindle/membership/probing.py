"""Failure detection: pings one peer after the other, directly or through helpers."""

import itertools
import random
from typing import NamedTuple

import msgspec

from balsamspindle.membership.budget import Importance
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.membership.gossip import Gossiper
from balsamspindle.membership.membership_state import MembershipState
from balsamspindle.membership.peer_selection import (
    OTHER_ZONE_EVERY,
    other_zone_targets,
    peers_in_zone,
)
from balsamspindle.membership.transport import Transport
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Ack, News, NodeRecord, Ping, PingRequest

__all__ = ["Prober"]

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.5
# A helper is a peer that pings a third node on behalf of this node. The helper waits
# `HELPER_TIMEOUT_S` for the answer of the third node. This node waits
# `INDIRECT_TIMEOUT_S` for the answers of the helpers.
HELPER_TIMEOUT_S = 0.5
INDIRECT_TIMEOUT_S = 1.2
HELPER_COUNT = 3
# One regular probe in this many, drawn at random, goes to another region.
OTHER_REGION_EVERY = 5
# A node that received no answer from any peer for this long considers itself isolated.
ISOLATED_AFTER_S = 4.0
# At this interval, a node pings up to `CONTACTS_PER_ROUND` of the contact addresses at
# which it knows no live node.
CONTACT_INTERVAL_S = 3.0
CONTACTS_PER_ROUND = 3
# While a node has not refuted a verdict on itself, it asks peers at this interval to
# ping it.
SELF_CHECK_INTERVAL_S = 0.6
# Mean number of nodes that probe a node because of a peer's suspicion.
EXPECTED_CHECKERS = 6


class _Probe(NamedTuple):
    node: NodeRecord
    sent_s: float
    through_helpers: bool = False


class _RelayedPing(NamedTuple):
    """A ping that this node sent on behalf of another node, the requester."""

    requester: Peer
    sequence: int
    sent_s: float


class Prober:
    """Detects peers that do not answer; used by the member task alone.

    A peer counts as alive only if it answers a message of this node, which proves
    that messages pass in both directions. Any other message from the peer proves
    only that this node can receive from the peer. In a one-way partition, a peer
    that receives nothing can still send.
    """

    def __init__(
        self,
        channel: Channel,
        transport: Transport,
        state: MembershipState,
        gossiper: Gossiper,
        seed_addresses: tuple[str, ...],
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._channel = channel
        self._transport = transport
        self._state = state
        self._gossiper = gossiper
        self._seed_addresses = seed_addresses
        self._contact_addresses = seed_addresses
        self._events = events
        self._random = rng
        self._sequences = itertools.count(1)
        self._probes: dict[int, _Probe] = {}
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._self_check_sequence: int | None = None
        self._next_self_check_s = float("-inf")
        self._probe_order: list[str] = []
        self._next_probe_s = float("-inf")
        self._next_reconnect_s = float("-inf")
        self._answer_times_s: dict[str, float] = {}
        self._last_answer_s = float("-inf")
        self.isolated = True
        channel.register("ping", Ping, self._handle_ping)
        channel.register("ack", Ack, self._handle_ack)
        channel.register("ping_request", PingRequest, self._handle_ping_request)

    def tick(self, now_s: float) -> None:
        """Send the probes that are due and handle the probes that timed out."""
        self._check_timeouts(now_s)
        self._expire_relayed_pings(now_s)
        self._probe_suspects(now_s)
        self._request_self_check(now_s)
        self._update_isolated(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            self._probe_next(now_s)
        if now_s >= self._next_reconnect_s:
            self._next_reconnect_s = now_s + CONTACT_INTERVAL_S
            self._reconnect(now_s)

    def set_contacts(self, addresses: tuple[str, ...], now_s: float) -> None:
        """Set the addresses to contact besides the seeds, and contact them soon."""
        own_address = self._state.own.header.member_address
        found = dict.fromkeys([*self._seed_addresses, *addresses])
        found.pop(own_address, None)
        self._contact_addresses = tuple(found)
        self._next_reconnect_s = now_s

    def reset(self, now_s: float) -> None:
        """Discard all unanswered probes after the process was suspended.

        Their time-outs passed while this node did not run, so the missing answers are
        no evidence against peers.
        """
        self._probes.clear()
        self._relayed_pings.clear()
        self._answer_times_s.clear()
        self._next_probe_s = now_s
        self._next_reconnect_s = now_s

    def _probe_suspects(self, now_s: float) -> None:
        """Probe some of the nodes that peers suspect, selected at random.

        A suspected node is declared dead only if several nodes suspect it
        independently, so other nodes have to probe it. If all other nodes probed it,
        it would receive thousands of probes at once. So each node decides at random
        whether to probe it, and on average `EXPECTED_CHECKERS` nodes do.
        """
        probed = {probe.node.node_id for probe in self._probes.values()}
        for node_id in sorted(self._state.nodes_to_check - probed):
            view = self._state.directory.view(node_id)
            if view is None or view.is_dead:
                continue
            if self._random.random() * len(self._state.peers()) < EXPECTED_CHECKERS:
                self._probe(view.record, now_s, Importance.CHECK)
        self._state.nodes_to_check.clear()

    def _probe_next(self, now_s: float) -> None:
        own_region = self._state.own.region
        if self._random.randrange(OTHER_REGION_EVERY) == 0:
            other_regions = [
                node for node in self._state.peers() if node.region != own_region
            ]
            if other_regions:
                self._probe(self._random.choice(other_regions), now_s)
                return
        for _ in range(len(self._probe_order) + 1):
            if not self._probe_order:
                self._probe_order = self._new_probe_order()
            if not self._probe_order:
                return
            view = self._state.directory.view(self._probe_order.pop())
            if view is not None and not view.is_dead:
                self._probe(view.record, now_s)
                return

    def _new_probe_order(self) -> list[str]:
        """Return the node ids to probe in the next round, in random order.

        A round has each peer of this node's zone once, and some peers of other
        zones. Each round draws the peers of other zones from the same few peers, so
        that connections to them are reused. A new connection for each probe would
        cost more bytes than the probe itself. Probes within a zone detect a node that
        cannot be reached; probes from other zones detect that a whole zone is cut off.
        """
        own = self._state.own.header
        peers = self._state.peers()
        region = [peer for peer in peers if peer.region == own.region] or peers
        order = [peer.node_id for peer in peers_in_zone(region, own)]
        if not order:
            order = [peer.node_id for peer in region]
        elif len(order) < len(region):
            others = other_zone_targets(region, own, self._state.own.node_id)
            count = len(order) // (OTHER_ZONE_EVERY - 1) + 1
            order += self._random.choices(others, k=count)
        self._random.shuffle(order)
        return order

    def _probe(
        self, node: NodeRecord, now_s: float, importance=Importance.PROBE
    ) -> None:
        sequence = next(self._sequences)
        ping = Ping(sequence, node.node_id, self._news_for(node.node_id, now_s))
        # A probe that this node's byte cap refused was not sent, so a missing answer
        # would be no evidence against the peer.
        if self._channel.send(node.member_address, ping, now_s, importance):
            self._probes[sequence] = _Probe(node, now_s)

    def _news_for(self, node_id: str, now_s: float) -> list[News]:
        """Return news to send to a node, first the verdict on the receiver, if any."""
        verdict = self._state.verdict_on(node_id)
        news = self._gossiper.piggyback(now_s)
        return news if verdict is None else [verdict, *news]

    def _check_timeouts(self, now_s: float) -> None:
        for sequence, probe in list(self._probes.items()):
            waited_s = now_s - probe.sent_s
            if waited_s < DIRECT_TIMEOUT_S:
                continue
            if not probe.through_helpers:
                self._probes[sequence] = probe._replace(through_helpers=True)
                if not self._request_indirect_pings(sequence, probe.node, now_s):
                    # The byte cap of this node refused the requests to helpers,
                    # so a missing answer is no evidence against the peer.
                    del self._probes[sequence]
            elif waited_s >= DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S:
                del self._probes[sequence]
                self._handle_failure(probe, now_s)

    def _request_indirect_pings(
        self, sequence: int, node: NodeRecord, now_s: float
    ) -> bool:
        """Ask helpers to ping a node.

        Returns
        -------
        bool
            False if the byte cap of this node refused the requests to all helpers.
            True if there are no helpers.
        """
        # Possibly the node is healthy, and only the connection to it is broken. The
        # connection is closed, so that the next ping opens a new one.
        self._transport.disconnect(node.member_address)
        others = [
            peer
            for peer in self._state.peers()
            if peer.node_id != node.node_id and peer.region == node.region
        ]
        request = PingRequest(sequence, node.node_id, node.member_address)
        helpers = self._random.sample(others, min(HELPER_COUNT, len(others)))
        sent = [
            self._channel.send(helper.member_address, request, now_s, Importance.CHECK)
            for helper in helpers
        ]
        return any(sent) or not helpers

    def _handle_failure(self, probe: _Probe, now_s: float) -> None:
        node = probe.node
        leaving = self._state.is_leaving(node.node_id)
        if not leaving and not self._others_answered(node.node_id, probe.sent_s):
            # No other peer answered this node since the probe was sent. So this node
            # is probably cut off, and the failed probe is no evidence against the peer.
            self._events.emit("probe_failure_ignored", peer=node.node_id)
            return
        self._state.record_failed_probe(node, now_s)

    def _others_answered(self, node_id: str, since_s: float) -> bool:
        return any(
            answered_s > since_s
            for other_id, answered_s in self._answer_times_s.items()
            if other_id != node_id
        )

    def _expire_relayed_pings(self, now_s: float) -> None:
        for own_sequence, relayed in list(self._relayed_pings.items()):
            if now_s - relayed.sent_s >= HELPER_TIMEOUT_S:
                del self._relayed_pings[own_sequence]
                ack = Ack(relayed.sequence, reached=False)
                self._channel.answer(relayed.requester, ack, now_s, Importance.ANSWER)

    def _request_self_check(self, now_s: float) -> None:
        """Ask peers to ping this node while it has not refuted a verdict on itself.

        The verdict is refuted when a peer reports that its ping reached this node.
        """
        if self._state.unrefuted_epoch is None or now_s < self._next_self_check_s:
            return
        self._next_self_check_s = now_s + SELF_CHECK_INTERVAL_S
        self._self_check_sequence = next(self._sequences)
        own = self._state.own
        request = PingRequest(
            self._self_check_sequence, own.node_id, own.header.member_address
        )
        peers = self._state.peers()
        for helper in self._random.sample(peers, min(HELPER_COUNT, len(peers))):
            self._channel.send(helper.member_address, request, now_s, Importance.PROBE)

    def _update_isolated(self, now_s: float) -> None:
        for node_id, answered_s in list(self._answer_times_s.items()):
            if now_s - answered_s > ISOLATED_AFTER_S:
                del self._answer_times_s[node_id]
        isolated = now_s - self._last_answer_s > ISOLATED_AFTER_S
        if isolated != self.isolated:
            self.isolated = isolated
            self._events.emit("node_isolated" if isolated else "node_connected")

    def _reconnect(self, now_s: float) -> None:
        """Ping one dead node, and some contact addresses without a known live node.

        The nodes on the two sides of a partition may declare each other dead. Without
        these pings, the two sides would stay separate after the partition ends.
        """
        known = {node.member_address for node in self._state.directory.alive()}
        unknown = [
            contact for contact in self._contact_addresses if contact not in known
        ]
        count = min(CONTACTS_PER_ROUND, len(unknown))
        for address in self._random.sample(unknown, count):
            ping = Ping(0, "", self._gossiper.piggyback(now_s))
            self._channel.send(address, ping, now_s, Importance.CHECK)
        dead = self._state.directory.dead()
        if dead:
            node = self._random.choice(dead).record
            ping = Ping(0, node.node_id, self._news_for(node.node_id, now_s))
            self._channel.send(node.member_address, ping, now_s)

    def _handle_ping(self, peer: Peer, ping: Ping, now_s: float) -> None:
        self._state.handle_news(ping.news, now_s, spread=True)
        self._request_self_check(now_s)
        if ping.target not in ("", self._state.own.node_id):
            # The ping is for another node, which had this address before.
            self._channel.record_drop("other_target", ping.target, now_s)
            return
        ack = Ack(ping.sequence, news=self._news_for(peer.node_id, now_s))
        self._channel.answer(peer, ack, now_s, Importance.ANSWER)

    def _handle_ping_request(
        self, peer: Peer, request: PingRequest, now_s: float
    ) -> None:
        own_sequence = next(self._sequences)
        ping = Ping(own_sequence, request.target, self._news_for(request.target, now_s))
        if self._channel.send(request.address, ping, now_s, Importance.CHECK):
            self._relayed_pings[own_sequence] = _RelayedPing(
                peer, request.sequence, now_s
            )

    def _handle_ack(self, peer: Peer, ack: Ack, now_s: float) -> None:
        self._state.handle_news(ack.news, now_s, spread=True)
        self._request_self_check(now_s)
        self._last_answer_s = now_s
        self._answer_times_s[peer.node_id] = now_s
        relayed = self._relayed_pings.pop(ack.sequence, None)
        if relayed is not None:
            reached = msgspec.structs.replace(ack, sequence=relayed.sequence, news=[])
            self._channel.answer(relayed.requester, reached, now_s, Importance.ANSWER)
            return
        if ack.sequence == self._self_check_sequence and ack.reached:
            self._state.confirm_reachable(now_s)
            return
        probe = self._probes.get(ack.sequence)
        if probe is None or not ack.reached:
            return
        del self._probes[ack.sequence]
        self._state.record_ack(probe.node.node_id)
