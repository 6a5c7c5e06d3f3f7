"""``balsamspindle-ctl customers``: customers, their limits and their keys."""

import re
from collections.abc import Callable
from typing import Any, NoReturn

import msgspec
import typer
from expression import Result

from balsamspindle.cli.edit_results import open_store, report_edit
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import JSON_OPTION, fail, make_app
from balsamspindle.cli.settings_options import (
    AUTHOR_OPTION,
    FLEET_KEY_OPTION,
    PLATFORM_OPTION,
    TEAM_KEY_OPTION,
)
from balsamspindle.cli.tables import format_table
from balsamspindle.protocol.api_keys import key_digest, new_key
from balsamspindle.settings.store import Credentials, Edit, new_operation_id

__all__ = ["app"]

LIST_HEADER = ("CUSTOMER", "TOLD AS", "RATE/S", "BURST", "WEIGHT", "KEYS")
# A list of customers shows this many characters of the digest of each key. They suffice
# to distinguish the few keys of one customer.
DIGEST_PREFIX_CHARACTERS = 8

CUSTOMER_ARGUMENT = typer.Argument(..., help="TEAM/NAME of the customer.")
RATE_OPTION = typer.Option(
    None, "--rate", help="Maximum requests per second over all nodes; 0 for no limit."
)
BURST_OPTION = typer.Option(
    None,
    "--burst",
    help="Number of requests by which the rate may be exceeded at once.",
)
WEIGHT_OPTION = typer.Option(
    None,
    "--weight",
    help="Weight of the customer's requests; replaces the route's weight.",
)

_match_customer = re.compile(r"([^/]+)/([^/]+)").fullmatch

app = make_app("Show and change customers, their limits and their keys.")


