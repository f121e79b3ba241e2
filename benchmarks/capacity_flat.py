"""Exact counts of a flat fleet: agents and the stand-in store in virtual time, every byte and message told by its kind.

A `Metered` fleet holds real agents, each with a meter on its own way to the store. A `Crowd` is a store that holds
nodes of many members and one real agent among them: what one supervisor reads and writes does not depend on whether
the others' nodes were written by a process each, so it goes up to the size that is designed for."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from statistics import median

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Barred
from driftshed.coordination.members import Member, write_member
from driftshed.lab.virtual import Seat
from driftshed.policy import document as policies
from driftshed.policy.change import next_change
from driftshed.roster.client import RosterClient
from driftshed.roster.follow import RosterFollower
from driftshed.roster.jute import EPHEMERAL, Create, Delete, Frames, SetData
from driftshed.roster.membership import Announced, Membership
from driftshed.roster.nodes import write_node
from tests.fleets import ROOT, STORE, TIMEOUT, Fleet

BUCKET = 0.1  # seconds
SEED = 1
KINDS = {-1: "event", -2: "ping", -8: "watches"}


class Names(tuple):
    """Names that are looked up by hash. No byte depends on it; a plain tuple takes hours at these sizes."""

    def __new__(cls, names):
        made = super().__new__(cls, names)
        made.there = frozenset(names)
        return made

    def __contains__(self, name) -> bool:
        return name in self.there


def names(count: int) -> Names:
    return Names(f"s{k:04}" for k in range(count))


class Meter:
    """Bytes and messages on one supervisor's way to the store, by kind: ping, event, or other; `by_time` without
    pings."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.bytes: Counter = Counter()
        self.messages: Counter = Counter()
        self.by_time: Counter = Counter()

    def tap(self):
        """What is told of one stream: each direction's frames are cut and counted by their kind."""
        frames, first = {True: Frames(), False: Frames()}, {True: True, False: True}

        def told(sent: bool, data: bytes) -> None:
            for payload in frames[sent].feed(data):
                kind = "open" if first[sent] else KINDS.get(int.from_bytes(payload[:4], "big", signed=True), "other")
                first[sent] = False
                self.bytes[kind] += len(payload) + 4
                self.messages[kind] += 1
                if kind != "ping":
                    self.by_time[int(self.clock() / BUCKET)] += len(payload) + 4

        return told

    def total(self, what: str = "bytes", pings: bool = False) -> int:
        counts = getattr(self, what)
        return counts.total() - (0 if pings else counts["ping"])


class Metered(Fleet):
    """A fleet whose agents have a meter each."""

    def __init__(self, names=(), seed: int = SEED, **more) -> None:
        self.meters: dict[str, Meter] = {}
        super().__init__(names, seed, **more)

    def start(self, name: str, host: str | None = None):
        self.names = self.names if isinstance(self.names, Names) else Names(self.names)
        meter = self.meters.setdefault(name, Meter(lambda: self.loop.now))
        dial = self.network.dial
        self.network.dial = lambda host: dial(host, meter.tap)
        try:
            return super().start(name, host)
        finally:
            del self.network.dial

    def know_all(self) -> bool:
        living = [agent for agent in self.agents.values() if not agent.seat.ended]
        return all(a.holds() and a.members.whole and len(a.roll.nodes) == len(living) for a in living)

    def up(self) -> None:
        self.until(self.know_all, 120.0)

    def totals(self, what: str = "bytes", pings: bool = False) -> dict[str, int]:
        return {name: meter.total(what, pings) for name, meter in self.meters.items()}

    def watches(self) -> list[int]:
        return [len(held.data) + len(held.children) for held in self.store.store.tree.sessions.values()]

    def grown(self, act, seconds: float, pings: bool = False) -> dict[str, dict[str, int]]:
        """By what is counted and name: what came on top in so many seconds after `act()`."""
        before = {what: self.totals(what, pings) for what in ("bytes", "messages")}
        act()
        self.run(seconds)
        return {
            what: {name: value - before[what].get(name, 0) for name, value in self.totals(what, pings).items()}
            for what in before
        }


