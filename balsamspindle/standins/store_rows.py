"""Rows and transactions of the stand-in for the platform's store."""

import base64

import msgspec
from werkzeug.exceptions import HTTPException

__all__ = ["Address", "StoredRow", "StoredTransaction", "check_transaction"]

ENTRIES_MAX = 100
ROW_BYTES_MAX = 65_536
NAME_BYTES_MAX = 200
# Tables that only the operator and the platform write.
_EXTERNAL_TABLES = frozenset({"op", "servers"})


class Address(msgspec.Struct, frozen=True):
    """Identifies a row."""

    table: str
    key: str
    part: str = ""


class Precondition(Address, frozen=True):
    ver: int = 0


class Upsert(Address, frozen=True):
    value: str = ""


class StoredTransaction(msgspec.Struct):
    """The body of a transaction.

    Attributes
    ----------
    across : bool
        Whether the entries may be in different partitions (`part` on the wire).
    """

    precondition: list[Precondition] = []
    upserts: list[Upsert] = []
    deletes: list[Address] = []
    across: bool = False


class StoredRow(msgspec.Struct, frozen=True):
    """A row of the store; `value` is base64, None for a removed row."""

    table: str
    part: str
    key: str
    ver: int
    value: str | None

    @property
    def address(self) -> Address:
        """The row's table, key and partition."""
        return Address(self.table, self.key, self.part)

    def to_wire(self) -> dict:
        """Return the row in the JSON form of replies to reads and feeds."""
        row = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "ver": self.ver,
        }
        if self.value is None:
            return {**row, "deleted": True}
        return {**row, "value": self.value}


def check_transaction(transaction: StoredTransaction) -> None:
    """Check a transaction against the store's limits.

    Raises
    ------
    ValueError
        If the transaction, a key or a row is too large, or if the entries are in
        several partitions and `across` is false.
    HTTPException
        With status 403, if the transaction writes a table that only the operator and
        the platform may write.
    """
    entries = [
        *transaction.precondition,
        *transaction.upserts,
        *transaction.deletes,
    ]
    if len(entries) > ENTRIES_MAX:
        raise ValueError(f"a transaction holds at most {ENTRIES_MAX} entries")
    if not transaction.across and len({item.part for item in entries}) > 1:
        raise ValueError("the entries lie in more than one part")
    for item in entries:
        if len(item.key.encode()) > NAME_BYTES_MAX:
            raise ValueError(f"a key has at most {NAME_BYTES_MAX} bytes")
    for item in (*transaction.upserts, *transaction.deletes):
        if item.table in _EXTERNAL_TABLES:
            raise _Forbidden()
    for item in transaction.upserts:
        if len(base64.b64decode(item.value)) > ROW_BYTES_MAX:
            raise ValueError(f"a row holds at most {ROW_BYTES_MAX} bytes")


class _Forbidden(HTTPException):
    # In the description, "the system" is the client that sent the transaction. Only the
    # operator and the platform may write the table.
    code = 403
    description = "the system may not write to this table"
