"""Follows the settings file of a process, which may change without a signal."""

import threading
from collections.abc import Callable
from pathlib import Path

from expression import Result
from loguru import logger

from balsamspindle.settings.process import NodeSettings, SettingsError

__all__ = ["LoadSettings", "SettingsWatch"]

LoadSettings = Callable[[Path], Result[NodeSettings, SettingsError]]

# A look costs one system call; a change is never urgent without a signal.
LOOK_INTERVAL_S = 1.0


class SettingsWatch:
    """Reads the file again whenever it is another one.

    Parameters
    ----------
    load : callable
        Reads and checks the file.
    adopt : callable
        Takes settings that differ from the last ones. What can't be read
        changes nothing.
    """

    def __init__(
        self,
        path: Path,
        load: LoadSettings,
        settings: NodeSettings,
        adopt: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._settings = settings
        self._adopt = adopt
        self._wake = threading.Event()
        self._stopped = False
        self._seen = self._stamp()

    def run(self) -> None:
        """Look at the file until `stop` is called."""
        while not self._stopped:
            hurried = self._wake.wait(LOOK_INTERVAL_S)
            self._wake.clear()
            self.look(hurried)

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped = True
        self._wake.set()

    def hurry(self) -> None:
        """Read the file now, changed or not."""
        self._wake.set()

    def look(self, hurried: bool = False) -> None:
        """Read the file if it changed."""
        stamp = self._stamp()
        if self._stopped or (stamp == self._seen and not hurried):
            return
        self._seen = stamp
        match self._load(self._path):
            case Result(tag="ok", ok=settings):
                if settings != self._settings:
                    self._settings = settings
                    self._adopt(settings)
            case Result(error=error):
                logger.error(f"event=settings_file_refused cause={error.message!r}")

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
