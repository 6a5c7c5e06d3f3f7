"""The fleet's settings in the platform's tables.

Table ``subtrees`` has one row for each team, with all its documents; the row
``revision`` of table ``fleet`` counts accepted changes. A change checks and
writes both in one transaction.
"""

from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from balsamspindle.platform import (
    Check,
    Conflict,
    PlatformError,
    Put,
    Row,
    TableService,
    Transaction,
)
from balsamspindle.settings.tree import Fault, check_documents

__all__ = [
    "FLEET_TABLE",
    "REVISION_KEY",
    "SUBTREES_TABLE",
    "Accepted",
    "InvalidSettings",
    "SettingsConflict",
    "SettingsStore",
    "SettingsUnavailable",
    "StoredSettings",
    "SubtreeRow",
]

SUBTREES_TABLE = "subtrees"
FLEET_TABLE = "fleet"
REVISION_KEY = "revision"
READ_ATTEMPTS = 5


class SubtreeRow(msgspec.Struct, frozen=True):
    """One team's row."""

    documents: dict[str, Any] = {}


class StoredSettings(NamedTuple):
    """All settings at one revision."""

    revision: int
    documents: dict[str, bytes]


class Accepted(msgspec.Struct, frozen=True):
    """The change is accepted at this revision."""

    revision: int


class InvalidSettings(msgspec.Struct, frozen=True):
    """The change would make settings with these faults; not accepted."""

    faults: list[Fault]


class SettingsConflict(msgspec.Struct, frozen=True):
    """Somebody else changed the subtree meanwhile; not accepted."""

    message: str


class SettingsUnavailable(msgspec.Struct, frozen=True):
    """The platform did not do its part; `message` says what is known."""

    message: str


class SettingsStore:
    """Reads and changes the settings at the platform."""

    def __init__(self, tables: TableService) -> None:
        self._tables = tables

    def revision(self) -> Result[int, PlatformError]:
        """Return the fleet's revision: one read of one row."""
        return self._tables.read(FLEET_TABLE, [REVISION_KEY]).map(
            lambda rows: _revision(rows[0])
        )

    def load(self) -> Result[StoredSettings, SettingsUnavailable]:
        """Return all settings, as of one revision."""
        for _ in range(READ_ATTEMPTS):
            before = self.revision()
            rows = self._tables.scan(SUBTREES_TABLE)
            after = self.revision()
            for result in (before, rows, after):
                if result.is_error():
                    return Error(SettingsUnavailable(str(result.error)))
            # Rows are read one after the other: a change in between would
            # give a mix of two revisions that was never accepted.
            if before.ok == after.ok:
                return Ok(StoredSettings(after.ok, _documents(rows.ok)))
        return Error(SettingsUnavailable("the settings change faster than a read"))

    def put(
        self, path: str, document: Any
    ) -> Result[Accepted, InvalidSettings | SettingsConflict | SettingsUnavailable]:
        """Write one document; a document of None removes it."""
        team = path.partition("/")[0]
        fleet = self._tables.read(FLEET_TABLE, [REVISION_KEY])
        subtrees = self._tables.scan(SUBTREES_TABLE)
        for result in (fleet, subtrees):
            if result.is_error():
                return Error(SettingsUnavailable(str(result.error)))
        fleet_row = fleet.ok[0]
        rows = {row.key: row for row in subtrees.ok}
        row = rows.get(team, Row(team, 0, None))
        documents = dict(msgspec.convert(row.value or {}, SubtreeRow).documents)
        documents[path] = document
        if document is None:
            del documents[path]
        rows[team] = Row(team, row.version, {"documents": documents})
        faults = check_documents(_documents(list(rows.values())))
        if faults:
            return Error(InvalidSettings(faults))
        revision = _revision(fleet_row) + 1
        transaction = Transaction(
            [
                Check(SUBTREES_TABLE, team, row.version),
                Check(FLEET_TABLE, REVISION_KEY, fleet_row.version),
            ],
            [
                Put(SUBTREES_TABLE, team, {"documents": documents}),
                Put(FLEET_TABLE, REVISION_KEY, {"revision": revision}),
            ],
        )
        match self._tables.transact(transaction):
            case Result(tag="ok"):
                return Ok(Accepted(revision))
            case Result(error=Conflict()):
                return Error(SettingsConflict("the settings changed meanwhile"))
            case Result(error=error):
                return Error(SettingsUnavailable(error.message))


def _revision(row: Row) -> int:
    return 0 if row.value is None else row.value["revision"]


def _documents(rows: list[Row]) -> dict[str, bytes]:
    return {
        path: msgspec.json.encode(document)
        for row in rows
        for path, document in msgspec.convert(row.value, SubtreeRow).documents.items()
    }
