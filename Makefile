PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint unit model check-deep measure slopes format generate

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

lint: $(VENV)/.installed
	$(BIN)/ruff check wagtailtrestle tests
	$(BIN)/ruff format --check wagtailtrestle tests

unit: $(VENV)/.installed
	$(BIN)/python -m tests

# The model checks run within the unit tests (tests/test_spec.py); `make model` prints them.
test: lint unit

format: $(VENV)/.installed
	$(BIN)/ruff check --fix wagtailtrestle tests
	$(BIN)/ruff format wagtailtrestle tests

slopes: $(VENV)/.installed
	mkdir -p var
	$(BIN)/python -m wagtailtrestle.slopes | tee var/slopes.jsonl

demo: $(VENV)/.installed
	$(BIN)/python -m wagtailtrestle.demo

# The generated code is committed: only a change of proto/ needs this.
generate: $(VENV)/.installed
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -Iwagtailtrestle/generated=proto \
		--python_out=. --grpclib_python_out=. wagtailtrestle/generated/peers.proto

# Decisions on fakes under the advanced clock; results under var/. QUICK=1 makes a few short runs.
measure: $(VENV)/.installed
	$(BIN)/python -m wagtailtrestle.measure $(if $(QUICK),--quick)

model: $(VENV)/.installed
	$(BIN)/python -m wagtailtrestle.spec

check-deep: $(VENV)/.installed
	$(BIN)/python -m wagtailtrestle.spec --deep
