"""Case 3: in a release seven of ten supervisors are killed at once; the proxies that join the others keep tables with
servers that drain for longer than the grace.

    python scenario.py FOLDER SEED     TROUBLE=0 leaves the kill out

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from platform_standin import DRAIN_SLACK_S, Discovery, Proxy, Record, Relay, Server, World, free_port, taqsit_settings

SUPERVISORS, KILLED, AWAY_S = 10, 7, 8.0  # STANDING.md, herd+mass: "seven in ten supervisors [...] are killed at once"
PROXIES, SERVERS = 480, 200
PACE, BACKLOG_S, DRAIN_GRACE_US = 1100.0, 1.5, 2000000  # lines_per_s, backlog_ms and drain_grace_ms of the site
REQUESTS_PER_S = 0.8  # of each proxy
KILL_AT_S = 15.0
NOTICE_S, REDIAL_S = (0.0, 0.05), (0.33, 2.4)  # "noticed at once if a process died"; redial_s of the site
GROUP, STEP_S, GROUPS = 28, 3.0, 7  # size: at most 0.15 of the fleet at a time; 196 of 200 in 21 s (len_s: 21 to 39)
RELEASE_AT_S = KILL_AT_S - 2 * STEP_S - 0.4  # so the third group is listed as draining 0.3 s after the kill
LIST_IS_LATE_S, DRAINS_FOR_S = 0.7, 2.3


class Seat(World):
    """One supervisor with its own relay and its own agent of discovery, in a world that all share."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        for name in ("record", "random", "tasks", "ports", "ever_listed", "outcomes", "servers", "deadlines"):
            setattr(self, name, getattr(fleet, name))
        self.settings = fleet.settings | {"me": number, "az": number % 2}
        self.lines_per_s = self.settings["domain"]["linesPerS"]
        self.lines_per_message = self.settings["domain"]["perMessage"]
        self.discovery, self.relay, self.supervisor = Discovery(self), Relay(self), None
        self.alive = False

    @property
    def proxies(self) -> list[Proxy]:
        return [proxy for proxy in self.fleet.all_proxies if proxy.world is self]

    async def begin(self, folder: Path) -> None:
        """Starts discovery, relay and the supervisor, by the deploy file's `run`."""
        folder.mkdir()
        self.temporary = str(folder)
        self.discovery.entries = {server.name: server.entry("up") for server in self.servers}
        await self.discovery.start()
        await self.relay.start()
        self.port = free_port()
        self.write_configuration()
        await self.revive()

    async def revive(self) -> None:
        """The supervisor starts from nothing: without tables, withdrawals or proxies."""
        self.relay.groups.clear()
        self.relay.shut_out.clear()
        self.relay.waiting.clear()
        self.relay.channel_free_at = 0.0
        self.start_supervisor()
        await self.until_ready()
        for zone in self.settings["zones"]:
            self.task(self._collector(zone))
        self.alive = True


