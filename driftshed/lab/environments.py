"""The two environments of a simulated deployment: processes on loopback sockets, or one process in virtual time."""

from __future__ import annotations

import os
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from driftshed.coordination.agent import Agent
from driftshed.coordination.participation import join_fleet
from driftshed.core.instance import Instance
from driftshed.day.recorder import CLIENT, CONTROL, ROSTER, STORE, STORED, WORK, NewConnection, Recorder, Traffic
from driftshed.day.relay import Relay
from driftshed.day.stage import CONTROL_PORT, ROSTER_PORT, AddressPlan, ProxyProcess, SupervisorProcess, reserve_network
from driftshed.day.traffic import StoreConnection
from driftshed.evacuation.controller import Evacuation
from driftshed.evacuation.places import read_regions
from driftshed.evacuation.stages import read_limits
from driftshed.lab.record import TrafficRecord
from driftshed.lab.scenario import Link, Scenario, ScenarioError, supervisor_zone
from driftshed.lab.virtual import Network, Route, Seat, VirtualLoop
from driftshed.net.http import SOCKETS, Transport
from driftshed.net.loop import Loop
from driftshed.proxy.assembly import Proxy, ProxyOptions
from driftshed.proxy.follow import SUPERVISOR_TIMEOUT_S
from driftshed.roster.follow import RosterFollower
from driftshed.roster.log import TransactionLog
from driftshed.roster.membership import Membership
from driftshed.roster.serve import StoreServer
from driftshed.supervisor.service import Service

SILENCE_TIMEOUT_S = 2.0  # the default of `supervise --silence`
SUPERVISOR_PORT = 7100


