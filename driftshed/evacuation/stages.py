"""The stages of leaving a zone and returning to it: which one is next, and the vote on a proposed one. Free of I/O.

The committed stage of a zone is one agreement record; each stage is a new one. All supervisors apply the committed
share, so the fleet has left that share and never more. The texts of accounts and votes are recorded in traces and
compared when a trace is replayed."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct

from driftshed.evacuation.evidence import Verdict
from driftshed.evacuation.places import max_left_share

Share = Annotated[float, Meta(ge=0, le=1)]
TOLERANCE = 1e-5  # of shares
MAX_MANUAL_S = 86400.0  # longest validity of an order by hand


class BadStage(ValueError):
    """A stage is malformed or may not follow the committed one; the message names the reason."""


class Stage(Struct, frozen=True):
    """A stage of a zone or region, as agreement records store it.

    `share`: the share of its servers that is left. `good`: the share at which the last step of a return succeeded.
    `flaps`: recent returns that failed. `dead`: hardly any try succeeds there, so it is left at once. `by`: who ordered
    it by hand, None if it follows from evidence. `account`: the reason. `order`: of a region, its zones in the order of
    their return."""

    zone: str
    phase: Literal["leaving", "left", "returning", "back"]
    share: Share
    good: Share = 1.0
    flaps: Annotated[int, Meta(ge=0, le=1000)] = 0
    dead: bool = False
    by: Annotated[str, Meta(max_length=64)] | None = None
    account: Annotated[str, Meta(max_length=512)] = ""
    order: tuple[str, ...] = ()


STAGE_DECODER = msgspec.json.Decoder(Stage)


class Limits(NamedTuple):
    """Limits that the operator sets.

    `lasting`: seconds for which a zone must be unhealthy. `pace`: least seconds between stages. `step`: share of a
    zone's servers that is left at once. `trickle`: share with which a return begins. `rest`: seconds before a return,
    doubled with each one that failed, up to `rest_most`. `ceiling`: share of all servers that may be left at a time.
    `full`: invocations under way at a time, per listed weight of a warm server, above which it is full; 0: unknown."""

    lasting: float = 4.0
    pace: float = 2.0
    step: float = 0.5
    trickle: float = 0.1
    rest: float = 10.0
    rest_most: float = 160.0
    ceiling: float = 0.5
    full: float = 0.0


class Observation(NamedTuple):
    """What one supervisor observes of a zone or region now. Traces store the fields by position."""

    verdict: Verdict
    duration_s: float  # for which the verdict has been the same
    recently_tried: bool  # there were recent tries
    dead: bool  # hardly any try succeeds there
    strained: bool  # some zone that takes over its work is unhealthy or slow
    overloaded: bool  # in the zones that take over its work, most tries are late or errored
    max_share: float  # share of its servers that may be left: the other zones can do without them
    stage_age_s: float  # since the committed stage was first read here
    other_places_left: bool  # another zone is left, at least in part
    inside_known: bool = True  # the reports of those who serve the proxies inside are there, or did not come in time


def ceiling_share(servers: list[int], left: list[float], zones: tuple[int, ...], limits: Limits) -> float:
    """Returns the share of a place that may be left under the limit `ceiling`.

    `servers`: by zone, the servers that are listed ready. `left`: by zone, the share that is left. `zones`: those of
    the place, in the order of their return. Guards against a cascade in which one zone after the other is left, until
    no server remains."""
    spare = limits.ceiling * sum(servers) - sum(
        n * s for k, (n, s) in enumerate(zip(servers, left, strict=True)) if k not in zones
    )
    own = [servers[zone] for zone in zones]
    return max(0.0, max_left_share(own, spare)) if any(own) else 0.0


def capacity_share(
    busy: list[float], capacity: list[float], left: list[float], zones: tuple[int, ...], limits: Limits
) -> float:
    """Returns the share of a place whose work the other zones can take over; 1.0 without the limit `full`.

    `busy`: by zone, the invocations under way at a time. `capacity`: by zone, the weight of its servers, reduced for
    cold ones."""
    own = [max(0.0, busy[zone]) for zone in zones]
    if not limits.full or not any(own):
        return 1.0
    spare = sum(
        max(0.0, limits.full * c * (1 - s) - b)
        for k, (b, c, s) in enumerate(zip(busy, capacity, left, strict=True))
        if k not in zones
    )
    return max_left_share(own, spare)


def required_duration_s(dead: bool, limits: Limits) -> float:
    """Returns the seconds for which a zone must be unhealthy: half of `lasting` if it is dead, which is unambiguous."""
    return limits.lasting / 2 if dead else limits.lasting


def next_stage(
    zone: str, stage: Stage | None, observation: Observation, limits: Limits, order: tuple[str, ...] = ()
) -> Stage | None:
    """Returns the stage that is to follow now by one supervisor's observation, None if the present one stays.

    `order`: of a region, the order in which its zones are to return."""
    max_share = observation.max_share
    if stage is None or stage.phase == "back":
        flaps = stage.flaps if stage is not None and observation.stage_age_s < limits.rest_most else 0
        # Guards against leaving again and again a zone whose work the others could not take over.
        if flaps and not observation.dead and observation.stage_age_s < return_delay_s(flaps, limits):
            return None
        # Guards against leaving a second zone that is unhealthy only under the load of the first.
        if observation.verdict is not Verdict.UNHEALTHY or observation.duration_s < required_duration_s(
            observation.dead, limits
        ):
            return None
        # Guards against moving work to zones without spare capacity: the unhealthy zone sheds what none could serve.
        if observation.overloaded or (observation.strained and (observation.other_places_left or not observation.dead)):
            return None
        share = round(min(1.0 if observation.dead and not observation.strained else limits.step, max_share), 6)
        if share <= TOLERANCE:
            return None
        account = f"ill for {observation.duration_s:.1f} s; the rest bears {max_share:.2f} of it"
        return Stage(zone, "leaving", share, flaps=flaps, dead=observation.dead, account=account, order=order)
    if stage.by is not None or observation.stage_age_s < limits.pace:
        return None
    if stage.phase != "returning" and observation.overloaded and not observation.dead:
        return partial_return(stage, observation, limits)
    if stage.phase == "leaving":
        if observation.verdict is Verdict.HEALTHY and observation.duration_s >= limits.lasting:
            return msgspec.structs.replace(stage, phase="returning", good=stage.share, account="it is well again")
        if observation.strained or stage.share >= max_share - TOLERANCE:
            account = "who takes over shows strain" if observation.strained else "as far as the rest bears"
            return msgspec.structs.replace(stage, phase="left", account=account)
        return msgspec.structs.replace(
            stage, share=round(min(max_share, stage.share + limits.step), 6), account="still ill"
        )
    if stage.phase == "left":
        # As observed in the part that is not left.
        still_unhealthy = observation.recently_tried and observation.verdict is Verdict.UNHEALTHY
        if still_unhealthy or observation.stage_age_s < return_delay_s(stage.flaps, limits):
            return None
        share = round(max(0.0, stage.share - limits.trickle), 6)
        return msgspec.structs.replace(stage, phase="returning", share=share, good=stage.share, account="a trickle")
    if (
        observation.verdict is Verdict.UNHEALTHY
        and observation.recently_tried
        and observation.duration_s >= limits.lasting / 2
    ):
        if observation.overloaded and not observation.dead:
            return None  # though unhealthy, it serves work that no other zone can take over
        return msgspec.structs.replace(
            stage, phase="left", share=stage.good, flaps=stage.flaps + 1, account="the last step was not borne"
        )
    # Strain in the other zones does not delay a return, which relieves them.
    if not step_succeeded(observation, limits):
        return None
    if stage.share <= TOLERANCE:
        return msgspec.structs.replace(stage, phase="back", share=0.0, good=0.0, account="all of it is back")
    # At the most as much again as is in use: that part has shown what the zone can serve.
    admitted = max(limits.trickle, 1.0 - stage.share)
    share = round(max(0.0, stage.share - admitted), 6)
    account = f"{1 - stage.share:.2f} of it was borne"
    return msgspec.structs.replace(stage, share=share, good=stage.share, account=account)


def return_delay_s(flaps: int, limits: Limits) -> float:
    """Returns the seconds before the next return, after `flaps` that failed."""
    return min(limits.rest_most, limits.rest * 2**flaps)


def partial_return(stage: Stage, observation: Observation, limits: Limits) -> Stage | None:
    """Returns the next stage where the other zones are overloaded: one step of the zone is used again.

    Guards against a fleet that is worse off for having left: a zone that serves half of its work is better than others
    that serve nothing in time. A zone without recent tries may still be dead, so the step is a probe, and None is
    returned for a while after probes that failed."""
    share = round(max(0.0, stage.share - limits.step), 6)
    if observation.recently_tried and observation.verdict is Verdict.UNHEALTHY:
        phase, flaps = ("left", stage.flaps) if share > TOLERANCE else ("back", stage.flaps + 1)
        return msgspec.structs.replace(
            stage, phase=phase, share=share, good=share, dead=False, flaps=flaps, account="the rest cannot bear it"
        )
    if stage.flaps and observation.stage_age_s < return_delay_s(stage.flaps - 1, limits):
        return None
    return msgspec.structs.replace(
        stage, phase="returning", share=share, good=stage.share, account="the rest cannot bear it"
    )


def check_succession(old: Stage | None, new: Stage, limits: Limits) -> None:
    """Raises BadStage if a stage may not follow the committed one, whoever proposes it."""
    if new.by is not None:
        return  # by hand: its record limits the time
    if old is not None and old.phase != "back" and new.order != old.order:
        raise BadStage(f"{new.zone}: its zones come back as {', '.join(old.order)}, not {', '.join(new.order)}")
    if old is None or old.phase == "back":
        if new.phase != "leaving" or (new.share > limits.step + TOLERANCE and not new.dead):
            raise BadStage(f"{new.zone}: leaving begins with a step of {limits.step:g} at the most")
        return
    if old.by is not None and new.phase != "returning":
        raise BadStage(f"{new.zone}: {old.by} holds it")
    if new.phase == "leaving" and not (old.phase == "leaving" and new.share <= old.share + limits.step + TOLERANCE):
        raise BadStage(f"{new.zone}: {new.share:.2f} is no step from {old.phase} at {old.share:.2f}")
    if new.phase == "left" and new.share > (old.good if old.phase == "returning" else old.share) + TOLERANCE:
        raise BadStage(f"{new.zone}: left at {new.share:.2f} after {old.phase} at {old.share:.2f}")
    admitted = old.share - new.share
    max_admitted = max(limits.trickle, limits.step, 1.0 - old.share)
    if admitted > max_admitted + TOLERANCE:
        raise BadStage(f"{new.zone}: {admitted:.2f} of it at once, {max_admitted:.2f} at the most")
    if new.phase == "back" and new.share > TOLERANCE:
        raise BadStage(f"{new.zone}: not all of it was let in")


def step_succeeded(observation: Observation, limits: Limits) -> bool:
    """Whether the last step of a return succeeded, by this supervisor's observation.

    Several supervisors have to observe it; one whose proxies hardly try the zone yet waits for `rest` seconds, as
    before a return."""
    return observation.verdict is Verdict.HEALTHY or (
        not observation.recently_tried and observation.stage_age_s >= limits.rest
    )


def previous_good_share(old: Stage | None) -> float:
    """Returns the share that may be left again whatever the other zones can take over, after a return that failed."""
    return old.good if old is not None and old.phase == "returning" else 0.0


def decide_vote(old: Stage | None, new: Stage, observation: Observation, limits: Limits) -> tuple[bool, str] | None:
    """Returns assent, or an objection with its reason, by this supervisor's own evidence; None while it cannot vote."""
    try:
        check_succession(old, new, limits)
    except BadStage as error:
        return False, str(error)
    more = new.share > (old.share if old is not None else 0.0) + TOLERANCE
    if (
        more
        and new.phase != "returning"
        and new.share > observation.max_share + TOLERANCE
        and previous_good_share(old) < new.share - TOLERANCE
    ):
        return False, f"the rest bears {observation.max_share:.2f} of it"
    if new.by is not None:
        return True, ""
    if more and new.phase == "leaving":
        if observation.verdict is Verdict.UNKNOWN or not observation.inside_known:
            return None
        if observation.verdict is not Verdict.UNHEALTHY:
            return False, f"seen from here: {observation.verdict.value}"
        if new.dead and not observation.dead and new.share > limits.step + TOLERANCE:
            return False, "seen from here it is ill, not dead: leave it in steps"
        return (True, "") if observation.duration_s >= required_duration_s(new.dead, limits) / 2 else None
    if new.phase in ("returning", "back") and old is not None and old.phase == "returning":
        if observation.verdict is Verdict.UNHEALTHY and observation.recently_tried:
            return False, "seen from here the last step is not borne"
        if not step_succeeded(observation, limits):
            return None
    return True, ""


def read_limits(text: str) -> Limits:
    """Reads limits from "lasting=4,pace=2"; raises ValueError for unknown names and values out of range."""
    values = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = part.partition("=")
        if name not in Limits._fields:
            raise ValueError(f"{name!r} is none of {', '.join(Limits._fields)}")
        values[name] = float(value)
        if not 0 < values[name] <= (1.0 if name in ("step", "trickle", "ceiling") else MAX_MANUAL_S):
            raise ValueError(f"{name}={value} is out of its range")
    return Limits(**values)
