"""Model of changes of policy with all interleavings of proposals, votes, commits, reads, expired leases, crashes,
starts and changes that do without a supervisor's vote. The program's own rules decide who may order, and the number of
states is checked."""

from typing import NamedTuple

import pytest

from driftshed.lab.state_search import explore
from driftshed.policy.change import LocalKnowledge, despite_silence_s, may_change_tables

DESPITE_AFTER, DRIFT = 5.0, 0.02


class Supervisor(NamedTuple):
    """A supervisor. `away`: 0 with a lease, 1 since it expired, 2 for so long that others may do without its vote;
    `runs`: its active version, None before it has read the committed one; `in_doubt`: it has assented, or read of a
    change that does without its vote, and has not read the outcome (this survives a crash)."""

    alive: bool = True
    away: int = 0
    runs: int | None = 0
    in_doubt: bool = False


class State(NamedTuple):
    """`bound_passed`: the bound of `everywhere_within` has passed since the last commit."""

    supervisors: tuple[Supervisor, ...]
    committed: int = 0
    open: tuple[frozenset, frozenset] | None = None  # who must assent, who has
    bound_passed: bool = True
    crashes: int = 0


def may_order(one: Supervisor, freezes: bool = True) -> bool:
    if not one.alive or one.runs is None:
        return False
    # By its own clock: just past the lease, or after the time that others must wait before they do without its vote.
    now = {0: -1.0, 1: 0.01, 2: despite_silence_s(DESPITE_AFTER, DRIFT) * (1 - DRIFT)}[one.away]
    return not freezes or may_change_tables(
        LocalKnowledge(one.away == 0, 0.0, False, one.in_doubt, False, DESPITE_AFTER, DRIFT), now
    )


def moves_of(waits_out: bool = True, keeps_doubt: bool = True, versions: int = 2, crashes: int = 1):
    def moves(state: State):
        def with_supervisor(k: int, **changes) -> tuple[Supervisor, ...]:
            return state.supervisors[:k] + (state.supervisors[k]._replace(**changes),) + state.supervisors[k + 1 :]

        def reading(k: int) -> tuple[Supervisor, ...]:
            doubt = state.open is not None and keeps_doubt and (k in state.open[1] or k not in state.open[0])
            return with_supervisor(k, away=0, runs=state.committed, in_doubt=doubt)

        for k, one in enumerate(state.supervisors):
            if one.alive and one.away == 0:
                yield f"{k} reads", state._replace(supervisors=reading(k))
                if state.open is None and state.committed < versions and one.runs == state.committed:
                    gone = [
                        j
                        for j, other in enumerate(state.supervisors)
                        if j != k and other.away >= (2 if waits_out else 1)
                    ]
                    for despite in [frozenset(), *(frozenset([j]) for j in gone)]:
                        voters = frozenset(range(len(state.supervisors))) - despite
                        yield f"{k} proposes without {sorted(despite)}", state._replace(open=(voters, frozenset()))
                if state.open is not None and k in state.open[0] - state.open[1]:
                    votes = state.open[0], state.open[1] | {k}
                    yield (
                        f"{k} assents",
                        state._replace(supervisors=with_supervisor(k, in_doubt=keeps_doubt), open=votes),
                    )
                if state.open is not None:
                    yield f"{k} voids it", state._replace(open=None)
                    if state.open[1] == state.open[0]:
                        new = state.committed + 1
                        yield f"{k} settles", state._replace(committed=new, open=None, bound_passed=False)
                yield f"{k}'s lease lapses", state._replace(supervisors=with_supervisor(k, away=1))
            elif one.away == 1:
                yield f"{k} is away for long", state._replace(supervisors=with_supervisor(k, away=2))
            if one.alive and one.away:
                yield f"{k} is back and reads", state._replace(supervisors=reading(k))
            if one.alive and state.crashes < crashes:
                supervisors = with_supervisor(k, alive=False, away=max(1, one.away), runs=None)
                yield f"{k} crashes", state._replace(supervisors=supervisors, crashes=state.crashes + 1)
            if not one.alive:
                yield f"{k} starts", state._replace(supervisors=with_supervisor(k, alive=True))
        if not state.bound_passed:
            # A lease that is valid a time-out later was confirmed after the commit, and with the notification of it.
            supervisors = tuple(
                one._replace(away=1) if one.alive and one.away == 0 and one.runs != state.committed else one
                for one in state.supervisors
            )
            yield "the bound passes", state._replace(supervisors=supervisors, bound_passed=True)

    return moves


def violation_with(freezes: bool = True):
    def violation(state: State) -> str:
        versions = {one.runs for one in state.supervisors if may_order(one, freezes)}
        if state.bound_passed and len(versions) > 1:
            return f"orders rest on versions {sorted(versions)} after the bound"
        return "orders rest on what was never settled" if any(each > state.committed for each in versions) else ""

    return violation


@pytest.mark.parametrize("count, least", [(2, 1_000), (3, 50_000)])
def test_no_two_policies_order_after_the_bound_and_none_that_was_not_committed(count, least):
    found = explore(State((Supervisor(),) * count), moves_of(), violation_with(), 1_000_000)
    assert found.whole and not found.broken and found.states > least, found


@pytest.mark.parametrize(
    "moves, violation",
    [
        (moves_of(waits_out=False), violation_with()),  # its vote is not needed as soon as its lease is over
        (moves_of(keeps_doubt=False), violation_with()),  # it continues although it has assented
        (moves_of(), violation_with(freezes=False)),  # it orders past its lease
    ],
    ids=["no patience", "no doubt", "no hold"],
)
def test_removing_any_guard_is_detected(moves, violation):
    found = explore(State((Supervisor(),) * 3), moves, violation, 1_000_000)
    assert "after the bound" in found.broken and found.way, found
