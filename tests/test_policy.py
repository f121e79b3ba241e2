"""Changes of policy: the document, the policy store, switching an instance, and fleets in virtual time with faults."""

import sqlite3
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.coordination.agent import Agent
from driftshed.core.instance import Instance
from driftshed.core.messages import JoinAnswer
from driftshed.core.migration import CannotMigrate, migrate
from driftshed.day.rigged import remove_guard
from driftshed.policy import document as policies
from driftshed.policy import participant
from driftshed.policy.document import BadDocument, Document, Operation
from driftshed.policy.participant import PolicyRequest
from driftshed.policy.store import PolicyStore, PolicyStoreError, StoredVersion
from driftshed.proxy import follow
from driftshed.proxy.tables import Tables
from driftshed.trace.recording import LazyEncoded, Recording
from driftshed.trace.replay import Replay
from tests.fleets import check_history as check_records
from tests.policies import PolicyFleet, check_policy_invariants, run_random_history

TEXT = """
ahead = 0.5

[[operations]]
name = "lookup"
objective = 0.5
timeout = 1.5
value = 1
effect = "idempotent"

[settings]
zones = "east,west,north"
drain-grace = 2.5
queue-cap = 1500

[regions]
coast = ["east", "west"]
"""


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("drain-grace", "drain-gracee", "line 13: settings.drain-gracee: no setting of a policy; there is drain-grace"),
        ("value = 1", "value = 0", "line 8: Expected `float` > 0.0"),
        ("ahead", "ahaed", "line 2: Object contains unknown field `ahaed`; take it out"),
        ("ahead = 0.5", "form = 7", "line 2: form 7 is newer than this build reads (1): update"),
        ('"west"]', '"south"]', "'south' is none of east, west, north"),
        ("timeout = 1.5", "timeout = 0.2", "timeout must be above objective"),
        ("queue-cap = 1500", "queue-cap = 2", "queue-cap"),
        ("[settings]", "[settings", "no TOML"),
        ("[regions]", "[evacuation]\npaec = 2\n[regions]", "'paec' is none of"),
    ],
)
def test_an_invalid_document_is_rejected_with_place_and_remedy(old, new, message):
    with pytest.raises(BadDocument, match="(?s)"):
        policies.read_toml(TEXT.replace(old, new))
    with pytest.raises(BadDocument) as error:
        policies.read_toml(TEXT.replace(old, new))
    assert message in str(error.value)


def test_unsatisfiable_documents_are_reported():
    assert policies.unsatisfiable_requirements(policies.read_toml(TEXT)) == []
    slow = policies.read_toml(TEXT.replace("queue-cap = 1500", "queue-cap = 1500\nlines-per-second = 300"))
    assert "under the channel's worst time of 5.52 s" in policies.unsatisfiable_requirements(slow)[0]
    small = policies.read_toml(TEXT.replace("queue-cap = 1500", "queue-cap = 30\nstanding-lines = 40"))
    assert any("under one whole table" in text for text in policies.unsatisfiable_requirements(small))


def test_changes_that_a_running_fleet_cannot_make():
    old = policies.read_toml(TEXT)
    changed = policies.read_toml(TEXT.replace("2.5", "2.7").replace("objective = 0.5", "objective = 0.6"))
    assert policies.disallowed_changes(old, changed) == []
    assert (
        "zones"
        in policies.disallowed_changes(
            old, policies.read_toml(TEXT.replace("east,west,north", "east,west,north,south"))
        )[0]
    )
    post = '[[operations]]\nname = "post"\nobjective = 1\ntimeout = 2\nvalue = 3\n\n[settings]'
    second = TEXT.replace("[settings]", post)
    both = policies.read_toml(second)
    assert "in use" in policies.disallowed_changes(both, old)[0]
    retired = policies.read_toml(second.replace('name = "post"', 'name = "post"\nretired = true'))
    assert policies.disallowed_changes(both, retired) == [] == policies.disallowed_changes(retired, old)


FIGURES = st.floats(0.01, 4e4, allow_nan=False).map(lambda value: round(value, 3))
DOCUMENTS = st.builds(
    lambda operations, grace, ahead, work: Document(
        operations=[
            Operation(name=f"o{k}", objective=a, timeout=a + b, value=c) for k, (a, b, c) in enumerate(operations)
        ],
        settings={"drain-grace": grace},
        ahead=ahead,
        work=work,
    ),
    st.lists(st.tuples(FIGURES, FIGURES, FIGURES), min_size=1, max_size=4),
    st.floats(0.5, 9).map(lambda v: round(v, 2)),
    st.sampled_from([0, 1, 2.0, 0.25]),
    st.dictionaries(st.sampled_from(["zone", "kind"]), FIGURES),
)


