"""Explicit-state search: all states that a model can reach, in breadth-first order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple


class SearchResult(NamedTuple):
    """`broken`: the property violated in the last state of `way`, the shortest path to it; empty where none is.
    `whole`: every reachable state was visited, none left out for the limit on states."""

    states: int
    steps: int
    depth: int
    whole: bool
    broken: str
    way: list[str]


def explore(
    start: Hashable,
    moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]],
    find_violation: Callable[[Hashable], str],
    max_states: int = 2_000_000,
) -> SearchResult:
    """Searches from `start` by `moves(state)`, which yields names and next states, until `find_violation(state)`
    returns a text or no new state comes up; at most `max_states` states are stored."""
    reached_by: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    queue, steps, depth, complete = deque([(start, 0)]), 0, 0, True

    def path(state: Hashable) -> list[str]:
        names = []
        while reached_by[state] is not None:
            state, name = reached_by[state]
            names.append(name)
        return names[::-1]

    while queue:
        state, depth = queue.popleft()
        violation = find_violation(state)
        if violation:
            return SearchResult(len(reached_by), steps, depth, False, violation, path(state))
        for name, following in moves(state):
            steps += 1
            if following in reached_by:
                continue
            if len(reached_by) >= max_states:
                complete = False
                continue
            reached_by[following] = state, name
            queue.append((following, depth + 1))
    return SearchResult(len(reached_by), steps, depth, complete, "", [])
