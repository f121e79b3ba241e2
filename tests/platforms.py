"""A minimal platform for tests of `driftshed.node`: configurations, a relay and discovery."""

import json
import os

from driftshed.adapter.facts import read_facts
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener
from driftshed.node import config
from driftshed.node.codec import PlatformCodec
from driftshed.node.jsonlines import LineReader
from driftshed.node.service import Service
from tests.helpers import FACTS
from tests.test_net import run_until

KINDS = "hostTypes=m1,m2\nreport.fields=busy_reqs,cpu_share\n"
CODEC = PlatformCodec(read_facts(FACTS + KINDS), 100.0 - 5000.0)


def nested(text: str) -> dict:
    """Nested settings as in a configuration file, from a settings text of the simulator."""
    top: dict = {}
    for line in text.splitlines():
        path, value = line.split("=", 1)
        *parents, last = path.split(".")
        node = top
        for name in parents:
            node = node.setdefault(name, {})
        if last == "count":
            continue
        if last in ("zones", "hostTypes", "classWrites", "fields"):
            node[last] = [each == "true" if each in ("true", "false") else each for each in value.split(",")]
        else:
            try:
                node[last] = json.loads(value)
            except json.JSONDecodeError:
                node[last] = value
    top["lanes"] = [top["lanes"][str(place)] for place in range(len(top["lanes"]) if "lanes" in top else 0)]
    return top


def server_entry(number: int, state: str = "up", **more) -> dict:
    return {
        "id": f"s-{number}",
        "addr": "10.0.0.1:1",
        "zone": "east",
        "kind": "m1",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    } | more


def format_address(address) -> str:
    return f"{address[0]}:{address[1]}"


def make_configuration(relay=("127.0.0.1", 1), discovery_address=("127.0.0.1", 1), servers=6, **more) -> dict:
    return {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": format_address(discovery_address),
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "distributor": {"address": format_address(relay)},
        "known": {"version": 3, "full": True, "servers": [server_entry(n) for n in range(servers)]},
        "settings": nested(FACTS + KINDS),
    } | more


def chunk(value: object) -> bytes:
    line = b"\n" if value is None else json.dumps(value).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def roster_update(version: int, *servers: dict, full: bool = False) -> dict:
    return {"version": version, "full": full, "servers": list(servers)}


