"""Rules of a hierarchical fleet, without I/O: the file, heartbeats, delegates, replicas, votes and digests."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from driftshed.cli import main
from driftshed.coordination import agreement, hierarchy
from driftshed.coordination.agreement import CommittedValue, Record, Vote
from driftshed.coordination.hierarchy import Heartbeat, HeartbeatTracker, HierarchyError, read_hierarchy
from driftshed.coordination.members import Digest, Member, MembershipView

FILE = """
form = 1
stores = "127.0.0.2:2181"
[[regions]]
name = "north"
stores = "127.0.0.3:2181,127.0.0.4:2181"
[[regions.cells]]
name = "n1"
members = ["n1a", "n1b"]
[[regions.cells]]
name = "n2"
members = ["n2a"]
[[regions]]
name = "south"
stores = "127.0.0.5:2181"
[[regions.cells]]
name = "s1"
members = ["s1a", "s1b", "s1c"]
"""


def test_a_supervisor_has_a_placement_in_three_fleets():
    placement = read_hierarchy(FILE).placement("n1b")
    assert placement.cell == (
        "n1b",
        "/driftshed/cells/n1",
        [("127.0.0.3", 2181), ("127.0.0.4", 2181)],
        ("n1a", "n1b"),
        {},
    )
    assert (placement.region.name, placement.region.root) == ("n1", "/driftshed/regions/north")
    assert placement.region.expected == ("n1", "n2")
    assert placement.region.hosts == placement.cell.hosts and placement.region.sizes == {"n1": 2, "n2": 1}
    assert placement.top[:4] == ("north", "/driftshed/whole", [("127.0.0.2", 2181)], ("north", "south"))
    assert placement.top.sizes == {"north": 3, "south": 3} and read_hierarchy(FILE).supervisor_count() == 6


NAMES = ", ".join(f'"m{k}"' for k in range(65))


@pytest.mark.parametrize(
    "old, new, message",
    [
        (
            'members = ["n2a"]',
            f"members = [{NAMES}]",
            "65 members in cell n2, at most 64: move some to another cell",
        ),
        ('name = "n2"', 'name = "n 2"', "a cell: 'n 2': a name of letters"),
        ('name = "n2"', 'name = ".."', "'..' is not a valid name"),
        ('name = "n2"', 'name = "n1"', "'n1' is a cell and a cell: names must be unique"),
        ('"s1c"', '"n1a"', "'n1a' is a member of n1 and a member of s1"),
        ('name = "south"', 'name = "n1"', "'n1' is a cell and a region: names must be unique"),
        ('members = ["n2a"]', "members = []", "length >= 1"),
        ('"127.0.0.5:2181"', '"10.0.0.5:2181"', "stores of south: '10.0.0.5:2181': write loopback address and port"),
        ('"127.0.0.5:2181"', '""', "stores of south: name at least one"),
        ('stores = "127.0.0.2:2181"', "", "missing required field `stores`"),
        ("form = 1", "form = 2", "form 2 is newer than this build reads (1): update driftshed"),
        ("form = 1", "form = ", "invalid TOML"),
        ("form = 1", 'form = 1\nroot = "driftshed"', "root 'driftshed': write a path such as /driftshed"),
        ("form = 1", "form = 1\nspeed = 3", "unknown field"),
    ],
)
def test_an_invalid_file_is_refused_with_the_remedy(old, new, message):
    assert FILE.count(old) >= 1
    with pytest.raises(HierarchyError) as error:
        read_hierarchy(FILE.replace(old, new, 1))
    assert message in str(error.value)


def test_65_cells_and_65_regions_are_refused():
    cells = "".join(f'[[regions.cells]]\nname = "c{k}"\nmembers = ["m{k}"]\n' for k in range(65))
    with pytest.raises(HierarchyError, match="65 cells in region far, at most 64"):
        read_hierarchy(FILE + f'[[regions]]\nname = "far"\nstores = "127.0.0.6:2181"\n{cells}')
    regions = "".join(
        f'[[regions]]\nname = "r{k}"\nstores = "127.0.0.6:2181"\n[[regions.cells]]\nname = "c{k}"\nmembers = ["m{k}"]\n'
        for k in range(63)
    )
    with pytest.raises(HierarchyError, match="65 regions in the top-level fleet, at most 64"):
        read_hierarchy(FILE + regions)


def test_a_supervisor_in_no_cell_is_refused_with_the_remedy():
    with pytest.raises(
        HierarchyError, match="'n9' is in no cell: name it among the members of one, or give another --name"
    ):
        read_hierarchy(FILE).placement("n9")


# ---- heartbeats -------------------------------------------------------------------------------------------------


def test_a_heartbeat_counts_from_the_last_poll_that_read_one_two_older():
    tracker = HeartbeatTracker(4.0, 0.0)
    tracker.observe(Heartbeat("a", "r", 5), 10.0, 10.1)
    tracker.observe(Heartbeat("a", "r", 6), 10.5, 10.6)
    assert tracker.proven_until == float("-inf")  # the one before may have been sent long ago and arrived late
    tracker.observe(Heartbeat("a", "r", 7), 11.0, 11.1)
    assert (
        tracker.proven_until == 10.0 + 3.0
    )  # number 6 took effect after the poll sent at 10.0, and 7 was created after that
    tracker.observe(Heartbeat("a", "r", 7), 11.5, 11.6)
    assert tracker.proven_until == 13.0  # nothing new, nothing proven


def test_a_delayed_heartbeat_proves_nothing_about_its_arrival_time():
    tracker = HeartbeatTracker(4.0, 0.0)
    for number, asked in ((1, 0.0), (2, 0.5), (3, 1.0)):
        tracker.observe(Heartbeat("a", "r", number), asked, asked)
    assert tracker.proven_until == 3.0
    for k in range(20):  # the next heartbeat is delayed on its way, after it was created
        tracker.observe(Heartbeat("a", "r", 3), 1.5 + k, 1.5 + k)
    tracker.observe(Heartbeat("a", "r", 4), 30.0, 30.0)
    assert tracker.proven_until == 0.5 + 3.0


def test_heartbeats_of_another_run_count_separately():
    tracker = HeartbeatTracker(4.0, 0.0)
    for number, asked in ((1, 0.0), (2, 0.5), (3, 1.0)):
        tracker.observe(Heartbeat("a", "r", number), asked, asked)
    tracker.observe(Heartbeat("b", "q", 9), 2.0, 2.0)
    tracker.observe(Heartbeat("b", "q", 10), 2.5, 2.5)
    assert tracker.proven_until == 3.0
    tracker.observe(Heartbeat("b", "q", 11), 3.0, 3.0)
    assert tracker.proven_until == 5.0


def test_silence_is_counted_from_the_last_new_heartbeat_or_the_first_poll():
    tracker = HeartbeatTracker(4.0, 0.0)
    assert tracker.silent_for(1.0) is None
    tracker.observe(None, 1.0, 1.0)
    assert tracker.silent_for(3.0) == 2.0
    tracker.observe(Heartbeat("a", "r", 1), 3.0, 3.0)
    tracker.observe(Heartbeat("a", "r", 1), 4.0, 4.0)
    assert tracker.silent_for(5.0) == 2.0


def test_a_malformed_heartbeat_is_none():
    assert (
        hierarchy.decode_heartbeat(b"") is None
        and hierarchy.decode_heartbeat(b'{"by":"a","run":"r","number":0}') is None
    )
    assert hierarchy.decode_heartbeat(hierarchy.encode_heartbeat(Heartbeat("a", "r", 1, Digest(3, 2)))) == Heartbeat(
        "a", "r", 1, Digest(3, 2)
    )


def test_the_next_in_the_order_takes_over_later():
    assert hierarchy.takeover_due(0.0, 0, True, 4.0) and not hierarchy.takeover_due(0.0, 0, False, 4.0)
    assert not hierarchy.takeover_due(1.9, 1, True, 4.0) and hierarchy.takeover_due(2.0, 1, True, 4.0)
    assert not hierarchy.takeover_due(3.9, 1, False, 4.0) and hierarchy.takeover_due(4.0, 1, False, 4.0)


# ---- replicas and votes -----------------------------------------------------------------------------------------

IN_FORCE = CommittedValue(3, "old", "x", {"version": 1})


def parent_record(state: str = "open", epoch: int = 7, **changes) -> Record:
    fields = {"standing": IN_FORCE, "waits": 3.0} | changes
    return Record("policy", epoch, state, "north", "t7", {"version": 2}, ("north", "south"), 2, 10.0, **fields)


def test_a_record_open_in_the_parent_is_replicated_once():
    replica = agreement.replicated(None, parent_record(), "n1", ("n1", "n2"))
    assert (replica.state, replica.epoch, replica.token, replica.body, replica.copied) == (
        "open",
        7,
        "t7",
        {"version": 2},
        True,
    )
    assert (replica.needs, replica.quorum, replica.standing, replica.waits) == (("n1", "n2"), 2, IN_FORCE, 3.0)
    for state in ("open", "ready", "refused"):
        assert agreement.replicated(replica, parent_record(state), "n1", ("n1", "n2")) is None
        assert agreement.replicated(None, parent_record(state), "n1", ("n1", "n2")) == replica
    assert (
        agreement.replicated(parent_record(epoch=8), parent_record(), "n1", ("n1", "n2")) is None
    )  # the stored record is newer


@pytest.mark.parametrize("replica_state", ["open", "ready", "refused"])
def test_a_decision_of_the_parent_is_replicated_whatever_the_replica_decided(replica_state):
    replica = agreement.replicated(None, parent_record(), "n1", ("n1", "n2"))
    replica = agreement.replace(replica, state=replica_state)
    committed = CommittedValue(7, "t7", "north", {"version": 2})
    ended = agreement.replicated(replica, parent_record("settled", standing=committed, passed=True), "n1", ("n1", "n2"))
    assert (ended.state, ended.standing, ended.passed) == ("settled", committed, True) and agreement.newer(
        ended, replica
    )
    assert (
        agreement.replicated(ended, parent_record("settled", standing=committed, passed=True), "n1", ("n1", "n2"))
        is None
    )
    aborted = agreement.replicated(replica, parent_record("void", why="no"), "n1", ("n1", "n2"))
    assert (aborted.state, aborted.standing, aborted.why) == ("void", IN_FORCE, "no") and agreement.newer(
        aborted, replica
    )


def test_a_committed_value_of_the_parent_is_replicated_without_a_vote():
    replica = agreement.replicated(None, parent_record("void"), "n1", ("n1",))
    assert (replica.state, replica.epoch, replica.standing) == ("void", 7, IN_FORCE)
    assert agreement.replicated(None, parent_record("void", standing=None), "n1", ("n1",)) is None


def test_a_replica_that_all_assent_to_is_ready_and_one_with_an_objection_refused():
    replica = agreement.replicated(None, parent_record(), "n1", ("n1", "n2"))
    assents = {name: Vote(name, 7, True) for name in ("n1", "n2")}
    ready = agreement.outcome(replica, assents)
    assert ready.state == "ready" and agreement.pending(ready) and ready.standing == IN_FORCE
    assert agreement.vote_for_parent(ready, 7) == (True, "")
    refused = agreement.outcome(replica, assents | {"n2": Vote("n2", 7, False, "too far")})
    assert refused.state == "refused" and agreement.pending(refused)
    assert agreement.vote_for_parent(refused, 7) == (False, "n2: too far")
    late = agreement.timed_out(replica, {"n1": assents["n1"]})
    assert late.state == "refused" and "n2" in late.why
    assert agreement.vote_for_parent(replica, 7) is None and agreement.vote_for_parent(ready, 8) is None
    assert agreement.vote_for_parent(None, 7) is None


def test_an_absent_voter_is_skipped_and_an_objection_never_is():
    replica = agreement.replicated(None, parent_record(), "n1", ("n1", "n2"))
    votes = {"n1": Vote("n1", 7, True)}
    assert agreement.outcome(replica, votes) is agreement.UNSET
    ready = agreement.outcome(replica, votes, frozenset({"n2"}))
    assert ready.state == "ready" and ready.away == ("n2",)
    with_objection = votes | {"n2": Vote("n2", 7, False, "no")}
    assert agreement.outcome(replica, with_objection, frozenset({"n2"})).state == "refused"


def test_a_record_of_a_flat_fleet_has_no_fields_of_hierarchies():
    record = agreement.proposed_record(None, "policy", 1, "a", "t", 1, ("a",), 1, 3.0)
    assert b"copied" not in agreement.encode(record) and b"waits" not in agreement.encode(record)
    assert agreement.outcome(record, {"a": Vote("a", 1, True)}).state == "settled"
    assert agreement.aborted(record, "no").state == "void"


# ---- absent supervisors -----------------------------------------------------------------------------------------


def test_silence_is_counted_from_when_the_view_became_complete():
    roll = MembershipView(("a", "b", "c"), 0.0)
    assert roll.absent_for(5.0) == {}
    roll.complete_since = 1.0
    roll.update_node("a~1", Member("a", incarnation=1), 1, 1.0)
    roll.update_node("b~1", Member("b", incarnation=1), 2, 1.0)
    assert roll.absent_for(5.0) == {"c": 4.0}
    roll.remove_node("b~1", 6.0)
    assert roll.absent_for(8.0) == {"b": 2.0, "c": 7.0}
    roll.complete_since = 20.0  # this supervisor was disconnected in between
    assert roll.absent_for(21.0) == {"b": 1.0, "c": 1.0}


def test_a_supervisor_with_a_node_of_an_older_start_is_not_absent():
    roll = MembershipView(("a",), 0.0)
    roll.complete_since = 0.0
    roll.update_node("a~1", Member("a", incarnation=1), 1, 0.0)
    roll.update_node("a~2", Member("a", incarnation=2), 2, 0.0)
    roll.remove_node("a~2", 1.0)
    assert "a" not in roll.living() and roll.absent_for(100.0) == {}


# ---- digests ----------------------------------------------------------------------------------------------------


def test_digests_of_cells_add_up_and_are_bounded():
    roll = MembershipView(("a", "b", "c", "d"), 0.0)
    for k, (name, state, policy) in enumerate((("a", "serving", 3), ("b", "leaving", 2), ("x", "serving", 9))):
        roll.update_node(f"{name}~1", Member(name, state=state, policy=policy, incarnation=1), k, 0.0)
    digest = hierarchy.cell_digest(roll.rows(1.0))
    assert digest == Digest(4, 1, 1, 2, {"3": 1, "2": 1})
    region_digest = hierarchy.aggregate_digest(
        {"n1": Member("n1", digest=digest), "n2": Member("n2")}, {"n1": 4, "n2": 3, "n3": 5}
    )
    assert region_digest == Digest(12, 1, 1, 2 + 3 + 5, {"3": 1, "2": 1})
    many = hierarchy.bounded_policies({str(k): k for k in range(1, 9)})
    assert many == {"8": 8, "7": 7, "6": 6, "5": 1 + 2 + 3 + 4 + 5}


# ---- the command line -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, flags, message",
    [
        (FILE.replace('"n2a"', NAMES), (), "65 members in cell n2, at most 64: move some to another cell"),
        (FILE, ("--name", "n9"), "'n9' is in no cell: name it among the members of one, or give another --name"),
        (FILE, ("--fleet-connect", "127.0.0.1:2181"), "--fleet-connect does not go with it"),
        (FILE, ("--expected", "a,b"), "--expected does not go with it"),
        (FILE, ("--leave-zones",), "--leave-zones does not go with it"),
        (None, (), "name a file that can be read"),
    ],
)
def test_supervise_refuses_invalid_input_with_the_remedy(tmp_path, text, flags, message):
    file = tmp_path / "tiers.toml"
    if text is not None:
        file.write_text(text)
    operation = "look:objective=0.5,timeout=1.5,value=1"
    arguments = ["supervise", "--operation", operation, "--name", "n1a", "--tiers", str(file), *flags]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2 and message in " ".join(result.output.replace("\u2502", " ").split())


def test_a_single_supervisor_loads_no_module_of_hierarchies():
    code = "import sys, driftshed.supervisor.command as c; print([m for m in sys.modules if 'hierarch' in m])"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
