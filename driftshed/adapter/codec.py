"""The wire codec: frames of bytes to typed events, typed orders to bytes. The wire's own names end here."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable, Iterator

from driftshed import interface as face


class BadInput(Exception):
    """What is wrong with the bytes that came, and where."""


class Cursor:
    """Reads values one after the other from a stretch of bytes and never past its end."""

    def __init__(self, data: bytes, at: int, end: int, what: str) -> None:
        self.data, self.at, self.end, self.what = data, at, end, what

    def take(self, count: int) -> bytes:
        if self.at + count > self.end:
            raise BadInput(f"{self.what}: {count} bytes wanted at byte {self.at}, {self.end - self.at} left")
        self.at += count
        return self.data[self.at - count : self.at]

    def number(self, form: str) -> float:
        return struct.unpack("<" + form, self.take(struct.calcsize("<" + form)))[0]

    def counted(self, form: str) -> bytes:
        return self.take(self.number(form))

    def fields(self, kinds: Iterable[str]) -> list:
        return [READERS[kind](self) for kind in kinds]


def _plain(form: str) -> Callable[[Cursor], float]:
    return lambda cursor: cursor.number(form)


def _span(form: str, zero_is_none: bool = False) -> Callable[[Cursor], float | None]:
    def read(cursor: Cursor) -> float | None:
        value = cursor.number(form)
        return None if zero_is_none and not value else value / 1e6

    return read


def _load(cursor: Cursor) -> tuple[float, ...] | None:
    return tuple(cursor.number("f") for _ in range(cursor.number("B"))) or None


def _entries(cursor: Cursor) -> tuple[face.Entry, ...]:
    return tuple(face.Entry(*cursor.fields(ENTRY)) for _ in range(cursor.number("I")))


READERS: dict[str, Callable[[Cursor], object]] = {
    "u8": _plain("B"), "u16": _plain("H"), "u32": _plain("I"), "u64": _plain("Q"), "f32": _plain("f"),
    "bool": lambda cursor: bool(cursor.number("B")),
    "span": _span("I"), "span?": _span("I", True), "time?": _span("Q", True),
    "server": lambda cursor: cursor.take(6),
    "load": _load, "entries": _entries,
    "bytes": lambda cursor: cursor.counted("H"),
    "facts": lambda cursor: read_facts(cursor.counted("I").decode("utf-8", "replace")),
}  # fmt: skip

WRITERS: dict[str, Callable[[object], bytes]] = {
    "u8": struct.Struct("<B").pack, "u16": struct.Struct("<H").pack, "u32": struct.Struct("<I").pack,
    "u64": struct.Struct("<Q").pack, "f32": struct.Struct("<f").pack, "bool": struct.Struct("<?").pack,
    "time": lambda at: struct.pack("<Q", math.ceil(at * 1e6)),  # rounded up: a timer is never early
    "server": bytes,
    "bytes": lambda data: struct.pack("<H", len(data)) + data,
    "text": lambda text: WRITERS["bytes"](text.encode()[:65535]),
}  # fmt: skip

# One row a record: its code, its type, and its fields in order, behind the instance that each record names first.
ENTRY = ("server", "u8", "u16", "time?", "u16", "u8", "f32")
EVENTS: dict[int, tuple[type, tuple[str, ...]]] = {
    256: (face.Applied, ("u32", "u16", "span")),
    257: (face.Start, ("u64", "facts")),
    258: (face.Probed, ("server", "u8", "span", "load")),
    259: (face.Listing, ("u32", "u8", "entries")),
    260: (face.Joined, ("u8", "bool", "u16", "f32")),
    261: (face.Heard, ("u32", "server", "u32", "span", "u8", "span?", "load")),
    262: (face.PeerNote, ("u32", "bytes")),
    263: (face.SliceLine, ("u16", "server", "f32")),
    264: (face.Killed, ()),
    265: (face.Demand, ("u32", "u16", "span", "u32", "u16")),
    266: (face.Left, ("u16",)),
    267: (face.TimerDue, ("u64",)),
    268: (face.SliceDemand, ("u16", "u16", "u32", "u32", "span")),
    269: (face.SliceGiven, ("u16", "bool")),
}
ORDERS: dict[type, tuple[int, tuple[str, ...]]] = {
    face.SetTimer: (256, ("u64", "time")),
    face.Probe: (257, ("server",)),
    face.TellPeer: (258, ("u32", "bytes")),
    face.Log: (259, ("text",)),
    face.Fault: (260, ("text",)),
    face.Subscribe: (261, ("bool",)),
    face.FetchList: (262, ()),
    face.SetLine: (263, ("server", "f32", "u16")),
    face.ClearTable: (264, ("u16",)),
    face.Withdraw: (265, ("bool", "server")),
    face.UseTable: (266, ("u16", "u16", "u16")),
    face.SetLevel: (267, ("u16", "f32", "u16", "u8")),
    face.Mark: (268, ("bool", "u32")),
}


def decode_batch(body: bytes) -> tuple[float, list[tuple[int, object]]]:
    """The clock and the (instance, event) pairs of one frame, its length field taken off."""
    frame = Cursor(body, 0, len(body), "batch")
    now, count = frame.number("Q") / 1e6, frame.number("I")
    events = []
    for place in range(count):
        frame.what = f"record {place + 1} of {count}"
        code, length = frame.number("H"), frame.number("I")
        frame.take(length)
        if code not in EVENTS:
            continue  # a record of a later wire
        kind, fields = EVENTS[code]
        record = Cursor(body, frame.at - length, frame.at, f"{frame.what} (code {code}, {kind.__name__})")
        instance = record.number("I")
        events.append((instance, kind(*record.fields(fields))))
        if record.at != record.end:
            raise BadInput(f"{record.what}: {record.end - record.at} bytes too many at byte {record.at}")
    if frame.at != frame.end:
        raise BadInput(f"batch: {frame.end - frame.at} bytes after the last of {count} records")
    return now, events


def encode_reply(orders: Iterable[tuple[int, object]]) -> bytes:
    """One whole frame for (instance, order) pairs."""
    records = []
    for instance, order in orders:
        code, kinds = ORDERS[type(order)]
        fields = b"".join(WRITERS[kind](value) for kind, value in zip(kinds, order, strict=True))
        records.append(struct.pack("<HII", code, len(fields) + 4, instance) + fields)
    body = struct.pack("<I", len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


# ---- settings text ------------------------------------------------------------------------------------------

EFFECTS = {"retryable": "idempotent", "dedup": "fingerprinted", "fragile": "side-effecting"}
LOADS = {"busy_reqs": "in flight", "pending": "queued", "cpu_share": "utilisation", "svc_ms": "service time",
         "served_ps": "succeeded rate", "failed_ps": "errored rate"}  # fmt: skip
AMOUNTS = {"seconds": lambda text: int(text) / 1e6, "number": float, "count": lambda text: int(float(text)),
           "word": str, "yes": lambda text: text == "true", "words": lambda text: tuple(text.split(",")),
           "loads": lambda text: tuple(LOADS.get(word, word) for word in text.split(",")),
           "effect": EFFECTS.__getitem__, "pushed": lambda text: text == "pushed"}  # fmt: skip

# One row a fact, in the order of the interface's fields: the wire's path, how to read it, and what an absent one is.
OPERATION_FACTS = (
    ("name", "word", ""), ("sloUs", "seconds", None), ("deadlineUs", "seconds", None), ("worth", "number", None),
    ("lateWorth", "number", None), ("effect", "effect", None), ("dedupScope", "word", None),
    ("windowUs", "seconds", None),
)  # fmt: skip
START_FACTS = (
    ("zones", "words", ()), ("hostTypes", "words", ()), ("az", "count", None), ("me", "count", None),
    ("balancers", "count", None), ("registryMode", "pushed", None), ("weightSource", "word", None),
    ("report.fields", "loads", ()), ("report.how", "word", None), ("limits.mayProbe", "yes", False),
    ("limits.peerMessages", "yes", False), ("invariants.fullMayHaveRun", "yes", False),
    ("invariants.onlyDrainingBinds", "yes", False), ("invariants.askWithinUs", "seconds", None),
    ("invariants.coldFrom", "number", None), ("invariants.warmWithinUs", "seconds", None),
    ("invariants.drainGraceUs", "seconds", None), ("invariants.tipMultiple", "number", None),
    ("invariants.fallUs", "seconds", None), ("domain.admit", "word", None), ("domain.queueCap", "number", None),
    ("domain.linesPerS", "number", None), ("domain.perMessage", "number", None), ("domain.transitUs", "seconds", None),
    ("domain.worstTransitUs", "seconds", None), ("domain.pushesAllowed", "count", 0),
    ("domain.messagesOverUs", "seconds", None), ("domain.lineFee", "number", None),
    ("domain.emptyForUs", "seconds", None), ("domain.proxies", "count", None), ("domain.bootstrap", "count", None),
    ("domain.pick", "word", None), ("domain.perTry", "number", None), ("domain.defaultRetry", "count", None),
    ("domain.outlierAfter", "count", None), ("domain.cycleUs", "seconds", None), ("domain.hearsPerS", "number", None),
    ("domain.slices", "count", 0), ("domain.soleOwner", "yes", False), ("domain.keepsWritingUs", "seconds", None),
    ("domain.lingersUs", "seconds", None), ("domain.bufferForUs", "seconds", None),
    ("domain.reassignPrice", "number", None), ("domain.warmKeys", "yes", False), ("domain.minConnCap", "number", None),
    ("limits.dialTimeoutUs", "seconds", None), ("limits.idleCloseUs", "seconds", None),
    ("limits.maxStreams", "count", None), ("quantumUs", "seconds", None),
)  # fmt: skip


def read_facts(text: str) -> face.StartFacts:
    """The start facts of a settings text. Keys that no row names are skipped."""
    given = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def fact(path: str, amount: str, absent: object) -> object:
        try:
            return AMOUNTS[amount](given[path]) if given.get(path, "") != "" else absent
        except (ValueError, KeyError):
            raise BadInput(f"settings: {path}={given[path]} is not one of its kind ({amount})") from None

    writes, local = fact("domain.classWrites", "words", ()), fact("domain.staysLocal", "words", ())
    operations = tuple(
        face.Operation(
            *(fact(f"lanes.{place}.{name}", amount, absent) for name, amount, absent in OPERATION_FACTS),
            writes=writes[place : place + 1] == ("true",),
            stays_local=local[place : place + 1] == ("true",),
        )
        for place in range(fact("lanes.count", "count", 0))
    )
    return face.StartFacts(operations, *(fact(*row) for row in START_FACTS))


def read_frames(stream) -> Iterator[bytes]:
    """The bodies of the frames of a stream, until it ends between two of them."""
    while head := stream.read(4):
        length = struct.unpack("<I", head)[0] if len(head) == 4 else None
        body = stream.read(length) if length is not None else b""
        if length is None or len(body) < length:
            wanted = "4 bytes of length" if length is None else f"{length} bytes"
            raise BadInput(f"frame cut short: {wanted} wanted, {len(body) if length else len(head)} came")
        yield body
