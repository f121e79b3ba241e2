"""Baseline policies for comparison. They replace the decisions module; none is part of the product."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.proxy.pick import RoundRobinPicker, TwoChoicesPicker, WeightedPicker, Weights


class AllToAll:
    """Lists every ready server to every proxy with equal weights, and decides nothing else."""

    def __init__(self, facts: face.StartFacts, seed: int, now: float) -> None:
        """Takes the arguments of the decisions module; only the listings matter."""
        self.ready: dict[face.Server, None] = {}

    def handle(self, now: float, events: list) -> list:
        """Returns the orders that follow from the events: lines for listings, the shared table for proxies that
        join."""
        orders: list = []
        for event in events:
            if isinstance(event, face.Listing):
                orders += self._apply_listing(event)
            elif isinstance(event, face.Joined):
                orders.append(face.UseTable(face.ALL_OPERATIONS, 0, event.proxy))
        return orders

    def _apply_listing(self, listing: face.Listing) -> list:
        states = {entry.server: entry.state for entry in listing.entries}
        gone = [] if listing.kind == face.DELTA else [server for server in self.ready if server not in states]
        gone += [server for server, state in states.items() if state != face.READY and server in self.ready]
        new = [server for server, state in states.items() if state == face.READY and server not in self.ready]
        for server in gone:
            del self.ready[server]
        self.ready |= dict.fromkeys(new)
        return [face.SetLine(s, 0.0, 0) for s in gone] + [face.SetLine(s, 1.0, 0) for s in new]


class LeastOutstanding(WeightedPicker):
    """Picks the line with the fewest outstanding invocations of this proxy, at random among equals."""

    def __init__(self, weights: Weights, random: Random) -> None:
        """`random` breaks ties."""
        super().__init__(weights, random)

    def pick(self, excluded: list[str], in_flight: dict[str, int]) -> str | None:
        """A server not in `excluded`, by the outstanding invocations in `in_flight`; None where there is none."""
        names = [name for name in self.weights.slots if name not in excluded]
        if not names:
            return None
        fewest = min(in_flight.get(name, 0) for name in names)
        return self.random.choice([name for name in names if in_flight.get(name, 0) == fewest])


class Policy(NamedTuple):
    """`brain`: the decisions module, None for that of the product; `pick`: None as the flags set it."""

    brain: type | None
    pick: type | None
    about: str


POLICIES = {
    "driftshed": Policy(None, None, "the product"),
    "all-to-all": Policy(AllToAll, WeightedPicker, "all ready servers to all proxies, drawn at random"),
    "round-robin": Policy(AllToAll, RoundRobinPicker, "all ready servers to all proxies, in turn"),
    "least-out": Policy(AllToAll, LeastOutstanding, "all ready servers, the one with the fewest own invocations out"),
    "two-drawn": Policy(AllToAll, TwoChoicesPicker, "all ready servers, the better of two drawn at random"),
}
