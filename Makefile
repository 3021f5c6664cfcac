# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format lock proto soak

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/rhubarblock demo

test: $(STAMP)
	$(BIN)/python -m pytest

# Real processes under random faults: `make soak SEEDS=1..50`.
SEEDS ?= 1..5
soak: $(STAMP)
	$(BIN)/python -m tools.soak.run --again tools/soak/seeds.txt --seeds $(SEEDS)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/check_layers.py
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_platform.py
	$(BIN)/python tools/check_comments.py
	$(BIN)/python tools/check_positions.py

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lock:
	$(BIN)/pip-compile --quiet --all-extras --strip-extras --no-emit-index-url \
	  --no-emit-trusted-host --no-emit-find-links --allow-unsafe \
	  --output-file requirements.lock pyproject.toml

proto:
	cd . && find rhubarblock -name '*.proto' | xargs $(BIN)/python -m grpc_tools.protoc \
	  -I . --python_out=. --pyi_out=.
