"""A model of one supervisor that takes over the proxies of killed ones: proxies with tables of other supervisors, and a
channel of limited rate that delivers messages in order and late."""

from collections import Counter, defaultdict, deque
from random import Random

from driftshed import interface as face
from driftshed.adapter.facts import read_facts
from driftshed.brain import Brain
from tests.helpers import FACTS

STEP_S = 0.05  # between two batches of events
REPORT_INTERVAL_S = 0.5
REPORTED_SERVERS = 30  # in each report interval


class Proxy:
    """A joined proxy: the lines that it has applied, and the table that it is bound to at the relay."""

    def __init__(self, number: int, joined_at: float, lines: dict[bytes, float]) -> None:
        self.number, self.joined_at, self.lines = number, joined_at, lines
        self.table: int | None = None
        self.withdrawn: set[bytes] = set()
        self.last_arrival = 0.0
        self.message_sent_at = -1.0  # of the last message that it has applied

    def usable(self) -> dict[bytes, float]:
        return {server: weight for server, weight in self.lines.items() if server not in self.withdrawn}


class TakeoverFleet:
    """Plays the orders of one module against proxies that apply them late. Times are seconds, and so is `late`: of each
    proxy and server, how much longer than the grace the proxy could send to it."""

    def __init__(self, servers: int, proxies: int, settings: str, seed: int) -> None:
        self.facts, self.random, self.now = read_facts(FACTS + settings), Random(seed), 100.0
        self.brain = Brain(self.facts, seed, self.now)
        self.tables: dict[int, dict[bytes, float]] = defaultdict(dict)
        self.levels: dict[int, set] = defaultdict(set)
        self.withdrawn: set[bytes] = set()
        self.proxies: dict[int, Proxy] = {}
        self.states: dict[bytes, int] = {}
        self.told_at: dict[bytes, float] = {}  # of servers that are not ready: when the supervisor was told
        self.channel_free_at, self.channel = self.now, deque()  # times of leaving and lines
        # Time, proxy, changes, marks, and when they were ordered; None for what is not a message.
        self.deliveries: list[tuple[float, Proxy, list, list[int], float | None]] = []
        self.max_waiting = 0.0
        self.late: dict[tuple[int, bytes], float] = {}
        self.started: dict[bytes, float | None] = {}
        self.events: list = []
        self.order_log: list = []
        self.next_report = self.now
        for number in range(servers):
            self.states[server_id(number)], self.started[server_id(number)] = face.READY, None
        self.events.append(face.Listing(1, face.CACHED, tuple(map(self.entry, self.states))))
        for number in range(proxies):
            self.join(number, set())

    def entry(self, server: bytes) -> face.Entry:
        number = int.from_bytes(server, "big")
        return face.Entry(server, number % 2, number // 2 % 2, self.started[server], 0, self.states[server], 1.0)

    def join(self, number: int, lines: set[bytes], fresh: bool = False) -> None:
        """A proxy joins with the lines of a table of another supervisor, or, if it is fresh, of its standing table."""
        self.proxies[number] = Proxy(number, self.now, dict.fromkeys(lines, 1.0))
        self.events.append(face.Joined(number % 2, fresh or not lines, number, 1.0))

    def list_servers(self, state: int, servers: list[bytes]) -> None:
        """The supervisor is told a new state of some servers; a ready one has started just before."""
        if state == face.READY:
            self.started |= dict.fromkeys(servers, self.now - 0.7)
        self._list(state, servers)

    def _list(self, state: int, servers: list[bytes]) -> None:
        for server in servers:
            self.states[server] = state
            if state == face.READY:
                self.told_at.pop(server, None)
            else:
                self.told_at.setdefault(server, self.now)
        self.events.append(face.Listing(2, face.DELTA, tuple(map(self.entry, servers))))

    def joined(self) -> list[Proxy]:
        return list(self.proxies.values())

    def foreign_table(self, zone: int, size: int) -> set[bytes]:
        """The lines of another supervisor's table: servers of a zone that are ready by now."""
        ready = [server for server, state in self.states.items() if state == face.READY]
        return set(self.random.sample([each for each in ready if self.entry(each).zone == zone], size))

    def run(self, seconds: float, before=None) -> None:
        """Passes batches of events to the module; `before(self)` adds events to each."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            self._report()
            if before:
                before(self)
            self.events.append(face.TimerDue(0))
            events, self.events = self.events, []
            self._carry_out(self.brain.handle(self.now, events))
            self._measure()

    def _report(self) -> None:
        if self.now < self.next_report:
            return
        self.next_report += REPORT_INTERVAL_S
        self._report_tries()

    def _report_tries(self) -> None:
        met = Counter()
        for proxy in self.proxies.values():
            met.update((server, proxy.number % 2) for server in proxy.usable())
        for server, zone in self.random.sample(sorted(met), min(len(met), REPORTED_SERVERS)):
            latency = 0.06 * self.random.uniform(0.8, 1.3)
            self.events.append(face.Heard(0, server, max(1, met[server, zone]), REPORT_INTERVAL_S, zone, latency, None))

    def _carry_out(self, orders: list) -> None:
        """As the relay does: what one reply orders for a proxy is one message."""
        messages: dict[int, list] = defaultdict(list)
        marks = [order.mark for order in orders if isinstance(order, face.Mark)]
        for order in orders:
            self.order_log.append((self.now, order))
            if isinstance(order, face.SetLine):
                if order.weight:
                    self.tables[order.table][order.server] = order.weight
                else:
                    self.tables[order.table].pop(order.server, None)
                self._write(messages, order, lambda proxy, order=order: proxy.table == order.table)
            elif isinstance(order, face.SetLevel):
                self.levels[order.table].add(order.operations)
                self._write(messages, order, lambda proxy, order=order: proxy.table == order.table)
            elif isinstance(order, face.Withdraw):
                (self.withdrawn.add if order.on else self.withdrawn.discard)(order.server)
                self._write(messages, order, lambda proxy, order=order: order.server in proxy.lines)
                self._tell_without_a_line(order)
            elif isinstance(order, face.UseTable):
                table = self.tables[order.table]
                self.proxies[order.proxy].table = order.table
                cost = 1 + len(table) + len(self.levels[order.table]) + len(self.withdrawn & set(table))
                messages[order.proxy].append((cost, ("table", dict(table), set(self.withdrawn))))
        for number, content in messages.items():
            self._send(self.proxies[number], content, marks)

    def _write(self, messages: dict, order, concerns) -> None:
        for proxy in self.proxies.values():
            if concerns(proxy):
                messages[proxy.number].append((1, (type(order).__name__, order)))

    def _tell_without_a_line(self, order: face.Withdraw) -> None:
        """A withdrawal or its end takes no line at proxies without one to the server, and yet they heed it."""
        for proxy in self.proxies.values():
            if order.server not in proxy.lines:
                proxy.last_arrival = max(self.now + self.facts.transit, proxy.last_arrival)
                self.deliveries.append((proxy.last_arrival, proxy, [("Withdraw", order)], [], None))

    def _send(self, proxy: Proxy, content: list, marks: list[int]) -> None:
        lines = sum(cost for cost, _ in content) + self.facts.lines_per_message + len(marks)
        while self.channel and self.channel[0][0] <= self.now:
            self.channel.popleft()
        self.channel_free_at = max(self.now, self.channel_free_at) + lines / self.facts.lines_per_second
        self.channel.append((self.channel_free_at, lines))
        self.max_waiting = max(self.max_waiting, sum(each for _, each in self.channel))
        transit = self.random.uniform(0.36, 1.6) * self.facts.transit
        proxy.last_arrival = max(self.channel_free_at + transit, proxy.last_arrival)
        self.deliveries.append((proxy.last_arrival, proxy, [what for _, what in content], marks, self.now))

    def _deliver(self) -> None:
        due = [each for each in self.deliveries if each[0] <= self.now]
        self.deliveries = [each for each in self.deliveries if each[0] > self.now]
        for _, proxy, content, marks, sent_at in sorted(due, key=lambda each: each[0]):
            proxy.message_sent_at = proxy.message_sent_at if sent_at is None else sent_at
            for what in content:
                self._apply(proxy, *what)
            self.events += [face.Applied(mark, proxy.number, self.facts.transit) for mark in marks]

    def _apply(self, proxy: Proxy, what: str, *fields) -> None:
        if what == "table":
            proxy.lines, proxy.withdrawn = dict(fields[0]), set(fields[1])
        elif what == "SetLine" and fields[0].weight:
            proxy.lines[fields[0].server] = fields[0].weight
        elif what == "SetLine":
            proxy.lines.pop(fields[0].server, None)
        elif what == "Withdraw":
            (proxy.withdrawn.add if fields[0].on else proxy.withdrawn.discard)(fields[0].server)

    def _measure(self) -> None:
        for proxy in self.joined():
            for server in proxy.usable():
                if server in self.told_at and self.states[server] != face.READY:
                    over = self.now - max(self.told_at[server], proxy.joined_at) - self.facts.drain_grace
                    if over > 0:
                        self.late[proxy.number, server] = over


def server_id(number: int) -> bytes:
    return number.to_bytes(6, "big")


class Release:
    """Replaces `size` servers at a time, every `interval` seconds, `groups` times: their successors are listed with
    them as they drain, and they are gone `drains_for` seconds later."""

    def __init__(self, began: float, size: int, interval: float, groups: int, drains_for: float) -> None:
        self.began, self.size, self.interval, self.groups, self.drains_for = began, size, interval, groups, drains_for
        self.step = self.gone = 0

    def __call__(self, fleet: TakeoverFleet) -> None:
        if self.step < self.groups and fleet.now >= self.began + self.step * self.interval:
            first = self.step * self.size
            servers = len(fleet.states)
            successors = [server_id(servers + k) for k in range(self.size)]
            fleet.list_servers(face.READY, successors)
            fleet.list_servers(face.DRAINING, [server_id(first + k) for k in range(self.size)])
            self.step += 1
        if self.gone < self.step and fleet.now >= self.began + self.gone * self.interval + self.drains_for:
            first = self.gone * self.size
            fleet.list_servers(face.GONE, [server_id(first + k) for k in range(self.size)])
            self.gone += 1
