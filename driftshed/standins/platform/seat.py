"""What belongs to one supervisor of a play: its relay, its list, its reports, the port to it, and the rules' clock."""

from __future__ import annotations

from random import Random
from typing import Protocol

from driftshed import interface as face
from driftshed.core.sums import Sums
from driftshed.net.loop import Timers
from driftshed.standins.platform.call_faults import PAUSES_S, CallFault, CallFaults
from driftshed.standins.platform.discovery import Agent
from driftshed.standins.platform.relay import RelayState
from driftshed.standins.platform.troubles import Trouble


class SupervisorPort(Protocol):
    """A supervisor as the fleet reaches it."""

    def notify(self, method: str, params: dict) -> None:
        """Passes on a notification of its relay."""

    def list_changed(self, document: dict) -> None:
        """Passes on a change of the list."""

    def report(self, events: list) -> None:
        """Passes on reports: Heard and Demand events."""

    def reload(self) -> None:
        """Gives it a configuration with other addresses."""

    def kill(self) -> None:
        """Ends it at once."""

    def terminate(self) -> None:
        """Ends it as a planned restart does."""

    def stall(self, seconds: float) -> None:
        """It stands still for so long."""

    def play(self, trouble: Trouble, random: Random) -> None:
        """Plays a trouble of its connections."""

    def revive(self) -> None:
        """Starts it from nothing, with the list that it had."""


class LimitClock:
    """Spans for which the rules' time limits wait at one supervisor."""

    def __init__(self) -> None:
        self.pauses: list[tuple[float, float]] = []  # from, to; in order, none overlaps the next

    def pause(self, now: float, seconds: float) -> None:
        """The limits wait from now on for so many seconds."""
        begins_at = max(now, self.pauses[-1][1] if self.pauses else now)
        if now + seconds > begins_at:
            self.pauses.append((begins_at, now + seconds))

    def elapsed(self, since: float, now: float) -> float:
        """Seconds since a moment, without those for which the limits waited."""
        waited = (min(to, now) - max(begin, since) for begin, to in self.pauses if to > since and begin < now)
        return now - since - sum(waited)


class Seat:
    """What belongs to one supervisor: its relay, its agent, its reports, and the port to it."""

    def __init__(self, number: int, timers: Timers, facts: face.StartFacts, entries: list[dict], seed: int) -> None:
        self.number, self.timers = number, timers
        self.relay, self.agent = RelayState(timers, facts, Random(f"relay {seed} {number}")), Agent(entries)
        self.call_faults = CallFaults(Random(f"call faults {seed} {number}"))
        self.limits = LimitClock()
        self.news_delay = self.list_delay = self.report_delay = 0.0  # seconds
        self.list_silent_until = 0.0
        self.last_news_at = self.last_list_at = 0.0  # when the last of what is under way arrives
        self.relay.listed = {entry["id"] for entry in entries}
        self.relay.told_ready_at = self.agent.told_ready_at
        self.sums = Sums(facts.report_lines_per_second)
        self.port: SupervisorPort | None = None
        self.alive, self.started_at = True, 0.0

    def connect(self, port: SupervisorPort) -> None:
        """Connects the port."""
        self.port = port
        self.relay.on_notification, self.agent.on_change = self._notify, port.list_changed

    def _notify(self, method: str, params: dict) -> None:
        now = self.timers.clock()
        if not self.news_delay and now >= self.last_news_at:
            self.port.notify(method, params)
            return
        self.last_news_at = max(self.last_news_at, now + self.news_delay)
        self.timers.at(self.last_news_at, lambda: self.port.notify(method, params))

    def tell_list(self, spread: float, entries: list[dict]) -> None:
        """The agent has a change of the list so many seconds from now, later where lists are late or silent."""
        arrives_at = max(self.timers.clock() + spread + self.list_delay, self.list_silent_until, self.last_list_at)
        self.last_list_at = arrives_at
        self.timers.at(arrives_at, lambda: self.agent.tell(self.timers.clock(), entries))

    def slowest_channel(self, now: float) -> float:
        """How many times slower than usual the channel has been of late; the rules' times grow by it."""
        return self.relay.slowest_of_late(now)

    def call_failed(self, fault: CallFault) -> None:
        """The relay breaks a call: the rules' time limits wait."""
        self.limits.pause(self.timers.clock(), PAUSES_S.get(fault, 0.0))
