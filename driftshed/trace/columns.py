"""Columns of records, and the binary encoding of each column type. docs/trace-format.md describes every byte.

A batch holds records of one kind as columns. Column types: `t` a time or duration in whole microseconds, `i` an
integer, `f` a float, `s` a string, `b` bytes; `T`, `I`, `S` a list of `t`, `i` or `s` values in each record. Integers
are signed and have 64 bits.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import numpy as np

MAX_RECORDS, MAX_COLUMNS = 65536, 256  # per block
MAX_LIST_ITEMS = 1 << 20  # total over all lists of a column
MAX_PAYLOAD_BYTES = 16 << 20  # of a block, uncompressed
COLUMN_TYPES = "tifsbTIS"
MAX_DISTINCT_FLOATS = 255  # a float column with more is stored without a table of distinct values
PLAIN, DELTAS = 0, 1  # encodings of integers: the values themselves, or the differences of successive values


class TraceError(Exception):
    """Describes what is wrong with a trace, and where. No other exception is raised for the contents of a file."""


class Strings(NamedTuple):
    """A string column: the distinct strings, and for each record the index of its string."""

    codes: np.ndarray  # int64, indexes into `table`
    table: list[str]


class Lists(NamedTuple):
    """A list column: the number of items of each record, and the items of all records."""

    counts: np.ndarray  # int64, items of each record
    items: object  # the column of all items, concatenated


Column = np.ndarray | Strings | Lists | list  # a plain list holds bytes objects


class Batch(NamedTuple):
    """Records of one kind and source. `columns` maps a name to (column type, column); all columns have one length."""

    kind: str
    source: str
    columns: dict[str, tuple[str, Column]]

    @property
    def size(self) -> int:
        """The number of records."""
        for column_type, column in self.columns.values():
            return column_length(column_type, column)
        return 0

    def ints(self, name: str) -> np.ndarray:
        """The array of a `t`, `i` or `f` column."""
        return self.columns[name][1]

    def texts(self, name: str) -> np.ndarray:
        """The strings of an `s` column, as an object array with one entry per record."""
        codes, table = self.columns[name][1]
        return np.array(table, dtype=object)[codes] if table else np.empty(0, dtype=object)

    def select(self, rows: np.ndarray) -> Batch:
        """The records at the indexes `rows`, in that order; an index may repeat."""
        return Batch(
            self.kind,
            self.source,
            {
                name: (column_type, select_rows(column_type, column, rows))
                for name, (column_type, column) in self.columns.items()
            },
        )


def column_length(column_type: str, column: Column) -> int:
    """The number of records of a column."""
    if isinstance(column, Strings):
        return len(column.codes)
    return len(column.counts) if isinstance(column, Lists) else len(column)


def select_rows(column_type: str, column: Column, rows: np.ndarray) -> Column:
    """The column of the records at the indexes `rows`, in that order. Strings keep their whole table."""
    if isinstance(column, Strings):
        return Strings(column.codes[rows], column.table)
    if isinstance(column, Lists):
        starts = np.concatenate(([0], np.cumsum(column.counts)))
        counts = column.counts[rows]
        first = np.repeat(starts[rows] - np.concatenate(([0], np.cumsum(counts)[:-1])), counts)
        indexes = first + np.arange(int(counts.sum()))
        return Lists(counts, select_rows(column_type.lower(), column.items, indexes))
    return [column[row] for row in rows] if isinstance(column, list) else column[rows]


# ---- conversion from and to Python values -------------------------------------------------------------------------


def make_column(column_type: str, values: list) -> Column:
    """Builds a column from Python values; times are whole microseconds. Raises TraceError if a value does not fit."""
    try:
        if column_type in "ti":
            return np.array(values, dtype=np.int64)
        if column_type == "f":
            return np.array(values, dtype=np.float64)
        if column_type == "s":
            table = dict.fromkeys(values)
            if not all(isinstance(text, str) for text in table):
                raise TypeError("not a string")
            codes = {text: place for place, text in enumerate(table)}
            return Strings(np.array([codes[text] for text in values], dtype=np.int64), list(table))
        if column_type == "b":
            return [bytes(value) for value in values]
        items = [item for value in values for item in value]
        return Lists(
            np.array([len(value) for value in values], dtype=np.int64), make_column(column_type.lower(), items)
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise TraceError(f"invalid value in a column of type {column_type}: {error}") from None


def column_values(column_type: str, column: Column) -> list:
    """The Python values of a column, one per record; times are whole microseconds."""
    if isinstance(column, Strings):
        return [column.table[code] for code in column.codes.tolist()]
    if isinstance(column, Lists):
        items, start, rows = column_values(column_type.lower(), column.items), 0, []
        for count in column.counts.tolist():
            rows.append(items[start : start + count])
            start += count
        return rows
    return column if isinstance(column, list) else column.tolist()


def concatenate(batches: list[Batch]) -> Batch:
    """Concatenates batches that have the same kind, source and columns."""
    first = batches[0]
    if len(batches) == 1:
        return first
    columns = {}
    for name, (column_type, _) in first.columns.items():
        columns[name] = column_type, _concatenate(column_type, [batch.columns[name][1] for batch in batches])
    return Batch(first.kind, first.source, columns)


def _concatenate(column_type: str, parts: list[Column]) -> Column:
    if isinstance(parts[0], Strings):
        table = {text: code for code, text in enumerate(dict.fromkeys(text for part in parts for text in part.table))}
        code_maps = [np.array([table[text] for text in part.table], dtype=np.int64) for part in parts]
        codes = [
            code_map[part.codes] if len(code_map) else part.codes
            for code_map, part in zip(code_maps, parts, strict=True)
        ]
        return Strings(np.concatenate(codes), list(table))
    if isinstance(parts[0], Lists):
        items = _concatenate(column_type.lower(), [part.items for part in parts])
        return Lists(np.concatenate([part.counts for part in parts]), items)
    return [value for part in parts for value in part] if isinstance(parts[0], list) else np.concatenate(parts)


# ---- binary encoding ----------------------------------------------------------------------------------------------

PAYLOAD_HEADER, COLUMN_HEADER, INTS_HEADER, SIZE_PREFIX = (
    struct.Struct("<IHHH"),
    struct.Struct("<BcI"),
    struct.Struct("<BBqq"),
    struct.Struct("<I"),
)


def _byte_planes(numbers: np.ndarray) -> tuple[int, bytes]:
    """Encodes integers >= 0 with as few bytes each as the largest needs: first the lowest byte of each number, then the
    next byte of each, and so on. Returns the width in bytes and the encoding."""
    width = (int(numbers.max()).bit_length() + 7) // 8 if len(numbers) else 0
    planes = numbers.astype("<u8").view(np.uint8).reshape(len(numbers), 8)[:, :width]
    return width, np.ascontiguousarray(planes.T).tobytes()


def _as_uint64(number: int) -> np.uint64:
    return np.array(number, dtype=np.int64).view(np.uint64)


def _pack_ints(numbers: np.ndarray) -> bytes:
    if not len(numbers):
        return INTS_HEADER.pack(PLAIN, 0, 0, 0)
    unsigned = numbers.astype(np.int64).view(np.uint64)
    base = int(numbers.min())
    width, planes = _byte_planes(unsigned - _as_uint64(base))
    best = INTS_HEADER.pack(PLAIN, width, base, 0) + planes
    if len(numbers) > 1:
        deltas = np.diff(unsigned).view(np.int64)
        least_delta = int(deltas.min())
        delta_width, planes = _byte_planes(deltas.view(np.uint64) - _as_uint64(least_delta))
        if delta_width < width:
            best = INTS_HEADER.pack(DELTAS, delta_width, least_delta, int(numbers[0])) + planes
    return best


def _unpack_ints(data: bytes, count: int) -> np.ndarray:
    encoding, width, base, first = INTS_HEADER.unpack_from(data)
    stored_count = count - 1 if encoding == DELTAS else count
    if (
        encoding not in (PLAIN, DELTAS)
        or width > 8
        or stored_count < 0
        or len(data) != INTS_HEADER.size + stored_count * width
    ):
        raise ValueError("integers have an unknown encoding, or their length does not match the number of records")
    full = np.zeros((stored_count, 8), dtype=np.uint8)
    if width:
        full[:, :width] = np.frombuffer(data, dtype=np.uint8, offset=INTS_HEADER.size).reshape(width, stored_count).T
    numbers = full.reshape(-1).view("<u8").astype(np.uint64) + _as_uint64(base)
    if encoding == DELTAS:
        numbers = np.cumsum(np.concatenate(([_as_uint64(first)], numbers)), dtype=np.uint64)
    return numbers.view(np.int64)


def _with_size(data: bytes) -> bytes:
    return SIZE_PREFIX.pack(len(data)) + data


class _Reader:
    """Reads consecutive parts of a byte string. Raises ValueError instead of reading past its end."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def read(self, size: int) -> bytes:
        if self.position + size > len(self.data):
            raise ValueError("the data ends too early")
        self.position += size
        return self.data[self.position - size : self.position]

    def read_sized(self) -> bytes:
        return self.read(SIZE_PREFIX.unpack(self.read(SIZE_PREFIX.size))[0])

    def read_rest(self) -> bytes:
        return self.read(len(self.data) - self.position)


