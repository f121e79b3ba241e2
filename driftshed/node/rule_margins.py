"""How near a supervisor has come to breaking each rule, as far as its own orders and answers show it."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.figures import server_label
from driftshed.node.drain_monitor import DrainMonitor, Release
from driftshed.node.status import weight_by_part

NAME_LENGTH = 16  # characters of a server's id in a log line, which may be cut short elsewhere
NOTABLE_SHARE = 1 / 2  # of what is allowed: beyond it a new worst case has a line of its own
NOTABLE_GROWTH = 1 / 10  # of what is allowed: since the last such line of the rule
MAX_NAMED_PROXIES = 6


class Worst(NamedTuple):
    """The worst case of a rule so far. `at`: seconds since the start of the supervisor."""

    value: float = 0.0
    server: str | None = None
    proxy: int | None = None
    at: float = 0.0

    def fields(self) -> list:
        """What is known of it, as the log has it."""
        known = (round(self.value, 2), self.server, self.proxy, round(self.at, 2))
        return [each for each in known if each is not None]


class RuleMargins:
    """The worst case of each rule since the start.

    `drain`: seconds from a server's leaving, or a proxy's joining, until it has answered the order to let go of the
    server; a proxy that never answers is not counted, since its stream may have ended. Beside it, seconds until that
    order. `cold`: the load that the proxies of this supervisor bring to a cold server by the orders in force, and
    those that wait for a table by what they may hold, as a multiple of what it can do by its warmth and by reports.
    Beside it, the same by its warmth alone. `table`: seconds that a joined proxy has waited for its table. `lines`:
    most lines in the channel. `messages`: most messages to one proxy within the span of the cap.
    """

    def __init__(self, facts: face.StartFacts, started_at: float) -> None:
        """Nothing has been observed yet. Times are those of the supervisor's clock, in seconds."""
        self.started_at = started_at
        self.drains = DrainMonitor()
        self.allowed = {
            "drain": facts.drain_grace,
            "cold": facts.tip_multiple,
            "table": facts.drain_grace,
            "lines": facts.queue_cap,
            "messages": float(facts.message_cap) or float("inf"),
        }
        self.worst = dict.fromkeys(self.allowed, Worst())
        self.heaviest_by_warmth = 0.0
        self.logged = dict.fromkeys(self.allowed, 0.0)  # the value of the last line about each rule

    def turn(self, now: float, brain: Brain, events: list, orders: list) -> list[dict]:
        """Follows one turn of the module. Returns the fields of a log line for each notable new worst case."""
        lines = [self._observe_drain(now, brain, release) for release in self.drains.turn(now, brain, events, orders)]
        if any(isinstance(order, face.Mark) for order in orders):
            lines.append(self._observe(now, "lines", brain.waiting_lines(), None, None))
        return [line for line in lines if line]

    def second(self, now: float, brain: Brain) -> list[dict]:
        """Observes what lasts, once a second. Returns log lines as `turn` does."""
        lines = []
        for proxy, since in list(brain.waiting_since.items())[:1]:
            lines.append(self._observe(now, "table", now - since, None, proxy))
        load = heaviest_cold_load(brain)
        if load is not None:
            self.heaviest_by_warmth = max(self.heaviest_by_warmth, load.multiple / load.slowness)
            lines.append(self._observe(now, "cold", load.multiple, load.server, None, **load.details()))
        sent = ((brain.messages_sent(proxy), proxy) for proxy in brain.message_times)
        count, proxy = max(sent, default=(0, None))
        lines.append(self._observe(now, "messages", count, None, proxy))
        return [line for line in lines if line]

    def fields(self) -> dict[str, list]:
        """The worst case of each rule as the log has it: value, server, proxy, seconds since the start. For drains and
        cold servers the value beside it comes second."""
        rows = {rule: worst.fields() for rule, worst in self.worst.items()}
        rows["drain"].insert(1, round(self.drains.longest_to_order, 2))
        rows["cold"].insert(1, round(self.heaviest_by_warmth, 2))
        return rows

    def open_drain(self, now: float) -> list:
        """The longest drain that lasts, as the log has it: seconds, server, proxy."""
        hold = min(self.drains.lasting(), key=lambda hold: hold.since, default=None)
        if hold is None:
            return []
        return [round(now - hold.since, 2), server_label(hold.server)[:NAME_LENGTH], hold.proxy]

    def _observe_drain(self, now: float, brain: Brain, release: Release) -> dict | None:
        if release.seconds <= self.worst["drain"].value:
            return None
        hold = release.hold
        missing = [proxy for proxy, rows in self.drains.holds.items() if hold.server in rows]
        details = {
            "told": round(hold.told_at - self.started_at, 2),
            "since": round(hold.since - self.started_at, 2),
            "ordered": hold.ordered_at and round(hold.ordered_at - self.started_at, 2),
            "lines": round(brain.waiting_lines()),
            "missing": len(missing),
            "first": missing[:MAX_NAMED_PROXIES],
        }
        return self._observe(now, "drain", release.seconds, hold.server, hold.proxy, **details)

    def _observe(
        self, now: float, rule: str, value: float, server: face.Server | None, proxy: int | None, **details: object
    ) -> dict | None:
        """Records a value of a rule. Returns the fields of a log line if it is a notable new worst case."""
        if value <= self.worst[rule].value:
            return None
        name = None if server is None else server_label(server)[:NAME_LENGTH]
        self.worst[rule] = Worst(value, name, proxy, now - self.started_at)
        allowed = self.allowed[rule]
        if value < NOTABLE_SHARE * allowed or value < self.logged[rule] + NOTABLE_GROWTH * allowed:
            return None
        self.logged[rule] = value
        return {"rule": rule, "allowed": round(allowed, 2), "worst": self.worst[rule].fields(), **details}


