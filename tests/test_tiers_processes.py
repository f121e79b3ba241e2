"""A hierarchical fleet of processes with network faults: a random day, violations that each checker must detect, and
forced situations that random faults seldom produce."""

import json
import re
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from click.testing import CliRunner

from driftshed.cli import main
from driftshed.day.fault_relay import FORTH
from driftshed.day.tiers import CELLS, FIRST_FAULT_S, NAMES, REGION_OF, HierarchyHarness, draw, judge

TAMPERS = ("epochs", "leases", "owners", "policies")
NORTH = [name for name in NAMES if REGION_OF[name] == "north"]
SOUTH = [name for name in NAMES if REGION_OF[name] == "south"]
DURATION_S = 17


def run_day(tamper: str | None) -> dict:
    command = [sys.executable, "-m", "driftshed.cli", "day", "tiers", "--json", "--seconds", str(DURATION_S)]
    more = ["--tamper", tamper] if tamper else []
    done = subprocess.run([*command, *more], capture_output=True, text=True, timeout=150)
    assert done.returncode in (0, 1), done.stderr
    return {**json.loads(done.stdout), "code": done.returncode}


def test_a_drawn_day_in_tiers_keeps_all_rules_and_each_guard_taken_out_is_seen():
    with ThreadPoolExecutor(3) as pool:
        untampered, *tampered = pool.map(run_day, (None, *TAMPERS))
    assert untampered["code"] == 0 and not untampered["breaks"], json.dumps(untampered)  # a dictionary is cut short
    assert all(row["checked"] and not row["broken"] for row in untampered["rules"].values()), untampered["rules"]
    assert untampered["settled"] >= 2 and {"cut", "kill", "pause", "store", "apart"} <= {
        e["what"] for e in untampered["events"]
    }
    for rule, result in zip(TAMPERS, tampered, strict=True):
        assert result["code"] == 1 and result["rules"][rule]["broken"], (rule, result)


def test_faults_are_drawn_alike_by_one_seed_and_one_at_a_time_for_each():
    assert draw(3, 36) == draw(3, 36) != draw(4, 36)
    for seed in range(200):
        free, faults = {}, draw(seed, 36)
        assert sum(fault.what == "cut" for fault in faults) == 1
        assert {"cut", "kill", "pause", "store", "apart", "reset", "lose"} <= {fault.what for fault in faults}
        for fault in faults:
            assert FIRST_FAULT_S <= fault.at and fault.at + (fault.lasts if fault.what == "cut" else 0) <= 36
            if fault.what not in ("cut", "reset"):
                assert fault.at >= free.get(fault.who, 0.0)
                free[fault.who] = fault.at + fault.lasts


@pytest.mark.parametrize(
    ("flags", "message"),
    [
        (("--tamper", "zones"), "the day tiers has epochs, leases, owners, policies"),
        (("--shrink",), "--seconds"),
        (("--seconds", "3"), "not in the range"),
    ],
)
def test_what_the_day_does_not_take_is_said_plainly(flags, message):
    result = CliRunner().invoke(main, ["day", "tiers", *flags])
    assert result.exit_code == 2 and message in result.output and "Traceback" not in result.output
    result = CliRunner().invoke(main, ["day", "quiet", "--seconds", "20"])
    assert result.exit_code == 2 and "its script says how long it is" in result.output


@pytest.fixture
def harness(tmp_path):
    harness = HierarchyHarness(tmp_path)
    harness.open()
    yield harness
    harness.close()


def drop_first_write(harness, names: list[str], side: str, path: str, then) -> list[str]:
    """Drops the first write under `path` by one of these supervisors and calls `then(name)` at the same moment. The
    name is in the returned list once that has happened."""
    dropped_for, pattern, fault_relays = (
        [],
        re.compile(path.encode()),
        {name: harness.fault_relays[name, side] for name in names},
    )

    def matcher(name: str):
        def matches(way: str, message: bytes) -> bool:
            if not pattern.search(message) or dropped_for:
                return False
            for other, relay in fault_relays.items():
                relay.drop_next[FORTH] = int(other == name)
            then(name)
            dropped_for.append(name)
            return True

        return matches

    def install() -> None:
        for name, relay in fault_relays.items():
            relay.may_drop, relay.drop_next[FORTH] = matcher(name), 1

    harness.run_on_loop(install)
    return dropped_for


