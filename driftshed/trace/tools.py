"""Operations on traces: cut, merge, anonymise, summary, verify, repair, convert. Each reads a trace block by block, so
that memory does not grow with its size."""

from __future__ import annotations

import base64
import hashlib
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import IO, NamedTuple

import msgspec
import numpy as np
import xxhash

from driftshed.trace.clocks import Offset, Unknown, estimate
from driftshed.trace.columns import COLUMN_TYPES, Batch, Strings, TraceError, make_column
from driftshed.trace.files import RECORDS_PER_BLOCK, BlockCollector, TraceFile, TraceFileWriter
from driftshed.trace.framing import MINOR
from driftshed.trace.schema import KINDS, STORED_KINDS, compact_invocations, expand_invocations, to_rows
from driftshed.trace.writer import require_new_path

UNBOUNDED_US = 1 << 62  # later than any time


def create_trace(out: Path, about: dict, minor: int) -> TraceFileWriter:
    """Creates a trace with at least this program's minor version. Raises TraceError if the path exists."""
    require_new_path(out)
    return TraceFileWriter(out, about, max(minor, MINOR))


# ---- cut ------------------------------------------------------------------------------------------------------------


class CutFilter(NamedTuple):
    """The records that a cut keeps: `since` <= unix time < `until`, in whole microseconds, and sets of allowed values,
    where None allows all. A record without a field that is checked is left out; gaps within the times always stay."""

    since: int = -UNBOUNDED_US
    until: int = UNBOUNDED_US
    kinds: frozenset[str] | None = None
    proxies: frozenset[int] | None = None
    servers: frozenset[str] | None = None
    operations: frozenset[str] | None = None
    instances: frozenset[str] | None = None

    @property
    def checks_fields(self) -> bool:
        """Whether records must be checked one by one, beyond their kind and time."""
        return any(allowed is not None for allowed in (self.proxies, self.servers, self.operations, self.instances))

    def matching_rows(self, batch: Batch) -> np.ndarray:
        """The indexes of the records to keep; the kind is not checked."""
        at = batch.ints("at")
        matching = (at >= self.since) & (at < self.until)
        if batch.kind == "gap":
            return np.flatnonzero(matching)
        if self.proxies is not None:
            matching &= np.isin(batch.ints("proxy"), list(self.proxies)) if "proxy" in batch.columns else False
        for name, allowed in (("operation", self.operations), ("run", self.instances)):
            if allowed is not None:
                matching &= _text_matches(batch, name, allowed) if name in batch.columns else batch.source in allowed
        if self.servers is not None:
            matching &= _any_item_matches(batch, "servers", self.servers) if "servers" in batch.columns else False
        return np.flatnonzero(matching)


def _text_matches(batch: Batch, name: str, allowed: Iterable[str]) -> np.ndarray:
    codes, table = batch.columns[name][1]
    return np.isin(codes, [code for code, text in enumerate(table) if text in allowed])


def _any_item_matches(batch: Batch, name: str, allowed: Iterable[str]) -> np.ndarray:
    counts, items = batch.columns[name][1]
    found = np.isin(items.codes, [code for code, text in enumerate(items.table) if text in allowed])
    ends = np.cumsum(counts)
    sums = np.concatenate(([0], np.cumsum(found)))
    return sums[ends] - sums[ends - counts] > 0


def cut(path: Path, out: Path, criteria: CutFilter) -> int:
    """Writes the matching records of a trace to `out` and returns their number. Blocks that match completely are copied
    unchanged. Raises TraceError on damage."""
    record_count = 0
    with TraceFile(path) as file:
        collector = BlockCollector(create_trace(out, file.about | {"cut": True}, file.minor))
        for block in file.blocks:
            meta = block.meta
            if meta.last_us < criteria.since or meta.first_us >= criteria.until:
                continue
            if criteria.kinds is not None and meta.kind not in criteria.kinds and meta.kind != "gap":
                continue
            if not criteria.checks_fields and criteria.since <= meta.first_us and meta.last_us < criteria.until:
                file.read(block)  # raises if the block is damaged, so that damage is not copied
                collector.writer.write_block(file.read_bytes(block.offset, block.length), block)
                record_count += meta.records
                continue
            batch = file.read(block)
            rows = criteria.matching_rows(batch)
            record_count += len(rows)
            collector.add(batch.select(rows))
        collector.close()
    return record_count


# ---- merge ----------------------------------------------------------------------------------------------------------


