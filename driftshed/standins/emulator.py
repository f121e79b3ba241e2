"""Servers that work for a stated time on a stated number of cores, warm up from cold, and can be made to fail in many
ways at once. They speak HTTP by whatever loop and transport they are given.

Work is asked for as `work=SECONDS` in the query: seconds of one core of speed 1. Everything is bounded: what waits, the
connections, the keys and marks remembered; an emulator whose queue had no end would hide overload."""

from __future__ import annotations

from collections import OrderedDict, deque
from random import Random
from typing import NamedTuple

from driftshed.net.http import SOCKETS, Bounds, HttpServer, Request, Transport
from driftshed.net.loop import Timer, Timers

MOST_MARKS = 65536  # marks of invocations that have run
HELD_MOST = 4096  # invocations that a hanging server holds


class Machine(NamedTuple):
    """What a kind of server is: its speed is in seconds of work that a core does in a second."""

    cores: int = 2
    speed: float = 1.0
    room: int = 40  # invocations that wait; more are turned away unseen
    cold_share: float = 0.2
    warm_within: float = 8.0
    tip_multiple: float = 3.0
    tip_span: float = 2.0
    connections: int = 4000
    connect_cost: float = 0.0  # seconds of work that each new connection takes
    stops_cancelled: bool = False  # work for a client that has gone is dropped, even when begun
    heeds_timeouts: bool = False  # work that cannot be answered in time is not begun
    key_share: float = 1.0  # of its work, where the key was seen lately
    keys: int = 256  # that are remembered
    marks_for: float = 0.0  # seconds for which a mark of an invocation is remembered, and a repeat not run
    load_lag: float = 0.0  # seconds by which load figures are behind
    load_noise: float = 0.0  # their standard deviation, as a share of them

    def grown(self, age: float) -> float:
        """The part of its capacity that one has, so long after its start."""
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within)


class Ill(NamedTuple):
    """One trouble of one server; any number of them hold at once. `operation`: None for all."""

    slower: float = 1.0  # work takes so many times as long
    stolen: float = 0.0  # share of the cores that others take
    ages: float = 0.0  # work takes longer by this share for each minute since it last started
    errors: float = 0.0  # share answered 500 at once
    lost: float = 0.0  # share worked on and never answered
    hangs: bool = False
    refuses: bool = False  # takes no new connections
    squeezed: float = 1.0  # share of its connections that are left
    operation: str | None = None


class Job:
    """One invocation on a server."""

    __slots__ = ("request", "work", "operation", "due", "timer", "gone")

    def __init__(self, request: Request, work: float, operation: str, due: float) -> None:
        self.request, self.work, self.operation, self.due = request, work, operation, due
        self.timer: Timer | None = None
        self.gone = False


