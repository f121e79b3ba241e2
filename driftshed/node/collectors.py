"""Peers that connect to the supervisor's address, without I/O: collectors, health checks by PING, unknown peers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from driftshed.node.codec import InvalidMessage, PlatformCodec
from driftshed.node.resp import MAX_MESSAGE_BYTES, MAX_UNJOINED_BYTES, FramingError, Reader, encode_message

PONG, NACK = encode_message("PONG"), encode_message("NACK")


class Peer:
    """State of one incoming connection. Only a peer that has joined as the collector of a known zone may report."""

    def __init__(self, codec: PlatformCodec, is_listed: Callable[[bytes], bool], dropped: Counter) -> None:
        """`dropped`: shared counts of dropped messages by reason."""
        self.codec, self.is_listed, self.dropped = codec, is_listed, dropped
        # Guards against hundreds of unknown peers that each begin a long message and together exhaust the memory.
        self.reader = Reader(MAX_UNJOINED_BYTES)
        self.joined = self.pinged = False  # has joined as a collector; has sent a PING

    def feed(self, data: bytes) -> tuple[list, bytes, bool]:
        """Handles received bytes. Returns the events for the module, the bytes to send, and whether to close the
        connection then."""
        events: list = []
        try:
            messages, failure = self.reader.feed(data), ""
        except FramingError as error:
            messages, failure = error.args[1], error.args[0]
        answer = b""
        for parts in messages:
            if parts == [b"PING"]:
                self.pinged = True
                answer += PONG
            elif self.joined:
                try:
                    events.append(self.codec.decode_report(parts, self.is_listed))
                except InvalidMessage as error:
                    self.dropped[str(error)] += 1
            elif len(parts) == 3 and parts[:2] == [b"SOURCE", b"site"] and self._is_known_zone(parts[2]):
                self.joined, self.reader.max_bytes = True, MAX_MESSAGE_BYTES
            else:
                self.dropped["said before joining"] += 1
                return events, answer + NACK, True
        if failure:
            self.dropped["unreadable"] += 1
            return events, b"" if self.joined else answer + NACK, True
        return events, answer, False

    @property
    def may_have_more(self) -> bool:
        """Whether received messages may be left, which `feed(b"")` handles."""
        return self.reader.may_have_more

    def _is_known_zone(self, zone: bytes) -> bool:
        return zone.decode(errors="replace") in self.codec.zones
