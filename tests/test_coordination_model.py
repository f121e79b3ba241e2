"""Models of leases and of records, with every order of what can happen: the records' model goes by the program's own
rules (`coordination/agreement.py`)."""

from itertools import product
from typing import NamedTuple

import pytest
from msgspec import UNSET

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Barred, Vote
from driftshed.lab.model import explore

# ---- leases and fences: starts of one name, a store, clocks that drift ------------------------------------------

TIMEOUT, DRIFT = 3, 1  # ticks of the store's clock; by how many of them another clock may be behind


class Start(NamedTuple):
    """One process of the name. `flight`: a request on its way ("ask", lease, late) or its answer ("told", lease, late,
    sole); `late` ticks by which the own clock has fallen behind since a lease was counted from."""

    up: str = "off"  # off, up, paused, fenced
    number: int = 0
    session: int = 0  # ticks that are left of it at the store; 0: over, and its node is gone
    lease: int = 0  # by the own clock
    late: int = 0
    sole: bool = False
    flight: tuple = ()
    troubles: int = 1


class Leases(NamedTuple):
    counter: int
    starts: tuple[Start, ...]


def holds(start: Start, tamper: str) -> bool:
    timely = start.lease > 0 or (tamper == "lease" and start.number > 0)
    return start.up == "up" and timely and (start.sole or (tamper == "fence" and start.number > 0))


def lease_moves(state: Leases, tamper: str = ""):
    length = TIMEOUT if tamper == "drift" else TIMEOUT - DRIFT
    counter, starts = state

    def put(k: int, start: Start, counter: int = counter) -> Leases:
        return Leases(counter, starts[:k] + (start,) + starts[k + 1 :])

    for k, s in enumerate(starts):
        if s.up == "off" and s.number == 0:
            yield f"{k} starts", put(k, s._replace(up="up", number=counter + 1, session=TIMEOUT), counter + 1)
        if s.up == "up" and not s.flight:
            yield f"{k} asks", put(k, s._replace(flight=("ask", length, 0)))
        if s.up == "paused":
            yield f"{k} wakes", put(k, s._replace(up="up"))
        if s.up == "up" and s.troubles:
            yield f"{k} pauses", put(k, s._replace(up="paused", troubles=s.troubles - 1))
            yield f"{k} dies", put(k, s._replace(up="off", flight=(), lease=0, troubles=s.troubles - 1))
        if s.flight and s.flight[0] == "ask":
            yield f"{k}'s request is lost", put(k, s._replace(flight=()))
            if s.session:
                sole = not any(o.session and 0 < o.number < s.number for o in starts)
                told = ("told", *s.flight[1:], sole)
                yield f"{k}'s request comes", put(k, s._replace(session=TIMEOUT, flight=told))
            elif counter > s.number:
                yield f"{k} is told of a later start", put(k, s._replace(up="fenced", flight=(), lease=0))
            else:
                again = s._replace(session=TIMEOUT, flight=(), lease=0, sole=False)
                yield f"{k}'s session was over: it joins again", put(k, again)
        if s.flight and s.flight[0] == "told":
            yield f"{k}'s answer is lost", put(k, s._replace(flight=()))
            if s.up == "up":
                _, lease, late, sole = s.flight
                newer = {"lease": lease, "late": late} if lease >= s.lease else {}
                yield f"{k} is told", put(k, s._replace(flight=(), sole=s.sole or sole, **newer))
        if s.up == "up" and 0 < s.number < counter:
            yield f"{k} is fenced", put(k, s._replace(up="fenced", lease=0, flight=(), session=0))
    behind = [
        (False, True)
        if s.up in ("up", "paused") and s.late < DRIFT and (not s.flight or s.flight[2] < DRIFT)
        else (False,)
        for s in starts
    ]
    for lags in product(*behind):
        aged = []
        for s, lag in zip(starts, lags, strict=True):
            less = 0 if lag else 1
            flight = s.flight and (s.flight[0], max(0, s.flight[1] - less), s.flight[2] + lag, *s.flight[3:])
            aged.append(
                s._replace(
                    session=max(0, s.session - 1), lease=max(0, s.lease - less), late=s.late + lag, flight=flight
                )
            )
        yield "a tick", Leases(counter, tuple(aged))


