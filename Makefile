PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format replay soak bench clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/wasabiwing-demo

# Prints the tests that fail for a known fault and runs all others.
test: $(STAMP)
	@cat KNOWN-RED.txt
	@set -f; $(BIN)/python -m pytest $(PYTEST_ARGS) \
	  $$(sed -n "s/^test: \(.*\)/--deselect=\1/p" KNOWN-RED.txt)

# Runs all traces, also after one has missed an outcome.
replay: $(STAMP)
	@status=0; for user in lakeshore granite-hollow; do \
	  for stretch in ordinary bad; do \
	    $(BIN)/wasabiwing-replay \
	      --local examples/$$user/configuration.json \
	      --output out/replay \
	      traces/$$user-$$stretch.jsonl \
	      traces/$$user-$$stretch.outcomes.json || status=1; \
	  done; \
	done; exit $$status

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy

# Thirty seconds of faults with a fresh seed; see docs/soak.md.
soak: $(STAMP)
	$(BIN)/python -m wasabiwing_soak

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build out
