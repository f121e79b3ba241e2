"""Generates synthetic traces of invocations from a seed."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from driftshed.trace.columns import Batch, Lists, Strings
from driftshed.trace.files import RECORDS_PER_BLOCK
from driftshed.trace.schema import compact_invocations

OPERATIONS, VALUES = ["plan-lookup", "purchase-split", "history-read"], np.array([1.0, 5.0, 2.0])
OUTCOMES = ["succeeded", "late", "errored", "rate-limited"]
TRY_OUTCOMES = ["answered", "errored", "full", "refused", "late"]


def batches(records: int, seed: int, sources: int = 4, proxies: int = 100, servers: int = 87) -> Iterator[Batch]:
    """Yields batches of invocations, ordered by time within each source; about 940 per second over all sources."""
    generator = np.random.Generator(np.random.PCG64(seed))
    server_names = [f"127.0.{1 + n % 3}.{1 + n // 3}:8000" for n in range(servers)]
    at, seq = [1_790_000_000_000_000] * sources, [0] * sources
    remaining, block_number = records, 0
    while remaining > 0:
        count, source = min(RECORDS_PER_BLOCK, remaining), block_number % sources
        remaining, block_number = remaining - count, block_number + 1
        times = at[source] + np.cumsum(generator.exponential(sources / 940 * 1e6, count).astype(np.int64))
        at[source] = int(times[-1])
        operation = generator.choice(3, count, p=(0.6, 0.2, 0.2))
        has_second_try = generator.random(count) < 0.06
        counts = 1 + has_second_try.astype(np.int64)
        total = int(counts.sum())
        try_durations = generator.lognormal(11.4, 0.5, total).astype(np.int64)
        first_tries = np.concatenate(([0], np.cumsum(counts)[:-1]))
        try_outcomes = np.where(generator.random(total) < 0.01, 4, 0)
        try_outcomes[first_tries[has_second_try]] = generator.choice([1, 2, 3], int(has_second_try.sum()))
        began = np.zeros(total, dtype=np.int64)
        began[first_tries[has_second_try] + 1] = try_durations[first_tries[has_second_try]]
        last_tries = first_tries + counts - 1
        durations = began[last_tries] + try_durations[last_tries]
        outcomes = np.where(try_outcomes[last_tries] == 0, (durations > 600_000).astype(np.int64), 2)
        key = np.minimum(generator.zipf(1.4, count), 9999)
        distinct_keys, codes = np.unique(key, return_inverse=True)
        value = np.where(outcomes == 0, VALUES[operation], np.where(outcomes == 1, 0.2 * VALUES[operation], 0.0))
        columns = {
            "at": ("t", times),
            "seq": ("i", np.arange(seq[source] + 1, seq[source] + 1 + count)),
            "proxy": ("i", source + sources * (generator.pareto(1.2, count) * 3).astype(np.int64) % proxies),
            "operation": ("s", Strings(operation.astype(np.int64), OPERATIONS)),
            "key": ("s", Strings(codes.astype(np.int64), [f"household-{k:04d}" for k in distinct_keys.tolist()])),
            "took": ("t", durations),
            "outcome": ("s", Strings(outcomes, OUTCOMES)),
            "value": ("f", value),
            "servers": ("S", Lists(counts, Strings(generator.integers(0, servers, total), server_names))),
            "began": ("T", Lists(counts, began)),
            "spans": ("T", Lists(counts, try_durations)),
            "outcomes": ("S", Lists(counts, Strings(try_outcomes, TRY_OUTCOMES))),
        }
        seq[source] += count
        yield compact_invocations(Batch("invocation", f"proxies-{source}", columns))
