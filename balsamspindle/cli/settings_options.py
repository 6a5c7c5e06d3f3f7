"""Options that the settings commands share."""

import typer

from balsamspindle.cli.inputs import STANDARD_INPUT

__all__ = [
    "AUTHOR_OPTION",
    "DOCUMENTS_ARGUMENT",
    "EXPECT_OPTION",
    "FLEET_KEY_OPTION",
    "PATH_ARGUMENT",
    "PLATFORM_OPTION",
    "TEAM_KEY_OPTION",
]

PLATFORM_OPTION = typer.Option(
    "127.0.0.1:9000",
    "--platform",
    envvar="BALSAMSPINDLE_PLATFORM",
    help="IP:port of the platform.",
)
AUTHOR_OPTION = typer.Option(
    "unnamed",
    "--author",
    envvar="BALSAMSPINDLE_AUTHOR",
    help="Author of the change, shown in the history.",
)
TEAM_KEY_OPTION = typer.Option(
    None,
    "--team-key",
    envvar="BALSAMSPINDLE_TEAM_KEY",
    show_envvar=True,
    help="Key of the team whose documents change.",
)
FLEET_KEY_OPTION = typer.Option(
    None,
    "--fleet-key",
    envvar="BALSAMSPINDLE_FLEET_KEY",
    help="Key of the fleet; gives access to the documents of all teams.",
)
EXPECT_OPTION = typer.Option(
    None,
    "--expect-version",
    help="Refuse the change unless the team's documents have this version (see "
    "`get --show-version`).",
)
PATH_ARGUMENT = typer.Argument(
    ..., help="Path of the document, TEAM/KIND/NAME, such as crew/routes/read."
)
DOCUMENTS_ARGUMENT = typer.Argument(
    STANDARD_INPUT,
    help="JSON file that maps paths to documents; - reads standard input.",
)
