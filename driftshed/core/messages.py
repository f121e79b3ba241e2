"""The API's messages as typed values: the one schema that supervisor, proxies, roster sources and judges decode with.

Times are seconds with fractions; a server is named "address:port"; tables, proxies and versions are integers. Requests
reject unknown fields; answers may gain fields."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from driftshed import interface as face

Share = Annotated[float, Meta(ge=0, le=1e12)]
Count = Annotated[int, Meta(ge=0, lt=2**32)]
Number = Annotated[int, Meta(ge=0, lt=65536)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
SERVER_NAME_CACHE_SIZE = 16384
STATES = {"ready": face.READY, "draining": face.DRAINING, "gone": face.GONE}


class InvalidServerName(ValueError):
    """A server name that is not "address:port"."""


@lru_cache(SERVER_NAME_CACHE_SIZE)
def server_name(server: face.Server) -> str:
    """Returns the "address:port" of the six bytes of a server."""
    return f"{server[0]}.{server[1]}.{server[2]}.{server[3]}:{server[4] << 8 | server[5]}"


@lru_cache(SERVER_NAME_CACHE_SIZE)
def server_id(name: str) -> face.Server:
    """Returns the six bytes of an "address:port". Raises InvalidServerName for anything else."""
    address, _, port = name.rpartition(":")
    try:
        port_number = int(port)
        if not (port.isascii() and port.isdigit() and 0 < port_number < 65536):
            raise ValueError
        return ipaddress.IPv4Address(address).packed + port_number.to_bytes(2, "big")
    except ValueError:
        raise InvalidServerName(f"server {name[:64]!r}: an IPv4 address, a colon and a port are wanted") from None


# ---- changes of a proxy's state -------------------------------------------------------------------------------


class Line(Struct, tag="line", array_like=True, frozen=True):
    """Sets one line of a table; weight 0 removes it."""

    table: Number
    server: str
    weight: Share

    @property
    def key(self) -> tuple:
        """What the change sets or removes; a later change with the same key replaces it. The same for all changes."""
        return "line", self.table, self.server

    @property
    def is_removal(self) -> bool:
        """Whether the change removes its key instead of setting it. The same for all changes."""
        return self.weight == 0


class Level(Struct, tag="level", array_like=True, frozen=True):
    """The admission level of an operation in a table, as a share or a rate, and when a proxy tries again: 0 never, 1
    once after proof that the first try never ran, 2 once after any failure, 3 twice after any failure."""

    table: Number
    operation: Number
    level: Share
    tries: Annotated[int, Meta(ge=0, le=3)]

    @property
    def key(self) -> tuple:
        """The table and operation."""
        return "level", self.table, self.operation

    @property
    def is_removal(self) -> bool:
        """Never: a level is replaced."""
        return False


class Out(Struct, tag="out", array_like=True, frozen=True):
    """Withdraws a server: nothing is sent to it, whatever the tables say; its share goes to the other lines."""

    server: str

    @property
    def key(self) -> tuple:
        """The server, shared with `In`."""
        return "out", self.server

    @property
    def is_removal(self) -> bool:
        """Never: `In` removes it."""
        return False


class In(Struct, tag="in", array_like=True, frozen=True):
    """Ends the withdrawal that `Out` set."""

    server: str

    @property
    def key(self) -> tuple:
        """The key of the `Out` that it removes."""
        return "out", self.server

    @property
    def is_removal(self) -> bool:
        """Always: it removes an `Out`."""
        return True


class Use(Struct, tag="use", array_like=True, frozen=True):
    """Puts an operation on a table. Once an answer is applied completely, tables that no operation uses are dropped."""

    operation: Number
    table: Number

    @property
    def key(self) -> tuple:
        """The operation."""
        return "use", self.operation

    @property
    def is_removal(self) -> bool:
        """Never: a use is replaced."""
        return False


Change = Line | Level | Out | In | Use


class Changes(Struct):
    """The answer to a poll: takes a proxy from version `since` to `version`. `whole`: a full snapshot, so what the
    proxy held before is dropped first. Applied all at once or not at all."""

    run: str
    since: int
    version: int
    whole: bool
    changes: list[Change]
    waited: float = 0.0  # longest time that one of its messages spent in the supervisor's channel
    lines: int = 0  # lines that its messages cost there
    # For each of several messages, or for one released before the answer: when it entered and left the channel, in
    # seconds before the answer, and its lines.
    stood: list[tuple[float, float, float]] = []
    # As in `JoinAnswer`; sent once after each change.
    supervisors: list[str] = []
    policy: int = 0  # version of the policy in force; 0: none


# ---- requests -------------------------------------------------------------------------------------------------


class Join(Struct, forbid_unknown_fields=True):
    """A proxy begins a stream. `run` and `version` identify what it holds from a supervisor, if anything."""

    zone: Name
    rate: Share
    fresh: bool = True
    run: str | None = None
    version: Count = 0


class JoinAnswer(Struct):
    """The answer to a join: the new stream, and how to poll and report on it. Times are in seconds."""

    run: str
    stream: str
    version: int  # to poll after; 0: nothing that the proxy holds is known here
    operations: list[str]
    wait_most: float
    report_period: float
    supervisors: list[str] = []  # "address:port" of the live supervisors: where else a proxy may join
    policy: int = 0  # as in `Changes`


class ServerReport(Struct, forbid_unknown_fields=True):
    """A proxy's measurements at one server since its last report. `latency`: mean of the successful tries, in
    seconds."""

    server: Name
    tries: Count
    errored: Count = 0
    latency: Share | None = None
    load: Annotated[list[float], Meta(max_length=8)] | None = None


class OperationReport(Struct, forbid_unknown_fields=True):
    """Invocations of one operation that arrived at a proxy since its last report."""

    operation: Name
    arrived: Count
    errored: Count = 0


class Report(Struct, forbid_unknown_fields=True):
    """A proxy's report on its stream."""

    stream: Name
    servers: Annotated[list[ServerReport], Meta(max_length=65536)] = []
    operations: Annotated[list[OperationReport], Meta(max_length=256)] = []


class ListedServer(Struct, forbid_unknown_fields=True):
    """One server of the roster. `started`: unix time of its last process start; null: long ago."""

    server: Name
    zone: Name
    kind: Name
    state: str = "ready"
    started: float | None = None
    cell: Number = 0
    weight: Share = 1.0


class RosterUpdate(Struct, forbid_unknown_fields=True):
    """A roster update. `whole`: a full snapshot, in which servers not named are gone; else a delta, whose `version`
    must be one more than the last."""

    version: Count
    whole: bool
    servers: Annotated[list[ListedServer], Meta(max_length=65536)]


encode_json = msgspec.json.encode
