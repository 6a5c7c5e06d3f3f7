"""Directory of all known nodes and their backend servers."""

import sys
import threading
from collections import Counter
from typing import NamedTuple

from balsamspindle.membership.fingerprints import BucketDigests
from balsamspindle.membership.headers import header_of, record_with_header
from balsamspindle.membership.node_view import (
    GONE,
    ChangedParts,
    Epoch,
    NodeState,
    NodeView,
    ServerChange,
)
from balsamspindle.wire import (
    BackendServerRecord,
    NodeNews,
    NodeRecord,
    NodeSummary,
    ServerEntry,
)

__all__ = ["Directory", "NodeState", "Placement"]

NO_CHANGES = ChangedParts()
_COMMON_VALUES = {value: value for value in (0.0, 0.5, 1.0)}


class Placement(NamedTuple):
    """One backend server and the node whose gate forwards requests to it.

    Attributes
    ----------
    node : NodeRecord
        The node's record without its backend servers.
    """

    node: NodeRecord
    backend_server: BackendServerRecord


class Directory:
    """Records of all known nodes.

    Each request reads the directory, so the results of `placements` and `alive` are
    cached, and a cached result is returned without taking the lock.

    News with a higher incarnation of a node replaces the node's whole record.
    Within an incarnation, the header and the entry of each backend server have
    versions of their own, and a higher version replaces the lower one. A change
    discards the cached placements of the services that it affects, and the next
    read rebuilds them.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._views: dict[str, NodeView] = {}
        self._bucket_digests = BucketDigests()
        self._node_ids_by_bucket: dict[int, dict[str, None]] = {}
        self._server_counts: dict[str, dict[str, int]] = {}
        self._placements: dict[str, tuple[Placement, ...]] = {}
        self._alive: list[NodeRecord] | None = None
        self._dead: dict[str, NodeView] = {}
        # Number of live nodes by region. The number is read for each node that is
        # declared dead. When a zone is lost, many nodes are declared dead at once, and
        # counting all nodes for each of them would be slow.
        self._live_by_region: Counter[str] = Counter()

    def update(self, record: NodeRecord, now_s: float) -> bool:
        """Apply a node's full record; return whether any part of the record was new.

        Known backend servers that a newer record lacks get state `GONE`.
        """
        with self._lock:
            servers = record.backend_servers + self._removed_servers(record)
            news = NodeNews(
                record.node_id,
                record.incarnation,
                record.version,
                header_of(record),
                [ServerEntry(record.version, server) for server in servers],
            )
            return self.apply(news, now_s).any

    def apply(self, news: NodeNews, now_s: float) -> ChangedParts:
        """Apply news of one node; return which parts of the news were new."""
        with self._lock:
            view = self._views.get(news.node_id)
            if view is None or news.incarnation > view.record.incarnation:
                return self._add(news, view)
            if news.incarnation < view.record.incarnation:
                return NO_CHANGES
            newer_header = (
                news.header is not None and news.version > view.record.version
            )
            if view.is_dead and not newer_header:
                return ChangedParts(rejected_as_dead=True)
            self._toggle_fingerprint(view)
            if newer_header:
                self._set_header(view, news)
            changed = self._set_entries(view, news)
            self._toggle_fingerprint(view)
            return ChangedParts(newer_header, changed)

    def declare_dead(self, node_id: str, epoch: Epoch, now_s: float) -> bool:
        """Mark a node as dead, which removes its backend servers from `placements`.

        Returns
        -------
        bool
            False when nothing changed: the node is unknown or already dead, or
            the directory has a header of the node that is newer than `epoch`.
        """
        with self._lock:
            view = self._views.get(node_id)
            if view is None or view.is_dead or view.epoch > epoch:
                return False
            self._toggle_fingerprint(view)
            view.dead_since_s = now_s
            self._live_by_region[view.record.region] -= 1
            self._dead[node_id] = view
            self._alive = None
            self._clear_placements(view)
            return True

    def remove_dead(self, dead_before_s: float) -> list[str]:
        """Remove nodes declared dead before `dead_before_s`; return their ids."""
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
        """Return the view of a node, None if unknown; only for the member task."""
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
        """Return the number of nodes that are not dead, in one region or in all."""
        if region is None:
            return len(self._views) - len(self._dead)
        return self._live_by_region[region]

    def dead(self) -> list[NodeView]:
        """Return the nodes that were declared dead and are not removed yet."""
        with self._lock:
            return list(self._dead.values())

    def records(self) -> list[NodeRecord]:
        """Return the full records of all nodes that are not dead."""
        with self._lock:
            return [
                view.full_record() for view in self._views.values() if not view.is_dead
            ]

    def placements(self, service: str) -> tuple[Placement, ...]:
        """Return a service's backend servers, except those of dead nodes."""
        placements = self._placements.get(service)
        return self._build_placements(service) if placements is None else placements

    def services(self) -> list[str]:
        """Return the services that have a backend server.

        Backend servers of dead nodes count, although `placements` omits them.
        """
        with self._lock:
            return sorted(self._server_counts)

    def digests(self) -> bytes:
        """Return the digests of all buckets in the format of `SyncRequest`."""
        with self._lock:
            return self._bucket_digests.encode()

    def differing_buckets(self, digests: bytes) -> list[int] | None:
        """Return the buckets whose digests differ from another node's digests.

        Returns None when `digests` has the wrong size.
        """
        with self._lock:
            return self._bucket_digests.differing_buckets(digests)

    def summaries(self, bucket: int) -> list[NodeSummary]:
        """Return summaries of the nodes in one bucket that are not dead."""
        with self._lock:
            views = [
                self._views[node_id]
                for node_id in self._node_ids_by_bucket.get(bucket, ())
            ]
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

    def _add(self, news: NodeNews, old: NodeView | None) -> ChangedParts:
        if news.header is None:
            # The news has entries but no header, and the directory has no header of
            # this incarnation. The header has the node's addresses. Without them, no
            # request can be sent to the backend servers, so the entries are ignored.
            # Anti-entropy delivers the header together with the entries later.
            return NO_CHANGES
        if old is not None:
            self._remove(old)
        view = NodeView(_header_record(news))
        self._views[news.node_id] = view
        self._live_by_region[view.record.region] += 1
        self._node_ids_by_bucket.setdefault(view.bucket, {})[news.node_id] = None
        changed = self._set_entries(view, news)
        self._toggle_fingerprint(view)
        self._alive = None
        return ChangedParts(True, changed)

    def _remove(self, view: NodeView) -> None:
        if not view.is_dead:
            self._toggle_fingerprint(view)
            self._live_by_region[view.record.region] -= 1
        for entry in view.entries.values():
            self._adjust_server_count(view, entry.record, -1)
        del self._views[view.record.node_id]
        self._dead.pop(view.record.node_id, None)
        del self._node_ids_by_bucket[view.bucket][view.record.node_id]
        self._alive = None

    def _set_header(self, view: NodeView, news: NodeNews) -> None:
        if not view.is_dead:
            self._live_by_region[view.record.region] -= 1
        view.set_header(_header_record(news))
        self._live_by_region[view.record.region] += 1
        self._dead.pop(news.node_id, None)
        self._alive = None
        self._clear_placements(view)

    def _set_entries(self, view: NodeView, news: NodeNews) -> list[ServerChange]:
        changes = (self._set_entry(view, entry) for entry in news.servers)
        return [change for change in changes if change is not None]

    def _set_entry(self, view: NodeView, entry: ServerEntry) -> ServerChange | None:
        known = view.entries.get(entry.record.backend_server_id)
        entry = ServerEntry(entry.version, _intern_values(entry.record))
        if not view.set_entry(entry):
            return None
        if known is not None:
            self._adjust_server_count(view, known.record, -1)
        self._adjust_server_count(view, entry.record, 1)
        return ServerChange(entry, known and known.record)

    def _removed_servers(self, record: NodeRecord) -> tuple[BackendServerRecord, ...]:
        """Return the known backend servers that `record` lacks, with state `GONE`.

        Returns an empty tuple if `record` is not newer than the known record.
        """
        view = self._views.get(record.node_id)
        if view is None or view.epoch >= Epoch(record.incarnation, record.version):
            return ()
        kept = {server.backend_server_id for server in record.backend_servers}
        return tuple(
            entry.record._replace(state=GONE)
            for server_id, entry in view.entries.items()
            if server_id not in kept
        )

    def _adjust_server_count(self, view: NodeView, record, change: int) -> None:
        """Add `change` to the node's number of backend servers of a service.

        Discards the cached placements of the service, too. Does nothing if the state
        in `record` is `GONE`, since such backend servers are not counted.
        """
        if record.state == GONE:
            return
        counts = self._server_counts.setdefault(record.service, {})
        node_id = view.record.node_id
        counts[node_id] = counts.get(node_id, 0) + change
        if not counts[node_id]:
            del counts[node_id]
        if not counts:
            del self._server_counts[record.service]
        self._placements.pop(record.service, None)

    def _clear_placements(self, view: NodeView) -> None:
        for entry in view.entries.values():
            self._placements.pop(entry.record.service, None)

    def _build_placements(self, service: str) -> tuple[Placement, ...]:
        with self._lock:
            placements = tuple(
                Placement(view.record, entry.record)
                for view in map(self._views.get, self._server_counts.get(service, ()))
                if not view.is_dead
                for entry in view.entries.values()
                if entry.record.service == service and entry.record.state != GONE
            )
            # An empty result is not cached: callers can request any number of
            # services that do not exist, and the cache would fill the memory.
            if placements:
                self._placements[service] = placements
            return placements

    def _toggle_fingerprint(self, view: NodeView) -> None:
        if not view.is_dead:
            self._bucket_digests.toggle(view.bucket, view.fingerprint)


def _header_record(news: NodeNews) -> NodeRecord:
    return record_with_header(news.node_id, news.incarnation, news.version, news.header)


def _intern_values(record: BackendServerRecord) -> BackendServerRecord:
    """Return the record with strings and common floats shared between records.

    Each decoded record has string and float objects of its own. With 140,000
    records, separate objects for the common values of suspicion and capacity
    alone would take megabytes.
    """
    return record._replace(
        service=sys.intern(record.service),
        state=sys.intern(record.state),
        suspicion=_COMMON_VALUES.get(record.suspicion, record.suspicion),
        capacity=_COMMON_VALUES.get(record.capacity, record.capacity),
    )
