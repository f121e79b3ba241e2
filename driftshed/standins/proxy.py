"""A simple proxy that follows its tables: it joins, polls, picks by weight, tries again as told, and reports. It judges
no server by itself."""

from __future__ import annotations

from random import Random
from urllib.parse import parse_qsl

import msgspec

from driftshed import interface as face
from driftshed.core.holding import fold, lines_of
from driftshed.core.messages import Changes, Join, JoinAnswer, OperationReport, Report, ServerReport, encode
from driftshed.net.http import Answer, Bounds, HttpClient, HttpServer, Request
from driftshed.net.loop import Loop

CHANGES, JOINED = msgspec.json.Decoder(Changes), msgspec.json.Decoder(JoinAnswer)
POLL = 10.0  # seconds that a poll waits
DIAL_AGAIN = (0.1, 0.8)  # seconds, drawn evenly


class Invocation:
    """One client's request under way."""

    __slots__ = ("request", "operation", "query", "began", "tried", "call", "tries")

    def __init__(self, request: Request, operation: face.Operation, query: str, began: float) -> None:
        self.request, self.operation, self.query, self.began = request, operation, query, began
        self.tried: list[str] = []
        self.tries: list[tuple[float, float, str]] = []  # began after the first, took, what came of it
        self.call = None


class ProxyStandin:
    """Listens for clients at `address` and sends from its host; `control` is where it meets a supervisor."""

    def __init__(
        self, loop: Loop, number: int, zone: str, rate: float, address: tuple[str, int], control: tuple[str, int],
        facts: face.StartFacts, standing: list[str], seed: int, tap=None, trace=None,
    ) -> None:  # fmt: skip
        self.trace = trace  # called as trace(kind, at, **fields) with what a trace of this proxy holds
        self.loop, self.number, self.zone, self.rate, self.facts = loop, number, zone, rate, facts
        self.random = Random(seed)
        self.operations = {operation.name: place for place, operation in enumerate(facts.operations)}
        self.standing = dict.fromkeys(standing, 1.0)
        self.held: dict[tuple, object] = {}
        self.run, self.version, self.stream, self.joins = None, 0, "", 0
        self.source = address[0]
        self.control = HttpClient(loop, control, self.source, idle_most=1)
        self.reports = HttpClient(loop, control, self.source, idle_most=1)
        self.servers: dict[str, HttpClient] = {}
        self.out_now: dict[str, int] = {}
        self.met: dict[str, list] = {}  # tries, errored, time of the good, load
        self.came = [[0, 0] for _ in facts.operations]
        self.lines: list[dict[str, float] | None] = [None] * len(facts.operations)
        self.http = HttpServer(loop, address, self._ask, Bounds(connections=2000))
        self.http.on_connection = tap
        self._join()
        loop.after(facts.report_period * self.random.random(), self._report)

    # ---- the control plane ------------------------------------------------------------------------------------

    def _join(self) -> None:
        self.stream, self.joins = "", self.joins + 1
        join = Join(self.zone, self.rate, self.run is None, self.run, self.version)
        self.control.close()
        self.control.call("POST", f"/v1/proxies/{self.number}/join", encode(join), self._joined, 2.0, fresh=True)

    def _again(self) -> None:
        self.stream = ""
        self.loop.after(self.random.uniform(*DIAL_AGAIN), self._join)

    def _joined(self, answer: Answer) -> None:
        if answer.status == 409:
            self.run, self.version = None, 0  # what it holds is not known there
        if answer.status != 200:
            self._again()
            return
        joined = JOINED.decode(answer.body)
        if joined.run != self.run:
            self.run, self.version = joined.run, joined.version
        self.stream = joined.stream
        self._poll()

    def _poll(self) -> None:
        path = f"/v1/proxies/{self.number}/changes?stream={self.stream}&after={self.version}&wait={POLL}"
        if self.trace:
            self.trace("message", self.loop.clock(), id=f"{self.stream}/{self.version}/applied", sent=1)
        self.control.call("GET", path, b"", self._told, POLL + 2)

    def _told(self, answer: Answer) -> None:
        if answer.status != 200:
            self._again()
            return
        changes = CHANGES.decode(answer.body)
        fold(self.held, changes.changes, changes.whole)
        self.version = changes.version
        if changes.changes:
            if self.trace:
                self.trace("message", self.loop.clock(), id=f"{self.stream}/{self.version}/told", sent=0)
            self.lines = [lines_of(self.held, k) if ("use", k) in self.held else None for k in range(len(self.lines))]
        self._poll()

    def _report(self) -> None:
        self.loop.after(self.facts.report_period, self._report)
        if not self.stream:
            return
        servers = [
            ServerReport(name, tries, errored, took / (tries - errored) if tries > errored else None, load)
            for name, (tries, errored, took, load) in self.met.items()
        ]
        names = list(self.operations)
        operations = [OperationReport(names[k], *row) for k, row in enumerate(self.came)]
        self.met, self.came = {}, [[0, 0] for _ in self.came]
        body = encode(Report(self.stream, servers, operations))
        self.reports.call("POST", f"/v1/proxies/{self.number}/report", body, lambda answer: None, 2.0)

    # ---- the data plane ---------------------------------------------------------------------------------------

    def _ask(self, request: Request) -> None:
        name = request.path.rpartition("/")[2]
        if name not in self.operations:
            request.answer(404, b"", "text/plain")
            return
        place = self.operations[name]
        self.came[place][0] += 1
        level = self.held.get(("level", self._table(place), place))
        if level is not None and self.facts.level_form == "share" and self.random.random() >= level.level:
            request.answer(503, b"", "text/plain", "x-reason: level\r\nx-never-ran: 1\r\n")
            self._note(Invocation(request, self.facts.operations[place], request.query, self.loop.clock()), 503)
            return
        inv = Invocation(request, self.facts.operations[place], request.query, self.loop.clock())
        request.on_gone = lambda: inv.call and inv.call.cancel()
        self._try(inv, place)

    def _table(self, place: int) -> int | None:
        use = self.held.get(("use", place))
        return use.table if use else None

    def _tries(self, place: int) -> int:
        level = self.held.get(("level", self._table(place), place))
        return level.tries if level is not None else self.facts.default_tries

    def _pick(self, place: int, but: list[str]) -> str | None:
        lines = self.lines[place]
        if lines is None:  # never put on a table: the one that it started with
            lines = {name: w for name, w in self.standing.items() if ("out", name) not in self.held}
        names = [name for name in lines if name not in but]
        if not names:
            return None
        weights = [lines[name] for name in names]
        if self.facts.pick == "two":
            return min(self.random.choices(names, weights, k=2), key=lambda name: self.out_now.get(name, 0))
        return self.random.choices(names, weights)[0]

    def _try(self, inv: Invocation, place: int) -> None:
        name = self._pick(place, inv.tried)
        if name is None:
            reason = "bare" if not inv.tried else "no other"
            inv.request.answer(503, b"", "text/plain", f"x-reason: {reason}\r\nx-never-ran: 1\r\n")
            self._note(inv, 503)
            return
        left = inv.operation.integration_timeout - (self.loop.clock() - inv.began)
        mode = self._tries(place)
        within = left
        if mode >= face.ONE_AFTER_ANY and len(inv.tried) < mode - 1:
            within = min(left, inv.operation.latency_objective * self.facts.try_objectives)
        inv.tried.append(name)
        client = self.servers.get(name)
        if client is None:
            host, _, port = name.rpartition(":")
            client = self.servers[name] = HttpClient(self.loop, (host, int(port)), self.source)
        self.out_now[name] = self.out_now.get(name, 0) + 1
        began = self.loop.clock()
        path = f"/do/{inv.operation.name}?{inv.query}&proxy={self.number}&try={len(inv.tried)}"
        inv.call = client.call("POST", path, b"", lambda a: self._tried(inv, place, name, began, a), max(0.01, within))

    def _tried(self, inv: Invocation, place: int, name: str, began: float, answer: Answer) -> None:
        self.out_now[name] -= 1
        now = self.loop.clock()
        inv.tries.append((began - inv.began, now - began, answer.error or str(answer.status)))
        row = self.met.setdefault(name, [0, 0, 0.0, None])
        row[0] += 1
        if answer.status == 200:
            row[2] += self.loop.clock() - began
            if self.facts.load_fields and b"x-load" in answer.headers:
                row[3] = [float(part) for part in answer.headers[b"x-load"].split(b",")][: len(self.facts.load_fields)]
            inv.request.answer(200, answer.body, "text/plain")
            self._note(inv, 200)
            return
        row[1] += 1
        never = answer.headers.get(b"x-never-ran") == b"1" and not self.facts.full_may_have_run
        never = never or answer.error in ("refused", "unreachable")
        mode = self._tries(place)
        most = {face.NO_TRY: 1, face.ONE_AFTER_PROOF: 2, face.ONE_AFTER_ANY: 2, face.TWO_AFTER_ANY: 3}[mode]
        left = inv.operation.integration_timeout - (self.loop.clock() - inv.began)
        if not inv.request.answered and len(inv.tried) < most and left > 0.05 and (never or mode >= face.ONE_AFTER_ANY):
            if self._pick(place, inv.tried) is not None:
                self._try(inv, place)
                return
        self.came[place][1] += 1
        status = 503 if never else 502
        extra = "x-never-ran: 1\r\n" if never else ""
        inv.request.answer(status, b"", "text/plain", f"x-reason: {answer.error or answer.status}\r\n{extra}")
        self._note(inv, status)

    def _note(self, inv: Invocation, status: int) -> None:
        """Tells the trace of an invocation that is over."""
        if not self.trace:
            return
        operation, took = inv.operation, self.loop.clock() - inv.began
        in_time = took <= operation.latency_objective
        outcome = {200: "succeeded" if in_time else "late", 503: "rate-limited"}.get(status, "errored")
        value = {"succeeded": 1.0, "late": operation.late_share}.get(outcome, 0.0) * operation.billed_value
        key = dict(parse_qsl(inv.query)).get("key", "")
        began, spans, outcomes = ([each[k] for each in inv.tries] for k in range(3))
        self.trace("invocation", inv.began, proxy=self.number, operation=operation.name, key=key, took=took,
                   outcome=outcome, value=value, servers=inv.tried[: len(began)], began=began, spans=spans,
                   outcomes=outcomes)  # fmt: skip
