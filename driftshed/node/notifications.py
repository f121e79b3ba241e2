"""Notifications of proxies, merged from several connections to the relay, without I/O."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from driftshed import interface as face
from driftshed.node.codec import MESSAGE_DECODER, InvalidMessage, PlatformCodec, encode_call
from driftshed.node.jsonlines import LineReader, LineTooLong
from driftshed.node.relay import ProtocolError

NOTIFICATION_TIMEOUT_S = 1.8  # the relay sends a ping every second
MAX_LAG_S = NOTIFICATION_TIMEOUT_S  # of one connection behind another; one that lags more counts as unresponsive
MAX_REMEMBERED_ANSWERS = 4096  # of each connection, the latest


class Coverage:
    """Since when the changes of the joined proxies are known without a gap: at each moment some connection was open.

    A connection covers the time from the start of its watch to its last line, since one that breaks may have been
    silent before. It continues the coverage once a connection that does so too has told what was sent after its start:
    an answer to a mark that both have told, or any line after the maximum lag."""

    def __init__(self) -> None:
        """No connection is open."""
        self.until = float("-inf")  # time of the last line on a connection that continues the coverage
        # Open connections, the longest open first, and whether each continues the coverage.
        self.readers: dict[NotificationReader, bool] = {}
        self.began_at: dict[NotificationReader, float] = {}
        self.answers: dict[NotificationReader, OrderedDict[tuple[int, int], None]] = {}  # proxy and mark

    def begin(self, reader: NotificationReader, now: float) -> bool:
        """Adds a connection whose watch begins now. Returns whether none was open, so that there is a gap before."""
        gap = not self.readers
        self.readers[reader], self.began_at[reader], self.answers[reader] = gap, now, OrderedDict()
        return gap

    def extend(self, reader: NotificationReader, now: float) -> None:
        """Records a line on an open connection."""
        if self.readers.get(reader):
            self.until = now
            for other, began_at in self.began_at.items():
                self.readers[other] |= now - began_at > MAX_LAG_S

    def answered(self, reader: NotificationReader, applied: face.Applied) -> None:
        """Records an answer that a connection has told.

        Guards against an old connection that tells late: its next line may be from before the new one's start."""
        if reader not in self.readers:
            return
        key = applied.proxy, applied.mark
        self.answers[reader][key] = None
        if len(self.answers[reader]) > MAX_REMEMBERED_ANSWERS:
            self.answers[reader].popitem(last=False)
        sharing = [other for other, answers in self.answers.items() if key in answers]
        if any(self.readers[other] for other in sharing):
            self.readers |= dict.fromkeys(sharing, True)

    def includes(self, reader: NotificationReader) -> bool:
        """Whether an open connection continues the coverage, so that no other is needed for what was before it."""
        return self.readers.get(reader, False)

    def end(self, reader: NotificationReader) -> bool:
        """Removes a connection. Returns whether none of the others continues the coverage, so that there is a gap
        between `until` and the start of the longest open one, which begins the coverage anew."""
        for by_reader in (self.readers, self.began_at, self.answers):
            by_reader.pop(reader, None)
        gap = bool(self.readers) and not any(self.readers.values())
        if gap:
            self.readers[next(iter(self.readers))] = True
        return gap


