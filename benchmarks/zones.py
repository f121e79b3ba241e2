"""Measures evacuation of failing zones: the same random days with and without it, in virtual time, and false alarms.

    python -m benchmarks.zones paired [DAYS] [SIZE]
    python -m benchmarks.zones false [DAYS]
    python -m benchmarks.zones alike [SEEDS]        # faults that resemble a failing zone
    python -m benchmarks.zones pace [DAYS] [SIZE]   # the pace of the return compared with fixed steps
    python -m benchmarks.zones processes [SEEDS]    # supervisors as processes, with random faults

Prints one JSON object a day, then one for all days. Times are in seconds from the zone's failure."""

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
from driftshed.day.judge import judge
from driftshed.day.random_troubles import with_drawn
from driftshed.day.stage import run_day
from driftshed.evacuation import controller, stages
from driftshed.evacuation.stages import check_succession, next_stage
from driftshed.lab import scenario as lab_scenario
from driftshed.lab.run import Outcome, run

DAY_S, FAILS_AT_S = 70.0, 8.0
KINDS = ("lost", "hang", "errors", "slow", "flap")
# Faults that a fleet with a store does not have, and lost zones.
EXCLUDED_FAULTS = lab_scenario.LateRoster | lab_scenario.LyingRoster | lab_scenario.ZoneLost | lab_scenario.Clock


def make_failure(random: Random, kind: str, zone: str) -> list:
    """The faults that make `zone` fail at FAILS_AT_S."""
    lasts, whom = round(random.uniform(6, 16), 1), lab_scenario.Whom(share=1.0, zone=zone)
    if kind == "lost":
        return [lab_scenario.ZoneLost(FAILS_AT_S, lasts, zone)]
    if kind == "flap":
        return [lab_scenario.Sick(FAILS_AT_S + k * 20, 8.0, "hang", 1.0, whom) for k in range(2)]
    size = round(random.uniform(0.4, 0.9), 2) if kind == "errors" else round(random.uniform(3, 8), 1)
    return [lab_scenario.Sick(FAILS_AT_S, lasts, kind, 1.0 if kind == "hang" else size, whom)]


def fleet_day(seed: int, size: str, leave: bool) -> tuple[lab_scenario.Scenario, str]:
    """The day of a seed and the kind of its failure. `leave` changes nothing else of it. Size "heavy": a small fleet
    with more load than two zones can handle."""
    random = Random(f"zones {seed}")
    load, size = random.uniform(0.35, 0.55) + 0.2 * (size == "heavy"), "small" if size == "heavy" else size
    day = lab_scenario.fault_free_day(size, DAY_S, load)
    kind = KINDS[seed % len(KINDS)]
    limits = os.environ.get("ZONE_LIMITS", "")
    day.fleet = replace(day.fleet, store=True, supervisors=random.choice([3, 5]), leave_zones=leave, zone_limits=limits)
    day.troubles = make_failure(random, kind, random.choice(day.facts.zones))
    number = random.randrange(day.fleet.supervisors)
    at = round(random.uniform(FAILS_AT_S, FAILS_AT_S + 25), 1)
    day.troubles.append(
        random.choice(
            [
                lab_scenario.Kill(at, 3.0, number),
                lab_scenario.Pause(at, 4.0, "supervisor", 1.0, number),
                lab_scenario.StoreDown(at, 2.0),
                lab_scenario.Link(at, 5.0, lab_scenario.supervisor_zone(number), "roster", cut=True),
                lab_scenario.Link(at, 8.0, lab_scenario.supervisor_zone(number), "roster", delay=0.1, loss=0.05),
            ]
        )
    )
    return lab_scenario.check_scenario(day), kind


def shares_by_supervisor(outcome: Outcome) -> dict[int, list[tuple[float, float]]]:
    """By supervisor: times and shares that it withdraws, of the zone with the largest share."""
    rows: dict[int, list[tuple[float, float]]] = {}
    for at, what, row in outcome.stages:
        if what == "zones":
            rows.setdefault(row["by"], []).append((at, max(row["shares"].values())))
    return rows