class VirtualEnvironment:
    """Supervisors, proxies and everything else in one process, in virtual time."""

    def __init__(self, scenario: Scenario, seed: int, brain: Callable | None = None, pick: object = None) -> None:
        """`brain` makes the decisions module (None: that of the product), `pick` replaces the proxies' choice
        of a server. With `fleet.store` the store's files are in a temporary folder, which the caller removes."""
        self.scenario, self.facts = scenario, scenario.facts
        self.brain, self.pick = brain, pick
        self.address_plan = AddressPlan(self.facts, 7)
        self.virtual_loop = VirtualLoop()
        self.loop = Seat(self.virtual_loop, "lab")
        self.network = Network(self.virtual_loop, seed, self._make_route)
        self.link_faults: list[Link] = []
        self.roster_host, self.view_host = "127.7.0.3", "127.7.0.5"
        supervisor_count = scenario.fleet.supervisors
        self.control_hosts = [f"127.7.0.{9 + k}" for k in range(supervisor_count)]
        self.network.zones |= {self.roster_host: "roster", "127.7.0.4": "clients", self.view_host: "control"}
        self.network.zones |= {host: supervisor_zone(k) for k, host in enumerate(self.control_hosts)}
        # With several supervisors, control streams are observed at the client: a supervisor that a proxy has left may
        # still answer, and only what arrives at the proxy counts.
        self.record = TrafficRecord(self._stream_kind, (CLIENT,) if supervisor_count == 1 else (CLIENT, CONTROL))
        self.network.observer = self.record.observer
        self.run_count = 0
        self.store_address = (self.roster_host, 2181)
        self.folder = Path(tempfile.mkdtemp(prefix="driftshed-lab-")) if scenario.fleet.store else None
        if scenario.fleet.store:
            self.start_store()
        self.decided: list[tuple[float, str]] = []
        self.faults: list[str] = []
        self.proxies: list[Proxy] = []
        self.supervisors: list[Seat | None] = [None] * supervisor_count
        self.services: list[Service | None] = [None] * supervisor_count
        self.agents: list[Agent | None] = [None] * supervisor_count
        self.evacuations: list[Evacuation | None] = [None] * supervisor_count
        self.stages: list[tuple[float, str, dict]] = []  # of evacuations: what each supervisor logged

    @property
    def service(self) -> Service:
        """The service of the first supervisor."""
        return self.services[0]

    def _stream_kind(self, host: str, address: tuple[str, int]) -> str | None:
        """The kind of a stream for the judge; None: not recorded."""
        if host == self.view_host:
            return None
        if address[1] == SUPERVISOR_PORT:
            return ROSTER if host == self.roster_host else CONTROL
        return CLIENT if address[1] == 9000 else WORK

    # ---- network ----------------------------------------------------------------------------------------------

    def _make_route(self, here: str, there: str) -> Route:
        route = Route(0.0, 0.0)
        self._set_route(route, here, there)
        return route

    def _set_route(self, route: Route, here: str, there: str) -> None:
        """Sets delay, jitter, loss and cut of a route from the scenario and the link faults in force."""
        base = self.scenario.network
        inside = here == there or "clients" in (here, there)
        control = "roster" in (here, there) or here.startswith("control") or there.startswith("control")
        route.delay = base.near if inside else base.control if control else base.far
        route.jitter = route.delay * base.jitter
        route.loss, route.cut = 0.0, False
        for fault in self.link_faults:
            directions = [(fault.here, fault.there)] + [(fault.there, fault.here)] * fault.both
            if not inside and any(a in ("", here) and b in ("", there) for a, b in directions):
                route.delay += fault.delay
                route.loss = 1 - (1 - route.loss) * (1 - fault.loss)
                route.cut |= fault.cut

    def set_link_fault(self, fault: Link, on: bool) -> None:
        """Starts (`on`) or ends a link fault, and updates all routes."""
        if on:
            self.link_faults.append(fault)
        else:
            self.link_faults.remove(fault)
        for (here, there), route in self.network.routes.items():
            self._set_route(route, here, there)

    def transport(self, host: str) -> Transport:
        """The HTTP transport of a process at `host`."""
        return self.network.transport(host)

    def supervisor_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address for reading a supervisor's views."""
        return self.transport(self.view_host), (self.control_hosts[0], SUPERVISOR_PORT)

    def roster_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address by which the roster reaches the supervisor."""
        return self.transport(self.roster_host), (self.control_hosts[0], SUPERVISOR_PORT)

    def unix_time(self, clock: float) -> float:
        """The unix time of a time of the loop's clock."""
        return clock

    def owner(self, asked: str) -> int:
        """The number of the supervisor that an address belongs to."""
        host = asked.rpartition(":")[0]
        return self.control_hosts.index(host) if host in self.control_hosts else 0

    def work_tap(self, address: tuple[str, int]) -> None:
        """Assigns the server's host to its zone; there is no tap, as the network records the traffic."""
        host = address[0]
        zone = self.facts.zones[
            self.address_plan.zone_of_server(self.address_plan.number_of_server(f"{host}:{address[1]}"))
        ]
        self.network.zones[host] = zone

    client_tap = None

    # ---- processes --------------------------------------------------------------------------------------------

    def start_supervisor(self, seed: int, number: int = 0) -> None:
        """Starts the supervisor of this number, with a store follower, fleet participation and evacuation as
        configured."""
        self.run_count += 1
        host, fleet = self.control_hosts[number], self.scenario.fleet
        seat = self.supervisors[number] = Seat(self.virtual_loop, f"supervisor{number or ''}")
        options = {"brain": self.brain} if self.brain else {}
        instance = Instance(self.facts, seed, f"run{self.run_count}", self.virtual_loop.now, 0.0, **options)
        service = self.services[number] = Service(
            seat,
            instance,
            (host, SUPERVISOR_PORT),
            self._log,
            silence_timeout=SILENCE_TIMEOUT_S,
            transport=self.transport(host),
        )

        if fleet.store:
            follower = RosterFollower(
                seat,
                [self.store_address],
                "/driftshed/servers",
                self.facts.zones,
                self.facts.kinds,
                Membership(4.0, 60.0),
                service.apply_roster_update,
                self._log,
                seed,
                fleet.session_timeout,
                self.network.dial(host, lambda: self._store_tap(STORE, host)),
            )
            service.roster_source, instance.on_server_answered = "the store", follower.record_answer
        if fleet.supervisors > 1:
            names = [f"s{k}" for k in range(fleet.supervisors)]
            self.agents[number] = join_fleet(
                seat,
                service,
                [self.store_address],
                "/driftshed/fleet",
                names[number],
                ",".join(names),
                fleet.fleet_timeout,
                self._log,
                seed=seed,
                dial=self.network.dial(host, lambda: self._store_tap(STORED, host)),
            )
        if fleet.leave_zones:
            log = lambda event, **fields: self._log(event, by=number, **fields)  # noqa: E731
            regions = read_regions(fleet.regions, self.facts.zones)
            self.evacuations[number] = Evacuation(
                seat, service, self.agents[number], read_limits(fleet.zone_limits), log, regions
            )

    def start_store(self) -> None:
        """Starts the store on the files in `folder`."""
        self.store_seat = Seat(self.virtual_loop, "store")
        self.store = StoreServer(
            self.store_seat, self.store_address, TransactionLog(self.folder), 1, self.network.listen
        )

    def kill_store(self) -> None:
        """Ends the store as SIGKILL does."""
        self.network.end_process(self.store_seat)

    def pause_store(self, seconds: float) -> None:
        """Pauses the store for `seconds`."""
        self.store_seat.pause_until(self.virtual_loop.now + seconds)

    def _store_tap(self, kind: str, host: str) -> Callable[[bool, bytes], object]:
        """Records the traffic between a supervisor and the store for the judge, under an address of its own."""
        connection = StoreConnection(NewConnection(0, kind, host, f"{host}:2181"))
        self.record.kinds.setdefault(kind, []).append(connection)
        return lambda outward, data: connection.feed(Traffic(self.virtual_loop.now, 0, not outward, data))

    def _log(self, event: str, **fields: object) -> None:
        if event in ("zones", "stage"):
            self.stages.append((round(self.virtual_loop.now, 3), event, fields))
        elif event == "decided":
            self.decided.append((self.virtual_loop.now, str(fields["text"])))
        elif event in ("module_fault", "handler_fault", "fault"):
            self.faults.append(f"{self.virtual_loop.now:.3f} s: {event} {fields.get('error')}")

    def start_proxies(self, proxy_options: list[ProxyOptions], seeds: list[int]) -> float:
        """Starts all proxies; returns the start of the day on the loop's clock."""
        controls = [(host, SUPERVISOR_PORT) for host in self.control_hosts]
        within = self.scenario.fleet.hears_within if len(controls) > 1 else SUPERVISOR_TIMEOUT_S
        self.seats = []
        for options, seed in zip(proxy_options, seeds, strict=True):
            host = options.listen[0]
            self.network.zones[host] = options.zone
            seat = Seat(self.virtual_loop, f"proxy {options.number}")
            self.seats.append(seat)
            first = options.number % len(controls)
            options = options._replace(supervisors=controls[first:] + controls[:first], supervisor_timeout=within)
            proxy = Proxy(seat, options, self.facts, seed, self._log, f"{seed:x}", transport=self.transport(host))
            if self.pick is not None:
                proxy.tables.picker_type = self.pick
                proxy.tables.build_picker(None)
            self.proxies.append(proxy)
        return 0.0

    def kill_supervisor(self, number: int = 0) -> None:
        """Ends a supervisor as SIGKILL does: its streams are reset."""
        self.network.end_process(self.supervisors[number])
        server = self.services[number].http
        server.on_connection_end = None
        server.close(hard=True)

    def pause_supervisor(self, seconds: float, number: int = 0) -> None:
        """Pauses a supervisor for `seconds`."""
        self.supervisors[number].pause_until(self.virtual_loop.now + seconds)

    def pause_proxies(self, numbers: list[int], seconds: float) -> None:
        """Pauses proxies for `seconds`."""
        for number in numbers:
            self.seats[number].pause_until(self.virtual_loop.now + seconds)

    def reset_proxy_streams(self, numbers: list[int]) -> None:
        """Resets all streams between these proxies and the supervisors."""
        hosts = {self.address_plan.proxy_host(number) for number in numbers}
        for service in self.services:
            for connection in list(service.http.connections):
                if connection.peer[0] in hosts:
                    connection.abort("reset", hard=True)


