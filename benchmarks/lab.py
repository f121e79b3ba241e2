"""The laboratory itself: how fast virtual time runs at three sizes, and how alike the two clocks are.

python -m benchmarks.lab speed
python -m benchmarks.lab clocks --days 20
"""

from __future__ import annotations

import time

import click

from driftshed.lab.grounds import VirtualGround
from driftshed.lab.run import rare_collections, run
from driftshed.lab.scenario import (
    Crash,
    Deploy,
    Kill,
    Rejoin,
    Sick,
    Surge,
    Whom,
    bare_day,
    check,
)
from driftshed.lab.world import World


@click.group()
def main() -> None:
    """What the laboratory costs."""


@main.command()
@click.option("--seconds", default=20.0)
@click.option("--sizes", default="small,full,large")
def speed(seconds: float, sizes: str) -> None:
    """Simulated seconds and events a real second, on one core, after the first 4 s of joining."""
    for size in sizes.split(","):
        day = bare_day(size, seconds)
        ground = VirtualGround(day, 1)
        World(day, 1, ground).open()
        began = time.process_time()
        with rare_collections():
            ground.whole.run(4.0)
            joined, events = time.process_time(), ground.whole.events
            ground.whole.run(seconds)
        took = time.process_time() - joined
        done = ground.whole.events - events
        click.echo(
            f"{size:6} {day.fleet.servers:4} servers {day.facts.proxies:5} proxies {day.traffic.rate:6.0f} a second: "
            f"{(seconds - 4) / took:6.2f} simulated seconds a second, {done / took:8.0f} events a second, "
            f"{took / (seconds - 4) / day.traffic.rate * 1e6:6.0f} us an invocation; first 4 s {joined - began:.1f} s"
        )


@main.command()
@click.option("--days", default=20)
def clocks(days: int) -> None:
    """The same small days in virtual time and as processes: rules, and service."""
    alike = 0
    most = 0.0
    for seed in range(1, days + 1):
        day = bare_day("tiny", 8.0)
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
        virtual, real = (run(check(day), seed, clock) for clock in ("virtual", "real"))
        apart = real.service - virtual.service
        most = max(most, abs(apart))
        rules = [{rule: row["broken"] for rule, row in outcome.rules.items()} for outcome in (virtual, real)]
        same = rules[0] == rules[1]
        alike += same and abs(apart) <= 0.03
        click.echo(
            f"seed {seed:2} {type(day.troubles[0]).__name__:8} virtual {virtual.service:.4f} real "
            f"{real.service:.4f} apart {apart:+.4f}; rules {'equal' if same else 'differ'}; counts "
            f"{real.counts} (lag p99 {real.lag[0] * 1000:.1f} ms)"
        )
    click.echo(f"{alike} of {days} with equal rules and service within 0.03; most apart {most:.4f}")


if __name__ == "__main__":
    main()
