"""Measures the cost of one component in a process of its own: processor time, memory and bytes of the module, the core,
a proxy's tables, the stand-in store, a policy document or a view. Prints one JSON object:

    python -m benchmarks.capacity_process NAME SIZE...

Processor time is `time.process_time` of the measured work only. Memory of components is counted by `tracemalloc`,
memory of processes is their resident memory."""

from __future__ import annotations

import io
import json
import resource
import sys
import time
import tracemalloc
from random import Random

import msgspec
from click.testing import CliRunner

from benchmarks import events as module_events
from benchmarks.capacity_flat import member_names, policy_body
from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.coordination import agreement, command
from driftshed.coordination.agreement import RecordError
from driftshed.coordination.members import Member, MembershipView, decode_member, encode_member
from driftshed.coordination.view import to_plain_values
from driftshed.core.hub import Hub
from driftshed.core.messages import Changes, Level, Line, Use
from driftshed.policy import command as policy_command
from driftshed.policy import document as policies
from driftshed.proxy.tables import Tables
from driftshed.roster import jute
from driftshed.roster.store import Connection as StoreLine
from driftshed.roster.store import Store
from driftshed.roster.tree import Tree

CHANGES_DECODER = msgspec.json.Decoder(Changes)


class MemoryUse:
    """Context manager; `bytes` is the memory allocated inside and still in use at its end."""

    def __enter__(self) -> MemoryUse:
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(self, *_: object) -> None:
        self.bytes = tracemalloc.get_traced_memory()[0] - self.before
        tracemalloc.stop()


# ---- supervisor ----


def module(servers: int, proxies: int, seconds: float = 5.0) -> dict:
    """Processor time of the decision module; see `benchmarks/events.py`."""
    result = module_events.measure(servers, proxies, seconds)
    return {"cores": result["cores"], "batch_ms": result["worst_batch_ms"], "us_an_event": result["us_an_event"]}


def module_memory(servers: int, proxies: int, seconds: float = 2.0) -> dict:
    """Memory of the module once all proxies have joined and two seconds have passed."""
    with MemoryUse() as memory:
        brain = Brain(module_events.make_facts(proxies), 1, 100.0)
        for now, events in module_events.batches(servers, proxies, seconds, 100.0, lambda: brain):
            brain.handle(now, events)
        del events
    return {"module_memory": memory.bytes}


