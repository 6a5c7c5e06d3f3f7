"""The capacity table, which compares extrapolated costs with their targets.

The costs are calculated from the figures of a recorded run (the baseline), so that the
table states nothing that this run does not support.
"""

from typing import NamedTuple

from balsamspindle.settings.reader import (
    NON_READER_POLL_INTERVAL_S,
    POLL_INTERVAL_MAX_S,
    POLL_INTERVAL_S,
)
from balsamspindle.settings.reader_selection import READERS_PER_ZONE
from bench.capacity.sizes import LIMITS, LONG_RUN

__all__ = [
    "RECORD_CHANGES_PER_REPLACEMENT",
    "RECORD_CHANGES_PER_S",
    "SETTINGS_CHANGES_PER_S",
    "Row",
    "capacity_rows",
]

DAY_S = 86_400
# Replacing a VM changes records four times: the old backend server drains and leaves,
# the new one is announced and finishes its warm-up.
RECORD_CHANGES_PER_REPLACEMENT = 4
RECORD_CHANGES_PER_S = (
    LONG_RUN.replacements_per_day * RECORD_CHANGES_PER_REPLACEMENT / DAY_S
)
SETTINGS_CHANGES_PER_S = LONG_RUN.changes_per_day / DAY_S
# A process can use one core at most. A fifth of it is reserved for bursts.
REQUEST_CPU_MAX_PERCENT = 80.0
# A settings edit reads three rows of the platform's tables: its subtree, its
# operation and the fleet's revision.
READS_PER_EDIT = 3
# A settings edit writes the rows of its subtree, its operation, the fleet's revision
# and its change.
WRITES_PER_EDIT = 4
# Assumed fraction of requests with an Idempotency-Key; the real one is unknown.
KEYED_REQUESTS_FRACTION = 0.001
# A look-up that takes no longer than this is negligible in the duration of a request.
LOOK_UP_MAX_US = 100.0
# Default limit of open files per process in most distributions.
OPEN_FILES_MAX = 1024
# If each settings change of an ordinary day took this processor time, the changes would
# use all of `control_cpu_percent`.
CHANGED_KEY_MAX_MS = LIMITS.control_cpu_percent / 100 * 1000 / SETTINGS_CHANGES_PER_S


class Row(NamedTuple):
    """A cost at the long-run size of the fleet, with its target.

    Attributes
    ----------
    target : float
        Largest acceptable value.
    extrapolated : float
        Cost at the long-run size, in the same unit as the target.
    measured_up_to : str
        Largest size, or the conditions, under which the cost was measured.
    breaks_first : str
        The first bottleneck as the fleet grows. The text after "next:" is the change
        that would remove it.
    """

    role: str
    quantity: str
    unit: str
    target: float
    extrapolated: float
    mechanism: str
    measured_up_to: str
    breaks_first: str

    @property
    def met(self) -> bool:
        """Whether the extrapolated cost is at most the target."""
        return self.extrapolated <= self.target

    @property
    def margin(self) -> str:
        """Ratio of the larger to the smaller of target and cost, as Markdown."""
        if self.met:
            return f"{self.target / max(self.extrapolated, 1e-9):.2g}x"
        return f"**missed** {self.extrapolated / self.target:.2g}x"


def capacity_rows(measured: dict[str, dict[str, float]]) -> list[Row]:
    """Return all rows, in the order of the capacity page."""
    return [
        *_request_rows(measured["processes"], measured["look_ups"]),
        *_node_rows(measured["processes"], measured["memory"]),
        *_customer_rows(measured["customers"]),
        *_member_rows(measured["members"], measured["bad_days"]),
        *_settings_rows(
            measured["settings"], measured["members"], measured["processes"]
        ),
        *_in_force_rows(measured["in_force"]),
        *_platform_rows(measured["settings"]),
    ]


def _request_rows(processes, look_ups) -> list[Row]:
    per_s = LIMITS.requests_per_s_per_node
    ingress_percent = processes["ingress_cpu_us_per_request"] * per_s / 1e4
    gate_percent = processes["gate_cpu_us_per_request"] * per_s / 1e4
    look_up_us = look_ups["route_all_routes_us"] + look_ups["pick_of_22_us"]
    measured = f"{processes['load_requests_per_s']:.0f} requests/s, 8 connections"
    return [
        Row(
            "ingress and gate",
            "added latency, 99th percentile",
            "ms",
            LIMITS.added_latency_p99_ms,
            processes["added_p99_ms"],
            "one link and one hand-over between threads from caller to backend server",
            measured + ", on a machine with other load",
            "threads wait for the interpreter lock; next: fewer hand-overs",
        ),
        Row(
            "ingress and gate",
            "processor at 320 requests/s",
            "% of a core",
            REQUEST_CPU_MAX_PERCENT,
            ingress_percent + gate_percent,
            "one thread per connection; ingress and gate in one process",
            measured,
            "the interpreter lock: a process can use one core at most",
        ),
        Row(
            "ingress",
            "route look-up and pick",
            "us per request",
            LOOK_UP_MAX_US,
            look_up_us,
            "one dictionary access per path segment; two draws from a cached view",
            "49,000 routes; services of 22 and of 500 backend servers",
            f"rebuilding a service's view: {look_ups['view_of_500_us']:.0f} us for 500"
            " backend servers, at each change of one of them",
        ),
    ]


