"""The store's side of sessions, free of I/O: handles bytes received on connections, executes requests on the tree and
queues answers in order.

An answer to a change is sent only after `commit()` has written the change to disk, so acknowledged changes are never
lost. No client sees a change before that, neither in an answer nor in a watch event."""

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
from driftshed.roster.log import TransactionLog

MAX_SESSIONS = 10000
MAX_OUTPUT_BYTES = 8 << 20  # not yet read by one client
MAX_REQUESTS_AT_ONCE = 64  # of one connection in a round of the loop
MAX_UNFINISHED_BYTES = 32 << 20  # of packets that are being received, on all connections
MIN_SESSION_TIMEOUT_S, MAX_SESSION_TIMEOUT_S = 0.1, 60.0


class Connection:
    """One client connection. `close_reason`: why to close it once `output` has been written; empty while it stays
    open."""

    __slots__ = ("frames", "session", "output", "close_reason", "may_have_more")

    def __init__(self) -> None:
        """`session` is 0 until the client has opened or resumed one."""
        self.frames, self.session, self.output, self.close_reason = Frames(), 0, bytearray(), ""
        self.may_have_more = False  # received requests may be left, which `receive` with no data handles


class Store:
    """Sessions and their connections on one tree. Times are seconds on the caller's clock."""

    def __init__(self, log: TransactionLog, seed: int, now: float) -> None:
        """`seed`: of session numbers and passwords."""
        # Guards against two sessions with one number: a store restarted with the same seed would otherwise draw the
        # numbers again that it assigned before.
        self.log, self.tree, self.random = log, log.tree, Random(f"store {seed} {log.tree.zxid}")
        self.connections: dict[int, Connection] = {}  # by session
        self.unfinished: dict[Connection, int] = {}  # bytes of the packet that a connection is sending
        self.unfinished_bytes = 0  # of all connections
        # After a restart every client has a full time-out to resume its session.
        self.expires_at = {
            session_id: now + session.timeout / 1000 for session_id, session in self.tree.sessions.items()
        }
        self.expired_count = 0
        self.events_to_drop = 0  # for tests: number of events to drop; each drop also ends the connection

    # ---- connections ------------------------------------------------------------------------------------------

    def receive(self, connection: Connection, data: bytes, now: float) -> None:
        """Handles bytes received on a connection. Malformed bytes end this connection and affect no other."""
        self._read_packets(connection, data, now)
        self._count_unfinished(connection, len(connection.frames.buffered))
        # Guards against many clients each of which keeps within the bound of one packet.
        while self.unfinished_bytes > MAX_UNFINISHED_BYTES:
            largest = max(self.unfinished, key=self.unfinished.get)
            largest.close_reason, largest.frames = "too much is being received from all clients", Frames()
            self._count_unfinished(largest, 0)

    def _count_unfinished(self, connection: Connection, size: int) -> None:
        self.unfinished_bytes += size - self.unfinished.pop(connection, 0)
        if size:
            self.unfinished[connection] = size

    def _read_packets(self, connection: Connection, data: bytes, now: float) -> None:
        connection.may_have_more = False
        if connection.close_reason:
            return
        try:
            for number, payload in enumerate(connection.frames.feed(data), 1):
                if connection.close_reason:
                    return
                if not connection.session:
                    self._open_session(connection, jute.read_connect_request(payload), now)
                else:
                    self._handle_request(connection, payload, now)
                # Guards against a connection that gets as much of a round as it sends.
                if number == MAX_REQUESTS_AT_ONCE:
                    connection.may_have_more = True
                    return
        except Malformed as error:
            connection.close_reason = f"malformed: {error}"

    def connection_lost(self, connection: Connection) -> None:
        """A connection has ended; its session lives on until it is resumed or times out."""
        self._count_unfinished(connection, 0)
        if connection.session and self.connections.get(connection.session) is connection:
            del self.connections[connection.session]
            self.tree.forget_watches(connection.session)

    def _open_session(self, connection: Connection, request: jute.ConnectRequest, now: float) -> None:
        timeout = round(1000 * min(MAX_SESSION_TIMEOUT_S, max(MIN_SESSION_TIMEOUT_S, request.timeout / 1000)))
        session_id, session = request.session, self.tree.sessions.get(request.session)
        # Guards against a client that has seen changes which this store lacks: it would accept older data as newer.
        if request.last_zxid > self.tree.zxid:
            connection.close_reason = (
                f"the client has seen change {request.last_zxid}, the newest here is {self.tree.zxid}"
            )
            return
        if session_id and (session is None or session.password != request.password):
            connection.output += jute.write_connect_response(ConnectResponse(0, 0, bytes(16)))
            connection.close_reason = "its session has expired"
            return
        if not session_id:
            if len(self.tree.sessions) >= MAX_SESSIONS:
                connection.close_reason = f"{MAX_SESSIONS} sessions are open"
                return
            while not session_id or session_id in self.tree.sessions:
                session_id = self.random.getrandbits(62)
            password = self.random.randbytes(16)
            self.tree.open_session(session_id, timeout, password)
            self.log.add("open", session_id, 0, msgspec.msgpack.encode((timeout, password)))
            session = self.tree.sessions[session_id]
        previous = self.connections.get(session_id)
        if previous is not None:
            previous.close_reason = "its session was resumed on another connection"
            self.connection_lost(previous)
        connection.session = session_id
        self.connections[session_id] = connection
        self.expires_at[session_id] = now + session.timeout / 1000
        connection.output += jute.write_connect_response(ConnectResponse(session.timeout, session_id, session.password))

    def _handle_request(self, connection: Connection, payload: bytes, now: float) -> None:
        session_id = connection.session
        if session_id not in self.tree.sessions:  # expired while the connection is open
            connection.close_reason = "its session has expired"
            return
        self.expires_at[session_id] = now + self.tree.sessions[session_id].timeout / 1000
        xid, request = jute.read_request(payload)
        if request is None:
            self._reply(connection, Reply(xid, self.tree.zxid, UNIMPLEMENTED))
        elif isinstance(request, Ping):
            self._reply(connection, Reply(XID_PING, self.tree.zxid, OK))
        elif isinstance(request, Close):
            self._end_session(session_id)
            self._reply(connection, Reply(xid, self.tree.zxid, OK))
            connection.close_reason = "closed"
        else:
            time_ms = round(now * 1000)
            outcome = self.tree.execute(session_id, request, time_ms)
            if outcome.is_transaction:
                self.log.add("do", session_id, time_ms, payload)
            self._send_events(outcome.events)  # watch events precede the answer that shows the change
            body = b""
            if outcome.result is not None and (outcome.error == OK or isinstance(request, jute.Multi)):
                body = jute.write_result(request, outcome.result)
            if not isinstance(request, SetWatches) or outcome.error == OK:
                self._reply(connection, Reply(xid, self.tree.zxid, outcome.error), body)

    def _reply(self, connection: Connection, reply: Reply, body: bytes = b"") -> None:
        connection.output += jute.write_reply(reply, body)
        if len(connection.output) > MAX_OUTPUT_BYTES:
            connection.close_reason = "the client does not read"

    def _send_events(self, events: list[tuple[int, Event]]) -> None:
        for session_id, event in events:
            connection = self.connections.get(session_id)
            if connection is not None and self.events_to_drop:
                self.events_to_drop -= 1
                connection.close_reason = "broken on purpose"
            elif connection is not None:
                connection.output += jute.write_event(event._replace(state=CONNECTED))
                if len(connection.output) > MAX_OUTPUT_BYTES:
                    connection.close_reason = "the client does not read"

    # ---- sessions ---------------------------------------------------------------------------------------------

    def _end_session(self, session_id: int) -> None:
        self.log.add("end", session_id, 0, b"")
        self.expires_at.pop(session_id, None)
        events = self.tree.end_session(session_id)
        self.connections.pop(session_id, None)
        self._send_events(events)

    def expire(self, session_id: int) -> None:
        """Expires a session, after its time-out or on purpose: deletes its nodes and ends its connection, if any."""
        if session_id not in self.tree.sessions:
            return
        self.expired_count += 1
        connection = self.connections.get(session_id)
        self._end_session(session_id)
        if connection is not None:
            connection.close_reason = "its session has expired"

    def expire_sessions(self, now: float) -> None:
        """Expires the sessions whose time-out has passed."""
        for session_id in [session_id for session_id, expiry in self.expires_at.items() if expiry <= now]:
            self.expire(session_id)

    def next_at(self) -> float | None:
        """When the next session expires unless its client sends something; None without sessions."""
        return min(self.expires_at.values(), default=None)

    def commit(self) -> None:
        """Writes all changes to disk; the output of connections may be sent only after it."""
        self.log.sync()
