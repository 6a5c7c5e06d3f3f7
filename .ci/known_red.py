"""Checks whether all failed tests are known to fail: exit status 0, else 1.

Usage: ``known_red.py KNOWN-RED.txt OUTPUT``. Each line of KNOWN-RED.txt starts with
a test's id and a colon. OUTPUT is the output of pytest.
"""

import re
import sys
from pathlib import Path

_failed_test = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)
# An aborted run, or one without tests, may print no list of failures; such a run
# lacks this summary line.
_summary_line = re.compile(r"^\d+ failed.* in ", re.MULTILINE)


def main(known_file: str, output_file: str) -> int:
    """Compare the failed tests with the known ones; return the exit status."""
    path = Path(known_file)
    lines = path.read_text().splitlines() if path.exists() else []
    known = {line.rpartition(": ")[0].split(": ")[0] for line in lines if line}
    output = Path(output_file).read_text(errors="replace")
    failed = set(_failed_test.findall(output))
    new = failed - known
    if not failed or new or not _summary_line.search(output):
        print("failed, not known red:", *sorted(new), sep="\n  ")
        return 1
    print("known red (see KNOWN-RED.txt):", *sorted(failed), sep="\n  ")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
