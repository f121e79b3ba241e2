"""The frame of a trace file, bytes alone: the header, blocks that can each be read alone, the index, the end mark."""

from __future__ import annotations

import struct
from typing import NamedTuple

import msgspec
import xxhash
import zstandard

from driftshed.trace.columns import (
    MAX_PAYLOAD_BYTES,
    MAX_RECORDS,
    Batch,
    TraceError,
    column_values,
    make_column,
    pack,
    unpack,
)

MAJOR, MINOR = 1, 0
MAGIC, SYNC, END = b"DSTRACE\n", b"\xd5DSB", b"DSTREND\n"
HEAD = struct.Struct("<8sHHI")  # magic, major, minor, length of what follows; then that, and xxh64 of all before
BLOCK = struct.Struct("<4sIHH")  # sync, stored length, meta length, 0; meta; xxh32 of both; payload; xxh64 of it
TAIL = struct.Struct("<Q8s")  # where the index block begins, and the end mark
MOST_HEAD, MOST_META = 1 << 16, 4096
INDEX = "#index"
LEVEL = 6  # of zstandard


class Meta(NamedTuple):
    """What a block says of itself: first and last time in whole microseconds; length of its payload unpacked."""

    kind: str
    source: str
    records: int
    first: int
    last: int
    raw: int


class Place(NamedTuple):
    """A block and where it stands."""

    offset: int
    length: int
    meta: Meta


def head_bytes(about: dict, minor: int = MINOR) -> bytes:
    body = msgspec.msgpack.encode(about)
    head = HEAD.pack(MAGIC, MAJOR, minor, len(body)) + body
    return head + struct.pack("<Q", xxhash.xxh64_intdigest(head))


def read_head(data: bytes) -> tuple[dict, int, int]:
    """What the header says, the minor version, and its length. TraceError where it is none of ours."""
    if len(data) < HEAD.size or data[:8] != MAGIC:
        raise TraceError("this is no trace file: it does not begin as one")
    _, major, minor, size = HEAD.unpack_from(data)
    if major != MAJOR:
        raise TraceError(f"trace format {major}.{minor}: this program reads version {MAJOR} alone; use a newer one")
    end = HEAD.size + size
    if size > MOST_HEAD or len(data) < end + 8:
        raise TraceError("the header is cut short")
    if struct.unpack_from("<Q", data, end)[0] != xxhash.xxh64_intdigest(data[:end]):
        raise TraceError("the header is damaged: its checksum does not fit")
    try:
        about = msgspec.msgpack.decode(data[HEAD.size : end], type=dict)
    except msgspec.DecodeError:
        raise TraceError("the header is damaged: it cannot be read") from None
    return about, minor, end + 8


def block_bytes(batch: Batch) -> tuple[bytes, Meta]:
    """A batch as a block. TraceError where it holds more than a block may."""
    raw = pack(batch)
    if len(raw) > MAX_PAYLOAD_BYTES:
        raise TraceError(f"a block of {len(raw)} bytes; {MAX_PAYLOAD_BYTES} are the most")
    at = batch.columns["at"][1] if "at" in batch.columns and batch.size else None
    first, last = (int(at.min()), int(at.max())) if at is not None else (0, 0)
    meta = Meta(batch.kind, batch.source, batch.size, first, last, len(raw))
    return seal(meta, zstandard.ZstdCompressor(level=LEVEL).compress(raw)), meta


def seal(meta: Meta, stored: bytes) -> bytes:
    about = msgspec.msgpack.encode(meta)
    head = BLOCK.pack(SYNC, len(stored), len(about), 0) + about
    sums = struct.pack("<I", xxhash.xxh32_intdigest(head)), struct.pack("<Q", xxhash.xxh64_intdigest(stored))
    return head + sums[0] + stored + sums[1]


