"""The platform as small as can be, for tests of the supervisor that runs there: configurations, relay, discovery."""

import json

from driftshed.adapter.facts import read_facts
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener
from driftshed.node import config
from driftshed.node.codec import Facts
from driftshed.node.jsonlines import Lines
from driftshed.node.service import Service
from tests.helpers import FACTS
from tests.test_net import until

KINDS = "hostTypes=m1,m2\nreport.fields=busy_reqs,cpu_share\n"
WORDS = Facts(read_facts(FACTS + KINDS), 100.0 - 5000.0)


def nested(text: str) -> dict:
    """Settings as a configuration file has them, from the simulator's text."""
    top: dict = {}
    for line in text.splitlines():
        path, value = line.split("=", 1)
        *way, last = path.split(".")
        at = top
        for name in way:
            at = at.setdefault(name, {})
        if last == "count":
            continue
        if last in ("zones", "hostTypes", "classWrites", "fields"):
            at[last] = [each == "true" if each in ("true", "false") else each for each in value.split(",")]
        else:
            try:
                at[last] = json.loads(value)
            except json.JSONDecodeError:
                at[last] = value
    top["lanes"] = [top["lanes"][str(place)] for place in range(len(top["lanes"]) if "lanes" in top else 0)]
    return top


def listed(number: int, state: str = "up", **more) -> dict:
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


def text_of(address) -> str:
    return f"{address[0]}:{address[1]}"


def told(relay=("127.0.0.1", 1), follow=("127.0.0.1", 1), servers=6, **more) -> dict:
    return {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": text_of(follow),
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "distributor": {"address": text_of(relay)},
        "known": {"version": 3, "full": True, "servers": [listed(n) for n in range(servers)]},
        "settings": nested(FACTS + KINDS),
    } | more


def chunk(value: object) -> bytes:
    line = b"\n" if value is None else json.dumps(value).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def change(version: int, *servers: dict, full: bool = False) -> dict:
    return {"version": version, "full": full, "servers": list(servers)}


class Platform:
    """A relay and discovery as small as they can be, and the service under test on one loop. `lose`: how the next
    calls are spoilt: "break" after or "before" they are carried out, "silent", "spoilt", "few" orders taken, "cut"
    within the answer, an answer of an "older" one, "throttled", "slow", "answered and closed"."""

    def __init__(self, serve: bool = True, **more) -> None:
        self.loop, self.logged, self.lose = Loop(), [], []
        self.answers_marks = True  # at once, for every proxy
        self.applied: list[list[dict]] = []
        self.standing: dict[int, bool] = {}  # whether each holds no table that was ordered
        self.watches, self.lists, self.streams = [], [], []
        self.relay = Listener(self.loop, ("127.0.0.1", 0), self._relay)
        self.discovery = Listener(self.loop, ("127.0.0.1", 0), self._discovery)
        if not serve:
            return
        given = told(self.relay.address, self.discovery.address, **more)
        self.told = config.checked(given, {})._replace(listen=("127.0.0.1", 0))
        self.service = Service(self.loop, self.told, lambda event, **fields: self.logged.append((event, fields)))
        self.address = self.service.listener.address

    def _relay(self, stream) -> None:
        lines = Lines()
        stream.on_data = lambda data: [self._call(stream, json.loads(line)) for line in lines.take(data)]
        self.streams.append(stream)

    def _call(self, stream, call: dict) -> None:
        if call["method"] == "relay.watch":
            stream.write(b'{"id":%d,"result":true}\n' % call["id"])
            self.watches.append(stream)
            for proxy, new in self.standing.items():
                self.say(stream, "SUBSCRIBE", id=proxy, site="east", rps=2.0, new=new)
            return self.say(stream, "ping")
        how = self.lose.pop(0) if self.lose else ""
        if how == "before":
            return stream.abort("broken")
        if how == "throttled":
            text = b'{"id":%d,"error":{"code":-32000,"message":"Throttling"}}\n' % call["id"]
            return stream.write(text)
        ops = call["params"]["ops"]
        count = len(ops) - 1 if how == "few" else len(ops)
        self.applied.append(ops[:count])
        self.standing |= {op["id"]: False for op in ops[:count] if op["do"] == "attach" and op["id"] in self.standing}
        if how == "break":
            stream.abort("broken")
        elif how != "silent":
            answer = b'{"id":%d,"result":{"accepted":%d}}' % (call["id"] - (how == "older"), count)
            answer = {"spoilt": b"spoilt\n", "cut": answer[:9]}.get(how, answer + b"\n")
            self.loop.after(0.03 if how == "slow" else 0.0, lambda: stream.write(answer))
            if how in ("answered and closed", "cut"):
                self.loop.after(0.0, stream.finish)
            marks = [op["ticket"] for op in ops if op["do"] == "fence"]
            for proxy in self.standing:
                self.all("ACK", id=proxy, seq=marks[0], ms=1.0) if marks and self.answers_marks else None

    def say(self, stream, method: str, **params) -> None:
        stream.write(json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n")

    def all(self, method: str, **params) -> None:
        for stream in [each for each in self.watches if each.sock]:
            self.say(stream, method, **params)

    def join(self, *proxies: int) -> None:
        self.standing |= {proxy: True for proxy in proxies}
        told = [{"id": proxy, "site": "east", "rps": 2.0, "new": True} for proxy in proxies]
        lines = [json.dumps({"method": "SUBSCRIBE", "params": each}).encode() + b"\n" for each in told]
        for stream in [each for each in self.watches if each.sock]:
            stream.write(b"".join(lines))  # heard together

    def _discovery(self, stream) -> None:
        stream.on_data = lambda data: stream.write(HEAD + chunk(None))
        self.lists.append(stream)

    def holds(self) -> tuple[dict, dict, set]:
        """Lines by group, group by proxy, and who is shut out: by all that was applied."""
        lines: dict = {}
        holds, out = {}, set()
        for op in (op for ops in self.applied for op in ops):
            if op["do"] == "put":
                lines.setdefault(op["group"], {})[op["target"]] = op["rps"]
            elif op["do"] == "attach":
                holds[op["id"]] = op["group"]
            elif op["do"] in ("eject", "uneject"):
                (out.add if op["do"] == "eject" else out.discard)(op["target"])
        return lines, holds, out

    def until(self, condition) -> None:
        until(self.loop, condition)

    def start(self, *proxies: int) -> None:
        self.until(lambda: self.service.ready)
        self.join(*proxies)
        self.until(lambda: set(self.holds()[1]) == set(self.standing) and not self.service.host.orders.waiting)

    def close(self) -> None:
        for stream in self.streams + self.lists:
            stream.abort("over")
        self.loop.close()


def free_port() -> int:
    loop = Loop()
    listener = Listener(loop, ("127.0.0.1", 0), lambda stream: None)
    listener.close()
    loop.close()
    return listener.address[1]
