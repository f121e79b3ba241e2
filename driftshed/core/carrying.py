"""An instance of the module under other start facts, with all that it has learnt. Free of I/O.

The module derives figures from its start facts when it begins, and learns the rest. Two that begin under the old facts
and the new show which of its figures follow from what changed; these are taken from the new, all others are kept."""

from __future__ import annotations

from collections.abc import Callable

from driftshed import interface as face
from driftshed.brain import Brain


class CannotCarry(ValueError):
    """The facts differ in what an instance is built on; the text says in which."""


# What may differ: figures that no list of the module is as long as.
FREE = {
    "cold_share",
    "warm_within",
    "drain_grace",
    "tip_multiple",
    "tip_span",
    "queue_cap",
    "lines_per_second",
    "lines_per_message",
    "transit",
    "worst_transit",
    "message_cap",
    "message_span",
    "bare_for",
    "proxies",
    "report_lines_per_second",
    "least_connections",
}


def check_carry(old: face.StartFacts, new: face.StartFacts) -> None:
    """CannotCarry where an instance cannot go from one to the other. Of operations all but names and places may
    change."""
    for name in face.StartFacts._fields:
        before, after = getattr(old, name), getattr(new, name)
        if name == "operations":
            before, after = [each.name for each in before], [each.name for each in after]
        if before != after and name not in FREE:
            raise CannotCarry(f"{name.replace('_', ' ')}: {before!r} here, {after!r} there; it holds from a start")


def carried(
    brain: Brain,
    old: face.StartFacts,
    new: face.StartFacts,
    make: Callable[[face.StartFacts, int, float], Brain] = Brain,
) -> Brain:
    """The instance as it goes on under the new facts; `brain` itself stays as it is, but shares what it learnt."""
    check_carry(old, new)
    was, will = make(old, 0, 0.0), make(new, 0, 0.0)
    for name in vars(brain):
        held, before = getattr(brain, name), getattr(was, name, None)
        follows = before != getattr(will, name, None) and _plain(before)
        # What has moved since the start is learnt, and what was learnt stays.
        if not follows or held != before:
            setattr(will, name, held)
    return will


def _plain(value: object) -> bool:
    """Whether two of them that are equal are the same figure: numbers, and lists of them."""
    if isinstance(value, list | tuple):
        return all(map(_plain, value))
    return value is None or isinstance(value, bool | int | float | str)
