"""A client's session with a store, free of I/O: bytes and times go in, bytes and callbacks come out.

A lost connection and an expired session are different things. After a *lost connection* the session may still exist,
and requests that were in flight may have been executed or not. An *expired session* is only ever reported by the store
itself; its ephemeral nodes and its watches are then gone."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from driftshed.roster import jute
from driftshed.roster.jute import (
    CHILDREN,
    CONNECTION_LOSS,
    DELETED,
    EXPIRED,
    OK,
    XID_EVENT,
    XID_PING,
    XID_SET_WATCHES,
    Close,
    ConnectRequest,
    Event,
    Exists,
    Frames,
    GetChildren,
    GetData,
    Malformed,
    Ping,
    Request,
    SetWatches,
)

MAX_PENDING_REQUESTS = 4096  # queued or in flight
PINGS_PER_TIMEOUT = 3
SILENCE_LIMIT_SHARE = 2 / 3  # of the time-out without a received byte, after which the connection is dropped
TOO_MANY_REQUESTS = -7  # the protocol's code for an operation time-out


class SessionState(Enum):
    """State of a session, as the client knows it."""

    DISCONNECTED = "no connection"
    OPENING = "connected, not yet let in"
    CONNECTED = "on"
    EXPIRED = "expired"
    CLOSED = "closed"


OnResult = Callable[[int, object], object]  # receives the error code and the result


class PendingRequest:
    """A request without an answer yet."""

    __slots__ = ("request", "on_result", "xid", "sent_at")

    def __init__(self, request: Request, on_result: OnResult) -> None:
        """`xid` is 0 until the request is sent; `sent_at` is when it was sent."""
        self.request, self.on_result, self.xid, self.sent_at = request, on_result, 0, 0.0


class ClientSession:
    """Calls `on_state(state)` for each new state and `on_event(event)` for each watch event. Requests are answered in
    order, each exactly once. Times are seconds on the caller's clock."""

    def __init__(self, timeout: float) -> None:
        """`timeout`: the time-out to request, in seconds; the attribute holds the one that the store granted."""
        self.requested_timeout, self.timeout = timeout, timeout
        self.state, self.session, self.password, self.zxid, self.xid = SessionState.DISCONNECTED, 0, bytes(16), 0, 0
        self.queued: deque[PendingRequest] = deque()  # not sent yet
        self.in_flight: deque[PendingRequest] = deque()
        self.watches: dict[str, dict[str, None]] = {"data": {}, "exist": {}, "children": {}}
        self.last_received_at = self.last_sent_at = self.connected_at = 0.0
        # When the last answered request was sent: the store considered the session alive at some moment after that, and
        # keeps it for a full time-out from that moment.
        self.confirmed_at = float("-inf")
        self.ping_times: deque[float] = deque()
        self.on_state: Callable[[SessionState], object] = lambda state: None
        self.on_event: Callable[[Event], object] = lambda event: None
        self.output = bytearray()
        self.frames = Frames()

    # ---- connection --------------------------------------------------------------------------------------------

    def connected(self, now: float) -> None:
        """A connection is established: requests to resume the session, or a new one."""
        self.frames, self.output = Frames(), bytearray()
        self.last_received_at = self.last_sent_at = self.connected_at = now
        self.ping_times.clear()
        self._set_state(SessionState.OPENING)
        self.output += jute.write_connect_request(
            ConnectRequest(self.zxid, round(self.requested_timeout * 1000), self.session, self.password)
        )

    def disconnected(self) -> None:
        """The connection has ended. Requests in flight may or may not have been executed: they get CONNECTION_LOSS."""
        if self.state in (SessionState.EXPIRED, SessionState.CLOSED, SessionState.DISCONNECTED):
            return
        self._set_state(SessionState.DISCONNECTED)
        in_flight, self.in_flight = self.in_flight, deque()
        for pending in in_flight:
            pending.on_result(CONNECTION_LOSS, None)

    def receive(self, data: bytes, now: float) -> None:
        """Handles received bytes. Raises Malformed for invalid ones; the caller then ends the connection."""
        self.last_received_at = now
        for payload in self.frames.feed(data):
            if self.state is SessionState.OPENING:
                self._on_connect_response(jute.read_connect_response(payload), now)
            elif self.state is SessionState.CONNECTED:
                self._on_message(payload)

    def _on_connect_response(self, response: jute.ConnectResponse, now: float) -> None:
        if response.timeout <= 0:
            self._expire()
            return
        self.timeout, self.session, self.password = response.timeout / 1000, response.session, response.password
        self.confirmed_at = self.connected_at
        self._set_state(SessionState.CONNECTED)
        if any(self.watches.values()):
            # Guards against changes missed while disconnected: the store sends events for all changes since this zxid.
            paths = [tuple(self.watches[kind]) for kind in ("data", "exist", "children")]
            self.output += jute.write_request(XID_SET_WATCHES, SetWatches(self.zxid, *paths))
        while self.queued and self.state is SessionState.CONNECTED:
            self._send(self.queued.popleft(), now)

    def _on_message(self, payload: bytes) -> None:
        reply, reader = jute.read_reply(payload)
        if reply.xid == XID_EVENT:
            self._on_event(jute.read_event(reader))
            return
        if reply.zxid > 0:
            self.zxid = max(self.zxid, reply.zxid)
        if reply.xid in (XID_PING, XID_SET_WATCHES):
            if reply.xid == XID_PING and self.ping_times:
                self.confirmed_at = max(self.confirmed_at, self.ping_times.popleft())
            return
        if not self.in_flight or self.in_flight[0].xid != reply.xid:
            raise Malformed(
                f"answer to request {reply.xid}, expected {self.in_flight[0].xid if self.in_flight else 'none'}"
            )
        pending = self.in_flight.popleft()
        if isinstance(pending.request, Close):
            self._set_state(SessionState.CLOSED)
        if reply.error == EXPIRED:
            self.in_flight.appendleft(pending)
            self._expire()
            return
        self.confirmed_at = max(self.confirmed_at, pending.sent_at)
        has_result = reply.error == OK or (isinstance(pending.request, jute.Multi) and reader.remaining)
        result = jute.read_result(pending.request, reader) if has_result else None
        self._record_watch(pending.request, reply.error)
        pending.on_result(reply.error, result)

    def _record_watch(self, request: Request, error: int) -> None:
        if not getattr(request, "watch", False):
            return
        if isinstance(request, Exists):
            self.watches["data" if error == OK else "exist"][request.path] = None
        elif error == OK:
            kind = {GetData: "data", GetChildren: "children"}[type(request)]
            self.watches[kind][request.path] = None

    def _on_event(self, event: Event) -> None:
        """A watch has triggered, which also removes it."""
        if event.kind in (CHILDREN, DELETED):
            self.watches["children"].pop(event.path, None)
        if event.kind != CHILDREN:
            self.watches["data"].pop(event.path, None)
            self.watches["exist"].pop(event.path, None)
        self.on_event(event)

    def _expire(self) -> None:
        self._set_state(SessionState.EXPIRED)
        self.confirmed_at = float("-inf")
        for paths in self.watches.values():
            paths.clear()
        unanswered = [*self.in_flight, *self.queued]
        self.in_flight, self.queued = deque(), deque()
        for pending in unanswered:
            pending.on_result(EXPIRED, None)

    def _set_state(self, state: SessionState) -> None:
        if state is not self.state:
            self.state = state
            self.on_state(state)

    # ---- requests ---------------------------------------------------------------------------------------------

    def ask(self, request: Request, on_result: OnResult, now: float) -> None:
        """Sends a request; calls `on_result(error, result)` once. While disconnected, queues requests up to a limit."""
        if self.state in (SessionState.EXPIRED, SessionState.CLOSED):
            on_result(EXPIRED, None)
        elif len(self.queued) + len(self.in_flight) >= MAX_PENDING_REQUESTS:
            on_result(TOO_MANY_REQUESTS, None)
        elif self.state is SessionState.CONNECTED:
            self._send(PendingRequest(request, on_result), now)
        else:
            self.queued.append(PendingRequest(request, on_result))

    def _send(self, pending: PendingRequest, now: float) -> None:
        self.xid = self.xid % 0x7FFFFFFF + 1
        pending.xid, pending.sent_at = self.xid, now
        self.in_flight.append(pending)
        self.last_sent_at = now
        self.output += jute.write_request(pending.xid, pending.request)

    def take_output(self) -> bytes:
        """Returns and clears the bytes to be written to the connection."""
        output, self.output = bytes(self.output), bytearray()
        return output

    # ---- timers ------------------------------------------------------------------------------------------------

    def next_at(self) -> float | None:
        """When `tick` is due even if nothing is received; None while disconnected."""
        if self.state not in (SessionState.OPENING, SessionState.CONNECTED):
            return None
        silent_at = self.last_received_at + self.timeout * SILENCE_LIMIT_SHARE
        # Guards against a busy loop: until the store has accepted the session no ping is due, however long ago the last
        # byte was sent.
        return (
            silent_at
            if self.state is SessionState.OPENING
            else min(self.last_sent_at + self.timeout / PINGS_PER_TIMEOUT, silent_at)
        )

    def tick(self, now: float) -> bool:
        """Sends a ping if one is due. Returns False if the store has been silent for too long: the caller then ends the
        connection."""
        if self.state not in (SessionState.OPENING, SessionState.CONNECTED):
            return True
        if now >= self.last_received_at + self.timeout * SILENCE_LIMIT_SHARE:
            return False
        if self.state is SessionState.CONNECTED and now >= self.last_sent_at + self.timeout / PINGS_PER_TIMEOUT:
            self.last_sent_at = now
            self.ping_times.append(now)
            self.output += jute.write_request(XID_PING, Ping())
        return True
