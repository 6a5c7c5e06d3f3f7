"""What bad days cost a node: run through the mirror, or worked out."""

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
# News of one cause reaches a node spread over some seconds.
ARRIVE_S = 5.0
STEP_S = 1.0
SETTLE_MAX_S = 1800.0
# What always waits: the ordinary day's own news.
ORDINARY_QUEUE = 20
BURST_HOUR_S = 3600.0
BURST_MEASURED_S = 300.0
ENTRIES_PER_ITEM = 8


def measure() -> dict[str, float]:
    """Return processor time, bytes and time to settle of each event."""
    figures = {}
    for name, nodes in (("rack", RACK_NODES), ("zone", ZONE_NODES)):
        mirror = Mirror(LONG_RUN, RECORD_CHANGES_PER_S)
        mirror.run(WARM_UP_S)
        lost = _nodes_of_one_zone(mirror, nodes)
        figures |= _event(f"{name}_lost", mirror, list(_deaths(mirror, lost)))
        figures |= _event(f"{name}_back", mirror, list(_returns(mirror, lost)))
    return figures | _burst()


def _nodes_of_one_zone(mirror: Mirror, count: int) -> list[str]:
    zone = mirror.records[1].availability_zone
    found = [one.node_id for one in mirror.records if one.availability_zone == zone]
    # The zones of the long run have some 243 nodes: the rest from the next.
    others = [one.node_id for one in mirror.records if one.availability_zone != zone]
    return (found + others)[:count]


def _deaths(mirror: Mirror, node_ids: list[str]) -> Iterable[VerdictNews]:
    for number, node_id in enumerate(node_ids):
        record = mirror.directory.view(node_id).record
        by = mirror.peers[number].node_id
        epoch = record.incarnation, record.version
        yield VerdictNews(node_id, *epoch, Verdict.SUSPECT, by)
        yield VerdictNews(node_id, *epoch, Verdict.DEAD, by)


def _returns(mirror: Mirror, node_ids: list[str]) -> Iterable[NodeNews]:
    for node_id in node_ids:
        view = mirror.directory.view(node_id)
        incarnation = view.record.incarnation + 1_000_000
        servers = [
            ServerEntry(1, entry.record._replace(boot_id=f"{incarnation:032x}"))
            for entry in view.entries.values()
        ]
        header = msgspec.structs.replace(view.header(), state="alive")
        first = NodeNews(node_id, incarnation, 1, header, servers[:ENTRIES_PER_ITEM])
        yield first
        for start in range(ENTRIES_PER_ITEM, len(servers), ENTRIES_PER_ITEM):
            some = servers[start : start + ENTRIES_PER_ITEM]
            yield NodeNews(node_id, incarnation, servers=some)


def _event(name: str, mirror: Mirror, news: list) -> dict[str, float]:
    """Feed news over some seconds and run until it was passed on."""
    start_s, cpu_s = mirror.now_s, mirror.cpu_s
    spent_bytes = mirror.member.budget.spent_bytes
    steps = int(ARRIVE_S / STEP_S)
    for step in range(steps):
        for item in news[step::steps]:
            mirror.take("gossip", Gossip([item]))
        mirror.run(STEP_S)
    while _waiting(mirror) > ORDINARY_QUEUE and mirror.now_s - start_s < SETTLE_MAX_S:
        mirror.run(STEP_S)
    elapsed_s = mirror.now_s - start_s
    return {
        f"{name}_news": len(news),
        f"{name}_settled_s": elapsed_s,
        f"{name}_cpu_percent": (mirror.cpu_s - cpu_s) / elapsed_s * 100,
        f"{name}_sent_bytes_per_s": (mirror.member.budget.spent_bytes - spent_bytes)
        / elapsed_s,
    }


def _waiting(mirror: Mirror) -> int:
    return sum(mirror.member.state.queue.count_by_priority().values())


def _burst() -> dict[str, float]:
    """Return costs while a day's replacements come within an hour."""
    per_s = LONG_RUN.replacements_per_day / BURST_HOUR_S
    mirror = Mirror(LONG_RUN, per_s * RECORD_CHANGES_PER_REPLACEMENT)
    mirror.run(WARM_UP_S)
    cpu_s, spent_bytes = mirror.cpu_s, mirror.member.budget.spent_bytes
    mirror.run(BURST_MEASURED_S)
    figures = {
        "burst_changes_per_s": mirror.changes_per_s,
        "burst_cpu_percent": (mirror.cpu_s - cpu_s) / BURST_MEASURED_S * 100,
        "burst_sent_bytes_per_s": (mirror.member.budget.spent_bytes - spent_bytes)
        / BURST_MEASURED_S,
        "burst_waiting_items": _waiting(mirror),
        "burst_overflowed_items": mirror.member.state.queue.overflowed,
    }
    mirror.changes_per_s = RECORD_CHANGES_PER_S
    after = _event("after_burst", mirror, [])
    return figures | {"burst_settled_s": after["after_burst_settled_s"]}
