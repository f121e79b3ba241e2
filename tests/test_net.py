"""The loop and HTTP over real sockets: bounds, order, time-outs. Tests poll for a condition within a generous time
limit."""

import re
import socket
import time
from random import Random

import pytest

from driftshed.net.http import HttpClient
from driftshed.net.http_server import Bounds, HttpServer
from driftshed.net.loop import MAX_CANCELLED_TIMERS, Loop

CONDITION_TIMEOUT_S = 10.0  # a condition that is not met by then fails the test


def run_until(loop: Loop, condition, bound: float = CONDITION_TIMEOUT_S) -> None:
    end = time.monotonic() + bound
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        loop.after(0.01, lambda: None)
        loop.turn(end)


class RawConnection:
    """A peer that sends and receives raw bytes."""

    def __init__(self, loop: Loop, address) -> None:
        self.loop, self.sock, self.got, self.ended = loop, socket.create_connection(address), b"", False
        self.sock.setblocking(False)

    def read(self) -> bytes:
        try:
            while data := self.sock.recv(65536):
                self.got += data
            self.ended = True
        except BlockingIOError:
            pass
        except ConnectionError:
            self.ended = True
        return self.got


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.close()


def serve(loop, handle=lambda request: request.answer(200, request.body or request.path.encode()), **bounds):
    return HttpServer(loop, ("127.0.0.1", 0), handle, Bounds(**bounds))


def test_timers_are_called_in_order_and_cancelled_ones_are_not(loop):
    called = []
    for k in (3, 1, 2):
        loop.after(k / 100, lambda k=k: called.append(k))
    loop.after(0.015, lambda: called.append("cancelled")).cancel()
    run_until(loop, lambda: len(called) >= 3)
    assert called == [1, 2, 3]


def test_cancelled_timers_do_not_accumulate(loop):
    for _ in range(50 * MAX_CANCELLED_TIMERS):
        loop.after(1000, lambda: None).cancel()
    assert len(loop.timers) <= 2 * MAX_CANCELLED_TIMERS + 1


def test_an_exception_of_a_callback_is_reported_and_the_loop_continues(loop):
    errors, called = [], []
    loop.on_error = errors.append
    loop.after(0, lambda: 1 / 0)
    loop.after(0.01, lambda: called.append(1))
    run_until(loop, lambda: called)
    assert isinstance(errors[0], ZeroDivisionError)


def test_pipelined_requests_are_answered_in_order_though_the_first_takes_longest(loop):
    waiting = []
    server = serve(loop, waiting.append)
    raw = RawConnection(loop, server.address)
    raw.sock.sendall(b"".join(b"GET /p%d HTTP/1.1\r\n\r\n" % k for k in range(3)))
    run_until(loop, lambda: waiting)
    loop.after(0.05, lambda: None)
    loop.turn()
    assert [request.path for request in waiting] == ["/p0"]  # one at a time
    for k in range(3):
        run_until(loop, lambda k=k: len(waiting) > k)
        waiting[k].answer(200, waiting[k].path.encode())
    run_until(loop, lambda: b"/p2" in raw.read())
    assert raw.got.index(b"/p0") < raw.got.index(b"/p1") < raw.got.index(b"/p2")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 5000, b"431"),
        (b"POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n", b"413"),
        (b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1388\r\n" + b"z" * 5000, b"413"),
        (b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\ncut", b"408"),
        (b"GET / HT", b"408"),
    ],
)
def test_a_malformed_request_is_rejected_without_effect_on_other_connections(loop, sent, status):
    server = serve(loop, header_bytes=1000, body_bytes=1000, request_timeout=0.2)
    raw, other = RawConnection(loop, server.address), RawConnection(loop, server.address)
    raw.sock.sendall(sent)
    run_until(loop, lambda: raw.read() and raw.ended)
    assert raw.got.startswith(b"HTTP/1.1 " + status)
    other.sock.sendall(b"GET /well HTTP/1.1\r\n\r\n")
    run_until(loop, lambda: b"/well" in other.read())


def test_a_peer_that_does_not_read_is_dropped_not_buffered(loop):
    server = serve(loop, lambda request: request.answer(200, b"x" * 200_000), out_bytes=300_000)
    raw = RawConnection(loop, server.address)
    ended = []
    server.on_connection_end = lambda connection, reason: ended.append(reason)
    raw.sock.setblocking(True)

    def ask() -> None:
        if not ended:
            raw.sock.send(b"GET / HTTP/1.1\r\n\r\n" * 4)
            loop.after(0.005, ask)

    ask()
    run_until(loop, lambda: ended)
    assert ended == ["stuck"]


def test_connections_over_the_limit_are_answered_with_503(loop):
    server = serve(loop, connections=2)
    held = [RawConnection(loop, server.address) for _ in range(2)]
    run_until(loop, lambda: len(server.connections) == 2)
    third = RawConnection(loop, server.address)
    run_until(loop, lambda: third.read() and third.ended)
    assert third.got.startswith(b"HTTP/1.1 503") and b"retry-after" in third.got
    held[0].sock.close()
    run_until(loop, lambda: len(server.connections) == 1)
    fourth = RawConnection(loop, server.address)
    fourth.sock.sendall(b"GET /in HTTP/1.1\r\n\r\n")
    run_until(loop, lambda: b"/in" in fourth.read())


