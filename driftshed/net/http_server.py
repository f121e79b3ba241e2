"""An HTTP/1.1 server on the loop with bounds on all its resources."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools

from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import READ_BYTES, Listener, PeerState, Stream

PHRASES = {status.value: status.phrase for status in HTTPStatus}
FIELD_BYTES = 256  # that a header field takes in memory beside its own bytes
ANSWER_PREFIX = "HTTP/1.1 "  # of every answer
CLIENT_CHECK_S = (0.01, 1.0)  # first and longest wait between looks whether a client that half-closed was reset
MAX_PIPELINED = 16  # requests of a connection queued behind the one being answered
HEAD_READ_BYTES = 8192  # largest read outside of a body: it may wait unparsed
PARSED_BYTES = 512  # at a time, outside of bodies: so few that only a few more requests are queued


class Bounds(NamedTuple):
    """Limits of a server: sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    header_fields: int = 128  # of one request
    body_bytes: int = 1 << 20
    held_bytes: int = 32 << 20  # of the requests of all connections that are being received or answered
    out_bytes: int = 4 << 20
    connections: int = 16384
    request_timeout: float = 10.0  # from the first byte of a request to its last
    idle_for: float = 75.0  # a connection without a request is closed after this


class Request:
    """One request and its one answer. `on_gone` is called if the connection ends before the answer; `on_client_closed`
    if the client sends no more before it: it may have left, or still wait."""

    __slots__ = (
        "method",
        "path",
        "query",
        "headers",
        "body",
        "connection",
        "on_gone",
        "on_client_closed",
        "begun",
        "queued",
        "answered",
        "keep",
        "size",
        "rejection",
    )

    def __init__(self, connection: ServerConnection) -> None:
        """The connection fills in the request while it is received."""
        self.connection = connection
        self.method, self.path, self.query, self.body = "", "", "", b""
        self.headers: dict[bytes, bytes] = {}
        self.on_gone: Callable[[], object] | None = None
        self.on_client_closed: Callable[[], object] | None = None
        self.begun, self.answered, self.keep = False, False, True
        self.queued = False  # it was received while another waited for its answer, or when the client had closed
        self.size = 0  # bytes that it takes in memory
        self.rejection: tuple[int, str] | None = None  # status and reason of its answer, if it cannot be read

    @property
    def client_closed(self) -> bool:
        """Whether the client sends no more, so that it may have left."""
        return self.connection.client_has_closed()

    def answer(self, status: int, body: bytes = b"", kind: str = "application/json", extra: str = "") -> None:
        """Sends the answer. `extra` is complete header lines, each ended by CR LF. Has no effect after the first call,
        or once the connection has ended."""
        if self.answered:
            return
        self.answered, self.on_gone, self.on_client_closed = True, None, None
        self.connection._send_answer(self, status, body, kind, extra)


