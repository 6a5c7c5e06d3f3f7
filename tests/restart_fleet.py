"""A fleet whose nodes and backend servers are restarted while callers use it."""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from tests.utils import Fleet, NodeProgram, free_address, wait_until

__all__ = [
    "SERVICES",
    "SHUTDOWN_TIMEOUT_S",
    "SLOTS",
    "WORK_CLASSES",
    "RestartFleet",
    "WorkClass",
]

# The nodes' backend servers alternate between the services, so that each ingress
# also gets requests that only the backend server of another node can run.
SERVICES = ("front", "back")
SHUTDOWN_TIMEOUT_S = 4.0
# More than all callers use, even when only a few backend servers are left.
SLOTS = 256
# Nodes of each service that are untouched at any time, with their backend servers.
UNAFFECTED_MIN = 1
TURN_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 40.0
# From the return of a node or backend server until all nodes use it again.
SETTLE_S = 1.5
BURST_PAUSE_S = 0.05
LOG_TAIL_CHARS = 500


class WorkClass(NamedTuple):
    """One class of requests, with a route of its own.

    Attributes
    ----------
    work_ms : int
        Time that a backend server takes for each request.
    timeout_ms : int
        Timeout of the route.
    connections : int
        Number of connections, as a multiple of that of an ordinary class.
    """

    service: str
    name: str
    is_idempotent: bool
    work_ms: int
    timeout_ms: int
    connections: int = 1


# Some of these last longer than `SHUTDOWN_TIMEOUT_S`.
WORK_CLASSES = [
    WorkClass(service, f"{service}-{name}", *kind)
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
    for work in WORK_CLASSES
}


class Outage(NamedTuple):
    """A time in which a node or the backend server beside it may be unavailable.

    Attributes
    ----------
    from_s, to_s : float
        Wall-clock time, from the signal until all nodes use the target again.
    """

    target: str
    kind: str
    from_s: float
    to_s: float

    def covers(self, at_s: float) -> bool:
        """Tell whether a time is within the outage."""
        return self.from_s <= at_s <= self.to_s


class RestartFleet(Fleet):
    """A platform, and nodes with one backend server each.

    Attributes
    ----------
    services : dict of str to str
        Service of the backend server beside each node, by the node's name.
    nodes : dict of str to NodeProgram
        By name.
    servers : dict of str to BackendProgram
        By the name of the node beside them.
    outages : list of Outage
        Outages that have ended.
    """

    def __init__(self, nodes: int) -> None:
        super().__init__()
        names = [f"n{number}" for number in range(nodes)]
        self.services = {n: SERVICES[i % 2] for i, n in enumerate(names)}
        self.nodes: dict[str, NodeProgram] = {}
        self.servers = {}
        self.outages: list[Outage] = []
        self._affected: set[str] = set()
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

    def run_step(self, kind: str, target: str, duration_s: float) -> None:
        """Run one outage to its end, or make a burst of settings changes.

        `duration_s` is how long a freeze, the time after a kill, or the burst lasts.
        """
        if kind == "settings":
            self._change_settings(round(duration_s / BURST_PAUSE_S))
            return
        with self._outage(kind, target):
            node, server = self.nodes[target], self.servers[target]
            match kind:
                case "freeze":
                    server.signal(signal.SIGSTOP)
                    time.sleep(duration_s)
                    server.signal(signal.SIGCONT)
                case "replace":
                    server.stop(STOP_TIMEOUT_S)
                    self._start_server(target, server.address)
                case "restart":
                    assert node.stop(STOP_TIMEOUT_S) == 0, (
                        f"{target} failed to shut down"
                    )
                case "kill":
                    node.kill()
                    time.sleep(duration_s)
            if kind in ("restart", "kill"):
                self.nodes[target] = self._add(NodeProgram(node.settings, self.folder))
            wait_until(
                lambda: self._is_back(target), f"{target} is back", READY_TIMEOUT_S
            )
            time.sleep(SETTLE_S)

    @contextmanager
    def _outage(self, kind: str, target: str) -> Iterator[None]:
        """Wait until a node may be taken down, then record its outage."""
        with self._changed:
            assert self._changed.wait_for(
                lambda: self._may_take_down(target), TURN_TIMEOUT_S
            ), f"no turn for {kind} of {target}"
            self._affected.add(target)
        from_s = time.time()
        yield
        with self._changed:
            self.outages.append(Outage(target, kind, from_s, time.time()))
            self._affected.discard(target)
            self._changed.notify_all()

    def _may_take_down(self, target: str) -> bool:
        services = self.services
        unaffected = {
            name for name in services if services[name] == services[target]
        } - self._affected
        return target in unaffected and len(unaffected) > UNAFFECTED_MIN

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
            f"{name} ended: {node.log_path.read_text()[-LOG_TAIL_CHARS:]}"
        )
        status = node.status() or {"accepting": False}
        return status["accepting"] and any(
            record[4] == "ready" for record in status["backend_servers"]
        )

    def _change_settings(self, changes: int) -> None:
        """Write settings in quick succession that change no caller's requests."""
        spare = ROUTES["crew/routes/front-read"] | {"path_prefix": "/spare"}
        with self._settings_lock:
            for number in range(changes):
                documents = {
                    "crew/services/back": {"queue_max": 32 + number},
                    "crew/routes/spare": spare | {"timeout_ms": 1000 + number},
                }
                self.put_settings(documents)
                time.sleep(BURST_PAUSE_S)
