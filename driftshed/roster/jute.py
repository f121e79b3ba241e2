"""ZooKeeper's client protocol: encodes and decodes length-prefixed jute records with `struct`. Free of I/O.

Source: the published `zookeeper.jute` and the programmer's guide. All numbers are big-endian. A buffer or string is its
length and its bytes, with length -1 for none; a vector is its count and its items. Reading is bounded by the frame: a
length that does not fit raises `Malformed`, and nothing is allocated for it."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

MAX_FRAME_BYTES = 1 << 20  # ZooKeeper's default limit for requests of clients
INT, LONG = struct.Struct(">i"), struct.Struct(">q")

# Operation codes.
CREATE, DELETE, EXISTS, GET_DATA, SET_DATA, GET_CHILDREN, SYNC, PING = 1, 2, 3, 4, 5, 8, 9, 11
GET_CHILDREN2, CHECK, MULTI, CREATE2, SET_WATCHES, CLOSE = 12, 13, 14, 15, 101, -11
# Reserved xids, of messages outside the sequence of requests.
XID_EVENT, XID_PING, XID_SET_WATCHES = -1, -2, -8
# Flags of a create; they can be added.
EPHEMERAL, SEQUENTIAL = 1, 2
# Types of events, and the only connection state that events are sent with here.
CREATED, DELETED, CHANGED, CHILDREN = 1, 2, 3, 4
CONNECTED = 3
ANY_VERSION = -1

# Error codes.
OK, SYSTEM, CONNECTION_LOSS, MARSHALLING, UNIMPLEMENTED, BAD_ARGUMENTS = 0, -1, -4, -5, -6, -8
RUNTIME_INCONSISTENCY, NO_NODE, BAD_VERSION, EPHEMERAL_PARENT = -2, -101, -103, -108
NODE_EXISTS, NOT_EMPTY, EXPIRED, MOVED = -110, -111, -112, -118


class Malformed(Exception):
    """Bytes that are not a valid message of this protocol."""


class Stat(NamedTuple):
    """Metadata of a node. A zxid is the store's sequence number of a change; times are in milliseconds."""

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
    """Decodes the payload of one frame from its start. Its methods raise Malformed for missing or invalid bytes."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes) -> None:
        """`data`: the payload, without the length prefix."""
        self.data, self.offset = data, 0

    def _unpack(self, layout: struct.Struct) -> tuple:
        end = self.offset + layout.size
        if end > len(self.data):
            raise Malformed(f"{layout.size} bytes expected at {self.offset} of {len(self.data)}")
        values = layout.unpack_from(self.data, self.offset)
        self.offset = end
        return values

    def int(self) -> int:
        """A signed 32-bit number."""
        return self._unpack(INT)[0]

    def long(self) -> int:
        """A signed 64-bit number."""
        return self._unpack(LONG)[0]

    def bool(self) -> bool:
        """One byte; any value but 0 is true."""
        if self.offset >= len(self.data):
            raise Malformed(f"a byte expected at {self.offset} of {len(self.data)}")
        self.offset += 1
        return self.data[self.offset - 1] != 0

    def buffer(self) -> bytes | None:
        """Bytes with a length prefix; None for length -1."""
        size = self.int()
        if size == -1:
            return None
        if size < 0 or size > len(self.data) - self.offset:
            raise Malformed(f"a buffer of {size} bytes at {self.offset} of {len(self.data)}")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def string(self) -> str:
        """A UTF-8 string with a length prefix; empty for length -1."""
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise Malformed(f"a string at {self.offset} is not UTF-8") from None

    def vector(self, item: Callable[[Reader], object]) -> list:
        """A list with a count prefix, each item decoded by `item(reader)`; empty for a negative count."""
        count = self.int()
        if count > len(self.data) - self.offset:  # each item has at least one byte
            raise Malformed(f"a vector of {count} at {self.offset} of {len(self.data)}")
        return [item(self) for _ in range(max(0, count))]

    def stat(self) -> Stat:
        """The fixed-size metadata of a node."""
        return Stat(*self._unpack(STAT))

    @property
    def remaining(self) -> int:
        """Number of bytes not decoded yet."""
        return len(self.data) - self.offset

    def expect_end(self) -> None:
        """Raises Malformed if bytes are left."""
        if self.remaining:
            raise Malformed(f"{self.remaining} unexpected bytes at the end")


def buffer(data: bytes | None) -> bytes:
    """Encodes bytes with a length prefix; None as length -1."""
    return INT.pack(-1) if data is None else INT.pack(len(data)) + data


def string(text: str) -> bytes:
    """Encodes a string as UTF-8 with a length prefix."""
    return buffer(text.encode())


def vector(parts: list[bytes]) -> bytes:
    """Encodes a list of encoded items with a count prefix."""
    return INT.pack(len(parts)) + b"".join(parts)


def stat(value: Stat) -> bytes:
    """Encodes the metadata of a node; `Reader.stat` is the reverse."""
    return STAT.pack(*value)


def frame(payload: bytes) -> bytes:
    """Prefixes a payload with its length."""
    return INT.pack(len(payload)) + payload


class Frames:
    """Splits a stream of bytes into the payloads of frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """`max_frame_bytes`: largest accepted payload, in bytes."""
        self.max_frame_bytes, self.buffered = max_frame_bytes, bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the payloads completed by `data`. Raises Malformed for a frame above the limit as soon as its length
        is known, before its payload has arrived."""
        self.buffered += data
        while len(self.buffered) >= 4:
            (size,) = INT.unpack_from(self.buffered)
            if not 0 <= size <= self.max_frame_bytes:
                raise Malformed(f"a frame of {size} bytes; the limit is {self.max_frame_bytes}")
            if len(self.buffered) < 4 + size:
                return
            payload = bytes(self.buffered[4 : 4 + size])
            del self.buffered[: 4 + size]
            yield payload


# ---- session handshake ------------------------------------------------------------------------------------------


class ConnectRequest(NamedTuple):
    """A client's first message: `last_zxid` is the newest change that it has seen; session 0 requests a new session."""

    last_zxid: int
    timeout: int  # milliseconds
    session: int
    password: bytes


