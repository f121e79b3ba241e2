"""A fuzz of the reader: whatever bytes a file holds, nothing but TraceError is raised and memory stays bounded."""

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

BOUND = 256 << 20  # bytes that reading one file of the fuzz may take


class Fuzzed(NamedTuple):
    files: int
    refused: int  # with a TraceError, in whole or in part
    most_bytes: int


def _read_all(path: Path) -> int:
    """The records that can be read, as every tool reads them."""
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
        kind, at = random.randrange(5), random.randrange(len(changed))
        if kind == 0:
            changed[at] ^= 1 << random.randrange(8)
        elif kind == 1:
            del changed[at:]
        elif kind == 2:
            changed[at:at] = random.randbytes(random.randrange(1, 40))
        elif kind == 3:
            del changed[at : at + random.randrange(1, 200)]
        else:
            changed[at : at + 8] = random.choice([b"\xff" * 8, b"\0" * 8, random.randbytes(8)])
        if not changed:
            changed = bytearray(b"\0")
    return bytes(changed)


def _sealed(random: Random, head: bytes, raws: list[bytes]) -> bytes:
    """A file whose checksums are right and whose payloads are not."""
    out = head
    for raw in raws:
        raw = _mutate(random, raw) if random.random() < 0.7 else raw
        claimed = random.choice([len(raw), len(raw), random.randrange(2 * MAX_PAYLOAD_BYTES)])
        meta = BlockMeta("invocation", "proxies-0", random.choice([0, 50, 1 << 40]), 0, 1, claimed)
        out += frame_block(meta, zstandard.ZstdCompressor().compress(raw))
    return out


def fuzz(folder: Path, seconds: float, seed: int, most: int = 1 << 30) -> Fuzzed:
    """Reads broken files until the time is over; whatever is raised but TraceError goes through to the caller, with the
    file left in the folder. The same seed brings the same files."""
    random, files, refused, peak = Random(seed), 0, 0, 0
    sound, broken = folder / f"sound-{seed}.dst", folder / f"broken-{seed}.dst"
    sound.unlink(missing_ok=True)
    made = list(batches(150, seed, sources=3))
    writer = TraceFileWriter(sound, {"source": "fuzz"})
    for batch in made:
        writer.write_batch(batch)
    writer.close()
    data = sound.read_bytes()
    _, _, data_start = read_header(data)
    assert read_block_header(data[data_start:], data_start).meta.records
    raws, until = [pack(batch) for batch in made], time.monotonic() + seconds
    tracemalloc.start()
    try:
        while time.monotonic() < until and files < most:
            mutant = _mutate(random, data) if random.random() < 0.5 else _sealed(random, data[:data_start], raws)
            broken.write_bytes(mutant)
            tracemalloc.reset_peak()
            refused += bool(_read_all(broken))
            peak = max(peak, tracemalloc.get_traced_memory()[1])
            files += 1
            if peak > BOUND:
                raise MemoryError(f"{peak} bytes were taken for {broken}; {BOUND} are the bound")
    finally:
        tracemalloc.stop()
    broken.unlink(missing_ok=True)
    sound.unlink()
    return Fuzzed(files, refused, peak)
