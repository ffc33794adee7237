PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SCENARIO ?=
SEED ?= 1

.PHONY: all env demo demo-platform test lint format bench bench-relay bench-decisions bench-capacity bench-lab bench-interleave chaos soak binary docs clean

all: lint test

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

env: $(VENV)/.ready

demo: env
	$(BIN)/python -m bench.demo

demo-platform: env
	$(BIN)/python -m bench.demo_platform

test: env
	$(BIN)/python -m behave tests --no-capture --format progress

lint: env
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: env
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: env
	$(BIN)/python -m bench --seed $(SEED) $(if $(SCENARIO),--scenario $(SCENARIO))

bench-relay: env
	$(BIN)/python -m bench.relay

bench-decisions: env
	$(BIN)/python -m bench.decisions

bench-capacity: env
	$(BIN)/python -m bench.capacity

bench-lab: env
	$(BIN)/python -m bench.lab --days 20

bench-interleave: env
	$(BIN)/python -m bench.interleave --seed $(SEED)

chaos: env
	$(BIN)/python -m bench.chaos --seed $(SEED)

soak: env
	$(BIN)/python -m bench.soak --seed $(SEED)

binary: env
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --console-script pomelolane --output-file dist/pomelolane .

docs: env
	$(BIN)/pomelolane events --markdown > docs/LOG-EVENTS.md

clean:
	rm -rf $(VENV) build dist out .ruff_cache .hypothesis
