"""The framing of a trace file as bytes, without I/O: the header, independently readable blocks, the index and the
trailer."""

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
MAGIC, BLOCK_MAGIC, END_MAGIC = b"DSTRACE\n", b"\xd5DSB", b"DSTREND\n"
HEADER = struct.Struct("<8sHHI")  # magic, major, minor, length of the body; then the body, and xxh64 of all before
# Magic, length of the compressed payload, length of the meta, 0; then the meta, xxh32 of both, the compressed payload,
# and xxh64 of that.
BLOCK_HEADER = struct.Struct("<4sIHH")
TRAILER = struct.Struct("<Q8s")  # offset of the first index block, and the end magic
MAX_HEADER_BYTES, MAX_META_BYTES = 1 << 16, 4096
INDEX_KIND = "#index"
COMPRESSION_LEVEL = 6  # of Zstandard


class BlockMeta(NamedTuple):
    """Describes the content of a block: first and last record time in whole microseconds, and the size of the
    uncompressed payload in bytes. Stored as an array in this order."""

    kind: str
    source: str
    records: int
    first_us: int
    last_us: int
    payload_size: int


class BlockEntry(NamedTuple):
    """A block with its offset and length in the file, both in bytes."""

    offset: int
    length: int
    meta: BlockMeta


def header_bytes(about: dict, minor: int = MINOR) -> bytes:
    """Encodes the header of a file. `about`: the description of the trace."""
    body = msgspec.msgpack.encode(about)
    header = HEADER.pack(MAGIC, MAJOR, minor, len(body)) + body
    return header + struct.pack("<Q", xxhash.xxh64_intdigest(header))


def read_header(data: bytes) -> tuple[dict, int, int]:
    """Decodes the header: the description of the trace, the minor version, and the length of the header in bytes.
    Raises TraceError if it is not a trace header, is damaged, or has another major version."""
    if len(data) < HEADER.size or data[:8] != MAGIC:
        raise TraceError("this is no trace file: it does not begin with the magic bytes")
    _, major, minor, size = HEADER.unpack_from(data)
    if major != MAJOR:
        raise TraceError(f"trace format {major}.{minor}: this program reads only version {MAJOR}; use a newer one")
    end = HEADER.size + size
    if size > MAX_HEADER_BYTES or len(data) < end + 8:
        raise TraceError("the header is truncated")
    if struct.unpack_from("<Q", data, end)[0] != xxhash.xxh64_intdigest(data[:end]):
        raise TraceError("the header is damaged: checksum mismatch")
    try:
        about = msgspec.msgpack.decode(data[HEADER.size : end], type=dict)
    except msgspec.DecodeError:
        raise TraceError("the header is damaged: it cannot be decoded") from None
    return about, minor, end + 8


def encode_block(batch: Batch) -> tuple[bytes, BlockMeta]:
    """Encodes a batch as a block. Raises TraceError if the payload exceeds MAX_PAYLOAD_BYTES."""
    payload = pack(batch)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise TraceError(f"block payload of {len(payload)} bytes; the limit is {MAX_PAYLOAD_BYTES}")
    times = batch.columns["at"][1] if "at" in batch.columns and batch.size else None
    first_us, last_us = (int(times.min()), int(times.max())) if times is not None else (0, 0)
    meta = BlockMeta(batch.kind, batch.source, batch.size, first_us, last_us, len(payload))
    return frame_block(meta, zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(payload)), meta


def frame_block(meta: BlockMeta, compressed: bytes) -> bytes:
    """Adds the block header and both checksums to a compressed payload."""
    encoded_meta = msgspec.msgpack.encode(meta)
    header = BLOCK_HEADER.pack(BLOCK_MAGIC, len(compressed), len(encoded_meta), 0) + encoded_meta
    checksums = struct.pack("<I", xxhash.xxh32_intdigest(header)), struct.pack("<Q", xxhash.xxh64_intdigest(compressed))
    return header + checksums[0] + compressed + checksums[1]


def read_block_header(data: bytes, offset: int) -> BlockEntry:
    """Reads the header of the block whose first bytes are `data`; `offset` is its position in the file. The payload
    need not be present. Raises TraceError if there is no intact block header."""
    if data[:4] != BLOCK_MAGIC or len(data) < BLOCK_HEADER.size:
        raise TraceError(f"no block starts at byte {offset}")
    _, compressed_size, meta_size, _ = BLOCK_HEADER.unpack_from(data)
    end = BLOCK_HEADER.size + meta_size
    if meta_size > MAX_META_BYTES or len(data) < end + 4:
        raise TraceError(f"the block at byte {offset} is truncated")
    if struct.unpack_from("<I", data, end)[0] != xxhash.xxh32_intdigest(data[:end]):
        raise TraceError(f"the header of the block at byte {offset} is damaged")
    try:
        meta = msgspec.msgpack.decode(data[BLOCK_HEADER.size : end], type=BlockMeta)
    except msgspec.DecodeError:
        raise TraceError(f"the header of the block at byte {offset} is damaged") from None
    return BlockEntry(offset, BLOCK_HEADER.size + meta_size + 4 + compressed_size + 8, meta)


