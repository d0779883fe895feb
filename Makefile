PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test soak lint format bench binary clean

setup: $(VENV)/.done

$(VENV)/.done: requirements/run.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements/dev.txt
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m pytest

soak: setup
	$(BIN)/python -m soak --seeds 10 --jobs 4

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m bench

binary: setup
	$(BIN)/pip install --quiet -r requirements/binary.txt
	$(BIN)/python -m binary.build
	$(BIN)/python -m binary.check

clean:
	rm -rf $(VENV) .bench dist build
