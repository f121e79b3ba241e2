"""A process with many hollow supervisors. Each has the real agent with its sessions, membership view, records, lease
and policy part over real sockets, but no module, no proxies and no HTTP listener. Commands arrive as JSON lines on the
socket that is the process's standard input; answers are sent on the same socket."""

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

from driftshed.coordination.participation import join_fleet
from driftshed.core.hub import Refused
from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Stream, dial
from driftshed.policy import document as policies
from driftshed.policy import participant
from driftshed.policy.participant import PolicyParticipant, PolicyRequest
from driftshed.policy.store import PolicyStore
from driftshed.roster.announce import RegistrationState

POLICY_TEXT = """
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
AHEAD_S, DESPITE_AFTER_S = 0.3, 3.0
FACTS = policies.start_facts(
    policies.read_toml(POLICY_TEXT.format(ahead=AHEAD_S, despite_after=DESPITE_AFTER_S, grace=2.5))
)
POLL_PERIOD_S = 0.1  # between polls of readiness and of the loop's lateness
MAX_UNREAD_BYTES = 64 << 20  # of answers, by the driver
MAX_ERRORS = 20  # kept per process


def policy_text(grace: float) -> str:
    """A policy document; `grace`, its drain-grace in seconds, distinguishes versions."""
    return POLICY_TEXT.format(ahead=AHEAD_S, despite_after=DESPITE_AFTER_S, grace=round(grace, 3))


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration of a worker. `tiers`: the text of a tiers file; if empty, all supervisors form one flat fleet
    of `expected` at `hosts`. `policy`: whether they have a policy part; `look_every`: its polling period in seconds,
    0.1 in a real supervisor. `timeout`: of sessions, in seconds. `folder`: holds the policy stores."""

    folder: str
    seed: int
    timeout: float
    policy: bool = True
    look_every: float = participant.CHECK_INTERVAL_S
    tiers: str = ""
    hosts: list[tuple[str, int]] = []
    root: str = "/driftshed"
    expected: list[str] = []


class MessageCounter:
    """Counts messages in one direction of a stream; each has a four-byte length prefix."""

    __slots__ = ("header", "remaining")

    def __init__(self) -> None:
        """Starts at a message boundary."""
        self.header, self.remaining = b"", 0

    def count_starts(self, data: bytes) -> int:
        """The number of messages whose length prefix ends in these bytes."""
        count, at, size = 0, 0, len(data)
        while at < size:
            if self.remaining:
                step = min(self.remaining, size - at)
                self.remaining -= step
                at += step
                continue
            part = data[at : at + 4 - len(self.header)]
            self.header += part
            at += len(part)
            if len(self.header) == 4:
                self.remaining, self.header = int.from_bytes(self.header, "big"), b""
                count += 1
        return count


class Traffic:
    """Bytes, messages and connection attempts between one start of a supervisor and one store."""

    __slots__ = ("bytes_out", "bytes_in", "messages_out", "messages_in", "dials")

    def __init__(self) -> None:
        """Starts at zero."""
        self.bytes_out = self.bytes_in = self.messages_out = self.messages_in = self.dials = 0


