"""Checks fleet policies: the policy versions of the changes that proxies received, from the recorded traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.core.messages import Changes, Line
from driftshed.policy.change import activation_bound_s

if TYPE_CHECKING:
    from driftshed.day.judge import Judge, Verdict

RULE = "policies"
# `ahead` in the policy documents of the days; a turn of the loop and a poll, on a busy machine.
POLICY_AHEAD_S, DELAY_ALLOWANCE_S = 0.5, 0.5


def judge_policies(judge: Judge, timeout: float) -> None:
    """Adds the rule to the judge's verdict and checks it; a version takes effect when a proxy first receives changes by
    it."""
    first: dict[int, float] = {}
    for rows in judge.changes_received.values():
        for at, changes in rows:
            first[changes.policy] = min(first.get(changes.policy, at), at)
    judge_changes(
        judge.verdict,
        judge.changes_received,
        first,
        activation_bound_s(timeout, POLICY_AHEAD_S, MAX_CLOCK_DRIFT) + DELAY_ALLOWANCE_S,
    )


def judge_changes(
    verdict: Verdict, changes_received: dict[int, list[tuple[float, Changes]]], first: dict[int, float], bound: float
) -> None:
    """Adds the rule to a verdict and checks it: no proxy receives changes by an older policy version than before, and
    `bound` seconds after a version took effect no new lines are sent by an older one. `changes_received`: by proxy,
    (time, changes); `first`: by version, when it took effect."""
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    for proxy, rows in changes_received.items():
        newest = 0
        for at, changes in sorted(rows, key=lambda row: row[0]):
            verdict.count_check(RULE)
            if changes.policy < newest:
                verdict.report_violation(
                    RULE, f"proxy {proxy} received changes by policy {changes.policy} at {at:.2f} s, after {newest}"
                )
            newest = max(newest, changes.policy)
            ordered_at = at - changes.waited
            newer = [each for each, since in first.items() if each > changes.policy and ordered_at > since + bound]
            adds = any(isinstance(change, Line) and change.weight for change in changes.changes)
            if newer and adds:
                verdict.report_violation(
                    RULE,
                    f"proxy {proxy} received lines by policy {changes.policy} at {at:.2f} s; "
                    f"{newer[0]} in effect since {first[newer[0]]:.2f} s",
                )