class ConnectResponse(NamedTuple):
    """The answer to `Connect`: timeout 0 means that the session has expired."""

    timeout: int  # milliseconds
    session: int
    password: bytes


def write_connect_request(connect: ConnectRequest) -> bytes:
    """Encodes as a frame, with the read-only byte that newer clients send."""
    header = struct.pack(">iqiq", 0, connect.last_zxid, connect.timeout, connect.session)
    return frame(header + buffer(connect.password) + b"\0")


def read_connect_request(payload: bytes) -> ConnectRequest:
    """Decodes a payload. Older clients omit the last byte (read-only)."""
    reader = Reader(payload)
    reader.int()
    connect = ConnectRequest(reader.long(), reader.int(), reader.long(), reader.buffer() or b"")
    if reader.remaining:
        reader.bool()
    reader.expect_end()
    return connect


def write_connect_response(response: ConnectResponse) -> bytes:
    """Encodes as a frame, with the read-only byte."""
    header = struct.pack(">iiq", 0, response.timeout, response.session)
    return frame(header + buffer(response.password) + b"\0")


def read_connect_response(payload: bytes) -> ConnectResponse:
    """Decodes a payload, with or without the read-only byte."""
    reader = Reader(payload)
    reader.int()
    response = ConnectResponse(reader.int(), reader.long(), reader.buffer() or b"")
    if reader.remaining:
        reader.bool()
    reader.expect_end()
    return response


# ---- requests ---------------------------------------------------------------------------------------------------


