"""Measures membership by sessions: the time until a lapse is applied, a store's restart, a change, many sessions.

python -m benchmarks.roster lapse
python -m benchmarks.roster restart
python -m benchmarks.roster storm
python -m benchmarks.roster sessions --count 5000
"""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from random import Random

import click
import numpy as np

from driftshed.net.loop import Loop
from driftshed.proxy.follow import Follower, ReportCounts
from driftshed.proxy.tables import Tables
from driftshed.roster.announce import Announcer, RegistrationState
from driftshed.roster.client import RosterClient
from driftshed.roster.follow import RosterFollower
from driftshed.roster.jute import Close, GetData
from driftshed.roster.membership import Membership, ServerAnnouncement
from driftshed.roster.session import SessionState

ROOT = "/driftshed/servers"
OPERATION = "look:objective=0.5,timeout=1,value=1"


class Testbed:
    """A store and optionally a supervisor as processes; their clients share one loop in this process."""

    def __init__(self, supervisor: int = 0) -> None:
        """Starts a store and, for `supervisor` proxies unless 0, a supervisor."""
        self.loop, self.folder = Loop(), tempfile.TemporaryDirectory()
        self.store = self.start_command("roster", "serve", "--listen", "127.0.0.1:0", "--folder", self.folder.name)
        self.address = self._read_address(self.store)
        self.supervisor = None
        if supervisor:
            self.supervisor = self.start_command(
                "supervise",
                "--listen",
                "127.0.0.1:0",
                "--roster-connect",
                f"127.0.0.1:{self.address[1]}",
                "--operation",
                OPERATION,
                "--proxies",
                str(supervisor),
                "--lines-per-second",
                "5000",
                "--queue-cap",
                "5000",
                "--lapse-hold",
                "1",
                "--session-timeout",
                "4",
            )
            self.supervisor_address = self._read_address(self.supervisor)

    @staticmethod
    def start_command(*command: str) -> subprocess.Popen:
        """Starts a `driftshed` command."""
        arguments = [sys.executable, "-m", "driftshed.cli", *command, "--log-level", "warning"]
        return subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)

    @staticmethod
    def _read_address(process: subprocess.Popen) -> tuple[str, int]:
        host, _, port = process.stdout.readline().split()[1].rpartition(":")
        return host, int(port)

    def restart_store(self) -> None:
        """Kills the store and starts it again on the same port and folder."""
        self.store.send_signal(signal.SIGKILL)
        self.store.wait()
        listen = f"127.0.0.1:{self.address[1]}"
        self.store = self.start_command("roster", "serve", "--listen", listen, "--folder", self.folder.name)
        self._read_address(self.store)

    def until(self, condition, timeout: float = 60.0) -> None:
        """Runs the loop until `condition()` holds. Raises RuntimeError after `timeout` seconds."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError("condition not met in time")
            self.loop.turn(self.loop.clock() + 0.002)

    def announce(self, count: int, timeout: float = 4.0) -> list[Announcer]:
        """Announces `count` servers and waits until all are listed; `timeout`: of their sessions."""
        nodes = [
            ServerAnnouncement(f"127.1.{k // 250}.{1 + k % 250}:8000", "east", "standard", "ready", None, 0, 1.0, 0)
            for k in range(count)
        ]
        announcers = [Announcer(self.loop, [self.address], ROOT, node, timeout, k) for k, node in enumerate(nodes)]
        self.until(lambda: all(each.state is RegistrationState.LISTED for each in announcers))
        return announcers

    def cpu(self, process: subprocess.Popen) -> float:
        """Processor time of a process so far, in seconds."""
        with open(f"/proc/{process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, process: subprocess.Popen) -> float:
        """Resident memory of a process in MiB."""
        with open(f"/proc/{process.pid}/status") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))

    def close(self) -> None:
        """Ends the processes and removes the folder."""
        for process in (self.supervisor, self.store):
            if process is not None:
                process.kill()
                process.wait()
                process.stdout.close()
        self.loop.close()
        self.folder.cleanup()


@click.group()
def main() -> None:
    """Measures membership by sessions."""


@main.command()
@click.option("--servers", default=118)
@click.option("--proxies", default=37)
@click.option("--times", default=20)
def lapse(servers: int, proxies: int, times: int) -> None:
    """The time from the end of a session until the last proxy has applied it."""
    testbed = Testbed(proxies)
    announcers = testbed.announce(servers)
    followers = []
    for number in range(proxies):
        tables = Tables(1, "two", "share", 0, [], Random(number))
        zone = ("east", "west")[number % 2]
        followers.append(
            Follower(
                testbed.loop,
                number,
                zone,
                5.0,
                [testbed.supervisor_address],
                tables,
                ReportCounts(["look"]),
                Random(number),
                lambda event, **fields: None,
            )
        )

    def followers_with(name: str) -> list[Follower]:
        return [f for f in followers if any(key[0] == "line" and key[2] == name for key in f.tables.state)]

    testbed.until(lambda: sum(bool(f.tables.state) for f in followers) == proxies)
    testbed.until(lambda: all(followers_with(a.node.server) for a in announcers))
    rows = []
    for announcer in announcers[:times]:
        # The module spaces urgent rounds; a lapse must not wait for the round of the previous one.
        testbed.loop.run(testbed.loop.clock() + 1.0)
        seen_at = {}
        watcher = RosterClient(
            testbed.loop,
            [testbed.address],
            4.0,
            Random(1),
            lambda state: None,
            lambda event, seen_at=seen_at: seen_at.setdefault("store", testbed.loop.clock()),
        )
        watcher.send_request(
            GetData(announcer.path, True), lambda error, result, seen_at=seen_at: seen_at.setdefault("set", 1)
        )
        testbed.until(lambda seen_at=seen_at: "set" in seen_at)
        name, initial_count = announcer.node.server, len(followers_with(announcer.node.server))
        announcer.state = RegistrationState.LEFT  # keeps it from registering again
        closed_at = testbed.loop.clock()
        announcer.client.send_request(Close(), lambda error, result: None)
        first_at = None
        while (remaining := len(followers_with(name))) or "store" not in seen_at:
            if first_at is None and remaining < initial_count:
                first_at = testbed.loop.clock()
            testbed.loop.turn(testbed.loop.clock() + 0.001)
        last_at = testbed.loop.clock()
        rows.append(
            (
                seen_at["store"] - closed_at,
                (first_at or last_at) - seen_at["store"],
                last_at - (first_at or last_at),
                last_at - closed_at,
            )
        )
        watcher.stop()
    for name, column in zip(("store", "supervisor", "channel", "whole"), np.array(rows).T, strict=True):
        median, p99 = 1000 * np.quantile(column, [0.5, 0.99])
        click.echo(f"{name:10} p50 {median:7.1f} ms  p99 {p99:7.1f} ms")
    testbed.close()


@main.command()
@click.option("--servers", default=118)
def restart(servers: int) -> None:
    """Kills the store by SIGKILL and restarts it: all sessions reconnect at once."""
    testbed = Testbed()
    announcers = testbed.announce(servers)
    lists = []
    follower = RosterFollower(
        testbed.loop,
        [testbed.address],
        ROOT,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        lists.append,
        lambda event, **fields: None,
        1,
        4.0,
    )
    testbed.until(lambda: lists)
    testbed.restart_store()
    restarted_at = time.monotonic()
    clients = [each.client for each in announcers] + [follower.client]
    testbed.until(lambda: any(each.session.state is SessionState.DISCONNECTED for each in clients))
    testbed.until(lambda: all(each.session.state is SessionState.CONNECTED for each in clients))
    recovered_after = time.monotonic() - restarted_at
    testbed.until(lambda: follower.membership.unreachable_since is None)
    click.echo(
        f"{servers} servers and the follower back {recovered_after:.2f} s after the store listens again; the store "
        f"took {testbed.cpu(testbed.store):.2f} s of a core, its start included; lists received since: {len(lists) - 1}"
    )
    testbed.close()


@main.command()
@click.option("--servers", default=118)
@click.option("--changes", default=200)
def storm(servers: int, changes: int) -> None:
    """The cost of one change of a server to a follower and to the store."""
    testbed = Testbed()
    announcers = testbed.announce(servers)
    lists = []
    follower = RosterFollower(
        testbed.loop,
        [testbed.address],
        ROOT,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        lists.append,
        lambda event, **fields: None,
        1,
        4.0,
    )
    testbed.until(lambda: lists)
    stream = follower.client.stream
    reads_before, bytes_in, bytes_out, cpu_before = (
        follower.reads,
        stream.bytes_received,
        stream.bytes_sent,
        testbed.cpu(testbed.store),
    )
    first_list_bytes = bytes_in
    for k in range(changes):
        done = []
        announcer = announcers[k % servers]
        announcer.node = announcer.node._replace(weight=2.0 + k)
        announcer.set_server_state("ready", lambda done=done: done.append(1))
        lists_expected = len(lists) + 1
        testbed.until(lambda done=done, lists_expected=lists_expected: done and len(lists) >= lists_expected)
    click.echo(
        f"a change: {(follower.reads - reads_before) / changes:.2f} nodes read of {servers}, "
        f"{(stream.bytes_received - bytes_in) / changes:.0f} bytes to the follower, "
        f"{(stream.bytes_sent - bytes_out) / changes:.0f} "
        f"from it (the first list took {first_list_bytes}); "
        f"{1000 * (testbed.cpu(testbed.store) - cpu_before) / changes:.2f} ms of the "
        "store's core"
    )
    testbed.close()


@main.command()
@click.option("--count", default=5000)
@click.option("--seconds", default=10.0)
def sessions(count: int, seconds: float) -> None:
    """The cost of many sessions that only ping."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    testbed = Testbed()
    empty_mib = testbed.memory(testbed.store)
    started_at = time.monotonic()
    clients = [
        RosterClient(testbed.loop, [testbed.address], 10.0, Random(k), lambda state: None, lambda event: None)
        for k in range(count)
    ]
    testbed.until(lambda: all(each.session.state is SessionState.CONNECTED for each in clients), 120.0)
    opened_after = time.monotonic() - started_at
    cpu_before, measured_from = testbed.cpu(testbed.store), time.monotonic()
    testbed.loop.run(testbed.loop.clock() + seconds)
    share = (testbed.cpu(testbed.store) - cpu_before) / (time.monotonic() - measured_from)
    click.echo(
        f"{count} sessions opened in {opened_after:.1f} s; {share:.3f} of a core while they ping, "
        f"{(testbed.memory(testbed.store) - empty_mib) * 1024 / count:.1f} kB each"
    )
    testbed.close()


if __name__ == "__main__":
    main()
