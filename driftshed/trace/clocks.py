"""Compares the clocks of two halls by messages that both recorded. Pure arithmetic; times are in seconds.

A message sent here at `s` and received there at `r` bounds the offset of that clock: no message arrives before it was
sent, so offset <= r - s. Messages in the other direction bound it from below. Since clocks drift, the offset is
modelled as a line: the one that stays furthest from both bounds.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_DRIFT = 1e-3  # seconds per second; no clock of a machine in service drifts faster


class Offset(NamedTuple):
    """The estimated offset of the second clock from the first. `value`: the offset at the time `middle`; `drift`: its
    change in seconds per second; `bound`: the largest possible error at times that messages cover; `messages`: their
    number in each direction."""

    middle: float
    value: float
    drift: float
    bound: float
    messages: tuple[int, int]

    def at(self, time: float) -> float:
        """How far the second clock is ahead when the first shows `time`."""
        return self.value + self.drift * (time - self.middle)


class Unknown(NamedTuple):
    """No estimate is possible, and why."""

    why: str


Point = tuple[float, float]


def _hull(points: list[Point], sign: float) -> list[Point]:
    """The lower (sign 1) or upper (sign -1) convex hull of the points, from left to right."""
    hull: list[Point] = []
    for x, y in sorted((x, sign * y) for x, y in points):
        if hull and hull[-1][0] == x:
            continue  # a higher point at the same x
        while len(hull) > 1:
            (ax, ay), (bx, by) = hull[-2:]
            if (by - ay) * (x - bx) < (y - by) * (bx - ax):
                break
            hull.pop()
        hull.append((x, y))
    return [(x, sign * y) for x, y in hull]


def _height_at(hull: list[Point], x: float) -> float:
    """The height of a hull at x; beyond its ends, that of the nearest end."""
    for (ax, ay), (bx, by) in zip(hull, hull[1:], strict=False):
        if ax <= x <= bx:
            return ay + (by - ay) * (x - ax) / (bx - ax)
    return hull[0][1] if x <= hull[0][0] else hull[-1][1]


def _slopes_at(hull: list[Point], x: float) -> tuple[float, float]:
    """The slopes of a hull to the left and to the right of x; None on a side where the hull has no segment, which
    allows any slope."""
    left, right = None, None
    for (ax, ay), (bx, by) in zip(hull, hull[1:], strict=False):
        slope = (by - ay) / (bx - ax)
        left = slope if ax < x <= bx else left
        right = slope if ax <= x < bx else right
    return left, right


def estimate(forward: list[tuple[float, float]], backward: list[tuple[float, float]]) -> Offset | Unknown:
    """Estimates the offset of a second clock from a first. `forward`: (sent by the first clock, received by the second)
    of messages to the second hall; `backward`: (sent by the second, received by the first) of those from it."""
    if not forward and not backward:
        return Unknown("the traces share no message")
    if not forward or not backward:
        return Unknown("messages were recorded in one direction only, which bounds the offset from one side only")
    start = forward[0][0]
    upper_bounds = [(sent - start, received - sent) for sent, received in forward]
    lower_bounds = [(received - start, sent - received) for sent, received in backward]
    upper_hull, lower_hull = _hull(upper_bounds, 1.0), _hull(lower_bounds, -1.0)
    begin, end = max(upper_hull[0][0], lower_hull[0][0]), min(upper_hull[-1][0], lower_hull[-1][0])
    if begin > end:  # the directions do not overlap in time: assume a constant offset
        upper, lower = min(y for _, y in upper_bounds), max(y for _, y in lower_bounds)
        if upper < lower:
            return Unknown(
                "no constant offset or drift explains the messages: a clock was set while they were recorded"
            )
        return Offset(start, (upper + lower) / 2, 0.0, (upper - lower) / 2, (len(forward), len(backward)))
    candidates = sorted({x for x, _ in (*upper_hull, *lower_hull) if begin <= x <= end} | {begin, end})
    middle = min(candidates, key=lambda x: _height_at(upper_hull, x) - _height_at(lower_hull, x))
    if _height_at(upper_hull, middle) < _height_at(lower_hull, middle):
        return Unknown("no constant offset or drift explains the messages: a clock was set while they were recorded")
    (upper_left, upper_right), (lower_left, lower_right) = (
        _slopes_at(upper_hull, middle),
        _slopes_at(lower_hull, middle),
    )
    # The line passes through the middle of the narrowest gap. It stays between both hulls if its slope is at least that
    # of the upper hull to the left and of the lower hull to the right, and at most the other two.
    min_drift = max([slope for slope in (upper_left, lower_right) if slope is not None], default=-MAX_DRIFT)
    max_drift = min([slope for slope in (upper_right, lower_left) if slope is not None], default=MAX_DRIFT)
    min_drift, max_drift = max(min_drift, -MAX_DRIFT), min(max_drift, MAX_DRIFT)
    if min_drift > max_drift + 1e-12:
        return Unknown(
            f"a drift of more than {MAX_DRIFT:g} s per second would be needed: the clocks cannot be compared"
        )
    drift = min(max(0.0, min_drift), max_drift) if min_drift * max_drift <= 0 else (min_drift + max_drift) / 2
    value = (_height_at(upper_hull, middle) + _height_at(lower_hull, middle)) / 2
    line = [(x, value + drift * (x - middle)) for x in candidates]
    gaps = [max(_height_at(upper_hull, x) - y, y - _height_at(lower_hull, x)) for x, y in line]
    return Offset(start + middle, value, drift, max(gaps), (len(forward), len(backward)))