class Create(NamedTuple):
    """Creates a node. `stat`: request its metadata too (create2)."""

    path: str
    data: bytes
    flags: int = 0
    stat: bool = False


class Delete(NamedTuple):
    """Deletes a node without children, if it has the given version."""

    path: str
    version: int = ANY_VERSION


class Exists(NamedTuple):
    """Reads a node's metadata; its watch also covers the creation of a missing node."""

    path: str
    watch: bool = False


class GetData(NamedTuple):
    """Reads a node's data and metadata."""

    path: str
    watch: bool = False


class SetData(NamedTuple):
    """Replaces a node's data, if it has the given version."""

    path: str
    data: bytes
    version: int = ANY_VERSION


class GetChildren(NamedTuple):
    """Reads the names of a node's children. `stat`: request the node's metadata too (getChildren2)."""

    path: str
    watch: bool = False
    stat: bool = False


class Sync(NamedTuple):
    """Makes the server catch up with its leader before it answers the requests that follow."""

    path: str


class Check(NamedTuple):
    """Checks that a node has the given version, as a condition in a multi."""

    path: str
    version: int


class Multi(NamedTuple):
    """Creates, deletes, sets and checks that are applied as one transaction: all or none."""

    parts: tuple


class SetWatches(NamedTuple):
    """Restores watches after a reconnect: the watched paths by kind, and the newest change seen."""

    zxid: int
    data: tuple[str, ...]
    exist: tuple[str, ...]
    children: tuple[str, ...]


class Ping(NamedTuple):
    """Keeps the session alive."""

    pass


class Close(NamedTuple):
    """Ends the session."""

    pass


Request = Create | Delete | Exists | GetData | SetData | GetChildren | Sync | Check | Multi | SetWatches | Ping | Close

# The only access list used: all rights for anyone.
OPEN_ACL = vector([INT.pack(31) + string("world") + string("anyone")])


def _encode_paths(paths: tuple[str, ...]) -> bytes:
    return vector([string(path) for path in paths])


ENCODERS: dict[type, tuple[Callable[[NamedTuple], int], Callable[[NamedTuple], bytes]]] = {
    Create: (
        lambda r: CREATE2 if r.stat else CREATE,
        lambda r: string(r.path) + buffer(r.data) + OPEN_ACL + INT.pack(r.flags),
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
        lambda r: LONG.pack(r.zxid) + _encode_paths(r.data) + _encode_paths(r.exist) + _encode_paths(r.children),
    ),
    Ping: (lambda r: PING, lambda r: b""),
    Close: (lambda r: CLOSE, lambda r: b""),
}


def _encode_body(request: Request) -> tuple[int, bytes]:
    if isinstance(request, Multi):
        parts = b""
        for part in request.parts:
            opcode, body = _encode_body(part)
            parts += struct.pack(">i?i", opcode, False, -1) + body
        return MULTI, parts + struct.pack(">i?i", -1, True, -1)
    opcode, body = ENCODERS[type(request)]
    return opcode(request), body(request)


def write_request(xid: int, request: Request) -> bytes:
    """Encodes a request as a frame. `xid` is its sequence number, starting at 1."""
    opcode, body = _encode_body(request)
    return frame(INT.pack(xid) + INT.pack(opcode) + body)


def read_request(payload: bytes) -> tuple[int, Request | None]:
    """Decodes the xid and the request, None for an unsupported operation. Raises Malformed for invalid bytes."""
    reader = Reader(payload)
    xid, opcode = reader.int(), reader.int()
    request = _decode_body(reader, opcode, True)
    if request is not None:
        reader.expect_end()
    return xid, request


def _read_acl_entry(reader: Reader) -> tuple[int, str, str]:
    return reader.int(), reader.string(), reader.string()


