"""Membership by sessions: wire format, store, client sessions, membership, follower and announcer."""

import signal
import socket
import subprocess
import sys
import time
import urllib.request
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftshed.net.loop import Loop
from driftshed.roster import jute
from driftshed.roster.announce import Announcer, RegistrationState
from driftshed.roster.client import RosterClient
from driftshed.roster.follow import RosterFollower
from driftshed.roster.jute import (
    ANY_VERSION,
    BAD_ARGUMENTS,
    BAD_VERSION,
    CHANGED,
    CHILDREN,
    CONNECTED,
    CONNECTION_LOSS,
    CREATED,
    DELETED,
    EPHEMERAL,
    EPHEMERAL_PARENT,
    EXPIRED,
    NO_NODE,
    NODE_EXISTS,
    NOT_EMPTY,
    OK,
    RUNTIME_INCONSISTENCY,
    SEQUENTIAL,
    Check,
    Close,
    ConnectRequest,
    ConnectResponse,
    Create,
    Delete,
    Event,
    Exists,
    Frames,
    GetChildren,
    GetData,
    Malformed,
    Multi,
    Ping,
    Reader,
    Reply,
    SetData,
    SetWatches,
    Stat,
    Sync,
)
from driftshed.roster.log import CorruptLog, TransactionLog, encode_record, encode_tree
from driftshed.roster.membership import Membership, ServerAnnouncement
from driftshed.roster.nodes import write_node
from driftshed.roster.serve import StoreServer
from driftshed.roster.session import ClientSession, SessionState
from driftshed.roster.store import Connection, Store
from driftshed.roster.tree import Tree

# ---- wire format --------------------------------------------------------------------------------------------------

# Written by hand from the published description of the records.
VECTORS = [
    (
        jute.write_connect_request(ConnectRequest(0x1122, 10000, 0, b"")),
        "0000001d 00000000 0000000000001122 00002710 0000000000000000 00000000 00",
    ),
    (
        jute.write_connect_request(ConnectRequest(1, 4000, 0x10A, bytes(16))),
        "0000002d 00000000 0000000000000001 00000fa0 000000000000010a 00000010 00000000000000000000000000000000 00",
    ),
    (
        jute.write_connect_response(ConnectResponse(4000, 0x10A, b"\1\2")),
        "00000017 00000000 00000fa0 000000000000010a 00000002 0102 00",
    ),
    (
        jute.write_request(1, Create("/a", b"xy", EPHEMERAL)),
        "00000033 00000001 00000001 00000002 2f61 00000002 7879 00000001 0000001f 00000005 776f726c64 00000006"
        "616e796f6e65 00000001",
    ),
    (jute.write_request(2, Delete("/a", 3)), "00000012 00000002 00000002 00000002 2f61 00000003"),
    (jute.write_request(3, GetChildren("/", True)), "0000000e 00000003 00000008 00000001 2f 01"),
    (jute.write_request(-2, Ping()), "00000008 fffffffe 0000000b"),
    (jute.write_request(9, Close()), "00000008 00000009 fffffff5"),
    (
        jute.write_request(4, Multi((Check("/a", 1),))),
        "00000024 00000004 0000000e 0000000d 00 ffffffff 00000002 2f61 00000001 ffffffff 01 ffffffff",
    ),
    (
        jute.write_request(-8, SetWatches(7, ("/a",), (), ("/b",))),
        "00000028 fffffff8 00000065 0000000000000007 00000001 00000002 2f61 00000000 00000001 00000002 2f62",
    ),
    (jute.write_reply(Reply(5, 77, NO_NODE)), "00000010 00000005 000000000000004d ffffff9b"),
    (
        jute.write_event(Event(CREATED, CONNECTED, "/a")),
        "0000001e ffffffff ffffffffffffffff 00000000 00000001 00000003 00000002 2f61",
    ),
]


@pytest.mark.parametrize(("written", "expected"), VECTORS)
def test_encoded_bytes_match_the_published_description(written, expected):
    assert written.hex() == expected.replace(" ", "")


PATHS = st.sampled_from(["/", "/a", "/a/b", "/a/c", "/servers/x", "/é"])
DATA, VERSION = st.binary(max_size=20), st.integers(-1, 5)
WRITES = st.one_of(
    st.builds(Create, PATHS, DATA, st.integers(0, 3), st.booleans()),
    st.builds(Delete, PATHS, VERSION),
    st.builds(SetData, PATHS, DATA, VERSION),
    st.builds(Check, PATHS, VERSION),
)
WATCHED = st.lists(PATHS, max_size=3).map(tuple)
REQUESTS = st.one_of(
    WRITES,
    st.builds(Exists, PATHS, st.booleans()),
    st.builds(GetData, PATHS, st.booleans()),
    st.builds(GetChildren, PATHS, st.booleans(), st.booleans()),
    st.builds(Sync, PATHS),
    st.just(Ping()),
    st.just(Close()),
    st.builds(SetWatches, st.integers(0, 2**62), WATCHED, WATCHED, WATCHED),
    st.builds(Multi, st.lists(WRITES, max_size=4).map(tuple)),
)


@given(REQUESTS, st.integers(-(2**31), 2**31 - 1), st.integers(1, 7))
def test_requests_decode_from_frames_split_at_any_byte(request, xid, cut):
    written = jute.write_request(xid, request)
    frames = Frames()
    payloads = [p for k in range(0, len(written), cut) for p in frames.feed(written[k : k + cut])]
    assert [jute.read_request(p) for p in payloads] == [(xid, request)] and not frames.buffered


@given(REQUESTS, st.data())
@settings(max_examples=300)
def test_truncated_or_corrupt_requests_raise_only_malformed(request, data):
    payload = bytearray(jute.write_request(1, request)[4:])
    if payload and data.draw(st.booleans()):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    else:
        del payload[data.draw(st.integers(0, len(payload))) :]
    try:
        _, read = jute.read_request(bytes(payload))
    except Malformed:
        return
    assert read is None or jute.read_request(jute.write_request(1, read)[4:])[1] == read


def test_too_large_frames_and_lengths_are_refused_before_their_data_arrives():
    with pytest.raises(Malformed):
        list(Frames(100).feed(b"\x00\x00\x01\x00"))
    with pytest.raises(Malformed):
        list(Frames().feed(b"\xff\xff\xff\xff"))
    for data in (b"\x7f\xff\xff\xff", b"\x00\x00\x00\x05abc"):
        with pytest.raises(Malformed):
            Reader(data).buffer()
    with pytest.raises(Malformed):
        Reader(b"\x7f\xff\xff\xff" + b"x" * 50).vector(Reader.string)


@given(st.integers(0, 2**62), st.integers(0, 10**6), st.integers(0, 2**62), st.binary(max_size=16))
def test_session_handshakes_decode_as_encoded(zxid, timeout, session, password):
    opened = ConnectRequest(zxid, timeout, session, password)
    assert jute.read_connect_request(jute.write_connect_request(opened)[4:]) == opened
    assert jute.read_connect_request(jute.write_connect_request(opened)[4:-1]) == opened  # as older clients encode it
    response = ConnectResponse(timeout, session, password)
    assert jute.read_connect_response(jute.write_connect_response(response)[4:]) == response


