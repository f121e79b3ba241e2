"""Writing a trace from a running program: off its hot path, bounded in memory, and never silent about what is lost."""

from __future__ import annotations

import os
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

from driftshed.trace.columns import TraceError
from driftshed.trace.files import BLOCK_RECORDS, TraceFile, TraceFileWriter
from driftshed.trace.replay import core_version
from driftshed.trace.schema import to_batches

MOST_WAITING = 32  # handovers that wait for the disk; what comes then is dropped and counted
HOLD = 1.0  # seconds after which records are handed over though they are few
SUFFIX = ".dst"

Open = Callable[[Path, dict], TraceFileWriter]


def close_cleanly(path: Path) -> tuple[int, int]:
    """Ends a file that was cut short: what is sound stays, what is not at its end goes, and the index is written.
    The blocks kept and the bytes taken off. A file that ended well is left alone."""
    with TraceFile(path) as file:
        if file.indexed:
            return len(file.places), 0
        places = file.places
        end = max((place.offset + place.length for place in places), default=file.data_start)
        size = file.size
    with path.open("r+b") as raw:
        raw.truncate(end)
    writer = TraceFileWriter(path, {}, file=_Appending(path, end))
    writer.places, writer.offset = places, end
    writer.close()
    return len(places), size - end


class _Appending:
    """A file to go on with: the header that a writer begins with is there already."""

    def __init__(self, path: Path, end: int) -> None:
        self.file, self.begun = path.open("r+b", buffering=0), False
        self.file.seek(end)

    def write(self, data: bytes) -> int:
        if not self.begun:
            self.begun = True
            return len(data)
        return self.file.write(data)

    def fileno(self) -> int:
        return self.file.fileno()

    def close(self) -> None:
        self.file.close()


