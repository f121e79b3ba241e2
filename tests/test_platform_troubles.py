"""The troubles that the operators' pages name: what plays them, and the rules in some of these plays."""

from pathlib import Path
from random import Random

import pytest

from driftshed.standins.platform import bad_clients, troubles
from driftshed.standins.platform.call_faults import CallFault, CallFaults
from driftshed.standins.platform.fleet import PROXIES, SUPERVISORS
from driftshed.standins.platform.plans import RELOAD_AT_S, Plan, draw_flood_plan, draw_troubled_plan
from driftshed.standins.platform.processes import Play
from driftshed.standins.platform.seat import LimitClock
from driftshed.standins.platform.settings import CORNER_FIGURES, ChannelFigures, fleet_options
from driftshed.standins.platform.troubles import Trouble
from driftshed.standins.platform.virtual import play

ROOT = Path(__file__).parents[1]
PLAY_S, PROCESS_PLAY_S = 56.0, 34.0


def table_rows() -> list[list[str]]:
    """The cells of each row of the table in docs/troubles.md."""
    lines = (ROOT / "docs" / "troubles.md").read_text().splitlines()
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines if line.startswith("| ")]
    return [row for row in rows if row[0] not in ("trouble", "---")]


def test_each_trouble_that_the_pages_name_is_played_as_the_table_says():
    """Guards against a trouble that the pages name and no play has."""
    kinds = {kind.name: kind for kind in troubles.KINDS}
    played = set()
    for trouble, pages, name, virtual, real in table_rows():
        assert set(pages.split(", ")) <= {"site", "bench", "protocol", "days", "standing"}, trouble
        assert "yes" in (virtual, real), trouble
        if name.startswith("`Plan."):
            assert name.strip("`").removeprefix("Plan.") in Plan._fields, trouble
        elif name.startswith("`tests/"):
            assert (ROOT / name.strip("`")).exists(), trouble
        else:
            kind = kinds[name]
            played.add(name)
            assert (virtual, real) == tuple("yes" if each else "no" for each in (kind.virtual, kind.real)), trouble
    assert played == set(kinds)


def test_each_kind_of_trouble_is_drawn_and_has_a_handler(tmp_path):
    """Guards against a kind that is listed and never played."""
    drawn = {trouble.kind for seed in range(200) for trouble in draw_troubled_plan(seed).troubles}
    assert drawn == {kind.name for kind in troubles.KINDS}
    real_play = Play(1, tmp_path, draw_troubled_plan(1))
    try:
        at_the_fleet = set(real_play.fleet.troubles.handlers)
        at_the_ports = set(real_play.supervisors[0].handlers)
    finally:
        real_play.close()
    assert at_the_fleet == {kind.name for kind in troubles.KINDS if kind.virtual}
    assert at_the_ports == {kind.name for kind in troubles.KINDS if not kind.virtual}


def test_plays_draw_large_queues_the_corner_of_the_settings_and_floods_at_a_reload():
    """Guards against plays in which the cap on lines hides what a longer queue does to drains."""
    plans = [draw_flood_plan(seed) for seed in range(200)]
    queues = [plan.figures.queue for plan in plans] + [draw_troubled_plan(seed).figures.queue for seed in range(100)]
    assert all(1.5 <= queue <= 5.0 for queue in queues)
    assert min(queues) < 1.6 and max(queues) > 4.9
    corners = [plan for plan in plans if plan.figures._replace(queue=0.0) == CORNER_FIGURES._replace(queue=0.0)]
    assert 60 < len(corners) < 140
    assert all(0.5 < RELOAD_AT_S - plan.crowd_at < 3.5 and plan.crowd for plan in plans)
    killed_before = [plan for plan in plans if 0.0 < RELOAD_AT_S - plan.supervisor_restart_at < 2.5]
    assert len(killed_before) > 60


