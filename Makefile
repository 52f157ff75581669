# Every target sets up its own virtual environment from requirements.lock first.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint bench rig soak clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(BIN)/rainsail demo

test: setup
	$(BIN)/python tools/run_features.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/generate_settings_page.py --check
	$(BIN)/python tools/capacity_page.py --check

bench: setup
	$(BIN)/rainsail bench all

# Real daemons of both sites on loopback under load and failures; RIG_SECONDS of failures each.
RIG_SEED ?= 1
RIG_SECONDS ?= 180
rig: setup
	$(BIN)/python -m rig all --seed $(RIG_SEED) --seconds $(RIG_SECONDS)

# The adapter's processes on loopback under random faults, some two minutes a seed.
SOAK_SEEDS ?= 1,2,3
SOAK_FAULTS ?= 20
soak: setup
	$(BIN)/python tools/process_soak.py --seeds $(SOAK_SEEDS) --faults $(SOAK_FAULTS)

clean:
	rm -rf $(VENV) build data
