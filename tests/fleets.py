"""A simulated fleet: several agents and a store in virtual time, with injected faults; and a checker of its
invariants."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from driftshed.coordination import agreement
from driftshed.coordination.agent import Agent
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.coordination.members import Member
from driftshed.lab.virtual import Network, Route, Seat, VirtualLoop
from driftshed.roster.log import apply_record
from driftshed.roster.serve import StoreServer
from driftshed.roster.tree import Tree

STORE, ROOT, SESSION_TIMEOUT_S, ACTION_INTERVAL_S = ("127.0.0.2", 2181), "/driftshed/fleet", 2.0, 0.05


class MemoryLog:
    """In-memory replacement for the store's log: only synced rows survive a crash."""

    def __init__(self, rows: list) -> None:
        self.rows, self.synced, self.tree = rows, len(rows), Tree()
        for row in rows:
            apply_record(self.tree, *row)

    def add(self, kind: str, session: int, time: int, body: bytes) -> None:
        self.rows.append((kind, session, time, bytes(body)))

    def sync(self) -> None:
        self.synced = len(self.rows)

    def close(self) -> None:
        pass


class DriftingSeat(Seat):
    """A simulated process whose monotonic clock runs at its own rate."""

    def __init__(self, loop: VirtualLoop, name: str, rate: float) -> None:
        super().__init__(loop, name)
        self.rate = rate
        self.clock = lambda: loop.now * rate

    @property
    def now(self) -> float:
        return self.clock()

    def at(self, when, call):
        return super().at(when / self.rate + 1e-9, call)  # rounding must not fire it too early by its own clock

    def after(self, seconds, call):
        return self.at(self.clock() + seconds, call)


class Fleet:
    """Agents with the given `names` and one store. `actions`, `records_seen` and `proposals` record what
    `check_history` examines."""

    def __init__(
        self, names=("a", "b", "c"), seed: int = 1, drift: float = MAX_CLOCK_DRIFT, agent=Agent, delay=0.002
    ) -> None:
        self.loop, self.names, self.random, self.agent_class = VirtualLoop(), tuple(names), Random(seed), agent
        self.network = Network(self.loop, seed, lambda here, there: Route(delay, delay / 2))
        self.network.zones[STORE[0]] = "store"
        self.drift, self.seed, self.starts = drift, seed, 0
        self.actions: list[
            tuple[float, str, int, bool]
        ] = []  # time, name, incarnation, whether the store still had its session
        self.records_seen: dict[tuple[str, int, str], list] = defaultdict(
            list
        )  # by agent and topic: records in the order received
        self.proposals: list[tuple[str, object]] = []  # topic, proposal
        self.agents: dict[str, Agent] = {}
        self.all_agents: list[Agent] = []
        self.processes: dict[str, DriftingSeat] = {}
        self.votes = {}  # by name and topic: the vote to cast, (True, "") unless set
        self.rows: list = []
        self._start_store()
        for name in self.names:
            self.start(name)

    def _start_store(self) -> None:
        self.store_seat = Seat(self.loop, "store")
        self.log = MemoryLog(self.rows)
        self.store = StoreServer(self.store_seat, STORE, self.log, self.seed, self.network.listen)

    def start(self, name: str, host: str | None = None) -> Agent:
        """Starts a process with this name; an earlier one that still runs continues alongside."""
        self.starts += 1
        host = host or f"127.0.1.{self.starts}"
        self.network.zones[host] = host
        clock_rate = 1 + self.drift / 2 * self.random.uniform(-1, 1)
        seat = DriftingSeat(self.loop, name, clock_rate)
        member = Member(name, f"{host}:7000", "test")
        agent = self.agent_class(
            seat,
            [STORE],
            ROOT,
            member,
            self.names,
            SESSION_TIMEOUT_S,
            self.random.getrandbits(30),
            dial=self.network.dial(host),
        )
        agent.host, agent.seat = host, seat
        agent.vote_on = lambda record: self.votes.get((name, record.topic), (True, ""))
        agent.on_record = lambda record: self.records_seen[name, id(agent), record.topic].append(record)
        self.agents[name], self.processes[name] = agent, seat
        self.all_agents.append(agent)

        def record_action() -> None:
            if agent.holds_lease():
                session_exists = agent.client.session.session in self.store.store.tree.sessions
                self.actions.append((self.loop.now, name, agent.incarnation, session_exists))
            seat.after(ACTION_INTERVAL_S, record_action)

        seat.after(ACTION_INTERVAL_S * self.random.random(), record_action)
        return agent

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + seconds)

    def run_until(self, condition, most: float = 60.0) -> None:
        end = self.loop.now + most
        while not condition():
            assert self.loop.now < end, "the condition did not hold in time"
            self.run(0.05)

    def run_until_up(self) -> None:
        self.run_until(lambda: all(agent.holds_lease() for agent in self.agents.values()))

    # ---- faults -------------------------------------------------------------------------------------------------

    def kill(self, name: str) -> None:
        self.network.end_process(self.processes[name])

    def pause(self, name: str, seconds: float) -> None:
        self.processes[name].pause_until(self.loop.now + seconds)

    def cut(self, name: str, seconds: float, forth: bool = True, back: bool = True) -> None:
        host = self.agents[name].host
        links = [(host, STORE[0])] * forth + [(STORE[0], host)] * back
        for link in links:
            self.network.route(*link).cut = True

        def reconnect() -> None:
            for link in links:
                self.network.route(*link).cut = False

        self.network.own_seat.after(seconds, reconnect)

    def reset_connections(self, name: str) -> None:
        """Resets its connections from the store's side: pending requests may be executed, but stay unanswered."""
        host = self.agents[name].host
        for stream in [s for s in self.network.streams if s.peer[0] == host]:
            stream.abort("reset", hard=True)

    def crash_store(self, seconds: float) -> None:
        self.network.end_process(self.store_seat)
        del self.rows[self.log.synced :]
        self.network.own_seat.after(seconds, self._start_store)

    def pause_store(self, seconds: float) -> None:
        self.store_seat.pause_until(self.loop.now + seconds)

    # ---- proposals and records ----------------------------------------------------------------------------------

    def propose(
        self, name: str, topic: str, body: object = None, quorum: int | None = None, patience: float = 3.0, **more
    ):
        proposal = self.agents[name].propose(topic, body, self.names, quorum or len(self.names), patience, **more)
        self.proposals.append((topic, proposal))
        return proposal

    def stored_record(self, topic: str):
        node = self.store.store.tree.nodes.get(f"{ROOT}/records/{topic}")
        return agreement.decode_record(topic, node.data) if node is not None else None

    def history(self) -> list:
        """Every record version ever written, in the store's order, from its log."""
        tree, found, versions = Tree(), [], {}
        for row in self.rows:
            apply_record(tree, *row)
            folder = tree.nodes.get(f"{ROOT}/records")
            for name in folder.children if folder is not None else ():
                node = tree.nodes[f"{ROOT}/records/{name}"]
                if versions.get(name) != node.mzxid:
                    versions[name] = node.mzxid
                    found.append(agreement.decode_record(name, node.data))
        return found


