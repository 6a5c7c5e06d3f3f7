#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs: the stand-in of the
# platform is the project's own and needs what the deploy file's build has put into
# target/deps; upstreams and requesters need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import balsamspindle.cli.standin_platform"
python3 - <<'PROGRAM'
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PROGRAM
echo "the stand-ins are built"
