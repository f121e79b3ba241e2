"""Generates the tables of docs/CAPACITY.md from benchmarks/capacity.json and benchmarks/hollow.json. Only
`load_results` and `write_page` access files; the rest are pure functions.

Each budget is listed with the first size at which the fitted value exceeds it. The list is sorted by that size as a
share of the design size, so the budget that is exceeded first comes first."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity import (
    CELL_MEMBERS,
    CELLS_PER_REGION,
    DESIGN,
    OUTAGES_S,
    PARTS,
    RESULTS_FILE,
    SINGLE_MEASUREMENTS,
    void_probability,
)
from benchmarks.capacity import load_results as load_file
from benchmarks.capacity_fit import first_above, value_at
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.policy.change import despite_silence_s

PAGE = RESULTS_FILE.parent.parent / "docs" / "CAPACITY.md"
HOLLOW_FILE = RESULTS_FILE.with_name("hollow.json")
BLOCK_PATTERN = re.compile(r"(<!-- capacity: (?P<name>[a-z ]+) -->\n).*?(<!-- end -->)", re.S)
TIERS_FILE = "`driftshed/coordination/hierarchy.py`"
TABLE_PARTS_FILE = "parts of a table (`driftshed/brain.py`)"
MINUTE_S, DAY_S = 60.0, 86400.0
AHEAD_S, PEAK_HOUR_RATIO = 0.5, 5  # the second: changes in the busiest hour / the mean
MAX_LEASE_PAUSE_S = 0.2  # the longest pause between check and action that a lease of 2 s allows
MAX_VOID_CHANCE = 0.05  # share of changes that may be aborted
DESPITE_AFTER_S, SESSION_TIMEOUT_S = (60.0, 5.0, 3.0), 2.0
OUTAGE_S = 30.0  # one of OUTAGES_S


class Limit(NamedTuple):
    """A budget. `key`: the row whose value, times `factor`, must not exceed `budget`; or `refusal:` and a key of the
    refusals; or `void`. `by`: a key of DESIGN. `provided_by`: the file that keeps the budget at the design size, or
    "missing"."""

    what: str
    key: str
    by: str
    budget: float
    unit: str
    provided_by: str
    factor: float = 1.0


class BudgetCheck(NamedTuple):
    """A budget with the first size that exceeds it; None where the design size is within the budget."""

    limit: Limit
    first: int | None
    at_design: float | None

    @property
    def design_share(self) -> float:
        """`first` as a share of the design size; infinity where the budget is kept."""
        return float("inf") if self.first is None else self.first / DESIGN[self.limit.by]


MAX_BYTES_PER_S, MAX_CORES, MAX_MEMORY_BYTES = DESIGN["bytes_a_second"], DESIGN["cores"], DESIGN["memory"]
LIMITS = (
    Limit("a record names all supervisors", "refusal:names", "supervisors", 64, "names", TIERS_FILE),
    Limit("a policy names all routes, as operations", "refusal:operations", "routes", 16, "operations", "missing"),
    Limit(
        "a policy's text fits into its record once settled", "document.document_bytes", "routes", 0, "bytes", "missing"
    ),
    Limit(
        "all servers' nodes are read by one session",
        "refusal:servers",
        "servers",
        4096,
        "requests",
        "`driftshed/roster/follow.py`",
    ),
    Limit(
        "a change that needs every word is void in at most 1 of 20",
        "void",
        "supervisors",
        MAX_VOID_CHANCE,
        "chance",
        "`driftshed/policy/change.py`, by a short `despite_after` alone: see below",
    ),
    Limit(
        "each says something of itself once a second",
        "chatter.chatter_bytes_a_second",
        "supervisors",
        MAX_BYTES_PER_S,
        "bytes/s",
        TIERS_FILE,
    ),
    Limit("reading these words", "roll.cores_of_words", "supervisors", MAX_CORES, "of a core", TIERS_FILE),
    Limit(
        "all join at once, over a minute",
        "joining.join_bytes",
        "supervisors",
        MAX_BYTES_PER_S,
        "bytes/s",
        TIERS_FILE,
        1 / MINUTE_S,
    ),
    Limit(
        "restarts of an ordinary day",
        "one.one_restart_bytes",
        "supervisors",
        MAX_BYTES_PER_S,
        "bytes/s",
        TIERS_FILE,
        DESIGN["restarts_a_day"] / DAY_S,
    ),
    Limit(
        "changes of an ordinary day, each by every word",
        "change.change_bytes",
        "supervisors",
        MAX_BYTES_PER_S,
        "bytes/s",
        TIERS_FILE,
        DESIGN["changes_a_day"] / DAY_S,
    ),
    Limit(
        "a change until all have read it, worst",
        "phases.read_worst",
        "supervisors",
        DESIGN["everywhere_within"],
        "s",
        TIERS_FILE,
    ),
    Limit(
        "in tiers, a change until all have read it, worst",
        "tier_regions.tier_read_worst",
        "regions",
        DESIGN["everywhere_within"],
        "s",
        TIERS_FILE,
    ),
    Limit(
        "in tiers, at rest, who speaks for a region",
        "tier_members.tier_rest_region",
        "members",
        MAX_BYTES_PER_S,
        "bytes/s",
        TIERS_FILE,
    ),
    Limit(
        "in tiers, changes of the fullest hour, who speaks for a region",
        "tier_members.tier_change_region",
        "changes_a_day",
        MAX_BYTES_PER_S,
        "bytes/s",
        "missing",
        PEAK_HOUR_RATIO / DAY_S,
    ),
    Limit(
        "in tiers, one topic's changes one after the other in the fullest hour",
        "tier_regions.tier_read_p50",
        "changes_a_day",
        1.0,
        "of the hour",
        "missing",
        PEAK_HOUR_RATIO / DAY_S,
    ),
    Limit("the roll of a flat fleet", "roll_memory.roll_memory", "supervisors", MAX_MEMORY_BYTES, "bytes", TIERS_FILE),
    Limit(
        "first list of all servers, over a minute",
        "listing.list_bytes",
        "servers",
        MAX_BYTES_PER_S,
        "bytes/s",
        "missing",
        1 / MINUTE_S,
    ),
    Limit(
        "replaced servers of an ordinary day",
        "listing.replaced_bytes",
        "servers",
        MAX_BYTES_PER_S,
        "bytes/s",
        "missing",
        DESIGN["restarts_a_day"] / DAY_S,
    ),
    Limit("the module at 350 proxies", "module_servers.cores", "servers", MAX_CORES, "of a core", "missing"),
    Limit(
        "the module's longest batch at 350 proxies",
        "module_servers.batch_ms",
        "servers",
        MAX_LEASE_PAUSE_S / 0.5,
        "of 0.5 s",
        "missing",
    ),
    Limit(
        "the module's memory at 350 proxies",
        "module_memory.module_memory",
        "servers",
        MAX_MEMORY_BYTES,
        "bytes",
        "`driftshed/brain.py`",
    ),
    Limit(
        "the module's memory at 400 servers",
        "module_held.module_memory",
        "proxies",
        MAX_MEMORY_BYTES,
        "bytes",
        "`driftshed/brain.py`",
    ),
    Limit(
        "the whole process at 64 proxies",
        "process_servers.process_cores",
        "servers",
        MAX_CORES,
        "of a core",
        "`driftshed/supervisor/service.py`",
    ),
    Limit(
        "the whole process's memory at 64 proxies",
        "process_servers.process_memory",
        "servers",
        MAX_MEMORY_BYTES,
        "bytes",
        "`driftshed/supervisor/service.py`",
    ),
    Limit(
        "the core, 64 proxies on one table of all servers",
        "core_servers.core_memory",
        "servers",
        MAX_MEMORY_BYTES,
        "bytes",
        TABLE_PARTS_FILE,
    ),
    Limit(
        "changes to 64 proxies, a server replaced each 4 s",
        "fan_servers.fan_bytes_a_second",
        "servers",
        MAX_BYTES_PER_S,
        "bytes/s",
        TABLE_PARTS_FILE,
    ),
    Limit(
        "changes to proxies, 118 servers",
        "fan_proxies.fan_bytes_a_second",
        "proxies",
        MAX_BYTES_PER_S,
        "bytes/s",
        "`driftshed/core/hub.py`, deltas",
    ),
)


def find_row(results: dict, key: str) -> dict | None:
    """The row with this key, or None."""
    return next((row for row in results["rows"] if row["key"] == key), None)


def value_at_size(row: dict, size: float) -> float:
    """The value of a row at `size`: the measured one if there is one, else the fitted one."""
    if size in row["sizes"]:
        return row["values"][row["sizes"].index(size)]
    return value_at(row["form"], row["coefficients"], size)


def _first_refused_size(results: dict, name: str) -> int | None:
    refused = results["refusals"][name]
    return refused["first"] if isinstance(refused, dict) else refused


def check_budget(results: dict, limit: Limit) -> BudgetCheck | None:
    """Compares a budget with the results; None where the results lack the measurement."""
    design_size = DESIGN[limit.by]
    if limit.key.startswith("refusal:"):
        if "refusals" not in results:
            return None
        first = _first_refused_size(results, limit.key.partition(":")[2])
        return BudgetCheck(limit, first if first is not None and first <= design_size else None, float(design_size))
    if limit.key == "void":
        first = next((n for n in range(1, design_size + 1) if void_probability(n, OUTAGE_S) > limit.budget), None)
        return BudgetCheck(limit, first, void_probability(design_size, OUTAGE_S))
    row = find_row(results, limit.key)
    if row is None:
        return None
    if limit.key == "document.document_bytes":
        if "refusals" not in results:
            return None
        limit = limit._replace(budget=results["refusals"]["text_refused_settled"] - 1)
    if limit.by == "changes_a_day":  # each change costs the same, at the design size of the row's own dimension
        each = value_at_size(row, DESIGN[row["by"]]) + (AHEAD_S if row["unit"] == "s" else 0.0)
        first = int(limit.budget / (each * limit.factor)) + 1
        return BudgetCheck(limit, first if first <= design_size else None, each * limit.factor * design_size)
    first = first_above(row["form"], row["coefficients"], limit.budget / limit.factor, design_size)
    return BudgetCheck(limit, first, value_at(row["form"], row["coefficients"], design_size) * limit.factor)


def sorted_budget_checks(results: dict) -> list[BudgetCheck]:
    """All budgets that the results cover, the one exceeded at the smallest share of the design first."""
    checks = [each for limit in LIMITS if (each := check_budget(results, limit)) is not None]
    return sorted(checks, key=lambda each: (each.design_share, each.limit.what))


# ---- text -----------------------------------------------------------------------------------------------------


def format_value(value: float | None, unit: str = "") -> str:
    """A value with three significant digits; bytes with a decimal prefix."""
    if value is None:
        return "-"
    if unit in ("bytes", "bytes/s"):
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "B")):
            if abs(value) >= size or size == 1.0:
                return f"{_three_digits(value / size)} {name}{unit[5:]}"
    return _three_digits(value)


def _three_digits(value: float) -> str:
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header: list[str], rows: list[list[str]]) -> str:
    """A Markdown table; each row has as many columns as the header."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(row)} |\n" for row in lines)


