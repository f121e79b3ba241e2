"""Model checks of leases and of records: every interleaving is explored. The model of records uses the production rules
(`coordination/agreement.py`)."""

from itertools import product
from typing import NamedTuple

import pytest
from msgspec import UNSET

from driftshed.coordination import agreement
from driftshed.coordination.agreement import RecordError, Vote
from driftshed.lab.state_search import explore

# ---- leases and fencing: starts of one name, a store, drifting clocks -------------------------------------------

TIMEOUT, DRIFT = 3, 1  # ticks of the store's clock; how many ticks a local clock may lag behind


class Start(NamedTuple):
    """One process of the name. `in_flight`: a request under way ("ask", lease, lag) or its answer ("told", lease, lag,
    sole). `lag`: ticks by which the local clock has fallen behind since the lease was counted from."""

    state: str = "off"  # off, up, paused, fenced
    number: int = 0
    session: int = 0  # ticks left at the store; 0: expired, and its node is gone
    lease: int = 0  # ticks left by the local clock
    lag: int = 0
    sole: bool = False
    in_flight: tuple = ()
    faults_left: int = 1


class Leases(NamedTuple):
    counter: int
    starts: tuple[Start, ...]


def holds(start: Start, tamper: str) -> bool:
    lease_valid = start.lease > 0 or (tamper == "lease" and start.number > 0)
    return start.state == "up" and lease_valid and (start.sole or (tamper == "fence" and start.number > 0))


def lease_moves(state: Leases, tamper: str = ""):
    lease_ticks = TIMEOUT if tamper == "drift" else TIMEOUT - DRIFT
    counter, starts = state

    def with_start(k: int, start: Start, counter: int = counter) -> Leases:
        return Leases(counter, starts[:k] + (start,) + starts[k + 1 :])

    for k, s in enumerate(starts):
        if s.state == "off" and s.number == 0:
            yield f"{k} starts", with_start(k, s._replace(state="up", number=counter + 1, session=TIMEOUT), counter + 1)
        if s.state == "up" and not s.in_flight:
            yield f"{k} asks", with_start(k, s._replace(in_flight=("ask", lease_ticks, 0)))
        if s.state == "paused":
            yield f"{k} wakes", with_start(k, s._replace(state="up"))
        if s.state == "up" and s.faults_left:
            yield f"{k} pauses", with_start(k, s._replace(state="paused", faults_left=s.faults_left - 1))
            yield (
                f"{k} dies",
                with_start(k, s._replace(state="off", in_flight=(), lease=0, faults_left=s.faults_left - 1)),
            )
        if s.in_flight and s.in_flight[0] == "ask":
            yield f"{k}'s request is lost", with_start(k, s._replace(in_flight=()))
            if s.session:
                sole = not any(o.session and 0 < o.number < s.number for o in starts)
                answer = ("told", *s.in_flight[1:], sole)
                yield f"{k}'s request arrives", with_start(k, s._replace(session=TIMEOUT, in_flight=answer))
            elif counter > s.number:
                yield f"{k} learns of a later start", with_start(k, s._replace(state="fenced", in_flight=(), lease=0))
            else:
                rejoined = s._replace(session=TIMEOUT, in_flight=(), lease=0, sole=False)
                yield f"{k}'s session had expired: it rejoins", with_start(k, rejoined)
        if s.in_flight and s.in_flight[0] == "told":
            yield f"{k}'s answer is lost", with_start(k, s._replace(in_flight=()))
            if s.state == "up":
                _, lease, lease_lag, sole = s.in_flight
                newer = {"lease": lease, "lag": lease_lag} if lease >= s.lease else {}
                yield f"{k} receives the answer", with_start(k, s._replace(in_flight=(), sole=s.sole or sole, **newer))
        if s.state == "up" and 0 < s.number < counter:
            yield f"{k} is fenced", with_start(k, s._replace(state="fenced", lease=0, in_flight=(), session=0))
    lag_choices = [
        (False, True)
        if s.state in ("up", "paused") and s.lag < DRIFT and (not s.in_flight or s.in_flight[2] < DRIFT)
        else (False,)
        for s in starts
    ]
    for lags in product(*lag_choices):
        advanced = []
        for s, lag in zip(starts, lags, strict=True):
            elapsed = 0 if lag else 1
            in_flight = s.in_flight and (
                s.in_flight[0],
                max(0, s.in_flight[1] - elapsed),
                s.in_flight[2] + lag,
                *s.in_flight[3:],
            )
            advanced.append(
                s._replace(
                    session=max(0, s.session - 1), lease=max(0, s.lease - elapsed), lag=s.lag + lag, in_flight=in_flight
                )
            )
        yield "a tick", Leases(counter, tuple(advanced))


