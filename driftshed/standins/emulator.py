"""Emulated servers: they work for a requested time on a given number of cores, warm up from cold, and can have several
faults at once. They serve HTTP on the loop and transport that they are given.

A request states its work as `work=SECONDS` in the query: seconds of one core of speed 1. The queue, the connections and
the remembered keys and marks are bounded; an emulator with an unbounded queue would hide overload."""

from __future__ import annotations

from collections import OrderedDict, deque
from random import Random
from typing import NamedTuple

from driftshed.net.http import SOCKETS, Transport
from driftshed.net.http_server import Bounds, HttpServer, Request
from driftshed.net.loop import Timer, Timers

MAX_MARKS = 65536  # remembered marks (idempotency keys) of invocations that were started
MAX_HELD_REQUESTS = 4096  # unanswered invocations on a hanging server


class ServerProperties(NamedTuple):
    """The properties of a kind of server. `speed`: seconds of work that a core does per second. A cold server starts
    with `cold_share` of its capacity and reaches all of it `warm_within` seconds later; until then it fails when more
    than `tip_multiple` times its capacity arrives within `tip_span` seconds."""

    cores: int = 2
    speed: float = 1.0
    room: int = 40  # length of the queue; further invocations are rejected without being run
    cold_share: float = 0.2
    warm_within: float = 8.0
    tip_multiple: float = 3.0
    tip_span: float = 2.0
    connections: int = 4000
    connect_cost: float = 0.0  # seconds of work for each new connection
    stops_cancelled: bool = False  # work is dropped when its client disconnects, even if it has started
    heeds_timeouts: bool = False  # work that cannot finish before its timeout is not started
    key_share: float = 1.0  # share of the work that remains if the key was used recently
    keys: int = 256  # remembered recent keys
    marks_for: float = 0.0  # seconds for which the mark of an invocation is remembered and a repeat is not run again
    load_lag: float = 0.0  # delay in seconds of reported load
    load_noise: float = 0.0  # relative standard deviation of reported load

    def warm_share(self, age: float) -> float:
        """The available share of the capacity, `age` seconds after a cold start."""
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within)


class ServerFault(NamedTuple):
    """One fault of one server; any number can be active at once. `operation`: the operation affected, or None for all;
    for a single one only `slower`, `errors`, `lost` and `hangs` have an effect."""

    slower: float = 1.0  # factor on the duration of work
    stolen: float = 0.0  # share of the cores used by other tenants
    slowdown_per_minute: float = 0.0  # relative increase of the duration of work per minute since the last start
    errors: float = 0.0  # share answered with status 500 immediately
    lost: float = 0.0  # share run but never answered
    hangs: bool = False
    refuses: bool = False  # resets new connections
    connection_share: float = 1.0  # share of its connection limit that remains
    operation: str | None = None


class Job:
    """One invocation on a server, or the work of accepting a connection. `request` is None for the latter, and for an
    invocation whose answer will be lost."""

    __slots__ = ("request", "work", "operation", "deadline", "timer", "client_gone")

    def __init__(self, request: Request, work: float, operation: str, deadline: float) -> None:
        """`work`: seconds of one core of speed 1; `deadline`: on the loop's clock, infinite for none."""
        self.request, self.work, self.operation, self.deadline = request, work, operation, deadline
        self.timer: Timer | None = None
        self.client_gone = False


