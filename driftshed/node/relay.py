"""Calls of the relay and its news, without I/O: what to write, what an answer means, and what is told."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from driftshed import interface as face
from driftshed.node.codec import LINE, TAKEN, Bad, Facts, call
from driftshed.node.jsonlines import Lines, TooLong

MOST_OPS = 60_000 - 200  # bytes of one call's orders, with room for what is around them
ANSWER_WITHIN = 0.05  # seconds, as the platform says; then it does not come
LATE_FOR_US = 0.05  # that an answer may have waited for our turn
TURNED_AWAY = 0.05  # seconds until a call that was turned away goes again


class Spoilt(Exception):
    """The connection cannot be read any more; what the call under way came to is not known."""


class Orders:
    """The replies of the module on their way: one call out at a time, in the module's order. Where it is not known
    what a call came to, the same call goes again before anything later: orders are absolute, so that it brings about
    the same whether it was carried out before or not."""

    def __init__(self) -> None:
        self.waiting: deque[list[tuple[dict, bytes]]] = deque()  # calls: orders, and as encoded
        self.number = 0
        self.sent_at: float | None = None  # of the first of `waiting`, on the present connection
        self.not_before = 0.0
        self.repeats = self.refused = self.turned_away = self.calls = 0
        self.lines = Lines()
        self.on_refused: Callable[[dict], object] = lambda op: None

    def give(self, ops: list[dict]) -> None:
        """One reply of the module: one call where it fits, else several. The mark that ends it goes with each."""
        mark = [(op, msgspec.json.encode(op)) for op in ops if op["do"] == "fence"]
        size, calls = 0, [list(mark)]
        for op in ops:
            if op["do"] == "fence":
                continue
            text = msgspec.json.encode(op)
            if size + len(text) + 1 > MOST_OPS:
                size, calls = 0, [*calls, list(mark)]
            calls[-1].append((op, text))
            size += len(text) + 1
        self.waiting += [each for each in calls if each]

    def shed(self, gone: Callable[[int], bool]) -> None:
        """Drops what waits for proxies that have left."""
        for place, ops in enumerate(self.waiting):
            if place or self.sent_at is None:
                ops[:] = [(op, text) for op, text in ops if not (op["do"] == "attach" and gone(op["id"]))]

    def opened(self) -> None:
        """A new connection stands."""
        self.lines, self.sent_at = Lines(), None

    def lost(self) -> None:
        """The connection is over, or given up."""
        self.repeats += self.sent_at is not None
        self.sent_at = None

    def next(self, now: float) -> bytes | None:
        """The call to write now, if any."""
        while self.waiting and not self.waiting[0]:
            self.waiting.popleft()
        if not self.waiting or self.sent_at is not None or now < self.not_before:
            return None
        self.number += 1
        self.calls += 1
        self.sent_at = now
        return call(self.number, "relay.apply", [text for _, text in self.waiting[0]])

    def next_at(self) -> float | None:
        """When something is due though nothing comes."""
        if self.sent_at is not None:
            return self.sent_at + ANSWER_WITHIN + LATE_FOR_US
        return self.not_before if self.waiting else None

    def late(self, now: float) -> bool:
        """Whether the answer that is awaited does not come any more."""
        return self.sent_at is not None and now >= self.next_at()

    def take(self, data: bytes, now: float) -> None:
        """What came on the connection. Spoilt: give it up."""
        try:
            lines = self.lines.take(data)
        except TooLong as error:
            raise Spoilt(str(error)) from None
        for text in lines:
            self._answer(text, now)

    def _answer(self, text: bytes, now: float) -> None:
        try:
            line = LINE.decode(text)
        except msgspec.DecodeError as error:
            raise Spoilt(f"an answer that cannot be read: {error}: {text[:200]!r}") from None
        if self.sent_at is None or line.id != self.number or bool(bytes(line.result)) == bool(bytes(line.error)):
            raise Spoilt("an answer to nothing that was asked")
        ops = self.waiting[0]
        if bytes(line.error):
            if b"Throttling" in bytes(line.error):
                self.sent_at, self.not_before = None, now + TURNED_AWAY
                self.turned_away += 1
                return
            if b"ValidationError" not in bytes(line.error):
                raise Spoilt("an error that says nothing of the orders")
            taken = 0
        else:
            try:
                taken = TAKEN.decode(line.result).accepted
            except msgspec.DecodeError:
                raise Spoilt("an answer without its count") from None
            if not 0 <= taken <= len(ops):
                raise Spoilt("a count out of range")
        self.sent_at = None
        if taken < len(ops):
            # The order that it stopped at is dropped; the mark goes again with the rest, which is another message.
            self.refused += 1
            self.on_refused(ops[taken][0])
            rest = ops[taken + 1 :]
            marks = [each for each in ops[:taken] if each[0]["do"] == "fence"]
            ops = marks + rest if rest else []
            self.waiting[0] = ops
        else:
            self.waiting.popleft()


class Joins:
    """Who is joined, by all that the connections with news tell. Streams begin and end in turns, so the count of a
    proxy's beginnings and ends tells how far each connection is: what one tells that another has told changes nothing.
    """

    def __init__(self) -> None:
        self.held: dict[int, face.Joined] = {}
        self.count: dict[int, int] = {}  # beginnings and ends of each proxy's streams; odd while it is joined
        self.answered: dict[int, int] = {}  # the last mark of each

    def hear(self, event: object, place: int) -> list:
        """A beginning or an end that is a proxy's `place`-th; the events that it makes."""
        proxy = event.proxy
        if place <= self.count.get(proxy, 0):
            return []
        self.count[proxy] = place
        self.answered.pop(proxy, None)
        if place % 2:
            self.held[proxy] = event
        else:
            self.held.pop(proxy, None)
        return [event]

    def answer(self, applied: face.Applied) -> list:
        if applied.proxy not in self.held or self.answered.get(applied.proxy) == applied.mark:
            return []
        self.answered[applied.proxy] = applied.mark
        return [applied]


