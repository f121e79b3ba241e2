"""Compares two variants on the same days: mean of the paired differences, with a confidence interval."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from driftshed.lab.store import RunRow

MIN_PAIRS = 5  # for a verdict
RESAMPLES = 10000
CONFIDENCE = 0.95


class Comparison(NamedTuple):
    """Variant `b` compared with `a` on one figure: means, and the mean difference b - a with its interval."""

    what: str
    pairs: int
    a: float
    b: float
    difference: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """ "more" or "less" where the interval excludes 0."""
        if self.pairs < MIN_PAIRS:
            return f"too few pairs: {self.pairs}, at least {MIN_PAIRS} needed"
        if self.low > 0:
            return "more"
        if self.high < 0:
            return "less"
        return "no significant difference"


def bootstrap(differences: np.ndarray, seed: int = 1) -> tuple[float, float]:
    """The confidence interval of the mean, by resampling the pairs; unbounded with fewer than two."""
    if len(differences) < 2:
        return float("-inf"), float("inf")
    rng = np.random.default_rng(seed)
    drawn = rng.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[drawn].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return float(low), float(high)


def pair_runs(rows: list[RunRow], a: str, b: str) -> tuple[list[tuple[RunRow, RunRow]], int]:
    """The runs of two variants on the same scenario, clock and seed, and how many days are left out: a run is
    missing, not done, or does not count because the load generator lagged behind."""
    by_day: dict[tuple, dict[str, RunRow]] = {}
    for row in rows:
        if row.variant in (a, b):
            by_day.setdefault((row.scenario, row.clock, row.seed), {})[row.variant] = row
    pairs = [
        (runs[a], runs[b])
        for runs in by_day.values()
        if len(runs) == 2 and all(row.state == "done" and row.counts for row in runs.values())
    ]
    return pairs, len(by_day) - len(pairs)


def compare(rows: list[RunRow], a: str, b: str) -> tuple[list[Comparison], int]:
    """Compares service, the worst 10 s and broken rules of `b` with `a`; also returns how many days are left out."""
    pairs, left_out = pair_runs(rows, a, b)
    found = []
    for what in ("service", "worst", "broken"):
        first, second = (np.array([float(getattr(pair[k], what)) for pair in pairs]) for k in (0, 1))
        difference = second - first
        low, high = bootstrap(difference)
        mean = [float(each.mean()) if len(pairs) else float("nan") for each in (first, second, difference)]
        found.append(Comparison(what, len(pairs), *mean, low, high))
    return found, left_out
