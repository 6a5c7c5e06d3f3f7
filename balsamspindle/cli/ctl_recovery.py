"""``balsamspindle-ctl settings`` commands after a fault of the platform."""

import time

import typer

from balsamspindle.cli.edit_ends import open_store, report_edit
from balsamspindle.cli.program import JSON_OPTION
from balsamspindle.cli.settings_options import (
    AUTHOR_OPTION,
    FLEET_KEY_OPTION,
    PLATFORM_OPTION,
)
from balsamspindle.platform import HttpTableService
from balsamspindle.settings.recovery import restart_history
from balsamspindle.settings.store import Credentials

__all__ = ["restart", "settle"]


def settle(
    operation: str = typer.Argument(..., help="Operation id of the change."),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Decide a change whose reply was lost: accepted, or never to be.

    Example: balsamspindle-ctl settings settle 5f0c7a
    """
    report_edit(open_store(platform).settle(operation), as_json)


def restart(
    above: int = typer.Option(
        ..., min=0, help="Highest revision that any node has in force (see status)."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Put what the platform holds in force, after it lost accepted changes.

    Only for a platform that was restored from a backup: the changes that the
    backup lacks leave force.

    Example: balsamspindle-ctl settings restart --above 4711
    """
    credentials = Credentials(author, fleet_key=fleet_key)
    tables = HttpTableService(platform)
    ended = restart_history(tables, above, credentials, time.time())
    report_edit(ended, as_json)
