"""A server that works for a stated time on a stated number of cores, warms up from cold, and can be made to fail."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple
from urllib.parse import parse_qsl

from driftshed.net.http import Bounds, HttpServer, Request
from driftshed.net.loop import Loop


class Machine(NamedTuple):
    """What a kind of server is: its speed is in seconds of work that a core does in a second."""

    cores: int = 2
    speed: float = 1.0
    room: int = 40  # invocations that wait; more are turned away unseen
    cold_share: float = 0.2
    warm_within: float = 8.0
    tip_multiple: float = 3.0
    tip_span: float = 2.0

    def grown(self, age: float) -> float:
        """The part of its capacity that one has, so long after its start."""
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within)


class ServerStandin:
    """One server at one address. `started`: when it last started, on the loop's clock; long ago unless given."""

    def __init__(self, loop: Loop, address: tuple[str, int], machine: Machine, seed: int, tap=None) -> None:
        self.loop, self.address, self.machine = loop, address, machine
        self.random = Random(seed)
        self.tap = tap  # called with each accepted stream
        self.http: HttpServer | None = None
        self.started = float("-inf")
        self.slower, self.error_share, self.hangs, self.fell = 1.0, 0.0, False, False
        self.unreachable: set[str] = set()  # source addresses whose bytes do not come through
        self.served = self.turned_away = 0
        self.running = 0
        self.queue: deque[tuple[Request, float]] = deque()
        self.arrived: deque[tuple[float, float]] = deque()  # when and how much work, while cold
        self.hung: list[Request] = []

    def start(self, cold: bool = True) -> None:
        self.started = self.loop.clock() if cold else float("-inf")
        self.running, self.fell = 0, False
        self.queue.clear()
        self.arrived.clear()
        self.http = HttpServer(self.loop, self.address, self._take, Bounds(idle_for=30.0, connections=4000))
        self.http.on_connection = self.tap

    def stop(self) -> None:
        """Dies: its connections break, and it takes no more."""
        if self.http is not None:
            http, self.http = self.http, None
            for connection in list(http.connections):
                connection.stream.abort("reset", hard=True)
            http.close()
            self.hung.clear()

    def capacity(self) -> float:
        """Seconds of work that it can do now in a second."""
        return self.machine.cores * self.machine.speed * self.machine.grown(self.loop.clock() - self.started)

    def _take(self, request: Request) -> None:
        if request.connection.peer[0] in self.unreachable:
            return  # it never came; nobody answers
        work = float(dict(parse_qsl(request.query)).get("work", "0.05"))
        if self._pushed_over(work):
            self.fell = True
            self.stop()
            return
        if self.hangs:
            self.hung.append(request)
        elif self.error_share and self.random.random() < self.error_share:
            self._answer(request, 500)
        elif len(self.queue) >= self.machine.room:
            self.turned_away += 1
            self._answer(request, 503, "x-never-ran: 1\r\n")
        else:
            self.queue.append((request, work))
            self._work()

    def _pushed_over(self, work: float) -> bool:
        now, span = self.loop.clock(), self.machine.tip_span
        if now - self.started >= self.machine.warm_within:
            return False
        self.arrived.append((now, work))
        while self.arrived[0][0] < now - span:
            self.arrived.popleft()
        return sum(each for _, each in self.arrived) > self.machine.tip_multiple * self.capacity() * span

    def _work(self) -> None:
        while self.queue and self.running < self.machine.cores and not self.hangs:
            request, work = self.queue.popleft()
            self.running += 1
            took = work * self.slower * self.machine.cores / max(1e-3, self.capacity())
            self.loop.after(took, lambda request=request, http=self.http: self._done(request, http))

    def _done(self, request: Request, http: HttpServer) -> None:
        if self.http is not http:
            return  # it died meanwhile
        self.running -= 1
        self.served += 1
        if not self.hangs:
            self._answer(request, 200)
        self._work()

    def _answer(self, request: Request, status: int, extra: str = "") -> None:
        busy = self.running + len(self.queue)
        load = f"x-load: {busy},{min(1.0, busy / self.machine.cores):.2f}\r\n"
        request.answer(status, b"ok" if status == 200 else b"", "text/plain", load + extra)

    def resume(self) -> None:
        """Hangs no more; what it held is lost."""
        self.hangs = False
        for request in self.hung:
            request.connection.stream.abort("reset", hard=True)
        self.hung.clear()
        self._work()
