"""Several supervisors over one store, in virtual time: members, leases, records, and random histories of faults."""

from random import Random

import pytest

from driftshed.coordination import agreement
from driftshed.coordination.agent import SWEEP_DELAY_S, Agent
from driftshed.coordination.agreement import RecordError
from driftshed.coordination.lease import Lease
from driftshed.coordination.members import (
    MAX_UNKNOWN_PEERS,
    Member,
    MemberError,
    MembershipView,
    decode_member,
    encode_member,
)
from driftshed.roster.announce import RegistrationState
from driftshed.roster.jute import ANY_VERSION, SetData
from tests.fleets import ROOT, SESSION_TIMEOUT_S, Fleet, check_history

TOPICS = ("policy", "zone.east")


def inject_fault(fleet: Fleet, random: Random) -> None:
    """Injects one fault, or requests one operation."""
    names = fleet.names
    name, draw = random.choice(names), random.random()
    if draw < 0.35:
        topic = random.choice(TOPICS)
        if fleet.agents[name].registration.state is not RegistrationState.FENCED and not fleet.processes[name].ended:
            quorum = random.choice([len(names), len(names) // 2 + 1])
            valid_for = random.choice([None, 2.0])
            fleet.propose(name, topic, random.random(), quorum, random.choice([0.5, 3.0]), valid_for=valid_for)
    elif draw < 0.42:
        fleet.pause(name, SESSION_TIMEOUT_S * random.choice([0.3, 0.9, 1.1, 2.5]))
    elif draw < 0.52:
        fleet.cut(name, SESSION_TIMEOUT_S * random.choice([0.3, 0.9, 1.5, 3]), *random.choice([(1, 1), (1, 0), (0, 1)]))
    elif draw < 0.64:
        fleet.reset_connections(name)
    elif draw < 0.7:
        fleet.kill(name)
        fleet.network.own_seat.after(random.choice([0.1, 1.0, 4.0]), lambda: fleet.start(name))
    elif draw < 0.74:
        fleet.start(name)  # a second process with the same name
    elif draw < 0.78 and not fleet.store_seat.ended:
        fleet.crash_store(random.choice([0.2, 1.0, 3.0]))
    elif draw < 0.82:
        fleet.pause_store(random.choice([0.3, SESSION_TIMEOUT_S, 2 * SESSION_TIMEOUT_S]))
    elif draw < 0.9:
        fleet.votes[name, random.choice(TOPICS)] = random.choice([(True, ""), (False, "no"), None])
    else:
        for topic in TOPICS:
            committed = fleet.agents[name].value_in_force(topic)
            if committed is not None:
                fleet.agents[name].end(topic, committed.epoch, "enough")


def history(seed: int, steps: int = 14, agents: int = 3, **options) -> Fleet:
    """A random history: successive and overlapping faults, then a period without any, in which all must finish."""
    random = Random(f"history {seed}")
    fleet = Fleet("abcdefghi"[:agents], seed, **options)
    fleet.run(random.choice([0.0, 0.05, 1.0]))
    for _ in range(steps):
        inject_fault(fleet, random)
        fleet.run(random.choice([0.003, 0.01, 0.05, 0.3, 1.5]))
    fleet.votes.clear()
    fleet.run(6)
    for name in fleet.names:
        if not any(
            agent.name == name and agent.registration.state is not RegistrationState.FENCED and not agent.seat.ended
            for agent in fleet.all_agents
        ):
            fleet.start(name)
    fleet.run(25)
    return fleet


def check_all_ended(fleet: Fleet) -> None:
    """Asserts that after the faults every supervisor is up again and nothing is pending."""
    up = [agent.name for agent in fleet.all_agents if agent.holds_lease() and not agent.seat.ended]
    assert sorted(up) == sorted(fleet.names), {n: a.view() for n, a in fleet.agents.items()}
    for topic in TOPICS:
        record = fleet.stored_record(topic)
        assert record is None or record.state != "open", record
    open_proposals = [(topic, p.state) for topic, p in fleet.proposals if p.state in ("waiting", "open")]
    unfinished = [
        p
        for agent in fleet.all_agents
        if agent.holds_lease()
        for topic in agent.topics.values()
        for p in topic.proposals
    ]
    assert not unfinished, open_proposals


@pytest.mark.parametrize("seed", range(60))
def test_random_histories_keep_agreements_and_finish_every_proposal(seed):
    fleet = history(seed)
    check_history(fleet)
    check_all_ended(fleet)


# ---- each check detects its violation ---------------------------------------------------------------------------


class NoLease(Agent):
    """Ignores the lease: acts until it learns of another start."""

    def holds_lease(self) -> bool:
        return (
            self.registration.state is RegistrationState.LISTED
            and self.membership.highest_incarnation.get(self.name, 0) == self.incarnation
        )


class NoFence(Agent):
    """Continues to act alongside another start of its name."""

    def holds_lease(self) -> bool:
        session = self.client.session
        return self.registration.state is RegistrationState.LISTED and self.lease.holds(
            self.loop.clock(), session.confirmed_at, session.timeout
        )

    def _member_updated(self, node, data, stat) -> None:
        member = decode_member(node, data)
        self.membership.update_node(node, member, stat.czxid, self.loop.clock())
        self._membership_changed()


class NoCompare(Agent):
    """Overwrites nodes regardless of their version."""

    def _write(self, request, then) -> None:
        if isinstance(request, SetData):
            request = request._replace(version=ANY_VERSION)
        super()._write(request, then)


def first_violation(seeds: range, **options) -> str:
    for seed in seeds:
        try:
            check_history(history(seed, **options))
        except AssertionError as error:
            return str(error)
    return ""


@pytest.mark.parametrize(
    "agent, message",
    [
        (NoLease, "on a lease whose session had expired"),
        (NoFence, "had acted, then start"),
        (NoCompare, "epochs decreased"),
    ],
)
def test_a_build_without_lease_fence_or_compare_and_set_is_detected(agent, message):
    assert message in first_violation(range(400), agent=agent)


def test_clock_drift_beyond_the_bound_is_detected_and_a_larger_bound_holds():
    class Unbounded(Agent):
        def __init__(self, *args, **options) -> None:
            super().__init__(*args, **options, drift=0.0, max_pause=0.0)

    class Bounded(Agent):
        def __init__(self, *args, **options) -> None:
            super().__init__(*args, **options, drift=0.3)

    assert "on a lease" in first_violation(range(60), agent=Unbounded, drift=0.3)
    assert not first_violation(range(30), agent=Bounded, drift=0.3)


# ---- single cases -----------------------------------------------------------------------------------------------


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run_until_up()
    return fleet


def test_at_rest_nothing_but_pings_goes_to_the_store(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    written, zxid = [agent.write_count for agent in fleet.all_agents], fleet.store.store.tree.zxid
    fleet.run(SWEEP_DELAY_S + 1)  # the cast votes are swept once
    assert fleet.store.store.tree.zxid == zxid + len(fleet.names)
    zxid, messages = fleet.store.store.tree.zxid, fleet.network.messages
    fleet.run(60)
    assert fleet.store.store.tree.zxid == zxid
    pings = 60 / (SESSION_TIMEOUT_S / 3) * len(fleet.names)
    assert fleet.network.messages - messages <= 2 * pings * 1.1
    assert sum(agent.write_count for agent in fleet.all_agents) == sum(written) + len(fleet.names)


def test_all_must_assent_and_one_objection_keeps_the_value_in_force(fleet):
    fleet.propose("a", "policy", "first")
    fleet.run(1)
    fleet.votes["b", "policy"] = False, "it would leave proxy 7 bare"
    proposal = fleet.propose("c", "policy", "second")
    fleet.run(1)
    assert (proposal.state, proposal.why) == ("void", "b: it would leave proxy 7 bare")
    assert [agent.value_in_force("policy").body for agent in fleet.agents.values()] == ["first"] * 3


def test_a_majority_settles_though_one_objects_or_is_silent(fleet):
    fleet.votes["b", "policy"] = False, "no"
    fleet.kill("c")
    proposal = fleet.propose("a", "policy", 1, quorum=1)
    fleet.run(1)
    assert proposal.state == "settled"
    proposal = fleet.propose("a", "policy", 2, quorum=2, patience=1.0)
    fleet.run(2)
    assert proposal.state == "void" and "no word within 1 s from c" in proposal.why


def test_of_two_concurrent_proposals_one_wins_and_the_other_learns_which(fleet):
    first, second = fleet.propose("a", "policy", 1), fleet.propose("b", "policy", 2)
    fleet.run(2)
    won, lost = (first, second) if first.state == "settled" else (second, first)
    assert (won.state, lost.state) == ("settled", "lost")
    assert f"of {won.token.partition('~')[0]} was there first" in lost.why
    check_history(fleet)


def test_a_proposal_is_withdrawn_and_a_standing_one_is_ended(fleet):
    fleet.votes["b", "policy"] = None
    proposal = fleet.propose("a", "policy", 1)
    fleet.run(0.5)
    assert proposal.state == "open"
    fleet.agents["a"].withdraw("policy", proposal)
    fleet.run(0.5)
    assert (proposal.state, proposal.why) == ("void", "withdrawn")
    fleet.votes.clear()
    proposal, results = fleet.propose("a", "policy", 2), []
    fleet.run(0.5)
    fleet.agents["c"].end("policy", proposal.epoch + 1, "wrong", lambda *result: results.append(result))
    fleet.agents["b"].end("policy", proposal.epoch, "done with", lambda *result: results.append(result))
    fleet.run(0.5)
    assert results == [(False, "policy: epoch 2 is in force, not epoch 3"), (True, "")]
    assert all(agent.value_in_force("policy") is None for agent in fleet.all_agents)


@pytest.mark.parametrize("after", [0.002 * k for k in range(24)])
def test_a_proposal_whose_writer_crashes_at_any_point_is_committed_or_aborted_by_others(after, fleet):
    """A proposal takes about 40 ms from its first request to its commit."""
    fleet.propose("a", "policy", 1, patience=2.0)
    fleet.run(after)
    fleet.kill("a")
    fleet.run(8)
    record = fleet.stored_record("policy")
    assert record is None or record.state in ("settled", "void")
    assert record is None or {agent.topics["policy"].record.state for agent in fleet.all_agents[1:]} == {record.state}
    again = fleet.propose("b", "policy", 2, quorum=2, patience=2.0)
    fleet.run(8)
    assert again.state == "settled"
    check_history(fleet)


@pytest.mark.parametrize("after", [0.002 * k for k in range(24)])
def test_a_lost_answer_is_looked_up_and_nothing_is_done_twice(after, fleet):
    proposal = fleet.propose("a", "policy", 1)
    fleet.run(after)
    fleet.reset_connections("a")
    fleet.run(5)
    assert proposal.state == "settled"
    assert [record.state for record in fleet.history()] == ["open", "settled"]
    check_history(fleet)


def test_a_suspended_supervisor_finds_its_lease_expired_before_it_acts(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    fleet.pause("a", 1.5 * SESSION_TIMEOUT_S)
    resumed = fleet.loop.now + 1.5 * SESSION_TIMEOUT_S
    fleet.run(4 * SESSION_TIMEOUT_S)
    check_history(fleet)
    action_times = [at for at, name, _, _ in fleet.actions if name == "a"]
    assert not [at for at in action_times if resumed - SESSION_TIMEOUT_S / 2 < at < resumed + 0.01]
    assert [at for at in action_times if at > resumed + 0.01]  # it has rejoined
    rows = {row.name: row for row in fleet.agents["b"].membership.rows(fleet.agents["b"].loop.clock())}
    assert rows["a"].state == "living"


def test_the_older_of_two_processes_is_fenced_and_reports_it(fleet):
    older, notifications = fleet.agents["a"], []
    older.on_fenced = lambda: notifications.append(fleet.loop.now)
    fleet.start("a")
    fleet.run_until(lambda: fleet.agents["a"].holds_lease())
    assert notifications and older.registration.state is RegistrationState.FENCED and not older.holds_lease()
    assert fleet.agents["a"].incarnation == 2
    rows = {row.name: row for row in fleet.agents["b"].membership.rows(fleet.loop.now)}
    assert (rows["a"].state, rows["a"].starts) == ("living", 1)


def test_silent_unknown_and_never_seen_supervisors_are_distinguished():
    fleet = Fleet("abc")
    fleet.names = ("a", "b", "c", "x")  # only this process expects x
    fleet.start("x")
    fleet.run_until(lambda: fleet.agents["x"].holds_lease() and fleet.agents["a"].holds_lease())
    fleet.kill("b")
    fleet.run(3 * SESSION_TIMEOUT_S)
    agent = fleet.agents["a"]
    assert {row.name: row.state for row in agent.membership.rows(agent.loop.clock())} == {
        "a": "living",
        "b": "silent",
        "c": "living",
        "x": "stranger",
    }
    assert "x" not in agent.membership.order() and agent.membership.addresses() == ["127.0.1.1:7000", "127.0.1.3:7000"]


def test_answers_from_an_older_state_of_the_store_are_ignored(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    agent = fleet.agents["b"]
    topic = agent.topics["policy"]
    old = agreement.encode(agreement.proposed_record(None, "policy", 1, "a", "t", 0, ("a",), 1, 1.0))
    agent._record_updated("policy", old, topic.stat._replace(mzxid=topic.stat.mzxid - 1))
    assert agent.stale_reads == 1 and topic.record.state == "settled"
    agent._record_updated("policy", old, topic.stat)  # nor one that regresses within an epoch
    assert agent.stale_reads == 2 and topic.record.state == "settled"


def test_a_store_restored_from_an_old_copy_refuses_sessions_that_have_seen_more(fleet):
    """No supervisor acts on an agreement until the store is repaired or the supervisors are restarted."""
    rows = list(fleet.rows)
    fleet.propose("a", "policy", 1)
    fleet.run(2)
    fleet.rows[:] = rows
    fleet.network.end_process(fleet.store_seat)
    fleet._start_store()
    fleet.run(4 * SESSION_TIMEOUT_S)
    assert not any(agent.holds_lease() for agent in fleet.all_agents)
    assert all(agent.value_in_force("policy") is None for agent in fleet.all_agents)
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
    fleet.run_until_up()
    assert fleet.agents["a"].value_in_force("policy") is None


def test_a_sweep_deletes_votes_and_ended_records_and_no_valid_record(fleet):
    nodes = fleet.store.store.tree.nodes
    fleet.propose("a", "zone.east", 1, valid_for=30.0)
    west = fleet.propose("b", "zone.west", 1)
    fleet.run(1)
    fleet.agents["b"].end("zone.west", west.epoch, "over")
    fleet.run(SWEEP_DELAY_S + 2)
    assert f"{ROOT}/records/zone.east" in nodes and f"{ROOT}/records/zone.west" not in nodes
    assert not nodes[f"{ROOT}/records/zone.east"].children
    fleet.run(30 + SWEEP_DELAY_S)
    assert f"{ROOT}/records/zone.east" not in nodes
    proposal = fleet.propose("c", "zone.east", 2)
    fleet.run(1)
    assert proposal.state == "settled" and proposal.epoch > 2
    assert all("zone.west" not in agent.topics for agent in fleet.all_agents)


def test_a_graceful_stop_is_noticed_at_once_and_a_crash_after_the_session_timeout(fleet):
    fleet.agents["c"].leave()
    fleet.run(0.1)
    assert fleet.agents["a"].membership.order() and "c" not in fleet.agents["a"].membership.order()
    fleet.kill("b")
    fleet.run(SESSION_TIMEOUT_S / 2)
    assert "b" in fleet.agents["a"].membership.order()
    fleet.run(SESSION_TIMEOUT_S)
    assert fleet.agents["a"].membership.order() == ["a"]


@pytest.mark.parametrize(
    "arguments, message",
    [
        ({"topic": "a/b"}, "letters"),
        ({"voters": ()}, "each once"),
        ({"voters": ("a", "a")}, "each once"),
        ({"quorum": 3}, "cannot assent"),
        ({"proposal_timeout": 0}, "patience"),
        ({"body": "x" * 70000}, "put less into it"),
    ],
)
def test_a_proposal_that_could_never_be_committed_is_refused_with_the_reason(arguments, message, fleet):
    arguments = {"topic": "policy", "body": 1, "voters": ("a", "b"), "quorum": 2, "proposal_timeout": 1.0} | arguments
    with pytest.raises(RecordError, match=message):
        fleet.agents["a"].propose(**arguments)
    assert not fleet.agents["a"].topics


def test_a_lease_counts_from_the_sending_of_an_answered_request():
    lease = Lease(10.0, drift=0.02, max_pause=1.0)
    assert lease.expires_at(100.0, 10.0) == pytest.approx(108.8)
    assert lease.holds(108.7, 100.0, 10.0) and not lease.holds(108.9, 100.0, 10.0)
    assert not lease.holds(0.0, float("-inf"), 10.0)


@pytest.mark.parametrize(
    "name, data",
    [
        ("a", b"{}"),
        ("a~x", b"{}"),
        ("a~1", b"{"),
        ("a~1", b'{"name":"b","incarnation":1}'),
        ("a~1", b'{"name":"a","incarnation":2}'),
        ("a~1", b'{"name":"a","incarnation":1,"proxies":-1}'),
        ("../a~1", b'{"name":"../a","incarnation":1}'),
    ],
)
def test_malformed_member_nodes_raise(name, data):
    with pytest.raises(MemberError):
        decode_member(name, data)


def test_unknown_fields_of_a_newer_build_are_ignored():
    member = decode_member("a~3", encode_member(Member("a", incarnation=3))[:-1] + b',"mood":"good"}')
    assert member.incarnation == 3


def test_unknown_peers_are_bounded():
    roll = MembershipView(("a",), 0.0)
    for k in range(3 * MAX_UNKNOWN_PEERS):
        roll.update_node(f"s{k}~1", Member(f"s{k}", incarnation=1), k, float(k))
        roll.remove_node(f"s{k}~1", float(k))
    assert len(roll.rows(500.0)) == MAX_UNKNOWN_PEERS + 1 and len(roll.highest_incarnation) == MAX_UNKNOWN_PEERS


def test_a_record_too_large_to_be_committed_is_refused_when_proposed():
    fleet = Fleet()
    fleet.run_until_up()
    with pytest.raises(RecordError, match="bytes, 65536 at the most: put less into it"):
        fleet.propose("a", "large", "x" * 33_000)
    proposal = fleet.propose("a", "large", "x" * 32_000)
    fleet.run_until(lambda: proposal.state == "settled")
    assert fleet.stored_record("large").standing.body == "x" * 32_000
