"""A fleet in tiers in virtual time: drawn histories with faults, how long a change takes and where, and the model as
far as there is room.

    python -m benchmarks.tiers histories [COUNT [FIRST]]
    python -m benchmarks.tiers times [REGIONSxCELLSxMEMBERS ...]
    python -m benchmarks.tiers model [STATES]

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

from driftshed.coordination import agreement
from driftshed.policy.change import TOPIC
from tests.test_tiers_model import BROKEN, Guards, fleet, search
from tests.tiers import ROOT, TieredFleet, check, check_ends, drawn_history

PROCESSES = 8
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

WORDS = {"cells": "members' words", "regions": "cells' words", "whole": "regions' words"}
RECORDS = {
    ("whole", "open"): "asked",
    ("regions", "open"): "to the regions",
    ("cells", "open"): "to the cells",
    ("cells", "ready"): "cells ready",
    ("regions", "ready"): "regions ready",
    ("whole", "settled"): "settled",
    ("regions", "settled"): "down to the regions",
    ("cells", "settled"): "down to the cells",
}


def history(seed: int) -> tuple[int, str, int, int, Counter, Counter]:
    """Of one seed: what does not hold, versions settled, looks that found tables free to change, how asking and how
    changes ended."""
    folder = Path(tempfile.mkdtemp())
    try:
        fleet = drawn_history(folder, seed)
        said = ""
        for each in (check, check_ends):
            try:
                each(fleet)
            except AssertionError as error:
                said = said or str(error)
        ends = Counter(fields["state"] for _, _, event, fields in fleet.logs if event == "policy_ended")
        return seed, said, len(fleet.settled()), len(fleet.acts), fleet.asked, ends
    except Exception as error:
        return seed, f"{type(error).__name__}: {error}", 0, 0, Counter(), Counter()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def histories(count: int, first: int = 0) -> None:
    broken, settled, acts, asked, ends, kinds = [], 0, 0, Counter(), Counter(), Counter()
    with Pool(PROCESSES) as pool:
        for seed, said, versions, acted, taken, ended in pool.imap_unordered(history, range(first, first + count)):
            settled, acts, asked, ends = settled + versions, acts + acted, asked + taken, ends + ended
            kinds[min(versions, 10)] += 1
            if said:
                broken.append([seed, said])
    print(
        json.dumps(
            {
                "histories": count,
                "first": first,
                "broken": sorted(broken)[:20],
                "broken_in_all": len(broken),
                "settled": settled,
                "acts": acts,
                "asked": asked,
                "ends": ends,
                "by_versions": dict(sorted(kinds.items())),
            }
        )
    )


def stages_of(fleet: TieredFleet, version: int, began: float) -> list[float]:
    """When the last of each stage of the change was done that stands now, in the order of STAGES, in seconds since it
    was asked for."""
    at: dict[str, list[float]] = {stage: [] for stage in STAGES}
    epoch = fleet.above().epoch
    for place in fleet.stores.values():
        for when, path, data in place.written():
            folder, _, node = path.partition("/records/")
            tier = "whole" if folder == f"{ROOT}/whole" else folder.split("/")[2]
            if "/" in node:
                ballot = agreement.read_ballot(node.rpartition("/")[2], data)
                if ballot.epoch == epoch:
                    at[WORDS[tier]].append(when)
                continue
            record = agreement.read_record(node, data)
            if record.topic != TOPIC or record.epoch != epoch:
                continue
            kind = RECORDS.get((tier, record.state))
            if kind:
                at[kind].append(when)
    at["switched"] = [
        when for when, _, event, fields in fleet.logs if event == "policy" and fields["version"] == version
    ]
    return [max(at[stage]) - began for stage in STAGES]


def times(shape: str, changes: int = 12) -> dict:
    """From asking to everywhere, without faults: asked at another supervisor each time."""
    regions, cells, members = map(int, shape.split("x"))
    folder = Path(tempfile.mkdtemp())
    fleet = TieredFleet(folder, regions, cells, members)
    up = fleet.until(lambda: all(not part.instance.still() for part in fleet.parts.values()), 120)
    fleet.run(5)
    rows = []
    for k in range(changes):
        began = fleet.loop.now
        said = fleet.ask(fleet.names[7 * k % len(fleet.names)], 2.5 + k / 10)
        assert not isinstance(said, str), said
        fleet.until(lambda k=k: fleet.everywhere(k + 1), 60, 0.01)
        fleet.run(1.0)
        rows.append(stages_of(fleet, k + 1, began))
        fleet.run(fleet.random.uniform(1, 3))
    check(fleet)
    shutil.rmtree(folder, ignore_errors=True)
    took = [row[-1] for row in rows]
    spent, before = {}, [0.0] * len(rows)
    for j, stage in enumerate(STAGES):
        spent[stage] = round(1000 * median(row[j] - was for row, was in zip(rows, before, strict=True)))
        before = [row[j] for row in rows]
    return {
        "shape": shape,
        "supervisors": regions * cells * members,
        "near_ms": 2000 * fleet.near,
        "far_ms": 2000 * fleet.far,
        "all_free_after_s": round(up, 2),
        "changes": changes,
        "everywhere_s": {"p50": round(median(took), 3), "worst": round(max(took), 3)},
        "settled_s": {
            "p50": round(median(row[STAGES.index("settled")] for row in rows), 3),
            "worst": round(max(row[STAGES.index("settled")] for row in rows), 3),
        },
        "bound_s": round(fleet.bound(), 3),
        "p50_ms_by_stage": spent,
    }


def searched(asked: tuple) -> dict:
    link, guard, counts, epochs, states = asked
    guards = Guards(link)._replace(**({guard: False} if guard else {}))
    found = search(BROKEN[guard] if guard else fleet(*counts), guards, epochs, states)
    return {"link": link, "without": guard, "members": counts, "proposals": epochs, **found._asdict()}


def model(states: int) -> None:
    shapes = [((1,), 1), ((1,), 2), ((2,), 1), ((1, 1), 1), ((2,), 2), ((2, 1), 1), ((2, 2), 1)]
    asked = [(link, "", counts, epochs, states) for counts, epochs in reversed(shapes) for link in ("beats", "roll")]
    asked += [(link, guard, (), 1, states) for link in ("beats", "roll") for guard in BROKEN]
    with Pool(PROCESSES) as pool:
        for row in pool.imap_unordered(searched, asked):
            print(json.dumps(row), flush=True)


def main() -> None:
    what, *rest = sys.argv[1:] or ["histories"]
    if what == "times":
        for shape in rest or SHAPES:
            print(json.dumps(times(shape)), flush=True)
    elif what == "model":
        model(int(rest[0]) if rest else 1_000_000)
    else:
        histories(int(rest[0]) if rest else 1000, int(rest[1]) if len(rest) > 1 else 0)


if __name__ == "__main__":
    main()
