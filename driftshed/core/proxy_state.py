"""The state of one proxy, computed from the changes sent to it. Supervisor, proxies and judges compute it with the same
code."""

from __future__ import annotations

from collections.abc import Iterable

from driftshed import interface as face
from driftshed.core.messages import Change


def fold(held: dict[tuple, Change], changes: Iterable[Change], whole: bool = False) -> None:
    """Applies the changes of an answer to `held`, in place, then drops tables that no operation uses. `whole`: a full
    snapshot."""
    if whole:
        held.clear()
    if apply_changes(held, changes):
        tables = {change.table for key, change in held.items() if key[0] == "use"} | {face.EVERY_TABLE}
        for key in [key for key in held if key[0] in ("line", "level") and key[1] not in tables]:
            del held[key]


def apply_changes(held: dict[tuple, Change], changes: Iterable[Change]) -> bool:
    """Applies changes that may be only a part of one answer: tables that no operation uses are kept, since only the end
    of the answer decides which are used. Returns whether an operation was put on a table."""
    table_assigned = False
    for change in changes:
        if change.is_removal:
            held.pop(change.key, None)
        else:
            held[change.key] = change
            table_assigned |= change.key[0] == "use"
    return table_assigned


def lines_of(held: dict[tuple, Change], operation: int) -> dict[str, float]:
    """Returns the lines that an operation may pick now, server to weight, without withdrawn servers."""
    use = held.get(("use", operation))
    if use is None:
        return {}
    return {
        key[2]: change.weight
        for key, change in held.items()
        if key[0] == "line" and key[1] == use.table and ("out", key[2]) not in held
    }