def _pack(column_type: str, column: Column) -> bytes:
    if column_type in "ti":
        return _pack_ints(column)
    if column_type == "f":
        # Up to MAX_DISTINCT_FLOATS bit patterns are stored once, with an index per record; else every value is stored.
        distinct, codes = np.unique(column.astype("<f8").view(np.uint64), return_inverse=True)
        if len(distinct) > MAX_DISTINCT_FLOATS:
            distinct, codes = column.astype("<f8"), np.empty(0)
        planes = np.ascontiguousarray(distinct.view(np.uint8).reshape(len(distinct), 8).T).tobytes()
        return _with_size(planes) + (_pack_ints(codes.astype(np.int64)) if len(codes) else b"")
    if column_type == "s":
        used, codes = np.unique(column.codes, return_inverse=True)
        texts = [column.table[code].encode("utf-8", "surrogatepass") for code in used.tolist()]
        sizes = _pack_ints(np.array([len(text) for text in texts], dtype=np.int64))
        return (
            SIZE_PREFIX.pack(len(texts))
            + _with_size(sizes)
            + _with_size(b"".join(texts))
            + _pack_ints(codes.astype(np.int64))
        )
    if column_type == "b":
        return _with_size(_pack_ints(np.array([len(value) for value in column], dtype=np.int64))) + b"".join(column)
    return _with_size(_pack_ints(column.counts)) + _pack(column_type.lower(), column.items)


