"""Costs at one node when a rack or zone is lost or returns, or many VMs are replaced.

The node's membership is simulated with `Mirror`.
"""

from collections.abc import Iterable

import msgspec

from balsamspindle.wire import (
    Gossip,
    NodeNews,
    ServerEntry,
    Verdict,
    VerdictNews,
)
from bench.capacity.mirror import Mirror
from bench.capacity.rows import RECORD_CHANGES_PER_REPLACEMENT, RECORD_CHANGES_PER_S
from bench.capacity.sizes import LONG_RUN

__all__ = ["measure"]

ZONE_NODES = 250
RACK_NODES = 10
WARM_UP_S = 40.0
# Time over which the news of one event (a rack or zone lost or back) is delivered.
ARRIVAL_S = 5.0
STEP_S = 1.0
SETTLE_TIMEOUT_S = 1800.0
# Length of the news queue on an ordinary day. An event counts as settled when the
# queue is down to this length.
ORDINARY_QUEUE_ITEMS = 20
BURST_S = 3600.0
BURST_MEASURED_S = 300.0
ENTRIES_PER_ITEM = 8


def measure() -> dict[str, float]:
    """Return percent of a core, bytes sent per second and settling time by event."""
    figures = {}
    for name, nodes in (("rack", RACK_NODES), ("zone", ZONE_NODES)):
        mirror = Mirror(LONG_RUN, RECORD_CHANGES_PER_S)
        mirror.run(WARM_UP_S)
        lost = _select_zone_nodes(mirror, nodes)
        figures |= _measure_event(
            f"{name}_lost", mirror, list(_death_news(mirror, lost))
        )
        figures |= _measure_event(
            f"{name}_back", mirror, list(_return_news(mirror, lost))
        )
    return figures | _measure_burst()


def _select_zone_nodes(mirror: Mirror, count: int) -> list[str]:
    zone = mirror.records[1].availability_zone
    in_zone = [r.node_id for r in mirror.records if r.availability_zone == zone]
    # A zone of the long-run fleet has about 243 nodes, fewer than `ZONE_NODES`; the
    # missing nodes are taken from other zones.
    others = [r.node_id for r in mirror.records if r.availability_zone != zone]
    return (in_zone + others)[:count]


def _death_news(mirror: Mirror, node_ids: list[str]) -> Iterable[VerdictNews]:
    for number, node_id in enumerate(node_ids):
        record = mirror.directory.view(node_id).record
        reporter_id = mirror.peers[number].node_id
        epoch = record.incarnation, record.version
        yield VerdictNews(node_id, *epoch, Verdict.SUSPECT, reporter_id)
        yield VerdictNews(node_id, *epoch, Verdict.DEAD, reporter_id)


def _return_news(mirror: Mirror, node_ids: list[str]) -> Iterable[NodeNews]:
    for node_id in node_ids:
        view = mirror.directory.view(node_id)
        incarnation = view.record.incarnation + 1_000_000
        servers = [
            ServerEntry(1, entry.record._replace(boot_id=f"{incarnation:032x}"))
            for entry in view.entries.values()
        ]
        header = msgspec.structs.replace(view.header(), state="alive")
        first_item = NodeNews(
            node_id, incarnation, 1, header, servers[:ENTRIES_PER_ITEM]
        )
        yield first_item
        for start in range(ENTRIES_PER_ITEM, len(servers), ENTRIES_PER_ITEM):
            batch = servers[start : start + ENTRIES_PER_ITEM]
            yield NodeNews(node_id, incarnation, servers=batch)


def _measure_event(name: str, mirror: Mirror, news: list) -> dict[str, float]:
    """Deliver news over `ARRIVAL_S`, then run until the member's queue is short again.

    The queue is short at `ORDINARY_QUEUE_ITEMS`; the wait ends at `SETTLE_TIMEOUT_S`.
    """
    start_s, cpu_s = mirror.now_s, mirror.cpu_s
    spent_bytes = mirror.member.budget.spent_bytes
    steps = int(ARRIVAL_S / STEP_S)
    for step in range(steps):
        for item in news[step::steps]:
            mirror.deliver("gossip", Gossip([item]))
        mirror.run(STEP_S)
    while (
        _count_waiting_items(mirror) > ORDINARY_QUEUE_ITEMS
        and mirror.now_s - start_s < SETTLE_TIMEOUT_S
    ):
        mirror.run(STEP_S)
    elapsed_s = mirror.now_s - start_s
    return {
        f"{name}_news": len(news),
        f"{name}_settled_s": elapsed_s,
        f"{name}_cpu_percent": (mirror.cpu_s - cpu_s) / elapsed_s * 100,
        f"{name}_sent_bytes_per_s": (mirror.member.budget.spent_bytes - spent_bytes)
        / elapsed_s,
    }


def _count_waiting_items(mirror: Mirror) -> int:
    return sum(mirror.member.state.queue.count_by_priority().values())


def _measure_burst() -> dict[str, float]:
    """Return a node's costs while a day's VM replacements happen within an hour."""
    replacements_per_s = LONG_RUN.replacements_per_day / BURST_S
    mirror = Mirror(LONG_RUN, replacements_per_s * RECORD_CHANGES_PER_REPLACEMENT)
    mirror.run(WARM_UP_S)
    cpu_s, spent_bytes = mirror.cpu_s, mirror.member.budget.spent_bytes
    mirror.run(BURST_MEASURED_S)
    figures = {
        "burst_changes_per_s": mirror.changes_per_s,
        "burst_cpu_percent": (mirror.cpu_s - cpu_s) / BURST_MEASURED_S * 100,
        "burst_sent_bytes_per_s": (mirror.member.budget.spent_bytes - spent_bytes)
        / BURST_MEASURED_S,
        "burst_waiting_items": _count_waiting_items(mirror),
        "burst_overflowed_items": mirror.member.state.queue.evicted_count,
    }
    mirror.changes_per_s = RECORD_CHANGES_PER_S
    after = _measure_event("after_burst", mirror, [])
    return figures | {"burst_settled_s": after["after_burst_settled_s"]}
