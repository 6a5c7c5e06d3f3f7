"""The interfaces of a transactional table service and of an object store.

A row's version changes with each write and never falls, not even when the store is
restored from an older copy. A row that does not exist has version 0. A transaction
checks versions of rows and then writes rows; it takes effect whole or not at all.
"""

from typing import Any

import msgspec
from expression import Result

__all__ = [
    "Changes",
    "Check",
    "Conflict",
    "HistoryLost",
    "ObjectStore",
    "PlatformError",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "Unknown",
    "Unreachable",
]


class Row(msgspec.Struct, frozen=True):
    """One row; `value` is JSON, None where the row does not exist."""

    key: str
    version: int
    value: Any = None


class Changes(msgspec.Struct, frozen=True):
    """Rows of a table that were written after a version, oldest first.

    Attributes
    ----------
    rows : list of Row
        Removed rows have a value of None.
    version : int
        Version of the store, to pass to the next `TableService.wait_for_changes`.
    """

    rows: list[Row]
    version: int


class Check(msgspec.Struct, frozen=True):
    """The transaction takes effect only if the row still has this version."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write the row; a value of None removes it."""

    table: str
    key: str
    value: Any


class Transaction(msgspec.Struct, frozen=True):
    """Checks and writes that take effect together or not at all."""

    checks: list[Check]
    puts: list[Put]


class Unreachable(msgspec.Struct, frozen=True):
    """The call did not reach the store, or was rejected: nothing was written."""

    message: str


class Unknown(msgspec.Struct, frozen=True):
    """No reply: a write may have taken effect, or may still do so."""

    message: str


class Conflict(msgspec.Struct, frozen=True):
    """A check failed and nothing was written; `rows` are the checked rows now."""

    rows: list[Row]


class HistoryLost(msgspec.Struct, frozen=True):
    """The store no longer has the requested changes: read the whole table again."""

    message: str


PlatformError = Unreachable | Unknown | Conflict


class TableService:
    """Transactional tables.

    Attributes
    ----------
    era : int
        The newest known era of the store, which rises each time that the store is
        restored from an older copy; 0 where none is known.
    answered_s : float
        When the store last answered in that era, on the monotonic clock.
    """

    era: int = 0
    answered_s: float = float("-inf")

    def read(
        self, table: str, keys: list[str]
    ) -> Result[list[Row], Unreachable | Unknown]:
        """Return the rows in the order of `keys`."""
        raise NotImplementedError

    def scan(self, table: str) -> Result[list[Row], Unreachable | Unknown]:
        """Return all rows of a table, sorted by key."""
        raise NotImplementedError

    def transact(self, transaction: Transaction) -> Result[int, PlatformError]:
        """Apply a transaction whole or not at all; return the version written."""
        raise NotImplementedError

    def snapshot(self, table: str) -> Result[Changes, Unreachable | Unknown]:
        """Return all rows of a table and the version to wait after."""
        raise NotImplementedError

    def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[Changes, Unreachable | Unknown | HistoryLost]:
        """Wait for changes of a table; return no rows when `wait_s` passes first."""
        raise NotImplementedError

    def end_waits(self) -> None:
        """Make running and later calls of `wait_for_changes` return at once."""


class ObjectStore:
    """A store of named byte strings, each read and written as a whole."""

    def get(self, name: str) -> Result[bytes | None, Unreachable | Unknown]:
        """Return an object, or None where it does not exist."""
        raise NotImplementedError

    def put(self, name: str, body: bytes) -> Result[None, Unreachable | Unknown]:
        """Write or replace an object."""
        raise NotImplementedError
