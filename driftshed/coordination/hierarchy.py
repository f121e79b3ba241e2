"""Rules of a hierarchical fleet: cells of supervisors, regions of cells and one top-level fleet of regions. No I/O and
no wall clock; times are seconds on the local monotonic clock.

A cell and its region share one store, so a supervisor reads both through one session. That its region is in contact
with the top-level fleet it derives from heartbeats (`HeartbeatTracker`). What follows from silence above its cell is
described under `holds` and `waits` in `docs/coordination.md`, "In tiers"."""

from __future__ import annotations

import tomllib
from collections import deque
from collections.abc import Iterable
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from driftshed.coordination.agreement import MAX_VOTERS
from driftshed.coordination.members import Digest, Member, MemberError, Row, validate_name

FORMAT_VERSION = 1
MAX_FILE_CHARACTERS = 1 << 20  # of a hierarchy file
MAX_HEARTBEAT_BYTES = 4096  # of an encoded heartbeat
MAX_POLICY_VERSIONS = 4  # listed in a digest; older versions are counted with the oldest of these
HEARTBEATS_PER_TIMEOUT = 8  # sent in one session timeout
HEARTBEAT_VALIDITY_FRACTION = (
    0.75  # of the session timeout: how long a heartbeat proves the region's contact with the top-level fleet
)
STAGGER_FRACTION = 0.5  # of the session timeout: delay per rank before the next in order becomes the delegate
LEVELS = 3


class HierarchyError(ValueError):
    """An unusable hierarchy file; the message names the fault and the remedy."""


class Cell(Struct, frozen=True, forbid_unknown_fields=True):
    """Supervisors that form one fleet on their region's store."""

    name: str
    members: Annotated[tuple[str, ...], Meta(min_length=1)]


class Region(Struct, frozen=True, forbid_unknown_fields=True):
    """Cells with a common store. `stores`: its connect string."""

    name: str
    stores: str
    cells: Annotated[tuple[Cell, ...], Meta(min_length=1)]


class FleetMembership(NamedTuple):
    """Membership of one supervisor in one fleet, under `name`. `sizes`: number of supervisors behind each expected
    name, where members are cells or regions."""

    name: str
    root: str
    hosts: list[tuple[str, int]]
    expected: tuple[str, ...]
    sizes: dict[str, int]


class Placement(NamedTuple):
    """Position of a supervisor in the hierarchy: its cell under its own name, its region under the cell's name, the
    top-level fleet under the region's name."""

    cell: FleetMembership
    region: FleetMembership
    top: FleetMembership


