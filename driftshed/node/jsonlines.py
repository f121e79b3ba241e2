"""Framing of JSON lines: bytes in any pieces to complete lines of bounded length."""

from __future__ import annotations


class LineTooLong(Exception):
    """A line exceeds its bound; nothing after it can be read."""


class LineReader:
    """Incremental reader of lines; they are returned without their ends, empty ones too."""

    def __init__(self, max_bytes: int = 1 << 20) -> None:
        """`max_bytes`: bound of one line."""
        self.max_bytes, self.buffer = max_bytes, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are now complete. Raises LineTooLong if a line, complete or not, exceeds the bound."""
        self.buffer += data
        if b"\n" not in data:
            lines = []
        else:
            *lines, rest = bytes(self.buffer).split(b"\n")
            self.buffer = bytearray(rest)
        if len(self.buffer) > self.max_bytes or any(len(line) > self.max_bytes for line in lines):
            raise LineTooLong(f"a line of over {self.max_bytes} bytes")
        return [line.removesuffix(b"\r") for line in lines]
