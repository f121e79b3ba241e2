"""Who is there: what a supervisor says of itself, and what its peers make of it. Free of I/O.

A start of a supervisor is the node NAME~INCARNATION; the incarnation rises by one with each start, by compare-and-set
(roster/announce.py). The highest that was seen of a name counts, whatever nodes are left."""

from __future__ import annotations

import re
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.structs import replace

MOST_BYTES = 16384  # of a node's data
MOST_STRANGERS = 64  # kept besides the expected ones
NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")


class BadMember(ValueError):
    """A node that says nothing that can be used; the text says why."""


class Digest(Struct, frozen=True):
    """What a fleet is, in a word of bounded size. `policies`: how many of the living run which version."""

    expected: Annotated[int, Meta(ge=0)] = 0
    living: Annotated[int, Meta(ge=0)] = 0
    leaving: Annotated[int, Meta(ge=0)] = 0
    silent: Annotated[int, Meta(ge=0)] = 0
    policies: Annotated[dict[str, int], Meta(max_length=8)] = {}


class Member(Struct, frozen=True):
    """A supervisor as it announces itself. A reader takes what it knows of it: a newer build may say more."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    address: Annotated[str, Meta(max_length=64)] = ""  # where proxies join it
    build: Annotated[str, Meta(max_length=64)] = ""
    state: Literal["serving", "leaving"] = "serving"
    policy: Annotated[int, Meta(ge=0)] = 0  # the version that it runs
    proxies: Annotated[int, Meta(ge=0)] = 0  # that it serves
    zones: dict[str, int] = {}  # of these proxies
    inside: dict[str, str] = {}  # of zones whose own proxies it serves, while one is in question: what these met there
    incarnation: Annotated[int, Meta(ge=0)] = 0
    digest: Digest | UnsetType = UNSET  # of a fleet that it speaks for


DECODER = msgspec.json.Decoder(Member)


def check_name(name: str) -> str:
    """A supervisor's name; BadMember says what it may be."""
    if not NAME.fullmatch(name):
        raise BadMember(f"{name[:80]!r}: a name of letters, digits, '.', '-' and '_' is wanted, 64 at the most")
    return name


def write_member(member: Member) -> bytes:
    return msgspec.json.encode(member)


def split(node: str) -> tuple[str, int]:
    """Name and incarnation of a node; BadMember where it is no member's."""
    name, tilde, number = node.rpartition("~")
    if not tilde or not NAME.fullmatch(name) or not (number.isascii() and number.isdigit() and len(number) < 10):
        raise BadMember(f"{node[:80]!r} is no NAME~INCARNATION")
    return name, int(number)


def read_member(node: str, data: bytes) -> Member:
    """The member of this node; BadMember where it cannot be."""
    name, incarnation = split(node)
    try:
        member = DECODER.decode(data[: MOST_BYTES + 1])
    except msgspec.DecodeError as error:
        raise BadMember(f"{node}: {error}") from None
    if (member.name, member.incarnation) != (name, incarnation):
        raise BadMember(f"{node}: it says {member.name}, incarnation {member.incarnation}")
    return member


class Present(NamedTuple):
    member: Member
    czxid: int  # when its node was made, in the store's order
    since: float  # seconds on the own clock


class Row(NamedTuple):
    """One line of the roll. `state`: living, leaving, silent, never seen, stranger. `since`: seconds ago."""

    name: str
    state: str
    since: float | None
    starts: int  # that were seen beyond the first
    member: Member | None


