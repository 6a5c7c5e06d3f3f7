PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo demo-full test lint bench clean

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

# Three nodes in three availability zones; about 15 s.
demo: setup
	$(BIN)/python examples/demo.py

# Both deployments complete, one after the other; about a minute.
demo-full: setup
	$(BIN)/python examples/demo.py --full

# Tests that KNOWN-RED.txt lists run as all others do, and are printed when they fail.
test: setup
	bash .ci/test $(BIN)/python

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# Figures of this machine, some minutes each; a module of bench/ says what it
# measures. One alone: make bench BENCHES=latency
BENCHES := latency caller_heads routes picker claims queue_overload probes health_cost \
    detection membership settings capacity deployments event_log

bench: setup
	@set -e; for name in $(BENCHES); do \
	    echo "== bench.$$name"; $(BIN)/python -m bench.$$name; done

clean:
	rm -rf .venv
