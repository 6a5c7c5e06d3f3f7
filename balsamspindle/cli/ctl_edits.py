"""``balsamspindle-ctl settings`` commands that change documents."""

import difflib
from typing import Any

import msgspec
import typer
from expression import Result

from balsamspindle.cli.admin_client import AdminClient
from balsamspindle.cli.edit_results import open_store, report_edit
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
from balsamspindle.settings.store import Accepted, Credentials, Edit, new_operation_id
from balsamspindle.settings.subtree import encode_documents
from balsamspindle.settings.validation import document_warnings

__all__ = ["apply", "remove", "set_document"]

# Nodes send changes to each other, so it is enough to notify a few nodes.
NOTIFIED_NODES_MAX = 3


def set_document(
    path: str = PATH_ARGUMENT,
    document: str = typer.Argument(
        STANDARD_INPUT, help="JSON file with the document; - reads standard input."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    expect_version: int = EXPECT_OPTION,
    nodes: list[str] = NODES_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Create or replace one document.

    Example: balsamspindle-ctl settings set crew/services/contracts contracts.json
    """
    credentials = Credentials(author, team_key, fleet_key)
    value = read_json(document)
    if value is None:
        fail("null is not a document: use `settings remove`", ExitStatus.USAGE)
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
    """Write all documents of a file in one change; null removes a document.

    The file may only contain documents of one team. Documents of the team that the
    file does not name stay unchanged.

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
    _check_exists(platform, path)
    credentials = Credentials(author, team_key, fleet_key)
    _edit(platform, {path: None}, credentials, expect_version, nodes, as_json)


def _edit(
    platform: str,
    documents: dict[str, Any],
    credentials: Credentials,
    expect_version: int | None,
    nodes: list[str] | None,
    as_json: bool,
) -> None:
    """Change documents of one team, print the result and notify nodes.

    Ends the program if the documents belong to several teams or to none.
    """
    teams = sorted({path.partition("/")[0] for path in documents})
    if len(teams) != 1:
        named = f", not {len(teams)} ({', '.join(teams)})" if teams else ""
        message = f"a change must contain documents of exactly one team{named}"
        fail(message, ExitStatus.USAGE)
    edit = Edit(teams[0], documents, new_operation_id(), expect_version)
    accepted = report_edit(open_store(platform).apply(edit, credentials), as_json)
    _notify_nodes(accepted, nodes or [])
    _print_warnings(documents)


def _check_exists(platform: str, path: str) -> None:
    match open_store(platform).subtree(path.partition("/")[0]):
        case Result(tag="ok", ok=(subtree, _)):
            if path in subtree.documents:
                return
            similar = difflib.get_close_matches(path, subtree.documents, 1)
            hint = f"; did you mean {similar[0]!r}?" if similar else ""
            fail(f"no document at {path!r}{hint}", ExitStatus.NOT_FOUND)
        case Result(error=error):
            fail(f"not accepted: {error.message}", ExitStatus.UNAVAILABLE)


def _notify_nodes(accepted: Accepted, nodes: list[str]) -> None:
    """Notify up to `NOTIFIED_NODES_MAX` nodes, which then read the change at once.

    The other nodes receive the change later. A failed notification is ignored because
    it only delays the change.
    """
    body = msgspec.json.encode(accepted)
    for address in nodes[:NOTIFIED_NODES_MAX]:
        AdminClient(address).post("/settings/accepted", body)


def _print_warnings(documents: dict[str, Any]) -> None:
    written = {path: value for path, value in documents.items() if value is not None}
    for warning in document_warnings(encode_documents(written)):
        warn(f"{warning.path}: {warning.message}")
