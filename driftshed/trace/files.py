"""Trace files: reading them block by block, whatever is wrong with them, and writing them."""

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

CHUNK = 1 << 20
BLOCK_RECORDS = 8192  # that writers put in a block


class Damage(NamedTuple):
    """A stretch of a file that is no sound block."""

    offset: int
    why: str


class TraceFile:
    """A trace open for reading. `places`: its blocks, by its index where it has a sound one, else found by looking.
    `indexed` says which; `damages`: what is not sound, as far as was looked."""

    def __init__(self, path: Path | str, look: bool = False) -> None:
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
        places = None if look else self._by_index()
        self.indexed = places is not None
        self.places: list[BlockEntry] = list(self._by_looking()) if places is None else places

    def __enter__(self) -> TraceFile:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def bytes_at(self, offset: int, size: int) -> bytes:
        self.file.seek(offset)
        return self.file.read(size)

    def _place_at(self, offset: int) -> BlockEntry:
        return read_block_header(self.bytes_at(offset, BLOCK_HEADER.size + MAX_META_BYTES + 4), offset)

    def _by_index(self) -> list[BlockEntry] | None:
        """The index at the end; None where there is none, or it is not of this file as it stands."""
        try:
            at, mark = TRAILER.unpack(self.bytes_at(max(0, self.size - TRAILER.size), TRAILER.size))
            if mark != END_MAGIC or not self.data_start <= at < self.size:
                return None
            places, offset = [], at
            while offset < self.size - TRAILER.size:
                place = self._place_at(offset)
                places += read_index(read_batch(self.bytes_at(offset, place.length), place))
                offset += place.length
            ends = [self.data_start, *(each.offset + each.length for each in places)]
            whole = [each.offset for each in places] + [at] == ends
            return places if whole and offset + TRAILER.size == self.size else None
        except (TraceError, struct.error):
            return None

    def _by_looking(self) -> Iterator[BlockEntry]:
        """Guards against a lost or old index and against damage: every sound head of a block, from the beginning on;
        after what is not sound, the next mark of a block."""
        offset = self.data_start
        while offset < self.size:
            try:
                place = self._place_at(offset)
                if offset + place.length > self.size:
                    raise TraceError(f"the block at byte {offset} is cut short")
            except TraceError as error:
                if self.bytes_at(offset, TRAILER.size)[8:] == END_MAGIC:
                    offset += TRAILER.size
                    continue
                self.damages.append(Damage(offset, str(error)))
                offset = self._next_mark(offset + 1)
                continue
            if place.meta.kind != INDEX_KIND:
                yield place
            offset += place.length

    def _next_mark(self, offset: int) -> int:
        while offset < self.size:
            data = self.bytes_at(offset, CHUNK)
            found = data.find(BLOCK_MAGIC)
            if found >= 0:
                return offset + found
            offset += max(1, len(data) - len(BLOCK_MAGIC) + 1)
        return self.size

    def read(self, place: BlockEntry) -> Batch:
        """The batch of a block; TraceError where it is damaged."""
        return read_batch(self.bytes_at(place.offset, place.length), place)

    def batches(self, kinds: set[str] | None = None, strict: bool = False) -> Iterator[Batch]:
        """All batches that can be read, in the order of the file; those that cannot are noted in `damages`, or with
        `strict` raise."""
        for place in self.places:
            if kinds is None or place.meta.kind in kinds:
                try:
                    yield self.read(place)
                except TraceError as error:
                    if strict:
                        raise
                    self.damages.append(Damage(place.offset, str(error)))

    def streams(self, kinds: set[str] | None = None) -> dict[tuple[str, str], list[BlockEntry]]:
        """The blocks of each kind and source, in the order of writing."""
        streams: dict[tuple[str, str], list[BlockEntry]] = defaultdict(list)
        for place in self.places:
            if kinds is None or place.meta.kind in kinds:
                streams[place.meta.kind, place.meta.source].append(place)
        return streams

    def in_order(self, kinds: set[str] | None = None) -> Iterator[tuple[Batch, dict]]:
        """(its batch, the record as a plain row) of every record by time, in bounded memory: one block of each kind and
        source at a time. Equal times go by source, then by `seq`; within a kind and source in the order of writing."""

        def records(key: tuple[str, str], places: list[BlockEntry]) -> Iterator[tuple]:
            for place in places:
                try:
                    batch = expand_invocations(self.read(place))
                except TraceError as error:
                    self.damages.append(Damage(place.offset, str(error)))
                    continue
                seqs = batch.ints("seq").tolist() if "seq" in batch.columns else range(batch.size)
                for at, seq, row in zip(batch.ints("at").tolist(), seqs, to_rows(batch), strict=True):
                    yield at, key[1], seq, key[0], row, batch

        streams = [records(key, places) for key, places in self.streams(kinds).items()]
        for *_, row, batch in heapq.merge(*streams, key=lambda each: each[:4]):
            yield batch, row


class TraceFileWriter:
    """Writes a trace: blocks as they are given, at the end the index. `sync()` puts it on the disk."""

    def __init__(self, path: Path | str, about: dict, minor: int = MINOR, file: BinaryIO | None = None) -> None:
        self.path = Path(path)
        self.places: list[BlockEntry] = []
        head = header_bytes(about, minor)
        self.file = file if file is not None else self.path.open("xb", buffering=0)
        self._write(head)
        self.offset = len(head)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]

    def batch(self, batch: Batch) -> None:
        for start in range(0, batch.size, MAX_RECORDS):
            rows = np.arange(start, min(batch.size, start + MAX_RECORDS))
            data, meta = encode_block(batch if batch.size <= MAX_RECORDS else batch.select(rows))
            self.block(data, BlockEntry(self.offset, len(data), meta))

    def block(self, data: bytes, place: BlockEntry) -> None:
        """A block as it stands in another file. Where it cannot be written, none of it stays."""
        try:
            self._write(data)
        except OSError:
            self.file.seek(self.offset)
            self.file.truncate()
            raise
        self.places.append(BlockEntry(self.offset, place.length, place.meta))
        self.offset += place.length

    def sync(self) -> None:
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Writes the index and ends the file. Without it the file is sound, and its index is made anew by readers."""
        try:
            for batch in index_batches(self.places):
                self._write(encode_block(batch)[0])
            self._write(trailer_bytes(self.offset))
            self.sync()
        finally:
            self.file.close()


class Collector:
    """Gathers batches into blocks of a fit size, kind by kind and source by source, and writes those that are full."""

    def __init__(self, writer: TraceFileWriter, size: int = BLOCK_RECORDS) -> None:
        self.writer, self.size = writer, size
        self.waiting: dict[tuple, list[Batch]] = {}

    def add(self, batch: Batch) -> None:
        if not batch.size:
            return
        key = batch.kind, batch.source, tuple((name, kind) for name, (kind, _) in batch.columns.items())
        waiting = self.waiting.setdefault(key, [])
        waiting.append(batch)
        if sum(each.size for each in waiting) >= self.size:
            self.writer.batch(concatenate(self.waiting.pop(key)))

    def close(self) -> None:
        for waiting in self.waiting.values():
            self.writer.batch(concatenate(waiting))
        self.waiting.clear()
        self.writer.close()
