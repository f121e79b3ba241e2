"""Selection of growth forms, reproducibility of deterministic counts, and agreement of docs/CAPACITY.md with its
results."""

import copy
import math
import re
from pathlib import Path
from random import Random

import pytest

from benchmarks import capacity, capacity_fit, capacity_flat, capacity_page, capacity_process
from benchmarks.capacity_fit import FORMS, TooFewSizes, first_above, fit, held_out_error, value_at

ROOT = Path(__file__).parent.parent
RESULTS = capacity_page.load_results()
SIZES = [8, 16, 32, 64, 128, 256]
CURVES = {
    "constant": lambda n: 314.0,
    "n": lambda n: 200 + 31.0 * n,
    "n log n": lambda n: 50 + 9.0 * n * math.log2(n),
    "n^2": lambda n: 400 + 60.0 * n + 1.9 * n * n,
    "n^3": lambda n: 1e-4 * n**2 + 2e-3 * n**3,
}
MEASURED_PARTS = sorted(
    {row["key"].partition(".")[0] for row in RESULTS["rows"] if "sizes" in row} & set(capacity.PARTS)
)


def noisy_values(form: str, seed: int, noise: float = 0.01) -> list[float]:
    random = Random(f"{form} {seed}")
    return [CURVES[form](n) * random.uniform(1 - noise, 1 + noise) for n in SIZES]


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("seed", range(5))
def test_the_fit_finds_the_form_of_made_data_with_noise(form, seed):
    result = fit(SIZES, noisy_values(form, seed))
    assert result.form == form
    assert result.held_out == SIZES[-1]
    assert abs(result.held_out_error) < 0.1


@pytest.mark.parametrize("form", FORMS)
def test_the_error_at_the_size_held_out_catches_a_wrong_form(form):
    values = noisy_values(form, 1)
    error = abs(held_out_error(form, SIZES, values))
    simpler = list(FORMS)[: list(FORMS).index(form)]
    for wrong in simpler:
        assert abs(held_out_error(wrong, SIZES, values)) > max(0.03, 3 * error), wrong


def test_a_growth_is_not_told_from_three_sizes():
    with pytest.raises(TooFewSizes):
        fit([8, 16, 32], [1.0, 2.0, 4.0])
    with pytest.raises(TooFewSizes):
        fit([8, 16, 16, 32], [1.0, 2.0, 2.0, 4.0])


@pytest.mark.parametrize("form", ["n", "n log n", "n^2", "n^3"])
def test_the_first_size_above_a_budget_is_the_first(form):
    coefficients = fit(SIZES, [CURVES[form](n) for n in SIZES]).coefficients
    budget = CURVES[form](100) * 1.0001
    first = first_above(form, coefficients, budget, 5200)
    assert value_at(form, coefficients, first) > budget >= value_at(form, coefficients, first - 1)
    assert first_above(form, coefficients, value_at(form, coefficients, 5200), 5200) is None


# ---- deterministic counts ----