def _node_rows(processes, memory) -> list[Row]:
    process_mb = processes["idle_rss_mb"] - memory["imported_mb"]
    connections_mb = processes["connected_rss_mb"] - processes["idle_rss_mb"]
    ordinary_mb = memory["whole_rss_peak_mb"] - memory["ledgers_mb"]
    per_server = f"{memory['backend_server_record_bytes']:.0f} bytes"
    per_route = f"{memory['settings_bytes_per_route']:.0f} bytes"
    measured = f"state of {memory['measured_nodes']:.0f} nodes in one process"
    return [
        Row(
            "node",
            "memory at a settings change, 400 connections",
            "MB",
            LIMITS.memory_mb,
            ordinary_mb + process_mb + connections_mb,
            "records and documents decoded once, equal strings shared",
            measured,
            f"backend server records ({per_server} each), routes ({per_route} each)",
        ),
        Row(
            "node",
            "memory at a settings change, 400 connections, all ledgers full",
            "MB",
            LIMITS.memory_mb,
            memory["whole_rss_peak_mb"] + process_mb + connections_mb,
            "ledgers bounded by count, time and bytes",
            measured,
            f"50,000 idempotency keys ({memory['ledgers_mb']:.0f} MB): half an hour of"
            " 28 requests/s with keys at one gate; next: a packed entry for each key",
        ),
        Row(
            "node",
            "open files at 400 connections",
            "files",
            OPEN_FILES_MAX,
            processes["connected_files"],
            "limits: caller connections, 64 member connections, 8 idle links per gate",
            f"{processes['connections']:.0f} connections",
            "links to the gates of many services: 24 gates a service, 8 links to each",
        ),
    ]


def _customer_rows(customers) -> list[Row]:
    measured = f"{customers['measured_customers']:,.0f} customers in one process"
    per_customer = f"{customers['bytes_per_customer']:.0f} bytes"
    return [
        Row(
            "node",
            "memory of 910,000 customers with two keys each, without all other state",
            "MB",
            LIMITS.memory_mb,
            customers["memory_mb"],
            "each node stores the documents and key digests of all customers",
            measured,
            f"each customer ({per_customer}); next: only digests, in a packed table;"
            " a customer's document is read when one of its keys is used",
        ),
        Row(
            "node",
            "processor for one changed key",
            "ms",
            CHANGED_KEY_MAX_MS,
            customers["change_cpu_ms"],
            "a revision shares the older table of keys and stores only changed keys",
            measured,
            "each of 45,000 changes a day copies the dictionaries of all settings",
        ),
    ]


def _member_rows(members, bad_days) -> list[Row]:
    measured = f"one member with the records of {members['measured_nodes']:.0f} nodes"
    cap = LIMITS.control_bytes_per_s
    changes_per_s = (cap - members["sent_bytes_per_s_quiet"]) / members[
        "sent_bytes_per_change"
    ]
    return [
        Row(
            "member",
            "processor on an ordinary day",
            "% of a core",
            LIMITS.control_cpu_percent,
            members["cpu_percent"],
            "sends only changes; compares digests; caches the placements of services",
            measured,
            f"scans of all nodes: {members['cpu_percent_per_1000_nodes']:.2g}% for"
            " each 1,000 nodes",
        ),
        Row(
            "member",
            "bytes sent on an ordinary day",
            "bytes/s",
            cap,
            members["sent_bytes_per_s"],
            "transmissions of an item by a node grow with log(nodes); byte cap",
            measured,
            f"record changes: {members['sent_bytes_per_change']:.0f} bytes each; the"
            f" byte cap allows {changes_per_s:.1f} changes/s",
        ),
        Row(
            "member",
            "processor while a zone is lost",
            "% of a core",
            LIMITS.control_cpu_percent,
            bad_days["zone_lost_cpu_percent"],
            "verdicts on dead nodes are sent before routine news",
            f"250 nodes lost, over {bad_days['zone_lost_settled_s']:.0f} s",
            "each death rebuilds the list of all live nodes",
        ),
        Row(
            "member",
            "bytes sent after a zone has returned",
            "bytes/s",
            cap,
            bad_days["zone_back_sent_bytes_per_s"],
            "byte cap; urgent news is sent first",
            "250 nodes, 6,250 backend servers",
            f"the time until all news is sent: {bad_days['zone_back_settled_s']:.0f} s",
        ),
    ]


