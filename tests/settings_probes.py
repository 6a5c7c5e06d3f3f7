"""Probes whose answers show which version of the settings handled them.

Each version of the operator's configuration adds a route that all later ones keep for a
while, and moves one route from one service to the other. So a probe of an added route
is refused, and a probe of the moved route is run by the other service, at a node that
handles it by an older version.
"""

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tests.crashing_server import CrashingServer, Run
from tests.persistent_connection import PersistentConnection
from tests.platform_fleet import PlatformNode

__all__ = [
    "HOST",
    "SERVICES",
    "Change",
    "Late",
    "Probe",
    "Probes",
    "configuration",
    "find_late",
    "start_servers",
]

HOST = "crew.example"
SERVICES = ("crew", "desk")
MOVED_TARGET = "/moved/1"
# Number of versions that keep an added route. It is more than come in the time for
# which a node may be behind and a probe may wait.
ADDED_KEPT = 150
PROBE_INTERVAL_S = (0.02, 0.2)
WORK_S, SLOTS = 0.002, 64


class Change(NamedTuple):
    """A version, when the operator began to write it, and when the store confirmed it.

    Both are times on the monotonic clock.
    """

    version: int
    written_s: float
    confirmed_s: float


class Probe(NamedTuple):
    """A probe and its answer; times are on the monotonic clock.

    Attributes
    ----------
    added : int or None
        Version whose added route was probed; None for the moved route.
    status : int
        0 without an answer.
    """

    request_id: str
    node: int
    sent_s: float
    ended_s: float
    added: int | None
    status: int


class Late(NamedTuple):
    """A probe that was handled as only versions allow that had to be replaced by then.

    Attributes
    ----------
    verb : str
        ``refused`` or ``run``.
    required : int
        Newest version that had to be in force.
    behind_s : float
        Time from the confirmation of that version to the probe.
    """

    probe: Probe
    verb: str
    required: int
    behind_s: float


class Probes:
    """Sends probes to all nodes, on connections that stay open until nodes end.

    Parameters
    ----------
    changes : list of Change
        All changes that were confirmed; may grow meanwhile.
    bound_s : float
        Time after a confirmation within which a version is in force.

    Attributes
    ----------
    sent : list of Probe
    """

    def __init__(
        self, nodes: list[PlatformNode], changes: list[Change], bound_s: float
    ) -> None:
        self._nodes, self._changes, self._bound_s = nodes, changes, bound_s
        self._numbers = itertools.count()
        self.sent: list[Probe] = []

    def run(self, number: int, seed: float, stopped: threading.Event) -> None:
        """Probe one node until `stopped`."""
        rng = random.Random(f"{seed}/{number}")
        connection = PersistentConnection(self._nodes[number].caller_address, HOST)
        while not stopped.wait(rng.uniform(*PROBE_INTERVAL_S)):
            added = self._added() if rng.random() < 0.5 else None
            target = MOVED_TARGET if added is None else f"/added-{added:x}/1"
            request_id = f"{next(self._numbers):016x}"
            sent_s = time.monotonic()
            status, _ = connection.send(target, request_id)
            self.sent.append(
                Probe(request_id, number, sent_s, time.monotonic(), added, status)
            )

    def _added(self) -> int | None:
        """Return the newest version that has to be in force; None if there is none."""
        due_s = time.monotonic() - self._bound_s
        return next(
            (
                change.version
                for change in reversed(self._changes)
                if change.confirmed_s < due_s
            ),
            None,
        )


def find_late(
    probes: Iterable[Probe],
    changes: list[Change],
    runs: dict[str, list[Run]],
    bound_s: float,
    is_in_touch: Callable[[Probe], bool],
) -> tuple[list[Late], int]:
    """Return the late probes, and the number of probes that would show lateness.

    Parameters
    ----------
    runs : dict of str to list of Run
        All runs of the backend servers by service.
    bound_s : float
        A probe that is sent later than this after a version's confirmation must be
        handled by this version or a newer one.
    is_in_touch : callable
        Returns whether the bound holds for the node of a probe.
    """
    service_of = {run.request_id: service for service in runs for run in runs[service]}
    late, shown = [], 0
    for probe in probes:
        due = [one for one in changes if one.confirmed_s + bound_s < probe.sent_s]
        if not due or not is_in_touch(probe):
            continue
        required = due[-1]
        allowed = {_service(required.version)} | {
            _service(one.version)
            for one in changes
            if one.version > required.version and one.written_s < probe.ended_s
        }
        service = service_of.get(probe.request_id)
        is_refused = probe.added is not None and probe.status == 404
        is_run_by_older = (
            probe.added is None and service is not None and service not in allowed
        )
        shown += probe.added is not None or len(allowed) == 1
        if is_refused or is_run_by_older:
            verb = "refused" if is_refused else "run"
            behind_s = probe.sent_s - required.confirmed_s
            late.append(Late(probe, verb, required.version, behind_s))
    return late, shown


def start_servers(nodes: list[PlatformNode], count: int) -> dict[str, list]:
    """Start backend servers beside the first nodes; return them by service."""
    servers: dict[str, list] = {service: [] for service in SERVICES}
    for number, node in enumerate(nodes[:count]):
        service = SERVICES[number % len(SERVICES)]
        servers[service].append(
            CrashingServer(
                node.announce_address,
                service,
                SLOTS,
                lambda _: WORK_S,
                lambda _: None,
                down_s=0.0,
            )
        )
    return servers


def configuration(version: int, routes: int) -> dict:
    """Return a version of the operator's configuration with so many other routes."""
    added = range(max(1, version - ADDED_KEPT + 1), version + 1)
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": service, "health_path": "/health"} for service in SERVICES
        ],
        "routes": [
            _route(f"/{number:x}/", f"r{number}-{version if not number else 0}")
            for number in range(routes)
        ]
        + [_route(f"/added-{one:x}/", f"added-{one}") for one in added]
        + [_route("/moved/", "moved", _service(version))],
    }


def _service(version: int) -> str:
    return SERVICES[version % len(SERVICES)]


def _route(prefix: str, name: str, service: str = SERVICES[0]) -> dict:
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout": "5s",
        "target_latency": "2s",
        "retry_attempts": 3,
        "service": service,
    }
