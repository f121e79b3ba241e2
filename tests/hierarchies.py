"""A simulated hierarchical fleet in virtual time: supervisors with complete policy parts over stub services, a store
for the top-level fleet and one for each region, with injected faults; and checkers of the invariants of any history,
which use the stores' logs and the actions of supervisors."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from random import Random

from driftshed.coordination import agreement
from driftshed.coordination.hierarchy import Hierarchy, absence_margin, read_hierarchy
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.coordination.participation import join_fleet
from driftshed.core.hub import Refused
from driftshed.lab.virtual import Network, Route, Seat, VirtualLoop
from driftshed.policy.change import TOPIC, activation_bound_s, read_change
from driftshed.policy.participant import PolicyParticipant, PolicyRequest
from driftshed.policy.store import PolicyStore
from driftshed.roster.client import RosterClient
from driftshed.roster.log import apply_record
from driftshed.roster.serve import StoreServer
from driftshed.roster.tree import Tree
from tests.fleets import DriftingSeat, MemoryLog
from tests.policies import FACTS, TEXT

ROOT, TIMEOUT, AHEAD, DESPITE_AFTER = "/driftshed", 2.0, 0.3, 5.0
WHOLE = "whole"
CHECK_INTERVAL_S = 0.1  # between checks of what supervisors would do
TOLERANCE_S = 0.2  # network delays of some milliseconds, and one check interval
NEAR_DELAY_S, FAR_DELAY_S = 0.001, 0.015  # one-way delay within a region, and between regions


def tiers_text(regions: int = 2, cells: int = 2, members: int = 3) -> str:
    """The hierarchy file of a fleet with regions r1, r2 ..., cells r1c1 ... and supervisors r1c1s1 ..."""
    rows = ["form = 1", f'root = "{ROOT}"', 'stores = "127.0.0.2:2181"']
    for r in range(1, regions + 1):
        rows += ["[[regions]]", f'name = "r{r}"', f'stores = "127.0.0.{r + 2}:2181"']
        for c in range(1, cells + 1):
            names = ", ".join(f'"r{r}c{c}s{s}"' for s in range(1, members + 1))
            rows += ["[[regions.cells]]", f'name = "r{r}c{c}"', f"members = [{names}]"]
    return "\n".join(rows) + "\n"


class StubInstance:
    """The interface of an instance that a policy part uses. `refusal`: result of a dry run, "" for success."""

    def __init__(self) -> None:
        self.facts, self.faults, self.policy, self.refusal = FACTS, 0, 0, ""
        self.tables_frozen = lambda: False
        self.switched: list[int] = []

    def check_switch(self, facts) -> str:
        return self.refusal

    def switch(self, facts, version: int, now: float) -> None:
        self.facts, self.policy = facts, version
        self.switched.append(version)


class StubService:
    """The interface of a service that agents and policy parts use."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.instance = address, StubInstance()
        self.streams, self.views, self.actions = {}, {}, {}
        self.not_ready_reason, self.live_supervisors = (lambda: ""), (lambda: [])

    def schedule_turn(self) -> None:
        pass


class TimedLog(MemoryLog):
    """A log that records when each row was written. `times` is parallel to `rows`, also across restarts."""

    def __init__(self, rows: list, times: list[float], loop: VirtualLoop) -> None:
        self.times, self.loop = times, loop
        super().__init__(rows)

    def add(self, *row) -> None:
        super().add(*row)
        self.times.append(self.loop.now)


class RestartableStore:
    """A store server that can crash and restart; rows that were not synced are lost."""

    def __init__(self, fleet: HierarchicalFleet, name: str, address: tuple[str, int]) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.rows: list = []
        self.times: list[float] = []
        self.down = False
        self.start()

    def start(self) -> None:
        fleet = self.fleet
        self.seat = Seat(fleet.loop, f"store {self.name}")
        self.log = TimedLog(self.rows, self.times, fleet.loop)
        self.server = StoreServer(self.seat, self.address, self.log, fleet.seed, fleet.network.listen)
        self.down = False

    def crash(self, seconds: float) -> None:
        if self.down:
            return
        self.down = True
        self.fleet.network.end_process(self.seat)
        del self.rows[self.log.synced :], self.times[self.log.synced :]
        self.fleet.network.own_seat.after(seconds, self.start)

    @property
    def tree(self) -> Tree:
        return self.server.store.tree

    def data(self, path: str) -> bytes | None:
        node = self.tree.nodes.get(path)
        return None if node is None else node.data

    def written(self) -> list[tuple[float, str, bytes]]:
        """Every write below a records folder: time, path and data, in the store's order, from its log."""
        tree, found, seen = Tree(), [], {}
        for row, at in zip(self.rows, self.times, strict=True):
            apply_record(tree, *row)
            for path, node in tree.nodes.items():
                if "/records/" in path and seen.get(path) != (node.czxid, node.mzxid):
                    seen[path] = node.czxid, node.mzxid
                    found.append((at, path, node.data))
        return found


