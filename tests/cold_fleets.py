"""The load of cold servers against what they can do, and a model of one supervisor whose servers restart in place."""

from collections import Counter, defaultdict, deque
from random import Random
from typing import NamedTuple

from driftshed import interface as face
from tests.takeovers import REPORT_INTERVAL_S, STEP_S, Proxy, TakeoverFleet, server_id

BASE_LATENCY_S = 0.08
MAX_UTILISATION = 0.95  # of a server, for its latency
LIST_DELAY_S = 0.7  # from a change of a server to its entry in the list
TRIES_PER_ARRIVAL = 10  # in reports, for each arrival a second of the model
NOTICE_S, REDIAL_S = (0.31, 1.9), (0.33, 2.4)  # until a broken stream is noticed, and until the proxy joins again


class Load(NamedTuple):
    """The load of a cold server over the tip span, as a multiple of what it can do at the end of it."""

    multiple: float
    server: object
    at: float  # seconds


class ColdServerJudge:
    """Finds the largest load of a cold server over any `span` of seconds that ends within its warm-up."""

    def __init__(self, facts: face.StartFacts) -> None:
        self.facts, self.worst = facts, Load(0.0, None, 0.0)
        self.rows: dict[object, deque] = defaultdict(deque)  # time, seconds, work, work that the supervisor answers for

    def warmth(self, age: float) -> float:
        """The share of its capacity that a server certainly has at this age."""
        return min(1.0, self.facts.cold_share + (1 - self.facts.cold_share) * age / self.facts.warm_within)

    def record(self, server: object, now: float, seconds: float, work: float, informed: float, capacity: float) -> None:
        """Records the work that a cold server gets each second for the last `seconds`; `informed`: the part of it that
        comes from proxies whose supervisor knew of the start."""
        rows = self.rows[server]
        rows.append((now, work * seconds, informed * seconds))
        while rows[0][0] <= now - self.facts.tip_span:
            rows.popleft()
        total = sum(row[1] for row in rows)
        multiple = total / (self.facts.tip_span * capacity)
        if sum(row[2] for row in rows) >= 2 / 3 * total and multiple > self.worst.multiple:
            self.worst = Load(multiple, server, now)


