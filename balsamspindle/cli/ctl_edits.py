"""``balsamspindle-ctl settings`` commands that change something."""

import difflib
from typing import Any, NoReturn

import msgspec
import typer
from expression import Result

from balsamspindle.cli.admin_client import AdminClient
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.inputs import STANDARD_INPUT, read_documents, read_json
from balsamspindle.cli.program import JSON_OPTION, NODES_OPTION, fail, warn
from balsamspindle.cli.settings_options import (
    AUTHOR_OPTION,
    DOCUMENTS_ARGUMENT,
    EXPECT_OPTION,
    FLEET_KEY_OPTION,
    PATH_ARGUMENT,
    PLATFORM_OPTION,
    TEAM_KEY_OPTION,
)
from balsamspindle.platform import HttpTableService
from balsamspindle.settings.store import (
    Accepted,
    Credentials,
    Edit,
    InvalidSettings,
    NotKnown,
    NotOwner,
    SettingsConflict,
    SettingsStore,
    SettingsUnavailable,
    Withdrawn,
    new_operation_id,
)
from balsamspindle.settings.subtree import encode_documents
from balsamspindle.settings.validation import Fault, note_documents

__all__ = [
    "apply",
    "fail_invalid",
    "fleet_key",
    "remove",
    "set_document",
    "settle",
    "team_key",
]

# Nodes tell each other; a few that read at once bring a change to all sooner.
NOTIFIED_NODES_MAX = 3


