"""What the decisions module hears and orders: typed events, typed orders and the start facts.

Times are seconds with fractions on the one clock that the host hands over. A server is named by the six bytes
that the wire uses; they tell nothing. A value that was not given is None. The fields of the events and orders
stand in the order in which a record carries them, which is all that the codec needs to know of them.
"""

from __future__ import annotations

from typing import NamedTuple

Server = bytes


# ---- start facts --------------------------------------------------------------------------------------------


class Operation(NamedTuple):
    """One kind of invocation."""

    name: str
    latency_objective: float  # wanted within this
    integration_timeout: float  # the client gives up after this, all its tries together
    billed_value: float
    late_share: float  # share of the billed value that an answer past the latency objective still earns
    effect: str  # "idempotent", "fingerprinted" or "side-effecting"
    repeat_scope: str  # which servers drop a repeat: "all", "zone", "cell"
    repeat_window: float | None  # for how long they drop it, from the sending of the first try
    writes: bool
    stays_local: bool


class StartFacts(NamedTuple):
    """All that a deployment tells an instance at its start."""

    operations: tuple[Operation, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    own_zone: int
    own_number: int
    supervisors: int
    list_is_pushed: bool
    listed_weights: str  # what the weight of a listed server means: "off", "nominal", "rough", "live"
    load_fields: tuple[str, ...]
    load_reports_come: str  # "inline", "on_probe" or "off"
    may_probe: bool
    may_tell_peers: bool
    full_may_have_run: bool
    only_draining_binds: bool
    ask_within: float
    cold_share: float
    warm_within: float
    drain_grace: float
    tip_multiple: float
    tip_span: float
    level_form: str  # "share", "rate" or "off"
    queue_cap: float  # lines that may wait in the channel
    lines_per_second: float
    lines_per_message: float
    transit: float
    worst_transit: float
    message_cap: int  # messages to one proxy within message_span; 0: no cap
    message_span: float
    line_price: float
    bare_for: float
    proxies: int
    standing_lines: int
    pick: str  # "weighted", "round" or "two"
    try_objectives: float  # a try that may be followed waits this many latency objectives
    default_tries: int
    avoids_after: int
    report_period: float
    report_lines_per_second: float
    slices: int
    sole_owner: bool
    keeps_writing: float
    write_settles: float
    buffer_for: float
    move_price: float
    warm_keys: bool
    least_connections: float
    connect_timeout: float
    idle_close: float
    streams: int
    tick: float


# ---- events -------------------------------------------------------------------------------------------------


class Start(NamedTuple):
    seed: int
    facts: StartFacts


class Killed(NamedTuple):
    pass


class Entry(NamedTuple):
    """One server of a list."""

    server: Server
    zone: int
    kind: int
    started: float | None  # None: long ago
    cell: int
    state: int
    weight: float


DRAINING, GONE, READY = 0, 1, 2  # states of an entry
DELTA, FULL, CACHED, FAILED = 0, 1, 2, 3  # kinds of a list


class Listing(NamedTuple):
    version: int
    kind: int
    entries: tuple[Entry, ...]


class Joined(NamedTuple):
    zone: int
    fresh: bool  # holds only its standing table
    proxy: int
    rate: float


class Left(NamedTuple):
    proxy: int


class Heard(NamedTuple):
    """What the joined proxies of one zone met at one server."""

    errored: int
    server: Server
    tries: int
    window: float
    zone: int
    latency: float | None
    load: tuple[float, ...] | None


class Demand(NamedTuple):
    """Invocations of one operation that came to one proxy."""

    arrived: int
    proxy: int
    window: float
    errored: int
    operation: int


class SliceDemand(NamedTuple):
    table: int
    operation: int
    arrived: int
    errored: int
    window: float


class SliceGiven(NamedTuple):
    table: int
    mine: bool


class SliceLine(NamedTuple):
    table: int
    server: Server
    weight: float


class Applied(NamedTuple):
    mark: int
    proxy: int
    took: float


class Probed(NamedTuple):
    server: Server
    status: int
    took: float
    load: tuple[float, ...] | None


class PeerNote(NamedTuple):
    peer: int
    data: bytes


class TimerDue(NamedTuple):
    token: int


# ---- orders -------------------------------------------------------------------------------------------------

ALL_OPERATIONS = 0
EVERY_TABLE = 65535
NO_TRY, ONE_AFTER_PROOF, ONE_AFTER_ANY, TWO_AFTER_ANY = 0, 1, 2, 3  # when a proxy tries again


class SetTimer(NamedTuple):
    token: int
    at: float


class Probe(NamedTuple):
    server: Server


class TellPeer(NamedTuple):
    peer: int
    data: bytes


class Log(NamedTuple):
    text: str


class Fault(NamedTuple):
    text: str


class Subscribe(NamedTuple):
    on: bool


class FetchList(NamedTuple):
    pass


class SetLine(NamedTuple):
    server: Server
    weight: float
    table: int


class ClearTable(NamedTuple):
    table: int


class Withdraw(NamedTuple):
    on: bool
    server: Server


class UseTable(NamedTuple):
    operations: int  # sum of 2^k over their places; 0: all
    table: int
    proxy: int


class SetLevel(NamedTuple):
    table: int
    level: float
    operations: int
    tries: int


class Mark(NamedTuple):
    everyone: bool
    mark: int
