"""Cold servers while servers restart in place, streams break, and orders wait for answers."""

from collections import Counter
from random import Random

import pytest

from driftshed import interface as face
from tests.cold_fleets import REDIAL_S, BrokenStreams, ColdFleet, random_restarts
from tests.helpers import SimulatedFleet, server
from tests.takeovers import server_id
from tests.test_rules import report_all

SERVERS, JOINED = 30, 80
SETTINGS = (
    "domain.proxies=240\nbalancers=3\ndomain.linesPerS=1300\ndomain.queueCap=1950\nlanes.count=2\n"
    "domain.minConnCap=157\ndomain.pick=two\ndomain.transitUs=306000\ndomain.worstTransitUs=765000\n"
    "invariants.drainGraceUs=3000000\ninvariants.warmWithinUs=16000000\n"
    "invariants.coldFrom=0.15\ninvariants.tipMultiple=4\n"
)


def play_restarts(seed: int) -> ColdFleet:
    """Servers of two kinds restart in place for 38 s, some fail, streams break, and other proxies join."""
    random = Random(seed)
    load, size, interval = random.uniform(0.5, 1.2), random.choice([2, 2, 3]), random.uniform(2.5, 5.0)
    failing, broken_per_second = random.choice([0, 3, 5]), random.choice([0.0, 1.5, 4.0])
    joining, crashes = random.choice([0, 58, 100]), random.random() < 0.5
    fleet = ColdFleet(SERVERS, JOINED, SETTINGS, seed, load)
    fleet.capacity *= (JOINED + joining) / JOINED
    for number in range(SERVERS):
        speed = random.uniform(0.51, 0.69) if number // 2 % 2 else random.uniform(0.85, 1.1)
        fleet.speeds[server_id(number)] = max(0.5, random.gauss(1.0, 0.2)) * speed / 0.79
    fleet.play(10.0)
    for number in random.sample(range(SERVERS), failing):
        fleet.failing[server_id(number)] = random.uniform(0.3, 0.9)
    random_restarts(fleet, random, 38.0, size, interval, crashes)
    break_streams = BrokenStreams(fleet, broken_per_second, random)
    at = fleet.now + random.uniform(8.0, 20.0)
    coming = sorted((at + random.uniform(*REDIAL_S), JOINED + number) for number in range(joining))

    def before(fleet: ColdFleet) -> None:
        break_streams(fleet)
        while coming and coming[0][0] <= fleet.now:
            number = coming.pop(0)[1]
            listed = [server for server in fleet.states if fleet.entry(server).zone == number % 2]
            fleet.join(number, set(fleet.random.sample(listed, 5)), fresh=True)

    fleet.play(50.0, before)
    return fleet


def test_cold_servers_are_not_overloaded_while_orders_for_warm_ones_wait():
    """Guards against cold servers that get the share of warm ones whose orders are not out yet."""
    for seed in (216, 233, 348, 358):
        fleet = play_restarts(seed)
        assert fleet.judge.worst.multiple <= fleet.facts.tip_multiple, (seed, fleet.judge.worst)
        assert fleet.max_waiting <= fleet.facts.queue_cap
        assert not fleet.late


def test_proxies_leave_a_part_of_cold_servers_alone_without_waiting_for_answers():
    """Guards against proxies that stay at cold servers, since their move was ordered while a warm one was there."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    world.run(10, report_all)
    brain, held = world.brain, world.held_table[0]
    brain.target_part[0] = (held + 1) % len(brain.part_zone)
    messages, selected = {}, []
    brain._assign_tables(messages, brain.queue_cap, False, selected)
    assert not selected  # an ordinary move
    brain.bearable_share[held] = 0.1
    brain._assign_tables(messages, brain.queue_cap, False, selected)
    assert [(order.proxy, order.table) for order in selected] == [(0, brain.target_part[0])]


def restart_servers_of_a_part(world: SimulatedFleet, warm: int) -> tuple[int, list[int]]:
    """After 10 s all servers of the first proxy's part restart, but for `warm`. Returns the part and their slots."""
    world.run(10, report_all)
    brain, held = world.brain, world.held_table[0]
    cold = [i for i, part in enumerate(brain.part) if part == held][warm:]
    for i in cold:
        world.list_server(brain.server_ids[i], face.READY, started=world.now)
    return held, cold