def budgets_block(results: dict) -> str:
    """The table of exceeded budgets, followed by those that are kept at the design size."""
    rows, within = [], []
    for each in sorted_budget_checks(results):
        limit = each.limit
        if each.first is None:
            within.append(
                f"{limit.what} ({format_value(each.at_design, limit.unit)} of {format_value(limit.budget, limit.unit)})"
            )
            continue
        first, share = f"{each.first:,} {limit.by.replace('_', ' ')}", f"{each.design_share:.2%}"
        at_design = (
            f"{DESIGN[limit.by]:,}" if limit.key.startswith("refusal:") else format_value(each.at_design, limit.unit)
        )
        rows.append(
            [
                limit.what,
                f"{format_value(limit.budget, limit.unit)}"
                + ("" if limit.unit.startswith("bytes") else f" {limit.unit}"),
                first,
                share,
                at_design,
                limit.provided_by,
            ]
        )
    return (
        markdown_table(
            ["what", "budget", "first above it at", "of the design", "at the design, as it is", "carried by"], rows
        )
        + f"\nWithin their budgets at the design's size: {'; '.join(within)}.\n"
    )


DUPLICATE_KEYS = ("one.one_word_bytes", "one.one_death_bytes")  # also measured by part `standing`; a test compares both


def role_table(results: dict, role: str) -> str:
    """One line for each measurement of a role; several values of one measurement have the same order in each column."""
    grouped: dict[tuple, list[list[str]]] = {}
    for row in results["rows"]:
        if row["role"] != role or row["kind"] in ("computed", "seconds") or row["key"].startswith("tier_"):
            continue  # these have separate tables
        if row["key"] in DUPLICATE_KEYS:
            continue
        sizes, unit = row["sizes"], row["unit"]
        low, high = row["spread"][-1]
        spread = f" ({_three_digits(low)} to {_three_digits(high)})"
        if unit.startswith("bytes"):
            spread = f" ({format_value(low, unit)} to {format_value(high, unit)})"
        if low == high:
            spread = "" if row["kind"] == "count" or row["rounds"] == 1 else spread
        key = row["what"], f"{row['by']}, {sizes[0]:,} to {sizes[-1]:,}", row["time"], row["key"].partition(".")[0]
        grouped.setdefault(key, []).append(
            [
                f"{_with_unit(row['values'][0], unit)}, {_with_unit(row['values'][-1], unit)}{spread}",
                row["form"],
                f"{row['held_out_error']:+.1%}",
                _with_unit(row["at_design"], unit) + measured_at_design(results, row["key"]),
            ]
        )
    rows = []
    for (what, by, time, part), found in grouped.items():
        columns = ["; ".join(column) for column in zip(*found, strict=True)]
        if len({each[1] for each in found}) == 1:
            columns[1] = found[0][1]
        rows.append([what, by, *columns, time, f"`{part}`"])
    return markdown_table(
        [
            "figure",
            "by",
            "at the least and largest size (spread there)",
            "grows as",
            "held out: off by",
            "at the design",
            "time",
            "part",
        ],
        rows,
    )


