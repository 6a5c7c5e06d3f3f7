"""What the nodes that an operator names say of the fleet."""

from typing import NamedTuple

from expression import Result

from balsamspindle.cli.admin_client import AdminClient
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import fail, warn
from balsamspindle.node.status import NodeStatus
from balsamspindle.wire import NodeRecord

__all__ = ["NO_NODE", "AskedNode", "ask_nodes", "newest_records"]

NO_NODE = "name a node: --node IP:PORT of its admin address, or BALSAMSPINDLE_NODES"


class AskedNode(NamedTuple):
    """A node and what it says of itself."""

    client: AdminClient
    status: NodeStatus


def ask_nodes(nodes: list[str] | None) -> list[AskedNode]:
    """Return what each node says; fail when none does."""
    if not nodes:
        fail(NO_NODE, ExitStatus.USAGE)
    asked = []
    for address in nodes:
        client = AdminClient(address)
        match client.read("/status", NodeStatus):
            case Result(tag="ok", ok=node_status):
                asked.append(AskedNode(client, node_status))
            case Result(error=error):
                warn(error.message)
    if not asked:
        fail("no node answered", ExitStatus.UNAVAILABLE)
    return asked


def newest_records(asked: list[AskedNode]) -> list[NodeRecord]:
    """Return one record of each node, the newest that any node has."""
    newest: dict[str, NodeRecord] = {}
    for node in asked:
        for record in node.status.nodes:
            known = newest.get(record.node_id)
            if known is None or _age(record) > _age(known):
                newest[record.node_id] = record
    return [newest[node_id] for node_id in sorted(newest)]


def _age(record: NodeRecord) -> tuple[int, int]:
    return record.incarnation, record.version
