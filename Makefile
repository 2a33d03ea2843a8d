PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Prints the options that pass over the tests of known faults.
KNOWN_RED_OPTIONS := sed -n 's/^test: /--deselect /p' KNOWN-RED.txt | tr '\n' ' '

.PHONY: test demo bench format

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src tests stand_ins bench
	$(BIN)/mypy
	@cat KNOWN-RED.txt
	PYTEST_ADDOPTS="$$PYTEST_ADDOPTS $$($(KNOWN_RED_OPTIONS))" $(BIN)/pytest

format: $(VENV)/.ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: $(VENV)/.ready
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/demo.sh

bench: $(VENV)/.ready
	PYTHONPATH=src:tests:tests/proofs $(BIN)/python -m bench
