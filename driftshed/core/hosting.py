"""The hosted module: what holds it, the events that wait for it, its wake-up and its faults. Whatever feeds it and acts
on its orders is built on this: the same events at the same times bring the same orders."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from driftshed import interface as face
from driftshed.brain import Brain

KEPT_TURNS = 8  # batches of events kept for the log of a fault
MOST_NEWS = 65536  # events that one turn hears


class Fault(NamedTuple):
    """The module raised: what, where, and the last batches of events up to the one it raised on."""

    error: str
    place: str
    turns: list[tuple[float, list]]


class Hosted:
    """Events are put into `news`; `hear(now)` lets the module hear them and brings its orders. Times are seconds on the
    caller's clock. Whoever derives from it says in `what_stands` what a module that begins anew is told, and forgets in
    `forget_orders` what the old one ordered."""

    def __init__(
        self,
        facts: face.StartFacts,
        seed: int,
        now: float,
        brain: Callable[[face.StartFacts, int, float], Brain] = Brain,
    ) -> None:
        self.facts, self.seed, self.make, self.began = facts, seed, brain, now
        self.brain = brain(facts, seed, now)
        self.news: list = []
        self.turns: deque[tuple[float, list]] = deque(maxlen=KEPT_TURNS)
        self.wake_at, self.heard_at = now, float("-inf")
        self.faults = self.orders_given = 0
        self.on_log: Callable[[str], object] = lambda text: None
        self.on_fault: Callable[[Fault], object] = lambda fault: None
        self.on_turn: Callable[[float, list, list], object] | None = None
        self.on_begin: Callable[[int, float], object] = lambda seed, now: None

    def what_stands(self) -> list:
        """The events that tell a new module the list and who is joined."""
        raise NotImplementedError

    def forget_orders(self) -> None:
        """A new module has ordered nothing yet."""
        raise NotImplementedError

    def module_at(self) -> float:
        """When the module is due though nothing comes in."""
        return min(self.wake_at, self.heard_at + self.facts.tick) if self.news else self.wake_at

    def hear(self, now: float) -> list:
        """The orders of the module, if it is due."""
        timer = self.wake_at <= now
        if timer:
            self.wake_at = float("inf")
            self.news.append(face.TimerDue(0))
        # Guards against a module that decides anew for each message that leaves the channel: what comes within a tick
        # is heard together, whatever else makes turns.
        if not self.news or not (timer or now >= self.heard_at + self.facts.tick):
            return []
        self.heard_at = now
        news, self.news = self.news[:MOST_NEWS], self.news[MOST_NEWS:]
        self.turns.append((now, news))
        try:
            orders = self.brain.handle(now, news)
        except Exception as error:
            self._begin_anew(error, now)
            return []
        if self.on_turn:
            self.on_turn(now, news, orders)
        self.orders_given += len(orders)
        for order in orders:
            if isinstance(order, face.SetTimer):
                self.wake_at = min(self.wake_at, order.at)
            elif isinstance(order, face.Log):
                self.note(order.text, now)
        return orders

    def note(self, text: str, now: float) -> None:
        """A word of the module."""
        self.on_log(text)

    def _begin_anew(self, error: Exception, now: float) -> None:
        """Guards against a fault of the module: it is told with what led to it, and the instance starts as after a
        crash. The proxies keep their tables, and the events that it raised on are not heard again."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.on_fault(Fault(f"{type(error).__name__}: {error}", f"{frame.name}, line {frame.lineno}", list(self.turns)))
        self.turns.clear()
        self.faults += 1
        self.brain = self.make(self.facts, self.seed + self.faults, now)
        self.on_begin(self.seed + self.faults, now)
        self.wake_at = now
        self.forget_orders()
        # What was still to be heard is in what is told now: the list as it stands, and who is joined.
        self.news = self.what_stands()