def compare_leaving(job: tuple[int, str]) -> dict:
    """Runs the day of (seed, size) with and without evacuation and compares them."""
    seed, size = job
    day, kind = fleet_day(seed, size, True)
    leaving, staying = run(day, seed), run(fleet_day(seed, size, False)[0], seed)
    rows = shares_by_supervisor(leaving)
    left_at = [min((at for at, share in shares if share > 0), default=None) for shares in rows.values()]
    left_at = [at for at in left_at if at is not None]
    returned_at = [shares[-1][0] for shares in rows.values() if shares and shares[-1][1] == 0]
    return {
        "seed": seed,
        "kind": kind,
        "supervisors": day.fleet.supervisors,
        "service": [round(staying.service, 4), round(leaving.service, 4)],
        "worst": [round(staying.worst, 3), round(leaving.worst, 3)],
        "left_s": round(max(left_at) - FAILS_AT_S, 1) if left_at else None,
        "spread_s": round(max(left_at) - min(left_at), 2) if left_at else None,
        "back_s": round(max(returned_at) - FAILS_AT_S, 1) if returned_at else None,
        "broken": [staying.breaks[:2] + staying.faults[:1], leaving.breaks[:2] + leaving.faults[:1]],
    }


def run_without_failure(seed: int) -> dict:
    """A random day with other faults, none of which affects half of a zone: no zone should be evacuated."""
    day = lab_scenario.random_day(seed, "small", 40.0)
    day.fleet = replace(day.fleet, store=True, supervisors=3, leave_zones=True)
    remaining = []
    for trouble in day.troubles:
        whom = getattr(trouble, "whom", lab_scenario.Whom())
        hits_half_a_zone = (whom.share or 0) >= 0.5 or whom.zone
        if not isinstance(trouble, EXCLUDED_FAULTS) and not hits_half_a_zone:
            remaining.append(trouble)
    day.troubles = remaining
    outcome = run(lab_scenario.check_scenario(day), seed)
    shares_left = sorted({max(share for _, share in rows) for rows in shares_by_supervisor(outcome).values() if rows})
    return {
        "seed": seed,
        "left": shares_left,
        "broken": outcome.breaks[:2] + outcome.faults[:1],
        "troubles": [type(each).__name__ for each in remaining],
    }


def run_lookalike(job: tuple[int, int]) -> dict:
    """A day with a fault that resembles a failing zone: no zone should be evacuated."""
    number, seed = job
    random = Random(f"alike {number} {seed}")
    day = lab_scenario.fault_free_day("small", 36.0, random.uniform(0.35, 0.55))
    zones = day.facts.zones
    zone, other, third = random.sample(zones, 3)
    at, lasts, supervisors = 6.0, round(random.uniform(8, 14), 1), random.choice([3, 5])
    supervisor = random.randrange(supervisors)
    cut = [lab_scenario.Link(at, lasts, source, zone, cut=True) for source in (other, third)]
    store_cut = lab_scenario.Link(at + 1, lasts, lab_scenario.supervisor_zone(supervisor), "roster", cut=True)
    day.troubles = [
        [cut[0]],
        cut,
        [lab_scenario.Sick(at, lasts, "slow", round(random.uniform(3, 6), 1), lab_scenario.Whom(share=1.0))],
        [lab_scenario.Sick(at, lasts, "errors", 0.7, lab_scenario.Whom(count=2, zone=zone))],
        [lab_scenario.Link(at, lasts, zone, "", delay=0.15, loss=0.1)],  # its proxies see all zones alike
        [
            lab_scenario.Pause(at, 4.0, "supervisor", 1.0, supervisor),
            lab_scenario.Sick(at, lasts, "errors", 0.6, lab_scenario.Whom(count=2)),
        ],
        [store_cut, cut[0]],  # the supervisor that is cut off sees a fault that the others do not
        [
            lab_scenario.Sick(at, 1.5, "hang", 1.0, lab_scenario.Whom(share=1.0, zone=zone))
        ],  # over before it counts as lasting
    ][number]
    day.fleet = replace(day.fleet, store=True, supervisors=supervisors, leave_zones=True)
    outcome = run(lab_scenario.check_scenario(day), seed)
    max_share = max((share for rows in shares_by_supervisor(outcome).values() for _, share in rows), default=0.0)
    return {
        "kind": LOOKALIKES[number],
        "seed": seed,
        "left": max_share,
        "broken": outcome.breaks[:2] + outcome.faults[:1],
    }


