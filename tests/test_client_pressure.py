"""Clients that overload one process: many that stop half way, one at full speed, and some that leave with work unread.
Real processes over loopback."""

import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from itertools import repeat
from statistics import median

import pytest

from driftshed.roster.jute import PING, XID_PING, ConnectRequest, frame, write_connect_request
from tests.floods import waits_beside

MEMORY_LIMIT_MB = 192  # of a supervisor on the platform
LATE_S = 0.1
OPERATION = "look:objective=0.5,timeout=5,value=1,effect=idempotent"
BODY_BYTES = 1 << 20
PING_REQUEST = struct.pack(">ii", XID_PING, PING)
JOIN = b'{"zone":"east","rate":1}'


class Program:
    """A process of the command line that listens."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "driftshed.cli", *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        host, _, port = self.process.stdout.readline().decode().split()[1].rpartition(":")
        self.address, self.sockets = (host, int(port)), []

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self.address, 10.0)
        self.sockets.append(sock)
        try:
            sock.sendall(data)
        except (ConnectionError, TimeoutError):
            pass  # it has been turned away
        return sock

    def peak_mb(self) -> float:
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(20)
        self.process.stdout.close()


@pytest.fixture
def started():
    programs = []

    def start(*arguments: str) -> Program:
        programs.append(Program(*arguments))
        return programs[-1]

    yield start
    for program in programs:
        program.close()


def post(path: str, body: bytes, length: int | None = None) -> bytes:
    length = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    return head.encode() + body


def read_answers(sock: socket.socket, count: int) -> list[int]:
    """The statuses of so many answers, fewer if the connection ends before."""
    received, statuses = b"", []
    while len(statuses) < count:
        head, separator, rest = received.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
        if separator and len(rest) >= length:
            statuses.append(int(head.split(b" ")[1]))
            received = rest[length:]
            continue
        try:
            data = sock.recv(65536)
        except ConnectionError:
            return statuses
        if not data:
            return statuses
        received += data
    return statuses


def ask(program: Program) -> float:
    """Seconds until a small request of another client is answered."""
    began = time.monotonic()
    sock = program.connect(b"GET /v1/roster HTTP/1.1\r\nhost: x\r\n\r\n")
    assert read_answers(sock, 1) == [200]
    sock.close()
    return time.monotonic() - began


# ---- many clients that stop half way -------------------------------------------------------------------------------


def test_clients_that_stop_within_a_large_body_stay_within_the_memory_limit(started):
    """Guards against bounds of single connections that together are more than the process may have."""
    program = started("supervise", "--operation", OPERATION)
    unfinished = post("/v1/roster", b"x" * (BODY_BYTES - 1), BODY_BYTES)
    for _ in range(300):
        program.connect(unfinished)
    assert ask(program) < 1.0
    assert program.peak_mb() < MEMORY_LIMIT_MB


def test_clients_that_stop_within_a_head_of_many_short_fields_stay_within_the_memory_limit(started):
    """Guards against fields that take many times their bytes in memory."""
    program = started("supervise", "--operation", OPERATION)
    unfinished = b"GET / HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % number for number in range(2700))
    for _ in range(900):
        program.connect(unfinished)
    assert ask(program) < 1.0
    assert program.peak_mb() < MEMORY_LIMIT_MB


def test_sessions_that_stop_within_a_large_packet_stay_within_the_memory_limit_of_the_store(started, tmp_path):
    """Guards against bounds of single connections that together are more than the process may have."""
    program = started("roster", "serve", "--listen", "127.0.0.1:0", "--folder", str(tmp_path))
    unfinished = (1_000_000).to_bytes(4, "big") + b"x" * 900_000
    for _ in range(300):
        sock = program.connect(write_connect_request(ConnectRequest(0, 30_000, 0, bytes(16))))
        sock.recv(100)
        try:
            sock.sendall(unfinished)
        except ConnectionError:
            pass  # it has been turned away
    sock = program.connect(write_connect_request(ConnectRequest(0, 30_000, 0, bytes(16))))
    assert sock.recv(100)
    assert program.peak_mb() < MEMORY_LIMIT_MB


# ---- one client at full speed --------------------------------------------------------------------------------------

SMALL = b"GET /v1/roster HTTP/1.1\r\nhost: x\r\n\r\n"
UNSOUND = b"GET /nothing/there HTTP/1.1\r\nhost: x\r\n\r\n"


def small_requests() -> Iterator[bytes]:
    return repeat(SMALL * 1000)


def unsound_requests() -> Iterator[bytes]:
    return repeat(UNSOUND * 1000)


def joins_of_new_names() -> Iterator[bytes]:
    return (post(f"/v1/proxies/{name}/join", JOIN) for name in range(65536))


def test_one_client_at_full_speed_does_not_make_others_wait(started):
    """Guards against a connection that gets as much of a round of the loop as it sends."""
    for flood in (small_requests, unsound_requests, joins_of_new_names):
        program = started("supervise", "--operation", OPERATION, "--proxies", "65535")
        waits = waits_beside(program.address, b"", flood(), lambda program=program: ask(program))
        assert median(waits) < LATE_S, (flood.__name__, waits)
        assert program.peak_mb() < MEMORY_LIMIT_MB, flood.__name__


def test_one_session_at_full_speed_does_not_make_others_wait(started, tmp_path):
    """Guards against a connection that gets as much of a round of the loop as it sends."""
    program = started("roster", "serve", "--listen", "127.0.0.1:0", "--folder", str(tmp_path))
    connect = write_connect_request(ConnectRequest(0, 30_000, 0, bytes(16)))

    def open_session() -> float:
        began = time.monotonic()
        with socket.create_connection(program.address) as sock:
            sock.sendall(connect)
            assert sock.recv(100)
        return time.monotonic() - began

    waits = waits_beside(program.address, connect, repeat(frame(PING_REQUEST) * 5000), open_session)
    assert median(waits) < LATE_S / 2, waits
    assert program.peak_mb() < MEMORY_LIMIT_MB


# ---- clients that leave --------------------------------------------------------------------------------------------


class SlowServer:
    """A server that answers each request after a while, one connection a thread."""

    def __init__(self, takes: float) -> None:
        self.takes, self.begun = takes, Counter()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.name = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _receive(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(65536)
        except OSError:
            return b""

    def _serve(self, sock: socket.socket) -> None:
        received = b""
        while data := self._receive(sock):
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                self.begun[head.split(b"key=")[1].split(b" ")[0]] += 1
                time.sleep(self.takes)
                try:
                    sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                except OSError:
                    return


def calls(count: int) -> bytes:
    return b"".join(b"GET /look?key=%d HTTP/1.1\r\nhost: x\r\n\r\n" % number for number in range(count))


@pytest.fixture
def proxied(started):
    server = SlowServer(0.2)
    arguments = ["--listen", "127.0.0.1:0", "--number", "1", "--zone", "east", "--supervisor", "127.0.0.1:9"]
    program = started("proxy", *arguments, "--standing", server.name, "--operation", OPERATION)
    yield server, program
    server.sock.close()


def test_requests_of_a_client_that_has_left_are_not_sent_on(proxied):
    """Guards against a close that is not seen since reading is paused, and work that runs again when it comes again."""
    server, program = proxied
    for count in (6, 40):
        server.begun.clear()
        sock = program.connect(calls(count))
        time.sleep(0.05)
        sock.close()
        time.sleep(1.0)
        assert server.begun == {b"0": 1}
        again = program.connect(calls(3))
        assert read_answers(again, 3) == [200, 200, 200]
        assert server.begun == {b"0": 2, b"1": 1, b"2": 1}


def test_requests_that_were_read_get_their_answers_whatever_comes_behind_them(proxied):
    """Guards against a half-close or garbage that ends the connection while requests wait."""
    server, program = proxied
    for garbage in (b"", b"\0 this is no request\r\n\r\n"):
        server.begun.clear()
        sock = program.connect(calls(6) + garbage)
        if not garbage:
            sock.shutdown(socket.SHUT_WR)
        statuses = read_answers(sock, 7)
        assert statuses[:1] == [200] and len(statuses) == (7 if garbage else 6), statuses
        assert set(statuses[1:6]) <= {200, 503} and statuses[6:] in ([], [400])
        assert sum(server.begun.values()) == statuses.count(200)
