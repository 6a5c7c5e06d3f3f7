"""Lets an operator continue after the platform was restored from a backup.

After a restore, the nodes have a newer revision than the platform and keep it in
force. New edits would get revisions that the nodes already have, so no node would put
them in force. Putting the settings of the backup in force loses accepted changes, so
only an operator can decide to do so. The decision is written as a change with a
revision above that of every node; nodes that receive this change reload all settings.
"""

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import InputError
from balsamspindle.settings.editing import new_operation_id
from balsamspindle.settings.ownership import Credentials, key_matches
from balsamspindle.settings.results import (
    Accepted,
    EditError,
    NotKnown,
    NotOwner,
    SettingsConflict,
    SettingsUnavailable,
)
from balsamspindle.settings.rows import (
    CHANGES_TABLE,
    FLEET_KEY_KEY,
    FLEET_TABLE,
    OPERATIONS_TABLE,
    REVISION_KEY,
    REVISION_TABLE,
    Change,
    FleetKeyRow,
    FleetRow,
    OperationRow,
    change_key,
    next_chain,
    row_value,
)
from balsamspindle.tables import (
    Check,
    Conflict,
    Put,
    TableService,
    Transaction,
    Unknown,
)

__all__ = ["restart_history"]


def restart_history(
    tables: TableService,
    above_revision: int,
    credentials: Credentials,
    now_s: float,
) -> Result[Accepted, EditError]:
    """Put the platform's settings in force at a revision above that of all nodes.

    Parameters
    ----------
    tables : TableService
    above_revision : int
        Highest revision in force at any node.
    credentials : Credentials
        Must include the fleet key if the fleet has one.
    now_s : float
        Wall clock time.

    Returns
    -------
    Result of Accepted
        After `NotKnown`, `SettingsStore.settle` determines whether the change was
        accepted, as for any edit.
    """
    revision_rows = tables.read(REVISION_TABLE, [REVISION_KEY])
    key_rows = tables.read(FLEET_TABLE, [FLEET_KEY_KEY])
    for rows in (revision_rows, key_rows):
        if rows.is_error():
            return Error(SettingsUnavailable(rows.error.message))
    [fleet_row], [key_row] = revision_rows.ok, key_rows.ok
    try:
        owner = row_value(key_row, FleetKeyRow, FleetKeyRow("")).owner
        fleet = row_value(fleet_row, FleetRow, FleetRow())
    except InputError as error:
        return Error(SettingsUnavailable(str(error)))
    if owner and not key_matches(credentials.fleet_key, owner):
        return Error(NotOwner("the fleet key is needed"))
    operation_id = new_operation_id()
    change = Change(
        max(fleet.revision, above_revision) + 1,
        "",
        operation_id,
        credentials.author,
        int(now_s * 1000),
        {},
        {},
        0,
        fleet.chain,
        next_chain(fleet.chain, operation_id),
        restart=True,
    )
    match tables.transact(_transaction(change, operation_id, fleet_row.version)):
        case Result(tag="ok"):
            return Ok(Accepted(change.revision, operation_id))
        case Result(error=Conflict()):
            return Error(
                SettingsConflict(
                    "an edit was accepted meanwhile: check the settings again"
                )
            )
        case Result(error=Unknown(message)):
            return Error(NotKnown(message, operation_id))
        case Result(error=error):
            return Error(SettingsUnavailable(error.message))


def _transaction(change: Change, operation_id: str, fleet_version: int) -> Transaction:
    """Return a transaction that fails if the fleet's revision has changed."""
    checks = [
        Check(REVISION_TABLE, REVISION_KEY, fleet_version),
        Check(OPERATIONS_TABLE, operation_id, 0),
    ]
    values = {
        (REVISION_TABLE, REVISION_KEY): FleetRow(change.revision, change.chain),
        (OPERATIONS_TABLE, operation_id): OperationRow(change.revision),
        (CHANGES_TABLE, change_key(change.revision)): change,
    }
    puts = [
        Put(table, key, msgspec.to_builtins(value))
        for (table, key), value in values.items()
    ]
    return Transaction(checks, puts)
