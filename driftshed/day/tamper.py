"""Faults between supervisor and proxies, each made to break exactly one rule: the judge must be able to fail.

A proxy sends nothing again in doubt whatever its tables say, so for `twice` the stage also has the proxies take what is
side-effecting for idempotent."""

from __future__ import annotations

import msgspec

from driftshed import interface as face
from driftshed.core.messages import Changes, Level, Line, encode

RULES = ("bare", "twice", "drains", "failback", "queue")
CHANGES = msgspec.json.Decoder(Changes)


def frame(body: bytes) -> bytes:
    return (b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % len(body)) + body


class Tamper:
    """Changes what one proxy, or every proxy, is told."""

    def __init__(self, rule: str, cap: int, cold: set[str], tries: int | None = None) -> None:
        """`cold`: the servers that start during the day, added to as they do; `cap`: messages to one proxy. `tries`:
        the mode that every level is changed to; no rule breaks by that alone."""
        self.rule, self.cold, self.tries = rule, cold, face.ONE_AFTER_ANY if rule == "twice" else tries
        self.one: str | None = None  # the host of the proxy that is meant, where it is one
        self.repeats = 2 * max(cap, 30)
        self.last = b""

    def answer(self, host: str, answer: bytes) -> bytes:
        """What goes to a proxy in place of an answer."""
        head, _, body = answer.partition(b"\r\n\r\n")
        if b'"changes":[[' not in body:
            return answer
        changes = CHANGES.decode(body)
        self.one = self.one or host
        if self.rule == "queue":
            if host == self.one:
                self.last = answer
            return answer
        changes.changes = [each for change in changes.changes for each in self._said(host, change)]
        return frame(encode(changes))

    def _said(self, host: str, change) -> list:
        if self.rule == "bare" and host == self.one and isinstance(change, Line):
            return [Line(change.table, change.server, 0.0)]
        if self.tries is not None and isinstance(change, Level):
            return [Level(change.table, change.operation, change.level, self.tries)]
        if self.rule == "drains" and isinstance(change, Line) and change.weight == 0:
            return []
        if self.rule == "failback" and isinstance(change, Line) and change.server in self.cold and change.weight:
            return [Line(change.table, change.server, 1000.0)]
        return [change]

    def instead(self, host: str, asked: bytes) -> bytes | None:
        """An answer of the tamperer's own to what a proxy asked, or None: the last message, over and over."""
        if self.rule != "queue" or host != self.one or not self.last or not self.repeats or b"/changes?" not in asked:
            return None
        self.repeats -= 1
        return self.last
