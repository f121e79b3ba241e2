"""The proxy: statistics of the pickers, a model check of retries, limits and tables, and forwarding and following over
real sockets."""

import itertools
import resource
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from random import Random

import msgspec
import pytest
from click.testing import CliRunner

from driftshed import interface as face
from driftshed.cli import main
from driftshed.core.messages import Changes, In, Level, Line, Out, Use
from driftshed.net.http import HttpClient
from driftshed.net.http_server import Bounds, HttpServer
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener
from driftshed.proxy.follow import MAX_UNSENT_PERIODS, Follower, ReportCounts
from driftshed.proxy.forward import Forwarder, Limits
from driftshed.proxy.limits import BURST_S, Gate
from driftshed.proxy.pick import PICKERS, Weights
from driftshed.proxy.retry import (
    MAX_FURTHER_TRIES,
    FinishedTry,
    Outcome,
    Proof,
    RetryRules,
    may_follow,
    may_receive,
    proof_of,
    try_timeout,
)
from driftshed.proxy.tables import ChangesRejected, Tables
from driftshed.supervisor.flags import FLAGS, read_operation, start_facts
from tests.test_net import RawConnection, run_until
from tests.test_service import ServiceRig

# ---- picks ----------------------------------------------------------------------------------------------------------

SAMPLES = 1_000_000


def chi_square(counts: Counter, weights: dict[str, float]) -> float:
    total, picked = sum(weights.values()), sum(counts.values())
    return sum(
        (counts[name] - picked * weight / total) ** 2 / (picked * weight / total) for name, weight in weights.items()
    )


def bound(lines: int) -> float:
    """Bound that chi-square exceeds in about one of a million samples (approximation of Wilson and Hilferty)."""
    degrees = lines - 1
    return degrees * (1 - 2 / (9 * degrees) + 4.75 * (2 / (9 * degrees)) ** 0.5) ** 3


@pytest.mark.parametrize("kind", sorted(PICKERS))
def test_the_spread_is_that_of_the_weights(kind):
    random, weights = Random(1), Weights()
    lines = {f"s{n}": random.uniform(0.5, 2) for n in range(118)}
    for name, weight in lines.items():
        weights.set(name, weight)
    picker = PICKERS[kind](weights, random)
    counts = Counter(picker.pick([], {}) for _ in range(SAMPLES))
    assert set(counts) == set(lines) and chi_square(counts, lines) < bound(118)
    distance = sum(abs(counts[n] / SAMPLES - w / sum(lines.values())) for n, w in lines.items()) / 2
    assert distance < 0.02


@pytest.mark.parametrize("kind", sorted(PICKERS))
def test_the_spread_is_that_of_the_weights_after_a_thousand_changes(kind):
    random, weights = Random(2), Weights()
    picker, lines = PICKERS[kind](weights, random), {}
    for _ in range(1000):
        name = f"s{random.randrange(140)}"
        weight = random.choice([0.0, random.uniform(0.2, 3)])
        weights.set(name, weight)
        picker.on_weight_changed(name)
        lines[name] = weight
        if random.random() < 0.2:
            picker.pick([], {})
        # After each change the intervals of all lines are exact and adjacent.
        begins, at = [weights._units_before(place) for place in range(len(weights.units) + 1)], 0
        for place, units in enumerate(weights.units):
            assert begins[place] == at
            at += units
        assert at == weights.total
        for name, weight in lines.items():
            assert abs(weights.weight(name) - weight) <= Weights.UNIT
    lines = {name: weight for name, weight in lines.items() if weight}
    counts = Counter(picker.pick([], {}) for _ in range(SAMPLES))
    assert set(counts) <= set(lines) and chi_square(counts, lines) < bound(len(lines))


@pytest.mark.parametrize("seed", range(10))
def test_a_draw_leaves_out_what_is_named_and_keeps_the_proportions_of_the_rest(seed):
    random, weights = Random(seed), Weights()
    lines = {f"s{n}": random.uniform(0.5, 2) for n in range(20)}
    for name, weight in lines.items():
        weights.set(name, weight)
    excluded = random.sample(sorted(lines), random.randrange(1, 19))
    rest = {name: weight for name, weight in lines.items() if name not in excluded}
    counts = Counter(weights.draw_excluding(random, excluded) for _ in range(20000))
    assert set(counts) <= set(rest) and (len(rest) < 2 or chi_square(counts, rest) < bound(len(rest)))
    assert weights.draw_excluding(random, list(lines)) is None and Weights().draw(random) is None


