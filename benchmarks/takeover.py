"""Measures how soon the proxies of a lost supervisor follow another one; it is killed, paused or shut down gracefully.

    python -m benchmarks.takeover [PROXIES] [SEED]

Three of the program's supervisors, its proxies and its store run in virtual time, under traffic. Seconds count from the
loss; `floor`: the time that the busiest survivor's channel needs to send the newcomers' tables. Prints one JSON object
a line."""

from __future__ import annotations

import json
import sys
from statistics import median

from msgspec.structs import replace

from driftshed.coordination.participation import leave_fleet
from driftshed.core.messages import Changes
from driftshed.day.judge import CHANGES_DECODER
from driftshed.lab.environments import VirtualEnvironment
from driftshed.lab.scenario import check_scenario, fault_free_day
from driftshed.lab.simulation import SimulatedDeployment

LOST_AT_S, END_S = 12.6, 32.0
CHANGES_PATH = "changes"


def measure_takeover(how: str, proxies: int, lines_per_second: float, seed: int) -> dict:
    """Loses one of three supervisors at LOST_AT_S; `how`: "killed", "still" (paused) or "in peace" (shut down)."""
    day = fault_free_day("full", 40.0)
    day.fleet = replace(day.fleet, store=True, supervisors=3)
    day.flags |= {"proxies": proxies, "lines-per-second": lines_per_second, "queue-cap": max(2000.0, 12.0 * proxies)}
    environment = VirtualEnvironment(check_scenario(day), seed)
    deployment = SimulatedDeployment(day, seed, environment)
    deployment.open()
    environment.virtual_loop.run(LOST_AT_S)
    lost_proxies = set(environment.services[0].streams)
    if how == "killed":
        environment.kill_supervisor(0)
    elif how == "still":
        environment.pause_supervisor(END_S, 0)
    else:
        service = environment.services[0]
        leave_fleet(environment.agents[0], service, lambda: environment.network.end_process(environment.supervisors[0]))
    environment.virtual_loop.run(END_S)
    last_answers: dict[int, float] = {}  # by proxy: time of the last answer of the lost supervisor
    # By proxy: time, owner and number of lines of the first tables of another supervisor.
    first_tables: dict[int, tuple[float, int, float]] = {}
    for connection in environment.record.kinds["control"]:
        owner = environment.owner(connection.destination)
        for each in connection.exchanges:
            parts = each.path.split("/")
            proxy = int(parts[3])
            if proxy not in lost_proxies or parts[4] != CHANGES_PATH or each.answered_at is None:
                continue
            if owner == 0:
                last_answers[proxy] = max(last_answers.get(proxy, 0.0), each.answered_at)
            elif each.answered_at > LOST_AT_S and each.status == 200:
                message: Changes = CHANGES_DECODER.decode(each.body)
                if message.changes and (proxy not in first_tables or each.answered_at < first_tables[proxy][0]):
                    first_tables[proxy] = each.answered_at, owner, message.lines
    lines: dict[int, float] = {}
    for _, owner, count in first_tables.values():
        lines[owner] = lines.get(owner, 0.0) + count
    durations = sorted(at - LOST_AT_S for at, _, _ in first_tables.values())
    gaps = sorted(first_tables[proxy][0] - max(last_answers[proxy], LOST_AT_S) for proxy in first_tables)
    return {
        "how": how,
        "proxies": proxies,
        "lines_per_second": lines_per_second,
        "lost": len(lost_proxies),
        "under_orders": len(first_tables),
        "median_s": round(median(durations), 2),
        "last_s": round(durations[-1], 2),
        "floor_s": round(max(lines.values()) / lines_per_second, 2),
        "gap_s": [round(median(gaps), 2), round(gaps[-1], 2)],
    }


def main() -> None:
    """Measures each kind of loss at two rates of lines per second."""
    proxies = int(sys.argv[1]) if len(sys.argv) > 1 else 349
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for lines_per_second in (3000.0, 1000.0):
        for how in ("killed", "still", "in peace"):
            print(json.dumps(measure_takeover(how, proxies, lines_per_second, seed)), flush=True)


if __name__ == "__main__":
    main()