def check_history(fleet: Fleet) -> None:
    """Checks the invariants of any history, whatever faults occurred; AssertionError names the violation."""
    for at, name, incarnation, session_existed in fleet.actions:
        assert session_existed, f"{name}~{incarnation} acted at {at:.3f} s on a lease whose session had expired"
    owners: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for at, name, incarnation, _ in fleet.actions:
        owners[name].append((at, incarnation))
    for name, actions in owners.items():
        for (_, earlier), (at, later) in zip(actions, actions[1:], strict=False):
            assert later >= earlier, f"{name}: start {earlier} had acted, then start {later} did at {at:.3f} s"
    written = fleet.history()
    tokens: dict[int, str] = {}
    outcomes: dict[int, set] = defaultdict(set)
    for record in written:
        assert tokens.setdefault(record.epoch, record.token) == record.token, (
            f"epoch {record.epoch} was allocated twice"
        )
        if record.state in ("settled", "void"):
            outcomes[record.epoch].add(record.state)
    for epoch, states in outcomes.items():
        assert len(states) == 1, f"epoch {epoch} was both settled and void"
    last: dict[str, int] = {}
    for record in written:
        assert record.epoch >= last.get(record.topic, 0), f"{record.topic}: epochs decreased"
        last[record.topic] = record.epoch
    settled = {record.token: record for record in written if record.state == "settled"}
    for (name, _, topic), records in fleet.records_seen.items():
        for earlier, later in zip(records, records[1:], strict=False):
            assert agreement.newer(later, earlier), f"{name} saw {topic} regress from {earlier} to {later}"
        for record in records:
            if record.state == "settled":
                assert record.token in settled, f"{name} saw {topic} settled, but the store has no such record"
    for topic, proposal in fleet.proposals:
        if proposal.state == "settled":
            assert proposal.token in settled, f"{topic}: reported as settled, but it was not"
        elif proposal.state in ("void", "lost", "refused"):
            assert proposal.token not in settled, f"{topic}: reported as {proposal.state}, but it was settled"
