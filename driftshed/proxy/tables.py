"""Tables of a proxy, prepared for picking. Free of I/O.

A set of changes is applied atomically: all of it is validated against the present state first."""

from __future__ import annotations

import math
from random import Random

from driftshed import interface as face
from driftshed.core.messages import Change, Changes, InvalidServerName, Level, Line, Use, server_id
from driftshed.core.proxy_state import fold
from driftshed.proxy.limits import Gate
from driftshed.proxy.pick import PICKERS, WeightedPicker, Weights


class ChangesRejected(Exception):
    """A set of changes is rejected; the tables stay as they were."""


class Tables:
    """Tables, levels and withdrawals that a proxy has received, and a picker for each table in use."""

    def __init__(
        self, operations: int, pick: str, level_form: str, tries: int, initial_servers: list[str], random: Random
    ) -> None:
        """`operations`: their number; `pick`: a key of `PICKERS`; `tries`: try mode until a supervisor sets one;
        `initial_servers`: servers to use until a supervisor puts the proxy on a table."""
        self.operations, self.picker_type, self.tries, self.random = operations, PICKERS[pick], tries, random
        self.state: dict[tuple, Change] = {}
        self.run: str | None = None
        self.version = 0
        self.policy = 0  # newest policy version whose orders were applied
        self.gates = [Gate(level_form, random) for _ in range(operations)]
        self.initial_servers = initial_servers
        self.weights: dict[int | None, Weights] = {}
        self.pickers: dict[int | None, WeightedPicker] = {}
        self.build_picker(None)

    # ---- applying changes -------------------------------------------------------------------------------------

    def apply(self, changes: Changes, now: float) -> None:
        """Applies a set of changes at time `now`. Raises ChangesRejected, and applies none of them, where they do not
        continue the present state or are invalid."""
        if changes.run != self.run or (changes.since != self.version and not changes.whole):
            raise ChangesRejected(
                f"changes of {changes.run} from {changes.since}; the present state is {self.run} {self.version}"
            )
        self.check_policy(changes.policy)
        if changes.version < changes.since:
            raise ChangesRejected(f"changes from version {changes.since} back to {changes.version}")
        for change in changes.changes:
            self._validate(change)
        old_state = self.state
        new_state = {} if changes.whole else dict(old_state)
        fold(new_state, changes.changes)
        for key, change in new_state.items():
            if key[0] == "use" and not any(k[0] == "line" and k[1] == change.table for k in new_state):
                if any(k[0] == "line" for k in old_state) and changes.whole:
                    raise ChangesRejected(f"operation {key[1]} would be left without a line by a whole set")
        self.state, self.version, self.policy = new_state, changes.version, changes.policy
        self._update_after(old_state, changes, now)

    def check_policy(self, policy: int) -> None:
        """Raises ChangesRejected for orders of an older policy than one applied: it is over at most supervisors."""
        if policy < self.policy:
            raise ChangesRejected(f"orders of policy {policy}; those of policy {self.policy} were applied")

    def _validate(self, change: Change) -> None:
        if isinstance(change, Line):
            if not math.isfinite(change.weight) or change.weight < 0:
                raise ChangesRejected(f"a line of weight {change.weight}")
        if isinstance(change, Level) and not (math.isfinite(change.level) and change.level >= 0):
            raise ChangesRejected(f"a level of {change.level}")
        if isinstance(change, Use | Level) and change.operation >= self.operations:
            raise ChangesRejected(f"operation {change.operation} of {self.operations}")
        if not isinstance(change, Use | Level):
            try:
                server_id(change.server)
            except InvalidServerName as error:
                raise ChangesRejected(str(error)) from None

    def _update_after(self, old_state: dict[tuple, Change], changes: Changes, now: float) -> None:
        """Updates pickers and gates: line by line where the tables in use are unchanged, else from scratch."""
        used = {change.table for key, change in self.state.items() if key[0] == "use"}
        used_before = {change.table for key, change in old_state.items() if key[0] == "use"}
        if changes.whole or used != used_before:
            self.weights, self.pickers = {}, {}
            for table in used or {None}:
                self.build_picker(table)
        else:
            for change in changes.changes:
                if change.key[0] in ("line", "out"):
                    self._update_server(change.server)
        for operation, gate in enumerate(self.gates):
            level = self.level(operation)
            if level != gate.level:
                gate.set(level, now)

    def build_picker(self, table: int | None) -> None:
        """Rebuilds the picker of a table from its lines; None stands for the table of the initial servers."""
        weights = self.weights[table] = Weights()
        if table is None:
            for name in self.initial_servers:
                if ("out", name) not in self.state:
                    weights.set(name, 1.0)
        else:
            for key, change in self.state.items():
                if key[0] == "line" and key[1] == table and ("out", key[2]) not in self.state:
                    weights.set(key[2], change.weight)
        self.pickers[table] = self.picker_type(weights, self.random)

    def _update_server(self, name: str) -> None:
        for table, weights in self.weights.items():
            line = self.state.get(("line", table, name))
            weight = line.weight if line is not None else float(table is None and name in self.initial_servers)
            weight = 0.0 if ("out", name) in self.state else weight
            if weights.weight(name) != weight:
                weights.set(name, weight)
                self.pickers[table].on_weight_changed(name)

    # ---- queries ----------------------------------------------------------------------------------------------

    def table(self, operation: int) -> int | None:
        """Table of an operation; None before a supervisor has assigned one."""
        use = self.state.get(("use", operation))
        return use.table if use is not None else None

    def picker(self, operation: int) -> WeightedPicker:
        """Picker of an operation's table; that of the initial servers where it has none."""
        return self.pickers[self.table(operation) if self.table(operation) in self.pickers else None]

    def pick(self, operation: int, excluded: list[str], in_flight: dict[str, int]) -> str | None:
        """A server for an operation, none of `excluded`; None where there is no line to pick.

        `in_flight`: own invocations under way by server."""
        return self.picker(operation).pick(excluded, in_flight)

    def line_count(self, operation: int) -> int:
        """Number of lines that an operation can be sent to."""
        return len(self.picker(operation).weights)

    def level(self, operation: int) -> float:
        """Admission level of an operation: the lower of its table's and that of every table; infinite without one."""
        levels = [self.state.get(("level", table, operation)) for table in (self.table(operation), face.EVERY_TABLE)]
        return min((level.level for level in levels if level is not None), default=float("inf"))

    def try_mode(self, operation: int) -> int:
        """Try mode in force for an operation, a constant of `driftshed.interface`."""
        level = self.state.get(("level", self.table(operation), operation))
        return level.tries if level is not None else self.tries

    def servers(self) -> set[str]:
        """All servers that invocations may still be sent to."""
        return {name for weights in self.weights.values() for name in weights.slots}
