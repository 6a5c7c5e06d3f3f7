"""The task that polls the platform for accepted changes of the settings.

Only a few nodes of each availability zone, the readers, poll often; they are selected
by a hash of the node ids. The other nodes receive changes from the readers (see
`balsamspindle.settings.gossip`) and poll about once a minute, in case the readers
can't reach the platform.
"""

import random
import threading
import time
from collections.abc import Callable
from enum import StrEnum

from expression import Result

from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.settings.history import (
    UPDATE_CHANGES_MAX,
    RevisionUpdate,
    read_changes,
    read_update,
)
from balsamspindle.settings.loading import (
    REPLAY_CHANGES_MAX,
    load_from_snapshot,
    load_settings,
)
from balsamspindle.settings.reader_selection import is_reader, selection_hash
from balsamspindle.settings.rows import SUBTREES_TABLE, FleetRow, SubtreeRow
from balsamspindle.settings.snapshots import SNAPSHOT_INTERVAL_REVISIONS, write_snapshot
from balsamspindle.settings.subtree import delta_of_change
from balsamspindle.tables import ObjectStore, RowDecoder, TableService
from balsamspindle.tables.proof_clock import proof_time_s
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["PlatformState", "PollPlan", "SettingsReader"]

POLL_INTERVAL_S = 0.5
POLL_INTERVAL_MAX_S = 3.0
NON_READER_POLL_INTERVAL_S = 60.0
FIRST_POLL_DELAY_S = 1.0
PEERS_WAIT_MAX_S = 15.0
JITTER = 0.2


class PlatformState(StrEnum):
    """How the platform's settings compare with the settings in force at this node.

    Attributes
    ----------
    OLDER
        The platform has an older revision than this node, or than the peers if
        this node has no settings yet: the platform lost changes.
    DIVERGED
        The platform's history of changes differs from this node's.
    """

    NOT_READ = "not_read"
    CURRENT = "current"
    UNREACHABLE = "unreachable"
    OLDER = "older"
    DIVERGED = "diverged"


class PollPlan:
    """How long this node waits between two polls.

    Nodes that are partitioned from each other would each select themselves as
    reader, and all nodes of the fleet would poll often. So a reader that knows
    fewer live nodes than before lengthens its poll interval in proportion. At the
    longest interval, 5,600 isolated nodes stay within the platform's limit of
    reads per second.
    """

    def __init__(
        self,
        own: NodeRecord,
        records: Callable[[], list[NodeRecord]],
        has_seeds: bool = False,
    ) -> None:
        self.has_seeds = has_seeds
        self._own = own
        self._records = records
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/poll")
        self._known_nodes_max = 1

    def first_wait_s(self) -> float:
        """Return the delay of the first poll; 0 without seed addresses.

        During the delay peers can send the settings. Without the delay, if all nodes
        of a zone restarted, each of them would read all settings from the platform
        at the same moment.
        """
        return (
            FIRST_POLL_DELAY_S * self._random.uniform(0.5, 1) if self.has_seeds else 0.0
        )

    def has_lowest_hash(self) -> bool:
        """Return whether this node has the lowest hash of all known nodes."""
        node_ids = {record.node_id for record in self._records()}
        return (
            min({*node_ids, self._own.node_id}, key=selection_hash) == self._own.node_id
        )

    def next_wait_s(self, has_settings: bool) -> float:
        """Return the time until the next poll."""
        records = self._records()
        known_nodes = max(1, len(records))
        self._known_nodes_max = max(self._known_nodes_max, known_nodes)
        wait_s = NON_READER_POLL_INTERVAL_S if has_settings else POLL_INTERVAL_MAX_S
        if is_reader(self._own, records):
            slowed_interval_s = POLL_INTERVAL_S * self._known_nodes_max / known_nodes
            wait_s = min(POLL_INTERVAL_MAX_S, slowed_interval_s)
        return wait_s * self._random.uniform(1 - JITTER, 1 + JITTER)


