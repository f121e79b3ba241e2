"""Coordination agent of one supervisor: its member node, its peers and the agreed records.

It translates notifications of the store into requests; the decisions are made by `members`, `lease` and `agreement`.
Timers and the dial function are injected, so the same code runs on sockets and in virtual time.

For each topic one function, `_evaluate`, compares the desired state with the stored one and requests the difference,
one request at a time. After anything that leaves the outcome unknown (a lost connection, a lost answer, a version
conflict) the record itself is read again."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import UNSET, UnsetType
from msgspec.structs import replace

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Record, RecordError, Vote
from driftshed.coordination.folder import ChildNames, Folder
from driftshed.coordination.lease import MAX_CLOCK_DRIFT, Lease
from driftshed.coordination.members import Member, MemberError, MembershipView, decode_member, encode_member
from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import Announcer, RegistrationState
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
from driftshed.roster.session import SessionState

STAGGER_FRACTION = 0.5  # of the session timeout: delay per rank before the next in order does what the first has not
SWEEP_DELAY_S = 20.0  # how long a decided record is kept, so that its outcome can still be read
PUBLISH_INTERVAL_S = 1.0  # minimum interval between updates of the own member node
RETRY_DELAY_S = 0.2  # delay before a request with an unknown outcome is checked or repeated

VoteFunction = Callable[[Record], "tuple[bool, str] | None"]


class MemberRegistration(Announcer):
    """Registers this supervisor as the node NAME~INCARNATION and forwards session events to its agent."""

    def __init__(self, agent: Agent, *args: object) -> None:
        """`args`: arguments of `Announcer`."""
        self.agent = agent
        super().__init__(*args)

    @property
    def name(self) -> str:
        """Name of the supervisor, without the incarnation."""
        return self.node.name

    def data(self) -> bytes:
        """Encoded member data with the current incarnation."""
        return encode_member(replace(self.node, incarnation=self.epoch))

    def _open_session(self) -> None:
        super()._open_session()
        self.agent.attach_session(self.client)

    def _on_session_state(self, state: SessionState) -> None:
        self.agent.handle_session_state(state)
        super()._on_session_state(state)

    def _on_event(self, event: Event) -> None:
        self.agent.handle_event(event)


class Proposal:
    """A caller's handle on its proposal. `state`: waiting or open, then one of settled, void, lost (another proposal
    was first), refused or unknown; `why` gives the reason."""

    def __init__(self, token: str, build_record: Callable[[Record | None, int], Record], on_done: Callable) -> None:
        """`build_record(old, epoch)` returns the record to write; `on_done(proposal)` is called once, at the end."""
        self.token, self.build_record, self.on_done = token, build_record, on_done
        self.state, self.why, self.epoch = "waiting", "", 0
        self.withdraw_reason = ""  # the reason, once the proposal is to be withdrawn
        self.attempted_epoch = 0  # epoch of the last write, unless that write is known to have failed

    def finish(self, state: str, why: str = "") -> None:
        """Sets the final state and calls `on_done`; ignored after the first call."""
        if self.state in ("waiting", "open"):
            self.state, self.why = state, why
            self.on_done(self)


class TopicState:
    """Local state of one topic: the record as last read, pending requests and local proposals."""

    def __init__(self, name: str) -> None:
        """A topic whose record has not been read."""
        self.name = name
        self.record: Record | None = None
        self.stat: Stat | None = None
        self.observed_since = 0.0  # when the record was first read in its present state
        self.opened_at = 0.0  # when its epoch was first read
        self.votes: dict[str, Vote] = {}
        self.vote_folder: Folder | None = None
        self.voted_epoch = 0  # last epoch for which the own vote is known to be stored
        self.write_pending = self.read_pending = self.swept = False
        self.proposals: list[Proposal] = []
        self.pending_end: tuple[int, str, Callable[[bool, str], object]] | None = None
        self.parent_record: Record | None = None  # the parent fleet's record, where it is replicated here
        self.timer: Timer | None = None


class Agent:
    """Takes part in one fleet on behalf of a supervisor.

    Callbacks that the owner may replace: `vote_on(record)` returns the vote (assent, why) on an open record, or None to
    be asked again; `on_record(record)` after a record changed; `on_membership_change()` after the living changed;
    `on_fenced()` once another start of the same name has taken over."""

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
        drift: float = MAX_CLOCK_DRIFT,
        max_pause: float | None = None,
        absence_margin: float = 0.0,
    ) -> None:
        """`expected`: names of all supervisors of the fleet, this one included. `timeout`: of the session, in seconds.
        `seed` must differ at each start. `drift`, `max_pause`: see `Lease`. `absence_margin`: seconds added to a
        record's limit before an absent voter is skipped, in a fleet whose members are delegates of other fleets."""
        self.loop, self.root, self.log, self.timeout, self.absence_margin = loop, root, log, timeout, absence_margin
        self.levels = 1
        self.lease, self.membership = Lease(timeout, drift, max_pause), MembershipView(expected, loop.clock())
        self.addresses: list[str] = []  # that proxies may dial, by the current membership view
        self.topics: dict[str, TopicState] = {}
        self.swept_epochs: dict[str, int] = {}  # by topic: epoch of the record when it was swept
        # The run id distinguishes the proposals of two processes of one name when records are read again.
        self.run_id, self.proposal_count = f"{Random(f'run {seed}').getrandbits(48):x}", 0
        self.vote_on: VoteFunction = lambda record: None
        self.on_record: Callable[[Record], object] = lambda record: None
        self.on_membership_change: Callable[[], object] = lambda: None
        self.on_fenced: Callable[[], object] = lambda: None
        self.write_count = self.stale_reads = 0
        self.client, self.zxid = None, 0
        self.members = Folder(
            self._send, f"{root}/members", self._member_updated, self._member_removed, self._members_complete
        )
        self.records = Folder(
            self._send,
            f"{root}/records",
            self._record_updated,
            self._record_removed,
            self._records_complete,
            self._create_records_folder,
        )
        self.other_folders: list[Folder | ChildNames] = []  # folders of other fleets that are read as well
        self.stopped = False
        self.publish_timer: Timer | None = None
        self.wake_timer: Timer | None = None
        self.registration = MemberRegistration(
            self, loop, hosts, f"{root}/members", member, timeout, seed, self._registration_changed, dial
        )

    # ---- session ------------------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """Name of this agent in its fleet."""
        return self.registration.name

    @property
    def incarnation(self) -> int:
        """Number of this start of the name; 0 before one is assigned."""
        return self.registration.epoch

    def attach_session(self, client: object) -> None:
        """Continues with the client of a new session; all folders are read again."""
        # The store refuses a session whose zxid is ahead of it, which guards against a store that restarted from an
        # older state than this agent has read.
        if self.client is not None:
            self.zxid = max(self.zxid, self.client.session.zxid)
        client.session.zxid = self.zxid
        self.client = client
        self.membership.complete_since = None
        for folder in (self.members, self.records, *self.other_folders):
            folder.reset()
        for topic in self.topics.values():
            topic.vote_folder, topic.write_pending, topic.read_pending = None, False, False

    def handle_session_state(self, state: SessionState) -> None:
        """Reads the folders once the session is connected; marks them as outdated in any other state."""
        self.log("fleet_session", state=state.value)
        if state is SessionState.CONNECTED:
            self.loop.soon(self._begin)
        else:
            self.membership.complete_since = None
            for folder in (self.members, self.records, *self.other_folders):
                folder.mark_disconnected()

    def _begin(self) -> None:
        if self.client.session.state is SessionState.CONNECTED:
            for folder in (self.members, self.records, *self.other_folders):
                folder.refresh()
            for topic in self.topics.values():
                if topic.vote_folder is not None:
                    topic.vote_folder.refresh()

    def _registration_changed(self, state: RegistrationState) -> None:
        self.log("fleet_standing", state=state.value, incarnation=self.registration.epoch)
        if state is RegistrationState.FENCED:
            self.on_fenced()
        elif state is RegistrationState.LISTED:
            self._begin()
            self._evaluate_all()

    def _send(self, request: Request, then: Callable[[int, object], object]) -> None:
        client = self.client

        def on_reply(error: int, result: object) -> None:
            if client is self.client and error != EXPIRED and not self.stopped:
                then(error, result)

        client.send_request(request, on_reply)

    def handle_event(self, event: Event) -> None:
        """Dispatches a watch event to the folder concerned."""
        if not any(folder.handle_event(event) for folder in (self.members, self.records, *self.other_folders)):
            for topic in self.topics.values():
                if topic.vote_folder is not None and topic.vote_folder.handle_event(event):
                    return

    # ---- lease and values in force ------------------------------------------------------------------------------

    def holds_lease(self) -> bool:
        """Whether this start of the supervisor may act on agreed records now: its session is proven valid, and no other
        start of its name is registered."""
        session = self.client.session
        return (
            self.registration.state is RegistrationState.LISTED
            and not self.stopped
            and not self.membership.has_earlier_incarnation(self.name, self.incarnation)
            and self.membership.highest_incarnation.get(self.name, 0) == self.incarnation
            and self.lease.holds(self.loop.clock(), session.confirmed_at, session.timeout)
        )

    def lease_expires_at(self) -> float:
        """When the lease ends unless it is renewed, in seconds on the local monotonic clock."""
        return self.lease.expires_at(self.client.session.confirmed_at, self.client.session.timeout)

    def may_act(self) -> bool:
        """Whether records agreed for the entire fleet, across all levels of a hierarchy, may be acted on now."""
        return self.holds_lease()

    def may_act_until(self) -> float:
        """When the permission of `may_act` ends unless it is renewed, in seconds on the local monotonic clock."""
        return self.lease_expires_at()

    def proposal_backoff(self, most: float) -> float:
        """Proposal backoff in seconds, at most `most`: a delay before a proposal that all agents may make at once."""
        return 0.0

    def is_undecided(self, topic: str) -> bool:
        """Whether a replica of a parent fleet's record is undecided; the parent may already have decided it."""
        record = self.topics[topic].record if topic in self.topics else None
        return agreement.pending(record) and record.copied is not UNSET

    def value_in_force(self, topic: str) -> agreement.CommittedValue | None:
        """The committed value of a topic, for acting on it now; None without a lease or without a value in force."""
        return self.committed_value(topic) if self.holds_lease() else None

    def committed_value(self, topic: str) -> agreement.CommittedValue | None:
        """The committed value of a topic as last read, with or without a lease: for display, not for new actions."""
        topic_state = self.topics.get(topic)
        return topic_state.record.standing if topic_state is not None and topic_state.record is not None else None

    def is_open(self, topic: str) -> bool:
        """Whether the record of a topic was undecided when it was last read."""
        topic_state = self.topics.get(topic)
        return topic_state is not None and agreement.pending(topic_state.record)

    # ---- members ------------------------------------------------------------------------------------------------

    def _member_updated(self, node: str, data: bytes, stat: Stat) -> None:
        try:
            member = decode_member(node, data)
        except MemberError as error:
            self.log("bad_member", level="warning", why=str(error))
            return
        if member.name == self.name and self.incarnation and member.incarnation > self.incarnation:
            # Of two processes with one name the older one logs this and stops acting.
            self.log("fenced", level="error", by=member.incarnation, own=self.incarnation)
            self.registration.fence()
            return
        self.membership.update_node(node, member, stat.czxid, self.loop.clock())
        self._membership_changed()

    def _member_removed(self, node: str) -> None:
        self.membership.remove_node(node, self.loop.clock())
        self._membership_changed()

    def _members_complete(self) -> None:
        # After a new session no watch reports the nodes that were removed before it.
        for node in [node for node in self.membership.nodes if node not in self.members.names]:
            self.membership.remove_node(node, self.loop.clock())
        if self.membership.complete_since is None:
            self.membership.complete_since = self.loop.clock()
        self._membership_changed()

    def _membership_changed(self) -> None:
        self.addresses = self.membership.addresses()
        self.on_membership_change()
        self._evaluate_all()

    def publish(self, **changes: object) -> None:
        """Publishes changed fields of the own member data; rate-limited, and written only if something differs."""
        node = replace(self.registration.node, **changes)
        if node == self.registration.node:
            return
        delay = PUBLISH_INTERVAL_S if changes.keys() & {"state", "digest"} else self._publish_delay()
        self.registration.node = node
        if self.publish_timer is not None and self.publish_timer.at > self.loop.clock() + delay:
            self.publish_timer.cancel()
            self.publish_timer = None
        if self.publish_timer is None:
            self.publish_timer = self.loop.after(delay, self._publish)

    def _publish_delay(self) -> float:
        return PUBLISH_INTERVAL_S

    def fence_name(self, name: str) -> None:
        """Consumes an incarnation of another supervisor's name, so that a start of it that is only suspended finds
        itself fenced when it resumes. A new start uses the next incarnation."""
        self._write(SetData(f"{self.root}/members-epochs/{name}", b"", ANY_VERSION), lambda error, result: None)

    def _publish(self) -> None:
        self.publish_timer = None
        if self.registration.state is RegistrationState.LISTED:
            self._write(SetData(self.registration.path, self.registration.data()), lambda error, result: None)

    # ---- reading records ----------------------------------------------------------------------------------------

    def _create_records_folder(self) -> None:
        self._write(
            Create(self.records.path, b""),
            lambda error, result: (
                self.records.refresh()
                if error in (OK, NODE_EXISTS)
                else self.loop.after(RETRY_DELAY_S, self.records.refresh)
            ),
        )

    def _topic(self, name: str) -> TopicState:
        return self.topics.setdefault(name, TopicState(name))

    def _record_updated(self, name: str, data: bytes, stat: Stat) -> None:
        topic, now = self._topic(name), self.loop.clock()
        topic.read_pending = False
        try:
            record = agreement.decode_record(name, data)
        except RecordError as error:
            self.log("bad_record", level="warning", why=str(error))
            return
        old = topic.record
        older = topic.stat is not None and stat.mzxid < topic.stat.mzxid
        if older or not agreement.newer(record, old) or record.epoch <= self.swept_epochs.get(name, 0):
            # A store replica may answer from an older state; the observed state of a record only advances.
            self.stale_reads += 1
            self.log("not_believed", level="warning", topic=name, epoch=record.epoch, mzxid=stat.mzxid)
            return
        topic.record, topic.stat = record, stat
        if old is None or old.epoch != record.epoch:
            topic.opened_at, topic.votes, topic.vote_folder = now, {}, None
        if old != record:
            topic.observed_since, topic.swept = now, False
            self.log("record", topic=name, epoch=record.epoch, state=record.state, by=record.by, why=record.why)
            self.on_record(record)
        self._notify_proposers(topic)
        self._evaluate(topic)

    def _record_removed(self, name: str) -> None:
        topic = self.topics.pop(name, None)
        if topic is None:
            return
        if topic.record is not None:
            self.swept_epochs[name] = topic.record.epoch
            if len(self.swept_epochs) > agreement.MAX_TOPICS:
                del self.swept_epochs[next(iter(self.swept_epochs))]
        if topic.timer:
            topic.timer.cancel()
        if topic.proposals or topic.pending_end:
            recreated = self._topic(name)
            recreated.proposals, recreated.pending_end = topic.proposals, topic.pending_end
            self._notify_proposers(recreated)
            self._evaluate(recreated)

    def _records_complete(self) -> None:
        for name in [
            name for name, topic in self.topics.items() if topic.record is not None and name not in self.records.names
        ]:
            self._record_removed(name)
        self._evaluate_all()

    def _notify_proposers(self, topic: TopicState) -> None:
        """Updates the local proposals on a topic, and ends those whose outcome the record shows."""
        record = topic.record
        for proposal in list(topic.proposals):
            if record is not None and record.token == proposal.token:
                proposal.state = "open" if proposal.state == "waiting" else proposal.state
                proposal.epoch = record.epoch
                if record.state == "settled":
                    proposal.finish("settled")
                elif not agreement.pending(record):
                    proposal.finish("settled" if record.passed else "void", record.why)
            elif record is not None and record.standing is not None and record.standing.token == proposal.token:
                proposal.finish("settled")
            elif (
                (own_epoch := max(proposal.epoch, proposal.attempted_epoch))
                and record is not None
                and record.epoch > own_epoch
            ):
                # The record has a later epoch than the proposal and no longer shows the outcome: do not guess it.
                proposal.finish("unknown", "the topic advanced before the outcome was read")
            elif proposal.epoch and record is None:
                proposal.finish("unknown", "the topic was swept before the outcome was read")
            elif agreement.pending(record):
                proposal.finish("lost", f"epoch {record.epoch} of {record.by} was there first")
        topic.proposals = [each for each in topic.proposals if each.state in ("waiting", "open")]

    # ---- desired state ------------------------------------------------------------------------------------------

    def propose(
        self,
        topic: str,
        body: object,
        voters: tuple[str, ...],
        quorum: int,
        proposal_timeout: float,
        on_done: Callable[[Proposal], object] = lambda proposal: None,
        valid_for: float | None = None,
        absence_timeout: float | UnsetType = UNSET,
    ) -> Proposal:
        """Proposes a value for a topic; `quorum` of `voters` must assent within `proposal_timeout` seconds.

        `done(proposal)` is called with the outcome, also after a temporary loss of contact. `valid_for`: validity of
        the value in seconds, unlimited unless given. `absence_timeout`: seconds of silence after which an absent voter
        is skipped; never unless given. Raises RecordError where the proposal could never be committed."""
        agreement.check_proposal(topic, voters, quorum, proposal_timeout)
        self.proposal_count += 1
        token = f"{self.name}~{self.run_id}#{self.proposal_count}"

        def build_record(old: Record | None, epoch: int) -> Record:
            parameters = voters, quorum, proposal_timeout, valid_for, absence_timeout
            return agreement.proposed_record(old, topic, epoch, self.name, token, body, *parameters)

        # A committed record holds the body twice, as the proposal and as the value in force. One too large for that
        # could be opened, but never committed.
        agreement.encode(agreement.committed(build_record(None, 1)))  # raises RecordError
        proposal = Proposal(token, build_record, on_done)
        if topic not in self.topics and len(self.topics) >= agreement.MAX_TOPICS:
            raise RecordError(f"{len(self.topics)} topics exist: end some first")
        topic_state = self._topic(topic)
        topic_state.proposals.append(proposal)
        self._evaluate(topic_state)
        return proposal

    def withdraw(self, topic: str, proposal: Proposal, why: str = "withdrawn") -> None:
        """Withdraws a local proposal unless it is committed first; its `on_done` receives the outcome."""
        proposal.withdraw_reason = why
        topic_state = self._topic(topic)
        if proposal.state == "waiting" and not topic_state.write_pending:
            proposal.finish("void", why)
            topic_state.proposals = [each for each in topic_state.proposals if each is not proposal]
        self._evaluate(topic_state)

    def replicate(self, record: Record) -> None:
        """Replicates a record of the parent fleet: put to the vote here while it is open there, then decided as
        there."""
        topic = self._topic(record.topic)
        topic.parent_record = record
        self._evaluate(topic)

    def replica_update(self, topic: TopicState) -> Record | None:
        """The record that a replica must become to match the parent fleet's; None if it matches or is no replica."""
        if topic.parent_record is None:
            return None
        return agreement.replicated(topic.record, topic.parent_record, self.name, self.membership.expected)

    def end(
        self, topic: str, epoch: int, why: str, on_done: Callable[[bool, str], object] = lambda ok, why: None
    ) -> None:
        """Ends the value in force of a topic, committed under this epoch: `done(True, "")`, or `done(False,
        reason)`."""
        topic_state = self._topic(topic)
        topic_state.pending_end = epoch, why, on_done
        self._evaluate(topic_state)

    def evaluate(self) -> None:
        """Evaluates all topics, and so calls `vote_on` again where it has returned None."""
        self._evaluate_all()

    def _evaluate_all(self) -> None:
        for topic in list(self.topics.values()):
            self._evaluate(topic)

    def _evaluate(self, topic: TopicState) -> None:
        """Requests the difference between the desired and the stored state of a topic, if there is one."""
        if topic.write_pending or topic.read_pending or not self.records.complete:
            return
        record = topic.record
        if not self.holds_lease():
            # No vote or write without a valid lease; the topic is evaluated again until it is valid.
            if self._has_work(topic):
                self._schedule_wake()
            return
        if replica := self.replica_update(topic):
            self._write_replica(topic, replica)
        elif agreement.pending(record):
            if record.state == "open":
                self._evaluate_open(topic, record)
        elif topic.pending_end is not None:
            self._write_end(topic)
        elif topic.proposals:
            self._write_proposal(topic, topic.proposals[0])
        elif record is not None and not topic.swept and self._is_leader():
            self._set_timer(topic, topic.observed_since + SWEEP_DELAY_S, lambda: self._sweep(topic))

    def _has_work(self, topic: TopicState) -> bool:
        return bool(
            topic.proposals or topic.pending_end or agreement.pending(topic.record) or self.replica_update(topic)
        )

    def _schedule_wake(self) -> None:
        if self.wake_timer is None:
            self.wake_timer = self.loop.after(RETRY_DELAY_S, self._on_wake)

    def _on_wake(self) -> None:
        self.wake_timer = None
        self._evaluate_all()

    def _set_timer(self, topic: TopicState, at: float, callback: Callable[[], object]) -> None:
        if topic.timer:
            topic.timer.cancel()
        topic.timer = self.loop.at(at, callback)

    def _is_leader(self) -> bool:
        order = self.membership.order()
        return bool(order) and order[0] == self.name

    def _evaluate_open(self, topic: TopicState, record: Record) -> None:
        now = self.loop.clock()
        if self.name in record.needs and topic.voted_epoch < record.epoch:
            vote = self._hierarchy_mismatch(record) or self.vote_on(record)
            if vote is not None:
                self._cast_vote(topic, record, *vote)
                return
        withdrawn = next((each.withdraw_reason for each in topic.proposals if each.token == record.token), "")
        if withdrawn:
            self._write_decision(topic, agreement.aborted(record, withdrawn))
            return
        # Any supervisor can decide the record alike. To save work the proposer is first while it lives, then the others
        # in turn.
        order = self.membership.order()
        order = [record.by] * (record.by in order) + [name for name in order if name != record.by]
        rank = order.index(self.name) if self.name in order else len(order)
        turn_at = topic.opened_at + rank * STAGGER_FRACTION * self.timeout + (record.patience if rank else 0.0)
        if now < turn_at:
            self._set_timer(topic, turn_at, lambda: self._evaluate(topic))
            return
        if topic.vote_folder is None:
            path = f"{self.records.path}/{topic.name}"
            vote_folder = topic.vote_folder = Folder(
                self._send,
                path,
                lambda node, data, stat: self._vote_read(topic, node, data),
                lambda node: None,
                lambda: self._decide(topic, vote_folder),
                watch_data=False,
            )
            vote_folder.refresh()
        elif topic.vote_folder.complete:
            self._decide(topic, topic.vote_folder)

    def _hierarchy_mismatch(self, record: Record) -> tuple[bool, str] | None:
        """An objection where the proposer was configured with another hierarchy, and so with other voters; else
        None."""
        if record.waits is UNSET or frozenset(record.needs) == self.membership.expected_set:
            return None
        differing = sorted(self.membership.expected_set ^ frozenset(record.needs))[:4]
        return False, f"its tiers are not those of {record.by}, by {', '.join(differing)}: give all the same --tiers"

    def _vote_read(self, topic: TopicState, node: str, data: bytes) -> None:
        try:
            vote = agreement.read_vote(node, data)
        except RecordError as error:
            self.log("bad_ballot", level="warning", why=str(error))
            return
        if topic.record is not None and vote.epoch == topic.record.epoch:
            topic.votes[vote.name] = vote

    def _decide(self, topic: TopicState, vote_folder: Folder) -> None:
        """Decides an open record once all stored votes have been read, or sets a timer for the next check."""
        record = topic.record
        if (
            topic.vote_folder is not vote_folder
            or topic.write_pending
            or record is None
            or record.state != "open"
            or not self.holds_lease()
        ):
            return
        absent, next_at = self._absent_voters(record, topic.votes)
        result = agreement.outcome(record, topic.votes, absent)
        deadline = topic.opened_at + record.patience
        if result is UNSET and self.loop.clock() >= deadline:
            result = agreement.timed_out(record, topic.votes)
        if result is UNSET:
            self._set_timer(topic, min(deadline, next_at), lambda: self._evaluate(topic))
        else:
            self._write_decision(topic, result)

    def _absent_voters(self, record: Record, votes: dict[str, Vote]) -> tuple[frozenset[str], float]:
        """Which voters without a vote count as absent, and when that may change without any event.

        Nobody does while the membership view lags behind the store's notifications: a voter that returned before the
        record was created must be in the view."""
        if record.waits is UNSET:
            return frozenset(), float("inf")
        now, after = self.loop.clock(), record.waits + self.absence_margin
        if not self.members.current:
            return frozenset(), now + RETRY_DELAY_S
        silent = self.membership.absent_for(now)
        silent_voters = {name: silent[name] for name in agreement.missing_votes(record, votes) if name in silent}
        absent = frozenset(name for name, seconds in silent_voters.items() if seconds >= after)
        # 10 ms later: rounding could otherwise fire the timer just too early, again and again.
        return absent, min(
            (now + after - seconds + 0.01 for name, seconds in silent_voters.items() if name not in absent),
            default=float("inf"),
        )

    # ---- writing ------------------------------------------------------------------------------------------------

    def _write(self, request: Request, then: Callable[[int, object], object]) -> None:
        self.write_count += 1
        self._send(request, then)

    def _reread(self, topic: TopicState) -> None:
        """Reads the record again after a write, whose outcome may be unknown."""
        topic.read_pending = True
        topic.write_pending = False
        self.records.read(topic.name) if topic.record is not None else self._read_unlisted(topic)

    def _read_unlisted(self, topic: TopicState) -> None:
        """Reads the record of a topic that did not exist when the folder was last listed."""

        def on_reply(error: int, result: object) -> None:
            if error == OK:
                self.records.read(topic.name)
            else:
                topic.read_pending = False
                self.loop.after(RETRY_DELAY_S, lambda: self._evaluate(topic))

        self._send(GetData(f"{self.records.path}/{topic.name}"), on_reply)

    def _cast_vote(self, topic: TopicState, record: Record, assent: bool, why: str) -> None:
        vote = Vote(self.name, record.epoch, assent, why[:1024], self.incarnation)
        path = f"{self.records.path}/{topic.name}/{agreement.vote_node_name(record.epoch, self.name)}"
        topic.write_pending = True

        def on_reply(error: int, result: object) -> None:
            topic.write_pending = False
            if error in (OK, NODE_EXISTS):  # an existing vote is the own one: votes are cast once
                topic.voted_epoch = max(topic.voted_epoch, record.epoch)
                self._evaluate(topic)
            else:
                self._reread(topic)

        self._write(Create(path, agreement.encode(vote)), on_reply)

    def _write_replica(self, topic: TopicState, record: Record) -> None:
        try:
            data = agreement.encode(record)
        except RecordError as error:
            self.log("copy_too_large", level="error", topic=topic.name, why=str(error))
            return
        topic.write_pending = True
        path = f"{self.records.path}/{topic.name}"
        request = Create(path, data) if topic.record is None else SetData(path, data, topic.stat.version)
        self._write(request, lambda error, result: self._reread(topic))

    def _write_decision(self, topic: TopicState, record: Record) -> None:
        """The compare-and-set that decides a proposal or ends a committed value."""
        topic.write_pending = True
        path = f"{self.records.path}/{topic.name}"
        self._write(
            SetData(path, agreement.encode(record), topic.stat.version), lambda error, result: self._reread(topic)
        )

    def _write_end(self, topic: TopicState) -> None:
        epoch, why, on_done = topic.pending_end
        try:
            if topic.record is None:
                raise RecordError(f"{topic.name}: no value is in force")
            record = agreement.ended(topic.record, epoch, why)
        except RecordError as error:
            topic.pending_end = None
            standing = topic.record.standing if topic.record is not None else None
            already_ended = standing is None or standing.epoch > epoch
            on_done(already_ended, "" if already_ended else str(error))
            self._evaluate(topic)
            return
        self._write_decision(topic, record)

    def _write_proposal(self, topic: TopicState, proposal: Proposal) -> None:
        """Allocates the fleet's next epoch and writes the record in one transaction."""
        topic.write_pending = True
        path = f"{self.records.path}/{topic.name}"

        def on_counter_read(error: int, result: object) -> None:
            if error != OK:
                self._reread(topic)
                return
            version, current = result[1].version, topic.record
            if (
                proposal.attempted_epoch
                and version >= proposal.attempted_epoch
                and (current is None or current.epoch > proposal.attempted_epoch)
            ):
                # An earlier write may have been committed, ended and swept before its outcome could be read: the
                # fleet's counter has passed its epoch and no record shows it. Writing again could apply the proposal
                # twice.
                topic.write_pending = False
                proposal.finish("unknown", "the answer was lost, and the topic advanced before the outcome was read")
                self._notify_proposers(topic)
                self._evaluate(topic)
                return
            try:
                record = proposal.build_record(topic.record, version + 1)
            except RecordError as error:
                topic.write_pending = False
                proposal.finish("refused", str(error))
                self._notify_proposers(topic)
                self._evaluate(topic)
                return
            data = agreement.encode(record)
            proposal.attempted_epoch = version + 1
            write_request = Create(path, data) if topic.record is None else SetData(path, data, topic.stat.version)
            self._write(Multi((SetData(self.records.path, b"", version), write_request)), on_written)

        def on_written(error: int, result: object) -> None:
            if error in (BAD_VERSION, NODE_EXISTS, NO_NODE):
                proposal.attempted_epoch = 0  # certainly not written
                self.loop.after(RETRY_DELAY_S * self.registration.random.random(), lambda: self._reread(topic))
            else:
                self._reread(topic)

        self._send(GetData(self.records.path), on_counter_read)

    # ---- sweeping -----------------------------------------------------------------------------------------------

    def _sweep(self, topic: TopicState) -> None:
        """Deletes what is no longer needed: votes on decided epochs, and records without a valid value."""
        record, now = topic.record, self.loop.clock()
        if (
            topic.write_pending
            or record is None
            or agreement.pending(record)
            or not self.holds_lease()
            or not self._is_leader()
        ):
            return
        path, still_valid = (
            f"{self.records.path}/{topic.name}",
            agreement.is_valid(record, now - topic.observed_since, self.lease.drift),
        )
        topic.swept = True

        def retry() -> None:
            topic.swept = False
            self._sweep(topic)

        def on_deleted(error: int, result: object) -> None:
            if error not in (OK, NO_NODE):  # it holds a late vote, or has been proposed again
                self._set_timer(topic, self.loop.clock() + SWEEP_DELAY_S, retry)

        def on_listed(error: int, result: object) -> None:
            if error != OK:
                topic.swept = False
                return
            for node in result[0]:
                epoch, _, _ = node.partition(".")
                if epoch.isdigit() and int(epoch) <= record.epoch:
                    self._write(Delete(f"{path}/{node}"), lambda error, result: None)
            if not still_valid:
                self._write(Delete(path, topic.stat.version), on_deleted)

        self._send(GetChildren(path), on_listed)
        if still_valid and record.standing is not None and record.standing.binds_for is not None:
            expires_at = topic.observed_since + record.standing.binds_for * (1 + 2 * self.lease.drift) + SWEEP_DELAY_S
            self._set_timer(topic, expires_at, retry)

    # ---- shutdown -----------------------------------------------------------------------------------------------

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        """Leaves the fleet gracefully: closes the session, which removes the member node at once; then calls `then`."""
        if self.registration.state is not RegistrationState.LISTED:
            self.stop()
            then()
            return
        self.stopped = True

        def on_closed() -> None:
            self.stop()
            then()

        self.registration.close(on_closed)

    def stop(self) -> None:
        """Stops without closing the session, as a crashed process would."""
        self.stopped = True
        self.registration.stop()

    def fleet_summary(self) -> dict:
        """Summary of the entire hierarchy, as keys of the view; empty in a flat fleet."""
        return {}

    def view(self) -> dict:
        """The fleet as seen by this supervisor, as `driftshed fleet` shows it."""
        now = self.loop.clock()
        rows = [row._asdict() for row in self.membership.rows(now)]
        records = [
            {"record": topic.record, "age": now - topic.observed_since, "words": list(topic.votes.values())}
            for topic in self.topics.values()
            if topic.record is not None
        ]
        return {
            "by": self.name,
            "incarnation": self.incarnation,
            "standing": self.registration.state.value,
            "lease": round(self.lease_expires_at() - now, 3) if self.holds_lease() else None,
            "order": self.membership.order(),
            "members": rows,
            "records": records,
            "written": self.write_count,
            "not_believed": self.stale_reads,
        }
