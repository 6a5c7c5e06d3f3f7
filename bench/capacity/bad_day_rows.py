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
        ``simulated``, or ``calculated`` if the costs are calculated from other
        figures.
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
            "simulated",
            remark,
        )

    rack, zone = RACK_NODES, ZONE_NODES
    per_node = LONG_RUN.backend_servers_per_node
    waiting_items = figures["burst_waiting_items"]
    return [
        simulated_row(
            "rack_lost",
            "a rack lost",
            f"{rack} nodes declared dead",
            "urgent news first",
        ),
        simulated_row(
            "rack_back", "a rack back", f"{rack * per_node} backend servers", ""
        ),
        simulated_row(
            "zone_lost",
            "a zone lost",
            f"{zone} nodes declared dead",
            "urgent news first",
        ),
        simulated_row(
            "zone_back",
            "a zone back, all nodes at once",
            f"{zone} nodes, {zone * per_node:,} backend servers",
            "the node sends at its byte cap; does not include sending records to the"
            ' returning nodes, see "a zone\'s nodes join at once"',
        ),
        simulated_row(
            "burst",
            "45,000 replacements within an hour",
            f"{figures['burst_changes_per_s']:.0f} changes/s",
            "the node sends at its byte cap; after 5 minutes of the burst"
            f" {waiting_items:,.0f} items of news are queued at each node; drains are"
            " sent first, delayed changes also reach nodes by comparison of digests;"
            " the settling time starts at the end of the burst",
        ),
    ]


def _regions_apart_row(members) -> EventCost:
    other_regions_fraction = 1 - 1 / LONG_RUN.regions
    changes = RECORD_CHANGES_PER_S * HOUR_S * other_regions_fraction
    missed_bytes = changes * members["page_bytes_per_entry"]
    routine_bytes_per_s = ROUTINE_FRACTION * LIMITS.control_bytes_per_s
    return EventCost(
        "regions apart for an hour",
        f"{changes:,.0f} changes of other regions, {missed_bytes / 1000:,.0f} kB",
        members["cpu_percent"],
        members["sent_bytes_per_s"],
        missed_bytes / routine_bytes_per_s,
        "calculated",
        "while apart, no node declares a node of another region dead; afterwards each"
        " node compares digests and sends missed records with half of its byte cap",
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
            "simulated",
            "the node serves requests from the first page of records on, with the"
            " backend servers that it has received; its peers have no byte cap in this"
            " simulation",
        ),
        EventCost(
            "a zone's nodes join at once",
            f"{join_bytes / 1e6:,.0f} MB of records to all joining nodes together",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            max(joining["known_s"], peers_send_s),
            "calculated",
            "each node outside the zone sends them records with half of its byte cap",
        ),
        EventCost(
            "one node replaced while the platform is down",
            f"{pages_bytes / 1000:,.0f} kB of settings from {OFFERS_WANTED} peers",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            pages_bytes / OFFERS_WANTED / LIMITS.control_bytes_per_s,
            "calculated",
            "until the node has settings, it refuses all requests with not_run",
        ),
        EventCost(
            "platform down for hours",
            "no settings changes, no claims",
            members["cpu_percent"],
            members["sent_bytes_per_s"],
            0.0,
            "calculated",
            "nodes serve requests without keys and refuse those with keys; no settings"
            " change is accepted, so none is missing when the platform is back",
        ),
        EventCost(
            "a region without the platform for an hour",
            f"{missed_changes:,.0f} settings changes; peers store only {CHANGES_MAX}",
            members["cpu_percent"],
            LIMITS.control_bytes_per_s,
            pages_bytes / LIMITS.control_bytes_per_s,
            "calculated",
            "nodes load all settings, from peers within the byte cap or from the"
            " platform's change log; exceeds the 3 s allowed for a single change",
        ),
    ]
