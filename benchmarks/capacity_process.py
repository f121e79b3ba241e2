"""What one process costs by its size: processor time, memory and bytes of the module, the core, a proxy's tables, the
stand-in store, a document, a view. Each run is a process of its own that prints one JSON object:

    python -m benchmarks.capacity_process NAME SIZE...

Processor time is `time.process_time` of the work alone; memory of parts is counted by `tracemalloc`, of processes as
resident."""

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
from benchmarks.capacity_flat import names, policy_body
from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.coordination import agreement, command
from driftshed.coordination.agreement import Barred
from driftshed.coordination.members import Member, Roll, read_member, write_member
from driftshed.coordination.view import plain
from driftshed.core.hub import Hub
from driftshed.core.messages import Changes, Level, Line, Use
from driftshed.policy import command as policy_command
from driftshed.policy import document as policies
from driftshed.proxy.tables import Tables
from driftshed.roster import jute
from driftshed.roster.store import Line as StoreLine
from driftshed.roster.store import Store
from driftshed.roster.tree import Tree

CHANGES = msgspec.json.Decoder(Changes)


class Held:
    """Bytes that what is made inside holds."""

    def __enter__(self) -> Held:
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(self, *_: object) -> None:
        self.bytes = tracemalloc.get_traced_memory()[0] - self.before
        tracemalloc.stop()


# ---- supervisor -----------------------------------------------------------------------------------------------


def module(servers: int, proxies: int, seconds: float = 5.0) -> dict:
    """The module alone: see `benchmarks/events.py`."""
    found = module_events.measure(servers, proxies, seconds)
    return {"cores": found["cores"], "batch_ms": found["worst_batch_ms"], "us_an_event": found["us_an_event"]}


def module_memory(servers: int, proxies: int, seconds: float = 2.0) -> dict:
    """What the module holds once all have joined and two seconds have passed."""
    with Held() as held:
        brain = Brain(module_events.make_facts(proxies), 1, 100.0)
        for now, happened in module_events.batches(servers, proxies, seconds, 100.0, lambda: brain):
            brain.handle(now, happened)
        del happened
    return {"module_memory": held.bytes}


