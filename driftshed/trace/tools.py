"""What is done with traces: cut, merge, anonymise, summary, verify, repair, convert. Each goes through a trace block by
block, whatever its size."""

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

NO_BYTES = 1 << 62


def opened(out: Path, about: dict, minor: int) -> TraceFileWriter:
    require_new_path(out)
    return TraceFileWriter(out, about, max(minor, MINOR))


# ---- cut ------------------------------------------------------------------------------------------------------------


class Wanted(NamedTuple):
    """What a cut keeps: unix times in whole microseconds, and sets of which any may be None for all. A record that has
    none of the fields asked for is left out; gaps always stay."""

    since: int = -NO_BYTES
    until: int = NO_BYTES
    kinds: frozenset[str] | None = None
    proxies: frozenset[int] | None = None
    servers: frozenset[str] | None = None
    operations: frozenset[str] | None = None
    instances: frozenset[str] | None = None

    @property
    def by_row(self) -> bool:
        return any(part is not None for part in (self.proxies, self.servers, self.operations, self.instances))

    def rows(self, batch: Batch) -> np.ndarray:
        at = batch.ints("at")
        keep = (at >= self.since) & (at < self.until)
        if batch.kind == "gap":
            return np.flatnonzero(keep)
        if self.proxies is not None:
            keep &= np.isin(batch.ints("proxy"), list(self.proxies)) if "proxy" in batch.columns else False
        for name, wanted in (("operation", self.operations), ("run", self.instances)):
            if wanted is not None:
                keep &= _has(batch, name, wanted) if name in batch.columns else batch.source in wanted
        if self.servers is not None:
            keep &= _has_any(batch, "servers", self.servers) if "servers" in batch.columns else False
        return np.flatnonzero(keep)


def _has(batch: Batch, name: str, wanted: Iterable[str]) -> np.ndarray:
    codes, table = batch.columns[name][1]
    return np.isin(codes, [code for code, text in enumerate(table) if text in wanted])


def _has_any(batch: Batch, name: str, wanted: Iterable[str]) -> np.ndarray:
    counts, items = batch.columns[name][1]
    found = np.isin(items.codes, [code for code, text in enumerate(items.table) if text in wanted])
    ends = np.cumsum(counts)
    sums = np.concatenate(([0], np.cumsum(found)))
    return sums[ends] - sums[ends - counts] > 0


def cut(path: Path, out: Path, wanted: Wanted) -> int:
    """Writes what is wanted of a trace; how many records. Blocks that stay whole are taken over as they are."""
    kept = 0
    with TraceFile(path) as file:
        collector = BlockCollector(opened(out, file.about | {"cut": True}, file.minor))
        for block in file.blocks:
            meta = block.meta
            if meta.last_us < wanted.since or meta.first_us >= wanted.until:
                continue
            if wanted.kinds is not None and meta.kind not in wanted.kinds and meta.kind != "gap":
                continue
            if not wanted.by_row and wanted.since <= meta.first_us and meta.last_us < wanted.until:
                file.read(block)  # what is damaged is told, not handed on
                collector.writer.write_block(file.read_bytes(block.offset, block.length), block)
                kept += meta.records
                continue
            batch = file.read(block)
            rows = wanted.rows(batch)
            kept += len(rows)
            collector.add(batch.select(rows))
        collector.close()
    return kept


# ---- merge ----------------------------------------------------------------------------------------------------------


class Merged(NamedTuple):
    records: int
    clocks: list[tuple[str, Offset | Unknown]]  # of each file behind the first


def _messages(file: TraceFile) -> dict[tuple[str, int], float]:
    """When each message was sent (1) or received (0) here; one that was seen twice is left out."""
    seen: dict[tuple[str, int], float] = {}
    twice = set()
    for batch in file.batches({"message"}):
        rows = zip(batch.texts("id"), batch.ints("sent").tolist(), batch.ints("at").tolist(), strict=True)
        for name, sent, at in rows:
            key = name, sent
            twice.add(key) if key in seen else seen.update({key: at / 1e6})
    return {key: at for key, at in seen.items() if key not in twice}


def compare_clocks(first: dict, second: dict) -> Offset | Unknown:
    forth = [(at, second[name, 0]) for (name, sent), at in first.items() if sent and (name, 0) in second]
    back = [(at, first[name, 0]) for (name, sent), at in second.items() if sent and (name, 0) in first]
    return estimate(forth, back)


