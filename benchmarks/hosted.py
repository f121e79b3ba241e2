"""A supervisor like that of `driftshed supervise`, with histograms of the latency of orders. Used by `scale.py` only.

    python benchmarks/hosted.py PORT SERVERS PROXIES LINES_PER_SECOND [plain] [trace=DIR]

`plain` replaces the module by a stand-in that gives every proxy the same table and changes a line when the roster does,
which leaves the program's own cost. On SIGTERM it prints one JSON object to standard output."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.core.instance import Instance
from driftshed.net.http_server import Bounds
from driftshed.net.loop import Loop
from driftshed.supervisor.flags import FLAGS, read_operation, start_facts
from driftshed.supervisor.service import Service
from driftshed.trace.recording import Recording
from driftshed.trace.writer import TraceWriter, schedule_trace_flush


class PlainModule:
    """Replaces the module: all proxies use one table, which has a line for each listed server."""

    def __init__(self, facts, seed, now) -> None:
        """Takes the arguments of the module and ignores them."""
        self.marks = 0

    def handle(self, now, events) -> list:
        """Orders a line for each listed server and the table for each proxy that joins, followed by a mark."""
        orders = []
        for event in events:
            if isinstance(event, face.Listing):
                orders += [face.SetLine(e.server, 1.0 if e.state == face.READY else 0.0, 0) for e in event.entries]
            elif isinstance(event, face.Joined):
                orders.append(face.UseTable(0, 0, event.proxy))
        self.marks += bool(orders)
        return [*orders, face.Mark(False, self.marks)] if orders else []


def main() -> None:
    """Runs the supervisor until SIGTERM."""
    port, servers, proxies, lines_per_second = (int(each) for each in sys.argv[1:5])
    facts = {flag.fact: flag.param_type.convert(flag.default, None, None) for flag in FLAGS}
    facts |= {
        "proxies": proxies,
        "lines_per_second": float(lines_per_second),
        "queue_cap": 2.0 * lines_per_second,
        "report_period": 1.0,
        "least_connections": 130.0,
        "listed_weights": "rough",
    }
    facts["operations"] = tuple(
        read_operation(f"{name}:objective=0.8,timeout=2,value={value},effect=idempotent")
        for name, value in (("status", 1), ("history", 2), ("credit", 3))
    )
    loop = Loop()
    brain = PlainModule if "plain" in sys.argv else Brain
    instance = Instance(start_facts(facts), 1, f"run{os.getpid()}", loop.clock(), time.monotonic() - time.time(), brain)
    total_latency, channel_latency = HdrHistogram(1, 600_000_000, 3), HdrHistogram(1, 600_000_000, 3)

    def record_latency(message, now) -> None:
        total_latency.record_value(max(1, round((now - message.ordered_at) * 1e6)))
        channel_latency.record_value(max(1, round((now - message.due_at) * 1e6)))

    service = Service(loop, instance, ("127.0.0.1", port), lambda *_, **__: None, 60.0, 30.0, Bounds(connections=30000))
    instance.hub.on_applied = record_latency
    writer = None
    for argument in sys.argv[5:]:
        if argument.startswith("trace="):
            writer = TraceWriter(Path(argument.partition("=")[2]), "supervisor-0")
            service.on_message = Recording(instance, writer).record_message
            schedule_trace_flush(loop, writer)
    loop.on_signals((signal.SIGTERM,), lambda number: service.stop())
    print("listening", flush=True)
    loop.run()
    if writer:
        writer.close()
    figures = {
        name: {
            "count": histogram.get_total_count(),
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            "most_ms": histogram.get_max_value() / 1000,
        }
        for name, histogram in (("whole", total_latency), ("own", channel_latency))
    }
    print(json.dumps({**figures, "most_waiting": instance.hub.channel.most_waiting, "cpu": time.process_time()}))


if __name__ == "__main__":
    main()