@pytest.mark.parametrize("seed", [6, 7, 17])
def test_supervisors_keep_the_rules_through_drawn_troubles(seed):
    """Guards against rules that break where troubles of servers, proxies and the network come together."""
    plan = draw_troubled_plan(seed)
    fleet = play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, PLAY_S, plan)
    assert not fleet.breaks, fleet.breaks[:5]


@pytest.mark.parametrize("seed", [5, 54, 109, 252])
def test_cold_servers_bear_what_they_are_sent_after_a_zone_is_lost(seed):
    """Guards against parts whose few servers that are left are cold, and get all work and all further tries."""
    plan = draw_troubled_plan(seed)
    fleet = play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, 40.0, plan)
    assert not fleet.breaks, fleet.breaks[:5]
    assert fleet.worst.multiple <= fleet.facts.tip_multiple, fleet.worst


@pytest.mark.parametrize("seed", [12, 21, 38])
def test_drains_are_in_time_though_calls_break_while_many_proxies_join(seed):
    """Guards against drains that wait for seconds since calls for other proxies were repeated."""
    random = Random(f"broken calls {seed}")
    plan = draw_troubled_plan(seed)._replace(
        first_break=34,
        troubles=(
            Trouble("killed supervisors", random.uniform(5.0, 20.0), 60.0, 1.0, 0.0),
            Trouble("proxies without a supervisor", random.uniform(5.0, 30.0), 10.0, 0.0, random.uniform(0.25, 0.67)),
            Trouble("broken calls", 5.0, 50.0, 0.25, 0.0),
        ),
        figures=ChannelFigures(lines_per_second=1100.0, transit=0.49, drain_grace=2.0),
    )
    fleet = play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, PLAY_S, plan)
    assert not [each for each in fleet.breaks if each.rule == "drains"], fleet.breaks[:5]


@pytest.mark.parametrize("seed", [17, 24])
def test_processes_keep_the_rules_through_drawn_troubles(seed, tmp_path):
    """The same with real processes, over loopback."""
    real_play = Play(seed, tmp_path, draw_troubled_plan(seed))
    fleet = real_play.run(PROCESS_PLAY_S)
    assert not real_play.failures
    broken = [each for each in fleet.breaks if each.rule != "cut"]  # which a late process would show as well
    assert not broken, (broken[:5], real_play.longest_delay)


def test_limits_wait_while_the_relay_is_at_fault():
    """Guards against a judge that counts time which the protocol leaves out, or leaves out more."""
    clock = LimitClock()
    assert clock.elapsed(1.0, 4.0) == 3.0
    clock.pause(2.0, 0.5)
    clock.pause(2.2, 0.5)  # together until 2.7
    assert clock.elapsed(1.0, 4.0) == pytest.approx(2.3)
    assert clock.elapsed(2.6, 4.0) == pytest.approx(1.3)
    assert clock.elapsed(3.0, 4.0) == 1.0


def test_calls_fail_at_the_rates_that_are_set():
    """Guards against a play without the faults that it names."""
    faults = CallFaults(Random(1))
    assert {faults.draw() for _ in range(100)} == {(CallFault.NONE, True)}
    faults.rates[CallFault.BREAK], faults.rates[CallFault.THROTTLE] = 0.25, 0.25
    drawn = [faults.draw() for _ in range(2000)]
    assert sum(fault is CallFault.BREAK for fault, _ in drawn) == pytest.approx(500, abs=80)
    assert {carried_out for fault, carried_out in drawn if fault is CallFault.BREAK} == {True, False}
    assert {carried_out for fault, carried_out in drawn if fault is CallFault.THROTTLE} == {False}


def test_bad_clients_that_get_no_answer_are_counted(platform):
    """Guards against a play that would not notice a client left without its close."""
    quiet = platform.relay.address  # takes connections and never answers
    clients = bad_clients.BadClients(platform.loop, quiet, Random(1))
    clients._connect(b"")
    platform.loop.run(platform.loop.clock() + bad_clients.OWED_WITHIN_S + 0.2)
    assert (clients.connected, clients.unanswered) == (1, 1)
