"""A fleet's coordination at its whole size over real sockets: hollow supervisors that share processes, and stand-in
stores as processes of their own.

    python -m benchmarks.hollow tiers 100 400 1600 5200     # rows into benchmarks/hollow.json
    python -m benchmarks.hollow flat 25 50 64               # one fleet without tiers
    python -m benchmarks.hollow agents 100 200 400          # the same, agents alone: no policy, any size
    python -m benchmarks.hollow show                        # the rows as a table

`--changes N`, `--rest SECONDS`, `--spread SECONDS`, `--seed N`, `--restarts MULTIPLE` (of 9,100 a day at 5,200, in
proportion), `--real N` (the first N are whole supervisors: hollow and real told apart), `--between SECONDS` (from
one change to the next), `--look-every SECONDS` (between looks of the policy part: 0.1 in a real one; a machine with
fewer cores than the fleet wants is relieved by more, and the row says so), `--timeout` and `--patience SECONDS` (of
sessions and of a change), `--out FILE`. A run ends by itself within six minutes and ends what it started. Folders of
policies and the stores' logs lie in memory: real ones sync to a disk. One JSON object a line."""

from __future__ import annotations

import argparse
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import mean

import msgspec

from benchmarks.hollow_worker import Plan, Row, rss, text_of
from benchmarks.hollow_worker import main as work
from driftshed.day.stage import Launched, free_net
from driftshed.net.loop import Loop
from driftshed.net.stream import Stream
from driftshed.policy.part import LOOK_EVERY

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "hollow.json"
TIMEOUT = 4.0  # seconds of a session
PATIENCE = 10.0  # seconds that a change waits for words
DAILY, WHOLE, FAILING = 9100, 5200, 76  # restarts or replacements a day, at so many; one in so many stays away
LONGEST = 350.0  # seconds of a run
SETTLES = 2.5  # of its patience: until a change that is not everywhere is given up
AGAIN = 1.0, 3.0  # seconds after which one that was killed is started again
TRIES = 8  # of a change, refused and void ones together
BETWEEN = 1.0  # seconds between changes
LAYOUTS = {100: (2, 1, 4), 400: (2, 4, 8), 1600: (4, 8, 16), 5200: (9, 10, 32)}  # regions, cells of each, processes
MOST_MEMORY = 12 << 30  # bytes of all processes of a run


class Overdue(Exception):
    """A run that has not come to its end in time; the text says what it waited for."""


def names_of(size: int) -> list[str]:
    return [f"s{k + 1:04}" for k in range(size)]


