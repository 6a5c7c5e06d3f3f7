"""Anti-entropy: two nodes compare their directories and exchange missing records.

Anti-entropy delivers news that gossip did not deliver, and brings a joining node up
to date. Nodes are grouped into buckets by a hash of their ids, and first the digests
of the buckets are compared (see `balsamspindle.membership.fingerprints`)::

    A: SyncRequest(digests of all buckets)
    B: SyncSummary(nodes in some of the buckets whose digests differ)
    A: Pull(nodes of which B has newer records), Page(records that B lacks)
    B: Page(the pulled records)
"""

import random

import msgspec

from balsamspindle.membership.budget import Importance
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.membership.membership_state import MembershipState
from balsamspindle.membership.peer_selection import choose_peer, sample_peers
from balsamspindle.wire import (
    News,
    NodePull,
    NodeRecord,
    NodeSummary,
    Page,
    Pull,
    SyncRequest,
    SyncSummary,
)

__all__ = ["AntiEntropy"]

# Mean interval between two comparisons that find no difference.
SYNC_INTERVAL_S = 10.0
# While a node lacks more records than one exchange can transfer, as after a join or a
# long pause, it compares its directory with `CATCH_UP_PEERS` peers at this interval.
CATCH_UP_INTERVAL_S = 0.4
CATCH_UP_PEERS = 4
# If one exchange transfers all differences that a comparison found, the next comparison
# starts at the latest after this time. The time is the same if the request of a
# comparison could not be sent.
REPAIR_INTERVAL_S = 2.0
SUMMARY_NODES_MAX = 64
NODE_PULLS_MAX = 64
PAGE_MAX_BYTES = 64 * 1024
# Compression makes a page of records smaller by at least this factor.
PAGE_COMPRESSION_RATIO_MIN = 2
# When more buckets than this differ, a node pulls the records of all nodes in the
# differing buckets. Comparing them node by node would spend the byte budget on digests
# and lists of nodes.
PULL_ALL_ABOVE_BUCKETS = 64
PULL_ALL_INTERVAL_S = 300.0
PULLS_PER_TICK = 4
# One pull requests as many buckets as hold this many nodes on average. The page with
# their records, 100 bytes a node before compression, fits into what a peer may send at
# once. With one bucket per pull, 233 nodes in 256 buckets spent nine of ten bytes on
# overhead. With one bucket per pull, nodes that all started together also needed 19 s
# until they knew each other.
NODES_PER_PULL = 64
BUCKETS_PER_PULL_MAX = 64

_encoder = msgspec.msgpack.Encoder()


