"""Measures a hierarchical fleet in virtual time: random histories with faults, the duration of a change by stage, and a
search of the model up to a number of states.

    python -m benchmarks.tiers histories [COUNT [FIRST]]
    python -m benchmarks.tiers times [REGIONSxCELLSxMEMBERS ...]
    python -m benchmarks.tiers model [STATES]

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

from driftshed.coordination import agreement
from driftshed.policy.change import TOPIC
from tests.hierarchies import ROOT, HierarchicalFleet, check, check_convergence, drawn_history
from tests.test_tiers_model import FAULTY, Guards, fleet, search

WORKERS = 8
SHAPES = ["2x2x3", "2x4x16", "4x4x4"]
STAGES = (
    "asked",
    "to the regions",
    "to the cells",
    "members' words",
    "cells ready",
    "cells' words",
    "regions ready",
    "regions' words",
    "settled",
    "down to the regions",
    "down to the cells",
    "switched",
)

VOTE_STAGES = {"cells": "members' words", "regions": "cells' words", "whole": "regions' words"}
RECORD_STAGES = {
    ("whole", "open"): "asked",
    ("regions", "open"): "to the regions",
    ("cells", "open"): "to the cells",
    ("cells", "ready"): "cells ready",
    ("regions", "ready"): "regions ready",
    ("whole", "settled"): "settled",
    ("regions", "settled"): "down to the regions",
    ("cells", "settled"): "down to the cells",
}


def run_history(seed: int) -> tuple[int, str, int, int, Counter, Counter]:
    """Runs one history: seed, violated invariant, versions committed, checks that found tables free to change, and how
    proposals and changes ended."""
    folder = Path(tempfile.mkdtemp())
    try:
        fleet = drawn_history(folder, seed)
        violation = ""
        for check_invariants in (check, check_convergence):
            try:
                check_invariants(fleet)
            except AssertionError as error:
                violation = violation or str(error)
        outcomes = Counter(fields["state"] for _, _, event, fields in fleet.logs if event == "policy_ended")
        return seed, violation, len(fleet.committed()), len(fleet.actions), fleet.proposal_counts, outcomes
    except Exception as error:
        return seed, f"{type(error).__name__}: {error}", 0, 0, Counter(), Counter()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_histories(count: int, first: int = 0) -> None:
    """Runs `count` histories in parallel, from seed `first` on, and prints their sums."""
    broken, settled, acts, proposals, outcomes, by_versions = [], 0, 0, Counter(), Counter(), Counter()
    with Pool(WORKERS) as pool:
        for seed, violation, seed_versions, seed_acts, seed_proposals, seed_outcomes in pool.imap_unordered(
            run_history, range(first, first + count)
        ):
            settled, acts, proposals, outcomes = (
                settled + seed_versions,
                acts + seed_acts,
                proposals + seed_proposals,
                outcomes + seed_outcomes,
            )
            by_versions[min(seed_versions, 10)] += 1
            if violation:
                broken.append([seed, violation])
    print(
        json.dumps(
            {
                "histories": count,
                "first": first,
                "broken": sorted(broken)[:20],
                "broken_in_all": len(broken),
                "settled": settled,
                "acts": acts,
                "asked": proposals,
                "ends": outcomes,
                "by_versions": dict(sorted(by_versions.items())),
            }
        )
    )


def stage_times(fleet: HierarchicalFleet, version: int, started_at: float) -> list[float]:
    """When the last supervisor completed each stage of the current change, in the order of STAGES, in seconds since
    `started_at`, the time of its proposal."""
    times_by_stage: dict[str, list[float]] = {stage: [] for stage in STAGES}
    epoch = fleet.top_record().epoch
    for store in fleet.stores.values():
        for when, path, data in store.written():
            folder, _, node = path.partition("/records/")
            tier = "whole" if folder == f"{ROOT}/whole" else folder.split("/")[2]
            if "/" in node:
                vote = agreement.read_vote(node.rpartition("/")[2], data)
                if vote.epoch == epoch:
                    times_by_stage[VOTE_STAGES[tier]].append(when)
                continue
            record = agreement.decode_record(node, data)
            if record.topic != TOPIC or record.epoch != epoch:
                continue
            stage = RECORD_STAGES.get((tier, record.state))
            if stage:
                times_by_stage[stage].append(when)
    times_by_stage["switched"] = [
        when for when, _, event, fields in fleet.logs if event == "policy" and fields["version"] == version
    ]
    return [max(times_by_stage[stage]) - started_at for stage in STAGES]


def measure_times(shape: str, changes: int = 12) -> dict:
    """Time from a proposal until all have switched, without faults; each change is proposed at another supervisor."""
    regions, cells, members = map(int, shape.split("x"))
    folder = Path(tempfile.mkdtemp())
    fleet = HierarchicalFleet(folder, regions, cells, members)
    ready_after = fleet.until(lambda: all(not part.instance.tables_frozen() for part in fleet.parts.values()), 120)
    fleet.run(5)
    rows = []
    for k in range(changes):
        started_at = fleet.loop.now
        answer = fleet.ask(fleet.names[7 * k % len(fleet.names)], 2.5 + k / 10)
        assert not isinstance(answer, str), answer
        fleet.until(lambda k=k: fleet.all_run(k + 1), 60, 0.01)
        fleet.run(1.0)
        rows.append(stage_times(fleet, k + 1, started_at))
        fleet.run(fleet.random.uniform(1, 3))
    check(fleet)
    shutil.rmtree(folder, ignore_errors=True)
    durations = [row[-1] for row in rows]
    medians, before = {}, [0.0] * len(rows)
    for j, stage in enumerate(STAGES):
        medians[stage] = round(1000 * median(row[j] - earlier for row, earlier in zip(rows, before, strict=True)))
        before = [row[j] for row in rows]
    return {
        "shape": shape,
        "supervisors": regions * cells * members,
        "near_ms": 2000 * fleet.near,
        "far_ms": 2000 * fleet.far,
        "all_free_after_s": round(ready_after, 2),
        "changes": changes,
        "everywhere_s": {"p50": round(median(durations), 3), "worst": round(max(durations), 3)},
        "settled_s": {
            "p50": round(median(row[STAGES.index("settled")] for row in rows), 3),
            "worst": round(max(row[STAGES.index("settled")] for row in rows), 3),
        },
        "bound_s": round(fleet.bound(), 3),
        "p50_ms_by_stage": medians,
    }


def search_model(job: tuple) -> dict:
    """Searches the model of one link, without one guard unless ""; returns a row of results."""
    link, guard, counts, epochs, states = job
    guards = Guards(link)._replace(**({guard: False} if guard else {}))
    result = search(FAULTY[guard] if guard else fleet(*counts), guards, epochs, states)
    return {"link": link, "without": guard, "members": counts, "proposals": epochs, **result._asdict()}


def search_models(states: int) -> None:
    """Searches intact models of several shapes and models without one guard, up to `states` states each."""
    shapes = [((1,), 1), ((1,), 2), ((2,), 1), ((1, 1), 1), ((2,), 2), ((2, 1), 1), ((2, 2), 1)]
    jobs = [(link, "", counts, epochs, states) for counts, epochs in reversed(shapes) for link in ("beats", "roll")]
    jobs += [(link, guard, (), 1, states) for link in ("beats", "roll") for guard in FAULTY]
    with Pool(WORKERS) as pool:
        for row in pool.imap_unordered(search_model, jobs):
            print(json.dumps(row), flush=True)


def main() -> None:
    """Runs the measurement named on the command line; histories by default."""
    command, *arguments = sys.argv[1:] or ["histories"]
    if command == "times":
        for shape in arguments or SHAPES:
            print(json.dumps(measure_times(shape)), flush=True)
    elif command == "model":
        search_models(int(arguments[0]) if arguments else 1_000_000)
    else:
        run_histories(int(arguments[0]) if arguments else 1000, int(arguments[1]) if len(arguments) > 1 else 0)


if __name__ == "__main__":
    main()
