"""What a supervisor's proxies, zone by zone, met in each zone, and what that says of the zones. Free of I/O.

A zone is ill where those inside it and most of those outside see it so, while the other zones are well. What looks
like it and is not: the way between two zones is cut (inside it is well), the proxies of one zone are ill (they see
every zone so), all zones are slow alike."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from driftshed import interface as face

WINDOW = 6  # report periods that a look goes back
ENOUGH = 5  # tries of one zone in another without which nothing is said
ERRED, SLOW, DEAD = 0.3, 3.0, 0.9  # share of tries that errored; times the usual latency; share that errored
LATE = 0.6  # of the mean latency objective: with a mean of this much, many answers come after it
USUAL_OVER = 60  # report periods over which the usual is learnt


class Verdict(Enum):
    WELL = "well"
    ILL = "ill"
    CUT = "the way is cut"  # from some zones it is reached badly, from inside well
    ALIKE = "all zones alike"
    UNKNOWN = "unknown"


class Met(NamedTuple):
    """What proxies of one zone met in another of late."""

    tries: int
    erred: float  # share of tries
    slow: float  # mean latency of the good ones, in times of the usual; 1.0 where there is none
    late: float = 0.0  # the same, in times of the mean latency objective

    @property
    def ill(self) -> bool:
        return self.erred >= ERRED or self.slow >= SLOW

    @property
    def overrun(self) -> bool:
        """Whether much of it comes too late, or not at all."""
        return self.erred >= ERRED or self.late >= LATE


class Evidence:
    """Sums of reports over a window. Times are seconds on one clock."""

    def __init__(self, facts: face.StartFacts) -> None:
        self.window = WINDOW * facts.report_period
        self.learns = 1 / USUAL_OVER
        self.objective = sum(each.latency_objective for each in facts.operations) / len(facts.operations)
        self.rows: dict[tuple[int, int], deque[tuple]] = {}  # when, tries, errored, latencies, good
        self.usual: dict[tuple[int, int], float] = {}
        self.busy: dict[tuple[int, int], float] = {}  # invocations under way at a time, as is usual

    def met(self, now: float, here: int, there: int, tries: int, errored: int, latency: float | None) -> None:
        """Proxies of zone `here` made tries in zone `there`; `latency`: mean of the good ones, in seconds."""
        if not tries:
            return
        rows = self.rows.setdefault((here, there), deque())
        good = tries - errored if latency is not None else 0
        if rows and rows[-1][0] == now:
            _, a, b, c, d = rows.pop()
            rows.append((now, a + tries, b + errored, c + good * (latency or 0.0), d + good))
        else:
            rows.append((now, tries, errored, good * (latency or 0.0), good))

    def look(self, now: float) -> dict[tuple[int, int], Met]:
        """By zones of proxies and of servers, where there is enough to say anything. Learns what is usual."""
        found = {}
        for pair, rows in self.rows.items():
            while rows and rows[0][0] <= now - self.window:
                rows.popleft()
            tries, errored = sum(row[1] for row in rows), sum(row[2] for row in rows)
            if tries < ENOUGH:
                continue
            good = sum(row[4] for row in rows)
            mean = sum(row[3] for row in rows) / good if good else None
            usual = self.usual.get(pair)
            met = Met(tries, errored / tries, mean / usual if mean and usual else 1.0, (mean or 0.0) / self.objective)
            if mean and (usual is None or not met.ill):  # what is ill does not become usual
                self.usual[pair] = mean if usual is None else usual + self.learns * (mean - usual)
                held = good * mean / self.window
                busy = self.busy.get(pair, held)
                self.busy[pair] = busy + self.learns * (held - busy)
            found[pair] = met
        return found


def verdict(zone: int, look: dict[tuple[int, int], Met]) -> Verdict:
    """What a look says of a zone."""
    inside = look.get((zone, zone))
    outside = [met for (here, there), met in look.items() if there == zone and here != zone]
    others = [met for (_, there), met in look.items() if there != zone]
    seen = [*outside, inside] if inside else outside
    if not seen:
        return Verdict.UNKNOWN
    if not any(met.ill for met in seen):
        return Verdict.WELL
    # Guards against what is no matter of this zone: the fleet is slow, or the proxies that tell are themselves ill.
    if others and 2 * sum(met.ill for met in others) >= len(others):
        return Verdict.ALIKE
    if inside and not inside.ill:
        return Verdict.CUT
    if inside and outside and 2 * sum(met.ill for met in outside) < len(outside):
        return Verdict.WELL  # its own proxies alone: they are ill, not its servers
    if not others:
        return Verdict.UNKNOWN  # nothing to tell it from
    return Verdict.ILL


def of_place(zones: tuple[int, ...], look: dict[tuple[int, int], Met], left: bool = False) -> Verdict:
    """What a look says of zones together: each beside those that are not of them. While none of it is `left`, all of
    them have to be ill; of one that is left in part, those that are tried speak for it."""
    if len(zones) == 1:
        return verdict(zones[0], look)
    said = [
        verdict(zone, {pair: met for pair, met in look.items() if pair[1] == zone or pair[1] not in zones})
        for zone in zones
    ]
    if all(each is Verdict.ILL for each in said) or (left and Verdict.ILL in said):
        return Verdict.ILL
    for what in (Verdict.CUT, Verdict.WELL, Verdict.ALIKE):
        if what in said:
            return what
    return Verdict.UNKNOWN


def dead(zones: tuple[int, ...], look: dict[tuple[int, int], Met]) -> bool:
    """Whether hardly a try of anybody's succeeds there, in none of the zones."""
    seen = {zone: [met.erred >= DEAD for (_, there), met in look.items() if there == zone] for zone in zones}
    return all(found and all(found) for found in seen.values())


class Lasting:
    """Since when each place's verdict is what it is."""

    def __init__(self, places: int) -> None:
        self.now = [Verdict.UNKNOWN] * places
        self.since = [float("-inf")] * places
        self.fresh = [False] * places  # whether anybody tried it of late

    def take(self, now: float, verdicts: list[Verdict]) -> None:
        for place, said in enumerate(verdicts):
            before, fresh = self.now[place], self.fresh[place]
            self.fresh[place] = said is not Verdict.UNKNOWN
            # Guards against a zone that is tried no more because it is ill: silence ends no illness by itself.
            if said is Verdict.UNKNOWN and before is Verdict.ILL:
                continue
            if said is not before or (said is Verdict.ILL and not fresh):
                self.now[place], self.since[place] = said, now

    def forget(self, place: int) -> None:
        """It was left and is whole again. Guards against leaving it for an illness that nobody has seen since."""
        self.now[place], self.fresh[place] = Verdict.UNKNOWN, False

    def lasted(self, place: int, what: Verdict, now: float) -> float:
        """Seconds for which a place's verdict has been this one; 0.0 where it is another."""
        return now - self.since[place] if self.now[place] is what else 0.0
