"""Reports: plots of a run, or of two side by side, and one HTML page that contains them all."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

import numpy as np

from driftshed.lab.run import Outcome
from driftshed.lab.scenario import parse_scenario

SMOOTHING_S = 3  # window of the running mean of service over time
MAX_FAULT_BANDS = 12  # faults beyond these are not drawn
COLOURS = ["#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb"]


def _figure(rows: int, columns: int, width: float, height: float):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    plt.rcParams.update({"font.size": 9, "axes.spines.top": False, "axes.spines.right": False})
    return plt.subplots(rows, columns, figsize=(width, height), squeeze=False, layout="constrained")


def _png(figure) -> bytes:
    import matplotlib.pyplot as plt

    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    plt.close(figure)
    return out.getvalue()


def _mark_faults(axes, outcome: Outcome, seconds: float, named: bool) -> None:
    """Draws faults as coloured bands; with `named`, each has its name on a line of its own above the plot."""
    for k, (since, till, what) in enumerate(outcome.bands[:MAX_FAULT_BANDS]):
        colour = COLOURS[k % len(COLOURS)]
        axes.axvspan(since, min(till, seconds), color=colour, alpha=0.13, lw=0)
        if named:
            height = 1.04 + 0.075 * (k % MAX_FAULT_BANDS)
            axes.text(since, height, what, transform=axes.get_xaxis_transform(), color=colour, fontsize=7.5)
            axes.plot(
                [since, min(till, seconds)],
                [height - 0.012] * 2,
                color=colour,
                lw=2,
                clip_on=False,
                transform=axes.get_xaxis_transform(),
            )


def service_plot(outcomes: list[tuple[str, Outcome]]) -> bytes:
    """Service over time with its worst 10 s, and the lines in the channel against their cap."""
    figure, grid = _figure(2, len(outcomes), 8.5 * len(outcomes), 6.4)
    for column, (name, outcome) in enumerate(outcomes):
        seconds = len(outcome.over_time)
        earned, requested = (np.array([row[k] for row in outcome.over_time]) for k in (0, 1))
        window = np.ones(SMOOTHING_S)
        window_requested = np.convolve(requested, window, "same")
        share = np.divide(
            np.convolve(earned, window, "same"), window_requested, out=np.ones(seconds), where=window_requested > 0
        )
        axes = grid[0][column]
        axes.plot(np.arange(seconds) + 0.5, share, color="black", lw=1.4)
        axes.axhline(outcome.bound, color="grey", lw=0.8, ls="--")
        axes.text(seconds, outcome.bound, " bound", va="center", fontsize=7.5, color="grey")
        at = _worst_window_start(outcome)
        if at is not None:
            axes.plot([at, min(seconds, at + 10)], [outcome.worst] * 2, color="red", lw=2)
            axes.text(at, outcome.worst - 0.04, f"worst 10 s: {outcome.worst:.3f}", color="red", va="top", fontsize=7.5)
        axes.set(ylim=(0, 1.03), xlim=(0, seconds), ylabel=f"service, mean of {SMOOTHING_S} s", xlabel="seconds")
        # Leaves room for the names of the faults, between the plot and its title.
        count = min(MAX_FAULT_BANDS, len(outcome.bands))
        axes.set_title(f"{name}: service {outcome.service:.3f}", pad=8 + 12.5 * count, loc="left")
        _mark_faults(axes, outcome, seconds, True)
        lower_axes = grid[1][column]
        _mark_faults(lower_axes, outcome, seconds, False)
        if outcome.waiting:
            at, waiting = zip(*outcome.waiting, strict=True)
            lower_axes.plot(at, waiting, color="#4477aa", lw=1.2)
        lower_axes.axhline(outcome.cap, color="red", lw=1, ls="--")
        lower_axes.text(0, outcome.cap, "cap", color="red", va="bottom", fontsize=7.5)
        lower_axes.set(xlim=(0, seconds), ylim=(0, outcome.cap * 1.12), ylabel="lines in the channel", xlabel="seconds")
    return _png(figure)


def _worst_window_start(outcome: Outcome) -> int | None:
    rows = outcome.over_time
    best = None
    for k in range(max(1, len(rows) - 9)):
        requested = sum(row[1] for row in rows[k : k + 10])
        if requested:
            share = sum(row[0] for row in rows[k : k + 10]) / requested
            if best is None or share < best[0]:
                best = share, k
    return best[1] if best else None


def latency_plot(outcomes: list[tuple[str, Outcome]]) -> bytes:
    """Latency of good answers by operation, with the latency objectives."""
    figure, grid = _figure(1, 1, 8.5, 3.4)
    axes = grid[0][0]
    objectives = {o.name: o.latency_objective for o in parse_scenario(outcomes[0][1].scenario, "run").facts.operations}
    names = [name for name in objectives if any(name in outcome.latency for _, outcome in outcomes)]
    levels = ["50", "90", "99", "99.9"]
    width = 0.8 / (len(outcomes) * len(levels))
    shades = [0.35, 0.55, 0.75, 1.0]
    for k, (_, outcome) in enumerate(outcomes):
        for j, level in enumerate(levels):
            at = np.arange(len(names)) - 0.4 + (k * len(levels) + j + 0.5) * width
            heights = [outcome.latency.get(name, {}).get(level, 0.0) for name in names]
            axes.bar(at, heights, width * 0.92, color=COLOURS[k], alpha=shades[j])
            for x, height in zip(at, heights, strict=True):
                axes.text(x, height, f"p{level}", ha="center", va="bottom", fontsize=6.5, rotation=90)
    for k, name in enumerate(names):
        axes.plot([k - 0.42, k + 0.42], [objectives[name]] * 2, color="red", lw=1.2, ls="--")
    from matplotlib.patches import Patch

    handles = [Patch(color=COLOURS[k], label=name) for k, (name, _) in enumerate(outcomes)]
    axes.legend(handles=handles, fontsize=7.5, frameon=False, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    axes.set_xticks(range(len(names)), names)
    axes.set(ylabel="seconds", ylim=(0, axes.get_ylim()[1] * 1.12))
    axes.set_title("latency of good answers, from the intended send; dashed: latency objective", loc="left")
    return _png(figure)


def servers_plot(outcomes: list[tuple[str, Outcome]]) -> bytes:
    """Work sent to each server against its capacity, second by second; withdrawn periods are marked."""
    max_servers = max((len(outcome.carried) for _, outcome in outcomes), default=1)
    figure, grid = _figure(1, len(outcomes), 8.5 * len(outcomes), min(16.0, 1.6 + 0.085 * max(20, max_servers)))
    for column, (name, outcome) in enumerate(outcomes):
        axes, seconds = grid[0][column], len(outcome.over_time)
        servers = sorted(outcome.carried, key=lambda each: [int(part) for part in each.partition(":")[0].split(".")])
        picture = np.full((len(servers), seconds + 1), np.nan)
        for row, server in enumerate(servers):
            for second, work, capacity in outcome.carried[server]:
                if second <= seconds:
                    picture[row, int(second)] = min(2.0, work / capacity) if capacity > 1e-6 else 2.0
        image = axes.imshow(
            picture,
            aspect="auto",
            cmap="RdYlBu_r",
            vmin=0,
            vmax=2,
            interpolation="nearest",
            extent=(0, seconds + 1, len(servers), 0),
        )
        row_of = {server: row for row, server in enumerate(servers)}
        for server, since, till, _ in outcome.out:
            if server in row_of:
                axes.plot([since, till], [row_of[server] + 0.5] * 2, color="black", lw=1.6)
        axes.set(xlabel="seconds", ylabel="servers, by zone", xlim=(0, seconds))
        axes.set_yticks([])
        axes.set_title(f"{name}: work sent / capacity; black: withdrawn; white: down", loc="left")
        figure.colorbar(image, ax=axes, shrink=0.6)
    return _png(figure)


def margins_plot(outcomes: list[tuple[str, Outcome]]) -> bytes:
    """How close each rule came to being broken."""
    figure, grid = _figure(1, 1, 8.5, 2.6)
    axes = grid[0][0]
    rules = ["bare", "drains", "failback", "queue", "twice"]
    height = 0.8 / len(outcomes)
    for k, (name, outcome) in enumerate(outcomes):
        used = [min(1.3, outcome.margins.get(rule, 0.0)) for rule in rules]
        at = np.arange(len(rules)) - 0.4 + (k + 0.5) * height
        axes.barh(at, used, height * 0.9, color=COLOURS[k], label=name)
        for rule, y, width in zip(rules, at, used, strict=True):
            row = outcome.rules[rule]
            label = f"BROKEN {row['broken']}" if row["broken"] else f"kept, {row['checked']} checks"
            axes.text(width + 0.01, y, label, va="center", fontsize=7.5, color="red" if row["broken"] else "black")
    axes.axvline(1.0, color="red", lw=1, ls="--")
    axes.set_yticks(range(len(rules)), rules)
    axes.set(xlim=(0, 1.45), xlabel="of what the rule allows, the most that was used")
    axes.invert_yaxis()
    if len(outcomes) > 1:
        axes.legend(fontsize=7.5, frameon=False, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    return _png(figure)


PLOTS = {"service": service_plot, "latency": latency_plot, "servers": servers_plot, "rules": margins_plot}


def write_report(outcomes: list[tuple[str, Outcome]], path: Path, pictures: Path | None = None) -> None:
    """Writes one self-contained page, and with `pictures` also the PNGs into that folder. Raises OSError."""
    parts = [f"<h1>{html.escape(' against '.join(name for name, _ in outcomes))}</h1>"]
    if any(not outcome.counts for _, outcome in outcomes):
        parts.append("<p class=bad>The load generator could not keep up: these figures do not count.</p>")
    parts.append(_summary(outcomes))
    for name, plot in PLOTS.items():
        png = plot(outcomes)
        if pictures:
            pictures.mkdir(parents=True, exist_ok=True)
            (pictures / f"{name}.png").write_bytes(png)
        parts.append(f'<img alt="{name}" src="data:image/png;base64,{base64.b64encode(png).decode()}">')
    for name, outcome in outcomes:
        parts.append(f"<h2>{html.escape(name)}</h2>" + _details(outcome))
    style = (
        "body{font:14px sans-serif;margin:2em;max-width:1900px}td,th{padding:2px 10px;text-align:right}"
        "td:first-child,th:first-child{text-align:left}img{display:block;max-width:100%;margin:1em 0}"
        ".bad{color:#b00;font-weight:bold}pre{background:#f4f4f4;padding:1em;overflow:auto}"
    )
    page = f"<!doctype html><meta charset=utf-8><title>driftshed lab</title><style>{style}</style>{''.join(parts)}"
    path.write_text(page)


def _table(head: list[str], rows: list[list[str]]) -> str:
    cells = "".join(f"<th>{html.escape(each)}</th>" for each in head)
    body = "".join("<tr>" + "".join(f"<td>{html.escape(each)}</td>" for each in row) + "</tr>" for row in rows)
    return f"<table><tr>{cells}</tr>{body}</table>"


def _summary(outcomes: list[tuple[str, Outcome]]) -> str:
    rows = []
    for name, outcome in outcomes:
        broken = [rule for rule, row in outcome.rules.items() if row["broken"]]
        rows.append(
            [
                name,
                f"{outcome.service:.3f}",
                f"{outcome.worst:.3f}",
                f"{outcome.bound:.3f}",
                str(outcome.asked),
                ", ".join(broken) or "none",
                outcome.clock,
                str(outcome.seed),
                f"{outcome.lag[0] * 1000:.1f} ms",
            ]
        )
    head = ["run", "service", "worst 10 s", "bound", "invocations", "rules broken", "clock", "seed", "lag p99"]
    return _table(head, rows)


def _details(outcome: Outcome) -> str:
    parts = []
    for text in [*outcome.breaks, *outcome.faults]:
        parts.append(f"<p class=bad>{html.escape(text)}</p>")
    parts.append(_table(["operation", "service"], [[n, f"{share:.3f}"] for n, share in outcome.operations.items()]))
    rows = [[server, f"{since:g}", f"{till:g}", why] for server, since, till, why in outcome.out]
    parts.append("<p>Withdrawn servers (sampled each second):</p>" if rows else "<p>No server was withdrawn.</p>")
    if rows:
        parts.append(_table(["server", "since", "till", "why"], rows[:200]))
    parts.append(f"<details><summary>the scenario</summary><pre>{html.escape(outcome.scenario)}</pre></details>")
    return "".join(parts)
