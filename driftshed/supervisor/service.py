"""HTTP API of a supervisor: maps requests to calls of the core. Paths and fields: docs/api.md."""

from __future__ import annotations

import time
from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from driftshed import interface as face
from driftshed.core.hub import ProxyRecord, Refused
from driftshed.core.instance import Instance
from driftshed.core.messages import Join, JoinAnswer, Report, RosterUpdate, encode_json, server_name
from driftshed.net.http import SOCKETS, Transport
from driftshed.net.http_server import Bounds, Request, ServerConnection
from driftshed.net.loop import Loop, Timer

DECODERS = {kind: msgspec.json.Decoder(kind) for kind in (Join, Report, RosterUpdate)}
STATE_NAMES = {face.READY: "ready", face.DRAINING: "draining"}

STOP_WITHIN_S, STOP_CHECK_INTERVAL_S = 0.5, 0.01


def error_body(reason: str) -> bytes:
    """JSON body of an error answer."""
    return encode_json({"error": reason})


class ProxyStream:
    """Stream of one joined proxy: its id, the connection that it uses, and the poll that the service holds open."""

    __slots__ = ("stream_id", "connection", "request", "timer", "record", "announced_supervisors")

    def __init__(self, record: ProxyRecord) -> None:
        """`record`: state of the proxy in the hub, which owns it. No poll is held yet."""
        self.record, self.stream_id = record, record.stream
        self.announced_supervisors: list[str] = []  # addresses last sent to the proxy
        self.connection: ServerConnection | None = None
        self.request: Request | None = None
        self.timer: Timer | None = None


