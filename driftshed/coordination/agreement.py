"""Agreed records: their life, told by plain rules. Free of I/O, clocks and chance.

A topic has one record at a time. It is proposed, which takes the next epoch of the fleet; those that it names assent or
object, each once and for good; it is settled or voided by one compare-and-set on it, by anybody. What was settled last
stands until something newer is settled or it is ended. The store's order of these writes is the order of what was
agreed: nothing here goes by anybody's clock."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.structs import replace

MOST_BYTES = 65536  # of a record
MOST_RECORDS = 1024  # topics
MOST_NEEDS = 64
TOPIC = re.compile(r"[A-Za-z0-9_.:-]{1,96}")
Why = Annotated[str, Meta(max_length=1024)]


class Barred(ValueError):
    """What is asked of a record cannot be as things stand; the text says why."""


class Standing(Struct, frozen=True):
    """What was settled last. `binds_for`: seconds, None without end."""

    epoch: int
    token: str
    by: str
    body: object
    binds_for: float | None = None


class Record(Struct, frozen=True):
    """One topic. `token`: of the one proposal that made it, so that its writer knows it again after an answer that was
    lost. `quorum`: how many of `needs` must assent. `patience`: seconds that it may stay open, by whoever's clock."""

    topic: str
    epoch: Annotated[int, Meta(ge=1)]
    state: Literal["open", "ready", "refused", "settled", "void", "ended"]
    by: str
    token: str
    body: object
    needs: tuple[str, ...]
    quorum: Annotated[int, Meta(ge=1)]
    patience: Annotated[float, Meta(gt=0, le=86400)]
    binds_for: float | None = None
    standing: Standing | None = None
    why: Why = ""
    passed: bool = False  # its own proposal was settled; also told once what stood is ended
    # In tiers alone. `copied`: of a record of the fleet above, whose word ends it; `waits`: seconds of silence after
    # which one that is named counts as away, so that its word is not needed; `away`: who counted so in the end.
    copied: bool | UnsetType = UNSET
    waits: Annotated[float, Meta(ge=0)] | UnsetType = UNSET
    away: tuple[str, ...] | UnsetType = UNSET


class Ballot(Struct, frozen=True):
    """What one supervisor says of one epoch of a record, once and for good."""

    name: str
    epoch: int
    assent: bool
    why: Why = ""
    incarnation: int = 0


RECORDS, BALLOTS = msgspec.json.Decoder(Record), msgspec.json.Decoder(Ballot)


def write(thing: Record | Ballot) -> bytes:
    """Barred where it is larger than a record may be."""
    data = msgspec.json.encode(thing)
    if len(data) > MOST_BYTES:
        raise Barred(f"{len(data)} bytes, {MOST_BYTES} at the most: put less into it")
    return data


def read_record(topic: str, data: bytes) -> Record:
    """Barred where the data is no record of this topic."""
    try:
        record = RECORDS.decode(data[: MOST_BYTES + 1])
    except msgspec.DecodeError as error:
        raise Barred(f"{topic}: {error}") from None
    if record.topic != topic:
        raise Barred(f"{topic}: it is a record of {record.topic[:80]!r}")
    return record


def ballot_name(epoch: int, name: str) -> str:
    return f"{epoch}.{name}"


def read_ballot(node: str, data: bytes) -> Ballot:
    """Barred where the data is not the ballot that the node's name says."""
    try:
        ballot = BALLOTS.decode(data[: MOST_BYTES + 1])
    except msgspec.DecodeError as error:
        raise Barred(f"{node}: {error}") from None
    if ballot_name(ballot.epoch, ballot.name) != node:
        raise Barred(f"{node}: it is the word of {ballot.name[:64]} on {ballot.epoch}")
    return ballot


def pending(record: Record | None) -> bool:
    """Whether it is not known yet what becomes of a record: words are missing, or the word of the fleet above."""
    return record is not None and record.state in ("open", "ready", "refused")


def check(topic: str, needs: tuple[str, ...], quorum: int, patience: float) -> None:
    """Barred where a proposal like this could never be settled."""
    if not TOPIC.fullmatch(topic):
        raise Barred(f"{topic[:100]!r}: a topic of letters, digits and . : - _ is wanted, 96 at the most")
    if not needs or len(set(needs)) < len(needs) or len(needs) > MOST_NEEDS:
        raise Barred(f"{len(needs)} are named: 1 to {MOST_NEEDS}, each once")
    if not 1 <= quorum <= len(needs):
        raise Barred(f"{quorum} of {len(needs)} cannot assent")
    if not 0 < patience <= 86400:
        raise Barred(f"{patience} s of patience: above 0 and 86400 at the most")


def proposed(
    old: Record | None,
    topic: str,
    epoch: int,
    by: str,
    token: str,
    body: object,
    needs: tuple[str, ...],
    quorum: int,
    patience: float,
    binds_for: float | None = None,
    waits: float | UnsetType = UNSET,
) -> Record:
    """The record that a proposal makes of what is there. Barred while another proposal is open, or where the epoch
    would not rise."""
    check(topic, needs, quorum, patience)
    if pending(old):
        raise Barred(f"{topic}: epoch {old.epoch} of {old.by} is open")
    if old is not None and epoch <= old.epoch:
        raise Barred(f"{topic}: epoch {epoch} is not above {old.epoch}")
    standing = old.standing if old is not None else None
    return Record(topic, epoch, "open", by, token, body, needs, quorum, patience, binds_for, standing, waits=waits)


