"""A test day of a hierarchical fleet of processes: two regions of two cells with three supervisors each, a store for
the whole and one for each region, and proxies, all connected by relays. A seed determines the faults and the requests
for changes of policy; `hierarchy_judge.py` judges the recorded traffic."""

from __future__ import annotations

import os
import queue
import signal
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from driftshed.core.messages import ListedServer, RosterUpdate, encode_json
from driftshed.day.fault_relay import BACK, FORTH, FaultRelay, frame_length
from driftshed.day.fleet import OPERATION_FLAG, POLL_INTERVAL_S, FleetProcess
from driftshed.day.hierarchy_judge import (
    FINAL_REPORTS_S,
    RUNS_PATH,
    VERSION_DECODER,
    FleetLayout,
    HierarchyJudge,
    VersionReport,
)
from driftshed.day.judge import Verdict
from driftshed.day.recorder import CONTROL, ORDER, STORED, Recorder, read_record
from driftshed.day.relay import Relay
from driftshed.day.stage import reserve_network
from driftshed.day.traffic import read_traffic
from driftshed.net.http import Answer, HttpClient
from driftshed.net.http_server import HttpServer, Request
from driftshed.net.loop import Loop

NAME = "tiers"
ABOUT = (
    "about one policy change a second in two regions of two cells of three supervisors, while supervisors, "
    "connections and stores fail at random by the seed"
)
ROOT, REGIONS = "/driftshed", {"north": ("n1", "n2"), "south": ("s1", "s2")}
CELLS = {cell: tuple(f"{cell}-{k}" for k in range(3)) for cells in REGIONS.values() for cell in cells}
FLEETS = FleetLayout(
    REGIONS,
    CELLS,
    {
        "": f"{ROOT}/whole",
        **{name: f"{ROOT}/regions/{name}" for name in REGIONS},
        **{name: f"{ROOT}/cells/{name}" for name in CELLS},
    },
)
NAMES = [name for members in CELLS.values() for name in members]
REGION_OF = {name: FLEETS.region_of(cell) for cell, members in CELLS.items() for name in members}
# The x of addresses 127.NET.x.y, by what listens there; y counts from 1. Supervisors connect to fault relays, these to
# the recording relays at the stores.
STORES, SUPERVISORS, WHOLE_FAULTS, WHOLE_RECORDERS, REGION_FAULTS, REGION_RECORDERS, CONTROLS, PROXY_FAULTS, PROXIES = (
    range(1, 10)
)
SESSION_TIMEOUT_S, POLICY_AHEAD_S, DESPITE_AFTER_S = 1.5, 0.3, 2.0  # seconds
LIST_INTERVAL_S = 1.0  # between changes of the list of servers, so that supervisors give orders
SERVERS = 4  # each list leaves out one of them, in turn
FIRST_CHANGE_S, FIRST_FAULT_S, FAULT_INTERVAL_S = 2.5, 3.5, 1.7  # seconds: the first of each, and between faults
CONVERGENCE_TIMEOUT_S = 40.0  # after the last fault, until all follow one policy
REPORTS_TIMEOUT_S = 10.0  # after that, until each has reported its version
RECENT_REPORT_S = FINAL_REPORTS_S / 2  # age up to which a report is still within the judge's time when the record ends
PROPOSAL_TIMEOUT_S = (2.0, 8.0)  # range of seconds that proposals wait for votes
# Until two supervisors are asked again, and the added delay of their connections then.
CONFLICT_DELAY_S, CONFLICT_LAG_S = 0.8, 0.15
SHORT_PAUSE, LONG_PAUSE = (0.1, 0.6), (1.5, 3.0)  # as shares of a lease: shorter pauses keep it, longer ones lose it
CUT_S = (5.0, 20.0)  # range of seconds for which a region is cut off from the store of the whole
LEAST_DURATION_S = 14
POLICY = """
ahead = {ahead}
despite_after = {despite_after}
[[operations]]
name = "look"
objective = 0.5
timeout = 1.5
value = 1
effect = "idempotent"
[settings]
proxies = 6
drain-grace = {grace}
"""


