"""Many hollow supervisors in one process: the real agent, its sessions, roll, records, lease and policy part over real
sockets, without a module, without proxies and without an HTTP listener. Commands come as JSON lines on the socket that
is the process's standard input, answers go back on it."""

from __future__ import annotations

import json
import os
import resource
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from driftshed.coordination.taking_part import take_part
from driftshed.core.hub import Refused
from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Stream, dial
from driftshed.policy import document as policies
from driftshed.policy import part
from driftshed.policy.keep import Keep
from driftshed.policy.part import Asked, PolicyPart
from driftshed.roster.announce import Standing

TEXT = """
ahead = {ahead}
despite_after = {despite_after}
[[operations]]
name = "lookup"
objective = 0.5
timeout = 1.5
value = 1
effect = "idempotent"
[settings]
zones = "east,west"
proxies = 4
drain-grace = {grace}
lines-per-second = 2000
"""
AHEAD, DESPITE_AFTER = 0.3, 3.0  # seconds
FACTS = policies.facts(policies.read(TEXT.format(ahead=AHEAD, despite_after=DESPITE_AFTER, grace=2.5)))
LOOK_EVERY = 0.1  # seconds between looks at who is ready, and of how late the loop is
MOST_OUT = 64 << 20  # bytes of answers that the driver has not read
MOST_ERRORS = 20  # kept of a process


def text_of(grace: float) -> str:
    """A document; its drain-grace tells versions apart."""
    return TEXT.format(ahead=AHEAD, despite_after=DESPITE_AFTER, grace=round(grace, 3))


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """What a worker is started with. `tiers`: the text of a tiers file; without it all are one flat fleet of `expected`
    at `hosts`. `policy`: with a policy part; `look_every`: seconds between its looks, 0.1 in a real one."""

    folder: str
    seed: int
    timeout: float
    policy: bool = True
    look_every: float = part.LOOK_EVERY
    tiers: str = ""
    hosts: list[tuple[str, int]] = []
    root: str = "/driftshed"
    expected: list[str] = []


class Frames:
    """Counts the messages in one direction of a stream: four bytes of length before each."""

    __slots__ = ("head", "skip")

    def __init__(self) -> None:
        self.head, self.skip = b"", 0

    def begun(self, data: bytes) -> int:
        """How many messages begin in these bytes."""
        found, at, size = 0, 0, len(data)
        while at < size:
            if self.skip:
                step = min(self.skip, size - at)
                self.skip -= step
                at += step
                continue
            part = data[at : at + 4 - len(self.head)]
            self.head += part
            at += len(part)
            if len(self.head) == 4:
                self.skip, self.head = int.from_bytes(self.head, "big"), b""
                found += 1
        return found


class Wire:
    """What passed between one start of a supervisor and one store."""

    __slots__ = ("out", "came", "sent", "got", "dialled")

    def __init__(self) -> None:
        self.out = self.came = self.sent = self.got = self.dialled = 0


class Seat:
    """The loop as one supervisor sees it: when it is ended, nothing of it is called any more. `cpu`: seconds of this
    thread's processor time in its calls."""

    def __init__(self, loop: Loop, on_error: Callable[[Exception], object]) -> None:
        self.loop, self.clock, self.on_error = loop, loop.clock, on_error
        self.ended, self.cpu, self.calls = False, 0.0, 0
        self.wires: dict[tuple[str, int], Wire] = {}
        self.streams: dict[Stream, None] = {}

    @property
    def now(self) -> float:
        return self.loop.now

    def _own(self, call: Callable[..., object]) -> Callable[..., None]:
        def run(*given: object) -> None:
            if self.ended:
                return
            self.calls += 1
            began = time.thread_time()
            try:
                call(*given)
            except Exception as error:
                self.on_error(error)
            self.cpu += time.thread_time() - began

        return run

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        return self.loop.at(when, self._own(call))

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        return self.loop.at(self.clock() + seconds, self._own(call))

    def soon(self, call: Callable[[], object]) -> None:
        self.loop.soon(self._own(call))

    def watch(self, sock: socket.socket, events: int, call: Callable[[int], object] | None) -> None:
        self.loop.watch(sock, events, call and self._own(call))

    def dial(self, loop: object, address: tuple[str, int]) -> Stream:
        """As `net.stream.dial`, counted."""
        wire = self.wires.setdefault(tuple(address), Wire())
        wire.dialled += 1
        out, came = Frames(), Frames()

        def tap(outward: bool, data: bytes) -> None:
            if not data:
                self.streams.pop(stream, None)
            elif outward:
                wire.out += len(data)
                wire.sent += out.begun(data)
            else:
                wire.came += len(data)
                wire.got += came.begun(data)

        stream = dial(self, address, tap=tap)
        self.streams[stream] = None
        return stream

    def end(self) -> None:
        """As SIGKILL does: the kernel closes its sockets, and it says nothing."""
        self.ended = True
        for stream in list(self.streams):
            stream.on_end = lambda reason: None
            stream.abort("killed")

    def agents(self) -> list:
        """Those that have a session now or are about to: by way of who hears what comes on its streams."""
        found = []
        for stream in self.streams:
            client = getattr(stream.on_data, "__self__", None)
            chair = getattr(getattr(client, "session", None), "on_event", None)
            agent = getattr(getattr(chair, "__self__", None), "agent", None)
            if agent is not None:
                found.append(agent)
        return found


