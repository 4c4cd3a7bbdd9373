# Creates the environment once, runs the main job and the verification.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test fuzz format clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	tools/check

fuzz: $(STAMP)
	BRAMLEYFORK_HYPOTHESIS_PROFILE=long $(BIN)/python -m pytest -m fuzz \
	  --timeout 3600 tests/entry/transports/test_entry_decoder_fuzz.py

format: $(STAMP)
	$(BIN)/ruff format src platform tests bench
	$(BIN)/ruff check --fix src platform tests bench

clean:
	rm -rf $(VENV)
