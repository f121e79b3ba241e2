"""Parses recorded traffic: HTTP connections into exchanges of request and answer, store connections into frames."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from urllib.parse import parse_qsl

import httptools

from driftshed.day.recorder import STORE, STORED, NewConnection, Traffic
from driftshed.roster import jute
from driftshed.roster.jute import Frames


class Exchange:
    """One request and its answer; `request_body` is the request's body. Times are seconds from the start of the day.
    Without a complete answer `answered_at` is None and `status` 0."""

    __slots__ = (
        "connection",
        "requested_at",
        "method",
        "path",
        "query",
        "request_body",
        "answered_at",
        "status",
        "headers",
        "body",
    )

    def __init__(self, connection: Connection, requested_at: float) -> None:
        """Created at the first byte of the request; the parser fills in the rest."""
        self.connection, self.requested_at, self.answered_at, self.status = connection, requested_at, None, 0
        self.method, self.path, self.query = "", "", {}
        self.request_body, self.body, self.headers = b"", b"", {}

    @property
    def sent_at(self) -> float:
        """When the request was sent; on loopback the time at which it was received."""
        return self.requested_at


class Connection:
    """One HTTP connection and its exchanges.

    `source` and `destination`: address:port of the connecting and of the accepting side; `host`: of the connecting
    side; `ended_at`: when the first end closed, or None; `now`: time of the last record; `malformed`: a parser failed.
    """

    def __init__(self, opened: NewConnection) -> None:
        """`opened`: the record of its start."""
        self.kind, self.source, self.destination, self.number = (
            opened.kind,
            opened.source,
            opened.destination,
            opened.connection,
        )
        self.host = opened.source.rpartition(":")[0]
        self.exchanges: list[Exchange] = []
        self.answered_count = 0
        self.ended_at: float | None = None
        self.now = 0.0
        self.request_parser, self.answer_parser = (
            httptools.HttpRequestParser(_RequestCallbacks(self)),
            httptools.HttpResponseParser(_AnswerCallbacks(self)),
        )
        self.malformed = False

    def feed(self, passed: Traffic) -> None:
        """Adds a record of this connection, in order of time."""
        self.now = passed.at
        if not passed.data:
            self.ended_at = passed.at if self.ended_at is None else self.ended_at
            return
        try:
            (self.answer_parser if passed.back else self.request_parser).feed_data(passed.data)
        except httptools.HttpParserError:
            self.malformed = True


class StoreConnection:
    """One connection to a store; `rows`: its frames as (time, back, payload), where `back` is true from the store."""

    def __init__(self, opened: NewConnection) -> None:
        """`opened`: the record of its start."""
        self.kind, self.source, self.destination, self.now = opened.kind, opened.source, opened.destination, 0.0
        self.rows: list[tuple[float, bool, bytes]] = []
        self.frames = {False: Frames(1 << 24), True: Frames(1 << 24)}
        self.ended_at: float | None = None

    def feed(self, passed: Traffic) -> None:
        """Adds a record of this connection, in order of time."""
        self.now = passed.at
        if not passed.data:
            self.ended_at = passed.at if self.ended_at is None else self.ended_at
            return
        self.rows += [(passed.at, passed.back, payload) for payload in self.frames[passed.back].feed(passed.data)]


def store_answers(connection: StoreConnection) -> Iterator[tuple[float, object, object]]:
    """Yields the store's successful answers as (time, request, result), and watch events as (time, event, None).
    Results of single writes are None."""
    pending: dict[int, object] = {}
    session_opened = {False: False, True: False}
    for at, back, payload in connection.rows:
        if not session_opened[back]:
            session_opened[back] = True  # the frame that opens the session
        elif not back:
            xid, request = jute.read_request(payload)
            pending[xid] = request
        else:
            reply, reader = jute.read_reply(payload)
            request = pending.pop(reply.xid, None)
            if reply.xid == jute.XID_EVENT:
                yield at, jute.read_event(reader), None
            elif reply.error == jute.OK and request is not None:
                read = isinstance(request, jute.GetData | jute.GetChildren | jute.Multi)
                yield at, request, jute.read_result(request, reader) if read else None


class _RequestCallbacks:
    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def on_message_begin(self) -> None:
        self.url = b""
        self.connection.exchanges.append(Exchange(self.connection, self.connection.now))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.connection.exchanges[-1].request_body += body

    def on_message_complete(self) -> None:
        exchange = self.connection.exchanges[-1]
        exchange.method = self.connection.request_parser.get_method().decode()
        exchange.path, _, query = self.url.decode("latin-1").partition("?")
        exchange.query = dict(parse_qsl(query))


class _AnswerCallbacks:
    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def on_message_begin(self) -> None:
        self.headers, self.body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        connection = self.connection
        if connection.answered_count < len(connection.exchanges):
            exchange = connection.exchanges[connection.answered_count]
            exchange.answered_at, exchange.status = connection.now, connection.answer_parser.get_status_code()
            exchange.headers, exchange.body = self.headers, self.body
        connection.answered_count += 1


def read_traffic(record: Iterable[NewConnection | Traffic]) -> tuple[float, dict[str, list[Connection]]]:
    """The unix time of the start of the day, and its connections by kind, in the order in which they were opened."""
    began, by_number, kinds = 0.0, {}, {}
    for each in record:
        if isinstance(each, Traffic):
            by_number[each.connection].feed(each)
        elif each.kind == "began":
            began = float(each.source)
        else:
            connection = StoreConnection(each) if each.kind in (STORE, STORED) else Connection(each)
            by_number[each.connection] = connection
            kinds.setdefault(each.kind, []).append(connection)
    return began, kinds
