"""Framing of messages at the supervisor's address: RESP2 arrays of bulk strings, received in any pieces. Lengths are
checked before memory is allocated."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 1 << 20
MAX_UNJOINED_BYTES = 1024  # of one message from a peer that has not joined, which may only send short ones
MAX_STRINGS = 256
MAX_MESSAGES_AT_ONCE = 64  # of one peer in a round of the loop
MAX_DIGITS = 7  # in a count or a length


class FramingError(Exception):
    """The bytes are not a valid message; nothing after them can be read either."""


class Reader:
    """Incremental parser: bytes in any pieces to complete messages, which are lists of byte strings."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """`max_bytes`: bound of one message; it may be raised later."""
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.position = 0  # parsed bytes of the current message
        self.expected = -1  # number of strings in the current message; -1: not known yet
        self.parts: list[bytes] = []
        self.may_have_more = False  # complete messages may be left, which the next call returns

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The messages that are now complete, MAX_MESSAGES_AT_ONCE at most. Raises FramingError; the messages before it
        are in its `args[1]`."""
        self.buffer += data
        messages: list[list[bytes]] = []
        try:
            while len(messages) < MAX_MESSAGES_AT_ONCE and self._read_message():
                messages.append(self.parts)
                del self.buffer[: self.position]
                self.position, self.expected, self.parts = 0, -1, []
        except FramingError as error:
            raise FramingError(str(error), messages) from None
        self.may_have_more = len(messages) == MAX_MESSAGES_AT_ONCE
        return messages

    def _read_message(self) -> bool:
        if self.expected < 0:
            count = self._read_number(b"*", MAX_STRINGS)
            if count is None:
                return False
            self.expected = count
        while len(self.parts) < self.expected:
            start = self.position
            length = self._read_number(b"$", self.max_bytes - self.position)
            if length is None:
                return False
            end = self.position + length
            if len(self.buffer) < end + 2:
                self.position = start
                return False
            if self.buffer[end : end + 2] != b"\r\n":
                raise FramingError("a string without its terminator")
            self.parts.append(bytes(self.buffer[self.position : end]))
            self.position = end + 2
        return True

    def _read_number(self, prefix: bytes, maximum: int) -> int | None:
        """Reads a prefix, digits and the end of their line; None until they are complete."""
        end = self.buffer.find(b"\r\n", self.position, self.position + MAX_DIGITS + 3)
        line = bytes(self.buffer[self.position : end if end >= 0 else self.position + MAX_DIGITS + 3])
        if line and line[:1] != prefix:
            raise FramingError(f"{line[:1]!r} where {prefix.decode()!r} is expected")
        digits = line[1:].rstrip(b"\r") if end < 0 else line[1:]
        if (digits and not digits.isdigit()) or len(digits) > MAX_DIGITS or (end >= 0 and not digits):
            raise FramingError("an invalid count or length")
        if end < 0:
            return None
        if int(digits) > maximum or (prefix == b"*" and not int(digits)):
            raise FramingError(f"{int(digits)} is over the bound of {maximum}")
        self.position = end + 2
        return int(digits)


def encode_message(*strings: str) -> bytes:
    """One encoded message."""
    parts = [string.encode() for string in strings]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
