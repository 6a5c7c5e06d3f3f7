"""Rules by which a node is suspected, declared dead, or refutes a verdict on itself."""

import msgspec

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.news_queue import NewsQueue, Priority
from balsamspindle.membership.node_view import (
    ChangedParts,
    Epoch,
    NodeState,
    ServerChange,
)
from balsamspindle.membership.own_record import OwnRecord
from balsamspindle.membership.suspicion import (
    CONFIRMATIONS,
    ExpiredSuspicion,
    Suspicions,
)
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    BackendServerRecord,
    News,
    NodeNews,
    NodeRecord,
    ServerEntry,
    Verdict,
    VerdictNews,
)

__all__ = ["MembershipState"]

# Maximum number of backend servers in an item of news, so that a message can hold it.
ENTRIES_PER_ITEM = 8
# If a node's region has at least this many other live nodes, only nodes of its region
# may suspect it (see `MembershipState._may_suspect`).
REGION_SUSPECTERS_MIN = 2
RECENT_DEATHS_WINDOW_S = 3600.0
DEAD_RETENTION_S = 2 * 3600.0
# A backend server with at least this suspicion is ejected.
EJECTION_SUSPICION = 1.0
READY = "ready"
# After a node has received this many items of news about a higher incarnation of
# itself, it reports that another node may use its id.
ID_CONFLICT_NEWS_MIN = 5


