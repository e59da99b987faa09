# Each target sets up all it needs on a machine with Python 3.11 or later.
PYTHON ?= python3
VENV ?= .venv
STAMP = $(VENV)/.burlmast-installed

.PHONY: up bad-day test check bench

$(STAMP): pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -e '.[dev]'
	touch $(STAMP)

up: $(STAMP)
	$(VENV)/bin/burlmast up

bad-day: $(STAMP)
	$(VENV)/bin/burlmast bad-day

test: $(STAMP)
	$(VENV)/bin/python -m pytest -q -n 4 --dist worksteal

check: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check burlmast tests benchmarks
	$(VENV)/bin/mypy

bench: $(STAMP)
	$(VENV)/bin/python benchmarks/gateway.py
