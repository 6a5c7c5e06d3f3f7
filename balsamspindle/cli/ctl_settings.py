"""``balsamspindle-ctl settings``: read, check and change the settings."""

import difflib
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, NoReturn

import msgspec
import typer
from expression import Result

from balsamspindle.cli import ctl_edits, ctl_keys, ctl_recovery
from balsamspindle.cli.edit_results import fail_invalid
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.inputs import read_documents
from balsamspindle.cli.program import JSON_OPTION, fail, make_app, warn
from balsamspindle.cli.settings_options import DOCUMENTS_ARGUMENT, PLATFORM_OPTION
from balsamspindle.cli.tables import format_table
from balsamspindle.platform.store import HttpTableService
from balsamspindle.protocol.decoding import decode_json
from balsamspindle.settings.history import (
    HISTORY_LIMIT,
    DocumentDiff,
    change_diffs,
    diff_documents,
    read_history,
    read_team_history,
)
from balsamspindle.settings.rows import Change
from balsamspindle.settings.store import SettingsStore, StoredSettings
from balsamspindle.settings.subtree import encode_documents
from balsamspindle.settings.validation import check_documents, document_warnings

__all__ = ["app"]

HISTORY_HEADER = ("REVISION", "TIME (UTC)", "AUTHOR", "DOCUMENTS", "OPERATION")

app = make_app("Read, check and change the fleet's settings.")


@app.command("get")
def get(
    path: str = typer.Argument(
        "", help="Path of a document, or a prefix such as TEAM or TEAM/KIND."
    ),
    show_version: bool = typer.Option(
        False,
        help="Print the version of the team's documents on standard error, for use "
        "with --expect-version.",
    ),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Print one document, or all documents below a path, as JSON.

    Example: balsamspindle-ctl settings get crew/services/contracts

    Example: balsamspindle-ctl settings get crew > crew.json
    """
    if show_version:
        # The version must be read before the documents. If the documents change between
        # the two reads, the printed version is outdated, so an edit that expects this
        # version is refused and does not overwrite the change.
        _print_version(path.partition("/")[0], platform)
    stored = _load(platform)
    if path in stored.documents:
        typer.echo(_pretty(decode_json(stored.documents[path])))
        return
    prefix = f"{path.rstrip('/')}/" if path else ""
    below = {
        name: decode_json(document)
        for name, document in sorted(stored.documents.items())
        if name.startswith(prefix)
    }
    if not below and path:
        _fail_not_found(path, stored)
    typer.echo(_pretty(below))


@app.command("validate")
def validate(
    documents: str = DOCUMENTS_ARGUMENT,
    with_stored: bool = typer.Option(
        False, help="Check the documents together with the stored settings."
    ),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Check a file of documents and list all faults, without storing the documents.

    Example: balsamspindle-ctl settings validate examples/association/settings.json
    """
    encoded = encode_documents(read_documents(documents))
    checked = {**_load(platform).documents, **encoded} if with_stored else encoded
    faults = check_documents(checked)
    if faults:
        fail_invalid(faults, as_json)
    typer.echo("[]" if as_json else f"{len(encoded)} documents, no faults")
    for warning in document_warnings(encoded):
        warn(f"{warning.path}: {warning.message}")


@app.command("diff")
def diff(
    documents: str = DOCUMENTS_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Show how the documents in a file differ from the stored ones.

    Lines that begin with - are stored, lines that begin with + are in the file.
    Documents of teams that the file does not name are ignored. A stored document that
    is missing from the file is shown as removed, although `apply` would keep it.

    Example: balsamspindle-ctl settings diff crew.json
    """
    wanted = read_documents(documents)
    teams = {path.partition("/")[0] for path in wanted}
    stored = {
        path: decode_json(document)
        for path, document in _load(platform).documents.items()
        if path.partition("/")[0] in teams
    }
    _show_diffs(diff_documents(stored, wanted), as_json)


@app.command("history")
def history(
    team: str = typer.Argument(
        "", help="Team whose changes are shown; all teams by default."
    ),
    limit: int = typer.Option(HISTORY_LIMIT, min=1, help="Maximum number of changes."),
    show_diffs: bool = typer.Option(False, "--diff", help="Show the changed lines."),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Show who changed which documents, newest first.

    Example: balsamspindle-ctl settings history crew --limit 5 --diff
    """
    tables = HttpTableService(platform)
    found = (
        read_team_history(tables, team, limit) if team else read_history(tables, limit)
    )
    match found:
        case Result(tag="ok", ok=changes):
            _show_changes(changes, show_diffs, as_json)
        case Result(error=error):
            _fail_unavailable(platform, error.message)


for name, command in {
    "set": ctl_edits.set_document,
    "apply": ctl_edits.apply,
    "remove": ctl_edits.remove,
    "settle": ctl_recovery.settle,
    "restart": ctl_recovery.restart,
    "team-key": ctl_keys.team_key,
    "fleet-key": ctl_keys.fleet_key,
}.items():
    app.command(name)(command)


def _print_version(team: str, platform: str) -> None:
    match SettingsStore(HttpTableService(platform)).subtree(team):
        case Result(tag="ok", ok=(_, version)):
            typer.echo(f"version {version} of {team!r}", err=True)
        case Result(error=error):
            _fail_unavailable(platform, error.message)


def _load(platform: str) -> StoredSettings:
    match SettingsStore(HttpTableService(platform)).load():
        case Result(tag="ok", ok=stored):
            return stored
        case Result(error=error):
            _fail_unavailable(platform, error.message)


def _fail_unavailable(platform: str, cause: str) -> NoReturn:
    message = f"cannot read the settings from the platform at {platform}: {cause}"
    fail(message, ExitStatus.UNAVAILABLE)


def _show_changes(changes: list[Change], show_diffs: bool, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(changes).decode())
        return
    if not show_diffs:
        typer.echo(format_table(HISTORY_HEADER, list(map(_history_row, changes))))
        return
    for change in changes:
        typer.echo("  ".join(map(str, _history_row(change))))
        _show_diffs(change_diffs(change), as_json=False)


def _history_row(change: Change) -> tuple[object, ...]:
    time = datetime.fromtimestamp(change.wall_ms / 1000, UTC)
    return (
        change.revision,
        time.strftime("%Y-%m-%d %H:%M:%S"),
        change.author,
        _change_summary(change),
        change.operation_id,
    )


def _change_summary(change: Change) -> str:
    if change.restart:
        return "all settings, reloaded from the platform"
    return ", ".join(change.paths) or f"key of {change.team}"


def _show_diffs(diffs: list[DocumentDiff], as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(diffs).decode())
        return
    for found in diffs:
        for line in _diff_lines(found):
            typer.echo(line)


def _diff_lines(found: DocumentDiff) -> Iterator[str]:
    before, after = (
        "" if value is None else _pretty(value) for value in (found.before, found.after)
    )
    return difflib.unified_diff(
        before.splitlines(), after.splitlines(), found.path, found.path, lineterm=""
    )


def _pretty(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def _fail_not_found(path: str, stored: StoredSettings) -> NoReturn:
    similar = difflib.get_close_matches(path, stored.documents, 1)
    hint = f"; did you mean {similar[0]!r}?" if similar else ""
    fail(f"no document at {path!r}{hint}", ExitStatus.NOT_FOUND)
