"""Picking a line of a table. Free of I/O; chance comes from the `random.Random` that is handed in."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from random import Random


class Weights:
    """Weighted lines under dense indices, summed in a binary indexed tree: a change of one line and a draw each cost
    O(log n), and nothing else is built anew.

    Guards against drift: what a tree of floats sums up to wanders with every change, so weights are kept as whole
    numbers of `UNIT`ths, which sum up exactly, whatever comes and goes."""

    UNIT = 2.0**-30
    MOST = 2**40  # of one line, in units: weights above are taken for it

    def __init__(self) -> None:
        self.place: dict[str, int] = {}
        self.names: list[str | None] = []
        self.units: list[int] = []
        self.tree: list[int] = [0]
        self.free: list[int] = []
        self.top = 1  # the largest power of two that is not above the number of places
        self.total = 0

    def __len__(self) -> int:
        return len(self.place)

    def weight(self, name: str) -> float:
        place = self.place.get(name)
        return 0.0 if place is None else self.units[place] * self.UNIT

    def set(self, name: str, weight: float) -> None:
        """0 removes the line. A weight above 0 counts for one unit at least."""
        place = self.place.get(name)
        if weight <= 0:
            if place is not None:
                self._add(place, -self.units[place])
                self.units[place], self.names[place] = 0, None
                del self.place[name]
                self.free.append(place)
            return
        if place is None:
            place = self.place[name] = self._room()
            self.names[place] = name
        units = min(self.MOST, max(1, round(weight / self.UNIT)))
        self._add(place, units - self.units[place])
        self.units[place] = units

    def _room(self) -> int:
        if self.free:
            return self.free.pop()
        self.names.append(None)
        self.units.append(0)
        index = len(self.units)
        # A new node of the tree sums up the nodes that it covers.
        covered, low = 0, index - (index & -index)
        below = index - 1
        while below > low:
            covered += self.tree[below]
            below -= below & -below
        self.tree.append(covered)
        if self.top * 2 <= index:
            self.top *= 2
        return index - 1

    def _add(self, place: int, units: int) -> None:
        self.total += units
        index = place + 1
        while index < len(self.tree):
            self.tree[index] += units
            index += index & -index

    def at(self, units: int) -> int:
        """The place whose stretch of all units holds this one, 0 <= units < total."""
        index, step = 0, self.top
        while step:
            above = index + step
            if above < len(self.tree) and self.tree[above] <= units:
                index, units = above, units - self.tree[above]
            step >>= 1
        return index

    def draw(self, random: Random) -> str | None:
        return self.names[self.at(random.randrange(self.total))] if self.total else None

    def draw_but(self, random: Random, but: list[str]) -> str | None:
        """A draw among the lines that are not named, by their weights: their stretches are cut out of the whole."""
        cut = sorted({self.place[name] for name in but if name in self.place})
        left = self.total - sum(self.units[place] for place in cut)
        if left <= 0:
            return None
        units = random.randrange(left)
        for place in cut:
            if units >= self._before(place):
                units += self.units[place]
        return self.names[self.at(units)]

    def _before(self, place: int) -> int:
        """The units of all places before this one."""
        units, index = 0, place
        while index > 0:
            units += self.tree[index]
            index -= index & -index
        return units


class Weighted:
    """At random, by weight."""

    def __init__(self, weights: Weights, random: Random) -> None:
        self.weights, self.random = weights, random

    def pick(self, but: list[str], out: dict[str, int]) -> str | None:
        return self.weights.draw_but(self.random, but) if but else self.weights.draw(self.random)

    def changed(self, name: str) -> None:
        pass


class Two(Weighted):
    """Two drawn by weight; the one with fewer of this proxy's own invocations out, the first where they are even."""

    def pick(self, but: list[str], out: dict[str, int]) -> str | None:
        first, second = super().pick(but, out), super().pick(but, out)
        if first is None or out.get(first, 0) <= out.get(second, 0):
            return first
        return second


class Round(Weighted):
    """Evenly by weight: each line comes again after a stretch in proportion to 1 / weight. The lines stand in a heap by
    when they are due; a line that comes in or is changed starts at a random part of its stretch, so that proxies do not
    all begin with the same server."""

    def __init__(self, weights: Weights, random: Random) -> None:
        super().__init__(weights, random)
        self.heap: list[tuple[float, int, str]] = []
        self.due: dict[str, int] = {}  # which entry of the heap stands for a line: older ones are passed over
        self.entries, self.now = 0, 0.0
        for name in weights.place:
            self.changed(name)

    def changed(self, name: str) -> None:
        weight = self.weights.weight(name)
        if weight > 0:
            self._stand(name, self.now + self.random.random() / weight)
        else:
            self.due.pop(name, None)
        if len(self.heap) > 64 + 4 * len(self.due):  # too many that are passed over
            self.heap = [row for row in self.heap if self.due.get(row[2]) == row[1]]
            heapify(self.heap)

    def _stand(self, name: str, at: float) -> None:
        self.entries += 1
        self.due[name] = self.entries
        heappush(self.heap, (at, self.entries, name))

    def pick(self, but: list[str], out: dict[str, int]) -> str | None:
        passed, found = [], None
        while self.heap:
            row = heappop(self.heap)
            if self.due.get(row[2]) != row[1]:
                continue
            if row[2] in but:
                passed.append(row)
                continue
            found = row[2]
            self.now = max(self.now, row[0])
            self._stand(found, row[0] + 1 / self.weights.weight(found))
            break
        for row in passed:
            heappush(self.heap, row)
        return found


PICKS = {"weighted": Weighted, "two": Two, "round": Round}
