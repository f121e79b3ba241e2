"""An HTTP/1.1 client on the loop with persistent connections, and how connections are made."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import httptools

from driftshed.net.http_server import HttpServer
from driftshed.net.loop import Loop
from driftshed.net.stream import Stream, Tap, dial


class Answer(NamedTuple):
    """The result of a call. `status` 0: there was no answer, and `error` is the reason: "refused" or "unreachable"
    (nothing was sent), "closed" or "reset" (the connection ended after some or all was sent), "late" (timed out)."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    error: str = ""
    sent: bool = False  # some bytes of the request may have reached the server
    reused_connection: bool = False  # sent on a connection that had been used before


class ClientConnection:
    """One persistent connection of a client, with at most one call at a time."""

    __slots__ = ("client", "stream", "parser", "call", "headers", "body", "sent", "calls", "timer")

    def __init__(self, client: HttpClient, stream: Stream) -> None:
        """Takes over the callbacks of the stream."""
        self.client, self.stream, self.call, self.timer = client, stream, None, None
        self.headers, self.body, self.sent, self.calls = {}, b"", False, 0
        self.parser = httptools.HttpResponseParser(self)
        stream.on_data, stream.on_end, stream.on_open = self._on_data, self._on_end, self._on_open

    def start(self, call: Call) -> None:
        """Sends a call, at once or when the stream is connected."""
        self.call, self.sent, self.headers, self.body = call, False, {}, b""
        self.calls += 1
        if not self.stream.connecting:
            self._on_open()

    def _on_open(self) -> None:
        if self.call:
            self.sent = True
            self.stream.write(self.call.data())

    def _on_data(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.stream.abort("malformed")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Collects the body; raises ValueError to stop the parser above the client's bound."""
        self.body += body
        if len(self.body) > self.client.max_body_bytes:
            raise ValueError("too large")

    def on_message_complete(self) -> None:
        """Completes the call, and keeps the connection for the next one if the server does."""
        call, self.call = self.call, None
        if call is None:
            return
        keep = self.parser.should_keep_alive()
        answer = Answer(self.parser.get_status_code(), self.headers, self.body, "", True, self.calls > 1)
        self.parser = httptools.HttpResponseParser(self)
        if keep and self.stream.sock is not None:
            self.client._release_connection(self)
        else:
            self.stream.abort("ended")
        call.done(answer)

    def _on_end(self, reason: str) -> None:
        call, self.call = self.call, None
        self.client._remove_connection(self)
        if call:
            error = {"ended": "closed", "malformed": "closed", "stuck": "closed"}.get(reason, reason)
            call.done(Answer(0, self.headers, self.body, error, self.sent, self.calls > 1))


class Call:
    """One request of a client that is in progress; `cancel()` abandons it and ends its connection."""

    __slots__ = ("method", "path", "body", "kind", "extra", "host", "on_done", "timer", "connection")

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes,
        kind: str,
        extra: str,
        host: str,
        on_done: Callable[[Answer], object],
    ) -> None:
        """`host` and `extra` are complete header lines; `kind` is the content type."""
        self.method, self.path, self.body, self.kind, self.extra, self.host = method, path, body, kind, extra, host
        self.on_done, self.timer, self.connection = on_done, None, None

    def data(self) -> bytes:
        """Returns the encoded request."""
        head = f"{self.method} {self.path} HTTP/1.1\r\n{self.host}{self.extra}"
        if self.body or self.method in ("POST", "PUT"):
            head += f"content-type: {self.kind}\r\ncontent-length: {len(self.body)}\r\n"
        return head.encode("latin-1") + b"\r\n" + self.body

    def done(self, answer: Answer) -> None:
        """Reports the answer, the first time only, and cancels the time-out."""
        if self.timer:
            self.timer.cancel()
        on_done, self.on_done = self.on_done, None
        if on_done:
            on_done(answer)

    def cancel(self, error: str = "late") -> None:
        """Ends the connection of an unfinished call; its answer has `error` as the reason."""
        if self.on_done is not None:
            self.connection.stream.abort(error)


class HttpClient:
    """Makes calls to one address over persistent connections, one call at a time on each, most recently used first."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        source: str | None = None,
        max_body_bytes: int = 8 << 20,
        tap: Callable[[], Tap] | None = None,
        max_idle: int = 64,
        idle_for: float = 0.0,
    ) -> None:
        """`max_body_bytes`: bound of an answer's body, in bytes; `max_idle`: idle connections kept; `tap()` makes each
        stream's tap."""
        self.idle_for = idle_for  # seconds after which an idle connection is closed; 0: never
        self.loop, self.address, self.source, self.max_body_bytes = loop, address, source, max_body_bytes
        self.tap, self.max_idle = tap, max_idle
        self.idle: list[ClientConnection] = []
        self.connections: dict[ClientConnection, None] = {}  # in the order of creation
        self.host = f"host: {address[0]}:{address[1]}\r\n"

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        on_done: Callable[[Answer], object],
        within: float,
        extra: str = "",
        kind: str = "application/json",
        fresh: bool = False,
    ) -> Call:
        """Sends a request and calls `on_done(answer)`, once, within `within` seconds. `fresh`: on a new connection."""
        call = Call(method, path, body, kind, extra, self.host, on_done)
        if self.idle and not fresh:
            connection = self.idle.pop()
            if connection.timer:
                connection.timer.cancel()
        else:
            try:
                connection = self._connect()
            except OSError:
                self.loop.soon(lambda: call.done(Answer(0, {}, b"", "unreachable")))
                return call
            self.connections[connection] = None
        call.connection = connection
        call.timer = self.loop.after(within, call.cancel)
        connection.start(call)
        return call

    def _connect(self) -> ClientConnection:
        stream = dial(self.loop, self.address, self.source, tap=self.tap() if self.tap else None)
        return ClientConnection(self, stream)

    def _release_connection(self, connection: ClientConnection) -> None:
        if len(self.idle) < self.max_idle:
            self.idle.append(connection)
            if self.idle_for:
                connection.timer = self.loop.after(self.idle_for, lambda: connection.stream.abort("idle"))
        else:
            connection.stream.abort("ended")

    def _remove_connection(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        if connection.timer:
            connection.timer.cancel()
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Ends all connections; calls in progress get an answer without status."""
        for connection in list(self.connections):
            connection.stream.abort("closed")


class Transport(NamedTuple):
    """How HTTP connections are made: over sockets, or by another implementation with the same constructors."""

    server: Callable[..., HttpServer] = HttpServer
    client: Callable[..., HttpClient] = HttpClient


SOCKETS = Transport()
