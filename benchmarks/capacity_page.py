"""The tables of docs/CAPACITY.md, from benchmarks/capacity.json alone. Pure but for `write`.

A budget is told with the first size at which the fitted figure is above it; the list of these, sorted by the share of
the design's size that is reached, says what is missing first."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity import CELL, CELLS_A_REGION, DESIGN, FILE, OUTAGES, PARTS, SINGLES, void
from benchmarks.capacity import load as load_file
from benchmarks.capacity_fit import first_above, value_at
from driftshed.coordination.lease import DRIFT
from driftshed.policy.change import waited_out

PAGE = FILE.parent.parent / "docs" / "CAPACITY.md"
HOLLOW = FILE.with_name("hollow.json")
MARK = re.compile(r"(<!-- capacity: (?P<name>[a-z ]+) -->\n).*?(<!-- end -->)", re.S)
TIERS = "`driftshed/coordination/tiers.py`"
PARTS_OF_TABLE = "parts of a table (`driftshed/brain.py`)"
A_MINUTE, A_DAY = 60.0, 86400.0
AHEAD, PEAK = 0.5, 5  # seconds; the fullest hour's changes to the mean: assumed
LEASE_PAUSE = 0.2  # seconds: the longest pause between question and act that a lease of 2 s allows
VOID_MOST = 0.05  # of changes: assumed
DESPITES, SESSION = (60.0, 5.0, 3.0), 2.0  # seconds
OUTAGE = 30.0  # seconds, of OUTAGES


class Limit(NamedTuple):
    """A budget. `key`: the row whose figure, times `factor`, must stay at `budget` or under; or a refusal's name."""

    what: str
    key: str
    by: str
    budget: float
    unit: str
    carries: str
    factor: float = 1.0


class Reached(NamedTuple):
    """A budget with the first size above it, None where the design's size is within."""

    limit: Limit
    first: int | None
    at_design: float | None

    @property
    def part(self) -> float:
        """Of the size that is designed for."""
        return float("inf") if self.first is None else self.first / DESIGN[self.limit.by]


NETWORK, CORES, MEMORY = DESIGN["bytes_a_second"], DESIGN["cores"], DESIGN["memory"]
LIMITS = (
    Limit("a record names all supervisors", "refusal:names", "supervisors", 64, "names", TIERS),
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
        VOID_MOST,
        "chance",
        "`driftshed/policy/change.py`, by a short `despite_after` alone: see below",
    ),
    Limit(
        "each says something of itself once a second",
        "chatter.chatter_bytes_a_second",
        "supervisors",
        NETWORK,
        "bytes/s",
        TIERS,
    ),
    Limit("reading these words", "roll.cores_of_words", "supervisors", CORES, "of a core", TIERS),
    Limit(
        "all join at once, over a minute", "joining.join_bytes", "supervisors", NETWORK, "bytes/s", TIERS, 1 / A_MINUTE
    ),
    Limit(
        "restarts of an ordinary day",
        "one.one_restart_bytes",
        "supervisors",
        NETWORK,
        "bytes/s",
        TIERS,
        DESIGN["restarts_a_day"] / A_DAY,
    ),
    Limit(
        "changes of an ordinary day, each by every word",
        "change.change_bytes",
        "supervisors",
        NETWORK,
        "bytes/s",
        TIERS,
        DESIGN["changes_a_day"] / A_DAY,
    ),
    Limit(
        "a change until all have read it, worst",
        "phases.read_worst",
        "supervisors",
        DESIGN["everywhere_within"],
        "s",
        TIERS,
    ),
    Limit(
        "in tiers, a change until all have read it, worst",
        "tier_regions.tier_read_worst",
        "regions",
        DESIGN["everywhere_within"],
        "s",
        TIERS,
    ),
    Limit(
        "in tiers, at rest, who speaks for a region",
        "tier_members.tier_rest_region",
        "members",
        NETWORK,
        "bytes/s",
        TIERS,
    ),
    Limit(
        "in tiers, changes of the fullest hour, who speaks for a region",
        "tier_members.tier_change_region",
        "changes_a_day",
        NETWORK,
        "bytes/s",
        "missing",
        PEAK / A_DAY,
    ),
    Limit(
        "in tiers, one topic's changes one after the other in the fullest hour",
        "tier_regions.tier_read_p50",
        "changes_a_day",
        1.0,
        "of the hour",
        "missing",
        PEAK / A_DAY,
    ),
    Limit("the roll of a flat fleet", "roll_memory.roll_memory", "supervisors", MEMORY, "bytes", TIERS),
    Limit(
        "first list of all servers, over a minute",
        "listing.list_bytes",
        "servers",
        NETWORK,
        "bytes/s",
        "missing",
        1 / A_MINUTE,
    ),
    Limit(
        "replaced servers of an ordinary day",
        "listing.replaced_bytes",
        "servers",
        NETWORK,
        "bytes/s",
        "missing",
        DESIGN["restarts_a_day"] / A_DAY,
    ),
    Limit("the module at 350 proxies", "module_servers.cores", "servers", CORES, "of a core", "missing"),
    Limit(
        "the module's longest batch at 350 proxies",
        "module_servers.batch_ms",
        "servers",
        LEASE_PAUSE / 0.5,
        "of 0.5 s",
        "missing",
    ),
    Limit(
        "the module's memory at 350 proxies",
        "module_memory.module_memory",
        "servers",
        MEMORY,
        "bytes",
        "`driftshed/brain.py`",
    ),
    Limit(
        "the module's memory at 400 servers",
        "module_held.module_memory",
        "proxies",
        MEMORY,
        "bytes",
        "`driftshed/brain.py`",
    ),
    Limit(
        "the whole process at 64 proxies",
        "process_servers.process_cores",
        "servers",
        CORES,
        "of a core",
        "`driftshed/supervisor/service.py`",
    ),
    Limit(
        "the whole process's memory at 64 proxies",
        "process_servers.process_memory",
        "servers",
        MEMORY,
        "bytes",
        "`driftshed/supervisor/service.py`",
    ),
    Limit(
        "the core, 64 proxies on one table of all servers",
        "core_servers.core_memory",
        "servers",
        MEMORY,
        "bytes",
        PARTS_OF_TABLE,
    ),
    Limit(
        "changes to 64 proxies, a server replaced each 4 s",
        "fan_servers.fan_bytes_a_second",
        "servers",
        NETWORK,
        "bytes/s",
        PARTS_OF_TABLE,
    ),
    Limit(
        "changes to proxies, 118 servers",
        "fan_proxies.fan_bytes_a_second",
        "proxies",
        NETWORK,
        "bytes/s",
        "`driftshed/core/hub.py`, deltas",
    ),
)