class ServerStandin:
    """One server at one address. `started`: when it last started, on the loop's clock; long ago unless cold."""

    def __init__(
        self,
        loop: Timers,
        address: tuple[str, int],
        machine: Machine,
        seed: int,
        tap=None,
        transport: Transport = SOCKETS,
    ) -> None:
        self.loop, self.address, self.machine, self.transport = loop, address, machine, transport
        self.random = Random(seed)
        self.tap = tap  # called with each accepted stream
        self.http: HttpServer | None = None
        self.started = float("-inf")
        self.ills: dict[object, Ill] = {}
        self.unreachable: set[str] = set()  # source addresses whose bytes do not come through
        self.served = self.turned_away = self.dropped = self.fell = 0
        self.busy_for = 0.0  # core-seconds
        self._weigh()
        self._empty()

    def _empty(self) -> None:
        self.running = 0
        self.queue: deque[Job] = deque()
        self.arrived: deque[tuple[float, float]] = deque()  # when and how much work, while cold
        self.held: list[Request] = []
        self.keys: OrderedDict[str, None] = OrderedDict()
        self.marks: OrderedDict[bytes, float] = OrderedDict()
        self.loads: deque[tuple[float, int]] = deque([(float("-inf"), 0)])

    # ---- its life ---------------------------------------------------------------------------------------------

    @property
    def up(self) -> bool:
        return self.http is not None

    def start(self, cold: bool = True) -> None:
        self.started = self.loop.clock() if cold else float("-inf")
        self.aged_from = self.loop.clock()
        self._empty()
        bounds = Bounds(idle_for=30.0, connections=self.machine.connections)
        self.http = self.transport.server(self.loop, self.address, self._take, bounds)
        self.http.on_connection = self._accepted
        self._weigh()

    def stop(self) -> None:
        """Dies: its connections break, and it takes no more."""
        if self.http is not None:
            http, self.http = self.http, None
            for connection in list(http.connections):
                connection.stream.abort("reset", hard=True)
            http.close()
            self._empty()

    def _accepted(self, stream) -> None:
        if self.tap:
            self.tap(stream)
        if self.refuses:
            stream.abort("refused", hard=True)
        elif self.machine.connect_cost and self.up:
            self._enter(Job(None, self.machine.connect_cost, "", float("inf")))

    # ---- troubles ---------------------------------------------------------------------------------------------

    def fall_ill(self, name: object, ill: Ill) -> None:
        """A trouble begins, besides those that hold already."""
        self.ills[name] = ill
        self._weigh()

    def recover(self, name: object) -> None:
        """A trouble is over; what a hanging server held is lost."""
        self.ills.pop(name, None)
        self._weigh()
        if not self.hangs:
            held, self.held = self.held, []
            for request in held:
                request.connection.stream.abort("reset", hard=True)
            self._work()

    def _weigh(self) -> None:
        """Guards against troubles that undo one another: the sum of those that hold is worked out anew each time."""
        whole = [ill for ill in self.ills.values() if ill.operation is None]
        self.hangs = any(ill.hangs for ill in whole)
        self.refuses = any(ill.refuses for ill in whole)
        self.ages = sum(ill.ages for ill in whole)
        self.slower, self.left, kept, answered, share = 1.0, 1.0, 1.0, 1.0, 1.0
        for ill in whole:
            self.slower *= ill.slower
            self.left *= 1 - ill.stolen
            kept *= 1 - ill.errors
            answered *= 1 - ill.lost
            share *= ill.squeezed
        self.error_share, self.lost_share = 1 - kept, 1 - answered
        self.own = {}  # by operation, where a trouble is of one alone
        for ill in self.ills.values():
            if ill.operation is not None:
                slower, errors, lost, hangs = self.own.get(ill.operation, (1.0, 0.0, 0.0, False))
                self.own[ill.operation] = (
                    slower * ill.slower,
                    1 - (1 - errors) * (1 - ill.errors),
                    1 - (1 - lost) * (1 - ill.lost),
                    hangs or ill.hangs,
                )
        if self.up:
            self.http.bounds = self.http.bounds._replace(connections=max(1, round(self.machine.connections * share)))

    def capacity(self) -> float:
        """Seconds of work that it can do now in a second."""
        machine, now = self.machine, self.loop.clock()
        slow = self.slower * (1 + self.ages * (now - self.aged_from) / 60) if self.ages else self.slower
        return machine.cores * machine.speed * machine.grown(now - self.started) * self.left / slow

    # ---- invocations ------------------------------------------------------------------------------------------

    def _take(self, request: Request) -> None:
        if self.unreachable and request.connection.peer[0] in self.unreachable:
            return  # it never came; nobody answers
        asked = dict(part.partition("=")[::2] for part in request.query.split("&"))
        operation = request.path.rpartition("/")[2]
        slower, errors, lost, hangs = self.own.get(operation, (1.0, 0.0, 0.0, False)) if self.own else OWN
        try:
            work = max(0.0, float(asked.get("work", "0.05")))
        except ValueError:
            self._answer(request, 400)
            return
        if self._pushed_over(work):
            self.fell += 1
            self.stop()
            return
        if self.hangs or hangs:
            if len(self.held) < HELD_MOST:
                self.held.append(request)
            return
        if (self.error_share or errors) and self.random.random() >= (1 - self.error_share) * (1 - errors):
            self._answer(request, 500)
        elif self._ran(request):
            self._answer(request, 200)
        elif len(self.queue) >= self.machine.room:
            self.turned_away += 1
            self._answer(request, 503, "x-never-ran: 1\r\n")
        else:
            key = asked.get("key", "")
            if self.machine.key_share < 1 and key:
                slower *= self.machine.key_share if key in self.keys else 1.0
                self.keys[key] = None
                self.keys.move_to_end(key)
                if len(self.keys) > self.machine.keys:
                    self.keys.popitem(last=False)
            job = Job(request, work * slower, operation, self._due(request))
            request.on_gone = lambda: self._gone(job)
            if lost and self.random.random() < lost:
                job.request, request.on_gone = None, None
            self._enter(job)

    def _due(self, request: Request) -> float:
        if not self.machine.heeds_timeouts:
            return float("inf")
        try:
            return self.loop.clock() + float(request.headers.get(b"x-timeout", b"inf"))
        except ValueError:
            return float("inf")

    def _ran(self, request: Request) -> bool:
        """Whether an invocation of this mark has been begun here lately."""
        if not self.machine.marks_for or b"idempotency-key" not in request.headers:
            return False
        now, mark = self.loop.clock(), request.headers[b"idempotency-key"]
        while self.marks and (
            next(iter(self.marks.values())) < now - self.machine.marks_for or len(self.marks) > MOST_MARKS
        ):
            self.marks.popitem(last=False)
        known = mark in self.marks
        if not known and len(self.queue) < self.machine.room:
            self.marks[mark] = now
        return known

    def _pushed_over(self, work: float) -> bool:
        now, span = self.loop.clock(), self.machine.tip_span
        if now - self.started >= self.machine.warm_within:
            return False
        self.arrived.append((now, work))
        while self.arrived[0][0] < now - span:
            self.arrived.popleft()
        return sum(each for _, each in self.arrived) > self.machine.tip_multiple * self.capacity() * span

    def _enter(self, job: Job) -> None:
        self.queue.append(job)
        self._work()

    def _gone(self, job: Job) -> None:
        """The one who asked has gone."""
        job.gone = True
        if self.machine.stops_cancelled and job.timer is not None and job.timer.call is not None:
            job.timer.cancel()
            self.dropped += 1
            self.running -= 1
            self._work()

    def _work(self) -> None:
        machine, loop = self.machine, self.loop
        while self.queue and self.running < machine.cores and not self.hangs and self.up:
            job = self.queue.popleft()
            if job.gone and machine.stops_cancelled:
                self.dropped += 1
                continue
            took = job.work * machine.cores / max(1e-3, self.capacity())
            if job.due < float("inf") and loop.clock() + took > job.due:
                self.dropped += 1
                if not job.gone:
                    self._answer(job.request, 503, "x-never-ran: 1\r\n")
                continue
            self.running += 1
            self.busy_for += took
            job.timer = loop.after(took, lambda job=job, http=self.http: self._done(job, http))

    def _done(self, job: Job, http: HttpServer) -> None:
        if self.http is not http:
            return  # it died meanwhile
        self.running -= 1
        if job.request is not None:
            self.served += 1
            lost = self.lost_share and self.random.random() < self.lost_share
            if not self.hangs and not lost:
                self._answer(job.request, 200)
        self._work()

    def _answer(self, request: Request, status: int, extra: str = "") -> None:
        busy = self._load()
        load = f"x-load: {busy},{min(1.0, busy / self.machine.cores):.2f}\r\n"
        request.answer(status, b"ok" if status == 200 else b"", "text/plain", load + extra)

    def _load(self) -> int:
        """What it says of what is on it: late and noisy where its kind is so."""
        machine, busy = self.machine, self.running + len(self.queue)
        if machine.load_lag:
            now = self.loop.clock()
            self.loads.append((now, busy))
            while len(self.loads) > 1 and self.loads[1][0] <= now - machine.load_lag:
                self.loads.popleft()
            busy = self.loads[0][1]
        if machine.load_noise:
            busy = max(0, round(busy * self.random.gauss(1.0, machine.load_noise)))
        return busy


OWN = (1.0, 0.0, 0.0, False)