class HierarchicalFleet:
    """`actions`: time, name and version of each check that found a supervisor's tables free to change.
    `invalid_claims`: time, name and reason of each check at which a supervisor held a lease or claimed to act without
    being entitled to."""

    def __init__(
        self,
        folder: Path,
        regions: int = 2,
        cells: int = 2,
        members: int = 3,
        seed: int = 1,
        near: float = NEAR_DELAY_S,
        far: float = FAR_DELAY_S,
        drift: float = MAX_CLOCK_DRIFT,
        text: str = "",
        start: bool = True,
        timeout: float = TIMEOUT,
        part=PolicyParticipant,
    ) -> None:
        self.folder, self.seed, self.random, self.drift = folder, seed, Random(seed), drift
        self.timeout, self.part_class = timeout, part
        self.loop, self.starts = VirtualLoop(), 0
        self.text = text or tiers_text(regions, cells, members)
        self.tiers: Hierarchy = read_hierarchy(self.text)
        self.near, self.far = near, far
        self.network = Network(self.loop, seed, self._way)
        self.regions = {f"r{r}": [f"r{r}c{c}" for c in range(1, cells + 1)] for r in range(1, regions + 1)}
        self.cells = {
            cell: [f"{cell}s{s}" for s in range(1, members + 1)] for within in self.regions.values() for cell in within
        }
        self.names = [name for within in self.cells.values() for name in within]
        self.cell_of = {name: cell for cell, within in self.cells.items() for name in within}
        self.region_of = {name: cell[: cell.index("c")] for name, cell in self.cell_of.items()}
        self.region_of |= {cell: cell[: cell.index("c")] for cell in self.cells}
        self.hosts = {name: f"127.1.{k // 200}.{k % 200 + 1}" for k, name in enumerate(self.names)}
        self.by_host = {host: name for name, host in self.hosts.items()}
        self.session_owners: dict[tuple[str, int], str] = {}  # supervisor by store and session
        self.registered_at: dict[str, float] = {}  # by cell or region: when it last had a member node
        self.stores: dict[str, RestartableStore] = {}
        for name, host in [(WHOLE, "127.0.0.2"), *((f"r{r}", f"127.0.0.{r + 2}") for r in range(1, regions + 1))]:
            self.network.zones[host] = f"store {name}"
            self.stores[name] = RestartableStore(self, name, (host, 2181))
        for name, host in self.hosts.items():
            self.network.zones[host] = name
        self.parts: dict[str, PolicyParticipant] = {}
        self.agents: dict[str, object] = {}
        self.services: dict[str, StubService] = {}
        self.seats: dict[str, DriftingSeat] = {}
        self.dead: set[str] = set()
        self.other_hierarchies: dict[str, Hierarchy] = {}  # by supervisor: a hierarchy that differs from the others'
        self.actions: list[tuple[float, str, int]] = []
        self.invalid_claims: list[tuple[float, str, str]] = []
        self.logs: list[tuple[float, str, str, dict]] = []
        self.proposal_counts = Counter()
        self._record_sessions()
        if start:
            for name in self.names:
                self.start(name)

    def _way(self, here: str, there: str) -> Route:
        regions = {self.region_of.get(name, name.removeprefix("store ")) for name in (here, there)}
        delay = self.near if len(regions) == 1 else self.far
        return Route(delay, delay / 10)

    # ---- supervisors --------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a new process with this name."""
        host, loop = self.hosts[name], self.loop
        self.starts += 1
        self.dead.discard(name)
        seat = DriftingSeat(loop, name, 1 + self.drift / 2 * self.random.uniform(-1, 1))
        log = lambda event, **fields: self.logs.append((loop.now, name, event, fields))  # noqa: E731
        service = StubService((host, 7000))
        agent = join_fleet(
            seat,
            service,
            [],
            "",
            name,
            "",
            self.timeout,
            log,
            seed=self.random.getrandbits(30),
            dial=self.network.dial(host),
            tiers=self.other_hierarchies.get(name, self.tiers),
        )
        part = self.part_class(
            seat, service, agent, PolicyStore(self.folder / name, "fleet", name), log, unix=lambda: loop.now
        )
        self.parts[name], self.agents[name], self.services[name], self.seats[name] = part, agent, service, seat

        def check_periodically() -> None:
            self._check_supervisor(name, agent, part)
            seat.after(CHECK_INTERVAL_S, check_periodically)

        seat.after(CHECK_INTERVAL_S * self.random.random(), check_periodically)

    def _check_supervisor(self, name: str, agent, part: PolicyParticipant) -> None:
        """Records what the supervisor would do now. Runs as part of its process: not while it is paused or dead."""
        now = self.loop.now
        if not part.instance.tables_frozen():
            self.actions.append((now, name, part.instance.policy))
        if agent.holds_lease() and agent.client.session.session not in self.store_of(name).tree.sessions:
            self.invalid_claims.append((now, name, "its own session has expired"))
        if agent.may_act():
            cell = self.cell_of[name]
            for delegator in (cell, self.region_of[name]):
                absent_for = now - self.registered_at.get(delegator, 0.0)
                if absent_for > absence_margin(self.timeout, self.drift) + TOLERANCE_S and not self._is_registered(
                    delegator
                ):
                    self.invalid_claims.append((now, name, f"{delegator} has had no delegate for {absent_for:.2f} s"))

    def store_of(self, name: str) -> RestartableStore:
        return self.stores[self.region_of[name]]

    def kill(self, name: str) -> None:
        if name in self.dead:
            return
        self.dead.add(name)
        self.network.end_process(self.seats[name])
        self.parts[name].store.close()

    def pause(self, name: str, seconds: float) -> None:
        self.seats[name].pause_until(self.loop.now + seconds)

    def cut(self, name: str, store: str, seconds: float, forth: bool = True, back: bool = True) -> None:
        """Cuts the connection between one supervisor and one store."""
        host, store_host = self.hosts[name], self.stores[store].address[0]
        links = [self.network.route(host, store_host)] * forth + [self.network.route(store_host, host)] * back
        for link in links:
            link.cut = True

        def reconnect() -> None:
            for link in links:
                link.cut = False

        self.network.own_seat.after(seconds, reconnect)

    def disconnect(self, name: str, seconds: float) -> None:
        for store in self.stores:
            self.cut(name, store, seconds)

    def cut_region(self, region: str, seconds: float) -> None:
        """Cuts the connections of a region's supervisors to all stores but their own."""
        for name in self.names:
            if self.region_of[name] == region:
                for store in self.stores:
                    if store != region:
                        self.cut(name, store, seconds)

    def reset_connections(self, name: str) -> None:
        """Resets its connections from the stores' side: pending requests may be executed, but stay unanswered."""
        host = self.hosts[name]
        for stream in [s for s in self.network.streams if s.peer[0] == host]:
            stream.abort("reset", hard=True)

    # ---- time ---------------------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + seconds)

    def until(self, condition, most: float = 60.0, step: float = 0.05) -> float:
        """Runs until the condition holds; returns the seconds it took."""
        start = self.loop.now
        while not condition():
            assert self.loop.now < start + most, f"not within {most:g} s"
            self.run(step)
        return self.loop.now - start

    def up(self) -> None:
        self.until(lambda: all(not self.parts[name].instance.tables_frozen() for name in self.living()))

    def living(self) -> list[str]:
        return [name for name in self.names if name not in self.dead]

    # ---- changes ------------------------------------------------------------------------------------------------

    def ask(self, name: str, grace: float, **options) -> dict | str:
        """Proposes a document; returns the reason where it is refused."""
        try:
            answer = self.parts[name].handle_request(
                PolicyRequest("propose", "somebody", TEXT.format(grace=grace), **options)
            )
        except Refused as error:
            answer = str(error)
        self.proposal_counts["refused" if isinstance(answer, str) else "taken"] += 1
        return answer

    def versions(self) -> dict[str, int]:
        """The policy version that each living supervisor runs."""
        return {name: self.parts[name].instance.policy for name in self.living()}

    def open_change(self, name: str, grace: float, patience: float = 30.0) -> int:
        """Proposes a change, waits until its record is open, and returns its epoch."""
        previous_epoch = 0 if self.top_record() is None else self.top_record().epoch
        answer = self.ask(name, grace, patience=patience)
        assert not isinstance(answer, str), answer
        self.until(lambda: self.top_record() is not None and self.top_record().epoch > previous_epoch, 5, 0.001)
        return self.top_record().epoch

    def write_directly(self, store: str, request) -> None:
        """Writes into a store as a client that ignores all rules."""
        seat, host = Seat(self.loop, "intruder"), "127.9.0.1"
        self.network.zones[host] = "intruder"
        errors = []
        client = RosterClient(
            seat,
            [self.stores[store].address],
            5.0,
            Random(1),
            lambda state: None,
            lambda event: None,
            self.network.dial(host),
        )
        client.send_request(request, lambda error, result: errors.append(error))
        self.until(lambda: errors, 5, 0.01)
        assert errors == [0], errors

    def all_run(self, version: int) -> bool:
        return set(self.versions().values()) == {version}

    # ---- stored state -------------------------------------------------------------------------------------------

    def record(self, store: str, root: str):
        data = self.stores[store].data(f"{root}/records/{TOPIC}")
        return None if data is None else agreement.decode_record(TOPIC, data)

    def top_record(self):
        """The record of the top-level fleet."""
        return self.record(WHOLE, f"{ROOT}/whole")

    def cell_record(self, cell: str):
        return self.record(self.region_of[cell], f"{ROOT}/cells/{cell}")

    def region_record(self, region: str):
        return self.record(region, f"{ROOT}/regions/{region}")

    def votes(self, store: str, root: str, epoch: int) -> dict[str, bool]:
        """The stored votes on an epoch, by name."""
        found, prefix = {}, f"{root}/records/{TOPIC}/{epoch}."
        for path, node in self.stores[store].tree.nodes.items():
            if path.startswith(prefix):
                vote = agreement.read_vote(path.rpartition("/")[2], node.data)
                found[vote.name] = vote.assent
        return found

    def cell_votes(self, cell: str, epoch: int) -> dict[str, bool]:
        return self.votes(self.region_of[cell], f"{ROOT}/cells/{cell}", epoch)

    def region_votes(self, region: str, epoch: int) -> dict[str, bool]:
        return self.votes(region, f"{ROOT}/regions/{region}", epoch)

    def delegate(self, cell: str) -> str:
        """The delegate of a cell or a region: owner of its member node of the latest start; "" where there is none."""
        region = self.region_of.get(cell)
        store, root = (
            (self.stores[WHOLE], f"{ROOT}/whole")
            if region is None
            else (self.stores[region], f"{ROOT}/regions/{region}")
        )
        prefix, found = f"{root}/members/{cell}~", (0, "")
        for path, node in store.tree.nodes.items():
            if path.startswith(prefix):
                found = max(found, (int(path[len(prefix) :]), self.session_owners.get((store.name, node.owner), "")))
        return found[1]

    def _registered_members(self, store: RestartableStore) -> set[str]:
        """The cells or regions that have a member node in the fleet of a store."""
        root = f"{ROOT}/whole" if store.name == WHOLE else f"{ROOT}/regions/{store.name}"
        folder = store.tree.nodes.get(f"{root}/members")
        return set() if folder is None else {node.partition("~")[0] for node in folder.children}

    def _is_registered(self, name: str) -> bool:
        return name in self._registered_members(self.stores[self.region_of.get(name, WHOLE)])

    def _record_sessions(self) -> None:
        """Records the owners of the sessions, and which cells and regions have a member node."""
        now = self.loop.now
        for store in self.stores.values():
            for stream, line in store.server.streams.items():
                if line.session:
                    self.session_owners[store.name, line.session] = self.by_host.get(stream.peer[0], "")
            self.registered_at.update(dict.fromkeys(self._registered_members(store), now))
        self.network.own_seat.after(CHECK_INTERVAL_S, self._record_sessions)

    def committed(self) -> list[tuple[float, int, str]]:
        """Time, version and digest of each commit in the top-level fleet, in the order of its store."""
        found, last_epoch = [], 0
        for at, path, data in self.stores[WHOLE].written():
            if path == f"{ROOT}/whole/records/{TOPIC}":
                record = agreement.decode_record(TOPIC, data)
                if record.state == "settled" and record.epoch > last_epoch:
                    last_epoch, (change, _) = record.epoch, read_change(record.standing.body)
                    found.append((at, change.version, change.digest))
        return found

    def bound(self) -> float:
        return activation_bound_s(self.timeout, AHEAD, self.drift, tiers=3)


