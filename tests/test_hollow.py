"""Hollow supervisors over real sockets: what a member in tiers costs does not grow with the fleet, by counts."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

import pytest

from benchmarks.hollow import ROOT, Run, dealt, names_of, put, read_arguments, spread, table, tiers_text
from benchmarks.hollow_worker import Frames, Row

CELL = 6  # supervisors of a cell, at both sizes
SMALL, LARGE = (2, 2), (4, 4)  # regions, cells of each: 24 and 96 supervisors
REST = 5.0  # seconds
SLOPE = 1.10  # the most by which a count may be larger in the larger fleet


def ordinary(fleet: Run) -> str:
    """One that speaks for nobody."""
    return min(row[0] for report in fleet.ask_all("report") for row in report["rows"] if Row(*row).role == 1)


def joined_again(fleet: Run, name: str) -> Row:
    """One that is killed and started again in a fleet that is there: its row once it could act."""
    fleet.ask_at(name, "kill", again=0.2)
    fleet.pass_time(0.4)
    fleet._await(lambda: fleet.look()["ready"] == fleet.size, f"{name} to be ready again", 30.0)
    rows = [Row(*row) for report in fleet.ask_all("report") for row in report["rows"]]
    return next(row for row in rows if row.name == name)


def costs(kind: str, regions: int, cells: int, size: int) -> dict:
    """What a fleet of this size costs: at rest after a change, and one that joins it; a change before and after."""
    with Run(kind, size, 5, regions, cells, processes=2, longest=90.0, timeout=2.0) as fleet:
        fleet.start_all(1.5, 40.0)
        changes = fleet.changes(1)
        fleet.pass_time(2.5)  # until all have said what they run
        rest = fleet.measure(lambda: fleet.pass_time(REST))
        again = joined_again(fleet, ordinary(fleet))
        changes += fleet.changes(1, first=2)
        errors = [each for report in fleet.ask_all("report") for each in report["errors"]]
        errors += ["a supervisor is fenced"] * fleet.look()["fenced"]
    return {"rest": rest, "again": again, "changes": changes, "errors": errors}


@pytest.fixture(scope="module")
def fleets() -> dict:
    """All fleets that are compared, side by side: counts do not go by how busy the machine is."""
    asked = {
        "small": ("tiers", *SMALL, CELL * SMALL[0] * SMALL[1]),
        "large": ("tiers", *LARGE, CELL * LARGE[0] * LARGE[1]),
        "flat, small": ("flat", 1, 1, 8),
        "flat, large": ("flat", 1, 1, 32),
    }
    with ThreadPoolExecutor(len(asked)) as pool:
        futures = {name: pool.submit(costs, *given) for name, given in asked.items()}
        return {name: future.result() for name, future in futures.items()}


@pytest.fixture(scope="module")
def small(fleets) -> dict:
    return fleets["small"]


@pytest.fixture(scope="module")
def large(fleets) -> dict:
    return fleets["large"]


def test_a_member_at_rest_costs_the_same_whatever_the_size_of_the_fleet(small, large):
    one, other = small["rest"]["member"], large["rest"]["member"]
    assert other["n"] >= 4 * one["n"] > 0
    for what in ("bytes_a_second", "messages_a_second"):
        assert other[what]["mean"] <= SLOPE * one[what]["mean"], (what, one[what], other[what])
    assert other["watches"]["worst"] <= one["watches"]["worst"]
    assert other["roll"]["worst"] <= CELL


def test_a_speaker_pays_for_its_cell_and_its_region_alone(large):
    """At four regions of four cells: its cell's, its region's and, for one of a region, the whole's."""
    for role, members in (("cell's speaker", CELL + LARGE[1]), ("region's speaker", CELL + LARGE[1] + LARGE[0])):
        assert large["rest"][role]["roll"]["worst"] <= members
    assert large["rest"]["region's speaker"]["n"] == LARGE[0]


def test_joining_reads_the_cell_and_not_the_fleet(small, large):
    assert large["again"].start == small["again"].start == 2
    assert 0 < large["again"].read_messages <= SLOPE * small["again"].read_messages + 6
    assert 0 < large["again"].read_bytes <= SLOPE * small["again"].read_bytes + 1000
    assert large["again"].roll <= CELL


