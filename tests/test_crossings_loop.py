"""Network fault tests of the loop: effects between two callbacks of one round, and a timer due together with the bytes
it waits for."""

import os
import signal
import socket
import time

import pytest

from driftshed.net.loop import READ, Loop
from driftshed.net.stream import Stream, dial
from tests.platforms import free_port
from tests.test_net import run_until


@pytest.fixture
def loop():
    made = Loop()
    yield made
    made.close()


def pairs(loop: Loop, count: int) -> tuple[list[Stream], list[socket.socket]]:
    """Returns streams on the loop and the sockets at their other ends."""
    streams, ends = [], []
    for _ in range(count):
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        streams.append(Stream(loop, ours, 1 << 16))
        ends.append(theirs)
    return streams, ends


def test_bytes_that_arrive_in_time_are_read_before_the_timer_that_waits_for_them(loop):
    (busy, awaited), (first, second) = pairs(loop, 2)
    order = []

    def slow(_: bytes) -> None:
        second.sendall(b"in time")
        time.sleep(0.06)

    busy.on_data, awaited.on_data = slow, lambda data: order.append("data")
    first.sendall(b"x")
    loop.after(0.03, lambda: order.append("timer"))
    run_until(loop, lambda: len(order) == 2)
    assert order == ["data", "timer"]


def test_a_signal_is_handled_although_the_one_before_it_raises(loop):
    received, errors = [], []
    loop.on_error = errors.append

    def on_signal(number: int) -> None:
        if number == signal.SIGUSR1:
            raise ValueError("a reload that fails")
        received.append(number)

    before = signal.getsignal(signal.SIGUSR1), signal.getsignal(signal.SIGUSR2)
    loop.on_signals((signal.SIGUSR1, signal.SIGUSR2), on_signal)
    os.kill(os.getpid(), signal.SIGUSR1)
    os.kill(os.getpid(), signal.SIGUSR2)
    try:
        run_until(loop, lambda: received)
    finally:
        signal.signal(signal.SIGUSR1, before[0]), signal.signal(signal.SIGUSR2, before[1])
    assert received == [signal.SIGUSR2] and len(errors) == 1


def test_a_socket_closed_in_the_round_is_not_called_although_its_descriptor_is_reused(loop):
    streams, ends = pairs(loop, 2)
    called = []
    replacements = []

    def close_the_other(index: int):
        def on_data(data: bytes) -> None:
            called.append(index)
            descriptor = streams[1 - index].sock.fileno()
            streams[1 - index].abort("closed by the other")
            replacement = pairs(loop, 1)
            replacements.append(replacement)
            assert replacement[0][0].sock.fileno() == descriptor
            replacement[0][0].on_data = lambda data: called.append("new")

        return on_data

    streams[0].on_data, streams[1].on_data = close_the_other(0), close_the_other(1)
    for end in ends:
        end.sendall(b"x")
    for _ in range(5):
        loop.turn(time.monotonic() + 0.01)
    assert called in ([0], [1])
    for end in [*ends, *replacements[0][1]]:
        end.close()


def test_a_callback_can_cancel_and_stop_within_the_same_round(loop):
    called, errors = [], []
    loop.on_error = errors.append
    second = loop.after(0.01, lambda: called.append("cancelled"))
    loop.at(second.at - 0.001, second.cancel)
    loop.after(0.012, lambda: 1 / 0)
    loop.after(0.013, lambda: (called.append("after"), loop.stop()))
    loop.run(time.monotonic() + 5)
    assert called == ["after"] and [type(error) for error in errors] == [ZeroDivisionError]


def test_a_write_may_end_its_stream_from_within_a_callback(loop):
    (stream,), (end,) = pairs(loop, 1)
    ended = []
    stream.on_end = lambda reason: (ended.append(reason), stream.write(b"more"), stream.abort("again"))
    stream.on_data = lambda data: (end.close(), [stream.write(b"x" * 30_000) for _ in range(10)])
    end.sendall(b"go")
    run_until(loop, lambda: ended)
    assert len(ended) == 1 and stream.sock is None and not loop.selector.get_map()


def test_a_connection_that_fails_before_it_is_established_is_reported_once(loop):
    ended = []
    for _ in range(3):
        stream = dial(loop, ("127.0.0.1", free_port()))
        stream.on_end = ended.append
        stream.write(b"early")
    run_until(loop, lambda: len(ended) == 3)
    loop.watch(loop_end := socket.socketpair()[0], READ, lambda _: None)
    loop.watch(loop_end, 0, None)
    assert ended == ["refused"] * 3
