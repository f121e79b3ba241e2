"""The judge of a hierarchical fleet, from the recorded traffic alone.

In each fleet (cells, regions, the whole): one committed proposal for each epoch, records that never go back, votes that
never change, and no vote left out but of absent members. Across the hierarchy: a version is committed once, in the
whole, and replicas change by nothing else; no order after a lease of the chain, no proxy with two owners, and no two
policies beyond the bound."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import Struct

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Record
from driftshed.coordination.hierarchy import HEARTBEAT_VALIDITY_FRACTION
from driftshed.coordination.lease import MAX_CLOCK_DRIFT
from driftshed.core.messages import Changes
from driftshed.day import agreement_checker
from driftshed.day.agreement_checker import AgreementChecker
from driftshed.day.policies import DELAY_ALLOWANCE_S, judge_changes
from driftshed.day.policies import RULE as POLICIES
from driftshed.day.recorder import CONTROL, ORDER, STORED
from driftshed.day.traffic import Connection, StoreConnection
from driftshed.policy.change import TOPIC, activation_bound_s
from driftshed.roster import jute

RULES = (*agreement_checker.RULES, POLICIES, "ends")
RUNS_PATH = "/runs"  # at which the harness accepts reports of versions
REPORT_ALLOWANCE_S = 0.3  # for reports of supervisors in transit to the harness, on a busy machine
FINAL_REPORTS_S = 1.5  # before the end of a record, within which every live supervisor has reported
CHANGES = msgspec.json.Decoder(Changes)


class VersionReport(Struct):
    """A supervisor's report of the policy version that it follows, sent while updates of its tables are not paused."""

    name: str
    incarnation: int
    version: int


VERSION_DECODER = msgspec.json.Decoder(VersionReport)


class FleetLayout(NamedTuple):
    """The members of each fleet, `cells` and `regions` by name; `roots`: each fleet's path in the store, "" for the
    whole."""

    regions: dict[str, tuple[str, ...]]  # the names of its cells
    cells: dict[str, tuple[str, ...]]  # the names of its supervisors
    roots: dict[str, str]

    def region_of(self, cell: str) -> str:
        """The name of a cell's region."""
        return next(name for name, cells in self.regions.items() if cell in cells)


class ObservedRecord(NamedTuple):
    """A record as written: the time in seconds of the day, and the store's transaction number (0: unknown)."""

    at: float
    mzxid: int
    record: Record


