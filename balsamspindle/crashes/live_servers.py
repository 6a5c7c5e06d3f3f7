"""Counts the backend servers of a service while some of them crash."""

from collections import Counter
from collections.abc import Callable, Iterable

from balsamspindle.crashes.records import start_id
from balsamspindle.membership.directory import Placement

__all__ = ["count_live_servers"]


def count_live_servers(
    placements: Iterable[Placement], has_ended: Callable[[str, int], bool]
) -> int:
    """Return the number of backend servers, without those that have ended.

    After a crash the directory lists the backend server for some seconds beside its
    replacement, which has an id of its own. A node whose backend servers have all ended
    counts as having one, as a replacement is about to start.

    Parameters
    ----------
    has_ended : callable
        Takes the ids of a backend server and of its start; tells whether it has ended.
    """
    nodes, live = set(), Counter()
    for node, server in placements:
        nodes.add(node.node_id)
        start = start_id(server.boot_id)
        live[node.node_id] += not has_ended(server.backend_server_id, start)
    return sum(max(1, live[node_id]) for node_id in nodes)
