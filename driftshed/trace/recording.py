"""Records an instance of the decisions module in a supervisor: every batch of events and the orders that followed."""

from __future__ import annotations

import msgspec

from driftshed.core.hosting import Fault
from driftshed.core.instance import Instance
from driftshed.trace.replay import ERROR_PREFIX, core_version, encode_facts, encode_records
from driftshed.trace.writer import TraceWriter


class LazyEncoded:
    """Events or orders whose encoding is deferred until they are written, on the writer's thread."""

    __slots__ = ("records",)

    def __init__(self, records: list) -> None:
        """Keeps the list itself, which must not change afterwards."""
        self.records = records

    def __bytes__(self) -> bytes:
        return encode_records(self.records)


class Recording:
    """Connects an instance to a trace writer through the callbacks of the instance."""

    def __init__(self, instance: Instance, writer: TraceWriter) -> None:
        """Sets the callbacks of the instance and records its start; a previous `on_fault` is still called."""
        self.instance, self.writer, self.begin_number, self.turn_number = instance, writer, -1, 0
        self.core = core_version()
        instance.on_turn, instance.on_module_start, instance.on_switch = self._turn, self._start, self._switch
        self.previous_on_fault, instance.on_fault = instance.on_fault, self._fault
        self._start(instance.seed, instance.started_at)

    def unix_time(self, now: float) -> float:
        """The unix time of a moment on the instance's clock, in seconds."""
        return now - self.instance.roster.wall_offset

    def _start(self, seed: int, now: float) -> None:
        self.begin_number, self.turn_number = self.begin_number + 1, 0
        self.writer.add(
            "start",
            self.unix_time(now),
            run=self.instance.hub.run,
            begin=self.begin_number,
            now=now,
            seed=seed,
            core=self.core,
            facts=encode_facts(self.instance.facts),
        )

    def _switch(self, now: float) -> None:
        """The instance uses other facts from its next turn on."""
        self.writer.add(
            "switch",
            self.unix_time(now),
            run=self.instance.hub.run,
            begin=self.begin_number,
            turn=self.turn_number,
            now=now,
            facts=encode_facts(self.instance.facts),
        )

    def _turn(self, now: float, events: list, orders: list) -> None:
        self._add_turn(now, LazyEncoded(events), LazyEncoded(orders))

    def _add_turn(self, now: float, events: object, orders: object) -> None:
        self.writer.add(
            "turn",
            self.unix_time(now),
            run=self.instance.hub.run,
            begin=self.begin_number,
            turn=self.turn_number,
            now=now,
            events=events,
            orders=orders,
        )
        self.turn_number += 1

    def _fault(self, fault: Fault) -> None:
        now, events = fault.event_batches[-1]
        self._add_turn(now, LazyEncoded(events), ERROR_PREFIX + fault.error.encode())
        self.previous_on_fault(fault)

    def record_decision(self, now: float, what: str, topic: str, given: object, said: object) -> None:
        """Records a decision that the supervisors agree on (`said`), with all its inputs (`given`)."""
        self.writer.add(
            "decision",
            self.unix_time(now),
            run=self.instance.hub.run,
            what=what,
            topic=topic,
            given=msgspec.json.encode(given),
            said=msgspec.json.encode(said),
        )

    def record_message(self, now: float, name: str, sent: bool) -> None:
        """Records a message exchanged with a proxy, whose trace records it too; `sent`: from here to the proxy."""
        self.writer.add("message", self.unix_time(now), id=name, sent=int(sent))