class MergeResult(NamedTuple):
    """The number of records merged, and how the clocks compared."""

    records: int
    clocks: list[tuple[str, Offset | Unknown]]  # file name and clock of each file after the first


def _message_times(file: TraceFile) -> dict[tuple[str, int], float]:
    """The unix time, in seconds, at which each message was sent (id, 1) or received (id, 0) here. Messages recorded
    more than once are left out."""
    seen: dict[tuple[str, int], float] = {}
    duplicates = set()
    for batch in file.batches({"message"}):
        rows = zip(batch.texts("id"), batch.ints("sent").tolist(), batch.ints("at").tolist(), strict=True)
        for name, sent, at in rows:
            key = name, sent
            duplicates.add(key) if key in seen else seen.update({key: at / 1e6})
    return {key: at for key, at in seen.items() if key not in duplicates}


def compare_clocks(first: dict, second: dict) -> Offset | Unknown:
    """Estimates the offset of the second clock from the first; both arguments as from `_message_times`."""
    forward = [(at, second[name, 0]) for (name, sent), at in first.items() if sent and (name, 0) in second]
    backward = [(at, first[name, 0]) for (name, sent), at in second.items() if sent and (name, 0) in first]
    return estimate(forward, backward)


def merge(paths: list[Path], out: Path) -> MergeResult:
    """Merges traces of several halls into one, with times converted to the clock of the first; blocks are ordered by
    their first times. A file whose clock cannot be compared keeps its own times, and the result reports that."""
    files = [TraceFile(path) for path in paths]
    try:
        times = [_message_times(file) for file in files]
        clocks: list[Offset | Unknown] = [compare_clocks(times[0], other) for other in times[1:]]
        clock_results = {file.path.name: clock._asdict() for file, clock in zip(files[1:], clocks, strict=True)}
        about = {"merged": [file.about for file in files], "clocks": clock_results}
        writer = create_trace(out, about, max(file.minor for file in files))
        offsets = [None, *(clock if isinstance(clock, Offset) else None for clock in clocks)]
        comparable = [True, *(isinstance(clock, Offset) for clock in clocks)]
        blocks = []
        for number, file in enumerate(files):
            shift = offsets[number].value if offsets[number] else 0.0
            for block in file.blocks:
                # Blocks of an unknown clock follow all others: their order relative to other halls is unknown.
                group = 0 if comparable[number] else 1 + number
                blocks.append((group, block.meta.first_us - round(shift * 1e6), number, block))
        records = 0
        for _, _, number, block in sorted(blocks, key=lambda row: row[:3]):
            file = files[number]
            batch = file.read(block)
            records += batch.size
            if offsets[number] is None:
                writer.write_block(file.read_bytes(block.offset, block.length), block)
            else:
                writer.write_batch(_to_first_clock(batch, offsets[number]))
        writer.close()
    finally:
        for file in files:
            file.file.close()
    return MergeResult(records, [(file.path.name, clock) for file, clock in zip(files[1:], clocks, strict=True)])


def _to_first_clock(batch: Batch, offset: Offset) -> Batch:
    """Converts a batch to the first clock. Only `at` and `until` are unix times; durations are the same on both
    clocks."""
    columns = dict(batch.columns)
    for name in ("at", "until"):
        if name in columns:
            times = columns[name][1]
            relative = (times - round(offset.middle * 1e6)) / 1e6  # small, so that floats keep microseconds
            first_clock_time = (relative - offset.value) / (1 + offset.drift)
            moved = offset.value + offset.drift * first_clock_time
            columns[name] = "t", times - np.round(moved * 1e6).astype(np.int64)
    return Batch(batch.kind, batch.source, columns)


# ---- anonymise ------------------------------------------------------------------------------------------------------

# String and bytes columns that stay: they name parts of the deployment, not households. All others are replaced by
# pseudonyms or left out.
KEPT_TEXT_COLUMNS = {"operation", "outcome", "servers", "outcomes", "run", "core", "id", "facts", "events", "orders"}
PSEUDONYM_COLUMNS = {"key"}
KEPT_HEADER_FIELDS = {"source", "core", "created", "cut", "repaired"}


class AnonymiseResult(NamedTuple):
    """The number of records written, and what was left out."""

    records: int
    dropped: dict[str, int]  # by kind, or kind.column: records affected


