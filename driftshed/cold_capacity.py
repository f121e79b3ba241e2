"""What a cold server can do, as a share of its usual capacity: what its age promises, and what its own answers show.

Independent of servers and proxies."""

from __future__ import annotations

# Times that a machine may go slower before any report shows it.
LARGEST_SLOWDOWN = 10.0
# Of what its age and kind promise: what a server certainly has before its answers show more.
UNSEEN_SHARE = 3 / 5
# Answers at which what they show counts as much as what the age promises.
HALF_TRUST_ANSWERS = 10


class ColdSample:
    """What reports say of a server since its last start."""

    def __init__(self) -> None:
        """No report has come."""
        self.tries = self.succeeded = 0
        self.success_time = 0.0  # seconds of the tries that succeeded, together

    def add(self, tries: int, succeeded: int, success_time: float) -> None:
        """Adds one report."""
        self.tries += tries
        self.succeeded += succeeded
        self.success_time += success_time

    def trust(self) -> float:
        """How much these tries count against what is assumed without any, up to 1; errors show no capacity."""
        if not self.succeeded:
            return 0.0
        return self.succeeded / self.tries * self.succeeded / (self.succeeded + HALF_TRUST_ANSWERS)


def certain_capacity(warmth: float, sample: ColdSample, usual_latency: float) -> float:
    """The share of its usual capacity that a cold server has, cautiously.

    `warmth`: the share that its age promises; `usual_latency`: seconds of an answer by a warm server without a queue,
    infinite if unknown. Under little load an answer takes what the work takes, so its latency shows the capacity."""
    assumed = UNSEEN_SHARE * warmth
    if not sample.success_time or usual_latency == float("inf"):
        return assumed
    seen = min(1.0, usual_latency * sample.succeeded / sample.success_time)
    return assumed + sample.trust() * (seen - assumed)
