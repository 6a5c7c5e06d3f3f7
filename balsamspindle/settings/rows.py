"""Rows of the platform's tables that hold the fleet's settings.

========== =============== ==================================================
table      key             value
========== =============== ==================================================
subtrees   TEAM            `SubtreeRow`: one team's documents and owner
fleet      ``key``         `FleetKeyRow`: hash of the fleet key
changes    ``revision``    `FleetRow`: the newest accepted revision
changes    revision number `Change`: one accepted change
operations operation id    `OperationRow`: outcome of one edit
========== =============== ==================================================

The row of the newest revision is in the table of changes, so that one read fetches
both this row and the changes after a known revision.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import xxhash
from expression import Error, Result

from balsamspindle.protocol.decoding import InputError, convert_input, shorten
from balsamspindle.tables import PlatformError, Row, Unknown, Unreachable
from balsamspindle.wire.member_messages import Count

__all__ = [
    "CHANGES_TABLE",
    "FLEET_KEY_KEY",
    "FLEET_TABLE",
    "OPERATIONS_TABLE",
    "REVISION_KEY",
    "REVISION_TABLE",
    "SUBTREES_TABLE",
    "Change",
    "FleetKeyRow",
    "FleetRow",
    "OperationRow",
    "SubtreeRow",
    "change_key",
    "map_rows",
    "next_chain",
    "row_value",
]

SUBTREES_TABLE = "subtrees"
FLEET_TABLE = "fleet"
CHANGES_TABLE = "changes"
OPERATIONS_TABLE = "operations"
REVISION_TABLE = CHANGES_TABLE
REVISION_KEY = "revision"
FLEET_KEY_KEY = "key"
REVISION_DIGITS = 12

T = TypeVar("T")


class SubtreeRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One team's documents, its owner and its last change.

    Attributes
    ----------
    documents : dict of str to JSON value
    owner : str or None
        Hash of the team's key; None for a team without an owner.
    revision : int
        Fleet revision of the last change; 0 before the first.
    author : str
        Author of the last change.
    paths : list of str
        Paths of the documents that the last change wrote or removed.
    """

    documents: dict[str, Any] = {}
    owner: str | None = None
    revision: Count = 0
    author: str = ""
    paths: list[str] = []


class FleetRow(msgspec.Struct, frozen=True):
    """The newest accepted change of the whole fleet's settings.

    Attributes
    ----------
    revision : int
        Rises by one with each accepted change.
    chain : str
        Digest over the ids of all accepted operations in order. Two histories
        with the same revision but different changes have different digests.
    """

    revision: Count = 0
    chain: str = ""


class FleetKeyRow(msgspec.Struct, frozen=True):
    """Hash of the fleet key, which is required to create teams."""

    owner: str


class OperationRow(msgspec.Struct, frozen=True):
    """Outcome of an edit: its revision if it was accepted, None if withdrawn."""

    revision: Count | None = None


class Change(msgspec.Struct, frozen=True):
    """One accepted change, as stored in the change log.

    Attributes
    ----------
    documents : dict of str to JSON value or None
        The documents written, by path; None for a document that was removed.
    before : dict of str to JSON value or None
        The documents at the same paths before the change; None where there was no
        document.
    previous_team_revision : int
        Revision of the team's previous change; 0 if there is none.
    previous_chain, chain : str
        `FleetRow.chain` before and after the change.
    wall_ms : int
        Wall-clock time at the writer, in milliseconds.
    restart : bool
        Whether this change restarts the history: changes were lost, and an
        operator put the platform's remaining rows in force (see
        `balsamspindle.settings.recovery`).
    """

    revision: Count
    team: str
    operation_id: str
    author: str
    wall_ms: Count
    documents: dict[str, Any]
    before: dict[str, Any]
    previous_team_revision: Count
    previous_chain: str
    chain: str
    restart: bool = False

    @property
    def paths(self) -> list[str]:
        """Sorted paths of the documents that the change wrote or removed."""
        return sorted(self.documents)


def change_key(revision: int) -> str:
    """Return the row key of a change; row keys sort in the order of revisions."""
    return f"{revision:0{REVISION_DIGITS}}"


def next_chain(chain: str, operation_id: str) -> str:
    """Return the digest `FleetRow.chain` after one more operation."""
    return xxhash.xxh3_128_hexdigest(f"{chain}/{operation_id}".encode())


def row_value(row: Row, kind: type, default: Any = None) -> Any:
    """Decode a row's value as a type; return the default if the row does not exist.

    Raises
    ------
    InputError
        If the value can't be decoded. With the default in its place, an edit would
        begin a new history.
    """
    try:
        if row.fault:
            raise InputError(row.fault)
        return default if row.value is None else convert_input(row.value, kind)
    except InputError as error:
        raise InputError(f"row {shorten(row.key)!r}: {error}") from None


def map_rows(
    rows: Result[list[Row], Unreachable | Unknown], function: Callable[[list[Row]], T]
) -> Result[T, PlatformError]:
    """Return the function's value for the rows; an error if one can't be decoded."""
    try:
        return rows.map(function)
    except InputError as error:
        return Error(Unreachable(f"not usable: {error}"))