def merge(paths: list[Path], out: Path) -> Merged:
    """Traces of several halls as one, on the clock of the first; blocks in the order of their first times. A file whose
    clock cannot be compared keeps its own times, and the result says so."""
    files = [TraceFile(path) for path in paths]
    try:
        seen = [_messages(file) for file in files]
        clocks: list[Offset | Unknown] = [compare_clocks(seen[0], other) for other in seen[1:]]
        said = {f.path.name: c._asdict() for f, c in zip(files[1:], clocks, strict=True)}
        about = {"merged": [file.about for file in files], "clocks": said}
        writer = opened(out, about, max(file.minor for file in files))
        offsets = [None, *(clock if isinstance(clock, Offset) else None for clock in clocks)]
        known = [True, *(isinstance(clock, Offset) for clock in clocks)]
        blocks = []
        for number, file in enumerate(files):
            shift = offsets[number].value if offsets[number] else 0.0
            for block in file.blocks:
                # Those of an unknown clock stand behind the others: no order across halls is pretended.
                group = 0 if known[number] else 1 + number
                blocks.append((group, block.meta.first_us - round(shift * 1e6), number, block))
        records = 0
        for _, _, number, block in sorted(blocks, key=lambda row: row[:3]):
            file = files[number]
            batch = file.read(block)
            records += batch.size
            if offsets[number] is None:
                writer.write_block(file.read_bytes(block.offset, block.length), block)
            else:
                writer.write_batch(_shifted(batch, offsets[number]))
        writer.close()
    finally:
        for file in files:
            file.file.close()
    return Merged(records, [(file.path.name, clock) for file, clock in zip(files[1:], clocks, strict=True)])


def _shifted(batch: Batch, offset: Offset) -> Batch:
    """A batch on the first clock. Only `at` and `until` are moments of unix time; spans are as long on either."""
    columns = dict(batch.columns)
    for name in ("at", "until"):
        if name in columns:
            times = columns[name][1]
            since = (times - round(offset.middle * 1e6)) / 1e6  # small, so that no microsecond is lost
            steady = (since - offset.value) / (1 + offset.drift)
            moved = offset.value + offset.drift * steady
            columns[name] = "t", times - np.round(moved * 1e6).astype(np.int64)
    return Batch(batch.kind, batch.source, columns)


# ---- anonymise ------------------------------------------------------------------------------------------------------

# Texts that may stay: they name parts of the deployment, not households. All other texts and bytes are either
# pseudonyms or left out.
PLAIN_TEXT = {"operation", "outcome", "servers", "outcomes", "run", "core", "id", "facts", "events", "orders"}
PSEUDONYMS = {"key"}
KEPT_ABOUT = {"source", "core", "created", "cut", "repaired"}


class Anonymised(NamedTuple):
    records: int
    dropped: dict[str, int]  # kinds and columns left out, with how many records


def anonymise(path: Path, out: Path, key: bytes) -> Anonymised:
    """Keys become pseudonyms by a keyed hash: equal ones stay equal, and without the key nobody tells which was which.
    Free text, and texts of kinds and columns that are not known here, are left out."""
    names: dict[str, str] = {}
    dropped: dict[str, int] = defaultdict(int)
    records = 0

    def pseudonym(text: str) -> str:
        if len(names) > 1 << 20:
            names.clear()
        if text not in names:
            names[text] = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), key=key, digest_size=9).hexdigest()
        return names[text]

    with TraceFile(path) as file:
        about = {name: value for name, value in file.about.items() if name in KEPT_ABOUT} | {"anonymised": True}
        collector = BlockCollector(opened(out, about, MINOR))
        for batch in file.batches(strict=True):
            if batch.kind == "note" or batch.kind not in KINDS:
                dropped[batch.kind] += batch.size
                continue
            columns = {}
            for name, (kind, column) in batch.columns.items():
                if name in PSEUDONYMS and isinstance(column, Strings):
                    used = np.unique(column.codes)
                    table = list(column.table)
                    for code in used.tolist():
                        table[code] = pseudonym(table[code])
                    columns[name] = kind, Strings(column.codes, table)
                elif kind in "sSb" and (name not in PLAIN_TEXT or STORED_KINDS[batch.kind].get(name) != kind):
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
    return Anonymised(records, dict(dropped))


# ---- summary --------------------------------------------------------------------------------------------------------

EDGES = np.concatenate(([0], np.logspace(2, 8, 241)))  # microseconds: within 6% of each other


