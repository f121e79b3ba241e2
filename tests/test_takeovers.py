"""Drains while a supervisor takes over the proxies of killed ones, and at a supervisor with many proxies."""

import pytest

from driftshed import interface as face
from tests.takeovers import Release, TakeoverFleet, server_id

PLATFORM_SLACK_S = 0.3  # by which the platform's time limits on drains are longer
SETTINGS = (
    "domain.proxies=480\nbalancers=10\ndomain.linesPerS=1100\ndomain.queueCap=1650\nlanes.count=2\n"
    "invariants.drainGraceUs=2000000\ninvariants.warmWithinUs=16000000\n"
    "domain.transitUs=306000\ndomain.worstTransitUs=765000\n"
)
SERVERS, STAYED, TAKEN_OVER, FOREIGN_LINES = 200, 48, 112, 20
KILL_AT_S, REJOIN_S = 15.0, (0.33, 2.45)  # after the kill


def play_release(seed: int, taken_over: int) -> TakeoverFleet:
    """Replaces 196 of 200 servers, 28 every 3 s. `taken_over` of the proxies join after a kill, with tables
    of other supervisors, and the third group drains 0.3 s after it; the others are joined all along."""
    fleet = TakeoverFleet(SERVERS, STAYED + TAKEN_OVER - taken_over, SETTINGS, seed)
    began = fleet.now
    release = Release(began + KILL_AT_S - 5.7, 28, 3.0, 7, 3.0)
    fleet.run(KILL_AT_S - 0.05, release)
    numbers = range(STAYED + TAKEN_OVER - taken_over, STAYED + TAKEN_OVER)
    coming = sorted((began + KILL_AT_S + fleet.random.uniform(*REJOIN_S), number) for number in numbers)
    tables = {number: fleet.foreign_table(number % 2, FOREIGN_LINES) for _, number in coming}

    def rejoin(fleet: TakeoverFleet) -> None:
        release(fleet)
        while coming and coming[0][0] <= fleet.now:
            number = coming.pop(0)[1]
            fleet.join(number, tables[number])

    fleet.run(18.0, rejoin)
    return fleet


def assert_rules_kept(fleet: TakeoverFleet) -> None:
    assert max(fleet.late.values(), default=0.0) <= PLATFORM_SLACK_S
    assert fleet.max_waiting <= fleet.facts.queue_cap


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 14, 17, 18, 25, 30])
def test_proxies_that_wait_for_their_table_let_go_of_what_drains_within_the_grace(seed):
    """Guards against proxies of killed supervisors that send to draining servers until their whole table has come."""
    fleet = play_release(seed, TAKEN_OVER)
    assert_rules_kept(fleet)
    assert not fleet.brain.waiting_since
    assert not any(fleet.entry(server).state == face.READY for server in fleet.withdrawn)


@pytest.mark.parametrize("seed", range(1, 3))
def test_drains_go_out_before_what_restores_the_parts_and_cuts_cold_servers(seed):
    """Guards against a jam at a supervisor with many proxies: rounds that cost a message for each line, and removals
    that wait behind all other changes of a part that has lost most of its servers."""
    assert_rules_kept(play_release(seed, 0))


def small_fleet() -> TakeoverFleet:
    fleet = TakeoverFleet(SERVERS, 8, SETTINGS, 1)
    fleet.run(3.0)
    return fleet


def withdrawals(fleet: TakeoverFleet) -> list[tuple[bool, bytes]]:
    return [(order.on, order.server) for _, order in fleet.order_log if isinstance(order, face.Withdraw)]


def test_lines_that_all_holders_have_answered_leave_the_channel_though_one_proxy_may_never_answer():
    """Guards against tables and drains that wait 15 s for lines that have long arrived or whose proxies have left."""
    fleet = TakeoverFleet(SERVERS, STAYED, SETTINGS, 1)
    fleet.run(3.0)
    fleet.brain._assign_tables = lambda *_: None
    fleet.join(STAYED, {server_id(5)})
    drained = [server_id(0), server_id(1)]
    fleet.list_servers(face.DRAINING, drained)
    fleet.run(3.0)
    assert set(withdrawals(fleet)) == {(True, server) for server in drained}
    assert not fleet.brain.unanswered
    assert 0 < fleet.brain.waiting_lines() <= len(drained) + fleet.brain.message_overhead


def test_what_drains_is_withdrawn_only_while_a_proxy_waits_and_is_let_in_when_it_returns():
    fleet = small_fleet()
    fleet.list_servers(face.DRAINING, [server_id(0), server_id(1)])
    fleet.run(3.0)
    assert not withdrawals(fleet)  # all proxies hold tables of ours
    fleet.brain._assign_tables = lambda *_: None
    fleet.join(8, {server_id(0), server_id(2)})
    fleet.run(fleet.brain.table_patience + 0.2)
    assert set(withdrawals(fleet)) == {(True, server_id(0)), (True, server_id(1))}
    assert fleet.proxies[8].table is None and server_id(0) not in fleet.tables[0]
    fleet.list_servers(face.READY, [server_id(0)])
    fleet.run(1.0)
    assert (False, server_id(0)) in withdrawals(fleet) and fleet.withdrawn == {server_id(1)}
    del fleet.brain._assign_tables
    fleet.run(2.0)
    assert fleet.proxies[8].table is not None and not fleet.withdrawn
