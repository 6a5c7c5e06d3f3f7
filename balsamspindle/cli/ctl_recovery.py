"""``balsamspindle-ctl settings`` commands for use after a platform failure."""

import time

import typer

from balsamspindle.cli.edit_results import open_store, report_edit
from balsamspindle.cli.program import JSON_OPTION
from balsamspindle.cli.settings_options import (
    AUTHOR_OPTION,
    FLEET_KEY_OPTION,
    PLATFORM_OPTION,
)
from balsamspindle.platform.store import HttpTableService
from balsamspindle.settings.recovery import restart_history
from balsamspindle.settings.store import Credentials

__all__ = ["restart", "settle"]


def settle(
    operation: str = typer.Argument(
        ..., help="Operation id of the change, from its error message."
    ),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Settle a change whose result is not known.

    If the change was accepted, this is reported. Otherwise, the change is withdrawn
    and can no longer be accepted.

    Example: balsamspindle-ctl settings settle 5f0c7a
    """
    report_edit(open_store(platform).settle(operation), as_json)


def restart(
    above: int = typer.Option(
        ...,
        min=0,
        help="Highest settings revision in force at any node (see `status`).",
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Make all nodes reload the settings of a platform that lost accepted changes.

    Use this command only after the platform was restored from a backup. Accepted
    changes that are missing from the backup are undone at all nodes.

    Example: balsamspindle-ctl settings restart --above 4711
    """
    credentials = Credentials(author, fleet_key=fleet_key)
    tables = HttpTableService(platform)
    result = restart_history(tables, above, credentials, time.time())
    report_edit(result, as_json)