def dealt(servers: int, proxies: int = 64) -> dict:
    """What the module deals to each proxy as all join: lines, and bytes of its whole table."""
    facts = module_events.make_facts(proxies)
    brain, hub = Brain(facts, 1, 100.0), Hub(facts, "0123456789ab")
    records = [hub.join(p, p % 2, None, 0)[0] for p in range(proxies)]
    now = 100.0
    entries = tuple(
        face.Entry(module_events.name(n), n % 2, n // 2 % 2, None, 0, face.READY, 1.0) for n in range(servers)
    )
    hub.apply(brain.handle(now, [face.Listing(1, face.CACHED, entries)]), now)
    for first in range(0, proxies, 64):
        now += 0.02
        joins = [face.Joined(p % 2, True, p, 2.7) for p in range(first, min(proxies, first + 64))]
        hub.apply(brain.handle(now, joins), now)
    hub.release(1e9)
    bodies = [hub.news(record) or b"" for record in records]
    lines = [sum(key[0] == "line" for key in record.held) for record in records]
    return {
        "dealt_lines": sum(lines) / proxies,
        "dealt_bytes": sum(map(len, bodies)) / proxies,
        "tables": len(hub.tables),
    }


def fanout(servers: int, proxies: int, seconds: int = 30) -> dict:
    """What the core sends to all proxies together while a server in four seconds is replaced, a tenth of what is
    reported errs and latencies differ (`benchmarks/events.py`): bytes and lines a second, once all have joined and 10 s
    have passed."""
    brain = Brain(module_events.make_facts(proxies), 1, 100.0)
    hub = Hub(module_events.make_facts(proxies), "0123456789ab")
    sent = lines = 0
    for now, happened in module_events.batches(servers, proxies, seconds, 100.0, lambda: brain):
        for event in happened:
            if isinstance(event, face.Joined):
                hub.join(event.proxy, event.zone, None, 0)
        hub.apply(brain.handle(now, happened), now)
        for record in hub.release(now):
            lines += sum(len(m.changes) for m in record.log if m.version > record.acked) if now > 110 else 0
            body = hub.news(record)
            sent += len(body or b"") if now > 110 else 0
            hub.ack(record, record.version, now)
    return {"fan_bytes_a_second": sent / (now - 110), "fan_lines_a_second": lines / (now - 110)}


def one_table(hub: Hub, servers: int, proxies: int) -> list:
    records = [hub.join(p, 0, None, 0)[0] for p in range(proxies)]
    weights = Random(1)
    lines = [face.SetLine(module_events.name(n), weights.uniform(0.5, 2), 0) for n in range(servers)]
    hub.apply([*lines, *(face.UseTable(0, 0, p) for p in range(proxies))], 0.0)
    hub.release(1e9)
    return records


def table(servers: int) -> dict:
    """One table of all servers, as the core sends it: the whole, and one changed line."""
    hub = Hub(module_events.make_facts(64), "0123456789ab")
    record = one_table(hub, servers, 1)[0]
    whole = len(hub.news(record))
    hub.ack(record, record.version, 1e9)
    hub.apply([face.SetLine(module_events.name(0), 1.25, 0)], 1e9)
    hub.release(2e9)
    return {"whole_bytes": whole, "delta_bytes": len(hub.news(record))}


def core(servers: int, proxies: int) -> dict:
    """What the core holds where all its proxies hold one table of all servers."""
    with Held() as held:
        hub = Hub(module_events.make_facts(proxies), "0123456789ab")
        records = one_table(hub, servers, proxies)
        for record in records:
            hub.ack(record, record.version, 1e9)
    return {"core_memory": held.bytes, "core_memory_a_proxy": held.bytes / proxies}


def a_roll(count: int) -> Roll:
    roll = Roll(tuple(names(count)), 0.0)
    for k, name in enumerate(roll.expected):
        roll.nodes[f"{name}~1"] = _present(name, k)
        roll.highest[name] = 1
    return roll


def _present(name: str, k: int):
    from driftshed.coordination.members import Present

    return Present(Member(name, f"127.0.{k >> 8}.{k & 255}:7000", "test", proxies=350, incarnation=1), k, 0.0)


def roll(count: int, seconds: float = 0.4) -> dict:
    """Reading one peer's word, as `Agent` does: decoded, put on the roll, addresses made anew. `cores`: where each of
    all the others says one each second."""
    found = a_roll(count)
    data = write_member(Member(found.expected[0], "127.0.0.1:7000", "test", proxies=351, incarnation=1))
    node, rounds, began = f"{found.expected[0]}~1", 0, time.process_time()
    while time.process_time() - began < seconds or rounds < 3:
        found.appeared(node, read_member(node, data), 0, 1.0)
        found.addresses()
        rounds += 1
    each = (time.process_time() - began) / rounds
    return {"us_a_word": each * 1e6, "cores_of_words": each * (count - 1)}


def roll_memory(count: int) -> dict:
    with Held() as held:
        found = Roll(tuple(f"s{k:04}" for k in range(count)), 0.0)
        for k, name in enumerate(list(found.expected)):
            data = write_member(Member(name, f"127.0.{k >> 8}.{k & 255}:7000", "test", proxies=350, incarnation=1))
            found.nodes[f"{name}~1"] = _present(name, k)._replace(member=read_member(f"{name}~1", data))
            found.highest[name] = 1
    return {"roll_memory": held.bytes}


# ---- proxy ----------------------------------------------------------------------------------------------------


def _whole(servers: int, operations: int) -> Changes:
    weights = Random(1)
    changes = [Use(k, 0) for k in range(operations)]
    changes += [Line(0, f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000", weights.uniform(0.5, 2)) for n in range(servers)]
    changes += [Level(0, k, 0.5, 1) for k in range(operations)]
    return Changes("0123456789ab", 0, 1, True, changes)


def proxy_tables(servers: int, operations: int = 4) -> dict:
    """What a proxy holds of one table of so many servers, and what it costs to take it whole."""
    body = msgspec.json.encode(_whole(servers, operations))
    with Held() as held:
        tables = Tables(operations, "two", "share", 1, [], Random(1))
        tables.run = "0123456789ab"
        tables.take(CHANGES.decode(body), 0.0)
    began, rounds = time.process_time(), 0
    while time.process_time() - began < 0.3 or rounds < 3:
        again = Tables(operations, "two", "share", 1, [], Random(1))
        again.run = "0123456789ab"
        again.take(CHANGES.decode(body), 0.0)
        rounds += 1
    each = (time.process_time() - began) / rounds
    return {"proxy_memory": held.bytes, "proxy_whole_bytes": len(body), "proxy_take_ms": each * 1e3}


# ---- the stand-in store ---------------------------------------------------------------------------------------


class NoLog:
    """In the log's place: what is measured is what the store holds, not what it has written."""

    def __init__(self) -> None:
        self.tree = Tree()

    def add(self, *_: object) -> None:
        pass

    sync = close = add


def _store(sessions: int) -> tuple[Store, list[StoreLine]]:
    store, lines = Store(NoLog(), 1, 0.0), []
    for _ in range(sessions):
        line = StoreLine()
        store.take(line, jute.write_connect(jute.Connect(0, 10_000, 0, bytes(16))), 0.0)
        line.out = bytearray()
        lines.append(line)
    return store, lines


def _ask(store: Store, line: StoreLine, request: object) -> None:
    store.take(line, jute.write_request(1, request), 0.0)
    line.out = bytearray()


def store_sessions(count: int) -> dict:
    with Held() as held:
        kept = _store(count)
    assert len(kept[0].tree.sessions) == count
    return {"store_session_memory": held.bytes}


def store_nodes(count: int) -> dict:
    store, lines = _store(1)
    _ask(store, lines[0], jute.Create("/m", b""))
    with Held() as held:
        for k in range(count):
            data = write_member(Member(f"s{k:04}", "127.0.0.1:7000", "test", proxies=350, incarnation=1))
            _ask(store, lines[0], jute.Create(f"/m/s{k:04}~1", data, jute.EPHEMERAL))
    assert len(store.tree.nodes) == count + 2
    return {"store_node_memory": held.bytes}


def store_fleet(count: int) -> dict:
    """A store that holds a flat fleet: a session and a node each, and each watches all."""
    with Held() as held:
        store, lines = _store(count)
        _ask(store, lines[0], jute.Create("/m", b""))
        for k, line in enumerate(lines):
            _ask(store, line, jute.Create(f"/m/s{k:04}~1", b"{}", jute.EPHEMERAL))
        for line in lines:
            for k in range(count):
                _ask(store, line, jute.GetData(f"/m/s{k:04}~1", True))
    assert sum(len(each.data) for each in store.tree.sessions.values()) == count * count
    return {"store_watch_memory": held.bytes / count**2}


def store_rest(count: int, seconds: float = 5.0) -> dict:
    """So many sessions that only ping, over sockets: share of a core and resident memory of the store's process."""
    from benchmarks.roster import Rig, RosterClient, State

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rig = Rig()
    try:
        empty = rig.memory(rig.store)
        clients = [
            RosterClient(rig.loop, [rig.address], 10.0, Random(k), lambda state: None, lambda event: None)
            for k in range(count)
        ]
        rig.until(lambda: all(each.session.state is State.ON for each in clients), 60.0)
        cpu, then = rig.cpu(rig.store), time.monotonic()
        rig.loop.run(rig.loop.clock() + seconds)
        return {
            "store_rest_cores": (rig.cpu(rig.store) - cpu) / (time.monotonic() - then),
            "store_rest_memory": (rig.memory(rig.store) - empty) * 2**20,
        }
    finally:
        rig.close()


# ---- a supervisor's process -----------------------------------------------------------------------------------


def supervisor(servers: int, proxies: int, seconds: float = 4.0) -> dict:
    """The whole process over sockets, its proxies in this one, each reporting once a second."""
    from benchmarks import scale

    process = scale.Supervisor(servers, proxies)
    try:
        fleet = scale.Fleet(process, servers, proxies)
        fleet.wait(60, lambda: all(proxy.usable_at for proxy in fleet.proxies))
        fleet.wait(2.0)
        quiet = fleet.measure(seconds)
        return {"process_cores": quiet["cpu_a_second"], "process_memory": process.memory("VmHWM")}
    finally:
        process.kill()


# ---- documents and views --------------------------------------------------------------------------------------


def document(operations: int) -> dict:
    """A policy of so many operations: bytes of its canonical text, and reading and checking it."""
    rows = [f"operation-{k:02}:objective=0.5,timeout=1.5,value=1,effect=idempotent" for k in range(operations)]
    found = policies.of_flags({"zones": "east,west", "proxies": 350, "queue-cap": 4000}, rows)
    text, rounds, began = policies.canonical(found), 0, time.process_time()
    while time.process_time() - began < 0.3 or rounds < 3:
        policies.never_met(policies.parse(text))
        rounds += 1
    return {"document_bytes": len(text), "document_ms": (time.process_time() - began) / rounds * 1e3}


def operations_refused_at() -> int:
    """The smallest number of operations that no document may have."""
    for count in range(1, 1000):
        try:
            policies.of_flags({}, [f"o{k:03}:objective=0.5,timeout=1.5,value=1" for k in range(count)])
        except policies.BadDocument:
            return count
    raise AssertionError("a document of any number of operations is taken")


def text_refused_at() -> dict:
    """The smallest text of a policy (its quotes escaped, as a canonical text has them) whose record cannot be opened,
    and the smallest whose opened record cannot be settled: a settled record holds it twice."""
    one = policy_body()["text"]

    def record(size: int) -> agreement.Record:
        text = (one * (size // len(one) + 1))[:size]
        return agreement.proposed(
            None,
            "policy",
            1,
            "s0000",
            "s0000~0123456789ab#1",
            policy_body() | {"text": text},
            tuple(names(64)),
            64,
            10.0,
        )

    def fails(step, size: int) -> bool:
        try:
            agreement.write(step(record(size)))
        except Barred:
            return True
        return False

    found = {}
    for name, step in (("open", lambda made: made), ("settled", agreement.settled)):
        low, high = 1, 10 * agreement.MOST_BYTES
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (low, middle) if fails(step, middle) else (middle, high)
        found[f"text_refused_{name}"] = high
    return found


def _timed(call) -> float:
    began, rounds = time.process_time(), 0
    while time.process_time() - began < 0.3 or rounds < 3:
        call()
        rounds += 1
    return (time.process_time() - began) / rounds


def fleet_view(count: int) -> dict:
    """`driftshed fleet --supervisor`: what the API answers, what is printed, and the printing."""
    found = a_roll(count)
    rows = [row._asdict() for row in found.rows(600.0)]
    view = plain(
        {
            "by": "s0000",
            "incarnation": 1,
            "standing": "listed",
            "lease": 1.8,
            "order": found.order(),
            "members": rows,
            "records": [],
            "written": 3,
            "not_believed": 0,
        }
    )
    body, text = msgspec.json.encode(view), _printed(lambda: command._print(view))
    return {
        "fleet_api_bytes": len(body),
        "fleet_text_bytes": len(text),
        "fleet_print_ms": _timed(lambda: _printed(lambda: command._print(view))) * 1e3,
    }


def _printed(call) -> str:
    kept, sys.stdout = sys.stdout, io.StringIO()
    try:
        call()
        return sys.stdout.getvalue()
    finally:
        sys.stdout = kept


def policy_view(count: int) -> dict:
    """`driftshed policy show`: what the API answers and what is printed, with one open change that waits for half."""
    body = policy_body()
    half = names(count)[: count // 2]
    view = plain(
        {
            "by": "s0000",
            "runs": 1,
            "holds_still": False,
            "cannot": "",
            "known": True,
            "standing": body,
            "open": {"epoch": 2, "by": "s0000", "missing": half, "words": []},
            "next": None,
            "last_proposal": None,
            "everywhere_within": 2.6,
            "members": {name: ["living", 1] for name in names(count)},
            "history": [],
        }
    )
    kept, policy_command.ask = policy_command.ask, lambda *_: view
    try:
        text = CliRunner().invoke(policy_command.show, ["--supervisor", "127.0.0.1:7001"]).output
    finally:
        policy_command.ask = kept
    return {"policy_api_bytes": len(msgspec.json.encode(view)), "policy_text_bytes": len(text)}


def main() -> None:
    what, sizes = sys.argv[1], [int(each) for each in sys.argv[2:]]
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
    if what not in measures:
        raise SystemExit(f"{what}: no such measure; there is {', '.join(measures)}")
    print(json.dumps(measures[what](*sizes)))


if __name__ == "__main__":
    main()
