"""``balsamspindle-ctl settings`` commands for the keys of teams and fleet."""

import typer
from expression import Result

from balsamspindle.cli.edit_ends import fail_edit, open_store, report_edit
from balsamspindle.cli.program import JSON_OPTION
from balsamspindle.cli.settings_options import (
    AUTHOR_OPTION,
    FLEET_KEY_OPTION,
    PLATFORM_OPTION,
    TEAM_KEY_OPTION,
)
from balsamspindle.settings.store import Credentials

__all__ = ["fleet_key", "team_key"]


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
    report_edit(open_store(platform).set_team_key(team, new_key, credentials), as_json)


def fleet_key(
    new_key: str = typer.Option(
        ..., envvar="BALSAMSPINDLE_NEW_KEY", help="The key from now on."
    ),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Give the fleet its key, once; from then on it alone creates teams.

    Example: BALSAMSPINDLE_NEW_KEY=... balsamspindle-ctl settings fleet-key
    """
    match open_store(platform).set_fleet_key(new_key):
        case Result(tag="ok"):
            typer.echo("the fleet has its key")
        case Result(error=error):
            fail_edit(error, False)
