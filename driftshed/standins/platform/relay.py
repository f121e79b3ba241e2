"""The relay of one supervisor: it carries out orders, and sends them to proxies through a channel of limited rate."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.loop import Timers
from driftshed.standins.platform.discovery import LISTED_WEIGHT
from driftshed.standins.platform.proxies import FleetProxy

EARLIEST_TRANSIT = 0.36  # of the mean transit time
UNCUT_SHARE = 1 / 2  # of the listed weight: a restarted server's line that keeps more counts as not cut
READ_WITHIN_S = 0.1  # of its writing, a supervisor has read a change of the list


class Message(NamedTuple):
    """What one call orders for one proxy; `sent_at`: when the relay took the call."""

    changes: list[tuple]
    marks: list[int]
    sent_at: float


class Table:
    """A table of the supervisor as the relay holds it."""

    def __init__(self) -> None:
        self.lines: dict[str, float] = {}
        self.line_set_at: dict[str, float] = {}
        self.levels: dict[str, tuple[float, int]] = {}


class RelayState:
    """Tables, bindings and withdrawals of one supervisor, and its channel. `on_notification(method, params)` gets
    what the relay tells the supervisor."""

    def __init__(self, timers: Timers, facts: face.StartFacts, random: Random) -> None:
        """`random` draws the transit times."""
        self.timers, self.facts, self.random = timers, facts, random
        self.proxies: dict[int, FleetProxy] = {}  # whose stream is open, also where it has broken unseen
        self.bound: dict[int, int] = {}
        self.tables: dict[int, Table] = defaultdict(Table)
        self.withdrawn: set[str] = set()
        self.listed: set[str] = set()
        self.on_notification: Callable[[str, dict], object] = lambda method, params: None
        self.channel_free_at, self.waiting = 0.0, deque()  # times of leaving and lines of messages
        self.most_waiting = 0.0
        self.message_times: dict[int, deque[float]] = defaultdict(deque)  # of the open stream of each proxy, of late
        self.excess_messages: list[tuple[float, int]] = []  # time and proxy of messages beyond the message cap
        self.told_ready_at: dict[str, float] = {}  # of restarted servers: when the supervisor was told of the start
        self.pace = 1.0  # of the channel, as a share of its usual one
        self.slow_until, self.slowest = 0.0, 1.0  # when it last changed its pace, and how many times slower it was
        self.missing_cuts: list[tuple[float, str, float]] = []  # time, server, seconds since it was told

    # ---- streams ----------------------------------------------------------------------------------------------

    def subscription(self, proxy: FleetProxy) -> dict:
        """What is told of a joined proxy."""
        zone = self.facts.zones[proxy.zone]
        return {"id": proxy.number, "site": zone, "rps": round(proxy.rate, 2), "new": not proxy.had_table}

    def open_stream(self, proxy: FleetProxy) -> None:
        """A proxy joins with what it holds."""
        self.proxies[proxy.number] = proxy
        self.message_times.pop(proxy.number, None)
        self.bound.pop(proxy.number, None)
        self.on_notification("SUBSCRIBE", self.subscription(proxy))

    def close_stream(self, proxy: FleetProxy) -> None:
        """The end of a stream is noticed."""
        if self.proxies.pop(proxy.number, None):
            self.bound.pop(proxy.number, None)
            self.on_notification("CLOSED", {"id": proxy.number})

    def forget_supervisor(self) -> None:
        """The supervisor has ended: what it ordered is gone, and so is what waits in its channel."""
        self.tables.clear()
        self.withdrawn.clear()
        self.bound.clear()
        self.waiting.clear()
        self.channel_free_at = 0.0

    # ---- orders -----------------------------------------------------------------------------------------------

    def apply(self, operations: list[dict]) -> int:
        """Carries out orders up to the first that cannot be used. Returns how many were carried out."""
        self.changes: dict[int, list[tuple]] = defaultdict(list)
        self.lines: Counter[int] = Counter()
        self.marks: list[int] = []
        accepted = 0
        for operation in operations:
            if not getattr(self, f"_{operation['do']}")(operation):
                break
            accepted += 1
        now = self.timers.clock()
        for group in {self.bound[number] for number in self.changes if number in self.bound}:
            self._judge_cuts(group, now)
        for number, changes in self.changes.items():
            self._send(self.proxies[number], Message(changes, self.marks, now), self.lines[number])
        return accepted

    def _judge_cuts(self, group: int, now: float) -> None:
        """Finds lines of restarted servers that were not cut since the supervisor was told of the start, though it
        writes to their holders: from then on it answers for what they send there."""
        table = self.tables[group]
        for target, weight in table.lines.items():
            told_at = self.told_ready_at.get(target)
            if told_at is None or not READ_WITHIN_S <= now - told_at <= self.facts.drain_grace:
                continue
            if table.line_set_at[target] < told_at and weight > UNCUT_SHARE * LISTED_WEIGHT:
                self.missing_cuts.append((now, target, now - told_at))

    def _concern(self, number: int, lines: int, *change: object) -> None:
        self.changes[number].append(change)
        self.lines[number] += lines

    def _users(self, group: int) -> list[int]:
        return [number for number, table in self.bound.items() if table == group]

    def _put(self, operation: dict) -> bool:
        group, target, weight = operation["group"], operation["target"], operation["rps"]
        if target not in self.listed or weight < 0:
            return False
        lines = self.tables[group].lines
        lines[target], self.tables[group].line_set_at[target] = weight, self.timers.clock()
        if not weight:
            del lines[target]
        for number in self._users(group):
            self._concern(number, 1, "line", target, weight)
        return True

    def _wipe(self, operation: dict) -> bool:
        self.tables[operation["group"]] = Table()
        for number in self._users(operation["group"]):
            self._concern(number, 1, "table", {}, {}, set(self.withdrawn))
        return True

    def _attach(self, operation: dict) -> bool:
        number, table = operation["id"], self.tables[operation["group"]]
        if number not in self.proxies:
            return False
        self.bound[number] = operation["group"]
        cost = 1 + len(table.lines) + len(table.levels) + len(self.withdrawn & set(table.lines))
        self._concern(number, cost, "table", dict(table.lines), dict(table.levels), set(self.withdrawn))
        return True

    def _eject(self, operation: dict) -> bool:
        return self._withdraw(operation["target"], True)

    def _uneject(self, operation: dict) -> bool:
        return self._withdraw(operation["target"], False)

    def _withdraw(self, target: str, on: bool) -> bool:
        if target not in self.listed:
            return False
        (self.withdrawn.add if on else self.withdrawn.discard)(target)
        for number, proxy in self.proxies.items():
            table = self.tables[self.bound[number]].lines if number in self.bound else {}
            if target in proxy.lines or target in table:
                self._concern(number, 1, "withdraw", target, on)
            elif number in self.bound:  # without a line it has no effect yet: told with whatever comes next
                (proxy.withdrawn.add if on else proxy.withdrawn.discard)(target)
        return True

    def _gate(self, operation: dict) -> bool:
        groups = [operation["group"]] if operation["group"] != "*" else list(self.tables)
        names = operation.get("classes") or [each.name for each in self.facts.operations]
        for group in groups:
            for name in names:
                self.tables[group].levels[name] = operation["level"], operation["retry"]
            for number in self._users(group):
                self._concern(number, 1, "levels", names, operation["level"], operation["retry"])
        return True

    def _fence(self, operation: dict) -> bool:
        self.marks.append(operation["ticket"])
        return True

    # ---- the channel ------------------------------------------------------------------------------------------

    def slow_down(self, times: float) -> None:
        """The channel sends so many times slower than usual from now on."""
        self.slow_until, self.slowest = self.timers.clock(), 1 / self.pace
        self.pace = 1 / times

    def slowest_of_late(self, now: float) -> float:
        """How many times slower than usual the channel is, or was within the longest grace at its pace then."""
        of_late = now < self.slow_until + self.slowest * (self.facts.drain_grace + self.facts.worst_transit)
        return max(1 / self.pace, self.slowest if of_late else 1.0)

    def _judge_message_cap(self, proxy: FleetProxy, now: float) -> None:
        times = self.message_times[proxy.number]
        while times and times[0] <= now - self.facts.message_span:
            times.popleft()
        times.append(now)
        if self.facts.message_cap and len(times) > self.facts.message_cap:
            self.excess_messages.append((now, proxy.number))

    def _send(self, proxy: FleetProxy, message: Message, lines: float) -> None:
        now = self.timers.clock()
        self._judge_message_cap(proxy, now)
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        lines += self.facts.lines_per_message + len(message.marks)
        self.channel_free_at = max(now, self.channel_free_at) + lines / (self.facts.lines_per_second * self.pace)
        self.waiting.append((self.channel_free_at, lines))
        self.most_waiting = max(self.most_waiting, sum(each for _, each in self.waiting))
        transit = self.random.uniform(EARLIEST_TRANSIT, 2 - EARLIEST_TRANSIT) * self.facts.transit
        transit = min(transit, self.facts.worst_transit)
        proxy.last_arrival = max(self.channel_free_at + transit, proxy.last_arrival)
        stream = proxy.stream
        self.timers.at(proxy.last_arrival, lambda: self._deliver(proxy, stream, message))

    def _deliver(self, proxy: FleetProxy, stream: int, message: Message) -> None:
        if proxy.stream != stream or not proxy.joined:
            return  # what is under way on a stream that breaks is lost
        proxy.apply(message.changes, message.sent_at)
        took = round(1000 * (self.timers.clock() - message.sent_at), 1)
        for mark in message.marks:
            self.on_notification("ACK", {"id": proxy.number, "seq": mark, "ms": took})