def test_a_change_is_in_force_at_all(small, large):
    for fleet, size in ((small, CELL * 4), (large, CELL * 16)):
        assert [row["settled"] and row["everywhere"] for row in fleet["changes"]] == [True, True], fleet["changes"]
        assert all(row["after_s"]["n"] == size for row in fleet["changes"])
        assert fleet["errors"] == []


def test_the_same_counts_grow_where_all_read_all(fleets):
    """The slope that is asked for above is one that a fleet without tiers does not keep."""
    one, other = fleets["flat, small"], fleets["flat, large"]
    assert other["changes"][0]["everywhere"] and one["errors"] == other["errors"] == []
    assert other["again"].read_bytes > 2 * SLOPE * one["again"].read_bytes + 1000
    assert other["rest"]["member"]["watches"]["worst"] > 2 * one["rest"]["member"]["watches"]["worst"]


def test_a_run_ends_what_it_started():
    with Run("flat", 4, 1, processes=2, longest=30.0) as fleet:
        fleet.start_all(0.2, 20.0)
        numbers = [each.process.pid for each in (*fleet.workers, *fleet.stores)]
        folder = fleet.folder
        assert all(Path(f"/proc/{number}").exists() for number in numbers) and folder.is_dir()
    assert not any(Path(f"/proc/{number}").exists() for number in numbers) and not folder.exists()


def test_one_that_is_killed_says_nothing_and_its_start_is_counted():
    with Run("flat", 3, 1, processes=1, longest=60.0) as fleet:
        fleet.start_all(0.2, 20.0)
        assert fleet.ask_at("s0002", "kill", again=None) == {"killed": True}
        assert fleet.ask_at("s0002", "kill", again=None) == {"killed": False}
        assert fleet.ask_at("s0002", "propose", text="", patience=1.0) == {"refused": "it is not there"}
        assert fleet.look()["living"] == 2

        def silent() -> bool:  # the others know once its session has lapsed: it did not end it
            rows = [Row(*row) for report in fleet.ask_all("report") for row in report["rows"]]
            return [row.roll for row in rows] == [2, 2]

        rows = [Row(*row) for report in fleet.ask_all("report") for row in report["rows"]]
        assert [row.roll for row in rows] == [3, 3]
        fleet._await(silent, "its node to go", 20.0)


def test_messages_are_counted_however_the_bytes_are_cut():
    random = Random(7)
    for _ in range(200):
        sizes = [random.choice([0, 1, 3, 4, 20, 300]) for _ in range(random.randrange(1, 30))]
        data = b"".join(size.to_bytes(4, "big") + bytes(size) for size in sizes)
        frames, found, at = Frames(), 0, 0
        while at < len(data):
            step = random.choice([1, 2, 3, 5, 50, 1000])
            found += frames.begun(data[at : at + step])
            at += step
        assert found == len(sizes)


def test_a_tiers_file_names_each_once_in_cells_that_are_as_even_as_can_be():
    names = names_of(5200)
    cells = [cell for inside in dealt(names, 9) for cell in dealt(inside, 10)]
    assert [name for cell in cells for name in cell] == names and len(cells) == 90
    assert {len(cell) for cell in cells} == {57, 58}
    text = tiers_text(names, 9, 10, "127.0.0.2:2181", [f"127.0.0.{k + 3}:2181" for k in range(9)])
    from driftshed.coordination.tiers import read_tiers

    read_tiers(text)


def test_results_are_appended_and_shown(tmp_path, capsys):
    out = tmp_path / "rows.json"
    put({"kind": "flat", "size": 2, "seed": 1, "partial": "so far"}, out)
    put({"kind": "tiers", "size": 3, "seed": 1}, out)
    table(out)
    shown = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [(row["kind"], row["size"], row["partial"]) for row in shown] == [("flat", 2, "so far"), ("tiers", 3, None)]
    assert spread([]) is None and spread([3.0, 1.0, 2.0])["p50"] == 2.0


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
        read_arguments(given)
    assert ended.value.code == 2 and "error:" in capsys.readouterr().err


@pytest.mark.parametrize("given", [[], ["nothing.json"]])
def test_a_worker_without_a_plan_says_so(given):
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.hollow", "worker", *given],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )
    assert done.returncode == 2 and "worker:" in done.stderr and "Traceback" not in done.stderr
