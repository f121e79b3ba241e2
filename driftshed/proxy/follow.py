"""Following supervisors: joining one, polling, acknowledging, reporting; another one when it is away."""

from __future__ import annotations

import re
from collections.abc import Callable
from random import Random

import msgspec

from driftshed.core.messages import (
    BadName,
    Changes,
    Join,
    JoinAnswer,
    OperationReport,
    Report,
    ServerReport,
    encode,
    server_id,
)
from driftshed.net.http import SOCKETS, Answer, Transport
from driftshed.net.loop import Loop
from driftshed.proxy.tables import ChangesRejected, Tables

CHANGES, JOINED = msgspec.json.Decoder(Changes), msgspec.json.Decoder(JoinAnswer)
HEARS_WITHIN, GRACE_SHARE = 12.0, 1 / 6  # seconds until a silent supervisor is given up; of them its answer may be late
GRACE, JOIN_WITHIN = 2.0, 2.0  # seconds: an answer may be late, a join takes at most
AGAIN, AGAIN_MOST = 0.1, 2.0  # seconds before dialling again: doubling, each drawn up to double
MOST_SUPERVISORS = 64  # that are known at a time
KEPT_REPORTS = 20  # periods whose sums are kept while nobody listens
MOST_SERVERS = 4096  # in one report

TERM = re.compile(rb'"term":(\d{1,10})')

Log = Callable[..., object]


class Sums:
    """What was met and what came since the last report. Bounded: with nobody to tell for long, all of it is dropped and
    counted."""

    def __init__(self, operations: list[str]) -> None:
        self.operations, self.periods, self.dropped = operations, 0, 0
        self._empty()

    def _empty(self) -> None:
        self.met: dict[str, list] = {}  # tries, errored, seconds of the good, load
        self.came = [[0, 0] for _ in self.operations]

    def tried(self, server: str, took: float | None, load: list[float] | None) -> None:
        """One try; `took`: seconds, None without a good answer."""
        row = self.met.get(server)
        if row is None:
            if len(self.met) >= MOST_SERVERS:
                self.dropped += 1
                return
            row = self.met[server] = [0, 0, 0.0, None]
        row[0] += 1
        row[1] += took is None
        row[2] += took or 0.0
        row[3] = load or row[3]

    def take(self, stream: str) -> Report:
        met = [
            ServerReport(name, tries, errored, took / (tries - errored) if tries > errored else None, load)
            for name, (tries, errored, took, load) in self.met.items()
        ]
        came = [OperationReport(name, *row) for name, row in zip(self.operations, self.came, strict=True)]
        self._empty()
        self.periods = 0
        return Report(stream, met, came)

    def keep(self) -> int:
        """Nobody listened this period; how many tries were dropped for it."""
        self.periods += 1
        if self.periods < KEPT_REPORTS:
            return 0
        lost = sum(row[0] for row in self.met.values())
        self.dropped += lost
        self._empty()
        self.periods = 0
        return lost


