"""Several agents and a store in virtual time, with faults between them; and what must hold of any history."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from driftshed.coordination import agreement
from driftshed.coordination.agent import Agent
from driftshed.coordination.lease import DRIFT
from driftshed.coordination.members import Member
from driftshed.lab.virtual import Network, Seat, VirtualLoop, Way
from driftshed.roster.log import replay
from driftshed.roster.serve import StoreServer
from driftshed.roster.tree import Tree

STORE, ROOT, TIMEOUT, ACT_EVERY = ("127.0.0.2", 2181), "/driftshed/fleet", 2.0, 0.05


class MemoryLog:
    """As the store's log: what was synced is there after a crash, the rest is not."""

    def __init__(self, rows: list) -> None:
        self.rows, self.synced, self.tree = rows, len(rows), Tree()
        for row in rows:
            replay(self.tree, *row)

    def add(self, kind: str, session: int, time: int, body: bytes) -> None:
        self.rows.append((kind, session, time, bytes(body)))

    def sync(self) -> None:
        self.synced = len(self.rows)

    def close(self) -> None:
        pass


class DriftingSeat(Seat):
    """A process whose monotonic clock runs at a rate of its own."""

    def __init__(self, loop: VirtualLoop, name: str, rate: float) -> None:
        super().__init__(loop, name)
        self.rate = rate
        self.clock = lambda: loop.now * rate

    @property
    def now(self) -> float:
        return self.clock()

    def at(self, when, call):
        return super().at(when / self.rate + 1e-9, call)  # else rounding calls it too early by its own clock

    def after(self, seconds, call):
        return self.at(self.clock() + seconds, call)


class Fleet:
    """`names` of the expected; `settled`, `told` and `acts` collect what the checkers look at."""

    def __init__(self, names=("a", "b", "c"), seed: int = 1, drift: float = DRIFT, agent=Agent, delay=0.002) -> None:
        self.loop, self.names, self.random, self.agent_class = VirtualLoop(), tuple(names), Random(seed), agent
        self.network = Network(self.loop, seed, lambda here, there: Way(delay, delay / 2))
        self.network.zones[STORE[0]] = "store"
        self.drift, self.seed, self.starts = drift, seed, 0
        self.acts: list[tuple[float, str, int, bool]] = []  # time, name, incarnation, whether its session stood
        self.saw: dict[tuple[str, int, str], list] = defaultdict(list)  # by agent and topic: records, as they came
        self.proposals: list[tuple[str, object]] = []  # topic, proposal
        self.agents: dict[str, Agent] = {}
        self.all: list[Agent] = []
        self.seats: dict[str, DriftingSeat] = {}
        self.words = {}  # by name: what it says of records, by topic
        self.rows: list = []
        self._serve()
        for name in self.names:
            self.start(name)

    def _serve(self) -> None:
        self.store_seat = Seat(self.loop, "store")
        self.log = MemoryLog(self.rows)
        self.store = StoreServer(self.store_seat, STORE, self.log, self.seed, self.network.listen)

    def start(self, name: str, host: str | None = None) -> Agent:
        """A new process of this name; one that still runs goes on beside it."""
        self.starts += 1
        host = host or f"127.0.1.{self.starts}"
        self.network.zones[host] = host
        rate = 1 + self.drift / 2 * self.random.uniform(-1, 1)
        seat = DriftingSeat(self.loop, name, rate)
        member = Member(name, f"{host}:7000", "test")
        agent = self.agent_class(
            seat,
            [STORE],
            ROOT,
            member,
            self.names,
            TIMEOUT,
            self.random.getrandbits(30),
            dial=self.network.dial(host),
        )
        agent.host, agent.seat = host, seat
        agent.judge = lambda record: self.words.get((name, record.topic), (True, ""))
        agent.on_record = lambda record: self.saw[name, id(agent), record.topic].append(record)
        self.agents[name], self.seats[name] = agent, seat
        self.all.append(agent)

        def act() -> None:
            if agent.holds():
                stands = agent.client.session.session in self.store.store.tree.sessions
                self.acts.append((self.loop.now, name, agent.incarnation, stands))
            seat.after(ACT_EVERY, act)

        seat.after(ACT_EVERY * self.random.random(), act)
        return agent

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + seconds)

    def until(self, condition, most: float = 60.0) -> None:
        end = self.loop.now + most
        while not condition():
            assert self.loop.now < end, "not within the time"
            self.run(0.05)

    def up(self) -> None:
        self.until(lambda: all(agent.holds() for agent in self.agents.values()))

    # ---- faults -------------------------------------------------------------------------------------------------

    def kill(self, name: str) -> None:
        self.network.end(self.seats[name])

    def pause(self, name: str, seconds: float) -> None:
        self.seats[name].hold_still(self.loop.now + seconds)

    def cut(self, name: str, seconds: float, forth: bool = True, back: bool = True) -> None:
        host = self.agents[name].host
        ways = [(host, STORE[0])] * forth + [(STORE[0], host)] * back
        for way in ways:
            self.network.way(*way).cut = True

        def mend() -> None:
            for way in ways:
                self.network.way(*way).cut = False

        self.network.loop_seat.after(seconds, mend)

    def lose_answers(self, name: str) -> None:
        """Its connection is reset from the store's side: what it has asked for may be done, and is not answered."""
        host = self.agents[name].host
        for stream in [s for s in self.network.streams if s.peer[0] == host]:
            stream.abort("reset", hard=True)

    def store_down(self, seconds: float) -> None:
        self.network.end(self.store_seat)
        del self.rows[self.log.synced :]
        self.network.loop_seat.after(seconds, self._serve)

    def store_still(self, seconds: float) -> None:
        self.store_seat.hold_still(self.loop.now + seconds)

    # ---- what stands --------------------------------------------------------------------------------------------

    def propose(
        self, name: str, topic: str, body: object = None, quorum: int | None = None, patience: float = 3.0, **more
    ):
        proposal = self.agents[name].propose(topic, body, self.names, quorum or len(self.names), patience, **more)
        self.proposals.append((topic, proposal))
        return proposal

    def stored(self, topic: str):
        node = self.store.store.tree.nodes.get(f"{ROOT}/records/{topic}")
        return agreement.read_record(topic, node.data) if node is not None else None

    def history(self) -> list:
        """Every record that was ever written, in the store's order, from its log."""
        tree, written, versions = Tree(), [], {}
        for row in self.rows:
            replay(tree, *row)
            folder = tree.nodes.get(f"{ROOT}/records")
            for name in folder.children if folder is not None else ():
                node = tree.nodes[f"{ROOT}/records/{name}"]
                if versions.get(name) != node.mzxid:
                    versions[name] = node.mzxid
                    written.append(agreement.read_record(name, node.data))
        return written


