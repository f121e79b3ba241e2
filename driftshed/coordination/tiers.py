"""A fleet in tiers, decided: cells of supervisors, regions of cells, the whole of regions. Free of I/O and of wall
clocks; times are seconds on the own monotonic clock.

A cell and its region lie on one store, so a supervisor sees by one session what stands in both. That its region is in
touch with the whole it learns from beats (`Beats`). What follows from silence above its cell is `holds` and `waits` of
`docs/coordination.md`, "In tiers"."""

from __future__ import annotations

import tomllib
from collections import deque
from collections.abc import Iterable
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from driftshed.coordination.agreement import MAX_VOTERS
from driftshed.coordination.members import Digest, Member, MemberError, Row, validate_name

FORM = 1
MOST_FILE = 1 << 20  # bytes of a tiers file
MOST_BEAT = 4096  # bytes of a beat
MOST_POLICIES = 4  # versions told in a digest; the older ones are counted with the oldest of these
BEATS = 8  # in a session's time-out
HOLDS = 0.75  # of a time-out: for how long a beat proves that the region is in touch with the whole
STAGGER = 0.5  # of a time-out: how much later each next one in the order speaks where the first does not
TIERS = 3


class BadTiers(ValueError):
    """A tiers file that cannot be used; the text says what and the remedy."""


