"""Measures changes of policy in virtual time: random histories with faults, and the duration of a change without.

    python -m benchmarks.policy histories [COUNT]
    python -m benchmarks.policy times
    python -m benchmarks.policy kills [COUNT]       # writers of the policy store, killed at random points

Prints one JSON object a line."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections import Counter
from multiprocessing import Pool
from pathlib import Path
from statistics import median

from tests.fleets import check_history
from tests.policies import PolicyFleet, check_policy_invariants, run_random_history
from tests.test_policy_processes import kill_writer


def run_history(seed: int) -> tuple[int, str, int, int, Counter]:
    """Runs one history: seed, violated invariant, versions committed, proposals, and how these ended."""
    folder = Path(tempfile.mkdtemp())
    try:
        fleet = run_random_history(folder, seed)
        violation = ""
        try:
            check_policy_invariants(fleet)
            check_history(fleet)
        except AssertionError as error:
            violation = str(error)
        outcomes = Counter(fields["state"] for _, _, event, fields in fleet.logs if event == "policy_ended")
        return seed, violation, len(fleet.committed_changes()), len(fleet.orders), outcomes
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_histories(count: int) -> None:
    """Runs `count` histories in parallel and prints their sums."""
    broken, settled, orders, outcomes, by_versions = [], 0, 0, Counter(), Counter()
    with Pool() as pool:
        for seed, violation, seed_versions, seed_orders, seed_outcomes in pool.imap_unordered(
            run_history, range(count), chunksize=8
        ):
            settled, orders, outcomes = settled + seed_versions, orders + seed_orders, outcomes + seed_outcomes
            by_versions[min(seed_versions, 5)] += 1
            if violation:
                broken.append([seed, violation])
    print(
        json.dumps(
            {
                "histories": count,
                "broken": broken[:10],
                "broken_in_all": len(broken),
                "settled": settled,
                "orders": orders,
                "ends": outcomes,
                "by_versions": dict(sorted(by_versions.items())),
            }
        )
    )


def measure_times(supervisors: int) -> dict:
    """Time from a proposal until all have switched, and between the first and last switch, over 10 changes.

    Medians and maxima leave out the first change."""
    folder, durations, spreads = Path(tempfile.mkdtemp()), [], []
    fleet = PolicyFleet(folder, tuple(f"s{k}" for k in range(supervisors)), proxies=8)
    fleet.run_until_up()
    fleet.run(2)
    for k in range(10):
        started_at = fleet.loop.now
        fleet.propose_policy("s0", 2.5 + k / 10)
        fleet.run_until(lambda k=k: set(fleet.active_versions().values()) == {k + 1}, 20)
        switch_times = [at for at, _, event, fields in fleet.logs if event == "policy" and fields["version"] == k + 1]
        durations.append(max(switch_times) - started_at)
        spreads.append(max(switch_times) - min(switch_times))
        fleet.run(2)
    written_before = sum(agent.write_count for agent in fleet.agents.values())
    fleet.run(10)
    written = sum(agent.write_count for agent in fleet.agents.values()) - written_before
    shutil.rmtree(folder, ignore_errors=True)
    return {
        "supervisors": supervisors,
        "everywhere_s": [round(median(durations[1:]), 3), round(max(durations[1:]), 3)],
        "spread_ms": [round(1000 * median(spreads[1:]), 1), round(1000 * max(spreads[1:]), 1)],
        "writes_at_rest_in_10_s": written,
    }


def run_kills(seeds: range) -> list:
    """Kills writers of one policy store one after the other. Returns the seeds after which it contained neither the
    last acknowledged version nor the one after it."""
    folder, failures = Path(tempfile.mkdtemp()), []
    for seed in seeds:
        acknowledged, stored = kill_writer(folder, seed)
        if stored not in (acknowledged, acknowledged + 1):
            failures.append([seed, acknowledged, stored])
    shutil.rmtree(folder, ignore_errors=True)
    return failures


def check_kills(count: int) -> None:
    """Runs `count` kills in parallel and prints the failures."""
    with Pool() as pool:
        failures = pool.map(run_kills, [range(k, k + 25) for k in range(0, count, 25)], chunksize=1)
    print(json.dumps({"kills": count, "wrong": [row for rows in failures for row in rows]}))


def main() -> None:
    """Runs the measurement named on the command line; histories by default."""
    if sys.argv[1:2] == ["times"]:
        for supervisors in (3, 5, 9, 25):
            print(json.dumps(measure_times(supervisors)), flush=True)
    elif sys.argv[1:2] == ["kills"]:
        check_kills(int(sys.argv[2]) if len(sys.argv) > 2 else 1000)
    else:
        run_histories(int(sys.argv[2]) if len(sys.argv) > 2 else 1000)


if __name__ == "__main__":
    main()
