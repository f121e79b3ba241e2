"""A supervisor's participation in leaving zones: its evidence, its votes on stages, and the shares it applies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from driftshed import interface as face
from driftshed.coordination import agreement
from driftshed.coordination.agent import Agent
from driftshed.core.hub import Refused
from driftshed.evacuation.evidence import Evidence, Verdict, VerdictTracker, is_dead, place_verdict
from driftshed.evacuation.overlay import Overlay
from driftshed.evacuation.places import Place, places
from driftshed.evacuation.stages import (
    MAX_MANUAL_S,
    TOLERANCE,
    BadStage,
    Limits,
    Observation,
    Stage,
    capacity_share,
    ceiling_share,
    check_succession,
    decide_vote,
    next_stage,
)
from driftshed.net.loop import Timers
from driftshed.supervisor.service import Service

PEER_REPORT_TIMEOUT_S = 1.5  # from a proposal until the supervisors of the proxies inside have published their reports
PROPOSAL_TIMEOUT_PACES = 1.5  # times `pace`: how long a proposal waits for votes
PROPOSAL_STAGGER_PACES = 0.5  # times `pace`: how much later each next supervisor proposes a stage that is still due
STRAINED_SLOWDOWN = 2.0  # times the usual latency, from which on a zone that takes over work is strained
START_WAIT_SESSION_TIMEOUTS = 2.0  # times the session timeout: how long proxies wait for the first read of the records
FOREVER_S = 1e9  # longest duration in an observation; finite, so that JSON can hold it


class OperatorOrder(Struct, forbid_unknown_fields=True):
    """An operator's order for a zone or region; `lasts`: seconds, after which evidence decides again."""

    zone: Annotated[str, Meta(max_length=64)]
    what: str  # leave, hold, return or alone
    by: Annotated[str, Meta(min_length=1, max_length=64)]
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    lasts: Annotated[float, Meta(gt=0, le=MAX_MANUAL_S)] = 3600.0
    dry: bool = False


