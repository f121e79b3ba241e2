"""Synthetic traces, seeded: invocations of a day that never was, as many as wanted."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from driftshed.trace.columns import Batch, Lists, Strings
from driftshed.trace.files import RECORDS_PER_BLOCK
from driftshed.trace.schema import compact_invocations

OPERATIONS, VALUES = ["plan-lookup", "purchase-split", "history-read"], np.array([1.0, 5.0, 2.0])
OUTCOMES = ["succeeded", "late", "errored", "rate-limited"]
TRIES = ["answered", "errored", "full", "refused", "late"]


def batches(records: int, seed: int, sources: int = 4, proxies: int = 100, servers: int = 87) -> Iterator[Batch]:
    """Invocations of each source in its order of time, about 940 a second over all."""
    chance = np.random.Generator(np.random.PCG64(seed))
    names = [f"127.0.{1 + n % 3}.{1 + n // 3}:8000" for n in range(servers)]
    at, seq = [1_790_000_000_000_000] * sources, [0] * sources
    left, turn = records, 0
    while left > 0:
        count, source = min(RECORDS_PER_BLOCK, left), turn % sources
        left, turn = left - count, turn + 1
        times = at[source] + np.cumsum(chance.exponential(sources / 940 * 1e6, count).astype(np.int64))
        at[source] = int(times[-1])
        operation = chance.choice(3, count, p=(0.6, 0.2, 0.2))
        second = chance.random(count) < 0.06
        counts = 1 + second.astype(np.int64)
        total = int(counts.sum())
        took = chance.lognormal(11.4, 0.5, total).astype(np.int64)
        starts = np.concatenate(([0], np.cumsum(counts)[:-1]))
        outcome_of_try = np.where(chance.random(total) < 0.01, 4, 0)
        outcome_of_try[starts[second]] = chance.choice([1, 2, 3], int(second.sum()))
        began = np.zeros(total, dtype=np.int64)
        began[starts[second] + 1] = took[starts[second]]
        ends = starts + counts - 1
        whole = began[ends] + took[ends]
        outcome = np.where(outcome_of_try[ends] == 0, (whole > 600_000).astype(np.int64), 2)
        key = np.minimum(chance.zipf(1.4, count), 9999)
        used, codes = np.unique(key, return_inverse=True)
        value = np.where(outcome == 0, VALUES[operation], np.where(outcome == 1, 0.2 * VALUES[operation], 0.0))
        columns = {
            "at": ("t", times),
            "seq": ("i", np.arange(seq[source] + 1, seq[source] + 1 + count)),
            "proxy": ("i", source + sources * (chance.pareto(1.2, count) * 3).astype(np.int64) % proxies),
            "operation": ("s", Strings(operation.astype(np.int64), OPERATIONS)),
            "key": ("s", Strings(codes.astype(np.int64), [f"household-{k:04d}" for k in used.tolist()])),
            "took": ("t", whole),
            "outcome": ("s", Strings(outcome, OUTCOMES)),
            "value": ("f", value),
            "servers": ("S", Lists(counts, Strings(chance.integers(0, servers, total), names))),
            "began": ("T", Lists(counts, began)),
            "spans": ("T", Lists(counts, took)),
            "outcomes": ("S", Lists(counts, Strings(outcome_of_try, TRIES))),
        }
        seq[source] += count
        yield compact_invocations(Batch("invocation", f"proxies-{source}", columns))
