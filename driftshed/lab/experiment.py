"""Experiments: scenarios x variants x seeds, each run in a process of its own, on all cores, into one store. What is
done is not done again, so that an experiment that was killed goes on where it was."""

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
from driftshed.lab.scenario import BadScenario, drawn, load_scenario, read_scenario, write_scenario
from driftshed.lab.store import Job, Store

LONGEST = 3600.0  # seconds of one run on the wall


class Variant(Struct, forbid_unknown_fields=True):
    """What is compared: a policy, flags over the scenario's own, or the build in another folder."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    policy: str = "driftshed"
    flags: dict[str, str | int | float | bool] = {}
    build: str = ""


class Experiment(Struct, forbid_unknown_fields=True):
    """A matrix. `scenarios`: names or files; `drawn`: a size of days drawn anew for each seed."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    seeds: Annotated[list[int], Meta(min_length=1)]
    variants: Annotated[list[Variant], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Variant("driftshed")]
    )
    scenarios: list[str] = []
    drawn: Literal["", "tiny", "small", "full", "large"] = ""
    clock: Literal["virtual", "real"] = "virtual"

    def jobs(self) -> list[Job]:
        """Every run of the matrix; BadScenario where one cannot be."""
        texts = [(name, lambda seed, name=name: write_scenario(load_scenario(name))) for name in self.scenarios]
        if self.drawn:
            texts.append((f"drawn {self.drawn}", lambda seed: write_scenario(drawn(seed, self.drawn))))
        jobs = []
        for variant in self.variants:
            if variant.policy not in POLICIES:
                raise BadScenario(f"policy {variant.policy!r} is none of {', '.join(POLICIES)}")
            if self.clock == "real" and variant.policy != "driftshed":
                raise BadScenario(f"policy {variant.policy!r}: baselines run in virtual time alone")
            if variant.build and not (Path(variant.build) / "driftshed" / "lab").is_dir():
                raise BadScenario(f"build {variant.build!r}: no folder with driftshed/lab in it")
            for name, text in texts:
                for seed in self.seeds:
                    whole = text(seed)
                    _check_flags(whole, variant)
                    jobs.append(
                        Job(
                            self.name,
                            name,
                            whole,
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
    scenario = read_scenario(text, "scenario")
    scenario.flags |= variant.flags
    read_scenario(write_scenario(scenario), f"variant {variant.name}")


class Failed(Exception):
    """A run that came to nothing, and what it said."""


def run_job(job: Job, started: Callable[[subprocess.Popen], object] = lambda process: None) -> Outcome:
    """One run in a process of its own. Raises Failed."""
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
    started(process)
    try:
        out, said = process.communicate(task, LONGEST)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise Failed(f"not done within {LONGEST:g} s") from None
    if process.returncode:
        raise Failed(said.decode(errors="replace").strip().rpartition("\n")[2] or f"exit code {process.returncode}")
    return msgspec.msgpack.decode(out, type=Outcome)


def perform(
    store: Store, label: str, jobs: int, told: Callable[[Job, Outcome | None, str], object] = lambda *_: None
) -> int:
    """Does what is to be done of an experiment, `jobs` at a time; how many failed. Runs for real are done one at a time
    on a machine, whoever else runs some."""
    lock, stopped, running = threading.Lock(), threading.Event(), set()
    failures = 0

    def one(number: int, job: Job) -> None:
        nonlocal failures
        if stopped.is_set():
            return
        outcome, why = None, ""
        try:
            with _Alone(job.clock == "real"):
                outcome = run_job(job, running.add)
        except Failed as error:
            why = str(error)
        with lock:
            if stopped.is_set():
                return
            if outcome is not None:
                store.done(number, outcome, version("driftshed"))
            else:
                failures += 1
                store.failed(number, why)
            told(job, outcome, why)

    todo = store.to_do(label)
    real = any(job.clock == "real" for _, job in todo)
    with ThreadPoolExecutor(1 if real else jobs) as pool:
        try:
            for done in [pool.submit(one, number, job) for number, job in todo]:
                done.result()
        except BaseException:
            stopped.set()
            pool.shutdown(wait=False, cancel_futures=True)
            for process in running:
                if process.poll() is None:
                    process.kill()
            raise
    return failures


class _Alone:
    """Guards against two runs for real at once on one machine, which would slow one another."""

    def __init__(self, wanted: bool) -> None:
        self.wanted, self.file = wanted, None

    def __enter__(self) -> None:
        if self.wanted:
            self.file = (Path(tempfile.gettempdir()) / f"driftshed-lab-{os.getuid()}.lock").open("w")
            fcntl.flock(self.file, fcntl.LOCK_EX)

    def __exit__(self, *_: object) -> None:
        if self.file:
            self.file.close()
