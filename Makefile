# VENV may name an existing environment; by default one is created here from the lock file.
VENV ?= .venv
PY := $(VENV)/bin/python
SEED ?= 1
EXAMPLES ?= 200

.PHONY: setup demo test lint format check-history

$(VENV)/.installed: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(PY) -m comfreyshelf demo

format: setup
	$(PY) -m black -q comfreyshelf features benchmarks
	$(PY) -m ruff check -q --fix comfreyshelf features benchmarks

lint: setup
	$(PY) -m black -q --check comfreyshelf features benchmarks
	$(PY) -m ruff check -q comfreyshelf features benchmarks
	$(PY) -m mypy

test: lint
	$(PY) -m features.lanes

check-history: setup
	$(PY) -m features.history --seed $(SEED) --examples $(EXAMPLES)