@app.command("list")
def list_customers(
    team: str = typer.Argument(..., help="Team whose customers are listed."),
    platform: str = PLATFORM_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """List a team's customers, with the start of the digest of each key.

    Example: balsamspindle-ctl customers list crew
    """
    documents, _ = _read_team(team, platform)
    prefix = f"{team}/customers/"
    customers = {
        f"{team}/{path.removeprefix(prefix)}": document
        for path, document in sorted(documents.items())
        if path.startswith(prefix)
    }
    if as_json:
        typer.echo(msgspec.json.encode(customers).decode())
        return
    rows = [_list_row(name, document) for name, document in customers.items()]
    typer.echo(format_table(LIST_HEADER, rows))


@app.command("add")
def add(
    customer: str = CUSTOMER_ARGUMENT,
    told_as: str = typer.Option(
        None,
        "--told-as",
        help="Customer name sent to backend servers; NAME by default.",
    ),
    rate_per_s: float = RATE_OPTION,
    burst: float = BURST_OPTION,
    weight: float = WEIGHT_OPTION,
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Add a customer. The customer has no key until `give-key` creates one.

    Example: balsamspindle-ctl customers add crew/anna --rate 20 --burst 20
    """
    team, name = _split_customer(customer)
    path = f"{team}/customers/{name}"
    documents, version = _read_team(team, platform)
    if path in documents:
        fail(f"{customer} already exists", ExitStatus.CONFLICT)
    document = {"name": told_as or name, **_limit_fields(rate_per_s, burst, weight)}
    credentials = Credentials(author, team_key, fleet_key)
    _write(path, document, version, credentials, platform, as_json)


@app.command("limit")
def limit(
    customer: str = CUSTOMER_ARGUMENT,
    rate_per_s: float = RATE_OPTION,
    burst: float = BURST_OPTION,
    weight: float = WEIGHT_OPTION,
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Change a customer's rate, burst or weight; omitted options change nothing.

    Example: balsamspindle-ctl customers limit crew/anna --rate 5 --burst 5
    """
    changes = _limit_fields(rate_per_s, burst, weight)
    if not changes:
        fail("give --rate, --burst or --weight", ExitStatus.USAGE)
    credentials = Credentials(author, team_key, fleet_key)
    _change(
        customer,
        lambda document: {**document, **changes},
        credentials,
        platform,
        as_json,
    )


@app.command("give-key")
def give_key(
    customer: str = CUSTOMER_ARGUMENT,
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Create a key for a customer and print it.

    Only a digest of the key is stored, so the key cannot be shown again.

    The customer's other keys stay valid, so the customer can replace an old key
    without an interruption.

    Example: balsamspindle-ctl customers give-key crew/anna
    """
    key = new_key()
    digest = key_digest(key)
    credentials = Credentials(author, team_key, fleet_key)
    _change(
        customer,
        lambda document: {
            **document,
            "key_digests": [*_digests(document), digest],
        },
        credentials,
        platform,
        as_json,
    )
    typer.echo(key)


@app.command("take-key")
def take_key(
    customer: str = CUSTOMER_ARGUMENT,
    digest: str = typer.Argument(
        ..., help="Start of the key's digest, as shown by `list`."
    ),
    platform: str = PLATFORM_OPTION,
    author: str = AUTHOR_OPTION,
    team_key: str = TEAM_KEY_OPTION,
    fleet_key: str = FLEET_KEY_OPTION,
    as_json: bool = JSON_OPTION,
) -> None:
    """Remove a key from a customer. Exactly one of its keys must match the argument.

    Example: balsamspindle-ctl customers take-key crew/anna 3f9a01bc
    """

    def remove_key(document: dict[str, Any]) -> dict[str, Any]:
        digests = _digests(document)
        matching = [stored for stored in digests if stored.startswith(digest)]
        if len(matching) != 1:
            message = (
                f"{len(matching)} keys of {customer} have a digest that begins with "
                f"{digest!r}: expected one"
            )
            fail(message, ExitStatus.NOT_FOUND)
        return {
            **document,
            "key_digests": [
                remaining for remaining in digests if remaining != matching[0]
            ],
        }

    credentials = Credentials(author, team_key, fleet_key)
    _change(customer, remove_key, credentials, platform, as_json)


def _limit_fields(
    rate_per_s: float | None, burst: float | None, weight: float | None
) -> dict[str, float]:
    given = {"rate_per_s": rate_per_s, "burst": burst, "weight": weight}
    return {name: value for name, value in given.items() if value is not None}


def _digests(document: dict[str, Any]) -> list[str]:
    return list(document.get("key_digests", ()))


def _split_customer(customer: str) -> tuple[str, str]:
    match = _match_customer(customer)
    if match is None:
        fail(f"{customer!r} is not a customer: expected TEAM/NAME", ExitStatus.USAGE)
    return match[1], match[2]


def _change(
    customer: str,
    change: Callable[[dict[str, Any]], dict[str, Any]],
    credentials: Credentials,
    platform: str,
    as_json: bool,
) -> None:
    """Apply `change` to a customer's document and store the result.

    Ends the program if there is no such customer, or if the team's documents were
    changed by somebody else after they were read.
    """
    team, name = _split_customer(customer)
    path = f"{team}/customers/{name}"
    documents, version = _read_team(team, platform)
    if path not in documents:
        fail(f"no customer {customer!r}", ExitStatus.NOT_FOUND)
    _write(path, change(documents[path]), version, credentials, platform, as_json)


def _write(
    path: str,
    document: dict[str, Any],
    version: int,
    credentials: Credentials,
    platform: str,
    as_json: bool,
) -> None:
    team = path.partition("/")[0]
    edit = Edit(team, {path: document}, new_operation_id(), version)
    report_edit(open_store(platform).apply(edit, credentials), as_json)


def _read_team(team: str, platform: str) -> tuple[dict[str, Any], int]:
    match open_store(platform).subtree(team):
        case Result(tag="ok", ok=(subtree, version)):
            return subtree.documents, version
        case Result(error=error):
            _fail_unavailable(platform, error.message)


def _fail_unavailable(platform: str, cause: str) -> NoReturn:
    message = f"cannot read the settings from the platform at {platform}: {cause}"
    fail(message, ExitStatus.UNAVAILABLE)


def _list_row(name: str, document: dict[str, Any]) -> tuple[object, ...]:
    keys = [digest[:DIGEST_PREFIX_CHARACTERS] for digest in _digests(document)]
    return (
        name,
        document.get("name", ""),
        document.get("rate_per_s", 0),
        document.get("burst", 0),
        document.get("weight", "route's"),
        " ".join(keys) or "none",
    )
