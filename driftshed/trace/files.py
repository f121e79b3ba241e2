"""Reading trace files block by block, also damaged ones, and writing them."""

from __future__ import annotations

import heapq
import os
import struct
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, NamedTuple

import numpy as np

from driftshed.trace.columns import MAX_RECORDS, Batch, TraceError, concatenate
from driftshed.trace.framing import (
    BLOCK_HEADER,
    BLOCK_MAGIC,
    END_MAGIC,
    HEADER,
    INDEX_KIND,
    MAX_HEADER_BYTES,
    MAX_META_BYTES,
    MINOR,
    TRAILER,
    BlockEntry,
    encode_block,
    header_bytes,
    index_batches,
    read_batch,
    read_block_header,
    read_header,
    read_index,
    trailer_bytes,
)
from driftshed.trace.schema import expand_invocations, to_rows

SCAN_CHUNK_BYTES = 1 << 20
RECORDS_PER_BLOCK = 8192  # written by default; readers accept up to MAX_RECORDS


class Damage(NamedTuple):
    """A position of a file at which no intact block could be read, and the reason."""

    offset: int
    why: str


class TraceFile:
    """A trace file open for reading. `blocks`: its blocks, from its index if that is valid (`indexed`), else found by
    scanning the file. `damages`: the damage found so far, by the scan and by reading blocks."""

    def __init__(self, path: Path | str, scan: bool = False) -> None:
        """Opens the file; `scan` ignores its index. Raises TraceError if it cannot be opened or has no valid header."""
        self.path = Path(path)
        try:
            self.file = self.path.open("rb")
        except OSError as error:
            raise TraceError(f"{path}: {error.strerror}") from None
        self.size = os.fstat(self.file.fileno()).st_size
        try:
            self.about, self.minor, self.data_start = read_header(self.file.read(HEADER.size + MAX_HEADER_BYTES + 8))
        except TraceError as error:
            self.file.close()
            raise TraceError(f"{path}: {error}") from None
        self.damages: list[Damage] = []
        blocks = None if scan else self._read_index()
        self.indexed = blocks is not None
        self.blocks: list[BlockEntry] = list(self._scan_blocks()) if blocks is None else blocks

    def __enter__(self) -> TraceFile:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def read_bytes(self, offset: int, size: int) -> bytes:
        """Up to `size` bytes at `offset`; fewer at the end of the file."""
        self.file.seek(offset)
        return self.file.read(size)

    def _block_at(self, offset: int) -> BlockEntry:
        return read_block_header(self.read_bytes(offset, BLOCK_HEADER.size + MAX_META_BYTES + 4), offset)

    def _read_index(self) -> list[BlockEntry] | None:
        """Reads the index at the end of the file; None if there is none, or if it does not describe the file
        exactly."""
        try:
            index_start, magic = TRAILER.unpack(self.read_bytes(max(0, self.size - TRAILER.size), TRAILER.size))
            if magic != END_MAGIC or not self.data_start <= index_start < self.size:
                return None
            blocks, offset = [], index_start
            while offset < self.size - TRAILER.size:
                block = self._block_at(offset)
                blocks += read_index(read_batch(self.read_bytes(offset, block.length), block))
                offset += block.length
            ends = [self.data_start, *(each.offset + each.length for each in blocks)]
            contiguous = [each.offset for each in blocks] + [index_start] == ends
            return blocks if contiguous and offset + TRAILER.size == self.size else None
        except (TraceError, struct.error):
            return None

    def _scan_blocks(self) -> Iterator[BlockEntry]:
        """Finds the blocks without the index, for files whose index is missing or outdated, or that are damaged: reads
        block headers from the start of the data, and after damage continues at the next block magic."""
        offset = self.data_start
        while offset < self.size:
            try:
                block = self._block_at(offset)
                if offset + block.length > self.size:
                    raise TraceError(f"the block at byte {offset} is truncated")
            except TraceError as error:
                if self.read_bytes(offset, TRAILER.size)[8:] == END_MAGIC:
                    offset += TRAILER.size
                    continue
                self.damages.append(Damage(offset, str(error)))
                offset = self._find_block_magic(offset + 1)
                continue
            if block.meta.kind != INDEX_KIND:
                yield block
            offset += block.length

    def _find_block_magic(self, offset: int) -> int:
        """The offset of the next block magic, or the end of the file."""
        while offset < self.size:
            data = self.read_bytes(offset, SCAN_CHUNK_BYTES)
            found = data.find(BLOCK_MAGIC)
            if found >= 0:
                return offset + found
            offset += max(1, len(data) - len(BLOCK_MAGIC) + 1)
        return self.size

    def read(self, block: BlockEntry) -> Batch:
        """Reads the batch of a block. Raises TraceError if it is damaged."""
        return read_batch(self.read_bytes(block.offset, block.length), block)

    def batches(self, kinds: set[str] | None = None, strict: bool = False) -> Iterator[Batch]:
        """All readable batches in file order. A damaged block is added to `damages`, or with `strict` raises
        TraceError."""
        for block in self.blocks:
            if kinds is None or block.meta.kind in kinds:
                try:
                    yield self.read(block)
                except TraceError as error:
                    if strict:
                        raise
                    self.damages.append(Damage(block.offset, str(error)))

    def streams(self, kinds: set[str] | None = None) -> dict[tuple[str, str], list[BlockEntry]]:
        """The blocks of each (kind, source), in the order of writing."""
        streams: dict[tuple[str, str], list[BlockEntry]] = defaultdict(list)
        for block in self.blocks:
            if kinds is None or block.meta.kind in kinds:
                streams[block.meta.kind, block.meta.source].append(block)
        return streams

    def records_by_time(self, kinds: set[str] | None = None) -> Iterator[tuple[Batch, dict]]:
        """All records by time, each as (its batch, its row). Memory is bounded: one block of each kind and source is
        decoded at a time. Records of equal time are ordered by source, then by `seq`; records of one kind and source
        stay in the order of writing. Damaged blocks are skipped and added to `damages`."""

        def records(key: tuple[str, str], blocks: list[BlockEntry]) -> Iterator[tuple]:
            for block in blocks:
                try:
                    batch = expand_invocations(self.read(block))
                except TraceError as error:
                    self.damages.append(Damage(block.offset, str(error)))
                    continue
                seqs = batch.ints("seq").tolist() if "seq" in batch.columns else range(batch.size)
                for at, seq, row in zip(batch.ints("at").tolist(), seqs, to_rows(batch), strict=True):
                    yield at, key[1], seq, key[0], row, batch

        streams = [records(key, blocks) for key, blocks in self.streams(kinds).items()]
        for *_, row, batch in heapq.merge(*streams, key=lambda each: each[:4]):
            yield batch, row


