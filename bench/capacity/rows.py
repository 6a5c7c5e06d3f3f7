"""The capacity table, which compares extrapolated costs with their targets.

The costs are calculated from the figures of a recorded run (the baseline), so that the
table states nothing that this run does not support.
"""

from typing import NamedTuple

from balsamspindle.settings.reader import (
    NON_READER_POLL_INTERVAL_S,
    POLL_INTERVAL_MAX_S,
    POLL_INTERVAL_S,
    READERS_PER_ZONE,
)
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
            "latency added for 99 in 100",
            "ms",
            LIMITS.added_latency_p99_ms,
            processes["added_p99_ms"],
            "one link and one hand-over of a thread between caller and backend server",
            measured + ", a shared machine",
            "threads that wait for the interpreter lock; next: fewer hand-overs",
        ),
        Row(
            "ingress and gate",
            "processor at 320 requests/s",
            "% of a core",
            REQUEST_CPU_MAX_PERCENT,
            ingress_percent + gate_percent,
            "one task a connection; ingress and gate in one process",
            measured,
            "the interpreter lock: one core is all that a process has",
        ),
        Row(
            "ingress",
            "route look-up and pick",
            "us a request",
            LOOK_UP_MAX_US,
            look_up_us,
            "one dictionary access a path segment; two draws from a ready view",
            "49,000 routes; services of 22 and 500",
            f"a service's view made anew: {look_ups['view_of_500_us']:.0f} us for 500"
            " backend servers at each change of one of them",
        ),
    ]


def _node_rows(processes, memory) -> list[Row]:
    process_mb = processes["idle_rss_mb"] - memory["imported_mb"]
    connections_mb = processes["connected_rss_mb"] - processes["idle_rss_mb"]
    ordinary_mb = memory["whole_rss_peak_mb"] - memory["ledgers_mb"]
    per_server = f"{memory['backend_server_record_bytes']:.0f} bytes"
    per_route = f"{memory['settings_bytes_per_route']:.0f} bytes"
    measured = f"{memory['measured_nodes']:.0f} nodes of state in one process"
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
            "the same with every ledger full",
            "MB",
            LIMITS.memory_mb,
            memory["whole_rss_peak_mb"] + process_mb + connections_mb,
            "ledgers bounded by count, time and bytes",
            measured,
            f"50,000 keys of one gate ({memory['ledgers_mb']:.0f} MB): 28 keyed"
            " requests/s for half an hour; next: pack a key's entry",
        ),
        Row(
            "node",
            "open files at 400 connections",
            "files",
            OPEN_FILES_MAX,
            processes["connected_files"],
            "bounds on connections, on member links (64) and on a gate's links (8)",
            f"{processes['connections']:.0f} connections",
            "links to the gates of many services: 24 gates a service, 8 links each",
        ),
    ]


def _customer_rows(customers) -> list[Row]:
    measured = f"{customers['measured_customers']:,.0f} customers in one process"
    per_customer = f"{customers['bytes_per_customer']:.0f} bytes"
    return [
        Row(
            "node",
            "memory of 910,000 customers with two keys each, beside all else",
            "MB",
            LIMITS.memory_mb,
            customers["memory_mb"],
            "each node holds all customers' documents and key digests",
            measured,
            f"each customer ({per_customer}); next: digests alone in one packed"
            " table, documents read when a key is used",
        ),
        Row(
            "node",
            "processor for one changed key",
            "ms",
            CHANGED_KEY_MAX_MS,
            customers["change_cpu_ms"],
            "the table of keys is shared, changes lie beside it",
            measured,
            "the copy of the settings' dictionaries; 45,000 changes a day",
        ),
    ]


