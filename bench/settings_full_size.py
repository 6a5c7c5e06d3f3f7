"""Cost of one change in settings of full size, and time for a node to join.

For `bench.settings`.
"""

import json
import random
import time
from pathlib import Path
from typing import Any

from balsamspindle.platform.store import HttpTableService
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.settings.pages import pages_of_documents
from balsamspindle.settings.reader_selection import is_reader
from balsamspindle.settings.rows import next_chain
from balsamspindle.settings.store import (
    Credentials,
    Edit,
    SettingsStore,
    new_operation_id,
)
from balsamspindle.timeline import parse_event
from balsamspindle.wire.settings_messages import SettingsDelta
from bench.percentiles import percentile
from tests.settings_network import History, Network
from tests.utils import Fleet, NodeProgram, wait_until

__all__ = ["measure_change", "measure_fan_out", "measure_join"]

SEED = 1
ZONES = 2
FLEET_ZONES = 23
FAN_OUT_ROUNDS = 30
SERVICES, ROUTES, TEAMS = 6_500, 49_000, 650
CHANGES = 200
CHANGES_PER_DAY = 45_000
DAY_S = 86_400


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


def measure_fan_out(count: int) -> dict[str, Any]:
    """Simulate how one change spreads among `count` nodes, without sockets.

    Returns the percentage of the nodes that notices reach, and the bytes and messages
    that a node receives. Only notices and pulls are simulated and counted. In a real
    fleet, a node that no notice reaches would learn the revision from the next message
    between members. Bytes are those of the payload, without the envelope.
    """
    network = Network(count, zones=FLEET_ZONES)
    for configuration in network.configurations:
        configuration.offer(0, {})
    network.run(2)
    network.received_bytes = [0] * count
    network.received = [0] * count
    by_zone: dict[str, list] = {}
    for record in network.records:
        by_zone.setdefault(record.availability_zone, []).append(record)
    path, document = _route(0, 1000.0)
    change = History().change({path: document})
    for record, configuration in zip(
        network.records, network.configurations, strict=True
    ):
        if is_reader(record, by_zone[record.availability_zone]):
            configuration.apply([change])
    network.run(FAN_OUT_ROUNDS)
    reached = sum(current.revision == 1 for current in network.configurations)
    return {
        "nodes": count,
        "reached_by_notices_percent": round(reached / count * 100, 2),
        "received_bytes_mean": round(sum(network.received_bytes) / count),
        "received_bytes_p99": percentile(network.received_bytes, 0.99),
        "messages_mean": round(sum(network.received) / count, 1),
    }


def measure_join(count: int) -> dict[str, Any]:
    """Measure the time for nodes to join a fleet with settings of full size."""
    with Fleet() as fleet:
        platform = fleet.start_platform()
        _store_all(SettingsStore(HttpTableService(fleet.platform_address)))
        nodes = [fleet.start_node(f"node-{n}", f"zone-{n % ZONES}") for n in range(2)]
        _wait_joined(nodes)
        nodes += [
            fleet.start_node(f"node-{n}", f"zone-{n % ZONES}") for n in range(2, count)
        ]
        platform_up = _wait_joined(nodes)
        platform.kill()
        joiner = fleet.start_node("joiner", "zone-0")
        platform_down = _wait_joined([joiner])
        resident_mb = _resident_mb(joiner.process.pid)
        return {
            "nodes": count,
            "platform_up": platform_up,
            "platform_down": platform_down,
            "resident_mb": round(resident_mb, 1),
        }


def _store_all(store: SettingsStore) -> None:
    by_team: dict[str, dict[str, Any]] = {}
    for path, document in _documents().items():
        team = path.partition("/")[0]
        by_team.setdefault(team, {})[path] = json.loads(document)
    for team, documents in by_team.items():
        result = store.apply(Edit(team, documents, new_operation_id()), Credentials())
        assert result.is_ok(), result


def _wait_joined(nodes: list[NodeProgram]) -> list[dict[str, Any]]:
    """Wait until all nodes have settings, and return how each node got them.

    For each node: the source of its first settings, and the seconds from the node's
    start until they were in force.
    """
    joined = []
    for node in nodes:
        wait_until(lambda node=node: node.revision() >= TEAMS, "settings", 120.0)
        lines = wait_until(
            lambda node=node: _join_lines(node), "settings_in_force event", 10.0
        )
        events = [parse_event(line) for line in lines]
        started_s, in_force_s = (float(event["wall_s"]) for event in events)
        joined.append(
            {"source": events[1]["source"], "s": round(in_force_s - started_s, 1)}
        )
    return joined


def _join_lines(node: NodeProgram) -> list[str] | None:
    lines = node.log_path.read_text().splitlines()
    started = [line for line in lines if "event=node_started" in line]
    in_force = [line for line in lines if "event=settings_in_force" in line]
    return [started[0], in_force[0]] if started and in_force else None


def _resident_mb(process: int | str = "self") -> float:
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def measure_change() -> dict[str, float]:
    """Measure one change and a rebuild of the whole configuration, at full size.

    Returns processor times, the resident memory of the configuration, and the number
    and sizes of the settings pages.
    """
    rng = random.Random(SEED)
    before_mb = _resident_mb()
    current = CurrentConfiguration()
    documents = _documents()
    start_s = time.process_time()
    current.offer(0, documents)
    rebuild_s = time.process_time() - start_s
    del documents
    resident_mb = _resident_mb() - before_mb
    change_cpu_s = []
    chain = ""
    for revision in range(1, CHANGES + 1):
        previous, chain = chain, next_chain(chain, str(revision))
        path, document = _route(rng.randrange(ROUTES), 1000.0 + revision)
        delta = SettingsDelta(revision, previous, chain, {path: document})
        start_s = time.process_time()
        applied = current.apply([delta])
        change_cpu_s.append(time.process_time() - start_s)
        assert applied is ApplyResult.IN_FORCE
    start_s = time.process_time()
    pages = pages_of_documents(current.get().documents)
    pages_s = time.process_time() - start_s
    changes_per_s = CHANGES_PER_DAY / DAY_S
    mean_s = sum(change_cpu_s) / len(change_cpu_s)
    return {
        "services": SERVICES,
        "routes": ROUTES,
        "rebuild_cpu_ms": round(rebuild_s * 1000, 1),
        "change_cpu_ms_p50": round(percentile(change_cpu_s, 0.5) * 1000, 2),
        "change_cpu_ms_p99": round(percentile(change_cpu_s, 0.99) * 1000, 2),
        "core_percent_with_changes": round(mean_s * changes_per_s * 100, 2),
        "core_percent_with_rebuilds": round(rebuild_s * changes_per_s * 100, 2),
        "resident_mb": round(resident_mb, 1),
        "pages": len(pages),
        "pages_kb": round(sum(map(len, pages)) / 1000),
        "page_max_kb": round(max(map(len, pages)) / 1000, 1),
        "pages_cpu_ms": round(pages_s * 1000, 1),
    }
