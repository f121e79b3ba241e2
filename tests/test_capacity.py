"""The fit tells growth apart, the exact counts come out again, and the page says what the file of results says."""

import copy
import math
import re
from pathlib import Path
from random import Random

import pytest

from benchmarks import capacity, capacity_fit, capacity_flat, capacity_page, capacity_process
from benchmarks.capacity_fit import FORMS, TooFew, first_above, fit, held_out_error, value_at

ROOT = Path(__file__).parent.parent
RESULTS = capacity_page.results()
SIZES = [8, 16, 32, 64, 128, 256]
MADE = {
    "constant": lambda n: 314.0,
    "n": lambda n: 200 + 31.0 * n,
    "n log n": lambda n: 50 + 9.0 * n * math.log2(n),
    "n^2": lambda n: 400 + 60.0 * n + 1.9 * n * n,
    "n^3": lambda n: 1e-4 * n**2 + 2e-3 * n**3,
}
WITH_ROWS = sorted({row["key"].partition(".")[0] for row in RESULTS["rows"] if "sizes" in row} & set(capacity.PARTS))


def noisy(form: str, seed: int, noise: float = 0.01) -> list[float]:
    random = Random(f"{form} {seed}")
    return [MADE[form](n) * random.uniform(1 - noise, 1 + noise) for n in SIZES]


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("seed", range(5))
def test_the_fit_finds_the_form_of_made_data_with_noise(form, seed):
    found = fit(SIZES, noisy(form, seed))
    assert found.form == form
    assert found.held_out == SIZES[-1]
    assert abs(found.held_out_error) < 0.1


@pytest.mark.parametrize("form", FORMS)
def test_the_error_at_the_size_held_out_catches_a_wrong_form(form):
    values = noisy(form, 1)
    right = abs(held_out_error(form, SIZES, values))
    simpler = list(FORMS)[: list(FORMS).index(form)]
    for wrong in simpler:
        assert abs(held_out_error(wrong, SIZES, values)) > max(0.03, 3 * right), wrong


def test_a_growth_is_not_told_from_three_sizes():
    with pytest.raises(TooFew):
        fit([8, 16, 32], [1.0, 2.0, 4.0])
    with pytest.raises(TooFew):
        fit([8, 16, 16, 32], [1.0, 2.0, 2.0, 4.0])


@pytest.mark.parametrize("form", ["n", "n log n", "n^2", "n^3"])
def test_the_first_size_above_a_budget_is_the_first(form):
    coefficients = fit(SIZES, [MADE[form](n) for n in SIZES]).coefficients
    budget = MADE[form](100) * 1.0001
    first = first_above(form, coefficients, budget, 5200)
    assert value_at(form, coefficients, first) > budget >= value_at(form, coefficients, first - 1)
    assert first_above(form, coefficients, value_at(form, coefficients, 5200), 5200) is None


