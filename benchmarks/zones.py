"""Zones that fail, left as a fleet and not: the same drawn days both ways, in virtual time; days on which none does.

    python -m benchmarks.zones paired [DAYS] [SIZE]
    python -m benchmarks.zones false [DAYS]
    python -m benchmarks.zones alike [SEEDS]        # what looks like a zone that fails and is none
    python -m benchmarks.zones pace [DAYS] [SIZE]   # the way back against fixed steps
    python -m benchmarks.zones processes [SEEDS]    # five supervisors as processes, drawn troubles of theirs

One JSON object a day, then one of all. Times in seconds from the zone's failure."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from multiprocessing import Pool
from pathlib import Path
from random import Random
from statistics import mean, median

from msgspec.structs import replace

from driftshed.day import script as day_script
from driftshed.day.drawn import with_drawn
from driftshed.day.judge import judge
from driftshed.day.stage import play
from driftshed.evacuation import part, stages
from driftshed.evacuation.stages import follows, next_stage
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
    """The day of a seed; `leave` changes nothing else of it. Size "heavy": small, and more than two zones can do."""
    random = Random(f"zones {seed}")
    load, size = random.uniform(0.35, 0.55) + 0.2 * (size == "heavy"), "small" if size == "heavy" else size
    day = says.bare_day(size, SECONDS, load)
    kind = KINDS[seed % len(KINDS)]
    limits = os.environ.get("ZONE_LIMITS", "")
    day.fleet = replace(day.fleet, store=True, supervisors=random.choice([3, 5]), leave_zones=leave, zone_limits=limits)
    day.troubles = failure(random, kind, random.choice(day.facts.zones))
    number = random.randrange(day.fleet.supervisors)
    at = round(random.uniform(FAILS_AT, FAILS_AT + 25), 1)
    day.troubles.append(
        random.choice(
            [
                says.Kill(at, 3.0, number),
                says.Pause(at, 4.0, "supervisor", 1.0, number),
                says.StoreDown(at, 2.0),
                says.Link(at, 5.0, says.control_zone(number), "roster", cut=True),
                says.Link(at, 8.0, says.control_zone(number), "roster", delay=0.1, loss=0.05),
            ]
        )
    )
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
        "seed": seed,
        "kind": kind,
        "supervisors": day.fleet.supervisors,
        "service": [round(stays.service, 4), round(left.service, 4)],
        "worst": [round(stays.worst, 3), round(left.worst, 3)],
        "left_s": round(max(first) - FAILS_AT, 1) if first else None,
        "spread_s": round(max(first) - min(first), 2) if first else None,
        "back_s": round(max(back) - FAILS_AT, 1) if back else None,
        "broken": [stays.breaks[:2] + stays.faults[:1], left.breaks[:2] + left.faults[:1]],
    }


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
    return {
        "seed": seed,
        "left": left,
        "broken": outcome.breaks[:2] + outcome.faults[:1],
        "troubles": [type(each).__name__ for each in kept],
    }


def alike(given: tuple[int, int]) -> dict:
    """A day of a look-alike: nobody is to leave."""
    number, seed = given
    random = Random(f"alike {number} {seed}")
    day = says.bare_day("small", 36.0, random.uniform(0.35, 0.55))
    zones = day.facts.zones
    zone, other, third = random.sample(zones, 3)
    at, lasts, supervisors = 6.0, round(random.uniform(8, 14), 1), random.choice([3, 5])
    paused = random.randrange(supervisors)
    cut = [says.Link(at, lasts, one, zone, cut=True) for one in (other, third)]
    away = says.Link(at + 1, lasts, says.control_zone(paused), "roster", cut=True)
    day.troubles = [
        [cut[0]],
        cut,
        [says.Sick(at, lasts, "slow", round(random.uniform(3, 6), 1), says.Whom(share=1.0))],
        [says.Sick(at, lasts, "errors", 0.7, says.Whom(count=2, zone=zone))],
        [says.Link(at, lasts, zone, "", delay=0.15, loss=0.1)],  # its proxies see all zones so
        [says.Pause(at, 4.0, "supervisor", 1.0, paused), says.Sick(at, lasts, "errors", 0.6, says.Whom(count=2))],
        [away, cut[0]],  # the one that is cut off sees what the others do not
        [says.Sick(at, 1.5, "hang", 1.0, says.Whom(share=1.0, zone=zone))],  # over before it lasted
    ][number]
    day.fleet = replace(day.fleet, store=True, supervisors=supervisors, leave_zones=True)
    outcome = run(says.check(day), seed)
    left = max((share for rows in shares(outcome).values() for _, share in rows), default=0.0)
    return {"kind": ALIKE[number], "seed": seed, "left": left, "broken": outcome.breaks[:2] + outcome.faults[:1]}


ALIKE = (
    "a way is cut",
    "cut off, well inside",
    "all slow alike",
    "two of its servers",
    "its proxies are ill",
    "a supervisor paused",
    "a supervisor cut off, and a way",
    "a short stall",
)
FIXED = (None, 0.1, 0.25, 0.5, 1.0)  # of a zone's servers at a time, on the way back; None: ours


def back_by(step: float | None) -> None:
    """The way back by fixed steps, of this process from now on."""

    def following(zone, stage, sight, limits, order=()):
        after = next_stage(zone, stage, sight, limits, order)
        if step is None or after is None or after.phase != "returning" or stage.phase not in ("left", "returning"):
            return after
        return replace(after, share=round(max(0.0, stage.share - step), 6))

    part.next_stage = following
    stages.follows = follows if step is None else lambda old, new, limits: None


def paced(given: tuple[int, float | None, str]) -> dict:
    seed, step, size = given
    back_by(step)
    day, kind = fleet_day(seed, size, True)
    outcome = run(day, seed)
    back = [rows[-1][0] for rows in shares(outcome).values() if rows and rows[-1][1] == 0]
    return {
        "seed": seed,
        "kind": kind,
        "step": step,
        "service": outcome.service,
        "worst": outcome.worst,
        "back_s": max(back) - FAILS_AT if back else None,
        "broken": bool(outcome.breaks or outcome.faults),
        "failback": outcome.margins.get("failback", 0.0),
    }


def pace(days: int, size: str) -> None:
    with Pool() as pool:
        rows = pool.map(paced, [(seed, step, size) for seed in range(days) for step in FIXED], chunksize=1)
    ours = {row["seed"]: row for row in rows if row["step"] is None}
    for step in FIXED:
        own = [row for row in rows if row["step"] == step]
        back = [row["back_s"] for row in own if row["back_s"] is not None]
        print(
            json.dumps(
                {
                    "step": step,
                    "days": len(own),
                    "service": round(mean(row["service"] for row in own), 4),
                    "beside_ours": round(mean(row["service"] - ours[row["seed"]]["service"] for row in own), 4),
                    "worst": round(mean(row["worst"] for row in own), 3),
                    "broken": sum(row["broken"] for row in own),
                    "back": len(back),
                    "back_s": round(median(back), 1) if back else None,
                    "most_of_what_tips": round(max(row["failback"] for row in own), 2),
                }
            )
        )


def process_day(seed: int) -> dict:
    """A zone of a day of real processes fails; which way and what befalls the supervisors goes by the seed."""
    random, kind = Random(f"process {seed}"), KINDS[seed % len(KINDS)]
    script = day_script.load_script("zone")
    lasts = round(random.uniform(6, 10), 1)
    sick = {
        "lost": [day_script.Sick(6.0, lasts, "hang", zone="east"), day_script.Cut(6.0, lasts, "east")],
        "hang": [day_script.Sick(6.0, lasts, "hang", zone="east")],
        "errors": [day_script.Sick(6.0, lasts, "errors", size=0.6, zone="east")],
        "slow": [day_script.Sick(6.0, lasts, "slow", size=8.0, zone="east")],
        "flap": [day_script.Sick(at, 5.0, "hang", zone="east") for at in (6.0, 26.0)],
    }[kind]
    fleet = replace(script.fleet, supervisors=random.choice([3, 5]))
    script = with_drawn(replace(script, fleet=fleet, troubles=sick), seed)
    with tempfile.TemporaryDirectory() as scratch:
        stage = play(script, seed, Path(scratch), None, None, None)
        verdict = judge(script, stage.record)
    left = {owner: max(share for _, share in rows) for owner, rows in verdict.left.get("east", {}).items()}
    return {
        "seed": seed,
        "kind": kind,
        "supervisors": fleet.supervisors,
        "service": round(verdict.service, 4),
        "left": left,
        "breaks": verdict.breaks[:3],
        "rules": {name: [row["checked"], row["broken"]] for name, row in verdict.rules.items()},
    }


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "paired"
    days = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    size = sys.argv[3] if len(sys.argv) > 3 else "small"
    if what == "pace":
        pace(days, size)
        return
    if what == "processes":
        with Pool(2) as pool:
            for row in pool.imap(process_day, range(days)):
                print(json.dumps(row), flush=True)
        return
    with Pool() as pool:
        if what == "alike":
            drawn = [(number, seed) for number in range(len(ALIKE)) for seed in range(days)]
            rows = pool.map(alike, drawn, chunksize=1)
            for kind in ALIKE:
                own = [row for row in rows if row["kind"] == kind]
                print(
                    json.dumps(
                        {
                            "kind": kind,
                            "days": len(own),
                            "left": [row["seed"] for row in own if row["left"]],
                            "broken": [row["broken"] for row in own if row["broken"]],
                        }
                    )
                )
            return
        if what == "false":
            rows = pool.map(no_failure, range(days), chunksize=1)
            for row in rows:
                if row["left"] or row["broken"]:
                    print(json.dumps(row))
            print(
                json.dumps(
                    {
                        "days": days,
                        "left_falsely": sum(bool(row["left"]) for row in rows),
                        "broken": sum(bool(row["broken"]) for row in rows),
                    }
                )
            )
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
        print(
            json.dumps(
                {
                    "kind": kind,
                    "days": len(own),
                    "left": len(left),
                    "left_s": [median(left), max(left)] if left else None,
                    "spread_s": max((row["spread_s"] for row in own if row["spread_s"] is not None), default=None),
                    "back_s": median([row["back_s"] for row in own if row["back_s"] is not None] or [0]),
                    "service": [round(mean(row["service"][k] for row in own), 4) for k in (0, 1)],
                    "gain": [round(min(gain), 4), round(median(gain), 4), round(max(gain), 4)],
                    "worst": [round(mean(row["worst"][k] for row in own), 3) for k in (0, 1)],
                    "broken": [sum(bool(row["broken"][k]) for row in own) for k in (0, 1)],
                }
            )
        )


if __name__ == "__main__":
    main()
