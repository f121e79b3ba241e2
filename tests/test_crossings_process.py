"""Fault tests of the program: signals at any time, configuration files that are being replaced, a stop at each step."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from itertools import repeat
from statistics import median

import msgspec
import pytest

from driftshed.node.config import parse_address
from driftshed.node.resp import encode_message
from tests.floods import waits_beside
from tests.platforms import Platform, format_address, free_address, make_configuration, roster_update, server_entry
from tests.test_net import run_until

# ---- the process -----------------------------------------------------------------------------------------------------


class Process:
    """`python -m driftshed.node` with its own configuration file."""

    def __init__(self, folder, platform: Platform, **more) -> None:
        self.file = folder / "config.json"
        self.document = make_configuration(platform.relay.address, platform.discovery.address) | more
        self.document["listen"] = free_address()
        self.environment = {**os.environ, "LB_CONFIG": str(self.file)}
        self.environment.pop("LB_LISTEN", None)

    def text(self, **more) -> bytes:
        return msgspec.json.encode(self.document | more)

    def start(self, write: bool = True, **options) -> subprocess.Popen:
        if write:
            self.file.write_bytes(self.text())
        self.process = subprocess.Popen(
            [sys.executable, "-m", "driftshed.node"], env=self.environment, **({"stderr": subprocess.PIPE} | options)
        )
        return self.process

    def terminate(self) -> bytes:
        """Stops the program as a planned restart does. Returns what it wrote to standard error."""
        self.process.send_signal(signal.SIGTERM)
        stderr = self.process.communicate(timeout=20)[1] or b""
        assert self.process.returncode == 0 and b"Traceback" not in stderr and b'"fault"' not in stderr
        return stderr


@pytest.mark.parametrize("old_address", ["tells later", "never tells"])
def test_a_rejoin_that_the_old_relay_address_has_not_told_before_a_reload_is_bound_again(tmp_path, other, old_address):
    """Guards against proxies that are never bound again, since the new address lists them as the old one did."""
    first = Platform(serve=False)
    program = Process(tmp_path, first)
    process = program.start()
    first.until(lambda: len(first.watches) >= 2)
    first.join(0, 1)
    first.until(lambda: {0, 1} <= set(first.applied_state()[1]))
    other.proxies = {0: False, 1: False}  # proxy 1 has left and joined again, which is still under way below
    program.file.write_bytes(program.text(distributor={"address": format_address(other.relay.address)}))
    process.send_signal(signal.SIGHUP)
    run_until(other.loop, lambda: len(other.watches) >= 2)
    if old_address == "tells later":
        first.notify_all("CLOSED", id=1)
        first.notify_all("SUBSCRIBE", id=1, site="east", rps=2.0, new=False)
        first.notify_all("ping")
    else:
        for stream in first.watches:
            stream.abort("over")

    def bound_again() -> bool:
        first.loop.turn(time.monotonic() + 0.005)
        other.notify_all("ping")
        orders = [order for calls in first.applied + other.applied for order in calls]
        bindings = Counter(order["id"] for order in orders if order["do"] == "attach")
        assert bindings[0] == 1 or old_address == "never tells"  # it has its table
        return bindings[1] == 2

    run_until(other.loop, bound_again)
    program.terminate()
    first.close()


@pytest.mark.parametrize("kind", ["pings", "reports"])
def test_one_peer_at_full_speed_does_not_make_others_wait(tmp_path, kind):
    """Guards against a peer that gets as much of a round of the loop as it sends, and reports that pile up."""
    platform = Platform(serve=False)
    program = Process(tmp_path, platform, known=roster_update(3, server_entry(1), full=True))
    program.start()
    platform.until(lambda: len(platform.watches) >= 2 and platform.lists)
    address = parse_address(program.document["listen"], "listen")
    fields = {"site": "east", "target": "s-1", "count": "5", "fail": "0", "mean": "10", "over": "500"}
    fields["util"] = "inflight:1,util:0.5"
    report = encode_message("LOAD", *(each for pair in fields.items() for each in pair))
    hello = encode_message("SOURCE", "site", "east") if kind == "reports" else b""
    flood = repeat(report * 500 if kind == "reports" else encode_message("PING") * 3000)

    def ask() -> float:
        began = time.monotonic()
        with socket.create_connection(address) as sock:
            sock.sendall(encode_message("PING"))
            assert sock.recv(100)
        return time.monotonic() - began

    ask()  # answered once it is ready
    waits = waits_beside(address, hello, flood, ask)
    program.terminate()
    platform.close()
    assert median(waits) < 0.05, waits


def test_a_truncated_configuration_is_read_again_until_complete(tmp_path, other):
    first = Platform(serve=False)
    program = Process(tmp_path, first)
    process = program.start()
    first.until(lambda: len(first.watches) >= 2)
    document = program.text(distributor={"address": format_address(other.relay.address)})
    program.file.write_bytes(document[:100])
    process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert process.poll() is None
    program.file.write_bytes(document)  # without a further signal
    run_until(other.loop, lambda: len(other.watches) >= 2)
    assert b"configuration_unusable" in program.terminate()
    first.close()


@pytest.mark.parametrize("numbers", [(signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)])
def test_signals_before_the_configuration_is_read_are_handled(tmp_path, other, numbers):
    program = Process(tmp_path, other)
    os.mkfifo(program.file)
    process = program.start(write=False)
    end = time.monotonic() + 30
    while True:
        try:
            pipe = os.open(program.file, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:  # the program has not opened it yet
            assert time.monotonic() < end
            time.sleep(0.005)
    for number in numbers:
        process.send_signal(number)
    time.sleep(0.05)
    assert process.poll() is None  # it is still reading
    program.file.unlink()
    program.file.write_bytes(program.text())  # for the reload
    os.set_blocking(pipe, True)
    os.write(pipe, program.text())
    os.close(pipe)
    if signal.SIGTERM not in numbers:
        run_until(other.loop, lambda: len(other.watches) >= 2)
        program.terminate()
    stderr = process.communicate(timeout=20)[1] or b""
    assert process.returncode == 0 and b"Traceback" not in stderr, stderr


@pytest.mark.parametrize("step", ["at once", "watched", "bound", "a call is out"])
def test_a_stop_right_after_a_reload_is_clean_and_frees_the_address(tmp_path, other, step):
    program = Process(tmp_path, other)
    process = program.start()
    other.until(lambda: len(other.watches) >= 2)
    if step in ("bound", "a call is out"):
        other.join(0, 1)
        other.until(lambda: 0 in other.applied_state()[1])
    if step == "a call is out":
        other.call_faults = ["silent"] * 100
        other.join(2)
        other.until(lambda: len(other.call_faults) < 100)
    peers = []
    if step != "at once":
        address = program.document["listen"].split(":")
        for _ in range(20):
            peers.append(socket.create_connection((address[0], int(address[1]))))
            peers[-1].sendall(encode_message("SOURCE", "site", "east") + b"*3\r\n$4\r\nLO")
    process.send_signal(signal.SIGHUP)
    program.terminate()
    began = time.monotonic()
    again = program.start()  # while connections of the old process linger
    count = len(other.watches)
    other.until(lambda: len(other.watches) >= count + 2)
    assert again.poll() is None and time.monotonic() - began < 10
    for peer in peers:
        peer.close()
    program.terminate()


def test_a_closed_log_does_not_end_the_program(tmp_path, other):
    program = Process(tmp_path, other)
    process = program.start()
    other.until(lambda: len(other.watches) >= 2)
    process.stderr.close()
    program.file.write_bytes(b"{")
    process.send_signal(signal.SIGHUP)  # its log line cannot be written
    time.sleep(0.5)
    assert process.poll() is None
    program.file.write_bytes(program.text())
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


def test_a_flood_of_unknown_peers_leaves_descriptors_for_redialling(tmp_path, other):
    program = Process(tmp_path, other, limits={"sockets": 64})
    program.start(preexec_fn=_few_descriptors)
    other.until(lambda: len(other.watches) >= 2 and other.lists)
    host, port = program.document["listen"].split(":")
    peers = [socket.create_connection((host, int(port))) for _ in range(150)]
    counts = len(other.watches), len(other.lists)
    for stream in other.streams + other.lists:
        stream.abort("broken")
    other.until(lambda: len(other.watches) >= counts[0] + 2 and len(other.lists) > counts[1])
    for peer in peers:
        peer.close()
    program.terminate()


def _few_descriptors() -> None:
    import resource

    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
