"""Measures the coordination of a fleet at its full size over real sockets, with hollow supervisors that share processes
and with stand-in stores in separate processes.

    python -m benchmarks.hollow tiers 100 400 1600 5200     # rows into benchmarks/hollow.json
    python -m benchmarks.hollow flat 25 50 64               # one fleet without tiers
    python -m benchmarks.hollow agents 100 200 400          # the same, agents alone: no policy, any size
    python -m benchmarks.hollow show                        # the rows as a table

`--changes N`, `--rest SECONDS`, `--spread SECONDS` (of the starts), `--seed N`, `--restarts MULTIPLE` (of 9,100 a day
at 5,200 supervisors, scaled to the size), `--real N` (the first N are complete supervisors, reported separately),
`--between SECONDS` (from one change to the next), `--look-every SECONDS` (polling period of the policy part, 0.1 in a
real one; a longer period relieves a machine with few cores, and the row records it), `--timeout` and `--patience
SECONDS` (of sessions and of a change), `--out FILE`. A run ends within six minutes and ends all processes that it
started. Policy stores and the stores' logs are kept in memory, whereas real ones are synced to a disk. Prints one JSON
object a line."""

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

from benchmarks.hollow_worker import Plan, Row, policy_text, resident_bytes
from benchmarks.hollow_worker import main as worker_main
from driftshed.day.stage import Subprocess, reserve_network
from driftshed.net.loop import Loop
from driftshed.net.stream import Stream
from driftshed.policy.participant import CHECK_INTERVAL_S

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "hollow.json"
SESSION_TIMEOUT_S = 4.0
PROPOSAL_TIMEOUT_S = 10.0  # how long a change waits for votes
RESTARTS_PER_DAY, REFERENCE_SIZE, RESTARTS_PER_LOSS = 9100, 5200, 76  # at this size; one restart in 76 is lost instead
MAX_RUN_S = 350.0
MAX_CHANGE_TIMEOUTS = 2.5  # in proposal timeouts: how long a change may take to reach all
RESTART_DELAY_S = 1.0, 3.0  # least and greatest, of a killed supervisor
MAX_TRIES = 8  # of a change, refused and aborted ones included
CHANGE_INTERVAL_S = 1.0
LAYOUTS = {100: (2, 1, 4), 400: (2, 4, 8), 1600: (4, 8, 16), 5200: (9, 10, 32)}  # regions, cells of each, processes
MAX_MEMORY_BYTES = 12 << 30  # of all processes of a run


class RunIncomplete(Exception):
    """A run exceeded its time or memory, or lost a worker; the message names the step."""


def supervisor_names(size: int) -> list[str]:
    """The names of `size` supervisors, in order."""
    return [f"s{k + 1:04}" for k in range(size)]


