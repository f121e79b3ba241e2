"""`driftshed day NAME`: plays a scripted day and prints the verdict."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click

from driftshed.common.options import option
from driftshed.day.judge import judge
from driftshed.day.script import BadScript, load_script
from driftshed.day.stage import play
from driftshed.day.tamper import RULES


@click.command()
@click.argument("name")
@option("seed", type=click.IntRange(0, 2**31), default=1, help="of the day's chance")
@click.option("--json", "as_json", is_flag=True, help="print one object and nothing else")
@click.option("--tamper", type=click.Choice(RULES), help="break this rule between supervisor and proxies")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="keep record and logs in this folder")
@click.option("--trace", type=click.Path(file_okay=False, path_type=Path), help="write traces into this folder")
@click.option("--tries", type=click.IntRange(0, 3), help="the mode of trying again that every proxy is told")
def day(
    name: str, seed: int, as_json: bool, tamper: str | None, keep: Path | None, trace: Path | None, tries: int | None
) -> None:
    """Plays the day NAME (one that comes along, or a file) on loopback sockets. Exit code: 0 when every rule is kept,
    1 when one is broken, 2 on bad input."""
    try:
        script = load_script(name)
    except BadScript as error:
        raise click.BadParameter(str(error), param_hint="NAME") from None
    with tempfile.TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        stage = play(script, seed, folder, tamper, trace, tries)
        verdict = judge(script, stage.record)
        size = stage.recorder.bytes
    if as_json:
        click.echo(json.dumps({
            "rules": verdict.rules, "service": round(verdict.service, 4), "seed": seed, "seconds": script.seconds,
            "events": stage.events, "name": name, "asked": verdict.asked, "breaks": verdict.breaks,
            "operations": {name: round(share, 4) for name, share in verdict.operations.items()},
        }))  # fmt: skip
    else:
        _print(name, seed, script, stage.events, verdict, size)
    sys.exit(0 if verdict.kept else 1)


def _print(name, seed, script, events, verdict, size) -> None:
    facts = script.facts
    click.echo(f"{name}, seed {seed}: {script.about}")
    parts = f"{script.fleet.servers} servers, {facts.proxies} proxies, {script.seconds:g} s"
    click.echo(f"{parts}, {size / 1e6:.1f} MB recorded")
    for event in events:
        more = " ".join(f"{key}={value}" for key, value in event.items() if key not in ("at", "what"))
        click.echo(f"  {event['at']:6.2f} s  {event['what']} {more}")
    for rule, row in verdict.rules.items():
        said = "BROKEN" if row["broken"] else "kept" if row["checked"] else "not checked on this day"
        click.echo(f"{rule:9} {said:8} checked {row['checked']}, broken {row['broken']}")
    for text in verdict.breaks:
        click.echo(f"  {text}")
    parts = ", ".join(f"{name} {share:.3f}" for name, share in verdict.operations.items())
    click.echo(f"service {verdict.service:.3f} of the billed value of {verdict.asked} invocations ({parts})")
