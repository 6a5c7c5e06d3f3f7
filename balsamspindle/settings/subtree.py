"""Applies edits to one team's documents (its subtree) and validates the result.

Validation reads the team's own documents and the rows of other teams whose services
these documents name, so its cost does not grow with the number of teams.

A team may remove its service even if routes of other teams name the service. Otherwise
any other team could prevent the removal by naming the service in a route. After the
removal, requests for such a route are answered with ``not_run`` (no backend server).
The team that owns the route can still edit its documents, because an edit is refused
only for faults that the edit introduces.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from expression import Ok, Result

from balsamspindle.settings.rows import (
    SUBTREES_TABLE,
    Change,
    SubtreeRow,
    map_rows,
    row_value,
)
from balsamspindle.settings.validation import Fault, check_documents
from balsamspindle.tables import PlatformError, Row, TableService
from balsamspindle.wire.settings_messages import SettingsDelta

__all__ = [
    "changed_documents",
    "delta_of_change",
    "encode_documents",
    "new_faults",
]


def changed_documents(
    documents: Mapping[str, Any], changes: Mapping[str, Any]
) -> dict[str, Any]:
    """Return a subtree's documents after an edit; None in `changes` removes one."""
    after = {**documents, **changes}
    return {path: value for path, value in after.items() if value is not None}


def encode_documents(documents: Mapping[str, Any]) -> dict[str, bytes]:
    """Encode documents as JSON, the form that validation and nodes read."""
    return {path: msgspec.json.encode(value) for path, value in documents.items()}


def delta_of_change(change: Change) -> SettingsDelta:
    """Convert a change of the log to the form that nodes apply."""
    return SettingsDelta(
        change.revision,
        change.previous_chain,
        change.chain,
        {
            path: None if document is None else msgspec.json.encode(document)
            for path, document in change.documents.items()
        },
        change.wall_ms,
        change.restart,
    )


def new_faults(
    tables: TableService,
    team: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Result[list[Fault], PlatformError]:
    """Return the faults that an edit introduces in a team's documents."""
    outside_subtree = [
        Fault(path, f"is not in the subtree of {team!r}")
        for path in after
        if path.partition("/")[0] != team
    ]
    if outside_subtree:
        return Ok(outside_subtree)
    match _named_services(tables, team, [*before.values(), *after.values()]):
        case Result(tag="ok", ok=others):
            pass
        case Result(error=error):
            return Result.Error(error)
    faults = check_documents(encode_documents(after), others)
    if not faults:
        return Ok([])
    existing_faults = set(check_documents(encode_documents(before), others))
    # Faults that an unchanged document had before are not due to this edit.
    return Ok(
        [
            fault
            for fault in faults
            if fault not in existing_faults
            or before.get(fault.path) != after.get(fault.path)
        ]
    )


def _named_services(
    tables: TableService, team: str, documents: Iterable[Any]
) -> Result[set[str], PlatformError]:
    """Return the services that the documents name and that other teams define."""
    named = [
        document.get("service") for document in documents if _is_json_object(document)
    ]
    names = {name for name in named if isinstance(name, str) and "/" in name}
    teams = sorted({name.partition("/")[0] for name in names} - {team})
    if not teams:
        return Ok(set())
    return map_rows(
        tables.read(SUBTREES_TABLE, teams),
        lambda rows: names & {name for row in rows for name in _service_names(row)},
    )


def _is_json_object(document: Any) -> bool:
    return isinstance(document, dict)


def _service_names(row: Row) -> Iterable[str]:
    for path in row_value(row, SubtreeRow, SubtreeRow()).documents:
        match path.split("/"):
            case [owner, "services", name]:
                yield f"{owner}/{name}"