class LoopHandle:
    """One supervisor's handle of the shared loop. Once it is ended, none of its callbacks run. `cpu`: seconds of this
    thread's processor time spent in its callbacks; `calls`: their number."""

    def __init__(self, loop: Loop, on_error: Callable[[Exception], object]) -> None:
        """`on_error` receives exceptions of callbacks."""
        self.loop, self.clock, self.on_error = loop, loop.clock, on_error
        self.ended, self.cpu, self.calls = False, 0.0, 0
        self.traffic_by_store: dict[tuple[str, int], Traffic] = {}
        self.streams: dict[Stream, None] = {}

    @property
    def now(self) -> float:
        """Seconds on the loop's clock, as of this turn."""
        return self.loop.now

    def _guarded(self, call: Callable[..., object]) -> Callable[..., None]:
        def run(*arguments: object) -> None:
            if self.ended:
                return
            self.calls += 1
            started_at = time.thread_time()
            try:
                call(*arguments)
            except Exception as error:
                self.on_error(error)
            self.cpu += time.thread_time() - started_at

        return run

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Calls `call` at a time on the loop's clock, unless ended by then."""
        return self.loop.at(when, self._guarded(call))

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Calls `call` after `seconds`, unless ended by then."""
        return self.loop.at(self.clock() + seconds, self._guarded(call))

    def soon(self, call: Callable[[], object]) -> None:
        """Calls `call` in the next turn, unless ended by then."""
        self.loop.soon(self._guarded(call))

    def watch(self, sock: socket.socket, events: int, call: Callable[[int], object] | None) -> None:
        """Calls `call` on these events of the socket; None stops watching."""
        self.loop.watch(sock, events, call and self._guarded(call))

    def dial(self, loop: object, address: tuple[str, int]) -> Stream:
        """Like `net.stream.dial`, with its traffic counted by store."""
        traffic = self.traffic_by_store.setdefault(tuple(address), Traffic())
        traffic.dials += 1
        outbound, inbound = MessageCounter(), MessageCounter()

        def tap(is_outbound: bool, data: bytes) -> None:
            if not data:
                self.streams.pop(stream, None)
            elif is_outbound:
                traffic.bytes_out += len(data)
                traffic.messages_out += outbound.count_starts(data)
            else:
                traffic.bytes_in += len(data)
                traffic.messages_in += inbound.count_starts(data)

        stream = dial(self, address, tap=tap)
        self.streams[stream] = None
        return stream

    def end(self) -> None:
        """Simulates SIGKILL: the sockets are closed, and no callback runs and no message is sent any more."""
        self.ended = True
        for stream in list(self.streams):
            stream.on_end = lambda reason: None
            stream.abort("killed")

    def agents(self) -> list:
        """The agents that have a session or are connecting, found through the receivers of this handle's streams."""
        agents = []
        for stream in self.streams:
            client = getattr(stream.on_data, "__self__", None)
            on_event = getattr(getattr(client, "session", None), "on_event", None)
            agent = getattr(getattr(on_event, "__self__", None), "agent", None)
            if agent is not None:
                agents.append(agent)
        return agents


class HollowInstance:
    """The part of an instance that fleet participation and the policy part use; it has no module."""

    def __init__(self, now: Callable[[], float]) -> None:
        """`now` gives the time at which switches are recorded."""
        self.facts, self.policy, self.faults, self.now = FACTS, 0, 0, now
        self.tables_frozen: Callable[[], bool] = lambda: False
        self.switched: list[tuple[int, float]] = []  # version and time, in seconds of the monotonic clock

    def check_switch(self, facts: object) -> str:
        """Accepts every policy."""
        return ""

    def switch(self, facts: object, policy: int, now: float) -> None:
        """Records the version and the time of the switch."""
        self.facts, self.policy = facts, policy
        self.switched.append((policy, self.now()))


class HollowService:
    """The part of a service that fleet participation and the policy part use; it has no listener."""

    def __init__(self, instance: HollowInstance, address: tuple[str, int]) -> None:
        """`address` is published, but nothing listens there."""
        self.instance, self.address = instance, address
        self.live_supervisors: Callable[[], list[str]] = lambda: []
        self.not_ready_reason: Callable[[], str] = lambda: ""
        self.views: dict = {}
        self.actions: dict = {}
        self.streams: dict = {}

    def schedule_turn(self) -> None:
        """Does nothing: there is no listener to wake."""


class Row(NamedTuple):
    """One supervisor in a report. `role`: 1 a member, 2 also the delegate of its cell, 3 also that of its region.
    Counts cover this start. `ready_after`: seconds from the start until it could act, None before that; `ready_bytes`:
    until then. `read_bytes`: until it had read members and records; its previous session may still be open then."""

    name: str
    start: int
    role: int
    sessions: int
    bytes_out: int
    bytes_in: int
    messages_out: int
    messages_in: int
    watches: int
    records: int
    known_members: int
    version: int
    cpu: float
    ready_after: float | None
    ready_bytes: int
    ready_messages: int
    read_bytes: int
    read_messages: int


