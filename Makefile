PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint bench clean

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

clean:
	rm -rf .venv
