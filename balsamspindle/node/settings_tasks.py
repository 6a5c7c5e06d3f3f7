"""Creates the tasks of a node that read the fleet's settings and share them."""

import threading
import time
from collections.abc import Callable

from balsamspindle.membership import Directory, Member
from balsamspindle.node.status import SettingsStatus
from balsamspindle.platform.object_store import HttpObjectStore
from balsamspindle.platform.store import HttpTableService
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.gossip import SettingsGossip
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.reader import PollPlan, SettingsReader
from balsamspindle.settings.reader_selection import find_reader_position
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher
from balsamspindle.tables import (
    GuardedObjectStore,
    GuardedTableService,
    PlatformGuard,
    StoreEras,
)
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.settings_messages import SETTINGS_MESSAGES

__all__ = ["SettingsTasks"]

# Number of nodes in each zone that long-poll the store for changes of the settings; 184
# nodes in 23 zones. If all 5,600 nodes polled, each of 45,000 changes a day would cause
# 5,600 reads at once; the store can serve 2,000 reads a second.
WATCHERS_PER_ZONE = 8


class SettingsTasks:
    """Reads settings from the store, exchanges them with peers, reports their status.

    Parameters
    ----------
    on_read : callable
        Called after each read of the store, with its start time and the revision that
        it returned.

    Attributes
    ----------
    guards : list of PlatformGuard
        Guards of the calls to the platform; empty without a platform.
    """

    def __init__(
        self,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        member: Member,
        configuration: CurrentConfiguration,
        events: EventLog,
        operator_row: OperatorRow | None = None,
        eras: StoreEras | None = None,
        on_read: Callable[[float, int], None] = lambda began_s, revision: None,
    ) -> None:
        self._configuration = configuration
        self._read_wanted = threading.Event()
        self._stopped = False
        self._gossip = SettingsGossip(
            own,
            directory.alive,
            member.send_settings,
            configuration,
            events,
            settings.seed_addresses,
            self._read_wanted.set,
            lambda: self._reader.proven_s if self._reader else None,
        )
        handlers = dict.fromkeys(SETTINGS_MESSAGES, self._gossip.receive)
        member.register(handlers, self._gossip.receive_revision)
        self._reader: SettingsReader | SettingsWatcher | None = None
        self.guards: list[PlatformGuard] = []
        if settings.platform_address is not None:
            guard = PlatformGuard(f"{own.node_id}/{own.incarnation}")
            self.guards.append(guard)
            tables = HttpTableService(settings.platform_address, eras)
            objects = HttpObjectStore(settings.platform_address)
            if operator_row is not None:
                self._reader = SettingsWatcher(
                    GuardedTableService(tables, guard),
                    operator_row,
                    configuration,
                    events,
                    lambda: find_reader_position(
                        own, directory.alive(), WATCHERS_PER_ZONE
                    ),
                    self._gossip.wake,
                    on_read,
                )
                return
            self._reader = SettingsReader(
                GuardedTableService(tables, guard),
                configuration,
                events,
                PollPlan(own, directory.alive, bool(settings.seed_addresses)),
                GuardedObjectStore(objects, guard),
                self._gossip.wake,
                lambda: self._gossip.offered_revision,
                on_read,
            )

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks, each to be run in its own thread until `stop` is called."""
        if self._reader is None:
            return [self._gossip.run]
        tasks = [self._gossip.run, self._reader.run, self._run_catch_up_reads]
        if isinstance(self._reader, SettingsWatcher):
            tasks.append(self._reader.run_checks)
        return tasks

    def stop(self) -> None:
        """Make the tasks end soon."""
        self._stopped = True
        self._read_wanted.set()
        self._gossip.stop()
        if self._reader is not None:
            self._reader.stop()

    def _run_catch_up_reads(self) -> None:
        """Read the store whenever the gossip wants it, until `stop` is called.

        The reads have a task of their own, because the reader's long poll may wait on
        a connection that is dead.
        """
        while self._read_wanted.wait() and not self._stopped:
            self._read_wanted.clear()
            self.renew_proof()

    def renew_proof(self) -> None:
        """Read the store now, so that `on_read` receives the newest revision."""
        if self._reader is not None:
            self._reader.renew_proof()

    def read_accepted(self, revision: int) -> None:
        """Read the store now if an accepted revision is not in force here yet."""
        if self._reader is not None:
            self._reader.notify_revision(revision)

    def status(self) -> SettingsStatus:
        """Return the status of the settings at this node."""
        configuration = self._configuration.get()
        reader = self._reader
        return SettingsStatus(
            self._configuration.revision,
            configuration.chain if configuration else "",
            configuration.unusable if configuration else {},
            reader.state if reader else None,
            reader.platform_revision if reader else -1,
            _age_s(reader.proven_s) if reader else None,
        )


def _age_s(time_s: float | None) -> float | None:
    return None if time_s is None else time.monotonic() - time_s