class Service:
    """HTTP service of one instance: it owns the streams of joined proxies and schedules the turns of the instance."""

    def __init__(
        self,
        loop: Loop,
        instance: Instance,
        address: tuple[str, int],
        log,
        max_poll_wait: float = 20.0,
        silence_timeout: float = 3.0,
        bounds: Bounds = Bounds(),
        transport: Transport = SOCKETS,
    ) -> None:
        """Listens at `address` at once; raises OSError where it cannot. `max_poll_wait`: longest time in seconds that
        a poll is held; `silence_timeout`: seconds without a poll after which a stream ends; `log(event, **fields)` is
        called once per event."""
        self.loop, self.instance, self.log = loop, instance, log
        self.max_poll_wait, self.silence_timeout, self.bounds = max_poll_wait, silence_timeout, bounds
        self.streams: dict[int, ProxyStream] = {}
        self.stream_by_connection: dict[ServerConnection, ProxyStream] = {}
        self.timer: Timer | None = None
        self.turn_scheduled = False
        self.refused_requests, self.handing_over = 0, False
        self.highest_terms: dict[int, int] = {}  # highest term of the joins of each proxy
        self.live_supervisors: Callable[[], list[str]] = lambda: []  # addresses of the live supervisors
        self.views: dict[str, Callable[[], object]] = {
            "tables": self._view_tables,
            "servers": self._view_servers,
            "proxies": self._view_proxies,
            "roster": self._view_roster,
            "channel": self._view_channel,
        }
        # POST /v1/NAME: type of the body and handler; the handler raises Refused with a reason.
        self.actions: dict[str, tuple[type, Callable[[object], object]]] = {}
        self.not_ready_reason: Callable[[], str] = lambda: ""  # reason why joins are not accepted yet; "" if they are
        self.roster_source = ""  # source of the roster; "" if it is pushed
        self.started_at = loop.clock()
        # Called with each answer to a poll that carries changes, and with each poll, which acknowledges a version.
        self.on_message: Callable[[float, str, bool], object] | None = None
        self.http = transport.server(loop, address, self._handle, bounds, error_body)
        self.http.on_connection_end = self._connection_ended
        self.address = self.http.address
        instance.on_log = lambda text: log("decided", text=text)
        instance.on_fault = self._log_module_fault
        self._schedule_next_turn()

    def apply_overlay(self, listing: face.Listing) -> None:
        """Applies a changed overlay of the roster."""
        self.instance.pending_events.append(listing)
        self.schedule_turn()

    def apply_roster_update(self, news: RosterUpdate) -> None:
        """Applies an update of the roster, from any source. Raises Refused where the instance rejects it."""
        self.instance.apply_roster_update(news)
        self.log("roster", version=news.version, whole=news.whole, servers=len(news.servers))
        self.schedule_turn()

    # ---- turns ------------------------------------------------------------------------------------------------

    def schedule_turn(self) -> None:
        """Schedules a turn within one tick, so that events that arrive together are handled in one turn."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.after(self.instance.facts.tick, self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        for record in self.instance.turn(self.loop.clock()):
            stream = self.streams.get(record.proxy)
            if stream is not None and stream.request is not None:
                self._send_pending_changes(stream)
        self._schedule_next_turn()

    def _schedule_next_turn(self) -> None:
        due_at = self.instance.next_at()
        if self.timer is not None and self.timer.call is not None:
            if self.timer.at <= due_at + 1e-4 and self.timer.at > self.loop.now:
                return  # it fires early enough and schedules the next turn
            self.timer.cancel()
        self.timer = self.loop.at(due_at, self._run_turn)

    def _log_module_fault(self, fault) -> None:
        turns = [
            {"at": at, "events": [f"{type(e).__name__}{tuple(e)!r}"[:400] for e in events[:50]]}
            for at, events in fault.event_batches
        ]
        self.log("module_fault", level="error", error=fault.error, place=fault.place, turns=turns)

    # ---- requests ---------------------------------------------------------------------------------------------

    def _handle(self, request: Request) -> None:
        try:
            self._route(request)
        except Refused as error:
            self.refused_requests += 1
            self.log("refused", level="debug", path=request.path, status=error.status, reason=error.reason)
            request.answer(error.status, error_body(error.reason), extra="retry-after: 1\r\n" * (error.status == 503))
        except Exception as error:
            self.log("handler_fault", level="error", path=request.path, error=f"{type(error).__name__}: {error}")
            request.answer(500, error_body("a fault of the supervisor; it is in its log"))

    def _route(self, request: Request) -> None:
        parts = request.path.strip("/").split("/")
        method = request.method
        if parts[:2] == ["v1", "proxies"] and len(parts) == 4:
            proxy = self._parse_proxy_number(parts[2])
            if (method, parts[3]) == ("GET", "changes"):
                return self._handle_poll(request, proxy)
            if (method, parts[3]) == ("POST", "report"):
                return self._handle_report(request, proxy)
            if (method, parts[3]) == ("POST", "join"):
                return self._handle_join(request, proxy)
            if (method, parts[3]) == ("POST", "leave"):
                return self._handle_leave(request, proxy)
            if parts[3] in ("changes", "report", "join", "leave"):
                raise Refused(405, f"{method} is not a way to call {request.path}")
        if (method, parts) == ("POST", ["v1", "roster"]):
            if self.roster_source:
                raise Refused(
                    409, f"the list is followed at {self.roster_source}; push none, or leave --roster-connect out"
                )
            news = self._decode_body(request, RosterUpdate)
            self.apply_roster_update(news)
            return request.answer(200, encode_json({"version": news.version}))
        if method == "POST" and len(parts) == 2 and parts[0] == "v1" and parts[1] in self.actions:
            body_type, action = self.actions[parts[1]]
            return request.answer(200, encode_json(action(self._decode_body(request, body_type))))
        if len(parts) == 2 and parts[0] == "v1" and parts[1] in self.views:
            if method != "GET":
                raise Refused(405, f"{method} is not a way to call {request.path}")
            return request.answer(200, encode_json(self.views[parts[1]]()))
        raise Refused(404, f"there is nothing at {request.path[:200]}")

    @staticmethod
    def _parse_proxy_number(text: str) -> int:
        if not (text.isascii() and text.isdigit() and len(text) < 6 and int(text) < 65536):
            raise Refused(400, f"proxy {text[:64]!r}: a whole number below 65536 is wanted")
        return int(text)

    @staticmethod
    def _decode_body(request: Request, body_type: type):
        content_type = request.headers.get(b"content-type", b"").split(b";")[0].strip().lower()
        if content_type != b"application/json":
            raise Refused(415, "content-type must be application/json")
        try:
            return (DECODERS.get(body_type) or msgspec.json.Decoder(body_type)).decode(request.body)
        except msgspec.DecodeError as error:  # ValidationError is one
            raise Refused(400, str(error)) from None

    def _handle_join(self, request: Request, proxy: int) -> None:
        join = self._decode_body(request, Join)
        if self.handing_over:
            raise Refused(503, "this supervisor leaves; join another")
        if reason := self.not_ready_reason():
            raise Refused(503, reason)
        try:
            term = int(dict(parse_qsl(request.query)).get("term", "0"))
            if not 0 <= term < 2**32:
                raise ValueError
        except ValueError:
            raise Refused(400, "term: a whole number below 2^32 is wanted") from None
        # Guards against a delayed join: it would replace the current stream of the proxy.
        if term < self.highest_terms.get(proxy, 0):
            self.refused_requests += 1
            reason = f"term {term} of proxy {proxy} is over: it has joined with {self.highest_terms[proxy]}"
            return request.answer(409, encode_json({"error": reason, "term": self.highest_terms[proxy]}))
        record, replaced = self.instance.join(proxy, join, self.loop.now)
        self.highest_terms[proxy] = term
        replaced_stream = self.streams.pop(proxy, None)
        if replaced_stream is not None:
            self._end_held_poll(replaced_stream, 409, "replaced by a newer stream of this proxy")
        stream = self.streams[proxy] = ProxyStream(record)
        stream.announced_supervisors = self.live_supervisors()
        self._attach_connection(stream, request.connection)
        self._start_silence_timer(stream)
        self.log(
            "joined",
            proxy=proxy,
            zone=join.zone,
            version=record.acked,
            resumed=join.run == self.instance.hub.run,
            replaced=replaced,
        )
        self.schedule_turn()
        answer = JoinAnswer(
            self.instance.hub.run,
            record.stream,
            record.acked,
            list(self.instance.operations),
            self.max_poll_wait,
            self.instance.facts.report_period,
            stream.announced_supervisors,
            self.instance.policy,
        )
        request.answer(200, encode_json(answer))

    def _attach_connection(self, stream: ProxyStream, connection: ServerConnection) -> None:
        """Binds the stream to the connection of its last request; the stream ends with that connection."""
        if stream.connection is not connection:
            if self.stream_by_connection.get(stream.connection) is stream:
                del self.stream_by_connection[stream.connection]
            stream.connection = connection
            self.stream_by_connection[connection] = stream

    def _start_silence_timer(self, stream: ProxyStream) -> None:
        # Guards against a proxy that is cut off without a closed connection: its stream would never end.
        stream.timer = self.loop.after(self.silence_timeout, lambda: self._end_stream(stream, "silent"))

    def _handle_poll(self, request: Request, proxy: int) -> None:
        query = dict(parse_qsl(request.query))
        record = self.instance.record(proxy, query.get("stream", ""))
        try:
            after, wait = int(query.get("after", "")), float(query.get("wait", self.max_poll_wait))
            if after < 0 or not 0 <= wait < 1e6:
                raise ValueError
        except ValueError:
            raise Refused(400, "after=VERSION (a whole number) and wait=SECONDS (0 or more) are wanted") from None
        self.instance.ack(record, after, self.loop.now)
        if self.on_message:
            self.on_message(self.loop.now, f"{record.stream}/{after}/applied", False)
        stream = self.streams[proxy]
        if stream.request is not None:
            self._answer_held_poll(stream, 409, error_body("another poll of this stream came"))
        if stream.timer:
            stream.timer.cancel()
        self._attach_connection(stream, request.connection)
        stream.request = request
        if self.instance.pending_events:
            self.schedule_turn()
        body = self.instance.hub.update_body(record, self.loop.clock())
        if body is not None:
            self._send_changes(stream, body)
        elif self.http.closing:
            self._answer_held_poll(stream, 503, error_body("the supervisor stops; dial again"))
        else:
            request.on_client_closed = lambda: self._connection_ended(request.connection, "ended")
            stream.timer = self.loop.after(min(wait, self.max_poll_wait), lambda: self._poll_timed_out(stream))

    def _poll_timed_out(self, stream: ProxyStream) -> None:
        self._answer_held_poll(
            stream, 200, self._add_fleet_fields(stream, self.instance.hub.empty_update_body(stream.record))
        )

    def _add_fleet_fields(self, stream: ProxyStream, body: bytes) -> bytes:
        """Adds the live supervisors, where they have changed since last sent, and the policy version to an answer.

        Guards against proxies that joined before this supervisor knew the others: they would all connect to the same
        next supervisor when this one stops."""
        living = self.live_supervisors()
        if living and living != stream.announced_supervisors:
            stream.announced_supervisors = living
            body = body[:-1] + b',"supervisors":' + encode_json(living) + b"}"
        # Guards against orders of an older policy: a proxy that has applied a newer one rejects them by this version.
        return body[:-1] + b',"policy":%d}' % self.instance.policy if self.instance.policy else body

    def _send_pending_changes(self, stream: ProxyStream) -> None:
        body = self.instance.hub.update_body(stream.record, self.loop.clock())
        if body is not None:
            self._send_changes(stream, body)

    def _send_changes(self, stream: ProxyStream, body: bytes) -> None:
        if self.on_message:
            self.on_message(self.loop.clock(), f"{stream.stream_id}/{stream.record.version}/told", True)
        self._answer_held_poll(stream, 200, self._add_fleet_fields(stream, body))

    def _answer_held_poll(self, stream: ProxyStream, status: int, body: bytes, extra: str = "") -> None:
        if stream.timer:
            stream.timer.cancel()
        request, stream.request = stream.request, None
        self._start_silence_timer(stream)
        request.answer(status, body, extra=extra)

    def _end_held_poll(self, stream: ProxyStream, status: int, reason: str) -> None:
        if stream.timer:
            stream.timer.cancel()
        if self.stream_by_connection.get(stream.connection) is stream:
            del self.stream_by_connection[stream.connection]
        request, stream.request = stream.request, None
        if request is not None:
            request.answer(status, error_body(reason))

    def _handle_report(self, request: Request, proxy: int) -> None:
        report = self._decode_body(request, Report)
        record = self.instance.record(proxy, report.stream)
        self.instance.report(record, report, self.loop.now)
        request.answer(200, b"{}")

    def _handle_leave(self, request: Request, proxy: int) -> None:
        self.instance.record(proxy, dict(parse_qsl(request.query)).get("stream", ""))
        self._end_stream(self.streams[proxy], "said so")
        request.answer(200, b"{}")

    def _connection_ended(self, connection: ServerConnection, reason: str) -> None:
        stream = self.stream_by_connection.pop(connection, None)
        if stream is not None:
            self._end_stream(stream, reason)

    def _end_stream(self, stream: ProxyStream, reason: str) -> None:
        proxy = stream.record.proxy
        del self.streams[proxy]
        self._end_held_poll(stream, 409, f"the stream has ended: {reason}")
        self.instance.leave(proxy)
        self.log("left", proxy=proxy, reason=reason)
        self.schedule_turn()

    # ---- views ------------------------------------------------------------------------------------------------

    def _view_tables(self) -> dict:
        hub = self.instance.hub
        levels: dict[int, list] = {}
        for level in hub.levels.values():
            levels.setdefault(level.table, []).append(level)
        return {
            "run": hub.run,
            "tables": {t: {server: line.weight for server, line in lines.items()} for t, lines in hub.tables.items()},
            "levels": {
                table: {
                    list(self.instance.operations)[level.operation]: [level.level, level.tries]
                    for level in table_levels
                }
                for table, table_levels in levels.items()
            },
            "out": sorted(hub.out),
            "proxies": {table: list(users) for table, users in hub.users.items()},
        }

    def _view_servers(self) -> list[dict]:
        """Every listed server: its lines, and the reason why it has none or is withdrawn."""
        hub, roster, now = self.instance.hub, self.instance.roster, self.loop.now
        rows = []
        for entry in roster.entries.values():
            name = server_name(entry.server)
            lines = {
                table: table_lines[name].weight for table, table_lines in hub.tables.items() if name in table_lines
            }
            last_reason = self.instance.server_reasons.get(name)
            why = ""
            if entry.state != face.READY:
                why = f"listed as {STATE_NAMES[entry.state]}"
            elif name in hub.out:
                why = f"{now - last_reason[0]:.1f} s ago: {last_reason[1]}" if last_reason else "withdrawn"
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

    def _view_proxies(self) -> list[dict]:
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

    def _view_roster(self) -> dict:
        return {"version": self.instance.roster.version, "servers": len(self.instance.roster.entries)}

    def _view_channel(self) -> dict:
        hub = self.instance.hub
        return {
            "waiting": hub.channel.waiting,
            "most_waiting": hub.channel.most_waiting,
            "cap": self.instance.facts.queue_cap,
            "messages": hub.messages_sent,
            "joined": len(self.streams),
            "connections": len(self.http.connections),
            "faults": self.instance.faults,
            "refused": self.refused_requests,
            "up": self.loop.clock() - self.started_at,
            "cpu": time.process_time(),
        }

    def hand_over(self, pause: Callable[[int], float], on_done: Callable[[], object]) -> None:
        """Rejects joins and redirects the joined proxies to other supervisors, one after the other. `pause(lines)`:
        seconds until the next proxy, given the number of lines of the largest tables held. Calls `on_done()` once no
        proxy is left."""
        self.handing_over = True
        largest = max((len(stream.record.held) for stream in self.streams.values()), default=0)

        def hand_over_next() -> None:
            if not self.streams:
                on_done()
                return
            stream = next((stream for stream in self.streams.values() if stream.request is not None), None)
            if stream is not None:
                self._answer_held_poll(
                    stream, 503, error_body("the supervisor leaves; dial another"), "retry-after: 0\r\n"
                )
            self.loop.after(pause(largest), hand_over_next)

        hand_over_next()

    def stop(self) -> None:
        """Answers every held poll with 503, then closes the server and stops the loop."""
        self.http.closing = True
        for stream in list(self.streams.values()):
            if stream.request is not None:
                self._answer_held_poll(stream, 503, error_body("the supervisor stops; dial again"))
        self._stop_when_idle(self.loop.clock() + STOP_WITHIN_S)

    def _stop_when_idle(self, deadline: float) -> None:
        """Guards against requests that were read and are closed with no answer."""
        if self.http.is_idle or self.loop.clock() >= deadline:
            self.loop.soon(lambda: (self.http.close(), self.loop.stop()))
        else:
            self.loop.after(STOP_CHECK_INTERVAL_S, lambda: self._stop_when_idle(deadline))
