"""The task that brings the platform's settings to this node."""

import threading
from collections.abc import Callable

from expression import Result

from balsamspindle.settings.store import SettingsStore
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog

__all__ = ["SettingsReader"]

POLL_INTERVAL_S = 1.0


class SettingsReader:
    """Asks the platform for a newer revision, again and again."""

    def __init__(
        self,
        store: SettingsStore,
        configuration: CurrentConfiguration,
        events: EventLog,
        on_in_force: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._events = events
        self._on_in_force = on_in_force
        self._stopped = threading.Event()

    def run(self) -> None:
        """Poll until `stop` is called."""
        while not self._stopped.is_set():
            self._poll()
            self._stopped.wait(POLL_INTERVAL_S)

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def _poll(self) -> None:
        revision = self._store.revision()
        if revision.is_error() or revision.ok <= self._configuration.revision:
            return
        match self._store.load():
            case Result(tag="ok", ok=stored):
                revision = stored.fleet.revision
                offered = self._configuration.offer(revision, stored.documents)
                if offered.is_ok() and offered.ok:
                    self._events.emit(
                        "settings_in_force", revision=revision, source="platform"
                    )
                    self._on_in_force()
            case Result(error=error):
                self._events.emit("settings_not_read", cause=error.message)
