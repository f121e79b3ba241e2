"""The lease: for how long a supervisor may act on agreed records. No I/O and no wall clock."""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.02  # largest relative drift between the store's clock and the local one, both together
MAX_PAUSE_FRACTION = 0.1  # of the session timeout: the longest time between checking the lease and acting on it


class Lease:
    """Derives the lease from the store session.

    The store expires a session one full timeout after it last received a request of it. An answered request was
    received after it was sent, so the session lasts for one timeout on the store's clock from that sending. The lease
    ends earlier by `drift` and `max_pause`, and so before any other supervisor can be notified of the session's end.

    Guards against a process that was suspended, or disconnected without noticing, and continues as if nothing had been
    agreed since: the monotonic clock advances during a suspension, so the lease has ended before it issues an order."""

    def __init__(self, timeout: float, drift: float = MAX_CLOCK_DRIFT, max_pause: float | None = None) -> None:
        """`timeout`: session timeout in seconds; `drift`: a fraction; `max_pause`: seconds, MAX_PAUSE_FRACTION of the
        timeout unless given."""
        self.drift, self.max_pause = drift, timeout * MAX_PAUSE_FRACTION if max_pause is None else max_pause

    def expires_at(self, confirmed_at: float, timeout: float) -> float:
        """When the lease proven by a request sent at `confirmed_at` ends; both in seconds on the local monotonic
        clock."""
        return confirmed_at + timeout * (1 - self.drift) - self.max_pause

    def holds(self, now: float, confirmed_at: float, timeout: float) -> bool:
        """Whether the lease is valid at `now`."""
        return now < self.expires_at(confirmed_at, timeout)
