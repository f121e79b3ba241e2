"""Columns of records: how each type is packed and unpacked. Every byte of it is described in docs/trace-format.md.

A batch holds records of one kind as columns. Types: `t` a time or span in whole microseconds, `i` a whole number, `f` a
float, `s` a text, `b` bytes; `T`, `I`, `S` a list of such in each record. Whole numbers are of 64 bits, signed.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import numpy as np

MOST_RECORDS, MOST_COLUMNS = 65536, 256  # in a block
MOST_ITEMS = 1 << 20  # of all lists of a column together
MOST_RAW = 16 << 20  # bytes of a block's payload, not compressed
TYPES = "tifsbTIS"
MOST_KNOWN = 255  # different floats of a column that go into a table
PLAIN, STEPS = 0, 1  # packings of whole numbers


class TraceError(Exception):
    """What is wrong with a trace, and where. Nothing else is raised for what a file holds."""


class Strings(NamedTuple):
    codes: np.ndarray  # int64, into the table
    table: list[str]


class Lists(NamedTuple):
    counts: np.ndarray  # int64, items of each record
    items: object  # a column of all items, one after the other


Column = np.ndarray | Strings | Lists | list  # a list is of bytes


class Batch(NamedTuple):
    """Records of one kind and source. `columns`: name to (type, column)."""

    kind: str
    source: str
    columns: dict[str, tuple[str, Column]]

    @property
    def size(self) -> int:
        for kind, column in self.columns.values():
            return length(kind, column)
        return 0

    def ints(self, name: str) -> np.ndarray:
        return self.columns[name][1]

    def texts(self, name: str) -> np.ndarray:
        codes, table = self.columns[name][1]
        return np.array(table, dtype=object)[codes] if table else np.empty(0, dtype=object)

    def take(self, rows: np.ndarray) -> Batch:
        """The records at these places, in this order."""
        return Batch(self.kind, self.source, {n: (t, pick(t, c, rows)) for n, (t, c) in self.columns.items()})


def length(kind: str, column: Column) -> int:
    if isinstance(column, Strings):
        return len(column.codes)
    return len(column.counts) if isinstance(column, Lists) else len(column)


def pick(kind: str, column: Column, rows: np.ndarray) -> Column:
    if isinstance(column, Strings):
        return Strings(column.codes[rows], column.table)
    if isinstance(column, Lists):
        starts = np.concatenate(([0], np.cumsum(column.counts)))
        counts = column.counts[rows]
        first = np.repeat(starts[rows] - np.concatenate(([0], np.cumsum(counts)[:-1])), counts)
        places = first + np.arange(int(counts.sum()))
        return Lists(counts, pick(kind.lower(), column.items, places))
    return [column[row] for row in rows] if isinstance(column, list) else column[rows]


# ---- from values and to values ------------------------------------------------------------------------------------


def make(kind: str, values: list) -> Column:
    """A column of plain values; times as whole microseconds. TraceError where a value is not of the type."""
    try:
        if kind in "ti":
            return np.array(values, dtype=np.int64)
        if kind == "f":
            return np.array(values, dtype=np.float64)
        if kind == "s":
            table = dict.fromkeys(values)
            if not all(isinstance(text, str) for text in table):
                raise TypeError("not a text")
            places = {text: place for place, text in enumerate(table)}
            return Strings(np.array([places[text] for text in values], dtype=np.int64), list(table))
        if kind == "b":
            return [bytes(value) for value in values]
        items = [item for value in values for item in value]
        return Lists(np.array([len(value) for value in values], dtype=np.int64), make(kind.lower(), items))
    except (TypeError, ValueError, OverflowError) as error:
        raise TraceError(f"a column of type {kind}: {error}") from None


def values(kind: str, column: Column) -> list:
    """The plain values of a column."""
    if isinstance(column, Strings):
        return [column.table[code] for code in column.codes.tolist()]
    if isinstance(column, Lists):
        items, at, rows = values(kind.lower(), column.items), 0, []
        for count in column.counts.tolist():
            rows.append(items[at : at + count])
            at += count
        return rows
    return column if isinstance(column, list) else column.tolist()


def join(batches: list[Batch]) -> Batch:
    """Batches of the same kind, source and columns as one."""
    first = batches[0]
    if len(batches) == 1:
        return first
    columns = {}
    for name, (kind, _) in first.columns.items():
        columns[name] = kind, _join(kind, [batch.columns[name][1] for batch in batches])
    return Batch(first.kind, first.source, columns)


def _join(kind: str, parts: list[Column]) -> Column:
    if isinstance(parts[0], Strings):
        table = {text: place for place, text in enumerate(dict.fromkeys(t for part in parts for t in part.table))}
        maps = [np.array([table[text] for text in part.table], dtype=np.int64) for part in parts]
        codes = [m[part.codes] if len(m) else part.codes for m, part in zip(maps, parts, strict=True)]
        return Strings(np.concatenate(codes), list(table))
    if isinstance(parts[0], Lists):
        items = _join(kind.lower(), [part.items for part in parts])
        return Lists(np.concatenate([part.counts for part in parts]), items)
    return [v for part in parts for v in part] if isinstance(parts[0], list) else np.concatenate(parts)


# ---- packing ------------------------------------------------------------------------------------------------------

PAYLOAD, COLUMN, INTS, SIZE = struct.Struct("<IHHH"), struct.Struct("<BcI"), struct.Struct("<BBqq"), struct.Struct("<I")


def _planes(numbers: np.ndarray) -> tuple[int, bytes]:
    """Whole numbers of 0 and above in as few bytes each as the largest needs: first all lowest bytes, then the next."""
    width = (int(numbers.max()).bit_length() + 7) // 8 if len(numbers) else 0
    planes = numbers.astype("<u8").view(np.uint8).reshape(len(numbers), 8)[:, :width]
    return width, np.ascontiguousarray(planes.T).tobytes()


def _unsigned(number: int) -> np.uint64:
    return np.array(number, dtype=np.int64).view(np.uint64)


def _pack_ints(numbers: np.ndarray) -> bytes:
    if not len(numbers):
        return INTS.pack(PLAIN, 0, 0, 0)
    raw = numbers.astype(np.int64).view(np.uint64)
    base = int(numbers.min())
    width, planes = _planes(raw - _unsigned(base))
    best = INTS.pack(PLAIN, width, base, 0) + planes
    if len(numbers) > 1:
        steps = np.diff(raw).view(np.int64)
        least = int(steps.min())
        narrower, planes = _planes(steps.view(np.uint64) - _unsigned(least))
        if narrower < width:
            best = INTS.pack(STEPS, narrower, least, int(numbers[0])) + planes
    return best


def _unpack_ints(data: bytes, count: int) -> np.ndarray:
    how, width, base, first = INTS.unpack_from(data)
    stored = count - 1 if how == STEPS else count
    if how not in (PLAIN, STEPS) or width > 8 or stored < 0 or len(data) != INTS.size + stored * width:
        raise ValueError("numbers are packed in no known way, or of another length than their records")
    full = np.zeros((stored, 8), dtype=np.uint8)
    if width:
        full[:, :width] = np.frombuffer(data, dtype=np.uint8, offset=INTS.size).reshape(width, stored).T
    numbers = full.reshape(-1).view("<u8").astype(np.uint64) + _unsigned(base)
    if how == STEPS:
        numbers = np.cumsum(np.concatenate(([_unsigned(first)], numbers)), dtype=np.uint64)
    return numbers.view(np.int64)


def _sized(data: bytes) -> bytes:
    return SIZE.pack(len(data)) + data


class _Bytes:
    """Takes stretches off some bytes and never goes past their end."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise ValueError("it ends too soon")
        self.at += size
        return self.data[self.at - size : self.at]

    def sized(self) -> bytes:
        return self.take(SIZE.unpack(self.take(SIZE.size))[0])

    def rest(self) -> bytes:
        return self.take(len(self.data) - self.at)