class RealEnvironment:
    """Supervisor and proxies as processes of their own, on loopback sockets."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path) -> None:
        """`folder` is for records and logs. Raises ScenarioError for what only virtual time can do."""
        self.scenario, self.facts, self.folder = scenario, scenario.facts, folder
        if scenario.fleet.store:
            raise ScenarioError("fleet.store: only in virtual time; with real processes, run `driftshed day sessions`")
        for fault in scenario.troubles:
            if isinstance(fault, Link) and not (fault.cut and fault.both):
                raise ScenarioError(
                    f"link at {fault.at} s: with real processes, links can only be cut, in both directions"
                )
        self.net, self.lock = reserve_network(os.getpid())
        self.address_plan = AddressPlan(self.facts, self.net)
        self.loop = Loop()
        self.recorder = Recorder(self.loop, folder / "record")
        host = f"127.{self.net}.0"
        self.supervisor = SupervisorProcess(scenario, f"{host}.9", folder / "supervisor.log")
        supervisor_address = (f"{host}.9", SUPERVISOR_PORT)
        self.control_relay = Relay(self.loop, self.recorder, CONTROL, (f"{host}.2", CONTROL_PORT), supervisor_address)
        self.roster_relay = Relay(self.loop, self.recorder, ROSTER, (f"{host}.3", ROSTER_PORT), supervisor_address)
        self.supervisor_address = supervisor_address
        self.proxies: list[ProxyProcess] = []
        self.cut_links: list[Link] = []
        self.stages: list[tuple[float, str, dict]] = []
        self.servers: dict = {}  # the servers of the simulated deployment, by number
        self.faults: list[str] = []

    def transport(self, host: str) -> Transport:
        """The transport of real sockets."""
        return SOCKETS

    def supervisor_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address for reading the supervisor's views."""
        return SOCKETS, self.supervisor_address

    def roster_transport(self) -> tuple[Transport, tuple[str, int]]:
        """Transport and address by which the roster reaches the supervisor, through a relay."""
        return SOCKETS, self.roster_relay.address

    def owner(self, asked: str) -> int:
        """The number of the supervisor that an address belongs to: there is only one."""
        return 0

    def unix_time(self, clock: float) -> float:
        """The unix time of a time of the loop's clock."""
        return time.time() - time.monotonic() + clock

    def work_tap(self, address: tuple[str, int]) -> Callable:
        """The tap that records the traffic of a server."""
        return self.recorder.tap_accepted(WORK, address)

    def client_tap(self, address: tuple[str, int]) -> object:
        """The tap that records the traffic between clients and a proxy."""
        return self.recorder.tap_outgoing(CLIENT, address)

    def start_supervisor(self, seed: int, number: int = 0) -> None:
        """Starts the supervisor; after a kill, waits for the end of the process before."""
        if self.supervisor.process is not None:
            self.supervisor.process.wait()
            self.supervisor.process.stdout.close()
        self.supervisor.start(seed)

    def start_proxies(self, proxy_options: list[ProxyOptions], seeds: list[int]) -> float:
        """Starts all proxies, waits until every process listens, and returns the start of the record."""
        for options, seed in zip(proxy_options, seeds, strict=True):
            proxy = ProxyProcess(self.scenario, self.folder, None)
            proxy.start(
                options.number,
                options.zone,
                options.rate,
                options.listen,
                [self.control_relay.address],
                options.initial_servers,
                seed,
            )
            self.proxies.append(proxy)
        for process in (self.supervisor, *self.proxies):
            process.await_listening()
        self.recorder.begin()
        return self.recorder.began

    def kill_supervisor(self, number: int = 0) -> None:
        """Sends SIGKILL to the supervisor."""
        self.supervisor.signal(signal.SIGKILL)

    def pause_supervisor(self, seconds: float, number: int = 0) -> None:
        """Stops the supervisor by SIGSTOP for `seconds`."""
        self.supervisor.signal(signal.SIGSTOP)
        self.loop.after(seconds, lambda: self.supervisor.signal(signal.SIGCONT))

    def pause_proxies(self, numbers: list[int], seconds: float) -> None:
        """Stops proxies by SIGSTOP for `seconds`."""
        for number in numbers:
            self.proxies[number].signal(signal.SIGSTOP)
        self.loop.after(seconds, lambda: [self.proxies[number].signal(signal.SIGCONT) for number in numbers])

    def reset_proxy_streams(self, numbers: list[int]) -> None:
        """Resets all streams between these proxies and the supervisor."""
        hosts = {self.address_plan.proxy_host(number) for number in numbers}
        self.control_relay.reset_all(lambda pair: pair.near.peer[0] not in hosts)

    def set_link_fault(self, fault: Link, on: bool) -> None:
        """Starts (`on`) or ends a cut. Cuts may overlap, so the blocked hosts are computed anew from all in
        force."""
        if on:
            self.cut_links.append(fault)
        else:
            self.cut_links.remove(fault)
        zones = self.facts.zones
        hosts = {
            zone: {self.address_plan.proxy_host(n) for n in range(len(self.proxies)) if n % len(zones) == k}
            for k, zone in enumerate(zones)
        }
        cut_pairs = {(a, b) for each in self.cut_links for a, b in ((each.here, each.there), (each.there, each.here))}

        def cut(here: str, there: str) -> bool:
            return here != there and any(a in ("", here) and b in ("", there) for a, b in cut_pairs)

        self.control_relay.blocked_hosts = set().union(*(hosts[zone] for zone in zones if cut(zone, "control")))
        for number, server in self.servers.items():
            zone = zones[self.address_plan.zone_of_server(number)]
            server.unreachable = set().union(*(hosts[other] for other in zones if cut(other, zone)))

    def close(self) -> None:
        """Ends all processes and closes relays, recorder, loop and the lock on the loopback network."""
        for proxy in self.proxies:
            proxy.signal(signal.SIGCONT)
            proxy.signal(signal.SIGTERM)
        for process in (*self.proxies, self.supervisor):
            process.terminate()
        self.control_relay.close()
        self.roster_relay.close()
        self.recorder.close()
        self.loop.close()
        self.lock.close()


def decisions_in_log(log: Path) -> list[str]:
    """The texts of the `decided` events in a supervisor's log."""
    rows = [msgspec.json.decode(line) for line in log.read_bytes().splitlines() if line.startswith(b"{")]
    return [row["text"] for row in rows if row.get("event") == "decided"]
