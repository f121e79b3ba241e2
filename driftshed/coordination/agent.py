"""One supervisor's part in coordination: its own node, its peers, and the records. It turns what the store tells into
requests; it decides nothing by itself but what `members`, `lease` and `agreement` say. Thin: timers and a way to dial
are handed in, so the same code runs on sockets and in virtual time.

For each topic one function, `_look`, compares what is wanted with what stands and asks for the difference, one request
at a time. Whatever leaves open what happened (a lost connection, a lost answer, a version that moved on) ends in a new
look at the record itself."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import UNSET, UnsetType
from msgspec.structs import replace

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Barred, Record, Vote
from driftshed.coordination.folder import Folder, Names
from driftshed.coordination.lease import DRIFT, Lease
from driftshed.coordination.members import Member, MemberError, Roll, read_member, write_member
from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import Announcer, Standing
from driftshed.roster.jute import (
    ANY_VERSION,
    BAD_VERSION,
    EXPIRED,
    NO_NODE,
    NODE_EXISTS,
    OK,
    Create,
    Delete,
    Event,
    GetChildren,
    GetData,
    Multi,
    Request,
    SetData,
    Stat,
)
from driftshed.roster.session import State

STAGGER = 0.5  # of the session's time-out: how much later each next one in the order does what the first has not done
SWEEP_AFTER = 20.0  # seconds that an ended record is kept for whoever asks what became of it
SAY_EVERY = 1.0  # seconds between changes of what a supervisor says of itself, at the least
AGAIN = 0.2  # seconds until a request whose outcome is open is looked up again

Judge = Callable[[Record], "tuple[bool, str] | None"]


class Chair(Announcer):
    """The node of this supervisor: NAME~INCARNATION."""

    def __init__(self, agent: Agent, *given: object) -> None:
        self.agent = agent
        super().__init__(*given)

    @property
    def name(self) -> str:
        return self.node.name

    def data(self) -> bytes:
        return write_member(replace(self.node, incarnation=self.epoch))

    def _begin(self) -> None:
        super()._begin()
        self.agent.new_session(self.client)

    def _state(self, state: State) -> None:
        self.agent.session_state(state)
        super()._state(state)

    def _event(self, event: Event) -> None:
        self.agent.heard(event)


class Proposal:
    """What a caller holds of its proposal. `state`: waiting, open, then settled, void, lost (another's was there
    first), refused, or unknown; `why` says more. `done(proposal)` is called once it is none of the first two."""

    def __init__(self, token: str, make: Callable[[Record | None, int], Record], done: Callable) -> None:
        self.token, self.make, self.done = token, make, done
        self.state, self.why, self.epoch = "waiting", "", 0
        self.withdrawn = ""  # why, once its writer wants it back
        self.tried = 0  # the epoch of a write whose outcome is open

    def end(self, state: str, why: str = "") -> None:
        if self.state in ("waiting", "open"):
            self.state, self.why = state, why
            self.done(self)


class Topic:
    """What is known of one topic: the record as last read, since when, and what is under way."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.record: Record | None = None
        self.stat: Stat | None = None
        self.since = 0.0  # when the record was first seen as it is
        self.opened = 0.0  # when its epoch was first seen
        self.ballots: dict[str, Vote] = {}
        self.box: Folder | None = None
        self.spoke = 0  # the last epoch that our word on is in the store
        self.busy = self.reading = self.swept = False
        self.proposals: list[Proposal] = []
        self.ending: tuple[int, str, Callable[[bool, str], object]] | None = None
        self.above: Record | None = None  # as the fleet above has it, where its record is to be copied here
        self.timer: Timer | None = None