def test_two_picks_the_server_with_fewer_under_way():
    weights = Weights()
    for name in "ab":
        weights.set(name, 1.0)
    picker = PICKERS["two"](weights, Random(1))
    counts = Counter(picker.pick([], {"a": 5}) for _ in range(4000))
    assert 0.22 < counts["a"] / 4000 < 0.28  # only where both draws are a


def test_a_pick_and_a_change_cost_no_more_than_a_path_of_the_tree():
    class Counted(list):
        reads = 0

        def __getitem__(self, place):
            Counted.reads += 1
            return super().__getitem__(place)

    for size in (16, 118, 4096):
        weights = Weights()
        for n in range(size):
            weights.set(f"s{n}", 1.0 + n % 7)
        weights.tree, Counted.reads = Counted(weights.tree), 0
        weights.draw(Random(1))
        weights.set("s3", 9.0)
        assert Counted.reads <= 3 * size.bit_length()


# ---- retries --------------------------------------------------------------------------------------------------------

# Whether the server may have run the invocation, by outcome of the try.
MAY_HAVE_RUN = {
    Outcome.ANSWERED: (True,),
    Outcome.UNSENT: (False,),
    Outcome.NEVER_RAN: (False,),
    Outcome.PARTIAL: (True,),
    Outcome.CLOSED_IDLE: (True, False),
    Outcome.CLOSED: (True, False),
    Outcome.FULL: (True, False),
    Outcome.ERRORED: (True, False),
    Outcome.LATE: (True, False),
}
WINDOW, MARGIN = 1.0, 0.1


def test_no_sequence_of_outcomes_leads_to_a_second_effect():
    """Every sequence of up to three tries: outcome, whether the server ran the invocation, duration, and for a
    fingerprinted invocation whether the server still knows it."""
    states = repeats = 0
    spans = (0.0, 0.3, 0.85, 0.95, 1.2)
    for effect, mode, full in itertools.product(("idempotent", "fingerprinted", "side-effecting"), range(4), (0, 1)):
        rules = RetryRules(effect, WINDOW if effect == "fingerprinted" else None, "all", bool(full), MARGIN)
        may_have_run = MAY_HAVE_RUN | ({Outcome.NEVER_RAN: (True, False)} if full else {})
        frontier = [((), 0.0, ())]  # tries, now, times at which servers ran it
        while frontier:
            tried, now, ran = frontier.pop()
            states += 1
            if tried and not may_follow(rules, mode, list(tried), now):
                continue
            assert len(tried) <= MAX_FURTHER_TRIES[mode]
            repeats += bool(tried)
            for outcome, span in itertools.product(Outcome, spans):
                for took_effect in may_have_run[outcome]:
                    effects = ran
                    if took_effect:
                        # It reaches its server within the margin; the server drops repeats within the window.
                        arrives = now + min(span, MARGIN)
                        doubtful = [
                            t.started_at for t in tried if proof_of(t.outcome, rules.full_may_have_run) is Proof.NONE
                        ]
                        known = effect == "fingerprinted" and ran and arrives < doubtful[0] + WINDOW
                        assert effect == "idempotent" or not ran or known, (rules, mode, tried, outcome)
                        effects = (*ran, arrives) if not known else ran
                    begun = FinishedTry(f"s{len(tried)}", "", -1, now, outcome)
                    frontier.append(((*tried, begun), now + span, effects))
    assert repeats > 1000 and states == 900_044


def test_the_proof_table_says_each_outcome():
    sure = {outcome for outcome in Outcome if proof_of(outcome, False) is Proof.SURE}
    assert sure == {Outcome.UNSENT, Outcome.NEVER_RAN}
    assert {outcome for outcome in Outcome if proof_of(outcome, True) is Proof.SURE} == {Outcome.UNSENT}


