"""Test fixtures: a fleet of real processes on loopback, and a small HTTP client."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

import msgspec
from testtools import TestCase
from werkzeug.serving import WSGIRequestHandler, make_server

from balsamspindle.standins.platform import StandinPlatform

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
# These are below the ephemeral ports of the kernel. An outgoing connection therefore
# never occupies a port on which a process is about to listen.
FIRST_PORT, LAST_PORT = 18_000, 32_000
# Number of ports that a test process reserves at a time. The process binds the first
# port of this block, and uses the other ports.
BLOCK_PORTS = 50
_reserved_blocks: list[socket.socket] = []
_ports = iter(range(0))


def free_port() -> int:
    """Return a free TCP port from the blocks that this test process has reserved.

    No other test process uses the port, so a test may bind it at any later time, and
    once more after a process that listened there was killed.
    """
    global _ports
    while True:
        port = next(_ports, None)
        if port is None:
            _ports = iter(_reserve_block())
            continue
        with socket.socket() as probe:
            if _try_bind(probe, port):
                return port


def _reserve_block() -> range:
    """Reserve a block of ports until this process ends; return the ports to use."""
    firsts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    start = os.getpid() % len(firsts)
    for first in firsts[start:] + firsts[:start]:
        reservation = socket.socket()
        if _try_bind(reservation, first):
            _reserved_blocks.append(reservation)
            return range(first + 1, first + BLOCK_PORTS)
        reservation.close()
    raise AssertionError("other test processes have reserved all ports")


def _try_bind(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def free_address() -> str:
    """Return a loopback address with a free port, see `free_port`."""
    return f"127.0.0.1:{free_port()}"


def wait_until(condition, what: str, timeout_s: float = READY_TIMEOUT_S):
    """Call `condition` until its value is true, and return that value.

    Raises AssertionError after the timeout; its message says that `what` was awaited.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {timeout_s} s: {what}")


class HttpAnswer(NamedTuple):
    """An HTTP answer; the names in `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str | None:
        """Value of the outcome header, or None without that header."""
        return self.headers.get("x-balsamspindle-outcome")

    def json(self):
        """Decode the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    target: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Send one HTTP request on a new connection and return the answer.

    Raises OSError or HTTPException if no complete answer is received.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return HttpAnswer(response.status, names, response.read())
    finally:
        connection.close()


def try_call(*args, **kwargs) -> HttpAnswer | None:
    """Send one HTTP request as `call` does; return None without a complete answer."""
    try:
        return call(*args, **kwargs)
    except (OSError, http.client.HTTPException):
        return None


class Program:
    """A process that runs a module of `balsamspindle.cli`, started by a test."""

    def __init__(self, module: str, arguments: list[str], log_path: Path) -> None:
        self.log_path = log_path
        with log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"balsamspindle.cli.{module}", *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self, timeout_s: float = 30.0) -> int:
        """Send SIGTERM, wait for the end of the process, and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout_s)

    def kill(self) -> None:
        """Send SIGKILL unless the process has ended, and wait for it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class NodeProgram(Program):
    """A node process and its addresses."""

    def __init__(self, settings: dict, folder: Path) -> None:
        self.settings = settings
        self.caller_address = settings["caller_address"]
        self.admin_address = settings["admin_address"]
        path = folder / f"{settings['node_id']}.json"
        path.write_text(json.dumps(settings))
        super().__init__(
            "node", ["--settings", str(path)], folder / f"{settings['node_id']}.log"
        )

    def status(self) -> dict | None:
        """Return the node's `/status`, or None without an answer."""
        answer = try_call(self.admin_address, "/status", timeout_s=2)
        return answer.json() if answer and answer.status == 200 else None

    def knows_server(self, backend_server_id: str) -> bool:
        """Return whether the node knows a backend server, beside whichever node."""
        status = self.status() or {"nodes": []}
        return any(
            server[0] == backend_server_id
            for node in status["nodes"]
            for server in node["backend_servers"]
        )

    def is_ready(self, backend_ids, revision: int) -> bool:
        """Return whether the node accepts callers and has the settings and servers.

        Parameters
        ----------
        backend_ids : iterable of str
            Ids of the backend servers that the node must know.
        revision : int
            Least revision of the settings in force.

        Raises
        ------
        AssertionError
            When the process has ended.
        """
        if self.process.poll() is not None:
            raise AssertionError(f"the node ended:\n{self.log_path.read_text()}")
        return (
            self.revision() >= revision
            and all(map(self.knows_server, backend_ids))
            and self.accepts()
        )

    def accepts(self) -> bool:
        """Return whether the node accepts connections of callers."""
        status = self.status()
        return status is not None and status["accepting"]

    def revision(self) -> int:
        """Return the revision of the settings in force, -1 without an answer."""
        status = self.status()
        return -1 if status is None else status["settings_revision"]


