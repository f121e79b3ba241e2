"""Clients that ask by operation, each proxy's own: arrivals are drawn ahead and do not wait for answers."""

from __future__ import annotations

from random import Random

from driftshed import interface as face
from driftshed.net.http import Answer, HttpClient
from driftshed.net.loop import Loop

PATIENCE = (0.6, 1.0)  # of the integration timeout: when a client gives up


class ClientStandin:
    """The clients of one proxy. `work`: by operation, the least and the most seconds of work; `surge` multiplies the
    rate. A client repeats once by itself what may be repeated: its own doing, told apart by `ask`."""

    def __init__(
        self,
        loop: Loop,
        proxy: tuple[str, int],
        operations: tuple[face.Operation, ...],
        shares: list[float],
        work: list[tuple[float, float]],
        rate: float,
        seed: int,
        repeats: bool = True,
        tap=None,
    ) -> None:
        self.loop, self.operations, self.shares, self.work, self.rate = loop, operations, shares, work, rate
        self.random, self.repeats, self.surge, self.asked, self.open = Random(seed), repeats, 1.0, 0, True
        self.name = f"{proxy[0]}"
        self.client = HttpClient(loop, proxy, idle_most=256, tap=tap)
        self._next()

    def _next(self) -> None:
        self.loop.after(self.random.expovariate(self.rate * self.surge), self._arrive)

    def _arrive(self) -> None:
        if not self.open:
            return
        self._next()
        place = self.random.choices(range(len(self.operations)), self.shares)[0]
        self.asked += 1
        operation = self.operations[place]
        patience = operation.integration_timeout * self.random.uniform(*PATIENCE)
        household = int(self.random.paretovariate(0.8)) % 5000  # a few ask far more often than the rest
        query = f"inv={self.asked}&work={self.random.uniform(*self.work[place]):.4f}&key=household-{household:04d}"
        self._ask(operation, query, 1, self.loop.clock() + patience)

    def _ask(self, operation: face.Operation, query: str, ask: int, until: float) -> None:
        began = self.loop.clock()

        def answered(answer: Answer) -> None:
            if answer.status == 200 or ask > 1 or not self.repeats or not self.open:
                return
            never = answer.headers.get(b"x-never-ran") == b"1"
            in_window = operation.repeat_window and self.loop.clock() + 0.05 - began < operation.repeat_window
            if until - self.loop.clock() > 0.2 and (never or operation.effect == "idempotent" or in_window):
                self.loop.after(0.05, lambda: self._ask(operation, query, 2, until))

        path = f"/do/{operation.name}?{query}&ask={ask}"
        self.client.call("POST", path, b"", answered, max(0.01, until - began))
