"""Counts a service's backend servers, without those that have crashed."""

from collections import Counter
from collections.abc import Callable, Iterable

from balsamspindle.crashes.records import start_id
from balsamspindle.membership.directory import Placement

__all__ = ["count_live_servers"]


def count_live_servers(
    placements: Iterable[Placement], has_ended: Callable[[str, int], bool]
) -> int:
    """Return the number of backend servers whose processes have not ended.

    For some seconds after a crash, the directory lists both the backend server that
    crashed and its replacement, which has another id. A node whose backend servers have
    all ended counts as having one, since a replacement is about to start.

    Parameters
    ----------
    has_ended : callable
        Takes the id of a backend server and the `start_id` of its process; returns
        whether the process has ended.
    """
    nodes, live = set(), Counter()
    for node, server in placements:
        nodes.add(node.node_id)
        start = start_id(server.boot_id)
        live[node.node_id] += not has_ended(server.backend_server_id, start)
    return sum(max(1, live[node_id]) for node_id in nodes)
