"""A relay that injects network faults between two processes: blocked directions, delays, resets, and the loss
of a single request or answer. It splits the stream into messages (frames of the store's protocol), so that both
"carried out, but the answer was lost" and "never carried out" occur."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.net.loop import Timers
from driftshed.net.stream import Listener, Stream, dial

FORTH, BACK = "forth", "back"


def frame_length(data: bytes) -> int:
    """The length in bytes, with its header, of the first frame of the store's protocol; 0 while it is incomplete."""
    size = int.from_bytes(data[:4], "big") + 4 if len(data) >= 4 else 0
    return size if 0 < size <= len(data) else 0


class _Connection:
    def __init__(self, relay: FaultRelay, near: Stream) -> None:
        self.relay, self.near = relay, near
        self.far = dial(relay.loop, relay.target)
        # By direction, an incomplete message, or messages that wait while it is blocked.
        self.buffered = {FORTH: b"", BACK: b""}
        self.send_at = {FORTH: 0.0, BACK: 0.0}  # when the last delayed message is sent on
        self.partitioned = False  # a direction was blocked: neither end learns that the other closed
        near.on_data, near.on_end = lambda data: self._receive(FORTH, data), lambda reason: self._on_end(self.far)
        self.far.on_data, self.far.on_end = (
            lambda data: self._receive(BACK, data),
            lambda reason: self._on_end(self.near),
        )

    def _receive(self, way: str, data: bytes) -> None:
        self.buffered[way] += data
        self.forward(way)

    def forward(self, way: str) -> None:
        """Forwards all complete messages of a direction, unless it is blocked."""
        relay = self.relay
        while self.buffered[way]:
            if relay.blocked[way]:
                self.partitioned = True
                return
            size = relay.message_length(self.buffered[way])
            if not size:
                return
            message, self.buffered[way] = self.buffered[way][:size], self.buffered[way][size:]
            relay.message_counts[way] += 1
            if relay.drop_next[way] and relay.may_drop(way, message):
                relay.drop_next[way] -= 1
                relay.dropped.append(way)
                self.reset()
                return
            self._send(way, message)

    def _send(self, way: str, message: bytes) -> None:
        to = self.far if way == FORTH else self.near
        loop = self.relay.loop
        at = max(loop.clock() + self.relay.delay, self.send_at[way])  # the end of a delay does not reorder messages
        if self.relay.delay or at > loop.clock():
            self.send_at[way] = at
            loop.at(at, lambda: to.write(message) if to.sock is not None else None)
        else:
            to.write(message)

    def reset(self) -> None:
        for end in (self.near, self.far):
            end.on_end = lambda reason: None
            end.abort("reset", hard=True)
        self.relay.connections.discard(self)

    def _on_end(self, other: Stream) -> None:
        self.relay.connections.discard(self)
        if other.sock is None:
            return
        if any(self.relay.blocked.values()):
            other.on_end = lambda reason: None  # a blocked direction transmits no close
            return
        other.finish()


class FaultRelay:
    """Accepts connections at `address` and forwards them to `target`.

    `blocked[way]`: nothing is forwarded; `delay`: seconds each way; `drop_next[way]`: how many of the next messages for
    which `may_drop(way, message)` is true are dropped, each with its connection; `dropped`: their directions.
    """

    def __init__(
        self,
        loop: Timers,
        address: tuple[str, int],
        target: tuple[str, int],
        message_length: Callable[[bytes], int] = len,
    ) -> None:
        """`message_length(data)`: the length of the first complete message, or 0; by default bytes are forwarded as
        they arrive."""
        self.loop, self.target, self.message_length = loop, target, message_length
        self.connections: set[_Connection] = set()
        self.blocked = {FORTH: False, BACK: False}
        self.cuts = {FORTH: 0, BACK: 0}
        self.drop_next, self.message_counts = {FORTH: 0, BACK: 0}, {FORTH: 0, BACK: 0}
        self.dropped: list[str] = []
        self.may_drop: Callable[[str, bytes], bool] = lambda way, message: True
        self.delay = 0.0
        self.listener = Listener(loop, address, self._accept)
        self.address = self.listener.address

    def _accept(self, near: Stream) -> None:
        self.connections.add(_Connection(self, near))

    def block(self, forth: bool = True, back: bool = True) -> None:
        """Sets which directions are blocked; connections stay open."""
        self.blocked = {FORTH: forth, BACK: back}

    def unblock(self) -> None:
        """Unblocks both directions; data buffered on open connections are forwarded, as after a loss."""
        self.block(False, False)
        for connection in list(self.connections):
            for way in (FORTH, BACK):
                connection.forward(way)

    def cut(self, way: str, step: int) -> None:
        """Adds `step` (+1 or -1) to the faults that block a direction; it is unblocked when none is left."""
        self.cuts[way] += step
        self.block(self.cuts[FORTH] > 0, self.cuts[BACK] > 0)
        if not any(self.blocked.values()):
            self.unblock()

    def reset(self) -> None:
        """Resets every connection at both ends."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Stops listening and resets every connection."""
        self.listener.close()
        self.reset()
