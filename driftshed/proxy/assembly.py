"""A complete proxy on any loop and transport: it connects the follower, the tables and the forwarder."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.http import SOCKETS, Transport
from driftshed.net.http_server import Bounds
from driftshed.net.loop import Timers
from driftshed.proxy.follow import SUPERVISOR_TIMEOUT_S, Follower, Log, ReportCounts
from driftshed.proxy.forward import Forwarder, Limits
from driftshed.proxy.tables import Tables


class ProxyOptions(NamedTuple):
    """Settings of one proxy: its number and zone, its usual invocations per second, its listening address, the
    supervisors in order of preference, the initial servers, and the local address of its connections."""

    number: int
    zone: str
    rate: float
    listen: tuple[str, int]
    supervisors: list[tuple[str, int]]
    initial_servers: list[str]
    source: str | None = None
    supervisor_timeout: float = SUPERVISOR_TIMEOUT_S  # seconds until a silent supervisor is given up


class Proxy:
    """One proxy: it owns its tables, follower and forwarder."""

    def __init__(
        self,
        loop: Timers,
        options: ProxyOptions,
        facts: face.StartFacts,
        seed: int,
        log: Log,
        tag: str,
        limits: Limits = Limits(),
        bounds: Bounds = Bounds(),
        shared: bool = False,
        transport: Transport = SOCKETS,
    ) -> None:
        """Listens and joins at once; raises OSError where it cannot listen. `tag` makes the idempotency keys of this
        run distinct from those of any other."""
        random = Random(seed)
        self.options, self.facts = options, facts
        self.tables = Tables(
            len(facts.operations), facts.pick, facts.level_form, facts.default_tries, options.initial_servers, random
        )
        self.report_counts = ReportCounts([operation.name for operation in facts.operations])
        limits = limits._replace(idle_for=0.8 * facts.idle_close, connect_timeout=facts.connect_timeout)
        self.forwarder = Forwarder(
            loop,
            options.listen,
            options.number,
            facts,
            self.tables,
            self.report_counts,
            limits,
            bounds,
            options.source,
            shared,
            transport,
            tag,
        )
        self.follower = Follower(
            loop,
            options.number,
            options.zone,
            options.rate,
            options.supervisors,
            self.tables,
            self.report_counts,
            random,
            log,
            options.source,
            facts.report_period,
            transport,
            options.supervisor_timeout,
        )
        self.follower.on_tables_changed = self.forwarder.close_removed_servers

    def stop(self, on_done) -> None:
        """Leaves the supervisor and accepts no more requests; calls `on_done()` once all under way are answered or have
        timed out."""
        self.follower.leave()
        self.forwarder.stop(on_done, max(operation.integration_timeout for operation in self.facts.operations))
