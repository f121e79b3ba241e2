"""Clients of one proxy. The load is open-loop: arrivals are random and do not wait for answers."""

from __future__ import annotations

from random import Random

from driftshed import interface as face
from driftshed.net.http import Answer, HttpClient
from driftshed.net.loop import Loop

TIMEOUT_SHARE_RANGE = (0.6, 1.0)  # a client's own timeout, as a share of the integration timeout


class ClientStandin:
    """The clients of one proxy. `work`: by operation, the range of the work of a request in seconds; `rate`: requests
    per second; `rate_factor`: factor on the rate. A client repeats a failed request once where that is safe; the
    parameter `ask` of the query numbers its own attempts. `running` False ends the load."""

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
        """Starts the load at once. `shares`: relative frequency of each operation; `repeats`: whether requests are
        repeated; `tap`: see `HttpClient`."""
        self.loop, self.operations, self.shares, self.work, self.rate = loop, operations, shares, work, rate
        self.random, self.repeats, self.rate_factor, self.request_count, self.running = (
            Random(seed),
            repeats,
            1.0,
            0,
            True,
        )
        self.name = f"{proxy[0]}"
        self.client = HttpClient(loop, proxy, max_idle=256, tap=tap)
        self._next()

    def _next(self) -> None:
        self.loop.after(self.random.expovariate(self.rate * self.rate_factor), self._arrive)

    def _arrive(self) -> None:
        if not self.running:
            return
        self._next()
        index = self.random.choices(range(len(self.operations)), self.shares)[0]
        self.request_count += 1
        operation = self.operations[index]
        timeout = operation.integration_timeout * self.random.uniform(*TIMEOUT_SHARE_RANGE)
        # Heavy-tailed: a few households send far more requests than the rest.
        household = int(self.random.paretovariate(0.8)) % 5000
        query = (
            f"inv={self.request_count}&work={self.random.uniform(*self.work[index]):.4f}&key=household-{household:04d}"
        )
        self._send(operation, query, 1, self.loop.clock() + timeout)

    def _send(self, operation: face.Operation, query: str, attempt: int, deadline: float) -> None:
        started_at = self.loop.clock()

        def on_answer(answer: Answer) -> None:
            if answer.status == 200 or attempt > 1 or not self.repeats or not self.running:
                return
            never_ran = answer.headers.get(b"x-never-ran") == b"1"
            within_window = operation.repeat_window and self.loop.clock() + 0.05 - started_at < operation.repeat_window
            if deadline - self.loop.clock() > 0.2 and (never_ran or operation.effect == "idempotent" or within_window):
                self.loop.after(0.05, lambda: self._send(operation, query, 2, deadline))

        path = f"/do/{operation.name}?{query}&ask={attempt}"
        self.client.call("POST", path, b"", on_answer, max(0.01, deadline - started_at))
