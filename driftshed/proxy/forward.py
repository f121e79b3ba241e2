"""Forwarding: sends a client's request to a server of the tables and returns its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

from driftshed import interface as face
from driftshed.net.http import SOCKETS, Answer, Call, HttpClient, Transport
from driftshed.net.http_server import Bounds, Request
from driftshed.net.loop import Loop
from driftshed.proxy.follow import ReportCounts
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

# Headers that belong to one connection (hop-by-hop), and those that the proxy sets itself.
HOP_BY_HOP_HEADERS = {
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
IDEMPOTENCY_KEY = b"idempotency-key"  # by which servers recognize repeats of a fingerprinted invocation
NEVER_RAN_HEADER = b"x-never-ran"
MIN_TRY_S = 0.005  # a try with a shorter timeout is not made


class Limits(NamedTuple):
    """Upper limits of one proxy, and the timeouts of its connections in seconds."""

    invocations: int = 10000  # under way at a time
    connections: int = 64  # to one server
    connecting: int = 8  # connection attempts to one server at a time
    idle_for: float = 12.0  # seconds until an idle connection is closed; a little below the servers' own
    connect_timeout: float = 0.25


class Invocation:
    """A client's request that is under way."""

    __slots__ = (
        "request",
        "operation",
        "started_at",
        "deadline",
        "finished_tries",
        "call",
        "server",
        "trace_rows",
        "headers",
        "try_started_at",
    )

    def __init__(self, request: Request, operation: int, started_at: float, deadline: float, headers: str) -> None:
        """`operation`: its index in the facts; `started_at` and `deadline`: loop times; `headers`: lines to forward."""
        self.request, self.operation, self.started_at, self.deadline, self.headers = (
            request,
            operation,
            started_at,
            deadline,
            headers,
        )
        self.finished_tries: list[FinishedTry] = []
        self.trace_rows: list[tuple[float, float, str]] = []  # seconds after `started_at`, duration, result
        self.call: Call | None = None
        self.server, self.try_started_at = "", 0.0


