"""Framing of messages at the supervisor's address: RESP2 arrays of bulk strings, in any pieces, bounded before memory
is taken."""

from __future__ import annotations

MOST_BYTES = 1 << 20  # of one message
MOST_UNJOINED = 1024  # of one message of who has not joined: all it may say is short
MOST_WORDS = 256
MOST_DIGITS = 7  # of a count or a length


class Unreadable(Exception):
    """What came is no message; nothing after it can be read either."""


class Reader:
    """Takes bytes as they come, gives whole messages: lists of byte strings."""

    def __init__(self, most: int = MOST_BYTES) -> None:
        self.most = most
        self.held = bytearray()
        self.at = 0  # read so far of the message under way
        self.wanted = -1  # words of the message under way; -1: not known yet
        self.words: list[bytes] = []

    def take(self, data: bytes) -> list[list[bytes]]:
        """The messages that are whole now. Unreadable: those before are in its `args[1]`."""
        self.held += data
        messages: list[list[bytes]] = []
        try:
            while self._one():
                messages.append(self.words)
                del self.held[: self.at]
                self.at, self.wanted, self.words = 0, -1, []
        except Unreadable as error:
            raise Unreadable(str(error), messages) from None
        return messages

    def _one(self) -> bool:
        if self.wanted < 0:
            count = self._number(b"*", MOST_WORDS)
            if count is None:
                return False
            self.wanted = count
        while len(self.words) < self.wanted:
            before = self.at
            length = self._number(b"$", self.most - self.at)
            if length is None:
                return False
            end = self.at + length
            if len(self.held) < end + 2:
                self.at = before
                return False
            if self.held[end : end + 2] != b"\r\n":
                raise Unreadable("a word is not ended")
            self.words.append(bytes(self.held[self.at : end]))
            self.at = end + 2
        return True

    def _number(self, mark: bytes, most: int) -> int | None:
        """A mark, digits and the end of their line; None until they are whole."""
        end = self.held.find(b"\r\n", self.at, self.at + MOST_DIGITS + 3)
        line = bytes(self.held[self.at : end if end >= 0 else self.at + MOST_DIGITS + 3])
        if line and line[:1] != mark:
            raise Unreadable(f"{line[:1]!r} where {mark.decode()!r} is due")
        digits = line[1:].rstrip(b"\r") if end < 0 else line[1:]
        if (digits and not digits.isdigit()) or len(digits) > MOST_DIGITS or (end >= 0 and not digits):
            raise Unreadable("a count or a length that is none")
        if end < 0:
            return None
        if int(digits) > most or (mark == b"*" and not int(digits)):
            raise Unreadable(f"{int(digits)} is over the bound of {most}")
        self.at = end + 2
        return int(digits)


def message(*words: str) -> bytes:
    """One message as it goes on the wire."""
    parts = [word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
