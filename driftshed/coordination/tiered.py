"""A supervisor of a fleet in tiers: an agent of its cell that also sees its region, and speaks for its cell, and for
its region, where that falls to it. Thin: what follows from what is in `tiers` and `agreement`."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import UNSET, UnsetType, to_builtins

from driftshed.coordination import agreement, tiers
from driftshed.coordination.agent import Agent, Proposal, TopicState
from driftshed.coordination.agreement import Barred, Record
from driftshed.coordination.folder import ChildNames, Folder
from driftshed.coordination.lease import DRIFT
from driftshed.coordination.members import Digest, Member, MemberError, parse_node_name
from driftshed.coordination.tiers import Beat, Beats, Fleet, Tiers
from driftshed.net.loop import Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import Standing
from driftshed.roster.jute import NO_NODE, OK, Create, GetData, SetData, Stat, Sync
from driftshed.roster.session import State

SAY_EVERY = 5.0  # seconds between words on counts and versions in a cell, at the most; each goes to all others of it
HERD = 0.002  # seconds for each supervisor, over which they spread what all may want to propose at once
LINGER = 1.0  # seconds that a guest in the whole stays after its proposal has ended


class Tiered(Agent):
    """An agent of its cell. `acts()` is the right to act on what was agreed for the whole: the cell's lease, the cell's
    and the region's place above, and nothing ended above that is not known here. `propose` proposes in the whole."""

    def __init__(
        self,
        loop: Timers,
        whole: Tiers,
        member: Member,
        timeout: float,
        seed: int,
        log: Callable[..., object] = lambda event, **fields: None,
        dial: Callable[..., Stream] = dial,
        drift: float = DRIFT,
        max_pause: float | None = None,
    ) -> None:
        self.place, self.dial, self.drift, self.max_pause = whole.place(member.name), dial, drift, max_pause
        self.random = Random(f"tiers {seed}")
        self.supervisors = whole.supervisors()
        cell, region = self.place.cell, self.place.region
        super().__init__(loop, cell.hosts, cell.root, member, cell.expected, timeout, seed, log, dial, drift, max_pause)
        self.tiers = tiers.TIERS
        self.beats = Beats(timeout, drift)
        self.above: dict[str, Record] = {}  # the region's records, as read by the own session
        self.compared: dict[str, tuple[Record, Record | None, bool]] = {}  # with the cell's copy, and whether that lags
        self.cells = ChildNames(self._send, f"{region.root}/members", self._read_cells)
        self.named = False  # whether the cell is in the region's roll, as it was last read
        self.region = Folder(self._send, f"{region.root}/records", self._read_above, self._gone_above)
        self.other_folders += [self.cells, self.region]
        self.polling = self.beating = False
        self.troubled_at: float | None = None  # since when nobody is seen to speak for the cell
        self.for_cell: Agent | None = None  # our part in the region, while we speak for the cell
        self.for_region: Agent | None = None  # our part in the whole, while we speak for the region
        self.guest: Agent | None = None  # our part in the whole while something is proposed
        self.asked: list[Proposal] = []  # that live
        self.run_of_beats, self.beat = "", 0
        self._turn()

    # ---- what may be acted on ---------------------------------------------------------------------------------

    def acts(self) -> bool:
        return (
            self.holds()
            and self.loop.clock() < self.beats.until
            and self._spoken_for()
            and self.records.current
            and self.region.current
            and not self._lags()
        )

    def acts_until(self) -> float:
        return min(self.lease_until(), self.beats.until)

    def undecided(self, topic: str) -> bool:
        return super().undecided(topic) or agreement.pending(self.above.get(topic))

    def _spoken_for(self) -> bool:
        """Whether the cell is in the region's roll, as all that was told of it says."""
        return self.cells.current and self.named

    def _read_cells(self) -> None:
        self.named = False
        for node in self.cells.names:
            try:
                self.named = self.named or parse_node_name(node)[0] == self.place.region.name
            except MemberError as error:
                self.log("bad_member", level="warning", why=str(error))

    def _lags(self) -> bool:
        """Whether the cell's copies are not what the region's records ask for."""
        for topic, record in self.above.items():
            own = self.topics[topic].record if topic in self.topics else None
            known = self.compared.get(topic)
            if known is None or known[0] is not record or known[1] is not own:
                behind = agreement.replicated(own, record, self.name, self.roll.expected) is not None
                known = self.compared[topic] = record, own, behind
            if known[2]:
                return True
        return False

    @staticmethod
    def _copy_of(record: Record, below: Agent, expected: tuple[str, ...]) -> Record | None:
        topic = below.topics.get(record.topic)
        return agreement.replicated(topic.record if topic is not None else None, record, below.name, expected)

    def _read_above(self, topic: str, data: bytes, stat: Stat) -> None:
        try:
            record = agreement.read_record(topic, data)
        except Barred as error:
            self.log("bad_record", level="warning", why=str(error))
            return
        if topic in self.above or len(self.above) < agreement.MAX_TOPICS:
            self.above[topic] = record

    def _gone_above(self, topic: str) -> None:
        self.above.pop(topic, None)
        self.compared.pop(topic, None)

    # ---- turns ------------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        if self.stopped:
            return
        self.loop.after(self.timeout / tiers.BEATS, self._turn)
        if self.client.session.state is State.ON:
            if not self.region.listed and not self.region.pending_listings:
                self.region.refresh()  # it was not there, and nobody tells when it comes
            if (self.cells.missing or not self.cells.listed) and not self.cells.pending_listings:
                self.cells.refresh()
            self._poll()
        self._speak_for_cell()
        self._speak_for_region()
        self._say_above()
        self._beat()

    def _poll(self) -> None:
        """Reads the region's beat. Guards against a node of the store that lies behind: it catches up first."""
        if self.polling:
            return
        self.polling, client, asked = True, self.client, self.loop.clock()
        path = f"{self.place.region.root}/above"

        def got(error: int, result: object) -> None:
            self.polling = False
            if client is self.client and error in (OK, NO_NODE):
                self.beats.heard(tiers.read_beat(result[0]) if error == OK else None, asked, self.loop.clock())

        client.ask(Sync(path), lambda error, result: None)
        client.ask(GetData(path), got)

    # ---- speaking ---------------------------------------------------------------------------------------------

    def _registration_changed(self, standing: Standing) -> None:
        super()._registration_changed(standing)
        if standing is Standing.FENCED:  # another process has our name: it speaks if that falls to it
            for part in self._parts():
                self.loop.soon(part.leave)
            self.guest = self.for_region = self.for_cell = None

    def _part(self, fleet: Fleet, member: Member, seed: str) -> Agent:
        number = Random(f"{seed} {self.run} {self.random.random()}").getrandbits(48)
        return Agent(
            self.loop,
            fleet.hosts,
            fleet.root,
            member,
            fleet.expected,
            self.timeout,
            number,
            self.log,
            self.dial,
            self.drift,
            self.max_pause,
            tiers.lag(self.timeout, self.drift),
        )

    def _speak_for_cell(self) -> None:
        if self.for_cell is not None:
            return
        now, missing = self.loop.clock(), self.cells.listed and not self.named
        if not (missing or (self.region.current and self._lags())):
            self.troubled_at = None
            return
        if self.troubled_at is None:
            self.troubled_at = now
        order = self.roll.order()
        if not self.holds() or not self.members.current or self.name not in order:
            return
        if not tiers.due_to_speak(now - self.troubled_at, order.index(self.name), missing, self.timeout):
            return
        self.troubled_at = None
        self.log("speaks_for_cell", cell=self.place.region.name)
        part = self.for_cell = self._part(self.place.region, self._as(self.place.region.name), "cell")
        part.judge = lambda record: self._word(self, record)
        part.on_record = lambda record: (self.replicate(record), self._look_up_to(self.for_region))
        part.on_fenced = lambda: self._silent_for_cell(part)

    def _speak_for_region(self) -> None:
        part = self.for_cell
        if part is None:
            return
        now = self.loop.clock()
        quiet = self.beats.quiet_for(now)
        others = self.beats.last is not None and self.beats.last.run != self.run_of_beats
        if self.for_region is not None:
            if others and not self.for_region.holds() and quiet < tiers.STAGGER * self.timeout:
                self._silent_for_region(self.for_region)  # another one does, and we cannot
            return
        order = part.roll.order()
        if not part.holds() or not part.members.current or part.name not in order or quiet is None:
            return
        if not tiers.due_to_speak(quiet, order.index(part.name), self.beats.last is None, self.timeout):
            return
        self.log("speaks_for_region", region=self.place.whole.name)
        above = self.for_region = self._part(self.place.whole, self._as(self.place.whole.name), "region")
        above.judge = lambda record: self._word(part, record)
        above.on_record = part.replicate
        above.on_fenced = lambda: self._silent_for_region(above)
        self._new_run()

    def _as(self, name: str) -> Member:
        return Member(name, self.chair.node.address, self.chair.node.build)

    @staticmethod
    def _word(below: Agent, record: Record) -> tuple[bool, str] | None:
        topic = below.topics.get(record.topic)
        return agreement.vote_for_parent(topic.record if topic is not None else None, record.epoch)

    def _notify_proposers(self, topic: TopicState) -> None:
        super()._notify_proposers(topic)
        self._look_up_to(self.for_cell)  # the cell's word may be due

    @staticmethod
    def _look_up_to(part: Agent | None) -> None:
        if part is not None:
            part.look()

    def _silent_for_cell(self, part: Agent) -> None:
        """Another one speaks for the cell."""
        if self.for_cell is part:
            self.log("silent_for_cell", cell=part.name)
            self.for_cell = None
            self.loop.soon(part.stop)  # it ends its session first, if it can
            if self.for_region is not None:
                self._silent_for_region(self.for_region)

    def _silent_for_region(self, part: Agent) -> None:
        if self.for_region is part:
            self.log("silent_for_region", region=part.name)
            self.for_region = None
            self.loop.soon(part.leave)

    def _say_above(self) -> None:
        if self.for_cell is not None:
            self.for_cell.say(digest=tiers.digest_of(self.roll.rows(self.loop.clock())))
        if self.for_region is not None and self.for_cell is not None:
            self.for_region.say(digest=self._digest(self.for_cell, self.place.region))

    @staticmethod
    def _digest(part: Agent, fleet: Fleet) -> Digest:
        living = {name: present.member for name, present in part.roll.living().items()}
        return tiers.digest_above(living, fleet.sizes)

    # ---- beats ------------------------------------------------------------------------------------------------

    def _new_run(self) -> None:
        self.run_of_beats, self.beat = f"{self.run}.{self.random.getrandbits(32):x}", 0

    def _stands_below(self) -> bool:
        """Whether all that was read in the whole stands in the region."""
        above, below = self.for_region, self.for_cell
        if not above.records.current or any(
            topic.read_pending or topic.write_pending for topic in above.topics.values()
        ):
            return False
        return all(
            self._copy_of(topic.record, below, below.roll.expected) is None
            for topic in above.topics.values()
            if topic.record is not None
        )

    def _beat(self) -> None:
        """Tells the region that it is in touch with the whole, one beat after the other."""
        above, below = self.for_region, self.for_cell
        if above is None or below is None or self.beating:
            return
        if not (above.holds() and below.holds() and self._stands_below()):
            return
        self.beating, self.beat, run = True, self.beat + 1, self.run_of_beats
        path = f"{self.place.region.root}/above"
        beat = Beat(self.name, run, self.beat, self._digest(above, self.place.whole))
        client = below.client

        def made(error: int, result: object) -> None:
            self.beating = False
            if error == NO_NODE:
                below.client.ask(Create(path, tiers.write_beat(beat)), lambda error, result: None)
            if error != OK and run == self.run_of_beats:
                self._new_run()  # whether it took effect, or will, is not known: none may be counted from it

        client.ask(SetData(path, tiers.write_beat(beat)), made)

    # ---- proposing --------------------------------------------------------------------------------------------

    def propose(
        self,
        topic: str,
        body: object,
        needs: tuple[str, ...],
        quorum: int,
        patience: float,
        done: Callable[[Proposal], object] = lambda proposal: None,
        binds_for: float | None = None,
        waits: float | UnsetType = UNSET,
    ) -> Proposal:
        """Proposes in the whole, as a guest there: every region is asked, whatever `needs` says. Void where the whole
        is not reached within the patience."""
        fleet = self.place.whole
        agreement.check(topic, fleet.expected, len(fleet.expected), patience)
        guest = self.guest
        if guest is None:
            guest = self.guest = self._part(fleet, self._as(self.name), "guest")
            guest.judge = lambda record: None

        def ended(proposal: Proposal) -> None:
            self.asked = [each for each in self.asked if each is not proposal]
            self.loop.after(LINGER, lambda: self._leave_guest(guest))
            done(proposal)

        proposal = guest.propose(topic, body, fleet.expected, len(fleet.expected), patience, ended, binds_for, waits)
        self.asked.append(proposal)

        def late() -> None:
            if proposal.state == "waiting":
                guest.withdraw(topic, proposal, "the whole's store was not reached in time")

        self.loop.after(patience, late)
        return proposal

    def _publish_delay(self) -> float:
        """Guards against a cell whose members all say at one moment that they have switched: each word goes to all."""
        return self.random.uniform(0.5, 1.0) * SAY_EVERY

    def herd_wait(self, most: float) -> float:
        return self.random.uniform(0.0, min(most, HERD * self.supervisors))

    def withdraw(self, topic: str, proposal: Proposal, why: str = "withdrawn") -> None:
        if self.guest is not None:
            self.guest.withdraw(topic, proposal, why)

    def _leave_guest(self, guest: Agent) -> None:
        if self.guest is guest and not self.asked:
            self.guest = None
            guest.leave()

    # ---- going ------------------------------------------------------------------------------------------------

    def _parts(self) -> list[Agent]:
        return [part for part in (self.guest, self.for_region, self.for_cell) if part is not None]

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        for part in self._parts():
            part.leave()
        self.guest = self.for_region = self.for_cell = None
        super().leave(then)

    def stop(self) -> None:
        for part in self._parts():
            part.stop()
        self.guest = self.for_region = self.for_cell = None
        super().stop()

    def view_whole(self) -> dict:
        whole = self.beats.last.whole if self.beats.last is not None else UNSET
        return {"whole": None if whole is UNSET else to_builtins(whole)}

    def view(self) -> dict:
        now = self.loop.clock()
        return (
            super().view()
            | self.view_whole()
            | {
                "cell": self.place.region.name,
                "region": self.place.whole.name,
                "acts": self.acts(),
                "speaks_for": [part.name for part in (self.for_cell, self.for_region) if part is not None],
                "chain": None if self.beats.until == float("-inf") else round(self.beats.until - now, 3),
            }
        )
