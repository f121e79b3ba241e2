"""Sums of what proxies report, given to the module at most so many lines a second, the oldest first."""

from __future__ import annotations

from driftshed import interface as face


class Sums:
    """Guards against a flood of reports: what a server met is summed by zone of the proxies, what came by proxy and
    operation; what is over the allowance stays, adds up and goes first the next time."""

    def __init__(self, lines_per_second: float) -> None:
        self.rate = lines_per_second
        self.allowance, self.asked_at = 0.0, None
        # Since when, and the sums: tries, errored, good with a latency, time of those, load; arrived, errored.
        self.rows: dict[tuple, list] = {}

    def met(
        self,
        now: float,
        zone: int,
        server: face.Server,
        tries: int,
        errored: int,
        latency: float | None,
        load: tuple[float, ...] | None,
    ) -> None:
        """What a proxy of a zone met at a server; `latency`: mean of its good tries."""
        row = self.rows.get((zone, server))
        if row is None:
            row = self.rows[zone, server] = [now, 0, 0, 0, 0.0, None]
        good = tries - min(errored, tries)
        row[1] += tries
        row[2] += tries - good
        if latency is not None and good:
            row[3] += good
            row[4] += good * latency
        row[5] = load or row[5]

    def came(self, now: float, proxy: int, operation: int, arrived: int, errored: int) -> None:
        row = self.rows.get((proxy, operation, "came"))
        if row is None:
            row = self.rows[proxy, operation, "came"] = [now, 0, 0]
        row[1] += arrived
        row[2] += errored

    def forget(self, proxy: int, operations: int) -> None:
        for operation in range(operations):
            self.rows.pop((proxy, operation, "came"), None)

    def take(self, now: float, period: float) -> list:
        """The events that may be told now; `period`: the least window that is claimed for a sum, in seconds."""
        if self.asked_at is not None:
            self.allowance = min(self.allowance + (now - self.asked_at) * self.rate, max(1.0, 2 * period * self.rate))
        else:
            self.allowance = max(1.0, period * self.rate)
        self.asked_at = now
        events: list = []
        for key in list(self.rows):
            if self.allowance < 1:
                break
            row = self.rows.pop(key)
            window = max(period, now - row[0] + period)
            if len(key) == 3:
                events.append(face.Demand(row[1], key[0], window, row[2], key[1]))
            elif row[1]:
                latency = row[4] / row[3] if row[3] else None
                events.append(face.Heard(row[2], key[1], row[1], window, key[0], latency, row[5]))
            else:
                continue
            self.allowance -= 1
        return events
