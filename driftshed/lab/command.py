"""`driftshed lab ...`: runs, comparisons, reports, adversarial search, and the load generator by itself."""

from __future__ import annotations

import json
import os
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

from driftshed.common.options import option
from driftshed.lab.compare import compare
from driftshed.lab.experiment import Experiment, Variant, run_pending
from driftshed.lab.run import Outcome
from driftshed.lab.scenario import SIZES, ScenarioError, fault_free_day, format_scenario, load_scenario, random_day
from driftshed.lab.search import save_day, search
from driftshed.lab.store import Job, RunRow, RunStore

DEFAULT_STORE = Path("lab.sqlite")
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def lab() -> None:
    """Runs emulated fleets with faults, in virtual time or as real processes."""


def _seeds(text: str) -> list[int]:
    """ "1-5,8" as a list. Raises click.BadParameter."""
    try:
        seeds = []
        for part in text.split(","):
            first, _, last = part.partition("-")
            seeds += range(int(first), int(last or first) + 1)
        if not seeds or min(seeds) < 0 or len(seeds) > 100000:
            raise ValueError
        return seeds
    except ValueError:
        raise click.BadParameter(f"{text!r}: whole numbers and ranges, such as 1-5,8", param_hint="--seeds") from None


def _variant(text: str) -> Variant:
    """ "NAME:policy=two-drawn,warm-within=4" as a variant. Raises click.BadParameter."""
    name, _, rest = text.partition(":")
    variant = Variant(name)
    for part in filter(None, rest.split(",")):
        key, equals, value = part.partition("=")
        if not equals or not name:
            text = f"{part!r}: write NAME:policy=NAME,build=FOLDER,FLAG=VALUE"
            raise click.BadParameter(text, param_hint="--variant")
        if key in ("policy", "build"):
            setattr(variant, key, value)
        else:
            variant.flags[key] = value
    return variant


def _experiment(path: Path) -> Experiment:
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), Experiment)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise click.BadParameter(f"{path}: {error}", param_hint="--experiment") from None


