"""A connection that is re-established whenever it ends: at once, then with increasing backoff."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Stream, dial

CONNECT_TIMEOUT_S = 0.4
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.4
STABLE_AFTER_S = 2 * MAX_BACKOFF_S  # the end of a connection that lasted longer does not count as a failure


class Link:
    """Keeps one TCP connection to an address.

    Calls `on_open()` when a connection is established, `on_data(data)` with received bytes, and `on_lost(reason)` when
    an established connection ends."""

    def __init__(
        self,
        loop: Loop,
        random: Random,
        address: tuple[str, int],
        on_open: Callable[[], object],
        on_data: Callable[[bytes], object],
        on_lost: Callable[[str], object],
    ) -> None:
        """Connects in the loop's current round; `random` spreads the times of later attempts."""
        self.loop, self.random, self.address = loop, random, address
        self.on_open, self.on_data, self.on_lost = on_open, on_data, on_lost
        self.stream: Stream | None = None
        self.timer: Timer | None = None
        self.backoff, self.dials, self.closed, self.opened_at = 0.0, 0, False, 0.0
        loop.soon(self._dial)

    @property
    def connected(self) -> bool:
        """Whether the connection is established, so that `write` sends."""
        return self.stream is not None and self.stream.sock is not None and not self.stream.connecting

    def _dial(self) -> None:
        self.timer = None
        if self.closed or self.stream is not None:
            return
        self.dials += 1
        try:
            stream = dial(self.loop, self.address)
        except OSError:  # for example, no free descriptor
            self._schedule_dial()
            return
        self.stream = stream
        stream.on_data = self.on_data
        stream.on_open = self._opened
        stream.on_end = lambda reason: self._ended(stream, reason)
        self.timer = self.loop.after(CONNECT_TIMEOUT_S, lambda: stream.abort("unreachable"))

    def _opened(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.opened_at = self.loop.clock()
        self.on_open()

    def _ended(self, stream: Stream, reason: str) -> None:
        if stream is not self.stream:
            return
        was_connected, self.stream = not stream.connecting, None
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if was_connected:
            # Guards against a backoff that grows with each idle close by a healthy peer.
            if self.loop.clock() - self.opened_at > STABLE_AFTER_S:
                self.reset_backoff()
            self.on_lost(reason)
        self._schedule_dial()

    def _schedule_dial(self) -> None:
        if not self.closed:
            self.timer = self.loop.after(self.backoff * self.random.uniform(0.7, 1.3), self._dial)
            self.backoff = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self.backoff))

    def reset_backoff(self) -> None:
        """Records that the peer is healthy: the next attempt is made at once."""
        self.backoff = 0.0

    def write(self, data: bytes) -> None:
        """Sends bytes if the connection is established, else discards them."""
        if self.connected:
            self.stream.write(data)

    def drop(self, reason: str) -> None:
        """Ends the current connection, or attempt to connect, and connects again."""
        if self.stream is not None:
            self.stream.abort(reason)

    def close(self) -> None:
        """Ends the connection for good."""
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.drop("closed")
