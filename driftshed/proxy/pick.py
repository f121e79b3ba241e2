"""Selection of a line of a table. Free of I/O; randomness comes from the `random.Random` passed in."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from random import Random


class Weights:
    """Weighted lines in dense slots, summed in a binary indexed (Fenwick) tree: a change of one line and a draw each
    cost O(log n), and nothing else is rebuilt.

    Guards against drift: the sums in a tree of floats accumulate rounding errors with every change, so weights are
    stored as integer multiples of `UNIT`, whose sums are exact after any sequence of changes."""

    UNIT = 2.0**-30
    MAX_UNITS = 2**40  # of one line, in units: larger weights are clamped to it

    def __init__(self) -> None:
        """Starts without lines."""
        self.slots: dict[str, int] = {}
        self.names: list[str | None] = []
        self.units: list[int] = []
        self.tree: list[int] = [0]
        self.free_slots: list[int] = []
        self.highest_step = 1  # largest power of two that is not above the number of slots
        self.total = 0

    def __len__(self) -> int:
        return len(self.slots)

    def weight(self, name: str) -> float:
        """Weight as stored, a multiple of `UNIT`; 0.0 for an unknown name."""
        slot = self.slots.get(name)
        return 0.0 if slot is None else self.units[slot] * self.UNIT

    def set(self, name: str, weight: float) -> None:
        """Sets the weight of a line; 0 removes it. A weight above 0 counts as at least one unit."""
        slot = self.slots.get(name)
        if weight <= 0:
            if slot is not None:
                self._add_units(slot, -self.units[slot])
                self.units[slot], self.names[slot] = 0, None
                del self.slots[name]
                self.free_slots.append(slot)
            return
        if slot is None:
            slot = self.slots[name] = self._allocate_slot()
            self.names[slot] = name
        units = min(self.MAX_UNITS, max(1, round(weight / self.UNIT)))
        self._add_units(slot, units - self.units[slot])
        self.units[slot] = units

    def _allocate_slot(self) -> int:
        if self.free_slots:
            return self.free_slots.pop()
        self.names.append(None)
        self.units.append(0)
        node = len(self.units)
        # A new node of the tree is the sum of the nodes that it covers.
        covered, lower_bound = 0, node - (node & -node)
        child = node - 1
        while child > lower_bound:
            covered += self.tree[child]
            child -= child & -child
        self.tree.append(covered)
        if self.highest_step * 2 <= node:
            self.highest_step *= 2
        return node - 1

    def _add_units(self, slot: int, units: int) -> None:
        self.total += units
        node = slot + 1
        while node < len(self.tree):
            self.tree[node] += units
            node += node & -node

    def slot_at(self, units: int) -> int:
        """Slot whose interval of the cumulative units contains `units`, 0 <= units < total."""
        node, step = 0, self.highest_step
        while step:
            candidate = node + step
            if candidate < len(self.tree) and self.tree[candidate] <= units:
                node, units = candidate, units - self.tree[candidate]
            step >>= 1
        return node

    def draw(self, random: Random) -> str | None:
        """Random line, by weight; None where there are no lines."""
        return self.names[self.slot_at(random.randrange(self.total))] if self.total else None

    def draw_excluding(self, random: Random, excluded: list[str]) -> str | None:
        """Random line by weight among those not in `excluded`, whose intervals are cut out; None where none is left."""
        excluded_slots = sorted({self.slots[name] for name in excluded if name in self.slots})
        remaining = self.total - sum(self.units[slot] for slot in excluded_slots)
        if remaining <= 0:
            return None
        units = random.randrange(remaining)
        for slot in excluded_slots:
            if units >= self._units_before(slot):
                units += self.units[slot]
        return self.names[self.slot_at(units)]

    def _units_before(self, slot: int) -> int:
        """Sum of the units of all slots before this one."""
        units, node = 0, slot
        while node > 0:
            units += self.tree[node]
            node -= node & -node
        return units


class WeightedPicker:
    """Picks a line at random, by weight."""

    def __init__(self, weights: Weights, random: Random) -> None:
        """`weights` is shared with the caller, who reports each change by `on_weight_changed`."""
        self.weights, self.random = weights, random

    def pick(self, excluded: list[str], in_flight: dict[str, int]) -> str | None:
        """A server not in `excluded`, None where there is none. `in_flight`: own invocations under way by server."""
        return self.weights.draw_excluding(self.random, excluded) if excluded else self.weights.draw(self.random)

    def on_weight_changed(self, name: str) -> None:
        """Called after the weight of a line has changed, including its addition and removal."""
        pass


class TwoChoicesPicker(WeightedPicker):
    """Picks the better of two lines drawn by weight: the one with fewer of this proxy's own invocations under way, the
    first one on a tie."""

    def pick(self, excluded: list[str], in_flight: dict[str, int]) -> str | None:
        """As `WeightedPicker.pick`; compares the two by `in_flight`."""
        first, second = super().pick(excluded, in_flight), super().pick(excluded, in_flight)
        if first is None or in_flight.get(first, 0) <= in_flight.get(second, 0):
            return first
        return second


class RoundRobinPicker(WeightedPicker):
    """Weighted round robin: each line is picked again after an interval of virtual time proportional to 1 / weight.

    A heap orders the lines by their next time. A new or changed line starts at a random point of its interval, so that
    proxies do not all begin with the same server."""

    def __init__(self, weights: Weights, random: Random) -> None:
        """Schedules all lines that `weights` has."""
        super().__init__(weights, random)
        self.heap: list[tuple[float, int, str]] = []
        self.current_entry: dict[str, int] = {}  # by line: number of its valid heap entry; older ones are skipped
        self.entry_count, self.virtual_time = 0, 0.0
        for name in weights.slots:
            self.on_weight_changed(name)

    def on_weight_changed(self, name: str) -> None:
        """Reschedules the line at a random point of its new interval, or removes it."""
        weight = self.weights.weight(name)
        if weight > 0:
            self._schedule(name, self.virtual_time + self.random.random() / weight)
        else:
            self.current_entry.pop(name, None)
        if len(self.heap) > 64 + 4 * len(self.current_entry):  # too many outdated entries
            self.heap = [row for row in self.heap if self.current_entry.get(row[2]) == row[1]]
            heapify(self.heap)

    def _schedule(self, name: str, at: float) -> None:
        self.entry_count += 1
        self.current_entry[name] = self.entry_count
        heappush(self.heap, (at, self.entry_count, name))

    def pick(self, excluded: list[str], in_flight: dict[str, int]) -> str | None:
        """The next line not in `excluded`; excluded lines keep their time. `in_flight` is not used."""
        skipped, found = [], None
        while self.heap:
            row = heappop(self.heap)
            if self.current_entry.get(row[2]) != row[1]:
                continue
            if row[2] in excluded:
                skipped.append(row)
                continue
            found = row[2]
            self.virtual_time = max(self.virtual_time, row[0])
            self._schedule(found, row[0] + 1 / self.weights.weight(found))
            break
        for row in skipped:
            heappush(self.heap, row)
        return found


PICKERS = {"weighted": WeightedPicker, "two": TwoChoicesPicker, "round": RoundRobinPicker}