# ---- invariants -------------------------------------------------------------------------------------------------


def check_acts(fleet: HierarchicalFleet) -> None:
    """Checks that no supervisor acts on a version that was never committed, or on a superseded one after the bound."""
    settled = fleet.committed()
    versions = [version for _, version, _ in settled]
    assert versions == sorted(set(versions)), f"versions were committed as {versions}"
    committed_at = {version: when for when, version, _ in settled}
    superseded = [(when + fleet.bound() + TOLERANCE_S, version) for when, version, _ in settled]
    for when, name, version in fleet.actions:
        assert not version or version in committed_at, f"{name} acts on version {version}, which was never committed"
        assert not version or when >= committed_at[version], f"{name} acts on version {version} before it was committed"
        newer = [each for end, each in superseded if each > version and when > end]
        assert not newer, (
            f"{name} acts on version {version} at {when:.2f} s, but version {newer[0]} was committed at "
            f"{committed_at[newer[0]]:.2f} s"
        )


def check_leases(fleet: HierarchicalFleet) -> None:
    """Checks that no supervisor claimed to act without being entitled to."""
    for when, name, why in fleet.invalid_claims:
        raise AssertionError(f"{name} claims that it may act at {when:.3f} s, but {why}")


def check_records(fleet: HierarchicalFleet) -> None:
    """Checks that in each fleet an epoch has one token, a record never regresses, and a vote never changes."""
    for store, server in fleet.stores.items():
        tokens: dict[tuple[str, int], str] = {}
        last: dict[str, agreement.Record] = {}
        votes: dict[str, tuple] = {}
        outcomes: dict[tuple[str, int], str] = {}
        for at, path, data in server.written():
            folder, _, node = path.partition("/records/")
            if "/" in node:
                vote = agreement.read_vote(node.rpartition("/")[2], data)
                cast = votes.setdefault(path, (vote.assent, vote.why))
                assert cast == (vote.assent, vote.why), f"{store}: the vote {path} changed at {at:.2f} s"
                continue
            record = agreement.decode_record(node, data)
            key = folder, record.epoch
            assert tokens.setdefault(key, record.token) == record.token, (
                f"{path}: epoch {record.epoch} was allocated twice"
            )
            old = last.get(path)
            assert agreement.newer(record, old), (
                f"{path} regresses from {old.epoch} {old.state} to {record.epoch} {record.state} at {at:.2f} s"
            )
            last[path] = record
            if folder == f"{ROOT}/whole" and record.state in ("settled", "void"):
                outcome = outcomes.setdefault(key, record.state)
                assert outcome == record.state, f"epoch {record.epoch} was both settled and void"
            if folder != f"{ROOT}/whole" and record.state == "settled":
                assert record.token in _settled_tokens(fleet), (
                    f"{path}: {record.epoch} is settled, but not in the top-level fleet"
                )


