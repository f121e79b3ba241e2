"""Sums of the proxies' reports, passed to the module at a limited number of lines per second, the oldest first."""

from __future__ import annotations

from driftshed import interface as face


class Sums:
    """Protects the module from a flood of reports: server reports are summed by server and zone of the proxies, demand
    by proxy and operation. Sums beyond the allowance stay, accumulate and are passed on first the next time."""

    def __init__(self, lines_per_second: float) -> None:
        """`lines_per_second` is the rate at which the allowance grows."""
        self.lines_per_second = lines_per_second
        self.allowance, self.last_release_at = 0.0, None
        # By zone and server: start, tries, errored, successes with a latency, sum of their latencies, load.
        # By proxy and operation: start, arrived, errored.
        self.rows: dict[tuple, list] = {}

    def add_server_report(
        self,
        now: float,
        zone: int,
        server: face.Server,
        tries: int,
        errored: int,
        latency: float | None,
        load: tuple[float, ...] | None,
    ) -> None:
        """Adds a report on a server by a proxy of a zone; `latency`: mean of its successful tries, in seconds."""
        row = self.rows.get((zone, server))
        if row is None:
            row = self.rows[zone, server] = [now, 0, 0, 0, 0.0, None]
        successes = tries - min(errored, tries)
        row[1] += tries
        row[2] += tries - successes
        if latency is not None and successes:
            row[3] += successes
            row[4] += successes * latency
        row[5] = load or row[5]

    def add_demand(self, now: float, proxy: int, operation: int, arrived: int, errored: int) -> None:
        """Adds the invocations of an operation that arrived at a proxy."""
        row = self.rows.get((proxy, operation, "came"))
        if row is None:
            row = self.rows[proxy, operation, "came"] = [now, 0, 0]
        row[1] += arrived
        row[2] += errored

    def drop_proxy(self, proxy: int, operations: int) -> None:
        """Discards the demand of a proxy for the first `operations` operations."""
        for operation in range(operations):
            self.rows.pop((proxy, operation, "came"), None)

    def release_events(self, now: float, period: float) -> list:
        """Removes the sums that the allowance covers and returns them as events. `period`: the shortest window stated
        for a sum, in seconds."""
        if self.last_release_at is not None:
            self.allowance = min(
                self.allowance + (now - self.last_release_at) * self.lines_per_second,
                max(1.0, 2 * period * self.lines_per_second),
            )
        else:
            self.allowance = max(1.0, period * self.lines_per_second)
        self.last_release_at = now
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
