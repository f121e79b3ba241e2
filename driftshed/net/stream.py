"""A non-blocking TCP stream on the loop: bounded output, one place where bytes come in and go out."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from driftshed.net.loop import READ, WRITE, Loop

CHUNK = 65536  # bytes read at a time
BACKLOG = 4096  # connections that the kernel holds for us
AGAIN = 0.1  # seconds after which one that ran out of descriptors accepts again

# Called as tap(outward, data) with what passes on a stream's socket, and with b"" at its end.
Tap = Callable[[bool, bytes], object]


class Stream:
    """Bytes to and from one peer. `on_data(data)` gets what came; `on_end(reason)` is called once, when the stream
    is over for whatever reason: "ended", "reset", "stuck" (the peer does not read: the output outgrew its bound)
    or what `abort` was given."""

    __slots__ = (
        "loop",
        "sock",
        "peer",
        "out",
        "most_out",
        "on_data",
        "on_end",
        "on_drained",
        "tap",
        "paused",
        "closing",
        "connecting",
        "on_open",
        "events",
        "came",
        "went",
    )

    def __init__(self, loop: Loop, sock: socket.socket, most_out: int, connecting: bool = False) -> None:
        self.loop, self.sock, self.most_out = loop, sock, most_out
        self.out = bytearray()
        self.on_data: Callable[[bytes], object] = lambda data: None
        self.on_end: Callable[[str], object] = lambda reason: None
        self.on_open: Callable[[], object] | None = None
        self.on_drained: Callable[[], object] | None = None
        self.tap: Tap | None = None
        self.paused = self.closing = False
        self.connecting = connecting
        self.events = self.came = self.went = 0
        try:
            self.peer = sock.getpeername()
        except OSError:
            self.peer = ("", 0)
        self._watch()

    def _watch(self) -> None:
        if self.sock is None:
            return
        events = (0 if self.paused or self.connecting else READ) | (WRITE if self.out or self.connecting else 0)
        if events != self.events:
            self.events = events
            self.loop.watch(self.sock, events, self._ready)

    def pause(self, paused: bool) -> None:
        """Stops or resumes reading; the kernel then holds the peer back."""
        self.paused = paused
        self._watch()

    def _ready(self, events: int) -> None:
        if self.connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.abort("refused" if code == errno.ECONNREFUSED else "unreachable")
                return
            self.connecting = False
            self._watch()
            if self.on_open:
                self.on_open()
            if self.sock is not None and self.out:
                self._push()
            return
        if events & READ:
            self.pull()
        if events & WRITE and self.sock is not None:
            self._push()

    def pull(self) -> None:
        """Reads what has come, if anything."""
        try:
            data = self.sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort("reset")
            return
        if not data:
            self.abort("ended")
            return
        self.came += len(data)
        if self.tap:
            self.tap(False, data)
        self.on_data(data)

    def _push(self) -> None:
        try:
            sent = self.sock.send(self.out)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort("reset")
            return
        self.went += sent
        if self.tap and sent:
            self.tap(True, bytes(self.out[:sent]))
        del self.out[:sent]
        if not self.out and self.closing:
            self.abort("ended")
            return
        self._watch()
        if not self.out and self.on_drained:
            self.on_drained()

    def write(self, data: bytes) -> None:
        """Sends, now or as the peer reads. Guards against a peer that does not read: past its bound the stream is
        dropped, not buffered for ever."""
        if self.sock is None or self.closing:
            return
        empty = not self.out
        self.out += data
        if empty and not self.connecting:
            self._push()
        if self.sock is not None and len(self.out) > self.most_out:
            self.abort("stuck")
        elif self.sock is not None:
            self._watch()

    def finish(self) -> None:
        """Ends the stream when all that was written has gone."""
        if not self.out:
            self.abort("ended")
        self.closing = True

    def abort(self, reason: str, hard: bool = False) -> None:
        """Ends the stream now; `hard` sends a reset instead of an end."""
        if self.sock is None:
            return
        sock, self.sock = self.sock, None
        if self.events:
            self.loop.watch(sock, 0, None)
        if hard:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        if self.tap:
            self.tap(False, b"")
        self.on_end(reason)
        self.on_data, self.on_end, self.on_open, self.on_drained = _nothing, _nothing, None, None


def _nothing(_: object) -> None:
    pass


class Listener:
    """Accepts connections at one address and hands each to `on_stream(stream)`."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_stream: Callable[[Stream], object],
        most_out: int = 1 << 20,
        shared: bool = False,
    ) -> None:
        self.loop, self.on_stream, self.most_out = loop, on_stream, most_out
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:  # several processes listen at one address, and the kernel deals connections out
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        loop.watch(self.sock, READ, self._accept)

    def _accept(self, _: int) -> None:
        for _ in range(64):
            if self.sock is None:
                return
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # Guards against spinning while there are no descriptors left: those that wait stay in the kernel.
                    self.loop.watch(self.sock, 0, None)
                    self.loop.after(AGAIN, self._resume)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.on_stream(Stream(self.loop, sock, self.most_out))

    def _resume(self) -> None:
        if self.sock is not None:
            self.loop.watch(self.sock, READ, self._accept)

    def close(self) -> None:
        if self.sock is not None:
            sock, self.sock = self.sock, None
            self.loop.watch(sock, 0, None)
            sock.close()


def dial(
    loop: Loop, address: tuple[str, int], source: str | None = None, most_out: int = 1 << 20, tap: Tap | None = None
) -> Stream:
    """A stream to an address, from a source address where one is given; `on_open()` tells when it stands, `on_end`
    with "refused" or "unreachable" that it does not. Raises OSError where the source cannot be had."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    stream = Stream(loop, sock, most_out, connecting=True)
    stream.peer, stream.tap = address, tap
    if code not in (0, errno.EINPROGRESS):
        loop.soon(lambda: stream.abort("refused" if code == errno.ECONNREFUSED else "unreachable"))
    return stream
