"""Processor time and bytes that membership costs one node, by fleet size."""

import time

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import Page, Sender, encode_member
from bench.capacity import synthetic
from bench.capacity.member_simulation import MemberSimulation
from bench.capacity.rows import RECORD_CHANGES_PER_S
from bench.capacity.sizes import LONG_RUN
from bench.capacity.slopes import fit_line

__all__ = ["NODE_COUNTS", "measure", "ordinary_costs"]

NODE_COUNTS = (700, 1400, 2800, 5600)
WARM_UP_S = 40.0
MEASURED_S = 120.0
NEWS_COUNT = 500
ENTRIES_PER_PAGE = 300


def measure() -> dict[str, float]:
    """Return a member's costs on an ordinary day, and the costs per 1,000 more nodes.

    Also returns the costs without changes, the costs per change, and the size of a
    backend server in a page.
    """
    cpu_points, sent_points = [], []
    for nodes in NODE_COUNTS:
        cpu_percent, bytes_per_s = ordinary_costs(nodes, RECORD_CHANGES_PER_S)
        cpu_points.append((nodes, cpu_percent))
        sent_points.append((nodes, bytes_per_s))
    no_change_cpu_percent, no_change_bytes_per_s = ordinary_costs(NODE_COUNTS[-1], 0.0)
    double_rate_cpu_percent, double_rate_bytes_per_s = ordinary_costs(
        NODE_COUNTS[-1], 2 * RECORD_CHANGES_PER_S
    )
    return {
        "measured_nodes": NODE_COUNTS[-1],
        "apply_us": _apply_us(),
        "cpu_percent": cpu_points[-1][1],
        "cpu_percent_per_1000_nodes": fit_line(cpu_points).slope * 1000,
        "cpu_percent_quiet": no_change_cpu_percent,
        "cpu_us_per_change": (double_rate_cpu_percent - no_change_cpu_percent)
        / (2 * RECORD_CHANGES_PER_S)
        * 1e4,
        "sent_bytes_per_s": sent_points[-1][1],
        "sent_bytes_per_s_smallest": sent_points[0][1],
        "sent_bytes_per_s_per_1000_nodes": fit_line(sent_points).slope * 1000,
        "sent_bytes_per_s_quiet": no_change_bytes_per_s,
        "sent_bytes_per_change": (double_rate_bytes_per_s - no_change_bytes_per_s)
        / (2 * RECORD_CHANGES_PER_S),
        "page_bytes_per_entry": _page_bytes_per_entry(),
    }


def ordinary_costs(nodes: int, changes_per_s: float) -> tuple[float, float]:
    """Return a member's processor time in percent of a core, and bytes sent per second.

    `changes_per_s` is the rate of changes in the fleet. It does not depend on `nodes`:
    calls with the same rate show how the costs depend on the number of nodes alone.
    """
    simulation = MemberSimulation(LONG_RUN.scaled(nodes), changes_per_s)
    simulation.run(WARM_UP_S)
    cpu_s, spent_bytes = simulation.cpu_s, simulation.member.budget.spent_bytes
    simulation.run(MEASURED_S)
    spent_bytes = simulation.member.budget.spent_bytes - spent_bytes
    return (simulation.cpu_s - cpu_s) / MEASURED_S * 100, spent_bytes / MEASURED_S


def _apply_us() -> float:
    """Return the processor time to apply a change of one backend server.

    The directory has the records of the long-run fleet. The time is in microseconds.
    """
    directory = Directory()
    for record in synthetic.node_records(LONG_RUN):
        directory.update(record, now_s=0.0)
    changed = [
        view.news(0).servers[0]
        for view in (directory.view(r.node_id) for r in directory.alive()[:NEWS_COUNT])
    ]
    news = [
        (node.node_id, node.incarnation, entry._replace(version=2))
        for node, entry in zip(directory.alive(), changed, strict=False)
    ]
    started_s = time.process_time()
    for node_id, incarnation, entry in news:
        message = synthetic.entry_news(node_id, incarnation, entry)
        assert directory.apply(message, now_s=1.0).any
    return (time.process_time() - started_s) / NEWS_COUNT * 1e6


def _page_bytes_per_entry() -> float:
    """Return the size of an encoded page in bytes, divided by its backend servers.

    A page is a message in which a node sends a peer the node records that the peer
    lacks or has in an older version. A node record has an entry for each backend server
    of the node.
    """
    size = LONG_RUN.scaled(ENTRIES_PER_PAGE // LONG_RUN.backend_servers_per_node)
    directory = Directory()
    for record in synthetic.node_records(size):
        directory.update(record, now_s=0.0)
    news = [directory.view(r.node_id).news() for r in directory.alive()]
    sender = Sender("node-00000", 1, "10.0.0.1:7002")
    return len(encode_member("page", sender, Page(news))) / ENTRIES_PER_PAGE
