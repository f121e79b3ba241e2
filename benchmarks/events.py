"""What an event costs the module, by size of the fleet.

    python benchmarks/events.py [SERVERSxPROXIES ...]      26x37, 118x349, 400x1500 and 1600x6000 unless given

Each half second every server is reported by two zones and every proxy's demand once, in one batch; a server drains and
another starts now and then. Prints one JSON object a size."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from random import Random

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.supervisor.flags import FLAGS, read_operation, start_facts

PERIOD = 0.5


def make_facts(proxies: int) -> face.StartFacts:
    given = {flag.fact: flag.kind.convert(flag.default, None, None) for flag in FLAGS}
    given |= {
        "proxies": proxies,
        "lines_per_second": 20.0 * proxies,
        "queue_cap": 40.0 * proxies,
        "least_connections": 130.0,
        "listed_weights": "rough",
        "kinds": ("large", "small"),
    }
    given["operations"] = tuple(
        read_operation(f"{name}:objective=0.8,timeout=2,value={value},effect=idempotent")
        for name, value in (("status", 1), ("history", 2), ("credit", 3))
    )
    return start_facts(given)


def name(n: int) -> bytes:
    return bytes([10, n >> 16, n >> 8 & 255, n & 255, 31, 64])


def batches(servers: int, proxies: int, seconds: float, now: float, brain) -> Iterator[tuple[float, list]]:
    """The events of each half second; marks are answered in the next batch."""
    random = Random(1)

    def entry(n: int, state: int = face.READY, started: float | None = None) -> face.Entry:
        return face.Entry(name(n), n % 2, n // 2 % 2, started, 0, state, 1.0)

    alive, newest = list(range(servers)), servers
    yield now, [face.Listing(1, face.CACHED, tuple(entry(n) for n in alive))]
    for first in range(0, proxies, 64):  # joins come as the channel bears them
        now += 0.02
        yield now, [face.Joined(p % 2, True, p, 2.7) for p in range(first, min(proxies, first + 64))]
    for step in range(int(seconds / PERIOD)):
        now += PERIOD
        events: list = [face.TimerDue(0)]
        events += [face.Applied(mark, proxy, 0.1) for proxy, mark in list(brain().unanswered.items())]
        if step % 8 == 3:
            gone, newest = alive.pop(0), newest + 1
            alive.append(newest)
            events.append(face.Listing(2, face.DELTA, (entry(gone, face.DRAINING), entry(newest, started=now - 1))))
        for n in alive:
            for zone in (0, 1):
                took = random.uniform(0.09, 0.2)
                events.append(face.Heard(random.random() < 0.1, name(n), 12, PERIOD, zone, took, None))
        events += [face.Demand(1 + random.randrange(2), p, PERIOD, 0, random.randrange(3)) for p in range(proxies)]
        yield now, events


def measure(servers: int, proxies: int, seconds: float = 20.0) -> dict:
    brain = Brain(make_facts(proxies), 1, 100.0)
    took, count, worst, starting, joins = 0.0, 0, 0.0, 0.0, 0.0
    for now, events in batches(servers, proxies, seconds, 100.0, lambda: brain):
        began = time.process_time()
        brain.handle(now, events)
        spent = time.process_time() - began
        if isinstance(events[0], face.Listing):
            starting = spent
        elif isinstance(events[0], face.Joined):
            joins = max(joins, spent)
        else:
            took, count, worst = took + spent, count + len(events), max(worst, spent)
    return {
        "size": f"{servers}x{proxies}",
        "us_an_event": round(took / count * 1e6, 2),
        "worst_batch_ms": round(worst * 1e3, 1),
        "first_list_ms": round(starting * 1e3, 1),
        "worst_join_batch_ms": round(joins * 1e3, 1),
        "cores": round(took / seconds, 4),
    }


if __name__ == "__main__":
    for size in sys.argv[1:] or ["26x37", "118x349", "400x1500", "1600x6000"]:
        print(json.dumps(measure(*(int(each) for each in size.split("x")), 20.0)), flush=True)
