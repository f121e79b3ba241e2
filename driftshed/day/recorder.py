"""The recorder: every byte that passes on the sockets between the parts, when and on which connection; and its file."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from driftshed.net.loop import Loop
from driftshed.net.stream import Stream, Tap

# Kinds of links, named from the one who asks: proxies to the supervisor, the roster to it, proxies to servers, clients
# to proxies, the supervisor to a store of nodes; and, with faults between, what of it the store saw. Orders that rest
# on an agreement go to the rig itself.
CONTROL, ROSTER, WORK, ASK, STORE = "control", "roster", "work", "ask", "store"
STORED, ORDER = "stored", "order"


class Passed(NamedTuple):
    """Bytes that passed: `back` from the one who was asked; none at the connection's end."""

    at: float  # seconds from the start of the day
    connection: int
    back: bool
    data: bytes


class Opened(NamedTuple):
    connection: int
    kind: str
    asks: str  # "address:port" of the one who dialled
    asked: str  # and of the one who was


class Recorder:
    """Writes what passes to a file as it passes."""

    def __init__(self, loop: Loop, path: Path) -> None:
        self.loop, self.file, self.connections, self.began = loop, path.open("wb"), 0, loop.clock()
        self.bytes = 0

    def begin(self) -> None:
        """The day begins now; its unix time is kept, since the roster's wire tells starts by it."""
        self.began = self.loop.clock()
        self._write(Opened(0, "began", repr(time.time()), ""))

    def _write(self, record: tuple) -> None:
        data = msgspec.msgpack.encode(record)
        self.bytes += len(data)
        self.file.write(len(data).to_bytes(4, "little") + data)

    def open(self, kind: str, asks: tuple[str, int], asked: tuple[str, int]) -> Tap:
        """A tap for a new connection, called as tap(back, data)."""
        self.connections += 1
        number = self.connections
        self._write(Opened(number, kind, f"{asks[0]}:{asks[1]}", f"{asked[0]}:{asked[1]}"))
        return lambda back, data: self._write(Passed(self.loop.clock() - self.began, number, back, data))

    def accepted(self, kind: str, asked: tuple[str, int]):
        """For a server's `on_connection`: taps each stream that it accepts."""

        def on_connection(stream: Stream) -> None:
            stream.tap = self.open(kind, stream.peer, asked)

        return on_connection

    def asking(self, kind: str, asked: tuple[str, int]) -> Tap:
        """A tap for the one who dials: what goes out is asked, what comes in is the answer."""
        tap = self.open(kind, ("", 0), asked)
        return lambda outward, data: tap(not outward, data)

    def close(self) -> None:
        self.file.close()


def read_record(path: Path) -> Iterator[Opened | Passed]:
    """What a recorder wrote, in order; ValueError where the file is cut short."""
    with path.open("rb") as file:
        while head := file.read(4):
            data = file.read(int.from_bytes(head, "little"))
            if len(head) < 4 or len(data) < int.from_bytes(head, "little"):
                raise ValueError(f"{path}: cut short")
            row = msgspec.msgpack.decode(data)
            yield Passed(*row) if isinstance(row[0], float) else Opened(*row)
