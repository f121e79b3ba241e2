"""Measures a supervisor over loopback: CPU, memory, time to apply orders, rejoining, idle polls and fan-out.

    python benchmarks/scale.py full [SERVERS PROXIES]      at rest, draining, killed and rejoined, with the module
    python benchmarks/scale.py idle 500 2000 8000          idle polls, and one change to all, without the module
    python benchmarks/scale.py bytes                       a delta compared to a full snapshot

Prints one JSON object a line. The supervisor is a separate process; the proxies are in this one."""

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
    RosterUpdate,
    ServerReport,
    encode_json,
)
from driftshed.net.http import HttpClient
from driftshed.net.loop import Loop

CHANGES_DECODER, JOIN_DECODER = msgspec.json.Decoder(Changes), msgspec.json.Decoder(JoinAnswer)
LINES_PER_SECOND = 5000


class Supervisor:
    """A supervisor process (`hosted.py`) on a free port."""

    def __init__(self, servers: int, proxies: int, lines_per_second: int = LINES_PER_SECOND, *arguments: str) -> None:
        """Starts it with this size and pace; `arguments`: further ones of `hosted.py`."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        self.command = [
            sys.executable,
            str(Path(__file__).with_name("hosted.py")),
            str(self.address[1]),
            str(servers),
            str(proxies),
            str(lines_per_second),
            *arguments,
        ]
        self.start()

    def start(self) -> None:
        """Starts the process, also again after `kill`."""
        self.process = subprocess.Popen(self.command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout.readline().startswith("listening")

    def cpu(self) -> float:
        """Processor time so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, field: str = "VmHWM") -> int:
        """A memory field of /proc/PID/status in bytes: VmHWM is the peak, VmRSS the current memory."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * 1024
        return 0

    def kill(self) -> None:
        """Kills the process by SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()

    def end(self) -> dict:
        """Ends the process by SIGTERM and returns the JSON object that it prints."""
        self.process.send_signal(signal.SIGTERM)
        output, _ = self.process.communicate(timeout=60)
        return json.loads(output.splitlines()[-1])


class Proxy:
    """A proxy that joins, polls and reports, and joins again whenever its stream has ended."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Creates the proxy and starts to join."""
        self.fleet, self.number, self.random = fleet, number, Random(number)
        self.lines: dict[str, float] = {}
        self.tables: dict[int, dict[str, float]] = {}
        self.table_used, self.version, self.run, self.stream, self.usable_at = 0, 0, None, "", None
        self.client = HttpClient(fleet.loop, fleet.supervisor.address)
        self.reports = HttpClient(fleet.loop, fleet.supervisor.address)
        self.join()

    def join(self) -> None:
        """Requests a stream, with the state of the last one if there was one."""
        body = {"zone": ("east", "west")[self.number % 2], "rate": 2.7, "fresh": self.run is None}
        if self.run:
            body |= {"run": self.run, "version": self.version}
        self.client.close()
        path = f"/v1/proxies/{self.number}/join"
        self.client.call("POST", path, encode_json(body), self.on_joined, 20.0, fresh=True)

    def on_joined(self, answer) -> None:
        """Starts to poll, or joins again after a short random time."""
        if answer.status != 200:
            self.run = None if answer.status == 409 else self.run
            self.fleet.loop.after(self.random.uniform(0.02, 0.1), self.join)
            return
        joined = JOIN_DECODER.decode(answer.body)
        if joined.run != self.run:
            self.run, self.version = joined.run, joined.version
        self.stream = joined.stream
        self.poll()

    def poll(self) -> None:
        """Requests changes; the supervisor holds the request for up to 60 s."""
        path = f"/v1/proxies/{self.number}/changes?stream={self.stream}&after={self.version}&wait=60"
        self.client.call("GET", path, b"", self.on_changes, 70.0)

    def on_changes(self, answer) -> None:
        """Applies changes and polls again, or joins again if the stream has ended."""
        if answer.status != 200:
            self.stream = ""
            self.fleet.loop.after(self.random.uniform(0.02, 0.1), self.join)
            return
        changes = CHANGES_DECODER.decode(answer.body)
        self.version = changes.version
        if changes.whole:
            self.tables = {}
        for change in changes.changes:
            if isinstance(change, Line):
                self.tables.setdefault(change.table, {})[change.server] = change.weight
            elif type(change).__name__ == "Use":
                self.table_used = change.table
        if changes.changes:
            self.lines = self.tables.get(self.table_used, {})
            self.usable_at = self.fleet.loop.clock()
            self.fleet.update_count += 1
        self.poll()

    def report(self) -> None:
        """Reports a second's calls to each server in use."""
        if self.stream and self.lines:
            server_reports = [
                ServerReport(name, 3, 0, self.random.uniform(0.09, 0.11)) for name, w in self.lines.items() if w
            ]
            rows = [OperationReport(name, 1, 0) for name in ("status", "history", "credit")]
            path = f"/v1/proxies/{self.number}/report"
            self.reports.call(
                "POST", path, encode_json(Report(self.stream, server_reports, rows)), lambda answer: None, 20.0
            )