def propose_until_accepted(harness, name: str, number: int) -> None:
    """Retries while the request is refused: right after a start there is no lease, or another change is open."""
    harness.until(lambda: harness.propose(name, number, 30.0)[0] == 200)


def delegate_dies_between_its_cells_votes_and_its_own(harness) -> None:
    kill = lambda name: harness.supervisors[name].signal(signal.SIGKILL)  # noqa: E731
    killed = drop_first_write(harness, list(CELLS["n1"]), "region", r"/regions/north/records/policy/\d+\.n1", kill)
    propose_until_accepted(harness, "s1-0", 2)
    harness.until(lambda: killed)
    others = [name for name in NAMES if name not in killed]
    harness.until(lambda: harness.runs(others) == dict.fromkeys(others, 2))  # another delegate wrote the cell's vote
    process = harness.supervisors[killed[0]]
    process.process.wait()
    process.process.stdout.close()
    process.start()
    process.await_listening()
    harness.until(lambda: harness.converged(2))


def supervisor_is_stopped_past_its_lease_and_resumed(harness) -> float:
    """Returns the time at which it was resumed."""
    process = harness.supervisors["n2-1"]
    process.signal(signal.SIGSTOP)
    propose_until_accepted(harness, "s2-0", 3)
    others = [name for name in NAMES if name != "n2-1"]
    # Committed without its vote, once it has been absent long enough.
    harness.until(lambda: harness.runs(others) == dict.fromkeys(others, 3))
    resumed_at = harness.loop.clock() - harness.recorder.began
    process.signal(signal.SIGCONT)
    harness.until(lambda: harness.converged(3))
    return resumed_at


def region_is_cut_off_while_a_change_is_open(harness) -> None:
    """The change is committed without the region and reverted, while updates in the region stay paused."""
    dropped_for = drop_first_write(
        harness, NORTH, "whole", r"/whole/records/policy/\d+\.north", lambda name: harness.cut_region("north", +1)
    )
    propose_until_accepted(harness, "s1-1", 4)
    harness.until(lambda: dropped_for)

    def in_force(version: int) -> bool:
        views = harness.views()
        return all(
            view is not None
            and view["holds_still"] == (name in NORTH)
            and view["runs"] == (3 if name in NORTH else version)
            for name, view in views.items()
        )

    harness.until(lambda: in_force(3))  # updates pause before any member counts the region as absent
    harness.until(lambda: in_force(4))
    host, port = harness.addresses["s2-2"]
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
    harness.until(lambda: in_force(5))
    harness.run_on_loop(lambda: harness.cut_region("north", -1))
    harness.until(lambda: harness.converged(5))


def test_moments_between_the_tiers_that_are_forced(harness):
    propose_until_accepted(harness, "s2-1", 1)
    harness.until(lambda: harness.converged(1))
    delegate_dies_between_its_cells_votes_and_its_own(harness)
    resumed_at = supervisor_is_stopped_past_its_lease_and_resumed(harness)
    region_is_cut_off_while_a_change_is_open(harness)
    harness.until(lambda: harness.converged(5))
    harness.await_version_reports(5)
    harness.close()
    verdict, hierarchy_judge = judge(harness)
    assert not verdict.violations, verdict.violations
    assert all(verdict.rules[rule]["checked"] for rule in TAMPERS), verdict.rules
    assert list(hierarchy_judge.settled) == [1, 2, 3, 4, 5]
    assert not [at for at, runs in hierarchy_judge.runs if runs.name == "n2-1" and at > resumed_at and runs.version < 3]
    assert not [at for at, runs in hierarchy_judge.runs if runs.name in NORTH and runs.version == 4]