def read_meta(data: bytes, offset: int) -> Place:
    """The block whose first bytes these are, at an offset of its file, by its head alone. TraceError where there is no
    sound head of a block."""
    if data[:4] != SYNC or len(data) < BLOCK.size:
        raise TraceError(f"no block begins at byte {offset}")
    _, stored, size, _ = BLOCK.unpack_from(data)
    end = BLOCK.size + size
    if size > MOST_META or len(data) < end + 4:
        raise TraceError(f"the block at byte {offset} is cut short")
    if struct.unpack_from("<I", data, end)[0] != xxhash.xxh32_intdigest(data[:end]):
        raise TraceError(f"the block at byte {offset} is damaged in its head")
    try:
        meta = msgspec.msgpack.decode(data[BLOCK.size : end], type=Meta)
    except msgspec.DecodeError:
        raise TraceError(f"the block at byte {offset} is damaged in its head") from None
    return Place(offset, BLOCK.size + size + 4 + stored + 8, meta)


def read_payload(data: bytes, place: Place) -> bytes:
    """A block's payload, unpacked, from the bytes of that block alone."""
    where = f"the block at byte {place.offset}"
    if len(data) < place.length:
        raise TraceError(f"{where} is cut short")
    _, stored, size, _ = BLOCK.unpack_from(data)
    start = BLOCK.size + size + 4
    payload = data[start : start + stored]
    if len(payload) != stored or struct.unpack_from("<Q", data, start + stored)[0] != xxhash.xxh64_intdigest(payload):
        raise TraceError(f"{where} is damaged: its checksum does not fit")
    if not 0 <= place.meta.raw <= MAX_PAYLOAD_BYTES:
        raise TraceError(f"{where} claims {place.meta.raw} bytes; {MAX_PAYLOAD_BYTES} are the most")
    try:
        # Guards against a small block that unpacks without end: never more than it claims.
        stream = zstandard.ZstdDecompressor().decompressobj()
        raw = stream.decompress(payload) if _claims(payload) <= place.meta.raw else b""
    except zstandard.ZstdError as error:
        raise TraceError(f"{where} cannot be unpacked: {error}") from None
    if len(raw) != place.meta.raw:
        raise TraceError(f"{where} unpacks to {len(raw)} bytes, not to {place.meta.raw}")
    return raw


def _claims(payload: bytes) -> int:
    size = zstandard.frame_content_size(payload)
    return size if size >= 0 else MAX_PAYLOAD_BYTES + 1


def read_batch(data: bytes, place: Place) -> Batch:
    """The batch of a block. TraceError names the block where it cannot be read."""
    try:
        batch = unpack(read_payload(data, place))
    except TraceError as error:
        text = str(error)
        raise TraceError(text if "at byte" in text else f"the block at byte {place.offset}: {text}") from None
    if (batch.kind, batch.source, batch.size) != place.meta[:3]:
        raise TraceError(f"the block at byte {place.offset} holds something else than its head says")
    return batch


def index_batches(places: list[Place]) -> list[Batch]:
    """The index as batches of kind `#index`, a record for each block."""
    batches = []
    for start in range(0, max(1, len(places)), MAX_RECORDS):
        some = places[start : start + MAX_RECORDS]
        columns = {"at": ("t", make_column("t", [place.meta.first for place in some]))}
        for name, kind, values_of in (
            ("last", "t", [place.meta.last for place in some]),
            ("offset", "i", [place.offset for place in some]),
            ("length", "i", [place.length for place in some]),
            ("kind", "s", [place.meta.kind for place in some]),
            ("source", "s", [place.meta.source for place in some]),
            ("raw", "i", [place.meta.raw for place in some]),
            ("records", "i", [place.meta.records for place in some]),
        ):
            columns[name] = kind, make_column(kind, values_of)
        batches.append(Batch(INDEX, "", columns))
    return batches


def read_index(batch: Batch) -> list[Place]:
    """The places that an index batch tells; TraceError where it is none."""
    wanted = dict(zip(("at", "last", "offset", "length", "kind", "source", "raw", "records"), "ttiissii", strict=True))
    if batch.kind != INDEX or {name: kind for name, (kind, _) in batch.columns.items()} != wanted:
        raise TraceError("the index is not one")
    plain = {name: column_values(kind, column) for name, (kind, column) in batch.columns.items()}
    order = ("offset", "length", "kind", "source", "records", "at", "last", "raw")
    rows = zip(*(plain[name] for name in order), strict=True)
    return [Place(offset, length, Meta(*meta)) for offset, length, *meta in rows]


def tail_bytes(offset: int) -> bytes:
    """The end of a file whose index begins at an offset."""
    return TAIL.pack(offset, END)
