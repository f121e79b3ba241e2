"""One instance: hosts the decisions module between what comes in and what is published. It is all of a supervisor but
the sockets: the same calls at the same times bring the same tables."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.core.carrying import CannotCarry, carried
from driftshed.core.hosting import Hosted
from driftshed.core.hub import Hub, Record, Refused
from driftshed.core.messages import BadName, Join, Report, RosterNews, server_id, server_name
from driftshed.core.roster import Roster
from driftshed.core.sums import Sums


class Instance(Hosted):
    """`turn(now)` lets the module hear what has come and acts on its orders; call it soon after anything came in and
    when `next_at()` is due. Times are seconds on the caller's clock."""

    def __init__(
        self,
        facts: face.StartFacts,
        seed: int,
        run: str,
        now: float,
        wall: float = 0.0,
        brain: Callable[[face.StartFacts, int, float], Brain] = Brain,
    ) -> None:
        super().__init__(facts, seed, now, brain)
        self.hub = Hub(facts, run)
        self.roster = Roster(facts, wall)
        self.sums = Sums(facts.report_lines_per_second)
        self.zones = {name: place for place, name in enumerate(facts.zones)}
        self.operations = {operation.name: place for place, operation in enumerate(facts.operations)}
        self.sums_at = now + facts.report_period
        self.why: dict[str, tuple[float, str]] = {}  # of servers: the module's last word, and when
        self.on_answered: Callable[[str], object] | None = None  # of servers that reports met giving good answers
        # What a zone's proxies met at a server: now, zone, server, tries, errored, mean latency of the good.
        self.on_met: Callable[[float, int, face.Server, int, int, float | None], object] | None = None
        self.policy = 0  # the version of the policy that its orders rest on, 0 without one
        # Whether tables may change for the rules' sake alone. Asked before each order: a process that was stopped
        # finds out before anything else.
        self.still: Callable[[], bool] = lambda: False
        self.held_back: list = []  # orders given meanwhile
        self.on_switch: Callable[[float], object] = lambda now: None
        # The list as the module hears it.
        self.overlay: Callable[[face.Listing], face.Listing] = lambda listing: listing

    # ---- what comes in ----------------------------------------------------------------------------------------

    def join(self, proxy: int, join: Join, now: float) -> tuple[Record, bool]:
        if join.zone not in self.zones:
            raise Refused(400, f"zone {join.zone!r} is none of {', '.join(self.zones)}")
        was_joined = proxy in self.hub.records and self.hub.records[proxy].joined
        record, replaced = self.hub.join(proxy, self.zones[join.zone], join.run, join.version)
        if was_joined:
            self._left(proxy)
        record.rate = join.rate
        self.news.append(face.Joined(record.zone, join.fresh, proxy, join.rate))
        return record, replaced

    def leave(self, proxy: int) -> bool:
        if not self.hub.leave(proxy):
            return False
        self._left(proxy)
        return True

    def _left(self, proxy: int) -> None:
        self.news.append(face.Left(proxy))
        self.sums.forget(proxy, len(self.operations))

    def record(self, proxy: int, stream: str) -> Record:
        """The record of a joined proxy; Refused where it is unknown or the stream is not its present one."""
        record = self.hub.records.get(proxy)
        if record is None or not record.joined:
            raise Refused(404, f"proxy {proxy} is not joined; join first")
        if record.stream != stream:
            raise Refused(409, f"stream {stream[:64]!r} of proxy {proxy} was replaced by a newer one")
        return record

    def ack(self, record: Record, version: int, now: float) -> None:
        self.news += self.hub.ack(record, version, now)

    def report(self, record: Record, report: Report, now: float) -> None:
        """Takes a proxy's report, whole or not at all."""
        try:
            met = [(server_id(each.server), each) for each in report.servers]
        except BadName as error:
            raise Refused(400, str(error)) from None
        for each in report.operations:
            if each.operation not in self.operations:
                raise Refused(400, f"operation {each.operation!r} is none of {', '.join(self.operations)}")
        for each in report.servers:
            if each.errored > each.tries:
                raise Refused(400, f"server {each.server}: {each.errored} of {each.tries} tries cannot have errored")
        fields = len(self.facts.load_fields)
        for server, each in met:
            load = tuple(each.load) if each.load and len(each.load) == fields else None
            self.sums.met(now, record.zone, server, each.tries, each.errored, each.latency, load)
            if self.on_met:
                self.on_met(now, record.zone, server, each.tries, each.errored, each.latency)
            if self.on_answered and each.tries > each.errored:
                self.on_answered(each.server)
        for each in report.operations:
            self.sums.came(now, record.proxy, self.operations[each.operation], each.arrived, each.errored)

    def hear_roster(self, news: RosterNews) -> None:
        self.news.append(self.overlay(self.roster.hear(news)))

    # ---- turns ------------------------------------------------------------------------------------------------

    def next_at(self) -> float:
        """When the next turn is due though nothing comes in."""
        due = min(self.module_at(), self.sums_at)
        leaves = self.hub.channel.next_at()
        return due if leaves is None else min(due, leaves)

    def turn(self, now: float) -> list[Record]:
        """The proxies that have something new."""
        if self.sums_at <= now:
            self.sums_at = max(self.sums_at + self.facts.report_period, now)
            self.news += self.sums.take(now, self.facts.report_period)
        self.hub.apply(self._let_through(self.hear(now)), now)
        return self.hub.release(now)

    def _let_through(self, orders: list) -> list:
        """All orders, or while tables hold still those alone that end lines: of draining and gone servers. The rest
        goes out in its order once tables may change again; the module goes on as if it were still under way."""
        if not self.still():
            orders, self.held_back = self.held_back + orders, []
            return orders
        ends = [order for order in orders if isinstance(order, face.SetLine) and not order.weight]
        ended = {(order.table, order.server) for order in ends}
        self.held_back = [
            order
            for order in self.held_back + orders
            if not (isinstance(order, face.SetLine) and (order.table, order.server) in ended)
        ]
        return ends

    def check_switch(self, facts: face.StartFacts) -> str:
        """Why this instance could not go by these facts, or "". The module is asked as it stands, in a copy."""
        try:
            trial = deepcopy(carried(self.brain, self.facts, facts, self.make))
            orders = trial.handle(self.brain.now, [])
        except CannotCarry as error:
            return str(error)
        except Exception as error:  # a policy that the module cannot bear is refused, whatever it raises
            return f"the module raises under it: {type(error).__name__}: {error}"
        if self.hub.channel.waiting > facts.queue_cap:
            return f"{self.hub.channel.waiting:.0f} lines wait in the channel, and {facts.queue_cap:g} would be allowed"
        ends = [order for order in orders if isinstance(order, face.SetLine) and not order.weight]
        ended = {(order.table, order.server) for order in ends}
        for table, users in self.hub.users.items():
            lines = self.hub.tables.get(table, {})
            if users and lines and all((table, server_id(name)) in ended for name in lines):
                return f"{len(users)} proxies on table {table} would be left without a line"
        return ""

    def switch(self, facts: face.StartFacts, policy: int, now: float) -> None:
        """Goes by other facts from now on, with all that was learnt; call it between two turns."""
        self.brain = carried(self.brain, self.facts, facts, self.make)
        self.facts, self.policy = facts, policy
        self.hub.switch(facts, now)
        self.sums.rate = facts.report_lines_per_second
        self.on_switch(now)

    def note(self, text: str, now: float) -> None:
        super().note(text, now)
        first, _, rest = text.partition(",")
        try:
            server = server_name(bytes.fromhex(first.split()[-1]))
        except (ValueError, IndexError):
            return
        self.why[server] = now, f"{first.split()[0]},{rest}"

    def forget_orders(self) -> None:
        self.held_back = []
        self.hub.restart()

    def what_stands(self) -> list:
        news = [self.overlay(self.roster.told())] if self.roster.version is not None else []
        joined = (record for record in self.hub.records.values() if record.joined)
        return news + [face.Joined(record.zone, False, record.proxy, record.rate) for record in joined]
