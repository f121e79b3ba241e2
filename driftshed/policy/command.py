"""`driftshed policy`: checks documents, proposes changes and shows their outcome."""

from __future__ import annotations

import datetime
import getpass
import json
import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from driftshed.common.http_query import query_supervisor as query_view
from driftshed.policy import document as policies
from driftshed.policy.document import BadDocument, Document

POLL_INTERVAL_S = 0.1
EXIT_CODES = {"settled": 0, "void": 1, "lost": 1, "refused": 1, "unknown": 5}


def query(supervisor: str, body: dict | None = None) -> dict:
    """Returns the policy view of a supervisor, or its answer to the request `body`; ends the program on an error."""
    return query_view(
        supervisor,
        "policy",
        body,
        "policies are off at this supervisor: start it with --policy-folder",
        invalid_exit_code=2,
    )


def load_document(path: Path) -> tuple[str, Document]:
    """Reads a TOML file and returns its text and document; prints the error and exits with code 2 if it is invalid."""
    try:
        text = path.read_text()
        return text, policies.read_toml(text)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{path}: {error}", err=True)
    except BadDocument as error:
        click.echo(f"{path}: {error}", err=True)
    sys.exit(2)


@click.group()
def policy() -> None:
    """Policies that all supervisors of a fleet share. Exit codes: 0 done; 1 refused or not committed; 2 bad input; 3 no
    answer; 4 off there; 5 not known; 6 not everywhere in time."""


supervisor = click.option("--supervisor", required=True, metavar="HOST:PORT", help="any supervisor of the fleet")
FILE_PATH = click.Path(dir_okay=False, path_type=Path)
as_json = click.option("--json", "as_json", is_flag=True, help="print one object and nothing else")


@policy.command()
@click.argument("file", type=FILE_PATH)
def check(file: Path) -> None:
    """Checks a document and prints the requirements that no fleet could meet under it. Needs no fleet."""
    _, document = load_document(file)
    for problem in (problems := policies.unsatisfiable_requirements(document)):
        click.echo(f"{file}: {problem}", err=True)
    if problems:
        sys.exit(1)
    click.echo(f"{policies.digest(document)}: {len(document.operations)} operations, {len(document.settings)} settings")


@policy.command()
@click.option("--operation", "operations", multiple=True, required=True, help="as `supervise --operation`")
@click.option("--setting", "settings", multiple=True, metavar="NAME=VALUE", help="a flag of supervise, without dashes")
def draft(operations: tuple[str, ...], settings: tuple[str, ...]) -> None:
    """Prints a document equivalent to the given flags of `supervise`, as a starting point."""
    values = {}
    for text in settings:
        name, _, value = text.partition("=")
        try:
            values[name] = json.loads(value)
        except ValueError:
            values[name] = value
    try:
        click.echo(policies.to_toml(policies.from_flags(values, list(operations))), nl=False)
    except BadDocument as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@policy.command()
@click.argument("old", type=FILE_PATH)
@click.argument("new", type=FILE_PATH)
def diff(old: Path, new: Path) -> None:
    """Prints the differences between two documents, and those that a running fleet cannot make."""
    before, after = load_document(old)[1], load_document(new)[1]
    _print_difference(policies.difference(before, after))
    for problem in (problems := policies.disallowed_changes(before, after)):
        click.echo(problem, err=True)
    sys.exit(1 if problems else 0)


def _print_difference(rows: list) -> None:
    for path, before, after in rows:
        click.echo(f"  {path}: {'-' if before is None else before} -> {'-' if after is None else after}")


@policy.command()
@supervisor
@as_json
def show(supervisor: str, as_json: bool) -> None:
    """Shows the policy in force, the version at each supervisor and the open proposal."""
    view = query(supervisor)
    if as_json:
        click.echo(json.dumps(view))
        return
    standing = view["standing"]
    headline = "no policy stands" if standing is None else f"version {standing['version']} stands, {standing['digest']}"
    click.echo(f"{headline}; everywhere within {view['everywhere_within']:.1f} s of its settling")
    table = Table("supervisor", "state", "goes by", box=None)
    for name, (state, version) in view["members"].items():
        table.add_row(name, state, "-" if version is None else str(version))
    Console(width=120).print(table)
    if view.get("whole"):
        totals = view["whole"]
        active = ", ".join(f"{count} run {version}" for version, count in totals["policies"].items())
        click.echo(
            f"the whole: {totals['living']} of {totals['expected']} live, {totals['leaving']} leave, "
            f"{totals['silent']} are silent; {active}"
        )
    if view["cannot"]:
        click.echo(f"{view['by']}: {view['cannot']}")
    if view["holds_still"]:
        click.echo(f"{view['by']} holds its tables still")
    if view["open"]:
        open_record = view["open"]
        votes = "; ".join(
            f"{vote['name']}: {'yes' if vote['assent'] else vote['why']}" for vote in open_record["words"]
        )
        click.echo(
            f"open: epoch {open_record['epoch']} of {open_record['by']}; "
            f"no word yet from {', '.join(open_record['missing'])}" + (f" ({votes})" if votes else "")
        )


