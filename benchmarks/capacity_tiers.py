"""Deterministic counts for a hierarchical fleet in virtual time: supervisors in cells, a store for each region and one
for the root fleet, and a meter for all traffic of a supervisor with these stores."""

from __future__ import annotations

from random import Random
from statistics import median

from benchmarks.capacity_flat import Meter, policy_body, rounded_mean
from driftshed.coordination.hierarchical_agent import HierarchicalAgent
from driftshed.coordination.hierarchy import read_hierarchy
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.coordination.members import Member
from driftshed.lab.virtual import Network, Route, Seat, VirtualLoop
from driftshed.roster.serve import StoreServer
from tests.fleets import SESSION_TIMEOUT_S, DriftingSeat, MemoryLog

DELAY_S = 0.02  # one way
CHANGES = 5


def make_tiers_file(regions: int, cells: int, members: int) -> str:
    """The text of a tiers file with this many regions, cells a region and members a cell."""
    text = 'form = 1\nstores = "127.0.2.1:2181"\n'
    for r in range(regions):
        text += f'[[regions]]\nname = "r{r}"\nstores = "127.0.2.{2 + r}:2181"\n'
        for c in range(cells):
            names = ", ".join(f'"m{r}-{c:02}-{k:02}"' for k in range(members))
            text += f'[[regions.cells]]\nname = "c{r}-{c:02}"\nmembers = [{names}]\n'
    return text


class HierarchicalFleet:
    """Agents of a hierarchical fleet and their stores, on one virtual clock."""

    def __init__(self, regions: int, cells: int, members: int, seed: int = 1, delay: float = DELAY_S) -> None:
        """Starts all stores and agents. `delay`: seconds, one way between any two hosts."""
        self.loop, random = VirtualLoop(), Random(f"tiered {seed}")
        self.network = Network(self.loop, seed, lambda here, there: Route(delay, delay / 2))
        self.tiers = read_hierarchy(make_tiers_file(regions, cells, members))
        self.stores = [
            StoreServer(
                Seat(self.loop, f"store {k}"), (f"127.0.2.{1 + k}", 2181), MemoryLog([]), seed + k, self.network.listen
            )
            for k in range(regions + 1)
        ]
        for k in range(regions + 1):
            self.network.zones[f"127.0.2.{1 + k}"] = f"store {k}"
        self.agents: dict[str, HierarchicalAgent] = {}
        self.meters: dict[str, Meter] = {}
        names = [name for region in self.tiers.regions for cell in region.cells for name in cell.members]
        for k, name in enumerate(names):
            host = f"127.1.{k >> 8}.{k & 255}"
            self.network.zones[host] = host
            seat = DriftingSeat(self.loop, name, 1 + MAX_CLOCK_DRIFT / 2 * random.uniform(-1, 1))
            meter = self.meters[name] = Meter(lambda: self.loop.now)
            agent = self.agents[name] = HierarchicalAgent(
                seat,
                self.tiers,
                Member(name, f"{host}:7000", "test"),
                SESSION_TIMEOUT_S,
                random.getrandbits(30),
                dial=self.network.dial(host, meter.open_tap),
            )
            agent.vote_on = lambda record: (True, "")

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        self.loop.run(self.loop.now + seconds)

    def until(self, condition, max_seconds: float = 60.0, step: float = 0.01) -> float:
        """Runs until `condition()` holds and returns the virtual seconds passed; AssertionError after `max_seconds`."""
        started_at = self.loop.now
        while not condition():
            assert self.loop.now < started_at + max_seconds, "condition not met in time"
            self.run(step)
        return self.loop.now - started_at

    def up(self) -> None:
        """Runs until all agents may act."""
        self.until(lambda: all(agent.may_act() for agent in self.agents.values()), step=0.1)

    def bytes(self) -> dict[str, int]:
        """Bytes of each supervisor so far, pings included."""
        return {name: meter.total(pings=True) for name, meter in self.meters.items()}

    def increase(self, seconds: float) -> dict[str, int]:
        """Bytes of each supervisor within the next `seconds`."""
        before = self.bytes()
        self.run(seconds)
        return {name: value - before[name] for name, value in self.bytes().items()}

    def change(self, number: int) -> float:
        """Seconds from a proposal until all supervisors have read its replica in their cell as committed."""
        proposer = list(self.agents.values())[-1]
        body = policy_body() | {"version": number}
        proposal = proposer.propose("policy", body, (), 1, 10.0)

        def all_read() -> bool:
            records = [
                agent.topics["policy"].record if "policy" in agent.topics else None for agent in self.agents.values()
            ]
            return all(r is not None and r.state == "settled" and r.token == proposal.token for r in records)

        return self.until(all_read, 30.0)


def measure_hierarchy(regions: int, cells: int, members: int, seed: int = 1) -> dict[str, float]:
    """What a member, a delegate of a cell and a delegate of a region read and write, heartbeats and polls included: at
    rest, and for a change of policy on top of that (the mean of CHANGES)."""
    fleet = HierarchicalFleet(regions, cells, members, seed)
    fleet.up()
    fleet.run(5)
    seconds = 10.0
    rest = fleet.increase(seconds)
    watches = [
        len(session.data_watches) + len(session.child_watches)
        for store in fleet.stores
        for session in store.store.tree.sessions.values()
    ]
    before, started_at, durations = fleet.bytes(), fleet.loop.now, []
    for number in range(1, CHANGES + 1):
        durations.append(fleet.change(number))
        fleet.run(2.0 + 0.137 * number)
    fleet.run(25)  # until the votes are deleted
    elapsed, after = fleet.loop.now - started_at, fleet.bytes()
    change_bytes = {name: (after[name] - before[name] - rest[name] / seconds * elapsed) / CHANGES for name in after}
    cell_delegates = {name for name, agent in fleet.agents.items() if agent.for_cell is not None}
    region_delegates = {name for name, agent in fleet.agents.items() if agent.for_region is not None}
    members_only = [name for name in fleet.agents if name not in cell_delegates]
    return {
        "tier_rest_member": rounded_mean(rest[name] / seconds for name in members_only),
        "tier_rest_cell": rounded_mean(
            rest[name] / seconds for name in cell_delegates - region_delegates or cell_delegates
        ),
        "tier_rest_region": rounded_mean(rest[name] / seconds for name in region_delegates),
        "tier_change_member": rounded_mean(change_bytes[name] for name in members_only),
        "tier_change_cell": rounded_mean(
            change_bytes[name] for name in cell_delegates - region_delegates or cell_delegates
        ),
        "tier_change_region": rounded_mean(change_bytes[name] for name in region_delegates),
        "tier_watches": max(watches),
        "tier_read_p50": round(median(durations), 3),
        "tier_read_worst": round(max(durations), 3),
    }


def by_members(size: int, seed: int = 1) -> dict[str, float]:
    """Two regions of two cells with `size` members each."""
    return measure_hierarchy(2, 2, size, seed)


def by_cells(size: int, seed: int = 1) -> dict[str, float]:
    """Two regions of `size` cells with four members each."""
    return measure_hierarchy(2, size, 4, seed)


def by_regions(size: int, seed: int = 1) -> dict[str, float]:
    """`size` regions of two cells with three members each."""
    return measure_hierarchy(size, 2, 3, seed)
