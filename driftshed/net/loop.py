"""The event loop: socket readiness by `selectors`, monotonic timers in a heap, signals through a socket pair."""

from __future__ import annotations

import heapq
import itertools
import selectors
import signal
import socket
import time
from collections import deque
from collections.abc import Callable

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_WAIT_S = 3600.0  # upper bound of one wait of the selector
MAX_CANCELLED_TIMERS = 64  # cancelled timers are removed once there are more than this and more than live ones


class Timer:
    """One call at one time. Releases its callback once it is cancelled or called."""

    __slots__ = ("at", "call", "loop")

    def __init__(self, at: float, call: Callable[[], object], loop: Timers) -> None:
        """Use `Timers.at` or `Timers.after`; `at` is on the clock of `loop`."""
        self.at, self.call, self.loop = at, call, loop

    def cancel(self) -> None:
        """Prevents the call; has no effect after the call or a second time."""
        if self.call is not None:
            self.call = None
            self.loop._on_cancelled()


class Timers:
    """Calls at given times of any clock. `now` is the time of the current round, in seconds. A callback that raises is
    reported to `on_error(error)`, which raises by default."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` returns the current time in seconds."""
        self.clock, self.now = clock, clock()
        self.timers: list[tuple[float, int, Timer]] = []
        self.sequence = itertools.count()
        self.cancelled_count = 0
        self.ready_calls: deque[Callable[[], object]] = deque()
        self.running = False
        self.on_error: Callable[[Exception], object] = _raise

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Calls `call()` at the time `when`."""
        timer = Timer(when, call, self)
        heapq.heappush(self.timers, (when, next(self.sequence), timer))
        return timer

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Calls `call()` after so many seconds."""
        return self.at(self.clock() + seconds, call)

    def soon(self, call: Callable[[], object]) -> None:
        """Calls `call()` after the ready sockets and due timers of this round, before the next wait."""
        self.ready_calls.append(call)

    def _on_cancelled(self) -> None:
        # Without it the heap would grow with each poll that is answered long before its time-out.
        self.cancelled_count += 1
        if self.cancelled_count > MAX_CANCELLED_TIMERS and self.cancelled_count > len(self.timers) / 2:
            self.timers = [entry for entry in self.timers if entry[2].call is not None]
            heapq.heapify(self.timers)
            self.cancelled_count = 0

    def stop(self) -> None:
        """Makes `run` return after the current round."""
        self.running = False

    def _call(self, call: Callable, *args: object) -> None:
        try:
            call(*args)
        except Exception as error:
            self.on_error(error)


class Loop(Timers):
    """Calls back for ready sockets and due timers, one at a time, on one thread, by the monotonic clock."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Owns a selector until `close()`."""
        super().__init__(clock)
        self.selector = selectors.DefaultSelector()
        self._wakeup_pair: tuple[socket.socket, socket.socket] | None = None

    def watch(self, sock: socket.socket, events: int, call: Callable[[int], object]) -> None:
        """Calls `call(ready)` while the socket is ready for any of `events`; 0 ends the watch."""
        registered = sock.fileno() in self.selector.get_map()
        if not events:
            if registered:
                self.selector.unregister(sock)
        elif registered:
            self.selector.modify(sock, events, call)
        else:
            self.selector.register(sock, events, call)

    def on_signals(self, signals: tuple[int, ...], call: Callable[[int], object]) -> None:
        """Calls `call(number)` on the loop when one of the signals arrives. Main thread only, once per loop."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        self._wakeup_pair = (reader, writer)
        signal.set_wakeup_fd(writer.fileno())
        for number in signals:
            signal.signal(number, lambda *_: None)
        self.watch(reader, READ, lambda _: self._signalled(reader, call))

    def _signalled(self, reader: socket.socket, call: Callable[[int], object]) -> None:
        # A call that raises must not lose the signals behind it, such as a SIGTERM right after a reload.
        for number in reader.recv(64):
            self._call(call, number)

    def run(self, until: float | None = None) -> None:
        """Runs until `stop()`, or until the clock reaches `until`."""
        self.running = True
        while self.running and (until is None or self.clock() < until):
            self.turn(until)
        self.now = self.clock()

    def turn(self, until: float | None = None) -> None:
        """Runs one round: waits until something is ready or due, and calls it."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.cancelled_count = max(0, self.cancelled_count - 1)
        timeout = MAX_WAIT_S if not self.timers else max(0.0, self.timers[0][0] - self.clock())
        if until is not None:
            timeout = min(timeout, max(0.0, until - self.clock()))
        ready = self.selector.select(0 if self.ready_calls else timeout)
        self.now = self.clock()
        for key, events in ready:
            # Skip sockets that an earlier callback of this round has closed.
            if self.selector.get_map().get(key.fd) is key:
                self._call(key.data, events)
        # Only timers that were due when the sockets were polled are called. One that became due while sockets were
        # served waits for the next round, since the bytes that it waits for may have arrived unread.
        while self.timers and self.timers[0][0] <= self.now:
            timer = heapq.heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is None:
                self.cancelled_count = max(0, self.cancelled_count - 1)
            else:
                self._call(call)
        for _ in range(len(self.ready_calls)):
            self._call(self.ready_calls.popleft())

    def close(self) -> None:
        """Closes the selector and the signal sockets. Watched sockets stay open."""
        if self._wakeup_pair:
            signal.set_wakeup_fd(-1)
            for sock in self._wakeup_pair:
                self.watch(sock, 0, None) if sock is self._wakeup_pair[0] else None
                sock.close()
        self.selector.close()


def _raise(error: Exception) -> None:
    raise error
