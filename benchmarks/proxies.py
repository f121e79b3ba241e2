"""Measures the latency that a proxy adds. The load is open-loop: arrivals are drawn ahead, so stalls are not hidden.

    python benchmarks/proxies.py [RATE ...]      invocations a second, direct and through one proxy, paired
    python benchmarks/proxies.py most            the maximum rate of requests of one proxy, closed loop
    python benchmarks/proxies.py changes         CPU of a proxy that applies one changed line of 118 each 100 ms

The server and the closed-loop clients are separate processes. Prints one JSON object a line."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from driftshed.net.http import HttpClient
from driftshed.net.http_server import HttpServer
from driftshed.net.loop import Loop

SERVER, PROXY = ("127.0.0.1", 18110), ("127.0.0.1", 18111)
SPAN_S = 6.0


def print_json(**figures: object) -> None:
    """Prints one JSON object on a line."""
    print(json.dumps(figures), flush=True)


def run_server() -> None:
    """Runs a server that answers every request at once."""
    loop = Loop()
    HttpServer(loop, SERVER, lambda request: request.answer(200, b"ok", "text/plain"))
    print("listening", flush=True)
    loop.run()


def start(*command: str) -> subprocess.Popen:
    """Starts a Python process and waits until it prints that it is listening."""
    command = [sys.executable, *command]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    assert process.stdout.readline().startswith("listening")
    return process


def start_proxy(supervisor: str = "127.0.0.1:18119", *extra: str) -> subprocess.Popen:
    """Starts a proxy in front of the server; `extra`: further flags."""
    flags = {
        "listen": f"{PROXY[0]}:{PROXY[1]}",
        "number": "1",
        "zone": "east",
        "supervisor": supervisor,
        "standing": f"{SERVER[0]}:{SERVER[1]}",
        "server-connections": "512",
        "connecting": "64",
    }
    command = [argument for name, value in flags.items() for argument in (f"--{name}", value)]
    for name in ("status", "history", "credit", "look"):  # the first three are the operations of hosted.py
        if name != "look" or supervisor.endswith(":18119"):
            command += ["--operation", f"{name}:objective=1,timeout=5,value=1,effect=idempotent"]
    return start("-m", "driftshed.cli", "proxy", *command, *extra)


def processor_time(process: subprocess.Popen) -> float:
    """Processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_open_loop(address: tuple[str, int], rate: float, span: float) -> dict:
    """Sends invocations at random times for `span` seconds; latency counts from the time at which one was due."""
    loop, random, answer_count = Loop(), Random(1), [0]
    client, histogram = HttpClient(loop, address, max_idle=512), HdrHistogram(1, 60_000_000, 3)
    due_times, due_at = [], loop.clock() + 0.2
    while due_at < loop.clock() + 0.2 + span:
        due_at += random.expovariate(rate)
        due_times.append(due_at)

    def send(place: int) -> None:
        def on_answer(answer, due_at=due_times[place]) -> None:
            answer_count[0] += 1
            histogram.record_value(max(1, round((loop.clock() - due_at) * 1e6)) if answer.status == 200 else 60_000_000)

        client.call("POST", "/do/look", b"", on_answer, 20.0)
        if place + 1 < len(due_times):
            loop.at(due_times[place + 1], lambda: send(place + 1))

    loop.at(due_times[0], lambda: send(0))
    loop.run(due_times[-1] + 1.0)
    return {
        "answered": answer_count[0],
        "of": len(due_times),
        "p50_us": histogram.get_value_at_percentile(50),
        "p99_us": histogram.get_value_at_percentile(99),
    }


def measure_closed_loop(address: tuple[str, int], connections: int, span: float) -> float:
    """Answers per second with `connections` clients that send again as soon as they are answered."""
    loop, count = Loop(), [0]

    def again(client, answer=None) -> None:
        count[0] += 1
        client.call("POST", "/do/look", b"", lambda answer: again(client), 20.0)

    for _ in range(connections):
        again(HttpClient(loop, address))
    started_at = loop.clock()
    loop.run(started_at + span)
    return count[0] / (loop.clock() - started_at)


