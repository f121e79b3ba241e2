"""A fleet on the platform: supervisors, proxies and servers with seeded troubles, and the judge of the rules.

The supervisors are reached through ports, so that the same play runs against real processes and in virtual time."""

from __future__ import annotations

from collections import Counter, deque
from itertools import accumulate
from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.loop import Timers
from driftshed.standins.platform.discovery import listed_entry
from driftshed.standins.platform.fleet_troubles import FleetTroubles
from driftshed.standins.platform.plans import FIRST_BREAK_AT_S, RELOAD_AT_S, Plan, draw_plan
from driftshed.standins.platform.proxies import UNLIMITED, FleetProxy, Request
from driftshed.standins.platform.seat import Seat
from driftshed.standins.platform.servers import ColdLoad, ColdLoadJudge, FleetServer, Outcome

SUPERVISORS, PROXIES, SERVERS = 3, 240, 30
STANDING_LINES = 5
KIND_SPEEDS = ((0.85, 1.1), (0.51, 0.69))  # of the two kinds of servers, before each machine's own deviation
SLOWEST = 0.5  # of the usual speed of its kind
MEAN_WORK_S = (0.0875, 0.058)  # of a request, by operation
WORK_DEVIATION = 0.6  # of the logarithm of a request's work
OPERATION_SHARES = (0.8, 0.2)
CLIENT_BACKOFF_S = (0.015, 0.12)
LIST_SPREAD_S = (0.05, 0.39)  # until an agent has a change of the list
START_LISTED_S = (0.2, 2.4)  # from a start until it can be listed
DRAINS_FOR_S, AWAY_FOR_S, CRASHED_FOR_S = 9.1, 0.95, (0.5, 1.5)
Span = tuple[float, float]  # seconds, to draw from
SILENCE_SPREAD_S = 0.5  # between proxies that notice the same silence
NOTICED_CRASH_S = (0.0, 0.05)  # until the end of a stream whose other side has crashed is noticed
NOTICE_S, REDIAL_S = (0.31, 1.9), (0.33, 2.4)  # until a broken stream is noticed, and until the proxy joins again
FIRST_RESTART_AT_S = 3.3
RULE_SLACK_S = 0.3  # by which the rules' time limits are longer on sockets
RULES_BEGIN_S = 1.0  # after the start of a supervisor
SAMPLE_INTERVAL_S = 0.1


class Break(NamedTuple):
    """A broken rule."""

    rule: str
    at: float
    text: str


