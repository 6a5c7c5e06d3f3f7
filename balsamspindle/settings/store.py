"""Edits of the fleet's settings in the platform's tables.

An edit reads its team's row, checks the result, and writes the row, the
change log, the operation and the fleet's revision in one transaction (see
`balsamspindle.settings.rows`). It reads and checks its own subtree and the
services of other teams that it names, never all subtrees.
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
    conflict,
    decided,
    fleet_row,
    new_operation_id,
    transaction,
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

# The fleet's revision is one row that every edit writes. Two teams that edit
# at once must both succeed, so an attempt that lost only that race is made
# again after a short random pause. The pause does not grow with the losses:
# an edit that lost often would wait longest and lose to newcomers.
RACE_PAUSE_S = 0.06
EDIT_FAILURES_MAX = 12
EDIT_TIMEOUT_S = 15.0
SETTLE_ATTEMPTS = 6
PAUSE_FIRST_S = 0.01
PAUSE_MAX_S = 0.5


class SettingsStore:
    """Changes the settings at the platform.

    Parameters
    ----------
    tables : TableService
    wall_clock : callable
        Wall time in seconds, for the change log.
    sleep : callable
        Waits between attempts.
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
        """Return the fleet's revision: one read of one row."""
        return read_fleet(self._tables).map(lambda fleet: fleet.revision)

    def load(self) -> Result[StoredSettings, PlatformError]:
        """Return all settings, as of one revision."""
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

        Needs the fleet key; in a fleet without one, the team's present key.
        """
        edit = Edit(team, {}, new_operation_id(), owner=hash_key(team_key))
        return self.apply(edit, credentials)

    def set_fleet_key(self, fleet_key: str) -> Result[None, EditError]:
        """Set the fleet's key once; from then on it alone creates teams."""
        row = FleetKeyRow(hash_key(fleet_key))
        transaction = Transaction(
            [Check(FLEET_TABLE, FLEET_KEY_KEY, 0)],
            [Put(FLEET_TABLE, FLEET_KEY_KEY, msgspec.to_builtins(row))],
        )
        match self._tables.transact(transaction):
            case Result(tag="ok"):
                return Ok(None)
            case Result(error=Conflict()):
                return Error(NotOwner("the fleet has a key already"))
            case Result(error=Unknown(message)):
                return Error(NotKnown(message))
            case Result(error=error):
                return Error(SettingsUnavailable(error.message))

    def apply(
        self, edit: Edit, credentials: Credentials
    ) -> Result[Accepted, EditError]:
        """Make an edit; safe to call again with the same edit.

        Returns
        -------
        Result of Accepted
            `NotKnown` means that only `settle` can tell; every other error
            means that the edit did not and will not take effect.
        """
        run = EditRun(edit, credentials, edit.expected_version, edit.in_doubt)
        give_up_s = time.monotonic() + EDIT_TIMEOUT_S
        while run.failures < EDIT_FAILURES_MAX and time.monotonic() < give_up_s:
            ended = self._attempt(run)
            if ended is not None:
                return ended
            if run.rows is None:
                run.failures += 1
                self._pause(run.failures)
            else:
                self._sleep(self._random.uniform(0, RACE_PAUSE_S))
        return self._end(run, SettingsUnavailable(run.cause))

    def settle(self, operation_id: str) -> Result[Accepted, Withdrawn | NotKnown]:
        """Decide an edit whose reply was lost: accepted, or never to be."""
        key = operation_id
        # Only to find no operation is no proof: the write may be held up and
        # take effect after this look, and an operator who was told "not
        # accepted" would see the change in force. So absence is written down;
        # the late write checks that the operation is absent and fails.
        tombstone = Transaction(
            [Check(OPERATIONS_TABLE, key, 0)],
            [Put(OPERATIONS_TABLE, key, msgspec.to_builtins(OperationRow()))],
        )
        cause = ""
        for attempt in range(SETTLE_ATTEMPTS):
            self._pause(attempt)
            match self._tables.transact(tombstone):
                case Result(tag="ok"):
                    return Error(Withdrawn("it had not taken effect"))
                case Result(error=Conflict(rows)):
                    return decided(rows[0], operation_id)
                case Result(error=error):
                    cause = error.message
        return Error(NotKnown(cause, operation_id))

    def _refuse(self, run: EditRun) -> EditError | None:
        """Return why these credentials may not make the edit, or None."""
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
            return NotOwner(f"the key does not open the subtree of {team!r}")
        if fleet_owner:
            return NotOwner(f"{team!r} has no owner yet: the fleet key is needed")
        return None

    def _attempt(self, run: EditRun) -> Result[Accepted, EditError] | None:
        """Make one attempt; None asks for another one."""
        if run.rows is None:
            match self._read(run.edit):
                case Result(tag="ok", ok=rows):
                    run.rows = rows
                case Result(error=error):
                    run.cause = error.message
                    return None
        rows = run.rows
        if rows.operation.version:
            return decided(rows.operation, run.edit.operation_id)
        if run.base is None:
            run.base = rows.subtree.version
        # The operation is absent and the subtree moved, so it was another
        # edit that moved it, and no late write of this one can pass its check.
        if rows.subtree.version != run.base:
            return Error(conflict(run.edit.team, rows.subtree))
        if run.documents is None:
            error = self._refuse(run) or self._check(run)
            if isinstance(error, SettingsUnavailable):
                run.rows, run.cause = None, error.message
                return None
            if error is not None:
                return self._end(run, error)
        match self._tables.transact(transaction(run, int(self._wall_clock() * 1000))):
            case Result(tag="ok"):
                return Ok(Accepted(fleet_row(rows).revision + 1, run.edit.operation_id))
            case Result(error=Conflict(current)):
                run.rows, run.cause = EditRows(*current), "other edits came first"
            case Result(error=error):
                # A write without a reply may have taken effect. It is made
                # again with the same operation id: had the first one taken
                # effect, the check on the operation's row fails.
                run.in_doubt = run.in_doubt or isinstance(error, Unknown)
                run.rows, run.cause = None, error.message
        return None

    def _end(self, run: EditRun, error: EditError) -> Result[Accepted, EditError]:
        """End without acceptance; an attempt in doubt is settled first."""
        if not run.in_doubt:
            return Error(error)
        settled = self.settle(run.edit.operation_id)
        match settled:
            case Result(error=Withdrawn()):
                return Error(error)
        return settled

    def _check(self, run: EditRun) -> EditError | None:
        """Check the documents after the edit; once, as their base is fixed."""
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

    def _read(self, edit: Edit) -> Result[EditRows, PlatformError]:
        # The subtree goes first: if this edit's own late write moves it, the
        # operation, read after it, is there as well. The other way round the
        # edit could take its own effect for another's and report a conflict.
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