def test_a_fingerprinted_invocation_in_doubt_goes_where_its_mark_is_known():
    tried = [FinishedTry("a", "east", 1, 0.0, Outcome.CLOSED)]
    for scope, zone, cell, allowed in (
        ("all", "west", 9, True),
        ("zone", "east", 9, True),
        ("zone", "west", 1, False),
        ("cell", "east", 1, True),
        ("cell", "east", 2, False),
        ("zone", "", -1, False),
    ):
        rules = RetryRules("fingerprinted", 1.0, scope, False, 0.1)
        assert may_receive(rules, tried, "b", zone, cell) is allowed
        assert not may_receive(rules, tried, "a", zone, cell)  # never the same server
    sure = [FinishedTry("a", "east", 1, 0.0, Outcome.UNSENT)]
    assert may_receive(RetryRules("fingerprinted", 1.0, "cell", False, 0.1), sure, "b", "west", 3)


def test_a_try_waits_the_objectives_only_where_another_may_follow():
    assert try_timeout(0.0, 2.0, 0.5, face.ONE_AFTER_PROOF, 0, 1.0) == 2.0
    assert try_timeout(0.0, 2.0, 0.5, face.ONE_AFTER_ANY, 0, 1.0) == 0.5
    assert try_timeout(0.6, 2.0, 0.5, face.ONE_AFTER_ANY, 1, 1.0) == 1.4
    assert try_timeout(1.8, 2.0, 0.5, face.TWO_AFTER_ANY, 1, 1.0) == pytest.approx(0.2)


# ---- limits and tables ----------------------------------------------------------------------------------------------


def test_a_gate_admits_its_share_and_its_rate():
    share = Gate("share", Random(1))
    share.set(0.3, 0.0)
    assert abs(sum(share.admit(0.0) for _ in range(20000)) / 20000 - 0.3) < 0.015
    rate = Gate("rate", Random(1))
    rate.set(20.0, 0.0)
    let_in = [now for now in (k / 1000 for k in range(10_000)) if rate.admit(now)]
    assert 20 * 10 - 1 <= len(let_in) <= 20 * (10 + BURST_S) + 1
    rate.set(0.0, 10.0)
    assert not rate.admit(20.0) and Gate("off", Random(1)).admit(0.0)


def make_changes(since: int, version: int, *rows, whole: bool = False, run: str = "r") -> Changes:
    return Changes(run, since, version, whole, list(rows))


def make_tables(standing=(), pick: str = "weighted") -> Tables:
    tables = Tables(2, pick, "share", 0, list(standing), Random(1))
    tables.run = "r"
    return tables


A, B, C = "127.0.0.1:81", "127.0.0.1:82", "127.0.0.1:83"


def test_tables_are_updated_line_by_line_and_exclude_withdrawn_servers():
    tables = make_tables(standing=[C])
    assert tables.pick(0, [], {}) == C and tables.try_mode(0) == 0
    tables.apply(
        make_changes(0, 1, Use(0, 0), Use(1, 1), Line(0, A, 1.0), Line(0, B, 1.0), Line(1, B, 1.0), whole=True), 0.0
    )
    assert {tables.pick(0, [], {}) for _ in range(50)} == {A, B} and tables.pick(1, [], {}) == B
    tables.apply(make_changes(1, 2, Out(B), Level(0, 0, 0.5, 1)), 0.0)
    assert {tables.pick(0, [], {}) for _ in range(20)} == {A} and tables.pick(1, [], {}) is None
    assert tables.gates[0].level == 0.5 and tables.try_mode(0) == 1 and tables.servers() == {A}
    tables.apply(make_changes(2, 3, In(B), Line(0, A, 0.0), Level(face.EVERY_TABLE, 0, 0.2, 0)), 0.0)
    assert {tables.pick(0, [], {}) for _ in range(20)} == {B} and tables.gates[0].level == 0.2


