"""Writing a trace from a running program: on a thread of its own, with bounded memory, and with a record of every
loss."""

from __future__ import annotations

import os
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

from driftshed.trace.columns import TraceError
from driftshed.trace.files import RECORDS_PER_BLOCK, TraceFile, TraceFileWriter
from driftshed.trace.replay import core_version
from driftshed.trace.schema import to_batches

MAX_QUEUED_BATCHES = 32  # lists of records waiting for the disk; while the queue is full, further ones are dropped
FLUSH_INTERVAL_S = 1.0  # after which an incomplete block is written
SUFFIX = ".dst"

FileOpener = Callable[[Path, dict], TraceFileWriter]


def recover_file(path: Path) -> tuple[int, int]:
    """Completes a file that was not closed: removes everything after the last intact block and writes the index.
    Returns the number of blocks kept and of bytes removed. A file with a valid index is left unchanged."""
    with TraceFile(path) as file:
        if file.indexed:
            return len(file.blocks), 0
        blocks = file.blocks
        end = max((block.offset + block.length for block in blocks), default=file.data_start)
        file_size = file.size
    with path.open("r+b") as raw:
        raw.truncate(end)
    writer = TraceFileWriter(path, {}, file=_ResumedFile(path, end))
    writer.blocks, writer.offset = blocks, end
    writer.close()
    return len(blocks), file_size - end


class _ResumedFile:
    """An existing file to append to. Ignores the first write, the header, since the file already has one."""

    def __init__(self, path: Path, end: int) -> None:
        self.file, self.header_skipped = path.open("r+b", buffering=0), False
        self.file.seek(end)

    def write(self, data: bytes) -> int:
        if not self.header_skipped:
            self.header_skipped = True
            return len(data)
        return self.file.write(data)

    def fileno(self) -> int:
        return self.file.fileno()

    def close(self) -> None:
        self.file.close()


