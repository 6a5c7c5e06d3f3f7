"""The table of what events such as the loss of a zone cost one node.

The costs of some events are measured in simulations (see `bench.capacity.bad_days` and
`bench.capacity.joining`). The costs of the other events are calculated from the
figures of other parts of the capacity bench.
"""

from typing import NamedTuple

from balsamspindle.settings.page_download import OFFERS_WANTED
from balsamspindle.settings.recent_changes import CHANGES_MAX
from bench.capacity.bad_days import RACK_NODES, ZONE_NODES
from bench.capacity.rows import RECORD_CHANGES_PER_S, SETTINGS_CHANGES_PER_S
from bench.capacity.sizes import LIMITS, LONG_RUN

__all__ = ["EventCost", "bad_day_rows"]

HOUR_S = 3600.0
# Fraction of a node's `control_bytes_per_s` that messages of level
# `Importance.ROUTINE` may use.
ROUTINE_FRACTION = 0.5


class EventCost(NamedTuple):
    """Cost of one fleet event at one node.

    Attributes
    ----------
    incoming : str
        What the node receives because of the event.
    sent_bytes_per_s : float
        Bytes that the node sends per second during the event; at most
        `control_bytes_per_s`.
    settled_s : float
        Time until the node has received the data that it lacks because of the event,
        and has forwarded the news of the event to its peers.
    source : str
        ``run`` if the costs come from a simulation, ``worked out`` if they are
        calculated from other figures.
    """

    event: str
    incoming: str
    cpu_percent: float
    sent_bytes_per_s: float
    settled_s: float
    source: str
    remark: str


def bad_day_rows(measured: dict[str, dict[str, float]]) -> list[EventCost]:
    """Return the costs of all events, in the order of the capacity page.

    `measured` contains the figures of the baseline, by part and then by name.
    """
    return [
        *_simulated_rows(measured["bad_days"]),
        _regions_apart_row(measured["members"]),
        *_join_rows(measured["joining"], measured["settings"], measured["members"]),
    ]


def _simulated_rows(figures) -> list[EventCost]:
    def simulated_row(name: str, event: str, incoming: str, remark: str) -> EventCost:
        return EventCost(
            event,
            incoming,
            figures[f"{name}_cpu_percent"],
            figures[f"{name}_sent_bytes_per_s"],
            figures[f"{name}_settled_s"],
            "run",
            remark,
        )

    rack, zone = RACK_NODES, ZONE_NODES
    per_node = LONG_RUN.backend_servers_per_node
    waiting_items = figures["burst_waiting_items"]
    return [
        simulated_row(
            "rack_lost", "a rack lost", f"{rack} nodes' deaths", "urgent news"
        ),
        simulated_row(
            "rack_back", "a rack back", f"{rack * per_node} backend servers", ""
        ),
        simulated_row(
            "zone_lost", "a zone lost", f"{zone} nodes' deaths", "urgent news"
        ),
        simulated_row(
            "zone_back",
            "a zone back at once",
            f"{zone} nodes, {zone * per_node:,} backend servers",
            "at the cap; the nodes' own joins come beside it, see below",
        ),
        simulated_row(
            "burst",
            "45,000 replacements within an hour",
            f"{figures['burst_changes_per_s']:.0f} changes/s",
            f"at the cap: after 5 minutes {waiting_items:,.0f} items wait at each node;"
            " drains go first, the rest by digests; the time is after the burst's end",
        ),
    ]


def _regions_apart_row(members) -> EventCost:
    other_regions_fraction = 1 - 1 / LONG_RUN.regions
    changes = RECORD_CHANGES_PER_S * HOUR_S * other_regions_fraction
    missed_bytes = changes * members["page_bytes_per_entry"]
    routine_bytes_per_s = ROUTINE_FRACTION * LIMITS.control_bytes_per_s
    return EventCost(
        "regions apart for an hour",
        f"{changes:,.0f} changes of the others, {missed_bytes / 1000:,.0f} kB",
        members["cpu_percent"],
        members["sent_bytes_per_s"],
        missed_bytes / routine_bytes_per_s,
        "worked out",
        "no region judges another's nodes while apart; then digests, each node"
        " half of its bytes",
    )


def _join_rows(joining, settings, members) -> list[EventCost]:
    pages_bytes = settings["all_pages_bytes"]
    missed_changes = SETTINGS_CHANGES_PER_S * HOUR_S
    join_bytes = joining["received_bytes"] * ZONE_NODES
    other_nodes = LONG_RUN.nodes - ZONE_NODES
    peers_send_s = (
        join_bytes / other_nodes / (ROUTINE_FRACTION * LIMITS.control_bytes_per_s)
    )
    sent_bytes_per_s = joining["sent_bytes"] / joining["known_s"]
    return [
        EventCost(
            "one node replaced",
            f"{joining['received_bytes'] / 1e6:.1f} MB of records",
            members["cpu_percent"],
            sent_bytes_per_s,
            joining["known_s"],
            "run",
            "it serves from its first page on, with the backend servers that it knows;"
            " its peers have no byte cap in this run",
        ),
        EventCost(
            "a zone's nodes join at once",
            f"{join_bytes / 1e6:,.0f} MB from all others",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            max(joining["known_s"], peers_send_s),
            "worked out",
            "each other node gives half of its bytes",
        ),
        EventCost(
            "platform away, a node replaced",
            f"{pages_bytes / 1000:,.0f} kB of settings from {OFFERS_WANTED} peers",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            pages_bytes / OFFERS_WANTED / LIMITS.control_bytes_per_s,
            "worked out",
            "refuses with not_run until then",
        ),
        EventCost(
            "platform away for hours",
            "no settings, no claims",
            members["cpu_percent"],
            members["sent_bytes_per_s"],
            0.0,
            "worked out",
            "nodes serve on; keyed requests are refused; when it is back nothing"
            " is to be caught up, since nothing was accepted",
        ),
        EventCost(
            "a region without the platform for an hour",
            f"{missed_changes:,.0f} changes; {CHANGES_MAX} are kept for peers",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            pages_bytes / LIMITS.control_bytes_per_s,
            "worked out",
            "all settings anew, from peers within the cap or from the change log;"
            " over the 3 s of a single change",
        ),
    ]
