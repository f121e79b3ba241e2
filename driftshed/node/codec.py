"""Codec of the platform's protocol: messages and notifications to typed events, typed orders to the relay's operations.

Names of the platform's protocol appear only in this module."""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

import msgspec
from msgspec import Raw, Struct

from driftshed import interface as face
from driftshed.adapter.facts import LOAD_FIELDS, format_value

STATES = {"up": face.READY, "draining": face.DRAINING, "removed": face.GONE}
# Load fields have these names in the platform's reports; settings use those of the simulator's protocol.
LOAD_FIELD_NAMES = {
    "inflight": "in flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "service time",
    "qps": "succeeded rate",
    "eps": "errored rate",
} | LOAD_FIELDS
MAX_SERVER_ID_LENGTH = 128  # characters
MAX_COUNT = 2**32
GROUPS_PER_MODULE = 256  # group numbers reserved for the tables of one module; the next module uses the following ones


class InvalidMessage(Exception):
    """A message that cannot be used. Its text is the reason under which dropped messages are counted."""


def parse_server_id(name: object) -> face.Server:
    """The id under which the module knows a server. Raises InvalidMessage."""
    if not isinstance(name, str) or not 0 < len(name) <= MAX_SERVER_ID_LENGTH:
        raise InvalidMessage("a server's id is none")
    return name.encode()


def parse_number(value: object, maximum: float, positive: bool = False) -> float:
    """A finite number from 0 (excluded if `positive`) to `maximum`, from a number or its text. Raises
    InvalidMessage."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise InvalidMessage("a number is none") from None
    if isinstance(value, bool) or not isfinite(number) or not 0 <= number <= maximum or (positive and not number):
        raise InvalidMessage("a number is out of range")
    return number


def parse_count(value: object, maximum: int = MAX_COUNT) -> int:
    """An integer from 0 to `maximum`, from a number or its text. Raises InvalidMessage."""
    number = parse_number(value, maximum)
    if number != int(number):
        raise InvalidMessage("a count is not whole")
    return int(number)


class Names(NamedTuple):
    """A deployment's names of its zones, kinds of servers and operations, in the order of the facts."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    operations: tuple[str, ...]


def _index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    """Index by name, as configured or as written in the facts; the configured one wins where both match."""
    return {format_value(name): index for index, name in enumerate(names)} | {
        name: index for index, name in enumerate(names)
    }