def anonymise(path: Path, out: Path, key: bytes) -> AnonymiseResult:
    """Replaces household keys by pseudonyms from a keyed hash: equal ones stay equal, and without `key` (at most 64
    bytes) they cannot be traced back. Free text, and unknown kinds and columns, are left out."""
    pseudonyms: dict[str, str] = {}
    dropped: dict[str, int] = defaultdict(int)
    records = 0

    def pseudonym(text: str) -> str:
        if len(pseudonyms) > 1 << 20:
            pseudonyms.clear()
        if text not in pseudonyms:
            pseudonyms[text] = hashlib.blake2b(
                text.encode("utf-8", "surrogatepass"), key=key, digest_size=9
            ).hexdigest()
        return pseudonyms[text]

    with TraceFile(path) as file:
        about = {name: value for name, value in file.about.items() if name in KEPT_HEADER_FIELDS} | {"anonymised": True}
        collector = BlockCollector(create_trace(out, about, MINOR))
        for batch in file.batches(strict=True):
            if batch.kind == "note" or batch.kind not in KINDS:
                dropped[batch.kind] += batch.size
                continue
            columns = {}
            for name, (kind, column) in batch.columns.items():
                if name in PSEUDONYM_COLUMNS and isinstance(column, Strings):
                    used = np.unique(column.codes)
                    table = list(column.table)
                    for code in used.tolist():
                        table[code] = pseudonym(table[code])
                    columns[name] = kind, Strings(column.codes, table)
                elif kind in "sSb" and (name not in KEPT_TEXT_COLUMNS or STORED_KINDS[batch.kind].get(name) != kind):
                    dropped[f"{batch.kind}.{name}"] += batch.size
                    if name in STORED_KINDS[batch.kind]:
                        columns[name] = kind, make_column(kind, [""] * batch.size)
                elif name in STORED_KINDS[batch.kind]:
                    columns[name] = kind, column
                else:
                    dropped[f"{batch.kind}.{name}"] += batch.size
            records += batch.size
            collector.add(Batch(batch.kind, batch.source, columns))
        collector.close()
    return AnonymiseResult(records, dict(dropped))


# ---- summary --------------------------------------------------------------------------------------------------------

TIME_BUCKETS_US = np.concatenate(([0], np.logspace(2, 8, 241)))  # successive bucket edges differ by 6%


def summary(path: Path) -> dict:
    """Summarises a trace in figures. Times are unix times in seconds; quantiles are accurate to 6%."""
    kinds: dict[str, int] = defaultdict(int)
    sources: dict[str, int] = defaultdict(int)
    operations: dict[str, dict] = {}
    servers: dict[str, int] = defaultdict(int)
    since, until, lost = None, None, 0
    with TraceFile(path) as file:
        for batch in file.batches():
            kinds[batch.kind] += batch.size
            sources[batch.source] += batch.size
            at = batch.ints("at")
            if batch.size:
                since = int(at.min()) if since is None else min(since, int(at.min()))
                until = int(at.max()) if until is None else max(until, int(at.max()))
            if batch.kind == "gap":
                lost += int(batch.ints("lost").sum())
            if batch.kind == "invocation":
                _add_invocations(expand_invocations(batch), operations, servers)
        return {
            "file": file.path.name,
            "format": f"1.{file.minor}",
            "about": file.about,
            "bytes": file.size,
            "indexed": file.indexed,
            "records": sum(kinds.values()),
            "kinds": dict(kinds),
            "sources": dict(sources),
            "from": None if since is None else since / 1e6,
            "to": None if until is None else until / 1e6,
            "lost": lost,
            "damages": [damage._asdict() for damage in file.damages],
            "operations": {name: _operation_summary(row) for name, row in sorted(operations.items())},
            "servers": dict(sorted(servers.items(), key=lambda row: (-row[1], row[0]))[:200]),
        }


def _add_invocations(batch: Batch, operations: dict[str, dict], servers: dict[str, int]) -> None:
    codes, table = batch.columns["operation"][1]
    outcomes = batch.columns["outcome"][1]
    took, value, counts = batch.ints("took"), batch.ints("value"), batch.columns["servers"][1].counts
    for operation, name in enumerate(table):
        rows = np.flatnonzero(codes == operation)
        if len(rows):
            row = operations.setdefault(
                name,
                {
                    "count": 0,
                    "value": 0.0,
                    "tries": 0,
                    "outcomes": defaultdict(int),
                    "took": np.zeros(len(TIME_BUCKETS_US) + 1, dtype=np.int64),
                },
            )
            row["count"] += len(rows)
            row["value"] += float(value[rows].sum())
            row["tries"] += int(counts[rows].sum())
            row["took"] += np.bincount(np.searchsorted(TIME_BUCKETS_US, took[rows]), minlength=len(TIME_BUCKETS_US) + 1)
            for code, count in zip(*np.unique(outcomes.codes[rows], return_counts=True), strict=True):
                row["outcomes"][outcomes.table[int(code)]] += int(count)
    names = batch.columns["servers"][1].items
    for code, count in zip(*np.unique(names.codes, return_counts=True), strict=True):
        servers[names.table[int(code)]] += int(count)


