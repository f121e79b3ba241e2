"""Fleet membership: the data each supervisor publishes, and the membership view that its peers derive. No I/O.

A start of a supervisor is the node NAME~INCARNATION; the incarnation rises by one with each start, by compare-and-set
(roster/announce.py). The highest incarnation seen of a name is the valid one, whichever nodes remain."""

from __future__ import annotations

import re
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.structs import replace

MAX_MEMBER_BYTES = 16384  # data of a member node
MAX_UNKNOWN_PEERS = 64  # remembered in addition to the expected supervisors
NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")


class MemberError(ValueError):
    """A member node with an invalid name or unusable data; the message gives the reason."""


class Digest(Struct, frozen=True):
    """Bounded-size summary of a fleet: counts of supervisors. `policies`: how many live supervisors run each policy
    version."""

    expected: Annotated[int, Meta(ge=0)] = 0
    living: Annotated[int, Meta(ge=0)] = 0
    leaving: Annotated[int, Meta(ge=0)] = 0
    silent: Annotated[int, Meta(ge=0)] = 0
    policies: Annotated[dict[str, int], Meta(max_length=8)] = {}


class Member(Struct, frozen=True):
    """The data that a supervisor publishes about itself. Unknown fields are ignored: a newer build may add some."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    address: Annotated[str, Meta(max_length=64)] = ""  # address:port that proxies join
    build: Annotated[str, Meta(max_length=64)] = ""
    state: Literal["serving", "leaving"] = "serving"
    policy: Annotated[int, Meta(ge=0)] = 0  # policy version in use
    proxies: Annotated[int, Meta(ge=0)] = 0  # number of proxies served
    zones: dict[str, int] = {}  # the same proxies, counted by zone
    inside: dict[str, str] = {}  # by zone in question: the evidence of the zone's own proxies that it serves
    incarnation: Annotated[int, Meta(ge=0)] = 0
    digest: Digest | UnsetType = UNSET  # of the fleet whose delegate it is


MEMBER_DECODER = msgspec.json.Decoder(Member)


def validate_name(name: str) -> str:
    """Returns a valid supervisor name unchanged; raises MemberError otherwise."""
    if not NAME_PATTERN.fullmatch(name):
        raise MemberError(
            f"{name[:80]!r}: a name of letters, digits, '.', '-' and '_' is required, at most 64 characters"
        )
    return name


def encode_member(member: Member) -> bytes:
    """Encodes the data of a member node as JSON."""
    return msgspec.json.encode(member)


def parse_node_name(node: str) -> tuple[str, int]:
    """Splits a node name into name and incarnation; raises MemberError where it is not NAME~INCARNATION."""
    name, separator, number = node.rpartition("~")
    if (
        not separator
        or not NAME_PATTERN.fullmatch(name)
        or not (number.isascii() and number.isdigit() and len(number) < 10)
    ):
        raise MemberError(f"{node[:80]!r} is not of the form NAME~INCARNATION")
    return name, int(number)


def decode_member(node: str, data: bytes) -> Member:
    """Decodes the data of a member node; raises MemberError for malformed data or data of another start."""
    name, incarnation = parse_node_name(node)
    try:
        member = MEMBER_DECODER.decode(data[: MAX_MEMBER_BYTES + 1])
    except msgspec.DecodeError as error:
        raise MemberError(f"{node}: {error}") from None
    if (member.name, member.incarnation) != (name, incarnation):
        raise MemberError(f"{node}: the data is of {member.name}, incarnation {member.incarnation}")
    return member


class MemberNode(NamedTuple):
    """A member node that exists in the store."""

    member: Member
    czxid: int  # transaction that created the node: the store's order
    since: float  # when it was first read, in seconds on the local clock


class Row(NamedTuple):
    """One supervisor in the membership view. `state`: living, leaving, silent, never seen or stranger. `since`: seconds
    that it has been in this state."""

    name: str
    state: str
    since: float | None
    starts: int  # starts observed after the first
    member: Member | None


class MembershipView:
    """Membership view: tells which supervisors are expected, living, silent, restarted or unknown. Times are seconds on
    the local monotonic clock."""

    def __init__(self, expected: tuple[str, ...], now: float) -> None:
        """`expected`: names of all supervisors of the fleet, the local one included."""
        self.set_expected(expected)
        self.started_at = now
        self.complete_since: float | None = None  # since when every arrival and departure is observed; None while not
        self.nodes: dict[str, MemberNode] = {}  # by node name
        self.highest_incarnation: dict[str, int] = {}  # highest incarnation of each name ever seen
        self.restarts: dict[str, int] = {}  # starts observed after the first, by name
        self.silent: dict[str, tuple[float, Member]] = {}  # since when, and the data last published
        self.incarnations: dict[str, set[int]] = {}  # by name: those that have a node
        self._living: dict[str, MemberNode] | None = None  # cached; None once invalid
        self._order: list[str] | None = None
        self._addresses: list[str] | None = None

    def set_expected(self, names: tuple[str, ...]) -> None:
        """Replaces the names of the supervisors of the fleet."""
        self.expected, self.expected_set = names, frozenset(names)
        self._invalidate()

    def _invalidate(self) -> None:
        self._living = self._order = self._addresses = None

    def update_node(self, node: str, member: Member, czxid: int, now: float) -> None:
        """Records the data of a node read for the first time or again; `czxid` is the node's creation transaction."""
        old = self.nodes.get(node)
        since = old.since if old is not None and old.czxid == czxid else now
        present = self.nodes[node] = MemberNode(member, czxid, since)
        if (
            old is not None
            and self._living is not None
            and old
            == present._replace(
                member=replace(
                    member,
                    policy=old.member.policy,
                    proxies=old.member.proxies,
                    zones=old.member.zones,
                    inside=old.member.inside,
                    digest=old.member.digest,
                )
            )
        ):
            if self._living.get(member.name) is old:  # only counts changed, as in most updates: the caches stay valid
                self._living[member.name] = present
            return
        self._invalidate()
        self.incarnations.setdefault(member.name, set()).add(member.incarnation)
        highest = self.highest_incarnation.get(member.name)
        if highest is not None and member.incarnation > highest:
            self.restarts[member.name] = self.restarts.get(member.name, 0) + 1
        self.highest_incarnation[member.name] = max(highest or 0, member.incarnation)
        self.silent.pop(member.name, None)
        self._evict_unknown_peers()

    def remove_node(self, node: str, now: float) -> None:
        """Records that a node is gone; its supervisor is silent unless its latest start has another node."""
        removed = self.nodes.pop(node, None)
        self._invalidate()
        if removed is not None:
            remaining = self.incarnations.get(removed.member.name, set())
            remaining.discard(removed.member.incarnation)
            if not remaining:
                self.incarnations.pop(removed.member.name, None)
        if removed is not None and removed.member.name not in self._by_name():
            self.silent[removed.member.name] = now, removed.member
            self._evict_unknown_peers()

    def _evict_unknown_peers(self) -> None:
        """Bounds the memory for unknown peers: those silent for longest are forgotten first."""
        unknown = [name for name in self.highest_incarnation if name not in self.expected_set]
        for name in sorted(unknown, key=lambda name: self.silent.get(name, (float("inf"), None))[0]):
            if len(unknown) <= MAX_UNKNOWN_PEERS or name not in self.silent:
                break
            unknown.remove(name)
            for by_name in (self.highest_incarnation, self.restarts, self.silent):
                by_name.pop(name, None)

    def _by_name(self) -> dict[str, MemberNode]:
        """The node of the highest incarnation of each name, where it exists."""
        by_name = {}
        for present in self.nodes.values():
            name, incarnation = present.member.name, present.member.incarnation
            if incarnation == self.highest_incarnation.get(name):
                by_name[name] = present
        return by_name

    def living(self) -> dict[str, MemberNode]:
        """The expected supervisors whose latest start has a node, by name."""
        if self._living is None:
            self._living = {name: present for name, present in self._by_name().items() if name in self.expected_set}
        return self._living

    def absent_for(self, now: float) -> dict[str, float]:
        """For how many seconds at least each expected supervisor without a node of any start has had none.

        Counts only the time since the view last became complete: silence from before and after a period in which this
        supervisor observed nothing must not be added up."""
        if self.complete_since is None:
            return {}
        return {
            name: now - max(self.complete_since, self.silent[name][0] if name in self.silent else self.complete_since)
            for name in self.expected
            if name not in self.incarnations
        }

    def order(self) -> list[str]:
        """Names of the living, longest present first; the first is the leader. Leadership grants nothing beyond what a
        compare-and-set grants; it only saves the others from doing the same work."""
        if self._order is None:
            self._order = sorted(living := self.living(), key=lambda name: living[name].czxid)
        return self._order

    def addresses(self) -> list[str]:
        """Addresses that proxies may dial: those of living supervisors that are not about to leave."""
        if self._addresses is None:
            living = [present.member for present in self.living().values()]
            self._addresses = sorted(each.address for each in living if each.address and each.state == "serving")
        return self._addresses

    def has_earlier_incarnation(self, name: str, incarnation: int) -> bool:
        """Whether an earlier start of a name still has a node."""
        return any(each < incarnation for each in self.incarnations.get(name, ()))

    def rows(self, now: float) -> list[Row]:
        """The view as rows: the expected supervisors in their order, then unknown peers by name."""
        by_name, rows = self._by_name(), []
        unknown = sorted(set(self.highest_incarnation) - set(self.expected))
        for name in [*self.expected, *unknown]:
            starts = self.restarts.get(name, 0)
            if name in by_name:
                present = by_name[name]
                state = "leaving" if present.member.state == "leaving" else "living"
                state = state if name in self.expected_set else "stranger"
                rows.append(Row(name, state, now - present.since, starts, present.member))
            elif name in self.silent:
                since, member = self.silent[name]
                rows.append(Row(name, "silent", now - since, starts, member))
            elif name in self.expected_set:
                rows.append(Row(name, "never seen", now - self.started_at, starts, None))
        return rows
