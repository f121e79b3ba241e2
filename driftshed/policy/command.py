"""`driftshed policy`: checking documents, proposing changes, and what became of them."""

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

from driftshed.common.asking import ask as ask_view
from driftshed.policy import document as policies
from driftshed.policy.document import BadDocument, Document

LOOK_EVERY = 0.1
ENDS = {"settled": 0, "void": 1, "lost": 1, "refused": 1, "unknown": 5}


def ask(supervisor: str, body: dict | None = None) -> dict:
    return ask_view(
        supervisor, "policy", body, "this supervisor takes no part in policies: start it with --policy-folder", bad=2
    )


def load(path: Path) -> tuple[str, Document]:
    try:
        text = path.read_text()
        return text, policies.read(text)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{path}: {error}", err=True)
    except BadDocument as error:
        click.echo(f"{path}: {error}", err=True)
    sys.exit(2)


@click.group()
def policy() -> None:
    """What all supervisors go by alike. Exit codes: 0 done; 1 refused or not settled; 2 bad input; 3 no answer; 4 off
    there; 5 not known; 6 not everywhere in time."""


supervisor = click.option("--supervisor", required=True, metavar="HOST:PORT", help="any supervisor of the fleet")
FILE = click.Path(dir_okay=False, path_type=Path)
as_json = click.option("--json", "as_json", is_flag=True, help="print one object and nothing else")


