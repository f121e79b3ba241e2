"""Virtual time and an in-memory network: a loop and a transport that stand where the real ones do.

All processes of a run share one queue of timers. Each has a `Seat`, which is the loop as the process sees it: when it
is ended nothing of it is called any more, and while it is held still all of it waits. The network carries whole HTTP
messages; on one stream they keep their order, between streams they do not. A lost message comes later, as it does
over TCP; one that is cut off waits until the cut is over or its stream ends."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from heapq import heappush
from random import Random

from driftshed.net.http import Answer, Bounds, Call, HttpClient, Request, Transport
from driftshed.net.loop import DEAD_TIMERS, Timer, Timers

RETRY, RETRY_MOST = 0.2, 6.4  # seconds after which what got lost is sent again: doubling


class VirtualLoop(Timers):
    """The one queue of timers of a run, from time 0."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(lambda: self.now)
        self.events = 0

    def run(self, until: float) -> None:
        """Calls all that is due before `until`, each at its time, in the order of times and then of setting."""
        # Rows are (time, order, seat, timer or None, what to call or None): what cannot be cancelled needs no timer.
        timers, pop = self.timers, heapq.heappop
        events = 0
        while timers and timers[0][0] < until:
            row = pop(timers)
            at, _, seat, timer, call = row
            if timer is not None:
                call = timer.call
                if call is None:
                    self.dead -= 1
                    continue
            if seat.still_until > at:
                heapq.heappush(timers, (seat.still_until, next(self.order), *row[2:]))
                continue
            if timer is not None:
                timer.call = None
            if seat.ended:
                continue
            if at > self.now:
                self.now = at
            events += 1
            try:
                call()
            except Exception as error:
                seat.on_error(error)
        self.events += events
        self.now = until

    def _cancelled(self) -> None:
        self.dead += 1
        if self.dead > 64 * DEAD_TIMERS and self.dead > len(self.timers) / 2:
            live = [row for row in self.timers if row[3] is None or row[3].call is not None]
            self.timers[:] = live
            heapq.heapify(self.timers)
            self.dead = 0


class Seat:
    """The loop as one process sees it."""

    def __init__(self, loop: VirtualLoop, name: str) -> None:
        self.loop, self.name = loop, name
        self.ended, self.still_until = False, 0.0
        self.on_error: Callable[[Exception], object] = self._raise
        self.clock = loop.clock

    def _raise(self, error: Exception) -> None:
        raise error

    @property
    def now(self) -> float:
        return self.loop.now

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        loop = self.loop
        timer = Timer(when, call, self)
        heappush(loop.timers, (when if when > loop.now else loop.now, next(loop.order), self, timer, None))
        return timer

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        return self.at(self.loop.now + seconds, call)

    def soon(self, call: Callable[[], object]) -> None:
        loop = self.loop
        heappush(loop.timers, (loop.now, next(loop.order), self, None, call))

    def _cancelled(self) -> None:
        self.loop._cancelled()

    def hold_still(self, until: float) -> None:
        """As SIGSTOP does: what is due waits, and what comes waits at the door."""
        self.still_until = max(self.still_until, until)

    def end(self) -> None:
        """As SIGKILL does."""
        self.ended = True


class Way:
    """One direction between two zones: `delay` in seconds, `jitter` on top of it (its mean; up to twice as much), the
    share that gets lost at each sending, and whether it is `cut`."""

    __slots__ = ("delay", "jitter", "loss", "cut")

    def __init__(self, delay: float, jitter: float, loss: float = 0.0, cut: bool = False) -> None:
        self.delay, self.jitter, self.loss, self.cut = delay, jitter, loss, cut


