"""Records the traffic on the in-memory network in the form in which the judge reads it."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.day.recorder import CLIENT, CONTROL, ROSTER, WORK


class ObservedExchange:
    """One request and its answer, as `day.traffic.Exchange`. Times are seconds from the start of the day."""

    __slots__ = (
        "connection",
        "requested_at",
        "method",
        "path",
        "raw",
        "request_body",
        "answered_at",
        "status",
        "headers",
        "body",
        "sent_at",
    )

    def __init__(
        self,
        connection: StreamObserver,
        requested_at: float,
        method: str,
        path: str,
        raw: str,
        request_body: bytes,
        sent_at: float,
    ) -> None:
        """A request without an answer yet; `request_body` is its body, `raw` its query string."""
        self.sent_at = sent_at  # may be long before `requested_at`: the network may delay it
        self.connection, self.requested_at, self.method, self.path, self.raw = (
            connection,
            requested_at,
            method,
            path,
            raw,
        )
        self.request_body, self.answered_at, self.status, self.headers, self.body = (
            request_body,
            None,
            0,
            NO_HEADERS,
            b"",
        )

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query string."""
        return dict(part.partition("=")[::2] for part in self.raw.split("&"))


NO_HEADERS: dict[bytes, bytes] = {}


class StreamObserver:
    """One stream and its exchanges, observed at the server's end or at the client's."""

    __slots__ = ("at_server", "kind", "source", "destination", "host", "exchanges", "ended_at", "now", "malformed")

    def __init__(self, kind: str, source: str, destination: str, at_server: bool) -> None:
        """`source` is the client's host, `destination` the server's address."""
        self.at_server = at_server
        self.kind, self.source, self.destination, self.host = kind, source, destination, source
        self.exchanges: list[ObservedExchange] = []
        self.ended_at: float | None = None
        self.now, self.malformed = 0.0, False

    def on_request(self, now: float, message, sent_at: float) -> ObservedExchange | None:
        """Records a request: a call as its client sends it, or a request as its server receives it."""
        self.now = now
        path, _, query = message.path.partition("?")
        query = query or getattr(message, "query", "")
        if self.kind == CONTROL and path.endswith("/report"):
            return None  # the judge does not read reports
        exchange = ObservedExchange(self, now, message.method, path, query, message.body, sent_at)
        self.exchanges.append(exchange)
        return exchange

    def on_response(
        self, exchange: ObservedExchange, now: float, status: int, headers: dict[bytes, bytes], body: bytes
    ) -> None:
        """Completes `exchange` with its answer."""
        self.now = exchange.answered_at = now
        exchange.status, exchange.headers, exchange.body = status, headers, body

    def on_close(self, now: float) -> None:
        """Records the end of the stream; the first end counts."""
        self.now = now
        if self.ended_at is None:
            self.ended_at = now


class TrafficRecord:
    """The streams of a run by kind. `kind_of(host, address)` is the kind of a stream between them, or None for one
    that is not recorded. Streams are observed at the server's end, but those of the kinds `at_client` at the
    client's."""

    def __init__(
        self, kind_of: Callable[[str, tuple[str, int]], str | None], at_client: tuple[str, ...] = (CLIENT,)
    ) -> None:
        """Starts with no stream of any kind."""
        self.kind_of, self.at_client = kind_of, at_client
        self.kinds: dict[str, list[StreamObserver]] = {CONTROL: [], ROSTER: [], WORK: [], CLIENT: []}

    def observer(self, host: str, address: tuple[str, int]) -> StreamObserver | None:
        """The observer of a new stream, or None where it is not recorded."""
        kind = self.kind_of(host, address)
        if kind is None:
            return None
        observer = StreamObserver(kind, host, f"{address[0]}:{address[1]}", kind not in self.at_client)
        self.kinds[kind].append(observer)
        return observer
