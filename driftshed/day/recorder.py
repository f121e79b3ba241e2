"""Records all socket traffic between the processes of a day, with times and connections, in a file, and reads it
back."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from driftshed.net.loop import Loop
from driftshed.net.stream import Stream, Tap

# Kinds of connections, from the side that connects: proxies to the supervisor, the roster to it, proxies to servers,
# clients to proxies, the supervisor to the store; STORED is the latter as the store received it, behind the fault
# relays. ORDER: supervisors report to the harness the orders that rest on committed values.
CONTROL, ROSTER, WORK, CLIENT, STORE = "control", "roster", "work", "ask", "store"
STORED, ORDER = "stored", "order"


class Traffic(NamedTuple):
    """Bytes received on a connection. `back`: from the side that accepted it; empty `data`: the connection ended."""

    at: float  # seconds from the start of the day
    connection: int
    back: bool
    data: bytes


class NewConnection(NamedTuple):
    """A new connection. The first row of a file is the kind "began", with the unix time in `source`."""

    connection: int
    kind: str
    source: str  # address:port of the side that connects
    destination: str  # address:port that accepts


class Recorder:
    """Appends traffic to a file as it is observed."""

    def __init__(self, loop: Loop, path: Path) -> None:
        """Opens `path`, replacing an earlier file; `bytes` counts what was written."""
        self.loop, self.file, self.connections, self.began = loop, path.open("wb"), 0, loop.clock()
        self.bytes = 0

    def begin(self) -> None:
        """Sets the start of the day to now. Its unix time is written, since roster messages give starts of servers in
        it."""
        self.began = self.loop.clock()
        self._write(NewConnection(0, "began", repr(time.time()), ""))

    def _write(self, record: tuple) -> None:
        data = msgspec.msgpack.encode(record)
        self.bytes += len(data)
        self.file.write(len(data).to_bytes(4, "little") + data)

    def open(self, kind: str, source: tuple[str, int], destination: tuple[str, int]) -> Tap:
        """Registers a new connection and returns its tap, called as tap(back, data)."""
        self.connections += 1
        number = self.connections
        self._write(NewConnection(number, kind, f"{source[0]}:{source[1]}", f"{destination[0]}:{destination[1]}"))
        return lambda back, data: self._write(Traffic(self.loop.clock() - self.began, number, back, data))

    def tap_accepted(self, kind: str, destination: tuple[str, int]):
        """A callback for a server's `on_connection` that taps each accepted stream."""

        def on_connection(stream: Stream) -> None:
            stream.tap = self.open(kind, stream.peer, destination)

        return on_connection

    def tap_outgoing(self, kind: str, destination: tuple[str, int]) -> Tap:
        """A tap for the connecting side, called as tap(outward, data): outward data are requests, inward data
        answers."""
        tap = self.open(kind, ("", 0), destination)
        return lambda outward, data: tap(not outward, data)

    def close(self) -> None:
        """Closes the file; nothing may be tapped afterwards."""
        self.file.close()


def read_record(path: Path) -> Iterator[NewConnection | Traffic]:
    """Yields the rows that a recorder wrote, in order; ValueError where the file is cut short."""
    with path.open("rb") as file:
        while head := file.read(4):
            data = file.read(int.from_bytes(head, "little"))
            if len(head) < 4 or len(data) < int.from_bytes(head, "little"):
                raise ValueError(f"{path}: cut short")
            row = msgspec.msgpack.decode(data)
            yield Traffic(*row) if isinstance(row[0], float) else NewConnection(*row)