def up(count: int, seed: int = SEED) -> Metered:
    fleet = Metered(names(count), seed)
    fleet.up()
    return fleet


def mean(values) -> float:
    values = list(values)
    return round(sum(values) / len(values), 3)


# ---- of one fleet of so many ----------------------------------------------------------------------------------


def joining(count: int, seed: int = SEED) -> dict[str, float]:
    """All start at once until each has read all: bytes and messages of each, and watches held."""
    fleet = up(count, seed)
    return {
        "join_bytes": mean(fleet.totals().values()),
        "join_messages": mean(fleet.totals("messages").values()),
        "watches": mean(fleet.watches()),
        "store_watches": sum(fleet.watches()),
        "store_join_bytes": sum(fleet.totals().values()),
    }


def standing(count: int, seed: int = SEED) -> dict[str, float]:
    """At rest, one word, one death: what each other one reads and writes for it."""
    fleet = up(count, seed)
    fleet.run(2)
    rest = fleet.grown(lambda: None, 20.0, pings=True)
    first, last = fleet.names[0], fleet.names[-1]
    word = fleet.grown(lambda: fleet.agents[first].say(proxies=1), 3.0)
    death = fleet.grown(lambda: fleet.kill(last), 2 * TIMEOUT + 1)
    others = [name for name in fleet.names if name not in (first, last)]
    return {
        "rest_bytes_a_second": mean(value / 20 for value in rest["bytes"].values()),
        "store_rest_bytes_a_second": sum(rest["bytes"].values()) / 20,
        "word_bytes": mean(word["bytes"][name] for name in others),
        "word_messages": mean(word["messages"][name] for name in others),
        "store_word_bytes": sum(word["bytes"].values()),
        "death_bytes": mean(death["bytes"][name] for name in others),
        "death_messages": mean(death["messages"][name] for name in others),
        "store_death_bytes": sum(death["bytes"][name] for name in (first, *others)),
    }


def policy_body(operations: int = 4) -> dict:
    """A change of policy as it stands in a record: the text of a document of so many operations."""
    rows = "".join(
        f'[[operations]]\nname = "operation-{k:02}"\nobjective = 0.5\ntimeout = 1.5\nvalue = 1\neffect = "idempotent"\n'
        for k in range(operations)
    )
    text = f'ahead = 0.3\n{rows}[settings]\nzones = "east,west"\nproxies = 350\nqueue-cap = 4000\ndrain-grace = 5.5\n'
    change = next_change(None, policies.read(text), "operator", "measured")
    return {"version": 1, "digest": change.digest, "text": change.text, "who": change.who, "why": change.why}


def change(count: int, seed: int = SEED) -> dict[str, float]:
    """One change that needs every word, until it is swept: bytes and messages of each; and where its time goes."""
    fleet = up(count, seed)
    fleet.run(2)
    body = policy_body()
    told = fleet.grown(lambda: fleet.propose(fleet.names[-1], "policy", body, patience=10.0), 40.0)
    proposer, others = fleet.names[-1], fleet.names[1:-1]  # the first sweeps
    return {
        "change_bytes": mean(told["bytes"][name] for name in others),
        "change_messages": mean(told["messages"][name] for name in others),
        "proposer_change_bytes": told["bytes"][proposer],
        "store_change_bytes": sum(told["bytes"].values()),
    }


def _stored(fleet: Metered, last: int):
    record = fleet.stored("policy")
    return record if record is not None and record.epoch > last else None


def _spoken(fleet: Metered, last: int) -> bool:
    record = _stored(fleet, last)
    words = fleet.store.store.tree.nodes[f"{ROOT}/records/policy"].children
    return sum(name.startswith(f"{record.epoch}.") for name in words) == len(fleet.names)


def _read(fleet: Metered, last: int) -> bool:
    records = [agent.topics["policy"].record for agent in fleet.all]
    return all(record.epoch > last and record.state == "settled" for record in records)


# Of a record later than epoch `last`: it stands, all words do, it is settled, and all have read so.
PHASES = {
    "open": lambda fleet, last: _stored(fleet, last) is not None,
    "words": _spoken,
    "settled": lambda fleet, last: _stored(fleet, last).state == "settled",
    "read": _read,
}


