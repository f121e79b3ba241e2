"""Changes of policy in virtual time: drawn histories with faults, and how long a change takes without.

    python -m benchmarks.policy histories [COUNT]
    python -m benchmarks.policy times
    python -m benchmarks.policy kills [COUNT]       # writers of the kept file, killed at points of their own

One JSON object a line."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections import Counter
from multiprocessing import Pool
from pathlib import Path
from statistics import median

from tests.fleets import check
from tests.policies import PolicyFleet, check_policies, drawn_history
from tests.test_policy_processes import cut_short


def history(seed: int) -> tuple[int, str, int, int, Counter]:
    """Of one seed: what does not hold, versions settled, proposals, how they ended."""
    folder = Path(tempfile.mkdtemp())
    try:
        fleet = drawn_history(folder, seed)
        said = ""
        try:
            check_policies(fleet)
            check(fleet)
        except AssertionError as error:
            said = str(error)
        ends = Counter(fields["state"] for _, _, event, fields in fleet.logs if event == "policy_ended")
        return seed, said, len(fleet.settled()), len(fleet.orders), ends
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def histories(count: int) -> None:
    broken, settled, orders, ends, kinds = [], 0, 0, Counter(), Counter()
    with Pool() as pool:
        for seed, said, versions, ordered, ended in pool.imap_unordered(history, range(count), chunksize=8):
            settled, orders, ends = settled + versions, orders + ordered, ends + ended
            kinds[min(versions, 5)] += 1
            if said:
                broken.append([seed, said])
    print(
        json.dumps(
            {
                "histories": count,
                "broken": broken[:10],
                "broken_in_all": len(broken),
                "settled": settled,
                "orders": orders,
                "ends": ends,
                "by_versions": dict(sorted(kinds.items())),
            }
        )
    )


def times(supervisors: int) -> dict:
    """From proposal to everywhere, and the spread of the switch, 10 changes."""
    folder, took, spread = Path(tempfile.mkdtemp()), [], []
    fleet = PolicyFleet(folder, tuple(f"s{k}" for k in range(supervisors)), proxies=8)
    fleet.up()
    fleet.run(2)
    for k in range(10):
        began = fleet.loop.now
        fleet.ask("s0", 2.5 + k / 10)
        fleet.until(lambda k=k: set(fleet.runs().values()) == {k + 1}, 20)
        at = [at for at, _, event, fields in fleet.logs if event == "policy" and fields["version"] == k + 1]
        took.append(max(at) - began)
        spread.append(max(at) - min(at))
        fleet.run(2)
    quiet = sum(agent.written for agent in fleet.agents.values())
    fleet.run(10)
    written = sum(agent.written for agent in fleet.agents.values()) - quiet
    shutil.rmtree(folder, ignore_errors=True)
    return {
        "supervisors": supervisors,
        "everywhere_s": [round(median(took[1:]), 3), round(max(took[1:]), 3)],
        "spread_ms": [round(1000 * median(spread[1:]), 1), round(1000 * max(spread[1:]), 1)],
        "writes_at_rest_in_10_s": written,
    }


def killed(seeds: range) -> list:
    """Writers killed one after the other in one file: seeds after which it did not hold what was said, and nothing
    torn."""
    folder, wrong = Path(tempfile.mkdtemp()), []
    for seed in seeds:
        said, kept = cut_short(folder, seed)
        if kept not in (said, said + 1):
            wrong.append([seed, said, kept])
    shutil.rmtree(folder, ignore_errors=True)
    return wrong


def kills(count: int) -> None:
    with Pool() as pool:
        wrong = pool.map(killed, [range(k, k + 25) for k in range(0, count, 25)], chunksize=1)
    print(json.dumps({"kills": count, "wrong": [row for rows in wrong for row in rows]}))


def main() -> None:
    if sys.argv[1:2] == ["times"]:
        for supervisors in (3, 5, 9, 25):
            print(json.dumps(times(supervisors)), flush=True)
    elif sys.argv[1:2] == ["kills"]:
        kills(int(sys.argv[2]) if len(sys.argv) > 2 else 1000)
    else:
        histories(int(sys.argv[2]) if len(sys.argv) > 2 else 1000)


if __name__ == "__main__":
    main()
