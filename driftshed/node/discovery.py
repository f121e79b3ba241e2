"""Reader of discovery's watch, without I/O: the bytes of a chunked HTTP answer to list events."""

from __future__ import annotations

import httptools
import msgspec

from driftshed import interface as face
from driftshed.node.codec import InvalidMessage, PlatformCodec
from driftshed.node.jsonlines import LineReader, LineTooLong

MAX_LINE_BYTES = 8 << 20  # bytes of one list
MAX_HEADER_BYTES = 16384
SILENCE_TIMEOUT_S = 2.5  # discovery sends an empty line every 2 s


class WatchFailed(Exception):
    """The watch has ended or delivered malformed data: a new one must be started."""


class Roster:
    """The latest list of servers from all watches."""

    def __init__(self, codec: PlatformCodec) -> None:
        """Empty, with version -1 until the first list is applied."""
        self.codec, self.version = codec, -1
        self.entries: dict[face.Server, face.Entry] = {}
        self.ignored = 0
        # Guards against a list that is never updated because of one invalid entry. A malformed list is requested again
        # in case it was corrupted in transit; if it is malformed again, its source is at fault and its valid entries
        # are used.
        self.last_malformed = False
        self.skipped: list[str] = []

    def apply(self, document: object, kind: int | None = None) -> list:
        """Applies a list or a change. Returns its event, or nothing if it is not newer than the current list. Raises
        InvalidMessage."""
        try:
            listing = self.codec.decode_listing(document, kind, self.skipped if self.last_malformed else None)
        except InvalidMessage:
            self.last_malformed = True
            raise
        self.last_malformed = False
        if listing.version < self.version or (listing.version == self.version and listing.kind != face.FULL):
            self.ignored += 1
            return []
        if listing.kind == face.DELTA and self.version < 0:
            raise InvalidMessage("a change before any list")
        self.version = listing.version
        if listing.kind != face.DELTA:
            self.entries = {}
        for entry in listing.entries:
            if entry.state == face.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        return [listing]

    def snapshot(self) -> list:
        """The event from which a new module starts."""
        return [face.Listing(max(0, self.version), face.CACHED, tuple(self.entries.values()))]


class Watch:
    """One watch on one connection. The `on_` methods are callbacks of the HTTP parser."""

    def __init__(self, roster: Roster, host: str) -> None:
        """`host`: value of the Host header. The watch continues from the roster's version."""
        self.roster, self.host = roster, host
        self.parser = httptools.HttpResponseParser(self)
        self.line_reader = LineReader(MAX_LINE_BYTES)
        self.header_bytes, self.headers_complete, self.end_reason, self.synced = 0, False, "", False
        self.events: list = []
        self.now, self.received_at = 0.0, float("-inf")  # of the bytes being read; of the last complete line

    def request(self) -> bytes:
        """The HTTP request to send when the connection is established."""
        after = f"&index={self.roster.version}" if self.roster.version >= 0 else ""
        return f"GET /discovery/hosts?stream=1{after} HTTP/1.1\r\nhost: {self.host}\r\n\r\n".encode()

    def feed(self, data: bytes, now: float) -> list:
        """The events for the module in the received bytes. Raises WatchFailed if the watch is over; the events before
        that are in its `args[1]`."""
        self.events, self.now = [], now
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end_reason = self.end_reason or f"not HTTP: {error}"
        if not self.headers_complete:
            self.header_bytes += len(data)
            if self.header_bytes > MAX_HEADER_BYTES:
                self.end_reason = "headers too long"
        if self.end_reason:
            raise WatchFailed(self.end_reason, self.events)
        return self.events

    # ---- callbacks of the parser ------------------------------------------------------------------------------

    def on_headers_complete(self) -> None:
        """Ends the watch unless the status is 200."""
        self.headers_complete = True
        if self.parser.get_status_code() != 200:
            self.end_reason = f"status {self.parser.get_status_code()}"

    def on_body(self, body: bytes) -> None:
        """Applies the complete lines of the body to the roster."""
        if self.end_reason:
            return
        try:
            for line in self.line_reader.feed(body):
                if line.strip():
                    self.events += self.roster.apply(msgspec.json.decode(line))
                self.synced, self.received_at = True, self.now
        except (LineTooLong, InvalidMessage, msgspec.DecodeError) as error:
            self.end_reason = f"malformed line: {error}"

    def on_message_complete(self) -> None:
        """Ends the watch: discovery sends no more."""
        self.end_reason = self.end_reason or "the answer ended"
