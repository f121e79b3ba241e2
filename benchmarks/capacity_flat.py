"""Deterministic counts for a flat fleet: agents and the stand-in store in virtual time; bytes and messages by kind.

A `MeteredFleet` consists of real agents, each with a meter on its connection to the store. A `CrowdedStore` holds the
nodes of many members written by one client, and one real agent. What one supervisor reads and writes does not depend
on whether each of the other nodes was written by its own process, so it reaches the design size."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from statistics import median

from driftshed.coordination import agreement
from driftshed.coordination.agreement import RecordError
from driftshed.coordination.members import Member, encode_member
from driftshed.lab.virtual import Seat
from driftshed.policy import document as policies
from driftshed.policy.change import next_change
from driftshed.roster.client import RosterClient
from driftshed.roster.follow import RosterFollower
from driftshed.roster.jute import EPHEMERAL, Create, Delete, Frames, SetData
from driftshed.roster.membership import Membership, ServerAnnouncement
from driftshed.roster.nodes import write_node
from tests.fleets import ROOT, SESSION_TIMEOUT_S, STORE, Fleet

BUCKET_S = 0.1  # resolution of Meter.by_time
SEED = 1
MESSAGE_KINDS = {-1: "event", -2: "ping", -8: "watches"}


class HashedNames(tuple):
    """A tuple of names with constant-time lookup. The counts are those of a plain tuple, which takes hours at these
    sizes."""

    def __new__(cls, names):
        """Builds the tuple and its set of names."""
        made = super().__new__(cls, names)
        made.lookup = frozenset(names)
        return made

    def __contains__(self, name) -> bool:
        """Looks the name up by hash."""
        return name in self.lookup


def member_names(count: int) -> HashedNames:
    """The names of `count` members, in ascending order."""
    return HashedNames(f"s{k:04}" for k in range(count))


class Meter:
    """Bytes and messages between one supervisor and the store, by kind: open, ping, event, watches or other. `by_time`:
    bytes without pings, by bucket of BUCKET_S."""

    def __init__(self, clock) -> None:
        """`clock` gives the virtual time in seconds."""
        self.clock = clock
        self.bytes: Counter = Counter()
        self.messages: Counter = Counter()
        self.by_time: Counter = Counter()

    def open_tap(self):
        """The callback for one stream: it splits each direction into frames and counts them by kind."""
        frames, is_first = {True: Frames(), False: Frames()}, {True: True, False: True}

        def count_message(sent: bool, data: bytes) -> None:
            for payload in frames[sent].feed(data):
                kind = (
                    "open"
                    if is_first[sent]
                    else MESSAGE_KINDS.get(int.from_bytes(payload[:4], "big", signed=True), "other")
                )
                is_first[sent] = False
                self.bytes[kind] += len(payload) + 4
                self.messages[kind] += 1
                if kind != "ping":
                    self.by_time[int(self.clock() / BUCKET_S)] += len(payload) + 4

        return count_message

    def total(self, what: str = "bytes", pings: bool = False) -> int:
        """The total of `what`, "bytes" or "messages"."""
        counts = getattr(self, what)
        return counts.total() - (0 if pings else counts["ping"])


class MeteredFleet(Fleet):
    """A fleet with a meter for each agent, by name. A restarted agent continues its predecessor's meter."""

    def __init__(self, names=(), seed: int = SEED, **options) -> None:
        """Starts an agent for each of `names`; `options` are those of Fleet."""
        self.meters: dict[str, Meter] = {}
        super().__init__(names, seed, **options)

    def start(self, name: str, host: str | None = None):
        """Starts an agent whose streams to the store are metered."""
        self.names = self.names if isinstance(self.names, HashedNames) else HashedNames(self.names)
        meter = self.meters.setdefault(name, Meter(lambda: self.loop.now))
        dial = self.network.dial
        self.network.dial = lambda host: dial(host, meter.open_tap)
        try:
            return super().start(name, host)
        finally:
            del self.network.dial

    def views_complete(self) -> bool:
        """Whether each living agent holds its lease and has read exactly the living members."""
        living = [agent for agent in self.agents.values() if not agent.seat.ended]
        return all(a.holds_lease() and a.members.complete and len(a.membership.nodes) == len(living) for a in living)

    def run_until_up(self) -> None:
        """Runs until `views_complete`, for 120 s of virtual time at most."""
        self.run_until(self.views_complete, 120.0)

    def total_by_name(self, what: str = "bytes", pings: bool = False) -> dict[str, int]:
        """Totals of `what` by agent name."""
        return {name: meter.total(what, pings) for name, meter in self.meters.items()}

    def watches(self) -> list[int]:
        """The number of watches of each session."""
        return [len(held.data_watches) + len(held.child_watches) for held in self.store.store.tree.sessions.values()]

    def increase(self, action, seconds: float, pings: bool = False) -> dict[str, dict[str, int]]:
        """Calls `action` and returns the increase of bytes and of messages over `seconds`, by name."""
        before = {what: self.total_by_name(what, pings) for what in ("bytes", "messages")}
        action()
        self.run(seconds)
        return {
            what: {name: value - before[what].get(name, 0) for name, value in self.total_by_name(what, pings).items()}
            for what in before
        }