def row_of(results: dict, key: str) -> dict | None:
    return next((row for row in results["rows"] if row["key"] == key), None)


def at(row: dict, size: float) -> float:
    """The figure at a size: as measured where it was, else by the fit."""
    if size in row["sizes"]:
        return row["values"][row["sizes"].index(size)]
    return value_at(row["form"], row["coefficients"], size)


def _refused(results: dict, name: str) -> int | None:
    found = results["refusals"][name]
    return found["first"] if isinstance(found, dict) else found


def reached(results: dict, limit: Limit) -> Reached | None:
    """None where the file has no run that could tell."""
    most = DESIGN[limit.by]
    if limit.key.startswith("refusal:"):
        if "refusals" not in results:
            return None
        first = _refused(results, limit.key.partition(":")[2])
        return Reached(limit, first if first is not None and first <= most else None, float(most))
    if limit.key == "void":
        first = next((n for n in range(1, most + 1) if void(n, OUTAGE) > limit.budget), None)
        return Reached(limit, first, void(most, OUTAGE))
    row = row_of(results, limit.key)
    if row is None:
        return None
    if limit.key == "document.document_bytes":
        if "refusals" not in results:
            return None
        limit = limit._replace(budget=results["refusals"]["text_refused_settled"] - 1)
    if limit.by == "changes_a_day":  # each costs the same: at the tiers' own sizes
        each = at(row, DESIGN[row["by"]]) + (AHEAD if row["unit"] == "s" else 0.0)
        first = int(limit.budget / (each * limit.factor)) + 1
        return Reached(limit, first if first <= most else None, each * limit.factor * most)
    first = first_above(row["form"], row["coefficients"], limit.budget / limit.factor, most)
    return Reached(limit, first, value_at(row["form"], row["coefficients"], most) * limit.factor)


def first_exceeded(results: dict) -> list[Reached]:
    """All budgets that the file's runs can tell of, what is missing first in front."""
    found = [each for limit in LIMITS if (each := reached(results, limit)) is not None]
    return sorted(found, key=lambda each: (each.part, each.limit.what))


# ---- text -----------------------------------------------------------------------------------------------------