def lease_wrong(state: Leases, tamper: str = "") -> str:
    acting = [s for s in state.starts if holds(s, tamper)]
    if any(not s.session for s in acting):
        return "acts after its session has expired"
    return "two starts of one name act" if len(acting) > 1 else ""


def test_neither_of_two_starts_acts_after_its_lease_or_alongside_the_other():
    """Explores the entire state space."""
    found = explore(Leases(0, (Start(), Start())), lease_moves, lease_wrong)
    assert found.whole and not found.broken, found
    assert found.states > 50_000


def test_none_of_three_starts_does_in_the_states_explored():
    """Explores the shortest paths only; `benchmarks/coordination.py models` explores more."""
    found = explore(Leases(0, (Start(),) * 3), lease_moves, lease_wrong, 60_000)
    assert not found.broken, found
    assert found.states == 60_000


@pytest.mark.parametrize(
    "tamper, message",
    [
        ("drift", "acts after"),
        ("lease", "acts after"),
        ("fence", "two starts"),
    ],
)
def test_the_model_of_leases_fails_without_drift_bound_lease_or_fence(tamper, message):
    start = Leases(0, (Start(), Start()))
    found = explore(start, lambda state: lease_moves(state, tamper), lambda state: lease_wrong(state, tamper))
    assert message in found.broken and found.way


# ---- records: proposals, votes and decisions, over a store ------------------------------------------------------


class Peer(NamedTuple):
    """`view`: (record, version, count) as last read; `votes`: as last read; `in_flight`: a request under way, or its
    answer; `outcome`: of its own proposal, by what it has read."""

    view: tuple | None = None
    votes: frozenset = frozenset()
    in_flight: tuple = ()
    proposals: int = 1
    voted_epoch: int = 0
    losses: int = 1
    outcome: str = ""


class Records(NamedTuple):
    record: object
    version: int
    count: int
    votes: frozenset
    outcomes: frozenset  # (epoch, state, token) of every record ever written, for the checks only
    orphans: frozenset  # requests of crashed processes, which may still arrive
    peers: tuple[Peer, ...]
    crashes: int


NAMES = ("a", "b", "c")


def execute(state: Records, request: tuple, tamper: str) -> tuple[Records, tuple]:
    """Executes a request at the store; returns the new state and the answer."""
    kind = request[0]
    if kind == "read":
        return state, ("told", (state.record, state.version, state.count), state.votes)
    if kind == "word":
        vote = request[1]
        if not any((cast.name, cast.epoch) == (vote.name, vote.epoch) for cast in state.votes):
            state = state._replace(votes=state.votes | {vote})
        return state, ("done",)
    _, record, version, count = request
    if tamper != "compare" and (version != state.version or (count is not None and count != state.count)):
        return state, ("done",)
    outcomes = state.outcomes | {(record.epoch, record.state, record.token)}
    return state._replace(
        record=record, version=state.version + 1, count=state.count + (count is not None), outcomes=outcomes
    ), ("done",)


def apply_read(peer: Peer, token: str, view: tuple, votes: frozenset) -> Peer:
    """Applies a read to a peer: the observed record only advances, and the token identifies the peer's own proposal."""
    record, old = view[0], peer.view[0] if peer.view else None
    if record is not None and not agreement.newer(record, old):
        return peer._replace(in_flight=())
    outcome = peer.outcome
    if record is not None and record.token == token and record.state != "open":
        outcome = "settled" if record.passed else "void"
    elif record is not None and record.standing is not None and record.standing.token == token:
        outcome = "settled"
    return peer._replace(view=view, votes=votes, in_flight=(), outcome=outcome)