class JoinState:
    """The joined proxies, merged from all connections with notifications.

    A proxy's stream begins and ends in turns, so the number of its transitions identifies each of them: a transition
    that another connection has already reported is ignored. After a gap in the notifications the number no longer tells
    whether a proxy that is joined has left and joined again meanwhile: its join is then reported once more."""

    def __init__(self) -> None:
        """No proxy is joined."""
        self.coverage = Coverage()
        self.in_doubt: set[int] = set()  # joined before a gap, and not yet reported by a connection after it
        self.doubted = 0  # joins reported once more, in total
        self.joined: dict[int, face.Joined] = {}
        self.transitions: dict[int, int] = {}  # of each proxy: joins and departures so far; odd while it is joined
        self.transition_at: dict[int, float] = {}  # when the last of them was received
        self.last_mark: dict[int, int] = {}  # the last mark that each proxy answered

    def apply(self, event: object, position: int, now: float) -> list:
        """Applies the `position`-th transition of a proxy, a Joined or Left event. Returns the events that are new."""
        proxy = event.proxy
        if position <= self.transitions.get(proxy, 0):
            return []
        self.transitions[proxy], self.transition_at[proxy] = position, now
        self.last_mark.pop(proxy, None)
        self.in_doubt.discard(proxy)
        if position % 2:
            self.joined[proxy] = event
        else:
            self.joined.pop(proxy, None)
        return [event]

    def reader_began(self, reader: NotificationReader, now: float) -> None:
        """Records that the watch of a connection begins."""
        if self.coverage.begin(reader, now):
            self.in_doubt = set(self.joined)

    def reader_ended(self, reader: NotificationReader) -> list:
        """Records the end of a connection. Returns the joins that are reported once more."""
        if not self.coverage.end(reader):
            return []
        self.in_doubt |= {proxy for proxy in self.joined if self.transition_at[proxy] <= self.coverage.until}
        return [
            event
            for other in self.coverage.readers
            for joined in list(other.joined.values())
            for event in self.resolve_doubt(joined)
        ]

    def resolve_doubt(self, joined: face.Joined) -> list:
        """Returns the join of a proxy in doubt, which a connection reports as joined after the gap, else nothing."""
        if joined.proxy not in self.in_doubt:
            return []
        self.in_doubt.discard(joined.proxy)
        self.joined[joined.proxy] = joined
        self.doubted += 1
        return [joined]

    def apply_answer(self, applied: face.Applied) -> list:
        """Returns the answer to a mark if the proxy is joined and no connection has reported it, else nothing."""
        if applied.proxy not in self.joined or self.last_mark.get(applied.proxy) == applied.mark:
            return []
        self.last_mark[applied.proxy] = applied.mark
        return [applied]


