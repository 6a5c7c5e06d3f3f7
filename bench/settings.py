"""How soon an accepted change is in force on all nodes, and what it costs.

Four parts:

- ``spread``: real node processes in two availability zones and a stand-in
  platform; an operator's edits are accepted one by one, and each node's event
  log tells when each revision came in force there. A node that polls the
  platform and a node that hears from peers are counted apart.
- ``hint``: the same, with the operator's tool telling one node of each
  acceptance.
- ``edits``: teams that edit at once, each its own subtree, at 27 times the
  mean rate of a day of 45,000 changes and without any pause.
- ``change``: processor time of one change in one process that holds 6,500
  services and 49,000 routes, against a rebuild of all of it.

::

    python -m bench.settings                      # a table
    python -m bench.settings --json
    python -m bench.settings --nodes 3 --nodes 10
    python -m bench.settings --check              # exit status 1 over a bound
"""

import json
import random
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import typer

from balsamspindle.platform import HttpTableService
from balsamspindle.settings.pages import pages_of_documents
from balsamspindle.settings.rows import next_chain
from balsamspindle.settings.store import SettingsStore
from balsamspindle.settings.tree import Applied, CurrentConfiguration
from balsamspindle.timeline import parse_event
from balsamspindle.wire.settings_messages import SettingsDelta
from bench.process_time import cpu_s
from tests.settings_utils import PlatformServer
from tests.utils import Fleet, NodeProgram, call, wait_until

__all__ = ["main"]

SEED = 1
ZONES = 2
CHANGES = 30
CHANGE_GAP_S = 0.6
IDLE_S = 10.0
IN_FORCE_LIMIT_S = 3.0
SERVICES, ROUTES, TEAMS = 6_500, 49_000, 650
APPLIED = 200
CHANGES_PER_DAY = 45_000
DAY_S = 86_400
CONTROL_CPU_MAX = 0.02


class Accepted(NamedTuple):
    """One accepted change."""

    revision: int
    accepted_s: float


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _summary(values_s: list[float]) -> dict[str, float]:
    if not values_s:
        return {"count": 0}
    return {
        "count": len(values_s),
        "p50_ms": round(_percentile(values_s, 0.5) * 1000),
        "p99_ms": round(_percentile(values_s, 0.99) * 1000),
        "max_ms": round(max(values_s) * 1000),
    }


