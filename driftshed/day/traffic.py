"""What passed on the sockets, read back as HTTP: one exchange for each request that was made."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from urllib.parse import parse_qsl

import httptools

from driftshed.day.recorder import STORE, STORED, Opened, Passed
from driftshed.roster import jute
from driftshed.roster.jute import Frames


class Exchange:
    """One request and what came back. Times are seconds from the start of the day; `answered_at` is None where no
    whole answer passed, `status` 0."""

    __slots__ = (
        "connection",
        "asked_at",
        "method",
        "path",
        "query",
        "asked",
        "answered_at",
        "status",
        "headers",
        "body",
    )

    def __init__(self, connection: Connection, asked_at: float) -> None:
        self.connection, self.asked_at, self.answered_at, self.status = connection, asked_at, None, 0
        self.method, self.path, self.query = "", "", {}
        self.asked, self.body, self.headers = b"", b"", {}

    @property
    def sent_at(self) -> float:
        """On loopback, when it came."""
        return self.asked_at


class Connection:
    """One connection and the exchanges on it; `ended_at`: when either end was seen to end."""

    def __init__(self, opened: Opened) -> None:
        self.kind, self.asks, self.asked, self.number = opened.kind, opened.asks, opened.asked, opened.connection
        self.host = opened.asks.rpartition(":")[0]
        self.exchanges: list[Exchange] = []
        self.answered = 0
        self.ended_at: float | None = None
        self.now = 0.0
        self.forth, self.back = httptools.HttpRequestParser(_Asked(self)), httptools.HttpResponseParser(_Answered(self))
        self.malformed = False

    def feed(self, passed: Passed) -> None:
        self.now = passed.at
        if not passed.data:
            self.ended_at = passed.at if self.ended_at is None else self.ended_at
            return
        try:
            (self.back if passed.back else self.forth).feed_data(passed.data)
        except httptools.HttpParserError:
            self.malformed = True


class StoreTalk:
    """One connection to a store: what was asked and answered on it, frame by frame, as (when, back, payload)."""

    def __init__(self, opened: Opened) -> None:
        self.kind, self.asks, self.asked, self.now = opened.kind, opened.asks, opened.asked, 0.0
        self.rows: list[tuple[float, bool, bytes]] = []
        self.frames = {False: Frames(1 << 24), True: Frames(1 << 24)}
        self.ended_at: float | None = None

    def feed(self, passed: Passed) -> None:
        self.now = passed.at
        if not passed.data:
            self.ended_at = passed.at if self.ended_at is None else self.ended_at
            return
        self.rows += [(passed.at, passed.back, payload) for payload in self.frames[passed.back].feed(passed.data)]


def said_by_store(talk: StoreTalk) -> Iterator[tuple[float, object, object]]:
    """What a store answered without an error, as (when, request, result), and its events, as (when, event, None).
    Results are of what was read, and of what was written together."""
    asked: dict[int, object] = {}
    opened = {False: False, True: False}
    for at, back, payload in talk.rows:
        if not opened[back]:
            opened[back] = True  # the session's opening
        elif not back:
            xid, request = jute.read_request(payload)
            asked[xid] = request
        else:
            reply, reader = jute.read_reply(payload)
            request = asked.pop(reply.xid, None)
            if reply.xid == jute.XID_EVENT:
                yield at, jute.read_event(reader), None
            elif reply.error == jute.OK and request is not None:
                read = isinstance(request, jute.GetData | jute.GetChildren | jute.Multi)
                yield at, request, jute.read_result(request, reader) if read else None


class _Asked:
    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def on_message_begin(self) -> None:
        self.url = b""
        self.connection.exchanges.append(Exchange(self.connection, self.connection.now))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.connection.exchanges[-1].asked += body

    def on_message_complete(self) -> None:
        exchange = self.connection.exchanges[-1]
        exchange.method = self.connection.forth.get_method().decode()
        exchange.path, _, query = self.url.decode("latin-1").partition("?")
        exchange.query = dict(parse_qsl(query))


class _Answered:
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
        if connection.answered < len(connection.exchanges):
            exchange = connection.exchanges[connection.answered]
            exchange.answered_at, exchange.status = connection.now, connection.back.get_status_code()
            exchange.headers, exchange.body = self.headers, self.body
        connection.answered += 1


def read_traffic(record: Iterable[Opened | Passed]) -> tuple[float, dict[str, list[Connection]]]:
    """The unix time at which the day began, and its connections by kind, in the order in which they were opened."""
    began, all_of_them, kinds = 0.0, {}, {}
    for each in record:
        if isinstance(each, Passed):
            all_of_them[each.connection].feed(each)
        elif each.kind == "began":
            began = float(each.asks)
        else:
            connection = StoreTalk(each) if each.kind in (STORE, STORED) else Connection(each)
            all_of_them[each.connection] = connection
            kinds.setdefault(each.kind, []).append(connection)
    return began, kinds
