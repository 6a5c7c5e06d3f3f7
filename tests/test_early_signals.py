"""Signals that a node gets while it starts."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from balsamspindle.platform.run import SETTINGS_VARIABLE
from tests.utils import ROOT, wait_until

SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
# A library of which the start loads many; it is loaded before the settings are read.
LATE_LIBRARY = "zmq"


class EarlySignalTests(TestCase):
    def test_sighup_does_not_end_a_node_that_starts(self):
        # Guards against a node that is ended by the platform's notice of new settings,
        # because its handler is set after its imports.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.json")
            path.write_text(json.dumps({}))
            process = subprocess.Popen(
                [sys.executable, "-m", "balsamspindle.platform"],
                stdout=subprocess.PIPE,
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )
            self.addCleanup(process.kill)
            wait_until(lambda: _survives_sighup(process.pid), "SIGHUP has no effect")
            libraries = Path(f"/proc/{process.pid}/maps").read_text()
            process.send_signal(signal.SIGHUP)
            self.assertNotIn(LATE_LIBRARY, libraries)
            # The settings are empty, so the process ends by itself and says so.
            output, _ = process.communicate(timeout=30)
        self.assertGreater(process.returncode, 0)
        self.assertNotEqual(b"", output)


def _survives_sighup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP or has a handler for it."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = dict(line.split(":", 1) for line in lines if line.startswith("Sig"))
    mask = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(mask & SIGHUP_BIT)