@pytest.mark.parametrize(
    "name",
    sorted(
        name
        for name, part in capacity.PARTS.items()
        if part.deterministic and any(s.kind == "count" for s in part.slopes.values())
    ),
)
def test_the_counts_of_the_least_size_come_out_again(name):
    part = capacity.PARTS[name]
    assert name in MEASURED_PARTS, f"run `python -m benchmarks.capacity {name}`"
    size = part.sizes[0]
    by_seed = {seed: capacity.measure(name, size, seed) for seed in part.seeds}
    for key, slope in part.slopes.items():
        if slope.kind != "count":
            continue
        row = capacity_page.find_row(RESULTS, f"{name}.{key}")
        values = sorted(each[key] for each in by_seed.values())
        assert row["values"][0] == pytest.approx(values[len(values) // 2], abs=1e-6), key
        assert row["spread"][0] == pytest.approx([values[0], values[-1]], abs=1e-6), key


def test_what_one_reads_is_the_same_whether_the_others_are_agents_or_nodes():
    """Nodes written by one client must cost a reader as much as nodes written by agents: a death and an update."""
    agents, crowd = capacity_flat.measure_rest_and_events(16), capacity_flat.measure_one_among(16)
    assert crowd["one_word_bytes"] == pytest.approx(agents["word_bytes"], rel=0.02)
    assert crowd["one_death_bytes"] == pytest.approx(agents["death_bytes"], rel=0.05)


def test_refusals_are_where_the_page_says():
    refusals = RESULTS["refusals"]
    assert capacity_flat.first_refused_name_count() == refusals["names"]
    assert capacity_process.operations_refused_at() == refusals["operations"]
    assert capacity_process.text_refused_at() == {
        key: refusals[key] for key in ("text_refused_open", "text_refused_settled")
    }


def test_a_list_longer_than_may_wait_is_read_to_its_end():
    """The session limits pending requests to 4,096; a follower that requested all nodes at once truncated longer lists.
    `driftshed/roster/follow.py` therefore requests 512 at a time."""
    runs = RESULTS["refusals"]["servers"]["runs"]
    assert RESULTS["refusals"]["servers"]["first"] is None
    assert [run["list_knows"] for run in runs] == [run["size"] for run in runs]
    smallest = min(run["size"] for run in runs)
    assert smallest > 4096
    assert capacity_flat.measure_listing(smallest)["list_knows"] == smallest


# ---- results file and page ----


def test_every_row_names_its_run_and_stands_on_four_sizes():
    for row in RESULTS["rows"]:
        assert re.fullmatch(r"python -m benchmarks\.capacity\w* \w+", row["command"]), row["key"]
        if row["kind"] == "computed":
            continue
        assert len(row["sizes"]) == len(row["values"]) == len(row["spread"]) >= capacity_fit.MIN_SIZES, row["key"]
        assert row["kind"] in ("count", "share", "ratio", "memory", "seconds"), row["key"]
        assert row["time"] in ("virtual", "sockets", "process"), row["key"]
        if row["kind"] in ("share", "ratio"):
            assert row["rounds"] >= 3, row["key"]
        assert all(low <= value <= high for value, (low, high) in zip(row["values"], row["spread"], strict=True))


# Least squares differ in their last bits between processors; relative to the value, or to 1 where it is less.
ROUNDING = 1e-12


def test_forms_errors_and_extrapolations_follow_from_the_measured_values():
    for row in RESULTS["rows"]:
        if row["kind"] == "computed":
            continue
        for name, value in capacity.fit_row(row).items():
            is_number = isinstance(value, float | list)
            stored = pytest.approx(row[name], rel=ROUNDING, abs=ROUNDING) if is_number else row[name]
            assert value == stored, (row["key"], name)


def test_the_chance_of_a_void_change_follows_from_the_told_rates():
    assert capacity.void_rows() == [row for row in RESULTS["rows"] if row["key"].startswith("void.")]
    assert (
        capacity.void_probability(5200, 30.0)
        > capacity.void_probability(64, 30.0)
        > capacity.void_probability(64, 5.0)
        > 0
    )


def test_the_page_says_what_the_file_says():
    page = capacity_page.PAGE.read_text()
    assert {found["name"] for found in capacity_page.BLOCK_PATTERN.finditer(page)} == set(capacity_page.BLOCKS)
    assert capacity_page.fill_blocks(page, RESULTS) == page, "run `python -m benchmarks.capacity page`"


def test_a_changed_figure_changes_the_page():
    other = copy.deepcopy(RESULTS)
    row = capacity_page.find_row(other, "chatter.chatter_bytes_a_second")
    row["values"][-1] *= 2
    page = capacity_page.PAGE.read_text()
    assert capacity_page.fill_blocks(page, other) != page


def test_budgets_are_sorted_by_what_is_exceeded_first_and_derived_from_the_file():
    checks = capacity_page.sorted_budget_checks(RESULTS)
    assert len(checks) == len(capacity_page.LIMITS)
    shares = [each.design_share for each in checks]
    assert shares == sorted(shares)
    assert checks[0].first is not None
    other = copy.deepcopy(RESULTS)
    other["refusals"]["names"] = capacity.DESIGN["supervisors"] + 1
    row = capacity_page.find_row(other, "chatter.chatter_bytes_a_second")
    row["coefficients"] = [each / 2 for each in row["coefficients"]]
    first_by_key = {each.limit.key: each.first for each in checks}
    changed_first_by_key = {each.limit.key: each.first for each in capacity_page.sorted_budget_checks(other)}
    assert changed_first_by_key["refusal:names"] is None
    assert changed_first_by_key["chatter.chatter_bytes_a_second"] > first_by_key["chatter.chatter_bytes_a_second"]


def test_what_carries_a_figure_is_a_file_or_said_to_be_missing():
    for limit in capacity_page.LIMITS:
        files = re.findall(r"`(driftshed/[\w/]+\.py)`", limit.provided_by)
        assert limit.provided_by == "missing" or files, limit.what
        assert all((ROOT / file).exists() for file in files), limit.what


def test_a_wrong_part_is_a_plain_message(monkeypatch):
    monkeypatch.setattr("sys.argv", ["capacity", "nonsense"])
    with pytest.raises(SystemExit) as exited:
        capacity.main()
    assert "no such part" in str(exited.value.code)