class FleetChecker(AgreementChecker):
    """Checks one fleet of the hierarchy."""

    def __init__(self, *args: object, answer_cache: dict[StoreConnection, list[tuple]], **kwargs: object) -> None:
        """`answer_cache`: parsed answers by connection, shared by the checkers of all fleets."""
        self.answer_cache = answer_cache
        # Records that were read: time of the reading, the store's time of the write, and the record.
        self.read: list[tuple[float, float, ObservedRecord]] = []
        self.seen: list[ObservedRecord] = []
        self.votes: dict[tuple[int, str], dict[bool, float]] = defaultdict(
            dict
        )  # by epoch and name: by assent, when first written
        self.sightings: dict[str, list[float]] = defaultdict(
            list
        )  # by name: times at which its node was read or created
        self.presence: dict[str, list[tuple[float, bool]]] = defaultdict(
            list
        )  # by node: (time, whether present), of sightings and removals
        super().__init__(*args, **kwargs)
        # Offset of the store's clock from that of the day: the reading soonest after its write is taken to be
        # immediate.
        clock_offset = min((at - written for at, written, _ in self.read), default=0.0)
        self.seen += [seen._replace(at=min(at, written + clock_offset)) for at, written, seen in self.read]
        self.seen.sort(key=lambda seen: seen.at)
        for node, rows in self.node_events.items():
            self.presence[node] += [(at, False) for at, present in rows if not present]

    def _answers(self, connection: StoreConnection) -> list[tuple]:
        if connection not in self.answer_cache:
            self.answer_cache[connection] = list(super()._answers(connection))
        return self.answer_cache[connection]

    def _read(self, connection: StoreConnection) -> None:
        super()._read(connection)
        folder, records = f"{self.root}/members", f"{self.root}/records/"
        for at, request, result in self._answers(connection):
            path = getattr(request, "path", "")
            if isinstance(request, jute.Create) and path.startswith(f"{folder}/"):
                self._add_presence(path.rpartition("/")[2], at)
            elif isinstance(request, jute.GetChildren) and path == folder:
                for node in result[0]:
                    self._add_presence(node, at)
            elif isinstance(request, jute.GetData) and path.startswith(records):
                self._add_node(path, at, result[0], result[1])
            elif isinstance(request, jute.SetData | jute.Create) and path.startswith(records):
                self._add_node(path, at, request.data)
            elif isinstance(request, jute.Multi) and not any(isinstance(each, int) for each in result):
                for part in request.parts:
                    if isinstance(part, jute.Create | jute.SetData) and part.path.startswith(records):
                        self._add_node(part.path, at, part.data)

    def _add_presence(self, node: str, at: float) -> None:
        self.sightings[node.partition("~")[0]].append(at)
        self.presence[node].append((at, True))

    def _add_node(self, path: str, at: float, data: bytes, stat: jute.Stat | None = None) -> None:
        topic, _, node = path.removeprefix(f"{self.root}/records/").partition("/")
        if node:
            vote = agreement.read_vote(node, data)
            first_times = self.votes[vote.epoch, vote.name]
            first_times[vote.assent] = min(at, first_times.get(vote.assent, at))
        else:
            record = agreement.decode_record(topic, data)
            if stat is None:
                self.seen.append(ObservedRecord(at, 0, record))
            else:
                self.read.append((at, stat.mtime / 1000, ObservedRecord(at, stat.mzxid, record)))

    def since(self, state: str) -> dict[int, ObservedRecord]:
        """By epoch, the first observation of its record in this state."""
        first: dict[int, ObservedRecord] = {}
        for seen in self.seen:
            if seen.record.state == state:
                first.setdefault(seen.record.epoch, seen)
        return first

    def judge_epochs(self) -> None:
        """Checks that epochs have one outcome, that records do not go back, and that no member votes both ways."""
        self._judge_epochs()
        last: dict[str, ObservedRecord] = {}
        for seen in sorted((each for each in self.seen if each.mzxid), key=lambda each: each.mzxid):
            topic, previous = seen.record.topic, last.get(seen.record.topic)
            self.count_check("epochs")
            if previous is not None and not agreement.newer(seen.record, previous.record):
                was, now = (f"{each.record.state} in epoch {each.record.epoch}" for each in (previous, seen))
                self.report_violation(
                    "epochs", f"{self.root}: {topic} went back from {was} to {now} at {seen.at:.2f} s"
                )
            last[topic] = seen
        for (epoch, name), vote_times in self.votes.items():
            self.count_check("epochs")
            if len(vote_times) > 1:
                self.report_violation("epochs", f"{self.root}: {name} both assented and objected to epoch {epoch}")

    def judge_votes(self, timeout: float, state: str) -> None:
        """Checks that a record in this state had the votes of all its voters, but of those absent for its `waits`: no
        member saw these in that time, except for the last moments, which the member that counted may not have
        observed."""
        for epoch, seen in self.since(state).items():
            waits = getattr(seen.record, "waits", msgspec.UNSET)
            self.count_check("epochs")
            for name in seen.record.needs:
                vote_times = self.votes.get((epoch, name), {})
                if vote_times.get(True, agreement_checker.NEVER) <= seen.at + agreement_checker.TRANSIT_ALLOWANCE_S:
                    continue
                away = isinstance(waits, float | int)
                since, till = (
                    seen.at - (waits * (1 - 2 * MAX_CLOCK_DRIFT) if away else agreement_checker.NEVER),
                    seen.at,
                )
                till -= timeout * (1 + MAX_CLOCK_DRIFT) + REPORT_ALLOWANCE_S
                seen_at = [at for at in self.sightings[name] if since + REPORT_ALLOWANCE_S < at < till]
                if not away or seen_at:
                    why = f"it was present at {seen_at[-1]:.2f} s" if seen_at else "it waits for every vote"
                    self.report_violation(
                        "epochs",
                        f"{self.root}: epoch {epoch} was {seen.record.state} at {seen.at:.2f} s "
                        f"without the vote of {name}; {why}",
                    )


