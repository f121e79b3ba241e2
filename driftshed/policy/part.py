"""A supervisor's part in changes of policy: keeps what it assents to, gives its word, switches at the moment, holds
still where it cannot know what stands."""

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
    BadChange,
    Change,
    Course,
    Known,
    everywhere_within,
    may_change_tables,
    next_change,
    read_change,
    undoing,
    waited_out,
    word,
)
from driftshed.policy.document import BadDocument, Document
from driftshed.policy.keep import BadKeep, Keep, Kept
from driftshed.roster.announce import Standing
from driftshed.supervisor.service import Service

LOOK_EVERY = 0.1  # seconds between looks at what may be done
PATIENCE = 10.0  # seconds that a change waits for words
DESPITE_AFTER = 60.0  # seconds; of a fleet that has no policy yet
MOST_SEEN = 64  # epochs whose first sight is remembered


class Asked(Struct, forbid_unknown_fields=True):
    """What an operator asks for: `propose` a document (TOML), `revert` to a version, or `abort` what is open."""

    what: str
    who: Annotated[str, Meta(min_length=1, max_length=64)]
    text: Annotated[str, Meta(max_length=4 * policies.MOST_BYTES)] = ""
    version: Annotated[int, Meta(ge=0)] = 0
    why: Annotated[str, Meta(max_length=512)] = ""
    despite: list[Annotated[str, Meta(max_length=64)]] = []
    patience: Annotated[float, Meta(ge=0.1, le=3600)] = PATIENCE


