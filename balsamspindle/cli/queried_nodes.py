"""Status of the fleet, as reported by the nodes that an operator names."""

from typing import NamedTuple

from expression import Result

from balsamspindle.cli.admin_client import AdminClient
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import fail, warn
from balsamspindle.node.status import NodeStatus
from balsamspindle.wire import NodeRecord

__all__ = ["NO_NODE_MESSAGE", "QueriedNode", "query_nodes", "newest_records"]

NO_NODE_MESSAGE = (
    "name a node by its admin address: --node IP:PORT, or BALSAMSPINDLE_NODES"
)


class QueriedNode(NamedTuple):
    """A node's client and the status that the node reported."""

    client: AdminClient
    status: NodeStatus


def query_nodes(nodes: list[str] | None) -> list[QueriedNode]:
    """Return the status of each node that answers; exit if no node answers."""
    if not nodes:
        fail(NO_NODE_MESSAGE, ExitStatus.USAGE)
    queried = []
    for address in nodes:
        client = AdminClient(address)
        match client.read("/status", NodeStatus):
            case Result(tag="ok", ok=node_status):
                queried.append(QueriedNode(client, node_status))
            case Result(error=error):
                warn(error.message)
    if not queried:
        fail("no node answered", ExitStatus.UNAVAILABLE)
    return queried


def newest_records(queried: list[QueriedNode]) -> list[NodeRecord]:
    """Return the newest record of each node that any queried node knows.

    Each queried node has reported records of all nodes that it knows.
    """
    newest: dict[str, NodeRecord] = {}
    for node in queried:
        for record in node.status.nodes:
            known = newest.get(record.node_id)
            if known is None or _recency(record) > _recency(known):
                newest[record.node_id] = record
    return [newest[node_id] for node_id in sorted(newest)]


def _recency(record: NodeRecord) -> tuple[int, int]:
    return record.incarnation, record.version