def dealt(servers: int, proxies: int = 64) -> dict:
    """What the module assigns to each proxy as all join: lines, and bytes of its full table."""
    facts = module_events.make_facts(proxies)
    brain, hub = Brain(facts, 1, 100.0), Hub(facts, "0123456789ab")
    records = [hub.join(p, p % 2, None, 0)[0] for p in range(proxies)]
    now = 100.0
    entries = tuple(
        face.Entry(module_events.server_address(n), n % 2, n // 2 % 2, None, 0, face.READY, 1.0) for n in range(servers)
    )
    hub.apply(brain.handle(now, [face.Listing(1, face.CACHED, entries)]), now)
    for first in range(0, proxies, 64):
        now += 0.02
        joins = [face.Joined(p % 2, True, p, 2.7) for p in range(first, min(proxies, first + 64))]
        hub.apply(brain.handle(now, joins), now)
    hub.release(1e9)
    bodies = [hub.update_body(record) or b"" for record in records]
    lines = [sum(key[0] == "line" for key in record.held) for record in records]
    return {
        "dealt_lines": sum(lines) / proxies,
        "dealt_bytes": sum(map(len, bodies)) / proxies,
        "tables": len(hub.tables),
    }


def fanout(servers: int, proxies: int, seconds: int = 30) -> dict:
    """Bytes and lines per second that the core sends to all proxies together, from 10 s after the start.
    A server is replaced every four seconds, a tenth of the reported calls fail, and latencies differ
    (`benchmarks/events.py`)."""
    brain = Brain(module_events.make_facts(proxies), 1, 100.0)
    hub = Hub(module_events.make_facts(proxies), "0123456789ab")
    sent = lines = 0
    for now, events in module_events.batches(servers, proxies, seconds, 100.0, lambda: brain):
        for event in events:
            if isinstance(event, face.Joined):
                hub.join(event.proxy, event.zone, None, 0)
        hub.apply(brain.handle(now, events), now)
        for record in hub.release(now):
            lines += sum(len(m.changes) for m in record.log if m.version > record.acked) if now > 110 else 0
            body = hub.update_body(record)
            sent += len(body or b"") if now > 110 else 0
            hub.ack(record, record.version, now)
    return {"fan_bytes_a_second": sent / (now - 110), "fan_lines_a_second": lines / (now - 110)}


def fill_one_table(hub: Hub, servers: int, proxies: int) -> list:
    """Joins the proxies to the hub and gives them one table of all servers; returns their records."""
    records = [hub.join(p, 0, None, 0)[0] for p in range(proxies)]
    weights = Random(1)
    lines = [face.SetLine(module_events.server_address(n), weights.uniform(0.5, 2), 0) for n in range(servers)]
    hub.apply([*lines, *(face.UseTable(0, 0, p) for p in range(proxies))], 0.0)
    hub.release(1e9)
    return records


def table(servers: int) -> dict:
    """Bytes of one table of all servers as the core sends it: the full snapshot, and one changed line."""
    hub = Hub(module_events.make_facts(64), "0123456789ab")
    record = fill_one_table(hub, servers, 1)[0]
    snapshot_bytes = len(hub.update_body(record))
    hub.ack(record, record.version, 1e9)
    hub.apply([face.SetLine(module_events.server_address(0), 1.25, 0)], 1e9)
    hub.release(2e9)
    return {"whole_bytes": snapshot_bytes, "delta_bytes": len(hub.update_body(record))}


def core(servers: int, proxies: int) -> dict:
    """Memory of the core when all its proxies use one table of all servers."""
    with MemoryUse() as memory:
        hub = Hub(module_events.make_facts(proxies), "0123456789ab")
        records = fill_one_table(hub, servers, proxies)
        for record in records:
            hub.ack(record, record.version, 1e9)
    return {"core_memory": memory.bytes, "core_memory_a_proxy": memory.bytes / proxies}


def make_view(count: int) -> MembershipView:
    """A membership view of `count` members that are present."""
    view = MembershipView(tuple(member_names(count)), 0.0)
    for k, name in enumerate(view.expected):
        view.nodes[f"{name}~1"] = _make_member(name, k)
        view.highest_incarnation[name] = 1
    return view


def _make_member(name: str, k: int):
    from driftshed.coordination.members import MemberNode

    return MemberNode(Member(name, f"127.0.{k >> 8}.{k & 255}:7000", "test", proxies=350, incarnation=1), k, 0.0)


def roll(count: int, seconds: float = 0.4) -> dict:
    """Processor time to process one update of a peer as `Agent` does: decode it, add it to the membership view, rebuild
    the addresses. `cores_of_words`: share of a core when each other supervisor sends one update per second."""
    view = make_view(count)
    data = encode_member(Member(view.expected[0], "127.0.0.1:7000", "test", proxies=351, incarnation=1))
    node, rounds, started_at = f"{view.expected[0]}~1", 0, time.process_time()
    while time.process_time() - started_at < seconds or rounds < 3:
        view.update_node(node, decode_member(node, data), 0, 1.0)
        view.addresses()
        rounds += 1
    seconds_per_update = (time.process_time() - started_at) / rounds
    return {"us_a_word": seconds_per_update * 1e6, "cores_of_words": seconds_per_update * (count - 1)}


def roll_memory(count: int) -> dict:
    """Memory of a membership view of `count` members that are present."""
    with MemoryUse() as memory:
        view = MembershipView(tuple(f"s{k:04}" for k in range(count)), 0.0)
        for k, name in enumerate(list(view.expected)):
            data = encode_member(Member(name, f"127.0.{k >> 8}.{k & 255}:7000", "test", proxies=350, incarnation=1))
            view.nodes[f"{name}~1"] = _make_member(name, k)._replace(member=decode_member(f"{name}~1", data))
            view.highest_incarnation[name] = 1
    return {"roll_memory": memory.bytes}


# ---- proxy ----


def _full_snapshot(servers: int, operations: int) -> Changes:
    weights = Random(1)
    changes = [Use(k, 0) for k in range(operations)]
    changes += [Line(0, f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000", weights.uniform(0.5, 2)) for n in range(servers)]
    changes += [Level(0, k, 0.5, 1) for k in range(operations)]
    return Changes("0123456789ab", 0, 1, True, changes)


def proxy_tables(servers: int, operations: int = 4) -> dict:
    """A proxy's memory for one table of this many servers, its bytes, and the time to apply it as a full snapshot."""
    body = msgspec.json.encode(_full_snapshot(servers, operations))
    with MemoryUse() as memory:
        tables = Tables(operations, "two", "share", 1, [], Random(1))
        tables.run = "0123456789ab"
        tables.apply(CHANGES_DECODER.decode(body), 0.0)
    started_at, rounds = time.process_time(), 0
    while time.process_time() - started_at < 0.3 or rounds < 3:
        fresh = Tables(operations, "two", "share", 1, [], Random(1))
        fresh.run = "0123456789ab"
        fresh.apply(CHANGES_DECODER.decode(body), 0.0)
        rounds += 1
    seconds_per_snapshot = (time.process_time() - started_at) / rounds
    return {"proxy_memory": memory.bytes, "proxy_whole_bytes": len(body), "proxy_take_ms": seconds_per_snapshot * 1e3}


# ---- stand-in store ----


class NullLog:
    """Replaces the log, so that only the memory of the store's state is measured."""

    def __init__(self) -> None:
        """Starts with an empty tree."""
        self.tree = Tree()

    def add(self, *_: object) -> None:
        """Discards the entry."""
        pass

    sync = close = add


def _store(sessions: int) -> tuple[Store, list[StoreLine]]:
    store, lines = Store(NullLog(), 1, 0.0), []
    for _ in range(sessions):
        line = StoreLine()
        store.receive(line, jute.write_connect_request(jute.ConnectRequest(0, 10_000, 0, bytes(16))), 0.0)
        line.output = bytearray()
        lines.append(line)
    return store, lines


def _execute(store: Store, line: StoreLine, request: object) -> None:
    store.receive(line, jute.write_request(1, request), 0.0)
    line.output = bytearray()


def store_sessions(count: int) -> dict:
    """Memory of a store with this many sessions."""
    with MemoryUse() as memory:
        store_and_lines = _store(count)
    assert len(store_and_lines[0].tree.sessions) == count
    return {"store_session_memory": memory.bytes}


def store_nodes(count: int) -> dict:
    """Memory of a store with this many members' nodes."""
    store, lines = _store(1)
    _execute(store, lines[0], jute.Create("/m", b""))
    with MemoryUse() as memory:
        for k in range(count):
            data = encode_member(Member(f"s{k:04}", "127.0.0.1:7000", "test", proxies=350, incarnation=1))
            _execute(store, lines[0], jute.Create(f"/m/s{k:04}~1", data, jute.EPHEMERAL))
    assert len(store.tree.nodes) == count + 2
    return {"store_node_memory": memory.bytes}


def store_fleet(count: int) -> dict:
    """Memory per watch of a store for a flat fleet: each member has a session and a node and watches all nodes."""
    with MemoryUse() as memory:
        store, lines = _store(count)
        _execute(store, lines[0], jute.Create("/m", b""))
        for k, line in enumerate(lines):
            _execute(store, line, jute.Create(f"/m/s{k:04}~1", b"{}", jute.EPHEMERAL))
        for line in lines:
            for k in range(count):
                _execute(store, line, jute.GetData(f"/m/s{k:04}~1", True))
    assert sum(len(each.data_watches) for each in store.tree.sessions.values()) == count * count
    return {"store_watch_memory": memory.bytes / count**2}


def store_rest(count: int, seconds: float = 5.0) -> dict:
    """The store's share of a core and resident memory (bytes) for this many sessions that only ping, over sockets."""
    from benchmarks.roster import RosterClient, SessionState, Testbed

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    testbed = Testbed()
    try:
        empty_mib = testbed.memory(testbed.store)
        clients = [
            RosterClient(testbed.loop, [testbed.address], 10.0, Random(k), lambda state: None, lambda event: None)
            for k in range(count)
        ]
        testbed.until(lambda: all(each.session.state is SessionState.CONNECTED for each in clients), 60.0)
        cpu_before, started_at = testbed.cpu(testbed.store), time.monotonic()
        testbed.loop.run(testbed.loop.clock() + seconds)
        return {
            "store_rest_cores": (testbed.cpu(testbed.store) - cpu_before) / (time.monotonic() - started_at),
            "store_rest_memory": (testbed.memory(testbed.store) - empty_mib) * 2**20,
        }
    finally:
        testbed.close()


# ---- supervisor process ----


def supervisor(servers: int, proxies: int, seconds: float = 4.0) -> dict:
    """A supervisor process over sockets; its proxies are in this process, and each reports once a second."""
    from benchmarks import scale

    process = scale.Supervisor(servers, proxies)
    try:
        fleet = scale.Fleet(process, servers, proxies)
        fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
        fleet.wait(2.0)
        idle = fleet.measure(seconds)
        return {"process_cores": idle["cpu_a_second"], "process_memory": process.memory("VmHWM")}
    finally:
        process.kill()


# ---- documents and views ----


def document(operations: int) -> dict:
    """A policy of this many operations: bytes of its canonical text, and the time to parse and check it."""
    rows = [f"operation-{k:02}:objective=0.5,timeout=1.5,value=1,effect=idempotent" for k in range(operations)]
    policy = policies.from_flags({"zones": "east,west", "proxies": 350, "queue-cap": 4000}, rows)
    text, rounds, started_at = policies.canonical(policy), 0, time.process_time()
    while time.process_time() - started_at < 0.3 or rounds < 3:
        policies.unsatisfiable_requirements(policies.parse_canonical(text))
        rounds += 1
    return {"document_bytes": len(text), "document_ms": (time.process_time() - started_at) / rounds * 1e3}


def operations_refused_at() -> int:
    """The smallest number of operations that a document may not have."""
    for count in range(1, 1000):
        try:
            policies.from_flags({}, [f"o{k:03}:objective=0.5,timeout=1.5,value=1" for k in range(count)])
        except policies.BadDocument:
            return count
    raise AssertionError("documents accept any number of operations")


def text_refused_at() -> dict:
    """The smallest size of a policy's text (quotes escaped, as in a canonical text) whose record cannot be opened, and
    the smallest whose open record cannot be committed: a committed record contains the text twice."""
    policy_text = policy_body()["text"]

    def record(size: int) -> agreement.Record:
        text = (policy_text * (size // len(policy_text) + 1))[:size]
        return agreement.proposed_record(
            None,
            "policy",
            1,
            "s0000",
            "s0000~0123456789ab#1",
            policy_body() | {"text": text},
            tuple(member_names(64)),
            64,
            10.0,
        )

    def refuses(transition, size: int) -> bool:
        try:
            agreement.encode(transition(record(size)))
        except RecordError:
            return True
        return False

    limits = {}
    for name, transition in (("open", lambda opened: opened), ("settled", agreement.committed)):
        low, high = 1, 10 * agreement.MAX_RECORD_BYTES
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (low, middle) if refuses(transition, middle) else (middle, high)
        limits[f"text_refused_{name}"] = high
    return limits


def _seconds_per_call(call) -> float:
    started_at, rounds = time.process_time(), 0
    while time.process_time() - started_at < 0.3 or rounds < 3:
        call()
        rounds += 1
    return (time.process_time() - started_at) / rounds


def fleet_view(count: int) -> dict:
    """`driftshed fleet --supervisor`: bytes of the API's answer and of the printed text, and the time to print it."""
    membership = make_view(count)
    rows = [row._asdict() for row in membership.rows(600.0)]
    view = to_plain_values(
        {
            "by": "s0000",
            "incarnation": 1,
            "standing": "listed",
            "lease": 1.8,
            "order": membership.order(),
            "members": rows,
            "records": [],
            "written": 3,
            "not_believed": 0,
        }
    )
    body, text = msgspec.json.encode(view), _captured_output(lambda: command._print_fleet(view))
    return {
        "fleet_api_bytes": len(body),
        "fleet_text_bytes": len(text),
        "fleet_print_ms": _seconds_per_call(lambda: _captured_output(lambda: command._print_fleet(view))) * 1e3,
    }


def _captured_output(call) -> str:
    stdout, sys.stdout = sys.stdout, io.StringIO()
    try:
        call()
        return sys.stdout.getvalue()
    finally:
        sys.stdout = stdout


def policy_view(count: int) -> dict:
    """`driftshed policy show`: bytes of the API's answer and of the output; an open change lacks half its votes."""
    body = policy_body()
    missing = member_names(count)[: count // 2]
    view = to_plain_values(
        {
            "by": "s0000",
            "runs": 1,
            "holds_still": False,
            "cannot": "",
            "known": True,
            "standing": body,
            "open": {"epoch": 2, "by": "s0000", "missing": missing, "words": []},
            "next": None,
            "last_proposal": None,
            "everywhere_within": 2.6,
            "members": {name: ["living", 1] for name in member_names(count)},
            "history": [],
        }
    )
    original_ask, policy_command.query = policy_command.query, lambda *_: view
    try:
        text = CliRunner().invoke(policy_command.show, ["--supervisor", "127.0.0.1:7001"]).output
    finally:
        policy_command.query = original_ask
    return {"policy_api_bytes": len(msgspec.json.encode(view)), "policy_text_bytes": len(text)}


def main() -> None:
    """Calls the measurement named by the first argument with the sizes that follow."""
    name, sizes = sys.argv[1], [int(each) for each in sys.argv[2:]]
    measures = {
        each.__name__: each
        for each in (
            module,
            module_memory,
            dealt,
            fanout,
            table,
            core,
            roll,
            roll_memory,
            proxy_tables,
            store_sessions,
            store_nodes,
            store_fleet,
            store_rest,
            supervisor,
            document,
            fleet_view,
            policy_view,
        )
    }
    if name not in measures:
        raise SystemExit(f"{name}: no such measure; there is {', '.join(measures)}")
    print(json.dumps(measures[name](*sizes)))


if __name__ == "__main__":
    main()
