"""The platform's table service and object store, as messages.

A row has a version that rises by one with each write; version 0 is a row that
is not there. A transaction checks versions of rows, then writes rows: all of
it takes effect or none.
"""

from typing import Any

import msgspec
from expression import Result

__all__ = [
    "Check",
    "Conflict",
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
    """The platform did not take the call: nothing was written."""

    message: str


class Unknown(msgspec.Struct, frozen=True):
    """No reply: a write may have taken effect."""

    message: str


class Conflict(msgspec.Struct, frozen=True):
    """A check failed: nothing was written; the rows as they are."""

    rows: list[Row]


PlatformError = Unreachable | Unknown | Conflict


class TableService:
    """The platform's transactional tables."""

    def read(
        self, table: str, keys: list[str]
    ) -> Result[list[Row], Unreachable | Unknown]:
        """Return the rows, in the order asked for."""
        raise NotImplementedError

    def scan(self, table: str) -> Result[list[Row], Unreachable | Unknown]:
        """Return all rows of a table, by key."""
        raise NotImplementedError

    def transact(self, transaction: Transaction) -> Result[None, PlatformError]:
        """Check and write rows, all or nothing."""
        raise NotImplementedError


class ObjectStore:
    """The platform's store of whole objects."""

    def get(self, name: str) -> Result[bytes | None, Unreachable | Unknown]:
        """Return an object, None where there is none."""
        raise NotImplementedError

    def put(self, name: str, body: bytes) -> Result[None, Unreachable | Unknown]:
        """Write an object whole."""
        raise NotImplementedError
