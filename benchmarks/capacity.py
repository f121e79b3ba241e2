"""What everything costs by its size, measured at four sizes or more, and what is over its budget first.

    python -m benchmarks.capacity                 all parts into benchmarks/capacity.json
    python -m benchmarks.capacity counts          the exact ones: bytes, messages, watches, lines
    python -m benchmarks.capacity PART ...        parts by name: each replaces its own rows
    python -m benchmarks.capacity list            the parts, with their sizes
    python -m benchmarks.capacity page            the tables of docs/CAPACITY.md from the file

Counts are of virtual time and come out the same each time. Processor times are shares of a core (the least of three
rounds or more) or ratios to the smallest size of the same round (the median), with their spread. Nothing is told that
no run has given: what follows by arithmetic from told rates is of kind "computed"."""

from __future__ import annotations

import fcntl
import json
import math
import os
import subprocess
import sys
from collections.abc import Callable
from multiprocessing import Pool
from pathlib import Path
from typing import NamedTuple

from benchmarks import capacity_flat as flat
from benchmarks import capacity_process as process
from benchmarks import capacity_tiers as tiers
from benchmarks.capacity_fit import FEWEST, fit

FILE = Path(__file__).with_name("capacity.json")
# The size that is designed for.
DESIGN = {
    "supervisors": 5200,
    "servers": 20_000,
    "services": 1300,
    "routes": 40_000,
    "tenants": 220_000,
    "proxies": 350,
    "regions": 9,
    "zones": 24,
    "requests_a_second": 1_100_000,
    "changes_a_day": 6700,
    "everywhere_within": 12.0,
    "added_ms_p99": 3.4,
    "cores": 0.048,
    "memory": 128e6,
    "bytes_a_second": 23_000,
    "machines": 22,
    "failures_a_day": 120,
    "restarts_a_day": 9100,
    "sessions": 5200,
    "nodes": 5200,
    "members": 58,
    "cells": 10,
}
CELL, CELLS_A_REGION = 58, 10
ROUNDS = 3
AT_ONCE = 4  # processes for counts
OUTAGES = (5.0, 30.0, 120.0)  # seconds that a supervisor that restarts is away: assumed, not measured
OPEN_FOR = 10.0  # seconds that a change waits for words: `policy propose --patience`


class Slope(NamedTuple):
    """One figure of a part."""

    role: str
    what: str
    unit: str
    kind: str  # count, share, ratio, memory, seconds (of virtual time), computed


class Part(NamedTuple):
    """`run(size, seed)` where `child` is "", else a measure of `capacity_process` with the arguments in `child`, "{}"
    standing for the size. `counts`: its figures come out the same each time."""

    by: str
    sizes: tuple[int, ...]
    slopes: dict[str, Slope]
    run: Callable[[int, int], dict] | None = None
    child: str = ""
    counts: bool = False
    seeds: tuple[int, ...] = (1,)
    time: str = "process"


def _count(role: str, what: str, unit: str = "bytes") -> Slope:
    return Slope(role, what, unit, "count")


