"""Replay: recorded events to the same module, and where its orders first differ from the recorded ones. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

import driftshed
from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.core.carrying import carried
from driftshed.trace.columns import TraceError

DECIDES = ("brain.py", "figures.py", "interface.py", "core/carrying.py")
SETTLED = -1  # in place of which instance of a run: what it settled with other supervisors
RAISED = b"!"  # in place of orders: the module raised, and what


def core_version() -> str:
    """Names the code that decides here: the same text, the same name."""
    digest = xxhash.xxh64()
    for name in DECIDES:
        digest.update((Path(driftshed.__file__).parent / name).read_bytes())
    return digest.hexdigest()


def encode_records(records: list) -> bytes:
    """Events or orders of the interface, exact to the last bit."""
    return msgspec.msgpack.encode([(type(record).__name__, record) for record in records])


def decode_records(data: bytes) -> list:
    """What `encode_records` made; TraceError where it is none."""
    try:
        rows = msgspec.msgpack.decode(data, type=list[tuple[str, list]])
        kinds = [getattr(face, name) for name, _ in rows]
        return [msgspec.convert(fields, kind) for kind, (_, fields) in zip(kinds, rows, strict=True)]
    except (msgspec.MsgspecError, AttributeError, TypeError, RecursionError) as error:
        raise TraceError(f"recorded events that cannot be read: {error}") from None


def encode_facts(facts: face.StartFacts) -> bytes:
    return msgspec.msgpack.encode(facts)


def decode_facts(data: bytes) -> face.StartFacts:
    try:
        facts = face.StartFacts(*msgspec.msgpack.decode(data, type=list))
        operations = tuple(face.Operation(*row) for row in facts.operations)
        lists = {name: tuple(getattr(facts, name)) for name in ("zones", "kinds", "load_fields")}
        return facts._replace(operations=operations, **lists)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise TraceError(f"recorded start facts that cannot be read: {error}") from None


class Verdict(NamedTuple):
    """What a replay of one instance came to: "same", "differs" or "unknown"; how many turns were judged; why. `begin`
    -1: of the decisions that the run took on what supervisors settle together."""

    run: str
    begin: int
    said: str
    turns: int
    why: str


class Replay:
    """Hears the records of all instances of a trace in order; `verdicts()` at the end."""

    def __init__(
        self,
        other_core: bool = False,
        make: Callable[..., Brain] = Brain,
        core: str | None = None,
        deciders: dict[str, Callable[[dict], str]] | None = None,
    ) -> None:
        self.make, self.other_core, self.core = make, other_core, core or core_version()
        self.brains: dict[tuple[str, int], Brain | None] = {}
        self.turns: dict[tuple[str, int], int] = {}
        self.facts: dict[tuple[str, int], face.StartFacts] = {}
        self.found: dict[tuple[str, int], Verdict] = {}
        self.deciders = deciders or {}  # by how a topic begins: says how a decision comes out otherwise, or ""

    def _end(self, key: tuple[str, int], said: str, why: str) -> None:
        if key not in self.found:
            self.found[key] = Verdict(*key, said, self.turns.get(key, 0), why)
            self.brains[key] = None

    def start(self, row: dict) -> None:
        key = row["run"], row["begin"]
        self.turns[key] = 0
        if row["core"] != self.core and not self.other_core:
            self._end(key, "unknown", f"decided by core {row['core']}; this program has {self.core}")
            return
        self.facts[key] = decode_facts(row["facts"])
        self.brains[key] = self.make(self.facts[key], row["seed"], row["now"])

    def switch(self, row: dict) -> None:
        key = row["run"], row["begin"]
        brain = self.brains.get(key)
        if key in self.found or brain is None:
            return
        facts = decode_facts(row["facts"])
        self.brains[key] = carried(brain, self.facts[key], facts, self.make)
        self.facts[key] = facts

    def turn(self, row: dict) -> None:
        key = row["run"], row["begin"]
        if key in self.found:
            return
        brain = self.brains.get(key)
        if brain is None:
            self._end(key, "unknown", f"its start is not in the trace: the first turn here is {row['turn']}")
            return
        if row["turn"] != self.turns[key]:
            why = f"turns {self.turns[key]} to {row['turn'] - 1} are missing; what came before them was the same"
            self._end(key, "unknown", why)
            return
        events = decode_records(row["events"])
        try:
            orders = brain.handle(row["now"], events)
            ordered = encode_records(orders)
        except Exception as error:  # the module's own fault is part of what is replayed
            orders, ordered = [], RAISED + f"{type(error).__name__}: {error}".encode()
        if ordered != row["orders"]:
            self._end(key, "differs", f"turn {row['turn']} at {row['now']:.6f} s: {_difference(row['orders'], orders)}")
            return
        self.turns[key] += 1

    def decision(self, row: dict) -> None:
        """A decision on a topic that supervisors settle together: it stands for itself, with what it rests on."""
        kind = row["topic"].partition(".")[0]
        key = row["run"], SETTLED
        if key in self.found:
            return
        decide = self.deciders.get(kind)
        if decide is None:
            self._end(key, "unknown", f"nothing here decides on topics such as {row['topic']!r}")
        elif differs := decide(row):
            self._end(key, "differs", f"{row['what']} on {row['topic']} at {row['at']:.6f} s: {differs}")
        else:
            self.turns[key] = self.turns.get(key, 0) + 1
            self.brains.setdefault(key, None)

    def verdicts(self) -> list[Verdict]:
        for key in [key for key in self.brains if key not in self.found]:
            what = "decisions come out the same" if key[1] == SETTLED else "turns bring the same orders, byte for byte"
            self._end(key, "same", f"{self.turns[key]} {what}")
        return [self.found[key] for key in sorted(self.found)]


def _difference(recorded: bytes, orders: list) -> str:
    if recorded.startswith(RAISED):
        return f"recorded that the module raised {recorded[1:].decode('utf-8', 'replace')}"
    before = decode_records(recorded)
    for place in range(max(len(before), len(orders))):
        old = before[place] if place < len(before) else None
        new = orders[place] if place < len(orders) else None
        if encode_records([old]) != encode_records([new]):
            return f"order {place + 1} was {old!r} and is {new!r}"
    return "the orders are alike and their bytes are not"
