"""A non-blocking TCP stream on the loop with bounded output; all bytes in and out pass through it."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from enum import Enum

from driftshed.net.loop import READ, WRITE, Loop

READ_BYTES = 65536  # largest read at a time
LISTEN_BACKLOG = 4096  # connections that the kernel queues until they are accepted
ACCEPT_RETRY_S = 0.1  # delay before accepting again after running out of descriptors

# Called as tap(outward, data) with the bytes sent and received on a stream, and as tap(False, b"") at its end.
Tap = Callable[[bool, bytes], object]


class PeerState(Enum):
    """What is known of the other end of a stream."""

    OPEN = "may send more"
    CLOSED = "sends no more, and may have left"
    GONE = "was reset"


class Stream:
    """A byte stream to one peer; owns its socket. `on_data(data)` receives the bytes read. Once the peer sends no more,
    `on_half_closed()` is called if it is set, else the stream ends. `on_end(reason)` is called once, when the stream
    ends for any reason: "ended", "reset", "stuck" (the peer does not read and the output exceeded its bound), or the
    reason given to `abort`."""

    __slots__ = (
        "loop",
        "sock",
        "peer",
        "out",
        "max_unsent_bytes",
        "on_data",
        "on_end",
        "on_drained",
        "tap",
        "paused",
        "closing",
        "connecting",
        "on_open",
        "events",
        "bytes_received",
        "bytes_sent",
        "read_bytes",
        "on_half_closed",
        "input_ended",
    )

    def __init__(self, loop: Loop, sock: socket.socket, max_unsent_bytes: int, connecting: bool = False) -> None:
        """`max_unsent_bytes`: bound of the unsent output, in bytes. `connecting`: the socket's connect is in
        progress."""
        self.loop, self.sock, self.max_unsent_bytes = loop, sock, max_unsent_bytes
        self.out = bytearray()
        self.on_data: Callable[[bytes], object] = lambda data: None
        self.on_end: Callable[[str], object] = lambda reason: None
        self.on_open: Callable[[], object] | None = None
        self.on_drained: Callable[[], object] | None = None
        self.tap: Tap | None = None
        self.on_half_closed: Callable[[], object] | None = None
        self.paused = self.closing = self.input_ended = False
        self.read_bytes = READ_BYTES  # largest read at a time
        self.connecting = connecting
        self.events = self.bytes_received = self.bytes_sent = 0
        try:
            self.peer = sock.getpeername()
        except OSError:
            self.peer = ("", 0)
        self._update_events()

    def _update_events(self) -> None:
        if self.sock is None:
            return
        reads = not (self.paused or self.connecting or self.input_ended)
        writes = self.connecting or bool(self.out)
        events = READ * reads | WRITE * writes
        if events != self.events:
            self.events = events
            self.loop.watch(self.sock, events, self._on_ready)

    def pause(self, paused: bool) -> None:
        """Stops or resumes reading; while stopped, TCP flow control holds the peer back."""
        self.paused = paused
        self._update_events()

    def _on_ready(self, events: int) -> None:
        if self.connecting:
            error_code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_code:
                self.abort("refused" if error_code == errno.ECONNREFUSED else "unreachable")
                return
            self.connecting = False
            self._update_events()
            if self.on_open:
                self.on_open()
            if self.sock is not None and self.out:
                self._flush()
            return
        if events & READ:
            self.pull()
        if events & WRITE and self.sock is not None:
            self._flush()

    def pull(self) -> None:
        """Reads the bytes that have arrived, if any."""
        try:
            data = self.sock.recv(self.read_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort("reset")
            return
        if not data:
            self._end_input()
            return
        self.bytes_received += len(data)
        if self.tap:
            self.tap(False, data)
        self.on_data(data)

    def _end_input(self) -> None:
        if self.on_half_closed is None:
            self.abort("ended")
            return
        self.input_ended = True
        self._update_events()
        self.on_half_closed()

    def peer_state(self) -> PeerState:
        """The state of the other end, also while reading is paused or bytes are unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        events = sum(event for _, event in poll.poll(0))
        if events & (select.POLLHUP | select.POLLERR):
            return PeerState.GONE
        return PeerState.CLOSED if events & select.POLLRDHUP else PeerState.OPEN

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self.out)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort("reset")
            return
        self.bytes_sent += sent
        if self.tap and sent:
            self.tap(True, bytes(self.out[:sent]))
        del self.out[:sent]
        if not self.out and self.closing:
            self.abort("ended")
            return
        self._update_events()
        if not self.out and self.on_drained:
            self.on_drained()

    def write(self, data: bytes) -> None:
        """Sends now, or when the peer reads. A peer that does not read must not use up memory: once the unsent output
        exceeds its bound, the stream is ended."""
        if self.sock is None or self.closing:
            return
        empty = not self.out
        self.out += data
        if empty and not self.connecting:
            self._flush()
        if self.sock is not None and len(self.out) > self.max_unsent_bytes:
            self.abort("stuck")
        elif self.sock is not None:
            self._update_events()

    def finish(self) -> None:
        """Ends the stream once all output is sent."""
        if not self.out:
            self.abort("ended")
        self.closing = True

    def abort(self, reason: str, hard: bool = False) -> None:
        """Ends the stream now and drops unsent output; `hard` sends a reset instead of a regular end."""
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
        self.on_data, self.on_end, self.on_open, self.on_drained = _ignore, _ignore, None, None
        self.on_half_closed = None


def _ignore(_: object) -> None:
    pass


class Listener:
    """Accepts connections at one address and passes each to `on_stream(stream)`."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_stream: Callable[[Stream], object],
        max_unsent_bytes: int = 1 << 20,
        shared: bool = False,
    ) -> None:
        """Raises OSError if the address is not available. `max_unsent_bytes`: bound of each stream's unsent output, in
        bytes; `shared`: other processes may listen at the same address."""
        self.loop, self.on_stream, self.max_unsent_bytes = loop, on_stream, max_unsent_bytes
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:  # several processes listen at one address; the kernel distributes connections
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        self.sock.listen(LISTEN_BACKLOG)
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
                    # Do not spin while no descriptors are left: waiting connections stay in the kernel's queue.
                    self.loop.watch(self.sock, 0, None)
                    self.loop.after(ACCEPT_RETRY_S, self._resume_accepting)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.on_stream(Stream(self.loop, sock, self.max_unsent_bytes))

    def _resume_accepting(self) -> None:
        if self.sock is not None:
            self.loop.watch(self.sock, READ, self._accept)

    def close(self) -> None:
        """Stops listening; accepted streams stay open."""
        if self.sock is not None:
            sock, self.sock = self.sock, None
            self.loop.watch(sock, 0, None)
            sock.close()


def dial(
    loop: Loop,
    address: tuple[str, int],
    source: str | None = None,
    max_unsent_bytes: int = 1 << 20,
    tap: Tap | None = None,
) -> Stream:
    """Returns a stream that connects to an address, from a source address if one is given. `on_open()` is called once
    it is connected, `on_end` with "refused" or "unreachable" if it cannot be. Raises OSError if the source address is
    not available."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if source:
            sock.bind((source, 0))
        error_code = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    stream = Stream(loop, sock, max_unsent_bytes, connecting=True)
    stream.peer, stream.tap = address, tap
    if error_code not in (0, errno.EINPROGRESS):
        loop.soon(lambda: stream.abort("refused" if error_code == errno.ECONNREFUSED else "unreachable"))
    return stream