@pytest.mark.parametrize(
    "bad",
    [
        make_changes(0, 2, Line(0, A, 1.0)),
        make_changes(1, 2, Line(0, A, float("nan"))),
        make_changes(1, 2, Line(0, A, float("inf"))),
        make_changes(1, 2, Line(0, A, -1.0)),
        make_changes(1, 2, Line(0, "nowhere", 1.0)),
        make_changes(1, 2, Level(0, 9, 1.0, 1)),
        make_changes(1, 2, Level(0, 0, float("nan"), 1)),
        make_changes(1, 2, Use(7, 0)),
        make_changes(1, 0, Line(0, A, 1.0)),
        make_changes(1, 2, Line(0, B, 2.0), Line(0, A, -1.0)),
        make_changes(1, 2, Line(0, A, 2.0), run="other"),
        make_changes(1, 5, Use(0, 3), whole=True),
    ],
)
def test_invalid_changes_are_rejected_and_the_last_valid_tables_are_kept(bad):
    tables = make_tables()
    tables.apply(make_changes(0, 1, Use(0, 0), Line(0, A, 1.0), Line(0, B, 1.0), whole=True), 0.0)
    before = dict(tables.state)
    with pytest.raises(ChangesRejected):
        tables.apply(bad, 0.0)
    assert tables.state == before and tables.version == 1
    assert {tables.pick(0, [], {}) for _ in range(40)} == {A, B}


# ---- on sockets -----------------------------------------------------------------------------------------------------


def make_facts(tries: int = 1, full: bool = False, **more) -> face.StartFacts:
    given = {flag.fact: flag.param_type.convert(flag.default, None, None) for flag in FLAGS}
    given |= {"default_tries": tries, "full_may_have_run": full, **more}
    given["operations"] = tuple(
        read_operation(text)
        for text in (
            "look:objective=0.3,timeout=1.0,value=1,effect=idempotent",
            "mark:objective=0.3,timeout=1.0,value=2,effect=fingerprinted,window=2.0",
            "post:objective=0.3,timeout=1.0,value=3,effect=side-effecting",
        )
    )
    return start_facts(given)


class ProxyRig:
    """Servers with a set behaviour, a forwarder in front of them, and a client."""

    def __init__(self, servers: int = 2, tries: int = 1, limits: Limits = Limits(), full: bool = False, **more) -> None:
        self.loop, self.requests = Loop(), []
        self.servers = [HttpServer(self.loop, ("127.0.0.1", 0), self._serve) for _ in range(servers)]
        self.behaviours = ["well"] * servers
        names = [f"127.0.0.1:{server.address[1]}" for server in self.servers]
        self.names, facts = names, make_facts(tries, full)
        self.tables = Tables(3, "weighted", "share", tries, names, Random(1))
        self.forwarder = Forwarder(
            self.loop, ("127.0.0.1", 0), 5, facts, self.tables, ReportCounts(["look", "mark", "post"]), limits, **more
        )
        self.client = HttpClient(self.loop, self.forwarder.address)

    def _serve(self, request) -> None:
        place = next(k for k, server in enumerate(self.servers) if request.connection.server is server)
        self.requests.append((place, request))
        behaviour = self.behaviours[place]
        if behaviour == "well":
            request.answer(200, b"from %d " % place + request.body, "text/plain", "x-own: 1\r\n")
        elif behaviour == "full":
            request.answer(503)
        elif behaviour == "never":
            request.answer(503, extra="x-never-ran: 1\r\n")
        elif behaviour == "leaves look" and not request.path.endswith("look"):
            request.answer(200, b"served")
        elif behaviour == "errs":
            request.answer(500)
        elif behaviour == "closes":
            request.connection.stream.abort("closed")
        elif behaviour == "partial":
            request.connection.stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            request.connection.stream.finish()

    def send(self, operation: str = "look", body: bytes = b"", headers: str = "", within: float = 8.0) -> list:
        answers: list = []
        self.client.call("POST", f"/do/{operation}", body, answers.append, within, headers)
        return answers

    def get(self, *args, **more):
        answers = self.send(*args, **more)
        run_until(self.loop, lambda: answers)
        return answers[0]

    def close(self) -> None:
        self.forwarder.http.close()
        for server in self.servers:
            server.close()
        self.loop.close()


@pytest.fixture
def rig():
    rig = ProxyRig()
    yield rig
    rig.close()


def test_an_invocation_goes_through_with_its_headers_and_without_those_of_the_connection(rig):
    answer = rig.get("look", b"hello", "x-mine: 7\r\nconnection: keep-alive, x-drop\r\nx-drop: 1\r\nte: trailers\r\n")
    assert answer.status == 200 and answer.body.endswith(b"hello") and answer.headers[b"x-own"] == b"1"
    headers = rig.requests[0][1].headers
    assert headers[b"x-mine"] == b"7" and not {b"x-drop", b"te"} & set(headers)
    assert 0 < float(headers[b"x-timeout"]) <= 1.0


