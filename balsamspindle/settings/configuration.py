"""The fleet's settings at one revision, decoded for routing.

A change creates a new `Configuration`, which shares all unchanged objects with the
previous configuration. Only dictionaries are copied and only the changed documents are
decoded, so a change takes milliseconds even with many routes.
"""

import sys
import threading
import time
from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import lru_cache

import msgspec

from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.settings.customers import CustomerTable, keep_listed_keys
from balsamspindle.settings.documents import (
    CallerLimits,
    CustomerDocument,
    RouteDocument,
    ServiceDocument,
    document_type,
)
from balsamspindle.settings.recent_changes import (
    RecentChanges,
    changed_documents,
    difference,
)
from balsamspindle.settings.routes import RouteTable
from balsamspindle.wire.settings_messages import SettingsDelta

__all__ = [
    "ApplyResult",
    "Configuration",
    "CurrentConfiguration",
]

METHOD_SETS_CACHED_MAX = 256


class ApplyResult(StrEnum):
    """Result of applying changes or a whole configuration at a node.

    Attributes
    ----------
    IN_FORCE
        The offered settings are in force now.
    OLD
        The offered revision or a newer one was already in force.
    GAP
        The offered changes can't be applied, so all settings must be loaded: the
        changes between the revision in force and the offered changes are missing,
        no settings are in force yet, or an offered change restarts the history.
    DIVERGED
        The offered changes and the settings in force come from different
        histories of changes.
    """

    IN_FORCE = "in_force"
    OLD = "old"
    GAP = "gap"
    DIVERGED = "diverged"


class Configuration:
    """All settings at one revision; immutable once created.

    Attributes
    ----------
    revision : int
        Rises by one with each accepted change of the fleet's settings.
    chain : str
        Digest of all accepted changes in their order.
    documents : dict of str to bytes
        JSON by path, as sent between nodes.
    services : dict of str to ServiceDocument
        By ``TEAM/NAME``.
    routes : RouteTable
    customers : CustomerTable
    unusable : dict of str to str
        Decoding errors by path, for documents that this node can't decode. The
        last decodable version of such a document, if any, stays in force. A
        customer then keeps only the keys that the new document lists, too.
    """

    def __init__(
        self, revision: int, documents: Mapping[str, bytes], chain: str = ""
    ) -> None:
        self.revision = revision
        self.chain = chain
        self.documents = dict(documents)
        self.services: dict[str, ServiceDocument] = {}
        self.unusable: dict[str, str] = {}
        self._routes: dict[str, RouteDocument] = {}
        self._customers: dict[str, CustomerDocument] = {}
        self._limits: dict[str, CallerLimits] = {}
        for path, document in self.documents.items():
            self._put(path, document)
        self.routes = RouteTable(self._routes.values())
        self.customers = CustomerTable(self._customers.values())

    def with_changes(self, deltas: Iterable[SettingsDelta]) -> "Configuration":
        """Return the configuration that results from applying changes to this one.

        The changes must be consecutive and start at this configuration's revision.
        """
        after = Configuration.__new__(Configuration)
        after.documents = dict(self.documents)
        after.services = dict(self.services)
        after.unusable = dict(self.unusable)
        after._routes = dict(self._routes)
        after._customers = dict(self._customers)
        after._limits = dict(self._limits)
        changed_paths: dict[str, None] = {}
        for delta in deltas:
            after.revision, after.chain = delta.revision, delta.chain
            for path, document in delta.documents.items():
                changed_paths[path] = None
                if document is None:
                    after._remove(path)
                else:
                    after.documents[path] = document
                    after._put(path, document)
        after.routes = self.routes.with_changes(
            [self._routes[path] for path in changed_paths if path in self._routes],
            [after._routes[path] for path in changed_paths if path in after._routes],
        )
        after.customers = self.customers.with_changes(
            [
                self._customers[path]
                for path in changed_paths
                if path in self._customers
            ],
            [
                after._customers[path]
                for path in changed_paths
                if path in after._customers
            ],
        )
        return after

    @property
    def limits_customers(self) -> bool:
        """Whether any customer has a limit."""
        return any(customer.rate_per_s for customer in self._customers.values())

    @property
    def lists_all_keys(self) -> bool:
        """Whether each valid key is listed; False if a customer can't be decoded."""
        return not any(
            document_type(path) is CustomerDocument for path in self.unusable
        )

    @property
    def caller_limits(self) -> CallerLimits | None:
        """The strictest value of each limit on callers; None without any limits."""
        if not self._limits:
            return None
        values_by_document = [
            msgspec.structs.astuple(limits) for limits in self._limits.values()
        ]
        return CallerLimits(*map(min, zip(*values_by_document, strict=True)))

    def _put(self, path: str, document: bytes) -> None:
        # A document that this node can't decode, for example because a newer release
        # wrote it, must not prevent changes of all other documents.
        try:
            value = decode_json(document, document_type(path))
        except InputError as error:
            self.unusable[path] = str(error)
            if path in self._customers:
                listed = keep_listed_keys(self._customers[path], document)
                self._customers[path] = listed
            return
        self.unusable.pop(path, None)
        match value:
            case ServiceDocument():
                self.services[_service_name(path)] = value
            case RouteDocument():
                self._routes[path] = _with_shared_strings(value)
            case CustomerDocument():
                self._customers[path] = value
            case CallerLimits():
                self._limits[path] = value
            case _:
                self.unusable[path] = (
                    "not a service, route, customer or limits document"
                )

    def _remove(self, path: str) -> None:
        self.documents.pop(path, None)
        self.unusable.pop(path, None)
        self._routes.pop(path, None)
        self._customers.pop(path, None)
        self._limits.pop(path, None)
        if document_type(path) is ServiceDocument:
            self.services.pop(_service_name(path), None)


