"""Costs of a node's membership when a rack or zone fails, or many VMs are replaced.

The costs of the return of the rack or zone are measured too. The fleet around the node
is simulated with `MemberSimulation`.
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
from bench.capacity.member_simulation import MemberSimulation
from bench.capacity.rows import RECORD_CHANGES_PER_REPLACEMENT, RECORD_CHANGES_PER_S
from bench.capacity.sizes import LONG_RUN

__all__ = ["measure"]

ZONE_NODES = 250
RACK_NODES = 10
WARM_UP_S = 40.0
# Time over which the news of one event is delivered to the member. An event is the loss
# or the return of a rack or zone.
ARRIVAL_S = 5.0
STEP_S = 1.0
SETTLE_TIMEOUT_S = 1800.0
# Length of the member's news queue on an ordinary day. An event counts as settled when
# the queue is no longer than this.
ORDINARY_QUEUE_ITEMS = 20
BURST_S = 3600.0
BURST_MEASURED_S = 300.0
ENTRIES_PER_ITEM = 8


def measure() -> dict[str, float]:
    """Return percent of a core, bytes sent per second and settling time by event.

    The name of each figure starts with the name of the event.
    """
    figures = {}
    for name, nodes in (("rack", RACK_NODES), ("zone", ZONE_NODES)):
        simulation = MemberSimulation(LONG_RUN, RECORD_CHANGES_PER_S)
        simulation.run(WARM_UP_S)
        lost = _select_zone_nodes(simulation, nodes)
        figures |= _measure_event(
            f"{name}_lost", simulation, list(_death_news(simulation, lost))
        )
        figures |= _measure_event(
            f"{name}_back", simulation, list(_return_news(simulation, lost))
        )
    return figures | _measure_burst()


def _select_zone_nodes(simulation: MemberSimulation, count: int) -> list[str]:
    zone = simulation.records[1].availability_zone
    in_zone = [r.node_id for r in simulation.records if r.availability_zone == zone]
    # A zone of the long-run fleet has about 243 nodes. This is fewer than `ZONE_NODES`,
    # so nodes of other zones are added.
    others = [r.node_id for r in simulation.records if r.availability_zone != zone]
    return (in_zone + others)[:count]


def _death_news(
    simulation: MemberSimulation, node_ids: list[str]
) -> Iterable[VerdictNews]:
    for number, node_id in enumerate(node_ids):
        record = simulation.directory.view(node_id).record
        reporter_id = simulation.peers[number].node_id
        incarnation_and_version = record.incarnation, record.version
        yield VerdictNews(
            node_id, *incarnation_and_version, Verdict.SUSPECT, reporter_id
        )
        yield VerdictNews(node_id, *incarnation_and_version, Verdict.DEAD, reporter_id)


def _return_news(
    simulation: MemberSimulation, node_ids: list[str]
) -> Iterable[NodeNews]:
    for node_id in node_ids:
        view = simulation.directory.view(node_id)
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


def _measure_event(
    name: str, simulation: MemberSimulation, news: list
) -> dict[str, float]:
    """Deliver news over `ARRIVAL_S`, run until the event has settled, return its costs.

    The event has settled when the member's news queue has at most
    `ORDINARY_QUEUE_ITEMS` items. The run stops after `SETTLE_TIMEOUT_S` even if the
    queue is longer. `name` is the start of the names of the figures.
    """
    start_s, cpu_s = simulation.now_s, simulation.cpu_s
    spent_bytes = simulation.member.budget.spent_bytes
    steps = int(ARRIVAL_S / STEP_S)
    for step in range(steps):
        for item in news[step::steps]:
            simulation.deliver("gossip", Gossip([item]))
        simulation.run(STEP_S)
    while (
        _count_waiting_items(simulation) > ORDINARY_QUEUE_ITEMS
        and simulation.now_s - start_s < SETTLE_TIMEOUT_S
    ):
        simulation.run(STEP_S)
    elapsed_s = simulation.now_s - start_s
    return {
        f"{name}_news": len(news),
        f"{name}_settled_s": elapsed_s,
        f"{name}_cpu_percent": (simulation.cpu_s - cpu_s) / elapsed_s * 100,
        f"{name}_sent_bytes_per_s": (simulation.member.budget.spent_bytes - spent_bytes)
        / elapsed_s,
    }


def _count_waiting_items(simulation: MemberSimulation) -> int:
    return sum(simulation.member.state.queue.count_by_priority().values())


def _measure_burst() -> dict[str, float]:
    """Return a node's costs while the VM replacements of a day occur within an hour.

    Only `BURST_MEASURED_S` of the hour are simulated. The settling time starts at the
    end of this period.
    """
    replacements_per_s = LONG_RUN.replacements_per_day / BURST_S
    simulation = MemberSimulation(
        LONG_RUN, replacements_per_s * RECORD_CHANGES_PER_REPLACEMENT
    )
    simulation.run(WARM_UP_S)
    cpu_s, spent_bytes = simulation.cpu_s, simulation.member.budget.spent_bytes
    simulation.run(BURST_MEASURED_S)
    figures = {
        "burst_changes_per_s": simulation.changes_per_s,
        "burst_cpu_percent": (simulation.cpu_s - cpu_s) / BURST_MEASURED_S * 100,
        "burst_sent_bytes_per_s": (simulation.member.budget.spent_bytes - spent_bytes)
        / BURST_MEASURED_S,
        "burst_waiting_items": _count_waiting_items(simulation),
        "burst_overflowed_items": simulation.member.state.queue.evicted_count,
    }
    simulation.changes_per_s = RECORD_CHANGES_PER_S
    after = _measure_event("after_burst", simulation, [])
    return figures | {"burst_settled_s": after["after_burst_settled_s"]}