@pytest.mark.parametrize(
    ("operation", "behaviour", "tries", "full", "sends"),
    [
        ("look", "never", 1, False, 2),
        ("mark", "never", 1, False, 2),
        ("post", "never", 1, False, 2),
        ("post", "never", 1, True, 1),
        ("look", "full", 1, False, 1),
        ("post", "full", 1, False, 1),
        ("look", "full", 2, False, 2),
        ("mark", "full", 2, False, 2),
        ("post", "full", 2, False, 1),
        ("look", "errs", 2, False, 2),
        ("post", "errs", 3, False, 1),
        ("post", "closes", 3, False, 1),
        ("mark", "closes", 2, False, 2),
        ("post", "partial", 3, False, 1),
        ("look", "partial", 2, False, 2),
        ("post", "silent", 3, False, 1),
        ("look", "silent", 2, False, 2),
        ("look", "never", 0, False, 1),
        ("look", "errs", 3, False, 3),
    ],
)
def test_another_try_is_made_only_as_mode_and_proof_allow(operation, behaviour, tries, full, sends):
    rig = ProxyRig(servers=3, tries=tries, full=full)
    rig.behaviours = [behaviour] * 3
    answer = rig.get(operation)
    assert len(rig.requests) == sends and len({place for place, _ in rig.requests}) == sends
    never = behaviour == "never" and not full
    assert answer.status == (503 if never else 504 if behaviour == "silent" else 502)
    assert (answer.headers.get(b"x-never-ran") == b"1") is never
    if operation == "mark" and sends == 2:
        marks = [request.headers[b"idempotency-key"] for _, request in rig.requests]
        assert marks[0] == marks[1]
    rig.close()


def test_a_server_that_leaves_one_operation_unanswered_serves_the_rest(rig):
    rig.behaviours = ["leaves look", "leaves look"]
    waiting = rig.send("look")
    assert [rig.get("post").status for _ in range(20)] == [200] * 20
    run_until(rig.loop, lambda: waiting)
    assert waiting[0].status == 504


def test_a_server_that_is_not_there_is_proof_and_the_next_one_gets_it(rig):
    rig.servers[0].close()
    answers = [rig.get("post") for _ in range(12)]
    assert all(answer.status == 200 and answer.body == b"from 1 " for answer in answers)
    assert rig.forwarder.report_counts.by_server[rig.names[0]][1] >= 1


def test_a_connection_closed_while_idle_is_no_proof_for_what_is_side_effecting():
    # The race: the server closes a keep-alive connection just when a request is written on it.
    rig = ProxyRig(servers=2, tries=1)
    for _ in range(12):
        assert rig.get("post").status == 200
    assert all(len(server.connections) == 1 for server in rig.servers)  # both are idle and kept open
    rig.behaviours = ["closes", "closes"]
    rig.requests.clear()
    answer = rig.get("post")
    assert answer.status == 502 and b"x-never-ran" not in answer.headers and len(rig.requests) == 1
    rig.close()


def test_the_integration_timeout_holds_across_all_tries_and_the_answer_is_due_before(rig):
    rig.behaviours = ["silent", "silent"]
    began = time.monotonic()
    answer = rig.get("look", headers="x-timeout: 0.4\r\n")
    assert answer.status == 504 and 0.3 < time.monotonic() - began < 3.0
    assert all(float(request.headers[b"x-timeout"]) <= 0.4 for _, request in rig.requests)
    assert rig.get("look", headers="x-timeout: soon\r\n").status == 400


def test_nothing_to_pick_is_refused_at_once_with_a_time_to_come_back(rig):
    rig.tables.run = "r"
    rig.tables.apply(make_changes(0, 1, Use(0, 0), Line(0, A, 1.0), Out(A), whole=True), 0.0)
    answer = rig.get("look")
    assert (answer.status, answer.headers[b"x-reason"], answer.headers[b"retry-after"]) == (503, b"bare", b"1")
    assert rig.get("unknown").status == 404
    rig.tables.gates[2].set(0.0, 0.0)
    assert rig.get("post").headers[b"x-reason"] == b"level"


