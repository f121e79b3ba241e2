"""State machine of agreed records. No I/O, clocks or randomness.

A topic has one record at a time. A proposal allocates the next epoch of the fleet; each named voter assents or objects
once, irrevocably; any supervisor then commits or aborts the record with one compare-and-set. The value committed last
stays in force until a newer one is committed or it is ended. The store's write order is the order of agreement; no rule
here depends on a clock."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.structs import replace

MAX_RECORD_BYTES = 65536  # of a record
MAX_TOPICS = 1024  # topics, each with one record
MAX_VOTERS = 64
TOPIC_NAME = re.compile(r"[A-Za-z0-9_.:-]{1,96}")
Reason = Annotated[str, Meta(max_length=1024)]


class RecordError(ValueError):
    """An operation that the state of a record does not allow, or malformed data; the message gives the reason."""


class CommittedValue(Struct, frozen=True):
    """The value committed last. `binds_for`: validity in seconds, None for unlimited."""

    epoch: int
    token: str
    by: str
    body: object
    binds_for: float | None = None


class Record(Struct, frozen=True):
    """The record of one topic. `token` identifies the proposal that created it, so that its writer recognises it after
    a lost answer. `quorum`: how many of the voters in `needs` must assent. `patience`: proposal timeout in seconds,
    measured on the clock of whoever evaluates it."""

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
    standing: CommittedValue | None = None
    why: Reason = ""
    passed: bool = False  # its own proposal was committed; stays set after the committed value is ended
    # Hierarchies only. `copied`: replicated from the parent fleet, whose decision ends it; `waits`: seconds of silence
    # after which a voter counts as absent, so that its vote is not needed; `away`: the voters counted as absent.
    copied: bool | UnsetType = UNSET
    waits: Annotated[float, Meta(ge=0)] | UnsetType = UNSET
    away: tuple[str, ...] | UnsetType = UNSET


class Vote(Struct, frozen=True):
    """The irrevocable vote of one supervisor on one epoch of a record."""

    name: str
    epoch: int
    assent: bool
    why: Reason = ""
    incarnation: int = 0


RECORD_DECODER, VOTE_DECODER = msgspec.json.Decoder(Record), msgspec.json.Decoder(Vote)


def encode(message: Record | Vote) -> bytes:
    """Encodes a record or a vote as JSON. Raises RecordError above MAX_RECORD_BYTES."""
    data = msgspec.json.encode(message)
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(f"{len(data)} bytes, {MAX_RECORD_BYTES} at the most: put less into it")
    return data


def decode_record(topic: str, data: bytes) -> Record:
    """Decodes the record of a topic. Raises RecordError for malformed data and for a record of another topic."""
    try:
        record = RECORD_DECODER.decode(data[: MAX_RECORD_BYTES + 1])
    except msgspec.DecodeError as error:
        raise RecordError(f"{topic}: {error}") from None
    if record.topic != topic:
        raise RecordError(f"{topic}: the node holds a record of {record.topic[:80]!r}")
    return record


def vote_node_name(epoch: int, name: str) -> str:
    """Name of the store node with the vote of one supervisor on one epoch."""
    return f"{epoch}.{name}"


def read_vote(node: str, data: bytes) -> Vote:
    """Decodes a vote. Raises RecordError for malformed data and where the vote does not match its node name."""
    try:
        vote = VOTE_DECODER.decode(data[: MAX_RECORD_BYTES + 1])
    except msgspec.DecodeError as error:
        raise RecordError(f"{node}: {error}") from None
    if vote_node_name(vote.epoch, vote.name) != node:
        raise RecordError(f"{node}: the node holds the vote of {vote.name[:64]} on epoch {vote.epoch}")
    return vote


def pending(record: Record | None) -> bool:
    """Whether a record is undecided: votes are missing, or the decision of the parent fleet is."""
    return record is not None and record.state in ("open", "ready", "refused")


def check_proposal(topic: str, voters: tuple[str, ...], quorum: int, proposal_timeout: float) -> None:
    """Validates the parameters of a proposal; raises RecordError where it could never be committed."""
    if not TOPIC_NAME.fullmatch(topic):
        raise RecordError(f"{topic[:100]!r}: a topic must be 1 to 96 letters, digits, . : - or _")
    if not voters or len(set(voters)) < len(voters) or len(voters) > MAX_VOTERS:
        raise RecordError(f"{len(voters)} voters: name 1 to {MAX_VOTERS}, each once")
    if not 1 <= quorum <= len(voters):
        raise RecordError(f"{quorum} of {len(voters)} cannot assent")
    if not 0 < proposal_timeout <= 86400:
        raise RecordError(f"{proposal_timeout} s of patience: must be above 0 and at most 86400")


def proposed_record(
    old: Record | None,
    topic: str,
    epoch: int,
    by: str,
    token: str,
    body: object,
    voters: tuple[str, ...],
    quorum: int,
    proposal_timeout: float,
    valid_for: float | None = None,
    absence_timeout: float | UnsetType = UNSET,
) -> Record:
    """Returns the record that a proposal writes over `old`. Raises RecordError while another proposal is open, or where
    the epoch would not rise."""
    check_proposal(topic, voters, quorum, proposal_timeout)
    if pending(old):
        raise RecordError(f"{topic}: epoch {old.epoch} of {old.by} is open")
    if old is not None and epoch <= old.epoch:
        raise RecordError(f"{topic}: epoch {epoch} is not higher than {old.epoch}")
    committed = old.standing if old is not None else None
    return Record(
        topic,
        epoch,
        "open",
        by,
        token,
        body,
        voters,
        quorum,
        proposal_timeout,
        valid_for,
        committed,
        waits=absence_timeout,
    )


def replicated(old: Record | None, parent: Record, by: str, voters: tuple[str, ...]) -> Record | None:
    """Returns what a fleet whose record is `old` must store for a record of its parent fleet; None where `old` is up to
    date. A record open in the parent is put to the vote here; one decided in the parent is decided here, even if the
    parent did not wait for this fleet's vote."""
    if old is not None and old.epoch > parent.epoch:
        return None
    if pending(parent):
        if old is not None and old.epoch == parent.epoch:
            return None
        return Record(
            parent.topic,
            parent.epoch,
            "open",
            by,
            parent.token,
            parent.body,
            voters,
            len(voters),
            parent.patience,
            parent.binds_for,
            parent.standing,
            copied=True,
            waits=parent.waits,
        )
    if old is None and parent.standing is None:
        return None
    if old is not None and (old.epoch, old.state, old.standing) == (parent.epoch, parent.state, parent.standing):
        return None
    if old is None or old.epoch < parent.epoch:
        old = Record(
            parent.topic,
            parent.epoch,
            "open",
            by,
            parent.token,
            parent.body,
            voters,
            len(voters),
            parent.patience,
            parent.binds_for,
            copied=True,
            waits=parent.waits,
        )
    return replace(old, state=parent.state, standing=parent.standing, passed=parent.passed, why=parent.why)


