"""What a channel has yet to send, as the decisions estimate it."""

from driftshed.channel_clock import ChannelClock

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
