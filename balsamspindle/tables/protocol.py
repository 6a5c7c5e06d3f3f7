"""The interface of a transactional table service and of an object store.

A row has a version that differs after each write of it and never falls, also where
the store comes back from an older copy; version 0 is a row that is not there. A
transaction checks versions of rows, then writes rows: all of it takes effect or none.
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
    """One row; `value` is JSON, None where the row is not there."""

    key: str
    version: int
    value: Any = None


class Changes(msgspec.Struct, frozen=True):
    """Rows of a table that were written after a version, oldest first.

    Attributes
    ----------
    rows : list of Row
        Those removed have no value.
    version : int
        Of the store; the next wait goes on after it.
    """

    rows: list[Row]
    version: int


class Check(msgspec.Struct, frozen=True):
    """The transaction holds only if the row still has this version."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write the row; a value of None removes it."""

    table: str
    key: str
    value: Any


class Transaction(msgspec.Struct, frozen=True):
    """Checks, then writes: all or nothing."""

    checks: list[Check]
    puts: list[Put]


class Unreachable(msgspec.Struct, frozen=True):
    """The store did not take the call: nothing was written."""

    message: str


class Unknown(msgspec.Struct, frozen=True):
    """No reply: a write may have taken effect, or may still do so."""

    message: str


class Conflict(msgspec.Struct, frozen=True):
    """A check failed: nothing was written; the checked rows as they are."""

    rows: list[Row]


class HistoryLost(msgspec.Struct, frozen=True):
    """The store no longer has the changes asked for: read the table anew."""

    message: str


PlatformError = Unreachable | Unknown | Conflict


class TableService:
    """Transactional tables.

    Attributes
    ----------
    era : int
        The newest that was heard of: how often the store came back from a copy.
    answered_s : float
        When the store last answered in that era, on the monotonic clock.
    """

    era: int = 0
    answered_s: float = float("-inf")

    def read(
        self, table: str, keys: list[str]
    ) -> Result[list[Row], Unreachable | Unknown]:
        """Return the rows, in the order asked for."""
        raise NotImplementedError

    def scan(self, table: str) -> Result[list[Row], Unreachable | Unknown]:
        """Return all rows of a table, by key."""
        raise NotImplementedError

    def transact(self, transaction: Transaction) -> Result[int, PlatformError]:
        """Check and write rows, all or nothing; return the version written."""
        raise NotImplementedError

    def snapshot(self, table: str) -> Result[Changes, Unreachable | Unknown]:
        """Return all rows of a table and the version to wait after."""
        raise NotImplementedError

    def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[Changes, Unreachable | Unknown | HistoryLost]:
        """Wait until rows of a table change; none when the wait ends first."""
        raise NotImplementedError

    def end_waits(self) -> None:
        """End `wait_for_changes` at once, now and from now on."""


class ObjectStore:
    """A store of whole objects."""

    def get(self, name: str) -> Result[bytes | None, Unreachable | Unknown]:
        """Return an object, None where there is none."""
        raise NotImplementedError

    def put(self, name: str, body: bytes) -> Result[None, Unreachable | Unknown]:
        """Write an object whole."""
        raise NotImplementedError
