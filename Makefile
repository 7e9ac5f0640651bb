# The README's two commands, and what they stand on. `make help` lists them.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: help setup test demo lint clean

help:
	@echo "make setup   a virtual environment with all that is needed, in .venv"
	@echo "make test    style and all tests, a few minutes"
	@echo "make demo    a bad day on loopback, a minute and a bit, with a verdict"

setup: .venv/done

.venv/done: requirements.txt pyproject.toml
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

test: lint
	$(BIN)/python -m pytest -n 6

demo: setup
	$(BIN)/rainpick day examples/bad-day.json5

clean:
	rm -rf .venv build *.egg-info .pytest_cache .ruff_cache