def vote_for_parent(record: Record | None, epoch: int) -> tuple[bool, str] | None:
    """The vote (assent, why) of a fleet in its parent fleet: the outcome of its own replica of that epoch, whichever
    delegate casts it. None while the replica is open."""
    if record is None or record.epoch != epoch or record.state == "open":
        return None
    return record.state not in ("refused", "void"), record.why


def committed(record: Record) -> Record:
    """Returns the record committed, with its own body as the value in force. Raises RecordError unless it is open."""
    _require_open(record)
    committed = CommittedValue(record.epoch, record.token, record.by, record.body, record.binds_for)
    return replace(record, state="settled", standing=committed, passed=True)


def aborted(record: Record, why: str) -> Record:
    """Returns the record aborted; the value in force before stays. Raises RecordError unless it is open.

    A replica becomes refused instead, until the parent's decision is known: the parent may have decided without this
    fleet's vote, so an objection here does not end the record."""
    _require_open(record)
    return replace(record, state="void" if record.copied is UNSET else "refused", why=why[:1024])


def ended(record: Record, epoch: int, why: str) -> Record:
    """Returns the record with the value committed under this epoch revoked. Raises RecordError where another value or
    none is in force, and while a proposal is open."""
    if record.standing is None or record.standing.epoch != epoch:
        in_force = "nothing" if record.standing is None else f"epoch {record.standing.epoch}"
        raise RecordError(f"{record.topic}: {in_force} is in force, not epoch {epoch}")
    if pending(record):
        raise RecordError(f"{record.topic}: epoch {record.epoch} of {record.by} is open")
    return replace(record, state="ended", standing=None, why=why[:1024])


def _require_open(record: Record) -> None:
    if record.state != "open":
        raise RecordError(f"{record.topic}: epoch {record.epoch} is {record.state}")


def outcome(record: Record, votes: dict[str, Vote], absent: frozenset[str] = frozenset()) -> Record | UnsetType:
    """Returns the decided record that the votes lead to; UNSET while there are too few. Votes are irrevocable, so a
    late or partial read never leads to another outcome than a complete one. `absent`: voters whose vote is not needed.
    A replica that all assent to becomes ready: the parent fleet decides."""
    cast = [votes[name] for name in record.needs if name in votes and votes[name].epoch == record.epoch]
    objections = [vote for vote in cast if not vote.assent]
    not_needed = sorted(absent & set(missing_votes(record, votes)))
    if len(cast) - len(objections) + len(not_needed) >= record.quorum:
        if not_needed:
            record = replace(record, away=tuple(not_needed))
        return committed(record) if record.copied is UNSET else replace(record, state="ready")
    if len(record.needs) - len(objections) < record.quorum:
        return aborted(record, "; ".join(f"{vote.name}: {vote.why}" for vote in objections))
    return UNSET


def missing_votes(record: Record, votes: dict[str, Vote]) -> list[str]:
    """Voters whose vote on an open record is not known."""
    return [name for name in record.needs if name not in votes or votes[name].epoch != record.epoch]


def timed_out(record: Record, votes: dict[str, Vote]) -> Record:
    """Returns an open record aborted because its proposal timeout has passed."""
    return aborted(record, f"no word within {record.patience:g} s from {', '.join(missing_votes(record, votes))}")


def newer(record: Record, held: Record | None) -> bool:
    """Whether a record that was read may replace the one held: the observed state of a topic only advances."""
    rank = ("open", "ready", "refused", "void", "settled", "ended")
    if held is None or record.epoch != held.epoch:
        return held is None or record.epoch > held.epoch
    return rank.index(record.state) >= rank.index(held.state)


def is_valid(record: Record, observed_for: float, drift: float) -> bool:
    """Whether any supervisor may still act on the record. `observed_for`: seconds since the caller first read it in
    this state; others, whose clocks differ by up to `drift`, may still act on it for that much longer."""
    if pending(record):
        return True
    committed = record.standing
    return committed is not None and (
        committed.binds_for is None or observed_for < committed.binds_for * (1 + 2 * drift)
    )
