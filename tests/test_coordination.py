"""Several supervisors over one store, in virtual time: members, leases, records, and drawn histories of faults."""

from random import Random

import pytest

from driftshed.coordination import agreement
from driftshed.coordination.agent import SWEEP_DELAY_S, Agent
from driftshed.coordination.agreement import Barred
from driftshed.coordination.lease import Lease
from driftshed.coordination.members import MAX_UNKNOWN_PEERS, Member, MemberError, Roll, read_member, write_member
from driftshed.roster.announce import Standing
from driftshed.roster.jute import ANY_VERSION, SetData
from tests.fleets import ROOT, TIMEOUT, Fleet, check

TOPICS = ("policy", "zone.east")


def trouble(fleet: Fleet, chance: Random) -> None:
    """One fault, or something that is asked for."""
    names = fleet.names
    name, luck = chance.choice(names), chance.random()
    if luck < 0.35:
        topic = chance.choice(TOPICS)
        if fleet.agents[name].chair.standing is not Standing.FENCED and not fleet.seats[name].ended:
            quorum = chance.choice([len(names), len(names) // 2 + 1])
            binds = chance.choice([None, 2.0])
            fleet.propose(name, topic, chance.random(), quorum, chance.choice([0.5, 3.0]), valid_for=binds)
    elif luck < 0.42:
        fleet.pause(name, TIMEOUT * chance.choice([0.3, 0.9, 1.1, 2.5]))
    elif luck < 0.52:
        fleet.cut(name, TIMEOUT * chance.choice([0.3, 0.9, 1.5, 3]), *chance.choice([(1, 1), (1, 0), (0, 1)]))
    elif luck < 0.64:
        fleet.lose_answers(name)
    elif luck < 0.7:
        fleet.kill(name)
        fleet.network.loop_seat.after(chance.choice([0.1, 1.0, 4.0]), lambda: fleet.start(name))
    elif luck < 0.74:
        fleet.start(name)  # a second process under one name
    elif luck < 0.78 and not fleet.store_seat.ended:
        fleet.store_down(chance.choice([0.2, 1.0, 3.0]))
    elif luck < 0.82:
        fleet.store_still(chance.choice([0.3, TIMEOUT, 2 * TIMEOUT]))
    elif luck < 0.9:
        fleet.words[name, chance.choice(TOPICS)] = chance.choice([(True, ""), (False, "no"), None])
    else:
        for topic in TOPICS:
            stands = fleet.agents[name].agreed(topic)
            if stands is not None:
                fleet.agents[name].end(topic, stands.epoch, "enough")


def history(seed: int, steps: int = 14, agents: int = 3, **given) -> Fleet:
    """A drawn history: faults one after the other and over each other, then quiet in which all must end."""
    chance = Random(f"history {seed}")
    fleet = Fleet("abcdefghi"[:agents], seed, **given)
    fleet.run(chance.choice([0.0, 0.05, 1.0]))
    for _ in range(steps):
        trouble(fleet, chance)
        fleet.run(chance.choice([0.003, 0.01, 0.05, 0.3, 1.5]))
    fleet.words.clear()
    fleet.run(6)
    for name in fleet.names:
        if not any(
            agent.name == name and agent.chair.standing is not Standing.FENCED and not agent.seat.ended
            for agent in fleet.all
        ):
            fleet.start(name)
    fleet.run(25)
    return fleet


def all_ended(fleet: Fleet) -> None:
    """After the faults everybody is up again, and nothing is left waiting."""
    up = [agent.name for agent in fleet.all if agent.holds() and not agent.seat.ended]
    assert sorted(up) == sorted(fleet.names), {n: a.view() for n, a in fleet.agents.items()}
    for topic in TOPICS:
        record = fleet.stored(topic)
        assert record is None or record.state != "open", record
    stuck = [(topic, p.state) for topic, p in fleet.proposals if p.state in ("waiting", "open")]
    kept = [p for agent in fleet.all if agent.holds() for topic in agent.topics.values() for p in topic.proposals]
    assert not kept, stuck


@pytest.mark.parametrize("seed", range(60))
def test_drawn_histories_keep_what_was_agreed_and_end_all_that_was_begun(seed):
    fleet = history(seed)
    check(fleet)
    all_ended(fleet)


# ---- each check is seen to fail ---------------------------------------------------------------------------------


class NoLease(Agent):
    """Acts as long as it has heard of nothing else."""

    def holds(self) -> bool:
        return self.chair.standing is Standing.LISTED and self.roll.highest.get(self.name, 0) == self.incarnation


class NoFence(Agent):
    """Goes on beside another start of its name."""

    def holds(self) -> bool:
        session = self.client.session
        return self.chair.standing is Standing.LISTED and self.lease.holds(
            self.loop.clock(), session.proved_at, session.timeout
        )

    def _member_updated(self, node, data, stat) -> None:
        member = read_member(node, data)
        self.roll.appeared(node, member, stat.czxid, self.loop.clock())
        self._membership_changed()


class NoCompare(Agent):
    """Writes over whatever is there."""

    def _write(self, request, then) -> None:
        if isinstance(request, SetData):
            request = request._replace(version=ANY_VERSION)
        super()._write(request, then)


def fails(seeds: range, **given) -> str:
    for seed in seeds:
        try:
            check(history(seed, **given))
        except AssertionError as error:
            return str(error)
    return ""


@pytest.mark.parametrize(
    "agent, said",
    [
        (NoLease, "on a lease whose session was over"),
        (NoFence, "had acted, then start"),
        (NoCompare, "epochs fell"),
    ],
)
def test_a_build_without_lease_fence_or_compare_and_set_is_seen(agent, said):
    assert said in fails(range(400), agent=agent)


def test_clocks_that_differ_by_more_than_the_bound_are_seen_and_a_bound_for_them_holds():
    class Unbounded(Agent):
        def __init__(self, *given, **more) -> None:
            super().__init__(*given, **more, drift=0.0, max_pause=0.0)

    class Bounded(Agent):
        def __init__(self, *given, **more) -> None:
            super().__init__(*given, **more, drift=0.3)

    assert "on a lease" in fails(range(60), agent=Unbounded, drift=0.3)
    assert not fails(range(30), agent=Bounded, drift=0.3)


# ---- one by one -------------------------------------------------------------------------------------------------


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.up()
    return fleet


def test_at_rest_nothing_but_pings_goes_to_the_store(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    written, zxid = [agent.written for agent in fleet.all], fleet.store.store.tree.zxid
    fleet.run(SWEEP_DELAY_S + 1)  # the words that were given are swept once
    assert fleet.store.store.tree.zxid == zxid + len(fleet.names)
    zxid, messages = fleet.store.store.tree.zxid, fleet.network.messages
    fleet.run(60)
    assert fleet.store.store.tree.zxid == zxid
    pings = 60 / (TIMEOUT / 3) * len(fleet.names)
    assert fleet.network.messages - messages <= 2 * pings * 1.1
    assert sum(agent.written for agent in fleet.all) == sum(written) + len(fleet.names)


def test_all_must_assent_and_one_objection_leaves_what_stood(fleet):
    fleet.propose("a", "policy", "first")
    fleet.run(1)
    fleet.words["b", "policy"] = False, "it would leave proxy 7 bare"
    proposal = fleet.propose("c", "policy", "second")
    fleet.run(1)
    assert (proposal.state, proposal.why) == ("void", "b: it would leave proxy 7 bare")
    assert [agent.agreed("policy").body for agent in fleet.agents.values()] == ["first"] * 3


def test_a_majority_settles_though_one_objects_or_is_silent(fleet):
    fleet.words["b", "policy"] = False, "no"
    fleet.kill("c")
    proposal = fleet.propose("a", "policy", 1, quorum=1)
    fleet.run(1)
    assert proposal.state == "settled"
    proposal = fleet.propose("a", "policy", 2, quorum=2, patience=1.0)
    fleet.run(2)
    assert proposal.state == "void" and "no word within 1 s from c" in proposal.why


def test_of_two_at_once_one_wins_and_the_other_is_told_by_which(fleet):
    one, two = fleet.propose("a", "policy", 1), fleet.propose("b", "policy", 2)
    fleet.run(2)
    won, lost = (one, two) if one.state == "settled" else (two, one)
    assert (won.state, lost.state) == ("settled", "lost")
    assert f"of {won.token.partition('~')[0]} was there first" in lost.why
    check(fleet)


def test_a_proposal_is_withdrawn_and_a_standing_one_is_ended(fleet):
    fleet.words["b", "policy"] = None
    proposal = fleet.propose("a", "policy", 1)
    fleet.run(0.5)
    assert proposal.state == "open"
    fleet.agents["a"].withdraw("policy", proposal)
    fleet.run(0.5)
    assert (proposal.state, proposal.why) == ("void", "withdrawn")
    fleet.words.clear()
    proposal, told = fleet.propose("a", "policy", 2), []
    fleet.run(0.5)
    fleet.agents["c"].end("policy", proposal.epoch + 1, "wrong", lambda *said: told.append(said))
    fleet.agents["b"].end("policy", proposal.epoch, "done with", lambda *said: told.append(said))
    fleet.run(0.5)
    assert told == [(False, "policy: epoch 2 is in force, not epoch 3"), (True, "")]
    assert all(agent.agreed("policy") is None for agent in fleet.all)


@pytest.mark.parametrize("after", [0.002 * k for k in range(24)])
def test_a_writer_that_dies_at_any_point_leaves_what_others_finish_or_void(after, fleet):
    """From its first request to what it has settled takes some 40 ms."""
    fleet.propose("a", "policy", 1, patience=2.0)
    fleet.run(after)
    fleet.kill("a")
    fleet.run(8)
    record = fleet.stored("policy")
    assert record is None or record.state in ("settled", "void")
    assert record is None or {agent.topics["policy"].record.state for agent in fleet.all[1:]} == {record.state}
    again = fleet.propose("b", "policy", 2, quorum=2, patience=2.0)
    fleet.run(8)
    assert again.state == "settled"
    check(fleet)


@pytest.mark.parametrize("after", [0.002 * k for k in range(24)])
def test_an_answer_that_is_lost_is_looked_up_and_nothing_is_done_twice(after, fleet):
    proposal = fleet.propose("a", "policy", 1)
    fleet.run(after)
    fleet.lose_answers("a")
    fleet.run(5)
    assert proposal.state == "settled"
    assert [record.state for record in fleet.history()] == ["open", "settled"]
    check(fleet)


def test_one_that_was_stopped_finds_out_before_it_acts(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    fleet.pause("a", 1.5 * TIMEOUT)
    woke = fleet.loop.now + 1.5 * TIMEOUT
    fleet.run(4 * TIMEOUT)
    check(fleet)
    acted = [at for at, name, _, _ in fleet.acts if name == "a"]
    assert not [at for at in acted if woke - TIMEOUT / 2 < at < woke + 0.01]
    assert [at for at in acted if at > woke + 0.01]  # it has joined again
    rows = {row.name: row for row in fleet.agents["b"].roll.rows(fleet.agents["b"].loop.clock())}
    assert rows["a"].state == "living"


def test_the_older_of_two_processes_is_fenced_and_says_so(fleet):
    older, said = fleet.agents["a"], []
    older.on_fenced = lambda: said.append(fleet.loop.now)
    fleet.start("a")
    fleet.until(lambda: fleet.agents["a"].holds())
    assert said and older.chair.standing is Standing.FENCED and not older.holds()
    assert fleet.agents["a"].incarnation == 2
    rows = {row.name: row for row in fleet.agents["b"].roll.rows(fleet.loop.now)}
    assert (rows["a"].state, rows["a"].starts) == ("living", 1)


def test_the_silent_the_strangers_and_those_never_seen_are_told_apart():
    fleet = Fleet("abc")
    fleet.names = ("a", "b", "c", "x")  # only this process expects x
    fleet.start("x")
    fleet.until(lambda: fleet.agents["x"].holds() and fleet.agents["a"].holds())
    fleet.kill("b")
    fleet.run(3 * TIMEOUT)
    agent = fleet.agents["a"]
    assert {row.name: row.state for row in agent.roll.rows(agent.loop.clock())} == {
        "a": "living",
        "b": "silent",
        "c": "living",
        "x": "stranger",
    }
    assert "x" not in agent.roll.order() and agent.roll.addresses() == ["127.0.1.1:7000", "127.0.1.3:7000"]


def test_a_store_that_answers_from_an_older_state_is_not_believed(fleet):
    fleet.propose("a", "policy", 1)
    fleet.run(1)
    agent = fleet.agents["b"]
    topic = agent.topics["policy"]
    old = agreement.write(agreement.proposed(None, "policy", 1, "a", "t", 0, ("a",), 1, 1.0))
    agent._record_updated("policy", old, topic.stat._replace(mzxid=topic.stat.mzxid - 1))
    assert agent.stale_reads == 1 and topic.record.state == "settled"
    agent._record_updated("policy", old, topic.stat)  # nor one that falls back within an epoch
    assert agent.stale_reads == 2 and topic.record.state == "settled"


def test_a_store_restored_from_an_old_copy_lets_nobody_in_who_has_seen_more(fleet):
    """Until it is put right or the supervisors are started anew, nothing rests on an agreement."""
    rows = list(fleet.rows)
    fleet.propose("a", "policy", 1)
    fleet.run(2)
    fleet.rows[:] = rows
    fleet.network.end(fleet.store_seat)
    fleet._serve()
    fleet.run(4 * TIMEOUT)
    assert not any(agent.holds() for agent in fleet.all)
    assert all(agent.agreed("policy") is None for agent in fleet.all)
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
    fleet.up()
    assert fleet.agents["a"].agreed("policy") is None


def test_a_sweep_takes_words_and_dead_records_and_nothing_that_binds(fleet):
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
    assert all("zone.west" not in agent.topics for agent in fleet.all)


def test_a_stop_in_peace_is_known_at_once_and_a_death_after_its_time(fleet):
    fleet.agents["c"].leave()
    fleet.run(0.1)
    assert fleet.agents["a"].roll.order() and "c" not in fleet.agents["a"].roll.order()
    fleet.kill("b")
    fleet.run(TIMEOUT / 2)
    assert "b" in fleet.agents["a"].roll.order()
    fleet.run(TIMEOUT)
    assert fleet.agents["a"].roll.order() == ["a"]


@pytest.mark.parametrize(
    "given, said",
    [
        ({"topic": "a/b"}, "letters"),
        ({"voters": ()}, "each once"),
        ({"voters": ("a", "a")}, "each once"),
        ({"quorum": 3}, "cannot assent"),
        ({"proposal_timeout": 0}, "patience"),
        ({"body": "x" * 70000}, "put less into it"),
    ],
)
def test_a_proposal_that_could_never_be_is_refused_with_the_reason(given, said, fleet):
    given = {"topic": "policy", "body": 1, "voters": ("a", "b"), "quorum": 2, "proposal_timeout": 1.0} | given
    with pytest.raises(Barred, match=said):
        fleet.agents["a"].propose(**given)
    assert not fleet.agents["a"].topics


def test_a_lease_counts_from_the_sending_of_what_was_answered():
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
def test_bad_members_are_told(name, data):
    with pytest.raises(MemberError):
        read_member(name, data)


def test_what_a_newer_build_says_besides_is_passed_over():
    member = read_member("a~3", write_member(Member("a", incarnation=3))[:-1] + b',"mood":"good"}')
    assert member.incarnation == 3


def test_strangers_are_bounded():
    roll = Roll(("a",), 0.0)
    for k in range(3 * MAX_UNKNOWN_PEERS):
        roll.appeared(f"s{k}~1", Member(f"s{k}", incarnation=1), k, float(k))
        roll.remove_node(f"s{k}~1", float(k))
    assert len(roll.rows(500.0)) == MAX_UNKNOWN_PEERS + 1 and len(roll.highest) == MAX_UNKNOWN_PEERS


def test_what_could_be_opened_and_never_be_settled_is_refused_when_it_is_proposed():
    fleet = Fleet()
    fleet.up()
    with pytest.raises(Barred, match="bytes, 65536 at the most: put less into it"):
        fleet.propose("a", "large", "x" * 33_000)
    proposal = fleet.propose("a", "large", "x" * 32_000)
    fleet.until(lambda: proposal.state == "settled")
    assert fleet.stored("large").standing.body == "x" * 32_000
