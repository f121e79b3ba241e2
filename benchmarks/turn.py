"""The longest turn of a supervisor on the platform, in a fleet of full size.

    python benchmarks/turn.py [SHARE]       the supervisor's share of a core; a quarter unless given

Five supervisors, 1,600 proxies, 200 servers. One supervisor serves its fifth; at one moment the proxies of killed
ones join it (those of one: 320, or of all others: 1,280), the full list is told again and a second's reports come, all
in one turn; then it goes on for 20 s with answers as fast as the channel bears them. A turn is the module's and the
encoding of its orders. Prints one JSON object for each: milliseconds of processor time, and as they pass at that
share."""

from __future__ import annotations

import json
import sys
import time
from random import Random

from benchmarks.events import make_facts
from driftshed import interface as face
from driftshed.node.config import Told
from driftshed.node.service import Host

SERVERS, PROXIES, SUPERVISORS, PERIOD, PACE = 200, 1600, 5, 1.0, 4000.0  # pace: lines a second
LOCAL = "127.0.0.1", 1


def name(n: int) -> bytes:
    return f"s-{n:08x}".encode()


def listing(now: float, kind: int) -> face.Listing:
    entries = (face.Entry(name(n), n % 2, n // 2 % 2, None, 0, face.READY, 1.0) for n in range(SERVERS))
    return face.Listing(int(now), kind, tuple(entries))


class Run:
    def __init__(self) -> None:
        facts = make_facts(PROXIES)._replace(supervisors=SUPERVISORS, lines_per_second=PACE, queue_cap=2 * PACE)
        self.host = Host(Told("n0", LOCAL, LOCAL, LOCAL, 1, 256, facts, None, {}), 100.0, 100.0)
        self.random, self.now, self.channel, self.turns = Random(1), 100.0, [], []

    def turn(self, events: list) -> None:
        """One turn on these events; what it ordered reaches the proxies as the channel bears it."""
        self.host.take(events)
        began = time.process_time()
        self.host.turn(self.now)
        self.turns.append(time.process_time() - began)
        waiting = self.host.brain._waiting()
        if self.host.orders.waiting:
            self.channel.append((self.now + waiting / PACE, dict(self.host.brain.unanswered)))
            self.host.orders.waiting.clear()

    def second(self, extra: list | None = None) -> None:
        """A second's reports in one turn, then turns every 20 ms for what is answered."""
        joined = self.host.joins.held
        come = [
            face.Heard(self.random.random() < 0.1, name(n), 12, PERIOD, zone, self.random.uniform(0.09, 0.2), None)
            for n in range(SERVERS)
            for zone in (0, 1)
        ]
        come += [face.Demand(1 + self.random.randrange(2), p, PERIOD, 0, op) for p in joined for op in range(3)]
        self.turn([*(extra or []), *come])
        for _ in range(49):
            self.now += 0.02
            due = [marks for at, marks in self.channel if at <= self.now]
            self.channel = [row for row in self.channel if row[0] > self.now]
            events = [face.Applied(mark, proxy, 0.1) for marks in due for proxy, mark in marks.items()]
            if events or self.host.module_at() <= self.now:
                self.turn(events)
        self.now += 0.02

    def join(self, first: int, last: int) -> list:
        joins = [face.Joined(p % 2, True, p, 2.7) for p in range(first, last)]
        self.host.joins.held.update({each.proxy: each for each in joins})
        return joins


def measure(joining: int) -> dict:
    run, own = Run(), PROXIES // SUPERVISORS
    run.turn([listing(run.now, face.CACHED)])
    for first in range(0, own, 16):
        run.now += 0.02
        run.turn(run.join(first, first + 16))
    for _ in range(10):
        run.second()
    before, run.turns = run.turns, []
    run.second([listing(run.now, face.FULL), *run.join(own, own + joining)])
    moment, run.turns = run.turns, run.turns[1:]
    for _ in range(19):
        run.second()
    held = sum(part is not None for part in run.host.brain.held_part.values())
    assert held == own + joining, held
    return {
        "joining": joining,
        "before_ms": max(before) * 1e3,
        "moment_ms": moment[0] * 1e3,
        "after_ms": max(run.turns) * 1e3,
        "turns": len(before) + 1 + len(run.turns),
    }


if __name__ == "__main__":
    share = float(sys.argv[1]) if len(sys.argv) > 1 else 0.25
    for joining in (PROXIES // SUPERVISORS, PROXIES - PROXIES // SUPERVISORS):
        figures = measure(joining)
        for key in ("before_ms", "moment_ms", "after_ms"):
            figures[key.replace("_ms", "_at_share_ms")] = round(figures[key] / share, 1)
            figures[key] = round(figures[key], 1)
        print(json.dumps(figures | {"share": share}), flush=True)
