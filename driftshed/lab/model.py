"""Explicit-state search: every state that a model can come to, by the shortest ways first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple


class Found(NamedTuple):
    """`broken`: what does not hold in the last state of `way`, the shortest that leads there; empty where all does.
    `whole`: every state was seen, none left out for want of room."""

    states: int
    steps: int
    depth: int
    whole: bool
    broken: str
    way: list[str]


def explore(
    start: Hashable,
    moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]],
    wrong: Callable[[Hashable], str],
    most: int = 2_000_000,
) -> Found:
    """Searches from `start` by `moves(state)`, which brings names and next states, until `wrong(state)` says something
    or nothing new comes up; at most `most` states are kept."""
    came: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    queue, steps, depth, whole = deque([(start, 0)]), 0, 0, True

    def way(state: Hashable) -> list[str]:
        names = []
        while came[state] is not None:
            state, name = came[state]
            names.append(name)
        return names[::-1]

    while queue:
        state, depth = queue.popleft()
        said = wrong(state)
        if said:
            return Found(len(came), steps, depth, False, said, way(state))
        for name, following in moves(state):
            steps += 1
            if following in came:
                continue
            if len(came) >= most:
                whole = False
                continue
            came[following] = state, name
            queue.append((following, depth + 1))
    return Found(len(came), steps, depth, whole, "", [])
