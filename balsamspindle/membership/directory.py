"""What this node knows of the fleet's nodes."""

import sys
import threading
from collections import Counter
from typing import NamedTuple

from balsamspindle.membership.fingerprints import Buckets
from balsamspindle.membership.node_view import (
    GONE,
    Changes,
    Epoch,
    NodeState,
    NodeView,
    ServerChange,
)
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    NodeRecord,
    NodeSummary,
    ServerEntry,
)

__all__ = ["Directory", "NodeState", "Placement"]

NOTHING_NEW = Changes()
_USUAL_VALUES = {value: value for value in (0.0, 0.5, 1.0)}


class Placement(NamedTuple):
    """One backend server and the node whose gate stands before it.

    Attributes
    ----------
    node : NodeRecord
        Without its backend servers.
    """

    node: NodeRecord
    backend_server: BackendServerRecord


class Directory:
    """Records of all known nodes; read by every request, so reads are cheap.

    News of a node replaces older news part by part: a higher incarnation
    replaces all, a higher version the header or one backend server. Only the
    services that a change touches are indexed anew, at their next read.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._views: dict[str, NodeView] = {}
        self._buckets = Buckets()
        self._bucket_ids: dict[int, dict[str, None]] = {}
        self._nodes_of: dict[str, dict[str, int]] = {}
        self._placements: dict[str, tuple[Placement, ...]] = {}
        self._alive: list[NodeRecord] | None = None
        self._dead: dict[str, NodeView] = {}
        # Counted as nodes come and go: in the minute in which a zone is lost
        # each of its deaths would else walk all nodes.
        self._live_in: Counter[str] = Counter()

    def update(self, record: NodeRecord, now_s: float) -> bool:
        """Take a whole record; return True when it was news."""
        header = NodeHeader(
            record.region,
            record.availability_zone,
            record.link_address,
            record.member_address,
            record.state,
            record.admin_address,
        )
        with self._lock:
            servers = record.backend_servers + self._missing_in(record)
            news = NodeNews(
                record.node_id,
                record.incarnation,
                record.version,
                header,
                [ServerEntry(record.version, server) for server in servers],
            )
            return self.apply(news, now_s).any

    def apply(self, news: NodeNews, now_s: float) -> Changes:
        """Take a piece of news and return what of it was new."""
        with self._lock:
            view = self._views.get(news.node_id)
            if view is None or news.incarnation > view.record.incarnation:
                return self._add(news, view)
            if news.incarnation < view.record.incarnation:
                return NOTHING_NEW
            newer_header = (
                news.header is not None and news.version > view.record.version
            )
            if view.is_dead and not newer_header:
                return Changes(dead=True)
            self._mix(view)
            if newer_header:
                self._set_header(view, news)
            changed = self._set_entries(view, news)
            self._mix(view)
            return Changes(newer_header, changed)

    def declare_dead(self, node_id: str, epoch: Epoch, now_s: float) -> bool:
        """Take a node's backend servers out; False when the claim is old."""
        with self._lock:
            view = self._views.get(node_id)
            if view is None or view.is_dead or view.epoch > epoch:
                return False
            self._mix(view)
            view.dead_since_s = now_s
            self._live_in[view.record.region] -= 1
            self._dead[node_id] = view
            self._alive = None
            self._index_all(view)
            return True

    def forget_dead(self, dead_before_s: float) -> list[str]:
        """Forget nodes that have been dead since before a time."""
        with self._lock:
            old = [
                node_id
                for node_id, view in self._dead.items()
                if view.dead_since_s < dead_before_s
            ]
            for node_id in old:
                self._remove(self._views[node_id])
            return old

    def view(self, node_id: str) -> NodeView | None:
        """Return what is known of one node; read it in the member task only."""
        return self._views.get(node_id)

    def alive(self) -> list[NodeRecord]:
        """Return the headers of all nodes that are not dead."""
        alive = self._alive
        if alive is None:
            with self._lock:
                alive = [
                    view.record for view in self._views.values() if not view.is_dead
                ]
                self._alive = alive
        return alive

    def live_count(self, region: str | None = None) -> int:
        """Return the number of nodes that are not dead, of a region or of all."""
        if region is None:
            return len(self._views) - len(self._dead)
        return self._live_in[region]

    def dead(self) -> list[NodeView]:
        """Return the nodes that were declared dead and are not yet forgotten."""
        with self._lock:
            return list(self._dead.values())

    def records(self) -> list[NodeRecord]:
        """Return the whole records of all nodes that are not dead."""
        with self._lock:
            return [
                view.full_record() for view in self._views.values() if not view.is_dead
            ]

    def placements(self, service: str) -> tuple[Placement, ...]:
        """Return the known backend servers of a service."""
        placements = self._placements.get(service)
        return self._index(service) if placements is None else placements

    def services(self) -> list[str]:
        """Return the services that have backend servers."""
        with self._lock:
            return sorted(self._nodes_of)

    def digests(self) -> bytes:
        """Return the digests by bucket, as they travel."""
        with self._lock:
            return self._buckets.encode()

    def differing(self, digests: bytes) -> list[int] | None:
        """Return the buckets in which another node knows something else."""
        with self._lock:
            return self._buckets.differing(digests)

    def summaries(self, bucket: int) -> list[NodeSummary]:
        """Return what is known of the live nodes of one bucket, in few bytes."""
        with self._lock:
            views = [self._views[one] for one in self._bucket_ids.get(bucket, ())]
            return [
                NodeSummary(
                    view.record.node_id,
                    view.record.incarnation,
                    view.version,
                    view.fingerprint,
                )
                for view in views
                if not view.is_dead
            ]

    def _add(self, news: NodeNews, old: NodeView | None) -> Changes:
        if news.header is None:
            # Entries of a node or incarnation that we do not know: without a
            # header nobody could reach them; anti-entropy brings both.
            return NOTHING_NEW
        if old is not None:
            self._remove(old)
        view = NodeView(_header_record(news))
        self._views[news.node_id] = view
        self._live_in[view.record.region] += 1
        self._bucket_ids.setdefault(view.bucket, {})[news.node_id] = None
        changed = self._set_entries(view, news)
        self._mix(view)
        self._alive = None
        return Changes(True, changed)

    def _remove(self, view: NodeView) -> None:
        if not view.is_dead:
            self._mix(view)
            self._live_in[view.record.region] -= 1
        for entry in view.entries.values():
            self._count_service(view, entry.record, -1)
        del self._views[view.record.node_id]
        self._dead.pop(view.record.node_id, None)
        del self._bucket_ids[view.bucket][view.record.node_id]
        self._alive = None

    def _set_header(self, view: NodeView, news: NodeNews) -> None:
        if not view.is_dead:
            self._live_in[view.record.region] -= 1
        view.set_header(_header_record(news))
        self._live_in[view.record.region] += 1
        self._dead.pop(news.node_id, None)
        self._alive = None
        self._index_all(view)

    def _set_entries(self, view: NodeView, news: NodeNews) -> list[ServerChange]:
        changes = (self._set_entry(view, entry) for entry in news.servers)
        return [change for change in changes if change is not None]

    def _set_entry(self, view: NodeView, entry: ServerEntry) -> ServerChange | None:
        known = view.entries.get(entry.record.backend_server_id)
        entry = ServerEntry(entry.version, _interned(entry.record))
        if not view.set_entry(entry):
            return None
        if known is not None:
            self._count_service(view, known.record, -1)
        self._count_service(view, entry.record, 1)
        return ServerChange(entry, known and known.record)

    def _missing_in(self, record: NodeRecord) -> tuple[BackendServerRecord, ...]:
        """Return the backend servers that a newer whole record no longer has."""
        view = self._views.get(record.node_id)
        if view is None or view.epoch >= Epoch(record.incarnation, record.version):
            return ()
        kept = {server.backend_server_id for server in record.backend_servers}
        return tuple(
            entry.record._replace(state=GONE)
            for server_id, entry in view.entries.items()
            if server_id not in kept
        )

    def _count_service(self, view: NodeView, record, change: int) -> None:
        """Keep the number of a service's backend servers at each node."""
        if record.state == GONE:
            return
        counts = self._nodes_of.setdefault(record.service, {})
        node_id = view.record.node_id
        counts[node_id] = counts.get(node_id, 0) + change
        if not counts[node_id]:
            del counts[node_id]
        if not counts:
            del self._nodes_of[record.service]
        self._placements.pop(record.service, None)

    def _index_all(self, view: NodeView) -> None:
        for entry in view.entries.values():
            self._placements.pop(entry.record.service, None)

    def _index(self, service: str) -> tuple[Placement, ...]:
        with self._lock:
            placements = tuple(
                Placement(view.record, entry.record)
                for view in map(self._views.get, self._nodes_of.get(service, ()))
                if not view.is_dead
                for entry in view.entries.values()
                if entry.record.service == service and entry.record.state != GONE
            )
            # A service without backend servers is not kept: names that only
            # callers make up would fill the memory.
            if placements:
                self._placements[service] = placements
            return placements

    def _mix(self, view: NodeView) -> None:
        if not view.is_dead:
            self._buckets.mix(view.bucket, view.fingerprint)


def _header_record(news: NodeNews) -> NodeRecord:
    header = news.header
    return NodeRecord(
        news.node_id,
        news.incarnation,
        news.version,
        sys.intern(header.region),
        sys.intern(header.availability_zone),
        header.link_address,
        header.member_address,
        sys.intern(header.state),
        admin_address=header.admin_address,
    )


def _interned(record: BackendServerRecord) -> BackendServerRecord:
    """Share equal values: a service's name stands in many records.

    Off the wire each record brings strings and floats of its own; at 140,000
    records the usual suspicion and capacity alone would take megabytes.
    """
    return record._replace(
        service=sys.intern(record.service),
        state=sys.intern(record.state),
        suspicion=_USUAL_VALUES.get(record.suspicion, record.suspicion),
        capacity=_USUAL_VALUES.get(record.capacity, record.capacity),
    )
