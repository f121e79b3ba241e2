"""A client's session with a store, sans I/O: bytes and times go in, bytes and calls come out.

What must never be mixed: a *lost connection* says nothing about the session, which may live on, nor about requests that
were under way, which may have been done; an *expired session* is only what the store itself says, and then its nodes
are gone and every watch with them."""

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
    Connect,
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

MOST_WAITING = 4096  # requests, sent or not
PINGS = 3  # in a time-out
SILENT = 2 / 3  # of the time-out without a byte: the connection is given up
FULL = -7  # operation time-out: too many requests wait


class State(Enum):
    AWAY = "no connection"
    OPENING = "connected, not yet let in"
    ON = "on"
    EXPIRED = "expired"
    CLOSED = "closed"


Done = Callable[[int, object], object]  # error, result


class Asked:
    """One request: sent when `xid` is above 0."""

    __slots__ = ("request", "done", "xid", "at")

    def __init__(self, request: Request, done: Done) -> None:
        self.request, self.done, self.xid, self.at = request, done, 0, 0.0


class ClientSession:
    """`timeout`: seconds that are asked for. `on_state(state)` and `on_event(event)` tell; requests are answered in
    their order, each once."""

    def __init__(self, timeout: float) -> None:
        self.wanted, self.timeout = timeout, timeout
        self.state, self.session, self.password, self.zxid, self.xid = State.AWAY, 0, bytes(16), 0, 0
        self.waiting: deque[Asked] = deque()  # not sent
        self.sent: deque[Asked] = deque()
        self.watched: dict[str, dict[str, None]] = {"data": {}, "exist": {}, "children": {}}
        self.heard_at = self.said_at = self.opened_at = 0.0
        # When what was last answered had been sent, in seconds on the caller's clock: the store held the session to be
        # alive at some moment after it, and for a whole time-out from then.
        self.proved_at = float("-inf")
        self.pinged: deque[float] = deque()
        self.on_state: Callable[[State], object] = lambda state: None
        self.on_event: Callable[[Event], object] = lambda event: None
        self.out = bytearray()
        self.frames = Frames()

    # ---- the connection ---------------------------------------------------------------------------------------

    def connected(self, now: float) -> None:
        """A connection stands: asks for the session to go on, or for a new one."""
        self.frames, self.out = Frames(), bytearray()
        self.heard_at = self.said_at = self.opened_at = now
        self.pinged.clear()
        self._go(State.OPENING)
        self.out += jute.write_connect(Connect(self.zxid, round(self.wanted * 1000), self.session, self.password))

    def lost(self) -> None:
        """The connection has ended. Requests under way may or may not have been done."""
        if self.state in (State.EXPIRED, State.CLOSED, State.AWAY):
            return
        self._go(State.AWAY)
        sent, self.sent = self.sent, deque()
        for asked in sent:
            asked.done(CONNECTION_LOSS, None)

    def take(self, data: bytes, now: float) -> None:
        """Bytes have come. Malformed where they are not the protocol: end the connection."""
        self.heard_at = now
        for payload in self.frames.feed(data):
            if self.state is State.OPENING:
                self._opened(jute.read_connected(payload), now)
            elif self.state is State.ON:
                self._heard(payload)

    def _opened(self, told: jute.Connected, now: float) -> None:
        if told.timeout <= 0:
            self._expire()
            return
        self.timeout, self.session, self.password = told.timeout / 1000, told.session, told.password
        self.proved_at = self.opened_at
        self._go(State.ON)
        if any(self.watched.values()):
            # Guards against changes missed while away: the store tells what happened since the last zxid seen.
            paths = [tuple(self.watched[kind]) for kind in ("data", "exist", "children")]
            self.out += jute.write_request(XID_SET_WATCHES, SetWatches(self.zxid, *paths))
        while self.waiting and self.state is State.ON:
            self._send(self.waiting.popleft(), now)

    def _heard(self, payload: bytes) -> None:
        reply, reader = jute.read_reply(payload)
        if reply.xid == XID_EVENT:
            self._event(jute.read_event(reader))
            return
        if reply.zxid > 0:
            self.zxid = max(self.zxid, reply.zxid)
        if reply.xid in (XID_PING, XID_SET_WATCHES):
            if reply.xid == XID_PING and self.pinged:
                self.proved_at = max(self.proved_at, self.pinged.popleft())
            return
        if not self.sent or self.sent[0].xid != reply.xid:
            raise Malformed(f"an answer to {reply.xid}, and {self.sent[0].xid if self.sent else 'none'} is next")
        asked = self.sent.popleft()
        if isinstance(asked.request, Close):
            self._go(State.CLOSED)
        if reply.error == EXPIRED:
            self.sent.appendleft(asked)
            self._expire()
            return
        self.proved_at = max(self.proved_at, asked.at)
        whole = reply.error == OK or (isinstance(asked.request, jute.Multi) and reader.left)
        result = jute.read_result(asked.request, reader) if whole else None
        self._note_watch(asked.request, reply.error)
        asked.done(reply.error, result)

    def _note_watch(self, request: Request, error: int) -> None:
        if not getattr(request, "watch", False):
            return
        if isinstance(request, Exists):
            self.watched["data" if error == OK else "exist"][request.path] = None
        elif error == OK:
            kind = {GetData: "data", GetChildren: "children"}[type(request)]
            self.watched[kind][request.path] = None

    def _event(self, event: Event) -> None:
        """A watch has fired and is no more."""
        if event.kind in (CHILDREN, DELETED):
            self.watched["children"].pop(event.path, None)
        if event.kind != CHILDREN:
            self.watched["data"].pop(event.path, None)
            self.watched["exist"].pop(event.path, None)
        self.on_event(event)

    def _expire(self) -> None:
        self._go(State.EXPIRED)
        self.proved_at = float("-inf")
        for paths in self.watched.values():
            paths.clear()
        waiting = [*self.sent, *self.waiting]
        self.sent, self.waiting = deque(), deque()
        for asked in waiting:
            asked.done(EXPIRED, None)

    def _go(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            self.on_state(state)

    # ---- requests ---------------------------------------------------------------------------------------------

    def ask(self, request: Request, done: Done, now: float) -> None:
        """`done(error, result)` once. While away requests wait, bounded."""
        if self.state in (State.EXPIRED, State.CLOSED):
            done(EXPIRED, None)
        elif len(self.waiting) + len(self.sent) >= MOST_WAITING:
            done(FULL, None)
        elif self.state is State.ON:
            self._send(Asked(request, done), now)
        else:
            self.waiting.append(Asked(request, done))

    def _send(self, asked: Asked, now: float) -> None:
        self.xid = self.xid % 0x7FFFFFFF + 1
        asked.xid, asked.at = self.xid, now
        self.sent.append(asked)
        self.said_at = now
        self.out += jute.write_request(asked.xid, asked.request)

    def taken_out(self) -> bytes:
        """What is to be written now."""
        out, self.out = bytes(self.out), bytearray()
        return out

    # ---- time -------------------------------------------------------------------------------------------------

    def next_at(self) -> float | None:
        """When `turn` is due though nothing comes; None while away."""
        if self.state not in (State.OPENING, State.ON):
            return None
        silent = self.heard_at + self.timeout * SILENT
        # Guards against spinning: one that is not let in yet has no ping due, however long ago it said something.
        return silent if self.state is State.OPENING else min(self.said_at + self.timeout / PINGS, silent)

    def turn(self, now: float) -> bool:
        """Pings where it is time. False: the store has been silent for too long, and the connection is to be ended."""
        if self.state not in (State.OPENING, State.ON):
            return True
        if now >= self.heard_at + self.timeout * SILENT:
            return False
        if self.state is State.ON and now >= self.said_at + self.timeout / PINGS:
            self.said_at = now
            self.pinged.append(now)
            self.out += jute.write_request(XID_PING, Ping())
        return True
