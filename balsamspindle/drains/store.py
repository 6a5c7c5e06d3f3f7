"""Keeps the drains of this node in the platform's store, in one row for each node."""

import random
from collections.abc import Callable

import msgspec
from expression import Result

from balsamspindle.drains.own_drains import OwnDrains
from balsamspindle.drains.records import NodeDrains
from balsamspindle.tables import (
    Check,
    Conflict,
    Put,
    Row,
    RowDecoder,
    TableService,
    Transaction,
)
from balsamspindle.timeline import EventLog

__all__ = ["DRAINS_TABLE", "DrainStore"]

DRAINS_TABLE = "drains"
RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S = 0.1, 2.0


class DrainStore:
    """Task that reads this node's row once, and writes it after each change.

    Only this node's processes write the row.
    """

    def __init__(
        self,
        tables: TableService,
        node_id: str,
        drains: OwnDrains,
        events: EventLog,
        jitter: Callable[[], float] = lambda: random.uniform(0.5, 1.5),
    ) -> None:
        self._tables = tables
        self._node_id = node_id
        self._drains = drains
        self._events = events
        self._rows = RowDecoder(DRAINS_TABLE, NodeDrains, events)
        self._jitter = jitter
        # Version of the row as last read or written; None if the row must be read.
        self._row_version: int | None = None
        self._written_number = 0
        self._stopped = False

    def run(self) -> None:
        """Read the row, then write it after each change until `stop` is called."""
        retry_delay_s = RETRY_DELAY_MIN_S
        while not self._stopped:
            if self.update():
                retry_delay_s = RETRY_DELAY_MIN_S
                self._wait(None, lambda: self._stopped or self._is_outdated())
                continue
            self._wait(retry_delay_s * self._jitter(), lambda: self._stopped)
            retry_delay_s = min(2 * retry_delay_s, RETRY_DELAY_MAX_S)

    def stop(self) -> None:
        """Make `run` return soon."""
        with self._drains.changed:
            self._stopped = True
            self._drains.changed.notify_all()

    def write_again(self) -> None:
        """Write the row again, because the store may have lost it."""
        with self._drains.changed:
            self._row_version = None
            self._written_number = -1
            self._drains.changed.notify_all()

    def update(self) -> bool:
        """Read or write the row if it is due; return False if the store failed."""
        if self._row_version is None and not self._read():
            return False
        return not self._is_outdated() or self._write()

    def _is_outdated(self) -> bool:
        return self._row_version is None or self._written_number < self._drains.number

    def _wait(self, timeout_s: float | None, condition: Callable[[], bool]) -> None:
        with self._drains.changed:
            self._drains.changed.wait_for(condition, timeout_s)

    def _read(self) -> bool:
        match self._tables.read(DRAINS_TABLE, [self._node_id]):
            case Result(tag="ok", ok=[row]):
                self._adopt(row)
                return True
            case Result(error=error):
                self._events.emit("drains_unread", cause=error.message)
        return False

    def _adopt(self, row: Row) -> None:
        self._row_version = row.version
        self._drains.restore(self._parse(row), from_store=True)

    def _write(self) -> bool:
        drains = self._drains.current()
        transaction = Transaction(
            [Check(DRAINS_TABLE, self._node_id, self._row_version)],
            [Put(DRAINS_TABLE, self._node_id, msgspec.to_builtins(drains))],
        )
        match self._tables.transact(transaction):
            case Result(tag="ok", ok=version):
                self._row_version = version
                self._written_number = drains.number
                self._drains.record_kept(drains.version, "store")
                return True
            case Result(error=Conflict(rows=[row])):
                # An earlier call whose answer was lost took effect, or the late write
                # of an earlier process did.
                self._adopt(row)
                cause = "the row has changed"
            case Result(error=error):
                self._row_version = None
                cause = error.message
        self._events.emit("drains_unwritten", cause=cause)
        return False

    def _parse(self, row: Row) -> NodeDrains | None:
        """Return a row's value; None if the row is missing or invalid."""
        drains = self._rows.decode(row)
        if drains is not None and drains.node_id != self._node_id:
            self._rows.report(row, f"the drains of another node {drains.node_id!r}")
            return None
        return drains
