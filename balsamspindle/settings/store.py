"""Edits of the fleet's settings in the platform's tables.

The subtree of a team consists of the team's documents. An edit reads the row with its
team's subtree, checks the documents as they would be after the edit, and writes the
row, the change log, the outcome of the edit and the fleet's revision in one
transaction (see `balsamspindle.settings.rows`). An edit never reads all subtrees, only
its team's and those of teams whose services its documents name.
"""

import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import InputError
from balsamspindle.settings.editing import (
    Edit,
    EditRows,
    EditRun,
    build_transaction,
    conflict_error,
    fleet_row,
    new_operation_id,
    operation_outcome,
)
from balsamspindle.settings.history import read_fleet
from balsamspindle.settings.loading import StoredSettings, load_settings
from balsamspindle.settings.ownership import Credentials, hash_key, key_matches
from balsamspindle.settings.results import (
    Accepted,
    EditError,
    InvalidSettings,
    NotKnown,
    NotOwner,
    SettingsConflict,
    SettingsUnavailable,
    Withdrawn,
)
from balsamspindle.settings.rows import (
    FLEET_KEY_KEY,
    FLEET_TABLE,
    OPERATIONS_TABLE,
    REVISION_KEY,
    REVISION_TABLE,
    SUBTREES_TABLE,
    FleetKeyRow,
    OperationRow,
    SubtreeRow,
    map_rows,
    row_value,
)
from balsamspindle.settings.subtree import changed_documents, new_faults
from balsamspindle.tables import (
    Check,
    Conflict,
    PlatformError,
    Put,
    TableService,
    Transaction,
    Unknown,
)

__all__ = [
    "Accepted",
    "Credentials",
    "Edit",
    "InvalidSettings",
    "NotKnown",
    "NotOwner",
    "SettingsConflict",
    "SettingsStore",
    "SettingsUnavailable",
    "StoredSettings",
    "Withdrawn",
    "new_operation_id",
]

# Every edit writes the row of the fleet's revision. Two teams that edit at the same
# time must both succeed, so an attempt that conflicts only in this row is retried after
# a random pause of at most this length. The pause does not grow with each conflict:
# otherwise an edit with many conflicts would wait longest and keep losing to newer
# edits.
RACE_PAUSE_S = 0.06
EDIT_FAILURES_MAX = 12
EDIT_TIMEOUT_S = 15.0
SETTLE_ATTEMPTS = 6
PAUSE_FIRST_S = 0.01
PAUSE_MAX_S = 0.5


