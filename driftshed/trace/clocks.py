"""Clocks of two halls, compared by messages that both saw. Pure arithmetic; times are seconds.

A message sent here at `s` and received there at `r` bounds the offset of that clock: no message arrives before it was
sent, so offset <= r - s. Messages the other way bound it from below. The offset is taken to be a line, since clocks
drift: the line that stays furthest from both bounds.
"""

from __future__ import annotations

from typing import NamedTuple

MOST_DRIFT = 1e-3  # seconds a second: what no clock of a machine in service does


class Offset(NamedTuple):
    """`at(t)`: what the other clock shows beyond the first when the first shows t. `bound`: it may be off by this much
    where messages were seen; `messages`: how many each way."""

    middle: float
    value: float
    drift: float
    bound: float
    messages: tuple[int, int]

    def at(self, time: float) -> float:
        return self.value + self.drift * (time - self.middle)


class Unknown(NamedTuple):
    """Why nothing can be said."""

    why: str


Point = tuple[float, float]


def _hull(points: list[Point], sign: float) -> list[Point]:
    """The lower hull (sign 1) or the upper one (sign -1), from left to right."""
    hull: list[Point] = []
    for x, y in sorted((x, sign * y) for x, y in points):
        if hull and hull[-1][0] == x:
            continue  # a higher one above the same place
        while len(hull) > 1:
            (ax, ay), (bx, by) = hull[-2:]
            if (by - ay) * (x - bx) < (y - by) * (bx - ax):
                break
            hull.pop()
        hull.append((x, y))
    return [(x, sign * y) for x, y in hull]


def _on(hull: list[Point], x: float) -> float:
    """The height of a hull at a place between its ends."""
    for (ax, ay), (bx, by) in zip(hull, hull[1:], strict=False):
        if ax <= x <= bx:
            return ay + (by - ay) * (x - ax) / (bx - ax)
    return hull[0][1] if x <= hull[0][0] else hull[-1][1]


def _slopes(hull: list[Point], x: float) -> tuple[float, float]:
    """The slopes to the left and to the right of a place; beyond an end any will do."""
    left, right = None, None
    for (ax, ay), (bx, by) in zip(hull, hull[1:], strict=False):
        slope = (by - ay) / (bx - ax)
        left = slope if ax < x <= bx else left
        right = slope if ax <= x < bx else right
    return left, right


def estimate(forth: list[tuple[float, float]], back: list[tuple[float, float]]) -> Offset | Unknown:
    """The offset of a second clock to a first. `forth`: (sent by the first clock, received by the second) of messages
    to the second hall; `back`: (sent by the second, received by the first) of those from it."""
    if not forth and not back:
        return Unknown("the traces share no message")
    if not forth or not back:
        return Unknown("messages were seen one way only, which bounds the clocks from one side alone")
    start = forth[0][0]
    above = [(sent - start, received - sent) for sent, received in forth]
    below = [(received - start, sent - received) for sent, received in back]
    high, low = _hull(above, 1.0), _hull(below, -1.0)
    begin, end = max(high[0][0], low[0][0]), min(high[-1][0], low[-1][0])
    if begin > end:  # seen at different times: one offset for all
        top, bottom = min(y for _, y in above), max(y for _, y in below)
        if top < bottom:
            return Unknown("no steady offset explains the messages: a clock was set while they were recorded")
        return Offset(start, (top + bottom) / 2, 0.0, (top - bottom) / 2, (len(forth), len(back)))
    places = sorted({x for x, _ in (*high, *low) if begin <= x <= end} | {begin, end})
    middle = min(places, key=lambda x: _on(high, x) - _on(low, x))
    if _on(high, middle) < _on(low, middle):
        return Unknown("no steady offset explains the messages: a clock was set while they were recorded")
    (hl, hr), (ll, lr) = _slopes(high, middle), _slopes(low, middle)
    # The line through the middle of the narrowest place keeps between both where its slope is neither under those
    # of the high hull to the left and the low one to the right, nor over the other two.
    least = max([slope for slope in (hl, lr) if slope is not None], default=-MOST_DRIFT)
    most = min([slope for slope in (hr, ll) if slope is not None], default=MOST_DRIFT)
    least, most = max(least, -MOST_DRIFT), min(most, MOST_DRIFT)
    if least > most + 1e-12:
        return Unknown(f"a drift of over {MOST_DRIFT:g} s a second would be needed: the clocks cannot be compared")
    drift = min(max(0.0, least), most) if least * most <= 0 else (least + most) / 2
    value = (_on(high, middle) + _on(low, middle)) / 2
    line = [(x, value + drift * (x - middle)) for x in places]
    gaps = [max(_on(high, x) - y, y - _on(low, x)) for x, y in line]
    return Offset(start + middle, value, drift, max(gaps), (len(forth), len(back)))
