"""Loads all settings of one revision from the platform."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from balsamspindle.settings.configuration import (
    ApplyResult,
    Configuration,
    CurrentConfiguration,
)
from balsamspindle.settings.history import read_changes, read_fleet
from balsamspindle.settings.rows import (
    SUBTREES_TABLE,
    FleetRow,
    SubtreeRow,
    map_rows,
    row_value,
)
from balsamspindle.settings.snapshots import read_snapshot
from balsamspindle.settings.subtree import (
    changed_documents,
    delta_of_change,
    encode_documents,
)
from balsamspindle.tables import (
    ObjectStore,
    PlatformError,
    Row,
    RowDecoder,
    TableService,
    Unreachable,
)

__all__ = [
    "REPLAY_CHANGES_MAX",
    "StoredSettings",
    "load_from_snapshot",
    "load_settings",
]

REPLAY_CHANGES_MAX = 500


class StoredSettings(NamedTuple):
    """All documents of one revision: JSON by path."""

    fleet: FleetRow
    documents: dict[str, bytes]


def load_settings(
    tables: TableService, skipping: RowDecoder | None = None
) -> Result[StoredSettings, PlatformError]:
    """Return all settings at the platform's revision.

    A team's row that can't be decoded is an error, unless `skipping` is given, a
    decoder of `SubtreeRow`: then the row is reported and its team has no documents.

    A scan reads rows one after the other. If a change is accepted during the scan, the
    scanned documents can belong to different revisions, so the changes accepted during
    the scan are applied to them. A change contains complete documents, so applying it
    to documents that already include it does no harm.
    """
    before = read_fleet(tables)
    rows = tables.scan(SUBTREES_TABLE)
    after = read_fleet(tables)
    for result in (before, rows, after):
        if result.is_error():
            return Error(result.error)
    first, last = before.ok.revision + 1, after.ok.revision
    if last - first >= REPLAY_CHANGES_MAX:
        return Error(Unreachable("the settings change faster than they can be read"))
    loaded = map_rows(rows, lambda found: _documents(found, skipping))
    if loaded.is_error():
        return Error(loaded.error)
    documents = loaded.ok
    match read_changes(tables, first, last):
        case Result(tag="ok", ok=changes):
            for change in changes:
                documents = changed_documents(documents, change.documents)
            return Ok(StoredSettings(after.ok, encode_documents(documents)))
        case Result(error=error):
            return Error(error)


def _documents(rows: list[Row], skipping: RowDecoder | None) -> dict[str, Any]:
    documents: dict[str, Any] = {}
    for row in rows:
        if skipping is None:
            subtree = row_value(row, SubtreeRow, SubtreeRow())
        else:
            subtree = skipping.decode(row) or SubtreeRow()
        documents |= subtree.documents
    return documents


def load_from_snapshot(
    tables: TableService, objects: ObjectStore, fleet: FleetRow
) -> Configuration | None:
    """Return the settings at the revision of `fleet`, from snapshot and change log.

    Returns None if there is no snapshot, if it is more than `REPLAY_CHANGES_MAX`
    revisions old, if the change log can't be read, or if the logged changes do not
    lead from the snapshot to the revision. In the last case, the snapshot may contain
    changes that the tables lost when the platform was restored from a backup.
    """
    snapshot = read_snapshot(objects)
    if snapshot is None or fleet.revision - snapshot.revision > REPLAY_CHANGES_MAX:
        return None
    current = CurrentConfiguration()
    current.install(snapshot)
    changes = read_changes(tables, snapshot.revision + 1, fleet.revision)
    if changes.is_error():
        return None
    applied = current.apply([delta_of_change(change) for change in changes.ok])
    if applied not in (ApplyResult.IN_FORCE, ApplyResult.OLD):
        return None
    configuration = current.get()
    reached_fleet = FleetRow(configuration.revision, configuration.chain)
    return configuration if reached_fleet == fleet else None
