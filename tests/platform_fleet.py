"""Nodes that run as on the users' platform, each in a process of its own."""

import json
import os
import subprocess
import sys
from pathlib import Path

from balsamspindle.platform.run import SETTINGS_VARIABLE
from tests.utils import ROOT, Fleet, PlatformInProcess, call, free_port, try_call

__all__ = ["PlatformFleet", "PlatformNode"]

HOST = "127.0.0.1"
# Number of ports in a node's range: one for member messages, one for the admin
# address.
PORT_COUNT = 2


def _free_port_range() -> int:
    """Return the first of `PORT_COUNT` consecutive free ports."""
    while True:
        first_port = free_port()
        if all(free_port() == first_port + number for number in range(1, PORT_COUNT)):
            return first_port


class PlatformNode:
    """A process that runs ``python -m balsamspindle.platform``.

    Parameters
    ----------
    store : str
        Address of the store, or of a relay to it.
    bounds : tuple of str
        Bounds of the platform in addition to the usual ones.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: Path,
        bounds: tuple[str, ...] = (),
    ) -> None:
        first_port = _free_port_range()
        self.admin_address = f"{HOST}:{first_port + 1}"
        listen = {
            name: f"{HOST}:{free_port()}"
            for name in ("inbound", "outbound", "ready", "control")
        }
        self.announce_address = listen["control"]
        self.caller_address = listen["outbound"]
        settings = {
            "node": name,
            "ip": HOST,
            "zone": zone,
            "region": "south",
            "listen": listen,
            "port_range": [first_port, first_port + PORT_COUNT - 1],
            "service": "crew",
            "platform": {"address": store},
            "bounds": [
                "retry_budget_ratio=0.2",
                "budget_slack=60",
                "grace=6s",
                *bounds,
            ],
        }
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(settings))
        self.log_path = folder / f"{name}.log"
        self.start()

    def start(self) -> None:
        """Start the process; also restarts it after `kill`."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "balsamspindle.platform"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings_path)},
            )

    def revision(self) -> int:
        """Return the revision of the settings in force; -1 without an answer."""
        answer = try_call(self.admin_address, "/status", timeout_s=2)
        if answer is None or answer.status != 200:
            return -1
        return answer.json()["settings_revision"]

    def known_node_count(self) -> int:
        """Return how many nodes this node knows, with itself; 0 without an answer."""
        answer = try_call(self.admin_address, "/status", timeout_s=2)
        return 0 if answer is None else len(answer.json()["nodes"])

    def status_of(self, host: str, path: str) -> int:
        """Send a request through this node; return the status of the answer."""
        return call(self.caller_address, path, headers={"Host": host}).status

    def kill(self) -> None:
        """Send SIGKILL unless the process has ended, and wait for it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class PlatformFleet(Fleet):
    """The stand-in platform's store in the test's process, and nodes that use it."""

    def __init__(self) -> None:
        super().__init__()
        self.store = PlatformInProcess()

    def __exit__(self, *details):
        super().__exit__(*details)
        self.store.stop()

    def start_nodes(self, count: int, zone: str = "here") -> list[PlatformNode]:
        """Start nodes in one availability zone, without waiting for them."""
        return [
            self._add(PlatformNode(f"n{number}", zone, self.store.address, self.folder))
            for number in range(count)
        ]

    def start_node_at(
        self, store: str, name: str, zone: str, bounds: tuple[str, ...]
    ) -> PlatformNode:
        """Start a node that reaches the store at an address, without waiting for it."""
        return self._add(PlatformNode(name, zone, store, self.folder, bounds))

    def put_configuration(self, configuration: dict, name: str = "config") -> None:
        """Write a row of the operator's table, by default its configuration."""
        body = json.dumps(configuration).encode()
        answer = call(self.store.address, f"/op/{name}", "PUT", body)
        assert answer.status == 200, answer
