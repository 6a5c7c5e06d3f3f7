"""Ports for the processes of tests."""

import json
import subprocess
import sys

from tests.utils import ROOT

TAKE = "from tests.utils import free_port; print([free_port() for _ in range(120)])"


def test_test_processes_never_share_a_port():
    # Guards against nodes that end at their start: another test has their address.
    takers = [
        subprocess.Popen(
            [sys.executable, "-c", f"{TAKE}; input()"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        for _ in range(4)
    ]
    taken = [json.loads(taker.stdout.readline()) for taker in takers]
    for taker in takers:
        taker.communicate("\n")
    ports = [port for one in taken for port in one]
    assert len(set(ports)) == len(ports)
