PYTHON ?= python3.11
VENV ?= .venv
STAMP := $(VENV)/.installed

.PHONY: demo test lint clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m tools.demo
	$(VENV)/bin/python -m tools.fleet_demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: lint
	$(VENV)/bin/python -m pytest

clean:
	rm -rf $(VENV)
