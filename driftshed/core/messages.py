"""What the API carries, as typed values: the one schema that supervisor, proxies, roster feeders and judges read by.

Times are seconds with fractions; a server is named "address:port"; tables, proxies and versions are whole numbers.
Requests forbid fields that they do not know; answers may grow fields.
"""

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
KNOWN_NAMES = 16384  # whose reading is remembered
STATES = {"ready": face.READY, "draining": face.DRAINING, "gone": face.GONE}


class BadName(ValueError):
    """A server's name that is not "address:port"."""


@lru_cache(KNOWN_NAMES)
def server_name(server: face.Server) -> str:
    return f"{server[0]}.{server[1]}.{server[2]}.{server[3]}:{server[4] << 8 | server[5]}"


@lru_cache(KNOWN_NAMES)
def server_id(name: str) -> face.Server:
    """The six bytes of an "address:port"; BadName where it is none."""
    address, _, port = name.rpartition(":")
    try:
        number = int(port)
        if not (port.isascii() and port.isdigit() and 0 < number < 65536):
            raise ValueError
        return ipaddress.IPv4Address(address).packed + number.to_bytes(2, "big")
    except ValueError:
        raise BadName(f"server {name[:64]!r}: an IPv4 address, a colon and a port are wanted") from None


# ---- changes of what a proxy holds ----------------------------------------------------------------------------


class Line(Struct, tag="line", array_like=True, frozen=True):
    """Sets one line of a table; weight 0 removes it."""

    table: Number
    server: str
    weight: Share

    @property
    def key(self) -> tuple:
        return "line", self.table, self.server

    @property
    def ends(self) -> bool:
        return self.weight == 0


class Level(Struct, tag="level", array_like=True, frozen=True):
    """What part (or rate) of an operation a table lets in, and when a proxy tries again: 0 never, 1 once after proof
    that the first never ran, 2 once after any failure, 3 twice after any failure."""

    table: Number
    operation: Number
    level: Share
    tries: Annotated[int, Meta(ge=0, le=3)]

    @property
    def key(self) -> tuple:
        return "level", self.table, self.operation

    @property
    def ends(self) -> bool:
        return False


class Out(Struct, tag="out", array_like=True, frozen=True):
    """Nothing more goes to a server, whatever the tables say; its part passes to the other lines."""

    server: str

    @property
    def key(self) -> tuple:
        return "out", self.server

    @property
    def ends(self) -> bool:
        return False


class In(Struct, tag="in", array_like=True, frozen=True):
    """Takes an `out` back."""

    server: str

    @property
    def key(self) -> tuple:
        return "out", self.server

    @property
    def ends(self) -> bool:
        return True


class Use(Struct, tag="use", array_like=True, frozen=True):
    """An operation goes by this table. Once a whole answer is applied, tables that no operation uses are dropped."""

    operation: Number
    table: Number

    @property
    def key(self) -> tuple:
        return "use", self.operation

    @property
    def ends(self) -> bool:
        return False


Change = Line | Level | Out | In | Use


class Changes(Struct):
    """The answer to a poll: brings what a proxy holds from version `since` to `version`. `whole`: what it held
    before is dropped first. Applied all at once or not at all."""

    run: str
    since: int
    version: int
    whole: bool
    changes: list[Change]
    waited: float = 0.0  # the longest that one of its messages stood in the supervisor's channel
    lines: int = 0  # what its messages counted there
    # Where it is more than one, or one that left earlier: from and till when each stood there, in seconds before the
    # answer, and its lines.
    stood: list[tuple[float, float, float]] = []
    # Where else a proxy may join, as `JoinAnswer` says it: told once it has changed.
    supervisors: list[str] = []
    policy: int = 0  # the version of the policy that the orders rest on; 0: of none


# ---- requests -------------------------------------------------------------------------------------------------


class Join(Struct, forbid_unknown_fields=True):
    """A proxy begins a stream. `run` and `version` say what it holds of a supervisor, if anything."""

    zone: Name
    rate: Share
    fresh: bool = True
    run: str | None = None
    version: Count = 0


class JoinAnswer(Struct):
    run: str
    stream: str
    version: int  # poll after this one: 0 where nothing that the proxy holds is known here
    operations: list[str]
    wait_most: float
    report_period: float
    supervisors: list[str] = []  # where else a proxy may join: "address:port" of the living ones
    policy: int = 0  # as in `Changes`


class ServerReport(Struct, forbid_unknown_fields=True):
    """What a proxy met at one server since its last report: `latency` is the mean of the good tries."""

    server: Name
    tries: Count
    errored: Count = 0
    latency: Share | None = None
    load: Annotated[list[float], Meta(max_length=8)] | None = None


class OperationReport(Struct, forbid_unknown_fields=True):
    operation: Name
    arrived: Count
    errored: Count = 0


class Report(Struct, forbid_unknown_fields=True):
    stream: Name
    servers: Annotated[list[ServerReport], Meta(max_length=65536)] = []
    operations: Annotated[list[OperationReport], Meta(max_length=256)] = []


class ListedServer(Struct, forbid_unknown_fields=True):
    """One server of the roster. `started`: unix time at which its process last started, or null: long ago."""

    server: Name
    zone: Name
    kind: Name
    state: str = "ready"
    started: float | None = None
    cell: Number = 0
    weight: Share = 1.0


class RosterNews(Struct, forbid_unknown_fields=True):
    """`whole`: those not named are gone; else only those named changed, and `version` follows on the last."""

    version: Count
    whole: bool
    servers: Annotated[list[ListedServer], Meta(max_length=65536)]


encode = msgspec.json.encode
