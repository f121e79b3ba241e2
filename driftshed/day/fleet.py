"""Test harness of a fleet of processes: a store, supervisors that find each other through it, and proxies, connected by
fault relays."""

from __future__ import annotations

import os
import queue
import signal
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path

import msgspec

from driftshed.core.messages import ListedServer, RosterUpdate, encode_json
from driftshed.day.fault_relay import FaultRelay, frame_length
from driftshed.day.stage import Subprocess, reserve_network
from driftshed.net.loop import Loop

POLL_INTERVAL_S = 0.01  # between checks for calls to run on the relays' thread
OPERATION_FLAG = "look:objective=0.5,timeout=1.5,value=1,effect=idempotent"


class FleetProcess(Subprocess):
    """A process that can be restarted with the same command."""

    def __init__(self, command: list[str], log_path: Path) -> None:
        """`command`: the arguments of `driftshed`; `log_path`: the log file, appended to across restarts."""
        super().__init__(log_path)
        self.command = command

    def start(self) -> None:
        """Starts the process; also after it ended."""
        self._launch(self.command)

    def kill(self) -> None:
        """Kills the process by SIGKILL and waits for it."""
        self.signal(signal.SIGKILL)
        self.terminate()

    def events(self) -> list[dict]:
        """The lines of its JSON log so far."""
        return [msgspec.json.decode(line) for line in self.log_path.read_bytes().splitlines() if line.startswith(b"{")]


