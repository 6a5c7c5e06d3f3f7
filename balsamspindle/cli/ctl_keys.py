"""``balsamspindle-ctl settings`` commands that set the keys of teams and the fleet."""

import typer
from expression import Result

from balsamspindle.cli.edit_results import fail_edit, open_store, report_edit
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
        ..., envvar="BALSAMSPINDLE_NEW_KEY", help="The new key."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Set or replace the key of a team. A team that does not exist is created.

    Requires the fleet key, or the team's current key if the team has one. Neither is
    required if the fleet and the team have no key.

    Example: BALSAMSPINDLE_NEW_KEY=... balsamspindle-ctl settings team-key crew
    """
    credentials = Credentials(author, team_key, fleet_key)
    report_edit(open_store(platform).set_team_key(team, new_key, credentials), as_json)


def fleet_key(
    new_key: str = typer.Option(
        ..., envvar="BALSAMSPINDLE_NEW_KEY", help="The new key."
    ),
    platform: str = PLATFORM_OPTION,
) -> None:
    """Set the fleet key. This is possible only once.

    Afterwards, the fleet key is required to create teams.

    Example: BALSAMSPINDLE_NEW_KEY=... balsamspindle-ctl settings fleet-key
    """
    match open_store(platform).set_fleet_key(new_key):
        case Result(tag="ok"):
            typer.echo("the fleet key is set")
        case Result(error=error):
            fail_edit(error, False)
