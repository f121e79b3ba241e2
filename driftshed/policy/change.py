"""Rules for a change of policy, from its proposal to its outcome: how a supervisor votes, when a committed version
becomes active, and what a supervisor may do while the outcome is in doubt. Free of I/O and of wall clocks; times are
seconds on the supervisor's own monotonic clock.

A change is one agreement record (`coordination/agreement.py`) that needs the vote of every expected supervisor except
those it names as gone (`despite`). So nothing can be committed without a supervisor's vote, unless that supervisor was
silent for long enough to be named."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from driftshed.coordination.hierarchy import propagation_bound
from driftshed.policy import document as policies
from driftshed.policy.document import BadDocument, Document

TOPIC = "policy"
RECORD_READ_S = 0.25  # upper limit for reading a record, as `activation_bound_s` counts it


class Change(Struct, frozen=True):
    """The body of a record.

    `version` counts the committed versions from 1. `text` is the canonical text of the document. `despite` names the
    supervisors whose vote is not needed. `undoes` is the version that this change reverts, 0 if it reverts none."""

    version: Annotated[int, Meta(ge=1)]
    digest: Annotated[str, Meta(max_length=64)]
    text: Annotated[str, Meta(max_length=policies.MAX_BYTES)]
    who: Annotated[str, Meta(min_length=1, max_length=64)]
    why: Annotated[str, Meta(max_length=512)] = ""
    despite: tuple[Annotated[str, Meta(max_length=64)], ...] = ()
    undoes: Annotated[int, Meta(ge=0)] = 0


class BadChange(ValueError):
    """The body of a record is not a valid change, or the change is not allowed; the message names the reason."""


def read_change(body: object) -> tuple[Change, Document]:
    """Decodes the body of a record; raises BadChange if it is malformed or its text does not match its digest."""
    try:
        change = msgspec.convert(body, Change)
        document = policies.parse_canonical(change.text)
    except (msgspec.ValidationError, BadDocument) as error:
        raise BadChange(str(error)) from None
    if policies.digest(document) != change.digest or policies.canonical(document) != change.text:
        raise BadChange(f"the text does not match digest {change.digest}: another build wrote it; update the older one")
    return change, document


def next_change(
    committed: Change | None, document: Document, who: str, why: str, despite: tuple[str, ...] = (), undoes: int = 0
) -> Change:
    """Returns the change to `document` as the next version; raises BadChange if it may not follow the committed one."""
    version = 1 if committed is None else committed.version + 1
    change = Change(version, policies.digest(document), policies.canonical(document), who, why, despite, undoes)
    check_succession(committed, change, document)
    return change


def check_succession(committed: Change | None, change: Change, document: Document) -> None:
    """Raises BadChange if `change` may not follow the committed version (None before the first)."""
    committed_version = 0 if committed is None else committed.version
    if change.version != committed_version + 1:
        raise BadChange(
            f"version {change.version} would follow {change.version - 1}; version {committed_version} is in force"
        )
    if committed is not None:
        if committed.digest == change.digest:
            raise BadChange(f"the document is already in force as version {committed_version}")
        problems = policies.disallowed_changes(policies.parse_canonical(committed.text), document)
        if problems:
            raise BadChange("; ".join(problems))
    problems = policies.unsatisfiable_requirements(document)
    if problems:
        raise BadChange("; ".join(problems))


def despite_silence_s(despite_after: float, drift: float) -> float:
    """Returns the seconds of silence after which a change may do without a supervisor's vote.

    By any clock within `drift` this is longer than the time for which that supervisor continues on its own."""
    return despite_after * (1 + 2 * drift)


def decide_vote(
    committed: Change | None,
    change: Change,
    document: Document,
    silent_s: dict[str, float | None],
    despite_after: float,
    drift: float,
    apply_error: str,
) -> tuple[bool, str]:
    """Returns a supervisor's vote on a change: whether it assents, and the reason for an objection.

    `silent_s`: by name, the seconds for which each other supervisor has been silent, None if it is alive.
    `despite_after`: that of the policy in force. `apply_error`: why the voter's own instance could not apply the
    document, or ""."""
    try:
        check_succession(committed, change, document)
    except BadChange as error:
        return False, str(error)
    for name in change.despite:
        silent = silent_s.get(name)
        if silent is None:
            return False, f"{name} is alive: its vote is needed"
        if silent < despite_silence_s(despite_after, drift):
            return (
                False,
                f"{name} has been silent for {silent:.0f} s only, and may go on by itself for {despite_after:g} s",
            )
    return (False, apply_error) if apply_error else (True, "")


class LocalKnowledge(NamedTuple):
    """What one supervisor knows of its lease and of the policy.

    `lease_holds`: the lease is valid and the initial read of the records is complete. `lease_until`: end of the last
    lease for which that was so. `in_doubt`: the supervisor has assented to a change whose outcome it has not read, or
    knows of one that does without its vote."""

    lease_holds: bool
    lease_until: float
    fenced: bool  # another incarnation of its name is registered, or it was named as gone
    in_doubt: bool
    behind: bool  # it has read a committed version that it cannot apply
    despite_after: float
    drift: float


def may_change_tables(known: LocalKnowledge, now: float) -> bool:
    """Whether a supervisor may make changes to its tables that the rules do not demand.

    Guards against two policies in force at a time. Past its lease, a supervisor that has assented to a change may have
    been overtaken at any moment; one that has not can be overtaken only after a silence long enough for others to
    commit without its vote."""
    if known.behind or known.fenced:
        return False
    if known.lease_holds:
        return True
    return not known.in_doubt and now < known.lease_until + known.despite_after * (1 - known.drift)


def activation_bound_s(timeout: float, ahead: float, drift: float, tiers: int = 1) -> float:
    """Returns the bound in seconds from the commit of a change until no two supervisors order by different versions.

    The holder of a lease has received an answer to a request sent less than a time-out ago, and with it the
    notification of the changed record if it had changed by then. Past its lease it is in doubt and freezes its tables.
    In a hierarchy the lease of the region and the validity of its last heartbeat add up, and each level reads the
    record."""
    lease_s = timeout * (1 + drift) if tiers == 1 else propagation_bound(timeout, drift)
    return lease_s + RECORD_READ_S * tiers + ahead


class ActivationSchedule:
    """The version that is active at a supervisor, and the committed one that is scheduled next."""

    def __init__(self) -> None:
        """Starts without an active version."""
        self.active: Change | None = None
        self.scheduled: tuple[Change, Document, float] | None = None  # and when it is due
        self.switched_at = float("-inf")

    def schedule(self, change: Change, document: Document, now: float, was_current: bool) -> None:
        """Schedules a committed change that was read at `now`; a change that is not newer is ignored.

        `was_current`: the supervisor was up to date when it read the change, so it waits for the document's `ahead`
        seconds as the others do. Otherwise the change is due at once."""
        due_at = now + (document.ahead if was_current else 0.0)
        if self.active is not None and change.version <= self.active.version:
            return
        if self.scheduled is None or change.version > self.scheduled[0].version:
            self.scheduled = change, document, due_at

    def take_due(self, now: float) -> tuple[Change, Document] | None:
        """Returns the change that is to be applied now and makes it the active one; None while none is due."""
        if self.scheduled is None or now < self.scheduled[2]:
            return None
        change, document, _ = self.scheduled
        self.active, self.scheduled, self.switched_at = change, None, now
        return change, document

    def active_version(self) -> int:
        """Returns the number of the active version, 0 before the first."""
        return 0 if self.active is None else self.active.version


def revert_proposal(
    committed: Change | None,
    previous: tuple[Change, Document] | None,
    faults: int,
    since_switch_s: float,
    guard_for: float,
) -> tuple[Document, str] | None:
    """Returns the document to propose, and why, after `faults` of the module within `guard_for` seconds of a switch.

    That is the document of the previous version, to be agreed on like any other change. None if there is no previous
    version, or if the committed version is itself a revert."""
    if not faults or since_switch_s > guard_for or committed is None or committed.undoes or previous is None:
        return None
    return (
        previous[1],
        f"the module raised under version {committed.version}: reverting to version {previous[0].version}",
    )
