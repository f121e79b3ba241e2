"""Codec of the simulator's protocol: frames of bytes to typed events, typed orders to bytes. Names of the protocol
appear only in this module."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable, Iterator

from driftshed import interface as face
from driftshed.adapter.facts import BadInput, read_facts


class Cursor:
    """Reads consecutive little-endian values from data[position:end]; raises BadInput instead of reading past the
    end."""

    def __init__(self, data: bytes, position: int, end: int, label: str) -> None:
        """`label`: what the bytes are, for error messages."""
        self.data, self.position, self.end, self.label = data, position, end, label

    def read(self, count: int) -> bytes:
        """The next `count` bytes."""
        if self.position + count > self.end:
            raise BadInput(
                f"{self.label}: {count} bytes expected at byte {self.position}, {self.end - self.position} left"
            )
        self.position += count
        return self.data[self.position - count : self.position]

    def read_number(self, form: str) -> float:
        """The next number, in a format of `struct`."""
        return struct.unpack("<" + form, self.read(struct.calcsize("<" + form)))[0]

    def read_counted(self, form: str) -> bytes:
        """Bytes with their length in front of them; `form` is the format of the length."""
        return self.read(self.read_number(form))

    def read_fields(self, kinds: Iterable[str]) -> list:
        """Values of these kinds, the keys of READERS."""
        return [READERS[kind](self) for kind in kinds]


def _read_plain(form: str) -> Callable[[Cursor], float]:
    return lambda cursor: cursor.read_number(form)


def _read_span(form: str, zero_is_none: bool = False) -> Callable[[Cursor], float | None]:
    def read(cursor: Cursor) -> float | None:
        value = cursor.read_number(form)
        return None if zero_is_none and not value else value / 1e6

    return read


def _read_load(cursor: Cursor) -> tuple[float, ...] | None:
    return tuple(cursor.read_number("f") for _ in range(cursor.read_number("B"))) or None


def _read_entries(cursor: Cursor) -> tuple[face.Entry, ...]:
    return tuple(face.Entry(*cursor.read_fields(ENTRY_FIELDS)) for _ in range(cursor.read_number("I")))


READERS: dict[str, Callable[[Cursor], object]] = {
    "u8": _read_plain("B"),
    "u16": _read_plain("H"),
    "u32": _read_plain("I"),
    "u64": _read_plain("Q"),
    "f32": _read_plain("f"),
    "bool": lambda cursor: bool(cursor.read_number("B")),
    "span": _read_span("I"),
    "span?": _read_span("I", True),
    "time?": _read_span("Q", True),
    "server": lambda cursor: cursor.read(6),
    "load": _read_load,
    "entries": _read_entries,
    "bytes": lambda cursor: cursor.read_counted("H"),
    "facts": lambda cursor: read_facts(cursor.read_counted("I").decode("utf-8", "replace")),
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

# One row for each record: code, type and kinds of its fields in order. Each record starts with the instance's number.
ENTRY_FIELDS = ("server", "u8", "u16", "time?", "u16", "u8", "f32")
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
    """The clock in seconds and the (instance, event) pairs of one frame without its length field. Records with unknown
    codes are skipped. Raises BadInput."""
    frame = Cursor(body, 0, len(body), "batch")
    now, count = frame.read_number("Q") / 1e6, frame.read_number("I")
    events = []
    for index in range(count):
        frame.label = f"record {index + 1} of {count}"
        code, length = frame.read_number("H"), frame.read_number("I")
        frame.read(length)
        if code not in EVENTS:
            continue  # a record of a later protocol version
        event_type, fields = EVENTS[code]
        record = Cursor(
            body, frame.position - length, frame.position, f"{frame.label} (code {code}, {event_type.__name__})"
        )
        instance = record.read_number("I")
        events.append((instance, event_type(*record.read_fields(fields))))
        if record.position != record.end:
            raise BadInput(f"{record.label}: {record.end - record.position} bytes too many at byte {record.position}")
    if frame.position != frame.end:
        raise BadInput(f"batch: {frame.end - frame.position} bytes after the last of {count} records")
    return now, events


def encode_reply(orders: Iterable[tuple[int, object]]) -> bytes:
    """One complete frame, with its length field, for (instance, order) pairs."""
    records = []
    for instance, order in orders:
        code, kinds = ORDERS[type(order)]
        fields = b"".join(WRITERS[kind](value) for kind, value in zip(kinds, order, strict=True))
        records.append(struct.pack("<HII", code, len(fields) + 4, instance) + fields)
    body = struct.pack("<I", len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def read_frames(stream) -> Iterator[bytes]:
    """The bodies of the frames of a stream, until it ends. Raises BadInput if it ends within a frame."""
    while header := stream.read(4):
        length = struct.unpack("<I", header)[0] if len(header) == 4 else None
        body = stream.read(length) if length is not None else b""
        if length is None or len(body) < length:
            expected = "4 bytes of length" if length is None else f"{length} bytes"
            raise BadInput(f"frame truncated: {expected} expected, {len(body) if length else len(header)} received")
        yield body