class Fleet:
    """Proxies of one supervisor and the source of its list of servers, on one loop."""

    def __init__(self, supervisor: Supervisor, servers: int, proxies: int, reports: bool = True) -> None:
        """Sends the full list and starts the proxies; `reports`: whether they report each second."""
        self.loop, self.supervisor, self.update_count = Loop(), supervisor, 0
        self.servers, self.version = servers, 0
        self.names = [f"10.0.{n // 250}.{1 + n % 250}:8000" for n in range(servers)]
        self.feed = HttpClient(self.loop, supervisor.address)
        self.send_full_list()
        self.proxies: list[Proxy] = []
        for number in range(proxies):
            self.proxies.append(Proxy(self, number))
            if number % 64 == 63:
                self.wait(0.05)
            if reports:
                self.loop.after(1.0 + number / proxies, lambda proxy=self.proxies[-1]: self.report_every_second(proxy))

    def report_every_second(self, proxy: Proxy) -> None:
        """Lets a proxy report now and each second from now on."""
        self.loop.after(1.0, lambda: self.report_every_second(proxy))
        proxy.report()

    def send_list(self, full: bool, servers: list[ListedServer]) -> None:
        """Sends a list of servers, or changed entries unless `full`."""
        self.version += 1
        self.feed.call(
            "POST", "/v1/roster", encode_json(RosterUpdate(self.version, full, servers)), lambda answer: None, 20.0
        )

    def listed_server(self, n: int, state: str = "ready") -> ListedServer:
        """The list's entry of server number `n`."""
        return ListedServer(self.names[n], ("east", "west")[n % 2], "standard", state, None, 0, 1.0)

    def send_full_list(self) -> None:
        """Sends the full list, all servers ready."""
        self.send_list(True, [self.listed_server(n) for n in range(self.servers)])

    def wait(self, seconds: float, condition=None) -> float:
        """Runs the loop until `condition()` holds, for `seconds` at most; returns the seconds passed."""
        started_at = self.loop.clock()
        while self.loop.clock() < started_at + seconds and not (condition and condition()):
            self.loop.run(min(started_at + seconds, self.loop.clock() + 0.02))
        return self.loop.clock() - started_at

    def measure(self, seconds: float, action=lambda: None) -> dict:
        """The supervisor's share of a core over `seconds` after `action`, and in its worst second."""
        action()
        started_at, cpu_at_start, worst = self.loop.clock(), self.supervisor.cpu(), 0.0
        while self.loop.clock() < started_at + seconds:
            second_began, cpu = self.loop.clock(), self.supervisor.cpu()
            self.wait(1.0)
            worst = max(worst, (self.supervisor.cpu() - cpu) / (self.loop.clock() - second_began))
        return {
            "cpu_a_second": round((self.supervisor.cpu() - cpu_at_start) / (self.loop.clock() - started_at), 4),
            "worst_second": round(worst, 4),
        }


def print_json(**figures) -> None:
    """Prints one JSON object on a line."""
    print(json.dumps(figures), flush=True)


