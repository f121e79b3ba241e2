"""Measures the cost and latency of coordination: agents and a store in virtual time.

    python -m benchmarks.coordination [settle] [death] [rest] [histories N] [models]

Default: settle, death and rest. Seconds are of virtual time, processor time is this machine's. Prints one JSON object a
line."""

from __future__ import annotations

import json
import sys
import time
from multiprocessing import Pool
from statistics import median

from driftshed.lab.state_search import explore
from tests.fleets import SESSION_TIMEOUT_S, Fleet, check_history
from tests.test_coordination import check_all_ended, history
from tests.test_coordination_model import Leases, Start, lease_moves, lease_wrong, record_moves, record_wrong, records

NAMES = [f"s{k:02}" for k in range(25)]


def measure_commit(supervisors: int, delay: float, rounds: int = 20) -> dict:
    """Time from a proposal until each supervisor has read it as committed; `delay`: seconds to the store, one way."""
    fleet = Fleet(NAMES[:supervisors], 1, delay=delay)
    fleet.run_until_up()
    proposer_seconds, everywhere_seconds, writes = [], [], []
    for k in range(rounds):
        before, started_at = fleet.store.store.tree.zxid, fleet.loop.now
        proposal = fleet.propose(NAMES[k % supervisors], "policy", k)
        while proposal.state != "settled":
            fleet.run(0.001)
        proposer_seconds.append(fleet.loop.now - started_at)
        while any(
            agent.topics["policy"].record.standing.epoch < proposal.epoch
            if agent.topics["policy"].record.standing
            else True
            for agent in fleet.all_agents
        ):
            fleet.run(0.001)
        everywhere_seconds.append(fleet.loop.now - started_at)
        writes.append(fleet.store.store.tree.zxid - before)
        fleet.run(0.5)
    return {
        "supervisors": supervisors,
        "store_ms": delay * 1e3,
        "settled_ms": round(median(proposer_seconds) * 1e3, 1),
        "seen_by_all_ms": round(median(everywhere_seconds) * 1e3, 1),
        "worst_ms": round(max(everywhere_seconds) * 1e3, 1),
        "writes": median(writes),
    }


def measure_death(supervisors: int, rounds: int = 20) -> dict:
    """The time from a supervisor's death until every survivor has noticed it, in session time-outs."""
    durations = []
    for seed in range(rounds):
        fleet = Fleet(NAMES[:supervisors], seed)
        fleet.run_until_up()
        fleet.run(0.1 * seed)
        fleet.kill(NAMES[0])
        started_at = fleet.loop.now
        while any(NAMES[0] in agent.membership.order() for agent in fleet.all_agents[1:]):
            fleet.run(0.01)
        durations.append((fleet.loop.now - started_at) / SESSION_TIMEOUT_S)
    return {
        "supervisors": supervisors,
        "timeouts": [round(min(durations), 2), round(median(durations), 2), round(max(durations), 2)],
    }


def measure_rest(supervisors: int, seconds: float = 120.0) -> dict:
    """Writes, messages and bytes at rest, with the votes of an earlier change deleted; and with a change a second."""
    fleet = Fleet(NAMES[:supervisors], 1)
    fleet.run_until_up()
    fleet.propose(NAMES[0], "policy", 0)
    fleet.run(30)
    figures: dict = {"supervisors": supervisors}
    for phase in ("rest", "change"):
        zxid_before, messages_before, bytes_before, cpu = (
            fleet.store.store.tree.zxid,
            fleet.network.messages,
            traffic(fleet),
            cpu_now(),
        )
        for k in range(int(seconds)):
            if phase == "change":
                fleet.propose(NAMES[k % supervisors], "policy", k)
            fleet.run(1.0)
        cpu = cpu_now() - cpu
        figures |= {
            f"{phase}_writes_a_second": round((fleet.store.store.tree.zxid - zxid_before) / seconds, 3),
            f"{phase}_messages_a_second": round((fleet.network.messages - messages_before) / seconds, 1),
            f"{phase}_bytes_a_second": round((traffic(fleet) - bytes_before) / seconds),
            f"{phase}_cores_an_agent": round(cpu / seconds / supervisors, 5),
        }
    return figures


def traffic(fleet: Fleet) -> int:
    """Bytes in both directions on all streams to the store so far."""
    return sum(stream.bytes_received + stream.bytes_sent for stream in fleet.network.streams if stream.peer[1] == 2181)


def cpu_now() -> float:
    """Processor time of this process, in seconds."""
    return time.process_time()


def run_history(seed: int) -> tuple[str, int, int]:
    """The violated invariant, or an empty string; the events of the run; the number of records written."""
    try:
        fleet = history(seed)
        check_history(fleet)
        check_all_ended(fleet)
    except AssertionError as error:
        return f"{seed}: {error}"[:300], 0, 0
    return "", fleet.loop.events, len(fleet.history())


def run_histories(count: int) -> dict:
    """Runs `count` random histories with faults in parallel and sums up their results."""
    started_at = time.monotonic()
    with Pool() as pool:
        rows = pool.map(run_history, range(count), chunksize=20)
    return {
        "histories": count,
        "broken": [failure for failure, _, _ in rows if failure],
        "events": sum(event_count for _, event_count, _ in rows),
        "records_written": sum(record_count for _, _, record_count in rows),
        "seconds": round(time.monotonic() - started_at, 1),
    }


def explore_models() -> None:
    """Explores the models of leases and records, one JSON line each."""
    for name, start, moves, find_violation, max_states in (
        ("leases of two starts", Leases(0, (Start(), Start())), lease_moves, lease_wrong, 3_000_000),
        ("leases of three starts", Leases(0, (Start(),) * 3), lease_moves, lease_wrong, 1_000_000),
        ("records, two, one crash", records(2, 2, 1, 0), record_moves, record_wrong, 600_000),
        ("records, two, a loss each", records(2, 2, 0, 1), record_moves, record_wrong, 600_000),
        ("records, three, one proposal", records(3, 1, 0, 0), record_moves, record_wrong, 600_000),
    ):
        started_at = time.process_time()
        result = explore(start, moves, find_violation, max_states)
        print(json.dumps({"model": name, **result._asdict(), "seconds": round(time.process_time() - started_at, 1)}))


if __name__ == "__main__":
    arguments = sys.argv[1:] or ["settle", "death", "rest"]
    if "settle" in arguments:
        for supervisors in (3, 5, 9, 25):
            for delay in (0.0, 0.02, 0.1):
                print(json.dumps(measure_commit(supervisors, delay)), flush=True)
    if "death" in arguments:
        for supervisors in (3, 5, 25):
            print(json.dumps(measure_death(supervisors)), flush=True)
    if "rest" in arguments:
        for supervisors in (3, 25):
            print(json.dumps(measure_rest(supervisors)), flush=True)
    if "histories" in arguments:
        print(json.dumps(run_histories(int(arguments[arguments.index("histories") + 1]))), flush=True)
    if "models" in arguments:
        explore_models()
