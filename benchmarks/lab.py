"""Measures the laboratory: the speed of virtual time at three sizes, and the agreement of its two clocks.

python -m benchmarks.lab speed
python -m benchmarks.lab clocks --days 20
"""

from __future__ import annotations

import time

import click

from driftshed.lab.environments import VirtualEnvironment
from driftshed.lab.run import infrequent_garbage_collection, run
from driftshed.lab.scenario import (
    Crash,
    Deploy,
    Kill,
    Rejoin,
    Sick,
    Surge,
    Whom,
    check_scenario,
    fault_free_day,
)
from driftshed.lab.simulation import SimulatedDeployment


@click.group()
def main() -> None:
    """Measures the laboratory."""


@main.command()
@click.option("--seconds", default=20.0)
@click.option("--sizes", default="small,full,large")
def speed(seconds: float, sizes: str) -> None:
    """Simulated seconds and events per real second on one core, after the first 4 s, in which proxies join."""
    for size in sizes.split(","):
        day = fault_free_day(size, seconds)
        environment = VirtualEnvironment(day, 1)
        SimulatedDeployment(day, 1, environment).open()
        started_at = time.process_time()
        with infrequent_garbage_collection():
            environment.virtual_loop.run(4.0)
            joined, events = time.process_time(), environment.virtual_loop.events
            environment.virtual_loop.run(seconds)
        elapsed = time.process_time() - joined
        event_count = environment.virtual_loop.events - events
        click.echo(
            f"{size:6} {day.fleet.servers:4} servers {day.facts.proxies:5} proxies {day.traffic.rate:6.0f} a second: "
            f"{(seconds - 4) / elapsed:6.2f} simulated seconds a second, {event_count / elapsed:8.0f} events a second, "
            f"{elapsed / (seconds - 4) / day.traffic.rate * 1e6:6.0f} us an invocation; "
            f"first 4 s {joined - started_at:.1f} s"
        )


@main.command()
@click.option("--days", default=20)
def clocks(days: int) -> None:
    """Compares broken rules and service of the same small days in virtual time and as processes."""
    similar_days = 0
    max_difference = 0.0
    for seed in range(1, days + 1):
        day = fault_free_day("tiny", 8.0)
        day.flags |= {"warm-within": 3.0}
        day.troubles = [
            [Deploy(1.0, Whom(count=3), 1.0, 1, 3.0)],
            [Sick(2.0, 5.0, "hang")],
            [Crash(2.0, Whom(count=2), 1.5)],
            [Kill(2.0, 1.0)],
            [Sick(1.0, 6.0, "errors", 0.8), Deploy(2.0, Whom(count=2), 1.0, 1, 3.0)],
            [Rejoin(3.0)],
            [Surge(2.0, 3.0, 1.6)],
            [Sick(1.5, 5.0, "slow", 4.0, Whom(count=2))],
        ][seed % 8]
        virtual, real = (run(check_scenario(day), seed, clock) for clock in ("virtual", "real"))
        difference = real.service - virtual.service
        max_difference = max(max_difference, abs(difference))
        rules = [{rule: row["broken"] for rule, row in outcome.rules.items()} for outcome in (virtual, real)]
        rules_equal = rules[0] == rules[1]
        similar_days += rules_equal and abs(difference) <= 0.03
        click.echo(
            f"seed {seed:2} {type(day.troubles[0]).__name__:8} virtual {virtual.service:.4f} real "
            f"{real.service:.4f} apart {difference:+.4f}; rules {'equal' if rules_equal else 'differ'}; counts "
            f"{real.counts} (lag p99 {real.lag[0] * 1000:.1f} ms)"
        )
    click.echo(f"{similar_days} of {days} with equal rules and service within 0.03; most apart {max_difference:.4f}")


if __name__ == "__main__":
    main()