def _operation_summary(row: dict) -> dict:
    edges, cumulative = np.append(TIME_BUCKETS_US, TIME_BUCKETS_US[-1]), np.cumsum(row["took"])
    buckets = {q: np.searchsorted(cumulative, q / 100 * cumulative[-1]) for q in (50, 99)}
    quantiles = {f"p{q}_s": round(float(edges[bucket]) / 1e6, 4) for q, bucket in buckets.items()}
    return {
        "count": row["count"],
        "value": round(row["value"], 6),
        "outcomes": dict(row["outcomes"]),
        "tries_each": round(row["tries"] / row["count"], 4),
        **quantiles,
    }


# ---- verify and repair ----------------------------------------------------------------------------------------------


class VerifyResult(NamedTuple):
    """The result of `verify`. `digest`: of all readable records, independent of their order and blocks; `last`: the
    latest readable record, as (kind, source, seq, unix time)."""

    records: int
    blocks: int
    damages: list
    last: tuple | None
    index: str  # "sound", "none" or "other": it does not describe this file
    missing: dict[str, int]  # by source: holes in seq, less the records that gaps report as lost
    digest: str


def batch_digest(batch: Batch) -> int:
    """The sum, modulo 2^64, of the hashes of a batch's records."""
    total = 0
    for row in to_rows(batch):
        body = msgspec.msgpack.encode([batch.kind, batch.source, sorted(row.items())])
        total += xxhash.xxh64_intdigest(body)
    return total & (1 << 64) - 1


def verify(path: Path, digest: bool = False) -> VerifyResult:
    """Reads and checks every block of a trace, without its index; `digest`: also computes the digest of the records."""
    with TraceFile(path) as by_index:
        indexed, size = by_index.indexed, by_index.size
        tail = by_index.read_bytes(max(0, size - 8), 8)
    with TraceFile(path, scan=True) as file:
        records = blocks = total = 0
        last, seqs = None, defaultdict(lambda: [0, 0, 0, 0])  # lowest, highest, number, reported lost
        for block in file.blocks:
            try:
                batch = file.read(block)
            except TraceError as error:
                file.damages.append((block.offset, str(error)))
                continue
            records, blocks = records + batch.size, blocks + 1
            if digest:
                total += batch_digest(batch)
            if not batch.size or "seq" not in batch.columns:
                continue
            seq, row = batch.ints("seq"), seqs[batch.source]
            if batch.kind == "gap":
                row[3] += int(batch.ints("lost").sum())
                continue
            row[0] = int(seq.min()) if not row[2] else min(row[0], int(seq.min()))
            row[1], row[2] = max(row[1], int(seq.max())), row[2] + batch.size
            latest = int(np.argmax(seq))
            if last is None or batch.ints("at")[latest] >= last[3] * 1e6:
                last = batch.kind, batch.source, int(seq[latest]), int(batch.ints("at")[latest]) / 1e6
        missing_counts = {
            source: max_seq - min_seq + 1 - count - reported_lost
            for source, (min_seq, max_seq, count, reported_lost) in seqs.items()
        }
        missing = {source: count for source, count in missing_counts.items() if count > 0}
        index = "sound" if indexed else "other" if tail == b"DSTREND\n" else "none"
        return VerifyResult(
            records,
            blocks,
            [tuple(damage) for damage in file.damages],
            last,
            index,
            missing,
            f"{total & (1 << 64) - 1:016x}" if digest else "",
        )


def repair(path: Path, out: Path) -> tuple[int, list]:
    """Copies every intact block of a trace to a new file with an index. Returns the number of records kept and the
    damages as (offset, reason)."""
    records = 0
    with TraceFile(path, scan=True) as file:
        writer = create_trace(out, file.about | {"repaired": True}, file.minor)
        for block in file.blocks:
            try:
                records += file.read(block).size
            except TraceError as error:
                file.damages.append((block.offset, str(error)))
                continue
            writer.write_block(file.read_bytes(block.offset, block.length), block)
        writer.close()
        return records, [tuple(damage) for damage in file.damages]


