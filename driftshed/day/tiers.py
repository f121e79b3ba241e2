"""A day of a fleet in tiers as real processes: two regions of two cells with three supervisors each, a store for the
whole and one for each region, proxies, and a relay on every way between them. A seed draws the faults and who is asked
for a change of policy when; `tiers_accord.py` judges what passed on the sockets."""

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

from driftshed.core.messages import ListedServer, RosterNews, encode
from driftshed.day.between import BACK, FORTH, FaultRelay, frame_length
from driftshed.day.fleet import OPERATION, POLL_INTERVAL_S, FleetProcess
from driftshed.day.judge import Verdict
from driftshed.day.recorder import CONTROL, ORDER, STORED, Recorder, read_record
from driftshed.day.relay import Relay
from driftshed.day.stage import free_net
from driftshed.day.tiers_accord import Fleets, TiersJudge
from driftshed.day.traffic import read_traffic
from driftshed.net.http import Answer, HttpClient, HttpServer
from driftshed.net.loop import Loop

NAME = "tiers"
ABOUT = (
    "a policy is changed every second or so in two regions of two cells of three supervisors, while they, their "
    "ways and their stores fail as the seed draws it"
)
ROOT, REGIONS = "/driftshed", {"north": ("n1", "n2"), "south": ("s1", "s2")}
CELLS = {cell: tuple(f"{cell}-{k}" for k in range(3)) for cells in REGIONS.values() for cell in cells}
FLEETS = Fleets(
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
# Of the addresses 127.NET.x.y: what stands at each x, y counts from 1.
STORES, SUPERVISORS, WHOLE_WAYS, AT_WHOLE, REGION_WAYS, AT_REGION, CONTROLS, AT_PROXIES, PROXIES = range(1, 10)
TIMEOUT, AHEAD, DESPITE_AFTER = 1.5, 0.3, 2.0  # seconds
LIST_EVERY = 1.0  # seconds between changes of the list of servers, so that there are orders
SERVERS = 4  # of which one after the other is not listed
FIRST_CHANGE, FIRST_FAULT, STEP = 2.5, 3.5, 1.7  # seconds: when they begin, and between faults
SETTLES_WITHIN = 40.0  # seconds after a day's faults that it may take until all go by one policy
PATIENCE = (2.0, 8.0)  # seconds that changes wait for words
MEET_AFTER, MEET_SLOWLY = 0.8, 0.15  # seconds until two are asked again, and by which their ways are slower then
SHORT, LONG = (0.1, 0.6), (1.5, 3.0)  # of a lease: pauses that it outlasts, and that outlast it
CUT = (5.0, 20.0)  # seconds for which a region is cut from the whole's store
LEAST_SECONDS = 14
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


def told(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def document(number: int) -> str:
    """A policy that no other number has."""
    return POLICY.format(ahead=AHEAD, despite_after=DESPITE_AFTER, grace=round(2.5 + number / 100, 2))


# ---- what a seed draws ----------------------------------------------------------------------------------------------


class Fault(NamedTuple):
    """`what` befalls `who` (a supervisor, a region, or a store, the whole's being "") at `at` for `lasts` seconds. What
    is cut is a region from the whole's store; what is reset is every stream of a region's proxies.
    `sides`: which of a supervisor's ways; `way`: what it says, what it is told, or both; `by`: seconds later."""

    at: float
    what: str
    who: str
    lasts: float = 0.0
    sides: tuple[str, ...] = ()
    way: str = "both"
    by: float = 0.0


class Asking(NamedTuple):
    """`who` are asked at once for changes, each for another, which wait `patience` seconds for words. `slowly`: their
    ways to the whole's store are slow then, so that what they read and write there meets."""

    at: float
    who: tuple[str, ...]
    patience: float
    slowly: bool = False


FIRST_KINDS = ("kill", "long pause", "apart", "store", "reset", "lose")
KINDS = (*FIRST_KINDS, "lag", "short pause", "lose", "apart")
SIDES = (("whole",), ("region",), ("whole", "region"), ("proxies",), ("whole", "region", "proxies"))


def draw(seed: int, seconds: float, timeout: float = TIMEOUT) -> list[Fault]:
    """One fault of a supervisor or a store after the other, the first kinds first, and one region cut off meanwhile.
    One that is dead or still has no other fault."""
    random, faults = Random(f"tiers faults {seed}"), []
    room = seconds - FIRST_FAULT - 3.0
    lasts = round(random.uniform(CUT[0], max(CUT[0], min(CUT[1], room * 0.7))), 2)
    at = round(FIRST_FAULT + random.uniform(0, max(0.0, room - lasts)), 2)
    faults.append(Fault(at, "cut", random.choice(sorted(REGIONS)), lasts))
    free: dict[str, float] = {}
    kinds = random.sample(FIRST_KINDS, len(FIRST_KINDS))
    for k in range(int(room / STEP)):
        at = round(FIRST_FAULT + (k + random.random()) * STEP, 2)
        kinds = kinds or random.sample(KINDS, len(KINDS))
        kind, lasts = kinds.pop(), round(timeout * random.uniform(0.5, 3), 2)
        whose = {"store": ("", *REGIONS), "reset": tuple(REGIONS)}.get(kind, NAMES)
        able = [each for each in whose if kind == "reset" or free.get(each, 0.0) <= at]
        if not able:
            continue
        who = random.choice(able)
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
            share = random.uniform(*(SHORT if kind == "short pause" else LONG))
            fault = Fault(at, "pause", who, round(timeout * share, 2))
        if kind != "reset":
            free[who] = at + fault.lasts + timeout
        faults.append(fault)
    return sorted(faults)


def draw_changes(seed: int, seconds: float) -> list[Asking]:
    """A supervisor is asked every second or so; at first and every fifth time two of different regions, and both again
    while they are still guests of the whole, so that proposals meet."""
    random, askings, at, count = Random(f"tiers changes {seed}"), [], FIRST_CHANGE, 0
    while at < seconds - 2.0:
        who, patience = [random.choice(NAMES)], round(random.uniform(*PATIENCE), 2)
        if count % 5 == 0:
            who.append(random.choice([name for name in NAMES if REGION_OF[name] != REGION_OF[who[0]]]))
            askings.append(Asking(round(at, 2), tuple(who), patience))
            at += MEET_AFTER
        askings.append(Asking(round(at, 2), tuple(who), patience, len(who) > 1))
        at, count = at + random.uniform(0.6, 1.4), count + 1
    return askings


# ---- the stage ------------------------------------------------------------------------------------------------------


class TiersStage:
    """Its relays go on in a thread of their own, as does what is timed; whoever plays asks by `do`. `tamper`: a guard
    that its processes go without. `events` says what was done when, in seconds of the day."""

    def __init__(self, folder: Path, timeout: float = TIMEOUT, tamper: str | None = None, proxies: int = 6) -> None:
        self.folder, self.timeout, self.tamper = folder, timeout, tamper
        self.loop = Loop()
        self.net, self.lock = free_net(os.getpid())
        self.record = folder / "record"
        self.recorder = Recorder(self.loop, self.record)
        self.events: list[dict] = []
        self.sink = HttpServer(self.loop, self._at(0, 3, 7002), lambda request: request.answer(200))
        self.sink.on_connection = self.recorder.accepted(ORDER, self.sink.address)
        self.stores = {name: self._store_process(k, name) for k, name in enumerate(("", *REGIONS))}
        self.store_addresses = {name: self._at(STORES, 1 + k, 2181) for k, name in enumerate(("", *REGIONS))}
        self.ways: dict[tuple[str, str], FaultRelay] = {}  # by supervisor and side
        self.relays: list[Relay] = []
        self.controls: dict[str, Relay] = {}
        self.addresses, self.supervisors, self.clients = {}, {}, {}
        for k, name in enumerate(NAMES):
            self._set_up(k, name)
        self.proxies = [self._proxy(k) for k in range(proxies)]
        self.listed = self.asked = 0
        self.calls: queue.SimpleQueue = queue.SimpleQueue()
        self.closing = False
        self.thread = threading.Thread(target=self._pass_on, daemon=True)

    def _at(self, part: int, number: int, port: int) -> tuple[str, int]:
        return f"127.{self.net}.{part}.{number}", port

    def _store_process(self, k: int, name: str) -> FleetProcess:
        listen = told(self._at(STORES, 1 + k, 2181))
        folder = self.folder / f"store-{name or 'whole'}"
        return FleetProcess(
            ["roster", "serve", "--listen", listen, "--folder", str(folder)], self.folder / f"{folder.name}.log"
        )

    def _way(self, name: str, side: str, k: int, at: int, stored: int, store: str) -> str:
        """The way of a supervisor to a store: faults at its own end, what passes recorded at the store's."""
        relay = Relay(self.loop, self.recorder, STORED, self._at(stored, 1 + k, 2181), self.store_addresses[store])
        self.relays.append(relay)
        between = FaultRelay(self.loop, self._at(at, 1 + k, 2181), relay.address, frame_length)
        self.ways[name, side] = between
        return told(between.address)

    def _set_up(self, k: int, name: str) -> None:
        region, address = REGION_OF[name], self._at(SUPERVISORS, 1 + k, 7100)
        self.addresses[name], self.clients[name] = address, HttpClient(self.loop, address, idle_most=1)
        whole = self._way(name, "whole", k, WHOLE_WAYS, AT_WHOLE, "")
        near = self._way(name, "region", k, REGION_WAYS, AT_REGION, region)
        between = FaultRelay(self.loop, self._at(AT_PROXIES, 1 + k, 7000), address)
        self.ways[name, "proxies"] = between
        control = Relay(self.loop, self.recorder, CONTROL, self._at(CONTROLS, 1 + k, 7000), between.address)
        self.relays.append(control)
        self.controls[name] = control
        path = self.folder / f"tiers-{name}.toml"
        path.write_text(self._tiers(whole, region, near))
        listen, advertise = told(address), told(control.address)
        process = FleetProcess(
            [
                "supervise",
                "--listen",
                listen,
                "--advertise",
                advertise,
                "--operation",
                OPERATION,
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
        taken_out = ["--take-out", self.tamper] if self.tamper not in (None, "owners") else []
        process.program = ("driftshed.day.rigged", "--orders-to", told(self.sink.address), *taken_out, "--")
        self.supervisors[name] = process

    def _tiers(self, whole: str, region: str, near: str) -> str:
        """The tiers file of one supervisor: its own ways to the stores; it has none to those of other regions."""
        lines = [f'form = 1\nroot = "{ROOT}"\nstores = "{whole}"\n']
        for name, cells in REGIONS.items():
            stores = near if name == region else f"127.{self.net}.{STORES}.250:2181"
            lines.append(f'[[regions]]\nname = "{name}"\nstores = "{stores}"\n')
            for cell in cells:
                members = ", ".join(f'"{each}"' for each in CELLS[cell])
                lines.append(f'[[regions.cells]]\nname = "{cell}"\nmembers = [{members}]\n')
        return "".join(lines)

    def _proxy(self, k: int) -> FleetProcess:
        members = list(CELLS.values())[k % len(CELLS)]
        members = members[k % 3 :] + members[: k % 3]
        at = [told(self._at(CONTROLS, 1 + NAMES.index(name), 7000)) for name in members]
        listen = told(self._at(PROXIES, 1 + k, 8080))
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
                OPERATION,
                "--hears-within",
                "2",
                "--standing",
                self._server(0),
                "--seed",
                str(k),
                *(part for each in at for part in ("--supervisor", each)),
            ],
            self.folder / f"proxy{k}.log",
        )
        if self.tamper == "owners":
            process.program = ("driftshed.day.rigged", "--take-out", "owners", "--")
        return process

    def _server(self, number: int) -> str:
        return told(self._at(0, 10 + number, 8000))

    def owner(self, asked: str) -> int:
        """The number of the supervisor that an address leads to, or from."""
        return int(asked.partition(":")[0].rpartition(".")[2]) - 1

    # ---- its course -------------------------------------------------------------------------------------------------

    def open(self) -> None:
        for store in self.stores.values():
            store.start()
        for store in self.stores.values():
            store.await_listening()
        for process in (*self.supervisors.values(), *self.proxies):
            process.start()
        for process in (*self.supervisors.values(), *self.proxies):
            process.await_listening()
        # The loop has not turned yet: what they have sent so far waits in the relays' sockets.
        self.recorder.begin()
        self.loop.soon(self._list)
        self.thread.start()

    def _pass_on(self) -> None:
        while not self.closing:
            self.loop.after(POLL_INTERVAL_S, lambda: None)
            self.loop.turn(time.monotonic() + POLL_INTERVAL_S)
            while not self.calls.empty():
                call, done = self.calls.get()
                call()
                done.set()

    def do(self, call: Callable[[], object]) -> None:
        """Does something on the thread of the relays."""
        done = threading.Event()
        self.calls.put((call, done))
        if not done.wait(10):
            raise RuntimeError("the relays stand still")

    def _list(self) -> None:
        """Tells every supervisor another list, so that each has orders for its proxies."""
        self.loop.after(LIST_EVERY, self._list)
        self.listed += 1
        there = [k for k in range(SERVERS) if k != self.listed % SERVERS]
        servers = [ListedServer(self._server(k), "east", "standard") for k in there]
        body = encode(RosterNews(self.listed, True, servers))
        for client in self.clients.values():
            client.call("POST", "/v1/roster", body, lambda answer: None, 1.0)

    def close(self) -> None:
        """Once and for all; the record is whole then."""
        if self.closing:
            return
        if self.thread.is_alive():
            self.do(self._end_record)
            self.do(self.recorder.close)
        for process in (*self.proxies, *self.supervisors.values(), *self.stores.values()):
            process.signal(signal.SIGKILL)
        for process in (*self.proxies, *self.supervisors.values(), *self.stores.values()):
            process.end()
        self.closing = True
        if self.thread.ident is not None:
            self.thread.join(10)
        for between in self.ways.values():
            between.close()
        self.loop.close()
        self.lock.close()

    def _end_record(self) -> None:
        self.sink.close()
        for relay in self.relays:
            relay.close()

    # ---- what is seen of it -----------------------------------------------------------------------------------------

    def get(self, name: str, what: str) -> object:
        """A view of one supervisor, asked straight; None where it does not answer."""
        host, port = self.addresses[name]
        try:
            with urllib.request.urlopen(f"http://{host}:{port}/v1/{what}", timeout=1) as answer:
                return msgspec.json.decode(answer.read())
        except (OSError, urllib.error.URLError):
            return None

    def views(self, names: list[str] | None = None) -> dict[str, dict | None]:
        """What each makes of policies."""
        return {name: self.get(name, "policy") for name in names or NAMES}

    def runs(self, names: list[str] | None = None) -> dict[str, int | None]:
        return {name: None if view is None else view["runs"] for name, view in self.views(names).items()}

    def agree(self, version: int | None = None) -> bool:
        """Whether all go by one version (this one), which stands, and nothing is open or held still."""
        views = list(self.views().values())
        if any(view is None or view["holds_still"] or view["open"] or not view["standing"] for view in views):
            return False
        versions = {each for view in views for each in (view["runs"], view["standing"]["version"])}
        return len(versions) == 1 and version in (None, *versions)

    def until(self, condition: Callable[[], object], bound: float = 40.0) -> float:
        """Waits until it holds; the seconds that it took. AssertionError after the bound."""
        began = time.monotonic()
        while not condition():
            assert time.monotonic() < began + bound, "the condition did not come"
            time.sleep(0.05)
        return time.monotonic() - began

    def propose(self, name: str, number: int, patience: float = 3.0) -> tuple[int, str]:
        """Asks a supervisor for a change and waits for its answer: the status, and what it said."""
        host, port = self.addresses[name]
        request = urllib.request.Request(
            f"http://{host}:{port}/v1/policy", asked(number, patience), {"content-type": "application/json"}
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode("utf-8", "replace")

    # ---- troubles, on the thread of the relays ----------------------------------------------------------------------

    def note(self, what: str, **more: object) -> None:
        self.events.append({"at": round(self.loop.clock() - self.recorder.began, 2), "what": what, **more})

    def play(self, faults: list[Fault], askings: list[Asking]) -> None:
        """Has them happen at their times."""
        for fault in faults:
            self.loop.at(self.recorder.began + fault.at, lambda fault=fault: self._begin(fault))
        for asking in askings:
            self.loop.at(self.recorder.began + asking.at, lambda asking=asking: self._ask(asking))

    def _begin(self, fault: Fault) -> None:
        more = {key: value for key, value in fault._asdict().items() if value and key not in ("at", "what", "who")}
        if not fault.sides:
            more.pop("way")
        self.note(fault.what, who=fault.who or "whole", **more)
        getattr(self, f"_{fault.what}")(fault)

    def _after(self, fault: Fault, call: Callable[[], object]) -> None:
        def over() -> None:
            self.note(f"{fault.what} over", who=fault.who or "whole")
            call()

        self.loop.after(fault.lasts, over)

    def _anew(self, process: FleetProcess, fault: Fault) -> None:
        process.signal(signal.SIGKILL)

        def start() -> None:
            process.process.wait()
            process.process.stdout.close()
            process.start()

        self._after(fault, start)

    def _kill(self, fault: Fault) -> None:
        self._anew(self.supervisors[fault.who], fault)

    def _store(self, fault: Fault) -> None:
        self._anew(self.stores[fault.who], fault)

    def _pause(self, fault: Fault) -> None:
        process = self.supervisors[fault.who]
        process.signal(signal.SIGSTOP)
        self._after(fault, lambda: process.signal(signal.SIGCONT))

    def cut_region(self, region: str, step: int) -> None:
        """One cut more or fewer of a region from the whole's store, without a word."""
        for name in NAMES:
            if REGION_OF[name] == region:
                for way in (FORTH, BACK):
                    self.ways[name, "whole"].cut(way, step)

    def _reset(self, fault: Fault) -> None:
        for name, control in self.controls.items():
            if REGION_OF[name] == fault.who:
                control.reset_all()

    def _cut(self, fault: Fault) -> None:
        self.cut_region(fault.who, +1)
        self._after(fault, lambda: self.cut_region(fault.who, -1))

    def _apart(self, fault: Fault) -> None:
        def cut(step: int) -> None:
            for side in fault.sides:
                said, told = (BACK, FORTH) if side == "proxies" else (FORTH, BACK)
                for way, name in ((said, "said"), (told, "told")):
                    if fault.way in ("both", name):
                        self.ways[fault.who, side].cut(way, step)

        cut(+1)
        self._after(fault, lambda: cut(-1))

    def _lag(self, fault: Fault) -> None:
        for side in fault.sides:
            self._slower(fault.who, side, +fault.by)
        self._after(fault, lambda: [self._slower(fault.who, side, -fault.by) for side in fault.sides])

    def _slower(self, name: str, side: str, by: float) -> None:
        between = self.ways[name, side]
        between.delay = max(0.0, round(between.delay + by, 6))

    def _lose(self, fault: Fault) -> None:
        for side in fault.sides:
            self.ways[fault.who, side].drop_next[FORTH if fault.way == "said" else BACK] += 1

    def _ask(self, asking: Asking) -> None:
        for name in asking.who if asking.slowly else ():
            self._slower(name, "whole", +MEET_SLOWLY)
            self.loop.after(MEET_AFTER, lambda name=name: self._slower(name, "whole", -MEET_SLOWLY))
        for name in asking.who:
            self.asked += 1

            def answered(answer: Answer, name: str = name) -> None:
                self.note(
                    "policy proposed", who=name, status=answer.status, said=answer.body.decode("utf-8", "replace")[:100]
                )

            self.clients[name].call("POST", "/v1/policy", asked(self.asked, asking.patience), answered, 3.0, fresh=True)


def asked(number: int, patience: float = 3.0) -> bytes:
    """The body of a request for a change, as `driftshed policy propose` makes it."""
    return msgspec.json.encode({"what": "propose", "who": "the day", "text": document(number), "patience": patience})


def play(seed: int, folder: Path, seconds: float, tamper: str | None = None, faults: bool = True) -> TiersStage:
    """Plays a day; what passed is in the stage's `record`."""
    folder.mkdir(parents=True, exist_ok=True)
    stage = TiersStage(folder, tamper=tamper)
    try:
        stage.open()
        stage.do(lambda: stage.play(draw(seed, seconds) if faults else [], draw_changes(seed, seconds)))
        time.sleep(max(0.0, stage.recorder.began + seconds - time.monotonic()))
        if tamper is None:
            try:
                took = stage.until(stage.agree, SETTLES_WITHIN)
                stage.note("all go by one policy", took=round(took, 2))
            except AssertionError:
                stage.note("not all go by one policy")
            time.sleep(0.3)  # so that each has told once more what it goes by
    finally:
        stage.close()
    return stage


def judge(stage: TiersStage) -> tuple[Verdict, TiersJudge]:
    """Judges what a stage recorded."""
    _, kinds = read_traffic(read_record(stage.record))
    verdict = Verdict()
    found = TiersJudge(verdict, kinds, FLEETS, NAMES, stage.owner, stage.timeout, AHEAD, stage.tamper is None)
    found.judge()
    return verdict, found