class Forwarder:
    """Serves clients at an address according to `tables`. `trace(kind, at, **fields)` is called for each invocation."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        number: int,
        facts: face.StartFacts,
        tables: Tables,
        report_counts: ReportCounts,
        limits: Limits = Limits(),
        bounds: Bounds = Bounds(),
        source: str | None = None,
        shared: bool = False,
        transport: Transport = SOCKETS,
        tag: str = "",
    ) -> None:
        """Listens at `address` at once; raises OSError where it cannot. `source`: local address of connections to
        servers; `shared`: other processes may listen at the same address."""
        self.loop, self.number, self.facts, self.tables, self.report_counts = loop, number, facts, tables, report_counts
        self.limits, self.source, self.transport = limits, source, transport
        self.tag = tag  # makes the idempotency keys of this run distinct from those of any other
        self.operations = {operation.name: index for index, operation in enumerate(facts.operations)}
        self.rules = [
            RetryRules(o.effect, o.repeat_window, o.repeat_scope, facts.full_may_have_run, 2 * limits.connect_timeout)
            for o in facts.operations
        ]
        self.clients: dict[str, HttpClient] = {}
        self.retired: dict[HttpClient, None] = {}
        self.in_flight: dict[str, int] = {}  # own invocations under way, by server
        self.under_way, self.keys_made = 0, 0
        self.counts: dict[str, int] = {}
        self.trace: Callable[..., object] | None = None
        self.on_idle: Callable[[], object] | None = None
        self.http = transport.server(loop, address, self._handle_request, bounds, shared=shared)
        self.http.refusal_headers = f"{NEVER_RAN_HEADER.decode()}: 1\r\n"
        self.address = self.http.address

    # ---- requests of clients ----------------------------------------------------------------------------------

    def _handle_request(self, request: Request) -> None:
        name = request.headers.get(b"x-operation", b"").decode("latin-1") or request.path.rpartition("/")[2]
        index = self.operations.get(name)
        if index is None:
            self._refuse(request, 404, f"operation {name[:64]!r} is not known here")
            return
        now, operation = self.loop.now, self.facts.operations[index]
        self.report_counts.by_operation[index][0] += 1
        if self.under_way >= self.limits.invocations:
            self._refuse(request, 503, "too many invocations under way", retry_after=1.0)
            return
        gate = self.tables.gates[index]
        if not gate.admit(now):
            invocation = Invocation(request, index, now, now, "")
            self._refuse(request, 503, "level", retry_after=gate.retry_after(now))
            self._record_outcome(invocation, "rate-limited")
            return
        try:
            timeout = min(operation.integration_timeout, float(request.headers.get(b"x-timeout", b"inf")))
        except ValueError:
            self._refuse(request, 400, "x-timeout: seconds are wanted")
            return
        invocation = Invocation(request, index, now, now + timeout, self._forwarded_headers(request, operation))
        self.under_way += 1
        request.on_gone = lambda: self._cancel_try(invocation)
        self._start_try(invocation)

    def _forwarded_headers(self, request: Request, operation: face.Operation) -> str:
        connection_options = request.headers.get(b"connection", b"").lower().replace(b" ", b"").split(b",")
        forwarded = {
            name: value
            for name, value in request.headers.items()
            if name not in HOP_BY_HOP_HEADERS and name not in connection_options
        }
        lines = [name + b": " + value for name, value in forwarded.items()]
        if operation.effect == "fingerprinted" and IDEMPOTENCY_KEY not in request.headers:
            self.keys_made += 1
            lines.append(IDEMPOTENCY_KEY + f": {self.number}-{self.tag}-{self.keys_made}".encode())
        return "".join(line.decode("latin-1") + "\r\n" for line in lines)

    def _refuse(self, request: Request, status: int, reason: str, retry_after: float | None = None) -> None:
        self._count(f"{status} {reason.split(' ')[0]}")
        extra = f"x-reason: {reason}\r\nx-never-ran: 1\r\n"
        if retry_after is not None:
            extra += f"retry-after: {max(1, round(retry_after))}\r\n"
        request.answer(status, reason.encode(), "text/plain", extra)

    def _count(self, key: str) -> None:
        self.counts[key] = self.counts.get(key, 0) + 1

    # ---- tries ------------------------------------------------------------------------------------------------

    def _start_try(self, invocation: Invocation) -> None:
        operation, rules = (
            self.facts.operations[invocation.operation],
            self.rules[invocation.operation],
        )
        now, server = self.loop.clock(), None
        excluded = [finished.server for finished in invocation.finished_tries]
        while (server := self.tables.pick(invocation.operation, excluded, self.in_flight)) is not None:
            if self._has_room(server) and may_receive(rules, invocation.finished_tries, server, "", -1):
                break
            excluded.append(server)
        if server is None:
            self._answer_failure(invocation, "bare" if not excluded else "no server has room")
            return
        mode = self.tables.try_mode(invocation.operation)
        timeout = try_timeout(
            now,
            invocation.deadline,
            operation.latency_objective,
            mode,
            len(invocation.finished_tries),
            self.facts.try_objectives,
        )
        if timeout < MIN_TRY_S:
            self._answer_failure(invocation, "no time is left")
            return
        invocation.server, invocation.try_started_at = server, now
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        request, query = invocation.request, f"?{invocation.request.query}" if invocation.request.query else ""
        extra = f"{invocation.headers}x-timeout: {invocation.deadline - now:.3f}\r\n"
        invocation.call = self._client(server).call(
            request.method,
            request.path + query,
            request.body,
            lambda answer: self._handle_answer(invocation, answer),
            timeout,
            extra,
            request.headers.get(b"content-type", b"application/octet-stream").decode("latin-1"),
        )

    def _has_room(self, server: str) -> bool:
        client = self.clients.get(server)
        if client is None or client.idle:
            return True
        if len(client.connections) >= self.limits.connections:
            return False
        # Guards against flooding a server that accepts no connections: only a few attempts at a time.
        connecting = sum(connection.stream.connecting for connection in client.connections)
        return connecting < self.limits.connecting

    def _client(self, server: str) -> HttpClient:
        client = self.clients.get(server)
        if client is None:
            host, _, port = server.rpartition(":")
            client = self.transport.client(
                self.loop,
                (host, int(port)),
                self.source,
                max_idle=self.limits.connections,
                idle_for=self.limits.idle_for,
            )
            self.clients[server] = client
        return client

    def _handle_answer(self, invocation: Invocation, answer: Answer) -> None:
        now, server = self.loop.clock(), invocation.server
        invocation.call = None
        self.in_flight[server] -= 1
        if not self.in_flight[server]:
            del self.in_flight[server]
        outcome = outcome_of(answer)
        duration = now - invocation.try_started_at
        self.report_counts.add_try(server, duration if outcome is Outcome.ANSWERED else None, self._parse_load(answer))
        invocation.finished_tries.append(FinishedTry(server, "", -1, invocation.try_started_at, outcome))
        invocation.trace_rows.append(
            (invocation.try_started_at - invocation.started_at, duration, answer.error or str(answer.status))
        )
        if invocation.request.answered:  # the client has disconnected
            self._finish(invocation, "errored")
            return
        if outcome is Outcome.ANSWERED:
            kind = answer.headers.get(b"content-type", b"application/octet-stream").decode("latin-1")
            forwarded = (n + b": " + v for n, v in answer.headers.items() if n not in HOP_BY_HOP_HEADERS)
            invocation.request.answer(
                answer.status, answer.body, kind, "".join(f"{h.decode('latin-1')}\r\n" for h in forwarded)
            )
            in_time = now - invocation.started_at <= self.facts.operations[invocation.operation].latency_objective
            self._finish(invocation, "succeeded" if in_time else "late")
            return
        if not invocation.request.client_closed and may_follow(
            self.rules[invocation.operation],
            self.tables.try_mode(invocation.operation),
            invocation.finished_tries,
            now,
        ):
            self._count("tried again")
            self._start_try(invocation)
            return
        self._answer_failure(invocation, answer.error or f"server: {answer.status}")

    def _parse_load(self, answer: Answer) -> list[float] | None:
        fields = len(self.facts.load_fields)
        if not fields or b"x-load" not in answer.headers:
            return None
        try:
            load = [float(part) for part in answer.headers[b"x-load"].split(b",")[:fields]]
        except ValueError:
            return None
        return load if len(load) == fields else None

    def _answer_failure(self, invocation: Invocation, reason: str) -> None:
        """Answers an invocation that no server answered: 503 where it certainly never ran, 504 where the last try timed
        out, else 502."""
        proofs = [proof_of(finished.outcome, self.facts.full_may_have_run) for finished in invocation.finished_tries]
        never_ran = all(proof is Proof.SURE for proof in proofs)
        late = bool(invocation.finished_tries) and invocation.finished_tries[-1].outcome is Outcome.LATE
        status = 503 if never_ran else 504 if late else 502
        extra = f"x-reason: {reason}\r\n" + ("x-never-ran: 1\r\nretry-after: 1\r\n" if never_ran else "")
        self._count(f"{status} {reason.split(' ')[0]}")
        invocation.request.answer(status, reason.encode(), "text/plain", extra)
        self.report_counts.by_operation[invocation.operation][1] += bool(invocation.finished_tries)
        self._finish(invocation, "rate-limited" if never_ran else "errored")

    def _cancel_try(self, invocation: Invocation) -> None:
        """Cancels the try of a client that has disconnected, so that no server works for it in vain."""
        if invocation.call is not None:
            invocation.call.cancel()

    def _finish(self, invocation: Invocation, outcome: str) -> None:
        self.under_way -= 1
        self._record_outcome(invocation, outcome)
        if self.retired:
            self._close_retired()
        self._check_idle()

    def _check_idle(self) -> None:
        if self.on_idle and not self.under_way and self.http.is_idle:
            on_idle, self.on_idle = self.on_idle, None
            on_idle()

    def _record_outcome(self, invocation: Invocation, outcome: str) -> None:
        if not self.trace:
            return
        operation = self.facts.operations[invocation.operation]
        value = {"succeeded": 1.0, "late": operation.late_share}.get(outcome, 0.0) * operation.billed_value
        key = dict(parse_qsl(invocation.request.query)).get("key", "")
        starts, spans, outcomes = ([each[k] for each in invocation.trace_rows] for k in range(3))
        self.trace(
            "invocation",
            invocation.started_at,
            proxy=self.number,
            operation=operation.name,
            key=key,
            took=self.loop.clock() - invocation.started_at,
            outcome=outcome,
            value=value,
            servers=[finished.server for finished in invocation.finished_tries],
            began=starts,
            spans=spans,
            outcomes=outcomes,
        )

    # ---- changes of tables ------------------------------------------------------------------------------------

    def close_removed_servers(self) -> None:
        """Closes connections to servers that are no longer in the tables, those in use after their answer."""
        for server in sorted(self.clients.keys() - self.tables.servers()):
            self.retired[self.clients.pop(server)] = None
        self._close_retired()

    def _close_retired(self) -> None:
        for client in list(self.retired):
            for connection in list(client.idle):
                connection.stream.abort("left the tables")
            if not client.connections:
                del self.retired[client]

    def stop(self, on_done: Callable[[], object], timeout: float) -> None:
        """Accepts no more requests; calls `on_done()` once all under way are answered, or after `timeout` seconds."""
        self.http.close(now=False)
        # Only now: each end looks at the connections that are left.
        self.http.on_connection_end = lambda connection, reason: self._check_idle()
        self.on_idle = lambda: self.loop.soon(on_done)
        self._check_idle()
        self.loop.after(timeout, on_done)


def outcome_of(answer: Answer) -> Outcome:
    """Outcome of a try, by what was sent and received on its connection."""
    if answer.status:
        if answer.status == 503:
            return Outcome.NEVER_RAN if answer.headers.get(NEVER_RAN_HEADER) == b"1" else Outcome.FULL
        return Outcome.ERRORED if answer.status >= 500 else Outcome.ANSWERED
    if not answer.sent:
        return Outcome.UNSENT
    if answer.error == "late":
        return Outcome.LATE
    if answer.body or answer.headers:
        return Outcome.PARTIAL
    return Outcome.CLOSED_IDLE if answer.reused_connection else Outcome.CLOSED
