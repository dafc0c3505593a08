# build: what `run` and `sim` need; test and lint: what CI runs; run: one dispatcher, by GW_CONFIG.
PYTHON ?= python3
VENV ?= .venv

.PHONY: build dev test lint run

build:
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt

dev: build
	$(VENV)/bin/pip -q install -r requirements-dev.txt

test: dev
	$(VENV)/bin/python -m pytest

lint: dev
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

run: build
	exec $(VENV)/bin/python -O -m eiderpin
