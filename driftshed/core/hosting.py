"""Hosting of the decisions module: its instance, pending events, wake-up time and faults. Everything that feeds the
module and carries out its orders builds on this. It is deterministic: the same events at the same times produce the
same orders."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from driftshed import interface as face
from driftshed.brain import Brain

MAX_FAULT_BATCHES = 8  # event batches kept for the report of a module fault
MAX_EVENTS_PER_TURN = 65536  # events handled in one turn; the rest wait for the next


class Fault(NamedTuple):
    """A fault of the module: the exception, where it was raised, and the last event batches up to the one that raised
    it."""

    error: str
    place: str
    event_batches: list[tuple[float, list]]


class ModuleHost:
    """Hosts one instance of the decisions module. Events are appended to `pending_events`; `run_module(now)` passes
    them to the module and returns its orders. Times are seconds on the caller's clock. A subclass returns from
    `current_state_events` the events that bring a restarted module up to date, and discards in `discard_orders` the
    orders of the previous one."""

    def __init__(
        self,
        facts: face.StartFacts,
        seed: int,
        now: float,
        brain: Callable[[face.StartFacts, int, float], Brain] = Brain,
    ) -> None:
        """`brain(facts, seed, now)` creates the module; it is called again with another seed after each fault."""
        self.facts, self.seed, self.make_brain, self.started_at = facts, seed, brain, now
        self.brain = brain(facts, seed, now)
        self.pending_events: list = []
        self.recent_batches: deque[tuple[float, list]] = deque(maxlen=MAX_FAULT_BATCHES)
        self.wake_at, self.last_turn_at = now, float("-inf")
        self.faults = self.order_count = 0
        self.on_log: Callable[[str], object] = lambda text: None
        self.on_fault: Callable[[Fault], object] = lambda fault: None
        self.on_turn: Callable[[float, list, list], object] | None = None
        self.on_module_start: Callable[[int, float], object] = lambda seed, now: None

    def current_state_events(self) -> list:
        """Returns the events that give a new module the current roster and the joined proxies."""
        raise NotImplementedError

    def discard_orders(self) -> None:
        """Discards the orders of the previous module; a new one has issued none."""
        raise NotImplementedError

    def module_due_at(self) -> float:
        """Returns when the module must run next if no further event arrives."""
        return min(self.wake_at, self.last_turn_at + self.facts.tick) if self.pending_events else self.wake_at

    def run_module(self, now: float) -> list:
        """Runs the module if it is due and returns its orders. A module that raises is replaced, and its turn returns
        no orders."""
        timer = self.wake_at <= now
        if timer:
            self.wake_at = float("inf")
            self.pending_events.append(face.TimerDue(0))
        # Events that arrive within one tick are handled together, whatever else causes turns. Otherwise the module
        # would decide again for each message that leaves the channel.
        if not self.pending_events or not (timer or now >= self.last_turn_at + self.facts.tick):
            return []
        self.last_turn_at = now
        events, self.pending_events = (
            self.pending_events[:MAX_EVENTS_PER_TURN],
            self.pending_events[MAX_EVENTS_PER_TURN:],
        )
        self.recent_batches.append((now, events))
        try:
            orders = self.brain.handle(now, events)
        except Exception as error:
            self._restart_module(error, now)
            return []
        if self.on_turn:
            self.on_turn(now, events, orders)
        self.order_count += len(orders)
        for order in orders:
            if isinstance(order, face.SetTimer):
                self.wake_at = min(self.wake_at, order.at)
            elif isinstance(order, face.Log):
                self.handle_log(order.text, now)
        return orders

    def handle_log(self, text: str, now: float) -> None:
        """Passes on a log text of the module."""
        self.on_log(text)

    def _restart_module(self, error: Exception, now: float) -> None:
        """Reports a fault of the module together with the events that led to it, and starts a new module as after a
        crash. Proxies keep their tables. The events that raised are not handled again."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.on_fault(
            Fault(f"{type(error).__name__}: {error}", f"{frame.name}, line {frame.lineno}", list(self.recent_batches))
        )
        self.recent_batches.clear()
        self.faults += 1
        self.brain = self.make_brain(self.facts, self.seed + self.faults, now)
        self.on_module_start(self.seed + self.faults, now)
        self.wake_at = now
        self.discard_orders()
        # These events replace the ones still pending: they contain the current roster and the joined proxies.
        self.pending_events = self.current_state_events()