def _settled_tokens(fleet: HierarchicalFleet) -> set[str]:
    if not hasattr(fleet, "_tokens"):
        found = set()
        for _, path, data in fleet.stores[WHOLE].written():
            if path == f"{ROOT}/whole/records/{TOPIC}":
                record = agreement.decode_record(TOPIC, data)
                if record.state == "settled":
                    found.add(record.token)
        fleet._tokens = found
    return fleet._tokens


def check_convergence(fleet: HierarchicalFleet) -> None:
    """Checks that, long enough after the last fault, all living supervisors run the version in force and nothing is
    open."""
    settled = fleet.committed()
    in_force = settled[-1][1] if settled else 0
    for name in fleet.living():
        part = fleet.parts[name]
        assert part.instance.policy == in_force, (
            f"{name} runs version {part.instance.policy}, but {in_force} is in force"
        )
        assert not part.instance.tables_frozen(), f"{name} has its updates paused at the end"
    records = [("the top-level fleet", fleet.top_record())]
    records += [(region, fleet.region_record(region)) for region in fleet.regions]
    records += [(cell, fleet.cell_record(cell)) for cell in fleet.cells if set(fleet.cells[cell]) - fleet.dead]
    for where, record in records:
        assert not agreement.pending(record), f"{where}: epoch {record.epoch} is {record.state}"


