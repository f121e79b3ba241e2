"""What a proxy lets in. Free of I/O."""

from __future__ import annotations

from random import Random

BURST = 0.5  # seconds of a rate that may come at once


class Gate:
    """Admission of one operation: by share, at random, or by rate, from a bucket that fills at it."""

    def __init__(self, form: str, random: Random) -> None:
        self.form, self.random = form, random
        self.level, self.tokens, self.filled_at = float("inf"), 0.0, 0.0
        self.let_in = self.kept_out = 0

    def set(self, level: float, now: float) -> None:
        """A new level; what the bucket holds stays, up to what the new one holds at most."""
        self._fill(now)
        if self.level == float("inf"):
            self.tokens = max(1.0, level * BURST)
        self.level = level
        self.tokens = min(self.tokens, self._most())

    def _most(self) -> float:
        return max(1.0, self.level * BURST)

    def _fill(self, now: float) -> None:
        if self.level < float("inf"):
            self.tokens = min(self._most(), self.tokens + max(0.0, now - self.filled_at) * self.level)
        self.filled_at = now

    def admits(self, now: float) -> bool:
        if self.form == "off":
            admitted = True
        elif self.form == "share":
            admitted = self.level >= 1 or self.random.random() < self.level
        elif self.level == 0:
            admitted = False
        else:
            self._fill(now)
            admitted = self.level == float("inf") or self.tokens >= 1
            self.tokens -= admitted and self.level < float("inf")
        self.let_in += admitted
        self.kept_out += not admitted
        return admitted

    def back_in(self, now: float) -> float:
        """Seconds after which asking again is worth it."""
        if self.form == "rate" and 0 < self.level < float("inf"):
            return max(0.0, (1 - self.tokens) / self.level)
        return 1.0