class PolicyPart:
    """Takes its place between an agent and a service when it is made; off without. `unix()`: wall clock, for the
    history alone."""

    def __init__(
        self,
        loop: Timers,
        service: Service,
        agent: Agent,
        keep: Keep,
        log: Callable[..., object] = lambda event, **fields: None,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.loop, self.service, self.agent, self.keep, self.log, self.unix = loop, service, agent, keep, log, unix
        self.instance, self.course = service.instance, Course()
        self.document: Document | None = None  # that it goes by
        self.last: tuple[Change, Document] | None = None  # what it went by before
        self.faults, self.undone = 0, 0
        self.undo_at: float | None = None  # when a policy that the module cannot bear is to be taken back from here
        self.was_still, self.held_until = False, float("-inf")
        self.known = False  # whether it was ever read what stands
        self.cannot = ""  # why what stands cannot be gone by here
        self.seen: dict[int, float] = {}  # by epoch: when it was first seen here
        self.assented = {kept.epoch: kept for kept in keep.assented()}
        self.newest = keep.settled()
        self.mine: Proposal | None = None
        self.looked_at: agreement.Record | None = None
        before, told, waits = agent.judge, agent.on_record, service.waits
        agent.judge = lambda record: self._word(record) if record.topic == TOPIC else before(record)
        agent.on_record = lambda record: (told(record), self._look_at(record))
        service.waits = lambda: waits() or self._waits()
        self.instance.still = lambda: self._holds_still()
        service.views["policy"] = self.view
        service.actions["policy"] = (Asked, self.ask)
        self._turn()

    # ---- what stands ------------------------------------------------------------------------------------------

    def standing(self) -> Change | None:
        """What is settled, as it was last read."""
        return self._change_of(self.agent.standing(TOPIC))

    def _change_of(self, standing: agreement.Standing | None) -> Change | None:
        try:
            return None if standing is None else read_change(standing.body)[0]
        except BadChange:
            return None

    def _waits(self) -> str:
        """Guards against a first table under a policy that is over, and against proxies that join one who may not
        change their tables: they dial another."""
        if not self.known:
            return "which policy stands is not read yet; join another, or come back soon"
        return "its tables hold still until it knows which policy stands; join another" if self._holds_still() else ""

    def _doubt(self) -> bool:
        """Whether a change may be settled unheard: we have assented to it, or it does without our word."""
        topic = self.agent.topics.get(TOPIC)
        record = topic.record if topic is not None else None
        open_without = agreement.pending(record) and self.agent.name not in record.needs
        return bool(self.assented) or open_without or self.agent.undecided(TOPIC)

    def _despite_after(self) -> float:
        return DESPITE_AFTER if self.document is None else self.document.despite_after

    def _holds_still(self) -> bool:
        due = self.course.next is not None and (self.course.runs is None or self.loop.clock() >= self.course.next[2])
        if not self.known or due:
            return True  # what stands comes before the next order, also for one that was stopped at its moment
        despite_after = self._despite_after()
        if holds := self.agent.acts() and self.agent.records.whole:
            self.held_until = self.agent.acts_until()
        fenced = self.agent.chair.standing is Standing.FENCED
        known = Known(
            holds, self.held_until, fenced, self._doubt(), bool(self.cannot), despite_after, self.agent.lease.drift
        )
        return not may_change_tables(known, self.loop.clock())

    def _look_at(self, record: agreement.Record) -> None:
        """A record was read, or stands as it was read."""
        if record.topic != TOPIC:
            return
        self.looked_at = record
        self.seen.setdefault(record.epoch, self.loop.clock())
        while len(self.seen) > MOST_SEEN:
            del self.seen[min(self.seen)]
        standing = record.standing
        if standing is not None:
            self._stands(standing)
        for epoch, kept in list(self.assented.items()):
            ended = epoch < record.epoch or not agreement.pending(record)
            if ended and (standing is None or epoch != standing.epoch):
                self._write(kept._replace(state="void"))
                del self.assented[epoch]

    def _stands(self, standing: agreement.Standing) -> None:
        """What is settled was read: it is kept, and taken up at its moment."""
        try:
            change, document = read_change(standing.body)
        except BadChange as error:
            self._cannot(f"what stands cannot be read here: {error}")
            return
        if self.newest is not None and change.version < self.newest.version:
            # Guards against a store that was restored from an old copy: nobody goes back by that.
            self._cannot(
                f"the store holds version {change.version}, and {self.newest.version} was settled: restore it "
                "from a newer copy"
            )
            return
        if change.version > self.course.version() and (
            self.course.next is None or change.version > self.course.next[0].version
        ):
            why = self._unfit(document)
            if why:
                self._cannot(f"version {change.version} stands, and this supervisor cannot go by it: {why}")
                return
            # Guards against going by the old one a moment longer after a time away, or after a time in which it could
            # not go by the new one: that moment is over elsewhere.
            here = self.known and not self.cannot and self.loop.clock() < self.held_until
            self.course.settled(change, document, self.loop.clock(), started=here)
            self.loop.at(self.course.next[2], self._switch)
        if self.newest is None or self.newest.epoch != standing.epoch:
            took = self.loop.clock() - self.seen.get(standing.epoch, self.loop.clock())
            names = ",".join(self._needs(change))
            self.newest = self._kept(standing.epoch, change, "settled")._replace(took=took, assents=names)
            self._write(self.newest)
        self.assented.pop(standing.epoch, None)
        self.known, self.cannot = True, ""

    def _cannot(self, why: str) -> None:
        if why != self.cannot:
            self.log("policy_cannot", level="error", why=why)
        self.known, self.cannot = True, why

    def _unfit(self, document: Document) -> str:
        """Why this supervisor could not go by a document as it stands, or ""."""
        try:
            facts = self._facts(document)
        except BadDocument as error:
            return str(error)
        evacuation = getattr(self.agent, "evacuation", None)
        if evacuation is not None:
            there = {name: sorted(zones) for name, zones in document.regions.items() if len(zones) > 1}
            here = {
                place.name: sorted(self.instance.facts.zones[zone] for zone in place.zones)
                for place in evacuation.places
                if len(place.zones) > 1
            }
            if here != there:
                return f"regions: {here} here, {there} there; they hold from a start"
        return self.instance.check_switch(facts)

    def _facts(self, document: Document):
        facts = self.instance.facts
        return policies.facts(document, facts.own_number, facts.supervisors)

    def _needs(self, change: Change) -> tuple[str, ...]:
        """Whose word a change needs."""
        return tuple(name for name in self.agent.roll.expected if name not in change.despite)

    def _kept(self, epoch: int, change: Change, state: str) -> Kept:
        named = change.version, epoch, state, change.digest, change.text, change.who, change.why
        return Kept(*named, self.unix(), 0.0, "")

    def _write(self, kept: Kept) -> None:
        """What is settled holds whether or not it can be written here: the store has it."""
        try:
            self.keep.put(kept)
        except BadKeep as error:
            self.log("policy_not_kept", level="error", why=str(error))

    # ---- turns ------------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        self.loop.after(LOOK_EVERY, self._turn)
        if self.agent.records.whole and self.agent.holds():
            topic = self.agent.topics.get(TOPIC)
            if topic is not None and topic.record is not None and (self.cannot or topic.record is not self.looked_at):
                self._look_at(topic.record)
            if topic is None or topic.record is None or topic.record.standing is None:
                if self.newest is not None:
                    self._cannot(f"it knows no policy, and version {self.newest.version} was settled: restore it")
                else:
                    self.known, self.cannot = True, ""
        self._switch()
        still = self._holds_still()
        if still != self.was_still:
            self.log("tables_hold_still" if still else "tables_may_change", level="warning" if still else "info")
            self.was_still = still
            self.service.soon()
        self._guard()

    def _switch(self) -> None:
        was, due = self.course.runs, self.course.due(self.loop.clock())
        if due is None:
            return
        change, document = due
        if was is not None and not change.undoes:
            self.last = was, self.document
        self.instance.switch(self._facts(document), change.version, self.loop.clock())
        self.document, self.faults, self.undo_at = document, self.instance.faults, None
        evacuation = getattr(self.agent, "evacuation", None)
        if evacuation is not None:
            evacuation.limits = read_limits(policies.limits_text(document))
        self.agent.say(policy=change.version)
        self.agent.look()
        self.log("policy", version=change.version, digest=change.digest, undoes=change.undoes)
        self.service.soon()

    def _guard(self) -> None:
        """Takes a policy back under which the module raised: by the same way, never alone."""
        if self.document is None or self.instance.faults == self.faults or self.agent.is_open(TOPIC):
            return
        since, standing = self.loop.clock() - self.course.switched_at, self.standing()
        found = undoing(standing, self.last, self.instance.faults - self.faults, since, self.document.guard_for)
        if found is None or self.undone == standing.version or not self.agent.holds():
            return
        if self.undo_at is None:
            self.undo_at = self.loop.clock() + self.agent.herd_wait(self.document.guard_for / 2)
        if self.loop.clock() < self.undo_at:
            return
        self.undone = standing.version
        document, why = found
        self.log("policy_taken_back", level="error", version=standing.version, why=why)
        try:
            self._propose(next_change(standing, document, self.agent.name, why, undoes=standing.version), PATIENCE)
        except (BadChange, agreement.Barred) as error:
            self.log("policy_not_taken_back", level="error", why=str(error))

    # ---- words and proposals ----------------------------------------------------------------------------------

    def _away(self) -> dict[str, float | None]:
        """For how long each expected supervisor has been silent; None of those that live."""
        roll, now = self.agent.roll, self.loop.clock()
        living, away = roll.living(), roll.away(now)
        return {name: None if name in living else away.get(name, 0.0) for name in roll.expected}

    def _word(self, record: agreement.Record) -> tuple[bool, str] | None:
        if record.epoch in self.assented:
            return True, ""
        try:
            change, document = read_change(record.body)
        except BadChange as error:
            return False, str(error)
        despite_after = self._despite_after()
        waits = waited_out(despite_after, self.agent.lease.drift)
        if self.agent.tiers > 1 and (record.waits is UNSET or record.waits < waits - 1e-9):
            return False, f"it waits for the silent for less than the {waits:g} s that they may go on by themselves"
        if self.agent.tiers > 1 and self.course.next is not None and not self.cannot:
            return None  # it is asked again once it has taken up what stands: one that returns holds nobody up
        behind = self.cannot or ("" if self.course.next is None else "it is about to go by another version")
        said, why = word(
            self._change_of(record.standing),
            change,
            document,
            self._away(),
            despite_after,
            self.agent.lease.drift,
            behind or self._unfit(document),
        )
        if said:
            kept = self._kept(record.epoch, change, "assented")
            try:
                self.keep.put(kept)
            except BadKeep as error:
                return False, f"it cannot be kept here: {error}"
            self.assented[record.epoch] = kept
        self.log("policy_word", version=change.version, assent=said, why=why)
        return said, why

    def _propose(self, change: Change, patience: float) -> None:
        needs = self._needs(change)
        waits = waited_out(self._despite_after(), self.agent.lease.drift) if self.agent.tiers > 1 else UNSET
        self.mine = self.agent.propose(
            TOPIC, msgspec.to_builtins(change), needs, len(needs), patience, self._ended, waits=waits
        )

    def _ended(self, proposal: Proposal) -> None:
        self.log("policy_ended", state=proposal.state, epoch=proposal.epoch, why=proposal.why)

    # ---- asked by an operator ---------------------------------------------------------------------------------

    def ask(self, asked: Asked) -> dict:
        """Proposes, or takes back what is open. Refused where that cannot be."""
        if asked.what == "abort":
            if self.mine is None or self.mine.state not in ("waiting", "open"):
                raise Refused(409, "no proposal of this supervisor is open: ask the one that proposed it")
            self.agent.withdraw(TOPIC, self.mine, f"aborted by {asked.who}")
            return {"aborted": self.mine.epoch}
        if asked.what not in ("propose", "revert"):
            raise Refused(400, f"{asked.what[:32]!r}: propose, revert or abort is wanted")
        standing = self.standing()
        try:
            document = policies.read(asked.text) if asked.what == "propose" else self._version(asked.version)
            change = next_change(standing, document, asked.who, asked.why, tuple(asked.despite))
        except BadDocument as error:
            raise Refused(400, str(error)) from None
        except BadChange as error:
            raise Refused(409, str(error)) from None
        if asked.despite and self.agent.tiers > 1:
            raise Refused(400, "in tiers those that are silent for long enough are done without: leave --despite out")
        strangers = [name for name in asked.despite if name not in self.agent.roll.expected or name == self.agent.name]
        if strangers:
            raise Refused(400, f"{', '.join(strangers)}: not another supervisor of this fleet")
        if not self.agent.holds():
            raise Refused(503, "this supervisor has no lease; ask another, or wait for the store")
        if self.agent.is_open(TOPIC) or (self.mine is not None and self.mine.state in ("waiting", "open")):
            topic = self.agent.topics.get(TOPIC)
            record = topic.record if topic is not None else None
            by = record.by if agreement.pending(record) else self.agent.name
            raise Refused(409, f"a change of {by} is open: wait for it, or abort it")
        # Guards against one that is named to be gone, was only stopped, and wakes: it finds that its start is over.
        for name in asked.despite:
            self.agent.fence_out(name)
        try:
            self._propose(change, asked.patience)
        except agreement.Barred as error:
            raise Refused(400, str(error)) from None
        was = None if standing is None else policies.parse(standing.text)
        return {
            "version": change.version,
            "digest": change.digest,
            "token": self.mine.token,
            "difference": policies.difference(was, document),
        }

    def _version(self, version: int) -> Document:
        kept = self.keep.version(version)
        if kept is None:
            raise BadDocument(f"version {version} is not kept here: `policy history` shows those that are")
        return policies.parse(kept.text)

    def view(self) -> dict:
        """What `driftshed policy` shows, from this supervisor's eyes."""
        topic, standing = self.agent.topics.get(TOPIC), self.standing()
        record = topic.record if topic is not None else None
        opened = None
        if record is not None and record.state == "open":
            opened = {
                "epoch": record.epoch,
                "by": record.by,
                "missing": agreement.missing(record, topic.ballots),
                "words": list(topic.ballots.values()),
            }
        ahead = self.document.ahead if self.document is not None else 0.0
        mine = self.mine
        return {
            "by": self.agent.name,
            "runs": self.course.version(),
            "holds_still": self._holds_still(),
            "cannot": self.cannot,
            "known": self.known,
            "standing": standing,
            "open": opened,
            "next": None if self.course.next is None else self.course.next[0].version,
            "last_proposal": None
            if mine is None
            else {"token": mine.token, "state": mine.state, "why": mine.why, "epoch": mine.epoch},
            "everywhere_within": everywhere_within(self.agent.timeout, ahead, self.agent.lease.drift, self.agent.tiers),
            "members": {
                row.name: [row.state, row.member.policy if row.member else None]
                for row in self.agent.roll.rows(self.loop.clock())
            },
            "history": [kept._asdict() for kept in self.keep.history()],
            **self.agent.view_whole(),
        }