class Cell(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    members: Annotated[tuple[str, ...], Meta(min_length=1)]


class Region(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    stores: str
    cells: Annotated[tuple[Cell, ...], Meta(min_length=1)]


class Fleet(NamedTuple):
    """One fleet as one of its members takes part in it. `sizes`: supervisors behind each expected name."""

    name: str
    root: str
    hosts: list[tuple[str, int]]
    expected: tuple[str, ...]
    sizes: dict[str, int]


class Place(NamedTuple):
    """Where a supervisor stands: as itself in its cell, under the cell's name in its region, under the region's name in
    the whole."""

    cell: Fleet
    region: Fleet
    whole: Fleet


class Tiers(Struct, frozen=True, forbid_unknown_fields=True):
    """`stores`: connect string of the whole's store. All supervisors go by the same names; where a store is dialled may
    differ."""

    form: Literal[1]
    stores: str
    regions: Annotated[tuple[Region, ...], Meta(min_length=1)]
    root: str = "/driftshed"

    def place(self, name: str) -> Place:
        """BadTiers where no cell has this member."""
        for region in self.regions:
            for cell in region.cells:
                if name in cell.members:
                    hosts, cells = read_hosts(region.stores, region.name), tuple(each.name for each in region.cells)
                    regions = tuple(each.name for each in self.regions)
                    return Place(
                        Fleet(name, f"{self.root}/cells/{cell.name}", hosts, cell.members, {}),
                        Fleet(
                            cell.name,
                            f"{self.root}/regions/{region.name}",
                            hosts,
                            cells,
                            {each.name: len(each.members) for each in region.cells},
                        ),
                        Fleet(
                            region.name,
                            f"{self.root}/whole",
                            read_hosts(self.stores, "the whole"),
                            regions,
                            {each.name: sum(len(c.members) for c in each.cells) for each in self.regions},
                        ),
                    )
        raise BadTiers(f"{name!r} is in no cell: name it among the members of one, or give another --name")

    def supervisors(self) -> int:
        return sum(len(cell.members) for region in self.regions for cell in region.cells)


def read_hosts(text: str, whose: str) -> list[tuple[str, int]]:
    """A connect string, HOST:PORT with commas between; BadTiers names whose it is."""
    hosts = []
    for part in filter(None, (each.strip() for each in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host.startswith("127.") or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
            raise BadTiers(f"stores of {whose}: {part[:80]!r}: write loopback address and port, as 127.0.0.1:2181")
        hosts.append((host, int(port)))
    if not hosts:
        raise BadTiers(f"stores of {whose}: name at least one 127.0.0.1:PORT")
    return hosts


def read_tiers(text: str) -> Tiers:
    """The tiers of a file; BadTiers says what cannot be and the remedy."""
    if len(text) > MOST_FILE:
        raise BadTiers(f"{len(text)} characters: a tiers file of {MOST_FILE} at the most is read; split the fleet")
    try:
        given = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise BadTiers(f"no TOML: {error}") from None
    form = given.get("form")
    if isinstance(form, int) and form > FORM:
        raise BadTiers(f"form {form} is newer than this build reads ({FORM}): update driftshed")
    try:
        tiers = msgspec.convert(given, Tiers, strict=True)
    except msgspec.ValidationError as error:
        raise BadTiers(f"{error}: see docs/coordination.md, 'In tiers'") from None
    _check(tiers)
    return tiers


def _check(tiers: Tiers) -> None:
    if not tiers.root.startswith("/") or tiers.root.endswith("/") or "//" in tiers.root:
        raise BadTiers(f"root {tiers.root[:80]!r}: write a path such as /driftshed")
    read_hosts(tiers.stores, "the whole")
    _count(len(tiers.regions), "regions", "the whole", "merge regions")
    seen: dict[str, str] = {}

    def take(name: str, what: str) -> None:
        try:
            validate_name(name)
        except MemberError as error:
            raise BadTiers(f"{what}: {error}") from None
        if name in (".", ".."):
            raise BadTiers(f"{what}: {name!r} is no name: take another")
        if name in seen:
            raise BadTiers(f"{name!r} is {seen[name]} and {what}: each name stands once, give one of them another")
        seen[name] = what

    for region in tiers.regions:
        take(region.name, "a region")
        read_hosts(region.stores, region.name)
        _count(len(region.cells), "cells", f"region {region.name}", "make another region, or larger cells")
        for cell in region.cells:
            take(cell.name, "a cell")
            _count(len(cell.members), "members", f"cell {cell.name}", "move some to another cell")
            for member in cell.members:
                take(member, f"a member of {cell.name}")


def _count(count: int, what: str, whose: str, remedy: str) -> None:
    if count > MAX_VOTERS:
        raise BadTiers(f"{count} {what} in {whose}, {MAX_VOTERS} at the most: {remedy}")


# ---- beats ----------------------------------------------------------------------------------------------------


class Beat(Struct, frozen=True):
    """Written by whoever speaks for a region, in the region's fleet, while its lease in the whole holds and all that it
    has read there stands in the region. `number`: rises by one in a `run`, each made after the one before had taken
    effect. `whole`: the whole fleet, as last summed."""

    by: Annotated[str, Meta(max_length=64)]
    run: Annotated[str, Meta(max_length=64)]
    number: Annotated[int, Meta(ge=1)]
    whole: Digest | UnsetType = UNSET


BEAT = msgspec.json.Decoder(Beat)


def write_beat(beat: Beat) -> bytes:
    return msgspec.json.encode(beat)


def read_beat(data: bytes) -> Beat | None:
    """None where it is no beat."""
    try:
        return BEAT.decode(data[: MOST_BEAT + 1])
    except msgspec.DecodeError:
        return None


class Beats:
    """What a supervisor's own polls of its region's beat prove.

    A beat was made after the one before it of its run had taken effect, and that was after any poll that still read an
    older one of the run. So it proves that the region's lease in the whole held at some moment after that poll was
    asked, however late the beat itself arrived. Guards against a supervisor that goes on in a region which the others
    have come to count as away."""

    def __init__(self, timeout: float, drift: float) -> None:
        self.holds_for = HOLDS * timeout * (1 - drift)
        self.run, self.last = "", None  # the beat that was read last
        self.polls: deque[tuple[int, float]] = deque(maxlen=BEATS)  # of this run: number read, when asked last
        self.until = float("-inf")  # when the proof is over
        self.changed_at: float | None = None  # when a new beat was read last, or first looked for

    def heard(self, beat: Beat | None, asked: float, now: float) -> None:
        """A poll that was asked at `asked` has been answered; None where there is no beat."""
        if self.changed_at is None:
            self.changed_at = now
        if beat is None:
            return
        if beat.run != self.run:
            self.run, self.last = beat.run, None
            self.polls.clear()
        if self.last is None or beat.number != self.last.number:
            self.changed_at = now
        older = [at for number, at in self.polls if number <= beat.number - 2]
        if older:
            self.until = max(self.until, max(older) + self.holds_for)
        self.last = beat
        if self.polls and self.polls[-1][0] == beat.number:
            self.polls.pop()
        self.polls.append((beat.number, asked))

    def quiet_for(self, now: float) -> float | None:
        """Seconds without a new beat; None before the first poll was answered."""
        return None if self.changed_at is None else now - self.changed_at


def everywhere(timeout: float, drift: float) -> float:
    """Seconds from a settling in the whole until nobody's lease and chain rest on what was read before it: a region's
    lease in the whole, and what its last beat proves."""
    return (1 + HOLDS) * timeout * (1 + drift)


def lag(timeout: float, drift: float) -> float:
    """Seconds for which supervisors behind a name may hold leases and beats after its own node is gone."""
    return timeout * (1 + 2 * drift)


# ---- who speaks -----------------------------------------------------------------------------------------------


def due_to_speak(trouble_for: float, rank: int, at_once: bool, timeout: float) -> bool:
    """Whether the one of a rank is to speak where nobody is seen to do so for `trouble_for` seconds. `at_once`: there
    is surely nobody, so the first need not wait. Only cost rests on it: two that speak come to the same."""
    return trouble_for >= STAGGER * timeout * (rank if at_once else rank + 1)


# ---- digests --------------------------------------------------------------------------------------------------


def digest_of(rows: Iterable[Row]) -> Digest:
    """Of a cell, from its roll."""
    rows = [row for row in rows if row.state != "stranger"]
    policies: dict[str, int] = {}
    for row in rows:
        if row.member is not None and row.state in ("living", "leaving"):
            version = str(row.member.policy)
            policies[version] = policies.get(version, 0) + 1
    living, leaving = (sum(row.state == state for row in rows) for state in ("living", "leaving"))
    return Digest(len(rows), living, leaving, len(rows) - living - leaving, bounded(policies))


def digest_above(living: dict[str, Member], sizes: dict[str, int]) -> Digest:
    """Of a fleet of fleets: what those who are there say of theirs. Those behind a name that is not there, or says
    nothing, count as silent."""
    said = {name: member.digest for name, member in living.items() if member.digest is not UNSET}
    policies: dict[str, int] = {}
    for digest in said.values():
        for version, count in digest.policies.items():
            policies[version] = policies.get(version, 0) + count
    unheard = sum(size for name, size in sizes.items() if name not in said)
    return Digest(
        sum(sizes.values()),
        sum(each.living for each in said.values()),
        sum(each.leaving for each in said.values()),
        unheard + sum(each.silent for each in said.values()),
        bounded(policies),
    )


def bounded(policies: dict[str, int]) -> dict[str, int]:
    """The newest versions by themselves, all older ones with the oldest of these."""
    newest = sorted(policies, key=int, reverse=True)
    kept = {version: policies[version] for version in newest[:MOST_POLICIES]}
    for version in newest[MOST_POLICIES:]:
        kept[newest[MOST_POLICIES - 1]] += policies[version]
    return kept
