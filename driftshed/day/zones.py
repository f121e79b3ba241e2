"""The judge of zones that are left: what all proxies send to a zone, against the share of it that stands agreed."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec

from driftshed.coordination import agreement
from driftshed.day.accord import FLEET_ROOT
from driftshed.day.recorder import STORED
from driftshed.day.traffic import store_answers
from driftshed.evacuation.places import places, read_regions
from driftshed.evacuation.stages import Stage
from driftshed.roster import jute

if TYPE_CHECKING:
    from driftshed.day.judge import Judge

RULE = "zones"
ALLOWED = 0.5  # seconds beyond the grace: a turn, the channel, the way to a proxy


def stages_read(judge: Judge, regions: str) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """By supervisor and zone: when it first read that a share of the zone is left, by itself or with its region."""
    rows: dict[tuple[int, str], list[tuple[float, float]]] = {}
    stands: dict[tuple[int, str], tuple[int, dict[int, float]]] = {}
    zones, folder = judge.facts.zones, f"{FLEET_ROOT}/records/"
    known = {place.topic: place for place in places(zones, read_regions(regions, zones))}
    for talk in sorted(judge.case.kinds.get(STORED, []), key=lambda talk: talk.rows[0][0] if talk.rows else 0.0):
        owner = judge.case.owner(talk.asked)
        for at, request, result in store_answers(talk):
            topic = request.path.removeprefix(folder) if isinstance(request, jute.GetData) else ""
            if topic not in known:
                continue
            standing = agreement.read_record(topic, result[0]).standing
            if standing is None or standing.epoch <= stands.get((owner, topic), (0, {}))[0]:
                continue
            stage = msgspec.convert(standing.body, Stage)
            left = known[topic].shares(stage.share, tuple(map(zones.index, stage.order)))
            stands[owner, topic] = standing.epoch, left
            for zone in left:
                share = max(each.get(zone, 0.0) for (who, _), (_, each) in stands.items() if who == owner)
                own = rows.setdefault((owner, zones[zone]), [])
                if not own or own[-1][1] != share:
                    own.append((at, share))
    return rows


def judge_zones(judge: Judge, regions: str = "") -> None:
    """Adds the rule to the judge's verdict: once a supervisor has read that a share of a zone is left, and the grace is
    over, its proxies together send to no more of the zone's servers than what is kept."""
    verdict, facts, cast = judge.verdict, judge.facts, judge.cast
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    for (owner, zone), rows in stages_read(judge, regions).items():
        number = facts.zones.index(zone)
        verdict.left.setdefault(zone, {})[owner] = [(round(at, 2), share) for at, share in rows]
        for k, (at, share) in enumerate(rows):
            till = rows[k + 1][0] if k + 1 < len(rows) else judge.end
            since = judge.observable_at(owner, at) + facts.drain_grace + ALLOWED
            if share <= 0 or since >= till:
                continue
            verdict.count_check(RULE)
            own = {
                name
                for name, stretches in judge.listed[owner].items()
                if cast.zone_of_server(cast.number_of_server(name)) == number
                and any(each.value[0] == "ready" and each.since < till and at < each.till for each in stretches)
            }
            met = set()
            for name in own:
                for sent_at, proxy, _ in judge.sent[name]:
                    joined = judge.joined_interval(proxy, sent_at)
                    if joined is None or joined.value != owner or not since <= sent_at < till:
                        continue
                    if sent_at >= joined.since + facts.drain_grace + ALLOWED:
                        met.add(name)
            if len(met) > ceil((1 - share) * len(own) - 1e-6):
                verdict.report_violation(
                    RULE,
                    f"supervisor {owner}'s proxies send to {len(met)} of {len(own)} servers of {zone}, of which "
                    f"{share:.2f} is left, from {since:.2f} to {till:.2f} s",
                )