def ready_fleet(count: int, seed: int = SEED) -> MeteredFleet:
    """A fleet of `count` agents whose views are complete."""
    fleet = MeteredFleet(member_names(count), seed)
    fleet.run_until_up()
    return fleet


def rounded_mean(values) -> float:
    """The mean, rounded to three digits after the point."""
    values = list(values)
    return round(sum(values) / len(values), 3)


# ---- fleets of agents ----


def measure_joining(count: int, seed: int = SEED) -> dict[str, float]:
    """All start at once, until each has read all members: bytes and messages of each, and watches held."""
    fleet = ready_fleet(count, seed)
    return {
        "join_bytes": rounded_mean(fleet.total_by_name().values()),
        "join_messages": rounded_mean(fleet.total_by_name("messages").values()),
        "watches": rounded_mean(fleet.watches()),
        "store_watches": sum(fleet.watches()),
        "store_join_bytes": sum(fleet.total_by_name().values()),
    }


def measure_rest_and_events(count: int, seed: int = SEED) -> dict[str, float]:
    """What each other supervisor reads and writes at rest, for one update of a member, and for one death."""
    fleet = ready_fleet(count, seed)
    fleet.run(2)
    rest = fleet.increase(lambda: None, 20.0, pings=True)
    first, last = fleet.names[0], fleet.names[-1]
    update = fleet.increase(lambda: fleet.agents[first].publish(proxies=1), 3.0)
    death = fleet.increase(lambda: fleet.kill(last), 2 * SESSION_TIMEOUT_S + 1)
    others = [name for name in fleet.names if name not in (first, last)]
    return {
        "rest_bytes_a_second": rounded_mean(value / 20 for value in rest["bytes"].values()),
        "store_rest_bytes_a_second": sum(rest["bytes"].values()) / 20,
        "word_bytes": rounded_mean(update["bytes"][name] for name in others),
        "word_messages": rounded_mean(update["messages"][name] for name in others),
        "store_word_bytes": sum(update["bytes"].values()),
        "death_bytes": rounded_mean(death["bytes"][name] for name in others),
        "death_messages": rounded_mean(death["messages"][name] for name in others),
        "store_death_bytes": sum(death["bytes"][name] for name in (first, *others)),
    }


def policy_body(operations: int = 4) -> dict:
    """The body of a record that proposes a policy with this many operations."""
    rows = "".join(
        f'[[operations]]\nname = "operation-{k:02}"\nobjective = 0.5\ntimeout = 1.5\nvalue = 1\neffect = "idempotent"\n'
        for k in range(operations)
    )
    text = f'ahead = 0.3\n{rows}[settings]\nzones = "east,west"\nproxies = 350\nqueue-cap = 4000\ndrain-grace = 5.5\n'
    change = next_change(None, policies.read_toml(text), "operator", "measured")
    return {"version": 1, "digest": change.digest, "text": change.text, "who": change.who, "why": change.why}


def measure_change(count: int, seed: int = SEED) -> dict[str, float]:
    """One change that needs every vote, until its votes are deleted: bytes and messages of each supervisor."""
    fleet = ready_fleet(count, seed)
    fleet.run(2)
    body = policy_body()
    increase_by_name = fleet.increase(lambda: fleet.propose(fleet.names[-1], "policy", body, patience=10.0), 40.0)
    proposer, others = fleet.names[-1], fleet.names[1:-1]  # the first supervisor deletes the votes
    return {
        "change_bytes": rounded_mean(increase_by_name["bytes"][name] for name in others),
        "change_messages": rounded_mean(increase_by_name["messages"][name] for name in others),
        "proposer_change_bytes": increase_by_name["bytes"][proposer],
        "store_change_bytes": sum(increase_by_name["bytes"].values()),
    }


def _record_after(fleet: MeteredFleet, last: int):
    record = fleet.stored_record("policy")
    return record if record is not None and record.epoch > last else None


def _all_voted(fleet: MeteredFleet, last: int) -> bool:
    record = _record_after(fleet, last)
    votes = fleet.store.store.tree.nodes[f"{ROOT}/records/policy"].children
    return sum(name.startswith(f"{record.epoch}.") for name in votes) == len(fleet.names)