def check(fleet: HierarchicalFleet) -> None:
    """Checks all invariants; AssertionError names the violation."""
    check_records(fleet)
    check_acts(fleet)
    check_leases(fleet)


# ---- random histories -------------------------------------------------------------------------------------------


def drawn_history(
    folder: Path, seed: int, seconds: float = 30.0, settle_time: float = 22.0, **given
) -> HierarchicalFleet:
    """A random history: a change about every second, and faults; then `settle_time` seconds without any, in which all
    must finish."""
    random = Random(f"tiers {seed}")
    members = random.choice([2, 3])
    fleet = HierarchicalFleet(folder, members=members, seed=seed, **given)
    fleet.run(random.choice([0.5, 3.0, 6.0]))
    end, faults = fleet.loop.now + seconds, random.choice([0.2, 0.5, 0.8])
    next_change_at = 0.0
    while fleet.loop.now < end:
        fleet.run(random.choice([0.01, 0.1, 0.4, 1.0]))
        if fleet.loop.now >= next_change_at:
            next_change_at = fleet.loop.now + random.uniform(0.3, 1.7)
            name = random.choice(fleet.living() or fleet.names)
            if name not in fleet.dead:
                fleet.ask(name, round(random.uniform(2.2, 4.0), 2), patience=random.choice([2.0, 5.0, 12.0]))
        if random.random() < faults:
            inject_fault(fleet, random)
    for service in fleet.services.values():
        service.instance.refusal = ""
    for link in fleet.network.routes.values():
        link.cut = False
    stay_absent = random.random() < 0.3  # some supervisors stay absent to the end
    for name in sorted(fleet.dead):
        if not stay_absent:
            fleet.start(name)
    fleet.run(settle_time)
    return fleet


