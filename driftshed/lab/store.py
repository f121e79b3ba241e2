"""One SQLite file of runs: what was to be run, what came of it, and all that is needed to run each again."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

import msgspec
import zstandard

from driftshed.lab.run import Outcome

TABLES = """
create table if not exists run (
    id integer primary key, label text not null, scenario text not null, text text not null, variant text not null,
    policy text not null, flags text not null, build text not null, clock text not null, seed integer not null,
    state text not null default 'to do', why text not null default '', version text not null default '',
    service real, worst real, bound real, broken integer, counts integer, wall real, outcome blob,
    unique (label, scenario, variant, clock, seed)
)
"""


class Job(msgspec.Struct):
    """One run that is to be done: `text` is the scenario's file, `flags` what the variant sets over it."""

    label: str
    scenario: str
    text: str
    variant: str
    policy: str
    flags: dict[str, str | int | float | bool]
    build: str
    clock: str
    seed: int


class Row(NamedTuple):
    """One run of the store, without its outcome."""

    id: int
    label: str
    scenario: str
    variant: str
    clock: str
    seed: int
    state: str
    why: str
    service: float | None
    worst: float | None
    bound: float | None
    broken: int | None
    counts: int | None
    wall: float | None


class Store:
    """Every change is a transaction of its own: a run killed halfway is to be done still."""

    def __init__(self, path: Path) -> None:
        self.file = sqlite3.connect(path, timeout=30.0, isolation_level=None, check_same_thread=False)
        self.file.execute("pragma journal_mode = wal")
        self.file.execute(TABLES)

    def plan(self, jobs: list[Job]) -> int:
        """Adds what is not in it yet; how many were new."""
        before = self.file.total_changes
        for job in jobs:
            self.file.execute(
                "insert or ignore into run (label, scenario, text, variant, policy, flags, build, clock, seed) "
                "values (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    job.label,
                    job.scenario,
                    job.text,
                    job.variant,
                    job.policy,
                    msgspec.json.encode(job.flags).decode(),
                    job.build,
                    job.clock,
                    job.seed,
                ),
            )
        return self.file.total_changes - before

    def to_do(self, label: str) -> list[tuple[int, Job]]:
        rows = self.file.execute(
            "select id, label, scenario, text, variant, policy, flags, build, clock, seed from run "
            "where label = ? and state != 'done' order by id",
            (label,),
        )
        return [(row[0], Job(*row[1:6], msgspec.json.decode(row[6]), *row[7:])) for row in rows]

    def done(self, number: int, outcome: Outcome, version: str) -> None:
        blob = zstandard.compress(msgspec.msgpack.encode(outcome))
        broken = sum(row["broken"] for row in outcome.rules.values()) + len(outcome.faults)
        self.file.execute(
            "update run set state = 'done', why = '', service = ?, worst = ?, bound = ?, broken = ?, counts = ?, "
            "wall = ?, outcome = ?, version = ? where id = ?",
            (
                outcome.service,
                outcome.worst,
                outcome.bound,
                broken,
                int(outcome.counts),
                sum(outcome.wall),
                blob,
                version,
                number,
            ),
        )

    def failed(self, number: int, why: str) -> None:
        self.file.execute("update run set state = 'failed', why = ? where id = ?", (why, number))

    def rows(self, label: str | None = None) -> list[Row]:
        where, with_ = ("where label = ?", (label,)) if label else ("", ())
        return [
            Row(*row)
            for row in self.file.execute(f"select {', '.join(Row._fields)} from run {where} order by id", with_)
        ]

    def outcome(self, number: int) -> Outcome | None:
        row = self.file.execute("select outcome from run where id = ?", (number,)).fetchone()
        if row is None or row[0] is None:
            return None
        return msgspec.msgpack.decode(zstandard.decompress(row[0]), type=Outcome)

    def close(self) -> None:
        self.file.close()