class BackendProgram(Program):
    """A stand-in backend server process and its address."""

    def __init__(self, name, service, node: NodeProgram, folder: Path, **options):
        self.name = name
        self.address = options.pop("address", None) or free_address()
        arguments = ["--name", name, "--address", self.address]
        arguments += ["--service", service, "--node-admin", node.admin_address]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        super().__init__("standin_backend", arguments, folder / f"{name}.log")

    def set_fault(self, **fields) -> None:
        """Set how the backend server fails callers' requests.

        Takes the fields of the `/faults` request; ``mode="none"`` ends the fault.
        """
        call(self.address, "/faults", "POST", json.dumps(fields).encode())

    def runs(self) -> dict[str, int]:
        """Return how often each run key ran."""
        return call(self.address, "/runs").json()["runs"]


class Fleet:
    """The processes of a test and a folder for their files.

    A context manager: its exit kills the processes and removes the folder.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.programs: list[Program] = []
        self.platform_address = free_address()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for program in self.programs:
            program.kill()
        self._folder.cleanup()

    def start_platform(self) -> Program:
        """Start the stand-in platform and wait until it answers."""
        program = self._add(
            Program(
                "standin_platform",
                ["--address", self.platform_address],
                self.folder / "platform.log",
            )
        )
        wait_until(
            lambda: try_call(self.platform_address, "/counts"), "the platform answers"
        )
        return program

    def put_settings(self, documents: dict[str, dict]) -> None:
        """Write settings documents to the store, services before routes."""
        from balsamspindle.platform.store import HttpTableService
        from balsamspindle.settings.store import SettingsStore

        store = SettingsStore(HttpTableService(self.platform_address))
        for path in sorted(documents, key=lambda path: "/routes/" in path):
            result = store.put(path, documents[path])
            assert result.is_ok(), result.error

    def start_node(self, node_id: str, zone: str, **changes) -> NodeProgram:
        """Start a node, with all earlier nodes as seeds, without waiting for it.

        `changes` override fields of its settings.
        """
        settings = {
            "node_id": node_id,
            "region": "test",
            "availability_zone": zone,
            "caller_address": free_address(),
            "link_address": free_address(),
            "member_address": free_address(),
            "admin_address": free_address(),
            "platform_address": self.platform_address,
            "seed_addresses": [
                program.settings["member_address"]
                for program in self.programs
                if isinstance(program, NodeProgram)
            ],
            **changes,
        }
        return self._add(NodeProgram(settings, self.folder))

    def restart(self, node: NodeProgram) -> NodeProgram:
        """Start a node that has ended again, with the same settings."""
        return self._add(NodeProgram(node.settings, self.folder))

    def start_backend(self, name, service, node, **options) -> BackendProgram:
        """Start a stand-in backend server beside a node, without waiting for it.

        `options` are command line options of the stand-in.
        """
        return self._add(BackendProgram(name, service, node, self.folder, **options))

    def wait_ready(self, nodes, backend_ids, revision: int = 1) -> None:
        """Wait until `NodeProgram.is_ready` holds for each node."""
        for node in nodes:
            wait_until(
                lambda node=node: node.is_ready(backend_ids, revision),
                f"{node.settings['node_id']} is ready",
            )

    def _add(self, program):
        self.programs.append(program)
        return program


def encode(value) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


class PlatformInProcess:
    """The stand-in platform in a thread of the test process, at a free address."""

    def __init__(self) -> None:
        self.address = free_address()
        host, _, port = self.address.partition(":")
        self._server = make_server(
            host,
            int(port),
            StandinPlatform(),
            threaded=True,
            request_handler=_QuietHandler,
        )
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def set_fault(self, **fields) -> None:
        """Set how the platform fails calls.

        Takes the fields of the `/faults` request; ``mode="none"`` ends the fault.
        """
        call(self.address, "/faults", "POST", json.dumps(fields).encode())

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()


class _QuietHandler(WSGIRequestHandler):
    def log(self, *_args):
        """Discard the log line of each call."""


def start_fleet(case: TestCase, settings: dict) -> Fleet:
    """Return a fleet with a stand-in platform that has these settings.

    The cleanup of the test kills all processes of the fleet.
    """
    fleet = Fleet()
    case.addCleanup(fleet.__exit__)
    fleet.platform = fleet.start_platform()
    fleet.put_settings(settings)
    return fleet
