"""Processor time and bytes that membership costs one node, by fleet size."""

import time

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import Page, Sender, encode_member
from bench.capacity import synthetic
from bench.capacity.mirror import Mirror
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
    """Return a member's costs on an ordinary day, and their growth with the nodes."""
    cpu_points, sent_points = [], []
    for nodes in NODE_COUNTS:
        cpu_percent, bytes_per_s = ordinary_costs(nodes, RECORD_CHANGES_PER_S)
        cpu_points.append((nodes, cpu_percent))
        sent_points.append((nodes, bytes_per_s))
    quiet_cpu_percent, quiet_bytes_per_s = ordinary_costs(NODE_COUNTS[-1], 0.0)
    busy_cpu_percent, busy_bytes_per_s = ordinary_costs(
        NODE_COUNTS[-1], 2 * RECORD_CHANGES_PER_S
    )
    return {
        "measured_nodes": NODE_COUNTS[-1],
        "apply_us": _apply_us(),
        "cpu_percent": cpu_points[-1][1],
        "cpu_percent_per_1000_nodes": fit_line(cpu_points).slope * 1000,
        "cpu_percent_quiet": quiet_cpu_percent,
        "cpu_us_per_change": (busy_cpu_percent - quiet_cpu_percent)
        / (2 * RECORD_CHANGES_PER_S)
        * 1e4,
        "sent_bytes_per_s": sent_points[-1][1],
        "sent_bytes_per_s_smallest": sent_points[0][1],
        "sent_bytes_per_s_per_1000_nodes": fit_line(sent_points).slope * 1000,
        "sent_bytes_per_s_quiet": quiet_bytes_per_s,
        "sent_bytes_per_change": (busy_bytes_per_s - quiet_bytes_per_s)
        / (2 * RECORD_CHANGES_PER_S),
        "page_bytes_per_entry": _page_bytes_per_entry(),
    }


def ordinary_costs(nodes: int, changes_per_s: float) -> tuple[float, float]:
    """Return the percentage of a core and the bytes sent per second.

    `changes_per_s` is the same for all numbers of nodes, so that the growth of the
    costs with `nodes` shows the effect of the fleet's size alone.
    """
    mirror = Mirror(LONG_RUN.scaled(nodes), changes_per_s)
    mirror.run(WARM_UP_S)
    cpu_s, spent_bytes = mirror.cpu_s, mirror.member.budget.spent_bytes
    mirror.run(MEASURED_S)
    spent_bytes = mirror.member.budget.spent_bytes - spent_bytes
    return (mirror.cpu_s - cpu_s) / MEASURED_S * 100, spent_bytes / MEASURED_S


def _apply_us() -> float:
    """Return the cost of applying one changed backend server at the long-run size."""
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
    """Return the bytes that a backend server takes in a page of anti-entropy."""
    size = LONG_RUN.scaled(ENTRIES_PER_PAGE // LONG_RUN.backend_servers_per_node)
    directory = Directory()
    for record in synthetic.node_records(size):
        directory.update(record, now_s=0.0)
    news = [directory.view(r.node_id).news() for r in directory.alive()]
    sender = Sender("node-00000", 1, "10.0.0.1:7002")
    return len(encode_member("page", sender, Page(news))) / ENTRIES_PER_PAGE
