"""Reloads the settings file of a process when it changes, even without a signal."""

import threading
from collections.abc import Callable
from pathlib import Path

from expression import Result
from loguru import logger

from balsamspindle.settings.process import NodeSettings, SettingsError

__all__ = ["LoadSettings", "SettingsWatch"]

LoadSettings = Callable[[Path], Result[NodeSettings, SettingsError]]

# A check costs one system call. An operator who can't wait for the next check sends a
# signal, which reloads the file at once.
CHECK_INTERVAL_S = 1.0


class SettingsWatch:
    """Loads a settings file again whenever it was modified or replaced.

    Parameters
    ----------
    load : callable
        Reads and validates the file.
    apply : callable
        Called with the loaded settings if they differ from those loaded before. If the
        file can't be loaded, the error is logged and `apply` is not called.
    """

    def __init__(
        self,
        path: Path,
        load: LoadSettings,
        settings: NodeSettings,
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._settings = settings
        self._apply = apply
        self._wake_event = threading.Event()
        self._stopped = False
        self._last_stamp = self._stamp()

    def run(self) -> None:
        """Check the file until `stop` is called."""
        while not self._stopped:
            forced = self._wake_event.wait(CHECK_INTERVAL_S)
            self._wake_event.clear()
            self.check(forced)

    def stop(self) -> None:
        """Make `run` end soon."""
        self._stopped = True
        self._wake_event.set()

    def wake(self) -> None:
        """Load the file now, even if it did not change."""
        self._wake_event.set()

    def check(self, forced: bool = False) -> None:
        """Load the file if it changed since the last check, or if `forced`."""
        stamp = self._stamp()
        if self._stopped or (stamp == self._last_stamp and not forced):
            return
        self._last_stamp = stamp
        match self._load(self._path):
            case Result(tag="ok", ok=settings):
                if settings != self._settings:
                    self._settings = settings
                    self._apply(settings)
            case Result(error=error):
                logger.error(f"event=settings_file_refused cause={error.message!r}")

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
