"""The list of known red tests, on runs of pytest of their own."""

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
BAD = "test_it.py::test_bad: it does (issue 7)"


def run(folder: Path, red: str | None, *args: str) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text("from tests.known_red import *  # noqa: F403\n")
    (folder / "test_it.py").write_text(TESTS)
    (folder / "test_other.py").write_text("def test_fine(): pass\n")
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
    )
    return done.returncode, done.stdout + done.stderr


def test_no_file_means_none(tmp_path):
    code, said = run(tmp_path, None)
    assert code == 1 and "2 failed" in said and "KNOWN RED" not in said


def test_what_is_listed_runs_and_is_printed_with_its_cause(tmp_path):
    red = f"# waits\n\n{BAD}\ntest_it.py::test_each[c: d]: odd (issue 8)\ntest_it.py::test_setup: no disk (issue 9)\n"
    code, said = run(tmp_path, red)
    assert code == 0 and "3 xfailed" in said and "3 passed" in said
    for line in ("test_bad: it does (issue 7)", "test_each[c: d]: odd (issue 8)", "test_setup: no disk (issue 9)"):
        assert f"KNOWN RED test_it.py::{line}" in said


def test_a_fault_that_is_not_listed_fails_the_run_beside_one_that_is(tmp_path):
    code, said = run(tmp_path, BAD)
    assert code == 1 and "1 failed" in said and "1 error" in said and "1 xfailed" in said


@pytest.mark.parametrize("test", ["test_good", "test_each[a b]", "test_skipped"])
def test_what_does_not_fail_any_more_fails_the_run_until_its_line_is_out(tmp_path, test):
    code, said = run(tmp_path, f"test_it.py::{test}: once it did (issue 7)\n", "-k", "good or each or skipped")
    assert code == 1 and "take its line out" in said


@pytest.mark.parametrize(
    "red, said",
    [
        ("\n".join(f"test_it.py::test_bad{k}: why (issue 1)" for k in range(4)), "test_bad3"),
        ("test_it.py::test_bad", "'FILE.py::TEST: CAUSE (issue N)' is wanted"),
        ("test_bad: it does (issue 7)", "wanted"),
        ("test_it.py::test_bad: it does", "is wanted"),
        ("test_it.py::test_bad:  (issue 7)", "is wanted"),
        ("test_it.py::test_gone: it did (issue 7)", "names no test"),
        (f"{BAD}\n{BAD}", "named twice"),
        ("test_away.py::test_bad: it did (issue 7)", "names no test"),
    ],
)
def test_a_wrong_line_fails_the_run_and_is_named(tmp_path, red, said):
    code, printed = run(tmp_path, red)
    assert code not in (0, 1) and said in printed and "passed" not in printed


def test_a_run_of_some_tests_heeds_only_what_it_looks_through(tmp_path):
    assert run(tmp_path, BAD, "test_other.py")[0] == 0
    assert run(tmp_path, BAD, "test_it.py::test_good")[0] == 0
    assert run(tmp_path, BAD, "-k", "good")[0] == 0