class Fleet(World):
    """The servers, proxies and clients that all supervisors share."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.record, self.random = Record(folder / "record.txt"), random.Random(seed)
        self.settings = taqsit_settings(proxies=PROXIES, linesPerS=PACE, queueCap=BACKLOG_S * PACE)
        self.settings |= {"balancers": SUPERVISORS}
        self.settings["invariants"]["drainGraceUs"] = DRAIN_GRACE_US
        self.deadlines = {lane["name"]: lane["deadlineUs"] / 1e6 for lane in self.settings["lanes"]}
        self.tasks, self.ports, self.ever_listed, self.outcomes = set(), {}, set(), []
        self.clients_run, self.longest_lag = True, 0.0
        zones, kinds = self.settings["zones"], self.settings["hostTypes"]
        self.servers = [Server(self, f"s-{n:08x}", zones[n % 2], kinds[n // 2 % 2]) for n in range(SERVERS)]
        self.seats = [Seat(self, number) for number in range(SUPERVISORS)]
        self.all_proxies = [Proxy(self.random.choice(self.seats), n, zones[n % 2]) for n in range(PROXIES)]

    async def begin(self, temporary: str) -> None:
        for server in self.servers:
            await self.add(server)
        await asyncio.gather(*(seat.begin(Path(temporary) / f"n{seat.number}") for seat in self.seats))
        for proxy in self.all_proxies:
            near = [server.name for server in self.servers if server.zone == proxy.zone]
            proxy.lines = {name: 1.0 for name in self.random.sample(near, 5)}
            self.task(self.join_later(proxy, self.random.uniform(0.1, 2.0)))
            self.task(self.clients(proxy, REQUESTS_PER_S))

    async def watch_lag(self) -> None:
        """How late the stand-ins are themselves."""
        while True:
            at = self.record.now()
            await asyncio.sleep(0.05)
            self.longest_lag = max(self.longest_lag, self.record.now() - at - 0.05)

    async def add(self, server: Server) -> None:
        await server.start()
        self.ports[server.name] = server.port
        self.ever_listed.add(server.name)

    async def join_later(self, proxy: Proxy, delay: float) -> None:
        """Joins its supervisor if that is alive, else one that is, dealt by chance."""
        await asyncio.sleep(delay)
        if not proxy.world.alive:
            proxy.world = self.random.choice([seat for seat in self.seats if seat.alive])
        proxy.join()

    def tell(self, entries: list[dict]) -> None:
        for seat in self.seats:
            seat.discovery.change_all(entries)

    async def release(self) -> None:
        """Replaces GROUP servers at a time: successors start, the old ones drain, then their processes end."""
        old = list(self.servers)
        for group in range(GROUPS):
            leaving = old[group * GROUP : (group + 1) * GROUP]
            successors = [
                Server(self, f"s-{len(self.servers) + k:08x}", server.zone, server.kind)
                for k, server in enumerate(leaving)
            ]
            for server in successors:
                await self.add(server)
                server.started_ms = int(time.time() * 1000)
            self.servers += successors
            self.task(self.replace_group(leaving, successors))
            await asyncio.sleep(STEP_S)

    async def replace_group(self, leaving: list[Server], successors: list[Server]) -> None:
        self.record.line(f"{len(leaving)} servers drain, {len(successors)} start in their place")
        await asyncio.sleep(LIST_IS_LATE_S)
        self.tell([each.entry("up") for each in successors] + [each.entry("draining") for each in leaving])
        await asyncio.sleep(DRAINS_FOR_S)
        for server in leaving:
            server.stop()
        await asyncio.sleep(LIST_IS_LATE_S)
        self.tell([each.entry("removed") for each in leaving])

    async def kill(self) -> None:
        """Kills supervisors at once. Their proxies keep their tables and dial again; the killed come back later."""
        killed = self.random.sample(self.seats, KILLED)
        self.record.line(f"TROUBLE supervisors {sorted(seat.number for seat in killed)} are killed")
        for seat in killed:
            seat.alive = False
            seat.supervisor.kill()
            seat.supervisor.wait()
        for seat in killed:
            for proxy in seat.proxies:
                proxy.lose_stream()
                self.task(self.join_later(proxy, self.random.uniform(*NOTICE_S) + self.random.uniform(*REDIAL_S)))
        await asyncio.sleep(AWAY_S)
        await asyncio.gather(*(seat.revive() for seat in killed))

    def end(self) -> None:
        """Ends all supervisors and servers."""
        self.clients_run = False
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # of tasks that are cancelled
        for seat in self.seats:
            if seat.supervisor is not None and seat.supervisor.poll() is None:
                seat.supervisor.terminate()
        for seat in self.seats:
            if seat.supervisor is not None:
                try:
                    seat.supervisor.wait(5)
                except subprocess.TimeoutExpired:
                    seat.supervisor.kill()
                    seat.supervisor.wait()
        for task in list(self.tasks):
            task.cancel()
        self.record.close()


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    grace = fleet.settings["invariants"]["drainGraceUs"] / 1e6 + DRAIN_SLACK_S
    await asyncio.sleep(max(0.0, RELEASE_AT_S - fleet.record.now()))
    fleet.task(fleet.watch_lag())
    began = fleet.record.now()
    release = fleet.task(fleet.release())
    await asyncio.sleep(max(0.0, began + KILL_AT_S - RELEASE_AT_S - fleet.record.now()))
    if trouble:
        await fleet.kill()
    await release
    await asyncio.sleep(4.0)
    broken = []
    for proxy in fleet.all_proxies:
        for at, server, joined_at, seat in proxy.joined_sends:
            told = seat.discovery.told.get(server)
            if told is not None and at > max(told, joined_at) + grace:
                broken.append(
                    f"proxy {proxy.number} sent to {server} at {at:.2f} s, {at - max(told, joined_at):.2f} s after it "
                    f"joined supervisor {seat.number} ({joined_at:.2f} s) that was told at {told:.2f} s"
                )
    return broken


async def main(folder: Path, seed: int, trouble: bool) -> int:
    fleet = Fleet(folder, seed)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            await fleet.begin(temporary)
            broken = await play(fleet, trouble)
            broken += [
                f"supervisor {seat.number} ended with {seat.supervisor.returncode}"
                for seat in fleet.seats
                if seat.supervisor.poll() is not None
            ]
            failed = sum(row[3] != "answered" for row in fleet.outcomes)
            queues = ", ".join(f"{seat.relay.longest_queue:.0f}" for seat in fleet.seats)
            for text in (
                f"TROUBLE={int(trouble)} SEED={seed}: {len(fleet.outcomes)} requests, {failed} failed",
                f"most lines that waited in each channel: {queues}",
                f"longest delay of the stand-ins: {fleet.longest_lag:.3f} s",
                f"{len(broken)} breaks",
                *broken[:12],
                "RULE BROKEN" if broken else "rule held",
            ):
                fleet.record.line(text)
                print(text)
            return 1 if broken else 0
        finally:
            fleet.end()


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2]), os.environ.get("TROUBLE", "1") != "0"))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