class TraceFileWriter:
    """Writes a trace file: blocks in the order of the calls, and the index on `close`."""

    def __init__(self, path: Path | str, about: dict, minor: int = MINOR, file: BinaryIO | None = None) -> None:
        """Creates the file, which must not exist, and writes its header; or writes to `file`, which must be
        unbuffered."""
        self.path = Path(path)
        self.blocks: list[BlockEntry] = []
        header = header_bytes(about, minor)
        self.file = file if file is not None else self.path.open("xb", buffering=0)
        self._write(header)
        self.offset = len(header)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]

    def write_batch(self, batch: Batch) -> None:
        """Writes a batch as one block, or as several if it has more than MAX_RECORDS records."""
        for start in range(0, batch.size, MAX_RECORDS):
            rows = np.arange(start, min(batch.size, start + MAX_RECORDS))
            data, meta = encode_block(batch if batch.size <= MAX_RECORDS else batch.select(rows))
            self.write_block(data, BlockEntry(self.offset, len(data), meta))

    def write_block(self, data: bytes, block: BlockEntry) -> None:
        """Writes an encoded block; the offset in `block` is ignored. After an OSError the file is truncated to its
        previous length, so that no partial block remains."""
        try:
            self._write(data)
        except OSError:
            self.file.seek(self.offset)
            self.file.truncate()
            raise
        self.blocks.append(BlockEntry(self.offset, block.length, block.meta))
        self.offset += block.length

    def sync(self) -> None:
        """Flushes the file to disk (fsync)."""
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Writes index and trailer and closes the file. A file without them is still readable: readers scan it."""
        try:
            for batch in index_batches(self.blocks):
                self._write(encode_block(batch)[0])
            self._write(trailer_bytes(self.offset))
            self.sync()
        finally:
            self.file.close()


class BlockCollector:
    """Collects batches per kind, source and set of columns, and writes them as blocks of at least `records_per_block`
    records. `close` also closes the writer."""

    def __init__(self, writer: TraceFileWriter, records_per_block: int = RECORDS_PER_BLOCK) -> None:
        """Writes to `writer`, which it owns from then on."""
        self.writer, self.records_per_block = writer, records_per_block
        self.pending: dict[tuple, list[Batch]] = {}

    def add(self, batch: Batch) -> None:
        """Adds a batch; an empty one is ignored."""
        if not batch.size:
            return
        key = batch.kind, batch.source, tuple((name, kind) for name, (kind, _) in batch.columns.items())
        pending = self.pending.setdefault(key, [])
        pending.append(batch)
        if sum(each.size for each in pending) >= self.records_per_block:
            self.writer.write_batch(concatenate(self.pending.pop(key)))

    def close(self) -> None:
        """Writes the remaining records and closes the writer."""
        for pending in self.pending.values():
            self.writer.write_batch(concatenate(pending))
        self.pending.clear()
        self.writer.close()