@lab.command()
@click.argument("scenarios", nargs=-1)
@option("seeds", default=None, help="such as 1-20; default: the scenario's own")
@option("variant", "variants", multiple=True, help="NAME:policy=P,build=FOLDER,FLAG=VALUE; several are compared")
@option(
    "drawn", "size", type=click.Choice(list(SIZES)), default=None, help="random days of this size, one for each seed"
)
@option("clock", type=click.Choice(["virtual", "real"]), default="virtual", help="virtual time, or real processes")
@option("experiment", "file", type=click.Path(dir_okay=False, path_type=Path), help="all of this, from a TOML file")
@option("store", type=click.Path(dir_okay=False, path_type=Path), default=DEFAULT_STORE, help="file of stored runs")
@option("label", default="", help="of the experiment in the store; its completed runs are not repeated")
@option("jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, help="concurrent runs")
@click.option("--json", "as_json", is_flag=True, help="print one object a run and nothing else")
def run(
    scenarios: tuple[str, ...],
    seeds: str | None,
    variants: tuple[str, ...],
    size: str | None,
    clock: str,
    file: Path | None,
    store: Path,
    label: str,
    jobs: int,
    as_json: bool,
) -> None:
    """Runs SCENARIOS (names or files) x variants x seeds and stores the outcomes. Exit code: 0 when every rule is kept
    and every run counts, 1 otherwise, 2 on invalid input."""
    try:
        if file is not None:
            matrix = _experiment(file)
        else:
            if not scenarios and not size:
                raise click.BadParameter("name a scenario, or give --drawn or --experiment", param_hint="SCENARIOS")
            default_seed = load_scenario(scenarios[0]).seed if scenarios else 1
            matrix = Experiment(
                label or "+".join([Path(s).stem for s in scenarios] + [f"drawn-{size}"] * bool(size)),
                _seeds(seeds) if seeds else [default_seed],
                [_variant(each) for each in variants] or [Variant("driftshed")],
                list(scenarios),
                size or "",
                clock,
            )
        matrix_jobs = matrix.jobs()
    except ScenarioError as error:
        raise click.BadParameter(str(error), param_hint="SCENARIOS") from None
    run_store = _open_store(store)
    run_store.add_jobs(matrix_jobs)
    failures = _run_all(run_store, matrix.name, jobs, as_json)
    rows = run_store.rows(matrix.name)
    if not as_json:
        _print_rows(rows)
        click.echo(f"stored in {store}; see `driftshed lab report --store {store} --run {rows[-1].id}`")
    sys.exit(1 if failures or any(row.broken or not row.counts for row in rows) else 0)


def _open_store(path: Path) -> RunStore:
    import sqlite3

    try:
        return RunStore(path)
    except sqlite3.Error as error:
        raise click.BadParameter(f"{path}: {error}; name a file that can be written", param_hint="--store") from None


def _run_all(store: RunStore, label: str, jobs: int, as_json: bool) -> int:
    import signal

    from rich.console import Console
    from rich.progress import MofNCompleteColumn, Progress, TimeRemainingColumn

    def interrupt(number: int, frame: object) -> None:
        raise KeyboardInterrupt  # run_pending then kills the runs under way

    signal.signal(signal.SIGTERM, interrupt)

    console = Console(stderr=True)
    with Progress(
        *Progress.get_default_columns()[:2],
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=as_json,
    ) as progress:
        task = progress.add_task(label, total=len(store.pending_jobs(label)))

        def on_done(job: Job, outcome: Outcome | None, why: str) -> None:
            progress.advance(task)
            if outcome is None:
                console.print(f"{job.scenario}, seed {job.seed}, {job.variant}: {why}", markup=False)
            elif as_json:
                click.echo(
                    json.dumps(
                        {
                            "scenario": job.scenario,
                            "seed": job.seed,
                            "variant": job.variant,
                            "clock": job.clock,
                            "service": round(outcome.service, 4),
                            "worst": round(outcome.worst, 4),
                            "rules": outcome.rules,
                            "bound": round(outcome.bound, 4),
                            "breaks": outcome.breaks,
                            "faults": outcome.faults,
                            "counts": outcome.counts,
                            "digest": outcome.digest,
                            "wall": outcome.wall,
                        }
                    )
                )

        return run_pending(store, label, jobs, on_done)


def _print_rows(rows: list[RunRow]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table("run", "scenario", "seed", "variant", "clock", "service", "worst 10 s", "bound", "rules", "wall")
    for row in rows:
        if row.state != "done":
            table.add_row(str(row.id), row.scenario, str(row.seed), row.variant, row.clock, row.state, "", "", row.why)
            continue
        rules = f"{row.broken} broken" if row.broken else "kept"
        rules += "" if row.counts else "; does not count: the load generator lagged behind"
        table.add_row(
            str(row.id),
            row.scenario,
            str(row.seed),
            row.variant,
            row.clock,
            f"{row.service:.3f}",
            f"{row.worst:.3f}",
            f"{row.bound:.3f}",
            rules,
            f"{row.wall:.1f} s",
        )
    Console(width=150 if not sys.stdout.isatty() else None).print(table)


@lab.command(name="compare")
@click.argument("a")
@click.argument("b")
@option("store", type=EXISTING_FILE, default=DEFAULT_STORE, help="file of stored runs")
@option("label", default=None, help="of one experiment; default: all in the store")
def compare_command(a: str, b: str, store: Path, label: str | None) -> None:
    """Compares variant B with variant A on the same days: mean differences with intervals of 95%."""
    rows = _open_store(store).rows(label)
    known = sorted({row.variant for row in rows})
    for name in (a, b):
        if name not in known:
            raise click.BadParameter(f"{name!r} is not one of {', '.join(known)}")
    comparisons, left_out = compare(rows, a, b)
    click.echo(f"{b} against {a}, {comparisons[0].pairs} days; {left_out} left out")
    for row in comparisons:
        numbers = f"{row.a:8.4f} {row.b:8.4f} {row.difference:+8.4f}  [{row.low:+.4f}, {row.high:+.4f}]"
        click.echo(f"  {row.what:8} {numbers}  {row.verdict}")


@lab.command()
@option("run", "runs", type=int, multiple=True, required=True, help="number of a run; two are shown side by side")
@option("store", type=EXISTING_FILE, default=DEFAULT_STORE, help="file of stored runs")
@option("out", type=click.Path(dir_okay=False, path_type=Path), default=Path("lab.html"), help="the page")
@option("pictures", type=click.Path(file_okay=False, path_type=Path), default=None, help="folder for PNG files")
def report(runs: tuple[int, ...], store: Path, out: Path, pictures: Path | None) -> None:
    """Writes one page of HTML about a run, or about two side by side."""
    from driftshed.lab.report import write_report

    run_store = _open_store(store)
    if len(runs) > 2:
        raise click.BadParameter("one run, or two", param_hint="--run")
    rows = {row.id: row for row in run_store.rows()}
    outcomes = []
    for number in runs:
        outcome = run_store.outcome(number)
        if outcome is None:
            raise click.BadParameter(f"{number}: no such run, or not completed; see `lab list`", param_hint="--run")
        row = rows[number]
        outcomes.append((f"{row.scenario}, {row.variant}, seed {row.seed}, {row.clock}", outcome))
    try:
        write_report(outcomes, out, pictures)
    except OSError as error:
        text = f"{out}: {error.strerror}; name a file that can be written"
        raise click.BadParameter(text, param_hint="--out") from None
    click.echo(f"written: {out}")


@lab.command(name="list")
@option("store", type=EXISTING_FILE, default=DEFAULT_STORE, help="file of stored runs")
@option("label", default=None, help="of one experiment")
def list_command(store: Path, label: str | None) -> None:
    """Lists the runs of a store."""
    _print_rows(_open_store(store).rows(label))


@lab.command()
@option("size", type=click.Choice(list(SIZES)), default="small", help="of the days")
@option("seed", type=click.IntRange(0, 2**31), default=1, help="of the search")
@option("rounds", type=click.IntRange(1, 10000), default=5, help="of mutation")
@option("width", type=click.IntRange(1, 1000), default=8, help="days a round")
@option("seconds", type=click.FloatRange(6, 3600), default=None, help="of a day, unless its size's own")
@option(
    "gap", type=click.FloatRange(0, 1), default=0.35, help="share of the achievable service whose loss is a finding"
)
@option("jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, help="concurrent runs")
@option("out", type=click.Path(file_okay=False, path_type=Path), default=Path("hunt"), help="folder of findings")
def hunt(
    size: str, seed: int, rounds: int, width: int, seconds: float | None, gap: float, jobs: int, out: Path
) -> None:
    """Searches for days on which rules break or service is far below its upper bound, and saves them, shrunk, as
    scenario files. Exit code: 0 when no rule broke, 1 when one did."""
    with ThreadPoolExecutor(jobs) as pool:
        found = search(size, seed, rounds, pool, lambda text: click.echo(text, err=True), gap, seconds, width)
    for day in found:
        path = save_day(day, out)
        click.echo(f"{path}: {day.scenario.about}; {len(day.scenario.troubles)} faults, {day.scenario.seconds:g} s")
    if not found:
        click.echo("nothing was found")
    sys.exit(1 if any(not day.outcome.rules_kept for day in found) else 0)


@lab.command()
@option("size", type=click.Choice(list(SIZES)), default="small", help="of the day")
@option("seed", type=click.IntRange(0, 2**31), default=0, help="0: without faults; else it draws them")
@option("seconds", type=click.FloatRange(3, 86400), default=None, help="of the day, unless its size's own")
def draw(size: str, seed: int, seconds: float | None) -> None:
    """Prints a scenario as a starting point."""
    day = random_day(seed, size, seconds) if seed else fault_free_day(size, seconds)
    click.echo(format_scenario(day), nl=False)


@lab.command()
@click.argument("scenario")
@option("proxy", "proxies", multiple=True, required=True, help="address:port of a proxy's clients; several")
@option("seed", type=click.IntRange(0, 2**31), default=1, help="of the load")
def load(scenario: str, proxies: tuple[str, ...], seed: int) -> None:
    """Sends the traffic of SCENARIO to running proxies, open loop, and prints latencies by operation. Exit code: 0, or
    1 when the load generator could not keep up and its figures do not count, or 2 on invalid input."""
    from driftshed.lab.load import LoadGenerator
    from driftshed.lab.load import generate_arrivals as draw_arrivals
    from driftshed.lab.scenario import Surge
    from driftshed.net.http import SOCKETS
    from driftshed.net.loop import Loop
    from driftshed.proxy.command import addresses

    try:
        day = load_scenario(scenario)
    except ScenarioError as error:
        raise click.BadParameter(str(error), param_hint="SCENARIO") from None
    hosts, loop, operations = addresses(proxies, "proxy"), Loop(), day.facts.operations
    surges = [fault for fault in day.troubles if isinstance(fault, Surge)]
    arrivals = draw_arrivals(day.traffic, operations, [1.0] * len(hosts), surges, day.seconds, seed)
    generator = LoadGenerator(loop, SOCKETS, hosts, operations, arrivals, seed, day.traffic.repeats)
    began = loop.clock()
    generator.begin(began)
    loop.run(began + day.seconds)
    longest = max(operation.integration_timeout for operation in operations)
    while generator.under_way and loop.clock() < began + day.seconds + longest:
        loop.run(loop.clock() + 0.05)
    generator.stop()
    loop.close()
    click.echo(
        f"{generator.sent} sent, {generator.under_way} not answered; lag: p99 {generator.lag.p99 * 1000:.1f} ms, "
        f"maximum {generator.lag.max * 1000:.1f} ms"
    )
    for k, operation in enumerate(operations):
        latencies = [generator.histograms[k].get_value_at_percentile(p) / 1e6 for p in (50, 90, 99, 99.9)]
        shown = " ".join(f"p{p} {value:.3f} s" for p, value in zip((50, 90, 99, 99.9), latencies, strict=True))
        click.echo(f"  {operation.name:12} {generator.good_answers[k]} of {generator.requested[k]} good; {shown}")
    if not generator.lag.kept_up:
        click.echo("the load generator could not keep up: these figures do not count", err=True)
        sys.exit(1)
