"""A simulated deployment: servers, a roster, clients and faults, the same for both clocks. Supervisors, proxies and
transport are those of the `Environment` that it runs in (`environments.py`)."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

import msgspec

from driftshed.core.messages import ListedServer
from driftshed.day.stage import CLIENT_PORT, AddressPlan
from driftshed.lab import scenario as scenarios
from driftshed.lab.load import LoadGenerator, generate_arrivals
from driftshed.net.http import Answer, Transport
from driftshed.net.loop import Timers
from driftshed.proxy.assembly import ProxyOptions
from driftshed.standins.emulator import ServerFault, ServerStandin
from driftshed.standins.roster import RosterStandin, StoreRoster

SETTLE_S = 2.5  # after the last arrival, for requests under way
SAMPLE_INTERVAL_S = 1.0  # between samples of servers and channel


class Environment(Protocol):
    """What a simulated deployment runs in: it owns supervisors, proxies and the network. In virtual time it also
    has `network`, `store_address` and the store's control methods."""

    loop: Timers
    address_plan: AddressPlan

    def transport(self, host: str) -> Transport:
        """The HTTP transport of a process at `host`."""
        ...

    def supervisor_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address for reading a supervisor's views."""
        ...

    def roster_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address by which the roster reaches the supervisor."""
        ...

    def unix_time(self, clock: float) -> float:
        """The unix time of a time of the loop's clock."""
        ...

    def owner(self, asked: str) -> int:
        """The number of the supervisor that an address belongs to."""
        ...

    def start_supervisor(self, seed: int, number: int = 0) -> None:
        """Starts or restarts the supervisor of this number."""
        ...

    def start_proxies(self, proxy_options: list[ProxyOptions], seeds: list[int]) -> float:
        """Starts all proxies; returns the start of the day on the loop's clock."""
        ...

    def kill_supervisor(self, number: int = 0) -> None:
        """Kills a supervisor without warning."""
        ...

    def pause_supervisor(self, seconds: float, number: int = 0) -> None:
        """Pauses a supervisor for `seconds`."""
        ...

    def pause_proxies(self, numbers: list[int], seconds: float) -> None:
        """Pauses proxies for `seconds`."""
        ...

    def reset_proxy_streams(self, numbers: list[int]) -> None:
        """Resets all streams between these proxies and the supervisors."""
        ...

    def set_link_fault(self, fault: scenarios.Link, on: bool) -> None:
        """Starts (`on`) or ends a link fault."""
        ...

    def work_tap(self, address: tuple[str, int]) -> Callable | None:
        """The tap on the traffic of a server, or None."""
        ...

    def client_tap(self, address: tuple[str, int]) -> object:
        """The tap on the traffic between clients and a proxy; None where there is none."""
        ...


class FaultPeriod(NamedTuple):
    """One fault, or a part of one, as a period of the day in seconds."""

    since: float
    till: float
    what: str


class Sample(NamedTuple):
    """The state of the deployment at one time."""

    at: float
    capacity: dict[str, float]  # seconds of work per second, of each server that is up
    withdrawn: dict[str, str]  # by withdrawn server: the supervisor's reason
    queued_lines: float  # in the supervisor's channel
    supervisor_answered: bool