SUP, STORE, PROXY, LINE = "supervisor", "store", "proxy", "command line"
PARTS: dict[str, Part] = {
    "joining": Part(
        "supervisors",
        (8, 16, 32, 64, 128, 256),
        {
            "join_bytes": _count(SUP, "joining, all at once, flat"),
            "join_messages": _count(SUP, "joining, all at once, flat", "messages"),
            "watches": _count(SUP, "joining, all at once, flat", "watches"),
            "store_join_bytes": _count(STORE, "all join at once, flat"),
            "store_watches": _count(STORE, "all join at once, flat", "watches"),
        },
        flat.joining,
        counts=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "standing": Part(
        "supervisors",
        (8, 16, 32, 64, 128),
        {
            "rest_bytes_a_second": _count(SUP, "at rest, time-out 2 s", "bytes/s"),
            "store_rest_bytes_a_second": _count(STORE, "all at rest, time-out 2 s", "bytes/s"),
            "word_bytes": _count(SUP, "one word of another about itself"),
            "word_messages": _count(SUP, "one word of another about itself", "messages"),
            "store_word_bytes": _count(STORE, "one word, to all"),
            "death_bytes": _count(SUP, "one death of another"),
            "death_messages": _count(SUP, "one death of another", "messages"),
            "store_death_bytes": _count(STORE, "one death, to all"),
        },
        flat.standing,
        counts=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "chatter": Part(
        "supervisors",
        (8, 16, 32, 64, 96),
        {
            "chatter_bytes_a_second": _count(SUP, "each says something once a second", "bytes/s"),
        },
        flat.chatter,
        counts=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "change": Part(
        "supervisors",
        (8, 16, 24, 32, 48, 64),
        {
            "change_bytes": _count(SUP, "one change of policy; its proposer"),
            "change_messages": _count(SUP, "one change of policy; its proposer", "messages"),
            "proposer_change_bytes": _count(SUP, "one change of policy; its proposer"),
            "store_change_bytes": _count(STORE, "one change of policy, all"),
        },
        flat.change,
        counts=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "phases": Part(
        "supervisors",
        (8, 16, 24, 32, 48, 64),
        {
            f"{what}_{name}": Slope(SUP, f"a change until {told}, {name}, store 20 ms away", "s", "seconds")
            for what, told in (
                ("open", "it stands"),
                ("words", "all words do"),
                ("settled", "it is settled"),
                ("read", "all have read so"),
            )
            for name in ("p50", "worst")
        },
        flat.phases,
        counts=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "one": Part(
        "supervisors",
        (64, 256, 1024, 2048, 4000),
        {
            "one_join_bytes": _count(SUP, "one joins those that stand; one restart, read by one"),
            "one_word_bytes": _count(SUP, "one word, read by one of so many"),
            "one_death_bytes": _count(SUP, "one death, read by one of so many"),
            "one_restart_bytes": _count(SUP, "one joins those that stand; one restart, read by one"),
        },
        flat.one_among,
        counts=True,
        time="virtual",
    ),
    **{
        f"tier_{by}": Part(
            by,
            sizes,
            {
                "tier_rest_member": _count(SUP, f"in tiers, at rest, a member ({rest})", "bytes/s"),
                "tier_rest_cell": _count(SUP, f"in tiers, at rest, who speaks for a cell ({rest})", "bytes/s"),
                "tier_rest_region": _count(SUP, f"in tiers, at rest, who speaks for a region ({rest})", "bytes/s"),
                "tier_change_member": _count(SUP, f"in tiers, one change of policy, a member ({rest})"),
                "tier_change_cell": _count(SUP, f"in tiers, one change of policy, who speaks for a cell ({rest})"),
                "tier_change_region": _count(SUP, f"in tiers, one change of policy, who speaks for a region ({rest})"),
                **(
                    {"tier_watches": _count(SUP, f"in tiers, the most watches of a session ({rest})", "watches")}
                    if by == "members"
                    else {}
                ),
                "tier_read_p50": Slope(SUP, f"in tiers, a change until all have read it, p50 ({rest})", "s", "seconds"),
                "tier_read_worst": Slope(
                    SUP, f"in tiers, a change until all have read it, worst ({rest})", "s", "seconds"
                ),
            },
            run,
            counts=True,
            time="virtual",
        )
        for by, rest, sizes, run in (
            ("members", "2 regions of 2 cells", (4, 8, 16, 32, 58), tiers.by_members),
            ("cells", "2 regions, 4 members a cell", (2, 4, 6, 8, 10), tiers.by_cells),
            ("regions", "2 cells of 3 members each", (2, 3, 5, 7, 9), tiers.by_regions),
        )
    },
    "listing": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "list_bytes": _count(SUP, "first list of the servers' nodes; one replaced"),
            "replaced_bytes": _count(SUP, "first list of the servers' nodes; one replaced"),
        },
        flat.listing,
        counts=True,
        time="virtual",
    ),
    "table": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "whole_bytes": _count(SUP, "one table of all servers, to one proxy; one line of it"),
            "delta_bytes": _count(SUP, "one table of all servers, to one proxy; one line of it"),
        },
        child="table {}",
        counts=True,
    ),
    "dealt": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "dealt_lines": _count(SUP, "the table that the module deals to a proxy", "lines"),
            "dealt_bytes": _count(SUP, "the table that the module deals to a proxy"),
        },
        child="dealt {} 64",
        counts=True,
    ),
    "fan_servers": Part(
        "servers",
        (120, 240, 480, 960, 1920),
        {
            "fan_bytes_a_second": _count(SUP, "changes to 64 proxies, a server replaced each 4 s", "bytes/s"),
        },
        child="fanout {} 64 30",
        counts=True,
    ),
    "fan_proxies": Part(
        "proxies",
        (64, 128, 256, 512, 1024),
        {
            "fan_bytes_a_second": _count(SUP, "changes to proxies, 118 servers, one replaced each 4 s", "bytes/s"),
        },
        child="fanout 118 {} 30",
        counts=True,
    ),
    "document": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "document_bytes": _count(LINE, "a policy, canonical, by operations"),
        },
        child="document {}",
        counts=True,
    ),
    "views": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "fleet_api_bytes": _count(LINE, "`driftshed fleet`: answer of the API; printed"),
            "fleet_text_bytes": _count(LINE, "`driftshed fleet`: answer of the API; printed"),
        },
        child="fleet_view {}",
        counts=True,
    ),
    "policy_views": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "policy_api_bytes": _count(LINE, "`driftshed policy show`: answer of the API; printed"),
            "policy_text_bytes": _count(LINE, "`driftshed policy show`: answer of the API; printed"),
        },
        child="policy_view {}",
        counts=True,
    ),
    "proxy_bytes": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "proxy_whole_bytes": _count(PROXY, "a reconnect: one table of all servers; held"),
            "proxy_memory": Slope(PROXY, "a reconnect: one table of all servers; held", "bytes", "memory"),
        },
        child="proxy_tables {} 4",
        counts=True,
    ),
    "proxy_routes": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "proxy_whole_bytes": _count(PROXY, "a reconnect: 118 servers, by operations; held"),
            "proxy_memory": Slope(PROXY, "a reconnect: 118 servers, by operations; held", "bytes", "memory"),
        },
        child="proxy_tables 118 {}",
        counts=True,
    ),
    "core_servers": Part(
        "servers",
        (125, 250, 500, 1000, 2000),
        {
            "core_memory": Slope(SUP, "the core: 64 proxies on one table", "bytes", "memory"),
        },
        child="core {} 64",
        counts=True,
    ),
    "core_proxies": Part(
        "proxies",
        (64, 125, 250, 500, 1000),
        {
            "core_memory": Slope(SUP, "the core: 118 servers in one table", "bytes", "memory"),
        },
        child="core 118 {}",
        counts=True,
    ),
    "roll_memory": Part(
        "supervisors",
        (64, 256, 1024, 2048, 4096),
        {
            "roll_memory": Slope(SUP, "the roll of a flat fleet", "bytes", "memory"),
        },
        child="roll_memory {}",
        counts=True,
    ),
    "store_sessions": Part(
        "sessions",
        (1000, 2000, 4000, 8000),
        {
            "store_session_memory": Slope(STORE, "sessions (stand-in)", "bytes", "memory"),
        },
        child="store_sessions {}",
        counts=True,
    ),
    "store_nodes": Part(
        "nodes",
        (1000, 2000, 4000, 8000),
        {
            "store_node_memory": Slope(STORE, "members' nodes (stand-in)", "bytes", "memory"),
        },
        child="store_nodes {}",
        counts=True,
    ),
    "store_fleet": Part(
        "supervisors",
        (48, 96, 192, 384, 768),
        {
            "store_watch_memory": Slope(
                STORE, "a watch of a flat fleet, with its share of sessions and nodes (stand-in)", "bytes", "memory"
            ),
        },
        child="store_fleet {}",
        counts=True,
    ),
    "module_servers": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "cores": Slope(SUP, "the module, 350 proxies", "of a core", "share"),
            "batch_ms": Slope(SUP, "the module, 350 proxies", "of 0.5 s in its longest batch", "share"),
            "us_an_event": Slope(SUP, "the module, 350 proxies", "x an event", "ratio"),
        },
        child="module {} 350 5",
    ),
    "module_memory": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "module_memory": Slope(SUP, "the module, 350 proxies, held", "bytes", "memory"),
        },
        child="module_memory {} 350",
        counts=True,
    ),
    "module_held": Part(
        "proxies",
        (100, 200, 400, 800, 1600),
        {
            "module_memory": Slope(SUP, "the module, 400 servers, held", "bytes", "memory"),
        },
        child="module_memory 400 {}",
        counts=True,
    ),
    "module_proxies": Part(
        "proxies",
        (100, 200, 400, 800, 1600),
        {
            "cores": Slope(SUP, "the module, 400 servers", "of a core", "share"),
            "batch_ms": Slope(SUP, "the module, 400 servers", "of 0.5 s in its longest batch", "share"),
            "us_an_event": Slope(SUP, "the module, 400 servers", "x an event", "ratio"),
        },
        child="module 400 {} 5",
    ),
    "roll": Part(
        "supervisors",
        (64, 128, 256, 512, 1024),
        {
            "cores_of_words": Slope(SUP, "reading a word of each other once a second", "of a core", "share"),
            "us_a_word": Slope(SUP, "reading a word of each other once a second", "x a word", "ratio"),
        },
        child="roll {}",
    ),
    "proxy_takes": Part(
        "servers",
        (125, 250, 500, 1000, 2000),
        {
            "proxy_take_ms": Slope(PROXY, "taking one table whole", "x", "ratio"),
        },
        child="proxy_tables {} 4",
    ),
    "document_checks": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "document_ms": Slope(LINE, "reading and checking a policy", "x", "ratio"),
        },
        child="document {}",
    ),
    "view_prints": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "fleet_print_ms": Slope(LINE, "`driftshed fleet`: printing", "x", "ratio"),
        },
        child="fleet_view {}",
    ),
    "store_rest": Part(
        "sessions",
        (500, 1000, 2000, 4000),
        {
            "store_rest_cores": Slope(STORE, "sessions that ping, time-out 10 s (stand-in)", "of a core", "share"),
            "store_rest_memory": Slope(STORE, "sessions that ping, time-out 10 s (stand-in)", "bytes", "memory"),
        },
        child="store_rest {} 3",
        time="sockets",
    ),
    "process_servers": Part(
        "servers",
        (50, 100, 200, 400),
        {
            "process_cores": Slope(SUP, "whole process, 64 proxies", "of a core", "share"),
            "process_memory": Slope(SUP, "whole process, 64 proxies", "bytes", "memory"),
        },
        child="supervisor {} 64 3",
        time="sockets",
    ),
    "process_proxies": Part(
        "proxies",
        (32, 64, 128, 256),
        {
            "process_cores": Slope(SUP, "whole process, 118 servers", "of a core", "share"),
            "process_memory": Slope(SUP, "whole process, 118 servers", "bytes", "memory"),
        },
        child="supervisor 118 {} 3",
        time="sockets",
    ),
}
SHARE_OF = {"batch_ms": 500.0}  # figures that are told as a share of this
RATIOS = {"us_an_event", "us_a_word", "proxy_take_ms", "document_ms", "fleet_print_ms"}
# How many of these a time is one of: what stands in place of the design's size where a slope has no size of its own.
AT_DESIGN = DESIGN


