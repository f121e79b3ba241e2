"""Measures costs as a function of size, at four sizes or more, and finds which budgets are exceeded first.

    python -m benchmarks.capacity                 all parts into benchmarks/capacity.json
    python -m benchmarks.capacity counts          the deterministic parts: bytes, messages, watches, lines
    python -m benchmarks.capacity PART ...        the named parts: each replaces its own rows
    python -m benchmarks.capacity list            the parts, with their sizes
    python -m benchmarks.capacity page            regenerate the tables of docs/CAPACITY.md from the file

Counts are taken in virtual time and are deterministic. Processor times are shares of a core (the minimum of three
rounds or more) or ratios to the smallest size of the same round (the median), with their spread. Every value comes
from a run, except rows of kind "computed", which follow from the rates in DESIGN."""

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
from benchmarks.capacity_fit import MIN_SIZES, fit

RESULTS_FILE = Path(__file__).with_name("capacity.json")
# The reference deployment that budgets and extrapolations refer to.
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
CELL_MEMBERS, CELLS_PER_REGION = 58, 10
ROUNDS = 3
WORKERS = 4  # processes for deterministic parts
OUTAGES_S = (5.0, 30.0, 120.0)  # how long a restarting supervisor is absent
PROPOSAL_TIMEOUT_S = 10.0  # how long a change waits for votes: `policy propose --patience`


class Slope(NamedTuple):
    """One measured value of a part. The fields become keys of the row in the results file."""

    role: str
    what: str
    unit: str
    kind: str  # count, share, ratio, memory, seconds (of virtual time) or computed


class Part(NamedTuple):
    """A measurement over sizes of DESIGN[`by`]: `run(size, seed)` where `subprocess_arguments` is "", else a function
    of `capacity_process` with these arguments, "{}" replaced by the size. `deterministic`: each run gives the same
    values."""

    by: str
    sizes: tuple[int, ...]
    slopes: dict[str, Slope]
    run: Callable[[int, int], dict] | None = None
    subprocess_arguments: str = ""
    deterministic: bool = False
    seeds: tuple[int, ...] = (1,)
    time: str = "process"


def _count_slope(role: str, what: str, unit: str = "bytes") -> Slope:
    return Slope(role, what, unit, "count")


