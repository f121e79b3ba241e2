"""One run in a process of its own: `python -m driftshed.lab.once` reads a task on standard input and writes the outcome
to standard output. Another build is another folder in which Python finds this package, so the module's name and both
formats must stay."""

from __future__ import annotations

import sys

import msgspec

from driftshed.lab.run import run
from driftshed.lab.scenario import parse_scenario


class Task(msgspec.Struct):
    """One run; `flags` are set over those of the scenario."""

    text: str
    seed: int
    clock: str
    policy: str
    flags: dict[str, str | int | float | bool] = {}


def run_task(task: Task):
    """Runs the scenario of a task. Raises ScenarioError."""
    scenario = parse_scenario(task.text, "scenario")
    scenario.flags |= task.flags
    return run(scenario, task.seed, task.clock, task.policy)


if __name__ == "__main__":
    sys.stdout.buffer.write(msgspec.msgpack.encode(run_task(msgspec.json.decode(sys.stdin.buffer.read(), type=Task))))
