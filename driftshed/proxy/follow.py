"""Client of the supervisors: joins one, polls, acknowledges and reports; fails over to another one."""

from __future__ import annotations

import re
from collections.abc import Callable
from random import Random

import msgspec

from driftshed.core.messages import (
    Changes,
    InvalidServerName,
    Join,
    JoinAnswer,
    OperationReport,
    Report,
    ServerReport,
    encode_json,
    server_id,
)
from driftshed.net.http import SOCKETS, Answer, Transport
from driftshed.net.loop import Loop
from driftshed.proxy.tables import ChangesRejected, Tables

CHANGES_DECODER, JOIN_ANSWER_DECODER = msgspec.json.Decoder(Changes), msgspec.json.Decoder(JoinAnswer)
SUPERVISOR_TIMEOUT_S, GRACE_SHARE = (
    12.0,
    1 / 6,
)  # seconds until a silent supervisor is given up; share of them that an answer may be late
REPORT_TIMEOUT_S, JOIN_TIMEOUT_S = 2.0, 2.0  # of a request to report, and of a join
RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.1, 2.0  # doubles up to the maximum; jitter of up to double
MAX_SUPERVISORS = 64  # taken from one announced list
MAX_UNSENT_PERIODS = 20  # report periods whose counts are kept without a supervisor
MAX_REPORTED_SERVERS = 4096  # in one report

TERM_PATTERN = re.compile(rb'"term":(\d{1,10})')

Log = Callable[..., object]


class ReportCounts:
    """Counts of tries by server and of invocations by operation since the last report. Bounded: without a supervisor
    for `MAX_UNSENT_PERIODS` periods the counts are dropped, and the dropped tries counted."""

    def __init__(self, operations: list[str]) -> None:
        """`operations`: names, in the order of the tables."""
        self.operations, self.unsent_periods, self.dropped_tries = operations, 0, 0
        self._clear()

    def _clear(self) -> None:
        self.by_server: dict[str, list] = {}  # tries, errored, total seconds of the successful tries, load
        self.by_operation = [[0, 0] for _ in self.operations]  # arrived, errored

    def add_try(self, server: str, duration: float | None, load: list[float] | None) -> None:
        """Counts one try; `duration`: seconds, None where it errored."""
        row = self.by_server.get(server)
        if row is None:
            if len(self.by_server) >= MAX_REPORTED_SERVERS:
                self.dropped_tries += 1
                return
            row = self.by_server[server] = [0, 0, 0.0, None]
        row[0] += 1
        row[1] += duration is None
        row[2] += duration or 0.0
        row[3] = load or row[3]

    def make_report(self, stream: str) -> Report:
        """Report of the counts for `stream`; the counts start again from zero."""
        servers = [
            ServerReport(name, tries, errored, seconds / (tries - errored) if tries > errored else None, load)
            for name, (tries, errored, seconds, load) in self.by_server.items()
        ]
        operations = [OperationReport(name, *row) for name, row in zip(self.operations, self.by_operation, strict=True)]
        self._clear()
        self.unsent_periods = 0
        return Report(stream, servers, operations)

    def keep_unsent(self) -> int:
        """Ends a period in which no report could be sent; returns the number of tries dropped."""
        self.unsent_periods += 1
        if self.unsent_periods < MAX_UNSENT_PERIODS:
            return 0
        dropped = sum(row[0] for row in self.by_server.values())
        self.dropped_tries += dropped
        self._clear()
        self.unsent_periods = 0
        return dropped


