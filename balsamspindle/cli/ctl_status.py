"""``balsamspindle-ctl status``: an overview of nodes, services and settings."""

from collections import defaultdict

import msgspec
import typer

from balsamspindle.backend_servers.servers import BackendServerState
from balsamspindle.cli.program import JSON_OPTION, NODES_OPTION, warn
from balsamspindle.cli.queried_nodes import QueriedNode, newest_records, query_nodes
from balsamspindle.cli.tables import format_table
from balsamspindle.node.status import SettingsStatus
from balsamspindle.wire import NodeRecord

__all__ = ["status"]

NODES_HEADER = (
    "NODE",
    "REGION",
    "ZONE",
    "STATE",
    "ADMIN ADDRESS",
    "BACKEND SERVERS",
)
SERVICES_HEADER = ("SERVICE", "BACKEND SERVERS", "READY", "SUSPECTED", "SLOTS")
SETTINGS_HEADER = ("NODE ASKED", "REVISION", "PLATFORM", "PLATFORM REVISION", "CALLERS")


def status(nodes: list[str] = NODES_OPTION, as_json: bool = JSON_OPTION) -> None:
    """Show all nodes, services and settings, as reported by the queried nodes.

    Example: balsamspindle-ctl status --node 127.0.0.1:8083
    """
    queried = query_nodes(nodes)
    if as_json:
        typer.echo(msgspec.json.encode([node.status for node in queried]).decode())
        return
    records = newest_records(queried)
    tables = (_nodes_table(records), _services_table(records), _settings_table(queried))
    typer.echo("\n\n".join(tables))
    for node in queried:
        _warn_of_unusable(node)


def _nodes_table(records: list[NodeRecord]) -> str:
    rows = [
        (
            record.node_id,
            record.region,
            record.availability_zone,
            record.state,
            record.admin_address or "-",
            len(record.backend_servers),
        )
        for record in records
    ]
    return format_table(NODES_HEADER, rows)


def _services_table(records: list[NodeRecord]) -> str:
    services = defaultdict(list)
    for record in records:
        for server in record.backend_servers:
            services[server.service].append(server)
    rows = [
        (
            service,
            len(servers),
            sum(server.state == BackendServerState.READY for server in servers),
            sum(server.suspicion >= 1 for server in servers),
            sum(server.slots for server in servers),
        )
        for service, servers in sorted(services.items())
    ]
    return format_table(SERVICES_HEADER, rows)


def _settings_table(queried: list[QueriedNode]) -> str:
    return format_table(SETTINGS_HEADER, list(map(_settings_row, queried)))


def _settings_row(node: QueriedNode) -> tuple[object, ...]:
    status = node.status
    settings = status.settings or SettingsStatus(
        status.settings_revision, "", {}, None, -1
    )
    return (
        status.node_id,
        settings.revision,
        settings.platform or "not used",
        "-" if settings.platform_revision < 0 else settings.platform_revision,
        "accepted" if status.accepting else "turned away",
    )


def _warn_of_unusable(node: QueriedNode) -> None:
    """Warn of each document that the node can't decode."""
    settings = node.status.settings
    for path, cause in (settings.unusable if settings else {}).items():
        warn(f"{node.status.node_id} can't use {path}: {cause}")