def _with_unit(value: float, unit: str) -> str:
    if unit.startswith("x"):
        return f"{_three_digits(value)}{unit}"
    return format_value(value, unit) if unit.startswith("bytes") else f"{_three_digits(value)} {unit}"


def cells_table(results: dict) -> str:
    """Budgets extrapolated to a hierarchical fleet. A member belongs to its cell's fleet; the delegate of a cell also
    belongs to its region's fleet, and the delegate of a region also to the root fleet."""
    rows = []
    for limit in LIMITS:
        row = find_row(results, limit.key)
        if limit.by != "supervisors" or row is None or limit.key.startswith("phases."):
            continue
        share = CELL_MEMBERS / DESIGN["supervisors"] if limit.key.startswith("one.") else 1.0  # its own cell's restarts
        member = value_at_size(row, CELL_MEMBERS) * limit.factor * share
        region = value_at_size(row, CELLS_PER_REGION) * limit.factor * share
        root = value_at_size(row, DESIGN["regions"]) * limit.factor * share
        unit = limit.unit
        rows.append(
            [
                limit.what,
                _with_unit(limit.budget, unit),
                *(_with_unit(each, unit) for each in (member, member + region, member + region + root)),
                f"{(member + region + root) / limit.budget:.1%}",
            ]
        )
    return markdown_table(
        [
            "what",
            "budget",
            f"one of {CELL_MEMBERS}",
            f"and of {CELLS_PER_REGION}: speaks for its cell",
            f"and of {DESIGN['regions']}: speaks for its region",
            "of the budget",
        ],
        rows,
    )