def test_a_drain_completes_what_is_under_way_and_starts_nothing_more(rig):
    rig.behaviours = ["hold", "hold"]
    answers = [rig.send("look") for _ in range(6)]
    run_until(rig.loop, lambda: len(rig.requests) == 6)
    gone = rig.requests[0][0]
    rig.tables.run = "r"
    rig.tables.apply(make_changes(0, 1, Use(0, 0), Line(0, rig.names[1 - gone], 1.0), whole=True), 0.0)
    rig.forwarder.close_removed_servers()
    for _, request in list(rig.requests):
        request.answer(200)
    run_until(rig.loop, lambda: all(answers))
    assert all(answer[0].status == 200 for answer in answers)
    run_until(rig.loop, lambda: not rig.servers[gone].connections)
    rig.behaviours = ["well", "well"]
    assert {rig.get("look").body for _ in range(10)} == {b"from %d " % (1 - gone)}


def test_connections_to_one_server_are_capped_and_the_rest_refused():
    rig = ProxyRig(servers=1, limits=Limits(connections=3, connecting=2))
    rig.behaviours = ["hold"]
    answers = [rig.send("look") for _ in range(10)]
    run_until(rig.loop, lambda: sum(map(bool, answers)) >= 7)
    assert len(rig.servers[0].connections) <= 3
    assert all(answer[0].status == 503 and answer[0].headers[b"x-never-ran"] == b"1" for answer in answers if answer)
    rig.close()


def test_a_client_that_disconnects_cancels_its_try(rig):
    rig.behaviours = ["hold", "hold"]
    rig.send("look", within=0.1)
    run_until(rig.loop, lambda: rig.requests)
    run_until(rig.loop, lambda: not rig.forwarder.under_way)
    run_until(rig.loop, lambda: not rig.requests[0][1].connection.server.connections)
    assert not rig.forwarder.in_flight


@pytest.mark.parametrize(
    "sent",
    [
        b"POST /do/look HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /do/look HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        b"POST /do/look HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        b"POST /do/look HTTP/1.1\r\nx-a: 1\r\n folded\r\ncontent-length: 0\r\n\r\n",
        b"POST /do/look HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"POST /do/look HTTP/1.1\r\ntransfer-encoding: identity, chunked, gzip\r\n\r\n0\r\n\r\n",
        b"POST /do/look HTTP/1.1\r\ncontent-length : 5\r\n\r\nhello",
    ],
)
def test_requests_that_may_be_read_in_two_ways_are_refused_and_the_connection_ends(rig, sent):
    raw = RawConnection(rig.loop, rig.forwarder.address)
    raw.sock.sendall(sent)
    run_until(rig.loop, lambda: raw.read() and raw.ended)
    assert raw.got.startswith(b"HTTP/1.1 400") and not rig.requests


def test_one_byte_at_a_time_and_a_body_cut_short(rig):
    raw = RawConnection(rig.loop, rig.forwarder.address)
    raw.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for byte in b"POST /do/look HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc":
        raw.sock.send(bytes([byte]))
        rig.loop.turn(time.monotonic() + 0.001)
    run_until(rig.loop, lambda: b"abc" in raw.read())
    cut = RawConnection(rig.loop, rig.forwarder.address)
    cut.sock.sendall(b"POST /do/look HTTP/1.1\r\ncontent-length: 30\r\n\r\nabc")
    cut.sock.close()
    rig.loop.turn(time.monotonic() + 0.05)
    assert len(rig.requests) == 1 and rig.get("look").status == 200


