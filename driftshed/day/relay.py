"""Relays between the parts and the supervisor: what passes is recorded, and may be held, broken or tampered with."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.day.recorder import Recorder
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener, Stream, dial

HALF = b'"changes":[['  # in the answer to a poll that has something to tell


class Pair:
    """One connection through a relay: the one who dialled, and the one that was meant."""

    def __init__(self, relay: Relay, near: Stream) -> None:
        self.relay, self.near, self.held = relay, near, False
        self.tap = relay.recorder.open(relay.kind, near.peer, relay.address)
        self.far = dial(relay.loop, relay.target)
        self.back = b""  # of an answer, not yet whole, while tampered with
        near.on_data, near.on_end = self._forth, lambda reason: self._over(self.far, reason, True)
        self.far.on_data, self.far.on_end = self._data_back, lambda reason: self._over(self.near, reason, False)

    def _forth(self, data: bytes) -> None:
        self.tap(False, data)
        if self.held or self.relay.blocked(self):
            self.held = True  # the stream is of no more use: what was lost is not sent again
            return
        tamper = self.relay.tamper
        answer = tamper.instead(self.near.peer[0], data) if tamper else None
        if answer is not None:
            self.to_near(answer)
        else:
            self.far.write(data)

    def _data_back(self, data: bytes) -> None:
        if self.held or self.relay.blocked(self):
            self.held = True
            return
        if self.relay.tamper is None:
            self.to_near(data)
            return
        self.back += data
        while (whole := _whole(self.back)) and self.near.sock is not None:
            answer, self.back = self.back[:whole], self.back[whole:]
            self.to_near(self.relay.tamper.answer(self.near.peer[0], answer))

    def to_near(self, data: bytes) -> None:
        if HALF in data and self.relay.breaks(self):
            cut = data.index(HALF) + len(HALF) + 3
            self.tap(True, data[:cut])
            self.near.write(data[:cut])
            self.near.finish()
            return
        self.tap(True, data)
        self.near.write(data)

    def _over(self, other: Stream, reason: str, by_near: bool) -> None:
        self.tap(not by_near, b"")
        self.relay.pairs.discard(self)
        if other.sock is None:
            return
        if self.held or self.relay.blocked(self):
            # Neither end learns of the other's: that is what a cut way is like.
            other.on_end = lambda reason: None
            return
        if reason in ("reset", "refused", "unreachable"):
            other.abort(reason, hard=True)
        else:
            other.finish()


def _whole(data: bytes) -> int:
    """The length of the first whole answer of these bytes; 0 while it is not whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return 0
    length = 0
    for line in data[:end].split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return end + 4 + length if len(data) >= end + 4 + length else 0


class Relay:
    """Takes connections at one address and passes them on to another."""

    def __init__(
        self, loop: Loop, recorder: Recorder, kind: str, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.loop, self.recorder, self.kind, self.target = loop, recorder, kind, target
        self.pairs: set[Pair] = set()
        self.blocked_hosts: set[str] = set()
        self.break_hosts: set[str] = set()
        self.broken: list[str] = []
        self.tamper = None
        self.listener = Listener(loop, address, lambda near: self.pairs.add(Pair(self, near)))
        self.address = self.listener.address

    def blocked(self, pair: Pair) -> bool:
        return pair.near.peer[0] in self.blocked_hosts

    def breaks(self, pair: Pair) -> bool:
        host = pair.near.peer[0]
        if host in self.break_hosts:
            self.break_hosts.discard(host)
            self.broken.append(host)
            return True
        return False

    def reset_all(self, but: Callable[[Pair], bool] = lambda pair: False) -> None:
        for pair in [pair for pair in self.pairs if not but(pair)]:
            pair.near.abort("reset", hard=True)

    def close(self) -> None:
        self.listener.close()
        for pair in list(self.pairs):
            pair.near.abort("closed")
