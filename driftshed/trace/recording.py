"""Recording a supervisor's instance: every batch that its module heard and every order that it gave."""

from __future__ import annotations

import msgspec

from driftshed.core.hosting import Fault
from driftshed.core.instance import Instance
from driftshed.trace.replay import RAISED, core_version, encode_facts, encode_records
from driftshed.trace.writer import TraceWriter


class Encoded:
    """Events or orders that are encoded when they are written, on the writer's thread."""

    __slots__ = ("records",)

    def __init__(self, records: list) -> None:
        self.records = records

    def __bytes__(self) -> bytes:
        return encode_records(self.records)


class Recording:
    """Hooks a writer to an instance."""

    def __init__(self, instance: Instance, writer: TraceWriter) -> None:
        self.instance, self.writer, self.begin, self.count = instance, writer, -1, 0
        self.core = core_version()
        instance.on_turn, instance.on_begin, instance.on_switch = self._turn, self._begin, self._switch
        self.was_fault, instance.on_fault = instance.on_fault, self._fault
        self._begin(instance.seed, instance.began)

    def unix(self, now: float) -> float:
        return now - self.instance.roster.wall

    def _begin(self, seed: int, now: float) -> None:
        self.begin, self.count = self.begin + 1, 0
        self.writer.add(
            "start",
            self.unix(now),
            run=self.instance.hub.run,
            begin=self.begin,
            now=now,
            seed=seed,
            core=self.core,
            facts=encode_facts(self.instance.facts),
        )

    def _switch(self, now: float) -> None:
        """The instance goes by other facts from its next turn on."""
        self.writer.add(
            "switch",
            self.unix(now),
            run=self.instance.hub.run,
            begin=self.begin,
            turn=self.count,
            now=now,
            facts=encode_facts(self.instance.facts),
        )

    def _turn(self, now: float, events: list, orders: list) -> None:
        self._add(now, Encoded(events), Encoded(orders))

    def _add(self, now: float, events: object, orders: object) -> None:
        self.writer.add(
            "turn",
            self.unix(now),
            run=self.instance.hub.run,
            begin=self.begin,
            turn=self.count,
            now=now,
            events=events,
            orders=orders,
        )
        self.count += 1

    def _fault(self, fault: Fault) -> None:
        now, events = fault.turns[-1]
        self._add(now, Encoded(events), RAISED + fault.error.encode())
        self.was_fault(fault)

    def decided(self, now: float, what: str, topic: str, given: object, said: object) -> None:
        """A decision of one of the parts that supervisors settle together, with all that it rests on."""
        self.writer.add(
            "decision",
            self.unix(now),
            run=self.instance.hub.run,
            what=what,
            topic=topic,
            given=msgspec.json.encode(given),
            said=msgspec.json.encode(said),
        )

    def message(self, now: float, name: str, sent: bool) -> None:
        """A message that a proxy's trace sees from its side."""
        self.writer.add("message", self.unix(now), id=name, sent=int(sent))
