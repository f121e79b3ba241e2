"""A fleet of real processes: a store, supervisors that know each other by it, proxies; each pair joined through a relay
that puts faults between them."""

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

from driftshed.core.messages import ListedServer, RosterNews, encode
from driftshed.day.between import FaultRelay, frame_length
from driftshed.day.stage import Launched, free_net
from driftshed.net.loop import Loop

TURN = 0.01  # seconds between looks at what the relays are to do
OPERATION = "look:objective=0.5,timeout=1.5,value=1,effect=idempotent"


class FleetProcess(Launched):
    """One that is started anew with the same command."""

    def __init__(self, command: list[str], logs: Path) -> None:
        super().__init__(logs)
        self.command = command

    def start(self) -> None:
        self._launch(self.command)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.end()

    def events(self) -> list[dict]:
        """The lines of its log so far."""
        return [msgspec.json.decode(line) for line in self.logs.read_bytes().splitlines() if line.startswith(b"{")]


class FleetStage:
    """`supervisors` and `proxies` are counts. `timeout`: of the supervisors' sessions; `silence`: seconds after which a
    stream without a poll has ended; `hears_within`: seconds until a proxy gives a silent supervisor up; `more`: flags
    of supervisors; `policies`: they go by the fleet's policy."""

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
        self.loop = Loop()
        net, self.lock = free_net(os.getpid())
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
            listen, told, store = self.addresses[name], self.to_proxies[name].address, self.to_store[name].address
            self.supervisors[name] = FleetProcess(
                [
                    "supervise",
                    "--listen",
                    f"{listen[0]}:{listen[1]}",
                    "--advertise",
                    f"{told[0]}:{told[1]}",
                    "--operation",
                    OPERATION,
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
            at = [f"{self.to_proxies[name].address[0]}:7000" for name in order]
            follows = [part for each in at for part in ("--supervisor", each)]
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
                        OPERATION,
                        "--hears-within",
                        str(hears_within),
                        "--standing",
                        f"{host}.9:8000",
                        "--seed",
                        str(k),
                        *follows,
                    ],
                    folder / f"proxy{k}.log",
                )
            )
        self.server = f"{host}.9:8000"
        self.version = 0
        self.calls: queue.SimpleQueue = queue.SimpleQueue()
        self.closing = False
        # The relays go on while the one who plays waits for a process or a view.
        self.thread = threading.Thread(target=self._pass_on, daemon=True)
        self.thread.start()

    def _pass_on(self) -> None:
        while not self.closing:
            self.loop.after(TURN, lambda: None)
            self.loop.turn(time.monotonic() + TURN)
            while not self.calls.empty():
                call, done = self.calls.get()
                call()
                done.set()

    def do(self, call: Callable[[], object]) -> None:
        """Does something to the relays, on their own thread."""
        done = threading.Event()
        self.calls.put((call, done))
        if not done.wait(10):
            raise RuntimeError("the relays stand still")

    def open(self) -> None:
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
        """Tells a supervisor the list, straight."""
        self.version += 1
        news = RosterNews(self.version, True, [ListedServer(self.server, "east", "standard")])
        host, port = self.addresses[name]
        request = urllib.request.Request(
            f"http://{host}:{port}/v1/roster", encode(news), {"content-type": "application/json"}
        )
        urllib.request.urlopen(request, timeout=5).close()

    def close(self) -> None:
        for process in (*self.proxies, *self.supervisors.values(), self.store):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in (*self.proxies, *self.supervisors.values(), self.store):
            process.end()
        self.closing = True
        self.thread.join(10)
        for between in (*self.to_store.values(), *self.to_proxies.values()):
            between.close()
        self.loop.close()
        self.lock.close()

    # ---- what is seen of it -----------------------------------------------------------------------------------

    def get(self, name: str, what: str) -> object:
        """A view of one supervisor, asked straight; None where it does not answer."""
        host, port = self.addresses[name]
        try:
            with urllib.request.urlopen(f"http://{host}:{port}/v1/{what}", timeout=1) as answer:
                return msgspec.json.decode(answer.read())
        except (OSError, urllib.error.URLError):
            return None

    def states(self, name: str) -> dict[str, str]:
        """What one supervisor makes of the roll."""
        view = self.get(name, "fleet")
        return {} if view is None else {row["name"]: row["state"] for row in view["members"]}

    def joined(self, name: str) -> set[int]:
        rows = self.get(name, "proxies")
        return {row["proxy"] for row in rows or () if row["joined"]}

    def until(self, condition: Callable[[], object], bound: float = 30.0) -> float:
        """Waits until it holds; the seconds that it took. AssertionError after the bound."""
        began = time.monotonic()
        while not condition():
            assert time.monotonic() < began + bound, "the condition did not come"
            time.sleep(0.02)
        return time.monotonic() - began
