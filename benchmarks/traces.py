"""Measures the trace tools on a million generated records, each in a separate process: time, peak memory and size.

    python benchmarks/traces.py [RECORDS]
    python benchmarks/traces.py cost [RUNS]      paired: the cost of tracing to a supervisor, 118 servers, 349 proxies

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


def run_tool(*arguments: object) -> tuple[float, float, str]:
    """Seconds, peak memory in MiB and output of one tool. Raises RuntimeError on an exit code other than 0 and 3."""
    started_at = time.monotonic()
    process = subprocess.Popen([*TOOL, *map(str, arguments)], stdout=subprocess.PIPE, text=True)
    output = process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode not in (0, 3):
        raise RuntimeError(f"{arguments}: exit code {process.returncode}: {output}")
    return time.monotonic() - started_at, usage.ru_maxrss / 1024, output


def measure_tools(records: int) -> None:
    """Runs each tool once on `records` generated records and prints its costs."""
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
            elapsed, memory, output = run_tool(*step)
            if "--digest" in step:
                digests.append(json.loads(output)["digest"])
            print_json(
                tool=" ".join(str(argument) if not isinstance(argument, Path) else argument.name for argument in step),
                seconds=round(elapsed, 2),
                records_a_second=round(records / elapsed),
                peak_mb=round(memory),
            )
        json_lines = files["l.jsonl"].read_bytes()
        compressed_size = len(zstandard.ZstdCompressor(level=6).compress(json_lines))
        size = files["a.dst"].stat().st_size
        print_json(
            records=records,
            same_digest=len(set(digests)) == 1,
            bytes_a_record=round(size / records, 2),
            json_lines=round(len(json_lines) / records, 1),
            json_lines_zstd=round(compressed_size / records, 2),
            part_of_json_lines_zstd=round(size / compressed_size, 3),
        )
    finally:
        shutil.rmtree(folder)


def print_json(**figures: object) -> None:
    """Prints one JSON object on a line."""
    print(json.dumps(figures), flush=True)


def measure_cost(runs: int) -> None:
    """Compares the processor time of a supervisor with and without tracing, `runs` times."""
    for number in range(runs):
        row = {}
        pair = [("without", ()), ("with", (f"trace={tempfile.mkdtemp()}",))]
        for name, arguments in pair if number % 2 else reversed(pair):  # the order alternates
            supervisor = scale.Supervisor(118, 349, scale.LINES_PER_SECOND, *arguments)
            fleet = scale.Fleet(supervisor, 118, 349)
            fleet.wait(60, lambda fleet=fleet: all(proxy.usable_at for proxy in fleet.proxies))
            fleet.wait(3)

            def drain(fleet=fleet) -> None:
                for k in range(8):
                    fleet.loop.after(1.5 * k, lambda k=k: fleet.send_list(False, [fleet.listed_server(k, "draining")]))

            cpu = fleet.measure(13, drain)["cpu_a_second"]
            channel_latency = supervisor.end()["own"]
            row |= {
                f"cpu_{name}": cpu,
                f"p99_ms_{name}": channel_latency["p99_ms"],
                f"p50_ms_{name}": channel_latency["p50_ms"],
            }
            for argument in arguments:
                folder = Path(argument.partition("=")[2])
                row["trace_kb"] = round(sum(file.stat().st_size for file in folder.glob("*")) / 1024)
                shutil.rmtree(folder)
        print_json(**row, cpu_ratio=round(row["cpu_with"] / row["cpu_without"], 3))


if __name__ == "__main__":
    if sys.argv[1:2] == ["cost"]:
        measure_cost(int((sys.argv[2:] or ["5"])[0]))
    else:
        measure_tools(int((sys.argv[1:] or ["1000000"])[0]))
