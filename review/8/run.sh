#!/bin/sh
# Runs case 8: exits with 1 if the rule was broken, with 0 if it held, else with 2.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/8/case.py
