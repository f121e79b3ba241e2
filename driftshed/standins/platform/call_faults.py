"""What becomes of calls to the relay: carried out and answered, or one of the ways in which that fails."""

from __future__ import annotations

from enum import Enum
from random import Random

BREAK_PAUSE_S = 0.5  # for which the rules' time limits wait when the relay breaks a call
SILENCE_PAUSE_S = 1.5  # the same when it goes silent, or its answer cannot be read
ANSWER_WITHIN_S = 0.05  # of a call, or there is no answer


class CallFault(Enum):
    """What becomes of one call."""

    NONE = "answered"
    BREAK = "broken"
    SILENCE = "silent"
    UNREADABLE = "unreadable"
    THROTTLE = "throttled"


PAUSES_S = {
    CallFault.BREAK: BREAK_PAUSE_S,
    CallFault.SILENCE: SILENCE_PAUSE_S,
    CallFault.UNREADABLE: SILENCE_PAUSE_S,
}


class CallFaults:
    """The rates of faults at one relay, each a share of the calls."""

    def __init__(self, random: Random) -> None:
        """All calls are answered."""
        self.random, self.rates = random, dict.fromkeys(CallFault, 0.0)

    def draw(self) -> tuple[CallFault, bool]:
        """What becomes of the next call, and whether it is carried out."""
        chosen = self.random.random()
        for fault, rate in self.rates.items():
            if chosen < rate:
                return fault, fault is not CallFault.THROTTLE and self.random.random() < 0.5
            chosen -= rate
        return CallFault.NONE, True
