"""A relay between two parts that puts faults on their way: held one way or both, delayed, cut without a word, reset, a
request or its answer lost. It knows whole messages (frames of the store's protocol), so that "done, but never
heard" and "never done" both occur."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.net.loop import Timers
from driftshed.net.stream import Listener, Stream, dial

FORTH, BACK = "forth", "back"


def whole_frame(data: bytes) -> int:
    """The length of the first whole frame of the store's protocol; 0 while it is not whole."""
    size = int.from_bytes(data[:4], "big") + 4 if len(data) >= 4 else 0
    return size if 0 < size <= len(data) else 0


class _Pair:
    def __init__(self, between: Between, near: Stream) -> None:
        self.between, self.near = between, near
        self.far = dial(between.loop, between.target)
        self.held = {FORTH: b"", BACK: b""}  # not yet a whole message, or waiting for the way to open
        self.due = {FORTH: 0.0, BACK: 0.0}  # when the last message that was delayed goes on
        self.silent = False  # a way was cut under it: neither end is told of the other's end
        near.on_data, near.on_end = lambda data: self._come(FORTH, data), lambda reason: self._over(self.far)
        self.far.on_data, self.far.on_end = lambda data: self._come(BACK, data), lambda reason: self._over(self.near)

    def _come(self, way: str, data: bytes) -> None:
        self.held[way] += data
        self.go(way)

    def go(self, way: str) -> None:
        """Passes on what is whole, unless the way is held."""
        between = self.between
        while self.held[way]:
            if between.held[way]:
                self.silent = True
                return
            size = between.whole(self.held[way])
            if not size:
                return
            message, self.held[way] = self.held[way][:size], self.held[way][size:]
            between.passed[way] += 1
            if between.lose[way] and between.loses(way, message):
                between.lose[way] -= 1
                between.lost.append(way)
                self.reset()
                return
            self._send(way, message)

    def _send(self, way: str, message: bytes) -> None:
        to = self.far if way == FORTH else self.near
        loop = self.between.loop
        at = max(loop.clock() + self.between.delay, self.due[way])  # a delay that ends does not change the order
        if self.between.delay or at > loop.clock():
            self.due[way] = at
            loop.at(at, lambda: to.write(message) if to.sock is not None else None)
        else:
            to.write(message)

    def reset(self) -> None:
        for end in (self.near, self.far):
            end.on_end = lambda reason: None
            end.abort("reset", hard=True)
        self.between.pairs.discard(self)

    def _over(self, other: Stream) -> None:
        self.between.pairs.discard(self)
        if other.sock is None:
            return
        if any(self.between.held.values()):
            other.on_end = lambda reason: None  # a cut way does not tell
            return
        other.finish()


class Between:
    """Takes connections at `address` and passes them on to `target`. `whole(data)` tells the length of the first whole
    message; without it bytes pass as they come. `held[way]`: nothing passes; `delay`: seconds each way; `lose[way]`: so
    many of the next messages that `loses(way, message)` names are lost, each with its connection."""

    def __init__(
        self,
        loop: Timers,
        address: tuple[str, int],
        target: tuple[str, int],
        whole: Callable[[bytes], int] = len,
    ) -> None:
        self.loop, self.target, self.whole = loop, target, whole
        self.pairs: set[_Pair] = set()
        self.held = {FORTH: False, BACK: False}
        self.cuts = {FORTH: 0, BACK: 0}
        self.lose, self.passed = {FORTH: 0, BACK: 0}, {FORTH: 0, BACK: 0}
        self.lost: list[str] = []
        self.loses: Callable[[str, bytes], bool] = lambda way, message: True
        self.delay = 0.0
        self.listener = Listener(loop, address, self._accept)
        self.address = self.listener.address

    def _accept(self, near: Stream) -> None:
        self.pairs.add(_Pair(self, near))

    def hold(self, forth: bool = True, back: bool = True) -> None:
        """Cuts ways without a word."""
        self.held = {FORTH: forth, BACK: back}

    def release(self) -> None:
        """The ways are open again: what was held on connections that still stand goes on, as after a loss of data."""
        self.hold(False, False)
        for pair in list(self.pairs):
            for way in (FORTH, BACK):
                pair.go(way)

    def cut(self, way: str, step: int) -> None:
        """One cut more or fewer of a way: it is open while there is none."""
        self.cuts[way] += step
        self.hold(self.cuts[FORTH] > 0, self.cuts[BACK] > 0)
        if not any(self.held.values()):
            self.release()

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.reset()

    def close(self) -> None:
        self.listener.close()
        self.reset()
