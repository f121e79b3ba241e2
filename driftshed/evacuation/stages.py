"""The stages of leaving a zone and returning to it: which one comes next, and the word on another's. Free of I/O.

What stands on a zone is one agreed record; each stage is a new one. All supervisors hold to the share that stands, so
what the fleet has left is that share and never more."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct

from driftshed.evacuation.evidence import Verdict
from driftshed.evacuation.places import reach

Share = Annotated[float, Meta(ge=0, le=1)]
SMALL = 1e-5
BY_HAND_MOST = 86400.0  # seconds


class BadStage(ValueError):
    """What does not follow on what stands."""


class Stage(Struct, frozen=True):
    """`share`: of the zone's servers that are left; `good`: the share at which the last step of a return was borne;
    `flaps`: returns that failed of late; `dead`: hardly anything succeeds there, so it is left at once; `by`: who
    orders it by hand, None where evidence does; `account`: why; `order`: of a region, its zones as they come back."""

    zone: str
    phase: Literal["leaving", "left", "returning", "back"]
    share: Share
    good: Share = 1.0
    flaps: Annotated[int, Meta(ge=0, le=1000)] = 0
    dead: bool = False
    by: Annotated[str, Meta(max_length=64)] | None = None
    account: Annotated[str, Meta(max_length=512)] = ""
    order: tuple[str, ...] = ()


STAGES = msgspec.json.Decoder(Stage)


class Limits(NamedTuple):
    """Of the operator. Seconds and shares: `lasting`: that a zone must be ill; `pace`: between stages at the least;
    `step`: of a zone's servers that leave at once; `trickle`: that a return begins with; `rest`: before a return,
    doubled with each that failed up to `rest_most`; `ceiling`: of all servers that may be left at a time; `full`: of
    invocations under way at a time on one listed weight of a warm server, above which it is full; 0: not known."""

    lasting: float = 4.0
    pace: float = 2.0
    step: float = 0.5
    trickle: float = 0.1
    rest: float = 10.0
    rest_most: float = 160.0
    ceiling: float = 0.5
    full: float = 0.0


class Sight(NamedTuple):
    """What one supervisor sees of a zone now."""

    verdict: Verdict
    lasted: float  # seconds
    fresh: bool  # whether somebody tried it of late
    dead: bool  # hardly a try succeeds there
    strained: bool  # some zone that takes over is ill, or slow
    overrun: bool  # most of what is tried in the zones that take over comes too late, or not at all
    bears: float  # share of the zone's servers that the rest can do without
    stood: float  # seconds since what stands on the zone was first seen
    others_left: bool  # another zone is left, in part or whole
    told: bool = True  # what those inside the zone see is known, or nobody has said it in time


def ceiling(servers: list[int], left: list[float], zones: tuple[int, ...], limits: Limits) -> float:
    """The share of a place that may be left, by counts of servers that are listed ready and the shares that are left of
    the zones; `zones`: those of the place, as they come back. Guards against a cascade: one zone after the other would
    leave nobody to serve."""
    spare = limits.ceiling * sum(servers) - sum(
        n * s for k, (n, s) in enumerate(zip(servers, left, strict=True)) if k not in zones
    )
    own = [servers[zone] for zone in zones]
    return max(0.0, reach(own, spare)) if any(own) else 0.0


def bearing(
    busy: list[float], capacity: list[float], left: list[float], zones: tuple[int, ...], limits: Limits
) -> float:
    """The share of a place whose work the rest can take on, by zone what is under way at a time and the weight of its
    servers as warm as they are; 1.0 where it is not known when a server is full."""
    own = [max(0.0, busy[zone]) for zone in zones]
    if not limits.full or not any(own):
        return 1.0
    spare = sum(
        max(0.0, limits.full * c * (1 - s) - b)
        for k, (b, c, s) in enumerate(zip(busy, capacity, left, strict=True))
        if k not in zones
    )
    return reach(own, spare)


def patience(dead: bool, limits: Limits) -> float:
    """Seconds that a zone must be ill: half of it where nothing succeeds any more, which is no matter of degree."""
    return limits.lasting / 2 if dead else limits.lasting


def next_stage(
    zone: str, stage: Stage | None, sight: Sight, limits: Limits, order: tuple[str, ...] = ()
) -> Stage | None:
    """The stage that is to follow now by one supervisor's sight, or None; `order`: of a region, in which its zones are
    to come back, if it is left."""
    most = sight.bears
    if stage is None or stage.phase == "back":
        flaps = stage.flaps if stage is not None and sight.stood < limits.rest_most else 0
        # Guards against leaving again and again what the rest could not bear.
        if flaps and not sight.dead and sight.stood < resting(flaps, limits):
            return None
        # Guards against leaving a second zone for what the first one's load does to it.
        if sight.verdict is not Verdict.ILL or sight.lasted < patience(sight.dead, limits):
            return None
        # And against leaving for zones that have no room: what is ill there still sheds what nobody could serve.
        if sight.overrun or (sight.strained and (sight.others_left or not sight.dead)):
            return None
        share = round(min(1.0 if sight.dead and not sight.strained else limits.step, most), 6)
        if share <= SMALL:
            return None
        why = f"ill for {sight.lasted:.1f} s; the rest bears {most:.2f} of it"
        return Stage(zone, "leaving", share, flaps=flaps, dead=sight.dead, account=why, order=order)
    if stage.by is not None or sight.stood < limits.pace:
        return None
    if stage.phase != "returning" and sight.overrun and not sight.dead:
        return given_back(stage, sight, limits)
    if stage.phase == "leaving":
        if sight.verdict is Verdict.WELL and sight.lasted >= limits.lasting:
            return msgspec.structs.replace(stage, phase="returning", good=stage.share, account="it is well again")
        if sight.strained or stage.share >= most - SMALL:
            why = "who takes over shows strain" if sight.strained else "as far as the rest bears"
            return msgspec.structs.replace(stage, phase="left", account=why)
        return msgspec.structs.replace(stage, share=round(min(most, stage.share + limits.step), 6), account="still ill")
    if stage.phase == "left":
        still = sight.fresh and sight.verdict is Verdict.ILL  # by the part that is not left
        if still or sight.stood < resting(stage.flaps, limits):
            return None
        share = round(max(0.0, stage.share - limits.trickle), 6)
        return msgspec.structs.replace(stage, phase="returning", share=share, good=stage.share, account="a trickle")
    if sight.verdict is Verdict.ILL and sight.fresh and sight.lasted >= limits.lasting / 2:
        if sight.overrun and not sight.dead:
            return None  # ill as it is, it carries what nobody else can
        return msgspec.structs.replace(
            stage, phase="left", share=stage.good, flaps=stage.flaps + 1, account="the last step was not borne"
        )
    # That the others show strain does not hold a return up: what comes back takes from them.
    if not borne(sight, limits):
        return None
    if stage.share <= SMALL:
        return msgspec.structs.replace(stage, phase="back", share=0.0, good=0.0, account="all of it is back")
    let_in = max(limits.trickle, 1.0 - stage.share)  # as much again as is in: what is in shows what it bears
    share = round(max(0.0, stage.share - let_in), 6)
    why = f"{1 - stage.share:.2f} of it was borne"
    return msgspec.structs.replace(stage, share=share, good=stage.share, account=why)


def resting(flaps: int, limits: Limits) -> float:
    """Seconds before the next try, after so many that failed."""
    return min(limits.rest_most, limits.rest * 2**flaps)


def given_back(stage: Stage, sight: Sight, limits: Limits) -> Stage | None:
    """What follows where the rest cannot bear what is left: a step of it carries again. Guards against a fleet that is
    worse off for having left: a zone that serves half of what it gets is better than others that serve nothing in
    time. What nobody tries may be dead still, so that it is let in as a probe, and waits where probes have failed."""
    share = round(max(0.0, stage.share - limits.step), 6)
    if sight.fresh and sight.verdict is Verdict.ILL:
        phase, flaps = ("left", stage.flaps) if share > SMALL else ("back", stage.flaps + 1)
        return msgspec.structs.replace(
            stage, phase=phase, share=share, good=share, dead=False, flaps=flaps, account="the rest cannot bear it"
        )
    if stage.flaps and sight.stood < resting(stage.flaps - 1, limits):
        return None
    return msgspec.structs.replace(
        stage, phase="returning", share=share, good=stage.share, account="the rest cannot bear it"
    )


def follows(old: Stage | None, new: Stage, limits: Limits) -> None:
    """Whether a stage may follow on what stands, whoever proposes it; BadStage says why not."""
    if new.by is not None:
        return  # by hand: bounded in time by its record
    if old is not None and old.phase != "back" and new.order != old.order:
        raise BadStage(f"{new.zone}: its zones come back as {', '.join(old.order)}, not {', '.join(new.order)}")
    if old is None or old.phase == "back":
        if new.phase != "leaving" or (new.share > limits.step + SMALL and not new.dead):
            raise BadStage(f"{new.zone}: leaving begins with a step of {limits.step:g} at the most")
        return
    if old.by is not None and new.phase != "returning":
        raise BadStage(f"{new.zone}: {old.by} holds it")
    if new.phase == "leaving" and not (old.phase == "leaving" and new.share <= old.share + limits.step + SMALL):
        raise BadStage(f"{new.zone}: {new.share:.2f} is no step from {old.phase} at {old.share:.2f}")
    if new.phase == "left" and new.share > (old.good if old.phase == "returning" else old.share) + SMALL:
        raise BadStage(f"{new.zone}: left at {new.share:.2f} after {old.phase} at {old.share:.2f}")
    let_in = old.share - new.share
    most = max(limits.trickle, limits.step, 1.0 - old.share)
    if let_in > most + SMALL:
        raise BadStage(f"{new.zone}: {let_in:.2f} of it at once, {most:.2f} at the most")
    if new.phase == "back" and new.share > SMALL:
        raise BadStage(f"{new.zone}: not all of it was let in")


def borne(sight: Sight, limits: Limits) -> bool:
    """Whether the last step of a return was borne, seen from here. Several have to have seen it; one whose proxies
    hardly try the zone yet waits as long as before a return."""
    return sight.verdict is Verdict.WELL or (not sight.fresh and sight.stood >= limits.rest)


def old_good(old: Stage | None) -> float:
    """The share that may be taken up again without asking what the rest bears: a return that was not borne."""
    return old.good if old is not None and old.phase == "returning" else 0.0


def word(old: Stage | None, new: Stage, sight: Sight, limits: Limits) -> tuple[bool, str] | None:
    """Assent, or an objection with its reason, by this supervisor's own evidence; None while it has no word."""
    try:
        follows(old, new, limits)
    except BadStage as error:
        return False, str(error)
    more = new.share > (old.share if old is not None else 0.0) + SMALL
    if more and new.phase != "returning" and new.share > sight.bears + SMALL and old_good(old) < new.share - SMALL:
        return False, f"the rest bears {sight.bears:.2f} of it"
    if new.by is not None:
        return True, ""
    if more and new.phase == "leaving":
        if sight.verdict is Verdict.UNKNOWN or not sight.told:
            return None
        if sight.verdict is not Verdict.ILL:
            return False, f"seen from here: {sight.verdict.value}"
        if new.dead and not sight.dead and new.share > limits.step + SMALL:
            return False, "seen from here it is ill, not dead: leave it in steps"
        return (True, "") if sight.lasted >= patience(new.dead, limits) / 2 else None
    if new.phase in ("returning", "back") and old is not None and old.phase == "returning":
        if sight.verdict is Verdict.ILL and sight.fresh:
            return False, "seen from here the last step is not borne"
        if not borne(sight, limits):
            return None
    return True, ""


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
