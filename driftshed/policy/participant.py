"""A supervisor's participation in changes of policy: votes on proposals and stores those it assents to, switches to a
committed version when it is due, and freezes the tables while it cannot know which version is in force."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, Struct

from driftshed.coordination import agreement
from driftshed.coordination.agent import Agent, Proposal
from driftshed.core.hub import Refused
from driftshed.evacuation.stages import read_limits
from driftshed.net.loop import Timers
from driftshed.policy import document as policies
from driftshed.policy.change import (
    TOPIC,
    ActivationSchedule,
    BadChange,
    Change,
    LocalKnowledge,
    activation_bound_s,
    decide_vote,
    despite_silence_s,
    may_change_tables,
    next_change,
    read_change,
    revert_proposal,
)
from driftshed.policy.document import BadDocument, Document
from driftshed.policy.store import PolicyStore, PolicyStoreError, StoredVersion
from driftshed.roster.announce import RegistrationState
from driftshed.supervisor.service import Service

CHECK_INTERVAL_S = 0.1  # seconds between two checks of the records, the lease and the module
PROPOSAL_TIMEOUT_S = 10.0  # how long a proposal waits for votes
DEFAULT_DESPITE_AFTER_S = 60.0  # in a fleet without a policy
MAX_SEEN_EPOCHS = 64  # epochs for which the time of the first sight is retained


class PolicyRequest(Struct, forbid_unknown_fields=True):
    """An operator's request: `propose` a document (TOML), `revert` to a version, or `abort` the open proposal.

    `patience` is the proposal timeout in seconds."""

    what: str
    who: Annotated[str, Meta(min_length=1, max_length=64)]
    text: Annotated[str, Meta(max_length=4 * policies.MAX_BYTES)] = ""
    version: Annotated[int, Meta(ge=0)] = 0
    why: Annotated[str, Meta(max_length=512)] = ""
    despite: list[Annotated[str, Meta(max_length=64)]] = []
    patience: Annotated[float, Meta(ge=0.1, le=3600)] = PROPOSAL_TIMEOUT_S


class PolicyParticipant:
    """Connects policies to an agent, a service and its instance; without one, policies are off.

    `document` is the active one, and `apply_error` says why the committed version cannot be applied here, "" if it
    can."""

    def __init__(
        self,
        loop: Timers,
        service: Service,
        agent: Agent,
        store: PolicyStore,
        log: Callable[..., object] = lambda event, **fields: None,
        unix: Callable[[], float] = time.time,
    ) -> None:
        """Installs its callbacks in the agent, the service and the instance, in front of those that are there.

        `unix()` returns the wall clock in seconds, which only the history uses."""
        self.loop, self.service, self.agent, self.store, self.log, self.unix = loop, service, agent, store, log, unix
        self.instance, self.schedule = service.instance, ActivationSchedule()
        self.document: Document | None = None  # the active one
        self.previous: tuple[Change, Document] | None = None  # the version that was active before
        self.faults_at_switch, self.undone_version = 0, 0
        self.undo_at: float | None = None  # when to propose the revert of a policy under which the module raises
        self.was_frozen, self.lease_until = False, float("-inf")
        self.initial_read_complete = False  # whether the committed version was ever read
        self.apply_error = ""
        self.first_seen: dict[int, float] = {}  # by epoch, on the own clock
        self.assented = {stored.epoch: stored for stored in store.assented()}
        self.latest_committed = store.latest_committed()
        self.proposal: Proposal | None = None
        self.last_record: agreement.Record | None = None
        previous_judge, previous_on_record, previous_waits = agent.vote_on, agent.on_record, service.not_ready_reason
        agent.vote_on = lambda record: self._vote(record) if record.topic == TOPIC else previous_judge(record)
        agent.on_record = lambda record: (previous_on_record(record), self._handle_record(record))
        service.not_ready_reason = lambda: previous_waits() or self._join_refusal()
        self.instance.tables_frozen = lambda: self._tables_frozen()
        service.views["policy"] = self.view
        service.actions["policy"] = (PolicyRequest, self.handle_request)
        self._tick()

    # ---- the committed version --------------------------------------------------------------------------------

    def committed_change(self) -> Change | None:
        """Returns the committed change as last read, None if there is none or it is malformed."""
        return self._parse_committed(self.agent.committed_value(TOPIC))

    def _parse_committed(self, committed: agreement.CommittedValue | None) -> Change | None:
        try:
            return None if committed is None else read_change(committed.body)[0]
        except BadChange:
            return None

    def _join_refusal(self) -> str:
        """Why no proxy may join now, or "".

        Guards against a first table under a superseded policy, and against proxies that join a supervisor that may not
        change their tables: they connect to another."""
        if not self.initial_read_complete:
            return "the policy in force is not read yet; join another, or come back soon"
        return (
            "its tables are frozen until it knows which policy is in force; join another"
            if self._tables_frozen()
            else ""
        )

    def _in_doubt(self) -> bool:
        """Whether a change may be committed unnoticed here: it is assented to already, or needs no vote of this one."""
        topic = self.agent.topics.get(TOPIC)
        record = topic.record if topic is not None else None
        pending_without_vote = agreement.pending(record) and self.agent.name not in record.needs
        return bool(self.assented) or pending_without_vote or self.agent.is_undecided(TOPIC)

    def _despite_after(self) -> float:
        return DEFAULT_DESPITE_AFTER_S if self.document is None else self.document.despite_after

    def _tables_frozen(self) -> bool:
        due = self.schedule.scheduled is not None and (
            self.schedule.active is None or self.loop.clock() >= self.schedule.scheduled[2]
        )
        if not self.initial_read_complete or due:
            # The committed version comes before the next order, also in a process that was stopped when it was due.
            return True
        despite_after = self._despite_after()
        if lease_holds := self.agent.may_act() and self.agent.records.complete:
            self.lease_until = self.agent.may_act_until()
        fenced = self.agent.registration.state is RegistrationState.FENCED
        known = LocalKnowledge(
            lease_holds,
            self.lease_until,
            fenced,
            self._in_doubt(),
            bool(self.apply_error),
            despite_after,
            self.agent.lease.drift,
        )
        return not may_change_tables(known, self.loop.clock())

    def _handle_record(self, record: agreement.Record) -> None:
        """Handles a record that was read, or evaluates again the one that was last read."""
        if record.topic != TOPIC:
            return
        self.last_record = record
        self.first_seen.setdefault(record.epoch, self.loop.clock())
        while len(self.first_seen) > MAX_SEEN_EPOCHS:
            del self.first_seen[min(self.first_seen)]
        committed = record.standing
        if committed is not None:
            self._handle_committed(committed)
        for epoch, stored in list(self.assented.items()):
            ended = epoch < record.epoch or not agreement.pending(record)
            if ended and (committed is None or epoch != committed.epoch):
                self._store_version(stored._replace(state="void"))
                del self.assented[epoch]

    def _handle_committed(self, committed: agreement.CommittedValue) -> None:
        """Stores a committed value that was read, and schedules the switch to it."""
        try:
            change, document = read_change(committed.body)
        except BadChange as error:
            self._set_apply_error(f"the committed version cannot be read here: {error}")
            return
        if self.latest_committed is not None and change.version < self.latest_committed.version:
            # Guards against a store that was restored from an old copy: it returns nobody to an older version.
            self._set_apply_error(
                f"the store has version {change.version}, and {self.latest_committed.version} was committed: restore "
                "it from a newer copy"
            )
            return
        if change.version > self.schedule.active_version() and (
            self.schedule.scheduled is None or change.version > self.schedule.scheduled[0].version
        ):
            reason = self._unsupported_reason(document)
            if reason:
                self._set_apply_error(
                    f"version {change.version} is in force, and this supervisor cannot apply it: {reason}"
                )
                return
            # Guards against using the old version for `ahead` seconds more after an absence, or after a time in which
            # the new one could not be applied: elsewhere that time is over.
            was_current = self.initial_read_complete and not self.apply_error and self.loop.clock() < self.lease_until
            self.schedule.schedule(change, document, self.loop.clock(), was_current=was_current)
            self.loop.at(self.schedule.scheduled[2], self._switch)
        if self.latest_committed is None or self.latest_committed.epoch != committed.epoch:
            took = self.loop.clock() - self.first_seen.get(committed.epoch, self.loop.clock())
            names = ",".join(self._voters(change))
            self.latest_committed = self._stored_version(committed.epoch, change, "settled")._replace(
                took=took, assents=names
            )
            self._store_version(self.latest_committed)
        self.assented.pop(committed.epoch, None)
        self.initial_read_complete, self.apply_error = True, ""

    def _set_apply_error(self, why: str) -> None:
        if why != self.apply_error:
            self.log("policy_cannot", level="error", why=why)
        self.initial_read_complete, self.apply_error = True, why

    def _unsupported_reason(self, document: Document) -> str:
        """Why this supervisor could not apply a document in its present state, or ""."""
        try:
            facts = self._start_facts(document)
        except BadDocument as error:
            return str(error)
        evacuation = getattr(self.agent, "evacuation", None)
        if evacuation is not None:
            document_regions = {name: sorted(zones) for name, zones in document.regions.items() if len(zones) > 1}
            own_regions = {
                place.name: sorted(self.instance.facts.zones[zone] for zone in place.zones)
                for place in evacuation.places
                if len(place.zones) > 1
            }
            if own_regions != document_regions:
                return f"regions: {own_regions} here, {document_regions} there; they are fixed at a start"
        return self.instance.check_switch(facts)

    def _start_facts(self, document: Document):
        facts = self.instance.facts
        return policies.start_facts(document, facts.own_number, facts.supervisors)

    def _voters(self, change: Change) -> tuple[str, ...]:
        """The supervisors whose votes a change needs."""
        return tuple(name for name in self.agent.membership.expected if name not in change.despite)

    def _stored_version(self, epoch: int, change: Change, state: str) -> StoredVersion:
        fields = change.version, epoch, state, change.digest, change.text, change.who, change.why
        return StoredVersion(*fields, self.unix(), 0.0, "")

    def _store_version(self, stored: StoredVersion) -> None:
        """Stores a version; a failure is only logged here, since the fleet's store has the committed version."""
        try:
            self.store.put(stored)
        except PolicyStoreError as error:
            self.log("policy_not_kept", level="error", why=str(error))

    # ---- periodic checks --------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self.loop.after(CHECK_INTERVAL_S, self._tick)
        if self.agent.records.complete and self.agent.holds_lease():
            topic = self.agent.topics.get(TOPIC)
            if (
                topic is not None
                and topic.record is not None
                and (self.apply_error or topic.record is not self.last_record)
            ):
                self._handle_record(topic.record)
            if topic is None or topic.record is None or topic.record.standing is None:
                if self.latest_committed is not None:
                    self._set_apply_error(
                        f"the store has no policy, and version {self.latest_committed.version} was committed: "
                        "restore it"
                    )
                else:
                    self.initial_read_complete, self.apply_error = True, ""
        self._switch()
        frozen = self._tables_frozen()
        if frozen != self.was_frozen:
            self.log("tables_hold_still" if frozen else "tables_may_change", level="warning" if frozen else "info")
            self.was_frozen = frozen
            self.service.schedule_turn()
        self._revert_on_faults()

    def _switch(self) -> None:
        previous, due = self.schedule.active, self.schedule.take_due(self.loop.clock())
        if due is None:
            return
        change, document = due
        if previous is not None and not change.undoes:
            self.previous = previous, self.document
        self.instance.switch(self._start_facts(document), change.version, self.loop.clock())
        self.document, self.faults_at_switch, self.undo_at = document, self.instance.faults, None
        evacuation = getattr(self.agent, "evacuation", None)
        if evacuation is not None:
            evacuation.limits = read_limits(policies.limits_text(document))
        self.agent.publish(policy=change.version)
        self.agent.evaluate()
        self.log("policy", version=change.version, digest=change.digest, undoes=change.undoes)
        self.service.schedule_turn()

    def _revert_on_faults(self) -> None:
        """Proposes to revert a policy under which the module raised; the fleet agrees on it as on any other change."""
        if self.document is None or self.instance.faults == self.faults_at_switch or self.agent.is_open(TOPIC):
            return
        since_switch_s, committed = self.loop.clock() - self.schedule.switched_at, self.committed_change()
        revert = revert_proposal(
            committed,
            self.previous,
            self.instance.faults - self.faults_at_switch,
            since_switch_s,
            self.document.guard_for,
        )
        if revert is None or self.undone_version == committed.version or not self.agent.holds_lease():
            return
        if self.undo_at is None:
            self.undo_at = self.loop.clock() + self.agent.proposal_backoff(self.document.guard_for / 2)
        if self.loop.clock() < self.undo_at:
            return
        self.undone_version = committed.version
        document, why = revert
        self.log("policy_taken_back", level="error", version=committed.version, why=why)
        try:
            self._propose(
                next_change(committed, document, self.agent.name, why, undoes=committed.version), PROPOSAL_TIMEOUT_S
            )
        except (BadChange, agreement.RecordError) as error:
            self.log("policy_not_taken_back", level="error", why=str(error))

    # ---- votes and proposals ----------------------------------------------------------------------------------

    def _silent_durations(self) -> dict[str, float | None]:
        """By name, the seconds for which each expected supervisor has been silent; None if it is alive."""
        membership, now = self.agent.membership, self.loop.clock()
        living, silent = membership.living(), membership.absent_for(now)
        return {name: None if name in living else silent.get(name, 0.0) for name in membership.expected}

    def _vote(self, record: agreement.Record) -> tuple[bool, str] | None:
        if record.epoch in self.assented:
            return True, ""
        try:
            change, document = read_change(record.body)
        except BadChange as error:
            return False, str(error)
        despite_after = self._despite_after()
        required_silence_s = despite_silence_s(despite_after, self.agent.lease.drift)
        if self.agent.levels > 1 and (record.waits is UNSET or record.waits < required_silence_s - 1e-9):
            return (
                False,
                f"it waits less than the {required_silence_s:g} s for which silent supervisors may go on by themselves",
            )
        if self.agent.levels > 1 and self.schedule.scheduled is not None and not self.apply_error:
            # It votes once it has applied the committed version: one that returns delays nobody.
            return None
        apply_error = self.apply_error or (
            "" if self.schedule.scheduled is None else "it is about to switch to another version"
        )
        assent, why = decide_vote(
            self._parse_committed(record.standing),
            change,
            document,
            self._silent_durations(),
            despite_after,
            self.agent.lease.drift,
            apply_error or self._unsupported_reason(document),
        )
        if assent:
            stored = self._stored_version(record.epoch, change, "assented")
            try:
                self.store.put(stored)
            except PolicyStoreError as error:
                return False, f"it cannot be stored here: {error}"
            self.assented[record.epoch] = stored
        self.log("policy_word", version=change.version, assent=assent, why=why)
        return assent, why

    def _propose(self, change: Change, proposal_timeout: float) -> None:
        voters = self._voters(change)
        required_silence_s = (
            despite_silence_s(self._despite_after(), self.agent.lease.drift) if self.agent.levels > 1 else UNSET
        )
        self.proposal = self.agent.propose(
            TOPIC,
            msgspec.to_builtins(change),
            voters,
            len(voters),
            proposal_timeout,
            self._proposal_ended,
            absence_timeout=required_silence_s,
        )

    def _proposal_ended(self, proposal: Proposal) -> None:
        self.log("policy_ended", state=proposal.state, epoch=proposal.epoch, why=proposal.why)

    # ---- requests of an operator ------------------------------------------------------------------------------

    def handle_request(self, request: PolicyRequest) -> dict:
        """Proposes a change, or withdraws the open proposal; raises Refused if that is not possible."""
        if request.what == "abort":
            if self.proposal is None or self.proposal.state not in ("waiting", "open"):
                raise Refused(409, "no proposal of this supervisor is open: ask the one that proposed it")
            self.agent.withdraw(TOPIC, self.proposal, f"aborted by {request.who}")
            return {"aborted": self.proposal.epoch}
        if request.what not in ("propose", "revert"):
            raise Refused(400, f"{request.what[:32]!r}: propose, revert or abort is wanted")
        committed = self.committed_change()
        try:
            document = (
                policies.read_toml(request.text)
                if request.what == "propose"
                else self._stored_document(request.version)
            )
            change = next_change(committed, document, request.who, request.why, tuple(request.despite))
        except BadDocument as error:
            raise Refused(400, str(error)) from None
        except BadChange as error:
            raise Refused(409, str(error)) from None
        if request.despite and self.agent.levels > 1:
            raise Refused(
                400, "in tiers no vote is needed of those that are silent for long enough: leave --despite out"
            )
        unknown = [
            name for name in request.despite if name not in self.agent.membership.expected or name == self.agent.name
        ]
        if unknown:
            raise Refused(400, f"{', '.join(unknown)}: not another supervisor of this fleet")
        if not self.agent.holds_lease():
            raise Refused(503, "this supervisor has no lease; ask another, or wait for the store")
        if self.agent.is_open(TOPIC) or (self.proposal is not None and self.proposal.state in ("waiting", "open")):
            topic = self.agent.topics.get(TOPIC)
            record = topic.record if topic is not None else None
            proposer = record.by if agreement.pending(record) else self.agent.name
            raise Refused(409, f"a change of {proposer} is open: wait for it, or abort it")
        # Guards against a supervisor that is named as gone but was only stopped: when it resumes, it is fenced.
        for name in request.despite:
            self.agent.fence_name(name)
        try:
            self._propose(change, request.patience)
        except agreement.RecordError as error:
            raise Refused(400, str(error)) from None
        previous_document = None if committed is None else policies.parse_canonical(committed.text)
        return {
            "version": change.version,
            "digest": change.digest,
            "token": self.proposal.token,
            "difference": policies.difference(previous_document, document),
        }

    def _stored_document(self, version: int) -> Document:
        stored = self.store.find_committed(version)
        if stored is None:
            raise BadDocument(f"version {version} is not stored here: `policy history` shows those that are")
        return policies.parse_canonical(stored.text)

    def view(self) -> dict:
        """Returns the state of the policy as this supervisor has it, for `driftshed policy`."""
        topic, committed = self.agent.topics.get(TOPIC), self.committed_change()
        record = topic.record if topic is not None else None
        open_view = None
        if record is not None and record.state == "open":
            open_view = {
                "epoch": record.epoch,
                "by": record.by,
                "missing": agreement.missing_votes(record, topic.votes),
                "words": list(topic.votes.values()),
            }
        ahead = self.document.ahead if self.document is not None else 0.0
        proposal = self.proposal
        return {
            "by": self.agent.name,
            "runs": self.schedule.active_version(),
            "holds_still": self._tables_frozen(),
            "cannot": self.apply_error,
            "known": self.initial_read_complete,
            "standing": committed,
            "open": open_view,
            "next": None if self.schedule.scheduled is None else self.schedule.scheduled[0].version,
            "last_proposal": None
            if proposal is None
            else {"token": proposal.token, "state": proposal.state, "why": proposal.why, "epoch": proposal.epoch},
            "everywhere_within": activation_bound_s(
                self.agent.timeout, ahead, self.agent.lease.drift, self.agent.levels
            ),
            "members": {
                row.name: [row.state, row.member.policy if row.member else None]
                for row in self.agent.membership.rows(self.loop.clock())
            },
            "history": [stored._asdict() for stored in self.store.history()],
            **self.agent.fleet_summary(),
        }