def _settings_rows(settings, members, processes) -> list[Row]:
    change_ms = settings["change_cpu_ms"] + settings["choose_peers_cpu_ms"]
    cpu_percent = change_ms * SETTINGS_CHANGES_PER_S / 10
    reader_percent = settings["poll_wait_cpu_ms"] / POLL_INTERVAL_S / 10
    sent_bytes_per_s = settings["change_sent_bytes"] * SETTINGS_CHANGES_PER_S
    measured = f"{settings['measured_routes']:,.0f} routes"
    return [
        Row(
            "settings reader",
            "processor for 45,000 changes a day and for polls",
            "% of a core",
            LIMITS.control_cpu_percent,
            cpu_percent + reader_percent,
            "decodes the changed documents; copies the dictionaries of all settings",
            measured,
            f"copied dictionaries: {settings['change_cpu_ms_per_1000_routes']:.2g} ms"
            " per change for each 1,000 routes",
        ),
        Row(
            "node",
            "processor for membership and settings on an ordinary day",
            "% of a core",
            LIMITS.control_cpu_percent,
            processes["idle_cpu_percent"]
            + members["cpu_percent"]
            + cpu_percent
            + reader_percent,
            "sum for the member, the settings reader and the timers of an idle process",
            measured,
            f"timers of an idle process: {processes['idle_cpu_percent']:.2g}%",
        ),
        Row(
            "node",
            "bytes sent for membership and settings on an ordinary day",
            "bytes/s",
            LIMITS.control_bytes_per_s,
            members["sent_bytes_per_s"] + sent_bytes_per_s,
            "byte caps on member and settings messages; a node pulls a change once",
            "member with the records of 5,600 nodes; sizes of settings messages",
            f"new connections: {settings['change_sent_bytes']:,.0f} bytes a change, of"
            " which 400 for each of 7 connections; next: notify connected peers",
        ),
    ]


def _in_force_rows(in_force) -> list[Row]:
    poll_s = in_force["slowest_poll_s"]
    processes = in_force["processes"]
    measured = (
        f"{processes:.0f} processes (p99 of the last node"
        f" {in_force[f'last_of_{processes:.0f}_p99_ms']:.0f} ms); settings gossip of"
        f" {LONG_RUN.nodes:,} nodes, simulated in one process"
    )
    mechanism = "two readers per zone poll; notices to five peers; member messages"
    return [
        Row(
            "settings reader",
            "time until a change is in force on all nodes, ordinary day",
            "s",
            LIMITS.in_force_s,
            poll_s + in_force["spread_to_all_5600_s"],
            mechanism,
            measured,
            "nodes that no notice reached: they wait for a member message",
        ),
        Row(
            "settings reader",
            "time until a change is in force on all nodes, without membership news",
            "s",
            LIMITS.in_force_s,
            poll_s + in_force["spread_to_all_5600_quiet_s"],
            mechanism,
            measured,
            "nodes that no notice reached, at two member messages/s; 99% updated after"
            f" {poll_s + in_force['spread_to_99_percent_of_5600_s']:.1f} s; next: one"
            " more notice from each node",
        ),
    ]


def _platform_rows(settings) -> list[Row]:
    readers = READERS_PER_ZONE * LONG_RUN.availability_zones
    reader_reads_per_s = readers * (1 / POLL_INTERVAL_S + SETTINGS_CHANGES_PER_S)
    other_reads_per_s = LONG_RUN.nodes / NON_READER_POLL_INTERVAL_S
    edit_reads_per_s = SETTINGS_CHANGES_PER_S * READS_PER_EDIT
    isolated_reads_per_s = LONG_RUN.nodes / POLL_INTERVAL_MAX_S
    row_bytes = settings["subtree_row_bytes"]
    return [
        Row(
            "platform tables",
            "reads on an ordinary day",
            "reads/s",
            LIMITS.platform_reads_per_s,
            reader_reads_per_s + other_reads_per_s + edit_reads_per_s,
            "two readers per zone poll often; all other nodes poll once a minute",
            "by count from the intervals",
            "only the polls once a minute grow with the number of nodes",
        ),
        Row(
            "platform tables",
            "reads when each node sees no other live node",
            "reads/s",
            LIMITS.platform_reads_per_s,
            isolated_reads_per_s,
            "a reader that sees fewer nodes lengthens its poll interval, up to 3 s",
            "by count from the intervals",
            "more than 6,000 nodes: they would need a poll interval of over 3 s",
        ),
        Row(
            "platform tables",
            "row writes for settings",
            "writes/s",
            LIMITS.platform_writes_per_s,
            SETTINGS_CHANGES_PER_S * WRITES_PER_EDIT,
            "each change writes four rows in one transaction",
            "by count",
            f"each change rewrites its team's whole row ({row_bytes / 1000:.0f} kB);"
            " all changes check and write a single row, the fleet's revision",
        ),
        Row(
            "platform tables",
            "claims, if 1 in 1,000 requests has an Idempotency-Key",
            "writes/s",
            LIMITS.platform_writes_per_s,
            LONG_RUN.requests_per_s * KEYED_REQUESTS_FRACTION,
            "one row per key; a request whose row is not written gets not_run",
            "by count",
            "writes; next: one gate for each key, and a row only if the gate changes",
        ),
    ]
