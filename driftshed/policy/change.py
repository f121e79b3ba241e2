"""A change of policy from its proposal to its end: the word on it, when it takes hold, and what a supervisor may do
while it cannot know. Free of I/O and of wall clocks; times are seconds on the own monotonic clock.

A change is one agreed record (`coordination/agreement.py`) that needs the word of every expected supervisor but those
that it names to be gone. So without my word nothing can be settled, unless I was away for long enough to be named."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from driftshed.coordination.tiers import everywhere
from driftshed.policy import document as policies
from driftshed.policy.document import BadDocument, Document

TOPIC = "policy"
ANSWER_AFTER = 0.25  # seconds that the reading of a record takes at the most, as the bound counts it


class Change(Struct, frozen=True):
    """The body of a record. `version`: counts those that were settled, from 1. `text`: canonical. `despite`:
    supervisors whose word it does without. `undoes`: the version that this one takes back, 0 if it is none."""

    version: Annotated[int, Meta(ge=1)]
    digest: Annotated[str, Meta(max_length=64)]
    text: Annotated[str, Meta(max_length=policies.MOST_BYTES)]
    who: Annotated[str, Meta(min_length=1, max_length=64)]
    why: Annotated[str, Meta(max_length=512)] = ""
    despite: tuple[Annotated[str, Meta(max_length=64)], ...] = ()
    undoes: Annotated[int, Meta(ge=0)] = 0


class BadChange(ValueError):
    """A record's body that is no change, or a change that cannot be; the text says why."""


def read_change(body: object) -> tuple[Change, Document]:
    try:
        change = msgspec.convert(body, Change)
        document = policies.parse(change.text)
    except (msgspec.ValidationError, BadDocument) as error:
        raise BadChange(str(error)) from None
    if policies.digest(document) != change.digest or policies.canonical(document) != change.text:
        raise BadChange(f"its text is not that of digest {change.digest}: another build wrote it; update the older one")
    return change, document


def next_change(
    standing: Change | None, document: Document, who: str, why: str, despite: tuple[str, ...] = (), undoes: int = 0
) -> Change:
    """The change that makes a document the next version; BadChange where it may not follow on what stands."""
    version = 1 if standing is None else standing.version + 1
    change = Change(version, policies.digest(document), policies.canonical(document), who, why, despite, undoes)
    follows(standing, change, document)
    return change


def follows(standing: Change | None, change: Change, document: Document) -> None:
    """BadChange where a change may not follow on what stands."""
    stands = 0 if standing is None else standing.version
    if change.version != stands + 1:
        raise BadChange(f"version {change.version} would follow on {change.version - 1}; version {stands} stands")
    if standing is not None:
        if standing.digest == change.digest:
            raise BadChange(f"it is what stands, version {stands}")
        found = policies.barred(policies.parse(standing.text), document)
        if found:
            raise BadChange("; ".join(found))
    found = policies.never_met(document)
    if found:
        raise BadChange("; ".join(found))


def waited_out(despite_after: float, drift: float) -> float:
    """Seconds that a supervisor must be seen away before a change may do without its word: longer by any clock than
    the time for which it goes on by itself."""
    return despite_after * (1 + 2 * drift)


def word(
    standing: Change | None,
    change: Change,
    document: Document,
    away: dict[str, float | None],
    despite_after: float,
    drift: float,
    cannot: str,
) -> tuple[bool, str]:
    """A supervisor's word. `away`: for how long each other supervisor has been silent, None where it lives;
    `despite_after`: of the policy that stands; `cannot`: why its own instance could not go by the document, or ""."""
    try:
        follows(standing, change, document)
    except BadChange as error:
        return False, str(error)
    for name in change.despite:
        silent = away.get(name)
        if silent is None:
            return False, f"{name} lives: ask for its word"
        if silent < waited_out(despite_after, drift):
            return False, f"{name} is silent for {silent:.0f} s only, and may go on by itself for {despite_after:g} s"
    return (False, cannot) if cannot else (True, "")


class Known(NamedTuple):
    """What one supervisor knows. `lease_holds`: and what stands is read whole; `lease_until`: of the last that did;
    `doubt`: it has assented to a change whose end it has not read, or knows of one that does without its word."""

    lease_holds: bool
    lease_until: float
    fenced: bool  # another start of its name is there, or it was named to be gone
    doubt: bool
    behind: bool  # a version that it has read to be settled is not the one that it goes by yet, and cannot be
    despite_after: float
    drift: float


def may_change_tables(known: Known, now: float) -> bool:
    """Whether a supervisor may order what the rules do not demand. Guards against two policies at a time: past its
    lease a supervisor that has assented may have been overtaken at any moment, and one that has not only after it was
    away for so long that others may have done without its word."""
    if known.behind or known.fenced:
        return False
    if known.lease_holds:
        return True
    return not known.doubt and now < known.lease_until + known.despite_after * (1 - known.drift)


def everywhere_within(timeout: float, ahead: float, drift: float, tiers: int = 1) -> float:
    """Seconds from the settling of a change until no two supervisors' orders rest on different versions. Whoever holds
    a lease has had an answer to what it sent less than a time-out ago, and with it the word that the record changed if
    it had changed by then; past its lease it is in doubt and holds still. In tiers the region's lease and what its last
    beat proves come one after the other, and each tier reads."""
    lasts = timeout * (1 + drift) if tiers == 1 else everywhere(timeout, drift)
    return lasts + ANSWER_AFTER * tiers + ahead


class Course:
    """Which version a supervisor goes by, and which one next."""

    def __init__(self) -> None:
        self.runs: Change | None = None
        self.next: tuple[Change, Document, float] | None = None  # and when
        self.switched_at = float("-inf")

    def settled(self, change: Change, document: Document, now: float, started: bool) -> None:
        """What stands was read. One that was not there when it was settled goes by it at once."""
        due = now + (document.ahead if started else 0.0)
        if self.runs is not None and change.version <= self.runs.version:
            return
        if self.next is None or change.version > self.next[0].version:
            self.next = change, document, due

    def due(self, now: float) -> tuple[Change, Document] | None:
        """The change to be made now, once."""
        if self.next is None or now < self.next[2]:
            return None
        change, document, _ = self.next
        self.runs, self.next, self.switched_at = change, None, now
        return change, document

    def version(self) -> int:
        return 0 if self.runs is None else self.runs.version


def undoing(
    standing: Change | None, last: tuple[Change, Document] | None, faults: int, since: float, guard_for: float
) -> tuple[Document, str] | None:
    """What is to be proposed after faults of the module within `guard_for` seconds of a switch: the last good version,
    by the same way. None where there is none, or what stands is itself one that took another back."""
    if not faults or since > guard_for or standing is None or standing.undoes or last is None:
        return None
    return last[1], f"the module raised under version {standing.version}: back to what version {last[0].version} says"
