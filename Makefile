# Everything a developer runs. Each target works alone on a fresh machine with Python 3.11.
PYTHON ?= python3
BIN := .venv/bin
DEPLOYMENT ?= klimaplan
STEPS ?= full

.PHONY: install demo test lint format bench clean

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

clean:
	rm -rf .venv run build src/*.egg-info