def _all_read(fleet: MeteredFleet, last: int) -> bool:
    records = [agent.topics["policy"].record for agent in fleet.all_agents]
    return all(record.epoch > last and record.state == "settled" for record in records)


# Conditions on a record later than epoch `last`: it is stored, all votes are, it is committed, all have read that.
PHASES = {
    "open": lambda fleet, last: _record_after(fleet, last) is not None,
    "words": _all_voted,
    "settled": lambda fleet, last: _record_after(fleet, last).state == "settled",
    "read": _all_read,
}


def measure_updates(count: int, seed: int = SEED) -> dict[str, float]:
    """Each updates its member node once a second: bytes/s of each."""
    fleet = ready_fleet(count, seed)
    fleet.run(2)
    seconds = 10

    def publish(k: int) -> None:
        for agent in fleet.all_agents:
            agent.publish(proxies=10 + k)
        if k < seconds + 1:
            fleet.network.own_seat.after(1.0, lambda: publish(k + 1))

    publish(0)
    fleet.run(2.0)
    increase_by_name = fleet.increase(lambda: None, float(seconds), pings=True)
    return {"chatter_bytes_a_second": rounded_mean(value / seconds for value in increase_by_name["bytes"].values())}


def measure_phases(count: int, seed: int = SEED, delay: float = 0.02, rounds: int = 8) -> dict[str, float]:
    """Seconds from a proposal until each condition of PHASES holds: median and maximum over `rounds` changes."""
    fleet = MeteredFleet(member_names(count), seed, delay=delay)
    fleet.run_until_up()
    durations: dict[str, list[float]] = defaultdict(list)
    body = policy_body()
    for k in range(rounds):
        fleet.run(1.0 + 0.137 * k)
        last = max((record.epoch for record in (fleet.stored_record("policy"),) if record), default=0)
        started_at = fleet.loop.now
        fleet.propose(fleet.names[(7 * k) % count], "policy", {**body, "version": k + 1}, patience=10.0)
        for what, reached in PHASES.items():
            while not reached(fleet, last):
                fleet.run(0.002)
            durations[what].append(fleet.loop.now - started_at)
    return {
        f"{what}_{name}": round(pick(each), 3)
        for what, each in durations.items()
        for name, pick in (("p50", median), ("worst", max))
    }


def first_refused_name_count() -> int:
    """The smallest number of voters' names that a record may not have."""
    for count in range(1, 10_000):
        try:
            agreement.check_proposal("policy", member_names(count), count, 10.0)
        except RecordError:
            return count
    raise AssertionError("records accept any number of names")


def max_bytes_in_window(meters, seconds: float = 1.0) -> int:
    """The maximum of the summed bytes of these meters within `seconds`, at a resolution of BUCKET_S."""
    bytes_by_bucket: Counter = Counter()
    for meter in meters:
        bytes_by_bucket.update(meter.by_time)
    width = round(seconds / BUCKET_S)
    return max((sum(bytes_by_bucket[at + k] for k in range(width)) for at in bytes_by_bucket), default=0)


def measure_burst(count: int, lost: int) -> dict[str, float]:
    """`lost` of `count` supervisors die at once, and later restart at once: bytes of a survivor, the maximum bytes
    within one second of a supervisor and of the store, and the seconds until all views are complete."""
    fleet = ready_fleet(count)
    fleet.run(2)
    failed = fleet.names[:lost]
    survivor_meters = [fleet.meters[name] for name in fleet.names[lost:]]

    def measure_after(action) -> dict[str, float]:
        for meter in fleet.meters.values():
            meter.by_time.clear()
        started_at, before = fleet.loop.now, fleet.total_by_name()
        action()
        fleet.run(0.01)
        fleet.run_until(lambda: fleet.views_complete(), 60.0)
        duration = fleet.loop.now - started_at
        after = fleet.total_by_name()
        return {
            "seconds": round(duration, 2),
            "survivor_bytes": rounded_mean(after[n] - before[n] for n in fleet.names[lost:]) if survivor_meters else 0,
            "each_peak": max(map(lambda m: max_bytes_in_window([m]), fleet.meters.values())),
            "store_peak": max_bytes_in_window(fleet.meters.values()),
            "store_bytes": sum(after[n] - before[n] for n in fleet.names),
        }

    def kill() -> None:
        for name in failed:
            fleet.kill(name)

    def restart() -> None:
        for name in failed:
            fleet.start(name)

    results = {}
    if lost < count:
        results |= {f"lost_{key}": value for key, value in measure_after(kill).items()}
    else:
        kill()
        fleet.run(2 * SESSION_TIMEOUT_S)
    return results | {f"back_{key}": value for key, value in measure_after(restart).items()}


# ---- one agent among many members ----