class NotificationReader:
    """Reader of one connection with notifications of proxies: first the joined ones, then each change.

    The initial read is complete with a ping or with the first event that is not the join of a further proxy."""

    def __init__(self, codec: PlatformCodec, join_state: JoinState) -> None:
        """`join_state` is shared by all connections."""
        self.codec, self.join_state = codec, join_state
        self.line_reader = LineReader(1 << 16)
        # Joined proxies reported so far by the initial read; None outside of it.
        self.initial_proxies: set[int] | None = None
        self.synced = False  # the initial read is complete
        self.received_at = float("-inf")  # when the last complete line was received
        self.position: dict[int, int] = {}  # of each proxy: the last transition that this connection has reported
        self.joined: dict[int, face.Joined] = {}  # according to this connection

    def request(self) -> bytes:
        """The bytes to send when the connection is established."""
        return encode_call(1, "relay.watch")

    def feed(self, data: bytes, now: float) -> list:
        """The events for the module in the received bytes. Raises ProtocolError if the connection must be given up;
        the events before the error are in its `args[1]`."""
        events: list = []
        # Guards against lines from before a silence, which are taken for proof that all before them has been told.
        if self.received_at + NOTIFICATION_TIMEOUT_S < now and self.received_at > float("-inf"):
            raise ProtocolError("silent for too long", events)
        try:
            for text in self.line_reader.feed(data):
                if text:
                    events += self._handle_line(text, now)
                    self.received_at = now
                    self.join_state.coverage.extend(self, now)
        except (ProtocolError, LineTooLong) as error:
            raise ProtocolError(str(error), events) from None
        return events

    def _handle_line(self, text: bytes, now: float) -> list:
        try:
            line = MESSAGE_DECODER.decode(text)
            event = self.codec.decode_notification(line.method, line.params)
        except (msgspec.DecodeError, InvalidMessage) as error:
            raise ProtocolError(f"malformed notification: {error}: {text[:200]!r}") from None
        if not line.method:
            if line.id != 1 or bytes(line.result) != b"true":
                raise ProtocolError("the watch was refused")
            self.initial_proxies = set()
            self.join_state.reader_began(self, now)
            return []
        if (
            isinstance(event, face.Joined)
            and self.initial_proxies is not None
            and event.proxy not in self.initial_proxies
        ):
            self.initial_proxies.add(event.proxy)
            self.joined[event.proxy] = event
            return self._handle_initial(event, now)
        events = self._finish_initial(now) if event is not None or line.method == "ping" else []
        if isinstance(event, face.Applied):
            self.join_state.coverage.answered(self, event)
            return events + self.join_state.apply_answer(event)
        if event is None:
            return events
        if (event.proxy in self.joined) == isinstance(event, face.Joined):
            raise ProtocolError("a proxy that joined or left twice in a row")
        if isinstance(event, face.Joined):
            self.joined[event.proxy] = event
        else:
            del self.joined[event.proxy]
        self.position[event.proxy] = self._position_of(event.proxy, now) + 1
        return events + self.join_state.apply(event, self.position[event.proxy], now)

    def _handle_initial(self, event: face.Joined, now: float) -> list:
        """Handles a proxy that was joined before the connection was established."""
        count, gone = self.join_state.transitions.get(event.proxy, 0), []
        if event.fresh and event.proxy in self.join_state.last_mark:
            # Guards against a proxy that left and rejoined while no connection was up: it reports that it holds no
            # ordered table, although a mark of its table was answered.
            gone = self.join_state.apply(face.Left(event.proxy), count + 1, now)
            count += 1
        self.position[event.proxy] = count | 1
        return gone + self.join_state.apply(event, count | 1, now) + self.join_state.resolve_doubt(event)

    def close(self) -> list:
        """Records the end of the connection, as `JoinState.reader_ended` does. Returns the events."""
        return self.join_state.reader_ended(self)

    @property
    def stands_alone(self) -> bool:
        """Whether the initial read is complete and an older connection has told all changes before it began."""
        return self.synced and self.join_state.coverage.includes(self)

    def _finish_initial(self, now: float) -> list:
        """Completes the initial read: proxies known as joined that were not in it have left meanwhile."""
        if self.initial_proxies is None:
            return []
        initial_proxies, self.initial_proxies, self.synced = self.initial_proxies, None, True
        events = []
        for proxy, position in list(self.join_state.transitions.items()):
            if proxy not in initial_proxies:
                self.position[proxy] = position + position % 2
                events += self.join_state.apply(face.Left(proxy), self.position[proxy], now)
        return events

    def _position_of(self, proxy: int, now: float) -> int:
        """The last transition of a proxy that this connection has reported.

        Guards against a position that is too low, since the initial read can precede transitions that led to it and
        that another connection reports later. This connection never reports those; after the maximum lag its position
        is corrected to the latest transition that agrees with its own state of the proxy."""
        position, count = self.position.get(proxy, 0), self.join_state.transitions.get(proxy, 0)
        if position < count and now - self.join_state.transition_at[proxy] > MAX_LAG_S:
            position = count - (count - position) % 2
        return position

    def reconcile(self) -> list:
        """Corrects proxies whose state on this connection still differs after the maximum lag: this connection's state
        is adopted, since it has received other lines since then. Returns the events."""
        events = []
        for proxy, count in list(self.join_state.transitions.items()) if self.synced else ():
            position = self.position[proxy] = self._position_of(proxy, self.received_at)
            if position < count and self.received_at - self.join_state.transition_at[proxy] > MAX_LAG_S:
                self.position[proxy] = count + 1
                events += self.join_state.apply(self.joined.get(proxy, face.Left(proxy)), count + 1, self.received_at)
        return events
