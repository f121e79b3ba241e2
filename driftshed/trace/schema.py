"""The kinds of records that this version writes, and how plain rows become columns. A newer minor version may add kinds
and columns; what is not known here is passed on as it is."""

from __future__ import annotations

from collections import defaultdict

import numpy as np

from driftshed.trace.columns import Batch, Lists, TraceError, column_values, make_column

# `at`: unix time. `seq`: counts the records of a source, without a hole but where a gap record says so.
BASE = {"at": "t", "seq": "i"}
KINDS: dict[str, dict[str, str]] = {
    # One client's request at a proxy: its tries with their servers, when each began after `at`, how long it took and
    # what came of it; `value`: billed value earned.
    "invocation": BASE
    | {
        "proxy": "i",
        "operation": "s",
        "key": "s",
        "took": "t",
        "outcome": "s",
        "value": "f",
        "servers": "S",
        "began": "T",
        "spans": "T",
        "outcomes": "S",
    },
    # An instance of the module begins: its facts, and which code decides.
    "start": BASE | {"run": "s", "begin": "i", "now": "f", "seed": "i", "core": "s", "facts": "b"},
    # Before this turn it went over to other facts (core/carrying.py).
    "switch": BASE | {"run": "s", "begin": "i", "turn": "i", "now": "f", "facts": "b"},
    # One batch that the module heard, and what it ordered; `turn` counts without a hole within (`run`, `begin`).
    "turn": BASE | {"run": "s", "begin": "i", "turn": "i", "now": "f", "events": "b", "orders": "b"},
    # What a part that supervisors settle together decided on a topic, `what` kind of decision, and all that it
    # rests on; both in JSON.
    "decision": BASE | {"run": "s", "what": "s", "topic": "s", "given": "b", "said": "b"},
    # A message seen at one end: the other end has the same `id`. What clocks are compared by.
    "message": BASE | {"id": "s", "sent": "i"},
    # Records that could not be written.
    "gap": BASE | {"until": "t", "lost": "i", "why": "s"},
    "note": BASE | {"text": "s"},
}


# As it is stored, an invocation says what is new: `gaps`, from the end of the try before (or from `at`) to the
# beginning of each, and `rest`, from the end of the last to the answer. `began` and `took` follow from them and from
# `spans`.
STORED = {kind: dict(columns) for kind, columns in KINDS.items()}
INSTEAD = {"began": "gaps", "took": "rest"}
STORED["invocation"] = {INSTEAD.get(name, name): kind for name, kind in KINDS["invocation"].items()}


def _ends(counts: np.ndarray, whole: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    """Running sums of items, each record's from 0; and the last of each record, 0 where it has none."""
    sums = np.cumsum(whole)
    last = np.cumsum(counts)
    before = np.concatenate(([0], sums))[last - counts]
    return sums - np.repeat(before, counts), np.concatenate(([0], sums))[last] - before


def _has_tries(batch: Batch, begins: str, ends: str) -> bool:
    """Whether these are invocations with their tries told by these columns."""
    if batch.kind != "invocation" or not {begins, ends, "spans"} <= set(batch.columns):
        return False
    if not np.array_equal(batch.columns[begins][1].counts, batch.columns["spans"][1].counts):
        raise TraceError("an invocation has more tries in one column than in another")
    return True


def spread(batch: Batch) -> Batch:
    """A batch as it is stored, with what follows from it."""
    if not _has_tries(batch, "gaps", "rest"):
        return batch
    (counts, gaps), spans = batch.columns["gaps"][1], batch.columns["spans"][1]
    ends, last = _ends(counts, gaps + spans.items)
    new = {"gaps": ("began", "T", Lists(counts, ends - spans.items)), "rest": ("took", "t", last + batch.ints("rest"))}
    return _renamed(batch, new)


def fold(batch: Batch) -> Batch:
    """The other way round."""
    if not _has_tries(batch, "began", "took"):
        return batch
    (counts, began), spans = batch.columns["began"][1], batch.columns["spans"][1]
    ends = began + spans.items
    before = np.concatenate(([0], ends))[:-1] if len(ends) else ends
    firsts = (np.cumsum(counts) - counts)[counts > 0]
    before[firsts] = 0
    last = np.zeros(len(counts), dtype=np.int64)
    last[counts > 0] = ends[(np.cumsum(counts) - 1)[counts > 0]]
    new = {"began": ("gaps", "T", Lists(counts, began - before)), "took": ("rest", "t", batch.ints("took") - last)}
    return _renamed(batch, new)


def _renamed(batch: Batch, new: dict) -> Batch:
    rows = [new.get(name, (name, *column)) for name, column in batch.columns.items()]
    return Batch(batch.kind, batch.source, {name: (kind, column) for name, kind, column in rows})


def to_batch(kind: str, source: str, rows: list[dict]) -> Batch:
    """Plain rows, times in seconds, as a batch. Columns that no kind of ours has are typed by their first value."""
    known = KINDS.get(kind, BASE)
    types = dict(known)
    for name, value in rows[0].items():
        types.setdefault(name, _type_of(value))
    columns = {}
    for name, kind_of in types.items():
        try:
            column = [row[name] for row in rows]
        except KeyError:
            raise TraceError(f"a record of kind {kind} without {name}") from None
        columns[name] = kind_of, make_column(kind_of, _micros(kind_of, column))
    return fold(Batch(kind, source, columns))


def _micros(kind: str, column: list) -> list:
    if kind == "t":
        return [round(value * 1e6) for value in column]
    return [[round(item * 1e6) for item in value] for value in column] if kind == "T" else column


def _type_of(value: object) -> str:
    if isinstance(value, list):
        return _type_of(value[0]).upper() if value and not isinstance(value[0], float | bytes) else "S"
    return {bool: "i", int: "i", float: "f", str: "s", bytes: "b"}.get(type(value), "s")


def to_rows(batch: Batch) -> list[dict]:
    """The rows of a batch, times in seconds."""
    columns = {}
    for name, (kind, column) in spread(batch).columns.items():
        plain = column_values(kind, column)
        if kind == "t":
            plain = [value / 1e6 for value in plain]
        elif kind == "T":
            plain = [[item / 1e6 for item in value] for value in plain]
        columns[name] = plain
    names = list(columns)
    return [dict(zip(names, row, strict=True)) for row in zip(*columns.values(), strict=True)]


def by_kind(rows: list[tuple[str, str, dict]]) -> list[Batch]:
    """(kind, source, row)s as batches, in the order in which kinds and sources first came; rows whose columns differ
    go into batches of their own."""
    groups: dict[tuple, list[dict]] = defaultdict(list)
    for kind, source, row in rows:
        groups[kind, source, tuple(row)].append(row)
    return [to_batch(kind, source, group) for (kind, source, _), group in groups.items()]
