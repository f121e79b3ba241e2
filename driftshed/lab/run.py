"""One run: a scenario, a seed, a clock and a policy; and all that is kept of it."""

from __future__ import annotations

import gc
import hashlib
import shutil
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import numpy as np
from msgspec import Struct

from driftshed.day.accord import judge_accord
from driftshed.day.judge import Case, Judge, Verdict
from driftshed.day.recorder import ASK, WORK, read_record
from driftshed.day.traffic import read_traffic
from driftshed.lab.baselines import POLICIES
from driftshed.lab.grounds import RealGround, VirtualGround, decided_in
from driftshed.lab.scenario import Scenario, check, write_scenario
from driftshed.lab.world import SETTLE, World

WORST = 10.0  # seconds: the stretch whose service is the worst that is told


class Outcome(Struct):
    """What is kept of a run. Times in seconds, service as a share of the billed value that was asked for."""

    scenario: str  # as a file
    seed: int
    clock: str
    policy: str
    counts: bool  # False where the load tool could not keep up
    lag: tuple[float, float]  # its p99 and worst
    service: float
    worst: float  # service of the worst 10 s
    bound: float  # what an all-knowing policy gets at most
    asked: int
    operations: dict[str, float]  # service
    latency: dict[str, dict[str, float]]  # p50, p90, p99, p99.9 of good answers, by operation
    over_time: list[tuple[float, float]]  # value got and asked for, second by second
    rules: dict[str, dict[str, int]]
    breaks: list[str]
    margins: dict[str, float]  # by rule: how much of what is allowed was used at the most
    bands: list[tuple[float, float, str]]
    waiting: list[tuple[float, float]]  # lines in the channel, by time
    cap: float
    out: list[tuple[str, float, float, str]]  # server, since, till, why
    carried: dict[str, list[tuple[float, float, float]]]  # by server: second, work sent, capacity
    decided: list[str]
    faults: list[str]
    digest: str  # of all that passed
    events: int
    stages: list[tuple[float, str, dict]]  # of zones that are left: when, what each supervisor logged
    wall: tuple[float, float]  # seconds of the run, and of judging it

    @property
    def kept(self) -> bool:
        return not any(row["broken"] for row in self.rules.values()) and not self.faults


def run(scenario: Scenario, seed: int, clock: str = "virtual", policy: str = "driftshed") -> Outcome:
    """Plays the scenario's day and judges it by what passed. `clock`: "virtual" or "real"."""
    check(scenario)
    began = time.perf_counter()
    if clock == "virtual":
        chosen = POLICIES[policy]
        ground = VirtualGround(scenario, seed, chosen.brain, chosen.pick)
        world = World(scenario, seed, ground)
        rows = _play(world)
        with rare_collections():
            ground.loop.loop.run(scenario.seconds + SETTLE)
        if ground.folder is not None:
            shutil.rmtree(ground.folder, ignore_errors=True)
        kinds, decided = ground.record.kinds, [text for _, text in ground.decided]
        events, unix = ground.whole.events, 0.0
    else:
        with tempfile.TemporaryDirectory() as scratch:
            ground = RealGround(scenario, seed, Path(scratch))
            world = World(scenario, seed, ground)
            ground.servers = world.servers
            try:
                rows = _play(world)
                ground.loop.run(world.began + scenario.seconds + SETTLE)
            finally:
                if world.places:
                    world.close()
                ground.close()
            unix, kinds = read_traffic(read_record(Path(scratch) / "record"))
            decided, events = decided_in(Path(scratch) / "supervisor.log"), 0
    played = time.perf_counter()
    outcome = _judge(world, kinds, unix, rows)
    outcome.clock, outcome.policy, outcome.decided, outcome.events = clock, policy, decided, events
    outcome.faults, outcome.stages = ground.faults, ground.stages
    outcome.wall = round(played - began, 3), round(time.perf_counter() - played, 3)
    return outcome


@contextmanager
def rare_collections() -> Iterator[None]:
    """What is kept of a run is looked through again and again for garbage, a fifth of all time: do so more rarely."""
    before = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(100_000, 20, 50)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def _play(world: World) -> list[tuple[float, int, float | None, int]]:
    rows: list[tuple[float, int, float | None, int]] = []
    world.open()
    world.load.row = lambda *row: rows.append(row)
    return rows