class MembershipState:
    """Applies news to the directory and queues the news to send to peers.

    Used by the member task alone; `now_s` is on the monotonic clock.

    Attributes
    ----------
    nodes_to_check : set of str
        Nodes that a peer suspects and that this node may probe at its next tick.
    unrefuted_epoch : Epoch or None
        Highest epoch in peers' verdicts on this node that it has not refuted, or None.
    """

    def __init__(self, own: OwnRecord, directory: Directory, events: EventLog) -> None:
        self.own = own
        self.directory = directory
        self.queue = NewsQueue()
        self.suspicions = Suspicions()
        self.nodes_to_check: set[str] = set()
        self.unrefuted_epoch: Epoch | None = None
        self._events = events
        self._recent_deaths: dict[str, tuple[float, str]] = {}
        # The directory's list of live nodes, and the same list without this node.
        # Valid as long as the directory returns the same list object.
        self._cached_peers: tuple[list[NodeRecord] | None, list[NodeRecord]] = (
            None,
            [],
        )
        self._higher_incarnation_count = 0

    def start(self, now_s: float) -> None:
        """Add this node to its own directory and queue its record."""
        self._announce_record(now_s)

    def peers(self) -> list[NodeRecord]:
        """Return all nodes that are not dead, except this one."""
        alive = self.directory.alive()
        if self._cached_peers[0] is not alive:
            own_id = self.own.node_id
            others = [node for node in alive if node.node_id != own_id]
            self._cached_peers = (alive, others)
        return self._cached_peers[1]

    def update_servers(
        self, servers: tuple[BackendServerRecord, ...], now_s: float
    ) -> None:
        """Apply and queue the changes of this node's backend servers."""
        entries = self.own.update_servers(servers)
        if not entries:
            return
        if self.own.has_too_many_gone():
            self.own.start_incarnation(self.own.epoch.incarnation + 1)
            self._announce_record(now_s)
            return
        incarnation = self.own.epoch.incarnation
        news = NodeNews(self.own.node_id, incarnation, servers=entries)
        for change in self.directory.apply(news, now_s).servers:
            self._queue_server(self.own.node_id, incarnation, change)

    def announce_leaving(self, now_s: float) -> None:
        """Announce that this node is leaving."""
        self.own.set_leaving()
        self._announce_header(now_s)

    def announce_alive(self, now_s: float) -> None:
        """Announce a higher header version, in case peers declared this node dead."""
        self.own.refute(self.own.epoch)
        self._announce_header(now_s)

    def handle_news(self, news: list[News], now_s: float, spread: bool) -> None:
        """Apply news from a peer.

        Parameters
        ----------
        spread : bool
            Whether to forward new items to other peers. False for records from
            anti-entropy, since most of the fleet has them already.
        """
        for item in news:
            match item:
                case VerdictNews():
                    self._handle_verdict(item, now_s)
                case NodeNews(node_id=self.own.node_id):
                    self._handle_own_news(Epoch(item.incarnation, item.version), now_s)
                case NodeNews():
                    self._handle_node_news(item, now_s, spread)

    def record_failed_probe(self, node: NodeRecord, now_s: float) -> None:
        """Suspect a node that answered no probe; if it is leaving, declare it dead."""
        view = self.directory.view(node.node_id)
        if view is None or view.is_dead:
            return
        if view.epoch > Epoch(node.incarnation, node.version):
            # The node restarted or refuted a verdict after the probe was sent.
            return
        if self.is_leaving(node.node_id):
            self._declare_dead(ExpiredSuspicion(node.node_id, view.epoch, True), now_s)
            return
        if not self._may_suspect(view.record):
            # Possibly only the link between the regions is down. The nodes of the
            # other region detect failures in their own region.
            return
        self._suspect(node.node_id, view.epoch, self.own.node_id, now_s)

    def is_leaving(self, node_id: str) -> bool:
        """Return whether a node announced that it is leaving."""
        view = self.directory.view(node_id)
        return view is not None and view.record.state == NodeState.LEAVING

    def record_ack(self, node_id: str) -> None:
        """Remove the suspicion of a node that acknowledged a probe."""
        self.suspicions.remove(node_id)

    def verdict_on(self, node_id: str) -> VerdictNews | None:
        """Return the verdict on a node, None if it is neither suspected nor dead."""
        view = self.directory.view(node_id)
        if view is None:
            return None
        if view.is_dead:
            return self._build_verdict(node_id, view.epoch, Verdict.DEAD)
        epoch = self.suspicions.epoch_of(node_id)
        return epoch and self._build_verdict(node_id, epoch, Verdict.SUSPECT)

    def expire(self, now_s: float) -> None:
        """Handle suspicions that timed out and remove nodes that died long ago.

        A node whose suspicion timed out is declared dead if enough nodes suspected
        it and not too many nodes of its region died recently. Otherwise the node
        is no longer suspected.
        """
        others = self.directory.live_count(self.own.region) - 2
        for expired in self.suspicions.expire(min(CONFIRMATIONS, others), now_s):
            if not expired.confirmed:
                self._events.emit("suspicion_lapsed", peer=expired.node_id)
            elif not self._too_many_deaths(expired.node_id, now_s):
                self._declare_dead(expired, now_s)
        for node_id in self.directory.remove_dead(now_s - DEAD_RETENTION_S):
            self._events.emit("node_forgotten", peer=node_id)

    def _handle_own_news(self, seen: Epoch, now_s: float) -> None:
        """Start an incarnation above that of `seen` if the own incarnation is lower."""
        own = self.own.epoch
        if seen.incarnation <= own.incarnation:
            return
        self.own.refute(seen)
        self._higher_incarnation_count += 1
        self._events.emit("incarnation_outbid", seen=seen.incarnation)
        if self._higher_incarnation_count == ID_CONFLICT_NEWS_MIN:
            self._events.emit(
                "node_id_conflict", cause="another node may use this node's id"
            )
        self._announce_record(now_s)

    def _handle_node_news(self, news: NodeNews, now_s: float, spread: bool) -> None:
        before = self.directory.view(news.node_id)
        was_dead = before is not None and before.is_dead
        changes = self.directory.apply(news, now_s)
        if spread and news.header is None and len(changes.servers) < len(news.servers):
            self._record_duplicates(news, changes)
        if changes.rejected_as_dead:
            # In the directory, the node is dead. The verdict is queued again to reach
            # the node. If the node is alive, it then refutes the verdict.
            self.queue.add(self.verdict_on(news.node_id), Priority.NORMAL, 1)
            return
        if not changes.any:
            return
        urgent = was_dead
        if changes.header:
            epoch = Epoch(news.incarnation, news.version)
            urgent |= self.suspicions.refute(news.node_id, epoch)
            self._recent_deaths.pop(news.node_id, None)
            self._emit_node_event(news, "node_refuted" if urgent else "node_learned")
        if spread or urgent:
            self._queue_changes(news, changes, urgent)

    def _record_duplicates(self, news: NodeNews, changes: ChangedParts) -> None:
        new = {change.entry for change in changes.servers}
        for entry in news.servers:
            if entry not in new:
                self.queue.record_duplicate(
                    NodeNews(news.node_id, news.incarnation, servers=[entry])
                )

    def _emit_node_event(self, news: NodeNews, event: str) -> None:
        self._events.emit(
            event,
            peer=news.node_id,
            peer_incarnation=news.incarnation,
            version=news.version,
            state=news.header.state,
        )

    def _queue_changes(
        self, news: NodeNews, changes: ChangedParts, urgent: bool
    ) -> None:
        if not changes.header:
            for change in changes.servers:
                self._queue_server(news.node_id, news.incarnation, change)
            return
        urgent |= news.header.state == NodeState.LEAVING
        priority = Priority.URGENT if urgent else Priority.NORMAL
        entries = [change.entry for change in changes.servers]
        self._queue_node(msgspec.structs.replace(news, servers=entries), priority)

    def _queue_node(self, news: NodeNews, priority: Priority) -> None:
        """Queue a header and entries, split so that each item fits into a message."""
        for first in range(ENTRIES_PER_ITEM, len(news.servers), ENTRIES_PER_ITEM):
            for entry in news.servers[first : first + ENTRIES_PER_ITEM]:
                self._queue_entry(
                    news.node_id, news.incarnation, entry, Priority.NORMAL
                )
        first_item = msgspec.structs.replace(
            news, servers=news.servers[:ENTRIES_PER_ITEM]
        )
        self.queue.add(first_item, priority, self._fleet_size())

    def _queue_server(self, node_id, incarnation, change: ServerChange) -> None:
        self._queue_entry(node_id, incarnation, change.entry, _priority(change))

    def _queue_entry(self, node_id, incarnation, entry: ServerEntry, priority) -> None:
        news = NodeNews(node_id, incarnation, servers=[entry])
        self.queue.add(news, priority, self._fleet_size())

    def _handle_verdict(self, verdict_news: VerdictNews, now_s: float) -> None:
        epoch = Epoch(verdict_news.incarnation, verdict_news.version)
        if verdict_news.node_id == self.own.node_id:
            self._handle_own_verdict(epoch, now_s)
            return
        view = self.directory.view(verdict_news.node_id)
        if view is None or view.is_dead or epoch < view.epoch:
            return
        dead = verdict_news.verdict is Verdict.DEAD
        if dead and not self._too_many_deaths(verdict_news.node_id, now_s):
            self._declare_dead(
                ExpiredSuspicion(verdict_news.node_id, epoch, True),
                now_s,
                verdict_news.by,
            )
        else:
            self._suspect(verdict_news.node_id, epoch, verdict_news.by, now_s)

    def _handle_own_verdict(self, epoch: Epoch, now_s: float) -> None:
        if epoch < self.own.epoch:
            # The verdict is on an older epoch: its sender lacks this node's newest
            # header, which refutes the verdict. The header may have been lost on the
            # broken link that also caused the suspicion. So the header is sent again.
            self._announce_header(now_s)
            return
        self.unrefuted_epoch = max(epoch, self.unrefuted_epoch or epoch)

    def confirm_reachable(self, now_s: float) -> None:
        """Refute the verdicts on this node after a peer has reached this node.

        If nodes refuted verdicts on receipt, a node that can open but not accept
        connections would refute each verdict. Its peers would alternately consider
        it dead and alive, although no request can reach it.
        """
        if self.unrefuted_epoch is None:
            return
        self._events.emit("claim_refuted", version=self.unrefuted_epoch.version)
        new_incarnation = self.own.refute(self.unrefuted_epoch)
        self.unrefuted_epoch = None
        if new_incarnation:
            self._announce_record(now_s)
        else:
            self._announce_header(now_s)

    def _suspect(self, node_id: str, epoch: Epoch, by: str, now_s: float) -> None:
        if not self.suspicions.add(node_id, epoch, by, now_s):
            return
        self._events.emit("node_suspected", peer=node_id, by=by)
        if by != self.own.node_id:
            self.nodes_to_check.add(node_id)
        verdict_news = VerdictNews(node_id, *epoch, Verdict.SUSPECT, by)
        self.queue.add(verdict_news, Priority.URGENT, self._fleet_size())

    def _declare_dead(
        self, expired: ExpiredSuspicion, now_s: float, by: str | None = None
    ) -> None:
        view = self.directory.view(expired.node_id)
        if not self.directory.declare_dead(expired.node_id, expired.epoch, now_s):
            return
        self.suspicions.remove(expired.node_id)
        if view.record.state != NodeState.LEAVING:
            self._recent_deaths[expired.node_id] = (now_s, view.record.region)
        by = by or self.own.node_id
        self._events.emit("node_dead", peer=expired.node_id, by=by)
        verdict = VerdictNews(expired.node_id, *expired.epoch, Verdict.DEAD, by)
        self.queue.add(verdict, Priority.URGENT, self._fleet_size())

    def _build_verdict(
        self, node_id: str, epoch: Epoch, verdict: Verdict
    ) -> VerdictNews:
        return VerdictNews(node_id, *epoch, verdict, self.own.node_id)

    def _too_many_deaths(self, node_id: str, now_s: float) -> bool:
        """Return whether over half of a node's region died recently, the node included.

        If so, a partition is the more likely cause. Nodes on its smaller side can't
        reach most of their region and confirm each other's suspicions. If they
        declared the larger side dead, none of them would send requests to its backend
        servers, not even a node whose links to gates of the larger side still work.
        """
        region = self.directory.view(node_id).record.region
        recent = 0
        for dead_id, (dead_s, dead_region) in list(self._recent_deaths.items()):
            if now_s - dead_s > RECENT_DEATHS_WINDOW_S:
                del self._recent_deaths[dead_id]
            elif dead_region == region:
                recent += 1
        if 2 * (recent + 1) <= self.directory.live_count(region) + recent:
            return False
        self._events.emit("death_held", peer=node_id, recent_deaths=recent)
        return True

    def _may_suspect(self, node: NodeRecord) -> bool:
        """Return whether this node may suspect a node after a failed probe.

        The link between two regions can fail for an hour. If nodes could then suspect
        the nodes of the other region, each region would declare the other one dead.
        """
        if node.region == self.own.region:
            return True
        return self.directory.live_count(node.region) - 1 < REGION_SUSPECTERS_MIN

    def _fleet_size(self) -> int:
        return self.directory.live_count()

    def _announce_record(self, now_s: float) -> None:
        full_news = self.own.full_news()
        self.directory.apply(full_news, now_s)
        self._queue_node(full_news, Priority.URGENT)

    def _announce_header(self, now_s: float) -> None:
        header = msgspec.structs.replace(self.own.full_news(), servers=[])
        self.directory.apply(header, now_s)
        self._queue_node(header, Priority.URGENT)


def _priority(change: ServerChange) -> Priority:
    """Return the priority of the news that a backend server changed."""
    record, before = change.entry.record, change.before
    if record.state != READY or record.suspicion >= EJECTION_SUSPICION:
        stopped = before is None or (before.state, before.boot_id) != (
            record.state,
            record.boot_id,
        )
        crossed = before is not None and before.suspicion < EJECTION_SUSPICION
        return Priority.URGENT if stopped or crossed else Priority.DETAIL
    if before is None or before.state != record.state:
        return Priority.NORMAL
    if before.boot_id != record.boot_id or before.suspicion >= EJECTION_SUSPICION:
        return Priority.NORMAL
    return Priority.DETAIL