LOOKALIKES = (
    "a way is cut",
    "cut off, well inside",
    "all slow alike",
    "two of its servers",
    "its proxies are ill",
    "a supervisor paused",
    "a supervisor cut off, and a way",
    "a short stall",
)
RETURN_STEPS = (None, 0.1, 0.25, 0.5, 1.0)  # share of a zone's servers per step back; None: the module's own pace


def set_return_step(step: float | None) -> None:
    """Makes evacuations in this process return by fixed steps from now on; None restores the module's own pace."""

    def stage_with_fixed_step(zone, stage, sight, limits, order=()):
        following = next_stage(zone, stage, sight, limits, order)
        if (
            step is None
            or following is None
            or following.phase != "returning"
            or stage.phase not in ("left", "returning")
        ):
            return following
        return replace(following, share=round(max(0.0, stage.share - step), 6))

    controller.next_stage = stage_with_fixed_step
    stages.check_succession = check_succession if step is None else lambda old, new, limits: None


def run_paced(job: tuple[int, float | None, str]) -> dict:
    """Runs the day of (seed, step, size) with the given step of the return."""
    seed, step, size = job
    set_return_step(step)
    day, kind = fleet_day(seed, size, True)
    outcome = run(day, seed)
    returned_at = [rows[-1][0] for rows in shares_by_supervisor(outcome).values() if rows and rows[-1][1] == 0]
    return {
        "seed": seed,
        "kind": kind,
        "step": step,
        "service": outcome.service,
        "worst": outcome.worst,
        "back_s": max(returned_at) - FAILS_AT_S if returned_at else None,
        "broken": bool(outcome.breaks or outcome.faults),
        "failback": outcome.margins.get("failback", 0.0),
    }


def compare_paces(days: int, size: str) -> None:
    """Runs `days` days with each of RETURN_STEPS and prints their means."""
    with Pool() as pool:
        rows = pool.map(run_paced, [(seed, step, size) for seed in range(days) for step in RETURN_STEPS], chunksize=1)
    own_by_seed = {row["seed"]: row for row in rows if row["step"] is None}
    for step in RETURN_STEPS:
        step_rows = [row for row in rows if row["step"] == step]
        return_seconds = [row["back_s"] for row in step_rows if row["back_s"] is not None]
        print(
            json.dumps(
                {
                    "step": step,
                    "days": len(step_rows),
                    "service": round(mean(row["service"] for row in step_rows), 4),
                    "beside_ours": round(
                        mean(row["service"] - own_by_seed[row["seed"]]["service"] for row in step_rows), 4
                    ),
                    "worst": round(mean(row["worst"] for row in step_rows), 3),
                    "broken": sum(row["broken"] for row in step_rows),
                    "back": len(return_seconds),
                    "back_s": round(median(return_seconds), 1) if return_seconds else None,
                    "most_of_what_tips": round(max(row["failback"] for row in step_rows), 2),
                }
            )
        )


