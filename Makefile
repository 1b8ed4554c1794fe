VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test lint format

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/waxwingpitch demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet waxwingpitch benchmarks
	$(BIN)/isort --check-only --quiet waxwingpitch benchmarks
	$(BIN)/flake8 waxwingpitch benchmarks

format: $(VENV)/.installed
	$(BIN)/isort --quiet waxwingpitch benchmarks
	$(BIN)/black --quiet waxwingpitch benchmarks
