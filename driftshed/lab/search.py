"""Adversarial search: scenarios are mutated towards days on which a rule is nearly broken or service is far below its
upper bound; what is found is shrunk and saved as a scenario that replays."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from driftshed.day.random_troubles import minimal_failing
from driftshed.lab.experiment import RunFailed, run_job
from driftshed.lab.run import Outcome
from driftshed.lab.scenario import (
    Scenario,
    ScenarioError,
    check_scenario,
    format_scenario,
    parse_scenario,
    random_day,
    random_fault,
)
from driftshed.lab.store import Job

POPULATION_SIZE = 8  # worst days of a round, mutated in the next
MAX_FAULTS = 10
MIN_DAY_S = 6.0
MARGIN_WEIGHT, SERVICE_GAP_WEIGHT = 1.0, 1.0  # of the largest margin used of a rule, and of the share of service lost


class EvaluatedDay(NamedTuple):
    """One day that was run, and how severe its outcome was."""

    severity: float
    scenario: Scenario
    seed: int
    outcome: Outcome


def severity(outcome: Outcome) -> float:
    """Higher is worse; a broken rule or a fault outweighs everything else."""
    broken = sum(row["broken"] > 0 for row in outcome.rules.values()) + len(outcome.faults)
    nearest = max(outcome.margins.values(), default=0.0)
    return 10.0 * broken + MARGIN_WEIGHT * min(1.0, nearest) + SERVICE_GAP_WEIGHT * (outcome.bound - outcome.service)


def mutate(random: Random, day: Scenario) -> Scenario:
    """A copy of the day with a fault added, removed, moved or of another strength, or with another rate."""
    mutant = parse_scenario(format_scenario(day), "mutated")
    draw = random.random()
    if draw < 0.35 and len(mutant.troubles) < MAX_FAULTS:
        mutant.troubles.append(random_fault(random, mutant))
    elif draw < 0.5 and len(mutant.troubles) > 1:
        mutant.troubles.pop(random.randrange(len(mutant.troubles)))
    elif draw < 0.75 and mutant.troubles:
        fault = random.choice(mutant.troubles)
        fault.at = round(min(max(0.0, fault.at + random.gauss(0, mutant.seconds / 8)), 0.9 * mutant.seconds), 2)
    elif draw < 0.9 and mutant.troubles:
        fault = random.choice(mutant.troubles)
        for field in ("lasts", "down", "by", "every"):
            if getattr(fault, field, 0):
                setattr(fault, field, round(max(0.1, getattr(fault, field) * random.uniform(0.5, 2)), 2))
    else:
        mutant.traffic.rate = round(mutant.traffic.rate * random.uniform(0.8, 1.25), 3)
    mutant.troubles.sort(key=lambda fault: fault.at)
    return check_scenario(mutant)


def shrink(
    day: Scenario, fails: Callable[[Scenario], bool], progress: Callable[[str], object] = lambda text: None
) -> Scenario:
    """The day with the fewest faults and the shortest length that still `fails`."""
    best = _replaced(
        day,
        troubles=minimal_failing(
            day.troubles,
            lambda less: fails(_replaced(day, troubles=less)),
            lambda left: progress(f"{len(left)} faults"),
        ),
    )
    low, high = max(MIN_DAY_S, max((t.at for t in best.troubles), default=0.0) + 0.5), best.seconds
    while high - low > 1.0:
        middle = round((low + high) / 2, 1)
        shorter = _replaced(best, seconds=middle)
        if fails(shorter):
            best, high = shorter, middle
            progress(f"{middle:g} s")
        else:
            low = middle
    return best


def _replaced(day: Scenario, **changes: object) -> Scenario:
    return msgspec.structs.replace(parse_scenario(format_scenario(day), "shrunk"), **changes)


def same_failure_as(reference: Outcome) -> Callable[[Outcome], bool]:
    """Returns a predicate: whether another outcome fails in the same way as `reference`."""
    rules = {rule for rule, row in reference.rules.items() if row["broken"]}
    gap = reference.bound - reference.service

    def matches(outcome: Outcome) -> bool:
        if rules:
            return any(outcome.rules[rule]["broken"] for rule in rules)
        if reference.faults:
            return bool(outcome.faults)
        return outcome.bound - outcome.service >= 0.9 * gap

    return matches


def run_day(day: Scenario, seed: int) -> Outcome:
    """Runs the day in a process of its own, in virtual time. Raises RunFailed."""
    return run_job(Job("hunt", "", format_scenario(day), "", "driftshed", {}, "", "virtual", seed))


def search(
    size: str,
    seed: int,
    rounds: int,
    pool,
    progress: Callable[[str], object] = lambda text: None,
    gap: float = 0.35,
    seconds: float | None = None,
    width: int = 8,
) -> list[EvaluatedDay]:
    """Runs `rounds` x `width` days and returns those that break a rule, raise a fault, or lose more than `gap` of
    the service within the upper bound; each shrunk, the most severe first, at most two for each kind of failure.
    `pool` runs them concurrently."""
    random = Random(f"hunt {seed}")
    days: list[EvaluatedDay] = []
    for k in range(rounds):
        candidates = []
        for _ in range(width):
            if k == 0 or random.random() < 0.2:
                scenario = random_day(random.getrandbits(30), size, seconds)
            else:
                scenario = mutate(random, random.choice(days).scenario)
            candidates.append((scenario, random.getrandbits(30)))
        for (scenario, run_seed), outcome in zip(
            candidates, pool.map(lambda candidate: _try_day(*candidate, progress), candidates), strict=True
        ):
            if outcome is not None:
                days.append(EvaluatedDay(severity(outcome), scenario, run_seed, outcome))
        days.sort(key=lambda day: -day.severity)
        days = _diverse(days)[:POPULATION_SIZE]
        progress(
            f"round {k + 1} of {rounds}: worst {days[0].severity:.2f}" if days else f"round {k + 1}: no run succeeded"
        )
    failing = [day for day in days if not day.outcome.rules_kept or day.outcome.bound - day.outcome.service > gap]
    return [day for day in pool.map(lambda day: _shrink_day(day, progress), _diverse(failing)) if day is not None]


def _try_day(scenario: Scenario, seed: int, progress: Callable[[str], object]) -> Outcome | None:
    try:
        return run_day(scenario, seed)
    except (RunFailed, ScenarioError) as error:
        progress(f"run failed: {error}")
        return None


def _diverse(days: list[EvaluatedDay]) -> list[EvaluatedDay]:
    """At most two days for each kind of failure, so that the search does not concentrate on one."""
    kept, counts = [], {}
    for day in days:
        failure = tuple(rule for rule, row in day.outcome.rules.items() if row["broken"]), bool(day.outcome.faults)
        failure += () if any(failure) else tuple(sorted({type(fault).__name__ for fault in day.scenario.troubles}))
        counts[failure] = counts.get(failure, 0) + 1
        if counts[failure] <= 2:
            kept.append(day)
    return kept


def _shrink_day(day: EvaluatedDay, progress: Callable[[str], object]) -> EvaluatedDay | None:
    matches = same_failure_as(day.outcome)

    def fails(scenario: Scenario) -> bool:
        try:
            return matches(run_day(check_scenario(scenario), day.seed))
        except (RunFailed, ScenarioError):
            return False

    shrunk = shrink(day.scenario, fails)
    outcome = run_day(shrunk, day.seed)
    return EvaluatedDay(severity(outcome), shrunk, day.seed, outcome)


def save_day(day: EvaluatedDay, folder: Path) -> Path:
    """Writes a day as a scenario file that `lab run` replays; returns its path."""
    outcome = day.outcome
    broken = [rule for rule, row in outcome.rules.items() if row["broken"]]
    what = f"breaks {', '.join(broken)}" if broken else "raises a fault" if outcome.faults else "loses service"
    day.scenario.seed = day.seed
    day.scenario.about = f"found by a hunt: {what}; service {outcome.service:.3f} of {outcome.bound:.3f}"
    text = format_scenario(day.scenario)
    path = folder / f"hunt-{'-'.join(broken) or 'service'}-{hashlib.sha1(text.encode()).hexdigest()[:8]}.toml"
    folder.mkdir(parents=True, exist_ok=True)
    path.write_text(text)
    return path
