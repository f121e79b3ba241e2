"""ZooKeeper's client protocol: length-framed jute records, both ways, by `struct`. Free of I/O.

Source: the published `zookeeper.jute` and the programmer's guide. Every number is big-endian; a buffer or string is its
length and its bytes, -1 for none; a vector its count and its parts. Reading is bounded by the frame: a length that does
not fit is `Malformed`, and nothing is allocated for it."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

MOST_FRAME = 1 << 20  # bytes, as the servers' own default for what clients send
INT, LONG = struct.Struct(">i"), struct.Struct(">q")

# Numbers of operations.
CREATE, DELETE, EXISTS, GET_DATA, SET_DATA, GET_CHILDREN, SYNC, PING = 1, 2, 3, 4, 5, 8, 9, 11
GET_CHILDREN2, CHECK, MULTI, CREATE2, SET_WATCHES, CLOSE = 12, 13, 14, 15, 101, -11
# Numbers of requests that are not answers to one.
XID_EVENT, XID_PING, XID_SET_WATCHES = -1, -2, -8
# What a node is created as: the sum of these.
EPHEMERAL, SEQUENTIAL = 1, 2
# Kinds of events, and the one state that a client of ours is told with them.
CREATED, DELETED, CHANGED, CHILDREN = 1, 2, 3, 4
CONNECTED = 3
ANY_VERSION = -1

# Codes of errors.
OK, SYSTEM, CONNECTION_LOSS, MARSHALLING, UNIMPLEMENTED, BAD_ARGUMENTS = 0, -1, -4, -5, -6, -8
RUNTIME_INCONSISTENCY, NO_NODE, BAD_VERSION, EPHEMERAL_PARENT = -2, -101, -103, -108
NODE_EXISTS, NOT_EMPTY, EXPIRED, MOVED = -110, -111, -112, -118


class Malformed(Exception):
    """Bytes that are no record of this protocol."""


class Stat(NamedTuple):
    """What is known of a node besides its data; zxids are the store's count of changes, times milliseconds."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    ephemeral_owner: int
    data_length: int
    children: int
    pzxid: int


STAT = struct.Struct(">qqqqiiiqiiq")


class Reader:
    """Reads one frame's payload from its start."""

    __slots__ = ("data", "at")

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def _take(self, form: struct.Struct) -> tuple:
        end = self.at + form.size
        if end > len(self.data):
            raise Malformed(f"{form.size} bytes wanted at {self.at} of {len(self.data)}")
        values = form.unpack_from(self.data, self.at)
        self.at = end
        return values

    def int(self) -> int:
        return self._take(INT)[0]

    def long(self) -> int:
        return self._take(LONG)[0]

    def bool(self) -> bool:
        if self.at >= len(self.data):
            raise Malformed(f"a byte wanted at {self.at} of {len(self.data)}")
        self.at += 1
        return self.data[self.at - 1] != 0

    def buffer(self) -> bytes | None:
        size = self.int()
        if size == -1:
            return None
        if size < 0 or size > len(self.data) - self.at:
            raise Malformed(f"a buffer of {size} bytes at {self.at} of {len(self.data)}")
        self.at += size
        return self.data[self.at - size : self.at]

    def string(self) -> str:
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise Malformed(f"a string at {self.at} is not UTF-8") from None

    def vector(self, part: Callable[[Reader], object]) -> list:
        count = self.int()
        if count > len(self.data) - self.at:  # each part takes a byte at least
            raise Malformed(f"a vector of {count} at {self.at} of {len(self.data)}")
        return [part(self) for _ in range(max(0, count))]

    def stat(self) -> Stat:
        return Stat(*self._take(STAT))

    @property
    def left(self) -> int:
        return len(self.data) - self.at

    def end(self) -> None:
        if self.left:
            raise Malformed(f"{self.left} bytes too many")


def buffer(data: bytes | None) -> bytes:
    return INT.pack(-1) if data is None else INT.pack(len(data)) + data


def string(text: str) -> bytes:
    return buffer(text.encode())


def vector(parts: list[bytes]) -> bytes:
    return INT.pack(len(parts)) + b"".join(parts)


def stat(value: Stat) -> bytes:
    return STAT.pack(*value)


def frame(payload: bytes) -> bytes:
    return INT.pack(len(payload)) + payload


