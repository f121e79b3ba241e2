"""Hollow supervisors over real sockets: by counts, the cost of a member of a hierarchical fleet does not grow with the
fleet."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

import pytest

from benchmarks.hollow import (
    ROOT,
    Run,
    append_row,
    make_tiers_text,
    parse_arguments,
    print_rows,
    split_evenly,
    summarize,
    supervisor_names,
)
from benchmarks.hollow_worker import MessageCounter, Row

CELL_MEMBERS = 6  # at both sizes
SMALL, LARGE = (2, 2), (4, 4)  # regions, cells per region: 24 and 96 supervisors
REST_S = 5.0
MAX_GROWTH = 1.10  # of a count, from the small to the large fleet


def plain_member(fleet: Run) -> str:
    """The name of a supervisor that is not a delegate."""
    return min(row[0] for report in fleet.request_all("report") for row in report["rows"] if Row(*row).role == 1)


def restart_and_wait(fleet: Run, name: str) -> Row:
    """Kills and restarts a supervisor in a running fleet; returns its row once it is ready."""
    fleet.request_from(name, "kill", again=0.2)
    fleet.run_for(0.4)
    fleet._wait_until(lambda: fleet.poll()["ready"] == fleet.size, f"{name} to be ready again", 30.0)
    rows = [Row(*row) for report in fleet.request_all("report") for row in report["rows"]]
    return next(row for row in rows if row.name == name)


def measure_costs(kind: str, regions: int, cells: int, size: int) -> dict:
    """Costs in a fleet of this size: at rest after a change, and of a restart; with a change before and after."""
    with Run(kind, size, 5, regions, cells, processes=2, max_seconds=90.0, timeout=2.0) as fleet:
        fleet.start_all(1.5, 40.0)
        changes = fleet.make_changes(1)
        fleet.run_for(2.5)  # until all have published the version they run
        rest = fleet.measure(lambda: fleet.run_for(REST_S))
        restarted = restart_and_wait(fleet, plain_member(fleet))
        changes += fleet.make_changes(1, first=2)
        errors = [each for report in fleet.request_all("report") for each in report["errors"]]
        errors += ["a supervisor is fenced"] * fleet.poll()["fenced"]
    return {"rest": rest, "again": restarted, "changes": changes, "errors": errors}


@pytest.fixture(scope="module")
def fleets() -> dict:
    """All fleets that are compared, measured in parallel: counts do not depend on the load of the machine."""
    configurations = {
        "small": ("tiers", *SMALL, CELL_MEMBERS * SMALL[0] * SMALL[1]),
        "large": ("tiers", *LARGE, CELL_MEMBERS * LARGE[0] * LARGE[1]),
        "flat, small": ("flat", 1, 1, 8),
        "flat, large": ("flat", 1, 1, 32),
    }
    with ThreadPoolExecutor(len(configurations)) as pool:
        futures = {name: pool.submit(measure_costs, *arguments) for name, arguments in configurations.items()}
        return {name: future.result() for name, future in futures.items()}


@pytest.fixture(scope="module")
def small(fleets) -> dict:
    return fleets["small"]


@pytest.fixture(scope="module")
def large(fleets) -> dict:
    return fleets["large"]


def test_a_member_at_rest_costs_the_same_whatever_the_size_of_the_fleet(small, large):
    of_small, of_large = small["rest"]["member"], large["rest"]["member"]
    assert of_large["n"] >= 4 * of_small["n"] > 0
    for what in ("bytes_a_second", "messages_a_second"):
        assert of_large[what]["mean"] <= MAX_GROWTH * of_small[what]["mean"], (what, of_small[what], of_large[what])
    assert of_large["watches"]["worst"] <= of_small["watches"]["worst"]
    assert of_large["roll"]["worst"] <= CELL_MEMBERS


def test_a_speaker_pays_for_its_cell_and_its_region_alone(large):
    """A delegate reads the members of its cell and region; a delegate of a region also those of the root fleet."""
    for role, members in (
        ("cell's speaker", CELL_MEMBERS + LARGE[1]),
        ("region's speaker", CELL_MEMBERS + LARGE[1] + LARGE[0]),
    ):
        assert large["rest"][role]["roll"]["worst"] <= members
    assert large["rest"]["region's speaker"]["n"] == LARGE[0]


def test_joining_reads_the_cell_and_not_the_fleet(small, large):
    assert large["again"].start == small["again"].start == 2
    assert 0 < large["again"].read_messages <= MAX_GROWTH * small["again"].read_messages + 6
    assert 0 < large["again"].read_bytes <= MAX_GROWTH * small["again"].read_bytes + 1000
    assert large["again"].known_members <= CELL_MEMBERS


def test_a_change_is_in_force_at_all(small, large):
    for fleet, size in ((small, CELL_MEMBERS * 4), (large, CELL_MEMBERS * 16)):
        assert [row["settled"] and row["everywhere"] for row in fleet["changes"]] == [True, True], fleet["changes"]
        assert all(row["after_s"]["n"] == size for row in fleet["changes"])
        assert fleet["errors"] == []


def test_the_same_counts_grow_where_all_read_all(fleets):
    """MAX_GROWTH is a real limit: a flat fleet exceeds it."""
    of_small, of_large = fleets["flat, small"], fleets["flat, large"]
    assert of_large["changes"][0]["everywhere"] and of_small["errors"] == of_large["errors"] == []
    assert of_large["again"].read_bytes > 2 * MAX_GROWTH * of_small["again"].read_bytes + 1000
    assert of_large["rest"]["member"]["watches"]["worst"] > 2 * of_small["rest"]["member"]["watches"]["worst"]


def test_a_run_ends_what_it_started():
    with Run("flat", 4, 1, processes=2, max_seconds=30.0) as fleet:
        fleet.start_all(0.2, 20.0)
        pids = [each.process.pid for each in (*fleet.workers, *fleet.stores)]
        folder = fleet.folder
        assert all(Path(f"/proc/{pid}").exists() for pid in pids) and folder.is_dir()
    assert not any(Path(f"/proc/{pid}").exists() for pid in pids) and not folder.exists()


def test_one_that_is_killed_says_nothing_and_its_start_is_counted():
    with Run("flat", 3, 1, processes=1, max_seconds=60.0) as fleet:
        fleet.start_all(0.2, 20.0)
        assert fleet.request_from("s0002", "kill", again=None) == {"killed": True}
        assert fleet.request_from("s0002", "kill", again=None) == {"killed": False}
        assert fleet.request_from("s0002", "propose", text="", patience=1.0) == {"refused": "it is not there"}
        assert fleet.poll()["living"] == 2

        def others_noticed() -> bool:  # once its session has expired, as it was not closed
            rows = [Row(*row) for report in fleet.request_all("report") for row in report["rows"]]
            return [row.known_members for row in rows] == [2, 2]

        rows = [Row(*row) for report in fleet.request_all("report") for row in report["rows"]]
        assert [row.known_members for row in rows] == [3, 3]
        fleet._wait_until(others_noticed, "its node to go", 20.0)


def test_messages_are_counted_however_the_bytes_are_cut():
    random = Random(7)
    for _ in range(200):
        sizes = [random.choice([0, 1, 3, 4, 20, 300]) for _ in range(random.randrange(1, 30))]
        data = b"".join(size.to_bytes(4, "big") + bytes(size) for size in sizes)
        counter, count, at = MessageCounter(), 0, 0
        while at < len(data):
            step = random.choice([1, 2, 3, 5, 50, 1000])
            count += counter.count_starts(data[at : at + step])
            at += step
        assert count == len(sizes)


def test_a_tiers_file_names_each_once_in_cells_that_are_as_even_as_can_be():
    names = supervisor_names(5200)
    cells = [cell for region_names in split_evenly(names, 9) for cell in split_evenly(region_names, 10)]
    assert [name for cell in cells for name in cell] == names and len(cells) == 90
    assert {len(cell) for cell in cells} == {57, 58}
    text = make_tiers_text(names, 9, 10, "127.0.0.2:2181", [f"127.0.0.{k + 3}:2181" for k in range(9)])
    from driftshed.coordination.hierarchy import read_hierarchy

    read_hierarchy(text)


def test_results_are_appended_and_shown(tmp_path, capsys):
    out = tmp_path / "rows.json"
    append_row({"kind": "flat", "size": 2, "seed": 1, "partial": "so far"}, out)
    append_row({"kind": "tiers", "size": 3, "seed": 1}, out)
    print_rows(out)
    shown = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [(row["kind"], row["size"], row["partial"]) for row in shown] == [("flat", 2, "so far"), ("tiers", 3, None)]
    assert summarize([]) is None and summarize([3.0, 1.0, 2.0])["p50"] == 2.0


@pytest.mark.parametrize(
    "given",
    [
        ["tiers"],
        ["flat", "65"],
        ["agents", "1"],
        ["tiers", "24", "--rest", "-1"],
        ["all"],
        ["flat", "9", "--real", "1"],
    ],
)
def test_bad_input_is_refused_with_a_word(given, capsys):
    with pytest.raises(SystemExit) as ended:
        parse_arguments(given)
    assert ended.value.code == 2 and "error:" in capsys.readouterr().err


@pytest.mark.parametrize("given", [[], ["nothing.json"]])
def test_a_worker_without_a_plan_says_so(given):
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.hollow", "worker", *given],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )
    assert completed.returncode == 2 and "worker:" in completed.stderr and "Traceback" not in completed.stderr
