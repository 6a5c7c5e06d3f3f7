#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8: compiles them, and checks that the store's
# stand-in starts with what the build of the deploy file has made. Needs no network.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -m compileall -q review/common-2 review/[4-8]/*.py \
    balsamspindle/standins balsamspindle/cli/standin_platform.py || exit 1
PYTHONPATH=target/deps python3 -m balsamspindle.cli.standin_platform --help >/dev/null