class Fleet:
    """Plays the troubles of a seed. `timers.clock()` is 0 at the start of the play; times are seconds."""

    def __init__(
        self, timers: Timers, facts: face.StartFacts, seed: int, unix_offset: float, plan: Plan | None = None
    ) -> None:
        """`unix_offset` is added to the clock to get unix times. Without a plan the seed draws it."""
        self.timers, self.facts, self.seed, self.unix_offset = timers, facts, seed, unix_offset
        self.plan, self.random = plan or draw_plan(seed), Random(f"fleet {seed}")
        self.partitioned_zone: int | None = None  # that cannot reach the others, nor they it
        self.patience = 1.0  # of the time that clients usually wait
        self.lost_reports: dict[int, float] = {}  # by zone: share of its reports
        self.mean_work = sum(w * share for w, share in zip(MEAN_WORK_S, OPERATION_SHARES, strict=True))
        self.servers: dict[str, FleetServer] = {}
        self._make_servers()
        entries = [listed_entry(server, face.READY, unix_offset) for server in self.servers.values()]
        self.seats = [Seat(k, timers, facts, entries, seed) for k in range(SUPERVISORS)]
        total_capacity = sum(server.capacity(0.0) for server in self.servers.values())
        self.request_rate = self.plan.load * total_capacity / self.mean_work
        self.proxies = self._make_proxies()
        self.troubles = FleetTroubles(self, seed)
        self.list_queue: list[tuple[float, FleetServer, int]] = []
        self.busy_until: dict[str, float] = dict.fromkeys(self.servers, 0.0)
        self.worst = ColdLoad(0.0, "", 0.0, 0.0)  # of informed work, by the tries
        self.worst_expected = ColdLoad(0.0, "", 0.0, 0.0)  # the same by the tables that proxies hold
        self.expected: dict[str, deque] = {name: deque() for name in self.servers}
        self.latest_send = 0.0  # seconds that a proxy went on sending to what drains or is gone
        self.longest_unbound = (0.0, 0, 0.0)  # seconds that a joined proxy had no table, its number, and when
        self.breaks: list[Break] = []
        self.outcomes: Counter[str] = Counter()

    def _make_servers(self) -> None:
        for number in range(SERVERS):
            kind = number // 2 % 2
            speed = self.random.uniform(*KIND_SPEEDS[kind]) * max(SLOWEST, self.random.gauss(1.0, 0.2))
            self._make_server(number, number % 2, kind, speed)

    def _make_server(self, number: int, zone: int, kind: int, speed: float) -> FleetServer:
        server = FleetServer(self.timers, self.facts, f"s-{number:08x}", zone, kind, speed)
        server.judge = ColdLoadJudge(self.facts, self.mean_work)
        server.on_overload = lambda load: self._judge_load(server, load)
        self.servers[server.name] = server
        return server

    def _make_proxies(self) -> list[FleetProxy]:
        proxies = []
        for number in range(PROXIES):
            share = self.random.uniform(0.5, 1.5) / PROXIES
            proxy = FleetProxy(
                self.timers, self.facts, number, share * self.request_rate, Random(f"proxy {self.seed} {number}")
            )
            proxy.servers, proxy.supervisor = self.servers, number * SUPERVISORS // PROXIES
            near = [server.name for server in self.servers.values() if server.zone == proxy.zone]
            proxy.lines = dict.fromkeys(self.random.sample(near, STANDING_LINES), 1.0)
            proxy.is_reachable = self._is_reachable
            proxy.on_try, proxy.on_outcome, proxy.on_request = self._judge_try, self._count_try, self._end_request
            proxies.append(proxy)
        return proxies

    # ---- the play ---------------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Schedules all that happens."""
        for proxy in self.proxies:
            self.timers.after(self.random.uniform(0.0, 0.4), lambda proxy=proxy: self.join(proxy))
        self.next_request_at = self.timers.clock()
        self.rates_changed()
        self._request_later()
        self.timers.after(self.plan.list_period, self._publish)
        self.timers.after(self.facts.report_period, self._report)
        self.timers.after(SAMPLE_INTERVAL_S, self._sample)
        self.timers.at(FIRST_BREAK_AT_S, lambda: self.break_streams(self._joined_at(0), self.plan.first_break))
        self.timers.at(FIRST_RESTART_AT_S, self._restart_next)
        self.timers.at(FIRST_BREAK_AT_S, self._break_next_stream)
        crowd_seat = self.random.randrange(SUPERVISORS)
        self.timers.at(
            self.plan.crowd_at, lambda: self.break_streams(self._joined_at(crowd_seat), self.plan.crowd, crowd_seat)
        )
        self.timers.at(self.plan.crowd_at, lambda: self.restart_proxies(self.plan.proxies_restarted))
        if self.plan.cut_off_at is not None:
            self.timers.at(self.plan.cut_off_at, lambda: self._cut_off(self.random.randrange(SUPERVISORS)))
        self.timers.at(RELOAD_AT_S, self._reload)
        if self.plan.supervisor_restart_at is not None:
            killed = self.random.choice(self.seats)
            self.timers.at(self.plan.supervisor_restart_at, lambda: self.kill(killed, self.plan.supervisor_away))
        for name in self.random.sample(sorted(self.servers), self.plan.sick):
            sick_at = self.random.uniform(5.0, 30.0)
            share = self.random.uniform(0.3, 0.8)
            self.timers.at(sick_at, lambda name=name, share=share: setattr(self.servers[name], "error_share", share))
            self.timers.at(sick_at + 15.0, lambda name=name: setattr(self.servers[name], "error_share", 0.0))
        for name in self.random.sample(sorted(self.servers), self.plan.slow):
            server = self.servers[name]
            self.timers.at(self.plan.slow_at, lambda server=server: server.slow_down("slow", self.plan.slow_pace))
            self.timers.at(self.plan.slow_at + self.plan.slow_for, lambda server=server: server.slow_down("slow", 1.0))
        for seat in self.seats:
            seat.report_delay = self.plan.report_delay
        self.troubles.begin()

    def _reload(self) -> None:
        for seat in self.seats:
            if seat.alive:
                seat.port.reload()

    def kill(self, seat: Seat, away_for: float) -> None:
        """A supervisor ends at once, and starts again so many seconds later."""
        seat.port.kill()
        self._supervisor_ended(seat, away_for)

    def terminate(self, seat: Seat, away_for: float) -> None:
        """A supervisor ends by a planned restart, and starts again so many seconds later."""
        seat.port.terminate()
        self._supervisor_ended(seat, away_for)

    def _supervisor_ended(self, seat: Seat, away_for: float) -> None:
        seat.alive = False
        self.break_streams(self._joined_at(seat.number), PROXIES, seat.number, NOTICED_CRASH_S)
        seat.relay.forget_supervisor()
        self.timers.after(away_for, lambda: self._revive(seat))

    def _revive(self, seat: Seat) -> None:
        seat.alive = True
        seat.started_at = self.timers.clock()
        seat.port.revive()

    def rates_changed(self) -> None:
        """Requests come to proxies by their present rates from now on."""
        self.rate_sums = list(accumulate(each.rate for each in self.proxies))

    def _request_later(self) -> None:
        # By the time that it was due, so that a late call does not thin out the requests.
        self.next_request_at += self.random.expovariate(self.request_rate)
        self.timers.at(self.next_request_at, self._request)

    def _request(self) -> None:
        self._request_later()
        proxy = self.random.choices(self.proxies, cum_weights=self.rate_sums)[0]
        operation = self.random.choices(range(len(OPERATION_SHARES)), OPERATION_SHARES)[0]
        deadline = self.patience * self.facts.operations[operation].integration_timeout
        mean_log = -(WORK_DEVIATION**2) / 2
        work = MEAN_WORK_S[operation] * self.random.lognormvariate(mean_log, WORK_DEVIATION)
        request = Request(operation, work, self.timers.clock() + deadline, self.plan.client_repeats)
        self._handle(proxy, request)

    def _handle(self, proxy: FleetProxy, request: Request) -> None:
        if proxy.joined:
            seat = self.seats[proxy.supervisor]
            seat.sums.add_demand(self.timers.clock(), proxy.number, request.operation, 1, 0)
        proxy.handle(request)

    # ---- servers ----------------------------------------------------------------------------------------------

    def _restart_next(self) -> None:
        now = self.timers.clock()
        self.timers.after(self.random.uniform(0.6, 1.4) * self.plan.restart_interval, self._restart_next)
        free = [name for name in self.servers if self.busy_until[name] <= now]
        crashes = self.random.random() < self.plan.crash_share
        away_for = self.random.uniform(*CRASHED_FOR_S) if crashes else AWAY_FOR_S
        listed_after = self.random.uniform(*START_LISTED_S)
        for name in self.random.sample(free, 2):
            self._restart(self.servers[name], 0.0 if crashes else DRAINS_FOR_S, away_for, listed_after)

    def _restart(self, server: FleetServer, drains_for: float, away_for: float, listed_after: float) -> None:
        now = self.timers.clock()
        starts_at = now + drains_for + away_for
        self.busy_until[server.name] = starts_at + listed_after + self.plan.list_period
        if drains_for:
            self._list_later(now, server, face.DRAINING)
            self._list_later(now + drains_for, server, face.GONE)
        self._list_later(starts_at + (0.0 if drains_for else listed_after), server, face.READY)
        self.timers.at(now + drains_for, server.end)
        self.timers.at(starts_at, lambda: self._start(server))

    def crash(self, server: FleetServer, away_for: float, noticed_after: float) -> None:
        """A server ends without notice; the list tells it later, and that it is back once it has started again."""
        now = self.timers.clock()
        self.busy_until[server.name] = now + away_for + START_LISTED_S[1] + self.plan.list_period
        if noticed_after < away_for:
            self._list_later(now + noticed_after, server, face.GONE)
        self._list_later(now + away_for + self.random.uniform(*START_LISTED_S), server, face.READY)
        server.end()
        self.timers.after(away_for, lambda: self._start(server))

    def drain(self, server: FleetServer, drains_for: float, away_for: float) -> None:
        """A server drains, is away, and starts again under its id."""
        self._restart(server, drains_for, away_for, 0.0)

    def replace(self, server: FleetServer, drains_for: float) -> None:
        """A new server takes the place of one that drains, and is gone for good then."""
        now = self.timers.clock()
        if self.busy_until[server.name] > now:
            return
        self.busy_until[server.name] = float("inf")
        self._list_later(now, server, face.DRAINING)
        self._list_later(now + drains_for, server, face.GONE)
        self.timers.after(drains_for, server.end)
        successor = self._make_server(len(self.servers), server.zone, server.kind, server.speed)
        self.busy_until[successor.name] = now + START_LISTED_S[1] + self.plan.list_period
        self.expected[successor.name] = deque()
        for seat in self.seats:
            seat.relay.listed.add(successor.name)
        successor.start()
        self._list_later(now + self.random.uniform(*START_LISTED_S), successor, face.READY)

    def _start(self, server: FleetServer) -> None:
        server.start()
        self.expected[server.name].clear()

    def _list_later(self, at: float, server: FleetServer, state: int) -> None:
        self.list_queue.append((at, server, state))

    def _publish(self) -> None:
        """Publishes what has changed; each agent gets it a little later, and all in order."""
        now = self.timers.clock()
        self.timers.after(self.plan.list_period, self._publish)
        due = [row for row in self.list_queue if row[0] <= now]
        self.list_queue = [row for row in self.list_queue if row[0] > now]
        if not due:
            return
        last = {server.name: (server, state) for _, server, state in due}
        entries = [listed_entry(server, state, self.unix_offset) for server, state in last.values()]
        for seat in self.seats:
            seat.tell_list(self.random.uniform(*LIST_SPREAD_S), entries)

    # ---- streams ----------------------------------------------------------------------------------------------

    def join(self, proxy: FleetProxy) -> None:
        """A proxy joins its supervisor."""
        proxy.joined, proxy.joined_at = True, self.timers.clock()
        proxy.empty_since = None
        proxy.stream += 1
        self.seats[proxy.supervisor].relay.open_stream(proxy)

    def _joined_at(self, seat: int) -> list[FleetProxy]:
        return [proxy for proxy in self.proxies if proxy.joined and proxy.supervisor == seat]

    def _break_next_stream(self) -> None:
        self.timers.after(self.random.expovariate(self.plan.broken_per_second), self._break_next_stream)
        self.break_streams([proxy for proxy in self.proxies if proxy.joined], 1)

    def break_streams(
        self,
        proxies: list[FleetProxy],
        count: int,
        avoided_seat: int | None = None,
        notice: Span = NOTICE_S,
        away: float = 0.0,
    ) -> None:
        """The streams of so many proxies break; they reach no supervisor for `away` seconds."""
        for proxy in self.random.sample(proxies, min(count, len(proxies))):
            self._break_stream(proxy, avoided_seat, notice, away)

    def _break_stream(self, proxy: FleetProxy, avoided_seat: int | None, notice: Span, away: float = 0.0) -> None:
        """A stream breaks unseen; the proxy joins again later, at any supervisor but the one to avoid."""
        proxy.joined = False
        left_after = self.random.uniform(*notice)
        relay = self.seats[proxy.supervisor].relay

        def rejoin() -> None:
            others = [seat.number for seat in self.seats if seat.alive and seat.number != avoided_seat]
            others = [number for number in others if not self._is_cut(proxy.zone, number % len(self.facts.zones))]
            if not others:
                self.timers.after(self.random.uniform(*REDIAL_S), rejoin)
                return
            proxy.supervisor = self.random.choice(others)
            self.join(proxy)

        self.timers.after(left_after, lambda: relay.close_stream(proxy))
        self.timers.after(left_after + away + self.random.uniform(*REDIAL_S), rejoin)

    def _cut_off(self, seat: int) -> None:
        """The proxies of a supervisor hear no more of it, notice that much later, and join others."""
        silent_for = self.plan.silent_for
        self.break_streams(self._joined_at(seat), PROXIES, seat, (silent_for, silent_for + SILENCE_SPREAD_S))

    def partition(self, zone: int | None) -> None:
        """A zone and the others cannot reach each other from now on; None: all can again."""
        self.partitioned_zone = zone
        cut = [p for p in self.proxies if p.joined and self._is_cut(p.zone, p.supervisor % len(self.facts.zones))]
        self.break_streams(cut, len(cut))

    def _is_cut(self, zone: int, other: int) -> bool:
        return zone != other and self.partitioned_zone in (zone, other)

    def _is_reachable(self, proxy: FleetProxy, server: FleetServer) -> bool:
        return server.is_reachable and not self._is_cut(proxy.zone, server.zone)

    def restart_proxies(self, count: int) -> None:
        """Proxies crash and restart with a standing table, drawn from the list."""
        proxies = [proxy for proxy in self.proxies if proxy.joined]
        crashed = self.random.sample(proxies, min(count, len(proxies)))
        for proxy in crashed:
            self._break_stream(proxy, None, NOTICED_CRASH_S)
            entries = self.seats[0].agent.entries.values()
            zone = self.facts.zones[proxy.zone]
            near = [entry["id"] for entry in entries if entry["zone"] == zone and entry["state"] == "up"]
            proxy.restart(dict.fromkeys(self.random.sample(near, min(STANDING_LINES, len(near))), 1.0))

    # ---- reports ----------------------------------------------------------------------------------------------

    def _report(self) -> None:
        now, period = self.timers.clock(), self.facts.report_period
        self.timers.after(period, self._report)
        for seat in self.seats:
            events = seat.sums.release_events(now, period)
            if seat.report_delay:
                self.timers.after(seat.report_delay, lambda port=seat.port, events=events: port.report(events))
            else:
                seat.port.report(events)

    def _is_report_lost(self, zone: int) -> bool:
        share = self.lost_reports.get(zone, 0.0)
        return share > 0 and self.random.random() < share

    def _count_try(self, proxy: FleetProxy, server: FleetServer, outcome: Outcome) -> None:
        if proxy.joined and not self._is_report_lost(proxy.zone):
            sums, now = self.seats[proxy.supervisor].sums, self.timers.clock()
            latency = outcome.seconds if outcome.answered else None
            load = (float(server.in_flight),)
            sums.add_server_report(now, proxy.zone, server.name.encode(), 1, not outcome.answered, latency, load)
        self.outcomes["tries answered" if outcome.answered else "tries failed"] += 1

    def _end_request(self, proxy: FleetProxy, request: Request, answered: bool) -> None:
        """Counts a request; after a failure its client may repeat it."""
        backoff = self.random.uniform(*CLIENT_BACKOFF_S)
        if answered or not request.repeats or self.timers.clock() + backoff >= request.deadline:
            self.outcomes["answered" if answered else "failed"] += 1
            return
        repeat = request._replace(repeats=request.repeats - 1)
        self.timers.after(backoff, lambda: self._handle(proxy, repeat))

    # ---- the rules --------------------------------------------------------------------------------------------

    def informed(self, proxy: FleetProxy, server: FleetServer) -> bool:
        """Whether a supervisor answers for what a proxy sends to a cold server."""
        told_at = self.seats[proxy.message_supervisor].agent.told_ready_at.get(server.name)
        if told_at is not None and proxy.message_sent_at >= told_at >= server.started_at:
            return True
        seat = self.seats[proxy.supervisor]
        told_at = seat.agent.told_ready_at.get(server.name)
        if not proxy.joined or told_at is None or told_at < server.started_at:
            return False
        known_at = max(told_at, seat.started_at + RULES_BEGIN_S)
        return self.timers.clock() >= known_at + self.facts.drain_grace + RULE_SLACK_S

    def _judge_try(self, proxy: FleetProxy, server: FleetServer) -> bool:
        now = self.timers.clock()
        told_at = self.seats[proxy.supervisor].agent.told_leaving_at.get(server.name)
        if proxy.joined and told_at is not None:
            seat = self.seats[proxy.supervisor]
            began_at = max(told_at, proxy.joined_at, seat.started_at + RULES_BEGIN_S)
            sent_after = seat.limits.elapsed(began_at, now)
            self.latest_send = max(self.latest_send, sent_after)
            late = sent_after - (self.facts.drain_grace + RULE_SLACK_S) * seat.slowest_channel(now)
            if late > 0:
                text = f"proxy {proxy.number} at {proxy.supervisor} sent to {server.name} {late:.2f} s late"
                self.breaks.append(Break("drains", now, text))
        return server.started_at is not None and self.informed(proxy, server)

    def _judge_load(self, server: FleetServer, load: ColdLoad) -> None:
        if load.informed_share < 2 / 3:
            return
        if load.multiple > self.worst.multiple:
            self.worst = load
        if server.judge.is_over(server.capacity(load.at)):
            self.breaks.append(Break("overload", load.at, f"{load}; {self.describe(server)}"))

    def _sample(self) -> None:
        """Judges the load that proxies bring by the tables that they hold, and proxies without a server."""
        now = self.timers.clock()
        self.timers.after(SAMPLE_INTERVAL_S, self._sample)
        work, informed = Counter(), Counter()
        for proxy in self.proxies:
            lines = proxy.usable()
            self._judge_empty(proxy, lines, now)
            if proxy.joined and proxy.number not in self.seats[proxy.supervisor].relay.bound:
                self.longest_unbound = max(self.longest_unbound, (now - proxy.joined_at, proxy.number, now))
            total = sum(lines.values())
            level = proxy.levels.get(self.facts.operations[0].name, UNLIMITED)[0]
            for name, weight in lines.items():
                server = self.servers[name]
                if server.started_at is not None:
                    rate = proxy.rate * self.mean_work * min(1.0, level) * weight / total
                    work[name] += rate
                    informed[name] += rate * self.informed(proxy, server)
        for name, rate in work.items():
            server, rows = self.servers[name], self.expected[name]
            if not server.running or now > server.started_at + self.facts.warm_within:
                continue
            rows.append((now, rate, informed[name]))
            while rows[0][0] <= now - self.facts.tip_span:
                rows.popleft()
            total, known = sum(row[1] for row in rows), sum(row[2] for row in rows)
            multiple = total * SAMPLE_INTERVAL_S / (self.facts.tip_span * server.capacity(now))
            if multiple > self.worst_expected.multiple and known >= 2 / 3 * total:
                self.worst_expected = ColdLoad(multiple, name, now, known / total)

    def _judge_empty(self, proxy: FleetProxy, lines: dict, now: float) -> None:
        if lines or not proxy.joined:
            proxy.empty_since = None
            return
        proxy.empty_since = now if proxy.empty_since is None else proxy.empty_since
        agent = self.seats[proxy.supervisor].agent
        warm = any(
            name in agent.entries and name not in agent.told_leaving_at and server.warmth(now) >= 1.0
            for name, server in self.servers.items()
        )
        if warm and now > proxy.empty_since + self.facts.bare_for + RULE_SLACK_S:
            self.breaks.append(Break("no server", now, f"proxy {proxy.number} at {proxy.supervisor}"))
            proxy.empty_since = now

    def describe(self, server: FleetServer) -> str:
        """Who holds a line to a server, for the record of a break."""
        now = self.timers.clock()
        rows = []
        for seat in self.seats:
            told_at = seat.agent.told_ready_at.get(server.name)
            holders = [p for p in self.proxies if p.supervisor == seat.number and server.name in p.usable()]
            shares = [p.lines[server.name] / sum(p.usable().values()) for p in holders]
            rate = sum(share * p.rate for share, p in zip(shares, holders, strict=True)) * self.mean_work
            informed = sum(self.informed(p, server) for p in holders)
            unbound = sum(p.number not in seat.relay.bound for p in holders)
            lines = [
                f"{group}:{table.lines[server.name]:.3f}/{sum(table.lines.values()):.2f}"
                for group, table in seat.relay.tables.items()
                if server.name in table.lines
            ]
            told = "not told" if told_at is None else f"told {now - told_at:.2f} s ago"
            rows.append(
                f"n{seat.number} {told}, {len(holders)} hold it ({informed} informed, {unbound} unbound) "
                f"rate {rate:.3f} of {server.capacity(now):.3f}, table {' '.join(lines) or 'none'}"
                f"{', withdrawn' if server.name in seat.relay.withdrawn else ''}"
            )
        age = now - server.started_at
        return f"{server.name} kind {server.kind} speed {server.speed:.2f} age {age:.2f}: " + "; ".join(rows)

    def check_caps(self) -> None:
        """Judges the channels at the end."""
        for seat in self.seats:
            if seat.relay.most_waiting > self.facts.queue_cap:
                self.breaks.append(Break("channel", 0.0, f"n{seat.number}: {seat.relay.most_waiting:.0f} lines waited"))
            for at, number in seat.relay.excess_messages:
                text = f"n{seat.number}: more than {self.facts.message_cap:g} messages to proxy {number}"
                self.breaks.append(Break("messages", at, text))
            for at, server, late in seat.relay.missing_cuts:
                text = f"n{seat.number} wrote to holders of {server} {late:.2f} s after it was told, without a cut"
                self.breaks.append(Break("cut", at, text))
