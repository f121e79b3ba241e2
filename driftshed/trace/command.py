"""The `driftshed trace` commands. Exit codes: 0 success, 1 a check failed (damage, a difference), 2 invalid input, 3 no
conclusion is possible."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import click

from driftshed.trace import tools
from driftshed.trace.clocks import Offset
from driftshed.trace.columns import TraceError
from driftshed.trace.files import BlockCollector, TraceFile, TraceFileWriter
from driftshed.trace.fuzz import fuzz as run_fuzz
from driftshed.trace.generate import batches
from driftshed.trace.replay import Replay, core_version
from driftshed.trace.writer import require_new_path

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
OUT = click.Path(dir_okay=False, path_type=Path)
# By the first part of a topic: repeats a recorded decision and returns how it differs, or "". Filled by
# driftshed/cli.py.
DECISION_CHECKERS: dict[str, Callable[[dict], str]] = {}


class TraceGroup(click.Group):
    """Reports a TraceError as a usage error, and exits quietly when the reader of its output has gone."""

    def invoke(self, context: click.Context) -> object:
        """Runs a command."""
        try:
            return super().invoke(context)
        except TraceError as error:
            raise click.UsageError(str(error)) from None
        except BrokenPipeError:
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
            sys.exit(0)


@click.group(cls=TraceGroup)
def trace() -> None:
    """Traces: record with `supervise --trace DIR` or `day --trace DIR`, then inspect the files."""


def _print_json(**figures: object) -> None:
    click.echo(json.dumps(figures, default=str))


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@click.option("--from", "since", type=float, help="unix time in seconds, or with --relative from the first record")
@click.option("--to", "until", type=float, help="unix time in seconds; records from then on are left out")
@click.option("--relative", is_flag=True, help="count --from and --to from the trace's first record")
@click.option("--kind", "kinds", multiple=True, help="keep these kinds of records")
@click.option("--proxy", "proxies", type=int, multiple=True)
@click.option("--server", "servers", multiple=True, help="address:port")
@click.option("--operation", "operations", multiple=True)
@click.option("--instance", "instances", multiple=True, help="the run of an instance, or the source of a record")
def cut(file, out, since, until, relative, kinds, proxies, servers, operations, instances) -> None:
    """Keeps the matching records; gaps always stay."""
    start_us = 0
    if relative:
        with TraceFile(file) as trace_file:
            start_us = min((block.meta.first_us for block in trace_file.blocks), default=0)
    allowed = [frozenset(values) or None for values in (kinds, proxies, servers, operations, instances)]
    criteria = tools.CutFilter(
        -tools.UNBOUNDED_US if since is None else start_us + round(since * 1e6),
        tools.UNBOUNDED_US if until is None else start_us + round(until * 1e6),
        *allowed,
    )
    _print_json(records=tools.cut(file, out, criteria))


@trace.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.argument("out", type=OUT)
def merge(files, out) -> None:
    """Merges several traces into one, on the clock of the first."""
    merged = tools.merge(list(files), out)
    clocks = []
    for name, clock in merged.clocks:
        if isinstance(clock, Offset):
            clocks.append(
                {
                    "file": name,
                    "offset_s": round(clock.value, 6),
                    "drift_ppm": round(clock.drift * 1e6, 2),
                    "bound_s": round(clock.bound, 6),
                    "messages": clock.messages,
                }
            )
        else:
            clocks.append({"file": name, "unknown": clock.why, "order": "unknown against the other files"})
            click.echo(f"{name}: {clock.why}; its order against the others is unknown, its times are its own", err=True)
    _print_json(records=merged.records, clocks=clocks)


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@click.option(
    "--key-file", type=FILE, help="file with the key, 16 to 64 bytes; without it a random key is used and discarded"
)
def anonymise(file, out, key_file) -> None:
    """Replaces household keys by pseudonyms and removes free text."""
    key = key_file.read_bytes().strip() if key_file else os.urandom(32)
    if not 16 <= len(key) <= 64:
        raise click.BadParameter(f"{len(key)} bytes; expected 16 to 64", param_hint="--key-file")
    result = tools.anonymise(file, out, key)
    _print_json(records=result.records, dropped=result.dropped)


@trace.command()
@click.argument("file", type=FILE)
def summary(file) -> None:
    """Shows what a trace contains."""
    click.echo(json.dumps(tools.summary(file), indent=2, default=str))


@trace.command()
@click.argument("file", type=FILE)
@click.option("--digest", is_flag=True, help="compute a digest of all records, independent of their order and blocks")
def verify(file, digest) -> None:
    """Checks every block; exit code 1 if data is damaged, or records are missing that no gap reports."""
    result = tools.verify(file, digest)
    _print_json(**result._asdict())
    sys.exit(1 if result.damages or result.missing or result.index == "other" else 0)


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
def repair(file, out) -> None:
    """Keeps every intact block and writes a new index."""
    records, damages = tools.repair(file, out)
    _print_json(records=records, damages=damages)


@trace.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, allow_dash=True, path_type=Path))
@click.argument("out", type=click.Path(dir_okay=False, allow_dash=True, path_type=Path))
def convert(file, out) -> None:
    """Converts a trace to JSON lines, or JSON lines to a trace; - is standard input or output."""
    if str(file) != "-" and file.open("rb").read(8) == b"DSTRACE\n":
        if str(out) == "-":
            tools.to_json_lines(file, sys.stdout.buffer)
            return
        require_new_path(out)
        with out.open("wb") as sink:
            _print_json(records=tools.to_json_lines(file, sink))
        return
    if str(out) == "-":
        raise click.BadParameter("a trace must be written to a file", param_hint="OUT")
    with sys.stdin.buffer if str(file) == "-" else file.open("rb") as lines:
        _print_json(records=tools.from_json_lines(lines, out))


@trace.command()
@click.argument("file", type=FILE)
@click.option("--kind", "kinds", multiple=True)
@click.option("--most", type=int, default=50, show_default=True, help="number of records shown")
def show(file, kinds, most) -> None:
    """Shows records by time, one per line."""
    with TraceFile(file) as trace_file:
        for shown, (batch, row) in enumerate(trace_file.records_by_time(set(kinds) or None)):
            if shown >= most:
                break
            at, seq = row.pop("at"), row.pop("seq", "")
            fields = " ".join(f"{name}={_shorten(value)}" for name, value in row.items())
            click.echo(f"{at:.6f} {batch.source} {seq} {batch.kind} {fields}")


def _shorten(value: object) -> str:
    text = f"{len(value)} bytes" if isinstance(value, bytes) else str(value)
    return text if len(text) < 100 else text[:97] + "..."


@trace.command()
@click.argument("out", type=OUT)
@click.option("--records", type=click.IntRange(0, 1 << 32), default=100_000, show_default=True)
@click.option("--seed", type=click.IntRange(0, 1 << 62), default=1, show_default=True)
@click.option("--sources", type=click.IntRange(1, 1000), default=4, show_default=True)
def generate(out, records, seed, sources) -> None:
    """Writes a synthetic trace."""
    require_new_path(out)
    collector = BlockCollector(TraceFileWriter(out, {"source": "generated", "seed": seed}))
    for batch in batches(records, seed, sources):
        collector.add(batch)
    collector.close()
    _print_json(records=records, bytes=out.stat().st_size)


@trace.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--other-core", is_flag=True, help="also replay recordings of another version of the core")
def replay(files, other_core) -> None:
    """Feeds recorded events to the module and reports where orders first differ. Pass all files of a recording, in
    order. Exit code 0: all the same; 1: some differ; 3: some are unknown, or there is nothing to replay."""
    replayer = Replay(other_core, decision_checkers=DECISION_CHECKERS)
    for file in files:
        with TraceFile(file) as trace_file:
            for batch, row in trace_file.records_by_time({"start", "turn", "switch", "decision"}):
                getattr(replayer, batch.kind)(row)
            for damage in trace_file.damages:
                click.echo(f"{file}: byte {damage.offset}: {damage.why}", err=True)
    verdicts = replayer.verdicts()
    for verdict in verdicts:
        click.echo(json.dumps(verdict._asdict()))
    if not verdicts:
        click.echo(f"no instance was recorded in these files (core here: {core_version()})", err=True)
    results = {verdict.said for verdict in verdicts}
    sys.exit(1 if "differs" in results else 3 if "unknown" in results or not results else 0)


@trace.command()
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def fuzz(seconds, seed) -> None:
    """Reads corrupted files for a while; fails on any error but a TraceError."""
    with tempfile.TemporaryDirectory() as folder:
        _print_json(**run_fuzz(Path(folder), seconds, seed)._asdict())
