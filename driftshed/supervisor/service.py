"""The API of a supervisor: HTTP requests in, calls of the core, answers out. Paths and fields: docs/api.md."""

from __future__ import annotations

import time
from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from driftshed import interface as face
from driftshed.core.hub import Record, Refused
from driftshed.core.instance import Instance
from driftshed.core.messages import Join, JoinAnswer, Report, RosterNews, encode, server_name
from driftshed.net.http import SOCKETS, Bounds, Request, ServerConnection, Transport
from driftshed.net.loop import Loop, Timer

DECODERS = {kind: msgspec.json.Decoder(kind) for kind in (Join, Report, RosterNews)}
STATE_NAMES = {face.READY: "ready", face.DRAINING: "draining"}


def refusal(reason: str) -> bytes:
    return encode({"error": reason})


class Poll:
    """What the service holds of one joined proxy: its stream, the connection it is on, the poll that waits."""

    __slots__ = ("stream", "connection", "request", "timer", "record", "living")

    def __init__(self, record: Record) -> None:
        self.record, self.stream = record, record.stream
        self.living: list[str] = []  # the supervisors that the proxy was told of
        self.connection: ServerConnection | None = None
        self.request: Request | None = None
        self.timer: Timer | None = None


class Service:
    """Serves one instance. `wait_most`: seconds that a poll is held at the most; `silence`: a stream without a poll
    for so long has ended. `log(event, **fields)` gets one event a thing that happened."""

    def __init__(
        self,
        loop: Loop,
        instance: Instance,
        address: tuple[str, int],
        log,
        wait_most: float = 20.0,
        silence: float = 3.0,
        bounds: Bounds = Bounds(),
        transport: Transport = SOCKETS,
    ) -> None:
        self.loop, self.instance, self.log = loop, instance, log
        self.wait_most, self.silence, self.bounds = wait_most, silence, bounds
        self.polls: dict[int, Poll] = {}
        self.on_connection: dict[ServerConnection, Poll] = {}
        self.timer: Timer | None = None
        self.turn_due = False
        self.refused, self.leaving = 0, False
        self.terms: dict[int, int] = {}  # the highest term that each proxy has joined with
        self.living: Callable[[], list[str]] = lambda: []  # addresses of the supervisors that are there
        self.views: dict[str, Callable[[], object]] = {
            "tables": self._tables,
            "servers": self._servers,
            "proxies": self._proxies,
            "roster": self._roster,
            "channel": self._channel,
        }
        # POST /v1/NAME: what a body is decoded as, and what is done with it; a Refused says why not.
        self.actions: dict[str, tuple[type, Callable[[object], object]]] = {}
        self.waits: Callable[[], str] = lambda: ""  # why no proxy is taken yet
        self.followed = ""  # where the list comes from, unless it is pushed
        self.began = loop.clock()
        # Called with each answer to a poll that tells something, and with each poll that says what is applied.
        self.on_message: Callable[[float, str, bool], object] | None = None
        self.http = transport.server(loop, address, self._handle, bounds, refusal)
        self.http.on_connection_end = self._connection_ended
        self.address = self.http.address
        instance.on_log = lambda text: log("decided", text=text)
        instance.on_fault = self._fault
        self._schedule()

    def hear_overlaid(self, listing: face.Listing) -> None:
        """What is laid over the list has changed."""
        self.instance.news.append(listing)
        self.soon()

    def hear_roster(self, news: RosterNews) -> None:
        """News of the list, from whoever tells it. Refused: as the instance has it."""
        self.instance.hear_roster(news)
        self.log("roster", version=news.version, whole=news.whole, servers=len(news.servers))
        self.soon()

    # ---- turns ------------------------------------------------------------------------------------------------

    def soon(self) -> None:
        """A turn within the tick, so that what comes in together is heard together."""
        if not self.turn_due:
            self.turn_due = True
            self.loop.after(self.instance.facts.tick, self._turn)

    def _turn(self) -> None:
        self.turn_due = False
        for record in self.instance.turn(self.loop.clock()):
            poll = self.polls.get(record.proxy)
            if poll is not None and poll.request is not None:
                self._answer_poll(poll)
        self._schedule()

    def _schedule(self) -> None:
        at = self.instance.next_at()
        if self.timer is not None and self.timer.call is not None:
            if self.timer.at <= at + 1e-4 and self.timer.at > self.loop.now:
                return  # it wakes early enough; the next is set then
            self.timer.cancel()
        self.timer = self.loop.at(at, self._turn)

    def _fault(self, fault) -> None:
        turns = [
            {"at": at, "events": [f"{type(e).__name__}{tuple(e)!r}"[:400] for e in events[:50]]}
            for at, events in fault.turns
        ]
        self.log("module_fault", level="error", error=fault.error, place=fault.place, turns=turns)

    # ---- requests ---------------------------------------------------------------------------------------------

    def _handle(self, request: Request) -> None:
        try:
            self._route(request)
        except Refused as error:
            self.refused += 1
            self.log("refused", level="debug", path=request.path, status=error.status, reason=error.reason)
            request.answer(error.status, refusal(error.reason), extra="retry-after: 1\r\n" * (error.status == 503))
        except Exception as error:
            self.log("handler_fault", level="error", path=request.path, error=f"{type(error).__name__}: {error}")
            request.answer(500, refusal("a fault of the supervisor; it is in its log"))

    def _route(self, request: Request) -> None:
        parts = request.path.strip("/").split("/")
        method = request.method
        if parts[:2] == ["v1", "proxies"] and len(parts) == 4:
            proxy = self._proxy(parts[2])
            if (method, parts[3]) == ("GET", "changes"):
                return self._changes(request, proxy)
            if (method, parts[3]) == ("POST", "report"):
                return self._report(request, proxy)
            if (method, parts[3]) == ("POST", "join"):
                return self._join(request, proxy)
            if (method, parts[3]) == ("POST", "leave"):
                return self._leave(request, proxy)
            if parts[3] in ("changes", "report", "join", "leave"):
                raise Refused(405, f"{method} is not a way to call {request.path}")
        if (method, parts) == ("POST", ["v1", "roster"]):
            if self.followed:
                raise Refused(409, f"the list is followed at {self.followed}; push none, or leave --roster-connect out")
            news = self._body(request, RosterNews)
            self.hear_roster(news)
            return request.answer(200, encode({"version": news.version}))
        if method == "POST" and len(parts) == 2 and parts[0] == "v1" and parts[1] in self.actions:
            kind, act = self.actions[parts[1]]
            return request.answer(200, encode(act(self._body(request, kind))))
        if len(parts) == 2 and parts[0] == "v1" and parts[1] in self.views:
            if method != "GET":
                raise Refused(405, f"{method} is not a way to call {request.path}")
            return request.answer(200, encode(self.views[parts[1]]()))
        raise Refused(404, f"there is nothing at {request.path[:200]}")

    @staticmethod
    def _proxy(text: str) -> int:
        if not (text.isascii() and text.isdigit() and len(text) < 6 and int(text) < 65536):
            raise Refused(400, f"proxy {text[:64]!r}: a whole number below 65536 is wanted")
        return int(text)

    @staticmethod
    def _body(request: Request, kind: type):
        given = request.headers.get(b"content-type", b"").split(b";")[0].strip().lower()
        if given != b"application/json":
            raise Refused(415, "content-type must be application/json")
        try:
            return (DECODERS.get(kind) or msgspec.json.Decoder(kind)).decode(request.body)
        except msgspec.DecodeError as error:  # ValidationError is one
            raise Refused(400, str(error)) from None

    def _join(self, request: Request, proxy: int) -> None:
        join = self._body(request, Join)
        if self.leaving:
            raise Refused(503, "this supervisor leaves; join another")
        if why := self.waits():
            raise Refused(503, why)
        try:
            term = int(dict(parse_qsl(request.query)).get("term", "0"))
            if not 0 <= term < 2**32:
                raise ValueError
        except ValueError:
            raise Refused(400, "term: a whole number below 2^32 is wanted") from None
        # Guards against a join that was held up on its way: it would replace the stream that the proxy is on now.
        if term < self.terms.get(proxy, 0):
            self.refused += 1
            why = f"term {term} of proxy {proxy} is over: it has joined with {self.terms[proxy]}"
            return request.answer(409, encode({"error": why, "term": self.terms[proxy]}))
        record, replaced = self.instance.join(proxy, join, self.loop.now)
        self.terms[proxy] = term
        old = self.polls.pop(proxy, None)
        if old is not None:
            self._end_poll(old, 409, "replaced by a newer stream of this proxy")
        poll = self.polls[proxy] = Poll(record)
        poll.living = self.living()
        self._listen(poll, request.connection)
        self._await_poll(poll)
        self.log(
            "joined",
            proxy=proxy,
            zone=join.zone,
            version=record.acked,
            resumed=join.run == self.instance.hub.run,
            replaced=replaced,
        )
        self.soon()
        answer = JoinAnswer(
            self.instance.hub.run,
            record.stream,
            record.acked,
            list(self.instance.operations),
            self.wait_most,
            self.instance.facts.report_period,
            poll.living,
            self.instance.policy,
        )
        request.answer(200, encode(answer))

    def _listen(self, poll: Poll, connection: ServerConnection) -> None:
        """The stream is on the connection that it was last heard on; when that ends, so does the stream."""
        if poll.connection is not connection:
            if self.on_connection.get(poll.connection) is poll:
                del self.on_connection[poll.connection]
            poll.connection = connection
            self.on_connection[connection] = poll

    def _await_poll(self, poll: Poll) -> None:
        # Guards against a proxy that is cut off without a word: its stream would stand for ever.
        poll.timer = self.loop.after(self.silence, lambda: self._left(poll, "silent"))

    def _changes(self, request: Request, proxy: int) -> None:
        asked = dict(parse_qsl(request.query))
        record = self.instance.record(proxy, asked.get("stream", ""))
        try:
            after, wait = int(asked.get("after", "")), float(asked.get("wait", self.wait_most))
            if after < 0 or not 0 <= wait < 1e6:
                raise ValueError
        except ValueError:
            raise Refused(400, "after=VERSION (a whole number) and wait=SECONDS (0 or more) are wanted") from None
        self.instance.ack(record, after, self.loop.now)
        if self.on_message:
            self.on_message(self.loop.now, f"{record.stream}/{after}/applied", False)
        poll = self.polls[proxy]
        if poll.request is not None:
            self._answer(poll, 409, refusal("another poll of this stream came"))
        if poll.timer:
            poll.timer.cancel()
        self._listen(poll, request.connection)
        poll.request = request
        if self.instance.news:
            self.soon()
        body = self.instance.hub.news(record, self.loop.clock())
        if body is not None:
            self._tell(poll, body)
        else:
            poll.timer = self.loop.after(min(wait, self.wait_most), lambda: self._poll_over(poll))

    def _poll_over(self, poll: Poll) -> None:
        self._answer(poll, 200, self._with_living(poll, self.instance.hub.no_news(poll.record)))

    def _with_living(self, poll: Poll, body: bytes) -> bytes:
        """Guards against proxies that joined before this supervisor knew the others: they would all dial the same next
        one when it goes."""
        living = self.living()
        if living and living != poll.living:
            poll.living = living
            body = body[:-1] + b',"supervisors":' + encode(living) + b"}"
        # Guards against orders of an older policy: a proxy that has heeded a newer one turns them down by this.
        return body[:-1] + b',"policy":%d}' % self.instance.policy if self.instance.policy else body

    def _answer_poll(self, poll: Poll) -> None:
        body = self.instance.hub.news(poll.record, self.loop.clock())
        if body is not None:
            self._tell(poll, body)

    def _tell(self, poll: Poll, body: bytes) -> None:
        if self.on_message:
            self.on_message(self.loop.clock(), f"{poll.stream}/{poll.record.version}/told", True)
        self._answer(poll, 200, self._with_living(poll, body))

    def _answer(self, poll: Poll, status: int, body: bytes, extra: str = "") -> None:
        if poll.timer:
            poll.timer.cancel()
        request, poll.request = poll.request, None
        self._await_poll(poll)
        request.answer(status, body, extra=extra)

    def _end_poll(self, poll: Poll, status: int, reason: str) -> None:
        if poll.timer:
            poll.timer.cancel()
        if self.on_connection.get(poll.connection) is poll:
            del self.on_connection[poll.connection]
        request, poll.request = poll.request, None
        if request is not None:
            request.answer(status, refusal(reason))

    def _report(self, request: Request, proxy: int) -> None:
        report = self._body(request, Report)
        record = self.instance.record(proxy, report.stream)
        self.instance.report(record, report, self.loop.now)
        request.answer(200, b"{}")

    def _leave(self, request: Request, proxy: int) -> None:
        self.instance.record(proxy, dict(parse_qsl(request.query)).get("stream", ""))
        self._left(self.polls[proxy], "said so")
        request.answer(200, b"{}")

    def _connection_ended(self, connection: ServerConnection, reason: str) -> None:
        poll = self.on_connection.pop(connection, None)
        if poll is not None:
            self._left(poll, reason)

    def _left(self, poll: Poll, reason: str) -> None:
        proxy = poll.record.proxy
        del self.polls[proxy]
        self._end_poll(poll, 409, f"the stream has ended: {reason}")
        self.instance.leave(proxy)
        self.log("left", proxy=proxy, reason=reason)
        self.soon()

    # ---- views ------------------------------------------------------------------------------------------------

    def _tables(self) -> dict:
        hub = self.instance.hub
        levels: dict[int, list] = {}
        for level in hub.levels.values():
            levels.setdefault(level.table, []).append(level)
        return {
            "run": hub.run,
            "tables": {t: {server: line.weight for server, line in lines.items()} for t, lines in hub.tables.items()},
            "levels": {
                table: {list(self.instance.operations)[level.operation]: [level.level, level.tries] for level in each}
                for table, each in levels.items()
            },
            "out": sorted(hub.out),
            "proxies": {table: list(users) for table, users in hub.users.items()},
        }

    def _servers(self) -> list[dict]:
        """Every listed server: its lines, and why it has none or is out."""
        hub, roster, now = self.instance.hub, self.instance.roster, self.loop.now
        rows = []
        for entry in roster.entries.values():
            name = server_name(entry.server)
            lines = {table: each[name].weight for table, each in hub.tables.items() if name in each}
            said = self.instance.why.get(name)
            why = ""
            if entry.state != face.READY:
                why = f"listed as {STATE_NAMES[entry.state]}"
            elif name in hub.out:
                why = f"{now - said[0]:.1f} s ago: {said[1]}" if said else "withdrawn"
            elif not lines:
                why = "listed, and no line ordered yet"
            elif entry.started is not None and now - entry.started < self.instance.facts.warm_within:
                why = f"in, with less weight: started {now - entry.started:.1f} s ago and may be cold"
            rows.append(
                {
                    "server": name,
                    "zone": self.instance.facts.zones[entry.zone],
                    "lines": lines,
                    "state": STATE_NAMES[entry.state],
                    "out": name in hub.out,
                    "why": why,
                }
            )
        return rows

    def _proxies(self) -> list[dict]:
        return [
            {
                "proxy": record.proxy,
                "zone": self.instance.facts.zones[record.zone],
                "joined": record.joined,
                "tables": sorted(set(record.bound.values())),
                "version": record.version,
                "applied": record.acked,
            }
            for record in self.instance.hub.records.values()
        ]

    def _roster(self) -> dict:
        return {"version": self.instance.roster.version, "servers": len(self.instance.roster.entries)}

    def _channel(self) -> dict:
        hub = self.instance.hub
        return {
            "waiting": hub.channel.waiting,
            "most_waiting": hub.channel.most_waiting,
            "cap": self.instance.facts.queue_cap,
            "messages": hub.messages_sent,
            "joined": len(self.polls),
            "connections": len(self.http.connections),
            "faults": self.instance.faults,
            "refused": self.refused,
            "up": self.loop.clock() - self.began,
            "cpu": time.process_time(),
        }

    def hand_over(self, pause: Callable[[int], float], done: Callable[[], object]) -> None:
        """Takes no more proxies and sends those that it has elsewhere, one after the other; `pause(lines)`: seconds
        until the next, where the largest tables held are of so many lines. `done()` once none is left."""
        self.leaving = True
        largest = max((len(poll.record.held) for poll in self.polls.values()), default=0)

        def one() -> None:
            if not self.polls:
                done()
                return
            poll = next((poll for poll in self.polls.values() if poll.request is not None), None)
            if poll is not None:
                self._answer(poll, 503, refusal("the supervisor leaves; dial another"), "retry-after: 0\r\n")
            self.loop.after(pause(largest), one)

        one()

    def stop(self) -> None:
        """Owes an answer to every poll that waits: it is told that the supervisor stops; then all ends."""
        self.http.closing = True
        for poll in list(self.polls.values()):
            if poll.request is not None:
                self._answer(poll, 503, refusal("the supervisor stops; dial again"))
        self.loop.soon(lambda: (self.http.close(), self.loop.stop()))
