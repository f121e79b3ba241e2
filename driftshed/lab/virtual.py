"""Virtual time and an in-memory network: a loop and a transport with the interfaces of the real ones. All processes of
a run share one queue of timers. Each has a `Seat`, the loop as that process sees it: an ended seat gets no further
callbacks, and a paused one has all of them deferred. The network carries whole HTTP messages; messages on one stream
stay in order, those on different streams do not. A lost message arrives later, as over TCP; on a cut route it waits
until the cut is over or its stream ends."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from heapq import heappush
from random import Random

from driftshed.net.http import Answer, Call, HttpClient, Transport
from driftshed.net.http_server import Bounds, Request
from driftshed.net.loop import MAX_CANCELLED_TIMERS, Timer, Timers

RETRANSMIT_DELAY_S, MAX_RETRANSMIT_DELAY_S = 0.2, 6.4  # doubles with each loss


class VirtualLoop(Timers):
    """The queue of timers of a run, starting at time 0."""

    def __init__(self) -> None:
        """Starts with an empty queue; `events` counts the callbacks made."""
        self.now = 0.0
        super().__init__(lambda: self.now)
        self.events = 0

    def run(self, until: float) -> None:
        """Runs every callback due before `until`, each at its time, in order of time and then of scheduling. An
        exception in a callback is passed to the `on_error` of its seat."""
        # Rows are (time, sequence, seat, timer or None, callback or None): a callback that cannot be cancelled needs no
        # timer.
        timers, pop = self.timers, heapq.heappop
        events = 0
        while timers and timers[0][0] < until:
            row = pop(timers)
            at, _, seat, timer, call = row
            if timer is not None:
                call = timer.call
                if call is None:
                    self.cancelled_count -= 1
                    continue
            if seat.paused_until > at:
                heapq.heappush(timers, (seat.paused_until, next(self.sequence), *row[2:]))
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

    def _on_cancelled(self) -> None:
        self.cancelled_count += 1
        if self.cancelled_count > 64 * MAX_CANCELLED_TIMERS and self.cancelled_count > len(self.timers) / 2:
            live = [row for row in self.timers if row[3] is None or row[3].call is not None]
            self.timers[:] = live
            heapq.heapify(self.timers)
            self.cancelled_count = 0


class Seat:
    """The loop as one process sees it."""

    def __init__(self, loop: VirtualLoop, name: str) -> None:
        """Attaches a process called `name` to `loop`. Without an `on_error` exceptions are raised."""
        self.loop, self.name = loop, name
        self.ended, self.paused_until = False, 0.0
        self.on_error: Callable[[Exception], object] = self._raise
        self.clock = loop.clock

    def _raise(self, error: Exception) -> None:
        raise error

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.loop.now

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Schedules `call` at time `when`, at the earliest now; the timer returned cancels it."""
        loop = self.loop
        timer = Timer(when, call, self)
        heappush(loop.timers, (when if when > loop.now else loop.now, next(loop.sequence), self, timer, None))
        return timer

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Schedules `call` in `seconds` seconds; the timer returned cancels it."""
        return self.at(self.loop.now + seconds, call)

    def soon(self, call: Callable[[], object]) -> None:
        """Schedules `call` at the present time, after what is already scheduled; it cannot be cancelled."""
        loop = self.loop
        heappush(loop.timers, (loop.now, next(loop.sequence), self, None, call))

    def _on_cancelled(self) -> None:
        self.loop._on_cancelled()

    def pause_until(self, until: float) -> None:
        """Pauses the process until the time `until`, as SIGSTOP does: its timers and incoming messages wait."""
        self.paused_until = max(self.paused_until, until)

    def end(self) -> None:
        """Ends the process, as SIGKILL does."""
        self.ended = True


class Route:
    """One direction between two zones: `delay` in seconds, `jitter` on top of it (its mean in seconds; up to twice
    as much), `loss`, the probability that a message is lost at each sending, and whether the route is `cut`."""

    __slots__ = ("delay", "jitter", "loss", "cut")

    def __init__(self, delay: float, jitter: float, loss: float = 0.0, cut: bool = False) -> None:
        """`delay` and `jitter` in seconds, `loss` from 0 to 1."""
        self.delay, self.jitter, self.loss, self.cut = delay, jitter, loss, cut


class Network:
    """Listeners by address, and the routes between zones. `observer(host, address)` may return an observer of a new
    stream (see `record.py`); it is called at the server's end where its `at_server` is set, else at the client's."""

    def __init__(self, loop: VirtualLoop, seed: int, make_route: Callable[[str, str], Route]) -> None:
        """`make_route(from_zone, to_zone)` returns the initial route; `seed` draws jitter and loss."""
        self.loop, self.random = loop, Random(f"network {seed}").random
        self.routes: dict[tuple[str, str], Route] = {}
        self.make_route = make_route
        self.own_seat = Seat(loop, "network")
        self.zones: dict[str, str] = {}  # by host
        self.servers: dict[tuple[str, int], VirtualServer] = {}
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.streams: dict[VirtualStream, None] = {}
        self.observer: Callable[[str, tuple[str, int]], object] | None = None
        self.messages = 0

    def route(self, here: str, there: str) -> Route:
        """The route between the zones of two hosts, made at its first use."""
        pair = self.zones.get(here, ""), self.zones.get(there, "")
        route = self.routes.get(pair)
        if route is None:
            route = self.routes[pair] = self.make_route(*pair)
        return route

    def transport(self, host: str) -> Transport:
        """The HTTP transport of a process at `host`."""

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
            max_body_bytes: int = 8 << 20,
            tap=None,
            max_idle: int = 64,
            idle_for: float = 0.0,
        ) -> VirtualClient:
            return VirtualClient(self, loop, address, source or host, max_idle, idle_for)

        return Transport(server, client)

    def dial(self, host: str, tap: Callable[[], object] | None = None) -> Callable[..., VirtualStream]:
        """The function by which a process at `host` opens byte streams; `tap()` returns an observer of the
        bytes of one."""
        return lambda loop, address: VirtualStream.connect(self, loop, host, address, tap() if tap else None)

    def listen(self, loop: Seat, address: tuple[str, int], on_stream, max_unsent_bytes: int = 0) -> VirtualListener:
        """As `Listener`."""
        return VirtualListener(self, loop, address, on_stream)

    def end_process(self, seat: Seat) -> None:
        """Ends a process: its listeners close and its byte streams are reset."""
        seat.end()
        for listener in [each for each in self.listeners.values() if each.loop is seat]:
            listener.close()
        for stream in [each for each in self.streams if each.loop is seat]:
            stream.on_end = lambda reason: None
            stream.abort("reset", hard=True)

    def reset_server(self, address: tuple[str, int]) -> None:
        """Resets the HTTP connections of the server at `address`, as after the end of its process."""
        server = self.servers.get(address)
        if server is not None:
            server.close(hard=True)


class Pipe:
    """One direction of one stream: messages arrive in order, or not at all once the stream has ended."""

    __slots__ = ("network", "route", "seat", "last_arrival", "undelivered", "closed")

    def __init__(self, network: Network, route: Route, seat: Seat) -> None:
        """`seat` is the receiving process, whose callbacks the deliveries are."""
        self.network, self.route, self.seat = network, route, seat
        self.last_arrival, self.closed = 0.0, False
        self.undelivered: list[Callable[[], object]] = []  # while the route is cut

    def send(self, deliver: Callable[[], object]) -> None:
        """Schedules `deliver` after the route's delay, jitter and retransmissions; on a cut route it is queued."""
        network, route = self.network, self.route
        network.messages += 1
        if route.cut or self.undelivered:
            self.undelivered.append(deliver)
            if len(self.undelivered) == 1:
                self._retry_later(RETRANSMIT_DELAY_S)
            return
        random, loop = network.random, network.loop
        arrival = loop.now + route.delay + 2 * route.jitter * random()
        if route.loss:
            delay = RETRANSMIT_DELAY_S
            while random() < route.loss and delay <= MAX_RETRANSMIT_DELAY_S:
                arrival, delay = arrival + delay, delay * 2
        if arrival < self.last_arrival:
            arrival = self.last_arrival
        self.last_arrival = arrival
        heappush(loop.timers, (arrival, next(loop.sequence), self.seat, None, deliver))

    def _retry_later(self, delay: float) -> None:
        """Retries queued messages until the route is open: a cut must not become a loss of data."""

        def retry() -> None:
            if self.closed:
                self.undelivered.clear()
            elif self.route.cut:
                self._retry_later(min(MAX_RETRANSMIT_DELAY_S, 2 * delay))
            else:
                undelivered, self.undelivered = self.undelivered, []
                for deliver in undelivered:
                    self.send(deliver)

        self.network.own_seat.after(delay, retry)


