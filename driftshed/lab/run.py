"""One run: a scenario, a seed, a clock and a policy; and the outcome that is kept of it."""

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

from driftshed.day.agreement_checker import check_agreement
from driftshed.day.judge import Judge, JudgeInput, Verdict
from driftshed.day.recorder import CLIENT, WORK, read_record
from driftshed.day.traffic import read_traffic
from driftshed.lab.baselines import POLICIES
from driftshed.lab.environments import RealEnvironment, VirtualEnvironment, decisions_in_log
from driftshed.lab.scenario import Scenario, check_scenario, format_scenario
from driftshed.lab.simulation import SETTLE_S, SimulatedDeployment

WORST_WINDOW_S = 10.0  # length of the window whose service is reported as the worst


class Outcome(Struct):
    """The outcome of a run. Times in seconds, service as a share of the billed value requested."""

    scenario: str  # as the text of its file
    seed: int
    clock: str
    policy: str
    counts: bool  # False where the load generator could not keep up
    lag: tuple[float, float]  # of the load generator: p99 and maximum
    service: float
    worst: float  # service of the worst window of 10 s
    bound: float  # upper bound on the service of any policy
    asked: int
    operations: dict[str, float]  # service
    latency: dict[str, dict[str, float]]  # p50, p90, p99, p99.9 of good answers, by operation
    over_time: list[tuple[float, float]]  # value earned and requested, second by second
    rules: dict[str, dict[str, int]]
    breaks: list[str]
    margins: dict[str, float]  # by rule: the largest share used of what it allows
    bands: list[tuple[float, float, str]]
    waiting: list[tuple[float, float]]  # lines in the channel: time, count
    cap: float
    out: list[tuple[str, float, float, str]]  # server, since, till, why
    carried: dict[str, list[tuple[float, float, float]]]  # by server: second, work sent, capacity
    decided: list[str]
    faults: list[str]
    digest: str  # of all traffic
    events: int
    stages: list[tuple[float, str, dict]]  # of evacuations: when, event and fields logged by each supervisor
    wall: tuple[float, float]  # seconds of the run, and of judging it

    @property
    def rules_kept(self) -> bool:
        """Whether no rule was broken and no fault raised."""
        return not any(row["broken"] for row in self.rules.values()) and not self.faults


def run(scenario: Scenario, seed: int, clock: str = "virtual", policy: str = "driftshed") -> Outcome:
    """Runs the scenario's day and judges it by the recorded traffic. `clock` is "virtual" or "real"; with "real"
    the policy is always the product's."""
    check_scenario(scenario)
    began = time.perf_counter()
    if clock == "virtual":
        chosen = POLICIES[policy]
        environment = VirtualEnvironment(scenario, seed, chosen.brain, chosen.pick)
        deployment = SimulatedDeployment(scenario, seed, environment)
        results = _play(deployment)
        with infrequent_garbage_collection():
            environment.loop.loop.run(scenario.seconds + SETTLE_S)
        if environment.folder is not None:
            shutil.rmtree(environment.folder, ignore_errors=True)
        kinds, decided = environment.record.kinds, [text for _, text in environment.decided]
        events, began_unix = environment.virtual_loop.events, 0.0
    else:
        with tempfile.TemporaryDirectory() as scratch:
            environment = RealEnvironment(scenario, seed, Path(scratch))
            deployment = SimulatedDeployment(scenario, seed, environment)
            environment.servers = deployment.servers
            try:
                results = _play(deployment)
                environment.loop.run(deployment.started_at + scenario.seconds + SETTLE_S)
            finally:
                if deployment.proxy_options:
                    deployment.close()
                environment.close()
            began_unix, kinds = read_traffic(read_record(Path(scratch) / "record"))
            decided, events = decisions_in_log(Path(scratch) / "supervisor.log"), 0
    played = time.perf_counter()
    outcome = _judge(deployment, kinds, began_unix, results)
    outcome.clock, outcome.policy, outcome.decided, outcome.events = clock, policy, decided, events
    outcome.faults, outcome.stages = environment.faults, environment.stages
    outcome.wall = round(played - began, 3), round(time.perf_counter() - played, 3)
    return outcome


@contextmanager
def infrequent_garbage_collection() -> Iterator[None]:
    """Makes garbage collection less frequent: the many objects that a run keeps are scanned over and over, which
    took a fifth of all time."""
    before = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(100_000, 20, 50)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def _play(deployment: SimulatedDeployment) -> list[tuple[float, int, float | None, int]]:
    results: list[tuple[float, int, float | None, int]] = []
    deployment.open()
    deployment.load.on_result = lambda *row: results.append(row)
    return results


