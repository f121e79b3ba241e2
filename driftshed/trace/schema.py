"""The kinds of records that this version writes, and the conversion between rows and columns. A newer minor version may
add kinds and columns; unknown ones are passed through unchanged."""

from __future__ import annotations

from collections import defaultdict

import numpy as np

from driftshed.trace.columns import Batch, Lists, TraceError, column_values, make_column

# `at`: unix time. `seq`: number of the record within its source; consecutive except where a gap record reports a loss.
COMMON_COLUMNS = {"at": "t", "seq": "i"}
KINDS: dict[str, dict[str, str]] = {
    # One invocation at a proxy. `took`: from `at` to the answer. Each try has its server, its start relative to `at`
    # (`began`), its duration (`spans`) and its outcome. `value`: billed value earned.
    "invocation": COMMON_COLUMNS
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
    # Start of an instance of the decisions module: its facts, and the digest of the code that decides (`core`).
    "start": COMMON_COLUMNS | {"run": "s", "begin": "i", "now": "f", "seed": "i", "core": "s", "facts": "b"},
    # The instance was migrated to other facts before this turn (core/migration.py).
    "switch": COMMON_COLUMNS | {"run": "s", "begin": "i", "turn": "i", "now": "f", "facts": "b"},
    # One batch of events handled by the module, and its orders; `turn` is consecutive within (`run`, `begin`).
    "turn": COMMON_COLUMNS | {"run": "s", "begin": "i", "turn": "i", "now": "f", "events": "b", "orders": "b"},
    # A decision on a topic that the supervisors agree on. `what`: the kind of decision; `given`: all its inputs;
    # `said`: its result; both in JSON.
    "decision": COMMON_COLUMNS | {"run": "s", "what": "s", "topic": "s", "given": "b", "said": "b"},
    # A message sent or received here; the trace of the other end has the same `id`. Clocks are compared by these.
    "message": COMMON_COLUMNS | {"id": "s", "sent": "i"},
    # Records that were lost because they could not be written.
    "gap": COMMON_COLUMNS | {"until": "t", "lost": "i", "why": "s"},
    "note": COMMON_COLUMNS | {"text": "s"},
}


# An invocation is stored with relative times, which need fewer bytes: `gaps`, from the end of the previous try (or from
# `at`) to the start of each try, and `rest`, from the end of the last try to the answer. `began` and `took` are
# computed from these and `spans`.
STORED_KINDS = {kind: dict(columns) for kind, columns in KINDS.items()}
STORED_NAMES = {"began": "gaps", "took": "rest"}
STORED_KINDS["invocation"] = {STORED_NAMES.get(name, name): kind for name, kind in KINDS["invocation"].items()}


def _cumulative_ends(counts: np.ndarray, durations: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    """The cumulative sums of a list column's items, restarting at 0 for each record, and the last sum of each record
    (0 for a record without items)."""
    sums = np.cumsum(durations)
    last = np.cumsum(counts)
    before_record = np.concatenate(([0], sums))[last - counts]
    return sums - np.repeat(before_record, counts), np.concatenate(([0], sums))[last] - before_record


def _has_try_columns(batch: Batch, start_column: str, end_column: str) -> bool:
    """Whether these are invocations whose tries are described by these columns. Raises TraceError if the columns
    disagree on the number of tries."""
    if batch.kind != "invocation" or not {start_column, end_column, "spans"} <= set(batch.columns):
        return False
    if not np.array_equal(batch.columns[start_column][1].counts, batch.columns["spans"][1].counts):
        raise TraceError("the columns of an invocation disagree on the number of tries")
    return True


def expand_invocations(batch: Batch) -> Batch:
    """Replaces the stored columns `gaps` and `rest` of invocations by `began` and `took`. Other batches are returned
    unchanged."""
    if not _has_try_columns(batch, "gaps", "rest"):
        return batch
    (counts, gaps), spans = batch.columns["gaps"][1], batch.columns["spans"][1]
    ends, last = _cumulative_ends(counts, gaps + spans.items)
    replacements = {
        "gaps": ("began", "T", Lists(counts, ends - spans.items)),
        "rest": ("took", "t", last + batch.ints("rest")),
    }
    return _replace_columns(batch, replacements)


def compact_invocations(batch: Batch) -> Batch:
    """Replaces `began` and `took` of invocations by the stored columns `gaps` and `rest`: the inverse of
    `expand_invocations`."""
    if not _has_try_columns(batch, "began", "took"):
        return batch
    (counts, began), spans = batch.columns["began"][1], batch.columns["spans"][1]
    ends = began + spans.items
    previous_ends = np.concatenate(([0], ends))[:-1] if len(ends) else ends
    first_tries = (np.cumsum(counts) - counts)[counts > 0]
    previous_ends[first_tries] = 0
    last = np.zeros(len(counts), dtype=np.int64)
    last[counts > 0] = ends[(np.cumsum(counts) - 1)[counts > 0]]
    replacements = {
        "began": ("gaps", "T", Lists(counts, began - previous_ends)),
        "took": ("rest", "t", batch.ints("took") - last),
    }
    return _replace_columns(batch, replacements)


def _replace_columns(batch: Batch, replacements: dict) -> Batch:
    rows = [replacements.get(name, (name, *column)) for name, column in batch.columns.items()]
    return Batch(batch.kind, batch.source, {name: (column_type, column) for name, column_type, column in rows})


def to_batch(kind: str, source: str, rows: list[dict]) -> Batch:
    """Builds a batch, as stored, from rows with times in seconds. The type of a column that is not in `KINDS` is
    inferred from its first value. Raises TraceError if a row lacks a column or a value does not fit its type."""
    known = KINDS.get(kind, COMMON_COLUMNS)
    types = dict(known)
    for name, value in rows[0].items():
        types.setdefault(name, _infer_type(value))
    columns = {}
    for name, column_type in types.items():
        try:
            column = [row[name] for row in rows]
        except KeyError:
            raise TraceError(f"a record of kind {kind} has no field {name}") from None
        columns[name] = column_type, make_column(column_type, _to_microseconds(column_type, column))
    return compact_invocations(Batch(kind, source, columns))


def _to_microseconds(column_type: str, column: list) -> list:
    if column_type == "t":
        return [round(value * 1e6) for value in column]
    return [[round(item * 1e6) for item in value] for value in column] if column_type == "T" else column


def _infer_type(value: object) -> str:
    if isinstance(value, list):
        return _infer_type(value[0]).upper() if value and not isinstance(value[0], float | bytes) else "S"
    return {bool: "i", int: "i", float: "f", str: "s", bytes: "b"}.get(type(value), "s")


def to_rows(batch: Batch) -> list[dict]:
    """The rows of a batch, invocations expanded and times in seconds."""
    columns = {}
    for name, (column_type, column) in expand_invocations(batch).columns.items():
        plain = column_values(column_type, column)
        if column_type == "t":
            plain = [value / 1e6 for value in plain]
        elif column_type == "T":
            plain = [[item / 1e6 for item in value] for value in plain]
        columns[name] = plain
    names = list(columns)
    return [dict(zip(names, row, strict=True)) for row in zip(*columns.values(), strict=True)]


def to_batches(rows: list[tuple[str, str, dict]]) -> list[Batch]:
    """Groups (kind, source, row) tuples into batches, ordered by the first row of each group. Rows with different
    fields go into separate batches."""
    groups: dict[tuple, list[dict]] = defaultdict(list)
    for kind, source, row in rows:
        groups[kind, source, tuple(row)].append(row)
    return [to_batch(kind, source, group) for (kind, source, _), group in groups.items()]