class VirtualServer:
    """As `HttpServer`, on the in-memory network."""

    def __init__(self, network: Network, loop: Seat, address: tuple[str, int], handle, bounds: Bounds, refusal) -> None:
        """Raises OSError where the address is in use."""
        if address in network.servers:
            raise OSError(98, "address in use")
        self.network, self.loop, self.address, self.handle, self.bounds = network, loop, address, handle, bounds
        self.refusal, self.refusal_headers = refusal, ""
        self.connections: dict[VirtualServerConnection, None] = {}
        self.on_connection_end: Callable[[VirtualServerConnection, str], object] | None = None
        self.on_connection: Callable[[object], object] | None = None
        self.closing = False
        self.rejected_connections = 0
        network.servers[address] = self

    @property
    def is_idle(self) -> bool:
        """Whether no request that was received waits for its answer."""
        return all(connection.request is None for connection in self.connections)

    def close(self, now: bool = True, hard: bool = False) -> None:
        """Stops listening. With `now` all connections end, else only idle ones; `hard` resets them."""
        self.closing = True
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]
        for connection in list(self.connections):
            if now or not connection.request:
                connection.abort("reset" if hard else "closed", hard)


class VirtualServerConnection:
    """One stream at its server's end; it is its own `stream`, as far as callers need one."""

    __slots__ = ("server", "client", "peer", "request", "sock", "to_client", "used_at", "observer", "exchange")

    def __init__(
        self, server: VirtualServer, client: VirtualClientConnection, peer: tuple[str, int], to_client: Pipe
    ) -> None:
        """Starts the check for idle time; `to_client` carries the answers."""
        self.server, self.client, self.peer, self.to_client = server, client, peer, to_client
        self.request: Request | None = None
        self.sock: object | None = self  # None once closed
        self.used_at = server.loop.now
        self.observer, self.exchange = None, None
        self._schedule_idle_check(server.bounds.idle_for)

    @property
    def stream(self) -> VirtualServerConnection:
        """The connection itself."""
        return self

    def _schedule_idle_check(self, seconds: float) -> None:
        def check_idle() -> None:
            if self.sock is None:
                return
            remaining = self.used_at + self.server.bounds.idle_for - self.server.loop.now
            if self.request is not None:
                remaining = self.server.bounds.idle_for
            if remaining <= 1e-6:
                self.abort("idle")
            else:
                self._schedule_idle_check(remaining)

        self.server.loop.after(seconds, check_idle)

    def receive_request(self, call: Call, headers: dict[bytes, bytes], sent_at: float) -> None:
        """Handles a request that has arrived; resets the client's end where the stream is closed."""
        if self.sock is None:
            self.to_client.send(lambda: self.client.connection_lost("reset"))
            return
        request = Request(self)
        request.method, request.body, request.headers = call.method, call.body, headers
        request.path, _, request.query = call.path.partition("?")
        self.request = request
        if self.observer is not None:
            self.exchange = self.observer.on_request(self.server.loop.now, request, sent_at)
        self.server.handle(request)

    def _send_answer(self, request: Request, status: int, body: bytes, kind: str, extra: str) -> None:
        if self.sock is None or self.request is not request:
            return
        self.request, self.used_at = None, self.server.loop.now
        headers = {b"content-type": kind.encode("latin-1")}
        if extra:
            headers |= parse_header_lines(extra)
        if self.exchange is not None:
            self.observer.on_response(self.exchange, self.server.loop.now, status, headers, body)
            self.exchange = None
        keep = not self.server.closing
        client = self.client
        self.to_client.send(lambda: client.receive_answer(status, headers, body, keep))
        if not keep:
            self._close("closed")

    def abort(self, reason: str, hard: bool = False) -> None:
        """Closes the stream from this end; `hard` resets it."""
        if self.sock is None:
            return
        client = self.client
        self.to_client.send(lambda: client.connection_lost("reset" if hard else "ended"))
        self._close(reason)

    def _close(self, reason: str) -> None:
        if self.sock is None:
            return
        self.sock = None
        server = self.server
        server.connections.pop(self, None)
        if self.observer is not None:
            self.observer.on_close(server.loop.now)
        request, self.request = self.request, None
        if request is not None:
            request.answered = True
            if request.on_gone:
                on_gone, request.on_gone = request.on_gone, None
                on_gone()
        if server.on_connection_end:
            server.on_connection_end(self, reason)

    def client_has_closed(self) -> bool:
        """Whether the stream has ended."""
        return self.sock is None

    def on_client_closed(self) -> None:
        """Handles the end of the stream at the client."""
        self._close("ended")


