"""A fleet of nodes and backend servers, each from one of two checkouts."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from tests.utils import HttpAnswer, call, free_address, try_call, wait_until

SERVICE, FRAGILE_SERVICE = "crew/contracts", "crew/fragile"
KEY_HEADER, RUN_HEADER = "Idempotency-Key", "X-Run-Key"
CUSTOMER_HEADER = "X-Balsamspindle-Key"
PROOF_MAX_AGE_S = 3.0
ROUTE = {"service": SERVICE, "path_prefix": "/contracts", "timeout_ms": 3000}
DOCUMENTS = {
    "crew/services/contracts": {
        "floor_fraction": 0.5,
        "detection": {"threshold": 7.0, "hold_out_s": 2.0, "trial_successes": 3},
    },
    "crew/routes/read": {**ROUTE, "execution": "idempotent", "methods": ["GET"]},
    "crew/routes/sign": {**ROUTE, "execution": "non_idempotent", "methods": ["POST"]},
    "crew/services/fragile": {},
    "crew/routes/fragile": {
        **ROUTE,
        "service": FRAGILE_SERVICE,
        "path_prefix": "/fragile",
        "execution": "idempotent",
        "methods": ["GET"],
    },
    "crew/routes/customers": {
        **ROUTE,
        "path_prefix": "/customers",
        "execution": "idempotent",
        "methods": ["GET"],
        "allows_anonymous": False,
    },
}
CRASHING_TARGET = "/fragile/crashes"
CRASH_AFTER_S, DOWN_S = 0.08, 0.8
READY_TIMEOUT_S = 40.0


class Process:
    """A process that runs a module of one build, until `stop` or `kill`.

    `start` starts it again with the same arguments.
    """

    def __init__(self, build: Path, module: str, arguments, log: Path) -> None:
        self.build, self.log = build, log
        self._arguments = ["-m", f"balsamspindle.cli.{module}", *arguments]
        self.start()

    def start(self) -> None:
        """Start the process with the modules of `build`."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=log,
                cwd=self.build,
                env=environment(self.build),
            )

    def stop(self) -> int:
        """Send SIGTERM, wait for the end of the process, and return its exit status."""
        self._process.terminate()
        return self._process.wait(40.0)

    def kill(self) -> None:
        """Send SIGKILL unless the process has ended, and wait for it."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
        self._process.wait()


def environment(build: Path) -> dict[str, str]:
    """Return environment variables with which Python imports modules of a build."""
    return {**os.environ, "PYTHONPATH": str(build)}


class Node(Process):
    """A node of a build and its addresses."""

    def __init__(self, build: Path, name: str, fleet: "MixedFleet") -> None:
        names = ("caller", "link", "member", "admin")
        addresses = {f"{one}_address": free_address() for one in names}
        self.name, self.caller = name, addresses["caller_address"]
        self.admin, self.member = (
            addresses["admin_address"],
            addresses["member_address"],
        )
        settings = {
            "node_id": name,
            "region": "test",
            "availability_zone": f"zone-{name[-1]}",
            "platform_address": fleet.store,
            "seed_addresses": [node.member for node in fleet.nodes],
            "key_proof_max_age_s": PROOF_MAX_AGE_S,
            "shutdown_timeout_s": 5.0,
            **addresses,
        }
        path = fleet.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        super().__init__(
            build, "node", ["--settings", str(path)], fleet.folder / f"{name}.log"
        )

    def status(self) -> dict:
        """Return the node's `/status`; empty if the node does not answer."""
        answer = try_call(self.admin, "/status", timeout_s=2)
        return answer.json() if answer and answer.status == 200 else {}

    def explanation(self) -> dict[str, dict]:
        """Return the node's explanation of each backend server of `SERVICE`, by id."""
        page = call(self.admin, f"/services/{SERVICE}/explain").json()
        return {one["backend_server_id"]: one for one in page["backend_servers"]}

    def send(self, target: str, method: str = "GET", **headers: str) -> HttpAnswer:
        """Send one request; return its answer, with status 0 if there is none."""
        # A quarantine applies to one host and target. Without this header, the host
        # would be the address of the node, and thus differ between nodes.
        headers = {"Host": "crew.example", **headers}
        answer = try_call(self.caller, target, method, b"", headers, 8.0)
        return answer or HttpAnswer(0, {}, b"")


