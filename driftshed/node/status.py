"""What the log of each second says of the decisions: who waits, what leaves, and which cold servers have a share."""

from __future__ import annotations

from collections import Counter

from driftshed import interface as face
from driftshed.brain import Brain

MAX_LOGGED_LINES = 4


def longest_unbound(brain: Brain, now: float) -> float:
    """Seconds for which a joined proxy has waited for its table at most; 0 without one."""
    return round(now - min(brain.waiting_since.values(), default=now), 2)


def leaving_lines(brain: Brain, now: float) -> list[tuple[str, float]]:
    """Of the servers that are not ready and that proxies may still pick by the orders sent so far, those that left
    first: id, and seconds since then."""
    leaving = (i for i, state in enumerate(brain.state) if state != face.READY and brain.weight_in_force(i))
    rows = [(brain.server_ids[i].decode(), round(now - brain.left_at[i], 2)) for i in leaving]
    return sorted(rows, key=lambda row: -row[1])[:MAX_LOGGED_LINES]


def held_servers(brain: Brain) -> list[str]:
    """The ids of servers that stay at their first entry step, since reports show that they do badly."""
    held = (i for i, until in enumerate(brain.held_until) if until > brain.now and brain.state[i] == face.READY)
    return [brain.server_ids[i].decode() for i in held][:MAX_LOGGED_LINES]


def cold_share(brain: Brain) -> float:
    """The largest share of the weight in one part of the table that cold servers have by the orders sent so far."""
    weight, cold_weight = weight_by_part(brain), Counter()
    for i, part in enumerate(brain.part):
        cold_weight[part] += 0.0 if brain.is_warm(i) else brain.weight_in_force(i)
    return round(max((cold_weight[part] / total for part, total in weight.items() if total), default=0.0), 3)


def cold_lines(brain: Brain) -> list[tuple[str, float, float, bool]]:
    """Of the cold servers with the largest share of a part, by the orders sent so far: id, seconds since the start,
    share of the part's weight, and whether the line was ordered before the start was known."""
    weight, rows = weight_by_part(brain), []
    for i, part in enumerate(brain.part):
        if brain.weight_in_force(i) and brain.state[i] == face.READY and not brain.is_warm(i):
            share = brain.weight_in_force(i) / weight[part]
            age, name = brain.now - brain.started[i], brain.server_ids[i].decode()
            rows.append((name, round(age, 1), round(share, 3), brain.line_precedes_start(i)))
    return sorted(rows, key=lambda row: -row[2])[:MAX_LOGGED_LINES]


def weight_by_part(brain: Brain) -> Counter[int]:
    """The weight in each part of the table that proxies may pick by the orders sent so far."""
    weight: Counter[int] = Counter()
    for i, part in enumerate(brain.part):
        weight[part] += brain.weight_in_force(i)
    return weight
