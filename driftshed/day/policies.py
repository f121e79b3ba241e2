"""The judge of policies: what version the orders that reached proxies rest on, from the sockets alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from driftshed.coordination.lease import DRIFT
from driftshed.core.messages import Changes, Line
from driftshed.policy.change import everywhere_within

if TYPE_CHECKING:
    from driftshed.day.judge import Judge, Verdict

RULE = "policies"
AHEAD, ALLOWED = 0.5, 0.5  # seconds: of the documents of a day; a turn and a look, on a busy machine


def judge_policies(judge: Judge, timeout: float) -> None:
    """Adds the rule to the judge's verdict; the moment of a version is that of the first orders by it."""
    first: dict[int, float] = {}
    for rows in judge.changes_received.values():
        for at, changes in rows:
            first[changes.policy] = min(first.get(changes.policy, at), at)
    judge_told(judge.verdict, judge.changes_received, first, everywhere_within(timeout, AHEAD, DRIFT) + ALLOWED)


def judge_told(
    verdict: Verdict, told: dict[int, list[tuple[float, Changes]]], first: dict[int, float], bound: float
) -> None:
    """No proxy is told by an older version than it was told by before, and `bound` seconds after the moment of a
    version nobody orders new lines by an older one. `told`: by proxy, what it was told when; `first`: the versions'
    moments."""
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    for proxy, rows in told.items():
        heeded = 0
        for at, changes in sorted(rows, key=lambda row: row[0]):
            verdict.count_check(RULE)
            if changes.policy < heeded:
                verdict.report_violation(
                    RULE, f"proxy {proxy} was told by policy {changes.policy} at {at:.2f} s, after {heeded}"
                )
            heeded = max(heeded, changes.policy)
            ordered_at = at - changes.waited
            newer = [each for each, since in first.items() if each > changes.policy and ordered_at > since + bound]
            adds = any(isinstance(change, Line) and change.weight for change in changes.changes)
            if newer and adds:
                verdict.report_violation(
                    RULE,
                    f"proxy {proxy} was told lines by policy {changes.policy} at {at:.2f} s; "
                    f"{newer[0]} holds since {first[newer[0]]:.2f} s",
                )
