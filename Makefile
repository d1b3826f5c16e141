PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
LOCK_HASH := $(shell sha256sum requirements.lock | cut -c1-16)
INSTALLED := $(VENV)/.installed-$(LOCK_HASH)
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: demo test fuzz bench lint format install

install: $(INSTALLED)

# The stamp carries the hash of the lock file, so a changed lock reinstalls.
$(INSTALLED):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/python -m primroseford.demo

test: install
	$(BIN)/python -m pytest $(ARGS)

# The same tests of decoders as in make test, with many more and ever new inputs.
fuzz: install
	PRIMROSEFORD_TEST_PROFILE=fuzz $(BIN)/python -m pytest -k fuzz $(ARGS)

bench: install
	$(BIN)/python -m bench $(ARGS)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	PYTHONPATH=src $(BIN)/lint-imports --no-cache

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