class Frames:
    """Cuts a stream of bytes into frames. Malformed where one is larger than `most`, before it has come."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        self.most, self.kept = most, bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.kept += data
        while len(self.kept) >= 4:
            (size,) = INT.unpack_from(self.kept)
            if not 0 <= size <= self.most:
                raise Malformed(f"a frame of {size} bytes; {self.most} are taken at the most")
            if len(self.kept) < 4 + size:
                return
            payload = bytes(self.kept[4 : 4 + size])
            del self.kept[: 4 + size]
            yield payload


# ---- opening a session ------------------------------------------------------------------------------------------


class Connect(NamedTuple):
    """What a client opens with: `last_zxid` is the newest change that it has seen, session 0 a new one."""

    last_zxid: int
    timeout: int  # milliseconds
    session: int
    password: bytes


class Connected(NamedTuple):
    """What it is told: timeout 0 says that the session has expired."""

    timeout: int
    session: int
    password: bytes


def write_connect(connect: Connect) -> bytes:
    head = struct.pack(">iqiq", 0, connect.last_zxid, connect.timeout, connect.session)
    return frame(head + buffer(connect.password) + b"\0")


def read_connect(payload: bytes) -> Connect:
    """Older clients leave the last byte (read-only) out."""
    reader = Reader(payload)
    reader.int()
    connect = Connect(reader.long(), reader.int(), reader.long(), reader.buffer() or b"")
    if reader.left:
        reader.bool()
    reader.end()
    return connect


def write_connected(connected: Connected) -> bytes:
    head = struct.pack(">iiq", 0, connected.timeout, connected.session)
    return frame(head + buffer(connected.password) + b"\0")


def read_connected(payload: bytes) -> Connected:
    reader = Reader(payload)
    reader.int()
    connected = Connected(reader.int(), reader.long(), reader.buffer() or b"")
    if reader.left:
        reader.bool()
    reader.end()
    return connected


# ---- requests ---------------------------------------------------------------------------------------------------


class Create(NamedTuple):
    """`stat`: the answer is to hold one (create2)."""

    path: str
    data: bytes
    flags: int = 0
    stat: bool = False


class Delete(NamedTuple):
    path: str
    version: int = ANY_VERSION


class Exists(NamedTuple):
    path: str
    watch: bool = False


class GetData(NamedTuple):
    path: str
    watch: bool = False


class SetData(NamedTuple):
    path: str
    data: bytes
    version: int = ANY_VERSION


class GetChildren(NamedTuple):
    """`stat`: the answer is to hold one (getChildren2)."""

    path: str
    watch: bool = False
    stat: bool = False


class Sync(NamedTuple):
    path: str


class Check(NamedTuple):
    path: str
    version: int


class Multi(NamedTuple):
    """Creates, deletes, sets and checks that take effect all together or not at all."""

    parts: tuple


class SetWatches(NamedTuple):
    """After a new connection: what is watched, and the newest change seen."""

    zxid: int
    data: tuple[str, ...]
    exist: tuple[str, ...]
    children: tuple[str, ...]


class Ping(NamedTuple):
    pass


class Close(NamedTuple):
    pass


Request = Create | Delete | Exists | GetData | SetData | GetChildren | Sync | Check | Multi | SetWatches | Ping | Close

WORLD = vector([INT.pack(31) + string("world") + string("anyone")])  # the one list of rights: all, to anyone


def _paths(paths: tuple[str, ...]) -> bytes:
    return vector([string(path) for path in paths])


WRITE: dict[type, tuple[Callable[[NamedTuple], int], Callable[[NamedTuple], bytes]]] = {
    Create: (
        lambda r: CREATE2 if r.stat else CREATE,
        lambda r: string(r.path) + buffer(r.data) + WORLD + INT.pack(r.flags),
    ),
    Delete: (lambda r: DELETE, lambda r: string(r.path) + INT.pack(r.version)),
    Exists: (lambda r: EXISTS, lambda r: string(r.path) + bytes([r.watch])),
    GetData: (lambda r: GET_DATA, lambda r: string(r.path) + bytes([r.watch])),
    SetData: (lambda r: SET_DATA, lambda r: string(r.path) + buffer(r.data) + INT.pack(r.version)),
    GetChildren: (lambda r: GET_CHILDREN2 if r.stat else GET_CHILDREN, lambda r: string(r.path) + bytes([r.watch])),
    Sync: (lambda r: SYNC, lambda r: string(r.path)),
    Check: (lambda r: CHECK, lambda r: string(r.path) + INT.pack(r.version)),
    SetWatches: (
        lambda r: SET_WATCHES,
        lambda r: LONG.pack(r.zxid) + _paths(r.data) + _paths(r.exist) + _paths(r.children),
    ),
    Ping: (lambda r: PING, lambda r: b""),
    Close: (lambda r: CLOSE, lambda r: b""),
}


def _body(request: Request) -> tuple[int, bytes]:
    if isinstance(request, Multi):
        parts = b""
        for part in request.parts:
            number, body = _body(part)
            parts += struct.pack(">i?i", number, False, -1) + body
        return MULTI, parts + struct.pack(">i?i", -1, True, -1)
    number, body = WRITE[type(request)]
    return number(request), body(request)


def write_request(xid: int, request: Request) -> bytes:
    """A request as a frame. Its place in the order of requests is `xid`, counted from 1."""
    number, body = _body(request)
    return frame(INT.pack(xid) + INT.pack(number) + body)


def read_request(payload: bytes) -> tuple[int, Request | None]:
    """The xid and the request; None where the operation is not one that is known here. Malformed else."""
    reader = Reader(payload)
    xid, number = reader.int(), reader.int()
    request = _read_body(reader, number, True)
    if request is not None:
        reader.end()
    return xid, request


def _acl(reader: Reader) -> tuple[int, str, str]:
    return reader.int(), reader.string(), reader.string()


def _read_body(reader: Reader, number: int, multi: bool) -> Request | None:
    if number in (CREATE, CREATE2):
        path, data = reader.string(), reader.buffer() or b""
        reader.vector(_acl)
        return Create(path, data, reader.int(), number == CREATE2)
    if number == DELETE:
        return Delete(reader.string(), reader.int())
    if number in (EXISTS, GET_DATA):
        return (Exists if number == EXISTS else GetData)(reader.string(), reader.bool())
    if number == SET_DATA:
        return SetData(reader.string(), reader.buffer() or b"", reader.int())
    if number in (GET_CHILDREN, GET_CHILDREN2):
        return GetChildren(reader.string(), reader.bool(), number == GET_CHILDREN2)
    if number == SYNC:
        return Sync(reader.string())
    if number == CHECK:
        return Check(reader.string(), reader.int())
    if number == SET_WATCHES:
        paths = lambda: tuple(reader.vector(Reader.string))  # noqa: E731
        return SetWatches(reader.long(), paths(), paths(), paths())
    if number == MULTI and multi:
        parts = []
        while True:
            kind, done, _ = reader.int(), reader.bool(), reader.int()
            if done:
                return Multi(tuple(parts))
            part = _read_body(reader, kind, False)
            if not isinstance(part, Create | Delete | SetData | Check):
                raise Malformed(f"operation {kind} cannot be a part of a multi")
            parts.append(part)
    return {PING: Ping(), CLOSE: Close()}.get(number)


# ---- answers ----------------------------------------------------------------------------------------------------


class Reply(NamedTuple):
    """What heads an answer: `zxid` is the newest change that it was made after."""

    xid: int
    zxid: int
    error: int


class Event(NamedTuple):
    """What a watch was set for has happened, once."""

    kind: int
    state: int
    path: str


REPLY = struct.Struct(">iqi")


def write_reply(reply: Reply, body: bytes = b"") -> bytes:
    return frame(REPLY.pack(*reply) + body)


def read_reply(payload: bytes) -> tuple[Reply, Reader]:
    reader = Reader(payload)
    return Reply(*reader._take(REPLY)), reader


def write_event(event: Event) -> bytes:
    return write_reply(Reply(XID_EVENT, -1, OK), struct.pack(">ii", event.kind, event.state) + string(event.path))


def read_event(reader: Reader) -> Event:
    event = Event(reader.int(), reader.int(), reader.string())
    reader.end()
    return event


Result = str | bytes | list | Stat | tuple | int | None


def write_result(request: Request, result: Result) -> bytes:
    """The body of a good answer: what `Tree` makes of the request."""
    if isinstance(request, Create):
        return string(result[0]) + stat(result[1]) if request.stat else string(result[0])
    if isinstance(request, Exists | SetData):
        return stat(result)
    if isinstance(request, GetData):
        return buffer(result[0]) + stat(result[1])
    if isinstance(request, GetChildren):
        return vector([string(name) for name in result[0]]) + (stat(result[1]) if request.stat else b"")
    if isinstance(request, Sync):
        return string(request.path)
    if isinstance(request, Multi):
        parts = b""
        for part, each in zip(request.parts, result, strict=True):
            if isinstance(each, int):  # an error: this part's own, or that of the whole
                parts += struct.pack(">i?ii", -1, False, each, each)
            else:
                parts += struct.pack(">i?i", _body(part)[0], False, 0) + write_result(part, each)
        return parts + struct.pack(">i?i", -1, True, -1)
    return b""


def read_result(request: Request, reader: Reader) -> Result:
    """What `write_result` was given, for the same request."""
    if isinstance(request, Multi):
        results: list = []
        while True:
            kind, done, error = reader.int(), reader.bool(), reader.int()
            if done:
                break
            if len(results) >= len(request.parts):
                raise Malformed("more results than were asked for")
            results.append(reader.int() if kind == -1 else _read_one(request.parts[len(results)], reader))
            if kind == -1 and results[-1] != error:
                raise Malformed(f"an error told twice, as {error} and as {results[-1]}")
        result: Result = results
    else:
        result = _read_one(request, reader)
    reader.end()
    return result


def _read_one(request: Request, reader: Reader) -> Result:
    if isinstance(request, Create):
        return reader.string(), reader.stat() if request.stat else None
    if isinstance(request, Exists | SetData):
        return reader.stat()
    if isinstance(request, GetData):
        return reader.buffer() or b"", reader.stat()
    if isinstance(request, GetChildren):
        return reader.vector(Reader.string), reader.stat() if request.stat else None
    if isinstance(request, Sync):
        return reader.string()
    return None
