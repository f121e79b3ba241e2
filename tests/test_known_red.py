"""Hooks for KNOWN-RED.txt, tested in separate pytest processes."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False, "the fault itself"
@pytest.mark.parametrize("k", ["a b", "c: d"])
def test_each(k): assert k == "a b"
@pytest.fixture
def broken(): raise OSError
def test_setup(broken): pass
def test_skipped(): pytest.skip("not here")
"""
FAILING = "test_it.py::test_bad: it does (issue 7)"


def run(folder: Path, entries: str | None, *args: str) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text("from tests.known_red import *  # noqa: F403\n")
    (folder / "test_it.py").write_text(TESTS)
    (folder / "test_other.py").write_text("def test_fine(): pass\n")
    if entries is not None:
        (folder / "KNOWN-RED.txt").write_text(entries)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_no_file_means_none(tmp_path):
    code, output = run(tmp_path, None)
    assert code == 1 and "2 failed" in output and "KNOWN RED" not in output


def test_what_is_listed_runs_and_is_printed_with_its_cause(tmp_path):
    entries = (
        f"# waits\n\n{FAILING}\ntest_it.py::test_each[c: d]: odd (issue 8)\ntest_it.py::test_setup: no disk (issue 9)\n"
    )
    code, output = run(tmp_path, entries)
    assert code == 0 and "3 xfailed" in output and "3 passed" in output
    for line in ("test_bad: it does (issue 7)", "test_each[c: d]: odd (issue 8)", "test_setup: no disk (issue 9)"):
        assert f"KNOWN RED test_it.py::{line}" in output


def test_what_is_listed_for_some_runs_may_fail_or_pass(tmp_path):
    """Guards against a fault of some runs that fails others when listed, or that is passed over unprinted."""
    code, output = run(tmp_path, "test_it.py::test_bad in some runs: odd (issue 7)\n", "test_it.py::test_bad")
    assert code == 0 and "1 xfailed" in output
    assert "KNOWN RED test_it.py::test_bad: in some runs: odd (issue 7)" in output
    code, output = run(tmp_path, "test_it.py::test_good in some runs: odd (issue 7)\n", "test_it.py::test_good")
    assert code == 0 and "1 passed" in output and "KNOWN RED" not in output
    code, output = run(tmp_path, "test_it.py::test_good: odd (issue 7)\n", "test_it.py::test_good")
    assert code == 1


def test_a_fault_that_is_not_listed_fails_the_run_beside_one_that_is(tmp_path):
    code, output = run(tmp_path, FAILING)
    assert code == 1 and "1 failed" in output and "1 error" in output and "1 xfailed" in output


@pytest.mark.parametrize("test", ["test_good", "test_each[a b]", "test_skipped"])
def test_what_does_not_fail_any_more_fails_the_run_until_its_line_is_out(tmp_path, test):
    code, output = run(tmp_path, f"test_it.py::{test}: once it did (issue 7)\n", "-k", "good or each or skipped")
    assert code == 1 and "remove its line" in output


@pytest.mark.parametrize(
    "entries, message",
    [
        ("\n".join(f"test_it.py::test_bad{k}: why (issue 1)" for k in range(4)), "test_bad3"),
        ("test_it.py::test_bad", "expected 'FILE.py::TEST: CAUSE (issue N)'"),
        ("test_bad: it does (issue 7)", "expected 'FILE.py::TEST"),
        ("test_it.py::test_bad: it does", "expected 'FILE.py::TEST"),
        ("test_it.py::test_bad:  (issue 7)", "expected 'FILE.py::TEST"),
        ("test_it.py::test_gone: it did (issue 7)", "names no test"),
        (f"{FAILING}\n{FAILING}", "named twice"),
        ("test_away.py::test_bad: it did (issue 7)", "names no test"),
    ],
)
def test_a_wrong_line_fails_the_run_and_is_named(tmp_path, entries, message):
    code, output = run(tmp_path, entries)
    assert code not in (0, 1) and message in output and "passed" not in output


def test_a_run_of_some_tests_heeds_only_what_it_looks_through(tmp_path):
    assert run(tmp_path, FAILING, "test_other.py")[0] == 0
    assert run(tmp_path, FAILING, "test_it.py::test_good")[0] == 0
    assert run(tmp_path, FAILING, "-k", "good")[0] == 0
