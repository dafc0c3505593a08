# build: what `run` and `sim` need; try: see it at work; test and lint: what CI runs; run: one dispatcher, by
# GW_CONFIG, with all that may be switched on.
PYTHON ?= python3
VENV ?= .venv

.PHONY: build durable dev try test lint run

build:
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt

durable: build
	$(VENV)/bin/pip -q install -r requirements-durable.txt

dev: build
	$(VENV)/bin/pip -q install -r requirements-dev.txt

try: build
	$(VENV)/bin/python -m eiderpin try

test: dev
	$(VENV)/bin/python -m pytest

lint: dev
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

run: durable
	exec $(VENV)/bin/python -O -m eiderpin