def set_document(
    path: str = PATH_ARGUMENT,
    document: str = typer.Argument(
        STANDARD_INPUT, help="JSON file; - reads standard input."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    expect_version: int = EXPECT_OPTION,
    nodes: list[str] = NODES_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Write one document.

    Example: balsamspindle-ctl settings set crew/services/contracts contracts.json
    """
    credentials = Credentials(author, team_key, fleet_key)
    value = read_json(document)
    if value is None:
        fail("null is no document: use `settings remove`", ExitStatus.USAGE)
    _edit(platform, {path: value}, credentials, expect_version, nodes, as_json)


def apply(
    documents: str = DOCUMENTS_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    expect_version: int = EXPECT_OPTION,
    nodes: list[str] = NODES_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Write all documents of a file in one change; null removes one.

    Documents that the file does not name stay as they are.

    Example: balsamspindle-ctl settings apply examples/association/settings.json
    """
    credentials = Credentials(author, team_key, fleet_key)
    wanted = read_documents(documents)
    _edit(platform, wanted, credentials, expect_version, nodes, as_json)


def remove(
    path: str = PATH_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    expect_version: int = EXPECT_OPTION,
    nodes: list[str] = NODES_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Remove one document.

    Example: balsamspindle-ctl settings remove crew/routes/old
    """
    _check_is_there(platform, path)
    credentials = Credentials(author, team_key, fleet_key)
    _edit(platform, {path: None}, credentials, expect_version, nodes, as_json)


def settle(
    operation: str = typer.Argument(..., help="Operation id of the change."),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Decide a change whose reply was lost: accepted, or never to be.

    Example: balsamspindle-ctl settings settle 5f0c7a
    """
    _report(_store(platform).settle(operation), as_json)


def team_key(
    team: str = typer.Argument(..., help="Team whose key is set."),
    new_key: str = typer.Option(
        ..., envvar="BALSAMSPINDLE_NEW_KEY", help="The key from now on."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Give a team a key, or replace its key.

    Needs the fleet's key; in a fleet without one, the team's present key.

    Example: BALSAMSPINDLE_NEW_KEY=... balsamspindle-ctl settings team-key crew
    """
    credentials = Credentials(author, team_key, fleet_key)
    _report(_store(platform).set_team_key(team, new_key, credentials), as_json)


def fleet_key(
    new_key: str = typer.Option(
        ..., envvar="BALSAMSPINDLE_NEW_KEY", help="The key from now on."
    ),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Give the fleet its key, once; from then on it alone creates teams.

    Example: BALSAMSPINDLE_NEW_KEY=... balsamspindle-ctl settings fleet-key
    """
    match _store(platform).set_fleet_key(new_key):
        case Result(tag="ok"):
            typer.echo("the fleet has its key")
        case Result(error=error):
            _fail_edit(error, False)


def _store(platform: str) -> SettingsStore:
    return SettingsStore(HttpTableService(platform))


def _edit(
    platform: str,
    documents: dict[str, Any],
    credentials: Credentials,
    expect_version: int | None,
    nodes: list[str] | None,
    as_json: bool,
) -> None:
    """Make one change of one team's documents and say what became of it."""
    teams = sorted({path.partition("/")[0] for path in documents})
    if len(teams) != 1:
        named = f", not {len(teams)} ({', '.join(teams)})" if teams else ""
        message = f"a change holds documents of one team{named}"
        fail(message, ExitStatus.USAGE)
    edit = Edit(teams[0], documents, new_operation_id(), expect_version)
    accepted = _report(_store(platform).apply(edit, credentials), as_json)
    _tell_nodes(accepted, nodes or [])
    _tell_notes(documents)


def _check_is_there(platform: str, path: str) -> None:
    match _store(platform).subtree(path.partition("/")[0]):
        case Result(tag="ok", ok=(subtree, _)):
            if path in subtree.documents:
                return
            close = difflib.get_close_matches(path, subtree.documents, 1)
            hint = f"; did you mean {close[0]!r}?" if close else ""
            fail(f"no document at {path!r}{hint}", ExitStatus.NOT_FOUND)
        case Result(error=error):
            fail(f"not accepted: {error.message}", ExitStatus.UNAVAILABLE)


def _tell_nodes(accepted: Accepted, nodes: list[str]) -> None:
    """Let some nodes read at once; one that can't be told reads a bit later."""
    body = msgspec.json.encode(accepted)
    for address in nodes[:NOTIFIED_NODES_MAX]:
        AdminClient(address).post("/settings/accepted", body)


def _tell_notes(documents: dict[str, Any]) -> None:
    kept = {path: value for path, value in documents.items() if value is not None}
    for note in note_documents(encode_documents(kept)):
        warn(f"{note.path}: {note.message}")


def _report(result: Result, as_json: bool) -> Accepted:
    """Say what became of a change, and end the program if it did not hold."""
    match result:
        case Result(tag="ok", ok=accepted):
            words = f"accepted at revision {accepted.revision}"
            typer.echo(msgspec.json.encode(accepted).decode() if as_json else words)
            return accepted
        case Result(error=error):
            _fail_edit(error, as_json)


def _fail_edit(error: Any, as_json: bool) -> NoReturn:
    match error:
        case InvalidSettings(faults):
            fail_invalid(faults, as_json)
        case NotKnown(message, operation_id):
            command = (
                f"balsamspindle-ctl settings settle {operation_id}"
                if operation_id
                else "balsamspindle-ctl settings fleet-key"
            )
            message = f"not known ({message}): decide it with `{command}`"
            fail(message, ExitStatus.NOT_KNOWN)
        case _:
            fail(f"not accepted: {error.message}", _STATUSES[type(error)])


_STATUSES = {
    NotOwner: ExitStatus.NOT_OWNER,
    SettingsConflict: ExitStatus.CONFLICT,
    SettingsUnavailable: ExitStatus.UNAVAILABLE,
    Withdrawn: ExitStatus.FAILED,
}


def fail_invalid(faults: list[Fault], as_json: bool) -> NoReturn:
    """List all faults and end the program."""
    if as_json:
        typer.echo(msgspec.json.encode(faults).decode())
    lines = [str(fault) for fault in faults]
    fail("\n".join([*lines, f"{len(faults)} faults"]), ExitStatus.INVALID)
