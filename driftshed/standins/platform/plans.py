"""What a seed draws of a play: loads, restarts, broken streams and crashes."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from driftshed.standins.platform.settings import (
    CORNER_FIGURES,
    USUAL_FIGURES,
    ChannelFigures,
    draw_figures,
    draw_queue,
)
from driftshed.standins.platform.troubles import Trouble, draw_troubles

FIRST_BREAK_AT_S = 3.0
RELOAD_AT_S = 24.5
NEWS_LAG_BEFORE_RELOAD_S = 1.5  # from when the old relay address tells late
KILLED_BEFORE_RELOAD_S = (0.3, 2.0)  # so that the proxies of the killed supervisor join others as these reload
CROWD_BEFORE_RELOAD_S = (0.7, 3.0)  # the same for streams that break


class Plan(NamedTuple):
    """What a seed draws of a play. Times are seconds since its start."""

    load: float  # requests' work over the capacity of all servers
    restart_interval: float
    crash_share: float  # of the restarts
    broken_per_second: float  # streams
    first_break: int  # streams of one supervisor that break at FIRST_BREAK_AT_S
    crowd_at: float
    crowd: int  # proxies of one supervisor that lose their streams then
    cut_off_at: float | None  # when all streams of one supervisor go silent
    silent_for: float  # until its proxies notice
    proxies_restarted: int  # proxies of all supervisors that crash at `crowd_at` and restart
    supervisor_restart_at: float | None
    supervisor_away: float  # seconds
    sick: int  # servers that err
    client_repeats: int
    list_period: float = 0.48  # between changes of the list
    slow: int = 0  # machines that go slow, and stay so while the server on them restarts
    slow_pace: float = 1.0  # of their usual speed
    slow_at: float = 0.0
    slow_for: float = 0.0
    news_lag: float = 0.0  # of the old relay address around a reload, with real processes
    report_delay: float = 0.0  # from the end of a report's period until the supervisor has it
    troubles: tuple[Trouble, ...] = ()
    figures: ChannelFigures = USUAL_FIGURES


def draw_plan(seed: int) -> Plan:
    """The plan of a seed."""
    random = Random(f"plan {seed}")
    return Plan(
        load=random.choice([random.uniform(0.52, 0.8), random.uniform(0.8, 1.2)]),
        restart_interval=random.choice([2.4, 3.5, 4.3, 4.8]),
        crash_share=random.choice([0.25, 0.25, 0.5]),
        broken_per_second=random.uniform(1.0, 4.0),
        first_break=random.choice([0, 20, 34]),
        crowd_at=random.uniform(6.0, 42.0),
        crowd=random.choice([0, 40, 70]),
        cut_off_at=random.choice([None, random.uniform(6.0, 30.0)]),
        silent_for=random.uniform(4.3, 14.0),
        proxies_restarted=random.choice([0, 0, 60, 160]),
        supervisor_restart_at=random.choice([None, random.uniform(8.0, 40.0)]),
        supervisor_away=random.uniform(1.0, 8.0),
        sick=random.choice([0, 0, 2, 3]),
        client_repeats=random.choice([0, 1]),
    )


def draw_dense_plan(seed: int) -> Plan:
    """The plan of a seed with restarts so dense that many parts of the table have no warm server for a while."""
    random = Random(f"dense plan {seed}")
    return draw_plan(seed)._replace(
        load=random.uniform(0.5, 0.7),
        restart_interval=random.choice([1.2, 1.6, 2.0]),
        crash_share=0.25,
        broken_per_second=random.uniform(2.0, 6.0),
        crowd=random.choice([40, 80]),
        cut_off_at=random.choice([None, random.uniform(6.0, 30.0)]),
        proxies_restarted=random.choice([0, 60]),
    )


def draw_slow_plan(seed: int) -> Plan:
    """The plan of a seed with machines that are slow for a while, and supervisors that are away for long."""
    random = Random(f"slow plan {seed}")
    return draw_plan(seed)._replace(
        load=random.uniform(0.52, 0.66),
        restart_interval=random.choice([2.1, 3.0, 4.1]),
        crash_share=0.25,
        first_break=34,
        list_period=random.choice([0.755, 1.03]),
        slow=random.randint(2, 6),
        slow_pace=1 / random.uniform(2.0, 10.0),
        slow_at=random.uniform(5.0, 30.0),
        slow_for=random.uniform(11.0, 35.0),
        report_delay=random.uniform(0.37, 1.5),
        cut_off_at=None,
        supervisor_restart_at=random.choice([None, random.uniform(6.0, 30.0)]),
        supervisor_away=random.uniform(6.7, 15.0),
        proxies_restarted=0,
        sick=random.choice([0, 0, 3]),
        news_lag=random.uniform(0.2, 1.0),
    )


def draw_troubled_plan(seed: int) -> Plan:
    """The plan of a seed at the usual rhythm of restarts, with some of the troubles in `troubles.py` and with other
    figures of the channels."""
    random = Random(f"troubled plan {seed}")
    return draw_plan(seed)._replace(
        load=random.uniform(0.52, 0.66),
        restart_interval=random.uniform(2.9, 4.1),
        crash_share=0.25,
        broken_per_second=random.uniform(1.0, 2.0),
        crowd=0,
        list_period=random.uniform(0.32, 1.1),
        cut_off_at=None,
        proxies_restarted=0,
        supervisor_restart_at=None,
        sick=0,
        client_repeats=random.choice([0, 1]),
        report_delay=random.uniform(0.37, 1.5),
        troubles=draw_troubles(random),
        figures=draw_figures(random),
    )


def draw_flood_plan(seed: int) -> Plan:
    """The plan of a seed at the corner of the site's settings or within its ranges, with a larger queue than the least,
    dense or usual restarts, slow machines, and many proxies that join as the supervisors reload."""
    random = Random(f"flood plan {seed}")
    killed_at = RELOAD_AT_S - random.uniform(*KILLED_BEFORE_RELOAD_S)
    return draw_plan(seed)._replace(
        load=random.uniform(0.52, 0.66),
        restart_interval=random.choice([1.2, 1.6, 2.0, 3.0, 4.1]),
        crash_share=0.25,
        broken_per_second=random.uniform(1.0, 6.0),
        first_break=34,
        crowd_at=RELOAD_AT_S - random.uniform(*CROWD_BEFORE_RELOAD_S),
        crowd=random.choice([40, 80]),
        cut_off_at=None,
        proxies_restarted=random.choice([0, 60]),
        supervisor_restart_at=random.choice([killed_at, random.uniform(8.0, 40.0)]),
        supervisor_away=random.uniform(6.7, 15.0),
        sick=0,
        list_period=random.uniform(0.32, 1.1),
        slow=random.choice([0, 3]),
        slow_pace=1 / random.uniform(2.0, 10.0),
        slow_at=random.uniform(5.0, 30.0),
        slow_for=random.uniform(11.0, 35.0),
        news_lag=random.uniform(0.2, 1.0),
        report_delay=random.uniform(0.37, 1.5),
        figures=random.choice([CORNER_FIGURES._replace(queue=draw_queue(random)), draw_figures(random)]),
    )


DRAWS = {
    "usual": draw_plan,
    "dense": draw_dense_plan,
    "slow": draw_slow_plan,
    "troubled": draw_troubled_plan,
    "flood": draw_flood_plan,
}