def _judge(deployment: SimulatedDeployment, kinds: dict[str, list], began_unix: float, results: list) -> Outcome:
    scenario, facts, address_plan = deployment.scenario, deployment.facts, deployment.address_plan
    case = JudgeInput(
        facts,
        address_plan,
        lambda number: scenario.machine(address_plan.kind_of_server(number), facts),
        scenario.seconds,
        deployment.cuts,
        deployment.kills,
        began_unix,
        kinds,
        deployment.environment.owner,
        deployment.pauses,
    )
    judge = Judge(case)
    verdict: Verdict = judge.judge()
    if scenario.fleet.supervisors > 1:
        check_agreement(verdict, kinds, deployment.environment.owner)
    over_time = service_over_time(scenario, results)
    lag = deployment.load.lag
    carried, digest = _work_by_server(deployment, kinds)
    return Outcome(
        format_scenario(scenario),
        deployment.seed,
        "",
        "",
        lag.kept_up,
        (round(lag.p99, 6), round(lag.max, 6)),
        verdict.service if verdict.asked else 1.0,
        worst_service(over_time),
        service_bound(deployment, results),
        verdict.asked,
        verdict.operations,
        {
            operation.name: {str(p): histogram.get_value_at_percentile(p) / 1e6 for p in (50, 90, 99, 99.9)}
            for operation, histogram in zip(facts.operations, deployment.load.histograms, strict=True)
            if histogram.get_total_count()
        },
        over_time,
        verdict.rules,
        verdict.violations,
        verdict.margins,
        [(round(period.since, 3), round(period.till, 3), period.what) for period in deployment.fault_periods],
        [(round(sample.at, 3), sample.queued_lines) for sample in deployment.samples],
        facts.queue_cap,
        _withdrawn_periods(deployment),
        carried,
        [],
        [],
        digest,
        0,
        [],
        (0.0, 0.0),
    )


def service_over_time(scenario: Scenario, results: list) -> list[tuple[float, float]]:
    """Billed value earned and requested, by the second in which an invocation was due to be sent."""
    seconds = [[0.0, 0.0] for _ in range(int(np.ceil(scenario.seconds)))]
    operations = scenario.facts.operations
    for intended, operation_index, latency, _status in results:
        operation = operations[operation_index]
        row = seconds[min(int(intended), len(seconds) - 1)]
        row[1] += operation.billed_value
        if latency is not None and latency <= operation.latency_objective:
            row[0] += operation.billed_value
        elif latency is not None and latency <= operation.integration_timeout:
            row[0] += operation.billed_value * operation.late_share
    return [(round(earned, 4), round(requested, 4)) for earned, requested in seconds]


def worst_service(over_time: list[tuple[float, float]]) -> float:
    """Service of the worst window of `WORST_WINDOW_S`; 1.0 on a day without invocations."""
    window, worst = int(WORST_WINDOW_S), 1.0
    for k in range(max(1, len(over_time) - window + 1)):
        requested = sum(row[1] for row in over_time[k : k + window])
        if requested:
            worst = min(worst, sum(row[0] for row in over_time[k : k + window]) / requested)
    return worst


def service_bound(deployment: SimulatedDeployment, results: list) -> float:
    """An upper bound on the service of any policy: second by second, all servers that are up share all work without
    loss, and the work with the highest value per second goes first. No real policy reaches it."""
    facts, traffic = deployment.facts, deployment.scenario.traffic
    mean = [(low + high) / 2 for low, high in traffic.work]
    asked = np.zeros((int(np.ceil(deployment.scenario.seconds)), len(facts.operations)))
    for intended, operation_index, *_ in results:
        asked[min(int(intended), len(asked) - 1), operation_index] += 1
    values = np.array([operation.billed_value for operation in facts.operations])
    order = np.argsort(-values / np.array(mean))
    earned, unused = 0.0, 0.0
    samples = deployment.samples
    for second in range(len(asked)):
        nearest = min(samples, key=lambda sample: abs(sample.at - second), default=None)
        available = sum(nearest.capacity.values()) if nearest else 0.0
        # Unused capacity may serve invocations that wait within their objectives: up to one second's is carried over.
        available += min(unused, available)
        for operation_index in order:
            served = min(asked[second, operation_index], available / mean[operation_index])
            earned += served * values[operation_index]
            available -= served * mean[operation_index]
        unused = available
    requested = float((asked * values).sum())
    return float(earned / requested) if requested else 1.0


def _work_by_server(deployment: SimulatedDeployment, kinds: dict[str, list]) -> tuple[dict, str]:
    """By server and second: the work sent to it and its capacity; and a digest of all traffic."""
    digest = hashlib.blake2b(digest_size=16)
    sent: dict[str, dict[int, float]] = {}
    for connection in kinds.get(WORK, []):
        server = sent.setdefault(connection.destination, {})
        for exchange in connection.exchanges:
            second = int(exchange.requested_at)
            server[second] = server.get(second, 0.0) + float(exchange.query.get("work", 0))
            digest.update(f"{connection.destination} {exchange.requested_at!r} {exchange.status}\n".encode())
    for connection in kinds.get(CLIENT, []):
        for exchange in connection.exchanges:
            digest.update(f"{exchange.requested_at!r} {exchange.answered_at!r} {exchange.status}\n".encode())
    rows: dict[str, list[tuple[float, float, float]]] = {}
    for sample in deployment.samples:
        second = int(sample.at)
        for server, capacity in sample.capacity.items():
            work = sent.get(server, {}).get(second, 0.0)
            rows.setdefault(server, []).append((second, round(work, 3), round(capacity, 3)))
    return rows, digest.hexdigest()


def _withdrawn_periods(deployment: SimulatedDeployment) -> list[tuple[str, float, float, str]]:
    """Periods for which the supervisor reported a server as withdrawn: server, since, till, reason."""
    current: dict[str, list] = {}
    rows = []
    for sample in deployment.samples:
        if not sample.supervisor_answered:
            continue
        for server in [server for server in current if server not in sample.withdrawn]:
            rows.append((server, current[server][0], sample.at, current.pop(server)[1]))
        for server, why in sample.withdrawn.items():
            current.setdefault(server, [sample.at, why.partition(": ")[2] or why])
    rows += [(server, since, deployment.scenario.seconds, why) for server, (since, why) in current.items()]
    return [(server, round(since, 2), round(till, 2), why) for server, since, till, why in rows]
