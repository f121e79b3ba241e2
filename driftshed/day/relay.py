"""Relays between other processes and a supervisor: traffic is recorded, and may be blocked, cut short or modified."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.day.recorder import Recorder
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener, Stream, dial

CHANGES_PREFIX = b'"changes":[['  # start of a non-empty list of changes in an answer to a poll


class RelayedConnection:
    """One connection through a relay: the stream `near` that the relay accepted, and `far` that it opened to the
    target."""

    def __init__(self, relay: Relay, near: Stream) -> None:
        """Connects to the relay's target at once."""
        self.relay, self.near, self.blocked = relay, near, False
        self.tap = relay.recorder.open(relay.kind, near.peer, relay.address)
        self.far = dial(relay.loop, relay.target)
        self.incomplete_answer = b""  # buffered only while a tamper modifies answers
        near.on_data, near.on_end = self._on_near_data, lambda reason: self._on_end(self.far, reason, True)
        self.far.on_data, self.far.on_end = self._on_far_data, lambda reason: self._on_end(self.near, reason, False)

    def _on_near_data(self, data: bytes) -> None:
        self.tap(False, data)
        if self.blocked or self.relay.is_blocked(self):
            self.blocked = True  # for good: the dropped bytes are not sent again, so the stream cannot resume
            return
        tamper = self.relay.tamper
        answer = tamper.forged_answer(self.near.peer[0], data) if tamper else None
        if answer is not None:
            self.send_to_near(answer)
        else:
            self.far.write(data)

    def _on_far_data(self, data: bytes) -> None:
        if self.blocked or self.relay.is_blocked(self):
            self.blocked = True
            return
        if self.relay.tamper is None:
            self.send_to_near(data)
            return
        self.incomplete_answer += data
        while (length := _answer_length(self.incomplete_answer)) and self.near.sock is not None:
            answer, self.incomplete_answer = self.incomplete_answer[:length], self.incomplete_answer[length:]
            self.send_to_near(self.relay.tamper.answer(self.near.peer[0], answer))

    def send_to_near(self, data: bytes) -> None:
        """Sends data to the connecting side; if a break is due, closes the stream in the middle of a list of
        changes."""
        if CHANGES_PREFIX in data and self.relay.take_break(self):
            length = data.index(CHANGES_PREFIX) + len(CHANGES_PREFIX) + 3
            self.tap(True, data[:length])
            self.near.write(data[:length])
            self.near.finish()
            return
        self.tap(True, data)
        self.near.write(data)

    def _on_end(self, other: Stream, reason: str, by_near: bool) -> None:
        self.tap(not by_near, b"")
        self.relay.connections.discard(self)
        if other.sock is None:
            return
        if self.blocked or self.relay.is_blocked(self):
            # As in a network partition, neither end learns that the other closed.
            other.on_end = lambda reason: None
            return
        if reason in ("reset", "refused", "unreachable"):
            other.abort(reason, hard=True)
        else:
            other.finish()


def _answer_length(data: bytes) -> int:
    """The length of the first HTTP answer, head and body; 0 while it is incomplete."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return 0
    length = 0
    for line in data[:end].split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return end + 4 + length if len(data) >= end + 4 + length else 0


class Relay:
    """Accepts connections at one address and forwards them to another.

    `blocked_hosts`: connections from these are dropped silently; `break_hosts`: the next list of changes to each of
    these is cut short, then it moves to `broken`; `tamper`: None, or what modifies answers to proxies.
    """

    def __init__(
        self, loop: Loop, recorder: Recorder, kind: str, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Listens at once; `kind`: the recorder's kind of connection."""
        self.loop, self.recorder, self.kind, self.target = loop, recorder, kind, target
        self.connections: set[RelayedConnection] = set()
        self.blocked_hosts: set[str] = set()
        self.break_hosts: set[str] = set()
        self.broken: list[str] = []
        self.tamper = None
        self.listener = Listener(loop, address, lambda near: self.connections.add(RelayedConnection(self, near)))
        self.address = self.listener.address

    def is_blocked(self, connection: RelayedConnection) -> bool:
        """Whether traffic of this connection is dropped."""
        return connection.near.peer[0] in self.blocked_hosts

    def take_break(self, connection: RelayedConnection) -> bool:
        """Whether this connection is to be cut short; true once for each host in `break_hosts`."""
        host = connection.near.peer[0]
        if host in self.break_hosts:
            self.break_hosts.discard(host)
            self.broken.append(host)
            return True
        return False

    def reset_all(self, exclude: Callable[[RelayedConnection], bool] = lambda connection: False) -> None:
        """Resets the accepted streams, but for those that `exclude` selects."""
        for connection in [connection for connection in self.connections if not exclude(connection)]:
            connection.near.abort("reset", hard=True)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.near.abort("closed")
