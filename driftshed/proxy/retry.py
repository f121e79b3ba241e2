"""Retry rules: whether another try may follow, by what the outcomes prove and the operation's effect. Free of I/O."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from driftshed import interface as face


class Outcome(Enum):
    """Outcome of a try."""

    ANSWERED = "answered"  # 2xx to 4xx: final
    UNSENT = "unsent"  # refused, unreachable, or cancelled before any byte was written
    CLOSED_IDLE = (
        "closed idle"  # a reused connection ended while it was written on: the server may have read the request
    )
    CLOSED = "closed"  # the connection ended or was reset after the request was written and before an answer
    PARTIAL = "partial"  # a part of an answer arrived
    NEVER_RAN = "never ran"  # 503 with the header that says it never ran
    FULL = "full"  # 503 without that header
    ERRORED = "errored"  # another 5xx
    LATE = "late"  # no answer in time


class Proof(Enum):
    """What an outcome proves: whether the invocation certainly never ran at the server."""

    NONE = "may have run"
    SURE = "never ran"


# Where any byte may have reached the server, only what the server itself states is proof; where servers also
# reject invocations that they have begun, not even that.
PROOF_BY_OUTCOME = {
    Outcome.UNSENT: Proof.SURE,
    Outcome.NEVER_RAN: Proof.SURE,
    Outcome.CLOSED_IDLE: Proof.NONE,
    Outcome.CLOSED: Proof.NONE,
    Outcome.PARTIAL: Proof.NONE,
    Outcome.FULL: Proof.NONE,
    Outcome.ERRORED: Proof.NONE,
    Outcome.LATE: Proof.NONE,
}

MAX_FURTHER_TRIES = {face.NO_TRY: 0, face.ONE_AFTER_PROOF: 1, face.ONE_AFTER_ANY: 1, face.TWO_AFTER_ANY: 2}


def proof_of(outcome: Outcome, full_may_have_run: bool) -> Proof:
    """What an outcome proves of a try; `full_may_have_run`: servers also reject invocations that they have begun."""
    if outcome is Outcome.NEVER_RAN and full_may_have_run:
        return Proof.NONE
    return PROOF_BY_OUTCOME.get(outcome, Proof.NONE)


class FinishedTry(NamedTuple):
    """A finished try: its server with zone and cell, when it started, and its outcome."""

    server: str
    zone: str
    cell: int
    started_at: float
    outcome: Outcome


class RetryRules(NamedTuple):
    """Retry rules of an operation at this proxy."""

    effect: str  # "idempotent", "fingerprinted" or "side-effecting"
    window: float | None  # seconds from the first try that may have run within which repeats are dropped
    scope: str  # "all", "zone", "cell": which servers drop repeats
    full_may_have_run: bool
    margin: float  # seconds that a repeat may take to reach the server


def may_follow(rules: RetryRules, mode: int, finished_tries: list[FinishedTry], now: float) -> bool:
    """Whether mode and effect allow a further try, regardless of time and tables. `mode`: the try mode in force."""
    if not finished_tries or len(finished_tries) > MAX_FURTHER_TRIES.get(mode, 0):
        return False
    last = finished_tries[-1].outcome
    if last is Outcome.ANSWERED:
        return False
    if mode == face.ONE_AFTER_PROOF and proof_of(last, rules.full_may_have_run) is Proof.NONE:
        return False
    if rules.effect == "idempotent":
        return True
    in_doubt = [each for each in finished_tries if proof_of(each.outcome, rules.full_may_have_run) is Proof.NONE]
    if not in_doubt:
        return True
    # A side-effecting invocation is never sent again in doubt, whatever the mode; a fingerprinted one only so early
    # that the server certainly still drops the repeat.
    in_window = rules.window is not None and now + rules.margin < in_doubt[0].started_at + rules.window
    return rules.effect == "fingerprinted" and in_window


def may_receive(rules: RetryRules, finished_tries: list[FinishedTry], server: str, zone: str, cell: int) -> bool:
    """Whether a server may receive the next try: none that was tried, and for a fingerprinted invocation in doubt
    only one that drops its repeats. `zone` is "" where the server's place is unknown."""
    if any(each.server == server for each in finished_tries):
        return False
    if rules.effect != "fingerprinted" or rules.scope == "all":
        return True
    in_doubt = [each for each in finished_tries if proof_of(each.outcome, rules.full_may_have_run) is Proof.NONE]
    if not zone:  # the server's place is unknown
        return not in_doubt
    if rules.scope == "zone":
        return all(each.zone == zone for each in in_doubt)
    return all((each.zone, each.cell) == (zone, cell) for each in in_doubt)


def try_timeout(
    now: float, deadline: float, objective: float, mode: int, tries_made: int, try_objectives: float
) -> float:
    """Timeout of the next try in seconds: the time left until `deadline`, or, where another try may follow any failure,
    at most `try_objectives` latency objectives. `tries_made`: tries so far."""
    remaining = deadline - now
    further = MAX_FURTHER_TRIES.get(mode, 0) - tries_made
    if mode in (face.ONE_AFTER_ANY, face.TWO_AFTER_ANY) and further > 0:
        return min(remaining, objective * try_objectives)
    return remaining