def read_payload(data: bytes, block: BlockEntry) -> bytes:
    """The decompressed payload of a block; `data` is the whole block. Raises TraceError if it is truncated or
    damaged."""
    where = f"the block at byte {block.offset}"
    if len(data) < block.length:
        raise TraceError(f"{where} is truncated")
    _, compressed_size, meta_size, _ = BLOCK_HEADER.unpack_from(data)
    start = BLOCK_HEADER.size + meta_size + 4
    compressed = data[start : start + compressed_size]
    if len(compressed) != compressed_size or struct.unpack_from("<Q", data, start + compressed_size)[
        0
    ] != xxhash.xxh64_intdigest(compressed):
        raise TraceError(f"{where} is damaged: checksum mismatch")
    if not 0 <= block.meta.payload_size <= MAX_PAYLOAD_BYTES:
        raise TraceError(
            f"{where} declares a payload of {block.meta.payload_size} bytes; the limit is {MAX_PAYLOAD_BYTES}"
        )
    try:
        # Guards against decompression bombs: a block is never decompressed to more than its meta declares.
        decompressor = zstandard.ZstdDecompressor().decompressobj()
        payload = decompressor.decompress(compressed) if _declared_size(compressed) <= block.meta.payload_size else b""
    except zstandard.ZstdError as error:
        raise TraceError(f"{where} cannot be decompressed: {error}") from None
    if len(payload) != block.meta.payload_size:
        raise TraceError(f"{where} decompresses to {len(payload)} bytes instead of {block.meta.payload_size}")
    return payload


def _declared_size(compressed: bytes) -> int:
    """The decompressed size from the Zstandard frame header; over every limit where the frame does not state it."""
    size = zstandard.frame_content_size(compressed)
    return size if size >= 0 else MAX_PAYLOAD_BYTES + 1


def read_batch(data: bytes, block: BlockEntry) -> Batch:
    """Decodes the batch of a block; `data` is the whole block. Raises TraceError with the offset of the block if it
    cannot be read."""
    try:
        batch = unpack(read_payload(data, block))
    except TraceError as error:
        text = str(error)
        raise TraceError(text if "at byte" in text else f"the block at byte {block.offset}: {text}") from None
    if (batch.kind, batch.source, batch.size) != block.meta[:3]:
        raise TraceError(f"the content of the block at byte {block.offset} does not match its header")
    return batch


def index_batches(blocks: list[BlockEntry]) -> list[Batch]:
    """Encodes the index as batches of kind `#index` with one record per block; at least one batch."""
    batches = []
    for start in range(0, max(1, len(blocks)), MAX_RECORDS):
        part = blocks[start : start + MAX_RECORDS]
        columns = {"at": ("t", make_column("t", [block.meta.first_us for block in part]))}
        for name, column_type, values in (
            ("last", "t", [block.meta.last_us for block in part]),
            ("offset", "i", [block.offset for block in part]),
            ("length", "i", [block.length for block in part]),
            ("kind", "s", [block.meta.kind for block in part]),
            ("source", "s", [block.meta.source for block in part]),
            ("raw", "i", [block.meta.payload_size for block in part]),
            ("records", "i", [block.meta.records for block in part]),
        ):
            columns[name] = column_type, make_column(column_type, values)
        batches.append(Batch(INDEX_KIND, "", columns))
    return batches


def read_index(batch: Batch) -> list[BlockEntry]:
    """Decodes one batch of the index. Raises TraceError if it is not one."""
    expected = dict(
        zip(("at", "last", "offset", "length", "kind", "source", "raw", "records"), "ttiissii", strict=True)
    )
    if batch.kind != INDEX_KIND or {name: kind for name, (kind, _) in batch.columns.items()} != expected:
        raise TraceError("the index has other columns than expected")
    values = {name: column_values(kind, column) for name, (kind, column) in batch.columns.items()}
    order = ("offset", "length", "kind", "source", "records", "at", "last", "raw")
    rows = zip(*(values[name] for name in order), strict=True)
    return [BlockEntry(offset, length, BlockMeta(*meta)) for offset, length, *meta in rows]


def trailer_bytes(offset: int) -> bytes:
    """Encodes the trailer of a file whose index starts at `offset`."""
    return TRAILER.pack(offset, END_MAGIC)