def inject_fault(fleet: HierarchicalFleet, random: Random) -> None:
    """Injects one random fault, preferably into a delegate."""
    name, draw = random.choice(fleet.names), random.random()
    region, cell = fleet.region_of[name], fleet.cell_of[name]
    if random.random() < 0.4:
        name = fleet.delegate(cell) or name  # delegates matter most
    duration = fleet.timeout * random.choice([0.3, 0.7, 0.95, 1.2, 2.0, 3.5, 5.0])
    if draw < 0.10:
        fleet.kill(name)
        fleet.network.own_seat.after(duration, lambda: name in fleet.dead and fleet.start(name))
    elif draw < 0.15:
        fleet.kill(name)  # until a later fault restarts it
    elif draw < 0.25:
        if name in fleet.dead:
            fleet.start(name)
    elif draw < 0.37:
        fleet.pause(name, duration)
    elif draw < 0.57:
        fleet.cut(name, random.choice([WHOLE, region]), duration, *random.choice([(1, 1), (1, 0), (0, 1)]))
    elif draw < 0.65:
        fleet.disconnect(name, duration)
    elif draw < 0.72:
        fleet.cut_region(region, duration)
    elif draw < 0.80:
        fleet.reset_connections(name)
    elif draw < 0.84:
        fleet.stores[random.choice([WHOLE, region])].crash(random.choice([0.2, 1.0, 3.0]))
    elif draw < 0.88:
        store = fleet.stores[random.choice([WHOLE, region])]
        store.seat.pause_until(fleet.loop.now + random.choice([0.3, fleet.timeout, 2 * fleet.timeout]))
    elif draw < 0.92:
        for each in fleet.cells[cell]:
            fleet.pause(each, duration) if random.random() < 0.5 else fleet.disconnect(each, duration)
    else:
        instance = fleet.services[name].instance
        instance.refusal = "it objects"
        fleet.network.own_seat.after(2 * duration, lambda: setattr(instance, "refusal", ""))
