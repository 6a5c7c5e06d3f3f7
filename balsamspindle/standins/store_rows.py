"""Rows and transactions of the stand-in for the platform's store."""

import base64

import msgspec
from werkzeug.exceptions import HTTPException

__all__ = ["Address", "StoredRow", "StoredTransaction", "check_transaction"]

ENTRIES_MAX = 100
ROW_BYTES_MAX = 65_536
NAME_BYTES_MAX = 200
# Tables that the operator and the platform write.
_FOREIGN_TABLES = frozenset({"op", "servers"})


class Address(msgspec.Struct, frozen=True):
    """Where a row lies."""

    table: str
    key: str
    part: str = ""


class Precondition(Address, frozen=True):
    ver: int = 0


class Upsert(Address, frozen=True):
    value: str = ""


class StoredTransaction(msgspec.Struct):
    """A transaction as it comes in."""

    precondition: list[Precondition] = []
    upserts: list[Upsert] = []
    deletes: list[Address] = []
    across: bool = False


class StoredRow(msgspec.Struct, frozen=True):
    """A row as it lies in the store; `value` is base64, None once removed."""

    table: str
    part: str
    key: str
    ver: int
    value: str | None

    @property
    def address(self) -> Address:
        """Where it lies."""
        return Address(self.table, self.key, self.part)

    def on_wire(self) -> dict:
        """Return it as feeds and reads show it."""
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
    """Refuse what the store refuses."""
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
        if item.table in _FOREIGN_TABLES:
            raise _Forbidden()
    for item in transaction.upserts:
        if len(base64.b64decode(item.value)) > ROW_BYTES_MAX:
            raise ValueError(f"a row holds at most {ROW_BYTES_MAX} bytes")


class _Forbidden(HTTPException):
    code = 403
    description = "the system may not write to this table"
