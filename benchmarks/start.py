"""Measures the time that `python -m driftshed.node` takes from exec until it answers PING, alone on a core and sharing
it, and how much of that is the import of modules before and after its signal handlers are installed.

    .venv/bin/python -m benchmarks.start [--rounds 20] [--busy 3]
"""

import argparse
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from driftshed.node.collectors import PONG
from driftshed.node.resp import encode_message
from tests.platforms import Platform, free_port, make_configuration


def measure_loading() -> tuple[float, float]:
    """Seconds of importing what precedes the signal handlers, interpreter included, and of importing the rest."""
    code = "import driftshed.net.loop, time; at = time.perf_counter()\n"
    code += "import driftshed.node.service, driftshed.node.config; print(time.perf_counter() - at)"
    started_at = time.perf_counter()
    subprocess.run([sys.executable, "-c", "import driftshed.net.loop"], check=True)
    loop_seconds = time.perf_counter() - started_at
    return loop_seconds, float(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)


def measure_start(platform: Platform, folder: Path) -> float:
    """Seconds from exec until the process answers PING."""
    port = free_port()
    file = folder / "config.json"
    configuration = make_configuration(platform.relay.address, platform.discovery.address) | {
        "listen": f"127.0.0.1:{port}"
    }
    file.write_bytes(msgspec.json.encode(configuration))
    started_at = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-m", "driftshed.node"], env={**os.environ, "LB_CONFIG": str(file)}, stderr=subprocess.DEVNULL
    )
    peer = None
    while True:
        platform.loop.turn(time.monotonic() + 0.001)
        if peer is None:
            peer = socket.socket()
            if peer.connect_ex(("127.0.0.1", port)):
                peer.close()
                peer = None
                continue
            peer.setblocking(False)
            peer.send(encode_message("PING"))
        try:
            if peer.recv(100) == PONG:
                break
        except BlockingIOError:
            pass
    elapsed = time.perf_counter() - started_at
    peer.close()
    process.terminate()
    process.wait()
    return elapsed


def main() -> None:
    """Prints import times, and start times alone on a core and with busy processes on it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--busy", type=int, default=3, help="busy processes that share the core")
    options = parser.parse_args()
    loop_seconds, other_seconds = measure_loading()
    print(f"interpreter and the loop, loaded and ended: {loop_seconds:.3f} s; the rest, loaded: {other_seconds:.3f} s")
    cores = sorted(os.sched_getaffinity(0))
    platform = Platform(serve=False)
    original_popen = subprocess.Popen
    for busy in (0, options.busy):
        pinned = lambda *a, **k: original_popen(*a, preexec_fn=lambda: os.sched_setaffinity(0, {cores[-1]}), **k)  # noqa: E731
        subprocess.Popen = pinned
        spinners = [pinned([sys.executable, "-c", "while True: pass"]) for _ in range(busy)]
        with tempfile.TemporaryDirectory() as folder:
            durations = sorted(measure_start(platform, Path(folder)) for _ in range(options.rounds))
        for spinner in spinners:
            spinner.kill()
        print(f"one core, {busy} others on it: median {statistics.median(durations):.3f} s, most {durations[-1]:.3f} s")
    subprocess.Popen = original_popen
    platform.close()


if __name__ == "__main__":
    main()
