"""`python -m driftshed.standins.platform`: plays seeds against the supervisor and prints the breaks of the rules."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from driftshed.standins.platform import processes, virtual
from driftshed.standins.platform.fleet import PROXIES, RULE_SLACK_S, SUPERVISORS, Fleet
from driftshed.standins.platform.plans import DRAWS
from driftshed.standins.platform.settings import fleet_options


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--first-seed", default=1, show_default=True, type=click.IntRange(min=0))
@click.option("--plays", default=1, show_default=True, type=click.IntRange(1, 10_000), help="Seeds to play in turn.")
@click.option("--seconds", default=56.0, show_default=True, type=click.FloatRange(5.0, 600.0), help="Length of a play.")
@click.option("--dense", is_flag=True, help="Restarts so dense that few servers are warm.")
@click.option("--slow", is_flag=True, help="Slow machines, and supervisors that are away for long.")
@click.option("--troubled", is_flag=True, help="Troubles of servers, clients, proxies, supervisors and networks.")
@click.option("--flood", is_flag=True, help="Many proxies join at a reload, at the corner of the settings.")
@click.option("--real", is_flag=True, help="Real processes over loopback instead of virtual time.")
def main(first_seed: int, plays: int, seconds: float, real: bool, **kinds: bool) -> None:
    """Plays a fleet of three supervisors; exits with 1 if a rule was broken."""
    broken = False
    draw = DRAWS[next((name for name, chosen in kinds.items() if chosen), "usual")]
    for seed in range(first_seed, first_seed + plays):
        failures: list[str] = []
        plan = draw(seed)
        if real:
            with tempfile.TemporaryDirectory() as folder:
                play = processes.Play(seed, Path(folder), plan)
                fleet, failures = play.run(seconds), play.failures
            click.echo(f"stand-ins at most {play.longest_delay:.3f} s late")
        else:
            fleet = virtual.play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, seconds, plan)
        _print(seed, fleet, failures)
        broken |= bool(fleet.breaks or failures)
    sys.exit(1 if broken else 0)


def _print(seed: int, fleet: Fleet, failures: list[str]) -> None:
    facts, grace = fleet.facts, fleet.facts.drain_grace + RULE_SLACK_S
    click.echo(
        f"seed {seed}: {len(fleet.breaks)} breaks; {fleet.outcomes['answered']} answered, {fleet.outcomes['failed']} "
        f"failed\n"
        f"  load of a cold server: {fleet.worst.multiple:.2f} times what it can do at most, "
        f"{fleet.worst_expected.multiple:.2f} by the tables; {facts.tip_multiple:g} allowed\n"
        f"  sent to what drains for {fleet.latest_send:.2f} s at most, {grace:g} allowed; without a table for "
        f"{fleet.longest_unbound[0]:.2f} s at most"
    )
    for trouble in fleet.plan.troubles:
        span = f"from {trouble.at:.1f} s for {trouble.lasts:.1f} s"
        click.echo(f"  {trouble.kind} {span}: {trouble.size:.2f}, {trouble.part:.2f}")
    for each in [*fleet.breaks[:10], *failures]:
        click.echo(f"  {each}")


if __name__ == "__main__":
    main()
