"""One edit of the settings: what it reads, and the transaction that it makes."""

import uuid
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from balsamspindle.settings.ownership import Credentials
from balsamspindle.settings.results import Accepted, SettingsConflict, Withdrawn
from balsamspindle.settings.rows import (
    CHANGES_TABLE,
    OPERATIONS_TABLE,
    REVISION_KEY,
    REVISION_TABLE,
    SUBTREES_TABLE,
    Change,
    FleetRow,
    OperationRow,
    SubtreeRow,
    change_key,
    next_chain,
    row_value,
)
from balsamspindle.tables import Check, Put, Row, Transaction

__all__ = [
    "Edit",
    "EditRows",
    "EditRun",
    "conflict",
    "decided",
    "fleet_row",
    "new_operation_id",
    "transaction",
]


class Edit(msgspec.Struct, frozen=True):
    """One operator's edit of one team's subtree.

    Attributes
    ----------
    documents : dict of str to JSON value or None
        Paths to write; None removes the document.
    operation_id : str
        Names this edit for ever; the same edit sent again keeps it.
    expected_version : int or None
        Version of the subtree's row that the operator looked at; None takes
        the version that the edit itself reads first.
    owner : str or None
        New hash of the team's key, where the edit replaces it.
    in_doubt : bool
        Whether an earlier call with this operation id may have taken effect.
    """

    team: str
    documents: dict[str, Any]
    operation_id: str
    expected_version: int | None = None
    owner: str | None = None
    in_doubt: bool = False


class EditRows(NamedTuple):
    """Rows that decide an edit, in the order of the transaction's checks."""

    subtree: Row
    operation: Row
    fleet: Row


@dataclass
class EditRun:
    """An edit between its attempts.

    Attributes
    ----------
    base : int or None
        Version of the subtree's row that the edit builds on.
    in_doubt : bool
        Whether an attempt may have taken effect.
    rows : EditRows or None
        None when they must be read again.
    documents : dict or None
        The subtree after the edit, once it is checked.
    failures : int
        Attempts that the platform did not answer.
    """

    edit: Edit
    credentials: Credentials
    base: int | None
    in_doubt: bool
    rows: EditRows | None = None
    documents: dict[str, Any] | None = None
    cause: str = ""
    failures: int = 0


def new_operation_id() -> str:
    """Return an operation id that no other edit has."""
    return uuid.uuid4().hex


def transaction(run: EditRun, wall_ms: int) -> Transaction:
    """Return the checks and writes of a checked edit."""
    edit, rows = run.edit, run.rows
    owner = row_value(rows.subtree, SubtreeRow, SubtreeRow()).owner
    change = _change(edit, run.credentials.author, rows, wall_ms)
    after = SubtreeRow(
        run.documents,
        edit.owner or owner,
        change.revision,
        run.credentials.author,
        change.paths,
    )
    keys = (SUBTREES_TABLE, OPERATIONS_TABLE, REVISION_TABLE)
    checks = [
        Check(table, row.key, row.version)
        for table, row in zip(keys, rows, strict=True)
    ]
    fleet = FleetRow(change.revision, change.chain)
    operation = OperationRow(change.revision)
    puts = [
        Put(SUBTREES_TABLE, edit.team, msgspec.to_builtins(after)),
        Put(OPERATIONS_TABLE, edit.operation_id, msgspec.to_builtins(operation)),
        Put(REVISION_TABLE, REVISION_KEY, msgspec.to_builtins(fleet)),
        Put(CHANGES_TABLE, change_key(change.revision), msgspec.to_builtins(change)),
    ]
    return Transaction(checks, puts)


def fleet_row(rows: EditRows) -> FleetRow:
    """Return the fleet's revision as an edit read it."""
    return row_value(rows.fleet, FleetRow, FleetRow())


def _change(edit: Edit, author: str, rows: EditRows, wall_ms: int) -> Change:
    fleet = fleet_row(rows)
    subtree = row_value(rows.subtree, SubtreeRow, SubtreeRow())
    return Change(
        fleet.revision + 1,
        edit.team,
        edit.operation_id,
        author,
        wall_ms,
        edit.documents,
        {path: subtree.documents.get(path) for path in edit.documents},
        subtree.revision,
        fleet.chain,
        next_chain(fleet.chain, edit.operation_id),
    )


def decided(row: Row, operation_id: str) -> Result[Accepted, Withdrawn]:
    """Read from an operation's row how the edit was decided."""
    revision = row_value(row, OperationRow, OperationRow()).revision
    if revision is None:
        return Error(Withdrawn("it was settled as not accepted"))
    return Ok(Accepted(revision, operation_id))


def conflict(team: str, row: Row) -> SettingsConflict:
    """Tell who changed what meanwhile."""
    last = row_value(row, SubtreeRow, SubtreeRow())
    paths = ", ".join(last.paths) or "the team's key"
    return SettingsConflict(
        f"{last.author or 'somebody'} changed {paths} at revision {last.revision}"
        f" meanwhile: read {team!r} again",
        last.author,
        last.revision,
        last.paths,
    )