class News:
    """One connection that tells of proxies, from what stands when it begins."""

    def __init__(self, facts: Facts, joins: Joins) -> None:
        self.facts, self.joins = facts, joins
        self.lines = Lines(1 << 16)
        self.standing: set[int] | None = None  # who stands, while that is being told
        self.spoke = False  # it has told what stands, in full
        self.place: dict[int, int] = {}  # of each proxy, as far as this connection is

    def ask(self) -> bytes:
        """What to write when the connection stands."""
        return call(1, "relay.watch")

    def take(self, data: bytes) -> list:
        """The events that the module is to hear. Spoilt: give the connection up."""
        try:
            lines = self.lines.take(data)
        except TooLong as error:
            raise Spoilt(str(error)) from None
        return [event for text in lines if text for event in self._line(text)]

    def _line(self, text: bytes) -> list:
        try:
            line = LINE.decode(text)
            event = self.facts.news(line.method, line.params)
        except (msgspec.DecodeError, Bad) as error:
            raise Spoilt(f"news that cannot be read: {error}: {text[:200]!r}") from None
        if not line.method:
            if line.id != 1 or bytes(line.result) != b"true":
                raise Spoilt("the watch was not granted")
            self.standing = set()
            return []
        if isinstance(event, face.Joined) and self.standing is not None and event.proxy not in self.standing:
            self.standing.add(event.proxy)
            self.place[event.proxy] = self.joins.count.get(event.proxy, 0) | 1
            return self.joins.hear(event, self.place[event.proxy])
        events = self._settle() if event is not None or line.method == "ping" else []
        if isinstance(event, face.Applied):
            return events + self.joins.answer(event)
        if event is None:
            return events
        place = self.place.get(event.proxy, 0) + 1
        if place % 2 != isinstance(event, face.Joined):
            raise Spoilt("a stream that began or ended twice")
        self.place[event.proxy] = place
        return events + self.joins.hear(event, place)

    def _settle(self) -> list:
        """All that stands has been told: who was joined and does not stand has left unseen."""
        if self.standing is None:
            return []
        standing, self.standing, self.spoke = self.standing, None, True
        events = []
        for proxy, place in list(self.joins.count.items()):
            if proxy not in standing:
                self.place[proxy] = place + place % 2
                events += self.joins.hear(face.Left(proxy), self.place[proxy])
        return events
