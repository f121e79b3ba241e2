"""Fits how a measured value grows with a size: selects one of five growth forms by least squares, validates it at the
held-out largest size, and finds the first size that exceeds a budget. Pure functions.

Errors are relative, so that a small size counts as much as a large one. A form with more terms is selected only where
it reduces the error clearly; otherwise every linear growth would be reported as quadratic."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

import numpy as np

# Terms of each form, the simplest form first; coefficients are in this order.
FORMS = {
    "constant": (lambda n: n**0,),
    "n": (lambda n: n**0, lambda n: n),
    "n log n": (lambda n: n**0, lambda n: n * np.log2(n)),
    "n^2": (lambda n: n**0, lambda n: n, lambda n: n**2),
    "n^3": (lambda n: n**0, lambda n: n**2, lambda n: n**3),
}
MAX_ERROR_RATIO = 0.6  # of the simpler form's error: above it the simpler form is kept
MAX_ERROR_RATIO_OF_CONSTANT = 0.7  # the same where the simpler form is the constant
NEGLIGIBLE_ERROR = 0.002  # relative: at this error or less no further form is tried
EXACT_ERROR_RATIO = 0.05  # of the simpler form's error: under it MIN_TERM_SHARE does not apply
MIN_TERM_SHARE = 0.1  # of the value at the largest size, that a form's last term contributes
MIN_SIZES = 4  # including the held-out size


class TooFewSizes(ValueError):
    """Fewer than MIN_SIZES sizes, or a size given twice."""


class Fit(NamedTuple):
    """A selected form. `held_out`: the largest size, excluded from the selection. `held_out_error`: (predicted -
    measured) / measured at that size. `coefficients`: over all sizes, the held-out one included."""

    form: str
    coefficients: tuple[float, ...]
    held_out: float
    held_out_error: float

    def predict(self, size: float) -> float:
        """The fitted value at `size`."""
        return value_at(self.form, self.coefficients, size)


def _terms(form: str, sizes: np.ndarray) -> np.ndarray:
    return np.stack([term(sizes) for term in FORMS[form]], axis=1)


def value_at(form: str, coefficients: tuple[float, ...] | list[float], size: float) -> float:
    """The value of a form with these coefficients at `size`."""
    return float((_terms(form, np.array([float(size)])) @ np.array(coefficients)).item())


def solve_coefficients(form: str, sizes: list[float], values: list[float]) -> tuple[float, ...]:
    """Coefficients by least squares of relative errors; only the first, the constant term's, may be negative."""
    n, y = np.array(sizes, float), np.array(values, float)
    weight = 1 / np.maximum(np.abs(y), np.max(np.abs(y)) * 1e-6 or 1.0)
    terms = _terms(form, n)
    scale = np.max(np.abs(terms), axis=0)  # Keeps a cubed size from dominating the other terms numerically.
    columns, best, least_error = terms / scale * weight[:, None], None, np.inf
    for included in product((True, False), repeat=len(scale) - 1):
        columns_used = [0, *(k for k, used in enumerate(included, 1) if used)]
        solution, *_ = np.linalg.lstsq(columns[:, columns_used], y * weight, rcond=None)
        error = float(np.sum(np.square(columns[:, columns_used] @ solution - y * weight)))
        if np.all(solution[1:] >= 0) and error < least_error - 1e-15:
            best, least_error = np.zeros(len(scale)), error
            best[columns_used] = solution
    return tuple(float(each) for each in best / scale)


def _log_error(predicted: float, measured: float, max_value: float) -> float:
    """The absolute logarithm of predicted / measured, so that half and double count as the same error. A plain relative
    error is at most 1 for predictions that are too low and would favour such forms."""
    floor = max_value * 1e-6
    return abs(float(np.log(max(predicted, floor) / max(measured, floor))))


def cross_validation_error(form: str, sizes: list[float], values: list[float]) -> float:
    """Leave-one-out cross-validation: the root mean square of the log errors at each size but the smallest."""
    errors = []
    for k in range(1, len(sizes)):
        other_sizes, other_values = sizes[:k] + sizes[k + 1 :], values[:k] + values[k + 1 :]
        predicted = value_at(form, solve_coefficients(form, other_sizes, other_values), sizes[k])
        errors.append(_log_error(predicted, values[k], max(map(abs, values)) or 1.0))
    return float(np.sqrt(np.mean(np.square(errors))))


def choose_form(sizes: list[float], values: list[float]) -> str:
    """The simplest form that no more complex one beats clearly. A form needs more sizes than it has coefficients."""
    chosen, error = "constant", cross_validation_error("constant", sizes, values)
    for form, terms in FORMS.items():
        if form == "constant" or len(terms) >= len(sizes):
            continue
        if error <= NEGLIGIBLE_ERROR:
            break
        candidate_error = cross_validation_error(form, sizes, values)
        improves = candidate_error < (MAX_ERROR_RATIO_OF_CONSTANT if chosen == "constant" else MAX_ERROR_RATIO) * error
        if improves and (
            candidate_error < EXACT_ERROR_RATIO * error or _last_term_share(form, sizes, values) >= MIN_TERM_SHARE
        ):
            chosen, error = form, candidate_error
    return chosen


def _last_term_share(form: str, sizes: list[float], values: list[float]) -> float:
    """The share of the value at the largest size that the form's last term contributes."""
    last_term = solve_coefficients(form, sizes, values)[-1] * float(FORMS[form][-1](np.array(float(sizes[-1]))))
    return abs(last_term) / (abs(values[-1]) or 1.0)


def fit(sizes: list[float], values: list[float]) -> Fit:
    """Selects a form without the largest size and fits it to all sizes. Raises TooFewSizes."""
    rows = sorted(zip(sizes, values, strict=True))
    n, y = [float(size) for size, _ in rows], [float(value) for _, value in rows]
    if len(set(n)) < max(MIN_SIZES, len(n)):
        raise TooFewSizes(f"{len(set(n))} sizes: need at least {MIN_SIZES} distinct ones")
    form = choose_form(n[:-1], y[:-1])
    error = held_out_error(form, n, y)
    return Fit(form, solve_coefficients(form, n, y), n[-1], error)


def held_out_error(form: str, sizes: list[float], values: list[float]) -> float:
    """(predicted - measured) / measured at the last size, of a form fitted without it."""
    predicted = value_at(form, solve_coefficients(form, sizes[:-1], values[:-1]), sizes[-1])
    return (predicted - values[-1]) / (values[-1] or 1.0)


def first_above(form: str, coefficients: tuple[float, ...] | list[float], budget: float, max_size: int) -> int | None:
    """The smallest integer size up to `max_size` at which the value exceeds the budget, or None."""
    if value_at(form, coefficients, max_size) <= budget:
        return None
    low, high = 0, max_size  # invariant: the value exceeds the budget at `high`; fitted forms are increasing
    while high - low > 1:
        middle = (low + high) // 2
        if value_at(form, coefficients, middle) > budget:
            high = middle
        else:
            low = middle
    return high