class SettingsReader:
    """Polls the platform for changes and puts them in force.

    Parameters
    ----------
    plan : PollPlan
        Determines when to poll.
    objects : ObjectStore or None
        Store of the snapshot of all settings. If None, no snapshot is used.
    on_in_force : callable
        Called each time that newer settings came in force.
    offered_revision : callable
        Returns the highest revision that peers offered this node.
    on_read : callable
        Called after a poll with the time at which the poll began, on the clock of
        `proof_time_s`, and the platform's revision. Not called if the poll failed
        or the platform lost changes or has a different history of changes.

    Attributes
    ----------
    proven_s : float or None
        Start of the newest poll that the platform answered, on the monotonic clock;
        None without one.
    """

    def __init__(
        self,
        tables: TableService,
        configuration: CurrentConfiguration,
        events: EventLog,
        plan: PollPlan,
        objects: ObjectStore | None = None,
        on_in_force: Callable[[], None] = lambda: None,
        offered_revision: Callable[[], int] = lambda: -1,
        on_read: Callable[[float, int], None] = lambda began_s, revision: None,
    ) -> None:
        self._on_read = on_read
        self._tables = tables
        self._objects = objects
        self._offered_revision = offered_revision
        self._snapshot_revision = -SNAPSHOT_INTERVAL_REVISIONS
        self._started_s = time.monotonic()
        self._configuration = configuration
        self._events = events
        self._subtrees = RowDecoder(SUBTREES_TABLE, SubtreeRow, events)
        self._plan = plan
        self._on_in_force = on_in_force
        self._wake = threading.Event()
        self._stopped = False
        self.proven_s: float | None = None
        self.state = PlatformState.NOT_READ
        self.platform_revision = -1

    def run(self) -> None:
        """Poll until `stop` is called."""
        self._wake.wait(self._plan.first_wait_s())
        while not self._stopped:
            self._wake.clear()
            self.poll()
            has_settings = self._configuration.get() is not None
            self._wake.wait(self._plan.next_wait_s(has_settings))

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped = True
        self._wake.set()

    def notify_revision(self, revision: int) -> None:
        """Poll now if a revision is newer than the one in force."""
        if revision > self._configuration.revision:
            self._wake.set()

    def renew_proof(self) -> None:
        """Poll now, so that `on_read` receives the platform's current revision."""
        self._wake.set()

    def poll(self) -> None:
        """Read the platform's revision and put missing changes in force."""
        polled_s = time.monotonic()
        began_s, own_revision = proof_time_s(), self._configuration.revision
        match read_update(self._tables, self._configuration.revision):
            case Result(tag="ok", ok=update):
                self.platform_revision = update.fleet.revision
                self.proven_s = polled_s
                self._compare_revisions(update)
                # If the platform's revision is older than this node's, the platform
                # lost changes, possibly also changes that this node never received.
                # So the poll does not prove that this node's settings are the newest.
                # Nor does a revision of another history, which has other changes.
                is_diverged = self.state is PlatformState.DIVERGED
                if update.fleet.revision >= own_revision and not is_diverged:
                    self._on_read(began_s, update.fleet.revision)
            case Result(error=error):
                self._set_state(PlatformState.UNREACHABLE, error.message)

    def _compare_revisions(self, update: RevisionUpdate) -> None:
        own, fleet = self._configuration.get(), update.fleet
        if own is None:
            self._load_initial(fleet)
        elif fleet.revision > own.revision:
            self._catch_up(own.revision, update)
        elif fleet.revision < own.revision:
            # The platform was restored from a backup. Loading the platform's settings
            # would revert accepted changes, so the settings in force stay.
            self._set_state(PlatformState.OLDER, "the platform lost accepted changes")
        elif fleet.chain != own.chain:
            self._set_state(
                PlatformState.DIVERGED,
                "the platform has a different history of changes",
            )
        else:
            self._set_state(PlatformState.CURRENT)

    def _catch_up(self, own_revision: int, update: RevisionUpdate) -> None:
        changes, revision = update.changes, update.fleet.revision
        if revision > own_revision + UPDATE_CHANGES_MAX:
            last = min(revision, own_revision + REPLAY_CHANGES_MAX)
            match read_changes(self._tables, own_revision + 1, last):
                case Result(tag="ok", ok=changes):
                    pass
                case Result(error=error):
                    self._set_state(PlatformState.UNREACHABLE, error.message)
                    return
            if not changes:
                self._load_all()
                return
        deltas = [delta_of_change(change) for change in changes]
        match self._configuration.apply(deltas):
            case ApplyResult.IN_FORCE:
                self._handle_in_force(deltas)
            case ApplyResult.DIVERGED:
                self._set_state(
                    PlatformState.DIVERGED,
                    "the platform has a different history of changes",
                )
            case ApplyResult.GAP:
                self._load_all()

    def _load_initial(self, fleet: FleetRow) -> None:
        # If a node started at an older revision than its peers have in force, it would
        # route requests by outdated settings. So the node waits until the peers have
        # sent their settings. The wait is limited, since the peers may have stopped.
        waited_s = time.monotonic() - self._started_s
        if fleet.revision < self._offered_revision() and waited_s < PEERS_WAIT_MAX_S:
            self._set_state(PlatformState.OLDER, "peers offer a newer revision")
            return
        configuration = None
        if self._objects is not None:
            configuration = load_from_snapshot(self._tables, self._objects, fleet)
        if configuration is None:
            self._load_all()
        elif self._configuration.install(configuration) is ApplyResult.IN_FORCE:
            self._handle_in_force([])

    def _write_snapshot(self) -> None:
        """Write the snapshot if it is due and this node has the lowest hash."""
        own = self._configuration.get()
        if self._objects is None or not self._plan.has_lowest_hash():
            return
        if own.revision - self._snapshot_revision < SNAPSHOT_INTERVAL_REVISIONS:
            return
        if write_snapshot(self._objects, own).is_ok():
            self._snapshot_revision = own.revision

    def _load_all(self) -> None:
        # In force at this node, or at peers that send their settings within this time,
        # are the settings as they were before the row was damaged.
        waited_s = time.monotonic() - self._started_s
        is_last_way = self._configuration.get() is None and waited_s > PEERS_WAIT_MAX_S
        skipping = self._subtrees if is_last_way else None
        match load_settings(self._tables, skipping):
            case Result(tag="ok", ok=stored):
                fleet = stored.fleet
                applied = self._configuration.offer(
                    fleet.revision, stored.documents, fleet.chain
                )
                if applied is ApplyResult.IN_FORCE:
                    self._handle_in_force([])
            case Result(error=error):
                self._set_state(PlatformState.UNREACHABLE, error.message)

    def _handle_in_force(self, deltas) -> None:
        self._set_state(PlatformState.CURRENT)
        accepted_ms = deltas[-1].accepted_ms if deltas else None
        self._events.emit(
            "settings_in_force",
            revision=self._configuration.revision,
            source="platform",
            accepted_ms=accepted_ms,
        )
        self._on_in_force()
        self._write_snapshot()

    def _set_state(self, state: PlatformState, cause: str | None = None) -> None:
        """Record the platform's state; emit an event if it changed."""
        if state is self.state:
            return
        self.state = state
        self._events.emit(
            "settings_platform",
            state=state.value,
            revision=self._configuration.revision,
            platform_revision=self.platform_revision,
            cause=cause,
        )