def _with_shared_strings(route: RouteDocument) -> RouteDocument:
    """Return a copy of the route that shares equal strings with other routes.

    Each decoded document has its own strings, but many routes name the same
    service, host and methods. With 49,000 routes the duplicates would take a
    quarter of the memory of the settings.
    """
    return msgspec.structs.replace(
        route,
        service=sys.intern(route.service),
        host=sys.intern(route.host),
        methods=_shared_methods(route.methods),
    )


@lru_cache(METHOD_SETS_CACHED_MAX)
def _shared_methods(methods: tuple[str, ...]) -> tuple[str, ...]:
    return methods


def _service_name(path: str) -> str:
    team, _, name = path.split("/")
    return f"{team}/{name}"


class CurrentConfiguration:
    """The configuration in force at this node; its revision never decreases."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._configuration: Configuration | None = None
        self._in_force_since_s = 0.0
        self._recent_changes = RecentChanges()

    def get(self) -> Configuration | None:
        """Return the configuration in force; None if there is none yet."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Revision in force; -1 if there is none yet."""
        configuration = self._configuration
        return -1 if configuration is None else configuration.revision

    def in_force_for_s(self, now_s: float) -> float:
        """Return how long the configuration has been in force; 0 if there is none."""
        return (
            now_s - self._in_force_since_s if self._configuration is not None else 0.0
        )

    def offer(
        self, revision: int, documents: Mapping[str, bytes], chain: str = ""
    ) -> ApplyResult:
        """Put all documents of a revision in force, if it is newer than this node's.

        Only the documents that differ from those in force are decoded. Decoding
        4,000 routes takes 40 ms on a fast processor; on a small processor it takes
        long enough to delay callers' requests. The difference is stored as a change,
        so that peers can pull it instead of all documents.
        """
        while revision > self.revision:
            current = self._configuration
            if current is None:
                return self.install(Configuration(revision, documents, chain))
            delta = SettingsDelta(
                revision,
                current.chain,
                chain,
                difference(current.documents, documents),
                previous_revision=current.revision,
            )
            applied = self.apply([delta])
            if applied is ApplyResult.IN_FORCE:
                return applied
            # Another change came in force meanwhile: compute the difference again.
        return ApplyResult.OLD

    def install(self, configuration: Configuration) -> ApplyResult:
        """Put a configuration in force if its revision is newer than this node's."""
        with self._lock:
            # A peer and the platform may deliver settings at the same time. If the
            # revisions were not compared under the lock, the later call could replace
            # a newer revision with an older one.
            if configuration.revision <= self.revision:
                return ApplyResult.OLD
            self._configuration = configuration
            self._in_force_since_s = time.monotonic()
            self._recent_changes.clear()
        return ApplyResult.IN_FORCE

    def apply(self, deltas: list[SettingsDelta]) -> ApplyResult:
        """Put consecutive changes in force; skip those that are in force already."""
        with self._lock:
            current = self._configuration
            if current is None:
                return ApplyResult.GAP
            missing_deltas: list[SettingsDelta] = []
            revision, chain = current.revision, current.chain
            for delta in deltas:
                match _compare(delta, revision, chain):
                    case ApplyResult.IN_FORCE:
                        missing_deltas.append(delta)
                        revision, chain = delta.revision, delta.chain
                    case ApplyResult.OLD:
                        continue
                    case result:
                        return result
            if not missing_deltas:
                return ApplyResult.OLD
            self._configuration = current.with_changes(missing_deltas)
            self._in_force_since_s = time.monotonic()
            self._record_recent(missing_deltas, current.documents)
            return ApplyResult.IN_FORCE

    def apply_to_older(self, deltas: list[SettingsDelta]) -> ApplyResult:
        """Apply changes to an older revision and put the result in force.

        When many changes are accepted in a short time, each node puts only some
        revisions in force. A peer may have skipped the revision in force at this
        node. The changes that the peer sends then apply to an older revision that was
        in force at both nodes. This method restores the documents of the older
        revision, applies the changes to them and puts the result in force. It returns
        GAP if the documents can't be restored. It returns OLD if the last change is
        not newer than the revision in force.
        """
        first, last = deltas[0], deltas[-1]
        with self._lock:
            current = self._configuration
            if current is None or last.revision <= current.revision:
                return ApplyResult.OLD
            documents = self._recent_changes.documents_at(
                first.base_revision, first.previous_chain, current.documents
            )
        if documents is None:
            return ApplyResult.GAP
        for delta in deltas:
            documents = changed_documents(documents, delta.documents)
        return self.offer(last.revision, documents, last.chain)

    def older_revisions(self) -> tuple[int, ...]:
        """Return the older revisions from which `apply_to_older` accepts changes."""
        with self._lock:
            return self._recent_changes.older_revisions()

    def _record_recent(
        self, deltas: list[SettingsDelta], documents: dict[str, bytes]
    ) -> None:
        for delta in deltas:
            self._recent_changes.append(delta, documents)
            if delta is not deltas[-1]:
                documents = changed_documents(documents, delta.documents)

    def changes_above(self, revision: int) -> list[SettingsDelta]:
        """Return the changes after a revision, as many as fit into one message.

        The list is empty if the change directly after the revision is not stored.
        """
        with self._lock:
            return self._recent_changes.changes_above(revision)


def _compare(delta: SettingsDelta, revision: int, chain: str) -> ApplyResult:
    """Return the result of applying a change to the settings at a revision.

    `chain` is the digest of all changes up to the revision. Revision numbers alone do
    not show whether the change was made to these settings: a platform restored from a
    backup assigns the same numbers again to other changes. Applying changes of both
    histories would give settings that were never accepted.
    """
    if delta.restart and delta.revision > revision:
        return ApplyResult.GAP
    if delta.revision > revision:
        if delta.base_revision != revision:
            return ApplyResult.GAP
        is_same_history = delta.previous_chain == chain
        return ApplyResult.IN_FORCE if is_same_history else ApplyResult.DIVERGED
    if delta.revision == revision and delta.chain != chain:
        return ApplyResult.DIVERGED
    return ApplyResult.OLD