def wait_for_outcome(supervisor: str, token: str, version: int, most: float) -> None:
    """Waits for the outcome of a proposal, then until the version is active at all living supervisors.

    Gives up after `most` seconds. Ends the program with the exit code of the outcome, and returns only on success."""
    deadline, reported = time.monotonic() + most, ""
    while True:
        view = query(supervisor)
        proposal = view["last_proposal"]
        if proposal is None or proposal["token"] != token:
            click.echo("the supervisor no longer has this proposal: see `policy history`", err=True)
            sys.exit(5)
        missing = ", ".join(view["open"]["missing"]) if view["open"] else ""
        if missing and missing != reported:
            click.echo(f"waiting for {missing}")
            reported = missing
        if proposal["state"] in EXIT_CODES and proposal["state"] != "settled":
            click.echo(f"{proposal['state']}: {proposal['why']}", err=True)
            sys.exit(EXIT_CODES[proposal["state"]])
        if proposal["state"] == "settled":
            behind = [
                name
                for name, (state, active) in view["members"].items()
                if state == "living" and (active or 0) < version
            ]
            totals = view.get("whole")
            if totals is not None and count_behind(totals, version):
                behind.append("others")
            if not behind and totals is not None:
                not_living = totals["leaving"] + totals["silent"]
                text = f"version {version} holds at all {totals['living']} living supervisors"
                click.echo(text + (f"; {not_living} are silent or leaving" if not_living else ""))
                return
            if not behind:
                silent = [name for name, (state, _) in view["members"].items() if state != "living"]
                click.echo(f"version {version} holds everywhere" + (f"; away: {', '.join(silent)}" if silent else ""))
                return
        if time.monotonic() > deadline:
            click.echo(f"not active everywhere within {most:g} s; see `policy show`", err=True)
            sys.exit(6)
        time.sleep(POLL_INTERVAL_S)


def count_behind(totals: dict, version: int) -> int:
    """Returns how many supervisors of a hierarchical fleet, by its digest, do not run this version yet."""
    return (
        totals["living"]
        + totals["leaving"]
        - sum(count for active, count in totals["policies"].items() if int(active) >= version)
    )


def _propose(supervisor: str, wait: bool, most: float, body: dict) -> None:
    answer = query(supervisor, {"who": getpass.getuser(), **body})
    click.echo(f"proposed: version {answer['version']}, {answer['digest']}")
    _print_difference(answer["difference"])
    if wait:
        wait_for_outcome(supervisor, answer["token"], answer["version"], most)


why = click.option("--why", default="", help="for the history")
PROPOSAL_TIMEOUT_RANGE = click.FloatRange(0.1, 3600)
patience = click.option(
    "--patience", type=PROPOSAL_TIMEOUT_RANGE, default=10.0, help="seconds until the proposal times out"
)
wait = click.option("--wait/--no-wait", default=True, help="wait until the outcome is known, and active everywhere")
within = click.option(
    "--within", "most", type=click.FloatRange(1, 7200), default=60.0, help="seconds to wait or watch at the most"
)
despite = click.option(
    "--despite", multiple=True, metavar="NAME", help="do without the vote of a supervisor that is known to be gone"
)


@policy.command()
@click.argument("file", type=FILE_PATH)
@supervisor
@why
@patience
@wait
@within
@despite
def propose(file, supervisor, why, patience, wait, most, despite) -> None:
    """Proposes a document as the next version, which is applied at every supervisor or at none."""
    text, _ = load_document(file)
    body = {"what": "propose", "text": text, "why": why, "patience": patience, "despite": list(despite)}
    _propose(supervisor, wait, most, body)


@policy.command()
@click.argument("version", type=click.IntRange(1))
@supervisor
@why
@patience
@wait
@within
def revert(version, supervisor, why, patience, wait, most) -> None:
    """Proposes the document of an earlier version as the next version."""
    why = why or f"back to version {version}"
    _propose(supervisor, wait, most, {"what": "revert", "version": version, "why": why, "patience": patience})


@policy.command()
@supervisor
def abort(supervisor: str) -> None:
    """Withdraws the proposal of this supervisor, unless it is committed by then."""
    answer = query(supervisor, {"what": "abort", "who": getpass.getuser()})
    click.echo(f"abort requested for epoch {answer['aborted']}; `policy show` shows the outcome")


@policy.command()
@supervisor
@within
def watch(supervisor: str, most: float) -> None:
    """Prints a line at each change of the policy's state, for a while."""
    deadline, previous = time.monotonic() + most, None
    while time.monotonic() < deadline:
        view = query(supervisor)
        open_record = view["open"]
        snapshot = (
            view["standing"]["version"] if view["standing"] else 0,
            view["members"],
            open_record and (open_record["epoch"], open_record["missing"]),
            view["holds_still"],
            view["cannot"],
        )
        if snapshot != previous:
            members = ", ".join(f"{name} {state} {version}" for name, (state, version) in view["members"].items())
            waiting = (
                f"; open: epoch {open_record['epoch']}, waits for {', '.join(open_record['missing'])}"
                if open_record
                else ""
            )
            frozen = "; holds still" if view["holds_still"] else ""
            click.echo(f"version {snapshot[0]} stands; {members}{waiting}{frozen}")
            previous = snapshot
        time.sleep(POLL_INTERVAL_S)


@policy.command()
@supervisor
@as_json
def history(supervisor: str, as_json: bool) -> None:
    """Shows the versions stored at this supervisor, newest first: author, time, reason, differences and duration."""
    rows = query(supervisor)["history"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    committed = [row for row in rows if row["state"] == "settled"]
    for row in rows:
        at = datetime.datetime.fromtimestamp(row["at"], datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
        reason = f": {row['why']}" if row["why"] else ""
        click.echo(
            f"version {row['version']} {row['state']} {at} by {row['who']}, {row['digest']}, {row['took']:.2f} s"
            f"{', words of ' + row['assents'] if row['assents'] else ''}{reason}"
        )
        predecessor = next((other for other in committed if other["version"] < row["version"]), None)
        old = policies.parse_canonical(predecessor["text"]) if predecessor is not None else None
        if old is not None:
            _print_difference(policies.difference(old, policies.parse_canonical(row["text"])))
