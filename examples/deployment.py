"""Runs one example deployment as processes on loopback, for the demo.

Each process that is started here is also stopped here, by its process id.
"""

import http.client
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

EXAMPLES = Path(__file__).resolve().parent
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 45.0


class DemoFailed(Exception):
    """The fleet did not behave as the demo expects."""


class Answer(NamedTuple):
    """An answer as the caller receives it."""

    status: int
    outcome: str
    request_id: str
    body: dict


class Program:
    """One process of the demo, which logs to a file."""

    def __init__(self, module: str, arguments: list[str], log: Path) -> None:
        self.log = log
        with log.open("ab") as stream:
            self._process = subprocess.Popen(
                [sys.executable, "-m", f"balsamspindle.cli.{module}", *arguments],
                stdout=stream,
                stderr=stream,
            )

    def check(self) -> None:
        """Raise `DemoFailed` if the process has ended."""
        if self._process.poll() is not None:
            raise DemoFailed(
                f"a process ended unexpectedly:\n{self.log.read_text()[-2000:]}"
            )

    def kill(self) -> None:
        """Kill the process, as a crash would."""
        self._process.kill()
        self._process.wait()

    def request_stop(self) -> None:
        """Send SIGTERM unless the process has ended."""
        if self._process.poll() is None:
            self._process.terminate()

    def wait_stopped(self, timeout_s: float) -> bool:
        """Wait until the process exits; kill it after the time-out.

        Returns
        -------
        bool
            Whether it exited by itself, with status 0.
        """
        try:
            return self._process.wait(timeout_s) == 0
        except subprocess.TimeoutExpired:
            self.kill()
            return False


class Deployment:
    """One example deployment and its processes.

    Parameters
    ----------
    full : bool
        Whether to run all nodes and backend servers. If False, only one node in
        each availability zone and the backend servers beside these nodes are run.
    folder : Path
        Folder for the logs of the processes.
    """

    def __init__(self, name: str, full: bool, folder: Path) -> None:
        self.name = name
        self._folder = folder
        source = EXAMPLES / name
        self.settings_file = source / "settings.json"
        self.documents = json.loads(self.settings_file.read_text())
        self.nodes = [
            json.loads(path.read_text())
            for path in sorted((source / "nodes").glob("*.json"))
            if full or path.stem.endswith("-1")
        ]
        node_ids = {node["node_id"] for node in self.nodes}
        self.backend_servers = [
            server
            for server in json.loads((source / "backend-servers.json").read_text())
            if server["node"] in node_ids
        ]
        self.programs: dict[str, Program] = {}

    @property
    def platform_address(self) -> str:
        """Address of the stand-in platform."""
        return self.nodes[0]["platform_address"]

    @property
    def node_options(self) -> list[str]:
        """Command-line options that name all nodes."""
        return [
            option
            for node in self.nodes
            for option in ("--node", node["admin_address"])
        ]

    def routes(self) -> list[dict]:
        """Return the route documents of the settings."""
        return [
            document for path, document in self.documents.items() if "/routes/" in path
        ]

    def start(self) -> None:
        """Start the platform, apply the settings, then start all other processes."""
        self._start(
            "platform", "standin_platform", ["--address", self.platform_address]
        )
        wait_until(self._platform_answers, "the platform")
        self._apply_settings()
        for node in self.nodes:
            path = EXAMPLES / self.name / "nodes" / f"{node['node_id']}.json"
            self._start(node["node_id"], "node", ["--settings", str(path)])
        for server in self.backend_servers:
            self._start_backend_server(server)
        for node in self.nodes:
            wait_until(lambda node=node: self._is_ready(node), node["node_id"])

    def _platform_answers(self) -> bool:
        return get(self.platform_address, "/counts") is not None

    def _apply_settings(self) -> None:
        options = ["--platform", self.platform_address]
        run("ctl", "settings", "validate", str(self.settings_file))
        run("ctl", "settings", "apply", str(self.settings_file), *options)

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        log = self._folder / f"{self.name}-{name}.log"
        self.programs[name] = Program(module, arguments, log)

    def _start_backend_server(self, server: dict) -> None:
        admin = {node["node_id"]: node["admin_address"] for node in self.nodes}
        arguments = ["--name", server["name"], "--service", server["service"]]
        arguments += ["--address", server["address"], "--slots", str(server["slots"])]
        arguments += ["--work-ms", str(server["work_ms"])]
        arguments += ["--node-admin", admin[server["node"]]]
        self._start(server["name"], "standin_backend", arguments)

    def _is_ready(self, node: dict) -> bool:
        for program in self.programs.values():
            program.check()
        status = get(node["admin_address"], "/status")
        if status is None or status["settings_revision"] < 1:
            return False
        known = {
            server[0]
            for record in status["nodes"]
            for server in record["backend_servers"]
        }
        return known >= {server["name"] for server in self.backend_servers}

    def call(self, node: dict, method: str, path: str, body: str = "") -> Answer:
        """Send one request to a node, as a caller does."""
        connection = http.client.HTTPConnection(node["caller_address"], timeout=15)
        try:
            connection.request(method, path, body.encode() or None)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise DemoFailed(f"{method} {path} got no answer: {error}") from error
        finally:
            connection.close()
        return Answer(
            response.status,
            response.getheader("X-Balsamspindle-Outcome", ""),
            response.getheader("X-Request-Id", ""),
            json.loads(text) if text else {},
        )

    def stop(self) -> bool:
        """Stop all processes, the platform last; return whether all exited cleanly."""
        platform = self.programs.pop("platform", None)
        programs = list(self.programs.values())
        for program in programs:
            program.request_stop()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        exited_cleanly = [
            program.wait_stopped(max(0.1, deadline_s - time.monotonic()))
            for program in programs
        ]
        if platform is not None:
            platform.request_stop()
            exited_cleanly.append(platform.wait_stopped(STOP_TIMEOUT_S))
        return all(exited_cleanly)


def wait_until(condition, description: str) -> None:
    """Wait until a condition holds; raise `DemoFailed` after `READY_TIMEOUT_S`."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise DemoFailed(
                f"gave up after waiting {READY_TIMEOUT_S:g} s for {description}"
            )
        time.sleep(0.1)


def get(address: str, path: str) -> dict | None:
    """Return the JSON body of the answer to a GET request.

    Returns None if the request fails or is not answered with status 200 and JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=2)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return json.loads(response.read()) if response.status == 200 else None
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def run(program: str, *arguments: str, stdin: str | None = None) -> str:
    """Run one program of balsamspindle and return its standard output.

    Raises `DemoFailed` if the program's exit status is not 0.
    """
    result = subprocess.run(
        [sys.executable, "-m", f"balsamspindle.cli.{program}", *arguments],
        input=stdin,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "COLUMNS": "100"},
    )
    if result.returncode != 0:
        command = " ".join(("balsamspindle-" + program, *arguments[:3]))
        raise DemoFailed(f"{command}: {result.stderr}")
    return result.stdout


def set_fault(address: str, mode: str) -> None:
    """Set the fault mode of a stand-in backend server."""
    connection = http.client.HTTPConnection(address, timeout=2)
    try:
        connection.request("POST", "/faults", json.dumps({"mode": mode}))
        connection.getresponse().read()
    finally:
        connection.close()