def run_process_day(seed: int) -> dict:
    """A day of real processes with a failing zone; the seed selects the kind of failure and the supervisors' faults."""
    random, kind = Random(f"process {seed}"), KINDS[seed % len(KINDS)]
    script = day_script.load_script("zone")
    lasts = round(random.uniform(6, 10), 1)
    faults = {
        "lost": [day_script.Sick(6.0, lasts, "hang", zone="east"), day_script.Cut(6.0, lasts, "east")],
        "hang": [day_script.Sick(6.0, lasts, "hang", zone="east")],
        "errors": [day_script.Sick(6.0, lasts, "errors", size=0.6, zone="east")],
        "slow": [day_script.Sick(6.0, lasts, "slow", size=8.0, zone="east")],
        "flap": [day_script.Sick(at, 5.0, "hang", zone="east") for at in (6.0, 26.0)],
    }[kind]
    fleet = replace(script.fleet, supervisors=random.choice([3, 5]))
    script = with_drawn(replace(script, fleet=fleet, troubles=faults), seed)
    with tempfile.TemporaryDirectory() as folder:
        stage = run_day(script, seed, Path(folder), None, None, None)
        verdict = judge(script, stage.record)
    left_shares = {owner: max(share for _, share in rows) for owner, rows in verdict.evacuated.get("east", {}).items()}
    return {
        "seed": seed,
        "kind": kind,
        "supervisors": fleet.supervisors,
        "service": round(verdict.service, 4),
        "left": left_shares,
        "breaks": verdict.violations[:3],
        "rules": {name: [row["checked"], row["broken"]] for name, row in verdict.rules.items()},
    }


def main() -> None:
    """Runs the measurement named on the command line; `paired` by default."""
    command = sys.argv[1] if len(sys.argv) > 1 else "paired"
    days = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    size = sys.argv[3] if len(sys.argv) > 3 else "small"
    if command == "pace":
        compare_paces(days, size)
        return
    if command == "processes":
        with Pool(2) as pool:
            for row in pool.imap(run_process_day, range(days)):
                print(json.dumps(row), flush=True)
        return
    with Pool() as pool:
        if command == "alike":
            jobs = [(number, seed) for number in range(len(LOOKALIKES)) for seed in range(days)]
            rows = pool.map(run_lookalike, jobs, chunksize=1)
            for kind in LOOKALIKES:
                kind_rows = [row for row in rows if row["kind"] == kind]
                print(
                    json.dumps(
                        {
                            "kind": kind,
                            "days": len(kind_rows),
                            "left": [row["seed"] for row in kind_rows if row["left"]],
                            "broken": [row["broken"] for row in kind_rows if row["broken"]],
                        }
                    )
                )
            return
        if command == "false":
            rows = pool.map(run_without_failure, range(days), chunksize=1)
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
        rows = pool.map(compare_leaving, [(seed, size) for seed in range(days)], chunksize=1)
    for row in rows:
        print(json.dumps(row))
    for kind in (*KINDS, "all"):
        kind_rows = [row for row in rows if kind in (row["kind"], "all")]
        if not kind_rows:
            continue
        gain = [row["service"][1] - row["service"][0] for row in kind_rows]
        leave_seconds = [row["left_s"] for row in kind_rows if row["left_s"] is not None]
        print(
            json.dumps(
                {
                    "kind": kind,
                    "days": len(kind_rows),
                    "left": len(leave_seconds),
                    "left_s": [median(leave_seconds), max(leave_seconds)] if leave_seconds else None,
                    "spread_s": max(
                        (row["spread_s"] for row in kind_rows if row["spread_s"] is not None), default=None
                    ),
                    "back_s": median([row["back_s"] for row in kind_rows if row["back_s"] is not None] or [0]),
                    "service": [round(mean(row["service"][k] for row in kind_rows), 4) for k in (0, 1)],
                    "gain": [round(min(gain), 4), round(median(gain), 4), round(max(gain), 4)],
                    "worst": [round(mean(row["worst"][k] for row in kind_rows), 3) for k in (0, 1)],
                    "broken": [sum(bool(row["broken"][k]) for row in kind_rows) for k in (0, 1)],
                }
            )
        )


if __name__ == "__main__":
    main()