def lease_wrong(state: Leases, tamper: str = "") -> str:
    acting = [s for s in state.starts if holds(s, tamper)]
    if any(not s.session for s in acting):
        return "acts after its session is over"
    return "two starts of one name act" if len(acting) > 1 else ""


def test_no_start_of_two_acts_after_its_lease_nor_beside_the_other():
    """Every state there is."""
    found = explore(Leases(0, (Start(), Start())), lease_moves, lease_wrong)
    assert found.whole and not found.broken, found
    assert found.states > 50_000


def test_no_start_of_three_does_as_far_as_was_searched():
    """The shortest ways alone; `benchmarks/coordination.py models` goes on."""
    found = explore(Leases(0, (Start(),) * 3), lease_moves, lease_wrong, 60_000)
    assert not found.broken, found
    assert found.states == 60_000


@pytest.mark.parametrize(
    "tamper, said",
    [
        ("drift", "acts after"),
        ("lease", "acts after"),
        ("fence", "two starts"),
    ],
)
def test_the_model_of_leases_fails_without_drift_bound_lease_or_fence(tamper, said):
    start = Leases(0, (Start(), Start()))
    found = explore(start, lambda state: lease_moves(state, tamper), lambda state: lease_wrong(state, tamper))
    assert said in found.broken and found.way


# ---- records: proposals, words, and who counts them, over a store -----------------------------------------------


class Peer(NamedTuple):
    """`view`: (record, version, count) as last read; `words`: ballots as last read; `flight`: a request on its way, or
    its answer; `told`: what became of its proposal by what it has read."""

    view: tuple | None = None
    words: frozenset = frozenset()
    flight: tuple = ()
    proposals: int = 1
    spoke: int = 0
    losses: int = 1
    told: str = ""


class Records(NamedTuple):
    record: object
    version: int
    count: int
    words: frozenset
    ends: frozenset  # (epoch, state, token) of all that ever was, for the check alone
    orphans: frozenset  # requests of processes that died, which may still come
    peers: tuple[Peer, ...]
    crashes: int


NAMES = ("a", "b", "c")


def carry_out(state: Records, request: tuple, tamper: str) -> tuple[Records, tuple]:
    """What the store does on a request, and what it answers."""
    kind = request[0]
    if kind == "read":
        return state, ("told", (state.record, state.version, state.count), state.words)
    if kind == "word":
        ballot = request[1]
        if not any((word.name, word.epoch) == (ballot.name, ballot.epoch) for word in state.words):
            state = state._replace(words=state.words | {ballot})
        return state, ("done",)
    _, record, version, count = request
    if tamper != "compare" and (version != state.version or (count is not None and count != state.count)):
        return state, ("done",)
    ends = state.ends | {(record.epoch, record.state, record.token)}
    return state._replace(
        record=record, version=state.version + 1, count=state.count + (count is not None), ends=ends
    ), ("done",)


def read(peer: Peer, token: str, view: tuple, words: frozenset) -> Peer:
    """What a peer makes of what it has read: what was seen only rises, and a token tells its own."""
    record, old = view[0], peer.view[0] if peer.view else None
    if record is not None and not agreement.newer(record, old):
        return peer._replace(flight=())
    told = peer.told
    if record is not None and record.token == token and record.state != "open":
        told = "settled" if record.passed else "void"
    elif record is not None and record.standing is not None and record.standing.token == token:
        told = "settled"
    return peer._replace(view=view, words=words, flight=(), told=told)