def test_a_part_of_cold_servers_alone_gets_no_proxy_that_brings_more_than_it_can_bear():
    """Guards against proxies that such a part lacks little of, each of which brings much."""
    world = SimulatedFleet(servers=40, proxies=12, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    cold_part, _ = restart_servers_of_a_part(world, warm=0)
    brain = world.brain

    def judge(world: SimulatedFleet) -> None:
        rate = sum(brain.rate[proxy] for proxy, part in brain.target_part.items() if part == cold_part)
        assert rate <= 1.001 * brain.bearable_share[cold_part] * sum(brain.rate.values())

    world.run(2, report_all, judge)
    world.events += [face.Joined(proxy % 2, True, proxy, 20.0) for proxy in range(12, 30)]
    world.run(4, report_all, judge)


def levels_of_part(world: SimulatedFleet, began: float, part: int) -> list[face.SetLevel]:
    """The levels ordered for a part since a time."""
    levels = [order for at, order in world.order_log if at >= began and isinstance(order, face.SetLevel)]
    return [order for order in levels if order.table == part]


def test_a_part_whose_warm_servers_leave_admits_no_more_than_its_cold_servers_can_bear():
    """Guards against a cold server that gets all work of its part until the proxies have moved."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    part, cold = restart_servers_of_a_part(world, warm=1)
    brain = world.brain
    world.run(1, report_all)
    warm = next(i for i, each in enumerate(brain.part) if each == part and i not in cold)
    world.list_server(brain.server_ids[warm], face.GONE)
    before = len(world.order_log)
    world.handle_events()
    orders = [order for _, order in world.order_log[before:]]
    levels = [order for order in orders if isinstance(order, face.SetLevel) and order.table == part]
    assert face.SetLine(brain.server_ids[warm], 0.0, part) in orders
    assert {order.operations for order in levels} == {1 << k for k in range(len(world.facts.operations))}
    rate = sum(brain.rate[proxy] for proxy, held in brain.held_part.items() if held == part)
    borne = brain.bearable_share[part] * sum(brain.rate.values())
    assert all(order.level * rate <= 1.001 * max(borne, 0.1 * rate) for order in levels)


def test_a_part_with_a_single_warm_server_makes_no_further_tries():
    """Guards against a warm server that ends unlisted, whose work all goes to the cold ones by further tries."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    world.run(10, report_all)
    part, began = world.held_table[0], world.now
    restart_servers_of_a_part(world, warm=1)
    world.run(1, report_all)
    levels = levels_of_part(world, began, part)
    assert levels and all(order.tries == face.NO_TRY for order in levels)
    others = {p for p in range(len(world.brain.part_zone)) if p != part}
    assert all(order.tries != face.NO_TRY for other in others for order in levels_of_part(world, began, other))


def test_proxies_that_should_leave_a_part_count_for_its_cold_servers_while_they_hold_it():
    """Guards against a limit that goes by where proxies should be, while their moves wait for answers."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    held, cold = restart_servers_of_a_part(world, warm=1)
    brain = world.brain
    world.run(2.5, report_all)
    withdrawals, parts = [False] * len(brain.server_ids), len(brain.part_zone)
    brain.held_part = {proxy: proxy % parts for proxy in brain.proxy_zone}
    brain.target_part = dict(brain.held_part)
    weight = brain._target_weights(withdrawals)[cold[0]]
    for proxy in [proxy for proxy, part in brain.held_part.items() if part == held][1:]:
        brain.target_part[proxy] = (held + 1) % parts
    assert 0 < brain._target_weights(withdrawals)[cold[0]] <= weight


def test_proxies_do_not_go_to_and_fro_between_parts_of_cold_servers_alone():
    """Guards against tables that fill the channel while no part can bear what others cannot."""
    world = SimulatedFleet(servers=40, proxies=60, extra="domain.proxies=60\ndomain.minConnCap=200\n")
    world.run(10, report_all)
    coming, began = list(world.states), world.now

    def restart_some(world: SimulatedFleet) -> None:
        report_all(world)
        for _ in range(min(4, len(coming))):
            world.list_server(coming.pop(), face.READY, started=world.now)

    world.run(8, restart_some)
    tables = Counter(order.proxy for at, order in world.order_log if at > began and isinstance(order, face.UseTable))
    assert max(tables.values()) == 1


@pytest.mark.parametrize("fresh", [True, False])
def test_only_new_work_lowers_the_limit_of_cold_servers(fresh):
    """Guards against cold servers that get their share of a crowd, and against sparing them in a takeover."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=90\ndomain.minConnCap=200\n")
    _, cold = restart_servers_of_a_part(world, warm=1)
    brain = world.brain
    world.run(2, report_all)
    no_withdrawals = [False] * len(brain.server_ids)
    world.events += [face.Joined(proxy % 2, fresh, proxy, 5.0) for proxy in range(30, 90)]
    world.handle_events()
    weight = brain._target_weights(no_withdrawals)[cold[0]]
    brain.answerable_rate = float("inf")  # as if all work were known to be answered
    assert 0 < weight
    assert (weight < 0.9 * brain._target_weights(no_withdrawals)[cold[0]]) == fresh