SUPERVISOR, STORE, PROXY, COMMAND_LINE = "supervisor", "store", "proxy", "command line"
PARTS: dict[str, Part] = {
    "joining": Part(
        "supervisors",
        (8, 16, 32, 64, 128, 256),
        {
            "join_bytes": _count_slope(SUPERVISOR, "joining, all at once, flat"),
            "join_messages": _count_slope(SUPERVISOR, "joining, all at once, flat", "messages"),
            "watches": _count_slope(SUPERVISOR, "joining, all at once, flat", "watches"),
            "store_join_bytes": _count_slope(STORE, "all join at once, flat"),
            "store_watches": _count_slope(STORE, "all join at once, flat", "watches"),
        },
        flat.measure_joining,
        deterministic=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "standing": Part(
        "supervisors",
        (8, 16, 32, 64, 128),
        {
            "rest_bytes_a_second": _count_slope(SUPERVISOR, "at rest, time-out 2 s", "bytes/s"),
            "store_rest_bytes_a_second": _count_slope(STORE, "all at rest, time-out 2 s", "bytes/s"),
            "word_bytes": _count_slope(SUPERVISOR, "one word of another about itself"),
            "word_messages": _count_slope(SUPERVISOR, "one word of another about itself", "messages"),
            "store_word_bytes": _count_slope(STORE, "one word, to all"),
            "death_bytes": _count_slope(SUPERVISOR, "one death of another"),
            "death_messages": _count_slope(SUPERVISOR, "one death of another", "messages"),
            "store_death_bytes": _count_slope(STORE, "one death, to all"),
        },
        flat.measure_rest_and_events,
        deterministic=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "chatter": Part(
        "supervisors",
        (8, 16, 32, 64, 96),
        {
            "chatter_bytes_a_second": _count_slope(SUPERVISOR, "each says something once a second", "bytes/s"),
        },
        flat.measure_updates,
        deterministic=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "change": Part(
        "supervisors",
        (8, 16, 24, 32, 48, 64),
        {
            "change_bytes": _count_slope(SUPERVISOR, "one change of policy; its proposer"),
            "change_messages": _count_slope(SUPERVISOR, "one change of policy; its proposer", "messages"),
            "proposer_change_bytes": _count_slope(SUPERVISOR, "one change of policy; its proposer"),
            "store_change_bytes": _count_slope(STORE, "one change of policy, all"),
        },
        flat.measure_change,
        deterministic=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "phases": Part(
        "supervisors",
        (8, 16, 24, 32, 48, 64),
        {
            f"{what}_{name}": Slope(SUPERVISOR, f"a change until {label}, {name}, store 20 ms away", "s", "seconds")
            for what, label in (
                ("open", "it stands"),
                ("words", "all words do"),
                ("settled", "it is settled"),
                ("read", "all have read so"),
            )
            for name in ("p50", "worst")
        },
        flat.measure_phases,
        deterministic=True,
        seeds=(1, 2, 3),
        time="virtual",
    ),
    "one": Part(
        "supervisors",
        (64, 256, 1024, 2048, 4000),
        {
            "one_join_bytes": _count_slope(SUPERVISOR, "one joins those that stand; one restart, read by one"),
            "one_word_bytes": _count_slope(SUPERVISOR, "one word, read by one of so many"),
            "one_death_bytes": _count_slope(SUPERVISOR, "one death, read by one of so many"),
            "one_restart_bytes": _count_slope(SUPERVISOR, "one joins those that stand; one restart, read by one"),
        },
        flat.measure_one_among,
        deterministic=True,
        time="virtual",
    ),
    **{
        f"tier_{by}": Part(
            by,
            sizes,
            {
                "tier_rest_member": _count_slope(SUPERVISOR, f"in tiers, at rest, a member ({fleet_shape})", "bytes/s"),
                "tier_rest_cell": _count_slope(
                    SUPERVISOR, f"in tiers, at rest, who speaks for a cell ({fleet_shape})", "bytes/s"
                ),
                "tier_rest_region": _count_slope(
                    SUPERVISOR, f"in tiers, at rest, who speaks for a region ({fleet_shape})", "bytes/s"
                ),
                "tier_change_member": _count_slope(
                    SUPERVISOR, f"in tiers, one change of policy, a member ({fleet_shape})"
                ),
                "tier_change_cell": _count_slope(
                    SUPERVISOR, f"in tiers, one change of policy, who speaks for a cell ({fleet_shape})"
                ),
                "tier_change_region": _count_slope(
                    SUPERVISOR, f"in tiers, one change of policy, who speaks for a region ({fleet_shape})"
                ),
                **(
                    {
                        "tier_watches": _count_slope(
                            SUPERVISOR, f"in tiers, the most watches of a session ({fleet_shape})", "watches"
                        )
                    }
                    if by == "members"
                    else {}
                ),
                "tier_read_p50": Slope(
                    SUPERVISOR, f"in tiers, a change until all have read it, p50 ({fleet_shape})", "s", "seconds"
                ),
                "tier_read_worst": Slope(
                    SUPERVISOR, f"in tiers, a change until all have read it, worst ({fleet_shape})", "s", "seconds"
                ),
            },
            run,
            deterministic=True,
            time="virtual",
        )
        for by, fleet_shape, sizes, run in (
            ("members", "2 regions of 2 cells", (4, 8, 16, 32, 58), tiers.by_members),
            ("cells", "2 regions, 4 members a cell", (2, 4, 6, 8, 10), tiers.by_cells),
            ("regions", "2 cells of 3 members each", (2, 3, 5, 7, 9), tiers.by_regions),
        )
    },
    "listing": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "list_bytes": _count_slope(SUPERVISOR, "first list of the servers' nodes; one replaced"),
            "replaced_bytes": _count_slope(SUPERVISOR, "first list of the servers' nodes; one replaced"),
        },
        flat.measure_listing,
        deterministic=True,
        time="virtual",
    ),
    "table": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "whole_bytes": _count_slope(SUPERVISOR, "one table of all servers, to one proxy; one line of it"),
            "delta_bytes": _count_slope(SUPERVISOR, "one table of all servers, to one proxy; one line of it"),
        },
        subprocess_arguments="table {}",
        deterministic=True,
    ),
    "dealt": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "dealt_lines": _count_slope(SUPERVISOR, "the table that the module deals to a proxy", "lines"),
            "dealt_bytes": _count_slope(SUPERVISOR, "the table that the module deals to a proxy"),
        },
        subprocess_arguments="dealt {} 64",
        deterministic=True,
    ),
    "fan_servers": Part(
        "servers",
        (120, 240, 480, 960, 1920),
        {
            "fan_bytes_a_second": _count_slope(
                SUPERVISOR, "changes to 64 proxies, a server replaced each 4 s", "bytes/s"
            ),
        },
        subprocess_arguments="fanout {} 64 30",
        deterministic=True,
    ),
    "fan_proxies": Part(
        "proxies",
        (64, 128, 256, 512, 1024),
        {
            "fan_bytes_a_second": _count_slope(
                SUPERVISOR, "changes to proxies, 118 servers, one replaced each 4 s", "bytes/s"
            ),
        },
        subprocess_arguments="fanout 118 {} 30",
        deterministic=True,
    ),
    "document": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "document_bytes": _count_slope(COMMAND_LINE, "a policy, canonical, by operations"),
        },
        subprocess_arguments="document {}",
        deterministic=True,
    ),
    "views": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "fleet_api_bytes": _count_slope(COMMAND_LINE, "`driftshed fleet`: answer of the API; printed"),
            "fleet_text_bytes": _count_slope(COMMAND_LINE, "`driftshed fleet`: answer of the API; printed"),
        },
        subprocess_arguments="fleet_view {}",
        deterministic=True,
    ),
    "policy_views": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "policy_api_bytes": _count_slope(COMMAND_LINE, "`driftshed policy show`: answer of the API; printed"),
            "policy_text_bytes": _count_slope(COMMAND_LINE, "`driftshed policy show`: answer of the API; printed"),
        },
        subprocess_arguments="policy_view {}",
        deterministic=True,
    ),
    "proxy_bytes": Part(
        "servers",
        (125, 250, 500, 1000, 2000, 4000),
        {
            "proxy_whole_bytes": _count_slope(PROXY, "a reconnect: one table of all servers; held"),
            "proxy_memory": Slope(PROXY, "a reconnect: one table of all servers; held", "bytes", "memory"),
        },
        subprocess_arguments="proxy_tables {} 4",
        deterministic=True,
    ),
    "proxy_routes": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "proxy_whole_bytes": _count_slope(PROXY, "a reconnect: 118 servers, by operations; held"),
            "proxy_memory": Slope(PROXY, "a reconnect: 118 servers, by operations; held", "bytes", "memory"),
        },
        subprocess_arguments="proxy_tables 118 {}",
        deterministic=True,
    ),
    "core_servers": Part(
        "servers",
        (125, 250, 500, 1000, 2000),
        {
            "core_memory": Slope(SUPERVISOR, "the core: 64 proxies on one table", "bytes", "memory"),
        },
        subprocess_arguments="core {} 64",
        deterministic=True,
    ),
    "core_proxies": Part(
        "proxies",
        (64, 125, 250, 500, 1000),
        {
            "core_memory": Slope(SUPERVISOR, "the core: 118 servers in one table", "bytes", "memory"),
        },
        subprocess_arguments="core 118 {}",
        deterministic=True,
    ),
    "roll_memory": Part(
        "supervisors",
        (64, 256, 1024, 2048, 4096),
        {
            "roll_memory": Slope(SUPERVISOR, "the roll of a flat fleet", "bytes", "memory"),
        },
        subprocess_arguments="roll_memory {}",
        deterministic=True,
    ),
    "store_sessions": Part(
        "sessions",
        (1000, 2000, 4000, 8000),
        {
            "store_session_memory": Slope(STORE, "sessions (stand-in)", "bytes", "memory"),
        },
        subprocess_arguments="store_sessions {}",
        deterministic=True,
    ),
    "store_nodes": Part(
        "nodes",
        (1000, 2000, 4000, 8000),
        {
            "store_node_memory": Slope(STORE, "members' nodes (stand-in)", "bytes", "memory"),
        },
        subprocess_arguments="store_nodes {}",
        deterministic=True,
    ),
    "store_fleet": Part(
        "supervisors",
        (48, 96, 192, 384, 768),
        {
            "store_watch_memory": Slope(
                STORE, "a watch of a flat fleet, with its share of sessions and nodes (stand-in)", "bytes", "memory"
            ),
        },
        subprocess_arguments="store_fleet {}",
        deterministic=True,
    ),
    "module_servers": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "cores": Slope(SUPERVISOR, "the module, 350 proxies", "of a core", "share"),
            "batch_ms": Slope(SUPERVISOR, "the module, 350 proxies", "of 0.5 s in its longest batch", "share"),
            "us_an_event": Slope(SUPERVISOR, "the module, 350 proxies", "x an event", "ratio"),
        },
        subprocess_arguments="module {} 350 5",
    ),
    "module_memory": Part(
        "servers",
        (250, 500, 1000, 2000, 4000),
        {
            "module_memory": Slope(SUPERVISOR, "the module, 350 proxies, held", "bytes", "memory"),
        },
        subprocess_arguments="module_memory {} 350",
        deterministic=True,
    ),
    "module_held": Part(
        "proxies",
        (100, 200, 400, 800, 1600),
        {
            "module_memory": Slope(SUPERVISOR, "the module, 400 servers, held", "bytes", "memory"),
        },
        subprocess_arguments="module_memory 400 {}",
        deterministic=True,
    ),
    "module_proxies": Part(
        "proxies",
        (100, 200, 400, 800, 1600),
        {
            "cores": Slope(SUPERVISOR, "the module, 400 servers", "of a core", "share"),
            "batch_ms": Slope(SUPERVISOR, "the module, 400 servers", "of 0.5 s in its longest batch", "share"),
            "us_an_event": Slope(SUPERVISOR, "the module, 400 servers", "x an event", "ratio"),
        },
        subprocess_arguments="module 400 {} 5",
    ),
    "roll": Part(
        "supervisors",
        (64, 128, 256, 512, 1024),
        {
            "cores_of_words": Slope(SUPERVISOR, "reading a word of each other once a second", "of a core", "share"),
            "us_a_word": Slope(SUPERVISOR, "reading a word of each other once a second", "x a word", "ratio"),
        },
        subprocess_arguments="roll {}",
    ),
    "proxy_takes": Part(
        "servers",
        (125, 250, 500, 1000, 2000),
        {
            "proxy_take_ms": Slope(PROXY, "taking one table whole", "x", "ratio"),
        },
        subprocess_arguments="proxy_tables {} 4",
    ),
    "document_checks": Part(
        "routes",
        (1, 2, 4, 8, 16),
        {
            "document_ms": Slope(COMMAND_LINE, "reading and checking a policy", "x", "ratio"),
        },
        subprocess_arguments="document {}",
    ),
    "view_prints": Part(
        "supervisors",
        (25, 50, 100, 200, 400),
        {
            "fleet_print_ms": Slope(COMMAND_LINE, "`driftshed fleet`: printing", "x", "ratio"),
        },
        subprocess_arguments="fleet_view {}",
    ),
    "store_rest": Part(
        "sessions",
        (500, 1000, 2000, 4000),
        {
            "store_rest_cores": Slope(STORE, "sessions that ping, time-out 10 s (stand-in)", "of a core", "share"),
            "store_rest_memory": Slope(STORE, "sessions that ping, time-out 10 s (stand-in)", "bytes", "memory"),
        },
        subprocess_arguments="store_rest {} 3",
        time="sockets",
    ),
    "process_servers": Part(
        "servers",
        (50, 100, 200, 400),
        {
            "process_cores": Slope(SUPERVISOR, "whole process, 64 proxies", "of a core", "share"),
            "process_memory": Slope(SUPERVISOR, "whole process, 64 proxies", "bytes", "memory"),
        },
        subprocess_arguments="supervisor {} 64 3",
        time="sockets",
    ),
    "process_proxies": Part(
        "proxies",
        (32, 64, 128, 256),
        {
            "process_cores": Slope(SUPERVISOR, "whole process, 118 servers", "of a core", "share"),
            "process_memory": Slope(SUPERVISOR, "whole process, 118 servers", "bytes", "memory"),
        },
        subprocess_arguments="supervisor 118 {} 3",
        time="sockets",
    ),
}
SHARE_DENOMINATORS = {"batch_ms": 500.0}  # milliseconds that these values are divided by
RATIO_KEYS = {"us_an_event", "us_a_word", "proxy_take_ms", "document_ms", "fleet_print_ms"}
# The size that each row is extrapolated to, by the row's `by`.
EXTRAPOLATION_SIZES = DESIGN