class TraceWriter:
    """Traces of one source in a folder: `SOURCE-000001.dst` and so on, a new one at a size or an age.

    `add` is cheap and never waits. A thread of its own packs and writes; when the disk is slow or full, whole
    handovers are dropped, and a `gap` record tells when and how many. What a crash can take: the records of the last
    second in memory, what waits for the disk, and the block being written. `fsync`: seconds between syncs; 0 after
    each block."""

    def __init__(
        self,
        folder: Path,
        source: str,
        about: dict | None = None,
        size: int = 64 << 20,
        age: float = 3600.0,
        fsync: float = 1.0,
        opener: Open = TraceFileWriter,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.folder, self.source, self.size, self.age, self.fsync = folder, source, size, age, fsync
        self.about = {"source": source, "core": core_version(), **(about or {})}
        self.opener, self.clock = opener, clock
        folder.mkdir(parents=True, exist_ok=True)
        self.recovered: list[tuple[str, int, int]] = []
        numbers = [0]
        for path in sorted(folder.glob(f"{source}-*{SUFFIX}")):
            numbers.append(int(path.stem.rpartition("-")[2]) if path.stem.rpartition("-")[2].isdigit() else 0)
            try:
                blocks, taken = close_cleanly(path)
            except TraceError:
                path.rename(path.with_suffix(".broken"))  # not even its header is whole: nothing to keep, nothing lost
                self.recovered.append((path.name, 0, path.with_suffix(".broken").stat().st_size))
                continue
            if taken:
                self.recovered.append((path.name, blocks, taken))
        self.number = max(numbers)
        self.seq = 0
        self.rows: list[tuple[str, str, dict]] = []
        self.first_at = 0.0
        self.gap: list | None = None  # since, until, how many: not yet told
        self.lost = self.written = 0
        self.error = ""
        self.lock = threading.Lock()
        self.queue: queue.Queue = queue.Queue(MOST_WAITING)
        self.file: TraceFileWriter | None = None
        self.opened_at = self.synced_at = 0.0
        self.thread = threading.Thread(target=self._run, name=f"trace {source}", daemon=True)
        self.thread.start()

    def add(self, kind: str, at: float, **fields: object) -> None:
        """One record; `at`: unix time in seconds. Fields are not looked at before they are written."""
        self.seq += 1
        if not self.rows:
            self.first_at = at
        self.rows.append((kind, self.source, {"at": at, "seq": self.seq, **fields}))
        if len(self.rows) >= BLOCK_RECORDS:
            self._hand_over()

    def tick(self) -> None:
        """Call it about once a second: hands over what has waited."""
        if self.rows:
            self._hand_over()

    def _hand_over(self) -> None:
        rows, self.rows = self.rows, []
        try:
            self.queue.put_nowait(rows)
        except queue.Full:
            self._lose(rows, "the disk is too slow")

    def _lose(self, rows: list, why: str) -> None:
        with self.lock:
            self.lost += len(rows)
            first, last, count = rows[0][2]["at"], rows[-1][2]["at"], len(rows)
            if self.gap is None:
                self.gap = [first, last, count, why]
            else:
                self.gap[1:3] = [last, self.gap[2] + count]

    def _run(self) -> None:
        while True:
            try:
                rows = self.queue.get(timeout=HOLD)
            except queue.Empty:
                rows = []
            if rows is None:
                break
            if rows:
                self._write(rows)
            self._tend()
        with self.lock:
            untold = self.gap is not None
        if untold:
            self._write([])
        if self.file is not None:
            self._close()

    def _write(self, rows: list) -> None:
        with self.lock:
            gap, self.gap = self.gap, None
        try:
            if self.file is None:
                self.number += 1
                path = self.folder / f"{self.source}-{self.number:06d}{SUFFIX}"
                self.file = self.opener(path, self.about | {"created": self.clock()})
                self.opened_at = self.synced_at = time.monotonic()
            if gap:
                since, until, count, why = gap
                row = {"at": since, "seq": 0, "until": until, "lost": count, "why": why}
                self.file.batch(to_batches([("gap", self.source, row)])[0])
                gap = None
            before = len(self.file.places)
            for batch in to_batches(rows):
                self.file.batch(batch)
            self.written += sum(place.meta.records for place in self.file.places[before:])
        except (OSError, TraceError) as error:
            self._failed(gap, rows, error)

    def _failed(self, gap: list | None, rows: list, error: Exception) -> None:
        """Guards against a full disk: what could not be written is a gap, told when there is room again. A part of
        the handover may stand in the file; the gap then says more was lost than was, never less."""
        self.error = str(error)
        with self.lock:
            later, self.gap = self.gap, gap
        if rows:
            self._lose(rows, "the disk could not be written")
        if later:
            with self.lock:
                if self.gap is None:
                    self.gap = later
                else:
                    self.gap[1:3] = [max(self.gap[1], later[1]), self.gap[2] + later[2]]

    def _tend(self) -> None:
        """Syncs and goes on to the next file when it is time."""
        if self.file is None:
            return
        now = time.monotonic()
        try:
            if now - self.synced_at >= self.fsync:
                self.file.sync()
                self.synced_at = now
        except OSError as error:
            self.error = str(error)
        if self.file.offset >= self.size or now - self.opened_at >= self.age:
            self._close()

    def _close(self) -> None:
        file, self.file = self.file, None
        try:
            file.close()
        except OSError as error:
            self.error = str(error)  # without an index; it is made anew by readers

    def close(self, within: float = 5.0) -> bool:
        """Hands over the rest and ends the file; whether that was done in time."""
        self.tick()
        try:
            self.queue.put(None, timeout=within)
        except queue.Full:
            return False
        self.thread.join(within)
        return not self.thread.is_alive()


def tend_trace(loop, writer: TraceWriter, log: Callable[..., object] = lambda *_, **__: None) -> None:
    """Hands over once a second on a loop, and logs what was lost since."""
    said = 0

    def tend() -> None:
        nonlocal said
        loop.after(HOLD, tend)
        writer.tick()
        if writer.lost != said:
            log("trace_lost", level="warning", records=writer.lost - said, why=writer.error or "the disk is too slow")
            said = writer.lost

    loop.after(HOLD, tend)


def free_name(path: Path) -> None:
    """TraceError where a file of this name stands already: nothing is written over."""
    if os.path.lexists(path):
        raise TraceError(f"{path} is there already; take another name")
