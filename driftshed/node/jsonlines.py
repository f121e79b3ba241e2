"""Framing of JSON lines: bytes in any pieces to whole lines, bounded."""

from __future__ import annotations


class TooLong(Exception):
    """A line outgrew its bound; nothing after it can be read."""


class Lines:
    """Takes bytes as they come, gives whole lines without their ends; empty ones are given too."""

    def __init__(self, most: int = 1 << 20) -> None:
        self.most, self.held = most, bytearray()

    def take(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. TooLong: what is held without an end is over the bound."""
        self.held += data
        if b"\n" not in data:
            lines = []
        else:
            *lines, rest = bytes(self.held).split(b"\n")
            self.held = bytearray(rest)
        if len(self.held) > self.most or any(len(line) > self.most for line in lines):
            raise TooLong(f"a line of over {self.most} bytes")
        return [line.removesuffix(b"\r") for line in lines]
