"""Three supervisors on the platform with 240 proxies and 30 servers that restart in place, crash unlisted, and lose
streams; every send is judged at the servers."""

from driftshed.standins.platform.processes import Play

PROCESS_PLAY_S = 36.0


def test_three_processes_keep_the_rules_through_crashes_broken_streams_and_a_reload(tmp_path):
    """Guards against any broken rule: real processes over loopback, with a SIGHUP at 24.5 s."""
    real_play = Play(5, tmp_path)
    fleet = real_play.run(PROCESS_PLAY_S)
    assert not real_play.failures
    broken = [each for each in fleet.breaks if each.rule != "cut"]  # which a late process would show as well
    assert not broken, (broken[:5], real_play.longest_delay)
