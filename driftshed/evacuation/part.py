"""A supervisor's part in leaving zones: its evidence, its words on stages, and what stands laid over its list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from driftshed import interface as face
from driftshed.coordination import agreement
from driftshed.coordination.agent import Agent
from driftshed.core.hub import Refused
from driftshed.evacuation.evidence import Evidence, Lasting, Verdict, dead, of_place
from driftshed.evacuation.overlay import Overlay
from driftshed.evacuation.places import Place, places
from driftshed.evacuation.stages import (
    BY_HAND_MOST,
    SMALL,
    BadStage,
    Limits,
    Sight,
    Stage,
    bearing,
    ceiling,
    follows,
    next_stage,
    word,
)
from driftshed.net.loop import Timers
from driftshed.supervisor.service import Service

TOLD_WITHIN = 1.5  # seconds from a proposal until those who serve the proxies inside have said what they see
PATIENCE = 1.5  # of the pace: how long a proposal waits for words
STAGGER = 0.5  # of the pace: how much later each next supervisor proposes what the first one has not
STRAIN = 2.0  # times the usual latency in a zone that takes over
FIRST_WAIT = 2.0  # of the session's time-out: how long a start waits for what stands before it takes proxies
MOST = 1e9  # seconds: as good as for ever, and can be written down


class Ordered(Struct, forbid_unknown_fields=True):
    """What an operator orders of a zone or region; `lasts`: seconds, after which evidence decides again."""

    zone: Annotated[str, Meta(max_length=64)]
    what: str  # leave, hold, return or alone
    by: Annotated[str, Meta(min_length=1, max_length=64)]
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    lasts: Annotated[float, Meta(gt=0, le=BY_HAND_MOST)] = 3600.0
    dry: bool = False


class Evacuation:
    """Takes its place between an agent, a service and the instance's list when it is made; off without. `regions`:
    zones by region (`places.read_regions`). `on_decided(now, what, topic, given, said)` hears each decision with all
    that it rests on."""

    def __init__(
        self,
        loop: Timers,
        service: Service,
        agent: Agent,
        limits: Limits,
        log: Callable[..., object] = lambda event, **fields: None,
        regions: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        self.loop, self.service, self.agent, self.limits, self.log = loop, service, agent, limits, log
        self.facts, self.zones = service.instance.facts, service.instance.facts.zones
        self.places = places(self.zones, regions or {})
        self.by_topic = {place.topic: (number, place) for number, place in enumerate(self.places)}
        self.evidence, self.lasting = Evidence(self.facts), Lasting(len(self.places))
        self.overlay, self.shares = Overlay(len(self.zones), self.facts.warm_within), [0.0] * len(self.zones)
        self.look: dict = {}
        self.wanted: dict[str, tuple[Stage, float]] = {}  # by topic: what we would propose, since when
        self.open: set[str] = set()  # topics on which a proposal of ours is under way, or was of late
        self.stood: dict[str, tuple[int, float]] = {}  # by topic: the epoch that stands, and since when
        self.alone: dict[str, float] = {}  # by topic: the share that an operator ordered while no lease holds
        self.on_decided: Callable[..., object] = lambda now, what, topic, given, said: None
        self.began = loop.clock()
        instance = service.instance
        instance.overlay = lambda listing: self.overlay.hear(listing, self.loop.clock())
        instance.on_met = self._met
        before, told = agent.judge, agent.on_record
        agent.judge = lambda record: self._word(record) if record.topic in self.by_topic else before(record)
        agent.on_record = lambda record: (told(record), self._apply())
        service.views["zones"] = self.view
        service.actions["zones"] = (Ordered, self.order)
        service.waits = self._waits
        self._turn()

    def _waits(self) -> str:
        """Guards against a first table that knows nothing of a zone that is left; it does not wait for ever."""
        known = self.agent.records.whole and self.agent.holds()
        late = self.loop.clock() > self.began + FIRST_WAIT * self.agent.timeout
        return "" if known or late else "what stands on zones is not read yet; come back soon"

    def _met(self, now: float, here: int, server: face.Server, tries: int, errored: int, latency: float | None) -> None:
        entry = self.service.instance.roster.entries.get(server)
        if entry is not None:
            self.evidence.met(now, here, entry.zone, tries, errored, latency)

    # ---- what stands and what is seen -------------------------------------------------------------------------

    def stage(self, place: Place) -> Stage | None:
        """What stands on a place, as it was last read."""
        return self._stage_of(place, self.agent.standing(place.topic))

    def _stage_of(self, place: Place, standing: agreement.Standing | None) -> Stage | None:
        if standing is None:
            return None
        try:
            stage = read_stage(standing.body, place, self.zones)
        except BadStage as error:
            self.log("bad_stage", level="warning", why=str(error))
            return None
        if standing.binds_for is not None and self.loop.clock() > self._stands_since(place) + standing.binds_for:
            return msgspec.structs.replace(stage, by=None, phase="left", account=f"{stage.by}'s order is over")
        return stage

    def _stands_since(self, place: Place) -> float:
        """When what stands on a place was first seen here; proposals come and go meanwhile."""
        standing = self.agent.standing(place.topic)
        epoch = standing.epoch if standing is not None else 0
        if self.stood.get(place.topic, (-1, 0.0))[0] != epoch:
            self.stood[place.topic] = epoch, self.loop.clock()
        return self.stood[place.topic][1]

    def _numbers(self, names: tuple[str, ...]) -> tuple[int, ...]:
        return tuple(map(self.zones.index, names))

    def _left(self, before: float = 0, but: Place | None = None) -> list[float]:
        """By zone: the share that is left by all that stands but on one place, and by what is proposed under an epoch
        below `before`, as if that were settled.

        Guards against two places left at once, each as if the other were not: the epochs of proposals are one order,
        and whoever reads one has read those before it."""
        left = [0.0] * len(self.zones)
        for place in self.places:
            stages = [self.stage(place)]
            topic = self.agent.topics.get(place.topic)
            record = topic.record if topic is not None else None
            if record is not None and record.state == "open" and record.epoch < before:
                try:
                    stages.append(read_stage(record.body, place, self.zones))
                except BadStage:
                    pass  # it will not be settled
            for stage in stages if place is not but else ():
                if stage is not None:
                    for zone, share in place.shares(stage.share, self._numbers(stage.order)).items():
                        left[zone] = max(left[zone], share)
        return left

    def _warmth(self, entry: face.Entry, now: float) -> float:
        if entry.started is None or now >= entry.started + self.facts.warm_within:
            return 1.0
        cold = self.facts.cold_share
        return cold + (1 - cold) * max(0.0, now - entry.started) / self.facts.warm_within

    def _fleet(self) -> tuple[list[int], list[float], list[float]]:
        """By zone: servers that are listed ready, their weight as warm as they are, and the work that is usual."""
        now = self.loop.clock()
        servers, capacity = [0] * len(self.zones), [0.0] * len(self.zones)
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[entry.zone] += 1
                capacity[entry.zone] += self._warmth(entry, now) * (
                    entry.weight if self.facts.listed_weights != "off" else 1.0
                )
        # Each supervisor hears of its own proxies alone: the rest are taken to bring as much each.
        scale = self.facts.proxies / max(1, len(self.service.polls))
        busy = [
            scale * sum(held for (_, there), held in self.evidence.busy.items() if there == k)
            for k in range(len(self.zones))
        ]
        return servers, capacity, busy

    def _order(self, place: Place, capacity: list[float]) -> tuple[str, ...]:
        """In which order the zones of a region are to come back: those that bear most first."""
        if len(place.zones) == 1:
            return ()
        return tuple(self.zones[zone] for zone in sorted(place.zones, key=lambda zone: (-capacity[zone], zone)))

    def sight(self, place: Place, fleet: tuple | None = None, before: float = float("inf")) -> Sight:
        """What is seen of a place now; `fleet`: what `_fleet` says, where more than one is looked at; `before`: as
        `_left` takes it."""
        now, number = self.loop.clock(), self.by_topic[place.topic][0]
        servers, capacity, busy = fleet or self._fleet()
        left, stage = self._left(before, place), self.stage(place)
        order = self._numbers(stage.order if stage is not None and stage.order else self._order(place, capacity))
        takers = [met for (_, there), met in self.look.items() if there not in place.zones and not left[there]]
        strained = any(met.ill or met.slow >= STRAIN for met in takers)
        overrun = 2 * sum(met.tries for met in takers if met.overrun) > sum(met.tries for met in takers)
        verdict, own = self.lasting.now[number], all((zone, zone) in self.look for zone in place.zones)
        inside = set().union(*(self._said_inside(self.zones[zone]) for zone in place.zones))
        if verdict is Verdict.ILL and not own and "well" in inside:
            verdict = Verdict.CUT  # those inside it see it well, whom other supervisors serve
        topic = self.agent.topics.get(place.topic)
        opened = topic.opened if topic is not None and topic.record is not None else now
        return Sight(
            verdict,
            min(MOST, self.lasting.lasted(number, verdict, now)),
            self.lasting.fresh[number],
            dead(place.zones, self.look),
            strained,
            overrun,
            min(
                ceiling(servers, left, order or place.zones, self.limits),
                bearing(busy, capacity, left, order or place.zones, self.limits),
            ),
            now - self._stands_since(place),
            any(left),
            own or "" not in inside or now - opened >= TOLD_WITHIN,
        )

    def _said_inside(self, zone: str) -> set[str]:
        """What the other living supervisors that serve a zone's own proxies say that these met there; "" of one that
        has not spoken."""
        members = (each.member for each in self.agent.roll.living().values())
        return {each.inside.get(zone, "") for each in members if each.zones.get(zone) and each.name != self.agent.name}

    def _say_inside(self) -> None:
        """Guards against leaving a zone that is well inside, where each supervisor serves the proxies of some zones
        alone. Said only while a zone is in question: at rest nothing is written."""
        asked = any(self.agent.is_open(place.topic) for place in self.places)
        inside = {}
        if asked or any(met.ill for met in self.look.values()):
            inside = {
                zone: "ill" if self.look[n, n].ill else "well"
                for n, zone in enumerate(self.zones)
                if (n, n) in self.look
            }
        self.agent.say(inside=inside)

    def _turn(self) -> None:
        self.loop.after(self.facts.report_period, self._turn)
        now = self.loop.clock()
        self.look = self.evidence.look(now)
        left = [any(self.shares[zone] for zone in place.zones) for place in self.places]
        self.lasting.take(
            now, [of_place(place.zones, self.look, partly) for place, partly in zip(self.places, left, strict=True)]
        )
        self._apply()
        if not self.agent.holds():
            self.wanted.clear()
            return
        self._say_inside()
        self.agent.look()
        fleet = self._fleet()
        for place in self.places:
            self._propose(place, fleet, now)

    def _apply(self) -> None:
        """Lays what stands over the list. While no lease holds, the last that was acted on goes on: the stage holds,
        but for what an operator lets in again at this supervisor alone."""
        if self.agent.holds() and self.agent.records.whole:
            self.alone.clear()
            shares = self._left()
        else:
            shares = list(self.shares)
            for topic, share in self.alone.items():
                for zone, own in self.by_topic[topic][1].shares(share).items():
                    shares[zone] = min(shares[zone], own)
        if shares == self.shares:
            return
        self.log("zones", shares=dict(zip(self.zones, shares, strict=True)))
        for number, place in enumerate(self.places):
            if any(self.shares[zone] and not shares[zone] for zone in place.zones):
                self.lasting.forget(number)
        self.shares = shares
        news = self.overlay.take(shares, self.service.instance.roster.version or 0, self.loop.clock())
        if news is not None:
            self.service.hear_overlaid(news)

    # ---- proposals and words ----------------------------------------------------------------------------------

    def _standing(self, place: Place) -> bool:
        return (stage := self.stage(place)) is not None and stage.phase != "back"

    def _yields_to(self, place: Place, ill: bool = True) -> str:
        """The place for whose sake leaving this one does not begin: a region that is left as one or, with `ill`, is
        seen to be ill as a whole; a zone of it that is left by itself. Guards against one failure left twice."""
        for number, other in enumerate(self.places):
            if other is place or not set(other.zones) & set(place.zones):
                continue
            whole = len(other.zones) > len(place.zones) and self.lasting.now[number] is Verdict.ILL
            if self._standing(other) or (ill and whole):
                return other.name
        return ""

    def _propose(self, place: Place, fleet: tuple, now: float) -> None:
        stage, sight = self.stage(place), self.sight(place, fleet)
        order = stage.order if self._standing(place) else self._order(place, fleet[1])
        following = next_stage(place.name, stage, sight, self.limits, order)
        if following is None or self.agent.is_open(place.topic):
            self.wanted.pop(place.topic, None)
            return
        if not self._standing(place) and self._yields_to(place):
            return
        known = self.wanted.get(place.topic)
        since = known[1] if known is not None and known[0].phase == following.phase else now
        self.wanted[place.topic] = following, since
        ranks = self.agent.roll.order()
        rank = ranks.index(self.agent.name) if self.agent.name in ranks else len(ranks)
        if place.topic in self.open or now < since + rank * STAGGER * self.limits.pace:
            return
        self.on_decided(now, "next", place.topic, (place.name, stage, sight, self.limits, order), following)
        self._put(place, following)

    def _put(self, place: Place, stage: Stage, binds_for: float | None = None) -> None:
        expected = self.agent.roll.expected

        def done(proposal) -> None:
            self.log(
                "stage", zone=place.name, phase=stage.phase, share=stage.share, state=proposal.state, why=proposal.why
            )
            # What was objected to is not asked again at once.
            self.loop.after(self.limits.pace, lambda: self.open.discard(place.topic))

        self.open.add(place.topic)
        self.agent.propose(
            place.topic,
            msgspec.to_builtins(stage),
            expected,
            len(expected) // 2 + 1,
            PATIENCE * self.limits.pace,
            done,
            binds_for,
        )

    def _word(self, record: agreement.Record) -> tuple[bool, str] | None:
        _, place = self.by_topic[record.topic]
        try:
            stage = read_stage(record.body, place, self.zones)
        except BadStage as error:
            return False, str(error)
        if stage.phase == "leaving" and not self._standing(place) and (other := self._yields_to(place, ill=False)):
            return False, f"{other} is left already"
        old, sight = self._stage_of(place, record.standing), self.sight(place, before=record.epoch)
        said = word(old, stage, sight, self.limits)
        if said is not None:
            self.on_decided(self.loop.clock(), "word", place.topic, (old, stage, sight, self.limits), said)
        return said

    # ---- by hand ----------------------------------------------------------------------------------------------

    def order(self, ordered: Ordered) -> dict:
        """An operator's order: proposes it, or says with `dry` what it would be. Refused where it cannot be."""
        place = next((place for place in self.places if place.name == ordered.zone), None)
        if place is None:
            raise Refused(400, f"{ordered.zone!r} is none of {', '.join(each.name for each in self.places)}")
        stage, fleet = self.stage(place), self._fleet()
        sight, lasts = self.sight(place, fleet), None
        order = stage.order if self._standing(place) else self._order(place, fleet[1])
        standing = stage if stage is not None else Stage(place.name, "back", 0.0, 0.0)
        if ordered.what == "leave":
            if ordered.share > sight.bears + SMALL:
                raise Refused(409, f"the rest bears {sight.bears:.2f} of it: ask for no more, or raise the ceiling")
            new = Stage(place.name, "left", ordered.share, ordered.share, by=ordered.by, account="by hand", order=order)
            lasts = ordered.lasts
        elif ordered.what == "hold":
            new = msgspec.structs.replace(standing, by=ordered.by, account="held by hand", order=order)
            lasts = ordered.lasts
        elif ordered.what in ("return", "alone"):
            if standing.share <= SMALL:
                raise Refused(409, f"nothing of {place.name} is left")
            share = max(0.0, standing.share - self.limits.trickle) if ordered.what == "return" else ordered.share
            new = Stage(
                place.name,
                "returning",
                share,
                standing.share,
                standing.flaps,
                account=f"ordered by {ordered.by}",
                order=standing.order,
            )
        else:
            raise Refused(400, f"{ordered.what[:32]!r}: leave, hold, return or alone is wanted")
        if ordered.what == "alone":
            new = msgspec.structs.replace(new, account=f"here alone, ordered by {ordered.by}")
            self._check_alone(place, ordered.share)
        else:
            try:
                follows(stage, new, self.limits)
            except BadStage as error:
                raise Refused(409, str(error)) from None
        if not ordered.dry and ordered.what == "alone":
            self.log("alone", level="warning", zone=place.name, share=ordered.share, ordered_by=ordered.by)
            self.alone[place.topic] = ordered.share
            self._apply()
        elif not ordered.dry:
            if not self.agent.holds():
                raise Refused(503, "this supervisor has no lease; ask another, or wait for the store")
            self._put(place, new, lasts)
        servers = {name: {"ready": 0, "left": 0} for name in self.zones}
        trial = Overlay(len(self.zones))
        trial.entries, trial.shares = self.overlay.entries, self._left(but=place)
        for zone, share in place.shares(new.share, self._numbers(new.order)).items():
            trial.shares[zone] = max(trial.shares[zone], share)
        out = trial.wanted()
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[self.zones[entry.zone]]["left" if entry.server in out else "ready"] += 1
        return {"proposed": not ordered.dry, "stage": new, "servers": servers}

    def _check_alone(self, place: Place, share: float) -> None:
        """What one supervisor may let in by itself, while the store is away: no more at once than in a return."""
        if self.agent.holds():
            raise Refused(409, "the store answers: what is left is settled by all, ask for `return`")
        stands = max(self.shares[zone] for zone in place.zones)
        most = max(self.limits.trickle, 1.0 - stands)
        if not stands - most - SMALL <= share < stands:
            least = max(0.0, stands - most)
            raise Refused(409, f"{stands:.2f} of it is left here: say a share from {least:.2f} to below that")

    def view(self) -> list[dict]:
        """What `driftshed zone status` shows."""
        rows, fleet = [], self._fleet()
        for place in self.places:
            sight, stage = self.sight(place, fleet), self.stage(place)
            rows.append(
                {
                    "zone": place.name,
                    "share": max(self.shares[zone] for zone in place.zones),
                    "stage": stage,
                    "zones": [self.zones[zone] for zone in place.zones],
                    "verdict": sight.verdict.value,
                    "lasted": round(min(sight.lasted, 1e6), 1),
                    "bears": round(sight.bears, 3),
                    "strained": sight.strained,
                    "alone": place.topic in self.alone,
                    "met": {
                        f"{self.zones[here]}>{self.zones[there]}": met._asdict()
                        for (here, there), met in sorted(self.look.items())
                        if there in place.zones
                    },
                }
            )
        return rows


def read_stage(body: object, place: Place, zones: tuple[str, ...]) -> Stage:
    """A record's body as a stage of its place; BadStage says why it is none."""
    try:
        stage = msgspec.convert(body, Stage)
    except msgspec.ValidationError as error:
        raise BadStage(f"no stage: {error}") from None
    own = sorted(zones[zone] for zone in place.zones)
    if stage.zone != place.name or (sorted(stage.order) != own if len(own) > 1 else stage.order):
        raise BadStage(f"{stage.zone!r} of {', '.join(stage.order) or 'one zone'} is not what {place.name!r} is here")
    return stage
