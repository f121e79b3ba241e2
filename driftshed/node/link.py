"""A thin connection that is kept standing: dialled again at once when it is over, then after growing pauses."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Stream, dial

CONNECT_WITHIN = 0.4  # seconds; then it is dialled anew
LEAST_PAUSE, MOST_PAUSE = 0.02, 0.4
STOOD = 2 * MOST_PAUSE  # seconds that a connection stood: its end says nothing against the other side


class Link:
    """`on_open()` when a connection stands, `on_data(data)`, `on_lost(reason)` when one that stood is over. `proved()`
    says that the other side is well: the next pause is short again."""

    def __init__(
        self,
        loop: Loop,
        random: Random,
        address: tuple[str, int],
        on_open: Callable[[], object],
        on_data: Callable[[bytes], object],
        on_lost: Callable[[str], object],
    ) -> None:
        self.loop, self.random, self.address = loop, random, address
        self.on_open, self.on_data, self.on_lost = on_open, on_data, on_lost
        self.stream: Stream | None = None
        self.timer: Timer | None = None
        self.pause, self.dials, self.closed, self.opened_at = 0.0, 0, False, 0.0
        loop.soon(self._dial)

    @property
    def up(self) -> bool:
        return self.stream is not None and self.stream.sock is not None and not self.stream.connecting

    def _dial(self) -> None:
        self.timer = None
        if self.closed or self.stream is not None:
            return
        self.dials += 1
        try:
            stream = dial(self.loop, self.address)
        except OSError:  # out of descriptors, say
            self._again()
            return
        self.stream = stream
        stream.on_data = self.on_data
        stream.on_open = self._opened
        stream.on_end = lambda reason: self._ended(stream, reason)
        self.timer = self.loop.after(CONNECT_WITHIN, lambda: stream.abort("unreachable"))

    def _opened(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.opened_at = self.loop.clock()
        self.on_open()

    def _ended(self, stream: Stream, reason: str) -> None:
        if stream is not self.stream:
            return
        stood, self.stream = not stream.connecting, None
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if stood:
            # Guards against pauses that grow with each idle close, by an other side that is well.
            if self.loop.clock() - self.opened_at > STOOD:
                self.proved()
            self.on_lost(reason)
        self._again()

    def _again(self) -> None:
        if not self.closed:
            self.timer = self.loop.after(self.pause * self.random.uniform(0.7, 1.3), self._dial)
            self.pause = min(MOST_PAUSE, max(LEAST_PAUSE, 2 * self.pause))

    def proved(self) -> None:
        self.pause = 0.0

    def write(self, data: bytes) -> None:
        if self.up:
            self.stream.write(data)

    def drop(self, reason: str) -> None:
        """Gives the present connection up and dials anew."""
        if self.stream is not None:
            self.stream.abort(reason)

    def close(self) -> None:
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.drop("closed")