def summary(path: Path) -> dict:
    """What a trace holds, in plain figures. Quantiles are told within 6%."""
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
            "operations": {name: _told(row) for name, row in sorted(operations.items())},
            "servers": dict(sorted(servers.items(), key=lambda row: (-row[1], row[0]))[:200]),
        }


def _add_invocations(batch: Batch, operations: dict[str, dict], servers: dict[str, int]) -> None:
    codes, table = batch.columns["operation"][1]
    outcomes = batch.columns["outcome"][1]
    took, value, counts = batch.ints("took"), batch.ints("value"), batch.columns["servers"][1].counts
    for code, name in enumerate(table):
        rows = np.flatnonzero(codes == code)
        if len(rows):
            row = operations.setdefault(
                name,
                {
                    "count": 0,
                    "value": 0.0,
                    "tries": 0,
                    "outcomes": defaultdict(int),
                    "took": np.zeros(len(EDGES) + 1, dtype=np.int64),
                },
            )
            row["count"] += len(rows)
            row["value"] += float(value[rows].sum())
            row["tries"] += int(counts[rows].sum())
            row["took"] += np.bincount(np.searchsorted(EDGES, took[rows]), minlength=len(EDGES) + 1)
            for code, many in zip(*np.unique(outcomes.codes[rows], return_counts=True), strict=True):
                row["outcomes"][outcomes.table[int(code)]] += int(many)
    names = batch.columns["servers"][1].items
    for code, many in zip(*np.unique(names.codes, return_counts=True), strict=True):
        servers[names.table[int(code)]] += int(many)


def _told(row: dict) -> dict:
    edges, whole = np.append(EDGES, EDGES[-1]), np.cumsum(row["took"])
    places = {q: np.searchsorted(whole, q / 100 * whole[-1]) for q in (50, 99)}
    quantiles = {f"p{q}_s": round(float(edges[index]) / 1e6, 4) for q, index in places.items()}
    return {
        "count": row["count"],
        "value": round(row["value"], 6),
        "outcomes": dict(row["outcomes"]),
        "tries_each": round(row["tries"] / row["count"], 4),
        **quantiles,
    }


# ---- verify and repair ----------------------------------------------------------------------------------------------


class Verified(NamedTuple):
    """`digest`: of all records that can be read, whatever their order and blocks; `last`: the last good record, as
    (kind, source, seq, unix time)."""

    records: int
    blocks: int
    damages: list
    last: tuple | None
    index: str  # "sound", "none" or "other": it is not of this file as it stands
    missing: dict[str, int]  # by source: records that seq says were there, less those that gaps tell of
    digest: str


def digest_of(batch: Batch) -> int:
    """The sum of the hashes of a batch's records."""
    total = 0
    for row in to_rows(batch):
        body = msgspec.msgpack.encode([batch.kind, batch.source, sorted(row.items())])
        total += xxhash.xxh64_intdigest(body)
    return total & (1 << 64) - 1


def verify(path: Path, digest: bool = False) -> Verified:
    """Looks at every byte of a trace."""
    with TraceFile(path) as by_index:
        indexed, size = by_index.indexed, by_index.size
        tail = by_index.read_bytes(max(0, size - 8), 8)
    with TraceFile(path, scan=True) as file:
        records = blocks = total = 0
        last, seqs = None, defaultdict(lambda: [0, 0, 0, 0])  # least, most, how many, told lost
        for block in file.blocks:
            try:
                batch = file.read(block)
            except TraceError as error:
                file.damages.append((block.offset, str(error)))
                continue
            records, blocks = records + batch.size, blocks + 1
            if digest:
                total += digest_of(batch)
            if not batch.size or "seq" not in batch.columns:
                continue
            seq, row = batch.ints("seq"), seqs[batch.source]
            if batch.kind == "gap":
                row[3] += int(batch.ints("lost").sum())
                continue
            row[0] = int(seq.min()) if not row[2] else min(row[0], int(seq.min()))
            row[1], row[2] = max(row[1], int(seq.max())), row[2] + batch.size
            place_of = int(np.argmax(seq))
            if last is None or batch.ints("at")[place_of] >= last[3] * 1e6:
                last = batch.kind, batch.source, int(seq[place_of]), int(batch.ints("at")[place_of]) / 1e6
        holes = {source: most - least + 1 - count - told for source, (least, most, count, told) in seqs.items()}
        missing = {source: hole for source, hole in holes.items() if hole > 0}
        index = "sound" if indexed else "other" if tail == b"DSTREND\n" else "none"
        return Verified(
            records,
            blocks,
            [tuple(damage) for damage in file.damages],
            last,
            index,
            missing,
            f"{total & (1 << 64) - 1:016x}" if digest else "",
        )


