"""Plays the drawn troubles on a fleet: what happens to its servers, clients, proxies, supervisors and their network."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from driftshed.standins.platform.call_faults import CallFault
from driftshed.standins.platform.servers import FleetServer
from driftshed.standins.platform.troubles import Trouble

if TYPE_CHECKING:
    from driftshed.standins.platform.fleet import Fleet
    from driftshed.standins.platform.seat import Seat

NOTICED_S = (0.68, 4.2)  # from the end of a server's process until the list can tell it
NEIGHBOUR_SPELL_S = (1.0, 5.0)  # for which a neighbour is on or off
RESTART_SPREAD_S = 3.0  # between supervisors that restart in turn
STALL_INTERVAL_S = (4.0, 10.0)
REPLACED_SHARE_AT_A_TIME = 0.1  # of the servers
CALL_FAULTS = {
    "broken calls": CallFault.BREAK,
    "silent calls": CallFault.SILENCE,
    "unreadable answers": CallFault.UNREADABLE,
    "throttled calls": CallFault.THROTTLE,
}


class FleetTroubles:
    """Schedules the troubles of a plan on a fleet."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Draws what the plan leaves open by the seed."""
        self.fleet, self.timers, self.random = fleet, fleet.timers, Random(f"troubles {seed}")
        self.handlers: dict[str, Callable[[Trouble], None]] = {
            "slow machines": self._slow_machines,
            "hanging servers": self._hanging_servers,
            "failing servers": self._failing_servers,
            "noisy neighbours": self._noisy_neighbours,
            "slow dependency": self._slow_dependency,
            "crashed servers": self._crashed_servers,
            "replaced servers": self._replaced_servers,
            "smaller fleet": self._smaller_fleet,
            "lost zone": self._lost_zone,
            "partitioned zone": self._partitioned_zone,
            "silent servers": self._silent_servers,
            "burst": self._burst,
            "shifted traffic": self._shifted_traffic,
            "impatient clients": self._impatient_clients,
            "proxies without a supervisor": self._proxies_without_a_supervisor,
            "restarted proxies": self._restarted_proxies,
            "killed supervisors": self._killed_supervisors,
            "restarted supervisors": self._restarted_supervisors,
            "stalled supervisors": self._stalled_supervisors,
            "late news": self._late_news,
            "silent lists": self._silent_lists,
            "late lists": self._late_lists,
            "slow channels": self._slow_channels,
            "late reports": self._late_reports,
            "lost reports": self._lost_reports,
        }
        self.handlers |= dict.fromkeys(CALL_FAULTS, self._call_faults)

    def begin(self) -> None:
        """Schedules all troubles of the plan."""
        for trouble in self.fleet.plan.troubles:
            handler = self.handlers.get(trouble.kind, self._at_the_ports)
            self.timers.at(trouble.at, lambda handler=handler, trouble=trouble: handler(trouble))

    def _for_a_while(self, trouble: Trouble, begin: Callable[[], object], end: Callable[[], object]) -> None:
        begin()
        self.timers.after(trouble.lasts, end)

    def _draw_servers(self, part: float) -> list[FleetServer]:
        servers = list(self.fleet.servers.values())
        return self.random.sample(servers, max(1, round(part * len(servers))))

    # ---- servers ----------------------------------------------------------------------------------------------

    def _change_pace(self, trouble: Trouble, servers: list[FleetServer], pace: float) -> None:
        for server in servers:
            server.slow_down(trouble.kind, pace)
            self.timers.after(trouble.lasts, lambda server=server: server.slow_down(trouble.kind, 1.0))

    def _slow_machines(self, trouble: Trouble) -> None:
        self._change_pace(trouble, self._draw_servers(trouble.part), 1 / trouble.size)

    def _slow_dependency(self, trouble: Trouble) -> None:
        self._change_pace(trouble, list(self.fleet.servers.values()), 1 / trouble.size)

    def _noisy_neighbours(self, trouble: Trouble) -> None:
        ends_at = self.timers.clock() + trouble.lasts
        for server in self._draw_servers(trouble.part):
            self._neighbour_spell(server, 1 - trouble.size, ends_at)

    def _neighbour_spell(self, server: FleetServer, pace: float, ends_at: float) -> None:
        over = self.timers.clock() >= ends_at
        is_on = server.paces.get("noisy neighbours", 1.0) < 1
        server.slow_down("noisy neighbours", 1.0 if over or is_on else pace)
        if not over or is_on:
            spell = self.random.uniform(*NEIGHBOUR_SPELL_S)
            self.timers.after(spell, lambda: self._neighbour_spell(server, pace, ends_at))

    def _hanging_servers(self, trouble: Trouble) -> None:
        for server in self._draw_servers(trouble.part):
            self._for_a_while(trouble, server.hang, server.resume)

    def _silent_servers(self, trouble: Trouble) -> None:
        for server in self._draw_servers(trouble.part):
            self._for_a_while(trouble, server.cut_off, server.reconnect)

    def _failing_servers(self, trouble: Trouble) -> None:
        for server in self._draw_servers(trouble.part):
            server.error_share = trouble.size
            self.timers.after(trouble.lasts, lambda server=server: setattr(server, "error_share", 0.0))

    def _crashed_servers(self, trouble: Trouble) -> None:
        for server in self._draw_servers(trouble.part):
            self._crash(server, trouble.lasts)

    def _lost_zone(self, trouble: Trouble) -> None:
        zone = self.random.randrange(len(self.fleet.facts.zones))
        for server in [each for each in self.fleet.servers.values() if each.zone == zone]:
            self._crash(server, trouble.lasts)

    def _crash(self, server: FleetServer, away_for: float) -> None:
        if self.fleet.busy_until[server.name] <= self.timers.clock():
            self.fleet.crash(server, away_for, self.random.uniform(*NOTICED_S))

    def _smaller_fleet(self, trouble: Trouble) -> None:
        for server in self._draw_servers(trouble.part):
            if self.fleet.busy_until[server.name] <= self.timers.clock():
                self.fleet.drain(server, trouble.size, trouble.lasts)

    def _replaced_servers(self, trouble: Trouble) -> None:
        servers = self._draw_servers(trouble.part)
        batch = max(1, round(REPLACED_SHARE_AT_A_TIME * len(self.fleet.servers)))
        batches = [servers[k : k + batch] for k in range(0, len(servers), batch)]
        for number, rows in enumerate(batches):
            self.timers.after(
                number * trouble.lasts / len(batches),
                lambda rows=rows: [self.fleet.replace(server, trouble.size) for server in rows],
            )

    def _partitioned_zone(self, trouble: Trouble) -> None:
        zone = self.random.randrange(len(self.fleet.facts.zones))
        self._for_a_while(
            trouble,
            lambda: self.fleet.partition(zone),
            lambda: self.fleet.partition(None),
        )

    # ---- clients ----------------------------------------------------------------------------------------------

    def _burst(self, trouble: Trouble) -> None:
        self.fleet.request_rate *= trouble.size
        self._scale_proxies(self.fleet.proxies, trouble.size)

        def over() -> None:
            self.fleet.request_rate /= trouble.size
            self._scale_proxies(self.fleet.proxies, 1 / trouble.size)

        self.timers.after(trouble.lasts, over)

    def _shifted_traffic(self, trouble: Trouble) -> None:
        zone = self.random.randrange(len(self.fleet.facts.zones))
        proxies = [proxy for proxy in self.fleet.proxies if proxy.zone == zone]
        self._scale_proxies(proxies, trouble.size)
        self.timers.after(trouble.lasts, lambda: self._scale_proxies(proxies, 1 / trouble.size))

    def _scale_proxies(self, proxies: list, factor: float) -> None:
        for proxy in proxies:
            proxy.rate *= factor
        self.fleet.rates_changed()

    def _impatient_clients(self, trouble: Trouble) -> None:
        self._for_a_while(
            trouble,
            lambda: setattr(self.fleet, "patience", trouble.size),
            lambda: setattr(self.fleet, "patience", 1.0),
        )

    # ---- proxies and supervisors ------------------------------------------------------------------------------

    def _proxies_without_a_supervisor(self, trouble: Trouble) -> None:
        joined = [proxy for proxy in self.fleet.proxies if proxy.joined]
        self.fleet.break_streams(joined, round(trouble.part * len(self.fleet.proxies)), away=trouble.lasts)

    def _restarted_proxies(self, trouble: Trouble) -> None:
        self.fleet.restart_proxies(round(trouble.part * len(self.fleet.proxies)))

    def _killed_supervisors(self, trouble: Trouble) -> None:
        alive = [seat for seat in self.fleet.seats if seat.alive]
        for seat in self.random.sample(alive, min(int(trouble.size), len(alive) - 1)):
            self.fleet.kill(seat, trouble.lasts)

    def _restarted_supervisors(self, trouble: Trouble) -> None:
        for number, seat in enumerate(self.fleet.seats):
            self.timers.after(
                number * (trouble.lasts + RESTART_SPREAD_S), lambda seat=seat: self._restart(seat, trouble)
            )

    def _restart(self, seat: Seat, trouble: Trouble) -> None:
        if seat.alive:
            self.fleet.terminate(seat, trouble.lasts)

    def _stalled_supervisors(self, trouble: Trouble) -> None:
        ends_at = self.timers.clock() + trouble.lasts
        for seat in self.fleet.seats:
            self._stall_later(seat, trouble.size, ends_at)

    def _stall_later(self, seat: Seat, seconds: float, ends_at: float) -> None:
        if self.timers.clock() >= ends_at:
            return
        if seat.alive:
            seat.port.stall(seconds)
        self.timers.after(self.random.uniform(*STALL_INTERVAL_S), lambda: self._stall_later(seat, seconds, ends_at))

    # ---- the network of supervisors ---------------------------------------------------------------------------

    def _call_faults(self, trouble: Trouble) -> None:
        fault = CALL_FAULTS[trouble.kind]
        for seat in self.fleet.seats:
            self._for_a_while(
                trouble,
                lambda seat=seat: seat.call_faults.rates.update({fault: trouble.size}),
                lambda seat=seat: seat.call_faults.rates.update({fault: 0.0}),
            )

    def _set_for_a_while(self, trouble: Trouble, field: str, value: float, usual: float) -> None:
        for seat in self.fleet.seats:
            self._for_a_while(
                trouble,
                lambda seat=seat: setattr(seat, field, value),
                lambda seat=seat: setattr(seat, field, usual),
            )

    def _late_news(self, trouble: Trouble) -> None:
        self._set_for_a_while(trouble, "news_delay", trouble.size, 0.0)

    def _late_lists(self, trouble: Trouble) -> None:
        self._set_for_a_while(trouble, "list_delay", trouble.size, 0.0)

    def _late_reports(self, trouble: Trouble) -> None:
        self._set_for_a_while(trouble, "report_delay", trouble.size, self.fleet.plan.report_delay)

    def _silent_lists(self, trouble: Trouble) -> None:
        for seat in self.fleet.seats:
            seat.list_silent_until = self.timers.clock() + trouble.lasts

    def _slow_channels(self, trouble: Trouble) -> None:
        for seat in self.fleet.seats:
            self._for_a_while(
                trouble,
                lambda seat=seat: seat.relay.slow_down(trouble.size),
                lambda seat=seat: seat.relay.slow_down(1.0),
            )

    def _lost_reports(self, trouble: Trouble) -> None:
        zone = self.random.randrange(len(self.fleet.facts.zones))
        self._for_a_while(
            trouble,
            lambda: self.fleet.lost_reports.update({zone: trouble.size}),
            self.fleet.lost_reports.clear,
        )

    def _at_the_ports(self, trouble: Trouble) -> None:
        for seat in self.fleet.seats:
            if seat.alive:
                seat.port.play(trouble, Random(f"{trouble} {seat.number}"))
