"""The capacity table: each target against what the measured slopes give.

Every row is computed here from the figures of the baseline, so that a row
can't say what no run has shown.
"""

from typing import NamedTuple

from bench.capacity.sizes import LIMITS, LONG_RUN

__all__ = ["RECORD_CHANGES_PER_S", "Row", "capacity_rows"]

DAY_S = 86_400
# A replaced VM: drains, goes, is announced, has warmed up.
RECORD_CHANGES_PER_REPLACEMENT = 4
RECORD_CHANGES_PER_S = (
    LONG_RUN.replacements_per_day * RECORD_CHANGES_PER_REPLACEMENT / DAY_S
)
SETTINGS_CHANGES_PER_S = LONG_RUN.changes_per_day / DAY_S
# One core, less a fifth for what comes in bursts.
REQUEST_CPU_PERCENT = 80.0
# Open files that most distributions let a process have.
FILES_MAX = 1024


class Row(NamedTuple):
    """One target and how the fleet stands to it.

    Attributes
    ----------
    target : float
        Not to be passed.
    extrapolated : float
        At the long-run size, in the unit of the target.
    measured_up_to : str
        The largest size that a run has seen.
    breaks_first : str
        What gives way first as the size grows, or the next step of a row
        that misses.
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
        """Tell whether the target is kept."""
        return self.extrapolated <= self.target

    @property
    def margin(self) -> str:
        """Say by how much the target is kept or missed."""
        if self.met:
            return f"{self.target / max(self.extrapolated, 1e-9):.2g}x"
        return f"**missed** {self.extrapolated / self.target:.2g}x"


def capacity_rows(measured: dict[str, dict[str, float]]) -> list[Row]:
    """Return all rows, role by role."""
    return [
        *_request_rows(measured["processes"], measured["look_ups"]),
        *_node_rows(measured["processes"], measured["memory"]),
        *_member_rows(measured["members"]),
        *_settings_rows(measured["settings"]),
    ]


def _request_rows(processes, look_ups) -> list[Row]:
    per_s = LIMITS.requests_per_s_per_node
    ingress = processes["ingress_cpu_us_per_request"] * per_s / 1e4
    gate = processes["gate_cpu_us_per_request"] * per_s / 1e4
    look_up = look_ups["route_all_routes_us"] + look_ups["pick_of_22_us"]
    paced = f"{processes['load_requests_per_s']:.0f} requests/s, one connection"
    return [
        Row(
            "ingress and gate",
            "processor at 320 requests/s",
            "% of a core",
            REQUEST_CPU_PERCENT,
            ingress + gate,
            "one task a connection; whole path in one process",
            paced,
            "the interpreter lock: one core is all a process has",
        ),
        Row(
            "ingress",
            "route look-up and pick",
            "us a request",
            100.0,
            look_up,
            "one dictionary access a path segment; two random choices",
            "49,000 routes; service of 22",
            f"a service of 500: {look_ups['pick_of_500_us']:.0f} us, the pick"
            " reads all of them",
        ),
    ]


def _node_rows(processes, memory) -> list[Row]:
    beside = processes["idle_rss_mb"] - memory["imported_mb"]
    connections = processes["connected_rss_mb"] - processes["idle_rss_mb"]
    total = memory["whole_rss_peak_mb"] + beside + connections
    return [
        Row(
            "node",
            "memory: state, a settings change, 400 connections",
            "MB",
            LIMITS.memory_mb,
            total,
            "records decoded once; the settings in force and the next",
            f"{memory['measured_nodes']:.0f} nodes in one process",
            "backend server records"
            f" ({memory['backend_server_record_bytes']:.0f} bytes each)",
        ),
        Row(
            "node",
            "open files at 400 connections",
            "files",
            FILES_MAX,
            processes["connected_files"],
            "a bound on connections and on links a peer",
            f"{processes['connections']:.0f} connections",
            "links: one file each, the bound of a peer is 8",
        ),
    ]


def _member_rows(members) -> list[Row]:
    measured = f"{members['measured_nodes']:.0f} nodes of state"
    apply_percent = members["apply_us_at_long_run"] * RECORD_CHANGES_PER_S / 1e4
    cpu_percent = apply_percent + members["regular_cpu_percent_at_long_run"]
    return [
        Row(
            "member",
            "processor: regular messages and news",
            "% of a core",
            LIMITS.control_cpu_percent,
            cpu_percent,
            "all records to three peers, twice a second",
            measured,
            "the index of all services is built anew for each record",
        ),
        Row(
            "member",
            "bytes sent",
            "bytes/s",
            LIMITS.control_bytes_per_s,
            members["sent_bytes_per_s_at_long_run"],
            "all records to three peers, twice a second",
            measured,
            "send what changed, and digests by bucket",
        ),
    ]


def _settings_rows(settings) -> list[Row]:
    cpu_percent = settings["change_cpu_ms"] * SETTINGS_CHANGES_PER_S / 10
    sent = settings["snapshot_bytes"] * SETTINGS_CHANGES_PER_S
    return [
        Row(
            "settings reader",
            "processor: 45,000 changes a day",
            "% of a core",
            LIMITS.control_cpu_percent,
            cpu_percent,
            "all documents decoded at each change",
            f"{LONG_RUN.routes} routes",
            "decode only the subtree that changed",
        ),
        Row(
            "settings reader",
            "bytes received for changes",
            "bytes/s",
            LIMITS.control_bytes_per_s,
            sent,
            "a snapshot of everything at each change",
            f"{LONG_RUN.routes} routes",
            "send only the subtree that changed",
        ),
        Row(
            "platform tables",
            "reads of the revision",
            "reads/s",
            LIMITS.platform_reads_per_s,
            float(LONG_RUN.nodes),
            "each node polls once a second",
            "by count",
            "a cap on the fleet's total",
        ),
    ]