def _pack(kind: str, column: Column) -> bytes:
    if kind in "ti":
        return _pack_ints(column)
    if kind == "f":
        # Few different ones, told apart by their bits, go into a table; else all are written out.
        known, codes = np.unique(column.astype("<f8").view(np.uint64), return_inverse=True)
        if len(known) > MOST_KNOWN:
            known, codes = column.astype("<f8"), np.empty(0)
        planes = np.ascontiguousarray(known.view(np.uint8).reshape(len(known), 8).T).tobytes()
        return _sized(planes) + (_pack_ints(codes.astype(np.int64)) if len(codes) else b"")
    if kind == "s":
        used, codes = np.unique(column.codes, return_inverse=True)
        texts = [column.table[code].encode("utf-8", "surrogatepass") for code in used.tolist()]
        sizes = _pack_ints(np.array([len(text) for text in texts], dtype=np.int64))
        return SIZE.pack(len(texts)) + _sized(sizes) + _sized(b"".join(texts)) + _pack_ints(codes.astype(np.int64))
    if kind == "b":
        return _sized(_pack_ints(np.array([len(value) for value in column], dtype=np.int64))) + b"".join(column)
    return _sized(_pack_ints(column.counts)) + _pack(kind.lower(), column.items)


def _split(data: bytes, sizes: np.ndarray) -> list[bytes]:
    if len(sizes) and (sizes.min() < 0 or sizes.max() > len(data)) or int(sizes.sum()) != len(data):
        raise ValueError("bytes are of another length than their sizes")
    ends = np.cumsum(sizes).tolist()
    return [data[start:end] for start, end in zip([0, *ends], ends, strict=False)]