@settings(max_examples=100, deadline=None)
@given(DOCUMENTS, DOCUMENTS)
def test_the_canonical_text_is_unique_and_differences_are_complete(one, other):
    text = policies.canonical(one)
    again = policies.parse_canonical(text)
    assert policies.canonical(again) == text and policies.digest(again) == policies.digest(one)
    assert policies.canonical(policies.read_toml(policies.to_toml(one))) == text
    assert (policies.digest(one) == policies.digest(other)) == (policies.difference(one, other) == [])
    flat = policies.flatten(one)
    for path, before, after in policies.difference(one, other):
        assert flat.get(path) == before
        flat[path] = after
        if after is None:
            del flat[path]
    assert flat == {path: value for path, value in policies.flatten(other).items() if value is not None or path in flat}


@settings(max_examples=150, deadline=None)
@given(
    st.text(max_size=200)
    | st.integers(0, len(TEXT)).flatmap(
        lambda at: st.text(max_size=8).map(lambda part: TEXT[:at] + part + TEXT[at + len(part) :])
    )
)
def test_readers_accept_or_reject_any_text(text):
    for reader in (policies.read_toml, policies.parse_canonical):
        try:
            assert isinstance(reader(text), Document)
        except BadDocument as error:
            assert str(error)


# ---- the policy store --------------------------------------------------------------------------------------------


def stored_version(version: int, state: str = "settled", epoch: int = 0) -> StoredVersion:
    return StoredVersion(version, epoch or version, state, f"d{version}", "{}", "somebody", "", 1.0, 0.5, "s0,s1")


def test_the_store_persists_versions_and_retains_only_the_newest(tmp_path):
    store = PolicyStore(tmp_path, "f", "s0")
    for version in range(1, 260):
        store.put(stored_version(version))
    store.put(stored_version(260, "assented"))
    store.close()
    reopened = PolicyStore(tmp_path, "f", "s0")
    assert reopened.latest_committed().version == 259 and [each.version for each in reopened.assented()] == [260]
    assert (
        len(reopened.history()) <= 201
        and reopened.find_committed(3) is None
        and reopened.find_committed(200) == stored_version(200)
    )
    reopened.put(stored_version(260, "void"))
    assert not reopened.assented() and reopened.latest_committed().version == 259


def test_unusable_store_files_are_reported_with_the_reason(tmp_path):
    PolicyStore(tmp_path / "a", "f", "s0").close()
    for fleet, name in (("g", "s0"), ("f", "s1")):
        with pytest.raises(PolicyStoreError, match="not to"):
            PolicyStore(tmp_path / "a", fleet, name)
    connection = sqlite3.connect(tmp_path / "a" / "policy.db")
    connection.execute("UPDATE meta SET value = '9' WHERE key = 'form'")
    connection.commit()
    connection.close()
    with pytest.raises(PolicyStoreError, match="update driftshed"):
        PolicyStore(tmp_path / "a", "f", "s0")
    (tmp_path / "b").mkdir()
    (tmp_path / "b" / "policy.db").write_bytes(b"no database " * 500)
    with pytest.raises(PolicyStoreError, match="move the file away"):
        PolicyStore(tmp_path / "b", "f", "s0")
    (tmp_path / "c").write_text("a file")
    with pytest.raises(PolicyStoreError, match="can be written"):
        PolicyStore(tmp_path / "c", "f", "s0")


def test_a_full_or_read_only_disk_leaves_the_store_unchanged(tmp_path):
    store = PolicyStore(tmp_path, "f", "s0")
    store.put(stored_version(1))
    pages = store.connection.execute("PRAGMA page_count").fetchone()[0]
    store.connection.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(PolicyStoreError, match="full"):
        for version in range(2, 50):
            store.put(stored_version(version)._replace(text="x" * 4000))
    newest = store.latest_committed().version
    store.connection.execute("PRAGMA max_page_count = 100000")
    store.put(stored_version(60))
    assert newest >= 1 and store.latest_committed().version == 60
    store.connection.execute("PRAGMA query_only = 1")
    with pytest.raises(PolicyStoreError, match="readonly"):
        store.put(stored_version(61))
    assert store.latest_committed().version == 60


