"""One edit of the settings: the rows that the edit reads and the rows it writes."""

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
    "build_transaction",
    "conflict_error",
    "fleet_row",
    "new_operation_id",
    "operation_outcome",
]


class Edit(msgspec.Struct, frozen=True):
    """One operator's edit of one team's subtree.

    Attributes
    ----------
    documents : dict of str to JSON value or None
        Documents to write, by path; None removes the document.
    operation_id : str
        Identifies this edit permanently; a retry of the edit uses the same id.
    expected_version : int or None
        Version of the subtree's row on which the operator based the edit.
        If None, the edit is based on the version that its first attempt reads.
        The edit is rejected if the row has another version when the edit is written.
    owner : str or None
        Hash of the team's new key; None leaves the key unchanged.
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
    """The rows whose versions an edit's transaction checks, in this order."""

    subtree: Row
    operation: Row
    fleet: Row


@dataclass
class EditRun:
    """State of an edit, kept between its attempts.

    Attributes
    ----------
    base_version : int or None
        Version of the subtree's row on which the edit is based; None before
        the rows are first read.
    in_doubt : bool
        Whether an earlier attempt may have taken effect.
    rows : EditRows or None
        Rows for the next attempt; None if they must be read again.
    documents : dict or None
        The subtree's documents after the edit; None before they were checked.
    cause : str
        Why the last attempt did not succeed.
    failures : int
        Number of attempts that failed because the platform did not answer.
    """

    edit: Edit
    credentials: Credentials
    base_version: int | None
    in_doubt: bool
    rows: EditRows | None = None
    documents: dict[str, Any] | None = None
    cause: str = ""
    failures: int = 0


def new_operation_id() -> str:
    """Return a unique operation id for a new edit."""
    return uuid.uuid4().hex


def build_transaction(run: EditRun, wall_ms: int) -> Transaction:
    """Return the transaction that writes an edit whose documents were checked."""
    edit, rows = run.edit, run.rows
    owner = row_value(rows.subtree, SubtreeRow, SubtreeRow()).owner
    change = _build_change(edit, run.credentials.author, rows, wall_ms)
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
    """Return the fleet's revision and history digest; the default if none is stored."""
    return row_value(rows.fleet, FleetRow, FleetRow())


def _build_change(edit: Edit, author: str, rows: EditRows, wall_ms: int) -> Change:
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


def operation_outcome(row: Row, operation_id: str) -> Result[Accepted, Withdrawn]:
    """Return the outcome of an edit from the row in which it is recorded."""
    revision = row_value(row, OperationRow, OperationRow()).revision
    if revision is None:
        return Error(Withdrawn("the edit had already been withdrawn"))
    return Ok(Accepted(revision, operation_id))


def conflict_error(team: str, row: Row) -> SettingsConflict:
    """Return the error for an edit whose subtree was changed by another edit first.

    `row` is the subtree's row, which records the author and paths of the other edit.
    """
    last = row_value(row, SubtreeRow, SubtreeRow())
    paths = ", ".join(last.paths) or "the team's key"
    return SettingsConflict(
        f"{last.author or 'somebody'} changed {paths} at revision {last.revision}"
        f" meanwhile: read {team!r} again",
        last.author,
        last.revision,
        last.paths,
    )
