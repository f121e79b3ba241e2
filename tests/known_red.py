"""Pytest hooks for KNOWN-RED.txt at the root, which lists tests that fail because of a known, still unfixed fault.
A listed test still runs. If it fails, it is reported as xfailed and printed with its cause; if it passes, the run
fails until its line is removed. One that is listed with "in some runs" fails only at times: it may pass."""

import re
from pathlib import Path

import pytest

FILE, MAX_ENTRIES = "KNOWN-RED.txt", 3
ENTRY = re.compile(
    r"(?P<test>\S+\.py::[^\[\s]+?(?:\[.+?\])?)(?P<sometimes> in some runs)?: (?P<cause>\S.*) \(issue (?P<issue>\d+)\)"
)
SOMETIMES = "in some runs: "
CAUSES_KEY = pytest.StashKey[dict[str, str]]()


def parse_entries(text: str) -> dict[str, str]:
    """Causes by test id. Raises UsageError that names an invalid line."""
    causes: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        match = ENTRY.fullmatch(line.strip())
        if match is None:
            raise pytest.UsageError(f"{FILE}: {line!r}: expected 'FILE.py::TEST: CAUSE (issue N)'")
        if match["test"] in causes:
            raise pytest.UsageError(f"{FILE}: {line!r}: named twice")
        if len(causes) == MAX_ENTRIES:
            raise pytest.UsageError(f"{FILE}: {line!r}: {MAX_ENTRIES} lines at most")
        prefix = SOMETIMES if match["sometimes"] else ""
        causes[match["test"]] = f"{prefix}{match['cause']} (issue {match['issue']})"
    return causes


def pytest_configure(config) -> None:
    file = Path(config.rootpath, FILE)
    config.stash[CAUSES_KEY] = parse_entries(file.read_text()) if file.exists() else {}


@pytest.hookimpl(tryfirst=True)  # before any test is deselected
def pytest_collection_modifyitems(config, items) -> None:
    collected = {item.nodeid for item in items}
    files = {name.split("::")[0] for name in collected}
    for test in config.stash[CAUSES_KEY]:
        file = test.split("::")[0]
        file_collected = file in files and not any("::" in each for each in config.args)
        if test not in collected and (file_collected or not Path(config.rootpath, file).exists()):
            raise pytest.UsageError(f"{FILE}: {test!r} names no test")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    cause = item.config.stash[CAUSES_KEY].get(item.nodeid)
    if cause is None:
        return report
    if report.failed:
        report.outcome, report.wasxfail = "skipped", cause
        item.config.stash.setdefault(FAILURES_KEY, {})[item.nodeid] = cause
    elif call.when == "call" and not cause.startswith(SOMETIMES):
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} does not fail, but is listed in {FILE}: remove its line"
    return report


FAILURES_KEY = pytest.StashKey[dict[str, str]]()


def pytest_terminal_summary(terminalreporter, config) -> None:
    for test, cause in config.stash.get(FAILURES_KEY, {}).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
