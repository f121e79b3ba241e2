"""Comparing two variants on the same days: mean of the paired differences, and how sure it is."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from driftshed.lab.store import Row

FEWEST = 5  # pairs, below which nothing is said
RESAMPLES = 10000
SURE = 0.95


class Compared(NamedTuple):
    """How variant `b` does against `a`. Differences are b - a."""

    what: str
    pairs: int
    a: float
    b: float
    difference: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        if self.pairs < FEWEST:
            return f"nothing can be said: {self.pairs} pairs, {FEWEST} are wanted"
        if self.low > 0:
            return "more"
        if self.high < 0:
            return "less"
        return "no difference that these runs tell"


def bootstrap(differences: np.ndarray, seed: int = 1) -> tuple[float, float]:
    """The interval that the mean lies in with a probability of 0.95, by drawing the pairs again and again."""
    if len(differences) < 2:
        return float("-inf"), float("inf")
    chance = np.random.default_rng(seed)
    drawn = chance.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[drawn].mean(axis=1)
    low, high = np.quantile(means, [(1 - SURE) / 2, (1 + SURE) / 2])
    return float(low), float(high)


def paired(rows: list[Row], a: str, b: str) -> tuple[list[tuple[Row, Row]], int]:
    """The runs of two variants on the same scenario, clock and seed, and how many had to be left out: not done, or not
    counting since the load tool was behind."""
    by_day: dict[tuple, dict[str, Row]] = {}
    for row in rows:
        if row.variant in (a, b):
            by_day.setdefault((row.scenario, row.clock, row.seed), {})[row.variant] = row
    good = [
        (both[a], both[b])
        for both in by_day.values()
        if len(both) == 2 and all(row.state == "done" and row.counts for row in both.values())
    ]
    return good, len(by_day) - len(good)


def compare(rows: list[Row], a: str, b: str) -> tuple[list[Compared], int]:
    """Service, the worst 10 s and broken rules of `b` against `a`, and how many days were left out."""
    pairs, left_out = paired(rows, a, b)
    found = []
    for what in ("service", "worst", "broken"):
        first, second = (np.array([float(getattr(pair[k], what)) for pair in pairs]) for k in (0, 1))
        difference = second - first
        low, high = bootstrap(difference)
        mean = [float(each.mean()) if len(pairs) else float("nan") for each in (first, second, difference)]
        found.append(Compared(what, len(pairs), *mean, low, high))
    return found, left_out
