"""Admission control of a proxy. Free of I/O."""

from __future__ import annotations

from random import Random

BURST_S = 0.5  # capacity of the token bucket, in seconds of its rate


class Gate:
    """Admission control of one operation: by share, at random, or by rate, with a token bucket."""

    def __init__(self, level_form: str, random: Random) -> None:
        """`level_form`: "share" (the level is the admitted share), "rate" (invocations per second) or "off". Admits
        everything until a level is set."""
        self.level_form, self.random = level_form, random
        self.level, self.tokens, self.filled_at = float("inf"), 0.0, 0.0
        self.admitted_count = self.rejected_count = 0

    def set(self, level: float, now: float) -> None:
        """Sets a new level; tokens in the bucket stay, up to its new capacity."""
        self._fill(now)
        if self.level == float("inf"):
            self.tokens = max(1.0, level * BURST_S)
        self.level = level
        self.tokens = min(self.tokens, self._capacity())

    def _capacity(self) -> float:
        return max(1.0, self.level * BURST_S)

    def _fill(self, now: float) -> None:
        if self.level < float("inf"):
            self.tokens = min(self._capacity(), self.tokens + max(0.0, now - self.filled_at) * self.level)
        self.filled_at = now

    def admit(self, now: float) -> bool:
        """Decides on one invocation at time `now` in seconds, consumes a token where it is admitted, and counts it."""
        if self.level_form == "off":
            admitted = True
        elif self.level_form == "share":
            admitted = self.level >= 1 or self.random.random() < self.level
        elif self.level == 0:
            admitted = False
        else:
            self._fill(now)
            admitted = self.level == float("inf") or self.tokens >= 1
            self.tokens -= admitted and self.level < float("inf")
        self.admitted_count += admitted
        self.rejected_count += not admitted
        return admitted

    def retry_after(self, now: float) -> float:
        """Seconds after which a rejected client should try again."""
        if self.level_form == "rate" and 0 < self.level < float("inf"):
            return max(0.0, (1 - self.tokens) / self.level)
        return 1.0
