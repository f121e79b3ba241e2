"""Exact counts of a fleet in tiers in virtual time: supervisors of cells, a store for each region and one for the
whole, a meter on all that a supervisor says to any of them."""

from __future__ import annotations

from random import Random
from statistics import median

from benchmarks.capacity_flat import Meter, mean, policy_body
from driftshed.coordination.lease import DRIFT
from driftshed.coordination.members import Member
from driftshed.coordination.tiered import Tiered
from driftshed.coordination.tiers import read_tiers
from driftshed.lab.virtual import Network, Seat, VirtualLoop, Way
from driftshed.roster.serve import StoreServer
from tests.fleets import TIMEOUT, DriftingSeat, MemoryLog

DELAY = 0.02  # seconds, one way
CHANGES = 5


def tiers_file(regions: int, cells: int, members: int) -> str:
    text = 'form = 1\nstores = "127.0.2.1:2181"\n'
    for r in range(regions):
        text += f'[[regions]]\nname = "r{r}"\nstores = "127.0.2.{2 + r}:2181"\n'
        for c in range(cells):
            names = ", ".join(f'"m{r}-{c:02}-{k:02}"' for k in range(members))
            text += f'[[regions.cells]]\nname = "c{r}-{c:02}"\nmembers = [{names}]\n'
    return text


class TieredFleet:
    def __init__(self, regions: int, cells: int, members: int, seed: int = 1, delay: float = DELAY) -> None:
        self.loop, random = VirtualLoop(), Random(f"tiered {seed}")
        self.network = Network(self.loop, seed, lambda here, there: Way(delay, delay / 2))
        self.tiers = read_tiers(tiers_file(regions, cells, members))
        self.stores = [
            StoreServer(
                Seat(self.loop, f"store {k}"), (f"127.0.2.{1 + k}", 2181), MemoryLog([]), seed + k, self.network.listen
            )
            for k in range(regions + 1)
        ]
        for k in range(regions + 1):
            self.network.zones[f"127.0.2.{1 + k}"] = f"store {k}"
        self.agents: dict[str, Tiered] = {}
        self.meters: dict[str, Meter] = {}
        names = [name for region in self.tiers.regions for cell in region.cells for name in cell.members]
        for k, name in enumerate(names):
            host = f"127.1.{k >> 8}.{k & 255}"
            self.network.zones[host] = host
            seat = DriftingSeat(self.loop, name, 1 + DRIFT / 2 * random.uniform(-1, 1))
            meter = self.meters[name] = Meter(lambda: self.loop.now)
            agent = self.agents[name] = Tiered(
                seat,
                self.tiers,
                Member(name, f"{host}:7000", "test"),
                TIMEOUT,
                random.getrandbits(30),
                dial=self.network.dial(host, meter.tap),
            )
            agent.judge = lambda record: (True, "")

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + seconds)

    def until(self, holds, most: float = 60.0, step: float = 0.01) -> float:
        began = self.loop.now
        while not holds():
            assert self.loop.now < began + most, "not within the time"
            self.run(step)
        return self.loop.now - began

    def up(self) -> None:
        self.until(lambda: all(agent.acts() for agent in self.agents.values()), step=0.1)

    def bytes(self) -> dict[str, int]:
        return {name: meter.total(pings=True) for name, meter in self.meters.items()}

    def grown(self, seconds: float) -> dict[str, int]:
        before = self.bytes()
        self.run(seconds)
        return {name: value - before[name] for name, value in self.bytes().items()}

    def change(self, number: int) -> float:
        """Seconds from a proposal until the cells' copies are read as settled by all."""
        proposer = list(self.agents.values())[-1]
        body = policy_body() | {"version": number}
        proposal = proposer.propose("policy", body, (), 1, 10.0)

        def read() -> bool:
            records = [
                agent.topics["policy"].record if "policy" in agent.topics else None for agent in self.agents.values()
            ]
            return all(r is not None and r.state == "settled" and r.token == proposal.token for r in records)

        return self.until(read, 30.0)


def tiered(regions: int, cells: int, members: int, seed: int = 1) -> dict[str, float]:
    """At rest, and five changes of policy on top of it: what a member, who speaks for a cell and who speaks for a
    region read and write, beats and polls included."""
    fleet = TieredFleet(regions, cells, members, seed)
    fleet.up()
    fleet.run(5)
    seconds = 10.0
    rest = fleet.grown(seconds)
    watches = [
        len(held.data) + len(held.children) for store in fleet.stores for held in store.store.tree.sessions.values()
    ]
    before, began, took = fleet.bytes(), fleet.loop.now, []
    for number in range(1, CHANGES + 1):
        took.append(fleet.change(number))
        fleet.run(2.0 + 0.137 * number)
    fleet.run(25)  # until words are swept
    span, after = fleet.loop.now - began, fleet.bytes()
    changed = {name: (after[name] - before[name] - rest[name] / seconds * span) / CHANGES for name in after}
    speakers = {name for name, agent in fleet.agents.items() if agent.for_cell is not None}
    heads = {name for name, agent in fleet.agents.items() if agent.for_region is not None}
    plain = [name for name in fleet.agents if name not in speakers]
    return {
        "tier_rest_member": mean(rest[name] / seconds for name in plain),
        "tier_rest_cell": mean(rest[name] / seconds for name in speakers - heads or speakers),
        "tier_rest_region": mean(rest[name] / seconds for name in heads),
        "tier_change_member": mean(changed[name] for name in plain),
        "tier_change_cell": mean(changed[name] for name in speakers - heads or speakers),
        "tier_change_region": mean(changed[name] for name in heads),
        "tier_watches": max(watches),
        "tier_read_p50": round(median(took), 3),
        "tier_read_worst": round(max(took), 3),
    }


def by_members(size: int, seed: int = 1) -> dict[str, float]:
    return tiered(2, 2, size, seed)


def by_cells(size: int, seed: int = 1) -> dict[str, float]:
    return tiered(2, size, 4, seed)


def by_regions(size: int, seed: int = 1) -> dict[str, float]:
    return tiered(size, 2, 3, seed)
