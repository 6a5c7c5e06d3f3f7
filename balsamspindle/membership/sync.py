"""Anti-entropy: two nodes compare digests and exchange what differs.

It repairs what gossip did not deliver, and brings a joiner up to date in
pages::

    A: SyncRequest(digests)  B: SyncSummary(nodes of some buckets that differ)
    A: Pull(nodes that B knows newer), Page(nodes that A knows newer)
    B: Page(records)
"""

import random

import msgspec

from balsamspindle.membership.budget import Importance
from balsamspindle.membership.channel import Channel, Peer
from balsamspindle.membership.knowledge import Knowledge
from balsamspindle.membership.peer_selection import choose_peer, sample_peers
from balsamspindle.wire import (
    News,
    NodeRecord,
    NodeSummary,
    Page,
    Pull,
    SyncRequest,
    SyncSummary,
    Want,
)

__all__ = ["AntiEntropy"]

SYNC_INTERVAL_S = 10.0
# While much differs, as after a join or a long pause.
CATCH_UP_INTERVAL_S = 0.4
CATCH_UP_PEERS = 4
# After a comparison that found some differences.
REPAIR_INTERVAL_S = 2.0
SUMMARY_MAX_NODES = 64
WANTS_MAX = 64
PAGE_MAX_BYTES = 64 * 1024
# A page of records is at least so many times smaller on the network.
PAGE_DEFLATES_BY = 2
# With more buckets that differ than these a node fetches all, bucket by
# bucket: it would spend its bytes on digests and lists of nodes.
FETCH_ALL_ABOVE = 64
FETCH_ALL_INTERVAL_S = 300.0
FETCHES_PER_TICK = 4
# A pull asks for buckets that hold about so many nodes together: their page, some
# 100 bytes a node before it is deflated, fits into what a peer may send at once. At
# 233 nodes in 256 buckets, a pull for each bucket, nine of ten bytes were overhead
# and a fleet that started together took 19 s to know itself.
NODES_PER_PULL = 64
BUCKETS_PER_PULL_MAX = 64

_encoder = msgspec.msgpack.Encoder()


