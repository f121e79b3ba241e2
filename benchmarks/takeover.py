"""A supervisor of three dies, stands still or leaves in peace: when its proxies are under orders of another.

    python -m benchmarks.takeover [PROXIES] [SEED]

The program's supervisors, proxies and store in virtual time, under traffic. Seconds count from the loss; `floor`: what
the busiest survivor's channel needs to send what the newcomers are to get. One JSON object a line."""

from __future__ import annotations

import json
import sys
from statistics import median

from msgspec.structs import replace

from driftshed.coordination.taking_part import leave
from driftshed.core.messages import Changes
from driftshed.day.judge import CHANGES
from driftshed.lab.grounds import VirtualGround
from driftshed.lab.scenario import bare_day, check
from driftshed.lab.world import World

LOST_AT, TILL = 12.6, 32.0
ANSWERS = "changes"


def takeover(how: str, proxies: int, pace: float, seed: int) -> dict:
    day = bare_day("full", 40.0)
    day.fleet = replace(day.fleet, store=True, supervisors=3)
    day.flags |= {"proxies": proxies, "lines-per-second": pace, "queue-cap": max(2000.0, 12.0 * proxies)}
    ground = VirtualGround(check(day), seed)
    world = World(day, seed, ground)
    world.open()
    ground.whole.run(LOST_AT)
    lost = set(ground.services[0].polls)
    if how == "killed":
        ground.kill_supervisor(0)
    elif how == "still":
        ground.pause_supervisor(TILL, 0)
    else:
        service = ground.services[0]
        leave(ground.agents[0], service, lambda: ground.network.end(ground.supervisors[0]))
    ground.whole.run(TILL)
    left: dict[int, float] = {}  # when a proxy was last heard by the one that it leaves
    ordered: dict[int, tuple[float, int, float]] = {}  # when it had another's tables, whose, of how many lines
    for connection in ground.record.kinds["control"]:
        owner = ground.owner(connection.asked)
        for each in connection.exchanges:
            parts = each.path.split("/")
            proxy = int(parts[3])
            if proxy not in lost or parts[4] != ANSWERS or each.answered_at is None:
                continue
            if owner == 0:
                left[proxy] = max(left.get(proxy, 0.0), each.answered_at)
            elif each.answered_at > LOST_AT and each.status == 200:
                told: Changes = CHANGES.decode(each.body)
                if told.changes and (proxy not in ordered or each.answered_at < ordered[proxy][0]):
                    ordered[proxy] = each.answered_at, owner, told.lines
    lines: dict[int, float] = {}
    for _, owner, count in ordered.values():
        lines[owner] = lines.get(owner, 0.0) + count
    took = sorted(at - LOST_AT for at, _, _ in ordered.values())
    gaps = sorted(ordered[proxy][0] - max(left[proxy], LOST_AT) for proxy in ordered)
    return {
        "how": how,
        "proxies": proxies,
        "lines_per_second": pace,
        "lost": len(lost),
        "under_orders": len(ordered),
        "median_s": round(median(took), 2),
        "last_s": round(took[-1], 2),
        "floor_s": round(max(lines.values()) / pace, 2),
        "gap_s": [round(median(gaps), 2), round(gaps[-1], 2)],
    }


def main() -> None:
    proxies = int(sys.argv[1]) if len(sys.argv) > 1 else 349
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for pace in (3000.0, 1000.0):
        for how in ("killed", "still", "in peace"):
            print(json.dumps(takeover(how, proxies, pace, seed)), flush=True)


if __name__ == "__main__":
    main()