# ---- switching an instance ---------------------------------------------------------------------------------------

FACTS = policies.start_facts(policies.read_toml(TEXT), 0, 3)


def random_events(random: Random, now: float, listed: bool) -> list:
    events: list = []
    if not listed:
        rows = tuple(
            face.Entry(bytes([127, 0, 0, k, 31, 64]), k % 3, 0, None, 0, face.READY, 1.0) for k in range(1, 13)
        )
        events.append(face.Listing(1, face.FULL, rows))
        events += [face.Joined(k % 3, True, k, 5.0) for k in range(9)]
    for _ in range(random.randrange(6)):
        server = bytes([127, 0, 0, random.randrange(1, 13), 31, 64])
        tries = random.randrange(1, 9)
        events.append(random_report(random, server, tries))
    return events


def random_report(random: Random, server: bytes, tries: int) -> face.Heard:
    errored = random.randrange(2) * tries // 2
    return face.Heard(errored, server, tries, 0.5, random.randrange(3), random.uniform(0.05, 0.4), None)


@pytest.mark.parametrize("seed", range(4))
def test_a_switch_to_the_same_facts_changes_no_order_ever(seed):
    one, other, random = Brain(FACTS, seed, 0.0), Brain(FACTS, seed, 0.0), Random(seed)
    for step in range(400):
        now = step * 0.1
        events = random_events(random, now, step > 0)
        if step % 37 == 5:
            other = migrate(other, FACTS, FACTS)
        assert one.handle(now, events) == other.handle(now, events), step


def test_a_switch_applies_the_new_facts_and_keeps_what_was_learnt():
    brain, random = Brain(FACTS, 1, 0.0), Random(1)
    for step in range(200):
        brain.handle(step * 0.1, random_events(random, step * 0.1, step > 0))
    slower = FACTS.operations[0]._replace(latency_objective=0.7)
    new = FACTS._replace(queue_cap=3000.0, drain_grace=4.0, operations=(slower,))
    switched, fresh = migrate(brain, FACTS, new), Brain(new, 1, 0.0)
    assert (switched.queue_cap, switched.round_lines, switched.objectives) == (
        fresh.queue_cap,
        fresh.round_lines,
        fresh.objectives,
    )
    assert (
        switched.factor is brain.factor
        and switched.line_weight is brain.line_weight
        and switched.line_weight is switched.server_arrays[12]
    )
    assert (
        switched.random is brain.random
        and switched.lowest_latency == brain.lowest_latency
        and switched.answer_timeout == fresh.answer_timeout
    )
    for bad in (
        FACTS._replace(zones=("east",)),
        FACTS._replace(report_period=0.7),
        FACTS._replace(operations=FACTS.operations * 2),
    ):
        with pytest.raises(CannotMigrate, match="holds from a start"):
            migrate(brain, FACTS, bad)


class Rows:
    """Stands in for a trace writer and collects the rows."""

    def __init__(self) -> None:
        self.rows = []

    def add(self, kind: str, at: float, **fields) -> None:
        fields = {name: bytes(value) if isinstance(value, LazyEncoded) else value for name, value in fields.items()}
        self.rows.append((kind, {"at": at, **fields}))


@pytest.mark.parametrize("lost", [False, True])
def test_a_switch_is_in_the_trace_and_replayed(lost):
    writer, random, instance = Rows(), Random(3), Instance(FACTS, 3, "run", 0.0)
    Recording(instance, writer)
    for step in range(120):
        instance.pending_events += random_events(random, step * 0.1, step > 0)
        instance.turn(step * 0.1)
        if step == 50:
            instance.switch(FACTS._replace(queue_cap=400.0, drain_grace=4.0), 1, step * 0.1)
    assert instance.facts.queue_cap == 400 == instance.brain.queue_cap
    replay = Replay()
    for kind, row in writer.rows:
        if not (lost and kind == "switch"):
            getattr(replay, kind)(row)
    assert [verdict.said for verdict in replay.verdicts()] == ["differs" if lost else "same"]


def test_frozen_orders_are_sent_later_in_order_except_for_lines_that_ended():
    instance, frozen = Instance(FACTS, 1, "run", 0.0), [True]
    instance.tables_frozen = lambda: frozen[0]
    one, two = (bytes([127, 0, 0, k, 31, 64]) for k in (1, 2))
    orders = [face.SetLine(one, 1.0, 0), face.SetLine(two, 1.0, 0), face.UseTable(0, 0, 5)]
    assert instance._publishable_orders(orders) == []
    assert instance._publishable_orders([face.SetLine(one, 0.0, 0)]) == [face.SetLine(one, 0.0, 0)]
    frozen[0] = False
    more = [face.SetLine(two, 0.5, 0)]
    assert instance._publishable_orders(more) == [*orders[1:], *more] and instance._publishable_orders([]) == []


