"""Membership by sessions: how soon a lapse is applied everywhere, a store's restart, a change's cost, many sessions.

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
from driftshed.proxy.follow import Follower, Sums
from driftshed.proxy.tables import Tables
from driftshed.roster.announce import Announcer, Standing
from driftshed.roster.client import RosterClient
from driftshed.roster.follow import RosterFollower
from driftshed.roster.jute import Close, GetData
from driftshed.roster.membership import Announced, Membership
from driftshed.roster.session import State

ROOT = "/driftshed/servers"
OPERATION = "look:objective=0.5,timeout=1,value=1"


class Rig:
    """A store and perhaps a supervisor as processes, and whoever speaks to them on one loop here."""

    def __init__(self, supervisor: int = 0) -> None:
        self.loop, self.folder = Loop(), tempfile.TemporaryDirectory()
        self.store = self.run("roster", "serve", "--listen", "127.0.0.1:0", "--folder", self.folder.name)
        self.address = self._where(self.store)
        self.supervisor = None
        if supervisor:
            self.supervisor = self.run(
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
            self.supervised = self._where(self.supervisor)

    @staticmethod
    def run(*command: str) -> subprocess.Popen:
        whole = [sys.executable, "-m", "driftshed.cli", *command, "--log-level", "warning"]
        return subprocess.Popen(whole, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)

    @staticmethod
    def _where(process: subprocess.Popen) -> tuple[str, int]:
        host, _, port = process.stdout.readline().split()[1].rpartition(":")
        return host, int(port)

    def restart(self) -> None:
        self.store.send_signal(signal.SIGKILL)
        self.store.wait()
        listen = f"127.0.0.1:{self.address[1]}"
        self.store = self.run("roster", "serve", "--listen", listen, "--folder", self.folder.name)
        self._where(self.store)

    def until(self, holds, within: float = 60.0) -> None:
        end = time.monotonic() + within
        while not holds():
            if time.monotonic() > end:
                raise RuntimeError("it did not come to hold")
            self.loop.turn(self.loop.clock() + 0.002)

    def announce(self, count: int, timeout: float = 4.0) -> list[Announcer]:
        who = [
            Announced(f"127.1.{k // 250}.{1 + k % 250}:8000", "east", "standard", "ready", None, 0, 1.0, 0)
            for k in range(count)
        ]
        found = [Announcer(self.loop, [self.address], ROOT, node, timeout, k) for k, node in enumerate(who)]
        self.until(lambda: all(each.standing is Standing.LISTED for each in found))
        return found

    def cpu(self, process: subprocess.Popen) -> float:
        with open(f"/proc/{process.pid}/stat") as file:
            parts = file.read().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, process: subprocess.Popen) -> float:
        with open(f"/proc/{process.pid}/status") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))

    def close(self) -> None:
        for process in (self.supervisor, self.store):
            if process is not None:
                process.kill()
                process.wait()
                process.stdout.close()
        self.loop.close()
        self.folder.cleanup()


@click.group()
def main() -> None:
    """What membership by sessions costs."""


@main.command()
@click.option("--servers", default=118)
@click.option("--proxies", default=37)
@click.option("--times", default=20)
def lapse(servers: int, proxies: int, times: int) -> None:
    """From the end of a session to the last proxy having applied it."""
    rig = Rig(proxies)
    announcers = rig.announce(servers)
    followers = []
    for number in range(proxies):
        tables = Tables(1, "two", "share", 0, [], Random(number))
        zone = ("east", "west")[number % 2]
        followers.append(
            Follower(
                rig.loop,
                number,
                zone,
                5.0,
                [rig.supervised],
                tables,
                Sums(["look"]),
                Random(number),
                lambda event, **more: None,
            )
        )

    def held(name: str) -> list[Follower]:
        return [f for f in followers if any(key[0] == "line" and key[2] == name for key in f.tables.held)]

    rig.until(lambda: sum(bool(f.tables.held) for f in followers) == proxies)
    rig.until(lambda: all(held(a.node.server) for a in announcers))
    rows = []
    for announcer in announcers[:times]:
        rig.loop.run(rig.loop.clock() + 1.0)  # the module spaces urgent rounds; one lapse is not to wait for another
        seen = {}
        watcher = RosterClient(
            rig.loop,
            [rig.address],
            4.0,
            Random(1),
            lambda state: None,
            lambda event, seen=seen: seen.setdefault("store", rig.loop.clock()),
        )
        watcher.ask(GetData(announcer.path, True), lambda error, result, seen=seen: seen.setdefault("set", 1))
        rig.until(lambda seen=seen: "set" in seen)
        name, mine = announcer.node.server, len(held(announcer.node.server))
        announcer.standing = Standing.LEFT  # it does not come back
        began = rig.loop.clock()
        announcer.client.ask(Close(), lambda error, result: None)
        first = None
        while (left := len(held(name))) or "store" not in seen:
            if first is None and left < mine:
                first = rig.loop.clock()
            rig.loop.turn(rig.loop.clock() + 0.001)
        last = rig.loop.clock()
        rows.append((seen["store"] - began, (first or last) - seen["store"], last - (first or last), last - began))
        watcher.stop()
    for name, column in zip(("store", "supervisor", "channel", "whole"), np.array(rows).T, strict=True):
        middle, high = 1000 * np.quantile(column, [0.5, 0.99])
        click.echo(f"{name:10} p50 {middle:7.1f} ms  p99 {high:7.1f} ms")
    rig.close()


@main.command()
@click.option("--servers", default=118)
def restart(servers: int) -> None:
    """The store dies by SIGKILL and is started anew: all sessions come back at once."""
    rig = Rig()
    announcers = rig.announce(servers)
    heard = []
    follower = RosterFollower(
        rig.loop,
        [rig.address],
        ROOT,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        heard.append,
        lambda event, **more: None,
        1,
        4.0,
    )
    rig.until(lambda: heard)
    rig.restart()
    began = time.monotonic()
    clients = [each.client for each in announcers] + [follower.client]
    rig.until(lambda: any(each.session.state is State.AWAY for each in clients))
    rig.until(lambda: all(each.session.state is State.ON for each in clients))
    whole = time.monotonic() - began
    rig.until(lambda: follower.membership.away_since is None)
    click.echo(
        f"{servers} servers and the follower back {whole:.2f} s after the store listens again; the store took "
        f"{rig.cpu(rig.store):.2f} s of a core, its start included; lists told since: {len(heard) - 1}"
    )
    rig.close()


@main.command()
@click.option("--servers", default=118)
@click.option("--changes", default=200)
def storm(servers: int, changes: int) -> None:
    """What one change of one server costs a follower."""
    rig = Rig()
    announcers = rig.announce(servers)
    heard = []
    follower = RosterFollower(
        rig.loop,
        [rig.address],
        ROOT,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        heard.append,
        lambda event, **more: None,
        1,
        4.0,
    )
    rig.until(lambda: heard)
    stream = follower.client.stream
    reads, came, went, cpu = follower.reads, stream.came, stream.went, rig.cpu(rig.store)
    first = came
    for k in range(changes):
        done = []
        announcer = announcers[k % servers]
        announcer.node = announcer.node._replace(weight=2.0 + k)
        announcer.say("ready", lambda done=done: done.append(1))
        wanted = len(heard) + 1
        rig.until(lambda done=done, wanted=wanted: done and len(heard) >= wanted)
    click.echo(
        f"a change: {(follower.reads - reads) / changes:.2f} nodes read of {servers}, "
        f"{(stream.came - came) / changes:.0f} bytes to the follower, {(stream.went - went) / changes:.0f} "
        f"from it (the first list took {first}); {1000 * (rig.cpu(rig.store) - cpu) / changes:.2f} ms of the "
        "store's core"
    )
    rig.close()


@main.command()
@click.option("--count", default=5000)
@click.option("--seconds", default=10.0)
def sessions(count: int, seconds: float) -> None:
    """Many sessions that only ping."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rig = Rig()
    empty = rig.memory(rig.store)
    began = time.monotonic()
    clients = [
        RosterClient(rig.loop, [rig.address], 10.0, Random(k), lambda state: None, lambda event: None)
        for k in range(count)
    ]
    rig.until(lambda: all(each.session.state is State.ON for each in clients), 120.0)
    opened = time.monotonic() - began
    cpu, then = rig.cpu(rig.store), time.monotonic()
    rig.loop.run(rig.loop.clock() + seconds)
    share = (rig.cpu(rig.store) - cpu) / (time.monotonic() - then)
    click.echo(
        f"{count} sessions opened in {opened:.1f} s; {share:.3f} of a core while they ping, "
        f"{(rig.memory(rig.store) - empty) * 1024 / count:.1f} kB each"
    )
    rig.close()


if __name__ == "__main__":
    main()
