# Set-up and checks; every target installs what it needs first.
#
# Tests run on the oldest release that the programs support wherever it is on the
# path: what runs there runs on newer ones, not the other way round.
OLDEST := $(shell sed -n 's/^requires-python = ">=\(.*\)"/\1/p' pyproject.toml)
STARTS = $(shell $(1) -c 'print("$(1)")' 2>/dev/null)
PYTHON ?= $(or $(call STARTS,python$(OLDEST)),python3)
VENV ?= .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: demo test lint types unit model soak regression lock setup interpreter interpreters

setup: $(INSTALLED)

# Prints which interpreter the set-up takes, and fails if it is too old.
interpreter:
	@$(PYTHON) -c 'import sys; sys.path.insert(0, "src"); from marlramp import interpreter as i; print(i.found()); sys.exit(i.age_problem() or 0)'

$(INSTALLED): requirements.lock pyproject.toml
	@$(MAKE) --no-print-directory interpreter
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

# Needs the users' bench and deployments: make regression BENCH=... SITES=... WHY=... LOGS=...
regression: $(INSTALLED)
	$(BIN)/python -m regression run "$(BENCH)" "$(SITES)" "$(WHY)" "$(LOGS)" $(PLAYS)

unit: $(INSTALLED)
	$(BIN)/pytest

# Runs the tests on every release on the path that is new enough, each with a
# set-up of its own, and says which are not there.
interpreters:
	@for minor in $$(seq $(subst 3.,,$(OLDEST)) 19); do \
	  if python3.$$minor -c '' 2>/dev/null; then \
	    echo "python3.$$minor: tests"; \
	    $(MAKE) PYTHON=python3.$$minor VENV=.venv-3.$$minor unit || exit 1; \
	  else echo "python3.$$minor: not on the path, not run"; fi; \
	done

lock: $(INSTALLED)
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --extra dev --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o requirements.lock pyproject.toml
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o deploy/requirements.lock pyproject.toml
