"""`driftshed fleet`: who lives, since when, who is silent, which records stand, what waits for whom."""

from __future__ import annotations

import json
import sys
import time
import urllib.error
import urllib.request

import click
from rich.console import Console
from rich.table import Table

from driftshed.common.options import option
from driftshed.coordination.view import FleetReader, missing_voters, plain
from driftshed.net.loop import Loop
from driftshed.roster.command import check_root, hosts_of

CODES = """Exit code: 0 when all expected supervisors live, 1 when one does not, 2 on bad input, 3 when neither a
supervisor nor the store answers, 4 when the supervisor takes part in no fleet."""


@click.command(help=f"Shows the fleet, from one supervisor or from the store.\n\n{CODES}")
@option("supervisor", default="", help="address:port of any one supervisor")
@option("fleet-connect", "connect", default="", help="127.0.0.1:PORT,... of the store, to ask it instead")
@option("fleet-root", "root", default="/driftshed/fleet", help="path that the fleet lies under")
@option("expected", default="", help="NAME,... that are expected, where the store is asked; else all there")
@option("within", type=click.FloatRange(0.1, 60), default=5.0, help="seconds to wait for an answer")
@click.option("--json", "as_json", is_flag=True, help="print one object and nothing else")
def fleet(supervisor: str, connect: str, root: str, expected: str, within: float, as_json: bool) -> None:
    if bool(supervisor) == bool(connect):
        raise click.UsageError("give one of --supervisor and --fleet-connect")
    names = tuple(filter(None, expected.split(",")))
    if supervisor:
        if not supervisor.startswith("127."):
            raise click.BadParameter(f"{supervisor!r}: loopback alone", param_hint="--supervisor")
        view = _from_supervisor(supervisor, within)
    else:
        view = _from_store(connect, check_root(root), names, within)
    if as_json:
        click.echo(json.dumps(view))
    else:
        _print(view)
    sys.exit(0 if all(row["state"] in ("living", "leaving", "stranger") for row in view["members"]) else 1)


def _from_supervisor(address: str, within: float) -> dict:
    try:
        with urllib.request.urlopen(f"http://{address}/v1/fleet", timeout=within) as answer:  # noqa: S310
            return json.load(answer)
    except urllib.error.HTTPError as error:
        if error.code == 404:
            click.echo(f"{address} takes part in no fleet: start it with --fleet-connect", err=True)
            sys.exit(4)
        click.echo(f"{address} answers {error.code}: look at its log", err=True)
    except (OSError, ValueError) as error:
        click.echo(f"{address} does not answer ({error}): ask another one, or the store by --fleet-connect", err=True)
    sys.exit(3)


def _from_store(connect: str, root: str, expected: tuple[str, ...], within: float) -> dict:
    loop, views = Loop(), []

    def done(view: dict) -> None:
        views.append(view)
        loop.stop()

    reader = FleetReader(loop, hosts_of(connect, "fleet-connect"), root, expected, done)
    loop.run(time.monotonic() + within)
    reader.client.stop()
    loop.close()
    if not views:
        click.echo(f"the store at {connect} does not answer within {within:g} s: ask a supervisor", err=True)
        sys.exit(3)
    return plain(views[0])


def _print(view: dict) -> None:
    console = Console()
    table = Table("supervisor", "state", "for", "start", "address", "build", "policy", "proxies", box=None)
    for row in view["members"]:
        member = row["member"] or {}
        lead = " (lead)" if view["order"][:1] == [row["name"]] else ""
        since = "" if row["since"] is None else f"{row['since']:.0f} s"
        table.add_row(
            row["name"] + lead,
            row["state"],
            since,
            str(member.get("incarnation", "")),
            member.get("address", ""),
            member.get("build", ""),
            str(member.get("policy", "")),
            str(member.get("proxies", "")),
        )
    console.print(table)
    for each in view["records"]:
        record, words = each["record"], each["words"]
        stands = record["standing"]
        text = f"{record['topic']}: epoch {record['epoch']} of {record['by']} is {record['state']}"
        if stands:
            text += f"; epoch {stands['epoch']} of {stands['by']} stands"
        if record["state"] == "open":
            said = ", ".join(f"{word['name']} {'assents' if word['assent'] else 'objects'}" for word in words) or "none"
            text += f"; words: {said}; waits for {', '.join(missing_voters(record, words)) or 'nobody'}"
        console.print(text + (f" ({record['why']})" if record["why"] else ""), highlight=False)
    if view["by"] is not None:
        if view.get("cell"):
            whole, speaks = view["whole"], " and ".join(view["speaks_for"])
            text = f"cell {view['cell']} of region {view['region']}" + (f"; speaks for {speaks}" if speaks else "")
            text += "" if view["acts"] else "; may not act on what was agreed above"
            console.print(text, highlight=False)
            if whole:
                console.print(
                    f"the whole: {whole['living']} of {whole['expected']} live, {whole['leaving']} leave, "
                    f"{whole['silent']} are silent",
                    highlight=False,
                )
        lease = "holds no lease" if view["lease"] is None else f"lease for {view['lease']:.2f} s more"
        console.print(f"seen by {view['by']}, start {view['incarnation']}, {view['standing']}, {lease}")