class HollowSupervisor:
    """One start of a hollow supervisor."""

    def __init__(self, worker: Worker, name: str, start: int) -> None:
        """Starts the agent and, if the plan asks for it, the policy part."""
        self.name, self.start, self.started_at = name, start, time.monotonic()
        self.ready_at: float | None = None
        self.ready_bytes = self.ready_messages = self.read_bytes = self.read_messages = 0
        self.seat = seat = LoopHandle(worker.loop, lambda error: worker.record_error(name, error))
        self.instance = HollowInstance(time.monotonic)
        number = int("".join(filter(str.isdigit, name)) or 0)
        service = HollowService(
            self.instance, (f"127.{100 + number // 62500}.{number // 250 % 250}.{1 + number % 250}", 7000)
        )
        plan, tiers = worker.plan, {} if worker.tiers is None else {"tiers": worker.tiers}
        log = worker.count_log
        self.agent = join_fleet(
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
        self.policy_store = self.policy_participant = None
        if plan.policy:
            self.policy_store = PolicyStore(Path(plan.folder) / name, "fleet", name)
            self.policy_participant = PolicyParticipant(seat, service, self.agent, self.policy_store, log)

    def is_ready(self) -> bool:
        """Whether it may act, has read members and records, and follows a policy in force."""
        acts = getattr(self.agent, "may_act", self.agent.holds_lease)
        if not acts() or not self.agent.records.complete or not self.agent.members.complete:
            return False
        return self.policy_participant is None or (
            self.policy_participant.initial_read_complete and not self.policy_participant._tables_frozen()
        )

    def _traffic_so_far(self) -> tuple[int, int]:
        """Bytes and messages of all stores so far."""
        traffic_by_store = self.seat.traffic_by_store.values()
        return sum(traffic.bytes_out + traffic.bytes_in for traffic in traffic_by_store), sum(
            traffic.messages_out + traffic.messages_in for traffic in traffic_by_store
        )

    def poll(self) -> None:
        """Records when the supervisor has read members and records, and when it became ready."""
        if not self.read_bytes and self.agent.members.complete and self.agent.records.complete:
            self.read_bytes, self.read_messages = self._traffic_so_far()
        if self.ready_at is None and self.is_ready():
            self.ready_at = time.monotonic()
            self.ready_bytes, self.ready_messages = self._traffic_so_far()

    def active_version(self) -> int:
        """The version of the policy that it runs; 0 without one."""
        return self.instance.policy

    def switched_at(self, version: int) -> float | None:
        """When it switched to this version or a later one; None if it has not."""
        return next((at for number, at in self.instance.switched if number >= version), None)

    def kill(self) -> None:
        """Ends it as SIGKILL does and closes its policy store."""
        self.seat.end()
        if self.policy_store is not None:
            self.policy_store.close()

    def make_row(self) -> Row:
        """Its row of a report."""
        traffic_by_store, agents = self.seat.traffic_by_store.values(), self.seat.agents()
        watches = sum(len(paths) for agent in agents for paths in agent.client.session.watches.values())
        ready_after = None if self.ready_at is None else round(self.ready_at - self.started_at, 3)
        role = 1 + sum(getattr(self.agent, attribute, None) is not None for attribute in ("for_cell", "for_region"))
        return Row(
            self.name,
            self.start,
            role,
            len(agents),
            sum(traffic.bytes_out for traffic in traffic_by_store),
            sum(traffic.bytes_in for traffic in traffic_by_store),
            sum(traffic.messages_out for traffic in traffic_by_store),
            sum(traffic.messages_in for traffic in traffic_by_store),
            watches,
            sum(len(agent.topics) for agent in agents),
            sum(len(agent.membership.nodes) for agent in agents),
            self.active_version(),
            round(self.seat.cpu, 6),
            ready_after,
            self.ready_bytes,
            self.ready_messages,
            self.read_bytes,
            self.read_messages,
        )


class Worker:
    """Executes the driver's commands on the supervisors of this process; each `do_` method is a command."""

    def __init__(self, plan: Plan, loop: Loop, sock: socket.socket) -> None:
        """Reads commands from `sock` and polls the supervisors every POLL_PERIOD_S."""
        self.plan, self.loop = plan, loop
        participant.CHECK_INTERVAL_S = plan.look_every
        self.random = Random(f"hollow worker {plan.seed}")
        self.tiers = None
        if plan.tiers:
            from driftshed.coordination.hierarchy import read_hierarchy

            self.tiers = read_hierarchy(plan.tiers)
        self.living: dict[str, HollowSupervisor] = {}
        self.starts: Counter = Counter()
        # Of ended starts, by store: bytes out and in, messages out and in.
        self.past_traffic: dict[tuple[str, int], list[int]] = {}
        self.past_starts: list[tuple[float, int, int]] = []  # ready_after, ready_bytes, ready_messages of ended starts
        self.logs: Counter = Counter()
        self.errors: list[str] = []
        self.lateness: deque[float] = deque(maxlen=6000)  # in seconds
        self.input = b""
        self.stream = Stream(loop, sock, MAX_UNREAD_BYTES)
        self.stream.on_data, self.stream.on_end = self._receive, lambda reason: loop.stop()
        loop.on_error = lambda error: self.record_error("", error)
        self.next_poll_at = loop.clock() + POLL_PERIOD_S
        loop.at(self.next_poll_at, self._poll)

    def record_error(self, name: str, error: Exception) -> None:
        """Counts an exception and keeps its text with the innermost source line."""
        self.logs["raised"] += 1
        if len(self.errors) < MAX_ERRORS:
            traceback, location = error.__traceback__, ""
            while traceback is not None:
                location = f"{Path(traceback.tb_frame.f_code.co_filename).name}:{traceback.tb_lineno}"
                traceback = traceback.tb_next
            self.errors.append(f"{name}: {type(error).__name__}: {error} at {location}")

    def count_log(self, event: str, **fields: object) -> None:
        """Counts a log event and keeps the text of errors."""
        self.logs[event] += 1
        # The delegate of a cell or region is fenced by its successor by design. `do_look` counts supervisors that are
        # fenced themselves.
        if fields.get("level") == "error" and event != "fenced" and len(self.errors) < MAX_ERRORS:
            self.errors.append(f"{event} {fields}")

    def _poll(self) -> None:
        now = self.loop.clock()
        self.lateness.append(now - self.next_poll_at)
        for supervisor in self.living.values():
            if supervisor.ready_at is None:
                supervisor.poll()
        self.next_poll_at = now + POLL_PERIOD_S
        self.loop.at(self.next_poll_at, self._poll)

    # ---- commands ----

    def _receive(self, data: bytes) -> None:
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            command = msgspec.json.decode(line)
            answer = getattr(self, f"do_{command.pop('do')}")(**command)
            self.stream.write(json.dumps(answer).encode() + b"\n")

    def _start(self, name: str) -> None:
        if name not in self.living:
            self.starts[name] += 1
            self.living[name] = HollowSupervisor(self, name, self.starts[name])

    def do_start(self, names: list[str], within: float) -> dict:
        """Starts these supervisors, each at a random time within `within` seconds."""
        for name in names:
            self.loop.after(self.random.uniform(0, within), lambda name=name: self._start(name))
        return {}

    def do_kill(self, name: str, again: float | None) -> dict:
        """Kills a supervisor as SIGKILL does; it restarts after `again` seconds, or not at all if None."""
        supervisor = self.living.pop(name, None)
        if supervisor is None:
            return {"killed": False}
        supervisor.kill()
        for address, traffic in supervisor.seat.traffic_by_store.items():
            sums = self.past_traffic.setdefault(address, [0, 0, 0, 0])
            for k, value in enumerate((traffic.bytes_out, traffic.bytes_in, traffic.messages_out, traffic.messages_in)):
                sums[k] += value
        if supervisor.ready_at is not None:
            self.past_starts.append(
                (supervisor.ready_at - supervisor.started_at, supervisor.ready_bytes, supervisor.ready_messages)
            )
        if again is not None:
            self.loop.after(again, lambda: self._start(name))
        return {"killed": True}

    def do_propose(self, name: str, text: str, patience: float) -> dict:
        """Proposes a policy at a supervisor; answers its version and the time, or why it was refused."""
        supervisor = self.living.get(name)
        if supervisor is None or supervisor.policy_participant is None:
            return {"refused": "it is not there"}
        proposed_at = time.monotonic()
        try:
            answer = supervisor.policy_participant.handle_request(
                PolicyRequest("propose", "benchmark", text, patience=patience)
            )
        except Refused as error:
            return {"refused": str(error)}
        return {"version": answer["version"], "at": proposed_at}

    def do_look(self, version: int = 0, asked: float = 0.0, by: str = "") -> dict:
        """Counts living and ready supervisors, those started before `asked`, and those of the latter at `version` or
        later.

        `by`: the proposer, whose proposal's state is added as `mine`. Times are on the monotonic clock."""
        stayed = [supervisor for supervisor in self.living.values() if supervisor.started_at < asked]
        switched = sum(supervisor.active_version() >= version for supervisor in stayed)
        # `ready` ignores `_tables_frozen`: a supervisor stays counted as ready; paused updates are counted as `still`.
        frozen = sum(
            bool(supervisor.policy_participant and supervisor.policy_participant.was_frozen)
            for supervisor in self.living.values()
        )
        fenced = sum(
            supervisor.agent.registration.state is RegistrationState.FENCED for supervisor in self.living.values()
        )
        ready = sum(supervisor.ready_at is not None for supervisor in self.living.values())
        answer = {
            "living": len(self.living),
            "fenced": fenced,
            "ready": ready,
            "stayed": len(stayed),
            "there": switched,
            "still": frozen,
            "errors": len(self.errors),
        }
        if by in self.living:
            proposal = self.living[by].policy_participant.proposal
            answer["mine"] = None if proposal is None else [proposal.state, proposal.why]
        return answer

    def do_times(self, version: int, asked: float, until: float) -> dict:
        """Seconds until each supervisor switched to `version`: from `asked` for those started before it, from their own
        start for those started between `asked` and `until`."""
        stayed, started, missing = [], [], []
        for supervisor in self.living.values():
            switched_at = supervisor.switched_at(version)
            if supervisor.started_at < asked:
                stayed.append(round(switched_at - asked, 4)) if switched_at is not None else missing.append(
                    supervisor.name
                )
            elif supervisor.started_at < until and switched_at is not None:
                started.append(round(switched_at - supervisor.started_at, 4))
        return {"stayed": stayed, "began": started, "missing": missing}

    def do_report(self) -> dict:
        """Counts by store and by supervisor, processor time, memory, lateness since the last report, and errors."""
        stores: dict[tuple[str, int], list[int]] = {address: [*sums, 0] for address, sums in self.past_traffic.items()}
        for supervisor in self.living.values():
            for address, traffic in supervisor.seat.traffic_by_store.items():
                sums = stores.setdefault(address, [0, 0, 0, 0, 0])
                for k, value in enumerate(
                    (traffic.bytes_out, traffic.bytes_in, traffic.messages_out, traffic.messages_in)
                ):
                    sums[k] += value
            for stream in supervisor.seat.streams:
                stores[tuple(stream.peer)][4] += 1
        lateness, self.lateness = sorted(self.lateness), deque(maxlen=self.lateness.maxlen)
        times = os.times()
        return {
            "at": time.monotonic(),
            "pid": os.getpid(),
            "cpu": times.user + times.system,
            "rss": resident_bytes(os.getpid()),
            "most_rss": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
            "late_p50": lateness[len(lateness) // 2] if lateness else 0.0,
            "late_worst": lateness[-1] if lateness else 0.0,
            "stores": [[f"{host}:{port}", *sums] for (host, port), sums in sorted(stores.items())],
            "rows": [supervisor.make_row() for supervisor in self.living.values()],
            "past": self.past_starts,
            "logs": dict(self.logs),
            "errors": self.errors,
        }

    def do_end(self) -> dict:
        """Stops the loop."""
        self.loop.soon(self.loop.stop)
        return {}


def resident_bytes(pid: int) -> int:
    """Resident memory of a process in bytes; 0 if it does not exist."""
    try:
        status = Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0
    return int(status[1]) * os.sysconf("SC_PAGE_SIZE")


def main(arguments: list[str]) -> int:
    """Runs a worker with the plan at this path; returns the exit code."""
    try:
        plan = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Plan)
    except (IndexError, OSError, msgspec.DecodeError) as error:
        print(f"worker: {error}; expected the path of a plan written by the driver", file=sys.stderr)
        return 2
    try:
        sock = socket.socket(fileno=os.dup(0))
        sock.setblocking(False)
    except OSError as error:
        print(f"worker: {error}; standard input must be a socket; the driver starts workers", file=sys.stderr)
        return 2
    loop = Loop()
    worker = Worker(plan, loop, sock)
    loop.run()
    for supervisor in worker.living.values():
        supervisor.kill()
    loop.close()
    return 0