class TraceWriter:
    """Writes the traces of one source into a folder: `SOURCE-000001.dst` and so on, with a new file at a given size or
    age.

    `add` is cheap and never blocks. A separate thread encodes and writes; when the disk is slow or full, whole lists of
    records are dropped, and a `gap` record reports when and how many. A crash can lose the records of the last second
    in memory, those queued for the disk, and the block being written.

    `add`, `flush` and `close` belong to the caller's thread; `gap_lock` guards the loss counters, which both threads
    update. `recovered`: (file name, blocks kept, bytes removed) of each earlier file of this source that had not been
    closed."""

    def __init__(
        self,
        folder: Path,
        source: str,
        about: dict | None = None,
        max_file_bytes: int = 64 << 20,
        max_file_age_s: float = 3600.0,
        sync_interval_s: float = 1.0,
        opener: FileOpener = TraceFileWriter,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Recovers earlier files of this source and starts the thread. `sync_interval_s` 0 syncs after each
        write. `about` is added to the header of each file."""
        self.folder, self.source, self.max_file_bytes, self.max_file_age_s, self.sync_interval_s = (
            folder,
            source,
            max_file_bytes,
            max_file_age_s,
            sync_interval_s,
        )
        self.about = {"source": source, "core": core_version(), **(about or {})}
        self.opener, self.clock = opener, clock
        folder.mkdir(parents=True, exist_ok=True)
        self.recovered: list[tuple[str, int, int]] = []
        numbers = [0]
        for path in sorted(folder.glob(f"{source}-*{SUFFIX}")):
            numbers.append(int(path.stem.rpartition("-")[2]) if path.stem.rpartition("-")[2].isdigit() else 0)
            try:
                blocks, removed = recover_file(path)
            except TraceError:
                # Without a complete header the file has no blocks: nothing can be kept, and no record is lost.
                path.rename(path.with_suffix(".broken"))
                self.recovered.append((path.name, 0, path.with_suffix(".broken").stat().st_size))
                continue
            if removed:
                self.recovered.append((path.name, blocks, removed))
        self.file_number = max(numbers)
        self.seq = 0
        self.rows: list[tuple[str, str, dict]] = []
        self.first_at = 0.0
        self.gap: list | None = None  # since, until, number of records, reason: not yet written
        self.lost = self.written = 0
        self.last_error = ""
        self.gap_lock = threading.Lock()
        self.queue: queue.Queue = queue.Queue(MAX_QUEUED_BATCHES)
        self.file: TraceFileWriter | None = None
        self.opened_at = self.synced_at = 0.0
        self.thread = threading.Thread(target=self._run, name=f"trace {source}", daemon=True)
        self.thread.start()

    def add(self, kind: str, at: float, **fields: object) -> None:
        """Adds a record; `at`: unix time in seconds. Fields are validated only when written, on the writer's thread."""
        self.seq += 1
        if not self.rows:
            self.first_at = at
        self.rows.append((kind, self.source, {"at": at, "seq": self.seq, **fields}))
        if len(self.rows) >= RECORDS_PER_BLOCK:
            self._enqueue()

    def flush(self) -> None:
        """Queues the pending records for writing. Call it about once a second."""
        if self.rows:
            self._enqueue()

    def _enqueue(self) -> None:
        rows, self.rows = self.rows, []
        try:
            self.queue.put_nowait(rows)
        except queue.Full:
            self._record_loss(rows, "the disk is too slow")

    def _record_loss(self, rows: list, why: str) -> None:
        with self.gap_lock:
            self.lost += len(rows)
            first, last, count = rows[0][2]["at"], rows[-1][2]["at"], len(rows)
            if self.gap is None:
                self.gap = [first, last, count, why]
            else:
                self.gap[1:3] = [last, self.gap[2] + count]

    def _run(self) -> None:
        while True:
            try:
                rows = self.queue.get(timeout=FLUSH_INTERVAL_S)
            except queue.Empty:
                rows = []
            if rows is None:
                break
            if rows:
                self._write(rows)
            self._sync_and_rotate()
        with self.gap_lock:
            has_gap = self.gap is not None
        if has_gap:
            self._write([])
        if self.file is not None:
            self._close()

    def _write(self, rows: list) -> None:
        with self.gap_lock:
            gap, self.gap = self.gap, None
        try:
            if self.file is None:
                self.file_number += 1
                path = self.folder / f"{self.source}-{self.file_number:06d}{SUFFIX}"
                self.file = self.opener(path, self.about | {"created": self.clock()})
                self.opened_at = self.synced_at = time.monotonic()
            if gap:
                since, until, count, why = gap
                row = {"at": since, "seq": 0, "until": until, "lost": count, "why": why}
                self.file.write_batch(to_batches([("gap", self.source, row)])[0])
                gap = None
            before = len(self.file.blocks)
            for batch in to_batches(rows):
                self.file.write_batch(batch)
            self.written += sum(block.meta.records for block in self.file.blocks[before:])
        except (OSError, TraceError) as error:
            self._on_write_error(gap, rows, error)

    def _on_write_error(self, gap: list | None, rows: list, error: Exception) -> None:
        """Turns a write error, such as a full disk, into a gap that is written once there is room again. Part of the
        records may already be in the file; the gap then reports more lost records than there were, never fewer."""
        self.last_error = str(error)
        with self.gap_lock:
            later_gap, self.gap = self.gap, gap
        if rows:
            self._record_loss(rows, "the disk could not be written")
        if later_gap:
            with self.gap_lock:
                if self.gap is None:
                    self.gap = later_gap
                else:
                    self.gap[1:3] = [max(self.gap[1], later_gap[1]), self.gap[2] + later_gap[2]]

    def _sync_and_rotate(self) -> None:
        """Syncs the file if the interval has passed, and closes it at its maximum size or age."""
        if self.file is None:
            return
        now = time.monotonic()
        try:
            if now - self.synced_at >= self.sync_interval_s:
                self.file.sync()
                self.synced_at = now
        except OSError as error:
            self.last_error = str(error)
        if self.file.offset >= self.max_file_bytes or now - self.opened_at >= self.max_file_age_s:
            self._close()

    def _close(self) -> None:
        file, self.file = self.file, None
        try:
            file.close()
        except OSError as error:
            self.last_error = str(error)  # the file has no index; readers scan it instead

    def close(self, timeout: float = 5.0) -> bool:
        """Writes the remaining records and closes the file. Returns whether that finished within `timeout` seconds for
        each of queueing and writing."""
        self.flush()
        try:
            self.queue.put(None, timeout=timeout)
        except queue.Full:
            return False
        self.thread.join(timeout)
        return not self.thread.is_alive()


def schedule_trace_flush(loop, writer: TraceWriter, log: Callable[..., object] = lambda *_, **__: None) -> None:
    """Flushes the writer once a second on a loop, and logs the number of records lost since the last report."""
    reported = 0

    def flush() -> None:
        nonlocal reported
        loop.after(FLUSH_INTERVAL_S, flush)
        writer.flush()
        if writer.lost != reported:
            log(
                "trace_lost",
                level="warning",
                records=writer.lost - reported,
                why=writer.last_error or "the disk is too slow",
            )
            reported = writer.lost

    loop.after(FLUSH_INTERVAL_S, flush)


def require_new_path(path: Path) -> None:
    """Raises TraceError if the path exists, so that no file is overwritten."""
    if os.path.lexists(path):
        raise TraceError(f"{path} already exists; choose another name")