def record_moves(state: Records, tamper: str = "", quorum: int = 0):
    needs = NAMES[: len(state.peers)]

    def put(k: int, peer: Peer, state: Records = state) -> Records:
        return state._replace(peers=state.peers[:k] + (peer,) + state.peers[k + 1 :])

    for k, (name, peer) in enumerate(zip(needs, state.peers, strict=True)):
        token = f"{name}#1"
        if peer.flight and peer.flight[0] == "ask":
            done, answer = carry_out(state, peer.flight[1], tamper)
            yield f"{name}'s {peer.flight[1][0]} is done", put(k, peer._replace(flight=answer), done)
            if peer.losses:
                yield (
                    f"{name}'s {peer.flight[1][0]} is lost",
                    put(k, peer._replace(flight=(), view=None, losses=peer.losses - 1)),
                )
        elif peer.flight:
            if peer.flight[0] == "told":
                yield f"{name} reads", put(k, read(peer, token, *peer.flight[1:]))
            else:
                yield f"{name} is answered", put(k, peer._replace(flight=(), view=None))
            if peer.losses:
                yield f"{name}'s answer is lost", put(k, peer._replace(flight=(), view=None, losses=peer.losses - 1))
        elif peer.view is None:
            yield f"{name} asks", put(k, peer._replace(flight=("ask", ("read",))))
        else:
            record, version, count = peer.view
            if (record is None or record.state != "open") and peer.proposals:
                try:
                    new = agreement.proposed(record, "t", count + 1, name, token, 0, needs, quorum or len(needs), 1.0)
                except Barred:
                    new = None
                if new is not None:
                    request = ("ask", ("put", new, version, count))
                    yield f"{name} proposes", put(k, peer._replace(flight=request, proposals=peer.proposals - 1))
            if record is not None and record.state == "open":
                if peer.spoke < record.epoch:
                    for assent in (True, False):
                        word = ("word", Vote(name, record.epoch, assent))
                        yield f"{name} says {assent}", put(k, peer._replace(flight=("ask", word), spoke=record.epoch))
                words = {word.name: word for word in peer.words if word.epoch == record.epoch}
                result = agreement.outcome(record, words)
                if result is UNSET:
                    result = agreement.timed_out(record, words)
                yield f"{name}: {result.state}", put(k, peer._replace(flight=("ask", ("put", result, version, None))))
            yield f"{name} asks", put(k, peer._replace(flight=("ask", ("read",))))
        if state.crashes:
            orphans = state.orphans | ({peer.flight[1]} if peer.flight and peer.flight[0] == "ask" else set())
            fresh = Peer(proposals=0, spoke=0, losses=peer.losses, told=peer.told)
            yield f"{name} dies and starts", put(k, fresh, state._replace(orphans=orphans, crashes=state.crashes - 1))
    for request in state.orphans:
        done, _ = carry_out(state, request, tamper)
        yield f"a dead one's {request[0]} comes", done._replace(orphans=state.orphans - {request})


def record_wrong(state: Records) -> str:
    by_epoch: dict[int, set] = {}
    for epoch, ended, token in state.ends:
        by_epoch.setdefault(epoch, set()).add((ended, token))
    for epoch, each in by_epoch.items():
        if len({token for _, token in each}) > 1:
            return f"epoch {epoch} was had twice"
        if {"settled", "void"} <= {ended for ended, _ in each}:
            return f"epoch {epoch} ended twice"
    settled = [(epoch, token) for epoch, ended, token in state.ends if ended == "settled"]
    if settled and (state.record.standing is None or state.record.standing.epoch < max(settled)[0]):
        return "what was settled is lost"
    for name, peer in zip(NAMES, state.peers, strict=False):
        was = f"{name}#1" in {token for _, token in settled}
        if peer.told and (peer.told == "settled") != was:
            return f"{name} was told {peer.told}"
    return ""


def records(peers: int, proposers: int, crashes: int, losses: int) -> Records:
    return Records(
        None,
        0,
        0,
        frozenset(),
        frozenset(),
        frozenset(),
        tuple(Peer(proposals=int(k < proposers), losses=losses) for k in range(peers)),
        crashes,
    )


@pytest.mark.parametrize(
    "peers, proposers, crashes, losses, quorum",
    [
        (2, 2, 1, 0, 0),
        (2, 1, 1, 1, 0),
        (2, 2, 0, 1, 1),
        (3, 1, 0, 0, 2),
    ],
)
def test_one_end_for_each_epoch_and_nothing_settled_is_lost(peers, proposers, crashes, losses, quorum):
    """The shortest ways alone; `benchmarks/coordination.py models` goes on."""
    found = explore(
        records(peers, proposers, crashes, losses), lambda state: record_moves(state, "", quorum), record_wrong, 30_000
    )
    assert not found.broken, found
    assert found.states > 5_000


def test_the_model_of_records_fails_without_compare_and_set():
    found = explore(records(2, 2, 0, 0), lambda state: record_moves(state, "compare"), record_wrong, 200_000)
    assert found.broken and found.way
