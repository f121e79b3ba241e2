"""Hand-over of proxies at a graceful shutdown: the rate at which they are sent to the remaining supervisors. No I/O."""

from __future__ import annotations


def handover_interval(max_lines: int, lines_per_second: float, other_supervisors: int) -> float:
    """Seconds between the hand-over of two proxies. `max_lines`: table lines of the largest proxy; `other_supervisors`:
    how many remain, each with a channel of `lines_per_second`.

    Guards against all proxies joining at once: the last would wait without tables until those of all others were sent.
    With this interval each proxy finds a channel that has sent the tables of the one before."""
    return max(1, max_lines) / lines_per_second / max(1, other_supervisors)