def measure_added_latency(rates: list[float]) -> None:
    """Measures each rate directly and through the proxy, and prints the difference."""
    server_process, proxy = start(__file__, "server"), start_proxy()
    try:
        measure_open_loop(PROXY, 200, 1.0)
        for rate in rates:
            direct, cpu_before = measure_open_loop(SERVER, rate, SPAN_S), processor_time(proxy)
            through = measure_open_loop(PROXY, rate, SPAN_S)
            print_json(
                rate=rate,
                straight=direct,
                through=through,
                added_p50_ms=(through["p50_us"] - direct["p50_us"]) / 1e3,
                added_p99_ms=(through["p99_us"] - direct["p99_us"]) / 1e3,
                cpu_us_an_invocation=round((processor_time(proxy) - cpu_before) / through["of"] * 1e6),
            )
    finally:
        for process in (server_process, proxy):
            process.terminate()


def measure_max_rate(proxies: int = 1) -> None:
    """Prints the maximum rate of answers; `proxies` processes share one port."""
    server_process = start(__file__, "server")
    others = [start_proxy("127.0.0.1:18119", "--shared") for _ in range(proxies - 1)]
    proxy = start_proxy("127.0.0.1:18119", *["--shared"] * (proxies > 1))
    try:
        for connections in (1, 16, 256) if proxies == 1 else (256,):
            children = [
                subprocess.Popen(
                    [sys.executable, __file__, "closed", str(max(1, connections // 4))],
                    stdout=subprocess.PIPE,
                    text=True,
                )
                for _ in range(min(4, connections))
            ]
            cpu_before, started_at = processor_time(proxy), time.monotonic()
            rates = [float(child.communicate()[0]) for child in children]
            print_json(
                proxies=proxies,
                connections=connections,
                answers_a_second=round(sum(rates)),
                cores_of_one=round((processor_time(proxy) - cpu_before) / (time.monotonic() - started_at), 2),
            )
    finally:
        for process in (server_process, proxy, *others):
            process.terminate()


def measure_changes() -> None:
    """Prints the share of a core of a proxy that applies a changed line each 100 ms."""
    from benchmarks import scale

    supervisor = scale.Supervisor(118, 1, 10_000_000, "plain")
    fleet = scale.Fleet(supervisor, 118, 0, reports=False)
    fleet.wait(0.5)
    proxy = start_proxy(f"{supervisor.address[0]}:{supervisor.address[1]}")
    fleet.wait(1.5)
    cpu_before, count = processor_time(proxy), [0]

    def change() -> None:
        count[0] += 1
        fleet.send_list(False, [fleet.listed_server(count[0] % 118, ("draining", "ready")[count[0] // 118 % 2])])
        fleet.loop.after(0.1, change)

    change()
    fleet.wait(20.0)
    answers: list = []
    fleet.feed.call("GET", "/v1/proxies", b"", answers.append, 2.0)
    fleet.wait(1.0)
    print_json(
        changes=count[0],
        lines=118,
        cores=round((processor_time(proxy) - cpu_before) / 20.0, 4),
        proxy=json.loads(answers[0].body),
    )
    proxy.terminate()
    supervisor.kill()


if __name__ == "__main__":
    what = sys.argv[1] if len(sys.argv) > 1 else ""
    if what == "server":
        run_server()
    elif what == "closed":
        print(measure_closed_loop(PROXY, int(sys.argv[2]), SPAN_S))
    elif what == "most":
        for proxies in (1, 2, 4):
            measure_max_rate(proxies)
    elif what == "changes":
        measure_changes()
    else:
        measure_added_latency([float(each) for each in sys.argv[1:]] or [500.0, 1500.0, 3000.0])
