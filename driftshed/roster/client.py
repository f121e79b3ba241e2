"""Runs a session on the event loop: connects to the hosts of the connect string in turn and keeps the session alive."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.jute import Event, Malformed, Request
from driftshed.roster.session import ClientSession, OnResult, SessionState

RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.1, 2.0  # before the next host: doubled each time, times a random 1 to 2
CONNECT_TIMEOUT_S = 2.0  # to establish a connection


class RosterClient:
    """A client of the store. After its session has expired it does nothing more: create a new one."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        timeout: float,
        random: Random,
        on_state: Callable[[SessionState], object],
        on_event: Callable[[Event], object],
        dial: Callable[..., Stream] = dial,
    ) -> None:
        """`timeout`: of the session, in seconds. `on_state(state)` and `on_event(event)` as those of the session."""
        self.loop, self.hosts, self.random, self.on_state, self.dial = loop, hosts, random, on_state, dial
        self.session = ClientSession(timeout)
        self.session.on_state, self.session.on_event = self._on_state, on_event
        self.host_index, self.failures, self.stopped = random.randrange(len(hosts)), 0, False
        self.stream: Stream | None = None
        self.timer: Timer | None = None
        self._connect()

    def send_request(self, request: Request, on_result: OnResult) -> None:
        """Sends a request; calls `on_result(error, result)` once. After CONNECTION_LOSS the request may or may not have
        been executed."""
        self.session.ask(request, on_result, self.loop.clock())
        self._flush()

    def _on_state(self, state: SessionState) -> None:
        if state is SessionState.CONNECTED:
            self.failures = 0
        self.on_state(state)

    def _connect(self) -> None:
        if self.stopped or self.session.state in (SessionState.EXPIRED, SessionState.CLOSED):
            return
        try:
            stream = self.dial(self.loop, self.hosts[self.host_index])
        except OSError:
            self._reconnect_later()
            return
        self.stream = stream
        self._set_timer(self.loop.clock() + CONNECT_TIMEOUT_S, lambda: stream.abort("late"))
        stream.on_open = self._on_open
        stream.on_data, stream.on_end = self._on_data, lambda reason: self._on_end(stream)

    def _on_open(self) -> None:
        self.session.connected(self.loop.clock())
        self._flush()

    def _on_data(self, data: bytes) -> None:
        try:
            self.session.receive(data, self.loop.clock())
        except Malformed as error:
            self.stream.abort(f"malformed: {error}")
            return
        if self.session.state in (SessionState.EXPIRED, SessionState.CLOSED):
            if self.stream is not None:
                self.stream.abort("over")
            return
        self._flush()

    def _on_end(self, stream: Stream) -> None:
        if self.stream is not stream:
            return
        self.stream = None
        if self.timer:
            self.timer.cancel()
        self.session.disconnected()
        if self.session.state not in (SessionState.EXPIRED, SessionState.CLOSED):
            self._reconnect_later()

    def _reconnect_later(self) -> None:
        """Connects to the next host after a delay."""
        self.host_index = (self.host_index + 1) % len(self.hosts)
        delay = min(MAX_RECONNECT_DELAY_S, RECONNECT_DELAY_S * 2**self.failures) * self.random.uniform(1, 2)
        self.failures += 1
        if not self.stopped:
            self.loop.after(delay, self._connect)

    def _flush(self) -> None:
        if self.stream is None:
            return
        output = self.session.take_output()
        if output:
            self.stream.write(output)
        due = self.session.next_at()
        if due is not None:
            self._set_timer(due, self._on_timer)

    def _on_timer(self) -> None:
        if self.stream is None:
            return
        if self.session.tick(self.loop.clock()):
            self._flush()
        else:
            self.stream.abort("silent")

    def _set_timer(self, at: float, call: Callable[[], object]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.at(at, call)

    def stop(self) -> None:
        """Ends the connection and leaves the session to lapse; send `Close()` first to end the session too."""
        self.stopped = True
        if self.stream is not None:
            self.stream.abort("stopped")
