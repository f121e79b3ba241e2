"""Shared by the tests: start facts of a made-up deployment and a simple model of the effect of orders."""

from random import Random

from driftshed import interface as face
from driftshed.adapter.codec import read_facts
from driftshed.brain import Brain

FACTS = """zones=east,west\naz=0\nme=0\nbalancers=1\nregistryMode=pushed\nweightSource=rough\nreport.how=inline
invariants.askWithinUs=8000000\ninvariants.coldFrom=0.2\ninvariants.warmWithinUs=15000000\ndomain.admit=share
invariants.drainGraceUs=2000000\ninvariants.tipMultiple=3\ninvariants.fallUs=2000000\ndomain.queueCap=1500
domain.bootstrap=5
domain.linesPerS=1000\ndomain.perMessage=3\ndomain.transitUs=200000\ndomain.worstTransitUs=500000
domain.pushesAllowed=30\ndomain.messagesOverUs=10000000\ndomain.emptyForUs=4000000\ndomain.proxies=8
domain.perTry=1\ndomain.cycleUs=500000\ndomain.hearsPerS=80\nlimits.dialTimeoutUs=200000\nquantumUs=2000
domain.classWrites=false,true,true\nlanes.count=3
lanes.0.name=look\nlanes.0.sloUs=500000\nlanes.0.deadlineUs=1500000\nlanes.0.worth=1\nlanes.0.effect=retryable
lanes.1.name=pay\nlanes.1.sloUs=300000\nlanes.1.deadlineUs=900000\nlanes.1.worth=4\nlanes.1.effect=dedup
lanes.1.windowUs=900000\nlanes.1.dedupScope=all
lanes.2.name=post\nlanes.2.sloUs=800000\nlanes.2.deadlineUs=2000000\nlanes.2.worth=3\nlanes.2.effect=fragile
"""


def server(number: int) -> bytes:
    return bytes([10, 0, 0, number, 31, 64])


class SimulatedFleet:
    """One supervisor, proxies that apply all orders, and a channel of limited rate; slow, simple and deterministic."""

    def __init__(self, servers: int = 9, proxies: int = 4, extra: str = "", seed: int = 1) -> None:
        self.facts = read_facts(FACTS + extra)
        self.now, self.channel_rate, self.proxies_answer = 100.0, self.facts.lines_per_second, True
        self.brain = Brain(self.facts, seed, self.now)
        self.random = Random(seed)
        self.tables: dict[int, dict[bytes, float]] = {}
        self.held_table: dict[int, int] = {}
        self.withdrawn: set[bytes] = set()
        self.assigned_at: dict[int, float | None] = {}  # joined proxies: when they were assigned a table
        self.message_times: dict[int, list[float]] = {}
        self.queue: list[list] = []  # messages in the channel: lines left, proxy, mark
        self.events: list = []
        self.order_log: list = []
        self.states = {server(n): (face.READY, None) for n in range(servers)}
        self.events.append(face.Listing(1, face.CACHED, tuple(self.entry(name) for name in self.states)))
        self.events += [face.Joined(p % 2, True, p, 5.0) for p in range(proxies)]
        self.handle_events()

    def entry(self, name: bytes) -> face.Entry:
        state, started = self.states[name]
        return face.Entry(name, name[3] // 2 % 2, name[3] % 2, started, 0, state, 1.0)  # two zones, two kinds

    def list_server(self, name: bytes, state: int, started: float | None = None) -> None:
        self.states[name] = (state, started)
        self.events.append(face.Listing(1, face.DELTA, (self.entry(name),)))

    def report(self, name: bytes, latency: float | None = 0.1, errored: int = 0, tries: int = 10, zones=(0, 1)) -> None:
        self.events += [face.Heard(errored, name, tries, 0.5, zone, latency, None) for zone in zones]

    def handle_events(self) -> list:
        """Passes the waiting events to the module as one batch and applies its orders."""
        for event in self.events:
            if isinstance(event, face.Joined):
                self.assigned_at[event.proxy], self.message_times[event.proxy] = None, []
            elif isinstance(event, face.Left):
                self.assigned_at.pop(event.proxy, None)
                self.held_table.pop(event.proxy, None)
                self.queue = [message for message in self.queue if message[1] != event.proxy]
        events, self.events = self.events, []
        orders = self.brain.handle(self.now, events)
        lines = {proxy: 0 for proxy in self.assigned_at}
        for order in orders:
            self.order_log.append((self.now, order))
            if isinstance(order, face.UseTable):
                self.assigned_at[order.proxy], self.held_table[order.proxy] = self.now, order.table
                table = self.tables.get(order.table, {})
                lines[order.proxy] += 1 + len(table) + len(self.withdrawn & set(table)) + len(self.facts.operations)
            elif isinstance(order, face.SetLine | face.Withdraw | face.SetLevel):
                for proxy, held in self.held_table.items():
                    withdraws = isinstance(order, face.Withdraw)
                    lines[proxy] += order.server in self.tables[held] if withdraws else held == order.table
            if isinstance(order, face.SetLine):
                self.tables.setdefault(order.table, {})[order.server] = order.weight
                if not order.weight:
                    del self.tables[order.table][order.server]
            elif isinstance(order, face.Withdraw):
                (self.withdrawn.add if order.on else self.withdrawn.discard)(order.server)
        marks = [order.mark for order in orders if isinstance(order, face.Mark)]
        for proxy, count in lines.items():
            if count:
                self.queue.append([count + self.facts.lines_per_message + len(marks), proxy, marks])
                self.message_times[proxy].append(self.now)
        return orders

    def run(self, span: float, before=None, check=None, step: float = 0.25) -> None:
        """Handles batches for `span` seconds; `before` adds events before each batch, `check` runs after it."""
        for _ in range(round(span / step)):
            self.now += step
            capacity = self.channel_rate * step
            while self.queue and capacity > 0:
                used = min(capacity, self.queue[0][0])
                capacity -= used
                self.queue[0][0] -= used
                if self.queue[0][0] <= 0:
                    _, proxy, marks = self.queue.pop(0)
                    if self.proxies_answer:
                        self.events += [face.Applied(mark, proxy, step) for mark in marks]
            if before:
                before(self)
            self.events.append(face.TimerDue(0))
            self.handle_events()
            if check:
                check(self)

    @property
    def lines(self) -> dict[bytes, float]:
        """The weight of each line, of all parts of the table."""
        return {name: weight for table in self.tables.values() for name, weight in table.items()}

    def is_usable(self, name: bytes) -> bool:
        """Whether a server has a line and is not withdrawn."""
        return name in self.lines and name not in self.withdrawn

    def usable_lines(self, proxy: int) -> dict[bytes, float]:
        """The lines of the proxy's table whose servers are not withdrawn."""
        table = self.tables.get(self.held_table.get(proxy), {})
        return {name: weight for name, weight in table.items() if name not in self.withdrawn}

    def traffic_share(self, name: bytes) -> float:
        """The share of all arrivals that a server gets, if arrivals are the same at every proxy."""
        tables = [self.usable_lines(proxy) for proxy in self.held_table]
        return sum(table.get(name, 0.0) / sum(table.values()) for table in tables if table) / max(1, len(tables))
