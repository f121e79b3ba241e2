"""The judge of zones that are left: what all proxies send to a zone, against the share of it that stands agreed."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec

from driftshed.coordination import agreement
from driftshed.day.accord import FLEET_ROOT
from driftshed.day.recorder import STORED
from driftshed.day.traffic import said_by_store
from driftshed.evacuation.part import TOPIC
from driftshed.evacuation.stages import Stage
from driftshed.roster import jute

if TYPE_CHECKING:
    from driftshed.day.judge import Judge

RULE = "zones"
ALLOWED = 0.5  # seconds beyond the grace: a turn, the channel, the way to a proxy


def stages_read(judge: Judge) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """By supervisor and zone: when it first read that a share stands, and the share."""
    rows: dict[tuple[int, str], list[tuple[float, float]]] = {}
    epochs: dict[tuple[int, str], int] = {}
    folder = f"{FLEET_ROOT}/records/{TOPIC}"
    for talk in sorted(judge.case.kinds.get(STORED, []), key=lambda talk: talk.rows[0][0] if talk.rows else 0.0):
        owner = judge.case.owner(talk.asked)
        for at, request, result in said_by_store(talk):
            if not isinstance(request, jute.GetData) or not request.path.startswith(folder):
                continue
            zone = request.path.removeprefix(folder)
            if "/" in zone:
                continue
            standing = agreement.read_record(TOPIC + zone, result[0]).standing
            if standing is not None and standing.epoch > epochs.get((owner, zone), 0):
                epochs[owner, zone] = standing.epoch
                rows.setdefault((owner, zone), []).append((at, msgspec.convert(standing.body, Stage).share))
    return rows


def judge_zones(judge: Judge) -> None:
    """Adds the rule to the judge's verdict: once a supervisor has read that a share of a zone is left, and the grace is
    over, its proxies together send to no more of the zone's servers than what is kept."""
    verdict, facts, cast = judge.verdict, judge.facts, judge.cast
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    for (owner, zone), rows in stages_read(judge).items():
        number = facts.zones.index(zone)
        verdict.left.setdefault(zone, {})[owner] = [(round(at, 2), share) for at, share in rows]
        for k, (at, share) in enumerate(rows):
            till = rows[k + 1][0] if k + 1 < len(rows) else judge.end
            since = judge.heard_at(owner, at) + facts.drain_grace + ALLOWED
            if share <= 0 or since >= till:
                continue
            verdict.check(RULE)
            own = {name for name, stretches in judge.listed[owner].items()
                   if cast.zone_of_server(cast.number_of_server(name)) == number
                   and any(each.what[0] == "ready" and each.since < till and at < each.till for each in stretches)}
            met = set()
            for name in own:
                for sent_at, proxy, _ in judge.sent[name]:
                    joined = judge.joined_at(proxy, sent_at)
                    if joined is None or joined.what != owner or not since <= sent_at < till:
                        continue
                    if sent_at >= joined.since + facts.drain_grace + ALLOWED:
                        met.add(name)
            if len(met) > ceil((1 - share) * len(own) - 1e-6):
                verdict.broken(
                    RULE, f"supervisor {owner}'s proxies send to {len(met)} of {len(own)} servers of {zone}, of which "
                    f"{share:.2f} is left, from {since:.2f} to {till:.2f} s"
                )  # fmt: skip
