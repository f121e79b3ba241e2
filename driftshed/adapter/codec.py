"""The wire codec: frames of bytes to typed events, typed orders to bytes. The wire's own names end here."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable, Iterator

from driftshed import interface as face
from driftshed.adapter.facts import BadInput, read_facts


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
    "u8": _plain("B"),
    "u16": _plain("H"),
    "u32": _plain("I"),
    "u64": _plain("Q"),
    "f32": _plain("f"),
    "bool": lambda cursor: bool(cursor.number("B")),
    "span": _span("I"),
    "span?": _span("I", True),
    "time?": _span("Q", True),
    "server": lambda cursor: cursor.take(6),
    "load": _load,
    "entries": _entries,
    "bytes": lambda cursor: cursor.counted("H"),
    "facts": lambda cursor: read_facts(cursor.counted("I").decode("utf-8", "replace")),
}

WRITERS: dict[str, Callable[[object], bytes]] = {
    "u8": struct.Struct("<B").pack,
    "u16": struct.Struct("<H").pack,
    "u32": struct.Struct("<I").pack,
    "u64": struct.Struct("<Q").pack,
    "f32": struct.Struct("<f").pack,
    "bool": struct.Struct("<?").pack,
    "time": lambda at: struct.pack("<Q", math.ceil(at * 1e6)),  # rounded up: a timer is never early
    "server": bytes,
    "bytes": lambda data: struct.pack("<H", len(data)) + data,
    "text": lambda text: WRITERS["bytes"](text.encode()[:65535]),
}

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


def read_frames(stream) -> Iterator[bytes]:
    """The bodies of the frames of a stream, until it ends between two of them."""
    while head := stream.read(4):
        length = struct.unpack("<I", head)[0] if len(head) == 4 else None
        body = stream.read(length) if length is not None else b""
        if length is None or len(body) < length:
            wanted = "4 bytes of length" if length is None else f"{length} bytes"
            raise BadInput(f"frame cut short: {wanted} wanted, {len(body) if length else len(head)} came")
        yield body
