"""Both deployments of today's sizes under faults, as real processes.

::

    python -m bench.deployments --markdown     # both, one after the other
    python -m bench.deployments association --scenario gray

Nodes and stand-ins share one machine and its loopback: latencies between
availability zones are not in it, and two nodes a zone stand before several
backend servers each.
"""

import json
import signal
import threading
import time
import uuid
from contextlib import contextmanager
from typing import Annotated, NamedTuple

import msgspec
import typer

from balsamspindle.load import (
    Arrival,
    FaultPeriod,
    LoadPlan,
    Report,
    run_experiment,
)
from balsamspindle.requests.outcomes import Execution
from tests.utils import Fleet, NodeProgram

__all__ = ["DEPLOYMENTS", "SCENARIOS", "Deployment", "Scenario", "Service"]

NODES_PER_ZONE = 2
WORK_MS = 10
WORKERS = 200
RUN_S = 24.0
FAULT_START_S, FAULT_END_S = 4.0, 18.0
FREEZE_S = 6.0
SETTLE_S = 6.0
GRAY = {"mode": "hang", "delay_s": 20.0, "share": 0.5}
ERRORS = {"mode": "error"}
SLOW = {"mode": "slow", "delay_s": 0.5}
DOWN = {"mode": "down"}


class Service(NamedTuple):
    """One service, its backend servers, and what callers ask of it."""

    name: str
    backend_servers: int
    read_per_s: float
    write_per_s: float
    weight: float


class Deployment(NamedTuple):
    """One user's deployment."""

    team: str
    zones: tuple[str, ...]
    slots: int
    services: tuple[Service, ...]
    threshold: float


DEPLOYMENTS = {
    "association": Deployment(
        "crew",
        ("mvd-puerto", "mvd-centro", "canelones"),
        6,
        (
            Service("board", 6, 20.0, 0.0, 1.0),
            Service("fitness", 6, 15.0, 0.0, 2.0),
            Service("contracts", 10, 10.0, 6.0, 4.0),
        ),
        threshold=5.0,
    ),
    "kelvale": Deployment(
        "stress",
        ("osborne-hall", "malaga-hall", "welshpool-hall", "canning-hall"),
        7,
        (
            Service("support-load", 8, 15.0, 0.0, 1.0),
            Service("sign-off", 8, 8.0, 6.0, 4.0),
            Service("nozzle", 10, 20.0, 0.0, 3.0),
        ),
        threshold=9.0,
    ),
}


class Scenario(NamedTuple):
    """What fails between `FAULT_START_S` and `FAULT_END_S`.

    Attributes
    ----------
    sick : dict or None
        Switch of one backend server of each service.
    """

    name: str
    sick: dict | None = None
    flap_period_s: float | None = None
    platform: dict | None = None
    freezes_zone: bool = False


SCENARIOS = (
    Scenario("healthy"),
    Scenario("gray", GRAY),
    Scenario("errors", ERRORS),
    Scenario("slow", SLOW),
    Scenario("flapping", ERRORS, flap_period_s=4.0),
    Scenario("platform down, gray", GRAY, platform=DOWN),
    Scenario("zone frozen", freezes_zone=True),
)


def settings(deployment: Deployment) -> dict[str, dict]:
    """Return the settings documents of a deployment."""
    documents: dict[str, dict] = {}
    team = deployment.team
    for service in deployment.services:
        documents[f"{team}/services/{service.name}"] = {
            "floor_fraction": 0.6,
            "detection": {"threshold": deployment.threshold},
        }
        route = {
            "service": f"{team}/{service.name}",
            "path_prefix": f"/{service.name}",
            "weight": service.weight,
        }
        documents[f"{team}/routes/{service.name}-read"] = {
            **route,
            "execution": "idempotent",
            "methods": ["GET"],
        }
        documents[f"{team}/routes/{service.name}-write"] = {
            **route,
            "execution": "non_idempotent",
            "methods": ["POST"],
        }
    return documents


def arrivals(deployment: Deployment) -> list[Arrival]:
    """Return what callers send."""
    found = []
    for service in deployment.services:
        path, weight = f"/{service.name}", service.weight
        read = Arrival(f"{service.name} read", path, service.read_per_s, weight=weight)
        found.append(read)
        if service.write_per_s:
            found.append(
                Arrival(
                    f"{service.name} write",
                    path,
                    service.write_per_s,
                    Execution.NON_IDEMPOTENT,
                    "POST",
                    weight=weight,
                    body_bytes=400,
                )
            )
    return found