@policy.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Reads a document and says what could never be kept under it. Needs no fleet."""
    _, document = load(file)
    for text in (found := policies.never_met(document)):
        click.echo(f"{file}: {text}", err=True)
    if found:
        sys.exit(1)
    click.echo(f"{policies.digest(document)}: {len(document.operations)} operations, {len(document.settings)} settings")


@policy.command()
@click.option("--operation", "operations", multiple=True, required=True, help="as `supervise --operation`")
@click.option("--setting", "settings", multiple=True, metavar="NAME=VALUE", help="a flag of supervise, without dashes")
def draft(operations: tuple[str, ...], settings: tuple[str, ...]) -> None:
    """Prints a document that says what flags of `supervise` say, to begin with."""
    given = {}
    for text in settings:
        name, _, value = text.partition("=")
        try:
            given[name] = json.loads(value)
        except ValueError:
            given[name] = value
    try:
        click.echo(policies.as_toml(policies.of_flags(given, list(operations))), nl=False)
    except BadDocument as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@policy.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
def diff(old: Path, new: Path) -> None:
    """What one document changes of another, and what of it a running fleet may not be asked."""
    before, after = load(old)[1], load(new)[1]
    _difference(policies.difference(before, after))
    for text in (found := policies.barred(before, after)):
        click.echo(text, err=True)
    sys.exit(1 if found else 0)


def _difference(rows: list) -> None:
    for path, before, after in rows:
        click.echo(f"  {path}: {'-' if before is None else before} -> {'-' if after is None else after}")


@policy.command()
@supervisor
@as_json
def show(supervisor: str, as_json: bool) -> None:
    """What stands, who goes by what, and what is open."""
    view = ask(supervisor)
    if as_json:
        click.echo(json.dumps(view))
        return
    standing = view["standing"]
    said = "no policy stands" if standing is None else f"version {standing['version']} stands, {standing['digest']}"
    click.echo(f"{said}; everywhere within {view['everywhere_within']:.1f} s of its settling")
    table = Table("supervisor", "state", "goes by", box=None)
    for name, (state, version) in view["members"].items():
        table.add_row(name, state, "-" if version is None else str(version))
    Console(width=120).print(table)
    if view.get("whole"):
        whole = view["whole"]
        runs = ", ".join(f"{count} run {version}" for version, count in whole["policies"].items())
        click.echo(
            f"the whole: {whole['living']} of {whole['expected']} live, {whole['leaving']} leave, "
            f"{whole['silent']} are silent; {runs}"
        )
    if view["cannot"]:
        click.echo(f"{view['by']}: {view['cannot']}")
    if view["holds_still"]:
        click.echo(f"{view['by']} holds its tables still")
    if view["open"]:
        opened = view["open"]
        words = "; ".join(f"{w['name']}: {'yes' if w['assent'] else w['why']}" for w in opened["words"])
        click.echo(
            f"open: epoch {opened['epoch']} of {opened['by']}; no word yet from {', '.join(opened['missing'])}"
            + (f" ({words})" if words else "")
        )


def follow(supervisor: str, token: str, version: int, most: float) -> None:
    """Waits for the end of a proposal, then until all that live go by it; ends the program with the code that says
    so."""
    end, seen = time.monotonic() + most, ""
    while True:
        view = ask(supervisor)
        mine = view["last_proposal"]
        if mine is None or mine["token"] != token:
            click.echo("the supervisor knows this proposal no more: see `policy history`", err=True)
            sys.exit(5)
        missing = ", ".join(view["open"]["missing"]) if view["open"] else ""
        if missing and missing != seen:
            click.echo(f"waiting for {missing}")
            seen = missing
        if mine["state"] in ENDS and mine["state"] != "settled":
            click.echo(f"{mine['state']}: {mine['why']}", err=True)
            sys.exit(ENDS[mine["state"]])
        if mine["state"] == "settled":
            behind = [
                name for name, (state, runs) in view["members"].items() if state == "living" and (runs or 0) < version
            ]
            whole = view.get("whole")
            if whole is not None and behind_in(whole, version):
                behind.append("others")
            if not behind and whole is not None:
                rest = whole["leaving"] + whole["silent"]
                text = f"version {version} holds at all {whole['living']} that live"
                click.echo(text + (f"; {rest} are away or leave" if rest else ""))
                return
            if not behind:
                away = [name for name, (state, _) in view["members"].items() if state != "living"]
                click.echo(f"version {version} holds everywhere" + (f"; away: {', '.join(away)}" if away else ""))
                return
        if time.monotonic() > end:
            click.echo(f"not everywhere within {most:g} s; see `policy show`", err=True)
            sys.exit(6)
        time.sleep(LOOK_EVERY)


def behind_in(whole: dict, version: int) -> int:
    """How many of the living of a fleet in tiers are not known to run this version yet, by its digest."""
    return (
        whole["living"]
        + whole["leaving"]
        - sum(count for each, count in whole["policies"].items() if int(each) >= version)
    )


def _propose(supervisor: str, wait: bool, most: float, body: dict) -> None:
    answer = ask(supervisor, {"who": getpass.getuser(), **body})
    click.echo(f"proposed: version {answer['version']}, {answer['digest']}")
    _difference(answer["difference"])
    if wait:
        follow(supervisor, answer["token"], answer["version"], most)


why = click.option("--why", default="", help="for the history")
PATIENCE = click.FloatRange(0.1, 3600)
patience = click.option("--patience", type=PATIENCE, default=10.0, help="seconds that words may take")
wait = click.option("--wait/--no-wait", default=True, help="stay until it is known to hold everywhere or nowhere")
within = click.option("--within", "most", type=click.FloatRange(1, 7200), default=60.0, help="seconds to stay")
despite = click.option("--despite", multiple=True, metavar="NAME", help="do without one that is known to be gone")


@policy.command()
@click.argument("file", type=FILE)
@supervisor
@why
@patience
@wait
@within
@despite
def propose(file, supervisor, why, patience, wait, most, despite) -> None:
    """Proposes a document as the next version: it takes hold at every supervisor or at none."""
    text, _ = load(file)
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
    """Proposes what an earlier version said, as the next."""
    why = why or f"back to version {version}"
    _propose(supervisor, wait, most, {"what": "revert", "version": version, "why": why, "patience": patience})


@policy.command()
@supervisor
def abort(supervisor: str) -> None:
    """Takes back what this supervisor has proposed, if it is not settled by then."""
    answer = ask(supervisor, {"what": "abort", "who": getpass.getuser()})
    click.echo(f"asked for: epoch {answer['aborted']} is to be void; `policy show` says what became of it")


@policy.command()
@supervisor
@within
def watch(supervisor: str, most: float) -> None:
    """Shows what changes, line by line, for a while."""
    end, seen = time.monotonic() + most, None
    while time.monotonic() < end:
        view = ask(supervisor)
        opened = view["open"]
        now = (
            view["standing"]["version"] if view["standing"] else 0,
            view["members"],
            opened and (opened["epoch"], opened["missing"]),
            view["holds_still"],
            view["cannot"],
        )
        if now != seen:
            runs = ", ".join(f"{name} {state} {version}" for name, (state, version) in view["members"].items())
            waits = f"; open: epoch {opened['epoch']}, waits for {', '.join(opened['missing'])}" if opened else ""
            still = "; holds still" if view["holds_still"] else ""
            click.echo(f"version {now[0]} stands; {runs}{waits}{still}")
            seen = now
        time.sleep(LOOK_EVERY)


@policy.command()
@supervisor
@as_json
def history(supervisor: str, as_json: bool) -> None:
    """The versions that this supervisor has kept, the newest first: who, when, why, what changed, how long it took."""
    rows = ask(supervisor)["history"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    settled = [row for row in rows if row["state"] == "settled"]
    for row in rows:
        at = datetime.datetime.fromtimestamp(row["at"], datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
        because = f": {row['why']}" if row["why"] else ""
        click.echo(
            f"version {row['version']} {row['state']} {at} by {row['who']}, {row['digest']}, {row['took']:.2f} s"
            f"{', words of ' + row['assents'] if row['assents'] else ''}{because}"
        )
        older = next((each for each in settled if each["version"] < row["version"]), None)
        old = policies.parse(older["text"]) if older is not None else None
        if old is not None:
            _difference(policies.difference(old, policies.parse(row["text"])))
