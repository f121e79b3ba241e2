"""Clients of a supervisor that say nothing sensible, and whether each got the close or the NACK that it is owed."""

from __future__ import annotations

from random import Random

from driftshed.net.loop import Loop
from driftshed.net.stream import dial
from driftshed.node.resp import encode_message

OWED_WITHIN_S = 3.0  # of connecting
OWED_WITHIN_ENDLESS_S = 6.0  # where what is sent has no end
ENDLESS_PIECE, ENDLESS_INTERVAL_S = b"$1048576\r\n" + b"x" * 4096, 0.05
PAYLOADS = (
    b"\x00\xff\xfe garbage \r\n\r\n",
    b"*99999999999\r\n",
    b"*2\r\n$-7\r\nPING\r\n",
    b"GET / HTTP/1.1\r\nhost: here\r\n\r\n",
    b"*3\r\n$6\r\nSOURCE\r\n",  # half a message
    b"",
    encode_message("SOURCE", "site", "no such zone"),
    encode_message("SUBSCRIBE", "id", "99999", "site", "east", "rps", "1", "new", "1"),
    encode_message("LOAD", "site", "east", "target", "s-00000001", "count", "1", "fail", "0", "over", "1000.0"),
    encode_message("ORDER", "do", "eject", "target", "s-00000001"),
)


class BadClients:
    """Connects drawn clients to one address. `unanswered`: clients that got neither close nor NACK in time."""

    def __init__(self, loop: Loop, address: tuple[str, int], random: Random) -> None:
        self.loop, self.address, self.random = loop, address, random
        self.connected = self.unanswered = 0

    def play(self, seconds: float, per_second: float) -> None:
        """Connects so many clients a second for so many seconds."""
        self._connect_next(self.loop.clock() + seconds, per_second)

    def _connect_next(self, ends_at: float, per_second: float) -> None:
        if self.loop.clock() >= ends_at:
            return
        self._connect(self.random.choice([*PAYLOADS, ENDLESS_PIECE]))
        self.loop.after(self.random.expovariate(per_second), lambda: self._connect_next(ends_at, per_second))

    def _connect(self, payload: bytes) -> None:
        stream = dial(self.loop, self.address)
        answered: list[str] = []
        stream.on_data = lambda data: answered.append("NACK")
        stream.on_end = lambda reason: answered.append(reason)
        stream.write(payload)
        self.connected += 1
        endless = payload is ENDLESS_PIECE

        def write_more() -> None:
            if not answered:
                stream.write(b"x" * 4096)
                self.loop.after(ENDLESS_INTERVAL_S, write_more)

        def check() -> None:
            self.unanswered += not answered
            if stream.sock is not None:
                stream.abort("over")

        if endless:
            self.loop.after(ENDLESS_INTERVAL_S, write_more)
        self.loop.after(OWED_WITHIN_ENDLESS_S if endless else OWED_WITHIN_S, check)