class ColdLoad(NamedTuple):
    """What the proxies of this supervisor bring to a cold server, as a multiple of what it can do."""

    server: face.Server
    multiple: float
    age: float  # seconds since its start
    share: float  # of its part's weight
    slowness: float  # by reports, beyond what its warmth explains; 1 without any

    def details(self) -> dict:
        """What a log line says of it."""
        return {"age": round(self.age, 1), "share": round(self.share, 3), "slowness": round(self.slowness, 2)}


def heaviest_cold_load(brain: Brain) -> ColdLoad | None:
    """The highest load of a cold server by the orders in force; None without a cold server that has a line.

    A proxy that waits for its table may hold a cold server with the full weight of another supervisor's table, or of
    its standing one; levels cut what the others bring.

    It is what all servers would answer of the demand per weight, if each were as loaded as it is: with the demand of
    all proxies at the weight of all warm servers, a server that gets its part by weight has 1 by its warmth.
    """
    weight, rate = weight_by_part(brain), Counter()
    for proxy, part in brain.held_part.items():
        rate[part] += brain.rate.get(proxy, 0.0)
    waiting_rate = sum(brain.rate[proxy] for proxy in brain.waiting_since) / max(1, brain.standing_lines)
    total_rate, full_weight = sum(brain.rate.values()), brain.full_weight()
    # Before reports have come, the decisions assume the worst, which would tell nothing here.
    has_reports = brain.best_unit_rate > 0
    answerable_rate = min(total_rate * brain.answerable_share, brain.answerable_rate) if has_reports else total_rate
    loads = []
    for i, part in enumerate(brain.part):
        if not brain.weight_in_force(i) or brain.state[i] != face.READY or brain.is_warm(i) or not answerable_rate:
            continue
        share = brain.weight_in_force(i) / weight[part]
        age = brain.now - brain.started[i]
        slowness = max(1.0, brain.recent_slowness(i) * brain.warmth(i))
        usual_rate = answerable_rate * brain.listed_weight[i] * brain.factor[i] / full_weight
        brought = rate[part] * share * admitted_share(brain, part) + waiting_rate
        multiple = brought * slowness / (usual_rate * brain.warmth(i))
        loads.append(ColdLoad(brain.server_ids[i], multiple, age, share, slowness))
    return max(loads, key=lambda load: load.multiple, default=None)


def admitted_share(brain: Brain, part: int) -> float:
    """The largest share of what comes to a part that its levels admit of any operation."""
    if brain.level_form != "share":
        return 1.0
    levels = [level for (each, _), (level, _) in brain.current_levels.items() if each == part]
    return max(levels, default=1.0)
