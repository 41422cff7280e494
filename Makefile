PYTHON ?= python3
STAMP := .venv/installed-$(shell sha256sum requirements.txt | cut -c1-16)
BIN := .venv/bin
export PYTHONPATH := src

.PHONY: demo demo-check test check format faults

$(STAMP):
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m amaranthferry demo

demo-check: $(STAMP)
	$(BIN)/python -m amaranthferry demo --rate 8 --duration 5 --check

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check src tests benchmarks
	$(BIN)/ruff check src tests benchmarks
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format src tests benchmarks
	$(BIN)/ruff check --fix src tests benchmarks

faults: $(STAMP)
	$(BIN)/python -m amaranthferry faults --all $(if $(SEED),--seed $(SEED))