class SimulatedDeployment:
    """`open()` starts the day; the caller then runs the loop, and reads the records left in the attributes."""

    def __init__(self, scenario: scenarios.Scenario, seed: int, environment: Environment) -> None:
        """Everything random is drawn by `seed`."""
        self.scenario, self.seed, self.environment = scenario, seed, environment
        self.facts, self.loop, self.address_plan = scenario.facts, environment.loop, environment.address_plan
        self.random = Random(f"world {seed}")
        self.servers: dict[int, ServerStandin] = {}
        self.states: dict[int, str] = {}  # as listed in the roster
        self.false_listings: dict[int, ListedServer] = {}  # sent instead of the true listing
        self.next_number = scenario.fleet.servers
        self.clock_offset = 0.0  # of the roster's clock, in seconds
        self.fault_periods: list[FaultPeriod] = []
        self.samples: list[Sample] = []
        self.cuts: list[
            tuple[int, int | None, float]
        ] = []  # proxy, supervisor or None for all, since: as the judge reads them
        self.kills: list[tuple[int, float]] = []
        self.killed_supervisors: set[int] = set()  # not restarted yet
        self.pauses: list[tuple[int, float, float]] = []
        self.started_at = 0.0
        self.proxy_options: list[ProxyOptions] = []

    @property
    def now(self) -> float:
        """Seconds from the start of the day."""
        return self.loop.clock() - self.started_at

    # ---- day --------------------------------------------------------------------------------------------------

    def open(self) -> None:
        """Starts supervisors, proxies, servers, roster and clients, and schedules the faults."""
        scenario, facts, environment = self.scenario, self.facts, self.environment
        for number in range(scenario.fleet.supervisors):
            environment.start_supervisor(self.random.getrandbits(32), number)
        rates = [scenario.traffic.uneven ** self.random.random() for _ in range(facts.proxies)]
        rates = [rate / sum(rates) * scenario.traffic.rate for rate in rates]
        self.proxy_options = [self._make_proxy_options(number, rate) for number, rate in enumerate(rates)]
        self.started_at = environment.start_proxies(
            self.proxy_options, [self.random.getrandbits(32) for _ in self.proxy_options]
        )
        for number in range(scenario.fleet.servers):
            self._new_server(number, cold=False)
        if scenario.fleet.store:
            dial = environment.network.dial(environment.roster_host)
            timeout = scenario.fleet.session_timeout
            self.roster = StoreRoster(self.loop, environment.store_address, timeout, self.seed, dial)
        else:
            transport, address = environment.roster_transport()
            self.roster = RosterStandin(self.loop, transport.client(self.loop, address), scenario.fleet.roster_lag)
        self.roster.publish_initial([self._listing(number) for number in self.servers])
        surges = [fault for fault in scenario.troubles if isinstance(fault, scenarios.Surge)]
        arrivals = generate_arrivals(scenario.traffic, facts.operations, rates, surges, scenario.seconds, self.seed)
        self.load = LoadGenerator(
            self.loop,
            environment.transport(f"127.{self.address_plan.net}.0.4"),
            [options.listen for options in self.proxy_options],
            facts.operations,
            arrivals,
            self.seed,
            scenario.traffic.repeats,
            environment.client_tap,
        )
        self.load.begin(self.started_at)
        transport, address = environment.supervisor_transport()
        self.views = transport.client(self.loop, address, max_idle=2)
        self._sample()
        for fault in scenario.troubles:
            begin = getattr(self, f"_begin_{type(fault).__name__.lower()}")
            self.loop.at(self.started_at + fault.at, lambda begin=begin, fault=fault: begin(fault))

    def close(self) -> None:
        """Ends clients and servers."""
        self.load.stop()
        for server in self.servers.values():
            server.stop()

    def _make_proxy_options(self, number: int, rate: float) -> ProxyOptions:
        facts, address_plan, servers = self.facts, self.address_plan, range(self.scenario.fleet.servers)
        zone = number % len(facts.zones)
        near = [n for n in servers if address_plan.zone_of_server(n) == zone] or list(servers)
        initial_servers = self.random.sample(near, min(len(near), max(1, facts.standing_lines)))
        host = address_plan.proxy_host(number)
        return ProxyOptions(
            number,
            facts.zones[zone],
            rate,
            (host, CLIENT_PORT),
            [],
            [address_plan.server(n) for n in initial_servers],
            host,
        )

    def _new_server(self, number: int, cold: bool) -> None:
        host, _, port = self.address_plan.server(number).rpartition(":")
        address = host, int(port)
        machine = self.scenario.machine(self.address_plan.kind_of_server(number), self.facts)
        self.servers[number] = ServerStandin(
            self.loop,
            address,
            machine,
            self.random.getrandbits(32),
            self.environment.work_tap(address),
            self.environment.transport(host),
        )
        self.servers[number].start(cold)
        self.states[number] = "ready"

    def _listing(self, number: int) -> ListedServer:
        started, facts, address_plan = self.servers[number].started, self.facts, self.address_plan
        unix_time = None if started == float("-inf") else self.environment.unix_time(started) + self.clock_offset
        return ListedServer(
            address_plan.server(number),
            facts.zones[address_plan.zone_of_server(number)],
            facts.kinds[address_plan.kind_of_server(number)],
            self.states[number],
            unix_time,
            number // len(facts.zones) % self.scenario.fleet.cells,
        )

    def _update_roster(self, number: int, state: str | None = None) -> None:
        """Sends a server's listing to the roster, or the false one where the roster is to list it falsely."""
        if state is not None:
            self.states[number] = state
        self.roster.change(self.false_listings.get(number) or self._listing(number))

    def _sample(self) -> None:
        at = self.now
        capacity = {self.address_plan.server(n): server.capacity() for n, server in self.servers.items() if server.up}
        answers: dict = {}

        def finish() -> None:
            if len(answers) == 2:
                withdrawn = {row["server"]: row["why"] for row in answers["servers"] or () if row["out"]}
                channel = answers["channel"]
                queued_lines = channel["waiting"] if channel else 0.0
                self.samples.append(Sample(at, capacity, withdrawn, queued_lines, bool(channel)))

        def record_answer(name: str, answer: Answer) -> None:
            answers[name] = msgspec.json.decode(answer.body) if answer.status == 200 else None
            finish()

        for name in ("servers", "channel"):
            self.views.call(
                "GET",
                f"/v1/{name}",
                b"",
                lambda answer, name=name: record_answer(name, answer),
                0.9 * SAMPLE_INTERVAL_S,
            )
        if at < self.scenario.seconds:
            self.loop.after(SAMPLE_INTERVAL_S, self._sample)

    # ---- faults -----------------------------------------------------------------------------------------------

    def _record_fault(self, seconds: float, what: str) -> None:
        self.fault_periods.append(FaultPeriod(self.now, self.now + seconds, what))

    def _select_servers(self, whom: scenarios.Whom) -> list[int]:
        """Servers that match and are up and listed ready, drawn at random; one unless `whom` sets a count or
        share."""
        facts, address_plan = self.facts, self.address_plan
        fit = [
            n
            for n, state in self.states.items()
            if state == "ready"
            and self.servers[n].up
            and (not whom.kind or facts.kinds[address_plan.kind_of_server(n)] == whom.kind)
            and (not whom.zone or facts.zones[address_plan.zone_of_server(n)] == whom.zone)
            and (whom.cell < 0 or n // len(facts.zones) % self.scenario.fleet.cells == whom.cell)
        ]
        count = whom.count or round(whom.share * len(fit)) or 1
        return sorted(self.random.sample(fit, min(count, len(fit))))

    def _begin_sick(self, fault: scenarios.Sick) -> None:
        numbers = self._select_servers(fault.whom)
        hard, operation = fault.hard, fault.operation or None
        condition = {
            "slow": ServerFault(slower=max(1e-3, hard)),
            "hang": ServerFault(hangs=True),
            "errors": ServerFault(errors=min(1.0, hard)),
            "lost-answers": ServerFault(lost=min(1.0, hard)),
            "refuse": ServerFault(refuses=True),
            "squeeze": ServerFault(connection_share=min(1.0, hard)),
            "neighbour": ServerFault(stolen=min(0.99, hard)),
            "ageing": ServerFault(slowdown_per_minute=hard),
        }[fault.how]._replace(operation=operation)
        self._record_fault(fault.lasts, f"{fault.how} x{len(numbers)}" + (f" {fault.operation}" * bool(operation)))
        until = self.loop.clock() + fault.lasts
        key = object()

        def set_condition(on: bool) -> None:
            for n in numbers:
                if on:
                    self.servers[n].add_fault(key, condition)
                else:
                    self.servers[n].remove_fault(key)
            if fault.every and self.loop.clock() < until:
                self.loop.at(
                    min(until, self.loop.clock() + fault.every / 2), lambda: set_condition(not on and not ended())
                )

        def ended() -> bool:
            return self.loop.clock() >= until

        set_condition(True)
        if not fault.every:
            self.loop.after(fault.lasts, lambda: set_condition(False))

    def _begin_crash(self, fault: scenarios.Crash) -> None:
        numbers = self._select_servers(fault.whom)
        self._record_fault(fault.down, f"crash x{len(numbers)}")
        for n in numbers:
            self._crash(n, fault.down)

    def _crash(self, number: int, seconds: float) -> None:
        """Stops a server, and restarts it at its address after `seconds`."""
        self.servers[number].stop()
        self._update_roster(number, "gone")
        self.loop.after(seconds, lambda: self._restart(number))

    def _restart(self, number: int) -> None:
        if self.servers[number].up:
            return
        self.servers[number].start(cold=True)
        self._update_roster(number, "ready")

    def _begin_deploy(self, fault: scenarios.Deploy) -> None:
        numbers = self._select_servers(fault.whom)
        batches = [numbers[k : k + fault.batch] for k in range(0, len(numbers), fault.batch)]
        self._record_fault(len(batches) * fault.every + fault.drain + fault.down, f"deploy of {len(numbers)}")
        for k, batch in enumerate(batches):
            for n in batch:
                start_successor = lambda n=n: self.loop.after(fault.down, lambda: self._start_successor(n))  # noqa: E731
                self.loop.after(
                    k * fault.every,
                    lambda n=n, start_successor=start_successor: self._drain(n, fault.drain, start_successor),
                )

    def _drain(self, number: int, seconds: float, on_stopped: Callable[[], object]) -> None:
        if self.states[number] != "ready":
            return
        self._update_roster(number, "draining")

        def stop() -> None:
            self.servers[number].stop()
            self._update_roster(number, "gone")
            on_stopped()

        self.loop.after(seconds, stop)

    def _start_successor(self, number: int) -> None:
        """Starts a successor at a new address, in the zone of the server that it replaces."""
        zone = self.address_plan.zone_of_server(number)
        while self.address_plan.zone_of_server(self.next_number) != zone:
            self.next_number += 1
        self._start_new_server(self.next_number)

    def _start_new_server(self, number: int) -> None:
        self.next_number = number + 1
        self._new_server(number, cold=True)
        self._update_roster(number)

    def _begin_drain(self, fault: scenarios.Drain) -> None:
        numbers = self._select_servers(fault.whom)
        self._record_fault(fault.lasts, f"drain of {len(numbers)}")
        for n in numbers:
            self._drain(n, fault.drain, lambda: None)
            self.loop.after(max(fault.lasts, fault.drain + 0.1), lambda n=n: self._restart(n))

    def _begin_shrink(self, fault: scenarios.Shrink) -> None:
        numbers = self._select_servers(fault.whom)
        self._record_fault(len(numbers) * fault.every + fault.drain, f"{len(numbers)} fewer")
        for k, n in enumerate(numbers):
            self.loop.after(k * fault.every, lambda n=n: self._drain(n, fault.drain, lambda: None))

    def _begin_grow(self, fault: scenarios.Grow) -> None:
        self._record_fault(fault.servers * fault.every, f"{fault.servers} more")
        for k in range(fault.servers):
            self.loop.after(k * fault.every, lambda: self._start_new_server(self.next_number))

    def _begin_zonelost(self, fault: scenarios.ZoneLost) -> None:
        self._record_fault(fault.lasts, f"zone {fault.zone} lost")
        for n in self._select_servers(scenarios.Whom(share=1.0, zone=fault.zone)):
            self._crash(n, fault.lasts)
        self._apply_link_fault(scenarios.Link(fault.at, fault.lasts, fault.zone, "", cut=True))

    def _begin_link(self, fault: scenarios.Link) -> None:
        parts = [f"+{fault.delay * 1000:.0f} ms"] * (fault.delay > 0) + [f"loss {fault.loss}"] * (fault.loss > 0)
        arrow = "<>" if fault.both else ">"
        what = "cut" if fault.cut else " ".join(parts)
        self._record_fault(fault.lasts, f"{fault.here or 'all'}{arrow}{fault.there or 'all'} {what}")
        self._apply_link_fault(fault)

    def _apply_link_fault(self, fault: scenarios.Link) -> None:
        if fault.cut:
            for options in self.proxy_options:
                ends = (fault.here, fault.there)
                for supervisor, control in enumerate(
                    map(scenarios.supervisor_zone, range(self.scenario.fleet.supervisors))
                ):
                    if control not in ends and "" not in ends:
                        continue
                    peer = ends[0] if ends[1] == control else ends[1] if ends[0] == control else ""
                    if options.zone in (peer or options.zone, *ends) and (control in ends or options.zone in ends):
                        self.cuts.append((options.number, supervisor, self.now))
        self.environment.set_link_fault(fault, True)
        self.loop.after(fault.lasts, lambda: self.environment.set_link_fault(fault, False))

    def _begin_lateroster(self, fault: scenarios.LateRoster) -> None:
        self._record_fault(fault.lasts, f"roster {fault.by:g} s late")
        self.roster.lag += fault.by

        def restore() -> None:
            self.roster.lag -= fault.by

        self.loop.after(fault.lasts, restore)

    def _begin_lyingroster(self, fault: scenarios.LyingRoster) -> None:
        numbers = self._select_servers(fault.whom)
        self._record_fault(fault.lasts, f"roster: {len(numbers)} {fault.says}")
        for n in numbers:
            listing = self._listing(n)
            if fault.says == "started just now":
                listing.started = self.environment.unix_time(self.loop.clock()) + self.clock_offset
            else:
                listing.state = fault.says
            self.false_listings[n] = listing
            self._update_roster(n)

        def restore() -> None:
            for n in numbers:
                self.false_listings.pop(n, None)
                self._update_roster(n)

        self.loop.after(fault.lasts, restore)

    def _begin_clock(self, fault: scenarios.Clock) -> None:
        self._record_fault(fault.lasts, f"roster's clock {fault.step:+g} s")
        self.clock_offset += fault.step

        def restore() -> None:
            self.clock_offset -= fault.step

        self.loop.after(fault.lasts, restore)

    def _begin_lapse(self, fault: scenarios.Lapse) -> None:
        names = [self.address_plan.server(n) for n in self._select_servers(fault.whom)]
        self._record_fault(max(0.2, fault.within), f"{len(names)} sessions end")
        for name in names:
            end = lambda name=name: name in self.roster.announcers and self.roster.end_session(name)  # noqa: E731
            self.loop.after(self.random.uniform(0, fault.within), end)

    def _begin_storedown(self, fault: scenarios.StoreDown) -> None:
        self._record_fault(fault.down, "store killed")
        self.environment.kill_store()
        self.loop.after(fault.down, self.environment.start_store)

    def _begin_storepause(self, fault: scenarios.StorePause) -> None:
        self._record_fault(fault.lasts, "store still")
        self.environment.pause_store(fault.lasts)

    @staticmethod
    def _supervisor_label(which: int) -> str:
        return f"supervisor {which}" if which else "supervisor"

    def _begin_kill(self, fault: scenarios.Kill) -> None:
        if fault.which in self.killed_supervisors:
            return  # already killed, and its restart is scheduled
        self.killed_supervisors.add(fault.which)
        self._record_fault(fault.down, f"{self._supervisor_label(fault.which)} killed")
        self.kills.append((fault.which, self.now))
        self.environment.kill_supervisor(fault.which)

        def start() -> None:
            self.killed_supervisors.discard(fault.which)
            self.environment.start_supervisor(self.random.getrandbits(32), fault.which)

        self.loop.after(fault.down, start)

    def _begin_pause(self, fault: scenarios.Pause) -> None:
        if fault.who == "supervisor":
            self._record_fault(fault.lasts, f"{self._supervisor_label(fault.which)} still")
            if self.scenario.fleet.store:
                self.pauses.append((fault.which, self.now, self.now + fault.lasts))
            self.environment.pause_supervisor(fault.lasts, fault.which)
            return
        numbers = self._select_proxies(fault.share)
        self._record_fault(fault.lasts, f"{len(numbers)} proxies still")
        self.cuts += [(number, None, self.now) for number in numbers]
        self.environment.pause_proxies(numbers, fault.lasts)

    def _select_proxies(self, share: float) -> list[int]:
        return sorted(
            self.random.sample(range(len(self.proxy_options)), max(1, round(share * len(self.proxy_options))))
        )

    def _begin_rejoin(self, fault: scenarios.Rejoin) -> None:
        numbers = self._select_proxies(fault.share)
        self._record_fault(0.2, f"{len(numbers)} proxies rejoin")
        self.environment.reset_proxy_streams(numbers)

    def _begin_surge(self, fault: scenarios.Surge) -> None:
        self._record_fault(fault.lasts, f"x{fault.times:g} {fault.operation}".strip())