class RunningDeployment:
    """The processes of one deployment."""

    def __init__(self, fleet: Fleet, deployment: Deployment) -> None:
        self.deployment = deployment
        self._fleet = fleet
        fleet.start_platform()
        fleet.put_settings(settings(deployment))
        self.nodes = [
            fleet.start_node(f"{zone}-{number}", zone)
            for number in range(NODES_PER_ZONE)
            for zone in deployment.zones
        ]
        self.backend_servers = {}
        self._beside: dict[str, NodeProgram] = {}
        for service in deployment.services:
            for number in range(service.backend_servers):
                self._start(service, f"{service.name}-{number}", number)
        fleet.wait_ready(self.nodes, self.backend_servers)

    def _start(self, service: Service, name: str, number: int) -> None:
        node = self.nodes[number % len(self.nodes)]
        self._beside[name] = node
        self.backend_servers[name] = self._fleet.start_backend(
            name,
            f"{self.deployment.team}/{service.name}",
            node,
            slots=self.deployment.slots,
            work_ms=WORK_MS,
        )

    def run(self, scenario: Scenario, seed: int) -> Report:
        """Run one scenario."""
        with self._frozen_zone(scenario):
            return run_experiment(self._plan(scenario, seed), uuid.uuid4().hex[:12])

    def _plan(self, scenario: Scenario, seed: int) -> LoadPlan:
        period = FAULT_START_S, FAULT_END_S
        faults = []
        if scenario.sick is not None:
            faults += [
                FaultPeriod(
                    f"{service.name}-0", scenario.sick, *period, scenario.flap_period_s
                )
                for service in self.deployment.services
            ]
        if scenario.platform is not None:
            faults.append(FaultPeriod("platform", scenario.platform, *period))
        return LoadPlan(
            nodes={
                node.settings["node_id"]: node.caller_address for node in self.nodes
            },
            node_admins={
                node.settings["node_id"]: node.admin_address for node in self.nodes
            },
            backend_servers={
                name: server.address for name, server in self.backend_servers.items()
            },
            platform=self._fleet.platform_address,
            arrivals=arrivals(self.deployment),
            duration_s=RUN_S,
            seed=seed,
            faults=faults,
            workers=WORKERS,
        )

    @contextmanager
    def _frozen_zone(self, scenario: Scenario):
        """Stop the last zone's processes for a time, and let them go on."""
        if not scenario.freezes_zone:
            yield
            return
        zone = self.deployment.zones[-1]
        nodes = [n for n in self.nodes if n.settings["availability_zone"] == zone]
        frozen = nodes + [
            server
            for name, server in self.backend_servers.items()
            if self._beside[name] in nodes
        ]
        timers = [
            threading.Timer(FAULT_START_S, _signal, (frozen, signal.SIGSTOP)),
            threading.Timer(
                FAULT_START_S + FREEZE_S, _signal, (frozen, signal.SIGCONT)
            ),
        ]
        for timer in timers:
            timer.start()
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()
            _signal(frozen, signal.SIGCONT)


def _signal(programs, number) -> None:
    for program in programs:
        program.signal(number)


def run_deployment(name: str, scenario: str | None, seed: int) -> dict[str, Report]:
    """Run the scenarios of one deployment and return their reports."""
    reports = {}
    with Fleet() as fleet:
        running = RunningDeployment(fleet, DEPLOYMENTS[name])
        for each in SCENARIOS:
            if scenario in (None, each.name):
                reports[each.name] = running.run(each, seed)
                time.sleep(SETTLE_S)
    return reports


def _markdown(name: str, reports: dict[str, Report]) -> str:
    titles = "scenario | sent | answered, weighted | not_run | unknown | silence |"
    titles += " p99 ms | detection s | false ejections | broken promises"
    lines = [f"| {titles} |", "|" + " --- |" * (titles.count("|") + 1)]
    lines += [f"| {_cells(scenario, report)} |" for scenario, report in reports.items()]
    return f"\n{name}:\n\n" + "\n".join(lines)


def _cells(scenario: str, report: Report) -> str:
    def total(*names: str) -> int:
        return sum(kind.outcomes.get(n, 0) for kind in report.kinds for n in names)

    truth = msgspec.to_builtins(report.truthfulness)
    found = [
        "-" if each.detection_s is None else f"{each.detection_s:.1f}"
        for each in report.detections
    ]
    cells = [
        scenario,
        sum(kind.sent for kind in report.kinds),
        f"{report.answered_weighted:.4f}",
        total("not_run", "not_connected"),
        total("unknown"),
        total("no_answer"),
        f"{max(kind.latency_ms.get('p99', 0) for kind in report.kinds):.0f}",
        ", ".join(found),
        len(report.ejections.false),
        sum(len(broken) for broken in truth.values()),
    ]
    return " | ".join(map(str, cells))


def run(
    deployments: Annotated[list[str] | None, typer.Argument()] = None,
    scenario: str | None = None,
    seed: int = 1,
    markdown: bool = False,
) -> None:
    """Run deployments, one at a time, and print their reports."""
    for name in deployments or DEPLOYMENTS:
        reports = run_deployment(name, scenario, seed)
        if markdown:
            typer.echo(_markdown(name, reports))
        else:
            typer.echo(json.dumps({name: msgspec.to_builtins(reports)}))


if __name__ == "__main__":
    typer.run(run)