def dealt(names: list[str], parts: int) -> list[list[str]]:
    """Names in so many parts that follow one another, as even as can be."""
    cuts = [k * len(names) // parts for k in range(parts + 1)]
    return [names[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


def tiers_text(names: list[str], regions: int, cells: int, whole: str, stores: list[str]) -> str:
    """The tiers file of a fleet in so many regions of so many cells each; `stores`: one connect string a region."""
    lines = ["form = 1", 'root = "/driftshed"', f'stores = "{whole}"']
    for k, (store, inside) in enumerate(zip(stores, dealt(names, regions), strict=True)):
        lines += ["[[regions]]", f'name = "r{k + 1:02}"', f'stores = "{store}"']
        for j, members in enumerate(dealt(inside, cells)):
            named = ", ".join(f'"{name}"' for name in members)
            lines += ["[[regions.cells]]", f'name = "c{k + 1:02}{j + 1:02}"', f"members = [{named}]"]
    return "\n".join(lines) + "\n"


def spread(values: list[float], places: int = 3) -> dict | None:
    """Figures of a list: count, mean, middle, the 95th of a hundred, the worst."""
    if not values:
        return None
    ranked = sorted(values)
    at = lambda share: ranked[min(len(ranked) - 1, int(share * len(ranked)))]  # noqa: E731
    return {
        "n": len(ranked),
        "mean": round(mean(ranked), places),
        "p50": round(at(0.5), places),
        "p95": round(at(0.95), places),
        "worst": round(ranked[-1], places),
    }


ROLES = {1: "member", 2: "cell's speaker", 3: "region's speaker"}


class Store(Launched):
    """A stand-in store as a process; `address` as text."""

    def __init__(self, address: str, folder: Path) -> None:
        super().__init__(folder.with_suffix(".log"))
        self.address = address
        self._launch(["roster", "serve", "--listen", address, "--folder", str(folder), "--log-level", "warning"])


class Real(Launched):
    """A whole supervisor as a process, a member of the same fleet as the hollow ones: with module, service and
    listener, without proxies."""

    def __init__(self, name: str, address: str, tiers: Path, folder: Path, timeout: float) -> None:
        super().__init__(folder / f"real-{name}.log")
        self.name, self.address = name, address
        facts = [
            "--operation",
            "lookup:objective=0.5,timeout=1.5,value=1,effect=idempotent",
            "--zones",
            "east,west",
            "--proxies",
            "4",
            "--drain-grace",
            "2.5",
            "--lines-per-second",
            "2000",
        ]
        self._launch(
            [
                "supervise",
                "--listen",
                address,
                "--log-level",
                "warning",
                "--tiers",
                str(tiers),
                "--name",
                name,
                "--fleet-timeout",
                str(timeout),
                "--policy-folder",
                str(folder / "keeps" / name),
                *facts,
            ]
        )

    def view(self) -> dict:
        """What it says of its policy."""
        with urllib.request.urlopen(f"http://{self.address}/v1/policy", timeout=5.0) as answer:
            return json.loads(answer.read())


def processor_time(pid: int) -> float:
    """Seconds of processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class WorkerProcess:
    """One process of hollow supervisors, and the socket that commands go over."""

    def __init__(self, loop: Loop, plan: Plan, names: list[str], folder: Path, number: int) -> None:
        self.loop, self.names = loop, names
        file, self.logs = folder / f"plan{number}.json", folder / f"worker{number}.log"
        file.write_bytes(msgspec.json.encode(plan))
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        paths = filter(None, [str(ROOT), os.environ.get("PYTHONPATH")])
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
        with self.logs.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.hollow", "worker", str(file)],
                stdin=theirs,
                stdout=log,
                stderr=log,
                env=environment,
            )
        theirs.close()
        self.stream = Stream(loop, ours, 64 << 20)
        self.stream.on_data = self._data
        self.stream.on_end = self._ended
        self.input, self.waiting = b"", []

    def _data(self, data: bytes) -> None:
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            self.waiting.pop(0)(json.loads(line))

    def _ended(self, reason: str) -> None:
        for done in self.waiting:
            done(None)
        self.waiting = []

    def ask(self, done: Callable[[dict | None], object], **command: object) -> None:
        """`done(answer)`, None where the process is gone."""
        if self.stream.sock is None:
            self.loop.soon(lambda: done(None))
            return
        self.waiting.append(done)
        self.stream.write(json.dumps(command).encode() + b"\n")

    def end(self) -> None:
        self.stream.abort("over")
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Run:
    """A fleet over sockets from its start to its end. Use it as a context: it ends all processes that it started."""

    def __init__(
        self,
        kind: str,
        size: int,
        seed: int,
        regions: int = 1,
        cells: int = 1,
        processes: int = 2,
        longest: float = LONGEST,
        real: int = 0,
        timeout: float = TIMEOUT,
        between: float = BETWEEN,
        look_every: float = LOOK_EVERY,
        patience: float = PATIENCE,
    ) -> None:
        self.between, self.look_every, self.patience = between, look_every, patience
        self.timeout, self.kind, self.size, self.seed, self.regions, self.cells = (
            timeout,
            kind,
            size,
            seed,
            regions,
            cells,
        )
        self.random, self.loop, self.names = Random(f"hollow {seed}"), Loop(), names_of(size)
        self.hollow = self.names[real:]  # the others are whole supervisors, processes of their own
        self.ends_at = time.monotonic() + longest
        shared = Path("/dev/shm")
        self.folder = Path(tempfile.mkdtemp(prefix="hollow-", dir=shared if shared.is_dir() else None))
        self.net, self.lock = free_net(os.getpid())
        self.stores: list[Store] = []
        self.workers: list[WorkerProcess] = []
        self.real: list[Real] = []
        self.where: dict[str, WorkerProcess] = {}
        self.processes = processes
        self.away: set[str] = set()  # killed and not started again
        self.down: set[str] = set()  # killed and not yet started again
        self.kills, self.churning = 0, False

    def __enter__(self) -> Run:
        try:
            self._launch()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def _launch(self) -> None:
        host, timeout = f"127.{self.net}.0", self.timeout
        if self.kind == "tiers":
            self.stores = [self._store("whole", f"{host}.10:2181")]
            self.stores += [self._store(f"r{k + 1:02}", f"{host}.{20 + k}:2181") for k in range(self.regions)]
        else:
            self.stores = [self._store("whole", f"{host}.10:2181")]
        for store in self.stores:
            store.await_listening()
        addresses = [store.address for store in self.stores]
        tiers, hosts, expected = "", [], []
        if self.kind == "tiers":
            tiers = tiers_text(self.names, self.regions, self.cells, addresses[0], addresses[1:])
        else:
            hosts, expected = [(f"{host}.10", 2181)], self.names
        for k in range(self.processes):
            names = self.hollow[k :: self.processes]
            plan = Plan(
                str(self.folder / "keeps"),
                self.random.getrandbits(48),
                timeout,
                self.kind != "agents",
                self.look_every,
                tiers,
                hosts,
                "/driftshed",
                expected,
            )
            worker = WorkerProcess(self.loop, plan, names, self.folder, k)
            self.workers.append(worker)
            self.where |= dict.fromkeys(names, worker)
        self.ask_all("look")  # all are up
        file = self.folder / "tiers.toml"
        file.write_text(tiers)
        for k, name in enumerate(self.names[: len(self.names) - len(self.hollow)]):
            self.real.append(Real(name, f"{host}.{200 + k}:7000", file, self.folder, timeout))
            self.real[-1].await_listening()

    def _store(self, name: str, address: str) -> Store:
        return Store(address, self.folder / f"store-{name}")

    def close(self) -> None:
        self.churning = False
        for worker in self.workers:
            worker.end()
        for each in (*self.real, *self.stores):
            each.end()
        self.loop.close()
        self.lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- talk -------------------------------------------------------------------------------------------------

    def _await(self, done: Callable[[], bool], what: str, within: float) -> None:
        ends_at = min(self.ends_at, self.loop.clock() + within)
        while not done():
            if self.loop.clock() >= ends_at:
                raise Overdue(f"{what}: not within {within:g} s, or the run's time is over")
            self.loop.turn(min(ends_at, self.loop.clock() + 0.25))

    def ask_all(self, what: str, **more: object) -> list[dict]:
        """Asks all workers the same."""
        answers: dict[int, dict | None] = {}
        for k, worker in enumerate(self.workers):
            worker.ask(lambda answer, k=k: answers.__setitem__(k, answer), do=what, **more)
        self._await(lambda: len(answers) == len(self.workers), f"answers to {what}", 60.0)
        for k, answer in answers.items():
            if answer is None:
                raise Overdue(f"worker {k} is gone: {self.workers[k].logs.read_text()[-1500:]}")
        return [answers[k] for k in range(len(self.workers))]

    def ask_at(self, name: str, what: str, **more: object) -> dict:
        """Asks the worker of one supervisor, by its name."""
        answers: list[dict | None] = []
        self.where[name].ask(answers.append, do=what, name=name, **more)
        self._await(lambda: bool(answers), f"the answer of {name} to {what}", 60.0)
        if answers[0] is None:
            raise Overdue(f"the worker of {name} is gone: {self.where[name].logs.read_text()[-1500:]}")
        return answers[0]

    def pass_time(self, seconds: float) -> None:
        if self.loop.clock() + seconds > self.ends_at:
            raise Overdue("the run's time is over")
        self.loop.run(self.loop.clock() + seconds)

    def look(self, **more: object) -> dict:
        """The sums of all workers' looks; `mine` of the one that proposed."""
        summed: dict = {}
        for answer in self.ask_all("look", **more):
            if "mine" in answer:
                summed["mine"] = answer.pop("mine")
            for key, value in answer.items():
                summed[key] = summed.get(key, 0) + value
        return summed

    # ---- steps ------------------------------------------------------------------------------------------------

    def start_all(self, within: float, ready_within: float = 60.0) -> dict:
        """Starts all, each at a drawn moment, and waits until each could act."""
        began = self.loop.clock()
        for worker in self.workers:
            worker.ask(lambda answer: None, do="start", names=worker.names, within=within)
        self.pass_time(within)
        ends_at = self.loop.clock() + ready_within
        while (seen := self.look())["ready"] < len(self.hollow):
            if self.loop.clock() > ends_at:
                errors = errors_of(self.ask_all("report"))["errors"][:2]
                raise Overdue(
                    f"{seen['ready']} of {len(self.hollow)} became ready within {ready_within:g} s of the "
                    f"last start; {errors}"
                )
            self.pass_time(0.1)
        all_ready = self.loop.clock() - began
        reports = self.ask_all("report")
        rows = [Row(*row) for report in reports for row in report["rows"]]
        return {
            "spread_over_s": within,
            "all_ready_s": round(all_ready, 2),
            "ready_after_s": spread([row.ready_after for row in rows if row.ready_after is not None]),
            "bytes_until_ready": spread([row.ready_bytes for row in rows], 0),
            "bytes_until_read": spread([row.read_bytes for row in rows], 0),
            "messages_until_read": spread([row.read_messages for row in rows], 0),
            "bytes_of_all_joining": spread([row.out + row.came for row in rows], 0),
            "messages_of_all_joining": spread([row.sent + row.got for row in rows], 0),
            "late_s": self._late(reports),
        }

    @staticmethod
    def _late(reports: list[dict]) -> list[float]:
        """How late loops of the workers were: the worst median of any, the worst."""
        return [round(max(report[key] for report in reports), 3) for key in ("late_p50", "late_worst")]

    def measure(self, step: Callable[[], object]) -> dict:
        """Counts and processor time a second over a step, of those that lived through it."""
        before, stores = self.ask_all("report"), [processor_time(store.process.pid) for store in self.stores]
        real = [processor_time(each.process.pid) for each in self.real]
        at = self.loop.clock()
        step()
        after, later = self.ask_all("report"), [processor_time(store.process.pid) for store in self.stores]
        took = self.loop.clock() - at
        old = {(row[0], row[1]): Row(*row) for report in before for row in report["rows"]}
        pairs = []
        for k, report in enumerate(after):
            seconds = report["at"] - before[k]["at"]
            for given in report["rows"]:
                row = Row(*given)
                if (row.name, row.start) in old:
                    pairs.append((old[row.name, row.start], row, seconds))
        found: dict = {"seconds": round(took, 2), "stayed": len(pairs)}
        for number, role in [(0, "all"), *ROLES.items()]:
            mine = [each for each in pairs if not number or each[0].role == each[1].role == number]
            if not mine:
                continue
            found[role] = {
                "n": len(mine),
                "bytes_a_second": spread([(b.out + b.came - a.out - a.came) / s for a, b, s in mine], 1),
                "messages_a_second": spread([(b.sent + b.got - a.sent - a.got) / s for a, b, s in mine], 2),
                "sessions": spread([b.sessions for _, b, _ in mine], 0),
                "watches": spread([b.watches for _, b, _ in mine], 0),
                "roll": spread([b.roll for _, b, _ in mine], 0),
                "records": spread([b.records for _, b, _ in mine], 0),
                "core_share_in_calls": spread([(b.cpu - a.cpu) / s for a, b, s in mine], 6),
            }
        cpu = [b["cpu"] - a["cpu"] for a, b in zip(before, after, strict=True)]
        living = [len(report["rows"]) for report in after]
        found["processes"] = {
            "core_share_each_supervisor": round(sum(cpu) / took / max(1, sum(living)), 6),
            "core_share_a_process": spread([c / took for c in cpu]),
            "rss_mb_a_process": spread([report["rss"] / 2**20 for report in after], 1),
            "rss_mb_each_supervisor": round(sum(report["rss"] for report in after) / 2**20 / max(1, sum(living)), 3),
            "supervisors_a_process": spread(living, 0),
            "late_s": self._late(after),
        }
        sums: dict[str, list[int]] = {}
        for sign, reports in ((-1, before), (1, after)):
            for report in reports:
                for address, out, came, sent, got, opened in report["stores"]:
                    row = sums.setdefault(address, [0, 0, 0])
                    row[0] += sign * (out + came)
                    row[1] += sign * (sent + got)
                    row[2] += opened if sign > 0 else 0
        found["stores"] = [
            {
                "store": Path(store.logs).stem.removeprefix("store-"),
                "sessions": sums.get(store.address, [0, 0, 0])[2],
                "bytes_a_second": round(sums.get(store.address, [0, 0, 0])[0] / took),
                "messages_a_second": round(sums.get(store.address, [0, 0, 0])[1] / took, 1),
                "core_share": round((b - a) / took, 4),
                "rss_mb": round(rss(store.process.pid) / 2**20, 1),
            }
            for store, a, b in zip(self.stores, stores, later, strict=True)
        ]
        found["real"] = [
            {
                "name": each.name,
                "rss_mb": round(rss(each.process.pid) / 2**20, 1),
                "core_share": round((processor_time(each.process.pid) - before_it) / took, 4),
            }
            for each, before_it in zip(self.real, real, strict=True)
        ]
        alone = [each.process.pid for each in (*self.stores, *self.real)]
        memory = sum(report["rss"] for report in after) + sum(map(rss, alone))
        found["rss_mb_of_all"] = round(memory / 2**20)
        if memory > MOST_MEMORY:
            raise Overdue(f"all processes together hold {memory >> 20} MB, {MOST_MEMORY >> 20} at the most")
        return found

    def churn(self, multiple: float) -> None:
        """Restarts from now on, at so many times the daily rate of a fleet of this size."""
        rate = multiple * DAILY / 86400 * self.size / WHOLE
        self.churning = rate > 0

        def one() -> None:
            if not self.churning:
                return
            self.loop.after(self.random.expovariate(rate), one)
            name = self.random.choice(self.hollow)
            if name in self.away or name in self.down:
                return
            stays = self.random.random() < 1 / FAILING
            again = None if stays else self.random.uniform(*AGAIN)
            (self.away if stays else self.down).add(name)
            if not stays:
                self.loop.after(again + 0.05, lambda: self.down.discard(name))
            self.kills += 1
            self.where[name].ask(lambda answer: None, do="kill", name=name, again=again)

        if rate > 0:
            self.loop.after(self.random.expovariate(rate), one)

    def change(self, grace: float) -> dict:
        """One change: asked at a drawn supervisor, until each that lived at the asking and still lives goes by it."""
        refusals, tries = [], []
        for _ in range(TRIES):
            name = self.random.choice([each for each in self.hollow if each not in self.away and each not in self.down])
            answer = self.ask_at(name, "propose", text=text_of(grace), patience=self.patience)
            if "refused" in answer:
                refusals.append(f"{name}: {answer['refused']}")
                self.pass_time(0.5)
                continue
            version, asked, state, why, seen = answer["version"], answer["at"], "unknown", "", {}
            while self.loop.clock() < asked + SETTLES * self.patience:
                seen = self.look(version=version, asked=asked, by=name)
                state, why = seen.get("mine") or (state, why)
                lapsed = not seen["there"] and self.loop.clock() > asked + self.patience + self.timeout
                if seen["there"] == seen["stayed"] > 0 or state in ("void", "lost", "refused") or lapsed:
                    break
                self.pass_time(0.1)
            if seen["there"]:
                return self._told(version, asked, name, tries, refusals, state)
            tries.append(f"version {version} of {name}: {state}: {why}"[:300])
        return {"version": None, "settled": False, "everywhere": False, "tries": tries, "refusals": refusals[-3:]}

    def _told(self, version: int, asked: float, by: str, tries: list, refusals: list, state: str) -> dict:
        until = self.loop.clock()
        self.pass_time(0.5)
        answers = self.ask_all("times", version=version, asked=asked, until=until)
        stayed = [at for answer in answers for at in answer["stayed"]]
        missing = [name for answer in answers for name in answer["missing"]]
        return {
            "version": version,
            "by": by,
            "settled": True,
            "state": state,
            "everywhere": not missing,
            "missing": missing[:10],
            "missing_n": len(missing),
            "after_s": spread(stayed),
            "started_meanwhile_after_s": spread([at for answer in answers for at in answer["began"]]),
            "real_run": [each.view()["runs"] for each in self.real],
            "tries": tries,
            "refusals": refusals[-3:],
        }

    def changes(self, count: int, into: list[dict] | None = None, first: int = 1) -> list[dict]:
        """So many changes one after the other; rows go into the list as they come."""
        rows = [] if into is None else into
        for k in range(count):
            rows.append(self.change(2.2 + 0.05 * ((first + k) % 30)))
            self.pass_time(self.between)
        return rows


def errors_of(reports: list[dict]) -> dict:
    """What was logged, and what was raised or logged as an error."""
    logs: dict[str, int] = {}
    for report in reports:
        for event, count in report["logs"].items():
            logs[event] = logs.get(event, 0) + count
    errors = [each for report in reports for each in report["errors"]]
    return {"logged": dict(sorted(logs.items())), "errors": errors[:10], "errors_n": len(errors)}


def again(reports: list[dict]) -> dict | None:
    """What a later start of a supervisor costs in a fleet that is there."""
    rows = [Row(*row) for report in reports for row in report["rows"] if row[1] > 1]
    if not rows:
        return None
    return {
        "read_bytes": spread([row.read_bytes for row in rows if row.read_bytes], 0),
        "read_messages": spread([row.read_messages for row in rows if row.read_messages], 0),
        "ready_after_s": spread([row.ready_after for row in rows if row.ready_after is not None]),
    }


def run(
    kind: str,
    size: int,
    seed: int,
    changes: int,
    rest: float,
    within: float,
    multiple: float,
    longest: float = LONGEST,
    real: int = 0,
    between: float = BETWEEN,
    look_every: float = LOOK_EVERY,
    timeout: float = TIMEOUT,
    patience: float = PATIENCE,
) -> dict:
    """One row: starts, rests, changes while supervisors restart. What did not come to its end is told in `partial`."""
    regions, cells, processes = LAYOUTS.get(size, (2, max(1, size // 100), 4)) if kind == "tiers" else (1, 1, 4)
    row: dict = {
        "kind": kind,
        "size": size,
        "seed": seed,
        "regions": regions,
        "cells": regions * cells,
        "processes": processes,
        "command": f"benchmarks.hollow {kind} {size} --seed {seed}"
        f" --changes {changes} --rest {rest:g} --spread {within:g} --restarts {multiple:g} --real {real}"
        f" --between {between:g} --look-every {look_every:g} --timeout {timeout:g} --patience {patience:g}",
        "timeout": timeout,
        "patience": patience,
        "cores": len(os.sched_getaffinity(0)),
        "at": time.strftime("%Y-%m-%d %H:%M"),
        "folders": str(Path("/dev/shm")),
    }
    began = time.monotonic()
    flags = longest, real, timeout, between, look_every, patience
    with Run(kind, size, seed, regions, cells, processes, *flags) as fleet:
        try:
            row["joining"] = fleet.start_all(within)
            fleet.pass_time(max(3.0, timeout))
            if kind != "agents":
                row["first_change"] = fleet.changes(1)
                fleet.pass_time(max(2.0, timeout))
            row["rest"] = fleet.measure(lambda: fleet.pass_time(rest))
            if kind == "tiers" and changes and row["first_change"][0]["settled"]:
                rows: list[dict] = []

                fleet.churn(multiple)
                try:
                    row["churn"] = fleet.measure(lambda: fleet.changes(changes, rows, 2))
                finally:
                    fleet.churning = False
                    row["changes"] = rows
                    row["kills"], row["stayed_away"] = fleet.kills, len(fleet.away)
                row["summary"] = summary(rows)
        except Overdue as error:
            row["partial"] = str(error)
        try:
            fleet.ends_at += 20.0
            seen = fleet.look()
            row |= {"at_the_end": {key: seen[key] for key in ("living", "ready", "still", "fenced")}}
            row |= errors_of(reports := fleet.ask_all("report"))
            row["again"] = again(reports)
        except Overdue as error:
            row["partial"] = f"{row.get('partial', '')}; {error}"
    row["seconds"] = round(time.monotonic() - began, 1)
    return row


def summary(rows: list[dict]) -> dict:
    """Of all changes: how many settled, how long until everywhere."""
    settled = [row for row in rows if row["settled"]]
    after = [row["after_s"] for row in settled if row["after_s"]]
    return {
        "changes": len(rows),
        "settled": len(settled),
        "everywhere": sum(row["everywhere"] for row in settled),
        "tried_again": sum(len(row["tries"]) for row in rows),
        "p50_s": spread([each["p50"] for each in after]),
        "worst_s": spread([each["worst"] for each in after]),
    }


def put(row: dict, out: Path) -> None:
    """Appends a row to the file of results."""
    rows = json.loads(out.read_text())["rows"] if out.is_file() else []
    text = ",\n".join(json.dumps(each) for each in [*rows, row])
    out.write_text('{"rows": [\n' + text + "\n]}\n")


def table(out: Path) -> None:
    """The rows, one a line."""
    for row in json.loads(out.read_text())["rows"] if out.is_file() else []:
        rest, joining = row.get("rest", {}).get("all", {}), row.get("joining", {})
        print(
            json.dumps(
                {
                    "kind": row["kind"],
                    "size": row["size"],
                    "seed": row["seed"],
                    "ready_worst_s": (joining.get("ready_after_s") or {}).get("worst"),
                    "join_bytes_p50": (joining.get("bytes_of_all_joining") or {}).get("p50"),
                    "rest_bytes_s": [rest["bytes_a_second"][key] for key in ("p50", "worst")] if rest else None,
                    "rest_messages_s": [rest["messages_a_second"][key] for key in ("p50", "worst")] if rest else None,
                    "watches": [rest["watches"][key] for key in ("p50", "worst")] if rest else None,
                    "core_share": row.get("rest", {}).get("processes", {}).get("core_share_each_supervisor"),
                    "changes": row.get("summary"),
                    "partial": row.get("partial"),
                }
            )
        )


def read_arguments(given: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="benchmarks.hollow", description="A fleet's coordination over sockets.")
    parser.add_argument("kind", choices=["tiers", "flat", "agents", "show"])
    parser.add_argument("sizes", nargs="*", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--rest", type=float, default=30.0)
    parser.add_argument("--spread", type=float, default=30.0)
    parser.add_argument("--restarts", type=float, default=100.0)
    parser.add_argument("--real", type=int, default=0)
    parser.add_argument("--between", type=float, default=BETWEEN)
    parser.add_argument("--look-every", type=float, default=LOOK_EVERY)
    parser.add_argument("--timeout", type=float, default=TIMEOUT)
    parser.add_argument("--patience", type=float, default=PATIENCE)
    parser.add_argument("--out", type=Path, default=RESULTS)
    asked = parser.parse_args(given)
    if asked.kind != "show" and not asked.sizes:
        parser.error(f"name sizes, such as: {asked.kind} 100 400")
    most = {"tiers": 10000, "flat": 64, "agents": 400, "show": 0}[asked.kind]
    for size in asked.sizes:
        if asked.kind != "show" and not 2 <= size <= most:
            parser.error(f"{size}: 2 to {most} supervisors are wanted for {asked.kind}")
    if asked.real and (asked.kind != "tiers" or not 0 < asked.real <= 4):
        parser.error("--real: 1 to 4 whole supervisors, in tiers")
    if asked.look_every < 0.05 or not 0.5 <= asked.timeout <= 60 or not 0.1 <= asked.patience <= 3600:
        parser.error("--look-every: 0.05 s or more; --timeout: 0.5 to 60 s; --patience: 0.1 to 3600 s")
    if min(asked.rest, asked.spread, asked.between) < 0 or asked.changes < 0 or asked.restarts < 0:
        parser.error("--rest, --spread, --between, --changes and --restarts: 0 or more")
    return asked


def main(given: list[str]) -> int:
    if given[:1] == ["worker"]:
        return work(given[1:])
    asked = read_arguments(given)
    if asked.kind == "show":
        table(asked.out)
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # through the context: what was started is ended
    code = 0
    for size in asked.sizes:
        row = run(
            asked.kind,
            size,
            asked.seed,
            asked.changes,
            asked.rest,
            asked.spread,
            asked.restarts,
            real=asked.real,
            between=asked.between,
            look_every=asked.look_every,
            timeout=asked.timeout,
            patience=asked.patience,
        )
        put(row, asked.out)
        print(json.dumps(row), flush=True)
        code = max(code, 1 if "partial" in row else 0)
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
