"""The load generator: invocations are drawn ahead and sent at their times, whether or not earlier ones were answered.
It is open loop: latency counts from the time at which an invocation was due to be sent, not from when it was sent. A
generator that lagged behind reports it, and its run does not count."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from driftshed import interface as face
from driftshed.lab.scenario import ScenarioError, Surge, Traffic
from driftshed.net.http import Answer, HttpClient, Transport
from driftshed.net.loop import Timers

CHUNK_S = 30.0  # of a day, drawn at a time
MAX_TRACE_LINES = 5_000_000
# Shares of the shortest latency objective: a generator that lags more has not kept up.
MAX_LAG_P99_SHARE, MAX_LAG_SHARE = 0.1, 1.0
REPEAT_DELAY_S, MIN_REPEAT_TIME_S = 0.05, 0.2  # before a client's own repeat, and what must be left for it


class Arrivals(NamedTuple):
    """Invocations in order of time, as arrays of one length."""

    times: np.ndarray  # seconds from the start
    operations: np.ndarray
    proxies: np.ndarray
    work: np.ndarray  # seconds of work at a server of speed 1
    keys: np.ndarray
    timeout_shares: np.ndarray  # after which the client gives up, as shares of the integration timeout


def rate_factor(traffic: Traffic, surges: list[Surge], operation: str, times: np.ndarray) -> np.ndarray:
    """The factor on the mean rate at these times, from the diurnal shape and the surges."""
    factor = np.ones(len(times))
    if traffic.shape == "diurnal":
        factor *= 1 + traffic.swing * np.sin(2 * np.pi * times / traffic.period)
    for surge in surges:
        if surge.operation in ("", operation):
            factor[(times >= surge.at) & (times < surge.at + surge.lasts)] *= surge.times
    return factor


def generate_arrivals(
    traffic: Traffic,
    operations: tuple[face.Operation, ...],
    rates: list[float],
    surges: list[Surge],
    seconds: float,
    seed: int,
) -> Iterator[Arrivals]:
    """Yields the invocations of a day in chunks of `CHUNK_S`; the same for the same arguments in any process.
    `rates` are by proxy, and only their proportions count."""
    names = [operation.name for operation in operations]
    trace = read_trace(traffic.trace, names) if traffic.trace else None
    weights = np.array(rates) / sum(rates) if sum(rates) else np.full(len(rates), 1 / len(rates))
    ranks = np.cumsum(np.arange(1, traffic.keys + 1) ** -traffic.zipf)
    shares = np.array(traffic.shares) / sum(traffic.shares)
    for k in range(int(np.ceil(seconds / CHUNK_S))):
        rng = np.random.default_rng([seed, k])
        since, till = k * CHUNK_S, min(seconds, (k + 1) * CHUNK_S)
        if trace is None:
            times, indices = _poisson_arrivals(traffic, names, shares, surges, since, till, rng)
        else:
            inside = (trace[0] >= since) & (trace[0] < till)
            times, indices = trace[0][inside], trace[1][inside]
        count = len(times)
        low, high = (np.array([work[end] for work in traffic.work])[indices] for end in (0, 1))
        if traffic.spread == "uniform":
            work = rng.uniform(low, high)
        elif traffic.spread == "fixed":
            work = (low + high) / 2
        else:
            work = rng.exponential((low + high) / 2)
        keys = np.searchsorted(ranks, rng.uniform(0, ranks[-1], count))
        proxies = rng.choice(len(rates), count, p=weights)
        yield Arrivals(times, indices, proxies, work, keys, rng.uniform(*traffic.patience, count))


def _poisson_arrivals(traffic, names, shares, surges, since, till, rng) -> tuple[np.ndarray, np.ndarray]:
    """Times and operations by thinning a Poisson process at the peak rate of the chunk."""
    day_peak = 1 + (traffic.swing if traffic.shape == "diurnal" else 0.0)
    times, indices = [], []
    for index, (name, share) in enumerate(zip(names, shares, strict=True)):
        peak = day_peak
        for surge in surges:
            if surge.operation in ("", name):
                peak *= max(1.0, surge.times)
        count = rng.poisson(traffic.rate * share * peak * (till - since))
        candidates = rng.uniform(since, till, count)
        accepted = rng.uniform(0, peak, count) < rate_factor(traffic, surges, name, candidates)
        times.append(candidates[accepted])
        indices.append(np.full(int(accepted.sum()), index))
    times, indices = np.concatenate(times), np.concatenate(indices)
    order = np.argsort(times, kind="stable")
    return times[order], indices[order]


def read_trace(path: str, names: list[str]) -> tuple[np.ndarray, np.ndarray]:
    """Times and operations of a file of invocations, one "SECONDS OPERATION" a line. Raises ScenarioError."""
    times, indices, index_of = [], [], {name: index for index, name in enumerate(names)}
    try:
        with Path(path).open() as file:
            for number, line in enumerate(file, 1):
                parts = line.split()
                if not parts:
                    continue
                if len(parts) != 2 or parts[1] not in index_of or number > MAX_TRACE_LINES:
                    text = f"{path}, line {number}: expected seconds and one of {', '.join(names)}"
                    raise ScenarioError(text + f", at most {MAX_TRACE_LINES} lines")
                times.append(float(parts[0]))
                indices.append(index_of[parts[1]])
    except (OSError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    order = np.argsort(times, kind="stable")
    return np.array(times)[order], np.array(indices, dtype=int)[order]


class Lag:
    """How far the generator was behind its own schedule, in seconds."""

    def __init__(self, objective: float) -> None:
        """`objective` is the shortest latency objective, in seconds."""
        self.objective, self.max = objective, 0.0
        self.histogram = HdrHistogram(1, 60_000_000, 2)

    def add(self, seconds: float) -> None:
        """Records the delay of one send."""
        self.max = max(self.max, seconds)
        self.histogram.record_value(max(1, min(60_000_000, int(seconds * 1e6))))

    @property
    def p99(self) -> float:
        """The 99th percentile, in seconds."""
        return self.histogram.get_value_at_percentile(99) / 1e6

    @property
    def kept_up(self) -> bool:
        """Whether the lag is small enough for the run to count."""
        return self.p99 <= MAX_LAG_P99_SHARE * self.objective and self.max <= MAX_LAG_SHARE * self.objective


class LoadGenerator:
    """The clients of all proxies. `hosts` are the addresses that each proxy's clients connect to, `began` is the
    loop's clock at the start of the day. `on_result(intended, operation, latency, status)` is called for each
    completed invocation, with latency None where it had no good answer."""

    def __init__(
        self,
        loop: Timers,
        transport: Transport,
        hosts: list[tuple[str, int]],
        operations: tuple[face.Operation, ...],
        arrivals: Iterator[Arrivals],
        seed: int,
        repeats: bool,
        tap: Callable[[tuple[str, int]], object] | None = None,
    ) -> None:
        """Opens no connection yet. `tap(host)` returns the tap of a proxy's clients; `repeats` lets them repeat
        once."""
        self.loop, self.operations, self.arrivals, self.repeats = loop, operations, arrivals, repeats
        self.random = Random(f"clients {seed}")
        self.clients: list[HttpClient] = [
            transport.client(loop, host, max_idle=256, tap=(lambda host=host: tap(host)) if tap else None)
            for host in hosts
        ]
        self.lag = Lag(min(operation.latency_objective for operation in operations))
        self.histograms = [HdrHistogram(1, 600_000_000, 3) for _ in operations]
        self.requested, self.good_answers, self.under_way = [0] * len(operations), [0] * len(operations), 0
        self.on_result: Callable[[float, int, float | None, int], object] = lambda *_: None
        self.chunk, self.next_index, self.sent, self.exhausted = None, 0, 0, False

    def begin(self, began: float) -> None:
        """Starts sending; `began` is the start of the day on the loop's clock."""
        self.began = began
        self._next_chunk()

    def _next_chunk(self) -> None:
        """Takes the next chunk of arrivals."""
        self.chunk, self.next_index = next(self.arrivals, None), 0
        if self.chunk is None:
            self.exhausted = True
            return
        self.columns = [column.tolist() for column in self.chunk]
        self._schedule_next()

    def _schedule_next(self) -> None:
        if self.next_index < len(self.columns[0]):
            self.loop.at(self.began + self.columns[0][self.next_index], self._send_due)
        else:
            self._next_chunk()

    def _send_due(self) -> None:
        now = self.loop.clock() - self.began
        times, operations, proxies, work, keys, timeout_shares = self.columns
        while self.next_index < len(times) and times[self.next_index] <= now:
            k = self.next_index
            self.next_index += 1
            self.lag.add(now - times[k])
            operation = self.operations[operations[k]]
            self.sent += 1
            self.under_way += 1
            self.requested[operations[k]] += 1
            query = f"inv={self.sent}&work={work[k]:.4f}&key=key-{keys[k]}"
            self._send(proxies[k], operations[k], query, 1, times[k], operation.integration_timeout * timeout_shares[k])
        self._schedule_next()

    def _send(
        self, proxy: int, operation_index: int, query: str, attempt: int, intended: float, timeout: float
    ) -> None:
        operation, began = self.operations[operation_index], self.loop.clock() - self.began

        def on_answer(answer: Answer) -> None:
            now = self.loop.clock() - self.began
            may_repeat = answer.status != 200 and attempt == 1 and self.repeats
            if may_repeat and intended + timeout - now > MIN_REPEAT_TIME_S:
                never_ran = answer.headers.get(b"x-never-ran") == b"1"
                in_window = operation.repeat_window and now + REPEAT_DELAY_S - began < operation.repeat_window
                if never_ran or operation.effect == "idempotent" or in_window:
                    self.loop.after(
                        REPEAT_DELAY_S, lambda: self._send(proxy, operation_index, query, 2, intended, timeout)
                    )
                    return
            self.under_way -= 1
            latency = now - intended if answer.status == 200 else None
            if latency is not None:
                self.good_answers[operation_index] += 1
                self.histograms[operation_index].record_value(max(1, int(latency * 1e6)))
            self.on_result(intended, operation_index, latency, answer.status)

        path = f"/do/{operation.name}?{query}&ask={attempt}"
        within = max(0.01, timeout - (began - intended))
        self.clients[proxy].call("POST", path, b"", on_answer, within)

    def stop(self) -> None:
        """Closes all connections."""
        for client in self.clients:
            client.close()