class SettingsStore:
    """Reads and edits the fleet's settings at the platform.

    Parameters
    ----------
    tables : TableService
    wall_clock : callable
        Returns wall time in seconds, for the change log.
    sleep : callable
        Called to wait between attempts, with the time in seconds.
    """

    def __init__(
        self,
        tables: TableService,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._tables = tables
        self._wall_clock = wall_clock
        self._sleep = sleep
        self._random = random.Random()

    def revision(self) -> Result[int, PlatformError]:
        """Return the fleet's newest accepted revision; reads a single row."""
        return read_fleet(self._tables).map(lambda fleet: fleet.revision)

    def load(self) -> Result[StoredSettings, PlatformError]:
        """Return all settings, all of them at the same revision."""
        return load_settings(self._tables)

    def subtree(self, team: str) -> Result[tuple[SubtreeRow, int], PlatformError]:
        """Return a team's row, and its version to use as `Edit.expected_version`."""
        return map_rows(
            self._tables.read(SUBTREES_TABLE, [team]),
            lambda rows: (
                row_value(rows[0], SubtreeRow, SubtreeRow()),
                rows[0].version,
            ),
        )

    def put(
        self,
        path: str,
        document: Any,
        credentials: Credentials = Credentials(),  # noqa: B008
        expected_version: int | None = None,
        operation_id: str | None = None,
    ) -> Result[Accepted, EditError]:
        """Write one document; a document of None removes it."""
        edit = Edit(
            path.partition("/")[0],
            {path: document},
            operation_id or new_operation_id(),
            expected_version,
            in_doubt=operation_id is not None,
        )
        return self.apply(edit, credentials)

    def set_team_key(
        self, team: str, team_key: str, credentials: Credentials
    ) -> Result[Accepted, EditError]:
        """Create a team with a key, or replace its key.

        The credentials must include the fleet key, or the team's current key if the
        team has one. Neither key is needed if the fleet and the team have none.
        """
        edit = Edit(team, {}, new_operation_id(), owner=hash_key(team_key))
        return self.apply(edit, credentials)

    def set_fleet_key(self, fleet_key: str) -> Result[None, EditError]:
        """Set the fleet key, which is then required to create teams.

        The key can be set only once.
        """
        row = FleetKeyRow(hash_key(fleet_key))
        transaction = Transaction(
            [Check(FLEET_TABLE, FLEET_KEY_KEY, 0)],
            [Put(FLEET_TABLE, FLEET_KEY_KEY, msgspec.to_builtins(row))],
        )
        match self._tables.transact(transaction):
            case Result(tag="ok"):
                return Ok(None)
            case Result(error=Conflict()):
                return Error(NotOwner("the fleet already has a key"))
            case Result(error=Unknown(message)):
                return Error(NotKnown(message))
            case Result(error=error):
                return Error(SettingsUnavailable(error.message))

    def apply(
        self, edit: Edit, credentials: Credentials
    ) -> Result[Accepted, EditError]:
        """Make an edit; repeated calls with the same edit apply it at most once.

        Returns
        -------
        Result of Accepted
            After `NotKnown`, only `settle` can determine the outcome. Every other
            error means that the edit has not taken effect and never will.
        """
        run = EditRun(edit, credentials, edit.expected_version, edit.in_doubt)
        deadline_s = time.monotonic() + EDIT_TIMEOUT_S
        while run.failures < EDIT_FAILURES_MAX and time.monotonic() < deadline_s:
            try:
                outcome = self._attempt(run)
            except InputError as error:
                # A row that another program wrote is not repaired by another attempt.
                run.cause = str(error)
                break
            if outcome is not None:
                return outcome
            if run.rows is None:
                run.failures += 1
                self._pause(run.failures)
            else:
                self._sleep(self._random.uniform(0, RACE_PAUSE_S))
        return self._fail(run, SettingsUnavailable(run.cause))

    def settle(self, operation_id: str) -> Result[Accepted, Withdrawn | NotKnown]:
        """Return the outcome of an edit whose write got no reply.

        If the edit has not taken effect, it is withdrawn and can't take effect later.
        """
        key = operation_id
        # An absent row of the operation does not prove that the edit failed: the edit's
        # write may be delayed and take effect after the row was read, and a change
        # reported as "not accepted" would be in force. So a tombstone is written in the
        # operation's row. A delayed write checks that there is no such row, and fails.
        tombstone = Transaction(
            [Check(OPERATIONS_TABLE, key, 0)],
            [Put(OPERATIONS_TABLE, key, msgspec.to_builtins(OperationRow()))],
        )
        cause = ""
        for attempt in range(SETTLE_ATTEMPTS):
            self._pause(attempt)
            match self._tables.transact(tombstone):
                case Result(tag="ok"):
                    return Error(Withdrawn("the edit had not taken effect"))
                case Result(error=Conflict(rows)):
                    try:
                        return operation_outcome(rows[0], operation_id)
                    except InputError as error:
                        return Error(NotKnown(str(error), operation_id))
                case Result(error=error):
                    cause = error.message
        return Error(NotKnown(cause, operation_id))

    def _check_credentials(self, run: EditRun) -> EditError | None:
        """Return an error if the credentials don't permit the edit, None if they do.

        If the fleet key's hash can't be read, the error is `SettingsUnavailable`.
        """
        team, credentials = run.edit.team, run.credentials
        match self._tables.read(FLEET_TABLE, [FLEET_KEY_KEY]):
            case Result(tag="ok", ok=[row]):
                fleet_owner = row_value(row, FleetKeyRow, FleetKeyRow("")).owner
            case Result(error=error):
                return SettingsUnavailable(error.message)
        if key_matches(credentials.fleet_key, fleet_owner):
            return None
        owner = row_value(run.rows.subtree, SubtreeRow, SubtreeRow()).owner
        if owner is not None:
            if key_matches(credentials.team_key, owner):
                return None
            return NotOwner(f"the key does not permit edits of the subtree of {team!r}")
        if fleet_owner:
            return NotOwner(f"{team!r} has no owner yet: the fleet key is needed")
        return None

    def _attempt(self, run: EditRun) -> Result[Accepted, EditError] | None:
        """Make one attempt; return None if another attempt is needed."""
        if run.rows is None:
            match self._read_rows(run.edit):
                case Result(tag="ok", ok=rows):
                    run.rows = rows
                case Result(error=error):
                    run.cause = error.message
                    return None
        rows = run.rows
        if rows.operation.version:
            return operation_outcome(rows.operation, run.edit.operation_id)
        if run.base_version is None:
            run.base_version = rows.subtree.version
        # The operation has no row, so this edit has not taken effect. If the subtree
        # has changed, another edit changed it, and any delayed write of this edit will
        # fail at its check of the subtree's version.
        if rows.subtree.version != run.base_version:
            return Error(conflict_error(run.edit.team, rows.subtree))
        if run.documents is None:
            error = self._check_credentials(run) or self._check_documents(run)
            if isinstance(error, SettingsUnavailable):
                run.rows, run.cause = None, error.message
                return None
            if error is not None:
                return self._fail(run, error)
        match self._tables.transact(
            build_transaction(run, int(self._wall_clock() * 1000))
        ):
            case Result(tag="ok"):
                return Ok(Accepted(fleet_row(rows).revision + 1, run.edit.operation_id))
            case Result(error=Conflict(current)):
                run.rows, run.cause = (
                    EditRows(*current),
                    "other edits changed the settings first",
                )
            case Result(error=error):
                # A write that got no reply may have taken effect. The retry has the
                # same operation id, so if the first write took effect, the retry fails
                # at the check that the operation has no row.
                run.in_doubt = run.in_doubt or isinstance(error, Unknown)
                run.rows, run.cause = None, error.message
        return None

    def _fail(self, run: EditRun, error: EditError) -> Result[Accepted, EditError]:
        """Return the error that ends an edit.

        If an attempt may have taken effect, `settle` determines the outcome first. The
        error is returned only if `settle` withdrew the edit; otherwise the result of
        `settle` is returned.
        """
        if not run.in_doubt:
            return Error(error)
        settled = self.settle(run.edit.operation_id)
        match settled:
            case Result(error=Withdrawn()):
                return Error(error)
        return settled

    def _check_documents(self, run: EditRun) -> EditError | None:
        """Check the team's documents after the edit, and store them in `run`.

        One check per edit is enough, since all attempts start from the same version
        of the documents.
        """
        before = row_value(run.rows.subtree, SubtreeRow, SubtreeRow()).documents
        documents = changed_documents(before, run.edit.documents)
        match new_faults(self._tables, run.edit.team, before, documents):
            case Result(tag="ok", ok=[]):
                run.documents = documents
                return None
            case Result(tag="ok", ok=faults):
                return InvalidSettings(faults)
            case Result(error=error):
                return SettingsUnavailable(error.message)

    def _read_rows(self, edit: Edit) -> Result[EditRows, PlatformError]:
        # The subtree's row is read before the operation's row. If a delayed write of
        # this edit changed the subtree before it was read, the operation's row exists
        # when it is read afterwards. In the reverse order, the edit's own write could
        # be reported as a conflict with another edit.
        subtree = self._tables.read(SUBTREES_TABLE, [edit.team])
        operation = self._tables.read(OPERATIONS_TABLE, [edit.operation_id])
        fleet = self._tables.read(REVISION_TABLE, [REVISION_KEY])
        for result in (subtree, operation, fleet):
            if result.is_error():
                return result
        return Ok(EditRows(subtree.ok[0], operation.ok[0], fleet.ok[0]))

    def _pause(self, attempt: int) -> None:
        if attempt:
            limit_s = min(PAUSE_MAX_S, PAUSE_FIRST_S * 2**attempt)
            self._sleep(self._random.uniform(0, limit_s))
