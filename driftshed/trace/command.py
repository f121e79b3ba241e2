"""`driftshed trace ...`: the tools on the command line. Exit codes: 0 well, 1 what was looked for is not so (damage, a
difference), 2 bad input, 3 nothing can be said."""

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
# By how a topic begins: what decides again what was recorded; the command line fills it in.
DECIDERS: dict[str, Callable[[dict], str]] = {}


class Group(click.Group):
    """Says plainly what is wrong with a trace."""

    def invoke(self, context: click.Context) -> object:
        try:
            return super().invoke(context)
        except TraceError as error:
            raise click.UsageError(str(error)) from None
        except BrokenPipeError:
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
            sys.exit(0)


@click.group(cls=Group)
def trace() -> None:
    """Traces: record with `supervise --trace DIR` or `day --trace DIR`, then look at what was."""


def _say(**figures: object) -> None:
    click.echo(json.dumps(figures, default=str))


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@click.option("--from", "since", type=float, help="unix time in seconds, or with --relative from the first record")
@click.option("--to", "until", type=float, help="the first moment that is left out")
@click.option("--relative", is_flag=True, help="--from and --to count from the trace's first record")
@click.option("--kind", "kinds", multiple=True, help="keep these kinds of records")
@click.option("--proxy", "proxies", type=int, multiple=True)
@click.option("--server", "servers", multiple=True, help="address:port")
@click.option("--operation", "operations", multiple=True)
@click.option("--instance", "instances", multiple=True, help="the run of an instance, or the source of a record")
def cut(file, out, since, until, relative, kinds, proxies, servers, operations, instances) -> None:
    """Keeps what is asked for; gaps always stay."""
    base = 0
    if relative:
        with TraceFile(file) as opened:
            base = min((block.meta.first_us for block in opened.blocks), default=0)
    sets = [frozenset(part) or None for part in (kinds, proxies, servers, operations, instances)]
    wanted = tools.Wanted(
        -tools.NO_BYTES if since is None else base + round(since * 1e6),
        tools.NO_BYTES if until is None else base + round(until * 1e6),
        *sets,
    )
    _say(records=tools.cut(file, out, wanted))


@trace.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.argument("out", type=OUT)
def merge(files, out) -> None:
    """Several traces as one, on the clock of the first."""
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
    _say(records=merged.records, clocks=clocks)


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@click.option("--key-file", type=FILE, help="holds the key, 16 to 64 bytes; without it one is drawn and thrown away")
def anonymise(file, out, key_file) -> None:
    """Households' keys become pseudonyms, free text goes."""
    key = key_file.read_bytes().strip() if key_file else os.urandom(32)
    if not 16 <= len(key) <= 64:
        raise click.BadParameter(f"{len(key)} bytes; 16 to 64 are wanted", param_hint="--key-file")
    done = tools.anonymise(file, out, key)
    _say(records=done.records, dropped=done.dropped)


@trace.command()
@click.argument("file", type=FILE)
def summary(file) -> None:
    """What a trace holds."""
    click.echo(json.dumps(tools.summary(file), indent=2, default=str))


@trace.command()
@click.argument("file", type=FILE)
@click.option("--digest", is_flag=True, help="of all records, whatever their order and blocks")
def verify(file, digest) -> None:
    """Looks at every byte; exit code 1 where something is damaged or missing without a gap that says so."""
    found = tools.verify(file, digest)
    _say(**found._asdict())
    sys.exit(1 if found.damages or found.missing or found.index == "other" else 0)


@trace.command()
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
def repair(file, out) -> None:
    """Keeps every sound block, and writes the index anew."""
    records, damages = tools.repair(file, out)
    _say(records=records, damages=damages)


@trace.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, allow_dash=True, path_type=Path))
@click.argument("out", type=click.Path(dir_okay=False, allow_dash=True, path_type=Path))
def convert(file, out) -> None:
    """A trace to JSON lines, or JSON lines to a trace; - for standard input or output."""
    if str(file) != "-" and file.open("rb").read(8) == b"DSTRACE\n":
        if str(out) == "-":
            tools.to_lines(file, sys.stdout.buffer)
            return
        require_new_path(out)
        with out.open("wb") as sink:
            _say(records=tools.to_lines(file, sink))
        return
    if str(out) == "-":
        raise click.BadParameter("a trace goes to a file", param_hint="OUT")
    with sys.stdin.buffer if str(file) == "-" else file.open("rb") as lines:
        _say(records=tools.from_lines(lines, out))


@trace.command()
@click.argument("file", type=FILE)
@click.option("--kind", "kinds", multiple=True)
@click.option("--most", type=int, default=50, show_default=True, help="records shown")
def show(file, kinds, most) -> None:
    """Records by time, a line each."""
    with TraceFile(file) as opened:
        for shown, (batch, row) in enumerate(opened.records_by_time(set(kinds) or None)):
            if shown >= most:
                break
            at, seq = row.pop("at"), row.pop("seq", "")
            fields = " ".join(f"{name}={_short(value)}" for name, value in row.items())
            click.echo(f"{at:.6f} {batch.source} {seq} {batch.kind} {fields}")


def _short(value: object) -> str:
    text = f"{len(value)} bytes" if isinstance(value, bytes) else str(value)
    return text if len(text) < 100 else text[:97] + "..."


@trace.command()
@click.argument("out", type=OUT)
@click.option("--records", type=click.IntRange(0, 1 << 32), default=100_000, show_default=True)
@click.option("--seed", type=click.IntRange(0, 1 << 62), default=1, show_default=True)
@click.option("--sources", type=click.IntRange(1, 1000), default=4, show_default=True)
def generate(out, records, seed, sources) -> None:
    """A synthetic trace."""
    require_new_path(out)
    collector = BlockCollector(TraceFileWriter(out, {"source": "generated", "seed": seed}))
    for batch in batches(records, seed, sources):
        collector.add(batch)
    collector.close()
    _say(records=records, bytes=out.stat().st_size)


@trace.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--other-core", is_flag=True, help="judge though another version of the core decided")
def replay(files, other_core) -> None:
    """Feeds recorded events to the module and says where orders first differ. Give all files of a recording, in order.
    Exit code 0: all the same; 1: some differ; 3: of some nothing can be said, or there is nothing to replay."""
    playing = Replay(other_core, deciders=DECIDERS)
    for file in files:
        with TraceFile(file) as opened:
            for batch, row in opened.records_by_time({"start", "turn", "switch", "decision"}):
                getattr(playing, batch.kind)(row)
            for damage in opened.damages:
                click.echo(f"{file}: byte {damage.offset}: {damage.why}", err=True)
    verdicts = playing.verdicts()
    for verdict in verdicts:
        click.echo(json.dumps(verdict._asdict()))
    if not verdicts:
        click.echo(f"no instance was recorded in these files (core here: {core_version()})", err=True)
    said = {verdict.said for verdict in verdicts}
    sys.exit(1 if "differs" in said else 3 if "unknown" in said or not said else 0)


@trace.command()
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def fuzz(seconds, seed) -> None:
    """Reads broken files for a while; nothing but a plain refusal may come of it."""
    with tempfile.TemporaryDirectory() as folder:
        _say(**run_fuzz(Path(folder), seconds, seed)._asdict())