class Network:
    """Who listens where, and the ways between zones. `witness(host, address)` may return an object that is told of
    what passes on a new stream (see `record.py`), at the server's end with `at_server`, else at the client's."""

    def __init__(self, loop: VirtualLoop, seed: int, ways: Callable[[str, str], Way]) -> None:
        self.loop, self.chance = loop, Random(f"network {seed}").random
        self.ways: dict[tuple[str, str], Way] = {}
        self.make_way = ways
        self.loop_seat = Seat(loop, "network")
        self.zones: dict[str, str] = {}  # by host
        self.servers: dict[tuple[str, int], VirtualServer] = {}
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.streams: dict[VirtualStream, None] = {}
        self.witness: Callable[[str, tuple[str, int]], object] | None = None
        self.messages = 0

    def way(self, here: str, there: str) -> Way:
        pair = self.zones.get(here, ""), self.zones.get(there, "")
        way = self.ways.get(pair)
        if way is None:
            way = self.ways[pair] = self.make_way(*pair)
        return way

    def transport(self, host: str) -> Transport:
        """How a process at `host` speaks HTTP."""

        def server(
            loop: Seat,
            address: tuple[str, int],
            handle,
            bounds: Bounds = Bounds(),
            refusal=str.encode,
            shared: bool = False,
        ) -> VirtualServer:
            return VirtualServer(self, loop, address, handle, bounds, refusal)

        def client(
            loop: Seat,
            address: tuple[str, int],
            source: str | None = None,
            most_body: int = 8 << 20,
            tap=None,
            idle_most: int = 64,
            idle_for: float = 0.0,
        ) -> VirtualClient:
            return VirtualClient(self, loop, address, source or host, idle_most, idle_for)

        return Transport(server, client)

    def dial(self, host: str, tap: Callable[[], object] | None = None) -> Callable[..., VirtualStream]:
        """How a process at `host` opens streams of bytes; `tap()` gives what is told of what passes on one."""
        return lambda loop, address: VirtualStream.dialled(self, loop, host, address, tap() if tap else None)

    def listen(self, loop: Seat, address: tuple[str, int], on_stream, most_out: int = 0) -> VirtualListener:
        """As `Listener`."""
        return VirtualListener(self, loop, address, on_stream)

    def end(self, seat: Seat) -> None:
        """A process dies: its streams of bytes are reset, and it listens no more."""
        seat.end()
        for listener in [each for each in self.listeners.values() if each.loop is seat]:
            listener.close()
        for stream in [each for each in self.streams if each.loop is seat]:
            stream.on_end = lambda reason: None
            stream.abort("reset", hard=True)

    def fall(self, address: tuple[str, int]) -> None:
        """A process at an address has died: its streams are reset."""
        server = self.servers.get(address)
        if server is not None:
            server.close(hard=True)


class Pipe:
    """One direction of one stream: what is sent comes in order, or not at all once the stream is over."""

    __slots__ = ("network", "way", "seat", "last", "waiting", "over")

    def __init__(self, network: Network, way: Way, seat: Seat) -> None:
        self.network, self.way, self.seat = network, way, seat
        self.last, self.over = 0.0, False
        self.waiting: list[Callable[[], object]] = []  # while it is cut

    def send(self, come: Callable[[], object]) -> None:
        network, way = self.network, self.way
        network.messages += 1
        if way.cut or self.waiting:
            self.waiting.append(come)
            if len(self.waiting) == 1:
                self._again(RETRY)
            return
        random, loop = network.chance, network.loop
        at = loop.now + way.delay + 2 * way.jitter * random()
        if way.loss:
            wait = RETRY
            while random() < way.loss and wait <= RETRY_MOST:
                at, wait = at + wait, wait * 2
        if at < self.last:
            at = self.last
        self.last = at
        heappush(loop.timers, (at, next(loop.order), self.seat, None, come))

    def _again(self, wait: float) -> None:
        """Guards against a cut that looks like a loss of data: what was sent is tried again until it gets through."""

        def again() -> None:
            if self.over:
                self.waiting.clear()
            elif self.way.cut:
                self._again(min(RETRY_MOST, 2 * wait))
            else:
                waiting, self.waiting = self.waiting, []
                for come in waiting:
                    self.send(come)

        self.network.loop_seat.after(wait, again)


class VirtualServer:
    """As `HttpServer`, on the in-memory network."""

    def __init__(self, network: Network, loop: Seat, address: tuple[str, int], handle, bounds: Bounds, refusal) -> None:
        if address in network.servers:
            raise OSError(98, "address in use")
        self.network, self.loop, self.address, self.handle, self.bounds = network, loop, address, handle, bounds
        self.refusal = refusal
        self.connections: dict[VirtualServed, None] = {}
        self.on_connection_end: Callable[[VirtualServed, str], object] | None = None
        self.on_connection: Callable[[object], object] | None = None
        self.closing = False
        self.turned_away = 0
        network.servers[address] = self

    def close(self, now: bool = True, hard: bool = False) -> None:
        self.closing = True
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]
        for connection in list(self.connections):
            if now or not connection.request:
                connection.abort("reset" if hard else "closed", hard)


