"""Experiments: scenarios x variants x seeds, each run in a process of its own, on all cores, into one store. Completed
runs are not repeated, so a killed experiment resumes where it was."""

from __future__ import annotations

import fcntl
import os
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from importlib.metadata import version
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from driftshed.lab.baselines import POLICIES
from driftshed.lab.once import Task
from driftshed.lab.run import Outcome
from driftshed.lab.scenario import ScenarioError, format_scenario, load_scenario, parse_scenario, random_day
from driftshed.lab.store import Job, RunStore

RUN_TIMEOUT_S = 3600.0  # wall-clock time of one run


class Variant(Struct, forbid_unknown_fields=True):
    """One side of a comparison: a policy, flags set over those of the scenario, or the build in another folder."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    policy: str = "driftshed"
    flags: dict[str, str | int | float | bool] = {}
    build: str = ""


class Experiment(Struct, forbid_unknown_fields=True):
    """A matrix of runs. `scenarios`: names or files; `drawn`: a size of random days, one for each seed."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    seeds: Annotated[list[int], Meta(min_length=1)]
    variants: Annotated[list[Variant], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Variant("driftshed")]
    )
    scenarios: list[str] = []
    drawn: Literal["", "tiny", "small", "full", "large"] = ""
    clock: Literal["virtual", "real"] = "virtual"

    def jobs(self) -> list[Job]:
        """Every run of the matrix. Raises ScenarioError where one is invalid."""
        sources = [(name, lambda seed, name=name: format_scenario(load_scenario(name))) for name in self.scenarios]
        if self.drawn:
            sources.append((f"drawn {self.drawn}", lambda seed: format_scenario(random_day(seed, self.drawn))))
        jobs = []
        for variant in self.variants:
            if variant.policy not in POLICIES:
                raise ScenarioError(f"policy {variant.policy!r} is not one of {', '.join(POLICIES)}")
            if self.clock == "real" and variant.policy != "driftshed":
                raise ScenarioError(f"policy {variant.policy!r}: baselines run only in virtual time")
            if variant.build and not (Path(variant.build) / "driftshed" / "lab").is_dir():
                raise ScenarioError(f"build {variant.build!r}: not a folder that contains driftshed/lab")
            for name, make_text in sources:
                for seed in self.seeds:
                    text = make_text(seed)
                    _check_flags(text, variant)
                    jobs.append(
                        Job(
                            self.name,
                            name,
                            text,
                            variant.name,
                            variant.policy,
                            variant.flags,
                            variant.build,
                            self.clock,
                            seed,
                        )
                    )
        return jobs


def _check_flags(text: str, variant: Variant) -> None:
    scenario = parse_scenario(text, "scenario")
    scenario.flags |= variant.flags
    parse_scenario(format_scenario(scenario), f"variant {variant.name}")


class RunFailed(Exception):
    """A run without an outcome, with its last line of error output."""


def run_job(job: Job, on_start: Callable[[subprocess.Popen], object] = lambda process: None) -> Outcome:
    """Runs a job in a process of its own, with the build that it names. Raises RunFailed."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith("DRIFTSHED_")}
    if job.build:
        environment["PYTHONPATH"] = str(Path(job.build).resolve())
    task = msgspec.json.encode(Task(job.text, job.seed, job.clock, job.policy, job.flags))
    process = subprocess.Popen(
        [sys.executable, "-m", "driftshed.lab.once"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=environment,
        cwd=job.build or None,
    )
    on_start(process)
    try:
        output, error_output = process.communicate(task, RUN_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise RunFailed(f"not finished within {RUN_TIMEOUT_S:g} s") from None
    if process.returncode:
        raise RunFailed(
            error_output.decode(errors="replace").strip().rpartition("\n")[2] or f"exit code {process.returncode}"
        )
    return msgspec.msgpack.decode(output, type=Outcome)


def run_pending(
    store: RunStore, label: str, jobs: int, on_done: Callable[[Job, Outcome | None, str], object] = lambda *_: None
) -> int:
    """Runs what is pending of an experiment, `jobs` at a time, and returns the number of failures. Runs in real
    time go one at a time on a machine, across all processes."""
    lock, stopped, running = threading.Lock(), threading.Event(), set()
    failures = 0

    def run_one(number: int, job: Job) -> None:
        nonlocal failures
        if stopped.is_set():
            return
        outcome, reason = None, ""
        try:
            with _ExclusiveLock(job.clock == "real"):
                outcome = run_job(job, running.add)
        except RunFailed as error:
            reason = str(error)
        with lock:
            if stopped.is_set():
                return
            if outcome is not None:
                store.record_outcome(number, outcome, version("driftshed"))
            else:
                failures += 1
                store.record_failure(number, reason)
            on_done(job, outcome, reason)

    pending = store.pending_jobs(label)
    real = any(job.clock == "real" for _, job in pending)
    with ThreadPoolExecutor(1 if real else jobs) as pool:
        try:
            for future in [pool.submit(run_one, number, job) for number, job in pending]:
                future.result()
        except BaseException:
            stopped.set()
            pool.shutdown(wait=False, cancel_futures=True)
            for process in running:
                if process.poll() is None:
                    process.kill()
            raise
    return failures


class _ExclusiveLock:
    """Prevents two real-time runs at once on one machine, which would slow each other down."""

    def __init__(self, exclusive: bool) -> None:
        self.exclusive, self.file = exclusive, None

    def __enter__(self) -> None:
        if self.exclusive:
            self.file = (Path(tempfile.gettempdir()) / f"driftshed-lab-{os.getuid()}.lock").open("w")
            fcntl.flock(self.file, fcntl.LOCK_EX)

    def __exit__(self, *_: object) -> None:
        if self.file:
            self.file.close()
