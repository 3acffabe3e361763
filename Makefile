# Set-up and checks; every target installs what it needs first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: demo test lint types unit model soak lock setup docs

setup: $(INSTALLED)

$(INSTALLED): requirements.lock pyproject.toml
	$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 12) and "Python 3.12 or newer is needed")'
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(INSTALLED)
	$(BIN)/marlramp demo
	$(BIN)/python -m standins.direct_demo

test: lint types model unit

lint: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(INSTALLED)
	$(BIN)/mypy

model: $(INSTALLED)
	$(BIN)/python -m models

soak: $(INSTALLED)
	$(BIN)/python -m soak run --seeds 50

unit: $(INSTALLED)
	$(BIN)/pytest

lock: $(INSTALLED)
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --extra dev --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o requirements.lock pyproject.toml
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o deploy/requirements.lock pyproject.toml