def short(value: float | None, unit: str = "") -> str:
    """A figure with three digits and its unit."""
    if value is None:
        return "-"
    if unit in ("bytes", "bytes/s"):
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "B")):
            if abs(value) >= size or size == 1.0:
                return f"{_digits(value / size)} {name}{unit[5:]}"
    return _digits(value)


def _digits(value: float) -> str:
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(row)} |\n" for row in lines)


def missing_first(results: dict) -> str:
    rows, within = [], []
    for each in first_exceeded(results):
        limit = each.limit
        if each.first is None:
            within.append(f"{limit.what} ({short(each.at_design, limit.unit)} of {short(limit.budget, limit.unit)})")
            continue
        first, of = f"{each.first:,} {limit.by.replace('_', ' ')}", f"{each.part:.2%}"
        at_design = f"{DESIGN[limit.by]:,}" if limit.key.startswith("refusal:") else short(each.at_design, limit.unit)
        rows.append(
            [
                limit.what,
                f"{short(limit.budget, limit.unit)}" + ("" if limit.unit.startswith("bytes") else f" {limit.unit}"),
                first,
                of,
                at_design,
                limit.carries,
            ]
        )
    return (
        table(["what", "budget", "first above it at", "of the design", "at the design, as it is", "carried by"], rows)
        + f"\nWithin their budgets at the design's size: {'; '.join(within)}.\n"
    )


BESIDE = ("one.one_word_bytes", "one.one_death_bytes")  # told by `standing` as well, and a test holds them together


