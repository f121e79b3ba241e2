"""`driftshed zone`: shows the state of zones, and orders by hand to leave them or return to them."""

from __future__ import annotations

import getpass
import json

import click
from rich.console import Console
from rich.table import Table

from driftshed.common.http_query import query_supervisor


def _query(supervisor: str, body: dict | None = None) -> object:
    return query_supervisor(
        supervisor, "zones", body, "this supervisor does not leave zones: start it with --leave-zones"
    )


@click.group()
def zone() -> None:
    """Leaving zones and returning to them. Exit codes: 0 done; 1 refused; 2 bad input; 3 no answer; 4 off there."""


supervisor = click.option("--supervisor", required=True, metavar="HOST:PORT", help="any supervisor of the fleet")


@zone.command()
@supervisor
@click.option("--json", "as_json", is_flag=True, help="print one array and nothing else")
def status(supervisor: str, as_json: bool) -> None:
    """Shows the stage of each zone, and how this supervisor's proxies observe it."""
    rows = _query(supervisor)
    if as_json:
        click.echo(json.dumps(rows))
        return
    table = Table("zone", "left", "stage", "seen from here", "can be left", "account", box=None)
    for row in rows:
        stage = row["stage"] or {"phase": "-", "account": "", "by": None}
        by = f" by {stage['by']}" if stage.get("by") else ""
        verdict = f"{row['verdict']} for {row['lasted']} s"
        table.add_row(
            row["zone"], f"{row['share']:.0%}", stage["phase"] + by, verdict, f"{row['bears']:.0%}", stage["account"]
        )
    Console(width=160).print(table)


def _send_order(what: str, zone: str, supervisor: str, dry: bool, **more: object) -> None:
    answer = _query(supervisor, {"zone": zone, "what": what, "by": getpass.getuser(), "dry": dry, **more})
    stage = answer["stage"]
    verb = "proposed" if answer["proposed"] else "would be"
    click.echo(f"{verb}: {zone} {stage['phase']}, {stage['share']:.0%} of it left")
    for name, row in answer["servers"].items():
        click.echo(f"  {name}: {row['ready']} servers in use, {row['left']} left")


share = click.option("--share", type=click.FloatRange(0, 1), default=1.0, help="of its servers that is left")
dry = click.option("--dry-run", "dry", is_flag=True, help="print the resulting stage, and do nothing")
lasts = click.option(
    "--for", "lasts", type=click.FloatRange(1, 86400), default=3600.0, help="seconds for which the order is valid"
)


@zone.command()
@click.argument("name")
@supervisor
@dry
@lasts
@share
def leave(name: str, supervisor: str, dry: bool, lasts: float, share: float) -> None:
    """Leaves a zone or region by hand."""
    _send_order("leave", name, supervisor, dry, lasts=lasts, share=share)


@zone.command()
@click.argument("name")
@supervisor
@dry
@lasts
def hold(name: str, supervisor: str, dry: bool, lasts: float) -> None:
    """Holds the stage of a zone or region, whatever is observed."""
    _send_order("hold", name, supervisor, dry, lasts=lasts)


@zone.command(name="return")
@click.argument("name")
@supervisor
@dry
def back(name: str, supervisor: str, dry: bool) -> None:
    """Begins the return to a zone or region, in steps."""
    _send_order("return", name, supervisor, dry)


@zone.command()
@click.argument("name")
@supervisor
@dry
@share
def alone(name: str, supervisor: str, dry: bool, share: float) -> None:
    """Returns to a part of what is left at this supervisor alone, while its store is unreachable; order it at each."""
    _send_order("alone", name, supervisor, dry, share=share)
