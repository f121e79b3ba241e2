"""Whether a try may be followed by another: what each outcome proves, for each effect. Free of I/O."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from driftshed import interface as face


class Outcome(Enum):
    """What came of a try."""

    ANSWERED = "answered"  # 2xx to 4xx: final
    UNSENT = "unsent"  # refused, unreachable, or given up before a byte of it was written
    CLOSED_IDLE = "closed idle"  # a kept connection ended just when it was written on: perhaps read, perhaps not
    CLOSED = "closed"  # the connection ended, or was reset, after it was written and before an answer
    PARTIAL = "partial"  # a part of an answer came
    NEVER_RAN = "never ran"  # 503 with the mark that it never ran
    FULL = "full"  # 503 without that mark
    ERRORED = "errored"  # another 5xx
    LATE = "late"  # nothing in time


class Proof(Enum):
    NONE = "may have run"
    SURE = "never ran"


# Where any byte may have reached the server there is no proof, but for what the server itself says; and where servers
# also turn away what they had begun, not even that.
PROOF = {
    Outcome.UNSENT: Proof.SURE,
    Outcome.NEVER_RAN: Proof.SURE,
    Outcome.CLOSED_IDLE: Proof.NONE,
    Outcome.CLOSED: Proof.NONE,
    Outcome.PARTIAL: Proof.NONE,
    Outcome.FULL: Proof.NONE,
    Outcome.ERRORED: Proof.NONE,
    Outcome.LATE: Proof.NONE,
}

FURTHER = {face.NO_TRY: 0, face.ONE_AFTER_PROOF: 1, face.ONE_AFTER_ANY: 1, face.TWO_AFTER_ANY: 2}


def proves(outcome: Outcome, full_may_have_run: bool) -> Proof:
    """What an outcome proves of the try; `full_may_have_run`: servers turn away what they had begun, too."""
    if outcome is Outcome.NEVER_RAN and full_may_have_run:
        return Proof.NONE
    return PROOF.get(outcome, Proof.NONE)


class Tried(NamedTuple):
    """One try that is over: its server and where that is, when it was begun, and what came of it."""

    server: str
    zone: str
    cell: int
    began: float
    outcome: Outcome


class Rules(NamedTuple):
    """What holds for an operation at this proxy."""

    effect: str  # "idempotent", "fingerprinted" or "side-effecting"
    window: float | None  # seconds from the first try that may have run within which repeats are dropped
    scope: str  # "all", "zone", "cell": which servers drop them
    full_may_have_run: bool
    margin: float  # seconds that a repeat may take to reach the server


def may_follow(rules: Rules, tries: int, tried: list[Tried], now: float) -> bool:
    """Whether any further try is allowed by mode and effect, time and tables aside. `tries`: the mode in force."""
    if not tried or len(tried) > FURTHER.get(tries, 0):
        return False
    last = tried[-1].outcome
    if last is Outcome.ANSWERED:
        return False
    if tries == face.ONE_AFTER_PROOF and proves(last, rules.full_may_have_run) is Proof.NONE:
        return False
    if rules.effect == "idempotent":
        return True
    doubtful = [each for each in tried if proves(each.outcome, rules.full_may_have_run) is Proof.NONE]
    if not doubtful:
        return True
    # A side-effecting one is never sent again in doubt, whatever the mode says; a fingerprinted one only so early that
    # the server surely still drops it.
    in_window = rules.window is not None and now + rules.margin < doubtful[0].began + rules.window
    return rules.effect == "fingerprinted" and in_window


def may_take(rules: Rules, tried: list[Tried], server: str, zone: str, cell: int) -> bool:
    """Whether a server may get the next try: another one, and for a fingerprinted invocation in doubt one that drops
    repeats of it."""
    if any(each.server == server for each in tried):
        return False
    if rules.effect != "fingerprinted" or rules.scope == "all":
        return True
    doubtful = [each for each in tried if proves(each.outcome, rules.full_may_have_run) is Proof.NONE]
    if not zone:  # where it is is not known
        return not doubtful
    if rules.scope == "zone":
        return all(each.zone == zone for each in doubtful)
    return all((each.zone, each.cell) == (zone, cell) for each in doubtful)


def time_for(now: float, due: float, objective: float, tries: int, tried: int, try_objectives: float) -> float:
    """Seconds that the next try may take: all that is left until a final answer is due, or, where after any failure
    another may follow, so many latency objectives."""
    left = due - now
    more = FURTHER.get(tries, 0) - tried
    if tries in (face.ONE_AFTER_ANY, face.TWO_AFTER_ANY) and more > 0:
        return min(left, objective * try_objectives)
    return left