def check(fleet: Fleet) -> None:
    """What must hold of any history, whatever broke. AssertionError names what does not."""
    for at, name, incarnation, stood in fleet.acts:
        assert stood, f"{name}~{incarnation} acted at {at:.3f} s on a lease whose session was over"
    owners: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for at, name, incarnation, _ in fleet.acts:
        owners[name].append((at, incarnation))
    for name, acts in owners.items():
        for (_, one), (at, two) in zip(acts, acts[1:], strict=False):
            assert two >= one, f"{name}: start {one} had acted, then start {two} did at {at:.3f} s"
    written = fleet.history()
    made: dict[int, str] = {}
    ends: dict[int, set] = defaultdict(set)
    for record in written:
        assert made.setdefault(record.epoch, record.token) == record.token, f"epoch {record.epoch} was had twice"
        if record.state in ("settled", "void"):
            ends[record.epoch].add(record.state)
    for epoch, states in ends.items():
        assert len(states) == 1, f"epoch {epoch} was both settled and voided"
    last: dict[str, int] = {}
    for record in written:
        assert record.epoch >= last.get(record.topic, 0), f"{record.topic}: epochs fell"
        last[record.topic] = record.epoch
    settled = {record.token: record for record in written if record.state == "settled"}
    for (name, _, topic), records in fleet.saw.items():
        for one, two in zip(records, records[1:], strict=False):
            assert agreement.newer(two, one), f"{name} saw {topic} fall from {one} to {two}"
        for record in records:
            if record.state == "settled":
                assert record.token in settled, f"{name} saw {topic} settled, and the store did not"
    for topic, proposal in fleet.proposals:
        if proposal.state == "settled":
            assert proposal.token in settled, f"{topic}: told as settled, and it was not"
        elif proposal.state in ("void", "lost", "refused"):
            assert proposal.token not in settled, f"{topic}: told as {proposal.state}, and it was settled"