# ---- tree --------------------------------------------------------------------------------------------------


def tree_with(*sessions: int) -> Tree:
    tree = Tree()
    for session in sessions or (1,):
        tree.open_session(session, 4000, b"p")
    return tree


def test_creates_deletes_and_versions():
    tree = tree_with()
    assert tree.execute(1, Create("/a", b"x"), 5).result[0] == "/a"
    assert tree.execute(1, Create("/a", b"x"), 5).error == NODE_EXISTS
    assert tree.execute(1, Create("/b/c", b"x"), 5).error == NO_NODE
    assert tree.execute(1, Create("/a/c", b""), 6).error == OK
    assert tree.execute(1, Delete("/a"), 6).error == NOT_EMPTY
    assert tree.execute(1, SetData("/a", b"yz", 1), 7).error == BAD_VERSION
    assert tree.execute(1, SetData("/a", b"yz", 0), 7).result.version == 1
    data, stat = tree.execute(1, GetData("/a"), 8).result
    assert data == b"yz"
    assert (stat.ctime, stat.mtime, stat.version, stat.cversion, stat.data_length, stat.children) == (5, 7, 1, 1, 2, 1)
    assert tree.execute(1, Delete("/a/c", 0), 8).error == OK and tree.execute(1, Delete("/a", 1), 8).error == OK
    assert tree.execute(1, GetData("/a"), 8).error == NO_NODE
    for path in ("", "a", "//", "/a/", "/./a", "/a/../b", "/a\0"):
        assert tree.execute(1, Create(path, b""), 9).error == BAD_ARGUMENTS, path
    assert tree.execute(1, Delete("/"), 9).error == BAD_ARGUMENTS


def test_sequential_names_are_never_repeated():
    tree, names = tree_with(), []
    tree.execute(1, Create("/q", b""), 0)
    for k in range(5):
        names.append(tree.execute(1, Create("/q/n-", b"", SEQUENTIAL), 0).result[0])
        if k % 2:
            tree.execute(1, Delete(names[-1]), 0)
    assert names[0] == "/q/n-0000000000" and len(set(names)) == 5 and names == sorted(names)


def test_ephemeral_nodes_end_with_their_session_and_have_no_children():
    tree = tree_with(1, 2)
    tree.execute(1, Create("/s", b""), 0)
    tree.execute(2, Create("/s/x", b"", EPHEMERAL), 0)
    assert tree.execute(1, Create("/s/x/y", b""), 0).error == EPHEMERAL_PARENT
    tree.execute(1, GetChildren("/s", True), 0)
    tree.execute(1, Exists("/s/x", True), 0)
    before = tree.zxid
    events = tree.end_session(2)
    assert tree.zxid == before + 1 and "/s/x" not in tree.nodes
    assert events == [(1, Event(DELETED, CONNECTED, "/s/x")), (1, Event(CHILDREN, CONNECTED, "/s"))]
    assert tree.end_session(2) == []


def test_watches_trigger_once_and_cover_the_creation_of_a_node():
    tree = tree_with(1, 2)
    assert tree.execute(1, Exists("/a", True), 0).error == NO_NODE
    assert tree.execute(1, GetData("/a", True), 0).error == NO_NODE  # sets no watch
    assert tree.execute(2, Create("/a", b""), 0).events == [(1, Event(CREATED, CONNECTED, "/a"))]
    assert tree.execute(2, SetData("/a", b"1"), 0).events == []
    tree.execute(1, GetData("/a", True), 0)
    tree.execute(1, GetChildren("/a", True), 0)
    assert tree.execute(2, SetData("/a", b"2"), 0).events == [(1, Event(CHANGED, CONNECTED, "/a"))]
    tree.execute(1, GetData("/a", True), 0)
    assert tree.execute(2, Delete("/a"), 0).events == [
        (1, Event(DELETED, CONNECTED, "/a"))
    ]  # one event for both watches
    assert not tree.watches


def test_watches_set_again_report_missed_changes():
    tree = tree_with(1, 2)
    for path in ("/a", "/b", "/c"):
        tree.execute(2, Create(path, b""), 0)
    seen = tree.zxid
    tree.execute(2, SetData("/a", b"1"), 0)
    tree.execute(2, Create("/b/x", b""), 0)
    tree.execute(2, Delete("/c"), 0)
    tree.execute(2, Create("/d", b""), 0)
    again = SetWatches(seen, ("/a", "/b", "/c"), ("/d", "/e"), ("/a", "/b", "/c"))
    events = [(event.kind, event.path) for _, event in tree.execute(1, again, 0).events]
    assert events == [(CHANGED, "/a"), (DELETED, "/c"), (CREATED, "/d"), (CHILDREN, "/b"), (DELETED, "/c")]
    assert set(tree.watches) == {("data", "/b"), ("data", "/e"), ("children", "/a")}
    tree.forget_watches(1)
    assert not tree.watches


def test_a_multi_is_applied_completely_or_not_at_all():
    tree = tree_with(1, 2)
    tree.execute(1, Create("/a", b"0"), 0)
    tree.execute(2, GetData("/a", True), 0)
    before, stat = tree.zxid, tree.nodes["/a"].stat
    done = tree.execute(
        1, Multi((SetData("/a", b"1"), Create("/a/x", b"", EPHEMERAL), Check("/a", 9), Delete("/a/x"))), 0
    )
    assert done.result == [OK, OK, BAD_VERSION, RUNTIME_INCONSISTENCY] and not done.events and not done.is_transaction
    assert (tree.zxid, tree.nodes["/a"].stat, tree.sessions[1].nodes) == (before, stat, {})
    assert tree.sessions[2].data_watches == {"/a"} and tree.watches == {("data", "/a"): {2: None}}
    done = tree.execute(1, Multi((SetData("/a", b"1"), Create("/a/x", b"", EPHEMERAL), Delete("/a/x"))), 0)
    assert done.error == OK and tree.zxid == before + 1 and done.events == [(2, Event(CHANGED, CONNECTED, "/a"))]
    assert jute.read_result(
        Multi((Create("/a/x", b""), Check("/a", 1))),
        Reader(jute.write_result(Multi((Create("/a/x", b""), Check("/a", 1))), [("/a/x", None), None])),
    ) == [("/a/x", None), None]