class VirtualServed:
    """One stream as its server sees it; `stream` is itself, as far as anyone asks."""

    __slots__ = ("server", "client", "peer", "request", "sock", "back", "used_at", "witness", "seen")

    def __init__(self, server: VirtualServer, client: VirtualConnection, peer: tuple[str, int], back: Pipe) -> None:
        self.server, self.client, self.peer, self.back = server, client, peer, back
        self.request: Request | None = None
        self.sock: object | None = self  # None once it is over
        self.used_at = server.loop.now
        self.witness, self.seen = None, None
        self._await_use(server.bounds.idle_for)

    @property
    def stream(self) -> VirtualServed:
        return self

    def _await_use(self, seconds: float) -> None:
        def look() -> None:
            if self.sock is None:
                return
            left = self.used_at + self.server.bounds.idle_for - self.server.loop.now
            if self.request is not None:
                left = self.server.bounds.idle_for
            if left <= 1e-6:
                self.abort("idle")
            else:
                self._await_use(left)

        self.server.loop.after(seconds, look)

    def take(self, call: Call, headers: dict[bytes, bytes], sent_at: float) -> None:
        """A request has come."""
        if self.sock is None:
            self.back.send(lambda: self.client.lost("reset"))
            return
        request = Request(self)
        request.method, request.body, request.headers = call.method, call.body, headers
        request.path, _, request.query = call.path.partition("?")
        self.request = request
        if self.witness is not None:
            self.seen = self.witness.on_asked(self.server.loop.now, request, sent_at)
        self.server.handle(request)

    def _answer(self, request: Request, status: int, body: bytes, kind: str, extra: str) -> None:
        if self.sock is None or self.request is not request:
            return
        self.request, self.used_at = None, self.server.loop.now
        headers = {b"content-type": kind.encode("latin-1")}
        if extra:
            headers |= read_headers(extra)
        if self.seen is not None:
            self.witness.on_answered(self.seen, self.server.loop.now, status, headers, body)
            self.seen = None
        keep = not self.server.closing
        client = self.client
        self.back.send(lambda: client.came(status, headers, body, keep))
        if not keep:
            self._over("closed")

    def abort(self, reason: str, hard: bool = False) -> None:
        """Ends the stream from here."""
        if self.sock is None:
            return
        client = self.client
        self.back.send(lambda: client.lost("reset" if hard else "ended"))
        self._over(reason)

    def _over(self, reason: str) -> None:
        if self.sock is None:
            return
        self.sock = None
        server = self.server
        server.connections.pop(self, None)
        if self.witness is not None:
            self.witness.on_ended(server.loop.now)
        request, self.request = self.request, None
        if request is not None:
            request.answered = True
            if request.on_gone:
                gone, request.on_gone = request.on_gone, None
                gone()
        if server.on_connection_end:
            server.on_connection_end(self, reason)

    def ended_there(self) -> None:
        """The client has ended it."""
        self._over("ended")


def read_headers(lines: str) -> dict[bytes, bytes]:
    headers = {}
    for line in lines.split("\r\n"):
        if line:
            name, _, value = line.partition(": ")
            headers[name.lower().encode("latin-1")] = value.encode("latin-1")
    return headers


