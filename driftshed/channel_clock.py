"""When a paced channel will have sent all that it was given, by its usual rate and by the answers that have come.

Independent of servers and proxies; times are seconds on the caller's clock."""

from __future__ import annotations

from collections import deque

MAX_ROUNDS = 1024  # of which the latest are told apart by their marks


class ChannelClock:
    """Follows the rounds of messages that are given to a channel, which sends them in order.

    Answers alone tell too little of what still waits: they come long after a message has left, and never from a proxy
    that has fallen silent."""

    def __init__(self) -> None:
        """The channel is empty."""
        self.free_at = float("-inf")  # at the usual rate, without `lateness`
        self.lateness = 0.0  # seconds that the channel has fallen behind its usual rate
        self.rounds: deque[tuple[int, float]] = deque(maxlen=MAX_ROUNDS)  # mark, and when it has left as `free_at` has

    def add(self, now: float, mark: int, duration: float) -> None:
        """Adds a round that takes the channel so many seconds at its usual rate."""
        self.free_at = max(self.free_at, now - self.lateness) + duration
        self.rounds.append((mark, self.free_at))

    def delay(self, now: float) -> float:
        """Seconds until a message that is given to the channel now begins to leave it."""
        return max(0.0, self.free_at + self.lateness - now)

    def answered(self, now: float, mark: int, longest_transit: float) -> None:
        """A proxy has answered a mark, so its round left at most `longest_transit` seconds ago or is leaving.

        Guards against a channel that is slower than usual: all that waits is as late as this round, at least."""
        if not any(each == mark for each, _ in self.rounds):
            return
        while self.rounds[0][0] != mark:
            self.rounds.popleft()
        self.lateness = max(self.lateness, now - longest_transit - self.rounds[0][1])
