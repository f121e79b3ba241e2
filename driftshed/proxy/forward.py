"""Forwarding: a client's request to a server of the tables, and its answer back."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

from driftshed import interface as face
from driftshed.net.http import SOCKETS, Answer, Bounds, Call, HttpClient, Request, Transport
from driftshed.net.loop import Loop
from driftshed.proxy.follow import Sums
from driftshed.proxy.retry import (
    FinishedTry,
    Outcome,
    Proof,
    RetryRules,
    may_follow,
    may_receive,
    proof_of,
    try_timeout,
)
from driftshed.proxy.tables import Tables

# Headers of one connection alone, and those that are made anew.
HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"content-type",
    b"host",
    b"x-timeout",
    b"x-operation",
}
MARK = b"idempotency-key"  # the mark of a fingerprinted invocation
NEVER = b"x-never-ran"
SHORTEST = 0.005  # seconds: a try that has less is not made


class Limits(NamedTuple):
    """What one proxy holds at the most."""

    invocations: int = 10000
    connections: int = 64  # to one server
    connecting: int = 8  # to one server at a time
    idle_for: float = 12.0  # seconds; a little under the servers' own
    connect_timeout: float = 0.25


class Invocation:
    """One client's request under way."""

    __slots__ = ("request", "place", "began", "due", "tried", "call", "server", "tries", "headers", "try_began")

    def __init__(self, request: Request, place: int, began: float, due: float, headers: str) -> None:
        self.request, self.place, self.began, self.due, self.headers = request, place, began, due, headers
        self.tried: list[FinishedTry] = []
        self.tries: list[tuple[float, float, str]] = []  # for a trace: began after `began`, took, what came
        self.call: Call | None = None
        self.server, self.try_began = "", 0.0


