"""Three supervisors on the platform with 240 proxies and 30 servers that restart in place, crash unlisted, and lose
streams; every send is judged at the servers."""

import pytest

from driftshed.standins.platform.fleet import PROXIES, SUPERVISORS
from driftshed.standins.platform.plans import draw_dense_plan, draw_flood_plan, draw_slow_plan
from driftshed.standins.platform.processes import Play
from driftshed.standins.platform.settings import CORNER_FIGURES, fleet_options
from driftshed.standins.platform.virtual import play

PLAY_S, PROCESS_PLAY_S = 56.0, 36.0


@pytest.mark.parametrize("seed", [2027, 2041])
def test_holders_of_a_server_that_crashed_unlisted_get_its_cut_before_anything_else(seed):
    """Guards against orders, written with knowledge of a start, that leave the full line of the cold server."""
    fleet = play(fleet_options(SUPERVISORS, PROXIES), seed, PLAY_S)
    assert not fleet.breaks, fleet.breaks[:5]


@pytest.mark.parametrize("seed", [62, 85, 111])
def test_tables_of_moved_proxies_leave_room_for_drains_while_few_servers_are_warm(seed):
    """Guards against proxies that go to and fro between parts of cold servers alone, at the cost of all else."""
    fleet = play(fleet_options(SUPERVISORS, PROXIES), seed, PLAY_S, draw_dense_plan(seed))
    assert not fleet.breaks, fleet.breaks[:5]


@pytest.mark.parametrize("seed", [2035, 3045, 3133, 5052])
def test_proxies_that_join_have_a_table_within_the_grace(seed):
    """Guards against lines that count as under way for 15 s: they have arrived, or their proxies are gone or silent."""
    fleet = play(fleet_options(SUPERVISORS, PROXIES), seed, PLAY_S)
    assert not fleet.breaks, fleet.breaks[:5]
    assert fleet.longest_unbound[0] <= fleet.facts.drain_grace, fleet.longest_unbound


def test_cold_servers_on_slow_machines_are_not_sent_what_their_warmth_alone_would_bear():
    """Guards against slow starts that go by the age of a server alone, while reports show that it fails."""
    for seed in (3, 5, 24):
        fleet = play(fleet_options(SUPERVISORS, PROXIES), seed, PLAY_S, draw_slow_plan(seed))
        assert not fleet.breaks, (seed, fleet.breaks[:5])


@pytest.mark.parametrize("seed", [9, 47, 52, 82])
def test_cold_servers_bear_what_they_are_sent_though_their_machine_goes_slow(seed):
    """Guards against a load that only a machine at its usual speed bears: no report shows in time that it is slow."""
    fleet = play(fleet_options(SUPERVISORS, PROXIES), seed, PLAY_S, draw_slow_plan(seed))
    assert not fleet.breaks, fleet.breaks[:5]
    assert fleet.worst.multiple <= fleet.facts.tip_multiple, fleet.worst


@pytest.mark.parametrize("seed", [15, 27, 36])
def test_drains_are_in_time_though_the_channel_may_hold_more_than_the_grace_allows(seed):
    """Guards against orders that fill the channel up to its cap ahead of a drain: a cap of 4 s, a grace of 2 s."""
    figures = CORNER_FIGURES._replace(queue=4.0)
    plan = draw_dense_plan(seed)._replace(figures=figures, supervisor_restart_at=24.0, supervisor_away=8.0)
    fleet = play(fleet_options(SUPERVISORS, PROXIES, figures), seed, PLAY_S, plan)
    assert not fleet.breaks, fleet.breaks[:5]
    assert fleet.longest_unbound[0] <= fleet.facts.bare_for, fleet.longest_unbound


@pytest.mark.parametrize("seed", [33, 131])
def test_a_flood_of_joins_at_a_reload_keeps_the_rules(seed):
    """Guards against late drains and overloaded cold servers where many proxies join as the supervisors reload."""
    plan = draw_flood_plan(seed)
    fleet = play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, PLAY_S, plan)
    assert not fleet.breaks, fleet.breaks[:5]


def test_three_processes_keep_the_rules_through_crashes_broken_streams_and_a_reload(tmp_path):
    """The same against real processes, over loopback, with a SIGHUP."""
    real_play = Play(5, tmp_path)
    fleet = real_play.run(PROCESS_PLAY_S)
    assert not real_play.failures
    broken = [each for each in fleet.breaks if each.rule != "cut"]  # which a late process would show as well
    assert not broken, (broken[:5], real_play.longest_delay)


def test_three_processes_keep_the_rules_through_a_flood_of_joins_at_a_reload(tmp_path):
    """Guards against proxies that join again around a reload and wait for a table until they leave."""
    plan = draw_flood_plan(33)
    real_play = Play(33, tmp_path, plan)
    fleet = real_play.run(PROCESS_PLAY_S)
    assert not real_play.failures
    broken = [each for each in fleet.breaks if each.rule != "cut"]  # which a late process would show as well
    assert not broken, (broken[:5], real_play.longest_delay)
    assert fleet.longest_unbound[0] <= fleet.facts.bare_for, (fleet.longest_unbound, real_play.longest_delay)