def test_a_server_that_answers_one_byte_at_a_time(rig):
    loop, slow = rig.loop, []

    def answer_slowly(stream) -> None:
        data = bytearray(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow")

        def send_next_byte() -> None:
            if data:
                stream.write(bytes([data.pop(0)]))
                loop.after(0.001, send_next_byte)

        stream.on_data = lambda _: send_next_byte()
        slow.append(stream)

    listener = Listener(loop, ("127.0.0.1", 0), answer_slowly)
    rig.tables.run = "r"
    line = Line(0, f"127.0.0.1:{listener.address[1]}", 1.0)
    rig.tables.apply(make_changes(0, 1, Use(0, 0), line, whole=True), 0.0)
    assert rig.get("look").body == b"slow"
    listener.close()


def test_out_of_descriptors_accepts_again_when_there_are_some(rig, monkeypatch):
    listener, real = rig.forwarder.http.listener, rig.forwarder.http.listener.sock
    calls = []

    class Empty:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            calls.append(time.monotonic())
            if len(calls) < 3:
                raise OSError(24, "Too many open files")
            return real.accept()

    listener.sock = Empty()
    monkeypatch.setattr(
        rig.loop,
        "watch",
        lambda sock, *rest, watch=rig.loop.watch: watch(real if isinstance(sock, Empty) else sock, *rest),
    )
    assert rig.get("look").status == 200
    assert len(calls) >= 3 and calls[2] - calls[0] > 0.15  # it waits between attempts


def test_many_clients_at_once_are_served_or_refused_plainly():
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20000), hard))
    rig = ProxyRig(servers=2, limits=Limits(invocations=200, connections=64), bounds=Bounds(connections=600))
    answers: list = []
    for _ in range(5000):
        HttpClient(rig.loop, rig.forwarder.address).call("POST", "/do/look", b"", answers.append, 20.0)
    run_until(rig.loop, lambda: len(answers) == 5000, 60.0)
    kinds = Counter(answer.status for answer in answers)
    assert kinds[200] > 100 and kinds[200] + kinds[503] == 5000
    rig.close()


def test_stopping_answers_what_is_under_way_and_accepts_nothing_new(rig):
    rig.behaviours = ["hold", "hold"]
    answers, done = rig.send("look"), []
    run_until(rig.loop, lambda: rig.requests)
    rig.forwarder.stop(lambda: done.append(1), 5.0)
    late = []
    HttpClient(rig.loop, rig.forwarder.address).call("POST", "/do/look", b"", late.append, 2.0)
    run_until(rig.loop, lambda: late)
    assert late[0].error == "refused" and not done
    rig.requests[0][1].answer(200)
    run_until(rig.loop, lambda: answers and done)
    assert answers[0].status == 200


def test_the_process_answers_what_is_under_way_before_it_ends_on_sigterm():
    loop, held, answers = Loop(), [], []
    server = HttpServer(loop, ("127.0.0.1", 0), held.append)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "driftshed.cli",
            "proxy",
            "--listen",
            "127.0.0.1:0",
            "--number",
            "1",
            "--zone",
            "east",
            "--supervisor",
            "127.0.0.1:1",
            "--standing",
            f"127.0.0.1:{server.address[1]}",
            "--operation",
            "look:objective=1,timeout=20,value=1,effect=idempotent",
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        port = process.stdout.readline().strip().rpartition(":")[2]
        client = HttpClient(loop, ("127.0.0.1", int(port)))
        client.call("POST", "/do/look", b"", answers.append, 20.0)
        run_until(loop, lambda: held)
        process.send_signal(signal.SIGTERM)
        loop.run(time.monotonic() + 0.3)
        assert not answers and process.poll() is None
        held[0].answer(200, b"in the end", "text/plain")
        run_until(loop, lambda: answers)
        assert answers[0].body == b"in the end" and process.wait(10) == 0
        assert '"event": "stopped"' in process.stderr.read()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        process.stderr.close()
        server.close()


@pytest.mark.parametrize(
    ("flags", "expected"),
    [
        (["--zone", "moon"], "one of east, west"),
        (["--supervisor", "nowhere"], "--supervisor"),
        (["--standing", "10.0.0.1:80"], "loopback alone"),
        (["--listen", "127.0.0.1"], "--listen"),
    ],
)
def test_a_bad_flag_of_the_proxy_is_named_with_its_remedy(flags, expected):
    given = {
        "--number": "1",
        "--zone": "east",
        "--supervisor": "127.0.0.1:7000",
        "--operation": "look:objective=1,timeout=20,value=1",
    } | dict([flags])
    result = CliRunner().invoke(main, ["proxy", *(part for pair in given.items() for part in pair)])
    assert result.exit_code == 2 and expected in " ".join(result.output.split())


# ---- following ------------------------------------------------------------------------------------------------------


