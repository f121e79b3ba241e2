"""State migration between module instances: an instance of the module under other start facts, with all that it has
learnt. Free of I/O.

The module derives values from its start facts when it begins, and learns the rest. Two fresh instances, under the old
facts and the new, show which values follow from the facts that changed. These are taken from the new instance; all
others are kept."""

from __future__ import annotations

from collections.abc import Callable

from driftshed import interface as face
from driftshed.brain import Brain


class CannotMigrate(ValueError):
    """The facts differ in what an instance is built on; the text names the fact."""


# Facts that may differ: no list of the module has a length that depends on them.
CHANGEABLE_FACTS = {
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


def check_migration(old: face.StartFacts, new: face.StartFacts) -> None:
    """Raises CannotMigrate if an instance cannot move from the old facts to the new. Of an operation all but its name
    and place may change."""
    for name in face.StartFacts._fields:
        before, after = getattr(old, name), getattr(new, name)
        if name == "operations":
            before, after = [each.name for each in before], [each.name for each in after]
        if before != after and name not in CHANGEABLE_FACTS:
            raise CannotMigrate(f"{name.replace('_', ' ')}: {before!r} here, {after!r} there; it holds from a start")


def migrate(
    brain: Brain,
    old: face.StartFacts,
    new: face.StartFacts,
    make: Callable[[face.StartFacts, int, float], Brain] = Brain,
) -> Brain:
    """Returns the instance that goes on under the new facts. `brain` stays unchanged, but both share what it learnt."""
    check_migration(old, new)
    old_start, migrated = make(old, 0, 0.0), make(new, 0, 0.0)
    for name in vars(brain):
        present, initial = getattr(brain, name), getattr(old_start, name, None)
        derived = initial != getattr(migrated, name, None) and _is_plain(initial)
        # A value that has changed since the start was learnt, and learnt values stay.
        if not derived or present != initial:
            setattr(migrated, name, present)
    return migrated


def _is_plain(value: object) -> bool:
    """Whether equal values are interchangeable: true of numbers, strings and None, and of lists and tuples of them."""
    if isinstance(value, list | tuple):
        return all(map(_is_plain, value))
    return value is None or isinstance(value, bool | int | float | str)
