# Every target sets up .venv by itself from the pinned requirements.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LIBS := $(sort $(wildcard libs/*)) platform
SOURCES := $(wildcard libs/*/src) platform/src
SEED ?= 1
STEPS ?= 2000
SEEDS ?= 1-5

.PHONY: demo test lint format fuzz soak measure measure-control dist clean

$(VENV)/.ready: requirements.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(LIBS))
	touch $@

demo: $(VENV)/.ready
	$(BIN)/bilberryhitch demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest
	$(BIN)/python -m behave --format progress

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(SOURCES)

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: $(VENV)/.ready
	$(BIN)/python -m tests.fuzz --seed $(SEED) --steps $(STEPS)

soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak.soak --seeds $(SEEDS)

measure: $(VENV)/.ready
	$(BIN)/python -m measure --seed $(SEED)

measure-control: $(VENV)/.ready
	$(BIN)/python -m measure.planner_cost --seed $(SEED)
	$(BIN)/python -m measure.request_cost --seed $(SEED)
	$(BIN)/python -m measure.control_cost --seed $(SEED)
	$(BIN)/python -m measure.scale --seed $(SEED)
	$(BIN)/python -m measure.daemon_cost --seed $(SEED)

dist: $(VENV)/.ready
	$(BIN)/python scripts/build_dist.py dist/bilberryhitch

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .pytest_cache