# ---- fleets in virtual time --------------------------------------------------------------------------------------


@pytest.fixture
def fleet(tmp_path):
    return PolicyFleet(tmp_path)


def test_a_change_becomes_active_everywhere_at_the_same_time(fleet):
    fleet.run_until_up()
    fleet.run(3)
    assert {proxy.tables.policy for proxy in fleet.proxies} == {0}
    answer = fleet.propose_policy("b", 2.8)
    assert answer["version"] == 1 and ("settings.drain-grace", None, 2.8) in answer["difference"]
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    at = [at for at, _, event, _ in fleet.logs if event == "policy"]
    assert len(at) == 3 and max(at) - min(at) < 0.1
    fleet.run_until(lambda: {proxy.tables.policy for proxy in fleet.proxies} == {1}, 5)
    assert {part.instance.facts.drain_grace for part in fleet.parts.values()} == {2.8}
    assert "already in force" in fleet.propose_policy("a", 2.8)
    assert fleet.propose_policy("a", 3.0)["version"] == 2
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {2}, 5)
    view = fleet.parts["c"].view()
    assert [row["version"] for row in view["history"]] == [2, 1] and view["members"]["a"][0] == "living"
    assert fleet.parts["c"].handle_request(PolicyRequest("revert", "somebody", version=1))["version"] == 3
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {3}, 5)
    assert fleet.parts["a"].instance.facts.drain_grace == 2.8
    check_policy_invariants(fleet)


def test_an_objection_or_a_silent_supervisor_prevents_a_change(fleet):
    fleet.run_until_up()
    fleet.parts["b"].instance.check_switch = lambda facts: "no room"
    assert fleet.propose_policy("a", 2.6)["version"] == 1
    fleet.run_until(lambda: fleet.parts["a"].proposal.state == "void", 8)
    assert "b: no room" in fleet.parts["a"].proposal.why
    del fleet.parts["b"].instance.check_switch
    fleet.kill("c")
    fleet.run(3)
    fleet.propose_policy("a", 2.6, patience=2.0)
    fleet.run_until(lambda: fleet.parts["a"].proposal.state == "void", 12)
    assert "c" in fleet.parts["a"].proposal.why and set(fleet.active_versions().values()) == {0}
    fleet.run(1)
    assert not fleet.parts["a"].assented and not fleet.parts["b"].assented  # everyone drops it
    assert not fleet.parts["a"]._tables_frozen()
    check_policy_invariants(fleet)


def test_a_supervisor_named_as_gone_is_fenced_and_reads_the_policy_before_proxies_join(fleet):
    fleet.run_until_up()
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    fleet.pause("c", 14.0)
    fleet.run(3)
    assert fleet.propose_policy("a", 2.7, despite=["c"])["version"] == 2
    fleet.run_until(lambda: fleet.parts["a"].proposal.state == "void", 8)
    assert "may go on by itself" in fleet.parts["a"].proposal.why  # not silent for long enough
    fleet.run(6)
    assert fleet.propose_policy("a", 2.7, despite=["c"])["version"] == 2
    fleet.run_until(lambda: fleet.active_versions()["b"] == 2, 6)
    fleet.run(12)  # it resumes, and finds itself fenced
    assert fleet.agents["c"].registration.state.value == "fenced" and fleet.active_versions()["c"] == 1
    fleet.kill("c")
    fleet.start("c")
    fleet.run_until(lambda: fleet.active_versions()["c"] == 2, 8)
    assert "not another supervisor" in fleet.propose_policy("a", 2.9, despite=["a"])
    check_policy_invariants(fleet)


def test_a_store_that_was_restored_from_an_old_copy_reverts_nobody(fleet):
    fleet.run_until_up()
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    old = list(fleet.rows)
    fleet.propose_policy("a", 2.7)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {2}, 5)
    for name in fleet.names:
        fleet.kill(name)
    fleet.network.end_process(fleet.store_seat)
    fleet.rows = old
    fleet._start_store()
    for name in fleet.names:
        fleet.start(name)
    fleet.run(8)
    assert set(fleet.active_versions().values()) == {0} and all(part._tables_frozen() for part in fleet.parts.values())
    assert all("2 was committed: restore it" in part.apply_error for part in fleet.parts.values())