# ---- convert --------------------------------------------------------------------------------------------------------


def to_json_lines(path: Path, sink: IO[bytes]) -> int:
    """Writes a trace as JSON lines and returns the number of records: first a line with the header, then the records by
    time. A line with the column types precedes the first record of a kind, and each change of its columns. Bytes are
    base64."""
    count, types, last_columns = 0, {}, {}
    with TraceFile(path) as file:
        sink.write(msgspec.json.encode({"trace": file.about, "minor": file.minor}) + b"\n")
        for batch, row in file.records_by_time():
            if last_columns.get(batch.kind) is not batch.columns:
                last_columns[batch.kind] = batch.columns
                column_types = {name: kind for name, (kind, _) in batch.columns.items()}
                if types.get(batch.kind) != column_types:
                    types[batch.kind] = column_types
                    sink.write(msgspec.json.encode({"types": column_types, "kind": batch.kind}) + b"\n")
            sink.write(msgspec.json.encode({"kind": batch.kind, "source": batch.source, **row}) + b"\n")
            count += 1
    return count


def from_json_lines(lines: Iterable[bytes], out: Path) -> int:
    """Writes JSON lines, as from `to_json_lines`, as a trace and returns the number of records. Raises TraceError with
    the number of the invalid line; `out` is then removed."""
    collector, count = None, 0
    types: dict[str, dict[str, str]] = {}
    pending: dict[tuple[str, str], list[dict]] = defaultdict(list)

    def flush(key: tuple[str, str]) -> None:
        rows = pending.pop(key)
        column_types = types[key[0]]
        columns = {
            name: (kind, make_column(kind, _to_column_values(kind, [row[name] for row in rows])))
            for name, kind in column_types.items()
        }
        collector.add(compact_invocations(Batch(*key, columns)))

    try:
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            row = _decode_line(line, number)
            if collector is None:
                if not isinstance(row.get("trace"), dict):
                    raise TraceError('line 1: expected {"trace": {...}}')
                collector = BlockCollector(create_trace(out, row["trace"], _minor_version(row)))
            elif "types" in row:
                for key in [key for key in pending if key[0] == row.get("kind")]:
                    flush(key)
                types[_text_field(row, "kind", number)] = _column_types(row["types"], number)
            else:
                kind, source = _text_field(row, "kind", number), _text_field(row, "source", number)
                if kind not in types:
                    types[kind] = dict(KINDS.get(kind, {}))
                row.pop("kind"), row.pop("source")
                if set(row) != set(types[kind]):
                    raise TraceError(f"line {number}: a record of kind {kind} has the fields {', '.join(types[kind])}")
                pending[kind, source].append(row)
                count += 1
                if len(pending[kind, source]) >= RECORDS_PER_BLOCK:
                    flush((kind, source))
        for key in list(pending):
            flush(key)
    except TraceError:
        if collector is not None:
            collector.writer.file.close()
            out.unlink()
        raise
    if collector is None:
        raise TraceError("no line in the input")
    collector.close()
    return count


def _decode_line(line: bytes, number: int) -> dict:
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError as error:
        raise TraceError(f"line {number}: {error}") from None


def _text_field(row: dict, name: str, number: int) -> str:
    if not isinstance(row.get(name), str):
        raise TraceError(f"line {number}: {name} must be a string")
    return row[name]


def _minor_version(row: dict) -> int:
    minor = row.get("minor", MINOR)
    return minor if isinstance(minor, int) and 0 <= minor < 65536 else MINOR


def _column_types(types: object, number: int) -> dict[str, str]:
    if not isinstance(types, dict) or not set(map(str, types.values())) <= set(COLUMN_TYPES):
        raise TraceError(f"line {number}: types are of {', '.join(COLUMN_TYPES)}")
    return types


def _to_column_values(column_type: str, column: list) -> list:
    try:
        if column_type == "t":
            return [round(value * 1e6) for value in column]
        if column_type == "T":
            return [[round(item * 1e6) for item in value] for value in column]
        return [base64.b64decode(value, validate=True) for value in column] if column_type == "b" else column
    except (TypeError, ValueError, OverflowError) as error:
        raise TraceError(f"invalid value of type {column_type}: {error}") from None
