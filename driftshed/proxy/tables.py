"""What a proxy goes by: the tables it holds, made ready to pick from. Free of I/O.

A set of changes is applied whole or not at all: it is checked against all that it would touch first."""

from __future__ import annotations

import math
from random import Random

from driftshed import interface as face
from driftshed.core.holding import fold
from driftshed.core.messages import BadName, Change, Changes, Level, Line, Use, server_id
from driftshed.proxy.limits import Gate
from driftshed.proxy.pick import PICKS, Weighted, Weights


class TurnedDown(Exception):
    """Why a set of changes is not taken; what was held is held still."""


class Tables:
    """`standing`: the servers to start with, until a supervisor puts the proxy on a table."""

    def __init__(self, operations: int, pick: str, form: str, tries: int, standing: list[str], random: Random) -> None:
        self.operations, self.pick_by, self.tries, self.random = operations, PICKS[pick], tries, random
        self.held: dict[tuple, Change] = {}
        self.run: str | None = None
        self.version = 0
        self.policy = 0  # the newest version of a policy whose orders were heeded
        self.gates = [Gate(form, random) for _ in range(operations)]
        self.standing = standing
        self.weights: dict[int | None, Weights] = {}
        self.pickers: dict[int | None, Weighted] = {}
        self._build(None)

    # ---- taking changes ---------------------------------------------------------------------------------------

    def take(self, changes: Changes, now: float) -> None:
        """Applies a set of changes; TurnedDown, and nothing of it is taken, where it is not for what is held here, or
        holds what cannot be."""
        if changes.run != self.run or (changes.since != self.version and not changes.whole):
            raise TurnedDown(f"changes of {changes.run} from {changes.since}; held is {self.run} {self.version}")
        self.check_policy(changes.policy)
        if changes.version < changes.since:
            raise TurnedDown(f"changes from version {changes.since} back to {changes.version}")
        for change in changes.changes:
            self._check(change)
        before = self.held
        held = {} if changes.whole else dict(before)
        fold(held, changes.changes)
        for key, change in held.items():
            if key[0] == "use" and not any(k[0] == "line" and k[1] == change.table for k in held):
                if any(k[0] == "line" for k in before) and changes.whole:
                    raise TurnedDown(f"operation {key[1]} would be left without a line by a whole set")
        self.held, self.version, self.policy = held, changes.version, changes.policy
        self._follow(before, changes, now)

    def check_policy(self, policy: int) -> None:
        """TurnedDown where orders rest on an older policy than one that was heeded: it is over at most supervisors."""
        if policy < self.policy:
            raise TurnedDown(f"orders of policy {policy}; those of {self.policy} were heeded")

    def _check(self, change: Change) -> None:
        if isinstance(change, Line):
            if not math.isfinite(change.weight) or change.weight < 0:
                raise TurnedDown(f"a line of weight {change.weight}")
        if isinstance(change, Level) and not (math.isfinite(change.level) and change.level >= 0):
            raise TurnedDown(f"a level of {change.level}")
        if isinstance(change, Use | Level) and change.operation >= self.operations:
            raise TurnedDown(f"operation {change.operation} of {self.operations}")
        if not isinstance(change, Use | Level):
            try:
                server_id(change.server)
            except BadName as error:
                raise TurnedDown(str(error)) from None

    def _follow(self, before: dict[tuple, Change], changes: Changes, now: float) -> None:
        """Brings what is picked from in line with what is held: line by line where the tables stayed, anew else."""
        used = {change.table for key, change in self.held.items() if key[0] == "use"}
        was = {change.table for key, change in before.items() if key[0] == "use"}
        if changes.whole or used != was:
            self.weights, self.pickers = {}, {}
            for table in used or {None}:
                self._build(table)
        else:
            for change in changes.changes:
                if change.key[0] in ("line", "out"):
                    self._refresh(change.server)
        for operation, gate in enumerate(self.gates):
            level = self.level(operation)
            if level != gate.level:
                gate.set(level, now)

    def _build(self, table: int | None) -> None:
        weights = self.weights[table] = Weights()
        if table is None:
            for name in self.standing:
                if ("out", name) not in self.held:
                    weights.set(name, 1.0)
        else:
            for key, change in self.held.items():
                if key[0] == "line" and key[1] == table and ("out", key[2]) not in self.held:
                    weights.set(key[2], change.weight)
        self.pickers[table] = self.pick_by(weights, self.random)

    def _refresh(self, name: str) -> None:
        for table, weights in self.weights.items():
            line = self.held.get(("line", table, name))
            weight = line.weight if line is not None else float(table is None and name in self.standing)
            weight = 0.0 if ("out", name) in self.held else weight
            if weights.weight(name) != weight:
                weights.set(name, weight)
                self.pickers[table].changed(name)

    # ---- going by them ----------------------------------------------------------------------------------------

    def table(self, operation: int) -> int | None:
        use = self.held.get(("use", operation))
        return use.table if use is not None else None

    def picker(self, operation: int) -> Weighted:
        return self.pickers[self.table(operation) if self.table(operation) in self.pickers else None]

    def pick(self, operation: int, but: list[str], out: dict[str, int]) -> str | None:
        """A server for an operation, none of those named; None where there is no line to pick."""
        return self.picker(operation).pick(but, out)

    def lines(self, operation: int) -> int:
        return len(self.picker(operation).weights)

    def level(self, operation: int) -> float:
        """The lower of the table's own level and that of every table."""
        levels = [self.held.get(("level", table, operation)) for table in (self.table(operation), face.EVERY_TABLE)]
        return min((level.level for level in levels if level is not None), default=float("inf"))

    def tries_of(self, operation: int) -> int:
        level = self.held.get(("level", self.table(operation), operation))
        return level.tries if level is not None else self.tries

    def servers(self) -> set[str]:
        """All servers that anything may still go to."""
        return {name for weights in self.weights.values() for name in weights.place}