class CrowdedStore:
    """A store with the nodes of `count` - 1 members, and one real agent that has the last name."""

    def __init__(self, count: int) -> None:
        """Creates the nodes; the agent is started by `join`."""
        self.count, self.fleet = count, MeteredFleet()
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
        self.send([Create(path, b"") for path in folders])
        self.fleet.names = member_names(count)
        others = self.fleet.names[:-1]
        self.send([Create(f"{ROOT}/members/{name}~1", self.member_data(name), EPHEMERAL) for name in others])

    @staticmethod
    def member_data(name: str, proxies: int = 0) -> bytes:
        """The content of a member's node."""
        return encode_member(Member(name, "127.0.1.100:7000", "test", incarnation=1, proxies=proxies))

    def send(self, requests: list) -> None:
        """Sends requests from the client that owns the other members' nodes, 1000 per half second."""
        for first in range(0, len(requests), 1000):
            for request in requests[first : first + 1000]:
                self.client.send_request(request, lambda error, result: None)
            self.fleet.run(0.5)

    def join(self) -> dict[str, float]:
        """Starts the agent; returns the bytes it has read once no more arrive, and its state."""
        name = self.fleet.names[-1]
        agent = self.fleet.start(name)
        bytes_read = -1
        while bytes_read != (bytes_read := self.fleet.meters[name].total()) or self.fleet.loop.now < 5:
            self.fleet.run(3.0)
        return {
            "one_join_bytes": bytes_read,
            "knows": len(agent.membership.nodes),
            "whole": agent.members.complete,
            "records_whole": agent.records.complete,
            "holds": agent.holds_lease(),
        }

    def bytes_read_for(self, request) -> int:
        """Bytes that the agent exchanges within one second after this request."""
        name = self.fleet.names[-1]
        return self.fleet.increase(lambda: self.send([request]), 1.0)["bytes"][name]

    def update(self) -> int:
        """Bytes for one update of another member's node."""
        name = self.fleet.names[0]
        return self.bytes_read_for(SetData(f"{ROOT}/members/{name}~1", self.member_data(name, 1)))

    def death(self) -> int:
        """Bytes for the death of another member."""
        return self.bytes_read_for(Delete(f"{ROOT}/members/{self.fleet.names[1]}~1"))

    def restart(self) -> int:
        """Bytes for the death of another member and its return as its second incarnation."""
        name = self.fleet.names[2]
        death_bytes = self.delete_member(name)
        return death_bytes + self.bytes_read_for(
            Create(f"{ROOT}/members/{name}~2", self.member_data(name).replace(b":1}", b":2}"), EPHEMERAL)
        )

    def delete_member(self, name: str) -> int:
        """Bytes for the deletion of this member's node."""
        return self.bytes_read_for(Delete(f"{ROOT}/members/{name}~1"))


def measure_one_among(count: int, seed: int = SEED) -> dict[str, float]:
    """What one supervisor reads as it joins, and for an update, a death and a restart of another."""
    crowd = CrowdedStore(count)
    joined = crowd.join()
    return joined | {
        "one_word_bytes": crowd.update(),
        "one_death_bytes": crowd.death(),
        "one_restart_bytes": crowd.restart(),
    }


def measure_listing(servers: int, seed: int = SEED) -> dict[str, float]:
    """One supervisor follows a list of this many servers' nodes: bytes of the first list and of one replaced server,
    and the number of servers in the first complete list."""
    crowd = CrowdedStore(2)
    root = "/driftshed/servers"
    snapshots = []

    def node(k: int, state: str = "ready", epoch: int = 1) -> tuple[str, bytes]:
        name = f"10.{k >> 16}.{k >> 8 & 255}.{k & 255}:8000"
        return f"{root}/{name}~{epoch}", write_node(
            ServerAnnouncement(name, "east", "standard", state, None, 0, 1.0, epoch)
        )

    crowd.send([Create(root, b"")])
    crowd.send([Create(*node(k), EPHEMERAL) for k in range(servers)])
    meter = Meter(lambda: crowd.fleet.loop.now)
    seat = Seat(crowd.fleet.loop, "follower")
    RosterFollower(
        seat,
        [STORE],
        root,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        snapshots.append,
        lambda event, **fields: None,
        1,
        4.0,
        crowd.fleet.network.dial("127.0.9.9", meter.open_tap),
    )
    crowd.fleet.run(10.0)
    list_bytes = meter.total()
    crowd.send([Delete(node(0)[0])])
    crowd.send([Create(*node(0, epoch=2), EPHEMERAL)])
    crowd.fleet.run(6.0)
    return {
        "list_bytes": list_bytes,
        "list_knows": len(snapshots[0].servers) if snapshots else 0,
        "list_whole": snapshots[0].whole if snapshots else False,
        "replaced_bytes": meter.total() - list_bytes,
    }