class VirtualConnection:
    """One stream as its client sees it, with at most one call on it."""

    __slots__ = (
        "client",
        "call",
        "timer",
        "calls",
        "sent",
        "connecting",
        "sock",
        "forth",
        "served",
        "witness",
        "seen",
        "back",
    )

    def __init__(self, client: VirtualClient) -> None:
        self.client, self.call, self.timer, self.calls, self.sent = client, None, None, 0, False
        self.connecting, self.sock = True, self
        network, address, host = client.network, client.address, client.source
        self.served: VirtualServed | None = None
        self.witness = network.witness(host, address) if network.witness else None
        self.seen = None
        self.back = Pipe(network, network.way(address[0], host), client.loop)
        self.forth = Pipe(network, network.way(host, address[0]), network.loop_seat)
        self.forth.send(self._knock)

    @property
    def stream(self) -> VirtualConnection:
        return self

    def _knock(self) -> None:
        """At the server's end."""
        network = self.client.network
        server = network.servers.get(self.client.address)
        if server is None or server.loop.ended:
            self.back.send(lambda: self.lost("refused"))
            return
        self.forth.seat = server.loop
        if len(server.connections) >= server.bounds.connections:
            server.turned_away += 1
            body = server.refusal("too many connections; come back later")
            self.back.send(lambda: self.came(503, {b"retry-after": b"1"}, body, False))
            return
        served = VirtualServed(server, self, (self.client.source, 0), self.back)
        if self.witness is not None and self.witness.at_server:
            served.witness = self.witness
        server.connections[served] = None
        if server.on_connection:
            server.on_connection(served)
        self.back.send(lambda: self._open(served))

    def _open(self, served: VirtualServed) -> None:
        if self.sock is None:
            self.forth.send(served.ended_there)
            return
        self.served, self.connecting = served, False
        if self.call:
            self._send()

    def start(self, call: Call) -> None:
        self.call, self.sent = call, False
        self.calls += 1
        if not self.connecting:
            self._send()

    def _send(self) -> None:
        self.sent = True
        call, served = self.call, self.served
        headers = read_headers(call.extra) if call.extra else {}
        if call.body or call.method in ("POST", "PUT"):
            headers[b"content-type"] = call.kind.encode("latin-1")
            headers[b"content-length"] = b"%d" % len(call.body)
        if self.witness is not None and not self.witness.at_server:
            self.seen = self.witness.on_asked(self.client.loop.now, call, self.client.loop.now)
        sent_at = self.client.loop.now
        self.forth.send(lambda: served.take(call, headers, sent_at))

    def came(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        """An answer."""
        call, self.call = self.call, None
        if call is None or self.sock is None:
            return
        if self.seen is not None:
            self.witness.on_answered(self.seen, self.client.loop.now, status, headers, body)
            self.seen = None
        answer = Answer(status, headers, body, "", True, self.calls > 1)
        if keep:
            self.client._free(self)
        else:
            self._over()
        call.done(answer)

    def lost(self, reason: str) -> None:
        """The other end has ended it, or never took it."""
        if self.sock is None:
            return
        call, self.call = self.call, None
        self._over()
        if call:
            error = {"ended": "closed"}.get(reason, reason)
            call.done(Answer(0, {}, b"", error, self.sent, self.calls > 1))

    def abort(self, reason: str, hard: bool = False) -> None:
        """Ends it from here."""
        if self.sock is None:
            return
        if self.served is not None:
            self.forth.send(self.served.ended_there)
        self.back.over = True
        self.lost(reason)

    def _over(self) -> None:
        self.sock = None
        if self.witness is not None and not self.witness.at_server:
            self.witness.on_ended(self.client.loop.now)
        self.client._lost(self)


class VirtualClient(HttpClient):
    """As `HttpClient`, on the in-memory network: calls, kept connections and time-outs are its own."""

    def __init__(
        self, network: Network, loop: Seat, address: tuple[str, int], source: str, idle_most: int, idle_for: float
    ) -> None:
        super().__init__(loop, address, source, idle_most=idle_most, idle_for=idle_for)
        self.network = network

    def _connect(self) -> VirtualConnection:
        return VirtualConnection(self)


class VirtualListener:
    """As `Listener`, on the in-memory network."""

    def __init__(self, network: Network, loop: Seat, address: tuple[str, int], on_stream) -> None:
        if address in network.listeners:
            raise OSError(98, "address in use")
        self.network, self.loop, self.address, self.on_stream = network, loop, address, on_stream
        network.listeners[address] = self

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class VirtualStream:
    """As `Stream`, on the in-memory network: bytes in the order in which they were written, and an end."""

    def __init__(self, network: Network, loop: Seat, pipe: Pipe, peer: tuple[str, int], tap=None) -> None:
        self.network, self.loop, self.pipe, self.peer, self.tap = network, loop, pipe, peer, tap
        self.other: VirtualStream | None = None
        self.sock: object | None = self
        self.connecting = False
        self.came = self.went = 0
        self.held: list[bytes] = []  # written before it stood
        self.on_data: Callable[[bytes], object] = lambda data: None
        self.on_end: Callable[[str], object] = lambda reason: None
        self.on_open: Callable[[], object] | None = None
        network.streams[self] = None

    @classmethod
    def dialled(cls, network: Network, loop: Seat, host: str, address: tuple[str, int], tap) -> VirtualStream:
        forth = Pipe(network, network.way(host, address[0]), network.loop_seat)
        back = Pipe(network, network.way(address[0], host), loop)
        near = cls(network, loop, forth, address, tap)
        near.connecting = True

        def knock() -> None:
            listener = network.listeners.get(address)
            if listener is None or listener.loop.ended:
                back.send(lambda: near._over("refused"))
                return
            forth.seat = listener.loop
            far = cls(network, listener.loop, back, (host, 0))
            near.other, far.other = far, near
            listener.on_stream(far)
            back.send(near._open)

        forth.send(knock)
        return near

    def _open(self) -> None:
        if self.sock is None:
            self.other._over("ended")
            return
        self.connecting = False
        if self.on_open:
            self.on_open()
        held, self.held = self.held, []
        for data in held:
            self.write(data)

    def write(self, data: bytes) -> None:
        if self.sock is None or not data:
            return
        if self.connecting:
            self.held.append(data)
            return
        self.went += len(data)
        if self.tap:
            self.tap(True, data)
        other = self.other
        self.pipe.send(lambda: other._come(data))

    def _come(self, data: bytes) -> None:
        if self.sock is None:
            return
        self.came += len(data)
        if self.tap:
            self.tap(False, data)
        self.on_data(data)

    def finish(self) -> None:
        self.abort("ended")

    def abort(self, reason: str, hard: bool = False) -> None:
        if self.sock is None:
            return
        other = self.other
        if other is not None and not self.connecting:
            self.pipe.send(lambda: other._over("reset" if hard else "ended"))
        self._over(reason)

    def _over(self, reason: str) -> None:
        if self.sock is None:
            return
        self.sock = None
        self.network.streams.pop(self, None)
        if self.tap:
            self.tap(False, b"")
        self.on_end(reason)