class ServerStandin:
    """One emulated server at one address. `started`: time of the last cold start on the loop's clock, or minus infinity
    for a warm server. The counters `served`, `rejected`, `dropped` and `fell` cover all its runs."""

    def __init__(
        self,
        loop: Timers,
        address: tuple[str, int],
        machine: ServerProperties,
        seed: int,
        tap=None,
        transport: Transport = SOCKETS,
    ) -> None:
        """Does not listen yet; see `start`. `tap` is called with each accepted stream."""
        self.loop, self.address, self.machine, self.transport = loop, address, machine, transport
        self.random = Random(seed)
        self.tap = tap
        self.http: HttpServer | None = None
        self.started = float("-inf")
        self.faults: dict[object, ServerFault] = {}
        self.unreachable: set[str] = set()  # source addresses whose requests are ignored
        self.served = self.rejected = self.dropped = self.overload_failures = 0
        self.busy_core_seconds = 0.0
        self._combine_faults()
        self._reset_state()

    def _reset_state(self) -> None:
        self.running_jobs = 0
        self.queue: deque[Job] = deque()
        self.cold_arrivals: deque[tuple[float, float]] = deque()  # (time, work) of requests while cold
        self.held_requests: list[Request] = []
        self.recent_keys: OrderedDict[str, None] = OrderedDict()
        self.recent_marks: OrderedDict[bytes, float] = OrderedDict()
        self.load_history: deque[tuple[float, int]] = deque([(float("-inf"), 0)])

    # ---- start and stop ---------------------------------------------------------------------------------------

    @property
    def up(self) -> bool:
        """Whether the server is running."""
        return self.http is not None

    def start(self, cold: bool = True) -> None:
        """Starts listening, with empty queue and memory; active faults remain."""
        self.started = self.loop.clock() if cold else float("-inf")
        self.ageing_since = self.loop.clock()
        self._reset_state()
        bounds = Bounds(idle_for=30.0, connections=self.machine.connections)
        self.http = self.transport.server(self.loop, self.address, self._handle_request, bounds)
        self.http.on_connection = self._on_connection
        self._combine_faults()

    def stop(self) -> None:
        """Stops at once: resets all connections and closes the listener."""
        if self.http is not None:
            http, self.http = self.http, None
            for connection in list(http.connections):
                connection.stream.abort("reset", hard=True)
            http.close()
            self._reset_state()

    def _on_connection(self, stream) -> None:
        if self.tap:
            self.tap(stream)
        if self.refusing:
            stream.abort("refused", hard=True)
        elif self.machine.connect_cost and self.up:
            self._enqueue(Job(None, self.machine.connect_cost, "", float("inf")))

    # ---- faults -----------------------------------------------------------------------------------------------

    def add_fault(self, name: object, fault: ServerFault) -> None:
        """Activates a fault in addition to the active ones; `name` identifies it for `remove_fault`."""
        self.faults[name] = fault
        self._combine_faults()

    def remove_fault(self, name: object) -> None:
        """Ends a fault. Requests held while the server was hanging are reset."""
        self.faults.pop(name, None)
        self._combine_faults()
        if not self.hanging:
            held_requests, self.held_requests = self.held_requests, []
            for request in held_requests:
                request.connection.stream.abort("reset", hard=True)
            self._start_jobs()

    def _combine_faults(self) -> None:
        """Computes the combined effect of all active faults from scratch, so that ending one fault cannot undo the
        effect of another."""
        server_faults = [fault for fault in self.faults.values() if fault.operation is None]
        self.hanging = any(fault.hangs for fault in server_faults)
        self.refusing = any(fault.refuses for fault in server_faults)
        self.ageing_rate = sum(fault.slowdown_per_minute for fault in server_faults)
        self.slowdown, self.available_share, success_share, answered_share, connection_share = 1.0, 1.0, 1.0, 1.0, 1.0
        for fault in server_faults:
            self.slowdown *= fault.slower
            self.available_share *= 1 - fault.stolen
            success_share *= 1 - fault.errors
            answered_share *= 1 - fault.lost
            connection_share *= fault.connection_share
        self.error_share, self.lost_share = 1 - success_share, 1 - answered_share
        self.operation_faults = {}  # by operation, for faults that affect only one
        for fault in self.faults.values():
            if fault.operation is not None:
                slower, errors, lost, hangs = self.operation_faults.get(fault.operation, (1.0, 0.0, 0.0, False))
                self.operation_faults[fault.operation] = (
                    slower * fault.slower,
                    1 - (1 - errors) * (1 - fault.errors),
                    1 - (1 - lost) * (1 - fault.lost),
                    hangs or fault.hangs,
                )
        if self.up:
            self.http.bounds = self.http.bounds._replace(
                connections=max(1, round(self.machine.connections * connection_share))
            )

    def capacity(self) -> float:
        """Seconds of work that the server can do per second at present."""
        machine, now = self.machine, self.loop.clock()
        slowdown = (
            self.slowdown * (1 + self.ageing_rate * (now - self.ageing_since) / 60)
            if self.ageing_rate
            else self.slowdown
        )
        return machine.cores * machine.speed * machine.warm_share(now - self.started) * self.available_share / slowdown

    # ---- invocations ------------------------------------------------------------------------------------------

    def _handle_request(self, request: Request) -> None:
        if self.unreachable and request.connection.peer[0] in self.unreachable:
            return  # the network between them is cut: no answer
        parameters = dict(part.partition("=")[::2] for part in request.query.split("&"))
        operation = request.path.rpartition("/")[2]
        slower, errors, lost, hangs = (
            self.operation_faults.get(operation, (1.0, 0.0, 0.0, False))
            if self.operation_faults
            else NO_OPERATION_FAULT
        )
        try:
            work = max(0.0, float(parameters.get("work", "0.05")))
        except ValueError:
            self._answer(request, 400)
            return
        if self._overloaded_while_cold(work):
            self.overload_failures += 1
            self.stop()
            return
        if self.hanging or hangs:
            if len(self.held_requests) < MAX_HELD_REQUESTS:
                self.held_requests.append(request)
            return
        if (self.error_share or errors) and self.random.random() >= (1 - self.error_share) * (1 - errors):
            self._answer(request, 500)
        elif self._already_run(request):
            self._answer(request, 200)
        elif len(self.queue) >= self.machine.room:
            self.rejected += 1
            self._answer(request, 503, "x-never-ran: 1\r\n")
        else:
            key = parameters.get("key", "")
            if self.machine.key_share < 1 and key:
                slower *= self.machine.key_share if key in self.recent_keys else 1.0
                self.recent_keys[key] = None
                self.recent_keys.move_to_end(key)
                if len(self.recent_keys) > self.machine.keys:
                    self.recent_keys.popitem(last=False)
            job = Job(request, work * slower, operation, self._deadline_of(request))
            request.on_gone = lambda: self._on_client_gone(job)
            request.on_client_closed = lambda: request.connection.stream.abort("ended")  # a proxy that cancels a try
            if lost and self.random.random() < lost:
                job.request, request.on_gone = None, None
            self._enqueue(job)

    def _deadline_of(self, request: Request) -> float:
        """The time on the loop's clock by which the client wants an answer; infinite if it is unknown or ignored."""
        if not self.machine.heeds_timeouts:
            return float("inf")
        try:
            return self.loop.clock() + float(request.headers.get(b"x-timeout", b"inf"))
        except ValueError:
            return float("inf")

    def _already_run(self, request: Request) -> bool:
        """Whether an invocation with the same mark was started here within `marks_for`. If not, and
        if the queue has room for it, its mark is remembered."""
        if not self.machine.marks_for or b"idempotency-key" not in request.headers:
            return False
        now, mark = self.loop.clock(), request.headers[b"idempotency-key"]
        while self.recent_marks and (
            next(iter(self.recent_marks.values())) < now - self.machine.marks_for or len(self.recent_marks) > MAX_MARKS
        ):
            self.recent_marks.popitem(last=False)
        known = mark in self.recent_marks
        if not known and len(self.queue) < self.machine.room:
            self.recent_marks[mark] = now
        return known

    def _overloaded_while_cold(self, work: float) -> bool:
        """Whether the server, still cold, fails under the work that arrived within `tip_span`, this request
        included."""
        now, span = self.loop.clock(), self.machine.tip_span
        if now - self.started >= self.machine.warm_within:
            return False
        self.cold_arrivals.append((now, work))
        while self.cold_arrivals[0][0] < now - span:
            self.cold_arrivals.popleft()
        return sum(each for _, each in self.cold_arrivals) > self.machine.tip_multiple * self.capacity() * span

    def _enqueue(self, job: Job) -> None:
        self.queue.append(job)
        self._start_jobs()

    def _on_client_gone(self, job: Job) -> None:
        """Handles the disconnection of the client of a job."""
        job.client_gone = True
        if self.machine.stops_cancelled and job.timer is not None and job.timer.call is not None:
            job.timer.cancel()
            self.dropped += 1
            self.running_jobs -= 1
            self._start_jobs()

    def _start_jobs(self) -> None:
        machine, loop = self.machine, self.loop
        while self.queue and self.running_jobs < machine.cores and not self.hanging and self.up:
            job = self.queue.popleft()
            if job.client_gone and machine.stops_cancelled:
                self.dropped += 1
                continue
            duration = job.work * machine.cores / max(1e-3, self.capacity())
            if job.deadline < float("inf") and loop.clock() + duration > job.deadline:
                self.dropped += 1
                if not job.client_gone:
                    self._answer(job.request, 503, "x-never-ran: 1\r\n")
                continue
            self.running_jobs += 1
            self.busy_core_seconds += duration
            job.timer = loop.after(duration, lambda job=job, http=self.http: self._finish(job, http))

    def _finish(self, job: Job, http: HttpServer) -> None:
        if self.http is not http:
            return  # the server has stopped since
        self.running_jobs -= 1
        if job.request is not None:
            self.served += 1
            lost = self.lost_share and self.random.random() < self.lost_share
            if not self.hanging and not lost:
                self._answer(job.request, 200)
        self._start_jobs()

    def _answer(self, request: Request, status: int, extra: str = "") -> None:
        busy = self._reported_load()
        load = f"x-load: {busy},{min(1.0, busy / self.machine.cores):.2f}\r\n"
        request.answer(status, b"ok" if status == 200 else b"", "text/plain", load + extra)

    def _reported_load(self) -> int:
        """The reported load, running and queued jobs: delayed and noisy if its kind is."""
        machine, busy = self.machine, self.running_jobs + len(self.queue)
        if machine.load_lag:
            now = self.loop.clock()
            self.load_history.append((now, busy))
            while len(self.load_history) > 1 and self.load_history[1][0] <= now - machine.load_lag:
                self.load_history.popleft()
            busy = self.load_history[0][1]
        if machine.load_noise:
            busy = max(0, round(busy * self.random.gauss(1.0, machine.load_noise)))
        return busy


NO_OPERATION_FAULT = (1.0, 0.0, 0.0, False)  # slower, errors, lost, hangs
