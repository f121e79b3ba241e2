"""One instance: hosts the decisions module between incoming messages and published tables. It is all of a supervisor
except the sockets, and deterministic: the same calls at the same times produce the same tables."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.core.hosting import ModuleHost
from driftshed.core.hub import Hub, ProxyRecord, Refused
from driftshed.core.messages import InvalidServerName, Join, Report, RosterUpdate, server_id, server_name
from driftshed.core.migration import CannotMigrate, migrate
from driftshed.core.roster import Roster
from driftshed.core.sums import Sums


class Instance(ModuleHost):
    """Runs the decisions module on joins, reports and roster updates, and publishes its orders. Call `turn(now)` soon
    after any input and when `next_at()` is due. Times are seconds on the caller's clock."""

    def __init__(
        self,
        facts: face.StartFacts,
        seed: int,
        run: str,
        now: float,
        wall_offset: float = 0.0,
        brain: Callable[[face.StartFacts, int, float], Brain] = Brain,
    ) -> None:
        """`run` names this run in versions and streams; `wall_offset` is added to unix times to get times on the
        instance's clock."""
        super().__init__(facts, seed, now, brain)
        self.hub = Hub(facts, run)
        self.roster = Roster(facts, wall_offset)
        self.sums = Sums(facts.report_lines_per_second)
        self.zones = {name: index for index, name in enumerate(facts.zones)}
        self.operations = {operation.name: index for index, operation in enumerate(facts.operations)}
        self.next_sums_at = now + facts.report_period
        self.server_reasons: dict[
            str, tuple[float, str]
        ] = {}  # by server: time and text of the module's last log about it
        self.on_server_answered: Callable[[str], object] | None = None  # called with servers that gave good answers
        # Called with each server report: now, zone of the proxy, server, tries, errored, mean latency of the
        # successful tries.
        self.on_server_report: Callable[[float, int, face.Server, int, int, float | None], object] | None = None
        self.policy = 0  # version of the policy in force; 0: none
        # Whether tables are frozen: only changes that the rules demand are published. Checked before each batch of
        # orders, so that a process that was suspended finds out before it publishes anything.
        self.tables_frozen: Callable[[], bool] = lambda: False
        self.deferred_orders: list = []  # orders issued while tables are frozen
        self.on_switch: Callable[[float], object] = lambda now: None
        # Maps a listing of the roster to the one that the module gets.
        self.overlay: Callable[[face.Listing], face.Listing] = lambda listing: listing

    # ---- input ------------------------------------------------------------------------------------------------

    def join(self, proxy: int, join: Join, now: float) -> tuple[ProxyRecord, bool]:
        """Begins a stream for a proxy. Returns its record and whether an older stream was replaced. Raises Refused for
        an unknown zone, a version that was never sent, or when no more proxies can be kept."""
        if join.zone not in self.zones:
            raise Refused(400, f"zone {join.zone!r} is none of {', '.join(self.zones)}")
        was_joined = proxy in self.hub.records and self.hub.records[proxy].joined
        record, replaced = self.hub.join(proxy, self.zones[join.zone], join.run, join.version)
        if was_joined:
            self._record_departure(proxy)
        record.rate = join.rate
        self.pending_events.append(face.Joined(record.zone, join.fresh, proxy, join.rate))
        return record, replaced

    def leave(self, proxy: int) -> bool:
        """Ends the stream of a proxy. Returns False if it was not joined."""
        if not self.hub.leave(proxy):
            return False
        self._record_departure(proxy)
        return True

    def _record_departure(self, proxy: int) -> None:
        self.pending_events.append(face.Left(proxy))
        self.sums.drop_proxy(proxy, len(self.operations))

    def record(self, proxy: int, stream: str) -> ProxyRecord:
        """Returns the record of a joined proxy. Raises Refused if it is not joined or `stream` is not its current
        one."""
        record = self.hub.records.get(proxy)
        if record is None or not record.joined:
            raise Refused(404, f"proxy {proxy} is not joined; join first")
        if record.stream != stream:
            raise Refused(409, f"stream {stream[:64]!r} of proxy {proxy} was replaced by a newer one")
        return record

    def ack(self, record: ProxyRecord, version: int, now: float) -> None:
        """Handles the acknowledgement of a version: the proxy has applied everything up to it. Raises Refused if it was
        never sent."""
        self.pending_events += self.hub.ack(record, version, now)

    def report(self, record: ProxyRecord, report: Report, now: float) -> None:
        """Accepts a proxy's report completely, or raises Refused and accepts nothing of it."""
        try:
            server_reports = [(server_id(each.server), each) for each in report.servers]
        except InvalidServerName as error:
            raise Refused(400, str(error)) from None
        for each in report.operations:
            if each.operation not in self.operations:
                raise Refused(400, f"operation {each.operation!r} is none of {', '.join(self.operations)}")
        for each in report.servers:
            if each.errored > each.tries:
                raise Refused(400, f"server {each.server}: {each.errored} of {each.tries} tries cannot have errored")
        fields = len(self.facts.load_fields)
        for server, each in server_reports:
            load = tuple(each.load) if each.load and len(each.load) == fields else None
            self.sums.add_server_report(now, record.zone, server, each.tries, each.errored, each.latency, load)
            if self.on_server_report:
                self.on_server_report(now, record.zone, server, each.tries, each.errored, each.latency)
            if self.on_server_answered and each.tries > each.errored:
                self.on_server_answered(each.server)
        for each in report.operations:
            self.sums.add_demand(now, record.proxy, self.operations[each.operation], each.arrived, each.errored)

    def apply_roster_update(self, update: RosterUpdate) -> None:
        """Applies a roster update. Raises Refused, without any change, if it is invalid or does not follow the version
        held."""
        self.pending_events.append(self.overlay(self.roster.apply_update(update)))

    # ---- turns ------------------------------------------------------------------------------------------------

    def next_at(self) -> float:
        """Returns when the next turn is due if no further input arrives."""
        next_due = min(self.module_due_at(), self.next_sums_at)
        channel_due = self.hub.channel.next_at()
        return next_due if channel_due is None else min(next_due, channel_due)

    def turn(self, now: float) -> list[ProxyRecord]:
        """Runs the module if it is due and publishes its orders. Returns the records of the proxies that have new
        changes."""
        if self.next_sums_at <= now:
            self.next_sums_at = max(self.next_sums_at + self.facts.report_period, now)
            self.pending_events += self.sums.release_events(now, self.facts.report_period)
        self.hub.apply(self._publishable_orders(self.run_module(now)), now)
        return self.hub.release(now)

    def _publishable_orders(self, orders: list) -> list:
        """Returns the orders to publish now: all of them, or, while tables are frozen, only those that remove lines (of
        draining and gone servers). The others are published in their order once tables may change again; to the module
        they are still in the channel."""
        if not self.tables_frozen():
            orders, self.deferred_orders = self.deferred_orders + orders, []
            return orders
        removals = [order for order in orders if isinstance(order, face.SetLine) and not order.weight]
        removed_lines = {(order.table, order.server) for order in removals}
        self.deferred_orders = [
            order
            for order in self.deferred_orders + orders
            if not (isinstance(order, face.SetLine) and (order.table, order.server) in removed_lines)
        ]
        return removals

    def check_switch(self, facts: face.StartFacts) -> str:
        """Returns why this instance cannot switch to these facts, or "" if it can. Tries the switch on a copy of the
        module."""
        try:
            trial = deepcopy(migrate(self.brain, self.facts, facts, self.make_brain))
            orders = trial.handle(self.brain.now, [])
        except CannotMigrate as error:
            return str(error)
        except Exception as error:  # a policy under which the module raises is refused, whatever the exception
            return f"the module raises under it: {type(error).__name__}: {error}"
        if self.hub.channel.waiting > facts.queue_cap:
            return f"{self.hub.channel.waiting:.0f} lines wait in the channel, and {facts.queue_cap:g} would be allowed"
        removals = [order for order in orders if isinstance(order, face.SetLine) and not order.weight]
        removed_lines = {(order.table, order.server) for order in removals}
        for table, users in self.hub.users.items():
            lines = self.hub.tables.get(table, {})
            if users and lines and all((table, server_id(name)) in removed_lines for name in lines):
                return f"{len(users)} proxies on table {table} would be left without a line"
        return ""

    def switch(self, facts: face.StartFacts, policy: int, now: float) -> None:
        """Switches to other facts and keeps all learnt state. Call between two turns. Raises CannotMigrate if the facts
        differ in what an instance is built on."""
        self.brain = migrate(self.brain, self.facts, facts, self.make_brain)
        self.facts, self.policy = facts, policy
        self.hub.switch(facts, now)
        self.sums.lines_per_second = facts.report_lines_per_second
        self.on_switch(now)

    def handle_log(self, text: str, now: float) -> None:
        """Passes on a log text of the module, and keeps it as the reason for a server if it names one."""
        super().handle_log(text, now)
        first, _, rest = text.partition(",")
        try:
            server = server_name(bytes.fromhex(first.split()[-1]))
        except (ValueError, IndexError):
            return
        self.server_reasons[server] = now, f"{first.split()[0]},{rest}"

    def discard_orders(self) -> None:
        """Discards the orders of the previous module, both deferred and published ones."""
        self.deferred_orders = []
        self.hub.restart()

    def current_state_events(self) -> list:
        """Returns the events that give a new module the current roster and the joined proxies."""
        events = [self.overlay(self.roster.snapshot())] if self.roster.version is not None else []
        joined = (record for record in self.hub.records.values() if record.joined)
        return events + [face.Joined(record.zone, False, record.proxy, record.rate) for record in joined]