class Hierarchy(Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a hierarchy file. `stores`: connect string of the top-level fleet's store. All supervisors must use
    the same names; the addresses of the stores may differ between them."""

    form: Literal[1]
    stores: str
    regions: Annotated[tuple[Region, ...], Meta(min_length=1)]
    root: str = "/driftshed"

    def placement(self, name: str) -> Placement:
        """Placement of a supervisor; raises HierarchyError if it is in no cell."""
        for region in self.regions:
            for cell in region.cells:
                if name in cell.members:
                    hosts, cells = parse_hosts(region.stores, region.name), tuple(each.name for each in region.cells)
                    regions = tuple(each.name for each in self.regions)
                    return Placement(
                        FleetMembership(name, f"{self.root}/cells/{cell.name}", hosts, cell.members, {}),
                        FleetMembership(
                            cell.name,
                            f"{self.root}/regions/{region.name}",
                            hosts,
                            cells,
                            {each.name: len(each.members) for each in region.cells},
                        ),
                        FleetMembership(
                            region.name,
                            f"{self.root}/whole",
                            parse_hosts(self.stores, "the top-level fleet"),
                            regions,
                            {each.name: sum(len(c.members) for c in each.cells) for each in self.regions},
                        ),
                    )
        raise HierarchyError(f"{name!r} is in no cell: name it among the members of one, or give another --name")

    def supervisor_count(self) -> int:
        """Number of supervisors in all cells."""
        return sum(len(cell.members) for region in self.regions for cell in region.cells)


def parse_hosts(text: str, owner: str) -> list[tuple[str, int]]:
    """Parses a connect string, comma-separated HOST:PORT; raises HierarchyError naming its `owner`."""
    hosts = []
    for part in filter(None, (each.strip() for each in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host.startswith("127.") or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
            raise HierarchyError(
                f"stores of {owner}: {part[:80]!r}: write loopback address and port, as 127.0.0.1:2181"
            )
        hosts.append((host, int(port)))
    if not hosts:
        raise HierarchyError(f"stores of {owner}: name at least one 127.0.0.1:PORT")
    return hosts


def read_hierarchy(text: str) -> Hierarchy:
    """Parses and validates a hierarchy file; raises HierarchyError with the fault and the remedy."""
    if len(text) > MAX_FILE_CHARACTERS:
        raise HierarchyError(
            f"{len(text)} characters: a tiers file may have at most {MAX_FILE_CHARACTERS}; split the fleet"
        )
    try:
        values = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise HierarchyError(f"invalid TOML: {error}") from None
    version = values.get("form")
    if isinstance(version, int) and version > FORMAT_VERSION:
        raise HierarchyError(f"form {version} is newer than this build reads ({FORMAT_VERSION}): update driftshed")
    try:
        hierarchy = msgspec.convert(values, Hierarchy, strict=True)
    except msgspec.ValidationError as error:
        raise HierarchyError(f"{error}: see docs/coordination.md, 'In tiers'") from None
    _validate(hierarchy)
    return hierarchy


def _validate(hierarchy: Hierarchy) -> None:
    if not hierarchy.root.startswith("/") or hierarchy.root.endswith("/") or "//" in hierarchy.root:
        raise HierarchyError(f"root {hierarchy.root[:80]!r}: write a path such as /driftshed")
    parse_hosts(hierarchy.stores, "the top-level fleet")
    _check_count(len(hierarchy.regions), "regions", "the top-level fleet", "merge regions")
    seen: dict[str, str] = {}

    def register(name: str, kind: str) -> None:
        try:
            validate_name(name)
        except MemberError as error:
            raise HierarchyError(f"{kind}: {error}") from None
        if name in (".", ".."):
            raise HierarchyError(f"{kind}: {name!r} is not a valid name: choose another")
        if name in seen:
            raise HierarchyError(f"{name!r} is {seen[name]} and {kind}: names must be unique, rename one of them")
        seen[name] = kind

    for region in hierarchy.regions:
        register(region.name, "a region")
        parse_hosts(region.stores, region.name)
        _check_count(len(region.cells), "cells", f"region {region.name}", "make another region, or larger cells")
        for cell in region.cells:
            register(cell.name, "a cell")
            _check_count(len(cell.members), "members", f"cell {cell.name}", "move some to another cell")
            for member in cell.members:
                register(member, f"a member of {cell.name}")


def _check_count(count: int, what: str, owner: str, remedy: str) -> None:
    if count > MAX_VOTERS:
        raise HierarchyError(f"{count} {what} in {owner}, at most {MAX_VOTERS}: {remedy}")


# ---- heartbeats -------------------------------------------------------------------------------------------------


class Heartbeat(Struct, frozen=True):
    """Heartbeat of a region, written into the region's fleet by the region's delegate.

    It is written while the delegate's lease in the top-level fleet is valid and every record read there has been
    replicated to the region. `number` rises by one within a `run`; each heartbeat is created after the one before took
    effect. `whole`: digest of the entire fleet, as last aggregated."""

    by: Annotated[str, Meta(max_length=64)]
    run: Annotated[str, Meta(max_length=64)]
    number: Annotated[int, Meta(ge=1)]
    whole: Digest | UnsetType = UNSET


HEARTBEAT_DECODER = msgspec.json.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encodes a heartbeat as JSON."""
    return msgspec.json.encode(heartbeat)


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decodes a heartbeat; None for malformed data."""
    try:
        return HEARTBEAT_DECODER.decode(data[: MAX_HEARTBEAT_BYTES + 1])
    except msgspec.DecodeError:
        return None


class HeartbeatTracker:
    """Derives from a supervisor's polls of its region's heartbeat how long the region is known to be in contact with
    the top-level fleet.

    A heartbeat was created after the previous one of its run took effect, which was after any poll that still read an
    older one of the run. It therefore proves that the region's lease in the top-level fleet was valid at some moment
    after that poll was sent, however late the heartbeat itself arrived. Guards against a supervisor that continues to
    act in a region which the others already count as absent."""

    def __init__(self, timeout: float, drift: float) -> None:
        """`timeout`: session timeout in seconds; `drift`: largest relative clock drift."""
        self.valid_for = HEARTBEAT_VALIDITY_FRACTION * timeout * (1 - drift)
        self.run, self.last = "", None  # the heartbeat read last, and its run
        self.polls: deque[tuple[int, float]] = deque(
            maxlen=HEARTBEATS_PER_TIMEOUT
        )  # of this run: number read, time of the last poll that read it
        self.proven_until = float("-inf")  # end of the proven contact
        self.last_change_at: float | None = None  # when a new heartbeat was last read, or the first poll answered

    def observe(self, heartbeat: Heartbeat | None, polled_at: float, now: float) -> None:
        """Records the answer to a poll sent at `polled_at`; `heartbeat` is None where none is stored."""
        if self.last_change_at is None:
            self.last_change_at = now
        if heartbeat is None:
            return
        if heartbeat.run != self.run:
            self.run, self.last = heartbeat.run, None
            self.polls.clear()
        if self.last is None or heartbeat.number != self.last.number:
            self.last_change_at = now
        older_polls = [at for number, at in self.polls if number <= heartbeat.number - 2]
        if older_polls:
            self.proven_until = max(self.proven_until, max(older_polls) + self.valid_for)
        self.last = heartbeat
        if self.polls and self.polls[-1][0] == heartbeat.number:
            self.polls.pop()
        self.polls.append((heartbeat.number, polled_at))

    def silent_for(self, now: float) -> float | None:
        """Seconds without a new heartbeat; None before the first poll is answered."""
        return None if self.last_change_at is None else now - self.last_change_at


def propagation_bound(timeout: float, drift: float) -> float:
    """Seconds from a commit in the top-level fleet until no supervisor may act on an earlier read: a region's lease in
    the top-level fleet plus the validity of its last heartbeat."""
    return (1 + HEARTBEAT_VALIDITY_FRACTION) * timeout * (1 + drift)


def absence_margin(timeout: float, drift: float) -> float:
    """Seconds for which the supervisors behind a member name may still hold leases and valid heartbeats after the
    member's node is gone."""
    return timeout * (1 + 2 * drift)


# ---- delegates --------------------------------------------------------------------------------------------------


def takeover_due(unattended_for: float, rank: int, vacant: bool, timeout: float) -> bool:
    """Whether the supervisor of a rank is to become the delegate after `unattended_for` seconds without a working one.
    `vacant`: there is certainly no delegate, so the first in order need not wait. This only limits cost: two delegates
    at once reach the same result."""
    return unattended_for >= STAGGER_FRACTION * timeout * (rank if vacant else rank + 1)


# ---- digests ----------------------------------------------------------------------------------------------------


def cell_digest(rows: Iterable[Row]) -> Digest:
    """Digest of a cell, from the rows of its membership view."""
    rows = [row for row in rows if row.state != "stranger"]
    policies: dict[str, int] = {}
    for row in rows:
        if row.member is not None and row.state in ("living", "leaving"):
            version = str(row.member.policy)
            policies[version] = policies.get(version, 0) + 1
    living, leaving = (sum(row.state == state for row in rows) for state in ("living", "leaving"))
    return Digest(len(rows), living, leaving, len(rows) - living - leaving, bounded_policies(policies))


def aggregate_digest(living: dict[str, Member], sizes: dict[str, int]) -> Digest:
    """Digest of a fleet of fleets: the sum of the digests that its living members publish. All supervisors behind a
    member that is absent or publishes no digest count as silent."""
    reported = {name: member.digest for name, member in living.items() if member.digest is not UNSET}
    policies: dict[str, int] = {}
    for digest in reported.values():
        for version, count in digest.policies.items():
            policies[version] = policies.get(version, 0) + count
    silent = sum(size for name, size in sizes.items() if name not in reported)
    return Digest(
        sum(sizes.values()),
        sum(each.living for each in reported.values()),
        sum(each.leaving for each in reported.values()),
        silent + sum(each.silent for each in reported.values()),
        bounded_policies(policies),
    )


def bounded_policies(policies: dict[str, int]) -> dict[str, int]:
    """Keeps the newest policy versions and adds the counts of all older ones to the oldest of these."""
    newest = sorted(policies, key=int, reverse=True)
    counts = {version: policies[version] for version in newest[:MAX_POLICY_VERSIONS]}
    for version in newest[MAX_POLICY_VERSIONS:]:
        counts[newest[MAX_POLICY_VERSIONS - 1]] += policies[version]
    return counts
