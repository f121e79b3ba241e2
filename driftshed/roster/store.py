"""The store's side of sessions, sans I/O: connections bring bytes, the tree decides, answers go back in order.

An answer to a change is held until `commit()` has made the change safe on disk: what was acknowledged is never lost.
Whatever is seen of a change, by its asker or by a watch, is seen after that."""

from __future__ import annotations

from random import Random

import msgspec

from driftshed.roster import jute
from driftshed.roster.jute import (
    CONNECTED,
    OK,
    UNIMPLEMENTED,
    XID_PING,
    Close,
    ConnectResponse,
    Event,
    Frames,
    Malformed,
    Ping,
    Reply,
    SetWatches,
)
from driftshed.roster.log import Log

MOST_SESSIONS = 10000
MOST_OUT = 8 << 20  # bytes that one connection does not read
LEAST, MOST = 0.1, 60.0  # seconds of a time-out


class Line:
    """One connection as the store sees it. `over`: why it is to be ended, once `out` is written."""

    __slots__ = ("frames", "session", "out", "over")

    def __init__(self) -> None:
        self.frames, self.session, self.out, self.over = Frames(), 0, bytearray(), ""


class Store:
    """`seed` for session numbers and passwords; times are seconds on the caller's clock."""

    def __init__(self, log: Log, seed: int, now: float) -> None:
        # Guards against two sessions under one number: a store started anew with the same seed would draw those again
        # that it gave out before.
        self.log, self.tree, self.random = log, log.tree, Random(f"store {seed} {log.tree.zxid}")
        self.lines: dict[int, Line] = {}  # by session
        # After a restart every session has its whole time-out to come back in.
        self.due = {number: now + held.timeout / 1000 for number, held in self.tree.sessions.items()}
        self.expired = 0
        self.breaks_events = 0  # for tests: so many events are lost, each with the connection that it was to go on

    # ---- connections ------------------------------------------------------------------------------------------

    def take(self, line: Line, data: bytes, now: float) -> None:
        """Bytes of a connection. What is not the protocol ends this connection, and no other."""
        try:
            for payload in line.frames.feed(data):
                if line.over:
                    return
                if not line.session:
                    self._open(line, jute.read_connect(payload), now)
                else:
                    self._ask(line, payload, now)
        except Malformed as error:
            line.over = f"malformed: {error}"

    def lost(self, line: Line) -> None:
        """A connection has ended; its session has its time-out left."""
        if line.session and self.lines.get(line.session) is line:
            del self.lines[line.session]
            self.tree.forget_watches(line.session)

    def _open(self, line: Line, asked: jute.Connect, now: float) -> None:
        timeout = round(1000 * min(MOST, max(LEAST, asked.timeout / 1000)))
        number, held = asked.session, self.tree.sessions.get(asked.session)
        # Guards against a client that has seen what this store has not: it would take older news for newer.
        if asked.last_zxid > self.tree.zxid:
            line.over = f"it has seen change {asked.last_zxid}, the newest here is {self.tree.zxid}"
            return
        if number and (held is None or held.password != asked.password):
            line.out += jute.write_connect_response(ConnectResponse(0, 0, bytes(16)))
            line.over = "its session has expired"
            return
        if not number:
            if len(self.tree.sessions) >= MOST_SESSIONS:
                line.over = f"{MOST_SESSIONS} sessions are open"
                return
            while not number or number in self.tree.sessions:
                number = self.random.getrandbits(62)
            password = self.random.randbytes(16)
            self.tree.open(number, timeout, password)
            self.log.add("open", number, 0, msgspec.msgpack.encode((timeout, password)))
            held = self.tree.sessions[number]
        older = self.lines.get(number)
        if older is not None:
            older.over = "its session goes on elsewhere"
            self.lost(older)
        line.session = number
        self.lines[number] = line
        self.due[number] = now + held.timeout / 1000
        line.out += jute.write_connect_response(ConnectResponse(held.timeout, number, held.password))

    def _ask(self, line: Line, payload: bytes, now: float) -> None:
        number = line.session
        if number not in self.tree.sessions:  # expired under a connection that stands
            line.over = "its session has expired"
            return
        self.due[number] = now + self.tree.sessions[number].timeout / 1000
        xid, request = jute.read_request(payload)
        if request is None:
            self._reply(line, Reply(xid, self.tree.zxid, UNIMPLEMENTED))
        elif isinstance(request, Ping):
            self._reply(line, Reply(XID_PING, self.tree.zxid, OK))
        elif isinstance(request, Close):
            self._end(number)
            self._reply(line, Reply(xid, self.tree.zxid, OK))
            line.over = "closed"
        else:
            milliseconds = round(now * 1000)
            done = self.tree.do(number, request, milliseconds)
            if done.wrote:
                self.log.add("do", number, milliseconds, payload)
            self._tell(done.events)  # a change is told before whoever asks can see it
            body = b""
            if done.result is not None and (done.error == OK or isinstance(request, jute.Multi)):
                body = jute.write_result(request, done.result)
            if not isinstance(request, SetWatches) or done.error == OK:
                self._reply(line, Reply(xid, self.tree.zxid, done.error), body)

    def _reply(self, line: Line, reply: Reply, body: bytes = b"") -> None:
        line.out += jute.write_reply(reply, body)
        if len(line.out) > MOST_OUT:
            line.over = "it does not read"

    def _tell(self, events: list[tuple[int, Event]]) -> None:
        for number, event in events:
            line = self.lines.get(number)
            if line is not None and self.breaks_events:
                self.breaks_events -= 1
                line.over = "broken on purpose"
            elif line is not None:
                line.out += jute.write_event(event._replace(state=CONNECTED))
                if len(line.out) > MOST_OUT:
                    line.over = "it does not read"

    # ---- sessions ---------------------------------------------------------------------------------------------

    def _end(self, number: int) -> None:
        self.log.add("end", number, 0, b"")
        self.due.pop(number, None)
        events = self.tree.end(number)
        self.lines.pop(number, None)
        self._tell(events)

    def expire(self, number: int) -> None:
        """A session has lapsed, by time or on purpose: its nodes go, and its connection, if it has one."""
        if number not in self.tree.sessions:
            return
        self.expired += 1
        line = self.lines.get(number)
        self._end(number)
        if line is not None:
            line.over = "its session has expired"

    def turn(self, now: float) -> None:
        """Ends what has lapsed."""
        for number in [number for number, due in self.due.items() if due <= now]:
            self.expire(number)

    def next_at(self) -> float | None:
        return min(self.due.values(), default=None)

    def commit(self) -> None:
        """Makes all that was answered safe; write what the lines hold only after it."""
        self.log.sync()
