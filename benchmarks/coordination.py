"""What coordination costs and how quick it is: agents and a store in virtual time.

    python -m benchmarks.coordination [settle] [death] [rest] [histories N] [models]

settle, death and rest unless given. Seconds are of virtual time, processor time is this machine's. One JSON object a
line."""

from __future__ import annotations

import json
import sys
import time
from multiprocessing import Pool
from statistics import median

from driftshed.lab.model import explore
from tests.fleets import TIMEOUT, Fleet, check
from tests.test_coordination import all_ended, history
from tests.test_coordination_model import Leases, Start, lease_moves, lease_wrong, record_moves, record_wrong, records

NAMES = [f"s{k:02}" for k in range(25)]


def settle(supervisors: int, delay: float, rounds: int = 20) -> dict:
    """From a proposal to when each supervisor has seen it settled, with the store `delay` seconds away, one way."""
    fleet = Fleet(NAMES[:supervisors], 1, delay=delay)
    fleet.up()
    own, all_of_them, writes = [], [], []
    for k in range(rounds):
        before, began = fleet.store.store.tree.zxid, fleet.loop.now
        proposal = fleet.propose(NAMES[k % supervisors], "policy", k)
        while proposal.state != "settled":
            fleet.run(0.001)
        own.append(fleet.loop.now - began)
        while any(
            agent.topics["policy"].record.standing.epoch < proposal.epoch
            if agent.topics["policy"].record.standing
            else True
            for agent in fleet.all
        ):
            fleet.run(0.001)
        all_of_them.append(fleet.loop.now - began)
        writes.append(fleet.store.store.tree.zxid - before)
        fleet.run(0.5)
    return {
        "supervisors": supervisors,
        "store_ms": delay * 1e3,
        "settled_ms": round(median(own) * 1e3, 1),
        "seen_by_all_ms": round(median(all_of_them) * 1e3, 1),
        "worst_ms": round(max(all_of_them) * 1e3, 1),
        "writes": median(writes),
    }


def death(supervisors: int, rounds: int = 20) -> dict:
    """From a supervisor's death to when every survivor knows it, in time-outs of its session."""
    took = []
    for seed in range(rounds):
        fleet = Fleet(NAMES[:supervisors], seed)
        fleet.up()
        fleet.run(0.1 * seed)
        fleet.kill(NAMES[0])
        began = fleet.loop.now
        while any(NAMES[0] in agent.roll.order() for agent in fleet.all[1:]):
            fleet.run(0.01)
        took.append((fleet.loop.now - began) / TIMEOUT)
    return {"supervisors": supervisors, "timeouts": [round(min(took), 2), round(median(took), 2), round(max(took), 2)]}


def rest(supervisors: int, seconds: float = 120.0) -> dict:
    """At rest, after one record was settled and its words were swept; and with a change every second."""
    fleet = Fleet(NAMES[:supervisors], 1)
    fleet.up()
    fleet.propose(NAMES[0], "policy", 0)
    fleet.run(30)
    figures: dict = {"supervisors": supervisors}
    for what in ("rest", "change"):
        before, messages, came, cpu = fleet.store.store.tree.zxid, fleet.network.messages, traffic(fleet), cpu_now()
        for k in range(int(seconds)):
            if what == "change":
                fleet.propose(NAMES[k % supervisors], "policy", k)
            fleet.run(1.0)
        cpu = cpu_now() - cpu
        figures |= {
            f"{what}_writes_a_second": round((fleet.store.store.tree.zxid - before) / seconds, 3),
            f"{what}_messages_a_second": round((fleet.network.messages - messages) / seconds, 1),
            f"{what}_bytes_a_second": round((traffic(fleet) - came) / seconds),
            f"{what}_cores_an_agent": round(cpu / seconds / supervisors, 5),
        }
    return figures


def traffic(fleet: Fleet) -> int:
    return sum(stream.came + stream.went for stream in fleet.network.streams if stream.peer[1] == 2181)


def cpu_now() -> float:
    return time.process_time()


def one_history(seed: int) -> tuple[str, int, int]:
    """What broke, if anything, the events of the run, and the records that were written."""
    try:
        fleet = history(seed)
        check(fleet)
        all_ended(fleet)
    except AssertionError as error:
        return f"{seed}: {error}"[:300], 0, 0
    return "", fleet.loop.events, len(fleet.history())


def histories(count: int) -> dict:
    began = time.monotonic()
    with Pool() as pool:
        rows = pool.map(one_history, range(count), chunksize=20)
    return {
        "histories": count,
        "broken": [said for said, _, _ in rows if said],
        "events": sum(e for _, e, _ in rows),
        "records_written": sum(w for _, _, w in rows),
        "seconds": round(time.monotonic() - began, 1),
    }


def models() -> None:
    for name, start, moves, wrong, most in (
        ("leases of two starts", Leases(0, (Start(), Start())), lease_moves, lease_wrong, 3_000_000),
        ("leases of three starts", Leases(0, (Start(),) * 3), lease_moves, lease_wrong, 1_000_000),
        ("records, two, one crash", records(2, 2, 1, 0), record_moves, record_wrong, 600_000),
        ("records, two, a loss each", records(2, 2, 0, 1), record_moves, record_wrong, 600_000),
        ("records, three, one proposal", records(3, 1, 0, 0), record_moves, record_wrong, 600_000),
    ):
        began = time.process_time()
        found = explore(start, moves, wrong, most)
        print(json.dumps({"model": name, **found._asdict(), "seconds": round(time.process_time() - began, 1)}))


if __name__ == "__main__":
    asked = sys.argv[1:] or ["settle", "death", "rest"]
    if "settle" in asked:
        for supervisors in (3, 5, 9, 25):
            for delay in (0.0, 0.02, 0.1):
                print(json.dumps(settle(supervisors, delay)), flush=True)
    if "death" in asked:
        for supervisors in (3, 5, 25):
            print(json.dumps(death(supervisors)), flush=True)
    if "rest" in asked:
        for supervisors in (3, 25):
            print(json.dumps(rest(supervisors)), flush=True)
    if "histories" in asked:
        print(json.dumps(histories(int(asked[asked.index("histories") + 1]))), flush=True)
    if "models" in asked:
        models()
