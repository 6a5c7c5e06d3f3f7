"""Edits of the fleet's settings in the platform's tables.

An edit reads its team's row, checks the documents as they would be afterwards, and
writes the row, the change log, the operation and the fleet's revision in one
transaction (see `balsamspindle.settings.rows`). It reads only its own subtree and
the other teams' services to which its documents refer, never all subtrees.
"""

import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

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
# time must both succeed, so an attempt that conflicts only in that row is retried
# after a short random pause. The pause does not grow with each conflict: an edit with
# many conflicts would wait longest and keep losing to newer edits.
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
        """Return the fleet's revision; reads a single row."""
        return read_fleet(self._tables).map(lambda fleet: fleet.revision)

    def load(self) -> Result[StoredSettings, PlatformError]:
        """Return all settings as they are at a single revision."""
        return load_settings(self._tables)

    def subtree(self, team: str) -> Result[tuple[SubtreeRow, int], PlatformError]:
        """Return a team's row and its version, for `Edit.expected_version`."""
        return self._tables.read(SUBTREES_TABLE, [team]).map(
            lambda rows: (
                row_value(rows[0], SubtreeRow, SubtreeRow()),
                rows[0].version,
            )
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

        This needs the fleet key, or the team's current key where the team has one.
        In a fleet without a fleet key, a team without a key needs neither.
        """
        edit = Edit(team, {}, new_operation_id(), owner=hash_key(team_key))
        return self.apply(edit, credentials)

    def set_fleet_key(self, fleet_key: str) -> Result[None, EditError]:
        """Set the fleet key, which is possible once; creating teams then needs it."""
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
        """Make an edit; calling it again with the same edit is safe.

        Returns
        -------
        Result of Accepted
            After `NotKnown`, only `settle` can determine the outcome. Every other
            error means that the edit has not taken effect and never will.
        """
        run = EditRun(edit, credentials, edit.expected_version, edit.in_doubt)
        deadline_s = time.monotonic() + EDIT_TIMEOUT_S
        while run.failures < EDIT_FAILURES_MAX and time.monotonic() < deadline_s:
            outcome = self._attempt(run)
            if outcome is not None:
                return outcome
            if run.rows is None:
                run.failures += 1
                self._pause(run.failures)
            else:
                self._sleep(self._random.uniform(0, RACE_PAUSE_S))
        return self._fail(run, SettingsUnavailable(run.cause))

    def settle(self, operation_id: str) -> Result[Accepted, Withdrawn | NotKnown]:
        """Determine the outcome of an edit without a reply, or withdraw it for good."""
        key = operation_id
        # That the operation's row is absent does not prove that the edit failed. Its
        # write may be delayed and take effect after this check, so that a change
        # reported as "not accepted" would be in force. So a tombstone is written in
        # the row; the delayed write checks that the row is absent and fails.
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
                    return operation_outcome(rows[0], operation_id)
                case Result(error=error):
                    cause = error.message
        return Error(NotKnown(cause, operation_id))

    def _check_credentials(self, run: EditRun) -> EditError | None:
        """Return why the credentials do not permit the edit, or None."""
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
        # The operation is absent and the subtree has changed, so another edit changed
        # it, and the version check of any delayed write of this edit will fail.
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
                run.rows, run.cause = EditRows(*current), "other edits came first"
            case Result(error=error):
                # A write without a reply may have taken effect. It is retried with
                # the same operation id: if the first write took effect, the retry
                # fails at the check of the operation's row.
                run.in_doubt = run.in_doubt or isinstance(error, Unknown)
                run.rows, run.cause = None, error.message
        return None

    def _fail(self, run: EditRun, error: EditError) -> Result[Accepted, EditError]:
        """Return the error that ends an edit.

        If an attempt is in doubt, the edit is settled first. Unless it is then
        withdrawn, the result of `settle` is returned instead of the error.
        """
        if not run.in_doubt:
            return Error(error)
        settled = self.settle(run.edit.operation_id)
        match settled:
            case Result(error=Withdrawn()):
                return Error(error)
        return settled

    def _check_documents(self, run: EditRun) -> EditError | None:
        """Check the subtree after the edit, and keep its documents in `run`.

        It is done once for an edit, which always builds on the same base version.
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
        # The subtree is read before the operation: if a delayed write of this edit
        # has changed the subtree, the operation read afterwards exists too. In the
        # reverse order, this edit's own write could be reported as a conflict with
        # another edit.
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
