"""Which joined proxies may still send to servers that have left, by the orders sent and the answers received."""

from __future__ import annotations

from typing import NamedTuple

from driftshed import interface as face
from driftshed.brain import Brain

REMEMBERED_FOR_S = 30.0  # after a server has left, a proxy that joins is taken to hold it
MAX_REMEMBERED = 64  # servers that have left lately
MAX_ROUNDS = 1024  # marks whose answers are told apart


class Hold(NamedTuple):
    """A proxy that may send to a server that has left. Times are those of the supervisor's clock."""

    server: face.Server
    proxy: int
    told_at: float  # when the supervisor was told that the server has left
    since: float  # the same, or when the proxy joined if that is later
    round: int | None  # the round of orders that ends it; None: not ordered yet
    ordered_at: float | None


class Release(NamedTuple):
    """The end of a hold, after so many seconds."""

    hold: Hold
    seconds: float


class DrainMonitor:
    """Follows the events and orders of one decisions module.

    A hold lasts from the moment at which the supervisor was told that a server has left, or at which the proxy joined,
    to the answer to the order that takes the server away from the proxy."""

    def __init__(self) -> None:
        """No server has left."""
        self.left_at: dict[face.Server, float] = {}  # the longest gone first
        self.holds: dict[int, dict[face.Server, Hold]] = {}  # by proxy
        self.longest_to_order = 0.0  # seconds of a hold until the order that ends it was given
        self.round = 0
        self.round_of_mark: dict[int, int] = {}

    def turn(self, now: float, brain: Brain, events: list, orders: list) -> list[Release]:
        """Follows one turn of the module. Returns the holds that have ended."""
        released = [release for event in events for release in self._follow_event(now, brain, event, orders)]
        self._follow_orders(now, brain, orders)
        return released

    def module_replaced(self) -> None:
        """A new module has ordered nothing yet: what the old one ordered is not answered for."""
        self.round_of_mark.clear()
        for rows in self.holds.values():
            for server, hold in rows.items():
                rows[server] = hold._replace(round=None, ordered_at=None)

    def lasting(self) -> list[Hold]:
        """The longest hold of each proxy that has not ended."""
        return [min(rows.values(), key=lambda hold: hold.since) for rows in self.holds.values() if rows]

    # ---- events -----------------------------------------------------------------------------------------------

    def _follow_event(self, now: float, brain: Brain, event: object, orders: list) -> list[Release]:
        if isinstance(event, face.Applied):
            return self._end_answered(now, event)
        if isinstance(event, face.Listing):
            return self._follow_list(now, brain, event, orders)
        if isinstance(event, face.Left):
            self.holds.pop(event.proxy, None)
        elif isinstance(event, face.Joined):
            self._follow_join(now, event)
        return []

    def _follow_join(self, now: float, joined: face.Joined) -> None:
        recent = (server for server, at in self.left_at.items() if at > now - REMEMBERED_FOR_S)
        self.holds[joined.proxy] = {
            server: Hold(server, joined.proxy, self.left_at[server], now, None, None) for server in recent
        }

    def _follow_list(self, now: float, brain: Brain, listing: face.Listing, orders: list) -> list[Release]:
        released = []
        for entry in listing.entries:
            if entry.state == face.READY:
                released += self._server_returned(now, entry.server)
            elif entry.server in brain.slot_of and entry.server not in self.left_at:
                self._server_left(now, brain, entry.server, orders)
        return released

    def _server_returned(self, now: float, server: face.Server) -> list[Release]:
        if self.left_at.pop(server, None) is None:
            return []
        ended = [rows.pop(server) for rows in self.holds.values() if server in rows]
        return [Release(hold, now - hold.since) for hold in ended if hold.round is None]

    def _server_left(self, now: float, brain: Brain, server: face.Server, orders: list) -> None:
        self.left_at[server] = now
        if len(self.left_at) > MAX_REMEMBERED:
            del self.left_at[next(iter(self.left_at))]
        slot = brain.slot_of[server]
        was_removed = any(isinstance(order, face.SetLine) and order.server == server for order in orders)
        was_line = bool(brain.line_weight[slot]) or was_removed
        was_withdrawn = brain.withdrawn[slot] and brain.withdrawal_sent[slot] < now
        for proxy in brain.proxy_zone:
            holds_line = was_line and not was_withdrawn and brain.held_part.get(proxy) == brain.part[slot]
            if holds_line or proxy in brain.waiting_since:
                self.holds.setdefault(proxy, {})[server] = Hold(server, proxy, now, now, None, None)

    def _end_answered(self, now: float, applied: face.Applied) -> list[Release]:
        answered_round = self.round_of_mark.get(applied.mark)
        rows = self.holds.get(applied.proxy)
        if answered_round is None or not rows:
            return []
        ended = [hold for hold in rows.values() if hold.round is not None and hold.round <= answered_round]
        for hold in ended:
            del rows[hold.server]
        return [Release(hold, now - hold.since) for hold in ended]

    # ---- orders -----------------------------------------------------------------------------------------------

    def _follow_orders(self, now: float, brain: Brain, orders: list) -> None:
        mark = next((order.mark for order in orders if isinstance(order, face.Mark)), None)
        if mark is None:
            return
        self.round += 1
        self.round_of_mark.pop(mark, None)
        self.round_of_mark[mark] = self.round
        if len(self.round_of_mark) > MAX_ROUNDS:
            del self.round_of_mark[next(iter(self.round_of_mark))]
        for order in orders:
            if isinstance(order, face.UseTable):
                self._order_table(now, brain, order)
            elif isinstance(order, face.Withdraw) and order.on:
                self._order(now, order.server, self.holds)
            elif isinstance(order, face.SetLine) and not order.weight and order.server in self.left_at:
                holders = [proxy for proxy in self.holds if brain.held_part.get(proxy) == order.table]
                self._order(now, order.server, [p for p in holders if p not in brain.waiting_since])

    def _order(self, now: float, server: face.Server, proxies) -> None:
        for proxy in proxies:
            hold = self.holds[proxy].get(server)
            if hold is not None and hold.round is None:
                self.holds[proxy][server] = hold._replace(round=self.round, ordered_at=now)
                self.longest_to_order = max(self.longest_to_order, now - hold.since)

    def _order_table(self, now: float, brain: Brain, order: face.UseTable) -> None:
        for server in list(self.holds.get(order.proxy, ())):
            slot = brain.slot_of.get(server)
            is_in_table = slot is not None and brain.part[slot] == order.table and brain.weight_in_force(slot)
            if not is_in_table:
                self._order(now, server, [order.proxy])
