"""Agent of a supervisor in a hierarchical fleet: a member of its cell that also reads its region, and that serves as
the delegate of its cell and of its region when it is its turn. The rules are in `hierarchy` and `agreement`."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import UNSET, UnsetType, to_builtins

from driftshed.coordination import agreement
from driftshed.coordination import hierarchy as hierarchy_rules
from driftshed.coordination.agent import Agent, Proposal, TopicState
from driftshed.coordination.agreement import Record, RecordError
from driftshed.coordination.folder import ChildNames, Folder
from driftshed.coordination.hierarchy import FleetMembership, Heartbeat, HeartbeatTracker, Hierarchy
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.coordination.members import Digest, Member, MemberError, parse_node_name
from driftshed.net.loop import Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import RegistrationState
from driftshed.roster.jute import NO_NODE, OK, Create, GetData, SetData, Stat, Sync
from driftshed.roster.session import SessionState

MAX_PUBLISH_INTERVAL_S = 5.0  # between updates of counts and versions in a cell; each update goes to all its members
BACKOFF_PER_SUPERVISOR_S = 0.002  # interval per supervisor over which simultaneous proposals are spread
PROPOSER_LINGER_S = 1.0  # how long the proposing agent stays in the top-level fleet after its last proposal


class HierarchicalAgent(Agent):
    """Agent of a cell in a hierarchical fleet.

    `may_act()` is the permission to act on records of the entire fleet: it requires the cell's lease, a delegate of the
    cell in the region and of the region in the top-level fleet, and up-to-date replicas. `propose` proposes in the
    top-level fleet."""

    def __init__(
        self,
        loop: Timers,
        hierarchy: Hierarchy,
        member: Member,
        timeout: float,
        seed: int,
        log: Callable[..., object] = lambda event, **fields: None,
        dial: Callable[..., Stream] = dial,
        drift: float = MAX_CLOCK_DRIFT,
        max_pause: float | None = None,
    ) -> None:
        """`hierarchy` must contain `member.name`, else HierarchyError is raised; the other arguments are those of
        `Agent`."""
        self.placement, self.dial, self.drift, self.max_pause = hierarchy.placement(member.name), dial, drift, max_pause
        self.random = Random(f"tiers {seed}")
        self.supervisor_count = hierarchy.supervisor_count()
        cell, region = self.placement.cell, self.placement.region
        super().__init__(loop, cell.hosts, cell.root, member, cell.expected, timeout, seed, log, dial, drift, max_pause)
        self.levels = hierarchy_rules.LEVELS
        self.heartbeats = HeartbeatTracker(timeout, drift)
        self.region_records: dict[str, Record] = {}  # the region's records, as read through the own session
        self.comparisons: dict[
            str, tuple[Record, Record | None, bool]
        ] = {}  # by topic: region's record, cell's replica, whether it lags
        self.region_members = ChildNames(self._send, f"{region.root}/members", self._region_members_changed)
        self.cell_registered = False  # whether the cell was a member of the region when last read
        self.region_folder = Folder(
            self._send, f"{region.root}/records", self._region_record_updated, self._region_record_removed
        )
        self.other_folders += [self.region_members, self.region_folder]
        self.poll_pending = self.heartbeat_pending = False
        self.unattended_since: float | None = None  # since when the cell has no working delegate
        self.for_cell: Agent | None = None  # own member of the region, while delegate of the cell
        self.for_region: Agent | None = None  # own member of the top-level fleet, while delegate of the region
        self.proposer: Agent | None = None  # own guest session in the top-level fleet, during proposals
        self.live_proposals: list[Proposal] = []  # proposals that have not ended
        self.heartbeat_run, self.heartbeat_number = "", 0
        self._tick()

    # ---- permission to act --------------------------------------------------------------------------------------

    def may_act(self) -> bool:
        """Whether records of the entire fleet may be acted on now."""
        return (
            self.holds_lease()
            and self.loop.clock() < self.heartbeats.proven_until
            and self._cell_has_delegate()
            and self.records.current
            and self.region_folder.current
            and not self._replicas_lag()
        )

    def may_act_until(self) -> float:
        """When that ends unless renewed: the earlier end of the cell's lease and of the proof by heartbeats."""
        return min(self.lease_expires_at(), self.heartbeats.proven_until)

    def is_undecided(self, topic: str) -> bool:
        """Whether the cell's replica or the region's record of a topic is undecided."""
        return super().is_undecided(topic) or agreement.pending(self.region_records.get(topic))

    def _cell_has_delegate(self) -> bool:
        """Whether the cell is a member of the region, by an up-to-date listing."""
        return self.region_members.current and self.cell_registered

    def _region_members_changed(self) -> None:
        self.cell_registered = False
        for node in self.region_members.names:
            try:
                self.cell_registered = self.cell_registered or parse_node_name(node)[0] == self.placement.region.name
            except MemberError as error:
                self.log("bad_member", level="warning", why=str(error))

    def _replicas_lag(self) -> bool:
        """Whether any replica in the cell differs from what the region's records require."""
        for topic, record in self.region_records.items():
            own = self.topics[topic].record if topic in self.topics else None
            comparison = self.comparisons.get(topic)
            if comparison is None or comparison[0] is not record or comparison[1] is not own:
                lags = agreement.replicated(own, record, self.name, self.membership.expected) is not None
                comparison = self.comparisons[topic] = record, own, lags
            if comparison[2]:
                return True
        return False

    @staticmethod
    def _required_replica(record: Record, child: Agent, expected: tuple[str, ...]) -> Record | None:
        topic = child.topics.get(record.topic)
        return agreement.replicated(topic.record if topic is not None else None, record, child.name, expected)

    def _region_record_updated(self, topic: str, data: bytes, stat: Stat) -> None:
        try:
            record = agreement.decode_record(topic, data)
        except RecordError as error:
            self.log("bad_record", level="warning", why=str(error))
            return
        if topic in self.region_records or len(self.region_records) < agreement.MAX_TOPICS:
            self.region_records[topic] = record

    def _region_record_removed(self, topic: str) -> None:
        self.region_records.pop(topic, None)
        self.comparisons.pop(topic, None)

    # ---- periodic work ------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self.stopped:
            return
        self.loop.after(self.timeout / hierarchy_rules.HEARTBEATS_PER_TIMEOUT, self._tick)
        if self.client.session.state is SessionState.CONNECTED:
            if not self.region_folder.listed and not self.region_folder.pending_listings:
                self.region_folder.refresh()  # the folder did not exist; no watch reports its creation
            if (
                self.region_members.missing or not self.region_members.listed
            ) and not self.region_members.pending_listings:
                self.region_members.refresh()
            self._poll_heartbeat()
        self._maintain_cell_delegate()
        self._maintain_region_delegate()
        self._publish_digests()
        self._send_heartbeat()

    def _poll_heartbeat(self) -> None:
        """Reads the region's heartbeat. A preceding sync makes a store replica that lags behind catch up first."""
        if self.poll_pending:
            return
        self.poll_pending, client, polled_at = True, self.client, self.loop.clock()
        path = f"{self.placement.region.root}/above"

        def on_reply(error: int, result: object) -> None:
            self.poll_pending = False
            if client is self.client and error in (OK, NO_NODE):
                self.heartbeats.observe(
                    hierarchy_rules.decode_heartbeat(result[0]) if error == OK else None, polled_at, self.loop.clock()
                )

        client.send_request(Sync(path), lambda error, result: None)
        client.send_request(GetData(path), on_reply)

    # ---- delegates ----------------------------------------------------------------------------------------------

    def _registration_changed(self, state: RegistrationState) -> None:
        super()._registration_changed(state)
        if state is RegistrationState.FENCED:  # another process has the name and may become the delegate
            for agent in self._other_agents():
                self.loop.soon(agent.leave)
            self.proposer = self.for_region = self.for_cell = None

    def _make_agent(self, fleet: FleetMembership, member: Member, seed: str) -> Agent:
        number = Random(f"{seed} {self.run_id} {self.random.random()}").getrandbits(48)
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
            hierarchy_rules.absence_margin(self.timeout, self.drift),
        )

    def _maintain_cell_delegate(self) -> None:
        if self.for_cell is not None:
            return
        now, missing = self.loop.clock(), self.region_members.listed and not self.cell_registered
        if not (missing or (self.region_folder.current and self._replicas_lag())):
            self.unattended_since = None
            return
        if self.unattended_since is None:
            self.unattended_since = now
        order = self.membership.order()
        if not self.holds_lease() or not self.members.current or self.name not in order:
            return
        if not hierarchy_rules.takeover_due(now - self.unattended_since, order.index(self.name), missing, self.timeout):
            return
        self.unattended_since = None
        self.log("speaks_for_cell", cell=self.placement.region.name)
        agent = self.for_cell = self._make_agent(
            self.placement.region, self._member_named(self.placement.region.name), "cell"
        )
        agent.vote_on = lambda record: self._vote_of(self, record)
        agent.on_record = lambda record: (self.replicate(record), self._evaluate_if_present(self.for_region))
        agent.on_fenced = lambda: self._resign_cell(agent)

    def _maintain_region_delegate(self) -> None:
        cell_delegate = self.for_cell
        if cell_delegate is None:
            return
        now = self.loop.clock()
        silent_for = self.heartbeats.silent_for(now)
        other_active = self.heartbeats.last is not None and self.heartbeats.last.run != self.heartbeat_run
        if self.for_region is not None:
            if (
                other_active
                and not self.for_region.holds_lease()
                and silent_for < hierarchy_rules.STAGGER_FRACTION * self.timeout
            ):
                self._resign_region(self.for_region)  # another delegate is active, and this one has no lease
            return
        order = cell_delegate.membership.order()
        if (
            not cell_delegate.holds_lease()
            or not cell_delegate.members.current
            or cell_delegate.name not in order
            or silent_for is None
        ):
            return
        if not hierarchy_rules.takeover_due(
            silent_for, order.index(cell_delegate.name), self.heartbeats.last is None, self.timeout
        ):
            return
        self.log("speaks_for_region", region=self.placement.top.name)
        agent = self.for_region = self._make_agent(
            self.placement.top, self._member_named(self.placement.top.name), "region"
        )
        agent.vote_on = lambda record: self._vote_of(cell_delegate, record)
        agent.on_record = cell_delegate.replicate
        agent.on_fenced = lambda: self._resign_region(agent)
        self._new_heartbeat_run()

    def _member_named(self, name: str) -> Member:
        return Member(name, self.registration.node.address, self.registration.node.build)

    @staticmethod
    def _vote_of(child: Agent, record: Record) -> tuple[bool, str] | None:
        topic = child.topics.get(record.topic)
        return agreement.vote_for_parent(topic.record if topic is not None else None, record.epoch)

    def _notify_proposers(self, topic: TopicState) -> None:
        super()._notify_proposers(topic)
        self._evaluate_if_present(self.for_cell)  # the cell may be ready to vote

    @staticmethod
    def _evaluate_if_present(agent: Agent | None) -> None:
        if agent is not None:
            agent.evaluate()

    def _resign_cell(self, agent: Agent) -> None:
        """Steps down: another supervisor is the delegate of the cell."""
        if self.for_cell is agent:
            self.log("silent_for_cell", cell=agent.name)
            self.for_cell = None
            self.loop.soon(agent.stop)  # after its session has been closed, if possible
            if self.for_region is not None:
                self._resign_region(self.for_region)

    def _resign_region(self, agent: Agent) -> None:
        if self.for_region is agent:
            self.log("silent_for_region", region=agent.name)
            self.for_region = None
            self.loop.soon(agent.leave)

    def _publish_digests(self) -> None:
        if self.for_cell is not None:
            self.for_cell.publish(digest=hierarchy_rules.cell_digest(self.membership.rows(self.loop.clock())))
        if self.for_region is not None and self.for_cell is not None:
            self.for_region.publish(digest=self._aggregate_digest(self.for_cell, self.placement.region))

    @staticmethod
    def _aggregate_digest(delegate: Agent, fleet: FleetMembership) -> Digest:
        living = {name: present.member for name, present in delegate.membership.living().items()}
        return hierarchy_rules.aggregate_digest(living, fleet.sizes)

    # ---- heartbeats ---------------------------------------------------------------------------------------------

    def _new_heartbeat_run(self) -> None:
        self.heartbeat_run, self.heartbeat_number = f"{self.run_id}.{self.random.getrandbits(32):x}", 0

    def _region_is_current(self) -> bool:
        """Whether all records read in the top-level fleet have been replicated to the region."""
        parent, child = self.for_region, self.for_cell
        if not parent.records.current or any(
            topic.read_pending or topic.write_pending for topic in parent.topics.values()
        ):
            return False
        return all(
            self._required_replica(topic.record, child, child.membership.expected) is None
            for topic in parent.topics.values()
            if topic.record is not None
        )

    def _send_heartbeat(self) -> None:
        """Publishes the next heartbeat in the region, once the one before has been answered."""
        parent, child = self.for_region, self.for_cell
        if parent is None or child is None or self.heartbeat_pending:
            return
        if not (parent.holds_lease() and child.holds_lease() and self._region_is_current()):
            return
        self.heartbeat_pending, self.heartbeat_number, run = True, self.heartbeat_number + 1, self.heartbeat_run
        path = f"{self.placement.region.root}/above"
        heartbeat = Heartbeat(self.name, run, self.heartbeat_number, self._aggregate_digest(parent, self.placement.top))
        client = child.client

        def on_reply(error: int, result: object) -> None:
            self.heartbeat_pending = False
            if error == NO_NODE:
                child.client.send_request(
                    Create(path, hierarchy_rules.encode_heartbeat(heartbeat)), lambda error, result: None
                )
            if error != OK and run == self.heartbeat_run:
                self._new_heartbeat_run()  # it may take effect at any time, so no later heartbeat may build on it

        client.send_request(SetData(path, hierarchy_rules.encode_heartbeat(heartbeat)), on_reply)

    # ---- proposals ----------------------------------------------------------------------------------------------

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
        """Proposes in the top-level fleet, through a guest session: all regions are voters, and `voters` and `quorum`
        are ignored. The proposal ends as void if that fleet is not reached within `proposal_timeout`."""
        fleet = self.placement.top
        agreement.check_proposal(topic, fleet.expected, len(fleet.expected), proposal_timeout)
        proposer = self.proposer
        if proposer is None:
            proposer = self.proposer = self._make_agent(fleet, self._member_named(self.name), "guest")
            proposer.vote_on = lambda record: None

        def on_ended(proposal: Proposal) -> None:
            self.live_proposals = [each for each in self.live_proposals if each is not proposal]
            self.loop.after(PROPOSER_LINGER_S, lambda: self._release_proposer(proposer))
            on_done(proposal)

        proposal = proposer.propose(
            topic, body, fleet.expected, len(fleet.expected), proposal_timeout, on_ended, valid_for, absence_timeout
        )
        self.live_proposals.append(proposal)

        def on_timeout() -> None:
            if proposal.state == "waiting":
                proposer.withdraw(topic, proposal, "the store of the top-level fleet was not reached in time")

        self.loop.after(proposal_timeout, on_timeout)
        return proposal

    def _publish_delay(self) -> float:
        """Randomised, so that members that switch at the same moment do not all publish at once: each update goes to
        the entire cell."""
        return self.random.uniform(0.5, 1.0) * MAX_PUBLISH_INTERVAL_S

    def proposal_backoff(self, most: float) -> float:
        """Random proposal backoff in seconds, proportional to the number of supervisors and at most `most`."""
        return self.random.uniform(0.0, min(most, BACKOFF_PER_SUPERVISOR_S * self.supervisor_count))

    def withdraw(self, topic: str, proposal: Proposal, why: str = "withdrawn") -> None:
        """Withdraws a proposal made by this supervisor, if the guest session is still open."""
        if self.proposer is not None:
            self.proposer.withdraw(topic, proposal, why)

    def _release_proposer(self, proposer: Agent) -> None:
        if self.proposer is proposer and not self.live_proposals:
            self.proposer = None
            proposer.leave()

    # ---- shutdown -----------------------------------------------------------------------------------------------

    def _other_agents(self) -> list[Agent]:
        return [agent for agent in (self.proposer, self.for_region, self.for_cell) if agent is not None]

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        """Leaves all fleets gracefully; `then` is called after the cell's session is closed."""
        for agent in self._other_agents():
            agent.leave()
        self.proposer = self.for_region = self.for_cell = None
        super().leave(then)

    def stop(self) -> None:
        """Stops in all fleets without closing sessions, as a crashed process would."""
        for agent in self._other_agents():
            agent.stop()
        self.proposer = self.for_region = self.for_cell = None
        super().stop()

    def fleet_summary(self) -> dict:
        """Digest of the entire fleet from the last heartbeat, as key `whole`; None where unknown."""
        summary = self.heartbeats.last.whole if self.heartbeats.last is not None else UNSET
        return {"whole": None if summary is UNSET else to_builtins(summary)}

    def view(self) -> dict:
        """The view of the cell, with the place in the hierarchy. `chain`: seconds of proven contact left."""
        now = self.loop.clock()
        return (
            super().view()
            | self.fleet_summary()
            | {
                "cell": self.placement.region.name,
                "region": self.placement.top.name,
                "acts": self.may_act(),
                "speaks_for": [agent.name for agent in (self.for_cell, self.for_region) if agent is not None],
                "chain": None
                if self.heartbeats.proven_until == float("-inf")
                else round(self.heartbeats.proven_until - now, 3),
            }
        )