class Follower:
    """Keeps `tables` as the supervisors say. `on_tables()` after each change; `message(at, name, sent)` for a trace."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        zone: str,
        rate: float,
        supervisors: list[tuple[str, int]],
        tables: Tables,
        sums: Sums,
        random: Random,
        log: Log,
        source: str | None = None,
        period: float = 0.5,
        transport: Transport = SOCKETS,
        hears_within: float = HEARS_WITHIN,
    ) -> None:
        self.poll = hears_within * (1 - GRACE_SHARE)  # seconds that a poll waits
        self.grace = hears_within - self.poll
        self.given, self.term = supervisors, 0  # the term rises with each join, wherever it goes
        self.loop, self.number, self.zone, self.rate = loop, number, zone, rate
        self.addresses, self.tables, self.sums, self.random, self.log = supervisors, tables, sums, random, log
        self.source, self.period, self.transport = source, period, transport
        self.on_tables: Callable[[], object] = lambda: None
        self.message: Callable[[float, str, bool], object] | None = None
        self.at, self.failed, self.stream, self.turned_down, self.stopped = 0, 0, "", 0, False
        self._dial()
        loop.after(period * random.random(), self._report)

    def _dial(self) -> None:
        if self.stopped:
            return
        address = self.addresses[self.at]
        self.control = self.transport.client(self.loop, address, self.source, idle_most=1)
        self.reports = self.transport.client(self.loop, address, self.source, idle_most=1)
        fresh = self.tables.run is None
        self.term += 1
        join = Join(self.zone, self.rate, fresh, self.tables.run, self.tables.version)
        # Not in the body: supervisors of before would turn down a field that they do not know.
        path = f"/v1/proxies/{self.number}/join?term={self.term}"
        self.control.call("POST", path, encode(join), self._joined, JOIN_WITHIN)

    def _again(self, why: str, elsewhere: bool = False, sent_on: bool = False) -> None:
        """Dials again after a while: another supervisor if there is one, since this one did not answer; at once
        `elsewhere` where this one stops or is silent, since a connection that is merely broken may stand again. One
        that leaves has `sent_on` its proxies one by one: nobody else dials now, and orders are not to have a gap."""
        if self.stopped:
            return
        if self.stream:
            self.log("stream_ended", why=why)
        self.stream = ""
        self.control.close()
        self.reports.close()
        wait = min(AGAIN_MOST, AGAIN * 2**self.failed) * self.random.uniform(1, 2)
        self.failed += 1
        if self.failed > 1 or elsewhere:
            self.at = (self.at + 1) % len(self.addresses)
        if sent_on and self.failed == 1 and len(self.addresses) > 1:
            self._dial()
        else:
            self.loop.after(wait, self._dial)

    def _joined(self, answer: Answer) -> None:
        over = TERM.search(answer.body) if answer.status == 409 else None
        if over:  # we began anew, and what we were had joined there more often
            self.term = int(over[1])
        elif answer.status == 409:
            self.tables.run, self.tables.version = None, 0  # what it holds is not known there
        if answer.status != 200:
            self._again(answer.error or f"join: {answer.status}", answer.error == "late" or answer.status == 503)
            return
        try:
            joined = JOINED.decode(answer.body)
        except msgspec.DecodeError as error:
            self._again(f"join: {error}")
            return
        if joined.operations != self.sums.operations:
            # Guards against tables whose operations mean others here: places in a list are all that they say.
            why = f"the supervisor's operations are {joined.operations}, not {self.sums.operations}"
            self.log("turned_down", level="error", why=f"{why}: give both the same --operation flags, in one order")
            self._again("its operations are others")
            return
        if joined.policy < self.tables.policy:
            self.log(
                "turned_down",
                level="warning",
                why=f"it goes by policy {joined.policy}; {self.tables.policy} was heeded",
            )
            self._again("its policy is older", elsewhere=True)
            return
        if joined.run != self.tables.run:
            self.tables.run, self.tables.version = joined.run, joined.version
        self._learn(joined.supervisors)
        self.stream = joined.stream
        self.log("joined", run=joined.run, version=joined.version)
        self._poll()

    def _learn(self, told: list[str]) -> None:
        """Whom else to dial, as the one that answers says; the one that it is on stays the first."""
        if not told:
            return
        here, others = self.addresses[self.at], []
        for text in told[:MOST_SUPERVISORS]:
            try:
                server_id(text)
            except BadName:
                continue
            host, _, port = text.rpartition(":")
            others.append((host, int(port)))
        others = [each for each in dict.fromkeys([*others, *self.given]) if each != here]
        self.random.shuffle(others)  # Guards against all that lose one supervisor dialling the same next one.
        self.addresses, self.at = [here, *others], 0

    def _poll(self) -> None:
        version = self.tables.version
        if self.message:
            self.message(self.loop.clock(), f"{self.stream}/{version}/applied", True)
        path = f"/v1/proxies/{self.number}/changes?stream={self.stream}&after={version}&wait={self.poll}"
        self.control.call("GET", path, b"", self._told, self.poll + self.grace)

    def _told(self, answer: Answer) -> None:
        if answer.status != 200:
            away = answer.status == 503
            self._again(
                answer.error or f"poll: {answer.status}",
                away or answer.error == "late",
                away and answer.headers.get(b"retry-after") == b"0",
            )
            return
        try:
            changes = CHANGES.decode(answer.body)
            if changes.version != self.tables.version or changes.changes:
                self.tables.take(changes, self.loop.now)
            self.tables.check_policy(changes.policy)
            self.tables.policy = changes.policy
        except (msgspec.DecodeError, ChangesRejected) as error:
            # Guards against a table that cannot be: the last good one is held, and the whole asked for anew.
            self.turned_down += 1
            self.log("turned_down", level="warning", why=str(error))
            self.tables.run, self.tables.version = None, 0
            self._again("its tables were turned down")
            return
        self.failed = 0
        self._learn(changes.supervisors)
        if changes.changes:
            if self.message:
                self.message(self.loop.clock(), f"{self.stream}/{changes.version}/told", False)
            self.on_tables()
        self._poll()

    def _report(self) -> None:
        if self.stopped:
            return
        self.loop.after(self.period, self._report)
        if not self.stream:
            lost = self.sums.keep()
            if lost:
                self.log("reports_dropped", level="warning", tries=lost, in_all=self.sums.dropped)
            return
        body = encode(self.sums.take(self.stream))
        self.reports.call("POST", f"/v1/proxies/{self.number}/report", body, lambda answer: None, GRACE)

    def leave(self) -> None:
        """Says goodbye, and follows no more."""
        self.stopped = True
        if self.stream:
            path = f"/v1/proxies/{self.number}/leave?stream={self.stream}"
            self.reports.call("POST", path, b"", lambda answer: None, 0.5)
