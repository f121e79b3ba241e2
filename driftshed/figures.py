"""Medians and fair shares of plain numbers; independent of servers and proxies."""

from bisect import bisect_left, insort

FAR_OVER = 1 / 2  # of the target: a part is far over its target beyond this relative excess
RELIEF = 1 / 2  # of the relative excess of the part that is left: the part that is joined has to end below it


def weighted_median(pairs: list[tuple[float, float]]) -> float | None:
    """The value at which half of the total weight is reached; None without a positive weight.

    `pairs` are value and weight; pairs without a positive weight are ignored.
    """
    pairs = sorted(pair for pair in pairs if pair[1] > 0)
    half = sum(weight for _, weight in pairs) / 2
    for value, weight in pairs:
        half -= weight
        if half <= 0:
            return value
    return None


def median(values: list[float]) -> float | None:
    """The median, which is always one of the values: the lower of two middle ones; None without values."""
    return weighted_median([(value, 1.0) for value in values])


class RunningMedian:
    """The median of a changing set of numbers; equal to `median` of the present ones."""

    def __init__(self) -> None:
        """An empty set."""
        self.ascending: list[float] = []

    def replace(self, old: float | None, new: float | None) -> None:
        """Removes `old` and adds `new`; None for either means no such step. `old` must be in the set."""
        if old is not None:
            del self.ascending[bisect_left(self.ascending, old)]
        if new is not None:
            insort(self.ascending, new)

    def value(self) -> float:
        """The median. IndexError on an empty set."""
        return self.ascending[(len(self.ascending) - 1) // 2]


def fair_rate(rates: list[float], share: float) -> float:
    """The common cap at which the rates, each cut to it, add up to this share of their sum.

    `rates` must be in ascending order. 0 without rates.
    """
    left = share * sum(rates)
    for k, rate in enumerate(rates):
        if rate * (len(rates) - k) >= left:
            return left / (len(rates) - k)
        left -= rate
    return rates[-1] if rates else 0.0


class ZoneLoad:
    """Arrivals per second that the proxies of a zone bring to each part, against what they should bring."""

    def __init__(self, target: list[float]) -> None:
        """`target`: the arrivals per second that they should bring, by part."""
        self.target = target
        self.excess = [-each for each in target]  # arrivals per second over the target

    def add(self, part: int, rate: float) -> None:
        """Adds the arrivals per second of a proxy that comes, or takes off those of one that goes."""
        self.excess[part] += rate

    def relative_excess(self, part: int, added: float = 0.0) -> float:
        """The excess of a part with `added` arrivals per second, as a share of its target."""
        return (self.excess[part] + added) / (self.target[part] or 1.0)

    def relieves(self, rate: float, source: int, destination: int) -> bool:
        """Whether a proxy with these arrivals per second would leave a part far over its target for one that ends less
        than half as far over."""
        before = self.relative_excess(source)
        return before > FAR_OVER and self.relative_excess(destination, rate) < RELIEF * before


def server_label(server: bytes) -> str:
    """The id of a server for a log: its text, or in hex where it is none."""
    text = server.decode("ascii", "replace")
    return text if text.isprintable() and text.isascii() else server.hex()