def tiers_table(results: dict) -> str:
    """Bytes that a supervisor of a hierarchical fleet reads and writes, by the size of each level."""
    rows = []
    labels = {"member": "a member", "cell": "who speaks for a cell", "region": "who speaks for a region"}
    figures = [
        (f"tier_{what}_{who}", f"{name}, {text}")
        for what, name in (("rest", "at rest"), ("change", "a change"))
        for who, text in labels.items()
    ]
    for key, what in [*figures, ("tier_watches", "the most watches of a session")]:
        cells = []
        for by in ("members", "cells", "regions"):
            row = find_row(results, f"tier_{by}.{key}")
            cells.append(
                "-"
                if row is None
                else f"{_with_unit(row['values'][0], row['unit'])}, "
                f"{_with_unit(row['values'][-1], row['unit'])} ({row['form']}, {row['held_out_error']:+.1%})"
            )
        rows.append([what, *cells])
    header = []
    for by in ("members", "cells", "regions"):
        row = find_row(results, f"tier_{by}.tier_rest_member")
        header.append("-" if row is None else f"by {by}, {row['sizes'][0]} to {row['sizes'][-1]}")
    return markdown_table(["time-out 2 s", *header], rows)


def measured_at_design(results: dict, key: str) -> str:
    """A parenthesis with the value measured at the design size, or an empty string."""
    for each in results.get("checked", {"rows": []})["rows"]:
        if each["key"] == key:
            return f" (measured: {_with_unit(each['value'], each['unit'])})"
    return ""


