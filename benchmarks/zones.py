"""Zones that fail, left as a fleet and not: the same drawn days both ways, in virtual time; days on which none does.

    python -m benchmarks.zones paired [DAYS] [SIZE]
    python -m benchmarks.zones false [DAYS]

One JSON object a day, then one of all. Times in seconds from the zone's failure."""

from __future__ import annotations

import json
import sys
from multiprocessing import Pool
from random import Random
from statistics import mean, median

from msgspec.structs import replace

from driftshed.lab import scenario as says
from driftshed.lab.run import Outcome, run

SECONDS, FAILS_AT = 70.0, 8.0
KINDS = ("lost", "hang", "errors", "slow", "flap")
NEVER_SO = says.LateRoster | says.LyingRoster | says.ZoneLost | says.Clock  # what a store does not do, and lost zones


def failure(random: Random, kind: str, zone: str) -> list:
    lasts, whom = round(random.uniform(6, 16), 1), says.Whom(share=1.0, zone=zone)
    if kind == "lost":
        return [says.ZoneLost(FAILS_AT, lasts, zone)]
    if kind == "flap":
        return [says.Sick(FAILS_AT + k * 20, 8.0, "hang", 1.0, whom) for k in range(2)]
    size = round(random.uniform(0.4, 0.9), 2) if kind == "errors" else round(random.uniform(3, 8), 1)
    return [says.Sick(FAILS_AT, lasts, kind, 1.0 if kind == "hang" else size, whom)]


def fleet_day(seed: int, size: str, leave: bool) -> tuple[says.Scenario, str]:
    """The day of a seed; `leave` changes nothing else of it."""
    random = Random(f"zones {seed}")
    day = says.bare_day(size, SECONDS, random.uniform(0.35, 0.55))
    kind = KINDS[seed % len(KINDS)]
    day.fleet = replace(day.fleet, store=True, supervisors=random.choice([3, 5]), leave_zones=leave)
    day.troubles = failure(random, kind, random.choice(day.facts.zones))
    number = random.randrange(day.fleet.supervisors)
    at = round(random.uniform(FAILS_AT, FAILS_AT + 25), 1)
    day.troubles.append(random.choice([
        says.Kill(at, 3.0, number), says.Pause(at, 4.0, "supervisor", 1.0, number), says.StoreDown(at, 2.0),
        says.Link(at, 5.0, says.control_zone(number), "roster", cut=True),
        says.Link(at, 8.0, says.control_zone(number), "roster", delay=0.1, loss=0.05),
    ]))  # fmt: skip
    return says.check(day), kind


def shares(outcome: Outcome) -> dict[int, list[tuple[float, float]]]:
    """By supervisor: when it laid which share over its list, of the zone that is left most."""
    rows: dict[int, list[tuple[float, float]]] = {}
    for at, what, row in outcome.stages:
        if what == "zones":
            rows.setdefault(row["by"], []).append((at, max(row["shares"].values())))
    return rows


def paired(given: tuple[int, str]) -> dict:
    seed, size = given
    day, kind = fleet_day(seed, size, True)
    left, stays = run(day, seed), run(fleet_day(seed, size, False)[0], seed)
    rows = shares(left)
    first = [min((at for at, share in each if share > 0), default=None) for each in rows.values()]
    first = [at for at in first if at is not None]
    back = [each[-1][0] for each in rows.values() if each and each[-1][1] == 0]
    return {
        "seed": seed, "kind": kind, "supervisors": day.fleet.supervisors,
        "service": [round(stays.service, 4), round(left.service, 4)],
        "worst": [round(stays.worst, 3), round(left.worst, 3)],
        "left_s": round(max(first) - FAILS_AT, 1) if first else None,
        "spread_s": round(max(first) - min(first), 2) if first else None,
        "back_s": round(max(back) - FAILS_AT, 1) if back else None,
        "broken": [stays.breaks[:2] + stays.faults[:1], left.breaks[:2] + left.faults[:1]],
    }  # fmt: skip


def no_failure(seed: int) -> dict:
    """A drawn day of other troubles, none of which hits half of a zone."""
    day = says.drawn(seed, "small", 40.0)
    day.fleet = replace(day.fleet, store=True, supervisors=3, leave_zones=True)
    kept = []
    for trouble in day.troubles:
        whom = getattr(trouble, "whom", says.Whom())
        wide = (whom.share or 0) >= 0.5 or whom.zone
        if not isinstance(trouble, NEVER_SO) and not wide:
            kept.append(trouble)
    day.troubles = kept
    outcome = run(says.check(day), seed)
    left = sorted({max(share for _, share in rows) for rows in shares(outcome).values() if rows})
    return {"seed": seed, "left": left, "broken": outcome.breaks[:2] + outcome.faults[:1],
            "troubles": [type(each).__name__ for each in kept]}  # fmt: skip


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "paired"
    days = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    size = sys.argv[3] if len(sys.argv) > 3 else "small"
    with Pool() as pool:
        if what == "false":
            rows = pool.map(no_failure, range(days), chunksize=1)
            for row in rows:
                if row["left"] or row["broken"]:
                    print(json.dumps(row))
            print(json.dumps({"days": days, "left_falsely": sum(bool(row["left"]) for row in rows),
                              "broken": sum(bool(row["broken"]) for row in rows)}))  # fmt: skip
            return
        rows = pool.map(paired, [(seed, size) for seed in range(days)], chunksize=1)
    for row in rows:
        print(json.dumps(row))
    for kind in (*KINDS, "all"):
        own = [row for row in rows if kind in (row["kind"], "all")]
        if not own:
            continue
        gain = [row["service"][1] - row["service"][0] for row in own]
        left = [row["left_s"] for row in own if row["left_s"] is not None]
        print(json.dumps({
            "kind": kind, "days": len(own), "left": len(left), "left_s": [median(left), max(left)] if left else None,
            "spread_s": max((row["spread_s"] for row in own if row["spread_s"] is not None), default=None),
            "back_s": median([row["back_s"] for row in own if row["back_s"] is not None] or [0]),
            "service": [round(mean(row["service"][k] for row in own), 4) for k in (0, 1)],
            "gain": [round(min(gain), 4), round(median(gain), 4), round(max(gain), 4)],
            "worst": [round(mean(row["worst"][k] for row in own), 3) for k in (0, 1)],
            "broken": [sum(bool(row["broken"][k]) for row in own) for k in (0, 1)],
        }))  # fmt: skip


if __name__ == "__main__":
    main()
