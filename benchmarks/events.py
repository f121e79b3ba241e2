"""Measures the processor time of the module per event, by size of the fleet.

    python benchmarks/events.py [SERVERSxPROXIES ...]      default: 26x37, 118x349, 400x1500 and 1600x6000

Each half second, one batch has two zones' reports of every server and one report of every proxy's demand. Every four
seconds a server starts to drain and another starts. Prints one JSON object a size."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from random import Random

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.supervisor.flags import FLAGS, read_operation, start_facts

PERIOD_S = 0.5


def make_facts(proxies: int) -> face.StartFacts:
    """Start facts for this many proxies, with three operations."""
    facts = {flag.fact: flag.param_type.convert(flag.default, None, None) for flag in FLAGS}
    facts |= {
        "proxies": proxies,
        "lines_per_second": 20.0 * proxies,
        "queue_cap": 40.0 * proxies,
        "least_connections": 130.0,
        "listed_weights": "rough",
        "kinds": ("large", "small"),
    }
    facts["operations"] = tuple(
        read_operation(f"{name}:objective=0.8,timeout=2,value={value},effect=idempotent")
        for name, value in (("status", 1), ("history", 2), ("credit", 3))
    )
    return start_facts(facts)


def server_address(n: int) -> bytes:
    """The binary address of server number `n`."""
    return bytes([10, n >> 16, n >> 8 & 255, n & 255, 31, 64])


def batches(servers: int, proxies: int, seconds: float, now: float, brain) -> Iterator[tuple[float, list]]:
    """Pairs of time and events: the first list, joins, then a batch each half second, which also answers earlier marks.

    `now`: the start time in seconds; `brain`: returns the module, whose unanswered marks are read."""
    random = Random(1)

    def entry(n: int, state: int = face.READY, started: float | None = None) -> face.Entry:
        return face.Entry(server_address(n), n % 2, n // 2 % 2, started, 0, state, 1.0)

    server_numbers, last_number = list(range(servers)), servers
    yield now, [face.Listing(1, face.CACHED, tuple(entry(n) for n in server_numbers))]
    for first in range(0, proxies, 64):  # joins arrive at the rate that the channel supports
        now += 0.02
        yield now, [face.Joined(p % 2, True, p, 2.7) for p in range(first, min(proxies, first + 64))]
    for step in range(int(seconds / PERIOD_S)):
        now += PERIOD_S
        events: list = [face.TimerDue(0)]
        events += [face.Applied(mark, proxy, 0.1) for proxy, mark in list(brain().unanswered.items())]
        if step % 8 == 3:
            drained, last_number = server_numbers.pop(0), last_number + 1
            server_numbers.append(last_number)
            events.append(
                face.Listing(2, face.DELTA, (entry(drained, face.DRAINING), entry(last_number, started=now - 1)))
            )
        for n in server_numbers:
            for zone in (0, 1):
                latency = random.uniform(0.09, 0.2)
                events.append(face.Heard(random.random() < 0.1, server_address(n), 12, PERIOD_S, zone, latency, None))
        events += [face.Demand(1 + random.randrange(2), p, PERIOD_S, 0, random.randrange(3)) for p in range(proxies)]
        yield now, events


def measure(servers: int, proxies: int, seconds: float = 20.0) -> dict:
    """Runs `batches` through a module and returns the processor time of its calls."""
    brain = Brain(make_facts(proxies), 1, 100.0)
    total, count, worst_batch, first_list, worst_join_batch = 0.0, 0, 0.0, 0.0, 0.0
    for now, events in batches(servers, proxies, seconds, 100.0, lambda: brain):
        started_at = time.process_time()
        brain.handle(now, events)
        duration = time.process_time() - started_at
        if isinstance(events[0], face.Listing):
            first_list = duration
        elif isinstance(events[0], face.Joined):
            worst_join_batch = max(worst_join_batch, duration)
        else:
            total, count, worst_batch = total + duration, count + len(events), max(worst_batch, duration)
    return {
        "size": f"{servers}x{proxies}",
        "us_an_event": round(total / count * 1e6, 2),
        "worst_batch_ms": round(worst_batch * 1e3, 1),
        "first_list_ms": round(first_list * 1e3, 1),
        "worst_join_batch_ms": round(worst_join_batch * 1e3, 1),
        "cores": round(total / seconds, 4),
    }


if __name__ == "__main__":
    for size in sys.argv[1:] or ["26x37", "118x349", "400x1500", "1600x6000"]:
        print(json.dumps(measure(*(int(each) for each in size.split("x")), 20.0)), flush=True)
