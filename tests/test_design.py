"""The ordinary path, as the design page (docs/design.md) describes it."""

from driftshed import interface as face
from driftshed.adapter.facts import read_facts
from driftshed.brain import (
    COMPLAINT_MIN_AGE_S,
    ENTRY_WEIGHT_SHARE,
    WITHDRAWAL_BUDGET,
    WITHDRAWAL_BUDGET_WINDOW_S,
    WITHDRAWAL_DURATION_S,
    Brain,
)
from tests.helpers import FACTS, SimulatedFleet, server


def report_all(world: SimulatedFleet, sick=(), **symptom) -> None:
    for name in [name for name, (state, _) in world.states.items() if state == face.READY]:
        world.report(name, **(symptom if name in sick else {}))


def withdrawals(world: SimulatedFleet) -> list:
    return [(at, order.server) for at, order in world.order_log if isinstance(order, face.Withdraw) and order.on]


def test_lasting_complaints_of_two_zones_withdraw_and_the_server_returns_in_steps():
    world, sick = SimulatedFleet(), {server(3)}
    world.run(4, report_all)
    world.run(COMPLAINT_MIN_AGE_S - 1, lambda w: report_all(w, sick, errored=5))
    assert world.is_usable(server(3))
    world.run(3, lambda w: report_all(w, sick, errored=5))
    assert not world.is_usable(server(3))
    world.run(WITHDRAWAL_DURATION_S - 3, report_all)
    assert not world.is_usable(server(3))
    world.run(4, report_all)
    assert 0 < world.traffic_share(server(3)) <= 4 * ENTRY_WEIGHT_SHARE / 8
    world.run(10, report_all)
    assert world.traffic_share(server(3)) > 0.05


def test_a_server_that_answers_nothing_is_withdrawn_in_half_the_time():
    world = SimulatedFleet()
    world.run(4, report_all)
    world.run(COMPLAINT_MIN_AGE_S / 2 + 2, lambda w: report_all(w, {server(3)}, errored=10, latency=None))
    assert not world.is_usable(server(3))


def test_one_zone_alone_never_withdraws_and_latency_counts_against_the_baseline():
    world = SimulatedFleet()
    world.run(4, report_all)
    world.run(20, lambda w: (report_all(w), w.report(server(1), errored=10, zones=(1,)))[0])
    assert not withdrawals(world)
    world.run(10, lambda w: report_all(w, {server(2)}, latency=0.95))
    assert [name for _, name in withdrawals(world)] == [server(2)]


def test_caps_hold_when_many_fail_and_a_fleet_wide_fault_withdraws_no_server():
    for servers, most in ((9, 2), (5, 1)):
        world, outs = SimulatedFleet(servers=servers), []
        sick = {server(n) for n in range((servers - 1) // 2)}
        world.run(
            60,
            lambda w, sick=sick: report_all(w, sick, errored=10, latency=None),
            lambda w, outs=outs: outs.append(len(w.withdrawn)),
        )
        times = [at for at, _ in withdrawals(world)]
        assert max(outs) == most
        assert all(
            sum(at <= other < at + WITHDRAWAL_BUDGET_WINDOW_S for other in times) <= WITHDRAWAL_BUDGET for at in times
        )
    for symptom in ({"errored": 10, "latency": None}, {"latency": 1.2}):
        world = SimulatedFleet()
        world.run(4, report_all)
        world.run(30, lambda w, symptom=symptom: report_all(w, set(w.states), **symptom))
        assert not withdrawals(world)


def test_weights_follow_latency_within_half_to_double_and_only_changes_are_sent():
    world = SimulatedFleet(extra="weightSource=off\n")
    world.run(60, lambda w: report_all(w, {server(0)}, latency=0.15))
    assert 0.5 <= world.lines[server(0)] / world.lines[server(1)] <= 0.6
    lines = [order.server for _, order in world.order_log if isinstance(order, face.SetLine)]
    assert lines.count(server(1)) == 1 and 4 <= lines.count(server(0)) <= 8


def test_where_weights_are_listed_a_factor_rests_at_the_latency_ratio():
    world = SimulatedFleet()
    world.run(60, lambda w: report_all(w, {server(0)}, latency=0.15))
    assert 0.6 <= world.lines[server(0)] / world.lines[server(1)] <= 0.75
    world.run(60, report_all)
    assert world.lines[server(0)] / world.lines[server(1)] > 0.9


def test_a_server_that_fails_fast_or_never_answers_loses_weight_in_the_solve():
    for symptom in ({"errored": 5, "latency": 0.01}, {"errored": 10, "latency": None}):
        world = SimulatedFleet()
        world.run(8, lambda w, symptom=symptom: report_all(w, {server(0)}, **symptom))
        assert world.lines[server(0)] < 0.9 * world.lines[server(1)]


def test_a_list_without_a_ready_server_does_not_create_the_parts():
    facts = read_facts(FACTS + "domain.proxies=100\n")
    ready = tuple(face.Entry(server(n), n % 2, 0, None, 0, face.READY, 1.0) for n in range(60))
    draining = tuple(entry._replace(state=face.DRAINING) for entry in ready[:3])
    parts = []
    for early in ((), (face.Listing(1, face.CACHED, ()),), (face.Listing(1, face.CACHED, draining),)):
        brain = Brain(facts, 1, 100.0)
        later = face.Listing(2, face.FULL, ready), face.Listing(3, face.DELTA, ready[:1])
        for now, listing in enumerate((*early, *later)):
            brain.handle(100.0 + now, [listing])
        parts.append(brain.part_zone)
        # A proxy does not receive all 60 servers: its table is one part.
        orders = brain.handle(105.0, [face.Joined(0, True, 0, 5.0)])
        part = next(order.table for order in orders if isinstance(order, face.UseTable))
        assert sum(brain.part[i] == part and brain.line_weight[i] > 0 for i in range(len(brain.server_ids))) < 20
    assert len(parts[0]) > 2 and parts[0] == parts[1] == parts[2]
