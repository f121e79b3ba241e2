# `make demo` and `make test` set up all that they need in .venv.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test
demo: $(READY)
	$(BIN)/driftshed day bad

test: $(READY)
	$(BIN)/ruff check driftshed tests benchmarks
	$(BIN)/ruff format --check driftshed tests benchmarks
	$(BIN)/python -m pytest -q

$(READY): requirements.txt requirements-test.txt pyproject.toml
	sh deploy/venv.sh $(PYTHON) test
