"""Fuzzes the reader of trace files: whatever a file contains, only TraceError is raised and memory stays bounded."""

from __future__ import annotations

import time
import tracemalloc
from pathlib import Path
from random import Random
from typing import NamedTuple

import zstandard

from driftshed.trace.columns import MAX_PAYLOAD_BYTES, TraceError, pack
from driftshed.trace.files import TraceFile, TraceFileWriter
from driftshed.trace.framing import BlockMeta, frame_block, read_block_header, read_header
from driftshed.trace.generate import batches
from driftshed.trace.schema import to_rows

MAX_MEMORY_BYTES = 256 << 20  # that may be allocated while reading one file


class FuzzResult(NamedTuple):
    """What a run of the fuzzer did."""

    files: int
    refused: int  # files that raised TraceError, as a whole or for some block
    most_bytes: int  # peak memory allocated while reading one file


def _count_refusals(path: Path) -> int:
    """Reads a file with and without its index; returns how many TraceErrors and damaged blocks that gave."""
    refused = 0
    for scan in (False, True):
        try:
            with TraceFile(path, scan=scan) as file:
                for batch in file.batches():
                    to_rows(batch)
                refused += len(file.damages)
        except TraceError:
            refused += 1
    return refused


def _mutate(random: Random, data: bytes) -> bytes:
    changed = bytearray(data)
    for _ in range(random.choice([1, 1, 2, 8])):
        change, at = random.randrange(5), random.randrange(len(changed))
        if change == 0:
            changed[at] ^= 1 << random.randrange(8)
        elif change == 1:
            del changed[at:]
        elif change == 2:
            changed[at:at] = random.randbytes(random.randrange(1, 40))
        elif change == 3:
            del changed[at : at + random.randrange(1, 200)]
        else:
            changed[at : at + 8] = random.choice([b"\xff" * 8, b"\0" * 8, random.randbytes(8)])
        if not changed:
            changed = bytearray(b"\0")
    return bytes(changed)


def _with_valid_checksums(random: Random, header: bytes, payloads: list[bytes]) -> bytes:
    """A file with valid checksums and mostly invalid payloads."""
    data = header
    for payload in payloads:
        payload = _mutate(random, payload) if random.random() < 0.7 else payload
        declared_size = random.choice([len(payload), len(payload), random.randrange(2 * MAX_PAYLOAD_BYTES)])
        meta = BlockMeta("invocation", "proxies-0", random.choice([0, 50, 1 << 40]), 0, 1, declared_size)
        data += frame_block(meta, zstandard.ZstdCompressor().compress(payload))
    return data


def fuzz(folder: Path, seconds: float, seed: int, most: int = 1 << 30) -> FuzzResult:
    """Reads corrupted files for `seconds`, at most `most` files. An exception other than TraceError, or MemoryError
    above the limit, propagates and leaves the file in the folder. The same seed gives the same files."""
    random, files, refused, peak = Random(seed), 0, 0, 0
    intact_path, corrupt_path = folder / f"sound-{seed}.dst", folder / f"broken-{seed}.dst"
    intact_path.unlink(missing_ok=True)
    valid_batches = list(batches(150, seed, sources=3))
    writer = TraceFileWriter(intact_path, {"source": "fuzz"})
    for batch in valid_batches:
        writer.write_batch(batch)
    writer.close()
    data = intact_path.read_bytes()
    _, _, data_start = read_header(data)
    assert read_block_header(data[data_start:], data_start).meta.records
    payloads, deadline = [pack(batch) for batch in valid_batches], time.monotonic() + seconds
    tracemalloc.start()
    try:
        while time.monotonic() < deadline and files < most:
            mutant = (
                _mutate(random, data)
                if random.random() < 0.5
                else _with_valid_checksums(random, data[:data_start], payloads)
            )
            corrupt_path.write_bytes(mutant)
            tracemalloc.reset_peak()
            refused += bool(_count_refusals(corrupt_path))
            peak = max(peak, tracemalloc.get_traced_memory()[1])
            files += 1
            if peak > MAX_MEMORY_BYTES:
                raise MemoryError(f"{peak} bytes allocated reading {corrupt_path}; the limit is {MAX_MEMORY_BYTES}")
    finally:
        tracemalloc.stop()
    corrupt_path.unlink(missing_ok=True)
    intact_path.unlink()
    return FuzzResult(files, refused, peak)
