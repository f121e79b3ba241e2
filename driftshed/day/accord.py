"""Checkers of several supervisors from what passed on the sockets: one winner for each epoch, no order that rests on a
lease that is over, no proxy that heeds two owners.

What the store saw and said is taken at its own end of the ways with the faults; orders that rest on an agreement as
they came to the rig (`rigged.py`); whom a proxy heeds from its polls, by which it says what it has applied."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

import msgspec
from msgspec import Struct

from driftshed.coordination import agreement
from driftshed.day.recorder import CONTROL, ORDER, STORED
from driftshed.day.traffic import store_answers
from driftshed.roster import jute

FLEET_ROOT = "/driftshed/fleet"
RULES = ("epochs", "leases", "owners")
ORDERS = "/order"  # where the rig takes them
NEVER = float("inf")
SLACK = 0.05  # seconds: what is on the way between two processes of the rig


class Ordered(Struct):
    """What a supervisor does on the strength of what was agreed: by topic its epoch and the proposal's token."""

    name: str
    incarnation: int
    rests_on: dict[str, tuple[int, str]]


ORDERED = msgspec.json.Decoder(Ordered)


class Accord:
    """One fleet, whose nodes lie under `root`. `names`: whose orders are held against it; None for everybody's.
    `broken(rule, text)` is called for each break, `check(rule)` for each look."""

    def __init__(
        self,
        kinds: dict[str, list],
        owner: Callable[[str], int],
        count_check: Callable,
        report_violation: Callable,
        root: str = FLEET_ROOT,
        names: frozenset[str] | None = None,
    ) -> None:
        self.kinds, self.owner, self.count_check, self.report_violation = kinds, owner, count_check, report_violation
        self.root, self.names = root, names
        self.records: list[agreement.Record] = []  # as somebody read them, or as they were surely written
        # By start of a supervisor: when it had made its node, and when anybody was told that it is gone.
        self.stays: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for talk in kinds.get(STORED, []):
            self._read(talk)

    def judge(self) -> None:
        self._judge_epochs()
        self._judge_leases()
        self._judge_owners()

    def _said(self, talk: object) -> Iterable[tuple[float, object, object]]:
        return store_answers(talk)

    def _read(self, talk: object) -> None:
        folder, records, there = f"{self.root}/members", f"{self.root}/records/", set()
        for at, request, result in self._said(talk):
            path = getattr(request, "path", "")
            if isinstance(request, jute.Event) and request.kind == jute.DELETED and path.startswith(f"{folder}/"):
                self.stays[path.rpartition("/")[2]].append((at, False))
            elif isinstance(request, jute.Create) and path.startswith(f"{folder}/"):
                self.stays[path.rpartition("/")[2]].append((at, True))
            elif isinstance(request, jute.GetChildren) and path == folder:
                now = set(result[0])
                for node in there - now:
                    self.stays[node].append((at, False))
                there = now
            elif isinstance(request, jute.GetData) and path.startswith(records):
                self._add(path, result[0])
            elif isinstance(request, jute.SetData) and path.startswith(records):
                self._add(path, request.data)
            elif isinstance(request, jute.Multi) and not any(isinstance(each, int) for each in result):
                for part in request.parts:
                    if isinstance(part, jute.Create | jute.SetData) and part.path.startswith(records):
                        self._add(part.path, part.data)

    def _add(self, path: str, data: bytes) -> None:
        topic = path.removeprefix(f"{self.root}/records/")
        if "/" not in topic:
            self.records.append(agreement.read_record(topic, data))

    def _judge_epochs(self) -> None:
        """An epoch of the fleet has one proposal, and that one end."""
        tokens, ends = {}, defaultdict(set)
        for record in self.records:
            self.count_check("epochs")
            if tokens.setdefault(record.epoch, record.token) != record.token:
                self.report_violation(
                    "epochs", f"epoch {record.epoch} is both {tokens[record.epoch]} and {record.token}"
                )
            if record.state in ("settled", "void"):
                ends[record.epoch].add(record.state)
            standing = record.standing
            if standing is not None and getattr(record, "copied", None) is True:
                # A copy also tells of an end above that came while nobody here listened; above it is held to that.
                token = tokens.setdefault(standing.epoch, standing.token)
                if token != standing.token:
                    self.report_violation("epochs", f"epoch {standing.epoch} is both {token} and {standing.token}")
                ends[standing.epoch].add("settled")
        for epoch, states in ends.items():
            if len(states) > 1:
                self.report_violation("epochs", f"epoch {epoch} was both settled and voided")
        last: dict[tuple[str, str], int] = {}
        for at, order in self._orders():
            for topic, (epoch, token) in order.rests_on.items():
                if epoch < last.get((order.name, topic), 0):
                    self.report_violation("epochs", f"{order.name} went back to epoch {epoch} of {topic} at {at:.2f} s")
                last[order.name, topic] = max(epoch, last.get((order.name, topic), 0))
                if tokens.get(epoch) != token or "settled" not in ends[epoch]:
                    self.report_violation(
                        "epochs", f"{order.name} acts at {at:.2f} s on {token}, which was never settled"
                    )

    def _orders(self) -> Iterator[tuple[float, Ordered]]:
        rows = [
            (each.asked_at, ORDERED.decode(each.asked))
            for connection in self.kinds.get(ORDER, [])
            for each in connection.exchanges
            if each.path == ORDERS and each.asked
        ]
        for at, order in sorted(rows, key=lambda row: row[0]):
            if self.names is None or order.name in self.names:
                yield at, order

    def _judge_leases(self) -> None:
        """Nothing is ordered by a start of a supervisor whose node somebody was told is gone, nor by an older start."""
        highest: dict[str, int] = {}
        for rows in self.stays.values():
            rows.sort()
        for at, order in self._orders():
            self.count_check("leases")
            node = f"{order.name}~{order.incarnation}"
            made, left = NEVER, NEVER
            for then, there in self.stays[node]:
                if then < at + SLACK and there:  # as soon as it stands again it may order
                    made, left = then, NEVER
                elif then < at - SLACK and (made == NEVER or then > made + SLACK):  # else it tells of one before
                    left = min(left, then)
            if left != NEVER:
                self.report_violation("leases", f"{node} ordered at {at:.2f} s, gone since {left:.2f} s")
            if order.incarnation < highest.get(order.name, 0):
                self.report_violation("leases", f"{node} ordered at {at:.2f} s, after start {highest[order.name]} had")
            highest[order.name] = max(order.incarnation, highest.get(order.name, 0))

    def _judge_owners(self) -> None:
        """The terms of a proxy's joins rise, and having heeded one it heeds none with a lower term."""
        joins, polls, terms = defaultdict(list), defaultdict(list), {}
        for connection in self.kinds.get(CONTROL, []):
            owner = self.owner(connection.asked)
            for each in connection.exchanges:
                parts = each.path.split("/")
                if len(parts) == 5 and parts[4] == "join" and each.status == 200:
                    term = int(each.query.get("term", 0))
                    stream = msgspec.json.decode(each.body)["stream"]
                    terms[owner, stream] = term
                    joins[parts[3]].append((each.answered_at, term))
                elif len(parts) == 5 and parts[4] == "changes":
                    polls[parts[3]].append((each.asked_at, owner, each.query.get("stream")))
        for proxy, rows in joins.items():
            highest = -1
            for at, term in sorted(rows):
                self.count_check("owners")
                if term <= highest:
                    self.report_violation(
                        "owners", f"proxy {proxy} was joined with term {term} at {at:.2f} s, after {highest}"
                    )
                highest = max(highest, term)
        for proxy, rows in polls.items():
            highest = -1
            for at, owner, stream in sorted(rows):
                term = terms.get((owner, stream), -1)
                if term < highest:
                    self.report_violation(
                        "owners",
                        f"proxy {proxy} heeds supervisor {owner} under term {term} at {at:.2f} s, "
                        f"having heeded term {highest}",
                    )
                highest = max(highest, term)


def judge_accord(verdict, kinds: dict[str, list], owner: Callable[[str], int]) -> None:
    """Adds the three rules to a verdict."""
    for rule in RULES:
        verdict.rules[rule] = {"checked": 0, "broken": 0}
    Accord(kinds, owner, verdict.count_check, verdict.report_violation).judge()
