"""Checkers of fleets of supervisors, from the recorded traffic: one committed proposal for each epoch, no order after
the lease that it rests on, no proxy that follows two owners.

Requests to the store and its answers are those recorded at its own end, behind the fault relays; orders that rest on
committed values are those reported to the harness (`rigged.py`); the owner that a proxy follows is read from its polls,
which acknowledge what it has applied."""

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
ORDER_PATH = "/order"  # at which the harness accepts reports of orders
NEVER = float("inf")
TRANSIT_ALLOWANCE_S = 0.05  # for messages in transit between two processes


class OrderReport(Struct):
    """A supervisor's report of an order; `rests_on`: by topic, the epoch and the token of the committed proposal."""

    name: str
    incarnation: int
    rests_on: dict[str, tuple[int, str]]


ORDER_DECODER = msgspec.json.Decoder(OrderReport)


class AgreementChecker:
    """Checks one fleet, whose nodes are under `root`. Construction reads the traffic; `judge` checks the rules."""

    def __init__(
        self,
        kinds: dict[str, list],
        owner: Callable[[str], int],
        count_check: Callable,
        report_violation: Callable,
        root: str = FLEET_ROOT,
        names: frozenset[str] | None = None,
    ) -> None:
        """`kinds`: connections by kind; `owner`: from a relay's address to the number of its supervisor; `names`: the
        supervisors whose orders are checked against this fleet, None for all. `report_violation(rule, text)` is called
        for each violation, `count_check(rule)` for each check."""
        self.kinds, self.owner, self.count_check, self.report_violation = kinds, owner, count_check, report_violation
        self.root, self.names = root, names
        self.records: list[agreement.Record] = []  # as read, or as written with the store's confirmation
        # By member node (NAME~INCARNATION): (time, whether created), of creations and of reads that show its removal.
        self.node_events: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for connection in kinds.get(STORED, []):
            self._read(connection)

    def judge(self) -> None:
        """Checks the three rules."""
        self._judge_epochs()
        self._judge_leases()
        self._judge_owners()

    def _answers(self, connection: object) -> Iterable[tuple[float, object, object]]:
        return store_answers(connection)

    def _read(self, connection: object) -> None:
        folder, records, present = f"{self.root}/members", f"{self.root}/records/", set()
        for at, request, result in self._answers(connection):
            path = getattr(request, "path", "")
            if isinstance(request, jute.Event) and request.kind == jute.DELETED and path.startswith(f"{folder}/"):
                self.node_events[path.rpartition("/")[2]].append((at, False))
            elif isinstance(request, jute.Create) and path.startswith(f"{folder}/"):
                self.node_events[path.rpartition("/")[2]].append((at, True))
            elif isinstance(request, jute.GetChildren) and path == folder:
                children = set(result[0])
                for node in present - children:
                    self.node_events[node].append((at, False))
                present = children
            elif isinstance(request, jute.GetData) and path.startswith(records):
                self._add_record(path, result[0])
            elif isinstance(request, jute.SetData) and path.startswith(records):
                self._add_record(path, request.data)
            elif isinstance(request, jute.Multi) and not any(isinstance(each, int) for each in result):
                for part in request.parts:
                    if isinstance(part, jute.Create | jute.SetData) and part.path.startswith(records):
                        self._add_record(part.path, part.data)

    def _add_record(self, path: str, data: bytes) -> None:
        topic = path.removeprefix(f"{self.root}/records/")
        if "/" not in topic:
            self.records.append(agreement.decode_record(topic, data))

    def _judge_epochs(self) -> None:
        """An epoch of the fleet has one proposal, and the proposal one outcome."""
        tokens, outcomes = {}, defaultdict(set)
        for record in self.records:
            self.count_check("epochs")
            if tokens.setdefault(record.epoch, record.token) != record.token:
                self.report_violation(
                    "epochs", f"epoch {record.epoch} is both {tokens[record.epoch]} and {record.token}"
                )
            if record.state in ("settled", "void"):
                outcomes[record.epoch].add(record.state)
            committed = record.standing
            if committed is not None and getattr(record, "copied", None) is True:
                # A replica also shows an outcome in the parent fleet that no member of this one observed; the parent's
                # own records are checked for it.
                token = tokens.setdefault(committed.epoch, committed.token)
                if token != committed.token:
                    self.report_violation("epochs", f"epoch {committed.epoch} is both {token} and {committed.token}")
                outcomes[committed.epoch].add("settled")
        for epoch, states in outcomes.items():
            if len(states) > 1:
                self.report_violation("epochs", f"epoch {epoch} was both committed and aborted")
        last_epoch: dict[tuple[str, str], int] = {}
        for at, order in self._orders():
            for topic, (epoch, token) in order.rests_on.items():
                if epoch < last_epoch.get((order.name, topic), 0):
                    self.report_violation("epochs", f"{order.name} went back to epoch {epoch} of {topic} at {at:.2f} s")
                last_epoch[order.name, topic] = max(epoch, last_epoch.get((order.name, topic), 0))
                if tokens.get(epoch) != token or "settled" not in outcomes[epoch]:
                    self.report_violation(
                        "epochs", f"{order.name} acts at {at:.2f} s on {token}, which was never committed"
                    )

    def _orders(self) -> Iterator[tuple[float, OrderReport]]:
        rows = [
            (each.requested_at, ORDER_DECODER.decode(each.request_body))
            for connection in self.kinds.get(ORDER, [])
            for each in connection.exchanges
            if each.path == ORDER_PATH and each.request_body
        ]
        for at, order in sorted(rows, key=lambda row: row[0]):
            if self.names is None or order.name in self.names:
                yield at, order

    def _judge_leases(self) -> None:
        """A supervisor gives no order once any member read that its node is gone, nor after a later start gave one."""
        highest: dict[str, int] = {}
        for rows in self.node_events.values():
            rows.sort()
        for at, order in self._orders():
            self.count_check("leases")
            node = f"{order.name}~{order.incarnation}"
            created_at, removed_at = NEVER, NEVER
            for event_at, present in self.node_events[node]:
                if event_at < at + TRANSIT_ALLOWANCE_S and present:  # orders are allowed from the node's creation
                    created_at, removed_at = event_at, NEVER
                elif event_at < at - TRANSIT_ALLOWANCE_S and (
                    created_at == NEVER or event_at > created_at + TRANSIT_ALLOWANCE_S
                ):  # otherwise the read shows an earlier removal
                    removed_at = min(removed_at, event_at)
            if removed_at != NEVER:
                self.report_violation("leases", f"{node} ordered at {at:.2f} s, gone since {removed_at:.2f} s")
            if order.incarnation < highest.get(order.name, 0):
                self.report_violation("leases", f"{node} ordered at {at:.2f} s, after start {highest[order.name]} had")
            highest[order.name] = max(order.incarnation, highest.get(order.name, 0))

    def _judge_owners(self) -> None:
        """The terms of a proxy's joins increase, and it polls no supervisor with a lower term than the highest it
        polled."""
        joins, polls, terms = defaultdict(list), defaultdict(list), {}
        for connection in self.kinds.get(CONTROL, []):
            owner = self.owner(connection.destination)
            for each in connection.exchanges:
                parts = each.path.split("/")
                if len(parts) == 5 and parts[4] == "join" and each.status == 200:
                    term = int(each.query.get("term", 0))
                    stream = msgspec.json.decode(each.body)["stream"]
                    terms[owner, stream] = term
                    joins[parts[3]].append((each.answered_at, term))
                elif len(parts) == 5 and parts[4] == "changes":
                    polls[parts[3]].append((each.requested_at, owner, each.query.get("stream")))
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
                        f"proxy {proxy} polls supervisor {owner} with term {term} at {at:.2f} s, "
                        f"after polling with term {highest}",
                    )
                highest = max(highest, term)


def check_agreement(verdict, kinds: dict[str, list], owner: Callable[[str], int]) -> None:
    """Adds the three rules to a verdict and checks them."""
    for rule in RULES:
        verdict.rules[rule] = {"checked": 0, "broken": 0}
    AgreementChecker(kinds, owner, verdict.count_check, verdict.report_violation).judge()