def measure_full(servers: int, proxies: int) -> None:
    """Measures a fleet at rest, draining, and rejoining after a kill."""
    supervisor = Supervisor(servers, proxies)
    fleet = Fleet(supervisor, servers, proxies)
    ready_after = fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    print_json(size=f"{servers}x{proxies}", cores=os.cpu_count(), all_with_tables_s=round(ready_after, 2))
    fleet.wait(8)
    print_json(when="quiet", **fleet.measure(15), memory_mb=round(supervisor.memory() / 1e6, 1))

    def drain() -> None:
        for k in range(10):
            fleet.loop.after(1.5 * k, lambda k=k: fleet.send_list(False, [fleet.listed_server(k, "draining")]))

    print_json(when="one drain each 1.5 s", **fleet.measure(16, drain), memory_mb=round(supervisor.memory() / 1e6, 1))
    supervisor.kill()
    for proxy in fleet.proxies:
        proxy.usable_at = None
    supervisor.start()
    fleet.feed.close()
    restarted_at, cpu_at_start = fleet.loop.clock(), supervisor.cpu()
    fleet.send_full_list()
    fleet.loop.run(restarted_at + 1e-3)
    fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    rejoin_seconds = max(proxy.usable_at for proxy in fleet.proxies) - restarted_at
    lines = sum(3 + 1 + 3 + 3 + len(proxy.lines) for proxy in fleet.proxies)  # header, mark, uses, levels, lines
    print_json(
        when="killed and rejoined",
        all_with_tables_s=round(rejoin_seconds, 3),
        floor_s=round(lines / LINES_PER_SECOND, 3),
        beyond_s=round(rejoin_seconds - lines / LINES_PER_SECOND, 3),
        cpu_a_second=round((supervisor.cpu() - cpu_at_start) / rejoin_seconds, 3),
        memory_mb=round(supervisor.memory() / 1e6, 1),
    )
    fleet.measure(5, drain)
    print_json(when="orders to proxies, since then", **supervisor.end())


def measure_idle_counts(counts: list[int]) -> None:
    """Measures idle polls for each number of proxies."""
    for count in counts:
        measure_idle(count)


def measure_idle(count: int) -> None:
    """Measures the memory and processor time of `count` idle polls, and the fan-out of one change."""
    supervisor = Supervisor(8, count, 10_000_000, "plain")
    memory_before = supervisor.memory("VmRSS")
    fleet = Fleet(supervisor, 8, count, reports=False)
    fleet.wait(120, lambda: all(proxy.usable_at for proxy in fleet.proxies))
    fleet.wait(2)
    memory_after = supervisor.memory("VmRSS")
    idle = fleet.measure(5)
    fleet.update_count, cpu_before = 0, supervisor.cpu()
    fleet.send_list(False, [fleet.listed_server(0, "draining")])
    fan_out_seconds = fleet.wait(60, lambda: fleet.update_count >= count)
    fleet.wait(0.3)
    print_json(
        polls=count,
        bytes_a_poll=round((memory_after - memory_before) / count),
        idle_cpu_a_second=idle["cpu_a_second"],
        fan_out_s=round(fan_out_seconds, 3),
        cpu_us_a_poll=round((supervisor.cpu() - cpu_before) / count * 1e6, 1),
    )
    supervisor.end()


def measure_sizes() -> None:
    """Prints the bytes of a full snapshot and of a delta of one line."""
    from driftshed import interface as face
    from driftshed.core.hub import Hub  # only the core: what it would send
    from driftshed.supervisor.flags import FLAGS, read_operation, start_facts

    facts = {flag.fact: flag.param_type.convert(flag.default, None, None) for flag in FLAGS}
    facts["operations"] = tuple(read_operation(f"{n}:objective=1,timeout=2,value=1") for n in ("a", "b", "c"))
    hub = Hub(start_facts(facts), "0123456789")
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
    snapshot_bytes = len(hub.update_body(record))
    hub.ack(record, record.version, 1e6)
    hub.apply([face.SetLine(bytes([10, 0, 0, 7, 31, 64]), weights.uniform(0.5, 2), 0)], 1e6)
    hub.release(2e6)
    delta_bytes = len(hub.update_body(record))
    print_json(
        lines=118, whole_bytes=snapshot_bytes, delta_bytes=delta_bytes, ratio=round(snapshot_bytes / delta_bytes, 1)
    )


if __name__ == "__main__":
    what, rest = sys.argv[1], [int(each) for each in sys.argv[2:]]
    if what == "full":
        measure_full(*(rest or [118, 349]))
    elif what == "idle":
        measure_idle_counts(rest or [500, 2000, 8000])
    else:
        measure_sizes()
