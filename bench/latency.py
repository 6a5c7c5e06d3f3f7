"""Latency and processor time that nodes add to a request.

The bench sends requests to a stand-in backend server in three ways, which alternate
within one run. Each way gets requests at the rate that a node is designed for:

- ``direct``: from the caller to the backend server;
- ``one_node``: through one node, which is both ingress and gate;
- ``two_nodes``: through the ingress of a node without backend servers, and the gate of
  another node.

::

    python -m bench.latency            # a table
    python -m bench.latency --json
    python -m bench.latency --check    # exit status 1 on a regression
"""

import json
import os
from pathlib import Path
from typing import NamedTuple

import typer

from bench.paced_calls import PacedCalls, Target
from bench.process_time import cpu_s
from tests.utils import Fleet

__all__ = ["main"]

BASELINE_PATH = Path(__file__).parent / "baselines" / "latency.json"
CONNECTIONS = 8
SLICE_S = 0.5
WARM_UP_S = 1.0
SEED = 1
SETTINGS = {
    "bench/services/direct": {},
    "bench/services/one": {},
    "bench/services/two": {},
    "bench/routes/one": {
        "service": "bench/one",
        "execution": "idempotent",
        "path_prefix": "/one",
    },
    "bench/routes/two": {
        "service": "bench/two",
        "execution": "idempotent",
        "path_prefix": "/two",
    },
}


class Way(NamedTuple):
    """A way to send requests from the caller to a backend server.

    Attributes
    ----------
    pids : dict of str to int
        By role, the ids of the processes that are measured for their processor time.
    """

    name: str
    target: Target
    pids: dict[str, int]


def measure(rounds: int, rate_per_s: float) -> dict:
    """Measure all ways alternately and return the figures.

    Parameters
    ----------
    rounds : int
        Number of measurements of each way; each lasts `SLICE_S`.
    rate_per_s : float
        Requests per second during a measurement.
    """
    with Fleet() as fleet:
        ways = _start_ways(fleet)
        calls = {
            way.name: PacedCalls(way.target, CONNECTIONS, rate_per_s, SEED)
            for way in ways
        }
        for way in ways:
            calls[way.name].run(WARM_UP_S)
            calls[way.name].histogram.reset()
        counts = dict.fromkeys(calls, 0)
        used_s = {(way.name, role): 0.0 for way in ways for role in way.pids}
        for _ in range(rounds):
            for way in ways:
                before = {role: cpu_s(pid) for role, pid in way.pids.items()}
                counts[way.name] += calls[way.name].run(SLICE_S)
                for role, pid in way.pids.items():
                    used_s[way.name, role] += cpu_s(pid) - before[role]
        for way_calls in calls.values():
            way_calls.close()
    cpu_ms = {key: 1000 * used / counts[key[0]] for key, used in used_s.items()}
    return _summarize(calls, counts, cpu_ms, rounds, rate_per_s)


def _start_ways(fleet: Fleet) -> list[Way]:
    fleet.start_platform()
    fleet.put_settings(SETTINGS)
    single_node = fleet.start_node("one", "zone-a")
    ingress = fleet.start_node("ingress", "zone-b")
    gate = fleet.start_node("gate", "zone-c")
    servers = {
        "direct": fleet.start_backend("direct", "bench/direct", gate),
        "one": fleet.start_backend("one-1", "bench/one", single_node, slots=64),
        "two": fleet.start_backend("two-1", "bench/two", gate, slots=64),
    }
    fleet.wait_ready(
        [single_node, ingress, gate], ["direct", "one-1", "two-1"], len(SETTINGS)
    )
    return [
        Way(
            "direct",
            Target(servers["direct"].address, "/direct/7?full=1"),
            {"backend_server": servers["direct"].process.pid},
        ),
        Way(
            "one_node",
            Target(single_node.caller_address, "/one/7?full=1"),
            {"node": single_node.process.pid},
        ),
        Way(
            "two_nodes",
            Target(ingress.caller_address, "/two/7?full=1"),
            {"ingress": ingress.process.pid, "gate": gate.process.pid},
        ),
    ]


def _summarize(calls, counts, cpu_ms, rounds, rate_per_s) -> dict:
    ways = {}
    for name, way_calls in calls.items():
        histogram = way_calls.histogram
        ways[name] = {
            "requests": counts[name],
            "failures": way_calls.failures,
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            "cpu_ms_per_request": {
                role: round(used, 3)
                for (way, role), used in cpu_ms.items()
                if way == name
            },
        }
    return {
        "rounds": rounds,
        "rate_per_s": rate_per_s,
        "load_1min": round(os.getloadavg()[0], 1),
        "ways": ways,
        "ratios": _ratios(ways),
    }


def _ratios(ways: dict) -> dict[str, float]:
    """Return the figures of the ways through nodes, relative to direct calls.

    Latencies are divided by those of direct calls. The processor time of a node is
    divided by that of the backend server in direct calls.
    """
    direct = ways["direct"]
    direct_cpu_ms = direct["cpu_ms_per_request"]["backend_server"]
    ratios = {}
    for name in ("one_node", "two_nodes"):
        for quantile in ("p50", "p99"):
            field = f"{quantile}_ms"
            ratios[f"{name}_{quantile}"] = ways[name][field] / direct[field]
        for role, used_ms in ways[name]["cpu_ms_per_request"].items():
            ratios[f"{name}_cpu_{role}"] = used_ms / direct_cpu_ms
    return {name: round(ratio, 2) for name, ratio in ratios.items()}


def regressions(ratios: dict[str, float], baseline: dict) -> list[str]:
    """Return a sentence for each ratio that exceeds its bound.

    Parameters
    ----------
    baseline : dict
        The recorded ``ratios``, and ``bounds``: for each ratio, its largest allowed
        multiple of the recorded value.
    """
    return [
        f"{name}: {ratios[name]:.2f} is over {recorded * bound:.2f}, "
        f"{bound} times the baseline"
        for name, recorded in baseline["ratios"].items()
        if ratios[name] > recorded * (bound := baseline["bounds"][name])
    ]


def _format_table(figures: dict) -> str:
    lines = [f"{'way':10} {'requests':>8} {'p50 ms':>7} {'p99 ms':>7}  CPU ms/request"]
    for name, way in figures["ways"].items():
        cpu = ", ".join(
            f"{role} {used:.2f}" for role, used in way["cpu_ms_per_request"].items()
        )
        lines.append(
            f"{name:10} {way['requests']:8} {way['p50_ms']:7.2f} {way['p99_ms']:7.2f}"
            f"  {cpu}"
        )
    lines.append("ratios to direct calls:")
    lines += [f"  {name:24} {ratio:5.2f}" for name, ratio in figures["ratios"].items()]
    lines.append(f"load average of the machine: {figures['load_1min']}")
    return "\n".join(lines)


def main(
    rounds: int = typer.Option(
        6,
        help="Rounds, each with 0.5 s of calls directly, via one and via two nodes.",
    ),
    rate_per_s: float = typer.Option(320.0, help="Requests per second."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
    check: bool = typer.Option(
        False, help="Exit with status 1 on a regression from the recorded baseline."
    ),
) -> None:
    """Measure the latency and processor time that nodes add to a request."""
    figures = measure(rounds, rate_per_s)
    print(json.dumps(figures, indent=2) if as_json else _format_table(figures))
    if not check:
        return
    exceeded = regressions(figures["ratios"], json.loads(BASELINE_PATH.read_text()))
    for sentence in exceeded:
        print(sentence)
    raise typer.Exit(1 if exceeded else 0)


if __name__ == "__main__":
    typer.run(main)