def record_moves(state: Records, tamper: str = "", quorum: int = 0):
    voters = NAMES[: len(state.peers)]

    def with_peer(k: int, peer: Peer, state: Records = state) -> Records:
        return state._replace(peers=state.peers[:k] + (peer,) + state.peers[k + 1 :])

    for k, (name, peer) in enumerate(zip(voters, state.peers, strict=True)):
        token = f"{name}#1"
        if peer.in_flight and peer.in_flight[0] == "ask":
            executed, answer = execute(state, peer.in_flight[1], tamper)
            yield f"{name}'s {peer.in_flight[1][0]} is done", with_peer(k, peer._replace(in_flight=answer), executed)
            if peer.losses:
                yield (
                    f"{name}'s {peer.in_flight[1][0]} is lost",
                    with_peer(k, peer._replace(in_flight=(), view=None, losses=peer.losses - 1)),
                )
        elif peer.in_flight:
            if peer.in_flight[0] == "told":
                yield f"{name} reads", with_peer(k, apply_read(peer, token, *peer.in_flight[1:]))
            else:
                yield f"{name} is answered", with_peer(k, peer._replace(in_flight=(), view=None))
            if peer.losses:
                yield (
                    f"{name}'s answer is lost",
                    with_peer(k, peer._replace(in_flight=(), view=None, losses=peer.losses - 1)),
                )
        elif peer.view is None:
            yield f"{name} asks", with_peer(k, peer._replace(in_flight=("ask", ("read",))))
        else:
            record, version, count = peer.view
            if (record is None or record.state != "open") and peer.proposals:
                try:
                    proposal = agreement.proposed_record(
                        record, "t", count + 1, name, token, 0, voters, quorum or len(voters), 1.0
                    )
                except RecordError:
                    proposal = None
                if proposal is not None:
                    request = ("ask", ("put", proposal, version, count))
                    yield (
                        f"{name} proposes",
                        with_peer(k, peer._replace(in_flight=request, proposals=peer.proposals - 1)),
                    )
            if record is not None and record.state == "open":
                if peer.voted_epoch < record.epoch:
                    for assent in (True, False):
                        vote = ("word", Vote(name, record.epoch, assent))
                        yield (
                            f"{name} votes {assent}",
                            with_peer(k, peer._replace(in_flight=("ask", vote), voted_epoch=record.epoch)),
                        )
                votes = {vote.name: vote for vote in peer.votes if vote.epoch == record.epoch}
                result = agreement.outcome(record, votes)
                if result is UNSET:
                    result = agreement.timed_out(record, votes)
                yield (
                    f"{name}: {result.state}",
                    with_peer(k, peer._replace(in_flight=("ask", ("put", result, version, None)))),
                )
            yield f"{name} asks", with_peer(k, peer._replace(in_flight=("ask", ("read",))))
        if state.crashes:
            orphans = state.orphans | ({peer.in_flight[1]} if peer.in_flight and peer.in_flight[0] == "ask" else set())
            restarted = Peer(proposals=0, voted_epoch=0, losses=peer.losses, outcome=peer.outcome)
            yield (
                f"{name} dies and starts",
                with_peer(k, restarted, state._replace(orphans=orphans, crashes=state.crashes - 1)),
            )
    for request in state.orphans:
        executed, _ = execute(state, request, tamper)
        yield f"a crashed process's {request[0]} arrives", executed._replace(orphans=state.orphans - {request})


def record_wrong(state: Records) -> str:
    by_epoch: dict[int, set] = {}
    for epoch, outcome, token in state.outcomes:
        by_epoch.setdefault(epoch, set()).add((outcome, token))
    for epoch, outcomes in by_epoch.items():
        if len({token for _, token in outcomes}) > 1:
            return f"epoch {epoch} was allocated twice"
        if {"settled", "void"} <= {outcome for outcome, _ in outcomes}:
            return f"epoch {epoch} ended twice"
    settled = [(epoch, token) for epoch, outcome, token in state.outcomes if outcome == "settled"]
    if settled and (state.record.standing is None or state.record.standing.epoch < max(settled)[0]):
        return "what was settled is lost"
    for name, peer in zip(NAMES, state.peers, strict=False):
        was_committed = f"{name}#1" in {token for _, token in settled}
        if peer.outcome and (peer.outcome == "settled") != was_committed:
            return f"{name} read {peer.outcome}"
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
def test_each_epoch_has_one_outcome_and_nothing_committed_is_lost(peers, proposers, crashes, losses, quorum):
    """Explores the shortest paths only; `benchmarks/coordination.py models` explores more."""
    found = explore(
        records(peers, proposers, crashes, losses), lambda state: record_moves(state, "", quorum), record_wrong, 30_000
    )
    assert not found.broken, found
    assert found.states > 5_000


def test_the_model_of_records_fails_without_compare_and_set():
    found = explore(records(2, 2, 0, 0), lambda state: record_moves(state, "compare"), record_wrong, 200_000)
    assert found.broken and found.way
