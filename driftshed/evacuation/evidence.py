"""Results of the tries of a supervisor's proxies, by zone of proxy and of server, and verdicts on zones. Free of I/O.

A zone is unhealthy if the proxies inside it and most of those outside observe it so, while the other zones are healthy.
Three cases look similar: the network between two zones is cut (the zone is healthy from inside), the proxies of one
zone are unhealthy (they observe every zone so), or all zones are slow alike."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from driftshed import interface as face

WINDOW_PERIODS = 6  # length of the window, in report periods
MIN_TRIES = 5  # of one zone in another within the window; with fewer there is no verdict
# A zone is unhealthy from this share of errored tries or this multiple of the usual latency on, and dead from the third
# value on, again a share of errored tries.
UNHEALTHY_ERROR_SHARE, UNHEALTHY_SLOWDOWN, DEAD_ERROR_SHARE = 0.3, 3.0, 0.9
OVERLOAD_LATENCY_SHARE = 0.6  # of the mean latency objective: at this mean latency, many answers miss the objective
LEARNING_PERIODS = 60  # report periods over which the usual latency and concurrency are averaged


class Verdict(Enum):
    """Verdict on a zone or region; the values appear in views, votes and traces."""

    HEALTHY = "well"
    UNHEALTHY = "ill"
    PARTITIONED = "the way is cut"  # unhealthy from some zones, healthy from inside
    ALL_ALIKE = "all zones alike"
    UNKNOWN = "unknown"


class TryStats(NamedTuple):
    """Recent results of the tries of one zone's proxies in another zone."""

    tries: int
    erred: float  # share of tries
    slow: float  # mean latency of the successful tries, as a multiple of the usual one; 1.0 if unknown
    late: float = 0.0  # the same mean, as a multiple of the mean latency objective

    @property
    def unhealthy(self) -> bool:
        """Whether too many tries errored, or the latency is far above the usual one."""
        return self.erred >= UNHEALTHY_ERROR_SHARE or self.slow >= UNHEALTHY_SLOWDOWN

    @property
    def overloaded(self) -> bool:
        """Whether many answers are late, or many tries errored."""
        return self.erred >= UNHEALTHY_ERROR_SHARE or self.late >= OVERLOAD_LATENCY_SHARE


class Evidence:
    """Sums of tries over a sliding window. Times are seconds on one monotonic clock; zones are given by index."""

    def __init__(self, facts: face.StartFacts) -> None:
        """Starts without tries; reads the report period and the latency objectives of the operations from `facts`."""
        self.window_s = WINDOW_PERIODS * facts.report_period
        self.learning_rate = 1 / LEARNING_PERIODS
        self.objective = sum(each.latency_objective for each in facts.operations) / len(facts.operations)
        self.rows: dict[tuple[int, int], deque[tuple]] = {}  # time, tries, errored, sum of latencies, successful
        self.usual_latency_s: dict[tuple[int, int], float] = {}
        self.usual_concurrency: dict[tuple[int, int], float] = {}  # average number of invocations under way at a time

    def record(
        self, now: float, proxy_zone: int, server_zone: int, tries: int, errored: int, latency: float | None
    ) -> None:
        """Adds tries of one zone's proxies at another's servers; `latency`: mean of the successful ones, in seconds."""
        if not tries:
            return
        rows = self.rows.setdefault((proxy_zone, server_zone), deque())
        good = tries - errored if latency is not None else 0
        if rows and rows[-1][0] == now:
            _, a, b, c, d = rows.pop()
            rows.append((now, a + tries, b + errored, c + good * (latency or 0.0), d + good))
        else:
            rows.append((now, tries, errored, good * (latency or 0.0), good))

    def summarize(self, now: float) -> dict[tuple[int, int], TryStats]:
        """Returns the statistics by zone of proxy and of server, for pairs with enough tries, and updates the averages.

        To be called once a report period, since each call is one step of the averages."""
        by_pair = {}
        for pair, rows in self.rows.items():
            while rows and rows[0][0] <= now - self.window_s:
                rows.popleft()
            tries, errored = sum(row[1] for row in rows), sum(row[2] for row in rows)
            if tries < MIN_TRIES:
                continue
            good = sum(row[4] for row in rows)
            mean_latency_s = sum(row[3] for row in rows) / good if good else None
            usual_latency_s = self.usual_latency_s.get(pair)
            stats = TryStats(
                tries,
                errored / tries,
                mean_latency_s / usual_latency_s if mean_latency_s and usual_latency_s else 1.0,
                (mean_latency_s or 0.0) / self.objective,
            )
            # An unhealthy state must not become the usual one.
            if mean_latency_s and (usual_latency_s is None or not stats.unhealthy):
                self.usual_latency_s[pair] = (
                    mean_latency_s
                    if usual_latency_s is None
                    else usual_latency_s + self.learning_rate * (mean_latency_s - usual_latency_s)
                )
                current = good * mean_latency_s / self.window_s
                concurrency = self.usual_concurrency.get(pair, current)
                self.usual_concurrency[pair] = concurrency + self.learning_rate * (current - concurrency)
            by_pair[pair] = stats
        return by_pair


