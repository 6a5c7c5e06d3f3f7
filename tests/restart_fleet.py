"""A fleet whose nodes and backend servers are replaced while callers use it."""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from tests.utils import Fleet, NodeProgram, free_address, wait_until

__all__ = ["SERVICES", "SHUTDOWN_TIMEOUT_S", "SLOTS", "WORKS", "RestartFleet", "Work"]

# Nodes have their backend servers in turn, so that requests of one half of the
# callers are for another node's backend server.
SERVICES = ("front", "back")
SHUTDOWN_TIMEOUT_S = 4.0
# More than a fleet's callers use, also when only a few backend servers are left.
SLOTS = 256
# Nodes of each service that are left alone at any time, with their backend servers.
WELL_MIN = 1
PLACE_TIMEOUT_S = 60.0
END_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 40.0
# From a node's or backend server's return until all others count on it.
SETTLE_S = 1.5
BURST_PAUSE_S = 0.05
# Characters of a log's end.
LOG_SHOWN = 500


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


# Some of it lasts longer than a node's time for an orderly end.
WORKS = [
    Work(service, f"{service}-{name}", *kind)
    for service in SERVICES
    for name, *kind in (
        ("read", True, 60, 4_000),
        ("sign", False, 60, 4_000),
        ("query", True, 5_500, 25_000, 6),
        ("build", False, 2_000, 15_000),
        ("render", False, 5_500, 25_000),
    )
]
ROUTES = {
    f"crew/routes/{work.name}": {
        "service": f"crew/{work.service}",
        "execution": "idempotent" if work.is_idempotent else "non_idempotent",
        "path_prefix": f"/{work.name}",
        "methods": ["POST"],
        "timeout_ms": work.timeout_ms,
    }
    for work in WORKS
}


class Outage(NamedTuple):
    """When a node or the backend server beside it is not counted on.

    Attributes
    ----------
    from_s, to_s : float
        Wall time, from the signal until the settled return.
    """

    target: str
    kind: str
    from_s: float
    to_s: float

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
        names = [f"n{number}" for number in range(nodes)]
        self.services = {n: SERVICES[i % 2] for i, n in enumerate(names)}
        self.nodes: dict[str, NodeProgram] = {}
        self.servers = {}
        self.outages: list[Outage] = []
        self._out: set[str] = set()
        self._changed = threading.Condition()
        self._settings_lock = threading.Lock()

    def start(self) -> None:
        """Start all programs and wait for them."""
        self.start_platform()
        self.put_settings({f"crew/services/{name}": {} for name in SERVICES} | ROUTES)
        for number, name in enumerate(self.services):
            self.nodes[name] = self.start_node(
                name, f"zone-{number // 2 % 2}", shutdown_timeout_s=SHUTDOWN_TIMEOUT_S
            )
            self._start_server(name, free_address())
        self.wait_all_ready()

    def wait_all_ready(self) -> None:
        """Wait until each node knows each backend server."""
        ids = [server.name for server in self.servers.values()]
        for name, node in self.nodes.items():
            wait_until(
                lambda node=node: node.is_ready(ids, 1),
                f"{name} is ready",
                READY_TIMEOUT_S,
            )

    def play(self, kind: str, target: str, hold_s: float) -> None:
        """Play one outage to its end, or a burst of changes of settings."""
        if kind == "settings":
            self._change_settings(round(hold_s / BURST_PAUSE_S))
            return
        with self._outage(kind, target):
            node, server = self.nodes[target], self.servers[target]
            match kind:
                case "freeze":
                    server.signal(signal.SIGSTOP)
                    time.sleep(hold_s)
                    server.signal(signal.SIGCONT)
                case "replace":
                    server.stop(END_TIMEOUT_S)
                    self._start_server(target, server.address)
                case "restart":
                    assert node.stop(END_TIMEOUT_S) == 0, f"{target} failed at its end"
                case "kill":
                    node.kill()
                    time.sleep(hold_s)
            if kind in ("restart", "kill"):
                self.nodes[target] = self._add(NodeProgram(node.settings, self.folder))
            wait_until(
                lambda: self._is_back(target), f"{target} is back", READY_TIMEOUT_S
            )
            time.sleep(SETTLE_S)

    @contextmanager
    def _outage(self, kind: str, target: str) -> Iterator[None]:
        """Wait until a node may go, and keep the time until it is back."""
        with self._changed:
            assert self._changed.wait_for(
                lambda: self._may_go(target), PLACE_TIMEOUT_S
            ), f"no place for {kind} of {target}"
            self._out.add(target)
        from_s = time.time()
        yield
        with self._changed:
            self.outages.append(Outage(target, kind, from_s, time.time()))
            self._out.discard(target)
            self._changed.notify_all()

    def _may_go(self, target: str) -> bool:
        of = self.services
        well = {name for name in of if of[name] == of[target]} - self._out
        return target in well and len(well) > WELL_MIN

    def _start_server(self, name: str, address: str) -> None:
        self.servers[name] = self.start_backend(
            f"server-{name}",
            f"crew/{self.services[name]}",
            self.nodes[name],
            address=address,
            slots=SLOTS,
        )

    def _is_back(self, name: str) -> bool:
        node = self.nodes[name]
        assert node.process.poll() is None, (
            f"{name} ended: {node.log_path.read_text()[-LOG_SHOWN:]}"
        )
        status = node.status() or {"accepting": False}
        return status["accepting"] and any(
            record[4] == "ready" for record in status["backend_servers"]
        )

    def _change_settings(self, changes: int) -> None:
        """Write documents in quick succession; no request needs any of them."""
        spare = ROUTES["crew/routes/front-read"] | {"path_prefix": "/spare"}
        with self._settings_lock:
            for number in range(changes):
                documents = {
                    "crew/services/back": {"queue_max": 32 + number},
                    "crew/routes/spare": spare | {"timeout_ms": 1000 + number},
                }
                self.put_settings(documents)
                time.sleep(BURST_PAUSE_S)
