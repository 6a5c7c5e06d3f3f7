"""``balsamspindle-ctl`` commands that call nodes: drain, undrain, explain."""

import difflib
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn
from urllib.parse import quote

import msgspec
import typer
from expression import Result

from balsamspindle.cli.admin_client import AdminClient, NodeRefusal, NodeUnreachable
from balsamspindle.cli.event_sources import collect_events
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.explanations import format_request, format_service
from balsamspindle.cli.program import JSON_OPTION, NODES_OPTION, fail, warn
from balsamspindle.cli.queried_nodes import (
    NO_NODE_MESSAGE,
    QueriedNode,
    newest_records,
    query_nodes,
)
from balsamspindle.services.explanation import ServiceExplanation
from balsamspindle.timeline.merge import EventFilter, filter_events
from balsamspindle.timeline.request_summary import summarize_request

__all__ = ["drain", "explain", "undrain"]

SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]*/[a-z0-9][a-z0-9.-]*")


def drain(
    backend_server: str = typer.Argument(..., help="Id of the backend server."),
    nodes: list[str] = NODES_OPTION,
) -> None:
    """Stop sending new requests to a backend server; requests in flight finish.

    Example: balsamspindle-ctl drain contract-1 --node 127.0.0.1:8083
    """
    _post(backend_server, nodes, "drain")
    typer.echo(f"{backend_server} takes no new work")


def undrain(
    backend_server: str = typer.Argument(..., help="Id of the backend server."),
    nodes: list[str] = NODES_OPTION,
) -> None:
    """Send requests to a drained backend server again.

    Example: balsamspindle-ctl undrain contract-1 --node 127.0.0.1:8083
    """
    _post(backend_server, nodes, "undrain")
    typer.echo(f"{backend_server} takes work again")


def explain(
    subject: str = typer.Argument(..., help="A service (TEAM/NAME) or a request id."),
    nodes: list[str] = NODES_OPTION,
    logs: list[Path] = typer.Option(
        None, help="Log file of a node, used for requests; may be repeated."
    ),
    as_json: bool = JSON_OPTION,
) -> None:
    """Show which backend servers of a service are used, or how a request ended.

    For a service, shows for each queried node which backend servers receive requests
    and why the others do not.

    For a request, shows its attempts and its outcome, from the events of the queried
    nodes and the given log files.

    Example: balsamspindle-ctl explain crew/contracts --node 127.0.0.1:8083

    Example: balsamspindle-ctl explain 7f3a --logs node-1.log --logs node-2.log
    """
    if SERVICE_PATTERN.fullmatch(subject):
        _explain_service(subject, nodes, as_json)
    else:
        _explain_request(subject, nodes or [], logs or [], as_json)


def _explain_service(service: str, nodes: list[str] | None, as_json: bool) -> None:
    if not nodes:
        fail(NO_NODE_MESSAGE, ExitStatus.USAGE)
    views = list(_read_explanations(service, nodes))
    if not views:
        fail("no node answered", ExitStatus.UNAVAILABLE)
    if not any(map(_is_known, views)):
        message = f"no service {service!r}: see `balsamspindle-ctl status`"
        fail(message, ExitStatus.NOT_FOUND)
    if as_json:
        typer.echo(msgspec.json.encode(views).decode())
    else:
        typer.echo("\n\n".join(map(format_service, views)))


def _read_explanations(service: str, nodes: list[str]) -> Iterator[ServiceExplanation]:
    """Yield the explanation of each node that answers; warn of all other nodes."""
    path = f"/services/{service}/explain"
    for address in nodes:
        match AdminClient(address).read(path, ServiceExplanation):
            case Result(tag="ok", ok=explanation):
                yield explanation
            case Result(error=error):
                warn(error.message)


def _is_known(explanation: ServiceExplanation) -> bool:
    return explanation.is_defined or bool(explanation.backend_servers)


def _explain_request(
    request_id: str, nodes: list[str], logs: list[Path], as_json: bool
) -> None:
    if not nodes and not logs:
        fail(f"{NO_NODE_MESSAGE}; or --logs FILE", ExitStatus.USAGE)
    collected = collect_events(logs, nodes)
    for warning in collected.warnings:
        warn(warning)
    if not collected.sources_read:
        fail("no source could be read", ExitStatus.UNAVAILABLE)
    events = filter_events(collected.events, EventFilter(request=request_id))
    if not events:
        message = (
            f"no event of request {request_id!r}: name the node that received the "
            "request with --node, or its log file with --logs"
        )
        fail(message, ExitStatus.NOT_FOUND)
    summary = summarize_request(request_id, events)
    typer.echo(
        msgspec.json.encode(summary).decode() if as_json else format_request(summary)
    )


def _post(backend_server: str, nodes: list[str] | None, action: str) -> None:
    """Send `action`, drain or undrain, to the node beside a backend server.

    Ends the program if no node is found or the node does not accept the request.
    """
    client = _node_beside(backend_server, query_nodes(nodes))
    match client.post(f"/backend-servers/{quote(backend_server)}/{action}"):
        case Result(tag="error", error=error):
            _fail_at_node(error)


def _node_beside(backend_server: str, queried: list[QueriedNode]) -> AdminClient:
    """Return a client for the node beside a backend server.

    Searches the backend servers of the queried nodes first, then those in the records
    that the queried nodes have of other nodes. Ends the program if the backend server
    is in none of them, or if the record has no admin address.
    """
    for node in queried:
        own = [server.backend_server_id for server in node.status.backend_servers]
        if backend_server in own:
            return node.client
    records = {
        server.backend_server_id: record
        for record in newest_records(queried)
        for server in record.backend_servers
    }
    record = records.get(backend_server)
    if record is None:
        similar = difflib.get_close_matches(backend_server, records, 1)
        hint = f"; did you mean {similar[0]!r}?" if similar else ""
        message = f"unknown backend server {backend_server!r}{hint}"
        fail(message, ExitStatus.NOT_FOUND)
    if not record.admin_address:
        message = (
            f"{backend_server} runs beside {record.node_id}: give that node's "
            "admin address with --node"
        )
        fail(message, ExitStatus.USAGE)
    return AdminClient(record.admin_address)


def _fail_at_node(error: NodeUnreachable | NodeRefusal) -> NoReturn:
    match error:
        case NodeUnreachable(message):
            fail(message, ExitStatus.UNAVAILABLE)
        case NodeRefusal(message=message):
            fail(message, ExitStatus.FAILED)