class FleetHarness:
    """A fleet of processes whose relays run on a thread of their own; call them only by `run_on_loop`. Close it in any
    case, so that no process is left behind."""

    def __init__(
        self,
        folder: Path,
        supervisors: int = 3,
        proxies: int = 6,
        timeout: float = 1.5,
        silence: float = 2.0,
        hears_within: float = 2.0,
        more: tuple[str, ...] = (),
        policies: bool = False,
    ) -> None:
        """`supervisors` and `proxies`: counts; `timeout`: of the supervisors' sessions in the store, in seconds;
        `silence`: seconds without a poll after which a stream ends; `hears_within`: seconds until a proxy abandons a
        silent supervisor; `more`: further flags of supervisors; `policies`: they follow the fleet policy."""
        self.loop = Loop()
        net, self.lock = reserve_network(os.getpid())
        host = f"127.{net}.0"
        self.names = [f"s{k}" for k in range(supervisors)]
        self.store_address = f"{host}.8", 2181
        self.store = FleetProcess(
            ["roster", "serve", "--listen", f"{host}.8:2181", "--folder", str(folder / "store")], folder / "store.log"
        )
        self.addresses = {name: (f"{host}.{20 + k}", 7000) for k, name in enumerate(self.names)}
        self.to_store = {
            name: FaultRelay(self.loop, (f"{host}.{60 + k}", 2181), self.store_address, frame_length)
            for k, name in enumerate(self.names)
        }
        self.to_proxies = {
            name: FaultRelay(self.loop, (f"{host}.{100 + k}", 7000), self.addresses[name])
            for k, name in enumerate(self.names)
        }
        self.supervisors = {}
        for name in self.names:
            listen, advertise, store = self.addresses[name], self.to_proxies[name].address, self.to_store[name].address
            self.supervisors[name] = FleetProcess(
                [
                    "supervise",
                    "--listen",
                    f"{listen[0]}:{listen[1]}",
                    "--advertise",
                    f"{advertise[0]}:{advertise[1]}",
                    "--operation",
                    OPERATION_FLAG,
                    "--proxies",
                    str(proxies),
                    "--supervisors",
                    str(supervisors),
                    "--silence",
                    str(silence),
                    "--name",
                    name,
                    "--expected",
                    ",".join(self.names),
                    "--fleet-connect",
                    f"{store[0]}:{store[1]}",
                    "--fleet-timeout",
                    str(timeout),
                    *more,
                    *(("--policy-folder", str(folder / f"policy-{name}")) if policies else ()),
                ],
                folder / f"{name}.log",
            )
        self.proxies = []
        for k in range(proxies):
            order = self.names[k % supervisors :] + self.names[: k % supervisors]
            addresses = [f"{self.to_proxies[name].address[0]}:7000" for name in order]
            supervisor_flags = [part for each in addresses for part in ("--supervisor", each)]
            self.proxies.append(
                FleetProcess(
                    [
                        "proxy",
                        "--listen",
                        f"{host}.{140 + k}:8080",
                        "--number",
                        str(k),
                        "--zone",
                        "east",
                        "--operation",
                        OPERATION_FLAG,
                        "--hears-within",
                        str(hears_within),
                        "--standing",
                        f"{host}.9:8000",
                        "--seed",
                        str(k),
                        *supervisor_flags,
                    ],
                    folder / f"proxy{k}.log",
                )
            )
        self.server = f"{host}.9:8000"
        self.version = 0
        self.pending_calls: queue.SimpleQueue = queue.SimpleQueue()
        self.stopped = False
        # The relays keep running while the caller waits for a process or a view.
        self.thread = threading.Thread(target=self._run_loop, daemon=True)
        self.thread.start()

    def _run_loop(self) -> None:
        while not self.stopped:
            self.loop.after(POLL_INTERVAL_S, lambda: None)
            self.loop.turn(time.monotonic() + POLL_INTERVAL_S)
            while not self.pending_calls.empty():
                call, done = self.pending_calls.get()
                call()
                done.set()

    def run_on_loop(self, call: Callable[[], object]) -> None:
        """Runs a call on the relays' thread and waits for it; RuntimeError after 10 s."""
        done = threading.Event()
        self.pending_calls.put((call, done))
        if not done.wait(10):
            raise RuntimeError("the thread of the relays did not run the call within 10 s")

    def open(self) -> None:
        """Starts store, supervisors and proxies, each once those before it listen, and publishes the first list."""
        self.store.start()
        self.store.await_listening()
        for process in self.supervisors.values():
            process.start()
        for process in self.supervisors.values():
            process.await_listening()
        for name in self.names:
            self.list(name)
        for process in self.proxies:
            process.start()
        for process in self.proxies:
            process.await_listening()

    def list(self, name: str) -> None:
        """Sends a list of one server to a supervisor, not through a relay."""
        self.version += 1
        update = RosterUpdate(self.version, True, [ListedServer(self.server, "east", "standard")])
        host, port = self.addresses[name]
        request = urllib.request.Request(
            f"http://{host}:{port}/v1/roster", encode_json(update), {"content-type": "application/json"}
        )
        urllib.request.urlopen(request, timeout=5).close()

    def close(self) -> None:
        """Ends all processes, the thread and the relays."""
        for process in (*self.proxies, *self.supervisors.values(), self.store):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in (*self.proxies, *self.supervisors.values(), self.store):
            process.terminate()
        self.stopped = True
        self.thread.join(10)
        for relay in (*self.to_store.values(), *self.to_proxies.values()):
            relay.close()
        self.loop.close()
        self.lock.close()

    # ---- views ----

    def get(self, name: str, what: str) -> object:
        """A view of one supervisor, not requested through a relay; None where it does not answer within 1 s."""
        host, port = self.addresses[name]
        try:
            with urllib.request.urlopen(f"http://{host}:{port}/v1/{what}", timeout=1) as answer:
                return msgspec.json.decode(answer.read())
        except (OSError, urllib.error.URLError):
            return None

    def states(self, name: str) -> dict[str, str]:
        """The states of all members by name, as one supervisor sees them; empty where it does not answer."""
        view = self.get(name, "fleet")
        return {} if view is None else {row["name"]: row["state"] for row in view["members"]}

    def joined(self, name: str) -> set[int]:
        """The numbers of the proxies joined to a supervisor."""
        rows = self.get(name, "proxies")
        return {row["proxy"] for row in rows or () if row["joined"]}

    def until(self, condition: Callable[[], object], bound: float = 30.0) -> float:
        """Waits until the condition holds and returns the seconds that it took; AssertionError after `bound`
        seconds."""
        began = time.monotonic()
        while not condition():
            assert time.monotonic() < began + bound, "the condition was not met in time"
            time.sleep(0.02)
        return time.monotonic() - began
