# Every target sets up its own virtual environment from requirements.lock first.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint bench rig scale clean

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

bench: setup
	$(BIN)/rainsail bench all

clean:
	rm -rf $(VENV) build data