class Forwarder:
    """Serves clients at an address by `tables`. `trace(kind, at, **fields)` is told of each invocation."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        number: int,
        facts: face.StartFacts,
        tables: Tables,
        sums: Sums,
        limits: Limits = Limits(),
        bounds: Bounds = Bounds(),
        source: str | None = None,
        shared: bool = False,
        transport: Transport = SOCKETS,
        tag: str = "",
    ) -> None:
        self.loop, self.number, self.facts, self.tables, self.sums = loop, number, facts, tables, sums
        self.limits, self.source, self.transport = limits, source, transport
        self.tag = tag  # tells the marks of this run from those of any other
        self.operations = {operation.name: place for place, operation in enumerate(facts.operations)}
        self.rules = [
            RetryRules(o.effect, o.repeat_window, o.repeat_scope, facts.full_may_have_run, 2 * limits.connect_timeout)
            for o in facts.operations
        ]
        self.clients: dict[str, HttpClient] = {}
        self.retired: dict[HttpClient, None] = {}
        self.out: dict[str, int] = {}  # own invocations out, by server
        self.under_way, self.marks = 0, 0
        self.counts: dict[str, int] = {}
        self.trace: Callable[..., object] | None = None
        self.on_idle: Callable[[], object] | None = None
        self.http = transport.server(loop, address, self._ask, bounds, shared=shared)
        self.address = self.http.address

    # ---- a client asks ----------------------------------------------------------------------------------------

    def _ask(self, request: Request) -> None:
        name = request.headers.get(b"x-operation", b"").decode("latin-1") or request.path.rpartition("/")[2]
        place = self.operations.get(name)
        if place is None:
            self._refuse(request, 404, f"operation {name[:64]!r} is not known here")
            return
        now, operation = self.loop.now, self.facts.operations[place]
        self.sums.came[place][0] += 1
        if self.under_way >= self.limits.invocations:
            self._refuse(request, 503, "too many invocations under way", back=1.0)
            return
        gate = self.tables.gates[place]
        if not gate.admit(now):
            inv = Invocation(request, place, now, now, "")
            self._refuse(request, 503, "level", back=gate.retry_after(now))
            self._note(inv, "rate-limited")
            return
        try:
            patience = min(operation.integration_timeout, float(request.headers.get(b"x-timeout", b"inf")))
        except ValueError:
            self._refuse(request, 400, "x-timeout: seconds are wanted")
            return
        inv = Invocation(request, place, now, now + patience, self._headers(request, operation))
        self.under_way += 1
        request.on_gone = lambda: self._gone(inv)
        self._try(inv)

    def _headers(self, request: Request, operation: face.Operation) -> str:
        named = request.headers.get(b"connection", b"").lower().replace(b" ", b"").split(b",")
        kept = {name: value for name, value in request.headers.items() if name not in HOP and name not in named}
        lines = [name + b": " + value for name, value in kept.items()]
        if operation.effect == "fingerprinted" and MARK not in request.headers:
            self.marks += 1
            lines.append(MARK + f": {self.number}-{self.tag}-{self.marks}".encode())
        return "".join(line.decode("latin-1") + "\r\n" for line in lines)

    def _refuse(self, request: Request, status: int, reason: str, back: float | None = None) -> None:
        self._count(f"{status} {reason.split(' ')[0]}")
        extra = f"x-reason: {reason}\r\nx-never-ran: 1\r\n"
        if back is not None:
            extra += f"retry-after: {max(1, round(back))}\r\n"
        request.answer(status, reason.encode(), "text/plain", extra)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # ---- tries ------------------------------------------------------------------------------------------------

    def _try(self, inv: Invocation) -> None:
        operation, rules = self.facts.operations[inv.place], self.rules[inv.place]
        now, server = self.loop.clock(), None
        but = [tried.server for tried in inv.tried]
        while (server := self.tables.pick(inv.place, but, self.out)) is not None:
            if self._has_room(server) and may_receive(rules, inv.tried, server, "", -1):
                break
            but.append(server)
        if server is None:
            self._finish_without(inv, "bare" if not but else "no server has room")
            return
        mode = self.tables.try_mode(inv.place)
        within = try_timeout(now, inv.due, operation.latency_objective, mode, len(inv.tried), self.facts.try_objectives)
        if within < SHORTEST:
            self._finish_without(inv, "no time is left")
            return
        inv.server, inv.try_began = server, now
        self.out[server] = self.out.get(server, 0) + 1
        request, query = inv.request, f"?{inv.request.query}" if inv.request.query else ""
        extra = f"{inv.headers}x-timeout: {inv.due - now:.3f}\r\n"
        inv.call = self._client(server).call(
            request.method,
            request.path + query,
            request.body,
            lambda answer: self._tried(inv, answer),
            within,
            extra,
            request.headers.get(b"content-type", b"application/octet-stream").decode("latin-1"),
        )

    def _has_room(self, server: str) -> bool:
        client = self.clients.get(server)
        if client is None or client.idle:
            return True
        if len(client.all) >= self.limits.connections:
            return False
        # Guards against hammering a server that takes no connections: a few at a time.
        connecting = sum(connection.stream.connecting for connection in client.all)
        return connecting < self.limits.connecting

    def _client(self, server: str) -> HttpClient:
        client = self.clients.get(server)
        if client is None:
            host, _, port = server.rpartition(":")
            client = self.transport.client(
                self.loop,
                (host, int(port)),
                self.source,
                idle_most=self.limits.connections,
                idle_for=self.limits.idle_for,
            )
            self.clients[server] = client
        return client

    def _tried(self, inv: Invocation, answer: Answer) -> None:
        now, server = self.loop.clock(), inv.server
        inv.call = None
        self.out[server] -= 1
        if not self.out[server]:
            del self.out[server]
        outcome = outcome_of(answer)
        took = now - inv.try_began
        self.sums.tried(server, took if outcome is Outcome.ANSWERED else None, self._load(answer))
        inv.tried.append(FinishedTry(server, "", -1, inv.try_began, outcome))
        inv.tries.append((inv.try_began - inv.began, took, answer.error or str(answer.status)))
        if inv.request.answered:  # the client has gone
            self._over(inv, "errored")
            return
        if outcome is Outcome.ANSWERED:
            kind = answer.headers.get(b"content-type", b"application/octet-stream").decode("latin-1")
            kept = (n + b": " + v for n, v in answer.headers.items() if n not in HOP)
            inv.request.answer(answer.status, answer.body, kind, "".join(f"{h.decode('latin-1')}\r\n" for h in kept))
            in_time = now - inv.began <= self.facts.operations[inv.place].latency_objective
            self._over(inv, "succeeded" if in_time else "late")
            return
        if may_follow(self.rules[inv.place], self.tables.try_mode(inv.place), inv.tried, now):
            self._count("tried again")
            self._try(inv)
            return
        self._finish_without(inv, answer.error or f"server: {answer.status}")

    def _load(self, answer: Answer) -> list[float] | None:
        fields = len(self.facts.load_fields)
        if not fields or b"x-load" not in answer.headers:
            return None
        try:
            load = [float(part) for part in answer.headers[b"x-load"].split(b",")[:fields]]
        except ValueError:
            return None
        return load if len(load) == fields else None

    def _finish_without(self, inv: Invocation, reason: str) -> None:
        """The final answer to an invocation that got none: 503 where surely nothing ran, 504 where time is up, 502
        else."""
        proofs = [proof_of(tried.outcome, self.facts.full_may_have_run) for tried in inv.tried]
        never = all(proof is Proof.SURE for proof in proofs)
        late = bool(inv.tried) and inv.tried[-1].outcome is Outcome.LATE
        status = 503 if never else 504 if late else 502
        extra = f"x-reason: {reason}\r\n" + ("x-never-ran: 1\r\nretry-after: 1\r\n" if never else "")
        self._count(f"{status} {reason.split(' ')[0]}")
        inv.request.answer(status, reason.encode(), "text/plain", extra)
        self.sums.came[inv.place][1] += bool(inv.tried)
        self._over(inv, "rate-limited" if never else "errored")

    def _gone(self, inv: Invocation) -> None:
        """Guards against work for nobody: the client has gone, and so does the try."""
        if inv.call is not None:
            inv.call.cancel()

    def _over(self, inv: Invocation, outcome: str) -> None:
        self.under_way -= 1
        self._note(inv, outcome)
        if self.retired:
            self._let_go()
        if not self.under_way and self.on_idle:
            self.on_idle()

    def _note(self, inv: Invocation, outcome: str) -> None:
        if not self.trace:
            return
        operation = self.facts.operations[inv.place]
        value = {"succeeded": 1.0, "late": operation.late_share}.get(outcome, 0.0) * operation.billed_value
        key = dict(parse_qsl(inv.request.query)).get("key", "")
        began, spans, outcomes = ([each[k] for each in inv.tries] for k in range(3))
        self.trace(
            "invocation",
            inv.began,
            proxy=self.number,
            operation=operation.name,
            key=key,
            took=self.loop.clock() - inv.began,
            outcome=outcome,
            value=value,
            servers=[tried.server for tried in inv.tried],
            began=began,
            spans=spans,
            outcomes=outcomes,
        )

    # ---- tables change ----------------------------------------------------------------------------------------

    def follow(self) -> None:
        """The tables have changed: connections to servers that left them end, those in use after their answer."""
        for server in sorted(self.clients.keys() - self.tables.servers()):
            self.retired[self.clients.pop(server)] = None
        self._let_go()

    def _let_go(self) -> None:
        for client in list(self.retired):
            for connection in list(client.idle):
                connection.stream.abort("left the tables")
            if not client.all:
                del self.retired[client]

    def stop(self, done: Callable[[], object], within: float) -> None:
        """Takes nothing new; `done()` once what is out is answered, or the time is over."""
        self.http.close(now=False)
        self.on_idle = lambda: self.loop.soon(done)
        if not self.under_way:
            self.loop.soon(done)
        else:
            self.loop.after(within, done)


def outcome_of(answer: Answer) -> Outcome:
    """What came of a try, by what passed on its connection."""
    if answer.status:
        if answer.status == 503:
            return Outcome.NEVER_RAN if answer.headers.get(NEVER) == b"1" else Outcome.FULL
        return Outcome.ERRORED if answer.status >= 500 else Outcome.ANSWERED
    if not answer.sent:
        return Outcome.UNSENT
    if answer.error == "late":
        return Outcome.LATE
    if answer.body or answer.headers:
        return Outcome.PARTIAL
    return Outcome.CLOSED_IDLE if answer.kept else Outcome.CLOSED
