"""Resident memory of one node's state, by fleet size.

Each kind of state is filled in a new interpreter process, because a process does not
return all freed memory to the kernel: a second state in the same process would reuse
freed memory, and its size would seem too small. The process first imports all modules
of a node, so that their memory is not counted as state.
"""

import gc
import json
import os
import resource
import subprocess
import sys
import time
from pathlib import Path

from balsamspindle.membership import Directory
from balsamspindle.node.process import NodeProcess
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.wire.settings_messages import SettingsDelta
from bench.capacity import synthetic
from bench.capacity.ledgers import fill_ledgers
from bench.capacity.sizes import LONG_RUN, FleetSize
from bench.capacity.slopes import Line, fit_line

__all__ = ["measure", "resident_bytes"]

CHAIN = "0" * 32
SIZE_FRACTIONS = (0.25, 0.5, 1.0)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident set size of a process (by default, of this one)."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def measure() -> dict[str, float]:
    """Return bytes per record and route, and memory of all state at the long-run size.

    Also returns the processor time to fill the directory and to load the settings, and
    the duration of a full garbage collection.
    """
    samples = {
        state: [
            _measure_in_new_process(state, round(LONG_RUN.nodes * fraction))
            for fraction in SIZE_FRACTIONS
        ]
        for state in _FILLS
    }
    directory = _fit_state_bytes(samples["directory"], "nodes")
    bare_directory = _fit_state_bytes(samples["bare_directory"], "nodes")
    views = _fit_state_bytes(samples["views"], "nodes")
    routes = _fit_state_bytes(samples["settings"], "routes")
    all_state = samples["whole"][-1]
    peak = fit_line([(s["nodes"], s["peak_bytes"]) for s in samples["whole"]])
    per_server = (
        directory.slope - bare_directory.slope
    ) / LONG_RUN.backend_servers_per_node
    return {
        "measured_nodes": all_state["nodes"],
        "imported_mb": all_state["imported_bytes"] / 1e6,
        "node_record_bytes": bare_directory.slope,
        "backend_server_record_bytes": per_server,
        "directory_mb": directory.at(LONG_RUN.nodes) / 1e6,
        "directory_fill_cpu_s": samples["directory"][-1]["cpu_s"],
        "directory_fill_cpu_s_at_half": samples["directory"][-2]["cpu_s"],
        "views_of_all_services_mb": views.at(LONG_RUN.nodes) / 1e6
        - directory.at(LONG_RUN.nodes) / 1e6,
        "ledgers_mb": samples["ledgers"][-1]["state_bytes"] / 1e6,
        "settings_mb": routes.at(LONG_RUN.routes) / 1e6,
        "settings_bytes_per_route": routes.slope,
        "settings_load_cpu_s": samples["settings"][-1]["cpu_s"],
        "full_collection_ms": all_state["collection_s"] * 1000,
        "whole_rss_mb": all_state["rss_bytes"] / 1e6,
        "whole_rss_peak_mb": peak.at(LONG_RUN.nodes) / 1e6,
    }


def _fit_state_bytes(samples: list[dict[str, float]], size_name: str) -> Line:
    return fit_line([(s[size_name], s["state_bytes"]) for s in samples])


def _measure_in_new_process(state: str, nodes: int) -> dict[str, float]:
    command = [sys.executable, "-m", "bench.capacity.memory", state, str(nodes)]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(completed.stdout)


def _fill_directory(size: FleetSize) -> Directory:
    directory = Directory()
    for record in synthetic.node_records(size):
        directory.update(record, now_s=0.0)
    return directory


def _fill_bare_directory(size: FleetSize) -> Directory:
    return _fill_directory(size._replace(backend_servers=0))


def _fill_settings(size: FleetSize) -> CurrentConfiguration:
    configuration = CurrentConfiguration()
    applied = configuration.offer(1, synthetic.documents(size), CHAIN)
    assert applied is ApplyResult.IN_FORCE
    return configuration


def _fill_views(size: FleetSize) -> Picker:
    """Fill a directory, and compute the view of every service.

    A node computes these views once it has had a request for every service.
    """
    directory = _fill_directory(size)
    own = synthetic.node_record(0, size)
    picker = Picker(own, directory, CurrentConfiguration())
    for number in range(size.services):
        assert picker.view(synthetic.service_name(number)).placements
    return picker


def _fill_all(size: FleetSize) -> tuple:
    """Fill all state, then apply a settings change.

    The old revision is still in memory while the change is applied, so the peak of
    memory contains two revisions.
    """
    picker = _fill_views(size)
    ledgers = fill_ledgers()
    configuration = _fill_settings(size)
    path, document = next(iter(configuration.get().documents.items()))
    before = configuration.get()
    delta = SettingsDelta(2, CHAIN, CHAIN, {path: document}, 1)
    assert configuration.apply([delta]) is ApplyResult.IN_FORCE
    assert before is not configuration.get()
    return picker, ledgers, configuration


_FILLS = {
    "bare_directory": _fill_bare_directory,
    "directory": _fill_directory,
    "views": _fill_views,
    "settings": _fill_settings,
    "ledgers": lambda size: fill_ledgers(),
    "whole": _fill_all,
}


def _measure_sample(state: str, nodes: int) -> dict[str, float]:
    size = LONG_RUN.scaled(nodes)
    gc.collect()
    imported_bytes = resident_bytes()
    started_s = time.process_time()
    filled = _FILLS[state](size)
    cpu_s = time.process_time() - started_s
    gc.collect()
    resident = resident_bytes()
    started_s = time.process_time()
    gc.collect()
    collection_s = time.process_time() - started_s
    assert filled
    return {
        "nodes": size.nodes,
        "routes": size.routes,
        "imported_bytes": imported_bytes,
        "state_bytes": resident - imported_bytes,
        "rss_bytes": resident,
        "peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
        "cpu_s": cpu_s,
        "collection_s": collection_s,
    }


if __name__ == "__main__":
    assert NodeProcess, "all modules of a node must be imported, as in a node process"
    print(json.dumps(_measure_sample(sys.argv[1], int(sys.argv[2]))))
