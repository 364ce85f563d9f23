# Everything a developer runs. Each target works alone on a fresh machine with Python 3.11.
PYTHON ?= python3
BIN := .venv/bin
DEPLOYMENT ?= klimaplan
SEEDS ?= 200

.PHONY: install demo test lint format bench bench-placement bench-settings faults explore soak capacity clean

install: .venv/installed

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: install
	scripts/demo.sh $(DEPLOYMENT)

test: install
	$(BIN)/python scripts/run_tests.py

lint: install
	$(BIN)/ruff format --check src features scripts
	$(BIN)/ruff check src features scripts
	$(BIN)/mypy
	$(BIN)/lint-imports

format: install
	$(BIN)/ruff format src features scripts
	$(BIN)/ruff check --fix src features scripts

bench: install
	scripts/bench.sh

# Cost of a placement as the cell grows, and packing.
bench-placement: install
	$(BIN)/python scripts/bench_placement.py

# Operators race on the settings of a running cell, through kills and outages.
bench-settings: install
	$(BIN)/python scripts/bench_settings.py

# Real processes under load, one fault or two at once a scenario.
faults: install
	scripts/faults.sh klimaplan
	scripts/faults.sh motor-estudio

# Random fault schedules in virtual time, on every core: SEEDS of each deployment.
explore: install
	scripts/explore.sh $(SEEDS)

# Real processes over loopback under drawn faults: SEEDS fresh ones or one SEED, none begun after MINUTES.
soak: install
	$(BIN)/onyxspoke-soak run $(if $(SEED),--seed $(SEED),--seeds $(if $(filter command line environment,$(origin SEEDS)),$(SEEDS),1)) $(if $(MINUTES),--minutes $(MINUTES))

# Writes docs/CAPACITY.md again from docs/capacity.json, which holds sweeps of the users' deployments.
capacity: install
	$(BIN)/python scripts/capacity_page.py

clean:
	rm -rf .venv run build src/*.egg-info
