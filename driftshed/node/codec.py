"""The platform's words: messages and news to typed events, typed orders to the relay's operations. They end here."""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

import msgspec
from msgspec import Raw, Struct

from driftshed import interface as face
from driftshed.adapter.facts import LOADS, word

STATES = {"up": face.READY, "draining": face.DRAINING, "removed": face.GONE}
# The platform writes load fields by these names, the settings by those of the simulator's wire.
LOAD_WORDS = {
    "inflight": "in flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "service time",
    "qps": "succeeded rate",
    "eps": "errored rate",
} | LOADS
MOST_NAME = 128  # characters of an id
MOST_COUNT = 2**32
GROUPS = 256  # tables that one module may use; the next module's lie behind them


class Bad(Exception):
    """What came cannot be used; its text is a reason to count by."""


def server(name: object) -> face.Server:
    """A server's id as the module is given it."""
    if not isinstance(name, str) or not 0 < len(name) <= MOST_NAME:
        raise Bad("a server's id is none")
    return name.encode()


def amount(value: object, most: float, above: bool = False) -> float:
    """A finite number within bounds, from a number or its text."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise Bad("a number is none") from None
    if isinstance(value, bool) or not isfinite(number) or not 0 <= number <= most or (above and not number):
        raise Bad("a number is out of range")
    return number


def count(value: object, most: int = MOST_COUNT) -> int:
    number = amount(value, most)
    if number != int(number):
        raise Bad("a count is not whole")
    return int(number)


class Names(NamedTuple):
    """What a deployment calls its zones, kinds of servers and operations, in the order of the facts."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    operations: tuple[str, ...]


def _places(names: tuple[str, ...]) -> dict[str, int]:
    """Places by name, as given or as the facts write it; where both could be meant, as given."""
    return {word(name): place for place, name in enumerate(names)} | {name: place for place, name in enumerate(names)}


