"""The interfaces of a transactional table service and of an object store.

A row's version rises with each write, also after the store was restored from an older
copy. A row that does not exist has version 0. A transaction checks versions of
rows and then writes rows; either all of its writes take effect or none.
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
    """One row; `value` is JSON, None where the row does not exist.

    Attributes
    ----------
    fault : str
        Why the stored value can't be decoded. `value` is None then, although the row
        exists.
    """

    key: str
    version: int
    value: Any = None
    fault: str = ""


class Changes(msgspec.Struct, frozen=True):
    """Rows of a table that were written after a given version, oldest first.

    Attributes
    ----------
    rows : list of Row
        A row that was removed has the value None.
    version : int
        Version up to which the changes are included; pass it to the next
        `TableService.wait_for_changes`.
    """

    rows: list[Row]
    version: int


class Check(msgspec.Struct, frozen=True):
    """Condition of a transaction: the row still has the version `version`."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write of a row in a transaction; the value None removes the row."""

    table: str
    key: str
    value: Any


class Transaction(msgspec.Struct, frozen=True):
    """Checks and writes that take effect together or not at all."""

    checks: list[Check]
    puts: list[Put]


class Unreachable(msgspec.Struct, frozen=True):
    """The call did not reach the store, or was rejected; nothing was written."""

    message: str


class Unknown(msgspec.Struct, frozen=True):
    """The call got no reply: a write may have taken effect, or may do so later."""

    message: str


class Conflict(msgspec.Struct, frozen=True):
    """A check failed and nothing was written.

    `rows` are the present rows of all checks, in the order of the checks.
    """

    rows: list[Row]


class HistoryLost(msgspec.Struct, frozen=True):
    """The store no longer has the requested changes.

    The caller has to read the whole table again, with `TableService.snapshot`.
    """

    message: str


PlatformError = Unreachable | Unknown | Conflict


class TableService:
    """Transactional tables.

    Attributes
    ----------
    era : int
        The newest known era of the store; 0 if none is known. The store starts a
        higher era each time that it is restored from an older copy.
    answered_s : float
        When the store last answered with the newest known era, on the monotonic
        clock.
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
        """Apply all writes of a transaction or none; return the version written."""
        raise NotImplementedError

    def snapshot(self, table: str) -> Result[Changes, Unreachable | Unknown]:
        """Return all rows of a table, and the version for `wait_for_changes`."""
        raise NotImplementedError

    def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[Changes, Unreachable | Unknown | HistoryLost]:
        """Wait up to `wait_s` for changes of a table; return no rows on a time-out."""
        raise NotImplementedError

    def changes_after(
        self, table: str, version: int
    ) -> Result[Changes, Unreachable | Unknown | HistoryLost]:
        """Return the changes of a table after a version, at once.

        The caller limits how often it calls: no rate limit or circuit breaker does.
        """
        raise NotImplementedError

    def interrupt_wait(self) -> None:
        """Make the present call of `wait_for_changes` fail at once."""

    def end_waits(self) -> None:
        """Make all present and future calls of `wait_for_changes` return at once."""


class ObjectStore:
    """A store of named byte strings, each read and written as a whole."""

    def get(self, name: str) -> Result[bytes | None, Unreachable | Unknown]:
        """Return an object, or None if it does not exist."""
        raise NotImplementedError

    def put(self, name: str, body: bytes) -> Result[None, Unreachable | Unknown]:
        """Write or replace an object."""
        raise NotImplementedError
