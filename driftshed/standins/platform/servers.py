"""Emulated servers that crash, restart cold and fall over, and the judge of the work that cold ones are sent."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapreplace
from math import prod
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.loop import Timers

CORES = 2
SLACK_DEVIATIONS = 2.0  # of the work of a window about its mean: the rule leaves some slack for chance
REFUSAL_S = 0.002  # until a refused connection or a refusal is known


class Outcome(NamedTuple):
    """The end of one try. `proven_unrun`: the refusal proves that the server never began it."""

    answered: bool
    proven_unrun: bool
    seconds: float


class ColdLoad(NamedTuple):
    """The work that a cold server was sent within the tip span, as a multiple of what it can do at the end, and the
    part of that work that supervisors answer for."""

    multiple: float
    server: str
    at: float  # seconds since the start of the play
    informed_share: float


class ColdLoadJudge:
    """Counts the work that one server was sent since its last start."""

    def __init__(self, facts: face.StartFacts, mean_work: float) -> None:
        """`mean_work`: seconds of one core of speed 1 that a request takes on average."""
        self.facts, self.mean_work = facts, mean_work
        self.rows: deque[tuple[float, float, bool]] = deque()  # time, work, whether a supervisor answers for it
        self.total = self.informed = 0.0

    def clear(self) -> None:
        """Forgets the work before a start."""
        self.rows.clear()
        self.total = self.informed = 0.0

    def add(self, now: float, work: float, informed: bool) -> None:
        """Counts one try."""
        self.rows.append((now, work, informed))
        self.total += work
        self.informed += work * informed
        while self.rows[0][0] <= now - self.facts.tip_span:
            _, old_work, was_informed = self.rows.popleft()
            self.total -= old_work
            self.informed -= old_work * was_informed

    def load(self, server: str, now: float, capacity: float) -> ColdLoad:
        """The load now; `capacity`: seconds of work per second."""
        multiple = self.total / (self.facts.tip_span * capacity)
        return ColdLoad(multiple, server, now, self.informed / self.total if self.total else 0.0)

    def is_over(self, capacity: float) -> bool:
        """Whether the work exceeds the budget by more than chance explains."""
        budget = self.facts.tip_multiple * self.facts.tip_span * capacity
        return self.total > budget + SLACK_DEVIATIONS * (budget * self.mean_work) ** 0.5


class FleetServer:
    """A server with CORES cores and a bounded queue. It starts with `cold_share` of its capacity, is warm after
    `warm_within` seconds, and falls over when it is sent too much before."""

    def __init__(self, timers: Timers, facts: face.StartFacts, name: str, zone: int, kind: int, speed: float) -> None:
        """`speed`: seconds of work that a core does per second."""
        self.timers, self.facts, self.name, self.zone, self.kind, self.speed = timers, facts, name, zone, kind, speed
        self.cold_share, self.warm_within = facts.cold_share, facts.warm_within
        self.queue_length = 24
        self.running = True
        self.started_at: float | None = None  # None: long ago
        self.error_share = 0.0  # of the tries that fail at once
        self.paces: dict[str, float] = {}  # of its usual speed that the machine has at present, by cause
        self.pace_changes: deque[tuple[float, float]] = deque([(0.0, 1.0)])  # time, pace by all causes together
        self.hangs = False  # takes work and answers nothing
        self.is_reachable = True
        self.runs = 0  # starts and ends so far: a try of an earlier run is never answered
        self.core_free_at = [0.0] * CORES
        self.in_flight = 0
        self.judge: ColdLoadJudge | None = None
        self.on_overload: Callable[[ColdLoad], object] = lambda load: None

    def start(self) -> None:
        """The process starts, cold."""
        self.running, self.started_at = True, self.timers.clock()
        self.runs += 1
        self.core_free_at = [0.0] * CORES
        self.in_flight = 0
        self.judge.clear()

    def end(self) -> None:
        """The process ends: its tries fail."""
        self.running = False
        self.runs += 1

    def warmth(self, now: float) -> float:
        """The share of its capacity that the server has."""
        if self.started_at is None:
            return 1.0
        return min(1.0, self.cold_share + (1 - self.cold_share) * (now - self.started_at) / self.warm_within)

    @property
    def pace(self) -> float:
        """The share of its usual speed that the machine has, also after a restart."""
        return self.pace_changes[-1][1]

    def slow_down(self, cause: str, pace: float) -> None:
        """The machine has this share of its usual speed for one cause; 1 where the cause is over."""
        self.paces[cause] = pace
        self.pace_changes.append((self.timers.clock(), prod(self.paces.values())))

    def capacity(self, now: float) -> float:
        """Seconds of work per second that the server counts as doing: a machine that goes slow counts as slow once it
        has been so for the span over which work is judged."""
        while len(self.pace_changes) > 1 and self.pace_changes[1][0] <= now - self.facts.tip_span:
            self.pace_changes.popleft()
        pace = max(pace for _, pace in self.pace_changes)
        return CORES * self.speed * pace * self.warmth(now)

    def hang(self) -> None:
        """From now on it takes work and answers nothing."""
        self.hangs = True

    def resume(self) -> None:
        """It answers again what it takes from now on."""
        self.hangs = False

    def cut_off(self) -> None:
        """Nothing reaches it any more."""
        self.is_reachable = False

    def reconnect(self) -> None:
        """It can be reached again."""
        self.is_reachable = True

    def take(self, work: float, informed: bool, deadline: float, fails: bool, on_end: Callable) -> None:
        """Takes one try and calls `on_end(outcome)` when it ends, within `deadline` seconds. `fails`: the
        server errs at once."""
        now = self.timers.clock()
        if self.running and self.started_at is not None and now < self.started_at + self.facts.warm_within:
            self._judge(now, work, informed)
        if not self.running:
            self._refuse(on_end, proven_unrun=True)
        elif fails or self.in_flight >= self.queue_length + CORES:
            self._refuse(on_end, proven_unrun=False)
        elif self.hangs:
            self._hold(deadline, on_end)
        else:
            self._run(now, work, deadline, on_end)

    def _judge(self, now: float, work: float, informed: bool) -> None:
        self.judge.add(now, work, informed)
        load = self.judge.load(self.name, now, self.capacity(now))
        self.on_overload(load)
        if self.judge.is_over(self.capacity(now)):
            self.end()

    def _refuse(self, on_end: Callable, proven_unrun: bool) -> None:
        self.timers.after(REFUSAL_S, lambda: on_end(Outcome(False, proven_unrun, REFUSAL_S)))

    def _hold(self, deadline: float, on_end: Callable) -> None:
        run = self.runs
        self.in_flight += 1

        def given_up() -> None:
            self.in_flight -= self.runs == run
            on_end(Outcome(False, False, deadline))

        self.timers.after(deadline, given_up)

    def _run(self, now: float, work: float, deadline: float, on_end: Callable) -> None:
        run, begins = self.runs, max(now, self.core_free_at[0])
        ends = begins + work / (self.speed * self.pace * self.warmth(now))
        heapreplace(self.core_free_at, ends)
        self.in_flight += 1

        def finished() -> None:
            self.in_flight -= self.runs == run

        def ended() -> None:
            answered = self.runs == run and ends <= now + deadline
            on_end(Outcome(answered, False, min(ends - now, deadline)))

        self.timers.at(ends, finished)
        self.timers.at(min(ends, now + deadline), ended)
