"""A session on the loop: connects to one host of the connect string after the other, and keeps the session going."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.jute import Event, Malformed, Request
from driftshed.roster.session import ClientSession, Done, State

AGAIN, AGAIN_MOST = 0.1, 2.0  # seconds before the next host is dialled: doubling, each drawn up to double
OPEN_WITHIN = 2.0  # seconds for a connection to stand


class RosterClient:
    """`on_state(state)` and `on_event(event)` as the session's. After EXPIRED it does nothing more: make a new one."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        timeout: float,
        random: Random,
        on_state: Callable[[State], object],
        on_event: Callable[[Event], object],
        dial: Callable[..., Stream] = dial,
    ) -> None:
        self.loop, self.hosts, self.random, self.on_state, self.dial = loop, hosts, random, on_state, dial
        self.session = ClientSession(timeout)
        self.session.on_state, self.session.on_event = self._state, on_event
        self.at, self.failed, self.stopped = random.randrange(len(hosts)), 0, False
        self.stream: Stream | None = None
        self.timer: Timer | None = None
        self._connect()

    def ask(self, request: Request, done: Done) -> None:
        """`done(error, result)`, once: CONNECTION_LOSS leaves open whether it was done."""
        self.session.ask(request, done, self.loop.clock())
        self._flush()

    def _state(self, state: State) -> None:
        if state is State.ON:
            self.failed = 0
        self.on_state(state)

    def _connect(self) -> None:
        if self.stopped or self.session.state in (State.EXPIRED, State.CLOSED):
            return
        try:
            stream = self.dial(self.loop, self.hosts[self.at])
        except OSError:
            self._again()
            return
        self.stream = stream
        self._time(self.loop.clock() + OPEN_WITHIN, lambda: stream.abort("late"))
        stream.on_open = self._opened
        stream.on_data, stream.on_end = self._data, lambda reason: self._ended(stream)

    def _opened(self) -> None:
        self.session.connected(self.loop.clock())
        self._flush()

    def _data(self, data: bytes) -> None:
        try:
            self.session.take(data, self.loop.clock())
        except Malformed as error:
            self.stream.abort(f"malformed: {error}")
            return
        if self.session.state in (State.EXPIRED, State.CLOSED):
            if self.stream is not None:
                self.stream.abort("over")
            return
        self._flush()

    def _ended(self, stream: Stream) -> None:
        if self.stream is not stream:
            return
        self.stream = None
        if self.timer:
            self.timer.cancel()
        self.session.lost()
        if self.session.state not in (State.EXPIRED, State.CLOSED):
            self._again()

    def _again(self) -> None:
        """The next host, after a while."""
        self.at = (self.at + 1) % len(self.hosts)
        wait = min(AGAIN_MOST, AGAIN * 2**self.failed) * self.random.uniform(1, 2)
        self.failed += 1
        if not self.stopped:
            self.loop.after(wait, self._connect)

    def _flush(self) -> None:
        if self.stream is None:
            return
        out = self.session.taken_out()
        if out:
            self.stream.write(out)
        due = self.session.next_at()
        if due is not None:
            self._time(due, self._turn)

    def _turn(self) -> None:
        if self.stream is None:
            return
        if self.session.turn(self.loop.clock()):
            self._flush()
        else:
            self.stream.abort("silent")

    def _time(self, at: float, call: Callable[[], object]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.at(at, call)

    def stop(self) -> None:
        """Ends the connection and leaves the session to lapse; ask for `Close()` first to end that too."""
        self.stopped = True
        if self.stream is not None:
            self.stream.abort("stopped")
