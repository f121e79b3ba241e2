"""A stop in peace: at what pace a supervisor hands its proxies to those that stay. Free of I/O."""

from __future__ import annotations


def apart(lines: int, lines_per_second: float, others: int) -> float:
    """Seconds between two proxies that are sent on. `lines`: of the largest that a proxy holds; `others`: how many
    supervisors stay, each with a channel of that pace.

    Guards against all of them joining at once: the last would wait behind the tables of all others without orders. So
    apart, each finds a channel that has sent what the one before was to get."""
    return max(1, lines) / lines_per_second / max(1, others)
