"""Calls to the relay and the load of its channel, as state machines without I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

import msgspec

from driftshed import interface as face
from driftshed.node.codec import APPLY_RESULT_DECODER, MESSAGE_DECODER, encode_call
from driftshed.node.jsonlines import LineReader, LineTooLong

MAX_OPS_BYTES = 60_000 - 200  # of the operations of one call; the rest of the message has 200 bytes
ANSWER_TIMEOUT_S = 0.05  # guaranteed by the platform: later there is no answer
ANSWER_SLACK_S = 0.05  # time for which an answer may wait until this process reads it
THROTTLED_RETRY_S = 0.05  # wait before a throttled call is repeated
LATENCY_DECAY = 0.98  # retention factor of the longest observed latency, per answer


class ProtocolError(Exception):
    """The connection delivered malformed data and must be given up; the result of a call under way is unknown."""


class PendingCall:
    """Operations that are sent in one call. `mark`: the mark among them; `mark_is_proof`: an answer to the mark proves
    that all of them were carried out."""

    __slots__ = ("ops", "mark", "mark_is_proof")

    def __init__(self, mark: int | None, ops: list[tuple[dict, bytes]], mark_is_proof: bool) -> None:
        """`ops`: pairs of an operation and its encoded JSON."""
        self.mark, self.ops, self.mark_is_proof = mark, ops, mark_is_proof


class OrderQueue:
    """Queue of calls to the relay: one call is outstanding at a time, in the order of the module's replies.

    A call whose result is unknown is repeated before any later one. Operations set absolute values, so a repeat has the
    same effect whether or not the call was carried out before. The caller decides when it may be repeated, since a
    repeat costs lines in the channel again."""

    def __init__(self) -> None:
        """An empty queue without a connection."""
        self.waiting: deque[PendingCall] = deque()
        self.request_id = 0
        self.sent_at: float | None = None  # when the first of `waiting` was sent on the current connection
        self.in_doubt = False  # the first of `waiting` was sent and may have been carried out
        self.mark_seen = False  # its mark was answered meanwhile, which proves only a part of it
        self.not_before = 0.0
        self.repeats = self.refused = self.turned_away = self.calls = self.proved = 0
        self.line_reader = LineReader()
        self.on_refused: Callable[[dict], object] = lambda op: None

    def enqueue(self, ops: list[dict]) -> None:
        """Adds one reply of the module: as one call if it fits, else as several, each with the reply's mark."""
        mark = [(op, msgspec.json.encode(op)) for op in ops if op["do"] == "fence"]
        ticket = mark[0][0]["ticket"] if mark else None
        size, calls = 0, [list(mark)]
        for op in ops:
            if op["do"] == "fence":
                continue
            text = msgspec.json.encode(op)
            if size + len(text) + 1 > MAX_OPS_BYTES:
                size, calls = 0, [*calls, list(mark)]
            calls[-1].append((op, text))
            size += len(text) + 1
        self.waiting += [PendingCall(ticket, call, len(calls) == 1) for call in calls if call]

    def drop_proxies(self, left: set[int]) -> None:
        """Drops the queued bindings of proxies that left; a proxy that returns is bound again. The outstanding call may
        have stopped at such an operation, so an answer to its mark is no proof any more."""
        for index, call in enumerate(self.waiting):
            ops = [row for row in call.ops if not (row[0]["do"] == "attach" and row[0]["id"] in left)]
            call.mark_is_proof = call.mark_is_proof and len(ops) == len(call.ops)
            if index or self.sent_at is None:
                call.ops = ops

    def connection_opened(self) -> None:
        """Resets the state of the connection when a new one is established."""
        self.line_reader, self.sent_at = LineReader(), None

    def connection_lost(self) -> bool:
        """Records the end of the connection. Returns whether the result of an outstanding call is unknown."""
        lost = self.sent_at is not None
        self.in_doubt |= lost
        self.sent_at = None
        return lost

    def mark_answered(self, mark: int) -> None:
        """Records a proxy's answer to a mark. A call in doubt that is the only one with this mark was carried out and
        is not repeated."""
        if self.in_doubt and self.sent_at is None and self.waiting[0].mark == mark:
            self.mark_seen = True
            if self.waiting[0].mark_is_proof:
                self.proved += 1
                self._complete_first()

    def _complete_first(self) -> None:
        self.waiting.popleft()
        self.in_doubt, self.mark_seen, self.not_before = False, False, 0.0

    def next_call(self, now: float) -> bytes | None:
        """The encoded call to send now, or None."""
        while self.waiting and not self.waiting[0].ops:
            self._complete_first()
        if not self.waiting or self.sent_at is not None or now < self.not_before:
            return None
        self.request_id += 1
        self.calls += 1
        self.repeats += self.in_doubt
        self.sent_at = now
        return encode_call(self.request_id, "relay.apply", [text for _, text in self.waiting[0].ops])

    def next_due_at(self) -> float | None:
        """Time at which the answer times out or a queued call may be sent; None if the queue is empty."""
        if self.sent_at is not None:
            return self.sent_at + ANSWER_TIMEOUT_S + ANSWER_SLACK_S
        return self.not_before if self.waiting else None

    def timed_out(self, now: float) -> bool:
        """Whether the answer to the outstanding call is overdue."""
        return self.sent_at is not None and now >= self.next_due_at()

    def feed(self, data: bytes, now: float) -> None:
        """Handles received bytes. Raises ProtocolError if the connection must be given up."""
        try:
            lines = self.line_reader.feed(data)
        except LineTooLong as error:
            raise ProtocolError(str(error)) from None
        for text in lines:
            self._handle_answer(text, now)

    def _handle_answer(self, text: bytes, now: float) -> None:
        try:
            line = MESSAGE_DECODER.decode(text)
        except msgspec.DecodeError as error:
            raise ProtocolError(f"malformed answer: {error}: {text[:200]!r}") from None
        if self.sent_at is None or line.id != self.request_id or bool(bytes(line.result)) == bool(bytes(line.error)):
            raise ProtocolError("answer that matches no outstanding call")
        ops = self.waiting[0].ops
        if bytes(line.error):
            if b"Throttling" in bytes(line.error):
                self.sent_at, self.not_before = None, now + THROTTLED_RETRY_S
                self.turned_away += 1
                return
            if b"ValidationError" not in bytes(line.error):
                raise ProtocolError("error answer that is neither throttling nor a validation error")
            accepted = 0
        else:
            try:
                accepted = APPLY_RESULT_DECODER.decode(line.result).accepted
            except msgspec.DecodeError:
                raise ProtocolError("answer without the count of accepted operations") from None
            if not 0 <= accepted <= len(ops):
                raise ProtocolError("count of accepted operations out of range")
        self.sent_at, self.in_doubt, self.mark_seen = None, False, False
        if accepted < len(ops):
            # The refused operation is dropped. The mark is sent again with the rest, which is another message.
            self.refused += 1
            self.on_refused(ops[accepted][0])
            rest = ops[accepted + 1 :]
            marks = [row for row in ops[:accepted] if row[0]["do"] == "fence"]
            self.waiting[0].ops = marks + rest if rest else []
            self.waiting[0].mark_is_proof &= not accepted
        else:
            self._complete_first()


