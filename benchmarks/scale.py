"""The supervisor at size, on loopback: CPU, memory, time to apply, rejoining, idle polls and fan-out.

    python benchmarks/scale.py full [SERVERS PROXIES]      quiet, draining, killed and rejoined, with the module
    python benchmarks/scale.py idle 500 2000 8000          polls held, and one change to all, without the module
    python benchmarks/scale.py bytes                       a delta against the whole table

Prints one JSON object a line. The supervisor is a process of its own; the proxies live in this one."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec

from driftshed.core.messages import (
    Changes,
    JoinAnswer,
    Line,
    ListedServer,
    OperationReport,
    Report,
    RosterNews,
    ServerReport,
    encode,
)
from driftshed.net.http import HttpClient
from driftshed.net.loop import Loop

CHANGES, JOINED = msgspec.json.Decoder(Changes), msgspec.json.Decoder(JoinAnswer)
PACE = 5000  # lines a second


class Supervisor:
    def __init__(self, servers: int, proxies: int, pace: int = PACE, *more: str) -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        self.command = [
            sys.executable,
            str(Path(__file__).with_name("hosted.py")),
            str(self.address[1]),
            str(servers),
            str(proxies),
            str(pace),
            *more,
        ]
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen(self.command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout.readline().startswith("listening")

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, what: str = "VmHWM") -> int:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(what):
                return int(line.split()[1]) * 1024
        return 0

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()

    def end(self) -> dict:
        self.process.send_signal(signal.SIGTERM)
        out, _ = self.process.communicate(timeout=60)
        return json.loads(out.splitlines()[-1])


class Proxy:
    """Joins, polls and reports; a new stream after any end."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.random = fleet, number, Random(number)
        self.lines: dict[str, float] = {}
        self.tables: dict[int, dict[str, float]] = {}
        self.used, self.version, self.run, self.stream, self.usable_at = 0, 0, None, "", None
        self.client = HttpClient(fleet.loop, fleet.supervisor.address)
        self.reports = HttpClient(fleet.loop, fleet.supervisor.address)
        self.join()

    def join(self) -> None:
        body = {"zone": ("east", "west")[self.number % 2], "rate": 2.7, "fresh": self.run is None}
        if self.run:
            body |= {"run": self.run, "version": self.version}
        self.client.close()
        path = f"/v1/proxies/{self.number}/join"
        self.client.call("POST", path, encode(body), self.joined, 20.0, fresh=True)

    def joined(self, answer) -> None:
        if answer.status != 200:
            self.run = None if answer.status == 409 else self.run
            self.fleet.loop.after(self.random.uniform(0.02, 0.1), self.join)
            return
        joined = JOINED.decode(answer.body)
        if joined.run != self.run:
            self.run, self.version = joined.run, joined.version
        self.stream = joined.stream
        self.poll()

    def poll(self) -> None:
        path = f"/v1/proxies/{self.number}/changes?stream={self.stream}&after={self.version}&wait=60"
        self.client.call("GET", path, b"", self.told, 70.0)

    def told(self, answer) -> None:
        if answer.status != 200:
            self.stream = ""
            self.fleet.loop.after(self.random.uniform(0.02, 0.1), self.join)
            return
        changes = CHANGES.decode(answer.body)
        self.version = changes.version
        if changes.whole:
            self.tables = {}
        for change in changes.changes:
            if isinstance(change, Line):
                self.tables.setdefault(change.table, {})[change.server] = change.weight
            elif type(change).__name__ == "Use":
                self.used = change.table
        if changes.changes:
            self.lines = self.tables.get(self.used, {})
            self.usable_at = self.fleet.loop.clock()
            self.fleet.told += 1
        self.poll()

    def report(self) -> None:
        if self.stream and self.lines:
            met = [ServerReport(name, 3, 0, self.random.uniform(0.09, 0.11)) for name, w in self.lines.items() if w]
            rows = [OperationReport(name, 1, 0) for name in ("status", "history", "credit")]
            path = f"/v1/proxies/{self.number}/report"
            self.reports.call("POST", path, encode(Report(self.stream, met, rows)), lambda answer: None, 20.0)


class Fleet:
    def __init__(self, supervisor: Supervisor, servers: int, proxies: int, reports: bool = True) -> None:
        self.loop, self.supervisor, self.told = Loop(), supervisor, 0
        self.servers, self.version = servers, 0
        self.names = [f"10.0.{n // 250}.{1 + n % 250}:8000" for n in range(servers)]
        self.feed = HttpClient(self.loop, supervisor.address)
        self.list_all()
        self.proxies: list[Proxy] = []
        for number in range(proxies):
            self.proxies.append(Proxy(self, number))
            if number % 64 == 63:
                self.wait(0.05)
            if reports:
                self.loop.after(1.0 + number / proxies, lambda proxy=self.proxies[-1]: self.every(proxy))

    def every(self, proxy: Proxy) -> None:
        self.loop.after(1.0, lambda: self.every(proxy))
        proxy.report()

    def push(self, whole: bool, listed: list[ListedServer]) -> None:
        self.version += 1
        self.feed.call("POST", "/v1/roster", encode(RosterNews(self.version, whole, listed)), lambda answer: None, 20.0)

    def entry(self, n: int, state: str = "ready") -> ListedServer:
        return ListedServer(self.names[n], ("east", "west")[n % 2], "standard", state, None, 0, 1.0)

    def list_all(self) -> None:
        self.push(True, [self.entry(n) for n in range(self.servers)])

    def wait(self, seconds: float, condition=None) -> float:
        began = self.loop.clock()
        while self.loop.clock() < began + seconds and not (condition and condition()):
            self.loop.run(min(began + seconds, self.loop.clock() + 0.02))
        return self.loop.clock() - began

    def measure(self, seconds: float, act=lambda: None) -> dict:
        """CPU a second over the stretch, and in its worst second."""
        act()
        began, first, worst = self.loop.clock(), self.supervisor.cpu(), 0.0
        while self.loop.clock() < began + seconds:
            at, cpu = self.loop.clock(), self.supervisor.cpu()
            self.wait(1.0)
            worst = max(worst, (self.supervisor.cpu() - cpu) / (self.loop.clock() - at))
        return {
            "cpu_a_second": round((self.supervisor.cpu() - first) / (self.loop.clock() - began), 4),
            "worst_second": round(worst, 4),
        }