def test_a_policy_under_which_the_module_raises_is_reverted_by_all(fleet):
    fleet.run_until_up()
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    fleet.propose_policy("a", 3.3)
    fleet.run_until(lambda: fleet.active_versions()["b"] == 2, 5)
    brain = fleet.parts["b"].instance.brain
    brain.handle = lambda now, events: 1 / 0
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {3}, 10)
    assert {part.instance.facts.drain_grace for part in fleet.parts.values()} == {2.6}
    assert fleet.parts["c"].committed_change().undoes == 2
    check_policy_invariants(fleet)


def test_a_policy_that_cannot_be_stored_is_objected_to(fleet):
    fleet.run_until_up()
    fleet.parts["c"].store.connection.execute("PRAGMA query_only = 1")
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: fleet.parts["a"].proposal.state == "void", 8)
    assert "cannot be stored here" in fleet.parts["a"].proposal.why and set(fleet.active_versions().values()) == {0}


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_in_drawn_histories(tmp_path, seed):
    fleet = run_random_history(tmp_path, seed)
    check_policy_invariants(fleet)
    check_records(fleet)


WRITES = Agent._write


def test_without_freezing_past_the_lease_two_policies_order_at_a_time(fleet, monkeypatch):
    monkeypatch.setattr(participant, "may_change_tables", lambda known, now: True)
    with pytest.raises(AssertionError, match="c ordered by policy 1"):
        test_a_supervisor_named_as_gone_is_fenced_and_reads_the_policy_before_proxies_join(fleet)


def left_with_one_behind(fleet) -> None:
    """One supervisor does not apply the committed version, and then is the only one left."""
    fleet.run_until_up()
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    fleet.run_until(lambda: {proxy.tables.policy for proxy in fleet.proxies} == {1}, 5)
    behind = fleet.parts["c"]
    behind.schedule.take_due, behind._tables_frozen = lambda now: None, lambda: False
    fleet.propose_policy("a", 2.7)
    fleet.run_until(lambda: fleet.active_versions()["a"] == fleet.active_versions()["b"] == 2, 5)
    fleet.run(2)
    fleet.kill("a")
    fleet.kill("b")
    fleet.run(8)


def test_a_proxy_never_goes_back_to_an_older_policy(fleet):
    left_with_one_behind(fleet)
    versions = [proxy.tables.policy for proxy in fleet.proxies]
    assert 2 in versions and all(proxy.tables.state for proxy in fleet.proxies)  # they forward by the tables they have
    for rows in fleet.proxy_policies.values():
        assert [policy for _, policy in rows] == sorted(policy for _, policy in rows)


def test_without_the_version_check_a_proxy_goes_back(fleet, monkeypatch):
    monkeypatch.setattr(Tables, "check_policy", lambda self, policy: None)
    decoder = msgspec.json.Decoder(JoinAnswer)
    accepts_all = lambda body: msgspec.structs.replace(decoder.decode(body), policy=1 << 30)  # noqa: E731
    monkeypatch.setattr(follow, "JOIN_ANSWER_DECODER", SimpleNamespace(decode=accepts_all))
    left_with_one_behind(fleet)
    with pytest.raises(AssertionError, match="went back from policy 2 to 1"):
        check_policy_invariants(fleet)


def test_of_two_concurrent_changes_one_wins_and_the_other_reports_why(fleet):
    fleet.run_until_up()
    fleet.propose_policy("a", 2.6)
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {1}, 5)
    assert fleet.propose_policy("a", 2.7)["version"] == fleet.propose_policy("b", 2.8)["version"] == 2
    fleet.run_until(lambda: set(fleet.active_versions().values()) == {2}, 5)
    states = {name: fleet.parts[name].proposal.state for name in "ab"}
    assert sorted(states.values())[-1] == "settled" and set(states.values()) & {"lost", "refused", "unknown"}
    reason = next(fleet.parts[name].proposal.why for name in "ab" if states[name] != "settled")
    assert reason
    check_policy_invariants(fleet)
    check_records(fleet)


def test_without_the_compare_and_set_two_changes_at_once_are_both_written(fleet):
    remove_guard("epochs")
    try:
        test = test_of_two_concurrent_changes_one_wins_and_the_other_reports_why
        with pytest.raises(AssertionError):
            test(fleet)
    finally:
        Agent._write = WRITES
