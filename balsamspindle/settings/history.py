"""Reads the log of accepted changes, and compares two states of documents."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import InputError
from balsamspindle.settings.rows import (
    CHANGES_TABLE,
    REVISION_KEY,
    REVISION_TABLE,
    SUBTREES_TABLE,
    Change,
    FleetRow,
    SubtreeRow,
    change_key,
    map_rows,
    row_value,
)
from balsamspindle.tables import PlatformError, Row, TableService

__all__ = [
    "UPDATE_CHANGES_MAX",
    "DocumentDiff",
    "RevisionUpdate",
    "change_diffs",
    "diff_documents",
    "diff_team",
    "read_changes",
    "read_fleet",
    "read_history",
    "read_update",
    "read_team_history",
]

HISTORY_LIMIT = 20
UPDATE_CHANGES_MAX = 8


class RevisionUpdate(NamedTuple):
    """The newest accepted revision, and the first changes after a known revision.

    `changes` has at most `UPDATE_CHANGES_MAX` items.
    """

    fleet: FleetRow
    changes: list[Change]


class DocumentDiff(msgspec.Struct, frozen=True):
    """One changed document: `before` is None if it was added, `after` if removed."""

    path: str
    before: Any
    after: Any


def diff_documents(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[DocumentDiff]:
    """Return the documents that differ, sorted by path."""
    return [
        DocumentDiff(path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def change_diffs(change: Change) -> list[DocumentDiff]:
    """Return the documents that an accepted change added, edited or removed."""
    return diff_documents(change.before, change.documents)


def diff_team(
    tables: TableService, team: str, planned: Mapping[str, Any]
) -> Result[list[DocumentDiff], PlatformError]:
    """Return the differences between a team's stored documents and `planned`.

    `planned` contains all documents that the team is to have.
    """
    return map_rows(
        tables.read(SUBTREES_TABLE, [team]),
        lambda rows: diff_documents(
            row_value(rows[0], SubtreeRow, SubtreeRow()).documents, planned
        ),
    )


def read_fleet(tables: TableService) -> Result[FleetRow, PlatformError]:
    """Return the newest accepted revision; reads a single row."""
    return map_rows(
        tables.read(REVISION_TABLE, [REVISION_KEY]),
        lambda rows: row_value(rows[0], FleetRow, FleetRow()),
    )


def read_changes(
    tables: TableService, first: int, last: int
) -> Result[list[Change], PlatformError]:
    """Return the changes of revisions `first` to `last`.

    Omits those that are not in the log or can't be decoded.
    """
    keys = [change_key(revision) for revision in range(first, last + 1)]
    return tables.read(CHANGES_TABLE, keys).map(_usable_changes)


def read_update(
    tables: TableService, above_revision: int
) -> Result[RevisionUpdate, PlatformError]:
    """Return the newest revision and the first changes after `above_revision`.

    Both are fetched in one read. A second read would double the time until a change
    comes in force on a slow platform.
    """
    revisions = range(above_revision + 1, above_revision + 1 + UPDATE_CHANGES_MAX)
    keys = [REVISION_KEY, *map(change_key, revisions)]
    return map_rows(
        tables.read(CHANGES_TABLE, keys),
        lambda rows: RevisionUpdate(
            row_value(rows[0], FleetRow, FleetRow()), _usable_changes(rows[1:])
        ),
    )


def _usable_changes(rows: list[Row]) -> list[Change]:
    changes = []
    for row in rows:
        try:
            change = row_value(row, Change)
        except InputError:
            # A node that finds a gap in the log reads all settings.
            continue
        if change is not None:
            changes.append(change)
    return changes


def read_history(
    tables: TableService, limit: int = HISTORY_LIMIT
) -> Result[list[Change], PlatformError]:
    """Return the fleet's latest changes, newest first."""
    match read_fleet(tables):
        case Result(tag="ok", ok=fleet):
            first = max(1, fleet.revision - limit + 1)
            return read_changes(tables, first, fleet.revision).map(
                lambda changes: changes[::-1]
            )
        case Result(error=error):
            return Error(error)


def read_team_history(
    tables: TableService, team: str, limit: int = HISTORY_LIMIT
) -> Result[list[Change], PlatformError]:
    """Return a team's latest changes, newest first.

    Each change contains the revision of the team's previous change. The changes that
    other teams made in between are not read: there is one read per returned change.
    """
    subtree = map_rows(
        tables.read(SUBTREES_TABLE, [team]),
        lambda rows: row_value(rows[0], SubtreeRow, SubtreeRow()),
    )
    match subtree:
        case Result(tag="ok", ok=SubtreeRow(revision=revision)):
            pass
        case Result(error=error):
            return Error(error)
    history: list[Change] = []
    while revision and len(history) < limit:
        match read_changes(tables, revision, revision):
            case Result(tag="ok", ok=[change]):
                history.append(change)
                revision = change.previous_team_revision
            case Result(tag="ok"):
                break
            case Result(error=error):
                return Error(error)
    return Ok(history)