def zone_verdict(zone: int, stats: dict[tuple[int, int], TryStats]) -> Verdict:
    """Returns the verdict on one zone by the statistics of all pairs."""
    inside = stats.get((zone, zone))
    outside = [each for (proxy_zone, server_zone), each in stats.items() if server_zone == zone and proxy_zone != zone]
    others = [each for (_, server_zone), each in stats.items() if server_zone != zone]
    seen = [*outside, inside] if inside else outside
    if not seen:
        return Verdict.UNKNOWN
    if not any(each.unhealthy for each in seen):
        return Verdict.HEALTHY
    # Guards against causes outside this zone: the fleet is slow, or the reporting proxies are themselves unhealthy.
    if others and 2 * sum(each.unhealthy for each in others) >= len(others):
        return Verdict.ALL_ALIKE
    if inside and not inside.unhealthy:
        return Verdict.PARTITIONED
    if inside and outside and 2 * sum(each.unhealthy for each in outside) < len(outside):
        return Verdict.HEALTHY  # only its own proxies observe it so: they are unhealthy, not its servers
    if not others:
        return Verdict.UNKNOWN  # no other zone to compare with
    return Verdict.UNHEALTHY


def place_verdict(zones: tuple[int, ...], stats: dict[tuple[int, int], TryStats], left: bool = False) -> Verdict:
    """Returns the verdict on a place, comparing each of its zones with the zones outside the place.

    While no part of it is `left`, all of its zones must be unhealthy. In a place that is left in part, one unhealthy
    zone is enough, since the zones that are left are not tried."""
    if len(zones) == 1:
        return zone_verdict(zones[0], stats)
    verdicts = [
        zone_verdict(zone, {pair: each for pair, each in stats.items() if pair[1] == zone or pair[1] not in zones})
        for zone in zones
    ]
    if all(each is Verdict.UNHEALTHY for each in verdicts) or (left and Verdict.UNHEALTHY in verdicts):
        return Verdict.UNHEALTHY
    for verdict in (Verdict.PARTITIONED, Verdict.HEALTHY, Verdict.ALL_ALIKE):
        if verdict in verdicts:
            return verdict
    return Verdict.UNKNOWN


def is_dead(zones: tuple[int, ...], stats: dict[tuple[int, int], TryStats]) -> bool:
    """Whether hardly any try succeeds in these zones, from wherever it is made; False without tries in each zone."""
    all_errored = {
        zone: [each.erred >= DEAD_ERROR_SHARE for (_, server_zone), each in stats.items() if server_zone == zone]
        for zone in zones
    }
    return all(flags and all(flags) for flags in all_errored.values())


class VerdictTracker:
    """The current verdict on each place, and the time since which it has been the same."""

    def __init__(self, count: int) -> None:
        """Starts with `count` places and no verdicts."""
        self.current = [Verdict.UNKNOWN] * count
        self.since = [float("-inf")] * count
        self.recently_tried = [False] * count  # whether there were recent tries

    def update(self, now: float, verdicts: list[Verdict]) -> None:
        """Records the verdicts of all places at `now`, in seconds.

        An unhealthy verdict that is confirmed after a time without tries counts from `now`."""
        for number, verdict in enumerate(verdicts):
            previous, was_tried = self.current[number], self.recently_tried[number]
            self.recently_tried[number] = verdict is not Verdict.UNKNOWN
            # Guards against a zone that is not tried any more because it is unhealthy: no tries are no recovery.
            if verdict is Verdict.UNKNOWN and previous is Verdict.UNHEALTHY:
                continue
            if verdict is not previous or (verdict is Verdict.UNHEALTHY and not was_tried):
                self.current[number], self.since[number] = verdict, now

    def reset(self, number: int) -> None:
        """Resets the verdict of a place whose return is complete. Guards against leaving it by an old observation."""
        self.current[number], self.recently_tried[number] = Verdict.UNKNOWN, False

    def duration_s(self, number: int, verdict: Verdict, now: float) -> float:
        """Returns the seconds for which a place has had this verdict, 0.0 if it has another."""
        return now - self.since[number] if self.current[number] is verdict else 0.0
