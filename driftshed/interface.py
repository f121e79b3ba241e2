"""Types at the border of the decision module: start facts, events (input) and orders (output).

Times are seconds with fractions on the single clock that the host passes in. A server is identified by the bytes that
the wire uses (six in the binary form), which carry no meaning here. A value that was not given is None. The fields of
events and orders are declared in the order in which a record encodes them; the codecs rely on that order and on nothing
else.
"""

from __future__ import annotations

from typing import NamedTuple

Server = bytes  # opaque identifier


# ---- start facts ----


class Operation(NamedTuple):
    """One kind of invocation."""

    name: str
    latency_objective: float  # seconds
    integration_timeout: float  # seconds after which the client gives up, over all tries together
    billed_value: float
    late_share: float  # share of the billed value that an answer past the latency objective still earns
    effect: str  # "idempotent", "fingerprinted" or "side-effecting"
    repeat_scope: str  # which servers discard a repeat: "all", "zone", "cell"
    repeat_window: float | None  # seconds for which they discard it, from when the first try is sent
    writes: bool
    stays_local: bool


class StartFacts(NamedTuple):
    """The configuration that a deployment gives an instance at its start.

    Field names and order are part of recorded traces.
    """

    operations: tuple[Operation, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    own_zone: int  # index into zones
    own_number: int  # which of the supervisors this instance is, from 0
    supervisors: int  # of the whole deployment
    list_is_pushed: bool  # lists arrive without a Subscribe order
    listed_weights: str  # meaning of the weight of a listed server: "off", "nominal", "rough" or "live"
    load_fields: tuple[str, ...]  # names of the load values in reports, in order
    load_reports_come: str  # "inline", "on_probe" or "off"
    may_probe: bool  # whether Probe orders have an effect
    may_tell_peers: bool  # whether TellPeer orders have an effect
    full_may_have_run: bool  # servers may have begun the requests that they refuse as full
    only_draining_binds: bool
    ask_within: float
    cold_share: float  # share of its capacity that a server certainly has at its start
    warm_within: float  # seconds after its start within which a server is warm
    drain_grace: float  # seconds within which sends to a draining or gone server must end
    tip_multiple: float  # overload threshold of a cold server, as a multiple of its present capacity
    tip_span: float  # seconds above that threshold after which a cold server fails
    level_form: str  # "share", "rate" or "off"
    queue_cap: float  # lines that may wait in the channel
    lines_per_second: float  # rate of the channel
    lines_per_message: float  # lines that each message counts in addition to its own
    transit: float  # mean seconds from leaving the channel to the proxy's answer
    worst_transit: float  # the longest such time, in seconds
    message_cap: int  # most messages to one proxy within message_span; 0: no cap
    message_span: float  # seconds
    line_price: float
    bare_for: float  # seconds for which a joined proxy may be without a usable server
    proxies: int  # of the whole deployment
    standing_lines: int  # lines of the table that a proxy starts with
    pick: str  # "weighted", "round" or "two"
    try_objectives: float  # latency objectives that a try waits for its answer if another may follow
    default_tries: int  # when a proxy tries again before it has received a level, NO_TRY and so on
    avoids_after: int
    report_period: float  # seconds between reports
    report_lines_per_second: float  # cap on the lines of those reports
    slices: int
    sole_owner: bool
    keeps_writing: float
    write_settles: float
    buffer_for: float
    move_price: float
    warm_keys: bool
    least_connections: float  # connections that the smallest server accepts
    connect_timeout: float  # seconds that a proxy waits for a connection
    idle_close: float  # seconds after which proxies close an idle connection
    streams: int
    tick: float


# ---- events ----


class Start(NamedTuple):
    """Creates the instance, or replaces it by a new one."""

    seed: int
    facts: StartFacts


class Killed(NamedTuple):
    """Ends the instance."""

    pass


class Entry(NamedTuple):
    """One server in a list."""

    server: Server
    zone: int
    kind: int
    started: float | None  # None: long ago
    cell: int
    state: int
    weight: float


DRAINING, GONE, READY = 0, 1, 2  # states of an Entry
# Kinds of a Listing: changes alone, the full list, the last known list, and no list since the request failed.
DELTA, FULL, CACHED, FAILED = 0, 1, 2, 3


class Listing(NamedTuple):
    """A list of servers, or a change of the last one."""

    version: int
    kind: int
    entries: tuple[Entry, ...]


class Joined(NamedTuple):
    """A proxy has joined this supervisor; or, if it is joined already, it may have left and joined again unseen."""

    zone: int
    fresh: bool  # holds only its standing table, none of another supervisor
    proxy: int
    rate: float  # arrivals per second


class Left(NamedTuple):
    """A proxy has left this supervisor."""

    proxy: int


class Heard(NamedTuple):
    """A report: what the joined proxies of one zone observed at one server."""

    errored: int
    server: Server
    tries: int
    window: float  # seconds
    zone: int
    latency: float | None  # seconds, of the succeeded tries; None without one
    load: tuple[float, ...] | None  # values of StartFacts.load_fields


class Demand(NamedTuple):
    """A report: invocations of one operation that arrived at one proxy."""

    arrived: int
    proxy: int
    window: float  # seconds
    errored: int
    operation: int


class SliceDemand(NamedTuple):
    """Invocations of one operation that arrived for the slice of a table."""

    table: int
    operation: int
    arrived: int
    errored: int
    window: float  # seconds


class SliceGiven(NamedTuple):
    """The slice of a table is assigned to this instance, or no longer is."""

    table: int
    mine: bool


class SliceLine(NamedTuple):
    """A line of the table of a slice."""

    table: int
    server: Server
    weight: float


class Applied(NamedTuple):
    """A proxy has applied all orders up to a mark."""

    mark: int
    proxy: int
    took: float  # seconds


class Probed(NamedTuple):
    """The result of a Probe."""

    server: Server
    status: int
    took: float  # seconds
    load: tuple[float, ...] | None


class PeerNote(NamedTuple):
    """A message from another supervisor, as sent with TellPeer."""

    peer: int
    data: bytes


class TimerDue(NamedTuple):
    """The time of a SetTimer has come."""

    token: int


# ---- orders ----

ALL_OPERATIONS = 0  # as a set of operations
EVERY_TABLE = 65535  # as a table
# When a proxy tries again: never; once after proof that the try did not run; once, or twice, after any failed try.
NO_TRY, ONE_AFTER_PROOF, ONE_AFTER_ANY, TWO_AFTER_ANY = 0, 1, 2, 3


class SetTimer(NamedTuple):
    """Requests a TimerDue with this token at a time; it is never early."""

    token: int
    at: float


class Probe(NamedTuple):
    """Requests a health check of a server; the result is Probed."""

    server: Server


class TellPeer(NamedTuple):
    """Sends a message to another supervisor."""

    peer: int
    data: bytes


class Log(NamedTuple):
    """Writes a line to the log."""

    text: str


class Fault(NamedTuple):
    """Reports that the instance has failed and accepts no further events."""

    text: str


class Subscribe(NamedTuple):
    """Starts or ends the subscription to the list of servers."""

    on: bool


class FetchList(NamedTuple):
    """Requests the list of servers once."""

    pass


class SetLine(NamedTuple):
    """Sets the weight of a server's line in a table; weight 0 removes the line."""

    server: Server
    weight: float
    table: int


class ClearTable(NamedTuple):
    """Removes all lines and levels of a table."""

    table: int


class Withdraw(NamedTuple):
    """Withdraws a server for health in all tables, or lifts its withdrawal."""

    on: bool
    server: Server


class UseTable(NamedTuple):
    """Assigns a table to a proxy for some operations."""

    operations: int  # sum of 2^k over their positions k; ALL_OPERATIONS for all
    table: int
    proxy: int


class SetLevel(NamedTuple):
    """Sets the level of admission and the tries of some operations in a table."""

    table: int
    level: float  # share or rate, by StartFacts.level_form
    operations: int  # as in UseTable
    tries: int  # NO_TRY and so on


class Mark(NamedTuple):
    """Ends a round: each proxy that the orders before it concern answers with Applied."""

    everyone: bool  # all proxies that hold a table answer
    mark: int
