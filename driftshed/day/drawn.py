"""Troubles of supervisors drawn by a seed, and the fewest of them that still break a day."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeVar

from msgspec.structs import replace

from driftshed.day import script as schema

SHORT, LONG = (0.1, 0.6), (1.5, 3.0)  # of a lease: pauses that it outlasts, and that outlast it
Played = TypeVar("Played")
KINDS = ("kill", "short pause", "long pause", "apart", "apart", "lag", "lose")


def draw(script: schema.Script, seed: int) -> list[schema.Trouble]:
    """One after the other for each supervisor, since one that is dead cannot be stopped; over all of them at once. Each
    supervisor's come in the order of their times."""
    drawn, random = script.drawn, Random(f"troubles {seed}")
    lease, troubles = script.fleet.fleet_timeout, []
    free = [drawn.since] * script.fleet.supervisors
    step = (drawn.till - drawn.since) / drawn.count
    for k in range(drawn.count):
        at = round(drawn.since + (k + random.random()) * step, 2)
        able = [who for who, then in enumerate(free) if then <= at]
        kind, side = random.choice(KINDS), random.choice(("store", "proxies", "both"))
        lasts = round(lease * random.uniform(0.5, 3), 2)
        if not able:
            continue
        who = random.choice(able)
        if kind == "kill":
            trouble = schema.Kill(at, lasts, who)
        elif kind == "apart":
            trouble = schema.Apart(at, lasts, who, side, random.choice(("both", "told", "said")))
        elif kind == "lag":
            trouble = schema.Lag(at, lasts, round(random.uniform(0.02, 0.2), 3), who, side)
        elif kind == "lose":
            trouble, lasts = schema.Lose(at, who, random.choice(("request", "answer"))), 0.0
        else:
            lasts = round(lease * random.uniform(*(SHORT if kind == "short pause" else LONG)), 2)
            trouble = schema.Pause(at, lasts, who)
        free[who] = at + lasts + lease
        troubles.append(trouble)
    return troubles


def with_drawn(script: schema.Script, seed: int) -> schema.Script:
    """The script with its drawn troubles written down."""
    if script.drawn is None:
        return script
    return replace(script, troubles=[*script.troubles, *draw(script, seed)], drawn=None)


def without(script: schema.Script) -> schema.Script:
    """The script without the troubles of supervisors and store; those of servers and clients stay."""
    faults = schema.Kill | schema.Pause | schema.StoreTrouble | schema.FleetTrouble
    return replace(script, troubles=[each for each in script.troubles if not isinstance(each, faults)], drawn=None)


def shrunk(
    script: schema.Script, played: Played, play: Callable[[schema.Script], Played], fails: Callable[[Played], bool]
) -> tuple[schema.Script, Played]:
    """Leaves out one trouble after the other for as long as the day still `fails`."""

    def still(troubles: list) -> bool:
        nonlocal played
        other = play(replace(script, troubles=troubles))
        if fails(other):
            played = other
        return played is other

    return replace(script, troubles=fewest(script.troubles, still)), played


def fewest(items: list, fails: Callable[[list], bool], told: Callable[[list], object] = lambda items: None) -> list:
    """Those without which it does not fail: left out one by one, until none can be spared."""
    again = True
    while again:
        again = False
        for k in range(len(items) - 1, -1, -1):
            less = items[:k] + items[k + 1 :]
            if fails(less):
                items, again = less, True
                told(items)
    return items