def role_table(results: dict, role: str) -> str:
    """A line for each thing that is measured; where it has several figures they stand in one order in each column."""
    grouped: dict[tuple, list[list[str]]] = {}
    for row in results["rows"]:
        if row["role"] != role or row["kind"] in ("computed", "seconds") or row["key"].startswith("tier_"):
            continue  # these have tables of their own
        if row["key"] in BESIDE:
            continue
        sizes, unit = row["sizes"], row["unit"]
        low, high = row["spread"][-1]
        spread = f" ({_digits(low)} to {_digits(high)})"
        if unit.startswith("bytes"):
            spread = f" ({short(low, unit)} to {short(high, unit)})"
        if low == high:
            spread = "" if row["kind"] == "count" or row["rounds"] == 1 else spread
        key = row["what"], f"{row['by']}, {sizes[0]:,} to {sizes[-1]:,}", row["time"], row["key"].partition(".")[0]
        grouped.setdefault(key, []).append(
            [
                f"{_short(row['values'][0], unit)}, {_short(row['values'][-1], unit)}{spread}",
                row["form"],
                f"{row['held_out_error']:+.1%}",
                _short(row["at_design"], unit) + checked(results, row["key"]),
            ]
        )
    rows = []
    for (what, by, time, part), found in grouped.items():
        columns = ["; ".join(column) for column in zip(*found, strict=True)]
        if len({each[1] for each in found}) == 1:
            columns[1] = found[0][1]
        rows.append([what, by, *columns, time, f"`{part}`"])
    return table(
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


def _short(value: float, unit: str) -> str:
    if unit.startswith("x"):
        return f"{_digits(value)}{unit}"
    return short(value, unit) if unit.startswith("bytes") else f"{_digits(value)} {unit}"


def cells(results: dict) -> str:
    """What the slopes make of a fleet in tiers: a member is one of a cell, whoever speaks for the cell is one of its
    region's fleet besides, and whoever speaks for the region one of the whole's, too."""
    rows = []
    for limit in LIMITS:
        row = row_of(results, limit.key)
        if limit.by != "supervisors" or row is None or limit.key.startswith("phases."):
            continue
        share = CELL / DESIGN["supervisors"] if limit.key.startswith("one.") else 1.0  # restarts within the cell alone
        member = at(row, CELL) * limit.factor * share
        region = at(row, CELLS_A_REGION) * limit.factor * share
        whole = at(row, DESIGN["regions"]) * limit.factor * share
        unit = limit.unit
        rows.append(
            [
                limit.what,
                _short(limit.budget, unit),
                *(_short(each, unit) for each in (member, member + region, member + region + whole)),
                f"{(member + region + whole) / limit.budget:.1%}",
            ]
        )
    return table(
        [
            "what",
            "budget",
            f"one of {CELL}",
            f"and of {CELLS_A_REGION}: speaks for its cell",
            f"and of {DESIGN['regions']}: speaks for its region",
            "of the budget",
        ],
        rows,
    )


def in_tiers(results: dict) -> str:
    """What a supervisor of a fleet in tiers reads and writes at rest, by the size of each tier."""
    rows = []
    told = {"member": "a member", "cell": "who speaks for a cell", "region": "who speaks for a region"}
    figures = [
        (f"tier_{what}_{who}", f"{name}, {text}")
        for what, name in (("rest", "at rest"), ("change", "a change"))
        for who, text in told.items()
    ]
    for key, what in [*figures, ("tier_watches", "the most watches of a session")]:
        cells = []
        for by in ("members", "cells", "regions"):
            row = row_of(results, f"tier_{by}.{key}")
            cells.append(
                "-"
                if row is None
                else f"{_short(row['values'][0], row['unit'])}, "
                f"{_short(row['values'][-1], row['unit'])} ({row['form']}, {row['held_out_error']:+.1%})"
            )
        rows.append([what, *cells])
    head = []
    for by in ("members", "cells", "regions"):
        row = row_of(results, f"tier_{by}.tier_rest_member")
        head.append("-" if row is None else f"by {by}, {row['sizes'][0]} to {row['sizes'][-1]}")
    return table(["time-out 2 s", *head], rows)


def checked(results: dict, key: str) -> str:
    """ " (as measured at the design's own size)", where it was."""
    for each in results.get("checked", {"rows": []})["rows"]:
        if each["key"] == key:
            return f" (measured: {_short(each['value'], each['unit'])})"
    return ""


def voids(results: dict) -> str:
    rows = [row for row in results["rows"] if row["key"].startswith("void.")]
    sizes = rows[0]["sizes"]
    text = table(
        ["away at each restart", *(f"{size:,}" for size in sizes)],
        [
            [f"{outage:g} s", *(f"{value:.1%}" for value in row["values"])]
            for outage, row in zip(OUTAGES, rows, strict=True)
        ],
    )
    tier = row_of(results, "tier_regions.tier_read_worst")
    if tier is None:
        return text
    rest = SESSION * (1 + DRIFT) + at(tier, DESIGN["regions"]) + AHEAD
    away = DESIGN["restarts_a_day"] * OUTAGE / A_DAY
    said = "; ".join(f"{despite:g} s: {rest + waited_out(despite, DRIFT):.1f} s" for despite in DESPITES)
    return text + (
        f"\n**Tiers alone do not mend this.** A change in tiers still waits for the word of each of 5,200 that has not "
        f"been silent for `despite_after` (60 s unless given); at {OUTAGE:g} s a restart, {away:.1f} are away at any "
        f"moment. From a proposal to everywhere where somebody has just died, by `despite_after` (computed: a time-out "
        f"of {SESSION:g} s, the wait, the worst change in tiers, {AHEAD:g} s ahead): {said}. The patience must be as "
        "long.\n"
    )


def day(results: dict) -> str:
    """Bytes a second of a supervisor on an ordinary day, flat and in a cell; computed from slopes and told rates."""
    rows = []
    whole, restarts = DESIGN["supervisors"], DESIGN["restarts_a_day"]
    for what, key, a_day in (
        ("at rest (time-out 2 s); in tiers with beats", "standing.rest_bytes_a_second", None),
        ("restarts of others", "one.one_restart_bytes", restarts),
        ("changes of policy", "change.change_bytes", DESIGN["changes_a_day"]),
        ("a word of each other each minute", "one.one_word_bytes", "words"),
    ):
        row = row_of(results, key)
        if row is None:
            continue
        cells = []
        for size in (whole, CELL):
            value = at(row, size)
            tier = row_of(results, "tier_members.tier_rest_member")
            if a_day is None and size == CELL and tier is not None:
                value = at(tier, CELL)
            changed = row_of(results, "tier_members.tier_change_member")
            if key.startswith("change.") and size == CELL and changed is not None:
                value = at(changed, CELL)
            if a_day == "words":
                value *= (size - 1) / 60
            elif a_day is not None:
                value *= a_day / A_DAY * (size / whole if key.startswith("one.") else 1)
            cells.append(short(value, "bytes/s"))
        rows.append([what, *cells, f"`{key.partition('.')[0]}`, {row['form']}"])
    return table(["of one supervisor", "flat, 5,200", f"in a cell of {CELL}", "slope"], rows)


def bursts(results: dict) -> str:
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
                else "; ".join(_short(each[f"{what}_{key}"], unit) for what in kinds)
            )
        rows.append(columns)
    return table(
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


def phases(results: dict) -> str:
    rows = []
    for what, told in (
        ("open", "the record stands"),
        ("words", "all words do"),
        ("settled", "it is settled"),
        ("read", "all have read so"),
    ):
        p50, worst = row_of(results, f"phases.{what}_p50"), row_of(results, f"phases.{what}_worst")
        if p50 is not None and worst is not None:
            rows.append([told, *(f"{a:.3f}, {b:.3f}" for a, b in zip(p50["values"], worst["values"], strict=True))])
    row = row_of(results, "phases.read_p50")
    if row is None:
        return ""
    text = table(["seconds from the proposal until", *(f"{n} supervisors" for n in row["sizes"])], rows)
    rows = []
    for by in ("members", "cells", "regions"):
        p50, worst = row_of(results, f"tier_{by}.tier_read_p50"), row_of(results, f"tier_{by}.tier_read_worst")
        if p50 is not None:
            rows.append(
                [
                    p50["what"].partition("(")[2].rstrip(")") + f", by {by}: {', '.join(map(str, p50['sizes']))}",
                    ", ".join(f"{value:.2f}" for value in p50["values"]),
                    ", ".join(f"{value:.2f}" for value in worst["values"]),
                ]
            )
    text += "\nIn tiers, all having read that it is settled:\n\n" + table(["fleet", "p50, s", "worst, s"], rows)
    tier = row_of(results, "tier_regions.tier_read_p50")
    if tier is not None:
        said = []
        for what, seconds in (("flat, 64 supervisors", at(row, 64)), ("in tiers, 9 regions", at(tier, 9))):
            share = (seconds + AHEAD) * DESIGN["changes_a_day"] / A_DAY
            said.append(f"{what}, {seconds:.2f} s: {share:.0%} of the day, {PEAK * share:.0%} of the fullest hour")
        text += (
            f"\nOne topic takes one change after the other. {DESIGN['changes_a_day']:,} a day, {AHEAD:g} s ahead, "
            f"the fullest hour with {PEAK} times the mean (assumed), computed: {'; '.join(said)}.\n"
        )
    return text


def sockets(results: dict) -> str:
    """Hollow supervisors in many processes: the newest row of each kind and size (`benchmarks/hollow.py`)."""
    newest = {(row["kind"], row["size"]): row for row in results.get("hollow", [])}
    if not newest:
        return "Not run yet: `benchmarks/hollow.json` is not there.\n"
    rows = []
    for (kind, size), row in sorted(newest.items()):
        joining, rest, changes = row.get("joining") or {}, row.get("rest") or {}, row.get("summary") or {}
        of_all, core = rest.get("all") or {}, (rest.get("processes") or {}).get("core_share_each_supervisor")
        first = [each for each in row.get("first_change") or [] if each.get("settled")]
        after = changes.get("worst_s") or {}
        rows.append(
            [
                f"{kind}, {size:,}, time-out {row['timeout']:g} s",
                f"{_pick(joining.get('ready_after_s'), 'worst')} s",
                short(_pick(joining.get("bytes_of_all_joining"), "p50", None), "bytes"),
                f"{short(_pick(of_all.get('bytes_a_second'), 'p50', None), 'bytes/s')}, "
                f"{short(_pick(of_all.get('bytes_a_second'), 'worst', None), 'bytes/s')}",
                "-" if core is None else f"{core:.2%}" if isinstance(core, float) else str(core),
                f"{changes.get('settled', len(first))} of {changes.get('changes', len(row.get('first_change') or []))}",
                "-" if not after else f"{_pick(after, 'p50')}, {_pick(after, 'worst')}",
                row.get("partial", "") or "-",
            ]
        )
    return table(
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


def _pick(found: dict | None, name: str, otherwise: object = "-") -> object:
    return (found or {}).get(name, otherwise)


class Ensemble(NamedTuple):
    name: str
    count: int  # of such ensembles
    cells: int  # on each
    regions: int  # on each
    whole: int  # fleets of the whole


ENSEMBLES = (
    Ensemble("a region of three zones and its neighbour of two", 3, 2 * CELLS_A_REGION, 2, 0),
    Ensemble("a region of three zones", 3, CELLS_A_REGION, 1, 0),
    Ensemble("the whole, in three regions", 1, 0, 0, 1),
)


def sessions(each: Ensemble) -> int:
    """Members of cells, a speaker's second session for each cell in its region, a third for each region in the
    whole."""
    return each.cells * (CELL + 1) + each.whole * DESIGN["regions"]


def machines(results: dict) -> str:
    join = row_of(results, "joining.store_join_bytes")
    member, cell, region = (row_of(results, f"tier_members.tier_rest_{who}") for who in ("member", "cell", "region"))
    if join is None or member is None:
        return ""
    member, cell, region = (at(row, CELL) for row in (member, cell, region))
    rows = []
    for each in ENSEMBLES:
        resting = each.cells * (CELL * member + cell - member) + each.whole * DESIGN["regions"] * (region - cell)
        joined = (
            each.cells * at(join, CELL)
            + each.regions * at(join, CELLS_A_REGION)
            + each.whole * at(join, DESIGN["regions"])
        )
        count = sessions(each)
        a_machine = f"{short(resting / 3, 'bytes/s')}, {short(resting / 2, 'bytes/s')}"
        rows.append(
            [
                f"{each.name} ({each.count}, of 3 machines each)",
                f"{count:,}",
                f"{count / 3:,.0f}, {count / 2:,.0f}",
                short(resting, "bytes/s"),
                a_machine,
                short(joined, "bytes"),
            ]
        )
    ensembles = sum(each.count for each in ENSEMBLES if each.cells)
    servers, ping = DESIGN["servers"] / ensembles, row_of(results, "standing.rest_bytes_a_second")
    text = ""
    if ping is not None:
        text = (
            f"\nWhere the servers' own nodes lie on the same six (assumed even; computed): {servers:,.0f} sessions "
            f"more on each, {servers / 3:,.0f} a machine, {short(servers * at(ping, 8), 'bytes/s')} at rest.\n"
        )
    return (
        table(
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


def single(results: dict) -> str:
    """Refusals, as found."""
    if "refusals" not in results:
        return ""
    found, lines = results["refusals"], []
    crowd = found["members"]["runs"][-1]
    servers = found["servers"]["runs"][-1]
    lines.append(f"- {found['names']} names in a record: refused (`coordination/agreement.py`).\n")
    lines.append(f"- {found['operations']} operations in a policy, or at a supervisor: refused.\n")
    lines.append(
        f"- A policy's text of {found['text_refused_open']:,} bytes: its record is refused. From "
        f"{found['text_refused_settled']:,} bytes on (64 names) it is refused when it is proposed: a settled "
        "record holds it twice. A policy may have 32,768.\n"
    )
    lines.append(
        f"- One that joins {crowd['size']:,} reads {crowd['knows']:,} names, 4,096 at a time (`roster/"
        f"session.py`), and {'holds' if crowd['holds'] else 'never holds'} a lease.\n"
    )
    first, least = found["servers"]["first"], min(found["servers"]["runs"], key=lambda run: run["size"])
    if first is None:
        lines.append(
            f"- Lists of {least['size']:,} and {servers['size']:,} servers' nodes are read to their ends, "
            f"{short(servers['list_bytes'], 'bytes')} the latter.\n"
        )
    else:
        lines.append(
            f"- A list of {first:,} servers' nodes or more is told as whole and is not: at "
            f"{servers['size']:,} it has {servers['list_knows']:,}.\n"
        )
    return "".join(lines)


def not_run(results: dict) -> str:
    run = {row["key"].partition(".")[0] for row in results["rows"]} | set(results)
    left = [f"`{name}`" for name in [*PARTS, *SINGLES] if name not in run and name != "voids"]
    return f"Parts that have not been run: {', '.join(left) or 'none'}.\n"


BLOCKS = {
    "missing first": missing_first,
    "refusals": single,
    "cells": cells,
    "in tiers": in_tiers,
    "voids": voids,
    "day": day,
    "bursts": bursts,
    "sockets": sockets,
    "phases": phases,
    "machines": machines,
    "not run": not_run,
    **{
        role: (lambda results, role=role: role_table(results, role))
        for role in ("supervisor", "store", "proxy", "command line")
    },
}


def filled(page: str, results: dict) -> str:
    """The page with each marked block as the file has it. KeyError: a block that is not known."""
    return MARK.sub(lambda found: found[1] + BLOCKS[found["name"]](results) + found[3], page)


def results() -> dict:
    """All that the page is made of."""
    rows = json.loads(HOLLOW.read_text())["rows"] if HOLLOW.exists() else []
    return load_file() | {"hollow": rows}


def write(path: Path = PAGE) -> None:
    path.write_text(filled(path.read_text(), results()))
