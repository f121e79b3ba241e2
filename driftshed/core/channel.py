"""The paced channel: messages leave in order, at a given number of lines per second."""

from __future__ import annotations

from collections import deque

from driftshed.core.messages import Change


class Message:
    """The changes that one turn of the module makes for one proxy. `cost`: lines of the changes, the header and the
    mark."""

    __slots__ = ("proxy", "stream", "changes", "body", "cost", "mark", "ordered_at", "due_at", "released_at", "version")

    def __init__(
        self,
        proxy: int,
        stream: str,
        changes: tuple[Change, ...],
        body: bytes,
        cost: float,
        mark: int | None,
        ordered_at: float,
    ) -> None:
        """`body` is the encoding of `changes`; `ordered_at` is the time of the module's orders, in seconds."""
        self.proxy, self.stream, self.changes, self.body = proxy, stream, changes, body
        self.cost, self.mark, self.ordered_at = cost, mark, ordered_at
        self.due_at = self.released_at = 0.0  # the earliest time at the channel's rate, and the actual time of release
        self.version = 0


class Channel:
    """Limits the rate at which a supervisor sends, to what its proxies and its network are promised: a message waits
    until those before it have left at the configured rate."""

    def __init__(self, lines_per_second: float) -> None:
        """The queue starts empty."""
        self.lines_per_second = lines_per_second
        self.queue: deque[Message] = deque()
        self.waiting = 0.0  # lines queued, all those of the first message included
        self.most_waiting = 0.0
        self.head_started_at = 0.0  # when the first message of the queue began to be sent

    def enqueue(self, message: Message, now: float) -> None:
        """Appends a message and sets the time at which it is due."""
        if not self.queue:
            self.head_started_at = max(now, self.head_started_at)
        self.queue.append(message)
        self.waiting += message.cost
        self.most_waiting = max(self.most_waiting, self.waiting)
        message.due_at = self.head_started_at + self.waiting / self.lines_per_second

    def set_rate(self, lines_per_second: float, now: float) -> None:
        """Changes the rate. The sent part of the first message stays sent; the rest, and all messages behind it, leave
        at the new rate."""
        if self.queue and now > self.head_started_at:
            sent_lines = min(self.queue[0].cost, (now - self.head_started_at) * self.lines_per_second)
            self.head_started_at = now - sent_lines / lines_per_second
        self.lines_per_second = lines_per_second

    def next_at(self) -> float | None:
        """Returns when the next message will have left, or None if the queue is empty."""
        return self.head_started_at + self.queue[0].cost / self.lines_per_second if self.queue else None

    def release_due(self, now: float) -> list[Message]:
        """Removes and returns the messages that have left by now, in order."""
        released = []
        while self.queue and self.head_started_at + self.queue[0].cost / self.lines_per_second <= now:
            message = self.queue.popleft()
            self.head_started_at += message.cost / self.lines_per_second
            self.waiting -= message.cost
            message.released_at = now
            released.append(message)
        return released

    def drop(self, proxy: int | None) -> None:
        """Drops the queued messages of a proxy, or of all if `proxy` is None."""
        self.queue = deque(m for m in self.queue if proxy is not None and m.proxy != proxy)
        self.waiting = sum(message.cost for message in self.queue)