def parse_header_lines(lines: str) -> dict[bytes, bytes]:
    """Headers by lower-case name, of lines that each end in CR LF."""
    headers = {}
    for line in lines.split("\r\n"):
        if line:
            name, _, value = line.partition(": ")
            headers[name.lower().encode("latin-1")] = value.encode("latin-1")
    return headers


class VirtualClientConnection:
    """One stream at its client's end, with at most one call on it."""

    __slots__ = (
        "client",
        "call",
        "timer",
        "calls",
        "sent",
        "connecting",
        "sock",
        "to_server",
        "server_side",
        "observer",
        "exchange",
        "to_client",
    )

    def __init__(self, client: VirtualClient) -> None:
        """Starts a connection attempt to the address of `client`."""
        self.client, self.call, self.timer, self.calls, self.sent = client, None, None, 0, False
        self.connecting, self.sock = True, self
        network, address, host = client.network, client.address, client.source
        self.server_side: VirtualServerConnection | None = None
        self.observer = network.observer(host, address) if network.observer else None
        self.exchange = None
        self.to_client = Pipe(network, network.route(address[0], host), client.loop)
        self.to_server = Pipe(network, network.route(host, address[0]), network.own_seat)
        self.to_server.send(self._attempt_connection)

    @property
    def stream(self) -> VirtualClientConnection:
        """The connection itself."""
        return self

    def _attempt_connection(self) -> None:
        """Runs at the server's end: accepts, refuses, or answers 503 over the connection limit."""
        network = self.client.network
        server = network.servers.get(self.client.address)
        if server is None or server.loop.ended:
            self.to_client.send(lambda: self.connection_lost("refused"))
            return
        self.to_server.seat = server.loop
        if len(server.connections) >= server.bounds.connections:
            server.rejected_connections += 1
            body = server.refusal("too many connections; come back later")
            self.to_client.send(lambda: self.receive_answer(503, {b"retry-after": b"1"}, body, False))
            return
        server_side = VirtualServerConnection(server, self, (self.client.source, 0), self.to_client)
        if self.observer is not None and self.observer.at_server:
            server_side.observer = self.observer
        server.connections[server_side] = None
        if server.on_connection:
            server.on_connection(server_side)
        self.to_client.send(lambda: self._open(server_side))

    def _open(self, server_side: VirtualServerConnection) -> None:
        if self.sock is None:
            self.to_server.send(server_side.on_client_closed)
            return
        self.server_side, self.connecting = server_side, False
        if self.call:
            self._send()

    def start(self, call: Call) -> None:
        """Sends `call`, once the connection is open."""
        self.call, self.sent = call, False
        self.calls += 1
        if not self.connecting:
            self._send()

    def _send(self) -> None:
        self.sent = True
        call, server_side = self.call, self.server_side
        headers = parse_header_lines(call.extra) if call.extra else {}
        if call.body or call.method in ("POST", "PUT"):
            headers[b"content-type"] = call.kind.encode("latin-1")
            headers[b"content-length"] = b"%d" % len(call.body)
        if self.observer is not None and not self.observer.at_server:
            self.exchange = self.observer.on_request(self.client.loop.now, call, self.client.loop.now)
        sent_at = self.client.loop.now
        self.to_server.send(lambda: server_side.receive_request(call, headers, sent_at))

    def receive_answer(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        """Completes the call with an answer; `keep` returns the connection to the idle ones."""
        call, self.call = self.call, None
        if call is None or self.sock is None:
            return
        if self.exchange is not None:
            self.observer.on_response(self.exchange, self.client.loop.now, status, headers, body)
            self.exchange = None
        answer = Answer(status, headers, body, "", True, self.calls > 1)
        if keep:
            self.client._release_connection(self)
        else:
            self._close()
        call.done(answer)

    def connection_lost(self, reason: str) -> None:
        """Handles a refusal, or the end of the stream at the server."""
        if self.sock is None:
            return
        call, self.call = self.call, None
        self._close()
        if call:
            error = {"ended": "closed"}.get(reason, reason)
            call.done(Answer(0, {}, b"", error, self.sent, self.calls > 1))

    def abort(self, reason: str, hard: bool = False) -> None:
        """Closes the stream from this end; the call fails with `reason`."""
        if self.sock is None:
            return
        if self.server_side is not None:
            self.to_server.send(self.server_side.on_client_closed)
        self.to_client.closed = True
        self.connection_lost(reason)

    def _close(self) -> None:
        self.sock = None
        if self.observer is not None and not self.observer.at_server:
            self.observer.on_close(self.client.loop.now)
        self.client._remove_connection(self)


class VirtualClient(HttpClient):
    """As `HttpClient`, on the in-memory network; calls, kept connections and time-outs are those of the base class."""

    def __init__(
        self, network: Network, loop: Seat, address: tuple[str, int], source: str, max_idle: int, idle_for: float
    ) -> None:
        """As `HttpClient`, without a tap or a limit on bodies."""
        super().__init__(loop, address, source, max_idle=max_idle, idle_for=idle_for)
        self.network = network

    def _connect(self) -> VirtualClientConnection:
        return VirtualClientConnection(self)


class VirtualListener:
    """As `Listener`, on the in-memory network."""

    def __init__(self, network: Network, loop: Seat, address: tuple[str, int], on_stream) -> None:
        """Raises OSError where the address is in use."""
        if address in network.listeners:
            raise OSError(98, "address in use")
        self.network, self.loop, self.address, self.on_stream = network, loop, address, on_stream
        network.listeners[address] = self

    def close(self) -> None:
        """Stops listening; open streams stay."""
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class VirtualStream:
    """As `Stream`, on the in-memory network: bytes arrive in the order in which they were written, then the end."""

    def __init__(self, network: Network, loop: Seat, pipe: Pipe, peer: tuple[str, int], tap=None) -> None:
        """One end of a stream; `pipe` carries what it writes."""
        self.network, self.loop, self.pipe, self.peer, self.tap = network, loop, pipe, peer, tap
        self.peer_stream: VirtualStream | None = None
        self.sock: object | None = self
        self.connecting = False
        self.bytes_received = self.bytes_sent = 0
        self.unsent: list[bytes] = []  # written before the stream was open
        self.paused, self.unread = False, deque()  # whether reading is stopped; what arrived meanwhile
        self.on_data: Callable[[bytes], object] = lambda data: None
        self.on_end: Callable[[str], object] = lambda reason: None
        self.on_open: Callable[[], object] | None = None
        network.streams[self] = None

    @classmethod
    def connect(cls, network: Network, loop: Seat, host: str, address: tuple[str, int], tap) -> VirtualStream:
        """Opens a stream from `host` to `address` and returns the client's end, still connecting."""
        to_server = Pipe(network, network.route(host, address[0]), network.own_seat)
        to_client = Pipe(network, network.route(address[0], host), loop)
        client_end = cls(network, loop, to_server, address, tap)
        client_end.connecting = True

        def attempt() -> None:
            listener = network.listeners.get(address)
            if listener is None or listener.loop.ended:
                to_client.send(lambda: client_end._close("refused"))
                return
            to_server.seat = listener.loop
            server_end = cls(network, listener.loop, to_client, (host, 0))
            client_end.peer_stream, server_end.peer_stream = server_end, client_end
            listener.on_stream(server_end)
            to_client.send(client_end._open)

        to_server.send(attempt)
        return client_end

    def _open(self) -> None:
        if self.sock is None:
            self.peer_stream._close("ended")
            return
        self.connecting = False
        if self.on_open:
            self.on_open()
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self.write(data)

    def write(self, data: bytes) -> None:
        """Sends `data`; before the stream is open it is buffered."""
        if self.sock is None or not data:
            return
        if self.connecting:
            self.unsent.append(data)
            return
        self.bytes_sent += len(data)
        if self.tap:
            self.tap(True, data)
        peer_stream = self.peer_stream
        self.pipe.send(lambda: peer_stream._receive(data))

    def _receive(self, data: bytes) -> None:
        if self.sock is None:
            return
        self.unread.append(data)
        self._read()

    def pause(self, paused: bool) -> None:
        """Stops or resumes reading."""
        self.paused = paused
        self._read()

    def _read(self) -> None:
        while self.unread and not self.paused and self.sock is not None:
            data = self.unread.popleft()
            self.bytes_received += len(data)
            if self.tap:
                self.tap(False, data)
            self.on_data(data)

    def finish(self) -> None:
        """Ends the stream after all that was written."""
        self.abort("ended")

    def abort(self, reason: str, hard: bool = False) -> None:
        """Ends the stream; `on_end(reason)` is called. `hard` resets the other end."""
        if self.sock is None:
            return
        peer_stream = self.peer_stream
        if peer_stream is not None and not self.connecting:
            self.pipe.send(lambda: peer_stream._close("reset" if hard else "ended"))
        self._close(reason)

    def _close(self, reason: str) -> None:
        if self.sock is None:
            return
        self.sock = None
        self.network.streams.pop(self, None)
        if self.tap:
            self.tap(False, b"")
        self.on_end(reason)