def address_text(address: tuple[str, int]) -> str:
    """The address as address:port."""
    return f"{address[0]}:{address[1]}"


def document(number: int) -> str:
    """A policy document, different for each number."""
    return POLICY.format(ahead=POLICY_AHEAD_S, despite_after=DESPITE_AFTER_S, grace=round(2.5 + number / 100, 2))


# ---- random faults and changes ----


class Fault(NamedTuple):
    """A fault of kind `what` at `who`: a supervisor, a region, or a store by its region, "" for that of the whole.

    `at` and `lasts` in seconds; "cut" partitions a region from the store of the whole, "reset" resets every stream of a
    region's proxies. `sides`: which of a supervisor's connections; `way`: what it sends ("said"), receives ("told") or
    both; `by`: the added delay in seconds.
    """

    at: float
    what: str
    who: str
    lasts: float = 0.0
    sides: tuple[str, ...] = ()
    way: str = "both"
    by: float = 0.0


class ChangeRequest(NamedTuple):
    """A request at `at` to all of `who` for different changes, which wait `patience` seconds for votes. `slowed`: their
    connections to the store of the whole are delayed, so that their reads and writes there conflict."""

    at: float
    who: tuple[str, ...]
    patience: float
    slowed: bool = False


FIRST_KINDS = ("kill", "long pause", "apart", "store", "reset", "lose")
KINDS = (*FIRST_KINDS, "lag", "short pause", "lose", "apart")
SIDES = (("whole",), ("region",), ("whole", "region"), ("proxies",), ("whole", "region", "proxies"))


def draw(seed: int, seconds: float, timeout: float = SESSION_TIMEOUT_S) -> list[Fault]:
    """Draws faults of supervisors and stores at regular intervals, each of the first kinds once before the others, and
    one region cut off meanwhile. A process that is dead or stopped has no other fault."""
    random, faults = Random(f"tiers faults {seed}"), []
    duration = seconds - FIRST_FAULT_S - 3.0
    lasts = round(random.uniform(CUT_S[0], max(CUT_S[0], min(CUT_S[1], duration * 0.7))), 2)
    at = round(FIRST_FAULT_S + random.uniform(0, max(0.0, duration - lasts)), 2)
    faults.append(Fault(at, "cut", random.choice(sorted(REGIONS)), lasts))
    free_at: dict[str, float] = {}
    kinds = random.sample(FIRST_KINDS, len(FIRST_KINDS))
    for k in range(int(duration / FAULT_INTERVAL_S)):
        at = round(FIRST_FAULT_S + (k + random.random()) * FAULT_INTERVAL_S, 2)
        kinds = kinds or random.sample(KINDS, len(KINDS))
        kind, lasts = kinds.pop(), round(timeout * random.uniform(0.5, 3), 2)
        targets = {"store": ("", *REGIONS), "reset": tuple(REGIONS)}.get(kind, NAMES)
        available = [each for each in targets if kind == "reset" or free_at.get(each, 0.0) <= at]
        if not available:
            continue
        who = random.choice(available)
        if kind == "store":
            fault = Fault(at, kind, who, round(random.uniform(0.3, 2.0), 2))
        elif kind in ("kill", "reset"):
            fault = Fault(at, kind, who, lasts if kind == "kill" else 0.0)
        elif kind == "apart":
            fault = Fault(at, kind, who, lasts, random.choice(SIDES), random.choice(("both", "told", "said")))
        elif kind == "lag":
            fault = Fault(at, kind, who, lasts, random.choice(SIDES), by=round(random.uniform(0.02, 0.2), 3))
        elif kind == "lose":
            fault = Fault(at, kind, who, 0.0, random.choice(SIDES[:2]), random.choice(("told", "said")))
        else:
            share = random.uniform(*(SHORT_PAUSE if kind == "short pause" else LONG_PAUSE))
            fault = Fault(at, "pause", who, round(timeout * share, 2))
        if kind != "reset":
            free_at[who] = at + fault.lasts + timeout
        faults.append(fault)
    return sorted(faults)