def voids_block(results: dict) -> str:
    """The chance of aborted changes by fleet size, and the time of a change after a death."""
    rows = [row for row in results["rows"] if row["key"].startswith("void.")]
    sizes = rows[0]["sizes"]
    text = markdown_table(
        ["away at each restart", *(f"{size:,}" for size in sizes)],
        [
            [f"{outage:g} s", *(f"{value:.1%}" for value in row["values"])]
            for outage, row in zip(OUTAGES_S, rows, strict=True)
        ],
    )
    tier = find_row(results, "tier_regions.tier_read_worst")
    if tier is None:
        return text
    until_read = SESSION_TIMEOUT_S * (1 + MAX_CLOCK_DRIFT) + value_at_size(tier, DESIGN["regions"]) + AHEAD_S
    restarting = DESIGN["restarts_a_day"] * OUTAGE_S / DAY_S
    totals = "; ".join(
        f"{despite:g} s: {until_read + despite_silence_s(despite, MAX_CLOCK_DRIFT):.1f} s"
        for despite in DESPITE_AFTER_S
    )
    return text + (
        f"\n**Tiers alone do not mend this.** A change in tiers still waits for the word of each of 5,200 that has not "
        f"been silent for `despite_after` (60 s unless given); at {OUTAGE_S:g} s a restart, {restarting:.1f} are away "
        f"at any moment. From a proposal to everywhere where somebody has just died, by `despite_after` (computed: a "
        f"time-out of {SESSION_TIMEOUT_S:g} s, the wait, the worst change in tiers, {AHEAD_S:g} s ahead): {totals}. "
        "The patience must be as long.\n"
    )


def day_table(results: dict) -> str:
    """Bytes/s of a supervisor on an ordinary day, flat and in a cell; computed from rows and the rates in DESIGN."""
    rows = []
    fleet_size, restarts = DESIGN["supervisors"], DESIGN["restarts_a_day"]
    for what, key, a_day in (
        ("at rest (time-out 2 s); in tiers with beats", "standing.rest_bytes_a_second", None),
        ("restarts of others", "one.one_restart_bytes", restarts),
        ("changes of policy", "change.change_bytes", DESIGN["changes_a_day"]),
        ("a word of each other each minute", "one.one_word_bytes", "words"),
    ):
        row = find_row(results, key)
        if row is None:
            continue
        cells = []
        for size in (fleet_size, CELL_MEMBERS):
            value = value_at_size(row, size)
            tier = find_row(results, "tier_members.tier_rest_member")
            if a_day is None and size == CELL_MEMBERS and tier is not None:
                value = value_at_size(tier, CELL_MEMBERS)
            tier_change = find_row(results, "tier_members.tier_change_member")
            if key.startswith("change.") and size == CELL_MEMBERS and tier_change is not None:
                value = value_at_size(tier_change, CELL_MEMBERS)
            if a_day == "words":
                value *= (size - 1) / 60
            elif a_day is not None:
                value *= a_day / DAY_S * (size / fleet_size if key.startswith("one.") else 1)
            cells.append(format_value(value, "bytes/s"))
        rows.append([what, *cells, f"`{key.partition('.')[0]}`, {row['form']}"])
    return markdown_table(["of one supervisor", "flat, 5,200", f"in a cell of {CELL_MEMBERS}", "slope"], rows)


