"""Replay: feeds recorded events to the module again and finds where its orders first differ from the recorded ones. No
I/O on traces."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

import driftshed
from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.core.migration import migrate
from driftshed.trace.columns import TraceError

CORE_FILES = ("brain.py", "figures.py", "interface.py", "core/migration.py")
AGREED_DECISIONS = -1  # instead of the number of an instance of a run: its decisions agreed with other supervisors
ERROR_PREFIX = b"!"  # begins a record that holds, instead of orders, the exception that the module raised


def core_version() -> str:
    """The digest of the source files that determine the module's decisions."""
    digest = xxhash.xxh64()
    for name in CORE_FILES:
        digest.update((Path(driftshed.__file__).parent / name).read_bytes())
    return digest.hexdigest()


def encode_records(records: list) -> bytes:
    """Encodes events or orders of the interface; floats keep every bit."""
    return msgspec.msgpack.encode([(type(record).__name__, record) for record in records])


def decode_records(data: bytes) -> list:
    """Decodes the result of `encode_records`. Raises TraceError if the data is malformed."""
    try:
        rows = msgspec.msgpack.decode(data, type=list[tuple[str, list]])
        kinds = [getattr(face, name) for name, _ in rows]
        return [msgspec.convert(fields, kind) for kind, (_, fields) in zip(kinds, rows, strict=True)]
    except (msgspec.MsgspecError, AttributeError, TypeError, RecursionError) as error:
        raise TraceError(f"malformed recorded events: {error}") from None


def encode_facts(facts: face.StartFacts) -> bytes:
    """Encodes start facts as an array, in the order of the fields."""
    return msgspec.msgpack.encode(facts)


def decode_facts(data: bytes) -> face.StartFacts:
    """Decodes the result of `encode_facts`. Raises TraceError if the data is malformed."""
    try:
        facts = face.StartFacts(*msgspec.msgpack.decode(data, type=list))
        operations = tuple(face.Operation(*row) for row in facts.operations)
        lists = {name: tuple(getattr(facts, name)) for name in ("zones", "kinds", "load_fields")}
        return facts._replace(operations=operations, **lists)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise TraceError(f"malformed recorded start facts: {error}") from None


class Verdict(NamedTuple):
    """The result of replaying one instance. `said`: "same", "differs" or "unknown"; `turns`: the number of turns (or
    decisions) that came out the same. `begin` -1 stands for the decisions that the run agreed with other
    supervisors."""

    run: str
    begin: int
    said: str
    turns: int
    why: str


class Replay:
    """Replays the instances of a trace. Pass all records in order to the method named after their kind, then call
    `verdicts()`. A key of its tables is (run, number of the instance in the run)."""

    def __init__(
        self,
        other_core: bool = False,
        make_brain: Callable[..., Brain] = Brain,
        core: str | None = None,
        decision_checkers: dict[str, Callable[[dict], str]] | None = None,
    ) -> None:
        """`other_core`: also replay instances that another version of the core recorded. `core`: the version to expect
        instead of this program's."""
        self.make_brain, self.other_core, self.core_version = make_brain, other_core, core or core_version()
        self.brains: dict[tuple[str, int], Brain | None] = {}
        self.turns: dict[tuple[str, int], int] = {}
        self.facts: dict[tuple[str, int], face.StartFacts] = {}
        self.conclusions: dict[tuple[str, int], Verdict] = {}
        self.decision_checkers = (
            decision_checkers or {}
        )  # by the first part of the topic; returns how a decision differs, or ""

    def _conclude(self, key: tuple[str, int], said: str, why: str) -> None:
        if key not in self.conclusions:
            self.conclusions[key] = Verdict(*key, said, self.turns.get(key, 0), why)
            self.brains[key] = None

    def start(self, row: dict) -> None:
        """Starts an instance of the module with the recorded facts and seed."""
        key = row["run"], row["begin"]
        self.turns[key] = 0
        if row["core"] != self.core_version and not self.other_core:
            self._conclude(key, "unknown", f"decided by core {row['core']}; this program has {self.core_version}")
            return
        self.facts[key] = decode_facts(row["facts"])
        self.brains[key] = self.make_brain(self.facts[key], row["seed"], row["now"])

    def switch(self, row: dict) -> None:
        """Migrates an instance to the recorded new facts."""
        key = row["run"], row["begin"]
        brain = self.brains.get(key)
        if key in self.conclusions or brain is None:
            return
        facts = decode_facts(row["facts"])
        self.brains[key] = migrate(brain, self.facts[key], facts, self.make_brain)
        self.facts[key] = facts

    def turn(self, row: dict) -> None:
        """Replays one batch of events and compares the orders, or the exception, with the recorded ones."""
        key = row["run"], row["begin"]
        if key in self.conclusions:
            return
        brain = self.brains.get(key)
        if brain is None:
            self._conclude(key, "unknown", f"its start is not in the trace: the first turn here is {row['turn']}")
            return
        if row["turn"] != self.turns[key]:
            why = f"turns {self.turns[key]} to {row['turn'] - 1} are missing; what came before them was the same"
            self._conclude(key, "unknown", why)
            return
        events = decode_records(row["events"])
        try:
            orders = brain.handle(row["now"], events)
            ordered = encode_records(orders)
        except Exception as error:  # an exception of the module is replayed like orders
            orders, ordered = [], ERROR_PREFIX + f"{type(error).__name__}: {error}".encode()
        if ordered != row["orders"]:
            self._conclude(
                key,
                "differs",
                f"turn {row['turn']} at {row['now']:.6f} s: {_describe_difference(row['orders'], orders)}",
            )
            return
        self.turns[key] += 1

    def decision(self, row: dict) -> None:
        """Checks a decision that supervisors agreed on. Its record holds all inputs, so no earlier state is needed."""
        kind = row["topic"].partition(".")[0]
        key = row["run"], AGREED_DECISIONS
        if key in self.conclusions:
            return
        decide = self.decision_checkers.get(kind)
        if decide is None:
            self._conclude(key, "unknown", f"no decider for topics such as {row['topic']!r}")
        elif differs := decide(row):
            self._conclude(key, "differs", f"{row['what']} on {row['topic']} at {row['at']:.6f} s: {differs}")
        else:
            self.turns[key] = self.turns.get(key, 0) + 1
            self.brains.setdefault(key, None)

    def verdicts(self) -> list[Verdict]:
        """Ends the replay; one verdict per instance, ordered by run and number."""
        for key in [key for key in self.brains if key not in self.conclusions]:
            what = (
                "decisions are the same" if key[1] == AGREED_DECISIONS else "turns give the same orders, byte for byte"
            )
            self._conclude(key, "same", f"{self.turns[key]} {what}")
        return [self.conclusions[key] for key in sorted(self.conclusions)]


def _describe_difference(recorded: bytes, orders: list) -> str:
    if recorded.startswith(ERROR_PREFIX):
        return f"recorded that the module raised {recorded[1:].decode('utf-8', 'replace')}"
    before = decode_records(recorded)
    for index in range(max(len(before), len(orders))):
        old = before[index] if index < len(before) else None
        new = orders[index] if index < len(orders) else None
        if encode_records([old]) != encode_records([new]):
            return f"order {index + 1} was {old!r} and is {new!r}"
    return "the orders are equal but their encodings differ"
