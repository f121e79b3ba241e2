# `make demo` and `make test` set up all that they need in .venv.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test
demo: $(READY)
	$(BIN)/driftshed day bad

test: $(READY)
	$(BIN)/ruff check driftshed tests benchmarks
	$(BIN)/python -m pytest -q

$(READY): requirements.txt requirements-test.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip -q install -r requirements.txt -r requirements-test.txt
	$(BIN)/python -m pip -q install --no-deps --no-build-isolation -e .
	touch $@
