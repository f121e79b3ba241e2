"""Clients that overload one process: many that stop half way, one at full speed, and some that leave with work unread.
Real processes over loopback."""

import signal
import socket
import subprocess
import sys
import time

import pytest

MEMORY_LIMIT_MB = 192  # of a supervisor on the platform
OPERATION = "look:objective=0.5,timeout=5,value=1,effect=idempotent"
BODY_BYTES = 1 << 20


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