class AntiEntropy:
    """Compares this node's directory with peers'; used by the member task alone.

    Attributes
    ----------
    pages_received : int
        Number of pages received so far.
    is_catching_up : bool
        Whether a summary or page since the last comparison left out records.
    """

    def __init__(
        self, channel: Channel, state: MembershipState, rng: random.Random
    ) -> None:
        self._channel = channel
        self._state = state
        self._random = rng
        self._next_comparison_s = float("-inf")
        self._next_unknown_peer_s = float("-inf")
        self.pages_received = 0
        self.is_catching_up = False
        # Id of the peer whose last page left out records; None if none did.
        self._incomplete_source: str | None = None
        self._buckets_to_pull: list[int] = []
        self._buckets_per_pull = 1
        self._next_pull_all_s = float("-inf")
        channel.register("sync_request", SyncRequest, self._handle_request)
        channel.register("sync_summary", SyncSummary, self._handle_summary)
        channel.register("pull", Pull, self._handle_pull)
        channel.register("page", Page, self._handle_page)

    def tick(self, now_s: float) -> None:
        """Send pulls of buckets, or start a comparison when one is due."""
        peers = self._state.peers()
        if not peers:
            return
        self._pull_buckets(peers, now_s)
        if now_s < self._next_comparison_s or self._buckets_to_pull:
            return
        # The interval is random, so that nodes that start together do not all compare
        # at the same time.
        self._next_comparison_s = now_s + SYNC_INTERVAL_S * self._random.uniform(
            0.5, 1.5
        )
        peer_count = min(len(peers), CATCH_UP_PEERS if self.is_catching_up else 1)
        self.is_catching_up = False
        digests = self._state.directory.digests()
        own = self._state.own.header
        chosen = sample_peers(peers, own, peer_count, self._random)
        source = self._take_incomplete_source(peers)
        if source is not None and source not in chosen:
            chosen[0] = source
        for part, peer in enumerate(chosen):
            request = SyncRequest(digests, part, peer_count)
            if not self._channel.send(peer.member_address, request, now_s):
                self.compare_soon(now_s, REPAIR_INTERVAL_S)

    def _take_incomplete_source(self, peers: list[NodeRecord]) -> NodeRecord | None:
        """Return the peer whose last page left out records, and forget it.

        A random peer is mostly in this node's zone. After an outage, all nodes of the
        zone may lack the same records and find no difference among themselves.
        """
        source_id, self._incomplete_source = self._incomplete_source, None
        return next((peer for peer in peers if peer.node_id == source_id), None)

    def _pull_buckets(self, peers: list[NodeRecord], now_s: float) -> None:
        """Pull the records of all nodes in some buckets, within the byte cap.

        Each pull goes to a random peer.
        """
        for _ in range(PULLS_PER_TICK):
            if not self._buckets_to_pull:
                return
            peer = choose_peer(peers, self._state.own.header, self._random)
            buckets = self._buckets_to_pull[-self._buckets_per_pull :]
            if not self._channel.send(peer.member_address, Pull([], buckets), now_s):
                return
            del self._buckets_to_pull[-self._buckets_per_pull :]

    def start_comparison(self, peer: Peer, now_s: float) -> None:
        """Compare directories with an unknown peer, at a limited rate."""
        if now_s < self._next_unknown_peer_s:
            return
        self._next_unknown_peer_s = now_s + CATCH_UP_INTERVAL_S
        request = SyncRequest(self._state.directory.digests())
        self._channel.answer(peer, request, now_s)

    def compare_soon(self, now_s: float, wait_s: float = CATCH_UP_INTERVAL_S) -> None:
        """Start the next comparison after `wait_s` at the latest."""
        self._next_comparison_s = min(self._next_comparison_s, now_s + wait_s)

    def _handle_request(self, peer: Peer, request: SyncRequest, now_s: float) -> None:
        directory = self._state.directory
        differing = directory.differing_buckets(request.buckets)
        if differing is None:
            self._channel.record_drop("garbage", "digests of a wrong size", now_s)
            return
        differing = [b for b in differing if b % request.step == request.first]
        if not differing:
            return
        buckets: list[int] = []
        nodes: list[NodeSummary] = []
        for bucket in self._random.sample(differing, len(differing)):
            if len(nodes) >= SUMMARY_NODES_MAX:
                break
            buckets.append(bucket)
            nodes += directory.summaries(bucket)
        unlisted_buckets = bytes(set(differing).difference(buckets))
        summary = SyncSummary(buckets, nodes, len(differing), unlisted_buckets)
        self._channel.answer(peer, summary, now_s)

    def _handle_summary(self, peer: Peer, summary: SyncSummary, now_s: float) -> None:
        is_partial = summary.differing_count > len(summary.buckets)
        self.is_catching_up |= is_partial
        self.compare_soon(
            now_s, CATCH_UP_INTERVAL_S if is_partial else REPAIR_INTERVAL_S
        )
        # A node pulls buckets only from peers in its directory. A joining node whose
        # directory has no peers yet pulls the nodes of this summary instead.
        needs_all = (
            summary.differing_count > PULL_ALL_ABOVE_BUCKETS and self._state.peers()
        )
        # All differing buckets are pulled at most once per `PULL_ALL_INTERVAL_S`. After
        # that pull, only the nodes that did not fit into a page are missing. These few
        # nodes are pulled one by one, as `node_pulls`.
        if needs_all and now_s >= self._next_pull_all_s:
            self._next_pull_all_s = now_s + PULL_ALL_INTERVAL_S
            wanted = [*summary.buckets, *summary.unlisted_buckets]
            self._buckets_to_pull = self._random.sample(wanted, len(wanted))
            self._buckets_per_pull = _buckets_per_pull(summary)
        if self._buckets_to_pull:
            return
        node_pulls = [
            node_pull
            for node_pull in map(self._build_node_pull, summary.nodes)
            if node_pull is not None
        ]
        if node_pulls:
            # Comparisons with other peers may have used up the byte budget of routine
            # messages. The pull is sent as urgent, so that the byte cap does not refuse
            # it. Without the pull, the next comparison would find the same difference.
            pull = Pull(node_pulls[:NODE_PULLS_MAX])
            self._channel.answer(peer, pull, now_s, Importance.URGENT)
        news = self._news_for_peer(summary)
        if news:
            self._channel.answer(peer, Page(self._limit_to_page(news, now_s)), now_s)

    def _build_node_pull(self, summary: NodeSummary) -> NodePull | None:
        """Return which entries of a node to pull, None if nothing is missing."""
        view = self._state.directory.view(summary.node_id)
        if view is None or summary.incarnation > view.record.incarnation:
            return NodePull(summary.node_id, summary.incarnation, 0)
        if summary.incarnation < view.record.incarnation:
            return None
        if view.is_dead and summary.version <= view.version:
            return None
        if summary.fingerprint == view.fingerprint:
            return None
        # Usually only entries above the known version are missing. If an older entry
        # is missing too, the next comparison finds equal versions with different
        # fingerprints, and all entries are pulled.
        above = view.version if summary.version > view.version else 0
        return NodePull(summary.node_id, summary.incarnation, above)

    def _news_for_peer(self, summary: SyncSummary) -> list[News]:
        directory = self._state.directory
        peer_summaries = {node.node_id: node for node in summary.nodes}
        news: list[News] = []
        for bucket in summary.buckets:
            for own in directory.summaries(bucket):
                peer_summary = peer_summaries.get(own.node_id)
                view = directory.view(own.node_id)
                if peer_summary is None or peer_summary.incarnation < own.incarnation:
                    news.append(view.news())
                elif peer_summary.incarnation == own.incarnation:
                    if peer_summary.version < own.version:
                        news.append(view.news(peer_summary.version))
        for peer_summary in summary.nodes:
            view = directory.view(peer_summary.node_id)
            if view is not None and view.is_dead:
                news.append(self._state.verdict_on(peer_summary.node_id))
        return news

    def _handle_pull(self, peer: Peer, pull: Pull, now_s: float) -> None:
        news: list[News] = []
        for node_pull in pull.nodes[:NODE_PULLS_MAX]:
            view = self._state.directory.view(node_pull.node_id)
            if view is None or view.is_dead:
                continue
            same_incarnation = node_pull.incarnation == view.record.incarnation
            news.append(view.news(node_pull.above_version if same_incarnation else 0))
        for bucket in pull.buckets[:BUCKETS_PER_PULL_MAX]:
            for summary in self._state.directory.summaries(bucket):
                news.append(self._state.directory.view(summary.node_id).news())
        page = self._limit_to_page(news, now_s)
        self._channel.answer(peer, Page(page, len(news) - len(page)), now_s)

    def _limit_to_page(self, news: list[News], now_s: float) -> list[News]:
        """Return the first items that fit into a page and the byte budget.

        The byte cap would refuse a larger page. The peer would request the items
        again, the next page would be as large, and the peer would never receive any.
        """
        available_bytes = self._channel.available_bytes(Importance.ROUTINE, now_s)
        return _first_fitting(
            news, min(PAGE_MAX_BYTES, PAGE_COMPRESSION_RATIO_MIN * available_bytes)
        )

    def _handle_page(self, peer: Peer, page: Page, now_s: float) -> None:
        self.pages_received += 1
        self._state.handle_news(page.news, now_s, spread=False)
        if page.remaining_count:
            self._incomplete_source = peer.node_id
            self.is_catching_up = True
            self.compare_soon(now_s)


def _buckets_per_pull(summary: SyncSummary) -> int:
    """Return how many buckets hold about `NODES_PER_PULL` nodes.

    The estimate uses the mean number of nodes per bucket in a peer's summary.
    """
    nodes_per_bucket = len(summary.nodes) / max(1, len(summary.buckets))
    wanted = int(NODES_PER_PULL / max(1.0, nodes_per_bucket))
    return max(1, min(wanted, BUCKETS_PER_PULL_MAX))


def _first_fitting(news: list[News], max_bytes: int) -> list[News]:
    """Return as many of the first items as fit into `max_bytes`, at least one."""
    size_bytes = 0
    for number, item in enumerate(news):
        size_bytes += len(_encoder.encode(item))
        if size_bytes > max_bytes:
            return news[: max(1, number)]
    return news
