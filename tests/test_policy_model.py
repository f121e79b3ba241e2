"""The life of changes of policy, every interleaving: proposals, words, settling, reading, leases that lapse, crashes,
starts, supervisors that are done without. The program's own rules say who may order; states are counted."""

from typing import NamedTuple

import pytest

from driftshed.lab.model import explore
from driftshed.policy.change import Known, may_change_tables, waited_out

AFTER, DRIFT = 5.0, 0.02


class One(NamedTuple):
    """A supervisor. `away`: 0 with a lease, 1 since it lapsed, 2 for so long that others may do without its word;
    `runs`: the version that it goes by, None before it has read what stands; `doubt`: it has assented, or read of a
    change that does without its word, and has not read what came of it (a crash keeps it)."""

    alive: bool = True
    away: int = 0
    runs: int | None = 0
    doubt: bool = False


class State(NamedTuple):
    """`passed`: the bound on "everywhere" has passed since the last settling."""

    ones: tuple[One, ...]
    stands: int = 0
    open: tuple[frozenset, frozenset] | None = None  # who must assent, who has
    passed: bool = True
    crashes: int = 0


def may_order(one: One, hold: bool = True) -> bool:
    if not one.alive or one.runs is None:
        return False
    # By its own clock: just past the lease, or for as long as others must wait before they do without it.
    now = {0: -1.0, 1: 0.01, 2: waited_out(AFTER, DRIFT) * (1 - DRIFT)}[one.away]
    return not hold or may_change_tables(Known(one.away == 0, 0.0, False, one.doubt, False, AFTER, DRIFT), now)


def moves_of(patient: bool = True, doubts: bool = True, versions: int = 2, crashes: int = 1):
    def moves(state: State):
        def with_one(k: int, **changes) -> tuple[One, ...]:
            return state.ones[:k] + (state.ones[k]._replace(**changes),) + state.ones[k + 1 :]

        def read(k: int) -> tuple[One, ...]:
            doubt = state.open is not None and doubts and (k in state.open[1] or k not in state.open[0])
            return with_one(k, away=0, runs=state.stands, doubt=doubt)

        for k, one in enumerate(state.ones):
            if one.alive and one.away == 0:
                yield f"{k} reads", state._replace(ones=read(k))
                if state.open is None and state.stands < versions and one.runs == state.stands:
                    gone = [j for j, other in enumerate(state.ones) if j != k and other.away >= (2 if patient else 1)]
                    for despite in [frozenset(), *(frozenset([j]) for j in gone)]:
                        needs = frozenset(range(len(state.ones))) - despite
                        yield f"{k} proposes without {sorted(despite)}", state._replace(open=(needs, frozenset()))
                if state.open is not None and k in state.open[0] - state.open[1]:
                    said = state.open[0], state.open[1] | {k}
                    yield f"{k} assents", state._replace(ones=with_one(k, doubt=doubts), open=said)
                if state.open is not None:
                    yield f"{k} voids it", state._replace(open=None)
                    if state.open[1] == state.open[0]:
                        new = state.stands + 1
                        yield f"{k} settles", state._replace(stands=new, open=None, passed=False)
                yield f"{k}'s lease lapses", state._replace(ones=with_one(k, away=1))
            elif one.away == 1:
                yield f"{k} is away for long", state._replace(ones=with_one(k, away=2))
            if one.alive and one.away:
                yield f"{k} is back and reads", state._replace(ones=read(k))
            if one.alive and state.crashes < crashes:
                ones = with_one(k, alive=False, away=max(1, one.away), runs=None)
                yield f"{k} crashes", state._replace(ones=ones, crashes=state.crashes + 1)
            if not one.alive:
                yield f"{k} starts", state._replace(ones=with_one(k, alive=True))
        if not state.passed:
            # A lease that holds a time-out later was proven after the settling, and with the word of it.
            ones = tuple(
                one._replace(away=1) if one.alive and one.away == 0 and one.runs != state.stands else one
                for one in state.ones
            )
            yield "the bound passes", state._replace(ones=ones, passed=True)

    return moves


def wrong_with(hold: bool = True):
    def wrong(state: State) -> str:
        by = {one.runs for one in state.ones if may_order(one, hold)}
        if state.passed and len(by) > 1:
            return f"orders rest on versions {sorted(by)} after the bound"
        return "orders rest on what was never settled" if any(each > state.stands for each in by) else ""

    return wrong


@pytest.mark.parametrize("count, least", [(2, 1_000), (3, 50_000)])
def test_no_two_policies_order_after_the_bound_and_none_that_was_not_settled(count, least):
    found = explore(State((One(),) * count), moves_of(), wrong_with(), 1_000_000)
    assert found.whole and not found.broken and found.states > least, found


@pytest.mark.parametrize(
    "moves, wrong",
    [
        (moves_of(patient=False), wrong_with()),  # done without as soon as its lease is over
        (moves_of(doubts=False), wrong_with()),  # it goes on though it has assented
        (moves_of(), wrong_with(hold=False)),  # it orders past its lease
    ],
    ids=["no patience", "no doubt", "no hold"],
)
def test_each_guard_taken_out_is_seen(moves, wrong):
    found = explore(State((One(),) * 3), moves, wrong, 1_000_000)
    assert "after the bound" in found.broken and found.way, found
