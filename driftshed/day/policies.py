"""The judge of policies: what version the orders that reached proxies rest on, from the sockets alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from driftshed.coordination.lease import DRIFT
from driftshed.core.messages import Line
from driftshed.policy.change import everywhere_within

if TYPE_CHECKING:
    from driftshed.day.judge import Judge

RULE = "policies"
AHEAD, ALLOWED = 0.5, 0.5  # seconds: of the documents of a day; a turn and a look, on a busy machine


def judge_policies(judge: Judge, timeout: float) -> None:
    """Adds the rule to the judge's verdict: no proxy is told by an older version than it was told by before, and from
    the bound on, counted from the first orders of a version, nobody orders new lines by an older one."""
    verdict = judge.verdict
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    first: dict[int, float] = {}
    for rows in judge.told.values():
        for at, changes in rows:
            first[changes.policy] = min(first.get(changes.policy, at), at)
    bound = everywhere_within(timeout, AHEAD, DRIFT) + ALLOWED
    for proxy, rows in judge.told.items():
        heeded = 0
        for at, changes in sorted(rows, key=lambda row: row[0]):
            verdict.check(RULE)
            if changes.policy < heeded:
                verdict.broken(RULE, f"proxy {proxy} was told by policy {changes.policy} at {at:.2f} s, after {heeded}")
            heeded = max(heeded, changes.policy)
            ordered_at = at - changes.waited
            newer = [each for each, since in first.items() if each > changes.policy and ordered_at > since + bound]
            adds = any(isinstance(change, Line) and change.weight for change in changes.changes)
            if newer and adds:
                verdict.broken(RULE, f"proxy {proxy} was told lines by policy {changes.policy} at {at:.2f} s; "
                               f"{newer[0]} was ordered by since {first[newer[0]]:.2f} s")  # fmt: skip