class ServerConnection:
    """One connection of a server: requests are answered one at a time, in the order of arrival."""

    __slots__ = (
        "server",
        "stream",
        "parser",
        "request",
        "waiting",
        "head_size",
        "timer",
        "broken",
        "target",
        "headers_complete",
        "fields",
        "unparsed",
        "scheduled",
        "client_closed",
        "prefix_sent",
        "body_left",
        "body",
    )

    def __init__(self, server: HttpServer, stream: Stream) -> None:
        """Takes over the callbacks of the stream."""
        self.server, self.stream = server, stream
        self.parser = httptools.HttpRequestParser(self)
        self.request: Request | None = None  # being received
        self.waiting: deque[Request] = deque()  # received; the first is being answered
        self.head_size, self.broken, self.target, self.headers_complete = 0, 0, b"", False
        self.fields, self.body = 0, bytearray()  # of the request being received
        self.unparsed, self.body_left = bytearray(), 0  # received bytes; bytes of the body that are yet to be parsed
        self.scheduled = False  # the next request is handled in this round of the loop
        stream.read_bytes = HEAD_READ_BYTES
        self.client_closed = False  # the client sends no more, though all of it may not be read yet
        self.prefix_sent = False  # of the next answer
        stream.on_data, stream.on_end, stream.on_half_closed = self._on_data, self._on_end, self._on_half_closed
        self.timer: Timer | None = None
        self._set_timer(server.bounds.idle_for, self._on_idle)

    @property
    def peer(self) -> tuple[str, int]:
        """The address and port of the client."""
        return self.stream.peer

    def _set_timer(self, seconds: float, call: Callable[[], object]) -> None:
        self._cancel_timer()
        self.timer = self.server.loop.after(seconds, call)

    def _cancel_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def _on_idle(self) -> None:
        self.stream.abort("idle")

    def _on_request_timeout(self) -> None:
        if self.waiting:  # it is not read on before these are answered
            self._set_timer(self.server.bounds.request_timeout, self._on_request_timeout)
            return
        self.reject(408, "the request was not whole in time")

    def _on_data(self, data: bytes) -> None:
        if self.broken:
            return
        if self.request is None and not self.waiting:
            self._set_timer(self.server.bounds.request_timeout, self._on_request_timeout)
        self.unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parses what was received, as far as requests may be queued; reads on once all of it is parsed.

        Guards against a connection that gets as much of a round of the loop as it sends.
        """
        while self.unparsed and not self.broken and len(self.waiting) <= MAX_PIPELINED:
            size = max(PARSED_BYTES, self.body_left) if self.headers_complete else PARSED_BYTES
            piece = bytes(self.unparsed[:size])
            del self.unparsed[:size]
            self._parse_piece(piece)
        self.stream.pause(bool(self.unparsed or self.broken))
        self.stream.read_bytes = max(HEAD_READ_BYTES, min(READ_BYTES, self.body_left))

    def _parse_piece(self, piece: bytes) -> None:
        self.head_size += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.broken = self.broken or 400
        if self.broken:
            reasons = {413: "the body is too large", 431: "the headers are too large"}
            self.reject(self.broken, reasons.get(self.broken, "this is not HTTP/1.1 as we speak it"))
            return
        self.server.enforce_held_bytes()
        if self.request is not None and not self.headers_complete and self.head_size > self.server.bounds.header_bytes:
            self.reject(431, "the headers are too large")

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.request, self.target, self.headers_complete = Request(self), b"", False
        self.fields, self.body = 0, bytearray()
        self._set_timer(self.server.bounds.request_timeout, self._on_request_timeout)

    def _hold(self, size: int) -> None:
        """Counts bytes of the request being received."""
        self.request.size += size
        self.server.held_bytes += size

    def _release(self, request: Request) -> None:
        """Counts a request off that is answered or given up."""
        self.server.held_bytes -= request.size
        request.size = 0

    def on_url(self, url: bytes) -> None:
        """Collects the request target, which may come in pieces."""
        self.target += url
        self._hold(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header under its lower-case name; a repeated one replaces the first. Raises ValueError to stop the
        parser above the bound of their number."""
        self.fields += 1
        if self.fields > self.server.bounds.header_fields:
            self.broken = 431
            raise ValueError("too many")
        self._hold(FIELD_BYTES + len(name) + len(value))
        self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Rejects a declared body length above the bound; raises ValueError to stop the parser."""
        self.headers_complete = True
        length = self.request.headers.get(b"content-length", b"0")
        self.body_left = int(length) if length.isdigit() else 0
        if self.body_left > self.server.bounds.body_bytes:
            self.broken = 413
            raise ValueError("too large")

    def on_body(self, body: bytes) -> None:
        """Collects the body; raises ValueError to stop the parser above the bound."""
        self._hold(len(body))
        self.body += body
        self.body_left -= len(body)
        if len(self.body) > self.server.bounds.body_bytes:
            self.broken = 413
            raise ValueError("too large")

    def on_message_complete(self) -> None:
        """Queues the request, and has it handled in this round of the loop if no other waits for its answer."""
        request, self.request, self.head_size = self.request, None, 0
        request.body, self.body = bytes(self.body), bytearray()
        request.method = self.parser.get_method().decode("ascii", "replace")
        path, _, request.query = self.target.decode("latin-1").partition("?")
        request.path, request.keep = path, self.parser.should_keep_alive()
        self._cancel_timer()
        self.headers_complete, self.body_left = False, 0
        request.queued = bool(self.waiting) or self.client_closed
        self.waiting.append(request)
        self._schedule_next()

    def _schedule_next(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.server.loop.soon(self._handle_next)

    def _handle_next(self) -> None:
        """Has the first request handled: one of a connection in each round of the loop, so that others get theirs."""
        self.scheduled = False
        if not self.waiting or self.waiting[0].begun:
            return
        request = self.waiting[0]
        request.begun = True
        if request.rejection is not None:
            status, reason = request.rejection
            request.answer(status, self.server.refusal(reason))
        elif self.client_has_closed() and request.queued:
            # Guards against work for a client that has left, which sends it again elsewhere.
            body = self.server.refusal("the client has closed its side; this was not begun")
            request.answer(503, body, extra=f"retry-after: 1\r\n{self.server.refusal_headers}")
        elif self.stream.sock is not None:
            self.server.handle(request)

    def client_has_closed(self) -> bool:
        """Whether the client sends no more. Ends the connection if the client has reset it."""
        if self.stream.sock is None or self.client_closed:
            return True
        state = self.stream.peer_state()
        if state is PeerState.GONE:
            self.stream.abort("reset")
        elif state is PeerState.CLOSED:
            self.client_closed = True
        return state is not PeerState.OPEN

    def _on_half_closed(self) -> None:
        """The client sends no more: what it has sent whole is answered, then the connection ends."""
        self.client_closed = True
        if self.request is not None:
            self._release(self.request)
            self.request = None
        if not self.waiting:
            self.stream.finish()
        elif self.waiting[0].on_client_closed:
            self.waiting[0].on_client_closed()
        else:
            self._probe_client()

    def _probe_client(self) -> None:
        """Sends the bytes with which every answer begins: a client that has left resets the connection for them, one
        that has only half-closed waits for the rest."""
        if not self.prefix_sent and not self.stream.out:
            self.stream.write(ANSWER_PREFIX.encode())
            self.prefix_sent = True
        if self.stream.sock is not None:
            self._check_client_later(CLIENT_CHECK_S[0])

    def _check_client_later(self, wait: float) -> None:
        def check() -> None:
            if self.stream.peer_state() is PeerState.GONE:
                self.stream.abort("reset")
            elif self.waiting:
                self._check_client_later(min(2 * wait, CLIENT_CHECK_S[1]))

        self._set_timer(wait, check)

    @property
    def is_idle(self) -> bool:
        """Whether all that was received is answered, but for the beginning of a request."""
        return not self.waiting and not self.unparsed

    def _send_answer(self, request: Request, status: int, body: bytes, kind: str, extra: str) -> None:
        self._release(request)
        if self.stream.sock is None:
            return
        if self.waiting and self.waiting[0] is request:
            self.waiting.popleft()
        ending = self.server.closing or self.stream.input_ended
        keep = request.keep and not (ending and self.is_idle)
        last_header = "\r\n" if keep else "connection: close\r\n\r\n"
        prefix, self.prefix_sent = "" if self.prefix_sent else ANSWER_PREFIX, False
        head = (
            f"{prefix}{status} {PHRASES.get(status, 'Other')}\r\ncontent-type: {kind}\r\n"
            f"content-length: {len(body)}\r\n{extra}{last_header}"
        )
        self.stream.write(head.encode("latin-1") + body)
        if not keep:
            self.stream.finish()
            return
        if self.unparsed and len(self.waiting) <= MAX_PIPELINED / 2 and self.stream.sock is not None:
            self._parse()
        if self.stream.sock is None:
            return
        if self.waiting:
            self._schedule_next()
        elif ending:  # what is left is no whole request
            self.stream.finish()
        elif self.request is None:
            self._set_timer(self.server.bounds.idle_for, self._on_idle)

    def reject(self, status: int, reason: str) -> None:
        """Answers a request that cannot be read with an error, after those before it, and ends the connection."""
        self.broken = self.broken or status
        if self.request is not None:
            self._release(self.request)
        self.request, self.body = None, bytearray()
        self.unparsed.clear()
        self.stream.pause(True)
        self._cancel_timer()
        rejected = Request(self)
        rejected.keep, rejected.rejection = False, (status, reason)
        self.waiting.append(rejected)
        self._schedule_next()

    def _on_end(self, reason: str) -> None:
        self._cancel_timer()
        self.server.connections.pop(self, None)
        if self.request is not None:
            self._release(self.request)
        waiting, self.waiting, self.request, self.body = self.waiting, deque(), None, bytearray()
        for request in waiting:
            self._release(request)
            request.answered = True
            if request.on_gone:
                on_gone, request.on_gone = request.on_gone, None
                on_gone()
        self.parser = None
        if self.server.on_connection_end:
            self.server.on_connection_end(self, reason)


class HttpServer:
    """Serves `handle(request)` at one address. `refusal(reason)` returns the body of an error answer to a malformed
    request or a rejected connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        handle: Callable[[Request], object],
        bounds: Bounds = Bounds(),
        refusal: Callable[[str], bytes] = lambda reason: reason.encode(),
        shared: bool = False,
    ) -> None:
        """Raises OSError if the address is not available. `shared`: other processes may listen at the same address."""
        self.loop, self.handle, self.bounds, self.refusal = loop, handle, bounds, refusal
        self.connections: dict[ServerConnection, None] = {}  # in the order of acceptance
        self.on_connection_end: Callable[[ServerConnection, str], object] | None = None
        self.on_connection: Callable[[Stream], object] | None = None
        self.closing = False
        self.refusal_headers = ""  # complete lines, of the answer to a request that was read and not begun
        self.rejected_connections = 0
        self.held_bytes = 0  # of the requests that are being received or answered
        self.listener = Listener(loop, address, self._accept, bounds.out_bytes, shared)
        self.address = self.listener.address

    def _accept(self, stream: Stream) -> None:
        if self.on_connection:
            self.on_connection(stream)
        if len(self.connections) >= self.bounds.connections:
            self.rejected_connections += 1
            body = self.refusal("too many connections; come back later")
            stream.write(
                b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )
            stream.finish()
            return
        if stream.sock is not None:
            self.connections[ServerConnection(self, stream)] = None

    def enforce_held_bytes(self) -> None:
        """Rejects the largest unfinished requests while all requests take more memory than the bound.

        Guards against many clients each of which keeps within the bounds of one connection.
        """
        while self.held_bytes > self.bounds.held_bytes:
            unfinished = [each for each in self.connections if each.request is not None and each.request.size]
            if not unfinished:
                return
            largest = max(unfinished, key=lambda each: each.request.size)
            largest.reject(503, "too much is being received from all clients; come back later")

    def close(self, now: bool = True) -> None:
        """Stops listening. With `now` all connections end at once; else idle ones do, and the others once what they
        have received is answered."""
        self.closing = True
        self.listener.close()
        for connection in list(self.connections):
            if now or connection.is_idle:
                connection.stream.abort("closed")

    @property
    def is_idle(self) -> bool:
        """Whether no request that was received waits for its answer."""
        return all(connection.is_idle for connection in self.connections)
