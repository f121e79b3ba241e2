"""The load tool: invocations drawn ahead and sent when they are due, whether or not those before them were answered.

Open loop: latency counts from the moment at which an invocation was to be sent, not from when the tool got round to it.
A tool that fell behind says so, and its run does not count."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from driftshed import interface as face
from driftshed.lab.scenario import BadScenario, Surge, Traffic
from driftshed.net.http import Answer, HttpClient, Transport
from driftshed.net.loop import Timers

STRETCH = 30.0  # seconds drawn ahead at a time
MOST_ROWS = 5_000_000  # of a trace file
LATE_P99, LATE_MOST = 0.1, 1.0  # of the shortest latency objective: more than this behind is not keeping up
REPEAT_AFTER, REPEAT_LEFT = 0.05, 0.2  # seconds: before a client's own repeat, and what must be left for it


class Arrivals(NamedTuple):
    """Invocations in the order of their times: arrays of one length."""

    times: np.ndarray  # seconds from the start
    operations: np.ndarray
    proxies: np.ndarray
    work: np.ndarray  # seconds
    keys: np.ndarray
    patience: np.ndarray  # of the integration timeout


def shape(traffic: Traffic, surges: list[Surge], operation: str, times: np.ndarray) -> np.ndarray:
    """What the rate is multiplied with at these times."""
    factor = np.ones(len(times))
    if traffic.shape == "diurnal":
        factor *= 1 + traffic.swing * np.sin(2 * np.pi * times / traffic.period)
    for surge in surges:
        if surge.operation in ("", operation):
            factor[(times >= surge.at) & (times < surge.at + surge.lasts)] *= surge.times
    return factor


def draw(
    traffic: Traffic,
    operations: tuple[face.Operation, ...],
    rates: list[float],
    surges: list[Surge],
    seconds: float,
    seed: int,
) -> Iterator[Arrivals]:
    """The invocations of a day, stretch by stretch; the same for the same arguments, wherever it is drawn. `rates`: by
    proxy, of which only the proportions count."""
    names = [operation.name for operation in operations]
    given = read_trace(traffic.trace, names) if traffic.trace else None
    weights = np.array(rates) / sum(rates) if sum(rates) else np.full(len(rates), 1 / len(rates))
    ranks = np.cumsum(np.arange(1, traffic.keys + 1) ** -traffic.zipf)
    shares = np.array(traffic.shares) / sum(traffic.shares)
    for k in range(int(np.ceil(seconds / STRETCH))):
        chance = np.random.default_rng([seed, k])
        since, till = k * STRETCH, min(seconds, (k + 1) * STRETCH)
        if given is None:
            times, which = _poisson(traffic, names, shares, surges, since, till, chance)
        else:
            inside = (given[0] >= since) & (given[0] < till)
            times, which = given[0][inside], given[1][inside]
        count = len(times)
        low, high = (np.array([work[end] for work in traffic.work])[which] for end in (0, 1))
        if traffic.spread == "uniform":
            work = chance.uniform(low, high)
        elif traffic.spread == "fixed":
            work = (low + high) / 2
        else:
            work = chance.exponential((low + high) / 2)
        keys = np.searchsorted(ranks, chance.uniform(0, ranks[-1], count))
        proxies = chance.choice(len(rates), count, p=weights)
        yield Arrivals(times, which, proxies, work, keys, chance.uniform(*traffic.patience, count))


def _poisson(traffic, names, shares, surges, since, till, chance) -> tuple[np.ndarray, np.ndarray]:
    """Thinned from the highest rate that a stretch has."""
    most = 1 + (traffic.swing if traffic.shape == "diurnal" else 0.0)
    times, which = [], []
    for place, (name, share) in enumerate(zip(names, shares, strict=True)):
        top = most
        for surge in surges:
            if surge.operation in ("", name):
                top *= max(1.0, surge.times)
        count = chance.poisson(traffic.rate * share * top * (till - since))
        at = chance.uniform(since, till, count)
        kept = chance.uniform(0, top, count) < shape(traffic, surges, name, at)
        times.append(at[kept])
        which.append(np.full(int(kept.sum()), place))
    times, which = np.concatenate(times), np.concatenate(which)
    order = np.argsort(times, kind="stable")
    return times[order], which[order]


def read_trace(path: str, names: list[str]) -> tuple[np.ndarray, np.ndarray]:
    """Times and operations of a file of invocations, "seconds operation" a line; BadScenario says what is wrong."""
    times, which, places = [], [], {name: place for place, name in enumerate(names)}
    try:
        with Path(path).open() as file:
            for number, line in enumerate(file, 1):
                parts = line.split()
                if not parts:
                    continue
                if len(parts) != 2 or parts[1] not in places or number > MOST_ROWS:
                    text = f"{path}, line {number}: seconds and one of {', '.join(names)} are wanted"
                    raise BadScenario(text + f", at most {MOST_ROWS} lines")
                times.append(float(parts[0]))
                which.append(places[parts[1]])
    except (OSError, ValueError) as error:
        raise BadScenario(f"{path}: {error}") from None
    order = np.argsort(times, kind="stable")
    return np.array(times)[order], np.array(which, dtype=int)[order]


class Lag:
    """How far the tool was behind its own plan, in seconds."""

    def __init__(self, objective: float) -> None:
        self.objective, self.most = objective, 0.0
        self.histogram = HdrHistogram(1, 60_000_000, 2)

    def add(self, seconds: float) -> None:
        self.most = max(self.most, seconds)
        self.histogram.record_value(max(1, min(60_000_000, int(seconds * 1e6))))

    @property
    def p99(self) -> float:
        return self.histogram.get_value_at_percentile(99) / 1e6

    @property
    def kept_up(self) -> bool:
        return self.p99 <= LATE_P99 * self.objective and self.most <= LATE_MOST * self.objective


class Load:
    """The clients of all proxies. `hosts`: the address that each proxy's clients connect to; `began`: the loop's clock
    at the start of the day. `row(intended, operation, took, status)` is told of each invocation that is over, `took`
    None where it got no good answer."""

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
        self.loop, self.operations, self.arrivals, self.repeats = loop, operations, arrivals, repeats
        self.random = Random(f"clients {seed}")
        self.clients: list[HttpClient] = [
            transport.client(loop, host, idle_most=256, tap=(lambda host=host: tap(host)) if tap else None)
            for host in hosts
        ]
        self.lag = Lag(min(operation.latency_objective for operation in operations))
        self.histograms = [HdrHistogram(1, 600_000_000, 3) for _ in operations]
        self.asked, self.good, self.under_way = [0] * len(operations), [0] * len(operations), 0
        self.row: Callable[[float, int, float | None, int], object] = lambda *_: None
        self.rows, self.at, self.sent, self.over = None, 0, 0, False

    def begin(self, began: float) -> None:
        self.began = began
        self._stretch()

    def _stretch(self) -> None:
        """Draws the next stretch ahead."""
        self.rows, self.at = next(self.arrivals, None), 0
        if self.rows is None:
            self.over = True
            return
        self.lists = [column.tolist() for column in self.rows]
        self._await()

    def _await(self) -> None:
        if self.at < len(self.lists[0]):
            self.loop.at(self.began + self.lists[0][self.at], self._send_due)
        else:
            self._stretch()

    def _send_due(self) -> None:
        now = self.loop.clock() - self.began
        times, operations, proxies, work, keys, patience = self.lists
        while self.at < len(times) and times[self.at] <= now:
            k = self.at
            self.at += 1
            self.lag.add(now - times[k])
            operation = self.operations[operations[k]]
            self.sent += 1
            self.under_way += 1
            self.asked[operations[k]] += 1
            query = f"inv={self.sent}&work={work[k]:.4f}&key=key-{keys[k]}"
            self._ask(proxies[k], operations[k], query, 1, times[k], operation.integration_timeout * patience[k])
        self._await()

    def _ask(self, proxy: int, place: int, query: str, ask: int, intended: float, patience: float) -> None:
        operation, began = self.operations[place], self.loop.clock() - self.began

        def answered(answer: Answer) -> None:
            now = self.loop.clock() - self.began
            again = answer.status != 200 and ask == 1 and self.repeats
            if again and intended + patience - now > REPEAT_LEFT:
                never = answer.headers.get(b"x-never-ran") == b"1"
                in_window = operation.repeat_window and now + REPEAT_AFTER - began < operation.repeat_window
                if never or operation.effect == "idempotent" or in_window:
                    self.loop.after(REPEAT_AFTER, lambda: self._ask(proxy, place, query, 2, intended, patience))
                    return
            self.under_way -= 1
            took = now - intended if answer.status == 200 else None
            if took is not None:
                self.good[place] += 1
                self.histograms[place].record_value(max(1, int(took * 1e6)))
            self.row(intended, place, took, answer.status)

        path = f"/do/{operation.name}?{query}&ask={ask}"
        within = max(0.01, patience - (began - intended))
        self.clients[proxy].call("POST", path, b"", answered, within)

    def stop(self) -> None:
        for client in self.clients:
            client.close()
