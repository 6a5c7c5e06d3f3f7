"""What this node makes of news: the rules of suspicion, death and refutation."""

import msgspec

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.news_queue import NewsQueue, Priority
from balsamspindle.membership.node_view import (
    Changes,
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

__all__ = ["Knowledge"]

# Entries in one item of news, so that an item fits into a small message.
ENTRIES_PER_ITEM = 8
# Nodes that a region needs, the target aside, to be judged by itself alone.
REGION_JUDGES_MIN = 2
DEATHS_REMEMBERED_S = 3600.0
DEAD_KEPT_S = 2 * 3600.0
SUSPICION_EJECTS = 1.0
READY = "ready"
CONFLICTS_TOLD = 5


class Knowledge:
    """Takes news, decides on it, and queues what is to be passed on.

    Used by the member task alone; `now_s` is on the monotonic clock.

    Attributes
    ----------
    to_check : set of str
        Nodes that a peer suspects and that may need a probe of our own.
    disputed : Epoch or None
        Epoch at which others hold this node suspect or dead.
    """

    def __init__(self, own: OwnRecord, directory: Directory, events: EventLog) -> None:
        self.own = own
        self.directory = directory
        self.queue = NewsQueue()
        self.suspicions = Suspicions()
        self.to_check: set[str] = set()
        self.disputed: Epoch | None = None
        self._events = events
        self._recent_deaths: dict[str, tuple[float, str]] = {}
        # Kept for as long as the directory's list of live nodes is the same.
        self._peers: tuple[list[NodeRecord] | None, list[NodeRecord]] = (None, [])
        self._outbids = 0

    def start(self, now_s: float) -> None:
        """Put this node into its own directory and tell of it."""
        self._tell_whole(now_s)

    def peers(self) -> list[NodeRecord]:
        """Return all nodes but this one that are not dead."""
        alive = self.directory.alive()
        if self._peers[0] is not alive:
            own_id = self.own.node_id
            others = [node for node in alive if node.node_id != own_id]
            self._peers = (alive, others)
        return self._peers[1]

    def refresh(self, servers: tuple[BackendServerRecord, ...], now_s: float) -> None:
        """Tell what changed of this node's backend servers."""
        entries = self.own.refresh(servers)
        if not entries:
            return
        if self.own.too_many_gone():
            self.own.restart(self.own.epoch.incarnation + 1)
            self._tell_whole(now_s)
            return
        incarnation = self.own.epoch.incarnation
        news = NodeNews(self.own.node_id, incarnation, servers=entries)
        for change in self.directory.apply(news, now_s).servers:
            self._queue_server(self.own.node_id, incarnation, change)

    def leave(self, now_s: float) -> None:
        """Tell that this node is going."""
        self.own.leave()
        self._tell_header(now_s)

    def assert_alive(self, now_s: float) -> None:
        """Refute whatever may have been said of this node meanwhile."""
        self.own.refute(self.own.epoch)
        self._tell_header(now_s)

    def take(self, news: list[News], now_s: float, spread: bool) -> None:
        """Take news from a peer.

        Parameters
        ----------
        spread : bool
            Whether to pass it on; not so for records that anti-entropy
            brought, which the fleet knows already.
        """
        for item in news:
            match item:
                case VerdictNews():
                    self._take_claim(item, now_s)
                case NodeNews(node_id=self.own.node_id):
                    self._take_own(Epoch(item.incarnation, item.version), now_s)
                case NodeNews():
                    self._take_node(item, now_s, spread)

    def failed_probe(self, node: NodeRecord, now_s: float) -> None:
        """Suspect a node that neither we nor our helpers reached."""
        view = self.directory.view(node.node_id)
        if view is None or view.is_dead:
            return
        if view.epoch > Epoch(node.incarnation, node.version):
            # It came back, or refuted, after the probe was sent.
            return
        if self.is_leaving(node.node_id):
            self._declare(ExpiredSuspicion(node.node_id, view.epoch, True), now_s)
            return
        if not self._may_judge(view.record):
            # Another region's link may be down: its own nodes say who died.
            return
        self._suspect(node.node_id, view.epoch, self.own.node_id, now_s)

    def is_leaving(self, node_id: str) -> bool:
        """Tell whether a node said that it is going."""
        view = self.directory.view(node_id)
        return view is not None and view.record.state == NodeState.LEAVING

    def heard(self, node_id: str) -> None:
        """Note an acknowledgement: both directions work, nothing is suspected."""
        self.suspicions.drop(node_id)

    def claim_about(self, node_id: str) -> VerdictNews | None:
        """Return what a node has to refute, None when nothing is held against it."""
        view = self.directory.view(node_id)
        if view is None:
            return None
        if view.is_dead:
            return self._claim(node_id, view.epoch, Verdict.DEAD)
        epoch = self.suspicions.epoch_of(node_id)
        return epoch and self._claim(node_id, epoch, Verdict.SUSPECT)

    def expire(self, now_s: float) -> None:
        """Turn suspicions whose time is over into deaths, or drop them."""
        others = self.directory.live_count(self.own.region) - 2
        for expired in self.suspicions.expire(min(CONFIRMATIONS, others), now_s):
            if not expired.confirmed:
                self._events.emit("suspicion_lapsed", peer=expired.node_id)
            elif not self._too_many_deaths(expired.node_id, now_s):
                self._declare(expired, now_s)
        for node_id in self.directory.forget_dead(now_s - DEAD_KEPT_S):
            self._events.emit("node_forgotten", peer=node_id)

    def _take_own(self, seen: Epoch, now_s: float) -> None:
        """Outbid an older self; see `OwnRecord.refute`."""
        own = self.own.epoch
        if seen.incarnation <= own.incarnation:
            return
        self.own.refute(seen)
        self._outbids += 1
        self._events.emit("incarnation_outbid", seen=seen.incarnation)
        if self._outbids == CONFLICTS_TOLD:
            self._events.emit(
                "node_id_conflict", cause="another node may use this node's id"
            )
        self._tell_whole(now_s)

    def _take_node(self, news: NodeNews, now_s: float, spread: bool) -> None:
        before = self.directory.view(news.node_id)
        was_dead = before is not None and before.is_dead
        changes = self.directory.apply(news, now_s)
        if spread and news.header is None and len(changes.servers) < len(news.servers):
            self._count_repeated(news, changes)
        if changes.dead:
            # The sender does not know of the death: it has to be told, or to
            # bring a later epoch.
            self.queue.add(self.claim_about(news.node_id), Priority.NORMAL, 1)
            return
        if not changes.any:
            return
        urgent = was_dead
        if changes.header:
            epoch = Epoch(news.incarnation, news.version)
            urgent |= self.suspicions.refute(news.node_id, epoch)
            self._recent_deaths.pop(news.node_id, None)
            self._emit_learned(news, "node_refuted" if urgent else "node_learned")
        if spread or urgent:
            self._queue_changes(news, changes, urgent)

    def _count_repeated(self, news: NodeNews, changes: Changes) -> None:
        new = {change.entry for change in changes.servers}
        for entry in news.servers:
            if entry not in new:
                self.queue.record_duplicate(
                    NodeNews(news.node_id, news.incarnation, servers=[entry])
                )

    def _emit_learned(self, news: NodeNews, event: str) -> None:
        self._events.emit(
            event,
            peer=news.node_id,
            peer_incarnation=news.incarnation,
            version=news.version,
            state=news.header.state,
        )

    def _queue_changes(self, news: NodeNews, changes: Changes, urgent: bool) -> None:
        if not changes.header:
            for change in changes.servers:
                self._queue_server(news.node_id, news.incarnation, change)
            return
        urgent |= news.header.state == NodeState.LEAVING
        priority = Priority.URGENT if urgent else Priority.NORMAL
        entries = [change.entry for change in changes.servers]
        self._queue_node(msgspec.structs.replace(news, servers=entries), priority)

    def _queue_node(self, news: NodeNews, priority: Priority) -> None:
        """Queue a header and its entries, in items that fit into a message."""
        for first in range(ENTRIES_PER_ITEM, len(news.servers), ENTRIES_PER_ITEM):
            for entry in news.servers[first : first + ENTRIES_PER_ITEM]:
                self._queue_entry(
                    news.node_id, news.incarnation, entry, Priority.NORMAL
                )
        head = msgspec.structs.replace(news, servers=news.servers[:ENTRIES_PER_ITEM])
        self.queue.add(head, priority, self._size())

    def _queue_server(self, node_id, incarnation, change: ServerChange) -> None:
        self._queue_entry(node_id, incarnation, change.entry, _priority(change))

    def _queue_entry(self, node_id, incarnation, entry: ServerEntry, priority) -> None:
        news = NodeNews(node_id, incarnation, servers=[entry])
        self.queue.add(news, priority, self._size())

    def _take_claim(self, claim: VerdictNews, now_s: float) -> None:
        epoch = Epoch(claim.incarnation, claim.version)
        if claim.node_id == self.own.node_id:
            self._dispute(epoch, now_s)
            return
        view = self.directory.view(claim.node_id)
        if view is None or view.is_dead or epoch < view.epoch:
            return
        dead = claim.verdict is Verdict.DEAD
        if dead and not self._too_many_deaths(claim.node_id, now_s):
            self._declare(ExpiredSuspicion(claim.node_id, epoch, True), now_s, claim.by)
        else:
            self._suspect(claim.node_id, epoch, claim.by, now_s)

    def _dispute(self, epoch: Epoch, now_s: float) -> None:
        if epoch < self.own.epoch:
            # Refuted already, but the sender did not hear it: the answer may
            # have been lost together with the link that made them suspect us.
            self._tell_header(now_s)
            return
        self.disputed = max(epoch, self.disputed or epoch)

    def confirm_reachable(self, now_s: float) -> None:
        """Refute what others say of this node, now that a peer reached it.

        Without this proof a node that nobody can call, but whose own
        connections work, would refute its death each time it reads of it:
        dead and alive in turns everywhere, and useless all the time.
        """
        if self.disputed is None:
            return
        self._events.emit("claim_refuted", version=self.disputed.version)
        new_incarnation = self.own.refute(self.disputed)
        self.disputed = None
        if new_incarnation:
            self._tell_whole(now_s)
        else:
            self._tell_header(now_s)

    def _suspect(self, node_id: str, epoch: Epoch, by: str, now_s: float) -> None:
        if not self.suspicions.add(node_id, epoch, by, now_s):
            return
        self._events.emit("node_suspected", peer=node_id, by=by)
        if by != self.own.node_id:
            self.to_check.add(node_id)
        claim = VerdictNews(node_id, *epoch, Verdict.SUSPECT, by)
        self.queue.add(claim, Priority.URGENT, self._size())

    def _declare(
        self, verdict: ExpiredSuspicion, now_s: float, by: str | None = None
    ) -> None:
        view = self.directory.view(verdict.node_id)
        if not self.directory.declare_dead(verdict.node_id, verdict.epoch, now_s):
            return
        self.suspicions.drop(verdict.node_id)
        if view.record.state != NodeState.LEAVING:
            self._recent_deaths[verdict.node_id] = (now_s, view.record.region)
        by = by or self.own.node_id
        self._events.emit("node_dead", peer=verdict.node_id, by=by)
        claim = VerdictNews(verdict.node_id, *verdict.epoch, Verdict.DEAD, by)
        self.queue.add(claim, Priority.URGENT, self._size())

    def _claim(self, node_id: str, epoch: Epoch, verdict: Verdict) -> VerdictNews:
        return VerdictNews(node_id, *epoch, verdict, self.own.node_id)

    def _too_many_deaths(self, node_id: str, now_s: float) -> bool:
        """Tell whether this node is more likely cut off than the others dead.

        Nodes on the smaller side of a partition see most of their region
        fail at once and confirm each other's suspicions. Without this bound
        they would declare all of it dead, and their callers would find no
        backend server even where a link still works.
        """
        region = self.directory.view(node_id).record.region
        recent = 0
        for dead_id, (dead_s, dead_region) in list(self._recent_deaths.items()):
            if now_s - dead_s > DEATHS_REMEMBERED_S:
                del self._recent_deaths[dead_id]
            elif dead_region == region:
                recent += 1
        if 2 * (recent + 1) <= self.directory.live_count(region) + recent:
            return False
        self._events.emit("death_held", peer=node_id, recent_deaths=recent)
        return True

    def _may_judge(self, node: NodeRecord) -> bool:
        """Tell whether this node's failure to reach another says anything.

        Regions lose each other for an hour. If nodes of one region judged
        those of another, all of them would be declared dead at once.
        """
        if node.region == self.own.region:
            return True
        return self.directory.live_count(node.region) - 1 < REGION_JUDGES_MIN

    def _size(self) -> int:
        return self.directory.live_count()

    def _tell_whole(self, now_s: float) -> None:
        whole = self.own.whole()
        self.directory.apply(whole, now_s)
        self._queue_node(whole, Priority.URGENT)

    def _tell_header(self, now_s: float) -> None:
        header = msgspec.structs.replace(self.own.whole(), servers=[])
        self.directory.apply(header, now_s)
        self._queue_node(header, Priority.URGENT)


def _priority(change: ServerChange) -> Priority:
    """Return how urgent a change of one backend server is."""
    record, before = change.entry.record, change.before
    if record.state != READY or record.suspicion >= SUSPICION_EJECTS:
        stopped = before is None or (before.state, before.boot_id) != (
            record.state,
            record.boot_id,
        )
        crossed = before is not None and before.suspicion < SUSPICION_EJECTS
        return Priority.URGENT if stopped or crossed else Priority.DETAIL
    if before is None or before.state != record.state:
        return Priority.NORMAL
    if before.boot_id != record.boot_id or before.suspicion >= SUSPICION_EJECTS:
        return Priority.NORMAL
    return Priority.DETAIL