def _split(data: bytes, sizes: np.ndarray) -> list[bytes]:
    if len(sizes) and (sizes.min() < 0 or sizes.max() > len(data)) or int(sizes.sum()) != len(data):
        raise ValueError("the length of the data does not match the sum of the sizes")
    ends = np.cumsum(sizes).tolist()
    return [data[start:end] for start, end in zip([0, *ends], ends, strict=False)]


def _unpack(column_type: str, data: bytes, count: int) -> Column:
    if column_type in "ti":
        return _unpack_ints(data, count)
    reader = _Reader(data)
    if column_type == "f":
        planes = reader.read_sized()
        if len(planes) % 8 or len(planes) > 8 * count:
            raise ValueError("the length of the floats does not match the number of records")
        distinct = np.frombuffer(planes, dtype=np.uint8).reshape(8, len(planes) // 8)
        distinct = np.ascontiguousarray(distinct.T).reshape(-1).view("<f8").astype(np.float64)
        if reader.position == len(data):
            if len(distinct) != count:
                raise ValueError("the length of the floats does not match the number of records")
            return distinct
        codes = _unpack_ints(reader.read_rest(), count)
        if not 0 <= codes.min() <= codes.max() < len(distinct):
            raise ValueError("a float index is outside its table")
        return distinct[codes]
    if column_type == "s":
        distinct = SIZE_PREFIX.unpack(reader.read(SIZE_PREFIX.size))[0]
        if distinct > count:
            raise ValueError("more distinct strings than records")
        sizes = _unpack_ints(reader.read_sized(), distinct)
        table = [text.decode("utf-8", "surrogatepass") for text in _split(reader.read_sized(), sizes)]
        codes = _unpack_ints(reader.read_rest(), count)
        if count and not 0 <= codes.min() <= codes.max() < distinct:
            raise ValueError("a string index is outside its table")
        return Strings(codes, table)
    sizes = _unpack_ints(reader.read_sized(), count)
    if column_type == "b":
        return _split(reader.read_rest(), sizes)
    if count and (sizes.min() < 0 or sizes.max() > MAX_LIST_ITEMS) or int(sizes.sum()) > MAX_LIST_ITEMS:
        raise ValueError("more list items than a block may hold")
    return Lists(sizes, _unpack(column_type.lower(), reader.read_rest(), int(sizes.sum())))


def pack(batch: Batch) -> bytes:
    """Encodes a batch as the uncompressed payload of a block."""
    kind, source = batch.kind.encode(), batch.source.encode()
    parts = [PAYLOAD_HEADER.pack(batch.size, len(batch.columns), len(kind), len(source)), kind, source]
    for name, (column_type, column) in batch.columns.items():
        data = _pack(column_type, column)
        parts += [COLUMN_HEADER.pack(len(name.encode()), column_type.encode(), len(data)), name.encode(), data]
    return b"".join(parts)


def unpack(payload: bytes) -> Batch:
    """Decodes the payload of a block. Raises TraceError if it is malformed or exceeds the limits of a block."""
    try:
        reader = _Reader(payload)
        record_count, column_count, kind, source = PAYLOAD_HEADER.unpack(reader.read(PAYLOAD_HEADER.size))
        if record_count > MAX_RECORDS or column_count > MAX_COLUMNS:
            raise ValueError(f"{record_count} records of {column_count} columns are more than a block may hold")
        kind, source, columns = reader.read(kind).decode(), reader.read(source).decode(), {}
        for _ in range(column_count):
            name_size, column_type, column_size = COLUMN_HEADER.unpack(reader.read(COLUMN_HEADER.size))
            name, column_type = reader.read(name_size).decode(), column_type.decode("latin-1")
            if column_type not in COLUMN_TYPES or name in columns:
                raise ValueError(f"column {name[:40]!r} appears twice or has an unknown type")
            columns[name] = column_type, _unpack(column_type, reader.read(column_size), record_count)
        if (
            reader.position != len(payload)
            or columns.get("at", "t")[0] != "t"
            or (record_count and "at" not in columns)
        ):
            raise ValueError("trailing bytes after the last column, or no column of times")
        return Batch(kind, source, columns)
    except (struct.error, ValueError, OverflowError) as error:
        raise TraceError(f"malformed payload: {error}") from None
