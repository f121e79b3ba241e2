"""For how long a supervisor may act on what was agreed. Free of I/O and of wall clocks."""

from __future__ import annotations

DRIFT = 0.02  # the share by which the store's clock and ours may run apart, taken together
PAUSE_SHARE = 0.1  # of the time-out: the longest that may pass between the question and the act


class Lease:
    """The store ends a session a whole time-out after it last heard of it. What was answered had been heard after it
    was sent, so counted from that sending the session stands for a time-out by the store's clock. The lease ends sooner
    by `drift` and by `pause` (seconds), and so before anybody can be told that the session is over.

    Guards against a process that was stopped, or cut off unseen, and goes on as if nothing had been agreed since: the
    monotonic clock goes on while it is stopped, so it finds the lease over before it orders anything."""

    def __init__(self, timeout: float, drift: float = DRIFT, pause: float | None = None) -> None:
        self.drift, self.pause = drift, timeout * PAUSE_SHARE if pause is None else pause

    def until(self, proved_at: float, timeout: float) -> float:
        """The end of what was proven at `proved_at`, both in seconds on the own monotonic clock."""
        return proved_at + timeout * (1 - self.drift) - self.pause

    def holds(self, now: float, proved_at: float, timeout: float) -> bool:
        return now < self.until(proved_at, timeout)
