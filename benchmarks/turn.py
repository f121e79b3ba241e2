"""Measures the longest turn of a supervisor on the platform, in a fleet of full size.

    python benchmarks/turn.py [SHARE]       the supervisor's share of a core; a quarter unless given

Five supervisors, 1,600 proxies, 200 servers. One supervisor serves its fifth. In a single turn, the proxies of killed
supervisors join it (those of one: 320, or of all others: 1,280), the full list is sent again and a second's reports
arrive; it then runs for 20 s with answers at the rate that the channel supports. A turn consists of the module and the
encoding of its orders. Prints one JSON object for each: milliseconds of processor time, and of elapsed time at that
share."""

from __future__ import annotations

import json
import sys
import time
from random import Random

from benchmarks.events import make_facts
from driftshed import interface as face
from driftshed.node.config import SupervisorOptions
from driftshed.node.service import SupervisorHost

SERVERS, PROXIES, SUPERVISORS, PERIOD_S, LINES_PER_SECOND = 200, 1600, 5, 1.0, 4000.0
LOCAL = "127.0.0.1", 1


def server_name(n: int) -> bytes:
    """The name of server number `n`."""
    return f"s-{n:08x}".encode()


def listing(now: float, kind: int) -> face.Listing:
    """A list of all servers, all ready; its version is the time."""
    entries = (face.Entry(server_name(n), n % 2, n // 2 % 2, None, 0, face.READY, 1.0) for n in range(SERVERS))
    return face.Listing(int(now), kind, tuple(entries))


class Run:
    """A supervisor on the platform with simulated proxies."""

    def __init__(self) -> None:
        """Starts without proxies at time 100 s."""
        facts = make_facts(PROXIES)._replace(
            supervisors=SUPERVISORS, lines_per_second=LINES_PER_SECOND, queue_cap=2 * LINES_PER_SECOND
        )
        self.host = SupervisorHost(SupervisorOptions("n0", LOCAL, LOCAL, LOCAL, 1, 256, facts, None, {}), 100.0, 100.0)
        self.random, self.now, self.pending_marks, self.turn_seconds = Random(1), 100.0, [], []

    def turn(self, events: list) -> None:
        """Runs one turn with these events; its orders are acknowledged at the rate that the channel supports."""
        self.host.add_events(events)
        started_at = time.process_time()
        self.host.run_turn(self.now)
        self.turn_seconds.append(time.process_time() - started_at)
        waiting_lines = self.host.brain.waiting_lines()
        if self.host.orders.waiting:
            self.pending_marks.append((self.now + waiting_lines / LINES_PER_SECOND, dict(self.host.brain.unanswered)))
            self.host.orders.waiting.clear()

    def run_second(self, extra: list | None = None) -> None:
        """Handles a second's reports and `extra` in one turn, then acknowledgements in turns every 20 ms."""
        joined = self.host.join_state.joined
        reports = [
            face.Heard(
                self.random.random() < 0.1, server_name(n), 12, PERIOD_S, zone, self.random.uniform(0.09, 0.2), None
            )
            for n in range(SERVERS)
            for zone in (0, 1)
        ]
        reports += [face.Demand(1 + self.random.randrange(2), p, PERIOD_S, 0, op) for p in joined for op in range(3)]
        self.turn([*(extra or []), *reports])
        for _ in range(49):
            self.now += 0.02
            due = [marks for at, marks in self.pending_marks if at <= self.now]
            self.pending_marks = [row for row in self.pending_marks if row[0] > self.now]
            events = [face.Applied(mark, proxy, 0.1) for marks in due for proxy, mark in marks.items()]
            if events or self.host.module_due_at() <= self.now:
                self.turn(events)
        self.now += 0.02

    def join(self, first: int, last: int) -> list:
        """Events by which the proxies from `first` to before `last` join."""
        joins = [face.Joined(p % 2, True, p, 2.7) for p in range(first, last)]
        self.host.join_state.joined.update({each.proxy: each for each in joins})
        return joins


def measure(joining: int) -> dict:
    """Lets `joining` proxies join at once; returns the longest turns before, at and after that."""
    run, served = Run(), PROXIES // SUPERVISORS
    run.turn([listing(run.now, face.CACHED)])
    for first in range(0, served, 16):
        run.now += 0.02
        run.turn(run.join(first, first + 16))
    for _ in range(10):
        run.run_second()
    before, run.turn_seconds = run.turn_seconds, []
    run.run_second([listing(run.now, face.FULL), *run.join(served, served + joining)])
    after_join, run.turn_seconds = run.turn_seconds, run.turn_seconds[1:]
    for _ in range(19):
        run.run_second()
    proxies_with_part = sum(part is not None for part in run.host.brain.held_part.values())
    assert proxies_with_part == served + joining, proxies_with_part
    return {
        "joining": joining,
        "before_ms": max(before) * 1e3,
        "moment_ms": after_join[0] * 1e3,
        "after_ms": max(run.turn_seconds) * 1e3,
        "turns": len(before) + 1 + len(run.turn_seconds),
    }


if __name__ == "__main__":
    share = float(sys.argv[1]) if len(sys.argv) > 1 else 0.25
    for joining in (PROXIES // SUPERVISORS, PROXIES - PROXIES // SUPERVISORS):
        figures = measure(joining)
        for key in ("before_ms", "moment_ms", "after_ms"):
            figures[key.replace("_ms", "_at_share_ms")] = round(figures[key] / share, 1)
            figures[key] = round(figures[key], 1)
        print(json.dumps(figures | {"share": share}), flush=True)