class Roll:
    """The expected ones told from the living, the silent, the restarted and the strangers. Times are seconds on the own
    monotonic clock."""

    def __init__(self, expected: tuple[str, ...], now: float) -> None:
        self.expect(expected)
        self.began = now
        self.read_at: float | None = None  # since when all that come and go are seen, None while they are not
        self.nodes: dict[str, Present] = {}  # by node
        self.highest: dict[str, int] = {}  # incarnation, of each name that was ever seen
        self.starts: dict[str, int] = {}  # seen beyond the first
        self.silent: dict[str, tuple[float, Member]] = {}  # since when, and what it last said
        self.there: dict[str, set[int]] = {}  # by name: incarnations that have a node
        self._living: dict[str, Present] | None = None  # as they follow from the above; None once that has changed
        self._order: list[str] | None = None
        self._addresses: list[str] | None = None

    def expect(self, names: tuple[str, ...]) -> None:
        self.expected, self.named = names, frozenset(names)
        self._changed()

    def _changed(self) -> None:
        self._living = self._order = self._addresses = None

    def appeared(self, node: str, member: Member, czxid: int, now: float) -> None:
        """A node was read, for the first time or again."""
        old = self.nodes.get(node)
        since = old.since if old is not None and old.czxid == czxid else now
        present = self.nodes[node] = Present(member, czxid, since)
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
            if self._living.get(member.name) is old:  # only counts have changed: most words do no more
                self._living[member.name] = present
            return
        self._changed()
        self.there.setdefault(member.name, set()).add(member.incarnation)
        known = self.highest.get(member.name)
        if known is not None and member.incarnation > known:
            self.starts[member.name] = self.starts.get(member.name, 0) + 1
        self.highest[member.name] = max(known or 0, member.incarnation)
        self.silent.pop(member.name, None)
        self._bound()

    def vanished(self, node: str, now: float) -> None:
        gone = self.nodes.pop(node, None)
        self._changed()
        if gone is not None:
            rest = self.there.get(gone.member.name, set())
            rest.discard(gone.member.incarnation)
            if not rest:
                self.there.pop(gone.member.name, None)
        if gone is not None and gone.member.name not in self._by_name():
            self.silent[gone.member.name] = now, gone.member
            self._bound()

    def _bound(self) -> None:
        """Guards against strangers without end: those longest silent are forgotten."""
        strangers = [name for name in self.highest if name not in self.named]
        for name in sorted(strangers, key=lambda name: self.silent.get(name, (float("inf"), None))[0]):
            if len(strangers) <= MOST_STRANGERS or name not in self.silent:
                break
            strangers.remove(name)
            for known in (self.highest, self.starts, self.silent):
                known.pop(name, None)

    def _by_name(self) -> dict[str, Present]:
        """Of each name the start that counts: the highest, where its node is there."""
        by_name = {}
        for present in self.nodes.values():
            name, incarnation = present.member.name, present.member.incarnation
            if incarnation == self.highest.get(name):
                by_name[name] = present
        return by_name

    def living(self) -> dict[str, Present]:
        """The expected ones whose last start is there."""
        if self._living is None:
            self._living = {name: present for name, present in self._by_name().items() if name in self.named}
        return self._living

    def away(self, now: float) -> dict[str, float]:
        """For how many seconds at the least each expected one that has no node, of whatever start, has had none. Guards
        against silence that is put together from before and after a time in which we saw nothing ourselves."""
        if self.read_at is None:
            return {}
        return {
            name: now - max(self.read_at, self.silent[name][0] if name in self.silent else self.read_at)
            for name in self.expected
            if name not in self.there
        }

    def order(self) -> list[str]:
        """The living, the longest there first: the first has the lead. It has no right that a compare-and-set does not
        give; the order spares the others the same work."""
        if self._order is None:
            self._order = sorted(living := self.living(), key=lambda name: living[name].czxid)
        return self._order

    def addresses(self) -> list[str]:
        """Where proxies may dial: the living that are not about to leave."""
        if self._addresses is None:
            living = [present.member for present in self.living().values()]
            self._addresses = sorted(each.address for each in living if each.address and each.state == "serving")
        return self._addresses

    def has_older(self, name: str, incarnation: int) -> bool:
        return any(each < incarnation for each in self.there.get(name, ()))

    def rows(self, now: float) -> list[Row]:
        by_name, rows = self._by_name(), []
        strangers = sorted(set(self.highest) - set(self.expected))
        for name in [*self.expected, *strangers]:
            starts = self.starts.get(name, 0)
            if name in by_name:
                present = by_name[name]
                state = "leaving" if present.member.state == "leaving" else "living"
                state = state if name in self.named else "stranger"
                rows.append(Row(name, state, now - present.since, starts, present.member))
            elif name in self.silent:
                since, member = self.silent[name]
                rows.append(Row(name, "silent", now - since, starts, member))
            elif name in self.named:
                rows.append(Row(name, "never seen", now - self.began, starts, None))
        return rows