def draw_changes(seed: int, seconds: float) -> list[ChangeRequest]:
    """Draws a request about every second to one supervisor. The first and every fifth go to two of different regions,
    and to both again while they still have sessions in the store of the whole, so that proposals conflict."""
    random, change_requests, at, count = Random(f"tiers changes {seed}"), [], FIRST_CHANGE_S, 0
    while at < seconds - 2.0:
        who, patience = [random.choice(NAMES)], round(random.uniform(*PROPOSAL_TIMEOUT_S), 2)
        if count % 5 == 0:
            who.append(random.choice([name for name in NAMES if REGION_OF[name] != REGION_OF[who[0]]]))
            change_requests.append(ChangeRequest(round(at, 2), tuple(who), patience))
            at += CONFLICT_DELAY_S
        change_requests.append(ChangeRequest(round(at, 2), tuple(who), patience, len(who) > 1))
        at, count = at + random.uniform(0.6, 1.4), count + 1
    return change_requests


# ---- the harness ----


class HierarchyHarness:
    """The processes and relays of the day. Relays and timers run on a thread of their own; call them by `run_on_loop`.
    `events` lists the faults applied and their times in seconds. Close it in any case, so that no process is left
    behind."""

    def __init__(
        self, folder: Path, timeout: float = SESSION_TIMEOUT_S, tamper: str | None = None, proxies: int = 6
    ) -> None:
        """`folder`: for record, logs and data; `timeout`: of sessions in the stores, in seconds; `tamper`: the guard
        removed from the processes, or None."""
        self.folder, self.timeout, self.tamper = folder, timeout, tamper
        self.loop = Loop()
        self.net, self.lock = reserve_network(os.getpid())
        self.record = folder / "record"
        self.recorder = Recorder(self.loop, self.record)
        self.events: list[dict] = []
        # The last version report of each supervisor, and when it was received.
        self.version_reports: dict[str, tuple[float, VersionReport]] = {}
        self.sink = HttpServer(self.loop, self._at(0, 3, 7002), self._handle_report)
        self.sink.on_connection = self.recorder.tap_accepted(ORDER, self.sink.address)
        self.stores = {name: self._store_process(k, name) for k, name in enumerate(("", *REGIONS))}
        self.store_addresses = {name: self._at(STORES, 1 + k, 2181) for k, name in enumerate(("", *REGIONS))}
        self.fault_relays: dict[tuple[str, str], FaultRelay] = {}  # by supervisor and side
        self.relays: list[Relay] = []
        self.controls: dict[str, Relay] = {}
        self.addresses, self.supervisors, self.clients = {}, {}, {}
        for k, name in enumerate(NAMES):
            self._create_supervisor(k, name)
        self.proxies = [self._create_proxy(k) for k in range(proxies)]
        self.list_version = self.asked = 0
        self.pending_calls: queue.SimpleQueue = queue.SimpleQueue()
        self.closed = False
        self.thread = threading.Thread(target=self._run_loop, daemon=True)

    def _at(self, part: int, number: int, port: int) -> tuple[str, int]:
        return f"127.{self.net}.{part}.{number}", port

    def _store_process(self, k: int, name: str) -> FleetProcess:
        listen = address_text(self._at(STORES, 1 + k, 2181))
        folder = self.folder / f"store-{name or 'whole'}"
        return FleetProcess(
            ["roster", "serve", "--listen", listen, "--folder", str(folder)], self.folder / f"{folder.name}.log"
        )

    def _connect_to_store(self, name: str, side: str, k: int, fault_part: int, recorder_part: int, store: str) -> str:
        """Creates the relays from a supervisor to a store: faults at the supervisor's end, recording at the store's.
        Returns the address to connect to."""
        relay = Relay(
            self.loop, self.recorder, STORED, self._at(recorder_part, 1 + k, 2181), self.store_addresses[store]
        )
        self.relays.append(relay)
        fault_relay = FaultRelay(self.loop, self._at(fault_part, 1 + k, 2181), relay.address, frame_length)
        self.fault_relays[name, side] = fault_relay
        return address_text(fault_relay.address)

    def _create_supervisor(self, k: int, name: str) -> None:
        region, address = REGION_OF[name], self._at(SUPERVISORS, 1 + k, 7100)
        self.addresses[name], self.clients[name] = address, HttpClient(self.loop, address, max_idle=1)
        whole_store = self._connect_to_store(name, "whole", k, WHOLE_FAULTS, WHOLE_RECORDERS, "")
        region_store = self._connect_to_store(name, "region", k, REGION_FAULTS, REGION_RECORDERS, region)
        fault_relay = FaultRelay(self.loop, self._at(PROXY_FAULTS, 1 + k, 7000), address)
        self.fault_relays[name, "proxies"] = fault_relay
        control = Relay(self.loop, self.recorder, CONTROL, self._at(CONTROLS, 1 + k, 7000), fault_relay.address)
        self.relays.append(control)
        self.controls[name] = control
        path = self.folder / f"tiers-{name}.toml"
        path.write_text(self._tiers_file(whole_store, region, region_store))
        listen, advertise = address_text(address), address_text(control.address)
        process = FleetProcess(
            [
                "supervise",
                "--listen",
                listen,
                "--advertise",
                advertise,
                "--operation",
                OPERATION_FLAG,
                "--proxies",
                "6",
                "--supervisors",
                "3",
                "--silence",
                "2",
                "--name",
                name,
                "--tiers",
                str(path),
                "--fleet-timeout",
                str(self.timeout),
                "--policy-folder",
                str(self.folder / f"policy-{name}"),
            ],
            self.folder / f"{name}.log",
        )
        guard_flags = ["--take-out", self.tamper] if self.tamper not in (None, "owners") else []
        process.program = ("driftshed.day.rigged", "--orders-to", address_text(self.sink.address), *guard_flags, "--")
        self.supervisors[name] = process

    def _tiers_file(self, whole: str, region: str, region_store: str) -> str:
        """The tiers file of one supervisor, with its own relays to the stores; stores of other regions are
        unreachable."""
        lines = [f'form = 1\nroot = "{ROOT}"\nstores = "{whole}"\n']
        for name, cells in REGIONS.items():
            stores = region_store if name == region else f"127.{self.net}.{STORES}.250:2181"
            lines.append(f'[[regions]]\nname = "{name}"\nstores = "{stores}"\n')
            for cell in cells:
                members = ", ".join(f'"{each}"' for each in CELLS[cell])
                lines.append(f'[[regions.cells]]\nname = "{cell}"\nmembers = [{members}]\n')
        return "".join(lines)

    def _create_proxy(self, k: int) -> FleetProcess:
        members = list(CELLS.values())[k % len(CELLS)]
        members = members[k % 3 :] + members[: k % 3]
        addresses = [address_text(self._at(CONTROLS, 1 + NAMES.index(name), 7000)) for name in members]
        listen = address_text(self._at(PROXIES, 1 + k, 8080))
        process = FleetProcess(
            [
                "proxy",
                "--listen",
                listen,
                "--number",
                str(k),
                "--zone",
                "east",
                "--operation",
                OPERATION_FLAG,
                "--hears-within",
                "2",
                "--standing",
                self._server_address(0),
                "--seed",
                str(k),
                *(part for each in addresses for part in ("--supervisor", each)),
            ],
            self.folder / f"proxy{k}.log",
        )
        if self.tamper == "owners":
            process.program = ("driftshed.day.rigged", "--take-out", "owners", "--")
        return process

    def _server_address(self, number: int) -> str:
        return address_text(self._at(0, 10 + number, 8000))

    def owner(self, asked: str) -> int:
        """The number of the supervisor to which a relay's address belongs."""
        return int(asked.partition(":")[0].rpartition(".")[2]) - 1

    # ---- running ----

    def open(self) -> None:
        """Starts stores, supervisors and proxies, then the thread; the day begins now."""
        for store in self.stores.values():
            store.start()
        for store in self.stores.values():
            store.await_listening()
        for process in (*self.supervisors.values(), *self.proxies):
            process.start()
        for process in (*self.supervisors.values(), *self.proxies):
            process.await_listening()
        # The loop has not run yet: what the processes have sent so far waits in the relays' sockets.
        self.recorder.begin()
        self.loop.soon(self._publish_list)
        self.thread.start()

    def _run_loop(self) -> None:
        while not self.closed:
            self.loop.after(POLL_INTERVAL_S, lambda: None)
            self.loop.turn(time.monotonic() + POLL_INTERVAL_S)
            while not self.pending_calls.empty():
                call, done = self.pending_calls.get()
                call()
                done.set()

    def run_on_loop(self, call: Callable[[], object]) -> None:
        """Runs a call on the relays' thread and waits for it; RuntimeError after 10 s."""
        done = threading.Event()
        self.pending_calls.put((call, done))
        if not done.wait(10):
            raise RuntimeError("the thread of the relays did not run the call within 10 s")

    def _publish_list(self) -> None:
        """Publishes a changed list to every supervisor, so that each has orders for its proxies."""
        self.loop.after(LIST_INTERVAL_S, self._publish_list)
        self.list_version += 1
        present = [k for k in range(SERVERS) if k != self.list_version % SERVERS]
        servers = [ListedServer(self._server_address(k), "east", "standard") for k in present]
        body = encode_json(RosterUpdate(self.list_version, True, servers))
        for client in self.clients.values():
            client.call("POST", "/v1/roster", body, lambda answer: None, 1.0)

    def close(self) -> None:
        """Closes the record, kills all processes and ends the thread; later calls do nothing."""
        if self.closed:
            return
        if self.thread.is_alive():
            self.run_on_loop(self._end_record)
            self.run_on_loop(self.recorder.close)
        for process in (*self.proxies, *self.supervisors.values(), *self.stores.values()):
            process.signal(signal.SIGKILL)
        for process in (*self.proxies, *self.supervisors.values(), *self.stores.values()):
            process.terminate()
        self.closed = True
        if self.thread.ident is not None:
            self.thread.join(10)
        for relay in self.fault_relays.values():
            relay.close()
        self.loop.close()
        self.lock.close()

    def _handle_report(self, request: Request) -> None:
        if request.path == RUNS_PATH:
            report = VERSION_DECODER.decode(request.body)
            self.version_reports[report.name] = self.loop.clock(), report
        request.answer(200)

    def _end_record(self) -> None:
        self.sink.close()
        for relay in self.relays:
            relay.close()

    # ---- views ----

    def get(self, name: str, what: str) -> object:
        """A view of one supervisor, not requested through a relay; None where it does not answer within 1 s."""
        host, port = self.addresses[name]
        try:
            with urllib.request.urlopen(f"http://{host}:{port}/v1/{what}", timeout=1) as answer:
                return msgspec.json.decode(answer.read())
        except (OSError, urllib.error.URLError):
            return None

    def views(self, names: list[str] | None = None) -> dict[str, dict | None]:
        """The policy views of supervisors by name."""
        return {name: self.get(name, "policy") for name in names or NAMES}

    def runs(self, names: list[str] | None = None) -> dict[str, int | None]:
        """The policy version that each supervisor follows; None where it does not answer."""
        return {name: None if view is None else view["runs"] for name, view in self.views(names).items()}

    def converged(self, version: int | None = None) -> bool:
        """Whether all follow the same committed version (this one, if given), no proposal is open and no updates are
        paused."""
        views = list(self.views().values())
        if any(view is None or view["holds_still"] or view["open"] or not view["standing"] for view in views):
            return False
        versions = {each for view in views for each in (view["runs"], view["standing"]["version"])}
        return len(versions) == 1 and version in (None, *versions)

    def await_version_reports(self, version: int | None = None) -> float:
        """Waits until each supervisor has reported lately that it follows the same version (this one, if given), as the
        judge wants it at the end of a record. Returns the seconds that it took; AssertionError after
        REPORTS_TIMEOUT_S."""

        def have_reported() -> bool:
            reports = dict(self.version_reports)
            recent = [report.version for at, report in reports.values() if at > self.loop.clock() - RECENT_REPORT_S]
            return len(recent) == len(NAMES) and len({*recent, *([] if version is None else [version])}) == 1

        return self.until(have_reported, REPORTS_TIMEOUT_S)

    def until(self, condition: Callable[[], object], bound: float = 40.0) -> float:
        """Waits until the condition holds and returns the seconds that it took; AssertionError after `bound`
        seconds."""
        began = time.monotonic()
        while not condition():
            assert time.monotonic() < began + bound, "the condition was not met in time"
            time.sleep(0.05)
        return time.monotonic() - began

    def propose(self, name: str, number: int, patience: float = 3.0) -> tuple[int, str]:
        """Requests a change from a supervisor; returns the status and the text of its answer."""
        host, port = self.addresses[name]
        request = urllib.request.Request(
            f"http://{host}:{port}/v1/policy", proposal_body(number, patience), {"content-type": "application/json"}
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode("utf-8", "replace")

    # ---- faults, on the thread of the relays ----

    def record_event(self, what: str, **details: object) -> None:
        """Adds an event at the current time."""
        self.events.append({"at": round(self.loop.clock() - self.recorder.began, 2), "what": what, **details})

    def play(self, faults: list[Fault], change_requests: list[ChangeRequest]) -> None:
        """Schedules faults and requests at their times from the start of the day."""
        for fault in faults:
            self.loop.at(self.recorder.began + fault.at, lambda fault=fault: self._begin(fault))
        for change_request in change_requests:
            self.loop.at(
                self.recorder.began + change_request.at,
                lambda change_request=change_request: self._request_changes(change_request),
            )

    def _begin(self, fault: Fault) -> None:
        details = {key: value for key, value in fault._asdict().items() if value and key not in ("at", "what", "who")}
        if not fault.sides:
            details.pop("way")
        self.record_event(fault.what, who=fault.who or "whole", **details)
        getattr(self, f"_{fault.what}")(fault)

    def _schedule_end(self, fault: Fault, call: Callable[[], object]) -> None:
        def end() -> None:
            self.record_event(f"{fault.what} over", who=fault.who or "whole")
            call()

        self.loop.after(fault.lasts, end)

    def _restart_after(self, process: FleetProcess, fault: Fault) -> None:
        process.signal(signal.SIGKILL)

        def start() -> None:
            process.process.wait()
            process.process.stdout.close()
            process.start()

        self._schedule_end(fault, start)

    def _kill(self, fault: Fault) -> None:
        self._restart_after(self.supervisors[fault.who], fault)

    def _store(self, fault: Fault) -> None:
        self._restart_after(self.stores[fault.who], fault)

    def _pause(self, fault: Fault) -> None:
        process = self.supervisors[fault.who]
        process.signal(signal.SIGSTOP)
        self._schedule_end(fault, lambda: process.signal(signal.SIGCONT))

    def cut_region(self, region: str, step: int) -> None:
        """Adds `step` (+1 or -1) to the faults that partition a region from the store of the whole."""
        for name in NAMES:
            if REGION_OF[name] == region:
                for way in (FORTH, BACK):
                    self.fault_relays[name, "whole"].cut(way, step)

    def _reset(self, fault: Fault) -> None:
        for name, control in self.controls.items():
            if REGION_OF[name] == fault.who:
                control.reset_all()

    def _cut(self, fault: Fault) -> None:
        self.cut_region(fault.who, +1)
        self._schedule_end(fault, lambda: self.cut_region(fault.who, -1))

    def _apart(self, fault: Fault) -> None:
        def cut(step: int) -> None:
            for side in fault.sides:
                sent, received = (BACK, FORTH) if side == "proxies" else (FORTH, BACK)
                for way, name in ((sent, "said"), (received, "told")):
                    if fault.way in ("both", name):
                        self.fault_relays[fault.who, side].cut(way, step)

        cut(+1)
        self._schedule_end(fault, lambda: cut(-1))

    def _lag(self, fault: Fault) -> None:
        for side in fault.sides:
            self._add_delay(fault.who, side, +fault.by)
        self._schedule_end(fault, lambda: [self._add_delay(fault.who, side, -fault.by) for side in fault.sides])

    def _add_delay(self, name: str, side: str, by: float) -> None:
        relay = self.fault_relays[name, side]
        relay.delay = max(0.0, round(relay.delay + by, 6))

    def _lose(self, fault: Fault) -> None:
        for side in fault.sides:
            self.fault_relays[fault.who, side].drop_next[FORTH if fault.way == "said" else BACK] += 1

    def _request_changes(self, change_request: ChangeRequest) -> None:
        for name in change_request.who if change_request.slowed else ():
            self._add_delay(name, "whole", +CONFLICT_LAG_S)
            self.loop.after(CONFLICT_DELAY_S, lambda name=name: self._add_delay(name, "whole", -CONFLICT_LAG_S))
        for name in change_request.who:
            self.asked += 1

            def on_answer(answer: Answer, name: str = name) -> None:
                self.record_event(
                    "policy proposed", who=name, status=answer.status, said=answer.body.decode("utf-8", "replace")[:100]
                )

            self.clients[name].call(
                "POST", "/v1/policy", proposal_body(self.asked, change_request.patience), on_answer, 3.0, fresh=True
            )


def proposal_body(number: int, patience: float = 3.0) -> bytes:
    """The body of a request for a change, as sent by `driftshed policy propose`."""
    return msgspec.json.encode({"what": "propose", "who": "the day", "text": document(number), "patience": patience})


def play(seed: int, folder: Path, seconds: float, tamper: str | None = None, faults: bool = True) -> HierarchyHarness:
    """Runs the day and returns its harness, closed; the traffic is in the file `record`."""
    folder.mkdir(parents=True, exist_ok=True)
    harness = HierarchyHarness(folder, tamper=tamper)
    try:
        harness.open()
        harness.run_on_loop(lambda: harness.play(draw(seed, seconds) if faults else [], draw_changes(seed, seconds)))
        time.sleep(max(0.0, harness.recorder.began + seconds - time.monotonic()))
        if tamper is None:
            try:
                took = harness.until(harness.converged, CONVERGENCE_TIMEOUT_S)
                harness.record_event("all go by one policy", took=round(took, 2))
                harness.await_version_reports()
            except AssertionError:
                harness.record_event("not all go by one policy")
    finally:
        harness.close()
    return harness


def judge(harness: HierarchyHarness) -> tuple[Verdict, HierarchyJudge]:
    """Judges the record of a harness that is closed."""
    _, kinds = read_traffic(read_record(harness.record))
    verdict = Verdict()
    hierarchy_judge = HierarchyJudge(
        verdict, kinds, FLEETS, NAMES, harness.owner, harness.timeout, POLICY_AHEAD_S, harness.tamper is None
    )
    hierarchy_judge.judge()
    return verdict, hierarchy_judge
