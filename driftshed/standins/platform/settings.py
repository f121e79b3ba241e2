"""The settings of the play's deployment, as a supervisor's configuration has them."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from driftshed.node.config import SupervisorOptions, parse

SECOND_US = 1_000_000
WORST_TRANSIT_RATIO = 2.5  # of the longest to the mean transit time of a message
LEAST_QUEUE_S, MOST_QUEUE_S = (
    1.5,
    5.0,
)  # of the channel's rate: the lines that may wait in it


class ChannelFigures(NamedTuple):
    """What the settings of a play say of the channels and of drains. Times are seconds."""

    lines_per_second: float = 1300.0
    transit: float = 0.306
    drain_grace: float = 3.0
    queue: float = LEAST_QUEUE_S  # of the channel's rate


USUAL_FIGURES = ChannelFigures()
CORNER_FIGURES = ChannelFigures(1100.0, 0.49, 2.0)  # where least can be sent within the grace


def draw_queue(random: Random) -> float:
    """How long the lines that may wait in a channel take to leave it."""
    return random.uniform(LEAST_QUEUE_S, MOST_QUEUE_S)


def draw_figures(random: Random) -> ChannelFigures:
    """Figures within the ranges of the site."""
    figures = ChannelFigures(random.uniform(1100.0, 1500.0), random.uniform(0.11, 0.49), random.uniform(2.0, 3.1))
    return figures._replace(queue=draw_queue(random))


def to_us(seconds: float) -> int:
    """Whole microseconds."""
    return round(SECOND_US * seconds)


def fleet_settings(number: int, supervisors: int, proxies: int, figures: ChannelFigures = USUAL_FIGURES) -> dict:
    """The settings of one supervisor: two zones, two kinds of servers, two operations."""
    operations = [
        {"name": "lookup", "sloUs": 600_000, "deadlineUs": 2 * SECOND_US, "worth": 1.0, "effect": "retryable"},
        {"name": "payment", "sloUs": 300_000, "deadlineUs": 750_000, "worth": 5.0, "effect": "dedup"},
    ]
    for operation in operations:
        operation |= {"dedupScope": "all", "lateWorth": 0.2, "windowUs": operation["deadlineUs"]}
    return {
        "az": number % 2,
        "me": number,
        "balancers": supervisors,
        "family": "control",
        "zones": ["east", "west"],
        "hostTypes": ["new", "old"],
        "registryMode": "pushed",
        "weightSource": "rough",
        "quantumUs": 2000,
        "lanes": operations,
        "report": {"fields": ["busy_reqs"], "how": "inline"},
        "domain": {
            "admit": "share",
            "bootstrap": 5,
            "classWrites": [False, True],
            "cycleUs": 500_000,
            "defaultRetry": 1,
            "emptyForUs": 4_700_000,
            "hearsPerS": 60.0,
            "linesPerS": figures.lines_per_second,
            "messagesOverUs": 10 * SECOND_US,
            "minConnCap": 157.0,
            "perMessage": 3.0,
            "perTry": 1.0,
            "pick": "two",
            "proxies": proxies,
            "pushesAllowed": 30,
            "queueCap": figures.queue * figures.lines_per_second,
            "slices": 0,
            "staysLocal": [False, False],
            "transitUs": to_us(figures.transit),
            "worstTransitUs": to_us(WORST_TRANSIT_RATIO * figures.transit),
        },
        "invariants": {
            "askWithinUs": 10 * SECOND_US,
            "coldFrom": 0.15,
            "drainGraceUs": to_us(figures.drain_grace),
            "fallUs": 2 * SECOND_US,
            "fullMayHaveRun": True,
            "tipMultiple": 4.0,
            "warmWithinUs": 16 * SECOND_US,
        },
        "limits": {"dialTimeoutUs": 250_000, "idleCloseUs": 15 * SECOND_US, "maxStreams": 32, "mayProbe": False},
    }


def fleet_configuration(
    number: int,
    supervisors: int,
    proxies: int,
    listen: str,
    discovery: str,
    relay: str,
    figures: ChannelFigures = USUAL_FIGURES,
) -> dict:
    """The configuration file of one supervisor, with addresses as "host:port" texts."""
    return {
        "name": f"n{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "distributor": {"address": relay},
        "settings": fleet_settings(number, supervisors, proxies, figures),
    }


def fleet_options(supervisors: int, proxies: int, figures: ChannelFigures = USUAL_FIGURES) -> SupervisorOptions:
    """The parsed configuration of a supervisor without addresses in use."""
    nowhere = ("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1")
    return parse(fleet_configuration(0, supervisors, proxies, *nowhere, figures), {})
