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

# Every other node has a backend server of the first service, and the rest of the
# second. Each ingress therefore also receives requests for a service that only
# backend servers beside other nodes can run.
SERVICES = ("front", "back")
SHUTDOWN_TIMEOUT_S = 4.0
# Slots of each backend server: enough for all callers when few backend servers
# remain.
SLOTS = 256
# Minimum number of nodes of each service that have no outage at any time; their
# backend servers have none, either.
UNAFFECTED_MIN = 1
OUTAGE_START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 40.0
# Time from the start of a node or backend server until all nodes use it again.
SETTLE_S = 1.5
BURST_PAUSE_S = 0.05
LOG_TAIL_CHARS = 500


class WorkClass(NamedTuple):
    """One class of requests, with a route of its own.

    Attributes
    ----------
    work_ms : int
        Time that a backend server works on each request.
    timeout_ms : int
        Timeout of the route.
    connections : int
        Number of connections, as a multiple of the usual number per class.
    """

    service: str
    name: str
    is_idempotent: bool
    work_ms: int
    timeout_ms: int
    connections: int = 1


# The work of some classes lasts longer than `SHUTDOWN_TIMEOUT_S`.
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
        Wall-clock time of the signal, and from which on all nodes use the target
        again.
    """

    target: str
    kind: str
    from_s: float
    to_s: float

    def covers(self, at_s: float) -> bool:
        """Return whether a wall-clock time is within the outage."""
        return self.from_s <= at_s <= self.to_s


class RestartFleet(Fleet):
    """A platform, and nodes with one backend server each.

    Attributes
    ----------
    services : dict of str to str
        Service of the backend server beside each node, by the node's name.
    nodes : dict of str to NodeProgram
        Nodes by name.
    servers : dict of str to BackendProgram
        Backend servers by the name of the node beside them.
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
        """Start the platform, nodes and backend servers; wait until they are ready."""
        self.start_platform()
        self.put_settings({f"crew/services/{name}": {} for name in SERVICES} | ROUTES)
        for number, name in enumerate(self.services):
            self.nodes[name] = self.start_node(
                name, f"zone-{number // 2 % 2}", shutdown_timeout_s=SHUTDOWN_TIMEOUT_S
            )
            self._start_server(name, free_address())
        self.wait_all_ready()

    def wait_all_ready(self) -> None:
        """Wait until each node accepts callers and knows all backend servers."""
        ids = [server.name for server in self.servers.values()]
        for name, node in self.nodes.items():
            wait_until(
                lambda node=node: node.is_ready(ids, 1),
                f"{name} is ready",
                READY_TIMEOUT_S,
            )

    def run_step(self, kind: str, target: str, duration_s: float) -> None:
        """Run one outage to its end, or make a burst of settings changes.

        Parameters
        ----------
        kind : str
            "freeze" and "replace" affect the backend server beside the node `target`,
            "restart" and "kill" the node. "settings" makes the burst.
        duration_s : float
            Length of a freeze or burst, or time from a kill to the node's new start.
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
                        f"{target} did not exit with status 0"
                    )
                case "kill":
                    node.kill()
                    time.sleep(duration_s)
            if kind in ("restart", "kill"):
                self.nodes[target] = self._add(NodeProgram(node.settings, self.folder))
            wait_until(
                lambda: self._is_back(target),
                f"{target} is ready again",
                READY_TIMEOUT_S,
            )
            time.sleep(SETTLE_S)

    @contextmanager
    def _outage(self, kind: str, target: str) -> Iterator[None]:
        """Wait until a node may have an outage; record the outage when it ends."""
        with self._changed:
            assert self._changed.wait_for(
                lambda: self._may_take_down(target), OUTAGE_START_TIMEOUT_S
            ), f"{kind} of {target} could not begin in time"
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
        """Write `changes` settings changes in quick succession.

        They don't affect the routes that callers use.
        """
        spare = ROUTES["crew/routes/front-read"] | {"path_prefix": "/spare"}
        with self._settings_lock:
            for number in range(changes):
                documents = {
                    "crew/services/back": {"queue_max": 32 + number},
                    "crew/routes/spare": spare | {"timeout_ms": 1000 + number},
                }
                self.put_settings(documents)
                time.sleep(BURST_PAUSE_S)
