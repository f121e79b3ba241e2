"""Modifies answers from a supervisor to proxies so that exactly one rule is violated, to show that the judge detects
it.

A proxy repeats no side-effecting try in doubt whatever its tables allow, so for `twice` the harness also configures
side-effecting operations as idempotent in the proxies."""

from __future__ import annotations

import msgspec

from driftshed import interface as face
from driftshed.core.messages import Changes, Level, Line, encode_json

RULES = ("bare", "twice", "drains", "failback", "queue")
CHANGES = msgspec.json.Decoder(Changes)


def http_answer(body: bytes) -> bytes:
    """A complete HTTP answer of status 200 with this JSON body."""
    return (b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % len(body)) + body


class Tamper:
    """Modifies the changes sent to one proxy, or to every proxy."""

    def __init__(self, rule: str, cap: int, cold: set[str], tries: int | None = None) -> None:
        """`rule`: the rule to violate, "" for none; `cap`: the bound on messages to one proxy; `cold`: servers started
        during the day, extended by the caller; `tries`: the retry mode set in every level, which violates no rule by
        itself."""
        self.rule, self.cold, self.tries = rule, cold, face.ONE_AFTER_ANY if rule == "twice" else tries
        # The proxy affected by rules that need only one: the first to receive changes.
        self.target_host: str | None = None
        self.repeats_left = 2 * max(cap, 30)
        self.last_answer = b""

    def answer(self, host: str, answer: bytes) -> bytes:
        """The answer that the proxy at `host` gets in place of this one."""
        head, _, body = answer.partition(b"\r\n\r\n")
        if b'"changes":[[' not in body:
            return answer
        changes = CHANGES.decode(body)
        self.target_host = self.target_host or host
        if self.rule == "queue":
            if host == self.target_host:
                self.last_answer = answer
            return answer
        changes.changes = [each for change in changes.changes for each in self._modify(host, change)]
        return http_answer(encode_json(changes))

    def _modify(self, host: str, change) -> list:
        if self.rule == "bare" and host == self.target_host and isinstance(change, Line):
            return [Line(change.table, change.server, 0.0)]
        if self.tries is not None and isinstance(change, Level):
            return [Level(change.table, change.operation, change.level, self.tries)]
        if self.rule == "drains" and isinstance(change, Line) and change.weight == 0:
            return []
        if self.rule == "failback" and isinstance(change, Line) and change.server in self.cold and change.weight:
            return [Line(change.table, change.server, 1000.0)]
        return [change]

    def forged_answer(self, host: str, asked: bytes) -> bytes | None:
        """A forged answer to a proxy's request in place of forwarding it, or None. For the rule `queue` the last answer
        is sent again and again."""
        if (
            self.rule != "queue"
            or host != self.target_host
            or not self.last_answer
            or not self.repeats_left
            or b"/changes?" not in asked
        ):
            return None
        self.repeats_left -= 1
        return self.last_answer