def _judge(world: World, kinds: dict[str, list], unix: float, rows: list) -> Outcome:
    scenario, facts, cast = world.scenario, world.facts, world.cast
    case = Case(
        facts,
        cast,
        lambda number: scenario.machine(cast.kind_of_server(number), facts),
        scenario.seconds,
        world.cuts,
        world.kills,
        unix,
        kinds,
        world.ground.owner,
        world.pauses,
    )
    judge = Judge(case)
    verdict: Verdict = judge.judge()
    if scenario.fleet.supervisors > 1:
        judge_accord(verdict, kinds, world.ground.owner)
    over_time = service_over_time(scenario, rows)
    lag = world.load.lag
    carried, digest = _carried(world, kinds)
    return Outcome(
        write_scenario(scenario),
        world.seed,
        "",
        "",
        lag.kept_up,
        (round(lag.p99, 6), round(lag.most, 6)),
        verdict.service if verdict.asked else 1.0,
        worst_of(over_time),
        bound_of(world, rows),
        verdict.asked,
        verdict.operations,
        {
            operation.name: {str(p): histogram.get_value_at_percentile(p) / 1e6 for p in (50, 90, 99, 99.9)}
            for operation, histogram in zip(facts.operations, world.load.histograms, strict=True)
            if histogram.get_total_count()
        },
        over_time,
        verdict.rules,
        verdict.breaks,
        verdict.margins,
        [(round(band.since, 3), round(band.till, 3), band.what) for band in world.bands],
        [(round(sample.at, 3), sample.waiting) for sample in world.samples],
        facts.queue_cap,
        _out(world),
        carried,
        [],
        [],
        digest,
        0,
        [],
        (0.0, 0.0),
    )


def service_over_time(scenario: Scenario, rows: list) -> list[tuple[float, float]]:
    """Billed value got and asked for, by the second in which an invocation was to be sent."""
    seconds = [[0.0, 0.0] for _ in range(int(np.ceil(scenario.seconds)))]
    operations = scenario.facts.operations
    for intended, place, took, _status in rows:
        operation = operations[place]
        row = seconds[min(int(intended), len(seconds) - 1)]
        row[1] += operation.billed_value
        if took is not None and took <= operation.latency_objective:
            row[0] += operation.billed_value
        elif took is not None and took <= operation.integration_timeout:
            row[0] += operation.billed_value * operation.late_share
    return [(round(got, 4), round(due, 4)) for got, due in seconds]


def worst_of(over_time: list[tuple[float, float]]) -> float:
    """Service of the worst 10 s; 1.0 on a day on which nothing is asked."""
    span, worst = int(WORST), 1.0
    for k in range(max(1, len(over_time) - span + 1)):
        due = sum(row[1] for row in over_time[k : k + span])
        if due:
            worst = min(worst, sum(row[0] for row in over_time[k : k + span]) / due)
    return worst


def bound_of(world: World, rows: list) -> float:
    """What a policy that knows all could get at the most: second by second, all servers that are up share all work
    without loss, and what pays best for its work goes first. Real policies cannot reach it."""
    facts, traffic = world.facts, world.scenario.traffic
    mean = [(low + high) / 2 for low, high in traffic.work]
    asked = np.zeros((int(np.ceil(world.scenario.seconds)), len(facts.operations)))
    for intended, place, *_ in rows:
        asked[min(int(intended), len(asked) - 1), place] += 1
    values = np.array([operation.billed_value for operation in facts.operations])
    order = np.argsort(-values / np.array(mean))
    got, left = 0.0, 0.0
    samples = world.samples
    for second in range(len(asked)):
        near = min(samples, key=lambda sample: abs(sample.at - second), default=None)
        room = sum(near.capacity.values()) if near else 0.0
        # What was not used up may serve what waits within the objectives: a second's worth is carried over.
        room += min(left, room)
        for place in order:
            done = min(asked[second, place], room / mean[place])
            got += done * values[place]
            room -= done * mean[place]
        left = room
    due = float((asked * values).sum())
    return float(got / due) if due else 1.0


def _carried(world: World, kinds: dict[str, list]) -> tuple[dict, str]:
    """By server and second: the work that was sent to it, and what it could do; and a digest of all that passed."""
    digest = hashlib.blake2b(digest_size=16)
    sent: dict[str, dict[int, float]] = {}
    for connection in kinds.get(WORK, []):
        server = sent.setdefault(connection.asked, {})
        for exchange in connection.exchanges:
            second = int(exchange.asked_at)
            server[second] = server.get(second, 0.0) + float(exchange.query.get("work", 0))
            digest.update(f"{connection.asked} {exchange.asked_at!r} {exchange.status}\n".encode())
    for connection in kinds.get(ASK, []):
        for exchange in connection.exchanges:
            digest.update(f"{exchange.asked_at!r} {exchange.answered_at!r} {exchange.status}\n".encode())
    rows: dict[str, list[tuple[float, float, float]]] = {}
    for sample in world.samples:
        second = int(sample.at)
        for server, capacity in sample.capacity.items():
            work = sent.get(server, {}).get(second, 0.0)
            rows.setdefault(server, []).append((second, round(work, 3), round(capacity, 3)))
    return rows, digest.hexdigest()


def _out(world: World) -> list[tuple[str, float, float, str]]:
    """Stretches for which the supervisor said that a server was withdrawn."""
    present: dict[str, list] = {}
    rows = []
    for sample in world.samples:
        if not sample.heard:
            continue
        for server in [server for server in present if server not in sample.out]:
            rows.append((server, present[server][0], sample.at, present.pop(server)[1]))
        for server, why in sample.out.items():
            present.setdefault(server, [sample.at, why.partition(": ")[2] or why])
    rows += [(server, since, world.scenario.seconds, why) for server, (since, why) in present.items()]
    return [(server, round(since, 2), round(till, 2), why) for server, since, till, why in rows]