class ReferenceTree:
    """Reference model of the tree: one dict of path to (data, version, owner)."""

    def __init__(self) -> None:
        self.nodes = {"/": (b"", 0, 0)}

    def children(self, path: str) -> list[str]:
        head = path.rstrip("/") + "/"
        below = (p[len(head) :] for p in self.nodes if p.startswith(head) and p != "/")
        return sorted(name for name in below if "/" not in name)

    def do(self, session: int, request) -> int:
        path = request.path
        parent = path.rpartition("/")[0] or "/"
        if isinstance(request, Create):
            if parent not in self.nodes:
                return NO_NODE
            if path in self.nodes:
                return NODE_EXISTS
            if self.nodes[parent][2]:
                return EPHEMERAL_PARENT
            self.nodes[path] = (request.data, 0, session if request.flags & EPHEMERAL else 0)
            return OK
        if path not in self.nodes:
            return NO_NODE
        data, version, owner = self.nodes[path]
        if request.version not in (ANY_VERSION, version):
            return BAD_VERSION
        if isinstance(request, Delete):
            if self.children(path):
                return NOT_EMPTY
            del self.nodes[path]
        elif isinstance(request, SetData):
            self.nodes[path] = (request.data, version + 1, owner)
        return OK


@pytest.mark.parametrize("seed", range(20))
def test_random_histories_match_the_reference_model_and_no_watch_is_missed(seed):
    random, tree, reference = Random(seed), tree_with(1, 2, 3), ReferenceTree()
    paths = [f"/{a}{b}" for a in "ab" for b in ("", "/x", "/y", "/x/z")]
    watched: dict[tuple, object] = {}  # by (session, kind, path): the state last read

    def state(kind, path):
        return reference.nodes.get(path) if kind == "data" else (path in reference.nodes, reference.children(path))

    def remove_triggered(events):
        for session, event in events:
            for kind in ("data", "children"):
                if event.kind == DELETED or (event.kind == CHILDREN) == (kind == "children"):
                    watched.pop((session, kind, event.path), None)

    def check_none_missed():
        """A watch that has not triggered means that the state is as last read."""
        for (session, kind, path), seen in watched.items():
            if session in tree.sessions:
                assert state(kind, path) == seen, (session, kind, path)

    for step in range(400):
        session, path, draw = random.choice([1, 2, 3]), random.choice(paths), random.random()
        if session not in tree.sessions:
            tree.open_session(session, 4000, b"p")
        if draw < 0.3:
            request = Create(path, b"%d" % step, EPHEMERAL if random.random() < 0.4 else 0)
        elif draw < 0.5:
            request = Delete(path, random.choice([ANY_VERSION, 0, 1]))
        elif draw < 0.65:
            request = SetData(path, b"%d" % step, random.choice([ANY_VERSION, 0, 1]))
        elif draw < 0.75:
            parts = [Create(path, b"m"), SetData(random.choice(paths), b"n"), Delete(random.choice(paths))]
            random.shuffle(parts)
            copy = ReferenceTree()
            copy.nodes = dict(reference.nodes)
            codes = [copy.do(session, part) for part in parts]
            first = next((code for code in codes if code), OK)
            done = tree.execute(session, Multi(tuple(parts)), step)
            assert done.error == first
            if not first:
                reference.nodes = copy.nodes
            remove_triggered(done.events)
            check_none_missed()
            continue
        elif draw < 0.95:
            kind = random.choice(["data", "children"])
            done = tree.execute(session, (Exists if kind == "data" else GetChildren)(path, True), step)
            assert (done.error == OK) == (path in reference.nodes)
            if kind == "data" or done.error == OK:
                watched[session, kind, path] = state(kind, path)
            continue
        else:
            remove_triggered(tree.end_session(session))
            reference.nodes = {p: node for p, node in reference.nodes.items() if node[2] != session}
            watched = {key: seen for key, seen in watched.items() if key[0] != session}
            check_none_missed()
            continue
        done = tree.execute(session, request, step)
        assert done.error == reference.do(session, request)
        remove_triggered(done.events)
        check_none_missed()
    assert {path: (n.data, n.version, n.owner) for path, n in tree.nodes.items()} == reference.nodes
    assert all(sorted(n.children) == reference.children(path) for path, n in tree.nodes.items())


def test_stats_decode_as_encoded():
    value = Stat(*range(11))
    assert Reader(jute.stat(value)).stat() == value


# ---- log ---------------------------------------------------------------------------------------------------


def log_with_history(folder, random: Random, steps: int, every: int = 40) -> TransactionLog:
    """A log with a random history, all of it synced."""
    log = TransactionLog(folder, every)
    tree = log.tree
    for step in range(steps):
        session, draw = random.choice([1, 2, 3]), random.random()
        if session not in tree.sessions:
            log.add("open", session, step, msgspec.msgpack.encode((4000, b"p")))
            tree.open_session(session, 4000, b"p")
        elif draw < 0.05:
            log.add("end", session, step, b"")
            tree.end_session(session)
        else:
            path = f"/{random.choice('abc')}" + random.choice(["", "/x", "/y"])
            request = random.choice(
                [
                    Create(path, b"%d" % step, random.choice([0, 1, 2])),
                    SetData(path, b"s"),
                    Delete(path),
                    Multi((Create(path, b""), Delete(path))),
                ]
            )
            if tree.execute(session, request, step).is_transaction:
                log.add("do", session, step, jute.write_request(1, request)[4:])
        log.sync()
    return log


@pytest.mark.parametrize("seed", range(8))
def test_synced_records_survive_a_crash_at_any_byte(tmp_path, seed):
    random = Random(seed)
    log = log_with_history(tmp_path, random, 150)
    before = encode_tree(log.tree)  # the file is not closed: as after SIGKILL
    assert encode_tree(TransactionLog(tmp_path, 40).tree) == before
    newest = max(tmp_path.glob("log-*"), key=lambda path: int(path.name[4:]))
    whole = newest.read_bytes()
    torn = encode_record("do", 1, 0, jute.write_request(1, Create("/torn", b""))[4:])
    newest.write_bytes(whole + torn[: random.randrange(1, 30)])
    again = TransactionLog(tmp_path, 40)
    assert encode_tree(again.tree) == before and again.truncated_bytes > 0
    assert encode_tree(TransactionLog(tmp_path, 40).tree) == before
    (tmp_path / "snapshot-999999").write_bytes(b"half of a snapsh")
    assert encode_tree(TransactionLog(tmp_path, 40).tree) == before


