"""Tell whether all tests that failed are known to: exit 0, else 1.

``known_red.py KNOWN-RED.txt OUTPUT``: each line of the first file starts with a
test's id and a colon; OUTPUT is what pytest printed.
"""

import re
import sys
from pathlib import Path

_failed = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)
# A run that broke off, or found no tests, lists no failures of its own.
_ended = re.compile(r"^\d+ failed.* in ", re.MULTILINE)


def main(known_file: str, output_file: str) -> int:
    """Compare the failed tests with the known ones."""
    path = Path(known_file)
    lines = path.read_text().splitlines() if path.exists() else []
    known = {line.rpartition(": ")[0].split(": ")[0] for line in lines if line}
    output = Path(output_file).read_text(errors="replace")
    failed = set(_failed.findall(output))
    new = failed - known
    if not failed or new or not _ended.search(output):
        print("failed, not known red:", *sorted(new), sep="\n  ")
        return 1
    print("known red (see KNOWN-RED.txt):", *sorted(failed), sep="\n  ")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