class ColdFleet(TakeoverFleet):
    """Proxies that bring one arrival a second each, and servers that start with `cold_share` of their capacity and are
    warm after `warm_within` seconds, the worst that the facts allow. `load`: arrivals over the capacity of all."""

    def __init__(self, servers: int, proxies: int, settings: str, seed: int, load: float) -> None:
        self.speeds: dict[bytes, float] = {}  # of servers that differ from the others, as a multiple of their capacity
        self.failing: dict[bytes, float] = {}  # share of tries that fail at once, by server
        self.down: set[bytes] = set()
        self.told_of_start_at: dict[bytes, float] = {}
        self.changes: list[tuple[float, str, list[bytes]]] = []  # that are still to come
        self.broken: set[int] = set()  # proxies whose stream has ended
        super().__init__(servers, proxies, settings, seed)
        self.judge = ColdServerJudge(self.facts)
        self.capacity = proxies / load / servers

    def restart(self, at: float, servers: list[bytes], drains_for: float, away_for: float) -> None:
        """Servers drain, end `drains_for` seconds later, and start `away_for` seconds after that. With 0 for
        `drains_for` they crash, and the list never shows that they were away."""
        ends_at, starts_at = at + drains_for, at + drains_for + away_for
        if drains_for:
            self.changes += [(at + LIST_DELAY_S, "draining", servers), (ends_at + LIST_DELAY_S, "gone", servers)]
        self.changes += [(ends_at, "end", servers), (starts_at, "start", servers)]
        self.changes.append((starts_at + LIST_DELAY_S, "ready", servers))

    def play(self, seconds: float, before=None) -> None:
        """Runs with the changes of servers that are due; `before(self)` adds events to each batch."""

        def add_events(_: TakeoverFleet) -> None:
            for row in sorted(row for row in self.changes if row[0] <= self.now):
                self.changes.remove(row)
                self._change(*row[1:])
            if before:
                before(self)

        self.run(seconds, add_events)

    def _change(self, what: str, servers: list[bytes]) -> None:
        if what == "end":
            self.down |= set(servers)
        elif what == "start":
            self.down -= set(servers)
            for server in servers:
                self.started[server] = self.now
                self.judge.rows[server].clear()
                self.told_of_start_at.pop(server, None)
        else:
            if what == "ready":
                self.told_of_start_at |= dict.fromkeys(servers, self.now)
            self._list({"draining": face.DRAINING, "gone": face.GONE, "ready": face.READY}[what], servers)

    def capacity_of(self, server: bytes) -> float:
        """Arrivals per second that a server can answer now."""
        started = self.started[server]
        warmth = 1.0 if started is None else self.judge.warmth(self.now - started)
        return 0.0 if server in self.down else self.speeds.get(server, 1.0) * self.capacity * warmth

    def arrivals(self) -> dict[tuple[bytes, int], float]:
        """Arrivals per second by server and proxy."""
        arrivals = {}
        for proxy in self.proxies.values():
            lines = proxy.usable()
            total = sum(lines.values())
            arrivals |= {(server, proxy.number): weight / total for server, weight in lines.items()}
        return arrivals

    def _report_tries(self) -> None:
        by_zone, by_server = Counter(), Counter()
        for (server, number), rate in self.arrivals().items():
            by_zone[server, number % 2] += rate
            by_server[server] += rate
        for (server, zone), rate in by_zone.items():
            tries, capacity = round(TRIES_PER_ARRIVAL * rate * REPORT_INTERVAL_S), self.capacity_of(server)
            if tries:
                utilisation = by_server[server] / capacity if capacity else float("inf")
                errored = round(tries * max(self.failing.get(server, 0.0), 1 - 1 / utilisation))
                latency = BASE_LATENCY_S / (1 - min(MAX_UTILISATION, utilisation)) if errored < tries else None
                self.events.append(face.Heard(errored, server, tries, REPORT_INTERVAL_S, zone, latency, None))

    def joined(self) -> list[Proxy]:
        return [proxy for proxy in self.proxies.values() if proxy.number not in self.broken]

    def _measure(self) -> None:
        super()._measure()
        work, informed = Counter(), Counter()
        for (server, number), rate in self.arrivals().items():
            work[server] += rate
            told_at = self.told_of_start_at.get(server, float("inf"))
            if self.proxies[number].message_sent_at >= told_at or self.now >= told_at + self.facts.drain_grace:
                informed[server] += rate
        for server, started in self.started.items():
            if started is not None and server not in self.down and self.now - started <= self.facts.warm_within:
                load = work[server], informed[server], self.capacity_of(server)
                self.judge.record(server, self.now, STEP_S, *load)

    # ---- streams ----------------------------------------------------------------------------------------------

    def break_stream(self, proxy: Proxy) -> None:
        """A stream ends unseen: what is under way to the proxy is lost."""
        self.broken.add(proxy.number)
        proxy.table = None

    def rejoin(self, proxy: Proxy) -> None:
        """A proxy joins again with what it holds."""
        self.broken.discard(proxy.number)
        proxy.joined_at = self.now
        self.events.append(face.Joined(proxy.number % 2, False, proxy.number, 1.0))

    def _deliver(self) -> None:
        self.deliveries = [each for each in self.deliveries if each[1].number not in self.broken]
        super()._deliver()


class BrokenStreams:
    """Streams of proxies break, are noticed later, and come back."""

    def __init__(self, fleet: ColdFleet, per_second: float, random: Random) -> None:
        self.per_second, self.random, self.next_at = per_second, random, fleet.now
        self.coming: list[tuple[float, str, int]] = []

    def __call__(self, fleet: ColdFleet) -> None:
        while self.per_second and self.next_at <= fleet.now:
            self.next_at += self.random.expovariate(self.per_second)
            proxy = self.random.choice(fleet.joined())
            fleet.break_stream(proxy)
            left_at = fleet.now + self.random.uniform(*NOTICE_S)
            self.coming.append((left_at, "left", proxy.number))
            self.coming.append((left_at + self.random.uniform(*REDIAL_S), "joined", proxy.number))
        for row in sorted(row for row in self.coming if row[0] <= fleet.now):
            self.coming.remove(row)
            _, what, number = row
            if what == "left":
                fleet.events.append(face.Left(number))
            else:
                fleet.rejoin(fleet.proxies[number])


def random_restarts(
    fleet: ColdFleet, random: Random, seconds: float, size: int, interval: float, crashes: bool
) -> None:
    """Schedules restarts of `size` servers about each `interval`, of servers that have been back for a while."""
    at, busy_until = fleet.now, defaultdict(float)
    while at < fleet.now + seconds:
        numbers = random.sample([n for n in range(len(fleet.states)) if busy_until[n] <= at], size)
        drains_for, away_for = (0.0, random.uniform(0.5, 2.0)) if crashes and random.random() < 0.5 else (6.0, 3.0)
        fleet.restart(at, [server_id(number) for number in numbers], drains_for, away_for)
        busy_until |= dict.fromkeys(numbers, at + 10.0)
        at += random.uniform(0.5, 1.5) * interval