def child(arguments: str) -> dict:
    command = [sys.executable, "-m", "benchmarks.capacity_process", *arguments.split()]
    root = FILE.parent.parent
    done = subprocess.run(
        command, capture_output=True, text=True, cwd=root, timeout=600, env=os.environ | {"PYTHONPATH": str(root)}
    )
    if done.returncode:
        raise RuntimeError(f"{arguments}: {done.stderr[-2000:]}")
    return json.loads(done.stdout)


def measured(name: str, size: int, seed: int) -> dict:
    part = PARTS[name]
    found = part.run(size, seed) if part.run else child(part.child.format(size))
    return {key: float(found[key]) for key in part.slopes}


def _measured(given: tuple[str, int, int]) -> dict:
    return measured(*given)


def rows_of(name: str, rounds: list[list[dict]]) -> list[dict]:
    """The rows of a part. `rounds`: for each seed or round, the figures at each size."""
    part, rows = PARTS[name], []
    for key, slope in part.slopes.items():
        table = []  # by round, by size
        for found in rounds:
            values = [each[key] / SHARE_OF.get(key, 1.0) for each in found]
            table.append([value / values[0] for value in values] if key in RATIOS else values)
        columns = list(zip(*table, strict=True))
        # Of processor time the least: what others take of the cores only adds to it.
        pick = min if slope.kind == "share" else lambda column: sorted(column)[len(column) // 2]
        middle = [round(pick(column), 6) for column in columns]
        row = {
            "key": f"{name}.{key}",
            "role": slope.role,
            "what": slope.what,
            "by": part.by,
            "sizes": list(part.sizes),
            "values": middle,
            "unit": slope.unit,
            "kind": slope.kind,
            "spread": [[round(min(column), 6), round(max(column), 6)] for column in columns],
            "seeds": list(part.seeds) if part.counts else [1],
            "rounds": len(rounds),
            "time": part.time,
            "command": f"python -m benchmarks.capacity {name}",
        }
        rows.append(row | fitted(row))
    return rows


def fitted(row: dict) -> dict:
    """How a row grows, and what that makes at the size that is designed for. The form is chosen and its error told
    without the largest size."""
    found = fit(row["sizes"], row["values"])
    return {
        "form": found.form,
        "coefficients": [float(f"{each:.9g}") for each in found.coefficients],
        "held_out": int(found.held_out),
        "held_out_error": round(found.held_out_error, 4),
        "at_design": float(f"{found.at(AT_DESIGN[row['by']]):.4g}"),
    }


# ---- single figures -------------------------------------------------------------------------------------------


def _one_among(count: int) -> dict:
    return {"size": count} | flat.one_among(count)


def _listing(servers: int) -> dict:
    return {"size": servers} | flat.listing(servers)


def _burst(given: tuple[int, int]) -> dict:
    return {"of": given[0], "lost": given[1]} | flat.burst(*given)


def refusals() -> dict:
    """Sizes at which something is refused or cut short, exactly."""
    with Pool(AT_ONCE) as pool:
        crowds = pool.map(_one_among, (4097, 5200), chunksize=1)
        lists = pool.map(_listing, (4097, 20_000), chunksize=1)
    return {
        "names": flat.refused_at(),
        "operations": process.operations_refused_at(),
        **process.text_refused_at(),
        "members": {"runs": crowds},
        "servers": {
            "runs": lists,
            "first": next((each["size"] for each in lists if each["list_knows"] < each["size"]), None),
        },
        "command": "python -m benchmarks.capacity refusals",
    }


# Slopes whose figure is measured at the design's own size besides, to see how far off the extrapolation is.
CHECKED = ("module_servers", "roll", "table", "proxy_bytes", "dealt")


def checked() -> dict:
    """Figures at the size that is designed for; of processor time three rounds."""
    rows = []
    for name in CHECKED:
        part = PARTS[name]
        size = DESIGN[part.by]
        rounds = [measured(name, size, k) for k in range(1 if part.counts else ROUNDS)]
        for key, slope in part.slopes.items():
            if key not in RATIOS:
                values = sorted(each[key] / SHARE_OF.get(key, 1.0) for each in rounds)
                value = values[0] if slope.kind == "share" else values[len(values) // 2]
                rows.append(
                    {
                        "key": f"{name}.{key}",
                        "size": size,
                        "value": round(value, 6),
                        "spread": [round(values[0], 6), round(values[-1], 6)],
                        "unit": slope.unit,
                    }
                )
    return {"rows": rows, "command": "python -m benchmarks.capacity checked"}


BURSTS = ((58, 20), (58, 58), (10, 4), (9, 1))


def bursts() -> dict:
    with Pool(AT_ONCE) as pool:
        rows = pool.map(_burst, BURSTS, chunksize=1)
    return {
        "rows": rows,
        "timeout": flat.TIMEOUT,
        "seeds": [1],
        "time": "virtual",
        "command": "python -m benchmarks.capacity bursts",
    }


def void(supervisors: float, outage: float, restarts: float = DESIGN["restarts_a_day"]) -> float:
    """The chance that a change that needs every word is void: somebody is away as it is proposed, or goes while it is
    open. Restarts are spread evenly over all, each away for `outage` seconds. Computed, not measured."""
    rate = restarts / DESIGN["supervisors"] / 86400
    return 1 - math.exp(-supervisors * rate * (outage + OPEN_FOR))


def voids() -> list[dict]:
    rows = []
    sizes = [8, 16, 32, 58, 64, 256, 1024, 5200]
    for outage in OUTAGES:
        rows.append(
            {
                "key": f"void.{outage:g}",
                "role": SUP,
                "what": f"a change that needs every word is void, away {outage:g} s a restart",
                "by": "supervisors",
                "sizes": sizes,
                "values": [round(void(n, outage), 4) for n in sizes],
                "unit": "chance",
                "kind": "computed",
                "command": "python -m benchmarks.capacity voids",
                "at_design": round(void(5200, outage), 4),
            }
        )
    return rows


SINGLES: dict[str, Callable[[], object]] = {"refusals": refusals, "bursts": bursts, "voids": voids, "checked": checked}


# ---- running --------------------------------------------------------------------------------------------------


def load() -> dict:
    text = FILE.read_text() if FILE.exists() else ""
    return json.loads(text) if text else {"design": DESIGN, "rows": []}


def lined(found: dict) -> str:
    """JSON with each row on a line of its own."""
    rows = ",\n".join(json.dumps(row) for row in found["rows"])
    rest = ",\n".join(f"{json.dumps(key)}: {json.dumps(value)}" for key, value in found.items() if key != "rows")
    return f'{{{rest},\n"rows": [\n{rows}\n]}}\n'


def change(make: Callable[[dict], dict]) -> None:
    """Reads the file, makes another of it and writes that, one process at a time."""
    with open(FILE, "a+") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        found = make(load())
        FILE.write_text(lined(found))


def kept(found: dict, name: str, rows: list[dict]) -> dict:
    """The file with the rows of a part in place of its older ones."""
    others = [row for row in found["rows"] if row["key"].partition(".")[0] != name]
    order = {each: place for place, each in enumerate([*PARTS, "void"])}
    rows = sorted([*others, *rows], key=lambda row: order.get(row["key"].partition(".")[0], len(order)))
    return found | {"design": DESIGN, "rows": rows}


def run(name: str) -> None:
    if name in SINGLES:
        result = SINGLES[name]()
        change(lambda found: kept(found, "void", result) if name == "voids" else found | {name: result})
        return
    part = PARTS[name]
    if part.counts:
        asked = [(name, size, seed) for seed in part.seeds for size in part.sizes]
        with Pool(AT_ONCE) as pool:
            found = pool.map(_measured, asked, chunksize=1)
        rounds = [found[k : k + len(part.sizes)] for k in range(0, len(found), len(part.sizes))]
    else:  # one after the other: each round holds all sizes, so that a ratio is of runs next to each other
        rounds = [[measured(name, size, k) for size in part.sizes] for k in range(ROUNDS)]
    change(lambda found: kept(found, name, rows_of(name, rounds)))


def refit() -> None:
    """The rows as measured, fitted anew: after a change of the fit alone."""

    def fit_all(found: dict) -> dict:
        rows = [row for row in found["rows"] if row["kind"] == "computed" or _known(row["key"])]
        return found | {
            "rows": [row if row["kind"] == "computed" else row | _said(row["key"]) | fitted(row) for row in rows]
        }

    change(fit_all)


def _said(key: str) -> dict:
    part, _, figure = key.partition(".")
    return PARTS[part].slopes[figure]._asdict()


def _known(key: str) -> bool:
    part, _, figure = key.partition(".")
    return part in PARTS and figure in PARTS[part].slopes


def main() -> None:
    asked = sys.argv[1:]
    known = [*PARTS, *SINGLES]
    counts = [*(name for name, part in PARTS.items() if part.counts), "refusals", "bursts", "voids"]
    wrong = [each for each in asked if each not in (*known, "counts", "page", "list", "refit")]
    if wrong:
        sys.exit(f"{wrong[0]}: no such part; there is {', '.join((*known, 'counts', 'page', 'list'))}")
    if asked == ["list"]:
        for name, part in PARTS.items():
            print(f"{name}: by {part.by}, {', '.join(map(str, part.sizes))}{'; counts' if part.counts else ''}")
        return
    assert all(len(part.sizes) >= FEWEST for part in PARTS.values())
    for name in asked or [*known, "page"]:
        for each in counts if name == "counts" else [name]:
            if each == "refit":
                refit()
            elif each == "page":
                from benchmarks import capacity_page

                capacity_page.write()
            else:
                run(each)
            print(f"{each}: done", flush=True)


if __name__ == "__main__":
    main()
