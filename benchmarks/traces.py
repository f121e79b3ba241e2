"""The trace tools on a million generated records, each as a process of its own: seconds, peak memory, bytes a record.

    python benchmarks/traces.py [RECORDS]
    python benchmarks/traces.py cost [RUNS]      what tracing costs a supervisor at 118 servers and 349 proxies, paired

Prints one JSON object a line."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import zstandard

from benchmarks import scale

TOOL = [sys.executable, "-m", "driftshed.cli", "trace"]


def run(*arguments: object) -> tuple[float, float, str]:
    """Seconds, peak megabytes and the output of one tool."""
    began = time.monotonic()
    process = subprocess.Popen([*TOOL, *map(str, arguments)], stdout=subprocess.PIPE, text=True)
    out = process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode not in (0, 3):
        raise RuntimeError(f"{arguments}: exit code {process.returncode}: {out}")
    return time.monotonic() - began, usage.ru_maxrss / 1024, out


def tools(records: int) -> None:
    folder = Path(tempfile.mkdtemp())
    try:
        names = ("a.dst", "b.dst", "c.dst", "m.dst", "n.dst", "r.dst", "l.jsonl", "back.dst")
        files = {name: folder / name for name in names}
        steps = (
            ("generate", files["a.dst"], "--records", records),
            ("verify", files["a.dst"], "--digest"),
            ("verify", files["a.dst"]),
            ("summary", files["a.dst"]),
            ("cut", files["a.dst"], files["c.dst"], "--proxy", 5, "--relative", "--from", 10, "--to", 1e6),
            ("cut", files["a.dst"], files["b.dst"], "--relative", "--from", 100, "--to", 400),
            ("merge", files["a.dst"], files["b.dst"], files["m.dst"]),
            ("anonymise", files["a.dst"], files["n.dst"]),
            ("repair", files["a.dst"], files["r.dst"]),
            ("convert", files["a.dst"], files["l.jsonl"]),
            ("convert", files["l.jsonl"], files["back.dst"]),
            ("verify", files["back.dst"], "--digest"),
            ("replay", files["a.dst"]),
            ("show", files["a.dst"], "--most", records),
        )
        digests = []
        for step in steps:
            took, memory, out = run(*step)
            if "--digest" in step:
                digests.append(json.loads(out)["digest"])
            say(
                tool=" ".join(str(part) if not isinstance(part, Path) else part.name for part in step),
                seconds=round(took, 2),
                records_a_second=round(records / took),
                peak_mb=round(memory),
            )
        lines = files["l.jsonl"].read_bytes()
        packed = len(zstandard.ZstdCompressor(level=6).compress(lines))
        size = files["a.dst"].stat().st_size
        say(
            records=records,
            same_digest=len(set(digests)) == 1,
            bytes_a_record=round(size / records, 2),
            json_lines=round(len(lines) / records, 1),
            json_lines_zstd=round(packed / records, 2),
            part_of_json_lines_zstd=round(size / packed, 3),
        )
    finally:
        shutil.rmtree(folder)


def say(**figures: object) -> None:
    print(json.dumps(figures), flush=True)


def cost(runs: int) -> None:
    for number in range(runs):
        row = {}
        pair = [("without", ()), ("with", (f"trace={tempfile.mkdtemp()}",))]
        for name, more in pair if number % 2 else reversed(pair):  # who goes first takes turns
            supervisor = scale.Supervisor(118, 349, scale.PACE, *more)
            fleet = scale.Fleet(supervisor, 118, 349)
            fleet.wait(60, lambda fleet=fleet: all(proxy.usable_at for proxy in fleet.proxies))
            fleet.wait(3)

            def drain(fleet=fleet) -> None:
                for k in range(8):
                    fleet.loop.after(1.5 * k, lambda k=k: fleet.push(False, [fleet.entry(k, "draining")]))

            cpu = fleet.measure(13, drain)["cpu_a_second"]
            own = supervisor.end()["own"]
            row |= {f"cpu_{name}": cpu, f"p99_ms_{name}": own["p99_ms"], f"p50_ms_{name}": own["p50_ms"]}
            for part in more:
                folder = Path(part.partition("=")[2])
                row["trace_kb"] = round(sum(file.stat().st_size for file in folder.glob("*")) / 1024)
                shutil.rmtree(folder)
        say(**row, cpu_ratio=round(row["cpu_with"] / row["cpu_without"], 3))


if __name__ == "__main__":
    if sys.argv[1:2] == ["cost"]:
        cost(int((sys.argv[2:] or ["5"])[0]))
    else:
        tools(int((sys.argv[1:] or ["1000000"])[0]))
