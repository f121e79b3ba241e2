"""A fleet in tiers as real processes with faults between them: a drawn day, each of its checkers seen to fail, and the
moments that chance seldom meets, forced."""

import json
import re
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from click.testing import CliRunner

from driftshed.cli import main
from driftshed.day.between import FORTH
from driftshed.day.tiers import CELLS, FIRST_FAULT, NAMES, REGION_OF, TiersStage, draw, judge

TAMPERS = ("epochs", "leases", "owners", "policies")
NORTH = [name for name in NAMES if REGION_OF[name] == "north"]
SOUTH = [name for name in NAMES if REGION_OF[name] == "south"]
SECONDS = 17


def played(tamper: str | None) -> dict:
    command = [sys.executable, "-m", "driftshed.cli", "day", "tiers", "--json", "--seconds", str(SECONDS)]
    more = ["--tamper", tamper] if tamper else []
    done = subprocess.run([*command, *more], capture_output=True, text=True, timeout=150)
    assert done.returncode in (0, 1), done.stderr
    return {**json.loads(done.stdout), "code": done.returncode}


def test_a_drawn_day_in_tiers_keeps_all_rules_and_each_guard_taken_out_is_seen():
    with ThreadPoolExecutor(3) as pool:
        kept, *tampered = pool.map(played, (None, *TAMPERS))
    assert kept["code"] == 0 and not kept["breaks"], kept
    assert all(row["checked"] and not row["broken"] for row in kept["rules"].values()), kept["rules"]
    assert kept["settled"] >= 2 and {"cut", "kill", "pause", "store", "apart"} <= {e["what"] for e in kept["events"]}
    for rule, said in zip(TAMPERS, tampered, strict=True):
        assert said["code"] == 1 and said["rules"][rule]["broken"], (rule, said)


def test_faults_are_drawn_alike_by_one_seed_and_one_at_a_time_for_each():
    assert draw(3, 36) == draw(3, 36) != draw(4, 36)
    for seed in range(200):
        free, faults = {}, draw(seed, 36)
        assert sum(fault.what == "cut" for fault in faults) == 1
        assert {"cut", "kill", "pause", "store", "apart", "reset", "lose"} <= {fault.what for fault in faults}
        for fault in faults:
            assert FIRST_FAULT <= fault.at and fault.at + (fault.lasts if fault.what == "cut" else 0) <= 36
            if fault.what not in ("cut", "reset"):
                assert fault.at >= free.get(fault.who, 0.0)
                free[fault.who] = fault.at + fault.lasts


@pytest.mark.parametrize(
    ("given", "said"),
    [
        (("--tamper", "zones"), "the day tiers has epochs, leases, owners, policies"),
        (("--shrink",), "--seconds"),
        (("--seconds", "3"), "not in the range"),
    ],
)
def test_what_the_day_does_not_take_is_said_plainly(given, said):
    result = CliRunner().invoke(main, ["day", "tiers", *given])
    assert result.exit_code == 2 and said in result.output and "Traceback" not in result.output
    result = CliRunner().invoke(main, ["day", "quiet", "--seconds", "20"])
    assert result.exit_code == 2 and "its script says how long it is" in result.output


@pytest.fixture
def stage(tmp_path):
    stage = TiersStage(tmp_path)
    stage.open()
    yield stage
    stage.close()


def lose_word(stage, names: list[str], side: str, path: str, then) -> list[str]:
    """The first word that one of these writes under this path is lost; `then(name)` happens at the same moment. Whose
    it was is in the list once it was."""
    lost, pattern, ways = [], re.compile(path.encode()), {name: stage.ways[name, side] for name in names}

    def loses(name: str):
        def found(way: str, message: bytes) -> bool:
            if not pattern.search(message) or lost:
                return False
            for other, between in ways.items():
                between.drop_next[FORTH] = int(other == name)
            then(name)
            lost.append(name)
            return True

        return found

    def arm() -> None:
        for name, between in ways.items():
            between.may_drop, between.drop_next[FORTH] = loses(name), 1

    stage.do(arm)
    return lost


def change(stage, name: str, number: int) -> None:
    """Asked again while it is refused: right after a start there is no lease, or another change is open."""
    stage.until(lambda: stage.propose(name, number, 30.0)[0] == 200)


def a_speaker_dies_between_its_cells_words_and_its_own(stage) -> None:
    kill = lambda name: stage.supervisors[name].signal(signal.SIGKILL)  # noqa: E731
    killed = lose_word(stage, list(CELLS["n1"]), "region", r"/regions/north/records/policy/\d+\.n1", kill)
    change(stage, "s1-0", 2)
    stage.until(lambda: killed)
    others = [name for name in NAMES if name not in killed]
    stage.until(lambda: stage.runs(others) == dict.fromkeys(others, 2))  # another gave the cell's word
    process = stage.supervisors[killed[0]]
    process.process.wait()
    process.process.stdout.close()
    process.start()
    process.await_listening()
    stage.until(lambda: stage.agree(2))


def one_is_stopped_past_its_lease_and_woken(stage) -> float:
    """When it was woken."""
    process = stage.supervisors["n2-1"]
    process.signal(signal.SIGSTOP)
    change(stage, "s2-0", 3)
    others = [name for name in NAMES if name != "n2-1"]
    stage.until(lambda: stage.runs(others) == dict.fromkeys(others, 3))  # without its word: it was away for long
    woken_at = stage.loop.clock() - stage.recorder.began
    process.signal(signal.SIGCONT)
    stage.until(lambda: stage.agree(3))
    return woken_at


def a_region_is_cut_while_a_change_is_open(stage) -> None:
    """The change is made without it and taken back again, and it holds still all the while."""
    cut = lose_word(
        stage, NORTH, "whole", r"/whole/records/policy/\d+\.north", lambda name: stage.cut_region("north", +1)
    )
    change(stage, "s1-1", 4)
    stage.until(lambda: cut)

    def stands(version: int) -> bool:
        views = stage.views()
        return all(
            view is not None
            and view["holds_still"] == (name in NORTH)
            and view["runs"] == (3 if name in NORTH else version)
            for name, view in views.items()
        )

    stage.until(lambda: stands(3))  # in doubt, it holds still before anybody counts it as away
    stage.until(lambda: stands(4))
    host, port = stage.addresses["s2-2"]
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "driftshed.cli",
            "policy",
            "revert",
            "3",
            "--why",
            "as it was",
            "--no-wait",
            "--supervisor",
            f"{host}:{port}",
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done
    stage.until(lambda: stands(5))
    stage.do(lambda: stage.cut_region("north", -1))
    stage.until(lambda: stage.agree(5))


def test_moments_between_the_tiers_that_are_forced(stage):
    change(stage, "s2-1", 1)
    stage.until(lambda: stage.agree(1))
    a_speaker_dies_between_its_cells_words_and_its_own(stage)
    woken_at = one_is_stopped_past_its_lease_and_woken(stage)
    a_region_is_cut_while_a_change_is_open(stage)
    stage.until(lambda: stage.agree(5))
    stage.close()
    verdict, found = judge(stage)
    assert not verdict.breaks, verdict.breaks
    assert all(verdict.rules[rule]["checked"] for rule in TAMPERS), verdict.rules
    assert list(found.settled) == [1, 2, 3, 4, 5]
    assert not [at for at, runs in found.runs if runs.name == "n2-1" and at > woken_at and runs.version < 3]
    assert not [at for at, runs in found.runs if runs.name in NORTH and runs.version == 4]