def split_evenly(names: list[str], parts: int) -> list[list[str]]:
    """Splits names into consecutive parts whose sizes differ by one at most."""
    cuts = [k * len(names) // parts for k in range(parts + 1)]
    return [names[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


def make_tiers_text(names: list[str], regions: int, cells: int, root_store: str, stores: list[str]) -> str:
    """The tiers file of a fleet. `cells`: per region; `root_store`, `stores` (by region): connect strings."""
    lines = ["form = 1", 'root = "/driftshed"', f'stores = "{root_store}"']
    for k, (store, region_names) in enumerate(zip(stores, split_evenly(names, regions), strict=True)):
        lines += ["[[regions]]", f'name = "r{k + 1:02}"', f'stores = "{store}"']
        for j, members in enumerate(split_evenly(region_names, cells)):
            quoted = ", ".join(f'"{name}"' for name in members)
            lines += ["[[regions.cells]]", f'name = "c{k + 1:02}{j + 1:02}"', f"members = [{quoted}]"]
    return "\n".join(lines) + "\n"


def summarize(values: list[float], places: int = 3) -> dict | None:
    """Count, mean, median, 95th percentile and maximum of a list; None if it is empty."""
    if not values:
        return None
    sorted_values = sorted(values)
    quantile = lambda share: sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]  # noqa: E731
    return {
        "n": len(sorted_values),
        "mean": round(mean(sorted_values), places),
        "p50": round(quantile(0.5), places),
        "p95": round(quantile(0.95), places),
        "worst": round(sorted_values[-1], places),
    }


ROLES = {1: "member", 2: "cell's speaker", 3: "region's speaker"}


class StoreProcess(Subprocess):
    """A stand-in store in a process of its own."""

    def __init__(self, address: str, folder: Path) -> None:
        """Starts the store; its state and log are kept at `folder`."""
        super().__init__(folder.with_suffix(".log"))
        self.address = address
        self._launch(["roster", "serve", "--listen", address, "--folder", str(folder), "--log-level", "warning"])


class RealSupervisor(Subprocess):
    """A complete supervisor process without proxies, in the same fleet as the hollow ones, with module, service and
    listener."""

    def __init__(self, name: str, address: str, tiers: Path, folder: Path, timeout: float) -> None:
        """Starts the supervisor. `tiers`: the tiers file; `timeout`: of its sessions, in seconds."""
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
        """The answer of its policy API."""
        with urllib.request.urlopen(f"http://{self.address}/v1/policy", timeout=5.0) as answer:
            return json.loads(answer.read())


def processor_time(pid: int) -> float:
    """Processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class WorkerProcess:
    """A process of hollow supervisors and the socket for its commands. It answers commands in order."""

    def __init__(self, loop: Loop, plan: Plan, names: list[str], folder: Path, number: int) -> None:
        """Starts a worker for `names` with this plan."""
        self.loop, self.names = loop, names
        file, self.logs = folder / f"plan{number}.json", folder / f"worker{number}.log"
        file.write_bytes(msgspec.json.encode(plan))
        driver_socket, worker_socket = socket.socketpair()
        driver_socket.setblocking(False)
        paths = filter(None, [str(ROOT), os.environ.get("PYTHONPATH")])
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
        with self.logs.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.hollow", "worker", str(file)],
                stdin=worker_socket,
                stdout=log,
                stderr=log,
                env=environment,
            )
        worker_socket.close()
        self.stream = Stream(loop, driver_socket, 64 << 20)
        self.stream.on_data = self._receive
        self.stream.on_end = self._on_end
        self.input, self.pending = b"", []

    def _receive(self, data: bytes) -> None:
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            self.pending.pop(0)(json.loads(line))

    def _on_end(self, reason: str) -> None:
        for on_answer in self.pending:
            on_answer(None)
        self.pending = []

    def request(self, on_answer: Callable[[dict | None], object], **command: object) -> None:
        """Sends a command; calls `on_answer` with the answer, or None if the process has ended."""
        if self.stream.sock is None:
            self.loop.soon(lambda: on_answer(None))
            return
        self.pending.append(on_answer)
        self.stream.write(json.dumps(command).encode() + b"\n")

    def end(self) -> None:
        """Closes the socket, which stops the worker, and kills it after 5 s."""
        self.stream.abort("over")
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Run:
    """One run of a fleet over sockets. A context manager that ends all processes that it started."""

    def __init__(
        self,
        kind: str,
        size: int,
        seed: int,
        regions: int = 1,
        cells: int = 1,
        processes: int = 2,
        max_seconds: float = MAX_RUN_S,
        real: int = 0,
        timeout: float = SESSION_TIMEOUT_S,
        between: float = CHANGE_INTERVAL_S,
        look_every: float = CHECK_INTERVAL_S,
        patience: float = PROPOSAL_TIMEOUT_S,
    ) -> None:
        """Reserves a network and a folder. `cells`: per region; `real`: complete supervisors among `size`;
        `max_seconds`: of the run; `timeout`, `between`, `look_every`, `patience`: see the flags."""
        self.between, self.look_every, self.patience = between, look_every, patience
        self.timeout, self.kind, self.size, self.seed, self.regions, self.cells = (
            timeout,
            kind,
            size,
            seed,
            regions,
            cells,
        )
        self.random, self.loop, self.names = Random(f"hollow {seed}"), Loop(), supervisor_names(size)
        self.hollow_names = self.names[real:]  # the others are complete supervisors in separate processes
        self.ends_at = time.monotonic() + max_seconds
        shared = Path("/dev/shm")
        self.folder = Path(tempfile.mkdtemp(prefix="hollow-", dir=shared if shared.is_dir() else None))
        self.net, self.lock = reserve_network(os.getpid())
        self.stores: list[StoreProcess] = []
        self.workers: list[WorkerProcess] = []
        self.real: list[RealSupervisor] = []
        self.worker_of: dict[str, WorkerProcess] = {}
        self.processes = processes
        self.lost: set[str] = set()  # killed and never restarted
        self.restarting: set[str] = set()  # killed and not restarted yet
        self.kills, self.restarts_enabled = 0, False

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
            tiers = make_tiers_text(self.names, self.regions, self.cells, addresses[0], addresses[1:])
        else:
            hosts, expected = [(f"{host}.10", 2181)], self.names
        for k in range(self.processes):
            names = self.hollow_names[k :: self.processes]
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
            self.worker_of |= dict.fromkeys(names, worker)
        self.request_all("look")  # waits until all workers run
        file = self.folder / "tiers.toml"
        file.write_text(tiers)
        for k, name in enumerate(self.names[: len(self.names) - len(self.hollow_names)]):
            self.real.append(RealSupervisor(name, f"{host}.{200 + k}:7000", file, self.folder, timeout))
            self.real[-1].await_listening()

    def _store(self, name: str, address: str) -> StoreProcess:
        return StoreProcess(address, self.folder / f"store-{name}")

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        self.restarts_enabled = False
        for worker in self.workers:
            worker.end()
        for each in (*self.real, *self.stores):
            each.terminate()
        self.loop.close()
        self.lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- commands to workers ----

    def _wait_until(self, condition: Callable[[], bool], description: str, within: float) -> None:
        ends_at = min(self.ends_at, self.loop.clock() + within)
        while not condition():
            if self.loop.clock() >= ends_at:
                raise RunIncomplete(f"{description}: not within {within:g} s or the time limit of the run")
            self.loop.turn(min(ends_at, self.loop.clock() + 0.25))

    def request_all(self, command: str, **arguments: object) -> list[dict]:
        """Sends a command to all workers and returns their answers in order. Raises RunIncomplete if one has ended."""
        answers: dict[int, dict | None] = {}
        for k, worker in enumerate(self.workers):
            worker.request(lambda answer, k=k: answers.__setitem__(k, answer), do=command, **arguments)
        self._wait_until(lambda: len(answers) == len(self.workers), f"answers to {command}", 60.0)
        for k, answer in answers.items():
            if answer is None:
                raise RunIncomplete(f"worker {k} has ended: {self.workers[k].logs.read_text()[-1500:]}")
        return [answers[k] for k in range(len(self.workers))]

    def request_from(self, name: str, command: str, **arguments: object) -> dict:
        """Sends a command for one supervisor to its worker. Raises RunIncomplete if that has ended."""
        answers: list[dict | None] = []
        self.worker_of[name].request(answers.append, do=command, name=name, **arguments)
        self._wait_until(lambda: bool(answers), f"the answer of {name} to {command}", 60.0)
        if answers[0] is None:
            raise RunIncomplete(f"the worker of {name} has ended: {self.worker_of[name].logs.read_text()[-1500:]}")
        return answers[0]

    def run_for(self, seconds: float) -> None:
        """Runs the loop for `seconds`. Raises RunIncomplete if the run would exceed its time."""
        if self.loop.clock() + seconds > self.ends_at:
            raise RunIncomplete("time limit of the run reached")
        self.loop.run(self.loop.clock() + seconds)

    def poll(self, **arguments: object) -> dict:
        """Sums of all workers' answers to `look`; `mine` is the proposer's."""
        sums: dict = {}
        for answer in self.request_all("look", **arguments):
            if "mine" in answer:
                sums["mine"] = answer.pop("mine")
            for key, value in answer.items():
                sums[key] = sums.get(key, 0) + value
        return sums

    # ---- steps ----

    def start_all(self, within: float, ready_within: float = 60.0) -> dict:
        """Starts all supervisors at random times within `within` seconds and waits until each has been ready."""
        started_at = self.loop.clock()
        for worker in self.workers:
            worker.request(lambda answer: None, do="start", names=worker.names, within=within)
        self.run_for(within)
        ends_at = self.loop.clock() + ready_within
        while (totals := self.poll())["ready"] < len(self.hollow_names):
            if self.loop.clock() > ends_at:
                errors = collect_errors(self.request_all("report"))["errors"][:2]
                raise RunIncomplete(
                    f"{totals['ready']} of {len(self.hollow_names)} became ready within {ready_within:g} s of the "
                    f"last start; {errors}"
                )
            self.run_for(0.1)
        all_ready_after = self.loop.clock() - started_at
        reports = self.request_all("report")
        rows = [Row(*row) for report in reports for row in report["rows"]]
        return {
            "spread_over_s": within,
            "all_ready_s": round(all_ready_after, 2),
            "ready_after_s": summarize([row.ready_after for row in rows if row.ready_after is not None]),
            "bytes_until_ready": summarize([row.ready_bytes for row in rows], 0),
            "bytes_until_read": summarize([row.read_bytes for row in rows], 0),
            "messages_until_read": summarize([row.read_messages for row in rows], 0),
            "bytes_of_all_joining": summarize([row.bytes_out + row.bytes_in for row in rows], 0),
            "messages_of_all_joining": summarize([row.messages_out + row.messages_in for row in rows], 0),
            "late_s": self._worst_lateness(reports),
        }

    @staticmethod
    def _worst_lateness(reports: list[dict]) -> list[float]:
        """The largest median and the largest lateness of the workers' loops, in seconds."""
        return [round(max(report[key] for report in reports), 3) for key in ("late_p50", "late_worst")]

    def measure(self, action: Callable[[], object]) -> dict:
        """Runs `action` and returns rates of traffic and processor time, of supervisors that lived through it."""
        before, store_cpu_before = (
            self.request_all("report"),
            [processor_time(store.process.pid) for store in self.stores],
        )
        real_cpu_before = [processor_time(each.process.pid) for each in self.real]
        started_at = self.loop.clock()
        action()
        after, store_cpu_after = (
            self.request_all("report"),
            [processor_time(store.process.pid) for store in self.stores],
        )
        elapsed = self.loop.clock() - started_at
        rows_before = {(row[0], row[1]): Row(*row) for report in before for row in report["rows"]}
        pairs = []
        for k, report in enumerate(after):
            seconds = report["at"] - before[k]["at"]
            for values in report["rows"]:
                row = Row(*values)
                if (row.name, row.start) in rows_before:
                    pairs.append((rows_before[row.name, row.start], row, seconds))
        result: dict = {"seconds": round(elapsed, 2), "stayed": len(pairs)}
        for number, role in [(0, "all"), *ROLES.items()]:
            role_pairs = [each for each in pairs if not number or each[0].role == each[1].role == number]
            if not role_pairs:
                continue
            result[role] = {
                "n": len(role_pairs),
                "bytes_a_second": summarize(
                    [(b.bytes_out + b.bytes_in - a.bytes_out - a.bytes_in) / s for a, b, s in role_pairs], 1
                ),
                "messages_a_second": summarize(
                    [(b.messages_out + b.messages_in - a.messages_out - a.messages_in) / s for a, b, s in role_pairs], 2
                ),
                "sessions": summarize([b.sessions for _, b, _ in role_pairs], 0),
                "watches": summarize([b.watches for _, b, _ in role_pairs], 0),
                "roll": summarize([b.known_members for _, b, _ in role_pairs], 0),
                "records": summarize([b.records for _, b, _ in role_pairs], 0),
                "core_share_in_calls": summarize([(b.cpu - a.cpu) / s for a, b, s in role_pairs], 6),
            }
        cpu_by_worker = [b["cpu"] - a["cpu"] for a, b in zip(before, after, strict=True)]
        supervisors_by_worker = [len(report["rows"]) for report in after]
        result["processes"] = {
            "core_share_each_supervisor": round(sum(cpu_by_worker) / elapsed / max(1, sum(supervisors_by_worker)), 6),
            "core_share_a_process": summarize([c / elapsed for c in cpu_by_worker]),
            "rss_mb_a_process": summarize([report["rss"] / 2**20 for report in after], 1),
            "rss_mb_each_supervisor": round(
                sum(report["rss"] for report in after) / 2**20 / max(1, sum(supervisors_by_worker)), 3
            ),
            "supervisors_a_process": summarize(supervisors_by_worker, 0),
            "late_s": self._worst_lateness(after),
        }
        sums: dict[str, list[int]] = {}
        for sign, reports in ((-1, before), (1, after)):
            for report in reports:
                for address, bytes_out, bytes_in, messages_out, messages_in, opened in report["stores"]:
                    row = sums.setdefault(address, [0, 0, 0])
                    row[0] += sign * (bytes_out + bytes_in)
                    row[1] += sign * (messages_out + messages_in)
                    row[2] += opened if sign > 0 else 0
        result["stores"] = [
            {
                "store": Path(store.log_path).stem.removeprefix("store-"),
                "sessions": sums.get(store.address, [0, 0, 0])[2],
                "bytes_a_second": round(sums.get(store.address, [0, 0, 0])[0] / elapsed),
                "messages_a_second": round(sums.get(store.address, [0, 0, 0])[1] / elapsed, 1),
                "core_share": round((b - a) / elapsed, 4),
                "rss_mb": round(resident_bytes(store.process.pid) / 2**20, 1),
            }
            for store, a, b in zip(self.stores, store_cpu_before, store_cpu_after, strict=True)
        ]
        result["real"] = [
            {
                "name": each.name,
                "rss_mb": round(resident_bytes(each.process.pid) / 2**20, 1),
                "core_share": round((processor_time(each.process.pid) - cpu_before) / elapsed, 4),
            }
            for each, cpu_before in zip(self.real, real_cpu_before, strict=True)
        ]
        other_pids = [each.process.pid for each in (*self.stores, *self.real)]
        memory = sum(report["rss"] for report in after) + sum(map(resident_bytes, other_pids))
        result["rss_mb_of_all"] = round(memory / 2**20)
        if memory > MAX_MEMORY_BYTES:
            raise RunIncomplete(f"all processes use {memory >> 20} MB, more than {MAX_MEMORY_BYTES >> 20}")
        return result

    def start_restarts(self, multiple: float) -> None:
        """Restarts random supervisors from now on, at `multiple` times the daily rate scaled to this size."""
        rate = multiple * RESTARTS_PER_DAY / 86400 * self.size / REFERENCE_SIZE
        self.restarts_enabled = rate > 0

        def restart_one() -> None:
            if not self.restarts_enabled:
                return
            self.loop.after(self.random.expovariate(rate), restart_one)
            name = self.random.choice(self.hollow_names)
            if name in self.lost or name in self.restarting:
                return
            is_lost = self.random.random() < 1 / RESTARTS_PER_LOSS
            again = None if is_lost else self.random.uniform(*RESTART_DELAY_S)
            (self.lost if is_lost else self.restarting).add(name)
            if not is_lost:
                self.loop.after(again + 0.05, lambda: self.restarting.discard(name))
            self.kills += 1
            self.worker_of[name].request(lambda answer: None, do="kill", name=name, again=again)

        if rate > 0:
            self.loop.after(self.random.expovariate(rate), restart_one)

    def make_change(self, grace: float) -> dict:
        """Proposes a change at a random supervisor until each that was alive then and still is has switched to it."""
        refusals, tries = [], []
        for _ in range(MAX_TRIES):
            name = self.random.choice(
                [each for each in self.hollow_names if each not in self.lost and each not in self.restarting]
            )
            answer = self.request_from(name, "propose", text=policy_text(grace), patience=self.patience)
            if "refused" in answer:
                refusals.append(f"{name}: {answer['refused']}")
                self.run_for(0.5)
                continue
            version, proposed_at, state, why, totals = answer["version"], answer["at"], "unknown", "", {}
            while self.loop.clock() < proposed_at + MAX_CHANGE_TIMEOUTS * self.patience:
                totals = self.poll(version=version, asked=proposed_at, by=name)
                state, why = totals.get("mine") or (state, why)
                timed_out = not totals["there"] and self.loop.clock() > proposed_at + self.patience + self.timeout
                if totals["there"] == totals["stayed"] > 0 or state in ("void", "lost", "refused") or timed_out:
                    break
                self.run_for(0.1)
            if totals["there"]:
                return self._change_row(version, proposed_at, name, tries, refusals, state)
            tries.append(f"version {version} of {name}: {state}: {why}"[:300])
        return {"version": None, "settled": False, "everywhere": False, "tries": tries, "refusals": refusals[-3:]}

    def _change_row(self, version: int, proposed_at: float, by: str, tries: list, refusals: list, state: str) -> dict:
        until = self.loop.clock()
        self.run_for(0.5)
        answers = self.request_all("times", version=version, asked=proposed_at, until=until)
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
            "after_s": summarize(stayed),
            "started_meanwhile_after_s": summarize([at for answer in answers for at in answer["began"]]),
            "real_run": [each.view()["runs"] for each in self.real],
            "tries": tries,
            "refusals": refusals[-3:],
        }

    def make_changes(self, count: int, rows_so_far: list[dict] | None = None, first: int = 1) -> list[dict]:
        """Makes `count` changes in sequence and appends their rows to `rows_so_far` one by one."""
        rows = [] if rows_so_far is None else rows_so_far
        for k in range(count):
            rows.append(self.make_change(2.2 + 0.05 * ((first + k) % 30)))
            self.run_for(self.between)
        return rows


def collect_errors(reports: list[dict]) -> dict:
    """Counts of log events, and errors that were raised or logged."""
    logs: dict[str, int] = {}
    for report in reports:
        for event, count in report["logs"].items():
            logs[event] = logs.get(event, 0) + count
    errors = [each for report in reports for each in report["errors"]]
    return {"logged": dict(sorted(logs.items())), "errors": errors[:10], "errors_n": len(errors)}


def restart_costs(reports: list[dict]) -> dict | None:
    """The cost of restarts in a running fleet; None if there were none."""
    rows = [Row(*row) for report in reports for row in report["rows"] if row[1] > 1]
    if not rows:
        return None
    return {
        "read_bytes": summarize([row.read_bytes for row in rows if row.read_bytes], 0),
        "read_messages": summarize([row.read_messages for row in rows if row.read_messages], 0),
        "ready_after_s": summarize([row.ready_after for row in rows if row.ready_after is not None]),
    }


def run_benchmark(
    kind: str,
    size: int,
    seed: int,
    changes: int,
    rest: float,
    within: float,
    multiple: float,
    max_seconds: float = MAX_RUN_S,
    real: int = 0,
    between: float = CHANGE_INTERVAL_S,
    look_every: float = CHECK_INTERVAL_S,
    timeout: float = SESSION_TIMEOUT_S,
    patience: float = PROPOSAL_TIMEOUT_S,
) -> dict:
    """A row of results: start, rest, changes with restarts. `partial` names the step that was not completed, if any."""
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
    started_at = time.monotonic()
    flags = max_seconds, real, timeout, between, look_every, patience
    with Run(kind, size, seed, regions, cells, processes, *flags) as fleet:
        try:
            row["joining"] = fleet.start_all(within)
            fleet.run_for(max(3.0, timeout))
            if kind != "agents":
                row["first_change"] = fleet.make_changes(1)
                fleet.run_for(max(2.0, timeout))
            row["rest"] = fleet.measure(lambda: fleet.run_for(rest))
            if kind == "tiers" and changes and row["first_change"][0]["settled"]:
                rows: list[dict] = []

                fleet.start_restarts(multiple)
                try:
                    row["churn"] = fleet.measure(lambda: fleet.make_changes(changes, rows, 2))
                finally:
                    fleet.restarts_enabled = False
                    row["changes"] = rows
                    row["kills"], row["stayed_away"] = fleet.kills, len(fleet.lost)
                row["summary"] = summarize_changes(rows)
        except RunIncomplete as error:
            row["partial"] = str(error)
        try:
            fleet.ends_at += 20.0
            totals = fleet.poll()
            row |= {"at_the_end": {key: totals[key] for key in ("living", "ready", "still", "fenced")}}
            row |= collect_errors(reports := fleet.request_all("report"))
            row["again"] = restart_costs(reports)
        except RunIncomplete as error:
            row["partial"] = f"{row.get('partial', '')}; {error}"
    row["seconds"] = round(time.monotonic() - started_at, 1)
    return row


def summarize_changes(rows: list[dict]) -> dict:
    """How many changes were committed, and the time until all had switched."""
    settled = [row for row in rows if row["settled"]]
    durations = [row["after_s"] for row in settled if row["after_s"]]
    return {
        "changes": len(rows),
        "settled": len(settled),
        "everywhere": sum(row["everywhere"] for row in settled),
        "tried_again": sum(len(row["tries"]) for row in rows),
        "p50_s": summarize([each["p50"] for each in durations]),
        "worst_s": summarize([each["worst"] for each in durations]),
    }


def append_row(row: dict, path: Path) -> None:
    """Appends a row to the results file."""
    rows = json.loads(path.read_text())["rows"] if path.is_file() else []
    text = ",\n".join(json.dumps(each) for each in [*rows, row])
    path.write_text('{"rows": [\n' + text + "\n]}\n")


def print_rows(path: Path) -> None:
    """Prints a summary of each row, one a line."""
    for row in json.loads(path.read_text())["rows"] if path.is_file() else []:
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


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parses and checks the command line; exits with status 2 on an error."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.hollow", description="Measures a fleet's coordination over sockets."
    )
    parser.add_argument("kind", choices=["tiers", "flat", "agents", "show"])
    parser.add_argument("sizes", nargs="*", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--rest", type=float, default=30.0)
    parser.add_argument("--spread", type=float, default=30.0)
    parser.add_argument("--restarts", type=float, default=100.0)
    parser.add_argument("--real", type=int, default=0)
    parser.add_argument("--between", type=float, default=CHANGE_INTERVAL_S)
    parser.add_argument("--look-every", type=float, default=CHECK_INTERVAL_S)
    parser.add_argument("--timeout", type=float, default=SESSION_TIMEOUT_S)
    parser.add_argument("--patience", type=float, default=PROPOSAL_TIMEOUT_S)
    parser.add_argument("--out", type=Path, default=RESULTS)
    options = parser.parse_args(arguments)
    if options.kind != "show" and not options.sizes:
        parser.error(f"sizes are missing, for example: {options.kind} 100 400")
    max_size = {"tiers": 10000, "flat": 64, "agents": 400, "show": 0}[options.kind]
    for size in options.sizes:
        if options.kind != "show" and not 2 <= size <= max_size:
            parser.error(f"{size}: 2 to {max_size} supervisors are supported for {options.kind}")
    if options.real and (options.kind != "tiers" or not 0 < options.real <= 4):
        parser.error("--real: 1 to 4 complete supervisors, only for tiers")
    if options.look_every < 0.05 or not 0.5 <= options.timeout <= 60 or not 0.1 <= options.patience <= 3600:
        parser.error("--look-every: 0.05 s or more; --timeout: 0.5 to 60 s; --patience: 0.1 to 3600 s")
    if min(options.rest, options.spread, options.between) < 0 or options.changes < 0 or options.restarts < 0:
        parser.error("--rest, --spread, --between, --changes and --restarts: 0 or more")
    return options


def main(arguments: list[str]) -> int:
    """Runs one size after the other; returns 1 if a row is partial."""
    if arguments[:1] == ["worker"]:
        return worker_main(arguments[1:])
    options = parse_arguments(arguments)
    if options.kind == "show":
        print_rows(options.out)
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # through the context manager, which ends the processes
    code = 0
    for size in options.sizes:
        row = run_benchmark(
            options.kind,
            size,
            options.seed,
            options.changes,
            options.rest,
            options.spread,
            options.restarts,
            real=options.real,
            between=options.between,
            look_every=options.look_every,
            timeout=options.timeout,
            patience=options.patience,
        )
        append_row(row, options.out)
        print(json.dumps(row), flush=True)
        code = max(code, 1 if "partial" in row else 0)
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