class HollowInstance:
    """What taking part and the policy part touch of an instance; no module behind it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.facts, self.policy, self.faults, self.now = FACTS, 0, 0, now
        self.still: Callable[[], bool] = lambda: False
        self.switched: list[tuple[int, float]] = []  # version and when, seconds on the monotonic clock

    def check_switch(self, facts: object) -> str:
        return ""

    def switch(self, facts: object, policy: int, now: float) -> None:
        self.facts, self.policy = facts, policy
        self.switched.append((policy, self.now()))


class HollowService:
    """What taking part and the policy part touch of a service; it listens nowhere."""

    def __init__(self, instance: HollowInstance, address: tuple[str, int]) -> None:
        self.instance, self.address = instance, address
        self.living: Callable[[], list[str]] = lambda: []
        self.waits: Callable[[], str] = lambda: ""
        self.views: dict = {}
        self.actions: dict = {}
        self.polls: dict = {}

    def soon(self) -> None:
        """It has no turn."""


class Row(NamedTuple):
    """One supervisor in a report. `role`: 1 a member, 2 the speaker of its cell, 3 that of its region too. Counts are
    of this start. `ready_after`: seconds from its start until it could act, None before; `ready_bytes`: until then.
    `read_bytes`: until it had read roll and records; its older session may still have to lapse then."""

    name: str
    start: int
    role: int
    sessions: int
    out: int
    came: int
    sent: int
    got: int
    watches: int
    records: int
    roll: int
    version: int
    cpu: float
    ready_after: float | None
    ready_bytes: int
    ready_messages: int
    read_bytes: int
    read_messages: int


class Hollow:
    """One start of a hollow supervisor."""

    def __init__(self, worker: Worker, name: str, start: int) -> None:
        self.name, self.start, self.begun = name, start, time.monotonic()
        self.ready_at: float | None = None
        self.ready_bytes = self.ready_messages = self.read_bytes = self.read_messages = 0
        self.seat = seat = Seat(worker.loop, lambda error: worker.failed(name, error))
        self.instance = HollowInstance(time.monotonic)
        number = int("".join(filter(str.isdigit, name)) or 0)
        service = HollowService(
            self.instance, (f"127.{100 + number // 62500}.{number // 250 % 250}.{1 + number % 250}", 7000)
        )
        plan, tiers = worker.plan, {} if worker.tiers is None else {"tiers": worker.tiers}
        log = worker.logged
        self.agent = take_part(
            seat,
            service,
            plan.hosts,
            plan.root,
            name,
            ",".join(plan.expected),
            plan.timeout,
            log,
            seed=worker.random.getrandbits(48),
            dial=seat.dial,
            **tiers,
        )
        self.keep = self.part = None
        if plan.policy:
            self.keep = Keep(Path(plan.folder) / name, "fleet", name)
            self.part = PolicyPart(seat, service, self.agent, self.keep, log)

    def is_ready(self) -> bool:
        """Whether it may act on what was agreed, and goes by it."""
        acts = getattr(self.agent, "acts", self.agent.holds)
        if not acts() or not self.agent.records.whole or not self.agent.members.whole:
            return False
        return self.part is None or (self.part.known and not self.part._holds_still())

    def _passed(self) -> tuple[int, int]:
        """Bytes and messages so far."""
        wires = self.seat.wires.values()
        return sum(wire.out + wire.came for wire in wires), sum(wire.sent + wire.got for wire in wires)

    def look(self) -> None:
        if not self.read_bytes and self.agent.members.whole and self.agent.records.whole:
            self.read_bytes, self.read_messages = self._passed()
        if self.ready_at is None and self.is_ready():
            self.ready_at = time.monotonic()
            self.ready_bytes, self.ready_messages = self._passed()

    def runs(self) -> int:
        return self.instance.policy

    def at_version(self, version: int) -> float | None:
        """When it began to go by this version or a later one."""
        return next((at for number, at in self.instance.switched if number >= version), None)

    def kill(self) -> None:
        self.seat.end()
        if self.keep is not None:
            self.keep.close()

    def row(self) -> Row:
        wires, agents = self.seat.wires.values(), self.seat.agents()
        watched = sum(len(paths) for agent in agents for paths in agent.client.session.watched.values())
        after = None if self.ready_at is None else round(self.ready_at - self.begun, 3)
        role = 1 + sum(getattr(self.agent, part, None) is not None for part in ("for_cell", "for_region"))
        return Row(
            self.name,
            self.start,
            role,
            len(agents),
            sum(wire.out for wire in wires),
            sum(wire.came for wire in wires),
            sum(wire.sent for wire in wires),
            sum(wire.got for wire in wires),
            watched,
            sum(len(agent.topics) for agent in agents),
            sum(len(agent.roll.nodes) for agent in agents),
            self.runs(),
            round(self.seat.cpu, 6),
            after,
            self.ready_bytes,
            self.ready_messages,
            self.read_bytes,
            self.read_messages,
        )


class Worker:
    def __init__(self, plan: Plan, loop: Loop, sock: socket.socket) -> None:
        self.plan, self.loop = plan, loop
        part.LOOK_EVERY = plan.look_every
        self.random = Random(f"hollow worker {plan.seed}")
        self.tiers = None
        if plan.tiers:
            from driftshed.coordination.tiers import read_tiers

            self.tiers = read_tiers(plan.tiers)
        self.living: dict[str, Hollow] = {}
        self.starts: Counter = Counter()
        self.gone: dict[tuple[str, int], list[int]] = {}  # of starts that are over: bytes and messages by store
        self.past_rows: list[tuple[float, int, int]] = []  # of starts that are over: how they became ready
        self.logs: Counter = Counter()
        self.errors: list[str] = []
        self.late: deque[float] = deque(maxlen=6000)  # seconds
        self.input = b""
        self.stream = Stream(loop, sock, MOST_OUT)
        self.stream.on_data, self.stream.on_end = self._data, lambda reason: loop.stop()
        loop.on_error = lambda error: self.failed("", error)
        self.due = loop.clock() + LOOK_EVERY
        loop.at(self.due, self._look)

    def failed(self, name: str, error: Exception) -> None:
        self.logs["raised"] += 1
        if len(self.errors) < MOST_ERRORS:
            trace, where = error.__traceback__, ""
            while trace is not None:
                where = f"{Path(trace.tb_frame.f_code.co_filename).name}:{trace.tb_lineno}"
                trace = trace.tb_next
            self.errors.append(f"{name}: {type(error).__name__}: {error} at {where}")

    def logged(self, event: str, **fields: object) -> None:
        self.logs[event] += 1
        # One that speaks for a cell or a region is fenced by the next one by design; that a supervisor itself is fenced
        # is told by `do_look`.
        if fields.get("level") == "error" and event != "fenced" and len(self.errors) < MOST_ERRORS:
            self.errors.append(f"{event} {fields}")

    def _look(self) -> None:
        now = self.loop.clock()
        self.late.append(now - self.due)
        for hollow in self.living.values():
            if hollow.ready_at is None:
                hollow.look()
        self.due = now + LOOK_EVERY
        self.loop.at(self.due, self._look)

    # ---- commands ---------------------------------------------------------------------------------------------

    def _data(self, data: bytes) -> None:
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            command = msgspec.json.decode(line)
            answer = getattr(self, f"do_{command.pop('do')}")(**command)
            self.stream.write(json.dumps(answer).encode() + b"\n")

    def _start(self, name: str) -> None:
        if name not in self.living:
            self.starts[name] += 1
            self.living[name] = Hollow(self, name, self.starts[name])

    def do_start(self, names: list[str], within: float) -> dict:
        """Starts these, each at a drawn moment within so many seconds."""
        for name in names:
            self.loop.after(self.random.uniform(0, within), lambda name=name: self._start(name))
        return {}

    def do_kill(self, name: str, again: float | None) -> dict:
        """As SIGKILL does; started `again` after so many seconds, or not."""
        hollow = self.living.pop(name, None)
        if hollow is None:
            return {"killed": False}
        hollow.kill()
        for address, wire in hollow.seat.wires.items():
            sums = self.gone.setdefault(address, [0, 0, 0, 0])
            for k, value in enumerate((wire.out, wire.came, wire.sent, wire.got)):
                sums[k] += value
        if hollow.ready_at is not None:
            self.past_rows.append((hollow.ready_at - hollow.begun, hollow.ready_bytes, hollow.ready_messages))
        if again is not None:
            self.loop.after(again, lambda: self._start(name))
        return {"killed": True}

    def do_propose(self, name: str, text: str, patience: float) -> dict:
        hollow = self.living.get(name)
        if hollow is None or hollow.part is None:
            return {"refused": "it is not there"}
        at = time.monotonic()
        try:
            asked = hollow.part.ask(Asked("propose", "benchmark", text, patience=patience))
        except Refused as error:
            return {"refused": str(error)}
        return {"version": asked["version"], "at": at}

    def do_look(self, version: int = 0, asked: float = 0.0, by: str = "") -> dict:
        """How many live, are ready, were there when it was asked, and how many of these go by the version."""
        stayed = [hollow for hollow in self.living.values() if hollow.begun < asked]
        there = sum(hollow.runs() >= version for hollow in stayed)
        # Without `_holds_still`: who became ready stays counted; what holds still now is told apart.
        still = sum(bool(hollow.part and hollow.part.was_still) for hollow in self.living.values())
        fenced = sum(hollow.agent.chair.standing is Standing.FENCED for hollow in self.living.values())
        ready = sum(hollow.ready_at is not None for hollow in self.living.values())
        answer = {
            "living": len(self.living),
            "fenced": fenced,
            "ready": ready,
            "stayed": len(stayed),
            "there": there,
            "still": still,
            "errors": len(self.errors),
        }
        if by in self.living:
            mine = self.living[by].part.mine
            answer["mine"] = None if mine is None else [mine.state, mine.why]
        return answer

    def do_times(self, version: int, asked: float, until: float) -> dict:
        """Seconds from asking until it went by the version, of those that stayed; of those that were started
        meanwhile, from their start."""
        stayed, began, missing = [], [], []
        for hollow in self.living.values():
            at = hollow.at_version(version)
            if hollow.begun < asked:
                stayed.append(round(at - asked, 4)) if at is not None else missing.append(hollow.name)
            elif hollow.begun < until and at is not None:
                began.append(round(at - hollow.begun, 4))
        return {"stayed": stayed, "began": began, "missing": missing}

    def do_report(self) -> dict:
        stores: dict[tuple[str, int], list[int]] = {address: [*sums, 0] for address, sums in self.gone.items()}
        for hollow in self.living.values():
            for address, wire in hollow.seat.wires.items():
                sums = stores.setdefault(address, [0, 0, 0, 0, 0])
                for k, value in enumerate((wire.out, wire.came, wire.sent, wire.got)):
                    sums[k] += value
            for stream in hollow.seat.streams:
                stores[tuple(stream.peer)][4] += 1
        late, self.late = sorted(self.late), deque(maxlen=self.late.maxlen)
        times = os.times()
        return {
            "at": time.monotonic(),
            "pid": os.getpid(),
            "cpu": times.user + times.system,
            "rss": rss(os.getpid()),
            "most_rss": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
            "late_p50": late[len(late) // 2] if late else 0.0,
            "late_worst": late[-1] if late else 0.0,
            "stores": [[f"{host}:{port}", *sums] for (host, port), sums in sorted(stores.items())],
            "rows": [hollow.row() for hollow in self.living.values()],
            "past": self.past_rows,
            "logs": dict(self.logs),
            "errors": self.errors,
        }

    def do_end(self) -> dict:
        self.loop.soon(self.loop.stop)
        return {}


def rss(pid: int) -> int:
    """Bytes of memory that a process holds now; 0 of one that is gone."""
    try:
        status = Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0
    return int(status[1]) * os.sysconf("SC_PAGE_SIZE")


def main(arguments: list[str]) -> int:
    try:
        plan = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Plan)
    except (IndexError, OSError, msgspec.DecodeError) as error:
        print(f"worker: {error}; name the plan that the driver has written", file=sys.stderr)
        return 2
    try:
        sock = socket.socket(fileno=os.dup(0))
        sock.setblocking(False)
    except OSError as error:
        print(f"worker: {error}; its standard input is to be a socket: let the driver start it", file=sys.stderr)
        return 2
    loop = Loop()
    worker = Worker(plan, loop, sock)
    loop.run()
    for hollow in worker.living.values():
        hollow.kill()
    loop.close()
    return 0
