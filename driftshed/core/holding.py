"""What one proxy holds, folded from the changes it was sent. Supervisor, proxies and judges fold alike."""

from __future__ import annotations

from collections.abc import Iterable

from driftshed import interface as face
from driftshed.core.messages import Change


def fold(held: dict[tuple, Change], changes: Iterable[Change], whole: bool = False) -> None:
    """Applies changes to what is held, in place; then drops tables that no operation uses."""
    if whole:
        held.clear()
    if put(held, changes):
        tables = {change.table for key, change in held.items() if key[0] == "use"} | {face.EVERY_TABLE}
        for key in [key for key in held if key[0] in ("line", "level") and key[1] not in tables]:
            del held[key]


def put(held: dict[tuple, Change], changes: Iterable[Change]) -> bool:
    """Applies changes as far as they are part of one answer: what is used at its end is told by its end alone.
    Whether an operation was put on a table."""
    used = False
    for change in changes:
        if change.ends:
            held.pop(change.key, None)
        else:
            held[change.key] = change
            used |= change.key[0] == "use"
    return used


def lines_of(held: dict[tuple, Change], operation: int) -> dict[str, float]:
    """The lines that an operation may pick now: server to weight, those that are out left off."""
    use = held.get(("use", operation))
    if use is None:
        return {}
    return {
        key[2]: change.weight
        for key, change in held.items()
        if key[0] == "line" and key[1] == use.table and ("out", key[2]) not in held
    }
