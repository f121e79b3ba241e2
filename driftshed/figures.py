"""Plain arithmetic on figures; it decides nothing and knows nothing of servers."""


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


def fair_rate(rates: list[float], part: float) -> float:
    """The rate that lets this part of all in when none may have more; the rates come in rising order."""
    left = part * sum(rates)
    for k, rate in enumerate(rates):
        if rate * (len(rates) - k) >= left:
            return left / (len(rates) - k)
        left -= rate
    return rates[-1] if rates else 0.0