def _member_rows(members, bad_days) -> list[Row]:
    measured = f"{members['measured_nodes']:.0f} nodes of state, one member"
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
            "news of what changed; digests by bucket; services indexed when asked for",
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
            "news passed on a number of times that grows with the logarithm; a cap",
            measured,
            f"changes: {members['sent_bytes_per_change']:.0f} bytes each;"
            f" the cap carries {changes_per_s:.1f} a second",
        ),
        Row(
            "member",
            "processor while a zone is lost",
            "% of a core",
            LIMITS.control_cpu_percent,
            bad_days["zone_lost_cpu_percent"],
            "claims of death pass on before all else",
            f"250 nodes lost, for {bad_days['zone_lost_settled_s']:.0f} s",
            "each claim scans all nodes; next: count the nodes of a region once",
        ),
        Row(
            "member",
            "bytes sent while a zone is back",
            "bytes/s",
            cap,
            bad_days["zone_back_sent_bytes_per_s"],
            "the cap; urgent news first",
            "250 nodes, 6,250 backend servers",
            f"the time: {bad_days['zone_back_settled_s']:.0f} s until all is told",
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
            "processor: 45,000 changes a day, and polls",
            "% of a core",
            LIMITS.control_cpu_percent,
            cpu_percent + reader_percent,
            "a change decodes its own documents and copies the dictionaries",
            measured,
            f"the copies: {settings['change_cpu_ms_per_1000_routes']:.2g} ms a change"
            " for each 1,000 routes",
        ),
        Row(
            "node",
            "control in all: processor on an ordinary day",
            "% of a core",
            LIMITS.control_cpu_percent,
            processes["idle_cpu_percent"]
            + members["cpu_percent"]
            + cpu_percent
            + reader_percent,
            "as member and settings reader, and the timers of an idle process",
            measured,
            f"an idle process's timers: {processes['idle_cpu_percent']:.2g}%",
        ),
        Row(
            "node",
            "control in all: bytes sent on an ordinary day",
            "bytes/s",
            LIMITS.control_bytes_per_s,
            members["sent_bytes_per_s"] + sent_bytes_per_s,
            "one cap over both; a change travels to each node once",
            "5,600 nodes of state; message sizes",
            f"fresh connections: {settings['change_sent_bytes']:,.0f} bytes a change,"
            " 400 for each of 7 connections; next: tell the member's neighbours",
        ),
    ]


def _in_force_rows(in_force) -> list[Row]:
    poll_s = in_force["slowest_poll_s"]
    processes = in_force["processes"]
    measured = (
        f"{processes:.0f} processes (p99 of the last node"
        f" {in_force[f'last_of_{processes:.0f}_p99_ms']:.0f} ms); spread tasks of"
        f" {LONG_RUN.nodes:,} nodes in one process"
    )
    mechanism = "two readers a zone poll; each node tells five; members' messages too"
    return [
        Row(
            "settings reader",
            "in force everywhere, an ordinary day",
            "s",
            LIMITS.in_force_s,
            poll_s + in_force["spread_to_all_5600_s"],
            mechanism,
            measured,
            "nodes that all notices missed",
        ),
        Row(
            "settings reader",
            "in force everywhere, a fleet without other news",
            "s",
            LIMITS.in_force_s,
            poll_s + in_force["spread_to_all_5600_quiet_s"],
            mechanism,
            measured,
            "the same, hearing two messages a second; 99 in 100 have it after"
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
            "two readers a zone; all others look once a minute",
            "by count from the intervals",
            "nothing that grows with the nodes but one look a minute",
        ),
        Row(
            "platform tables",
            "reads when each node believes itself alone",
            "reads/s",
            LIMITS.platform_reads_per_s,
            isolated_reads_per_s,
            "a reader that sees fewer nodes polls as much more slowly, to 3 s",
            "by count from the intervals",
            "6,000 nodes: the bound of 3 s would have to grow",
        ),
        Row(
            "platform tables",
            "row writes for settings",
            "writes/s",
            LIMITS.platform_writes_per_s,
            SETTINGS_CHANGES_PER_S * WRITES_PER_EDIT,
            "one transaction of four rows a change",
            "by count",
            f"a team's row ({row_bytes / 1000:.0f} kB) is written whole at each change;"
            " all changes check the one row of the revision",
        ),
        Row(
            "platform tables",
            "claims, if 1 in 1,000 requests has an Idempotency-Key",
            "writes/s",
            LIMITS.platform_writes_per_s,
            LONG_RUN.requests_per_s * KEYED_REQUESTS_FRACTION,
            "one row written for each key; beyond that refused with not_run",
            "by count",
            "next: a home gate for each key, and a row only where the home changes",
        ),
    ]
