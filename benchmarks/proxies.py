"""What a proxy adds, by an open-loop load: arrivals are drawn ahead, so that a stall is not hidden.

    python benchmarks/proxies.py [RATE ...]      invocations a second, straight and through one proxy, paired
    python benchmarks/proxies.py most            requests a second that one proxy answers at the most, closed loop
    python benchmarks/proxies.py changes         CPU of a proxy that applies one changed line of 118 each 100 ms

The server and the load are processes of their own. Prints one JSON object a line."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from driftshed.net.http import HttpClient, HttpServer
from driftshed.net.loop import Loop

SERVER, PROXY = ("127.0.0.1", 18110), ("127.0.0.1", 18111)
SPAN = 6.0


def say(**figures: object) -> None:
    print(json.dumps(figures), flush=True)


def server() -> None:
    loop = Loop()
    HttpServer(loop, SERVER, lambda request: request.answer(200, b"ok", "text/plain"))
    print("listening", flush=True)
    loop.run()


def start(*command: str) -> subprocess.Popen:
    command = [sys.executable, *command]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    assert process.stdout.readline().startswith("listening")
    return process


def start_proxy(supervisor: str = "127.0.0.1:18119", *more: str) -> subprocess.Popen:
    flags = {
        "listen": f"{PROXY[0]}:{PROXY[1]}",
        "number": "1",
        "zone": "east",
        "supervisor": supervisor,
        "standing": f"{SERVER[0]}:{SERVER[1]}",
        "server-connections": "512",
        "connecting": "64",
    }
    command = [part for name, value in flags.items() for part in (f"--{name}", value)]
    for name in ("status", "history", "credit", "look"):  # the first three are those of hosted.py
        if name != "look" or supervisor.endswith(":18119"):
            command += ["--operation", f"{name}:objective=1,timeout=5,value=1,effect=idempotent"]
    return start("-m", "driftshed.cli", "proxy", *command, *more)


def cpu(process: subprocess.Popen) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def load(address: tuple[str, int], rate: float, span: float) -> dict:
    """Open loop: latency counts from when an invocation was due."""
    loop, random, done = Loop(), Random(1), [0]
    client, histogram = HttpClient(loop, address, idle_most=512), HdrHistogram(1, 60_000_000, 3)
    due, at = [], loop.clock() + 0.2
    while at < loop.clock() + 0.2 + span:
        at += random.expovariate(rate)
        due.append(at)

    def ask(place: int) -> None:
        def answered(answer, began=due[place]) -> None:
            done[0] += 1
            histogram.record_value(max(1, round((loop.clock() - began) * 1e6)) if answer.status == 200 else 60_000_000)

        client.call("POST", "/do/look", b"", answered, 20.0)
        if place + 1 < len(due):
            loop.at(due[place + 1], lambda: ask(place + 1))

    loop.at(due[0], lambda: ask(0))
    loop.run(due[-1] + 1.0)
    return {
        "answered": done[0],
        "of": len(due),
        "p50_us": histogram.get_value_at_percentile(50),
        "p99_us": histogram.get_value_at_percentile(99),
    }


def closed(address: tuple[str, int], connections: int, span: float) -> float:
    """Answers a second with so many asking again as soon as they are answered."""
    loop, count = Loop(), [0]

    def again(client, answer=None) -> None:
        count[0] += 1
        client.call("POST", "/do/look", b"", lambda answer: again(client), 20.0)

    for _ in range(connections):
        again(HttpClient(loop, address))
    began = loop.clock()
    loop.run(began + span)
    return count[0] / (loop.clock() - began)


def paired(rates: list[float]) -> None:
    field, proxy = start(__file__, "server"), start_proxy()
    try:
        load(PROXY, 200, 1.0)
        for rate in rates:
            straight, used = load(SERVER, rate, SPAN), cpu(proxy)
            through = load(PROXY, rate, SPAN)
            say(
                rate=rate,
                straight=straight,
                through=through,
                added_p50_ms=(through["p50_us"] - straight["p50_us"]) / 1e3,
                added_p99_ms=(through["p99_us"] - straight["p99_us"]) / 1e3,
                cpu_us_an_invocation=round((cpu(proxy) - used) / through["of"] * 1e6),
            )
    finally:
        for process in (field, proxy):
            process.terminate()


def most(proxies: int = 1) -> None:
    """`proxies`: processes that share one port."""
    field = start(__file__, "server")
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
            used, began = cpu(proxy), time.monotonic()
            rates = [float(child.communicate()[0]) for child in children]
            say(
                proxies=proxies,
                connections=connections,
                answers_a_second=round(sum(rates)),
                cores_of_one=round((cpu(proxy) - used) / (time.monotonic() - began), 2),
            )
    finally:
        for process in (field, proxy, *others):
            process.terminate()


def changes() -> None:
    from benchmarks import scale

    supervisor = scale.Supervisor(118, 1, 10_000_000, "plain")
    fleet = scale.Fleet(supervisor, 118, 0, reports=False)
    fleet.wait(0.5)
    proxy = start_proxy(f"{supervisor.address[0]}:{supervisor.address[1]}")
    fleet.wait(1.5)
    used, count = cpu(proxy), [0]

    def change() -> None:
        count[0] += 1
        fleet.push(False, [fleet.entry(count[0] % 118, ("draining", "ready")[count[0] // 118 % 2])])
        fleet.loop.after(0.1, change)

    change()
    fleet.wait(20.0)
    answers: list = []
    fleet.feed.call("GET", "/v1/proxies", b"", answers.append, 2.0)
    fleet.wait(1.0)
    say(changes=count[0], lines=118, cores=round((cpu(proxy) - used) / 20.0, 4), proxy=json.loads(answers[0].body))
    proxy.terminate()
    supervisor.kill()


if __name__ == "__main__":
    what = sys.argv[1] if len(sys.argv) > 1 else ""
    if what == "server":
        server()
    elif what == "closed":
        print(closed(PROXY, int(sys.argv[2]), SPAN))
    elif what == "most":
        for proxies in (1, 2, 4):
            most(proxies)
    elif what == "changes":
        changes()
    else:
        paired([float(each) for each in sys.argv[1:]] or [500.0, 1500.0, 3000.0])