class SpreadRun:
    """One fleet of real processes and the changes accepted while it ran."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self._fleet = fleet
        self._store = SettingsStore(HttpTableService(fleet.platform_address))
        self._random = random.Random(SEED)
        fleet.start_platform()
        fleet.put_settings({"bench/services/first": {}})
        self.nodes: list[NodeProgram] = []
        for number in range(count):
            node = fleet.start_node(f"node-{number}", f"zone-{number % ZONES}")
            self.nodes.append(node)
        for node in self.nodes:
            wait_until(lambda node=node: node.revision() >= 1, "settings", 60.0)
        # Until each node sees the others, all of them poll.
        wait_until(lambda: self._all_see(count), "all nodes know each other", 90.0)

    def _all_see(self, count: int) -> bool:
        statuses = [node.status() for node in self.nodes]
        return all(status and len(status["nodes"]) == count for status in statuses)

    def reads(self) -> int:
        """Return how many reads the platform has answered."""
        counts = call(self._fleet.platform_address, "/counts").json()
        return sum(counts.get(name, 0) for name in ("read", "scan", "object"))

    def idle(self) -> dict[str, float]:
        """Return reads and processor time without any change."""
        reads, began_s = self.reads(), time.monotonic()
        cpu_before_s = [cpu_s(node.process.pid) for node in self.nodes]
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - began_s
        used_s = sum(
            cpu_s(node.process.pid) - before_s
            for node, before_s in zip(self.nodes, cpu_before_s, strict=True)
        )
        return {
            "platform_reads_per_s": round((self.reads() - reads) / elapsed_s, 1),
            "cpu_percent_per_node": round(
                used_s / elapsed_s / len(self.nodes) * 100, 2
            ),
        }

    def change(self, hint: bool) -> list[Accepted]:
        """Have changes accepted one by one."""
        accepted = []
        for number in range(CHANGES):
            time.sleep(CHANGE_GAP_S * self._random.uniform(0.5, 1.5))
            # Before the write: the time from acceptance is not understated.
            accepted_s = time.time()
            result = self._store.put(f"bench/services/s{number % 7}", {})
            revision = result.ok.revision
            accepted.append(Accepted(revision, accepted_s))
            if hint:
                node = self._random.choice(self.nodes)
                body = json.dumps({"revision": revision}).encode()
                call(node.admin_address, "/settings/accepted", "POST", body)
        last = accepted[-1].revision
        for node in self.nodes:
            wait_until(lambda node=node: node.revision() >= last, "the last change")
        time.sleep(1.0)
        return accepted

    def delays(self, accepted: list[Accepted]) -> dict[str, Any]:
        """Return the times until each change was in force at each node."""
        by_source: dict[str, list[float]] = {"platform": [], "peer": []}
        whole = []
        for one in accepted:
            slowest_s = 0.0
            for node in self.nodes:
                event = self._first_at(node, one.revision)
                delay_s = float(event["wall_s"]) - one.accepted_s
                by_source[event["source"]].append(delay_s)
                slowest_s = max(slowest_s, delay_s)
            whole.append(slowest_s)
        every = [delay_s for delays_s in by_source.values() for delay_s in delays_s]
        return {
            "each_node": _summary(every),
            "nodes_that_poll": _summary(by_source["platform"]),
            "nodes_told_by_peers": _summary(by_source["peer"]),
            "last_node": _summary(whole),
        }

    def _first_at(self, node: NodeProgram, revision: int) -> dict[str, str]:
        """Return the event that put a revision, or a later one, in force."""
        for line in node.log_path.read_text().splitlines():
            event = parse_event(line) or {}
            if event.get("event") != "settings_in_force":
                continue
            if int(event["revision"]) >= revision:
                return event
        raise AssertionError(f"revision {revision} never came in force")


def spread(count: int) -> dict[str, Any]:
    """Measure one size of fleet."""
    with Fleet() as fleet:
        run = SpreadRun(fleet, count)
        idle = run.idle()
        polled = run.delays(run.change(hint=False))
        hinted = run.delays(run.change(hint=True))
    return {"nodes": count, "idle": idle, "polled": polled, "hinted": hinted}


def edits(teams: int, gap_s: float, each: int) -> dict[str, Any]:
    """Measure teams that edit at once; all write the fleet's revision row."""
    platform = PlatformServer(SEED)

    def edit(number: int) -> list[float | None]:
        store = SettingsStore(platform.tables())
        draw = random.Random(number)
        took_s: list[float | None] = []
        for document in range(each):
            time.sleep(gap_s * draw.uniform(0.5, 1.5))
            began_s = time.monotonic()
            result = store.put(f"team{number}/services/s{document}", {})
            took_s.append(time.monotonic() - began_s if result.is_ok() else None)
        return took_s

    began_s = time.monotonic()
    with ThreadPoolExecutor(teams) as executor:
        results = [one for many in executor.map(edit, range(teams)) for one in many]
    elapsed_s = time.monotonic() - began_s
    counts = call(platform.address, "/counts").json()
    platform.stop()
    accepted = [took_s for took_s in results if took_s is not None]
    return {
        "teams": teams,
        "accepted_per_s": round(len(accepted) / elapsed_s, 1),
        "refused": len(results) - len(accepted),
        "writes_per_edit": round(counts["transact"] / len(results), 2),
        "reads_per_edit": round(counts["read"] / len(results), 2),
        **_summary(accepted),
    }


def _documents() -> dict[str, bytes]:
    documents: dict[str, bytes] = {}
    for number in range(SERVICES):
        team = f"team-{number % TEAMS:04}"
        value = {"floor_fraction": 0.6, "probe_path": "/health", "queue_max": 32}
        documents[f"{team}/services/service-{number:05}"] = json.dumps(value).encode()
    for number in range(ROUTES):
        path, document = _route(number, 1500.0)
        documents[path] = document
    return documents