def bursts_table(results: dict) -> str:
    """The cost of simultaneous failures and restarts; empty without a run."""
    if "bursts" not in results:
        return ""
    rows = []
    for each in results["bursts"]["rows"]:
        kinds = [what for what in ("lost", "back") if f"{what}_seconds" in each]
        columns = [f"{each['lost']} of {each['of']} {'die; ' if len(kinds) == 2 else ''}come back at once"]
        for key, unit in (
            ("seconds", "s"),
            ("survivor_bytes", "bytes"),
            ("each_peak", "bytes/s"),
            ("store_peak", "bytes/s"),
            ("store_bytes", "bytes"),
        ):
            columns.append(
                "-"
                if key == "survivor_bytes" and each["lost"] == each["of"]
                else "; ".join(_with_unit(each[f"{what}_{key}"], unit) for what in kinds)
            )
        rows.append(columns)
    return markdown_table(
        [
            "what",
            "until all know",
            "each other one reads and writes",
            "the fullest second of one",
            "of the store",
            "of the store in all",
        ],
        rows,
    )


def phases_block(results: dict) -> str:
    """Durations of a change by phase, flat and hierarchical; empty without a run."""
    rows = []
    for what, label in (
        ("open", "the record stands"),
        ("words", "all words do"),
        ("settled", "it is settled"),
        ("read", "all have read so"),
    ):
        p50, worst = find_row(results, f"phases.{what}_p50"), find_row(results, f"phases.{what}_worst")
        if p50 is not None and worst is not None:
            rows.append([label, *(f"{a:.3f}, {b:.3f}" for a, b in zip(p50["values"], worst["values"], strict=True))])
    row = find_row(results, "phases.read_p50")
    if row is None:
        return ""
    text = markdown_table(["seconds from the proposal until", *(f"{n} supervisors" for n in row["sizes"])], rows)
    rows = []
    for by in ("members", "cells", "regions"):
        p50, worst = find_row(results, f"tier_{by}.tier_read_p50"), find_row(results, f"tier_{by}.tier_read_worst")
        if p50 is not None:
            rows.append(
                [
                    p50["what"].partition("(")[2].rstrip(")") + f", by {by}: {', '.join(map(str, p50['sizes']))}",
                    ", ".join(f"{value:.2f}" for value in p50["values"]),
                    ", ".join(f"{value:.2f}" for value in worst["values"]),
                ]
            )
    text += "\nIn tiers, all having read that it is settled:\n\n" + markdown_table(
        ["fleet", "p50, s", "worst, s"], rows
    )
    tier = find_row(results, "tier_regions.tier_read_p50")
    if tier is not None:
        shares = []
        for what, seconds in (
            ("flat, 64 supervisors", value_at_size(row, 64)),
            ("in tiers, 9 regions", value_at_size(tier, 9)),
        ):
            share = (seconds + AHEAD_S) * DESIGN["changes_a_day"] / DAY_S
            shares.append(
                f"{what}, {seconds:.2f} s: {share:.0%} of the day, {PEAK_HOUR_RATIO * share:.0%} of the fullest hour"
            )
        text += (
            f"\nOne topic takes one change after the other. {DESIGN['changes_a_day']:,} a day, {AHEAD_S:g} s ahead, "
            f"the fullest hour with {PEAK_HOUR_RATIO} times the mean (assumed), computed: {'; '.join(shares)}.\n"
        )
    return text


