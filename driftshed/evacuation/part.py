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
from driftshed.evacuation.evidence import Evidence, Lasting, Verdict, dead
from driftshed.evacuation.overlay import Overlay
from driftshed.evacuation.stages import (
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

TOPIC = "zone."
TOLD_WITHIN = 1.5  # seconds from a proposal until those who serve the proxies inside have said what they see
PATIENCE = 1.5  # of the pace: how long a proposal waits for words
STAGGER = 0.5  # of the pace: how much later each next supervisor proposes what the first one has not
STRAIN = 2.0  # times the usual latency in a zone that takes over
FIRST_WAIT = 2.0  # of the session's time-out: how long a start waits for what stands before it takes proxies
BY_HAND_MOST = 86400.0  # seconds


class Ordered(Struct, forbid_unknown_fields=True):
    """What an operator orders of a zone; `lasts`: seconds, after which evidence decides again."""

    zone: Annotated[str, Meta(max_length=64)]
    what: str  # leave, hold or return
    by: Annotated[str, Meta(min_length=1, max_length=64)]
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    lasts: Annotated[float, Meta(gt=0, le=BY_HAND_MOST)] = 3600.0
    dry: bool = False


class Evacuation:
    """Takes its place between an agent, a service and the instance's list when it is made; off without."""

    def __init__(
        self, loop: Timers, service: Service, agent: Agent, limits: Limits,
        log: Callable[..., object] = lambda event, **fields: None,
    ) -> None:  # fmt: skip
        self.loop, self.service, self.agent, self.limits, self.log = loop, service, agent, limits, log
        self.facts, self.zones = service.instance.facts, service.instance.facts.zones
        self.evidence, self.lasting = Evidence(self.facts), Lasting(len(self.zones))
        self.overlay, self.shares = Overlay(len(self.zones)), [0.0] * len(self.zones)
        self.look: dict = {}
        self.wanted: dict[str, tuple[Stage, float]] = {}  # by zone: what we would propose, since when
        self.open: set[str] = set()  # zones on which a proposal of ours is under way, or was of late
        self.stood: dict[int, tuple[int, float]] = {}  # by zone: the epoch that stands, and since when
        self.began = loop.clock()
        instance = service.instance
        instance.overlay = lambda listing: self.overlay.hear(listing, self.loop.clock())
        instance.on_met = self._met
        before, told = agent.judge, agent.on_record
        agent.judge = lambda record: self._word(record) if record.topic.startswith(TOPIC) else before(record)
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

    def stage(self, zone: str) -> Stage | None:
        """What stands on a zone, as it was last read."""
        return self._stage_of(self.agent.standing(TOPIC + zone))

    def _stage_of(self, standing: agreement.Standing | None) -> Stage | None:
        if standing is None:
            return None
        try:
            stage = msgspec.convert(standing.body, Stage)
        except msgspec.ValidationError as error:
            self.log("bad_stage", level="warning", why=str(error))
            return None
        if standing.binds_for is not None and self._over(standing):
            return msgspec.structs.replace(stage, by=None, phase="left", account=f"{stage.by}'s order is over")
        return stage

    def _warmth(self, entry: face.Entry, now: float) -> float:
        if entry.started is None or now >= entry.started + self.facts.warm_within:
            return 1.0
        cold = self.facts.cold_share
        return cold + (1 - cold) * max(0.0, now - entry.started) / self.facts.warm_within

    def _over(self, standing: agreement.Standing) -> bool:
        """Whether an order by hand has bound for its time, here by our own clock."""
        since = next((at for epoch, at in self.stood.values() if epoch == standing.epoch), self.loop.clock())
        return self.loop.clock() > since + standing.binds_for

    def _fleet(self) -> tuple[list[int], list[float], list[float]]:
        """By zone: servers that are listed ready, their weight as warm as they are, and the work that is usual."""
        now = self.loop.clock()
        servers, capacity = [0] * len(self.zones), [0.0] * len(self.zones)
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[entry.zone] += 1
                capacity[entry.zone] += self._warmth(entry, now) * (
                    entry.weight if self.facts.listed_weights != "off" else 1.0)  # fmt: skip
        # Each supervisor hears of its own proxies alone: the rest are taken to bring as much each.
        scale = self.facts.proxies / max(1, len(self.service.polls))
        busy = [scale * sum(held for (_, there), held in self.evidence.busy.items() if there == k)
                for k in range(len(self.zones))]  # fmt: skip
        return servers, capacity, busy

    def sight(self, zone: int, fleet: tuple[list[int], list[float], list[float]] | None = None) -> Sight:
        """What is seen of a zone now; `fleet`: what `_fleet` says, where more than one zone is looked at."""
        now, name = self.loop.clock(), self.zones[zone]
        servers, capacity, busy = fleet or self._fleet()
        takers = [met for (_, there), met in self.look.items() if there != zone and not self.shares[there]]
        strained = any(met.ill or met.slow >= STRAIN for met in takers)
        topic, standing = self.agent.topics.get(TOPIC + name), self.agent.standing(TOPIC + name)
        epoch = standing.epoch if standing is not None else 0
        if self.stood.get(zone, (-1, 0.0))[0] != epoch:  # proposals come and go meanwhile
            self.stood[zone] = epoch, now
        verdict, own = self.lasting.now[zone], (zone, zone) in self.look
        inside = self._said_inside(name)
        if verdict is Verdict.ILL and not own and "well" in inside:
            verdict = Verdict.CUT  # those inside it see it well, whom other supervisors serve
        opened = topic.opened if topic is not None and topic.record is not None else now
        return Sight(
            verdict, self.lasting.lasted(zone, verdict, now), self.lasting.fresh[zone],
            dead(zone, self.look), strained,
            min(ceiling(servers, self.shares, zone, self.limits),
                bearing(busy, capacity, self.shares, zone, self.limits)), now - self.stood[zone][1],
            any(share > 0 for other, share in enumerate(self.shares) if other != zone),
            own or "" not in inside or now - opened >= TOLD_WITHIN,
        )  # fmt: skip

    def _said_inside(self, zone: str) -> set[str]:
        """What the other living supervisors that serve a zone's own proxies say that these met there; "" of one that
        has not spoken."""
        members = (each.member for each in self.agent.roll.living().values())
        return {each.inside.get(zone, "") for each in members if each.zones.get(zone) and each.name != self.agent.name}

    def _say_inside(self) -> None:
        """Guards against leaving a zone that is well inside, where each supervisor serves the proxies of some zones
        alone. Said only while a zone is in question: at rest nothing is written."""
        asked = any(self.agent.is_open(TOPIC + zone) for zone in self.zones)
        inside = {}
        if asked or any(met.ill for met in self.look.values()):
            inside = {zone: "ill" if self.look[n, n].ill else "well" for n, zone in enumerate(self.zones)
                      if (n, n) in self.look}  # fmt: skip
        self.agent.say(inside=inside)

    def _turn(self) -> None:
        self.loop.after(self.facts.report_period, self._turn)
        now = self.loop.clock()
        self.look = self.evidence.look(now)
        self.lasting.take(now, self.look)
        self._apply()
        if not self.agent.holds():
            self.wanted.clear()
            return
        self._say_inside()
        self.agent.look()
        fleet = self._fleet()
        for number, zone in enumerate(self.zones):
            self._propose(zone, self.sight(number, fleet), now)

    def _apply(self) -> None:
        """Lays what stands over the list. While no lease holds, the last that was acted on goes on: the stage holds."""
        if not self.agent.holds() or not self.agent.records.whole:
            return
        shares = [0.0 if (stage := self.stage(zone)) is None else stage.share for zone in self.zones]
        if shares == self.shares:
            return
        self.log("zones", shares=dict(zip(self.zones, shares, strict=True)))
        self.shares = shares
        news = self.overlay.take(shares, self.service.instance.roster.version or 0, self.loop.clock())
        if news is not None:
            self.service.hear_overlaid(news)

    # ---- proposals and words ----------------------------------------------------------------------------------

    def _propose(self, zone: str, sight: Sight, now: float) -> None:
        following = next_stage(zone, self.stage(zone), sight, self.limits)
        if following is None or self.agent.is_open(TOPIC + zone):
            self.wanted.pop(zone, None)
            return
        known = self.wanted.get(zone)
        since = known[1] if known is not None and known[0].phase == following.phase else now
        self.wanted[zone] = following, since
        order = self.agent.roll.order()
        rank = order.index(self.agent.name) if self.agent.name in order else len(order)
        if zone in self.open or now < since + rank * STAGGER * self.limits.pace:
            return
        self._put(zone, following)

    def _put(self, zone: str, stage: Stage, binds_for: float | None = None) -> None:
        expected = self.agent.roll.expected

        def done(proposal) -> None:
            self.log("stage", zone=zone, phase=stage.phase, share=stage.share, state=proposal.state, why=proposal.why)
            # What was objected to is not asked again at once.
            self.loop.after(self.limits.pace, lambda: self.open.discard(zone))

        self.open.add(zone)
        self.agent.propose(
            TOPIC + zone, msgspec.to_builtins(stage), expected, len(expected) // 2 + 1, PATIENCE * self.limits.pace,
            done, binds_for,
        )  # fmt: skip

    def _word(self, record: agreement.Record) -> tuple[bool, str] | None:
        try:
            stage = msgspec.convert(record.body, Stage)
        except msgspec.ValidationError as error:
            return False, f"no stage: {error}"
        if stage.zone not in self.zones or record.topic != TOPIC + stage.zone:
            return False, f"zone {stage.zone!r} is not known here"
        return word(self._stage_of(record.standing), stage, self.sight(self.zones.index(stage.zone)), self.limits)

    # ---- by hand ----------------------------------------------------------------------------------------------

    def order(self, ordered: Ordered) -> dict:
        """An operator's order: proposes it, or says with `dry` what it would be. Refused where it cannot be."""
        if ordered.zone not in self.zones:
            raise Refused(400, f"zone {ordered.zone!r} is none of {', '.join(self.zones)}")
        zone, stage = ordered.zone, self.stage(ordered.zone)
        sight = self.sight(self.zones.index(zone))
        standing = stage if stage is not None else Stage(zone, "back", 0.0, 0.0)
        if ordered.what == "leave":
            if ordered.share > sight.bears + SMALL:
                raise Refused(409, f"the rest bears {sight.bears:.2f} of it: ask for no more, or raise the ceiling")
            new = Stage(zone, "left", ordered.share, ordered.share, by=ordered.by, account="by hand")
            lasts = ordered.lasts
        elif ordered.what == "hold":
            new = msgspec.structs.replace(standing, by=ordered.by, account="held by hand")
            lasts = ordered.lasts
        elif ordered.what == "return":
            if standing.share <= SMALL:
                raise Refused(409, f"nothing of {zone} is left")
            share = max(0.0, standing.share - self.limits.trickle)
            new = Stage(zone, "returning", share, standing.share, standing.flaps, account=f"ordered by {ordered.by}")
            lasts = None
        else:
            raise Refused(400, f"{ordered.what[:32]!r}: leave, hold or return is wanted")
        try:
            follows(stage, new, self.limits)
        except BadStage as error:
            raise Refused(409, str(error)) from None
        if not ordered.dry:
            if not self.agent.holds():
                raise Refused(503, "this supervisor has no lease; ask another, or wait for the store")
            self._put(zone, new, lasts)
        servers = {name: {"ready": 0, "left": 0} for name in self.zones}
        shares = [new.share if name == zone else share for name, share in zip(self.zones, self.shares, strict=True)]
        trial = Overlay(len(self.zones))
        trial.entries, trial.shares = self.overlay.entries, shares
        out = trial.wanted()
        for entry in self.overlay.entries.values():
            if entry.state == face.READY:
                servers[self.zones[entry.zone]]["left" if entry.server in out else "ready"] += 1
        return {"proposed": not ordered.dry, "stage": new, "servers": servers}

    def view(self) -> list[dict]:
        """What `driftshed zone status` shows."""
        rows, fleet = [], self._fleet()
        for number, zone in enumerate(self.zones):
            sight, stage = self.sight(number, fleet), self.stage(zone)
            rows.append({
                "zone": zone, "share": self.shares[number], "stage": stage, "verdict": sight.verdict.value,
                "lasted": round(min(sight.lasted, 1e6), 1), "bears": round(sight.bears, 3), "strained": sight.strained,
                "met": {self.zones[here]: met._asdict() for (here, there), met in sorted(self.look.items())
                        if there == number},
            })  # fmt: skip
        return rows


def read_limits(text: str) -> Limits:
    """Limits from "lasting=4,pace=2"; ValueError names what is wrong and what there is."""
    given = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = part.partition("=")
        if name not in Limits._fields:
            raise ValueError(f"{name!r} is none of {', '.join(Limits._fields)}")
        given[name] = float(value)
        if not 0 < given[name] <= (1.0 if name in ("step", "trickle", "ceiling") else BY_HAND_MOST):
            raise ValueError(f"{name}={value} is out of its range")
    return Limits(**given)