def copied(old: Record | None, above: Record, by: str, needs: tuple[str, ...]) -> Record | None:
    """What a fleet whose record is `old` is to hold of a record of the fleet above; None where `old` will do. What is
    open above is asked below; what ended above ends below, also where the word from below was not waited for."""
    if old is not None and old.epoch > above.epoch:
        return None
    if pending(above):
        if old is not None and old.epoch == above.epoch:
            return None
        return Record(
            above.topic,
            above.epoch,
            "open",
            by,
            above.token,
            above.body,
            needs,
            len(needs),
            above.patience,
            above.binds_for,
            above.standing,
            copied=True,
            waits=above.waits,
        )
    if old is None and above.standing is None:
        return None
    if old is not None and (old.epoch, old.state, old.standing) == (above.epoch, above.state, above.standing):
        return None
    if old is None or old.epoch < above.epoch:
        old = Record(
            above.topic,
            above.epoch,
            "open",
            by,
            above.token,
            above.body,
            needs,
            len(needs),
            above.patience,
            above.binds_for,
            copied=True,
            waits=above.waits,
        )
    return replace(old, state=above.state, standing=above.standing, passed=above.passed, why=above.why)


def word_above(record: Record | None, epoch: int) -> tuple[bool, str] | None:
    """The word of a fleet, in the fleet above it, on the record of an epoch: what its own copy came to, whoever gives
    it. None while that is open."""
    if record is None or record.epoch != epoch or record.state == "open":
        return None
    return record.state not in ("refused", "void"), record.why


def settled(record: Record) -> Record:
    _open(record)
    standing = Standing(record.epoch, record.token, record.by, record.body, record.binds_for)
    return replace(record, state="settled", standing=standing, passed=True)


def voided(record: Record, why: str) -> Record:
    """What stood before stands on. Guards against a copy taken for ended because somebody here objects: the fleet above
    may have done without the word from here, so it is refused until the end from above is known."""
    _open(record)
    return replace(record, state="void" if record.copied is UNSET else "refused", why=why[:1024])


def ended(record: Record, epoch: int, why: str) -> Record:
    """What was settled under this epoch binds no more. Barred where that is not what stands."""
    if record.standing is None or record.standing.epoch != epoch:
        stands = "nothing" if record.standing is None else f"epoch {record.standing.epoch}"
        raise Barred(f"{record.topic}: {stands} stands, not epoch {epoch}")
    if pending(record):
        raise Barred(f"{record.topic}: epoch {record.epoch} of {record.by} is open")
    return replace(record, state="ended", standing=None, why=why[:1024])


def _open(record: Record) -> None:
    if record.state != "open":
        raise Barred(f"{record.topic}: epoch {record.epoch} is {record.state}")


def outcome(record: Record, ballots: dict[str, Ballot], away: frozenset[str] = frozenset()) -> Record | UnsetType:
    """What the words that were given make of an open record; UNSET while they are too few. Words are for good, so what
    is read late or in part never brings another outcome than what is read whole. `away`: whose word is not needed. A
    copy that all assent to is ready: the fleet above has the last word."""
    words = [ballots[name] for name in record.needs if name in ballots and ballots[name].epoch == record.epoch]
    objections = [word for word in words if not word.assent]
    without = sorted(away & set(missing(record, ballots)))
    if len(words) - len(objections) + len(without) >= record.quorum:
        if without:
            record = replace(record, away=tuple(without))
        return settled(record) if record.copied is UNSET else replace(record, state="ready")
    if len(record.needs) - len(objections) < record.quorum:
        return voided(record, "; ".join(f"{word.name}: {word.why}" for word in objections))
    return UNSET


def missing(record: Record, ballots: dict[str, Ballot]) -> list[str]:
    """Whose word on an open record is not known."""
    return [name for name in record.needs if name not in ballots or ballots[name].epoch != record.epoch]


def impatient(record: Record, ballots: dict[str, Ballot]) -> Record:
    """An open record whose time is over."""
    return voided(record, f"no word within {record.patience:g} s from {', '.join(missing(record, ballots))}")


def newer(record: Record, than: Record | None) -> bool:
    """Whether a record that was read may take the place of the one that is held: what is seen of a topic only rises."""
    rank = ("open", "ready", "refused", "void", "settled", "ended")
    if than is None or record.epoch != than.epoch:
        return than is None or record.epoch > than.epoch
    return rank.index(record.state) >= rank.index(than.state)


def binds(record: Record, seen_for: float, drift: float) -> bool:
    """Whether anybody may still go by what the record says. `seen_for`: seconds since whoever asks first saw it as it
    is; others saw it later at the most by the drift of their clocks and may still hold to it."""
    if pending(record):
        return True
    standing = record.standing
    return standing is not None and (standing.binds_for is None or seen_for < standing.binds_for * (1 + 2 * drift))
