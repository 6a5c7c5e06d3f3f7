"""Rows of the platform's tables that hold the fleet's settings.

========== =============== ==================================================
table      key             value
========== =============== ==================================================
subtrees   TEAM            `SubtreeRow`: one team's documents and owner
fleet      ``key``         `FleetKeyRow`: hash of the fleet key
changes    ``revision``    `FleetRow`: the newest accepted change
changes    revision        `Change`: one accepted change
operations operation id    `OperationRow`: how one write was decided
========== =============== ==================================================

The newest revision stands in the table of the changes, so that one read brings
it and the changes after a known one.
"""

from typing import Any

import msgspec
import xxhash

from balsamspindle.tables import Row

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
        Who made that change.
    paths : list of str
        What it changed.
    """

    documents: dict[str, Any] = {}
    owner: str | None = None
    revision: int = 0
    author: str = ""
    paths: list[str] = []


class FleetRow(msgspec.Struct, frozen=True):
    """The newest accepted change of the whole fleet's settings.

    Attributes
    ----------
    revision : int
        Rises by one with each accepted change.
    chain : str
        Digest over all accepted operations in their order: two histories
        with the same revision but other changes differ in it.
    """

    revision: int = 0
    chain: str = ""


class FleetKeyRow(msgspec.Struct, frozen=True):
    """Hash of the key that creates teams."""

    owner: str


class OperationRow(msgspec.Struct, frozen=True):
    """How a write was decided: accepted at a revision, or withdrawn (None)."""

    revision: int | None = None


class Change(msgspec.Struct, frozen=True):
    """One accepted change, as the change log keeps it.

    Attributes
    ----------
    documents : dict of str to JSON value or None
        Documents written; None for one that was removed.
    before : dict of str to JSON value or None
        The same paths before the change.
    previous_team_revision : int
        Revision of the team's change before this one; 0 when there is none.
    previous_chain, chain : str
        `FleetRow.chain` before and after the change.
    wall_ms : int
        Wall time at the writer.
    restart : bool
        Whether an operator declared the platform's rows to be in force after
        changes were lost (see `balsamspindle.settings.recovery`).
    """

    revision: int
    team: str
    operation_id: str
    author: str
    wall_ms: int
    documents: dict[str, Any]
    before: dict[str, Any]
    previous_team_revision: int
    previous_chain: str
    chain: str
    restart: bool = False

    @property
    def paths(self) -> list[str]:
        """Paths that the change wrote or removed."""
        return sorted(self.documents)


def change_key(revision: int) -> str:
    """Return the key of a change: it sorts as the revision does."""
    return f"{revision:0{REVISION_DIGITS}}"


def next_chain(chain: str, operation_id: str) -> str:
    """Return the chain's digest after one more operation."""
    return xxhash.xxh3_128_hexdigest(f"{chain}/{operation_id}".encode())


def row_value(row: Row, kind: type, default: Any = None) -> Any:
    """Return a row's value as its type, or the default where there is none."""
    return default if row.value is None else msgspec.convert(row.value, kind)
