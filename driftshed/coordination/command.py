"""`driftshed fleet`: shows members and their states, agreed records, and which votes are outstanding."""

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
from driftshed.coordination.view import FleetReader, missing_voters, to_plain_values
from driftshed.net.loop import Loop
from driftshed.roster.command import check_root, parse_hosts

EXIT_CODES = """Exit code: 0 when all expected supervisors are alive, 1 when one is not, 2 on bad input, 3 when the
supervisor or the store does not answer, 4 when the supervisor takes part in no fleet."""


@click.command(help=f"Shows the fleet as one supervisor or the store has it.\n\n{EXIT_CODES}")
@option("supervisor", default="", help="address:port of any supervisor")
@option("fleet-connect", "connect", default="", help="127.0.0.1:PORT,... of the store, to read it instead")
@option("fleet-root", "root", default="/driftshed/fleet", help="path of the fleet in the store")
@option("expected", default="", help="NAME,... expected, when reading the store; default: all members found")
@option("within", type=click.FloatRange(0.1, 60), default=5.0, help="seconds to wait for an answer")
@click.option("--json", "as_json", is_flag=True, help="print one object and nothing else")
def fleet(supervisor: str, connect: str, root: str, expected: str, within: float, as_json: bool) -> None:
    """Command `fleet`; exits with one of EXIT_CODES."""
    if bool(supervisor) == bool(connect):
        raise click.UsageError("give one of --supervisor and --fleet-connect")
    names = tuple(filter(None, expected.split(",")))
    if supervisor:
        if not supervisor.startswith("127."):
            raise click.BadParameter(f"{supervisor!r}: only loopback addresses are allowed", param_hint="--supervisor")
        view = _from_supervisor(supervisor, within)
    else:
        view = _from_store(connect, check_root(root), names, within)
    if as_json:
        click.echo(json.dumps(view))
    else:
        _print_fleet(view)
    sys.exit(0 if all(row["state"] in ("living", "leaving", "stranger") for row in view["members"]) else 1)


def _from_supervisor(address: str, within: float) -> dict:
    try:
        with urllib.request.urlopen(f"http://{address}/v1/fleet", timeout=within) as answer:  # noqa: S310
            return json.load(answer)
    except urllib.error.HTTPError as error:
        if error.code == 404:
            click.echo(f"{address} takes part in no fleet: start it with --fleet-connect", err=True)
            sys.exit(4)
        click.echo(f"{address} answered with status {error.code}: see its log", err=True)
    except (OSError, ValueError) as error:
        click.echo(
            f"{address} does not answer ({error}): ask another one, or read the store with --fleet-connect", err=True
        )
    sys.exit(3)


def _from_store(connect: str, root: str, expected: tuple[str, ...], within: float) -> dict:
    loop, views = Loop(), []

    def done(view: dict) -> None:
        views.append(view)
        loop.stop()

    reader = FleetReader(loop, parse_hosts(connect, "fleet-connect"), root, expected, done)
    loop.run(time.monotonic() + within)
    reader.client.stop()
    loop.close()
    if not views:
        click.echo(f"the store at {connect} did not answer within {within:g} s: ask a supervisor", err=True)
        sys.exit(3)
    return to_plain_values(views[0])


def _print_fleet(view: dict) -> None:
    console = Console()
    table = Table("supervisor", "state", "for", "start", "address", "build", "policy", "proxies", box=None)
    for row in view["members"]:
        member = row["member"] or {}
        leader_mark = " (lead)" if view["order"][:1] == [row["name"]] else ""
        since = "" if row["since"] is None else f"{row['since']:.0f} s"
        table.add_row(
            row["name"] + leader_mark,
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
        record, votes = each["record"], each["words"]
        committed = record["standing"]
        text = f"{record['topic']}: epoch {record['epoch']} of {record['by']} is {record['state']}"
        if committed:
            text += f"; epoch {committed['epoch']} of {committed['by']} stands"
        if record["state"] == "open":
            cast = ", ".join(f"{vote['name']} {'assents' if vote['assent'] else 'objects'}" for vote in votes) or "none"
            text += f"; words: {cast}; waits for {', '.join(missing_voters(record, votes)) or 'nobody'}"
        console.print(text + (f" ({record['why']})" if record["why"] else ""), highlight=False)
    if view["by"] is not None:
        if view.get("cell"):
            summary, delegate_of = view["whole"], " and ".join(view["speaks_for"])
            text = f"cell {view['cell']} of region {view['region']}" + (
                f"; speaks for {delegate_of}" if delegate_of else ""
            )
            text += "" if view["acts"] else "; may not act on what was agreed above"
            console.print(text, highlight=False)
            if summary:
                console.print(
                    f"the whole: {summary['living']} of {summary['expected']} live, {summary['leaving']} leave, "
                    f"{summary['silent']} are silent",
                    highlight=False,
                )
        lease = "holds no lease" if view["lease"] is None else f"lease for {view['lease']:.2f} s more"
        console.print(f"seen by {view['by']}, start {view['incarnation']}, {view['standing']}, {lease}")
