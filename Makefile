# Start with ``make test`` and ``make demo``. Both create a virtual
# environment from the pinned requirements.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo lint format tests thrift clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: lint tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 cyclamenlift tests bench demo soak

tests: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m demo

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

# Needed only after a change of the IDL: the generated code is committed.
thrift:
	rm -rf cyclamenlift/wire/gen
	mkdir -p cyclamenlift/wire/gen
	thrift --gen py:enum,package_prefix=cyclamenlift.wire.gen. \
		-out cyclamenlift/wire/gen cyclamenlift/wire/cyclamenlift.thrift

clean:
	rm -rf $(VENV) build *.egg-info