def test_corruption_below_newer_logs_raises_an_error(tmp_path):
    log_with_history(tmp_path, Random(1), 60, every=10**6).close()
    log = TransactionLog(tmp_path, 10**6)
    log.tree.open_session(9, 4000, b"")
    log.file.close()
    (old,) = tmp_path.glob("log-0")
    (tmp_path / f"log-{log.tree.zxid - 1}").touch()
    data = bytearray(old.read_bytes())
    data[len(data) // 2] ^= 1
    old.write_bytes(data)
    with pytest.raises(CorruptLog):
        TransactionLog(tmp_path)


def test_old_files_are_deleted_once_two_snapshots_cover_them(tmp_path):
    log = log_with_history(tmp_path, Random(3), 400, every=20)
    assert len(list(tmp_path.glob("snapshot-*"))) == 2 and len(list(tmp_path.iterdir())) <= 6
    assert encode_tree(TransactionLog(tmp_path).tree) == encode_tree(log.tree)


# ---- sessions, client and store --------------------------------------------------------------------------------------


class Client:
    """A client that watches one node and its children, and creates ephemeral nodes."""

    def __init__(self, number: int) -> None:
        self.number, self.acknowledged, self.seen, self.names, self.expiries = number, {}, None, None, 0
        self.start_session()

    def start_session(self) -> None:
        self.session, self.line, self.unsent = ClientSession(2.0), None, b""
        self.session.on_event = self.on_event
        self.mine, self.asks = False, 0

    def on_event(self, event: Event) -> None:
        if event.kind == CHILDREN:
            self.read_children()
        else:
            self.read_data()

    def send_request(self, request, done):
        self.session.ask(request, done, self.simulation.now)

    def read_data(self) -> None:
        def on_result(error, result):
            if error == OK:
                self.seen = result[0]
            elif error == CONNECTION_LOSS:
                self.read_data()

        self.send_request(GetData("/s", True), on_result)

    def read_children(self) -> None:
        def on_result(error, result):
            if error == OK:
                self.names = result[0]
            elif error == CONNECTION_LOSS:
                self.read_children()

        self.send_request(GetChildren("/s", True), on_result)


class Simulation:
    """Clients and a store, with lost connections and restarts at any byte."""

    def __init__(self, folder, seed: int, clients: int = 3) -> None:
        self.folder, self.random, self.now, self.seed = folder, Random(seed), 100.0, seed
        self.store = Store(TransactionLog(folder, 25), seed, self.now)
        self.store.tree.open_session(1, 60000, b"")
        self.store.log.add("open", 1, 0, msgspec.msgpack.encode((60000, b"")))
        request = Create("/s", b"0")
        self.store.tree.execute(1, request, 0)
        self.store.log.add("do", 1, 0, jute.write_request(1, request)[4:])
        self.store.commit()
        self.clients = [Client(k) for k in range(clients)]
        for client in self.clients:
            client.simulation = self
            client.read_data()
            client.read_children()

    def disconnect(self, client: Client) -> None:
        if client.line is not None:
            self.store.connection_lost(client.line)
            client.line = None
            client.session.disconnected()

    def restart(self) -> None:
        for client in self.clients:
            self.disconnect(client)
        # Uncommitted changes are lost with the process: only those on disk remain.
        self.store = Store(TransactionLog(self.folder, 25), self.seed + 1, self.now)

    def step(self, client: Client) -> None:
        """Transfers some or all of the pending bytes in both directions."""
        session = client.session
        if session.state is SessionState.EXPIRED:
            client.expiries += 1
            self.disconnect(client)
            for name in [name for name, owner in client.acknowledged.items() if owner == session.session]:
                del client.acknowledged[name]
            client.start_session()
            client.read_data()
            client.read_children()
            return
        if client.line is None:
            client.line, client.unsent = Connection(), b""
            session.connected(self.now)
        if not session.tick(self.now):
            self.disconnect(client)
            return
        client.unsent += session.take_output()
        part = self.random.choice([len(client.unsent), self.random.randrange(len(client.unsent) + 1)])
        data, client.unsent = client.unsent[:part], client.unsent[part:]
        line = client.line
        self.store.receive(line, data, self.now)
        self.store.commit()
        answers = bytes(line.output)
        part = (
            len(answers)
            if line.close_reason
            else self.random.choice([len(answers), self.random.randrange(len(answers) + 1)])
        )
        del line.output[:part]
        session.receive(answers[:part], self.now)
        if line.close_reason and client.line is line:
            self.disconnect(client)

    def run_until_settled(self) -> None:
        for _ in range(60):
            self.now += 0.05
            for client in self.clients:
                self.step(client)
            self.store.expire_sessions(self.now)
            self.store.commit()


def run_history(folder, seed: int, steps: int = 60) -> int:
    simulation, random = Simulation(folder, seed), Random(seed + 0.5)
    for k in range(steps):
        simulation.now += random.choice([0.01, 0.05, 0.3])
        client, draw = random.choice(simulation.clients), random.random()
        if draw < 0.15:
            name = f"/s/{client.number}-{k}"

            def created(error, result, client=client, session=client.session, name=name):
                if error == OK and client.session is session:
                    client.acknowledged[name] = session.session

            client.send_request(Create(name, b"", EPHEMERAL), created)
        elif draw < 0.25:
            client.send_request(SetData("/s", b"%d" % k), lambda error, result: None)
        elif draw < 0.32:
            simulation.disconnect(client)
        elif draw < 0.34:
            simulation.restart()
        elif draw < 0.37:
            simulation.store.expire(client.session.session)
        elif draw < 0.39:
            simulation.now += 2.5  # sessions that are not resumed at once lapse
        simulation.step(client)
        simulation.store.expire_sessions(simulation.now)
        simulation.store.commit()
        for number, _ in ((n.owner, n) for n in simulation.store.tree.nodes.values()):
            assert not number or number in simulation.store.tree.sessions, "an ephemeral node outlived its session"
    simulation.run_until_settled()
    tree = simulation.store.tree
    for client in simulation.clients:
        assert client.session.state is SessionState.CONNECTED
        present = {path for path, owner in client.acknowledged.items() if owner == client.session.session}
        assert present <= set(tree.nodes), "an acknowledged create was lost"
        assert client.seen == tree.nodes["/s"].data, "a change of data was missed"
        assert client.names == sorted(tree.nodes["/s"].children), "a change of children was missed"
    assert (
        sum(node.owner not in (0, *(c.session.session for c in simulation.clients)) for node in tree.nodes.values())
        == 0
    )
    simulation.store.log.close()
    return sum(client.expiries for client in simulation.clients)


@pytest.mark.parametrize("seed", range(40))
def test_no_acknowledged_change_is_lost_and_none_missed_when_connections_are_cut(tmp_path, seed):
    run_history(tmp_path, seed)


def test_loss_of_connection_is_not_expiry():
    session, states = ClientSession(3.0), []
    session.on_state = states.append
    session.connected(0.0)
    session.receive(jute.write_connect_response(ConnectResponse(3000, 7, b"p" * 16)), 0.1)
    errors = []
    session.ask(Create("/a", b""), lambda error, result: errors.append(error), 0.2)
    session.disconnected()
    assert states == [SessionState.OPENING, SessionState.CONNECTED, SessionState.DISCONNECTED] and errors == [
        CONNECTION_LOSS
    ]
    session.ask(GetData("/a"), lambda error, result: errors.append(error), 0.3)  # queued
    session.connected(1.0)
    assert jute.read_connect_request(session.take_output()[4:]).session == 7
    session.receive(jute.write_connect_response(ConnectResponse(0, 0, bytes(16))), 1.1)
    assert states[-1] is SessionState.EXPIRED and errors == [CONNECTION_LOSS, EXPIRED]


def test_pings_are_sent_after_a_third_of_the_timeout_and_silence_ends_the_connection():
    session = ClientSession(3.0)
    session.connected(0.0)
    session.receive(jute.write_connect_response(ConnectResponse(3000, 7, b"")), 0.0)
    session.take_output()
    assert session.next_at() == pytest.approx(1.0) and session.tick(1.0)
    assert jute.read_request(session.take_output()[4:]) == (-2, Ping())
    assert session.tick(1.9) and not session.tick(2.01)


def test_a_client_without_a_connect_response_waits_without_a_busy_loop():
    session = ClientSession(3.0)
    session.connected(0.0)
    assert session.next_at() == pytest.approx(2.0) and session.tick(1.5) and session.next_at() > 1.5
    assert not session.tick(2.0)


def test_a_malformed_connection_affects_no_other(tmp_path):
    store = Store(TransactionLog(tmp_path), 1, 0.0)
    good, bad = Connection(), Connection()
    store.receive(good, jute.write_connect_request(ConnectRequest(0, 4000, 0, b"")), 0.0)
    random = Random(4)
    for _ in range(300):
        bad = Connection()
        store.receive(bad, jute.write_connect_request(ConnectRequest(0, 4000, 0, b"")), 0.0)
        store.receive(bad, jute.frame(random.randbytes(random.randrange(40))), 0.0)
        store.connection_lost(bad)
    store.receive(good, jute.write_request(1, Create("/a", b"")), 0.1)
    store.commit()
    assert not good.close_reason and good.session in store.tree.sessions and "/a" in store.tree.nodes


def test_a_client_that_has_seen_newer_changes_than_the_store_is_rejected(tmp_path):
    store, line = Store(TransactionLog(tmp_path), 1, 0.0), Connection()
    store.receive(line, jute.write_connect_request(ConnectRequest(99, 4000, 0, b"")), 0.0)
    assert "has seen change 99" in line.close_reason and not line.output


# ---- real sockets -------------------------------------------------------------------------------------------


class StoreWithClients:
    """A store and its clients on one loop."""

    def __init__(self, folder) -> None:
        self.loop, self.folder = Loop(), folder
        self.server = StoreServer(self.loop, ("127.0.0.1", 0), TransactionLog(folder), 1)
        self.clients, self.received = [], []

    def client(self, timeout=1.0, hosts=None) -> RosterClient:
        received = []
        client = RosterClient(
            self.loop,
            hosts or [self.server.address],
            timeout,
            Random(len(self.clients)),
            lambda state: received.append(("state", state)),
            lambda event: received.append(("event", event)),
        )
        client.received = received
        self.clients.append(client)
        return client

    def until(self, condition, within=20.0):
        end = self.loop.clock() + within
        while not condition():
            assert self.loop.clock() < end, "the condition was not met in time"
            self.loop.turn(self.loop.clock() + 0.02)

    def ask(self, client, request):
        results = []
        client.send_request(request, lambda error, result: results.append((error, result)))
        self.until(lambda: results)
        return results[0]

    def close(self):
        for client in self.clients:
            client.stop()
        self.server.close()
        self.loop.close()


@pytest.fixture
def served(tmp_path):
    served = StoreWithClients(tmp_path)
    yield served
    served.close()


def test_a_session_outlives_its_connection_and_ends_by_lapse(served):
    one, two = served.client(), served.client()
    assert served.ask(one, Create("/x", b"1", EPHEMERAL))[0] == OK
    assert served.ask(two, GetData("/x", True))[1][0] == b"1"
    served.server.reset_connections()
    served.until(
        lambda: (
            ("state", SessionState.DISCONNECTED) in one.received
            and ("state", SessionState.DISCONNECTED) in two.received
        )
    )
    served.until(lambda: one.received[-1] == two.received[-1] == ("state", SessionState.CONNECTED))
    assert served.ask(two, Exists("/x"))[0] == OK  # still exists
    one.stop()  # without closing its session
    served.until(lambda: ("event", Event(DELETED, CONNECTED, "/x")) in two.received)
    assert served.server.store.expired_count == 1


def test_an_expired_session_is_reported_and_an_unreachable_store_is_not_mistaken_for_it(served):
    one = served.client(timeout=0.8)
    assert served.ask(one, Create("/x", b"", EPHEMERAL))[0] == OK
    served.server.unresponsive = True
    served.until(lambda: ("state", SessionState.DISCONNECTED) in one.received)  # silent for two thirds of the time-out
    assert ("state", SessionState.EXPIRED) not in one.received
    served.server.unresponsive = False
    served.server.expire(one.session.session)
    served.until(lambda: one.received[-1] == ("state", SessionState.EXPIRED))


def test_a_store_that_answers_again_reads_a_connection_that_waited_for_its_turn(served):
    """Guards against reading that stays paused, since the rest of a long batch was dropped."""
    connect = jute.write_connect_request(ConnectRequest(0, 30_000, 0, bytes(16)))
    ping = jute.frame(jute.INT.pack(jute.XID_PING) + jute.INT.pack(jute.PING))
    with socket.create_connection(served.server.address) as sock:
        sock.sendall(connect + 300 * ping)
        served.until(lambda: any(stream.paused for stream in served.server.streams))
        served.server.unresponsive = True
        served.until(lambda: not any(stream.paused for stream in served.server.streams))


def test_the_client_tries_the_next_host_and_a_restarted_store_has_all_acknowledged_changes(served):
    closed_host = socket.socket()
    closed_host.bind(("127.0.0.1", 0))  # does not listen
    one = served.client(timeout=5.0, hosts=[closed_host.getsockname(), served.server.address])
    assert served.ask(one, Create("/x", b"1", EPHEMERAL))[0] == OK
    served.server.close()
    served.until(lambda: one.received[-1] == ("state", SessionState.DISCONNECTED))
    served.server = StoreServer(served.loop, served.server.address, TransactionLog(served.folder), 1)
    assert served.ask(one, GetData("/x"))[1][0] == b"1"
    assert ("state", SessionState.EXPIRED) not in one.received
    closed_host.close()


# ---- membership ------------------------------------------------------------------------------------------------


def node(number: int, state: str = "ready", epoch: int = 1, started: float | None = None) -> ServerAnnouncement:
    return ServerAnnouncement(f"10.0.0.{number}:80", "east", "standard", state, started, 0, 1.0, epoch)


def members(count: int = 10) -> Membership:
    membership = Membership(4.0, 60.0)
    membership.replace_nodes({f"/s/{k}": node(k) for k in range(1, count + 1)}, -10.0)
    assert len(membership.evaluate(0.0)) == count
    return membership


def changed_states(membership: Membership, now: float) -> dict[str, str]:
    return {change.listed.server: change.listed.state for change in membership.evaluate(now)}


def test_the_first_list_waits_for_servers_that_start_together_but_not_for_ever():
    """Guards against a first list of only the fastest few of 118 servers, as found in the laboratory: the module lays
    out its tables by that list."""
    membership = Membership(4.0, 60.0)
    assert membership.evaluate(0.0) == [] and membership.next_at(0.0) is None  # nothing has been read yet
    membership.replace_nodes({"/s/1": node(1)}, 1.0)
    for k in range(2, 40):
        at = 1.0 + k / 10
        membership.node_updated(f"/s/{k}", node(k), at)
        assert at < 5.0 or len(membership.evaluate(at)) >= 1
        assert at >= 5.0 or (membership.evaluate(at) == [] and membership.next_at(at) == min(5.0, at + 0.5))
    quiet = Membership(4.0, 60.0)
    quiet.replace_nodes({"/s/1": node(1)}, 1.0)
    quiet.node_updated("/s/2", node(2), 1.2)
    assert quiet.evaluate(1.6) == [] and len(quiet.evaluate(1.7)) == 2


def test_announced_states_and_lapses_of_unresponsive_servers_apply_at_once():
    membership = members()
    membership.node_updated("/s/1", node(1, "draining"), 1.0)
    assert changed_states(membership, 1.0) == {"10.0.0.1:80": "draining"}
    membership.node_removed("/s/1", 2.0)
    membership.node_removed("/s/2", 2.0)
    assert changed_states(membership, 2.0) == {"10.0.0.1:80": "gone", "10.0.0.2:80": "gone"}


def test_a_server_that_still_answers_is_held_for_the_configured_time_only():
    membership = members()
    membership.node_removed("/s/3", 1.0)
    for k in range(16):
        membership.record_answer("10.0.0.3:80", 1.0 + k / 4)
        assert changed_states(membership, 1.0 + k / 4) == {}
    assert membership.next_at(4.9) == pytest.approx(5.0)
    membership.record_answer("10.0.0.3:80", 5.0)
    assert changed_states(membership, 5.0) == {"10.0.0.3:80": "gone"}
    silent = members()
    silent.record_answer("10.0.0.3:80", 0.9)
    silent.node_removed("/s/3", 1.0)
    assert changed_states(silent, 1.0) == {} and changed_states(silent, 3.0) == {"10.0.0.3:80": "gone"}


def test_a_flapping_session_changes_nothing_and_a_restart_is_a_restart():
    membership = members()
    membership.record_answer("10.0.0.4:80", 1.0)
    membership.node_removed("/s/4", 1.0)
    assert changed_states(membership, 1.1) == {}
    membership.node_updated("/s/4b", node(4), 1.5)
    assert changed_states(membership, 1.5) == {}
    membership.node_updated("/s/4c", node(4, epoch=2, started=7.0), 2.0)
    (change,) = membership.evaluate(2.0)
    assert change.listed.started == 7.0
    membership.node_removed("/s/4b", 2.5)  # the session of the older process lapses
    membership.node_updated("/s/4b", node(4), 3.0)  # the older process resumes after a pause
    assert changed_states(membership, 3.0) == {}


def test_a_mass_lapse_is_held_for_a_bounded_time_but_announced_states_apply():
    membership = members()
    for k in range(1, 11):
        membership.node_removed(f"/s/{k}", 1.0 + k / 20)
    assert changed_states(membership, 2.0) == {}
    membership.node_updated("/s/1", node(1), 3.0)
    membership.node_updated("/s/2", node(2, "draining"), 3.0)
    assert changed_states(membership, 3.0) == {"10.0.0.2:80": "draining"}  # rule 3 holds during a mass lapse too
    assert changed_states(membership, 50.0) == {}
    assert membership.next_at(50.0) == pytest.approx(62.0)
    gone = changed_states(membership, 62.1)
    assert len(gone) == 8 and set(gone.values()) == {"gone"}


def test_the_last_to_come_back_from_a_mass_lapse_are_held_too():
    membership = members()
    for k in range(1, 11):
        membership.node_removed(f"/s/{k}", 1.0)
    assert changed_states(membership, 1.0) == {}
    for k in range(1, 10):
        membership.node_updated(f"/s/{k}", node(k), 2.0 + k)
        assert changed_states(membership, 2.0 + k) == {}
    membership.node_updated("/s/10", node(10), 30.0)
    assert changed_states(membership, 30.0) == {}
    membership.node_removed("/s/10", 31.0)  # the mass lapse is over: this is a separate lapse
    assert changed_states(membership, 31.0) == {"10.0.0.10:80": "gone"}


def test_two_lapses_of_ten_are_no_mass_lapse_and_an_unreachable_store_holds_all():
    membership = members()
    membership.node_removed("/s/1", 1.0)
    membership.node_removed("/s/2", 1.0)
    assert len(changed_states(membership, 1.0)) == 2
    membership.store_unreachable(2.0)
    assert changed_states(membership, 500.0) == {}
    membership.replace_nodes({f"/s/{k}": node(k) for k in range(3, 6)}, 500.0)  # five of eight nodes are missing
    assert changed_states(membership, 500.0) == {}


def test_addresses_that_came_and_went_are_forgotten():
    membership = members(4)
    for k in range(2000):
        each = ServerAnnouncement(f"10.1.{k // 250}.{k % 250}:80", "east", "standard", "ready", None, 0, 1.0, 1)
        membership.node_updated(f"/n/{k}", each, 10.0 * k)
        membership.evaluate(10.0 * k)
        membership.node_removed(f"/n/{k}", 10.0 * k + 5)
        membership.evaluate(10.0 * k + 5)
    assert len(membership.servers) < 300 and sum(each is not None for each in membership.listed) == 4


# ---- following and announcing ----------------------------------------------------------------------------------

ROOT = "/driftshed/servers"


class Fleet(StoreWithClients):
    """A store, a follower and announcers; `listed_states` is the list as built from the updates."""

    def __init__(self, folder) -> None:
        super().__init__(folder)
        self.updates, self.logs, self.announcers = [], [], []
        self.listed_states: dict[str, str] = {}
        self.follower = RosterFollower(
            self.loop,
            [self.server.address],
            ROOT,
            ("east", "west"),
            ("standard",),
            Membership(0.6, 6.0),
            self.apply_update,
            lambda event, **fields: self.logs.append((event, fields)),
            1,
            1.0,
        )

    def apply_update(self, update) -> None:
        assert update.version == len(self.updates) + 1 and update.whole == (not self.updates)
        self.updates.append(update)
        for each in update.servers:
            if each.state == "gone":
                self.listed_states.pop(each.server, None)
            else:
                self.listed_states[each.server] = each.state

    def announce(self, number: int, timeout: float = 1.0) -> Announcer:
        who = ServerAnnouncement(f"127.0.0.1:{number}", "east", "standard", "ready", 1.0, 0, 1.0, 0)
        announcer = Announcer(self.loop, [self.server.address], ROOT, who, timeout, number)
        self.announcers.append(announcer)
        return announcer

    def wait_for_ready(self, *numbers: int) -> None:
        names = {f"127.0.0.1:{number}" for number in numbers}
        self.until(lambda: {name for name, state in self.listed_states.items() if state == "ready"} == names)

    def close(self) -> None:
        for announcer in self.announcers:
            announcer.stop()
        self.follower.stop()
        super().close()


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.close()


def test_servers_join_drain_leave_and_lapse(fleet):
    one, two, three = (fleet.announce(k) for k in (1, 2, 3))
    fleet.wait_for_ready(1, 2, 3)
    reads = fleet.follower.reads
    one.set_server_state("draining")
    fleet.until(lambda: fleet.listed_states["127.0.0.1:1"] == "draining")
    assert fleet.follower.reads == reads + 1  # only the changed node
    one.leave()
    fleet.until(lambda: "127.0.0.1:1" not in fleet.listed_states)
    two.stop()  # as if it died; no report shows an answer of it
    fleet.wait_for_ready(3)
    assert three.state is RegistrationState.LISTED


def test_a_lapsed_server_that_answers_is_held_and_then_goes(fleet):
    one, _ = fleet.announce(1), fleet.announce(2)
    fleet.wait_for_ready(1, 2)
    fleet.follower.record_answer("127.0.0.1:1")
    lapsed = fleet.loop.clock()
    one.state = RegistrationState.LEFT  # it does not register again
    fleet.server.expire(one.client.session.session)
    while fleet.loop.clock() < lapsed + 0.45:
        fleet.follower.record_answer("127.0.0.1:1")
        fleet.loop.turn(fleet.loop.clock() + 0.02)
        assert "127.0.0.1:1" in fleet.listed_states
    fleet.wait_for_ready(2)
    whys = [fields["why"] for event, fields in fleet.logs if event == "listed" and fields["state"] == "gone"]
    assert whys == ["its node was removed"]


def test_a_lapse_of_all_sessions_at_once_empties_no_list_and_all_register_again(fleet):
    announcers = [fleet.announce(k) for k in range(1, 9)]
    fleet.wait_for_ready(*range(1, 9))
    sizes = []
    for announcer in announcers:
        fleet.server.expire(announcer.client.session.session)

    def all_back():
        sizes.append(len(fleet.listed_states))
        there = fleet.server.store.tree.sessions
        return all(a.state is RegistrationState.LISTED and a.client.session.session in there for a in announcers)

    fleet.until(all_back)
    fleet.wait_for_ready(*range(1, 9))
    assert min(sizes) == 8


def test_a_store_that_restarts_or_is_unreachable_changes_nothing(fleet):
    for k in range(1, 6):
        fleet.announce(k, timeout=5.0)
    fleet.wait_for_ready(*range(1, 6))
    update_count = len(fleet.updates)
    fleet.server.close()
    fleet.until(lambda: fleet.follower.membership.unreachable_since is not None)
    assert len(fleet.updates) == update_count
    fleet.server = StoreServer(fleet.loop, fleet.server.address, TransactionLog(fleet.folder), 1)
    fleet.until(lambda: fleet.follower.membership.unreachable_since is None)
    assert len(fleet.updates) == update_count
    fleet.announce(6)
    fleet.wait_for_ready(*range(1, 7))


def test_a_lapse_of_the_followers_own_session_changes_nothing_and_it_follows_on_in_a_new_one(fleet):
    fleet.announce(1)
    two = fleet.announce(2)
    fleet.wait_for_ready(1, 2)
    first = fleet.follower.client
    fleet.server.expire(first.session.session)
    fleet.until(lambda: fleet.follower.client is not first and fleet.follower.membership.unreachable_since is None)
    assert set(fleet.listed_states) == {"127.0.0.1:1", "127.0.0.1:2"}
    two.leave()
    fleet.wait_for_ready(1)


def test_no_change_is_missed_when_the_connection_breaks_as_its_watch_triggers(fleet):
    one = fleet.announce(1, timeout=5.0)
    fleet.wait_for_ready(1)
    fleet.server.store.events_to_drop = 1
    one.set_server_state("draining")
    fleet.until(lambda: fleet.listed_states["127.0.0.1:1"] == "draining")
    assert fleet.server.store.events_to_drop == 0
    states = [fields.get("state") for event, fields in fleet.logs if event == "roster_session"]
    assert states[-2:] == ["no connection", "on"]


@pytest.mark.parametrize("lost", ["session", "node"])
def test_a_server_drains_and_leaves_though_its_session_or_node_is_lost_meanwhile(fleet, lost):
    one, gone = fleet.announce(1), []
    fleet.announce(2)
    fleet.wait_for_ready(1, 2)
    if lost == "session":
        one.client.stream.pause(True)
        fleet.server.expire(one.client.session.session)
    else:
        client = fleet.client(5.0)
        assert fleet.ask(client, Delete(one.path))[0] == OK
    one.set_server_state("draining", lambda: one.leave(lambda: gone.append(1)))
    if lost == "session":
        one.client.stream.pause(False)
    fleet.until(lambda: gone)
    fleet.wait_for_ready(2)
    assert one.state is RegistrationState.LEFT


def test_delayed_or_withheld_answers_change_nothing(fleet):
    for k in range(1, 4):
        fleet.announce(k, timeout=5.0)
    fleet.wait_for_ready(1, 2, 3)
    fleet.server.answer_delay = 0.2
    fleet.announce(4, timeout=5.0)
    fleet.wait_for_ready(1, 2, 3, 4)
    fleet.server.answer_delay = 0.0
    fleet.server.muted_sessions = {fleet.follower.client.session.session}
    fleet.until(lambda: ("roster_session", "no connection") in [(e, f.get("state")) for e, f in fleet.logs])
    fleet.server.muted_sessions = set()
    fleet.until(lambda: fleet.follower.membership.unreachable_since is None)
    assert set(fleet.listed_states) == {f"127.0.0.1:{k}" for k in range(1, 5)}


def test_an_older_process_that_resumes_is_fenced_by_its_successor(fleet):
    old = fleet.announce(1)
    fleet.wait_for_ready(1)
    paused = old.client
    fleet.server.expire(paused.session.session)
    paused.stream.pause(True)  # it receives no message of the expiry
    new = fleet.announce(1)
    fleet.until(lambda: new.state is RegistrationState.LISTED and new.epoch == 2)
    paused.stream.pause(False)
    fleet.until(lambda: old.state is RegistrationState.FENCED)
    fleet.wait_for_ready(1)
    assert [name for name in fleet.server.store.tree.nodes if name.startswith(ROOT + "/")] == [f"{ROOT}/127.0.0.1:1~2"]


def test_invalid_nodes_are_logged_and_affect_no_other(fleet):
    fleet.announce(1)
    fleet.wait_for_ready(1)
    client = fleet.client()
    for name, data in (
        ("127.0.0.1:9~1", b"{"),
        ("nowhere~1", b'{"zone":"east","kind":"standard","epoch":1}'),
        ("127.0.0.1:8~1", b'{"zone":"moon","kind":"standard","epoch":1}'),
        ("127.0.0.1:7~2", b'{"zone":"east","kind":"standard","epoch":1}'),
    ):
        assert fleet.ask(client, Create(f"{ROOT}/{name}", data))[0] == OK
    fleet.announce(2)
    fleet.wait_for_ready(1, 2)
    assert sum(event == "bad_node" for event, _ in fleet.logs) == 4


def test_supervise_follows_a_store_and_announce_joins_and_drains(tmp_path):
    """Runs the store, the supervisor and the announcer as processes."""
    run = lambda *command: subprocess.Popen(  # noqa: E731
        [sys.executable, "-m", "driftshed.cli", *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    store = run("roster", "serve", "--listen", "127.0.0.1:0", "--folder", str(tmp_path))
    processes = [store]
    try:
        where = store.stdout.readline().split()[1]
        supervisor = run(
            "supervise",
            "--listen",
            "127.0.0.1:0",
            "--roster-connect",
            where,
            "--session-timeout",
            "1",
            "--operation",
            "look:objective=0.5,timeout=1,value=1",
        )
        processes.append(supervisor)
        address = supervisor.stdout.readline().split()[1]
        server = run(
            "announce",
            "--roster-connect",
            where,
            "--server",
            "127.0.0.1:8000",
            "--zone",
            "east",
            "--kind",
            "standard",
            "--session-timeout",
            "1",
            "--drain-for",
            "0.5",
        )
        processes.append(server)
        assert server.stdout.readline() == "listed 127.0.0.1:8000 epoch 1\n"

        def servers():
            with urllib.request.urlopen(f"http://{address}/v1/servers", timeout=10) as answer:
                return {row["server"]: row["state"] for row in msgspec.json.decode(answer.read())}

        def until(wanted):
            end = time.monotonic() + 30
            while servers() != wanted:
                assert time.monotonic() < end, servers()
                time.sleep(0.05)

        until({"127.0.0.1:8000": "ready"})
        store.kill()
        store.wait(10)
        again = run("roster", "serve", "--listen", where, "--folder", str(tmp_path))
        processes.append(again)
        assert again.stdout.readline().startswith("listening")
        server.send_signal(signal.SIGTERM)
        assert server.wait(30) == 0
        until({})
    finally:
        for process in processes:
            process.kill()
            process.wait(10)
            process.stdout.close()


SESSIONS = """
about = "sessions end during a deploy, the store dies, and all end at once"
seconds = 13
operations = ["lookup:objective=0.5,timeout=1.5,value=1,late=0.2,effect=idempotent"]
[flags]
zones = "east,west"
proxies = 4
warm-within = 3
drain-grace = 2.5
[fleet]
servers = 6
store = true
session_timeout = 1.0
[traffic]
rate = 40
shares = [1]
work = [[0.02, 0.04]]
[[troubles]]
type = "deploy"
at = 1
servers = 2
every = 1.5
drain = 3
[[troubles]]
type = "lapse"
at = 2
share = 0.3
[[troubles]]
type = "store-down"
at = 6
down = 0.5
[[troubles]]
type = "lapse"
at = 9.5
within = 0.5
"""


def test_a_day_with_a_store_leaves_no_proxy_without_a_server_and_keeps_drains(tmp_path):
    """Judged from the bytes on the network, including those of the store."""
    from driftshed.day.judge import judge
    from driftshed.day.script import load_script
    from driftshed.day.stage import run_day as play_day

    path = tmp_path / "sessions.toml"
    path.write_text(SESSIONS)
    script = load_script(str(path))
    stage = play_day(script, 1, tmp_path)
    verdict = judge(script, stage.record)
    assert verdict.all_kept, verdict.violations
    assert verdict.rules["bare"]["checked"] and verdict.rules["drains"]["checked"] and verdict.service > 0.8
    assert [event["what"] for event in stage.events].count("sessions end") == 2


@pytest.mark.parametrize("change", ["store = true", 'type = "deploy"'])
def test_days_with_faults_that_do_not_fit_their_roster_are_rejected(tmp_path, change):
    from driftshed.day.script import BadScript, load_script

    wrong = {"store = true": "store = false", 'type = "deploy"': 'type = "late-roster"'}[change]
    text = SESSIONS.replace(change, wrong)
    if "late" in wrong:
        text = text.replace("servers = 2\nevery = 1.5\ndrain = 3", "lasts = 2\nby = 1")
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(BadScript, match="store"):
        load_script(str(path))


def test_corrupt_answers_raise_only_malformed_in_the_client():
    random = Random(6)
    for _ in range(3000):
        session = ClientSession(3.0)
        session.connected(0.0)
        session.receive(jute.write_connect_response(ConnectResponse(3000, 7, b"")), 0.0)
        session.ask(GetData("/a", True), lambda error, result: None, 0.0)
        session.ask(GetChildren("/", True, True), lambda error, result: None, 0.0)
        good = jute.write_reply(Reply(1, 5, OK), jute.buffer(b"x") + jute.stat(Stat(*range(11))))
        good += jute.write_event(Event(CHANGED, CONNECTED, "/a"))
        good += jute.write_reply(Reply(2, 6, OK), jute.vector([jute.string("n")]) + jute.stat(Stat(*range(11))))
        data = bytearray(good)
        for _ in range(random.randrange(1, 4)):
            data[random.randrange(len(data))] = random.randrange(256)
        try:
            session.receive(bytes(data), 0.1)
        except Malformed:
            pass
        assert len(session.frames.buffered) <= jute.MAX_FRAME_BYTES + 4


# ---- lists longer than a session's request limit -------------------------------------------------------------------


@pytest.mark.parametrize("broken", [0, 3], ids=["untroubled", "its connection reset while it reads"])
def test_a_list_of_more_nodes_than_pending_requests_is_published_complete(broken):
    from driftshed.lab.virtual import Seat
    from driftshed.roster.session import MAX_PENDING_REQUESTS
    from tests.fleets import STORE
    from tests.fleets import Fleet as Agents

    agents, count, updates = Agents(("a",)), MAX_PENDING_REQUESTS + 500, []
    tree = agents.store.store.tree
    tree.open_session(7, 60000, bytes(16))
    tree.execute(7, jute.Create("/driftshed", b""), 0)
    tree.execute(7, jute.Create(ROOT, b""), 0)
    for k in range(count):
        name = f"10.1.{k // 250}.{k % 250}:80"
        data = write_node(ServerAnnouncement(name, "east", "standard", "ready", None, 0, 1.0, 1))
        assert tree.execute(7, jute.Create(f"{ROOT}/{name}~1", data, jute.EPHEMERAL), 0).error == jute.OK
    agents.network.zones["127.0.9.9"] = "follower"
    follower = RosterFollower(
        Seat(agents.loop, "follower"),
        [STORE],
        ROOT,
        ("east",),
        ("standard",),
        Membership(4.0, 60.0),
        updates.append,
        lambda event, **fields: None,
        1,
        4.0,
        agents.network.dial("127.0.9.9"),
    )
    for k in range(broken):
        agents.run_until(lambda k=k: follower.reads > 600 * (k + 1), 20)
        agents.store.reset_connections()
    agents.run_until(lambda: updates, 60)
    assert updates[0].whole and len({each.server for each in updates[0].servers}) == count
    assert follower.pending_reads == 0 and not follower.unread