def warm_slots(brain, part: int) -> list[int]:
    return [i for i, each in enumerate(brain.part) if each == part and brain.is_warm(i)]


def test_a_server_that_is_warm_but_has_hardly_any_weight_in_force_allows_no_further_tries():
    """Guards against further tries that all go to cold servers, since the other warm one has its old weight still."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    part, cold = restart_servers_of_a_part(world, warm=1)
    brain = world.brain
    world.run(1, report_all)
    brain.started[cold[0]] -= 60.0  # warm from now on, with the weight of a cold server
    brain._target_weights([False] * len(brain.server_ids))
    assert part in brain.single_try_parts


def test_the_last_warm_server_of_a_part_is_let_in_again_at_once():
    """Guards against cold servers that are alone until the next urgent round, or until the channel has room."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    part, _ = restart_servers_of_a_part(world, warm=2)
    brain = world.brain
    world.run(1, report_all)
    withdrawn, other = warm_slots(brain, part)
    brain.withdrawn_at[withdrawn] = world.now
    world.run(1, report_all)
    assert brain.withdrawn[withdrawn]
    brain.next_urgent = world.now + 10.0
    world.list_server(brain.server_ids[other], face.GONE)
    assert face.Withdraw(False, brain.server_ids[withdrawn]) in world.handle_events()


def test_a_part_whose_last_warm_server_restarts_gets_its_level_with_the_cut():
    """Guards against cold servers that get all work of their part while the cut of its level waits for its turn."""
    world = SimulatedFleet(servers=40, proxies=30, extra="domain.proxies=30\ndomain.minConnCap=200\n")
    part, _ = restart_servers_of_a_part(world, warm=1)
    brain = world.brain
    world.run(1, report_all)
    brain.next_urgent = world.now + 10.0
    world.list_server(brain.server_ids[warm_slots(brain, part)[0]], face.READY, started=world.now)
    levels = [order for order in world.handle_events() if isinstance(order, face.SetLevel) and order.table == part]
    assert levels and all(order.level < brain.unlimited_level for order in levels)


def play_failing_start(failing_from: str) -> tuple[float, float]:
    """Two servers restart, and one of them fails. Returns its largest weight from 1 s on, and that of the other after
    10 s."""
    world = SimulatedFleet()
    sick, healthy = server(3), server(5)
    world.run(10, report_all)

    def report_failing(world: SimulatedFleet) -> None:
        report_all(world)
        if failing_from == "the start on" and world.is_usable(sick):
            world.report(sick, errored=5)

    if failing_from == "before the restart":
        world.run(3, lambda world: (report_all(world), world.report(sick, errored=5)))
    for name in (sick, healthy):
        world.list_server(name, face.READY, started=world.now)
    heaviest = 0.0

    def judge(world: SimulatedFleet) -> None:
        nonlocal heaviest
        heaviest = max(heaviest, world.lines.get(sick, 0.0))

    world.run(1, report_failing)
    world.run(9, report_failing, judge)
    return heaviest, world.lines[healthy]


@pytest.mark.parametrize("failing_from", ["the start on", "before the restart"])
def test_a_restarted_server_that_fails_takes_no_further_entry_step(failing_from):
    """Guards against a cold server on a slow machine that gets ever more work by its age alone."""
    usual_sick, usual_healthy = play_failing_start("never")
    assert usual_sick > 0.2 and usual_healthy > 0.2
    heaviest, healthy = play_failing_start(failing_from)
    assert heaviest <= min(0.21, usual_sick / 2)
    assert healthy >= 0.9 * usual_healthy


def test_cold_servers_are_not_overloaded_by_a_sudden_crowd_of_proxies():
    """Guards against a limit that follows a rise of all arrivals by three quarters only with the reports."""
    fleet = play_restarts(124)
    assert fleet.judge.worst.multiple <= fleet.facts.tip_multiple, fleet.judge.worst