class Facts:
    """What messages name, of one deployment: places of zones, operations, kinds and load fields."""

    def __init__(self, facts: face.StartFacts, to_clock: float, names: Names | None = None) -> None:
        """`to_clock`: what to add to unix time, in seconds, to have the module's clock. `names`: as they were given;
        the facts hold them without spaces and commas."""
        names = names or Names(facts.zones, facts.kinds, tuple(each.name for each in facts.operations))
        self.zones, self.kinds, self.operations = map(_places, names)
        self.names = names.operations
        self.loads, self.proxies, self.to_clock = facts.load_fields, facts.proxies, to_clock

    def _place(self, known: dict[str, int], name: object, what: str) -> int:
        place = known.get(name) if isinstance(name, str) else None
        if place is None:
            raise Bad(f"an unknown {what}")
        return place

    # ---- reports ----------------------------------------------------------------------------------------------

    def report(self, words: list[bytes], listed) -> object:
        """The event of one message of a collector; `listed(server)` tells whether it was ever listed. Bad: why not."""
        try:
            kind, *rest = [each.decode() for each in words]
        except UnicodeDecodeError:
            raise Bad("not text") from None
        fields = dict(zip(rest[::2], rest[1::2], strict=False))
        if len(rest) % 2 or len(fields) * 2 != len(rest):
            raise Bad("fields without values, or named twice")
        try:
            if kind == "LOAD":
                return self._load(fields, listed)
            if kind == "RATE":
                return self._rate(fields)
        except KeyError:
            raise Bad("a field is missing") from None
        raise Bad("no kind of report")

    def _load(self, fields: dict[str, str], listed) -> face.Heard:
        name = server(fields["target"])
        if not listed(name):
            raise Bad("an unknown server")
        tries, errored = count(fields["count"]), count(fields["fail"])
        if errored > tries:
            raise Bad("more failures than tries")
        mean = amount(fields["mean"], 1e7) / 1000 if fields.get("mean", "") != "" else 0.0
        if "mean" not in fields and errored < tries:
            raise Bad("a field is missing")
        load = self._loads(fields["util"]) if fields.get("util") else None
        zone = self._place(self.zones, fields["site"], "zone")
        return face.Heard(errored, name, tries, self._span(fields), zone, mean or None, load)

    def _loads(self, text: str) -> tuple[float, ...]:
        told = {}
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            name = LOAD_WORDS.get(name, name)  # a deployment may have fields of its own
            if not colon or name not in self.loads or name in told:
                raise Bad("an unknown load field")
            told[name] = amount(value, 1e12)
        if len(told) != len(self.loads):
            raise Bad("a load field is missing")
        return tuple(told[name] for name in self.loads)

    def _rate(self, fields: dict[str, str]) -> face.Demand:
        operation = self._place(self.operations, fields["lane"], "operation")
        arrived, errored = count(fields["count"]), count(fields["fail"])
        return face.Demand(arrived, self._proxy(fields["id"]), self._span(fields), errored, operation)

    def _span(self, fields: dict[str, str]) -> float:
        return amount(fields["over"], 1e7, above=True) / 1000

    def _proxy(self, value: object) -> int:
        proxy = count(value)
        if proxy >= self.proxies:
            raise Bad("an unknown proxy")
        return proxy

    # ---- news of the relay ------------------------------------------------------------------------------------

    def news(self, method: str, params: Raw) -> object:
        """The event of a notification; None for one that tells nothing. Bad: why it cannot be used."""
        if method not in ("SUBSCRIBE", "CLOSED", "ACK"):
            return None
        try:
            told = msgspec.json.decode(params)
            proxy = self._proxy(told["id"])
            if method == "CLOSED":
                return face.Left(proxy)
            if method == "ACK":
                return face.Applied(count(told["seq"]), proxy, amount(told["ms"], 1e9) / 1000)
            zone = self._place(self.zones, told["site"], "zone")
            return face.Joined(zone, bool(told["new"]), proxy, amount(told["rps"], 1e9))
        except (msgspec.DecodeError, KeyError, TypeError):
            raise Bad("a notification without its fields") from None

    # ---- the list ---------------------------------------------------------------------------------------------

    def listing(self, told: object, kind: int | None = None, skipped: list[str] | None = None) -> face.Listing:
        """The event of one list or change of it. Bad: why it cannot be used; nothing of it is. `skipped`: where it is
        given, entries that cannot be used are left out, and why goes there."""
        try:
            version, whole = count(told["version"]), told["full"] is True
            entries: dict[face.Server, face.Entry] = {}
            for each in told["servers"]:
                try:
                    entry = self._entry(each)
                except (Bad, KeyError, TypeError, AttributeError) as error:
                    if skipped is None:
                        raise
                    skipped.append(f"{error}: {each!r}"[:200])
                    continue
                entries[entry.server] = entry
        except (KeyError, TypeError, AttributeError):
            raise Bad("a list without its fields") from None
        if kind is None:
            kind = face.FULL if whole else face.DELTA
        return face.Listing(version, kind, tuple(entries.values()))

    def _entry(self, each: dict) -> face.Entry:
        state = STATES.get(each["state"])
        if state is None:
            raise Bad("an unknown state")
        started = amount(each.get("started_ms", 0) or 0, 1e15)
        return face.Entry(
            server(each["id"]),
            self._place(self.zones, each["zone"], "zone"),
            self._place(self.kinds, each["kind"], "kind"),
            started / 1000 + self.to_clock if started else None,
            count(each.get("cell", 0)),
            state,
            amount(each.get("weight", 1.0), 1e12),
        )

    # ---- orders -----------------------------------------------------------------------------------------------

    def operation(self, order: object, first: int) -> dict | None:
        """The relay's operation for an order; None for one that is not the relay's. `first`: the present module's
        first group."""
        if isinstance(order, face.SetLine):
            return {"do": "put", "group": first + order.table, "target": order.server.decode(), "rps": order.weight}
        if isinstance(order, face.Withdraw):
            return {"do": "eject" if order.on else "uneject", "target": order.server.decode()}
        if isinstance(order, face.UseTable):
            op = {"do": "attach", "id": order.proxy, "group": first + order.table}
            return op | self._classes(order.operations)
        if isinstance(order, face.SetLevel):
            group = "*" if order.table == face.EVERY_TABLE else first + order.table
            op = {"do": "gate", "group": group} | self._classes(order.operations)
            return op | {"level": order.level, "retry": order.tries}
        if isinstance(order, face.ClearTable):
            return {"do": "wipe", "group": first + order.table}
        if isinstance(order, face.Mark):
            return {"do": "fence", "ticket": order.mark, "flag": int(order.everyone)}
        return None

    def _classes(self, operations: int) -> dict:
        if operations == face.ALL_OPERATIONS:
            return {}
        return {"classes": [name for place, name in enumerate(self.names) if operations >> place & 1]}


class Line(Struct):
    """One line of the relay, whatever it is: an answer or a notification."""

    id: int | None = None
    method: str = ""
    params: Raw = Raw(b"null")
    result: Raw = Raw()
    error: Raw = Raw()


class Taken(Struct):
    """The answer to a call: how many orders were taken, from the first."""

    accepted: int


LINE, TAKEN = msgspec.json.Decoder(Line), msgspec.json.Decoder(Taken)


def call(number: int, method: str, ops: list[bytes] | None = None) -> bytes:
    """One call of the relay as it goes on the wire; `ops` are encoded already."""
    params = b"" if ops is None else b',"params":{"ops":[' + b",".join(ops) + b"]}"
    return b'{"jsonrpc":"2.0","id":%d,"method":"%s"%s}\n' % (number, method.encode(), params)
