"""The search for bad days: scenarios are mutated towards rules nearly broken and service far under what an all-knowing
policy could get on the same day; what is found is made small and kept as a scenario that replays."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from driftshed.day.drawn import fewest
from driftshed.lab.experiment import Failed, run_job
from driftshed.lab.run import Outcome
from driftshed.lab.scenario import (
    BadScenario,
    Scenario,
    check,
    drawn,
    drawn_trouble,
    read_scenario,
    write_scenario,
)
from driftshed.lab.store import Job

KEPT = 8  # days that are mutated further
MOST_TROUBLES = 10
SHORTEST = 6.0  # seconds of a day
NEAR_RULE, GAP = 1.0, 1.0  # what a rule used up, and a share of service lost, weigh


class Day(NamedTuple):
    """One day that was played, and how bad it was."""

    badness: float
    scenario: Scenario
    seed: int
    outcome: Outcome


def badness(outcome: Outcome) -> float:
    """Higher is worse; a broken rule or a fault is above all else."""
    broken = sum(row["broken"] > 0 for row in outcome.rules.values()) + len(outcome.faults)
    nearest = max(outcome.margins.values(), default=0.0)
    return 10.0 * broken + NEAR_RULE * min(1.0, nearest) + GAP * (outcome.bound - outcome.service)


def mutate(random: Random, day: Scenario) -> Scenario:
    """A day like this one: a trouble more, less, moved, or of another strength; or more or less traffic."""
    new = read_scenario(write_scenario(day), "mutated")
    luck = random.random()
    if luck < 0.35 and len(new.troubles) < MOST_TROUBLES:
        new.troubles.append(drawn_trouble(random, new))
    elif luck < 0.5 and len(new.troubles) > 1:
        new.troubles.pop(random.randrange(len(new.troubles)))
    elif luck < 0.75 and new.troubles:
        trouble = random.choice(new.troubles)
        trouble.at = round(min(max(0.0, trouble.at + random.gauss(0, new.seconds / 8)), 0.9 * new.seconds), 2)
    elif luck < 0.9 and new.troubles:
        trouble = random.choice(new.troubles)
        for field in ("lasts", "down", "by", "every"):
            if getattr(trouble, field, 0):
                setattr(trouble, field, round(max(0.1, getattr(trouble, field) * random.uniform(0.5, 2)), 2))
    else:
        new.traffic.rate = round(new.traffic.rate * random.uniform(0.8, 1.25), 3)
    new.troubles.sort(key=lambda trouble: trouble.at)
    return check(new)


def shrink(
    day: Scenario, fails: Callable[[Scenario], bool], told: Callable[[str], object] = lambda text: None
) -> Scenario:
    """The fewest troubles and the shortest day that still `fails`."""
    best = _with(
        day,
        troubles=fewest(
            day.troubles, lambda less: fails(_with(day, troubles=less)), lambda left: told(f"{len(left)} troubles")
        ),
    )
    low, high = max(SHORTEST, max((t.at for t in best.troubles), default=0.0) + 0.5), best.seconds
    while high - low > 1.0:
        middle = round((low + high) / 2, 1)
        shorter = _with(best, seconds=middle)
        if fails(shorter):
            best, high = shorter, middle
            told(f"{middle:g} s")
        else:
            low = middle
    return best


def _with(day: Scenario, **changes: object) -> Scenario:
    return msgspec.structs.replace(read_scenario(write_scenario(day), "shrunk"), **changes)


def breaks_same(like: Outcome) -> Callable[[Outcome], bool]:
    """Whether another outcome fails as this one did."""
    rules = {rule for rule, row in like.rules.items() if row["broken"]}
    lost = like.bound - like.service

    def same(outcome: Outcome) -> bool:
        if rules:
            return any(outcome.rules[rule]["broken"] for rule in rules)
        if like.faults:
            return bool(outcome.faults)
        return outcome.bound - outcome.service >= 0.9 * lost

    return same


def play(day: Scenario, seed: int) -> Outcome:
    return run_job(Job("hunt", "", write_scenario(day), "", "driftshed", {}, "", "virtual", seed))


def hunt(
    size: str,
    seed: int,
    rounds: int,
    pool,
    told: Callable[[str], object] = lambda text: None,
    gap: float = 0.35,
    seconds: float | None = None,
    width: int = 8,
) -> list[Day]:
    """Plays `rounds` x `width` days and gives those that break a rule, raise a fault, or lose more than `gap` of the
    service that could be had, each made small, worst first; one for each kind of failing. `pool` runs them at once."""
    random = Random(f"hunt {seed}")
    days: list[Day] = []
    for k in range(rounds):
        news = []
        for _ in range(width):
            if k == 0 or random.random() < 0.2:
                scenario = drawn(random.getrandbits(30), size, seconds)
            else:
                scenario = mutate(random, random.choice(days).scenario)
            news.append((scenario, random.getrandbits(30)))
        for (scenario, run_seed), outcome in zip(news, pool.map(lambda new: _tried(*new, told), news), strict=True):
            if outcome is not None:
                days.append(Day(badness(outcome), scenario, run_seed, outcome))
        days.sort(key=lambda day: -day.badness)
        days = _apart(days)[:KEPT]
        told(f"round {k + 1} of {rounds}: worst {days[0].badness:.2f}" if days else f"round {k + 1}: nothing played")
    bad = [day for day in days if not day.outcome.kept or day.outcome.bound - day.outcome.service > gap]
    return [day for day in pool.map(lambda day: _small(day, told), _apart(bad)) if day is not None]


def _tried(scenario: Scenario, seed: int, told: Callable[[str], object]) -> Outcome | None:
    try:
        return play(scenario, seed)
    except (Failed, BadScenario) as error:
        told(f"a day came to nothing: {error}")
        return None


def _apart(days: list[Day]) -> list[Day]:
    """At most two days that fail in one way, so that the search does not dwell on one."""
    kept, seen = [], {}
    for day in days:
        way = tuple(rule for rule, row in day.outcome.rules.items() if row["broken"]), bool(day.outcome.faults)
        way += () if any(way) else tuple(sorted({type(trouble).__name__ for trouble in day.scenario.troubles}))
        seen[way] = seen.get(way, 0) + 1
        if seen[way] <= 2:
            kept.append(day)
    return kept


def _small(day: Day, told: Callable[[str], object]) -> Day | None:
    same = breaks_same(day.outcome)

    def fails(scenario: Scenario) -> bool:
        try:
            return same(play(check(scenario), day.seed))
        except (Failed, BadScenario):
            return False

    small = shrink(day.scenario, fails)
    outcome = play(small, day.seed)
    return Day(badness(outcome), small, day.seed, outcome)


def keep(day: Day, folder: Path) -> Path:
    """Writes a day as a scenario file that `lab run` replays."""
    outcome = day.outcome
    broken = [rule for rule, row in outcome.rules.items() if row["broken"]]
    what = f"breaks {', '.join(broken)}" if broken else "raises a fault" if outcome.faults else "loses service"
    day.scenario.seed = day.seed
    day.scenario.about = f"found by a hunt: {what}; service {outcome.service:.3f} of {outcome.bound:.3f}"
    text = write_scenario(day.scenario)
    path = folder / f"hunt-{'-'.join(broken) or 'service'}-{hashlib.sha1(text.encode()).hexdigest()[:8]}.toml"
    folder.mkdir(parents=True, exist_ok=True)
    path.write_text(text)
    return path
