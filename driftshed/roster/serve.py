"""The stand-in store as a server on the event loop, with fault injection for tests."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Listener, Stream
from driftshed.roster.log import TransactionLog
from driftshed.roster.store import MAX_OUTPUT_BYTES, Connection, Store

MAX_CONNECTIONS = 12000


class StoreServer:
    """Serves a store at an address. Changes received in one round of the loop are written to disk together, then
    answered. Fault injection: `answer_delay`, in seconds; `muted_sessions`, which get no answers; `unresponsive`:
    received bytes are dropped and nothing is answered; and the store's `events_to_drop`."""

    def __init__(
        self,
        loop: Timers,
        address: tuple[str, int],
        log: TransactionLog,
        seed: int,
        listen: Callable[..., Listener] = Listener,
    ) -> None:
        """`address`: host and port, 0 for a free port; the attribute holds the actual one. `log`: closed by `close`."""
        self.loop, self.store = loop, Store(log, seed, loop.clock())
        self.streams: dict[Stream, Connection] = {}
        self.answer_delay, self.unresponsive = 0.0, False
        self.muted_sessions: set[int] = set()
        self.commit_due = False
        self.rejected_connections = 0
        self.timer: Timer | None = None
        self.listener = listen(loop, address, self._accept, MAX_OUTPUT_BYTES)
        self.address = self.listener.address
        self._schedule_expiry()

    def _accept(self, stream: Stream) -> None:
        if len(self.streams) >= MAX_CONNECTIONS:
            self.rejected_connections += 1
            stream.abort("too many connections")
            return
        connection = self.streams[stream] = Connection()
        stream.on_data = lambda data: self._on_data(stream, connection, data)
        stream.on_end = lambda reason: self._on_end(stream)

    def _on_data(self, stream: Stream, connection: Connection, data: bytes) -> None:
        if self.unresponsive:
            stream.pause(False)
            return
        self.store.receive(connection, data, self.loop.clock())
        self._schedule_commit()
        if connection.may_have_more != stream.paused:
            stream.pause(connection.may_have_more)
        if connection.may_have_more:
            self.loop.soon(lambda: self._on_data(stream, connection, b"") if stream in self.streams else None)

    def _on_end(self, stream: Stream) -> None:
        self.store.connection_lost(self.streams.pop(stream))

    def _schedule_commit(self) -> None:
        if not self.commit_due:
            self.commit_due = True
            self.loop.soon(self._commit)

    def _commit(self) -> None:
        self.commit_due = False
        self.store.commit()
        if self.answer_delay:
            self.loop.after(self.answer_delay, self._write_output)
        else:
            self._write_output()
        self._schedule_expiry()

    def _write_output(self) -> None:
        for stream, connection in list(self.streams.items()):
            if connection.output and connection.session not in self.muted_sessions:
                data, connection.output = bytes(connection.output), bytearray()
                stream.write(data)
            if connection.close_reason:
                stream.finish()

    def _schedule_expiry(self) -> None:
        due = self.store.next_at()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if due is not None:
            self.timer = self.loop.at(due, self._expire_sessions)

    def _expire_sessions(self) -> None:
        if not self.unresponsive:
            self.store.expire_sessions(self.loop.clock())
        self._schedule_commit()

    def expire(self, session: int) -> None:
        """Expires a session on purpose."""
        self.store.expire(session)
        self._schedule_commit()

    def reset_connections(self) -> None:
        """Resets every connection."""
        for stream in list(self.streams):
            stream.abort("reset", hard=True)

    def close(self) -> None:
        """Stops listening, ends all connections and closes the log."""
        self.listener.close()
        for stream in list(self.streams):
            stream.abort("closed")
        self.store.log.close()
