"""Checks evacuations of zones: the traffic of all proxies to a zone against its committed evacuated share."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec

from driftshed.coordination import agreement
from driftshed.day.agreement_checker import FLEET_ROOT
from driftshed.day.recorder import STORED
from driftshed.day.traffic import store_answers
from driftshed.evacuation.places import places, read_regions
from driftshed.evacuation.stages import Stage
from driftshed.roster import jute

if TYPE_CHECKING:
    from driftshed.day.judge import Judge

RULE = "zones"
DELAY_ALLOWANCE_S = 0.5  # beyond the grace: a turn of the loop, the channel, and transit to a proxy


def _read_stages(judge: Judge, regions: str) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """By supervisor and zone, (time, share) at each change of the evacuated share as the supervisor read it; the zone
    is evacuated by itself or with its region."""
    rows: dict[tuple[int, str], list[tuple[float, float]]] = {}
    in_force: dict[tuple[int, str], tuple[int, dict[int, float]]] = {}
    zones, folder = judge.facts.zones, f"{FLEET_ROOT}/records/"
    places_by_topic = {place.topic: place for place in places(zones, read_regions(regions, zones))}
    for connection in sorted(
        judge.case.kinds.get(STORED, []), key=lambda connection: connection.rows[0][0] if connection.rows else 0.0
    ):
        owner = judge.case.owner(connection.destination)
        for at, request, result in store_answers(connection):
            topic = request.path.removeprefix(folder) if isinstance(request, jute.GetData) else ""
            if topic not in places_by_topic:
                continue
            committed = agreement.decode_record(topic, result[0]).standing
            if committed is None or committed.epoch <= in_force.get((owner, topic), (0, {}))[0]:
                continue
            stage = msgspec.convert(committed.body, Stage)
            shares = places_by_topic[topic].shares(stage.share, tuple(map(zones.index, stage.order)))
            in_force[owner, topic] = committed.epoch, shares
            for zone in shares:
                share = max(each.get(zone, 0.0) for (who, _), (_, each) in in_force.items() if who == owner)
                changes = rows.setdefault((owner, zones[zone]), [])
                if not changes or changes[-1][1] != share:
                    changes.append((at, share))
    return rows


def judge_zones(judge: Judge, regions: str = "") -> None:
    """Adds the rule to the judge's verdict and checks it: after a supervisor read that a share of a zone is evacuated,
    and after the grace, its proxies together send to no more of the zone's servers than the rest."""
    verdict, facts, address_plan = judge.verdict, judge.facts, judge.address_plan
    verdict.rules[RULE] = {"checked": 0, "broken": 0}
    for (owner, zone), rows in _read_stages(judge, regions).items():
        number = facts.zones.index(zone)
        verdict.evacuated.setdefault(zone, {})[owner] = [(round(at, 2), share) for at, share in rows]
        for k, (at, share) in enumerate(rows):
            till = rows[k + 1][0] if k + 1 < len(rows) else judge.end
            since = judge.observable_at(owner, at) + facts.drain_grace + DELAY_ALLOWANCE_S
            if share <= 0 or since >= till:
                continue
            verdict.count_check(RULE)
            listed_servers = {
                name
                for name, intervals in judge.listed[owner].items()
                if address_plan.zone_of_server(address_plan.number_of_server(name)) == number
                and any(each.value[0] == "ready" and each.since < till and at < each.till for each in intervals)
            }
            used_servers = set()
            for name in listed_servers:
                for sent_at, proxy, _ in judge.sent[name]:
                    joined = judge.joined_interval(proxy, sent_at)
                    if joined is None or joined.value != owner or not since <= sent_at < till:
                        continue
                    if sent_at >= joined.since + facts.drain_grace + DELAY_ALLOWANCE_S:
                        used_servers.add(name)
            if len(used_servers) > ceil((1 - share) * len(listed_servers) - 1e-6):
                verdict.report_violation(
                    RULE,
                    f"supervisor {owner}'s proxies send to {len(used_servers)} of {len(listed_servers)} servers "
                    f"of {zone}, of which {share:.2f} is evacuated, from {since:.2f} to {till:.2f} s",
                )