class CrashingServer:
    """A backend server that crashes at requests for `CRASHING_TARGET` and restarts."""

    def __init__(self, name: str, node: Node) -> None:
        self._name, self._node, self._starts = name, node, 0
        self._connections: set[socket.socket] = set()
        self.crashes = 0
        self.is_stopped = False
        self._start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _start(self) -> None:
        self._starts += 1
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def _announce(self) -> None:
        while not self.is_stopped:
            listener = self._listener
            if listener is not None:
                body = {
                    "service": FRAGILE_SERVICE,
                    "address": "{}:{}".format(*listener.getsockname()),
                    "slots": 4,
                    "boot_id": f"start-{self._starts}",
                }
                path = f"/backend-servers/{self._name}"
                data = json.dumps(body).encode()
                kind = {"Content-Type": "application/json"}
                try_call(self._node.admin, path, "PUT", data, kind, 1.0)
            time.sleep(0.3)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    chunk = connection.recv(65536)
                    if not chunk:
                        return
                    data += chunk
                if CRASHING_TARGET.encode() in data:
                    time.sleep(CRASH_AFTER_S)
                    self.crash()
                    return
                data = b""
                body = json.dumps({"server": self._name}).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                connection.sendall(head.encode() + body)
        except OSError:
            # The simulated crash closed the connection.
            return

    def crash(self) -> None:
        """Close the listener and all connections; start again after `DOWN_S`."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        self.crashes += 1
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The peer has already closed the connection.
                pass
            connection.close()
        self._connections.clear()
        if not self.is_stopped:
            threading.Timer(DOWN_S, self._start).start()

    def stop(self) -> None:
        """Crash without a restart, and stop the announcements."""
        self.is_stopped = True
        self.crash()


class MixedFleet:
    """The stand-in platform, nodes of two builds, and backend servers beside them.

    The stand-in platform runs from `build`.
    """

    def __init__(self, folder: Path, build: Path) -> None:
        self.folder, self.store = folder, free_address()
        self.nodes: list[Node] = []
        self.servers: dict[str, str] = {}
        self.crashing_servers: list[CrashingServer] = []
        self._processes: list[Process] = []
        self._add(Process(build, "standin_platform", ["--address", self.store],
                          folder / "store.log"))  # fmt: skip
        wait_until(lambda: try_call(self.store, "/counts"), "the store answers")

    def _add(self, process):
        self._processes.append(process)
        return process

    def start_node(self, build: Path, name: str) -> Node:
        """Start a node from a build, without waiting for it."""
        node = self._add(Node(build, name, self))
        self.nodes.append(node)
        return node

    def start_server(self, build: Path, node: Node) -> None:
        """Start a stand-in backend server beside a node."""
        name, address = f"server-{node.name}", free_address()
        arguments = ["--name", name, "--address", address, "--service", SERVICE]
        arguments += ["--node-admin", node.admin, "--work-ms", "5", "--slots", "8"]
        self._add(
            Process(build, "standin_backend", arguments, self.folder / f"{name}.log")
        )
        self.servers[name] = address

    def start_crashing_server(self, node: Node) -> None:
        """Start a `CrashingServer` beside a node."""
        self.crashing_servers.append(CrashingServer(f"crashing-{node.name}", node))

    def wait_ready(self, nodes=None) -> None:
        """Wait until nodes accept callers, know all backend servers and serve requests.

        `nodes` is by default all nodes of the fleet.
        """
        count = len(self.servers)
        for node in nodes or self.nodes:
            wait_until(
                lambda node=node: (
                    node.status().get("accepting")
                    and len(node.explanation()) >= count
                    and node.send("/contracts/ready").status == 200
                    and (
                        not self.crashing_servers
                        or node.send("/fragile/ready").status == 200
                    )
                ),
                f"{node.name} is ready",
                READY_TIMEOUT_S,
            )

    def ctl(self, build: Path, *words: str, text: str | None = None) -> str:
        """Run a build's operators' tool with `text` as input; return its output."""
        platform_option = ["--platform", self.store]
        if words[0] not in ("settings", "customers"):
            platform_option = []
        done = subprocess.run(
            [sys.executable, "-m", "balsamspindle.cli.ctl", *words, *platform_option],
            cwd=build,
            env=environment(build),
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 0, f"{words}: {done.stderr or done.stdout}"
        return done.stdout

    def runs(self, run_key: str) -> int:
        """Return how often a request ran at the present stand-in backend servers."""
        line = f"event=run run_key={run_key}"
        logs = [self.folder / f"{name}.log" for name in self.servers]
        return sum(log.read_text().splitlines().count(line) for log in logs)

    def sign(self, node: Node, key: str) -> HttpAnswer:
        """Send a non-idempotent request with an idempotency key."""
        headers = {KEY_HEADER: key, RUN_HEADER: key}
        return node.send(f"/contracts/{key}", "POST", **headers)

    def stop_nodes(self) -> None:
        """Stop all nodes and crashing backend servers; clear all lists of the fleet.

        The other backend servers run until `end`. Fails if the exit status of a node is
        not 0.
        """
        for node in self.nodes:
            assert node.stop() == 0, f"{node.name} did not exit with status 0"
        for server in self.crashing_servers:
            server.stop()
        self.nodes, self.servers, self.crashing_servers = [], {}, []

    def end(self) -> None:
        """Kill all processes and stop all crashing backend servers."""
        for server in self.crashing_servers:
            server.stop()
        for process in self._processes:
            process.kill()
