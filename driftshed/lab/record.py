"""What passed on the in-memory network, kept in the form in which the judge reads traffic."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.day.recorder import ASK, CONTROL, ROSTER, WORK


class Passed:
    """One request and what came back, as `day.traffic.Exchange` has it. Times are seconds from the start."""

    __slots__ = (
        "connection",
        "asked_at",
        "method",
        "path",
        "raw",
        "asked",
        "answered_at",
        "status",
        "headers",
        "body",
        "sent_at",
    )

    def __init__(
        self, connection: Witness, asked_at: float, method: str, path: str, raw: str, asked: bytes, sent_at: float
    ) -> None:
        self.sent_at = sent_at  # a network may hold it for long
        self.connection, self.asked_at, self.method, self.path, self.raw = connection, asked_at, method, path, raw
        self.asked, self.answered_at, self.status, self.headers, self.body = asked, None, 0, NONE, b""

    @property
    def query(self) -> dict[str, str]:
        return dict(part.partition("=")[::2] for part in self.raw.split("&"))


NONE: dict[bytes, bytes] = {}


class Witness:
    """One stream and what passed on it, at the server's end or at the client's."""

    __slots__ = ("at_server", "kind", "asks", "asked", "host", "exchanges", "ended_at", "now", "malformed")

    def __init__(self, kind: str, asks: str, asked: str, at_server: bool) -> None:
        self.at_server = at_server
        self.kind, self.asks, self.asked, self.host = kind, asks, asked, asks
        self.exchanges: list[Passed] = []
        self.ended_at: float | None = None
        self.now, self.malformed = 0.0, False

    def on_asked(self, now: float, what, sent_at: float) -> Passed | None:
        """A request passes: a call as its client sends it, or a request as its server gets it."""
        self.now = now
        path, _, query = what.path.partition("?")
        query = query or getattr(what, "query", "")
        if self.kind == CONTROL and path.endswith("/report"):
            return None  # nothing is judged by it
        seen = Passed(self, now, what.method, path, query, what.body, sent_at)
        self.exchanges.append(seen)
        return seen

    def on_answered(self, seen: Passed, now: float, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.now = seen.answered_at = now
        seen.status, seen.headers, seen.body = status, headers, body

    def on_ended(self, now: float) -> None:
        self.now = now
        if self.ended_at is None:
            self.ended_at = now


class Record:
    """The streams of a run by kind. `kind_of(host, address)`: what a stream between them is; None: not kept. Each is
    kept at the server's end but those of the kinds `at_client`."""

    def __init__(
        self, kind_of: Callable[[str, tuple[str, int]], str | None], at_client: tuple[str, ...] = (ASK,)
    ) -> None:
        self.kind_of, self.at_client = kind_of, at_client
        self.kinds: dict[str, list[Witness]] = {CONTROL: [], ROSTER: [], WORK: [], ASK: []}

    def witness(self, host: str, address: tuple[str, int]) -> Witness | None:
        kind = self.kind_of(host, address)
        if kind is None:
            return None
        found = Witness(kind, host, f"{address[0]}:{address[1]}", kind not in self.at_client)
        self.kinds[kind].append(found)
        return found