class Follower:
    """Keeps `tables` up to date with a supervisor. Calls `on_tables_changed()` after each change and, for a trace,
    `on_message(at, name, sent)`."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        zone: str,
        rate: float,
        supervisors: list[tuple[str, int]],
        tables: Tables,
        report_counts: ReportCounts,
        random: Random,
        log: Log,
        source: str | None = None,
        report_period: float = 0.5,
        transport: Transport = SOCKETS,
        supervisor_timeout: float = SUPERVISOR_TIMEOUT_S,
    ) -> None:
        """Joins the first of `supervisors` at once. `rate`: usual invocations per second; `report_period` and
        `supervisor_timeout` are in seconds."""
        self.poll_wait = supervisor_timeout * (1 - GRACE_SHARE)  # seconds
        self.poll_grace = supervisor_timeout - self.poll_wait
        self.configured, self.term = supervisors, 0  # the term rises with each join, at whichever supervisor
        self.loop, self.number, self.zone, self.rate = loop, number, zone, rate
        self.addresses, self.tables, self.report_counts, self.random, self.log = (
            supervisors,
            tables,
            report_counts,
            random,
            log,
        )
        self.source, self.report_period, self.transport = source, report_period, transport
        self.on_tables_changed: Callable[[], object] = lambda: None
        self.on_message: Callable[[float, str, bool], object] | None = None
        self.current, self.failures, self.stream, self.rejected_changes, self.stopped = 0, 0, "", 0, False
        self._join()
        loop.after(report_period * random.random(), self._report)

    def _join(self) -> None:
        if self.stopped:
            return
        address = self.addresses[self.current]
        self.control_client = self.transport.client(self.loop, address, self.source, max_idle=1)
        self.report_client = self.transport.client(self.loop, address, self.source, max_idle=1)
        fresh = self.tables.run is None
        self.term += 1
        join = Join(self.zone, self.rate, fresh, self.tables.run, self.tables.version)
        # Not in the body: older supervisors would reject an unknown field.
        path = f"/v1/proxies/{self.number}/join?term={self.term}"
        self.control_client.call("POST", path, encode_json(join), self._handle_join_answer, JOIN_TIMEOUT_S)

    def _reconnect(self, reason: str, use_next: bool = False, redirected: bool = False) -> None:
        """Joins again after a random delay that doubles with each failure: the same supervisor after the first failure,
        since a broken connection may be re-established, then the next ones. With `use_next` it is the next one after
        the first failure too: this one stops or is silent. With `redirected` there is no delay after the first failure:
        a supervisor hands over its proxies one by one, so no other proxy joins now, and orders must not pause."""
        if self.stopped:
            return
        if self.stream:
            self.log("stream_ended", why=reason)
        self.stream = ""
        self.control_client.close()
        self.report_client.close()
        delay = min(MAX_RECONNECT_DELAY_S, RECONNECT_DELAY_S * 2**self.failures) * self.random.uniform(1, 2)
        self.failures += 1
        if self.failures > 1 or use_next:
            self.current = (self.current + 1) % len(self.addresses)
        if redirected and self.failures == 1 and len(self.addresses) > 1:
            self._join()
        else:
            self.loop.after(delay, self._join)

    def _handle_join_answer(self, answer: Answer) -> None:
        outdated = TERM_PATTERN.search(answer.body) if answer.status == 409 else None
        if outdated:  # this proxy has restarted; its predecessor had joined there with a higher term
            self.term = int(outdated[1])
        elif answer.status == 409:
            self.tables.run, self.tables.version = None, 0  # the supervisor does not know our version
        if answer.status != 200:
            self._reconnect(answer.error or f"join: {answer.status}", answer.error == "late" or answer.status == 503)
            return
        try:
            joined = JOIN_ANSWER_DECODER.decode(answer.body)
        except msgspec.DecodeError as error:
            self._reconnect(f"join: {error}")
            return
        if joined.operations != self.report_counts.operations:
            # Guards against tables of other operations: tables refer to operations by index only.
            why = f"the supervisor's operations are {joined.operations}, not {self.report_counts.operations}"
            self.log(
                "turned_down", level="error", why=f"{why}: give both the same --operation flags, in the same order"
            )
            self._reconnect("its operations differ")
            return
        if joined.policy < self.tables.policy:
            self.log(
                "turned_down",
                level="warning",
                why=f"its policy {joined.policy} is older than {self.tables.policy}, which was applied",
            )
            self._reconnect("its policy is older", use_next=True)
            return
        if joined.run != self.tables.run:
            self.tables.run, self.tables.version = joined.run, joined.version
        self._update_supervisors(joined.supervisors)
        self.stream = joined.stream
        self.log("joined", run=joined.run, version=joined.version)
        self._poll()

    def _update_supervisors(self, announced: list[str]) -> None:
        """Replaces the addresses by the announced and the configured ones; the current supervisor stays the first."""
        if not announced:
            return
        here, others = self.addresses[self.current], []
        for text in announced[:MAX_SUPERVISORS]:
            try:
                server_id(text)
            except InvalidServerName:
                continue
            host, _, port = text.rpartition(":")
            others.append((host, int(port)))
        others = [address for address in dict.fromkeys([*others, *self.configured]) if address != here]
        self.random.shuffle(others)  # Guards against all proxies of a failed supervisor joining the same next one.
        self.addresses, self.current = [here, *others], 0

    def _poll(self) -> None:
        version = self.tables.version
        if self.on_message:
            self.on_message(self.loop.clock(), f"{self.stream}/{version}/applied", True)
        path = f"/v1/proxies/{self.number}/changes?stream={self.stream}&after={version}&wait={self.poll_wait}"
        self.control_client.call("GET", path, b"", self._handle_poll_answer, self.poll_wait + self.poll_grace)

    def _handle_poll_answer(self, answer: Answer) -> None:
        if answer.status != 200:
            stopping = answer.status == 503
            self._reconnect(
                answer.error or f"poll: {answer.status}",
                stopping or answer.error == "late",
                stopping and answer.headers.get(b"retry-after") == b"0",
            )
            return
        try:
            changes = CHANGES_DECODER.decode(answer.body)
            if changes.version != self.tables.version or changes.changes:
                self.tables.apply(changes, self.loop.now)
            self.tables.check_policy(changes.policy)
            self.tables.policy = changes.policy
        except (msgspec.DecodeError, ChangesRejected) as error:
            # Guards against invalid tables: the last valid ones are kept, and a full snapshot is requested.
            self.rejected_changes += 1
            self.log("turned_down", level="warning", why=str(error))
            self.tables.run, self.tables.version = None, 0
            self._reconnect("its tables were rejected")
            return
        self.failures = 0
        self._update_supervisors(changes.supervisors)
        if changes.changes:
            if self.on_message:
                self.on_message(self.loop.clock(), f"{self.stream}/{changes.version}/told", False)
            self.on_tables_changed()
        self._poll()

    def _report(self) -> None:
        if self.stopped:
            return
        self.loop.after(self.report_period, self._report)
        if not self.stream:
            dropped = self.report_counts.keep_unsent()
            if dropped:
                self.log("reports_dropped", level="warning", tries=dropped, in_all=self.report_counts.dropped_tries)
            return
        body = encode_json(self.report_counts.make_report(self.stream))
        self.report_client.call(
            "POST", f"/v1/proxies/{self.number}/report", body, lambda answer: None, REPORT_TIMEOUT_S
        )

    def leave(self) -> None:
        """Leaves the supervisor and stops following."""
        self.stopped = True
        if self.stream:
            path = f"/v1/proxies/{self.number}/leave?stream={self.stream}"
            self.report_client.call("POST", path, b"", lambda answer: None, 0.5)
