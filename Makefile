PYTHON ?= python3
BIN = .venv/bin

.PHONY: setup demo test lint bench capacity soak

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch .venv/ready

setup: .venv/ready

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m tests.shards

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

soak: setup
	$(BIN)/python -m soak --count 10
