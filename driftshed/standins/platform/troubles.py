"""The troubles that a play can have besides its plan's restarts and broken streams, and what a seed draws of them."""

from __future__ import annotations

from random import Random
from typing import NamedTuple


class TroubleKind(NamedTuple):
    """What a seed may draw. `size` is explained by the handler of the kind; times are seconds.

    `virtual`, `real`: whether it is played in virtual time, and with real processes."""

    name: str
    lasts: tuple[float, float]
    size: tuple[float, float]
    part: tuple[float, float] = (0.0, 0.0)  # share of the servers or proxies concerned
    virtual: bool = True
    real: bool = True


class Trouble(NamedTuple):
    """One trouble of a play. Times are seconds since its start."""

    kind: str
    at: float
    lasts: float
    size: float
    part: float


SERVER_KINDS = (
    TroubleKind("slow machines", (11.0, 35.0), (2.0, 10.0), (0.076, 0.22)),  # times slower
    TroubleKind("hanging servers", (11.0, 25.0), (0.0, 0.0), (0.051, 0.2)),
    TroubleKind("failing servers", (13.0, 29.0), (0.35, 0.97), (0.08, 0.19)),  # share of the tries that fails
    TroubleKind("noisy neighbours", (15.0, 40.0), (0.3, 0.75), (0.1, 0.5)),  # share of the machine that they take
    TroubleKind("slow dependency", (5.4, 11.0), (1.2, 1.7)),  # times slower, all servers
    TroubleKind("crashed servers", (5.0, 25.0), (0.0, 0.0), (0.05, 0.25)),
    TroubleKind("replaced servers", (7.0, 39.0), (3.6, 5.1), (0.45, 0.6)),  # seconds that an old server drains
    TroubleKind("smaller fleet", (8.0, 25.0), (2.0, 6.0), (0.23, 0.5)),  # seconds that a server drains
    TroubleKind("lost zone", (5.0, 5.0), (0.0, 0.0)),
    TroubleKind("partitioned zone", (6.0, 6.0), (0.0, 0.0)),
    TroubleKind("silent servers", (6.0, 6.0), (0.0, 0.0), (0.2, 0.2)),
)
CLIENT_KINDS = (
    TroubleKind("burst", (6.0, 15.0), (1.5, 1.5)),  # times as many requests
    TroubleKind("shifted traffic", (8.8, 23.0), (1.3, 2.0)),  # times as many from one zone
    TroubleKind("impatient clients", (8.0, 20.0), (0.4, 0.8)),  # of the time that they usually wait
)
PROXY_KINDS = (
    TroubleKind("proxies without a supervisor", (6.7, 15.0), (0.0, 0.0), (0.25, 0.67)),
    TroubleKind("restarted proxies", (1.0, 1.0), (0.0, 0.0), (0.4, 0.7)),
)
SUPERVISOR_KINDS = (
    TroubleKind("killed supervisors", (3.0, 15.0), (2.0, 2.0)),  # how many at once
    TroubleKind("restarted supervisors", (0.5, 2.0), (0.0, 0.0)),  # in turn, each away for so long
    TroubleKind("stalled supervisors", (10.0, 30.0), (0.2, 1.0)),  # seconds that one stands still
    TroubleKind("repeated reloads", (0.1, 3.0), (2.0, 3.0), virtual=False),  # how many
)
NETWORK_KINDS = (
    TroubleKind("broken calls", (5.0, 15.0), (0.05, 0.3)),  # share of the calls
    TroubleKind("silent calls", (5.0, 15.0), (0.05, 0.2)),
    TroubleKind("unreadable answers", (5.0, 15.0), (0.05, 0.2)),
    TroubleKind("throttled calls", (2.0, 8.0), (0.1, 0.5)),
    TroubleKind("broken news", (5.0, 20.0), (0.5, 4.0), virtual=False),  # seconds between breaks
    TroubleKind("silent news", (2.0, 6.0), (0.0, 0.0), virtual=False),  # of one connection
    TroubleKind("late news", (10.0, 50.0), (0.2, 0.6)),  # seconds
    TroubleKind("silent lists", (3.0, 6.0), (0.0, 0.0)),
    TroubleKind("broken watches of the list", (5.0, 20.0), (0.5, 4.0), virtual=False),  # seconds between breaks
    TroubleKind("late lists", (10.0, 30.0), (2.0, 5.5)),  # seconds
    TroubleKind("slow channels", (5.0, 20.0), (2.0, 5.0)),  # times slower
    TroubleKind("late reports", (20.0, 50.0), (0.37, 1.5)),  # seconds
    TroubleKind("lost reports", (10.0, 30.0), (0.4, 1.0)),  # share of one zone's
    TroubleKind("spoilt reports", (5.0, 20.0), (0.05, 0.3), virtual=False),  # share of the reports
    TroubleKind("bad clients", (5.0, 20.0), (2.0, 20.0), virtual=False),  # a second
)
KINDS = (*SERVER_KINDS, *CLIENT_KINDS, *PROXY_KINDS, *SUPERVISOR_KINDS, *NETWORK_KINDS)
EARLIEST_AT_S, LATEST_AT_S = 5.0, 40.0


def draw_trouble(kind: TroubleKind, random: Random) -> Trouble:
    """A trouble of a kind, within the ranges of the kind."""
    at = random.uniform(EARLIEST_AT_S, LATEST_AT_S)
    return Trouble(kind.name, at, random.uniform(*kind.lasts), random.uniform(*kind.size), random.uniform(*kind.part))


def draw_troubles(random: Random) -> tuple[Trouble, ...]:
    """One or two troubles of servers or clients, up to one of proxies or supervisors, and one or two of the network."""
    inner = random.sample([*SERVER_KINDS, *CLIENT_KINDS], random.randint(1, 2))
    middle = random.sample([*PROXY_KINDS, *SUPERVISOR_KINDS], random.randint(0, 1))
    outer = random.sample(NETWORK_KINDS, random.randint(1, 2))
    return tuple(draw_trouble(kind, random) for kind in (*inner, *middle, *outer))