def test_idle_connections_end_and_a_request_is_notified_when_its_peer_is_gone(loop):
    gone, asked = [], []

    def handle(request) -> None:
        asked.append(request)
        request.on_gone = lambda: gone.append("gone")
        request.on_client_closed = lambda: gone.append("closed")

    server = serve(loop, handle, idle_for=0.2)
    idle = RawConnection(loop, server.address)
    for notice in ("closed", "gone"):
        leaver = RawConnection(loop, server.address)
        leaver.sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        asked.clear()
        run_until(loop, lambda: asked)
        if notice == "gone":
            leaver.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # a reset
        leaver.sock.close()
        run_until(loop, lambda: gone)
        assert gone == [notice]
        gone.clear()
        asked[0].answer(200, b"too late")
        run_until(
            loop, lambda: not [each for each in server.connections if each.stream.peer != idle.sock.getsockname()]
        )
    run_until(loop, lambda: idle.read() == b"" and idle.ended)


def test_a_client_that_half_closes_gets_the_answer_that_takes_longer(loop):
    """Guards against a request that was read and is closed with no answer."""
    asked = []
    server = serve(loop, asked.append)
    raw = RawConnection(loop, server.address)
    raw.sock.sendall(b"GET /one HTTP/1.1\r\n\r\n")
    raw.sock.shutdown(socket.SHUT_WR)
    run_until(loop, lambda: asked and list(server.connections)[0].stream.input_ended)
    asked[0].answer(200, b"late, but final")
    run_until(loop, lambda: raw.read() and raw.ended)
    assert raw.got.endswith(b"late, but final") and b"connection: close" in raw.got and not server.connections


def test_a_server_that_stops_answers_what_it_has_read(loop):
    """Guards against pipelined requests that are dropped after the next answer."""
    asked = []
    server = serve(loop, asked.append)
    raw = RawConnection(loop, server.address)
    raw.sock.sendall(b"".join(b"GET /p%d HTTP/1.1\r\n\r\n" % k for k in range(3)))
    run_until(loop, lambda: asked)
    server.close(now=False)
    for k in range(3):
        run_until(loop, lambda k=k: len(asked) > k)
        asked[k].answer(200, asked[k].path.encode())
    run_until(loop, lambda: raw.read() and raw.ended)
    assert all(b"/p%d" % k in raw.got for k in range(3))


def test_a_client_distinguishes_never_sent_from_perhaps_sent(loop):
    answers = {}
    server = serve(loop, lambda request: request.connection.stream.abort("reset", hard=True))
    unresponsive = serve(loop, lambda request: None)
    free = socket.socket()
    free.bind(("127.0.0.1", 0))
    for name, address in (("refused", free.getsockname()), ("reset", server.address), ("late", unresponsive.address)):
        client = HttpClient(loop, address)
        client.call("POST", "/", b"{}", lambda answer, name=name: answers.update({name: answer}), 0.3)
    run_until(loop, lambda: len(answers) == 3)
    free.close()
    assert {name: (answer.error, answer.sent) for name, answer in answers.items()} == {
        "refused": ("refused", False),
        "reset": ("reset", True),
        "late": ("late", True),
    }


def test_a_client_reuses_its_connection(loop):
    server, answers = serve(loop), []
    client = HttpClient(loop, server.address)
    for k in range(5):
        client.call("GET", f"/{k}", b"", answers.append, 5.0)
        run_until(loop, lambda k=k: len(answers) > k)
    assert [answer.body for answer in answers] == [b"/%d" % k for k in range(5)] and len(server.connections) == 1


def test_pipelined_requests_of_all_forms_are_read_alike_however_they_are_split(loop):
    """Guards against a request that is lost or read wrongly where received bytes wait unparsed."""
    server = serve(loop, lambda request: request.answer(200, request.path.encode() + request.body))
    random = Random(56)
    for _ in range(20):
        sent, wanted = b"", b""
        for number in range(random.randrange(1, 120)):
            body = random.randbytes(random.choice([0, 1, 400, 600, 20_000])).hex().encode()
            if random.random() < 0.3:
                chunks = [body[at : at + 700] for at in range(0, len(body), 700)]
                coded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
                sent += b"POST /%d HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" % number + coded
            else:
                sent += b"POST /%d HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % (number, len(body)) + body
            wanted += b"/%d" % number + body
        raw = RawConnection(loop, server.address)
        while sent:
            size = random.choice([1, 17, 511, 512, 513, 9000])
            raw.sock.setblocking(True)
            raw.sock.sendall(sent[:size])
            raw.sock.setblocking(False)
            sent = sent[size:]
            loop.after(0.0, lambda: None)
            loop.turn()
            raw.read()
        count = number + 1
        run_until(loop, lambda raw=raw, count=count: raw.read().count(b"HTTP/1.1 200 OK") == count)
        run_until(loop, lambda raw=raw, wanted=wanted: raw.read().endswith(wanted[-1:]))
        answers = re.split(rb"HTTP/1\.1 200 OK\r\n.*?\r\n\r\n", raw.got, flags=re.DOTALL)
        assert b"".join(answers) == wanted
    assert server.held_bytes == 0