class AntiEntropy:
    """Compares with random peers; used by the member task alone.

    Attributes
    ----------
    pages : int
        Pages of records taken so far.
    catching_up : bool
        Whether the last comparison left much to fetch, as after a join.
    """

    def __init__(
        self, channel: Channel, knowledge: Knowledge, rng: random.Random
    ) -> None:
        self._channel = channel
        self._knowledge = knowledge
        self._random = rng
        self._next_s = float("-inf")
        self._next_greeting_s = float("-inf")
        self.pages = 0
        self.catching_up = False
        self._to_fetch: list[int] = []
        self._buckets_per_pull = 1
        self._next_fetch_all_s = float("-inf")
        channel.register("sync_request", SyncRequest, self._request)
        channel.register("sync_summary", SyncSummary, self._summary)
        channel.register("pull", Pull, self._pull)
        channel.register("page", Page, self._page)

    def tick(self, now_s: float) -> None:
        """Start a comparison when it is due."""
        peers = self._knowledge.peers()
        if not peers:
            return
        self._fetch(peers, now_s)
        if now_s < self._next_s or self._to_fetch:
            return
        # Not all at the same time after a common cause.
        self._next_s = now_s + SYNC_INTERVAL_S * self._random.uniform(0.5, 1.5)
        asked = min(len(peers), CATCH_UP_PEERS if self.catching_up else 1)
        self.catching_up = False
        digests = self._knowledge.directory.digests()
        own = self._knowledge.own.header
        chosen = sample_peers(peers, own, asked, self._random)
        for part, peer in enumerate(chosen):
            request = SyncRequest(digests, part, asked)
            if not self._channel.send(peer.member_address, request, now_s):
                self.hurry(now_s, REPAIR_INTERVAL_S)

    def _fetch(self, peers: list[NodeRecord], now_s: float) -> None:
        """Pull whole buckets from different peers, as the byte cap allows."""
        for _ in range(FETCHES_PER_TICK):
            if not self._to_fetch:
                return
            peer = choose_peer(peers, self._knowledge.own.header, self._random)
            buckets = self._to_fetch[-self._buckets_per_pull :]
            if not self._channel.send(peer.member_address, Pull([], buckets), now_s):
                return
            del self._to_fetch[-self._buckets_per_pull :]

    def greet(self, peer: Peer, now_s: float) -> None:
        """Compare with a peer that is not known yet, not more often than due."""
        if now_s < self._next_greeting_s:
            return
        self._next_greeting_s = now_s + CATCH_UP_INTERVAL_S
        request = SyncRequest(self._knowledge.directory.digests())
        self._channel.answer(peer, request, now_s)

    def hurry(self, now_s: float, wait_s: float = CATCH_UP_INTERVAL_S) -> None:
        """Compare again soon."""
        self._next_s = min(self._next_s, now_s + wait_s)

    def _request(self, peer: Peer, request: SyncRequest, now_s: float) -> None:
        directory = self._knowledge.directory
        differing = directory.differing(request.buckets)
        if differing is None:
            self._channel.record_drop("garbage", "digests of a wrong size", now_s)
            return
        differing = [b for b in differing if b % request.step == request.first]
        if not differing:
            return
        buckets: list[int] = []
        nodes: list[NodeSummary] = []
        for bucket in self._random.sample(differing, len(differing)):
            if len(nodes) >= SUMMARY_MAX_NODES:
                break
            buckets.append(bucket)
            nodes += directory.summaries(bucket)
        others = bytes(set(differing).difference(buckets))
        summary = SyncSummary(buckets, nodes, len(differing), others)
        self._channel.answer(peer, summary, now_s)

    def _summary(self, peer: Peer, summary: SyncSummary, now_s: float) -> None:
        some_left = summary.differing > len(summary.buckets)
        self.catching_up |= some_left
        self.hurry(now_s, CATCH_UP_INTERVAL_S if some_left else REPAIR_INTERVAL_S)
        # A joiner that knows nobody yet has no peers to fetch from: it takes
        # its first nodes from this summary, or it would wait for ever.
        much = summary.differing > FETCH_ALL_ABOVE and self._knowledge.peers()
        # Once: what then is missing are single nodes, from pages cut short.
        if much and now_s >= self._next_fetch_all_s:
            self._next_fetch_all_s = now_s + FETCH_ALL_INTERVAL_S
            wanted = [*summary.buckets, *summary.others]
            self._to_fetch = self._random.sample(wanted, len(wanted))
            self._buckets_per_pull = _buckets_per_pull(summary)
        if self._to_fetch:
            return
        wants = [want for want in map(self._want, summary.nodes) if want is not None]
        if wants:
            # Before comparisons with further peers: those would take all the
            # bytes, no pull would go out, and the next comparison would find
            # the same difference again.
            pull = Pull(wants[:WANTS_MAX])
            self._channel.answer(peer, pull, now_s, Importance.URGENT)
        news = self._newer_here(summary)
        if news:
            self._channel.answer(peer, Page(self._page_of(news, now_s)), now_s)

    def _want(self, summary: NodeSummary) -> Want | None:
        """Return what to ask of a node, None when we know as much of it."""
        view = self._knowledge.directory.view(summary.node_id)
        if view is None or summary.incarnation > view.record.incarnation:
            return Want(summary.node_id, summary.incarnation, 0)
        if summary.incarnation < view.record.incarnation:
            return None
        if view.is_dead and summary.version <= view.version:
            return None
        if summary.fingerprint == view.fingerprint:
            return None
        # Entries above what we have are most often all that is missing. If
        # an older one is, the versions are equal next time: then pull all.
        above = view.version if summary.version > view.version else 0
        return Want(summary.node_id, summary.incarnation, above)

    def _newer_here(self, summary: SyncSummary) -> list[News]:
        directory = self._knowledge.directory
        theirs = {node.node_id: node for node in summary.nodes}
        news: list[News] = []
        for bucket in summary.buckets:
            for own in directory.summaries(bucket):
                their = theirs.get(own.node_id)
                view = directory.view(own.node_id)
                if their is None or their.incarnation < own.incarnation:
                    news.append(view.news())
                elif their.incarnation == own.incarnation:
                    if their.version < own.version:
                        news.append(view.news(their.version))
        for their in summary.nodes:
            view = directory.view(their.node_id)
            if view is not None and view.is_dead:
                news.append(self._knowledge.claim_about(their.node_id))
        return news

    def _pull(self, peer: Peer, pull: Pull, now_s: float) -> None:
        news: list[News] = []
        for want in pull.wants[:WANTS_MAX]:
            view = self._knowledge.directory.view(want.node_id)
            if view is None or view.is_dead:
                continue
            same = want.incarnation == view.record.incarnation
            news.append(view.news(want.above_version if same else 0))
        for bucket in pull.buckets[:BUCKETS_PER_PULL_MAX]:
            for summary in self._knowledge.directory.summaries(bucket):
                news.append(self._knowledge.directory.view(summary.node_id).news())
        page = self._page_of(news, now_s)
        self._channel.answer(peer, Page(page, len(news) - len(page)), now_s)

    def _page_of(self, news: list[News], now_s: float) -> list[News]:
        """Return what fits into the bytes that this node may send now.

        A page over them is refused as a whole, again and again: the peer
        would never get it.
        """
        available_bytes = self._channel.available_bytes(Importance.ROUTINE, now_s)
        return _fitting(news, min(PAGE_MAX_BYTES, PAGE_DEFLATES_BY * available_bytes))

    def _page(self, peer: Peer, page: Page, now_s: float) -> None:
        self.pages += 1
        self._knowledge.take(page.news, now_s, spread=False)
        if page.left:
            self.catching_up = True
            self.hurry(now_s)


def _buckets_per_pull(summary: SyncSummary) -> int:
    """Return how many buckets like those of a summary one pull asks for."""
    nodes_per_bucket = len(summary.nodes) / max(1, len(summary.buckets))
    wanted = int(NODES_PER_PULL / max(1.0, nodes_per_bucket))
    return max(1, min(wanted, BUCKETS_PER_PULL_MAX))


def _fitting(news: list[News], max_bytes: int) -> list[News]:
    """Return the first items that fit into a page, at least one."""
    size_bytes = 0
    for number, item in enumerate(news):
        size_bytes += len(_encoder.encode(item))
        if size_bytes > max_bytes:
            return news[: max(1, number)]
    return news