# ---- the exact counts -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "name",
    sorted(
        name
        for name, part in capacity.PARTS.items()
        if part.counts and any(s.kind == "count" for s in part.slopes.values())
    ),
)
def test_the_counts_of_the_least_size_come_out_again(name):
    part = capacity.PARTS[name]
    assert name in WITH_ROWS, f"run `python -m benchmarks.capacity {name}`"
    size = part.sizes[0]
    found = {seed: capacity.measured(name, size, seed) for seed in part.seeds}
    for key, slope in part.slopes.items():
        if slope.kind != "count":
            continue
        row = capacity_page.row_of(RESULTS, f"{name}.{key}")
        values = sorted(each[key] for each in found.values())
        assert row["values"][0] == pytest.approx(values[len(values) // 2], abs=1e-6), key
        assert row["spread"][0] == pytest.approx([values[0], values[-1]], abs=1e-6), key


def test_what_one_reads_is_the_same_whether_the_others_are_agents_or_nodes():
    """The crowd stands for agents: a death and a word cost the one that reads the same."""
    agents, crowd = capacity_flat.standing(16), capacity_flat.one_among(16)
    assert crowd["one_word_bytes"] == pytest.approx(agents["word_bytes"], rel=0.02)
    assert crowd["one_death_bytes"] == pytest.approx(agents["death_bytes"], rel=0.05)


def test_refusals_are_where_the_page_says():
    found = RESULTS["refusals"]
    assert capacity_flat.refused_at() == found["names"]
    assert capacity_process.operations_refused_at() == found["operations"]
    assert capacity_process.text_refused_at() == {
        key: found[key] for key in ("text_refused_open", "text_refused_settled")
    }


def test_a_list_longer_than_may_wait_is_read_to_its_end():
    """It was cut short at 4,096 until `driftshed/roster/follow.py` asked for 512 at a time."""
    runs = RESULTS["refusals"]["servers"]["runs"]
    assert RESULTS["refusals"]["servers"]["first"] is None
    assert [run["list_knows"] for run in runs] == [run["size"] for run in runs]
    least = min(run["size"] for run in runs)
    assert least > 4096
    assert capacity_flat.listing(least)["list_knows"] == least


# ---- the file and the page ------------------------------------------------------------------------------------


def test_every_row_names_its_run_and_stands_on_four_sizes():
    for row in RESULTS["rows"]:
        assert re.fullmatch(r"python -m benchmarks\.capacity\w* \w+", row["command"]), row["key"]
        if row["kind"] == "computed":
            continue
        assert len(row["sizes"]) == len(row["values"]) == len(row["spread"]) >= capacity_fit.FEWEST, row["key"]
        assert row["kind"] in ("count", "share", "ratio", "memory", "seconds"), row["key"]
        assert row["time"] in ("virtual", "sockets", "process"), row["key"]
        if row["kind"] in ("share", "ratio"):
            assert row["rounds"] >= 3, row["key"]
        assert all(low <= value <= high for value, (low, high) in zip(row["values"], row["spread"], strict=True))


def test_forms_errors_and_extrapolations_follow_from_the_measured_values():
    for row in RESULTS["rows"]:
        if row["kind"] != "computed":
            assert capacity.fitted(row) == {key: row[key] for key in capacity.fitted(row)}, row["key"]


def test_the_chance_of_a_void_change_follows_from_the_told_rates():
    assert capacity.voids() == [row for row in RESULTS["rows"] if row["key"].startswith("void.")]
    assert capacity.void(5200, 30.0) > capacity.void(64, 30.0) > capacity.void(64, 5.0) > 0


def test_the_page_says_what_the_file_says():
    page = capacity_page.PAGE.read_text()
    assert {found["name"] for found in capacity_page.MARK.finditer(page)} == set(capacity_page.BLOCKS)
    assert capacity_page.filled(page, RESULTS) == page, "run `python -m benchmarks.capacity page`"


def test_a_changed_figure_changes_the_page():
    other = copy.deepcopy(RESULTS)
    row = capacity_page.row_of(other, "chatter.chatter_bytes_a_second")
    row["values"][-1] *= 2
    page = capacity_page.PAGE.read_text()
    assert capacity_page.filled(page, other) != page


def test_budgets_are_sorted_by_what_is_exceeded_first_and_derived_from_the_file():
    found = capacity_page.first_exceeded(RESULTS)
    assert len(found) == len(capacity_page.LIMITS)
    parts = [each.part for each in found]
    assert parts == sorted(parts)
    assert found[0].first is not None
    other = copy.deepcopy(RESULTS)
    other["refusals"]["names"] = capacity.DESIGN["supervisors"] + 1
    row = capacity_page.row_of(other, "chatter.chatter_bytes_a_second")
    row["coefficients"] = [each / 2 for each in row["coefficients"]]
    by_key = {each.limit.key: each.first for each in found}
    changed = {each.limit.key: each.first for each in capacity_page.first_exceeded(other)}
    assert changed["refusal:names"] is None
    assert changed["chatter.chatter_bytes_a_second"] > by_key["chatter.chatter_bytes_a_second"]


def test_what_carries_a_figure_is_a_file_or_said_to_be_missing():
    for limit in capacity_page.LIMITS:
        files = re.findall(r"`(driftshed/[\w/]+\.py)`", limit.carries)
        assert limit.carries == "missing" or files, limit.what
        assert all((ROOT / file).exists() for file in files), limit.what


def test_a_wrong_part_is_a_plain_message(monkeypatch):
    monkeypatch.setattr("sys.argv", ["capacity", "nonsense"])
    with pytest.raises(SystemExit) as end:
        capacity.main()
    assert "no such part" in str(end.value.code)
