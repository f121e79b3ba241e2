"""The paced channel: messages leave one after the other, so many lines a second, in order."""

from __future__ import annotations

from collections import deque

from driftshed.core.messages import Change


class Message:
    """What one reply of the module says to one proxy. `cost`: its lines, its head and its mark."""

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
        self.proxy, self.stream, self.changes, self.body = proxy, stream, changes, body
        self.cost, self.mark, self.ordered_at = cost, mark, ordered_at
        self.due_at = self.released_at = 0.0  # the soonest that the pace allows, and what it came to
        self.version = 0


class Channel:
    """Guards against a supervisor that writes faster than its proxies and its network are promised: a message
    waits until those before it have gone at the stated pace."""

    def __init__(self, lines_per_second: float) -> None:
        self.pace = lines_per_second
        self.queue: deque[Message] = deque()
        self.waiting = 0.0  # lines, that of the message under way included
        self.most_waiting = 0.0
        self.began = 0.0  # when the first of the queue began to leave

    def put(self, message: Message, now: float) -> None:
        if not self.queue:
            self.began = max(now, self.began)
        self.queue.append(message)
        self.waiting += message.cost
        self.most_waiting = max(self.most_waiting, self.waiting)
        message.due_at = self.began + self.waiting / self.pace

    def change_pace(self, lines_per_second: float, now: float) -> None:
        """What of the first message has gone has gone; the rest, and all behind it, goes at the new pace."""
        if self.queue and now > self.began:
            gone = min(self.queue[0].cost, (now - self.began) * self.pace)
            self.began = now - gone / lines_per_second
        self.pace = lines_per_second

    def next_at(self) -> float | None:
        """When the next message has left; None while nothing waits."""
        return self.began + self.queue[0].cost / self.pace if self.queue else None

    def due(self, now: float) -> list[Message]:
        """The messages that have left by now, in order."""
        gone = []
        while self.queue and self.began + self.queue[0].cost / self.pace <= now:
            message = self.queue.popleft()
            self.began += message.cost / self.pace
            self.waiting -= message.cost
            message.released_at = now
            gone.append(message)
        return gone

    def drop(self, proxy: int | None) -> None:
        """Takes back what waits for a proxy, or for all."""
        self.queue = deque(m for m in self.queue if proxy is not None and m.proxy != proxy)
        self.waiting = sum(message.cost for message in self.queue)