def say(**figures) -> None:
    print(json.dumps(figures), flush=True)


def full(servers: int, proxies: int) -> None:
    supervisor = Supervisor(servers, proxies)
    fleet = Fleet(supervisor, servers, proxies)
    settled = fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    say(size=f"{servers}x{proxies}", cores=os.cpu_count(), all_with_tables_s=round(settled, 2))
    fleet.wait(8)
    say(when="quiet", **fleet.measure(15), memory_mb=round(supervisor.memory() / 1e6, 1))

    def drain() -> None:
        for k in range(10):
            fleet.loop.after(1.5 * k, lambda k=k: fleet.push(False, [fleet.entry(k, "draining")]))

    say(when="one drain each 1.5 s", **fleet.measure(16, drain), memory_mb=round(supervisor.memory() / 1e6, 1))
    supervisor.kill()
    for proxy in fleet.proxies:
        proxy.usable_at = None
    supervisor.start()
    fleet.feed.close()
    began, started = fleet.loop.clock(), supervisor.cpu()
    fleet.list_all()
    fleet.loop.run(began + 1e-3)
    fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    took = max(proxy.usable_at for proxy in fleet.proxies) - began
    lines = sum(3 + 1 + 3 + 3 + len(proxy.lines) for proxy in fleet.proxies)  # head, mark, uses, levels, lines
    say(
        when="killed and rejoined",
        all_with_tables_s=round(took, 3),
        floor_s=round(lines / PACE, 3),
        beyond_s=round(took - lines / PACE, 3),
        cpu_a_second=round((supervisor.cpu() - started) / took, 3),
        memory_mb=round(supervisor.memory() / 1e6, 1),
    )
    fleet.measure(5, drain)
    say(when="orders to proxies, since then", **supervisor.end())


def idle(counts: list[int]) -> None:
    for count in counts:
        idle_one(count)


def idle_one(count: int) -> None:
    supervisor = Supervisor(8, count, 10_000_000, "plain")
    before = supervisor.memory("VmRSS")
    fleet = Fleet(supervisor, 8, count, reports=False)
    fleet.wait(120, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    fleet.wait(2)
    held = supervisor.memory("VmRSS")
    quiet = fleet.measure(5)
    fleet.told, cpu = 0, supervisor.cpu()
    fleet.push(False, [fleet.entry(0, "draining")])
    took = fleet.wait(60, lambda: fleet.told >= count)
    fleet.wait(0.3)
    say(
        polls=count,
        bytes_a_poll=round((held - before) / count),
        idle_cpu_a_second=quiet["cpu_a_second"],
        fan_out_s=round(took, 3),
        cpu_us_a_poll=round((supervisor.cpu() - cpu) / count * 1e6, 1),
    )
    supervisor.end()


def sizes() -> None:
    from driftshed import interface as face
    from driftshed.core.hub import Hub  # the core alone: what it would send
    from driftshed.supervisor.flags import FLAGS, read_operation, start_facts

    given = {flag.fact: flag.kind.convert(flag.default, None, None) for flag in FLAGS}
    given["operations"] = tuple(read_operation(f"{n}:objective=1,timeout=2,value=1") for n in ("a", "b", "c"))
    hub = Hub(start_facts(given), "0123456789")
    record, _ = hub.join(0, 0, None, 0)
    weights = Random(1)
    hub.apply(
        [
            *(face.SetLine(bytes([10, 0, 0, n, 31, 64]), weights.uniform(0.5, 2), 0) for n in range(118)),
            face.UseTable(0, 0, 0),
        ],
        0.0,
    )
    hub.release(1e6)
    whole = len(hub.news(record))
    hub.ack(record, record.version, 1e6)
    hub.apply([face.SetLine(bytes([10, 0, 0, 7, 31, 64]), weights.uniform(0.5, 2), 0)], 1e6)
    hub.release(2e6)
    delta = len(hub.news(record))
    say(lines=118, whole_bytes=whole, delta_bytes=delta, ratio=round(whole / delta, 1))


if __name__ == "__main__":
    what, rest = sys.argv[1], [int(each) for each in sys.argv[2:]]
    if what == "full":
        full(*(rest or [118, 349]))
    elif what == "idle":
        idle(rest or [500, 2000, 8000])
    else:
        sizes()