class PlatformCodec:
    """Decodes messages and encodes orders for one deployment: maps names of zones, operations, kinds of servers and
    load fields to their indexes in the facts, and back."""

    def __init__(self, facts: face.StartFacts, unix_to_clock: float, names: Names | None = None) -> None:
        """`unix_to_clock`: seconds to add to unix time to get the module's clock. `names`: as configured; in the facts
        spaces and commas of names are replaced."""
        names = names or Names(facts.zones, facts.kinds, tuple(each.name for each in facts.operations))
        self.zones, self.kinds, self.operations = map(_index_by_name, names)
        self.operation_names = names.operations
        self.load_fields, self.proxies, self.unix_to_clock = facts.load_fields, facts.proxies, unix_to_clock

    def _index(self, indexes: dict[str, int], name: object, what: str) -> int:
        index = indexes.get(name) if isinstance(name, str) else None
        if index is None:
            raise InvalidMessage(f"an unknown {what}")
        return index

    # ---- reports ----------------------------------------------------------------------------------------------

    def decode_report(self, parts: list[bytes], is_listed) -> object:
        """The event of one message of a collector, given as its strings. `is_listed(server)` returns whether the server
        is listed. Raises InvalidMessage."""
        try:
            kind, *rest = [each.decode() for each in parts]
        except UnicodeDecodeError:
            raise InvalidMessage("not text") from None
        fields = dict(zip(rest[::2], rest[1::2], strict=False))
        if len(rest) % 2 or len(fields) * 2 != len(rest):
            raise InvalidMessage("fields without values, or named twice")
        try:
            if kind == "LOAD":
                return self._decode_load(fields, is_listed)
            if kind == "RATE":
                return self._decode_demand(fields)
        except KeyError:
            raise InvalidMessage("a field is missing") from None
        raise InvalidMessage("no kind of report")

    def _decode_load(self, fields: dict[str, str], is_listed) -> face.Heard:
        name = parse_server_id(fields["target"])
        if not is_listed(name):
            raise InvalidMessage("an unknown server")
        tries, errored = parse_count(fields["count"]), parse_count(fields["fail"])
        if errored > tries:
            raise InvalidMessage("more failures than tries")
        mean = parse_number(fields["mean"], 1e7) / 1000 if fields.get("mean", "") != "" else 0.0
        if "mean" not in fields and errored < tries:
            raise InvalidMessage("a field is missing")
        load = self._decode_load_fields(fields["util"]) if fields.get("util") else None
        zone = self._index(self.zones, fields["site"], "zone")
        return face.Heard(errored, name, tries, self._decode_window(fields), zone, mean or None, load)

    def _decode_load_fields(self, text: str) -> tuple[float, ...]:
        values = {}
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            name = LOAD_FIELD_NAMES.get(name, name)  # a deployment may define its own fields
            if not colon or name not in self.load_fields or name in values:
                raise InvalidMessage("an unknown load field")
            values[name] = parse_number(value, 1e12)
        if len(values) != len(self.load_fields):
            raise InvalidMessage("a load field is missing")
        return tuple(values[name] for name in self.load_fields)

    def _decode_demand(self, fields: dict[str, str]) -> face.Demand:
        operation = self._index(self.operations, fields["lane"], "operation")
        arrived, errored = parse_count(fields["count"]), parse_count(fields["fail"])
        return face.Demand(arrived, self._decode_proxy(fields["id"]), self._decode_window(fields), errored, operation)

    def _decode_window(self, fields: dict[str, str]) -> float:
        return parse_number(fields["over"], 1e7, positive=True) / 1000

    def _decode_proxy(self, value: object) -> int:
        proxy = parse_count(value)
        if proxy >= self.proxies:
            raise InvalidMessage("an unknown proxy")
        return proxy

    # ---- notifications of the relay ---------------------------------------------------------------------------

    def decode_notification(self, method: str, params: Raw) -> object:
        """The event of a notification; None if there is none for its method. Raises InvalidMessage."""
        if method not in ("SUBSCRIBE", "CLOSED", "ACK"):
            return None
        try:
            fields = msgspec.json.decode(params)
            proxy = self._decode_proxy(fields["id"])
            if method == "CLOSED":
                return face.Left(proxy)
            if method == "ACK":
                return face.Applied(parse_count(fields["seq"]), proxy, parse_number(fields["ms"], 1e9) / 1000)
            zone = self._index(self.zones, fields["site"], "zone")
            return face.Joined(zone, bool(fields["new"]), proxy, parse_number(fields["rps"], 1e9))
        except (msgspec.DecodeError, KeyError, TypeError):
            raise InvalidMessage("a notification with missing fields") from None

    # ---- the list ---------------------------------------------------------------------------------------------

    def decode_listing(
        self, document: object, kind: int | None = None, skipped: list[str] | None = None
    ) -> face.Listing:
        """The event of a list of servers or a change of it; `kind` replaces the kind that the document states.

        Raises InvalidMessage, and then nothing of the document is used. If `skipped` is passed, invalid entries are
        left out instead and their descriptions are appended to it."""
        try:
            version, is_full = parse_count(document["version"]), document["full"] is True
            entries: dict[face.Server, face.Entry] = {}
            for each in document["servers"]:
                try:
                    entry = self._decode_entry(each)
                except (InvalidMessage, KeyError, TypeError, AttributeError) as error:
                    if skipped is None:
                        raise
                    skipped.append(f"{error}: {each!r}"[:200])
                    continue
                entries[entry.server] = entry
        except (KeyError, TypeError, AttributeError):
            raise InvalidMessage("a list with missing fields") from None
        if kind is None:
            kind = face.FULL if is_full else face.DELTA
        return face.Listing(version, kind, tuple(entries.values()))

    def _decode_entry(self, each: dict) -> face.Entry:
        state = STATES.get(each["state"])
        if state is None:
            raise InvalidMessage("an unknown state")
        started = parse_number(each.get("started_ms", 0) or 0, 1e15)
        return face.Entry(
            parse_server_id(each["id"]),
            self._index(self.zones, each["zone"], "zone"),
            self._index(self.kinds, each["kind"], "kind"),
            started / 1000 + self.unix_to_clock if started else None,
            parse_count(each.get("cell", 0)),
            state,
            parse_number(each.get("weight", 1.0), 1e12),
        )

    # ---- orders -----------------------------------------------------------------------------------------------

    def encode_order(self, order: object, first_group: int) -> dict | None:
        """The relay's operation for an order; None for an order that is not sent to the relay. `first_group`: the group
        number of the current module's table 0."""
        if isinstance(order, face.SetLine):
            return {
                "do": "put",
                "group": first_group + order.table,
                "target": order.server.decode(),
                "rps": order.weight,
            }
        if isinstance(order, face.Withdraw):
            return {"do": "eject" if order.on else "uneject", "target": order.server.decode()}
        if isinstance(order, face.UseTable):
            op = {"do": "attach", "id": order.proxy, "group": first_group + order.table}
            return op | self._classes(order.operations)
        if isinstance(order, face.SetLevel):
            group = "*" if order.table == face.EVERY_TABLE else first_group + order.table
            op = {"do": "gate", "group": group} | self._classes(order.operations)
            return op | {"level": order.level, "retry": order.tries}
        if isinstance(order, face.ClearTable):
            return {"do": "wipe", "group": first_group + order.table}
        if isinstance(order, face.Mark):
            return {"do": "fence", "ticket": order.mark, "flag": int(order.everyone)}
        return None

    def _classes(self, operations: int) -> dict:
        if operations == face.ALL_OPERATIONS:
            return {}
        return {"classes": [name for index, name in enumerate(self.operation_names) if operations >> index & 1]}


class Message(Struct):
    """One line from the relay: an answer or a notification."""

    id: int | None = None
    method: str = ""
    params: Raw = Raw(b"null")
    result: Raw = Raw()
    error: Raw = Raw()


class ApplyResult(Struct):
    """The result of a call: how many operations were accepted, counted from the first."""

    accepted: int


MESSAGE_DECODER, APPLY_RESULT_DECODER = msgspec.json.Decoder(Message), msgspec.json.Decoder(ApplyResult)


def encode_call(request_id: int, method: str, ops: list[bytes] | None = None) -> bytes:
    """A JSON-RPC call to the relay as one line; each of `ops` is encoded JSON."""
    params = b"" if ops is None else b',"params":{"ops":[' + b",".join(ops) + b"]}"
    return b'{"jsonrpc":"2.0","id":%d,"method":"%s"%s}\n' % (request_id, method.encode(), params)