def repair(path: Path, out: Path) -> tuple[int, list]:
    """Every sound block of a trace in a new one with its index; the records kept, and what was not sound."""
    records = 0
    with TraceFile(path, scan=True) as file:
        writer = opened(out, file.about | {"repaired": True}, file.minor)
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


def to_lines(path: Path, sink: IO[bytes]) -> int:
    """JSON lines: first what the trace says of itself, then by time each record; before the first record of a shape a
    line with its columns' types. Bytes are base64."""
    count, shapes, told = 0, {}, {}
    with TraceFile(path) as file:
        sink.write(msgspec.json.encode({"trace": file.about, "minor": file.minor}) + b"\n")
        for batch, row in file.records_by_time():
            if told.get(batch.kind) is not batch.columns:
                told[batch.kind] = batch.columns
                shape = {name: kind for name, (kind, _) in batch.columns.items()}
                if shapes.get(batch.kind) != shape:
                    shapes[batch.kind] = shape
                    sink.write(msgspec.json.encode({"types": shape, "kind": batch.kind}) + b"\n")
            sink.write(msgspec.json.encode({"kind": batch.kind, "source": batch.source, **row}) + b"\n")
            count += 1
    return count


def from_lines(lines: Iterable[bytes], out: Path) -> int:
    """A trace of JSON lines; TraceError names the line that cannot be taken."""
    collector, count = None, 0
    types: dict[str, dict[str, str]] = {}
    waiting: dict[tuple[str, str], list[dict]] = defaultdict(list)

    def flush(key: tuple[str, str]) -> None:
        rows = waiting.pop(key)
        shape = types[key[0]]
        columns = {
            name: (kind, make_column(kind, _plain(kind, [row[name] for row in rows]))) for name, kind in shape.items()
        }
        collector.add(compact_invocations(Batch(*key, columns)))

    try:
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            row = _decoded(line, number)
            if collector is None:
                if not isinstance(row.get("trace"), dict):
                    raise TraceError('line 1: {"trace": {...}} is wanted first')
                collector = BlockCollector(opened(out, row["trace"], _minor(row)))
            elif "types" in row:
                for key in [key for key in waiting if key[0] == row.get("kind")]:
                    flush(key)
                types[_text(row, "kind", number)] = _shape(row["types"], number)
            else:
                kind, source = _text(row, "kind", number), _text(row, "source", number)
                if kind not in types:
                    types[kind] = dict(KINDS.get(kind, {}))
                row.pop("kind"), row.pop("source")
                if set(row) != set(types[kind]):
                    raise TraceError(f"line {number}: a record of kind {kind} has the fields {', '.join(types[kind])}")
                waiting[kind, source].append(row)
                count += 1
                if len(waiting[kind, source]) >= RECORDS_PER_BLOCK:
                    flush((kind, source))
        for key in list(waiting):
            flush(key)
    except TraceError:
        if collector is not None:
            collector.writer.file.close()
            out.unlink()
        raise
    if collector is None:
        raise TraceError("no line at all")
    collector.close()
    return count


def _decoded(line: bytes, number: int) -> dict:
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError as error:
        raise TraceError(f"line {number}: {error}") from None


def _text(row: dict, name: str, number: int) -> str:
    if not isinstance(row.get(name), str):
        raise TraceError(f"line {number}: {name} is wanted, a text")
    return row[name]


def _minor(row: dict) -> int:
    minor = row.get("minor", MINOR)
    return minor if isinstance(minor, int) and 0 <= minor < 65536 else MINOR


def _shape(shape: object, number: int) -> dict[str, str]:
    if not isinstance(shape, dict) or not set(map(str, shape.values())) <= set(COLUMN_TYPES):
        raise TraceError(f"line {number}: types are of {', '.join(COLUMN_TYPES)}")
    return shape


def _plain(kind: str, column: list) -> list:
    try:
        if kind == "t":
            return [round(value * 1e6) for value in column]
        if kind == "T":
            return [[round(item * 1e6) for item in value] for value in column]
        return [base64.b64decode(value, validate=True) for value in column] if kind == "b" else column
    except (TypeError, ValueError, OverflowError) as error:
        raise TraceError(f"a value of type {kind}: {error}") from None