def _unpack(kind: str, data: bytes, count: int) -> Column:
    if kind in "ti":
        return _unpack_ints(data, count)
    rest = _Bytes(data)
    if kind == "f":
        planes = rest.sized()
        if len(planes) % 8 or len(planes) > 8 * count:
            raise ValueError("floats are of another length than their records")
        known = np.frombuffer(planes, dtype=np.uint8).reshape(8, len(planes) // 8)
        known = np.ascontiguousarray(known.T).reshape(-1).view("<f8").astype(np.float64)
        if rest.at == len(data):
            if len(known) != count:
                raise ValueError("floats are of another length than their records")
            return known
        codes = _unpack_ints(rest.rest(), count)
        if not 0 <= codes.min() <= codes.max() < len(known):
            raise ValueError("floats point beyond their table")
        return known[codes]
    if kind == "s":
        known = SIZE.unpack(rest.take(SIZE.size))[0]
        if known > count:
            raise ValueError("more texts than records")
        sizes = _unpack_ints(rest.sized(), known)
        table = [text.decode("utf-8", "surrogatepass") for text in _split(rest.sized(), sizes)]
        codes = _unpack_ints(rest.rest(), count)
        if count and not 0 <= codes.min() <= codes.max() < known:
            raise ValueError("texts point beyond their table")
        return Strings(codes, table)
    sizes = _unpack_ints(rest.sized(), count)
    if kind == "b":
        return _split(rest.rest(), sizes)
    if count and (sizes.min() < 0 or sizes.max() > MOST_ITEMS) or int(sizes.sum()) > MOST_ITEMS:
        raise ValueError("more list items than a block may hold")
    return Lists(sizes, _unpack(kind.lower(), rest.rest(), int(sizes.sum())))


def pack(batch: Batch) -> bytes:
    """A batch as the payload of a block, not compressed."""
    kind, source = batch.kind.encode(), batch.source.encode()
    parts = [PAYLOAD.pack(batch.size, len(batch.columns), len(kind), len(source)), kind, source]
    for name, (kind_of, column) in batch.columns.items():
        data = _pack(kind_of, column)
        parts += [COLUMN.pack(len(name.encode()), kind_of.encode(), len(data)), name.encode(), data]
    return b"".join(parts)


def unpack(payload: bytes) -> Batch:
    """The batch of a payload; TraceError where it is none."""
    try:
        rest = _Bytes(payload)
        count, number, kind, source = PAYLOAD.unpack(rest.take(PAYLOAD.size))
        if count > MOST_RECORDS or number > MOST_COLUMNS:
            raise ValueError(f"{count} records of {number} columns are more than a block may hold")
        kind, source, columns = rest.take(kind).decode(), rest.take(source).decode(), {}
        for _ in range(number):
            size, kind_of, length_of = COLUMN.unpack(rest.take(COLUMN.size))
            name, kind_of = rest.take(size).decode(), kind_of.decode("latin-1")
            if kind_of not in TYPES or name in columns:
                raise ValueError(f"column {name[:40]!r} is named twice or of an unknown type")
            columns[name] = kind_of, _unpack(kind_of, rest.take(length_of), count)
        if rest.at != len(payload) or columns.get("at", "t")[0] != "t" or (count and "at" not in columns):
            raise ValueError("bytes are left over, or the records have no times")
        return Batch(kind, source, columns)
    except (struct.error, ValueError, OverflowError) as error:
        raise TraceError(f"a payload that cannot be read: {error}") from None