class Agent:
    """`expected`: names of the supervisors of the fleet, this one's among them. `judge(record)`: the word on an open
    record, (assent, why), or None to be asked again. `on_record(record)`: a topic stands anew. `on_roll()`: the living
    changed. `seed` is to be another at each start. `lag`: seconds for which one who is away counts as there beyond what
    a record says, in a fleet whose members speak for others."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        member: Member,
        expected: tuple[str, ...],
        timeout: float,
        seed: int,
        log: Callable[..., object] = lambda event, **fields: None,
        dial: Callable[..., Stream] = dial,
        drift: float = DRIFT,
        pause: float | None = None,
        lag: float = 0.0,
    ) -> None:
        self.loop, self.root, self.log, self.timeout, self.lag = loop, root, log, timeout, lag
        self.tiers = 1
        self.lease, self.roll = Lease(timeout, drift, pause), Roll(expected, loop.clock())
        self.addresses: list[str] = []  # where proxies may dial, by the roll as it stands
        self.topics: dict[str, Topic] = {}
        self.gone: dict[str, int] = {}  # epochs of topics that were swept
        # Guards against two processes of one name whose proposals look alike: whose it is tells who reads it again.
        self.run, self.number = f"{Random(f'run {seed}').getrandbits(48):x}", 0
        self.judge: Judge = lambda record: None
        self.on_record: Callable[[Record], object] = lambda record: None
        self.on_roll: Callable[[], object] = lambda: None
        self.on_fenced: Callable[[], object] = lambda: None
        self.written = self.not_believed = 0
        self.client, self.zxid = None, 0
        self.members = Folder(self._ask, f"{root}/members", self._member, self._member_gone, self._roll_whole)
        self.records = Folder(
            self._ask, f"{root}/records", self._record, self._record_gone, self._records_whole, self._make_records
        )
        self.others: list[Folder | Names] = []  # folders of other fleets that it reads besides
        self.stopped = False
        self.say_due: Timer | None = None
        self.woken: Timer | None = None
        self.chair = Chair(self, loop, hosts, f"{root}/members", member, timeout, seed, self._stood, dial)

    # ---- the session ------------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        return self.chair.name

    @property
    def incarnation(self) -> int:
        return self.chair.epoch

    def new_session(self, client: object) -> None:
        # Guards against a store that answers from an older state than we have seen: it does not let us in.
        if self.client is not None:
            self.zxid = max(self.zxid, self.client.session.zxid)
        client.session.zxid = self.zxid
        self.client = client
        self.roll.complete_since = None
        for folder in (self.members, self.records, *self.others):
            folder.forget()
        for topic in self.topics.values():
            topic.box, topic.busy, topic.reading = None, False, False

    def session_state(self, state: State) -> None:
        self.log("fleet_session", state=state.value)
        if state is State.ON:
            self.loop.soon(self._begin)
        else:
            self.roll.complete_since = None
            for folder in (self.members, self.records, *self.others):
                folder.away()

    def _begin(self) -> None:
        if self.client.session.state is State.ON:
            for folder in (self.members, self.records, *self.others):
                folder.begin()
            for topic in self.topics.values():
                if topic.box is not None:
                    topic.box.begin()

    def _stood(self, standing: Standing) -> None:
        self.log("fleet_standing", state=standing.value, incarnation=self.chair.epoch)
        if standing is Standing.FENCED:
            self.on_fenced()
        elif standing is Standing.LISTED:
            self._begin()
            self._look_all()

    def _ask(self, request: Request, then: Callable[[int, object], object]) -> None:
        client = self.client

        def done(error: int, result: object) -> None:
            if client is self.client and error != EXPIRED and not self.stopped:
                then(error, result)

        client.ask(request, done)

    def heard(self, event: Event) -> None:
        if not any(folder.heard(event) for folder in (self.members, self.records, *self.others)):
            for topic in self.topics.values():
                if topic.box is not None and topic.box.heard(event):
                    return

    # ---- what may be acted on ---------------------------------------------------------------------------------

    def holds(self) -> bool:
        """Whether this start of this supervisor may act now on what was agreed: its session is proven to stand, and no
        other start of its name is there."""
        session = self.client.session
        return (
            self.chair.standing is Standing.LISTED
            and not self.stopped
            and not self.roll.has_earlier_incarnation(self.name, self.incarnation)
            and self.roll.highest.get(self.name, 0) == self.incarnation
            and self.lease.holds(self.loop.clock(), session.proved_at, session.timeout)
        )

    def lease_until(self) -> float:
        """When the lease ends unless it is proven anew, in seconds on the own clock."""
        return self.lease.until(self.client.session.proved_at, self.client.session.timeout)

    def acts(self) -> bool:
        """Whether what was agreed for its whole fleet, through all tiers, may be acted on now."""
        return self.holds()

    def acts_until(self) -> float:
        """When that ends unless it is proven anew, in seconds on the own clock."""
        return self.lease_until()

    def herd_wait(self, most: float) -> float:
        """Seconds, `most` at the most, to wait before a proposal that all may come to make at the same moment."""
        return 0.0

    def undecided(self, topic: str) -> bool:
        """Whether a record of a fleet above is open, whose end may be there before it is heard of here."""
        record = self.topics[topic].record if topic in self.topics else None
        return agreement.pending(record) and record.copied is not UNSET

    def agreed(self, topic: str) -> agreement.Standing | None:
        """What stands on a topic, to act on now; None without a lease, and where nothing is settled."""
        return self.standing(topic) if self.holds() else None

    def standing(self, topic: str) -> agreement.Standing | None:
        """What stands on a topic as it was last read, lease or not: to look at, not to act on anew."""
        known = self.topics.get(topic)
        return known.record.standing if known is not None and known.record is not None else None

    def is_open(self, topic: str) -> bool:
        """Whether a proposal waits on a topic, as it was last read."""
        known = self.topics.get(topic)
        return known is not None and agreement.pending(known.record)

    # ---- members ----------------------------------------------------------------------------------------------

    def _member(self, node: str, data: bytes, stat: Stat) -> None:
        try:
            member = read_member(node, data)
        except MemberError as error:
            self.log("bad_member", level="warning", why=str(error))
            return
        if member.name == self.name and self.incarnation and member.incarnation > self.incarnation:
            # Guards against two processes under one name: the older one says so and does nothing more.
            self.log("fenced", level="error", by=member.incarnation, own=self.incarnation)
            self.chair.fence()
            return
        self.roll.appeared(node, member, stat.czxid, self.loop.clock())
        self._rolled()

    def _member_gone(self, node: str) -> None:
        self.roll.remove_node(node, self.loop.clock())
        self._rolled()

    def _roll_whole(self) -> None:
        # A new session read all anew: who went while we were away has no node that could tell of it.
        for node in [node for node in self.roll.nodes if node not in self.members.names]:
            self.roll.remove_node(node, self.loop.clock())
        if self.roll.complete_since is None:
            self.roll.complete_since = self.loop.clock()
        self._rolled()

    def _rolled(self) -> None:
        self.addresses = self.roll.addresses()
        self.on_roll()
        self._look_all()

    def say(self, **changes: object) -> None:
        """Changes what this supervisor says of itself; written at a bounded pace, and only where it differs."""
        node = replace(self.chair.node, **changes)
        if node == self.chair.node:
            return
        wait = SAY_EVERY if changes.keys() & {"state", "digest"} else self._say_wait()
        self.chair.node = node
        if self.say_due is not None and self.say_due.at > self.loop.clock() + wait:
            self.say_due.cancel()
            self.say_due = None
        if self.say_due is None:
            self.say_due = self.loop.after(wait, self._say)

    def _say_wait(self) -> float:
        return SAY_EVERY

    def fence_out(self, name: str) -> None:
        """Takes an epoch of another supervisor's name: a start of it that is not there, but may only be stopped, finds
        out when it wakes and is silent from then on. A new start takes the next."""
        self._write(SetData(f"{self.root}/members-epochs/{name}", b"", ANY_VERSION), lambda error, result: None)

    def _say(self) -> None:
        self.say_due = None
        if self.chair.standing is Standing.LISTED:
            self._write(SetData(self.chair.path, self.chair.data()), lambda error, result: None)

    # ---- records as they are read -----------------------------------------------------------------------------

    def _make_records(self) -> None:
        self._write(
            Create(self.records.path, b""),
            lambda error, result: (
                self.records.begin() if error in (OK, NODE_EXISTS) else self.loop.after(AGAIN, self.records.begin)
            ),
        )

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic(name))

    def _record(self, name: str, data: bytes, stat: Stat) -> None:
        topic, now = self._topic(name), self.loop.clock()
        topic.reading = False
        try:
            record = agreement.read_record(name, data)
        except Barred as error:
            self.log("bad_record", level="warning", why=str(error))
            return
        old = topic.record
        older = topic.stat is not None and stat.mzxid < topic.stat.mzxid
        if older or not agreement.newer(record, old) or record.epoch <= self.gone.get(name, 0):
            # Guards against a store that answers from an older state: what was seen of a record only rises.
            self.not_believed += 1
            self.log("not_believed", level="warning", topic=name, epoch=record.epoch, mzxid=stat.mzxid)
            return
        topic.record, topic.stat = record, stat
        if old is None or old.epoch != record.epoch:
            topic.opened, topic.ballots, topic.box = now, {}, None
        if old != record:
            topic.since, topic.swept = now, False
            self.log("record", topic=name, epoch=record.epoch, state=record.state, by=record.by, why=record.why)
            self.on_record(record)
        self._tell(topic)
        self._look(topic)

    def _record_gone(self, name: str) -> None:
        topic = self.topics.pop(name, None)
        if topic is None:
            return
        if topic.record is not None:
            self.gone[name] = topic.record.epoch
            if len(self.gone) > agreement.MAX_TOPICS:
                del self.gone[next(iter(self.gone))]
        if topic.timer:
            topic.timer.cancel()
        if topic.proposals or topic.ending:
            again = self._topic(name)
            again.proposals, again.ending = topic.proposals, topic.ending
            self._tell(again)
            self._look(again)

    def _records_whole(self) -> None:
        for name in [
            name for name, topic in self.topics.items() if topic.record is not None and name not in self.records.names
        ]:
            self._record_gone(name)
        self._look_all()

    def _tell(self, topic: Topic) -> None:
        """Whoever proposed here learns what became of it."""
        record = topic.record
        for proposal in list(topic.proposals):
            if record is not None and record.token == proposal.token:
                proposal.state = "open" if proposal.state == "waiting" else proposal.state
                proposal.epoch = record.epoch
                if record.state == "settled":
                    proposal.end("settled")
                elif not agreement.pending(record):
                    proposal.end("settled" if record.passed else "void", record.why)
            elif record is not None and record.standing is not None and record.standing.token == proposal.token:
                proposal.end("settled")
            elif (had := max(proposal.epoch, proposal.tried)) and record is not None and record.epoch > had:
                # Guards against a guess: a later epoch than ours stands, and what it followed on is not told any more.
                proposal.end("unknown", "the topic went on before this was read")
            elif proposal.epoch and record is None:
                proposal.end("unknown", "the topic was swept before this was read")
            elif agreement.pending(record):
                proposal.end("lost", f"epoch {record.epoch} of {record.by} was there first")
        topic.proposals = [each for each in topic.proposals if each.state in ("waiting", "open")]

    # ---- what is wanted ---------------------------------------------------------------------------------------

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
        """Proposes for a topic; `quorum` of `needs` must assent within `patience` seconds. Barred where that can never
        be. What becomes of it is told to `done`, also when this process lost contact meanwhile. `waits`: seconds of
        silence after which one that is named is done without; for ever unless given."""
        agreement.check(topic, needs, quorum, patience)
        self.number += 1
        token = f"{self.name}~{self.run}#{self.number}"

        def make(old: Record | None, epoch: int) -> Record:
            words = needs, quorum, patience, binds_for, waits
            return agreement.proposed(old, topic, epoch, self.name, token, body, *words)

        # Guards against one that opens and can never be settled: what was settled is held beside what was proposed.
        agreement.write(agreement.settled(make(None, 1)))  # Barred where it is too large
        proposal = Proposal(token, make, done)
        if topic not in self.topics and len(self.topics) >= agreement.MAX_TOPICS:
            raise Barred(f"{len(self.topics)} topics are there: end some first")
        known = self._topic(topic)
        known.proposals.append(proposal)
        self._look(known)
        return proposal

    def withdraw(self, topic: str, proposal: Proposal, why: str = "withdrawn") -> None:
        """Takes an own proposal back, if it is not settled by then; `done` tells."""
        proposal.withdrawn = why
        known = self._topic(topic)
        if proposal.state == "waiting" and not known.busy:
            proposal.end("void", why)
            known.proposals = [each for each in known.proposals if each is not proposal]
        self._look(known)

    def copy(self, record: Record) -> None:
        """Wants a topic to stand here as it does in the fleet above: asked here while it is open there, ended here as
        it ended there."""
        topic = self._topic(record.topic)
        topic.above = record
        self._look(topic)

    def behind(self, topic: Topic) -> Record | None:
        """What a copy is to be, where it is not as the fleet above has its record."""
        if topic.above is None:
            return None
        return agreement.replicated(topic.record, topic.above, self.name, self.roll.expected)

    def end(self, topic: str, epoch: int, why: str, done: Callable[[bool, str], object] = lambda ok, why: None) -> None:
        """Ends what stands on a topic under this epoch: `done(True, "")`, or why not."""
        known = self._topic(topic)
        known.ending = epoch, why, done
        self._look(known)

    def look(self) -> None:
        """Asks `judge` again where it had no word yet."""
        self._look_all()

    def _look_all(self) -> None:
        for topic in list(self.topics.values()):
            self._look(topic)

    def _look(self, topic: Topic) -> None:
        """Asks for what differs between what is wanted of a topic and what stands, if anything is."""
        if topic.busy or topic.reading or not self.records.whole:
            return
        record = topic.record
        if not self.holds():
            # Guards against a word or a write that rests on a lease that is over; it is looked at again once proven.
            if self._wants(topic):
                self._wake()
            return
        if copy := self.behind(topic):
            self._copy(topic, copy)
        elif agreement.pending(record):
            if record.state == "open":
                self._look_open(topic, record)
        elif topic.ending is not None:
            self._end(topic)
        elif topic.proposals:
            self._propose(topic, topic.proposals[0])
        elif record is not None and not topic.swept and self._leads():
            self._time(topic, topic.since + SWEEP_AFTER, lambda: self._sweep(topic))

    def _wants(self, topic: Topic) -> bool:
        return bool(topic.proposals or topic.ending or agreement.pending(topic.record) or self.behind(topic))

    def _wake(self) -> None:
        if self.woken is None:
            self.woken = self.loop.after(AGAIN, self._awake)

    def _awake(self) -> None:
        self.woken = None
        self._look_all()

    def _time(self, topic: Topic, at: float, call: Callable[[], object]) -> None:
        if topic.timer:
            topic.timer.cancel()
        topic.timer = self.loop.at(at, call)

    def _leads(self) -> bool:
        order = self.roll.order()
        return bool(order) and order[0] == self.name

    def _look_open(self, topic: Topic, record: Record) -> None:
        now = self.loop.clock()
        if self.name in record.needs and topic.spoke < record.epoch:
            word = self._disagrees(record) or self.judge(record)
            if word is not None:
                self._speak(topic, record, *word)
                return
        withdrawn = next((each.withdrawn for each in topic.proposals if each.token == record.token), "")
        if withdrawn:
            self._settle(topic, agreement.aborted(record, withdrawn))
            return
        # The proposer goes first while it lives, then the others one after the other: all would do the same.
        order = self.roll.order()
        order = [record.by] * (record.by in order) + [name for name in order if name != record.by]
        rank = order.index(self.name) if self.name in order else len(order)
        turn_at = topic.opened + rank * STAGGER * self.timeout + (record.patience if rank else 0.0)
        if now < turn_at:
            self._time(topic, turn_at, lambda: self._look(topic))
            return
        if topic.box is None:
            path = f"{self.records.path}/{topic.name}"
            box = topic.box = Folder(
                self._ask,
                path,
                lambda node, data, stat: self._ballot(topic, node, data),
                lambda node: None,
                lambda: self._counted(topic, box),
                changing=False,
            )
            box.begin()
        elif topic.box.whole:
            self._counted(topic, topic.box)

    def _disagrees(self, record: Record) -> tuple[bool, str] | None:
        """Guards against supervisors that were told different tiers: words of other members than ours would do."""
        if record.waits is UNSET or frozenset(record.needs) == self.roll.expected_set:
            return None
        odd = sorted(self.roll.expected_set ^ frozenset(record.needs))[:4]
        return False, f"its tiers are not those of {record.by}, by {', '.join(odd)}: give all the same --tiers"

    def _ballot(self, topic: Topic, node: str, data: bytes) -> None:
        try:
            ballot = agreement.read_ballot(node, data)
        except Barred as error:
            self.log("bad_ballot", level="warning", why=str(error))
            return
        if topic.record is not None and ballot.epoch == topic.record.epoch:
            topic.ballots[ballot.name] = ballot

    def _counted(self, topic: Topic, box: Folder) -> None:
        """The words that were given have been read."""
        record = topic.record
        if topic.box is not box or topic.busy or record is None or record.state != "open" or not self.holds():
            return
        away, next_at = self._away(record, topic.ballots)
        result = agreement.outcome(record, topic.ballots, away)
        late_at = topic.opened + record.patience
        if result is UNSET and self.loop.clock() >= late_at:
            result = agreement.timed_out(record, topic.ballots)
        if result is UNSET:
            self._time(topic, min(late_at, next_at), lambda: self._look(topic))
        else:
            self._settle(topic, result)

    def _away(self, record: Record, ballots: dict[str, Vote]) -> tuple[frozenset[str], float]:
        """Who of those whose word is missing counts as away, and when that may change though nothing comes. Guards
        against a roll that is behind what the store has told: one that came back before the record was made is in it.
        """
        if record.waits is UNSET:
            return frozenset(), float("inf")
        now, after = self.loop.clock(), record.waits + self.lag
        if not self.members.current:
            return frozenset(), now + AGAIN
        silent = self.roll.away(now)
        waited = {name: silent[name] for name in agreement.missing(record, ballots) if name in silent}
        away = frozenset(name for name, seconds in waited.items() if seconds >= after)
        # A hundredth later: else rounding calls it just too early, again and again.
        return away, min(
            (now + after - seconds + 0.01 for name, seconds in waited.items() if name not in away), default=float("inf")
        )

    # ---- writing ----------------------------------------------------------------------------------------------

    def _write(self, request: Request, then: Callable[[int, object], object]) -> None:
        self.written += 1
        self._ask(request, then)

    def _look_up(self, topic: Topic) -> None:
        """What happened is not known, or not as expected: the record itself tells."""
        topic.reading = True
        topic.busy = False
        self.records.read(topic.name) if topic.record is not None else self._read_new(topic)

    def _read_new(self, topic: Topic) -> None:
        """Of a topic that was not there when it was last listed."""

        def got(error: int, result: object) -> None:
            if error == OK:
                self.records.read(topic.name)
            else:
                topic.reading = False
                self.loop.after(AGAIN, lambda: self._look(topic))

        self._ask(GetData(f"{self.records.path}/{topic.name}"), got)

    def _speak(self, topic: Topic, record: Record, assent: bool, why: str) -> None:
        ballot = Vote(self.name, record.epoch, assent, why[:1024], self.incarnation)
        path = f"{self.records.path}/{topic.name}/{agreement.vote_node_name(record.epoch, self.name)}"
        topic.busy = True

        def said(error: int, result: object) -> None:
            topic.busy = False
            if error in (OK, NODE_EXISTS):  # one that is there was ours: a word is given once
                topic.spoke = max(topic.spoke, record.epoch)
                self._look(topic)
            else:
                self._look_up(topic)

        self._write(Create(path, agreement.write(ballot)), said)

    def _copy(self, topic: Topic, record: Record) -> None:
        try:
            data = agreement.write(record)
        except Barred as error:
            self.log("copy_too_large", level="error", topic=topic.name, why=str(error))
            return
        topic.busy = True
        path = f"{self.records.path}/{topic.name}"
        request = Create(path, data) if topic.record is None else SetData(path, data, topic.stat.version)
        self._write(request, lambda error, result: self._look_up(topic))

    def _settle(self, topic: Topic, record: Record) -> None:
        """The one compare-and-set that ends a proposal, or what stands."""
        topic.busy = True
        path = f"{self.records.path}/{topic.name}"
        self._write(
            SetData(path, agreement.write(record), topic.stat.version), lambda error, result: self._look_up(topic)
        )

    def _end(self, topic: Topic) -> None:
        epoch, why, done = topic.ending
        try:
            if topic.record is None:
                raise Barred(f"{topic.name}: nothing stands")
            record = agreement.ended(topic.record, epoch, why)
        except Barred as error:
            topic.ending = None
            standing = topic.record.standing if topic.record is not None else None
            over = standing is None or standing.epoch > epoch
            done(over, "" if over else str(error))
            self._look(topic)
            return
        self._settle(topic, record)

    def _propose(self, topic: Topic, proposal: Proposal) -> None:
        """Takes the fleet's next epoch and the topic, both or neither."""
        topic.busy = True
        path = f"{self.records.path}/{topic.name}"

        def read(error: int, result: object) -> None:
            if error != OK:
                self._look_up(topic)
                return
            version, held = result[1].version, topic.record
            if proposal.tried and version >= proposal.tried and (held is None or held.epoch > proposal.tried):
                # Guards against doing twice what was done, ended and swept before its answer could be looked up: the
                # fleet's count has passed the epoch that it would have had, and nothing is left that could tell.
                topic.busy = False
                proposal.end("unknown", "its answer was lost, and the topic went on before it was read")
                self._tell(topic)
                self._look(topic)
                return
            try:
                record = proposal.make(topic.record, version + 1)
            except Barred as error:
                topic.busy = False
                proposal.end("refused", str(error))
                self._tell(topic)
                self._look(topic)
                return
            data = agreement.write(record)
            proposal.tried = version + 1
            put = Create(path, data) if topic.record is None else SetData(path, data, topic.stat.version)
            self._write(Multi((SetData(self.records.path, b"", version), put)), put_back)

        def put_back(error: int, result: object) -> None:
            if error in (BAD_VERSION, NODE_EXISTS, NO_NODE):
                proposal.tried = 0  # surely not done
                self.loop.after(AGAIN * self.chair.random.random(), lambda: self._look_up(topic))
            else:
                self._look_up(topic)

        self._ask(GetData(self.records.path), read)

    # ---- sweeping ---------------------------------------------------------------------------------------------

    def _sweep(self, topic: Topic) -> None:
        """Takes away what binds nobody any more: words on epochs that are over, and records that are."""
        record, now = topic.record, self.loop.clock()
        if topic.busy or record is None or agreement.pending(record) or not self.holds() or not self._leads():
            return
        path, kept = (
            f"{self.records.path}/{topic.name}",
            agreement.is_valid(record, now - topic.since, self.lease.drift),
        )
        topic.swept = True

        def again() -> None:
            topic.swept = False
            self._sweep(topic)

        def deleted(error: int, result: object) -> None:
            if error not in (OK, NO_NODE):  # a late word lies in it, or it was taken up again
                self._time(topic, self.loop.clock() + SWEEP_AFTER, again)

        def got(error: int, result: object) -> None:
            if error != OK:
                topic.swept = False
                return
            for node in result[0]:
                epoch, _, _ = node.partition(".")
                if epoch.isdigit() and int(epoch) <= record.epoch:
                    self._write(Delete(f"{path}/{node}"), lambda error, result: None)
            if not kept:
                self._write(Delete(path, topic.stat.version), deleted)

        self._ask(GetChildren(path), got)
        if kept and record.standing is not None and record.standing.binds_for is not None:
            over = topic.since + record.standing.binds_for * (1 + 2 * self.lease.drift) + SWEEP_AFTER
            self._time(topic, over, again)

    # ---- going ------------------------------------------------------------------------------------------------

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        """Goes in peace: the node and the session end at once."""
        if self.chair.standing is not Standing.LISTED:
            self.stop()
            then()
            return
        self.stopped = True

        def closed() -> None:
            self.stop()
            then()

        self.chair.close(closed)

    def stop(self) -> None:
        """Falls silent, as a process that dies."""
        self.stopped = True
        self.chair.stop()

    def view_whole(self) -> dict:
        """What a fleet in tiers knows of the whole, by name; nothing in a flat one."""
        return {}

    def view(self) -> dict:
        """What `driftshed fleet` shows, from this supervisor's eyes."""
        now = self.loop.clock()
        rows = [row._asdict() for row in self.roll.rows(now)]
        records = [
            {"record": topic.record, "age": now - topic.since, "words": list(topic.ballots.values())}
            for topic in self.topics.values()
            if topic.record is not None
        ]
        return {
            "by": self.name,
            "incarnation": self.incarnation,
            "standing": self.chair.standing.value,
            "lease": round(self.lease_until() - now, 3) if self.holds() else None,
            "order": self.roll.order(),
            "members": rows,
            "records": records,
            "written": self.written,
            "not_believed": self.not_believed,
        }