class HierarchyJudge:
    """Judges a day of the hierarchy. Construction reads the traffic; `judge` checks the rules."""

    def __init__(
        self,
        verdict,
        kinds: dict[str, list],
        fleets: FleetLayout,
        names: list[str],
        owner: Callable[[str], int],
        timeout: float,
        ahead: float,
        ends: bool = True,
    ) -> None:
        """Replaces the rules of `verdict`. `owner`: from a relay's address to the number of its supervisor,
        `names[number]` its name; `timeout`: of sessions, and `ahead`: of policies, in seconds; `ends`: the record
        continues until the faults are over and all supervisors should have converged."""
        self.verdict, self.kinds, self.fleets, self.names, self.owner = verdict, kinds, fleets, names, owner
        self.timeout, self.bound = (
            timeout,
            activation_bound_s(timeout, ahead, MAX_CLOCK_DRIFT, tiers=3) + DELAY_ALLOWANCE_S,
        )
        verdict.rules = {rule: {"checked": 0, "broken": 0} for rule in RULES}
        self.ends = ends
        self.end = max((each.now for rows in kinds.values() for each in rows), default=0.0)
        self.checkers: dict[str, FleetChecker] = {}
        answer_cache: dict[StoreConnection, list[tuple]] = {}
        for name, root in fleets.roots.items():
            members = frozenset(fleets.cells.get(name, ()))
            self.checkers[name] = FleetChecker(
                kinds, owner, verdict.count_check, verdict.report_violation, root, members, answer_cache=answer_cache
            )
        self.settled: dict[int, ObservedRecord] = {}  # by version
        runs = [
            (each.requested_at, VERSION_DECODER.decode(each.request_body))
            for connection in kinds.get(ORDER, [])
            for each in connection.exchanges
            if each.path == RUNS_PATH and each.request_body
        ]
        self.runs = sorted(runs, key=lambda row: row[0])

    def judge(self) -> None:
        """Checks all rules."""
        for name, checker in self.checkers.items():
            checker.judge_epochs()
            checker.judge_votes(self.timeout, "ready" if name else "settled")
        self._judge_versions()
        self._judge_replicas()
        for cell in self.fleets.cells:
            self.checkers[cell]._judge_leases()
            self._judge_lease_chain(cell)
        self.checkers[""]._judge_owners()
        self._judge_policies()
        if self.ends:
            self._judge_ends()

    def _judge_versions(self) -> None:
        """A version is committed once, in the whole."""
        for seen in self.checkers[""].seen:
            standing, topic = seen.record.standing, seen.record.topic
            if topic != TOPIC or standing is None:
                continue
            version = standing.body["version"]
            first = self.settled.setdefault(version, seen)
            self.verdict.count_check("epochs")
            if first.record.standing.token != standing.token:
                self.verdict.report_violation(
                    "epochs",
                    f"version {version} was committed as {first.record.standing.token} and as {standing.token}",
                )

    def _judge_replicas(self) -> None:
        """Regions and cells hold only values that the whole committed, and not before it did."""
        whole = {}  # by topic, epoch and token: when it was committed there
        for seen in self.checkers[""].seen:
            if (standing := seen.record.standing) is not None:
                whole.setdefault((seen.record.topic, standing.epoch, standing.token), seen.at)
        for name, checker in self.checkers.items():
            for seen in checker.seen if name else ():
                standing = seen.record.standing
                if standing is None:
                    continue
                self.verdict.count_check("epochs")
                since = whole.get((seen.record.topic, standing.epoch, standing.token), agreement_checker.NEVER)
                if since > seen.at + agreement_checker.TRANSIT_ALLOWANCE_S:
                    self.verdict.report_violation(
                        "epochs",
                        f"{checker.root}: epoch {standing.epoch} of {standing.token} "
                        f"is in force at {seen.at:.2f} s, not committed in the whole by then",
                    )

    def _judge_lease_chain(self, cell: str) -> None:
        """No supervisor gives orders after the time proven by its own readings of its region's heartbeats, nor after it
        read that its cell has no delegate, nor if the region had no node in the whole within the time that a heartbeat
        proves."""
        region, lasts = self.fleets.region_of(cell), HEARTBEAT_VALIDITY_FRACTION * self.timeout
        proofs, listings = self._contact_proofs(cell, region, lasts), self._cell_listings(cell, region)
        region_presence = [
            sorted(rows) for node, rows in self.checkers[""].presence.items() if node.partition("~")[0] == region
        ]
        for at, order in self.checkers[cell]._orders():
            self.verdict.count_check("leases", 3)
            until = max((end for read_at, end in proofs[order.name] if read_at <= at), default=0.0)
            if at > until + REPORT_ALLOWANCE_S:
                self.verdict.report_violation(
                    "leases",
                    f"{order.name} acts at {at:.2f} s; contact of {region} was proven until {until:.2f} s",
                )
            listed = [present for read_at, present in listings[order.name] if read_at <= at - REPORT_ALLOWANCE_S]
            if not listed or not (
                listed[-1]
                or any(at - REPORT_ALLOWANCE_S < read_at for read_at, _ in listings[order.name] if read_at <= at)
            ):
                self.verdict.report_violation(
                    "leases", f"{order.name} acts at {at:.2f} s, having read that {cell} has no delegate"
                )
            since = at - lasts * (1 + MAX_CLOCK_DRIFT) - REPORT_ALLOWANCE_S
            if not any(was_present(rows, since, at) for rows in region_presence):
                self.verdict.report_violation(
                    "leases", f"{order.name} acts at {at:.2f} s; {region} had no node in the whole since {since:.2f} s"
                )

    def _contact_proofs(self, cell: str, region: str, lasts: float) -> dict[str, list[tuple[float, float]]]:
        """By supervisor, (time of a reading, time until which it proves contact of the region). A heartbeat proves
        `lasts` seconds from the request of the last poll that read a heartbeat older by at least two, of the same
        run."""
        polls: dict[str, list[tuple[float, float, dict]]] = defaultdict(list)
        proofs: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for connection in self.kinds.get(STORED, []):
            name = self.names[self.owner(connection.destination)]
            if name in self.fleets.cells[cell]:
                polls[name] += node_readings(connection, f"{self.fleets.roots[region]}/above")
        for name, rows in polls.items():
            older: dict[str, list[tuple[float, int]]] = defaultdict(list)  # by run
            for requested_at, answered_at, heartbeat in sorted(rows, key=lambda row: row[0]):
                own = older[heartbeat["run"]]
                before = [then for then, number in own if number <= heartbeat["number"] - 2]
                if before:
                    proofs[name].append((answered_at, max(before) + lasts))
                own.append((requested_at, heartbeat["number"]))
        return proofs

    def _cell_listings(self, cell: str, region: str) -> dict[str, list[tuple[float, bool]]]:
        """By supervisor, (time, whether its cell was among them) of each reading of its region's members."""
        named: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        path, checker = f"{self.fleets.roots[region]}/members", self.checkers[region]
        for connection in self.kinds.get(STORED, []):
            name = self.names[self.owner(connection.destination)]
            for at, request, result in checker._answers(connection) if name in self.fleets.cells[cell] else ():
                if isinstance(request, jute.GetChildren) and request.path == path:
                    named[name].append((at, any(node.partition("~")[0] == cell for node in result[0])))
        for rows in named.values():
            rows.sort()
        return named

    def _judge_policies(self) -> None:
        """No supervisor follows a version that the whole has not committed, nor an older version after the bound."""
        since = {version: seen.at for version, seen in self.settled.items()}
        judge_changes(self.verdict, changes_by_proxy(self.kinds), since, self.bound)
        for at, runs in self.runs:
            self.verdict.count_check(POLICIES)
            if (
                runs.version
                and since.get(runs.version, agreement_checker.NEVER) > at + agreement_checker.TRANSIT_ALLOWANCE_S
            ):
                self.verdict.report_violation(
                    POLICIES,
                    f"{runs.name} follows version {runs.version} at {at:.2f} s, which was "
                    "not committed in the whole by then",
                )
            newer = [version for version, then in since.items() if version > runs.version and at > then + self.bound]
            if newer:
                self.verdict.report_violation(
                    POLICIES,
                    f"{runs.name} follows version {runs.version} at {at:.2f} s; {newer[0]} "
                    f"is committed since {since[newer[0]]:.2f} s",
                )
            else:
                later = [at - then for version, then in since.items() if version > runs.version]
                self.verdict.record_usage(POLICIES, max(later, default=0.0) / self.bound)

    def _judge_ends(self) -> None:
        """After the faults every supervisor follows the last committed version, and no proposal is open."""
        latest = max(self.settled, default=0)
        last_report = {runs.name: runs for at, runs in self.runs if at > self.end - FINAL_REPORTS_S}
        for name in self.names:
            self.verdict.count_check("ends")
            if name not in last_report or last_report[name].version != latest:
                description = (
                    f"follows version {last_report[name].version}" if name in last_report else "sent no report"
                )
                self.verdict.report_violation("ends", f"{name} {description} at the end; version {latest} is committed")
        for checker in self.checkers.values():
            by_topic = {}
            for seen in checker.seen:
                previous = by_topic.get(seen.record.topic)
                by_topic[seen.record.topic] = (
                    seen if previous is None or agreement.newer(seen.record, previous.record) else previous
                )
            for topic, seen in by_topic.items():
                self.verdict.count_check("ends")
                if agreement.pending(seen.record):
                    self.verdict.report_violation(
                        "ends",
                        f"{checker.root}: epoch {seen.record.epoch} of {topic} is {seen.record.state} at the end",
                    )