def run_in_subprocess(arguments: str) -> dict:
    """Runs `capacity_process` with these arguments and returns its JSON. Raises RuntimeError with its stderr."""
    command = [sys.executable, "-m", "benchmarks.capacity_process", *arguments.split()]
    root = RESULTS_FILE.parent.parent
    completed = subprocess.run(
        command, capture_output=True, text=True, cwd=root, timeout=600, env=os.environ | {"PYTHONPATH": str(root)}
    )
    if completed.returncode:
        raise RuntimeError(f"{arguments}: {completed.stderr[-2000:]}")
    return json.loads(completed.stdout)


def measure(name: str, size: int, seed: int) -> dict:
    """The values of all slopes of part `name` at one size."""
    part = PARTS[name]
    values = part.run(size, seed) if part.run else run_in_subprocess(part.subprocess_arguments.format(size))
    return {key: float(values[key]) for key in part.slopes}


def _measure_job(job: tuple[str, int, int]) -> dict:
    return measure(*job)


def make_rows(name: str, rounds: list[list[dict]]) -> list[dict]:
    """The result rows of a part. `rounds`: for each seed or round, the values at each size."""
    part, rows = PARTS[name], []
    for key, slope in part.slopes.items():
        values_by_round = []  # indexed by round, then by size
        for results_by_size in rounds:
            values = [each[key] / SHARE_DENOMINATORS.get(key, 1.0) for each in results_by_size]
            values_by_round.append([value / values[0] for value in values] if key in RATIO_KEYS else values)
        columns = list(zip(*values_by_round, strict=True))
        # The minimum of processor time: other load on the cores can only add to it.
        pick = min if slope.kind == "share" else lambda column: sorted(column)[len(column) // 2]
        representative = [round(pick(column), 6) for column in columns]
        row = {
            "key": f"{name}.{key}",
            "role": slope.role,
            "what": slope.what,
            "by": part.by,
            "sizes": list(part.sizes),
            "values": representative,
            "unit": slope.unit,
            "kind": slope.kind,
            "spread": [[round(min(column), 6), round(max(column), 6)] for column in columns],
            "seeds": list(part.seeds) if part.deterministic else [1],
            "rounds": len(rounds),
            "time": part.time,
            "command": f"python -m benchmarks.capacity {name}",
        }
        rows.append(row | fit_row(row))
    return rows


def fit_row(row: dict) -> dict:
    """The fitted form of a row and its extrapolation to the design size. The form is selected without the largest size,
    which gives the held-out error."""
    found = fit(row["sizes"], row["values"])
    return {
        "form": found.form,
        "coefficients": [float(f"{each:.9g}") for each in found.coefficients],
        "held_out": int(found.held_out),
        "held_out_error": round(found.held_out_error, 4),
        "at_design": float(f"{found.predict(EXTRAPOLATION_SIZES[row['by']]):.4g}"),
    }


# ---- single measurements ----


def _one_among(count: int) -> dict:
    return {"size": count} | flat.measure_one_among(count)


def _listing(servers: int) -> dict:
    return {"size": servers} | flat.measure_listing(servers)


def _burst(job: tuple[int, int]) -> dict:
    return {"of": job[0], "lost": job[1]} | flat.measure_burst(*job)


def measure_refusals() -> dict:
    """The exact sizes from which on something is refused or truncated."""
    with Pool(WORKERS) as pool:
        member_runs = pool.map(_one_among, (4097, 5200), chunksize=1)
        list_runs = pool.map(_listing, (4097, 20_000), chunksize=1)
    return {
        "names": flat.first_refused_name_count(),
        "operations": process.operations_refused_at(),
        **process.text_refused_at(),
        "members": {"runs": member_runs},
        "servers": {
            "runs": list_runs,
            "first": next((each["size"] for each in list_runs if each["list_knows"] < each["size"]), None),
        },
        "command": "python -m benchmarks.capacity refusals",
    }


# Parts that are also measured at the design size, to check the extrapolation.
CHECKED_AT_DESIGN = ("module_servers", "roll", "table", "proxy_bytes", "dealt")


def measure_at_design() -> dict:
    """Values measured at the design size; processor times over ROUNDS rounds."""
    rows = []
    for name in CHECKED_AT_DESIGN:
        part = PARTS[name]
        size = DESIGN[part.by]
        rounds = [measure(name, size, k) for k in range(1 if part.deterministic else ROUNDS)]
        for key, slope in part.slopes.items():
            if key not in RATIO_KEYS:
                values = sorted(each[key] / SHARE_DENOMINATORS.get(key, 1.0) for each in rounds)
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


def measure_bursts() -> dict:
    """Simultaneous failures and restarts for each pair (supervisors, lost) of BURSTS."""
    with Pool(WORKERS) as pool:
        rows = pool.map(_burst, BURSTS, chunksize=1)
    return {
        "rows": rows,
        "timeout": flat.SESSION_TIMEOUT_S,
        "seeds": [1],
        "time": "virtual",
        "command": "python -m benchmarks.capacity bursts",
    }


def void_probability(supervisors: float, outage: float, restarts: float = DESIGN["restarts_a_day"]) -> float:
    """The chance that a change that needs every vote is aborted because a supervisor is absent when it is proposed or
    leaves while it is open. Restarts are spread evenly over all supervisors; each takes `outage` seconds."""
    rate = restarts / DESIGN["supervisors"] / 86400
    return 1 - math.exp(-supervisors * rate * (outage + PROPOSAL_TIMEOUT_S))


def void_rows() -> list[dict]:
    """Rows of `void_probability` for each outage in OUTAGES_S, by fleet size."""
    rows = []
    sizes = [8, 16, 32, 58, 64, 256, 1024, 5200]
    for outage in OUTAGES_S:
        rows.append(
            {
                "key": f"void.{outage:g}",
                "role": SUPERVISOR,
                "what": f"a change that needs every word is void, away {outage:g} s a restart",
                "by": "supervisors",
                "sizes": sizes,
                "values": [round(void_probability(n, outage), 4) for n in sizes],
                "unit": "chance",
                "kind": "computed",
                "command": "python -m benchmarks.capacity voids",
                "at_design": round(void_probability(5200, outage), 4),
            }
        )
    return rows


SINGLE_MEASUREMENTS: dict[str, Callable[[], object]] = {
    "refusals": measure_refusals,
    "bursts": measure_bursts,
    "voids": void_rows,
    "checked": measure_at_design,
}


# ---- results file and command line ----


def load_results() -> dict:
    """The results file; without one, a result without rows."""
    text = RESULTS_FILE.read_text() if RESULTS_FILE.exists() else ""
    return json.loads(text) if text else {"design": DESIGN, "rows": []}


def format_results(results: dict) -> str:
    """JSON with one row per line."""
    rows = ",\n".join(json.dumps(row) for row in results["rows"])
    rest = ",\n".join(f"{json.dumps(key)}: {json.dumps(value)}" for key, value in results.items() if key != "rows")
    return f'{{{rest},\n"rows": [\n{rows}\n]}}\n'


def update_results(transform: Callable[[dict], dict]) -> None:
    """Replaces the results file by `transform` of its content, under an exclusive lock against other processes."""
    with open(RESULTS_FILE, "a+") as locked:
        fcntl.flock(locked, fcntl.LOCK_EX)
        results = transform(load_results())
        RESULTS_FILE.write_text(format_results(results))


def replace_rows(results: dict, name: str, rows: list[dict]) -> dict:
    """The results with the rows of part `name` replaced by `rows`, in the order of PARTS."""
    others = [row for row in results["rows"] if row["key"].partition(".")[0] != name]
    order = {each: place for place, each in enumerate([*PARTS, "void"])}
    rows = sorted([*others, *rows], key=lambda row: order.get(row["key"].partition(".")[0], len(order)))
    return results | {"design": DESIGN, "rows": rows}


def run_part(name: str) -> None:
    """Measures a part or single measurement and stores its results."""
    if name in SINGLE_MEASUREMENTS:
        result = SINGLE_MEASUREMENTS[name]()
        update_results(
            lambda results: replace_rows(results, "void", result) if name == "voids" else results | {name: result}
        )
        return
    part = PARTS[name]
    if part.deterministic:
        jobs = [(name, size, seed) for seed in part.seeds for size in part.sizes]
        with Pool(WORKERS) as pool:
            job_results = pool.map(_measure_job, jobs, chunksize=1)
        rounds = [job_results[k : k + len(part.sizes)] for k in range(0, len(job_results), len(part.sizes))]
    else:  # sequentially; each round covers all sizes, so that a ratio compares consecutive runs
        rounds = [[measure(name, size, k) for size in part.sizes] for k in range(ROUNDS)]
    update_results(lambda results: replace_rows(results, name, make_rows(name, rounds)))


def refit() -> None:
    """Fits the measured values again, without measuring: for changes of the fit or of slope texts."""

    def fit_all(results: dict) -> dict:
        rows = [row for row in results["rows"] if row["kind"] == "computed" or _has_slope(row["key"])]
        return results | {
            "rows": [
                row if row["kind"] == "computed" else row | _slope_fields(row["key"]) | fit_row(row) for row in rows
            ]
        }

    update_results(fit_all)


def _slope_fields(key: str) -> dict:
    part, _, figure = key.partition(".")
    return PARTS[part].slopes[figure]._asdict()


def _has_slope(key: str) -> bool:
    part, _, figure = key.partition(".")
    return part in PARTS and figure in PARTS[part].slopes


def main() -> None:
    """Runs the parts named on the command line; all of them and the page without arguments."""
    arguments = sys.argv[1:]
    all_names = [*PARTS, *SINGLE_MEASUREMENTS]
    deterministic_names = [*(name for name, part in PARTS.items() if part.deterministic), "refusals", "bursts", "voids"]
    unknown = [each for each in arguments if each not in (*all_names, "counts", "page", "list", "refit")]
    if unknown:
        sys.exit(f"{unknown[0]}: no such part; there is {', '.join((*all_names, 'counts', 'page', 'list'))}")
    if arguments == ["list"]:
        for name, part in PARTS.items():
            print(f"{name}: by {part.by}, {', '.join(map(str, part.sizes))}{'; counts' if part.deterministic else ''}")
        return
    assert all(len(part.sizes) >= MIN_SIZES for part in PARTS.values())
    for name in arguments or [*all_names, "page"]:
        for each in deterministic_names if name == "counts" else [name]:
            if each == "refit":
                refit()
            elif each == "page":
                from benchmarks import capacity_page

                capacity_page.write_page()
            else:
                run_part(each)
            print(f"{each}: done", flush=True)


if __name__ == "__main__":
    main()
