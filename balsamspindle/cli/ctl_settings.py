"""``balsamspindle-ctl settings``: read, check and change the settings."""

import difflib
from typing import Any, NoReturn

import msgspec
import typer
from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.inputs import STANDARD_INPUT, read_documents, read_json
from balsamspindle.cli.program import JSON_OPTION, fail, make_app, warn
from balsamspindle.platform import HttpTableService
from balsamspindle.settings.documents import RouteDocument, document_type
from balsamspindle.settings.store import (
    Accepted,
    InvalidSettings,
    NotKnown,
    SettingsConflict,
    SettingsStore,
    SettingsUnavailable,
    StoredSettings,
)
from balsamspindle.settings.validation import Fault, check_documents, note_documents

__all__ = ["app"]

app = make_app("Read, check and change the fleet's settings.")

PLATFORM_OPTION = typer.Option(
    "127.0.0.1:9000",
    "--platform",
    envvar="BALSAMSPINDLE_PLATFORM",
    help="IP:port of the platform.",
)
PATH_ARGUMENT = typer.Argument(..., help="TEAM/services/NAME or TEAM/routes/NAME.")
DOCUMENTS_ARGUMENT = typer.Argument(
    STANDARD_INPUT, help="JSON file, path to document; - reads standard input."
)


@app.command("get")
def get(
    path: str = typer.Argument("", help="A document, or the start of paths."),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Write one document, or all documents below a path, as JSON.

    Example: balsamspindle-ctl settings get crew/services/contracts

    Example: balsamspindle-ctl settings get crew > crew.json
    """
    stored = _load(platform)
    if path in stored.documents:
        typer.echo(_pretty(msgspec.json.decode(stored.documents[path])))
        return
    prefix = f"{path.rstrip('/')}/" if path else ""
    below = {
        name: msgspec.json.decode(document)
        for name, document in sorted(stored.documents.items())
        if name.startswith(prefix)
    }
    if not below and path:
        _fail_not_found(path, stored)
    typer.echo(_pretty(below))


@app.command("set")
def set_document(
    path: str = PATH_ARGUMENT,
    document: str = typer.Argument(
        STANDARD_INPUT, help="JSON file; - reads standard input."
    ),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Write one document.

    Example: balsamspindle-ctl settings set crew/services/contracts contracts.json
    """
    value = read_json(document)
    _report(SettingsStore(HttpTableService(platform)).put(path, value), as_json)
    _tell_notes({path: value})


@app.command("apply")
def apply(
    documents: str = DOCUMENTS_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Write all documents of a file, services first; null removes one.

    Example: balsamspindle-ctl settings apply examples/association/settings.json
    """
    wanted = read_documents(documents)
    store = SettingsStore(HttpTableService(platform))
    for path in sorted(wanted, key=_is_route):
        _report(store.put(path, wanted[path]), as_json)
    _tell_notes(wanted)


def _is_route(path: str) -> bool:
    return document_type(path) is RouteDocument


@app.command("remove")
def remove(
    path: str = PATH_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Remove one document.

    Example: balsamspindle-ctl settings remove crew/routes/old
    """
    stored = _load(platform)
    if path not in stored.documents:
        _fail_not_found(path, stored)
    _report(SettingsStore(HttpTableService(platform)).put(path, None), as_json)


@app.command("validate")
def validate(
    documents: str = DOCUMENTS_ARGUMENT,
    with_stored: bool = typer.Option(
        False, help="Check them together with the settings that are stored."
    ),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """List all faults of a file of documents; change nothing.

    Example: balsamspindle-ctl settings validate examples/association/settings.json
    """
    encoded = _encode(read_documents(documents))
    together = {**_load(platform).documents, **encoded} if with_stored else encoded
    faults = check_documents(together)
    if faults:
        _fail_invalid(faults, as_json)
    typer.echo("[]" if as_json else f"{len(encoded)} documents, no fault")
    for note in note_documents(encoded):
        warn(f"{note.path}: {note.message}")


@app.command("diff")
def diff(documents: str = DOCUMENTS_ARGUMENT, platform: str = PLATFORM_OPTION) -> None:
    """Show how stored documents differ from a file's.

    Documents of teams that the file does not name are left out.

    Example: balsamspindle-ctl settings diff crew.json
    """
    wanted = read_documents(documents)
    stored = _load(platform).documents
    teams = {path.partition("/")[0] for path in wanted}
    paths = {path for path in stored if path.partition("/")[0] in teams}
    for path in sorted(paths | set(wanted)):
        before = _pretty(msgspec.json.decode(stored[path])) if path in stored else ""
        after = _pretty(wanted[path]) if path in wanted else ""
        lines = difflib.unified_diff(
            before.splitlines(), after.splitlines(), path, path, lineterm=""
        )
        for line in lines:
            typer.echo(line)


def _load(platform: str) -> StoredSettings:
    match SettingsStore(HttpTableService(platform)).load():
        case Result(tag="ok", ok=stored):
            return stored
        case Result(error=error):
            message = f"the platform at {platform} gave no settings: {error.message}"
            fail(message, ExitStatus.UNAVAILABLE)


def _encode(documents: dict[str, Any]) -> dict[str, bytes]:
    return {path: msgspec.json.encode(document) for path, document in documents.items()}


def _pretty(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def _tell_notes(documents: dict[str, Any]) -> None:
    kept = {path: value for path, value in documents.items() if value is not None}
    for note in note_documents(_encode(kept)):
        warn(f"{note.path}: {note.message}")


def _report(result: Result, as_json: bool) -> None:
    """Say what became of a change, and end the program if it did not hold."""
    match result:
        case Result(tag="ok", ok=Accepted() as accepted):
            words = f"accepted at revision {accepted.revision}"
            typer.echo(msgspec.json.encode(accepted).decode() if as_json else words)
        case Result(error=InvalidSettings(faults)):
            _fail_invalid(faults, as_json)
        case Result(error=SettingsConflict(message)):
            fail(f"not accepted: {message}", ExitStatus.CONFLICT)
        case Result(error=SettingsUnavailable(message)):
            fail(f"not accepted: {message}", ExitStatus.UNAVAILABLE)
        case Result(error=NotKnown(message, operation_id)):
            message = f"not known: {message}; operation {operation_id}"
            fail(message, ExitStatus.NOT_KNOWN)
        case Result(error=error):
            fail(f"not accepted: {error.message}", ExitStatus.FAILED)


def _fail_invalid(faults: list[Fault], as_json: bool) -> NoReturn:
    if as_json:
        typer.echo(msgspec.json.encode(faults).decode())
    lines = [str(fault) for fault in faults]
    fail("\n".join([*lines, f"{len(faults)} faults"]), ExitStatus.INVALID)


def _fail_not_found(path: str, stored: StoredSettings) -> NoReturn:
    close = difflib.get_close_matches(path, stored.documents, 1)
    hint = f"; did you mean {close[0]!r}?" if close else ""
    fail(f"no document at {path!r}{hint}", ExitStatus.NOT_FOUND)