class Evacuation:
    """Connects leaving zones to an agent, a service and its instance's roster; without one it is off.

    `on_decided(now, what, topic, given, said)` is called with each decision, its inputs and its result. `shares`: by
    zone, the share that is left here."""

    def __init__(
        self,
        loop: Timers,
        service: Service,
        agent: Agent,
        limits: Limits,
        log: Callable[..., object] = lambda event, **fields: None,
        regions: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Installs its callbacks in the agent, the service and the instance.

        `regions`: zones by region (`places.read_regions`)."""
        self.loop, self.service, self.agent, self.limits, self.log = loop, service, agent, limits, log
        self.facts, self.zones = service.instance.facts, service.instance.facts.zones
        self.places = places(self.zones, regions or {})
        self.by_topic = {place.topic: (number, place) for number, place in enumerate(self.places)}
        self.evidence, self.verdicts = Evidence(self.facts), VerdictTracker(len(self.places))
        self.overlay, self.shares = Overlay(len(self.zones), self.facts.warm_within), [0.0] * len(self.zones)
        self.stats: dict = {}
        self.candidates: dict[str, tuple[Stage, float]] = {}  # by topic: the stage to propose, and since when
        self.proposed: set[str] = set()  # topics with an own proposal that is open or recent
        self.first_seen: dict[str, tuple[int, float]] = {}  # by topic: the committed epoch, and since when
        self.local_shares: dict[str, float] = {}  # by topic: ordered for here alone, without a lease
        self.on_decision: Callable[..., object] = lambda now, what, topic, given, said: None
        self.started_at = loop.clock()
        instance = service.instance
        instance.overlay = lambda listing: self.overlay.apply_listing(listing, self.loop.clock())
        instance.on_server_report = self._record_tries
        previous_judge, previous_on_record = agent.vote_on, agent.on_record
        agent.vote_on = lambda record: self._vote(record) if record.topic in self.by_topic else previous_judge(record)
        agent.on_record = lambda record: (previous_on_record(record), self._apply())
        service.views["zones"] = self.view
        service.actions["zones"] = (OperatorOrder, self.handle_order)
        service.not_ready_reason = self._join_refusal
        self._tick()

    def _join_refusal(self) -> str:
        """Why no proxy may join now, or "".

        Guards against a first table without regard to a zone that is left; the wait is limited."""
        is_read = self.agent.records.complete and self.agent.holds_lease()
        timed_out = self.loop.clock() > self.started_at + START_WAIT_SESSION_TIMEOUTS * self.agent.timeout
        return "" if is_read or timed_out else "the records of zones are not read yet; come back soon"

    def _record_tries(
        self, now: float, proxy_zone: int, server: face.Server, tries: int, errored: int, latency: float | None
    ) -> None:
        entry = self.service.instance.roster.entries.get(server)
        if entry is not None:
            self.evidence.record(now, proxy_zone, entry.zone, tries, errored, latency)

    # ---- committed stages and observations --------------------------------------------------------------------

    def committed_stage(self, place: Place) -> Stage | None:
        """Returns the committed stage of a place as last read; an order by hand that is over counts as `left`."""
        return self._effective_stage(place, self.agent.committed_value(place.topic))

    def _effective_stage(self, place: Place, committed: agreement.CommittedValue | None) -> Stage | None:
        if committed is None:
            return None
        try:
            stage = read_stage(committed.body, place, self.zones)
        except BadStage as error:
            self.log("bad_stage", level="warning", why=str(error))
            return None
        if committed.binds_for is not None and self.loop.clock() > self._committed_since(place) + committed.binds_for:
            return msgspec.structs.replace(stage, by=None, phase="left", account=f"{stage.by}'s order is over")
        return stage

    def _committed_since(self, place: Place) -> float:
        """Returns when the committed stage of a place was first read here; proposals in between do not matter."""
        committed = self.agent.committed_value(place.topic)
        epoch = committed.epoch if committed is not None else 0
        if self.first_seen.get(place.topic, (-1, 0.0))[0] != epoch:
            self.first_seen[place.topic] = epoch, self.loop.clock()
        return self.first_seen[place.topic][1]

    def _zone_indexes(self, names: tuple[str, ...]) -> tuple[int, ...]:
        return tuple(map(self.zones.index, names))

    def _left_shares(self, before: float = 0, but: Place | None = None) -> list[float]:
        """Returns by zone the share that is left by the stages of all places except `but`.

        These are the committed stages, and those proposed under an epoch below `before` as if they were committed.
        Guards against two places that are left at once, each without regard to the other: the epochs of proposals are
        in one order, and whoever reads one has read those before it."""
        left = [0.0] * len(self.zones)
        for place in self.places:
            stages = [self.committed_stage(place)]
            topic = self.agent.topics.get(place.topic)
            record = topic.record if topic is not None else None
            if record is not None and record.state == "open" and record.epoch < before:
                try:
                    stages.append(read_stage(record.body, place, self.zones))
                except BadStage:
                    pass  # it will not be committed
            for stage in stages if place is not but else ():
                if stage is not None:
                    for zone, share in place.shares(stage.share, self._zone_indexes(stage.order)).items():
                        left[zone] = max(left[zone], share)
        return left

    def _warmth(self, entry: face.Entry, now: float) -> float:
        if entry.started is None or now >= entry.started + self.facts.warm_within:
            return 1.0
        cold = self.facts.cold_share
        return cold + (1 - cold) * max(0.0, now - entry.started) / self.facts.warm_within

    def _zone_totals(self) -> tuple[list[int], list[float], list[float]]:
        """Returns by zone the number of ready servers, their weight (less for cold ones) and the usual concurrency."""
        now = self.loop.clock()
        servers, capacity = [0] * len(self.zones), [0.0] * len(self.zones)
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[entry.zone] += 1
                capacity[entry.zone] += self._warmth(entry, now) * (
                    entry.weight if self.facts.listed_weights != "off" else 1.0
                )
        # Only the own proxies report to a supervisor: the others are assumed to bring as much work each.
        scale = self.facts.proxies / max(1, len(self.service.streams))
        busy = [
            scale
            * sum(concurrency for (_, zone), concurrency in self.evidence.usual_concurrency.items() if zone == number)
            for number in range(len(self.zones))
        ]
        return servers, capacity, busy

    def _return_order(self, place: Place, capacity: list[float]) -> tuple[str, ...]:
        """Returns the zones of a region in the order of their return, the largest capacity first; () for a zone."""
        if len(place.zones) == 1:
            return ()
        return tuple(self.zones[zone] for zone in sorted(place.zones, key=lambda zone: (-capacity[zone], zone)))

    def observe(self, place: Place, fleet: tuple | None = None, before: float = float("inf")) -> Observation:
        """Returns this supervisor's observation of a place now.

        `fleet`: the result of `_zone_totals`, if the caller has it. `before`: as in `_left_shares`."""
        now, number = self.loop.clock(), self.by_topic[place.topic][0]
        servers, capacity, busy = fleet or self._zone_totals()
        left, stage = self._left_shares(before, place), self.committed_stage(place)
        order = self._zone_indexes(
            stage.order if stage is not None and stage.order else self._return_order(place, capacity)
        )
        takeover_stats = [
            stats for (_, zone), stats in self.stats.items() if zone not in place.zones and not left[zone]
        ]
        strained = any(stats.unhealthy or stats.slow >= STRAINED_SLOWDOWN for stats in takeover_stats)
        overloaded = 2 * sum(stats.tries for stats in takeover_stats if stats.overloaded) > sum(
            stats.tries for stats in takeover_stats
        )
        verdict, has_inside_stats = (
            self.verdicts.current[number],
            all((zone, zone) in self.stats for zone in place.zones),
        )
        reports = set().union(*(self._reported_inside(self.zones[zone]) for zone in place.zones))
        if verdict is Verdict.UNHEALTHY and not has_inside_stats and "well" in reports:
            verdict = Verdict.PARTITIONED  # the proxies inside, which other supervisors serve, report it healthy
        topic = self.agent.topics.get(place.topic)
        opened_at = topic.opened_at if topic is not None and topic.record is not None else now
        return Observation(
            verdict,
            min(FOREVER_S, self.verdicts.duration_s(number, verdict, now)),
            self.verdicts.recently_tried[number],
            is_dead(place.zones, self.stats),
            strained,
            overloaded,
            min(
                ceiling_share(servers, left, order or place.zones, self.limits),
                capacity_share(busy, capacity, left, order or place.zones, self.limits),
            ),
            now - self._committed_since(place),
            any(left),
            has_inside_stats or "" not in reports or now - opened_at >= PEER_REPORT_TIMEOUT_S,
        )

    def _reported_inside(self, zone: str) -> set[str]:
        """Returns the reports on a zone by the other living supervisors of its proxies; "" for a missing report."""
        members = (each.member for each in self.agent.membership.living().values())
        return {each.inside.get(zone, "") for each in members if each.zones.get(zone) and each.name != self.agent.name}

    def _publish_inside(self) -> None:
        """Publishes whether the own proxies inside a zone observe it healthy.

        Guards against leaving a zone that is healthy from inside, where each supervisor serves the proxies of some
        zones only. Published only while a proposal is open or some zone looks unhealthy: at rest nothing is written."""
        proposal_open = any(self.agent.is_open(place.topic) for place in self.places)
        inside = {}
        if proposal_open or any(stats.unhealthy for stats in self.stats.values()):
            inside = {
                zone: "ill" if self.stats[number, number].unhealthy else "well"
                for number, zone in enumerate(self.zones)
                if (number, number) in self.stats
            }
        self.agent.publish(inside=inside)

    def _tick(self) -> None:
        self.loop.after(self.facts.report_period, self._tick)
        now = self.loop.clock()
        self.stats = self.evidence.summarize(now)
        left_places = [any(self.shares[zone] for zone in place.zones) for place in self.places]
        self.verdicts.update(
            now,
            [
                place_verdict(place.zones, self.stats, partly)
                for place, partly in zip(self.places, left_places, strict=True)
            ],
        )
        self._apply()
        if not self.agent.holds_lease():
            self.candidates.clear()
            return
        self._publish_inside()
        self.agent.evaluate()
        fleet = self._zone_totals()
        for place in self.places:
            self._propose(place, fleet, now)

    def _apply(self) -> None:
        """Applies the committed shares to the roster.

        Without a lease the last shares stay, except for what an operator ordered to return at this supervisor alone."""
        if self.agent.holds_lease() and self.agent.records.complete:
            self.local_shares.clear()
            shares = self._left_shares()
        else:
            shares = list(self.shares)
            for topic, share in self.local_shares.items():
                for zone, left in self.by_topic[topic][1].shares(share).items():
                    shares[zone] = min(shares[zone], left)
        if shares == self.shares:
            return
        self.log("zones", shares=dict(zip(self.zones, shares, strict=True)))
        for number, place in enumerate(self.places):
            if any(self.shares[zone] and not shares[zone] for zone in place.zones):
                self.verdicts.reset(number)
        self.shares = shares
        update = self.overlay.set_shares(shares, self.service.instance.roster.version or 0, self.loop.clock())
        if update is not None:
            self.service.apply_overlay(update)

    # ---- proposals and votes ----------------------------------------------------------------------------------

    def _is_left(self, place: Place) -> bool:
        return (stage := self.committed_stage(place)) is not None and stage.phase != "back"

    def _conflicting_place(self, place: Place, unhealthy: bool = True) -> str:
        """Returns the name of the place that keeps this one from being left, or "".

        For a zone that is its region, if it is left as one or, with `unhealthy`, is observed to be unhealthy as a
        whole. For a region that is a zone of it that is left by itself. Guards against leaving twice for one
        failure."""
        for number, other in enumerate(self.places):
            if other is place or not set(other.zones) & set(place.zones):
                continue
            region_unhealthy = (
                len(other.zones) > len(place.zones) and self.verdicts.current[number] is Verdict.UNHEALTHY
            )
            if self._is_left(other) or (unhealthy and region_unhealthy):
                return other.name
        return ""

    def _propose(self, place: Place, fleet: tuple, now: float) -> None:
        stage, observation = self.committed_stage(place), self.observe(place, fleet)
        order = stage.order if self._is_left(place) else self._return_order(place, fleet[1])
        successor = next_stage(place.name, stage, observation, self.limits, order)
        if successor is None or self.agent.is_open(place.topic):
            self.candidates.pop(place.topic, None)
            return
        if not self._is_left(place) and self._conflicting_place(place):
            return
        candidate = self.candidates.get(place.topic)
        since = candidate[1] if candidate is not None and candidate[0].phase == successor.phase else now
        self.candidates[place.topic] = successor, since
        ranks = self.agent.membership.order()
        rank = ranks.index(self.agent.name) if self.agent.name in ranks else len(ranks)
        if place.topic in self.proposed or now < since + rank * PROPOSAL_STAGGER_PACES * self.limits.pace:
            return
        self.on_decision(now, "next", place.topic, (place.name, stage, observation, self.limits, order), successor)
        self._submit(place, successor)

    def _submit(self, place: Place, stage: Stage, valid_for: float | None = None) -> None:
        expected = self.agent.membership.expected

        def on_done(proposal) -> None:
            self.log(
                "stage", zone=place.name, phase=stage.phase, share=stage.share, state=proposal.state, why=proposal.why
            )
            # A stage that was objected to is not proposed again at once.
            self.loop.after(self.limits.pace, lambda: self.proposed.discard(place.topic))

        self.proposed.add(place.topic)
        self.agent.propose(
            place.topic,
            msgspec.to_builtins(stage),
            expected,
            len(expected) // 2 + 1,
            PROPOSAL_TIMEOUT_PACES * self.limits.pace,
            on_done,
            valid_for,
        )

    def _vote(self, record: agreement.Record) -> tuple[bool, str] | None:
        _, place = self.by_topic[record.topic]
        try:
            stage = read_stage(record.body, place, self.zones)
        except BadStage as error:
            return False, str(error)
        if (
            stage.phase == "leaving"
            and not self._is_left(place)
            and (conflicting := self._conflicting_place(place, unhealthy=False))
        ):
            return False, f"{conflicting} is left already"
        committed, observation = self._effective_stage(place, record.standing), self.observe(place, before=record.epoch)
        vote = decide_vote(committed, stage, observation, self.limits)
        if vote is not None:
            self.on_decision(self.loop.clock(), "word", place.topic, (committed, stage, observation, self.limits), vote)
        return vote

    # ---- orders by hand ---------------------------------------------------------------------------------------

    def handle_order(self, request: OperatorOrder) -> dict:
        """Proposes an operator's order, or with `dry` only returns its result; raises Refused if it is not possible."""
        place = next((place for place in self.places if place.name == request.zone), None)
        if place is None:
            raise Refused(400, f"{request.zone!r} is none of {', '.join(each.name for each in self.places)}")
        stage, fleet = self.committed_stage(place), self._zone_totals()
        observation, valid_for = self.observe(place, fleet), None
        order = stage.order if self._is_left(place) else self._return_order(place, fleet[1])
        current = stage if stage is not None else Stage(place.name, "back", 0.0, 0.0)
        if request.what == "leave":
            if request.share > observation.max_share + TOLERANCE:
                raise Refused(
                    409, f"the rest bears {observation.max_share:.2f} of it: order no more, or raise the ceiling"
                )
            new = Stage(place.name, "left", request.share, request.share, by=request.by, account="by hand", order=order)
            valid_for = request.lasts
        elif request.what == "hold":
            new = msgspec.structs.replace(current, by=request.by, account="held by hand", order=order)
            valid_for = request.lasts
        elif request.what in ("return", "alone"):
            if current.share <= TOLERANCE:
                raise Refused(409, f"nothing of {place.name} is left")
            share = max(0.0, current.share - self.limits.trickle) if request.what == "return" else request.share
            new = Stage(
                place.name,
                "returning",
                share,
                current.share,
                current.flaps,
                account=f"ordered by {request.by}",
                order=current.order,
            )
        else:
            raise Refused(400, f"{request.what[:32]!r}: leave, hold, return or alone is wanted")
        if request.what == "alone":
            new = msgspec.structs.replace(new, account=f"here alone, ordered by {request.by}")
            self._check_local_order(place, request.share)
        else:
            try:
                check_succession(stage, new, self.limits)
            except BadStage as error:
                raise Refused(409, str(error)) from None
        if not request.dry and request.what == "alone":
            self.log("alone", level="warning", zone=place.name, share=request.share, ordered_by=request.by)
            self.local_shares[place.topic] = request.share
            self._apply()
        elif not request.dry:
            if not self.agent.holds_lease():
                raise Refused(503, "this supervisor has no lease; ask another, or wait for the store")
            self._submit(place, new, valid_for)
        servers = {name: {"ready": 0, "left": 0} for name in self.zones}
        trial = Overlay(len(self.zones))
        trial.entries, trial.shares = self.overlay.entries, self._left_shares(but=place)
        for zone, share in place.shares(new.share, self._zone_indexes(new.order)).items():
            trial.shares[zone] = max(trial.shares[zone], share)
        left_servers = trial.servers_to_leave()
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[self.zones[entry.zone]]["left" if entry.server in left_servers else "ready"] += 1
        return {"proposed": not request.dry, "stage": new, "servers": servers}

    def _check_local_order(self, place: Place, share: float) -> None:
        """Raises Refused unless one supervisor may return to `share` alone: without the store, and by one step only."""
        if self.agent.holds_lease():
            raise Refused(409, "the store is reachable: the shares are agreed by all, ask for `return`")
        left_share = max(self.shares[zone] for zone in place.zones)
        max_step = max(self.limits.trickle, 1.0 - left_share)
        if not left_share - max_step - TOLERANCE <= share < left_share:
            min_share = max(0.0, left_share - max_step)
            raise Refused(409, f"{left_share:.2f} of it is left here: give a share from {min_share:.2f} to below that")

    def view(self) -> list[dict]:
        """Returns the state of all places, for `driftshed zone status`."""
        rows, fleet = [], self._zone_totals()
        for place in self.places:
            observation, stage = self.observe(place, fleet), self.committed_stage(place)
            rows.append(
                {
                    "zone": place.name,
                    "share": max(self.shares[zone] for zone in place.zones),
                    "stage": stage,
                    "zones": [self.zones[zone] for zone in place.zones],
                    "verdict": observation.verdict.value,
                    "lasted": round(min(observation.duration_s, 1e6), 1),
                    "bears": round(observation.max_share, 3),
                    "strained": observation.strained,
                    "alone": place.topic in self.local_shares,
                    "met": {
                        f"{self.zones[proxy_zone]}>{self.zones[server_zone]}": stats._asdict()
                        for (proxy_zone, server_zone), stats in sorted(self.stats.items())
                        if server_zone in place.zones
                    },
                }
            )
        return rows


def read_stage(body: object, place: Place, zones: tuple[str, ...]) -> Stage:
    """Decodes the body of a record as a stage of its place; raises BadStage if it is malformed or of another place."""
    try:
        stage = msgspec.convert(body, Stage)
    except msgspec.ValidationError as error:
        raise BadStage(f"no stage: {error}") from None
    zone_names = sorted(zones[zone] for zone in place.zones)
    if stage.zone != place.name or (sorted(stage.order) != zone_names if len(zone_names) > 1 else stage.order):
        raise BadStage(f"{stage.zone!r} of {', '.join(stage.order) or 'one zone'} is not what {place.name!r} is here")
    return stage
