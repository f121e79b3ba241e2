"""The store of runs, one SQLite file: jobs, their outcomes, and what is needed to repeat each."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

import msgspec
import zstandard

from driftshed.lab.run import Outcome

SCHEMA = """
create table if not exists run (
    id integer primary key, label text not null, scenario text not null, text text not null, variant text not null,
    policy text not null, flags text not null, build text not null, clock text not null, seed integer not null,
    state text not null default 'to do', why text not null default '', version text not null default '',
    service real, worst real, bound real, broken integer, counts integer, wall real, outcome blob,
    unique (label, scenario, variant, clock, seed)
)
"""


class Job(msgspec.Struct):
    """One run to be done: `text` is the scenario's file, `flags` are set over its flags by the variant."""

    label: str
    scenario: str
    text: str
    variant: str
    policy: str
    flags: dict[str, str | int | float | bool]
    build: str
    clock: str
    seed: int


class RunRow(NamedTuple):
    """One run of the store, without its outcome. The field names are the columns."""

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


class RunStore:
    """Every change is a transaction of its own, so a run that was killed stays pending."""

    def __init__(self, path: Path) -> None:
        """Opens or creates the file. Raises sqlite3.Error."""
        self.database = sqlite3.connect(path, timeout=30.0, isolation_level=None, check_same_thread=False)
        self.database.execute("pragma journal_mode = wal")
        self.database.execute(SCHEMA)

    def add_jobs(self, jobs: list[Job]) -> int:
        """Adds the jobs that the store does not hold yet; returns how many were new."""
        before = self.database.total_changes
        for job in jobs:
            self.database.execute(
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
        return self.database.total_changes - before

    def pending_jobs(self, label: str) -> list[tuple[int, Job]]:
        """Number and job of each run of an experiment without an outcome, failed ones included."""
        rows = self.database.execute(
            "select id, label, scenario, text, variant, policy, flags, build, clock, seed from run "
            "where label = ? and state != 'done' order by id",
            (label,),
        )
        return [(row[0], Job(*row[1:6], msgspec.json.decode(row[6]), *row[7:])) for row in rows]

    def record_outcome(self, number: int, outcome: Outcome, version: str) -> None:
        """Records the outcome of a run, and the version that produced it."""
        blob = zstandard.compress(msgspec.msgpack.encode(outcome))
        broken = sum(row["broken"] for row in outcome.rules.values()) + len(outcome.faults)
        self.database.execute(
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

    def record_failure(self, number: int, why: str) -> None:
        """Records why a run failed; it stays pending."""
        self.database.execute("update run set state = 'failed', why = ? where id = ?", (why, number))

    def rows(self, label: str | None = None) -> list[RunRow]:
        """The runs of one experiment, or all, in order of number."""
        where, parameters = ("where label = ?", (label,)) if label else ("", ())
        return [
            RunRow(*row)
            for row in self.database.execute(
                f"select {', '.join(RunRow._fields)} from run {where} order by id", parameters
            )
        ]

    def outcome(self, number: int) -> Outcome | None:
        """The outcome of a run, or None where there is none."""
        row = self.database.execute("select outcome from run where id = ?", (number,)).fetchone()
        if row is None or row[0] is None:
            return None
        return msgspec.msgpack.decode(zstandard.decompress(row[0]), type=Outcome)

    def close(self) -> None:
        """Closes the file."""
        self.database.close()
