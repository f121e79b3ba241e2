"""Random troubles of supervisors, drawn by a seed, and their reduction to a minimal failing set."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeVar

from msgspec.structs import replace

from driftshed.day import script as schema

SHORT_PAUSE, LONG_PAUSE = (0.1, 0.6), (1.5, 3.0)  # as shares of a lease: shorter pauses keep it, longer ones lose it
Played = TypeVar("Played")
KINDS = ("kill", "short pause", "long pause", "apart", "apart", "lag", "lose")


def draw(script: schema.Script, seed: int) -> list[schema.Trouble]:
    """Draws the troubles of the script's `drawn`, ordered by time. Those of one supervisor do not overlap, since a
    process that is dead cannot be stopped; those of different supervisors may."""
    drawn, random = script.drawn, Random(f"troubles {seed}")
    lease, troubles = script.fleet.fleet_timeout, []
    free_at = [drawn.since] * script.fleet.supervisors
    step = (drawn.till - drawn.since) / drawn.count
    for k in range(drawn.count):
        at = round(drawn.since + (k + random.random()) * step, 2)
        available = [who for who, free_since in enumerate(free_at) if free_since <= at]
        kind, side = random.choice(KINDS), random.choice(("store", "proxies", "both"))
        lasts = round(lease * random.uniform(0.5, 3), 2)
        if not available:
            continue
        who = random.choice(available)
        if kind == "kill":
            trouble = schema.Kill(at, lasts, who)
        elif kind == "apart":
            trouble = schema.Apart(at, lasts, who, side, random.choice(("both", "told", "said")))
        elif kind == "lag":
            trouble = schema.Lag(at, lasts, round(random.uniform(0.02, 0.2), 3), who, side)
        elif kind == "lose":
            trouble, lasts = schema.Lose(at, who, random.choice(("request", "answer"))), 0.0
        else:
            lasts = round(lease * random.uniform(*(SHORT_PAUSE if kind == "short pause" else LONG_PAUSE)), 2)
            trouble = schema.Pause(at, lasts, who)
        free_at[who] = at + lasts + lease
        troubles.append(trouble)
    return troubles


def with_drawn(script: schema.Script, seed: int) -> schema.Script:
    """The script with its drawn troubles added to the listed ones."""
    if script.drawn is None:
        return script
    return replace(script, troubles=[*script.troubles, *draw(script, seed)], drawn=None)


def without(script: schema.Script) -> schema.Script:
    """The script without the troubles of supervisors and of the store; those of servers and clients remain."""
    faults = schema.Kill | schema.Pause | schema.StoreTrouble | schema.FleetTrouble
    return replace(script, troubles=[each for each in script.troubles if not isinstance(each, faults)], drawn=None)


def reduce_troubles(
    script: schema.Script, outcome: Played, play: Callable[[schema.Script], Played], fails: Callable[[Played], bool]
) -> tuple[schema.Script, Played]:
    """Removes troubles one by one while the day still `fails`; returns the reduced script and its last failing
    outcome."""

    def still_fails(troubles: list) -> bool:
        nonlocal outcome
        reduced = play(replace(script, troubles=troubles))
        if fails(reduced):
            outcome = reduced
        return outcome is reduced

    return replace(script, troubles=minimal_failing(script.troubles, still_fails)), outcome


def minimal_failing(
    items: list, fails: Callable[[list], bool], on_progress: Callable[[list], object] = lambda items: None
) -> list:
    """A subset that still fails, and no longer does if any one item is removed. `on_progress` is called with each
    smaller subset."""
    reduced_any = True
    while reduced_any:
        reduced_any = False
        for k in range(len(items) - 1, -1, -1):
            candidate = items[:k] + items[k + 1 :]
            if fails(candidate):
                items, reduced_any = candidate, True
                on_progress(items)
    return items