def chatter(count: int, seed: int = SEED) -> dict[str, float]:
    """Each says something else of itself once a second: bytes a second of each."""
    fleet = up(count, seed)
    fleet.run(2)
    seconds = 10

    def say(k: int) -> None:
        for agent in fleet.all:
            agent.say(proxies=10 + k)
        if k < seconds + 1:
            fleet.network.loop_seat.after(1.0, lambda: say(k + 1))

    say(0)
    fleet.run(2.0)
    told = fleet.grown(lambda: None, float(seconds), pings=True)
    return {"chatter_bytes_a_second": mean(value / seconds for value in told["bytes"].values())}


def phases(count: int, seed: int = SEED, delay: float = 0.02, rounds: int = 8) -> dict[str, float]:
    """Seconds from a proposal until: its record stands, all words do, it is settled, and all have read so."""
    fleet = Metered(names(count), seed, delay=delay)
    fleet.up()
    found: dict[str, list[float]] = defaultdict(list)
    body = policy_body()
    for k in range(rounds):
        fleet.run(1.0 + 0.137 * k)
        last = max((record.epoch for record in (fleet.stored("policy"),) if record), default=0)
        began = fleet.loop.now
        fleet.propose(fleet.names[(7 * k) % count], "policy", {**body, "version": k + 1}, patience=10.0)
        for what, holds in PHASES.items():
            while not holds(fleet, last):
                fleet.run(0.002)
            found[what].append(fleet.loop.now - began)
    return {
        f"{what}_{name}": round(pick(each), 3)
        for what, each in found.items()
        for name, pick in (("p50", median), ("worst", max))
    }


def refused_at() -> int:
    """The smallest number of names that a record may not have."""
    for count in range(1, 10_000):
        try:
            agreement.check("policy", names(count), count, 10.0)
        except Barred:
            return count
    raise AssertionError("a record of any number of names is taken")


def peak(meters, seconds: float = 1.0) -> int:
    """The most bytes of all these meters within one second, by tenths."""
    whole: Counter = Counter()
    for meter in meters:
        whole.update(meter.by_time)
    width = round(seconds / BUCKET)
    return max((sum(whole[at + k] for k in range(width)) for at in whole), default=0)


def burst(count: int, lost: int) -> dict[str, float]:
    """`lost` of `count` die at once, and start again at once: bytes of a survivor, the store's most within a second,
    and how long until all know."""
    fleet = up(count)
    fleet.run(2)
    gone = fleet.names[:lost]
    rest = [fleet.meters[name] for name in fleet.names[lost:]]

    def play(act) -> dict[str, float]:
        for meter in fleet.meters.values():
            meter.by_time.clear()
        began, before = fleet.loop.now, fleet.totals()
        act()
        fleet.run(0.01)
        fleet.until(lambda: fleet.know_all(), 60.0)
        took = fleet.loop.now - began
        after = fleet.totals()
        return {
            "seconds": round(took, 2),
            "survivor_bytes": mean(after[n] - before[n] for n in fleet.names[lost:]) if rest else 0,
            "each_peak": max(map(lambda m: peak([m]), fleet.meters.values())),
            "store_peak": peak(fleet.meters.values()),
            "store_bytes": sum(after[n] - before[n] for n in fleet.names),
        }

    def kill() -> None:
        for name in gone:
            fleet.kill(name)

    def back() -> None:
        for name in gone:
            fleet.start(name)

    found = {}
    if lost < count:
        found |= {f"lost_{key}": value for key, value in play(kill).items()}
    else:
        kill()
        fleet.run(2 * TIMEOUT)
    return found | {f"back_{key}": value for key, value in play(back).items()}


# ---- one among many -------------------------------------------------------------------------------------------


