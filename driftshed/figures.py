"""Plain arithmetic on figures; it decides nothing and knows nothing of servers."""

from bisect import bisect_left, insort


def weighted_median(pairs: list[tuple[float, float]]) -> float | None:
    """The value at which half of the weight is reached; None without weight."""
    pairs = sorted(pair for pair in pairs if pair[1] > 0)
    half = sum(weight for _, weight in pairs) / 2
    for value, weight in pairs:
        half -= weight
        if half <= 0:
            return value
    return None


def median(values: list[float]) -> float | None:
    return weighted_median([(value, 1.0) for value in values])


class RunningMedian:
    """The median of figures that come and go one by one; the same as `median` of those that are there."""

    def __init__(self) -> None:
        self.rising: list[float] = []

    def swap(self, old: float | None, new: float | None) -> None:
        """Takes one out and puts one in; None stands for none."""
        if old is not None:
            del self.rising[bisect_left(self.rising, old)]
        if new is not None:
            insort(self.rising, new)

    def value(self) -> float:
        return self.rising[(len(self.rising) - 1) // 2]


def fair_rate(rates: list[float], part: float) -> float:
    """The rate that lets this part of all in when none may have more; the rates come in rising order."""
    left = part * sum(rates)
    for k, rate in enumerate(rates):
        if rate * (len(rates) - k) >= left:
            return left / (len(rates) - k)
        left -= rate
    return rates[-1] if rates else 0.0
