"""Emulated proxies, which send what clients ask of them to servers as the tables that they hold say."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.loop import Timers
from driftshed.standins.platform.servers import FleetServer, Outcome

UNLIMITED = (1.0, face.ONE_AFTER_PROOF)  # level and tries of an operation before any was set
DEADLINE_MARGIN_S = 0.05  # no further try is made with less time left


class Request(NamedTuple):
    """One request of a client. `work`: seconds of one core of speed 1; `deadline`: a time."""

    operation: int
    work: float
    deadline: float
    repeats: int  # of the client that are left


class FleetProxy:
    """A proxy and the lines, withdrawals and levels that it has applied."""

    def __init__(self, timers: Timers, facts: face.StartFacts, number: int, rate: float, random: Random) -> None:
        """`rate`: requests per second that usually come to it."""
        self.timers, self.facts, self.number, self.rate, self.random = timers, facts, number, rate, random
        self.zone = number % len(facts.zones)
        self.lines: dict[str, float] = {}
        self.withdrawn: set[str] = set()
        self.levels: dict[str, tuple[float, int]] = {}
        self.had_table = False
        self.supervisor = 0  # that it is joined to, or was last
        self.joined, self.joined_at = False, 0.0
        self.stream = 0  # number of its stream
        self.last_arrival = 0.0
        # When the relay took the last message that it has applied, and of which supervisor.
        self.message_sent_at, self.message_supervisor = float("-inf"), 0
        self.open: Counter[str] = Counter()  # its tries that have not ended, by server
        self.empty_since: float | None = None
        self.servers: dict[str, FleetServer] = {}
        # Called before each try with the proxy and the server; returns whether a supervisor answers for the try.
        self.on_try: Callable[[FleetProxy, FleetServer], bool] = lambda proxy, server: False
        self.is_reachable: Callable[[FleetProxy, FleetServer], bool] = lambda proxy, server: True
        # Called with the proxy, server, outcome of each try; and with the proxy, operation, success of each request.
        self.on_outcome: Callable[[FleetProxy, FleetServer, Outcome], object] = lambda *_: None
        self.on_request: Callable[[FleetProxy, int, bool], object] = lambda *_: None

    def restart(self, lines: dict[str, float]) -> None:
        """Forgets all that it holds but a standing table."""
        self.lines, self.levels, self.withdrawn, self.had_table = lines, {}, set(), False
        self.message_sent_at = float("-inf")

    def apply(self, changes: list[tuple], sent_at: float) -> None:
        """Applies one message of the supervisor that it is joined to."""
        self.message_sent_at, self.message_supervisor = sent_at, self.supervisor
        for what, *fields in changes:
            getattr(self, f"_apply_{what}")(*fields)

    def _apply_table(self, lines: dict, levels: dict, withdrawn: set) -> None:
        self.lines, self.levels, self.withdrawn, self.had_table = dict(lines), dict(levels), set(withdrawn), True

    def _apply_line(self, target: str, weight: float) -> None:
        self.lines[target] = weight
        if not weight:
            del self.lines[target]

    def _apply_withdraw(self, target: str, on: bool) -> None:
        (self.withdrawn.add if on else self.withdrawn.discard)(target)

    def _apply_levels(self, names: list[str], level: float, tries: int) -> None:
        self.levels |= dict.fromkeys(names, (level, tries))

    def usable(self) -> dict[str, float]:
        """The lines that it may pick."""
        return {server: weight for server, weight in self.lines.items() if server not in self.withdrawn}

    # ---- requests ---------------------------------------------------------------------------------------------

    def handle(self, request: Request) -> None:
        """Handles a request of a client."""
        level, tries = self.levels.get(self.facts.operations[request.operation].name, UNLIMITED)
        if self.random.random() >= level:
            self._end(request, False)
            return
        self._try(request, tries, None)

    def _try(self, request: Request, tries: int, failed_at: str | None) -> None:
        lines = self.usable()
        lines.pop(failed_at, None)
        if not lines:
            self._end(request, False)
            return
        server = self.servers[self._pick(lines)]
        informed = self.on_try(self, server)
        self.open[server.name] += 1
        fails = self.random.random() < server.error_share
        time_left = request.deadline - self.timers.clock()

        def ended(outcome: Outcome) -> None:
            self._tried(request, tries, server, outcome)

        if self.is_reachable(self, server):
            server.take(request.work, informed, time_left, fails, ended)
        else:
            self.timers.after(time_left, lambda: ended(Outcome(False, False, time_left)))

    def _pick(self, lines: dict[str, float]) -> str:
        """Of two drawn by weight, the one with fewer open tries."""
        first, second = self.random.choices(list(lines), list(lines.values()), k=2)
        return second if self.open[second] < self.open[first] else first

    def _tried(self, request: Request, tries: int, server: FleetServer, outcome: Outcome) -> None:
        self.open[server.name] -= 1
        self.on_outcome(self, server, outcome)
        may_repeat = tries in (face.ONE_AFTER_ANY, face.TWO_AFTER_ANY)
        may_repeat |= tries == face.ONE_AFTER_PROOF and outcome.proven_unrun
        if outcome.answered or not may_repeat or request.deadline - self.timers.clock() < DEADLINE_MARGIN_S:
            self._end(request, outcome.answered)
            return
        self._try(request, tries - 1 if tries == face.TWO_AFTER_ANY else face.NO_TRY, server.name)

    def _end(self, request: Request, answered: bool) -> None:
        self.on_request(self, request, answered)
