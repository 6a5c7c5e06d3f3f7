"""Ports that tests reserve for their processes."""

import json
import subprocess
import sys

from tests.utils import ROOT

PRINT_PORTS = (
    "from tests.utils import free_port; print([free_port() for _ in range(120)])"
)


def test_test_processes_never_share_a_port():
    # Guards against two test processes that get the same port. A node whose address is
    # in use by another test exits when it starts.
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", f"{PRINT_PORTS}; input()"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        for _ in range(4)
    ]
    ports_by_process = [json.loads(process.stdout.readline()) for process in processes]
    for process in processes:
        process.communicate("\n")
    ports = [port for process_ports in ports_by_process for port in process_ports]
    assert len(set(ports)) == len(ports)