def hollow_table(results: dict) -> str:
    """The newest row of each kind and size of the hollow supervisor runs (`benchmarks/hollow.py`)."""
    newest = {(row["kind"], row["size"]): row for row in results.get("hollow", [])}
    if not newest:
        return "Not run yet: `benchmarks/hollow.json` is not there.\n"
    rows = []
    for (kind, size), row in sorted(newest.items()):
        joining, rest, changes = row.get("joining") or {}, row.get("rest") or {}, row.get("summary") or {}
        all_traffic, core_share = rest.get("all") or {}, (rest.get("processes") or {}).get("core_share_each_supervisor")
        first_changes = [each for each in row.get("first_change") or [] if each.get("settled")]
        everywhere_after = changes.get("worst_s") or {}
        rows.append(
            [
                f"{kind}, {size:,}, time-out {row['timeout']:g} s",
                f"{_get(joining.get('ready_after_s'), 'worst')} s",
                format_value(_get(joining.get("bytes_of_all_joining"), "p50", None), "bytes"),
                f"{format_value(_get(all_traffic.get('bytes_a_second'), 'p50', None), 'bytes/s')}, "
                f"{format_value(_get(all_traffic.get('bytes_a_second'), 'worst', None), 'bytes/s')}",
                "-"
                if core_share is None
                else f"{core_share:.2%}"
                if isinstance(core_share, float)
                else str(core_share),
                f"{changes.get('settled', len(first_changes))} of "
                f"{changes.get('changes', len(row.get('first_change') or []))}",
                "-" if not everywhere_after else f"{_get(everywhere_after, 'p50')}, {_get(everywhere_after, 'worst')}",
                row.get("partial", "") or "-",
            ]
        )
    return markdown_table(
        [
            "supervisors",
            "all ready, worst",
            "joining, each",
            "at rest, p50, worst",
            "of a core, each",
            "changes settled",
            "until everywhere: p50, worst of them",
            "partial",
        ],
        rows,
    )


def _get(values: dict | None, name: str, default: object = "-") -> object:
    return (values or {}).get(name, default)


class Ensemble(NamedTuple):
    """A type of store ensemble in the reference deployment."""

    name: str
    count: int  # ensembles of this type
    cells: int  # per ensemble
    regions: int  # per ensemble
    root_fleets: int  # per ensemble


ENSEMBLES = (
    Ensemble("a region of three zones and its neighbour of two", 3, 2 * CELLS_PER_REGION, 2, 0),
    Ensemble("a region of three zones", 3, CELLS_PER_REGION, 1, 0),
    Ensemble("the whole, in three regions", 1, 0, 0, 1),
)


def session_count(ensemble: Ensemble) -> int:
    """Sessions at one ensemble: one for each member of a cell, a second one for each delegate of a cell, and a third
    one for each delegate of a region."""
    return ensemble.cells * (CELL_MEMBERS + 1) + ensemble.root_fleets * DESIGN["regions"]


def machines_block(results: dict) -> str:
    """Sessions and traffic of each type of store ensemble; empty without the rows it needs."""
    join_row = find_row(results, "joining.store_join_bytes")
    member, cell, region = (find_row(results, f"tier_members.tier_rest_{who}") for who in ("member", "cell", "region"))
    if join_row is None or member is None:
        return ""
    member, cell, region = (value_at_size(row, CELL_MEMBERS) for row in (member, cell, region))
    rows = []
    for ensemble in ENSEMBLES:
        rest_bytes = ensemble.cells * (CELL_MEMBERS * member + cell - member) + ensemble.root_fleets * DESIGN[
            "regions"
        ] * (region - cell)
        join_bytes = (
            ensemble.cells * value_at_size(join_row, CELL_MEMBERS)
            + ensemble.regions * value_at_size(join_row, CELLS_PER_REGION)
            + ensemble.root_fleets * value_at_size(join_row, DESIGN["regions"])
        )
        count = session_count(ensemble)
        rest_per_machine = f"{format_value(rest_bytes / 3, 'bytes/s')}, {format_value(rest_bytes / 2, 'bytes/s')}"
        rows.append(
            [
                f"{ensemble.name} ({ensemble.count}, of 3 machines each)",
                f"{count:,}",
                f"{count / 3:,.0f}, {count / 2:,.0f}",
                format_value(rest_bytes, "bytes/s"),
                rest_per_machine,
                format_value(join_bytes, "bytes"),
            ]
        )
    ensembles = sum(ensemble.count for ensemble in ENSEMBLES if ensemble.cells)
    servers, ping_row = DESIGN["servers"] / ensembles, find_row(results, "standing.rest_bytes_a_second")
    text = ""
    if ping_row is not None:
        text = (
            f"\nWhere the servers' own nodes lie on the same six (assumed even; computed): {servers:,.0f} sessions "
            f"more on each, {servers / 3:,.0f} a machine, "
            f"{format_value(servers * value_at_size(ping_row, 8), 'bytes/s')} at rest.\n"
        )
    return (
        markdown_table(
            [
                "ensemble",
                "sessions",
                "a machine; with one gone",
                "bytes at rest (time-out 2 s)",
                "a machine; with one gone",
                "all of them join at once",
            ],
            rows,
        )
        + text
    )