class Repeat(Enum):
    """Whether a call in doubt may be repeated now, and what its lines and messages are then."""

    NOT_YET = "the channel has no room for its lines twice"
    FIRST = "the first, since the call was not carried out"
    SECOND = "perhaps the second, since the call may have been carried out"


class Channel:
    """Load of the channel to the proxies that the module does not count: repeated calls, and orders of a module
    instance that has been replaced. Keeps the caps on lines and messages: the module may use only the remainder.

    Times are seconds on the loop's clock."""

    def __init__(self, facts: face.StartFacts) -> None:
        """Takes the caps, pace and transit time of the channel from `facts`."""
        self.cap, self.message_cap, self.message_span = facts.queue_cap, facts.message_cap, facts.message_span or 0.0
        self.lines_per_second, self.transit, self.observed_latency = facts.lines_per_second, facts.worst_transit, 0.0
        # Of each addition: time, lines, time by which they are delivered, messages to each proxy.
        self.rows: deque[tuple[float, float, float, int]] = deque()
        self.disproved_at = 0.0  # by then a mark would have been answered, had the call in doubt been carried out

    def observe_latency(self, took: float) -> None:
        """Records the seconds from an order to its answer, at most the time that a full channel needs at half its
        pace, so that no call waits for ever."""
        self.observed_latency = min(
            max(took, self.observed_latency * LATENCY_DECAY), 2 * self.cap / self.lines_per_second + self.transit
        )

    def _drain_time(self, lines: float) -> float:
        """Seconds until this many lines are delivered and answered. Guards against a channel that is slower than its
        configured pace for a while: the estimate is at least the recently observed latency."""
        return max(lines / self.lines_per_second + self.transit, self.observed_latency)

    def add(self, now: float, lines: float, before: float, messages: int = 1) -> None:
        """Adds lines that are delivered after `before` others, in `messages` messages to each proxy."""
        self.rows.append((now, lines, now + self._drain_time(before + self.lines(now) + lines), messages))

    def lines(self, now: float) -> float:
        """Lines still in the channel; forgets rows that count no longer."""
        while self.rows and max(self.rows[0][2], self.rows[0][0] + self.message_span) <= now:
            self.rows.popleft()
        return sum(lines for _, lines, out, _ in self.rows if now < out)

    def messages(self, now: float) -> int:
        """Messages to each proxy within the span of the message cap, by a module that has been replaced."""
        return sum(many for since, _, _, many in self.rows if now < since + self.message_span)

    def call_in_doubt(self, now: float, before: float) -> None:
        """Records that a call's result is unknown; `before`: the lines in the channel ahead of its own."""
        self.disproved_at = now + self._drain_time(before + self.lines(now))

    def may_repeat(
        self, now: float, lines: float, waiting: float, mark_seen: bool, messages_fit: bool = True
    ) -> Repeat:
        """Whether a call in doubt may be repeated: if the channel has room for its lines twice, or if a mark would have
        been answered by now, had it been carried out. In the first case, and if `mark_seen`, its lines are added.

        `waiting`: the lines that the module counts, including the call's own; `mark_seen`: its mark was answered;
        `messages_fit`: the message cap allows another message to each proxy that it concerns."""
        if now >= self.disproved_at and not mark_seen:
            return Repeat.FIRST
        lines_fit = waiting + self.lines(now) + lines <= self.cap
        if now < self.disproved_at and not (lines_fit and messages_fit):
            return Repeat.NOT_YET
        self.add(now, lines, waiting, messages=0)
        return Repeat.SECOND
