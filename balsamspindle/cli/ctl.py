"""``balsamspindle-ctl``: the operators' tool."""

import json
import sys
from pathlib import Path

import typer
from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import VERSION_OPTION, fail, make_app
from balsamspindle.platform import HttpTableService
from balsamspindle.settings.store import (
    InvalidSettings,
    SettingsConflict,
    SettingsStore,
    SettingsUnavailable,
)

app = make_app("Drive the fleet by its settings.")
settings_app = make_app("Read and change the fleet's settings.")
app.add_typer(settings_app, name="settings")

PLATFORM_OPTION = typer.Option(
    "127.0.0.1:9000",
    envvar="BALSAMSPINDLE_PLATFORM",
    help="IP:port of the platform.",
)


@app.callback()
def common(version: bool = VERSION_OPTION) -> None:
    """Take the options that come before a command."""


@settings_app.command("set")
def set_document(
    path: str = typer.Argument(..., help="TEAM/services/NAME or TEAM/routes/NAME."),
    document: str = typer.Argument("-", help="JSON file; - reads standard input."),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Write one document.

    Example: balsamspindle-ctl settings set crew/services/contracts contracts.json
    """
    text = sys.stdin.read() if document == "-" else Path(document).read_text()
    store = SettingsStore(HttpTableService(platform))
    match store.put(path, json.loads(text)):
        case Result(tag="ok", ok=accepted):
            typer.echo(f"accepted at revision {accepted.revision}")
        case Result(error=InvalidSettings(faults)):
            lines = "\n".join(f"{fault.path}: {fault.message}" for fault in faults)
            fail(lines, ExitStatus.FAILED)
        case Result(error=SettingsConflict(message)):
            fail(f"not accepted: {message}", ExitStatus.CONFLICT)
        case Result(error=SettingsUnavailable(message)):
            fail(f"not known: {message}", ExitStatus.UNAVAILABLE)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
