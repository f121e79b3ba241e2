"""Supervisors in virtual time: the host of the decisions module with its queue of orders, without sockets."""

from __future__ import annotations

from random import Random

import msgspec

from driftshed import interface as face
from driftshed.lab.virtual import Seat as VirtualSeat
from driftshed.lab.virtual import VirtualLoop
from driftshed.net.loop import Timers
from driftshed.node.config import SupervisorOptions
from driftshed.node.rule_margins import RuleMargins
from driftshed.node.service import SupervisorHost
from driftshed.standins.platform.call_faults import CallFault
from driftshed.standins.platform.fleet import Fleet
from driftshed.standins.platform.plans import NEWS_LAG_BEFORE_RELOAD_S, RELOAD_AT_S, Plan
from driftshed.standins.platform.seat import Seat
from driftshed.standins.platform.troubles import Trouble

MARGINS_INTERVAL_S = 1.0  # between two looks at how near the rules are to breaking
CALL_S = 0.002  # from a call to the relay to its answer
SILENT_CALL_S = 0.1  # until a call without an answer is given up
RECONNECT_S = 0.003  # from the end of the connection for calls until another is up


class VirtualSupervisor:
    """A supervisor of a play in virtual time."""

    def __init__(self, timers: Timers, options: SupervisorOptions, seat: Seat, unix_offset: float) -> None:
        """Starts with the list of its agent."""
        self.timers, self.options, self.seat, self.unix_offset = timers, options, seat, unix_offset
        self.host: SupervisorHost | None = None
        self.margins: list[RuleMargins] = []  # of each start
        self.longest_open_drain = 0.0  # seconds for which a drain had lasted at an end
        self.stalled_until = self.reconnected_at = 0.0
        self.revive()

    def revive(self) -> None:
        """Starts from nothing."""
        now = self.timers.clock()
        self.options = self.options._replace(seed=self.options.seed + 1000)
        self.host = SupervisorHost(self.options, now, now + self.unix_offset)
        self.host.on_fault = self._raise
        self.host.orders.connection_opened()
        self.host.add_events(self.host.roster.apply(self.seat.agent.full_list(), face.CACHED))
        for proxy in self.seat.relay.proxies.values():
            self.notify("SUBSCRIBE", self.seat.relay.subscription(proxy))
        self.due_at = float("inf")
        self.margins.append(self.host.margins)
        self._watch_margins(self.host)
        self._turn()

    def _watch_margins(self, host: SupervisorHost) -> None:
        if self.host is host:
            host.margins.second(self.timers.clock(), host.brain)
            self.timers.after(MARGINS_INTERVAL_S, lambda: self._watch_margins(host))

    def kill(self) -> None:
        """Ends at once."""
        self.note_open_drain()
        self.host = None

    def note_open_drain(self) -> None:
        """Notes for how long the longest drain has lasted that has not ended."""
        if self.host is not None and (row := self.host.margins.open_drain(self.timers.clock())):
            self.longest_open_drain = max(self.longest_open_drain, row[0])

    def terminate(self) -> None:
        """Ends at once."""
        self.kill()

    def stall(self, seconds: float) -> None:
        """Does nothing for so long; what comes meanwhile is handled then."""
        self.stalled_until = self.timers.clock() + seconds

    def play(self, trouble: Trouble, random: Random) -> None:
        """Changes nothing: there are no connections."""

    def _raise(self, fault: object) -> None:
        raise RuntimeError(repr(fault)[:2000])

    def notify(self, method: str, params: dict) -> None:
        """Passes on a notification of the relay."""
        if self.host is None:
            return
        event = self.host.codec.decode_notification(method, msgspec.Raw(msgspec.json.encode(params)))
        if isinstance(event, face.Joined):
            self.host.join_state.joined[event.proxy] = event
        elif isinstance(event, face.Left):
            self.host.join_state.joined.pop(event.proxy, None)
        self._add([event])

    def list_changed(self, document: dict) -> None:
        """Passes on a change of the list."""
        if self.host is not None:
            self._add(self.host.roster.apply(document))

    def report(self, events: list) -> None:
        """Passes on reports."""
        if self.host is not None:
            self._add(events)

    def reload(self) -> None:
        """Its calls change to another connection, and the news of the new one is in time."""
        self.reconnected_at = self.timers.clock() + RECONNECT_S
        self.seat.news_delay = 0.0

    def _add(self, events: list) -> None:
        self.host.add_events(events)
        self._schedule(self.timers.clock())

    def _schedule(self, at: float) -> None:
        if at < self.due_at:
            self.due_at = at
            self.timers.at(at, lambda: self._turn() if self.due_at == at else None)

    def _turn(self) -> None:
        if self.host is None:
            return
        now = self.timers.clock()
        self.due_at = float("inf")
        if now < self.stalled_until:
            self._schedule(self.stalled_until)
            return
        self.host.run_turn(now)
        if now < self.reconnected_at:
            self._schedule(self.reconnected_at)
            return
        call = self.host.next_call(now)
        if call is not None:
            operations = msgspec.json.decode(call)["params"]["ops"]
            host = self.host
            self.timers.after(CALL_S, lambda: self._carry_out(operations) if self.host is host else None)
        elif not self.host.orders.waiting:
            self._schedule(max(now + 1e-3, self.host.module_due_at()))
        elif self.host.orders.sent_at is None:
            self._schedule(max(now + 1e-3, self.host.orders.not_before))

    def _carry_out(self, operations: list[dict]) -> None:
        fault, carried_out = self.seat.call_faults.draw()
        self.seat.call_failed(fault)
        accepted = self.seat.relay.apply(operations) if carried_out else 0
        request_id, host = self.host.orders.request_id, self.host
        seconds = max(0.0, self.stalled_until - self.timers.clock())
        if fault is CallFault.NONE:
            answer = {"jsonrpc": "2.0", "id": request_id, "result": {"accepted": accepted}}
        elif fault is CallFault.THROTTLE:
            answer = {"jsonrpc": "2.0", "id": request_id, "error": {"code": -32000, "message": "Throttling"}}
        else:
            seconds = max(seconds, RECONNECT_S + (SILENT_CALL_S if fault is CallFault.SILENCE else 0.0))
            answer = None
        if seconds:
            self.timers.after(seconds, lambda: self._answered(answer) if self.host is host else None)
        else:
            self._answered(answer)

    def _answered(self, answer: dict | None) -> None:
        now = self.timers.clock()
        if answer is None:
            self.host.orders_connection_lost(now)
            self.host.orders.connection_opened()
        else:
            self.host.orders.feed(msgspec.json.encode(answer) + b"\n", now)
        self._turn()


def play(options: SupervisorOptions, seed: int, seconds: float, plan: Plan | None = None) -> Fleet:
    """Plays a seed in virtual time. Without a plan the seed draws it."""
    loop = VirtualLoop()
    timers = VirtualSeat(loop, "fleet")
    fleet = Fleet(timers, options.facts, seed, unix_offset=1.75e9, plan=plan)
    for seat in fleet.seats:
        seat.connect(VirtualSupervisor(timers, options._replace(seed=seed * 8 + seat.number), seat, 1.75e9))
    fleet.begin()
    for seat in fleet.seats:
        lag_from = RELOAD_AT_S - NEWS_LAG_BEFORE_RELOAD_S
        timers.at(lag_from, lambda seat=seat: setattr(seat, "news_delay", max(seat.news_delay, fleet.plan.news_lag)))
    loop.run(seconds)
    fleet.check_caps()
    return fleet
