# Targets for developers; `make demo` and `make test` are all a fresh machine needs.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Processes that run tests at the same time.
WORKERS ?= 4
SOURCES := conftest.py verbenadrum standins scenarios benchmarks

.PHONY: env test format demo scenarios bench measure capacity

env: $(BIN)/.installed

$(BIN)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

test: env
	$(BIN)/python -m black --check --quiet $(SOURCES)
	$(BIN)/python -m ruff check --quiet $(SOURCES)
	$(BIN)/python -m pytest --numprocesses $(WORKERS) --dist loadgroup
	@test ! -f KNOWN-RED.txt || cat KNOWN-RED.txt

format: env
	$(BIN)/python -m black --quiet $(SOURCES)
	$(BIN)/python -m ruff check --fix $(SOURCES)

demo: env
	$(BIN)/python -m standins.demo

scenarios: env
	$(BIN)/python -m scenarios.run scenarios/*.scenario

bench: env
	$(BIN)/python -m benchmarks.added_latency

measure: env
	$(BIN)/python -m benchmarks.measure

capacity: env
	$(BIN)/python -m benchmarks.capacity