def _route(number: int, timeout_ms: float) -> tuple[str, bytes]:
    service = number % SERVICES
    team = f"team-{service % TEAMS:04}"
    value = {
        "service": f"{team}/service-{service:05}",
        "execution": "idempotent",
        "host": f"host-{number % 3000:04}.example",
        "path_prefix": f"/area/{number}",
        "timeout_ms": timeout_ms,
    }
    return f"{team}/routes/route-{number:05}", json.dumps(value).encode()


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def change_cost() -> dict[str, float]:
    """Measure one change at full size against a rebuild."""
    draw = random.Random(SEED)
    before_mb = _resident_mb()
    current = CurrentConfiguration()
    documents = _documents()
    began_s = time.process_time()
    current.offer(0, documents)
    rebuild_s = time.process_time() - began_s
    del documents
    resident_mb = _resident_mb() - before_mb
    applied_s = []
    chain = ""
    for revision in range(1, APPLIED + 1):
        previous, chain = chain, next_chain(chain, str(revision))
        path, document = _route(draw.randrange(ROUTES), 1000.0 + revision)
        delta = SettingsDelta(revision, previous, chain, {path: document})
        began_s = time.process_time()
        applied = current.apply([delta])
        applied_s.append(time.process_time() - began_s)
        assert applied is Applied.IN_FORCE
    began_s = time.process_time()
    pages = pages_of_documents(current.get().documents)
    pages_s = time.process_time() - began_s
    per_s = CHANGES_PER_DAY / DAY_S
    mean_s = sum(applied_s) / len(applied_s)
    return {
        "services": SERVICES,
        "routes": ROUTES,
        "rebuild_cpu_ms": round(rebuild_s * 1000, 1),
        "change_cpu_ms_p50": round(_percentile(applied_s, 0.5) * 1000, 2),
        "change_cpu_ms_p99": round(_percentile(applied_s, 0.99) * 1000, 2),
        "core_percent_with_changes": round(mean_s * per_s * 100, 2),
        "core_percent_with_rebuilds": round(rebuild_s * per_s * 100, 2),
        "resident_mb": round(resident_mb, 1),
        "pages": len(pages),
        "pages_kb": round(sum(map(len, pages)) / 1000),
        "page_max_kb": round(max(map(len, pages)) / 1000, 1),
        "pages_cpu_ms": round(pages_s * 1000, 1),
    }


def _faults(report: dict[str, Any]) -> list[str]:
    """Return what is over a bound."""
    faults = []
    for size in report["spread"]:
        for way in ("polled", "hinted"):
            slowest_ms = size[way]["last_node"]["p99_ms"]
            if slowest_ms > IN_FORCE_LIMIT_S * 1000:
                faults.append(f"{size['nodes']} nodes, {way}: {slowest_ms} ms")
    faults += [f"edits refused: {run}" for run in report["edits"] if run["refused"]]
    cost = report["change"]["core_percent_with_changes"]
    if cost > CONTROL_CPU_MAX * 100:
        faults.append(f"changes take {cost}% of a core")
    return faults


def _print(report: dict[str, Any]) -> None:
    for size in report["spread"]:
        typer.echo(f"{size['nodes']} nodes: idle {size['idle']}")
        for way in ("polled", "hinted"):
            for name, summary in size[way].items():
                typer.echo(f"  {way:7} {name:20} {summary}")
    for run in report["edits"]:
        typer.echo(f"edits: {run}")
    for name, value in report["change"].items():
        typer.echo(f"{name:28} {value}")


def main(
    nodes: list[int] = typer.Option([3, 10, 25], help="Sizes of the fleet."),  # noqa: B008
    as_json: bool = typer.Option(False, "--json", help="Write JSON."),
    check: bool = typer.Option(False, help="Fail when a bound is not kept."),
) -> None:
    """Measure settings from acceptance to in force, and their cost.

    Example: python -m bench.settings --nodes 3 --nodes 10 --json
    """
    report = {
        "change": change_cost(),
        "edits": [edits(8, 0.5, 30), edits(8, 0.0, 30), edits(20, 0.0, 12)],
        "spread": [spread(count) for count in nodes],
    }
    if as_json:
        typer.echo(json.dumps(report, indent=2))
    else:
        _print(report)
    faults = _faults(report)
    for fault in faults:
        typer.echo(f"over the bound: {fault}", err=True)
    if check and faults:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
