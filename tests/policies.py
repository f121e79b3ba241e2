"""A fleet of complete supervisors with policies, proxies and a store in virtual time, and its invariants."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from random import Random

from driftshed import interface as face
from driftshed.coordination.participation import join_fleet
from driftshed.core.hub import Refused
from driftshed.core.instance import Instance
from driftshed.core.messages import ListedServer, RosterUpdate
from driftshed.lab.virtual import Seat
from driftshed.policy import document as policies
from driftshed.policy.change import TOPIC, Change, activation_bound_s, read_change
from driftshed.policy.participant import PolicyParticipant, PolicyRequest
from driftshed.policy.store import PolicyStore
from driftshed.proxy.assembly import Proxy, ProxyOptions
from driftshed.supervisor.service import Service
from tests.fleets import ROOT, SESSION_TIMEOUT_S, STORE, DriftingSeat, Fleet

TEXT = """
ahead = 0.3
despite_after = 5
[[operations]]
name = "lookup"
objective = 0.5
timeout = 1.5
value = 1
effect = "idempotent"
[settings]
zones = "east,west"
proxies = 4
drain-grace = {grace}
lines-per-second = 2000
"""
FACTS = policies.start_facts(policies.read_toml(TEXT.format(grace=2.5)))
SLACK = 0.2  # seconds: network delays of a few milliseconds, one check and one turn


class PolicyFleet(Fleet):
    """Supervisors with policies and their proxies.

    `folder`: parent of the supervisors' policy stores. `orders`: time, supervisor and policy version of each order but
    those that only remove lines. `proxy_policies`: by proxy, the times at which its policy version changed."""

    def __init__(self, folder: Path, names=("a", "b", "c"), seed: int = 1, proxies: int = 4, facts=FACTS) -> None:
        self.folder, self.facts = folder, facts
        self.parts: dict[str, PolicyParticipant] = {}
        self.orders: list[tuple[float, str, int]] = []
        self.proxy_policies: dict[int, list[tuple[float, int]]] = defaultdict(list)
        self.logs: list[tuple[float, str, str, dict]] = []
        self.hosts = {name: f"127.0.1.{k + 1}" for k, name in enumerate(names)}
        super().__init__(names, seed)
        self.proxies = [self._proxy(number) for number in range(proxies)]
        self._record_proxy_policies()

    def start(self, name: str) -> None:
        host, loop = self.hosts[name], self.loop
        self.network.zones[host] = host
        self.starts += 1
        seat = DriftingSeat(loop, name, 1 + self.drift / 2 * self.random.uniform(-1, 1))
        log = lambda event, **fields: self.logs.append((loop.now, name, event, fields))  # noqa: E731
        instance = Instance(self.facts, self.starts, f"run{self.starts}", seat.clock(), 0.0)
        service = Service(
            seat, instance, (host, 7000), log, silence_timeout=2.0, transport=self.network.transport(host)
        )
        agent = join_fleet(
            seat,
            service,
            [STORE],
            ROOT,
            name,
            ",".join(self.names),
            SESSION_TIMEOUT_S,
            log,
            seed=self.random.getrandbits(30),
            dial=self.network.dial(host),
        )
        store = PolicyStore(self.folder / name, "fleet", name)
        self.parts[name] = PolicyParticipant(seat, service, agent, store, log, unix=lambda: loop.now)
        agent.host, agent.seat = host, seat
        previous = agent.on_record
        agent.on_record = lambda record: (
            previous(record),
            self.records_seen[name, id(agent), record.topic].append(record),
        )
        self.agents[name], self.processes[name] = agent, seat
        self.all_agents.append(agent)
        service.apply_roster_update(RosterUpdate(1, True, [self._server(k) for k in range(6)]))
        apply = instance.hub.apply

        def record_orders(orders: list, now: float) -> None:
            if any(isinstance(order, face.SetLine) and order.weight for order in orders):
                self.orders.append((loop.now, name, instance.policy))
            apply(orders, now)

        instance.hub.apply = record_orders
        version = [1]

        def change_roster() -> None:  # so that there is always something to order
            version[0] += 1
            state = "ready" if version[0] % 2 else "gone"
            service.apply_roster_update(RosterUpdate(version[0], False, [self._server(9, state, 1e5 + version[0])]))
            seat.after(0.4, change_roster)

        seat.after(0.4, change_roster)

    @staticmethod
    def _server(number: int, state: str = "ready", started: float | None = None) -> ListedServer:
        return ListedServer(f"127.0.3.{number + 1}:8000", ("east", "west")[number % 2], "standard", state, started)

    def _proxy(self, number: int) -> Proxy:
        host = f"127.0.2.{number + 1}"
        self.network.zones[host] = host
        order = [*self.names[number % len(self.names) :], *self.names[: number % len(self.names)]]
        options = ProxyOptions(
            number,
            ("east", "west")[number % 2],
            5.0,
            (host, 8080),
            [(self.hosts[name], 7000) for name in order],
            ["127.0.3.1:8000"],
            host,
            2.0,
        )
        return Proxy(
            Seat(self.loop, f"proxy {number}"),
            options,
            self.facts,
            number,
            lambda event, **fields: None,
            f"{number}",
            transport=self.network.transport(host),
        )

    def _record_proxy_policies(self) -> None:
        for number, proxy in enumerate(self.proxies):
            rows, policy = self.proxy_policies[number], proxy.tables.policy
            if not rows or rows[-1][1] != policy:
                rows.append((self.loop.now, policy))
        self.network.own_seat.after(0.02, self._record_proxy_policies)

    def stop_store(self, seconds: float) -> None:
        if not self.store_seat.ended:
            self.crash_store(seconds)

    def kill(self, name: str) -> None:
        super().kill(name)
        self.network.reset_server((self.hosts[name], 7000))
        self.parts[name].store.close()

    def propose_policy(self, name: str, grace: float, **more) -> dict | str:
        """Proposes a document; returns the reason if it is refused."""
        try:
            return self.parts[name].handle_request(
                PolicyRequest("propose", "somebody", TEXT.format(grace=grace), **more)
            )
        except Refused as error:
            return str(error)

    def active_versions(self) -> dict[str, int]:
        return {name: part.schedule.active_version() for name, part in self.parts.items()}

    def committed_changes(self) -> dict[int, Change]:
        """Committed changes by version, from the log of the store."""
        found = {}
        for record in self.history():
            if record.topic == TOPIC and record.standing is not None:
                change, _ = read_change(record.standing.body)
                found.setdefault(change.version, change)
        return found

    def committed_at(self) -> dict[int, float]:
        """By version, when the first supervisor read that it is committed: one network delay after the commit."""
        versions = {
            record.epoch: read_change(record.standing.body)[0].version
            for record in self.history()
            if record.topic == TOPIC and record.state == "settled"
        }
        found: dict[int, float] = {}
        for at, _, event, fields in self.logs:
            if event == "record" and fields["topic"] == TOPIC and fields["epoch"] in versions:
                if fields["state"] == "settled":
                    found.setdefault(versions[fields["epoch"]], at)
        return found


def check_policy_invariants(fleet: PolicyFleet) -> None:
    """Raises AssertionError unless versions only rise, and one policy is in force everywhere within the bound."""
    versions = [
        read_change(record.standing.body)[0].version
        for record in fleet.history()
        if record.topic == TOPIC and record.state == "settled"
    ]
    assert versions == sorted(set(versions)), f"versions were committed as {versions}"
    committed_at = fleet.committed_at()
    for number, rows in fleet.proxy_policies.items():
        for (_, earlier), (at, later) in zip(rows, rows[1:], strict=False):
            assert later >= earlier, f"proxy {number} went back from policy {earlier} to {later} at {at:.2f} s"
        for _, policy in rows:
            assert policy == 0 or policy in versions, f"proxy {number} uses policy {policy} that was never committed"
    bound_s = activation_bound_s(SESSION_TIMEOUT_S, 0.3, fleet.drift) + SLACK
    for when, name, policy in fleet.orders:
        early = policy and when < committed_at.get(policy, 0.0) - SLACK
        assert not early, f"{name} ordered by policy {policy} before it was committed"
        superseding = [each for each in committed_at if each > policy and when > committed_at[each] + bound_s]
        assert not superseding, (
            f"{name} ordered by policy {policy} at {when:.2f} s, past {superseding[0]} "
            f"of {committed_at[superseding[0]]:.2f} s"
        )


def run_random_history(folder: Path, seed: int, seconds: float = 24.0) -> PolicyFleet:
    """Runs changes, and faults between supervisors and store, that are drawn by a seed."""
    random = Random(f"policies {seed}")
    fleet = PolicyFleet(folder, seed=seed, names=("a", "b", "c")[: random.choice([2, 3, 3])])
    fleet.run_until_up()
    end, dead = fleet.loop.now + seconds, set()
    while fleet.loop.now < end:
        fleet.run(random.uniform(0.2, 1.5))
        name, kind = random.choice(fleet.names), random.randrange(9)
        if kind < 4 and name not in dead:
            despite = [each for each in fleet.names if each in dead and random.random() < 0.5]
            fleet.propose_policy(
                name, round(random.uniform(2.2, 4.0), 2), patience=random.choice([1.0, 3.0]), despite=despite
            )
        elif kind == 4 and name not in dead:
            fleet.kill(name)
            dead.add(name)
        elif kind == 5 and name in dead:
            fleet.start(name)
            dead.discard(name)
        elif kind == 6 and name not in dead:
            fleet.pause(name, random.uniform(0.2, 4.0))
        elif kind == 7 and name not in dead:
            fleet.cut(name, random.uniform(0.2, 7.0), random.random() < 0.7, random.random() < 0.7)
        elif kind == 8 and random.random() < 0.5:
            fleet.reset_connections(name) if name not in dead else fleet.stop_store(random.uniform(0.2, 2.0))
    return fleet
