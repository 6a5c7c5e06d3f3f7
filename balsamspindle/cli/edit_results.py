"""Reports the result of a settings change as a message and an exit status."""

from typing import NoReturn

import msgspec
import typer
from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import fail
from balsamspindle.platform.store import HttpTableService
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
from balsamspindle.settings.store import SettingsStore
from balsamspindle.settings.validation import Fault

__all__ = ["fail_edit", "fail_invalid", "open_store", "report_edit"]

_EXIT_STATUSES = {
    NotOwner: ExitStatus.NOT_OWNER,
    SettingsConflict: ExitStatus.CONFLICT,
    Withdrawn: ExitStatus.FAILED,
}


def open_store(platform: str) -> SettingsStore:
    """Return the settings store of the platform at an address."""
    return SettingsStore(HttpTableService(platform))


def report_edit(result: Result, as_json: bool) -> Accepted:
    """Print the result of a change and return it; exit if it was not accepted."""
    match result:
        case Result(tag="ok", ok=accepted):
            message = f"accepted at revision {accepted.revision}"
            typer.echo(msgspec.json.encode(accepted).decode() if as_json else message)
            return accepted
        case Result(error=error):
            fail_edit(error, as_json)


def fail_edit(error: EditError, as_json: bool) -> NoReturn:
    """Print why a change was not accepted, or that its result is unknown; exit."""
    match error:
        case InvalidSettings(faults):
            fail_invalid(faults, as_json)
        case NotKnown(message, operation_id):
            command = (
                f"balsamspindle-ctl settings settle {operation_id}"
                if operation_id
                else "balsamspindle-ctl settings fleet-key"
            )
            message = f"result not known ({message}): settle it with `{command}`"
            fail(message, ExitStatus.NOT_KNOWN)
        case SettingsUnavailable(message):
            message = f"not accepted: {message}; try again when the platform answers"
            fail(message, ExitStatus.UNAVAILABLE)
        case _:
            fail(f"not accepted: {error.message}", _EXIT_STATUSES[type(error)])


def fail_invalid(faults: list[Fault], as_json: bool) -> NoReturn:
    """Print all faults and exit."""
    if as_json:
        typer.echo(msgspec.json.encode(faults).decode())
    lines = [str(fault) for fault in faults]
    fail("\n".join([*lines, f"{len(faults)} faults"]), ExitStatus.INVALID)