def was_present(rows: list[tuple[float, bool]], since: float, till: float) -> bool:
    """Whether a node was present at any moment from `since` to `till`. `rows`: its sightings and removals in order."""
    present = not rows[0][1]
    for at, made in rows:
        if at > till:
            break
        if present and not made and at >= since:
            return True
        present = made
    return present


def node_readings(connection: StoreConnection, path: str) -> Iterator[tuple[float, float, dict]]:
    """Yields the readings of one node on a connection to a store: (time of request, time of answer, content)."""
    pending: dict[int, float] = {}
    session_opened = {False: False, True: False}
    for at, back, payload in connection.rows:
        if not session_opened[back]:
            session_opened[back] = True  # the frame that opens the session
        elif not back:
            xid, request = jute.read_request(payload)
            if isinstance(request, jute.GetData) and request.path == path:
                pending[xid] = at
        else:
            reply, reader = jute.read_reply(payload)
            requested_at = pending.pop(reply.xid, None)
            if requested_at is not None and reply.error == jute.OK:
                data, _ = jute.read_result(jute.GetData(path), reader)
                yield requested_at, at, msgspec.json.decode(data)


def changes_by_proxy(kinds: dict[str, list[Connection]]) -> dict[int, list[tuple[float, Changes]]]:
    """By proxy, the changes that it received, as (time, changes)."""
    rows: dict[int, list[tuple[float, Changes]]] = defaultdict(list)
    for connection in kinds.get(CONTROL, []):
        for each in connection.exchanges:
            parts = each.path.split("/")
            if each.status == 200 and len(parts) == 5 and parts[4] == "changes":
                changes = CHANGES.decode(each.body)
                if changes.changes:
                    rows[int(parts[3])].append((each.answered_at, changes))
    return rows
