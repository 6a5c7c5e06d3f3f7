"""A fleet whose nodes and backend servers are replaced while callers use it."""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from tests.utils import (
    BackendProgram,
    Fleet,
    NodeProgram,
    free_address,
    wait_until,
)

__all__ = [
    "SERVICES",
    "SHUTDOWN_TIMEOUT_S",
    "SLOTS",
    "WORKS",
    "Outage",
    "RestartFleet",
    "Work",
]

# Nodes have their backend servers in turn, so that requests of one half of the
# callers are for another node's backend server.
SERVICES = ("front", "back")
SHUTDOWN_TIMEOUT_S = 4.0
# More than a fleet's callers use, also when only a few backend servers are left.
SLOTS = 128
# Nodes of each service that are left alone at any time, with their backend servers.
WELL_MIN = 1
PLACE_TIMEOUT_S = 60.0
END_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 40.0
# From a node's or backend server's return until all others count on it.
SETTLE_S = 1.5
BURST_PAUSE_S = 0.05


class Work(NamedTuple):
    """One class of callers' requests, with a route of its own.

    Attributes
    ----------
    work_ms : int
        Time that a backend server takes for each.
    timeout_ms : int
        Of the route.
    connections : int
        Of its callers, as a multiple of other classes'.
    """

    service: str
    name: str
    is_idempotent: bool
    work_ms: int
    timeout_ms: int
    connections: int = 1

    @property
    def path(self) -> str:
        """Prefix of its route."""
        return f"/{self.service}/{self.name}"


# Some of it lasts longer than a node's time for an orderly end.
WORKS = [
    Work(service, *kind)
    for service in SERVICES
    for kind in (
        ("read", True, 60, 4_000),
        ("sign", False, 60, 4_000),
        ("query", True, 5_500, 25_000, 3),
        ("build", False, 2_000, 15_000),
        ("render", False, 5_500, 25_000),
    )
]
SETTINGS = {f"crew/services/{service}": {} for service in SERVICES} | {
    f"crew/routes/{work.service}-{work.name}": {
        "service": f"crew/{work.service}",
        "execution": "idempotent" if work.is_idempotent else "non_idempotent",
        "path_prefix": work.path,
        "methods": ["POST"],
        "timeout_ms": work.timeout_ms,
    }
    for work in WORKS
}


class Outage(NamedTuple):
    """A time in which a node and the backend server beside it are not counted on.

    Attributes
    ----------
    from_s, to_s : float
        Wall time, from the signal until the settled return.
    """

    target: str
    kind: str
    from_s: float
    to_s: float

    @property
    def is_planned(self) -> bool:
        """Whether callers should not notice it."""
        return self.kind in ("restart", "replace")

    def lasts(self, at_s: float) -> bool:
        """Tell whether it lasts at a time."""
        return self.from_s <= at_s <= self.to_s


class RestartFleet(Fleet):
    """Platform, and nodes with one backend server each.

    Attributes
    ----------
    services : dict of str to str
        Of the backend server beside each node.
    outages : list of Outage
        Those that are over.
    """

    def __init__(self, nodes: int) -> None:
        super().__init__()
        self.nodes: dict[str, NodeProgram] = {}
        self.servers: dict[str, BackendProgram] = {}
        self.services: dict[str, str] = {}
        self.outages: list[Outage] = []
        self._out: set[str] = set()
        self._changed = threading.Condition()
        self._settings_lock = threading.Lock()
        try:
            self._start(nodes)
        except BaseException:
            self.__exit__()
            raise

    def _start(self, nodes: int) -> None:
        self.start_platform()
        self.put_settings(SETTINGS)
        for number in range(nodes):
            name = f"n{number}"
            self.nodes[name] = self.start_node(
                name, f"zone-{number // 2 % 2}", shutdown_timeout_s=SHUTDOWN_TIMEOUT_S
            )
            self.services[name] = SERVICES[number % 2]
            self._start_server(name, free_address())
        self.wait_whole()

    def wait_whole(self) -> None:
        """Wait until each node knows each backend server."""
        ids = [server.name for server in self.servers.values()]
        for node in self.nodes.values():
            wait_until(
                lambda node=node: node.is_ready(ids, 1),
                f"{node.settings['node_id']} is ready",
                READY_TIMEOUT_S,
            )

    def play(self, kind: str, target: str, hold_s: float) -> None:
        """Play one outage or change to its end."""
        match kind:
            case "restart":
                with self._outage(kind, target):
                    status = self.nodes[target].stop(END_TIMEOUT_S)
                    assert status == 0, f"{target} ended with {status}"
                    self._start_again(target)
            case "kill":
                with self._outage(kind, target):
                    self.nodes[target].kill()
                    time.sleep(hold_s)
                    self._start_again(target)
            case "replace":
                with self._outage(kind, target):
                    server = self.servers[target]
                    server.stop(END_TIMEOUT_S)
                    self._start_server(target, server.address)
                    self._wait_back(target)
            case "freeze":
                with self._outage(kind, target):
                    self.servers[target].signal(signal.SIGSTOP)
                    time.sleep(hold_s)
                    self.servers[target].signal(signal.SIGCONT)
            case "settings":
                self._change_settings(round(hold_s / BURST_PAUSE_S))

    @contextmanager
    def _outage(self, kind: str, target: str) -> Iterator[None]:
        """Wait until a node may go, and keep the time until it is back."""
        with self._changed:
            assert self._changed.wait_for(
                lambda: self._may_go(target), PLACE_TIMEOUT_S
            ), f"no place for {kind} of {target}"
            self._out.add(target)
        from_s = time.time()
        try:
            yield
        finally:
            with self._changed:
                self.outages.append(Outage(target, kind, from_s, time.time()))
                self._out.discard(target)
                self._changed.notify_all()

    def _may_go(self, target: str) -> bool:
        peers = [n for n, of in self.services.items() if of == self.services[target]]
        well = set(peers) - self._out
        return target in well and len(well) > WELL_MIN

    def _start_server(self, name: str, address: str) -> None:
        self.servers[name] = self.start_backend(
            f"server-{name}",
            f"crew/{self.services[name]}",
            self.nodes[name],
            address=address,
            slots=SLOTS,
        )

    def _start_again(self, name: str) -> None:
        self.nodes[name] = self._add(
            NodeProgram(self.nodes[name].settings, self.folder)
        )
        self._wait_back(name)

    def _wait_back(self, name: str) -> None:
        wait_until(lambda: self._is_back(name), f"{name} is back", READY_TIMEOUT_S)
        time.sleep(SETTLE_S)

    def _is_back(self, name: str) -> bool:
        status = self.nodes[name].status() or {"backend_servers": [], "accepting": 0}
        return status["accepting"] and any(
            record[4] == "ready" for record in status["backend_servers"]
        )

    def _change_settings(self, changes: int) -> None:
        """Write documents in quick succession; no request needs any of them."""
        with self._settings_lock:
            for number in range(changes):
                spare = SETTINGS["crew/routes/front-read"] | {
                    "path_prefix": f"/spare-{number}",
                    "timeout_ms": 1000 + number,
                }
                self.put_settings(
                    {
                        "crew/services/back": {"queue_max": 32 + number},
                        "crew/routes/spare": spare,
                    }
                )
                time.sleep(BURST_PAUSE_S)
