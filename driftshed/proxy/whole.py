"""One proxy put together, on any loop and transport: what follows supervisors and what forwards by their tables."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from driftshed import interface as face
from driftshed.net.http import SOCKETS, Bounds, Transport
from driftshed.net.loop import Timers
from driftshed.proxy.follow import HEARS_WITHIN, Follower, Log, Sums
from driftshed.proxy.forward import Forwarder, Limits
from driftshed.proxy.tables import Tables


class Place(NamedTuple):
    """Who a proxy is: its number and zone, the invocations a second that usually come, where it listens, the
    supervisors in the order of choice, the servers to start with, and the address that it connects from."""

    number: int
    zone: str
    rate: float
    listen: tuple[str, int]
    supervisors: list[tuple[str, int]]
    standing: list[str]
    source: str | None = None
    hears_within: float = HEARS_WITHIN  # seconds until a silent supervisor is given up


class Proxy:
    """`tag` tells the marks of this run from those of any other. OSError where it cannot listen."""

    def __init__(
        self,
        loop: Timers,
        place: Place,
        facts: face.StartFacts,
        seed: int,
        log: Log,
        tag: str,
        limits: Limits = Limits(),
        bounds: Bounds = Bounds(),
        shared: bool = False,
        transport: Transport = SOCKETS,
    ) -> None:
        random = Random(seed)
        self.place, self.facts = place, facts
        self.tables = Tables(
            len(facts.operations), facts.pick, facts.level_form, facts.default_tries, place.standing, random
        )
        self.sums = Sums([operation.name for operation in facts.operations])
        limits = limits._replace(idle_for=0.8 * facts.idle_close, connect_timeout=facts.connect_timeout)
        self.forwarder = Forwarder(
            loop,
            place.listen,
            place.number,
            facts,
            self.tables,
            self.sums,
            limits,
            bounds,
            place.source,
            shared,
            transport,
            tag,
        )
        self.follower = Follower(
            loop,
            place.number,
            place.zone,
            place.rate,
            place.supervisors,
            self.tables,
            self.sums,
            random,
            log,
            place.source,
            facts.report_period,
            transport,
            place.hears_within,
        )
        self.follower.on_tables = self.forwarder.follow

    def stop(self, done) -> None:
        """Says goodbye and takes nothing new; `done()` once what is out is answered or given up."""
        self.follower.leave()
        self.forwarder.stop(done, max(operation.integration_timeout for operation in self.facts.operations))
