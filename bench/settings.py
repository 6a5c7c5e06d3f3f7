"""Time until an accepted settings change is in force on all nodes, and its cost.

The bench has seven parts:

- ``spread``: starts node processes in two availability zones and a stand-in
  platform, and makes changes one by one. The time at which a revision comes in
  force on a node is read from the node's event log. The delays are also summarized
  separately for revisions that a node read from the platform and for revisions that
  it learned from peers.
- ``hint``: the same as ``spread``, but the bench notifies one node of each accepted
  change, as the operator's tool does.
- ``slow_platform``: the same as ``spread``, while each read of the platform takes a
  second.
- ``edits``: several teams edit at the same time, each in its own subtree. They edit
  first at 27 times the mean rate of a day with 45,000 changes, then without pauses.
- ``change``: processor time of one change in a process that holds 6,500 services and
  49,000 routes, compared with a rebuild of the whole configuration.
- ``join``: time that nodes take to start with 6,500 services and 49,000 routes while
  the platform is up. Then the platform is stopped, and one more node starts, which
  gets all settings from its peers.
- ``fan_out``: messages and bytes of one change among up to 5,600 nodes, which are
  simulated in one process and connected by queues instead of sockets.

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
from typing import Any, NamedTuple

import typer

from balsamspindle.platform.store import HttpTableService
from balsamspindle.settings.store import (
    SettingsStore,
)
from balsamspindle.timeline import parse_event
from bench.percentiles import percentile
from bench.process_time import cpu_s
from bench.settings_full_size import measure_change, measure_fan_out, measure_join
from tests.settings_utils import PlatformServer
from tests.utils import Fleet, NodeProgram, call, wait_until

__all__ = ["main"]

SEED = 1
ZONES = 2
CHANGES = 30
CHANGE_GAP_S = 0.6
IDLE_S = 10.0
IN_FORCE_LIMIT_S = 3.0
JOIN_NODES = 7
SLOW_NODES = 5
SLOW_READ_S = 1.0
SLOW_CHANGES = 10
FAN_OUT_NODES = (250, 1000, 5600)
CHANGES_CORE_FRACTION_MAX = 0.02


class Acceptance(NamedTuple):
    """Revision of a change, and the wall-clock time at which its delay starts."""

    revision: int
    delay_start_s: float


def _summarize_delays(values_s: list[float]) -> dict[str, float]:
    if not values_s:
        return {"count": 0}
    return {
        "count": len(values_s),
        "p50_ms": round(percentile(values_s, 0.5) * 1000),
        "p99_ms": round(percentile(values_s, 0.99) * 1000),
        "max_ms": round(max(values_s) * 1000),
    }


class SpreadRun:
    """Starts a fleet of node processes, makes changes and measures the delays."""

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
        # Until a node knows the other nodes, it polls the platform itself. So nothing
        # is measured before all nodes know each other.
        wait_until(
            lambda: self._all_know_each_other(count), "all nodes know each other", 90.0
        )

    def _all_know_each_other(self, count: int) -> bool:
        statuses = [node.status() for node in self.nodes]
        return all(status and len(status["nodes"]) == count for status in statuses)

    def reads(self) -> int:
        """Return the number of reads that the platform has answered."""
        counts = call(self._fleet.platform_address, "/counts").json()
        return sum(counts.get(name, 0) for name in ("read", "scan", "object"))

    def idle(self) -> dict[str, float]:
        """Return platform reads and processor time while nothing changes."""
        reads, start_s = self.reads(), time.monotonic()
        cpu_before_s = [cpu_s(node.process.pid) for node in self.nodes]
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - start_s
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

    def make_changes(
        self, hint: bool, count: int = CHANGES, from_reply: bool = False
    ) -> list[Acceptance]:
        """Make changes one by one, and wait until all nodes have the last one in force.

        Parameters
        ----------
        hint : bool
            Whether a random node is notified of each accepted change.
        count : int
            Number of changes.
        from_reply : bool
            Whether a delay starts at the reply to the write; otherwise it starts
            before the write.
        """
        accepted = []
        for number in range(count):
            time.sleep(CHANGE_GAP_S * self._random.uniform(0.5, 1.5))
            # The exact time of acceptance is unknown. The delay starts before the
            # write, so that it is overstated rather than understated.
            delay_start_s = time.time()
            result = self._store.put(f"bench/services/s{number % 7}", {})
            revision = result.ok.revision
            if from_reply:
                delay_start_s = time.time()
            accepted.append(Acceptance(revision, delay_start_s))
            if hint:
                node = self._random.choice(self.nodes)
                body = json.dumps({"revision": revision}).encode()
                call(node.admin_address, "/settings/accepted", "POST", body)
        last = accepted[-1].revision
        for node in self.nodes:
            wait_until(lambda node=node: node.revision() >= last, "the last change")
        time.sleep(1.0)
        return accepted

    def delays(self, accepted: list[Acceptance]) -> dict[str, Any]:
        """Summarize the delays until each change was in force on each node."""
        by_source: dict[str, list[float]] = {"platform": [], "peer": []}
        last_node_delays_s = []
        for acceptance in accepted:
            slowest_s = 0.0
            for node in self.nodes:
                event = self._first_event_with(node, acceptance.revision)
                delay_s = float(event["wall_s"]) - acceptance.delay_start_s
                by_source[event["source"]].append(delay_s)
                slowest_s = max(slowest_s, delay_s)
            last_node_delays_s.append(slowest_s)
        all_delays_s = [
            delay_s for delays_s in by_source.values() for delay_s in delays_s
        ]
        return {
            "each_node": _summarize_delays(all_delays_s),
            "nodes_that_poll": _summarize_delays(by_source["platform"]),
            "nodes_told_by_peers": _summarize_delays(by_source["peer"]),
            "last_node": _summarize_delays(last_node_delays_s),
        }

    def _first_event_with(self, node: NodeProgram, revision: int) -> dict[str, str]:
        """Return the first event that put this revision or a later one in force."""
        for line in node.log_path.read_text().splitlines():
            event = parse_event(line) or {}
            if event.get("event") != "settings_in_force":
                continue
            if int(event["revision"]) >= revision:
                return event
        raise AssertionError(f"no settings_in_force event for revision {revision}")


def slow_platform(count: int) -> dict[str, Any]:
    """Measure delays while each read of the platform takes `SLOW_READ_S`.

    A delay starts at the reply to the edit, not at the start of the edit. The edit
    itself reads the platform and is therefore slow, which must not count as delay.
    """
    with Fleet() as fleet:
        run = SpreadRun(fleet, count)
        fault = {"mode": "slow", "delay_s": SLOW_READ_S, "endpoint": "read"}
        call(fleet.platform_address, "/faults", "POST", json.dumps(fault).encode())
        accepted = run.make_changes(False, SLOW_CHANGES, from_reply=True)
        return {"nodes": count, "read_s": SLOW_READ_S, **run.delays(accepted)}


def spread(count: int) -> dict[str, Any]:
    """Measure a fleet of `count` nodes: idle, with changes, and with hinted changes.

    After a hinted change, a random node is notified of the new revision.
    """
    with Fleet() as fleet:
        run = SpreadRun(fleet, count)
        idle = run.idle()
        polled = run.delays(run.make_changes(hint=False))
        hinted = run.delays(run.make_changes(hint=True))
    return {"nodes": count, "idle": idle, "polled": polled, "hinted": hinted}


def edits(teams: int, gap_s: float, edits_per_team: int) -> dict[str, Any]:
    """Measure edits of several teams at the same time.

    Each edit updates the row of the fleet's revision, so edits of different teams
    conflict. The result includes the number of refused edits, the platform's reads and
    writes per edit, and the durations of accepted edits.
    """
    platform = PlatformServer(SEED)

    def edit(number: int) -> list[float | None]:
        store = SettingsStore(platform.tables())
        rng = random.Random(number)
        took_s: list[float | None] = []
        for document in range(edits_per_team):
            time.sleep(gap_s * rng.uniform(0.5, 1.5))
            start_s = time.monotonic()
            result = store.put(f"team{number}/services/s{document}", {})
            took_s.append(time.monotonic() - start_s if result.is_ok() else None)
        return took_s

    start_s = time.monotonic()
    with ThreadPoolExecutor(teams) as executor:
        results = [
            edit_s
            for team_results in executor.map(edit, range(teams))
            for edit_s in team_results
        ]
    elapsed_s = time.monotonic() - start_s
    counts = call(platform.address, "/counts").json()
    platform.stop()
    accepted = [took_s for took_s in results if took_s is not None]
    return {
        "teams": teams,
        "accepted_per_s": round(len(accepted) / elapsed_s, 1),
        "refused": len(results) - len(accepted),
        "writes_per_edit": round(counts["transact"] / len(results), 2),
        "reads_per_edit": round(counts["read"] / len(results), 2),
        **_summarize_delays(accepted),
    }


def _exceeded_bounds(report: dict[str, Any]) -> list[str]:
    """Return a sentence for each figure that exceeds its bound."""
    exceeded = []
    for size in report["spread"]:
        for mode in ("polled", "hinted"):
            slowest_ms = size[mode]["last_node"]["p99_ms"]
            if slowest_ms > IN_FORCE_LIMIT_S * 1000:
                exceeded.append(
                    f"{size['nodes']} nodes, {mode}: in force on the last node after"
                    f" {slowest_ms} ms (p99)"
                )
    exceeded += [f"edits refused: {run}" for run in report["edits"] if run["refused"]]
    cost = report["change"]["core_percent_with_changes"]
    if cost > CHANGES_CORE_FRACTION_MAX * 100:
        exceeded.append(f"changes take {cost}% of a core")
    return exceeded


def _print_report(report: dict[str, Any]) -> None:
    for size in report["spread"]:
        typer.echo(f"{size['nodes']} nodes: idle {size['idle']}")
        for mode in ("polled", "hinted"):
            for name, summary in size[mode].items():
                typer.echo(f"  {mode:7} {name:20} {summary}")
    for name, value in report["slow_platform"].items():
        typer.echo(f"slow_platform: {name}: {value}")
    for name, value in report["join"].items():
        typer.echo(f"join: {name}: {value}")
    for size in report["fan_out"]:
        typer.echo(f"fan_out: {size}")
    for run in report["edits"]:
        typer.echo(f"edits: {run}")
    for name, value in report["change"].items():
        typer.echo(f"{name:28} {value}")


def main(
    nodes: list[int] = typer.Option([3, 10, 25], help="Sizes of the fleet."),  # noqa: B008
    as_json: bool = typer.Option(False, "--json", help="Write JSON."),
    check: bool = typer.Option(
        False, help="Exit with status 1 if a bound is exceeded."
    ),
) -> None:
    """Measure the time until accepted settings are in force, and the cost of changes.

    Example: python -m bench.settings --nodes 3 --nodes 10 --json
    """
    report = {
        "change": measure_change(),
        "edits": [edits(8, 0.5, 30), edits(8, 0.0, 30), edits(20, 0.0, 12)],
        "spread": [spread(count) for count in nodes],
        "slow_platform": slow_platform(SLOW_NODES),
        "join": measure_join(JOIN_NODES),
        "fan_out": [measure_fan_out(count) for count in FAN_OUT_NODES],
    }
    if as_json:
        typer.echo(json.dumps(report, indent=2))
    else:
        _print_report(report)
    exceeded = _exceeded_bounds(report)
    for fault in exceeded:
        typer.echo(f"over the bound: {fault}", err=True)
    if check and exceeded:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