class Platform:
    """A minimal relay and discovery, and the service under test, on one loop.

    `call_faults`: the faults of the next calls. The connection breaks after ("break") or before ("before") the call is
    carried out; no answer ("silent"); a malformed ("spoilt") or truncated ("cut") answer; not all operations are
    accepted ("few"); the answer names an earlier call ("older"); "throttled"; a late answer ("slow"); "answered and
    closed"."""

    def __init__(self, serve: bool = True, **more) -> None:
        self.loop, self.logged, self.call_faults = Loop(), [], []
        self.answers_marks = True  # at once and for every proxy but the silent ones
        self.silent: set[int] = set()
        self.pings_after_initial = True  # right after the joined proxies, on each new connection
        self.applied: list[list[dict]] = []
        self.proxies: dict[int, bool] = {}  # joined proxies; True: it holds no table that was ordered
        self.watches, self.lists, self.streams = [], [], []
        self.relay = Listener(self.loop, ("127.0.0.1", 0), self._relay)
        self.discovery = Listener(self.loop, ("127.0.0.1", 0), self._discovery)
        if not serve:
            return
        document = make_configuration(self.relay.address, self.discovery.address, **more)
        self.config = config.parse(document, {})._replace(listen=("127.0.0.1", 0))
        self.service = Service(self.loop, self.config, lambda event, **fields: self.logged.append((event, fields)))
        self.address = self.service.listener.address

    def _relay(self, stream) -> None:
        lines = LineReader()
        stream.on_data = lambda data: [self._call(stream, json.loads(line)) for line in lines.feed(data)]
        self.streams.append(stream)

    def _call(self, stream, call: dict) -> None:
        if call["method"] == "relay.watch":
            stream.write(b'{"id":%d,"result":true}\n' % call["id"])
            self.watches.append(stream)
            for proxy, new in self.proxies.items():
                self.notify(stream, "SUBSCRIBE", id=proxy, site="east", rps=2.0, new=new)
            return self.notify(stream, "ping") if self.pings_after_initial else None
        fault = self.call_faults.pop(0) if self.call_faults else ""
        if fault == "before":
            return stream.abort("broken")
        if fault == "throttled":
            text = b'{"id":%d,"error":{"code":-32000,"message":"Throttling"}}\n' % call["id"]
            return stream.write(text)
        ops = call["params"]["ops"]
        count = len(ops) - 1 if fault == "few" else len(ops)
        self.applied.append(ops[:count])
        self.proxies |= {op["id"]: False for op in ops[:count] if op["do"] == "attach" and op["id"] in self.proxies}
        if fault == "break":
            stream.abort("broken")
        elif fault != "silent":
            answer = b'{"id":%d,"result":{"accepted":%d}}' % (call["id"] - (fault == "older"), count)
            answer = {"spoilt": b"spoilt\n", "cut": answer[:9]}.get(fault, answer + b"\n")
            self.loop.after(0.03 if fault == "slow" else 0.0, lambda: stream.write(answer))
            if fault in ("answered and closed", "cut"):
                self.loop.after(0.0, stream.finish)
            marks = [op["ticket"] for op in ops if op["do"] == "fence"]
            for proxy in [each for each in self.proxies if each not in self.silent]:
                self.notify_all("ACK", id=proxy, seq=marks[0], ms=1.0) if marks and self.answers_marks else None

    def notify(self, stream, method: str, **params) -> None:
        stream.write(json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n")

    def notify_all(self, method: str, **params) -> None:
        for stream in [each for each in self.watches if each.sock]:
            self.notify(stream, method, **params)

    def join(self, *proxies: int) -> None:
        self.proxies |= {proxy: True for proxy in proxies}
        notifications = [{"id": proxy, "site": "east", "rps": 2.0, "new": True} for proxy in proxies]
        lines = [json.dumps({"method": "SUBSCRIBE", "params": each}).encode() + b"\n" for each in notifications]
        for stream in [each for each in self.watches if each.sock]:
            stream.write(b"".join(lines))  # one write, so that they are received together

    def _discovery(self, stream) -> None:
        stream.on_data = lambda data: stream.write(HEAD + chunk(None))
        self.lists.append(stream)

    def applied_state(self) -> tuple[dict, dict, set]:
        """Lines by group, group by proxy, and withdrawn servers, after all operations that were applied."""
        lines: dict = {}
        groups, withdrawn = {}, set()
        for op in (op for ops in self.applied for op in ops):
            if op["do"] == "put":
                lines.setdefault(op["group"], {})[op["target"]] = op["rps"]
            elif op["do"] == "attach":
                groups[op["id"]] = op["group"]
            elif op["do"] in ("eject", "uneject"):
                (withdrawn.add if op["do"] == "eject" else withdrawn.discard)(op["target"])
        return lines, groups, withdrawn

    def until(self, condition) -> None:
        run_until(self.loop, condition)

    def start(self, *proxies: int) -> None:
        self.until(lambda: self.service.ready)
        self.join(*proxies)
        self.until(lambda: set(self.applied_state()[1]) == set(self.proxies) and not self.service.host.orders.waiting)

    def close(self) -> None:
        for stream in self.streams + self.lists:
            stream.abort("over")
        self.loop.close()


def free_address() -> str:
    """An address to listen on, with a host of this process's own: no other process takes its port meanwhile."""
    number = os.getpid()
    host = f"127.{64 + number // 256 % 128}.{number % 256}.1"
    return f"{host}:{free_port(host)}"


def free_port(host: str = "127.0.0.1") -> int:
    loop = Loop()
    listener = Listener(loop, (host, 0), lambda stream: None)
    listener.close()
    loop.close()
    return listener.address[1]
