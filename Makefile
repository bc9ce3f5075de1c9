# VENV may point at an existing virtual environment that holds the pinned requirements.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test bench binary format setup

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: setup
	$(PY) -m tools.demo

test: setup
	$(PY) -m tools.run_tests

bench: setup
	$(PY) -m bench

binary: setup
	$(PY) -m tools.build_binary

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