def refusals_block(results: dict) -> str:
    """The list of sizes that are refused."""
    if "refusals" not in results:
        return ""
    refused, lines = results["refusals"], []
    members_run = refused["members"]["runs"][-1]
    servers_run = refused["servers"]["runs"][-1]
    lines.append(f"- {refused['names']} names in a record: refused (`coordination/agreement.py`).\n")
    lines.append(f"- {refused['operations']} operations in a policy, or at a supervisor: refused.\n")
    lines.append(
        f"- A policy's text of {refused['text_refused_open']:,} bytes: its record is refused. From "
        f"{refused['text_refused_settled']:,} bytes on (64 names) it is refused when it is proposed: a settled "
        "record holds it twice. A policy may have 32,768.\n"
    )
    lines.append(
        f"- One that joins {members_run['size']:,} reads {members_run['knows']:,} names, 4,096 at a time (`roster/"
        f"session.py`), and {'holds' if members_run['holds'] else 'never holds'} a lease.\n"
    )
    first, smallest = refused["servers"]["first"], min(refused["servers"]["runs"], key=lambda run: run["size"])
    if first is None:
        lines.append(
            f"- Lists of {smallest['size']:,} and {servers_run['size']:,} servers' nodes are read to their ends, "
            f"{format_value(servers_run['list_bytes'], 'bytes')} the latter.\n"
        )
    else:
        lines.append(
            f"- A list of {first:,} servers' nodes or more is told as whole and is not: at "
            f"{servers_run['size']:,} it has {servers_run['list_knows']:,}.\n"
        )
    return "".join(lines)


def not_run_block(results: dict) -> str:
    """The names of the parts without results."""
    measured = {row["key"].partition(".")[0] for row in results["rows"]} | set(results)
    missing = [f"`{name}`" for name in [*PARTS, *SINGLE_MEASUREMENTS] if name not in measured and name != "voids"]
    return f"Parts that have not been run: {', '.join(missing) or 'none'}.\n"


BLOCKS = {
    "missing first": budgets_block,
    "refusals": refusals_block,
    "cells": cells_table,
    "in tiers": tiers_table,
    "voids": voids_block,
    "day": day_table,
    "bursts": bursts_table,
    "sockets": hollow_table,
    "phases": phases_block,
    "machines": machines_block,
    "not run": not_run_block,
    **{
        role: (lambda results, role=role: role_table(results, role))
        for role in ("supervisor", "store", "proxy", "command line")
    },
}


def fill_blocks(page: str, results: dict) -> str:
    """The page with each marked block regenerated from the results. Raises KeyError for an unknown block."""
    return BLOCK_PATTERN.sub(lambda match: match[1] + BLOCKS[match["name"]](results) + match[3], page)


def load_results() -> dict:
    """The results of both JSON files; rows of hollow.json under "hollow"."""
    rows = json.loads(HOLLOW_FILE.read_text())["rows"] if HOLLOW_FILE.exists() else []
    return load_file() | {"hollow": rows}


def write_page(path: Path = PAGE) -> None:
    """Regenerates the marked blocks of the page in place."""
    path.write_text(fill_blocks(path.read_text(), load_results()))