def _decode_body(reader: Reader, opcode: int, multi: bool) -> Request | None:
    if opcode in (CREATE, CREATE2):
        path, data = reader.string(), reader.buffer() or b""
        reader.vector(_read_acl_entry)
        return Create(path, data, reader.int(), opcode == CREATE2)
    if opcode == DELETE:
        return Delete(reader.string(), reader.int())
    if opcode in (EXISTS, GET_DATA):
        return (Exists if opcode == EXISTS else GetData)(reader.string(), reader.bool())
    if opcode == SET_DATA:
        return SetData(reader.string(), reader.buffer() or b"", reader.int())
    if opcode in (GET_CHILDREN, GET_CHILDREN2):
        return GetChildren(reader.string(), reader.bool(), opcode == GET_CHILDREN2)
    if opcode == SYNC:
        return Sync(reader.string())
    if opcode == CHECK:
        return Check(reader.string(), reader.int())
    if opcode == SET_WATCHES:
        paths = lambda: tuple(reader.vector(Reader.string))  # noqa: E731
        return SetWatches(reader.long(), paths(), paths(), paths())
    if opcode == MULTI and multi:
        parts = []
        while True:
            part_opcode, done, _ = reader.int(), reader.bool(), reader.int()
            if done:
                return Multi(tuple(parts))
            part = _decode_body(reader, part_opcode, False)
            if not isinstance(part, Create | Delete | SetData | Check):
                raise Malformed(f"operation {part_opcode} is not allowed in a multi")
            parts.append(part)
    return {PING: Ping(), CLOSE: Close()}.get(opcode)


# ---- answers ----------------------------------------------------------------------------------------------------


class Reply(NamedTuple):
    """Header of an answer: `zxid` is the newest change applied before it."""

    xid: int
    zxid: int
    error: int


class Event(NamedTuple):
    """Notifies a client that a watch has triggered."""

    kind: int
    state: int
    path: str


REPLY = struct.Struct(">iqi")


def write_reply(reply: Reply, body: bytes = b"") -> bytes:
    """Encodes a header and an encoded body as a frame."""
    return frame(REPLY.pack(*reply) + body)


def read_reply(payload: bytes) -> tuple[Reply, Reader]:
    """Decodes the header; returns it and a reader of the body."""
    reader = Reader(payload)
    return Reply(*reader._unpack(REPLY)), reader


def write_event(event: Event) -> bytes:
    """Encodes as a frame with the reserved xid of events."""
    return write_reply(Reply(XID_EVENT, -1, OK), struct.pack(">ii", event.kind, event.state) + string(event.path))


def read_event(reader: Reader) -> Event:
    """Decodes the body that follows a header with the xid of events."""
    event = Event(reader.int(), reader.int(), reader.string())
    reader.expect_end()
    return event


Result = str | bytes | list | Stat | tuple | int | None


def write_result(request: Request, result: Result) -> bytes:
    """Encodes the body of an answer: `result` is what `Tree.execute` returned for the request."""
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
            if isinstance(each, int):  # an error code: of this part, or of the whole multi
                parts += struct.pack(">i?ii", -1, False, each, each)
            else:
                parts += struct.pack(">i?i", _encode_body(part)[0], False, 0) + write_result(part, each)
        return parts + struct.pack(">i?i", -1, True, -1)
    return b""


def read_result(request: Request, reader: Reader) -> Result:
    """Decodes the body of an answer to `request`; the reverse of `write_result`."""
    if isinstance(request, Multi):
        results: list = []
        while True:
            kind, done, error = reader.int(), reader.bool(), reader.int()
            if done:
                break
            if len(results) >= len(request.parts):
                raise Malformed("more results than requests in the multi")
            results.append(reader.int() if kind == -1 else _decode_result(request.parts[len(results)], reader))
            if kind == -1 and results[-1] != error:
                raise Malformed(f"two different error codes for one part: {error} and {results[-1]}")
        result: Result = results
    else:
        result = _decode_result(request, reader)
    reader.expect_end()
    return result


def _decode_result(request: Request, reader: Reader) -> Result:
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