class FollowerRig(ServiceRig):
    """A supervisor's service and a follower of it."""

    def follow(self, *before: tuple[str, int]) -> Follower:
        self.tables = Tables(3, "weighted", "share", 0, [], Random(1))
        self.log_events: list = []
        follower = Follower(
            self.loop,
            3,
            "east",
            5.0,
            [*before, self.service.address],
            self.tables,
            ReportCounts([operation.name for operation in self.instance.facts.operations]),
            Random(1),
            lambda event, **fields: self.log_events.append((event, fields)),
            report_period=0.1,
        )
        self.follower = follower
        return follower


@pytest.fixture
def followed():
    rig = FollowerRig(silence_timeout=0.5)
    yield rig
    rig.follower.stopped = True
    rig.close()


def test_a_follower_joins_is_put_on_a_table_and_acknowledges(followed):
    followed.push_roster(1, True, 1, 2, 3)
    followed.follow()
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 3)
    followed.push_roster(2, False, 2, state="draining")
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 2)
    run_until(followed.loop, lambda: not followed.instance.hub.records[3].marks)


def test_a_follower_keeps_its_tables_while_every_supervisor_is_away_and_counts_what_it_drops(followed):
    followed.push_roster(1, True, 1, 2, 3)
    follower = followed.follow()
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 3)
    followed.service.http.close()
    run_until(followed.loop, lambda: not follower.stream)
    for _ in range(MAX_UNSENT_PERIODS):
        follower.report_counts.add_try("10.0.0.1:80", 0.1, None)
    run_until(followed.loop, lambda: follower.report_counts.dropped_tries)
    assert len(followed.tables.servers()) == 3 and any(event == "reports_dropped" for event, _ in followed.log_events)


def test_a_follower_takes_no_tables_of_other_operations(followed):
    followed.push_roster(1, True, 1, 2, 3)
    followed.follow().report_counts.operations = ["look"]
    run_until(followed.loop, lambda: any(event == "turned_down" for event, _ in followed.log_events))
    assert "--operation" in dict(followed.log_events)["turned_down"]["why"] and not followed.tables.state


def test_a_follower_goes_to_another_supervisor_when_the_first_does_not_answer(followed):
    followed.push_roster(1, True, 1, 2)
    silent = Listener(followed.loop, ("127.0.0.1", 0), lambda stream: None)
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        closed = free.getsockname()
    followed.follow(closed, silent.address)
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 2, 20.0)
    silent.close()


def test_a_follower_rejects_invalid_changes_and_requests_a_full_snapshot(followed):
    followed.push_roster(1, True, 1, 2, 3)
    follower = followed.follow()
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 3)
    whole = dict(followed.tables.state)
    answer = type("Answer", (), {"status": 200, "error": ""})()
    answer.body = msgspec.json.encode(Changes("run", 77, 78, False, [Line(0, A, 1.0)]))
    follower.control_client.close()
    follower._handle_poll_answer(answer)
    assert followed.tables.state == whole and follower.rejected_changes == 1
    run_until(followed.loop, lambda: follower.stream and followed.tables.version)
    assert followed.tables.state == whole


def test_a_restarted_follower_joins_above_the_terms_that_it_had(followed):
    followed.push_roster(1, True, 1, 2)
    followed.service.highest_terms[3] = 41
    follower = followed.follow()
    run_until(followed.loop, lambda: len(followed.tables.servers()) == 2)
    assert follower.term == 42 and followed.service.highest_terms[3] == 42


def test_a_follower_learns_of_the_living_and_gives_a_silent_one_up_for_them(followed):
    followed.push_roster(1, True, 1, 2)
    silent = Listener(followed.loop, ("127.0.0.1", 0), lambda stream: None)
    name = "{}:{}".format(*silent.address)
    followed.service.live_supervisors = lambda: [name, "no address", "{}:{}".format(*followed.service.address)]
    follower, hung = followed.follow(), []
    follower.poll_wait, follower.poll_grace = 0.3, 0.1
    handle_poll = followed.service._handle_poll
    followed.service._handle_poll = lambda request, proxy: hung.append(request)
    run_until(followed.loop, lambda: hung)
    assert follower.addresses == [followed.service.address, silent.address] and follower.current == 0
    followed.service._handle_poll = handle_poll
    run_until(followed.loop, lambda: follower.current == 1)  # the next one, which does not answer a join either
    run_until(followed.loop, lambda: follower.stream, 20.0)
    assert follower.addresses[follower.current] == followed.service.address
    silent.close()