class Crowd:
    """A store that holds the nodes of `count` - 1 members, and one real agent, the last by name."""

    def __init__(self, count: int) -> None:
        self.count, self.fleet = count, Metered()
        self.client = RosterClient(
            Seat(self.fleet.loop, "crowd"),
            [STORE],
            60.0,
            Random(1),
            lambda state: None,
            lambda event: None,
            self.fleet.network.dial("127.0.9.1"),
        )
        self.fleet.run(0.5)
        parts = ROOT.split("/")[1:]
        folders = ["/" + "/".join(parts[: k + 1]) for k in range(len(parts))]
        folders += [f"{ROOT}/members", f"{ROOT}/members-epochs", f"{ROOT}/records"]
        self.ask([Create(path, b"") for path in folders])
        self.fleet.names = names(count)
        others = self.fleet.names[:-1]
        self.ask([Create(f"{ROOT}/members/{name}~1", self.data(name), EPHEMERAL) for name in others])

    @staticmethod
    def data(name: str, proxies: int = 0) -> bytes:
        return write_member(Member(name, "127.0.1.100:7000", "test", incarnation=1, proxies=proxies))

    def ask(self, requests: list) -> None:
        for first in range(0, len(requests), 1000):
            for request in requests[first : first + 1000]:
                self.client.ask(request, lambda error, result: None)
            self.fleet.run(0.5)

    def join(self) -> dict[str, float]:
        """What the one reads as it joins, and what it knows once nothing more comes."""
        name = self.fleet.names[-1]
        agent = self.fleet.start(name)
        seen = -1
        while seen != (seen := self.fleet.meters[name].total()) or self.fleet.loop.now < 5:
            self.fleet.run(3.0)
        return {
            "one_join_bytes": seen,
            "knows": len(agent.roll.nodes),
            "whole": agent.members.whole,
            "records_whole": agent.records.whole,
            "holds": agent.holds(),
        }

    def cost(self, request) -> int:
        name = self.fleet.names[-1]
        return self.fleet.grown(lambda: self.ask([request]), 1.0)["bytes"][name]

    def word(self) -> int:
        name = self.fleet.names[0]
        return self.cost(SetData(f"{ROOT}/members/{name}~1", self.data(name, 1)))

    def death(self) -> int:
        return self.cost(Delete(f"{ROOT}/members/{self.fleet.names[1]}~1"))

    def restart(self) -> int:
        name = self.fleet.names[2]
        gone = self.death_of(name)
        return gone + self.cost(Create(f"{ROOT}/members/{name}~2", self.data(name).replace(b":1}", b":2}"), EPHEMERAL))

    def death_of(self, name: str) -> int:
        return self.cost(Delete(f"{ROOT}/members/{name}~1"))


def one_among(count: int, seed: int = SEED) -> dict[str, float]:
    crowd = Crowd(count)
    joined = crowd.join()
    return joined | {
        "one_word_bytes": crowd.word(),
        "one_death_bytes": crowd.death(),
        "one_restart_bytes": crowd.restart(),
    }


def listing(servers: int, seed: int = SEED) -> dict[str, float]:
    """One supervisor follows a list of so many servers' nodes: bytes of the first list, of one replaced server, and
    how many it takes the whole list to be."""
    crowd = Crowd(2)
    root = "/driftshed/servers"
    told = []

    def node(k: int, state: str = "ready", epoch: int = 1) -> tuple[str, bytes]:
        name = f"10.{k >> 16}.{k >> 8 & 255}.{k & 255}:8000"
        return f"{root}/{name}~{epoch}", write_node(Announced(name, "east", "standard", state, None, 0, 1.0, epoch))

    crowd.ask([Create(root, b"")])
    crowd.ask([Create(*node(k), EPHEMERAL) for k in range(servers)])
    meter = Meter(lambda: crowd.fleet.loop.now)
    seat = Seat(crowd.fleet.loop, "follower")
    RosterFollower(
        seat,
        [STORE],
        root,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        told.append,
        lambda event, **more: None,
        1,
        4.0,
        crowd.fleet.network.dial("127.0.9.9", meter.tap),
    )
    crowd.fleet.run(10.0)
    first = meter.total()
    crowd.ask([Delete(node(0)[0])])
    crowd.ask([Create(*node(0, epoch=2), EPHEMERAL)])
    crowd.fleet.run(6.0)
    return {
        "list_bytes": first,
        "list_knows": len(told[0].servers) if told else 0,
        "list_whole": told[0].whole if told else False,
        "replaced_bytes": meter.total() - first,
    }
