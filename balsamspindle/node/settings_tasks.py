"""The tasks of one node that bring, check and pass on the fleet's settings."""

from collections.abc import Callable

from balsamspindle.membership import Directory, Member
from balsamspindle.node.status import SettingsStatus
from balsamspindle.platform import (
    GuardedTableService,
    HttpTableService,
    PlatformGuard,
)
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.reader import PollPlan, SettingsReader
from balsamspindle.settings.spread import SettingsSpread
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.settings_messages import SETTINGS_MESSAGES

__all__ = ["SettingsTasks"]


class SettingsTasks:
    """Reader and spread of one node, joined to its other parts."""

    def __init__(
        self,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        member: Member,
        configuration: CurrentConfiguration,
        events: EventLog,
    ) -> None:
        self._configuration = configuration
        self._spread = SettingsSpread(
            own,
            directory.alive,
            member.send,
            configuration,
            events,
            settings.seed_addresses,
        )
        handlers = dict.fromkeys(SETTINGS_MESSAGES, self._spread.take)
        member.register(handlers, self._spread.note_revision)
        self._reader: SettingsReader | None = None
        if settings.platform_address is not None:
            guard = PlatformGuard(f"{own.node_id}/{own.incarnation}")
            tables = HttpTableService(settings.platform_address)
            self._reader = SettingsReader(
                GuardedTableService(tables, guard),
                configuration,
                events,
                PollPlan(own, directory.alive, bool(settings.seed_addresses)),
                self._spread.wake,
            )

    def tasks(self) -> list[Callable[[], None]]:
        """Return what to run, each in a thread of its own."""
        readers = [] if self._reader is None else [self._reader.run]
        return [self._spread.run, *readers]

    def stop(self) -> None:
        """End the tasks soon."""
        self._spread.stop()
        if self._reader is not None:
            self._reader.stop()

    def accepted(self, revision: int) -> None:
        """Take an operator's word of a new revision: read it now."""
        if self._reader is not None:
            self._reader.hint(revision)

    def status(self) -> SettingsStatus:
        """Return how this node stands."""
        configuration = self._configuration.get()
        reader = self._reader
        return SettingsStatus(
            self._configuration.revision,
            configuration.chain if configuration else "",
            configuration.unusable if configuration else {},
            reader.state if reader else None,
            reader.platform_revision if reader else -1,
        )
