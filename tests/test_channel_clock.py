"""What a channel has yet to send, and what a cold server can do, as the decisions estimate them."""

from driftshed.channel_clock import ChannelClock
from driftshed.cold_capacity import UNSEEN_SHARE, ColdSample, certain_capacity

TRANSIT_S = 1.0


def test_what_waits_follows_the_usual_rate_and_is_gone_by_then():
    clock = ChannelClock()
    clock.add(10.0, 1, 2.0)
    clock.add(10.5, 2, 1.0)
    assert clock.delay(10.5) == 2.5
    assert clock.delay(14.0) == 0.0
    clock.add(20.0, 3, 0.5)
    assert clock.delay(20.0) == 0.5


def test_answers_that_come_too_late_show_that_the_channel_is_slow():
    """Guards against a channel that is taken to be empty while it sends slower than usual."""
    clock = ChannelClock()
    clock.add(10.0, 1, 1.0)
    clock.add(10.0, 2, 1.0)
    clock.answered(12.0, 1, TRANSIT_S)
    assert clock.delay(12.0) == 0.0  # in time
    clock.answered(14.5, 1, TRANSIT_S)
    assert clock.lateness == 2.5
    assert clock.delay(14.0) == 0.5
    clock.answered(14.6, 9, TRANSIT_S)  # of a mark that is long forgotten
    assert clock.lateness == 2.5


def test_a_cold_server_is_taken_to_do_what_its_answers_show_the_more_of_them_come():
    """Guards against a limit by the age alone, on machines that do less, or more, than their age promises."""
    shown = []
    for answers in (1, 10, 1000):
        sample = ColdSample()
        sample.add(answers, answers, 0.2 * answers)
        shown.append(certain_capacity(0.25, sample, 0.1))
    assert UNSEEN_SHARE * 0.25 < shown[0] < shown[1] < shown[2] < 0.5
    slow = ColdSample()
    slow.add(100, 100, 100 * 1.0)
    assert certain_capacity(0.5, slow, 0.1) < UNSEEN_SHARE * 0.5


def test_errors_show_no_capacity():
    sample = ColdSample()
    assert certain_capacity(0.5, sample, 0.1) == UNSEEN_SHARE * 0.5
    sample.add(100, 0, 0.0)
    assert certain_capacity(0.5, sample, 0.1) == UNSEEN_SHARE * 0.5
    sample.add(0, 0, 0.0)
    assert certain_capacity(0.5, sample, float("inf")) == UNSEEN_SHARE * 0.5
